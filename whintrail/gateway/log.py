"""Lines on standard error, at most so many a second for each kind of trouble."""

import sys
import time


class Log:
    def __init__(self, name: str, burst: float, per_second: float) -> None:
        self.name, self.burst, self.per_second = name, burst, per_second
        self._kinds: dict[str, tuple[float, float, int]] = {}  # kind: (allowance, at, lines held back)

    def line(self, kind: str, text: str) -> None:
        """Print the text unless this kind has had its share; then say how many were held back."""
        now = time.monotonic()
        allowance, at, held = self._kinds.get(kind, (self.burst, now, 0))
        allowance = min(self.burst, allowance + (now - at) * self.per_second)
        if allowance < 1.0:
            self._kinds[kind] = (allowance, now, held + 1)
            return
        self._kinds[kind] = (allowance - 1.0, now, 0)
        self.always(f"{kind}: {text}" + (f" (and {held} more like it)" if held else ""))

    def always(self, text: str) -> None:
        say(self.name, text)


def say(name: str, text: str) -> None:
    print(f"{name}: {text}", file=sys.stderr, flush=True)
