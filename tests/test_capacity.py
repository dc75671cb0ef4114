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
    Candidate,
    Crossing,
    Estimate,
    Figures,
    Found,
    NotMeasured,
    Row,
    Size,
    exactly,
)
from whintrail.scale.fitting import Fit
from whintrail.scale.page import ROOT, check, find_places, foretell, grows_with, read_results, report
from whintrail.scale.results import Sample, save, this_machine

ENGINES, GATEWAYS = (20, 80, 320, 1280, 5000), (20, 50, 200, 800)


def changed(sample: Sample, **more: Any) -> Sample:
    return msgspec.structs.replace(sample, **more)


def line(
    quantity: str, slope: float, base: float = 0.0, over: str = "engines", spread: float = 0.02, **more: Any
) -> list[Sample]:
    """Samples on a line, as one file would have them."""
    made = []
    for x in ENGINES if over == "engines" else GATEWAYS:
        value = base + slope * x
        size = {"gateways": 200, "engines": 80} | {over: x}
        given: dict[str, Any] = {"quantity": quantity, "unit": "us", "n": 9, "kind": "core"} | size | more
        made.append(Sample(value=value, low=value * (1 - spread), high=value * (1 + spread), **given))
    return made


def value_of(found: Found | rates.Reckoned) -> Estimate:
    assert found.value is not None, found.missing
    return found.value


def crossing_of(found: Found) -> Crossing:
    assert found.crossing is not None, found.missing
    return found.crossing


def row(key: str, **more: Any) -> Row:
    return replace(next(r for r in rows.ROWS if r.key == key), **more)


def test_a_row_is_slope_times_pace_and_says_where_its_budget_is_passed() -> None:
    found = capacity.find(row("refresh_cpu"), Figures(line("module_refresh_us", 3.5)))
    assert found.value is not None and found.crossing is not None
    assert value_of(found).value == pytest.approx(3.5 * 15_000 * 5 / 1e6, rel=0.01)
    assert found.passed and found.share == pytest.approx(0.2625 / 0.014, rel=0.01)
    assert crossing_of(found).size == pytest.approx(0.014 * 1e6 / 5 / 3.5, rel=0.01)  # 800 engines
    assert crossing_of(found).share == pytest.approx((800 - 80) / 14_920, rel=0.02)
    crossing = crossing_of(found)
    assert crossing.earliest is not None and crossing.size is not None and crossing.latest is not None
    assert crossing.earliest <= crossing.size <= crossing.latest


def test_a_row_whose_figure_is_missing_says_which_and_guesses_nothing() -> None:
    found = capacity.find(row("cpu_sum"), Figures(line("module_refresh_us", 3.5)))
    assert (found.value, found.missing, found.crossing) == (None, "module_sweep_us", None)
    assert not found.passed and found.share is None
    one = [s for s in line("module_refresh_us", 3.5) if s.engines == 80]
    assert capacity.find(row("refresh_cpu"), Figures(one)).missing == "module_refresh_us"


def test_memos_are_in_datagrams_times_the_time_of_one() -> None:
    samples = line("memo_datagrams_per_s", 1 / 0.6) + line("memo_bytes_per_s", 38 / 0.6)
    samples += line("module_memo_us", 0.0, 7.5)
    found = capacity.find(row("memo_cpu"), Figures(samples))
    assert value_of(found).value == pytest.approx(25_000 * 7.5 / 1e6, rel=0.01)
    assert value_of(found).low <= value_of(found).value <= value_of(found).high


def test_figures_with_a_subset_are_apart_from_those_without() -> None:
    samples = line("module_refresh_us", 3.5) + line("module_refresh_us", 0.0, 100.0, subset=64)
    without, kept = Figures(samples), Figures(samples, subset=64)
    assert capacity.find(row("refresh_cpu"), without).passed
    assert not capacity.find(row("refresh_cpu"), kept).passed
    text = tables.subsets(samples)
    assert "64 kept" in text and "| refresh_cpu |" in text


def test_p99_is_fitted_on_the_high_figures() -> None:
    samples = line(
        "version_in_force_s", 0.0, 3.0, over="gateways", kind="simulated", note="one after another"
    )
    samples = [changed(s, high=4.9) for s in samples]
    found = capacity.find(row("version_in_force"), Figures(samples))
    assert value_of(found).value == pytest.approx(4.9)
    assert value_of(capacity.find(row("versions_queue"), Figures(samples))).value == pytest.approx(
        3.0 * 64_000 / 86_400
    )
    other = [changed(s, note="at 1/s") for s in samples]
    assert capacity.find(row("version_in_force"), Figures(other)).missing == "version_in_force_s"


