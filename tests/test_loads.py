"""Loads hold their group of tables on an engine while they run: they stand in line there."""

from whintrail import interface as api

from .helpers import SECOND, PolicyDriver, engine, final_answers, query_class, sends, settings

LOAD_CLASS = query_class("load", is_load=True, effect=api.Effect.ONCE, threads=2)


def load_driver(*names: str) -> PolicyDriver:
    return PolicyDriver(settings(LOAD_CLASS, kind_cores={"k8": 400.0}), *(engine(name) for name in names))


def test_a_load_whose_queue_is_too_long_is_refused_while_other_tables_are_free() -> None:
    given = load_driver("e1", "e2")
    for number in range(40):
        given.arrive_query(number, "load", cost_us=2.0 * SECOND, table_group=4)
    given.advance(SECOND // 4)
    taken = [number for number in range(40) if sends(given.actions, number)]
    refused = [number for number in range(40) if final_answers(given.actions, number) == [api.RefuseQuery]]
    assert 2 <= len(taken) <= 10  # a second each on its threads, four to six until it is late, on two engines
    assert sorted(taken + refused) == list(range(40))
    assert sends(given.arrive_query(100, "load", cost_us=2.0 * SECOND, table_group=5))


def test_a_load_joins_the_shortest_queue_of_its_tables() -> None:
    given = load_driver("e1", "e2", "e3", "e4")
    for number in range(8):
        given.arrive_query(number, "load", cost_us=2.0 * SECOND, table_group=4)
    placed = [send.engine for send in sends(given.actions)]
    assert sorted(placed[:4]) == sorted(placed[4:]) == ["e1", "e2", "e3", "e4"]


def test_finished_table_groups_leave_no_state() -> None:
    given = load_driver("e1", "e2")
    for number in range(50):
        given.arrive_query(number, "load", cost_us=2.0 * SECOND, table_group=1000 + number)
        given.finish_attempt(number, api.Outcome.OK, elapsed_us=SECOND)
        given.arrive_query(100 + number, "load", cost_us=1e12, table_group=2000 + number)
    assert not any(known.table_group_work for known in given.policy.engines.values())


def test_an_absurd_estimate_does_not_distort_the_class_means() -> None:
    given = PolicyDriver(
        settings(query_class("long", threads=1), kind_memory_mb={"k8": 1000.0}), engine("e1")
    )
    given.serve_queries("long", cost_us=0.1 * SECOND, memory_mb=10.0)
    given.arrive_query(1, "long", cost_us=1e17, memory_mb=1e17)
    cls = given.policy.classes["long"]
    assert cls.mean_cost.value < 2 * SECOND and cls.mean_memory.value < 100


def test_a_held_load_is_sent_when_its_queue_shrinks() -> None:
    given = load_driver("e1")
    for number in range(20):
        given.arrive_query(number, "load", cost_us=2.0 * SECOND, table_group=4)
    given.advance(SECOND // 4)
    first = next(number for number in range(20) if sends(given.actions, number))
    assert not sends(given.arrive_query(100, "load", cost_us=2.0 * SECOND, table_group=4))
    given.finish_attempt(first, api.Outcome.OK, elapsed_us=SECOND)
    assert sends(given.actions, 100)  # held until now, it takes the place


def test_time_queued_behind_local_loads_does_not_count_as_latency() -> None:
    given = load_driver("e1")
    for number in range(4):
        given.arrive_query(number, "load", cost_us=1.0 * SECOND, table_group=4)
    for number in range(4):  # each runs for half a second, one after another
        given.now += SECOND // 2
        given.finish_attempt(number, api.Outcome.OK, elapsed_us=(number + 1) * SECOND // 2)
    assert 0.9 < given.policy.classes["load"].recent_latency.value < 1.1


def test_a_silent_queued_load_is_not_a_lost_answer() -> None:
    given = load_driver("e1")
    given.arrive_query(1, "load", cost_us=1.0 * SECOND, table_group=4)
    given.arrive_query(2, "load", cost_us=1.0 * SECOND, table_group=4)
    for _ in range(20):
        given.advance(SECOND // 4)
        given.handle(
            api.AttemptStatusReceived(1, 0, "e1", api.StatusTopic.PROGRESS, given.now / 10**12)
        )  # the engine lives
    assert given.policy.engines["e1"].error_rate.value == 0


def crowded_driver(open_queries: int) -> PolicyDriver:
    report = query_class("report", target_latency_us=SECOND // 2, target_latency_ratio=2.5, threads=2)
    given = PolicyDriver(
        settings(LOAD_CLASS, query_class(), report, kind_cores={"k8": 400.0}, max_open=100), engine("e1")
    )
    given.serve_queries("report", cost_us=0.2 * SECOND)
    for number in range(open_queries):
        given.arrive_query(number, cost_us=1000.0)
    return given


def test_the_fewer_queries_clients_can_still_open_the_sooner_a_heavy_one_must_end() -> None:
    for open_queries, seconds, taken in (
        (60, 8.0, True),
        (90, 8.0, False),
        (90, 0.2, True),
        (98, 0.4, False),
    ):
        given = crowded_driver(open_queries)
        actions = given.arrive_query(1000, "report", cost_us=seconds * SECOND)
        assert bool(sends(actions, 1000)) == taken
        assert final_answers(actions, 1000) == ([] if taken else [api.RefuseQuery])


def test_no_load_queues_when_few_sessions_are_left() -> None:
    given = crowded_driver(90)
    for number in (1000, 1001):
        given.arrive_query(number, "load", cost_us=0.2 * SECOND, table_group=4)
    assert sends(given.actions, 1000)
    assert final_answers(given.actions, 1001) == [api.RefuseQuery]


def test_light_queries_pass_while_clients_can_open_one_more() -> None:
    given = crowded_driver(99)
    assert sends(given.arrive_query(1000, cost_us=1000.0))
