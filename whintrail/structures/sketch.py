"""A mergeable quantile sketch with a bounded relative error.

After Masson, Rim and Lee, "DDSketch: a fast and fully-mergeable quantile sketch with relative-error
guarantees" (VLDB 2019). Values fall into bins whose bounds grow by a constant factor, so a quantile is right
to that factor whatever the distribution, and merging adds the bins. Sparse: only bins that hold something.
"""

from math import ceil, exp, log

RELATIVE_ACCURACY = 0.02
GAMMA = (1 + RELATIVE_ACCURACY) / (1 - RELATIVE_ACCURACY)
BINS_PER_E_FOLD = 1 / log(GAMMA)
MIN_VALUE = 1e-3  # of what is told apart from zero; shared with the encoded form
BIN_OFFSET = ceil(log(MIN_VALUE) * BINS_PER_E_FOLD)
MAX_BIN = 0x3FFF


class SketchError(ValueError):
    """The bytes are no encoded sketch."""


class QuantileSketch:
    """Counts by bin. Values are not negative; any unit, one a sketch."""

    __slots__ = ("bins", "count")

    def __init__(self) -> None:
        self.bins: dict[int, int] = {}
        self.count = 0

    def add(self, value: float) -> None:
        index = ceil(log(value) * BINS_PER_E_FOLD) - BIN_OFFSET if value > MIN_VALUE else 0
        bins = self.bins
        bins[index] = bins.get(index, 0) + 1
        self.count += 1

    def merge(self, other: "QuantileSketch") -> None:
        for index, count in other.bins.items():
            self.bins[index] = self.bins.get(index, 0) + count
        self.count += other.count

    def quantile(self, share: float) -> float:
        """The value below which that share lies, right to 2%; 0.0 for an empty sketch."""
        if not self.count:
            return 0.0
        rank, seen = share * (self.count - 1), 0
        for index in sorted(self.bins):
            seen += self.bins[index]
            if seen > rank:
                return 0.0 if index == 0 else 2 * exp((index + BIN_OFFSET) / BINS_PER_E_FOLD) / (GAMMA + 1)
        raise AssertionError("bins hold fewer than were counted")

    def encode(self) -> bytes:
        """Gaps between bins and their counts as varints: about two bytes a bin."""
        out, before = bytearray(), 0
        for index in sorted(self.bins):
            _write_varint(out, min(index, MAX_BIN) - before)
            _write_varint(out, self.bins[index])
            before = min(index, MAX_BIN)
        return bytes(out)

    @classmethod
    def decode(cls, data: bytes) -> "QuantileSketch":
        """Errors: SketchError."""
        sketch, at, index = cls(), 0, 0
        while at < len(data):
            gap, at = _read_varint(data, at)
            count, at = _read_varint(data, at)
            index += gap
            if index > MAX_BIN or not count:
                raise SketchError(f"bin {index} with {count}")
            sketch.bins[index] = sketch.bins.get(index, 0) + count
            sketch.count += count
        return sketch


def _write_varint(out: bytearray, value: int) -> None:
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)


def _read_varint(data: bytes, at: int) -> tuple[int, int]:
    value = shift = 0
    while True:
        if at >= len(data) or shift > 35:
            raise SketchError("cut short")
        byte = data[at]
        at += 1
        value |= (byte & 0x7F) << shift
        if byte < 0x80:
            return value, at
        shift += 7
