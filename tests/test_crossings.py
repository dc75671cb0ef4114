"""Races of two events: each test forces an order that the event loop could produce (docs/crossings.md).

Bytes are put into the kernel's buffers while no task runs, so that the check meets the event as forced.
"""

import asyncio
import errno
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest

from whintrail.gateway.bulletin import BulletinClient
from whintrail.gateway.clock import Clock
from whintrail.gateway.counters import Counters
from whintrail.gateway.dispatcher import ClientDeparted, Inbox, Query, QueryReceived
from whintrail.gateway.limits import Limits
from whintrail.gateway.log import Log
from whintrail.gateway.sessions import SessionServer
from whintrail.standins.scripted import Client, query


class SessionHarness:
    """The session server alone, behind a real listener; its requests are read from the inbox."""

    def __init__(self, **limits: Any) -> None:
        self.limits = replace(Limits.read({"settings": {}}), **limits)
        self.inbox, self.counters = Inbox(Clock()), Counters()
        self.sessions = SessionServer(self.limits, self.inbox, self.counters, Log("test", 5.0, 1.0))
        self.sessions.listen(("127.0.0.1", 0))
        assert self.sessions.listener is not None
        self.port: int = self.sessions.listener.getsockname()[1]
        self.client_sockets: list[socket.socket] = []
        self.accept_task = asyncio.create_task(self.sessions.accept())
        self.expiry_task = asyncio.create_task(self.sessions.expire_sessions())

    def connect(self, data: bytes = b"") -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", self.port), timeout=5)
        sock.sendall(data)
        self.client_sockets.append(sock)
        return sock

    async def connect_client(self) -> tuple[socket.socket, int, int]:
        """Return the socket of a started client, its process id and its secret."""
        sock = self.connect(Client.startup_message())
        data = b""
        while not data.endswith(b"Z\0\0\0\5I"):
            data += await asyncio.to_thread(sock.recv, 4096)
        at = data.index(b"K\0\0\0\x0c") + 5
        return sock, int.from_bytes(data[at : at + 4], "big"), int.from_bytes(data[at + 4 : at + 8], "big")

    def received(self, kind: type) -> list[Query]:
        return [item.query for _, item in self.inbox.queue if isinstance(item, kind)]  # type: ignore[union-attr]

    async def wait_until(self, condition: Callable[[], Any]) -> None:
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.005)


def run_with_sessions(scenario: Callable[[SessionHarness], Awaitable[None]], **limits: Any) -> None:
    async def run() -> None:
        harness = SessionHarness(**limits)
        try:
            await asyncio.wait_for(scenario(harness), 10)
        finally:
            harness.accept_task.cancel()
            harness.expiry_task.cancel()
            await asyncio.gather(harness.accept_task, harness.expiry_task, return_exceptions=True)
            await harness.sessions.close()
            harness.sessions.close_listener()
            for sock in harness.client_sockets:
                sock.close()

    asyncio.run(run())


def cancel_request(process: int, secret: int) -> bytes:
    return (
        b"\0\0\0\x10" + (80877102).to_bytes(4, "big") + process.to_bytes(4, "big") + secret.to_bytes(4, "big")
    )


# --- Closes and shutdowns.


def test_a_request_that_arrived_before_the_end_of_its_session_wins() -> None:
    async def scenario(harness: SessionHarness) -> None:
        sock, process, _ = await harness.connect_client()
        session = harness.sessions.sessions[process][0]
        sock.sendall(Client.simple_query(query()))
        time.sleep(0.02)  # the bytes reach the kernel; no task runs
        assert not session.close_if_idle()
        await harness.wait_until(lambda: harness.received(QueryReceived))
        assert not session.close_if_idle() and not session.ended

    run_with_sessions(scenario)


def test_bytes_read_by_the_loop_but_not_handed_over_win_too() -> None:
    async def scenario(harness: SessionHarness) -> None:
        sock, process, _ = await harness.connect_client()
        session = harness.sessions.sessions[process][0]
        text, loop, closed = Client.simple_query(query()), asyncio.get_running_loop(), list[bool]()

        def before_the_reader() -> None:
            # As after a recv whose reader task hasn't run yet: the bytes are in the view, not in the kernel.
            into = session.connection._receive_view
            assert into is not None
            into[: len(text)] = text
            closed.append(session.close_if_idle())
            into[0] = 0xFF

        loop.call_soon(before_the_reader)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert closed == [False] and not session.ended
        sock.sendall(text)
        await harness.wait_until(lambda: harness.received(QueryReceived))

    run_with_sessions(scenario)


