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
from whintrail.fleet.budget import DisruptionBudget
from whintrail.fleet.consensus import ConsensusTiming
from whintrail.fleet.leader import NO_ZONE, EngineAvailability, LeaderRules
from whintrail.fleet.leader_client import RequestOutcome
from whintrail.fleet.node import FleetConfig, FleetNode
from whintrail.fleet.release import ComparisonRules
from whintrail.fleet.state import STATUS_NAMES
from whintrail.fleet.wire import Change
from whintrail.gateway.counters import Counters
from whintrail.gateway.dispatcher import Dispatcher, DrainsChanged, EngineListUpdate
from whintrail.gateway.fleet_control import FleetControl
from whintrail.gateway.log import Log
from whintrail.gateway.peers import PeerTransport
from whintrail.interface import EngineState, ListKind, Settings
from whintrail.timeline.events import FLEET_NAME
from whintrail.versions.member import VersionTiming
from whintrail.versions.rules import Rules, differences, find_unsupported, parse_rules

TICK_INTERVAL_S = 0.05


def monotonic_us() -> int:
    return time.monotonic_ns() // 1000


class FleetError(ValueError):
    """The fleet can't be taken part in: the configuration says why not."""


def build_node_config(
    fleet: FleetSettings, settings: Settings, zones: tuple[str, ...], peers: int, build: str
) -> FleetConfig:
    """Errors: FleetError."""
    me = settings.local_number
    if not 0 <= me < peers:
        raise FleetError(f"the configuration names {peers} peers, and this gateway is number {me}")
    if strange := [number for number in fleet.council if number >= peers]:
        raise FleetError(f"council: number {strange[0]} is none of {peers} peers")
    out, worse = fleet.out, fleet.worse
    rules = LeaderRules(
        gateway_budget=DisruptionBudget(out.gateways, out.gateways_a_zone),
        engine_budget=DisruptionBudget(out.engines, out.engines_a_zone),
        min_serving_us=int(fleet.proven_s * 1e6),
        comparison=ComparisonRules(
            worse_factor=worse.times,
            worse_margin=worse.least,
            false_halt_rate=worse.halted_wrongly,
            false_pass_rate=worse.passed_wrongly,
            min_queries=worse.least_queries,
        ),
    )
    return FleetConfig(
        name=fleet.name,
        local_number=me,
        size=peers,
        voters=fleet.council,
        build=build or fleet.build,
        zone=zones.index(settings.zone) if settings.zone in zones else NO_ZONE,
        zones=zones,
        rules=rules,
        consensus_timing=ConsensusTiming(quarantine_us=int(fleet.quarantine_s * 1e6)),
        slot_use_us=int(fleet.use_within_s * 1e6),
        versions=None
        if fleet.versions is None
        else VersionTiming(
            lease_us=int(fleet.versions.lease_s * 1e6),
            renew_interval_us=int(fleet.versions.lease_s * 1e6 / 3),
            check_timeout_us=int(fleet.versions.check_s * 1e6),
            list_silence_timeout_us=int(fleet.versions.list_silent_s * 1e6),
        ),
        messages_per_s=fleet.messages_per_s,
        bytes_per_s=fleet.bytes_per_s,
    )