def test_rows_that_grow_with_neither_pass_at_any_size_or_at_none() -> None:
    assert crossing_of(capacity.find(row("clients"), Figures([]))).size == 0
    held = crossing_of(capacity.find(row("clients", budget=1e9), Figures([])))
    assert held.size is None and held.share == math.inf


def test_a_row_of_both_sizes_is_passed_on_the_way_between_today_and_the_coming_size() -> None:
    both = row("bulletin_lists", value=lambda s: exactly(s.gateways * s.engines), budget=2100 * 7540)
    found = capacity.find(both, Figures([]))
    assert crossing_of(found).share == pytest.approx(0.5, abs=0.001)
    assert tables.where("both", found.crossing) == "2,100 and 7,540 gateways and engines"


def test_today_and_the_coming_size_are_the_ends_of_the_way() -> None:
    assert capacity.on_the_way(0) == (200, 80) and capacity.on_the_way(1) == (4000, 15_000)
    assert capacity.share_of_way("engines", 80) == 0 == capacity.share_of_way("gateways", 12)
    assert capacity.share_of_way("gateways", 2100) == 0.5


def failing_at(key: str, share: float, **more: Any) -> Found:
    """A row that is passed at a share of the way."""
    size = capacity.on_the_way(share)[1]
    made = Row(key, "role", key, "count", "engines", lambda s: exactly(s.engines), size, "b", "", "", **more)
    return capacity.find(made, Figures([]))


def carrier(name: str, *keys: str) -> Candidate:
    return Candidate(name, dict.fromkeys(keys, "because"), {"c": "in part"}, "")


def test_the_ranking_goes_by_the_smallest_size_and_of_equals_by_the_rows_carried() -> None:
    found = [failing_at("a", 0.3), failing_at("b", 0.1), failing_at("c", -0.001), failing_at("d", -0.002)]
    ranks = capacity.ranking(
        found, [carrier("late", "a", "b"), carrier("one", "c"), carrier("two", "d", "a")]
    )
    assert [r.candidate.name for r in ranks] == ["two", "one", "late"]  # c and d both fail at today's size
    assert [len(r.failing) for r in ranks] == [2, 1, 2]


def test_what_is_eased_in_part_sums_and_mends_are_not_counted() -> None:
    found = [failing_at("a", 0.3, total=True), failing_at("b", 0.1, mend="`sockets`"), failing_at("c", 0.2)]
    assert [f.row.key for f in capacity.failing(found)] == ["c"]
    assert capacity.ranking(found, [carrier("x", "a", "b")]) == []


def test_a_budget_that_is_passed_beyond_the_coming_size_is_not_on_the_way() -> None:
    assert capacity.failing([failing_at("a", 1.2)]) == []
    assert crossing_of(failing_at("a", 1.2)).share == pytest.approx(1.2, rel=0.001)


def test_candidates_name_rows_that_there_are_and_give_reasons() -> None:
    keys = {r.key for r in rows.ROWS}
    assert len(keys) == len(rows.ROWS)
    for candidate in candidates.CANDIDATES:
        assert set(candidate.carries) | set(candidate.in_part) <= keys
        assert not set(candidate.carries) & set(candidate.in_part)
        assert all([*candidate.carries.values(), *candidate.in_part.values()])


def test_every_input_has_a_reason_and_one_name() -> None:
    assert len(inputs.BY_NAME) == len(inputs.ALL)
    assert all(given.reason and given.unit for given in inputs.ALL)
    assert inputs.value("refresh_per_s") == 5 and inputs.value("probe_shared_s") == 0.6


def test_places_are_found_in_the_source_and_a_name_that_is_gone_is_an_error() -> None:
    places = find_places(ROOT, sorted({r.place for r in rows.ROWS if r.place}))
    assert places["whintrail/routing.py:RoutingPolicy._refresh_weights"].startswith("whintrail/routing.py:")
    with pytest.raises(ValueError, match="no nothing there"):
        find_places(ROOT, ["whintrail/routing.py:RoutingPolicy.nothing"])


def fact(key: str) -> rates.Fact:
    return next(f for f in rates.FACTS if f.key == key)


