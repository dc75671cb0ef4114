"""The store by its index against a plain scan: python -m benchmarks.segment_store [--events 10000000]

Writes that many events of 200 engines, then reads one engine's by index and by scan. Prints bytes an event,
the longest step of background work, and the memory of a record of 200 engines.
"""

import argparse
import tempfile
import time
import tracemalloc
from collections.abc import Generator
from pathlib import Path
from random import Random
from time import perf_counter

from whintrail import interface as api
from whintrail.timeline.core import Timeline
from whintrail.timeline.detector import Thresholds
from whintrail.timeline.events import Kind
from whintrail.timeline.store import Reader, Writer

SECOND_US, START_US, ENGINE_COUNT = 1_000_000, 1_790_000_000_000_000, 200


def make_timeline(memory: int) -> Timeline:
    line = Timeline(memory, 10**9 * SECOND_US, Thresholds(), ("lookup",), 0)
    entries = (
        api.EngineEntry(f"s-{n}", "std-16", "z1", 0, 1.0, api.EngineState.READY, None)
        for n in range(ENGINE_COUNT)
    )
    line.record_engine_list(START_US, api.EngineListReceived(api.ListKind.CACHED, tuple(entries)))
    return line


def feed_queries(line: Timeline, queries: int, first: int, random: Random) -> None:
    for query in range(first, first + queries):
        at, name = START_US + query * 1000, f"s-{random.randrange(ENGINE_COUNT)}"
        line.record_sent(at, name, query, 0, "lookup", 5000.0)
        line.record_ended(at + 5000, name, query, 0, api.Outcome.OK, random.randrange(2000, 90_000))


def fill_history(line: Timeline, queries: int, first: int, random: Random) -> None:
    """The record alone: the judge's time is not what is measured here."""
    tracks = list(line.history.tracks.values())
    for query in range(first, first + queries):
        track = tracks[random.randrange(ENGINE_COUNT)]
        line.history.advance_clock(START_US + query * 1000)
        line.history.add(track, Kind.SENT, 0, query, 0)
        line.history.add(track, Kind.ENDED, 0, query, 5.0)


def now_us() -> int:
    return int(time.time() * 1e6)


def run_steps(work: Generator[None, None, None]) -> list[float]:
    """The time of each step."""
    steps, before = [], perf_counter()
    for _ in work:
        now = perf_counter()
        steps.append(now - before)
        before = now
    return steps


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--events", type=int, default=10_000_000)
    most = parser.parse_args().events
    random = Random(1)
    tracemalloc.start()
    line = make_timeline(8 << 20)
    before = tracemalloc.get_traced_memory()[0]
    for part in range(200):
        feed_queries(line, 2000, part * 2000, random)
    held = tracemalloc.get_traced_memory()[0] - before
    print(
        f"record of {ENGINE_COUNT} engines, 400 s at 1,000 requests/s, stated 8 MiB: {held / 2**20:.2f} MiB"
    )
    tracemalloc.stop()
    with tempfile.TemporaryDirectory() as name:
        line, steps, first, spent = make_timeline(16 << 20), list[float](), 0, 0.0
        writer = Writer(
            name, "n0", ("lookup",), 64 << 20, 1 << 40, 10**9 * SECOND_US, lambda: int(time.time() * 1e6)
        )
        while writer.events_written < most:
            fill_history(line, 4000, first, random)
            first += 4000
            start = perf_counter()
            steps += run_steps(writer.write_events(line))
            spent += perf_counter() - start
        writer.close()
        size = sum(path.stat().st_size for path in Path(name).iterdir())
        steps.sort()
        count, high = len(steps), steps[int(len(steps) * 0.999)]
        print(
            f"{writer.events_written} events, {size / 2**20:.0f} MiB, {size / writer.events_written:.1f} bytes an event"
        )
        print(
            f"  {spent / writer.events_written * 1e6:.2f} us an event; steps: median {steps[count // 2] * 1e3:.3f}"
        )
        print(f"  99.9% {high * 1e3:.3f}, longest {steps[-1] * 1e3:.2f} ms")
        start = perf_counter()
        with Reader.open(name) as reader:
            opened = perf_counter() - start
            by_index = list(reader.rows("s-12"))
            indexed = perf_counter() - start
            start = perf_counter()
            until = START_US + first * 500
            minute = list(reader.rows("s-12", until, until + 60 * SECOND_US))
            narrow = perf_counter() - start
            start = perf_counter()
            by_scan = list(reader.scan_rows("s-12"))
            scanned = perf_counter() - start
        assert by_index == by_scan
        print(f"one engine's {len(by_index)} events: by index {indexed:.2f} s (opening {opened:.2f} s),")
        print(f"  {len(minute)} of them by time {narrow * 1e3:.0f} ms more; by plain scan {scanned:.1f} s")


if __name__ == "__main__":
    main()
