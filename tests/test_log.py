"""Lines of one kind are limited, and say what was held back."""

import pytest

from whintrail.gateway.counters import Counters
from whintrail.gateway.log import Log


def test_a_kind_has_its_share_of_lines_and_others_have_theirs(capsys: pytest.CaptureFixture[str]) -> None:
    log = Log("n0", burst=2.0, per_second=0.0)
    for number in range(5):
        log.line("engine", f"trouble {number}")
    log.line("bulletin", "other")
    lines = capsys.readouterr().err.splitlines()
    assert lines == ["n0: engine: trouble 0", "n0: engine: trouble 1", "n0: bulletin: other"]


def test_what_was_held_back_is_counted(capsys: pytest.CaptureFixture[str]) -> None:
    log = Log("n0", burst=1.0, per_second=0.0)
    log.line("engine", "one")
    log.line("engine", "two")
    log.per_second = 1e9
    log.line("engine", "three")
    assert capsys.readouterr().err.splitlines()[-1] == "n0: engine: three (and 1 more like it)"


def test_counters_are_a_line_a_group() -> None:
    counters = Counters()
    counters.add("queries", "taken", 2)
    counters.add("queries", "served")
    counters.add("probes", "ok")
    assert counters.lines() == ["probes: ok=1", "queries: served=1 taken=2"]
    assert counters["queries", "failed"] == 0
