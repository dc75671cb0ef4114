"""Reading the store by its index and by a full scan: python -m benchmarks.segment_store [--events 10000000]

Writes that many events of 200 engines, then reads those of one engine by index and by scan. Prints bytes and
time for each event, the longest step of the write job, and the memory of an event history of 200 engines.
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

SECOND_US = 1_000_000
START_US = 1_790_000_000_000_000
ENGINE_COUNT = 200


def make_timeline(memory_bytes: int) -> Timeline:
    timeline = Timeline(memory_bytes, 10**9 * SECOND_US, Thresholds(), ("lookup",), 0)
    entries = (
        api.EngineEntry(f"s-{number}", "std-16", "z1", 0, 1.0, api.EngineState.READY, None)
        for number in range(ENGINE_COUNT)
    )
    timeline.record_engine_list(START_US, api.EngineListReceived(api.ListKind.CACHED, tuple(entries)))
    return timeline


def feed_queries(timeline: Timeline, queries: int, first: int, random: Random) -> None:
    for query in range(first, first + queries):
        at_us, name = START_US + query * 1000, f"s-{random.randrange(ENGINE_COUNT)}"
        timeline.record_sent(at_us, name, query, 0, "lookup", 5000.0)
        timeline.record_ended(at_us + 5000, name, query, 0, api.Outcome.OK, random.randrange(2000, 90_000))


def fill_history(timeline: Timeline, queries: int, first: int, random: Random) -> None:
    """Add events to the history alone, so that the detector's time is not measured."""
    tracks = list(timeline.history.tracks.values())
    for query in range(first, first + queries):
        track = tracks[random.randrange(ENGINE_COUNT)]
        timeline.history.advance_clock(START_US + query * 1000)
        timeline.history.add(track, Kind.SENT, 0, query, 0)
        timeline.history.add(track, Kind.ENDED, 0, query, 5.0)


def now_us() -> int:
    return int(time.time() * 1e6)


def run_steps(job: Generator[None, None, None]) -> list[float]:
    """Run a job and return the duration of each of its steps."""
    durations_s, before = [], perf_counter()
    for _ in job:
        now = perf_counter()
        durations_s.append(now - before)
        before = now
    return durations_s


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--events", type=int, default=10_000_000)
    max_events = parser.parse_args().events
    random = Random(1)
    tracemalloc.start()
    timeline = make_timeline(8 << 20)
    traced_before = tracemalloc.get_traced_memory()[0]
    for batch in range(200):
        feed_queries(timeline, 2000, batch * 2000, random)
    used_bytes = tracemalloc.get_traced_memory()[0] - traced_before
    print(
        f"history of {ENGINE_COUNT} engines, 400 s at 1,000 requests/s, limit 8 MiB:"
        f" {used_bytes / 2**20:.2f} MiB"
    )
    tracemalloc.stop()
    with tempfile.TemporaryDirectory() as directory:
        timeline, durations_s, next_query, write_s = make_timeline(16 << 20), list[float](), 0, 0.0
        writer = Writer(
            directory, "n0", ("lookup",), 64 << 20, 1 << 40, 10**9 * SECOND_US, lambda: int(time.time() * 1e6)
        )
        while writer.events_written < max_events:
            fill_history(timeline, 4000, next_query, random)
            next_query += 4000
            start = perf_counter()
            durations_s += run_steps(writer.write_events(timeline))
            write_s += perf_counter() - start
        writer.close()
        stored_bytes = sum(path.stat().st_size for path in Path(directory).iterdir())
        durations_s.sort()
        count, p999_s = len(durations_s), durations_s[int(len(durations_s) * 0.999)]
        print(
            f"{writer.events_written} events, {stored_bytes / 2**20:.0f} MiB,"
            f" {stored_bytes / writer.events_written:.1f} bytes an event"
        )
        print(
            f"  {write_s / writer.events_written * 1e6:.2f} us an event;"
            f" steps: median {durations_s[count // 2] * 1e3:.3f}"
        )
        print(f"  99.9% {p999_s * 1e3:.3f}, longest {durations_s[-1] * 1e3:.2f} ms")
        start = perf_counter()
        with Reader.open(directory) as reader:
            open_s = perf_counter() - start
            by_index = list(reader.rows("s-12"))
            index_s = perf_counter() - start
            start = perf_counter()
            since_us = START_US + next_query * 500
            minute_rows = list(reader.rows("s-12", since_us, since_us + 60 * SECOND_US))
            minute_s = perf_counter() - start
            start = perf_counter()
            by_scan = list(reader.scan_rows("s-12"))
            scan_s = perf_counter() - start
        assert by_index == by_scan
        print(f"one engine's {len(by_index)} events: by index {index_s:.2f} s (opening {open_s:.2f} s),")
        print(
            f"  {len(minute_rows)} of them by time {minute_s * 1e3:.0f} ms more; by plain scan {scan_s:.1f} s"
        )


if __name__ == "__main__":
    main()
