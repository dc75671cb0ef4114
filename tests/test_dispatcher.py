"""Unit tests of the dispatcher with a fake client and fake engines that only record calls."""

import asyncio
import gc
import time
from collections.abc import Awaitable, Callable
from functools import partial

from whintrail import interface as api
from whintrail.gateway.clock import Clock
from whintrail.gateway.counters import Counters
from whintrail.gateway.dispatcher import (
    Attempt,
    AttemptResult,
    AttemptUpdate,
    ClientDeparted,
    Dispatcher,
    EngineListUpdate,
    Inbox,
    Query,
    QueryReceived,
)
from whintrail.gateway.limits import Limits
from whintrail.gateway.log import Log
from whintrail.gateway.postgres import Rows
from whintrail.gateway.statement import read_statement

from .helpers import engine, query_class, settings

OK, CANCELLED = api.Outcome.OK, api.Outcome.CANCELLED


class FakeEngines:
    """Records sent and cancelled attempts."""

    def __init__(self) -> None:
        self.sent: list[Attempt] = []
        self.cancelled: list[Attempt] = []

    def apply_engine_list(self, update: EngineListUpdate) -> None: ...

    def send(self, attempt: Attempt) -> None:
        self.sent.append(attempt)

    def cancel(self, attempt: Attempt) -> None:
        self.cancelled.append(attempt)

    def update_priority(self, attempt: Attempt) -> None: ...

    def probe(self, engine: str) -> None: ...


class FakeClient:
    """Records the answers to its queries."""

    def __init__(self) -> None:
        self.answers: list[str] = []
        self.closed, self.liveness_checks = False, 0  # closed: no session has read the end yet

    def send_result(self, query: Query, pages: list[Rows]) -> None:
        self.answers.append("served")

    def refuse(self, query: Query, retry_after_us: int | None) -> None:
        self.answers.append("refused")

    def fail(self, query: Query, reason: str) -> None:
        self.answers.append(reason)

    def reject(self, query: Query, reason: str) -> None:
        self.answers.append("rejected")

    def has_left(self, query: Query) -> bool:
        self.liveness_checks += 1
        return self.closed


class Harness:
    """A dispatcher with one engine and one client."""

    def __init__(self) -> None:
        self.engines, self.client, self.counters = FakeEngines(), FakeClient(), Counters()
        self.inbox, self.last_call_id = Inbox(Clock()), 0
        policy_settings = settings(query_class(), query_class("once", effect=api.Effect.ONCE))
        limits = Limits.read({"settings": {"Limits": {"MaxOpen": 100}}})
        self.dispatcher = Dispatcher(
            policy_settings, 7, limits, self.inbox, self.engines, self.counters, Log("test", 5.0, 1.0)
        )
        self.inbox.put(
            EngineListUpdate(
                api.EngineListReceived(api.ListKind.CACHED, (engine("e1"),)), {"e1": "127.0.0.1:9"}
            )
        )

    def ask(self, op: str = "short", ttl_ms: int = 5000, call_id: int | None = None) -> Query:
        self.last_call_id += 1
        text = f"/* op={op},call={call_id or self.last_call_id:016x},ttl={ttl_ms} */ SELECT 1 FROM a_1.b"
        query = Query(self.client, read_statement(text.encode()), self.inbox.clock.now_us())
        self.inbox.put(QueryReceived(query))
        return query


def run_scenario(scenario: Callable[[Harness], Awaitable[None]]) -> Harness:
    async def run() -> Harness:
        harness = Harness()
        task = asyncio.create_task(harness.dispatcher.run())
        try:
            await asyncio.wait_for(scenario(harness), 10)
        finally:
            task.cancel()
        return harness

    return asyncio.run(run())


async def let_dispatcher_run() -> None:
    await asyncio.sleep(0.02)


def test_only_the_first_result_of_an_attempt_counts() -> None:
    async def scenario(harness: Harness) -> None:
        harness.ask()
        await let_dispatcher_run()
        (attempt,) = harness.engines.sent
        for outcome in (OK, OK, api.Outcome.RESET, api.Outcome.TIMEOUT):
            harness.inbox.put(AttemptResult(attempt, outcome, pages=[]))
        harness.inbox.put(AttemptUpdate(attempt, api.StatusTopic.PROGRESS, 0.5))
        await let_dispatcher_run()

    harness = run_scenario(scenario)
    assert harness.client.answers == ["served"]
    assert (harness.counters["attempts", "ok"], harness.counters["attempts", "reset"]) == (1, 0)


