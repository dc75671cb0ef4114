"""Writes segments: appends frames, rotates, indexes and deletes, each as steps of background work.

A full or read-only disk ends the store (StoreOff), never the gateway. A segment is never appended to after a
start: what a kill left torn stays as it is, and the next segment begins.
"""

import fcntl
import os
from collections.abc import Callable, Generator, Iterable
from contextlib import suppress
from pathlib import Path

from whintrail.timeline.core import Timeline
from whintrail.timeline.errors import StoreOff
from whintrail.timeline.kinds import Happening
from whintrail.timeline.store import frames
from whintrail.timeline.store.frames import FrameError
from whintrail.timeline.store.index import Index
from whintrail.timeline.store.reader import scan

Work = Generator[None, None, None]
BATCH, GROUPED = 256, 16_384  # raw events read in one step, and grouped by engine into frames
STORED_LEVELS = (1, 2)  # roll-ups that are kept on disk: 10 s and 1 min


def segment_number(path: Path) -> int:
    return int(path.stem) if path.stem.isdigit() else 0


class Writer:
    """`keep_bytes`, `keep_us`: retention; the segment that is written is never deleted."""

    def __init__(
        self,
        directory: str | Path,
        name: str,
        classes: tuple[str, ...],
        segment_bytes: int,
        keep_bytes: int,
        keep_us: int,
        now: Callable[[], int],
    ) -> None:
        self.directory, self.name, self.classes = Path(directory), name, classes
        self.segment_bytes, self.keep_bytes, self.keep_us, self.now = segment_bytes, keep_bytes, keep_us, now
        self.cursor = 0  # the next raw event to be written
        self.missed = 0  # raw events that were gone before they were written
        self.events = self.written = self.dropped_segments = 0
        self.rolled: dict[tuple[int, int], int] = {}  # the last bucket on disk, by slot and level
        self.off: str | None = None
        self.descriptor = self.lock = -1
        try:
            self.directory.mkdir(parents=True, exist_ok=True)
            self.lock = os.open(self.directory / "lock", os.O_RDWR | os.O_CREAT, 0o644)
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.number = max((segment_number(path) for path in self.directory.glob("*.seg")), default=0)
            self._begin()
        except BlockingIOError as error:
            raise self._end(f"{directory}: another gateway writes here") from error
        except OSError as error:
            raise self._end(str(error)) from error

    # --- Segments.

    @property
    def path(self) -> Path:
        return self.directory / f"{self.number:012d}.seg"

    def _begin(self) -> None:
        self.number += 1
        self.descriptor = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o644)
        self.index, self.size = Index(), 0
        self._append(frames.header(self.name, self.now(), self.classes))

    def _append(self, data: bytes) -> int:
        """Where the frame begins. Errors: StoreOff; half a frame is taken back."""
        at = self.size
        try:
            done = 0
            while done < len(data):
                done += os.write(self.descriptor, data[done:])
        except OSError as error:
            with suppress(OSError):  # else a torn tail, which every reader finds
                os.ftruncate(self.descriptor, at)
            raise self._end(str(error)) from error
        self.size += len(data)
        self.written += len(data)
        return at

    def _end(self, why: str) -> StoreOff:
        self.off = why
        self.close()
        return StoreOff(why)

    def close(self) -> None:
        for descriptor in (self.descriptor, self.lock):
            if descriptor >= 0:
                os.close(descriptor)
        self.descriptor = self.lock = -1

    def sync(self) -> None:
        """Blocks: for a thread. Errors: OSError."""
        if self.descriptor >= 0:
            copy = os.dup(self.descriptor)  # it may be rotated meanwhile
            try:
                os.fsync(copy)
            finally:
                os.close(copy)

    # --- Work, in steps.

    def flush(self, timeline: Timeline) -> Work:
        """Raw events since the last flush, grouped by engine."""
        columns, names = timeline.record.columns, timeline.record.names
        end = columns.next
        while self.cursor < end and self.off is None:
            by_slot: dict[int, list[tuple[int, int, int, int, float, float]]] = {}
            until = min(end, self.cursor + GROUPED)
            while self.cursor < until:
                rows, self.cursor, gone = columns.after(self.cursor, min(BATCH, until - self.cursor))
                self.missed += gone
                for row in rows:
                    by_slot.setdefault(row[1], []).append(row)
                yield
            for slot, found in by_slot.items():
                engine = names.get(slot, f"#{slot}")
                while found:
                    part = [row for row in found if row[0] - found[0][0] < frames.SPAN_US]
                    self._events(engine, part)
                    found = found[len(part) :]
                yield
            if self.size >= self.segment_bytes:
                yield from self.rotate()

    def _events(self, engine: str, rows: list[tuple[int, int, int, int, float, float]]) -> None:
        data = frames.events(engine, rows)
        at = self._append(data)
        self.index.add(engine, frames.EVENTS, rows[0][0], rows[-1][0], at, len(data))
        self.events += len(rows)

    def judged(self, happenings: Iterable[Happening]) -> Work:
        for happening in happenings:
            if self.off is not None:
                return
            data = frames.judged(happening)
            at = self._append(data)
            self.index.add(happening.engine, frames.JUDGED, happening.at_us, happening.at_us, at, len(data))
            yield

    def roll(self, timeline: Timeline) -> Work:
        """Buckets that were sealed since the last time."""
        slots = set()
        for track in list(timeline.record.tracks.values()):
            slots.add(track.slot)
            for level in STORED_LEVELS:
                last = self.rolled.get((track.slot, level), -1)
                for sealed in list(track.sealed[level]):
                    at_us = int.from_bytes(sealed[:8], "little")
                    if at_us <= last or self.off is not None:
                        continue
                    data = frames.rollup(track.engine, level, sealed)
                    at = self._append(data)
                    self.index.add(track.engine, frames.ROLLUP, at_us, at_us, at, len(data))
                    self.rolled[track.slot, level] = at_us
            yield
        for key in [key for key in self.rolled if key[0] not in slots]:
            del self.rolled[key]

    def rotate(self) -> Work:
        """Close the segment, write its index, begin the next."""
        path, index, descriptor = self.path, self.index, self.descriptor
        index.covers = self.size
        try:
            self._begin()
        except OSError as error:
            raise self._end(str(error)) from error
        os.close(descriptor)
        yield
        yield from self._write_index(path, index)
        yield from self.clear()

    def _write_index(self, path: Path, index: Index) -> Work:
        """Whole or not at all: a reader never sees half an index."""
        temporary = path.with_suffix(".tmp")
        try:
            with open(temporary, "wb") as file:
                for part in index.parts():
                    file.write(part)
                    yield
            temporary.replace(path.with_suffix(".idx"))
        except OSError as error:
            raise self._end(str(error)) from error

    def index_old(self) -> Work:
        """Segments without an index, as after a kill; the one in hand is not among them."""
        for path in sorted(self.directory.glob("*.seg")):
            if path == self.path or path.with_suffix(".idx").exists() or self.off is not None:
                continue
            try:
                data = path.read_bytes()
                yield
                index, _, _ = scan(data)
            except (OSError, FrameError):
                continue
            yield
            index.covers = len(data)
            yield from self._write_index(path, index)

    def clear(self) -> Work:
        """Delete what is over the stated bytes or age, the oldest first."""
        found = []
        for path in sorted(self.directory.glob("*.seg")):
            try:
                stat = path.stat()
            except FileNotFoundError:
                continue
            found.append((path, stat.st_size, int(stat.st_mtime * 1_000_000)))
        yield
        total = sum(size for _, size, _ in found)
        for path, size, written_us in found:
            too_old = self.now() - written_us > self.keep_us
            if path == self.path or not (total > self.keep_bytes or too_old):
                continue
            try:
                path.unlink(missing_ok=True)
                path.with_suffix(".idx").unlink(missing_ok=True)
            except OSError as error:
                raise self._end(str(error)) from error
            total -= size
            self.dropped_segments += 1
            yield
