"""Files of results: what is written is read again, and nothing else is taken for one."""

import time
from pathlib import Path

import pytest

from whintrail.scale.results import ResultsError, current_machine, load_results, sample, save_results


def test_results_are_read_back_as_written(tmp_path: Path) -> None:
    taken = sample("refresh_us", "us", (200, 80), [float(n) for n in range(101)], "core")
    assert (taken.value, taken.low, taken.high, taken.n) == (50.0, 5.0, 95.0, 101)
    assert sample("refresh_us", "us", (200, 80), [1.0, 2.0], "core").value == 1.5
    path = tmp_path / "a" / "slopes.json"
    save_results(path, "scale slopes", time.time(), current_machine(), [taken], "")
    found = load_results(path)
    assert found.samples == [taken]
    assert found.command == "scale slopes"
    assert found.machine.cores > 0


def test_invalid_results_files_are_rejected(tmp_path: Path) -> None:
    path = tmp_path / "x.json"
    path.write_text('{"format": 2}')
    with pytest.raises(ResultsError):
        load_results(path)
    with pytest.raises(ResultsError):
        load_results(tmp_path / "absent.json")
