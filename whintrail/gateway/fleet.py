"""The fleet's node in a running gateway: its datagrams, its turns, its local socket.

Off unless the operator's file has a `fleet` part.

What is agreed reaches the decision module by the owner's queue alone, as a list of engines. Whatever fails
here is counted and logged; it ends nothing of the gateway.
"""

import asyncio
import os
import time
from collections.abc import Callable
from contextlib import suppress
from random import SystemRandom
from typing import Any

from whintrail.config import Fleet as FleetSettings
from whintrail.fleet.budget import Allowed
from whintrail.fleet.council import CouncilPace
from whintrail.fleet.holder import Outcome
from whintrail.fleet.leader import NO_ZONE, EngineSeen, Rules
from whintrail.fleet.node import Given, Node
from whintrail.fleet.release import Measure
from whintrail.fleet.state import STATUS
from whintrail.fleet.wire import Change
from whintrail.gateway.counters import Counters
from whintrail.gateway.fleetcontrol import FleetControl
from whintrail.gateway.log import Log
from whintrail.gateway.owner import Drains, Listed, Owner
from whintrail.gateway.peers import Peers
from whintrail.interface import EngineState, ListKind, Settings
from whintrail.timeline.kinds import FLEET
from whintrail.versions.body import Body, check, differences, read_body
from whintrail.versions.member import VersionPace

TURN_S = 0.05


def monotonic_us() -> int:
    return time.monotonic_ns() // 1000


class FleetError(ValueError):
    """The fleet can't be taken part in: the configuration says why not."""


def read_given(
    fleet: FleetSettings, settings: Settings, zones: tuple[str, ...], peers: int, build: str
) -> Given:
    """Errors: FleetError."""
    me = settings.me
    if not 0 <= me < peers:
        raise FleetError(f"the configuration names {peers} peers, and this gateway is number {me}")
    if strange := [number for number in fleet.council if number >= peers]:
        raise FleetError(f"council: number {strange[0]} is none of {peers} peers")
    out, worse = fleet.out, fleet.worse
    rules = Rules(
        gateways=Allowed(out.gateways, out.gateways_a_zone),
        engines=Allowed(out.engines, out.engines_a_zone),
        proven_us=int(fleet.proven_s * 1e6),
        measure=Measure(
            times=worse.times,
            least=worse.least,
            halted_wrongly=worse.halted_wrongly,
            passed_wrongly=worse.passed_wrongly,
            least_queries=worse.least_queries,
        ),
    )
    return Given(
        name=fleet.name,
        me=me,
        count=peers,
        council=fleet.council,
        build=build or fleet.build,
        zone=zones.index(settings.zone) if settings.zone in zones else NO_ZONE,
        zones=zones,
        rules=rules,
        council_pace=CouncilPace(quarantine_us=int(fleet.quarantine_s * 1e6)),
        use_us=int(fleet.use_within_s * 1e6),
        versions=None
        if fleet.versions is None
        else VersionPace(
            lease_us=int(fleet.versions.lease_s * 1e6),
            ask_us=int(fleet.versions.lease_s * 1e6 / 3),
            check_us=int(fleet.versions.check_s * 1e6),
            list_silent_us=int(fleet.versions.list_silent_s * 1e6),
        ),
        messages_per_s=fleet.messages_per_s,
        bytes_per_s=fleet.bytes_per_s,
    )


