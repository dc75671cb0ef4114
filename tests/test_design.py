"""The steps of docs/design.md, with the routing policy alone."""

from collections import Counter

from tests.helpers import SECOND, PolicyDriver, engine, final_answers, query_class, sends, settings
from whintrail import interface as api
from whintrail.routing import HEAVY_COST_RATIO, MAX_LIGHT_THREADS_PER_CORE, MIN_CLASSIFIED_QUERIES

Outcome = api.Outcome
HEAVY_COST_US = 3.0 * SECOND  # of a class whose mean is 100 ms


def is_heavy(driver: PolicyDriver, query: int) -> bool:
    return driver.policy.queries[query].heavy


def test_the_first_twenty_of_a_class_are_light() -> None:
    driver = PolicyDriver(settings(), engine("a"))
    for number in range(MIN_CLASSIFIED_QUERIES):
        is_last = number == MIN_CLASSIFIED_QUERIES - 1
        driver.arrive_query(number, cost_us=HEAVY_COST_US if is_last else 100_000.0)
        assert not is_heavy(driver, number)
    driver.arrive_query(100, cost_us=HEAVY_COST_US)
    assert is_heavy(driver, 100)


def test_heavy_by_cost_or_by_memory_against_the_class_mean() -> None:
    driver = PolicyDriver(settings(), engine("a"))
    driver.serve_queries(count=MIN_CLASSIFIED_QUERIES + 5, memory_mb=100.0)
    driver.arrive_query(1, cost_us=HEAVY_COST_RATIO * 90_000.0)
    driver.arrive_query(2, cost_us=110_000.0, memory_mb=100.0)
    driver.arrive_query(3, cost_us=HEAVY_COST_US, memory_mb=1.0)
    assert [is_heavy(driver, n) for n in (1, 2, 3)] == [False, True, True]


def test_a_missing_estimate_counts_as_the_class_mean_and_zero_counts_as_zero() -> None:
    driver = PolicyDriver(settings(), engine("a"))
    driver.serve_queries()
    mean = driver.policy.classes["short"].mean_cost.value
    driver.arrive_query(1, cost_us=None, memory_mb=None)
    assert not is_heavy(driver, 1) and driver.policy.queries[1].ideal_us == mean
    assert driver.policy.classes["short"].mean_cost.value == mean
    driver.arrive_query(2, cost_us=0.0)
    assert not is_heavy(driver, 2) and driver.policy.queries[2].ideal_us == 0
    assert driver.policy.classes["short"].mean_cost.value < mean


def trained_driver(*entries: api.EngineEntry) -> PolicyDriver:
    """Two classes: many short queries, and long ones of two threads."""
    long = query_class("long", threads=2, target_latency_us=20 * SECOND, deadline_us=60 * SECOND)
    driver = PolicyDriver(settings(query_class(), long), *entries)
    driver.serve_queries(count=60)
    driver.serve_queries("long", count=25, first=20_000, cost_us=2.0 * SECOND)
    return driver


def arrive_long_query(driver: PolicyDriver, query: int) -> list[api.Action]:
    return driver.arrive_query(query, "long", cost_us=2.0 * SECOND, deadline_at_us=driver.now + 60 * SECOND)


def test_heavy_queries_are_limited_only_under_pressure() -> None:
    driver = trained_driver(engine("a"))
    for number in range(6):
        assert sends(arrive_long_query(driver, number))  # no pressure, no limit
        driver.now += 2 * SECOND
        driver.finish_probe("a", utilisation=0.3)
    driver.finish_probe("a", utilisation=1.0)
    assert not sends(arrive_long_query(driver, 10))
    assert sends(driver.arrive_query(11))  # a light query is sent
    for number in range(6):
        driver.finish_attempt(number, Outcome.OK, elapsed_us=1 * SECOND)
    assert sends(driver.actions, 10)


def test_an_engine_under_pressure_accepts_the_first_heavy_query() -> None:
    driver = trained_driver(engine("a"))
    driver.policy.work_share = 0.01
    driver.finish_probe("a", utilisation=1.0)
    assert sends(arrive_long_query(driver, 1)) and not sends(arrive_long_query(driver, 2))


def test_a_full_refusal_or_a_memory_queue_counts_as_pressure() -> None:
    driver = trained_driver(engine("a"))
    item = driver.policy.engines["a"]
    driver.finish_probe("a", utilisation=0.2, memory_queue=1)
    assert driver.policy._is_under_pressure(item)
    driver.finish_probe("a", utilisation=0.2, memory_queue=0)
    assert not driver.policy._is_under_pressure(item)
    item.full_backoff_until = driver.now + 1
    assert driver.policy._is_under_pressure(item)


