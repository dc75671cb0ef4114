"""Passes over the tests that KNOWN-RED.txt names, and over nothing else.

A line is `test | cause | issue`: a test that fails for a real fault which could not be mended in the sitting
that found it. Three lines at most. A listed test that passes fails the run, and so does a line that names no
test of a whole run: what is mended leaves the list in the same commit.
"""

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import pytest

LIST_FILE, MAX_LISTED_TESTS = "KNOWN-RED.txt", 3


def read_list(root: Path) -> dict[str, str]:
    """Tests with their cause and issue; UsageError where the list is not as agreed."""
    path = root / LIST_FILE
    listed: dict[str, str] = {}
    for line in path.read_text().splitlines() if path.exists() else ():
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or parts[0] in listed:
            raise pytest.UsageError(f"{LIST_FILE}: not `test | cause | issue`, each test once: {line!r}")
        listed[parts[0]] = f"{parts[1]} (issue {parts[2]})"
    if len(listed) > MAX_LISTED_TESTS:
        raise pytest.UsageError(f"{LIST_FILE}: {len(listed)} lines, {MAX_LISTED_TESTS} at most")
    return listed


def _unknown_tests_message(config: pytest.Config, listed: Iterable[str]) -> str:
    """What to say where a whole run collected all but these."""
    paths = [Path(str(arg).split("::")[0]).name for arg in config.args]
    whole = not any(path.endswith(".py") for path in paths) and not config.option.keyword
    return f"{LIST_FILE}: no such test: {', '.join(listed)}" if whole and listed else ""


def pytest_configure(config: pytest.Config) -> None:
    read_list(config.rootpath)  # before any worker starts: an error there would hide its reason


@pytest.hookimpl(tryfirst=True)  # by the names as they are listed, before workers add the group to them
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed = read_list(config.rootpath)
    for item in items:
        if (why := listed.pop(item.nodeid, None)) is not None:
            item.add_marker(pytest.mark.xfail(reason=why, strict=True))
    if not hasattr(config, "workerinput") and (says := _unknown_tests_message(config, listed)):
        raise pytest.UsageError(says)


class WorkerCollection:
    """Where workers collect: what they found is compared in the process that started them."""

    unknown_message = ""


worker_collection = WorkerCollection()


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_node_collection_finished(node: Any, ids: list[str]) -> None:
    names = {name for id in ids for name in (id, id.rpartition("@")[0])}
    worker_collection.unknown_message = _unknown_tests_message(
        node.config, [test for test in read_list(node.config.rootpath) if test not in names]
    )


def pytest_sessionfinish(session: pytest.Session) -> None:
    if worker_collection.unknown_message:
        session.exitstatus = pytest.ExitCode.USAGE_ERROR


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for test, why in read_list(Path(terminalreporter.config.rootpath)).items():
        terminalreporter.write_line(f"known red: {test}: {why}")
    if worker_collection.unknown_message:
        terminalreporter.write_line(f"ERROR: {worker_collection.unknown_message}")
