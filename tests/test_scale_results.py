"""Results files are read back as written, and invalid files are rejected."""

import time
from pathlib import Path

import pytest

from whintrail.scale.results import ResultsError, current_machine, load_results, sample, save_results


def test_results_are_read_back_as_written(tmp_path: Path) -> None:
    summary = sample("refresh_us", "us", (200, 80), [float(number) for number in range(101)], "core")
    assert (summary.value, summary.low, summary.high, summary.n) == (50.0, 5.0, 95.0, 101)
    assert sample("refresh_us", "us", (200, 80), [1.0, 2.0], "core").value == 1.5
    path = tmp_path / "a" / "slopes.json"
    save_results(path, "scale slopes", time.time(), current_machine(), [summary], "")
    results = load_results(path)
    assert results.samples == [summary]
    assert results.command == "scale slopes"
    assert results.machine.cores > 0


def test_invalid_results_files_are_rejected(tmp_path: Path) -> None:
    path = tmp_path / "x.json"
    path.write_text('{"format": 2}')
    with pytest.raises(ResultsError):
        load_results(path)
    with pytest.raises(ResultsError):
        load_results(tmp_path / "absent.json")
