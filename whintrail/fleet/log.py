"""The council's log: entries behind a base that is decided, and how far they are decided. Pure."""

from collections import deque
from collections.abc import Callable, Iterable

from whintrail.fleet.wire import MAX_DATAGRAM_BYTES, Entry, Position, datagram_size


class Log:
    """Entries follow one another by index from `base` on; those up to `commit` never change."""

    def __init__(self, retained: int) -> None:
        self.retained = retained  # decided entries that are kept for others
        self.snapshot_position: Position = (0, 0, 0)  # epoch, term and index before the first entry
        self.entries: deque[Entry] = deque()
        self.commit_index = 0

    def clone(self) -> "Log":
        other = Log(self.retained)
        other.snapshot_position, other.entries, other.commit_index = (
            self.snapshot_position,
            deque(self.entries),
            self.commit_index,
        )
        return other

    @property
    def last_index(self) -> int:
        return self.entries[-1].index if self.entries else self.snapshot_position[2]

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.snapshot_position[1]

    def term_at(self, index: int) -> int | None:
        """None where it is not known (any more)."""
        if index == self.snapshot_position[2]:
            return self.snapshot_position[1]
        if not self.snapshot_position[2] < index <= self.last_index:
            return None
        return self.entries[index - self.snapshot_position[2] - 1].term

    @property
    def uncommitted(self) -> list[Entry]:
        return [entry for entry in self.entries if entry.index > self.commit_index]

    def append(self, entry: Entry) -> None:
        self.entries.append(entry)

    def merge(self, prev_index: int, prev_term: int, entries: Iterable[Entry]) -> int | None:
        """Take a leader's entries behind the one of `after` and `term`: up to where both then agree; None
        where they do not follow on what is held."""
        if prev_index < self.snapshot_position[2]:  # all up to our base is decided, and so the same
            held = self.snapshot_position[2]
            entries = [entry for entry in entries if entry.index > held]
        elif self.term_at(prev_index) != prev_term:
            return None
        else:
            held = prev_index
        for entry in entries:
            if self.term_at(entry.index) != entry.term:
                while self.last_index >= entry.index:
                    self.entries.pop()
                self.entries.append(entry)
            held = entry.index
        return held

    def commit_until(self, index: int, on_commit: Callable[[Entry], None]) -> None:
        while self.commit_index < index:
            self.commit_index += 1
            on_commit(self.entries[self.commit_index - self.snapshot_position[2] - 1])
        while len(self.entries) > self.retained and self.entries[0].index < self.commit_index:
            first = self.entries.popleft()
            self.snapshot_position = (self.snapshot_position[0], first.term, first.index)

    def reset_to_snapshot(self, position: Position, keep_rest: bool) -> None:
        """All up to `position` was taken over as a whole."""
        kept = [entry for entry in self.entries if entry.index > position[2]] if keep_rest else []
        self.snapshot_position, self.commit_index, self.entries = position, position[2], deque(kept)

    def entries_after(self, index: int, header_bytes: int) -> tuple[Entry, ...]:
        """Entries behind an index, as many as fit beside `taken` bytes in a datagram; one at least."""
        room, found = MAX_DATAGRAM_BYTES - header_bytes, list[Entry]()
        for place in range(index - self.snapshot_position[2], len(self.entries)):
            room -= datagram_size(self.entries[place])  # more than it takes: a head of its own is counted in
            if (found and room < 0) or len(found) >= 32:
                break
            found.append(self.entries[place])
        return tuple(found)
