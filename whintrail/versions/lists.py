"""What gateways know of one another's lists of engines. Pure.

Numbers of a bulletin count from each process's own start and can't be compared; the generation of the list
and a digest of it can. Who is behind takes from the others only what makes it stricter (engines that leave
or have left) until its own bulletin has told as much; it never takes an engine as ready on hearsay.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from zlib import crc32

MOST_LEFT, MOST_HEARSAY = 256, 256


class Sight(Enum):
    SAME = "same"
    BEHIND = "behind"  # they know more
    AHEAD = "ahead"
    CONTRADICTS = "contradicts"  # the same generation, another list


@dataclass(slots=True)
class Lists:
    silent_us: int  # a bulletin that says nothing for so long: the list is old
    generation: int = 0
    ready: dict[str, bool] = field(default_factory=dict)  # engines of the list
    left: dict[str, int] = field(default_factory=dict)  # of late, and by which generation
    hearsay: dict[str, int] = field(default_factory=dict)  # what others' newer lists call leaving or left
    heard_at: int = 0
    went_back: int = 0  # how often the bulletin named an older generation
    contradictions: int = 0
    _digest: int | None = None

    def listed(
        self, now: int, generation: int, whole: bool, entries: Iterable[tuple[str, bool, bool]]
    ) -> None:
        """An event of our own bulletin: engine, whether it is ready, whether it has gone."""
        self.heard_at = now
        if generation < self.generation:
            self.went_back += 1
        self.generation = generation
        told = list(entries)
        if whole:
            named = {name for name, _, _ in told}
            for name in [name for name in self.ready if name not in named]:
                self._gone(name)
        for name, ready, gone in told:
            if gone:
                self._gone(name)
            else:
                self.ready[name] = ready
                self.left.pop(name, None)
        self._digest = None
        self.hearsay = {name: by for name, by in self.hearsay.items() if by > generation}

    def _gone(self, name: str) -> None:
        self.ready.pop(name, None)
        self.left.pop(name, None)
        self.left[name] = self.generation
        while len(self.left) > MOST_LEFT:
            del self.left[next(iter(self.left))]

    def spoke(self, at: int) -> None:
        """The bulletin gave a sign of life."""
        self.heard_at = max(self.heard_at, at)

    @property
    def digest(self) -> int:
        """Of the list itself, in whatever order it came."""
        if self._digest is None:
            text = "\n".join(f"{name}\t{int(ready)}" for name, ready in sorted(self.ready.items()))
            self._digest = crc32(text.encode())
        return self._digest

    def old(self, now: int) -> bool:
        return now - self.heard_at > self.silent_us

    def sight(self, generation: int, digest: int) -> Sight:
        if generation != self.generation:
            return Sight.BEHIND if generation > self.generation else Sight.AHEAD
        if digest == self.digest:
            return Sight.SAME
        self.contradictions += 1
        return Sight.CONTRADICTS

    def stricter(self) -> list[str]:
        """What the list makes stricter: engines that leave, or left of late."""
        leaving = [name for name, ready in self.ready.items() if not ready]
        return leaving + list(reversed(self.left))

    def heard(self, generation: int, names: Iterable[str]) -> bool:
        """Another's newer list: whether it shut anything here."""
        if generation <= self.generation:
            return False
        before = len(self.hearsay)
        for name in names:
            if self.ready.get(name) and len(self.hearsay) < MOST_HEARSAY:
                self.hearsay[name] = max(generation, self.hearsay.get(name, 0))
        return len(self.hearsay) > before

    @property
    def shut(self) -> frozenset[str]:
        return frozenset(self.hearsay)
