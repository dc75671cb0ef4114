"""What a segment holds, by engine and time: for each frame its engine, first and last time, and place."""

from __future__ import annotations

from array import array
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from whintrail.timeline.store.frames import INDEX, Frame, FrameError, decode_frame, encode_frame

INDEX_FRAME_BYTES = 1 << 16  # bytes of an index frame: a large index takes several


@dataclass(slots=True)
class FrameLocations:
    """Frames of one engine, in the order written."""

    first_us: array[int] = field(default_factory=lambda: array("q"))
    last_us: array[int] = field(default_factory=lambda: array("q"))
    offsets: array[int] = field(default_factory=lambda: array("Q"))
    sizes: array[int] = field(default_factory=lambda: array("I"))
    types: array[int] = field(default_factory=lambda: array("B"))

    def columns(self) -> tuple[array[int], ...]:
        return self.first_us, self.last_us, self.offsets, self.sizes, self.types


class Index:
    """Of one segment. `covers`: the bytes of the segment that it speaks of."""

    def __init__(self) -> None:
        self.engines: defaultdict[str, FrameLocations] = defaultdict(FrameLocations)
        self.first_us, self.last_us = 1 << 62, 0
        self.covered_bytes = 0
        self.frame_count = 0

    def add(self, engine: str, type_: int, first_us: int, last_us: int, offset: int, size: int) -> None:
        places = self.engines[engine]
        for column, value in zip(places.columns(), (first_us, last_us, offset, size, type_), strict=True):
            column.append(value)
        self.first_us, self.last_us = min(self.first_us, first_us), max(self.last_us, last_us)
        self.covered_bytes = max(self.covered_bytes, offset + size)
        self.frame_count += 1

    def find_frames(
        self, engine: str | None, types: frozenset[int], since: int, until: int
    ) -> Iterator[tuple[int, int]]:
        """Offset and size of the frames that may hold what is asked for, in the order written."""
        names = [engine] if engine is not None else list(self.engines)
        found: list[tuple[int, int]] = []
        for name in names:
            places = self.engines.get(name)
            if places is None:
                continue
            found += [
                (places.offsets[i], places.sizes[i])
                for i in range(len(places.offsets))
                if places.types[i] in types and places.last_us[i] >= since and places.first_us[i] <= until
            ]
        return iter(found if engine is not None else sorted(found))

    def encode(self) -> bytes:
        return b"".join(self.encode_frames())

    def encode_frames(self) -> Iterator[bytes]:
        """Frames of their own, each complete in itself."""
        part, size = dict[str, list[bytes]](), 0
        for name, places in self.engines.items():
            part[name] = [column.tobytes() for column in places.columns()]
            size += sum(map(len, part[name])) + len(name)
            if size > INDEX_FRAME_BYTES:
                yield self._encode_frame(part)
                part, size = {}, 0
        yield self._encode_frame(part)

    def _encode_frame(self, part: dict[str, list[bytes]]) -> bytes:
        return encode_frame(
            INDEX,
            msgspec.msgpack.encode([self.covered_bytes, self.first_us, self.last_us, self.frame_count, part]),
        )

    @classmethod
    def decode(cls, data: bytes, covered_bytes: int) -> Index:
        """Errors: FrameError where it is damaged, or speaks of another length of the segment."""
        index, at, frames = cls(), 0, 0
        while at < len(data):
            frame = decode_frame(data, at)
            at += frame.size
            index._merge_frame(frame, covered_bytes)
        frames = sum(len(places.offsets) for places in index.engines.values())
        if index.covered_bytes != covered_bytes or frames != index.frame_count:
            raise FrameError("an index of another segment, or not whole")
        return index

    def _merge_frame(self, frame: Frame, covered_bytes: int) -> None:
        if frame.type != INDEX:
            raise FrameError("no index")
        try:
            found: Any = msgspec.msgpack.decode(frame.payload)
            self.covered_bytes, self.first_us, self.last_us, self.frame_count, part = found
            for name, columns in part.items():
                places = self.engines[name]
                for column, data in zip(places.columns(), columns, strict=True):
                    column.frombytes(data)
                if len({len(column) for column in places.columns()}) != 1:
                    raise FrameError("columns of another length")
        except (msgspec.DecodeError, TypeError, ValueError, AttributeError) as error:
            raise FrameError(str(error)) from error
