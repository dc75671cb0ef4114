"""Unix time that is read once and advanced by the monotonic clock, so it never jumps or goes back."""

import time


class Clock:
    """Microseconds since the Unix epoch, monotonic within the process."""

    def __init__(self) -> None:
        self._anchor_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        """The current time in microseconds."""
        return (self._anchor_ns + time.monotonic_ns()) // 1000
