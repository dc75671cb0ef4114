"""The store: what was written is read back; what was torn, flipped or filled up loses nothing else."""

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
from whintrail.timeline.judge import Thresholds
from whintrail.timeline.kinds import Happening, Kind, Verdict
from whintrail.timeline.store import Reader, StoreOff, Writer, frames
from whintrail.timeline.store.reader import scan

from .helpers import engine

SECOND = 1_000_000
START = 1_790_000_000 * SECOND


def timeline() -> Timeline:
    line = Timeline(8 << 20, 10**6 * SECOND, Thresholds(), ("short",), 0)
    entries = tuple(engine(f"e{n}") for n in range(5))
    line.listed(START, api.EngineList(api.ListKind.CACHED, entries))
    return line


def feed(line: Timeline, queries: int, first: int = 0) -> None:
    random = Random(first)
    for query in range(first, first + queries):
        at, name = START + query * 10_000, f"e{random.randrange(5)}"
        line.sent(at, name, query, 0, "short", 1e5)
        line.ended(at + 5000, name, query, 0, api.Outcome.OK, 5000)


def now_us() -> int:
    return int(time.time() * 1e6)


def writer(folder: Path, segment_bytes: int = 1 << 20, keep_bytes: int = 1 << 30) -> Writer:
    return Writer(folder, "n0", ("short",), segment_bytes, keep_bytes, 10**6 * SECOND, now_us)


def do(work: Generator[None, None, None]) -> None:
    for _ in work:
        pass


def segments(folder: Path) -> list[Path]:
    return sorted(folder.glob("*.seg"))


def test_what_was_recorded_is_read_back_by_engine_and_time(tmp_path: Path) -> None:
    line, store = timeline(), writer(tmp_path, 20_000)
    happening = Happening("e2", Verdict.SLOW, True, START + 5, START, {"times_peers": 5.0})
    for part in range(10):
        feed(line, 300, part * 300)
        do(store.flush(line))
    do(store.judged([happening]))
    do(store.roll(line))
    store.close()
    assert len(segments(tmp_path)) > 3
    with Reader.open(tmp_path) as reader:
        assert reader.engines() == [f"e{n}" for n in range(5)] and reader.classes == ("short",)
        for name in reader.engines():
            assert list(reader.rows(name)) == list(line.record.rows(name))
            assert list(reader.scan_rows(name)) == list(reader.rows(name))
        since, until = START + 3 * SECOND, START + 4 * SECOND
        assert list(reader.rows("e1", since, until)) == list(line.record.rows("e1", since, until))
        assert list(reader.happenings()) == [happening]
        sealed = sum(bucket.ok for bucket in reader.rollups("e1", 1))
        assert sealed == sum(bucket.ok for bucket in line.record.rolled_up("e1", 1)[:-1])
    assert main(["timeline", "verify", "--store", str(tmp_path)]) == 0


