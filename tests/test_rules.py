"""The seven rules, on the module alone."""

import pytest

from tests.helpers import SECOND, Driver, answers, engine, query_class, sends, settings
from whintrail import interface as api
from whintrail.brain import KEYED_SLACK_US

Out = api.Outcome
UNSURE = [Out.ERROR, Out.TIMEOUT, Out.RESET, Out.CANCELLED, Out.UNKNOWN]
NEVER_RAN = [Out.FULL, Out.CONNECT_FAILED, Out.MOOT]


# --- 1. One final answer, before the client gives up, and nothing after it.


def test_every_query_gets_one_answer_before_its_deadline() -> None:
    driver = Driver(settings(), engine("a"))
    driver.ask(1)
    driver.wait(10 * SECOND - 50_000)
    assert answers(driver.actions, 1) == [api.Refuse]
    before = len(driver.actions)
    driver.end(1, Out.CANCELLED)
    driver.wait(SECOND)
    assert not sends(driver.actions[before:]) and len(answers(driver.actions, 1)) == 1


@pytest.mark.parametrize("entries", [(), (engine("a", state=api.EngineState.DRAINING),)])
def test_no_engine_to_send_to_still_brings_an_answer(entries: tuple[api.EngineEntry, ...]) -> None:
    driver = Driver(settings(), *entries)
    driver.ask(1)
    driver.wait(10 * SECOND)
    assert not sends(driver.actions) and answers(driver.actions, 1) == [api.Refuse]


def test_a_deadline_already_past_or_all_but_past_is_refused_at_once() -> None:
    driver = Driver(settings(), engine("a"))
    assert answers(driver.ask(1, give_up_us=driver.now - 1), 1) == [api.Refuse]
    driver.name_engines()
    assert answers(driver.ask(2, give_up_us=driver.now + 20_000), 2) == [api.Refuse]


def test_nothing_is_sent_for_a_query_whose_client_left() -> None:
    driver = Driver(settings(), engine("a"), engine("b"))
    driver.ask(1)
    left = driver.tell(api.ClientLeft(1))
    assert [a for a in left if isinstance(a, api.CancelAttempt)]
    driver.end(1, Out.CANCELLED, final=True)
    driver.tell(api.ClientLeft(1))
    driver.wait(11 * SECOND)
    assert len(sends(driver.actions, 1)) == 1 and not answers(driver.actions, 1)


def test_unknown_class_fails_and_unknown_words_are_ignored() -> None:
    driver = Driver(settings(), engine("a"))
    assert answers(driver.ask(1, "no such class"), 1) == [api.Fail]
    assert driver.end(99, Out.OK) == []
    assert driver.tell(api.TimerFired("stray")) == []
    assert driver.tell(api.AttemptNote(99, 0, "a", api.Topic.PROGRESS, 0.5)) == []
    assert driver.tell(api.ProbeEnded("no such engine", Out.OK, 1, None)) == []


# --- 2. No effect twice.


@pytest.mark.parametrize("outcome", UNSURE)
def test_once_fails_after_an_attempt_that_may_have_run(outcome: api.Outcome) -> None:
    driver = Driver(settings(query_class(effect=api.Effect.ONCE)), engine("a"), engine("b"))
    driver.ask(1)
    given = driver.end(1, outcome)
    assert not sends(given) and answers(given, 1) == [api.Fail]


@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_once_goes_on_after_an_attempt_that_never_ran(outcome: api.Outcome) -> None:
    driver = Driver(settings(query_class(effect=api.Effect.ONCE)), engine("a"), engine("b"))
    first = sends(driver.ask(1))[0]
    again = sends(driver.end(1, outcome))
    assert len(again) == 1 and again[0].engine != first.engine


def test_once_that_is_still_out_at_the_deadline_fails() -> None:
    driver = Driver(settings(query_class(effect=api.Effect.ONCE)), engine("a"), engine("b"))
    driver.ask(1)
    driver.wait(10 * SECOND)
    assert len(sends(driver.actions, 1)) == 1 and answers(driver.actions, 1) == [api.Fail]


@pytest.mark.parametrize(
    ("group", "allowed"),
    [
        (api.DedupGroup.ALL, {"same cell", "same zone", "elsewhere"}),
        (api.DedupGroup.ZONE, {"same cell", "same zone"}),
        (api.DedupGroup.CELL, {"same cell"}),
    ],
)
def test_by_key_stays_within_its_group(group: api.DedupGroup, allowed: set[str]) -> None:
    seen = set()
    for seed in range(30):
        given = settings(query_class(effect=api.Effect.BY_KEY, group=group))
        driver = Driver(given, engine("first"), seed=seed)
        driver.ask(1)
        driver.name_engines(
            engine("same cell"), engine("same zone", cell=1), engine("elsewhere", zone="z2", cell=2)
        )
        seen |= {s.engine for s in sends(driver.end(1, Out.ERROR))}
    assert seen == allowed


