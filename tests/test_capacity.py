"""The capacity model on samples made by the tests; no measured results are used."""

import math
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from whintrail.scale import candidates, capacity, inputs, rates, rows, tables
from whintrail.scale.capacity import (
    BudgetCrossing,
    Candidate,
    Estimate,
    EvaluationPoint,
    FitCache,
    NotMeasured,
    Row,
    RowResult,
    exact,
)
from whintrail.scale.fitting import Fit
from whintrail.scale.page import (
    ROOT,
    check,
    find_code_locations,
    find_dimension,
    predict,
    read_results,
    report,
)
from whintrail.scale.results import Sample, current_machine, save_results

ENGINES, GATEWAYS = (20, 80, 320, 1280, 5000), (20, 50, 200, 800)


def with_changes(sample: Sample, **changes: Any) -> Sample:
    return msgspec.structs.replace(sample, **changes)


def samples_on_line(
    quantity: str,
    slope: float,
    base: float = 0.0,
    dimension: str = "engines",
    spread: float = 0.02,
    **changes: Any,
) -> list[Sample]:
    """Samples on a line, as in one results file."""
    samples = []
    for fleet_size in ENGINES if dimension == "engines" else GATEWAYS:
        value = base + slope * fleet_size
        size = {"gateways": 200, "engines": 80} | {dimension: fleet_size}
        fields: dict[str, Any] = {"quantity": quantity, "unit": "us", "n": 9, "kind": "core"} | size | changes
        samples.append(Sample(value=value, low=value * (1 - spread), high=value * (1 + spread), **fields))
    return samples


def value_of(result: RowResult | rates.FactResult) -> Estimate:
    assert result.value is not None, result.missing
    return result.value


def crossing_of(result: RowResult) -> BudgetCrossing:
    assert result.crossing is not None, result.missing
    return result.crossing


def find_row(key: str, **changes: Any) -> Row:
    return replace(next(row for row in rows.ROWS if row.key == key), **changes)


def test_row_is_slope_times_rate_with_the_size_at_which_its_budget_is_exceeded() -> None:
    result = capacity.evaluate_row(
        find_row("refresh_cpu"), FitCache(samples_on_line("module_refresh_us", 3.5))
    )
    assert result.value is not None and result.crossing is not None
    assert value_of(result).value == pytest.approx(3.5 * 15_000 * 5 / 1e6, rel=0.01)
    assert result.is_exceeded and result.budget_share == pytest.approx(0.2625 / 0.014, rel=0.01)
    assert crossing_of(result).size == pytest.approx(0.014 * 1e6 / 5 / 3.5, rel=0.01)  # 800 engines
    assert crossing_of(result).growth_progress == pytest.approx((800 - 80) / 14_920, rel=0.02)
    crossing = crossing_of(result)
    assert crossing.earliest is not None and crossing.size is not None and crossing.latest is not None
    assert crossing.earliest <= crossing.size <= crossing.latest


def test_row_with_a_missing_measurement_names_it_and_has_no_value() -> None:
    result = capacity.evaluate_row(find_row("cpu_sum"), FitCache(samples_on_line("module_refresh_us", 3.5)))
    assert (result.value, result.missing, result.crossing) == (None, "module_sweep_us", None)
    assert not result.is_exceeded and result.budget_share is None
    one_size = [sample for sample in samples_on_line("module_refresh_us", 3.5) if sample.engines == 80]
    assert capacity.evaluate_row(find_row("refresh_cpu"), FitCache(one_size)).missing == "module_refresh_us"


def test_probe_report_cpu_is_datagrams_times_the_time_of_one() -> None:
    samples = samples_on_line("memo_datagrams_per_s", 1 / 0.6) + samples_on_line("memo_bytes_per_s", 38 / 0.6)
    samples += samples_on_line("module_memo_us", 0.0, 7.5)
    result = capacity.evaluate_row(find_row("memo_cpu"), FitCache(samples))
    assert value_of(result).value == pytest.approx(25_000 * 7.5 / 1e6, rel=0.01)
    assert value_of(result).low <= value_of(result).value <= value_of(result).high


