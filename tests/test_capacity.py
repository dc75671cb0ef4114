"""The capacity model's arithmetic, on samples that the tests make: no measured figure is looked at here."""

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


def with_changes(sample: Sample, **more: Any) -> Sample:
    return msgspec.structs.replace(sample, **more)


def samples_on_line(
    quantity: str,
    slope: float,
    base: float = 0.0,
    dimension: str = "engines",
    spread: float = 0.02,
    **more: Any,
) -> list[Sample]:
    """Samples on a line, as one file would have them."""
    made = []
    for x in ENGINES if dimension == "engines" else GATEWAYS:
        value = base + slope * x
        size = {"gateways": 200, "engines": 80} | {dimension: x}
        given: dict[str, Any] = {"quantity": quantity, "unit": "us", "n": 9, "kind": "core"} | size | more
        made.append(Sample(value=value, low=value * (1 - spread), high=value * (1 + spread), **given))
    return made


def value_of(found: RowResult | rates.FactResult) -> Estimate:
    assert found.value is not None, found.missing
    return found.value


def crossing_of(found: RowResult) -> BudgetCrossing:
    assert found.crossing is not None, found.missing
    return found.crossing


def find_row(key: str, **more: Any) -> Row:
    return replace(next(r for r in rows.ROWS if r.key == key), **more)


def test_row_is_slope_times_rate_with_the_size_at_which_its_budget_is_exceeded() -> None:
    found = capacity.evaluate_row(
        find_row("refresh_cpu"), FitCache(samples_on_line("module_refresh_us", 3.5))
    )
    assert found.value is not None and found.crossing is not None
    assert value_of(found).value == pytest.approx(3.5 * 15_000 * 5 / 1e6, rel=0.01)
    assert found.is_exceeded and found.budget_share == pytest.approx(0.2625 / 0.014, rel=0.01)
    assert crossing_of(found).size == pytest.approx(0.014 * 1e6 / 5 / 3.5, rel=0.01)  # 800 engines
    assert crossing_of(found).growth_progress == pytest.approx((800 - 80) / 14_920, rel=0.02)
    crossing = crossing_of(found)
    assert crossing.earliest is not None and crossing.size is not None and crossing.latest is not None
    assert crossing.earliest <= crossing.size <= crossing.latest


def test_row_with_a_missing_measurement_names_it_and_has_no_value() -> None:
    found = capacity.evaluate_row(find_row("cpu_sum"), FitCache(samples_on_line("module_refresh_us", 3.5)))
    assert (found.value, found.missing, found.crossing) == (None, "module_sweep_us", None)
    assert not found.is_exceeded and found.budget_share is None
    one = [s for s in samples_on_line("module_refresh_us", 3.5) if s.engines == 80]
    assert capacity.evaluate_row(find_row("refresh_cpu"), FitCache(one)).missing == "module_refresh_us"


def test_probe_report_cpu_is_datagrams_times_the_time_of_one() -> None:
    samples = samples_on_line("memo_datagrams_per_s", 1 / 0.6) + samples_on_line("memo_bytes_per_s", 38 / 0.6)
    samples += samples_on_line("module_memo_us", 0.0, 7.5)
    found = capacity.evaluate_row(find_row("memo_cpu"), FitCache(samples))
    assert value_of(found).value == pytest.approx(25_000 * 7.5 / 1e6, rel=0.01)
    assert value_of(found).low <= value_of(found).value <= value_of(found).high


def test_samples_with_a_subset_are_fitted_apart_from_those_without() -> None:
    samples = samples_on_line("module_refresh_us", 3.5) + samples_on_line(
        "module_refresh_us", 0.0, 100.0, subset=64
    )
    without, kept = FitCache(samples), FitCache(samples, subset=64)
    assert capacity.evaluate_row(find_row("refresh_cpu"), without).is_exceeded
    assert not capacity.evaluate_row(find_row("refresh_cpu"), kept).is_exceeded
    text = tables.subsets_table(samples)
    assert "64 kept" in text and "| refresh_cpu |" in text


