"""Parses a client's query: the fields in its leading comment, and its group of tables."""

import re
from dataclasses import dataclass
from functools import lru_cache

_leading_comment = re.compile(rb"\s*/\*(.*?)\*/\s*", re.DOTALL)
_call_id_pattern = re.compile(rb"[0-9a-f]{16}\Z")


class StatementError(ValueError):
    """The fields are missing or invalid."""


@dataclass(slots=True)
class Statement:
    """A query's fields and the statement that is sent to an engine."""

    class_name: str
    call_id: bytes
    ttl_ms: float | None
    work_ms: float | None
    memory_mb: float | None
    text: bytes
    table_group: int | None


def _number_field(fields: dict[str, str], name: str) -> float | None:
    """The number in a field; None if it is absent, which differs from zero. Errors: StatementError."""
    text = fields.get(name)
    if text is None:
        return None
    if len(text) > 18 or not (text.isascii() and text.replace(".", "", 1).isdigit()):
        raise StatementError(f"field {name} is not a number of zero or more")
    return float(text)


def read_statement(query: bytes) -> Statement:
    """Parse a query. Errors: StatementError.

    The fields may be in any order, and unknown ones are skipped. The statement itself stays unchanged.
    """
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
    class_name, call_id = fields.get("op", ""), fields.get("call", "").encode()
    if not class_name:
        raise StatementError("field op is missing")
    if not _call_id_pattern.match(call_id):
        raise StatementError("field call is missing or not 16 hex digits")
    text = query[found.end() :]
    if not text.strip():
        raise StatementError("no statement after the comment")
    return Statement(
        class_name,
        call_id,
        _number_field(fields, "ttl"),
        _number_field(fields, "work"),
        _number_field(fields, "memory"),
        text,
        _cached_table_group(_plain_literal.sub(b"''", text))
        if len(text) <= _MAX_CACHED_BYTES
        else table_group(text[:_MAX_PARSED_BYTES]),
    )


# --- The group of tables: a small lexer for names and the punctuation between them.

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
_comment_edge = re.compile(r"/\*|\*/")  # what matters inside a comment
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
# FROM in the arguments of these functions names no table.
_FUNCTIONS_WITH_FROM = frozenset(["extract", "substring", "trim", "overlay", "position"])
_TABLE_MODIFIERS = frozenset(["only", "lateral", "if", "exists"])  # may precede a table name


def _strip_block_comments(text: str) -> str:
    """Replace each block comment by a space; block comments nest."""
    kept: list[str] = []
    depth = start = position = 0
    # Quotes mean nothing inside a comment. To search for their ends there would take quadratic time on
    # hostile text.
    while token := (_comment_edge if depth else _comment_or_quoted).search(text, position):
        position = token.end()
        if token.group() == "/*":
            if depth == 0:
                kept += (text[start : token.start()], " ")
            depth += 1
        elif token.group() == "*/" and depth:
            depth -= 1
            start = position
    if depth == 0:
        kept.append(text[start:])
    return "".join(kept)


def table_group(statement: bytes) -> int | None:
    """The number in the first schema name that has one, as 17 in `sales_17.orders`; None without one."""
    text = statement.decode("utf-8", "replace")
    if "/*" in text:
        text = _strip_block_comments(text)
    # Each token is a lower-case word, a quoted name, punctuation, or empty for literals and numbers.
    tokens = [(m["word"] or "").lower() or m["sign"] or m["quoted"] or "" for m in _sql_token.finditer(text)]
    tokens += ["", ""]
    brackets: list[tuple[bool, bool]] = []  # saved (in_list, ignore_from) per open bracket
    in_list = expect_table = ignore_from = False
    previous = ""
    for index, token in enumerate(tokens):
        if token == "(":
            brackets.append((in_list, ignore_from))
            ignore_from = previous in _FUNCTIONS_WITH_FROM
        elif token == ")":
            in_list, ignore_from = brackets.pop() if brackets else (False, False)
            expect_table = False
        elif token == ",":
            expect_table = in_list
        elif token in _TABLE_INTRODUCERS and not ignore_from and previous not in (".", "distinct"):
            in_list = expect_table = True
        elif token in _TABLE_LIST_END_WORDS:
            in_list = expect_table = False
        elif expect_table and token and token not in _TABLE_MODIFIERS:
            expect_table = False
            schema = _schema_group.match(token) if tokens[index + 1] == "." else None
            if schema:
                return int(schema.group(1))
        previous = token
    return None


# Literals without signs can't contain a name. Statements that differ in them only share a cache entry.
_plain_literal = re.compile(rb"'[0-9A-Za-z]*'")


_MAX_CACHED_BYTES = 1000
_MAX_PARSED_BYTES = 16_384  # the group is near the start, and parsing blocks the event loop


@lru_cache(maxsize=1024)
def _cached_table_group(statement: bytes) -> int | None:
    return table_group(statement)
