"""`whintrail timeline`: the history of engines, from a running gateway or from its store."""

import re
import sys
import time
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
import msgspec

from whintrail.cli.output import format_option, print_rows
from whintrail.control.json_lines import ControlError, send_request
from whintrail.timeline.events import Row
from whintrail.timeline.live_view import detection_row
from whintrail.timeline.store import Reader

UNIT_SECONDS = {"s": 1, "m": 60, "h": 3600, "d": 86_400}
ROLLUP_LEVELS = {"raw": None, "1s": 0, "10s": 1, "1m": 2}
REQUEST_TIMEOUT_S = 10.0
NO_END_US = 1 << 62  # later than any event
EVENT_COLUMNS = ["time", "engine", "kind", "what"]
ROLLUP_COLUMNS = [
    "time",
    "sends",
    "ok",
    "errors",
    "full",
    "lost",
    "moved",
    "passed",
    "load",
    "p50_ms",
    "p95_ms",
]
DETECTION_COLUMNS = ["time", "engine", "event", "begins", "since", "evidence"]


class Time(click.ParamType[int]):
    """Unix microseconds, from `10m` (ago), an ISO time (UTC without a zone), or Unix seconds."""

    name = "time"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> int:
        if isinstance(value, int):
            return value
        if found := re.fullmatch(r"(\d+(?:\.\d+)?)([smhd])", value):
            return int((time.time() - float(found[1]) * UNIT_SECONDS[found[2]]) * 1e6)
        if re.fullmatch(r"\d+(\.\d+)?", value):
            return int(float(value) * 1e6)
        try:
            at = datetime.fromisoformat(value)
        except ValueError:
            self.fail(f"{value!r} is no time: 10m, 2026-12-01T18:00:00 or Unix seconds", param, ctx)
        return int((at if at.tzinfo else at.replace(tzinfo=UTC)).timestamp() * 1e6)


def format_time(us: int) -> str:
    """Unix microseconds as an ISO time in UTC, to the millisecond."""
    return datetime.fromtimestamp(us / 1e6, UTC).strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3] + "Z"


def request_rows(path: str, **request: Any) -> Iterator[dict[str, Any]]:
    """Rows of the live view of a running gateway. Errors: ClickException."""
    try:
        yield from send_request(path, request, None if request.get("follow") else REQUEST_TIMEOUT_S)
    except ControlError as error:
        raise click.ClickException(str(error)) from error


def open_store(directory: str) -> Reader:
    """Open a store and print a warning for each unusable segment."""
    reader = Reader.open(directory)
    for reason in reader.skipped:
        click.echo(f"whintrail: skipped {reason}", err=True)
    return reader


def require_one_source(store: str | None, path: str | None) -> None:
    """Errors: UsageError unless exactly one is given."""
    if (store is None) == (path is None):
        raise click.UsageError("name one source: --store DIRECTORY or --socket PATH")


store_option = click.option("--store", type=click.Path(file_okay=False), help="The store's directory.")
socket_option = click.option("--socket", "path", type=click.Path(), help="A running gateway's live view.")
since_option = click.option("--since", type=Time(), default=0, help="10m, an ISO time, Unix seconds.")
until_option = click.option("--until", type=Time(), default=NO_END_US)


@click.group()
def timeline() -> None:
    """The history of each engine.

    \b
    Examples:
      whintrail timeline show --socket /run/whintrail/timeline.sock
      whintrail timeline show --store DIR s-12 --since 30m
      whintrail timeline events --socket PATH --follow
      whintrail timeline plot --store DIR --since 1h --out incident.png
      whintrail timeline verify --store DIR
    """


@timeline.command()
@click.argument("engine", required=False)
@store_option
@socket_option
@since_option
@until_option
@click.option("--level", type=click.Choice(list(ROLLUP_LEVELS)), default="raw", show_default=True)
@click.option("--limit", type=click.IntRange(1), help="Print only the last rows, this many.")
@format_option
def show(
    engine: str | None,
    store: str | None,
    path: str | None,
    since: int,
    until: int,
    level: str,
    limit: int | None,
    form: str,
) -> int:
    """An engine's raw events or roll-ups; without an engine, the engines.

    \b
    Example:
      whintrail timeline show --store DIR s-12 --since 18:00 --level 10s
    """
    require_one_source(store, path)
    columns = EVENT_COLUMNS if level == "raw" else ROLLUP_COLUMNS
    if engine is None:
        columns = ["engine", "kind", "state", "held", "load", "verdicts"]
        if path is not None:
            print_rows(request_rows(path, what="engines"), columns, form)
        else:
            assert store is not None
            with open_store(store) as reader:
                print_rows(({"engine": name} for name in reader.engines()), ["engine"], form)
        return 0
    if path is not None:
        request = {"engine": engine, "since_us": since, "until_us": until, "level": ROLLUP_LEVELS[level]}
        rows: Iterator[dict[str, Any]] = request_rows(path, what="show", **request)
        count = print_rows(last_rows(add_time_column(rows), limit), columns, form)
    else:
        assert store is not None
        with open_store(store) as reader:
            if level == "raw":
                classes = reader.classes
                rows = (event_row(row, classes) for row in reader.rows(engine, since, until))
            else:
                if ROLLUP_LEVELS[level] == 0:
                    raise click.UsageError("the store keeps raw events and roll-ups of 10s and 1m")
                buckets = reader.rollups(engine, ROLLUP_LEVELS[level] or 0, since, until)
                rows = add_time_column(bucket.summary() for bucket in buckets)
            count = print_rows(last_rows(rows, limit), columns, form)
    if not count:
        click.echo(f"whintrail: nothing about {engine} in that time", err=True)
    return 0 if count else 1


