"""Log lines are rate-limited per kind, tell how many were suppressed, and never span several lines."""

import json

import pytest

from whintrail.gateway.counters import Counters
from whintrail.gateway.log import Log


def without_timestamps(text: str) -> list[str]:
    """Lines without their timestamps."""
    return [line.partition(" ")[2] for line in text.splitlines()]


def test_each_kind_has_its_own_rate_limit(capsys: pytest.CaptureFixture[str]) -> None:
    log = Log("n0", burst=2.0, per_second=0.0)
    for number in range(5):
        log.line("engine", f"trouble {number}")
    log.line("bulletin", "other")
    assert without_timestamps(capsys.readouterr().err) == [
        'gateway=n0 kind=engine event="trouble 0"',
        'gateway=n0 kind=engine event="trouble 1"',
        "gateway=n0 kind=bulletin event=other",
    ]


def test_suppressed_lines_are_counted(capsys: pytest.CaptureFixture[str]) -> None:
    log = Log("n0", burst=1.0, per_second=0.0)
    log.line("engine", "one")
    log.line("engine", "two")
    log.per_second = 1e9
    log.line("engine", "three")
    assert without_timestamps(capsys.readouterr().err)[-1] == "gateway=n0 kind=engine event=three held_back=1"


def test_a_line_break_in_a_value_does_not_start_a_new_line(capsys: pytest.CaptureFixture[str]) -> None:
    Log("n0", 5.0, 1.0).line("engine", 'a\nkind=program event="serves"')
    (line,) = capsys.readouterr().err.splitlines()
    assert "kind=engine" in line and "\\n" in line


def test_json_lines_hold_the_same_fields(capsys: pytest.CaptureFixture[str]) -> None:
    Log("n0", 5.0, 1.0, as_json=True).line("engine", "slow\n", engine="s-12", factor=2.5)
    (line,) = capsys.readouterr().err.splitlines()
    found = json.loads(line)
    assert list(found)[:4] == ["at", "gateway", "kind", "event"]
    assert (found["kind"], found["event"], found["engine"], found["factor"]) == (
        "engine",
        "slow\n",
        "s-12",
        2.5,
    )


def test_counters_are_grouped_and_sorted(capsys: pytest.CaptureFixture[str]) -> None:
    counters = Counters()
    counters.add("queries", "taken", 2)
    counters.add("queries", "served")
    counters.add("probes", "ok")
    assert counters.groups() == [("probes", {"ok": 1}), ("queries", {"served": 1, "taken": 2})]
    assert counters["queries", "failed"] == 0
