"""Writes segments: appends frames, rotates, indexes and deletes, as background jobs in small steps.

A full or read-only disk switches off the store (StoreUnavailable), never the gateway. Each start begins a new
segment: one that a kill left with a torn frame is never appended to.
"""

import fcntl
import os
from collections.abc import Callable, Generator, Iterable
from contextlib import suppress
from pathlib import Path

from whintrail.timeline.core import Timeline
from whintrail.timeline.errors import StoreUnavailable
from whintrail.timeline.events import Detection
from whintrail.timeline.store import frames
from whintrail.timeline.store.frames import FrameError
from whintrail.timeline.store.index import Index
from whintrail.timeline.store.reader import scan_segment

StepwiseJob = Generator[None, None, None]
READ_BATCH_ROWS = 256  # raw events read in one step
MAX_GROUPED_ROWS = 16_384  # raw events that are grouped by engine into frames at once
STORED_LEVELS = (1, 2)  # levels of roll-ups that are stored: 10 s and 1 min


def segment_number(path: Path) -> int:
    return int(path.stem) if path.stem.isdigit() else 0


class Writer:
    """Writes one gateway's segments to a directory, which it locks.

    `keep_bytes` and `keep_us` limit size and age of all segments; the current one is never deleted.
    """

    def __init__(
        self,
        directory: str | Path,
        gateway_name: str,
        classes: tuple[str, ...],
        segment_bytes: int,
        keep_bytes: int,
        keep_us: int,
        now: Callable[[], int],
    ) -> None:
        self.directory, self.gateway_name, self.classes = Path(directory), gateway_name, classes
        self.segment_bytes, self.keep_bytes, self.keep_us, self.now = segment_bytes, keep_bytes, keep_us, now
        self.next_row = 0  # number of the next raw event to write
        self.missed_events = 0  # raw events dropped from memory before they were written
        self.events_written = self.bytes_written = self.deleted_segments = 0
        # Start of the last stored bucket, by slot and level.
        self.last_stored_buckets: dict[tuple[int, int], int] = {}
        self.off_reason: str | None = None  # why the store is switched off
        self.descriptor = self.lock_descriptor = -1
        try:
            self.directory.mkdir(parents=True, exist_ok=True)
            self.lock_descriptor = os.open(self.directory / "lock", os.O_RDWR | os.O_CREAT, 0o644)
            fcntl.flock(self.lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.current_number = max(
                (segment_number(path) for path in self.directory.glob("*.seg")), default=0
            )
            self._begin_segment()
        except BlockingIOError as error:
            raise self._disable(f"{directory}: another gateway writes here") from error
        except OSError as error:
            raise self._disable(str(error)) from error

    # --- Segments.

    @property
    def segment_path(self) -> Path:
        return self.directory / f"{self.current_number:012d}.seg"

    def _begin_segment(self) -> None:
        self.current_number += 1
        self.descriptor = os.open(self.segment_path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o644)
        self.segment_index, self.segment_size = Index(), 0
        self._append(frames.encode_header(self.gateway_name, self.now(), self.classes))

    def _append(self, data: bytes) -> int:
        """Append a frame and return its offset. Errors: StoreUnavailable, after removing a partial frame."""
        offset = self.segment_size
        try:
            written = 0
            while written < len(data):
                written += os.write(self.descriptor, data[written:])
        except OSError as error:
            with suppress(OSError):  # if it fails, readers find and skip the torn frame
                os.ftruncate(self.descriptor, offset)
            raise self._disable(str(error)) from error
        self.segment_size += len(data)
        self.bytes_written += len(data)
        return offset

    def _disable(self, reason: str) -> StoreUnavailable:
        self.off_reason = reason
        self.close()
        return StoreUnavailable(reason)

    def close(self) -> None:
        for descriptor in (self.descriptor, self.lock_descriptor):
            if descriptor >= 0:
                os.close(descriptor)
        self.descriptor = self.lock_descriptor = -1

    def sync(self) -> None:
        """Sync the current segment to disk. Blocking: call it in a thread. Errors: OSError."""
        if self.descriptor >= 0:
            copy = os.dup(self.descriptor)  # the segment may be rotated meanwhile
            try:
                os.fsync(copy)
            finally:
                os.close(copy)

    # --- Jobs, in steps.

    def write_events(self, timeline: Timeline) -> StepwiseJob:
        """Write the raw events since the last call, grouped by engine."""
        columns, names = timeline.history.columns, timeline.history.slot_names
        end = columns.next_number
        while self.next_row < end and self.off_reason is None:
            by_slot: dict[int, list[tuple[int, int, int, int, float, float]]] = {}
            batch_end = min(end, self.next_row + MAX_GROUPED_ROWS)
            while self.next_row < batch_end:
                rows, self.next_row, dropped = columns.read_from(
                    self.next_row, min(READ_BATCH_ROWS, batch_end - self.next_row)
                )
                self.missed_events += dropped
                for row in rows:
                    by_slot.setdefault(row[1], []).append(row)
                yield
            for slot, slot_rows in by_slot.items():
                engine = names.get(slot, f"#{slot}")
                while slot_rows:
                    frame_rows = [
                        row for row in slot_rows if row[0] - slot_rows[0][0] < frames.MAX_FRAME_SPAN_US
                    ]
                    self._write_event_frame(engine, frame_rows)
                    slot_rows = slot_rows[len(frame_rows) :]
                yield
            if self.segment_size >= self.segment_bytes:
                yield from self.rotate()

    def _write_event_frame(self, engine: str, rows: list[tuple[int, int, int, int, float, float]]) -> None:
        data = frames.encode_events(engine, rows)
        offset = self._append(data)
        self.segment_index.add(engine, frames.EVENTS, rows[0][0], rows[-1][0], offset, len(data))
        self.events_written += len(rows)

    def write_detections(self, detections: Iterable[Detection]) -> StepwiseJob:
        for detection in detections:
            if self.off_reason is not None:
                return
            data = frames.encode_detection(detection)
            offset = self._append(data)
            self.segment_index.add(
                detection.engine, frames.DETECTION, detection.at_us, detection.at_us, offset, len(data)
            )
            yield

    def write_rollups(self, timeline: Timeline) -> StepwiseJob:
        """Write the buckets that were sealed since the last call."""
        slots = set()
        for track in list(timeline.history.tracks.values()):
            slots.add(track.slot)
            for level in STORED_LEVELS:
                last_stored_us = self.last_stored_buckets.get((track.slot, level), -1)
                for sealed in list(track.sealed_buckets[level]):
                    at_us = int.from_bytes(sealed[:8], "little")
                    if at_us <= last_stored_us or self.off_reason is not None:
                        continue
                    data = frames.encode_rollup(track.engine, level, sealed)
                    offset = self._append(data)
                    self.segment_index.add(track.engine, frames.ROLLUP, at_us, at_us, offset, len(data))
                    self.last_stored_buckets[track.slot, level] = at_us
            yield
        for key in [key for key in self.last_stored_buckets if key[0] not in slots]:
            del self.last_stored_buckets[key]

    def rotate(self) -> StepwiseJob:
        """Begin a new segment, close the old one and write its index."""
        path, index, descriptor = self.segment_path, self.segment_index, self.descriptor
        index.covered_bytes = self.segment_size
        try:
            self._begin_segment()
        except OSError as error:
            raise self._disable(str(error)) from error
        os.close(descriptor)
        yield
        yield from self._write_index(path, index)
        yield from self.delete_expired()

    def _write_index(self, path: Path, index: Index) -> StepwiseJob:
        """Write an index atomically, so that no reader sees a partial one."""
        temporary = path.with_suffix(".tmp")
        try:
            with open(temporary, "wb") as file:
                for frame in index.encode_frames():
                    file.write(frame)
                    yield
            temporary.replace(path.with_suffix(".idx"))
        except OSError as error:
            raise self._disable(str(error)) from error

    def index_old_segments(self) -> StepwiseJob:
        """Write the missing indexes of older segments, as after a kill; the current one has none yet."""
        for path in sorted(self.directory.glob("*.seg")):
            if path == self.segment_path or path.with_suffix(".idx").exists() or self.off_reason is not None:
                continue
            try:
                data = path.read_bytes()
                yield
                index, _, _ = scan_segment(data)
            except (OSError, FrameError):
                continue
            yield
            index.covered_bytes = len(data)
            yield from self._write_index(path, index)

    def delete_expired(self) -> StepwiseJob:
        """Delete the oldest segments while the total size or their age exceeds its limit."""
        segments = []
        for path in sorted(self.directory.glob("*.seg")):
            try:
                stat = path.stat()
            except FileNotFoundError:
                continue
            segments.append((path, stat.st_size, int(stat.st_mtime * 1_000_000)))
        yield
        total = sum(size for _, size, _ in segments)
        for path, size, modified_us in segments:
            too_old = self.now() - modified_us > self.keep_us
            if path == self.segment_path or not (total > self.keep_bytes or too_old):
                continue
            try:
                path.unlink(missing_ok=True)
                path.with_suffix(".idx").unlink(missing_ok=True)
            except OSError as error:
                raise self._disable(str(error)) from error
            total -= size
            self.deleted_segments += 1
            yield
