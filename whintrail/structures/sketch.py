"""A mergeable quantile sketch with a bounded relative error.

After Masson, Rim and Lee, "DDSketch: a fast and fully-mergeable quantile sketch with relative-error
guarantees" (VLDB 2019). Values fall into bins whose bounds grow by a constant factor, so a quantile is
accurate to that factor for any distribution, and merging adds the bins. Only non-empty bins are stored.
"""

from math import ceil, exp, log

RELATIVE_ACCURACY = 0.02
GAMMA = (1 + RELATIVE_ACCURACY) / (1 - RELATIVE_ACCURACY)  # factor between the bounds of a bin
BINS_PER_E_FOLD = 1 / log(GAMMA)
MIN_VALUE = 1e-3  # smaller values count as zero; part of the encoded format
BIN_OFFSET = ceil(log(MIN_VALUE) * BINS_PER_E_FOLD)
MAX_BIN = 0x3FFF
MAX_VARINT_SHIFT_BITS = 35


class SketchError(ValueError):
    """The bytes are not an encoded sketch."""


class QuantileSketch:
    """Counts by bin. Values must not be negative; all values of a sketch have the same unit."""

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
        """The value below which that share of the values lies, accurate to 2%; 0.0 for an empty sketch."""
        if not self.count:
            return 0.0
        rank, seen = share * (self.count - 1), 0
        for index in sorted(self.bins):
            seen += self.bins[index]
            if seen > rank:
                return 0.0 if index == 0 else 2 * exp((index + BIN_OFFSET) / BINS_PER_E_FOLD) / (GAMMA + 1)
        raise AssertionError("the bins hold fewer values than were counted")

    def encode(self) -> bytes:
        """Gaps between bins and their counts as varints: about two bytes per bin."""
        out, previous = bytearray(), 0
        for index in sorted(self.bins):
            _write_varint(out, min(index, MAX_BIN) - previous)
            _write_varint(out, self.bins[index])
            previous = min(index, MAX_BIN)
        return bytes(out)

    @classmethod
    def decode(cls, data: bytes) -> "QuantileSketch":
        """Errors: SketchError."""
        sketch, offset, index = cls(), 0, 0
        while offset < len(data):
            gap, offset = _read_varint(data, offset)
            count, offset = _read_varint(data, offset)
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


def _read_varint(data: bytes, offset: int) -> tuple[int, int]:
    """The value and the offset behind it. Errors: SketchError."""
    value = shift = 0
    while True:
        if offset >= len(data) or shift > MAX_VARINT_SHIFT_BITS:
            raise SketchError("cut short")
        byte = data[offset]
        offset += 1
        value |= (byte & 0x7F) << shift
        if byte < 0x80:
            return value, offset
        shift += 7
