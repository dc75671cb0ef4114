"""The capacity model: what each row of the table by role comes to at a size, held against its budget. Pure.

A row is measured slopes (`fitting.py`) times the paces of the program (`inputs.py`), as a function of a size.
A figure that was not measured is not guessed: the row says which is missing. Ranges are added up end to end,
as if all were off the same way; that is wider than independent errors would give.
"""

import math
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from functools import cache
from typing import Literal

from msgspec.structs import replace

from whintrail.scale import inputs
from whintrail.scale.fitting import Fit, FitError, fit
from whintrail.scale.results import Kind, Sample

Dimension = Literal["engines", "gateways"]
RowDimension = Literal["engines", "gateways", "both", "neither"]
Statistic = Literal["value", "high"]
# What no subset of engines touches: membership, agreement, the list until it is read. The gateway's update it
# lessens: without a figure of its own, that of all engines is the most.
SUBSET_INDEPENDENT_PREFIXES: tuple[str, ...] = (
    "membership_",
    "node_",
    "log_",
    "version_",
    "list_line_",
    "list_read_",
    "list_digest_",
    "leader_",
)
SUBSET_INDEPENDENT_PREFIXES += ("gateway_update_",)
WIDE_RANGE_RATIO = 2.0  # times the value: a range wider than that says that the sizes taken don't tell
SEARCH_LIMIT_FACTOR = 10.0  # sizes are looked through up to so many times the one that is coming


class NotMeasured(LookupError):
    """No file has the quantity at two sizes or more; the text names it."""


@dataclass(frozen=True, slots=True)
class Estimate:
    """A figure with the range in which a measurement would be found, at 95%."""

    value: float
    low: float
    high: float

    def __add__(self, other: "Estimate") -> "Estimate":
        return Estimate(self.value + other.value, self.low + other.low, self.high + other.high)

    @property
    def is_wide(self) -> bool:
        """Its range is so wide that it tells nothing."""
        return not math.isfinite(self.high) or self.high - self.low > WIDE_RANGE_RATIO * self.value

    def __mul__(self, factor: float) -> "Estimate":
        """By a figure above 0."""
        return Estimate(self.value * factor, self.low * factor, self.high * factor)


def exact(value: float) -> Estimate:
    return Estimate(value, value, value)


@dataclass(frozen=True, slots=True)
class MeasurementKey:
    """Which measured quantity, over which size; `high`: its 95th or 99th hundredth, not its median."""

    quantity: str
    grows_with: Dimension
    kind: Kind | None = None
    role: str | None = None
    note: str | None = None
    stat: Statistic = "value"
    day: str = "steady"


class FitCache:
    """Fits of all samples, each made once. `subset`: engines that each gateway keeps; 0: all."""

    def __init__(self, samples: Sequence[Sample], subset: int = 0) -> None:
        self.samples, self.subset = list(samples), subset
        self.fits: dict[MeasurementKey, Fit | None] = {}

    def fit(self, key: MeasurementKey) -> Fit:
        """Errors: NotMeasured."""
        if key not in self.fits:
            samples = [s for s in self.samples if s.quantity == key.quantity]
            if key.stat == "high":
                samples = [_with_high_as_value(s) for s in samples]
            self.fits[key] = self._fit(samples, key)
        if (found := self.fits[key]) is None:
            raise NotMeasured(key.quantity)
        return found

    def _fit(self, samples: list[Sample], key: MeasurementKey) -> Fit | None:
        subset = self.subset
        if (
            subset
            and not any(s.subset == subset for s in samples)
            and key.quantity.startswith(SUBSET_INDEPENDENT_PREFIXES)
        ):
            subset = 0
        given = {"kind": key.kind, "role": key.role, "subset": subset, "note": key.note, "day": key.day}
        try:
            return fit(samples, key.quantity, key.grows_with, **given)  # type: ignore[arg-type]
        except FitError:
            if not subset:
                return None
        # With a subset both sizes may have grown in step, so that a gateway's part stays as large.
        other = "gateways" if key.grows_with == "engines" else "engines"
        stepped = [replace(s, **{other: 0}) for s in samples]
        try:
            return fit(stepped, key.quantity, key.grows_with, **given)  # type: ignore[arg-type]
        except FitError:
            return None


