"""What a gateway's probes bring goes to the other keepers of that engine, in batches. Pure.

A sighting waits at most `batch_us` for others that go to the same gateway; its age grows by the wait. Targets
have their turns at different times within that, and gateways at different phases, so that what one sends, and
what one hears, does not come in one gust. Where not all that is told is heeded, `every` spares bytes:
each target is told what one batch in so many holds, and what the others hold is dropped.
"""

from collections import Counter, deque
from dataclasses import dataclass

from whintrail.fleet import probe_reports
from whintrail.subset.assignment import SubsetAssignment

BATCH_INTERVAL_US = 500_000
SLOTS_PER_BATCH = 8  # of a batch's time: a target's number tells in which it is served
MAX_QUEUED_REPORTS = 8192  # sightings times targets; the oldest are dropped
AGE_BYTE_OFFSET = 2  # the byte of a sighting that holds its age


@dataclass(slots=True)
class QueuedReport:
    target: int
    added_us: int
    report: bytes


class ProbeReportSender:
    """`counts`: sightings `taken`, `unknown` (of no engine of the part, or of two that share a key); and by
    target `told`, `spared` (by `every`) and `dropped` (a full queue)."""

    def __init__(
        self,
        assignment: SubsetAssignment,
        local_number: int,
        batch_us: int = BATCH_INTERVAL_US,
        sample_every: int = 1,
        max_queued: int = MAX_QUEUED_REPORTS,
    ) -> None:
        self.sample_every = sample_every
        self.assignment, self.local_number, self.batch_us, self.max_queued = (
            assignment,
            local_number,
            batch_us,
            max_queued,
        )
        self.queue: deque[QueuedReport] = deque()
        self.counts: Counter[str] = Counter()
        self.engines_by_key: dict[int, str] = {}
        self.revision = -1
        self.slot_us = max(1, batch_us // SLOTS_PER_BATCH)
        self.phase_us = local_number * 0x9E3779B1 % (1 << 32) * self.slot_us >> 32
        self.last_slot: int | None = None  # the last one that was served

    def enqueue(self, now_us: int, payload: bytes) -> None:
        """Sightings for all that keep the engine. MemoError where the payload is no memo."""
        probe_reports.decode(payload)
        if self.revision != self.assignment.revision:
            self.engines_by_key, self.revision = (
                probe_reports.engines_by_key(self.assignment.kept),
                self.assignment.revision,
            )
        for start in range(probe_reports.HEADER.size, len(payload), probe_reports.ENTRY.size):
            sighting = payload[start : start + probe_reports.ENTRY.size]
            engine = self.engines_by_key.get(int.from_bytes(sighting[:2], "big"))
            if engine is None:
                self.counts["unknown"] += 1
                continue
            self.counts["taken"] += 1
            for target in self.assignment.holders_of(engine):
                if target != self.local_number:
                    self.queue.append(QueuedReport(target, now_us, sighting))
            while len(self.queue) > self.max_queued:
                self.queue.popleft()
                self.counts["dropped"] += 1

    def due_datagrams(self, now_us: int) -> list[tuple[int, bytes]]:
        """Datagrams whose time has come, with their targets; to be asked at least each eighth of a batch."""
        turn = (now_us + self.phase_us) // self.slot_us
        passed = (
            SLOTS_PER_BATCH if self.last_slot is None else max(0, min(SLOTS_PER_BATCH, turn - self.last_slot))
        )
        self.last_slot = turn
        if not passed or not self.queue:
            return []
        served = {(turn - step) % SLOTS_PER_BATCH for step in range(passed)}
        batches: dict[int, list[bytes]] = {}
        stay: deque[QueuedReport] = deque()
        for item in self.queue:
            if (
                item.target % SLOTS_PER_BATCH in served
                and (turn // SLOTS_PER_BATCH + item.target // SLOTS_PER_BATCH) % self.sample_every
            ):
                self.counts["spared"] += 1
            elif item.target % SLOTS_PER_BATCH in served:
                batches.setdefault(item.target, []).append(add_age(item.report, now_us - item.added_us))
            else:
                stay.append(item)
        self.queue = stay
        found = []
        for target, sightings in batches.items():
            self.counts["told"] += len(sightings)
            for first in range(0, len(sightings), probe_reports.MAX_REPORTS):
                some = sightings[first : first + probe_reports.MAX_REPORTS]
                head = probe_reports.HEADER.pack(probe_reports.FORMAT, probe_reports.PROBE_REPORTS, len(some))
                found.append((target, head + b"".join(some)))
        return found


def add_age(report: bytes, wait_us: int) -> bytes:
    """The sighting, older by the wait, to the nearest unit."""
    age = (
        report[AGE_BYTE_OFFSET]
        + (max(0, wait_us) + probe_reports.AGE_UNIT_US // 2) // probe_reports.AGE_UNIT_US
    )
    return report[:AGE_BYTE_OFFSET] + bytes([min(255, age)]) + report[AGE_BYTE_OFFSET + 1 :]
