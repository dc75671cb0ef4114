"""Deterministic simulation of a fleet of `whintrail.fleet` nodes: hundreds of gateways in one process.

The nodes are the real ones, and every datagram is encoded and decoded. Each simulated process has its own
monotonic clock with an offset and a drift. A fault is a function of sender, receiver and random source, as in
`gateway_fleet.Relay`. A run can be replayed by its seed.
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
START_UNIX_S = 1_000_000  # Unix time at which the simulation begins
MIN_LATENCY_US = 200
LATENCY_JITTER_US = 1000
Fault = Callable[[int, int, Random], list[float]]  # sender, receiver, random: delay of each delivered copy


def deliver_once(origin: int, target: int, random: Random) -> list[float]:
    """Return the delays of a network without faults: one copy, at once."""
    return [0.0]


@dataclass(slots=True)
class Process:
    """One incarnation of a gateway: its clock, its simulated load and its node."""

    number: int
    boot_id: int
    started_at: int  # in simulated time, as all times below
    offset: int
    drift: float
    build: str
    engines: dict[str, EngineAvailability]
    open_attempts_at: Callable[[int, str], int]
    failure_shares_of: Callable[[str], tuple[float, float, float]]
    queries_per_s: float
    random: Random
    peers: int = 0
    node: FleetNode | None = None
    paused_until: int = 0
    delayed_datagrams: list[tuple[int, bytes]] = field(default_factory=list)  # received while paused
    current_us: int = 0
    outcome_tally: list[int] = field(default_factory=lambda: [0, 0, 0, 0])
    counted_at: int = 0
    next_tick: Callable[[], None] = lambda: None  # created once and scheduled for every tick

    def clock(self, now: int) -> int:
        return self.offset + int((now - self.started_at) * (1 + self.drift))

    def serving_ms(self, now: int) -> int:
        return max(1, (now - self.offset) // 1000)

    def open_attempts(self, engine: str) -> int:
        return self.open_attempts_at(self.number, engine)

    def outcome_counts(self) -> tuple[tuple[int, int, int, int], ...]:
        queries = int((self.current_us - self.counted_at) / 1e6 * self.queries_per_s)
        if queries:
            self.counted_at = self.current_us
            shares = self.failure_shares_of(self.build)
            failures = [sum(self.random.random() < share for _ in range(queries)) for share in shares]
            for index, count in enumerate((queries, *failures)):
                self.outcome_tally[index] += count
        return ((self.outcome_tally[0], self.outcome_tally[1], self.outcome_tally[2], self.outcome_tally[3]),)

    def engine_availability(self) -> dict[str, EngineAvailability]:
        return self.engines


class LocalState:
    """What a fleet node reads of its own gateway."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.serving_ms, self.open_attempts = process.serving_ms, process.open_attempts
        self.outcome_counts, self.engines = process.outcome_counts, process.engine_availability

    def check_body(self, body: Rules) -> str:
        return find_unsupported(body, frozenset({"lookup", "report"}), self.process.peers)


