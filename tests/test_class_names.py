"""Class names that would break a request line to an engine or the comment before a statement."""

from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from whintrail.gateway import engine_protocol
from whintrail.gateway.statement import read_statement
from whintrail.standins.scripted import WAIT_TIMEOUT_S, Gateway, settings

CALL_ID = b"9b1f03aa5c7e2d41"
UNSAFE_NAMES = [
    "a b",
    " a",
    "a ",
    "a,b",
    ",",
    "a\nb",
    "a\r\nb",
    "a\tb",
    "a\0b",
    "a\x7fb",
    "*/",
    "a*/b",
    "",
    " ",
]
UNSAFE_NAMES += ["a\x85b", "a\u00a0b", "a\u2028b", "a\u200bb", "\ufeffa", "a\ud800b"]
SAFE_NAMES = [
    "a",
    "daily-report",
    "a.b:c;d",
    "a=b",
    "=",
    "-",
    "it's",
    'say "x"'.replace(" ", "_"),
    "/*",
    "a/*b",
    "*",
    "a*",
]
SAFE_NAMES += ["/", "%b", "\\n", "größe", "報告", "a" * 200]


def parse_request(line: bytes) -> dict[str, str]:
    """Parse the fields of a request as an engine does."""
    head, _, _ = line.partition(b"\r\n")
    word, id, fields, length = head.split(b" ")
    assert (word, id, length) == (b"do", CALL_ID, b"8")
    return dict((n, v) for n, _, v in (item.partition("=") for item in fields.decode().split(",")))


def check_round_trip(name: str) -> None:
    line = engine_protocol.encode_do(CALL_ID, {"class": name, "wait": "5"}, b"SELECT 1")
    assert parse_request(line) == {"class": name, "wait": "5"}
    for form in ("/* op=%s,call=%s,ttl=5 */ SELECT 1", "/*call=%s,op=%s*/SELECT 1"):
        values = (name, CALL_ID.decode()) if form.startswith("/* op") else (CALL_ID.decode(), name)
        statement = read_statement((form % values).encode())
        assert (statement.class_name, statement.text) == (name, b"SELECT 1")


@pytest.mark.parametrize("name", [*UNSAFE_NAMES, None, 7, ["a"]])
def test_a_name_that_would_break_a_line_is_rejected(name: Any) -> None:
    with pytest.raises(ValueError, match=r"\Aclass "):
        engine_protocol.check_class_name(name)


@pytest.mark.parametrize("name", SAFE_NAMES)
def test_a_safe_name_is_accepted(name: str) -> None:
    engine_protocol.check_class_name(name)
    check_round_trip(name)


@given(st.text(st.sampled_from("ab*/=,-' \n\u00a0\u0416") | st.characters(), max_size=12))
def test_any_accepted_name_round_trips_unchanged(name: str) -> None:
    try:
        engine_protocol.check_class_name(name)
    except ValueError:
        return
    check_round_trip(name)


@pytest.mark.parametrize("name", ["night run", "a,b", "a\nb", "*/", "", 7])
def test_the_program_rejects_such_a_class_name_in_one_line(name: object, tmp_path: Path) -> None:
    document = settings()
    document["Classes"][1]["Name"] = name
    gateway = Gateway({"listen": "127.0.0.1:9", "bulletin": "127.0.0.1:9", "settings": document}, tmp_path)
    assert gateway.process.wait(WAIT_TIMEOUT_S) == 1
    (line,) = gateway.log_text().splitlines()
    assert f"ValueError: class {name!r}".replace("\\", "") in line.replace("\\", "")
