"""A gateway that keeps a part of the engines: its list is cut to them, its memos go to who keeps them too.

Off unless the operator's file has a `subset` part. The arithmetic is `whintrail/subset/`; this gives it the
list's events, the time, and its datagrams to the peers.
"""

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from whintrail import interface as api
from whintrail.gateway.owner import Listed, Peers
from whintrail.subset.part import Part
from whintrail.subset.plan import PlanError, Region, SubsetPlan
from whintrail.subset.telling import BATCH_US, TURNS, Telling

if TYPE_CHECKING:
    from whintrail.config.records import Subset

SETTLE_US = 1_000_000  # at least, between two looks at engines that left the part

__all__ = ["PlanError", "SubsetSide", "plan_of"]


def plan_of(asked: "Subset") -> SubsetPlan:
    """PlanError where the file's part contradicts itself."""
    regions = tuple(Region(r.zones, r.first, r.last) for r in asked.regions)
    return SubsetPlan(asked.size, asked.least_holders, asked.least_stratum, regions or None)


class SubsetSide:
    """For the owner, on its task. `free`: whether nothing of ours runs on an engine. PlanError where the plan
    does not fit the fleet."""

    def __init__(
        self,
        plan: SubsetPlan,
        settings: api.Settings,
        peers: Peers | None,
        free: Callable[[str], bool],
        batch_us: int = BATCH_US,
    ) -> None:
        self.part = Part(plan, settings)
        self.telling = Telling(self.part, settings.me, batch_us)
        self.turn_us = batch_us // TURNS  # how often `turn` wants to be called
        self.peers, self.free = peers, free
        self.addresses: dict[str, str] = {}  # of all engines: one may come into our part by another's going
        self.settle_us = max(SETTLE_US, settings.tip_after_us)
        self.settled_at = 0

    def listed(self, event: api.EngineList, addresses: Mapping[str, str]) -> Listed | None:
        """An event of the list as the gateway is to see it; None where it bears on nothing that is kept."""
        if event.kind not in (api.ListKind.DELTA, api.ListKind.FAILED):
            self.addresses.clear()
        self.addresses.update(addresses)
        kept = self.part.listed(event)
        for entry in event.entries:
            if entry.state is api.EngineState.GONE:
                self.addresses.pop(entry.engine, None)
        return None if kept is None else self._with_addresses(kept)

    def _with_addresses(self, event: api.EngineList) -> Listed:
        names = (entry.engine for entry in event.entries)
        return Listed(event, {name: self.addresses[name] for name in names if name in self.addresses})

    def engines(self) -> dict[str, api.EngineEntry]:
        """All that the list holds, kept or not."""
        return {name: known.entry for name, known in self.part.known.items()}

    def tell(self, now: int, payload: bytes) -> bool:
        """A memo for all who keep its engines; False where that is the whole fleet: one address may do."""
        if self.part.whole:
            return False
        self.telling.add(now, payload)
        return True

    def turn(self, now: int) -> Listed | None:
        """Memos that are due go out; an engine that left the part, and on which nothing of ours runs, leaves
        the list."""
        for target, payload in self.telling.due(now):
            if self.peers is not None:
                self.peers.tell(target, payload)
        if now < self.settled_at + self.settle_us or not self.part.leaving:
            return None
        self.settled_at = now
        event = self.part.settle(self.free)
        return None if event is None else self._with_addresses(event)