def test_p99_is_fitted_on_the_high_values() -> None:
    samples = samples_on_line(
        "version_in_force_s", 0.0, 3.0, dimension="gateways", kind="simulated", note="one after another"
    )
    samples = [with_changes(s, high=4.9) for s in samples]
    found = capacity.evaluate_row(find_row("version_in_force"), FitCache(samples))
    assert value_of(found).value == pytest.approx(4.9)
    assert value_of(
        capacity.evaluate_row(find_row("versions_queue"), FitCache(samples))
    ).value == pytest.approx(3.0 * 64_000 / 86_400)
    other = [with_changes(s, note="at 1/s") for s in samples]
    assert (
        capacity.evaluate_row(find_row("version_in_force"), FitCache(other)).missing == "version_in_force_s"
    )


def test_rows_that_grow_with_neither_exceed_at_any_size_or_at_none() -> None:
    assert crossing_of(capacity.evaluate_row(find_row("clients"), FitCache([]))).size == 0
    held = crossing_of(capacity.evaluate_row(find_row("clients", budget=1e9), FitCache([])))
    assert held.size is None and held.growth_progress == math.inf


def test_row_of_both_dimensions_crosses_between_current_and_target_size() -> None:
    both = find_row("bulletin_lists", value=lambda s: exact(s.gateways * s.engines), budget=2100 * 7540)
    found = capacity.evaluate_row(both, FitCache([]))
    assert crossing_of(found).growth_progress == pytest.approx(0.5, abs=0.001)
    assert tables.crossing_cell("both", found.crossing) == "2,100 and 7,540 gateways and engines"


def test_growth_progress_runs_from_current_to_target_size() -> None:
    assert capacity.size_at_progress(0) == (200, 80) and capacity.size_at_progress(1) == (4000, 15_000)
    assert capacity.growth_progress("engines", 80) == 0 == capacity.growth_progress("gateways", 12)
    assert capacity.growth_progress("gateways", 2100) == 0.5


def row_failing_at(key: str, progress: float, **more: Any) -> RowResult:
    """A row that is passed at a share of the way."""
    size = capacity.size_at_progress(progress)[1]
    made = Row(key, "role", key, "count", "engines", lambda s: exact(s.engines), size, "b", "", "", **more)
    return capacity.evaluate_row(made, FitCache([]))


def candidate_for(name: str, *keys: str) -> Candidate:
    return Candidate(name, dict.fromkeys(keys, "because"), {"c": "in part"}, "")


def test_the_ranking_goes_by_the_smallest_size_and_of_equals_by_the_rows_carried() -> None:
    found = [
        row_failing_at("a", 0.3),
        row_failing_at("b", 0.1),
        row_failing_at("c", -0.001),
        row_failing_at("d", -0.002),
    ]
    ranks = capacity.rank_candidates(
        found, [candidate_for("late", "a", "b"), candidate_for("one", "c"), candidate_for("two", "d", "a")]
    )
    assert [r.candidate.name for r in ranks] == ["two", "one", "late"]  # c and d both fail at today's size
    assert [len(r.failing) for r in ranks] == [2, 1, 2]


def test_eased_rows_totals_and_rows_with_a_remedy_are_not_counted() -> None:
    found = [
        row_failing_at("a", 0.3, total=True),
        row_failing_at("b", 0.1, mend="`sockets`"),
        row_failing_at("c", 0.2),
    ]
    assert [f.row.key for f in capacity.failing_rows(found)] == ["c"]
    assert capacity.rank_candidates(found, [candidate_for("x", "a", "b")]) == []


def test_budget_exceeded_beyond_the_target_size_is_not_failing() -> None:
    assert capacity.failing_rows([row_failing_at("a", 1.2)]) == []
    assert crossing_of(row_failing_at("a", 1.2)).growth_progress == pytest.approx(1.2, rel=0.001)


