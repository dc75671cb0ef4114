"""The capacity model: evaluates rows of costs at a fleet size and compares them with their budgets.

A row is a function of the fleet size: measured costs (`fitting.py`) times rates of the program (`inputs.py`).
A value that was not measured is not guessed: the row names the missing quantity. The bounds of a sum are the
sums of the bounds, as if all errors had the same sign; that is wider than the range of independent errors.
The module does no I/O.
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
from whintrail.scale.rounding import exceeds

Dimension = Literal["engines", "gateways"]
RowDimension = Literal["engines", "gateways", "both", "neither"]
Statistic = Literal["value", "high"]
# Quantities that do not depend on the subset of engines that a gateway keeps: membership, consensus, and
# reading the engine list. The gateway's list update gets cheaper with a subset: where it was not measured
# with one, the cost with all engines serves as an upper bound.
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
WIDE_RANGE_RATIO = 2.0  # a range wider than this many times its value is inconclusive
SECONDS_PER_DAY = 86_400
SEARCH_LIMIT_FACTOR = 10.0  # crossings are searched for up to this many times the target size


class NotMeasured(LookupError):
    """No file has the quantity at two or more sizes; the message is the quantity's name."""


@dataclass(frozen=True, slots=True)
class Estimate:
    """A value with its 95% prediction interval, which always contains it."""

    value: float
    low: float
    high: float

    def __post_init__(self) -> None:
        """Orders the bounds: products and differences of bounds may swap them, if only by rounding."""
        bounds = (self.low, self.value, self.high)
        object.__setattr__(self, "low", min(bounds))
        object.__setattr__(self, "high", max(bounds))

    def __add__(self, other: "Estimate") -> "Estimate":
        return Estimate(self.value + other.value, self.low + other.low, self.high + other.high)

    @property
    def is_wide(self) -> bool:
        """Whether the range is too wide to be conclusive."""
        return not math.isfinite(self.high) or exceeds(self.high - self.low, WIDE_RANGE_RATIO * self.value)

    def __mul__(self, factor: float) -> "Estimate":
        """Scales value and range by a positive factor."""
        return Estimate(self.value * factor, self.low * factor, self.high * factor)


def exact(value: float) -> Estimate:
    """An estimate without uncertainty."""
    return Estimate(value, value, value)


@dataclass(frozen=True, slots=True)
class MeasurementKey:
    """Selects a measured quantity and the dimension over which it is fitted.

    `stat` "high" selects the 95th or 99th percentile of each sample in place of the median.
    """

    quantity: str
    grows_with: Dimension
    kind: Kind | None = None
    role: str | None = None
    note: str | None = None
    stat: Statistic = "value"
    day: str = "steady"


class FitCache:
    """Fits of the samples, each computed once. `subset`: engines that each gateway keeps; 0: all."""

    def __init__(self, samples: Sequence[Sample], subset: int = 0) -> None:
        self.samples, self.subset = list(samples), subset
        self.fits: dict[MeasurementKey, Fit | None] = {}

    def fit(self, key: MeasurementKey) -> Fit:
        """Returns the fit of a quantity. Raises NotMeasured if there are too few samples."""
        if key not in self.fits:
            samples = [s for s in self.samples if s.quantity == key.quantity]
            if key.stat == "high":
                samples = [_with_high_as_value(s) for s in samples]
            self.fits[key] = self._fit(samples, key)
        if (fitted := self.fits[key]) is None:
            raise NotMeasured(key.quantity)
        return fitted

    def _fit(self, samples: list[Sample], key: MeasurementKey) -> Fit | None:
        subset = self.subset
        if (
            subset
            and not any(s.subset == subset for s in samples)
            and key.quantity.startswith(SUBSET_INDEPENDENT_PREFIXES)
        ):
            subset = 0
        selection = {"kind": key.kind, "role": key.role, "subset": subset, "note": key.note, "day": key.day}
        try:
            return fit(samples, key.quantity, key.grows_with, **selection)  # type: ignore[arg-type]
        except FitError:
            if not subset:
                return None
        # Runs with a subset may grow both sizes in proportion, so that each gateway keeps as many engines.
        other_size = "gateways" if key.grows_with == "engines" else "engines"
        without_other_size = [replace(s, **{other_size: 0}) for s in samples]
        try:
            return fit(without_other_size, key.quantity, key.grows_with, **selection)  # type: ignore[arg-type]
        except FitError:
            return None


