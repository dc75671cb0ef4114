"""The slope measurements: every quantity is present in its unit, and bounds end a measurement.

Times depend on the machine and are only checked to be positive.
"""

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
    result = CliRunner().invoke(root, ["scale", "slopes", *SMALL_RUN, "--seconds", "60", "--to", str(path)])
    assert result.exit_code == 0, result.output
    return load_results(path).samples


def test_small_run_has_every_quantity_with_its_unit_and_a_positive_value(slope_samples: list[Sample]) -> None:
    expected = {name: unit for unit, names in UNITS.items() for name in names.split()}
    assert {sample.quantity: sample.unit for sample in slope_samples} == expected
    for sample in slope_samples:
        assert sample.low <= sample.value <= sample.high
        assert sample.value >= 0 if sample.quantity in MAY_BE_ZERO else sample.value > 0, sample
        assert sample.unit != "share" or sample.value <= 1, sample
        assert sample.kind == "core"


def test_each_quantity_is_measured_at_both_sizes_and_for_both_roles(slope_samples: list[Sample]) -> None:
    def sizes(quantity: str, role: str = "gateway") -> list[tuple[int, int]]:
        return [(s.gateways, s.engines) for s in slope_samples if (s.quantity, s.role) == (quantity, role)]

    assert sizes("module_refresh_us") == [(200, 20), (200, 60)]
    assert sizes("membership_tick_us") == sizes("node_tick_us", "leader") == [(8, 0), (16, 0)]
    assert sizes("memo_datagrams_per_s") == [(5, 20)]


def test_counts_match_what_the_real_components_send(slope_samples: list[Sample]) -> None:
    """Counts that don't depend on the machine: line length, work share of 1/n, leases, report bytes."""
    value = {(s.quantity, s.role, s.gateways, s.engines): s.value for s in slope_samples}
    assert value["list_line_bytes", "gateway", 200, 60] == len(Deployment(200, 60).full_list_line())
    assert value["cold_part", "gateway", 16, 0] == 1 / 16
    assert value["leader_lease_answered", "leader", 16, 0] == 1.0  # below the leader's send limits
    requests_per_s = value["lease_asks_per_s", "gateway", 16, 0]
    assert 2.0 <= requests_per_s <= 3.0  # a third of a lease of 1.2 s apart, in steps of a tick
    datagrams_per_s = value["memo_datagrams_per_s", "gateway", 5, 20]
    datagram_bytes = probe_reports.HEADER.size + probe_reports.ENTRY.size + DATAGRAM_HEADER_BYTES
    assert value["memo_bytes_per_s", "gateway", 5, 20] == pytest.approx(datagrams_per_s * datagram_bytes)


def test_with_a_subset_the_policy_holds_fewer_engines_and_samples_name_the_subset(
    slope_samples: list[Sample], tmp_path: Path
) -> None:
    path = tmp_path / "part.json"
    args = ["--subset", "8", "--fleet", "40", "--engines", "60,120", "--repeats", "3", "--rounds", "1"]
    args += ["--played-engines", "20,40", "--played-gateways", "5,10", "--part", "module", "--part", "memos"]
    result = CliRunner().invoke(root, ["scale", "slopes", *args, "--seconds", "60", "--to", str(path)])
    assert result.exit_code == 0, result.output
    subset_samples = load_results(path).samples
    assert {sample.subset for sample in subset_samples} == {8}
    assert {sample.quantity for sample in subset_samples} <= {sample.quantity for sample in slope_samples}
    (full_bytes,) = (s.value for s in slope_samples if s.quantity == "module_bytes" and s.engines == 60)
    assert all(s.value < full_bytes for s in subset_samples if s.quantity == "module_bytes")
    mismatched = CliRunner().invoke(
        root, ["scale", "slopes", *args, "--played-engines", "20", "--to", str(path)]
    )
    assert mismatched.exit_code == 2


@pytest.mark.parametrize(("bound", "word"), [(("--seconds", "0"), "time"), (("--memory-mb", "1"), "memory")])
def test_a_bound_ends_the_run_with_one_line_and_keeps_the_samples(
    tmp_path: Path, bound: tuple[str, str], word: str
) -> None:
    path = tmp_path / "slopes.json"
    result = CliRunner().invoke(root, ["scale", "slopes", *SMALL_RUN, *bound, "--to", str(path)])
    assert result.exit_code == 1
    assert word in result.output.splitlines()[-1]
    assert "was not run" in load_results(path).note


def test_list_filter_is_applied_before_the_policy() -> None:
    def even_engines(event: api.EngineListReceived) -> api.EngineListReceived:
        kept = tuple(entry for entry in event.entries if int(entry.engine[-1]) % 2 == 0)
        return replace(event, entries=kept)

    assert len(PolicyHarness(Deployment(20, 40)).policy.ready) == 40
    assert len(PolicyHarness(Deployment(20, 40), even_engines).policy.ready) == 20


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
    def run_exchange(seed: int) -> list[tuple[int, int, int]]:
        exchange = ReportExchange(Deployment(5, 10), 10.0, seed)
        exchange.start()
        exchange.run(2_000_000, Bench(time.monotonic() + 60, 4096))
        return [
            (traffic.received_datagrams, traffic.sent_datagrams, traffic.probes)
            for traffic in exchange.traffic
        ]

    assert run_exchange(3) == run_exchange(3) != run_exchange(4)
    received, sent = (sum(gateway[index] for gateway in run_exchange(3)) for index in (0, 1))
    assert 0 < received <= sent <= received + 4 * 10  # some are still in transit at the end


def test_rounds_are_merged_into_one_sample_per_size() -> None:
    def round_sample(value: float) -> Sample:
        return Sample(
            quantity="a_us", unit="us", gateways=1, engines=2, value=value, low=value - 1, high=value + 1,
            n=3, kind="core",
        )  # fmt: skip

    merged = merge_rounds([round_sample(5), round_sample(9), round_sample(6)])
    assert [(s.value, s.low, s.high, s.n) for s in merged] == [(6, 4, 10, 9)]


def test_a_figure_is_the_mean_over_its_iterations_and_bounds_are_checked() -> None:
    bench, iterations = Bench(time.monotonic() + 60, 4096), [0]

    def work() -> None:
        iterations[0] += 1

    preparations = [0]

    def prepare() -> None:
        preparations[0] += 1

    assert len(measure_cpu_us(work, 4, bench, prepare, single=True)) == 4
    assert iterations[0] == 4
    assert preparations[0] == 5  # once more ahead of all figures
    assert len(bench.slowdowns) == 8
    assert min(bench.slowdowns) >= 1.0
    with pytest.raises(BoundError, match="time"):
        measure_cpu_us(work, 1, Bench(time.monotonic() - 1, 4096))
    held_bytes, made = measure_held_bytes(lambda: bytearray(100_000))
    assert 100_000 <= held_bytes < 110_000
    assert len(made) == 100_000
