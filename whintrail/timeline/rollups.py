"""Roll-ups of one engine: what happened in each second, ten seconds and minute, with latency sketches.

The bucket that is open is an object; a sealed one is bytes. A sealed bucket is merged into the open one of
the next level, so nothing is counted from raw events twice.
"""

import struct
from dataclasses import dataclass, field

from whintrail.structures.sketch import Sketch

SPANS_US = (1_000_000, 10_000_000, 60_000_000)
KEPT = (180, 360, 720)  # sealed buckets a level, where memory allows: 3 min, 1 h, 12 h
HEAD = struct.Struct("<qIIIIIIIfffH")
OBJECT_BYTES = 33  # what CPython adds to each piece of bytes, beside its place in a line
PLACE_BYTES = 32


@dataclass(slots=True)
class Bucket:
    at_us: int = 0
    sends: int = 0
    ok: int = 0
    errors: int = 0
    full: int = 0
    lost: int = 0  # time-outs, resets, failed connects
    moved: int = 0  # cancelled or moot
    passed: int = 0  # passed over in the draw
    load_most: float = 0.0
    load_sum: float = 0.0
    held_most: float = 0.0  # of our own attempts
    loads: int = 0
    latency: Sketch = field(default_factory=Sketch)  # of answers, in ms

    @property
    def load(self) -> float | None:
        return self.load_sum / self.loads if self.loads else None

    def merge(self, other: "Bucket") -> None:
        self.sends += other.sends
        self.ok += other.ok
        self.errors += other.errors
        self.full += other.full
        self.lost += other.lost
        self.moved += other.moved
        self.passed += other.passed
        self.load_most = max(self.load_most, other.load_most)
        self.load_sum += other.load_sum
        self.held_most = max(self.held_most, other.held_most)
        self.loads += other.loads
        self.latency.merge(other.latency)

    def seal(self) -> bytes:
        counts = (self.sends, self.ok, self.errors, self.full, self.lost, self.moved, self.passed)
        loads = (self.load_most, self.load_sum, self.held_most, min(self.loads, 0xFFFF))
        return HEAD.pack(self.at_us, *counts, *loads) + self.latency.encode()

    @classmethod
    def open(cls, data: bytes) -> "Bucket":
        """Errors: ValueError."""
        if len(data) < HEAD.size:
            raise ValueError("a bucket cut short")
        at, sends, ok, errors, full, lost, moved, passed, most, total, held, loads = HEAD.unpack_from(data)
        counts = (sends, ok, errors, full, lost, moved, passed)
        return cls(at, *counts, most, total, held, loads, Sketch.decode(data[HEAD.size :]))

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
            "passed": self.passed,
            "load": self.load,
            "load_most": self.load_most if self.loads else None,
            "held_most": self.held_most,
            "p50_ms": self.latency.quantile(0.5) if answered else None,
            "p95_ms": self.latency.quantile(0.95) if answered else None,
        }


def cost(sealed: bytes) -> int:
    """The memory of a sealed bucket, in bytes."""
    return len(sealed) + OBJECT_BYTES + PLACE_BYTES
