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

CALIBRATION_S = 0.4  # to learn how fast the machine is when nothing disturbs it
MIN_FIGURE_US = 300.0  # of processor time a figure: below, the clock's own cost would show
MAX_ITERATIONS = 2000
ResultT = TypeVar("ResultT")


class BoundError(Exception):
    """The time or the memory that was allowed is used up; the text says which, in one line."""


def run_reference_work() -> int:
    """A piece of Python that is always the same."""
    return sum(number * number for number in range(3_000))


@dataclass(slots=True)
class Bench:
    """`until` by time.monotonic(); memory is the resident memory of this process."""

    deadline_s: float
    max_memory_mb: float
    fastest_us: float = math.inf  # that `spin` has taken
    slowdowns: list[float] = field(default_factory=list)  # each time it ran: how much slower than that

    def __post_init__(self) -> None:
        began = time.monotonic()
        while time.monotonic() - began < CALIBRATION_S:
            self.fastest_us = min(self.fastest_us, _cpu_time_us(run_reference_work, 1))

    def measure_slowdown(self) -> float:
        """How many times slower than at its fastest the machine is now."""
        now_us = min(
            _cpu_time_us(run_reference_work, 1), _cpu_time_us(run_reference_work, 1)
        )  # of two: an interrupt is not the machine's pace
        self.fastest_us = min(self.fastest_us, now_us)
        self.slowdowns.append(now_us / self.fastest_us)
        return self.slowdowns[-1]

    def measure_undisturbed(self, work: Callable[[], float]) -> float:
        """A time that `work` gives, as on an undisturbed core."""
        before = self.measure_slowdown()
        took = work()
        return took / ((before + self.measure_slowdown()) / 2)

    def check_bounds(self) -> None:
        """Errors: BoundError."""
        if time.monotonic() > self.deadline_s:
            raise BoundError("the time allowed is over")
        held_mb = psutil.Process().memory_info().rss / (1 << 20)
        if held_mb > self.max_memory_mb:
            raise BoundError(f"{held_mb:.0f} MB of memory, {self.max_memory_mb:.0f} allowed")


def measure_cpu_us(
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
        while times < MAX_ITERATIONS and _cpu_time_us(work, times) < MIN_FIGURE_US:
            times *= 4
    figures = []
    for _ in range(repeats):
        bench.check_bounds()
        if before is not None:
            before()
        figures.append(bench.measure_undisturbed(lambda: _cpu_time_us(work, times) / times))
    return figures


def _cpu_time_us(work: Callable[[], object], iterations: int) -> float:
    began = time.process_time_ns()
    for _ in range(iterations):
        work()
    return (time.process_time_ns() - began) / 1000


def measure_held_bytes(make: Callable[[], ResultT]) -> tuple[int, ResultT]:
    """What `make` made, and how many bytes of Python's memory stay in use for it."""
    with trace_allocations() as now:
        before = now()
        made = make()
        return now() - before, made


@contextmanager
def trace_allocations() -> Iterator[Callable[[], int]]:
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
def gc_thresholds(thresholds: tuple[int, int, int]) -> Iterator[None]:
    """The garbage collector as a gateway sets it, so that its share of a cost is a gateway's."""
    before = gc.get_threshold()
    gc.collect()
    gc.set_threshold(*thresholds)
    try:
        yield
    finally:
        gc.set_threshold(*before)


def peak_memory_mb() -> float:
    """The greatest resident memory of this process so far."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
