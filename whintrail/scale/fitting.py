"""What a quantity costs as a size grows: a line with its errors, or the name of what it is instead. Pure.

A line is fitted by least squares, each size weighted by the inverse square of its standard error. Costs are
taken over three decades of sizes, and their scatter between sizes (caches, a busy machine) goes with the
value: so the error of a size is at least `FLOOR` of its value. The errors count as known up to a common
factor, which the residuals give (Press et al., "Numerical Recipes", 3rd ed., 15.2). Intervals hold at 95%, by
Student's t.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Literal

import numpy as np
from numpy.typing import NDArray

from whintrail.scale.results import Kind, Sample

MIN_RELATIVE_ERROR = 0.02  # of the value: a size's median is never trusted better
MAX_RELATIVE_RESIDUAL = 0.15  # of the value: what lies further off the curve at some size is no such curve
MAX_LOOSE_RESIDUAL = 0.3  # the same for a line of which nothing says that it is another curve
MIN_EXPONENT_OFFSET = 0.1  # an exponent as near to 0 or 1 names no power
MIN_QUADRATIC_SHARE = 0.1  # of the line's rise: a quadratic term below it is not spoken of
MAX_CONSTANT_RISE = 0.05  # of the value: a rise below it over all sizes is none
MIN_STEP_SHARE = 0.9  # of the whole rise, between two neighbouring sizes: a step
NORMAL_95TH_PERCENTILE = 1.645  # the 5th and the 95th hundredth lie so many standard deviations off
MAX_SIZE = 1e9
# Student's t, 97.5th hundredth, by degrees of freedom from 1 on (e.g. NIST/SEMATECH e-Handbook, 1.3.6.7.2).
STUDENT_T_975 = (
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
    2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086,
)  # fmt: skip
SizeDimension = Literal["engines", "gateways"]
Curve = Callable[[float], tuple[float, float]]  # size: value, half the interval
FloatArray = NDArray[np.float64]


class FitError(ValueError):
    """There is nothing to fit: no sample of that name, or all at one size."""


@dataclass(frozen=True, slots=True)
class Fit:
    """value = intercept + slope x, or `form` where that is no line; what is asked of it follows the form."""

    quantity: str
    unit: str
    grows_with: SizeDimension
    intercept: float
    slope: float  # unit a size, of the line whatever the form
    slope_error: float  # one standard error
    exponent: float  # slope of log value over log size; nan where a value is not positive
    exponent_error: float
    form: (
        str  # linear, constant, "power P +- E", quadratic, "step between A and B", "no line: ...", and so on
    )
    sizes: tuple[int, ...]
    worst_residual: float  # the greatest residual of the line, against the value measured there
    other_size: int = 0  # the other size at which it was taken
    curve: Curve = field(repr=False, compare=False, default=lambda x: (math.nan, math.nan))

    def estimate_at(self, x: float) -> tuple[float, float, float]:
        """The value at a size, and the least and greatest that a measurement there would give, at 95%."""
        value, half = self.curve(x)
        return value, value - half, value + half

    def size_at(self, budget: float) -> float | None:
        """The smallest size at which the value reaches the budget; 0: at every size; None: at none."""
        return self._find_size(budget, 0)

    def size_range(self, budget: float) -> tuple[float | None, float | None]:
        """The same by the upper and by the lower end of the interval: earliest and latest."""
        return self._find_size(budget, 2), self._find_size(budget, 1)

    def _find_size(self, budget: float, bound_index: int) -> float | None:
        grid = np.geomspace(1.0, MAX_SIZE, 400)
        above = next(
            (place for place, x in enumerate(grid) if self.estimate_at(float(x))[bound_index] >= budget), None
        )
        if above is None:
            return None
        if above == 0:
            return 0.0
        low, high = float(grid[above - 1]), float(grid[above])
        for _ in range(60):
            middle = (low + high) / 2
            low, high = (low, middle) if self.estimate_at(middle)[bound_index] >= budget else (middle, high)
        return high


def student_t(degrees_of_freedom: int) -> float:
    """Half the width of a 95% interval, in standard errors; with no freedom left, as if they were known."""
    if degrees_of_freedom < 1:
        return 1.96
    return (
        STUDENT_T_975[degrees_of_freedom - 1]
        if degrees_of_freedom <= len(STUDENT_T_975)
        else 1.96 + 2.4 / degrees_of_freedom
    )


@dataclass(frozen=True, slots=True)
class LeastSquares:
    """Weighted least squares over columns of a design matrix."""

    coefficients: FloatArray
    covariance: FloatArray
    error_scale: float  # of the errors that were given, as the residuals show it
    degrees_of_freedom: int

    def standard_error(self, index: int) -> float:
        return float(math.sqrt(max(0.0, self.covariance[index, index])))


def solve_least_squares(design: FloatArray, values: FloatArray, errors: FloatArray) -> LeastSquares:
    weighted, aims = design / errors[:, None], values / errors
    norms = np.linalg.norm(weighted, axis=0)  # columns of 1 and of 15,000 squared: scaled alike first
    inverse = np.linalg.pinv(weighted / norms)
    found = inverse @ aims / norms
    freedom = len(values) - design.shape[1]
    left = aims - weighted @ found
    scale = math.sqrt(float(left @ left) / freedom) if freedom > 0 else 1.0
    covariance = (inverse @ inverse.T) / np.outer(norms, norms) * scale**2
    return LeastSquares(found, covariance, scale, freedom)


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
    """The samples at that other size which has the most sizes of this one, of equals the greater. A size of
    0 says that it bears on nothing: such samples are no part of it."""

    def other(sample: Sample) -> int:
        return sample.gateways if grows_with == "engines" else sample.engines

    found = [s for s in samples if s.quantity == quantity and s.subset == subset and s.day == day]
    found = [s for s in found if getattr(s, grows_with) > 0]
    found = [s for s in found if kind in (None, s.kind) and role in (None, s.role) and note in (None, s.note)]
    sizes: dict[int, set[int]] = {}
    for sample in found:
        sizes.setdefault(other(sample), set()).add(getattr(sample, grows_with))
    if not sizes:
        raise FitError(f"{quantity}: no sample")
    most = max(sizes, key=lambda size: (len(sizes[size]), size))
    kept = [s for s in found if other(s) == most]
    if len(sizes[most]) < 2:
        raise FitError(f"{quantity}: all samples at one size of {grows_with}")
    if len({s.unit for s in kept}) > 1:
        raise FitError(f"{quantity}: of several units")
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
    """Errors: FitError where there are no two sizes."""
    kept = select_samples(
        samples, quantity, grows_with, kind=kind, role=role, subset=subset, day=day, note=note
    )
    sizes = np.array([getattr(s, grows_with) for s in kept], dtype=np.float64)
    values = np.array([s.value for s in kept], dtype=np.float64)
    spread = np.array([(s.high - s.low) / (2 * NORMAL_95TH_PERCENTILE) for s in kept], dtype=np.float64)
    counts = np.array([max(1, s.n) for s in kept], dtype=np.float64)
    greatest = float(np.abs(values).max())
    tiny = max(greatest * 1e-9, 1e-12)
    # A median's standard error is 1.25 of a mean's. A value of 0 is not known beyond all others.
    against = np.maximum(np.abs(values), max(greatest * 1e-3, tiny))
    floor = MIN_RELATIVE_ERROR * against
    errors = np.maximum(np.hypot(1.25 * spread / np.sqrt(counts), floor), tiny)
    allowed = np.maximum(MAX_RELATIVE_RESIDUAL, spread / against)

    ones = np.ones_like(sizes)
    line = solve_least_squares(np.stack([ones, sizes], axis=1), values, errors)
    relative = np.abs(values - line.coefficients[0] - line.coefficients[1] * sizes) / against
    noise = float(np.median(errors / against))
    power = None
    exponent = exponent_error = math.nan
    if (values > 0).all() and (sizes > 0).all():
        power = solve_least_squares(np.stack([ones, np.log(sizes)], axis=1), np.log(values), errors / values)
        exponent, exponent_error = float(power.coefficients[1]), power.standard_error(1)

    form, curve = _classify(sizes, values, errors, allowed, noise, line, relative, power)
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
        worst_residual=float(relative.max()),
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
    relative: FloatArray,
    power: LeastSquares | None,
) -> tuple[str, Curve]:
    """What it is, and the curve that follows from it. The plainest that holds: a constant, a line, a power, a
    line with a square, a step."""
    straight = _polynomial_curve(line, noise)
    rise = abs(float(line.coefficients[1])) * float(sizes.max() - sizes.min())
    distinct = len(np.unique(sizes))
    mean = float(np.abs(values).mean())
    rises = abs(float(line.coefficients[1])) > student_t(line.degrees_of_freedom) * line.standard_error(1)
    if bool((relative <= allowed).all()) and rise <= MAX_CONSTANT_RISE * mean and rises:
        return "constant", straight  # but for a little that is sure
    flat = solve_least_squares(np.ones((len(sizes), 1)), values, errors)
    level = float(flat.coefficients[0])
    if (
        not rises
        and rise <= MAX_LOOSE_RESIDUAL * mean
        and bool((np.abs(values - level) <= allowed * abs(level)).all())
    ):
        return "constant", _polynomial_curve(
            flat, noise
        )  # further out a slope that may be none would say much
    bent = None
    if distinct >= 4:
        bent = solve_least_squares(np.stack([np.ones_like(sizes), sizes, sizes**2], axis=1), values, errors)
        square = float(bent.coefficients[2]) * float(sizes.max()) ** 2
        sure = abs(float(bent.coefficients[2])) > student_t(bent.degrees_of_freedom) * bent.standard_error(2)
        if not sure or abs(square) <= MIN_QUADRATIC_SHARE * rise:
            bent = None
    if bool((relative <= allowed).all()) and bent is None:
        return "linear" if distinct > 2 else "linear, of two sizes", straight
    away = (
        min(abs(float(power.coefficients[1])), abs(float(power.coefficients[1]) - 1))
        if power is not None
        else 0.0
    )
    if power is not None and away > max(MIN_EXPONENT_OFFSET, 2 * power.standard_error(1)):
        curve = _power_curve(power, noise)
        off = np.array([abs(curve(float(x))[0] / y - 1) for x, y in zip(sizes, values, strict=True)])
        if bool((off <= allowed).all()):
            return f"power {power.coefficients[1]:.2f} +- {power.standard_error(1):.2f}", curve
    if bent is not None:
        curve = _polynomial_curve(bent, noise)
        off = np.array([abs(curve(float(x))[0] - y) for x, y in zip(sizes, values, strict=True)])
        if bool((off <= allowed * np.abs(values)).all()):
            return "quadratic", curve
    levels = np.array([float(np.median(values[sizes == x])) for x in np.unique(sizes)])
    jumps = np.abs(np.diff(levels))
    largest = int(jumps.argmax())
    if distinct >= 4 and jumps[largest] >= MIN_STEP_SHARE * float(jumps.sum()):
        low, high = (int(x) for x in np.unique(sizes)[largest : largest + 2])
        return f"step between {low} and {high}", _interpolated_curve(
            np.unique(sizes), levels, float(relative.max())
        )
    bound = float(relative.max())
    if bound <= MAX_LOOSE_RESIDUAL:
        if rises or rise > MAX_LOOSE_RESIDUAL * mean:
            return f"linear, within {bound:.0%}", straight
        return f"constant, within {bound:.0%}", _polynomial_curve(flat, noise)
    return f"no line: off by up to {bound:.0%}", _interpolated_curve(np.unique(sizes), levels, bound)


def _polynomial_curve(squares: LeastSquares, noise: float) -> Curve:
    def curve(x: float) -> tuple[float, float]:
        row = np.array([x**power for power in range(len(squares.coefficients))], dtype=np.float64)
        value = float(row @ squares.coefficients)
        own = noise * squares.error_scale * abs(value)  # what a measurement there would scatter by itself
        half = student_t(squares.degrees_of_freedom) * math.sqrt(
            max(0.0, float(row @ squares.covariance @ row)) + own**2
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
    """Straight from size to size, and on from the last two; as uncertain as the line was wrong."""

    def curve(x: float) -> tuple[float, float]:
        value = float(np.interp(x, sizes, levels))
        if x > sizes[-1]:
            value += float((levels[-1] - levels[-2]) / (sizes[-1] - sizes[-2])) * (x - float(sizes[-1]))
        return value, bound * abs(value)

    return curve
