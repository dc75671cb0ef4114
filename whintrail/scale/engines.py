"""Hollow engines: thousands of addresses of 127.0.0.0/8 that one process answers on.

They speak the engines' line protocol, take the time that the statement says (`-- cost=MS`; 5 ms if it says
nothing) on cores that requests share, and hold no memory, pages or loads. A module for `control.serve`.
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
from whintrail.standins.fleet import ROWS, requests

NETWORK = 64 << 16  # the first is 127.64.0.0: out of the way of what else listens on loopback
ACCEPTS_A_TURN = 16
NOTE_S = 0.2  # as the stand-ins' settings say (ProgressPaceUs)
FAULTS = ("sound", "hang", "refuse", "crash", "cold", "slow")
COUNTS = ("connections", "queries", "served", "undone", "probes", "pings", "open")


def host(number: int) -> str:
    """The address of an engine by its number, from 0."""
    place = NETWORK + number
    return f"127.{place >> 16}.{place >> 8 & 255}.{place & 255}"


def entry(number: int, port: int, zones: int = 1, state: str = "active", **changes: Any) -> dict[str, Any]:
    """What the bulletin says of an engine."""
    return {
        "instanceId": f"s-{number:08x}",
        "hostPort": f"{host(number)}:{port}",
        "zone": f"z{number % zones + 1}",
        "machineType": "std-16",
        "cell": 0,
        "lifecycle": state,
        "weight": 4,
        "startedAtMs": 0,
        **changes,
    }


def entries(parts: Iterable[tuple[int, int, int]], zones: int = 1) -> list[dict[str, Any]]:
    """Of all engines; a part is (first number, count, port) as a process of them answered to `start`."""
    return [entry(n, port, zones) for first, count, port in parts for n in range(first, first + count)]


class Link:
    """A gateway's connection to an engine."""

    __slots__ = ("data", "engine", "running", "sock")

    def __init__(self, engine: "Engine", sock: socket.socket) -> None:
        self.engine, self.sock, self.data = engine, sock, bytearray()
        self.running: dict[bytes, asyncio.TimerHandle] = {}

    def readable(self) -> None:
        try:
            chunk = self.sock.recv(65_536)
        except BlockingIOError:
            return
        except OSError:
            chunk = b""
        if not chunk:
            self.close()
            return
        self.data += chunk
        try:
            for words, body in requests(self.data):
                self.engine.take(self, words, body)
        except (ValueError, IndexError):  # no request of this protocol
            self.close()

    def say(self, id: bytes, word: bytes, fields: bytes = b"-", body: bytes = b"") -> None:
        data = b"%b %b %b %d\r\n%b\r\n" % (id, word, fields, len(body), body)
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            return
        if sent < len(data):  # the gateway doesn't read: a stand-in needs no better than to hang up
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
        for timer in self.running.values():
            timer.cancel()
        self.engine.running -= len(self.running)
        self.running.clear()


