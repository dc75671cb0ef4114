"""Fits a measured quantity over the fleet size: a line with its errors, or another named form. Pure.

A line is fitted by weighted least squares; the weight of a size is the inverse square of its standard error.
Costs are measured over three decades of sizes, and their scatter between sizes (caches, a busy machine) is
proportional to the value, so the error of a size is at least `MIN_RELATIVE_ERROR` of its value. The errors
are taken as known up to a common factor, which is estimated from the residuals (Press et al., "Numerical
Recipes", 3rd ed., 15.2). All intervals are 95% intervals by Student's t. Coefficients and residuals of the
size of rounding errors are 0, and comparisons allow for rounding (`rounding.py`): forms and errors are the
same on every machine.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Literal

import numpy as np
from numpy.typing import NDArray

from whintrail.scale.results import Kind, Sample
from whintrail.scale.rounding import ROUNDING, exceeds, is_rounding_error, settle

MIN_RELATIVE_ERROR = 0.02  # of the value: lower limit of a median's standard error
MAX_RELATIVE_RESIDUAL = 0.15  # of the value: a form is rejected if any size lies further from its curve
MAX_LOOSE_RESIDUAL = 0.3  # of the value: for a line, where no other form fits
MIN_EXPONENT_OFFSET = 0.1  # an exponent closer to 0 or 1 is not reported as a power law
MIN_QUADRATIC_SHARE = 0.1  # of the line's rise: a smaller quadratic term is ignored
MAX_CONSTANT_RISE = 0.05  # of the mean value: a smaller rise over all sizes counts as constant
MIN_STEP_SHARE = 0.9  # of all changes between neighbouring sizes: a single larger one is a step
NORMAL_95TH_PERCENTILE = 1.645  # in standard deviations from the mean; the 5th is its negative
MAX_SIZE = 1e9
# 97.5th percentile of Student's t, by degrees of freedom from 1 (e.g. NIST/SEMATECH e-Handbook, 1.3.6.7.2).
STUDENT_T_975 = (
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
    2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086,
)  # fmt: skip
SizeDimension = Literal["engines", "gateways"]
Curve = Callable[[float], tuple[float, float]]  # size to value and half the width of its interval
FloatArray = NDArray[np.float64]


class FitError(ValueError):
    """The samples can't be fitted: none matches, all have the same size, or their units differ."""


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted curve.

    `intercept` and `slope` always describe the fitted line; estimates follow the curve named by `form`.
    """

    quantity: str
    unit: str
    grows_with: SizeDimension
    intercept: float
    slope: float  # in `unit` per engine or gateway
    slope_error: float  # one standard error
    exponent: float  # slope of log value over log size; nan where a value is not positive
    exponent_error: float
    # linear, constant, "power P +- E", quadratic, "step between A and B", "no line: ..." and variants
    form: str
    sizes: tuple[int, ...]
    worst_residual: float  # greatest residual of the line, relative to the measured value
    other_size: int = 0  # of the dimension that was kept constant
    curve: Curve = field(repr=False, compare=False, default=lambda x: (math.nan, math.nan))

    def estimate_at(self, x: float) -> tuple[float, float, float]:
        """Return the value at a size, and the low and high end of the 95% interval of a measurement there."""
        value, half = self.curve(x)
        return value, value - half, value + half

    def size_at(self, budget: float) -> float | None:
        """Return the smallest size at which the value reaches the budget; 0 for every size, None for none."""
        return self._find_size(budget, 0)

    def size_range(self, budget: float) -> tuple[float | None, float | None]:
        """Return the earliest and latest such size, by the upper and the lower end of the interval."""
        return self._find_size(budget, 2), self._find_size(budget, 1)

    def _find_size(self, budget: float, bound_index: int) -> float | None:
        grid = np.geomspace(1.0, MAX_SIZE, 400)
        first_above = next(
            (index for index, x in enumerate(grid) if self.estimate_at(float(x))[bound_index] >= budget), None
        )
        if first_above is None:
            return None
        if first_above == 0:
            return 0.0
        low, high = float(grid[first_above - 1]), float(grid[first_above])
        for _ in range(60):
            middle = (low + high) / 2
            low, high = (low, middle) if self.estimate_at(middle)[bound_index] >= budget else (middle, high)
        return high


def student_t(degrees_of_freedom: int) -> float:
    """Return half the width of a 95% interval in standard errors; that of the normal without any freedom."""
    if degrees_of_freedom < 1:
        return 1.96
    return (
        STUDENT_T_975[degrees_of_freedom - 1]
        if degrees_of_freedom <= len(STUDENT_T_975)
        else 1.96 + 2.4 / degrees_of_freedom
    )


@dataclass(frozen=True, slots=True)
class LeastSquares:
    """The solution of a weighted least-squares problem."""

    coefficients: FloatArray
    covariance: FloatArray
    error_scale: float  # common factor of the given errors, estimated from the residuals
    degrees_of_freedom: int

    def standard_error(self, index: int) -> float:
        return float(math.sqrt(max(0.0, self.covariance[index, index])))


def solve_least_squares(
    design: FloatArray, values: FloatArray, errors: FloatArray, magnitudes: FloatArray | None = None
) -> LeastSquares:
    """Fit `values`, each with its standard error, to the columns of a design matrix.

    `magnitudes`: what the values' rounding errors are relative to; by default the values themselves.
    """
    weighted_design, weighted_values = design / errors[:, None], values / errors
    reference = float(np.linalg.norm((np.abs(values) if magnitudes is None else magnitudes) / errors))
    # Columns differ by orders of magnitude (1 and 15,000 squared), so they are normalized first.
    norms = np.linalg.norm(weighted_design, axis=0)
    inverse = np.linalg.pinv(weighted_design / norms)
    contributions = inverse @ weighted_values
    contributions[np.abs(contributions) <= ROUNDING * reference] = 0.0
    coefficients = contributions / norms
    degrees_of_freedom = len(values) - design.shape[1]
    residuals = weighted_values - weighted_design @ coefficients
    residual_norm = math.sqrt(float(residuals @ residuals))
    if is_rounding_error(residual_norm, reference):
        residual_norm = 0.0
    error_scale = residual_norm / math.sqrt(degrees_of_freedom) if degrees_of_freedom > 0 else 1.0
    covariance = (inverse @ inverse.T) / np.outer(norms, norms) * error_scale**2
    return LeastSquares(coefficients, covariance, error_scale, degrees_of_freedom)


def select_samples(
    samples: Sequence[Sample],
    quantity: str,
    grows_with: SizeDimension,
    *,
    kind: Kind | None = None,
    role: str | None = None,
    subset: int = 0,
    day: str = "steady",
    note: str | None = None,
) -> list[Sample]:
    """Return the samples to fit, sorted by size.

    The other dimension is held constant: of its values, the one measured at the most sizes is chosen, and the
    greater one of equals. A size of 0 means that the sample does not depend on it; such samples are left out.
    """

    def other_size(sample: Sample) -> int:
        return sample.gateways if grows_with == "engines" else sample.engines

    found = [s for s in samples if s.quantity == quantity and s.subset == subset and s.day == day]
    found = [s for s in found if getattr(s, grows_with) > 0]
    found = [s for s in found if kind in (None, s.kind) and role in (None, s.role) and note in (None, s.note)]
    sizes: dict[int, set[int]] = {}
    for sample in found:
        sizes.setdefault(other_size(sample), set()).add(getattr(sample, grows_with))
    if not sizes:
        raise FitError(f"{quantity}: no sample")
    chosen = max(sizes, key=lambda size: (len(sizes[size]), size))
    kept = [s for s in found if other_size(s) == chosen]
    if len(sizes[chosen]) < 2:
        raise FitError(f"{quantity}: all samples at one size of {grows_with}")
    if len({s.unit for s in kept}) > 1:
        raise FitError(f"{quantity}: samples have different units")
    return sorted(kept, key=lambda s: getattr(s, grows_with))


def fit(
    samples: Sequence[Sample],
    quantity: str,
    grows_with: SizeDimension,
    *,
    kind: Kind | None = None,
    role: str | None = None,
    subset: int = 0,
    day: str = "steady",
    note: str | None = None,
) -> Fit:
    """Fit a quantity over a dimension. FitError if there are no two sizes."""
    kept = select_samples(
        samples, quantity, grows_with, kind=kind, role=role, subset=subset, day=day, note=note
    )
    sizes = np.array([getattr(s, grows_with) for s in kept], dtype=np.float64)
    values = np.array([s.value for s in kept], dtype=np.float64)
    spread = np.array([(s.high - s.low) / (2 * NORMAL_95TH_PERCENTILE) for s in kept], dtype=np.float64)
    counts = np.array([max(1, s.n) for s in kept], dtype=np.float64)
    max_value = float(np.abs(values).max())
    tiny = max(max_value * 1e-9, 1e-12)
    # A median's standard error is 1.25 times that of a mean. The reference value has a lower limit, since a
    # value of 0 would otherwise have an error of almost 0 and outweigh all others.
    reference = np.maximum(np.abs(values), max(max_value * 1e-3, tiny))
    min_errors = MIN_RELATIVE_ERROR * reference
    errors = np.maximum(np.hypot(1.25 * spread / np.sqrt(counts), min_errors), tiny)
    allowed = np.maximum(MAX_RELATIVE_RESIDUAL, spread / reference)

    ones = np.ones_like(sizes)
    line = solve_least_squares(np.stack([ones, sizes], axis=1), values, errors)
    residuals = np.abs(values - line.coefficients[0] - line.coefficients[1] * sizes) / reference
    residuals[residuals <= ROUNDING] = 0.0
    noise = float(np.median(errors / reference))
    power = None
    exponent = exponent_error = math.nan
    if (values > 0).all() and (sizes > 0).all():
        power = solve_least_squares(
            np.stack([ones, np.log(sizes)], axis=1), np.log(values), errors / values, ones
        )
        exponent, exponent_error = float(power.coefficients[1]), power.standard_error(1)

    form, curve = _classify(sizes, values, errors, allowed, noise, line, residuals, power)
    return Fit(
        quantity=quantity,
        unit=kept[0].unit,
        grows_with=grows_with,
        intercept=float(line.coefficients[0]),
        slope=float(line.coefficients[1]),
        slope_error=line.standard_error(1),
        exponent=exponent,
        exponent_error=exponent_error,
        form=form,
        sizes=tuple(int(size) for size in np.unique(sizes)),
        worst_residual=float(residuals.max()),
        other_size=kept[0].gateways if grows_with == "engines" else kept[0].engines,
        curve=curve,
    )


def _classify(
    sizes: FloatArray,
    values: FloatArray,
    errors: FloatArray,
    allowed: FloatArray,
    noise: float,
    line: LeastSquares,
    residuals: FloatArray,
    power: LeastSquares | None,
) -> tuple[str, Curve]:
    """Name the simplest form that fits and return its curve.

    The forms are tried in this order: constant, line, power, quadratic, step.
    """
    allowed = allowed * (1 + ROUNDING)
    line_curve = _polynomial_curve(line, noise)
    rise = abs(float(line.coefficients[1])) * float(sizes.max() - sizes.min())
    size_count = len(np.unique(sizes))
    mean = float(np.abs(values).mean())
    is_rising = exceeds(
        abs(float(line.coefficients[1])), student_t(line.degrees_of_freedom) * line.standard_error(1)
    )
    if bool((residuals <= allowed).all()) and not exceeds(rise, MAX_CONSTANT_RISE * mean) and is_rising:
        return "constant", line_curve  # the slope is significant but small
    flat = solve_least_squares(np.ones((len(sizes), 1)), values, errors)
    mean_level = float(flat.coefficients[0])
    if (
        not is_rising
        and not exceeds(rise, MAX_LOOSE_RESIDUAL * mean)
        and bool((np.abs(values - mean_level) <= allowed * abs(mean_level)).all())
    ):
        # An insignificant slope would dominate the estimate when extrapolated, so it is dropped.
        return "constant", _polynomial_curve(flat, noise)
    quadratic = None
    if size_count >= 4:
        quadratic = solve_least_squares(
            np.stack([np.ones_like(sizes), sizes, sizes**2], axis=1), values, errors
        )
        quadratic_rise = float(quadratic.coefficients[2]) * float(sizes.max()) ** 2
        is_significant = exceeds(
            abs(float(quadratic.coefficients[2])),
            student_t(quadratic.degrees_of_freedom) * quadratic.standard_error(2),
        )
        if not is_significant or not exceeds(abs(quadratic_rise), MIN_QUADRATIC_SHARE * rise):
            quadratic = None
    if bool((residuals <= allowed).all()) and quadratic is None:
        return "linear" if size_count > 2 else "linear, of two sizes", line_curve
    exponent_offset = (
        min(abs(float(power.coefficients[1])), abs(float(power.coefficients[1]) - 1))
        if power is not None
        else 0.0
    )
    if power is not None and exceeds(exponent_offset, max(MIN_EXPONENT_OFFSET, 2 * power.standard_error(1))):
        curve = _power_curve(power, noise)
        deviations = np.array([abs(curve(float(x))[0] / y - 1) for x, y in zip(sizes, values, strict=True)])
        if bool((deviations <= allowed).all()):
            exponent, error = settle(float(power.coefficients[1])), settle(power.standard_error(1))
            return f"power {exponent:.2f} +- {error:.2f}", curve
    if quadratic is not None:
        curve = _polynomial_curve(quadratic, noise)
        deviations = np.array([abs(curve(float(x))[0] - y) for x, y in zip(sizes, values, strict=True)])
        if bool((deviations <= allowed * np.abs(values)).all()):
            return "quadratic", curve
    levels = np.array([float(np.median(values[sizes == x])) for x in np.unique(sizes)])
    jumps = np.abs(np.diff(levels))
    largest = int(jumps.argmax())
    if size_count >= 4 and not exceeds(MIN_STEP_SHARE * float(jumps.sum()), float(jumps[largest])):
        low, high = (int(x) for x in np.unique(sizes)[largest : largest + 2])
        return f"step between {low} and {high}", _interpolated_curve(
            np.unique(sizes), levels, float(residuals.max())
        )
    bound = float(residuals.max())
    bound_text = f"{settle(bound):.0%}"
    if not exceeds(bound, MAX_LOOSE_RESIDUAL):
        if is_rising or exceeds(rise, MAX_LOOSE_RESIDUAL * mean):
            return f"linear, within {bound_text}", line_curve
        return f"constant, within {bound_text}", _polynomial_curve(flat, noise)
    return f"no line: off by up to {bound_text}", _interpolated_curve(np.unique(sizes), levels, bound)


def _polynomial_curve(squares: LeastSquares, noise: float) -> Curve:
    def curve(x: float) -> tuple[float, float]:
        row = np.array([x**power for power in range(len(squares.coefficients))], dtype=np.float64)
        value = float(row @ squares.coefficients)
        if is_rounding_error(value, float(np.abs(row) @ np.abs(squares.coefficients))):
            value = 0.0
        own_scatter = noise * squares.error_scale * abs(value)  # the scatter of a single measurement
        half = student_t(squares.degrees_of_freedom) * math.sqrt(
            max(0.0, float(row @ squares.covariance @ row)) + own_scatter**2
        )
        return value, half

    return curve


def _power_curve(squares: LeastSquares, noise: float) -> Curve:
    def curve(x: float) -> tuple[float, float]:
        row = np.array([1.0, math.log(max(x, 1e-9))])
        value = math.exp(min(700.0, float(row @ squares.coefficients)))
        spread = math.sqrt(
            max(0.0, float(row @ squares.covariance @ row)) + (noise * squares.error_scale) ** 2
        )
        return value, value * math.expm1(min(700.0, student_t(squares.degrees_of_freedom) * spread))

    return curve


def _interpolated_curve(sizes: FloatArray, levels: FloatArray, bound: float) -> Curve:
    """Interpolate linearly between sizes and extrapolate from the last two.

    The interval is the relative bound that the line's residuals gave.
    """

    def curve(x: float) -> tuple[float, float]:
        value = float(np.interp(x, sizes, levels))
        if x > sizes[-1]:
            last_level = value
            value += float((levels[-1] - levels[-2]) / (sizes[-1] - sizes[-2])) * (x - float(sizes[-1]))
            if is_rounding_error(value, last_level):
                value = 0.0
        return value, bound * abs(value)

    return curve
