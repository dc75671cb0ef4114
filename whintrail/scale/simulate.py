"""`whintrail scale simulate`: runs the fleet nodes of whole fleets in simulated time, at several sizes.

Each size starts as a fleet in which all members know each other. A leader is elected, the cost of an idle
fleet is measured, changes are made one after another and at the rates of 64,000 a day, members are killed
and restarted, and restart slots are requested. Bytes include 28 of IPv4 and UDP headers per datagram.
Processor times are of the nodes alone, without sockets or an event loop.
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
DATAGRAM_HEADER_BYTES = 28  # IPv4 and UDP
COUNCIL = (0, 1, 2, 3, 4)
ZONES = tuple(f"z{n}" for n in range(19))
MEAN_CHANGES_PER_S = 64_000 / 86_400
POLL_INTERVAL_S = 0.05
DEFAULT_SIZES = "50,100,200,400,800,1600,4000"
PARTS = ("quiet", "changes", "bounds", "losses", "slots", "mean", "ten times")
TIMED_METHODS = ("receive", "tick", "flush")  # of FleetNode; together all of its work

# Prints the processor time of a simulated second after a start. It also runs in older checkouts, in which the
# imported names were others.
COST_SCRIPT = """
import gc, sys, time
try:
    from whintrail.fleet.node import FleetConfig
    from whintrail.standins.fleet_simulation import FleetSimulation
    from whintrail.versions.member import VersionTiming
except ImportError:
    from whintrail.fleet.node import Given as FleetConfig
    from whintrail.standins.simulated import World as FleetSimulation
    from whintrail.versions.member import VersionPace as VersionTiming
count, seed = int(sys.argv[1]), int(sys.argv[2])
def build_config(number, build):
    return FleetConfig("f", number, count, (0, 1, 2, 3, 4), versions=VersionTiming(),
                       messages_per_s=20_000.0, bytes_per_s=4e6)
simulation = FleetSimulation(build_config, count, seed, drift=0.01)
gc.freeze()
simulation.run(2)
started_at = time.process_time()
simulation.run(2)
print((time.process_time() - started_at) / 2)
"""


class BoundError(Exception):
    """The run has used up its processor time or memory; the text says which."""


@dataclass(frozen=True, slots=True)
class Job:
    """One fleet size and seed to simulate in a process, with its bounds."""

    gateways: int
    seed: int
    seconds: float  # simulated, of the "quiet" part
    cpu_s: float
    memory_mb: int
    parts: tuple[str, ...]


@dataclass(slots=True)
class JobResults:
    """Values by quantity, unit, role, day and note, and descriptions of what could not be measured."""

    values: dict[tuple[str, str, str, str, str], list[float]] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)

    def add(self, quantity: str, unit: str, value: float, **labels: str) -> None:
        key = (
            quantity,
            unit,
            labels.get("role", "gateway"),
            labels.get("day", "steady"),
            labels.get("note", ""),
        )
        self.values.setdefault(key, []).append(value)


class NodeTimer:
    """Measures the processor time of one node by wrapping the methods that the simulation calls."""

    def __init__(self, process: Process) -> None:
        assert process.node is not None
        self.node, self.cpu_s = process.node, 0.0
        for name in TIMED_METHODS:
            setattr(self.node, name, partial(self._call, getattr(self.node, name)))

    def _call(self, method: Callable[..., object], *args: object) -> object:
        started_at = time.process_time()
        try:
            return method(*args)
        finally:
            self.cpu_s += time.process_time() - started_at

    def detach(self) -> None:
        for name in TIMED_METHODS:
            delattr(self.node, name)


def peak_memory_mb() -> float:
    """Return the greatest resident memory of this process so far."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


class BoundedWorld(FleetSimulation):
    """A simulation that checks its bounds on processor time and memory while it starts and runs."""

    def __init__(self, job: Job, config_for: Callable[[int, str], FleetConfig]) -> None:
        self.job = job
        super().__init__(config_for, job.gateways, job.seed, drift=0.01)

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
        """Like `run`, with the condition checked every `POLL_INTERVAL_S` of simulated time."""
        end = self.now + int(seconds * 1e6)
        while self.now < end:
            self.run(min(POLL_INTERVAL_S, (end - self.now) / 1e6))
            self.check_bounds()
            if condition is not None and condition():
                return True
        return condition is None


