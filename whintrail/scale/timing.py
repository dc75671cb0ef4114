"""Processor time and memory of one piece of work, and the bounds within which a measurement stays.

Two threads of a core that run at once slow each other by a half, and other programs come and go. So a fixed
piece of work, `spin`, runs right before and after each figure, and the figure is divided by how much slower
than at its fastest that was: it is what the work takes on a core that nobody else uses.
"""

import gc
import math
import resource
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TypeVar

import psutil  # type: ignore[import-untyped]

SPINS_S = 0.4  # to learn how fast the machine is when nothing disturbs it
LEAST_US = 300.0  # of processor time a figure: below, the clock's own cost would show
MOST_TIMES = 2000
T = TypeVar("T")


class BoundError(Exception):
    """The time or the memory that was allowed is used up; the text says which, in one line."""


def spin() -> int:
    """A piece of Python that is always the same."""
    return sum(number * number for number in range(3_000))


@dataclass(slots=True)
class Bench:
    """`until` by time.monotonic(); memory is the resident memory of this process."""

    until: float
    memory_mb: float
    fastest_us: float = math.inf  # that `spin` has taken
    slow: list[float] = field(default_factory=list)  # each time it ran: how much slower than that

    def __post_init__(self) -> None:
        began = time.monotonic()
        while time.monotonic() - began < SPINS_S:
            self.fastest_us = min(self.fastest_us, _took_us(spin, 1))

    def slower(self) -> float:
        """How many times slower than at its fastest the machine is now."""
        now_us = min(_took_us(spin, 1), _took_us(spin, 1))  # of two: an interrupt is not the machine's pace
        self.fastest_us = min(self.fastest_us, now_us)
        self.slow.append(now_us / self.fastest_us)
        return self.slow[-1]

    def fair(self, work: Callable[[], float]) -> float:
        """A time that `work` gives, as on an undisturbed core."""
        before = self.slower()
        took = work()
        return took / ((before + self.slower()) / 2)

    def check(self) -> None:
        """Errors: BoundError."""
        if time.monotonic() > self.until:
            raise BoundError("the time allowed is over")
        held_mb = psutil.Process().memory_info().rss / (1 << 20)
        if held_mb > self.memory_mb:
            raise BoundError(f"{held_mb:.0f} MB of memory, {self.memory_mb:.0f} allowed")


def cpu_us(
    work: Callable[[], object],
    repeats: int,
    bench: Bench,
    before: Callable[[], object] | None = None,
    alone: bool = False,
) -> list[float]:
    """Microseconds of this process's processor time that `work` takes, so many figures.

    Each figure is the mean over as many turns as make it long against the clock's own cost; `before` runs
    ahead of each figure and does not count. `alone`: one turn a figure, where each needs what `before` does.
    """
    times = 1
    if before is not None:
        before()
    if not alone:
        while times < MOST_TIMES and _took_us(work, times) < LEAST_US:
            times *= 4
    figures = []
    for _ in range(repeats):
        bench.check()
        if before is not None:
            before()
        figures.append(bench.fair(lambda: _took_us(work, times) / times))
    return figures


def _took_us(work: Callable[[], object], times: int) -> float:
    began = time.process_time_ns()
    for _ in range(times):
        work()
    return (time.process_time_ns() - began) / 1000


def held_bytes(make: Callable[[], T]) -> tuple[int, T]:
    """What `make` made, and how many bytes of Python's memory stay in use for it."""
    with traced() as now:
        before = now()
        made = make()
        return now() - before, made


@contextmanager
def traced() -> Iterator[Callable[[], int]]:
    """Python's allocations are traced meanwhile: gives how many bytes of them are in use, garbage swept."""

    def now() -> int:
        gc.collect()
        return tracemalloc.get_traced_memory()[0]

    tracemalloc.start()
    try:
        yield now
    finally:
        tracemalloc.stop()


@contextmanager
def collector(thresholds: tuple[int, int, int]) -> Iterator[None]:
    """The garbage collector as a gateway sets it, so that its share of a cost is a gateway's."""
    before = gc.get_threshold()
    gc.collect()
    gc.set_threshold(*thresholds)
    try:
        yield
    finally:
        gc.set_threshold(*before)


def peak_mb() -> float:
    """The greatest resident memory of this process so far."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
