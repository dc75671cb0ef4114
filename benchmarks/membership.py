"""Ways to know who is there, at 200 gateways in simulated time: delay, false removals, bytes.

    python -m benchmarks.membership --count 200 --seconds 120 --seed 1

All-to-all heartbeats, gossiped heartbeats, SWIM, and SWIM with Lifeguard's suspicion (`whintrail.fleet`).
Each with 0, 5 and 20% of datagrams lost; then a one-way link, a member stopped for 3 s, one starved.
Three members are killed; a removal of any other is false.
"""

import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from random import Random
from typing import Any

import click

from whintrail.cli.output import print_rows
from whintrail.fleet.membership import Membership, MembershipTiming, MemberState
from whintrail.fleet.wire import HEADER, TRAILER, datagram_size

SECOND = 1_000_000
TICK = 100_000
HEARTBEAT_BYTES = HEADER.size + 2 + TRAILER.size
PAIR_BYTES, PAIRS_PER_MESSAGE = 7, 30


class AllToAllHeartbeats:
    """Each tells all that it lives, once a second; silence for `limit` is an end."""

    def __init__(self, me: int, count: int, now: int, random: Random, limit_us: int = 5 * SECOND) -> None:
        self.local_number, self.timeout_us = me, limit_us
        self.last_received = [now] * count
        self.removed: set[int] = set()
        self.next_beat_at = now + random.randrange(SECOND)
        self.outbox: list[tuple[int, Any, int]] = []

    def tick(self, now: int) -> None:
        if now >= self.next_beat_at:
            self.next_beat_at += SECOND
            self.outbox += [
                (n, None, HEARTBEAT_BYTES) for n in range(len(self.last_received)) if n != self.local_number
            ]
        for number, at in enumerate(self.last_received):
            if number != self.local_number and now - at > self.timeout_us:
                self.removed.add(number)

    def receive(self, now: int, origin: int, said: Any) -> None:
        self.last_received[origin] = now
        self.removed.discard(origin)


class GossipHeartbeats:
    """Each tells three others, drawn at random, the newest counters that it knows; a counter that stands
    still for `limit` is an end (van Renesse, Minsky, Hayden: "A Gossip-Style Failure Detection Service")."""

    def __init__(self, me: int, count: int, now: int, random: Random, limit_us: int = 10 * SECOND) -> None:
        self.local_number, self.random, self.timeout_us = me, random, limit_us
        self.counters, self.changed_at = [0] * count, [now] * count
        self.removed: set[int] = set()
        self.next_gossip_at = now + random.randrange(SECOND)
        self.outbox: list[tuple[int, Any, int]] = []

    def tick(self, now: int) -> None:
        if now >= self.next_gossip_at:
            self.next_gossip_at += SECOND
            self.counters[self.local_number] += 1
            self.changed_at[self.local_number] = now
            order = sorted(range(len(self.changed_at)), key=self.changed_at.__getitem__, reverse=True)
            told = [(n, self.counters[n]) for n in order[:PAIRS_PER_MESSAGE]]
            rest = self.random.sample(order, min(PAIRS_PER_MESSAGE, len(order)))
            for part in (told, [(n, self.counters[n]) for n in rest]):
                for target in self.random.sample(range(len(self.changed_at)), 3):
                    if target != self.local_number:
                        self.outbox.append((target, part, HEARTBEAT_BYTES + PAIR_BYTES * len(part)))
        for number, at in enumerate(self.changed_at):
            if number != self.local_number and now - at > self.timeout_us:
                self.removed.add(number)

    def receive(self, now: int, origin: int, said: Any) -> None:
        for number, counter in said:
            if counter > self.counters[number]:
                self.counters[number], self.changed_at[number] = counter, now
                self.removed.discard(number)


class SwimMember:
    def __init__(self, me: int, count: int, now: int, random: Random, pace: MembershipTiming) -> None:
        self.membership = Membership(me, count, me + 1, 1, now, random, pace)
        self.membership.assume_alive(
            [(number + 1, 1) for number in range(count)]
        )  # all know one another already
        self.outbox: list[tuple[int, Any, int]] = []

    @property
    def removed(self) -> set[int]:
        return {m.number for m in self.membership.members if m.state is MemberState.GONE}

    def _flush(self) -> None:
        incarnation = self.membership.local.incarnation
        self.outbox += [
            (target, (incarnation, said), datagram_size(said)) for target, said in self.membership.outbox
        ]
        self.membership.outbox.clear()

    def tick(self, now: int) -> None:
        self.membership.tick(now)
        self._flush()

    def receive(self, now: int, origin: int, said: Any) -> None:
        self.membership.receive(now, origin, origin + 1, said[0], said[1])
        self._flush()