def test_by_key_is_not_sent_after_its_window_nor_refused() -> None:
    given = settings(query_class(effect=api.Effect.BY_KEY, window_us=SECOND, deadline_us=30 * SECOND))
    driver = Driver(given, engine("a"), engine("b"))
    driver.ask(1, give_up_us=driver.now + 30 * SECOND)
    driver.now += SECOND
    late = driver.end(1, Out.RESET)
    assert not sends(late) and answers(late, 1) == [api.Fail]


def test_by_key_is_repeated_only_where_the_last_copy_arrives_within_the_window() -> None:
    given = settings(
        query_class(effect=api.Effect.BY_KEY, window_us=SECOND, deadline_us=30 * SECOND), retry_after=False
    )
    for waited, repeated in ((900_000, True), (960_000, False)):
        driver = Driver(given, engine("a"), engine("b"))
        start = driver.now
        driver.ask(1, give_up_us=driver.now + 30 * SECOND)
        driver.now += waited
        given_up = driver.end(1, Out.RESET)
        assert [a.begin_by_us for a in sends(given_up)] == [start + SECOND - KEYED_SLACK_US] * repeated
        assert answers(given_up, 1) == ([] if repeated else [api.Fail])


def test_a_keyed_refusal_promises_no_more_than_the_window_holds_after_the_pause() -> None:
    cls = query_class(effect=api.Effect.BY_KEY, window_us=4 * SECOND, deadline_us=30 * SECOND)
    for waited, told in ((2_900_000, api.Refuse), (2_960_000, api.Fail)):
        driver = Driver(settings(cls, max_attempts=1, max_retry_after_us=SECOND), engine("a"))
        driver.ask(1, give_up_us=driver.now + 30 * SECOND)
        driver.now += waited
        assert answers(driver.end(1, Out.RESET), 1) == [told]


def test_by_key_in_a_group_that_is_down_is_held_then_failed() -> None:
    given = settings(query_class(effect=api.Effect.BY_KEY, group=api.DedupGroup.CELL))
    driver = Driver(given, engine("a"), engine("b", cell=1))
    first = sends(driver.ask(1))[0].engine
    other = "b" if first == "a" else "a"
    driver.name_engines(engine(other, cell=1 if other == "b" else 0))
    driver.end(1, Out.RESET)
    driver.wait(10 * SECOND)
    assert len(sends(driver.actions, 1)) == 1 and answers(driver.actions, 1) == [api.Fail]


def test_no_two_attempts_out_where_second_copies_are_off() -> None:
    driver = Driver(settings(second_copies=False), engine("a"), engine("b"))
    driver.learn()
    driver.ask(1)
    moved = driver.wait(3 * SECOND)
    assert [a for a in moved if isinstance(a, api.CancelAttempt)] and not sends(moved, 1)
    assert len(sends(driver.end(1, Out.CANCELLED), 1)) == 1


# --- 3. Drains.


@pytest.mark.parametrize("state", [api.EngineState.DRAINING, api.EngineState.GONE])
def test_nothing_new_to_a_draining_or_gone_engine(state: api.EngineState) -> None:
    driver = Driver(settings(), engine("a"), engine("b"))
    driver.name_engines(engine("a", state=state), kind=api.ListKind.DELTA)
    for number in range(30):
        driver.ask(number)
    assert {s.engine for s in sends(driver.actions)} == {"b"}


def test_an_engine_missing_from_a_full_list_is_gone_but_not_from_a_change() -> None:
    driver = Driver(settings(), engine("a"), engine("b"))
    driver.name_engines(engine("c"), kind=api.ListKind.DELTA)
    assert set(driver.gateway.engines) == {"a", "b", "c"}
    driver.name_engines(engine("c"))
    assert set(driver.gateway.engines) == {"c"}
    driver.name_engines(kind=api.ListKind.FAILED)
    assert set(driver.gateway.engines) == {"c"}


# --- 4. Cold engines.


@pytest.mark.parametrize("kind", [api.ListKind.CACHED, api.ListKind.FULL, api.ListKind.DELTA])
def test_work_for_a_cold_engine_stays_within_our_share_of_a_safe_part(kind: api.ListKind) -> None:
    driver = Driver(settings(), engine("warm"))
    driver.learn()
    driver.name_engines(engine("warm", state=api.EngineState.GONE), kind=api.ListKind.DELTA)
    driver.name_engines(engine("cold", started_us=driver.now - SECOND), kind=kind)
    for number in range(100):  # a burst
        driver.ask(number)
    work = 100_000 * len(sends(driver.actions[-1000:]))
    bearable = 2.0 * 0.4 * 8 * SECOND / 2
    sent = [s for s in sends(driver.actions) if s.engine == "cold"]
    assert work and 0 < 100_000 * len(sent) <= 0.8 * bearable
    driver.now += 15 * SECOND
    assert sends(driver.ask(200))


