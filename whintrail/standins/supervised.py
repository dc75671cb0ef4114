"""Supervisors that restart gateways of a simulated fleet, and an auditor that sees only from outside.

The auditor knows which processes are up, when each went out and whether it said that it had a slot; it reads
nothing of what the fleet believes.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from whintrail.fleet.wire import DONE, SlotRequest
from whintrail.standins.simulated import World


@dataclass(slots=True)
class Went:
    """One gateway going out, as seen from outside."""

    at: int
    number: int
    fence: int  # 0: without a slot
    out: int  # how many were out with it


@dataclass(slots=True)
class Auditor:
    """`allowed` in all, `zone_allowed` in a zone. A loss counts once anybody can know of it: `grace_us`."""

    world: World
    allowed: int
    zone_allowed: int
    zone_of: Callable[[int], str]
    grace_us: int = 4_000_000
    down: dict[int, tuple[int, bool]] = field(default_factory=dict)  # since when, and whether by a slot
    went: list[Went] = field(default_factory=list)
    breaches: list[str] = field(default_factory=list)
    fences: set[int] = field(default_factory=set)
    halted_at: int | None = None  # when a halt was answered; it holds everywhere 2 s later

    def goes(self, number: int, fence: int) -> None:
        now = self.world.now
        counted = [
            n
            for n, (since, planned) in self.down.items()
            if n != number and (planned or now - since > self.grace_us)
        ]
        there = [n for n in counted if self.zone_of(n) == self.zone_of(number)]
        self.down[number] = (now, fence > 0)
        self.went.append(Went(now, number, fence, len(counted) + 1))
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

    def back(self, number: int) -> None:
        self.down.pop(number, None)


@dataclass(slots=True)
class Supervisor:
    """Restarts one gateway when told to: asks for a slot, ends the process, starts it again."""

    world: World
    auditor: Auditor
    number: int
    slow_us: int = 0  # between the answer and SIGTERM
    down_us: int = 1_000_000
    key: int = 0
    asked_at: int = 0
    waits_us: list[int] = field(default_factory=list)
    restarted: int = 0
    build: str = "old"
    boot_id: int = 0  # of the process that was asked

    def restart(self, build: str, seconds: float = 60.0) -> None:
        """As `may-restart --wait`."""
        process = self.world.processes[self.number]
        if process is None or process.node is None:
            return
        self.build, self.asked_at, self.boot_id = build, self.world.now, process.boot_id
        want = SlotRequest(process.boot_id, process.build)
        self.key = process.node.submit(process.clock(self.world.now), want, seconds, True)
        self._look()

    def _look(self) -> None:
        process = self.world.processes[self.number]
        if process is None or process.node is None or process.boot_id != self.boot_id:
            return  # it died meanwhile
        stopped = self.world.now < process.stopped_until
        for outcome in () if stopped else process.node.take_outcomes():
            if outcome.key == self.key:
                if outcome.status == DONE:
                    self.waits_us.append(self.world.now - self.asked_at)
                    self.world.at(self.world.now + self.slow_us, self._terminate)
                return
        self.world.at(self.world.now + 20_000, self._look)

    def _terminate(self) -> None:
        process = self.world.processes[self.number]
        if process is None or process.node is None or process.boot_id != self.boot_id:
            return
        if self.world.now < process.stopped_until:
            self.world.at(process.stopped_until, self._terminate)
            return
        fence = process.node.leave(process.clock(self.world.now))
        self.auditor.goes(self.number, fence)
        self.world.flush(process)
        self.world.at(self.world.now + 300_000, partial(self._ended, process.boot_id))

    def _ended(self, boot_id: int) -> None:
        process = self.world.processes[self.number]
        if process is not None and process.boot_id == boot_id:
            self.world.kill(self.number)
            self.world.at(self.world.now + self.down_us, self.start)

    def kill(self, down_us: int) -> None:
        """Not asked for: as kill -9, and back after a while."""
        self.auditor.goes(self.number, 0)
        self.world.kill(self.number)
        self.world.at(self.world.now + down_us, self.start)

    def start(self) -> None:
        if self.world.processes[self.number] is None:
            self.world.start(self.number, self.build)
            self.auditor.back(self.number)
            self.restarted += 1


def supervise(world: World, auditor: Auditor) -> list[Supervisor]:
    return [Supervisor(world, auditor, number) for number in range(world.count)]
