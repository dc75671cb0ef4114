"""`whintrail scale simulate`: the real cores of a whole fleet in simulated time, one size after another.

Each size begins as a fleet that has long been up: all know one another. The council is begun, then what a
quiet second costs is counted, changes go through one after another and at rates a day of 64,000 brings,
members are killed and come back, slots are asked for. Bytes are payload and 28 of IPv4 and UDP headers.
Processor times are of the cores alone: no socket, no event loop.
"""

import multiprocessing
import os
import resource
import statistics
import subprocess
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from multiprocessing.connection import Connection, wait
from multiprocessing.context import SpawnProcess
from pathlib import Path
from random import Random

import click

from whintrail.fleet.budget import DisruptionBudget
from whintrail.fleet.leader import LeaderRules
from whintrail.fleet.leader_client import RequestOutcome
from whintrail.fleet.membership import MemberState
from whintrail.fleet.node import FleetConfig
from whintrail.fleet.wire import DONE, SlotRequest, VersionRequest
from whintrail.scale.results import Kind, Sample, current_machine, sample, save_results
from whintrail.standins.fleet_simulation import FleetSimulation, Process
from whintrail.versions.member import VersionTiming
from whintrail.versions.rules import Rules, canonicalize

KIND: Kind = "simulated"
DATAGRAM_HEADER_BYTES = 28  # bytes of IPv4 and UDP
COUNCIL = (0, 1, 2, 3, 4)
ZONES = tuple(f"z{n}" for n in range(19))
MEAN_CHANGES_PER_S = 64_000 / 86_400
POLL_INTERVAL_S = 0.05
DEFAULT_SIZES = "50,100,200,400,800,1600,4000"
PARTS = ("quiet", "changes", "bounds", "losses", "slots", "mean", "ten times")

# What a second from a start costs, for a checkout with any version of the cores.
COST_SCRIPT = """
import gc, sys, time
from whintrail.fleet.node import Given
from whintrail.standins.fleet_simulation import World
from whintrail.versions.member import VersionPace
count, seed = int(sys.argv[1]), int(sys.argv[2])
def given(number, build):
    return Given("f", number, count, (0, 1, 2, 3, 4), versions=VersionPace(),
                 messages_per_s=20_000.0, bytes_per_s=4e6)
world = World(given, count, seed, drift=0.01)
gc.freeze()
world.run(2)
began = time.process_time()
world.run(2)
print((time.process_time() - began) / 2)
"""


class BoundError(Exception):
    """The run has used what it may; the text says what."""


@dataclass(frozen=True, slots=True)
class Job:
    gateways: int
    seed: int
    seconds: float  # of simulated time in the quiet part
    cpu_s: float
    memory_mb: int
    parts: tuple[str, ...]


@dataclass(slots=True)
class JobResults:
    """Values by quantity, unit, role, day and note; and what could not be had."""

    values: dict[tuple[str, str, str, str, str], list[float]] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)

    def add(self, quantity: str, unit: str, value: float, **more: str) -> None:
        key = quantity, unit, more.get("role", "gateway"), more.get("day", "steady"), more.get("note", "")
        self.values.setdefault(key, []).append(value)


class NodeTimer:
    """Counts the processor time of one node's core, as it is called by the world."""

    def __init__(self, process: Process) -> None:
        assert process.node is not None
        self.node, self.cpu_s = process.node, 0.0
        for name in ("take", "tick", "flush"):
            setattr(self.node, name, partial(self._call, getattr(self.node, name)))

    def _call(self, what: Callable[..., object], *args: object) -> object:
        began = time.process_time()
        try:
            return what(*args)
        finally:
            self.cpu_s += time.process_time() - began

    def detach(self) -> None:
        for name in ("take", "tick", "flush"):
            delattr(self.node, name)


def peak_memory_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


