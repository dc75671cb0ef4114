"""The command that simulates whole fleets: its results, and that its bounds end it."""

from pathlib import Path

from click.testing import CliRunner

from whintrail.scale.results import load_results
from whintrail.scale.simulate import simulate


def run(to: Path, *more: str) -> str:
    args = ["--gateways", "12", "--seeds", "1", "--seconds", "2", "--jobs", "1", "--to", str(to), *more]
    result = CliRunner().invoke(simulate, args)
    assert result.exit_code == 0, result.output
    return result.output


def test_a_small_fleet_is_simulated_and_its_results_are_saved(tmp_path: Path) -> None:
    run(tmp_path / "a.json", "--part", "quiet", "--part", "changes")
    results = load_results(tmp_path / "a.json")
    values = {(s.quantity, s.role): s.value for s in results.samples}
    assert results.note == ""
    assert all(s.kind == "simulated" and s.gateways == 12 for s in results.samples)
    assert 200 < values["member_bytes_per_s", "gateway"] < values["member_bytes_per_s", "leader"]
    assert 0 < values["version_in_force_s", "gateway"] < 1.5
    assert values["false_removals", "gateway"] == 0


def test_a_cpu_or_memory_bound_ends_the_run_with_one_line(tmp_path: Path) -> None:
    for name, bound in (("cpu-seconds", "0.001"), ("memory-mb", "1")):
        output = run(tmp_path / "b.json", f"--{name}", bound)
        assert f"12 gateways, seed 1, ended early: --{name} {bound} used" in output
        assert "ended early" in load_results(tmp_path / "b.json").note


def test_sizes_with_no_member_outside_the_council_are_rejected() -> None:
    result = CliRunner().invoke(simulate, ["--gateways", "5"])
    assert result.exit_code == 2