def test_samples_with_a_subset_are_fitted_apart_from_those_without() -> None:
    samples = samples_on_line("module_refresh_us", 3.5) + samples_on_line(
        "module_refresh_us", 0.0, 100.0, subset=64
    )
    all_engines, subset_of_64 = FitCache(samples), FitCache(samples, subset=64)
    assert capacity.evaluate_row(find_row("refresh_cpu"), all_engines).is_exceeded
    assert not capacity.evaluate_row(find_row("refresh_cpu"), subset_of_64).is_exceeded
    text = tables.subsets_table(samples)
    assert "64 kept" in text and "| refresh_cpu |" in text


def test_p99_is_fitted_on_the_high_values() -> None:
    samples = samples_on_line(
        "version_in_force_s", 0.0, 3.0, dimension="gateways", kind="simulated", note="one after another"
    )
    samples = [with_changes(sample, high=4.9) for sample in samples]
    result = capacity.evaluate_row(find_row("version_in_force"), FitCache(samples))
    assert value_of(result).value == pytest.approx(4.9)
    assert value_of(
        capacity.evaluate_row(find_row("versions_queue"), FitCache(samples))
    ).value == pytest.approx(3.0 * 64_000 / 86_400)
    other_note = [with_changes(sample, note="at 1/s") for sample in samples]
    assert (
        capacity.evaluate_row(find_row("version_in_force"), FitCache(other_note)).missing
        == "version_in_force_s"
    )


def test_rows_that_grow_with_neither_exceed_at_any_size_or_at_none() -> None:
    assert crossing_of(capacity.evaluate_row(find_row("clients"), FitCache([]))).size == 0
    not_exceeded = crossing_of(capacity.evaluate_row(find_row("clients", budget=1e9), FitCache([])))
    assert not_exceeded.size is None and not_exceeded.growth_progress == math.inf


def test_row_of_both_dimensions_crosses_between_current_and_target_size() -> None:
    both = find_row(
        "bulletin_lists", evaluate=lambda point: exact(point.gateways * point.engines), budget=2100 * 7540
    )
    result = capacity.evaluate_row(both, FitCache([]))
    assert crossing_of(result).growth_progress == pytest.approx(0.5, abs=0.001)
    assert tables.crossing_cell("both", result.crossing) == "2,100 and 7,540 gateways and engines"


def test_growth_progress_runs_from_current_to_target_size() -> None:
    assert capacity.size_at_progress(0) == (200, 80) and capacity.size_at_progress(1) == (4000, 15_000)
    assert capacity.growth_progress("engines", 80) == 0 == capacity.growth_progress("gateways", 12)
    assert capacity.growth_progress("gateways", 2100) == 0.5


def row_failing_at(key: str, progress: float, **changes: Any) -> RowResult:
    """A result whose budget is exceeded at this progress from current to target size."""
    size = capacity.size_at_progress(progress)[1]
    row = Row(
        key, "role", key, "count", "engines", lambda point: exact(point.engines), size, "b", "", "", **changes
    )
    return capacity.evaluate_row(row, FitCache([]))


def candidate_for(name: str, *keys: str) -> Candidate:
    return Candidate(name, dict.fromkeys(keys, "because"), {"c": "in part"}, "")


def test_ranking_is_by_the_smallest_size_and_then_by_the_number_of_resolved_rows() -> None:
    results = [
        row_failing_at("a", 0.3),
        row_failing_at("b", 0.1),
        row_failing_at("c", -0.001),
        row_failing_at("d", -0.002),
    ]
    ranked = capacity.rank_candidates(
        results, [candidate_for("late", "a", "b"), candidate_for("one", "c"), candidate_for("two", "d", "a")]
    )
    # c and d both fail at the current size.
    assert [entry.candidate.name for entry in ranked] == ["two", "one", "late"]
    assert [len(entry.failing) for entry in ranked] == [2, 1, 2]


def test_eased_rows_totals_and_rows_with_a_remedy_are_not_counted() -> None:
    results = [
        row_failing_at("a", 0.3, is_total=True),
        row_failing_at("b", 0.1, remedy="`sockets`"),
        row_failing_at("c", 0.2),
    ]
    assert [result.row.key for result in capacity.failing_rows(results)] == ["c"]
    assert capacity.rank_candidates(results, [candidate_for("x", "a", "b")]) == []


def test_budget_exceeded_beyond_the_target_size_is_not_failing() -> None:
    assert capacity.failing_rows([row_failing_at("a", 1.2)]) == []
    assert crossing_of(row_failing_at("a", 1.2)).growth_progress == pytest.approx(1.2, rel=0.001)