def test_a_client_that_leaves_has_its_attempt_cancelled_and_gets_no_answer() -> None:
    async def scenario(harness: Harness) -> None:
        query = harness.ask()
        await let_dispatcher_run()
        harness.inbox.put(ClientDeparted(query))
        harness.inbox.put(ClientDeparted(query))
        await let_dispatcher_run()
        harness.inbox.put(AttemptResult(harness.engines.sent[0], OK, pages=[]))
        await let_dispatcher_run()

    harness = run_scenario(scenario)
    assert harness.client.answers == []
    assert len(harness.engines.cancelled) == 1
    assert (harness.counters["queries", "left"], harness.counters["attempts", "cancelled"]) == (1, 1)


def test_an_attempt_without_a_result_times_out_at_the_query_deadline() -> None:
    async def scenario(harness: Harness) -> None:
        harness.ask("once", ttl_ms=300)
        await asyncio.sleep(0.5)

    harness = run_scenario(scenario)
    assert harness.client.answers == ["failed"]
    assert (
        harness.engines.cancelled
        and not harness.dispatcher.open_queries
        and not harness.dispatcher.open_attempts
    )


def test_an_open_or_recent_call_id_is_rejected() -> None:
    async def scenario(harness: Harness) -> None:
        harness.ask(call_id=77)
        harness.ask(call_id=77)
        await let_dispatcher_run()
        assert harness.client.answers == ["rejected"] and len(harness.engines.sent) == 1
        harness.inbox.put(AttemptResult(harness.engines.sent[0], OK, pages=[]))
        harness.ask(call_id=77)
        harness.ask(call_id=78)
        await let_dispatcher_run()

    harness = run_scenario(scenario)
    assert harness.client.answers == ["rejected", "served", "rejected"]
    assert len(harness.engines.sent) == 2 and harness.counters["queries", "repeated"] == 2


def test_call_ids_expire() -> None:
    async def scenario(harness: Harness) -> None:
        harness.ask(ttl_ms=1)
        await let_dispatcher_run()
        for _ in range(3):
            harness.dispatcher.now_us = harness.dispatcher.rotate_call_ids_at_us + 1
            harness.dispatcher._is_known_call_id(b"")

    harness = run_scenario(scenario)
    assert not (
        harness.dispatcher.open_call_ids
        or harness.dispatcher.recent_call_ids
        or harness.dispatcher.older_call_ids
    )


def test_the_number_of_kept_call_ids_is_bounded() -> None:
    async def scenario(harness: Harness) -> None:
        harness.dispatcher.recent_call_ids.update(
            b"%d" % number for number in range(harness.dispatcher.limits.recent_call_ids)
        )
        harness.dispatcher._is_known_call_id(b"x")
        assert not harness.dispatcher.recent_call_ids and harness.dispatcher._is_known_call_id(b"7")

    run_scenario(scenario)


def test_a_query_deadline_is_bounded_by_its_class() -> None:
    async def scenario(harness: Harness) -> None:
        query = harness.ask(ttl_ms=10**15)
        await let_dispatcher_run()
        assert query.deadline_us - query.received_us == harness.dispatcher.class_deadlines_us["short"]

    run_scenario(scenario)


def test_a_fault_in_the_policy_affects_no_other_query() -> None:
    def broken(*_: object) -> None:
        raise ZeroDivisionError("for this test")

    async def scenario(harness: Harness) -> None:
        policy = harness.dispatcher.policy
        harness.ask(ttl_ms=300)
        await let_dispatcher_run()
        original = policy._learn_from_outcome
        policy._learn_from_outcome = broken  # type: ignore[method-assign,assignment]
        harness.inbox.put(AttemptResult(harness.engines.sent[0], api.Outcome.ERROR))
        await let_dispatcher_run()
        policy._learn_from_outcome = original  # type: ignore[method-assign]
        harness.ask()
        await let_dispatcher_run()
        harness.inbox.put(AttemptResult(harness.engines.sent[1], OK, pages=[]))
        await asyncio.sleep(0.5)

    harness = run_scenario(scenario)
    assert harness.counters["module", "faults"] == 1
    assert harness.client.answers == ["served", "refused"]


