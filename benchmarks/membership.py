"""Failure detectors at 200 gateways in simulated time: detection delay, false removals, bytes.

    python -m benchmarks.membership --count 200 --seconds 120 --seed 1

Compares all-to-all heartbeats, gossiped heartbeats, SWIM, and SWIM with Lifeguard
(`whintrail.fleet.membership`), each with 0, 5 and 20% of datagrams lost, with a one-way link, with a member
paused for 3 s and with a starved one. Three members are killed; a removal of any other one is false.
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

SECOND = 1_000_000  # in microseconds
TICK = 100_000  # in microseconds
HEARTBEAT_BYTES = HEADER.size + 2 + TRAILER.size
PAIR_BYTES = 7
PAIRS_PER_MESSAGE = 30


class AllToAllHeartbeats:
    """Each member sends a heartbeat to all others once a second; silence for `limit_us` removes it."""

    def __init__(
        self, local_number: int, count: int, now: int, random: Random, limit_us: int = 5 * SECOND
    ) -> None:
        self.local_number, self.timeout_us = local_number, limit_us
        self.last_received = [now] * count
        self.removed: set[int] = set()
        self.next_beat_at = now + random.randrange(SECOND)
        self.outbox: list[tuple[int, Any, int]] = []

    def tick(self, now: int) -> None:
        """Sends the heartbeat when due, and removes members silent for too long."""
        if now >= self.next_beat_at:
            self.next_beat_at += SECOND
            self.outbox += [
                (n, None, HEARTBEAT_BYTES) for n in range(len(self.last_received)) if n != self.local_number
            ]
        for number, at in enumerate(self.last_received):
            if number != self.local_number and now - at > self.timeout_us:
                self.removed.add(number)

    def receive(self, now: int, sender: int, message: Any) -> None:
        """Notes a heartbeat; a removed sender is a member again."""
        self.last_received[sender] = now
        self.removed.discard(sender)


class GossipHeartbeats:
    """Each member sends the latest heartbeat counters that it knows to three random others.

    A counter that stands still for `limit_us` removes its member (van Renesse, Minsky, Hayden: "A
    Gossip-Style Failure Detection Service").
    """

    def __init__(
        self, local_number: int, count: int, now: int, random: Random, limit_us: int = 10 * SECOND
    ) -> None:
        self.local_number, self.random, self.timeout_us = local_number, random, limit_us
        self.counters, self.changed_at = [0] * count, [now] * count
        self.removed: set[int] = set()
        self.next_gossip_at = now + random.randrange(SECOND)
        self.outbox: list[tuple[int, Any, int]] = []

    def tick(self, now: int) -> None:
        """Raises and sends counters when due, and removes members whose counter stood still for too long."""
        if now >= self.next_gossip_at:
            self.next_gossip_at += SECOND
            self.counters[self.local_number] += 1
            self.changed_at[self.local_number] = now
            order = sorted(range(len(self.changed_at)), key=self.changed_at.__getitem__, reverse=True)
            latest = [(n, self.counters[n]) for n in order[:PAIRS_PER_MESSAGE]]
            random_rest = self.random.sample(order, min(PAIRS_PER_MESSAGE, len(order)))
            for pairs in (latest, [(n, self.counters[n]) for n in random_rest]):
                for target in self.random.sample(range(len(self.changed_at)), 3):
                    if target != self.local_number:
                        self.outbox.append((target, pairs, HEARTBEAT_BYTES + PAIR_BYTES * len(pairs)))
        for number, at in enumerate(self.changed_at):
            if number != self.local_number and now - at > self.timeout_us:
                self.removed.add(number)

    def receive(self, now: int, sender: int, message: Any) -> None:
        """Takes over the counters that are newer; their members are members again."""
        for number, counter in message:
            if counter > self.counters[number]:
                self.counters[number], self.changed_at[number] = counter, now
                self.removed.discard(number)


class SwimMember:
    """A member of `whintrail.fleet.membership`."""

    def __init__(
        self, local_number: int, count: int, now: int, random: Random, timing: MembershipTiming
    ) -> None:
        self.membership = Membership(local_number, count, local_number + 1, 1, now, random, timing)
        # All members know each other from the start.
        self.membership.assume_alive([(number + 1, 1) for number in range(count)])
        self.outbox: list[tuple[int, Any, int]] = []

    @property
    def removed(self) -> set[int]:
        """The numbers of the members that this one considers gone."""
        return {m.number for m in self.membership.members if m.state is MemberState.GONE}

    def _flush(self) -> None:
        incarnation = self.membership.local.incarnation
        self.outbox += [
            (target, (incarnation, message), datagram_size(message))
            for target, message in self.membership.outbox
        ]
        self.membership.outbox.clear()

    def tick(self, now: int) -> None:
        """Runs the timers of the member."""
        self.membership.tick(now)
        self._flush()

    def receive(self, now: int, sender: int, message: Any) -> None:
        """Passes a message on to the member."""
        self.membership.receive(now, sender, sender + 1, message[0], message[1])
        self._flush()


MemberFactory = Callable[[int, int, int, Random], Any]
PROTOCOLS: dict[str, MemberFactory] = {
    "all-to-all heartbeats": AllToAllHeartbeats,
    "gossiped heartbeats": GossipHeartbeats,
    "SWIM": partial(
        SwimMember, timing=MembershipTiming(lifeguard=False, direct_pings=0, retransmit_factor=3.0)
    ),
    "SWIM with Lifeguard": partial(
        SwimMember, timing=MembershipTiming(direct_pings=0, retransmit_factor=3.0)
    ),
    "the same, asked before the end": partial(SwimMember, timing=MembershipTiming()),
}


@dataclass
class Case:
    """Faults that apply for the whole run."""

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
    """The results of one run."""

    detection_delays_s: list[float] = field(default_factory=list)  # from a crash until a member knows it
    missed: int = 0
    false_removals: int = 0
    bytes_sent: int = 0
    messages_sent: int = 0


def run_case(factory: MemberFactory, case: Case, count: int, seconds: int, seed: int) -> Measurement:
    """Runs one failure detector in all members of a fleet, with the faults of a case."""
    random, measurement = Random(seed), Measurement()
    nodes = [factory(n, count, 0, Random(random.getrandbits(32))) for n in range(count)]
    victims = random.sample([n for n in range(count) if n not in (5, 6, 7)], 3)
    killed_at = seconds * SECOND // 3
    dead: set[int] = set()
    known: dict[tuple[int, int], int] = {}
    before: list[set[int]] = [set() for _ in range(count)]
    queue: list[tuple[int, int, int, int, Any]] = []
    sequence = 0
    held_messages: dict[int, list[tuple[int, Any]]] = {}

    def push(at: int, target: int, sender: int, message: Any) -> None:
        nonlocal sequence
        sequence += 1
        heappush(queue, (at, sequence, target, sender, message))

    def is_paused(number: int, now: int) -> bool:
        if number == case.paused:
            return now // SECOND % 10 < 3
        return number == case.starved and now // TICK % 10 != 0

    def send(number: int, now: int) -> None:
        for target, message, length in nodes[number].outbox:
            measurement.bytes_sent += length
            measurement.messages_sent += 1
            if random.random() >= case.loss and (number, target) != case.one_way:
                push(now + 300 + random.randrange(1000), target, number, message)
        nodes[number].outbox.clear()

    for number in range(count):
        push(random.randrange(TICK), number, -1, None)
    while queue and queue[0][0] < seconds * SECOND:
        now, _, target, sender, message = heappop(queue)
        if now >= killed_at and not dead:
            dead = set(victims)
        if target in dead:
            continue
        if is_paused(target, now):
            if sender < 0:
                push(now + TICK, target, -1, None)
            else:
                held_messages.setdefault(target, []).append((sender, message))
            continue
        node = nodes[target]
        if sender >= 0:
            node.receive(now, sender, message)
        else:
            for held_sender, held_message in held_messages.pop(target, []):
                node.receive(now, held_sender, held_message)
            node.tick(now)
            removed = node.removed
            for number in removed - before[target]:
                if number in dead:
                    known.setdefault((target, number), now)
                else:
                    measurement.false_removals += 1
            before[target] = set(removed)
            push(now + TICK, target, -1, None)
        send(target, now)
    pairs = [(n, v) for n in range(count) if n not in dead for v in victims]
    measurement.detection_delays_s = [(known[pair] - killed_at) / SECOND for pair in pairs if pair in known]
    measurement.missed = len(pairs) - len(measurement.detection_delays_s)
    return measurement


@click.command()
@click.option("--count", default=200, show_default=True)
@click.option("--seconds", default=90, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--way", type=click.Choice(list(PROTOCOLS)), multiple=True)
def main(count: int, seconds: int, seed: int, way: tuple[str, ...]) -> None:
    rows = []
    for case in CASES:
        for name in way or PROTOCOLS:
            started_at = time.perf_counter()
            measurement = run_case(PROTOCOLS[name], case, count, seconds, seed)
            hours = count * seconds / 3600
            rows.append(
                {
                    "case": case.name,
                    "way": name,
                    "known after s": statistics.median(measurement.detection_delays_s)
                    if measurement.detection_delays_s
                    else None,
                    "p95 s": sorted(measurement.detection_delays_s)[
                        len(measurement.detection_delays_s) * 95 // 100
                    ]
                    if measurement.detection_delays_s
                    else None,
                    "missed": measurement.missed,
                    "false a member-hour": measurement.false_removals / hours,
                    "bytes/s": measurement.bytes_sent / count / seconds,
                    "datagrams/s": measurement.messages_sent / count / seconds,
                    "took s": time.perf_counter() - started_at,
                }
            )
            print_rows(rows[-1:], list(rows[0]), "json")
    print_rows(rows, list(rows[0]), "table")


if __name__ == "__main__":
    main()