def test_changes_one_after_another_leave_what_the_day_has_no_time_for() -> None:
    samples = line(
        "version_in_force_s", 0.0, 3.0, over="gateways", kind="simulated", note="one after another"
    )
    found = rates.reckon(fact("mean_left"), Figures(samples))
    assert value_of(found).value == pytest.approx(64_000 - 86_400 / 3.0) and found.passed
    assert value_of(found).low <= value_of(found).value <= value_of(found).high
    burst = value_of(rates.reckon(fact("burst_last"), Figures(samples))).value
    assert burst == pytest.approx(64_000 / 86_400 * 10 * 600 * 3.0 - 600)
    quick = line("version_in_force_s", 0.0, 0.1, over="gateways", kind="simulated", note="one after another")
    assert not rates.reckon(fact("mean_left"), Figures(quick)).passed
    assert value_of(rates.reckon(fact("burst_last"), Figures(quick))).value == pytest.approx(0.1)


def test_a_zone_is_a_nineteenth_and_more_than_may_be_out() -> None:
    found = rates.reckon(fact("zone_gateways"), Figures([]))
    assert value_of(found).value == pytest.approx(4000 / 19) and found.passed
    assert rates.reckon(fact("rack_stand"), Figures([])).missing == "module_list_delta_us"
    stand = rates.reckon(fact("rack_stand"), Figures(line("module_list_delta_us", 1.5)))
    assert value_of(stand).value == pytest.approx(40 * 1.5 * 15_000 / 1e6, rel=0.01)


def test_a_value_beyond_the_sizes_it_was_taken_at_says_so() -> None:
    figures = Figures(line("module_refresh_us", 3.5))
    found = capacity.find(row("refresh_cpu"), figures)
    text = tables.told(found.value, "", "share", found.used, figures, found.row.value, found.untold)
    assert text.endswith("foretold: module_refresh_us was taken up to 5,000 engines")


@pytest.mark.parametrize(
    ("value", "text"),
    [(0, "0"), (15_000, "15,000"), (0.01234, "0.0123"), (48.04, "48.0"), (123_456.7, "123,000")],
)
def test_numbers_as_text(value: float, text: str) -> None:
    assert tables.number(value) == text


# --- Predictions.


def wanted(engines: int) -> Sample:
    blank: dict[str, Any] = {"unit": "", "value": 0.0, "low": 0.0, "high": 0.0, "n": 1, "kind": "core"}
    return Sample(quantity="module_refresh_us", gateways=200, engines=engines, **blank)


def test_a_prediction_is_written_before_its_run_only() -> None:
    samples = line("module_refresh_us", 3.5)
    assert grows_with("module_refresh_us", samples) == "engines"
    made = foretell(samples, wanted(15_000), "engines", 0.0)
    assert made.value == pytest.approx(52_500, rel=0.01) and made.low < made.value < made.high
    assert made.sizes == ENGINES and made.written_at == "1970-01-01T00:00:00Z"
    with pytest.raises(ValueError, match="measured already"):
        foretell(samples, wanted(5000), "engines", 0.0)


def results(tmp_path: Path, name: str, samples: list[Sample], began: float) -> None:
    save(tmp_path / name, "test", began, this_machine(), samples, "")


def test_found_stands_beside_foretold_and_an_earlier_run_counts_for_nothing(tmp_path: Path) -> None:
    made = foretell(line("module_refresh_us", 3.5), wanted(15_000), "engines", 1000.0)
    late = [changed(wanted(15_000), value=52_500.0, unit="us")]
    results(tmp_path, "before.json", late, 900.0)
    assert "not run" in tables.foretold([made], list(read_results(tmp_path).values()))
    results(tmp_path, "after.json", late, 1100.0)
    text = tables.foretold([made], list(read_results(tmp_path).values()))
    assert "| 52,500 us | 1.000 | yes |" in text
    off = [changed(late[0], value=90_000.0)]
    results(tmp_path, "after.json", off, 1100.0)
    assert "**no**" in tables.foretold([made], list(read_results(tmp_path).values()))


# --- Commands.


