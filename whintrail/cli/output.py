"""Prints rows as a table for people, or as JSON, one row per line, for programs."""

import sys
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import click
import orjson

MAX_ROWS_FOR_WIDTHS = 1000

format_option = click.option(
    "--format", "form", type=click.Choice(["table", "json"]), default="table", show_default=True
)


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def print_rows(rows: Iterable[Mapping[str, Any]], columns: Sequence[str], form: str) -> int:
    """Print the rows; returns their number. The widths of a table are those of its first 1,000 rows."""
    count = 0
    if form == "json":
        for row in rows:
            sys.stdout.buffer.write(orjson.dumps(dict(row), default=str) + b"\n")
            count += 1
        sys.stdout.buffer.flush()
        return count
    source = iter(rows)
    first_rows: list[list[str]] = []
    for row in source:
        first_rows.append([_format_cell(row.get(column)) for column in columns])
        if len(first_rows) == MAX_ROWS_FOR_WIDTHS:
            break
    widths = [
        max(len(column), *(len(cells[i]) for cells in first_rows)) if first_rows else len(column)
        for i, column in enumerate(columns)
    ]

    def write(cells: Sequence[str]) -> None:
        text = "  ".join(cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
        sys.stdout.write(text.rstrip() + "\n")

    write([column.upper() for column in columns])
    for cells in first_rows:
        write(cells)
    count = len(first_rows)
    for row in source:
        write([_format_cell(row.get(column)) for column in columns])
        count += 1
    return count
