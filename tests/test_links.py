"""Unit tests of the links to engines: which links carry requests, and with which outcome requests end."""

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
from whintrail.gateway.dispatcher import Attempt, AttemptResult, EngineListUpdate, Inbox, ProbeResult, Query
from whintrail.gateway.limits import Limits
from whintrail.gateway.links import LinkPool
from whintrail.gateway.log import Log
from whintrail.gateway.statement import read_statement
from whintrail.standins.scripted import listener

from .helpers import engine


class FakeClient:
    """A client that may have disconnected."""

    closed = False

    def has_left(self, query: Query) -> bool:
        return self.closed


class AdjustableClock(Clock):
    """A clock that a test advances, so that results don't depend on the speed of the machine."""

    offset_us = 0

    def now_us(self) -> int:
        return super().now_us() + self.offset_us


class Harness:
    """A link pool with one engine; the engine's side of each connection is in `accepted`."""

    def __init__(self, **limits: Any) -> None:
        self.limits = replace(Limits.read({"settings": {}}), **limits)
        self.clock = AdjustableClock()
        self.inbox, self.counters = Inbox(self.clock), Counters()
        log = Log("test", 5.0, 1.0)
        self.pool = LinkPool(self.limits, self.inbox, self.counters, log, None, False)
        self.sock = listener()
        self.sock.settimeout(5)
        address = "{}:{}".format(*self.sock.getsockname())
        self.pool.apply_engine_list(
            EngineListUpdate(api.EngineListReceived(api.ListKind.CACHED, (engine("e1"),)), {"e1": address})
        )
        self.accepted: list[socket.socket] = []
        self.last_call_id = 0
        self.client = FakeClient()

    async def send(self, exclusive: bool = False) -> Attempt:
        self.last_call_id += 1
        text = f"/* op=short,call={self.last_call_id:016x} */ SELECT 1 FROM a_1.b"
        query: Any = Query(self.client, read_statement(text.encode()), 0)  # type: ignore[arg-type]
        now = self.inbox.clock.now_us()
        attempt = Attempt(query, 0, "e1", now, now + 5_000_000, exclusive=exclusive)
        opened = self.counters["links", "opened"]
        self.pool.send(attempt)
        if self.counters["links", "opened"] > opened:
            self.accepted.append(await asyncio.to_thread(lambda: self.sock.accept()[0]))
        await asyncio.sleep(0.02)
        return attempt

    def answer(self, attempt: Attempt) -> None:
        self.accepted[-1].sendall(attempt.query.statement.call_id + b" crashed - 0\r\n\r\n")

    async def wait_until(self, condition: Callable[[], Any]) -> None:
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.005)

    def has_partial_answer(self) -> bool:
        """Whether a partial answer has been read."""
        return any(link.partial_since_us is not None for links in self.pool.links.values() for link in links)

    def outcomes(self) -> list[api.Outcome]:
        return [item.outcome for _, item in self.inbox.queue if isinstance(item, AttemptResult)]


def run_scenario(scenario: Callable[[Harness], Awaitable[None]], **limits: Any) -> None:
    async def run() -> None:
        harness = Harness(**limits)
        try:
            await asyncio.wait_for(scenario(harness), 10)
        finally:
            await harness.pool.close()
            for sock in (harness.sock, *harness.accepted):
                sock.close()

    asyncio.run(run())


