"""The owner alone, with engines and a client that only remember: one end for each attempt and query."""

import asyncio
import gc
import time
from collections.abc import Awaitable, Callable
from functools import partial

from whintrail import interface as api
from whintrail.gateway.clock import Clock
from whintrail.gateway.counters import Counters
from whintrail.gateway.limits import Limits
from whintrail.gateway.log import Log
from whintrail.gateway.owner import Asked, Attempt, Ended, Gone, Inbox, Listed, Noted, Owner, Query
from whintrail.gateway.postgres import Rows
from whintrail.gateway.statement import read_statement

from .helpers import engine, query_class, settings

OK, CANCELLED = api.Outcome.OK, api.Outcome.CANCELLED


class Engines:
    def __init__(self) -> None:
        self.sent: list[Attempt] = []
        self.undone: list[Attempt] = []

    def update(self, listed: Listed) -> None: ...

    def send(self, attempt: Attempt) -> None:
        self.sent.append(attempt)

    def undo(self, attempt: Attempt) -> None:
        self.undone.append(attempt)

    def bump(self, attempt: Attempt) -> None: ...

    def probe(self, engine: str) -> None: ...


class Asker:
    def __init__(self) -> None:
        self.answers: list[str] = []
        self.closed, self.looked = False, 0  # its end, which nobody has read so far

    def serve(self, query: Query, pages: list[Rows]) -> None:
        self.answers.append("served")

    def refuse(self, query: Query, pause_us: int | None) -> None:
        self.answers.append("refused")

    def fail(self, query: Query, reason: str) -> None:
        self.answers.append(reason)

    def reject(self, query: Query, reason: str) -> None:
        self.answers.append("rejected")

    def gone(self, query: Query) -> bool:
        self.looked += 1
        return self.closed


class World:
    """An owner that knows one engine, and its one client."""

    def __init__(self) -> None:
        self.engines, self.client, self.counters = Engines(), Asker(), Counters()
        self.inbox, self.asked = Inbox(Clock()), 0
        given = settings(query_class(), query_class("once", effect=api.Effect.ONCE))
        limits = Limits.read({"settings": {"Limits": {"MaxOpen": 100}}})
        self.owner = Owner(given, 7, limits, self.inbox, self.engines, self.counters, Log("test", 5.0, 1.0))
        self.inbox.put(Listed(api.EngineList(api.ListKind.CACHED, (engine("e1"),)), {"e1": "127.0.0.1:9"}))

    def ask(self, op: str = "short", ttl_ms: int = 5000, call: int | None = None) -> Query:
        self.asked += 1
        text = f"/* op={op},call={call or self.asked:016x},ttl={ttl_ms} */ SELECT 1 FROM a_1.b"
        query = Query(self.client, read_statement(text.encode()), self.inbox.clock.now_us())
        self.inbox.put(Asked(query))
        return query


def play(story: Callable[[World], Awaitable[None]]) -> World:
    async def run() -> World:
        world = World()
        task = asyncio.create_task(world.owner.run())
        try:
            await asyncio.wait_for(story(world), 10)
        finally:
            task.cancel()
        return world

    return asyncio.run(run())


async def settle() -> None:
    await asyncio.sleep(0.02)


def test_the_first_end_of_an_attempt_counts_and_later_ones_do_not() -> None:
    async def story(world: World) -> None:
        world.ask()
        await settle()
        (attempt,) = world.engines.sent
        for outcome in (OK, OK, api.Outcome.RESET, api.Outcome.TIMEOUT):
            world.inbox.put(Ended(attempt, outcome, pages=[]))
        world.inbox.put(Noted(attempt, api.Topic.PROGRESS, 0.5))
        await settle()

    world = play(story)
    assert world.client.answers == ["served"]
    assert (world.counters["attempts", "ok"], world.counters["attempts", "reset"]) == (1, 0)


def test_a_client_that_leaves_has_its_attempt_undone_and_gets_no_answer() -> None:
    async def story(world: World) -> None:
        query = world.ask()
        await settle()
        world.inbox.put(Gone(query))
        world.inbox.put(Gone(query))
        await settle()
        world.inbox.put(Ended(world.engines.sent[0], OK, pages=[]))
        await settle()

    world = play(story)
    assert world.client.answers == []
    assert len(world.engines.undone) == 1
    assert (world.counters["queries", "left"], world.counters["attempts", "cancelled"]) == (1, 1)


def test_an_attempt_without_an_end_times_out_with_its_client() -> None:
    async def story(world: World) -> None:
        world.ask("once", ttl_ms=300)
        await asyncio.sleep(0.5)

    world = play(story)
    assert world.client.answers == ["failed"]
    assert world.engines.undone and not world.owner.queries and not world.owner.attempts


def test_an_id_that_is_open_or_was_of_late_is_no_other_querys() -> None:
    async def story(world: World) -> None:
        world.ask(call=77)
        world.ask(call=77)
        await settle()
        assert world.client.answers == ["rejected"] and len(world.engines.sent) == 1
        world.inbox.put(Ended(world.engines.sent[0], OK, pages=[]))
        world.ask(call=77)
        world.ask(call=78)
        await settle()

    world = play(story)
    assert world.client.answers == ["rejected", "served", "rejected"]
    assert len(world.engines.sent) == 2 and world.counters["queries", "repeated"] == 2


