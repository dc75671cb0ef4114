"""Plots an incident from a store, with one lane for each engine.

Needs matplotlib, which a gateway's installation doesn't include.
"""

from collections import defaultdict
from datetime import UTC, datetime
from math import nan

import matplotlib

matplotlib.use("Agg")
import matplotlib.dates as dates
import matplotlib.pyplot as plt
from matplotlib.axes import Axes
from matplotlib.patches import Patch

from whintrail import interface as api
from whintrail.structures.sketch import QuantileSketch
from whintrail.timeline.events import OUTCOME_CODE, STATES, Detection, Kind, Row, Verdict
from whintrail.timeline.store import Reader

MAX_LANES = 40
VERDICT_COLOURS = {
    Verdict.STALLED: "#b2182b",
    Verdict.SLOW: "#ef8a62",
    Verdict.FAILING: "#762a83",
    Verdict.FLAPPING: "#1b7837",
    Verdict.COLD_AGAIN: "#2166ac",
}
OK_CODE = OUTCOME_CODE[api.Outcome.OK]
CANCELLED_CODES = {OUTCOME_CODE[api.Outcome.CANCELLED], OUTCOME_CODE[api.Outcome.NOT_STARTED]}


def to_date_number(time_us: float) -> float:
    return float(dates.date2num(datetime.fromtimestamp(time_us / 1e6, UTC)))  # type: ignore[no-untyped-call]


def verdict_intervals(detections: list[Detection], end_us: int) -> list[tuple[Verdict, int, int]]:
    """Verdict, begin and end of each anomaly; one that has not ended lasts until `end_us`."""
    since_of: dict[Verdict, int] = {}
    ended = []
    for detection in detections:
        if detection.begins:
            since_of[detection.verdict] = detection.since_us
        elif detection.verdict in since_of:
            ended.append((detection.verdict, since_of.pop(detection.verdict), detection.since_us))
    return ended + [(verdict, since, end_us) for verdict, since in since_of.items()]


def draw_incident(reader: Reader, engines: list[str], since: int, until: int, out: str) -> int:
    """Plot the engines to a file and return their number, 0 if there are no events. Errors: OSError."""
    rows: defaultdict[str, list[Row]] = defaultdict(list)
    for name in engines or reader.engines()[:MAX_LANES]:
        if engine_rows := list(reader.rows(name, since, until)):
            rows[name] = engine_rows
    if not rows:
        return 0
    begin = min(engine_rows[0].at_us for engine_rows in rows.values())
    end = max(engine_rows[-1].at_us for engine_rows in rows.values())
    figure, lanes = plt.subplots(
        len(rows), 1, sharex=True, squeeze=False, figsize=(12, 1.0 + 1.5 * len(rows)), layout="constrained"
    )
    for axes, (name, engine_rows) in zip(lanes[:, 0], sorted(rows.items()), strict=True):
        _draw_lane(axes, name, engine_rows, list(reader.detections(name, since, until)), begin, end)
    lanes[-1, 0].xaxis.set_major_formatter(dates.DateFormatter("%H:%M:%S"))  # type: ignore[no-untyped-call]
    lanes[-1, 0].set_xlabel("time (UTC); latency p50 to p95 in ms, logarithmic; grey: load; marks: no answer")
    handles = [Patch(color=colour, alpha=0.35) for colour in VERDICT_COLOURS.values()]
    names = [verdict.name.lower().replace("_", " ") for verdict in VERDICT_COLOURS]
    figure.legend(handles, names, loc="outside upper center", ncols=len(names), frameon=False)
    figure.savefig(out, dpi=110)
    plt.close(figure)
    return len(rows)


def _draw_lane(
    axes: Axes, name: str, rows: list[Row], detections: list[Detection], begin: int, end: int
) -> None:
    interval_us = max(500_000, (end - begin) // 240)
    latency: defaultdict[int, QuantileSketch] = defaultdict(QuantileSketch)
    failure_dates: list[float] = []
    loads: list[tuple[float, float]] = []
    for row in rows:
        if row.kind is Kind.ENDED and row.code == OK_CODE:
            latency[(row.at_us - begin) // interval_us].add(row.b)
        elif row.kind is Kind.ENDED and row.code not in CANCELLED_CODES:
            failure_dates.append(to_date_number(row.at_us))
        elif row.kind is Kind.REPORTED:
            loads.append((to_date_number(row.at_us), row.a))
    for verdict, since, until in verdict_intervals(detections, end):
        axes.axvspan(
            to_date_number(max(since, begin)),
            to_date_number(min(until, end)),
            color=VERDICT_COLOURS[verdict],
            alpha=0.35,
        )
    intervals = range(min(latency), max(latency) + 1) if latency else range(0)
    x_dates = [to_date_number(begin + interval * interval_us + interval_us / 2) for interval in intervals]
    # An interval without answers is a gap in the line.
    median_ms = [
        max(0.1, latency[interval].quantile(0.5)) if interval in latency else nan for interval in intervals
    ]
    p95_ms = [
        max(0.1, latency[interval].quantile(0.95)) if interval in latency else nan for interval in intervals
    ]
    axes.fill_between(x_dates, median_ms, p95_ms, color="#4393c3", alpha=0.6, linewidth=0)
    axes.plot(x_dates, median_ms, color="#2166ac", linewidth=0.8)
    axes.set_yscale("log")
    axes.set_xlim(to_date_number(begin), to_date_number(end))
    if failure_dates:
        axes.plot(
            failure_dates,
            [0.97] * len(failure_dates),
            "|",
            color="black",
            transform=axes.get_xaxis_transform(),
            markersize=5,
        )
    if loads:
        load_axes = axes.twinx()
        load_axes.step(*zip(*loads, strict=True), color="grey", linewidth=0.7, where="post")
        load_axes.set_ylim(bottom=0)
        load_axes.tick_params(labelsize=6)
    for row in rows:
        if row.kind is Kind.LISTED and STATES[row.code] is not api.EngineState.READY:
            axes.axvline(to_date_number(row.at_us), color="black", linestyle=":", linewidth=1)
    axes.set_ylabel(name, rotation=0, ha="right", va="center", fontsize=8)
    axes.tick_params(labelsize=6)