class FleetSimulation:
    """The simulated processes, their network and the event queue that drives them."""

    def __init__(
        self,
        config_for: Callable[[int, str], FleetConfig],
        count: int,
        seed: int,
        engines: dict[str, EngineAvailability] | None = None,
        drift: float = 0.0,
        tick_us: int = TICK_US,
    ) -> None:
        """`config_for` returns the settings of a gateway by number and build; all start with build `old`."""
        self.config_for, self.count, self.random = config_for, count, Random(seed)
        self.engines = engines or {}
        self.fault: Fault = deliver_once
        self.drift, self.tick_us = drift, tick_us
        self.now = 0
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.events_scheduled = 0
        self.open_attempts: dict[tuple[int, str], int] = {}
        self.failure_shares: dict[str, tuple[float, float, float]] = {}
        self.queries_per_s = 5.0
        self.processes: list[Process | None] = [None] * count
        self.log_lines: list[tuple[int, int, str, dict[str, object]]] = []
        self.sent, self.sent_bytes = Counter[int](), Counter[int]()  # a broadcast counts once
        self.sent_copies, self.sent_copy_bytes = (
            [0] * count,
            [0] * count,
        )  # a broadcast counts once a receiver
        self.received, self.received_bytes = [0] * count, [0] * count
        for number in range(count):
            self.start(number, "old")

    # --- Time.

    def schedule(self, time_us: int, callback: Callable[[], None]) -> None:
        self.events_scheduled += 1
        heappush(self.queue, (time_us, self.events_scheduled, callback))

    def run(self, seconds: float, condition: Callable[[], bool] | None = None) -> bool:
        """Run for so long, or until the condition holds; return whether it holds in the end."""
        end = self.now + int(seconds * 1e6)
        # Conditions often read the whole fleet, and a larger fleet has more events: check less often there.
        events, check_every = 0, max(16, self.count // 8)
        while self.queue and self.queue[0][0] <= end:
            time_us, _, callback = heappop(self.queue)
            self.now = max(self.now, time_us)
            callback()
            events += 1
            if condition is not None and events % check_every == 0 and condition():
                return True
        self.now = end
        return condition() if condition is not None else True

    # --- Processes.

    def start(self, number: int, build: str = "old") -> Process:
        """Start a new process without state under this number."""
        process = Process(
            number,
            self.random.getrandbits(31) | 1,
            self.now,
            self.random.randrange(1 << 40),
            self.random.uniform(-self.drift, self.drift),
            build,
            self.engines,
            lambda n, engine: self.open_attempts.get((n, engine), 0),
            lambda b: self.failure_shares.get(b, (0.0, 0.0, 0.0)),
            self.queries_per_s,
            Random(self.random.getrandbits(32)),
        )
        process.peers = self.count
        process.node = FleetNode(
            self.config_for(number, build),
            process.boot_id,
            START_UNIX_S + self.now // 1_000_000,
            process.clock(self.now),
            Random(self.random.getrandbits(32)),
            LocalState(process),
            lambda: self.now // 1000,
            lambda event, fields: self.log_lines.append((self.now, number, event, fields)),
        )
        self.processes[number] = process
        process.next_tick = partial(self._tick, process)
        self.schedule(self.now + self.random.randrange(self.tick_us), process.next_tick)
        return process

    def assume_all_known(self) -> None:
        """Make all members known to one another, as in a long-running fleet; each still announces itself."""
        nodes = [
            process.node for process in self.processes if process is not None and process.node is not None
        ]
        known = [(node.boot_id, node.membership.local.incarnation) for node in nodes]
        for node in nodes:
            node.membership.assume_alive(known)

    def kill(self, number: int) -> None:
        self.processes[number] = None

    def pause(self, number: int, seconds: float) -> None:
        """Suspend a process, as SIGSTOP does; its datagrams are delivered afterwards."""
        process = self.processes[number]
        if process is not None:
            process.paused_until = self.now + int(seconds * 1e6)

    def node(self, number: int) -> FleetNode:
        process = self.processes[number]
        assert process is not None and process.node is not None
        return process.node

    def running_numbers(self) -> list[int]:
        return [p.number for p in self.processes if p is not None]

    def leader(self) -> int | None:
        """Return the leader of the newest epoch and term."""
        found = []
        for number in self.running_numbers():
            consensus = self.node(number).consensus
            if consensus is not None and self.node(number).is_leader:
                found.append((consensus.epoch, consensus.term, number))
        return max(found)[2] if found else None

    def state(self) -> FleetState:
        """Return the most advanced replicated state of any running node."""
        return max((self.node(n).replica for n in self.running_numbers()), key=lambda r: r.position).state

    def clock(self, number: int) -> int:
        process = self.processes[number]
        assert process is not None
        return process.clock(self.now)

    # --- The network.

    def _tick(self, process: Process) -> None:
        if self.processes[process.number] is not process or process.node is None:
            return
        if self.now < process.paused_until:
            self.schedule(process.paused_until, process.next_tick)
            return
        node = process.node
        process.current_us = self.now
        clock = process.clock(self.now)
        if process.delayed_datagrams:
            delayed, process.delayed_datagrams = process.delayed_datagrams, []
            for origin, data in delayed:
                node.receive(clock, origin, data)
        node.tick(clock)
        self.flush(process)
        self.schedule(self.now + self.tick_us, process.next_tick)

    def flush(self, process: Process) -> None:
        assert process.node is not None
        for target, data in process.node.flush(process.clock(self.now)):
            origin = process.number
            self.sent[origin] += 1
            self.sent_bytes[origin] += len(data)
            targets = [n for n in range(self.count) if n != origin] if target is None else (target,)
            self.sent_copies[origin] += len(targets)
            self.sent_copy_bytes[origin] += len(targets) * len(data)
            for receiver in targets:
                for delay in self.fault(origin, receiver, self.random):
                    latency_us = int(delay * 1e6) + MIN_LATENCY_US + self.random.randrange(LATENCY_JITTER_US)
                    self.schedule(self.now + latency_us, partial(self._deliver, origin, receiver, data))

    def _deliver(self, origin: int, target: int, data: bytes) -> None:
        process = self.processes[target]
        if process is None or process.node is None:
            return
        if self.now < process.paused_until:
            process.delayed_datagrams.append((origin, data))
            return
        self.received[target] += 1
        self.received_bytes[target] += len(data)
        process.current_us = self.now
        process.node.receive(process.clock(self.now), origin, data)
        self.flush(process)
