"""The seven rules, with the routing policy alone."""

import pytest

from tests.helpers import SECOND, PolicyDriver, engine, final_answers, query_class, sends, settings
from whintrail import interface as api
from whintrail.routing import DEDUP_WINDOW_MARGIN_US

Outcome = api.Outcome
MAY_HAVE_RUN_OUTCOMES = [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.UNKNOWN]
NEVER_RAN_OUTCOMES = [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED]


# --- 1. One final answer, before the client's deadline, and nothing after it.


def test_every_query_gets_one_answer_before_its_deadline() -> None:
    driver = PolicyDriver(settings(), engine("a"))
    driver.arrive_query(1)
    driver.advance(10 * SECOND - 50_000)
    assert final_answers(driver.actions, 1) == [api.RefuseQuery]
    before = len(driver.actions)
    driver.finish_attempt(1, Outcome.CANCELLED)
    driver.advance(SECOND)
    assert not sends(driver.actions[before:]) and len(final_answers(driver.actions, 1)) == 1


@pytest.mark.parametrize("entries", [(), (engine("a", state=api.EngineState.DRAINING),)])
def test_without_a_ready_engine_a_query_is_still_answered(entries: tuple[api.EngineEntry, ...]) -> None:
    driver = PolicyDriver(settings(), *entries)
    driver.arrive_query(1)
    driver.advance(10 * SECOND)
    assert not sends(driver.actions) and final_answers(driver.actions, 1) == [api.RefuseQuery]


def test_a_query_at_or_close_to_its_deadline_is_refused_at_once() -> None:
    driver = PolicyDriver(settings(), engine("a"))
    assert final_answers(driver.arrive_query(1, deadline_at_us=driver.now - 1), 1) == [api.RefuseQuery]
    driver.receive_engine_list()
    assert final_answers(driver.arrive_query(2, deadline_at_us=driver.now + 20_000), 2) == [api.RefuseQuery]


def test_nothing_is_sent_for_a_query_whose_client_disconnected() -> None:
    driver = PolicyDriver(settings(), engine("a"), engine("b"))
    driver.arrive_query(1)
    actions = driver.handle(api.ClientDisconnected(1))
    assert [a for a in actions if isinstance(a, api.CancelAttempt)]
    driver.finish_attempt(1, Outcome.CANCELLED, final=True)
    driver.handle(api.ClientDisconnected(1))
    driver.advance(11 * SECOND)
    assert len(sends(driver.actions, 1)) == 1 and not final_answers(driver.actions, 1)


def test_an_unknown_class_fails_and_unknown_ids_are_ignored() -> None:
    driver = PolicyDriver(settings(), engine("a"))
    assert final_answers(driver.arrive_query(1, "no such class"), 1) == [api.FailQuery]
    assert driver.finish_attempt(99, Outcome.OK) == []
    assert driver.handle(api.TimerFired("stray")) == []
    assert driver.handle(api.AttemptStatusReceived(99, 0, "a", api.StatusTopic.PROGRESS, 0.5)) == []
    assert driver.handle(api.ProbeFinished("no such engine", Outcome.OK, 1, None)) == []


# --- 2. No effect is applied twice.


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN_OUTCOMES)
def test_once_fails_after_an_attempt_that_may_have_run(outcome: api.Outcome) -> None:
    driver = PolicyDriver(settings(query_class(effect=api.Effect.ONCE)), engine("a"), engine("b"))
    driver.arrive_query(1)
    actions = driver.finish_attempt(1, outcome)
    assert not sends(actions) and final_answers(actions, 1) == [api.FailQuery]


@pytest.mark.parametrize("outcome", NEVER_RAN_OUTCOMES)
def test_once_is_retried_after_an_attempt_that_never_ran(outcome: api.Outcome) -> None:
    driver = PolicyDriver(settings(query_class(effect=api.Effect.ONCE)), engine("a"), engine("b"))
    first = sends(driver.arrive_query(1))[0]
    again = sends(driver.finish_attempt(1, outcome))
    assert len(again) == 1 and again[0].engine != first.engine


