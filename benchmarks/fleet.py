"""The fleet in simulated time at full size, with faults: breaches of the budget, and how long things take.

    python -m benchmarks.fleet campaign --seeds 1000 --gateways 200
    python -m benchmarks.fleet delays --seeds 40 --gateways 200 --loss 0.05

`campaign`: restarts by supervisors, drains by two operators, a release; losses of datagrams, cuts of zones,
members killed and stopped, the leader and the council among them. An auditor that sees only from outside
counts. `delays`: nothing but the loss; a slot, a drain, a halt, the leader's death.
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
from whintrail.standins.simulated import World, sound
from whintrail.standins.supervised import Auditor, Supervisor, supervise

ZONES = ("a", "b", "c", "d")
SHARE, ZONE_SHARE = 0.05, 0.1


@dataclass
class CampaignResult:
    seed: int
    breaches: list[str] = field(default_factory=list)
    granted: int = 0
    left_without_slot: int = 0
    most_out: int = 0
    drains: int = 0
    epochs: int = 0
    slot_waits_s: list[float] = field(default_factory=list)
    took_s: float = 0.0


def build_world(count: int, seed: int, tick_us: int = 50_000) -> tuple[World, Auditor, list[Supervisor]]:
    rules = LeaderRules(DisruptionBudget(SHARE, ZONE_SHARE), DisruptionBudget(0.05, 0.2))
    engines = {f"e{n}": EngineAvailability(ZONES[n % 4]) for n in range(80)}

    def given(number: int, build: str) -> FleetConfig:
        return FleetConfig(
            "f", number, count, (0, 1, 2, 3, 4), build=build, zone=number % 4, zones=ZONES, rules=rules
        )

    world = World(given, count, seed, engines, 0.005, tick_us)
    allowed, zone = absolute_limit(SHARE, count), absolute_limit(ZONE_SHARE, count // 4)
    auditor = Auditor(world, allowed, zone, lambda n: ZONES[n % 4])
    world.run(10, lambda: world.leader() is not None)
    world.run(4)
    return world, auditor, supervise(world, auditor)


def change_fault(world: World, random: Random) -> None:
    world.fault = sound
    draw = random.random()
    if draw < 0.4:
        loss = random.choice([0.05, 0.2, 0.33])
        world.fault = lambda a, b, r: [] if r.random() < loss else [r.random() * 0.05]
    elif draw < 0.6:
        zone = random.randrange(4)
        world.fault = lambda a, b, r: [] if (a % 4 == zone) != (b % 4 == zone) else [0.0]
    elif draw < 0.7:
        deaf = random.randrange(5)
        world.fault = lambda a, b, r: [] if b == deaf else [0.0, r.random()]  # one way; others doubled


def campaign(count: int, rounds: int, seed: int) -> CampaignResult:
    began, random, found = time.perf_counter(), Random(seed), CampaignResult(seed)
    world, auditor, supervisors = build_world(count, seed, 100_000)  # twice the usual turn, for speed
    done: set[tuple[str, int]] = set()
    if random.random() < 0.5:
        world.node(7).submit(world.clock(7), ReleaseRequest("new", (20, 200, 1000), ""), 5, True)
    target = "new" if world.state().release is not None or random.random() < 0.5 else "old"
    for _ in range(rounds):
        change_fault(world, random)
        for supervisor in random.sample(supervisors, max(4, count // 12)):
            supervisor.slow_us = random.choice([0, 0, 0, 400_000, 3_000_000])
            supervisor.down_us = random.randrange(500_000, 4_000_000)
            supervisor.restart(target, 6)
        for _ in range(random.randrange(3)):
            victim = random.choice([supervisors[random.randrange(5)], random.choice(supervisors)])
            match random.randrange(3):
                case 0 if world.processes[victim.number] is not None:
                    victim.kill(random.randrange(500_000, 8_000_000))
                case 1:
                    world.stop(victim.number, random.random() * 5)
        if random.random() < 0.1:  # the whole council
            for number in range(5):
                if world.processes[number] is not None:
                    supervisors[number].kill(random.randrange(300_000, 1_500_000))
        for _ in range(random.randrange(3)):
            engine, who = f"e{random.randrange(80)}", random.choice(world.up())
            world.busy = {(random.randrange(count), engine): 1 for _ in range(2)}
            world.node(who).submit(world.clock(who), DrainRequest(engine, "", 0, False), 4, True)
        lines = len(world.lines)
        for _ in range(10):
            world.run(random.random() * 0.5)
            for at, _, what, more in world.lines[lines:]:
                if (
                    what == "engine drain done"
                    and (key := (str(more["engine"]), at // 5_000_000)) not in done
                ):
                    done.add(key)
                    busy = [n for (n, e), c in world.busy.items() if e == key[0] and c and n in world.up()]
                    if busy:
                        found.breaches.append(f"{at / 1e6:.2f} s: {key[0]} done, held by n{busy[0]}")
            lines = len(world.lines)
        world.busy = {}
    found.breaches += auditor.breaches
    found.granted = sum(w.fence > 0 for w in auditor.went)
    found.left_without_slot = len(auditor.went) - found.granted
    found.most_out = max((w.out for w in auditor.went if w.fence), default=0)
    found.drains = len(done)
    found.epochs = max(world.node(n).replica.position[0] for n in world.up()) >> 32
    found.slot_waits_s = [us / 1e6 for s in supervisors for us in s.waits_us]
    forks = sum(world.node(n).replica.divergences for n in world.up())
    if forks:
        found.breaches.append(f"{forks} sightings of another history")
    found.took_s = time.perf_counter() - began
    return found


def measure_delay(
    world: World, change: Change, number: int, is_reached: Callable[[], bool], timeout_s: float
) -> float | None:
    before = world.now
    world.node(number).submit(world.clock(number), change, timeout_s, True)
    return (world.now - before) / 1e6 if world.run(timeout_s, is_reached) else None


def delays(count: int, loss: float, seed: int) -> dict[str, float | None]:
    world, _, supervisors = build_world(count, seed)
    world.fault = lambda a, b, r: [] if r.random() < loss else [r.random() * 0.01]
    random, found = Random(seed), dict[str, float | None]()
    who = random.randrange(6, count)
    supervisors[who].restart("old")
    world.run(10, lambda: bool(supervisors[who].waits_us))
    waits = supervisors[who].waits_us
    found["slot"] = waits[0] / 1e6 if waits else None
    world.run(12)

    def drained() -> bool:
        drain = world.state().drains.get("e3")
        return drain is not None and drain.done

    found["drain done, nothing out"] = measure_delay(
        world, DrainRequest("e3", "", 0, False), who, drained, 20
    )
    other = random.randrange(6, count)
    world.node(other).submit(world.clock(other), ReleaseRequest("new", (500, 1000), ""), 5, True)
    world.run(3)

    def halted() -> bool:
        releases = [world.node(n).state.release for n in world.up()]
        return all(r is not None and r.status == HALTED for r in releases)

    found["halt known to all"] = measure_delay(world, ReleaseStatusRequest(HALTED, ""), other, halted, 20)
    leader = world.leader()
    assert leader is not None
    before = world.now
    world.kill(leader)
    led = world.run(20, lambda: world.leader() not in (None, leader))
    found["new leader"] = (world.now - before) / 1e6 if led else None
    world.run(10)
    sent, at = sum(world.sent_bytes.values()), world.now
    world.run(10)
    found["bytes/s a member, idle"] = (
        (sum(world.sent_bytes.values()) - sent) / count / ((world.now - at) / 1e6)
    )
    return found


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
        for found in pool.map(partial(campaign, gateways, rounds), range(first, first + seeds)):
            rows.append(found)
            for breach in found.breaches:
                click.echo(f"seed {found.seed}: {breach}")
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
        found = list(pool.map(partial(delays, gateways, loss), range(1, seeds + 1)))
    rows = []
    for name in found[0]:
        values = [row[name] for row in found]
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
