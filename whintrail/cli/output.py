"""Rows as a table for people or as JSON, a row a line, for programs."""

import sys
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import click
import orjson

format_option = click.option(
    "--format", "form", type=click.Choice(["table", "json"]), default="table", show_default=True
)


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def print_rows(rows: Iterable[Mapping[str, Any]], columns: Sequence[str], form: str) -> int:
    """Print the rows; how many they were. A table's widths are those of its first 1,000 rows."""
    count = 0
    if form == "json":
        for row in rows:
            sys.stdout.buffer.write(orjson.dumps(dict(row), default=str) + b"\n")
            count += 1
        sys.stdout.buffer.flush()
        return count
    source = iter(rows)
    head: list[list[str]] = []
    for row in source:
        head.append([_format_cell(row.get(column)) for column in columns])
        if len(head) == 1000:
            break
    widths = [
        max(len(c), *(len(line[i]) for line in head)) if head else len(c) for i, c in enumerate(columns)
    ]

    def write(cells: Sequence[str]) -> None:
        text = "  ".join(cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
        sys.stdout.write(text.rstrip() + "\n")

    write([column.upper() for column in columns])
    for line in head:
        write(line)
    count = len(head)
    for row in source:
        write([_format_cell(row.get(column)) for column in columns])
        count += 1
    return count
