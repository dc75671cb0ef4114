"""What gateways know of one another's lists of engines. Pure.

Numbers of a bulletin count from each process's own start and can't be compared; the generation of the list
and a digest of it can. Who is behind takes from the others only what makes it stricter (engines that leave
or have left) until its own bulletin has told as much; it never takes an engine as ready on hearsay.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from zlib import crc32

MAX_DEPARTED, MAX_PEER_EXCLUSIONS = 256, 256


class ListComparison(Enum):
    SAME = "same"
    BEHIND = "behind"  # they know more
    AHEAD = "ahead"
    CONFLICTING = "contradicts"  # the same generation, another list


@dataclass(slots=True)
class EngineListState:
    silence_timeout_us: int  # a bulletin that says nothing for so long: the list is old
    generation: int = 0
    ready: dict[str, bool] = field(default_factory=dict)  # engines of the list
    departed: dict[str, int] = field(default_factory=dict)  # of late, and by which generation
    peer_exclusions: dict[str, int] = field(
        default_factory=dict
    )  # what others' newer lists call leaving or left
    last_activity_at: int = 0
    generation_regressions: int = 0  # how often the bulletin named an older generation
    conflict_count: int = 0
    _digest: int | None = None

    def apply_event(
        self, now: int, generation: int, is_full: bool, entries: Iterable[tuple[str, bool, bool]]
    ) -> None:
        """An event of our own bulletin: engine, whether it is ready, whether it has gone."""
        self.last_activity_at = now
        if generation < self.generation:
            self.generation_regressions += 1
        self.generation = generation
        told = list(entries)
        if is_full:
            named = {name for name, _, _ in told}
            for name in [name for name in self.ready if name not in named]:
                self._mark_departed(name)
        for name, ready, gone in told:
            if gone:
                self._mark_departed(name)
            else:
                self.ready[name] = ready
                self.departed.pop(name, None)
        self._digest = None
        self.peer_exclusions = {name: by for name, by in self.peer_exclusions.items() if by > generation}

    def _mark_departed(self, name: str) -> None:
        self.ready.pop(name, None)
        self.departed.pop(name, None)
        self.departed[name] = self.generation
        while len(self.departed) > MAX_DEPARTED:
            del self.departed[next(iter(self.departed))]

    def record_activity(self, at: int) -> None:
        """The bulletin gave a sign of life."""
        self.last_activity_at = max(self.last_activity_at, at)

    @property
    def digest(self) -> int:
        """Of the list itself, in whatever order it came."""
        if self._digest is None:
            text = "\n".join(f"{name}\t{int(ready)}" for name, ready in sorted(self.ready.items()))
            self._digest = crc32(text.encode())
        return self._digest

    def is_stale(self, now: int) -> bool:
        return now - self.last_activity_at > self.silence_timeout_us

    def compare(self, generation: int, digest: int) -> ListComparison:
        if generation != self.generation:
            return ListComparison.BEHIND if generation > self.generation else ListComparison.AHEAD
        if digest == self.digest:
            return ListComparison.SAME
        self.conflict_count += 1
        return ListComparison.CONFLICTING

    def departing_engines(self) -> list[str]:
        """What the list makes stricter: engines that leave, or left of late."""
        leaving = [name for name, ready in self.ready.items() if not ready]
        return leaving + list(reversed(self.departed))

    def apply_peer_exclusions(self, generation: int, names: Iterable[str]) -> bool:
        """Another's newer list: whether it shut anything here."""
        if generation <= self.generation:
            return False
        before = len(self.peer_exclusions)
        for name in names:
            if self.ready.get(name) and len(self.peer_exclusions) < MAX_PEER_EXCLUSIONS:
                self.peer_exclusions[name] = max(generation, self.peer_exclusions.get(name, 0))
        return len(self.peer_exclusions) > before

    @property
    def excluded_engines(self) -> frozenset[str]:
        return frozenset(self.peer_exclusions)