def event_row(row: Row, classes: tuple[str, ...]) -> dict[str, Any]:
    """A raw event of a store as a row of output."""
    return {
        "time": format_time(row.at_us),
        "at_us": row.at_us,
        "engine": row.engine,
        "kind": row.kind.name.lower(),
        "what": row.describe(classes),
    }


def add_time_column(rows: Any) -> Iterator[dict[str, Any]]:
    for row in rows:
        yield {"time": format_time(row["at_us"]), **row}


def last_rows(rows: Iterator[dict[str, Any]], limit: int | None) -> Iterator[dict[str, Any]]:
    if limit is None:
        return rows
    from collections import deque

    return iter(deque(rows, maxlen=limit))


def detection_rows(rows: Any, form: str) -> Iterator[dict[str, Any]]:
    """Detections as rows; in a table the evidence is one cell."""
    for row in rows:
        if "missed" in row:
            click.echo(f"whintrail: {row['missed']} events missed: this reader was too slow", err=True)
            continue
        row = {"time": format_time(row["at_us"]), "since": format_time(row["since_us"]), **row}
        if form == "table":
            row["evidence"] = " ".join(f"{name}={value:.4g}" for name, value in row["evidence"].items())
        yield row


@timeline.command()
@click.argument("engine", required=False)
@store_option
@socket_option
@since_option
@until_option
@click.option("--follow", is_flag=True, help="Continue with new events (live view only).")
@format_option
def events(
    engine: str | None, store: str | None, path: str | None, since: int, until: int, follow: bool, form: str
) -> int:
    """Detected behaviour: stalled, slow, failing, flapping, cold again, and when each ended.

    \b
    Example:
      whintrail timeline events --socket PATH --follow --format json
    """
    require_one_source(store, path)
    if path is not None:
        rows = request_rows(path, what="events", engine=engine, since_us=since, follow=follow)
        if follow:
            for row in detection_rows(rows, form):
                if form == "json":
                    sys.stdout.buffer.write(msgspec.json.encode(row) + b"\n")
                else:
                    click.echo("  ".join(str(row[column]) for column in DETECTION_COLUMNS))
                sys.stdout.flush()
            return 0
        print_rows(detection_rows(rows, form), DETECTION_COLUMNS, form)
        return 0
    if follow:
        raise click.UsageError("--follow needs --socket")
    assert store is not None
    with open_store(store) as reader:
        detections = (detection_row(detection) for detection in reader.detections(engine, since, until))
        print_rows(detection_rows(detections, form), DETECTION_COLUMNS, form)
    return 0


@timeline.command()
@click.argument("engine", required=False)
@click.option("--store", type=click.Path(file_okay=False), required=True)
@since_option
@until_option
@click.option("--form", type=click.Choice(["jsonl", "csv"]), default="jsonl", show_default=True)
def export(engine: str | None, store: str, since: int, until: int, form: str) -> int:
    """Raw events with their codes and values, for other programs.

    \b
    Example:
      whintrail timeline export --store DIR s-12 --form csv > s-12.csv
    """
    import csv

    columns = ("at_us", "engine", "kind", "code", "a", "b", "what")
    writer = csv.writer(sys.stdout) if form == "csv" else None
    if writer is not None:
        writer.writerow(columns)
    with open_store(store) as reader:
        classes = reader.classes
        for row in reader.rows(engine, since, until):
            values = (
                row.at_us,
                row.engine,
                row.kind.name.lower(),
                row.code,
                row.a,
                row.b,
                row.describe(classes),
            )
            if writer is not None:
                writer.writerow(values)
            else:
                sys.stdout.buffer.write(msgspec.json.encode(dict(zip(columns, values, strict=True))) + b"\n")
    return 0


@timeline.command()
@click.option("--store", type=click.Path(file_okay=False), required=True)
@click.argument("engines", nargs=-1)
@since_option
@until_option
@click.option("--out", type=click.Path(dir_okay=False), required=True, help="A .png or .svg file.")
def plot(store: str, engines: tuple[str, ...], since: int, until: int, out: str) -> int:
    """Draw an incident: one lane per engine, with load, latency bands, sends, errors and events.

    \b
    Example:
      whintrail timeline plot --store DIR s-3 s-12 --since 20m --out incident.svg
    """
    if Path(out).suffix not in (".png", ".svg"):
        raise click.BadParameter("the file's name must end in .png or .svg", param_hint="--out")
    try:
        from whintrail.timeline.plot import draw_incident
    except ModuleNotFoundError as error:
        raise click.ClickException(f"plot needs {error.name}: install requirements-plot.txt") from error
    with open_store(store) as reader:
        drawn_count = draw_incident(reader, list(engines), since, until, out)
    if not drawn_count:
        raise click.ClickException("nothing to draw in that time")
    click.echo(f"{out}: {drawn_count} engines")
    return 0


@timeline.command()
@click.option("--store", type=click.Path(file_okay=False), required=True)
@format_option
def verify(store: str, form: str) -> int:
    """Check every byte: frames, checksums, torn tails, indexes. Status 1 if anything is lost.

    \b
    Example:
      whintrail timeline verify --store DIR
    """
    reader, damaged_count = Reader(Path(store)), 0
    rows = []
    for report in reader.verify():
        damaged_count += bool(report.fault or report.damaged or report.index not in ("sound", "none"))
        rows.append({name: getattr(report, name) for name in report.__slots__})
    print_rows(
        rows,
        ["name", "bytes", "frames", "events", "engines", "damaged", "lost_bytes", "torn", "index", "fault"],
        form,
    )
    return 1 if damaged_count else 0