def test_candidates_name_existing_rows_and_give_reasons() -> None:
    keys = {row.key for row in rows.ROWS}
    assert len(keys) == len(rows.ROWS)
    for candidate in candidates.CANDIDATES:
        assert set(candidate.resolves) | set(candidate.eases) <= keys
        assert not set(candidate.resolves) & set(candidate.eases)
        assert all([*candidate.resolves.values(), *candidate.eases.values()])


def test_every_input_has_a_reason_and_one_name() -> None:
    assert len(inputs.INPUT_BY_NAME) == len(inputs.ALL_INPUTS)
    assert all(entry.reason and entry.unit for entry in inputs.ALL_INPUTS)
    assert inputs.input_value("refresh_per_s") == 5 and inputs.input_value("probe_shared_s") == 0.6


def test_code_paths_resolve_and_a_removed_name_is_an_error() -> None:
    code_locations = find_code_locations(ROOT, sorted({row.code_path for row in rows.ROWS if row.code_path}))
    assert code_locations["whintrail/routing.py:RoutingPolicy._refresh_weights"].startswith(
        "whintrail/routing.py:"
    )
    with pytest.raises(ValueError, match="nothing is not defined there"):
        find_code_locations(ROOT, ["whintrail/routing.py:RoutingPolicy.nothing"])


def find_fact(key: str) -> rates.Fact:
    return next(fact for fact in rates.FACTS if fact.key == key)


def test_sequential_changes_leave_those_the_day_has_no_time_for() -> None:
    samples = samples_on_line(
        "version_in_force_s", 0.0, 3.0, dimension="gateways", kind="simulated", note="one after another"
    )
    result = rates.evaluate_fact(find_fact("mean_left"), FitCache(samples))
    assert value_of(result).value == pytest.approx(64_000 - 86_400 / 3.0) and result.is_exceeded
    assert value_of(result).low <= value_of(result).value <= value_of(result).high
    last_of_burst = value_of(rates.evaluate_fact(find_fact("burst_last"), FitCache(samples))).value
    assert last_of_burst == pytest.approx(64_000 / 86_400 * 10 * 600 * 3.0 - 600)
    fast_changes = samples_on_line(
        "version_in_force_s", 0.0, 0.1, dimension="gateways", kind="simulated", note="one after another"
    )
    assert not rates.evaluate_fact(find_fact("mean_left"), FitCache(fast_changes)).is_exceeded
    assert value_of(
        rates.evaluate_fact(find_fact("burst_last"), FitCache(fast_changes))
    ).value == pytest.approx(0.1)


def test_a_zone_is_a_nineteenth_of_the_fleet_and_more_than_may_be_out() -> None:
    result = rates.evaluate_fact(find_fact("zone_gateways"), FitCache([]))
    assert value_of(result).value == pytest.approx(4000 / 19) and result.is_exceeded
    assert rates.evaluate_fact(find_fact("rack_stand"), FitCache([])).missing == "module_list_delta_us"
    stand = rates.evaluate_fact(
        find_fact("rack_stand"), FitCache(samples_on_line("module_list_delta_us", 1.5))
    )
    assert value_of(stand).value == pytest.approx(40 * 1.5 * 15_000 / 1e6, rel=0.01)


def test_extrapolated_value_says_up_to_which_size_it_was_measured() -> None:
    fit_cache = FitCache(samples_on_line("module_refresh_us", 3.5))
    result = capacity.evaluate_row(find_row("refresh_cpu"), fit_cache)
    text = tables.value_cell(
        result.value, "", "share", result.used_keys, fit_cache, result.row.evaluate, result.is_inconclusive
    )
    assert text.endswith("foretold: module_refresh_us was taken up to 5,000 engines")


@pytest.mark.parametrize(
    ("value", "text"),
    [(0, "0"), (15_000, "15,000"), (0.01234, "0.0123"), (48.04, "48.0"), (123_456.7, "123,000")],
)
def test_numbers_as_text(value: float, text: str) -> None:
    assert tables.format_number(value) == text


# --- Predictions.


def requested_sample(engines: int) -> Sample:
    placeholders: dict[str, Any] = {"unit": "", "value": 0.0, "low": 0.0, "high": 0.0, "n": 1, "kind": "core"}
    return Sample(quantity="module_refresh_us", gateways=200, engines=engines, **placeholders)