class FleetService:
    """One task for the turns; datagrams come from `Peers`. `stop` ends the gateway, as SIGTERM does."""

    def __init__(
        self,
        settings: FleetSettings,
        node_config: FleetConfig,
        bulletin_last_received: Callable[[], int],
        dispatcher: Dispatcher,
        peers: PeerTransport,
        counters: Counters,
        log: Log,
        stop: Callable[[], None],
    ) -> None:
        self.settings, self.node_config, self.dispatcher, self.peers = (
            settings,
            node_config,
            dispatcher,
            peers,
        )
        self.bulletin_last_received = bulletin_last_received  # when the bulletin last said anything
        self.counters, self.log, self.stop = counters, log, stop
        self.started_us = monotonic_us()
        chance = SystemRandom()
        boot_id = chance.getrandbits(32) | 1  # never 0: that is nobody
        incarnation = int(time.time()) & 0xFFFFFFFF
        self.node = FleetNode(
            node_config,
            boot_id,
            incarnation,
            self.started_us,
            chance,
            self,
            lambda: int(time.time() * 1000),
            self._publish_event,
        )
        self.drained: frozenset[str] = frozenset()
        self.pending_changes: dict[int, asyncio.Future[RequestOutcome]] = {}
        self.watchers: set[asyncio.Queue[dict[str, object]]] = set()
        self.leaving = False
        self.tasks: list[asyncio.Task[None]] = []
        self.control: FleetControl | None = None
        dispatcher.enable_fleet_accounting()
        if self.node.settings is not None:
            acting, self.lists = self.node.settings.member.lease, self.node.settings.engine_list
            dispatcher.current_rules = lambda: acting.active_version(monotonic_us()).rules
            dispatcher.on_engine_list = self._on_engine_list
        peers.on_fleet_datagram = self.receive_datagram

    def _on_engine_list(self, update: EngineListUpdate) -> None:
        states = (
            (e.engine, e.state is EngineState.READY, e.state is EngineState.REMOVED)
            for e in update.event.entries
        )
        whole = update.event.kind is not ListKind.DELTA
        self.lists.apply_event(monotonic_us(), update.generation, whole, states)

    # --- What the node asks of the gateway.

    def serving_ms(self, now: int) -> int:
        return 0 if self.leaving else max(1, (now - self.started_us) // 1000)

    def open_attempts(self, engine: str) -> int:
        return self.dispatcher.count_open_attempts(engine)

    def outcome_counts(self) -> tuple[tuple[int, int, int, int], ...]:
        return self.dispatcher.class_totals()

    def engines(self) -> dict[str, EngineAvailability]:
        found, kept = {}, self.dispatcher.policy.engines  # others than those we know only by the list
        for name, listed in self.dispatcher.listed_engines().items():
            if listed.state is EngineState.REMOVED:
                continue
            drained = name in self.drained
            leaves = listed.state is EngineState.DRAINING and not drained
            unfit = name in kept and kept[name].failures and not drained
            found[name] = EngineAvailability(listed.zone, "leaving" if leaves else "not fit" if unfit else "")
        return found

    @staticmethod
    def now_us() -> int:
        return monotonic_us()

    def check_body(self, body: Rules) -> str:
        return find_unsupported(body, frozenset(self.dispatcher.class_deadlines_us), self.node_config.size)

    def _publish_event(self, event: str, fields: dict[str, object]) -> None:
        self.log.line("fleet-" + event.replace(" ", "-"), event, **fields)
        figures = [fields[name] for name in ("fence", "step", "version", "release") if name in fields]
        figure = figures[0] if figures and isinstance(figures[0], int) else -1
        member = fields.get("member", -1)
        engine = str(fields.get("engine", FLEET_NAME))
        self.dispatcher.record_fleet_event(engine, event, figure, member if isinstance(member, int) else -1)
        row: dict[str, object] = {"at": time.time(), "event": event, **fields}
        for queue in self.watchers:
            if queue.full():
                self.counters.add("fleet", "events_missed")
            else:
                queue.put_nowait(row)

    def compare_file_rules(self, rules: dict[str, Any]) -> None:
        """The file's own rules, where versions are agreed on: told if they differ, and never applied."""
        assert self.node.settings is not None
        rule = self.node.settings.member.lease.active_version(monotonic_us())
        if places := [path for path, _, _ in differences(rule.rules, parse_rules(rules))]:
            self._publish_event(
                "rules of the file differ", {"version": rule.label, "at": ", ".join(places[:8])}
            )

    # --- Turns and datagrams.

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(self._run_ticks()))
        if self.settings.socket is not None:
            try:
                self.control = FleetControl(self.settings.socket, self)
                self.tasks.append(loop.create_task(self.control.run()))
            except OSError as error:
                self.log.line("fleet", f"no socket at {self.settings.socket}: {error}")

    async def _run_ticks(self) -> None:
        while True:
            if self.node.settings is not None:
                self.lists.record_activity(self.bulletin_last_received())
            self._run_guarded(lambda: self.node.tick(monotonic_us()))
            self._process_node_output()
            await asyncio.sleep(TICK_INTERVAL_S)

    def receive_datagram(self, origin: int, data: bytes) -> None:
        self._run_guarded(lambda: self.node.receive(monotonic_us(), origin, data))
        self._process_node_output()

    def _run_guarded(self, action: Callable[[], None]) -> None:
        try:
            action()
        except Exception as error:  # a fault of the fleet's is not the gateway's
            self.counters.add("fleet", "faults")
            self.log.line("fleet", f"{type(error).__name__}: {error}")

    def _process_node_output(self) -> None:
        """What the node wants sent, what was answered, what is drained."""
        for target, data in self.node.flush(monotonic_us()):
            self.peers.send(target, data)
        for outcome in self.node.take_outcomes():
            future = self.pending_changes.pop(outcome.key, None)
            if future is not None and not future.done():
                future.set_result(outcome)
        drained = self.node.drained_engines()
        if drained != self.drained:
            self.drained = drained
            self.dispatcher.inbox.put(DrainsChanged(drained))

    # --- Wishes.

    async def request_change(self, change: Change, seconds: float, waits: bool) -> RequestOutcome:
        """Cancelled, it is wanted no more: a slot that comes all the same is given back."""
        key = self.node.submit(monotonic_us(), change, seconds, waits)
        future: asyncio.Future[RequestOutcome] = asyncio.get_running_loop().create_future()
        self.pending_changes[key] = future
        try:
            return await future
        finally:
            self.pending_changes.pop(key, None)
            self.node.leader_client.cancel(key)

    def leave(self) -> None:
        """The gateway stops: by its slot, or without one. Always obeyed, and counted."""
        if self.leaving:
            return
        self.leaving = True
        fence = self.node.leave(monotonic_us())
        self._publish_event("leaves", {"fence": fence} if fence else {"without": "a slot"})
        self._process_node_output()

    def add_node_counters(self) -> None:
        for name, count in self.node.counters.items():
            self.counters.add("fleet", name, count)
        self.node.counters.clear()

    async def close(self) -> None:
        self.peers.on_fleet_datagram = None
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
        state, council = node.state, node.consensus
        leader = node.current_leader(now)
        row: dict[str, object] = {
            "fleet": self.node_config.name,
            "me": self.node_config.local_number,
            "build": self.node_config.build,
            "leader": leader,
            "epoch": node.replica.position[0] >> 32,
            "term": node.known_leader[1],
            "index": node.replica.position[2],
            "council": council.role.value if council is not None else "-",
            "slots": {f"n{n}": slot.fence for n, slot in state.slots.items()},
            "drains": {
                name: {"fence": d.fence, "why": d.reason, "done": d.done} for name, d in state.drains.items()
            },
            "held": node.leader_client.held_slot.fence if node.leader_client.held_slot is not None else None,
            "forks": node.replica.divergences,
        }
        release = state.release
        if release is not None:
            row["release"] = {
                "id": release.id,
                "build": release.build,
                "status": STATUS_NAMES[release.status],
                "step": release.step + 1,
                "steps": [step / 1000 for step in release.steps],
                "why": release.status_reason or release.reason,
            }
        if node.leader is not None:
            row["out"] = {out.name: out.reason for out in node.leader.unavailable_gateways(now)}
            row["waits_for"] = {
                name: [f"n{n}" for n in node.leader.drain_blockers(now, name)]
                for name, drain in state.drains.items()
                if not drain.done
            }
        return row

    def members(self) -> list[dict[str, object]]:
        node, now = self.node, monotonic_us()
        leader = node.leader
        rows = []
        for member in node.membership.members:
            seen = leader.reports.get(member.number) if leader is not None else None
            rows.append(
                {
                    "member": f"n{member.number}",
                    "state": member.state.name.lower() if member.boot_id else "never heard of",
                    "incarnation": member.incarnation,
                    "since_s": round((now - member.since) / 1e6, 1),
                    "build": seen.report.build if seen is not None else None,
                    "zone": leader.zone_name(member.number) if leader is not None else None,
                    "out": leader.unavailable_reason(now, member.number) or None
                    if leader is not None
                    else None,
                }
            )
        return rows
