"""What the time line costs: python -m benchmarks.cost [--rounds 5] [--rate 600]

Two gateways, one with the time line and one without, at the same time, before fleets of their own under the
same load; each round compares their CPU time a request (utime + stime of the processes). Prints resident
memory before and under load too.
"""

import argparse
import asyncio
import json
import os
import signal
import sys
import tempfile
from pathlib import Path
from statistics import median

from benchmarks.injected_faults import FreePort
from whintrail.standins.fleet import Fleet
from whintrail.standins.load import Load, until_serves

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
QUERY_MIX = [("lookup", 5.0, 1.0)]


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    raise AssertionError("no resident size")


class GatewayUnderLoad:
    """A gateway and its fleet."""

    def __init__(self, folder: Path, engines: int, timeline: dict[str, object] | None) -> None:
        self.folder, self.timeline = folder, timeline
        folder.mkdir()
        self.fleet = Fleet(engines)

    async def start(self) -> None:
        with FreePort() as self.port:
            config = self.fleet.config(f"127.0.0.1:{self.port}")
        (self.folder / "config.json").write_text(json.dumps(config))
        environment = {**os.environ, "RELAY_CONFIG": str(self.folder / "config.json")}
        if self.timeline is not None:
            path = self.folder / "whintrail.json"
            path.write_text(json.dumps({"timeline": self.timeline}))
            environment["WHINTRAIL_FILE"] = str(path)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "whintrail", env=environment, stderr=asyncio.subprocess.DEVNULL
        )
        await until_serves(self.port)

    async def measure(self, rate: float, seconds: float, seed: int) -> float:
        """CPU microseconds a request."""
        load, before = Load(self.port, rate, QUERY_MIX, seed), cpu_s(self.process.pid)
        await load.run(seconds)
        load.close()
        assert load.ends["served"] > 0.98 * load.asked, load.ends
        return (cpu_s(self.process.pid) - before) / load.asked * 1e6

    async def stop(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        await self.process.wait()
        await self.fleet.close()


async def run(rounds: int, rate: float, engines: int, with_store: bool) -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        timeline: dict[str, object] = {"memory_mb": 8}
        if with_store:
            timeline["store"] = {"directory": str(folder / "store")}
        on, off = (
            GatewayUnderLoad(folder / "on", engines, timeline),
            GatewayUnderLoad(folder / "off", engines, None),
        )
        await on.start()
        await off.start()
        idle = resident_mb(on.process.pid), resident_mb(off.process.pid)
        for side in (on, off):
            await side.measure(rate, 3.0, 0)  # warm
        ratios, figures = [], []
        for number in range(rounds):
            # At the same time, so that the machine's mood is the same for both; ids may not return.
            pair = await asyncio.gather(*(side.measure(rate, 5.0, number + 1) for side in (on, off)))
            ratios.append(pair[0] / pair[1])
            figures.append((pair[0], pair[1]))
        loaded = resident_mb(on.process.pid), resident_mb(off.process.pid)
        await on.stop()
        await off.stop()
    ratio = median(ratios)
    print(
        f"{engines} engines, {rate:g} requests/s, store {'on' if with_store else 'off'}: CPU a request"
        f" on {median(f[0] for f in figures):.0f} us, off {median(f[1] for f in figures):.0f} us,"
        f" ratio {ratio:.3f} (pairs {' '.join(f'{r:.3f}' for r in sorted(ratios))})"
    )
    print(f"  resident: on {idle[0]:.1f} to {loaded[0]:.1f} MB, off {idle[1]:.1f} to {loaded[1]:.1f} MB")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--rate", type=float, default=600.0)
    parser.add_argument("--engines", type=int, default=8)
    parser.add_argument("--store", action="store_true")
    given = parser.parse_args()
    asyncio.run(run(given.rounds, given.rate, given.engines, given.store))


if __name__ == "__main__":
    main()