def test_once_that_is_still_running_at_the_deadline_fails() -> None:
    driver = PolicyDriver(settings(query_class(effect=api.Effect.ONCE)), engine("a"), engine("b"))
    driver.arrive_query(1)
    driver.advance(10 * SECOND)
    assert len(sends(driver.actions, 1)) == 1 and final_answers(driver.actions, 1) == [api.FailQuery]


@pytest.mark.parametrize(
    ("group", "allowed"),
    [
        (api.DedupScope.ALL, {"same cell", "same zone", "elsewhere"}),
        (api.DedupScope.ZONE, {"same cell", "same zone"}),
        (api.DedupScope.CELL, {"same cell"}),
    ],
)
def test_by_key_stays_within_its_dedup_scope(group: api.DedupScope, allowed: set[str]) -> None:
    seen = set()
    for seed in range(30):
        policy_settings = settings(query_class(effect=api.Effect.BY_KEY, dedup_scope=group))
        driver = PolicyDriver(policy_settings, engine("first"), seed=seed)
        driver.arrive_query(1)
        driver.receive_engine_list(
            engine("same cell"), engine("same zone", cell=1), engine("elsewhere", zone="z2", cell=2)
        )
        seen |= {s.engine for s in sends(driver.finish_attempt(1, Outcome.ERROR))}
    assert seen == allowed


def test_by_key_is_not_sent_after_its_window_nor_refused() -> None:
    policy_settings = settings(
        query_class(effect=api.Effect.BY_KEY, dedup_window_us=SECOND, deadline_us=30 * SECOND)
    )
    driver = PolicyDriver(policy_settings, engine("a"), engine("b"))
    driver.arrive_query(1, deadline_at_us=driver.now + 30 * SECOND)
    driver.now += SECOND
    late = driver.finish_attempt(1, Outcome.RESET)
    assert not sends(late) and final_answers(late, 1) == [api.FailQuery]


def test_by_key_is_repeated_only_if_the_last_repeat_arrives_within_the_window() -> None:
    policy_settings = settings(
        query_class(effect=api.Effect.BY_KEY, dedup_window_us=SECOND, deadline_us=30 * SECOND),
        retry_after=False,
    )
    for waited, repeated in ((900_000, True), (960_000, False)):
        driver = PolicyDriver(policy_settings, engine("a"), engine("b"))
        start = driver.now
        driver.arrive_query(1, deadline_at_us=driver.now + 30 * SECOND)
        driver.now += waited
        actions = driver.finish_attempt(1, Outcome.RESET)
        assert [a.start_by_us for a in sends(actions)] == [start + SECOND - DEDUP_WINDOW_MARGIN_US] * repeated
        assert final_answers(actions, 1) == ([] if repeated else [api.FailQuery])


def test_by_key_is_refused_only_if_a_retry_after_the_pause_is_within_the_window() -> None:
    cls = query_class(effect=api.Effect.BY_KEY, dedup_window_us=4 * SECOND, deadline_us=30 * SECOND)
    for waited, expected in ((2_900_000, api.RefuseQuery), (2_960_000, api.FailQuery)):
        driver = PolicyDriver(settings(cls, max_attempts=1, max_retry_after_us=SECOND), engine("a"))
        driver.arrive_query(1, deadline_at_us=driver.now + 30 * SECOND)
        driver.now += waited
        assert final_answers(driver.finish_attempt(1, Outcome.RESET), 1) == [expected]


def test_by_key_without_a_ready_engine_in_its_scope_is_held_then_failed() -> None:
    policy_settings = settings(query_class(effect=api.Effect.BY_KEY, dedup_scope=api.DedupScope.CELL))
    driver = PolicyDriver(policy_settings, engine("a"), engine("b", cell=1))
    first = sends(driver.arrive_query(1))[0].engine
    other = "b" if first == "a" else "a"
    driver.receive_engine_list(engine(other, cell=1 if other == "b" else 0))
    driver.finish_attempt(1, Outcome.RESET)
    driver.advance(10 * SECOND)
    assert len(sends(driver.actions, 1)) == 1 and final_answers(driver.actions, 1) == [api.FailQuery]


