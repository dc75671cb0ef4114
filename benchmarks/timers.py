"""The timing wheel against a heap: python -m benchmarks.timers [--most N]

Both hold N timers spread over 6 s. An answered query costs one schedule and one cancel. The heap can't
cancel, so it marks the entry as dead and pops it when it is due, as is usual. Wheel and heap take turns
within one run; the median of the ratios of each pair is printed.
"""

import argparse
import random
import sys
import tracemalloc
from collections.abc import Callable
from heapq import heappop, heappush
from statistics import median
from time import perf_counter

from whintrail.structures.wheel import TimingWheel

START_US = 1_790_000_000_000_000
SPAN_US = 6_000_000


def do_nothing() -> None:
    pass


class Heap:
    def __init__(self) -> None:
        self.entries: list[tuple[int, int, list[Callable[[], None] | None]]] = []
        self.last_sequence = 0

    def schedule(self, due_us: int, callback: Callable[[], None]) -> list[Callable[[], None] | None]:
        self.last_sequence += 1
        entry: list[Callable[[], None] | None] = [callback]
        heappush(self.entries, (due_us, self.last_sequence, entry))
        return entry

    def cancel(self, entry: list[Callable[[], None] | None]) -> None:
        entry[0] = None

    def pop_due(self, until_us: int) -> Callable[[], None] | None:
        while self.entries and self.entries[0][0] <= until_us:
            if (callback := heappop(self.entries)[2][0]) is not None:
                return callback
        return None


def run(
    make: Callable[[], TimingWheel | Heap], due_times: list[int], extra_due_times: list[int]
) -> tuple[float, float, float]:
    """Seconds per schedule, cancel and firing, with len(due_times) timers held."""
    timers = make()
    for due_us in due_times:
        timers.schedule(due_us, do_nothing)
    start = perf_counter()
    extra_timers = [timers.schedule(due_us, do_nothing) for due_us in extra_due_times]
    set_s = (perf_counter() - start) / len(extra_due_times)
    start = perf_counter()
    for timer in extra_timers:
        timers.cancel(timer)  # type: ignore[arg-type]
    cancel_s = (perf_counter() - start) / len(extra_due_times)
    start, fired = perf_counter(), 0
    for until_us in range(START_US, START_US + SPAN_US + 1001, 1000):
        while timers.pop_due(until_us) is not None:
            fired += 1
    assert fired == len(due_times), (fired, len(due_times))
    return set_s, cancel_s, (perf_counter() - start) / fired


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--most", type=int, default=1_000_000)
    max_timers = parser.parse_args().most
    random_source, size = random.Random(1), 100
    print("timers   |  set us wheel heap ratio | cancel us wheel heap ratio | fire us wheel heap ratio")
    while size <= max_timers:
        rounds = 9 if size < 100_000 else 3
        pairs = []
        for _ in range(rounds):
            due_times = [START_US + random_source.randrange(SPAN_US) for _ in range(size)]
            extra_due_times = [
                START_US + random_source.randrange(SPAN_US) for _ in range(max(1000, size // 10))
            ]
            pairs.append(
                (
                    run(lambda: TimingWheel(START_US), due_times, extra_due_times),
                    run(Heap, due_times, extra_due_times),
                )
            )
        columns = []
        for i in range(3):
            wheel, heap = median(a[i] for a, _ in pairs), median(b[i] for _, b in pairs)
            ratio = median(a[i] / b[i] for a, b in pairs)
            columns.append(f"{wheel * 1e6:8.2f} {heap * 1e6:8.2f} {ratio:6.2f}")
        print(f"{size:8} | " + " | ".join(columns))
        sys.stdout.flush()
        size *= 10
    # Memory held by timers of queries that are answered at once: 2,800 per second with a deadline of 6 s.
    for name, timers in (("wheel", TimingWheel(START_US)), ("heap", Heap())):
        tracemalloc.start()
        for number in range(2800 * 6):
            state = bytearray(600)  # stands for the state of a query
            timer = timers.schedule(START_US + SPAN_US + number * 357, lambda state=state: state.clear())  # type: ignore[misc]
            timers.cancel(timer)  # type: ignore[arg-type]
        print(f"{name}: {tracemalloc.get_traced_memory()[0] / 1024:.0f} KiB after 16,800 answered queries")
        tracemalloc.stop()


if __name__ == "__main__":
    main()
