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

from whintrail.timeline.events import Detection, Kind, Row, Verdict

MAGIC = b"\xc5\x9c"
FRAME_HEADER = struct.Struct("<2sBII")
CHECKSUM_HEADER = struct.Struct("<BI")
MAX_PAYLOAD_BYTES = 1 << 20
FORMAT_VERSION = 1
HEADER, EVENTS, ROLLUP, DETECTION, INDEX = 1, 2, 3, 4, 5
ROW_BYTES = struct.calcsize("<IHff")
MAX_FRAME_SPAN_US = 0xFFFF_FFFF  # of the times within one frame


class FrameError(ValueError):
    """The bytes are no frame, or a damaged one."""


@dataclass(slots=True)
class Frame:
    offset: int  # its offset
    type: int
    payload: memoryview | bytes

    @property
    def size(self) -> int:
        return FRAME_HEADER.size + len(self.payload)


@dataclass(slots=True)
class Damage:
    """Bytes that are no frame: from offset to offset. `torn`: they run to the end, as after a kill."""

    offset: int
    end: int
    torn: bool


def encode_frame(type_: int, payload: bytes) -> bytes:
    """Errors: FrameError where the payload is too large."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise FrameError(f"a payload of {len(payload)} bytes")
    check = crc32c(payload, crc32c(CHECKSUM_HEADER.pack(type_, len(payload))))
    return FRAME_HEADER.pack(MAGIC, type_, len(payload), check) + payload


def decode_frame(data: memoryview | bytes, offset: int = 0) -> Frame:
    """The frame at that offset. Errors: FrameError."""
    if offset + FRAME_HEADER.size > len(data):
        raise FrameError("cut short")
    magic, type_, length, check = FRAME_HEADER.unpack_from(data, offset)
    if magic != MAGIC or length > MAX_PAYLOAD_BYTES:
        raise FrameError("no frame")
    start = offset + FRAME_HEADER.size
    if start + length > len(data):
        raise FrameError("cut short")
    payload = data[start : start + length]
    if crc32c(payload, crc32c(CHECKSUM_HEADER.pack(type_, length))) != check:
        raise FrameError("damaged")
    return Frame(offset, type_, payload)


def scan_frames(data: memoryview | bytes, offset: int = 0) -> Iterator[Frame | Damage]:
    """Every frame that can be read, and what lies between."""
    size, whole = len(data), bytes(data) if isinstance(data, memoryview) else data
    while offset < size:
        try:
            frame = decode_frame(data, offset)
        except FrameError:
            start = offset
            while True:  # the next magic behind which a whole frame stands
                offset = whole.find(MAGIC, offset + 1)
                if offset < 0:
                    yield Damage(start, size, True)
                    return
                try:
                    decode_frame(data, offset)
                    break
                except FrameError:
                    continue
            yield Damage(start, offset, False)
        else:
            yield frame
            offset += frame.size


# --- Payloads.


def encode_header(name: str, created_us: int, classes: tuple[str, ...]) -> bytes:
    return encode_frame(HEADER, msgspec.msgpack.encode([FORMAT_VERSION, name, created_us, list(classes)]))


def decode_header(frame: Frame) -> tuple[str, int, tuple[str, ...]]:
    """Name of the gateway, when, and its classes. Errors: FrameError for a foreign or future segment."""
    if frame.type != HEADER:
        raise FrameError("no header: not a segment of a time line")
    try:
        version, name, created_us, classes = msgspec.msgpack.decode(frame.payload)
    except (msgspec.DecodeError, ValueError, TypeError) as error:
        raise FrameError(f"header: {error}") from error
    if version != FORMAT_VERSION:
        raise FrameError(f"version {version}; this program reads {FORMAT_VERSION}")
    return str(name), int(created_us), tuple(classes)


def encode_events(engine: str, rows: list[tuple[int, int, int, int, float, float]]) -> bytes:
    """One engine's raw events (time, slot, kind, code, a, b), in columns; times within SPAN_US."""
    base = rows[0][0]
    columns = (
        array("I", [row[0] - base for row in rows]),
        array("H", [row[2] << 8 | row[3] for row in rows]),
        array("f", [row[4] for row in rows]),
        array("f", [row[5] for row in rows]),
    )
    data = b"".join(column.tobytes() for column in columns)
    return encode_frame(EVENTS, msgspec.msgpack.encode([engine, base, len(rows), data]))


def _decode_columns(frame: Frame) -> tuple[str, int, int, bytes]:
    engine, base, count, data = _decode_payload(frame, 4)
    if not isinstance(data, bytes) or not count or len(data) != count * ROW_BYTES:
        raise FrameError("columns of another length")
    return engine, base, count, data


def decode_events_span(frame: Frame) -> tuple[str, int, int, int]:
    """Engine, first and last time, and number of events, without reading each. Errors: FrameError."""
    engine, base, count, data = _decode_columns(frame)
    (last,) = struct.unpack_from("<I", data, 4 * (count - 1))
    return engine, base, base + last, count


def decode_events(frame: Frame) -> list[Row]:
    """Errors: FrameError."""
    engine, base, count, data = _decode_columns(frame)
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


def encode_rollup(engine: str, level: int, sealed: bytes) -> bytes:
    return encode_frame(ROLLUP, msgspec.msgpack.encode([engine, level, sealed]))


def decode_rollup(frame: Frame) -> tuple[str, int, bytes]:
    engine, level, sealed = _decode_payload(frame, 3)
    return engine, level, sealed


def encode_detection(detection: Detection) -> bytes:
    h = detection
    fields = [h.engine, int(h.verdict), h.begins, h.at_us, h.since_us, h.evidence]
    return encode_frame(DETECTION, msgspec.msgpack.encode(fields))


def decode_detection(frame: Frame) -> Detection:
    engine, verdict, begins, at_us, since_us, evidence = _decode_payload(frame, 6)
    try:
        return Detection(engine, Verdict(verdict), begins, at_us, since_us, evidence)
    except ValueError as error:
        raise FrameError(str(error)) from error


def _decode_payload(frame: Frame, length: int) -> list[Any]:
    try:
        found = msgspec.msgpack.decode(frame.payload)
    except (msgspec.DecodeError, ValueError) as error:
        raise FrameError(str(error)) from error
    if not isinstance(found, list) or len(found) != length:
        raise FrameError("another form")
    return found