def _with_high_as_value(s: Sample) -> Sample:
    return replace(s, value=s.high, low=s.high)


@dataclass(slots=True)
class EvaluationPoint:
    """So many gateways before so many engines; remembers which measured quantities were asked for."""

    gateways: float
    engines: float
    fit_cache: FitCache
    used_keys: list[MeasurementKey] = field(default_factory=list)

    def estimate(
        self,
        quantity: str,
        grows_with: Dimension,
        *,
        kind: Kind = "core",
        role: str | None = None,
        note: str | None = None,
        stat: Statistic = "value",
        day: str = "steady",
    ) -> Estimate:
        """Errors: NotMeasured."""
        use = MeasurementKey(quantity, grows_with, kind, role, note, stat, day)
        if use not in self.used_keys:
            self.used_keys.append(use)
        x = self.engines if grows_with == "engines" else self.gateways
        found = self.fit_cache.fit(use)
        value, low, high = found.estimate_at(x)
        if value < 0 and x > max(found.sizes):  # nothing is: the curve has left what it was taken of
            return Estimate(0.0, 0.0, math.inf)
        return Estimate(max(0.0, value), max(0.0, low), max(0.0, high))

    def estimate_slope(self, quantity: str, grows_with: Dimension, kind: Kind = "core") -> Estimate:
        """What one engine or gateway more adds, of a line. Errors: NotMeasured."""
        use = MeasurementKey(quantity, grows_with, kind)
        if use not in self.used_keys:
            self.used_keys.append(use)
        found = self.fit_cache.fit(use)
        return Estimate(found.slope, found.slope - 2 * found.slope_error, found.slope + 2 * found.slope_error)


@dataclass(frozen=True, slots=True)
class Row:
    """One figure of one role. `budget` None: nobody has set one."""

    key: str  # names it in files and in the ranking
    role: str
    description: str
    unit: str
    grows_with: RowDimension
    evaluate: Callable[[EvaluationPoint], Estimate]
    budget: float | None
    budget_name: str
    code_path: str  # file and name of what carries it today; "" where nothing does
    formula: str  # slope x what it grows with, in words, where paces come in
    remedy: str = ""  # where no mechanism is missing: the setting, or the few lines, that mend it; not ranked
    is_total: bool = False  # a sum of other rows, which are ranked themselves


@dataclass(frozen=True, slots=True)
class BudgetCrossing:
    """The smallest size at which a budget is passed; None: at none up to `BEYOND` times the coming size."""

    size: float | None  # engines or gateways; of both: gateways
    growth_progress: (
        float  # of the way from today's size to the one that is coming; inf: at none; never below 0
    )
    earliest: float | None  # by the upper end of the range
    latest: float | None
    measured_range: tuple[int, int] | None = (
        None  # the least and the greatest size of what it rests on; None: all
    )

    @property
    def is_below_measured(self) -> bool:
        """At the least size that was taken it is passed already: how much sooner is not known."""
        return (
            self.size is not None and self.measured_range is not None and self.size <= self.measured_range[0]
        )

    @property
    def is_certain(self) -> bool:
        """Between sizes that were taken, or beyond them by the lower end of the range too."""
        if self.size is None:
            return False
        return self.latest is not None or self.measured_range is None or self.size <= self.measured_range[1]


@dataclass(frozen=True, slots=True)
class RowResult:
    """What a row comes to."""

    row: Row
    value: Estimate | None
    missing: str  # the quantity that was not measured; empty where none is
    crossing: BudgetCrossing | None
    used_keys: tuple[MeasurementKey, ...]
    is_extrapolated: bool = False  # the sizes at which what it rests on was taken

    @property
    def is_inconclusive(self) -> bool:
        """Beyond the sizes taken, and its range tells nothing."""
        return self.value is not None and self.is_extrapolated and self.value.is_wide

    @property
    def is_exceeded(self) -> bool:
        """At the size that it was reckoned at; a range that tells nothing passes no budget, unless all of it
        does or it is passed for sure at a smaller size."""
        if self.value is None or self.row.budget is None or self.value.value <= self.row.budget:
            return False
        sure = self.crossing is not None and self.crossing.is_certain
        return not self.is_inconclusive or self.value.low > self.row.budget or sure

    @property
    def budget_share(self) -> float | None:
        """Of the budget that is used."""
        return self.value.value / self.row.budget if self.value is not None and self.row.budget else None


