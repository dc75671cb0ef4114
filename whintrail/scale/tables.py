"""Renders the tables of docs/CAPACITY.md as Markdown, from samples and predictions. Does no I/O."""

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
from whintrail.scale.rounding import ROUNDING, decade, exceeds, settle

NOT_MEASURED = "not measured"
INCONCLUSIVE = "not told by its sizes"
EMPTY_CELL = "-"
# Rows whose values change if gateways keep a subset of the engines.
SUBSET_AFFECTED_ROWS = {
    *candidates.SUBSET.resolves,
    *candidates.SUBSET.eases,
    *(row.key for row in rows.SUBSET_ROWS),
    *("memo_datagrams", "probes", "hollow_cpu_fleet", "hollow_bytes"),
}


class Prediction(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A value predicted before the run that measures it."""

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
    sizes: tuple[int, ...]  # the sizes that it was fitted to
    form: str
    commit: str
    written_at: str  # UTC, ISO 8601


class PredictionFile(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The content of the file of predictions."""

    predictions: list[Prediction]


# --- Values as text.


def format_number(value: float) -> str:
    """Three significant digits with thousands separators; whole numbers below ten million in full.

    A number within rounding of another one with few digits has the text of that one.
    """
    value = settle(value)
    if value == 0 or (math.isfinite(value) and value == round(value) and abs(value) < 1e7):
        return f"{value:,.0f}"
    return _three_digits(value, value)


def format_ratio(value: float) -> str:
    """Three significant digits of a ratio or an exponent, also of a whole number: it counts nothing.

    A power of ten has the decimals of the numbers just below it, which are rounded to it: 1 is 1.000.
    """
    value = settle(value)
    return _three_digits(value, value * (1 - ROUNDING)) if value else "0"


def _three_digits(value: float, near_value: float) -> str:
    """Three significant digits; the number near the value decides how many decimals these are."""
    if not math.isfinite(value):
        return EMPTY_CELL
    decimals = 2 - decade(near_value)
    rounded = round(value, decimals)
    return f"{rounded:,.{max(0, decimals)}f}"


def zero_if_negligible(value: float, reference: float) -> float:
    """Replaces a value that is negligible next to a reference by 0.

    Such values are rounding errors of a fit, which differ between machines.
    """
    return 0.0 if abs(value) < 1e-6 * abs(reference) else value


def format_quantity(value: float, unit: str) -> str:
    """A value with its unit: shares as percentages, large byte counts in KB or MB."""
    if unit == "share":
        return f"{format_number(100 * value)}%"
    magnitude = abs(settle(value))
    if unit == "bytes" and magnitude >= 1e6:
        return f"{format_number(value / (1 << 20))} MB"
    if unit == "bytes" and magnitude >= 1e4:
        return f"{format_number(value / 1024)} KB"
    if unit == "bytes/s" and magnitude >= 1e4:
        return f"{format_number(value / 1024)} KB/s"
    if unit == "1/s":
        return f"{format_number(value)}/s"
    return format_number(value) if unit == "count" else f"{format_number(value)} {unit}"


def format_estimate(estimate: Estimate, unit: str) -> str:
    """A value with its range in brackets; without a range if it is exact."""
    text = format_quantity(estimate.value, unit)
    if max(estimate.high - estimate.value, estimate.value - estimate.low) <= ROUNDING * abs(estimate.value):
        return text
    low = zero_if_negligible(estimate.low, estimate.value)
    high = zero_if_negligible(estimate.high, estimate.value)
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
    """The cell with a value at the target size.

    It says so if the value is extrapolated from smaller sizes, or missing, or inconclusive.
    """
    if value is None:
        return f"{NOT_MEASURED}: {missing_quantity}"
    if is_inconclusive:
        measured, (gateways, engines) = capacity.evaluate_at_largest_measured(evaluate, used_keys, fit_cache)
        dimensions = {key.grows_with for key in used_keys}
        sizes = [f"{gateways:,.0f} gateways"] * ("gateways" in dimensions)
        sizes += [f"{engines:,.0f} engines"] * ("engines" in dimensions)
        return f"{INCONCLUSIVE}; {format_quantity(measured.value, unit)} at {' and '.join(sizes)}"
    text = format_estimate(value, unit)
    for key in used_keys:
        try:
            largest_size = max(fit_cache.fit(key).sizes)
        except capacity.NotMeasured:  # the row used another quantity instead
            continue
        if largest_size < capacity.target_size()[1 if key.grows_with == "engines" else 0]:
            text += f"; foretold: {key.quantity} was taken up to {largest_size:,} {key.grows_with}"
    return text


def crossing_cell(dimension: RowDimension, crossing: BudgetCrossing | None) -> str:
    """The cell with the size at which a budget is exceeded."""
    if crossing is None:
        return EMPTY_CELL
    if dimension == "neither":
        return "at any size" if crossing.size is not None else "at none"
    if crossing.size is None:
        return f"at none up to {capacity.SEARCH_LIMIT_FACTOR:g} times"

    def format_size(size: float) -> str:
        if dimension != "both":
            return format_number(size)
        gateways, engines = capacity.size_at_progress(_progress_at_gateways(size))
        return f"{format_number(gateways)} and {format_number(engines)}"

    if dimension == "both" and crossing.size <= 1:
        return "at any size"
    if crossing.is_below_measured and crossing.measured_range is not None:
        return f"below {crossing.measured_range[0]:,} {dimension}, the least taken"
    text = format_size(crossing.size) if crossing.is_certain else f"unsure: {format_size(crossing.size)}"
    earliest, latest = crossing.earliest, crossing.latest
    if earliest is not None and latest is not None and format_size(earliest) != format_size(latest):
        text += f" ({format_size(earliest)} to {format_size(latest)})"
    return f"{text} gateways and engines" if dimension == "both" else f"{text} {dimension}"


def _progress_at_gateways(gateways: float) -> float:
    """Unlike `capacity.growth_progress`, negative below the current size."""
    current, target = capacity.current_size()[0], capacity.target_size()[0]
    return (gateways - current) / (target - current)


def format_slope(fit: Fit) -> str:
    """The increase per engine or gateway, with its standard error."""
    unit = f"{fit.unit} {'an engine' if fit.grows_with == 'engines' else 'a gateway'}"
    slope = zero_if_negligible(fit.slope, fit.slope_error)
    error = zero_if_negligible(fit.slope_error, fit.slope)
    return f"{format_number(slope)} +- {format_number(error)} {unit}"


def format_sizes(fit: Fit) -> str:
    """The sizes that a fit rests on."""
    return ", ".join(f"{size:,}" for size in fit.sizes)


def markdown_table(head: Sequence[str], body: Sequence[Sequence[str]]) -> str:
    """A Markdown table; a `|` within a cell is replaced by `/`."""
    lines = [head, ["---"] * len(head), *body]
    return "\n".join("| " + " | ".join(cell.replace("|", "/") for cell in cells) + " |" for cells in lines)


# --- The tables.


def _code_path_cell(row_result: RowResult, code_locations: Mapping[str, str]) -> str:
    """The cell that names the code which bears a row's cost today, or says that a mechanism is missing."""
    row = row_result.row
    location = (
        f"`{code_locations.get(row.code_path, row.code_path)}`"
        if row.code_path
        else "not ours"
        if row.role in (rows.BULLETIN_ROLE, rows.ENGINE_ROLE)
        else ""
    )
    if row.remedy and row_result.is_exceeded:
        return f"{location}; {row.remedy}"
    if row_result.is_exceeded:
        return f"**missing**; today {location}" if location else "**missing**"
    return location or "**missing**"


def roles_table(
    row_results: Sequence[RowResult], fit_cache: FitCache, code_locations: Mapping[str, str]
) -> str:
    """All rows by role, with value, budget and where the budget is exceeded."""
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
    for result in row_results:
        row = result.row
        value = value_cell(
            result.value,
            result.missing,
            row.unit,
            result.used_keys,
            fit_cache,
            row.evaluate,
            result.is_inconclusive,
        )
        budget = row.budget_name or "none set"
        used_share = (
            f"{format_number(100 * result.budget_share)}%"
            if result.budget_share is not None and not result.is_inconclusive
            else EMPTY_CELL
        )
        crossing = crossing_cell(row.grows_with, result.crossing) if row.budget is not None else EMPTY_CELL
        body.append(
            (
                row.role,
                row.description,
                row.formula,
                value,
                budget,
                used_share,
                _code_path_cell(result, code_locations),
                crossing,
            )
        )
    return markdown_table(head, body)


def slopes_table(keys: Iterable[MeasurementKey], fit_cache: FitCache) -> str:
    """The fit of each measured quantity."""
    head = ("quantity", "of", "slope", "form", "exponent", "off by at most", "sizes")
    body = []
    for key in keys:
        try:
            fit = fit_cache.fit(key)
        except capacity.NotMeasured:
            body.append(
                (
                    key.quantity,
                    _describe_key(key),
                    NOT_MEASURED,
                    EMPTY_CELL,
                    EMPTY_CELL,
                    EMPTY_CELL,
                    EMPTY_CELL,
                )
            )
            continue
        exponent_error = zero_if_negligible(fit.exponent_error, fit.exponent)
        exponent = (
            f"{format_ratio(fit.exponent)} +- {format_number(exponent_error)}"
            if fit.exponent == fit.exponent  # not NaN
            else EMPTY_CELL
        )
        worst_deviation = f"{format_number(100 * zero_if_negligible(fit.worst_residual, 1.0))}%"
        body.append(
            (
                key.quantity,
                _describe_key(key),
                format_slope(fit),
                fit.form,
                exponent,
                worst_deviation,
                format_sizes(fit),
            )
        )
    return markdown_table(head, body)


def _describe_key(key: MeasurementKey) -> str:
    """What a key selects besides the quantity."""
    day = key.day if key.day != "steady" else None
    parts = [key.kind, key.role, key.note, day, "99th or 95th hundredth" if key.stat == "high" else None]
    return ", ".join(part for part in parts if part) or "gateway"


def rates_table(facts: Sequence[rates.FactResult], fit_cache: FitCache) -> str:
    """What each event costs, compared with its budget."""
    head = ("event", "what", "at 4,000 and 15,000", "budget", "holds")
    body = []
    for result in facts:
        fact = result.fact
        value = value_cell(
            result.value,
            result.missing,
            fact.unit,
            result.used_keys,
            fit_cache,
            fact.evaluate,
            result.is_inconclusive,
        )
        holds = (
            EMPTY_CELL
            if fact.budget is None or result.value is None
            else "**no**"
            if result.is_exceeded
            else "yes"
        )
        if fact.budget is not None and result.is_inconclusive:
            holds = "**no**, there already" if result.is_exceeded else INCONCLUSIVE
        body.append((fact.event, fact.description, value, fact.budget_name or EMPTY_CELL, holds))
    return markdown_table(head, body)


def ranking_table(row_results: Sequence[RowResult]) -> str:
    """The missing mechanisms by the size at which they are needed."""
    head = (
        "mechanism",
        "its first row to fail",
        "at",
        "share of the way",
        "failing rows it carries",
        "which",
    )
    body = []
    for candidate in capacity.rank_candidates(row_results, candidates.CANDIDATES):
        first_failing, row_keys = (
            candidate.first_failing,
            ", ".join(result.row.key for result in candidate.failing),
        )
        size = crossing_cell(first_failing.row.grows_with, first_failing.crossing)
        progress = f"{format_number(100 * candidate.growth_progress)}%"
        body.append(
            (
                candidate.candidate.name,
                first_failing.row.key,
                size,
                progress,
                str(len(candidate.failing)),
                row_keys,
            )
        )
    return markdown_table(head, body)


def failing_table(row_results: Sequence[RowResult]) -> str:
    """Rows that exceed their budget up to the target size, with the candidates that would resolve them."""
    head = ("row", "what", "passed at", "share of the way", "would be carried by")
    body = []
    for result in capacity.failing_rows(row_results):
        assert result.crossing is not None
        key = result.row.key
        candidate_cells = [
            f"{candidate.name} ({candidate.resolves[key]})"
            for candidate in candidates.CANDIDATES
            if key in candidate.resolves
        ]
        candidate_cells += [
            f"in part {candidate.name} ({candidate.eases[key]})"
            for candidate in candidates.CANDIDATES
            if key in candidate.eases
        ]
        size = crossing_cell(result.row.grows_with, result.crossing)
        body.append(
            (
                result.row.key,
                result.row.description,
                size,
                f"{format_number(100 * result.crossing.growth_progress)}%",
                "; ".join(candidate_cells) or "nothing yet",
            )
        )
    return markdown_table(head, body)


def remedies_table(row_results: Sequence[RowResult]) -> str:
    """Rows that exceed their budget where a setting or a small change is enough."""
    head = ("what", "at 4,000 and 15,000", "budget", "passed at", "mended by")
    body = [
        (
            result.row.description,
            format_estimate(result.value, result.row.unit),
            result.row.budget_name,
            crossing_cell(result.row.grows_with, result.crossing),
            result.row.remedy,
        )
        for result in row_results
        if result.row.remedy and result.is_exceeded and result.value is not None
    ]
    return markdown_table(head, body)


def inputs_table() -> str:
    """All inputs of the model."""
    head = ("input", "value", "unit", "from", "reason")
    return markdown_table(
        head,
        [
            (entry.name, format_number(entry.value), entry.unit, entry.source, entry.reason)
            for entry in inputs.ALL_INPUTS
        ],
    )


def matches_prediction(p: Prediction, s: Sample) -> bool:
    """Whether a sample measures what was predicted."""
    return (p.quantity, p.kind, p.role, p.subset, p.note, p.gateways, p.engines) == (
        s.quantity, s.kind, s.role, s.subset, s.note, s.gateways, s.engines,
    )  # fmt: skip


def predictions_table(predictions: Sequence[Prediction], results: Sequence[Results]) -> str:
    """Each prediction next to what its run measured."""
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
    for prediction in predictions:
        # A run that started before the prediction was written doesn't test it.
        samples = [
            sample
            for run in results
            if run.taken_at >= prediction.written_at
            for sample in run.samples
            if matches_prediction(prediction, sample)
        ]
        predicted = format_estimate(
            Estimate(prediction.value, prediction.low, prediction.high), prediction.unit
        )
        sizes = ", ".join(f"{size:,}" for size in prediction.sizes)
        name = (
            prediction.quantity
            + (f", subset {prediction.subset}" if prediction.subset else "")
            + (f", {prediction.role}" if prediction.role != "gateway" else "")
        )
        row = [
            name,
            f"{prediction.gateways:,}",
            f"{prediction.engines:,}",
            predicted,
            sizes,
            prediction.commit,
        ]
        if not samples:
            body.append([*row, "not run", EMPTY_CELL, EMPTY_CELL])
            continue
        value = samples[-1].value
        ratio = format_ratio(value / prediction.value) if prediction.value else EMPTY_CELL
        is_within = not exceeds(prediction.low, value) and not exceeds(value, prediction.high)
        body.append(
            [
                *row,
                format_quantity(value, prediction.unit),
                ratio,
                "yes" if is_within else "**no**",
            ]
        )
    return markdown_table(head, body)


def subsets_table(samples: Sequence[Sample]) -> str:
    """Rows measured with subsets of several sizes next to the values with all engines.

    Only subset sizes with slopes of single cores are shown, if there are any: other runs, at one fleet size,
    say nothing about the target size.
    """
    core_sizes = {sample.subset for sample in samples if sample.subset and sample.kind == "core"}
    sizes = sorted(core_sizes or {sample.subset for sample in samples if sample.subset})
    subset_caches = [FitCache(samples, subset=subset) for subset in sizes]
    head = ["row", "budget", "all engines", "passed at"]
    head += [cell for subset in sizes for cell in (f"{subset} kept", "used", "passed at")]
    full_cache, body = FitCache(samples), list[list[str]]()
    for row in (*rows.ROWS, *rows.SUBSET_ROWS):
        before = capacity.evaluate_row(row, full_cache)
        after = [capacity.evaluate_row(row, fit_cache) for fit_cache in subset_caches]
        if row.key not in SUBSET_AFFECTED_ROWS or all(result.value is None for result in after):
            continue
        is_subset_row = row in rows.SUBSET_ROWS
        value_before = (
            EMPTY_CELL
            if is_subset_row or before.value is None
            else format_quantity(before.value.value, row.unit)
        )
        cells = [
            row.key,
            row.budget_name or EMPTY_CELL,
            value_before,
            EMPTY_CELL if is_subset_row else crossing_cell(row.grows_with, before.crossing),
        ]
        for result, fit_cache in zip(after, subset_caches, strict=True):
            cells += [
                value_cell(
                    result.value,
                    result.missing,
                    row.unit,
                    result.used_keys,
                    fit_cache,
                    row.evaluate,
                    result.is_inconclusive,
                ),
                f"{format_number(100 * result.budget_share)}%"
                if result.budget_share is not None and not result.is_inconclusive
                else EMPTY_CELL,
                crossing_cell(row.grows_with, result.crossing),
            ]
        body.append(cells)
    return markdown_table(head, body) if body else f"{NOT_MEASURED}: no file has samples with a subset."


# Quantities and headings of the comparison of subset assignments that `whintrail scale ways` writes.
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
    """Ways to assign subsets of engines to gateways, compared at the largest size."""
    selected = [
        sample
        for sample in samples
        if sample.quantity in ASSIGNMENT_COLUMNS and sample.subset and sample.note
    ]
    if not selected:
        return f"{NOT_MEASURED}: holders_least"
    size = max((sample.gateways, sample.engines) for sample in selected)
    cells = {
        (sample.note, sample.quantity): sample
        for sample in selected
        if (sample.gateways, sample.engines) == size
    }
    body = []
    for note in dict.fromkeys(note for note, _ in cells):
        row = [cells.get((note, name)) for name in ASSIGNMENT_COLUMNS]
        body.append(
            [note, *(format_number(sample.value) if sample is not None else EMPTY_CELL for sample in row)]
        )
    heading = f"way; {size[0]:,} gateways, {size[1]:,} engines, {selected[0].subset} kept"
    return markdown_table([heading, *ASSIGNMENT_COLUMNS.values()], body)


# Directories in a command are specific to a machine; the names of the files are enough.
DIRECTORY_IN_COMMAND = re.compile(r"(?<=\s)/\S*/")
REGION_QUANTITIES = {
    "apart_asked": "changes asked for during the cut",
    "apart_settled": "of these came into force",
    "apart_gateways": "gateways of the cut region",
    "apart_leased": "of these held a lease",
    "apart_back_s": "after it, until all held a lease and knew the newest version",
}


def regions_table(samples: Sequence[Sample]) -> str:
    """What `benchmarks.regions` measured, with a column for each day."""
    sample_by_key = {
        (sample.quantity, sample.day): sample for sample in samples if sample.quantity in REGION_QUANTITIES
    }
    if not sample_by_key:
        return f"{NOT_MEASURED}: apart_asked"
    days = list(dict.fromkeys(day for _, day in sample_by_key))
    size = f"{next(iter(sample_by_key.values())).gateways} gateways, simulated"
    body = []
    for name, description in REGION_QUANTITIES.items():
        cells = [sample_by_key.get((name, day)) for day in days]
        body.append(
            [
                description,
                *(
                    format_estimate(Estimate(sample.value, sample.low, sample.high), sample.unit)
                    if sample
                    else EMPTY_CELL
                    for sample in cells
                ),
            ]
        )
    return markdown_table([size, *days], body)


def _hollow_value(point: EvaluationPoint, quantity: str, day: str = "steady") -> float | None:
    """The value of hollow gateways at exactly this size, with all engines."""
    size = int(point.gateways), int(point.engines)
    for sample in point.fit_cache.samples:
        if (sample.quantity, sample.kind, sample.role, sample.day) == (quantity, "hollow", "gateway", day):
            if (sample.gateways, sample.engines, sample.subset) == (*size, 0):
                return sample.value
    return None


def _hollow_bytes_per_s(point: EvaluationPoint) -> float | None:
    """Bytes/s in and out; None if the run left out the probe reports."""
    received, sent = _hollow_value(point, "bytes_in_per_s"), _hollow_value(point, "bytes_out_per_s")
    return (
        received + sent
        if received is not None and sent is not None and _hollow_probe_reports_per_s(point)
        else None
    )


def _hollow_probe_reports_per_s(point: EvaluationPoint) -> float | None:
    """Datagrams/s of probe reports; None if the run had none, as large runs leave them out."""
    return _hollow_value(point, "memo_datagrams_per_s") or None


# Description, unit, value of hollow gateways, estimate of the model.
HOLLOW_COMPARISONS: tuple[
    tuple[str, str, Callable[[EvaluationPoint], float | None], Callable[[EvaluationPoint], Estimate]], ...
] = (
    (
        "memos heard; cores played together",
        "datagrams/s",
        _hollow_probe_reports_per_s,
        lambda point: point.estimate("memo_datagrams_per_s", "engines"),
    ),
    (
        "datagrams in and out, memos too; cores, simulated fleet",
        "bytes/s",
        _hollow_bytes_per_s,
        lambda point: rows.probe_report_bytes(point)
        + point.estimate("member_bytes_per_s", "gateways", kind="simulated", role="gateway"),
    ),
    (
        "the node's processor time; cores alone",
        "share",
        lambda point: _hollow_value(point, "node_share"),
        lambda point: point.estimate("node_cpu_share", "gateways", role="gateway"),
    ),
    (
        "a change in force on all, median; simulated fleet",
        "s",
        lambda point: _hollow_value(point, "version_in_force_s", "changes"),
        lambda point: point.estimate(
            "version_in_force_s", "gateways", kind="simulated", note="one after another"
        ),
    ),
)


def hollow_comparison_table(samples: Sequence[Sample], fit_cache: FitCache) -> str:
    """Hollow gateways on real datagrams compared with single cores and simulations of the same size."""
    sizes = sorted(
        {
            (sample.gateways, sample.engines)
            for sample in samples
            if sample.kind == "hollow" and not sample.subset
        }
    )
    body = []
    for description, unit, hollow_value, model_estimate in HOLLOW_COMPARISONS:
        for gateways, engines in sizes:
            point = EvaluationPoint(gateways, engines, fit_cache)
            value = hollow_value(point)
            if value is None:
                continue
            cells = [description, f"{gateways:,}", f"{engines:,}", format_quantity(value, unit)]
            try:
                estimate = model_estimate(point)
            except capacity.NotMeasured as error:
                body.append([*cells, f"{NOT_MEASURED}: {error}", EMPTY_CELL])
                continue
            body.append(
                [
                    *cells,
                    format_estimate(estimate, unit),
                    format_ratio(value / estimate.value) if estimate.value else EMPTY_CELL,
                ]
            )
    head = ("what", "gateways", "engines", "hollow", "cores or simulated", "ratio")
    return markdown_table(head, body) if body else f"{NOT_MEASURED}: no hollow run."


def files_table(results: Mapping[str, Results]) -> str:
    """The results files, each with its command, commit and machine load."""
    head = ("file", "command", "commit", "taken at", "took", "load before", "samples")
    body = []
    for name, file_results in results.items():
        load = f"{format_number(file_results.machine.load)} on {file_results.machine.cores} cores"
        body.append(
            (
                name,
                f"`{DIRECTORY_IN_COMMAND.sub('', file_results.command)}`",
                file_results.commit,
                file_results.taken_at,
                f"{format_number(file_results.took_s)} s",
                load,
                str(len(file_results.samples)),
            )
        )
    return markdown_table(head, body) if body else "No file yet."


PREDICTION_RUN_PREFIX = "found-"  # of files with runs that test predictions


def is_superseded(name: str) -> bool:
    """Whether a file was measured before a fault was fixed: before/NAME.json, or NAME-unmended.json."""
    return name.startswith("before/") or name.endswith("-unmended.json")


def samples_to_fit(results: Mapping[str, Results]) -> list[Sample]:
    """The samples that fits are made from.

    Runs that test predictions (`found-*.json`) are left out, and superseded files contribute only quantities
    that no current file has.
    """
    names = [name for name in results if not name.startswith(PREDICTION_RUN_PREFIX)]
    current = [sample for name in names if not is_superseded(name) for sample in results[name].samples]
    known = {(sample.quantity, sample.kind) for sample in current}
    superseded = [sample for name in names if is_superseded(name) for sample in results[name].samples]
    return _without_partial_totals(current) + [
        sample for sample in superseded if (sample.quantity, sample.kind) not in known
    ]


def _without_partial_totals(samples: Sequence[Sample]) -> list[Sample]:
    """Drops the totals of hollow gateways in runs without probe reports, as large runs leave them out."""
    totals = ("control_cpu_share", "bytes_in_per_s", "bytes_out_per_s")
    hollow = [sample for sample in samples if sample.kind == "hollow" and sample.role == "gateway"]
    without_reports = [
        sample for sample in hollow if sample.quantity == "memo_datagrams_per_s" and not sample.value
    ]
    sizes_without_reports = {(sample.gateways, sample.engines, sample.subset) for sample in without_reports}
    dropped = {
        id(sample)
        for sample in hollow
        if sample.quantity in totals
        and (sample.gateways, sample.engines, sample.subset) in sizes_without_reports
    }
    return [sample for sample in samples if id(sample) not in dropped]


MIN_IMPROVEMENT_RATIO = 1.5  # smaller improvements, at the largest common size, are not listed


def improvements_table(results: Mapping[str, Results], keys: Iterable[MeasurementKey]) -> str:
    """Quantities that improved between superseded and current results files."""
    superseded = FitCache(
        [
            sample
            for name, file_results in results.items()
            if is_superseded(name)
            for sample in file_results.samples
        ]
    )
    current, body = FitCache(samples_to_fit(results)), list[list[str]]()
    for key in keys:
        try:
            old, new = superseded.fit(key), current.fit(key)
        except capacity.NotMeasured:
            continue
        common = [size for size in old.sizes if size in new.sizes]
        if not common:
            continue
        old_value, new_value = (fit.estimate_at(common[-1])[0] for fit in (old, new))
        if new_value <= 0 or not exceeds(old_value, MIN_IMPROVEMENT_RATIO * new_value):
            continue
        size = f"{common[-1]:,} {key.grows_with}"
        before, after = format_quantity(old_value, old.unit), format_quantity(new_value, new.unit)
        body.append([key.quantity, _describe_key(key), size, before, old.form, after, new.form])
    if not body:
        return "Nothing was mended between two files of results."
    return markdown_table(("quantity", "of", "at", "before", "form", "after", "form"), body)


def simulation_table(samples: Sequence[Sample]) -> str:
    """CPU seconds per simulated second of the whole fleet, by size."""
    cells = {(sample.gateways, sample.note): sample for sample in samples if sample.quantity == "sim_cpu_s"}
    notes = list(dict.fromkeys(note for _, note in cells))
    if not notes:
        return f"{NOT_MEASURED}: sim_cpu_s"
    body = []
    for gateways in sorted({gateways for gateways, _ in cells}):
        row = [cells.get((gateways, note)) for note in notes]
        body.append(
            [
                f"{gateways:,}",
                *(
                    format_estimate(Estimate(sample.value, sample.low, sample.high), sample.unit)
                    if sample
                    else EMPTY_CELL
                    for sample in row
                ),
            ]
        )
    return markdown_table(["gateways", *notes], body)


def render_tables(
    results: Mapping[str, Results], predictions: Sequence[Prediction], code_locations: Mapping[str, str]
) -> dict[str, str]:
    """Renders all tables; the keys are the names in the markers of the page."""
    samples = samples_to_fit(results)
    figures = FitCache(samples)
    row_results = [capacity.evaluate_row(row, figures) for row in rows.ROWS]
    facts = [rates.evaluate_fact(fact, figures) for fact in rates.FACTS]
    keys = dict.fromkeys(
        [key for result in row_results for key in result.used_keys]
        + [key for result in facts for key in result.used_keys]
    )
    renderers: dict[str, Callable[[], str]] = {
        "inputs": inputs_table,
        "roles": lambda: roles_table(row_results, figures, code_locations),
        "slopes": lambda: slopes_table(keys, figures),
        "rates": lambda: rates_table(facts, figures),
        "regions": lambda: regions_table(samples),
        "failing": lambda: failing_table(row_results),
        "ranking": lambda: ranking_table(row_results),
        "mends": lambda: remedies_table(row_results),
        "subset": lambda: subsets_table(samples),
        "ways": lambda: assignments_table(samples),
        "mendings": lambda: improvements_table(results, keys),
        "agreement": lambda: hollow_comparison_table(samples, figures),
        "simulation": lambda: simulation_table([s for result in results.values() for s in result.samples]),
        "foretold": lambda: predictions_table(predictions, list(results.values())),
        "files": lambda: files_table(results),
    }
    return {name: render() for name, render in renderers.items()}
