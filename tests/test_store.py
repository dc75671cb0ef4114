"""The store: written events are read back, and torn frames, flipped bits or a full disk cost nothing else."""

import errno
import os
import subprocess
import sys
import time
from collections.abc import Generator
from pathlib import Path
from random import Random

import pytest

from whintrail import interface as api
from whintrail.cli import main
from whintrail.timeline.core import Timeline
from whintrail.timeline.detector import Thresholds
from whintrail.timeline.events import Detection, Kind, Verdict
from whintrail.timeline.store import Reader, StoreUnavailable, Writer, frames
from whintrail.timeline.store.reader import scan_segment

from .helpers import engine

SECOND_US = 1_000_000
START_US = 1_790_000_000 * SECOND_US


def make_timeline() -> Timeline:
    timeline = Timeline(8 << 20, 10**6 * SECOND_US, Thresholds(), ("short",), 0)
    entries = tuple(engine(f"e{n}") for n in range(5))
    timeline.record_engine_list(START_US, api.EngineListReceived(api.ListKind.CACHED, entries))
    return timeline


def feed_queries(timeline: Timeline, queries: int, first: int = 0) -> None:
    random = Random(first)
    for query in range(first, first + queries):
        at_us, name = START_US + query * 10_000, f"e{random.randrange(5)}"
        timeline.record_sent(at_us, name, query, 0, "short", 1e5)
        timeline.record_ended(at_us + 5000, name, query, 0, api.Outcome.OK, 5000)


def now_us() -> int:
    return int(time.time() * 1e6)


def make_writer(directory: Path, segment_bytes: int = 1 << 20, keep_bytes: int = 1 << 30) -> Writer:
    return Writer(directory, "n0", ("short",), segment_bytes, keep_bytes, 10**6 * SECOND_US, now_us)


def run_steps(job: Generator[None, None, None]) -> None:
    for _ in job:
        pass


def segments(directory: Path) -> list[Path]:
    return sorted(directory.glob("*.seg"))


def test_recorded_events_are_read_back_by_engine_and_time(tmp_path: Path) -> None:
    timeline, writer = make_timeline(), make_writer(tmp_path, 20_000)
    detection = Detection("e2", Verdict.SLOW, True, START_US + 5, START_US, {"times_peers": 5.0})
    for batch in range(10):
        feed_queries(timeline, 300, batch * 300)
        run_steps(writer.write_events(timeline))
    run_steps(writer.write_detections([detection]))
    run_steps(writer.write_rollups(timeline))
    writer.close()
    assert len(segments(tmp_path)) > 3
    with Reader.open(tmp_path) as reader:
        assert reader.engines() == [f"e{n}" for n in range(5)] and reader.classes == ("short",)
        for name in reader.engines():
            assert list(reader.rows(name)) == list(timeline.history.rows(name))
            assert list(reader.scan_rows(name)) == list(reader.rows(name))
        since, until = START_US + 3 * SECOND_US, START_US + 4 * SECOND_US
        assert list(reader.rows("e1", since, until)) == list(timeline.history.rows("e1", since, until))
        assert list(reader.detections()) == [detection]
        sealed = sum(bucket.ok for bucket in reader.rollups("e1", 1))
        assert sealed == sum(bucket.ok for bucket in timeline.history.buckets("e1", 1)[:-1])
    assert main(["timeline", "verify", "--store", str(tmp_path)]) == 0


