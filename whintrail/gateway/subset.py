"""Restricts a gateway to a subset of the engines: filters its engine list and directs its probe reports.

It is off unless the operator's file has a `subset` section. The selection is computed in `whintrail/subset/`;
this module connects it to the list's events, the clock and the peer transport.
"""

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from whintrail import interface as api
from whintrail.gateway.dispatcher import EngineListUpdate, PeerSender
from whintrail.subset.assignment import SubsetAssignment
from whintrail.subset.plan import PlanError, Region, SubsetPlan
from whintrail.subset.report_sender import BATCH_INTERVAL_US, SLOTS_PER_BATCH, ProbeReportSender

if TYPE_CHECKING:
    from whintrail.config.records import Subset

MIN_SETTLE_INTERVAL_US = 1_000_000  # between two removals of engines from the subset

__all__ = ["PlanError", "SubsetService", "read_plan"]


def read_plan(config: "Subset") -> SubsetPlan:
    """The plan in the operator's file. Errors: PlanError if it contradicts itself."""
    regions = tuple(Region(r.zones, r.first, r.last) for r in config.regions)
    return SubsetPlan(config.size, config.least_holders, config.least_stratum, regions or None)


class SubsetService:
    """The dispatcher's `EngineSubset`; it runs on the dispatcher's task.

    `is_idle` tells whether this gateway has no open attempt on an engine. Errors: PlanError if the plan does
    not fit the fleet.
    """

    def __init__(
        self,
        plan: SubsetPlan,
        settings: api.Settings,
        peers: PeerSender | None,
        is_idle: Callable[[str], bool],
        batch_us: int = BATCH_INTERVAL_US,
    ) -> None:
        self.local_subset = SubsetAssignment(plan, settings)
        self.report_batches = ProbeReportSender(self.local_subset, settings.local_number, batch_us)
        self.tick_interval_us = batch_us // SLOTS_PER_BATCH  # interval at which to call `tick`
        self.peers, self.is_idle = peers, is_idle
        # Of all engines, as one may enter the subset when another leaves the list.
        self.addresses: dict[str, str] = {}
        self.settle_interval_us = max(MIN_SETTLE_INTERVAL_US, settings.overload_window_us)
        self.last_settled_us = 0

    def apply_event(
        self, event: api.EngineListReceived, addresses: Mapping[str, str]
    ) -> EngineListUpdate | None:
        """Restrict an event of the list to the subset; None if it affects no engine of the subset."""
        if event.kind not in (api.ListKind.DELTA, api.ListKind.FAILED):
            self.addresses.clear()
        self.addresses.update(addresses)
        restricted = self.local_subset.apply_list(event)
        for entry in event.entries:
            if entry.state is api.EngineState.REMOVED:
                self.addresses.pop(entry.engine, None)
        return None if restricted is None else self._with_addresses(restricted)

    def _with_addresses(self, event: api.EngineListReceived) -> EngineListUpdate:
        names = (entry.engine for entry in event.entries)
        return EngineListUpdate(
            event, {name: self.addresses[name] for name in names if name in self.addresses}
        )

    def listed_engines(self) -> dict[str, api.EngineEntry]:
        """All engines of the list, inside and outside the subset."""
        return {name: known.entry for name, known in self.local_subset.listed_engines.items()}

    def broadcast_report(self, now: int, payload: bytes) -> bool:
        """Queue a report for the gateways that share its engines; False if all do and a broadcast serves."""
        if self.local_subset.keeps_all:
            return False
        self.report_batches.enqueue(now, payload)
        return True

    def tick(self, now: int) -> EngineListUpdate | None:
        """Send due reports, and remove engines that have left the subset once no attempt is open on them."""
        for target, payload in self.report_batches.due_datagrams(now):
            if self.peers is not None:
                self.peers.send(target, payload)
        if now < self.last_settled_us + self.settle_interval_us or not self.local_subset.draining:
            return None
        self.last_settled_us = now
        event = self.local_subset.remove_drained(self.is_idle)
        return None if event is None else self._with_addresses(event)