def test_a_request_after_the_half_close_is_discarded_and_never_taken() -> None:
    async def scenario(harness: SessionHarness) -> None:
        sock, process, _ = await harness.connect_client()
        session = harness.sessions.sessions[process][0]
        assert session.close_if_idle()
        sock.sendall(Client.simple_query(query()))  # crosses the shutdown
        assert await asyncio.to_thread(sock.recv, 10) == b""  # no reset, which could destroy earlier bytes
        await asyncio.sleep(0.05)
        assert not harness.received(QueryReceived) and process in harness.sessions.sessions
        sock.close()
        await harness.wait_until(lambda: not harness.sessions.sessions)

    run_with_sessions(scenario)


def test_a_full_answer_is_read_although_bytes_cross_the_close() -> None:
    async def scenario(harness: SessionHarness) -> None:
        sock, process, _ = await harness.connect_client()
        session = harness.sessions.sessions[process][0]
        sock.sendall(Client.simple_query(";"))
        await harness.wait_until(
            lambda: harness.sessions.idle_since.get(session) is not None and session.connection.all_sent
        )
        await asyncio.sleep(0.02)
        assert session.close_if_idle()
        sock.sendall(Client.simple_query(query()) * 50)
        await asyncio.sleep(0.05)
        data = b""
        while part := await asyncio.to_thread(sock.recv, 4096):
            data += part
        assert data == b"I\0\0\0\4Z\0\0\0\5I"

    run_with_sessions(scenario)


def test_a_client_that_never_closes_is_closed_after_the_linger_time() -> None:
    async def scenario(harness: SessionHarness) -> None:
        await harness.connect_client()
        assert not harness.sessions.close_idle()
        await harness.wait_until(harness.sessions.close_idle)
        assert harness.counters["sessions", "lingered"] == 1

    run_with_sessions(scenario, linger_timeout_s=0.1, sweep_interval_s=0.02)


def test_nothing_is_taken_after_the_client_departed() -> None:
    async def scenario(harness: SessionHarness) -> None:
        sock, process, _ = await harness.connect_client()
        session = harness.sessions.sessions[process][0]
        sock.sendall(Client.simple_query(query()))
        await harness.wait_until(lambda: harness.received(QueryReceived))
        session.connection.buffer.receive_space()[: len(ahead)] = ahead  # the next query has already arrived
        session.connection.buffer.commit(len(ahead))
        session._detach_client()
        session.process_next()  # a deferred call
        session._on_all_sent()
        assert len(harness.received(QueryReceived)) == 1 and len(harness.received(ClientDeparted)) == 1

    ahead = Client.simple_query(query())
    run_with_sessions(scenario)


def test_a_connection_accepted_in_the_turn_of_the_stop_is_served() -> None:
    async def scenario(harness: SessionHarness) -> None:
        for _ in range(3):
            harness.connect(Client.startup_message() + Client.simple_query(";"))
        harness.sessions.stop_accepting()
        await asyncio.wait([harness.accept_task], timeout=1)
        assert harness.accept_task.done() and not harness.accept_task.cancelled()
        for sock in harness.client_sockets:
            data = b""
            while b"I\0\0\0\4Z" not in data:
                data += await asyncio.to_thread(sock.recv, 4096)

    run_with_sessions(scenario)


def test_a_first_query_at_the_moment_of_its_timeout_is_taken() -> None:
    async def scenario(harness: SessionHarness) -> None:
        sock, process, _ = await harness.connect_client()
        session = harness.sessions.sessions[process][0]
        sock.sendall(Client.simple_query(query()))
        time.sleep(0.02)  # the bytes reach the kernel; no task runs
        session.receive_deadline = harness.sessions.loop.time() - 0.01
        assert session.expiry_reason(harness.sessions.loop.time()) is None
        await harness.wait_until(lambda: harness.received(QueryReceived))
        assert not session.ended

    run_with_sessions(scenario)


