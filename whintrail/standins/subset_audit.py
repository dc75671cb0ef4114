"""Audits from the engines' side that gateways with a subset of the engines each keep to it under faults.

Six gateway processes with a relay between them serve engines that join, drain and leave. The audit checks
from outside that
- an engine gets queries only from gateways whose subset holds it, computed from a recent engine list,
- an engine that was listed as leaving gets no new queries soon after,
- each query is answered while its gateway lives,
- after the faults, every active engine gets queries again.
Loopback only; every wait is bounded.
"""

import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from whintrail import interface as api
from whintrail.standins.gateway_fleet import GatewayFleet, deliver_once, lossy, partition
from whintrail.standins.scripted import Engine, query, wait_for
from whintrail.subset.assignment import SubsetAssignment
from whintrail.subset.plan import SubsetPlan

GATEWAYS = 6
ENGINES = 18
SUBSET_SIZE = 8
MIN_HOLDERS = 2
SUBSET_PLAN = {"size": SUBSET_SIZE, "least_holders": MIN_HOLDERS, "least_stratum": 0}
MAX_LIST_AGE_S = 3.5  # 1.5 s of silence, 1.6 s to renew the watch, and a busy machine
RECOVERY_CHECK_S = 4.0  # for the check after the faults
QUERY_INTERVAL_S = 0.02


@dataclass
class SubsetAudit:
    """Counts and violations of one run."""

    queries_sent: int = 0
    queries_received: int = 0  # by engines
    outside_subset: list[tuple[str, int]] = field(default_factory=list)  # engine, gateway
    after_drain: list[tuple[str, float]] = field(default_factory=list)  # engine, seconds after drain
    unanswered: int = 0  # by a gateway that stayed up
    unreached: list[str] = field(default_factory=list)  # engines without queries after the faults
    outcomes: Counter[str] = field(default_factory=Counter)

    @property
    def passed(self) -> bool:
        return not (self.outside_subset or self.after_drain or self.unanswered or self.unreached)


def settings_for(gateway_number: int) -> api.Settings:
    """Return the settings of a gateway, parsed as the gateway parses them."""
    from whintrail.settings import read_settings
    from whintrail.standins.scripted import settings

    return read_settings({**settings(MayTell=True), "FleetSize": GATEWAYS, "Me": gateway_number})


