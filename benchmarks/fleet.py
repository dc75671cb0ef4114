"""A full-size fleet in simulated time, with faults: breaches of the disruption budget, and delays.

    python -m benchmarks.fleet campaign --seeds 1000 --gateways 200
    python -m benchmarks.fleet delays --seeds 40 --gateways 200 --loss 0.05

`campaign` runs restarts by supervisors, drains by two operators and a release, under datagram loss, zone
partitions, and crashes and pauses of gateways, including the leader and the voters. An auditor counts
breaches of the budget as seen from outside. `delays` has no fault but loss, and measures a slot, a drain, a
halt and an election.
"""

import statistics
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from random import Random

import click

from whintrail.cli.output import print_rows
from whintrail.fleet.budget import DisruptionBudget, absolute_limit
from whintrail.fleet.leader import EngineAvailability, LeaderRules
from whintrail.fleet.node import FleetConfig
from whintrail.fleet.state import HALTED
from whintrail.fleet.wire import Change, DrainRequest, ReleaseRequest, ReleaseStatusRequest
from whintrail.standins.fleet_simulation import FleetSimulation, deliver_once
from whintrail.standins.restart_audit import Auditor, Supervisor, create_supervisors

ZONES = ("a", "b", "c", "d")
FLEET_SHARE = 0.05
ZONE_SHARE = 0.1


@dataclass
class CampaignResult:
    """The counts of one seed."""

    seed: int
    breaches: list[str] = field(default_factory=list)
    granted: int = 0
    left_without_slot: int = 0
    most_out: int = 0
    drains: int = 0
    epochs: int = 0
    slot_waits_s: list[float] = field(default_factory=list)
    took_s: float = 0.0


