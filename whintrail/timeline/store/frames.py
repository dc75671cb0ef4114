"""Encodes and decodes the frames of a segment, without I/O.

    magic (2) | type (1) | length (4) | CRC-32C of type, length and payload (4) | payload

All numbers are little-endian; the payload is MessagePack. With the magic a reader finds the next frame after
a damaged one, so that damage costs only the frames that it hits.
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
# Frame types.
HEADER = 1
EVENTS = 2
ROLLUP = 3
DETECTION = 4
INDEX = 5
ROW_BYTES = struct.calcsize("<IHff")
MAX_FRAME_SPAN_US = 0xFFFF_FFFF  # between the first and the last event of a frame


class FrameError(ValueError):
    """The bytes are not a frame, or a damaged one."""


@dataclass(slots=True)
class Frame:
    """A frame whose checksum is correct."""

    offset: int  # in the segment
    type: int
    payload: memoryview | bytes

    @property
    def size(self) -> int:
        return FRAME_HEADER.size + len(self.payload)


@dataclass(slots=True)
class Damage:
    """Bytes that are not a frame. `torn`: they reach to the end of the segment, as after a kill."""

    offset: int
    end: int
    torn: bool


def encode_frame(type_: int, payload: bytes) -> bytes:
    """Errors: FrameError if the payload is too large."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise FrameError(f"payload of {len(payload)} bytes is too large")
    check = crc32c(payload, crc32c(CHECKSUM_HEADER.pack(type_, len(payload))))
    return FRAME_HEADER.pack(MAGIC, type_, len(payload), check) + payload


def decode_frame(data: memoryview | bytes, offset: int = 0) -> Frame:
    """The frame at that offset. Errors: FrameError."""
    if offset + FRAME_HEADER.size > len(data):
        raise FrameError("truncated frame")
    magic, type_, length, check = FRAME_HEADER.unpack_from(data, offset)
    if magic != MAGIC or length > MAX_PAYLOAD_BYTES:
        raise FrameError("not a frame")
    start = offset + FRAME_HEADER.size
    if start + length > len(data):
        raise FrameError("truncated frame")
    payload = data[start : start + length]
    if crc32c(payload, crc32c(CHECKSUM_HEADER.pack(type_, length))) != check:
        raise FrameError("checksum mismatch")
    return Frame(offset, type_, payload)


def scan_frames(data: memoryview | bytes, offset: int = 0) -> Iterator[Frame | Damage]:
    """All readable frames, and the damage between them."""
    size, buffer = len(data), bytes(data) if isinstance(data, memoryview) else data
    while offset < size:
        try:
            frame = decode_frame(data, offset)
        except FrameError:
            damage_start = offset
            while True:  # find the next magic that begins a valid frame
                offset = buffer.find(MAGIC, offset + 1)
                if offset < 0:
                    yield Damage(damage_start, size, True)
                    return
                try:
                    decode_frame(data, offset)
                    break
                except FrameError:
                    continue
            yield Damage(damage_start, offset, False)
        else:
            yield frame
            offset += frame.size


# --- Payloads.


def encode_header(gateway_name: str, created_us: int, classes: tuple[str, ...]) -> bytes:
    return encode_frame(
        HEADER, msgspec.msgpack.encode([FORMAT_VERSION, gateway_name, created_us, list(classes)])
    )


def decode_header(frame: Frame) -> tuple[str, int, tuple[str, ...]]:
    """Gateway name, time of creation and classes. Errors: FrameError for a foreign or future segment."""
    if frame.type != HEADER:
        raise FrameError("no header: not a timeline segment")
    try:
        version, gateway_name, created_us, classes = msgspec.msgpack.decode(frame.payload)
    except (msgspec.DecodeError, ValueError, TypeError) as error:
        raise FrameError(f"header: {error}") from error
    if version != FORMAT_VERSION:
        raise FrameError(f"version {version}; only version {FORMAT_VERSION} is supported")
    return str(gateway_name), int(created_us), tuple(classes)


def encode_events(engine: str, rows: list[tuple[int, int, int, int, float, float]]) -> bytes:
    """Encode one engine's raw events (time, slot, kind, code, a, b) in columns.

    Their times must lie within MAX_FRAME_SPAN_US.
    """
    first_us = rows[0][0]
    columns = (
        array("I", [row[0] - first_us for row in rows]),
        array("H", [row[2] << 8 | row[3] for row in rows]),
        array("f", [row[4] for row in rows]),
        array("f", [row[5] for row in rows]),
    )
    data = b"".join(column.tobytes() for column in columns)
    return encode_frame(EVENTS, msgspec.msgpack.encode([engine, first_us, len(rows), data]))


def _decode_columns(frame: Frame) -> tuple[str, int, int, bytes]:
    engine, first_us, count, data = _decode_payload(frame, 4)
    if not isinstance(data, bytes) or not count or len(data) != count * ROW_BYTES:
        raise FrameError("columns have the wrong length")
    return engine, first_us, count, data


def decode_events_span(frame: Frame) -> tuple[str, int, int, int]:
    """Engine, first and last time and number of events, without decoding them. Errors: FrameError."""
    engine, first_us, count, data = _decode_columns(frame)
    (last_offset_us,) = struct.unpack_from("<I", data, 4 * (count - 1))
    return engine, first_us, first_us + last_offset_us, count


def decode_events(frame: Frame) -> list[Row]:
    """Errors: FrameError."""
    engine, first_us, count, data = _decode_columns(frame)
    times, codes, a, b = array("I"), array("H"), array("f"), array("f")
    start = 0
    for column in (times, codes, a, b):
        end = start + count * column.itemsize
        column.frombytes(data[start:end])
        start = end
    try:
        return [
            Row(first_us + times[i], engine, Kind(codes[i] >> 8), codes[i] & 0xFF, a[i], b[i])
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
    d = detection
    fields = [d.engine, int(d.verdict), d.begins, d.at_us, d.since_us, d.evidence]
    return encode_frame(DETECTION, msgspec.msgpack.encode(fields))


def decode_detection(frame: Frame) -> Detection:
    engine, verdict, begins, at_us, since_us, evidence = _decode_payload(frame, 6)
    try:
        return Detection(engine, Verdict(verdict), begins, at_us, since_us, evidence)
    except ValueError as error:
        raise FrameError(str(error)) from error


def _decode_payload(frame: Frame, length: int) -> list[Any]:
    try:
        fields = msgspec.msgpack.decode(frame.payload)
    except (msgspec.DecodeError, ValueError) as error:
        raise FrameError(str(error)) from error
    if not isinstance(fields, list) or len(fields) != length:
        raise FrameError("payload has an unexpected shape")
    return fields
