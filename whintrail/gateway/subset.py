"""A gateway that keeps a part of the engines: its list is cut to them, its memos go to who keeps them too.

Off unless the operator's file has a `subset` part. The arithmetic is `whintrail/subset/`; this gives it the
list's events, the time, and its datagrams to the peers.
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

MIN_SETTLE_INTERVAL_US = 1_000_000  # at least, between two looks at engines that left the part

__all__ = ["PlanError", "SubsetService", "read_plan"]


def read_plan(config: "Subset") -> SubsetPlan:
    """PlanError where the file's part contradicts itself."""
    regions = tuple(Region(r.zones, r.first, r.last) for r in config.regions)
    return SubsetPlan(config.size, config.least_holders, config.least_stratum, regions or None)


class SubsetService:
    """For the owner, on its task. `free`: whether nothing of ours runs on an engine. PlanError where the plan
    does not fit the fleet."""

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
        self.tick_interval_us = batch_us // SLOTS_PER_BATCH  # how often `turn` wants to be called
        self.peers, self.is_idle = peers, is_idle
        self.addresses: dict[str, str] = {}  # of all engines: one may come into our part by another's going
        self.settle_interval_us = max(MIN_SETTLE_INTERVAL_US, settings.overload_window_us)
        self.last_settled_us = 0

    def apply_event(
        self, event: api.EngineListReceived, addresses: Mapping[str, str]
    ) -> EngineListUpdate | None:
        """An event of the list as the gateway is to see it; None where it bears on nothing that is kept."""
        if event.kind not in (api.ListKind.DELTA, api.ListKind.FAILED):
            self.addresses.clear()
        self.addresses.update(addresses)
        kept = self.local_subset.apply_list(event)
        for entry in event.entries:
            if entry.state is api.EngineState.REMOVED:
                self.addresses.pop(entry.engine, None)
        return None if kept is None else self._with_addresses(kept)

    def _with_addresses(self, event: api.EngineListReceived) -> EngineListUpdate:
        names = (entry.engine for entry in event.entries)
        return EngineListUpdate(
            event, {name: self.addresses[name] for name in names if name in self.addresses}
        )

    def listed_engines(self) -> dict[str, api.EngineEntry]:
        """All that the list holds, kept or not."""
        return {name: known.entry for name, known in self.local_subset.listed_engines.items()}

    def broadcast_report(self, now: int, payload: bytes) -> bool:
        """A memo for all who keep its engines; False where that is the whole fleet: one address may do."""
        if self.local_subset.keeps_all:
            return False
        self.report_batches.enqueue(now, payload)
        return True

    def tick(self, now: int) -> EngineListUpdate | None:
        """Memos that are due go out; an engine that left the part, and on which nothing of ours runs, leaves
        the list."""
        for target, payload in self.report_batches.due_datagrams(now):
            if self.peers is not None:
                self.peers.send(target, payload)
        if now < self.last_settled_us + self.settle_interval_us or not self.local_subset.draining:
            return None
        self.last_settled_us = now
        event = self.local_subset.remove_drained(self.is_idle)
        return None if event is None else self._with_addresses(event)
