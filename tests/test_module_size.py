"""The routing policy stays small and pure."""

import ast
from pathlib import Path

import whintrail.routing

SOURCE = Path(whintrail.routing.__file__).read_text(encoding="utf-8")
ALLOWED_IMPORTS = {"math", "collections", "functools", "heapq", "itertools", "random", "whintrail"}
ALLOWED_IMPORTS |= {"whintrail.fleet", "whintrail.state"}


def constant_lines() -> set[int]:
    """Numbers of the lines of assignments at module level, and of the comment lines between them."""
    assignments = [n for n in ast.parse(SOURCE).body if isinstance(n, ast.Assign | ast.AnnAssign)]
    lines = {line for n in assignments for line in range(n.lineno, (n.end_lineno or n.lineno) + 1)}
    between = enumerate(SOURCE.splitlines()[: max(lines)], start=1)
    return lines | {number for number, line in between if line.startswith("#") and number > min(lines)}


def test_at_most_720_lines_without_blanks_and_constants_and_none_over_110_characters() -> None:
    lines, constants = SOURCE.splitlines(), constant_lines()
    counted = [line for number, line in enumerate(lines, start=1) if line.strip() and number not in constants]
    assert 100 < len(counted) <= 720
    assert max(map(len, lines)) <= 110


def test_no_function_is_longer_than_40_lines() -> None:
    functions = [
        n for n in ast.walk(ast.parse(SOURCE)) if isinstance(n, ast.FunctionDef | ast.AsyncFunctionDef)
    ]
    lengths = {f.name: (f.end_lineno or f.lineno) - f.lineno + 1 for f in functions}
    assert len(lengths) > 30
    assert {name: length for name, length in lengths.items() if length > 40} == {}


def test_imports_nothing_that_reads_clocks_files_or_sockets() -> None:
    tree = ast.parse(SOURCE)
    names = {a.name for n in ast.walk(tree) if isinstance(n, ast.Import) for a in n.names}
    names |= {n.module or "" for n in ast.walk(tree) if isinstance(n, ast.ImportFrom)}
    assert names <= ALLOWED_IMPORTS
    calls = {n.func.id for n in ast.walk(tree) if isinstance(n, ast.Call) and isinstance(n.func, ast.Name)}
    assert not calls & {"open", "print", "input", "set", "frozenset", "hash", "id", "exec", "eval"}
    assert not [n for n in ast.walk(tree) if isinstance(n, ast.Set | ast.SetComp)]
