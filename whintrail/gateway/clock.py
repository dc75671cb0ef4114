"""The Unix clock, anchored once and advanced by the monotonic clock: it never jumps or goes back."""

import time


class Clock:
    def __init__(self) -> None:
        self._anchor_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        return (self._anchor_ns + time.monotonic_ns()) // 1000
