"""Hollow engines: one process that answers on thousands of addresses of 127.0.0.0/8.

They speak the engines' line protocol, take the time that the statement names (`-- cost=MS`; 5 ms without it)
on cores that requests share, and have no memory, pages or loads. A module for `control.serve`.
"""

import asyncio
import errno
import random
import socket
import struct
import time
from collections.abc import Iterable, Mapping
from contextlib import suppress
from typing import Any

from whintrail.scale.control import Handler, serve
from whintrail.standins.engine_fleet import ROWS, parse_requests

FIRST_ADDRESS = 64 << 16  # 127.64.0.0: away from what else listens on loopback
MAX_ACCEPTS_PER_CALLBACK = 16
PROGRESS_INTERVAL_S = 0.2  # as in the stand-ins' settings (ProgressPaceUs)
DEFAULT_COST_MS = 5.0  # of a statement that names none
RECEIVE_CHUNK_BYTES = 65_536
LISTEN_BACKLOG = 256
PORT_ATTEMPTS = 20
FAULTS = ("sound", "hang", "refuse", "crash", "cold", "slow")
COUNTER_NAMES = ("connections", "queries", "served", "undone", "probes", "pings", "open")


def engine_address(number: int) -> str:
    """The address of an engine by its number, from 0."""
    address = FIRST_ADDRESS + number
    return f"127.{address >> 16}.{address >> 8 & 255}.{address & 255}"


def build_entry(
    number: int, port: int, zones: int = 1, state: str = "active", **changes: Any
) -> dict[str, Any]:
    """An engine's entry in the bulletin's list."""
    return {
        "instanceId": f"s-{number:08x}",
        "hostPort": f"{engine_address(number)}:{port}",
        "zone": f"z{number % zones + 1}",
        "machineType": "std-16",
        "cell": 0,
        "lifecycle": state,
        "weight": 4,
        "startedAtMs": 0,
        **changes,
    }


def build_entries(processes: Iterable[tuple[int, int, int]], zones: int = 1) -> list[dict[str, Any]]:
    """The entries of all engines. Each process is (first number, count, port), its answer to `start`."""
    return [
        build_entry(n, port, zones) for first, count, port in processes for n in range(first, first + count)
    ]


class Link:
    """A gateway's connection to an engine."""

    __slots__ = ("engine", "received", "request_timers", "sock")

    def __init__(self, engine: "Engine", sock: socket.socket) -> None:
        self.engine, self.sock, self.received = engine, sock, bytearray()
        self.request_timers: dict[bytes, asyncio.TimerHandle] = {}

    def on_readable(self) -> None:
        try:
            chunk = self.sock.recv(RECEIVE_CHUNK_BYTES)
        except BlockingIOError:
            return
        except OSError:
            chunk = b""
        if not chunk:
            self.close()
            return
        self.received += chunk
        try:
            for words, body in parse_requests(self.received):
                self.engine.handle_request(self, words, body)
        except (ValueError, IndexError):  # not a request of this protocol
            self.close()

    def send_reply(self, request_id: bytes, status: bytes, fields: bytes = b"-", body: bytes = b"") -> None:
        data = b"%b %b %b %d\r\n%b\r\n" % (request_id, status, fields, len(body), body)
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            return
        if sent < len(data):  # the gateway does not read; a hollow engine just closes the connection
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def close(self, reset: bool = False) -> None:
        if self.sock.fileno() < 0:
            return
        asyncio.get_running_loop().remove_reader(self.sock.fileno())
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()
        self.engine.links.discard(self)
        for timer in self.request_timers.values():
            timer.cancel()
        self.engine.running_count -= len(self.request_timers)
        self.request_timers.clear()


