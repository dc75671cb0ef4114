"""Files of results: what is written is read again, and nothing else is taken for one."""

import time
from pathlib import Path

import pytest

from whintrail.scale.results import ResultsError, load, sample, save, this_machine


def test_results_are_read_as_written(tmp_path: Path) -> None:
    taken = sample("refresh_us", "us", (200, 80), [float(n) for n in range(101)], "core")
    assert (taken.value, taken.low, taken.high, taken.n) == (50.0, 5.0, 95.0, 101)
    assert sample("refresh_us", "us", (200, 80), [1.0, 2.0], "core").value == 1.5
    path = tmp_path / "a" / "slopes.json"
    save(path, "scale slopes", time.time(), this_machine(), [taken], "")
    found = load(path)
    assert found.samples == [taken]
    assert found.command == "scale slopes"
    assert found.machine.cores > 0


def test_what_is_no_results_file_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "x.json"
    path.write_text('{"format": 2}')
    with pytest.raises(ResultsError):
        load(path)
    with pytest.raises(ResultsError):
        load(tmp_path / "absent.json")
