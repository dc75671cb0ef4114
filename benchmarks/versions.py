"""Settings versions at full fleet size, simulated: python -m benchmarks.versions --gateways 200 --seeds 20

Each seed makes two changes one after the other, loses the given share of datagrams, and with `--faults`
pauses, kills and partitions members during them. Measured from outside: the longest time for which two
gateways with leases applied different rules, and the time until a change was in force on all running
gateways. The baseline is a file and a SIGHUP on one gateway after another, 50 ms each.
"""

import statistics
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from random import Random
from typing import Any

import click

from whintrail.cli.output import print_rows
from whintrail.fleet.node import FleetConfig
from whintrail.fleet.wire import VersionRequest
from whintrail.standins.fleet_simulation import FleetSimulation, deliver_once
from whintrail.standins.rule_audit import RuleAuditor
from whintrail.versions.member import VersionTiming
from whintrail.versions.rules import Rules, canonicalize

TIMING = VersionTiming()


def in_force(world: FleetSimulation, rules: Rules) -> bool:
    """Whether all running, unpaused gateways apply the rules under a lease, and no version is proposed."""
    for number in world.running_numbers():
        process, service = world.processes[number], world.node(number).settings
        assert service is not None and process is not None
        if world.now < process.paused_until:
            continue
        active = service.member.lease.active_version(world.clock(number))
        if not active.leased or active.rules != canonicalize(rules) or service.committed.next is not None:
            return False
    return True


def isolate_zone(zone: int, origin: int, target: int, random: Random) -> list[float]:
    """A network fault that loses all datagrams between one zone and the others."""
    return [] if (origin % 4 == zone) != (target % 4 == zone) else [0.0]


def restart(world: FleetSimulation, number: int) -> None:
    """Starts a killed gateway again."""
    world.start(number)


def simulate_changes(count: int, loss: float, faults: bool, seed: int) -> dict[str, Any]:
    """Runs one seed: two changes, the longest divergence between gateways, and the delays."""
    started, random = time.perf_counter(), Random(seed)

    def make_node(number: int, build: str) -> FleetConfig:
        limits = {"versions": TIMING, "messages_per_s": 1500.0, "bytes_per_s": 400_000.0}
        return FleetConfig("f", number, count, (0, 1, 2, 3, 4), **limits)  # type: ignore[arg-type]

    world = FleetSimulation(make_node, count, seed, drift=0.01)
    world.run(10, lambda: world.leader() is not None)
    world.run(4)
    auditor = RuleAuditor(world)
    auditor.start()
    sent, started_at = sum(world.sent_bytes.values()), world.now
    took: list[float] = []
    for step in range(2):
        world.fault = (
            (lambda a, b, r: [] if r.random() < loss else [r.random() * 0.01]) if loss else deliver_once
        )
        if faults:
            zone = random.randrange(4)
            if random.random() < 0.4:
                world.fault = partial(isolate_zone, zone)
            for _ in range(4):
                world.pause(random.randrange(count), random.choice([1.0, 3.0, 10.0]))
            victim = random.choice([random.randrange(5), random.randrange(count)])
            world.kill(victim)
            world.schedule(world.now + 1_500_000, partial(restart, world, victim))
        rules = Rules(caps={"report": step + 5}, homes={"7": step}, shut=(f"e{step}",))
        gateway = random.choice(world.running_numbers())
        node = world.node(gateway)
        assert node.settings is not None
        request = VersionRequest(node.state.versions.number + 1, node.settings.member.store_rules(rules), "")
        proposed_at = world.now
        node.submit(world.clock(gateway), request, 20, True)
        if world.run(25, lambda rules=rules: in_force(world, rules)):  # type: ignore[misc]
            took.append((world.now - proposed_at) / 1e6)
        world.fault = deliver_once
        world.run(6 if faults else 2)
    bytes_per_s = (sum(world.sent_bytes.values()) - sent) / count / ((world.now - started_at) / 1e6)
    return {
        "apart_s": auditor.longest_divergence_us / 1e6,
        "unleased_s": auditor.unleased_us / 1e6 / count,
        "took": took,
        "missed": 2 - len(took),
        "bytes": bytes_per_s,
        "cpu_s": time.perf_counter() - started,
    }


def quantile(values: list[float], share: float) -> float | None:
    return sorted(values)[min(len(values) - 1, int(len(values) * share))] if values else None


@click.command()
@click.option("--gateways", default=200, show_default=True)
@click.option("--seeds", default=20, show_default=True)
@click.option("--loss", default=0.0, show_default=True)
@click.option("--faults", is_flag=True)
@click.option("--jobs", default=4, show_default=True)
def main(gateways: int, seeds: int, loss: float, faults: bool, jobs: int) -> None:
    with ProcessPoolExecutor(jobs) as pool:
        rows = list(pool.map(partial(simulate_changes, gateways, loss, faults), range(1, seeds + 1)))
    apart, took = [row["apart_s"] for row in rows], [s for row in rows for s in row["took"]]
    table = {
        "seeds": seeds,
        "loss": loss,
        "faults": faults,
        "T s": TIMING.max_divergence_us / 1e6,
        "apart, longest": max(apart),
        "median": statistics.median(apart),
        "p99": quantile(apart, 0.99),
        "in force after s, median": statistics.median(took) if took else None,
        "p99 ": quantile(took, 0.99),
        "not in 25 s": sum(row["missed"] for row in rows),
        "bytes/s a member": statistics.mean(row["bytes"] for row in rows),
        "files and SIGHUP, apart s": 0.05 * gateways,
        "CPU s a seed": statistics.mean(row["cpu_s"] for row in rows),
    }
    print_rows([table], list(table), "json")


if __name__ == "__main__":
    main()
