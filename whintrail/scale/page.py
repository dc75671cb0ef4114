"""`whintrail scale report` and `whintrail scale check`.

`report` writes the tables of docs/CAPACITY.md from the files in docs/capacity/; `check` compares the measured
values with their budgets.
"""

import ast
import math
import re
import time
from collections.abc import Mapping, Sequence
from pathlib import Path

import click
import msgspec

from whintrail.cli.output import format_option, print_rows
from whintrail.scale import capacity, rates, rows, tables
from whintrail.scale.capacity import FitCache, MeasurementKey, RowResult
from whintrail.scale.fitting import Fit, SizeDimension, select_samples
from whintrail.scale.results import (
    Results,
    ResultsError,
    Sample,
    current_commit,
    current_machine,
    load_results,
    save_results,
)
from whintrail.scale.rounding import ROUNDING
from whintrail.scale.tables import Prediction, PredictionFile

ROOT = Path(__file__).parents[2]
CAPACITY_PAGE = ROOT / "docs" / "CAPACITY.md"
RESULTS_FOLDER = ROOT / "docs" / "capacity"
PREDICTIONS_FILE = "foretold.json"
CODE_LOCATIONS_FILE = "places.json"
CALCULATED_FILE = "reckoned.json"
GENERATED_FILES = (PREDICTIONS_FILE, CODE_LOCATIONS_FILE, CALCULATED_FILE)
TABLE_MARKER = re.compile(r"(<!-- table (?P<name>[a-z-]+) -->\n)(?P<table>.*?)(<!-- end -->)", re.DOTALL)


class PageError(ValueError):
    """The markers of the page don't match the tables, or a code path doesn't resolve."""


# --- Files.


def read_results(folder: Path) -> dict[str, Results]:
    """Reads all results files by name, including those under before/. Raises ResultsError."""
    paths = {path.name: path for path in sorted(folder.glob("*.json")) if path.name not in GENERATED_FILES}
    paths |= {f"before/{path.name}": path for path in sorted(folder.glob("before/*.json"))}
    return {name: load_results(path) for name, path in paths.items()}


def read_predictions(folder: Path) -> list[Prediction]:
    """Reads the predictions written so far. Raises ResultsError."""
    path = folder / PREDICTIONS_FILE
    if not path.exists():
        return []
    try:
        return msgspec.json.decode(path.read_bytes(), type=PredictionFile).predictions
    except msgspec.DecodeError as error:
        raise ResultsError(f"{path}: {error}") from error


def read_code_locations(folder: Path) -> dict[str, str]:
    """Reads where each code path was found by the last report."""
    path = folder / CODE_LOCATIONS_FILE
    return msgspec.json.decode(path.read_bytes(), type=dict[str, str]) if path.exists() else {}


def _write_json(path: Path, value: object) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(value), indent=1) + b"\n")


def find_code_locations(root: Path, code_paths: Sequence[str]) -> dict[str, str]:
    """Finds the lines of code paths (`file.py:Class.method`). Raises PageError if one doesn't resolve."""
    locations = {}
    for code_path in code_paths:
        file, _, name = code_path.partition(":")
        node: ast.AST = ast.parse((root / file).read_text())
        for part in name.split("."):
            body: list[ast.stmt] = getattr(node, "body", [])
            definitions = [
                child
                for child in body
                if isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef)
            ]
            matches = [child for child in definitions if child.name == part]
            if not matches:
                raise PageError(f"{code_path}: {part} is not defined there")
            node = matches[-1]
        assert isinstance(node, ast.stmt)
        locations[code_path] = f"{file}:{node.lineno}-{node.end_lineno} {name}"
    return locations


# --- The page.


def fill_tables(page: str, tables_by_name: Mapping[str, str]) -> str:
    """Replaces the tables of the page. Raises PageError if its markers and the tables don't match."""
    names = [match["name"] for match in TABLE_MARKER.finditer(page)]
    if sorted(names) != sorted(tables_by_name):
        raise PageError(
            f"the page has markers for {sorted(names)}, but the tables are {sorted(tables_by_name)}"
        )
    return TABLE_MARKER.sub(
        lambda match: match[1] + "\n" + tables_by_name[match["name"]] + "\n\n" + match[4], page
    )


def changed_lines(before: str, after: str) -> list[str]:
    """Lines of the new page that are not in the old one."""
    known = set(before.splitlines())
    return [line for line in after.splitlines() if line not in known]


