"""The index of a segment: engine, first and last time, offset, size and type of each frame."""

from __future__ import annotations

from array import array
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from whintrail.timeline.store.frames import INDEX, Frame, FrameError, decode_frame, encode_frame

INDEX_FRAME_BYTES = 1 << 16  # a larger index is split into several frames


@dataclass(slots=True)
class FrameLocations:
    """The frames of one engine, in the order written."""

    first_us: array[int] = field(default_factory=lambda: array("q"))
    last_us: array[int] = field(default_factory=lambda: array("q"))
    offsets: array[int] = field(default_factory=lambda: array("Q"))
    sizes: array[int] = field(default_factory=lambda: array("I"))
    types: array[int] = field(default_factory=lambda: array("B"))

    def columns(self) -> tuple[array[int], ...]:
        return self.first_us, self.last_us, self.offsets, self.sizes, self.types


class Index:
    """The index of one segment. `covered_bytes` is the length of the segment that it describes."""

    def __init__(self) -> None:
        self.engines: defaultdict[str, FrameLocations] = defaultdict(FrameLocations)
        self.first_us, self.last_us = 1 << 62, 0
        self.covered_bytes = 0
        self.frame_count = 0

    def add(self, engine: str, type_: int, first_us: int, last_us: int, offset: int, size: int) -> None:
        locations = self.engines[engine]
        for column, value in zip(locations.columns(), (first_us, last_us, offset, size, type_), strict=True):
            column.append(value)
        self.first_us, self.last_us = min(self.first_us, first_us), max(self.last_us, last_us)
        self.covered_bytes = max(self.covered_bytes, offset + size)
        self.frame_count += 1

    def find_frames(
        self, engine: str | None, types: frozenset[int], since: int, until: int
    ) -> Iterator[tuple[int, int]]:
        """Offset and size of the frames that may hold matching events, in the order written."""
        names = [engine] if engine is not None else list(self.engines)
        found: list[tuple[int, int]] = []
        for name in names:
            locations = self.engines.get(name)
            if locations is None:
                continue
            found += [
                (locations.offsets[i], locations.sizes[i])
                for i in range(len(locations.offsets))
                if locations.types[i] in types
                and locations.last_us[i] >= since
                and locations.first_us[i] <= until
            ]
        return iter(found if engine is not None else sorted(found))

    def encode(self) -> bytes:
        return b"".join(self.encode_frames())

    def encode_frames(self) -> Iterator[bytes]:
        """The index as frames, each of which can be decoded on its own."""
        columns_by_engine, frame_bytes = dict[str, list[bytes]](), 0
        for name, locations in self.engines.items():
            columns_by_engine[name] = [column.tobytes() for column in locations.columns()]
            frame_bytes += sum(map(len, columns_by_engine[name])) + len(name)
            if frame_bytes > INDEX_FRAME_BYTES:
                yield self._encode_frame(columns_by_engine)
                columns_by_engine, frame_bytes = {}, 0
        yield self._encode_frame(columns_by_engine)

    def _encode_frame(self, columns_by_engine: dict[str, list[bytes]]) -> bytes:
        return encode_frame(
            INDEX,
            msgspec.msgpack.encode(
                [self.covered_bytes, self.first_us, self.last_us, self.frame_count, columns_by_engine]
            ),
        )

    @classmethod
    def decode(cls, data: bytes, covered_bytes: int) -> Index:
        """Errors: FrameError if it is damaged or belongs to a segment of another length."""
        index, offset, frame_count = cls(), 0, 0
        while offset < len(data):
            frame = decode_frame(data, offset)
            offset += frame.size
            index._merge_frame(frame, covered_bytes)
        frame_count = sum(len(locations.offsets) for locations in index.engines.values())
        if index.covered_bytes != covered_bytes or frame_count != index.frame_count:
            raise FrameError("index is incomplete or of another segment")
        return index

    def _merge_frame(self, frame: Frame, covered_bytes: int) -> None:
        if frame.type != INDEX:
            raise FrameError("not an index frame")
        try:
            fields: Any = msgspec.msgpack.decode(frame.payload)
            self.covered_bytes, self.first_us, self.last_us, self.frame_count, columns_by_engine = fields
            for name, columns in columns_by_engine.items():
                locations = self.engines[name]
                for column, data in zip(locations.columns(), columns, strict=True):
                    column.frombytes(data)
                if len({len(column) for column in locations.columns()}) != 1:
                    raise FrameError("columns have different lengths")
        except (msgspec.DecodeError, TypeError, ValueError, AttributeError) as error:
            raise FrameError(str(error)) from error
