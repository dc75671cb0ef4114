"""Simulates changes of settings during a partition between regions: python -m benchmarks.regions

There are nine regions. `two apart`: the leader's region and another can't reach each other, but both reach
the others. `one alone`: that other region reaches nobody. After 30 s of partition, changes are requested from
a third region one after another, and then the partition heals. Measured from outside: the changes that came
into force, the gateways of the partitioned region that held a lease, and the time until all gateways held a
lease and the newest version again.
"""

import time
from functools import partial
from pathlib import Path
from random import Random

import click

from whintrail.fleet.node import FleetConfig
from whintrail.fleet.wire import VersionRequest
from whintrail.scale.results import Sample, current_machine, sample, save_results
from whintrail.standins.fleet_simulation import FleetSimulation, deliver_once
from whintrail.versions.member import VersionTiming
from whintrail.versions.rules import Rules

REGIONS = 9
COUNCIL = (0, 1, 2, 3, 4)
VERSION_CHANGES = 2
SCENARIOS = ("two apart", "one alone")


def cut_link(
    scenario: str, leader_region: int, other_region: int, origin: int, target: int, random: Random
) -> list[float]:
    """Return the delays of a datagram: none if the partition of the scenario separates the two regions."""
    a, b = origin % REGIONS, target % REGIONS
    is_cut = (
        {a, b} == {leader_region, other_region}
        if scenario == "two apart"
        else (a == other_region) != (b == other_region)
    )
    return [] if is_cut else [0.0]


def config_for(count: int, number: int, build: str) -> FleetConfig:
    """Return the settings of a gateway; council members 0 to 4 are in five regions."""
    rates = {"messages_per_s": 1500.0, "bytes_per_s": 400_000.0}
    return FleetConfig("f", number, count, COUNCIL, versions=VersionTiming(), **rates)  # type: ignore[arg-type]


def has_lease(world: FleetSimulation, number: int) -> bool:
    """Return whether the gateway holds a lease now."""
    settings = world.node(number).settings
    assert settings is not None
    return settings.member.lease.active_version(world.clock(number)).leased


def has_converged(world: FleetSimulation) -> bool:
    """Return whether all running gateways know the newest version and hold a lease."""
    newest = world.state().versions.number
    return all(
        world.node(n).state.versions.number == newest and has_lease(world, n) for n in world.running_numbers()
    )


def run_scenario(count: int, scenario: str, seed: int) -> dict[str, float]:
    """Simulate a scenario with one seed; return the values of its quantities."""
    world = FleetSimulation(partial(config_for, count), count, seed, drift=0.01)
    world.run(10, lambda: world.leader() is not None)
    world.run(4)
    leader = world.leader()
    assert leader is not None
    other = REGIONS - 1  # holds no council member
    world.fault = partial(cut_link, scenario, leader % REGIONS, other)
    world.run(30)
    requester = next(n for n in range(count) if n % REGIONS not in (leader % REGIONS, other))
    first_version, node = world.state().versions.number, world.node(requester)
    for turn in range(VERSION_CHANGES):
        assert node.settings is not None
        digest = node.settings.member.store_rules(Rules(caps={"report": turn + 5}))
        node.submit(
            world.clock(requester),
            VersionRequest(node.state.versions.number + 1, digest, ""),
            20,
            retries=False,
        )
        world.run(15)
    partitioned = [n for n in range(count) if n % REGIONS == other]
    settled, leased = (
        world.state().versions.number - first_version,
        sum(has_lease(world, n) for n in partitioned),
    )
    world.fault, healed_at = deliver_once, world.now
    converged = world.run(30, lambda: has_converged(world))
    return {
        "apart_asked": VERSION_CHANGES,
        "apart_settled": settled,
        "apart_gateways": len(partitioned),
        "apart_leased": leased,
        "apart_back_s": (world.now - healed_at) / 1e6 if converged else 30.0,
    }


@click.command()
@click.option("--gateways", default=45, show_default=True)
@click.option("--seeds", default=4, show_default=True)
@click.option("--to", type=click.Path(path_type=Path), help="Write a file of results.")
def main(gateways: int, seeds: int, to: Path | None) -> None:
    """Simulate both scenarios over several seeds and print their quantities."""
    started_at, machine, samples = time.time(), current_machine(), list[Sample]()
    for scenario in SCENARIOS:
        rows = [run_scenario(gateways, scenario, seed) for seed in range(1, seeds + 1)]
        for name in rows[0]:
            unit = "s" if name.endswith("_s") else "count"
            summary = sample(name, unit, (gateways, 0), [row[name] for row in rows], "simulated")
            click.echo(f"{scenario}: {name} {summary.value:g} ({summary.low:g} to {summary.high:g})")
            fields = {name: getattr(summary, name) for name in summary.__struct_fields__}
            samples.append(Sample(**fields | {"day": scenario}))
    if to is not None:
        command = f"python -m benchmarks.regions --gateways {gateways} --seeds {seeds} --to {to}"
        save_results(to, command, started_at, machine, samples, "nine regions; the council in five of them")


if __name__ == "__main__":
    main()
