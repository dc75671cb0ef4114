"""Resident memory of the gateway from idle to loaded: python -m benchmarks.resident [--rate 2800]

Eight stand-in engines, queries of 5 ms that have 6 s to live; longer than a time to live, so that what an
answered query leaves behind until then would show.
"""

import argparse
import asyncio
import tempfile
from pathlib import Path
from time import perf_counter

from benchmarks.cost import QUERY_MIX, GatewayUnderLoad, resident_mb
from whintrail.standins.load import Load


async def run(rate: float, seconds: float) -> None:
    with tempfile.TemporaryDirectory() as name:
        side = GatewayUnderLoad(Path(name) / "off", 8, None)
        await side.start()
        idle = resident_mb(side.process.pid)
        load, start = Load(side.port, rate, QUERY_MIX, 1), perf_counter()
        await load.run(seconds)
        asked = load.asked / (perf_counter() - start)
        loaded = resident_mb(side.process.pid)
        load.close()
        await side.stop()
    print(f"{asked:.0f} requests/s, {dict(load.ends)}: {idle:.1f} to {loaded:.1f} MB")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=2800.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    given = parser.parse_args()
    asyncio.run(run(given.rate, given.seconds))


if __name__ == "__main__":
    main()