def test_an_input_that_raises_does_not_stop_the_dispatcher() -> None:
    async def scenario(harness: Harness) -> None:
        harness.inbox.put(EngineListUpdate(None, {}))  # type: ignore[arg-type]
        harness.engines.apply_engine_list = None  # type: ignore[assignment,method-assign]
        harness.inbox.put(EngineListUpdate(api.EngineListReceived(api.ListKind.DELTA, ()), {}))
        harness.dispatcher.timers.schedule(0, lambda: 1 / 0)  # type: ignore[arg-type]
        await let_dispatcher_run()
        harness.ask()
        await let_dispatcher_run()
        harness.inbox.put(AttemptResult(harness.engines.sent[0], OK, pages=[]))
        await let_dispatcher_run()

    harness = run_scenario(scenario)
    assert harness.client.answers == ["served"] and harness.counters["module", "faults"] >= 2


def test_a_query_that_cannot_finish_before_shutdown_is_refused_at_once() -> None:
    async def scenario(harness: Harness) -> None:
        harness.dispatcher.shutdown_deadline_us = harness.inbox.clock.now_us() + 100_000
        harness.ask(ttl_ms=5000)
        await let_dispatcher_run()

    assert run_scenario(scenario).client.answers == ["refused"]


def test_timers_fire_in_order() -> None:
    async def scenario(harness: Harness) -> None:
        fired: list[int] = []
        now = harness.inbox.clock.now_us()
        for number, delay_ms in enumerate((30, 10, 20)):
            harness.dispatcher.timers.schedule(now + delay_ms * 1000, partial(fired.append, number))
        harness.inbox.wake()
        await asyncio.sleep(0.1)
        assert fired == [1, 2, 0]

    run_scenario(scenario)


def test_an_answered_query_is_released_and_leaves_no_timer() -> None:
    async def scenario(harness: Harness) -> None:
        timer_count = len(harness.dispatcher.timers)
        query = harness.ask(ttl_ms=60_000)
        await let_dispatcher_run()
        harness.inbox.put(AttemptResult(harness.engines.sent.pop(), OK))
        await let_dispatcher_run()
        assert query.finished and len(harness.dispatcher.timers) == timer_count
        del query
        # Replaces the last input, which run() still holds.
        harness.inbox.put(EngineListUpdate(api.EngineListReceived(api.ListKind.DELTA, ()), {}))
        await let_dispatcher_run()
        gc.collect()
        assert not [item for item in gc.get_objects() if isinstance(item, Query)]

    run_scenario(scenario)


def test_no_attempt_starts_for_a_client_that_left_while_its_query_was_queued() -> None:
    async def scenario(harness: Harness) -> None:
        query = harness.ask()
        query.client_left = True  # the session sets it before it puts ClientDeparted
        harness.inbox.put(ClientDeparted(query))
        await let_dispatcher_run()
        assert (
            not harness.engines.sent
            and not harness.dispatcher.open_queries
            and not harness.dispatcher.open_call_ids
        )

    run_scenario(scenario)


def test_no_further_attempt_starts_after_the_client_has_closed() -> None:
    async def scenario(harness: Harness) -> None:
        two_engines = api.EngineListReceived(api.ListKind.FULL, (engine("e1"), engine("e2")))
        harness.inbox.put(EngineListUpdate(two_engines, {"e1": "127.0.0.1:9", "e2": "127.0.0.1:9"}))
        harness.ask()
        await let_dispatcher_run()
        (first,) = harness.engines.sent
        harness.client.closed = True  # the end is in the kernel, and no session has read it
        harness.inbox.put(AttemptResult(first, api.Outcome.CONNECT_FAILED))
        await let_dispatcher_run()
        assert len(harness.engines.sent) == 1 and harness.client.liveness_checks >= 1

    run_scenario(scenario)


def test_no_attempt_starts_for_a_query_that_expired_in_the_queue() -> None:
    async def scenario(harness: Harness) -> None:
        query = harness.ask(ttl_ms=400)
        time.sleep(0.5)  # blocks the event loop: the query expires while it is queued
        await let_dispatcher_run()
        assert query.attempts_started and not harness.engines.sent and len(harness.client.answers) == 1

    run_scenario(scenario)