class Engine:
    """One address. A hung engine behaves like a stopped process: the kernel still accepts connections and
    bytes."""

    __slots__ = (
        "cold_until_s",
        "counters",
        "held_replies",
        "is_hung",
        "links",
        "listener",
        "number",
        "process",
        "running_count",
        "slowdown",
    )

    def __init__(self, process: "EngineProcess", number: int) -> None:
        self.process, self.number, self.links = process, number, set[Link]()
        self.running_count, self.is_hung, self.slowdown, self.cold_until_s = 0, False, 1.0, 0.0
        self.held_replies: list[tuple[Link, bytes]] = []  # of requests that finished while it hung
        self.counters = dict.fromkeys(COUNTER_NAMES, 0)
        self.listener: socket.socket | None = None

    def listen(self, port: int) -> int:
        """Listens at its address and returns the port; 0: any."""
        sock = socket.socket()
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((engine_address(self.number), port))
            sock.listen(LISTEN_BACKLOG)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        self.listener = sock
        asyncio.get_running_loop().add_reader(sock.fileno(), self._accept)
        bound_port: int = sock.getsockname()[1]
        return bound_port

    def _accept(self) -> None:
        assert self.listener is not None
        for _ in range(MAX_ACCEPTS_PER_CALLBACK):
            try:
                sock, _ = self.listener.accept()
            except OSError:  # no connection waits, or no file descriptor is left
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            link = Link(self, sock)
            self.links.add(link)
            self.counters["connections"] += 1
            asyncio.get_running_loop().add_reader(sock.fileno(), link.on_readable)

    def handle_request(self, link: Link, words: list[bytes], body: bytes) -> None:
        counters = self.counters
        match words[0]:
            case b"do":
                counters["queries"] += 1
                cost_ms = float(body.rpartition(b"cost=")[2]) if b"cost=" in body else DEFAULT_COST_MS
                contention = max(1.0, (self.running_count + 1) / self.process.cores)
                noise = self.process.random.lognormvariate(-0.08, 0.4)
                duration_s = cost_ms / 1000 * contention * self.current_slowdown() * noise
                self.running_count += 1
                call_later = asyncio.get_running_loop().call_later
                link.request_timers[words[1]] = call_later(duration_s, self._finish, link, words[1], cost_ms)
                if duration_s > PROGRESS_INTERVAL_S:
                    call_later(
                        PROGRESS_INTERVAL_S,
                        self._send_progress,
                        link,
                        words[1],
                        duration_s,
                        PROGRESS_INTERVAL_S,
                    )
            case b"undo":
                counters["undone"] += 1
                if (timer := link.request_timers.pop(words[1], None)) is not None:
                    timer.cancel()
                    self.running_count -= 1
            case b"ping":
                counters["pings"] += 1
                link.send_reply(words[1], b"green")
            case b"top":
                counters["probes"] += 1
                busy, cores = self.running_count, self.process.cores
                report = b"stats=busy_reqs:%d;pending:%d;x0:%.3f;cpu_share:%.3f"
                share = min(1.0, busy / cores)
                link.send_reply(words[1], b"green", report % (busy, max(0, busy - cores), share, share))
            case b"page":  # every answer has one page
                link.send_reply(words[1], b"crashed")
            case b"bump" | b"forget":
                pass
            case _:
                raise ValueError("unknown command")

    def current_slowdown(self) -> float:
        is_cold = time.monotonic() < self.cold_until_s
        return self.slowdown * (self.process.cold_slowdown if is_cold else 1.0)

    def _send_progress(self, link: Link, request_id: bytes, duration_s: float, elapsed_s: float) -> None:
        if request_id in link.request_timers and elapsed_s < duration_s:
            if not self.is_hung:
                link.send_reply(request_id, b"update", b"how=done,datum=%.3f" % (elapsed_s / duration_s))
            asyncio.get_running_loop().call_later(
                PROGRESS_INTERVAL_S,
                self._send_progress,
                link,
                request_id,
                duration_s,
                elapsed_s + PROGRESS_INTERVAL_S,
            )

    def _finish(self, link: Link, request_id: bytes, cost_ms: float) -> None:
        if request_id not in link.request_timers:
            return
        if self.is_hung:
            self.held_replies.append((link, request_id))
            return
        del link.request_timers[request_id]
        self.running_count -= 1
        self.counters["served"] += 1
        link.send_reply(request_id, b"served", b"total=1,elapsed=%.1f,rss=8" % cost_ms, ROWS)

    # --- Faults.

    def apply_fault(self, kind: str, value: float) -> None:
        """`hang`; `refuse` (stops listening, open connections stay); `crash` (refuses, and resets all
        connections); `cold` (recovers, but is slower for the process's cold_s); `slow` (`value` times the
        usual duration); `sound` (ends all faults)."""
        match kind:
            case "hang":
                self._set_hung(True)
            case "slow":
                self.slowdown = value
            case "refuse" | "crash":
                if self.listener is not None:
                    asyncio.get_running_loop().remove_reader(self.listener.fileno())
                    self.listener.close()
                    self.listener = None
                if kind == "crash":
                    for link in list(self.links):
                        link.close(reset=True)
            case "cold" | "sound":
                if kind == "cold":
                    self.cold_until_s = time.monotonic() + self.process.cold_s
                if self.listener is None:
                    self.listen(self.process.port)
                self.slowdown = 1.0
                self._set_hung(False)
            case _:
                raise ValueError(f"no fault: {kind}")

    def _set_hung(self, is_hung: bool) -> None:
        if is_hung == self.is_hung:
            return
        self.is_hung, loop = is_hung, asyncio.get_running_loop()
        readers = [(link.sock, link.on_readable) for link in self.links]
        if self.listener is not None:
            readers.append((self.listener, self._accept))
        for sock, callback in readers:
            if is_hung:
                loop.remove_reader(sock.fileno())
            else:
                loop.add_reader(sock.fileno(), callback)
        held, self.held_replies = self.held_replies, []
        for link, request_id in held:
            self._finish(link, request_id, DEFAULT_COST_MS)


