"""Audits from the engines' side that work which may run only once is sent only once.

Gateways are real processes that are terminated, killed and restarted. Meanwhile engines reset connections,
truncate answers, contradict themselves and fall silent; the bulletin drains them; clients leave, cancel and
retry. A client retries only where it may: after a refusal, after a failed connect, or once if a close crossed
the request (not with a killed process: it closes nothing in order, and may have forwarded the request).
Everything but the timing is drawn from a seed.
"""

import asyncio
import os
import signal
import socket
import struct
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from time import monotonic
from typing import Any

from whintrail.standins.engine_fleet import ROWS, FleetBulletin, FleetEngine
from whintrail.standins.load_generator import startup_message
from whintrail.standins.scripted import Gateway, configuration, listener

DEDUPLICATION_WINDOW_S = 0.6
CROSSING_CLOSE_S = 0.05  # a close within this time of the request counts as crossing it
DEPARTURE_GRACE_S = 0.1
# How an engine responds to a query, with weights; only after the first two it has not run.
RESPONSE_WEIGHTS = {
    "overload": 3,
    "nobody": 1,
    "served": 12,
    "late": 3,
    "twice": 2,
    "reset": 4,
    "reset later": 3,
    "half": 2,
    "cut": 2,
    "never": 2,
    "noted, then nobody": 2,
    "served, then overload": 2,
    "crashed": 2,
}


@dataclass(slots=True)
class OnceAudit:
    """The times of complete queries at engines, by the unit of work that a client wanted done."""

    once_starts: dict[int, list[float]] = field(default_factory=dict)  # once-only work that may have run
    keyed_starts: dict[bytes, list[float]] = field(default_factory=dict)  # keyed queries, by call id
    departed_at: dict[int, float] = field(default_factory=dict)  # close or cancel, by work
    duplicates: list[int] = field(default_factory=list)
    late_repeats: list[bytes] = field(default_factory=list)
    starts_after_departure: list[float] = field(default_factory=list)  # seconds after the departure
    outcomes: Counter[str] = field(default_factory=Counter)

    def record_request(self, kind: bytes, work_id: int, call: bytes, may_have_run: bool) -> None:
        now = monotonic()
        if (departed := self.departed_at.get(work_id)) is not None and now - departed > DEPARTURE_GRACE_S:
            self.starts_after_departure.append(now - departed)
        if kind == b"once":
            earlier = self.once_starts.get(work_id)
            if earlier:
                self.duplicates.append(work_id)
            if may_have_run:
                self.once_starts.setdefault(work_id, []).append(now)
        elif kind == b"keyed":
            times = self.keyed_starts.setdefault(call, [])
            if times and now - times[0] > DEDUPLICATION_WINDOW_S:
                self.late_repeats.append(call)
            if may_have_run:
                times.append(now)


class AuditedEngine(FleetEngine):
    """Records each query with the audit, and responds to it at random by the seed."""

    def __init__(self, name: str, seed: int, audit: OnceAudit) -> None:
        super().__init__(name, 16.0, seed)
        self.audit = audit

    def _handle_request(self, sock: socket.socket, words: list[bytes], body: bytes) -> None:
        if words[0] != b"do":
            super()._handle_request(sock, words, body)
            return
        kind, work = body.rpartition(b"-- ")[2].split(b"=")
        response = self.random.choices(list(RESPONSE_WEIGHTS), list(RESPONSE_WEIGHTS.values()))[0]
        self.audit.record_request(kind, int(work), words[1], response not in ("overload", "nobody"))
        asyncio.get_running_loop().call_later(
            self.random.uniform(0.0, 0.03), self._respond, sock, words[1], response
        )

    def _respond(self, sock: socket.socket, id: bytes, response: str) -> None:
        call_later = asyncio.get_running_loop().call_later
        served_fields = b"total=1,elapsed=5.0,rss=8"
        match response:
            case "overload" | "nobody" | "crashed":
                self._send_reply(sock, id, response.encode(), b"-")
            case "served":
                self._send_reply(sock, id, b"served", served_fields, ROWS)
            case "late":
                call_later(
                    self.random.uniform(0.2, 1.5), self._send_reply, sock, id, b"served", served_fields, ROWS
                )
            case "twice":
                self._send_reply(sock, id, b"served", served_fields, ROWS)
                call_later(0.005, self._send_reply, sock, id, b"served", served_fields, ROWS)
            case "reset":
                self._reset_connection(sock)
            case "reset later":
                call_later(self.random.uniform(0.1, 1.5), self._reset_connection, sock)
            case "half" | "cut":
                with suppress(OSError):
                    sock.send(b"%b served total=1 %d\r\n%b" % (id, len(ROWS), ROWS[:9]))
                if response == "cut":
                    call_later(0.01, self._reset_connection, sock)
            case "noted, then nobody":
                self._send_reply(sock, id, b"update", b"how=done,datum=0.3")
                self._send_reply(sock, id, b"nobody", b"-")
            case "served, then overload":
                self._send_reply(sock, id, b"served", b"total=2,elapsed=5.0", ROWS)
                self._send_reply(sock, id, b"overload", b"-")

    def _reset_connection(self, sock: socket.socket) -> None:
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.shutdown(socket.SHUT_RD)  # ends its reader, which closes the socket with a reset


