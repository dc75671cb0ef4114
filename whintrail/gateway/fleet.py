"""Runs the fleet's node in a gateway: its datagrams, its periodic ticks and its local control socket.

It is off unless the operator's file has a `fleet` section.

Agreed drains reach the routing policy only through the dispatcher's inbox, as changes of the engine list.
Faults of the fleet are counted and logged; they don't affect the rest of the gateway.
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
    """The monotonic clock in microseconds."""
    return time.monotonic_ns() // 1000


class FleetError(ValueError):
    """The configuration doesn't allow this gateway to join the fleet."""


def build_node_config(
    fleet: FleetSettings, settings: Settings, zones: tuple[str, ...], peers: int, build: str
) -> FleetConfig:
    """Build the node's configuration from the operator's file and the settings. Errors: FleetError."""
    local_number = settings.local_number
    if not 0 <= local_number < peers:
        raise FleetError(f"the configuration names {peers} peers, and this gateway is number {local_number}")
    if unknown_voters := [number for number in fleet.council if number >= peers]:
        raise FleetError(f"council: number {unknown_voters[0]} is none of {peers} peers")
    disruption, comparison = fleet.out, fleet.worse
    rules = LeaderRules(
        gateway_budget=DisruptionBudget(disruption.gateways, disruption.gateways_a_zone),
        engine_budget=DisruptionBudget(disruption.engines, disruption.engines_a_zone),
        min_serving_us=int(fleet.proven_s * 1e6),
        comparison=ComparisonRules(
            worse_factor=comparison.times,
            worse_margin=comparison.least,
            false_halt_rate=comparison.halted_wrongly,
            false_pass_rate=comparison.passed_wrongly,
            min_queries=comparison.least_queries,
        ),
    )
    return FleetConfig(
        name=fleet.name,
        local_number=local_number,
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
    """Runs the node: one task for its ticks, datagrams from `PeerTransport`.

    `stop` ends the gateway, as SIGTERM does.
    """

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
        self.settings, self.node_config = settings, node_config
        self.dispatcher, self.peers = dispatcher, peers
        self.bulletin_last_received = bulletin_last_received  # time of the bulletin's last line
        self.counters, self.log, self.stop = counters, log, stop
        self.started_us = monotonic_us()
        random = SystemRandom()
        boot_id = random.getrandbits(32) | 1  # 0 stands for no gateway
        incarnation = int(time.time()) & 0xFFFFFFFF
        self.node = FleetNode(
            node_config,
            boot_id,
            incarnation,
            self.started_us,
            random,
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
            lease, self.lists = self.node.settings.member.lease, self.node.settings.engine_list
            dispatcher.current_rules = lambda: lease.active_version(monotonic_us()).rules
            dispatcher.on_engine_list = self._on_engine_list
        peers.on_fleet_datagram = self.receive_datagram

    def _on_engine_list(self, update: EngineListUpdate) -> None:
        states = (
            (entry.engine, entry.state is EngineState.READY, entry.state is EngineState.REMOVED)
            for entry in update.event.entries
        )
        is_full = update.event.kind is not ListKind.DELTA
        self.lists.apply_event(monotonic_us(), update.generation, is_full, states)

    # --- The gateway's state, for the node.

    def serving_ms(self, now: int) -> int:
        """For how long the gateway has been serving; 0 while it stops."""
        return 0 if self.leaving else max(1, (now - self.started_us) // 1000)

    def open_attempts(self, engine: str) -> int:
        """This gateway's open attempts on an engine."""
        return self.dispatcher.count_open_attempts(engine)

    def outcome_counts(self) -> tuple[tuple[int, int, int, int], ...]:
        """For each class, queries received, failed, refused and late since the start."""
        return self.dispatcher.class_totals()

    def engines(self) -> dict[str, EngineAvailability]:
        """The listed engines and why they are unavailable, apart from the fleet's own drains."""
        # With a subset, the policy holds only its engines; the others are known by the list alone.
        availability, used_engines = {}, self.dispatcher.policy.engines
        for name, engine in self.dispatcher.listed_engines().items():
            if engine.state is EngineState.REMOVED:
                continue
            is_drained = name in self.drained
            is_leaving = engine.state is EngineState.DRAINING and not is_drained
            is_unfit = name in used_engines and used_engines[name].failures and not is_drained
            availability[name] = EngineAvailability(
                engine.zone, "leaving" if is_leaving else "not fit" if is_unfit else ""
            )
        return availability

    @staticmethod
    def now_us() -> int:
        """The clock of the node."""
        return monotonic_us()

    def check_body(self, body: Rules) -> str:
        """Why this gateway can't act on these rules; empty if it can."""
        return find_unsupported(body, frozenset(self.dispatcher.class_deadlines_us), self.node_config.size)

    def _publish_event(self, event: str, fields: dict[str, object]) -> None:
        """Log an event of the fleet, record it in the timeline and send it to all watchers."""
        self.log.line("fleet-" + event.replace(" ", "-"), event, **fields)
        values = [fields[name] for name in ("fence", "step", "version", "release") if name in fields]
        value = values[0] if values and isinstance(values[0], int) else -1
        gateway_number = fields.get("member", -1)
        engine = str(fields.get("engine", FLEET_NAME))
        self.dispatcher.record_fleet_event(
            engine, event, value, gateway_number if isinstance(gateway_number, int) else -1
        )
        row: dict[str, object] = {"at": time.time(), "event": event, **fields}
        for queue in self.watchers:
            if queue.full():
                self.counters.add("fleet", "events_missed")
            else:
                queue.put_nowait(row)

    def compare_file_rules(self, rules: dict[str, Any]) -> None:
        """Report if the rules of the operator's file, which are not applied, differ from the agreed rules."""
        assert self.node.settings is not None
        version = self.node.settings.member.lease.active_version(monotonic_us())
        if paths := [path for path, _, _ in differences(version.rules, parse_rules(rules))]:
            self._publish_event(
                "rules of the file differ", {"version": version.label, "at": ", ".join(paths[:8])}
            )

    # --- Ticks and datagrams.

    def start(self) -> None:
        """Start the ticks and the control socket."""
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(self._run_ticks()))
        if self.settings.socket is not None:
            try:
                self.control = FleetControl(self.settings.socket, self)
                self.tasks.append(loop.create_task(self.control.run()))
            except OSError as error:
                self.log.line("fleet", f"can't open the control socket {self.settings.socket}: {error}")

    async def _run_ticks(self) -> None:
        while True:
            if self.node.settings is not None:
                self.lists.record_activity(self.bulletin_last_received())
            self._run_guarded(lambda: self.node.tick(monotonic_us()))
            self._process_node_output()
            await asyncio.sleep(TICK_INTERVAL_S)

    def receive_datagram(self, origin: int, data: bytes) -> None:
        """Pass a datagram of another gateway to the node."""
        self._run_guarded(lambda: self.node.receive(monotonic_us(), origin, data))
        self._process_node_output()

    def _run_guarded(self, action: Callable[[], None]) -> None:
        try:
            action()
        except Exception as error:  # a fault of the fleet must not stop the gateway
            self.counters.add("fleet", "faults")
            self.log.line("fleet", f"{type(error).__name__}: {error}")

    def _process_node_output(self) -> None:
        """Send the node's messages, resolve finished requests and forward changed drains."""
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

    # --- Requested changes.

    async def request_change(self, change: Change, seconds: float, waits: bool) -> RequestOutcome:
        """Request a change and wait for its outcome.

        If this task is cancelled, the request is withdrawn, and a slot that is still granted is returned.
        """
        key = self.node.submit(monotonic_us(), change, seconds, waits)
        future: asyncio.Future[RequestOutcome] = asyncio.get_running_loop().create_future()
        self.pending_changes[key] = future
        try:
            return await future
        finally:
            self.pending_changes.pop(key, None)
            self.node.leader_client.cancel(key)

    def leave(self) -> None:
        """Announce that the gateway stops, with or without a restart slot; stopping is never refused."""
        if self.leaving:
            return
        self.leaving = True
        fence = self.node.leave(monotonic_us())
        self._publish_event("leaves", {"fence": fence} if fence else {"without": "a slot"})
        self._process_node_output()

    def add_node_counters(self) -> None:
        """Add the node's counters to the gateway's, and reset them."""
        for name, count in self.node.counters.items():
            self.counters.add("fleet", name, count)
        self.node.counters.clear()

    async def close(self) -> None:
        """Stop the ticks and remove the control socket."""
        self.peers.on_fleet_datagram = None
        if self.control is not None:
            self.control.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.settings.socket is not None:
            with suppress(OSError):
                os.unlink(self.settings.socket)

    # --- Status for the control socket.

    def status(self) -> dict[str, object]:
        """The state of the fleet as this gateway knows it."""
        node, now = self.node, monotonic_us()
        state, consensus = node.state, node.consensus
        leader = node.current_leader(now)
        row: dict[str, object] = {
            "fleet": self.node_config.name,
            "me": self.node_config.local_number,
            "build": self.node_config.build,
            "leader": leader,
            "epoch": node.replica.position[0] >> 32,
            "term": node.known_leader[1],
            "index": node.replica.position[2],
            "council": consensus.role.value if consensus is not None else "-",
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
            row["out"] = {gateway.name: gateway.reason for gateway in node.leader.unavailable_gateways(now)}
            row["waits_for"] = {
                name: [f"n{n}" for n in node.leader.drain_blockers(now, name)]
                for name, drain in state.drains.items()
                if not drain.done
            }
        return row

    def members(self) -> list[dict[str, object]]:
        """The members as this gateway knows them."""
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
