"""Wire format of probe reports, which gateways exchange about engines in datagrams of at most 256 bytes.

A datagram is a header (format, kind, number of reports) and the reports, each of seven bytes. A report is the
result of a gateway's probe and its age. An engine is identified by the CRC-32 of its id, cut to 16 bits;
engines of one fleet with the same key are left out of the exchange. Ages are relative, so clocks need not
agree.

Decoding is strict: a datagram of another format, too long, or not exactly as long as its header says is
rejected. Values are rounded to the units below, and values above the greatest one count as that.
"""

import struct
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from zlib import crc32

from whintrail.interface import LoadReport

MAX_DATAGRAM_BYTES = 256
FORMAT = 1
PROBE_REPORTS = 1  # the kind of the datagram
HEADER = struct.Struct("!BBB")
ENTRY = struct.Struct("!HBBBBB")  # key, age, utilisation, active queries, memory queue, memory share
MAX_REPORTS = (MAX_DATAGRAM_BYTES - HEADER.size) // ENTRY.size
AGE_UNIT_US = 32_000
MAX_AGE_US = 255 * 32_000
ABSENT = 255  # marks a value that the engine did not report
MAX_QUANTITY = 254
SHARE_UNIT = 1 / 100
ACTIVE_QUERIES_UNIT = 1 / 16  # of an active query per core


class ProbeReportError(ValueError):
    """The bytes are not a valid datagram of probe reports."""


@dataclass(slots=True)
class ProbeReport:
    """An engine's load and its age when sent. Active queries travel per core to fit into a byte."""

    key: int
    age_us: int
    load: LoadReport
    cores: float = 1.0  # of the engine, as the sender knows it; 1 in a decoded report

    def load_report(self, cores: float) -> LoadReport:
        """The load of an engine with that many cores."""
        active_queries = self.load.active_queries
        return LoadReport(
            self.load.utilisation,
            None if active_queries is None else active_queries / self.cores * cores,
            self.load.memory_queue,
            self.load.memory_share,
        )


def engine_key(engine: str) -> int:
    """The 16-bit key that identifies an engine in a datagram."""
    return crc32(engine.encode()) & 0xFFFF


def engines_by_key(engines: Iterable[str]) -> dict[int, str]:
    """Maps keys to engines; engines that share a key are left out."""
    engine_of: dict[int, str | None] = {}
    for engine in engines:
        key = engine_key(engine)
        engine_of[key] = None if key in engine_of else engine
    return {key: engine for key, engine in engine_of.items() if engine is not None}


def _quantize(value: float | None, unit: float) -> int:
    return ABSENT if value is None else min(MAX_QUANTITY, max(0, round(value / unit)))


def _dequantize(value: int, unit: float) -> float | None:
    return None if value == ABSENT else value * unit


def encode(reports: Sequence[ProbeReport]) -> bytes:
    """Encodes the first reports, as many as fit into a datagram."""
    sent = reports[:MAX_REPORTS]
    parts = [HEADER.pack(FORMAT, PROBE_REPORTS, len(sent))]
    for report in sent:
        age, load = min(255, max(0, report.age_us) // AGE_UNIT_US), report.load_report(1.0)
        utilisation, active_queries = (
            _quantize(load.utilisation, SHARE_UNIT),
            _quantize(load.active_queries, ACTIVE_QUERIES_UNIT),
        )
        queue, share = _quantize(load.memory_queue, 1), _quantize(load.memory_share, SHARE_UNIT)
        parts.append(ENTRY.pack(report.key, age, utilisation, active_queries, queue, share))
    return b"".join(parts)


def decode(data: bytes) -> list[ProbeReport]:
    """Decodes a datagram. Raises ProbeReportError if it is not valid."""
    if not HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES:
        raise ProbeReportError(f"{len(data)} bytes")
    version, kind, count = HEADER.unpack_from(data)
    if (version, kind) != (FORMAT, PROBE_REPORTS):
        raise ProbeReportError(f"format {version}, kind {kind}")
    if len(data) != HEADER.size + count * ENTRY.size:
        raise ProbeReportError(f"{count} reports in {len(data)} bytes")
    return [
        ProbeReport(
            key,
            age * AGE_UNIT_US,
            LoadReport(
                _dequantize(utilisation, SHARE_UNIT),
                _dequantize(active_queries, ACTIVE_QUERIES_UNIT),
                _dequantize(queue, 1),
                _dequantize(share, SHARE_UNIT),
            ),
        )
        for key, age, utilisation, active_queries, queue, share in ENTRY.iter_unpack(data[HEADER.size :])
    ]