class BoundedWorld(FleetSimulation):
    """Looks at its bounds while it is made and while it runs."""

    def __init__(self, job: Job, given: Callable[[int, str], FleetConfig]) -> None:
        self.job = job
        super().__init__(given, job.gateways, job.seed, drift=0.01)

    def check_bounds(self) -> None:
        if time.process_time() > self.job.cpu_s:
            raise BoundError(f"--cpu-seconds {self.job.cpu_s:g} used")
        if peak_memory_mb() > self.job.memory_mb:
            raise BoundError(f"--memory-mb {self.job.memory_mb} used")

    def start(self, number: int, build: str = "old") -> Process:
        if number % 64 == 0:
            self.check_bounds()
        return super().start(number, build)

    def run_until(self, seconds: float, condition: Callable[[], bool] | None = None) -> bool:
        """As `run`, with the condition looked at each `POLL_S` of simulated time."""
        end = self.now + int(seconds * 1e6)
        while self.now < end:
            self.run(min(POLL_INTERVAL_S, (end - self.now) / 1e6))
            self.check_bounds()
            if condition is not None and condition():
                return True
        return condition is None


class JobPlayer:
    """One size with one seed; `found` holds what was had when a bound ended it."""

    def __init__(self, job: Job, results: JobResults, send: Callable[[str | JobResults], None]) -> None:
        self.job, self.results, self.send, self.random = job, results, send, Random(job.seed)
        self.count = job.gateways
        began = time.process_time()
        self.world = BoundedWorld(job, self.build_config)
        self.world.assume_all_known()
        results.add("build_s", "s", time.process_time() - began)
        self.change_count = 0

    def build_config(self, number: int, build: str) -> FleetConfig:
        """Without the bound of messages a second: what would be sent is to be seen."""
        zone = number % len(ZONES)
        return FleetConfig(
            "f",
            number,
            self.count,
            COUNCIL,
            build=build,
            zone=zone,
            zones=ZONES,
            rules=LeaderRules(DisruptionBudget(0.05, 0.1), DisruptionBudget(1.0, 1.0)),
            versions=VersionTiming(),
            messages_per_s=1e6,
            bytes_per_s=1e9,
        )

    def play(self) -> None:
        for name, part in (
            ("start", self.play_start),
            ("quiet", self.play_quiet),
            ("bounds", self.play_bounds),  # before a change has all report
            ("changes", self.play_sequential_changes),
            ("losses", self.play_losses),
            ("slots", self.play_slots),
            ("mean", partial(self.play_change_rate, MEAN_CHANGES_PER_S, "0.74/s")),
            ("ten times", partial(self.play_change_rate, 10 * MEAN_CHANGES_PER_S, "7.4/s")),
        ):
            if name in self.job.parts or name == "start":
                self.send(f"{self.count} gateways, seed {self.job.seed}: {name}")
                part()
                self.send(self.results)  # what was had so far is kept, whatever ends this process

    def wait_for_leader(self) -> int:
        leader = self.world.leader()
        if leader is None:
            self.world.run_until(20, lambda: self.world.leader() is not None)
            leader = self.world.leader()
        if leader is None:
            raise BoundError("no leader within 20 s")
        return leader

    def play_start(self) -> None:
        self.wait_for_leader()
        self.results.add("leader_s", "s", self.world.now / 1e6, role="leader")
        self.world.run_until(4)

    # --- A quiet fleet.

    def play_quiet(self) -> None:
        world, leader, seconds = self.world, self.wait_for_leader(), self.job.seconds
        others = [n for n in range(self.count) if n not in COUNCIL]
        watched = {n: NodeTimer(self._process(n)) for n in (leader, *self.random.sample(others, 5))}
        before = list(self._traffic())
        removals = sum(world.node(n).membership.removals for n in world.running_numbers())
        began = time.process_time()
        world.run_until(seconds)
        spent = time.process_time() - began
        after = list(self._traffic())
        for timed in watched.values():
            timed.detach()
        rates = [
            [(b - a) / seconds for a, b in zip(*pair, strict=True)]
            for pair in zip(before, after, strict=True)
        ]
        members = [rates[n] for n in others]
        for role, rows in (("gateway", members), ("leader", [rates[leader]])):
            sent, sent_bytes, heard, heard_bytes = (
                statistics.median(row[n] for row in rows) for n in range(4)
            )
            both = statistics.median(row[0] + row[2] for row in rows)
            size = statistics.median(
                row[1] + row[3] + DATAGRAM_HEADER_BYTES * (row[0] + row[2]) for row in rows
            )
            self.results.add("member_datagrams_per_s", "datagrams/s", both, role=role)
            self.results.add("member_bytes_per_s", "bytes/s", size, role=role)
            self.results.add("sent_per_s", "datagrams/s", sent, role=role)
            self.results.add("heard_per_s", "datagrams/s", heard, role=role)
            self.results.add(
                "sent_bytes_per_s", "bytes/s", sent_bytes + DATAGRAM_HEADER_BYTES * sent, role=role
            )
            self.results.add(
                "heard_bytes_per_s", "bytes/s", heard_bytes + DATAGRAM_HEADER_BYTES * heard, role=role
            )
        self.results.add("sim_cpu_s", "s", spent / seconds, note="after, a quiet fleet")
        self.results.add("leader_cpu_share", "share", watched[leader].cpu_s / seconds, role="leader")
        for number, timed in watched.items():
            if number != leader:
                self.results.add("member_cpu_share", "share", timed.cpu_s / seconds)
        false = sum(world.node(n).membership.removals for n in world.running_numbers()) - removals
        self.results.add("false_removals", "count", false / (self.count * seconds / 3600))
        self.results.add("memory_mb", "MB", peak_memory_mb())

    def _process(self, number: int) -> Process:
        process = self.world.processes[number]
        assert process is not None
        return process

    def _traffic(self) -> Iterator[tuple[float, ...]]:
        world = self.world
        yield from zip(
            world.sent_copies, world.sent_copy_bytes, world.received, world.received_bytes, strict=True
        )

    def play_bounds(self) -> None:
        """With the bounds of messages and bytes a second that a gateway has where the file says nothing."""
        world, usual = self.world, FleetConfig("f", 0, 1, (0,))
        nodes = [world.node(n) for n in world.running_numbers()]
        for node in nodes:
            spending = node.send_budget
            spending.messages_per_s, spending.bytes_per_s = usual.messages_per_s, usual.bytes_per_s
        world.run_until(3)
        before = [node.counters["held_back"] for node in nodes]
        sent = [node.counters["sent"] for node in nodes]
        leader, unleased, looks = self.wait_for_leader(), 0, 20
        for _ in range(looks):
            world.run_until(5 / looks)
            unleased += sum(not self._acts_on(n, 0) for n in world.running_numbers())
        held = [node.counters["held_back"] - b for node, b in zip(nodes, before, strict=True)]
        sent = [node.counters["sent"] - b for node, b in zip(nodes, sent, strict=True)]
        note = f"bounds of {usual.messages_per_s:g} datagrams and {usual.bytes_per_s:g} bytes a second"
        share = held[leader] / max(1, held[leader] + sent[leader])
        self.results.add("held_back_share", "share", share, role="leader", day="bounds", note=note)
        self.results.add("unleased_share", "share", unleased / looks / len(nodes), day="bounds", note=note)
        leads = float(world.leader() == leader)
        self.results.add("leader_kept", "share", leads, role="leader", day="bounds", note=note)
        for node in nodes:
            node.send_budget.messages_per_s, node.send_budget.bytes_per_s = 1e6, 1e9
        world.run_until(4)

    # --- Changes.

    def _propose(self, who: int) -> tuple[int, Rules]:
        """Its number, and what is in force once all act on it."""
        self.change_count += 1
        body = canonicalize(Rules(caps={"report": self.change_count}))
        node = self.world.node(who)
        assert node.settings is not None
        number = node.state.versions.number + 1
        node.submit(
            self.world.clock(who),
            VersionRequest(number, node.settings.member.store_rules(body), ""),
            20,
            True,
        )
        return number, body

    def _acts_on(self, number: int, version: int) -> bool:
        """Whether this gateway acts on a version at least so new, and on it alone, by a lease."""
        settings = self.world.node(number).settings
        assert settings is not None
        rule = settings.member.lease.active_version(self.world.clock(number))
        later = rule.number > version
        return rule.leased and (later or (rule.number == version and rule.phase is not rule.phase.ENTERING))

    def play_sequential_changes(self) -> None:
        for _ in range(4):
            world, began, lines = self.world, self.world.now, len(self.world.log_lines)
            self.wait_for_leader()
            version, _ = self._propose(self.random.choice(world.running_numbers()))
            left = set(world.running_numbers())

            def everywhere(left: set[int] = left, version: int = version) -> bool:
                left -= {number for number in left if self._acts_on(number, version)}
                return not left

            done = world.run_until(25, everywhere)
            steps: dict[str, int] = {}
            for at, _, what, more in world.log_lines[lines:]:
                if more.get("version") == version:
                    steps.setdefault(what, at)
            if done:
                note = "one after another"
                self.results.add("version_in_force_s", "s", (world.now - began) / 1e6, note=note)
                marks = [began, *steps.values(), world.now]
                names = ("proposed", "checked", "entering", "told")
                for name, a, b in zip(names, marks, marks[1:], strict=False):
                    self.results.add(f"version_{name}_s", "s", (b - a) / 1e6, note=note)
            else:
                dropped = [
                    str(more) for _, _, what, more in world.log_lines[lines:] if what == "version dropped"
                ]
                why = dropped[0] if dropped else f"{len(left)} don't act on it, {sorted(steps)}"
                self.results.problems.append(
                    f"{self.count}: change {version} not in force within 25 s: {why}"
                )
            world.log_lines.clear()
            world.run_until(2)

    def play_change_rate(self, per_s: float, note: str, seconds: float = 20.0) -> None:
        """Changes come at a rate; each is proposed as soon as the one before it has settled: nobody could do
        better, as a version is made on the one before. Time counts from its coming."""
        world, waiting, began = self.world, deque[int](), self.world.now
        under: list[tuple[int, int, set[int]]] = []  # came, version, who doesn't act on it yet
        took: list[float] = []
        came, settled = 0, self._newest_version()
        while world.now - began < seconds * 1e6:
            while came < (world.now - began) / 1e6 * per_s:
                waiting.append(began + int(came / per_s * 1e6))
                came += 1
            who = self.wait_for_leader()
            if waiting and self._can_propose(who) and (not under or under[-1][1] <= self._newest_version()):
                version, _ = self._propose(who)
                under.append((waiting.popleft(), version, set(world.running_numbers())))
            world.run_until(POLL_INTERVAL_S)
            for each in list(under):
                each[2].difference_update({number for number in each[2] if self._acts_on(number, each[1])})
                if not each[2]:
                    under.remove(each)
                    took.append((world.now - each[0]) / 1e6)
        for value in took:
            self.results.add(
                "version_in_force_s", "s", value, note=f"at {note}, of those done in {seconds:g} s"
            )
        self.results.add(
            "versions_per_s", "count", (self._newest_version() - settled) / seconds, note=f"at {note}"
        )
        self.results.add(
            "versions_waiting", "count", float(came - len(took)), note=f"at {note} for {seconds:g} s"
        )
        world.run_until(5)

    def _newest_version(self) -> int:
        return max(self.world.node(n).state.versions.number for n in COUNCIL if self.world.processes[n])

    def _can_propose(self, who: int) -> bool:
        node = self.world.node(who)
        return node.state.versions.next is None and not node.leader_client.requests

    # --- Slots.

    def play_slots(self) -> None:
        world, rest = self.world, [n for n in range(self.count) if n not in COUNCIL]
        for who in self.random.sample(rest, 3):
            world.run_until(14)  # nobody wants reports any more: the leader knows of nobody that it serves
            self.wait_for_leader()
            node, began = world.node(who), world.now
            outcomes: list[RequestOutcome] = []
            node.submit(world.clock(who), SlotRequest(node.boot_id, "old"), 30, True)

            def answered(who: int = who, outcomes: list[RequestOutcome] = outcomes) -> bool:
                outcomes += world.node(who).take_outcomes()
                return bool(outcomes)

            world.run_until(31, answered)
            if outcomes and outcomes[0].status == DONE:
                self.results.add("slot_s", "s", (world.now - began) / 1e6)
            else:
                text = outcomes[0].text if outcomes else "no answer"
                self.results.problems.append(f"{self.count}: no slot within 30 s: {text}")
            world.run_until(4)  # it is given back unused

    # --- Losses and newcomers.

    def play_losses(self) -> None:
        world, rest = self.world, [n for n in range(self.count) if n not in COUNCIL]
        victims = self.random.sample(rest, 3)
        began = world.now
        for victim in victims:
            world.kill(victim)
        left, known = set(victims), 0.9 * (self.count - len(victims))

        def suspects() -> bool:
            for victim in sorted(left):
                lives = [world.node(n).membership.members[victim].state for n in world.running_numbers()]
                if sum(life is MemberState.GONE for life in lives) >= known:
                    left.discard(victim)
                    self.results.add("removal_known_s", "s", (world.now - began) / 1e6, day="losses")
            return not left

        if not world.run_until(60, suspects):
            self.results.problems.append(
                f"{self.count}: {len(left)} of 3 losses not known to nine in ten in 60 s"
            )
        for victim in victims:
            self.wait_for_leader()
            at = world.now
            world.start(victim)
            heard = world.received[victim]

            def held(victim: int = victim) -> bool:
                return (
                    world.node(victim).replica.position >= world.node(self.wait_for_leader()).replica.position
                )

            if world.run_until(30, held):
                note = f"state of {len(world.state().encode())} bytes"
                self.results.add("state_newcomer_s", "s", (world.now - at) / 1e6, day="losses")
                count = float(world.received[victim] - heard)
                self.results.add("state_newcomer_datagrams", "count", count, day="losses", note=note)
            else:
                self.results.problems.append(f"{self.count}: a newcomer holds no state after 30 s")

            def leased(victim: int = victim) -> bool:
                return self._acts_on(victim, world.node(self.wait_for_leader()).state.versions.number)

            if world.run_until(30, leased):
                self.results.add("newcomer_leased_s", "s", (world.now - at) / 1e6, day="losses")
            else:
                self.results.problems.append(f"{self.count}: a newcomer has no lease after 30 s")


