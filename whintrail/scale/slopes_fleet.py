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
from whintrail.scale.slopes_memos import HEADERS
from whintrail.scale.timing import Bench, cpu_us, held_bytes, traced
from whintrail.versions.rules import Rules

TURN_US = int(TICK_INTERVAL_S * 1e6)
TURNS = SECOND_US // TURN_US
COUNCIL = (0, 1, 2)
NAME = "scale"
BEGAN = 1_000_000_000
NOTHING = Progress((0, 0, 0), 0, -1, 0)
INCARNATION = 5
ELECTION_S, SETTLE_S, PLAYED_S = 20, 3, 5


def birth_of(number: int) -> int:
    return number * 2 + 1


def known(count: int) -> Membership:
    """One that has heard all others and told what it had to."""
    members = Membership(
        count - 1, count, birth_of(count - 1), INCARNATION, BEGAN, Random(3), MembershipTiming()
    )
    for number in range(count - 1):
        members.receive(BEGAN, number, birth_of(number), INCARNATION, Ack(0, NOTHING, ()))
    members.updates = UpdateQueue()
    return members


def membership(deployment: Deployment, repeats: int, bench: Bench) -> Iterator[Sample]:
    """A turn (the mean over one period of them), a datagram, and the bytes held."""
    count = deployment.gateways
    sizes = count, 0
    held, members = held_bytes(lambda: known(count))
    yield sample("membership_bytes", "bytes", sizes, [float(held)], "core")
    members = known(count)
    now = BEGAN

    def period() -> float:
        nonlocal now
        spent = 0
        for _ in range(TURNS):
            now += TURN_US
            began = time.process_time_ns()
            members.tick(now)
            spent += time.process_time_ns() - began
            for target, message in members.outbox:
                if isinstance(message, Ping):
                    answer = Ack(message.seq, NOTHING, ())
                    members.receive(now, target, birth_of(target), INCARNATION, answer)
            members.outbox.clear()
        return spent / 1000 / TURNS

    figures = []
    for _ in range(repeats):
        bench.check()
        figures.append(bench.fair(period))
    yield sample("membership_tick_us", "us", sizes, figures, "core")

    def take() -> None:
        members.receive(now, 0, birth_of(0), INCARNATION, Ping(9, NOTHING, ()))
        members.outbox.clear()

    yield sample("membership_take_us", "us", sizes, cpu_us(take, repeats, bench), "core")