class Scenario:
    """The run of one seed: gateways, engines, clients and faults."""

    def __init__(self, folder: Path, seed: int, operator: dict[str, Any]) -> None:
        self.random, self.audit = Random(seed), SubsetAudit()
        self.assignments = [
            SubsetAssignment(SubsetPlan(SUBSET_SIZE, MIN_HOLDERS, 0), settings_for(number))
            for number in range(GATEWAYS)
        ]
        self.list_versions: list[tuple[float, list[frozenset[str]]]] = []  # start, subset of each gateway
        self.drained_at: dict[str, float] = {}
        self.gateway_by_call: dict[str, int] = {}
        self.process_changes = [0] * GATEWAYS  # kills and starts of each gateway
        self.stop_event, self.muted_until = threading.Event(), 0.0
        self.active_engines = [Engine(f"s-{number}") for number in range(ENGINES)]
        self.engines = list(self.active_engines)
        self.fleet = GatewayFleet(
            folder, GATEWAYS, list(self.active_engines), operator=lambda number, build: operator
        )
        self._record_list(api.ListKind.FULL, [e.entry() for e in self.active_engines])

    # --- The engine list, and the subsets computed from it.

    def _record_list(self, kind: api.ListKind, entries: list[dict[str, Any]]) -> None:
        from whintrail.gateway.bulletin import read_entry

        event = api.EngineListReceived(kind, tuple(read_entry(entry)[0] for entry in entries))
        for assignment in self.assignments:
            assignment.apply_list(event)
        subsets = [frozenset(assignment.kept) for assignment in self.assignments]
        self.list_versions.append((time.monotonic(), subsets))

    def publish(self, *entries: dict[str, Any]) -> None:
        self.fleet.bulletin.publish(*entries)
        self._record_list(api.ListKind.DELTA, list(entries))

    # --- Clients: one for each gateway, one query after another.

    def run_client(self, number: int) -> None:
        client, process_change = None, 0
        while not self.stop_event.is_set():
            try:
                if client is None:
                    # The count is of the process that the connection reaches, or of an earlier one.
                    process_change = self.process_changes[number]
                    client = self.fleet.client(number)
                text = query(ttl=4000)
                self.gateway_by_call[text.split("call=")[1][:16]] = number
                self.audit.queries_sent += 1
                answer = client.ask(text)
                outcome = answer.sqlstate or answer.transaction_status
                if not outcome and process_change == self.process_changes[number]:
                    self.audit.unanswered += 1
                self.audit.outcomes[outcome or "lost"] += 1
                if outcome:
                    self.stop_event.wait(QUERY_INTERVAL_S)
                    continue
            except (OSError, ValueError, AssertionError):
                self.audit.outcomes["no connection"] += 1
                self.stop_event.wait(0.1)
            client = None

    # --- Faults.

    def inject_fault(self) -> None:
        match self.random.choice(["leave", "join", "kill", "relay", "mute", "cold", "calm"]):
            case "leave" if len(self.active_engines) > ENGINES // 2:
                engine = self.active_engines.pop(self.random.randrange(len(self.active_engines)))
                self.publish(engine.entry("leaving"))
                self.drained_at[engine.name] = max(time.monotonic(), self.muted_until)
            case "join" | "cold" as how:
                engine = Engine(f"t-{len(self.engines)}")
                self.engines.append(engine)
                self.active_engines.append(engine)
                started = int(time.time() * 1000) if how == "cold" else 0
                self.publish(engine.entry(startedAtMs=started))
            case "kill":
                number = self.random.randrange(GATEWAYS)
                self.process_changes[number] += 1
                self.fleet.gateways[number].kill()
                # Again, for clients that connected while it was being killed.
                self.process_changes[number] += 1
                self.fleet.gateways[number] = self.fleet.start(number)
            case "relay":
                side = {n for n in range(GATEWAYS) if self.random.random() < 0.5}
                split = partition(side, set(range(GATEWAYS)) - side)
                self.fleet.relay.fault = self.random.choice([deliver_once, lossy(0.3, 0.2, 0.2), split])
            # Not twice in a row: lists may be late, not stopped.
            case "mute" if not self.fleet.bulletin.muted:
                self.muted_until = time.monotonic() + 1.0
                self.fleet.bulletin.muted = True
            case _:
                pass

    def run(self, seconds: float) -> SubsetAudit:
        threads = [threading.Thread(target=self.run_client, args=(n,), daemon=True) for n in range(GATEWAYS)]
        for thread in threads:
            thread.start()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.inject_fault()
            time.sleep(self.random.uniform(0.1, 0.5))
            if time.monotonic() > self.muted_until:
                self.fleet.bulletin.muted = False
        self._check_recovery()
        self.stop_event.set()
        for thread in threads:
            thread.join(10)
        self._check_received_queries()
        self.fleet.close()
        for engine in self.engines:
            engine.close()
        return self.audit

    def _ensure_serving(self, number: int) -> bool:
        """Return whether the gateway serves; start it again if another process had taken its port."""
        gateway = self.fleet.gateways[number]
        if gateway.process.poll() is not None and "already in use" in gateway.log_text():
            self.fleet.gateways[number] = self.fleet.start(number)
        return self.fleet.is_ready(number)

    def _check_recovery(self) -> None:
        """Check that all active engines get queries again once the faults have ended."""
        time.sleep(max(0.0, self.muted_until - time.monotonic()))
        self.fleet.bulletin.muted, self.fleet.relay.fault = False, deliver_once
        for number in range(GATEWAYS):
            wait_for(lambda number=number: self._ensure_serving(number))  # type: ignore[misc]
        since, end = time.monotonic(), time.monotonic() + 4 * RECOVERY_CHECK_S
        while time.monotonic() < end:
            self.audit.unreached = [
                e.name for e in self.active_engines if not any(q.received_at > since for q in e.queries)
            ]
            if not self.audit.unreached:
                return
            time.sleep(0.05)

    def _check_received_queries(self) -> None:
        for engine in self.engines:
            for received in engine.queries:
                self.audit.queries_received += 1
                number, at = self.gateway_by_call.get(received.id, -1), received.received_at
                version_ends = [since for since, _ in self.list_versions[1:]] + [float("inf")]
                recent_subsets = [
                    subsets
                    for (since, subsets), until in zip(self.list_versions, version_ends, strict=True)
                    if since <= at and until > at - MAX_LIST_AGE_S
                ]
                if number < 0 or not any(engine.name in subsets[number] for subsets in recent_subsets):
                    self.audit.outside_subset.append((engine.name, number))
                drained_at = self.drained_at.get(engine.name)
                if drained_at is not None and at - drained_at > MAX_LIST_AGE_S:
                    self.audit.after_drain.append((engine.name, round(at - drained_at, 2)))


def run_scenario(seed: int, seconds: float, operator: dict[str, Any] | None = None) -> SubsetAudit:
    """Run one seed; `operator` replaces the gateways' operator file, to differ from the audited subset."""
    with tempfile.TemporaryDirectory() as folder:
        return Scenario(Path(folder), seed, {"subset": SUBSET_PLAN} if operator is None else operator).run(
            seconds
        )