def _with_high_as_value(sample: Sample) -> Sample:
    return replace(sample, value=sample.high, low=sample.high)


@dataclass(slots=True)
class EvaluationPoint:
    """A fleet size at which rows are evaluated; records which measured quantities they use."""

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
        """Estimates a measured quantity at this size. Raises NotMeasured."""
        key = MeasurementKey(quantity, grows_with, kind, role, note, stat, day)
        if key not in self.used_keys:
            self.used_keys.append(key)
        size = self.engines if grows_with == "engines" else self.gateways
        fitted = self.fit_cache.fit(key)
        value, low, high = fitted.estimate_at(size)
        if value < 0 and size > max(fitted.sizes):  # no cost is negative: the fit fails this far out
            return Estimate(0.0, 0.0, math.inf)
        return Estimate(max(0.0, value), max(0.0, low), max(0.0, high))

    def estimate_slope(self, quantity: str, grows_with: Dimension, kind: Kind = "core") -> Estimate:
        """Estimates the increase per additional engine or gateway, from a linear fit. Raises NotMeasured."""
        key = MeasurementKey(quantity, grows_with, kind)
        if key not in self.used_keys:
            self.used_keys.append(key)
        fitted = self.fit_cache.fit(key)
        return Estimate(
            fitted.slope, fitted.slope - 2 * fitted.slope_error, fitted.slope + 2 * fitted.slope_error
        )


@dataclass(frozen=True, slots=True)
class Row:
    """One value of one role; `budget` is None if none was set."""

    key: str  # its name in files and in the ranking
    role: str
    description: str
    unit: str
    grows_with: RowDimension
    evaluate: Callable[[EvaluationPoint], Estimate]
    budget: float | None
    budget_name: str
    code_path: str  # "file:Name" of the code that bears the cost today; "" if there is none
    formula: str  # how the value is calculated, as text for the page
    remedy: str = ""  # the setting or small change that suffices; such rows are not ranked
    is_total: bool = False  # a sum of other rows, which are ranked themselves


@dataclass(frozen=True, slots=True)
class BudgetCrossing:
    """The smallest size at which a budget is exceeded."""

    # Engines or gateways; gateways for rows that grow with both. None: the budget is not exceeded at any size
    # up to SEARCH_LIMIT_FACTOR times the target size.
    size: float | None
    # 0 at the current size or below, 1 at the target size, inf if the budget is exceeded at no size.
    growth_progress: float
    earliest: float | None  # by the upper bound of the estimate
    latest: float | None  # by the lower bound
    # The smallest and the largest size at which all quantities of the row were measured; None: no limits.
    measured_range: tuple[int, int] | None = None

    @property
    def is_below_measured(self) -> bool:
        """Whether the smallest measured size exceeds the budget already: `size` is then an upper bound."""
        return (
            self.size is not None and self.measured_range is not None and self.size <= self.measured_range[0]
        )

    @property
    def is_certain(self) -> bool:
        """Whether the size is within the measured ones, or the lower bound exceeds the budget as well."""
        if self.size is None:
            return False
        return self.latest is not None or self.measured_range is None or self.size <= self.measured_range[1]


@dataclass(frozen=True, slots=True)
class RowResult:
    """The value of a row at a size, and where its budget is exceeded."""

    row: Row
    value: Estimate | None
    missing: str  # the quantity that was not measured; empty if none is
    crossing: BudgetCrossing | None
    used_keys: tuple[MeasurementKey, ...]
    is_extrapolated: bool = False  # the size is larger than the measured sizes of a quantity

    @property
    def is_inconclusive(self) -> bool:
        """Whether the value is extrapolated and its range too wide to be conclusive."""
        return self.value is not None and self.is_extrapolated and self.value.is_wide

    @property
    def is_exceeded(self) -> bool:
        """Whether the value exceeds the budget at the evaluated size.

        An inconclusive value counts only if its lower bound exceeds the budget as well, or if the budget is
        certainly exceeded at a smaller size.
        """
        if self.value is None or self.row.budget is None or not exceeds(self.value.value, self.row.budget):
            return False
        is_crossing_certain = self.crossing is not None and self.crossing.is_certain
        return not self.is_inconclusive or exceeds(self.value.low, self.row.budget) or is_crossing_certain

    @property
    def budget_share(self) -> float | None:
        """The share of the budget that is used."""
        return self.value.value / self.row.budget if self.value is not None and self.row.budget else None


