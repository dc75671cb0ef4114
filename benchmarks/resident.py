"""Resident memory of the gateway from idle to loaded: python -m benchmarks.resident [--rate 2800]

Eight stand-in engines serve queries of 5 ms with a time to live of 6 s. The run is longer than that, so that
memory kept for answered queries until then would show.
"""

import argparse
import asyncio
import tempfile
from pathlib import Path
from time import perf_counter

from benchmarks.cost import QUERY_MIX, GatewayUnderLoad, resident_mb
from whintrail.standins.load_generator import LoadGenerator


async def run(rate: float, seconds: float) -> None:
    with tempfile.TemporaryDirectory() as name:
        gateway = GatewayUnderLoad(Path(name) / "off", 8, None)
        await gateway.start()
        idle = resident_mb(gateway.process.pid)
        load, started = LoadGenerator(gateway.port, rate, QUERY_MIX, 1), perf_counter()
        await load.run(seconds)
        requests_per_s = load.queries_sent / (perf_counter() - started)
        loaded = resident_mb(gateway.process.pid)
        load.close()
        await gateway.stop()
    print(f"{requests_per_s:.0f} requests/s, {dict(load.outcomes)}: {idle:.1f} to {loaded:.1f} MB")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=2800.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    asyncio.run(run(arguments.rate, arguments.seconds))


if __name__ == "__main__":
    main()