class JobPlayer:
    """Plays the parts of a job. When a bound ends it, `results` holds what was measured until then."""

    def __init__(self, job: Job, results: JobResults, send: Callable[[str | JobResults], None]) -> None:
        self.job, self.results, self.send, self.random = job, results, send, Random(job.seed)
        self.count = job.gateways
        started_at = time.process_time()
        self.world = BoundedWorld(job, self.build_config)
        self.world.assume_all_known()
        results.add("build_s", "s", time.process_time() - started_at)
        self.change_count = 0

    def build_config(self, number: int, build: str) -> FleetConfig:
        """Build a config with send limits that never apply, to measure all that would be sent."""
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
        for name, play_part in (
            ("start", self.play_start),
            ("quiet", self.play_quiet),
            ("bounds", self.play_bounds),  # ahead of "changes": a change makes all members report
            ("changes", self.play_sequential_changes),
            ("losses", self.play_losses),
            ("slots", self.play_slots),
            ("mean", partial(self.play_change_rate, MEAN_CHANGES_PER_S, "0.74/s")),
            ("ten times", partial(self.play_change_rate, 10 * MEAN_CHANGES_PER_S, "7.4/s")),
        ):
            if name in self.job.parts or name == "start":
                self.send(f"{self.count} gateways, seed {self.job.seed}: {name}")
                play_part()
                self.send(self.results)  # after each part, as a bound may end the process later

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

    # --- An idle fleet.

    def play_quiet(self) -> None:
        world, leader, seconds = self.world, self.wait_for_leader(), self.job.seconds
        ordinary_members = [n for n in range(self.count) if n not in COUNCIL]
        timers = {n: NodeTimer(self._process(n)) for n in (leader, *self.random.sample(ordinary_members, 5))}
        before = list(self._traffic())
        removals = sum(world.node(n).membership.removals for n in world.running_numbers())
        started_at = time.process_time()
        world.run_until(seconds)
        cpu_s = time.process_time() - started_at
        after = list(self._traffic())
        for timer in timers.values():
            timer.detach()
        rates = [
            [(b - a) / seconds for a, b in zip(*pair, strict=True)]
            for pair in zip(before, after, strict=True)
        ]
        members = [rates[n] for n in ordinary_members]
        for role, rows in (("gateway", members), ("leader", [rates[leader]])):
            sent, sent_bytes, received, received_bytes = (
                statistics.median(row[n] for row in rows) for n in range(4)
            )
            datagrams = statistics.median(row[0] + row[2] for row in rows)
            total_bytes = statistics.median(
                row[1] + row[3] + DATAGRAM_HEADER_BYTES * (row[0] + row[2]) for row in rows
            )
            self.results.add("member_datagrams_per_s", "datagrams/s", datagrams, role=role)
            self.results.add("member_bytes_per_s", "bytes/s", total_bytes, role=role)
            self.results.add("sent_per_s", "datagrams/s", sent, role=role)
            self.results.add("heard_per_s", "datagrams/s", received, role=role)
            self.results.add(
                "sent_bytes_per_s", "bytes/s", sent_bytes + DATAGRAM_HEADER_BYTES * sent, role=role
            )
            self.results.add(
                "heard_bytes_per_s", "bytes/s", received_bytes + DATAGRAM_HEADER_BYTES * received, role=role
            )
        self.results.add("sim_cpu_s", "s", cpu_s / seconds, note="after, a quiet fleet")
        self.results.add("leader_cpu_share", "share", timers[leader].cpu_s / seconds, role="leader")
        for number, timer in timers.items():
            if number != leader:
                self.results.add("member_cpu_share", "share", timer.cpu_s / seconds)
        false_removals = sum(world.node(n).membership.removals for n in world.running_numbers()) - removals
        self.results.add("false_removals", "count", false_removals / (self.count * seconds / 3600))
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
        """Measure with the default limits on messages and bytes per second."""
        world, defaults = self.world, FleetConfig("f", 0, 1, (0,))
        nodes = [world.node(n) for n in world.running_numbers()]
        for node in nodes:
            send_budget = node.send_budget
            send_budget.messages_per_s, send_budget.bytes_per_s = (
                defaults.messages_per_s,
                defaults.bytes_per_s,
            )
        world.run_until(3)
        held_back_before = [node.counters["held_back"] for node in nodes]
        sent = [node.counters["sent"] for node in nodes]
        leader, unleased, check_count = self.wait_for_leader(), 0, 20
        for _ in range(check_count):
            world.run_until(5 / check_count)
            unleased += sum(not self._acts_on(n, 0) for n in world.running_numbers())
        held_back = [node.counters["held_back"] - b for node, b in zip(nodes, held_back_before, strict=True)]
        sent = [node.counters["sent"] - b for node, b in zip(nodes, sent, strict=True)]
        note = f"bounds of {defaults.messages_per_s:g} datagrams and {defaults.bytes_per_s:g} bytes a second"
        share = held_back[leader] / max(1, held_back[leader] + sent[leader])
        self.results.add("held_back_share", "share", share, role="leader", day="bounds", note=note)
        self.results.add(
            "unleased_share", "share", unleased / check_count / len(nodes), day="bounds", note=note
        )
        kept_leader = float(world.leader() == leader)
        self.results.add("leader_kept", "share", kept_leader, role="leader", day="bounds", note=note)
        for node in nodes:
            node.send_budget.messages_per_s, node.send_budget.bytes_per_s = 1e6, 1e9
        world.run_until(4)

    # --- Changes.

    def _propose(self, proposer: int) -> tuple[int, Rules]:
        """Propose a change; returns the number of the new version and its rules."""
        self.change_count += 1
        body = canonicalize(Rules(caps={"report": self.change_count}))
        node = self.world.node(proposer)
        assert node.settings is not None
        number = node.state.versions.number + 1
        node.submit(
            self.world.clock(proposer),
            VersionRequest(number, node.settings.member.store_rules(body), ""),
            20,
            True,
        )
        return number, body

    def _acts_on(self, number: int, version: int) -> bool:
        """Whether the gateway acts, by a lease, on this version alone or on a later one."""
        settings = self.world.node(number).settings
        assert settings is not None
        rule = settings.member.lease.active_version(self.world.clock(number))
        is_later = rule.number > version
        return rule.leased and (
            is_later or (rule.number == version and rule.phase is not rule.phase.ENTERING)
        )

    def play_sequential_changes(self) -> None:
        for _ in range(4):
            world, started_at, first_line = self.world, self.world.now, len(self.world.log_lines)
            self.wait_for_leader()
            version, _ = self._propose(self.random.choice(world.running_numbers()))
            waiting_for = set(world.running_numbers())

            def acted_on_by_all(waiting_for: set[int] = waiting_for, version: int = version) -> bool:
                waiting_for -= {number for number in waiting_for if self._acts_on(number, version)}
                return not waiting_for

            in_force = world.run_until(25, acted_on_by_all)
            event_times: dict[str, int] = {}
            for at_us, _, event, details in world.log_lines[first_line:]:
                if details.get("version") == version:
                    event_times.setdefault(event, at_us)
            if in_force:
                note = "one after another"
                self.results.add("version_in_force_s", "s", (world.now - started_at) / 1e6, note=note)
                step_times = [started_at, *event_times.values(), world.now]
                step_names = ("proposed", "checked", "entering", "told")
                for name, begin, end in zip(step_names, step_times, step_times[1:], strict=False):
                    self.results.add(f"version_{name}_s", "s", (end - begin) / 1e6, note=note)
            else:
                dropped = [
                    str(details)
                    for _, _, event, details in world.log_lines[first_line:]
                    if event == "version dropped"
                ]
                reason = (
                    dropped[0] if dropped else f"{len(waiting_for)} don't act on it, {sorted(event_times)}"
                )
                self.results.problems.append(
                    f"{self.count}: change {version} not in force within 25 s: {reason}"
                )
            world.log_lines.clear()
            world.run_until(2)

    def play_change_rate(self, per_s: float, note: str, seconds: float = 20.0) -> None:
        """Make changes at a rate and measure the time from arrival until in force everywhere.

        Each is proposed as soon as the one before has settled. Faster is not possible, since a version is
        based on the one before.
        """
        world, waiting, started_at = self.world, deque[int](), self.world.now
        in_progress: list[tuple[int, int, set[int]]] = []  # arrived at, version, not yet acting on it
        durations: list[float] = []
        arrived, first_version = 0, self._newest_version()
        while world.now - started_at < seconds * 1e6:
            while arrived < (world.now - started_at) / 1e6 * per_s:
                waiting.append(started_at + int(arrived / per_s * 1e6))
                arrived += 1
            leader = self.wait_for_leader()
            if (
                waiting
                and self._can_propose(leader)
                and (not in_progress or in_progress[-1][1] <= self._newest_version())
            ):
                version, _ = self._propose(leader)
                in_progress.append((waiting.popleft(), version, set(world.running_numbers())))
            world.run_until(POLL_INTERVAL_S)
            for change in list(in_progress):
                change[2].difference_update(
                    {number for number in change[2] if self._acts_on(number, change[1])}
                )
                if not change[2]:
                    in_progress.remove(change)
                    durations.append((world.now - change[0]) / 1e6)
        for value in durations:
            self.results.add(
                "version_in_force_s", "s", value, note=f"at {note}, of those done in {seconds:g} s"
            )
        self.results.add(
            "versions_per_s", "count", (self._newest_version() - first_version) / seconds, note=f"at {note}"
        )
        self.results.add(
            "versions_waiting", "count", float(arrived - len(durations)), note=f"at {note} for {seconds:g} s"
        )
        world.run_until(5)

    def _newest_version(self) -> int:
        return max(self.world.node(n).state.versions.number for n in COUNCIL if self.world.processes[n])

    def _can_propose(self, proposer: int) -> bool:
        node = self.world.node(proposer)
        return node.state.versions.next is None and not node.leader_client.requests

    # --- Slots.

    def play_slots(self) -> None:
        world, ordinary_members = self.world, [n for n in range(self.count) if n not in COUNCIL]
        for member in self.random.sample(ordinary_members, 3):
            world.run_until(14)  # reports have stopped by then, so the leader has to collect them first
            self.wait_for_leader()
            node, started_at = world.node(member), world.now
            outcomes: list[RequestOutcome] = []
            node.submit(world.clock(member), SlotRequest(node.boot_id, "old"), 30, True)

            def is_answered(member: int = member, outcomes: list[RequestOutcome] = outcomes) -> bool:
                outcomes += world.node(member).take_outcomes()
                return bool(outcomes)

            world.run_until(31, is_answered)
            if outcomes and outcomes[0].status == DONE:
                self.results.add("slot_s", "s", (world.now - started_at) / 1e6)
            else:
                text = outcomes[0].text if outcomes else "no answer"
                self.results.problems.append(f"{self.count}: no slot within 30 s: {text}")
            world.run_until(4)  # the slot is returned unused

    # --- Lost and restarted members.

    def play_losses(self) -> None:
        world, ordinary_members = self.world, [n for n in range(self.count) if n not in COUNCIL]
        victims = self.random.sample(ordinary_members, 3)
        started_at = world.now
        for victim in victims:
            world.kill(victim)
        unnoticed, required_count = set(victims), 0.9 * (self.count - len(victims))

        def all_removed() -> bool:
            for victim in sorted(unnoticed):
                states = [world.node(n).membership.members[victim].state for n in world.running_numbers()]
                if sum(state is MemberState.GONE for state in states) >= required_count:
                    unnoticed.discard(victim)
                    self.results.add("removal_known_s", "s", (world.now - started_at) / 1e6, day="losses")
            return not unnoticed

        if not world.run_until(60, all_removed):
            self.results.problems.append(
                f"{self.count}: {len(unnoticed)} of 3 losses not known to nine in ten in 60 s"
            )
        for victim in victims:
            self.wait_for_leader()
            restarted_at = world.now
            world.start(victim)
            received_before = world.received[victim]

            def holds_state(victim: int = victim) -> bool:
                return (
                    world.node(victim).replica.position >= world.node(self.wait_for_leader()).replica.position
                )

            if world.run_until(30, holds_state):
                note = f"state of {len(world.state().encode())} bytes"
                self.results.add("state_newcomer_s", "s", (world.now - restarted_at) / 1e6, day="losses")
                count = float(world.received[victim] - received_before)
                self.results.add("state_newcomer_datagrams", "count", count, day="losses", note=note)
            else:
                self.results.problems.append(f"{self.count}: a newcomer holds no state after 30 s")

            def holds_lease(victim: int = victim) -> bool:
                return self._acts_on(victim, world.node(self.wait_for_leader()).state.versions.number)

            if world.run_until(30, holds_lease):
                self.results.add("newcomer_leased_s", "s", (world.now - restarted_at) / 1e6, day="losses")
            else:
                self.results.problems.append(f"{self.count}: a newcomer has no lease after 30 s")


