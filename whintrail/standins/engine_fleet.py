"""Many fake engines on one event loop, with faults that are injected and cleared while they serve.

For uses beyond the scale of threads: a demonstration, thousands of requests a second, and tests that compare
the gateway's view with the injected faults. The fakes implement the engines' line protocol.
"""

import asyncio
import json
import random
import socket
from collections.abc import Coroutine, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from time import time
from typing import Any

ROWS = b"2026-12-01\t42\tminutes of the council\n2026-12-02\t7\thearing\n"
PROGRESS_INTERVAL_S = 0.2


@dataclass(slots=True)
class Faults:
    """The current faults of an engine; each can change at any time."""

    stalled: bool = False  # accepts queries without answering them; probes are answered
    slower: float = 1.0  # factor on the usual time
    failing: float = 0.0  # share of queries that end in an error


@dataclass(slots=True)
class Fault:
    """An injected fault, for comparison with what the gateway detects. Times are Unix seconds."""

    engine: str
    kind: str
    started_at: float
    ended_at: float = 0.0


def parse_requests(data: bytearray) -> Iterator[tuple[list[bytes], bytes]]:
    """Yield the words and the statement of each complete request, and remove it from the data."""
    while (end := data.find(b"\r\n")) >= 0:
        words = bytes(data[:end]).split(b" ")
        length = int(words[3]) + 2 if words[0] == b"do" else 0
        if len(data) < end + 2 + length:
            return
        body = bytes(data[end + 2 : end + length])
        del data[: end + 2 + length]
        yield words, body