def test_a_prediction_is_written_before_its_run_only() -> None:
    samples = samples_on_line("module_refresh_us", 3.5)
    assert find_dimension("module_refresh_us", samples) == "engines"
    prediction = predict(samples, requested_sample(15_000), "engines", 0.0)
    assert (
        prediction.value == pytest.approx(52_500, rel=0.01)
        and prediction.low < prediction.value < prediction.high
    )
    assert prediction.sizes == ENGINES and prediction.written_at == "1970-01-01T00:00:00Z"
    with pytest.raises(ValueError, match="measured already"):
        predict(samples, requested_sample(5000), "engines", 0.0)


def write_results_file(tmp_path: Path, name: str, samples: list[Sample], started_at_s: float) -> None:
    save_results(tmp_path / name, "test", started_at_s, current_machine(), samples, "")


def test_prediction_is_compared_with_later_runs_only(tmp_path: Path) -> None:
    prediction = predict(
        samples_on_line("module_refresh_us", 3.5), requested_sample(15_000), "engines", 1000.0
    )
    measured = [with_changes(requested_sample(15_000), value=52_500.0, unit="us")]
    write_results_file(tmp_path, "before.json", measured, 900.0)
    assert "not run" in tables.predictions_table([prediction], list(read_results(tmp_path).values()))
    write_results_file(tmp_path, "after.json", measured, 1100.0)
    text = tables.predictions_table([prediction], list(read_results(tmp_path).values()))
    assert "| 52,500 us | 1.000 | yes |" in text
    outside_range = [with_changes(measured[0], value=90_000.0)]
    write_results_file(tmp_path, "after.json", outside_range, 1100.0)
    assert "**no**" in tables.predictions_table([prediction], list(read_results(tmp_path).values()))


# --- Commands.