class EngineProcess:
    """The engines of one process."""

    def __init__(self, config: Mapping[str, Any]) -> None:
        self.cores = int(config.get("cores", 16))
        self.cold_s = float(config.get("cold_s", 15.0))
        self.cold_slowdown = float(config.get("cold_times", 3.0))
        self.first_number, self.random = int(config["first"]), random.Random(int(config.get("seed", 1)))
        self.engines = [Engine(self, self.first_number + n) for n in range(int(config["count"]))]
        self.port = self._listen_on_common_port()

    def _listen_on_common_port(self) -> int:
        """All engines listen on one port, which has to be free at each address."""
        for _ in range(PORT_ATTEMPTS):
            port = self.engines[0].listen(0)
            try:
                for engine in self.engines[1:]:
                    engine.listen(port)
                return port
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                for engine in self.engines:
                    engine.apply_fault("refuse", 0.0)
        raise OSError("no port is free at all addresses")

    def inject_fault(self, fields: Mapping[str, Any]) -> int:
        """Applies fault `what` to `engines` (numbers; absent: all); returns how many of them are here."""
        wanted = fields.get("engines")
        here = range(self.first_number, self.first_number + len(self.engines))
        chosen = here if wanted is None else [number for number in wanted if number in here]
        for number in chosen:
            engine = self.engines[number - self.first_number]
            engine.apply_fault(fields["what"], float(fields.get("value", 1.0)))
        return len(chosen)

    def counters(self, fields: Mapping[str, Any]) -> dict[str, Any]:
        """Sums over all engines; with `each`, also lists by engine, in the order of their numbers."""
        for engine in self.engines:
            engine.counters["open"] = len(engine.links)
        each = {name: [engine.counters[name] for engine in self.engines] for name in COUNTER_NAMES}
        return {
            **{name: sum(each[name]) for name in COUNTER_NAMES},
            **({"each": each} if fields.get("each") else {}),
        }

    def handlers(self) -> dict[str, Handler]:
        """By the words of the control channel."""
        return {"fault": self.inject_fault, "counts": self.counters}


async def start(config: dict[str, Any]) -> tuple[Any, Mapping[str, Handler]]:
    """Takes `first` and `count` (numbers of the engines), `cores`, `seed`, `cold_s` and `cold_times`; answers
    (first, count, port), as `build_entries` takes it."""
    process = EngineProcess(config)
    return (process.first_number, len(process.engines), process.port), process.handlers()


if __name__ == "__main__":
    serve(start)
