"""The cores measured alone: every quantity comes, in its unit, and bounds end a measurement by themselves.

No verdict rests on a time: what is checked of times is that they are positive."""

import time
from dataclasses import replace
from pathlib import Path

import pytest
from click.testing import CliRunner

from whintrail import interface as api
from whintrail.cli.root import root
from whintrail.fleet import probe_reports
from whintrail.gateway.bulletin import read_entry
from whintrail.scale.deployment import Deployment
from whintrail.scale.results import Sample, load_results
from whintrail.scale.slopes import merge_rounds
from whintrail.scale.slopes_probe_reports import DATAGRAM_HEADER_BYTES, ReportExchange
from whintrail.scale.slopes_routing import PolicyHarness
from whintrail.scale.timing import Bench, BoundError, measure_cpu_us, measure_held_bytes

UNITS = {
    "us": (
        "module_refresh_us module_refresh_unused_us module_sweep_us module_choose_us module_query_us "
        "module_ended_us module_list_delta_us module_list_whole_us module_memo_us list_read_whole_us "
        "list_read_delta_us gateway_update_whole_us gateway_update_delta_us list_digest_us leader_engines_us "
        "membership_tick_us membership_take_us node_tick_us node_take_us"
    ),
    "bytes": (
        "module_bytes list_line_bytes membership_bytes node_bytes log_bytes log_told_bytes "
        "version_body_bytes version_body_fetch_bytes lease_ask_bytes lease_tell_bytes"
    ),
    "share": "memo_keys_shared cold_part leader_lease_answered node_cpu_share",
    "datagrams/s": (
        "memo_datagrams_per_s memo_sent_datagrams_per_s lease_asks_per_s leader_lease_asks_per_s "
        "leader_lease_tells_per_s leader_held_back_per_s node_datagrams_per_s"
    ),
    "bytes/s": "memo_bytes_per_s memo_sent_bytes_per_s leader_lease_bytes_per_s node_bytes_per_s",
    "count": "probes_per_s probes_an_engine_per_s",
}
MAY_BE_ZERO = {"memo_keys_shared", "leader_held_back_per_s"}
SMALL_RUN = [
    *("--engines", "20,60", "--gateways", "8,16", "--played-engines", "20", "--played-gateways", "5"),
    *("--repeats", "3", "--rounds", "1"),
]


@pytest.fixture(scope="module")
def slope_samples(tmp_path_factory: pytest.TempPathFactory) -> list[Sample]:
    path = tmp_path_factory.mktemp("slopes") / "slopes.json"
    found = CliRunner().invoke(root, ["scale", "slopes", *SMALL_RUN, "--seconds", "60", "--to", str(path)])
    assert found.exit_code == 0, found.output
    return load_results(path).samples


def test_small_run_has_every_quantity_with_its_unit_and_a_positive_value(slope_samples: list[Sample]) -> None:
    wanted = {name: unit for unit, names in UNITS.items() for name in names.split()}
    assert {one.quantity: one.unit for one in slope_samples} == wanted
    for one in slope_samples:
        assert one.low <= one.value <= one.high
        assert one.value >= 0 if one.quantity in MAY_BE_ZERO else one.value > 0, one
        assert one.unit != "share" or one.value <= 1, one
        assert one.kind == "core"


def test_each_quantity_is_measured_at_both_sizes_and_for_both_roles(slope_samples: list[Sample]) -> None:
    def sizes(quantity: str, role: str = "gateway") -> list[tuple[int, int]]:
        return [(s.gateways, s.engines) for s in slope_samples if (s.quantity, s.role) == (quantity, role)]

    assert sizes("module_refresh_us") == [(200, 20), (200, 60)]
    assert sizes("membership_tick_us") == sizes("node_tick_us", "leader") == [(8, 0), (16, 0)]
    assert sizes("memo_datagrams_per_s") == [(5, 20)]


def test_counts_match_what_the_real_components_send(slope_samples: list[Sample]) -> None:
    """Of counts, what must hold whatever the machine: the line's length, keys, leases, a part of 1/n."""
    value = {(s.quantity, s.role, s.gateways, s.engines): s.value for s in slope_samples}
    assert value["list_line_bytes", "gateway", 200, 60] == len(Deployment(200, 60).full_list_line())
    assert value["cold_part", "gateway", 16, 0] == 1 / 16
    assert value["leader_lease_answered", "leader", 16, 0] == 1.0  # few enough for what it may send
    asks = value["lease_asks_per_s", "gateway", 16, 0]
    assert 2.0 <= asks <= 3.0  # a third of a lease of 1.2 s apart, by turns
    memos = value["memo_datagrams_per_s", "gateway", 5, 20]
    one = probe_reports.HEADER.size + probe_reports.ENTRY.size + DATAGRAM_HEADER_BYTES
    assert value["memo_bytes_per_s", "gateway", 5, 20] == pytest.approx(memos * one)


