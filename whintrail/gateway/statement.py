"""What a client's query says of itself: the fields in the comment ahead, and the group of tables."""

import re
from dataclasses import dataclass
from functools import lru_cache

_leading_comment = re.compile(rb"\s*/\*(.*?)\*/\s*", re.DOTALL)
_call_id_pattern = re.compile(rb"[0-9a-f]{16}\Z")


class StatementError(ValueError):
    """The fields are missing or can't be used."""


@dataclass(slots=True)
class Statement:
    class_name: str
    call_id: bytes
    ttl_ms: float | None
    work_ms: float | None
    memory_mb: float | None
    text: bytes
    table_group: int | None


def _number_field(fields: dict[str, str], name: str) -> float | None:
    """The field's number; None where it is absent, while zero is zero."""
    text = fields.get(name)
    if text is None:
        return None
    if len(text) > 18 or not (text.isascii() and text.replace(".", "", 1).isdigit()):
        raise StatementError(f"field {name} is not a number of zero or more")
    return float(text)


def read_statement(query: bytes) -> Statement:
    """Fields in any order, unknown ones skipped; the statement itself goes on unchanged."""
    found = _leading_comment.match(query)
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
    if not _call_id_pattern.match(call):
        raise StatementError("field call is missing or not 16 hex digits")
    text = query[found.end() :]
    if not text.strip():
        raise StatementError("no statement after the comment")
    return Statement(
        class_name,
        call,
        _number_field(fields, "ttl"),
        _number_field(fields, "work"),
        _number_field(fields, "memory"),
        text,
        _cached_table_group(_plain_literal.sub(b"''", text))
        if len(text) <= _MAX_CACHED_BYTES
        else table_group(text[:_MAX_PARSED_BYTES]),
    )


# --- The group of tables: a small lexer. Its tokens are names and the signs that matter between them.

_sql_token = re.compile(
    r"""
    --[^\n]*
  | [eE]'(?:[^'\\]|\\.|'')*(?:'|\Z)
  | '(?:[^']|'')*(?:'|\Z)
  | \$(?P<tag>[A-Za-z_\x80-\U0010ffff][\w]*)?\$.*?(?:\$(?(tag)(?P=tag))\$|\Z)
  | "(?P<quoted>(?:[^"]|"")*)"
  | (?P<word>[A-Za-z_\x80-\U0010ffff][\w$]*)
  | [0-9][\w.]*
  | (?P<sign>[(),.;])
    """,
    re.VERBOSE | re.DOTALL,
)
_comment_or_quoted = re.compile(r"--[^\n]*|'(?:[^']|'')*'|\"(?:[^\"]|\"\")*\"|/\*|\*/", re.DOTALL)
_comment_edge = re.compile(r"/\*|\*/")  # what counts inside a comment
_schema_group = re.compile(r"[^\W\d]\w*?_([0-9]{1,9})\Z")
_CLAUSE_WORDS = [
    "where",
    "group",
    "order",
    "having",
    "limit",
    "offset",
    "fetch",
    "window",
    "union",
    "intersect",
]
_TABLE_LIST_END_WORDS = frozenset(
    [*_CLAUSE_WORDS, "except", "for", "returning", "on", "set", "values", "select", "with"]
)
_TABLE_INTRODUCERS = frozenset(["from", "join", "into", "update", "table", "using"])
_FUNCTIONS_WITH_FROM = frozenset(
    ["extract", "substring", "trim", "overlay", "position"]
)  # their FROM names no table
_TABLE_MODIFIERS = frozenset(["only", "lateral", "if", "exists"])  # may stand between


def _strip_block_comments(text: str) -> str:
    """The text with a space for each comment in slashes and stars; they nest."""
    kept: list[str] = []
    depth = start = at = 0
    # Inside a comment quotes mean nothing: to look for their ends there took a hostile text's square in time.
    while mark := (_comment_edge if depth else _comment_or_quoted).search(text, at):
        at = mark.end()
        if mark.group() == "/*":
            if depth == 0:
                kept += (text[start : mark.start()], " ")
            depth += 1
        elif mark.group() == "*/" and depth:
            depth -= 1
            start = at
    if depth == 0:
        kept.append(text[start:])
    return "".join(kept)


def table_group(statement: bytes) -> int | None:
    """The number in the name of the schema that is read or written; None where there is none."""
    text = statement.decode("utf-8", "replace")
    if "/*" in text:
        text = _strip_block_comments(text)
    # Each token: a word in lower case, a quoted name, a sign, or nothing for texts and numbers.
    tokens = [(m["word"] or "").lower() or m["sign"] or m["quoted"] or "" for m in _sql_token.finditer(text)]
    tokens += ["", ""]
    brackets: list[tuple[bool, bool]] = []  # per open bracket: a list of tables goes on; FROM means nothing
    in_list = expect = deaf = False
    previous = ""
    for index, token in enumerate(tokens):
        if token == "(":
            brackets.append((in_list, deaf))
            deaf = previous in _FUNCTIONS_WITH_FROM
        elif token == ")":
            in_list, deaf = brackets.pop() if brackets else (False, False)
            expect = False
        elif token == ",":
            expect = in_list
        elif token in _TABLE_INTRODUCERS and not deaf and previous not in (".", "distinct"):
            in_list = expect = True
        elif token in _TABLE_LIST_END_WORDS:
            in_list = expect = False
        elif expect and token and token not in _TABLE_MODIFIERS:
            expect = False
            schema = _schema_group.match(token) if tokens[index + 1] == "." else None
            if schema:
                return int(schema.group(1))
        previous = token
    return None


_plain_literal = re.compile(rb"'[0-9A-Za-z]*'")  # too plain to hide a name; the rest of a statement recurs


_MAX_CACHED_BYTES = 1000
_MAX_PARSED_BYTES = 16_384  # the group stands near the start; all others wait while it is read


@lru_cache(maxsize=1024)
def _cached_table_group(statement: bytes) -> int | None:
    return table_group(statement)