def build_world(
    count: int, seed: int, tick_us: int = 50_000
) -> tuple[FleetSimulation, Auditor, list[Supervisor]]:
    """A simulated fleet with a leader, its auditor and its supervisors."""
    rules = LeaderRules(DisruptionBudget(FLEET_SHARE, ZONE_SHARE), DisruptionBudget(0.05, 0.2))
    engines = {f"e{n}": EngineAvailability(ZONES[n % 4]) for n in range(80)}

    def fleet_config(number: int, build: str) -> FleetConfig:
        return FleetConfig(
            "f", number, count, (0, 1, 2, 3, 4), build=build, zone=number % 4, zones=ZONES, rules=rules
        )

    world = FleetSimulation(fleet_config, count, seed, engines, 0.005, tick_us)
    fleet_limit, zone = absolute_limit(FLEET_SHARE, count), absolute_limit(ZONE_SHARE, count // 4)
    auditor = Auditor(world, fleet_limit, zone, lambda n: ZONES[n % 4])
    world.run(10, lambda: world.leader() is not None)
    world.run(4)
    return world, auditor, create_supervisors(world, auditor)


def change_fault(world: FleetSimulation, random: Random) -> None:
    """Replaces the network fault by a random one, or none."""
    world.fault = deliver_once
    kind = random.random()
    if kind < 0.4:
        loss = random.choice([0.05, 0.2, 0.33])
        world.fault = lambda a, b, r: [] if r.random() < loss else [r.random() * 0.05]
    elif kind < 0.6:
        zone = random.randrange(4)
        world.fault = lambda a, b, r: [] if (a % 4 == zone) != (b % 4 == zone) else [0.0]
    elif kind < 0.7:
        voter = random.randrange(5)
        # Datagrams to one voter are lost, all others are duplicated.
        world.fault = lambda a, b, r: [] if b == voter else [0.0, r.random()]


def campaign(count: int, rounds: int, seed: int) -> CampaignResult:
    """Runs one seed with faults of all kinds."""
    started_at, random, result = time.perf_counter(), Random(seed), CampaignResult(seed)
    world, auditor, supervisors = build_world(count, seed, 100_000)  # twice the usual tick, for speed
    done_drains: set[tuple[str, int]] = set()
    if random.random() < 0.5:
        world.node(7).submit(world.clock(7), ReleaseRequest("new", (20, 200, 1000), ""), 5, True)
    target = "new" if world.state().release is not None or random.random() < 0.5 else "old"
    for _ in range(rounds):
        change_fault(world, random)
        for supervisor in random.sample(supervisors, max(4, count // 12)):
            supervisor.termination_delay_us = random.choice([0, 0, 0, 400_000, 3_000_000])
            supervisor.down_us = random.randrange(500_000, 4_000_000)
            supervisor.restart(target, 6)
        for _ in range(random.randrange(3)):
            victim = random.choice([supervisors[random.randrange(5)], random.choice(supervisors)])
            match random.randrange(3):
                case 0 if world.processes[victim.number] is not None:
                    victim.kill(random.randrange(500_000, 8_000_000))
                case 1:
                    world.pause(victim.number, random.random() * 5)
        if random.random() < 0.1:  # all voters
            for number in range(5):
                if world.processes[number] is not None:
                    supervisors[number].kill(random.randrange(300_000, 1_500_000))
        for _ in range(random.randrange(3)):
            engine, requester = f"e{random.randrange(80)}", random.choice(world.running_numbers())
            world.open_attempts = {(random.randrange(count), engine): 1 for _ in range(2)}
            world.node(requester).submit(world.clock(requester), DrainRequest(engine, "", 0, False), 4, True)
        lines = len(world.log_lines)
        for _ in range(10):
            world.run(random.random() * 0.5)
            for at, _, event, fields in world.log_lines[lines:]:
                if (
                    event == "engine drain done"
                    and (key := (str(fields["engine"]), at // 5_000_000)) not in done_drains
                ):
                    done_drains.add(key)
                    busy = [
                        n
                        for (n, e), c in world.open_attempts.items()
                        if e == key[0] and c and n in world.running_numbers()
                    ]
                    if busy:
                        result.breaches.append(f"{at / 1e6:.2f} s: {key[0]} done, held by n{busy[0]}")
            lines = len(world.log_lines)
        world.open_attempts = {}
    result.breaches += auditor.breaches
    result.granted = sum(w.fence > 0 for w in auditor.departures)
    result.left_without_slot = len(auditor.departures) - result.granted
    result.most_out = max((w.total_down for w in auditor.departures if w.fence), default=0)
    result.drains = len(done_drains)
    result.epochs = max(world.node(n).replica.position[0] for n in world.running_numbers()) >> 32
    result.slot_waits_s = [us / 1e6 for s in supervisors for us in s.slot_waits_us]
    divergences = sum(world.node(n).replica.divergences for n in world.running_numbers())
    if divergences:
        result.breaches.append(f"{divergences} replicas with diverging histories")
    result.took_s = time.perf_counter() - started_at
    return result


def measure_delay(
    world: FleetSimulation, change: Change, number: int, is_reached: Callable[[], bool], timeout_s: float
) -> float | None:
    """Submits a change; returns the seconds until the condition holds, or None at the timeout."""
    before = world.now
    world.node(number).submit(world.clock(number), change, timeout_s, True)
    return (world.now - before) / 1e6 if world.run(timeout_s, is_reached) else None


def delays(count: int, loss: float, seed: int) -> dict[str, float | None]:
    """Runs one seed without faults but loss; the seconds that each operation took, or None."""
    world, _, supervisors = build_world(count, seed)
    world.fault = lambda a, b, r: [] if r.random() < loss else [r.random() * 0.01]
    random, result = Random(seed), dict[str, float | None]()
    requester = random.randrange(6, count)
    supervisors[requester].restart("old")
    world.run(10, lambda: bool(supervisors[requester].slot_waits_us))
    waits = supervisors[requester].slot_waits_us
    result["slot"] = waits[0] / 1e6 if waits else None
    world.run(12)

    def is_drained() -> bool:
        drain = world.state().drains.get("e3")
        return drain is not None and drain.done

    result["drain done, nothing out"] = measure_delay(
        world, DrainRequest("e3", "", 0, False), requester, is_drained, 20
    )
    other = random.randrange(6, count)
    world.node(other).submit(world.clock(other), ReleaseRequest("new", (500, 1000), ""), 5, True)
    world.run(3)

    def is_halted() -> bool:
        releases = [world.node(n).state.release for n in world.running_numbers()]
        return all(r is not None and r.status == HALTED for r in releases)

    result["halt known to all"] = measure_delay(world, ReleaseStatusRequest(HALTED, ""), other, is_halted, 20)
    leader = world.leader()
    assert leader is not None
    before = world.now
    world.kill(leader)
    elected = world.run(20, lambda: world.leader() not in (None, leader))
    result["new leader"] = (world.now - before) / 1e6 if elected else None
    world.run(10)
    sent_bytes, at = sum(world.sent_bytes.values()), world.now
    world.run(10)
    result["bytes/s a member, idle"] = (
        (sum(world.sent_bytes.values()) - sent_bytes) / count / ((world.now - at) / 1e6)
    )
    return result


def quantile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


@click.group()
def main() -> None:
    pass


@main.command("campaign")
@click.option("--seeds", default=100, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option("--gateways", default=200, show_default=True)
@click.option("--rounds", default=8, show_default=True)
@click.option("--jobs", default=4, show_default=True)
def campaign_command(seeds: int, first: int, gateways: int, rounds: int, jobs: int) -> None:
    rows: list[CampaignResult] = []
    with ProcessPoolExecutor(jobs) as pool:
        for result in pool.map(partial(campaign, gateways, rounds), range(first, first + seeds)):
            rows.append(result)
            for breach in result.breaches:
                click.echo(f"seed {result.seed}: {breach}")
            if len(rows) % 50 == 0:
                click.echo(f"{len(rows)} seeds, {sum(bool(r.breaches) for r in rows)} with a breach")
    slots = [wait for row in rows for wait in row.slot_waits_s]
    table = {
        "seeds": len(rows),
        "seeds with a breach": sum(bool(row.breaches) for row in rows),
        "out by a slot": sum(row.granted for row in rows),
        "out without one": sum(row.left_without_slot for row in rows),
        "most out at once": max(row.most_out for row in rows),
        "drains done": sum(row.drains for row in rows),
        "councils begun anew": sum(row.epochs - 1 for row in rows),
        "slot, median s": statistics.median(slots) if slots else None,
        "slot, p99 s": quantile(slots, 0.99) if slots else None,
        "CPU s a seed": statistics.mean(row.took_s for row in rows),
    }
    print_rows([table], list(table), "json")


@main.command("delays")
@click.option("--seeds", default=40, show_default=True)
@click.option("--gateways", default=200, show_default=True)
@click.option("--loss", default=0.0, show_default=True)
@click.option("--jobs", default=4, show_default=True)
def delays_command(seeds: int, gateways: int, loss: float, jobs: int) -> None:
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(partial(delays, gateways, loss), range(1, seeds + 1)))
    rows = []
    for name in results[0]:
        values = [row[name] for row in results]
        known = [value for value in values if value is not None]
        rows.append(
            {
                "what": name,
                "median": statistics.median(known) if known else None,
                "p99": quantile(known, 0.99) if known else None,
                "never": len(values) - len(known),
            }
        )
    print_rows(rows, ["what", "median", "p99", "never"], "table")


if __name__ == "__main__":
    main()
