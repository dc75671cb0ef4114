"""Structured log lines on standard error, rate-limited per kind."""

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
    """Writes one line per call, as key=value pairs or JSON, even if a value contains line breaks.

    Each kind may write `burst` lines at once and then `per_second`. The next line of a kind tells how many
    were suppressed.
    """

    def __init__(self, name: str, burst: float, per_second: float, as_json: bool = False) -> None:
        self.name = name
        self.configure(burst, per_second, as_json)
        # A token bucket per kind: tokens, time of the last update, lines suppressed since.
        self._allowances: dict[str, tuple[float, float, int]] = {}

    def configure(self, burst: float, per_second: float, as_json: bool) -> None:
        """Change rate limit and format of this object, which all parts of the gateway share."""
        self.burst, self.per_second = burst, per_second
        processors = [_add_timestamp, _render_json if as_json else _render_logfmt]
        self._logger = structlog.wrap_logger(
            structlog.PrintLogger(sys.stderr), processors=processors, gateway=self.name
        )

    def line(self, kind: str, text: str, **fields: object) -> None:
        """Write a line, unless the rate limit of its kind is exceeded."""
        now = time.monotonic()
        tokens, updated_at, suppressed = self._allowances.get(kind, (self.burst, now, 0))
        tokens = min(self.burst, tokens + (now - updated_at) * self.per_second)
        if tokens < 1.0:
            self._allowances[kind] = (tokens, now, suppressed + 1)
            return
        self._allowances[kind] = (tokens - 1.0, now, 0)
        self.always(text, kind, **fields, **({"held_back": suppressed} if suppressed else {}))

    def always(self, text: str, kind: str = "program", **fields: object) -> None:
        """Write a line without a rate limit."""
        self._logger.msg(text, kind=kind, **fields)


def log_once(name: str, text: str) -> None:
    """Write a line without a configured log, for errors during the start."""
    Log(name, 1.0, 1.0).always(text)
