"""Links to engines alone: which ones take requests, and what their ends are called."""

import asyncio
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest

from whintrail import interface as api
from whintrail.gateway.clock import Clock
from whintrail.gateway.counters import Counters
from whintrail.gateway.limits import Limits
from whintrail.gateway.links import Links
from whintrail.gateway.log import Log
from whintrail.gateway.owner import Attempt, Ended, Inbox, Listed, Probed, Query
from whintrail.gateway.statement import read_statement
from whintrail.standins.scripted import listener

from .helpers import engine


class Asker:
    """A client that may have gone."""

    closed = False

    def gone(self, query: Query) -> bool:
        return self.closed


class Ahead(Clock):
    """A clock that a test may set ahead: what a machine takes for a step then counts for nothing."""

    by_us = 0

    def now_us(self) -> int:
        return super().now_us() + self.by_us


class World:
    """Links to one engine, whose side of each connection is in `accepted`."""

    def __init__(self, **limits: Any) -> None:
        self.limits = replace(Limits.read({"settings": {}}), **limits)
        self.clock = Ahead()
        self.inbox, self.counters = Inbox(self.clock), Counters()
        log = Log("test", 5.0, 1.0)
        self.links = Links(self.limits, self.inbox, self.counters, log, None, False)
        self.sock = listener()
        self.sock.settimeout(5)
        where = "{}:{}".format(*self.sock.getsockname())
        self.links.update(Listed(api.EngineList(api.ListKind.CACHED, (engine("e1"),)), {"e1": where}))
        self.accepted: list[socket.socket] = []
        self.asked = 0
        self.client = Asker()

    async def send(self, alone: bool = False) -> Attempt:
        self.asked += 1
        text = f"/* op=short,call={self.asked:016x} */ SELECT 1 FROM a_1.b"
        query: Any = Query(self.client, read_statement(text.encode()), 0)  # type: ignore[arg-type]
        now = self.inbox.clock.now_us()
        attempt = Attempt(query, 0, "e1", now, now + 5_000_000, alone=alone)
        opened = self.counters["links", "opened"]
        self.links.send(attempt)
        if self.counters["links", "opened"] > opened:
            self.accepted.append(await asyncio.to_thread(lambda: self.sock.accept()[0]))
        await asyncio.sleep(0.02)
        return attempt

    def answer(self, attempt: Attempt) -> None:
        self.accepted[-1].sendall(attempt.query.statement.call + b" crashed - 0\r\n\r\n")

    async def until(self, what: Callable[[], Any]) -> None:
        async with asyncio.timeout(5):
            while not what():
                await asyncio.sleep(0.005)

    def half(self) -> bool:
        """Whether half an answer has been read."""
        return any(link.partial_us is not None for links in self.links.links.values() for link in links)

    def ends(self) -> list[api.Outcome]:
        return [item.outcome for _, item in self.inbox.queue if isinstance(item, Ended)]


def play(story: Callable[[World], Awaitable[None]], **limits: Any) -> None:
    async def run() -> None:
        world = World(**limits)
        try:
            await asyncio.wait_for(story(world), 10)
        finally:
            await world.links.close()
            for sock in (world.sock, *world.accepted):
                sock.close()

    asyncio.run(run())