def run_job(job: Job, pipe: Connection) -> None:
    import gc

    gc.disable()  # millions of members, and nothing in a circle that matters in a run so short
    found = JobResults()
    try:
        JobPlayer(job, found, pipe.send).play()
    except BoundError as error:
        found.problems.append(f"{job.gateways} gateways, seed {job.seed}, ended early: {error}")
    except KeyboardInterrupt:
        return
    pipe.send(found)
    pipe.close()


def run_jobs(jobs: list[Job], at_once: int) -> Iterator[tuple[Job, JobResults]]:
    """Each in a process of its own, which ends with this one whatever happens. A job's newest figures come
    after each part of it, in place of those before."""
    waiting, running = deque(jobs), dict[Connection, tuple[Job, SpawnProcess]]()
    context = multiprocessing.get_context("spawn")
    try:
        while waiting or running:
            while waiting and len(running) < at_once:
                job = waiting.popleft()
                here, there = context.Pipe(duplex=False)
                process = context.Process(target=run_job, args=(job, there), daemon=True)
                process.start()
                there.close()
                running[here] = job, process
            for pipe in wait(list(running)):
                assert isinstance(pipe, Connection)
                job, process = running[pipe]
                try:
                    got = pipe.recv()
                except EOFError:
                    process.join(10)
                    del running[pipe]
                    continue
                if isinstance(got, str):
                    click.echo(got, err=True)
                else:
                    yield job, got
    finally:
        for _, process in running.values():
            process.terminate()
            process.join(5)


