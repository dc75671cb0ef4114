"""Applies the fleet's drains to the bulletin's list of engines, for the routing policy.

An engine is shown in the stricter of the two states. Without drains the bulletin's events pass unchanged.
Pure.
"""

from collections.abc import Set
from dataclasses import replace

from whintrail.interface import EngineEntry, EngineListReceived, EngineState, ListKind


class DrainOverlay:
    """The bulletin's entries and the engines that the fleet has drained."""

    def __init__(self) -> None:
        self.entries: dict[str, EngineEntry] = {}  # as last received from the bulletin
        self.drained: frozenset[str] = frozenset()

    def _with_drain(self, entry: EngineEntry) -> EngineEntry:
        if entry.engine in self.drained and entry.state is EngineState.READY:
            return replace(entry, state=EngineState.DRAINING)
        return entry

    def apply_list(self, event: EngineListReceived) -> EngineListReceived:
        """Applies the drains to an event of the bulletin."""
        if event.kind is ListKind.FAILED:
            return event
        if event.kind is not ListKind.DELTA:
            self.entries.clear()
        for entry in event.entries:
            if entry.state is EngineState.REMOVED:
                self.entries.pop(entry.engine, None)
            else:
                self.entries[entry.engine] = entry
        if not self.drained:
            return event
        return replace(event, entries=tuple(self._with_drain(entry) for entry in event.entries))

    def set_drained(self, engines: Set[str]) -> EngineListReceived | None:
        """Sets the drained engines; returns the list event that results, if any entry changes."""
        changed = self.drained ^ engines
        self.drained = frozenset(engines)
        entries = [self._with_drain(entry) for name, entry in self.entries.items() if name in changed]
        return EngineListReceived(ListKind.DELTA, tuple(entries)) if entries else None
