"""Reads a directory of segments, also while a writer appends to it, rotates it and deletes from it."""

import os
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from whintrail.timeline.events import Detection, Row
from whintrail.timeline.rollups import Bucket
from whintrail.timeline.store import frames
from whintrail.timeline.store.frames import Damage, Frame, FrameError
from whintrail.timeline.store.index import Index

EVENT_TYPES = frozenset({frames.EVENTS})
ROLLUP_TYPES = frozenset({frames.ROLLUP})
DETECTION_TYPES = frozenset({frames.DETECTION})


@dataclass(slots=True)
class SegmentReport:
    """Result of the verification of a segment."""

    name: str
    bytes: int = 0
    frames: int = 0
    events: int = 0
    engines: int = 0
    damaged: int = 0  # number of damaged places
    lost_bytes: int = 0
    torn: bool = False
    index: str = "none"
    fault: str | None = None


@dataclass(slots=True)
class Segment:
    """An open segment; it stays readable after its file is deleted."""

    path: Path
    descriptor: int
    index: Index
    classes: tuple[str, ...] = ()
    gateway: str = ""

    def read_frame(self, offset: int, size: int) -> Frame | None:
        """The frame there; None if the bytes were damaged after they were indexed."""
        try:
            return frames.decode_frame(os.pread(self.descriptor, size, offset))
        except FrameError:
            return None


def scan_segment(data: bytes) -> tuple[Index, SegmentReport, tuple[str, tuple[str, ...]]]:
    """Index, report, gateway name and classes of a segment. Errors: FrameError for an unusable header."""
    index, report = Index(), SegmentReport("", len(data))
    header: tuple[str, tuple[str, ...]] | None = None
    for item in frames.scan_frames(data):
        if isinstance(item, Damage):
            report.damaged += 1
            report.lost_bytes += item.end - item.offset
            report.torn = item.torn
            continue
        report.frames += 1
        # A damaged header costs only the names of the classes; another frame there means a foreign segment.
        if item.offset == 0:
            name, _, classes = frames.decode_header(item)
            header = name, classes
        else:
            index_frame(index, item, report)
    report.engines, index.covered_bytes = len(index.engines), len(data)
    return index, report, header or ("", ())


def index_frame(index: Index, frame: Frame, report: SegmentReport | None = None) -> None:
    """Add a frame to the index; types that this version doesn't know are ignored."""
    try:
        if frame.type == frames.EVENTS:
            engine, first_us, last_us, count = frames.decode_events_span(frame)
            index.add(engine, frame.type, first_us, last_us, frame.offset, frame.size)
            if report is not None:
                report.events += count
        elif frame.type == frames.ROLLUP:
            engine, _, sealed = frames.decode_rollup(frame)
            at_us = Bucket.from_bytes(sealed).at_us
            index.add(engine, frame.type, at_us, at_us, frame.offset, frame.size)
        elif frame.type == frames.DETECTION:
            detection = frames.decode_detection(frame)
            index.add(
                detection.engine, frame.type, detection.at_us, detection.at_us, frame.offset, frame.size
            )
    except (FrameError, ValueError):
        if report is not None:
            report.damaged += 1
            report.lost_bytes += frame.size


@dataclass(slots=True)
class Reader:
    """All segments of a directory, oldest first. Use it as a context manager or `close` it."""

    directory: Path
    segments: list[Segment] = field(default_factory=list)
    skipped: list[str] = field(default_factory=list)  # unusable segments, each with the reason

    @classmethod
    def open(cls, directory: str | Path, since: int = 0, until: int = 1 << 62) -> "Reader":
        """Open all segments of a directory. Errors: OSError if it can't be read."""
        reader = cls(Path(directory))
        for path in sorted(path for path in reader.directory.iterdir() if path.suffix == ".seg"):
            try:
                descriptor = os.open(path, os.O_RDONLY)
            except FileNotFoundError:
                continue  # deleted since the directory was listed
            try:
                segment = cls._open_segment(path, descriptor)
            except FrameError as error:
                os.close(descriptor)
                reader.skipped.append(f"{path.name}: {error}")
                continue
            reader.segments.append(segment)
        return reader

    @staticmethod
    def _open_segment(path: Path, descriptor: int) -> Segment:
        size = os.fstat(descriptor).st_size
        try:
            index = Index.decode(path.with_suffix(".idx").read_bytes(), size)
            header = frames.decode_frame(os.pread(descriptor, 1 << 16, 0))
            gateway, _, classes = frames.decode_header(header)
        except (OSError, FrameError):  # no usable index: build it from the segment
            index, _, (gateway, classes) = scan_segment(os.pread(descriptor, size, 0))
        return Segment(path, descriptor, index, classes, gateway)

    @property
    def classes(self) -> tuple[str, ...]:
        return self.segments[-1].classes if self.segments else ()

    def engines(self) -> list[str]:
        return sorted({name for segment in self.segments for name in segment.index.engines})

    def _frames(self, engine: str | None, types: frozenset[int], since: int, until: int) -> Iterator[Frame]:
        for segment in self.segments:
            if segment.index.last_us < since or segment.index.first_us > until:
                continue
            for offset, size in segment.index.find_frames(engine, types, since, until):
                if (frame := segment.read_frame(offset, size)) is not None:
                    yield frame

    def rows(self, engine: str | None = None, since: int = 0, until: int = 1 << 62) -> Iterator[Row]:
        """Raw events, found by the index; times are Unix microseconds."""
        for frame in self._frames(engine, EVENT_TYPES, since, until):
            for row in frames.decode_events(frame):
                if since <= row.at_us <= until:
                    yield row

    def scan_rows(self, engine: str, since: int = 0, until: int = 1 << 62) -> Iterator[Row]:
        """The same without the index, for tests and benchmarks to compare with."""
        for segment in self.segments:
            for frame in frames.scan_frames(
                os.pread(segment.descriptor, os.fstat(segment.descriptor).st_size, 0)
            ):
                if isinstance(frame, Frame) and frame.type == frames.EVENTS:
                    for row in frames.decode_events(frame):
                        if row.engine == engine and since <= row.at_us <= until:
                            yield row

    def detections(
        self, engine: str | None = None, since: int = 0, until: int = 1 << 62
    ) -> Iterator[Detection]:
        for frame in self._frames(engine, DETECTION_TYPES, since, until):
            yield frames.decode_detection(frame)

    def rollups(self, engine: str, level: int, since: int = 0, until: int = 1 << 62) -> Iterator[Bucket]:
        for frame in self._frames(engine, ROLLUP_TYPES, since, until):
            _, frame_level, sealed = frames.decode_rollup(frame)
            if frame_level == level:
                yield Bucket.from_bytes(sealed)

    def verify(self) -> Iterator[SegmentReport]:
        """Check every byte of each segment, and its index against the segment."""
        for path in sorted(path for path in self.directory.iterdir() if path.suffix == ".seg"):
            try:
                data = path.read_bytes()
            except FileNotFoundError:
                continue
            try:
                index, report, _ = scan_segment(data)
            except FrameError as error:
                yield SegmentReport(path.name, len(data), fault=str(error))
                continue
            report.name = path.name
            try:
                stored_index = Index.decode(path.with_suffix(".idx").read_bytes(), len(data))
                report.index = "sound" if stored_index.encode() == index.encode() else "differs"
            except FileNotFoundError:
                report.index = "none"
            except FrameError as error:
                report.index = f"unusable: {error}"
            yield report

    def close(self) -> None:
        for segment in self.segments:
            os.close(segment.descriptor)
        self.segments.clear()

    def __enter__(self) -> "Reader":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