def current_size() -> tuple[float, float]:
    return inputs.input_value("gateways_today"), inputs.input_value("engines_today")


def target_size() -> tuple[float, float]:
    return inputs.input_value("gateways"), inputs.input_value("engines")


def size_at_progress(progress: float) -> tuple[float, float]:
    """Gateways and engines at a share of the way from today's size to the one that is coming."""
    (g0, e0), (g1, e1) = current_size(), target_size()
    return max(1.0, g0 + progress * (g1 - g0)), max(1.0, e0 + progress * (e1 - e0))


def growth_progress(dimension: RowDimension, size: float) -> float:
    """Where a size lies between today's and the one that is coming; 0 where it is today's or below."""
    place = 1 if dimension == "engines" else 0
    begin, end = current_size()[place], target_size()[place]
    return max(0.0, (size - begin) / (end - begin))


def _fleet_size_at(dimension: RowDimension) -> Callable[[float], tuple[float, float]]:
    gateways, engines = target_size()
    if dimension == "engines":
        return lambda x: (gateways, x)
    if dimension == "gateways":
        return lambda x: (x, engines)
    return lambda x: size_at_progress((x - current_size()[0]) / (gateways - current_size()[0]))


def find_crossing(row: Row, fit_cache: FitCache) -> BudgetCrossing:
    """Errors: NotMeasured; ValueError where the row has no budget."""
    if row.budget is None:
        raise ValueError(f"{row.key}: no budget")
    if row.grows_with == "neither":
        found = row.evaluate(EvaluationPoint(*target_size(), fit_cache))
        over = found.value > row.budget
        size = 0.0 if over else None
        return BudgetCrossing(size, 0.0 if over else math.inf, size, size)
    to_size, budget = _fleet_size_at(row.grows_with), row.budget

    @cache
    def at(x: float) -> Estimate:
        return row.evaluate(EvaluationPoint(*to_size(x), fit_cache))

    def passes(x: float, which: str) -> bool:
        return float(getattr(at(x), which)) > budget

    most = SEARCH_LIMIT_FACTOR * target_size()[1 if row.grows_with == "engines" else 0]
    found_at = {which: _first(lambda x, w=which: passes(x, w), most) for which in ("value", "high", "low")}  # type: ignore[misc]
    size = found_at["value"]
    share = math.inf if size is None else growth_progress(row.grows_with, size)
    used = EvaluationPoint(*target_size(), fit_cache)
    row.evaluate(used)
    return BudgetCrossing(
        size,
        share,
        found_at["high"],
        found_at["low"],
        _measured_range(row.grows_with, used.used_keys, fit_cache),
    )


def _measured_range(
    dimension: RowDimension, used_keys: Sequence[MeasurementKey], fit_cache: FitCache
) -> tuple[int, int] | None:
    """The sizes between which all was taken that a row rests on."""
    ranges = []
    for use in used_keys:
        if dimension in ("both", use.grows_with):
            with suppress(NotMeasured):  # another was taken in its place
                sizes = fit_cache.fit(use).sizes
                ranges.append((min(sizes), max(sizes)))
    if not ranges or dimension in ("both", "neither"):
        return None
    return max(low for low, _ in ranges), min(high for _, high in ranges)


