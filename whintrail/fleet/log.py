"""The council's log: entries behind a base that is decided, and how far they are decided. Pure."""

from collections import deque
from collections.abc import Callable, Iterable

from whintrail.fleet.wire import MOST_BYTES, Entry, Position, size


class Log:
    """Entries follow one another by index from `base` on; those up to `commit` never change."""

    def __init__(self, keep: int) -> None:
        self.keep = keep  # decided entries that are kept for others
        self.base: Position = (0, 0, 0)  # epoch, term and index before the first entry
        self.entries: deque[Entry] = deque()
        self.commit = 0

    def clone(self) -> "Log":
        other = Log(self.keep)
        other.base, other.entries, other.commit = self.base, deque(self.entries), self.commit
        return other

    @property
    def last(self) -> int:
        return self.entries[-1].index if self.entries else self.base[2]

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base[1]

    def term_at(self, index: int) -> int | None:
        """None where it is not known (any more)."""
        if index == self.base[2]:
            return self.base[1]
        if not self.base[2] < index <= self.last:
            return None
        return self.entries[index - self.base[2] - 1].term

    @property
    def undecided(self) -> list[Entry]:
        return [entry for entry in self.entries if entry.index > self.commit]

    def append(self, entry: Entry) -> None:
        self.entries.append(entry)

    def merge(self, after: int, term: int, entries: Iterable[Entry]) -> int | None:
        """Take a leader's entries behind the one of `after` and `term`: up to where both then agree; None
        where they do not follow on what is held."""
        if after < self.base[2]:  # all up to our base is decided, and so the same
            held = self.base[2]
            entries = [entry for entry in entries if entry.index > held]
        elif self.term_at(after) != term:
            return None
        else:
            held = after
        for entry in entries:
            if self.term_at(entry.index) != entry.term:
                while self.last >= entry.index:
                    self.entries.pop()
                self.entries.append(entry)
            held = entry.index
        return held

    def decide(self, until: int, decided: Callable[[Entry], None]) -> None:
        while self.commit < until:
            self.commit += 1
            decided(self.entries[self.commit - self.base[2] - 1])
        while len(self.entries) > self.keep and self.entries[0].index < self.commit:
            first = self.entries.popleft()
            self.base = (self.base[0], first.term, first.index)

    def rebase(self, position: Position, keep_rest: bool) -> None:
        """All up to `position` was taken over as a whole."""
        kept = [entry for entry in self.entries if entry.index > position[2]] if keep_rest else []
        self.base, self.commit, self.entries = position, position[2], deque(kept)

    def batch(self, after: int, taken: int) -> tuple[Entry, ...]:
        """Entries behind an index, as many as fit beside `taken` bytes in a datagram; one at least."""
        room, found = MOST_BYTES - taken, list[Entry]()
        for place in range(after - self.base[2], len(self.entries)):
            room -= size(self.entries[place])  # more than it takes: a head of its own is counted in
            if (found and room < 0) or len(found) >= 32:
                break
            found.append(self.entries[place])
        return tuple(found)
