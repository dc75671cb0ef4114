"""The last bits of a calculated value, which differ between machines, show in no text and in no decision."""

import math
from collections.abc import Callable
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from whintrail.scale import tables
from whintrail.scale.capacity import Estimate
from whintrail.scale.fitting import fit
from whintrail.scale.page import (
    CAPACITY_PAGE,
    RESULTS_FOLDER,
    changed_lines,
    fill_tables,
    read_code_locations,
    read_predictions,
    read_results,
)
from whintrail.scale.results import Sample, sample

SIZES = (20, 80, 200, 800, 3000, 8000, 15_000)
SEEDS = range(6)


def neighbours(value: float) -> list[float]:
    """The number itself and those next to it among the doubles."""
    return [value, math.nextafter(value, -math.inf), math.nextafter(value, math.inf)]


def moved(value: float, random: Random) -> float:
    """The number, up to four units of its last place off; 0 has no such place."""
    return value + random.randint(-4, 4) * math.ulp(value) if value else value


def with_moved_values(samples: list[Sample], random: Random) -> list[Sample]:
    return [
        msgspec.structs.replace(
            s, value=moved(s.value, random), low=moved(s.low, random), high=moved(s.high, random)
        )
        for s in samples
    ]


def samples_on(curve: Callable[[int], float]) -> list[Sample]:
    return [sample("cost_us", "us", (4, x), [curve(x)], "core") for x in SIZES]


# --- The page.


@pytest.mark.parametrize("seed", SEEDS)
def test_last_bits_of_the_samples_do_not_change_the_page(seed: int) -> None:
    random = Random(seed)
    results = {
        name: msgspec.structs.replace(one, samples=with_moved_values(list(one.samples), random))
        for name, one in read_results(RESULTS_FOLDER).items()
    }
    page = CAPACITY_PAGE.read_text()
    tables_by_name = tables.render_tables(
        results, read_predictions(RESULTS_FOLDER), read_code_locations(RESULTS_FOLDER)
    )
    assert changed_lines(page, fill_tables(page, tables_by_name)) == []
    assert fill_tables(page, tables_by_name) == page


# --- Numbers as text.


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (1.0, "1"),
        (0.1 + 0.2, "0.300"),
        (3.0, "3"),
        (15_000.0, "15,000"),
        (1_234_567.0, "1,234,567"),
        (1e7, "10,000,000"),
        (-1.0, "-1"),
        (0.1, "0.100"),
        (1e-7, "0.000000100"),
        (0.6785, "0.678"),
        (528.5, "528"),
    ],
)
def test_a_number_and_its_neighbours_have_one_text(value: float, text: str) -> None:
    assert {tables.format_number(number) for number in neighbours(value)} == {text}


def test_a_share_and_its_neighbours_have_one_text() -> None:
    shares = [0.3, 0.1 + 0.2, *neighbours(0.3), *neighbours(0.1 + 0.2)]
    assert {tables.format_quantity(share, "share") for share in shares} == {"30%"}


@pytest.mark.parametrize(
    ("value", "unit", "text"),
    [(1e6, "bytes", "0.954 MB"), (1e4, "bytes", "9.77 KB"), (1e4, "bytes/s", "9.77 KB/s")],
)
def test_a_unit_begins_at_one_number(value: float, unit: str, text: str) -> None:
    assert {tables.format_quantity(number, unit) for number in neighbours(value)} == {text}


@pytest.mark.parametrize(
    ("value", "text"), [(1.0, "1.000"), (-1.0, "-1.000"), (2.0, "2.00"), (1.1, "1.10"), (0.0, "0")]
)
def test_a_ratio_counts_nothing_and_has_one_text(value: float, text: str) -> None:
    numbers = neighbours(value) if value else [0.0, -0.0]
    assert {tables.format_ratio(number) for number in numbers} == {text}


@given(st.floats(1e-9, 1e12), st.floats(-0.9e-9, 0.9e-9))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_a_number_within_rounding_is_written_as_the_one_with_few_digits(value: float, off: float) -> None:
    for simple in (float(f"{value:.4g}"), float(round(value)) if value < 1e7 else 0.0):
        if simple:
            assert tables.format_number(simple * (1 + off)) == tables.format_number(simple)
            assert tables.format_ratio(simple * (1 + off)) == tables.format_ratio(simple)


# --- Fits and estimates.


@pytest.mark.parametrize("seed", SEEDS)
def test_errors_of_the_size_of_rounding_are_zero(seed: int) -> None:
    random = Random(seed)
    level = fit(with_moved_values(samples_on(lambda x: 7.3), random), "cost_us", "engines")
    assert (level.slope, level.slope_error, level.exponent, level.exponent_error) == (0, 0, 0, 0)
    line = fit(with_moved_values(samples_on(lambda x: 0.1 * x), random), "cost_us", "engines")
    assert (line.intercept, line.slope_error, line.exponent_error) == (0, 0, 0)
    ones = fit(with_moved_values(samples_on(lambda x: 1.0), random), "cost_us", "engines")
    assert (ones.slope, ones.exponent, ones.exponent_error) == (0, 0, 0)


@pytest.mark.parametrize(
    ("curve", "form"),
    [
        (lambda x: 7.3, "constant"),
        (lambda x: 5 + 0.1 * x, "linear"),
        (lambda x: 3.0 / x, "power -1.00 +- 0.00"),
        (lambda x: 30 * x + 0.01 * x**2, "quadratic"),
        (lambda x: 2.0 if x < 500 else 11.0 if x < 1000 else 12.0, "step between 200 and 800"),
    ],
)
def test_last_bits_do_not_change_the_form(curve: Callable[[int], float], form: str) -> None:
    for seed in SEEDS:
        samples = with_moved_values(samples_on(curve), Random(seed))
        assert fit(samples, "cost_us", "engines").form == form


@given(st.floats(-1e9, 1e9), st.floats(-1e9, 1e9), st.floats(-1e9, 1e9))
@settings(max_examples=100, deadline=None, derandomize=True)
def test_an_estimate_lies_within_its_range(value: float, low: float, high: float) -> None:
    estimate = Estimate(value, low, high)
    assert estimate.low <= estimate.value <= estimate.high
    assert estimate.low <= min(low, high) <= max(low, high) <= estimate.high
    product = estimate * 0.1 + estimate * 0.2
    assert product.low <= product.value <= product.high