def measure_costs(checkout: Path, sizes: list[int], seeds: int, note: str) -> Iterator[Sample]:
    """Processor seconds a simulated second from a start, by the cores of a checkout."""
    for count in sizes:
        values = []
        for seed in range(1, seeds + 1):
            click.echo(f"{count} gateways, seed {seed}: {note}", err=True)
            asked = [sys.executable, "-c", COST_SCRIPT, str(count), str(seed)]
            environment = {**os.environ, "PYTHONPATH": str(checkout)}
            done = subprocess.run(
                asked, cwd=checkout, env=environment, capture_output=True, text=True, check=True
            )
            values.append(float(done.stdout))
        yield replace_fields(sample("sim_cpu_s", "s", (count, 0), values, KIND), note=note)


def replace_fields(taken: Sample, **more: str) -> Sample:
    import msgspec

    return msgspec.structs.replace(taken, **more)


def parse_sizes(context: click.Context, parameter: click.Parameter, text: str) -> list[int]:
    try:
        found = [int(part) for part in text.split(",") if part]
    except ValueError as error:
        raise click.BadParameter(f"{text}: numbers with commas between them") from error
    if not all(10 <= number <= 65_535 for number in found):  # below, there is nobody outside the council
        raise click.BadParameter("from 10 to 65535")
    return found


