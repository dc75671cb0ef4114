"""The steps of the design, on the module alone."""

from collections import Counter

from tests.helpers import SECOND, Driver, answers, engine, query_class, sends, settings
from whintrail import interface as api
from whintrail.brain import BAR, BRIM, LEARN_QUERIES

Out = api.Outcome
HEAVY = 3.0 * SECOND  # of a class whose mean is 100 ms


def heavy(driver: Driver, query: int) -> bool:
    return driver.gateway.queries[query].heavy


def test_the_first_twenty_of_a_class_are_light() -> None:
    driver = Driver(settings(), engine("a"))
    for number in range(LEARN_QUERIES):
        driver.ask(number, cost_us=100_000.0 if number < LEARN_QUERIES - 1 else HEAVY)
        assert not heavy(driver, number)
    driver.ask(100, cost_us=HEAVY)
    assert heavy(driver, 100)


def test_heavy_by_cost_or_by_memory_against_the_class_mean() -> None:
    driver = Driver(settings(), engine("a"))
    driver.learn(count=LEARN_QUERIES + 5, memory_mb=100.0)
    driver.ask(1, cost_us=BAR * 90_000.0)
    driver.ask(2, cost_us=110_000.0, memory_mb=100.0)
    driver.ask(3, cost_us=HEAVY, memory_mb=1.0)
    assert [heavy(driver, n) for n in (1, 2, 3)] == [False, True, True]


def test_a_missing_estimate_counts_as_the_mean_and_goes_light_but_zero_is_zero() -> None:
    driver = Driver(settings(), engine("a"))
    driver.learn()
    mean = driver.gateway.classes["short"].cost.value
    driver.ask(1, cost_us=None, memory_mb=None)
    assert not heavy(driver, 1) and driver.gateway.queries[1].span_us == mean
    assert driver.gateway.classes["short"].cost.value == mean
    driver.ask(2, cost_us=0.0)
    assert not heavy(driver, 2) and driver.gateway.queries[2].span_us == 0
    assert driver.gateway.classes["short"].cost.value < mean


def loaded(*entries: api.EngineEntry) -> Driver:
    """Two classes: many short queries, and long ones of two threads."""
    long = query_class("long", threads=2, aim_us=20 * SECOND, deadline_us=60 * SECOND)
    driver = Driver(settings(query_class(), long), *entries)
    driver.learn(count=60)
    driver.learn("long", count=25, first=20_000, cost_us=2.0 * SECOND)
    return driver


def ask_long(driver: Driver, query: int) -> list[api.Action]:
    return driver.ask(query, "long", cost_us=2.0 * SECOND, give_up_us=driver.now + 60 * SECOND)


def test_the_bound_binds_only_under_pressure_and_never_an_idle_engine() -> None:
    driver = loaded(engine("a"))
    for number in range(6):
        assert sends(ask_long(driver, number))  # no pressure: nothing binds
        driver.now += 2 * SECOND
        driver.report("a", utilisation=0.3)
    driver.report("a", utilisation=1.0)
    assert not sends(ask_long(driver, 10))
    assert sends(driver.ask(11))  # a light query passes
    for number in range(6):
        driver.end(number, Out.OK, elapsed_us=1 * SECOND)
    assert sends(driver.actions, 10)


def test_an_engine_without_our_heavy_queries_takes_one_under_pressure() -> None:
    driver = loaded(engine("a"))
    driver.gateway.share = 0.01
    driver.report("a", utilisation=1.0)
    assert sends(ask_long(driver, 1)) and not sends(ask_long(driver, 2))


def test_a_full_refusal_and_a_queue_for_memory_are_pressure_too() -> None:
    driver = loaded(engine("a"))
    item = driver.gateway.engines["a"]
    driver.report("a", utilisation=0.2, memory_queue=1)
    assert driver.gateway._pressed(item)
    driver.report("a", utilisation=0.2, memory_queue=0)
    assert not driver.gateway._pressed(item)
    item.full_until = driver.now + 1
    assert driver.gateway._pressed(item)


