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

MOST_BYTES = 256  # of one datagram
FORMAT, SIGHTINGS = 1, 1
HEAD = struct.Struct("!BBB")
ENTRY = struct.Struct("!HBBBBB")  # key, age, utilisation, held, memory queue, memory share
MOST_SIGHTINGS = (MOST_BYTES - HEAD.size) // ENTRY.size
AGE_UNIT_US, MOST_AGE_US = 32_000, 255 * 32_000
ABSENT, TOP = 255, 254
SHARE_UNIT, HELD_UNIT = 1 / 100, 1 / 16  # of a share; of queries held a core


class MemoError(ValueError):
    """The bytes are no memo of this format."""


@dataclass(slots=True)
class Sighting:
    """An engine's report, `age_us` old when told; what it holds goes by the core, so that a byte has room."""

    key: int
    age_us: int
    load: LoadReport
    cores: float = 1.0  # of the engine as the teller knows it; 1 where it was decoded

    def report(self, cores: float) -> LoadReport:
        """The report of an engine of so many cores."""
        held = self.load.held
        return LoadReport(
            self.load.utilisation,
            None if held is None else held / self.cores * cores,
            self.load.memory_queue,
            self.load.memory_share,
        )


def key_of(engine: str) -> int:
    """The 16 bits by which an engine goes in a memo."""
    return crc32(engine.encode()) & 0xFFFF


def keys_of(engines: Iterable[str]) -> dict[int, str]:
    """Engines by key; those whose key is not theirs alone are left out."""
    found: dict[int, str | None] = {}
    for engine in engines:
        key = key_of(engine)
        found[key] = None if key in found else engine
    return {key: engine for key, engine in found.items() if engine is not None}


def _put(value: float | None, unit: float) -> int:
    return ABSENT if value is None else min(TOP, max(0, round(value / unit)))


def _got(value: int, unit: float) -> float | None:
    return None if value == ABSENT else value * unit


def encode(sightings: Sequence[Sighting]) -> bytes:
    """A memo of as many sightings as fit, the first ones."""
    told = sightings[:MOST_SIGHTINGS]
    parts = [HEAD.pack(FORMAT, SIGHTINGS, len(told))]
    for s in told:
        age, load = min(255, max(0, s.age_us) // AGE_UNIT_US), s.report(1.0)
        used, held = _put(load.utilisation, SHARE_UNIT), _put(load.held, HELD_UNIT)
        queue, share = _put(load.memory_queue, 1), _put(load.memory_share, SHARE_UNIT)
        parts.append(ENTRY.pack(s.key, age, used, held, queue, share))
    return b"".join(parts)


def decode(data: bytes) -> list[Sighting]:
    """The sightings of a memo; MemoError where it is none."""
    if not HEAD.size <= len(data) <= MOST_BYTES:
        raise MemoError(f"{len(data)} bytes")
    written, kind, count = HEAD.unpack_from(data)
    if (written, kind) != (FORMAT, SIGHTINGS):
        raise MemoError(f"format {written}, kind {kind}")
    if len(data) != HEAD.size + count * ENTRY.size:
        raise MemoError(f"{count} sightings in {len(data)} bytes")
    return [
        Sighting(
            key,
            age * AGE_UNIT_US,
            LoadReport(
                _got(used, SHARE_UNIT), _got(held, HELD_UNIT), _got(queue, 1), _got(share, SHARE_UNIT)
            ),
        )
        for key, age, used, held, queue, share in ENTRY.iter_unpack(data[HEAD.size :])
    ]
