"""The list of engines as the decision module gets it: the bulletin's, and the fleet's drains, the stricter of
both. Pure; it passes the bulletin's events on as they are while nothing is drained.
"""

from collections.abc import Set
from dataclasses import replace

from whintrail.interface import EngineEntry, EngineListReceived, EngineState, ListKind


class DrainOverlay:
    def __init__(self) -> None:
        self.entries: dict[str, EngineEntry] = {}  # as the bulletin told last
        self.drained: frozenset[str] = frozenset()

    def _with_drain(self, entry: EngineEntry) -> EngineEntry:
        if entry.engine in self.drained and entry.state is EngineState.READY:
            return replace(entry, state=EngineState.DRAINING)
        return entry

    def apply_list(self, event: EngineListReceived) -> EngineListReceived:
        """An event of the bulletin, as the module is to see it."""
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
        """Other engines are drained from now on: what the module has to hear, if anything."""
        changed = self.drained ^ engines
        self.drained = frozenset(engines)
        entries = [self._with_drain(entry) for name, entry in self.entries.items() if name in changed]
        return EngineListReceived(ListKind.DELTA, tuple(entries)) if entries else None
