"""A fleet of `whintrail.fleet` nodes in simulated time: hundreds of gateways in one, replayable by seed.

The cores are the real ones, and every datagram is encoded and decoded. Each process has a monotonic clock of
its own, off by an offset and a drift. A fault is a function of sender, receiver and chance, as the relay's.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from random import Random

from whintrail.fleet.leader import EngineAvailability
from whintrail.fleet.node import FleetConfig, FleetNode
from whintrail.fleet.state import FleetState
from whintrail.versions.rules import Rules, find_unsupported

TICK_US = 50_000
Fault = Callable[[int, int, Random], list[float]]


def sound(origin: int, target: int, random: Random) -> list[float]:
    return [0.0]


@dataclass(slots=True)
class Process:
    """One life of a gateway, and what it does for itself."""

    number: int
    boot_id: int
    began: int  # by the world's clock, as all below
    offset: int
    drift: float
    build: str
    engines: dict[str, EngineAvailability]
    busy: Callable[[int, str], int]
    bad: Callable[[str], tuple[float, float, float]]
    rate: float
    random: Random
    peers: int = 0
    node: FleetNode | None = None
    stopped_until: int = 0
    mail: list[tuple[int, bytes]] = field(default_factory=list)  # that came while it stood still
    at: int = 0
    tally: list[int] = field(default_factory=lambda: [0, 0, 0, 0])
    counted_at: int = 0
    turn: Callable[[], None] = lambda: None  # its next tick, made once

    def clock(self, now: int) -> int:
        return self.offset + int((now - self.began) * (1 + self.drift))

    def serving_ms(self, now: int) -> int:
        return max(1, (now - self.offset) // 1000)

    def held_by(self, engine: str) -> int:
        return self.busy(self.number, engine)

    def counts(self) -> tuple[tuple[int, int, int, int], ...]:
        taken = int((self.at - self.counted_at) / 1e6 * self.rate)
        if taken:
            self.counted_at = self.at
            shares = self.bad(self.build)
            bad = [sum(self.random.random() < share for _ in range(taken)) for share in shares]
            for place, more in enumerate((taken, *bad)):
                self.tally[place] += more
        return ((self.tally[0], self.tally[1], self.tally[2], self.tally[3]),)

    # The node calls it by this name.
    def engines_(self) -> dict[str, EngineAvailability]:
        return self.engines


class _Local:
    def __init__(self, process: Process) -> None:
        self.process = process
        self.serving_ms, self.open_attempts = process.serving_ms, process.held_by
        self.outcome_counts, self.engines = process.counts, process.engines_

    def check_body(self, body: Rules) -> str:
        return find_unsupported(body, frozenset({"lookup", "report"}), self.process.peers)


class World:
    def __init__(
        self,
        given: Callable[[int, str], FleetConfig],
        count: int,
        seed: int,
        engines: dict[str, EngineAvailability] | None = None,
        drift: float = 0.0,
        tick_us: int = TICK_US,
    ) -> None:
        """`given`: the settings of a gateway on a build; all start with build `old`."""
        self.given, self.count, self.random = given, count, Random(seed)
        self.engines = engines or {}
        self.fault: Fault = sound
        self.drift, self.tick_us = drift, tick_us
        self.now = 0
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.numbered = 0
        self.busy: dict[tuple[int, str], int] = {}
        self.bad: dict[str, tuple[float, float, float]] = {}
        self.rate = 5.0
        self.processes: list[Process | None] = [None] * count
        self.lines: list[tuple[int, int, str, dict[str, object]]] = []
        self.sent, self.sent_bytes = Counter[int](), Counter[int]()  # one for all of the fleet counts as one
        self.copies, self.copied_bytes = [0] * count, [0] * count  # counts once for each that it is sent to
        self.heard, self.heard_bytes = [0] * count, [0] * count
        for number in range(count):
            self.start(number, "old")

    # --- Time.

    def at(self, when: int, what: Callable[[], None]) -> None:
        self.numbered += 1
        heappush(self.queue, (when, self.numbered, what))

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Go on for so long, or until something holds: whether it does."""
        end = self.now + int(seconds * 1e6)
        # What is waited for often looks at all of the fleet, and its size has as many more events.
        check, every = 0, max(16, self.count // 8)
        while self.queue and self.queue[0][0] <= end:
            when, _, what = heappop(self.queue)
            self.now = max(self.now, when)
            what()
            check += 1
            if until is not None and check % every == 0 and until():
                return True
        self.now = end
        return until() if until is not None else True

    # --- Processes.

    def start(self, number: int, build: str = "old") -> Process:
        """From nothing, under its number."""
        process = Process(
            number,
            self.random.getrandbits(31) | 1,
            self.now,
            self.random.randrange(1 << 40),
            self.random.uniform(-self.drift, self.drift),
            build,
            self.engines,
            lambda n, engine: self.busy.get((n, engine), 0),
            lambda b: self.bad.get(b, (0.0, 0.0, 0.0)),
            self.rate,
            Random(self.random.getrandbits(32)),
        )
        process.peers = self.count
        process.node = FleetNode(
            self.given(number, build),
            process.boot_id,
            1_000_000 + self.now // 1_000_000,
            process.clock(self.now),
            Random(self.random.getrandbits(32)),
            _Local(process),
            lambda: self.now // 1000,
            lambda what, more: self.lines.append((self.now, number, what, more)),
        )
        self.processes[number] = process
        process.turn = partial(self._tick, process)
        self.at(self.now + self.random.randrange(self.tick_us), process.turn)
        return process

    def acquaint(self) -> None:
        """All know one another from now on, as in a fleet that has long been up; each tells of itself yet."""
        nodes = [
            process.node for process in self.processes if process is not None and process.node is not None
        ]
        known = [(node.boot_id, node.membership.local.incarnation) for node in nodes]
        for node in nodes:
            node.membership.assume_alive(known)

    def kill(self, number: int) -> None:
        self.processes[number] = None

    def stop(self, number: int, seconds: float) -> None:
        """Stands still, as under SIGSTOP; what comes waits."""
        process = self.processes[number]
        if process is not None:
            process.stopped_until = self.now + int(seconds * 1e6)

    def node(self, number: int) -> FleetNode:
        process = self.processes[number]
        assert process is not None and process.node is not None
        return process.node

    def up(self) -> list[int]:
        return [p.number for p in self.processes if p is not None]

    def leader(self) -> int | None:
        """Who leads in the newest epoch and term."""
        found = []
        for number in self.up():
            council = self.node(number).consensus
            if council is not None and self.node(number).is_leader:
                found.append((council.epoch, council.term, number))
        return max(found)[2] if found else None

    def state(self) -> FleetState:
        """The furthest that anybody knows."""
        return max((self.node(n).replica for n in self.up()), key=lambda r: r.position).state

    def clock(self, number: int) -> int:
        process = self.processes[number]
        assert process is not None
        return process.clock(self.now)

    # --- The network.

    def _tick(self, process: Process) -> None:
        if self.processes[process.number] is not process or process.node is None:
            return
        if self.now < process.stopped_until:
            self.at(process.stopped_until, process.turn)
            return
        node = process.node
        process.at = self.now
        clock = process.clock(self.now)
        if process.mail:
            mail, process.mail = process.mail, []
            for origin, data in mail:
                node.receive(clock, origin, data)
        node.tick(clock)
        self.flush(process)
        self.at(self.now + self.tick_us, process.turn)

    def flush(self, process: Process) -> None:
        assert process.node is not None
        for target, data in process.node.flush(process.clock(self.now)):
            origin = process.number
            self.sent[origin] += 1
            self.sent_bytes[origin] += len(data)
            targets = [n for n in range(self.count) if n != origin] if target is None else (target,)
            self.copies[origin] += len(targets)
            self.copied_bytes[origin] += len(targets) * len(data)
            for each in targets:
                for delay in self.fault(origin, each, self.random):
                    after = int(delay * 1e6) + 200 + self.random.randrange(1000)
                    self.at(self.now + after, partial(self._deliver, origin, each, data))

    def _deliver(self, origin: int, target: int, data: bytes) -> None:
        process = self.processes[target]
        if process is None or process.node is None:
            return
        if self.now < process.stopped_until:
            process.mail.append((origin, data))
            return
        self.heard[target] += 1
        self.heard_bytes[target] += len(data)
        process.at = self.now
        process.node.receive(process.clock(self.now), origin, data)
        self.flush(process)
