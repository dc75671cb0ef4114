"""How much may be out at a time, and what counts as out. Pure.

What is down unplanned counts like what was let go: a slot is refused while losses have used the budget. In
doubt a gateway is out: without a fresh report, not yet proven after its start, or never heard of.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass


def most(allowed: float, of: int) -> int:
    """A count, or below 1 a share of so many; where anything is allowed at all, one at least."""
    if allowed >= 1:
        return int(allowed)
    return max(1, int(allowed * of)) if allowed > 0 and of else 0


@dataclass(frozen=True, slots=True)
class Allowed:
    """In all and in a zone, as counts or, below 1, as shares."""

    whole: float
    zone: float


@dataclass(frozen=True, slots=True)
class Out:
    """One that is out, and where; no zone: it may be in any."""

    name: str
    zone: str | None
    why: str


def room(
    allowed: Allowed, outs: Iterable[Out], zone: str | None, sizes: Mapping[str, int], total: int
) -> str:
    """Empty where one more of `zone` may go out; else why not. `sizes`: how many there are by zone."""
    found = sorted(outs, key=lambda out: out.name)
    limit = most(allowed.whole, total)
    if len(found) + 1 > limit:
        return _full(found, limit, "")
    if zone is None or not sizes:
        return ""
    there = [out for out in found if out.zone is None or out.zone == zone]
    limit = most(allowed.zone, sizes.get(zone, 1))
    return _full(there, limit, f" in {zone}") if len(there) + 1 > limit else ""


def _full(outs: Collection[Out], limit: int, where: str) -> str:
    names = ", ".join(f"{out.name} ({out.why})" for out in list(outs)[:4])
    more = f" and {len(outs) - 4} more" if len(outs) > 4 else ""
    return f"{len(outs)} of {limit} out{where}: {names}{more}"[:150]
