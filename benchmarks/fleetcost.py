"""The cost of taking part in a fleet: python -m benchmarks.fleetcost [--rounds 6] [--rate 200]

Two fleets of five processes run at the same time, one with a `fleet` section in its operator's file and one
without, each with its own engines; both exchange probe reports. Measures the idle CPU and the resident memory
of the leader, another voter and a member, then the CPU per request under the same load on a member of each,
in pairs.
"""

import asyncio
import os
import tempfile
from contextlib import ExitStack
from pathlib import Path
from statistics import median

import click

from benchmarks.cost import QUERY_MIX, resident_mb
from whintrail.control import send_request
from whintrail.standins.gateway_fleet import GatewayFleet, fleet
from whintrail.standins.load_generator import LoadGenerator
from whintrail.standins.scripted import Engine, wait_for

GATEWAYS = 5
# Numbers of gateways.
LEADER = 0
VOTER = 1
MEMBER = 4


def cpu_us(pid: int) -> float:
    """CPU time of a process since its start, over all threads."""
    total = 0
    for task in os.listdir(f"/proc/{pid}/task"):
        total += int(Path(f"/proc/{pid}/task/{task}/schedstat").read_text().split()[0])
    return total / 1000


def gateway_pid(fleet_under_test: GatewayFleet, number: int) -> int:
    """The process id of a gateway."""
    return fleet_under_test.gateways[number].process.pid  # the start script ends with exec


async def run_pair(
    fleets: tuple[GatewayFleet, GatewayFleet], rate: float, seconds: float, seed: int
) -> list[float]:
    """CPU microseconds per request on a member of each fleet, under the same load at the same time."""

    async def run_side(fleet_under_test: GatewayFleet) -> float:
        pid, load = (
            gateway_pid(fleet_under_test, MEMBER),
            LoadGenerator(fleet_under_test.ports[MEMBER], rate, QUERY_MIX, seed),
        )
        before = cpu_us(pid)
        await load.run(seconds)
        load.close()
        assert load.outcomes["served"] > 0.98 * load.queries_sent, load.outcomes
        return (cpu_us(pid) - before) / load.queries_sent

    return list(await asyncio.gather(*(run_side(fleet_under_test) for fleet_under_test in fleets)))


@click.command()
@click.option("--rounds", default=6, show_default=True)
@click.option("--rate", default=200.0, show_default=True)
@click.option("--idle-s", default=20.0, show_default=True)
def main(rounds: int, rate: float, idle_s: float) -> None:
    with tempfile.TemporaryDirectory() as name, ExitStack() as stack:

        def operator(number: int, build: str) -> dict[str, object]:
            return {"fleet": {"name": "f", "council": [0, 1, 2], "socket": f"{name}/s{number}"}}

        engines = [[Engine(f"s-{n}") for n in range(4)] for _ in range(2)]
        with_fleet = stack.enter_context(fleet(GATEWAYS, *engines[0], operator=operator))
        without_fleet = stack.enter_context(
            fleet(GATEWAYS, *engines[1], operator=lambda number, build: {"logging": {}})
        )
        wait_for(lambda: next(send_request(f"{name}/s0", {"what": "status"}))["leader"] is not None)
        asyncio.run(run_pair((with_fleet, without_fleet), 10, 2, 0))
        asyncio.run(asyncio.sleep(10))
        numbers = {"leader": LEADER, "of the council": VOTER, "member": MEMBER}
        before = {
            (side, role): cpu_us(gateway_pid(side, n))
            for side in (with_fleet, without_fleet)
            for role, n in numbers.items()
        }
        asyncio.run(asyncio.sleep(idle_s))
        for role, number in numbers.items():
            cpu_shares = [
                (cpu_us(gateway_pid(side, number)) - before[side, role]) / idle_s / 1e4
                for side in (with_fleet, without_fleet)
            ]
            sizes = [resident_mb(gateway_pid(side, number)) for side in (with_fleet, without_fleet)]
            click.echo(
                f"idle, {role}: {cpu_shares[0]:.2f}% of a core on, {cpu_shares[1]:.2f}% off;"
                f" resident {sizes[0]:.1f} and {sizes[1]:.1f} MB"
            )
        pairs = [
            asyncio.run(run_pair((with_fleet, without_fleet), rate, 4, seed)) for seed in range(1, rounds + 1)
        ]
        ratios = sorted(a / b for a, b in pairs)
        click.echo(
            f"a request at {rate:g}/s: {median(a for a, _ in pairs):.0f} us on,"
            f" {median(b for _, b in pairs):.0f} us off, ratio {median(ratios):.3f}"
            f" (pairs {' '.join(f'{r:.3f}' for r in ratios)})"
        )


if __name__ == "__main__":
    main()
