"""A load locks its table group on an engine while it runs: loads of one group queue there."""

from whintrail import interface as api

from .helpers import SECOND, PolicyDriver, engine, final_answers, query_class, sends, settings

LOAD_CLASS = query_class("load", is_load=True, effect=api.Effect.ONCE, threads=2)


def load_driver(*names: str) -> PolicyDriver:
    return PolicyDriver(settings(LOAD_CLASS, kind_cores={"k8": 400.0}), *(engine(name) for name in names))


def test_a_load_whose_queue_is_too_long_is_refused_while_other_tables_are_free() -> None:
    driver = load_driver("e1", "e2")
    for number in range(40):
        driver.arrive_query(number, "load", cost_us=2.0 * SECOND, table_group=4)
    driver.advance(SECOND // 4)
    accepted = [number for number in range(40) if sends(driver.actions, number)]
    refused = [number for number in range(40) if final_answers(driver.actions, number) == [api.RefuseQuery]]
    assert 2 <= len(accepted) <= 10  # one second each: four to six per engine are in time, on two engines
    assert sorted(accepted + refused) == list(range(40))
    assert sends(driver.arrive_query(100, "load", cost_us=2.0 * SECOND, table_group=5))


def test_a_load_joins_the_shortest_queue_of_its_tables() -> None:
    driver = load_driver("e1", "e2", "e3", "e4")
    for number in range(8):
        driver.arrive_query(number, "load", cost_us=2.0 * SECOND, table_group=4)
    placed = [send.engine for send in sends(driver.actions)]
    assert sorted(placed[:4]) == sorted(placed[4:]) == ["e1", "e2", "e3", "e4"]


def test_finished_table_groups_leave_no_state() -> None:
    driver = load_driver("e1", "e2")
    for number in range(50):
        driver.arrive_query(number, "load", cost_us=2.0 * SECOND, table_group=1000 + number)
        driver.finish_attempt(number, api.Outcome.OK, elapsed_us=SECOND)
        driver.arrive_query(100 + number, "load", cost_us=1e12, table_group=2000 + number)
    assert not any(known.table_group_work for known in driver.policy.engines.values())


def test_an_absurd_estimate_does_not_distort_the_class_means() -> None:
    driver = PolicyDriver(
        settings(query_class("long", threads=1), kind_memory_mb={"k8": 1000.0}), engine("e1")
    )
    driver.serve_queries("long", cost_us=0.1 * SECOND, memory_mb=10.0)
    driver.arrive_query(1, "long", cost_us=1e17, memory_mb=1e17)
    cls = driver.policy.classes["long"]
    assert cls.mean_cost.value < 2 * SECOND and cls.mean_memory.value < 100


def test_a_held_load_is_sent_when_its_queue_shrinks() -> None:
    driver = load_driver("e1")
    for number in range(20):
        driver.arrive_query(number, "load", cost_us=2.0 * SECOND, table_group=4)
    driver.advance(SECOND // 4)
    first = next(number for number in range(20) if sends(driver.actions, number))
    assert not sends(driver.arrive_query(100, "load", cost_us=2.0 * SECOND, table_group=4))
    driver.finish_attempt(first, api.Outcome.OK, elapsed_us=SECOND)
    assert sends(driver.actions, 100)  # it was held until now


def test_time_queued_behind_local_loads_does_not_count_as_latency() -> None:
    driver = load_driver("e1")
    for number in range(4):
        driver.arrive_query(number, "load", cost_us=1.0 * SECOND, table_group=4)
    for number in range(4):  # they run one after another, half a second each
        driver.now += SECOND // 2
        driver.finish_attempt(number, api.Outcome.OK, elapsed_us=(number + 1) * SECOND // 2)
    assert 0.9 < driver.policy.classes["load"].recent_latency.value < 1.1


def test_a_silent_queued_load_is_not_a_lost_answer() -> None:
    driver = load_driver("e1")
    driver.arrive_query(1, "load", cost_us=1.0 * SECOND, table_group=4)
    driver.arrive_query(2, "load", cost_us=1.0 * SECOND, table_group=4)
    for _ in range(20):
        driver.advance(SECOND // 4)
        driver.handle(
            api.AttemptStatusReceived(1, 0, "e1", api.StatusTopic.PROGRESS, driver.now / 10**12)
        )  # the engine is alive
    assert driver.policy.engines["e1"].error_rate.value == 0


def crowded_driver(open_queries: int) -> PolicyDriver:
    report = query_class("report", target_latency_us=SECOND // 2, target_latency_ratio=2.5, threads=2)
    driver = PolicyDriver(
        settings(LOAD_CLASS, query_class(), report, kind_cores={"k8": 400.0}, max_open=100), engine("e1")
    )
    driver.serve_queries("report", cost_us=0.2 * SECOND)
    for number in range(open_queries):
        driver.arrive_query(number, cost_us=1000.0)
    return driver


def test_the_fewer_query_slots_are_left_the_sooner_a_heavy_query_must_finish() -> None:
    for open_queries, seconds, accepted in (
        (60, 8.0, True),
        (90, 8.0, False),
        (90, 0.2, True),
        (98, 0.4, False),
    ):
        driver = crowded_driver(open_queries)
        actions = driver.arrive_query(1000, "report", cost_us=seconds * SECOND)
        assert bool(sends(actions, 1000)) == accepted
        assert final_answers(actions, 1000) == ([] if accepted else [api.RefuseQuery])


def test_no_load_queues_when_few_query_slots_are_left() -> None:
    driver = crowded_driver(90)
    for number in (1000, 1001):
        driver.arrive_query(number, "load", cost_us=0.2 * SECOND, table_group=4)
    assert sends(driver.actions, 1000)
    assert final_answers(driver.actions, 1001) == [api.RefuseQuery]


def test_light_queries_are_sent_up_to_the_last_query_slot() -> None:
    driver = crowded_driver(99)
    assert sends(driver.arrive_query(1000, cost_us=1000.0))
