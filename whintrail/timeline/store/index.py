"""What a segment holds, by engine and time: for each frame its engine, first and last time, and place."""

from __future__ import annotations

from array import array
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from whintrail.timeline.store.frames import INDEX, Frame, FrameError, pack, unpack

PARTS = 1 << 16  # bytes of an index frame: a large index takes several


@dataclass(slots=True)
class Places:
    """Frames of one engine, in the order written."""

    first_us: array[int] = field(default_factory=lambda: array("q"))
    last_us: array[int] = field(default_factory=lambda: array("q"))
    at: array[int] = field(default_factory=lambda: array("Q"))
    size: array[int] = field(default_factory=lambda: array("I"))
    type: array[int] = field(default_factory=lambda: array("B"))

    def columns(self) -> tuple[array[int], ...]:
        return self.first_us, self.last_us, self.at, self.size, self.type


class Index:
    """Of one segment. `covers`: the bytes of the segment that it speaks of."""

    def __init__(self) -> None:
        self.engines: defaultdict[str, Places] = defaultdict(Places)
        self.first_us, self.last_us = 1 << 62, 0
        self.covers = 0
        self.frames = 0

    def add(self, engine: str, type_: int, first_us: int, last_us: int, at: int, size: int) -> None:
        places = self.engines[engine]
        for column, value in zip(places.columns(), (first_us, last_us, at, size, type_), strict=True):
            column.append(value)
        self.first_us, self.last_us = min(self.first_us, first_us), max(self.last_us, last_us)
        self.covers = max(self.covers, at + size)
        self.frames += 1

    def find(
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
                (places.at[i], places.size[i])
                for i in range(len(places.at))
                if places.type[i] in types and places.last_us[i] >= since and places.first_us[i] <= until
            ]
        return iter(found if engine is not None else sorted(found))

    def encode(self) -> bytes:
        return b"".join(self.parts())

    def parts(self) -> Iterator[bytes]:
        """Frames of their own, each complete in itself."""
        part, size = dict[str, list[bytes]](), 0
        for name, places in self.engines.items():
            part[name] = [column.tobytes() for column in places.columns()]
            size += sum(map(len, part[name])) + len(name)
            if size > PARTS:
                yield self._frame(part)
                part, size = {}, 0
        yield self._frame(part)

    def _frame(self, part: dict[str, list[bytes]]) -> bytes:
        return pack(
            INDEX, msgspec.msgpack.encode([self.covers, self.first_us, self.last_us, self.frames, part])
        )

    @classmethod
    def decode(cls, data: bytes, covers: int) -> Index:
        """Errors: FrameError where it is damaged, or speaks of another length of the segment."""
        index, at, frames = cls(), 0, 0
        while at < len(data):
            frame = unpack(data, at)
            at += frame.size
            index._take(frame, covers)
        frames = sum(len(places.at) for places in index.engines.values())
        if index.covers != covers or frames != index.frames:
            raise FrameError("an index of another segment, or not whole")
        return index

    def _take(self, frame: Frame, covers: int) -> None:
        if frame.type != INDEX:
            raise FrameError("no index")
        try:
            found: Any = msgspec.msgpack.decode(frame.payload)
            self.covers, self.first_us, self.last_us, self.frames, part = found
            for name, columns in part.items():
                places = self.engines[name]
                for column, data in zip(places.columns(), columns, strict=True):
                    column.frombytes(data)
                if len({len(column) for column in places.columns()}) != 1:
                    raise FrameError("columns of another length")
        except (msgspec.DecodeError, TypeError, ValueError, AttributeError) as error:
            raise FrameError(str(error)) from error
