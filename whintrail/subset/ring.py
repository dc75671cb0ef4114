"""Ring arithmetic: positions of gateways and engines, and which gateways are nearest to a position.

A ring is the integers modulo 2**64. Gateway g is at g times an odd constant: the steps are badly
approximable irrational fractions of the ring, so that any run of gateway numbers, and every s-th of them, is
spread evenly (the three-distance theorem; Ward, Wankadia and Guliani, ACM Queue 20(2), 2022, use another
low-discrepancy sequence for the same purpose). A gateway that joins moves no other one. An engine is at a
hash of its id (Karger et al., STOC 1997). The same hash distributes the engines over several rings; their
constants differ, so that gateways adjacent in one ring are not adjacent in another.
"""

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from hashlib import blake2b

RING_SIZE = 1 << 64
RING_MASK = RING_SIZE - 1
# The fractional parts of the golden ratio and of the square roots of 2, 13 (half of it) and 3, times 2**64,
# made odd. No two come from one square root: gateways adjacent in one ring would be adjacent in the other.
RING_MULTIPLIERS = (0x9E3779B97F4A7C15, 0x6A09E667F3BCC909, 0x4D82B446159F360F, 0xBB67AE8584CAA73B)


def hash_pair(text: str) -> tuple[int, int]:
    """Two independent 64-bit hashes, the same in every process."""
    data = blake2b(text.encode("utf-8", "surrogatepass"), digest_size=16).digest()
    return int.from_bytes(data[:8], "big"), int.from_bytes(data[8:], "big")


class GatewayRing:
    """The gateways of one ring, ordered by position."""

    def __init__(self, numbers: Iterable[int], multiplier: int) -> None:
        pairs = sorted((number * multiplier & RING_MASK, number) for number in numbers)
        self.positions = array("Q", (position for position, _ in pairs))
        self.numbers = array("l", (number for _, number in pairs))
        self.multiplier = multiplier

    def __len__(self) -> int:
        return len(self.positions)

    def index(self, number: int) -> int | None:
        """Index of a gateway in the order of positions; None if it is not in this ring."""
        index = bisect_left(self.positions, number * self.multiplier & RING_MASK)
        return index if index < len(self.positions) and self.numbers[index] == number else None

    def count_up_to(self, position: int) -> int:
        """Number of gateways from 0 up to a position; the last of them is the nearest before it."""
        return bisect_right(self.positions, position)

    def count_between(self, start: int, position: int) -> int:
        """Number of gateways after `start` up to `position`, clockwise; none if the two are equal."""
        count = self.count_up_to(position) - self.count_up_to(start)
        return count if position >= start else count + len(self.positions)

    def count_within(self, position: int, width: int) -> int:
        """Number of gateways whose arc of that width contains a position: in (position - width, position]."""
        if width >= RING_SIZE:
            return len(self.positions)
        return self.count_between((position - width) & RING_MASK, position)

    def stable_widths(self, position: int, count: int) -> tuple[int, int]:
        """The widths from the first on and below the second for which `count_within` gives that count."""
        last = self.count_up_to(position) - 1
        low = high = 0
        if count:
            low = ((position - self.positions[(last - count + 1) % len(self.positions)]) & RING_MASK) + 1
        if count < len(self.positions):
            high = ((position - self.positions[(last - count) % len(self.positions)]) & RING_MASK) + 1
        return low, high or RING_SIZE + 1

    def nearest(self, position: int, count: int) -> list[int]:
        """The numbers of the nearest gateways before a position, the nearest first."""
        last = self.count_up_to(position) - 1
        return [self.numbers[(last - step) % len(self.numbers)] for step in range(count)]
