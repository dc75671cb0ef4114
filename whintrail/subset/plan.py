"""What the operators ask of subsetting: how many engines a gateway keeps, and what must not get lost."""

from dataclasses import dataclass


class PlanError(ValueError):
    """The plan can't be used. The text is one line and names the place: `subset.regions[1].zones: ...`."""


@dataclass(frozen=True, slots=True)
class Region:
    """Gateways `first` to `last` (both counted in) keep the engines of these zones among themselves."""

    zones: tuple[str, ...]
    first: int
    last: int


@dataclass(frozen=True, slots=True)
class SubsetPlan:
    """Checked when it is made (PlanError), and against a fleet's size by `check`."""

    size: int = 80  # engines a gateway keeps, in the mean over gateways; 0: all, subsetting is off
    least_holders: int = 8  # gateways that keep an engine, at least; fewer only where the fleet is smaller
    least_stratum: int = 4  # engines kept, at least, where a class is bound to a zone or to kinds
    regions: tuple[Region, ...] | None = None  # None: the whole fleet is one

    def __post_init__(self) -> None:
        for name, least in (("size", 0), ("least_holders", 1), ("least_stratum", 0)):
            value = getattr(self, name)
            if isinstance(value, bool) or not isinstance(value, int) or value < least:
                raise PlanError(f"subset.{name}: {value!r} is no whole number of at least {least}")
        homes: dict[str, int] = {}
        for number, region in enumerate(self.regions or ()):
            where = f"subset.regions[{number}]"
            if not 0 <= region.first <= region.last:
                raise PlanError(f"{where}: from gateway {region.first} to {region.last} there is none")
            if not region.zones:
                raise PlanError(f"{where}.zones: none")
            for zone in region.zones:
                if zone in homes:
                    raise PlanError(f"{where}.zones: {zone!r} is in subset.regions[{homes[zone]}] too")
                homes[zone] = number

    def check_fleet_size(self, gateway_count: int) -> None:
        """PlanError where the regions do not share out exactly the gateways 0 to `gateways` - 1."""
        if not self.regions:
            return
        ranges = sorted((r.first, r.last, number) for number, r in enumerate(self.regions))
        free, before = 0, 0
        for first, last, number in ranges:
            if first < free:
                raise PlanError(
                    f"subset.regions[{number}]: gateway {first} is in subset.regions[{before}] too"
                )
            if first > free:
                raise PlanError(f"subset.regions: gateway {free} is in none")
            free, before = last + 1, number
        if free < gateway_count:
            raise PlanError(f"subset.regions: gateway {free} is in none")
        if free > gateway_count:
            raise PlanError(f"subset.regions[{before}].last: {free - 1}, of a fleet of {gateway_count}")