class FleetPart:
    """One task for the turns; datagrams come from `Peers`. `stop` ends the gateway, as SIGTERM does."""

    def __init__(
        self,
        settings: FleetSettings,
        given: Given,
        spoke: Callable[[], int],
        owner: Owner,
        peers: Peers,
        counters: Counters,
        log: Log,
        stop: Callable[[], None],
    ) -> None:
        self.settings, self.given, self.owner, self.peers = settings, given, owner, peers
        self.spoke = spoke  # when the bulletin last said anything
        self.counters, self.log, self.stop = counters, log, stop
        self.began = monotonic_us()
        chance = SystemRandom()
        birth = chance.getrandbits(32) | 1  # never 0: that is nobody
        incarnation = int(time.time()) & 0xFFFFFFFF
        self.node = Node(
            given, birth, incarnation, self.began, chance, self, lambda: int(time.time() * 1000), self._said
        )
        self.drained: frozenset[str] = frozenset()
        self.waiting: dict[int, asyncio.Future[Outcome]] = {}
        self.followers: set[asyncio.Queue[dict[str, object]]] = set()
        self.left = False
        self.tasks: list[asyncio.Task[None]] = []
        self.control: FleetControl | None = None
        owner.tally_classes()
        if self.node.settings is not None:
            acting, self.lists = self.node.settings.member.acting, self.node.settings.lists
            owner.rules = lambda: acting.rule(monotonic_us()).body
            owner.on_list = self._listed
        peers.fleet = self.datagram

    def _listed(self, listed: Listed) -> None:
        states = (
            (e.engine, e.state is EngineState.READY, e.state is EngineState.GONE)
            for e in listed.event.entries
        )
        whole = listed.event.kind is not ListKind.DELTA
        self.lists.listed(monotonic_us(), listed.generation, whole, states)

    # --- What the node asks of the gateway.

    def serving_ms(self, now: int) -> int:
        return 0 if self.left else max(1, (now - self.began) // 1000)

    def held_by(self, engine: str) -> int:
        return self.owner.held_by(engine)

    def counts(self) -> tuple[tuple[int, int, int, int], ...]:
        return self.owner.tallies()

    def engines(self) -> dict[str, EngineSeen]:
        found, kept = {}, self.owner.module.engines  # others than those we know only by the list
        for name, listed in self.owner.listed_engines().items():
            if listed.state is EngineState.GONE:
                continue
            drained = name in self.drained
            leaves = listed.state is EngineState.DRAINING and not drained
            unfit = name in kept and kept[name].fails and not drained
            found[name] = EngineSeen(listed.zone, "leaving" if leaves else "not fit" if unfit else "")
        return found

    @staticmethod
    def now_us() -> int:
        return monotonic_us()

    def check_body(self, body: Body) -> str:
        return check(body, frozenset(self.owner.deadlines), self.given.count)

    def _said(self, what: str, more: dict[str, object]) -> None:
        self.log.line("fleet-" + what.replace(" ", "-"), what, **more)
        figures = [more[name] for name in ("fence", "step", "version", "release") if name in more]
        figure = figures[0] if figures and isinstance(figures[0], int) else -1
        member = more.get("member", -1)
        engine = str(more.get("engine", FLEET))
        self.owner.agreed(engine, what, figure, member if isinstance(member, int) else -1)
        row: dict[str, object] = {"at": time.time(), "event": what, **more}
        for queue in self.followers:
            if queue.full():
                self.counters.add("fleet", "events_missed")
            else:
                queue.put_nowait(row)

    def compare(self, rules: dict[str, Any]) -> None:
        """The file's own rules, where versions are agreed on: told if they differ, and never applied."""
        assert self.node.settings is not None
        rule = self.node.settings.member.acting.rule(monotonic_us())
        if places := [path for path, _, _ in differences(rule.body, read_body(rules))]:
            self._said("rules of the file differ", {"version": rule.name, "at": ", ".join(places[:8])})

    # --- Turns and datagrams.

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(self._turns()))
        if self.settings.socket is not None:
            try:
                self.control = FleetControl(self.settings.socket, self)
                self.tasks.append(loop.create_task(self.control.run()))
            except OSError as error:
                self.log.line("fleet", f"no socket at {self.settings.socket}: {error}")

    async def _turns(self) -> None:
        while True:
            if self.node.settings is not None:
                self.lists.spoke(self.spoke())
            self._guard(lambda: self.node.tick(monotonic_us()))
            self._after()
            await asyncio.sleep(TURN_S)

    def datagram(self, origin: int, data: bytes) -> None:
        self._guard(lambda: self.node.take(monotonic_us(), origin, data))
        self._after()

    def _guard(self, what: Callable[[], None]) -> None:
        try:
            what()
        except Exception as error:  # a fault of the fleet's is not the gateway's
            self.counters.add("fleet", "faults")
            self.log.line("fleet", f"{type(error).__name__}: {error}")

    def _after(self) -> None:
        """What the node wants sent, what was answered, what is drained."""
        for target, data in self.node.flush(monotonic_us()):
            self.peers.tell(target, data)
        for outcome in self.node.outcomes():
            future = self.waiting.pop(outcome.key, None)
            if future is not None and not future.done():
                future.set_result(outcome)
        drained = self.node.drained()
        if drained != self.drained:
            self.drained = drained
            self.owner.inbox.put(Drains(drained))

    # --- Wishes.

    async def wish(self, change: Change, seconds: float, waits: bool) -> Outcome:
        """Cancelled, it is wanted no more: a slot that comes all the same is given back."""
        key = self.node.wish(monotonic_us(), change, seconds, waits)
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self.waiting[key] = future
        try:
            return await future
        finally:
            self.waiting.pop(key, None)
            self.node.holder.drop(key)

    def leave(self) -> None:
        """The gateway stops: by its slot, or without one. Always obeyed, and counted."""
        if self.left:
            return
        self.left = True
        fence = self.node.leave(monotonic_us())
        self._said("leaves", {"fence": fence} if fence else {"without": "a slot"})
        self._after()

    def print_counters(self) -> None:
        for name, count in self.node.counts.items():
            self.counters.add("fleet", name, count)
        self.node.counts.clear()

    async def close(self) -> None:
        self.peers.fleet = None
        if self.control is not None:
            self.control.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.settings.socket is not None:
            with suppress(OSError):
                os.unlink(self.settings.socket)

    # --- What is shown.

    def status(self) -> dict[str, object]:
        node, now = self.node, monotonic_us()
        state, council = node.state, node.council
        leader = node.leader_of(now)
        row: dict[str, object] = {
            "fleet": self.given.name,
            "me": self.given.me,
            "build": self.given.build,
            "leader": leader,
            "epoch": node.replica.position[0] >> 32,
            "term": node.known[1],
            "index": node.replica.position[2],
            "council": council.role.value if council is not None else "-",
            "slots": {f"n{n}": slot.fence for n, slot in state.slots.items()},
            "drains": {
                name: {"fence": d.fence, "why": d.why, "done": d.done} for name, d in state.drains.items()
            },
            "held": node.holder.held.fence if node.holder.held is not None else None,
            "forks": node.replica.forks,
        }
        release = state.release
        if release is not None:
            row["release"] = {
                "id": release.id,
                "build": release.build,
                "status": STATUS[release.status],
                "step": release.step + 1,
                "steps": [step / 1000 for step in release.steps],
                "why": release.said or release.why,
            }
        if node.leader is not None:
            row["out"] = {out.name: out.why for out in node.leader.outs(now)}
            row["waits_for"] = {
                name: [f"n{n}" for n in node.leader.waits_for(now, name)]
                for name, drain in state.drains.items()
                if not drain.done
            }
        return row

    def members(self) -> list[dict[str, object]]:
        node, now = self.node, monotonic_us()
        leader = node.leader
        rows = []
        for member in node.members.members:
            seen = leader.seen.get(member.number) if leader is not None else None
            rows.append(
                {
                    "member": f"n{member.number}",
                    "state": member.life.name.lower() if member.birth else "never heard of",
                    "incarnation": member.incarnation,
                    "since_s": round((now - member.since) / 1e6, 1),
                    "build": seen.report.build if seen is not None else None,
                    "zone": leader.zone(member.number) if leader is not None else None,
                    "out": leader.why_out(now, member.number) or None if leader is not None else None,
                }
            )
        return rows