def test_further_bytes_do_not_postpone_the_timeout_of_a_late_message() -> None:
    async def scenario(harness: SessionHarness) -> None:
        sock, process, _ = await harness.connect_client()
        session = harness.sessions.sessions[process][0]
        sock.sendall(Client.simple_query(query())[:-1])
        time.sleep(0.02)
        session.receive_deadline = harness.sessions.loop.time() - harness.limits.close_grace_s - 0.01
        assert session.expiry_reason(harness.sessions.loop.time()) == "silent"

    run_with_sessions(scenario)


# --- The client that left.


def test_an_end_of_stream_behind_a_full_buffer_is_detected() -> None:
    async def scenario(harness: SessionHarness) -> None:
        sock, process, _ = await harness.connect_client()
        session = harness.sessions.sessions[process][0]
        sock.sendall(Client.simple_query(query()) + b"x" * 100_000)
        await harness.wait_until(lambda: harness.received(QueryReceived) and session.connection.buffer.full)
        (open_query,) = harness.received(QueryReceived)
        assert not session.has_left(open_query)
        sock.shutdown(socket.SHUT_WR)
        await harness.wait_until(lambda: harness.received(ClientDeparted))
        assert open_query.client_left

    run_with_sessions(scenario, query_bytes=4096, sweep_interval_s=0.02)


def test_an_unread_end_of_stream_is_checked_before_an_attempt() -> None:
    async def scenario(harness: SessionHarness) -> None:
        sock, _, _ = await harness.connect_client()
        sock.sendall(Client.simple_query(query()))
        await harness.wait_until(lambda: harness.received(QueryReceived))
        (open_query,) = harness.received(QueryReceived)
        assert not open_query.client.has_left(open_query)
        sock.close()
        time.sleep(0.02)
        assert open_query.client.has_left(open_query) and open_query.client_left

    run_with_sessions(scenario)