def test_check_exits_with_1_when_a_budget_is_exceeded_and_with_0_otherwise(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(rows, "ROWS", (find_row("refresh_cpu"),))
    write_results_file(tmp_path, "x.json", samples_on_line("module_refresh_us", 3.5), 0.0)
    large = CliRunner().invoke(check, ["--results", str(tmp_path)])
    assert large.exit_code == 1 and "refresh_cpu" in large.output
    small = CliRunner().invoke(check, ["--results", str(tmp_path), "--gateways", "200", "--engines", "80"])
    assert small.exit_code == 0, small.output


def test_report_writes_predictions_for_sizes_not_measured_yet(tmp_path: Path) -> None:
    write_results_file(tmp_path, "x.json", samples_on_line("module_refresh_us", 3.5), 0.0)
    arguments = [
        "--results",
        str(tmp_path),
        "--foretell",
        "module_refresh_us",
        "--gateways",
        "200",
        "--engines",
    ]
    predicted = CliRunner().invoke(report, [*arguments, "15000"])
    assert predicted.exit_code == 0 and (tmp_path / "foretold.json").exists(), predicted.output
    already_measured = CliRunner().invoke(report, [*arguments, "5000"])
    assert already_measured.exit_code == 1 and "measured already" in already_measured.output
    unknown_quantity = CliRunner().invoke(
        report, ["--results", str(tmp_path), "--foretell", "x", "--gateways", "1", "--engines", "1"]
    )
    assert unknown_quantity.exit_code == 1 and "no row of the page uses x" in unknown_quantity.output


def test_estimate_without_a_measurement_is_an_error() -> None:
    with pytest.raises(NotMeasured):
        EvaluationPoint(1, 1, FitCache([])).estimate("module_refresh_us", "engines")
    assert RowResult(rows.ROWS[0], None, "x", None, ()).budget_share is None


def test_runs_of_predictions_are_not_fitted(tmp_path: Path) -> None:
    write_results_file(tmp_path, "x.json", samples_on_line("module_refresh_us", 3.5), 0.0)
    write_results_file(
        tmp_path, "found-x.json", [with_changes(requested_sample(15_000), value=1e9, unit="us")], 0.0
    )
    assert {sample.engines for sample in tables.samples_to_fit(read_results(tmp_path))} == set(ENGINES)


def test_subset_fits_allow_both_sizes_to_grow_together_and_fall_back_for_independent_quantities() -> None:
    grown_together = [
        with_changes(sample, gateways=sample.engines // 4, subset=64)
        for sample in samples_on_line("memo_bytes_per_s", 0.0, 900.0, subset=64)
    ]
    fit_cache = FitCache(
        grown_together + samples_on_line("node_cpu_share", 1e-5, dimension="gateways"), subset=64
    )
    point = EvaluationPoint(4000, 15_000, fit_cache)
    assert point.estimate("memo_bytes_per_s", "engines").value == pytest.approx(900)
    assert point.estimate("node_cpu_share", "gateways").value == pytest.approx(0.04)
    with pytest.raises(NotMeasured):  # this quantity depends on the subset
        EvaluationPoint(1, 1, FitCache(samples_on_line("module_refresh_us", 3.5), subset=64)).estimate(
            "module_refresh_us", "engines"
        )


def test_probe_report_cpu_counts_the_entries_in_a_datagram() -> None:
    samples = samples_on_line("memo_datagrams_per_s", 0.0, 10.0) + samples_on_line(
        "memo_bytes_per_s", 0.0, 10 * (31 + 7 * 5.0)
    )
    result = capacity.evaluate_row(
        find_row("memo_cpu"), FitCache(samples + samples_on_line("module_memo_us", 0.0, 8.0))
    )
    assert value_of(result).value == pytest.approx(10 * 5 * 8 / 1e6)


def test_superseded_files_are_compared_with_current_ones_and_not_fitted(tmp_path: Path) -> None:
    (tmp_path / "before").mkdir()
    write_results_file(
        tmp_path,
        "before/x.json",
        samples_on_line("module_refresh_us", 35.0) + samples_on_line("module_memo_us", 0.0, 8.0),
        0.0,
    )
    write_results_file(
        tmp_path,
        "x.json",
        samples_on_line("module_refresh_us", 3.5) + samples_on_line("module_memo_us", 0.0, 8.0),
        1.0,
    )
    keys = [
        capacity.MeasurementKey("module_refresh_us", "engines"),
        capacity.MeasurementKey("module_memo_us", "engines"),
    ]
    text = tables.improvements_table(read_results(tmp_path), keys)
    assert (
        "| module_refresh_us | gateway | 5,000 engines | 175,000 us | linear | 17,500 us | linear |" in text
    )
    assert "module_memo_us" not in text
    assert {
        sample.value for sample in tables.samples_to_fit(read_results(tmp_path)) if sample.engines == 5000
    } == {
        17_500.0,
        8.0,
    }


def test_simulation_table_is_by_size_and_note() -> None:
    samples = samples_on_line(
        "sim_cpu_s", 0.002, dimension="gateways", kind="simulated", note="before", unit="s"
    )
    text = tables.simulation_table(
        samples + [with_changes(sample, note="after", value=0.01) for sample in samples]
    )
    assert "| gateways | before | after |" in text and "| 800 | 1.60 s" in text
    assert tables.simulation_table([]) == "not measured: sim_cpu_s"


def test_hollow_runs_are_compared_with_cores_and_simulation_of_the_same_size() -> None:
    samples = samples_on_line("memo_datagrams_per_s", 1.25) + samples_on_line(
        "control_cpu_share", 1e-4, kind="hollow"
    )
    hollow = with_changes(
        requested_sample(80), quantity="memo_datagrams_per_s", kind="hollow", value=110.0, subset=0
    )
    text = tables.hollow_comparison_table([*samples, hollow], FitCache([*samples, hollow]))
    assert "| 200 | 80 | 110 datagrams/s | 100" in text and text.endswith("| 1.10 |")
    assert "not measured" in tables.hollow_comparison_table([], FitCache([]))


def test_row_uses_samples_of_its_own_kind_only() -> None:
    samples = samples_on_line("memo_datagrams_per_s", 1.25, kind="hollow")
    assert (
        capacity.evaluate_row(find_row("memo_datagrams"), FitCache(samples)).missing == "memo_datagrams_per_s"
    )


def test_inconclusive_range_exceeds_no_budget_and_is_not_ranked() -> None:
    fit_cache, key = FitCache([]), capacity.MeasurementKey("module_refresh_us", "engines", "core")
    fit_cache.fits[key] = Fit(
        quantity="module_refresh_us",
        unit="us",
        grows_with="engines",
        intercept=0.0,
        slope=1.0,
        slope_error=0.7,
        exponent=1.0,
        exponent_error=0.7,
        form="linear",
        sizes=(20, 40, 80),
        worst_residual=0.1,
        curve=lambda size: (size, 1.5 * size),
    )
    result = capacity.evaluate_row(find_row("refresh_cpu"), fit_cache)
    assert result.is_inconclusive and not result.is_exceeded
    assert not crossing_of(result).is_certain and capacity.failing_rows([result]) == []
    assert tables.crossing_cell("engines", result.crossing).startswith("unsure: ")
    text = tables.value_cell(
        result.value, "", "share", result.used_keys, fit_cache, result.row.evaluate, result.is_inconclusive
    )
    assert text == "not told by its sizes; 0.0400% at 80 engines"


def test_curve_below_0_is_inconclusive() -> None:
    falling = FitCache(samples_on_line("module_refresh_us", -1.0, 6000.0))
    result = capacity.evaluate_row(find_row("refresh_cpu"), falling)
    assert result.is_inconclusive and not result.is_exceeded
    assert tables.value_cell(
        result.value, "", "share", result.used_keys, falling, result.row.evaluate, result.is_inconclusive
    ) == ("not told by its sizes; 0.500% at 5,000 engines")


def test_budget_exceeded_at_the_smallest_measured_size_is_reported_as_below_it() -> None:
    result = capacity.evaluate_row(
        find_row("refresh_cpu"), FitCache(samples_on_line("module_refresh_us", 0.0, 1e6))
    )
    assert crossing_of(result).is_below_measured and crossing_of(result).is_certain
    assert tables.crossing_cell("engines", result.crossing) == "below 20 engines, the least taken"


def test_wide_range_wholly_above_the_budget_exceeds_it() -> None:
    wide = Estimate(10.0, 2.0, 40.0)
    row = replace(find_row("clients"), evaluate=lambda point: wide, budget=1.0)
    assert capacity.evaluate_row(row, FitCache([])).is_exceeded
    assert not capacity.evaluate_row(replace(row, budget=50.0), FitCache([])).is_exceeded


def test_quantity_found_only_in_a_superseded_file_is_fitted(tmp_path: Path) -> None:
    write_results_file(
        tmp_path,
        "simulated-unmended.json",
        samples_on_line("slot_s", 1.0, dimension="gateways", kind="simulated"),
        0.0,
    )
    assert len(tables.samples_to_fit(read_results(tmp_path))) == len(GATEWAYS)
    write_results_file(
        tmp_path,
        "simulated.json",
        samples_on_line("slot_s", 0.5, dimension="gateways", kind="simulated")[:2],
        1.0,
    )
    assert len(tables.samples_to_fit(read_results(tmp_path))) == 2


def test_assignment_table_shows_the_largest_size_by_method() -> None:
    base = with_changes(
        requested_sample(600), quantity="holders_least", kind="simulated", subset=80, note="ring", value=3.0
    )
    large = with_changes(base, gateways=4000, engines=15_000, value=20.0)
    text = tables.assignments_table([base, large, with_changes(large, note="rounds", value=19.0)])
    assert "| ring | 20 | -" in text and "| rounds | 19 | -" in text and "| 3 |" not in text
    assert tables.assignments_table([]) == "not measured: holders_least"


def test_hollow_runs_without_probe_reports_are_left_out_of_totals(tmp_path: Path) -> None:
    samples = samples_on_line("control_cpu_share", 1e-4, kind="hollow") + samples_on_line(
        "memo_datagrams_per_s", 1.2, kind="hollow"
    )
    without_reports = [
        with_changes(sample, value=0.0)
        if sample.engines == 5000 and sample.quantity.startswith("memo")
        else sample
        for sample in samples
    ]
    write_results_file(tmp_path, "x.json", without_reports, 0.0)
    sizes = {
        sample.engines
        for sample in tables.samples_to_fit(read_results(tmp_path))
        if sample.quantity == "control_cpu_share"
    }
    assert sizes == set(ENGINES) - {5000}


def test_wide_range_within_the_measured_sizes_is_conclusive() -> None:
    samples = [
        with_changes(sample, value=3.0 + sample.engines % 3)
        for sample in samples_on_line("module_refresh_us", 0.0, 3.0, spread=0.9)
    ]
    samples.append(with_changes(samples[0], engines=15_000, value=9.0))
    result = capacity.evaluate_row(find_row("refresh_cpu"), FitCache(samples))
    assert not result.is_extrapolated and not result.is_inconclusive
    extrapolated = capacity.evaluate_row(
        find_row("refresh_cpu"), FitCache([sample for sample in samples if sample.engines < 15_000])
    )
    assert extrapolated.is_extrapolated
