"""Fits: lines are recovered, other forms are named, and intervals cover at their stated rate."""

import math
from collections.abc import Callable
from pathlib import Path
from random import Random

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from whintrail.cli.root import root
from whintrail.scale.fitting import FitError, fit
from whintrail.scale.results import Sample, current_machine, sample, save_results

SIZES = (20, 80, 200, 800, 3000, 8000, 15_000)
SPREAD = (0.97, 1.0, 1.03)


def samples(value: Callable[[int], float], sizes: tuple[int, ...] = SIZES) -> list[Sample]:
    return [sample("cost_us", "us", (4, x), [value(x) * part for part in SPREAD], "core") for x in sizes]


@given(st.floats(0, 1e4), st.floats(1e-3, 1e4))
@settings(max_examples=60, deadline=None, derandomize=True)
def test_an_exact_line_is_recovered(intercept: float, slope: float) -> None:
    found = fit(samples(lambda x: intercept + slope * x), "cost_us", "engines")
    assert found.slope == pytest.approx(slope, rel=1e-6)
    assert found.intercept == pytest.approx(intercept, rel=1e-6, abs=1e-6 * slope * SIZES[0])
    assert found.form in ("linear", "constant")
    value, low, high = found.estimate_at(4000)
    assert low <= value <= high
    assert value == pytest.approx(intercept + slope * 4000, rel=1e-6)
    assert found.sizes == SIZES


@given(st.floats(0.3, 3.0).filter(lambda p: abs(p - 1) > 0.15), st.floats(0.01, 100))
@settings(max_examples=60, deadline=None, derandomize=True)
def test_a_power_is_named_with_its_exponent(exponent: float, factor: float) -> None:
    found = fit(samples(lambda x: factor * x**exponent), "cost_us", "engines")
    form_name, exponent_text = found.form.split()[:2]  # rounded to two digits
    assert form_name == "power"
    assert abs(float(exponent_text) - exponent) <= 0.005 + 1e-9
    assert found.exponent == pytest.approx(exponent, rel=1e-6)
    assert found.estimate_at(30_000)[0] == pytest.approx(factor * 30_000**exponent, rel=1e-6)


def test_other_forms_than_a_line_are_named() -> None:
    def fitted_form(value: Callable[[int], float]) -> str:
        return fit(samples(value), "cost_us", "engines").form

    assert fitted_form(lambda x: 7.0) == "constant"
    assert fitted_form(lambda x: 5 + 3 * x) == "linear"
    assert fitted_form(lambda x: 30 * x + 0.01 * x**2) == "quadratic"
    assert fitted_form(lambda x: 1.0 if x < 1000 else 50.0) == "step between 800 and 3000"
    assert fitted_form(lambda x: 1.0 if x % 800 else 50.0).startswith("no line")


def test_an_insignificant_slope_is_not_extrapolated() -> None:
    """With scatter around one level, an extrapolation stays at that level with the same interval."""
    scatter = dict(zip(SIZES[:5], (100.0, 97.0, 102.0, 99.0, 104.0), strict=True))
    found = fit(samples(lambda x: scatter[x], SIZES[:5]), "cost_us", "engines")
    assert found.form == "constant"
    value, low, high = found.estimate_at(1_000_000)
    assert value == found.estimate_at(20)[0] == pytest.approx(100, abs=2)
    assert 80 < low < high < 120


def test_a_value_of_zero_gets_no_extra_weight() -> None:
    found = fit(samples(lambda x: max(0.0, 2.0 * x - 40)), "cost_us", "engines")  # 0 at the first size
    assert found.form == "linear"
    assert found.slope == pytest.approx(2.0, rel=1e-6)
    assert found.worst_residual < 1e-6


def test_a_line_below_zero_is_a_line_and_has_no_exponent() -> None:
    found = fit(samples(lambda x: -5.0 - x), "cost_us", "engines")
    assert found.form == "linear"
    assert math.isnan(found.exponent)


def test_intervals_cover_noise_at_their_stated_rate() -> None:
    """With 400 lines with a noise of 5%, slopes and further measurements lie within their 95% intervals.

    The tolerance is three standard deviations of a share of 400.
    """
    random, slopes_covered, values_covered, runs = Random(5), 0, 0, 400
    tolerance = 3 * math.sqrt(0.95 * 0.05 / runs)
    for _ in range(runs):
        noisy = {x: (40 + 2 * x) * random.gauss(1, 0.05) for x in SIZES}
        found = fit(samples(lambda x, noisy=noisy: noisy[x]), "cost_us", "engines")  # type: ignore[misc]
        # Student's t with five degrees of freedom.
        slopes_covered += abs(found.slope - 2) <= 2.571 * found.slope_error
        further = (40 + 2 * 4000) * random.gauss(1, 0.05)
        _, low, high = found.estimate_at(4000)
        values_covered += low <= further <= high
    assert abs(slopes_covered / runs - 0.95) <= tolerance
    assert abs(values_covered / runs - 0.95) <= tolerance


@given(st.floats(0, 100), st.floats(0.01, 100), st.floats(1.5, 1000))
@settings(max_examples=40, deadline=None, derandomize=True)
def test_size_at_a_budget_is_where_the_line_crosses_it(intercept: float, slope: float, ratio: float) -> None:
    found = fit(samples(lambda x: intercept + slope * x), "cost_us", "engines")
    budget = (intercept + slope) * ratio
    size = found.size_at(budget)
    assert size is not None
    assert found.estimate_at(size)[0] == pytest.approx(budget, rel=1e-3)
    earliest, latest = found.size_range(budget)
    assert earliest is not None
    assert earliest <= size + 1e-3 * size
    assert latest is None or latest >= size - 1e-3 * size


def test_a_budget_reached_at_no_size_and_one_reached_at_every_size() -> None:
    found = fit(samples(lambda x: 100.0), "cost_us", "engines")
    assert found.size_at(1000) is None
    assert found.size_at(10) == 0.0


def test_only_the_requested_samples_are_fitted() -> None:
    line = samples(lambda x: 2.0 * x)
    other = [sample("cost_us", "us", (9, x), [7.0 * x], "core") for x in SIZES[:3]]
    real = [sample("cost_us", "us", (4, x), [9.0 * x], "real") for x in SIZES]
    assert fit([*line, *other, *real], "cost_us", "engines", kind="core").slope == pytest.approx(2)
    assert fit([*line, *other], "cost_us", "engines").other_size == 4
    with pytest.raises(FitError, match="no sample"):
        fit(line, "cost_us", "engines", day="zone lost")
    with pytest.raises(FitError, match="one size"):
        fit(line[:1], "cost_us", "engines")
    with pytest.raises(FitError, match="units"):
        fit([*line, sample("cost_us", "ms", (4, 9), [1.0], "core")], "cost_us", "engines")


def test_the_command_prints_a_row_per_quantity_and_rejects_invalid_files(tmp_path: Path) -> None:
    path = tmp_path / "some.json"
    save_results(path, "a command", 0.0, current_machine(), samples(lambda x: 5 + 3 * x), "")
    result = CliRunner().invoke(root, ["scale", "fit", str(path)])
    assert result.exit_code == 0
    assert "cost_us" in result.output
    assert "linear" in result.output
    (tmp_path / "bad.json").write_text("{}")
    result = CliRunner().invoke(root, ["scale", "fit", str(tmp_path / "bad.json")])
    assert result.exit_code == 1
