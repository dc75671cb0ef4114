"""What members cost a gateway's part in its fleet: membership alone, and whole nodes with their council.

The nodes are the real ones and so is every datagram. Of the fleet only the council, and one member more, are
nodes; of all others somebody else plays the part: they answer what they are asked and ask for their leases at
the pace of a real member, as that one shows it.
"""

import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from msgspec.structs import replace

from whintrail.config.records import Fleet, Versions
from whintrail.fleet.leader import EngineAvailability
from whintrail.fleet.membership import Membership, MembershipTiming, UpdateQueue
from whintrail.fleet.node import FleetConfig, FleetNode
from whintrail.fleet.wire import (
    Ack,
    LeaseReply,
    LeaseRequest,
    Ping,
    Progress,
    decode,
    encode,
    fleet_id,
)
from whintrail.gateway.fleet import TICK_INTERVAL_S, build_node_config
from whintrail.scale.deployment import SECOND_US, Deployment
from whintrail.scale.results import Sample, sample
from whintrail.scale.slopes_probe_reports import DATAGRAM_HEADER_BYTES
from whintrail.scale.timing import Bench, measure_cpu_us, measure_held_bytes, trace_allocations
from whintrail.versions.rules import Rules

TICK_US = int(TICK_INTERVAL_S * 1e6)
TICKS_PER_S = SECOND_US // TICK_US
COUNCIL = (0, 1, 2)
FLEET_NAME = "scale"
START_US = 1_000_000_000
EMPTY_PROGRESS = Progress((0, 0, 0), 0, -1, 0)
INCARNATION = 5
ELECTION_TIMEOUT_S, SETTLE_S, MEASURED_S = 20, 3, 5


def boot_id_of(number: int) -> int:
    return number * 2 + 1


def build_converged_membership(count: int) -> Membership:
    """One that has heard all others and told what it had to."""
    members = Membership(
        count - 1, count, boot_id_of(count - 1), INCARNATION, START_US, Random(3), MembershipTiming()
    )
    for number in range(count - 1):
        members.receive(START_US, number, boot_id_of(number), INCARNATION, Ack(0, EMPTY_PROGRESS, ()))
    members.updates = UpdateQueue()
    return members


def measure_membership(deployment: Deployment, repeats: int, bench: Bench) -> Iterator[Sample]:
    """A turn (the mean over one period of them), a datagram, and the bytes held."""
    count = deployment.gateways
    sizes = count, 0
    held, members = measure_held_bytes(lambda: build_converged_membership(count))
    yield sample("membership_bytes", "bytes", sizes, [float(held)], "core")
    members = build_converged_membership(count)
    now = START_US

    def period() -> float:
        nonlocal now
        spent = 0
        for _ in range(TICKS_PER_S):
            now += TICK_US
            began = time.process_time_ns()
            members.tick(now)
            spent += time.process_time_ns() - began
            for target, message in members.outbox:
                if isinstance(message, Ping):
                    answer = Ack(message.seq, EMPTY_PROGRESS, ())
                    members.receive(now, target, boot_id_of(target), INCARNATION, answer)
            members.outbox.clear()
        return spent / 1000 / TICKS_PER_S

    figures = []
    for _ in range(repeats):
        bench.check_bounds()
        figures.append(bench.measure_undisturbed(period))
    yield sample("membership_tick_us", "us", sizes, figures, "core")

    def take() -> None:
        members.receive(now, 0, boot_id_of(0), INCARNATION, Ping(9, EMPTY_PROGRESS, ()))
        members.outbox.clear()

    yield sample("membership_take_us", "us", sizes, measure_cpu_us(take, repeats, bench), "core")


