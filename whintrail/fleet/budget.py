"""Disruption budgets: how many gateways or engines may be unavailable at a time. Pure functions.

Unplanned losses count like planned ones, so a slot is refused while losses use up the budget. In doubt a
gateway counts as unavailable: without a fresh report, when it has not served for long enough, or when it was
never heard from.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

MAX_NAMES = 4  # of unavailable members, in a refusal
MAX_TEXT_CHARS = 150  # of a refusal, which travels in one datagram


def absolute_limit(limit: float, total: int) -> int:
    """Resolves a limit, a count or, below 1, a share of `total`. A share above 0 allows at least one."""
    if limit >= 1:
        return int(limit)
    return max(1, int(limit * total)) if limit > 0 and total else 0


@dataclass(frozen=True, slots=True)
class DisruptionBudget:
    """Limits for the whole fleet and for each zone, as counts or, below 1, as shares."""

    fleet: float
    zone: float


@dataclass(frozen=True, slots=True)
class Unavailable:
    """An unavailable gateway or engine. Without a known zone it counts in every zone."""

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
    """Says why no further member of `zone` may become unavailable; empty if one may.

    `zone_sizes` holds the number of members in each zone.
    """
    unavailable_sorted = sorted(unavailable, key=lambda member: member.name)
    limit = absolute_limit(budget.fleet, total)
    if len(unavailable_sorted) + 1 > limit:
        return _describe_exhausted(unavailable_sorted, limit, "")
    if zone is None or not zone_sizes:
        return ""
    in_zone = [member for member in unavailable_sorted if member.zone is None or member.zone == zone]
    limit = absolute_limit(budget.zone, zone_sizes.get(zone, 1))
    return _describe_exhausted(in_zone, limit, f" in {zone}") if len(in_zone) + 1 > limit else ""


def _describe_exhausted(unavailable: Collection[Unavailable], limit: int, location: str) -> str:
    names = ", ".join(f"{member.name} ({member.reason})" for member in list(unavailable)[:MAX_NAMES])
    more = f" and {len(unavailable) - MAX_NAMES} more" if len(unavailable) > MAX_NAMES else ""
    return f"{len(unavailable)} of {limit} out{location}: {names}{more}"[:MAX_TEXT_CHARS]