def test_a_request_is_not_put_on_a_link_that_was_reset_while_idle() -> None:
    async def story(world: World) -> None:
        world.answer(await world.send())
        await asyncio.sleep(0.05)
        world.accepted[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        world.accepted[0].close()
        time.sleep(0.05)  # the reset arrives, and no task has read it yet
        world.answer(await world.send())
        await asyncio.sleep(0.05)
        assert len(world.accepted) == 2
        assert world.ends() == [api.Outcome.ERROR, api.Outcome.ERROR]

    play(story)


@pytest.mark.parametrize("how", ["reset", "end"])
def test_half_a_line_does_not_hide_that_an_idle_link_has_ended(how: str) -> None:
    async def story(world: World) -> None:
        world.answer(await world.send())
        await asyncio.sleep(0.05)
        world.accepted[0].sendall(b"0000000000000001 serv")  # in the very moment of its close
        if how == "reset":
            world.accepted[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        world.accepted[0].close()
        time.sleep(0.05)
        world.answer(await world.send())
        await asyncio.sleep(0.05)
        assert len(world.accepted) == 2
        assert world.ends() == [api.Outcome.ERROR, api.Outcome.ERROR]

    play(story)


def test_a_link_quiet_while_a_request_is_open_takes_no_other() -> None:
    async def story(world: World) -> None:
        await world.send()
        await world.send()
        assert len(world.accepted) == 1
        world.clock.by_us += 6_000_000
        await world.until(lambda: world.counters["links", "retired"])
        await world.send()
        assert len(world.accepted) == 2 and world.counters["links", "retired"] == 1

    play(story, quiet_link_us=5_000_000, watch_s=0.02)


def test_a_link_that_was_quiet_is_closed_once_its_request_is_given_up() -> None:
    async def story(world: World) -> None:
        attempt = await world.send()
        world.clock.by_us += 6_000_000
        world.links.undo(attempt)
        await world.until(lambda: not world.links.links)

    play(story, quiet_link_us=5_000_000, watch_s=0.02)


def test_a_probe_without_an_answer_is_followed_by_one_on_a_new_link() -> None:
    async def story(world: World) -> None:
        world.answer(await world.send())
        await asyncio.sleep(0.05)
        world.links.probe("e1")
        await asyncio.sleep(0.2)
        assert [item.outcome for _, item in world.inbox.queue if isinstance(item, Probed)] == [
            api.Outcome.TIMEOUT
        ]
        world.links.probe("e1")
        assert world.counters["links", "opened"] == 2

    play(story, connect_s=0.1)


def test_half_an_answer_ends_all_that_is_open_on_the_link() -> None:
    async def story(world: World) -> None:
        first, _ = await world.send(), await world.send()
        world.accepted[0].sendall(first.query.statement.call + b" served total=1 100\r\nhalf")
        await world.until(world.half)
        await asyncio.sleep(0.05)  # some looks
        assert not world.ends()
        world.clock.by_us += 6_000_000
        await world.until(world.ends)
        assert world.ends() == [api.Outcome.RESET, api.Outcome.RESET]

    play(story, partial_answer_us=5_000_000, watch_s=0.02)


def test_a_request_is_not_put_behind_half_a_line_on_an_idle_link() -> None:
    async def story(world: World) -> None:
        world.answer(await world.send())
        await world.until(world.ends)
        world.accepted[0].sendall(b"0000000000000001 serv")  # of an answer that nobody awaits; it never ends
        await world.until(world.half)
        world.answer(await world.send())
        await world.until(lambda: len(world.ends()) == 2)
        assert len(world.accepted) == 2 and world.counters["links", "retired"] == 1
        assert world.ends() == [api.Outcome.ERROR, api.Outcome.ERROR]

    play(story, partial_answer_us=5_000_000)


@pytest.mark.parametrize(("passed_us", "links"), [(0, 1), (3_000_000, 2)])
def test_nothing_is_put_behind_an_answer_that_does_not_end(passed_us: int, links: int) -> None:
    async def story(world: World) -> None:
        attempt = await world.send()
        world.accepted[0].sendall(attempt.query.statement.call + b" served total=1 6\r\na\t")
        await world.until(world.half)
        world.clock.by_us += passed_us
        await world.send()
        assert len(world.accepted) == links and not world.ends()

    play(story, partial_answer_us=10_000_000)  # the link itself ends long after


def test_nothing_small_is_held_back_by_the_system() -> None:
    async def story(world: World) -> None:
        await world.send()
        ((link,),) = world.links.links.values()
        assert link.connection is not None
        assert link.connection.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    play(story)


def test_what_may_not_be_repeated_shares_no_link_while_descriptors_allow() -> None:
    async def story(world: World) -> None:
        for alone, links in ((False, 1), (False, 1), (True, 2), (False, 2), (True, 3), (True, 3), (False, 3)):
            await world.send(alone)
            assert len(world.accepted) == links
        assert not world.ends()

    play(story, engine_connections=3)


def test_an_engine_that_never_stops_sending_leaves_others_their_turn() -> None:
    async def story(world: World) -> None:
        await world.send()
        block = b"00000000000000ff update how=done,datum=0.5 0\r\n\r\n" * 20_000
        flood = asyncio.create_task(asyncio.to_thread(world.accepted[0].sendall, block * 5))
        longest = 0.0  # in processor time of the loop's thread: the rest is what else the machine does
        while not flood.done():
            start = time.thread_time()
            await asyncio.sleep(0)
            longest = max(longest, time.thread_time() - start)
        await flood
        assert longest < 0.2

    play(story)


# --- What held when the module chose, and does not when the first byte could go out.


async def late(world: World, change: Callable[[World, Attempt], None], **fields: Any) -> list[api.Outcome]:
    """An attempt whose connection comes up once `change` has happened."""
    text = b"/* op=short,call=00000000000000aa */ SELECT 1 FROM a_1.b"
    query: Any = Query(world.client, read_statement(text), 0)  # type: ignore[arg-type]
    now = world.inbox.clock.now_us()
    attempt = Attempt(query, 0, "e1", now, now + 5_000_000, **fields)
    world.links.send(attempt)  # its task has had no turn: no connection stands
    change(world, attempt)
    world.accepted.append(await asyncio.to_thread(lambda: world.sock.accept()[0]))
    await asyncio.sleep(0.05)
    world.accepted[0].setblocking(False)
    try:
        read = world.accepted[0].recv(4096)
    except BlockingIOError:
        read = b""
    assert bool(read) == (not world.ends())
    return world.ends()


def drains(world: World, attempt: Attempt) -> None:
    entry = replace(engine("e1"), state=api.EngineState.DRAINING)
    world.links.update(Listed(api.EngineList(api.ListKind.DELTA, (entry,)), dict(world.links.where)))


def goes(world: World, attempt: Attempt) -> None:
    world.client.closed = True


def leaves(world: World, attempt: Attempt) -> None:
    attempt.query.left = True


def expires(world: World, attempt: Attempt) -> None:
    attempt.limit_us = world.inbox.clock.now_us()


def forgets(world: World, attempt: Attempt) -> None:
    attempt.begin_by_us = world.inbox.clock.now_us()


@pytest.mark.parametrize("change", [drains, goes, leaves, expires, forgets])
def test_an_attempt_whose_connection_comes_up_too_late_never_begins(
    change: Callable[[World, Attempt], None],
) -> None:
    async def story(world: World) -> None:
        assert await late(world, change) == [api.Outcome.MOOT]

    play(story)


def test_an_attempt_whose_connection_comes_up_in_time_begins() -> None:
    async def story(world: World) -> None:
        in_time = world.inbox.clock.now_us() + 4_000_000
        assert await late(world, lambda _, attempt: None, begin_by_us=in_time) == []

    play(story)


def test_nothing_is_put_behind_bytes_that_an_engine_does_not_read() -> None:
    async def story(world: World) -> None:
        await world.send()
        (link,) = world.links.links["e1"]
        assert link.connection is not None
        link.connection.write(b"x" * (1 << 24))  # more than the kernel takes
        await asyncio.sleep(0.05)
        assert link.connection.blocked_since is not None
        await world.send()
        assert len(world.accepted) == 2  # another link carries it
        await asyncio.sleep(0.3)
        assert world.ends() == [api.Outcome.RESET]  # the first link is given up

    play(story, partial_answer_us=150_000, watch_s=0.02)


@pytest.mark.parametrize("sign", [b"served total=2 6\r\na\tb\tc\n", b"update how=done,datum=0.5 0\r\n"])
@pytest.mark.parametrize("word", [b"overload", b"nobody"])
def test_an_engine_that_ran_a_query_is_not_believed_that_it_never_did(sign: bytes, word: bytes) -> None:
    async def story(world: World) -> None:
        attempt = await world.send()
        call = attempt.query.statement.call
        world.accepted[0].sendall(call + b" " + sign + b"\r\n" + call + b" " + word + b" - 0\r\n\r\n")
        await asyncio.sleep(0.05)
        assert world.ends() == [api.Outcome.ERROR]

    play(story)
