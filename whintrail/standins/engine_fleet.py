"""Many stand-in engines on one loop, with faults that are injected and taken back while they serve.

For what threads don't scale to: a demonstration, load from thousands of requests a second, and tests that
hold the gateway's view against what was really injected. The protocol is that of the engines' lines.
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
    """What is wrong with an engine now. All of it can change at any time."""

    stalled: bool = False  # takes requests, answers none; probes are answered
    slower: float = 1.0  # times the usual
    failing: float = 0.0  # share of requests that end in an error


@dataclass(slots=True)
class Fault:
    """One that was injected, for comparison with what the gateway made of it. Unix seconds."""

    engine: str
    kind: str
    started_at: float
    ended_at: float = 0.0


def parse_requests(data: bytearray) -> Iterator[tuple[list[bytes], bytes]]:
    """The whole requests at the start of the data, each taken from it: its words and the statement."""
    while (end := data.find(b"\r\n")) >= 0:
        words = bytes(data[:end]).split(b" ")
        length = int(words[3]) + 2 if words[0] == b"do" else 0
        if len(data) < end + 2 + length:
            return
        body = bytes(data[end + 2 : end + length])
        del data[: end + 2 + length]
        yield words, body


class FleetEngine:
    """Serves what it is sent at once; requests share its cores."""

    def __init__(self, name: str, cores: float, seed: int) -> None:
        self.name, self.cores, self.faults = name, cores, Faults()
        self.random = random.Random(f"{seed}-{name}")
        self.started_ms = 0
        self.running: dict[tuple[int, bytes], asyncio.TimerHandle | None] = {}
        self.held_answers: list[tuple[socket.socket, bytes]] = []  # done, but stalled
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
                # The statement may say what it costs: `... -- cost=MS`.
                cost_ms = float(body.rpartition(b"cost=")[2] or 5) if b"cost=" in body else 5.0
                crowd = max(1.0, (len(self.running) + 1) / self.cores)
                took_s = cost_ms / 1000 * crowd * self.faults.slower * self.random.lognormvariate(-0.1, 0.4)
                key = (sock.fileno(), words[1])
                later = asyncio.get_running_loop().call_later
                self.running[key] = later(took_s, self._finish_query, sock, key)
                if took_s > PROGRESS_INTERVAL_S:
                    later(PROGRESS_INTERVAL_S, self._report_progress, sock, key, took_s, PROGRESS_INTERVAL_S)
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
        self, sock: socket.socket, key: tuple[int, bytes], took_s: float, passed_s: float
    ) -> None:
        if key in self.running and not self.faults.stalled and passed_s < took_s:
            self._send_reply(sock, key[1], b"update", b"how=done,datum=%.3f" % (passed_s / took_s))
            asyncio.get_running_loop().call_later(
                PROGRESS_INTERVAL_S, self._report_progress, sock, key, took_s, passed_s + PROGRESS_INTERVAL_S
            )

    def _finish_query(self, sock: socket.socket, key: tuple[int, bytes]) -> None:
        if key not in self.running:
            return
        if self.faults.stalled:
            self.running[key] = None  # it goes on holding what it was sent
            self.held_answers.append((sock, key[1]))
            return
        del self.running[key]
        self.queries_answered += 1
        if self.random.random() < self.faults.failing:
            self._send_reply(sock, key[1], b"crashed", b"-")
        else:
            self._send_reply(sock, key[1], b"served", b"total=1,elapsed=5.0,rss=8", ROWS)

    def end_stall(self) -> None:
        """The end of a stall: what it still holds is answered, within a little while."""
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
        self, sock: socket.socket, id: bytes, word: bytes, fields: bytes, body: bytes = b""
    ) -> None:
        data = b"%b %b %b %d\r\n%b\r\n" % (id, word, fields, len(body), body)
        try:
            sent = sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            return
        if sent < len(data):  # the gateway doesn't read: a stand-in needs no better than to hang up
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def crash(self) -> None:
        """As a process that is killed: connections reset, new ones refused."""
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
    """Tells the list of engines to every gateway that asks."""

    events: list[dict[str, object]] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    listener: socket.socket | None = None
    port: int = 0

    def start(self) -> None:
        self.listener = FleetEngine._listen(0)
        self.port = self.listener.getsockname()[1]
        self._start_task(self._accept_connections(self.listener))

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
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
            last = int(bytes(chunk[:count]).split()[1])
            beat = 0.0
            while True:
                for event in self.events[last:]:
                    await loop.sock_sendall(sock, json.dumps(event).encode() + b"\n")
                    last += 1
                if loop.time() > beat:
                    await loop.sock_sendall(sock, b"%d\n" % last)
                    beat = loop.time() + 0.5
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
    """Engines and their bulletin, and a log of the faults injected."""

    def __init__(self, count: int, cores: float = 16.0, seed: int = 1) -> None:
        self.engines = [FleetEngine(f"s-{number}", cores, seed) for number in range(1, count + 1)]
        self.bulletin = FleetBulletin()
        self.bulletin.start()
        self.bulletin.publish(*(engine.entry() for engine in self.engines), reset=True)
        self.fault_log: list[Fault] = []

    def inject_fault(self, index: int, kind: str, value: float = 1.0) -> Fault:
        """Inject `stalled`, `slower` (times) or `failing` (share)."""
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
        """A configuration for a gateway in front of this fleet."""
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