def test_candidates_name_rows_that_there_are_and_give_reasons() -> None:
    keys = {r.key for r in rows.ROWS}
    assert len(keys) == len(rows.ROWS)
    for candidate in candidates.CANDIDATES:
        assert set(candidate.resolves) | set(candidate.eases) <= keys
        assert not set(candidate.resolves) & set(candidate.eases)
        assert all([*candidate.resolves.values(), *candidate.eases.values()])


def test_every_input_has_a_reason_and_one_name() -> None:
    assert len(inputs.INPUT_BY_NAME) == len(inputs.ALL_INPUTS)
    assert all(given.reason and given.unit for given in inputs.ALL_INPUTS)
    assert inputs.input_value("refresh_per_s") == 5 and inputs.input_value("probe_shared_s") == 0.6


def test_code_paths_resolve_and_a_removed_name_is_an_error() -> None:
    places = find_code_locations(ROOT, sorted({r.code_path for r in rows.ROWS if r.code_path}))
    assert places["whintrail/routing.py:RoutingPolicy._refresh_weights"].startswith("whintrail/routing.py:")
    with pytest.raises(ValueError, match="no nothing there"):
        find_code_locations(ROOT, ["whintrail/routing.py:RoutingPolicy.nothing"])


def find_fact(key: str) -> rates.Fact:
    return next(f for f in rates.FACTS if f.key == key)


def test_sequential_changes_leave_those_the_day_has_no_time_for() -> None:
    samples = samples_on_line(
        "version_in_force_s", 0.0, 3.0, dimension="gateways", kind="simulated", note="one after another"
    )
    found = rates.evaluate_fact(find_fact("mean_left"), FitCache(samples))
    assert value_of(found).value == pytest.approx(64_000 - 86_400 / 3.0) and found.is_exceeded
    assert value_of(found).low <= value_of(found).value <= value_of(found).high
    burst = value_of(rates.evaluate_fact(find_fact("burst_last"), FitCache(samples))).value
    assert burst == pytest.approx(64_000 / 86_400 * 10 * 600 * 3.0 - 600)
    quick = samples_on_line(
        "version_in_force_s", 0.0, 0.1, dimension="gateways", kind="simulated", note="one after another"
    )
    assert not rates.evaluate_fact(find_fact("mean_left"), FitCache(quick)).is_exceeded
    assert value_of(rates.evaluate_fact(find_fact("burst_last"), FitCache(quick))).value == pytest.approx(0.1)


def test_a_zone_is_a_nineteenth_of_the_fleet_and_more_than_may_be_out() -> None:
    found = rates.evaluate_fact(find_fact("zone_gateways"), FitCache([]))
    assert value_of(found).value == pytest.approx(4000 / 19) and found.is_exceeded
    assert rates.evaluate_fact(find_fact("rack_stand"), FitCache([])).missing == "module_list_delta_us"
    stand = rates.evaluate_fact(
        find_fact("rack_stand"), FitCache(samples_on_line("module_list_delta_us", 1.5))
    )
    assert value_of(stand).value == pytest.approx(40 * 1.5 * 15_000 / 1e6, rel=0.01)


