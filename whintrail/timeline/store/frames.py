"""Frames of a segment: pure, bytes in and out.

    magic (2) | type (1) | length (4) | CRC-32C of type, length and payload (4) | payload

All little-endian; the payload is MessagePack. The magic is there to find the next frame behind a damaged one:
what can be read is read, whatever lies before it.
"""

import struct
from array import array
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec
from crc32c import crc32c

from whintrail.timeline.kinds import Happening, Kind, Row, Verdict

MAGIC = b"\xc5\x9c"
HEAD = struct.Struct("<2sBII")
CHECKED = struct.Struct("<BI")
MOST_PAYLOAD = 1 << 20
VERSION = 1
HEADER, EVENTS, ROLLUP, JUDGED, INDEX = 1, 2, 3, 4, 5
ROW = struct.calcsize("<IHff")
SPAN_US = 0xFFFF_FFFF  # of the times within one frame


class FrameError(ValueError):
    """The bytes are no frame, or a damaged one."""


@dataclass(slots=True)
class Frame:
    at: int  # its offset
    type: int
    payload: memoryview | bytes

    @property
    def size(self) -> int:
        return HEAD.size + len(self.payload)


@dataclass(slots=True)
class Damage:
    """Bytes that are no frame: from offset to offset. `torn`: they run to the end, as after a kill."""

    at: int
    until: int
    torn: bool


def pack(type_: int, payload: bytes) -> bytes:
    """Errors: FrameError where the payload is too large."""
    if len(payload) > MOST_PAYLOAD:
        raise FrameError(f"a payload of {len(payload)} bytes")
    check = crc32c(payload, crc32c(CHECKED.pack(type_, len(payload))))
    return HEAD.pack(MAGIC, type_, len(payload), check) + payload


def unpack(data: memoryview | bytes, at: int = 0) -> Frame:
    """The frame at that offset. Errors: FrameError."""
    if at + HEAD.size > len(data):
        raise FrameError("cut short")
    magic, type_, length, check = HEAD.unpack_from(data, at)
    if magic != MAGIC or length > MOST_PAYLOAD:
        raise FrameError("no frame")
    start = at + HEAD.size
    if start + length > len(data):
        raise FrameError("cut short")
    payload = data[start : start + length]
    if crc32c(payload, crc32c(CHECKED.pack(type_, length))) != check:
        raise FrameError("damaged")
    return Frame(at, type_, payload)


def walk(data: memoryview | bytes, at: int = 0) -> Iterator[Frame | Damage]:
    """Every frame that can be read, and what lies between."""
    size, whole = len(data), bytes(data) if isinstance(data, memoryview) else data
    while at < size:
        try:
            frame = unpack(data, at)
        except FrameError:
            start = at
            while True:  # the next magic behind which a whole frame stands
                at = whole.find(MAGIC, at + 1)
                if at < 0:
                    yield Damage(start, size, True)
                    return
                try:
                    unpack(data, at)
                    break
                except FrameError:
                    continue
            yield Damage(start, at, False)
        else:
            yield frame
            at += frame.size


# --- Payloads.


def header(name: str, created_us: int, classes: tuple[str, ...]) -> bytes:
    return pack(HEADER, msgspec.msgpack.encode([VERSION, name, created_us, list(classes)]))


def read_header(frame: Frame) -> tuple[str, int, tuple[str, ...]]:
    """Name of the gateway, when, and its classes. Errors: FrameError for a foreign or future segment."""
    if frame.type != HEADER:
        raise FrameError("no header: not a segment of a time line")
    try:
        version, name, created_us, classes = msgspec.msgpack.decode(frame.payload)
    except (msgspec.DecodeError, ValueError, TypeError) as error:
        raise FrameError(f"header: {error}") from error
    if version != VERSION:
        raise FrameError(f"version {version}; this program reads {VERSION}")
    return str(name), int(created_us), tuple(classes)


def events(engine: str, rows: list[tuple[int, int, int, int, float, float]]) -> bytes:
    """One engine's raw events (time, slot, kind, code, a, b), in columns; times within SPAN_US."""
    base = rows[0][0]
    columns = (
        array("I", [row[0] - base for row in rows]),
        array("H", [row[2] << 8 | row[3] for row in rows]),
        array("f", [row[4] for row in rows]),
        array("f", [row[5] for row in rows]),
    )
    data = b"".join(column.tobytes() for column in columns)
    return pack(EVENTS, msgspec.msgpack.encode([engine, base, len(rows), data]))


def _columns(frame: Frame) -> tuple[str, int, int, bytes]:
    engine, base, count, data = _decode(frame, 4)
    if not isinstance(data, bytes) or not count or len(data) != count * ROW:
        raise FrameError("columns of another length")
    return engine, base, count, data


def events_span(frame: Frame) -> tuple[str, int, int, int]:
    """Engine, first and last time, and number of events, without reading each. Errors: FrameError."""
    engine, base, count, data = _columns(frame)
    (last,) = struct.unpack_from("<I", data, 4 * (count - 1))
    return engine, base, base + last, count


def read_events(frame: Frame) -> list[Row]:
    """Errors: FrameError."""
    engine, base, count, data = _columns(frame)
    times, codes, a, b = array("I"), array("H"), array("f"), array("f")
    at = 0
    for column in (times, codes, a, b):
        end = at + count * column.itemsize
        column.frombytes(data[at:end])
        at = end
    try:
        return [
            Row(base + times[i], engine, Kind(codes[i] >> 8), codes[i] & 0xFF, a[i], b[i])
            for i in range(count)
        ]
    except ValueError as error:
        raise FrameError(str(error)) from error


def rollup(engine: str, level: int, sealed: bytes) -> bytes:
    return pack(ROLLUP, msgspec.msgpack.encode([engine, level, sealed]))


def read_rollup(frame: Frame) -> tuple[str, int, bytes]:
    engine, level, sealed = _decode(frame, 3)
    return engine, level, sealed


def judged(happening: Happening) -> bytes:
    h = happening
    fields = [h.engine, int(h.verdict), h.begins, h.at_us, h.since_us, h.evidence]
    return pack(JUDGED, msgspec.msgpack.encode(fields))


def read_judged(frame: Frame) -> Happening:
    engine, verdict, begins, at_us, since_us, evidence = _decode(frame, 6)
    try:
        return Happening(engine, Verdict(verdict), begins, at_us, since_us, evidence)
    except ValueError as error:
        raise FrameError(str(error)) from error


def _decode(frame: Frame, length: int) -> list[Any]:
    try:
        found = msgspec.msgpack.decode(frame.payload)
    except (msgspec.DecodeError, ValueError) as error:
        raise FrameError(str(error)) from error
    if not isinstance(found, list) or len(found) != length:
        raise FrameError("another form")
    return found
