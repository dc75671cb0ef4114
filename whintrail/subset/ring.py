"""Arithmetic of the rings: where gateways and engines stand, and who is near whom.

A ring is the integers modulo 2**64. Gateway g stands at g times an odd constant: the steps are badly
approximable irrational turns, so that any run of numbers, and every s-th of them, lies evenly (the
three-distance theorem; Ward, Wankadia and Guliani, ACM Queue 20(2), 2022, take another low-discrepancy
sequence for the same end). A gateway that joins moves nobody. An engine stands where a hash of its id puts it
(Karger et al., STOC 1997); engines are shared out to several rings by the same hash, and since the turns
differ, gateways that are neighbours in one ring are not in another.
"""

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from hashlib import blake2b

RING_SIZE = 1 << 64
RING_MASK = RING_SIZE - 1
# The fractions of the golden ratio and of the square roots of 2, 13 (its half) and 3, times 2**64, made odd.
# No two from one square root: neighbours in one ring would be neighbours in the other.
RING_MULTIPLIERS = (0x9E3779B97F4A7C15, 0x6A09E667F3BCC909, 0x4D82B446159F360F, 0xBB67AE8584CAA73B)


def hash_pair(text: str) -> tuple[int, int]:
    """Two independent hashes of 64 bits, the same in every process."""
    data = blake2b(text.encode("utf-8", "surrogatepass"), digest_size=16).digest()
    return int.from_bytes(data[:8], "big"), int.from_bytes(data[8:], "big")


class GatewayRing:
    """Gateways of one ring in the order of their places."""

    def __init__(self, numbers: Iterable[int], multiplier: int) -> None:
        pairs = sorted((number * multiplier & RING_MASK, number) for number in numbers)
        self.positions = array("Q", (place for place, _ in pairs))
        self.numbers = array("l", (number for _, number in pairs))
        self.multiplier = multiplier

    def __len__(self) -> int:
        return len(self.positions)

    def index(self, number: int) -> int | None:
        """Where among the others a gateway stands; None if it is none of them."""
        at = bisect_left(self.positions, number * self.multiplier & RING_MASK)
        return at if at < len(self.positions) and self.numbers[at] == number else None

    def count_up_to(self, position: int) -> int:
        """How many gateways stand from 0 up to a place; the last of them is the nearest behind it."""
        return bisect_right(self.positions, position)

    def count_between(self, start: int, position: int) -> int:
        """How many gateways stand after `start`, up to `place`, clockwise; none where they are one."""
        count = self.count_up_to(position) - self.count_up_to(start)
        return count if position >= start else count + len(self.positions)

    def count_within(self, position: int, width: int) -> int:
        """How many gateways see a place within so much clockwise of their own: in (place - width, place]."""
        if width >= RING_SIZE:
            return len(self.positions)
        return self.count_between((position - width) & RING_MASK, position)

    def stable_widths(self, position: int, count: int) -> tuple[int, int]:
        """From which width on, and below which, `within` counts so many."""
        last = self.count_up_to(position) - 1
        low = high = 0
        if count:
            low = ((position - self.positions[(last - count + 1) % len(self.positions)]) & RING_MASK) + 1
        if count < len(self.positions):
            high = ((position - self.positions[(last - count) % len(self.positions)]) & RING_MASK) + 1
        return low, high or RING_SIZE + 1

    def nearest(self, position: int, count: int) -> list[int]:
        """The numbers of the nearest gateways behind a place, the nearest first."""
        last = self.count_up_to(position) - 1
        return [self.numbers[(last - step) % len(self.numbers)] for step in range(count)]