def test_check_ends_with_1_where_a_budget_is_passed_and_with_0_where_none_is(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(rows, "ROWS", (row("refresh_cpu"),))
    results(tmp_path, "x.json", line("module_refresh_us", 3.5), 0.0)
    large = CliRunner().invoke(check, ["--results", str(tmp_path)])
    assert large.exit_code == 1 and "refresh_cpu" in large.output
    small = CliRunner().invoke(check, ["--results", str(tmp_path), "--gateways", "200", "--engines", "80"])
    assert small.exit_code == 0, small.output


def test_report_foretells_into_its_file_once_for_a_size_that_nobody_measured(tmp_path: Path) -> None:
    results(tmp_path, "x.json", line("module_refresh_us", 3.5), 0.0)
    ask = ["--results", str(tmp_path), "--foretell", "module_refresh_us", "--gateways", "200", "--engines"]
    done = CliRunner().invoke(report, [*ask, "15000"])
    assert done.exit_code == 0 and (tmp_path / "foretold.json").exists(), done.output
    again = CliRunner().invoke(report, [*ask, "5000"])
    assert again.exit_code == 1 and "measured already" in again.output
    unknown = CliRunner().invoke(
        report, ["--results", str(tmp_path), "--foretell", "x", "--gateways", "1", "--engines", "1"]
    )
    assert unknown.exit_code == 1 and "no row of the page uses x" in unknown.output


def test_no_size_without_a_figure() -> None:
    with pytest.raises(NotMeasured):
        Size(1, 1, Figures([])).measured("module_refresh_us", "engines")
    assert Found(rows.ROWS[0], None, "x", None, ()).share is None


def test_runs_of_predictions_are_in_no_fit(tmp_path: Path) -> None:
    results(tmp_path, "x.json", line("module_refresh_us", 3.5), 0.0)
    results(tmp_path, "found-x.json", [changed(wanted(15_000), value=1e9, unit="us")], 0.0)
    assert {s.engines for s in tables.fitted(read_results(tmp_path))} == set(ENGINES)


def test_with_a_subset_both_sizes_may_grow_in_step_and_what_it_leaves_as_it_is_is_taken_from_without() -> (
    None
):
    stepped = [
        changed(s, gateways=s.engines // 4, subset=64)
        for s in line("memo_bytes_per_s", 0.0, 900.0, subset=64)
    ]
    kept = Figures(stepped + line("node_cpu_share", 1e-5, over="gateways"), subset=64)
    size = Size(4000, 15_000, kept)
    assert size.measured("memo_bytes_per_s", "engines").value == pytest.approx(900)
    assert size.measured("node_cpu_share", "gateways").value == pytest.approx(0.04)
    with pytest.raises(NotMeasured):  # that one it changes
        Size(1, 1, Figures(line("module_refresh_us", 3.5), subset=64)).measured(
            "module_refresh_us", "engines"
        )


def test_memos_cost_by_the_sightings_in_them() -> None:
    several = line("memo_datagrams_per_s", 0.0, 10.0) + line("memo_bytes_per_s", 0.0, 10 * (31 + 7 * 5.0))
    found = capacity.find(row("memo_cpu"), Figures(several + line("module_memo_us", 0.0, 8.0)))
    assert value_of(found).value == pytest.approx(10 * 5 * 8 / 1e6)


def test_files_of_before_stand_beside_those_of_now_and_are_in_no_fit(tmp_path: Path) -> None:
    (tmp_path / "before").mkdir()
    results(
        tmp_path, "before/x.json", line("module_refresh_us", 35.0) + line("module_memo_us", 0.0, 8.0), 0.0
    )
    results(tmp_path, "x.json", line("module_refresh_us", 3.5) + line("module_memo_us", 0.0, 8.0), 1.0)
    uses = [capacity.Use("module_refresh_us", "engines"), capacity.Use("module_memo_us", "engines")]
    text = tables.mendings(read_results(tmp_path), uses)
    assert (
        "| module_refresh_us | gateway | 5,000 engines | 175,000 us | linear | 17,500 us | linear |" in text
    )
    assert "module_memo_us" not in text
    assert {s.value for s in tables.fitted(read_results(tmp_path)) if s.engines == 5000} == {17_500.0, 8.0}


def test_simulated_seconds_stand_by_size_and_note() -> None:
    samples = line("sim_cpu_s", 0.002, over="gateways", kind="simulated", note="before", unit="s")
    text = tables.simulation(samples + [changed(s, note="after", value=0.01) for s in samples])
    assert "| gateways | before | after |" in text and "| 800 | 1.60 s" in text
    assert tables.simulation([]) == "not measured: sim_cpu_s"


def test_hollow_runs_stand_beside_what_cores_and_simulation_say_of_their_size() -> None:
    samples = line("memo_datagrams_per_s", 1.25) + line("control_cpu_share", 1e-4, kind="hollow")
    hollow = changed(wanted(80), quantity="memo_datagrams_per_s", kind="hollow", value=110.0, subset=0)
    text = tables.agreement([*samples, hollow], Figures([*samples, hollow]))
    assert "| 200 | 80 | 110 datagrams/s | 100" in text and text.endswith("| 1.10 |")
    assert "not measured" in tables.agreement([], Figures([]))


def test_a_row_takes_figures_of_its_own_kind_only() -> None:
    samples = line("memo_datagrams_per_s", 1.25, kind="hollow")
    assert capacity.find(row("memo_datagrams"), Figures(samples)).missing == "memo_datagrams_per_s"


def test_a_range_that_tells_nothing_passes_no_budget_and_ranks_nowhere() -> None:
    figures, use = Figures([]), capacity.Use("module_refresh_us", "engines", "core")
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
        worst=0.1,
        curve=lambda x: (x, 1.5 * x),
    )
    found = capacity.find(row("refresh_cpu"), figures)
    assert found.untold and not found.passed
    assert not crossing_of(found).sure and capacity.failing([found]) == []
    assert tables.where("engines", found.crossing).startswith("unsure: ")
    text = tables.told(found.value, "", "share", found.used, figures, found.row.value, found.untold)
    assert text == "not told by its sizes; 0.0400% at 80 engines"


def test_a_curve_below_0_tells_nothing() -> None:
    falling = Figures(line("module_refresh_us", -1.0, 6000.0))
    found = capacity.find(row("refresh_cpu"), falling)
    assert found.untold and not found.passed
    assert tables.told(found.value, "", "share", found.used, falling, found.row.value, found.untold) == (
        "not told by its sizes; 0.500% at 5,000 engines"
    )


def test_what_is_passed_at_the_least_size_taken_says_no_more_than_that() -> None:
    found = capacity.find(row("refresh_cpu"), Figures(line("module_refresh_us", 0.0, 1e6)))
    assert crossing_of(found).below and crossing_of(found).sure
    assert tables.where("engines", found.crossing) == "below 20 engines, the least taken"


def test_a_wide_range_all_of_which_passes_the_budget_passes_it() -> None:
    wide = Estimate(10.0, 2.0, 40.0)
    high = replace(row("clients"), value=lambda s: wide, budget=1.0)
    assert capacity.find(high, Figures([])).passed
    assert not capacity.find(replace(high, budget=50.0), Figures([])).passed


def test_what_only_a_file_of_before_has_is_fitted_all_the_same(tmp_path: Path) -> None:
    results(tmp_path, "simulated-unmended.json", line("slot_s", 1.0, over="gateways", kind="simulated"), 0.0)
    assert len(tables.fitted(read_results(tmp_path))) == len(GATEWAYS)
    results(tmp_path, "simulated.json", line("slot_s", 0.5, over="gateways", kind="simulated")[:2], 1.0)
    assert len(tables.fitted(read_results(tmp_path))) == 2


def test_ways_of_subsetting_stand_by_name_at_the_largest_size() -> None:
    base = changed(wanted(600), quantity="holders_least", kind="simulated", subset=80, note="ring", value=3.0)
    large = changed(base, gateways=4000, engines=15_000, value=20.0)
    text = tables.ways([base, large, changed(large, note="rounds", value=19.0)])
    assert "| ring | 20 | -" in text and "| rounds | 19 | -" in text and "| 3 |" not in text
    assert tables.ways([]) == "not measured: holders_least"


def test_hollow_runs_without_memos_are_in_no_sum(tmp_path: Path) -> None:
    busy = line("control_cpu_share", 1e-4, kind="hollow") + line("memo_datagrams_per_s", 1.2, kind="hollow")
    quiet = [
        changed(s, value=0.0) if s.engines == 5000 and s.quantity.startswith("memo") else s for s in busy
    ]
    results(tmp_path, "x.json", quiet, 0.0)
    sizes = {s.engines for s in tables.fitted(read_results(tmp_path)) if s.quantity == "control_cpu_share"}
    assert sizes == set(ENGINES) - {5000}


def test_a_wide_range_within_the_sizes_taken_stands_as_it_is() -> None:
    wide = [changed(s, value=3.0 + s.engines % 3) for s in line("module_refresh_us", 0.0, 3.0, spread=0.9)]
    wide.append(changed(wide[0], engines=15_000, value=9.0))
    found = capacity.find(row("refresh_cpu"), Figures(wide))
    assert not found.beyond and not found.untold
    sooner = capacity.find(row("refresh_cpu"), Figures([s for s in wide if s.engines < 15_000]))
    assert sooner.beyond
