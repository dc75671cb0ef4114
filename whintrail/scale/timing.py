"""Measures processor time and memory of a piece of work, within bounds on the measurement itself.

Two hardware threads of a core slow each other by a half when both are busy, and other programs come and go.
So a fixed reference workload runs right before and after each figure, and the figure is divided by the
slowdown of that workload relative to its fastest run. The result is the time on an otherwise idle core.
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

CALIBRATION_S = 0.4  # to find the fastest run of the reference workload
MIN_FIGURE_US = 300.0  # of processor time per figure; below, reading the clock would distort it
MAX_ITERATIONS = 2000
ResultT = TypeVar("ResultT")


class BoundError(Exception):
    """The allowed time or memory is used up; the one-line text says which."""


def run_reference_work() -> int:
    """Run a fixed piece of Python as a reference for the speed of the machine."""
    return sum(number * number for number in range(3_000))


@dataclass(slots=True)
class Bench:
    """Bounds of a measurement and the speed of the machine.

    `deadline_s` is by time.monotonic(); memory is the resident memory of this process.
    """

    deadline_s: float
    max_memory_mb: float
    fastest_us: float = math.inf  # of the reference workload
    slowdowns: list[float] = field(default_factory=list)  # of each run, relative to the fastest

    def __post_init__(self) -> None:
        started_at = time.monotonic()
        while time.monotonic() - started_at < CALIBRATION_S:
            self.fastest_us = min(self.fastest_us, _cpu_time_us(run_reference_work, 1))

    def measure_slowdown(self) -> float:
        """Return how many times slower than at its fastest the machine is now."""
        # The better of two runs, as an interrupt may hit one.
        now_us = min(_cpu_time_us(run_reference_work, 1), _cpu_time_us(run_reference_work, 1))
        self.fastest_us = min(self.fastest_us, now_us)
        self.slowdowns.append(now_us / self.fastest_us)
        return self.slowdowns[-1]

    def measure_undisturbed(self, work: Callable[[], float]) -> float:
        """Return the time that `work` returns, corrected to that on an undisturbed core."""
        slowdown_before = self.measure_slowdown()
        duration = work()
        return duration / ((slowdown_before + self.measure_slowdown()) / 2)

    def check_bounds(self) -> None:
        """Raise BoundError if the time or the memory is used up."""
        if time.monotonic() > self.deadline_s:
            raise BoundError("the allowed time is over")
        held_mb = psutil.Process().memory_info().rss / (1 << 20)
        if held_mb > self.max_memory_mb:
            raise BoundError(f"{held_mb:.0f} MB of memory, {self.max_memory_mb:.0f} allowed")


def measure_cpu_us(
    work: Callable[[], object],
    repeats: int,
    bench: Bench,
    before: Callable[[], object] | None = None,
    single: bool = False,
) -> list[float]:
    """Measure the processor time of `work` in microseconds, `repeats` times.

    Each figure is the mean over enough iterations to make the cost of reading the clock negligible; `before`
    runs ahead of each figure and does not count. `single`: one iteration per figure, for work that needs
    `before` ahead of each.
    """
    iterations = 1
    if before is not None:
        before()
    if not single:
        while iterations < MAX_ITERATIONS and _cpu_time_us(work, iterations) < MIN_FIGURE_US:
            iterations *= 4
    figures = []
    for _ in range(repeats):
        bench.check_bounds()
        if before is not None:
            before()
        figures.append(bench.measure_undisturbed(lambda: _cpu_time_us(work, iterations) / iterations))
    return figures


def _cpu_time_us(work: Callable[[], object], iterations: int) -> float:
    started_ns = time.process_time_ns()
    for _ in range(iterations):
        work()
    return (time.process_time_ns() - started_ns) / 1000


def measure_held_bytes(make: Callable[[], ResultT]) -> tuple[int, ResultT]:
    """Return the bytes of Python's memory that the result of `make` holds, and the result."""
    with trace_allocations() as bytes_in_use:
        before = bytes_in_use()
        made = make()
        return bytes_in_use() - before, made


@contextmanager
def trace_allocations() -> Iterator[Callable[[], int]]:
    """Trace Python's allocations; yields a function that collects garbage and returns the bytes in use."""

    def bytes_in_use() -> int:
        gc.collect()
        return tracemalloc.get_traced_memory()[0]

    tracemalloc.start()
    try:
        yield bytes_in_use
    finally:
        tracemalloc.stop()


@contextmanager
def gc_thresholds(thresholds: tuple[int, int, int]) -> Iterator[None]:
    """Set the garbage collector's thresholds as a gateway does, so that its share of a cost is the same."""
    previous = gc.get_threshold()
    gc.collect()
    gc.set_threshold(*thresholds)
    try:
        yield
    finally:
        gc.set_threshold(*previous)


def peak_memory_mb() -> float:
    """Return the greatest resident memory of this process so far."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
