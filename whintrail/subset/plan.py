"""The operator's subsetting plan: how many engines a gateway keeps, and the minimums that must be met."""

from dataclasses import dataclass


class PlanError(ValueError):
    """The plan can't be used. The text is one line and names the field: `subset.regions[1].zones: ...`."""


@dataclass(frozen=True, slots=True)
class Region:
    """Gateways `first` to `last` (inclusive) distribute the engines of these zones among themselves."""

    zones: tuple[str, ...]
    first: int
    last: int


@dataclass(frozen=True, slots=True)
class SubsetPlan:
    """Validated at construction (PlanError), and against the fleet's size by `check_fleet_size`."""

    size: int = 80  # engines per gateway, averaged over gateways; 0: all engines, subsetting is off
    least_holders: int = 8  # minimum of gateways that keep an engine; fewer only in a smaller fleet
    least_stratum: int = 4  # minimum of engines kept for a class that is bound to a zone or to kinds
    regions: tuple[Region, ...] | None = None  # None: the whole fleet is one region

    def __post_init__(self) -> None:
        for name, minimum in (("size", 0), ("least_holders", 1), ("least_stratum", 0)):
            value = getattr(self, name)
            if isinstance(value, bool) or not isinstance(value, int) or value < minimum:
                raise PlanError(f"subset.{name}: {value!r} is not an integer of at least {minimum}")
        region_of_zone: dict[str, int] = {}
        for number, region in enumerate(self.regions or ()):
            path = f"subset.regions[{number}]"
            if not 0 <= region.first <= region.last:
                raise PlanError(f"{path}: gateways {region.first} to {region.last} are no valid range")
            if not region.zones:
                raise PlanError(f"{path}.zones: none")
            for zone in region.zones:
                if zone in region_of_zone:
                    raise PlanError(
                        f"{path}.zones: {zone!r} is in subset.regions[{region_of_zone[zone]}] too"
                    )
                region_of_zone[zone] = number

    def check_fleet_size(self, gateway_count: int) -> None:
        """PlanError unless the regions partition the gateways 0 to `gateway_count` - 1."""
        if not self.regions:
            return
        ranges = sorted((r.first, r.last, number) for number, r in enumerate(self.regions))
        next_free, previous = 0, 0
        for first, last, number in ranges:
            if first < next_free:
                raise PlanError(
                    f"subset.regions[{number}]: gateway {first} is in subset.regions[{previous}] too"
                )
            if first > next_free:
                raise PlanError(f"subset.regions: gateway {next_free} is in no region")
            next_free, previous = last + 1, number
        if next_free < gateway_count:
            raise PlanError(f"subset.regions: gateway {next_free} is in no region")
        if next_free > gateway_count:
            raise PlanError(
                f"subset.regions[{previous}].last: {next_free - 1}, of a fleet of {gateway_count}"
            )
