"""Reads a directory of segments, also one that is being written, rotated and cleared at the same time."""

import os
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from whintrail.timeline.events import Detection, Row
from whintrail.timeline.rollups import Bucket
from whintrail.timeline.store import frames
from whintrail.timeline.store.frames import Damage, Frame, FrameError
from whintrail.timeline.store.index import Index

EVENT_TYPES, ROLLUP_TYPES, DETECTION_TYPES = (
    frozenset({frames.EVENTS}),
    frozenset({frames.ROLLUP}),
    frozenset({frames.DETECTION}),
)


@dataclass(slots=True)
class SegmentReport:
    """What a look at every byte of a segment found."""

    name: str
    bytes: int = 0
    frames: int = 0
    events: int = 0
    engines: int = 0
    damaged: int = 0  # places
    lost_bytes: int = 0
    torn: bool = False
    index: str = "none"
    fault: str | None = None


@dataclass(slots=True)
class Segment:
    """An open segment; it stays readable when its name is gone."""

    path: Path
    descriptor: int
    index: Index
    classes: tuple[str, ...] = ()
    gateway: str = ""

    def read_frame(self, offset: int, size: int) -> Frame | None:
        """None where the bytes have been damaged since they were indexed."""
        try:
            return frames.decode_frame(os.pread(self.descriptor, size, offset))
        except FrameError:
            return None


def scan_segment(data: bytes) -> tuple[Index, SegmentReport, tuple[str, tuple[str, ...]]]:
    """The index of a segment from its bytes. Errors: FrameError where its header can't be used."""
    index, report = Index(), SegmentReport("", len(data))
    about: tuple[str, tuple[str, ...]] | None = None
    for found in frames.scan_frames(data):
        if isinstance(found, Damage):
            report.damaged += 1
            report.lost_bytes += found.end - found.offset
            report.torn = found.torn
            continue
        report.frames += 1
        if (
            found.offset == 0
        ):  # a damaged header costs the classes' names only; another first frame is foreign
            name, _, classes = frames.decode_header(found)
            about = name, classes
        else:
            index_frame(index, found, report)
    report.engines, index.covered_bytes = len(index.engines), len(data)
    return index, report, about or ("", ())


def index_frame(index: Index, frame: Frame, report: SegmentReport | None = None) -> None:
    """Enter a frame; one of a kind that this version doesn't know is passed over."""
    try:
        if frame.type == frames.EVENTS:
            engine, first, last, count = frames.decode_events_span(frame)
            index.add(engine, frame.type, first, last, frame.offset, frame.size)
            if report is not None:
                report.events += count
        elif frame.type == frames.ROLLUP:
            engine, _, sealed = frames.decode_rollup(frame)
            at_us = Bucket.from_bytes(sealed).at_us
            index.add(engine, frame.type, at_us, at_us, frame.offset, frame.size)
        elif frame.type == frames.DETECTION:
            happening = frames.decode_detection(frame)
            index.add(
                happening.engine, frame.type, happening.at_us, happening.at_us, frame.offset, frame.size
            )
    except (FrameError, ValueError):
        if report is not None:
            report.damaged += 1
            report.lost_bytes += frame.size


@dataclass(slots=True)
class Reader:
    """Everything in a directory, oldest segment first. Use as a context, or `close` it."""

    directory: Path
    segments: list[Segment] = field(default_factory=list)
    skipped: list[str] = field(default_factory=list)  # segments that can't be used, and why

    @classmethod
    def open(cls, directory: str | Path, since: int = 0, until: int = 1 << 62) -> "Reader":
        """Errors: OSError where the directory can't be read."""
        reader = cls(Path(directory))
        for path in sorted(path for path in reader.directory.iterdir() if path.suffix == ".seg"):
            try:
                descriptor = os.open(path, os.O_RDONLY)
            except FileNotFoundError:
                continue  # cleared away since it was listed
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
            first = frames.decode_frame(os.pread(descriptor, 1 << 16, 0))
            gateway, _, classes = frames.decode_header(first)
        except (OSError, FrameError):  # no index yet, or a damaged one: the segment itself tells
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
            for at, size in segment.index.find_frames(engine, types, since, until):
                if (frame := segment.read_frame(at, size)) is not None:
                    yield frame

    def rows(self, engine: str | None = None, since: int = 0, until: int = 1 << 62) -> Iterator[Row]:
        """Raw events, by the index; times in Unix microseconds."""
        for frame in self._frames(engine, EVENT_TYPES, since, until):
            for row in frames.decode_events(frame):
                if since <= row.at_us <= until:
                    yield row

    def scan_rows(self, engine: str, since: int = 0, until: int = 1 << 62) -> Iterator[Row]:
        """The same without the index: what it is measured against."""
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
            _, found, sealed = frames.decode_rollup(frame)
            if found == level:
                yield Bucket.from_bytes(sealed)

    def verify(self) -> Iterator[SegmentReport]:
        """Every byte of every segment looked at, and each index held against it."""
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
                held = Index.decode(path.with_suffix(".idx").read_bytes(), len(data))
                report.index = "sound" if held.encode() == index.encode() else "differs"
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