MemberFactory = Callable[[int, int, int, Random], Any]
PROTOCOLS: dict[str, MemberFactory] = {
    "all-to-all heartbeats": AllToAllHeartbeats,
    "gossiped heartbeats": GossipHeartbeats,
    "SWIM": partial(
        SwimMember, pace=MembershipTiming(lifeguard=False, direct_pings=0, retransmit_factor=3.0)
    ),
    "SWIM with Lifeguard": partial(SwimMember, pace=MembershipTiming(direct_pings=0, retransmit_factor=3.0)),
    "the same, asked before the end": partial(SwimMember, pace=MembershipTiming()),
}


@dataclass
class Case:
    name: str
    loss: float = 0.0
    one_way: tuple[int, int] | None = None
    paused: int | None = None  # for 3 s, every 10 s
    starved: int | None = None  # runs a tenth of the time


CASES = [
    Case("nothing lost"),
    Case("5% lost", 0.05),
    Case("20% lost", 0.20),
    Case("a one-way link", one_way=(5, 6)),
    Case("one stopped for 3 s", 0.05, paused=7),
    Case("one starved of its core", 0.05, starved=7),
]


@dataclass
class Measurement:
    detection_delays_s: list[float] = field(default_factory=list)  # until a member has it, in seconds
    missed: int = 0
    false_removals: int = 0
    bytes_sent: int = 0
    messages_sent: int = 0


def run_case(factory: MemberFactory, case: Case, count: int, seconds: int, seed: int) -> Measurement:
    random, seen = Random(seed), Measurement()
    nodes = [factory(n, count, 0, Random(random.getrandbits(32))) for n in range(count)]
    victims = random.sample([n for n in range(count) if n not in (5, 6, 7)], 3)
    killed_at = seconds * SECOND // 3
    dead: set[int] = set()
    known: dict[tuple[int, int], int] = {}
    before: list[set[int]] = [set() for _ in range(count)]
    queue: list[tuple[int, int, int, int, Any]] = []
    numbered = 0
    mail: dict[int, list[tuple[int, Any]]] = {}

    def push(at: int, target: int, origin: int, said: Any) -> None:
        nonlocal numbered
        numbered += 1
        heappush(queue, (at, numbered, target, origin, said))

    def is_paused(number: int, now: int) -> bool:
        if number == case.paused:
            return now // SECOND % 10 < 3
        return number == case.starved and now // TICK % 10 != 0

    def send(number: int, now: int) -> None:
        for target, said, length in nodes[number].out:
            seen.bytes_sent += length
            seen.messages_sent += 1
            if random.random() >= case.loss and (number, target) != case.one_way:
                push(now + 300 + random.randrange(1000), target, number, said)
        nodes[number].out.clear()

    for number in range(count):
        push(random.randrange(TICK), number, -1, None)
    while queue and queue[0][0] < seconds * SECOND:
        now, _, target, origin, said = heappop(queue)
        if now >= killed_at and not dead:
            dead = set(victims)
        if target in dead:
            continue
        if is_paused(target, now):
            if origin < 0:
                push(now + TICK, target, -1, None)
            else:
                mail.setdefault(target, []).append((origin, said))
            continue
        node = nodes[target]
        if origin >= 0:
            node.take(now, origin, said)
        else:
            for sender, kept in mail.pop(target, []):
                node.take(now, sender, kept)
            node.tick(now)
            gone = node.gone
            for number in gone - before[target]:
                if number in dead:
                    known.setdefault((target, number), now)
                else:
                    seen.false_removals += 1
            before[target] = set(gone)
            push(now + TICK, target, -1, None)
        send(target, now)
    pairs = [(n, v) for n in range(count) if n not in dead for v in victims]
    seen.detection_delays_s = [(known[pair] - killed_at) / SECOND for pair in pairs if pair in known]
    seen.missed = len(pairs) - len(seen.detection_delays_s)
    return seen


@click.command()
@click.option("--count", default=200, show_default=True)
@click.option("--seconds", default=90, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--way", type=click.Choice(list(PROTOCOLS)), multiple=True)
def main(count: int, seconds: int, seed: int, way: tuple[str, ...]) -> None:
    rows = []
    for case in CASES:
        for name in way or PROTOCOLS:
            began = time.perf_counter()
            seen = run_case(PROTOCOLS[name], case, count, seconds, seed)
            hours = count * seconds / 3600
            rows.append(
                {
                    "case": case.name,
                    "way": name,
                    "known after s": statistics.median(seen.detection_delays_s)
                    if seen.detection_delays_s
                    else None,
                    "p95 s": sorted(seen.detection_delays_s)[len(seen.detection_delays_s) * 95 // 100]
                    if seen.detection_delays_s
                    else None,
                    "missed": seen.missed,
                    "false a member-hour": seen.false_removals / hours,
                    "bytes/s": seen.bytes_sent / count / seconds,
                    "datagrams/s": seen.messages_sent / count / seconds,
                    "took s": time.perf_counter() - began,
                }
            )
            print_rows(rows[-1:], list(rows[0]), "json")
    print_rows(rows, list(rows[0]), "table")


if __name__ == "__main__":
    main()
