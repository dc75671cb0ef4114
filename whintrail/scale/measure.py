"""Measures a scale run's processes: resource use, traffic, delay histograms and event loop stalls.

Delays are HDR histograms (Gil Tene, http://hdrhistogram.org) from 1 us to 10 min at three significant digits,
so that the histograms of several processes merge without loss.
"""

import asyncio
import time
from collections.abc import Iterable, Mapping
from typing import Any, Self

import psutil  # type: ignore[import-untyped]
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]
from msgspec import Struct, structs

from whintrail.scale.results import Kind, Sample, sample

DATAGRAM_HEADER_BYTES = 28  # IPv4 and UDP headers
MAX_DELAY_US = 600_000_000
SIGNIFICANT_DIGITS = 3


class Reading(Struct, frozen=True):
    """The resource use of one process at one time."""

    at_s: float  # monotonic
    cpu_s: float  # user and system
    rss_bytes: int
    descriptors: int
    traffic: dict[str, int] = {}  # counters of the process's own (`Traffic.counts`)


def read_process(pid: int, traffic: Mapping[str, int] | None = None) -> Reading:
    """Raises psutil.NoSuchProcess if it has ended. The kernel counts CPU time in hundredths of a second."""
    process = psutil.Process(pid)
    with process.oneshot():
        times, memory = process.cpu_times(), process.memory_info()
        descriptors = process.num_fds()
    return Reading(time.monotonic(), times.user + times.system, memory.rss, descriptors, dict(traffic or {}))


class Traffic:
    """Datagrams and bytes of one process or member; bytes include the IPv4 and UDP headers."""

    __slots__ = ("bytes_in", "bytes_out", "datagrams_in", "datagrams_out")  # stored quantity names

    def __init__(self) -> None:
        self.datagrams_in = self.datagrams_out = self.bytes_in = self.bytes_out = 0

    def record_received(self, payload_bytes: int) -> None:
        self.datagrams_in += 1
        self.bytes_in += payload_bytes + DATAGRAM_HEADER_BYTES

    def record_sent(self, payload_bytes: int) -> None:
        self.datagrams_out += 1
        self.bytes_out += payload_bytes + DATAGRAM_HEADER_BYTES

    def counts(self) -> dict[str, int]:
        return {name: getattr(self, name) for name in self.__slots__}


def usage_between(before: Reading, after: Reading) -> dict[str, float]:
    """The use between two readings of a process: the share of one core, and the rate of each counter per
    second; memory and descriptors are those of the second reading."""
    elapsed_s = max(after.at_s - before.at_s, 1e-9)
    rates = {
        f"{name}_per_s": (count - before.traffic.get(name, 0)) / elapsed_s
        for name, count in after.traffic.items()
    }
    return {
        "cpu_share": (after.cpu_s - before.cpu_s) / elapsed_s,
        "rss_bytes": float(after.rss_bytes),
        "descriptors": float(after.descriptors),
        **rates,
    }


class Delays:
    """A histogram of delays in seconds; single delays are not kept."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, MAX_DELAY_US, SIGNIFICANT_DIGITS)

    def add(self, seconds: float, count: int = 1) -> None:
        """Delays under 1 us count as 1 us, over 10 min as 10 min."""
        self.histogram.record_value(min(MAX_DELAY_US, max(1, round(seconds * 1e6))), count)

    def __len__(self) -> int:
        return int(self.histogram.get_total_count())

    def quantile(self, share: float) -> float:
        """Seconds that this share of the delays does not exceed; 0 without delays."""
        return float(self.histogram.get_value_at_percentile(share * 100)) / 1e6 if len(self) else 0.0

    def encode(self) -> str:
        """For the control channel: base64 of the compressed V2 form."""
        return str(self.histogram.encode().decode())

    @classmethod
    def merged(cls, encoded: Iterable[str]) -> Self:
        """One histogram of several encoded ones."""
        merged = cls()
        for text in encoded:
            merged.histogram.decode_and_add(text.encode())
        return merged

    def sample(
        self, quantity: str, unit: str, sizes: tuple[int, int], kind: Kind, share: float = 0.5, **more: Any
    ) -> Sample:
        """The quantile at `share` (0.5: the median; 0.99: the p99), with the 5th percentile as `low` and the
        99th as `high`; `unit` is us, ms or s."""
        units_per_s = {"us": 1e6, "ms": 1e3, "s": 1.0}[unit]
        low, value, high = (self.quantile(each) * units_per_s for each in (0.05, share, 0.99))
        return Sample(
            quantity=quantity,
            unit=unit,
            gateways=sizes[0],
            engines=sizes[1],
            value=value,
            low=min(low, value),
            high=max(high, value),
            n=len(self),
            kind=kind,
            **more,
        )


QUANTITY_UNITS = {
    "cpu_share": "share",
    "rss_bytes": "bytes",
    "descriptors": "count",
    "datagrams_in_per_s": "datagrams/s",
    "datagrams_out_per_s": "datagrams/s",
    "bytes_in_per_s": "bytes/s",
    "bytes_out_per_s": "bytes/s",
}


def usage_samples(
    before: Mapping[str, Reading],
    after: Mapping[str, Reading],
    sizes: tuple[int, int],
    kind: Kind,
    gateways_per_process: int = 1,
    **more: Any,
) -> list[Sample]:
    """One sample per quantity over processes of one role, by name; all values are per gateway. Processes that
    are not in both readings are left out."""
    values: dict[str, list[float]] = {}
    for name in before.keys() & after.keys():
        for quantity, value in usage_between(before[name], after[name]).items():
            values.setdefault(quantity, []).append(value / gateways_per_process)
    samples = []
    for quantity, figures in values.items():
        if quantity in QUANTITY_UNITS:
            new_sample = sample(quantity, QUANTITY_UNITS[quantity], sizes, figures, kind)
            samples.append(structs.replace(new_sample, **more))
    return samples


class LoopStallMonitor:
    """Measures how long this process's event loop stalls, by how late a timer fires.

    The machine's own scheduling delays are included: compare with the median of an idle process."""

    def __init__(self, interval_s: float = 0.005) -> None:
        self.interval_s, self.delays, self.longest_s = interval_s, Delays(), 0.0
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while True:
            due_at_s = time.monotonic() + self.interval_s
            await asyncio.sleep(self.interval_s)
            late_s = time.monotonic() - due_at_s
            self.delays.add(max(0.0, late_s))
            self.longest_s = max(self.longest_s, late_s)

    def take_stalls(self) -> tuple[float, str]:
        """The longest stall in seconds and the encoded histogram since the last call; starts afresh."""
        stalls = self.longest_s, self.delays.encode()
        self.delays, self.longest_s = Delays(), 0.0
        return stalls
