"""Raw events in compact columns: 22 bytes each, in chunks, the oldest of which goes as a whole.

A chunk holds an array a column. Reading one engine's events is rare and looks through the slots' column; an
event costs six appends and keeps no object alive.
"""

from array import array
from collections import deque
from collections.abc import Iterator

ROW_BYTES = 22
RawRow = tuple[int, int, int, int, float, float]  # time, slot, kind, code, a, b


class Chunk:
    __slots__ = ("a", "b", "codes", "first_number", "slots", "times")

    def __init__(self, first: int) -> None:
        self.first_number = first  # the number of its first event
        self.times, self.slots = array("q"), array("I")
        self.codes = array("H")  # kind * 256 + code
        self.a, self.b = array("f"), array("f")

    def __len__(self) -> int:
        return len(self.times)

    def row(self, i: int) -> RawRow:
        code = self.codes[i]
        return self.times[i], self.slots[i], code >> 8, code & 0xFF, self.a[i], self.b[i]


class Columns:
    """Events numbered from 0 in the order in which they came. `most_bytes` bounds what is kept."""

    def __init__(self, max_bytes: int) -> None:
        self.rows_per_chunk = max(256, min(4096, max_bytes // ROW_BYTES // 8))
        self.max_chunks = max(2, max_bytes // (self.rows_per_chunk * ROW_BYTES))
        self.chunks: deque[Chunk] = deque([Chunk(0)])
        self.open_chunk = self.chunks[-1]
        self.dropped_rows = 0
        self._bind_appends()

    def _bind_appends(self) -> None:
        """An event costs five appends; looking each of them up again would double that."""
        last = self.open_chunk
        self._append_time, self._append_slot, self._append_code = (
            last.times.append,
            last.slots.append,
            last.codes.append,
        )
        self._append_a, self._append_b = last.a.append, last.b.append
        self._free_rows = self.rows_per_chunk - len(last)

    @property
    def next_number(self) -> int:
        """The number that the next event gets."""
        return self.open_chunk.first_number + len(self.open_chunk)

    @property
    def used_bytes(self) -> int:
        return sum(len(chunk) for chunk in self.chunks) * ROW_BYTES

    def add(self, at: int, slot: int, kind: int, code: int, a: float, b: float) -> None:
        if not self._free_rows:
            self._add_chunk()
        self._free_rows -= 1
        self._append_time(at)
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

    def drop_chunks_before(self, at: int) -> None:
        """Let go of whole chunks that hold nothing later."""
        while len(self.chunks) > 1 and self.chunks[0].times[-1] < at:
            self.dropped_rows += len(self.chunks.popleft())

    @property
    def oldest_us(self) -> int | None:
        first = self.chunks[0]
        return first.times[0] if len(first) else None

    def rows(self, slot: int | None = None, since: int = 0, until: int = 1 << 62) -> Iterator[RawRow]:
        """In order of arrival; those of one engine, or of all."""
        for chunk in list(self.chunks):
            if not len(chunk) or chunk.times[-1] < since or chunk.times[0] > until:
                continue
            for i in range(len(chunk)):
                if (slot is None or chunk.slots[i] == slot) and since <= chunk.times[i] <= until:
                    yield chunk.row(i)

    def read_from(self, first_number: int, max_rows: int) -> tuple[list[RawRow], int, int]:
        """Up to `most` events from that number on; the number after them, and how many of them were gone."""
        first = self.chunks[0].first_number
        gone, at, found = max(0, first - first_number), max(first, first_number), list[RawRow]()
        for chunk in self.chunks:
            begin = at - chunk.first_number
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
                at = chunk.first_number + end
        return found, at, gone
