"""Compares the engine lists of the gateways. Pure.

Event numbers of a bulletin count from the start of each process and can't be compared; the generation of a
list and a digest of it can. A gateway that is behind takes from the others only exclusions (engines that are
leaving or have left) until its own bulletin has reported as much. It never takes an engine as ready from
another gateway.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from zlib import crc32

MAX_DEPARTED = 256
MAX_PEER_EXCLUSIONS = 256


class ListComparison(Enum):
    """The local list compared with another gateway's."""

    SAME = "same"
    BEHIND = "behind"  # the other gateway has a newer list
    AHEAD = "ahead"
    CONFLICTING = "contradicts"  # the same generation but a different list


@dataclass(slots=True)
class EngineListState:
    """The local engine list as the bulletin last reported it, and what peers with newer lists exclude."""

    silence_timeout_us: int  # the list is stale when the bulletin has been silent for longer
    generation: int = 0
    ready: dict[str, bool] = field(default_factory=dict)  # listed engines: whether they are ready
    departed: dict[str, int] = field(default_factory=dict)  # recently removed: by which generation
    peer_exclusions: dict[str, int] = field(default_factory=dict)  # leaving or left by a peer's newer list
    last_activity_at: int = 0
    generation_regressions: int = 0  # how often the bulletin named an older generation
    conflict_count: int = 0
    _digest: int | None = None

    def apply_event(
        self, now: int, generation: int, is_full: bool, entries: Iterable[tuple[str, bool, bool]]
    ) -> None:
        """Apply an event of the local bulletin. Entries: engine, is it ready, is it removed."""
        self.last_activity_at = now
        if generation < self.generation:
            self.generation_regressions += 1
        self.generation = generation
        changes = list(entries)
        if is_full:
            listed = {name for name, _, _ in changes}
            for name in [name for name in self.ready if name not in listed]:
                self._mark_departed(name)
        for name, ready, removed in changes:
            if removed:
                self._mark_departed(name)
            else:
                self.ready[name] = ready
                self.departed.pop(name, None)
        self._digest = None
        self.peer_exclusions = {
            name: newer for name, newer in self.peer_exclusions.items() if newer > generation
        }

    def _mark_departed(self, name: str) -> None:
        self.ready.pop(name, None)
        self.departed.pop(name, None)
        self.departed[name] = self.generation
        while len(self.departed) > MAX_DEPARTED:
            del self.departed[next(iter(self.departed))]

    def record_activity(self, at: int) -> None:
        """The bulletin sent something, though maybe no event."""
        self.last_activity_at = max(self.last_activity_at, at)

    @property
    def digest(self) -> int:
        """Digest of the list, independent of the order of its events."""
        if self._digest is None:
            text = "\n".join(f"{name}\t{int(ready)}" for name, ready in sorted(self.ready.items()))
            self._digest = crc32(text.encode())
        return self._digest

    def is_stale(self, now: int) -> bool:
        """Whether the bulletin has been silent for longer than the timeout."""
        return now - self.last_activity_at > self.silence_timeout_us

    def compare(self, generation: int, digest: int) -> ListComparison:
        """Compare with a peer's list; a conflict is counted."""
        if generation != self.generation:
            return ListComparison.BEHIND if generation > self.generation else ListComparison.AHEAD
        if digest == self.digest:
            return ListComparison.SAME
        self.conflict_count += 1
        return ListComparison.CONFLICTING

    def departing_engines(self) -> list[str]:
        """Engines that are leaving or have left recently: what this list excludes."""
        leaving = [name for name, ready in self.ready.items() if not ready]
        return leaving + list(reversed(self.departed))

    def apply_peer_exclusions(self, generation: int, names: Iterable[str]) -> bool:
        """Exclude engines by a peer's newer list. Returns whether that excluded any more."""
        if generation <= self.generation:
            return False
        previous_count = len(self.peer_exclusions)
        for name in names:
            if self.ready.get(name) and len(self.peer_exclusions) < MAX_PEER_EXCLUSIONS:
                self.peer_exclusions[name] = max(generation, self.peer_exclusions.get(name, 0))
        return len(self.peer_exclusions) > previous_count

    @property
    def excluded_engines(self) -> frozenset[str]:
        """Engines that get nothing new because a peer's newer list excludes them."""
        return frozenset(self.peer_exclusions)