def test_held_queries_leave_by_deadline_and_are_refused_when_too_late() -> None:
    driver = loaded(engine("a"))
    driver.gateway.share = 0.01
    driver.report("a", utilisation=1.0)
    ask_long(driver, 1)
    for number, cost in ((2, 2.4), (3, 2.0), (4, 2.2)):
        driver.ask(number, "long", cost_us=cost * SECOND, give_up_us=driver.now + 60 * SECOND)
    driver.report("a", utilisation=1.0)
    assert [s.query for s in sends(driver.end(1, Out.OK))] == [3]
    for _ in range(500):  # the one that runs has no end
        driver.now += 50_000
        driver.report("a", utilisation=1.0)
        driver.tell(api.AttemptNote(3, 0, "a", api.Topic.PROGRESS, 0.001 * _))
    driver.wait(50_000)
    assert answers(driver.actions, 2) == answers(driver.actions, 4) == [api.Refuse]


def test_light_queries_do_not_keep_up_a_jam() -> None:
    driver = Driver(settings(), engine("a"))
    driver.learn()
    for number in range(100):
        driver.report("a", utilisation=1.0)
        driver.ask(number)
    width = driver.gateway.engines["a"].width
    assert 1 <= len(sends(driver.actions)) - 40 <= BRIM * width * 8 / 2


def test_the_draw_follows_reports_and_our_own_sends() -> None:
    driver = Driver(settings(), engine("busy"), engine("idle"))
    for number in range(300):
        driver.report("busy", utilisation=0.9)
        driver.report("idle", utilisation=0.3)
        driver.ask(number)
        driver.end(number, Out.OK)
        driver.now += 300_000
    drawn = Counter(s.engine for s in sends(driver.actions))
    assert drawn["idle"] > 3 * drawn["busy"] > 0


def test_our_sends_count_until_reports_show_them() -> None:
    driver = Driver(settings(), engine("a"), engine("b"))
    for number in range(200):
        driver.ask(number, cost_us=1000.0)
    drawn = Counter(s.engine for s in sends(driver.actions))
    assert abs(drawn["a"] - drawn["b"]) < 40


def test_an_unheard_engine_counts_as_average() -> None:
    driver = Driver(settings(), engine("a"), engine("b"), engine("new"))
    driver.report("a", utilisation=0.2)
    driver.report("b", utilisation=0.6)
    driver.gateway._refresh()
    assert abs(driver.gateway._load(driver.gateway.engines["new"]) - 0.4) < 1e-9
    driver.wait(10 * SECOND)  # the reports have grown too old to say anything
    loads = {driver.gateway._load(e) for e in driver.gateway.engines.values()}
    assert len(loads) == 1


def test_same_events_same_actions() -> None:
    def run(seed: int) -> list[api.Action]:
        driver = Driver(settings(), *(engine(f"e{n}") for n in range(5)), seed=seed)
        for number in range(50):
            driver.ask(number)
            driver.wait(50_000)
        return driver.actions

    assert run(1) == run(1) != run(2)


def test_without_estimates_a_class_is_labelled_by_what_answers_tell_of_it() -> None:
    classes = query_class("short"), query_class("long", threads=2)
    driver = Driver(settings(*classes, tells_cost=True), *(engine(f"e{n}") for n in range(4)))
    for number in range(120):
        name, work_ms = ("long", 2000.0) if number % 4 == 0 else ("short", 50.0)
        driver.ask(number, name, cost_us=None, memory_mb=None)
        driver.now += 20_000
        driver.end(number, api.Outcome.OK, work_ms=work_ms)
    driver.ask(200, "long", cost_us=None, memory_mb=None)
    driver.ask(201, "short", cost_us=None, memory_mb=None)
    assert driver.gateway.queries[200].heavy and not driver.gateway.queries[201].heavy
    assert abs(driver.gateway.queries[200].span_us - SECOND) < 1000


def test_what_answers_tell_counts_on_the_scale_of_the_estimates_that_others_give() -> None:
    driver = Driver(settings(tells_cost=True), *(engine(f"e{n}") for n in range(4)))
    for number in range(400):  # estimates of a third of the work, and every other query without one
        driver.ask(number, cost_us=None if number % 2 else 100_000.0)
        driver.now += 20_000
        driver.end(number, api.Outcome.OK, work_ms=300.0)
    driver.ask(1000, cost_us=None)
    assert 290_000 < driver.gateway.queries[1000].span_us < 330_000  # not three times as much again