class AuditedClient:
    """Requests one unit of work after another, and retries only where a client may."""

    def __init__(self, scenario: "Scenario", number: int) -> None:
        self.scenario, self.audit, self.random = scenario, scenario.audit, Random(f"{scenario.seed}-{number}")
        self.sock: socket.socket | None = None
        self.cancel_key, self.port = b"", 0

    async def run(self, until: float) -> None:
        while monotonic() < until:
            self.scenario.last_work_id += 1
            kind = self.random.choice(["once", "once", "keyed"])
            with suppress(TimeoutError):
                async with asyncio.timeout(8):
                    await self._run_work(kind, self.scenario.last_work_id)
            if self.random.random() < 0.2:
                self._close()
            await asyncio.sleep(self.random.uniform(0.0, 0.05))
        self._close()

    async def _run_work(self, kind: str, work_id: int) -> None:
        has_retried_close = False
        for _ in range(6):
            try:
                outcome = await self._send_query(kind, work_id)
            except ConnectionRefusedError:
                await asyncio.sleep(0.05)
                continue
            self.audit.outcomes[outcome] += 1
            if outcome == "closed at once" and not has_retried_close:
                has_retried_close = True
            elif outcome not in ("53000", "57P03"):
                return
            await asyncio.sleep(self.random.uniform(0.0, 0.1))

    async def _send_query(self, kind: str, work_id: int) -> str:
        loop, call = asyncio.get_running_loop(), f"{self.random.getrandbits(64):016x}"
        text = (
            f"/* op={kind},call={call},ttl=2500 */ SELECT 1 FROM a_1.t -- {kind}={work_id}".encode() + b"\0"
        )
        data = b"Q" + struct.pack("!I", len(text) + 4) + text
        ready_count = 1
        if self.sock is None:
            self.sock = socket.socket()
            self.sock.setblocking(False)
            try:
                self.port = self.random.choice(self.scenario.ports)
                await loop.sock_connect(self.sock, ("127.0.0.1", self.port))
            except OSError:
                self._close()
                raise ConnectionRefusedError from None
            data, ready_count = startup_message() + data, 2
        sent_at = monotonic()
        try:
            await loop.sock_sendall(self.sock, data)
            async with asyncio.timeout(self._choose_timeout_s()):
                answer = await self._read_until_ready(ready_count)
        except TimeoutError:
            return await self._abandon_query(work_id)
        except OSError:
            self._close()
            crossed = monotonic() - sent_at < CROSSING_CLOSE_S and self.port not in self.scenario.killed
            return "closed at once" if crossed else "closed"
        if (position := answer.find(b"SERROR\0")) >= 0:
            position = answer.index(b"C", position + 7)
            return answer[position + 1 : position + 6].decode()
        return "served"

    def _choose_timeout_s(self) -> float:
        return self.random.uniform(0.0, 0.5) if self.random.random() < 0.3 else 6.0

    async def _abandon_query(self, work_id: int) -> str:
        """Stop waiting, by a close with or without a cancel request before it."""
        assert self.sock is not None
        if self.cancel_key and self.random.random() < 0.5:
            cancel_socket = socket.socket()
            cancel_socket.setblocking(False)
            with suppress(OSError):
                await asyncio.get_running_loop().sock_connect(cancel_socket, self.sock.getpeername())
                cancel_socket.send(struct.pack("!II", 16, 80877102) + self.cancel_key)
            self.audit.departed_at[work_id] = monotonic()
            await asyncio.sleep(0.05)
            cancel_socket.close()
        self._close()
        self.audit.departed_at.setdefault(work_id, monotonic())
        return "left"

    async def _read_until_ready(self, ready_count: int) -> bytes:
        loop, data, chunk = asyncio.get_running_loop(), bytearray(), bytearray(4096)
        assert self.sock is not None
        while data.count(b"Z\0\0\0\5I") < ready_count:
            count = await loop.sock_recv_into(self.sock, chunk)
            if not count:
                raise ConnectionError
            data += memoryview(chunk)[:count]
            if (at := data.find(b"K\0\0\0\x0c")) >= 0:
                self.cancel_key = bytes(data[at + 5 : at + 13])
        return bytes(data)

    def _close(self) -> None:
        if self.sock is not None:
            self.sock.close()
        self.sock, self.cancel_key = None, b""


