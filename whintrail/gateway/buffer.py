"""The bytes received on one connection: a buffer that grows as needed and is compacted in place."""


class Buffer:
    """Bytes come in at the end and are taken from the start; only `space` moves or grows what is held.

    A receive may be under way into the view that `space` gave while bytes before it are taken.
    """

    __slots__ = ("_data", "_end", "_first", "_most", "_start")

    def __init__(self, initial_bytes: int, max_bytes: int) -> None:
        self._data = bytearray(initial_bytes)
        self._first, self._most = initial_bytes, max_bytes
        self._start = self._end = 0

    def __len__(self) -> int:
        return self._end - self._start

    @property
    def full(self) -> bool:
        return len(self) >= self._most

    def receive_space(self) -> memoryview:
        """Room to receive into, never empty unless the buffer is full."""
        held, size = len(self), len(self._data)
        if self._start and (held == 0 or size - self._end < size // 2):
            self._data[:held] = self._data[self._start : self._end]
            self._start, self._end = 0, held
        if held == 0 and size > self._first:
            self._data = bytearray(self._first)  # what a long message took is given back
        elif self._end == size and size < self._most:
            # A new one: the old one can't be resized while some view of it is still held.
            self._data = self._data + bytes(min(size, self._most - size))
        return memoryview(self._data)[self._end :]

    def commit(self, count: int) -> None:
        self._end += count

    def peek(self, count: int, offset: int = 0) -> bytes:
        """Up to so many bytes, left in place."""
        at = self._start + offset
        return bytes(self._data[at : min(at + count, self._end)])

    def find(self, pattern: bytes, max_bytes: int) -> int:
        """Where the bytes begin within the first `most`; -1 if they don't."""
        at = self._data.find(pattern, self._start, min(self._end, self._start + max_bytes))
        return at - self._start if at >= 0 else -1

    def take(self, count: int) -> bytes:
        data = self.peek(count)
        self._start += len(data)
        return data

    def clear(self) -> None:
        self._start = self._end = 0

    def release(self) -> None:
        """Nothing more is received."""
        self.clear()
        self._data = bytearray()