def test_no_request_is_sent_on_a_link_that_was_reset_while_idle() -> None:
    async def scenario(harness: Harness) -> None:
        harness.answer(await harness.send())
        await asyncio.sleep(0.05)
        harness.accepted[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        harness.accepted[0].close()
        time.sleep(0.05)  # the reset arrives, and no task has read it yet
        harness.answer(await harness.send())
        await asyncio.sleep(0.05)
        assert len(harness.accepted) == 2
        assert harness.outcomes() == [api.Outcome.ERROR, api.Outcome.ERROR]

    run_scenario(scenario)


@pytest.mark.parametrize("how", ["reset", "end"])
def test_an_unread_partial_line_does_not_hide_the_end_of_an_idle_link(how: str) -> None:
    async def scenario(harness: Harness) -> None:
        harness.answer(await harness.send())
        await asyncio.sleep(0.05)
        harness.accepted[0].sendall(b"0000000000000001 serv")  # right before the close
        if how == "reset":
            harness.accepted[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        harness.accepted[0].close()
        time.sleep(0.05)
        harness.answer(await harness.send())
        await asyncio.sleep(0.05)
        assert len(harness.accepted) == 2
        assert harness.outcomes() == [api.Outcome.ERROR, api.Outcome.ERROR]

    run_scenario(scenario)


def test_a_link_silent_during_a_request_takes_no_new_request() -> None:
    async def scenario(harness: Harness) -> None:
        await harness.send()
        await harness.send()
        assert len(harness.accepted) == 1
        harness.clock.offset_us += 6_000_000
        await harness.wait_until(lambda: harness.counters["links", "retired"])
        await harness.send()
        assert len(harness.accepted) == 2 and harness.counters["links", "retired"] == 1

    run_scenario(scenario, link_silence_timeout_us=5_000_000, sweep_interval_s=0.02)


def test_a_silent_link_is_closed_once_its_request_is_cancelled() -> None:
    async def scenario(harness: Harness) -> None:
        attempt = await harness.send()
        harness.clock.offset_us += 6_000_000
        harness.pool.cancel(attempt)
        await harness.wait_until(lambda: not harness.pool.links)

    run_scenario(scenario, link_silence_timeout_us=5_000_000, sweep_interval_s=0.02)


def test_the_probe_after_an_unanswered_one_uses_a_new_link() -> None:
    async def scenario(harness: Harness) -> None:
        harness.answer(await harness.send())
        await asyncio.sleep(0.05)
        harness.pool.probe("e1")
        await asyncio.sleep(0.2)
        assert [item.outcome for _, item in harness.inbox.queue if isinstance(item, ProbeResult)] == [
            api.Outcome.TIMEOUT
        ]
        harness.pool.probe("e1")
        assert harness.counters["links", "opened"] == 2

    run_scenario(scenario, connect_timeout_s=0.1)


def test_a_stalled_partial_answer_fails_all_requests_on_the_link() -> None:
    async def scenario(harness: Harness) -> None:
        first, _ = await harness.send(), await harness.send()
        harness.accepted[0].sendall(first.query.statement.call_id + b" served total=1 100\r\nhalf")
        await harness.wait_until(harness.has_partial_answer)
        await asyncio.sleep(0.05)  # several sweeps
        assert not harness.outcomes()
        harness.clock.offset_us += 6_000_000
        await harness.wait_until(harness.outcomes)
        assert harness.outcomes() == [api.Outcome.RESET, api.Outcome.RESET]

    run_scenario(scenario, partial_answer_timeout_us=5_000_000, sweep_interval_s=0.02)


def test_no_request_is_sent_on_an_idle_link_with_a_partial_line() -> None:
    async def scenario(harness: Harness) -> None:
        harness.answer(await harness.send())
        await harness.wait_until(harness.outcomes)
        # An answer to an unknown request, never completed.
        harness.accepted[0].sendall(b"0000000000000001 serv")
        await harness.wait_until(harness.has_partial_answer)
        harness.answer(await harness.send())
        await harness.wait_until(lambda: len(harness.outcomes()) == 2)
        assert len(harness.accepted) == 2 and harness.counters["links", "retired"] == 1
        assert harness.outcomes() == [api.Outcome.ERROR, api.Outcome.ERROR]

    run_scenario(scenario, partial_answer_timeout_us=5_000_000)


@pytest.mark.parametrize(("passed_us", "links"), [(0, 1), (3_000_000, 2)])
def test_no_request_is_sent_behind_a_stalled_answer(passed_us: int, links: int) -> None:
    async def scenario(harness: Harness) -> None:
        attempt = await harness.send()
        harness.accepted[0].sendall(attempt.query.statement.call_id + b" served total=1 6\r\na\t")
        await harness.wait_until(harness.has_partial_answer)
        harness.clock.offset_us += passed_us
        await harness.send()
        assert len(harness.accepted) == links and not harness.outcomes()

    run_scenario(scenario, partial_answer_timeout_us=10_000_000)  # the link itself is closed much later


def test_links_set_tcp_nodelay() -> None:
    async def scenario(harness: Harness) -> None:
        await harness.send()
        ((link,),) = harness.pool.links.values()
        assert link.connection is not None
        assert link.connection.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run_scenario(scenario)


def test_exclusive_attempts_share_no_link_while_descriptors_allow() -> None:
    async def scenario(harness: Harness) -> None:
        for exclusive, links in (
            (False, 1),
            (False, 1),
            (True, 2),
            (False, 2),
            (True, 3),
            (True, 3),
            (False, 3),
        ):
            await harness.send(exclusive)
            assert len(harness.accepted) == links
        assert not harness.outcomes()

    run_scenario(scenario, engine_connections=3)


def test_an_engine_that_never_stops_sending_does_not_starve_other_tasks() -> None:
    async def scenario(harness: Harness) -> None:
        await harness.send()
        block = b"00000000000000ff update how=done,datum=0.5 0\r\n\r\n" * 20_000
        flood = asyncio.create_task(asyncio.to_thread(harness.accepted[0].sendall, block * 5))
        longest_s = 0.0  # CPU time of this thread, so that other load on the machine doesn't count
        while not flood.done():
            start = time.thread_time()
            await asyncio.sleep(0)
            longest_s = max(longest_s, time.thread_time() - start)
        await flood
        assert longest_s < 0.2

    run_scenario(scenario)


# --- Attempts that are no longer valid when their connection is established.


async def outcomes_of_delayed_connect(
    harness: Harness, change: Callable[[Harness, Attempt], None], **fields: Any
) -> list[api.Outcome]:
    """The outcomes of an attempt whose connection is established after `change` was applied."""
    text = b"/* op=short,call=00000000000000aa */ SELECT 1 FROM a_1.b"
    query: Any = Query(harness.client, read_statement(text), 0)  # type: ignore[arg-type]
    now = harness.inbox.clock.now_us()
    attempt = Attempt(query, 0, "e1", now, now + 5_000_000, **fields)
    harness.pool.send(attempt)  # not connected: the link's task has not run yet
    change(harness, attempt)
    harness.accepted.append(await asyncio.to_thread(lambda: harness.sock.accept()[0]))
    await asyncio.sleep(0.05)
    harness.accepted[0].setblocking(False)
    try:
        received = harness.accepted[0].recv(4096)
    except BlockingIOError:
        received = b""
    assert bool(received) == (not harness.outcomes())
    return harness.outcomes()


def drain_engine(harness: Harness, attempt: Attempt) -> None:
    entry = replace(engine("e1"), state=api.EngineState.DRAINING)
    harness.pool.apply_engine_list(
        EngineListUpdate(api.EngineListReceived(api.ListKind.DELTA, (entry,)), dict(harness.pool.addresses))
    )


def close_client(harness: Harness, attempt: Attempt) -> None:
    harness.client.closed = True


def mark_client_left(harness: Harness, attempt: Attempt) -> None:
    attempt.query.client_left = True


def expire_attempt(harness: Harness, attempt: Attempt) -> None:
    attempt.deadline_us = harness.inbox.clock.now_us()


def pass_latest_start(harness: Harness, attempt: Attempt) -> None:
    attempt.begin_by_us = harness.inbox.clock.now_us()


@pytest.mark.parametrize(
    "change", [drain_engine, close_client, mark_client_left, expire_attempt, pass_latest_start]
)
def test_an_attempt_does_not_start_if_it_is_no_longer_valid_once_connected(
    change: Callable[[Harness, Attempt], None],
) -> None:
    async def scenario(harness: Harness) -> None:
        assert await outcomes_of_delayed_connect(harness, change) == [api.Outcome.NOT_STARTED]

    run_scenario(scenario)


def test_an_attempt_starts_if_its_connection_is_up_in_time() -> None:
    async def scenario(harness: Harness) -> None:
        in_time = harness.inbox.clock.now_us() + 4_000_000
        assert await outcomes_of_delayed_connect(harness, lambda _, attempt: None, begin_by_us=in_time) == []

    run_scenario(scenario)


def test_no_request_is_sent_on_a_link_with_blocked_writes() -> None:
    async def scenario(harness: Harness) -> None:
        await harness.send()
        (link,) = harness.pool.links["e1"]
        assert link.connection is not None
        link.connection.write(b"x" * (1 << 24))  # more than the kernel buffers
        await asyncio.sleep(0.05)
        assert link.connection.blocked_since is not None
        await harness.send()
        assert len(harness.accepted) == 2  # sent on another link
        await asyncio.sleep(0.3)
        assert harness.outcomes() == [api.Outcome.RESET]  # the first link is closed

    run_scenario(scenario, partial_answer_timeout_us=150_000, sweep_interval_s=0.02)


@pytest.mark.parametrize("sign", [b"served total=2 6\r\na\tb\tc\n", b"update how=done,datum=0.5 0\r\n"])
@pytest.mark.parametrize("word", [b"overload", b"nobody"])
def test_a_not_run_answer_after_a_sign_of_execution_counts_as_an_error(sign: bytes, word: bytes) -> None:
    async def scenario(harness: Harness) -> None:
        attempt = await harness.send()
        call_id = attempt.query.statement.call_id
        harness.accepted[0].sendall(call_id + b" " + sign + b"\r\n" + call_id + b" " + word + b" - 0\r\n\r\n")
        await asyncio.sleep(0.05)
        assert harness.outcomes() == [api.Outcome.ERROR]

    run_scenario(scenario)