def run_job(job: Job, pipe: Connection) -> None:
    """Play a job in this process; progress lines and results go to the pipe."""
    import gc

    gc.disable()  # collections over millions of objects are slow, and cyclic garbage is little in a short run
    results = JobResults()
    try:
        JobPlayer(job, results, pipe.send).play()
    except BoundError as error:
        results.problems.append(f"{job.gateways} gateways, seed {job.seed}, ended early: {error}")
    except KeyboardInterrupt:
        return
    pipe.send(results)
    pipe.close()


def run_jobs(jobs: list[Job], max_running: int) -> Iterator[tuple[Job, JobResults]]:
    """Run each job in a process of its own, which ends with this one in any case.

    Yields a job's results after each of its parts; later ones replace the earlier ones.
    """
    waiting, running = deque(jobs), dict[Connection, tuple[Job, SpawnProcess]]()
    context = multiprocessing.get_context("spawn")
    try:
        while waiting or running:
            while waiting and len(running) < max_running:
                job = waiting.popleft()
                receiver, sender = context.Pipe(duplex=False)
                process = context.Process(target=run_job, args=(job, sender), daemon=True)
                process.start()
                sender.close()
                running[receiver] = job, process
            for pipe in wait(list(running)):
                assert isinstance(pipe, Connection)
                job, process = running[pipe]
                try:
                    message = pipe.recv()
                except EOFError:
                    process.join(10)
                    del running[pipe]
                    continue
                if isinstance(message, str):
                    click.echo(message, err=True)
                else:
                    yield job, message
    finally:
        for _, process in running.values():
            process.terminate()
            process.join(5)


