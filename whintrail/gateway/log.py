"""Structured lines on standard error, at most so many a second for each kind of trouble."""

import sys
import time
from collections.abc import MutableMapping
from typing import Any

import orjson
import structlog

KEY_ORDER = ("at", "gateway", "kind", "event")


def _add_timestamp(_: Any, __: str, line: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    now = time.time()
    line["at"] = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now)) + f".{int(now % 1 * 1000):03d}Z"
    return line


def _render_json(_: Any, __: str, line: MutableMapping[str, Any]) -> str:
    rest = {key: value for key, value in line.items() if key not in KEY_ORDER}
    first = {key: line[key] for key in KEY_ORDER if key in line}
    return orjson.dumps({**first, **rest}, default=str).decode()


_render_logfmt = structlog.processors.LogfmtRenderer(
    key_order=KEY_ORDER, drop_missing=True, bool_as_flag=False
)


class Log:
    """One line a call: key=value, or JSON. A line break in a value never makes a second line.

    `burst` lines of one kind at once, then `per_second`; lines held back are counted with the next.
    """

    def __init__(self, name: str, burst: float, per_second: float, as_json: bool = False) -> None:
        self.name = name
        self.configure(burst, per_second, as_json)
        self._allowances: dict[str, tuple[float, float, int]] = {}  # kind: (allowance, at, lines held back)

    def configure(self, burst: float, per_second: float, as_json: bool) -> None:
        """From now on; everybody who logs holds this one object."""
        self.burst, self.per_second = burst, per_second
        processors = [_add_timestamp, _render_json if as_json else _render_logfmt]
        self._logger = structlog.wrap_logger(
            structlog.PrintLogger(sys.stderr), processors=processors, gateway=self.name
        )

    def line(self, kind: str, text: str, **fields: object) -> None:
        """Print the text unless this kind has had its share; then say how many were held back."""
        now = time.monotonic()
        allowance, at, held = self._allowances.get(kind, (self.burst, now, 0))
        allowance = min(self.burst, allowance + (now - at) * self.per_second)
        if allowance < 1.0:
            self._allowances[kind] = (allowance, now, held + 1)
            return
        self._allowances[kind] = (allowance - 1.0, now, 0)
        self.always(text, kind, **fields, **({"held_back": held} if held else {}))

    def always(self, text: str, kind: str = "program", **fields: object) -> None:
        self._logger.msg(text, kind=kind, **fields)


def log_once(name: str, text: str) -> None:
    """A line before there is a configuration, and so a log."""
    Log(name, 1.0, 1.0).always(text)
