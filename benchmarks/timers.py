"""The timing wheel against a heap: python -m benchmarks.timers [--most N]

Both hold N timers spread over 6 s. A set and cancel pair is what an answered query costs; the heap can't
cancel, so it is given the usual stand-in for it (an entry marked dead, popped when it falls due). Ratios are
paired: wheel and heap take turns within one run, the median of the pairs is printed.
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

START, SPAN = 1_790_000_000_000_000, 6_000_000


def nothing() -> None:
    pass


class Heap:
    def __init__(self) -> None:
        self.entries: list[tuple[int, int, list[Callable[[], None] | None]]] = []
        self.last_sequence = 0

    def schedule(self, when: int, then: Callable[[], None]) -> list[Callable[[], None] | None]:
        self.last_sequence += 1
        box: list[Callable[[], None] | None] = [then]
        heappush(self.entries, (when, self.last_sequence, box))
        return box

    def cancel(self, box: list[Callable[[], None] | None]) -> None:
        box[0] = None

    def pop_due(self, until: int) -> Callable[[], None] | None:
        while self.entries and self.entries[0][0] <= until:
            if (then := heappop(self.entries)[2][0]) is not None:
                return then
        return None


def run(
    make: Callable[[], TimingWheel | Heap], whens: list[int], extra: list[int]
) -> tuple[float, float, float]:
    """Seconds a set, a cancel and a fire, with len(whens) timers held."""
    timers = make()
    for when in whens:
        timers.schedule(when, nothing)
    start = perf_counter()
    made = [timers.schedule(when, nothing) for when in extra]
    set_s = (perf_counter() - start) / len(extra)
    start = perf_counter()
    for timer in made:
        timers.cancel(timer)  # type: ignore[arg-type]
    cancel_s = (perf_counter() - start) / len(extra)
    start, fired = perf_counter(), 0
    for until in range(START, START + SPAN + 1001, 1000):
        while timers.pop_due(until) is not None:
            fired += 1
    assert fired == len(whens), (fired, len(whens))
    return set_s, cancel_s, (perf_counter() - start) / fired


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--most", type=int, default=1_000_000)
    most = parser.parse_args().most
    rng, size = random.Random(1), 100
    print("timers   |  set us wheel heap ratio | cancel us wheel heap ratio | fire us wheel heap ratio")
    while size <= most:
        rounds = 9 if size < 100_000 else 3
        pairs = []
        for _ in range(rounds):
            whens = [START + rng.randrange(SPAN) for _ in range(size)]
            extra = [START + rng.randrange(SPAN) for _ in range(max(1000, size // 10))]
            pairs.append((run(lambda: TimingWheel(START), whens, extra), run(Heap, whens, extra)))
        columns = []
        for i in range(3):
            wheel, heap = median(a[i] for a, _ in pairs), median(b[i] for _, b in pairs)
            ratio = median(a[i] / b[i] for a, b in pairs)
            columns.append(f"{wheel * 1e6:8.2f} {heap * 1e6:8.2f} {ratio:6.2f}")
        print(f"{size:8} | " + " | ".join(columns))
        sys.stdout.flush()
        size *= 10
    # Memory held by timers of queries that are answered at once: 2,800 a second, 6 s to live.
    for name, timers in (("wheel", TimingWheel(START)), ("heap", Heap())):
        tracemalloc.start()
        for number in range(2800 * 6):
            body = bytearray(600)  # what a query holds
            timer = timers.schedule(START + SPAN + number * 357, lambda body=body: body.clear())  # type: ignore[misc]
            timers.cancel(timer)  # type: ignore[arg-type]
        print(f"{name}: {tracemalloc.get_traced_memory()[0] / 1024:.0f} KiB after 16,800 answered queries")
        tracemalloc.stop()


if __name__ == "__main__":
    main()