@click.command()
@click.option("--gateways", default=DEFAULT_SIZES, show_default=True, callback=parse_sizes, help="sizes")
@click.option("--seconds", default=15.0, show_default=True, help="of simulated time, of a quiet fleet")
@click.option("--seeds", default=2, show_default=True)
@click.option("--part", "parts", multiple=True, type=click.Choice(PARTS), help="only these; as it comes, all")
@click.option("--jobs", default=2, show_default=True, help="processes at once")
@click.option("--cpu-seconds", default=900.0, show_default=True, help="of one process, at most")
@click.option("--memory-mb", default=6000, show_default=True, help="of one process, at most")
@click.option("--before", type=click.Path(path_type=Path, file_okay=False), help="a checkout to be compared")
@click.option("--cost-sizes", default="50,200,800", show_default=True, callback=parse_sizes)
@click.option("--to", type=click.Path(path_type=Path), default=Path("docs/capacity/simulated.json"))
def simulate(
    gateways: list[int],
    seconds: float,
    seeds: int,
    parts: tuple[str, ...],
    jobs: int,
    cpu_seconds: float,
    memory_mb: int,
    before: Path | None,
    cost_sizes: list[int],
    to: Path,
) -> None:
    """Whole fleets in simulated time: what members and the leader send, and how long changes take."""
    began, machine = time.time(), current_machine()
    samples: list[Sample] = []
    if before is not None:
        samples += measure_costs(before, cost_sizes, 3, "before, from a start")
        samples += measure_costs(Path(__file__).parents[2], cost_sizes, 3, "after, from a start")
    found: dict[tuple[int, int], JobResults] = {}

    def write() -> None:
        taken, said = list(samples), list[str]()
        for count in sorted({count for count, _ in found}):
            together = JobResults()
            for place in sorted(place for place in found if place[0] == count):
                said += found[place].problems
                for key, values in found[place].values.items():
                    together.values.setdefault(key, []).extend(values)
            for (quantity, unit, role, day, note), values in together.values.items():
                made = sample(quantity, unit, (count, 0), values, KIND)
                taken.append(replace_fields(made, role=role, day=day, note=note))
        command = "whintrail scale " + " ".join(["simulate", *sys.argv[3:]])
        save_results(to, command, began, machine, taken, "; ".join(said))

    bounds = cpu_seconds, memory_mb, parts or PARTS
    todo = [Job(count, seed, seconds, *bounds) for count in gateways for seed in range(1, seeds + 1)]
    for job, got in run_jobs(todo, jobs):
        found[job.gateways, job.seed] = got
        write()
    write()
    for line in [line for one in found.values() for line in one.problems]:
        click.echo(line, err=True)
    click.echo(f"{to}: {len(found)} plays", err=True)