class FleetEngine:
    """Runs queries without queueing; concurrent queries share its cores."""

    def __init__(self, name: str, cores: float, seed: int) -> None:
        self.name, self.cores, self.faults = name, cores, Faults()
        self.random = random.Random(f"{seed}-{name}")
        self.started_ms = 0
        self.running: dict[tuple[int, bytes], asyncio.TimerHandle | None] = {}
        self.held_answers: list[tuple[socket.socket, bytes]] = []  # finished during a stall
        self.sockets: set[socket.socket] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.queries_received = self.queries_answered = 0
        self.listener = self._listen(0)
        self.port: int = self.listener.getsockname()[1]
        self._start_accepting()

    @staticmethod
    def _listen(port: int) -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", port))
        sock.listen(256)
        sock.setblocking(False)
        return sock

    def _start_accepting(self) -> None:
        task = asyncio.get_running_loop().create_task(self._accept_connections(self.listener))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _accept_connections(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(listener)
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sockets.add(sock)
            task = loop.create_task(self._serve_connection(sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def entry(self, state: str = "active") -> dict[str, object]:
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": "z1",
            "machineType": "std-16",
            "cell": 0,
            "lifecycle": state,
            "weight": 4,
            "startedAtMs": self.started_ms,
        }

    async def _serve_connection(self, sock: socket.socket) -> None:
        loop, data, chunk = asyncio.get_running_loop(), bytearray(), bytearray(65_536)
        try:
            while count := await loop.sock_recv_into(sock, chunk):
                data += memoryview(chunk)[:count]
                for words, body in parse_requests(data):
                    self._handle_request(sock, words, body)
        except (OSError, ValueError):
            pass
        finally:
            self.sockets.discard(sock)
            number = sock.fileno()
            for key in [key for key in self.running if key[0] == number]:
                self._cancel_query(key)
            sock.close()

    def _handle_request(self, sock: socket.socket, words: list[bytes], body: bytes) -> None:
        match words[0]:
            case b"do":
                self.queries_received += 1
                # The statement may state its cost: `... -- cost=MS`.
                cost_ms = float(body.rpartition(b"cost=")[2] or 5) if b"cost=" in body else 5.0
                queries_per_core = max(1.0, (len(self.running) + 1) / self.cores)
                duration_s = (
                    cost_ms
                    / 1000
                    * queries_per_core
                    * self.faults.slower
                    * self.random.lognormvariate(-0.1, 0.4)
                )
                key = (sock.fileno(), words[1])
                later = asyncio.get_running_loop().call_later
                self.running[key] = later(duration_s, self._finish_query, sock, key)
                if duration_s > PROGRESS_INTERVAL_S:
                    later(
                        PROGRESS_INTERVAL_S, self._report_progress, sock, key, duration_s, PROGRESS_INTERVAL_S
                    )
            case b"undo":
                self._cancel_query((sock.fileno(), words[1]))
            case b"ping" | b"top":
                stats = b"stats=busy_reqs:%d;pending:0;x0:0.1" % len(self.running)
                self._send_reply(sock, words[1], b"green", stats if words[0] == b"top" else b"-")

    def _cancel_query(self, key: tuple[int, bytes]) -> None:
        timer = self.running.pop(key, None)
        if timer is not None:
            timer.cancel()

    def _report_progress(
        self, sock: socket.socket, key: tuple[int, bytes], duration_s: float, elapsed_s: float
    ) -> None:
        if key in self.running and not self.faults.stalled and elapsed_s < duration_s:
            self._send_reply(sock, key[1], b"update", b"how=done,datum=%.3f" % (elapsed_s / duration_s))
            asyncio.get_running_loop().call_later(
                PROGRESS_INTERVAL_S,
                self._report_progress,
                sock,
                key,
                duration_s,
                elapsed_s + PROGRESS_INTERVAL_S,
            )

    def _finish_query(self, sock: socket.socket, key: tuple[int, bytes]) -> None:
        if key not in self.running:
            return
        if self.faults.stalled:
            self.running[key] = None  # still counts as busy
            self.held_answers.append((sock, key[1]))
            return
        del self.running[key]
        self.queries_answered += 1
        if self.random.random() < self.faults.failing:
            self._send_reply(sock, key[1], b"crashed", b"-")
        else:
            self._send_reply(sock, key[1], b"served", b"total=1,elapsed=5.0,rss=8", ROWS)

    def end_stall(self) -> None:
        """End a stall: the held queries are answered after a short random delay."""
        self.faults.stalled = False
        for sock, id in self.held_answers:
            key = (sock.fileno(), id)
            if key in self.running:
                delay = self.random.uniform(0.0, 0.1)
                self.running[key] = asyncio.get_running_loop().call_later(
                    delay, self._finish_query, sock, key
                )
        self.held_answers.clear()

    def _send_reply(
        self, sock: socket.socket, id: bytes, status: bytes, fields: bytes, body: bytes = b""
    ) -> None:
        data = b"%b %b %b %d\r\n%b\r\n" % (id, status, fields, len(body), body)
        try:
            sent = sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            return
        if sent < len(data):  # the gateway doesn't read: a fake may simply hang up
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def crash(self) -> None:
        """Reset all connections and refuse new ones, as when the process is killed."""
        self.listener.close()
        for sock in list(self.sockets):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        for key in list(self.running):
            self._cancel_query(key)
        self.held_answers.clear()

    def restart(self) -> None:
        self.listener = self._listen(self.port)
        self.started_ms = int(time() * 1000)
        self.faults = Faults()
        self._start_accepting()

    async def close(self) -> None:
        self.crash()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@dataclass(slots=True)
class FleetBulletin:
    """A fake bulletin: publishes the list of engines to every gateway that watches it."""

    events: list[dict[str, object]] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    listener: socket.socket | None = None
    port: int = 0

    def start(self) -> None:
        self.listener = FleetEngine._listen(0)
        self.port = self.listener.getsockname()[1]
        self._start_task(self._accept_connections(self.listener))

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def publish(self, *entries: dict[str, object], reset: bool = False) -> None:
        number = len(self.events) + 1
        roster = {"generation": number, "reset": reset, "instances": list(entries)}
        self.events.append({"no": number, "roster": roster})

    async def _accept_connections(self, listener: socket.socket) -> None:
        while True:
            sock, _ = await asyncio.get_running_loop().sock_accept(listener)
            sock.setblocking(False)
            self._start_task(self._serve_watch(sock))

    async def _serve_watch(self, sock: socket.socket) -> None:
        loop, chunk = asyncio.get_running_loop(), bytearray(64)
        with suppress(OSError, ValueError):
            count = await loop.sock_recv_into(sock, chunk)
            last_sent = int(bytes(chunk[:count]).split()[1])
            next_heartbeat = 0.0
            while True:
                for event in self.events[last_sent:]:
                    await loop.sock_sendall(sock, json.dumps(event).encode() + b"\n")
                    last_sent += 1
                if loop.time() > next_heartbeat:
                    await loop.sock_sendall(sock, b"%d\n" % last_sent)
                    next_heartbeat = loop.time() + 0.5
                await asyncio.sleep(0.02)
        sock.close()

    async def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class EngineFleet:
    """Fake engines with their bulletin, and a log of the injected faults."""

    def __init__(self, count: int, cores: float = 16.0, seed: int = 1) -> None:
        self.engines = [FleetEngine(f"s-{number}", cores, seed) for number in range(1, count + 1)]
        self.bulletin = FleetBulletin()
        self.bulletin.start()
        self.bulletin.publish(*(engine.entry() for engine in self.engines), reset=True)
        self.fault_log: list[Fault] = []

    def inject_fault(self, index: int, kind: str, value: float = 1.0) -> Fault:
        """Inject `stalled`, `slower` (a factor) or `failing` (a share)."""
        engine = self.engines[index]
        setattr(engine.faults, kind, True if kind == "stalled" else value)
        fault = Fault(engine.name, kind, time())
        self.fault_log.append(fault)
        return fault

    def clear_fault(self, fault: Fault) -> None:
        engine = next(engine for engine in self.engines if engine.name == fault.engine)
        if fault.kind == "stalled":
            engine.end_stall()
        else:
            setattr(engine.faults, fault.kind, 1.0 if fault.kind == "slower" else 0.0)
        fault.ended_at = time()

    def config(self, listen: str, name: str = "n0", sockets: int = 1024) -> dict[str, object]:
        """Return the configuration of a gateway in front of these engines."""
        from whintrail.standins.scripted import settings

        return {
            "name": name,
            "listen": listen,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "bulletin": f"127.0.0.1:{self.bulletin.port}",
            "known": {"no": 1, "items": self.bulletin.events[:1]},
            "settings": settings(),
        }

    async def close(self) -> None:
        await self.bulletin.close()
        for engine in self.engines:
            await engine.close()