def reset(sock: socket.socket) -> None:
    """Close as a client with unread bytes does: the peer sees a reset instead of an end of stream."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def test_a_reset_behind_unread_bytes_is_checked_before_an_attempt() -> None:
    async def scenario(harness: SessionHarness) -> None:
        sock, _, _ = await harness.connect_client()
        sock.sendall(Client.simple_query(query()))
        await harness.wait_until(lambda: harness.received(QueryReceived))
        (open_query,) = harness.received(QueryReceived)
        sock.sendall(Client.simple_query(query()))  # unread bytes ahead of the reset
        reset(sock)
        time.sleep(0.02)  # no task runs
        assert open_query.client.has_left(open_query) and open_query.client_left

    run_with_sessions(scenario)


def test_a_reset_behind_a_full_buffer_is_detected() -> None:
    async def scenario(harness: SessionHarness) -> None:
        sock, process, _ = await harness.connect_client()
        session = harness.sessions.sessions[process][0]
        sock.sendall(Client.simple_query(query()) + b"x" * 100_000)
        await harness.wait_until(lambda: harness.received(QueryReceived) and session.connection.buffer.full)
        reset(sock)
        await harness.wait_until(lambda: harness.received(ClientDeparted))

    run_with_sessions(scenario, query_bytes=4096, sweep_interval_s=0.02)


def test_a_cancel_request_that_overtakes_its_query_cancels_it() -> None:
    async def scenario(harness: SessionHarness) -> None:
        sock, process, secret = await harness.connect_client()
        sock.sendall(Client.simple_query(query()))
        time.sleep(0.02)  # the query is in the kernel; the cancel request is read first
        harness.sessions.cancel_query(process, secret)
        data = await asyncio.to_thread(sock.recv, 4096)
        assert b"C57014\0" in data and not harness.received(QueryReceived)
        sock.sendall(Client.simple_query(query()))  # the cancel request doesn't affect the next query
        await harness.wait_until(lambda: harness.received(QueryReceived))

    run_with_sessions(scenario)


def test_a_cancel_request_passes_waiting_sessions() -> None:
    async def scenario(harness: SessionHarness) -> None:
        busy = [await harness.connect_client() for _ in range(8)]
        for sock, _, _ in busy:
            sock.sendall(Client.simple_query(query()))
        await harness.wait_until(lambda: len(harness.received(QueryReceived)) == 8)
        waiting = [harness.connect(Client.startup_message()) for _ in range(3)]
        await harness.wait_until(lambda: len(harness.sessions.waiting_sessions) == 3)
        _, process, secret = busy[0]
        start = time.monotonic()
        harness.connect(cancel_request(process, secret))
        await harness.wait_until(lambda: harness.received(ClientDeparted))
        assert time.monotonic() - start < 0.1
        busy[0][0].close()
        assert await asyncio.to_thread(waiting[0].recv, 1) == b"R"  # the first waiting client gets the place

    run_with_sessions(scenario, client_connections=8, waiting_connections=4)


def test_a_cancel_request_behind_a_fuller_queue_waits_and_the_close_after_it_counts() -> None:
    """A known limit (docs/crossings.md): only an accept shows who is in the kernel's queue."""

    async def scenario(harness: SessionHarness) -> None:
        busy = [await harness.connect_client() for _ in range(8)]
        for sock, _, _ in busy:
            sock.sendall(Client.simple_query(query()))
        await harness.wait_until(lambda: len(harness.received(QueryReceived)) == 8)
        for _ in range(5):  # two waiting sessions, three in the kernel's queue
            harness.connect(Client.startup_message())
        await harness.wait_until(lambda: len(harness.sessions.waiting_sessions) == 2)
        cancelled, process, secret = busy[0]
        harness.connect(cancel_request(process, secret))
        for _ in range(10):
            await asyncio.sleep(harness.limits.poll_interval_s)
        assert not harness.received(ClientDeparted) and harness.counters["sessions", "cancel_requests"] == 0
        cancelled_query = harness.sessions.sessions[process][0].open_query
        cancelled.close()  # as clients do half a second after a cancel
        await harness.wait_until(lambda: harness.received(ClientDeparted))
        assert (
            harness.received(ClientDeparted) == [cancelled_query]
            and harness.counters["sessions", "cancel_requests"] == 0
        )
        for sock, _, _ in busy[1:6]:  # the queue advances as busy clients close
            sock.close()
        await harness.wait_until(lambda: harness.counters["sessions", "cancel_requests"] == 1)

    run_with_sessions(scenario, client_connections=8, waiting_connections=2)


@pytest.mark.parametrize("sockets", [64, 256, 512, 1024])
def test_conforming_clients_never_fill_the_accepted_connections(sockets: int) -> None:
    """They hold a third of the descriptors at most; only non-conforming clients fill the kernel's queue."""
    limits = Limits.read({"settings": {}, "limits": {"sockets": sockets}})
    assert limits.client_connections + limits.waiting_connections >= sockets * 4 // 9


def test_idle_clients_are_displaced_by_any_number_of_new_ones() -> None:
    async def scenario(harness: SessionHarness) -> None:
        idle = [harness.connect() for _ in range(40)]
        await asyncio.sleep(0.2)
        start = time.monotonic()
        for _ in range(5):
            await harness.connect_client()
        assert time.monotonic() - start < 1.0
        assert len(harness.sessions.sessions) <= 12 and idle

    run_with_sessions(
        scenario, client_connections=8, waiting_connections=2, session_min_idle_s=0.02, close_grace_s=0.05
    )


def test_running_out_of_descriptors_closes_an_idle_session_without_spinning() -> None:
    async def scenario(harness: SessionHarness) -> None:
        _, process, _ = await harness.connect_client()
        harness.sessions.idle_since[harness.sessions.sessions[process][0]] -= 60.0  # the only idle session
        accept, refused = harness.sessions.loop.sock_accept, list[float]()

        async def accept_without_descriptors(listener: socket.socket) -> Any:
            if len(refused) < 5:
                refused.append(time.monotonic())
                raise OSError(errno.EMFILE, "Too many open files")
            return await accept(listener)

        harness.sessions.loop.sock_accept = accept_without_descriptors  # type: ignore[method-assign, assignment]
        await harness.connect_client()  # ends the pending accept; the next ones fail
        await harness.wait_until(lambda: len(refused) == 5)
        assert refused[-1] - refused[0] >= 0.04
        await harness.connect_client()
        assert harness.counters["sessions", "displaced"] == 1
        assert harness.sessions.sessions[process][0].ended

    run_with_sessions(scenario, session_min_idle_s=30.0, linger_timeout_s=30.0)


