"""What a gateway's probes bring goes to the other keepers of that engine, in batches. Pure.

A sighting waits at most `batch_us` for others that go to the same gateway; its age grows by the wait. Targets
have their turns at different times within that, and gateways at different phases, so that what one sends, and
what one hears, does not come in one gust. Where not all that is told is heeded, `every` spares bytes:
each target is told what one batch in so many holds, and what the others hold is dropped.
"""

from collections import Counter, deque
from dataclasses import dataclass

from whintrail.fleet import memo
from whintrail.subset.part import Part

BATCH_US = 500_000
TURNS = 8  # of a batch's time: a target's number tells in which it is served
MOST_WAITING = 8192  # sightings times targets; the oldest are dropped
AGE_AT = 2  # the byte of a sighting that holds its age


@dataclass(slots=True)
class Waiting:
    target: int
    added_us: int
    sighting: bytes


class Telling:
    """`counts`: sightings `taken`, `unknown` (of no engine of the part, or of two that share a key); and by
    target `told`, `spared` (by `every`) and `dropped` (a full queue)."""

    def __init__(
        self, part: Part, me: int, batch_us: int = BATCH_US, every: int = 1, most: int = MOST_WAITING
    ) -> None:
        self.every = every
        self.part, self.me, self.batch_us, self.most = part, me, batch_us, most
        self.waiting: deque[Waiting] = deque()
        self.counts: Counter[str] = Counter()
        self.keys: dict[int, str] = {}
        self.version = -1
        self.turn_us = max(1, batch_us // TURNS)
        self.phase_us = me * 0x9E3779B1 % (1 << 32) * self.turn_us >> 32
        self.turn: int | None = None  # the last one that was served

    def add(self, now_us: int, payload: bytes) -> None:
        """Sightings for all that keep the engine. MemoError where the payload is no memo."""
        memo.decode(payload)
        if self.version != self.part.version:
            self.keys, self.version = memo.keys_of(self.part.shown), self.part.version
        for start in range(memo.HEAD.size, len(payload), memo.ENTRY.size):
            sighting = payload[start : start + memo.ENTRY.size]
            engine = self.keys.get(int.from_bytes(sighting[:2], "big"))
            if engine is None:
                self.counts["unknown"] += 1
                continue
            self.counts["taken"] += 1
            for target in self.part.keepers(engine):
                if target != self.me:
                    self.waiting.append(Waiting(target, now_us, sighting))
            while len(self.waiting) > self.most:
                self.waiting.popleft()
                self.counts["dropped"] += 1

    def due(self, now_us: int) -> list[tuple[int, bytes]]:
        """Datagrams whose time has come, with their targets; to be asked at least each eighth of a batch."""
        turn = (now_us + self.phase_us) // self.turn_us
        passed = TURNS if self.turn is None else max(0, min(TURNS, turn - self.turn))
        self.turn = turn
        if not passed or not self.waiting:
            return []
        served = {(turn - step) % TURNS for step in range(passed)}
        batches: dict[int, list[bytes]] = {}
        stay: deque[Waiting] = deque()
        for item in self.waiting:
            if item.target % TURNS in served and (turn // TURNS + item.target // TURNS) % self.every:
                self.counts["spared"] += 1
            elif item.target % TURNS in served:
                batches.setdefault(item.target, []).append(aged(item.sighting, now_us - item.added_us))
            else:
                stay.append(item)
        self.waiting = stay
        found = []
        for target, sightings in batches.items():
            self.counts["told"] += len(sightings)
            for first in range(0, len(sightings), memo.MOST_SIGHTINGS):
                some = sightings[first : first + memo.MOST_SIGHTINGS]
                head = memo.HEAD.pack(memo.FORMAT, memo.SIGHTINGS, len(some))
                found.append((target, head + b"".join(some)))
        return found


def aged(sighting: bytes, wait_us: int) -> bytes:
    """The sighting, older by the wait, to the nearest unit."""
    age = sighting[AGE_AT] + (max(0, wait_us) + memo.AGE_UNIT_US // 2) // memo.AGE_UNIT_US
    return sighting[:AGE_AT] + bytes([min(255, age)]) + sighting[AGE_AT + 1 :]
