"""The gateway with clients that stay connected, stay silent, flood it or send invalid input."""

import asyncio
import gc
import socket
import struct
import time
import weakref
from contextlib import suppress

import pytest

from whintrail.gateway.clock import Clock
from whintrail.gateway.counters import Counters
from whintrail.gateway.dispatcher import Inbox
from whintrail.gateway.limits import Limits
from whintrail.gateway.log import Log
from whintrail.gateway.sessions import SessionServer
from whintrail.standins.scripted import Client, deployment, query


def test_idle_sessions_are_evicted_for_new_clients() -> None:
    with deployment(sockets=64) as cluster:  # limit of 28 client connections
        start, clients = time.monotonic(), []
        for _ in range(70):
            clients.append(cluster.client())
            assert clients[-1].ask(query()).rows
        assert time.monotonic() - start < 5.0
        assert clients[0].file.read() == b""  # the longest idle session was closed without an error
        assert clients[-1].ask(query()).rows


def test_silent_connections_are_evicted_for_new_clients() -> None:
    with deployment(sockets=64) as cluster:
        silent = [Client(cluster.port, start=False) for _ in range(60)]
        start = time.monotonic()
        assert cluster.client().ask(query()).rows
        assert time.monotonic() - start < 1.0
        assert silent[0].file.read() == b""


@pytest.mark.parametrize(
    "first", [b"", b"\0\0", Client.startup_message(), Client.startup_message() + b"Q\0\0\1\0/* op="]
)
def test_a_client_without_a_complete_query_is_disconnected_in_time(first: bytes) -> None:
    with deployment() as cluster:
        start = time.monotonic()
        client = Client(cluster.port, start=False)
        client.sock.sendall(first)
        received = client.file.read()
        assert 1.0 < time.monotonic() - start < 2.8
        assert (b"FATAL" in received) == bool(first)


def test_a_session_may_idle_between_queries_but_not_within_one() -> None:
    with deployment() as cluster:
        client = cluster.client()
        assert client.ask(query()).rows
        time.sleep(2.5)
        assert client.ask(query()).rows
        start = time.monotonic()
        client.sock.sendall(Client.simple_query(query())[:-1])
        assert b"FATAL" in client.file.read()
        assert 1.0 < time.monotonic() - start < 2.8


def test_a_60_mb_body_is_refused_at_once_without_delaying_others() -> None:
    with deployment() as cluster:
        other = cluster.client()
        client = cluster.client()
        start = time.monotonic()
        client.sock.sendall(b"Q" + struct.pack("!I", 60_000_000))
        block = bytes(1 << 20)
        with suppress(OSError):  # the gateway may close before it has read everything
            for _ in range(60):
                client.sock.sendall(block)
                asked_at = time.monotonic()
                assert other.ask(query()).rows
                assert time.monotonic() - asked_at < 1.0
            assert client.read_answer().sqlstate == "54000"
        assert time.monotonic() - start < 6.0


def test_a_client_that_floods_without_reading_is_bounded_and_delays_nobody() -> None:
    with deployment() as cluster:
        flood = cluster.client()
        flood.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        flood.sock.settimeout(0.05)
        block, sent = Client.message(b"S", b"") * 20_000, 0
        other = cluster.client()
        for _ in range(40):
            try:
                sent += flood.sock.send(block)
            except TimeoutError:
                break  # the gateway has stopped reading
            asked_at = time.monotonic()
            assert other.ask(query()).rows
            assert time.monotonic() - asked_at < 1.0
        else:
            pytest.fail(f"{sent} bytes taken from a client that reads no answer")


def test_a_closed_session_is_freed_without_garbage_collection() -> None:
    async def scenario() -> None:
        limits = Limits.read({"settings": {}})
        sessions = SessionServer(limits, Inbox(Clock()), Counters(), Log("test", 5.0, 1.0))
        gateway_side, client_side = socket.socketpair()
        sessions._start_session(gateway_side)
        ((session, _),) = sessions.sessions.values()
        reference = weakref.ref(session)
        del session
        client_side.sendall(Client.startup_message() + Client.simple_query(";"))
        await asyncio.sleep(0.05)
        assert client_side.recv(4096) and reference() is not None
        client_side.close()
        await asyncio.sleep(0.05)
        assert reference() is None and not (
            sessions.sessions or sessions.idle_since or sessions.ending_sessions
        )

    gc.disable()
    try:
        asyncio.run(scenario())
    finally:
        gc.enable()
