"""Loads hold their group of tables on an engine while they run: they stand in line there."""

from whintrail import interface as api

from .helpers import SECOND, Driver, answers, engine, query_class, sends, settings

LOAD = query_class("load", is_load=True, effect=api.Effect.ONCE, threads=2)


def driver(*names: str) -> Driver:
    return Driver(settings(LOAD, kind_cores={"k8": 400.0}), *(engine(name) for name in names))


def test_a_load_whose_line_is_too_long_is_refused_at_once_while_other_tables_are_free() -> None:
    given = driver("e1", "e2")
    for number in range(40):
        given.ask(number, "load", cost_us=2.0 * SECOND, tables=4)
    given.wait(SECOND // 4)
    taken = [number for number in range(40) if sends(given.actions, number)]
    refused = [number for number in range(40) if answers(given.actions, number) == [api.Refuse]]
    assert 2 <= len(taken) <= 10  # a second each on its threads, four to six until it is late, on two engines
    assert sorted(taken + refused) == list(range(40))
    assert sends(given.ask(100, "load", cost_us=2.0 * SECOND, tables=5))


def test_a_load_joins_the_shortest_line_of_its_tables() -> None:
    given = driver("e1", "e2", "e3", "e4")
    for number in range(8):
        given.ask(number, "load", cost_us=2.0 * SECOND, tables=4)
    placed = [send.engine for send in sends(given.actions)]
    assert sorted(placed[:4]) == sorted(placed[4:]) == ["e1", "e2", "e3", "e4"]


def test_table_groups_leave_nothing_behind() -> None:
    given = driver("e1", "e2")
    for number in range(50):
        given.ask(number, "load", cost_us=2.0 * SECOND, tables=1000 + number)
        given.end(number, api.Outcome.OK, elapsed_us=SECOND)
        given.ask(100 + number, "load", cost_us=1e12, tables=2000 + number)
    assert not any(known.loads for known in given.gateway.engines.values())


def test_an_estimate_out_of_all_range_says_nothing_of_other_queries() -> None:
    given = Driver(settings(query_class("long", threads=1), kind_memory_mb={"k8": 1000.0}), engine("e1"))
    given.learn("long", cost_us=0.1 * SECOND, memory_mb=10.0)
    given.ask(1, "long", cost_us=1e17, memory_mb=1e17)
    cls = given.gateway.classes["long"]
    assert cls.cost.value < 2 * SECOND and cls.memory.value < 100


def test_a_line_gets_shorter_as_its_loads_end() -> None:
    given = driver("e1")
    for number in range(20):
        given.ask(number, "load", cost_us=2.0 * SECOND, tables=4)
    given.wait(SECOND // 4)
    first = next(number for number in range(20) if sends(given.actions, number))
    assert not sends(given.ask(100, "load", cost_us=2.0 * SECOND, tables=4))
    given.end(first, api.Outcome.OK, elapsed_us=SECOND)
    assert sends(given.actions, 100)  # held until now, it takes the place


def test_time_in_line_behind_ours_is_not_held_against_the_engine() -> None:
    given = driver("e1")
    for number in range(4):
        given.ask(number, "load", cost_us=1.0 * SECOND, tables=4)
    for number in range(4):  # each runs for half a second, one after another
        given.now += SECOND // 2
        given.end(number, api.Outcome.OK, elapsed_us=(number + 1) * SECOND // 2)
    assert 0.9 < given.gateway.classes["load"].recent.value < 1.1


def test_silence_in_line_is_no_lost_answer() -> None:
    given = driver("e1")
    given.ask(1, "load", cost_us=1.0 * SECOND, tables=4)
    given.ask(2, "load", cost_us=1.0 * SECOND, tables=4)
    for _ in range(20):
        given.wait(SECOND // 4)
        given.tell(api.AttemptNote(1, 0, "e1", api.Topic.PROGRESS, given.now / 10**12))  # the engine lives
    assert given.gateway.engines["e1"].errors.value == 0


def crowded(open_queries: int) -> Driver:
    report = query_class("report", aim_us=SECOND // 2, aim_stretch=2.5, threads=2)
    given = Driver(
        settings(LOAD, query_class(), report, kind_cores={"k8": 400.0}, max_open=100), engine("e1")
    )
    given.learn("report", cost_us=0.2 * SECOND)
    for number in range(open_queries):
        given.ask(number, cost_us=1000.0)
    return given


def test_the_fewer_queries_clients_can_still_open_the_sooner_a_heavy_one_must_end() -> None:
    for open_queries, seconds, taken in (
        (60, 8.0, True),
        (90, 8.0, False),
        (90, 0.2, True),
        (98, 0.4, False),
    ):
        given = crowded(open_queries)
        actions = given.ask(1000, "report", cost_us=seconds * SECOND)
        assert bool(sends(actions, 1000)) == taken
        assert answers(actions, 1000) == ([] if taken else [api.Refuse])


def test_where_clients_can_open_little_more_no_load_stands_in_line() -> None:
    given = crowded(90)
    for number in (1000, 1001):
        given.ask(number, "load", cost_us=0.2 * SECOND, tables=4)
    assert sends(given.actions, 1000)
    assert answers(given.actions, 1001) == [api.Refuse]


def test_light_queries_pass_while_clients_can_open_one_more() -> None:
    given = crowded(99)
    assert sends(given.ask(1000, cost_us=1000.0))