def test_held_queries_are_sent_in_deadline_order_and_refused_when_too_late() -> None:
    driver = trained_driver(engine("a"))
    driver.policy.work_share = 0.01
    driver.finish_probe("a", utilisation=1.0)
    arrive_long_query(driver, 1)
    for number, cost in ((2, 2.4), (3, 2.0), (4, 2.2)):
        driver.arrive_query(number, "long", cost_us=cost * SECOND, deadline_at_us=driver.now + 60 * SECOND)
    driver.finish_probe("a", utilisation=1.0)
    assert [s.query for s in sends(driver.finish_attempt(1, Outcome.OK))] == [3]
    for step in range(500):  # the running query does not end
        driver.now += 50_000
        driver.finish_probe("a", utilisation=1.0)
        driver.handle(api.AttemptStatusReceived(3, 0, "a", api.StatusTopic.PROGRESS, 0.001 * step))
    driver.advance(50_000)
    assert final_answers(driver.actions, 2) == final_answers(driver.actions, 4) == [api.RefuseQuery]


def test_light_queries_are_limited_under_pressure() -> None:
    driver = PolicyDriver(settings(), engine("a"))
    driver.serve_queries()
    for number in range(100):
        driver.finish_probe("a", utilisation=1.0)
        driver.arrive_query(number)
    width = driver.policy.engines["a"].limit_scale
    assert 1 <= len(sends(driver.actions)) - 40 <= MAX_LIGHT_THREADS_PER_CORE * width * 8 / 2


def test_engine_choice_follows_reports_and_local_sends() -> None:
    driver = PolicyDriver(settings(), engine("busy"), engine("idle"))
    for number in range(300):
        driver.finish_probe("busy", utilisation=0.9)
        driver.finish_probe("idle", utilisation=0.3)
        driver.arrive_query(number)
        driver.finish_attempt(number, Outcome.OK)
        driver.now += 300_000
    drawn = Counter(s.engine for s in sends(driver.actions))
    assert drawn["idle"] > 3 * drawn["busy"] > 0


def test_local_sends_count_until_reports_include_them() -> None:
    driver = PolicyDriver(settings(), engine("a"), engine("b"))
    for number in range(200):
        driver.arrive_query(number, cost_us=1000.0)
    drawn = Counter(s.engine for s in sends(driver.actions))
    assert abs(drawn["a"] - drawn["b"]) < 40


def test_an_engine_without_a_fresh_report_counts_as_average() -> None:
    driver = PolicyDriver(settings(), engine("a"), engine("b"), engine("new"))
    driver.finish_probe("a", utilisation=0.2)
    driver.finish_probe("b", utilisation=0.6)
    driver.policy._refresh_weights()
    assert abs(driver.policy._estimated_load(driver.policy.engines["new"]) - 0.4) < 1e-9
    driver.advance(10 * SECOND)  # now the reports are too old to count
    loads = {driver.policy._estimated_load(e) for e in driver.policy.engines.values()}
    assert len(loads) == 1


def test_the_same_events_and_seed_give_the_same_actions() -> None:
    def run(seed: int) -> list[api.Action]:
        driver = PolicyDriver(settings(), *(engine(f"e{n}") for n in range(5)), seed=seed)
        for number in range(50):
            driver.arrive_query(number)
            driver.advance(50_000)
        return driver.actions

    assert run(1) == run(1) != run(2)


def test_without_estimates_a_class_is_classified_by_reported_work() -> None:
    classes = query_class("short"), query_class("long", threads=2)
    driver = PolicyDriver(settings(*classes, reports_cost=True), *(engine(f"e{n}") for n in range(4)))
    for number in range(120):
        name, work_ms = ("long", 2000.0) if number % 4 == 0 else ("short", 50.0)
        driver.arrive_query(number, name, cost_us=None, memory_mb=None)
        driver.now += 20_000
        driver.finish_attempt(number, api.Outcome.OK, work_ms=work_ms)
    driver.arrive_query(200, "long", cost_us=None, memory_mb=None)
    driver.arrive_query(201, "short", cost_us=None, memory_mb=None)
    assert driver.policy.queries[200].heavy and not driver.policy.queries[201].heavy
    assert abs(driver.policy.queries[200].ideal_us - SECOND) < 1000


def test_reported_work_is_scaled_to_the_estimates_of_the_class() -> None:
    driver = PolicyDriver(settings(reports_cost=True), *(engine(f"e{n}") for n in range(4)))
    for number in range(400):  # estimates are a third of the work, and every other query has none
        driver.arrive_query(number, cost_us=None if number % 2 else 100_000.0)
        driver.now += 20_000
        driver.finish_attempt(number, api.Outcome.OK, work_ms=300.0)
    driver.arrive_query(1000, cost_us=None)
    assert (
        290_000 < driver.policy.queries[1000].ideal_us < 330_000
    )  # the reported work is not scaled up a second time