def current_size() -> tuple[float, float]:
    """Gateways and engines of today's fleet."""
    return inputs.input_value("gateways_today"), inputs.input_value("engines_today")


def target_size() -> tuple[float, float]:
    """Gateways and engines of the fleet that is planned for."""
    return inputs.input_value("gateways"), inputs.input_value("engines")


def size_at_progress(progress: float) -> tuple[float, float]:
    """Interpolates gateways and engines: progress 0 is the current size, 1 the target size."""
    (current_gateways, current_engines), (target_gateways, target_engines) = current_size(), target_size()
    gateways = current_gateways + progress * (target_gateways - current_gateways)
    engines = current_engines + progress * (target_engines - current_engines)
    return max(1.0, gateways), max(1.0, engines)


def growth_progress(dimension: RowDimension, size: float) -> float:
    """The position of a size between the current (0) and the target size (1); 0 below the current size."""
    index = 1 if dimension == "engines" else 0
    current, target = current_size()[index], target_size()[index]
    return max(0.0, (size - current) / (target - current))


def _fleet_size_at(dimension: RowDimension) -> Callable[[float], tuple[float, float]]:
    """Maps a size in one dimension to gateways and engines, with the other one at the target size."""
    gateways, engines = target_size()
    if dimension == "engines":
        return lambda size: (gateways, size)
    if dimension == "gateways":
        return lambda size: (size, engines)
    return lambda size: size_at_progress((size - current_size()[0]) / (gateways - current_size()[0]))


def find_crossing(row: Row, fit_cache: FitCache) -> BudgetCrossing:
    """Finds where a row exceeds its budget. Raises NotMeasured, or ValueError if the row has no budget."""
    if row.budget is None:
        raise ValueError(f"row {row.key!r} has no budget")
    if row.grows_with == "neither":
        estimate = row.evaluate(EvaluationPoint(*target_size(), fit_cache))
        is_exceeded = exceeds(estimate.value, row.budget)
        size = 0.0 if is_exceeded else None
        return BudgetCrossing(size, 0.0 if is_exceeded else math.inf, size, size)
    fleet_size_at, budget = _fleet_size_at(row.grows_with), row.budget

    @cache
    def estimate_at(x: float) -> Estimate:
        return row.evaluate(EvaluationPoint(*fleet_size_at(x), fit_cache))

    def exceeds_budget(x: float, bound: str) -> bool:
        return exceeds(float(getattr(estimate_at(x), bound)), budget)

    max_size = SEARCH_LIMIT_FACTOR * target_size()[1 if row.grows_with == "engines" else 0]
    size_by_bound = {
        bound: _smallest_exceeding_size(lambda x, b=bound: exceeds_budget(x, b), max_size)  # type: ignore[misc]
        for bound in ("value", "high", "low")
    }
    size = size_by_bound["value"]
    progress = math.inf if size is None else growth_progress(row.grows_with, size)
    point = EvaluationPoint(*target_size(), fit_cache)
    row.evaluate(point)
    return BudgetCrossing(
        size,
        progress,
        size_by_bound["high"],
        size_by_bound["low"],
        _measured_range(row.grows_with, point.used_keys, fit_cache),
    )


def _measured_range(
    dimension: RowDimension, used_keys: Sequence[MeasurementKey], fit_cache: FitCache
) -> tuple[int, int] | None:
    """The range of sizes at which all quantities that a row uses were measured."""
    ranges = []
    for key in used_keys:
        if dimension in ("both", key.grows_with):
            with suppress(NotMeasured):  # the row used another quantity instead
                sizes = fit_cache.fit(key).sizes
                ranges.append((min(sizes), max(sizes)))
    if not ranges or dimension in ("both", "neither"):
        return None
    return max(low for low, _ in ranges), min(high for _, high in ranges)


def _smallest_exceeding_size(is_exceeded: Callable[[float], bool], max_size: float) -> float | None:
    """The smallest size from 1 on that exceeds, for an increasing value: a grid search, then bisection."""
    steps = 120
    grid = [math.exp(math.log(max_size) * index / steps) for index in range(steps + 1)]
    index = next((index for index, size in enumerate(grid) if is_exceeded(size)), None)
    if index is None:
        return None
    if index == 0:
        return 1.0
    low, high = grid[index - 1], grid[index]
    while high - low > 1e-4 * high:
        midpoint = (low + high) / 2
        low, high = (low, midpoint) if is_exceeded(midpoint) else (midpoint, high)
    return high


