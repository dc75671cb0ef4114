"""What a fleet part costs a gateway: python -m benchmarks.fleetcost [--rounds 6] [--rate 200]

Two fleets of five processes at the same time, one with a `fleet` part in its file and one with a file that
has none, each with engines of its own; both may talk (memos of probes). Idle: CPU of the leader, another of
the council, and a member.
Then the same load on a member of each, pair by pair: CPU a request. Resident memory of each.
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
from whintrail.standins.load import Load
from whintrail.standins.peers import Fleet, fleet
from whintrail.standins.scripted import Engine, wait_for

COUNT, LEADER, COUNCIL, MEMBER = 5, 0, 1, 4


def cpu_us(pid: int) -> float:
    """Time on a core since the start, over all threads."""
    total = 0
    for task in os.listdir(f"/proc/{pid}/task"):
        total += int(Path(f"/proc/{pid}/task/{task}/schedstat").read_text().split()[0])
    return total / 1000


def gateway_pid(given: Fleet, number: int) -> int:
    return given.gateways[number].process.pid  # `run` ends by exec


async def run_pair(fleets: tuple[Fleet, Fleet], rate: float, seconds: float, seed: int) -> list[float]:
    """CPU microseconds a request on a member of each, under the same load at the same time."""

    async def one(given: Fleet) -> float:
        pid, load = gateway_pid(given, MEMBER), Load(given.ports[MEMBER], rate, QUERY_MIX, seed)
        before = cpu_us(pid)
        await load.run(seconds)
        load.close()
        assert load.ends["served"] > 0.98 * load.asked, load.ends
        return (cpu_us(pid) - before) / load.asked

    return list(await asyncio.gather(*(one(given) for given in fleets)))


@click.command()
@click.option("--rounds", default=6, show_default=True)
@click.option("--rate", default=200.0, show_default=True)
@click.option("--idle-s", default=20.0, show_default=True)
def main(rounds: int, rate: float, idle_s: float) -> None:
    with tempfile.TemporaryDirectory() as name, ExitStack() as stack:

        def operator(number: int, build: str) -> dict[str, object]:
            return {"fleet": {"name": "f", "council": [0, 1, 2], "socket": f"{name}/s{number}"}}

        engines = [[Engine(f"s-{n}") for n in range(4)] for _ in range(2)]
        on = stack.enter_context(fleet(COUNT, *engines[0], operator=operator))
        off = stack.enter_context(fleet(COUNT, *engines[1], operator=lambda number, build: {"logging": {}}))
        wait_for(lambda: next(send_request(f"{name}/s0", {"what": "status"}))["leader"] is not None)
        asyncio.run(run_pair((on, off), 10, 2, 0))
        asyncio.run(asyncio.sleep(10))
        places = {"leader": LEADER, "of the council": COUNCIL, "member": MEMBER}
        before = {
            (side, place): cpu_us(gateway_pid(side, n)) for side in (on, off) for place, n in places.items()
        }
        asyncio.run(asyncio.sleep(idle_s))
        for place, number in places.items():
            spent = [
                (cpu_us(gateway_pid(side, number)) - before[side, place]) / idle_s / 1e4 for side in (on, off)
            ]
            sizes = [resident_mb(gateway_pid(side, number)) for side in (on, off)]
            click.echo(
                f"idle, {place}: {spent[0]:.2f}% of a core on, {spent[1]:.2f}% off;"
                f" resident {sizes[0]:.1f} and {sizes[1]:.1f} MB"
            )
        pairs = [asyncio.run(run_pair((on, off), rate, 4, seed)) for seed in range(1, rounds + 1)]
        ratios = sorted(a / b for a, b in pairs)
        click.echo(
            f"a request at {rate:g}/s: {median(a for a, _ in pairs):.0f} us on,"
            f" {median(b for _, b in pairs):.0f} us off, ratio {median(ratios):.3f}"
            f" (pairs {' '.join(f'{r:.3f}' for r in ratios)})"
        )


if __name__ == "__main__":
    main()