def all_code_paths() -> list[str]:
    """The code paths that the rows name."""
    return sorted({row.code_path for row in (*rows.ROWS, *rows.SUBSET_ROWS) if row.code_path})


def calculated_samples(results: Mapping[str, Results]) -> list[Sample]:
    """All rows and facts with a value, at the current size, half way and the target size."""
    fit_cache, samples = FitCache(tables.samples_to_fit(results)), list[Sample]()
    for progress in (0.0, 0.5, 1.0):
        gateways, engines = capacity.size_at_progress(progress)
        for key, unit, value in _calculated_values(fit_cache, (gateways, engines)):
            samples.append(
                Sample(
                    quantity=key,
                    unit=unit,
                    gateways=round(gateways),
                    engines=round(engines),
                    value=float(f"{value.value:.6g}"),
                    low=float(f"{tables.zero_if_negligible(value.low, value.value):.6g}"),
                    high=float(f"{value.high:.6g}"),
                    n=1,
                    kind="reckoned",
                )
            )
    return samples


def _calculated_values(
    fit_cache: FitCache, size: tuple[float, float]
) -> list[tuple[str, str, capacity.Estimate]]:
    """Key, unit and value of each row and fact with a finite value at a size."""
    values = []
    for row in rows.ROWS:
        if (value := capacity.evaluate_row(row, fit_cache, size).value) is not None and math.isfinite(
            value.high
        ):
            values.append((row.key, row.unit, value))
    for fact in rates.FACTS:
        if (value := rates.evaluate_fact(fact, fit_cache, size).value) is not None and math.isfinite(
            value.high
        ):
            values.append((fact.key, fact.unit, value))
    return values


# --- Predictions.


def find_dimension(quantity: str, samples: Sequence[Sample]) -> SizeDimension:
    """Finds the dimension over which the page uses a quantity. Raises click.ClickException if it doesn't."""
    for row in rows.ROWS:
        for key in capacity.evaluate_row(row, FitCache(samples)).used_keys:
            if key.quantity == quantity:
                return key.grows_with
    raise click.ClickException(f"no row of the page uses {quantity}")


def predict(samples: Sequence[Sample], wanted: Sample, dimension: SizeDimension, now_s: float) -> Prediction:
    """Predicts a value at a size that was not measured yet.

    `wanted` names the quantity, size and kind. Raises ValueError if it was measured or cannot be predicted.
    """
    similar_samples = [
        sample
        for sample in samples
        if (sample.kind, sample.role, sample.subset, sample.note)
        == (wanted.kind, wanted.role, wanted.subset, wanted.note)
    ]
    size = getattr(wanted, dimension)
    if any(
        sample.quantity == wanted.quantity and getattr(sample, dimension) == size
        for sample in similar_samples
    ):
        raise ValueError(f"{wanted.quantity} at {size} {dimension} was measured already")
    key = MeasurementKey(wanted.quantity, dimension, wanted.kind, wanted.role, wanted.note)
    try:
        fit = FitCache(similar_samples, subset=wanted.subset).fit(key)
    except capacity.NotMeasured as error:
        raise ValueError(f"{wanted.quantity}: a prediction needs samples at two sizes") from error
    value, low, high = fit.estimate_at(size)
    rounding = 0.5 * ROUNDING * abs(value)  # of an exact fit: another machine may find it in the last bits
    return Prediction(
        quantity=wanted.quantity,
        unit=fit.unit,
        gateways=wanted.gateways,
        engines=wanted.engines,
        value=value,
        low=min(low, value - rounding),
        high=max(high, value + rounding),
        kind=wanted.kind,
        role=wanted.role,
        subset=wanted.subset,
        note=wanted.note,
        sizes=fit.sizes,
        form=fit.form,
        commit=current_commit(),
        written_at=time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(now_s)),
    )


# --- Plots.


