"""Roll-ups of one engine: what happened in each second, ten seconds and minute, with latency sketches.

The bucket that is open is an object; a sealed one is bytes. A sealed bucket is merged into the open one of
the next level, so nothing is counted from raw events twice.
"""

import struct
from dataclasses import dataclass, field

from whintrail.structures.sketch import QuantileSketch

SPANS_US = (1_000_000, 10_000_000, 60_000_000)
MAX_SEALED_BUCKETS = (180, 360, 720)  # sealed buckets a level, where memory allows: 3 min, 1 h, 12 h
BUCKET_HEADER = struct.Struct("<qIIIIIIIfffH")
BYTES_OBJECT_OVERHEAD = 33  # what CPython adds to each piece of bytes, beside its place in a line
LIST_SLOT_BYTES = 32


@dataclass(slots=True)
class Bucket:
    at_us: int = 0
    sends: int = 0
    ok: int = 0
    errors: int = 0
    full: int = 0
    lost: int = 0  # time-outs, resets, failed connects
    moved: int = 0  # cancelled or moot
    passed_over: int = 0  # passed over in the draw
    max_load: float = 0.0
    load_sum: float = 0.0
    max_held: float = 0.0  # of our own attempts
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
        """Errors: ValueError."""
        if len(data) < BUCKET_HEADER.size:
            raise ValueError("a bucket cut short")
        at, sends, ok, errors, full, lost, moved, passed, most, total, held, loads = (
            BUCKET_HEADER.unpack_from(data)
        )
        counts = (sends, ok, errors, full, lost, moved, passed)
        return cls(at, *counts, most, total, held, loads, QuantileSketch.decode(data[BUCKET_HEADER.size :]))

    def summary(self) -> dict[str, float | int | None]:
        """For views: counts, loads and latency in ms."""
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
    """The memory of a sealed bucket, in bytes."""
    return len(sealed) + BYTES_OBJECT_OVERHEAD + LIST_SLOT_BYTES
