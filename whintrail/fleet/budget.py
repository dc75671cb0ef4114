"""How much may be out at a time, and what counts as out. Pure.

What is down unplanned counts like what was let go: a slot is refused while losses have used the budget. In
doubt a gateway is out: without a fresh report, not yet proven after its start, or never heard of.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass


def absolute_limit(limit: float, total: int) -> int:
    """A count, or below 1 a share of so many; where anything is allowed at all, one at least."""
    if limit >= 1:
        return int(limit)
    return max(1, int(limit * total)) if limit > 0 and total else 0


@dataclass(frozen=True, slots=True)
class DisruptionBudget:
    """In all and in a zone, as counts or, below 1, as shares."""

    fleet: float
    zone: float


@dataclass(frozen=True, slots=True)
class Unavailable:
    """One that is out, and where; no zone: it may be in any."""

    name: str
    zone: str | None
    reason: str


def exhausted_budget(
    budget: DisruptionBudget,
    unavailable: Iterable[Unavailable],
    zone: str | None,
    zone_sizes: Mapping[str, int],
    total: int,
) -> str:
    """Empty where one more of `zone` may go out; else why not. `sizes`: how many there are by zone."""
    found = sorted(unavailable, key=lambda out: out.name)
    limit = absolute_limit(budget.fleet, total)
    if len(found) + 1 > limit:
        return _describe_exhausted(found, limit, "")
    if zone is None or not zone_sizes:
        return ""
    there = [out for out in found if out.zone is None or out.zone == zone]
    limit = absolute_limit(budget.zone, zone_sizes.get(zone, 1))
    return _describe_exhausted(there, limit, f" in {zone}") if len(there) + 1 > limit else ""


def _describe_exhausted(unavailable: Collection[Unavailable], limit: int, location: str) -> str:
    names = ", ".join(f"{out.name} ({out.reason})" for out in list(unavailable)[:4])
    more = f" and {len(unavailable) - 4} more" if len(unavailable) > 4 else ""
    return f"{len(unavailable)} of {limit} out{location}: {names}{more}"[:150]