def measure_costs(checkout: Path, sizes: list[int], seeds: int, note: str) -> Iterator[Sample]:
    """Measure the processor seconds per simulated second after a start, with the code of a checkout."""
    for count in sizes:
        values = []
        for seed in range(1, seeds + 1):
            click.echo(f"{count} gateways, seed {seed}: {note}", err=True)
            command = [sys.executable, "-c", COST_SCRIPT, str(count), str(seed)]
            environment = {**os.environ, "PYTHONPATH": str(checkout)}
            completed = subprocess.run(
                command, cwd=checkout, env=environment, capture_output=True, text=True, check=True
            )
            values.append(float(completed.stdout))
        yield replace_fields(sample("sim_cpu_s", "s", (count, 0), values, KIND), note=note)


def replace_fields(original: Sample, **changes: str) -> Sample:
    """Return a copy of a sample with some fields changed."""
    import msgspec

    return msgspec.structs.replace(original, **changes)


def parse_sizes(context: click.Context, parameter: click.Parameter, text: str) -> list[int]:
    """Parse comma-separated fleet sizes, each large enough to have members outside the council."""
    try:
        sizes = [int(part) for part in text.split(",") if part]
    except ValueError as error:
        raise click.BadParameter(f"{text}: not a comma-separated list of numbers") from error
    # Smaller fleets have too few members outside the council.
    if not all(10 <= number <= 65_535 for number in sizes):
        raise click.BadParameter("from 10 to 65535")
    return sizes