def _first(passes: Callable[[float], bool], most: float) -> float | None:
    """The smallest size that passes, of a figure that rises; sizes from 1 on."""
    steps = 120
    grid = [math.exp(math.log(most) * place / steps) for place in range(steps + 1)]
    place = next((place for place, x in enumerate(grid) if passes(x)), None)
    if place is None:
        return None
    if place == 0:
        return 1.0
    low, high = grid[place - 1], grid[place]
    while high - low > 1e-4 * high:
        middle = (low + high) / 2
        low, high = (low, middle) if passes(middle) else (middle, high)
    return high


def evaluate_at_largest_measured(
    evaluate: Callable[[EvaluationPoint], Estimate], used_keys: Sequence[MeasurementKey], fit_cache: FitCache
) -> tuple[Estimate, tuple[float, float]]:
    """The value at the greatest gateways and engines, up to the coming ones, at which all was taken that it
    rests on. Errors: NotMeasured."""
    sizes = {"gateways": target_size()[0], "engines": target_size()[1]}
    for use in used_keys:
        with suppress(NotMeasured):  # another was taken in its place
            sizes[use.grows_with] = min(sizes[use.grows_with], max(fit_cache.fit(use).sizes))
    at = sizes["gateways"], sizes["engines"]
    return evaluate(EvaluationPoint(*at, fit_cache)), at


def is_extrapolated(point: EvaluationPoint) -> bool:
    """Whether the size is greater than any at which something was taken that was asked for at it."""
    for use in point.used_keys:
        with suppress(NotMeasured):  # another was taken in its place
            if max(point.fit_cache.fit(use).sizes) < getattr(point, use.grows_with):
                return True
    return False


def evaluate_row(row: Row, fit_cache: FitCache, size: tuple[float, float] | None = None) -> RowResult:
    at = EvaluationPoint(*(size or target_size()), fit_cache)
    try:
        value = row.evaluate(at)
        where = find_crossing(row, fit_cache) if row.budget is not None else None
    except NotMeasured as error:
        return RowResult(row, None, str(error), None, tuple(at.used_keys))
    return RowResult(row, value, "", where, tuple(at.used_keys), is_extrapolated(at))


# --- The ranking.


@dataclass(frozen=True, slots=True)
class Candidate:
    """A mechanism that is missing, the rows that it would carry, and why it would."""

    name: str
    resolves: Mapping[str, str]  # a row's key: the reason
    eases: Mapping[str, str]  # the same, of rows that it eases; they are not counted
    sources: str  # published ones


@dataclass(frozen=True, slots=True)
class RankedCandidate:
    candidate: Candidate
    first_failing: RowResult  # of the failing rows that it carries, the one that fails at the smallest size
    failing: tuple[RowResult, ...]  # all of them, the first to fail first

    @property
    def growth_progress(self) -> float:
        assert self.first_failing.crossing is not None
        return self.first_failing.crossing.growth_progress


def failing_rows(row_results: Sequence[RowResult]) -> list[RowResult]:
    """Rows whose budget is passed on the way to the size that is coming, the first ones first; rows that fail
    at today's size already are equals and stay in the table's order. Sums, and what a setting mends, are left
    out: a mechanism would count twice by the first and for nothing by the second."""
    late = [f for f in row_results if f.crossing is not None and f.crossing.growth_progress <= 1.0]
    late = [f for f in late if f.crossing is not None and f.crossing.is_certain]
    late = [f for f in late if not f.row.is_total and not f.row.remedy]
    return sorted(late, key=lambda f: f.crossing.growth_progress if f.crossing is not None else math.inf)


def rank_candidates(
    row_results: Sequence[RowResult], candidates: Sequence[Candidate]
) -> list[RankedCandidate]:
    """By the smallest size at which a row that it carries fails; of equals, who carries more failing rows."""
    late = failing_rows(row_results)
    ranks = []
    for candidate in candidates:
        carried = tuple(f for f in late if f.row.key in candidate.resolves)
        if carried:
            ranks.append(RankedCandidate(candidate, carried[0], carried))
    return sorted(ranks, key=lambda rank: (rank.growth_progress, -len(rank.failing)))


# --- Paces that several rows share.


@cache
def daily_rate_per_s(name: str) -> float:
    """An input counted a day, a second of it in the mean."""
    return inputs.input_value(name) / 86_400