def test_an_engine_long_unheard_is_not_taken_for_one_that_holds_as_much_and_was_heard() -> None:
    """Engines were compared by what they hold of ours: a stale report counted as fresh where another's
    was, and to look for one among many cost a comparison of all fields with each."""
    driver = Driver(settings(query_class(zones=("z2",))), engine("a"), engine("b"), engine("c", zone="z2"))
    stale, heard, other = (driver.gateway.engines[name] for name in "abc")
    driver.tell(api.ProbeEnded("a", api.Outcome.OK, 1000, api.LoadReport(utilisation=1.9)))
    driver.now += 5 * SECOND
    driver.tell(api.ProbeEnded("b", api.Outcome.OK, 1000, api.LoadReport(utilisation=0.1)))
    for query in (1, 2):  # the first makes all weights anew, at one time
        driver.now += SECOND // 2
        driver.ask(query)
    assert stale != heard
    assert driver.gateway.whole.cores == stale.cores + heard.cores + other.cores


def unestimated() -> Driver:
    """A class of 100 ms whose queries come without estimates, and whose answers tell the work."""
    driver = Driver(settings(tells_cost=True), *(engine(f"e{n}") for n in range(2)))
    for number in range(100):
        driver.ask(number, cost_us=None, memory_mb=None)
        driver.now += 100_000
        driver.end(number, Out.OK, work_ms=100.0)
    return driver


def test_without_estimates_long_work_at_full_pace_is_not_taken_for_a_slow_engine() -> None:
    """The class's mean stood in for what answers tell: an engine with long work counted as pressed."""
    driver = unestimated()
    engines = driver.gateway.engines.values()
    before = [(e.width, e.stretch) for e in engines]
    for number in range(200, 240):
        driver.ask(number, cost_us=None, memory_mb=None)
        driver.end(number, Out.OK, elapsed_us=SECOND, work_ms=1000.0)
    assert all(width <= e.width and e.stretch < 1.1 for e, (width, _) in zip(engines, before, strict=True))
    for number in range(300, 340):  # as much work at a quarter of the pace is a slow engine's
        driver.ask(number, cost_us=None, memory_mb=None)
        driver.end(number, Out.OK, elapsed_us=4 * SECOND, work_ms=1000.0)
    assert all(driver.gateway._pressed(e) for e in engines)


def test_without_estimates_long_work_is_no_runaway() -> None:
    """Each of its notes narrowed the bounds, and where cancels are allowed it began anew elsewhere."""
    driver = unestimated()
    for e in driver.gateway.engines.values():
        e.stretch = driver.gateway.whole.stretch  # so that time alone, too, moves none of them
    before = [(e.width, e.stretch) for e in driver.gateway.engines.values()]
    driver.ask(200, cost_us=None, memory_mb=None, give_up_us=driver.now + 60 * SECOND)
    (sent,) = sends(driver.actions, 200)
    for step in range(1, 9):
        driver.now += SECOND
        driver.tell(api.AttemptNote(200, 0, sent.engine, api.Topic.PROGRESS, step / 10))
    assert before == [(e.width, e.stretch) for e in driver.gateway.engines.values()]
    assert not [a for a in driver.actions if isinstance(a, api.CancelAttempt)]
    assert sends(driver.actions, 200) == [sent]


def test_a_change_of_the_list_does_not_forget_how_engines_and_classes_fared() -> None:
    """It has all weights made anew, which took the time since the module's beginning for passed."""
    driver = Driver(settings(), engine("a"), engine("b"), engine("c"))
    driver.ask(1)  # weights are made
    slow, cls = driver.gateway.engines["a"], driver.gateway.classes["short"]
    slow.stretch, cls.recent.value, cls.best = 3.0, 2.0, 1.0
    driver.now += 10_000
    driver.name_engines(engine("d"), kind=api.ListKind.DELTA)
    driver.ask(2)
    assert slow.stretch > 2.9 and cls.recent.value > 1.9
    assert driver.gateway.engines["d"].weight != 1.0  # all weights are made anew all the same


def test_first_queries_without_estimates_are_not_refused_by_work_that_answers_tell_otherwise() -> None:
    """Forty at once, of a class of which nothing is known: first answers tell far less work than the guess
    that stood for it, and as many times more was then expected of those that waited."""
    driver = Driver(settings(tells_cost=True), engine("a"))
    for number in range(40):
        driver.ask(number, cost_us=None, memory_mb=None)
    driver.now += 100_000
    for number in range(40):
        if sends(driver.actions, number):
            driver.end(number, Out.OK, work_ms=12.5)
    assert not [a for a in driver.actions if isinstance(a, api.Refuse)]