def test_with_a_subset_the_policy_holds_fewer_engines_and_samples_name_the_subset(
    slope_samples: list[Sample], tmp_path: Path
) -> None:
    path = tmp_path / "part.json"
    given = ["--subset", "8", "--fleet", "40", "--engines", "60,120", "--repeats", "3", "--rounds", "1"]
    given += ["--played-engines", "20,40", "--played-gateways", "5,10", "--part", "module", "--part", "memos"]
    found = CliRunner().invoke(root, ["scale", "slopes", *given, "--seconds", "60", "--to", str(path)])
    assert found.exit_code == 0, found.output
    part = load_results(path).samples
    assert {one.subset for one in part} == {8}
    assert {one.quantity for one in part} <= {one.quantity for one in slope_samples}
    (whole,) = (s.value for s in slope_samples if s.quantity == "module_bytes" and s.engines == 60)
    assert all(s.value < whole for s in part if s.quantity == "module_bytes")
    few = CliRunner().invoke(root, ["scale", "slopes", *given, "--played-engines", "20", "--to", str(path)])
    assert few.exit_code == 2


@pytest.mark.parametrize(("bound", "word"), [(("--seconds", "0"), "time"), (("--memory-mb", "1"), "memory")])
def test_a_bound_ends_the_run_with_one_line_and_keeps_the_samples(
    tmp_path: Path, bound: tuple[str, str], word: str
) -> None:
    path = tmp_path / "slopes.json"
    found = CliRunner().invoke(root, ["scale", "slopes", *SMALL_RUN, *bound, "--to", str(path)])
    assert found.exit_code == 1
    assert word in found.output.splitlines()[-1]
    assert "was not run" in load_results(path).note


def test_list_filter_is_applied_before_the_policy() -> None:
    def half(event: api.EngineListReceived) -> api.EngineListReceived:
        kept = tuple(entry for entry in event.entries if int(entry.engine[-1]) % 2 == 0)
        return replace(event, entries=kept)

    assert len(PolicyHarness(Deployment(20, 40)).policy.ready) == 40
    assert len(PolicyHarness(Deployment(20, 40), half).policy.ready) == 20


def test_lists_of_a_deployment_are_readable_by_a_gateway() -> None:
    deployment = Deployment(4, 300)
    entries = deployment.engine_list().entries
    assert len({entry.engine for entry in entries}) == 300
    assert {entry.zone for entry in entries} == set(deployment.zone_names())
    assert all(entry.state is api.EngineState.READY for entry in entries)
    assert read_entry(deployment.list_item(3, "left"))[0].state is api.EngineState.REMOVED
    assert {work.name for work in deployment.query_classes} == {
        cls.name for cls in deployment.settings().classes
    }


def test_the_same_seed_repeats_and_all_gateways_receive_each_report() -> None:
    def played(seed: int) -> list[tuple[int, int, int]]:
        play = ReportExchange(Deployment(5, 10), 10.0, seed)
        play.start()
        play.run(2_000_000, Bench(time.monotonic() + 60, 4096))
        return [(c.received_datagrams, c.sent_datagrams, c.probes) for c in play.traffic]

    assert played(3) == played(3) != played(4)
    heard, told = (sum(each[place] for each in played(3)) for place in (0, 1))
    assert 0 < heard <= told <= heard + 4 * 10  # what is on its way at the end has not been heard


def test_rounds_are_merged_into_one_sample_per_size() -> None:
    def one(value: float) -> Sample:
        return Sample(
            quantity="a_us", unit="us", gateways=1, engines=2, value=value, low=value - 1, high=value + 1,
            n=3, kind="core",
        )  # fmt: skip

    found = merge_rounds([one(5), one(9), one(6)])
    assert [(s.value, s.low, s.high, s.n) for s in found] == [(6, 4, 10, 9)]


def test_a_figure_is_the_mean_over_its_iterations_and_bounds_are_checked() -> None:
    bench, turns = Bench(time.monotonic() + 60, 4096), [0]

    def work() -> None:
        turns[0] += 1

    before = [0]

    def prepare() -> None:
        before[0] += 1

    assert len(measure_cpu_us(work, 4, bench, prepare, single=True)) == 4
    assert turns[0] == 4
    assert before[0] == 5  # once ahead of all
    assert len(bench.slowdowns) == 8
    assert min(bench.slowdowns) >= 1.0
    with pytest.raises(BoundError, match="time"):
        measure_cpu_us(work, 1, Bench(time.monotonic() - 1, 4096))
    held, made = measure_held_bytes(lambda: bytearray(100_000))
    assert 100_000 <= held < 110_000
    assert len(made) == 100_000