@click.command()
@click.option(
    "--gateways", default=DEFAULT_SIZES, show_default=True, callback=parse_sizes, help="Fleet sizes."
)
@click.option("--seconds", default=15.0, show_default=True, help="Simulated, of an idle fleet.")
@click.option("--seeds", default=2, show_default=True)
@click.option("--part", "parts", multiple=True, type=click.Choice(PARTS), help="Only this; may be repeated.")
@click.option("--jobs", default=2, show_default=True, help="Processes at a time.")
@click.option("--cpu-seconds", default=900.0, show_default=True, help="Of one process, at most.")
@click.option("--memory-mb", default=6000, show_default=True, help="Of one process, at most.")
@click.option(
    "--before", type=click.Path(path_type=Path, file_okay=False), help="A checkout to compare with."
)
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
    """Simulate whole fleets: what members and the leader send, and how long changes take."""
    started_at, machine = time.time(), current_machine()
    samples: list[Sample] = []
    if before is not None:
        samples += measure_costs(before, cost_sizes, 3, "before, from a start")
        samples += measure_costs(Path(__file__).parents[2], cost_sizes, 3, "after, from a start")
    results: dict[tuple[int, int], JobResults] = {}

    def write() -> None:
        all_samples, problems = list(samples), list[str]()
        for count in sorted({count for count, _ in results}):
            merged = JobResults()
            for job_key in sorted(job_key for job_key in results if job_key[0] == count):
                problems += results[job_key].problems
                for key, values in results[job_key].values.items():
                    merged.values.setdefault(key, []).extend(values)
            for (quantity, unit, role, day, note), values in merged.values.items():
                new_sample = sample(quantity, unit, (count, 0), values, KIND)
                all_samples.append(replace_fields(new_sample, role=role, day=day, note=note))
        command = "whintrail scale " + " ".join(["simulate", *sys.argv[3:]])
        save_results(to, command, started_at, machine, all_samples, "; ".join(problems))

    bounds = cpu_seconds, memory_mb, parts or PARTS
    jobs_to_run = [Job(count, seed, seconds, *bounds) for count in gateways for seed in range(1, seeds + 1)]
    for job, job_results in run_jobs(jobs_to_run, jobs):
        results[job.gateways, job.seed] = job_results
        write()
    write()
    for line in [line for one in results.values() for line in one.problems]:
        click.echo(line, err=True)
    click.echo(f"{to}: {len(results)} simulations", err=True)
