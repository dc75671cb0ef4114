"""The replicated log of a voter, as in Raft: entries after a snapshot position, and the commit index."""

from collections import deque
from collections.abc import Callable, Iterable

from whintrail.fleet.wire import MAX_DATAGRAM_BYTES, Entry, Position, datagram_size

MAX_BATCH_ENTRIES = 32  # the limit of the wire format


class Log:
    """Entries have consecutive indexes after `snapshot_position`; those up to `commit_index` never change."""

    def __init__(self, retained: int) -> None:
        self.retained = retained  # committed entries kept for followers that lag
        self.snapshot_position: Position = (0, 0, 0)  # of the entry before the first one
        self.entries: deque[Entry] = deque()
        self.commit_index = 0

    def clone(self) -> "Log":
        """A copy with the same entries, for state exploration in tests."""
        copy = Log(self.retained)
        copy.snapshot_position, copy.entries, copy.commit_index = (
            self.snapshot_position,
            deque(self.entries),
            self.commit_index,
        )
        return copy

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot if there is none after it."""
        return self.entries[-1].index if self.entries else self.snapshot_position[2]

    @property
    def last_term(self) -> int:
        """The term of the last entry, or of the snapshot if there is none after it."""
        return self.entries[-1].term if self.entries else self.snapshot_position[1]

    def term_at(self, index: int) -> int | None:
        """The term of the entry at an index; None if the log doesn't hold it."""
        if index == self.snapshot_position[2]:
            return self.snapshot_position[1]
        if not self.snapshot_position[2] < index <= self.last_index:
            return None
        return self.entries[index - self.snapshot_position[2] - 1].term

    @property
    def uncommitted(self) -> list[Entry]:
        """The entries after the commit index."""
        return [entry for entry in self.entries if entry.index > self.commit_index]

    def append(self, entry: Entry) -> None:
        """Adds an entry whose index follows the last one."""
        self.entries.append(entry)

    def merge(self, prev_index: int, prev_term: int, entries: Iterable[Entry]) -> int | None:
        """Appends a leader's entries that follow the entry at `prev_index`, replacing conflicting ones.

        Returns the last index that matches the leader's log, or None if the log has no entry with that index
        and term.
        """
        if prev_index < self.snapshot_position[2]:  # entries up to the snapshot are committed, so they match
            matched = self.snapshot_position[2]
            entries = [entry for entry in entries if entry.index > matched]
        elif self.term_at(prev_index) != prev_term:
            return None
        else:
            matched = prev_index
        for entry in entries:
            if self.term_at(entry.index) != entry.term:
                while self.last_index >= entry.index:
                    self.entries.pop()
                self.entries.append(entry)
            matched = entry.index
        return matched

    def commit_until(self, index: int, on_commit: Callable[[Entry], None]) -> None:
        """Commits the entries up to an index, and drops committed ones beyond those to be retained."""
        while self.commit_index < index:
            self.commit_index += 1
            on_commit(self.entries[self.commit_index - self.snapshot_position[2] - 1])
        while len(self.entries) > self.retained and self.entries[0].index < self.commit_index:
            first = self.entries.popleft()
            self.snapshot_position = (self.snapshot_position[0], first.term, first.index)

    def reset_to_snapshot(self, position: Position, keep_rest: bool) -> None:
        """Continues after a snapshot at `position`, with the later entries if `keep_rest`."""
        kept = [entry for entry in self.entries if entry.index > position[2]] if keep_rest else []
        self.snapshot_position, self.commit_index, self.entries = position, position[2], deque(kept)

    def entries_after(self, index: int, header_bytes: int) -> tuple[Entry, ...]:
        """The entries after an index that fit into a datagram beside `header_bytes`, but at least one."""
        room, entries = MAX_DATAGRAM_BYTES - header_bytes, list[Entry]()
        for offset in range(index - self.snapshot_position[2], len(self.entries)):
            room -= datagram_size(self.entries[offset])  # too much by its own header
            if (entries and room < 0) or len(entries) >= MAX_BATCH_ENTRIES:
                break
            entries.append(self.entries[offset])
        return tuple(entries)
