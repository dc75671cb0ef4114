"""What a client's query says of itself: the fields in the comment ahead, and the group of tables."""

import re
from dataclasses import dataclass

_comment = re.compile(rb"\s*/\*(.*?)\*/\s*", re.DOTALL)
_call = re.compile(rb"[0-9a-f]{16}\Z")
_number = re.compile(r"[0-9]+(\.[0-9]*)?\Z|\.[0-9]+\Z")


class StatementError(ValueError):
    """The fields are missing or can't be used."""


@dataclass(frozen=True, slots=True)
class Statement:
    class_name: str
    call: bytes
    ttl_ms: float | None
    work_ms: float | None
    memory_mb: float | None
    text: bytes
    tables: int | None


def _amount(fields: dict[str, str], name: str) -> float | None:
    """The field's number; None where it is absent, while zero is zero."""
    text = fields.get(name)
    if text is None:
        return None
    if len(text) > 18 or not _number.match(text):
        raise StatementError(f"field {name} is not a number of zero or more")
    return float(text)


def read_statement(query: bytes) -> Statement:
    """Fields in any order, unknown ones skipped; the statement itself goes on unchanged."""
    found = _comment.match(query)
    if found is None:
        raise StatementError("no comment with fields ahead of the statement")
    try:
        inside = found.group(1).decode("utf-8")
    except UnicodeDecodeError as error:
        raise StatementError("the comment's fields are not UTF-8") from error
    fields = {}
    for item in inside.strip().split(","):
        name, equals, value = item.partition("=")
        if equals:
            fields[name.strip()] = value.strip()
    class_name, call = fields.get("op", ""), fields.get("call", "").encode()
    if not class_name:
        raise StatementError("field op is missing")
    if not _call.match(call):
        raise StatementError("field call is missing or not 16 hex digits")
    text = query[found.end() :]
    if not text.strip():
        raise StatementError("no statement after the comment")
    return Statement(
        class_name,
        call,
        _amount(fields, "ttl"),
        _amount(fields, "work"),
        _amount(fields, "memory"),
        text,
        table_group(text),
    )


# --- The group of tables: a small lexer.

_token = re.compile(
    r"""
    (?P<space>\s+|--[^\n]*)
  | (?P<text>[eE]'(?:[^'\\]|\\.|'')*' | (?:[bBxXnN]|[uU]&)?'(?:[^']|'')*')
  | (?P<dollar>\$(?P<tag>[A-Za-z_\x80-\U0010ffff][\w]*)?\$.*?\$(?(tag)(?P=tag))\$)
  | (?P<quoted>(?:[uU]&)?"(?:[^"]|"")*")
  | (?P<name>[A-Za-z_\x80-\U0010ffff][\w$]*)
  | (?P<number>[0-9][\w.]*)
  | (?P<sign>.)
    """,
    re.VERBOSE | re.DOTALL,
)
_block = re.compile(r"/\*|\*/")
_group = re.compile(r"[A-Za-z]\w*_([0-9]{1,9})\Z")
_LIST_ENDS = frozenset(
    "where group order having limit offset fetch window union intersect except for returning on using set "
    "values select with as natural".split()  # noqa: SIM905
)
_TABLE_AHEAD = frozenset(["from", "join", "into", "update", "table"])


def _skip_block(text: str, at: int) -> int:
    """The end of the comment that begins here; they nest."""
    depth = 0
    for mark in _block.finditer(text, at):
        depth += 1 if mark.group() == "/*" else -1
        if depth == 0:
            return mark.end()
    return len(text)


def _tokens(text: str) -> list[tuple[str, bool]]:
    """Words and signs in order, with whether each is a name; texts and comments are left out."""
    found: list[tuple[str, bool]] = []
    at = 0
    while at < len(text):
        if text.startswith("/*", at):
            at = _skip_block(text, at)
            continue
        token = _token.match(text, at)
        if token is None:  # cannot be: a sign is any character
            break
        at = token.end()
        kind = token.lastgroup if token.lastgroup != "tag" else "dollar"
        if kind == "name":
            found.append((token.group().lower(), True))
        elif kind == "quoted":
            found.append((token.group().split('"', 1)[1][:-1].replace('""', '"'), True))
        elif kind in ("sign", "number"):
            found.append((token.group(), False))
        elif kind in ("text", "dollar"):
            found.append(("''", False))
    return found


def table_group(statement: bytes) -> int | None:
    """The number in the name of the schema that is read or written; None where there is none."""
    tokens = _tokens(statement.decode("utf-8", "replace"))
    tokens.append(("", False))
    lists: list[bool] = [False]  # per open bracket: a list of tables goes on
    expect = False
    index = 0
    while index < len(tokens) - 1:
        word, is_name = tokens[index]
        if word == "(" and not is_name:
            lists.append(expect)
        elif word == ")" and not is_name:
            if len(lists) > 1:
                lists.pop()
            expect = False
        elif word == "," and not is_name:
            expect = lists[-1]
        elif is_name and word in _TABLE_AHEAD and tokens[index + 1][0] != ".":
            lists[-1] = expect = True
        elif is_name and word in _LIST_ENDS:
            lists[-1] = expect = False
        elif expect and is_name and word not in ("only", "lateral"):
            if tokens[index + 1] == (".", False):
                schema = _group.match(word)
                if schema and word != "staging":
                    return int(schema.group(1))
                index += 2
            expect = False
        index += 1
    return None
