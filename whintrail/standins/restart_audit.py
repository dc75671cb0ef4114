"""Supervisors that restart gateways of a simulated fleet, and an auditor that sees only from outside.

The auditor knows which processes are up, when each went out and whether it said that it had a slot; it reads
nothing of what the fleet believes.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from whintrail.fleet.wire import DONE, SlotRequest
from whintrail.standins.fleet_simulation import FleetSimulation


@dataclass(slots=True)
class Departure:
    """One gateway going out, as seen from outside."""

    departed_us: int
    number: int
    fence: int  # 0: without a slot
    total_down: int  # how many were out with it


@dataclass(slots=True)
class Auditor:
    """`allowed` in all, `zone_allowed` in a zone. A loss counts once anybody can know of it: `grace_us`."""

    world: FleetSimulation
    allowed: int
    zone_allowed: int
    zone_of: Callable[[int], str]
    grace_us: int = 4_000_000
    down: dict[int, tuple[int, bool]] = field(default_factory=dict)  # since when, and whether by a slot
    departures: list[Departure] = field(default_factory=list)
    breaches: list[str] = field(default_factory=list)
    fences: set[int] = field(default_factory=set)
    halted_at: int | None = None  # when a halt was answered; it holds everywhere 2 s later

    def record_departure(self, number: int, fence: int) -> None:
        now = self.world.now
        counted = [
            n
            for n, (since, planned) in self.down.items()
            if n != number and (planned or now - since > self.grace_us)
        ]
        there = [n for n in counted if self.zone_of(n) == self.zone_of(number)]
        self.down[number] = (now, fence > 0)
        self.departures.append(Departure(now, number, fence, len(counted) + 1))
        if not fence:
            return
        if len(counted) + 1 > self.allowed:
            self.breaches.append(f"{now / 1e6:.2f} s: n{number} with {sorted(counted)} of {self.allowed}")
        if len(there) + 1 > self.zone_allowed:
            self.breaches.append(f"{now / 1e6:.2f} s: n{number} with {sorted(there)} in its zone")
        if self.halted_at is not None and now > self.halted_at + 2_000_000:
            self.breaches.append(f"{now / 1e6:.2f} s: n{number}, halted since {self.halted_at / 1e6:.2f} s")
        if fence in self.fences:
            self.breaches.append(f"{now / 1e6:.2f} s: fence {fence} used twice")
        self.fences.add(fence)

    def record_return(self, number: int) -> None:
        self.down.pop(number, None)


@dataclass(slots=True)
class Supervisor:
    """Restarts one gateway when told to: asks for a slot, ends the process, starts it again."""

    world: FleetSimulation
    auditor: Auditor
    number: int
    termination_delay_us: int = 0  # between the answer and SIGTERM
    down_us: int = 1_000_000
    request_key: int = 0
    requested_at: int = 0
    slot_waits_us: list[int] = field(default_factory=list)
    restart_count: int = 0
    build: str = "old"
    boot_id: int = 0  # of the process that was asked

    def restart(self, build: str, seconds: float = 60.0) -> None:
        """As `may-restart --wait`."""
        process = self.world.processes[self.number]
        if process is None or process.node is None:
            return
        self.build, self.requested_at, self.boot_id = build, self.world.now, process.boot_id
        want = SlotRequest(process.boot_id, process.build)
        self.request_key = process.node.submit(process.clock(self.world.now), want, seconds, True)
        self._poll_outcome()

    def _poll_outcome(self) -> None:
        process = self.world.processes[self.number]
        if process is None or process.node is None or process.boot_id != self.boot_id:
            return  # it died meanwhile
        stopped = self.world.now < process.paused_until
        for outcome in () if stopped else process.node.take_outcomes():
            if outcome.key == self.request_key:
                if outcome.status == DONE:
                    self.slot_waits_us.append(self.world.now - self.requested_at)
                    self.world.schedule(self.world.now + self.termination_delay_us, self._terminate)
                return
        self.world.schedule(self.world.now + 20_000, self._poll_outcome)

    def _terminate(self) -> None:
        process = self.world.processes[self.number]
        if process is None or process.node is None or process.boot_id != self.boot_id:
            return
        if self.world.now < process.paused_until:
            self.world.schedule(process.paused_until, self._terminate)
            return
        fence = process.node.leave(process.clock(self.world.now))
        self.auditor.record_departure(self.number, fence)
        self.world.flush(process)
        self.world.schedule(self.world.now + 300_000, partial(self._finish_exit, process.boot_id))

    def _finish_exit(self, boot_id: int) -> None:
        process = self.world.processes[self.number]
        if process is not None and process.boot_id == boot_id:
            self.world.kill(self.number)
            self.world.schedule(self.world.now + self.down_us, self.start)

    def kill(self, down_us: int) -> None:
        """Not asked for: as kill -9, and back after a while."""
        self.auditor.record_departure(self.number, 0)
        self.world.kill(self.number)
        self.world.schedule(self.world.now + down_us, self.start)

    def start(self) -> None:
        if self.world.processes[self.number] is None:
            self.world.start(self.number, self.build)
            self.auditor.record_return(self.number)
            self.restart_count += 1


def create_supervisors(world: FleetSimulation, auditor: Auditor) -> list[Supervisor]:
    return [Supervisor(world, auditor, number) for number in range(world.count)]