def test_engines_with_equal_fields_are_not_equal() -> None:
    """Engines were compared by their fields: a stale report counted as fresh if an equal engine had a fresh
    one, and a search for an engine compared all fields of each."""
    driver = PolicyDriver(
        settings(query_class(zones=("z2",))), engine("a"), engine("b"), engine("c", zone="z2")
    )
    stale, fresh, other = (driver.policy.engines[name] for name in "abc")
    driver.handle(api.ProbeFinished("a", api.Outcome.OK, 1000, api.LoadReport(utilisation=1.9)))
    driver.now += 5 * SECOND
    driver.handle(api.ProbeFinished("b", api.Outcome.OK, 1000, api.LoadReport(utilisation=0.1)))
    for query in (1, 2):  # the first one refreshes all weights
        driver.now += SECOND // 2
        driver.arrive_query(query)
    assert stale != fresh
    assert driver.policy.fleet_total.cores == stale.cores + fresh.cores + other.cores


def driver_without_estimates() -> PolicyDriver:
    """A class of 100 ms without estimates, whose answers report the work."""
    driver = PolicyDriver(settings(reports_cost=True), *(engine(f"e{n}") for n in range(2)))
    for number in range(100):
        driver.arrive_query(number, cost_us=None, memory_mb=None)
        driver.now += 100_000
        driver.finish_attempt(number, Outcome.OK, work_ms=100.0)
    return driver


def test_without_estimates_long_work_does_not_count_as_a_slow_engine() -> None:
    """The class mean replaced the reported work, so that long work made an engine count as under pressure."""
    driver = driver_without_estimates()
    engines = driver.policy.engines.values()
    before = [(e.limit_scale, e.latency_ratio) for e in engines]
    for number in range(200, 240):
        driver.arrive_query(number, cost_us=None, memory_mb=None)
        driver.finish_attempt(number, Outcome.OK, elapsed_us=SECOND, work_ms=1000.0)
    assert all(
        width <= e.limit_scale and e.latency_ratio < 1.1
        for e, (width, _) in zip(engines, before, strict=True)
    )
    for number in range(300, 340):  # the same work in four times the time: a slow engine
        driver.arrive_query(number, cost_us=None, memory_mb=None)
        driver.finish_attempt(number, Outcome.OK, elapsed_us=4 * SECOND, work_ms=1000.0)
    assert all(driver.policy._is_under_pressure(e) for e in engines)


def test_without_estimates_long_work_is_not_a_runaway() -> None:
    """Each progress message lowered the limits, and where cancelling is allowed the query was moved."""
    driver = driver_without_estimates()
    for e in driver.policy.engines.values():
        e.latency_ratio = (
            driver.policy.fleet_total.latency_ratio
        )  # so that the decay over time changes nothing
    before = [(e.limit_scale, e.latency_ratio) for e in driver.policy.engines.values()]
    driver.arrive_query(200, cost_us=None, memory_mb=None, deadline_at_us=driver.now + 60 * SECOND)
    (sent,) = sends(driver.actions, 200)
    for step in range(1, 9):
        driver.now += SECOND
        driver.handle(api.AttemptStatusReceived(200, 0, sent.engine, api.StatusTopic.PROGRESS, step / 10))
    assert before == [(e.limit_scale, e.latency_ratio) for e in driver.policy.engines.values()]
    assert not [a for a in driver.actions if isinstance(a, api.CancelAttempt)]
    assert sends(driver.actions, 200) == [sent]


def test_a_list_change_keeps_the_latency_ratios_of_engines_and_classes() -> None:
    """A list change refreshes all weights, and the refresh took the whole time since the start as passed."""
    driver = PolicyDriver(settings(), engine("a"), engine("b"), engine("c"))
    driver.arrive_query(1)  # the weights are computed
    slow, cls = driver.policy.engines["a"], driver.policy.classes["short"]
    slow.latency_ratio, cls.recent_latency.value, cls.best_latency = 3.0, 2.0, 1.0
    driver.now += 10_000
    driver.receive_engine_list(engine("d"), kind=api.ListKind.DELTA)
    driver.arrive_query(2)
    assert slow.latency_ratio > 2.9 and cls.recent_latency.value > 1.9
    assert driver.policy.engines["d"].weight != 1.0  # all weights are still refreshed


def test_first_queries_without_estimates_are_not_refused_after_shorter_reported_work() -> None:
    """Forty queries at once of an unknown class: the first answers reported far less work than the guess, and
    the expected latency of the waiting ones rose by the same factor."""
    driver = PolicyDriver(settings(reports_cost=True), engine("a"))
    for number in range(40):
        driver.arrive_query(number, cost_us=None, memory_mb=None)
    driver.now += 100_000
    for number in range(40):
        if sends(driver.actions, number):
            driver.finish_attempt(number, Outcome.OK, work_ms=12.5)
    assert not [a for a in driver.actions if isinstance(a, api.RefuseQuery)]
