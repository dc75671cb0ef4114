"""Parses a client's query: the fields in its leading comment, and its group of tables."""

import re
from collections.abc import Generator
from dataclasses import dataclass

_COMMENT_START, _COMMENT_END = b"/*", b"*/"
MAX_FIELDS_BYTES = 2048  # of the leading comment; the fields that have a meaning take about a hundred
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
    _group_search: "Generator[None, None, int | None] | None" = None
    _group_found: bool = False
    _table_group: int | None = None

    @property
    def table_group(self) -> int | None:
        """The number of the statement's group of tables; searched for when it is first asked for."""
        while not self.search_table_group():
            pass
        return self._table_group

    def stop_search(self) -> None:
        """Leave the group unknown if it has not been found yet."""
        self._group_found, self._group_search = True, None

    def search_table_group(self) -> bool:
        """Search a bounded part of the statement; returns whether the search is over."""
        if self._group_found:
            return True
        if self._group_search is None:
            self._group_search = _search_cached(self.text)
        try:
            next(self._group_search)
        except StopIteration as end:
            self._table_group, self._group_found, self._group_search = end.value, True, None
        return self._group_found


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
    comment, text = _split_fields(query)
    try:
        inside = comment.decode("utf-8")
    except UnicodeDecodeError as error:
        raise StatementError("the comment's fields are not UTF-8") from error
    fields = {}
    for item in inside.strip().split(","):
        if "=" in item:
            name, _, value = item.partition("=")
            fields[name.strip()] = value.strip()
    class_name, call_id = fields.get("op", ""), fields.get("call", "").encode()
    if not class_name:
        raise StatementError("field op is missing")
    if not _call_id_pattern.match(call_id):
        raise StatementError("field call is missing or not 16 hex digits")
    if not text:
        raise StatementError("no statement after the comment")
    return Statement(
        class_name,
        call_id,
        _number_field(fields, "ttl"),
        _number_field(fields, "work"),
        _number_field(fields, "memory"),
        text,
    )


def _split_fields(query: bytes) -> tuple[bytes, bytes]:
    """The inside of the leading comment, and the statement behind it. Errors: StatementError."""
    query = query.lstrip()
    if not query.startswith(_COMMENT_START):
        raise StatementError("no comment with fields ahead of the statement")
    start = len(_COMMENT_START)
    end = query.find(_COMMENT_END, start, MAX_FIELDS_BYTES)
    if end < 0:
        raise StatementError(f"no end of the comment with fields within {MAX_FIELDS_BYTES} bytes")
    return query[start:end], query[end + len(_COMMENT_END) :].lstrip()


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


# A statement without such text names no group: a name that ends in a number behind an underscore.
_group_candidate = re.compile(r"_[0-9]{1,9}(?![\w$])")
TOKENS_PER_STEP = 128  # between two points at which a search can be suspended


def _strip_block_comments(text: str) -> Generator[None, None, str]:
    """Replace each block comment by a space; block comments nest."""
    kept: list[str] = []
    depth = start = position = 0
    token_count = 0
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
        token_count += 1
        if token_count % TOKENS_PER_STEP == 0:
            yield
    if depth == 0:
        kept.append(text[start:])
    return "".join(kept)


def _find_first_group(text: str) -> Generator[None, None, int | None]:
    """Find the first schema name with a group where a table is named, in text without block comments."""
    brackets: list[tuple[bool, bool]] = []  # saved (in_list, ignore_from) per open bracket
    in_list = expect_table = ignore_from = False
    previous = ""
    schema: re.Match[str] | None = None  # the previous token, if a dot makes it a schema with a group
    for index, match in enumerate(_sql_token.finditer(text), start=1):
        # Each token is a lower-case word, a quoted name, punctuation, or empty for literals and numbers.
        token = (match["word"] or "").lower() or match["sign"] or match["quoted"] or ""
        if schema is not None and token == ".":
            return int(schema.group(1))
        schema = None
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
            schema = _schema_group.match(token)
        previous = token
        if index % TOKENS_PER_STEP == 0:
            yield
    return None


def _search_group(statement: bytes) -> Generator[None, None, int | None]:
    text = statement.decode("utf-8", "replace")
    if _group_candidate.search(text) is None:
        return None
    if "/*" in text:
        text = yield from _strip_block_comments(text)
    return (yield from _find_first_group(text))


def _search_cached(statement: bytes) -> Generator[None, None, int | None]:
    """Like `_search_group`, but short statements are cached and long ones searched near their start only."""
    if len(statement) > _MAX_CACHED_BYTES:
        return (yield from _search_group(statement[:_MAX_PARSED_BYTES]))
    key = _plain_literal.sub(b"''", statement)
    if key not in _cached_groups:
        group = yield from _search_group(key)
        if len(_cached_groups) >= _MAX_CACHED_STATEMENTS:
            del _cached_groups[next(iter(_cached_groups))]
        _cached_groups[key] = group
    return _cached_groups[key]


def table_group(statement: bytes) -> int | None:
    """The number in the first schema name that has one, as 17 in `sales_17.orders`; None without one."""
    search = _search_group(statement)
    while True:
        try:
            next(search)
        except StopIteration as end:
            group: int | None = end.value
            return group


# Literals without signs can't contain a name. Statements that differ in them only share a cache entry.
_plain_literal = re.compile(rb"'[0-9A-Za-z]*'")


_MAX_CACHED_BYTES = 1000
_MAX_CACHED_STATEMENTS = 1024
_MAX_PARSED_BYTES = 16_384  # the group is near the start
_cached_groups: dict[bytes, int | None] = {}  # oldest first
