"""Raw events in compact columns of 22 bytes an event, in chunks of which the oldest is dropped first.

A chunk holds one array for each column. Adding an event costs five appends and keeps no object alive.
Reading the events of one engine is rare and scans the column of slots.
"""

from array import array
from collections import deque
from collections.abc import Iterator

ROW_BYTES = 22
RawRow = tuple[int, int, int, int, float, float]  # time, slot, kind, code, a, b


class Chunk:
    """A run of consecutive events; `first_number` is the number of its first event."""

    __slots__ = ("a", "b", "codes", "first_number", "slots", "times")

    def __init__(self, first_number: int) -> None:
        self.first_number = first_number
        self.times, self.slots = array("q"), array("I")
        self.codes = array("H")  # kind * 256 + code
        self.a, self.b = array("f"), array("f")

    def __len__(self) -> int:
        return len(self.times)

    def row(self, index: int) -> RawRow:
        code = self.codes[index]
        return self.times[index], self.slots[index], code >> 8, code & 0xFF, self.a[index], self.b[index]


class Columns:
    """A bounded log of events, numbered from 0 in order of arrival. `max_bytes` bounds what is kept."""

    def __init__(self, max_bytes: int) -> None:
        self.rows_per_chunk = max(256, min(4096, max_bytes // ROW_BYTES // 8))
        self.max_chunks = max(2, max_bytes // (self.rows_per_chunk * ROW_BYTES))
        self.chunks: deque[Chunk] = deque([Chunk(0)])
        self.open_chunk = self.chunks[-1]
        self.dropped_rows = 0
        self._bind_appends()

    def _bind_appends(self) -> None:
        """Keep the bound `append` methods: looking up five of them for each event would double its cost."""
        chunk = self.open_chunk
        self._append_time, self._append_slot, self._append_code = (
            chunk.times.append,
            chunk.slots.append,
            chunk.codes.append,
        )
        self._append_a, self._append_b = chunk.a.append, chunk.b.append
        self._free_rows = self.rows_per_chunk - len(chunk)

    @property
    def next_number(self) -> int:
        """The number of the next event to be added."""
        return self.open_chunk.first_number + len(self.open_chunk)

    @property
    def used_bytes(self) -> int:
        return sum(len(chunk) for chunk in self.chunks) * ROW_BYTES

    def add(self, at_us: int, slot: int, kind: int, code: int, a: float, b: float) -> None:
        if not self._free_rows:
            self._add_chunk()
        self._free_rows -= 1
        self._append_time(at_us)
        self._append_slot(slot)
        self._append_code(kind << 8 | code)
        self._append_a(a)
        self._append_b(b)

    def _add_chunk(self) -> None:
        self.open_chunk = Chunk(self.next_number)
        self.chunks.append(self.open_chunk)
        if len(self.chunks) > self.max_chunks:
            self.dropped_rows += len(self.chunks.popleft())
        self._bind_appends()

    def drop_chunks_before(self, time_us: int) -> None:
        """Drop the chunks whose newest event is older than that time; the open chunk stays."""
        while len(self.chunks) > 1 and self.chunks[0].times[-1] < time_us:
            self.dropped_rows += len(self.chunks.popleft())

    @property
    def oldest_us(self) -> int | None:
        oldest = self.chunks[0]
        return oldest.times[0] if len(oldest) else None

    def rows(self, slot: int | None = None, since: int = 0, until: int = 1 << 62) -> Iterator[RawRow]:
        """The events of one engine, or of all, in order of arrival."""
        for chunk in list(self.chunks):
            if not len(chunk) or chunk.times[-1] < since or chunk.times[0] > until:
                continue
            for i in range(len(chunk)):
                if (slot is None or chunk.slots[i] == slot) and since <= chunk.times[i] <= until:
                    yield chunk.row(i)

    def read_from(self, first_number: int, max_rows: int) -> tuple[list[RawRow], int, int]:
        """Up to `max_rows` events from that number on.

        Returns the events, the number after the last of them, and how many of the requested events had
        already been dropped.
        """
        oldest = self.chunks[0].first_number
        dropped, next_number, found = max(0, oldest - first_number), max(oldest, first_number), list[RawRow]()
        for chunk in self.chunks:
            begin = next_number - chunk.first_number
            if 0 <= begin < len(chunk) and len(found) < max_rows:
                end = min(len(chunk), begin + max_rows - len(found))
                codes = chunk.codes[begin:end]
                columns = (
                    chunk.times[begin:end],
                    chunk.slots[begin:end],
                    [code >> 8 for code in codes],
                    [code & 0xFF for code in codes],
                    chunk.a[begin:end],
                    chunk.b[begin:end],
                )
                found += zip(*columns, strict=True)
                next_number = chunk.first_number + end
        return found, next_number, dropped