def test_no_concurrent_attempts_where_they_are_not_allowed() -> None:
    driver = PolicyDriver(settings(concurrent_attempts_allowed=False), engine("a"), engine("b"))
    driver.serve_queries()
    driver.arrive_query(1)
    moved = driver.advance(3 * SECOND)
    assert [a for a in moved if isinstance(a, api.CancelAttempt)] and not sends(moved, 1)
    assert len(sends(driver.finish_attempt(1, Outcome.CANCELLED), 1)) == 1


# --- 3. Draining engines.


@pytest.mark.parametrize("state", [api.EngineState.DRAINING, api.EngineState.REMOVED])
def test_nothing_is_sent_to_a_draining_or_removed_engine(state: api.EngineState) -> None:
    driver = PolicyDriver(settings(), engine("a"), engine("b"))
    driver.receive_engine_list(engine("a", state=state), kind=api.ListKind.DELTA)
    for number in range(30):
        driver.arrive_query(number)
    assert {s.engine for s in sends(driver.actions)} == {"b"}


def test_an_engine_missing_from_a_full_list_is_removed_but_not_from_a_delta() -> None:
    driver = PolicyDriver(settings(), engine("a"), engine("b"))
    driver.receive_engine_list(engine("c"), kind=api.ListKind.DELTA)
    assert set(driver.policy.engines) == {"a", "b", "c"}
    driver.receive_engine_list(engine("c"))
    assert set(driver.policy.engines) == {"c"}
    driver.receive_engine_list(kind=api.ListKind.FAILED)
    assert set(driver.policy.engines) == {"c"}


# --- 4. Cold engines.


@pytest.mark.parametrize("kind", [api.ListKind.CACHED, api.ListKind.FULL, api.ListKind.DELTA])
def test_work_for_a_cold_engine_stays_within_the_gateways_safe_share(kind: api.ListKind) -> None:
    driver = PolicyDriver(settings(), engine("warm"))
    driver.serve_queries()
    driver.receive_engine_list(engine("warm", state=api.EngineState.REMOVED), kind=api.ListKind.DELTA)
    driver.receive_engine_list(engine("cold", started_us=driver.now - SECOND), kind=kind)
    for number in range(100):  # a burst
        driver.arrive_query(number)
    work = 100_000 * len(sends(driver.actions[-1000:]))
    limit = 2.0 * 0.4 * 8 * SECOND / 2
    sent = [s for s in sends(driver.actions) if s.engine == "cold"]
    assert work and 0 < 100_000 * len(sent) <= 0.8 * limit
    driver.now += 15 * SECOND
    assert sends(driver.arrive_query(200))


def test_a_class_whose_typical_work_exceeds_the_budget_waits_for_a_warm_engine() -> None:
    driver = PolicyDriver(settings(), engine("warm"))
    driver.serve_queries(cost_us=5.0 * SECOND)
    driver.receive_engine_list(engine("cold", started_us=driver.now))
    assert not sends(driver.arrive_query(1))


# --- 5. Order by key.


def ordered_settings(**changes: object) -> api.Settings:
    return settings(query_class(ordered_by_key=True), **changes)


def test_queries_of_one_key_run_one_at_a_time_in_order() -> None:
    driver = PolicyDriver(ordered_settings(), engine("a"), engine("b"))
    assert sends(driver.arrive_query(1, ordering_key="k")) and not sends(
        driver.arrive_query(2, ordering_key="k")
    )
    assert not sends(driver.arrive_query(3, ordering_key="k")) and sends(
        driver.arrive_query(4, ordering_key="other")
    )
    assert sends(driver.arrive_query(5))
    assert [s.query for s in sends(driver.finish_attempt(1, Outcome.OK))] == [2]
    assert [s.query for s in sends(driver.finish_attempt(2, Outcome.OK))] == [3]


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.UNKNOWN])
def test_a_key_pauses_after_an_attempt_that_may_still_run(outcome: api.Outcome) -> None:
    driver = PolicyDriver(ordered_settings(max_attempts=1), engine("a"), engine("b"))
    driver.arrive_query(1, ordering_key="k")
    driver.arrive_query(2, ordering_key="k")
    assert not sends(driver.finish_attempt(1, outcome))
    assert not sends(driver.advance(SECOND - 50_000), 2)
    assert sends(driver.advance(150_000), 2)


