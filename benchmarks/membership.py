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

from whintrail.cli.output import emit
from whintrail.fleet.membership import Life, Membership, Pace
from whintrail.fleet.wire import HEAD, TAIL, size

SECOND = 1_000_000
TICK = 100_000
BEAT_BYTES = HEAD.size + 2 + TAIL.size
PAIR_BYTES, PAIRS = 7, 30


class Heartbeats:
    """Each tells all that it lives, once a second; silence for `limit` is an end."""

    def __init__(self, me: int, count: int, now: int, random: Random, limit_us: int = 5 * SECOND) -> None:
        self.me, self.limit = me, limit_us
        self.last = [now] * count
        self.gone: set[int] = set()
        self.next = now + random.randrange(SECOND)
        self.out: list[tuple[int, Any, int]] = []

    def tick(self, now: int) -> None:
        if now >= self.next:
            self.next += SECOND
            self.out += [(n, None, BEAT_BYTES) for n in range(len(self.last)) if n != self.me]
        for number, at in enumerate(self.last):
            if number != self.me and now - at > self.limit:
                self.gone.add(number)

    def take(self, now: int, origin: int, said: Any) -> None:
        self.last[origin] = now
        self.gone.discard(origin)


class Gossiped:
    """Each tells three others, drawn at random, the newest counters that it knows; a counter that stands
    still for `limit` is an end (van Renesse, Minsky, Hayden: "A Gossip-Style Failure Detection Service")."""

    def __init__(self, me: int, count: int, now: int, random: Random, limit_us: int = 10 * SECOND) -> None:
        self.me, self.random, self.limit = me, random, limit_us
        self.counters, self.moved = [0] * count, [now] * count
        self.gone: set[int] = set()
        self.next = now + random.randrange(SECOND)
        self.out: list[tuple[int, Any, int]] = []

    def tick(self, now: int) -> None:
        if now >= self.next:
            self.next += SECOND
            self.counters[self.me] += 1
            self.moved[self.me] = now
            order = sorted(range(len(self.moved)), key=self.moved.__getitem__, reverse=True)
            told = [(n, self.counters[n]) for n in order[:PAIRS]]
            rest = self.random.sample(order, min(PAIRS, len(order)))
            for part in (told, [(n, self.counters[n]) for n in rest]):
                for target in self.random.sample(range(len(self.moved)), 3):
                    if target != self.me:
                        self.out.append((target, part, BEAT_BYTES + PAIR_BYTES * len(part)))
        for number, at in enumerate(self.moved):
            if number != self.me and now - at > self.limit:
                self.gone.add(number)

    def take(self, now: int, origin: int, said: Any) -> None:
        for number, counter in said:
            if counter > self.counters[number]:
                self.counters[number], self.moved[number] = counter, now
                self.gone.discard(number)


class Swim:
    def __init__(self, me: int, count: int, now: int, random: Random, pace: Pace) -> None:
        self.core = Membership(me, count, me + 1, 1, now, random, pace)
        self.core.assume([(number + 1, 1) for number in range(count)])  # all know one another already
        self.out: list[tuple[int, Any, int]] = []

    @property
    def gone(self) -> set[int]:
        return {m.number for m in self.core.members if m.life is Life.GONE}

    def _flush(self) -> None:
        incarnation = self.core.mine.incarnation
        self.out += [(target, (incarnation, said), size(said)) for target, said in self.core.out]
        self.core.out.clear()

    def tick(self, now: int) -> None:
        self.core.tick(now)
        self._flush()

    def take(self, now: int, origin: int, said: Any) -> None:
        self.core.heard(now, origin, origin + 1, said[0], said[1])
        self._flush()


Make = Callable[[int, int, int, Random], Any]
WAYS: dict[str, Make] = {
    "all-to-all heartbeats": Heartbeats,
    "gossiped heartbeats": Gossiped,
    "SWIM": partial(Swim, pace=Pace(lifeguard=False, asks=0, retell=3.0)),
    "SWIM with Lifeguard": partial(Swim, pace=Pace(asks=0, retell=3.0)),
    "the same, asked before the end": partial(Swim, pace=Pace()),
}


@dataclass
class Case:
    name: str
    loss: float = 0.0
    one_way: tuple[int, int] | None = None
    stopped: int | None = None  # for 3 s, every 10 s
    starved: int | None = None  # runs a tenth of the time


CASES = [
    Case("nothing lost"),
    Case("5% lost", 0.05),
    Case("20% lost", 0.20),
    Case("a one-way link", one_way=(5, 6)),
    Case("one stopped for 3 s", 0.05, stopped=7),
    Case("one starved of its core", 0.05, starved=7),
]


@dataclass
class Seen:
    delays: list[float] = field(default_factory=list)  # until a member has it, in seconds
    missed: int = 0
    false: int = 0
    bytes: int = 0
    messages: int = 0


def play(make: Make, case: Case, count: int, seconds: int, seed: int) -> Seen:
    random, seen = Random(seed), Seen()
    nodes = [make(n, count, 0, Random(random.getrandbits(32))) for n in range(count)]
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

    def away(number: int, now: int) -> bool:
        if number == case.stopped:
            return now // SECOND % 10 < 3
        return number == case.starved and now // TICK % 10 != 0

    def send(number: int, now: int) -> None:
        for target, said, length in nodes[number].out:
            seen.bytes += length
            seen.messages += 1
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
        if away(target, now):
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
                    seen.false += 1
            before[target] = set(gone)
            push(now + TICK, target, -1, None)
        send(target, now)
    pairs = [(n, v) for n in range(count) if n not in dead for v in victims]
    seen.delays = [(known[pair] - killed_at) / SECOND for pair in pairs if pair in known]
    seen.missed = len(pairs) - len(seen.delays)
    return seen


@click.command()
@click.option("--count", default=200, show_default=True)
@click.option("--seconds", default=90, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--way", type=click.Choice(list(WAYS)), multiple=True)
def main(count: int, seconds: int, seed: int, way: tuple[str, ...]) -> None:
    rows = []
    for case in CASES:
        for name in way or WAYS:
            began = time.perf_counter()
            seen = play(WAYS[name], case, count, seconds, seed)
            hours = count * seconds / 3600
            rows.append(
                {
                    "case": case.name,
                    "way": name,
                    "known after s": statistics.median(seen.delays) if seen.delays else None,
                    "p95 s": sorted(seen.delays)[len(seen.delays) * 95 // 100] if seen.delays else None,
                    "missed": seen.missed,
                    "false a member-hour": seen.false / hours,
                    "bytes/s": seen.bytes / count / seconds,
                    "datagrams/s": seen.messages / count / seconds,
                    "took s": time.perf_counter() - began,
                }
            )
            emit(rows[-1:], list(rows[0]), "json")
    emit(rows, list(rows[0]), "table")


if __name__ == "__main__":
    main()