def write_plots(samples: Sequence[Sample], folder: Path) -> list[Path]:
    """Plots each quantity of the page over its sizes, with fit and range. Returns the written files."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    fit_cache, paths = FitCache(samples), list[Path]()
    keys = dict.fromkeys(key for row in rows.ROWS for key in capacity.evaluate_row(row, fit_cache).used_keys)
    folder.mkdir(parents=True, exist_ok=True)
    for key in keys:
        try:
            fit = fit_cache.fit(key)
        except capacity.NotMeasured:
            continue
        paths.append(
            folder
            / f"{key.quantity}{'-' + key.role if key.role else ''}{'-high' if key.stat == 'high' else ''}.png"
        )
        _write_plot(pyplot, samples, key, fit, paths[-1])
    return paths


def _write_plot(pyplot: object, samples: Sequence[Sample], key: MeasurementKey, fit: Fit, path: Path) -> None:
    selection = {"kind": key.kind, "role": key.role, "note": key.note, "day": key.day}
    selected_samples = select_samples(samples, key.quantity, key.grows_with, **selection)  # type: ignore[arg-type]
    sizes = [getattr(sample, key.grows_with) for sample in selected_samples]
    figure, axes = pyplot.subplots(figsize=(6, 4))  # type: ignore[attr-defined]
    values = [sample.high if key.stat == "high" else sample.value for sample in selected_samples]
    axes.plot(sizes, values, "o", color="C0", label="measured")
    target_size = capacity.target_size()[1 if key.grows_with == "engines" else 0]
    curve_sizes = [
        max(1.0, min(sizes)) * (target_size / max(1.0, min(sizes))) ** (step / 60) for step in range(61)
    ]
    curve = [fit.estimate_at(x) for x in curve_sizes]
    floor = max(1e-12, min(values)) / 10  # a logarithmic axis shows no values below 0
    axes.plot(curve_sizes, [point[0] for point in curve], color="C1", label=fit.form)
    axes.fill_between(
        curve_sizes,
        [max(floor, point[1]) for point in curve],
        [point[2] for point in curve],
        color="C1",
        alpha=0.2,
    )
    axes.set(xscale="log", yscale="log", xlabel=key.grows_with, ylabel=f"{key.quantity} ({fit.unit})")
    axes.legend()
    axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)  # type: ignore[attr-defined]


# --- Commands.

folder_option = click.option(
    "--results",
    "folder",
    type=click.Path(path_type=Path, file_okay=False),
    default=RESULTS_FOLDER,
    help="Folder of results files.",
)


def _read_results_or_exit(folder: Path) -> dict[str, Results]:
    """As `read_results`, with errors for the command line."""
    try:
        return read_results(folder)
    except ResultsError as error:
        raise click.ClickException(str(error)) from error


@click.command()
@folder_option
@click.option(
    "--page", type=click.Path(path_type=Path, dir_okay=False), default=CAPACITY_PAGE, help="Page to update."
)
@click.option(
    "--plots",
    type=click.Path(path_type=Path, file_okay=False),
    help="Folder to write plots to (needs matplotlib).",
)
@click.option(
    "--foretell",
    "predicted_quantities",
    metavar="QUANTITY",
    multiple=True,
    help="Only write a prediction of this quantity, before its run.",
)
@click.option("--gateways", type=click.IntRange(0), help="Gateways of the prediction.")
@click.option(
    "--engines",
    type=click.IntRange(0),
    help="Engines of the prediction; 0 if the quantity doesn't depend on them.",
)
@click.option(
    "--kind", default="core", show_default=True, help="Kind of the prediction: core, hollow, real, simulated."
)
@click.option("--role", default="gateway", show_default=True, help="Role of the prediction.")
@click.option(
    "--subset",
    default=0,
    show_default=True,
    help="Engines that each gateway keeps in the prediction; 0: all.",
)
@click.option("--note", default="", help="Note of the samples that are predicted.")
def report(
    folder: Path,
    page: Path,
    plots: Path | None,
    predicted_quantities: tuple[str, ...],
    gateways: int | None,
    engines: int | None,
    kind: str,
    role: str,
    subset: int,
    note: str,
) -> None:
    """Write the tables of docs/CAPACITY.md from the results files and print the lines that changed.

    \b
    Examples:
      whintrail scale report
      whintrail scale report --plots plots
      whintrail scale report --foretell list_line_bytes --gateways 200 --engines 10000
    """
    started_at_s, machine = time.time(), current_machine()
    results = _read_results_or_exit(folder)
    if predicted_quantities:
        if gateways is None or engines is None:
            raise click.UsageError("--foretell needs --gateways and --engines")
        selection = {"kind": kind, "role": role, "subset": subset, "note": note}
        size = {"gateways": gateways, "engines": engines}
        _write_predictions(results, folder, predicted_quantities, size | selection, started_at_s)
        return
    try:
        code_locations = find_code_locations(ROOT, all_code_paths())
        tables_by_name = tables.render_tables(results, read_predictions(folder), code_locations)
        old_page = page.read_text()
        new_page = fill_tables(old_page, tables_by_name)
    except (OSError, PageError, ResultsError) as error:
        raise click.ClickException(str(error)) from error
    _write_json(folder / CODE_LOCATIONS_FILE, code_locations)
    calculated = calculated_samples(results)
    if (
        not (folder / CALCULATED_FILE).exists()
        or load_results(folder / CALCULATED_FILE).samples != calculated
    ):
        save_results(
            folder / CALCULATED_FILE,
            "whintrail scale report",
            started_at_s,
            machine,
            calculated,
            "from the other files here",
        )
    page.write_text(new_page)
    for line in changed_lines(old_page, new_page):
        click.echo(line)
    if plots is not None:
        for path in write_plots(tables.samples_to_fit(results), plots):
            click.echo(f"plot {path}")


def _write_predictions(
    results: Mapping[str, Results],
    folder: Path,
    quantities: Sequence[str],
    selection: Mapping[str, object],
    now_s: float,
) -> None:
    samples = [sample for file_results in results.values() for sample in file_results.samples]
    placeholders = {"unit": "", "value": 0.0, "low": 0.0, "high": 0.0, "n": 1}
    predictions = []
    try:
        for name in quantities:
            wanted = msgspec.convert({"quantity": name, **placeholders, **selection}, Sample)
            predictions.append(predict(samples, wanted, find_dimension(name, samples), now_s))
    except ValueError as error:
        raise click.ClickException(str(error)) from error
    _write_json(
        folder / PREDICTIONS_FILE, PredictionFile(predictions=[*read_predictions(folder), *predictions])
    )
    for prediction in predictions:
        estimate = capacity.Estimate(prediction.value, prediction.low, prediction.high)
        click.echo(f"{prediction.quantity}: {tables.format_estimate(estimate, prediction.unit)}")


@click.command()
@folder_option
@click.option("--gateways", type=click.IntRange(1), default=int(capacity.target_size()[0]), show_default=True)
@click.option("--engines", type=click.IntRange(1), default=int(capacity.target_size()[1]), show_default=True)
@click.option("--subset", default=0, show_default=True, help="Engines that each gateway keeps; 0: all.")
@click.option(
    "--all", "show_all", is_flag=True, help="Also show rows within their budget and rows not measured."
)
@format_option
def check(folder: Path, gateways: int, engines: int, subset: int, show_all: bool, form: str) -> None:
    """Compare the measured values with their budgets at a size; exit with status 1 if one is exceeded.

    \b
    Examples:
      whintrail scale check                                 at the target size
      whintrail scale check --gateways 200 --engines 80     at the current size
    """
    fit_cache = FitCache(tables.samples_to_fit(_read_results_or_exit(folder)), subset=subset)
    size = float(gateways), float(engines)
    results = [
        result
        for result in (capacity.evaluate_row(row, fit_cache, size) for row in rows.ROWS)
        if result.row.budget is not None
    ]
    shown = [result for result in results if show_all or result.is_exceeded]
    print_rows(
        (_verdict_row(result) for result in shown),
        ("row", "role", "value", "budget", "unit", "used", "verdict"),
        form,
    )
    exceeded_count = sum(result.is_exceeded for result in results)
    unknown_count = sum(result.value is None for result in results)
    click.echo(
        f"{exceeded_count} of {len(results)} budgets exceeded, {unknown_count} not measured,"
        f" at {gateways} gateways and {engines} engines",
        err=True,
    )
    if exceeded_count:
        raise click.exceptions.Exit(1)


def _verdict_row(row_result: RowResult) -> dict[str, object]:
    """A row of the command's output."""
    verdict = (
        "not measured: " + row_result.missing
        if row_result.value is None
        else "passed"
        if row_result.is_exceeded
        else "holds"
    )
    if (
        row_result.is_inconclusive
        and not row_result.is_exceeded
        and row_result.value is not None
        and row_result.row.budget is not None
    ):
        verdict = "not told" if row_result.value.high > row_result.row.budget else "holds"
    value = row_result.value.value if row_result.value is not None else None
    columns: dict[str, object] = {
        "row": row_result.row.key,
        "role": row_result.row.role,
        "value": value,
        "budget": row_result.row.budget,
        "unit": row_result.row.unit,
    }
    return columns | {"used": row_result.budget_share, "verdict": verdict}