def evaluate_at_largest_measured(
    evaluate: Callable[[EvaluationPoint], Estimate], used_keys: Sequence[MeasurementKey], fit_cache: FitCache
) -> tuple[Estimate, tuple[float, float]]:
    """Evaluates at the largest size, up to the target size, at which all used quantities were measured.

    Returns the value and that size. Raises NotMeasured.
    """
    sizes = {"gateways": target_size()[0], "engines": target_size()[1]}
    for key in used_keys:
        with suppress(NotMeasured):  # the row used another quantity instead
            sizes[key.grows_with] = min(sizes[key.grows_with], max(fit_cache.fit(key).sizes))
    size = sizes["gateways"], sizes["engines"]
    return evaluate(EvaluationPoint(*size, fit_cache)), size


def is_extrapolated(point: EvaluationPoint) -> bool:
    """Whether the point is larger than all measured sizes of a quantity that was used at it."""
    for key in point.used_keys:
        with suppress(NotMeasured):  # the row used another quantity instead
            if max(point.fit_cache.fit(key).sizes) < getattr(point, key.grows_with):
                return True
    return False


def evaluate_row(row: Row, fit_cache: FitCache, size: tuple[float, float] | None = None) -> RowResult:
    """Evaluates a row at a size, by default the target size, and finds where its budget is exceeded."""
    point = EvaluationPoint(*(size or target_size()), fit_cache)
    try:
        value = row.evaluate(point)
        crossing = find_crossing(row, fit_cache) if row.budget is not None else None
    except NotMeasured as error:
        return RowResult(row, None, str(error), None, tuple(point.used_keys))
    return RowResult(row, value, "", crossing, tuple(point.used_keys), is_extrapolated(point))


# --- Ranking of candidates.


@dataclass(frozen=True, slots=True)
class Candidate:
    """A mechanism that does not exist yet, with the rows that it would bring within their budgets."""

    name: str
    resolves: Mapping[str, str]  # row key: why it would
    eases: Mapping[str, str]  # the same for rows that it only improves; these are not counted
    sources: str  # publications that describe the mechanism


@dataclass(frozen=True, slots=True)
class RankedCandidate:
    """A candidate with the failing rows that it resolves."""

    candidate: Candidate
    first_failing: RowResult  # the row that fails at the smallest size
    failing: tuple[RowResult, ...]  # by the size at which they fail

    @property
    def growth_progress(self) -> float:
        assert self.first_failing.crossing is not None
        return self.first_failing.crossing.growth_progress


def failing_rows(row_results: Sequence[RowResult]) -> list[RowResult]:
    """Rows that exceed their budget at the target size or below, by the size at which they do.

    Rows that fail at the current size already are equal and keep their order. Totals are left out because a
    mechanism would count twice, rows with a remedy because no mechanism is needed.
    """
    failing = [
        result
        for result in row_results
        if result.crossing is not None and result.crossing.growth_progress <= 1.0
    ]
    failing = [result for result in failing if result.crossing is not None and result.crossing.is_certain]
    failing = [result for result in failing if not result.row.is_total and not result.row.remedy]
    return sorted(
        failing,
        key=lambda result: result.crossing.growth_progress if result.crossing is not None else math.inf,
    )


def rank_candidates(
    row_results: Sequence[RowResult], candidates: Sequence[Candidate]
) -> list[RankedCandidate]:
    """Ranks candidates by the size at which the first row they resolve fails, then by the number of rows."""
    failing = failing_rows(row_results)
    ranked = []
    for candidate in candidates:
        resolved = tuple(result for result in failing if result.row.key in candidate.resolves)
        if resolved:
            ranked.append(RankedCandidate(candidate, resolved[0], resolved))
    return sorted(ranked, key=lambda entry: (entry.growth_progress, -len(entry.failing)))


# --- Rates that several rows share.


@cache
def daily_rate_per_s(name: str) -> float:
    """The mean rate per second of an input that is counted per day."""
    return inputs.input_value(name) / SECONDS_PER_DAY