def test_a_kill_in_the_middle_of_a_frame_loses_that_frame_only(tmp_path: Path) -> None:
    """The writer runs in another process, which is killed while it writes in a loop."""
    code = (
        "import sys; from pathlib import Path; from tests.test_store import *\n"
        "timeline, writer, n = make_timeline(), make_writer(Path(sys.argv[1])), 0\n"
        "while True:\n    feed_queries(timeline, 200, n); n += 200\n"
        "    run_steps(writer.write_events(timeline)); print(n, flush=True)\n"
    )
    root = Path(__file__).resolve().parent.parent
    process = subprocess.Popen(
        [sys.executable, "-c", code, str(tmp_path)], cwd=root, stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    written = [int(process.stdout.readline()) for _ in range(5)][-1]
    process.kill()
    process.wait()
    torn = segments(tmp_path)[0]
    with open(torn, "ab") as file:  # add a partial frame, in case the kill came between two frames
        file.write(frames.encode_events("e1", [(START_US, 1, Kind.SENT, 0, 1.0, 0.0)])[:-3])
    writer = make_writer(tmp_path)  # a new start never appends to an old segment
    assert len(segments(tmp_path)) == 2
    run_steps(writer.index_old_segments())
    assert torn.with_suffix(".idx").exists()
    with Reader.open(tmp_path) as reader:
        ended = [row for row in reader.rows() if row.kind is Kind.ENDED]
        assert len(ended) >= written
        (report, _) = reader.verify()
    assert report.torn and report.damaged == 1 and report.index == "sound"
    writer.close()


def test_a_flipped_bit_anywhere_loses_one_frame_and_is_found(tmp_path: Path) -> None:
    timeline, writer = make_timeline(), make_writer(tmp_path)
    for batch in range(20):
        feed_queries(timeline, 50, batch * 50)
        run_steps(writer.write_events(timeline))
    writer.close()
    (path,) = segments(tmp_path)
    intact = path.read_bytes()
    _, intact_report, _ = scan_segment(intact)
    random, lost_events = Random(3), []
    for _ in range(60):
        damaged = bytearray(intact)
        damaged[random.randrange(60, len(damaged))] ^= 1 << random.randrange(8)
        _, report, _ = scan_segment(bytes(damaged))
        assert report.damaged == 1 and report.frames == intact_report.frames - 1
        lost_events.append(intact_report.events - report.events)
    assert max(lost_events) <= 40
    path.write_bytes(bytes(damaged))
    assert main(["timeline", "verify", "--store", str(tmp_path)]) == 1


def test_foreign_and_future_segments_are_skipped_and_the_rest_is_read(tmp_path: Path) -> None:
    timeline, writer = make_timeline(), make_writer(tmp_path)
    feed_queries(timeline, 10)
    run_steps(writer.write_events(timeline))
    writer.close()
    future = frames.encode_frame(frames.HEADER, b"\x94\x02\xa1n\x00\x90")
    (tmp_path / "000000000007.seg").write_bytes(future)
    (tmp_path / "000000000008.seg").write_bytes(frames.encode_rollup("e1", 1, b""))
    with Reader.open(tmp_path) as reader:
        assert ["version 2" in reader.skipped[0], "no header" in reader.skipped[1]] == [True, True]
        assert len([row for row in reader.rows() if row.kind is Kind.ENDED]) == 10


def test_an_index_that_is_damaged_or_of_another_segment_is_rebuilt(tmp_path: Path) -> None:
    timeline, writer = make_timeline(), make_writer(tmp_path, 2_000)
    for batch in range(6):
        feed_queries(timeline, 100, batch * 100)
        run_steps(writer.write_events(timeline))
    writer.close()
    indexes = sorted(tmp_path.glob("*.idx"))
    first, second = indexes[0].read_bytes(), indexes[1].read_bytes()
    indexes[0].write_bytes(second[:-1] + bytes([second[-1] ^ 1]))
    indexes[1].write_bytes(first)
    with Reader.open(tmp_path) as reader:
        assert [row for name in reader.engines() for row in reader.rows(name)] == [
            row for name in reader.engines() for row in timeline.history.rows(name)
        ]
    assert main(["timeline", "verify", "--store", str(tmp_path)]) == 1


def test_a_full_disk_turns_the_store_off_and_leaves_complete_frames(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    timeline, writer, free_bytes = make_timeline(), make_writer(tmp_path), [5000]
    write = os.write

    def write_until_full(descriptor: int, data: bytes) -> int:
        if len(data) > free_bytes[0]:
            write(descriptor, bytes(data)[: free_bytes[0]])
            raise OSError(errno.ENOSPC, "No space left on device")
        free_bytes[0] -= len(data)
        return write(descriptor, data)

    feed_queries(timeline, 500)
    monkeypatch.setattr(os, "write", write_until_full)
    with pytest.raises(StoreUnavailable, match="No space left"):
        run_steps(writer.write_events(timeline))
    assert writer.off_reason and writer.descriptor == -1
    run_steps(writer.write_events(timeline))  # writes nothing and doesn't fail
    monkeypatch.undo()
    _, report, _ = scan_segment(segments(tmp_path)[0].read_bytes())
    assert not report.damaged and report.events > 0


def test_a_directory_that_cannot_be_written_or_is_another_gateways_is_refused(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    with pytest.raises(StoreUnavailable):
        make_writer(tmp_path / "file")
    writer = make_writer(tmp_path)
    with pytest.raises(StoreUnavailable, match="another gateway"):
        make_writer(tmp_path)
    writer.close()
    make_writer(tmp_path).close()


def test_retention_by_bytes_and_by_age_keeps_the_current_segment(tmp_path: Path) -> None:
    timeline, writer = make_timeline(), make_writer(tmp_path, 4_000, 16_000)
    for batch in range(20):
        feed_queries(timeline, 100, batch * 100)
        run_steps(writer.write_events(timeline))
    run_steps(writer.delete_expired())
    assert sum(path.stat().st_size for path in segments(tmp_path)) <= 16_000 + 8_000
    assert writer.deleted_segments > 5
    writer.keep_us = 0
    time.sleep(0.01)
    run_steps(writer.delete_expired())
    assert segments(tmp_path) == [writer.segment_path] and not list(tmp_path.glob("*.idx"))


def test_a_reader_survives_rotation_and_deletion(tmp_path: Path) -> None:
    timeline, writer = make_timeline(), make_writer(tmp_path, 4_000, 16_000)
    for batch in range(4):
        feed_queries(timeline, 100, batch * 100)
        run_steps(writer.write_events(timeline))
    with Reader.open(tmp_path) as reader:
        rows = reader.rows("e1")
        rows_read = [next(rows) for _ in range(5)]
        for batch in range(4, 20):
            feed_queries(timeline, 100, batch * 100)
            run_steps(writer.write_events(timeline))
        run_steps(writer.delete_expired())
        assert segments(tmp_path)[0] != reader.segments[0].path
        rows_read += list(rows)
    expected = [row for row in timeline.history.rows("e1") if row.at_us <= rows_read[-1].at_us]
    assert rows_read == expected
    writer.close()


def test_events_dropped_before_they_were_written_are_counted(tmp_path: Path) -> None:
    timeline = Timeline(256 << 10, 10**6 * SECOND_US, Thresholds(), ("short",), 0)
    timeline.record_engine_list(
        START_US, api.EngineListReceived(api.ListKind.CACHED, tuple(engine(f"e{n}") for n in range(5)))
    )
    writer = make_writer(tmp_path)
    feed_queries(timeline, 20_000)
    run_steps(writer.write_events(timeline))
    assert writer.missed_events == timeline.history.columns.dropped_rows > 0
    assert writer.missed_events + writer.events_written == timeline.history.columns.next_number
    writer.close()