class Scenario:
    """The run of one seed: two gateways at a time, three engines, and clients."""

    def __init__(
        self, seed: int, folder: Path, make_gateway: Callable[[dict[str, Any], Path], Gateway]
    ) -> None:
        self.seed, self.folder, self.make_gateway, self.random = seed, folder, make_gateway, Random(seed)
        self.audit, self.last_work_id, self.gateways_started = OnceAudit(), seed * 1_000_000, 0
        self.ports: list[int] = []
        self.killed: set[int] = set()
        self.gateways: list[Gateway] = []
        self.engines = [AuditedEngine(f"s-{number}", seed, self.audit) for number in range(3)]
        self.bulletin = FleetBulletin()

    def _classes(self) -> list[dict[str, Any]]:
        base = {"DeadlineUs": 3_000_000, "WindowUs": int(DEDUPLICATION_WINDOW_S * 1e6), "Group": "all"}
        return [{**base, "Name": "once", "Effect": "once"}, {**base, "Name": "keyed", "Effect": "by_key"}]

    async def start_gateway(self) -> None:
        with listener() as free_socket:
            port: int = free_socket.getsockname()[1]
        self.gateways_started += 1
        folder = self.folder / str(self.gateways_started)
        folder.mkdir()
        bulletin_address = f"127.0.0.1:{self.bulletin.port}"
        config = configuration(
            f"n{self.gateways_started}", port, bulletin_address, self.bulletin.events[:1], 256
        )
        config["settings"]["Classes"] = self._classes()
        gateway = self.make_gateway(config, folder)
        self.gateways.append(gateway)
        for _ in range(400):
            with suppress(OSError), socket.create_connection(("127.0.0.1", port), 1):
                break
            await asyncio.sleep(0.025)
        self.ports.append(port)

    async def _restart_gateways(self) -> None:
        while True:
            await asyncio.sleep(self.random.uniform(0.3, 1.2))
            gateway, port = self.gateways[-2], self.ports[0]
            await self.start_gateway()
            stop_signal = signal.SIGKILL if self.random.random() < 0.3 else signal.SIGTERM
            if stop_signal is signal.SIGKILL:
                self.killed.add(port)
            gateway.signal(stop_signal)
            await asyncio.sleep(0.3 if stop_signal is signal.SIGTERM else 0.0)
            self.ports.remove(port)

    async def _drain_engines(self) -> None:
        while True:
            engine = self.random.choice(self.engines)
            await asyncio.sleep(self.random.uniform(0.2, 0.8))
            self.bulletin.publish(engine.entry("leaving"))
            await asyncio.sleep(self.random.uniform(0.2, 0.8))
            self.bulletin.publish(engine.entry())

    async def run(self, seconds: float, clients: int = 24) -> OnceAudit:
        self.bulletin.start()
        self.bulletin.publish(*(engine.entry() for engine in self.engines), reset=True)
        await self.start_gateway()
        await self.start_gateway()
        fault_tasks = [
            asyncio.create_task(self._restart_gateways()),
            asyncio.create_task(self._drain_engines()),
        ]
        until = monotonic() + seconds
        try:
            await asyncio.gather(*(AuditedClient(self, number).run(until) for number in range(clients)))
        finally:
            for task in fault_tasks:
                task.cancel()
            await asyncio.gather(*fault_tasks, return_exceptions=True)
            for gateway in self.gateways:
                gateway.kill()
            await self.bulletin.close()
            for engine in self.engines:
                await engine.close()
        return self.audit


FAULTY_GATEWAY_CODE = """
import sys
from whintrail import interface, routing
routing.NEVER_RAN_OUTCOMES += (interface.Outcome.RESET,)
from whintrail.gateway import service
sys.exit(service.main())
"""


class FaultyGateway(Gateway):
    """A gateway that treats a reset as proof that nothing ran; the audit has to detect it."""

    command = f'exec "{sys.executable}" -c "$WHINTRAIL_FAULTY_CODE"'

    def __init__(self, config: dict[str, Any], folder: Path) -> None:
        super().__init__(config, folder, WHINTRAIL_FAULTY_CODE=FAULTY_GATEWAY_CODE, PYTHONPATH=os.getcwd())


def run_scenario(seed: int, seconds: float, faulty: bool = False) -> OnceAudit:
    """Run one seed for so long; `faulty` uses gateways that retry after a reset."""
    with tempfile.TemporaryDirectory() as folder:

        async def scenario() -> OnceAudit:
            return await Scenario(seed, Path(folder), FaultyGateway if faulty else Gateway).run(seconds)

        return asyncio.run(scenario())