class IdleGateway:
    """What a gateway that serves and has nothing to tell says of itself."""

    def __init__(self, engines: dict[str, EngineAvailability]) -> None:
        self.known_engines = engines

    def serving_ms(self, now: int) -> int:
        return max(1, (now - START_US) // 1000)

    def open_attempts(self, engine: str) -> int:
        return 0

    def outcome_counts(self) -> tuple[tuple[int, int, int, int], ...]:
        return ()

    def engines(self) -> dict[str, EngineAvailability]:
        return self.known_engines

    def check_body(self, body: Rules) -> str:
        return ""


@dataclass(slots=True)
class Traffic:
    """Datagrams and bytes on the wire, headers counted, by the name of the message."""

    datagrams: Counter[str] = field(default_factory=Counter)
    bytes: Counter[str] = field(default_factory=Counter)

    def add(self, message_name: str, size: int) -> None:
        self.datagrams[message_name] += 1
        self.bytes[message_name] += size + DATAGRAM_HEADER_BYTES


class SimulatedFleet:
    """The council and one member; the rest of the fleet is played. Time goes in turns."""

    def __init__(self, deployment: Deployment) -> None:
        self.member_count, self.now, self.random = deployment.gateways, START_US, Random(11)
        self.fleet = fleet_id(FLEET_NAME)
        self.nodes: dict[int, FleetNode] = {}
        self.sent: dict[int, Traffic] = {}
        self.received: dict[int, Traffic] = {}
        self.cpu_ns: Counter[int] = Counter()  # of a node: in its turns, and in all
        self.tick_cpu_ns: Counter[int] = Counter()
        self.ordinary_member, self.progress = self.member_count - 1, EMPTY_PROGRESS
        for number in (*COUNCIL, self.ordinary_member):
            self.nodes[number] = self._build_node(deployment, number)
            self.sent[number], self.received[number] = Traffic(), Traffic()
        self.emulated_members = [n for n in range(self.member_count) if n not in self.nodes]
        for node in self.nodes.values():
            for number in range(self.member_count):
                if number != node.config.local_number:
                    hello = encode(
                        self.fleet, number, boot_id_of(number), INCARNATION, Ack(0, EMPTY_PROGRESS, ())
                    )
                    node.receive(self.now, number, hello)
            node.membership.updates = UpdateQueue()

    def _build_node(self, deployment: Deployment, number: int) -> FleetNode:
        settings = deployment.settings(number)
        file = Fleet(name=FLEET_NAME, council=COUNCIL, versions=Versions())
        given: FleetConfig = build_node_config(
            file, settings, deployment.zone_names(), self.member_count, "build"
        )
        return FleetNode(
            given,
            boot_id_of(number),
            INCARNATION,
            self.now,
            Random(100 + number),
            IdleGateway({}),
            lambda: self.now // 1000,
            lambda what, more: None,
        )

    @property
    def leader(self) -> int | None:
        return next((n for n in COUNCIL if self.nodes[n].is_leader), None)

    def step(self, has_member_requests: bool) -> None:
        """One turn of all. `asks`: members that are played ask for their leases and ping."""
        self.now += TICK_US
        mail: list[tuple[int, int, bytes]] = []
        for number, node in self.nodes.items():
            began = time.process_time_ns()
            node.tick(self.now)
            found = node.flush(self.now)
            took = time.process_time_ns() - began
            self.cpu_ns[number] += took
            self.tick_cpu_ns[number] += took
            mail += self._record_sent(number, found)
        leader = self.leader
        self.progress = (
            EMPTY_PROGRESS if leader is None else self.nodes[leader].progress()
        )  # all know what is agreed
        if has_member_requests and leader is not None:
            pace = self.nodes[self.ordinary_member].settings
            assert pace is not None
            part = TICK_US / pace.timing.renew_interval_us
            for number in self.emulated_members:
                if self.random.random() < part:
                    stamp = self.now // 1000 & 0xFFFFFFFF
                    mail.append((number, leader, self._encode(number, LeaseRequest(stamp, 0, False, 0, ""))))
                target = self.random.randrange(self.member_count)  # in a period each pings one other
                if target in self.nodes and self.random.random() < TICK_US / SECOND_US:
                    mail.append((number, target, self._encode(number, Ping(1, self.progress, ()))))
        while mail:
            later: list[tuple[int, int, bytes]] = []
            for origin, target, data in mail:
                if target in self.nodes:
                    later += self._deliver(origin, target, data)
                else:
                    later += self._answer_as_emulated(origin, target, data)
            mail = later

    def _encode(self, number: int, message: Ack | Ping | LeaseRequest) -> bytes:
        return encode(self.fleet, number, boot_id_of(number), INCARNATION, message)

    def _record_sent(
        self, origin: int, found: list[tuple[int | None, bytes]]
    ) -> list[tuple[int, int, bytes]]:
        """To all: to those of the fleet that are nodes here; each counts as a datagram on the wire."""
        mail = []
        for target, data in found:
            name = type(decode(self.fleet, data).message).__name__
            for each in range(self.member_count) if target is None else (target,):
                if each != origin:
                    self.sent[origin].add(name, len(data))
                    if each in self.nodes or target is not None:
                        mail.append((origin, each, data))
        return mail

    def _deliver(self, origin: int, target: int, data: bytes) -> list[tuple[int, int, bytes]]:
        self.received[target].add(type(decode(self.fleet, data).message).__name__, len(data))
        node, began = self.nodes[target], time.process_time_ns()
        node.receive(self.now, origin, data)
        found = node.flush(self.now)
        self.cpu_ns[target] += time.process_time_ns() - began
        return self._record_sent(target, found)

    def _answer_as_emulated(self, origin: int, target: int, data: bytes) -> list[tuple[int, int, bytes]]:
        message = decode(self.fleet, data).message
        if isinstance(message, Ping):
            return [(target, origin, self._encode(target, Ack(message.seq, self.progress, ())))]
        return []

    def run(self, seconds: float, bench: Bench, has_member_requests: bool) -> None:
        for _ in range(int(seconds * SECOND_US / TICK_US)):
            bench.check_bounds()
            self.step(has_member_requests)

    def elect_leader(self, bench: Bench) -> int:
        """Until a leader is sure of it."""
        for _ in range(ELECTION_TIMEOUT_S * TICKS_PER_S):
            bench.check_bounds()
            self.step(has_member_requests=False)
            leader = self.leader
            if leader is not None:
                council = self.nodes[leader].consensus
                if council is not None and council.has_leader_lease(self.now):
                    return leader
        raise RuntimeError(f"no leader within {ELECTION_TIMEOUT_S} s of simulated time")


def measure_nodes(deployment: Deployment, repeats: int, bench: Bench) -> Iterator[Sample]:
    """Turns, datagrams, bytes held and lease traffic: of the leader, and of a member that is none."""
    count = deployment.gateways
    sizes = count, 0
    with trace_allocations() as held:
        played = SimulatedFleet(deployment)
        leader, member = played.elect_leader(bench), played.ordinary_member
        played.run(1, bench, has_member_requests=True)
        for number, role in ((leader, "leader"), (member, "gateway")):
            before = held()
            del played.nodes[number]
            yield replace(sample("node_bytes", "bytes", sizes, [float(before - held())], "core"), role=role)
    played = SimulatedFleet(deployment)
    leader = played.elect_leader(bench)
    played.run(SETTLE_S, bench, has_member_requests=True)
    for traffic in (*played.sent.values(), *played.received.values()):
        traffic.datagrams.clear()
        traffic.bytes.clear()
    for number in played.nodes:
        played.nodes[number].counters.clear()
    shares: dict[int, list[float]] = {leader: [], member: []}
    for _ in range(MEASURED_S):
        spent, slow = dict(played.cpu_ns), bench.measure_slowdown()
        played.run(1, bench, has_member_requests=True)
        slow = (slow + bench.measure_slowdown()) / 2
        for number, found in shares.items():
            found.append((played.cpu_ns[number] - spent[number]) / 1e9 / slow)
    for number, role in ((leader, "leader"), (member, "gateway")):
        yield replace(sample("node_cpu_share", "share", sizes, shares[number], "core"), role=role)
    yield from _lease_samples(played, sizes, leader)

    for number, role in ((leader, "leader"), (member, "gateway")):
        yield replace(
            sample("node_tick_us", "us", sizes, _measure_ticks(played, number, repeats, bench), "core"),
            role=role,
        )
        node = played.nodes[number]
        ask = played._encode(
            played.emulated_members[0], LeaseRequest(played.now // 1000 & 0xFFFFFFFF, 0, False, 0, "")
        )
        ping = played._encode(played.emulated_members[0], Ping(1, played.progress, ()))
        data = ask if number == leader else ping

        def take(node: FleetNode = node, data: bytes = data) -> None:
            node.receive(played.now, played.emulated_members[0], data)
            node.flush(played.now)

        yield replace(
            sample("node_take_us", "us", sizes, measure_cpu_us(take, repeats, bench), "core"), role=role
        )


def _measure_ticks(played: SimulatedFleet, number: int, repeats: int, bench: Bench) -> list[float]:
    """Means over a period's turns, of one node, while the others go on."""

    def period() -> float:
        before = played.tick_cpu_ns[number]
        for _ in range(TICKS_PER_S):
            played.step(has_member_requests=True)
        return (played.tick_cpu_ns[number] - before) / 1000 / TICKS_PER_S

    figures = []
    for _ in range(max(3, repeats // 3)):
        bench.check_bounds()
        figures.append(bench.measure_undisturbed(period))
    return figures


def _lease_samples(played: SimulatedFleet, sizes: tuple[int, int], leader: int) -> Iterator[Sample]:
    """What members ask of the leader and what it answers, a second; it sends no more than its settings
    allow, so where all is asked for the rest is held back."""

    def one(quantity: str, unit: str, value: float, role: str) -> Sample:
        return replace(sample(quantity, unit, sizes, [value], "core"), role=role)

    asked, told = played.received[leader], played.sent[leader]
    own = played.sent[played.ordinary_member]
    ask, tell = LeaseRequest.__name__, LeaseReply.__name__
    yield one("lease_asks_per_s", "datagrams/s", own.datagrams[ask] / MEASURED_S, "gateway")
    yield one("lease_ask_bytes", "bytes", own.bytes[ask] / max(1, own.datagrams[ask]), "gateway")
    yield one("lease_tell_bytes", "bytes", told.bytes[tell] / max(1, told.datagrams[tell]), "leader")
    rates = asked.datagrams[ask] / MEASURED_S, told.datagrams[tell] / MEASURED_S
    yield one("leader_lease_asks_per_s", "datagrams/s", rates[0], "leader")
    yield one("leader_lease_tells_per_s", "datagrams/s", rates[1], "leader")
    yield one("leader_lease_answered", "share", rates[1] / max(1e-9, rates[0]), "leader")
    wanted = asked.bytes[ask] + told.bytes[tell] / max(1e-9, rates[1]) * rates[0]
    yield one("leader_lease_bytes_per_s", "bytes/s", wanted / MEASURED_S, "leader")
    held_back = played.nodes[leader].counters["held_back"] / MEASURED_S
    yield one("leader_held_back_per_s", "datagrams/s", held_back, "leader")
    for number, role in ((leader, "leader"), (played.ordinary_member, "gateway")):
        both = [played.sent[number], played.received[number]]
        yield one(
            "node_datagrams_per_s", "datagrams/s", sum(t.datagrams.total() for t in both) / MEASURED_S, role
        )
        yield one("node_bytes_per_s", "bytes/s", sum(t.bytes.total() for t in both) / MEASURED_S, role)