def test_a_retry_of_the_current_query_of_a_key_does_not_pause() -> None:
    driver = PolicyDriver(ordered_settings(), engine("a"), engine("b"))
    driver.arrive_query(1, ordering_key="k")
    assert sends(driver.finish_attempt(1, Outcome.RESET), 1)


def test_a_refused_query_leaves_its_key_queue() -> None:
    driver = PolicyDriver(ordered_settings(), engine("a"))
    driver.arrive_query(1, ordering_key="k")
    driver.arrive_query(2, ordering_key="k", deadline_at_us=driver.now + SECOND)
    driver.arrive_query(3, ordering_key="k")
    assert final_answers(driver.advance(SECOND), 2) == [api.RefuseQuery]
    assert [s.query for s in sends(driver.finish_attempt(1, Outcome.OK))] == [3]
    driver.finish_attempt(3, Outcome.OK)
    driver.advance(SECOND)
    assert not driver.policy.key_queues and not driver.policy.queries


# --- 6. Placement.


def test_placement_holds_for_every_attempt_even_if_all_allowed_engines_are_down() -> None:
    policy_settings = settings(query_class(zones=("z1",), kinds=("k8",)))
    driver = PolicyDriver(policy_settings, engine("in"), engine("zone", zone="z2"), engine("kind", kind="k9"))
    driver.arrive_query(1)
    driver.finish_attempt(1, Outcome.CONNECT_FAILED)
    driver.receive_engine_list(engine("in", state=api.EngineState.REMOVED), kind=api.ListKind.DELTA)
    driver.arrive_query(2)
    driver.advance(10 * SECOND)
    assert {s.engine for s in sends(driver.actions)} == {"in"}
    assert final_answers(driver.actions, 2) == [api.RefuseQuery]


def test_an_empty_list_of_zones_allows_no_engine() -> None:
    driver = PolicyDriver(settings(query_class(zones=())), engine("a"))
    driver.arrive_query(1)
    driver.advance(10 * SECOND)
    assert not sends(driver.actions)


# --- 7. Budget.


def test_retries_stay_within_the_stated_budget() -> None:
    policy_settings = settings(
        retry_budget_ratio=0.1, retry_budget_free=2, retry_budget_window_us=10 * SECOND
    )
    driver = PolicyDriver(policy_settings, *(engine(f"e{n}") for n in range(20)))
    for number in range(50):
        driver.arrive_query(number)
        driver.finish_attempt(number, Outcome.ERROR)
    assert len(sends(driver.actions)) - 50 <= 2 + 0.1 * 50


def test_a_retry_budget_of_zero_allows_no_retry() -> None:
    policy_settings = settings(
        retry_budget_ratio=0.0, retry_budget_free=0, retry_budget_window_us=10 * SECOND
    )
    driver = PolicyDriver(policy_settings, engine("a"), engine("b"))
    driver.arrive_query(1)
    actions = driver.finish_attempt(1, Outcome.ERROR)
    assert not sends(actions) and final_answers(actions, 1) == [api.RefuseQuery]


def test_no_more_attempts_than_the_limit() -> None:
    driver = PolicyDriver(settings(max_attempts=2), *(engine(f"e{n}") for n in range(5)))
    driver.arrive_query(1)
    driver.finish_attempt(1, Outcome.ERROR)
    assert final_answers(driver.finish_attempt(1, Outcome.ERROR, attempt=1), 1) == [api.RefuseQuery]
    assert len(sends(driver.actions, 1)) == 2
