"""Roll-ups of one engine: counts, loads and a latency sketch for each second, ten seconds and minute.

The open bucket is an object, a sealed one is bytes. Sealing a bucket merges it into the open bucket of the
next level, so each raw event is counted once.
"""

import struct
from dataclasses import dataclass, field

from whintrail.structures.sketch import QuantileSketch

SPANS_US = (1_000_000, 10_000_000, 60_000_000)
MAX_SEALED_BUCKETS = (180, 360, 720)  # by level, memory permitting: 3 min, 1 h, 12 h
BUCKET_HEADER = struct.Struct("<qIIIIIIIfffH")
BYTES_OBJECT_OVERHEAD = 33  # of CPython's bytes objects
LIST_SLOT_BYTES = 32  # of the list that holds the object


@dataclass(slots=True)
class Bucket:
    """What happened on one engine in one interval that starts at `at_us`."""

    at_us: int = 0
    sends: int = 0
    ok: int = 0
    errors: int = 0
    full: int = 0
    lost: int = 0  # timeouts, resets, failed connects
    moved: int = 0  # cancelled or not started
    passed_over: int = 0  # by the routing policy
    max_load: float = 0.0
    load_sum: float = 0.0
    max_held: float = 0.0  # attempts of this gateway at the same time
    load_reports: int = 0
    latency: QuantileSketch = field(default_factory=QuantileSketch)  # of answers, in ms

    @property
    def load(self) -> float | None:
        return self.load_sum / self.load_reports if self.load_reports else None

    def merge(self, other: "Bucket") -> None:
        self.sends += other.sends
        self.ok += other.ok
        self.errors += other.errors
        self.full += other.full
        self.lost += other.lost
        self.moved += other.moved
        self.passed_over += other.passed_over
        self.max_load = max(self.max_load, other.max_load)
        self.load_sum += other.load_sum
        self.max_held = max(self.max_held, other.max_held)
        self.load_reports += other.load_reports
        self.latency.merge(other.latency)

    def to_bytes(self) -> bytes:
        counts = (self.sends, self.ok, self.errors, self.full, self.lost, self.moved, self.passed_over)
        loads = (self.max_load, self.load_sum, self.max_held, min(self.load_reports, 0xFFFF))
        return BUCKET_HEADER.pack(self.at_us, *counts, *loads) + self.latency.encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> "Bucket":
        """Decode a sealed bucket. Errors: ValueError."""
        if len(data) < BUCKET_HEADER.size:
            raise ValueError("truncated bucket")
        (
            at_us,
            sends,
            ok,
            errors,
            full,
            lost,
            cancelled,
            passed_over,
            max_load,
            load_sum,
            max_held,
            load_reports,
        ) = BUCKET_HEADER.unpack_from(data)
        counts = (sends, ok, errors, full, lost, cancelled, passed_over)
        return cls(
            at_us,
            *counts,
            max_load,
            load_sum,
            max_held,
            load_reports,
            QuantileSketch.decode(data[BUCKET_HEADER.size :]),
        )

    def summary(self) -> dict[str, float | int | None]:
        """Counts, loads and latency in ms, for the views."""
        answered = bool(self.latency.count)
        return {
            "at_us": self.at_us,
            "sends": self.sends,
            "ok": self.ok,
            "errors": self.errors,
            "full": self.full,
            "lost": self.lost,
            "moved": self.moved,
            "passed": self.passed_over,
            "load": self.load,
            "load_most": self.max_load if self.load_reports else None,
            "held_most": self.max_held,
            "p50_ms": self.latency.quantile(0.5) if answered else None,
            "p95_ms": self.latency.quantile(0.95) if answered else None,
        }


def sealed_bucket_bytes(sealed: bytes) -> int:
    """Memory that a sealed bucket takes, in bytes."""
    return len(sealed) + BYTES_OBJECT_OVERHEAD + LIST_SLOT_BYTES