def test_pipelined_commands_are_timed_from_their_arrival() -> None:
    async def scenario(harness: SessionHarness) -> None:
        sock, _, _ = await harness.connect_client()
        sock.sendall(Client.simple_query(query()) * 2)
        await harness.wait_until(lambda: harness.received(QueryReceived))
        (first,) = harness.received(QueryReceived)
        time.sleep(0.3)
        first.client.refuse(first, None)
        await harness.wait_until(lambda: len(harness.received(QueryReceived)) == 2)
        second = harness.received(QueryReceived)[1]
        # Timed by the kernel's account of the arrival, not 0.3 s later.
        assert abs(second.received_us - first.received_us) < 150_000

    run_with_sessions(scenario)


def test_small_writes_are_not_delayed_by_the_kernel() -> None:
    async def scenario(harness: SessionHarness) -> None:
        _, process, _ = await harness.connect_client()
        sock = harness.sessions.sessions[process][0].connection.sock
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run_with_sessions(scenario)


# --- The bulletin.


def bulletin() -> BulletinClient:
    config = {"bulletin": "127.0.0.1:9", "known": {"no": 1, "items": []}}
    return BulletinClient(
        config, Limits.read({"settings": {}}), Inbox(Clock()), Counters(), Log("test", 5.0, 1.0)
    )


def test_an_unreadable_event_is_requested_again_once() -> None:
    client = bulletin()
    unreadable, readable = b'{"no":2,"roster":7}', b'{"no":2,"roster":{"instances":[]}}'
    assert client.process_line(unreadable) and client.last_event_number == 1
    assert not client.process_line(b"2")  # counts as missing: requested again
    assert client.process_line(readable) and client.last_event_number == 2 and len(client.inbox.queue) == 1
    second_client = bulletin()
    assert (
        second_client.process_line(unreadable)
        and second_client.process_line(unreadable)
        and second_client.last_event_number == 2
    )


def test_a_full_list_needs_none_of_the_events_before_it() -> None:
    """Else the client would request events for ever that the bulletin no longer has, and miss drains."""
    client = bulletin()
    assert not client.process_line(b'{"no":5,"roster":{"instances":[]}}') and client.last_event_number == 1
    assert (
        not client.process_line(b'{"no":5,"roster":{"reset":false,"instances":[]}}')
        and client.last_event_number == 1
    )
    assert (
        client.process_line(b'{"no":5,"roster":{"reset":true,"instances":[]}}')
        and client.last_event_number == 5
    )
    assert client.process_line(b'{"no":6,"roster":{"instances":[]}}') and len(client.inbox.queue) == 2
    assert (
        client.process_line(b'{"no":4,"roster":{"reset":true,"instances":[]}}')
        and client.last_event_number == 6
    )


@pytest.mark.parametrize("drip", [b"", b"x"])
def test_a_bulletin_without_a_complete_line_counts_as_silent(drip: bytes) -> None:
    async def scenario() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        loop, limits = (
            asyncio.get_running_loop(),
            replace(Limits.read({"settings": {}}), bulletin_silence_timeout_s=0.2),
        )
        config = {"bulletin": f"127.0.0.1:{listener.getsockname()[1]}"}
        bulletin_client = BulletinClient(config, limits, Inbox(Clock()), Counters(), Log("test", 5.0, 1.0))
        task = asyncio.create_task(bulletin_client.run())
        first, _ = await loop.sock_accept(listener)
        dripping = asyncio.create_task(drip_on(first))
        async with asyncio.timeout(5):
            second, _ = await loop.sock_accept(listener)
        for work in (task, dripping):
            work.cancel()
        await asyncio.gather(task, dripping, return_exceptions=True)
        for sock in (first, second, listener):
            sock.close()

    async def drip_on(sock: socket.socket) -> None:
        while True:
            await asyncio.get_running_loop().sock_sendall(sock, drip)
            await asyncio.sleep(0.02)

    asyncio.run(scenario())
