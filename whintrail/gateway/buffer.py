"""A receive buffer for one connection that grows as needed and is compacted in place."""


class Buffer:
    """Bytes are received at the end and taken from the start. Only `receive_space` moves or grows the data.

    Bytes may be taken while a receive into the view returned by `receive_space` is in progress.
    """

    __slots__ = ("_data", "_end", "_initial_bytes", "_max_bytes", "_start")

    def __init__(self, initial_bytes: int, max_bytes: int) -> None:
        self._data = bytearray(initial_bytes)
        self._initial_bytes, self._max_bytes = initial_bytes, max_bytes
        self._start = self._end = 0

    def __len__(self) -> int:
        return self._end - self._start

    @property
    def full(self) -> bool:
        """Whether the buffer holds as many bytes as it may."""
        return len(self) >= self._max_bytes

    def receive_space(self) -> memoryview:
        """Space to receive into; empty only if the buffer is full."""
        held, size = len(self), len(self._data)
        if self._start and (held == 0 or size - self._end < size // 2):
            self._data[:held] = self._data[self._start : self._end]
            self._start, self._end = 0, held
        if held == 0 and size > self._initial_bytes:
            self._data = bytearray(self._initial_bytes)  # shrink again after a long message
        elif self._end == size and size < self._max_bytes:
            # Copied rather than resized: a bytearray can't be resized while a view of it exists.
            self._data = self._data + bytes(min(size, self._max_bytes - size))
        return memoryview(self._data)[self._end :]

    def commit(self, count: int) -> None:
        """Add `count` bytes that were received into the space."""
        self._end += count

    def peek(self, count: int, offset: int = 0) -> bytes:
        """Return up to `count` bytes without taking them."""
        start = self._start + offset
        return bytes(self._data[start : min(start + count, self._end)])

    def find(self, pattern: bytes, max_bytes: int) -> int:
        """Return the offset of the pattern within the first `max_bytes` bytes, or -1."""
        position = self._data.find(pattern, self._start, min(self._end, self._start + max_bytes))
        return position - self._start if position >= 0 else -1

    def take(self, count: int) -> bytes:
        """Remove and return up to `count` bytes."""
        data = self.peek(count)
        self._start += len(data)
        return data

    def clear(self) -> None:
        """Drop all bytes."""
        self._start = self._end = 0

    def release(self) -> None:
        """Free the memory; nothing more is received."""
        self.clear()
        self._data = bytearray()