def test_a_kill_in_the_middle_of_a_frame_loses_that_frame_only(tmp_path: Path) -> None:
    """The writer is another process, killed while it writes without end."""
    code = (
        "import sys; from pathlib import Path; from tests.test_store import *\n"
        "line, store, n = timeline(), writer(Path(sys.argv[1])), 0\n"
        "while True:\n    feed(line, 200, n); n += 200; do(store.flush(line)); print(n, flush=True)\n"
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
    with open(torn, "ab") as file:  # and half a frame more, in case the kill fell between two
        file.write(frames.events("e1", [(START, 1, Kind.SENT, 0, 1.0, 0.0)])[:-3])
    store = writer(tmp_path)  # the next start never appends to it
    assert len(segments(tmp_path)) == 2
    do(store.index_old())
    assert torn.with_suffix(".idx").exists()
    with Reader.open(tmp_path) as reader:
        ended = [row for row in reader.rows() if row.kind is Kind.ENDED]
        assert len(ended) >= written
        (report, _) = reader.verify()
    assert report.torn and report.damaged == 1 and report.index == "sound"
    store.close()


def test_a_flipped_bit_anywhere_loses_one_frame_and_is_found(tmp_path: Path) -> None:
    line, store = timeline(), writer(tmp_path)
    for part in range(20):
        feed(line, 50, part * 50)
        do(store.flush(line))
    store.close()
    (path,) = segments(tmp_path)
    good = path.read_bytes()
    _, whole, _ = scan(good)
    random, lost = Random(3), []
    for _ in range(60):
        bad = bytearray(good)
        bad[random.randrange(60, len(bad))] ^= 1 << random.randrange(8)
        _, report, _ = scan(bytes(bad))
        assert report.damaged == 1 and report.frames == whole.frames - 1
        lost.append(whole.events - report.events)
    assert max(lost) <= 40
    path.write_bytes(bytes(bad))
    assert main(["timeline", "verify", "--store", str(tmp_path)]) == 1


def test_foreign_and_future_segments_are_refused_and_the_rest_is_read(tmp_path: Path) -> None:
    line, store = timeline(), writer(tmp_path)
    feed(line, 10)
    do(store.flush(line))
    store.close()
    future = frames.pack(frames.HEADER, b"\x94\x02\xa1n\x00\x90")
    (tmp_path / "000000000007.seg").write_bytes(future)
    (tmp_path / "000000000008.seg").write_bytes(frames.rollup("e1", 1, b""))
    with Reader.open(tmp_path) as reader:
        assert ["version 2" in reader.skipped[0], "no header" in reader.skipped[1]] == [True, True]
        assert len([row for row in reader.rows() if row.kind is Kind.ENDED]) == 10


def test_an_index_that_is_damaged_or_of_another_segment_is_made_anew(tmp_path: Path) -> None:
    line, store = timeline(), writer(tmp_path, 2_000)
    for part in range(6):
        feed(line, 100, part * 100)
        do(store.flush(line))
    store.close()
    indexes = sorted(tmp_path.glob("*.idx"))
    first, second = indexes[0].read_bytes(), indexes[1].read_bytes()
    indexes[0].write_bytes(second[:-1] + bytes([second[-1] ^ 1]))
    indexes[1].write_bytes(first)
    with Reader.open(tmp_path) as reader:
        assert [row for name in reader.engines() for row in reader.rows(name)] == [
            row for name in reader.engines() for row in line.record.rows(name)
        ]
    assert main(["timeline", "verify", "--store", str(tmp_path)]) == 1


def test_a_full_disk_turns_the_store_off_and_leaves_whole_frames(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    line, store, room = timeline(), writer(tmp_path), [5000]
    write = os.write

    def full(descriptor: int, data: bytes) -> int:
        if len(data) > room[0]:
            write(descriptor, bytes(data)[: room[0]])
            raise OSError(errno.ENOSPC, "No space left on device")
        room[0] -= len(data)
        return write(descriptor, data)

    feed(line, 500)
    monkeypatch.setattr(os, "write", full)
    with pytest.raises(StoreOff, match="No space left"):
        do(store.flush(line))
    assert store.off and store.descriptor == -1
    do(store.flush(line))  # nothing more, and no fault
    monkeypatch.undo()
    _, report, _ = scan(segments(tmp_path)[0].read_bytes())
    assert not report.damaged and report.events > 0


def test_a_directory_that_cannot_be_written_or_is_another_gateways_is_refused(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    with pytest.raises(StoreOff):
        writer(tmp_path / "file")
    store = writer(tmp_path)
    with pytest.raises(StoreOff, match="another gateway"):
        writer(tmp_path)
    store.close()
    writer(tmp_path).close()


def test_retention_by_bytes_and_by_age_keeps_the_segment_in_hand(tmp_path: Path) -> None:
    line, store = timeline(), writer(tmp_path, 4_000, 16_000)
    for part in range(20):
        feed(line, 100, part * 100)
        do(store.flush(line))
    do(store.clear())
    assert sum(path.stat().st_size for path in segments(tmp_path)) <= 16_000 + 8_000
    assert store.dropped_segments > 5
    store.keep_us = 0
    time.sleep(0.01)
    do(store.clear())
    assert segments(tmp_path) == [store.path] and not list(tmp_path.glob("*.idx"))


def test_a_reader_goes_on_through_rotation_and_deletion(tmp_path: Path) -> None:
    line, store = timeline(), writer(tmp_path, 4_000, 16_000)
    for part in range(4):
        feed(line, 100, part * 100)
        do(store.flush(line))
    with Reader.open(tmp_path) as reader:
        rows = reader.rows("e1")
        found = [next(rows) for _ in range(5)]
        for part in range(4, 20):
            feed(line, 100, part * 100)
            do(store.flush(line))
        do(store.clear())
        assert segments(tmp_path)[0] != reader.segments[0].path
        found += list(rows)
    expected = [row for row in line.record.rows("e1") if row.at_us <= found[-1].at_us]
    assert found == expected
    store.close()


def test_what_could_not_be_written_in_time_is_counted(tmp_path: Path) -> None:
    line = Timeline(256 << 10, 10**6 * SECOND, Thresholds(), ("short",), 0)
    line.listed(START, api.EngineList(api.ListKind.CACHED, tuple(engine(f"e{n}") for n in range(5))))
    store = writer(tmp_path)
    feed(line, 20_000)
    do(store.flush(line))
    assert store.missed == line.record.columns.dropped > 0
    assert store.missed + store.events == line.record.columns.next
    store.close()
