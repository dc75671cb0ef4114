"""Names of classes that would break an engine's line or the comment ahead of a statement."""

from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from whintrail.gateway import enginelines
from whintrail.gateway.statement import read_statement
from whintrail.standins.scripted import PATIENCE_S, Gateway, settings

CALL = b"9b1f03aa5c7e2d41"
BREAKING = ["a b", " a", "a ", "a,b", ",", "a\nb", "a\r\nb", "a\tb", "a\0b", "a\x7fb", "*/", "a*/b", "", " "]
BREAKING += ["a\x85b", "a\u00a0b", "a\u2028b", "a\u200bb", "\ufeffa", "a\ud800b"]
SOUND = [
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
SOUND += ["/", "%b", "\\n", "größe", "報告", "a" * 200]


def as_an_engine(line: bytes) -> dict[str, str]:
    """The fields of a request, as the protocol has them."""
    head, _, _ = line.partition(b"\r\n")
    word, id, fields, length = head.split(b" ")
    assert (word, id, length) == (b"do", CALL, b"8")
    return dict((n, v) for n, _, v in (item.partition("=") for item in fields.decode().split(",")))


def goes_on(name: str) -> None:
    line = enginelines.do(CALL, {"class": name, "wait": "5"}, b"SELECT 1")
    assert as_an_engine(line) == {"class": name, "wait": "5"}
    for form in ("/* op=%s,call=%s,ttl=5 */ SELECT 1", "/*call=%s,op=%s*/SELECT 1"):
        values = (name, CALL.decode()) if form.startswith("/* op") else (CALL.decode(), name)
        statement = read_statement((form % values).encode())
        assert (statement.class_name, statement.text) == (name, b"SELECT 1")


@pytest.mark.parametrize("name", [*BREAKING, None, 7, ["a"]])
def test_a_name_that_would_break_a_line_is_refused(name: Any) -> None:
    with pytest.raises(ValueError, match=r"\Aclass "):
        enginelines.check_class_name(name)


@pytest.mark.parametrize("name", SOUND)
def test_a_name_that_breaks_nothing_is_taken(name: str) -> None:
    enginelines.check_class_name(name)
    goes_on(name)


@given(st.text(st.sampled_from("ab*/=,-' \n\u00a0\u0416") | st.characters(), max_size=12))
def test_whatever_is_taken_goes_on_unchanged(name: str) -> None:
    try:
        enginelines.check_class_name(name)
    except ValueError:
        return
    goes_on(name)


@pytest.mark.parametrize("name", ["night run", "a,b", "a\nb", "*/", "", 7])
def test_the_program_refuses_such_a_class_by_name_in_one_line(name: object, tmp_path: Path) -> None:
    given = settings()
    given["Classes"][1]["Name"] = name
    gateway = Gateway({"listen": "127.0.0.1:9", "bulletin": "127.0.0.1:9", "settings": given}, tmp_path)
    assert gateway.process.wait(PATIENCE_S) == 1
    (line,) = gateway.text().splitlines()
    assert f"ValueError: class {name!r}".replace("\\", "") in line.replace("\\", "")
