"""Measures what a fleet's members cost one gateway: the membership core alone, and whole nodes.

Nodes and datagrams are real. Only the council and one ordinary member run as nodes; all other members are
emulated: they answer pings and request their leases at the interval that the ordinary member uses.
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
ELECTION_TIMEOUT_S = 20
SETTLE_S = 3
MEASURED_S = 5


def boot_id_of(number: int) -> int:
    """Return a boot id for a gateway, different from those of all others."""
    return number * 2 + 1


def build_converged_membership(count: int) -> Membership:
    """Build a membership that has received from all others and has no updates left to send."""
    membership = Membership(
        count - 1, count, boot_id_of(count - 1), INCARNATION, START_US, Random(3), MembershipTiming()
    )
    for number in range(count - 1):
        membership.receive(START_US, number, boot_id_of(number), INCARNATION, Ack(0, EMPTY_PROGRESS, ()))
    membership.updates = UpdateQueue()
    return membership


def measure_membership(deployment: Deployment, repeats: int, bench: Bench) -> Iterator[Sample]:
    """Measure a tick (the mean over one second of ticks), a received datagram, and the memory held."""
    count = deployment.gateways
    sizes = count, 0
    held_bytes, membership = measure_held_bytes(lambda: build_converged_membership(count))
    yield sample("membership_bytes", "bytes", sizes, [float(held_bytes)], "core")
    membership = build_converged_membership(count)
    now = START_US

    def mean_tick_us() -> float:
        nonlocal now
        spent_ns = 0
        for _ in range(TICKS_PER_S):
            now += TICK_US
            started_ns = time.process_time_ns()
            membership.tick(now)
            spent_ns += time.process_time_ns() - started_ns
            for target, message in membership.outbox:
                if isinstance(message, Ping):
                    answer = Ack(message.seq, EMPTY_PROGRESS, ())
                    membership.receive(now, target, boot_id_of(target), INCARNATION, answer)
            membership.outbox.clear()
        return spent_ns / 1000 / TICKS_PER_S

    figures = []
    for _ in range(repeats):
        bench.check_bounds()
        figures.append(bench.measure_undisturbed(mean_tick_us))
    yield sample("membership_tick_us", "us", sizes, figures, "core")

    def receive_ping() -> None:
        membership.receive(now, 0, boot_id_of(0), INCARNATION, Ping(9, EMPTY_PROGRESS, ()))
        membership.outbox.clear()

    yield sample("membership_take_us", "us", sizes, measure_cpu_us(receive_ping, repeats, bench), "core")


class IdleGateway:
    """The local gateway as its node sees it: serving, without attempts or outcomes."""

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
    """Datagrams and bytes on the wire, including headers, by message type."""

    datagrams: Counter[str] = field(default_factory=Counter)
    bytes: Counter[str] = field(default_factory=Counter)

    def add(self, message_name: str, size: int) -> None:
        self.datagrams[message_name] += 1
        self.bytes[message_name] += size + DATAGRAM_HEADER_BYTES


class SimulatedFleet:
    """The council and one ordinary member as nodes and all others emulated, in simulated time."""

    def __init__(self, deployment: Deployment) -> None:
        self.member_count, self.now, self.random = deployment.gateways, START_US, Random(11)
        self.fleet = fleet_id(FLEET_NAME)
        self.nodes: dict[int, FleetNode] = {}
        self.sent: dict[int, Traffic] = {}
        self.received: dict[int, Traffic] = {}
        self.cpu_ns: Counter[int] = Counter()  # by node, all its work
        self.tick_cpu_ns: Counter[int] = Counter()  # by node, its ticks only
        self.ordinary_member, self.progress = self.member_count - 1, EMPTY_PROGRESS
        for number in (*COUNCIL, self.ordinary_member):
            self.nodes[number] = self._build_node(deployment, number)
            self.sent[number], self.received[number] = Traffic(), Traffic()
        self.emulated_members = [n for n in range(self.member_count) if n not in self.nodes]
        for node in self.nodes.values():
            for number in range(self.member_count):
                if number != node.config.local_number:
                    first_ack = encode(
                        self.fleet, number, boot_id_of(number), INCARNATION, Ack(0, EMPTY_PROGRESS, ())
                    )
                    node.receive(self.now, number, first_ack)
            node.membership.updates = UpdateQueue()

    def _build_node(self, deployment: Deployment, number: int) -> FleetNode:
        settings = deployment.settings(number)
        file = Fleet(name=FLEET_NAME, council=COUNCIL, versions=Versions())
        config: FleetConfig = build_node_config(
            file, settings, deployment.zone_names(), self.member_count, "build"
        )
        return FleetNode(
            config,
            boot_id_of(number),
            INCARNATION,
            self.now,
            Random(100 + number),
            IdleGateway({}),
            lambda: self.now // 1000,
            lambda event, details: None,
        )

    @property
    def leader(self) -> int | None:
        return next((n for n in COUNCIL if self.nodes[n].is_leader), None)

    def step(self, has_member_requests: bool) -> None:
        """Advance by one tick. `has_member_requests`: emulated members request leases and ping."""
        self.now += TICK_US
        datagrams: list[tuple[int, int, bytes]] = []
        for number, node in self.nodes.items():
            started_ns = time.process_time_ns()
            node.tick(self.now)
            outgoing = node.flush(self.now)
            duration_ns = time.process_time_ns() - started_ns
            self.cpu_ns[number] += duration_ns
            self.tick_cpu_ns[number] += duration_ns
            datagrams += self._record_sent(number, outgoing)
        leader = self.leader
        # Emulated members have applied all that is committed.
        self.progress = EMPTY_PROGRESS if leader is None else self.nodes[leader].progress()
        if has_member_requests and leader is not None:
            settings = self.nodes[self.ordinary_member].settings
            assert settings is not None
            renew_probability = TICK_US / settings.timing.renew_interval_us
            for number in self.emulated_members:
                if self.random.random() < renew_probability:
                    sent_at_ms = self.now // 1000 & 0xFFFFFFFF
                    datagrams.append(
                        (number, leader, self._encode(number, LeaseRequest(sent_at_ms, 0, False, 0, "")))
                    )
                target = self.random.randrange(self.member_count)  # each member pings one other per second
                if target in self.nodes and self.random.random() < TICK_US / SECOND_US:
                    datagrams.append((number, target, self._encode(number, Ping(1, self.progress, ()))))
        while datagrams:
            replies: list[tuple[int, int, bytes]] = []
            for origin, target, payload in datagrams:
                if target in self.nodes:
                    replies += self._deliver(origin, target, payload)
                else:
                    replies += self._answer_as_emulated(origin, target, payload)
            datagrams = replies

    def _encode(self, number: int, message: Ack | Ping | LeaseRequest) -> bytes:
        return encode(self.fleet, number, boot_id_of(number), INCARNATION, message)

    def _record_sent(
        self, origin: int, outgoing: list[tuple[int | None, bytes]]
    ) -> list[tuple[int, int, bytes]]:
        """Count sent datagrams and return those to deliver.

        A broadcast counts as one datagram to each member, and is delivered to nodes only.
        """
        to_deliver = []
        for target, payload in outgoing:
            name = type(decode(self.fleet, payload).message).__name__
            for receiver in range(self.member_count) if target is None else (target,):
                if receiver != origin:
                    self.sent[origin].add(name, len(payload))
                    if receiver in self.nodes or target is not None:
                        to_deliver.append((origin, receiver, payload))
        return to_deliver

    def _deliver(self, origin: int, target: int, payload: bytes) -> list[tuple[int, int, bytes]]:
        self.received[target].add(type(decode(self.fleet, payload).message).__name__, len(payload))
        node, started_ns = self.nodes[target], time.process_time_ns()
        node.receive(self.now, origin, payload)
        outgoing = node.flush(self.now)
        self.cpu_ns[target] += time.process_time_ns() - started_ns
        return self._record_sent(target, outgoing)

    def _answer_as_emulated(self, origin: int, target: int, payload: bytes) -> list[tuple[int, int, bytes]]:
        message = decode(self.fleet, payload).message
        if isinstance(message, Ping):
            return [(target, origin, self._encode(target, Ack(message.seq, self.progress, ())))]
        return []

    def run(self, seconds: float, bench: Bench, has_member_requests: bool) -> None:
        for _ in range(int(seconds * SECOND_US / TICK_US)):
            bench.check_bounds()
            self.step(has_member_requests)

    def elect_leader(self, bench: Bench) -> int:
        """Run until a leader holds its leader lease, and return its number."""
        for _ in range(ELECTION_TIMEOUT_S * TICKS_PER_S):
            bench.check_bounds()
            self.step(has_member_requests=False)
            leader = self.leader
            if leader is not None:
                consensus = self.nodes[leader].consensus
                if consensus is not None and consensus.has_leader_lease(self.now):
                    return leader
        raise RuntimeError(f"no leader within {ELECTION_TIMEOUT_S} s of simulated time")


def measure_nodes(deployment: Deployment, repeats: int, bench: Bench) -> Iterator[Sample]:
    """Measure ticks, datagrams, memory and lease traffic of the leader and of an ordinary member."""
    count = deployment.gateways
    sizes = count, 0
    with trace_allocations() as bytes_in_use:
        fleet = SimulatedFleet(deployment)
        leader, member = fleet.elect_leader(bench), fleet.ordinary_member
        fleet.run(1, bench, has_member_requests=True)
        for number, role in ((leader, "leader"), (member, "gateway")):
            before = bytes_in_use()
            del fleet.nodes[number]
            yield replace(
                sample("node_bytes", "bytes", sizes, [float(before - bytes_in_use())], "core"), role=role
            )
    fleet = SimulatedFleet(deployment)
    leader = fleet.elect_leader(bench)
    fleet.run(SETTLE_S, bench, has_member_requests=True)
    for traffic in (*fleet.sent.values(), *fleet.received.values()):
        traffic.datagrams.clear()
        traffic.bytes.clear()
    for number in fleet.nodes:
        fleet.nodes[number].counters.clear()
    shares: dict[int, list[float]] = {leader: [], member: []}
    for _ in range(MEASURED_S):
        cpu_ns_before, slowdown = dict(fleet.cpu_ns), bench.measure_slowdown()
        fleet.run(1, bench, has_member_requests=True)
        slowdown = (slowdown + bench.measure_slowdown()) / 2
        for number, node_shares in shares.items():
            node_shares.append((fleet.cpu_ns[number] - cpu_ns_before[number]) / 1e9 / slowdown)
    for number, role in ((leader, "leader"), (member, "gateway")):
        yield replace(sample("node_cpu_share", "share", sizes, shares[number], "core"), role=role)
    yield from _lease_samples(fleet, sizes, leader)

    for number, role in ((leader, "leader"), (member, "gateway")):
        yield replace(
            sample("node_tick_us", "us", sizes, _measure_ticks(fleet, number, repeats, bench), "core"),
            role=role,
        )
        node = fleet.nodes[number]
        lease_request = fleet._encode(
            fleet.emulated_members[0], LeaseRequest(fleet.now // 1000 & 0xFFFFFFFF, 0, False, 0, "")
        )
        ping = fleet._encode(fleet.emulated_members[0], Ping(1, fleet.progress, ()))
        datagram = lease_request if number == leader else ping

        def receive_datagram(node: FleetNode = node, datagram: bytes = datagram) -> None:
            node.receive(fleet.now, fleet.emulated_members[0], datagram)
            node.flush(fleet.now)

        yield replace(
            sample("node_take_us", "us", sizes, measure_cpu_us(receive_datagram, repeats, bench), "core"),
            role=role,
        )


def _measure_ticks(fleet: SimulatedFleet, number: int, repeats: int, bench: Bench) -> list[float]:
    """Measure the mean tick of one node over a second, with all other nodes running."""

    def mean_tick_us() -> float:
        before = fleet.tick_cpu_ns[number]
        for _ in range(TICKS_PER_S):
            fleet.step(has_member_requests=True)
        return (fleet.tick_cpu_ns[number] - before) / 1000 / TICKS_PER_S

    figures = []
    for _ in range(max(3, repeats // 3)):
        bench.check_bounds()
        figures.append(bench.measure_undisturbed(mean_tick_us))
    return figures


def _lease_samples(fleet: SimulatedFleet, sizes: tuple[int, int], leader: int) -> Iterator[Sample]:
    """Yield lease requests, the leader's replies and the traffic of nodes, per second.

    The leader sends no more than its settings allow: replies over that are held back.
    """

    def node_sample(quantity: str, unit: str, value: float, role: str) -> Sample:
        return replace(sample(quantity, unit, sizes, [value], "core"), role=role)

    leader_received, leader_sent = fleet.received[leader], fleet.sent[leader]
    member_sent = fleet.sent[fleet.ordinary_member]
    request, reply = LeaseRequest.__name__, LeaseReply.__name__
    yield node_sample(
        "lease_asks_per_s", "datagrams/s", member_sent.datagrams[request] / MEASURED_S, "gateway"
    )
    yield node_sample(
        "lease_ask_bytes",
        "bytes",
        member_sent.bytes[request] / max(1, member_sent.datagrams[request]),
        "gateway",
    )
    yield node_sample(
        "lease_tell_bytes", "bytes", leader_sent.bytes[reply] / max(1, leader_sent.datagrams[reply]), "leader"
    )
    requests_per_s = leader_received.datagrams[request] / MEASURED_S
    replies_per_s = leader_sent.datagrams[reply] / MEASURED_S
    yield node_sample("leader_lease_asks_per_s", "datagrams/s", requests_per_s, "leader")
    yield node_sample("leader_lease_tells_per_s", "datagrams/s", replies_per_s, "leader")
    yield node_sample("leader_lease_answered", "share", replies_per_s / max(1e-9, requests_per_s), "leader")
    request_and_reply_bytes = (
        leader_received.bytes[request] + leader_sent.bytes[reply] / max(1e-9, replies_per_s) * requests_per_s
    )
    yield node_sample("leader_lease_bytes_per_s", "bytes/s", request_and_reply_bytes / MEASURED_S, "leader")
    held_back = fleet.nodes[leader].counters["held_back"] / MEASURED_S
    yield node_sample("leader_held_back_per_s", "datagrams/s", held_back, "leader")
    for number, role in ((leader, "leader"), (fleet.ordinary_member, "gateway")):
        directions = [fleet.sent[number], fleet.received[number]]
        yield node_sample(
            "node_datagrams_per_s",
            "datagrams/s",
            sum(t.datagrams.total() for t in directions) / MEASURED_S,
            role,
        )
        yield node_sample(
            "node_bytes_per_s", "bytes/s", sum(t.bytes.total() for t in directions) / MEASURED_S, role
        )
