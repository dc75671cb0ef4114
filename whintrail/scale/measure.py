"""What processes of a scale run use and how long things take: readings, traffic, histograms, standstills.

Delays are HDR histograms (Gil Tene, http://hdrhistogram.org): 1 us to 10 min at three significant digits, so
that those of many processes add up to one without loss.
"""

import asyncio
import time
from collections.abc import Iterable, Mapping
from typing import Any, Self

import psutil  # type: ignore[import-untyped]
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]
from msgspec import Struct, structs

from whintrail.scale.results import Kind, Sample, sample

DATAGRAM_HEADER_BYTES = 28  # of IPv4 and UDP, with each datagram
MAX_DELAY_US = 600_000_000


class Reading(Struct, frozen=True):
    """Of one process at one time."""

    at_s: float  # monotonic
    cpu_s: float  # user and system
    rss_bytes: int
    descriptors: int
    traffic: dict[str, int] = {}  # counters that the process told (`Traffic.counts`)


def read_process(pid: int, traffic: Mapping[str, int] | None = None) -> Reading:
    """psutil.NoSuchProcess where it has ended. The kernel counts processor time in hundredths of a second."""
    process = psutil.Process(pid)
    with process.oneshot():
        times, memory = process.cpu_times(), process.memory_info()
        descriptors = process.num_fds()
    return Reading(time.monotonic(), times.user + times.system, memory.rss, descriptors, dict(traffic or {}))


class Traffic:
    """Datagrams and bytes of one process or member; bytes hold the headers that go with each datagram."""

    __slots__ = ("bytes_in", "bytes_out", "datagrams_in", "datagrams_out")

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
    """Between two readings of a process: cpu_share of one core, and each counter a second; memory and
    descriptors as of the second."""
    passed = max(after.at_s - before.at_s, 1e-9)
    rates = {
        f"{name}_per_s": (count - before.traffic.get(name, 0)) / passed
        for name, count in after.traffic.items()
    }
    return {
        "cpu_share": (after.cpu_s - before.cpu_s) / passed,
        "rss_bytes": float(after.rss_bytes),
        "descriptors": float(after.descriptors),
        **rates,
    }


class Delays:
    """A histogram of delays in seconds; None is kept of the single ones."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, MAX_DELAY_US, 3)

    def add(self, seconds: float, count: int = 1) -> None:
        """Delays under 1 us count as 1 us, over 10 min as 10 min."""
        self.histogram.record_value(min(MAX_DELAY_US, max(1, round(seconds * 1e6))), count)

    def __len__(self) -> int:
        return int(self.histogram.get_total_count())

    def quantile(self, share: float) -> float:
        """Seconds that this share of the delays don't exceed; 0 where there are none."""
        return float(self.histogram.get_value_at_percentile(share * 100)) / 1e6 if len(self) else 0.0

    def encode(self) -> str:
        """For the control channel: base64 of the compressed V2 form."""
        return str(self.histogram.encode().decode())

    @classmethod
    def merged(cls, encoded: Iterable[str]) -> Self:
        """One histogram of all."""
        whole = cls()
        for text in encoded:
            whole.histogram.decode_and_add(text.encode())
        return whole

    def sample(
        self, quantity: str, unit: str, sizes: tuple[int, int], kind: Kind, share: float = 0.5, **more: Any
    ) -> Sample:
        """The delay at a share (0.5: the median; 0.99 for a p99), low at 5 and high at 99 hundredths; `unit`
        is us, ms or s."""
        times = {"us": 1e6, "ms": 1e3, "s": 1.0}[unit]
        low, value, high = (self.quantile(share) * times for share in (0.05, share, 0.99))
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
    """One sample a quantity over processes of one role, by name. Where a process plays `parts` gateways, all
    figures are by gateway. Processes that are not in both are left out."""
    values: dict[str, list[float]] = {}
    for name in before.keys() & after.keys():
        for quantity, value in usage_between(before[name], after[name]).items():
            values.setdefault(quantity, []).append(value / gateways_per_process)
    taken = []
    for quantity, figures in values.items():
        if quantity in QUANTITY_UNITS:
            one = sample(quantity, QUANTITY_UNITS[quantity], sizes, figures, kind)
            taken.append(structs.replace(one, **more))
    return taken


class LoopStallMonitor:
    """How long this process's loop stood at a time: a timer each 5 ms, and what it came too late by.

    The machine's own waits are in it, too: hold it against `at(0.5)` of a quiet process."""

    def __init__(self, interval_s: float = 0.005) -> None:
        self.interval_s, self.delays, self.longest_s = interval_s, Delays(), 0.0
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while True:
            due = time.monotonic() + self.interval_s
            await asyncio.sleep(self.interval_s)
            late = time.monotonic() - due
            self.delays.add(max(0.0, late))
            self.longest_s = max(self.longest_s, late)

    def take_stalls(self) -> tuple[float, str]:
        """The longest standstill in seconds and the histogram since the last call; begins anew."""
        taken = self.longest_s, self.delays.encode()
        self.delays, self.longest_s = Delays(), 0.0
        return taken
