"""Tests of the scale run: a small size end to end, and the auditor with correct and faulty gateways."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import psutil  # type: ignore[import-untyped]
import pytest

from whintrail.cli import main
from whintrail.scale.auditor import Auditor
from whintrail.scale.hollow import digest_names
from whintrail.scale.plan import PlanError, read_sweep
from whintrail.scale.results import load_results
from whintrail.versions.lease import Phase, VersionLease
from whintrail.versions.rules import Rules

ROOT = Path(__file__).resolve().parent.parent
SMALL = ROOT / "deploy" / "scale" / "small.jsonnet"
MAX_OVERLAP_US = 1_350_000
LEASE_US = 1_200_000


# --- The auditor alone. Times are in microseconds.


def build_auditor(gateways: int = 3) -> Auditor:
    auditor = Auditor(gateways, MAX_OVERLAP_US)
    for number in range(gateways):
        auditor.record_event("up", number, 0, 1)
    return auditor


def play_gateway(
    auditor: Auditor, number: int, lease: VersionLease, end_us: int, respects_expiry: bool
) -> None:
    """Reports the rules of a gateway to the auditor at each change, as hollow gateways do; a tick is 50
    ms."""
    reported: tuple[str, bool] | None = None
    for now in range(0, end_us, 50_000):
        rule = lease.active_version(now)
        active = rule.label, rule.leased or not respects_expiry
        if active != reported:
            reported = active
            auditor.record_event("rule", number, now, *active)


@pytest.mark.parametrize("respects_expiry", [True, False])
def test_a_gateway_that_ignores_its_lease_expiry_is_a_breach(respects_expiry: bool) -> None:
    """n0 is partitioned with a lease on version 0; the others go on to version 1 after the maximal
    overlap."""
    auditor = build_auditor()
    partitioned = VersionLease()
    partitioned.renew(0, Phase.SETTLED, LEASE_US, {0: Rules()})
    play_gateway(auditor, 0, partitioned, 10_000_000, respects_expiry)
    for number in (1, 2):
        auditor.record_event("rule", number, 0, "0", True)
        auditor.record_event("rule", number, 200_000, "0>1", True)
        auditor.record_event("rule", number, 200_000 + MAX_OVERLAP_US, "1", True)
    auditor.check_rules(10_000_000)
    assert bool(auditor.breaches) is not respects_expiry


@pytest.mark.parametrize("skipped", [None, 3])
def test_a_gateway_that_skips_a_delta_is_a_breach(skipped: int | None) -> None:
    auditor = build_auditor()
    ready = [f"s-{number}" for number in range(10)]
    digests = {1: digest_names(ready)}
    auditor.record_published(1, 1000, digests[1])
    for generation in range(2, 6):
        digests[generation] = digest_names(ready[generation:])
        auditor.record_published(generation, generation * 1000, digests[generation])
    for number in range(3):
        for generation in range(1, 6):
            if (number, generation) != (1, skipped):
                auditor.record_event("list", number, generation * 1000 + 10 * number, generation, 0)
    auditor.check_lists(10_000_000, 1_000_000)
    assert [("n1" in b and "generation 3" in b) for b in auditor.breaches] == ([True] if skipped else [])
    assert sorted(auditor.list_delays())[-1] == 20


def test_a_different_list_under_the_same_generation_is_a_breach() -> None:
    auditor = build_auditor()
    auditor.record_published(1, 0, digest_names(["a", "b"]))
    auditor.check_digests([(0, 1, digest_names(["b", "a"])), (1, 1, digest_names(["a"]))])
    assert auditor.breaches == ["n1 has a different list under generation 1"]


def test_no_breach_for_gateways_that_were_down_or_still_have_time() -> None:
    auditor = build_auditor()
    auditor.record_down(2, 500)
    auditor.record_published(1, 1000)
    auditor.record_event("list", 0, 1100, 1, 0)
    auditor.check_lists(1_000_000, 1_000_000)  # n1 still has time
    assert auditor.breaches == []
    auditor.check_lists(3_000_000, 1_000_000)
    assert auditor.breaches == ["n1 never received generation 1 of the list"]


def test_an_engine_with_too_few_holders_is_a_breach() -> None:
    auditor = build_auditor()
    auditor.check_holders([["a", "b"], ["a", "b"], ["b", "c"]], {"a", "b"}, 2)
    assert auditor.breaches == []
    auditor.check_holders([["a", "b"], ["a"], ["b"]], {"a", "b", "c"}, 2)
    assert auditor.breaches == ["1 engines are kept by fewer than 2 gateways: c by 0"]


def test_each_gateways_view_of_departed_members_is_checked() -> None:
    auditor = build_auditor(4)
    auditor.record_down(3, 100)
    auditor.check_members({0: [3], 1: [], 2: [3, 0], 3: [0, 1, 2]}, 200)
    assert auditor.breaches == [
        "n1 considers n3 alive, which is down (1)",
        "n2 considers n0 gone, which is up (1)",
    ]


def test_stopped_time_is_excluded_and_an_older_version_is_a_breach() -> None:
    auditor = build_auditor(2)
    auditor.record_event("rule", 0, 0, "0", True)
    auditor.record_event("rule", 1, 0, "0", True)
    auditor.record_stopped(0, 100_000)
    auditor.record_event("rule", 1, 200_000, "1", True)
    auditor.record_continued(0, 9_000_000)
    auditor.record_event("rule", 0, 9_050_000, "0", False)
    auditor.check_rules(10_000_000)
    assert auditor.breaches == []
    auditor.record_event("rule", 1, 9_100_000, "0", True)
    assert auditor.breaches == ["n1 went back from version 1 to 0, leased"]


def test_in_force_delays_count_from_the_proposal_and_a_restart_resets_them() -> None:
    auditor = build_auditor(2)
    auditor.record_event("rule", 0, 1_000, "1", True)
    auditor.record_event("rule", 1, 3_000, "1", True)
    assert auditor.in_force_delays("1", 500) == {0: 500, 1: 2_500}
    assert auditor.gateways_not_acting_by("1", 4_000) == []
    auditor.record_event("up", 1, 5_000, 2)
    assert auditor.gateways_not_acting_by("1", 6_000) == [1]
    auditor.record_event("rule", 1, 7_000, "0", True)  # a new process starts with version 0
    assert auditor.breaches == []


# --- Files.


def test_an_invalid_file_error_names_the_field(tmp_path: Path) -> None:
    file = tmp_path / "bad.jsonnet"
    file.write_text("{ sizes: [{ name: 'x', gateways: 5000, engines: 1 }] }")
    with pytest.raises(PlanError, match=r"gateways.*4000"):
        read_sweep(file)
    file.write_text("{ sizes: [{ name: 'x', gateways: 5, engines: 1, real: 4 }] }")
    with pytest.raises(PlanError, match="less than council and real"):
        read_sweep(file)
    for path in (ROOT / "deploy" / "scale").glob("*.jsonnet"):
        assert read_sweep(path).sizes


# --- The run.


def test_the_small_size_completes_without_a_breach(tmp_path: Path) -> None:
    to = tmp_path / "run.json"
    assert main(["scale", "run", str(SMALL), "--seconds", "120", "--to", str(to)]) == 0
    samples = {(s.quantity, s.day, s.role): s for s in load_results(to).samples}
    assert all(s.value == 0 for (name, _, _), s in samples.items() if name == "breaches")
    assert samples["version_in_force_s", "changes", "gateway"].n >= 1
    assert samples["list_apply_s", "changes", "gateway"].n >= 12
    assert samples["faults", "steady", "gateway"].high == 0
    assert samples["memo_datagrams_per_s", "steady", "gateway"].value > 0


def test_a_memory_limit_ends_the_run_with_one_line_and_no_process(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    before = {child.pid for child in psutil.Process().children(recursive=True)}
    assert main(["scale", "run", str(SMALL), "--memory-mb", "100"]) == 1
    lines = [line for line in capsys.readouterr().err.splitlines() if line.startswith("whintrail:")]
    assert len(lines) == 1 and "over the bound of 100 MB" in lines[0]
    assert {child.pid for child in psutil.Process().children(recursive=True)} == before


def test_ctrl_c_leaves_no_process(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "whintrail", "scale", "run", str(SMALL)]
    with open(tmp_path / "err", "wb") as err:
        process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=err)
    try:
        end = time.monotonic() + 30
        while b"event=started" not in (tmp_path / "err").read_bytes():
            assert process.poll() is None and time.monotonic() < end
            time.sleep(0.05)
        children = psutil.Process(process.pid).children(recursive=True)
        assert len(children) >= 5
        os.kill(process.pid, signal.SIGINT)
        assert process.wait(20) == 130
        assert psutil.wait_procs(children, 5)[1] == []
    finally:
        process.kill()
        process.wait()