def test_ids_are_not_kept_for_good() -> None:
    async def story(world: World) -> None:
        world.ask(ttl_ms=1)
        await settle()
        for _ in range(3):
            world.owner.now = world.owner.past_until + 1
            world.owner._known(b"")

    world = play(story)
    assert not (world.owner.calls or world.owner.past or world.owner.past_before)


def test_of_many_ids_only_so_many_are_kept() -> None:
    async def story(world: World) -> None:
        world.owner.past.update(b"%d" % number for number in range(world.owner.limits.past_calls))
        world.owner._known(b"x")
        assert not world.owner.past and world.owner._known(b"7")

    play(story)


def test_no_client_waits_longer_than_its_class() -> None:
    async def story(world: World) -> None:
        query = world.ask(ttl_ms=10**15)
        await settle()
        assert query.give_up_us - query.taken_us == world.owner.deadlines["short"]

    play(story)


def test_a_fault_of_the_module_ends_no_other_query() -> None:
    def broken(*_: object) -> None:
        raise ZeroDivisionError("for this test")

    async def story(world: World) -> None:
        module = world.owner.module
        world.ask(ttl_ms=300)
        await settle()
        judge = module._judge
        module._judge = broken  # type: ignore[method-assign,assignment]
        world.inbox.put(Ended(world.engines.sent[0], api.Outcome.ERROR))
        await settle()
        module._judge = judge  # type: ignore[method-assign]
        world.ask()
        await settle()
        world.inbox.put(Ended(world.engines.sent[1], OK, pages=[]))
        await asyncio.sleep(0.5)

    world = play(story)
    assert world.counters["module", "faults"] == 1
    assert world.client.answers == ["served", "refused"]


def test_an_input_that_cant_be_handled_ends_nothing_else() -> None:
    async def story(world: World) -> None:
        world.inbox.put(Listed(None, {}))  # type: ignore[arg-type]
        world.engines.update = None  # type: ignore[assignment,method-assign]
        world.inbox.put(Listed(api.EngineList(api.ListKind.DELTA, ()), {}))
        world.owner.timers.set(0, lambda: 1 / 0)  # type: ignore[arg-type]
        await settle()
        world.ask()
        await settle()
        world.inbox.put(Ended(world.engines.sent[0], OK, pages=[]))
        await settle()

    world = play(story)
    assert world.client.answers == ["served"] and world.counters["module", "faults"] >= 2


def test_a_query_that_cant_be_done_before_the_end_is_refused_at_once() -> None:
    async def story(world: World) -> None:
        world.owner.ends_us = world.inbox.clock.now_us() + 100_000
        world.ask(ttl_ms=5000)
        await settle()

    assert play(story).client.answers == ["refused"]


def test_time_runs_forward_and_timers_fire_in_order() -> None:
    async def story(world: World) -> None:
        fired: list[int] = []
        now = world.inbox.clock.now_us()
        for number, delay_ms in enumerate((30, 10, 20)):
            world.owner.timers.set(now + delay_ms * 1000, partial(fired.append, number))
        world.inbox.wake()
        await asyncio.sleep(0.1)
        assert fired == [1, 2, 0]

    play(story)


def test_an_answered_query_is_let_go_and_leaves_no_timer() -> None:
    async def story(world: World) -> None:
        before = len(world.owner.timers)
        query = world.ask(ttl_ms=60_000)
        await settle()
        world.inbox.put(Ended(world.engines.sent.pop(), OK))
        await settle()
        assert query.over and len(world.owner.timers) == before
        del query
        world.inbox.put(Listed(api.EngineList(api.ListKind.DELTA, ()), {}))  # the last input is still in hand
        await settle()
        gc.collect()
        assert not [thing for thing in gc.get_objects() if isinstance(thing, Query)]

    play(story)


def test_nothing_begins_for_a_client_that_left_while_the_owner_was_behind() -> None:
    async def story(world: World) -> None:
        query = world.ask()
        query.left = True  # as the session sets it, ahead of what it puts on the queue
        world.inbox.put(Gone(query))
        await settle()
        assert not world.engines.sent and not world.owner.queries and not world.owner.calls

    play(story)


def test_no_further_attempt_begins_once_the_client_has_closed() -> None:
    async def story(world: World) -> None:
        two = api.EngineList(api.ListKind.FULL, (engine("e1"), engine("e2")))
        world.inbox.put(Listed(two, {"e1": "127.0.0.1:9", "e2": "127.0.0.1:9"}))
        world.ask()
        await settle()
        (first,) = world.engines.sent
        world.client.closed = True  # its end is in the kernel, and no session has read it
        world.inbox.put(Ended(first, api.Outcome.CONNECT_FAILED))
        await settle()
        assert len(world.engines.sent) == 1 and world.client.looked >= 1

    play(story)


def test_what_waited_past_its_time_on_the_queue_does_not_begin() -> None:
    async def story(world: World) -> None:
        query = world.ask(ttl_ms=400)
        time.sleep(0.5)  # the owner has no turn: it takes the query at the time it came, when it still could
        await settle()
        assert query.sends and not world.engines.sent and len(world.client.answers) == 1

    play(story)
