"""Sends this gateway's probe reports to the other holders of the probed engine, in batches. Pure.

A report waits at most one batch interval for others to the same gateway; its age grows by the wait. The
interval has several slots: a target's number determines in which one it is served, and gateways start at
different phases, so that neither what one sends nor what one receives comes in a burst. Where receivers use
only a part of the reports, `sample_every` saves bytes: each target gets one batch in that many, and the
reports of the other batches are dropped.
"""

from collections import Counter, deque
from dataclasses import dataclass

from whintrail.fleet import probe_reports
from whintrail.subset.assignment import SubsetAssignment

BATCH_INTERVAL_US = 500_000
SLOTS_PER_BATCH = 8
MAX_QUEUED_REPORTS = 8192  # reports times targets; the oldest are dropped
AGE_BYTE_OFFSET = 2  # in an encoded report


@dataclass(slots=True)
class QueuedReport:
    """An encoded report, and since when it waits for the next batch to its target."""

    target: int
    added_us: int
    report: bytes


class ProbeReportSender:
    """`counts`: reports `taken`, `unknown` (of an engine outside the subset, or of two that share a key); and
    by target `told`, `spared` (by `sample_every`) and `dropped` (a full queue)."""

    def __init__(
        self,
        assignment: SubsetAssignment,
        local_number: int,
        batch_us: int = BATCH_INTERVAL_US,
        sample_every: int = 1,
        max_queued: int = MAX_QUEUED_REPORTS,
    ) -> None:
        self.sample_every = sample_every
        self.assignment, self.local_number = assignment, local_number
        self.batch_us, self.max_queued = batch_us, max_queued
        self.queue: deque[QueuedReport] = deque()
        self.counts: Counter[str] = Counter()
        self.engines_by_key: dict[int, str] = {}
        self.revision = -1  # of the assignment that `engines_by_key` belongs to
        self.slot_us = max(1, batch_us // SLOTS_PER_BATCH)
        self.phase_us = local_number * 0x9E3779B1 % (1 << 32) * self.slot_us >> 32
        self.last_slot: int | None = None  # the last one that was served

    def enqueue(self, now_us: int, payload: bytes) -> None:
        """Queue encoded reports for all other holders. ProbeReportError if the payload can't be decoded."""
        probe_reports.decode(payload)
        if self.revision != self.assignment.revision:
            self.engines_by_key = probe_reports.engines_by_key(self.assignment.kept)
            self.revision = self.assignment.revision
        entry_bytes = probe_reports.ENTRY.size
        for start in range(probe_reports.HEADER.size, len(payload), entry_bytes):
            report = payload[start : start + entry_bytes]
            engine = self.engines_by_key.get(int.from_bytes(report[:2], "big"))
            if engine is None:
                self.counts["unknown"] += 1
                continue
            self.counts["taken"] += 1
            for target in self.assignment.holders_of(engine):
                if target != self.local_number:
                    self.queue.append(QueuedReport(target, now_us, report))
            while len(self.queue) > self.max_queued:
                self.queue.popleft()
                self.counts["dropped"] += 1

    def due_datagrams(self, now_us: int) -> list[tuple[int, bytes]]:
        """The datagrams to send now, with their targets. To be called at least once per slot."""
        slot = (now_us + self.phase_us) // self.slot_us
        elapsed = (
            SLOTS_PER_BATCH if self.last_slot is None else max(0, min(SLOTS_PER_BATCH, slot - self.last_slot))
        )
        self.last_slot = slot
        if not elapsed or not self.queue:
            return []
        served = {(slot - step) % SLOTS_PER_BATCH for step in range(elapsed)}
        batches: dict[int, list[bytes]] = {}
        remaining: deque[QueuedReport] = deque()
        for item in self.queue:
            if (
                item.target % SLOTS_PER_BATCH in served
                and (slot // SLOTS_PER_BATCH + item.target // SLOTS_PER_BATCH) % self.sample_every
            ):
                self.counts["spared"] += 1
            elif item.target % SLOTS_PER_BATCH in served:
                batches.setdefault(item.target, []).append(add_age(item.report, now_us - item.added_us))
            else:
                remaining.append(item)
        self.queue = remaining
        datagrams = []
        for target, reports in batches.items():
            self.counts["told"] += len(reports)
            for first in range(0, len(reports), probe_reports.MAX_REPORTS):
                chunk = reports[first : first + probe_reports.MAX_REPORTS]
                header = probe_reports.HEADER.pack(
                    probe_reports.FORMAT, probe_reports.PROBE_REPORTS, len(chunk)
                )
                datagrams.append((target, header + b"".join(chunk)))
        return datagrams


def add_age(report: bytes, wait_us: int) -> bytes:
    """The encoded report, older by the wait, rounded to the nearest unit."""
    age = (
        report[AGE_BYTE_OFFSET]
        + (max(0, wait_us) + probe_reports.AGE_UNIT_US // 2) // probe_reports.AGE_UNIT_US
    )
    return report[:AGE_BYTE_OFFSET] + bytes([min(255, age)]) + report[AGE_BYTE_OFFSET + 1 :]
