"""Cost of the timeline: python -m benchmarks.cost [--rounds 5] [--rate 600]

Two gateways, one with the timeline and one without, run at the same time under the same load, each with
engines of its own. Each round compares their CPU time per request (utime + stime of the processes). Also
prints resident memory before and under load.
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
from whintrail.standins.engine_fleet import EngineFleet
from whintrail.standins.load_generator import LoadGenerator, wait_until_serving

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
    """A gateway process and its stand-in engines."""

    def __init__(self, folder: Path, engines: int, timeline: dict[str, object] | None) -> None:
        self.folder, self.timeline = folder, timeline
        folder.mkdir()
        self.fleet = EngineFleet(engines)

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
        await wait_until_serving(self.port)

    async def measure(self, rate: float, seconds: float, seed: int) -> float:
        """Run the load and return the CPU microseconds per request."""
        load, before = LoadGenerator(self.port, rate, QUERY_MIX, seed), cpu_s(self.process.pid)
        await load.run(seconds)
        load.close()
        assert load.outcomes["served"] > 0.98 * load.queries_sent, load.outcomes
        return (cpu_s(self.process.pid) - before) / load.queries_sent * 1e6

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
        with_timeline = GatewayUnderLoad(folder / "on", engines, timeline)
        without_timeline = GatewayUnderLoad(folder / "off", engines, None)
        await with_timeline.start()
        await without_timeline.start()
        idle = resident_mb(with_timeline.process.pid), resident_mb(without_timeline.process.pid)
        for gateway in (with_timeline, without_timeline):
            await gateway.measure(rate, 3.0, 0)  # warm up
        ratios, cpu_us = [], []
        for round_number in range(rounds):
            # Both at the same time, so that other load on the machine affects them alike. Each round has its
            # own seed, as call ids must not recur.
            pair = await asyncio.gather(
                *(
                    gateway.measure(rate, 5.0, round_number + 1)
                    for gateway in (with_timeline, without_timeline)
                )
            )
            ratios.append(pair[0] / pair[1])
            cpu_us.append((pair[0], pair[1]))
        loaded = resident_mb(with_timeline.process.pid), resident_mb(without_timeline.process.pid)
        await with_timeline.stop()
        await without_timeline.stop()
    ratio = median(ratios)
    print(
        f"{engines} engines, {rate:g} requests/s, store {'on' if with_store else 'off'}: CPU a request"
        f" on {median(f[0] for f in cpu_us):.0f} us, off {median(f[1] for f in cpu_us):.0f} us,"
        f" ratio {ratio:.3f} (pairs {' '.join(f'{r:.3f}' for r in sorted(ratios))})"
    )
    print(f"  resident: on {idle[0]:.1f} to {loaded[0]:.1f} MB, off {idle[1]:.1f} to {loaded[1]:.1f} MB")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--rate", type=float, default=600.0)
    parser.add_argument("--engines", type=int, default=8)
    parser.add_argument("--store", action="store_true")
    arguments = parser.parse_args()
    asyncio.run(run(arguments.rounds, arguments.rate, arguments.engines, arguments.store))


if __name__ == "__main__":
    main()
