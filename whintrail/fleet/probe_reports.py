"""What gateways tell one another about engines: sightings, in datagrams of at most 256 bytes.

A memo is a head (format, kind, number of sightings) and the sightings, each of seven bytes. A sighting is
what somebody's probe brought: a report and how old it is. Engines go by the CRC-32 of their id, cut to 16
bits; those of one fleet that share a key are told of by nobody. Ages are relative: clocks need not agree.

Decoding is strict: a memo that is of another format, too long, or not exactly as long as its head says, is
refused whole. What can't be told exactly is rounded, and what is above the greatest figure counts as that.
"""

import struct
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from zlib import crc32

from whintrail.interface import LoadReport

MAX_DATAGRAM_BYTES = 256  # of one datagram
FORMAT, PROBE_REPORTS = 1, 1
HEADER = struct.Struct("!BBB")
ENTRY = struct.Struct("!HBBBBB")  # key, age, utilisation, held, memory queue, memory share
MAX_REPORTS = (MAX_DATAGRAM_BYTES - HEADER.size) // ENTRY.size
AGE_UNIT_US, MAX_AGE_US = 32_000, 255 * 32_000
ABSENT, MAX_QUANTITY = 255, 254
SHARE_UNIT, HELD_UNIT = 1 / 100, 1 / 16  # of a share; of queries held a core


class ProbeReportError(ValueError):
    """The bytes are no memo of this format."""


@dataclass(slots=True)
class ProbeReport:
    """An engine's report, `age_us` old when told; what it holds goes by the core, so that a byte has room."""

    key: int
    age_us: int
    load: LoadReport
    cores: float = 1.0  # of the engine as the teller knows it; 1 where it was decoded

    def load_report(self, cores: float) -> LoadReport:
        """The report of an engine of so many cores."""
        held = self.load.active_queries
        return LoadReport(
            self.load.utilisation,
            None if held is None else held / self.cores * cores,
            self.load.memory_queue,
            self.load.memory_share,
        )


def engine_key(engine: str) -> int:
    """The 16 bits by which an engine goes in a memo."""
    return crc32(engine.encode()) & 0xFFFF


def engines_by_key(engines: Iterable[str]) -> dict[int, str]:
    """Engines by key; those whose key is not theirs alone are left out."""
    found: dict[int, str | None] = {}
    for engine in engines:
        key = engine_key(engine)
        found[key] = None if key in found else engine
    return {key: engine for key, engine in found.items() if engine is not None}


def _quantize(value: float | None, unit: float) -> int:
    return ABSENT if value is None else min(MAX_QUANTITY, max(0, round(value / unit)))


def _dequantize(value: int, unit: float) -> float | None:
    return None if value == ABSENT else value * unit


def encode(sightings: Sequence[ProbeReport]) -> bytes:
    """A memo of as many sightings as fit, the first ones."""
    told = sightings[:MAX_REPORTS]
    parts = [HEADER.pack(FORMAT, PROBE_REPORTS, len(told))]
    for s in told:
        age, load = min(255, max(0, s.age_us) // AGE_UNIT_US), s.load_report(1.0)
        used, held = _quantize(load.utilisation, SHARE_UNIT), _quantize(load.active_queries, HELD_UNIT)
        queue, share = _quantize(load.memory_queue, 1), _quantize(load.memory_share, SHARE_UNIT)
        parts.append(ENTRY.pack(s.key, age, used, held, queue, share))
    return b"".join(parts)


def decode(data: bytes) -> list[ProbeReport]:
    """The sightings of a memo; MemoError where it is none."""
    if not HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES:
        raise ProbeReportError(f"{len(data)} bytes")
    written, kind, count = HEADER.unpack_from(data)
    if (written, kind) != (FORMAT, PROBE_REPORTS):
        raise ProbeReportError(f"format {written}, kind {kind}")
    if len(data) != HEADER.size + count * ENTRY.size:
        raise ProbeReportError(f"{count} sightings in {len(data)} bytes")
    return [
        ProbeReport(
            key,
            age * AGE_UNIT_US,
            LoadReport(
                _dequantize(used, SHARE_UNIT),
                _dequantize(held, HELD_UNIT),
                _dequantize(queue, 1),
                _dequantize(share, SHARE_UNIT),
            ),
        )
        for key, age, used, held, queue, share in ENTRY.iter_unpack(data[HEADER.size :])
    ]
