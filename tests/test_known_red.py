"""The list of known failures; each case runs pytest in a process of its own."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
TESTS = """
import pytest

@pytest.mark.xdist_group("a group")
def test_passing(): pass

@pytest.mark.xdist_group("a group")
def test_failing(): assert False
"""


def run_pytest(folder: Path, lines: list[str], extra_arguments: list[str]) -> tuple[int, str]:
    (folder / "test_it.py").write_text(TESTS)
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))
    command = [
        sys.executable,
        "-m",
        "pytest",
        "-p",
        "tests.known_red",
        "-p",
        "no:cacheprovider",
        "-q",
        *extra_arguments,
    ]
    environment = {**os.environ, "PYTHONPATH": str(ROOT), "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"}
    completed = subprocess.run(
        command, cwd=folder, env=environment, capture_output=True, text=True, timeout=60
    )
    return completed.returncode, completed.stdout + completed.stderr


FAILING_ENTRY = "test_it.py::test_failing | a cause | 7"
PASSING_ENTRY = "test_it.py::test_passing | a cause | 7"


@pytest.mark.parametrize(
    ("lines", "status", "message"),
    [
        ([], 1, "1 failed, 1 passed"),
        ([FAILING_ENTRY], 0, "known red: test_it.py::test_failing: a cause (issue 7)"),
        ([FAILING_ENTRY, PASSING_ENTRY], 1, "XPASS(strict)"),
        (
            [FAILING_ENTRY, "", "test_it.py::test_none | a cause | 7"],
            4,
            "no such test: test_it.py::test_none",
        ),
        (
            [FAILING_ENTRY, *(f"test_it.py::test_{n} | a cause | 7" for n in range(3))],
            4,
            "4 lines, 3 at most",
        ),
        (["test_it.py::test_failing"], 4, "not `test | cause | issue`"),
        ([FAILING_ENTRY, FAILING_ENTRY], 4, "each test once"),
    ],
)
@pytest.mark.parametrize(
    "extra_arguments", [[], ["-p", "xdist.plugin", "-n", "1", "--dist", "loadgroup"]], ids=["one", "workers"]
)
def test_only_listed_tests_may_fail(
    tmp_path: Path, lines: list[str], status: int, message: str, extra_arguments: list[str]
) -> None:
    exit_status, output = run_pytest(tmp_path, lines, extra_arguments)
    assert exit_status == status and message in output, output
