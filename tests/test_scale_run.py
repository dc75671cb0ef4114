"""The scale run: a small size end to end, the auditor on its own, and broken variants that it catches."""

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


# --- The auditor alone. Times are microseconds.


def build_auditor(gateways: int = 3) -> Auditor:
    found = Auditor(gateways, MAX_OVERLAP_US)
    for number in range(gateways):
        found.record_event("up", number, 0, 1)
    return found


def play_gateway(
    auditor: Auditor, number: int, lease: VersionLease, end_us: int, respects_expiry: bool
) -> None:
    """A gateway's turns, each 50 ms, telling the auditor as hollow ones do."""
    told: tuple[str, bool] | None = None
    for now in range(0, end_us, 50_000):
        rule = lease.active_version(now)
        acts = rule.label, rule.leased or not respects_expiry
        if acts != told:
            told = acts
            auditor.record_event("rule", number, now, *acts)


@pytest.mark.parametrize("heeds_lapses", [True, False])
def test_a_gateway_that_ignores_its_lease_expiry_is_a_breach(heeds_lapses: bool) -> None:
    """n0 is cut off with a lease on version 0; the others go on to version 1, after T, as a leader must."""
    found = build_auditor()
    cut_off = VersionLease()
    cut_off.renew(0, Phase.SETTLED, LEASE_US, {0: Rules()})
    play_gateway(found, 0, cut_off, 10_000_000, heeds_lapses)
    for number in (1, 2):
        found.record_event("rule", number, 0, "0", True)
        found.record_event("rule", number, 200_000, "0>1", True)
        found.record_event("rule", number, 200_000 + MAX_OVERLAP_US, "1", True)
    found.check_rules(10_000_000)
    assert bool(found.breaches) is not heeds_lapses


@pytest.mark.parametrize("skipped", [None, 3])
def test_a_gateway_that_skips_a_delta_is_a_breach(skipped: int | None) -> None:
    found = build_auditor()
    ready = [f"s-{number}" for number in range(10)]
    digests = {1: digest_names(ready)}
    found.record_published(1, 1000, digests[1])
    for generation in range(2, 6):
        digests[generation] = digest_names(ready[generation:])
        found.record_published(generation, generation * 1000, digests[generation])
    for number in range(3):
        for generation in range(1, 6):
            if (number, generation) != (1, skipped):
                found.record_event("list", number, generation * 1000 + 10 * number, generation, 0)
    found.check_lists(10_000_000, 1_000_000)
    assert [("n1" in b and "generation 3" in b) for b in found.breaches] == ([True] if skipped else [])
    assert sorted(found.list_delays())[-1] == 20


def test_a_different_list_under_the_same_generation_is_a_breach() -> None:
    found = build_auditor()
    found.record_published(1, 0, digest_names(["a", "b"]))
    found.check_digests([(0, 1, digest_names(["b", "a"])), (1, 1, digest_names(["a"]))])
    assert found.breaches == ["n1 holds another list under generation 1"]


def test_no_breach_for_gateways_that_were_down_or_still_have_time() -> None:
    found = build_auditor()
    found.record_down(2, 500)
    found.record_published(1, 1000)
    found.record_event("list", 0, 1100, 1, 0)
    found.check_lists(1_000_000, 1_000_000)  # n1 has time yet
    assert found.breaches == []
    found.check_lists(3_000_000, 1_000_000)
    assert found.breaches == ["n1 never had generation 1 of the list"]


def test_an_engine_with_too_few_holders_is_a_breach() -> None:
    found = build_auditor()
    found.check_holders([["a", "b"], ["a", "b"], ["b", "c"]], {"a", "b"}, 2)
    assert found.breaches == []
    found.check_holders([["a", "b"], ["a"], ["b"]], {"a", "b", "c"}, 2)
    assert found.breaches == ["1 engines are kept by fewer than 2 gateways: c by 0"]


def test_each_gateways_view_of_departed_members_is_checked() -> None:
    found = build_auditor(4)
    found.record_down(3, 100)
    found.check_members({0: [3], 1: [], 2: [3, 0], 3: [0, 1, 2]}, 200)
    assert found.breaches == [
        "n1 takes n3 for alive, which is down (1)",
        "n2 takes n0 for gone, which is up (1)",
    ]


def test_stopped_time_is_excluded_and_an_older_version_is_a_breach() -> None:
    found = build_auditor(2)
    found.record_event("rule", 0, 0, "0", True)
    found.record_event("rule", 1, 0, "0", True)
    found.record_stopped(0, 100_000)
    found.record_event("rule", 1, 200_000, "1", True)
    found.record_continued(0, 9_000_000)
    found.record_event("rule", 0, 9_050_000, "0", False)
    found.check_rules(10_000_000)
    assert found.breaches == []
    found.record_event("rule", 1, 9_100_000, "0", True)
    assert found.breaches == ["n1 went back from version 1 to 0, leased"]


def test_in_force_delays_count_from_the_proposal_and_a_restart_resets_them() -> None:
    found = build_auditor(2)
    found.record_event("rule", 0, 1_000, "1", True)
    found.record_event("rule", 1, 3_000, "1", True)
    assert found.in_force_delays("1", 500) == {0: 500, 1: 2_500}
    assert found.gateways_not_acting_by("1", 4_000) == []
    found.record_event("up", 1, 5_000, 2)
    assert found.gateways_not_acting_by("1", 6_000) == [1]
    found.record_event("rule", 1, 7_000, "0", True)  # what a new process knows at first
    assert found.breaches == []


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
    found = {(s.quantity, s.day, s.role): s for s in load_results(to).samples}
    assert all(s.value == 0 for (name, _, _), s in found.items() if name == "breaches")
    assert found["version_in_force_s", "changes", "gateway"].n >= 1
    assert found["list_apply_s", "changes", "gateway"].n >= 12
    assert found["faults", "steady", "gateway"].high == 0
    assert found["memo_datagrams_per_s", "steady", "gateway"].value > 0


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
