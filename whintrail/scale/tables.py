"""The tables of docs/CAPACITY.md as text: by name, from samples and predictions alone. Pure."""

import math
import re
from collections.abc import Callable, Iterable, Mapping, Sequence

from msgspec import Struct

from whintrail.scale import candidates, capacity, inputs, rates, rows
from whintrail.scale.capacity import (
    BudgetCrossing,
    Estimate,
    EvaluationPoint,
    FitCache,
    MeasurementKey,
    RowDimension,
    RowResult,
)
from whintrail.scale.fitting import Fit
from whintrail.scale.results import Results, Sample

NOT_MEASURED, INCONCLUSIVE, EMPTY_CELL = "not measured", "not told by its sizes", "-"
SUBSET_AFFECTED_ROWS = {
    *candidates.SUBSET.resolves,
    *candidates.SUBSET.eases,
    *(row.key for row in rows.SUBSET_ROWS),
    *("memo_datagrams", "probes", "hollow_cpu_fleet", "hollow_bytes"),
}


class Prediction(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A figure told before its run."""

    quantity: str
    unit: str
    gateways: int
    engines: int
    value: float
    low: float
    high: float
    kind: str
    role: str = "gateway"
    subset: int = 0
    note: str = ""
    sizes: tuple[int, ...]  # those that it was fitted on
    form: str
    commit: str
    written_at: str  # UTC, ISO 8601


class PredictionFile(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    predictions: list[Prediction]


# --- Figures as text.


def format_number(value: float) -> str:
    """Three digits that count, thousands parted; a whole number as it is."""
    if not math.isfinite(value):
        return EMPTY_CELL
    if value == round(value) and abs(value) < 1e7:
        return f"{value:,.0f}"
    places = 2 - math.floor(math.log10(abs(value)))
    rounded = round(value, places)
    return f"{rounded:,.{max(0, places)}f}" if places > 0 else f"{rounded:,.0f}"


def zero_if_negligible(value: float, reference: float) -> float:
    """0 for what is nothing beside the scale: rounding of the fit, which differs from machine to machine."""
    return 0.0 if abs(value) < 1e-6 * abs(reference) else value


def format_quantity(value: float, unit: str) -> str:
    if unit == "share":
        return f"{format_number(100 * value)}%"
    if unit == "bytes" and abs(value) >= 1e6:
        return f"{format_number(value / (1 << 20))} MB"
    if unit == "bytes" and abs(value) >= 1e4:
        return f"{format_number(value / 1024)} KB"
    if unit == "bytes/s" and abs(value) >= 1e4:
        return f"{format_number(value / 1024)} KB/s"
    if unit == "1/s":
        return f"{format_number(value)}/s"
    return format_number(value) if unit == "count" else f"{format_number(value)} {unit}"


def format_estimate(estimate: Estimate, unit: str) -> str:
    text = format_quantity(estimate.value, unit)
    if estimate.high - estimate.low <= 1e-9 * abs(estimate.value):
        return text
    low, high = (
        zero_if_negligible(estimate.low, estimate.value),
        zero_if_negligible(estimate.high, estimate.value),
    )
    return f"{text} ({format_quantity(low, unit)} to {format_quantity(high, unit)})"


def value_cell(
    value: Estimate | None,
    missing_quantity: str,
    unit: str,
    used_keys: Sequence[MeasurementKey],
    fit_cache: FitCache,
    evaluate: Callable[[EvaluationPoint], Estimate],
    is_inconclusive: bool,
) -> str:
    """The cell of a value at the size that is coming; where its fits were taken at smaller sizes only, so."""
    if value is None:
        return f"{NOT_MEASURED}: {missing_quantity}"
    if is_inconclusive:
        there, (gateways, engines) = capacity.evaluate_at_largest_measured(evaluate, used_keys, fit_cache)
        along = {use.grows_with for use in used_keys}
        sizes = [f"{gateways:,.0f} gateways"] * ("gateways" in along)
        sizes += [f"{engines:,.0f} engines"] * ("engines" in along)
        return f"{INCONCLUSIVE}; {format_quantity(there.value, unit)} at {' and '.join(sizes)}"
    text = format_estimate(value, unit)
    for use in used_keys:
        try:
            most = max(fit_cache.fit(use).sizes)
        except capacity.NotMeasured:  # another was taken in its place
            continue
        if most < capacity.target_size()[1 if use.grows_with == "engines" else 0]:
            text += f"; foretold: {use.quantity} was taken up to {most:,} {use.grows_with}"
    return text


def crossing_cell(dimension: RowDimension, crossing: BudgetCrossing | None) -> str:
    """The size at which a budget is passed."""
    if crossing is None:
        return EMPTY_CELL
    if dimension == "neither":
        return "at any size" if crossing.size is not None else "at none"
    if crossing.size is None:
        return f"at none up to {capacity.SEARCH_LIMIT_FACTOR:g} times"

    def size(x: float) -> str:
        if dimension != "both":
            return format_number(x)
        gateways, engines = capacity.size_at_progress(_progress_at_gateways(x))
        return f"{format_number(gateways)} and {format_number(engines)}"

    if dimension == "both" and crossing.size <= 1:
        return "at any size"
    if crossing.is_below_measured and crossing.measured_range is not None:
        return f"below {crossing.measured_range[0]:,} {dimension}, the least taken"
    text = size(crossing.size) if crossing.is_certain else f"unsure: {size(crossing.size)}"
    early, late = crossing.earliest, crossing.latest
    if early is not None and late is not None and size(early) != size(late):
        text += f" ({size(early)} to {size(late)})"
    return f"{text} gateways and engines" if dimension == "both" else f"{text} {dimension}"


def _progress_at_gateways(gateways: float) -> float:
    begin, end = capacity.current_size()[0], capacity.target_size()[0]
    return (gateways - begin) / (end - begin)


def format_slope(fit: Fit) -> str:
    each = f"{fit.unit} {'an engine' if fit.grows_with == 'engines' else 'a gateway'}"
    slope, error = (
        zero_if_negligible(fit.slope, fit.slope_error),
        zero_if_negligible(fit.slope_error, fit.slope),
    )
    return f"{format_number(slope)} +- {format_number(error)} {each}"


def format_sizes(fit: Fit) -> str:
    return ", ".join(f"{size:,}" for size in fit.sizes)


def markdown_table(head: Sequence[str], body: Sequence[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *body]
    return "\n".join("| " + " | ".join(cell.replace("|", "/") for cell in line) + " |" for line in lines)


# --- The tables.


def _code_path_cell(row_result: RowResult, code_locations: Mapping[str, str]) -> str:
    row = row_result.row
    today = (
        f"`{code_locations.get(row.code_path, row.code_path)}`"
        if row.code_path
        else "not ours"
        if row.role in (rows.BULLETIN_ROLE, rows.ENGINE_ROLE)
        else ""
    )
    if row.remedy and row_result.is_exceeded:
        return f"{today}; {row.remedy}"
    if row_result.is_exceeded:
        return f"**missing**; today {today}" if today else "**missing**"
    return today or "**missing**"


def roles_table(
    row_results: Sequence[RowResult], fit_cache: FitCache, code_locations: Mapping[str, str]
) -> str:
    head = (
        "role",
        "what",
        "slope x what it grows with",
        "at 4,000 and 15,000",
        "budget",
        "used",
        "carried by",
        "passed at",
    )
    body = []
    for f in row_results:
        row = f.row
        value = value_cell(
            f.value, f.missing, row.unit, f.used_keys, fit_cache, row.evaluate, f.is_inconclusive
        )
        budget = row.budget_name or "none set"
        used = (
            f"{format_number(100 * f.budget_share)}%"
            if f.budget_share is not None and not f.is_inconclusive
            else EMPTY_CELL
        )
        crossing = crossing_cell(row.grows_with, f.crossing) if row.budget is not None else EMPTY_CELL
        body.append(
            (
                row.role,
                row.description,
                row.formula,
                value,
                budget,
                used,
                _code_path_cell(f, code_locations),
                crossing,
            )
        )
    return markdown_table(head, body)


def slopes_table(keys: Iterable[MeasurementKey], fit_cache: FitCache) -> str:
    head = ("quantity", "of", "slope", "form", "exponent", "off by at most", "sizes")
    body = []
    for use in keys:
        try:
            fit = fit_cache.fit(use)
        except capacity.NotMeasured:
            body.append(
                (
                    use.quantity,
                    _describe_key(use),
                    NOT_MEASURED,
                    EMPTY_CELL,
                    EMPTY_CELL,
                    EMPTY_CELL,
                    EMPTY_CELL,
                )
            )
            continue
        exponent = (
            f"{format_number(fit.exponent)} +- {format_number(zero_if_negligible(fit.exponent_error, fit.exponent))}"
            if fit.exponent == fit.exponent
            else EMPTY_CELL
        )
        worst = f"{format_number(100 * zero_if_negligible(fit.worst_residual, 1.0))}%"
        body.append(
            (
                use.quantity,
                _describe_key(use),
                format_slope(fit),
                fit.form,
                exponent,
                worst,
                format_sizes(fit),
            )
        )
    return markdown_table(head, body)


def _describe_key(key: MeasurementKey) -> str:
    day = key.day if key.day != "steady" else None
    words = [key.kind, key.role, key.note, day, "99th or 95th hundredth" if key.stat == "high" else None]
    return ", ".join(word for word in words if word) or "gateway"


def rates_table(facts: Sequence[rates.FactResult], fit_cache: FitCache) -> str:
    head = ("event", "what", "at 4,000 and 15,000", "budget", "holds")
    body = []
    for r in facts:
        fact = r.fact
        value = value_cell(
            r.value, r.missing, fact.unit, r.used_keys, fit_cache, fact.evaluate, r.is_inconclusive
        )
        holds = EMPTY_CELL if fact.budget is None or r.value is None else "**no**" if r.is_exceeded else "yes"
        if fact.budget is not None and r.is_inconclusive:
            holds = "**no**, there already" if r.is_exceeded else INCONCLUSIVE
        body.append((fact.event, fact.description, value, fact.budget_name or EMPTY_CELL, holds))
    return markdown_table(head, body)


def ranking_table(row_results: Sequence[RowResult]) -> str:
    head = (
        "mechanism",
        "its first row to fail",
        "at",
        "share of the way",
        "failing rows it carries",
        "which",
    )
    body = []
    for rank in capacity.rank_candidates(row_results, candidates.CANDIDATES):
        first, names = rank.first_failing, ", ".join(f.row.key for f in rank.failing)
        at = crossing_cell(first.row.grows_with, first.crossing)
        share = f"{format_number(100 * rank.growth_progress)}%"
        body.append((rank.candidate.name, first.row.key, at, share, str(len(rank.failing)), names))
    return markdown_table(head, body)


def failing_table(row_results: Sequence[RowResult]) -> str:
    """Rows that fail on the way, the first ones first, and who would carry them."""
    head = ("row", "what", "passed at", "share of the way", "would be carried by")
    body = []
    for f in capacity.failing_rows(row_results):
        assert f.crossing is not None
        key = f.row.key
        by = [f"{c.name} ({c.resolves[key]})" for c in candidates.CANDIDATES if key in c.resolves]
        by += [f"in part {c.name} ({c.eases[key]})" for c in candidates.CANDIDATES if key in c.eases]
        at = crossing_cell(f.row.grows_with, f.crossing)
        body.append(
            (
                f.row.key,
                f.row.description,
                at,
                f"{format_number(100 * f.crossing.growth_progress)}%",
                "; ".join(by) or "nothing yet",
            )
        )
    return markdown_table(head, body)


def remedies_table(row_results: Sequence[RowResult]) -> str:
    head = ("what", "at 4,000 and 15,000", "budget", "passed at", "mended by")
    body = [
        (
            f.row.description,
            format_estimate(f.value, f.row.unit),
            f.row.budget_name,
            crossing_cell(f.row.grows_with, f.crossing),
            f.row.remedy,
        )
        for f in row_results
        if f.row.remedy and f.is_exceeded and f.value is not None
    ]
    return markdown_table(head, body)


def inputs_table() -> str:
    head = ("input", "value", "unit", "from", "reason")
    return markdown_table(
        head, [(i.name, format_number(i.value), i.unit, i.source, i.reason) for i in inputs.ALL_INPUTS]
    )


def matches_prediction(p: Prediction, s: Sample) -> bool:
    return (p.quantity, p.kind, p.role, p.subset, p.note, p.gateways, p.engines) == (
        s.quantity, s.kind, s.role, s.subset, s.note, s.gateways, s.engines,
    )  # fmt: skip


def predictions_table(predictions: Sequence[Prediction], results: Sequence[Results]) -> str:
    head = (
        "quantity",
        "gateways",
        "engines",
        "foretold",
        "from sizes",
        "at commit",
        "found",
        "found / foretold",
        "within",
    )
    body = []
    for p in predictions:
        # A run that began before the prediction was written proves nothing.
        found = [
            s for r in results if r.taken_at >= p.written_at for s in r.samples if matches_prediction(p, s)
        ]
        told = format_estimate(Estimate(p.value, p.low, p.high), p.unit)
        sizes = ", ".join(f"{size:,}" for size in p.sizes)
        name = (
            p.quantity
            + (f", subset {p.subset}" if p.subset else "")
            + (f", {p.role}" if p.role != "gateway" else "")
        )
        row = [name, f"{p.gateways:,}", f"{p.engines:,}", told, sizes, p.commit]
        if not found:
            body.append([*row, "not run", EMPTY_CELL, EMPTY_CELL])
            continue
        value = found[-1].value
        ratio = format_number(value / p.value) if p.value else EMPTY_CELL
        body.append(
            [*row, format_quantity(value, p.unit), ratio, "yes" if p.low <= value <= p.high else "**no**"]
        )
    return markdown_table(head, body)


def subsets_table(samples: Sequence[Sample]) -> str:
    """Rows that were measured with a subset on, beside the way of before. Only parts whose slopes were taken:
    runs of one size with others say nothing of the size that is coming."""
    cores = {s.subset for s in samples if s.subset and s.kind == "core"}
    sizes = sorted(cores or {s.subset for s in samples if s.subset})
    kept = [FitCache(samples, subset=k) for k in sizes]
    head = ["row", "budget", "all engines", "passed at"]
    head += [cell for k in sizes for cell in (f"{k} kept", "used", "passed at")]
    plain, body = FitCache(samples), list[list[str]]()
    for row in (*rows.ROWS, *rows.SUBSET_ROWS):
        before, after = (
            capacity.evaluate_row(row, plain),
            [capacity.evaluate_row(row, figures) for figures in kept],
        )
        if row.key not in SUBSET_AFFECTED_ROWS or all(f.value is None for f in after):
            continue
        own = row in rows.SUBSET_ROWS
        was = EMPTY_CELL if own or before.value is None else format_quantity(before.value.value, row.unit)
        cells = [
            row.key,
            row.budget_name or EMPTY_CELL,
            was,
            EMPTY_CELL if own else crossing_cell(row.grows_with, before.crossing),
        ]
        for f, figures in zip(after, kept, strict=True):
            cells += [
                value_cell(
                    f.value, f.missing, row.unit, f.used_keys, figures, row.evaluate, f.is_inconclusive
                ),
                f"{format_number(100 * f.budget_share)}%"
                if f.budget_share is not None and not f.is_inconclusive
                else EMPTY_CELL,
                crossing_cell(row.grows_with, f.crossing),
            ]
        body.append(cells)
    return markdown_table(head, body) if body else f"{NOT_MEASURED}: no file has samples with a subset."


# Of ways to give each gateway a part of the engines, as `whintrail scale ways` says of the largest size.
ASSIGNMENT_COLUMNS = {
    "holders_least": "holders of an engine, least",
    "holders_most": "most",
    "load_most_aware_sigma_0.5": "most load on one, over the mean",
    "orphans_block": "engines of nobody, a zone of gateways gone",
    "churn_engine_goes": "engines begun with, one engine gone",
    "churn_zone_goes": "a zone of engines gone",
    "churn_fleet_grows_tenth": "a tenth more gateways",
    "memo_partners": "gateways to talk to",
    "memo_bytes_sent_per_s": "bytes/s of memos sent",
}


def assignments_table(samples: Sequence[Sample]) -> str:
    found = [s for s in samples if s.quantity in ASSIGNMENT_COLUMNS and s.subset and s.note]
    if not found:
        return f"{NOT_MEASURED}: holders_least"
    size = max((s.gateways, s.engines) for s in found)
    cells = {(s.note, s.quantity): s for s in found if (s.gateways, s.engines) == size}
    body = []
    for note in dict.fromkeys(note for note, _ in cells):
        row = [cells.get((note, name)) for name in ASSIGNMENT_COLUMNS]
        body.append([note, *(format_number(s.value) if s is not None else EMPTY_CELL for s in row)])
    at = f"way; {size[0]:,} gateways, {size[1]:,} engines, {found[0].subset} kept"
    return markdown_table([at, *ASSIGNMENT_COLUMNS.values()], body)


DIRECTORY_IN_COMMAND = re.compile(r"(?<=\s)/\S*/")  # of one machine: files' names are enough
REGION_QUANTITIES = {
    "apart_asked": "changes asked for during the cut",
    "apart_settled": "of these came into force",
    "apart_gateways": "gateways of the cut region",
    "apart_leased": "of these held a lease",
    "apart_back_s": "after it, until all held a lease and knew the newest version",
}


def regions_table(samples: Sequence[Sample]) -> str:
    """What `benchmarks.regions` found, a day a column."""
    found = {(s.quantity, s.day): s for s in samples if s.quantity in REGION_QUANTITIES}
    if not found:
        return f"{NOT_MEASURED}: apart_asked"
    days = list(dict.fromkeys(day for _, day in found))
    size = f"{next(iter(found.values())).gateways} gateways, simulated"
    body = []
    for name, what in REGION_QUANTITIES.items():
        cells = [found.get((name, day)) for day in days]
        body.append(
            [
                what,
                *(
                    format_estimate(Estimate(s.value, s.low, s.high), s.unit) if s else EMPTY_CELL
                    for s in cells
                ),
            ]
        )
    return markdown_table([size, *days], body)


def _hollow_value(s: EvaluationPoint, quantity: str, day: str = "steady") -> float | None:
    """What hollow gateways came to at exactly this size, all engines kept."""
    at = int(s.gateways), int(s.engines)
    for one in s.fit_cache.samples:
        if (one.quantity, one.kind, one.role, one.day) == (quantity, "hollow", "gateway", day):
            if (one.gateways, one.engines, one.subset) == (*at, 0):
                return one.value
    return None


def _hollow_bytes_per_s(s: EvaluationPoint) -> float | None:
    heard, sent = _hollow_value(s, "bytes_in_per_s"), _hollow_value(s, "bytes_out_per_s")
    return heard + sent if heard is not None and sent is not None and _hollow_probe_reports_per_s(s) else None


def _hollow_probe_reports_per_s(s: EvaluationPoint) -> float | None:
    """None where the run had none: large ones leave them out."""
    return _hollow_value(s, "memo_datagrams_per_s") or None


HOLLOW_COMPARISONS: tuple[
    tuple[str, str, Callable[[EvaluationPoint], float | None], Callable[[EvaluationPoint], Estimate]], ...
] = (
    (
        "memos heard; cores played together",
        "datagrams/s",
        _hollow_probe_reports_per_s,
        lambda s: s.estimate("memo_datagrams_per_s", "engines"),
    ),
    (
        "datagrams in and out, memos too; cores, simulated fleet",
        "bytes/s",
        _hollow_bytes_per_s,
        lambda s: rows.probe_report_bytes(s)
        + s.estimate("member_bytes_per_s", "gateways", kind="simulated", role="gateway"),
    ),
    (
        "the node's processor time; cores alone",
        "share",
        lambda s: _hollow_value(s, "node_share"),
        lambda s: s.estimate("node_cpu_share", "gateways", role="gateway"),
    ),
    (
        "a change in force on all, median; simulated fleet",
        "s",
        lambda s: _hollow_value(s, "version_in_force_s", "changes"),
        lambda s: s.estimate("version_in_force_s", "gateways", kind="simulated", note="one after another"),
    ),
)


def hollow_comparison_table(samples: Sequence[Sample], fit_cache: FitCache) -> str:
    """Hollow gateways on real datagrams beside what cores alone and simulated fleets say of the same size."""
    sizes = sorted({(s.gateways, s.engines) for s in samples if s.kind == "hollow" and not s.subset})
    body = []
    for what, unit, hollow, model in HOLLOW_COMPARISONS:
        for gateways, engines in sizes:
            at = EvaluationPoint(gateways, engines, fit_cache)
            found = hollow(at)
            if found is None:
                continue
            cells = [what, f"{gateways:,}", f"{engines:,}", format_quantity(found, unit)]
            try:
                says = model(at)
            except capacity.NotMeasured as error:
                body.append([*cells, f"{NOT_MEASURED}: {error}", EMPTY_CELL])
                continue
            body.append(
                [
                    *cells,
                    format_estimate(says, unit),
                    format_number(found / says.value) if says.value else EMPTY_CELL,
                ]
            )
    head = ("what", "gateways", "engines", "hollow", "cores or simulated", "ratio")
    return markdown_table(head, body) if body else f"{NOT_MEASURED}: no hollow run."


def files_table(results: Mapping[str, Results]) -> str:
    head = ("file", "command", "commit", "taken at", "took", "load before", "samples")
    body = []
    for name, r in results.items():
        load = f"{format_number(r.machine.load)} on {r.machine.cores} cores"
        body.append(
            (
                name,
                f"`{DIRECTORY_IN_COMMAND.sub('', r.command)}`",
                r.commit,
                r.taken_at,
                f"{format_number(r.took_s)} s",
                load,
                str(len(r.samples)),
            )
        )
    return markdown_table(head, body) if body else "No file yet."


PREDICTION_RUN_PREFIX = "found-"


def is_superseded(name: str) -> bool:
    """Whether a file is of a program that was mended since: before/NAME.json, or NAME-unmended.json."""
    return name.startswith("before/") or name.endswith("-unmended.json")


def samples_to_fit(results: Mapping[str, Results]) -> list[Sample]:
    """What fits are made of: all but the runs of predictions, `found-*.json`, which stay apart from them; and
    of files of before a mend only the quantities that no file of today has."""
    names = [name for name in results if not name.startswith(PREDICTION_RUN_PREFIX)]
    now = [s for name in names if not is_superseded(name) for s in results[name].samples]
    known = {(s.quantity, s.kind) for s in now}
    then = [s for name in names if is_superseded(name) for s in results[name].samples]
    return _without_partial_totals(now) + [s for s in then if (s.quantity, s.kind) not in known]


def _without_partial_totals(samples: Sequence[Sample]) -> list[Sample]:
    """Without the sums of hollow gateways in runs that left memos out, as large ones do."""
    sums = ("control_cpu_share", "bytes_in_per_s", "bytes_out_per_s")
    hollow = [s for s in samples if s.kind == "hollow" and s.role == "gateway"]
    none = [s for s in hollow if s.quantity == "memo_datagrams_per_s" and not s.value]
    quiet = {(s.gateways, s.engines, s.subset) for s in none}
    left = {id(s) for s in hollow if s.quantity in sums and (s.gateways, s.engines, s.subset) in quiet}
    return [s for s in samples if id(s) not in left]


MIN_IMPROVEMENT_RATIO = 1.5  # times less, at the greatest size that both have, is worth a line


def improvements_table(results: Mapping[str, Results], keys: Iterable[MeasurementKey]) -> str:
    """Quantities that files of before a mend have otherwise than the files of today."""
    then = FitCache([s for name, r in results.items() if is_superseded(name) for s in r.samples])
    now, body = FitCache(samples_to_fit(results)), list[list[str]]()
    for use in keys:
        try:
            old, new = then.fit(use), now.fit(use)
        except capacity.NotMeasured:
            continue
        common = [size for size in old.sizes if size in new.sizes]
        if (
            not common
            or not old.estimate_at(common[-1])[0] > MIN_IMPROVEMENT_RATIO * new.estimate_at(common[-1])[0] > 0
        ):
            continue
        size = f"{common[-1]:,} {use.grows_with}"
        was, now_is = (format_quantity(fit.estimate_at(common[-1])[0], fit.unit) for fit in (old, new))
        body.append([use.quantity, _describe_key(use), size, was, old.form, now_is, new.form])
    if not body:
        return "Nothing was mended between two files of results."
    return markdown_table(("quantity", "of", "at", "before", "form", "after", "form"), body)


def simulation_table(samples: Sequence[Sample]) -> str:
    """Processor seconds of a simulated second of the whole fleet, by size."""
    cells = {(s.gateways, s.note): s for s in samples if s.quantity == "sim_cpu_s"}
    notes = list(dict.fromkeys(note for _, note in cells))
    if not notes:
        return f"{NOT_MEASURED}: sim_cpu_s"
    body = []
    for gateways in sorted({gateways for gateways, _ in cells}):
        found = [cells.get((gateways, note)) for note in notes]
        body.append(
            [
                f"{gateways:,}",
                *(
                    format_estimate(Estimate(s.value, s.low, s.high), s.unit) if s else EMPTY_CELL
                    for s in found
                ),
            ]
        )
    return markdown_table(["gateways", *notes], body)


def render_tables(
    results: Mapping[str, Results], predictions: Sequence[Prediction], code_locations: Mapping[str, str]
) -> dict[str, str]:
    """All tables by name."""
    samples = samples_to_fit(results)
    figures = FitCache(samples)
    found = [capacity.evaluate_row(row, figures) for row in rows.ROWS]
    facts = [rates.evaluate_fact(fact, figures) for fact in rates.FACTS]
    uses = dict.fromkeys(
        [use for f in found for use in f.used_keys] + [use for r in facts for use in r.used_keys]
    )
    every: dict[str, Callable[[], str]] = {
        "inputs": inputs_table,
        "roles": lambda: roles_table(found, figures, code_locations),
        "slopes": lambda: slopes_table(uses, figures),
        "rates": lambda: rates_table(facts, figures),
        "regions": lambda: regions_table(samples),
        "failing": lambda: failing_table(found),
        "ranking": lambda: ranking_table(found),
        "mends": lambda: remedies_table(found),
        "subset": lambda: subsets_table(samples),
        "ways": lambda: assignments_table(samples),
        "mendings": lambda: improvements_table(results, uses),
        "agreement": lambda: hollow_comparison_table(samples, figures),
        "simulation": lambda: simulation_table([s for r in results.values() for s in r.samples]),
        "foretold": lambda: predictions_table(predictions, list(results.values())),
        "files": lambda: files_table(results),
    }
    return {name: make() for name, make in every.items()}
