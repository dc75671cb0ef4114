"""The module stays small, pure and free of the bench's words."""

import ast
from pathlib import Path

import whintrail.routing

SOURCE = Path(whintrail.routing.__file__).read_text(encoding="utf-8")
ALLOWED_IMPORTS = {"math", "collections", "functools", "heapq", "itertools", "random", "whintrail"}
ALLOWED_IMPORTS |= {"whintrail.fleet", "whintrail.state"}


def test_at_most_720_lines_that_are_not_blank_and_none_over_110_characters() -> None:
    lines = SOURCE.splitlines()
    assert sum(1 for line in lines if line.strip()) <= 720
    assert max(map(len, lines)) <= 110


def test_imports_nothing_that_reads_clocks_files_or_sockets() -> None:
    tree = ast.parse(SOURCE)
    names = {a.name for n in ast.walk(tree) if isinstance(n, ast.Import) for a in n.names}
    names |= {n.module or "" for n in ast.walk(tree) if isinstance(n, ast.ImportFrom)}
    assert names <= ALLOWED_IMPORTS
    calls = {n.func.id for n in ast.walk(tree) if isinstance(n, ast.Call) and isinstance(n.func, ast.Name)}
    assert not calls & {"open", "print", "input", "set", "frozenset", "hash", "id", "exec", "eval"}
    assert not [n for n in ast.walk(tree) if isinstance(n, ast.Set | ast.SetComp)]
