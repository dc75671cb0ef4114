"""Marks the tests listed in KNOWN-RED.txt as expected failures; all other tests must pass.

A line is `test | cause | issue`: a test that fails because of a real, known fault. Three lines at most. A
listed test that passes fails the run, and so does a line that names no test, if all tests are run: the commit
that fixes a fault also removes its line.
"""

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import pytest

LIST_FILE = "KNOWN-RED.txt"
MAX_LISTED_TESTS = 3


def read_list(root: Path) -> dict[str, str]:
    """Read the listed tests with their cause and issue; raises UsageError if a line is invalid."""
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
    """The error if a run of all tests did not collect these; empty in a run of some tests."""
    paths = [Path(str(arg).split("::")[0]).name for arg in config.args]
    all_tests = not any(path.endswith(".py") for path in paths) and not config.option.keyword
    return f"{LIST_FILE}: no such test: {', '.join(listed)}" if all_tests and listed else ""


def pytest_configure(config: pytest.Config) -> None:
    read_list(config.rootpath)  # before any worker starts: an error in a worker is not shown


@pytest.hookimpl(tryfirst=True)  # before workers add the group to the test names
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed = read_list(config.rootpath)
    for item in items:
        if (cause := listed.pop(item.nodeid, None)) is not None:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))
    if not hasattr(config, "workerinput") and (message := _unknown_tests_message(config, listed)):
        raise pytest.UsageError(message)


class WorkerCollection:
    """If workers collect the tests, the process that started them compares the names with the list."""

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
    for test, cause in read_list(Path(terminalreporter.config.rootpath)).items():
        terminalreporter.write_line(f"known red: {test}: {cause}")
    if worker_collection.unknown_message:
        terminalreporter.write_line(f"ERROR: {worker_collection.unknown_message}")