def test_a_class_whose_usual_work_exceeds_the_budget_waits_for_a_warm_engine() -> None:
    driver = Driver(settings(), engine("warm"))
    driver.learn(cost_us=5.0 * SECOND)
    driver.name_engines(engine("cold", started_us=driver.now))
    assert not sends(driver.ask(1))


# --- 5. Order by key.


def ordered(**changes: object) -> api.Settings:
    return settings(query_class(in_order=True), **changes)


def test_queries_of_one_key_run_one_at_a_time_in_order() -> None:
    driver = Driver(ordered(), engine("a"), engine("b"))
    assert sends(driver.ask(1, key="k")) and not sends(driver.ask(2, key="k"))
    assert not sends(driver.ask(3, key="k")) and sends(driver.ask(4, key="other"))
    assert sends(driver.ask(5))
    assert [s.query for s in sends(driver.end(1, Out.OK))] == [2]
    assert [s.query for s in sends(driver.end(2, Out.OK))] == [3]


@pytest.mark.parametrize("outcome", [Out.TIMEOUT, Out.RESET, Out.CANCELLED, Out.UNKNOWN])
def test_a_key_rests_after_an_attempt_that_may_still_run(outcome: api.Outcome) -> None:
    driver = Driver(ordered(max_attempts=1), engine("a"), engine("b"))
    driver.ask(1, key="k")
    driver.ask(2, key="k")
    assert not sends(driver.end(1, outcome))
    assert not sends(driver.wait(SECOND - 50_000), 2)
    assert sends(driver.wait(150_000), 2)


def test_another_try_of_the_query_whose_turn_it_is_does_not_rest() -> None:
    driver = Driver(ordered(), engine("a"), engine("b"))
    driver.ask(1, key="k")
    assert sends(driver.end(1, Out.RESET), 1)


def test_a_refused_query_leaves_the_line_out_of_turn() -> None:
    driver = Driver(ordered(), engine("a"))
    driver.ask(1, key="k")
    driver.ask(2, key="k", give_up_us=driver.now + SECOND)
    driver.ask(3, key="k")
    assert answers(driver.wait(SECOND), 2) == [api.Refuse]
    assert [s.query for s in sends(driver.end(1, Out.OK))] == [3]
    driver.end(3, Out.OK)
    driver.wait(SECOND)
    assert not driver.gateway.lines and not driver.gateway.queries


# --- 6. Placement.


def test_placement_holds_at_every_attempt_even_with_all_allowed_engines_down() -> None:
    given = settings(query_class(zones=("z1",), kinds=("k8",)))
    driver = Driver(given, engine("in"), engine("zone", zone="z2"), engine("kind", kind="k9"))
    driver.ask(1)
    driver.end(1, Out.CONNECT_FAILED)
    driver.name_engines(engine("in", state=api.EngineState.GONE), kind=api.ListKind.DELTA)
    driver.ask(2)
    driver.wait(10 * SECOND)
    assert {s.engine for s in sends(driver.actions)} == {"in"}
    assert answers(driver.actions, 2) == [api.Refuse]


def test_an_empty_list_of_places_allows_none() -> None:
    driver = Driver(settings(query_class(zones=())), engine("a"))
    driver.ask(1)
    driver.wait(10 * SECOND)
    assert not sends(driver.actions)


# --- 7. Budget.


def test_further_attempts_stay_within_the_stated_budget() -> None:
    given = settings(budget_share=0.1, budget_free=2, budget_window_us=10 * SECOND)
    driver = Driver(given, *(engine(f"e{n}") for n in range(20)))
    for number in range(50):
        driver.ask(number)
        driver.end(number, Out.ERROR)
    assert len(sends(driver.actions)) - 50 <= 2 + 0.1 * 50


def test_a_budget_of_none_free_and_no_share_allows_no_further_attempt() -> None:
    given = settings(budget_share=0.0, budget_free=0, budget_window_us=10 * SECOND)
    driver = Driver(given, engine("a"), engine("b"))
    driver.ask(1)
    given_up = driver.end(1, Out.ERROR)
    assert not sends(given_up) and answers(given_up, 1) == [api.Refuse]


def test_no_more_attempts_than_the_limit() -> None:
    driver = Driver(settings(max_attempts=2), *(engine(f"e{n}") for n in range(5)))
    driver.ask(1)
    driver.end(1, Out.ERROR)
    assert answers(driver.end(1, Out.ERROR, attempt=1), 1) == [api.Refuse]
    assert len(sends(driver.actions, 1)) == 2
