"""Supervisors that restart the gateways of a simulated fleet, and an auditor of the restarts.

The auditor observes from outside: which processes are up, when each went down, and the fence of the slot that
it claimed. It reads nothing of the fleet's replicated state.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from whintrail.fleet.wire import DONE, SlotRequest
from whintrail.standins.fleet_simulation import FleetSimulation

HALT_EFFECT_US = 2_000_000  # after the answer to a halt, until it holds on every gateway
OUTCOME_POLL_US = 20_000
EXIT_DELAY_US = 300_000  # from the departure of a gateway to the end of its process


@dataclass(slots=True)
class Departure:
    """One gateway going down, as observed from outside."""

    departed_us: int
    number: int
    fence: int  # of its slot; 0: without a slot
    total_down: int  # gateways that count as down, itself included


@dataclass(slots=True)
class Auditor:
    """Checks restarts against the disruption budget: `allowed` in total and `zone_allowed` in a zone.

    An unplanned loss counts after `grace_us`, because the fleet can't know of it earlier.
    """

    world: FleetSimulation
    allowed: int
    zone_allowed: int
    zone_of: Callable[[int], str]
    grace_us: int = 4_000_000
    down: dict[int, tuple[int, bool]] = field(default_factory=dict)  # since when, and whether with a slot
    departures: list[Departure] = field(default_factory=list)
    breaches: list[str] = field(default_factory=list)
    fences: set[int] = field(default_factory=set)
    halted_at: int | None = None  # when a halt was answered

    def record_departure(self, number: int, fence: int) -> None:
        now = self.world.now
        counted_down = [
            n
            for n, (since, planned) in self.down.items()
            if n != number and (planned or now - since > self.grace_us)
        ]
        down_in_zone = [n for n in counted_down if self.zone_of(n) == self.zone_of(number)]
        self.down[number] = (now, fence > 0)
        self.departures.append(Departure(now, number, fence, len(counted_down) + 1))
        if not fence:
            return
        if len(counted_down) + 1 > self.allowed:
            self.breaches.append(
                f"{now / 1e6:.2f} s: n{number} with {sorted(counted_down)} of {self.allowed}"
            )
        if len(down_in_zone) + 1 > self.zone_allowed:
            self.breaches.append(f"{now / 1e6:.2f} s: n{number} with {sorted(down_in_zone)} in its zone")
        if self.halted_at is not None and now > self.halted_at + HALT_EFFECT_US:
            self.breaches.append(f"{now / 1e6:.2f} s: n{number}, halted since {self.halted_at / 1e6:.2f} s")
        if fence in self.fences:
            self.breaches.append(f"{now / 1e6:.2f} s: fence {fence} used twice")
        self.fences.add(fence)

    def record_return(self, number: int) -> None:
        self.down.pop(number, None)


@dataclass(slots=True)
class Supervisor:
    """Restarts one gateway on request: asks for a slot, ends the process and starts it again."""

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
    boot_id: int = 0  # of the process that the slot was requested from

    def restart(self, build: str, seconds: float = 60.0) -> None:
        """Request a slot as `may-restart --wait` does, and restart once it is granted."""
        process = self.world.processes[self.number]
        if process is None or process.node is None:
            return
        self.build, self.requested_at, self.boot_id = build, self.world.now, process.boot_id
        request = SlotRequest(process.boot_id, process.build)
        self.request_key = process.node.submit(process.clock(self.world.now), request, seconds, True)
        self._poll_outcome()

    def _poll_outcome(self) -> None:
        process = self.world.processes[self.number]
        if process is None or process.node is None or process.boot_id != self.boot_id:
            return  # it has died in the meantime
        is_paused = self.world.now < process.paused_until
        for outcome in () if is_paused else process.node.take_outcomes():
            if outcome.key == self.request_key:
                if outcome.status == DONE:
                    self.slot_waits_us.append(self.world.now - self.requested_at)
                    self.world.schedule(self.world.now + self.termination_delay_us, self._terminate)
                return
        self.world.schedule(self.world.now + OUTCOME_POLL_US, self._poll_outcome)

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
        self.world.schedule(self.world.now + EXIT_DELAY_US, partial(self._finish_exit, process.boot_id))

    def _finish_exit(self, boot_id: int) -> None:
        process = self.world.processes[self.number]
        if process is not None and process.boot_id == boot_id:
            self.world.kill(self.number)
            self.world.schedule(self.world.now + self.down_us, self.start)

    def kill(self, down_us: int) -> None:
        """Kill the gateway without a slot, as `kill -9` does; it starts again after `down_us`."""
        self.auditor.record_departure(self.number, 0)
        self.world.kill(self.number)
        self.world.schedule(self.world.now + down_us, self.start)

    def start(self) -> None:
        if self.world.processes[self.number] is None:
            self.world.start(self.number, self.build)
            self.auditor.record_return(self.number)
            self.restart_count += 1


def create_supervisors(world: FleetSimulation, auditor: Auditor) -> list[Supervisor]:
    """Return a supervisor for each gateway of the simulated fleet."""
    return [Supervisor(world, auditor, number) for number in range(world.count)]