class Quiet:
    """What a gateway that serves and has nothing to tell says of itself."""

    def __init__(self, engines: dict[str, EngineAvailability]) -> None:
        self.known = engines

    def serving_ms(self, now: int) -> int:
        return max(1, (now - BEGAN) // 1000)

    def open_attempts(self, engine: str) -> int:
        return 0

    def outcome_counts(self) -> tuple[tuple[int, int, int, int], ...]:
        return ()

    def engines(self) -> dict[str, EngineAvailability]:
        return self.known

    def check_body(self, body: Rules) -> str:
        return ""


@dataclass(slots=True)
class Traffic:
    """Datagrams and bytes on the wire, headers counted, by the name of the message."""

    datagrams: Counter[str] = field(default_factory=Counter)
    bytes: Counter[str] = field(default_factory=Counter)

    def add(self, what: str, size: int) -> None:
        self.datagrams[what] += 1
        self.bytes[what] += size + HEADERS


class Nodes:
    """The council and one member; the rest of the fleet is played. Time goes in turns."""

    def __init__(self, deployment: Deployment) -> None:
        self.count, self.now, self.random = deployment.gateways, BEGAN, Random(11)
        self.fleet = fleet_id(NAME)
        self.nodes: dict[int, FleetNode] = {}
        self.sent: dict[int, Traffic] = {}
        self.got: dict[int, Traffic] = {}
        self.spent_ns: Counter[int] = Counter()  # of a node: in its turns, and in all
        self.ticks_ns: Counter[int] = Counter()
        self.last, self.note = self.count - 1, NOTHING
        for number in (*COUNCIL, self.last):
            self.nodes[number] = self._node(deployment, number)
            self.sent[number], self.got[number] = Traffic(), Traffic()
        self.played = [n for n in range(self.count) if n not in self.nodes]
        for node in self.nodes.values():
            for number in range(self.count):
                if number != node.config.local_number:
                    hello = encode(self.fleet, number, birth_of(number), INCARNATION, Ack(0, NOTHING, ()))
                    node.receive(self.now, number, hello)
            node.membership.updates = UpdateQueue()

    def _node(self, deployment: Deployment, number: int) -> FleetNode:
        settings = deployment.settings(number)
        file = Fleet(name=NAME, council=COUNCIL, versions=Versions())
        given: FleetConfig = build_node_config(file, settings, deployment.zone_names(), self.count, "build")
        return FleetNode(
            given,
            birth_of(number),
            INCARNATION,
            self.now,
            Random(100 + number),
            Quiet({}),
            lambda: self.now // 1000,
            lambda what, more: None,
        )

    @property
    def leader(self) -> int | None:
        return next((n for n in COUNCIL if self.nodes[n].is_leader), None)

    def turn(self, asks: bool) -> None:
        """One turn of all. `asks`: members that are played ask for their leases and ping."""
        self.now += TURN_US
        mail: list[tuple[int, int, bytes]] = []
        for number, node in self.nodes.items():
            began = time.process_time_ns()
            node.tick(self.now)
            found = node.flush(self.now)
            took = time.process_time_ns() - began
            self.spent_ns[number] += took
            self.ticks_ns[number] += took
            mail += self._out(number, found)
        leader = self.leader
        self.note = NOTHING if leader is None else self.nodes[leader].progress()  # all know what is agreed
        if asks and leader is not None:
            pace = self.nodes[self.last].settings
            assert pace is not None
            part = TURN_US / pace.timing.renew_interval_us
            for number in self.played:
                if self.random.random() < part:
                    stamp = self.now // 1000 & 0xFFFFFFFF
                    mail.append((number, leader, self._letter(number, LeaseRequest(stamp, 0, False, 0, ""))))
                target = self.random.randrange(self.count)  # in a period each pings one other
                if target in self.nodes and self.random.random() < TURN_US / SECOND_US:
                    mail.append((number, target, self._letter(number, Ping(1, self.note, ()))))
        while mail:
            later: list[tuple[int, int, bytes]] = []
            for origin, target, data in mail:
                if target in self.nodes:
                    later += self._take(origin, target, data)
                else:
                    later += self._played(origin, target, data)
            mail = later

    def _letter(self, number: int, message: Ack | Ping | LeaseRequest) -> bytes:
        return encode(self.fleet, number, birth_of(number), INCARNATION, message)

    def _out(self, origin: int, found: list[tuple[int | None, bytes]]) -> list[tuple[int, int, bytes]]:
        """To all: to those of the fleet that are nodes here; each counts as a datagram on the wire."""
        mail = []
        for target, data in found:
            name = type(decode(self.fleet, data).message).__name__
            for each in range(self.count) if target is None else (target,):
                if each != origin:
                    self.sent[origin].add(name, len(data))
                    if each in self.nodes or target is not None:
                        mail.append((origin, each, data))
        return mail

    def _take(self, origin: int, target: int, data: bytes) -> list[tuple[int, int, bytes]]:
        self.got[target].add(type(decode(self.fleet, data).message).__name__, len(data))
        node, began = self.nodes[target], time.process_time_ns()
        node.receive(self.now, origin, data)
        found = node.flush(self.now)
        self.spent_ns[target] += time.process_time_ns() - began
        return self._out(target, found)

    def _played(self, origin: int, target: int, data: bytes) -> list[tuple[int, int, bytes]]:
        message = decode(self.fleet, data).message
        if isinstance(message, Ping):
            return [(target, origin, self._letter(target, Ack(message.seq, self.note, ())))]
        return []

    def run(self, seconds: float, bench: Bench, asks: bool) -> None:
        for _ in range(int(seconds * SECOND_US / TURN_US)):
            bench.check()
            self.turn(asks)

    def elect(self, bench: Bench) -> int:
        """Until a leader is sure of it."""
        for _ in range(ELECTION_S * TURNS):
            bench.check()
            self.turn(asks=False)
            leader = self.leader
            if leader is not None:
                council = self.nodes[leader].consensus
                if council is not None and council.has_leader_lease(self.now):
                    return leader
        raise RuntimeError(f"no leader within {ELECTION_S} s of simulated time")


def nodes(deployment: Deployment, repeats: int, bench: Bench) -> Iterator[Sample]:
    """Turns, datagrams, bytes held and lease traffic: of the leader, and of a member that is none."""
    count = deployment.gateways
    sizes = count, 0
    with traced() as held:
        played = Nodes(deployment)
        leader, member = played.elect(bench), played.last
        played.run(1, bench, asks=True)
        for number, role in ((leader, "leader"), (member, "gateway")):
            before = held()
            del played.nodes[number]
            yield replace(sample("node_bytes", "bytes", sizes, [float(before - held())], "core"), role=role)
    played = Nodes(deployment)
    leader = played.elect(bench)
    played.run(SETTLE_S, bench, asks=True)
    for traffic in (*played.sent.values(), *played.got.values()):
        traffic.datagrams.clear()
        traffic.bytes.clear()
    for number in played.nodes:
        played.nodes[number].counters.clear()
    shares: dict[int, list[float]] = {leader: [], member: []}
    for _ in range(PLAYED_S):
        spent, slow = dict(played.spent_ns), bench.slower()
        played.run(1, bench, asks=True)
        slow = (slow + bench.slower()) / 2
        for number, found in shares.items():
            found.append((played.spent_ns[number] - spent[number]) / 1e9 / slow)
    for number, role in ((leader, "leader"), (member, "gateway")):
        yield replace(sample("node_cpu_share", "share", sizes, shares[number], "core"), role=role)
    yield from _leases(played, sizes, leader)

    for number, role in ((leader, "leader"), (member, "gateway")):
        yield replace(
            sample("node_tick_us", "us", sizes, _ticks(played, number, repeats, bench), "core"), role=role
        )
        node = played.nodes[number]
        ask = played._letter(played.played[0], LeaseRequest(played.now // 1000 & 0xFFFFFFFF, 0, False, 0, ""))
        ping = played._letter(played.played[0], Ping(1, played.note, ()))
        data = ask if number == leader else ping

        def take(node: FleetNode = node, data: bytes = data) -> None:
            node.receive(played.now, played.played[0], data)
            node.flush(played.now)

        yield replace(sample("node_take_us", "us", sizes, cpu_us(take, repeats, bench), "core"), role=role)


def _ticks(played: Nodes, number: int, repeats: int, bench: Bench) -> list[float]:
    """Means over a period's turns, of one node, while the others go on."""

    def period() -> float:
        before = played.ticks_ns[number]
        for _ in range(TURNS):
            played.turn(asks=True)
        return (played.ticks_ns[number] - before) / 1000 / TURNS

    figures = []
    for _ in range(max(3, repeats // 3)):
        bench.check()
        figures.append(bench.fair(period))
    return figures


def _leases(played: Nodes, sizes: tuple[int, int], leader: int) -> Iterator[Sample]:
    """What members ask of the leader and what it answers, a second; it sends no more than its settings
    allow, so where all is asked for the rest is held back."""

    def one(quantity: str, unit: str, value: float, role: str) -> Sample:
        return replace(sample(quantity, unit, sizes, [value], "core"), role=role)

    asked, told = played.got[leader], played.sent[leader]
    own = played.sent[played.last]
    ask, tell = LeaseRequest.__name__, LeaseReply.__name__
    yield one("lease_asks_per_s", "datagrams/s", own.datagrams[ask] / PLAYED_S, "gateway")
    yield one("lease_ask_bytes", "bytes", own.bytes[ask] / max(1, own.datagrams[ask]), "gateway")
    yield one("lease_tell_bytes", "bytes", told.bytes[tell] / max(1, told.datagrams[tell]), "leader")
    rates = asked.datagrams[ask] / PLAYED_S, told.datagrams[tell] / PLAYED_S
    yield one("leader_lease_asks_per_s", "datagrams/s", rates[0], "leader")
    yield one("leader_lease_tells_per_s", "datagrams/s", rates[1], "leader")
    yield one("leader_lease_answered", "share", rates[1] / max(1e-9, rates[0]), "leader")
    wanted = asked.bytes[ask] + told.bytes[tell] / max(1e-9, rates[1]) * rates[0]
    yield one("leader_lease_bytes_per_s", "bytes/s", wanted / PLAYED_S, "leader")
    held_back = played.nodes[leader].counters["held_back"] / PLAYED_S
    yield one("leader_held_back_per_s", "datagrams/s", held_back, "leader")
    for number, role in ((leader, "leader"), (played.last, "gateway")):
        both = [played.sent[number], played.got[number]]
        yield one(
            "node_datagrams_per_s", "datagrams/s", sum(t.datagrams.total() for t in both) / PLAYED_S, role
        )
        yield one("node_bytes_per_s", "bytes/s", sum(t.bytes.total() for t in both) / PLAYED_S, role)
