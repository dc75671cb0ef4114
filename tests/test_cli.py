"""The command line and the operator's file: accepted input, and errors for the rest."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from whintrail.cli import main
from whintrail.config import OperatorFile, OperatorFileError, read_operator_file

ROOT = Path(__file__).resolve().parent.parent


def write(folder: Path, text: str) -> str:
    path = folder / "whintrail.jsonnet"
    path.write_text(text)
    return str(path)


def test_the_sample_file_changes_nothing() -> None:
    assert read_operator_file(str(ROOT / "deploy" / "whintrail.jsonnet")) == OperatorFile()


def test_templates_and_plain_json_are_both_read(tmp_path: Path) -> None:
    text = "local mb = 2; { timeline: { memory_mb: mb * 2, watch: { slow_factor: 3 } } }"
    operator_file = read_operator_file(write(tmp_path, text))
    assert operator_file.timeline and (
        operator_file.timeline.memory_mb,
        operator_file.timeline.watch.slow_factor,
    ) == (4.0, 3.0)
    assert (
        read_operator_file(write(tmp_path, '{"timeline": {"memory_mb": 4, "watch": {"slow_factor": 3}}}'))
        == operator_file
    )


@pytest.mark.parametrize(
    ("text", "place", "reason"),
    [
        ("{ timeline: { memory_mb: 'much' } }", "$.timeline.memory_mb", "Expected `float`"),
        ("{ timeline: { memory_mb: 0 } }", "$.timeline.memory_mb", ">= 0.25"),
        ("{ timeline: { watch: { slow: 3 } } }", "$.timeline.watch", "unknown field `slow`"),
        ("{ timeline: { store: {} } }", "$.timeline.store", "missing required field `directory`"),
        ("{ logging: { format: 'xml' } }", "$.logging.format", "xml"),
        ("{ version: 2 }", "$.version", "2"),
        ("[]", "$", "Expected `object`"),
        ("{ a: ", "", "syntax error"),
        ("{ a: error 'no\\nway' }", "", "no"),
        (
            "{ timeline: { store: { directory: '/x', keep_mb: 1, segment_mb: 1 } } }",
            "$.timeline.store.keep_mb",
            "two segments",
        ),
    ],
)
def test_a_bad_file_is_refused_with_place_and_reason_in_one_line(
    tmp_path: Path, text: str, place: str, reason: str, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write(tmp_path, text)
    with pytest.raises(OperatorFileError) as caught:
        read_operator_file(path)
    message = str(caught.value)
    assert message.startswith(path) and place in message and reason in message and "\n" not in message
    assert main(["check", path]) == 2
    assert capsys.readouterr().err == f"whintrail: {' '.join(message.split())}\n"


def test_a_file_that_is_not_there_or_endless_is_refused(tmp_path: Path) -> None:
    with pytest.raises(OperatorFileError, match="No such file"):
        read_operator_file(str(tmp_path / "none"))
    with pytest.raises(OperatorFileError, match="larger than"):
        read_operator_file(write(tmp_path, " " * (1 << 21)))


def test_check_prints_the_settings_in_force(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["check", "--show", write(tmp_path, "{ timeline: {} }")]) == 0
    assert json.loads(capsys.readouterr().out)["timeline"]["memory_mb"] == 8.0


@pytest.mark.parametrize("arguments", [[], ["check"], ["demo"], ["serve"]])
def test_help_has_examples(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    assert main([*arguments, "--help"]) == 0
    assert "Example" in capsys.readouterr().out


@pytest.mark.parametrize("arguments", [["nothing"], ["check"], ["demo", "--engines", "0"]])
def test_wrong_usage_is_one_line_and_status_2(
    arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(arguments) == 2
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_serving_imports_nothing_that_it_does_not_need() -> None:
    code = "import sys, whintrail.gateway.service; print(*sys.modules)"
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    loaded = {name.split(".")[0] for name in completed.stdout.split()}
    assert not loaded & {"click", "msgspec", "rjsonnet", "crc32c", "matplotlib", "numpy"}
    assert not {"whintrail.config", "whintrail.timeline", "whintrail.standins"} & set(
        completed.stdout.split()
    )


def test_demo_serves_and_ends(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "whintrail", "demo", "--engines", "2", "--seconds", "0.5"]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30)
    assert completed.returncode == 0 and "psql" in completed.stdout
    assert "kind=program" in completed.stderr