def test_extrapolated_value_says_up_to_which_size_it_was_measured() -> None:
    figures = FitCache(samples_on_line("module_refresh_us", 3.5))
    found = capacity.evaluate_row(find_row("refresh_cpu"), figures)
    text = tables.value_cell(
        found.value, "", "share", found.used_keys, figures, found.row.evaluate, found.is_inconclusive
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
    blank: dict[str, Any] = {"unit": "", "value": 0.0, "low": 0.0, "high": 0.0, "n": 1, "kind": "core"}
    return Sample(quantity="module_refresh_us", gateways=200, engines=engines, **blank)


def test_a_prediction_is_written_before_its_run_only() -> None:
    samples = samples_on_line("module_refresh_us", 3.5)
    assert find_dimension("module_refresh_us", samples) == "engines"
    made = predict(samples, requested_sample(15_000), "engines", 0.0)
    assert made.value == pytest.approx(52_500, rel=0.01) and made.low < made.value < made.high
    assert made.sizes == ENGINES and made.written_at == "1970-01-01T00:00:00Z"
    with pytest.raises(ValueError, match="measured already"):
        predict(samples, requested_sample(5000), "engines", 0.0)


def write_results_file(tmp_path: Path, name: str, samples: list[Sample], began: float) -> None:
    save_results(tmp_path / name, "test", began, current_machine(), samples, "")


def test_prediction_is_compared_with_later_runs_only(tmp_path: Path) -> None:
    made = predict(samples_on_line("module_refresh_us", 3.5), requested_sample(15_000), "engines", 1000.0)
    late = [with_changes(requested_sample(15_000), value=52_500.0, unit="us")]
    write_results_file(tmp_path, "before.json", late, 900.0)
    assert "not run" in tables.predictions_table([made], list(read_results(tmp_path).values()))
    write_results_file(tmp_path, "after.json", late, 1100.0)
    text = tables.predictions_table([made], list(read_results(tmp_path).values()))
    assert "| 52,500 us | 1.000 | yes |" in text
    off = [with_changes(late[0], value=90_000.0)]
    write_results_file(tmp_path, "after.json", off, 1100.0)
    assert "**no**" in tables.predictions_table([made], list(read_results(tmp_path).values()))


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
    ask = ["--results", str(tmp_path), "--foretell", "module_refresh_us", "--gateways", "200", "--engines"]
    done = CliRunner().invoke(report, [*ask, "15000"])
    assert done.exit_code == 0 and (tmp_path / "foretold.json").exists(), done.output
    again = CliRunner().invoke(report, [*ask, "5000"])
    assert again.exit_code == 1 and "measured already" in again.output
    unknown = CliRunner().invoke(
        report, ["--results", str(tmp_path), "--foretell", "x", "--gateways", "1", "--engines", "1"]
    )
    assert unknown.exit_code == 1 and "no row of the page uses x" in unknown.output


def test_estimate_without_a_measurement_is_an_error() -> None:
    with pytest.raises(NotMeasured):
        EvaluationPoint(1, 1, FitCache([])).estimate("module_refresh_us", "engines")
    assert RowResult(rows.ROWS[0], None, "x", None, ()).budget_share is None


def test_runs_of_predictions_are_not_fitted(tmp_path: Path) -> None:
    write_results_file(tmp_path, "x.json", samples_on_line("module_refresh_us", 3.5), 0.0)
    write_results_file(
        tmp_path, "found-x.json", [with_changes(requested_sample(15_000), value=1e9, unit="us")], 0.0
    )
    assert {s.engines for s in tables.samples_to_fit(read_results(tmp_path))} == set(ENGINES)


def test_subset_fits_allow_both_sizes_to_grow_together_and_fall_back_for_independent_quantities() -> None:
    stepped = [
        with_changes(s, gateways=s.engines // 4, subset=64)
        for s in samples_on_line("memo_bytes_per_s", 0.0, 900.0, subset=64)
    ]
    kept = FitCache(stepped + samples_on_line("node_cpu_share", 1e-5, dimension="gateways"), subset=64)
    size = EvaluationPoint(4000, 15_000, kept)
    assert size.estimate("memo_bytes_per_s", "engines").value == pytest.approx(900)
    assert size.estimate("node_cpu_share", "gateways").value == pytest.approx(0.04)
    with pytest.raises(NotMeasured):  # that one it changes
        EvaluationPoint(1, 1, FitCache(samples_on_line("module_refresh_us", 3.5), subset=64)).estimate(
            "module_refresh_us", "engines"
        )


def test_probe_report_cpu_counts_the_entries_in_a_datagram() -> None:
    several = samples_on_line("memo_datagrams_per_s", 0.0, 10.0) + samples_on_line(
        "memo_bytes_per_s", 0.0, 10 * (31 + 7 * 5.0)
    )
    found = capacity.evaluate_row(
        find_row("memo_cpu"), FitCache(several + samples_on_line("module_memo_us", 0.0, 8.0))
    )
    assert value_of(found).value == pytest.approx(10 * 5 * 8 / 1e6)


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
    uses = [
        capacity.MeasurementKey("module_refresh_us", "engines"),
        capacity.MeasurementKey("module_memo_us", "engines"),
    ]
    text = tables.improvements_table(read_results(tmp_path), uses)
    assert (
        "| module_refresh_us | gateway | 5,000 engines | 175,000 us | linear | 17,500 us | linear |" in text
    )
    assert "module_memo_us" not in text
    assert {s.value for s in tables.samples_to_fit(read_results(tmp_path)) if s.engines == 5000} == {
        17_500.0,
        8.0,
    }


def test_simulation_table_is_by_size_and_note() -> None:
    samples = samples_on_line(
        "sim_cpu_s", 0.002, dimension="gateways", kind="simulated", note="before", unit="s"
    )
    text = tables.simulation_table(samples + [with_changes(s, note="after", value=0.01) for s in samples])
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
    figures, use = FitCache([]), capacity.MeasurementKey("module_refresh_us", "engines", "core")
    figures.fits[use] = Fit(
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
        curve=lambda x: (x, 1.5 * x),
    )
    found = capacity.evaluate_row(find_row("refresh_cpu"), figures)
    assert found.is_inconclusive and not found.is_exceeded
    assert not crossing_of(found).is_certain and capacity.failing_rows([found]) == []
    assert tables.crossing_cell("engines", found.crossing).startswith("unsure: ")
    text = tables.value_cell(
        found.value, "", "share", found.used_keys, figures, found.row.evaluate, found.is_inconclusive
    )
    assert text == "not told by its sizes; 0.0400% at 80 engines"


def test_curve_below_0_is_inconclusive() -> None:
    falling = FitCache(samples_on_line("module_refresh_us", -1.0, 6000.0))
    found = capacity.evaluate_row(find_row("refresh_cpu"), falling)
    assert found.is_inconclusive and not found.is_exceeded
    assert tables.value_cell(
        found.value, "", "share", found.used_keys, falling, found.row.evaluate, found.is_inconclusive
    ) == ("not told by its sizes; 0.500% at 5,000 engines")


def test_budget_exceeded_at_the_smallest_measured_size_is_reported_as_below_it() -> None:
    found = capacity.evaluate_row(
        find_row("refresh_cpu"), FitCache(samples_on_line("module_refresh_us", 0.0, 1e6))
    )
    assert crossing_of(found).is_below_measured and crossing_of(found).is_certain
    assert tables.crossing_cell("engines", found.crossing) == "below 20 engines, the least taken"


def test_wide_range_wholly_above_the_budget_exceeds_it() -> None:
    wide = Estimate(10.0, 2.0, 40.0)
    high = replace(find_row("clients"), evaluate=lambda s: wide, budget=1.0)
    assert capacity.evaluate_row(high, FitCache([])).is_exceeded
    assert not capacity.evaluate_row(replace(high, budget=50.0), FitCache([])).is_exceeded


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
    busy = samples_on_line("control_cpu_share", 1e-4, kind="hollow") + samples_on_line(
        "memo_datagrams_per_s", 1.2, kind="hollow"
    )
    quiet = [
        with_changes(s, value=0.0) if s.engines == 5000 and s.quantity.startswith("memo") else s for s in busy
    ]
    write_results_file(tmp_path, "x.json", quiet, 0.0)
    sizes = {
        s.engines for s in tables.samples_to_fit(read_results(tmp_path)) if s.quantity == "control_cpu_share"
    }
    assert sizes == set(ENGINES) - {5000}


def test_wide_range_within_the_measured_sizes_is_conclusive() -> None:
    wide = [
        with_changes(s, value=3.0 + s.engines % 3)
        for s in samples_on_line("module_refresh_us", 0.0, 3.0, spread=0.9)
    ]
    wide.append(with_changes(wide[0], engines=15_000, value=9.0))
    found = capacity.evaluate_row(find_row("refresh_cpu"), FitCache(wide))
    assert not found.is_extrapolated and not found.is_inconclusive
    sooner = capacity.evaluate_row(find_row("refresh_cpu"), FitCache([s for s in wide if s.engines < 15_000]))
    assert sooner.is_extrapolated