class Engine:
    """One address. It hangs as a stopped process does: the kernel still takes connections and bytes."""

    __slots__ = (
        "cold_until",
        "counts",
        "held",
        "hung",
        "links",
        "listener",
        "number",
        "part",
        "running",
        "slower",
    )

    def __init__(self, part: "Part", number: int) -> None:
        self.part, self.number, self.links = part, number, set[Link]()
        self.running, self.hung, self.slower, self.cold_until = 0, False, 1.0, 0.0
        self.held: list[tuple[Link, bytes]] = []  # done while it hung
        self.counts = dict.fromkeys(COUNTS, 0)
        self.listener: socket.socket | None = None

    def listen(self, port: int) -> int:
        sock = socket.socket()
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host(self.number), port))
            sock.listen(256)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        self.listener = sock
        asyncio.get_running_loop().add_reader(sock.fileno(), self._acceptable)
        found: int = sock.getsockname()[1]
        return found

    def _acceptable(self) -> None:
        assert self.listener is not None
        for _ in range(ACCEPTS_A_TURN):
            try:
                sock, _ = self.listener.accept()
            except OSError:  # nobody more, or no descriptor
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            link = Link(self, sock)
            self.links.add(link)
            self.counts["connections"] += 1
            asyncio.get_running_loop().add_reader(sock.fileno(), link.readable)

    def take(self, link: Link, words: list[bytes], body: bytes) -> None:
        counts = self.counts
        match words[0]:
            case b"do":
                counts["queries"] += 1
                cost_ms = float(body.rpartition(b"cost=")[2]) if b"cost=" in body else 5.0
                crowd = max(1.0, (self.running + 1) / self.part.cores)
                took_s = (
                    cost_ms / 1000 * crowd * self.slowness() * self.part.random.lognormvariate(-0.08, 0.4)
                )
                self.running += 1
                later = asyncio.get_running_loop().call_later
                link.running[words[1]] = later(took_s, self._done, link, words[1], cost_ms)
                if took_s > NOTE_S:
                    later(NOTE_S, self._note, link, words[1], took_s, NOTE_S)
            case b"undo":
                counts["undone"] += 1
                if (timer := link.running.pop(words[1], None)) is not None:
                    timer.cancel()
                    self.running -= 1
            case b"ping":
                counts["pings"] += 1
                link.say(words[1], b"green")
            case b"top":
                counts["probes"] += 1
                busy, cores = self.running, self.part.cores
                report = b"stats=busy_reqs:%d;pending:%d;x0:%.3f;cpu_share:%.3f"
                share = min(1.0, busy / cores)
                link.say(words[1], b"green", report % (busy, max(0, busy - cores), share, share))
            case b"page":  # every answer has one page
                link.say(words[1], b"crashed")
            case b"bump" | b"forget":
                pass
            case _:
                raise ValueError("an unknown word")

    def slowness(self) -> float:
        return self.slower * (self.part.cold_times if time.monotonic() < self.cold_until else 1.0)

    def _note(self, link: Link, id: bytes, took_s: float, passed_s: float) -> None:
        if id in link.running and passed_s < took_s:
            if not self.hung:
                link.say(id, b"update", b"how=done,datum=%.3f" % (passed_s / took_s))
            later = asyncio.get_running_loop().call_later
            later(NOTE_S, self._note, link, id, took_s, passed_s + NOTE_S)

    def _done(self, link: Link, id: bytes, cost_ms: float) -> None:
        if id not in link.running:
            return
        if self.hung:
            self.held.append((link, id))
            return
        del link.running[id]
        self.running -= 1
        self.counts["served"] += 1
        link.say(id, b"served", b"total=1,elapsed=%.1f,rss=8" % cost_ms, ROWS)

    # --- Faults.

    def fault(self, what: str, value: float) -> None:
        """hang; refuse (listens no more, open connections stay); crash (refuses, and resets all); cold (comes
        back, slower for the part's cold_s); slow (`value` times the usual); sound (all of it over)."""
        match what:
            case "hang":
                self._hang(True)
            case "slow":
                self.slower = value
            case "refuse" | "crash":
                if self.listener is not None:
                    asyncio.get_running_loop().remove_reader(self.listener.fileno())
                    self.listener.close()
                    self.listener = None
                if what == "crash":
                    for link in list(self.links):
                        link.close(reset=True)
            case "cold" | "sound":
                if what == "cold":
                    self.cold_until = time.monotonic() + self.part.cold_s
                if self.listener is None:
                    self.listen(self.part.port)
                self.slower = 1.0
                self._hang(False)
            case _:
                raise ValueError(f"no fault: {what}")

    def _hang(self, hung: bool) -> None:
        if hung == self.hung:
            return
        self.hung, loop = hung, asyncio.get_running_loop()
        readers = [(link.sock, link.readable) for link in self.links]
        if self.listener is not None:
            readers.append((self.listener, self._acceptable))
        for sock, then in readers:
            if hung:
                loop.remove_reader(sock.fileno())
            else:
                loop.add_reader(sock.fileno(), then)
        held, self.held = self.held, []
        for link, id in held:
            self._done(link, id, 5.0)


class Part:
    """The engines of one process."""

    def __init__(self, config: Mapping[str, Any]) -> None:
        self.cores = int(config.get("cores", 16))
        self.cold_s, self.cold_times = float(config.get("cold_s", 15.0)), float(config.get("cold_times", 3.0))
        self.first, self.random = int(config["first"]), random.Random(int(config.get("seed", 1)))
        self.engines = [Engine(self, self.first + n) for n in range(int(config["count"]))]
        self.port = self._listen()

    def _listen(self) -> int:
        """One port for all: it has to be free at each address."""
        for _ in range(20):
            port = self.engines[0].listen(0)
            try:
                for engine in self.engines[1:]:
                    engine.listen(port)
                return port
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                for engine in self.engines:
                    engine.fault("refuse", 0.0)
        raise OSError("no port that is free at all addresses")

    def fault(self, fields: Mapping[str, Any]) -> int:
        """`engines`: numbers, or absent for all; how many of them are here."""
        wanted = fields.get("engines")
        here = range(self.first, self.first + len(self.engines))
        chosen = here if wanted is None else [number for number in wanted if number in here]
        for number in chosen:
            self.engines[number - self.first].fault(fields["what"], float(fields.get("value", 1.0)))
        return len(chosen)

    def counts(self, fields: Mapping[str, Any]) -> dict[str, Any]:
        """Sums over all; with `each`, also lists by engine, in order of their numbers."""
        for engine in self.engines:
            engine.counts["open"] = len(engine.links)
        each = {name: [engine.counts[name] for engine in self.engines] for name in COUNTS}
        return {
            **{name: sum(each[name]) for name in COUNTS},
            **({"each": each} if fields.get("each") else {}),
        }

    def handlers(self) -> dict[str, Handler]:
        return {"fault": self.fault, "counts": self.counts}


async def start(config: dict[str, Any]) -> tuple[Any, Mapping[str, Handler]]:
    """`first` and `count` (numbers of the engines), `cores`, `seed`, `cold_s`, `cold_times`; answers (first,
    count, port), as `entries` takes it."""
    part = Part(config)
    return (part.first, len(part.engines), part.port), part.handlers()


if __name__ == "__main__":
    serve(start)
