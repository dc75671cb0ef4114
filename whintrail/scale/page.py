"""`whintrail scale report` and `check`: the tables of docs/CAPACITY.md from docs/capacity/*.json, and budgets
held against them."""

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
from whintrail.scale.tables import Prediction, PredictionFile

ROOT = Path(__file__).parents[2]
CAPACITY_PAGE, RESULTS_FOLDER = ROOT / "docs" / "CAPACITY.md", ROOT / "docs" / "capacity"
PREDICTIONS_FILE, CODE_LOCATIONS_FILE, CALCULATED_FILE = "foretold.json", "places.json", "reckoned.json"
GENERATED_FILES = (PREDICTIONS_FILE, CODE_LOCATIONS_FILE, CALCULATED_FILE)
TABLE_MARKER = re.compile(r"(<!-- table (?P<name>[a-z-]+) -->\n)(?P<table>.*?)(<!-- end -->)", re.DOTALL)


class PageError(ValueError):
    """The page's markers don't name the tables that there are."""


# --- Files.


def read_results(folder: Path) -> dict[str, Results]:
    """All files of results, by name, those under before/ too. Errors: ResultsError."""
    paths = {path.name: path for path in sorted(folder.glob("*.json")) if path.name not in GENERATED_FILES}
    paths |= {f"before/{path.name}": path for path in sorted(folder.glob("before/*.json"))}
    return {name: load_results(path) for name, path in paths.items()}


def read_predictions(folder: Path) -> list[Prediction]:
    path = folder / PREDICTIONS_FILE
    if not path.exists():
        return []
    try:
        return msgspec.json.decode(path.read_bytes(), type=PredictionFile).predictions
    except msgspec.DecodeError as error:
        raise ResultsError(f"{path}: {error}") from error


def read_code_locations(folder: Path) -> dict[str, str]:
    path = folder / CODE_LOCATIONS_FILE
    return msgspec.json.decode(path.read_bytes(), type=dict[str, str]) if path.exists() else {}


def _write_json(path: Path, value: object) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(value), indent=1) + b"\n")


def find_code_locations(root: Path, code_paths: Sequence[str]) -> dict[str, str]:
    """`file:Name.of` with the lines that it has there. Errors: PageError where there is no such name."""
    found = {}
    for place in code_paths:
        file, _, name = place.partition(":")
        node: ast.AST = ast.parse((root / file).read_text())
        for part in name.split("."):
            body: list[ast.stmt] = getattr(node, "body", [])
            inner = [n for n in body if isinstance(n, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef)]
            match = [n for n in inner if n.name == part]
            if not match:
                raise PageError(f"{place}: no {part} there")
            node = match[-1]
        assert isinstance(node, ast.stmt)
        found[place] = f"{file}:{node.lineno}-{node.end_lineno} {name}"
    return found


# --- The page.


def fill_tables(page: str, tables_by_name: Mapping[str, str]) -> str:
    """The page with its tables in place. Errors: PageError where the page and the tables don't match."""
    names = [match["name"] for match in TABLE_MARKER.finditer(page)]
    if sorted(names) != sorted(tables_by_name):
        raise PageError(f"the page has tables {sorted(names)}, and there are {sorted(tables_by_name)}")
    return TABLE_MARKER.sub(lambda m: m[1] + "\n" + tables_by_name[m["name"]] + "\n\n" + m[4], page)


def changed_lines(before: str, after: str) -> list[str]:
    """Lines of the new page that the old one has not."""
    known = set(before.splitlines())
    return [line for line in after.splitlines() if line not in known]


def all_code_paths() -> list[str]:
    return sorted({row.code_path for row in (*rows.ROWS, *rows.SUBSET_ROWS) if row.code_path})


def calculated_samples(results: Mapping[str, Results]) -> list[Sample]:
    """Every row and fact that could be reckoned, at today's size, half way and the size that is coming."""
    figures, found = FitCache(tables.samples_to_fit(results)), list[Sample]()
    for way in (0.0, 0.5, 1.0):
        gateways, engines = capacity.size_at_progress(way)
        for key, unit, value in _calculated_values(figures, (gateways, engines)):
            found.append(
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
    return found


def _calculated_values(
    fit_cache: FitCache, size: tuple[float, float]
) -> list[tuple[str, str, capacity.Estimate]]:
    found = []
    for row in rows.ROWS:
        if (value := capacity.evaluate_row(row, fit_cache, size).value) is not None and math.isfinite(
            value.high
        ):
            found.append((row.key, row.unit, value))
    for fact in rates.FACTS:
        if (value := rates.evaluate_fact(fact, fit_cache, size).value) is not None and math.isfinite(
            value.high
        ):
            found.append((fact.key, fact.unit, value))
    return found


# --- Predictions.


def find_dimension(quantity: str, samples: Sequence[Sample]) -> SizeDimension:
    """Over which size it was taken. Errors: click.ClickException."""
    for row in rows.ROWS:
        for use in capacity.evaluate_row(row, FitCache(samples)).used_keys:
            if use.quantity == quantity:
                return use.grows_with
    raise click.ClickException(f"no row of the page uses {quantity}")


def predict(samples: Sequence[Sample], wanted: Sample, dimension: SizeDimension, now_s: float) -> Prediction:
    """The figure at a size that no file has yet; `like` names it. Errors: ValueError."""
    known = [
        s
        for s in samples
        if (s.kind, s.role, s.subset, s.note) == (wanted.kind, wanted.role, wanted.subset, wanted.note)
    ]
    x = getattr(wanted, dimension)
    if any(s.quantity == wanted.quantity and getattr(s, dimension) == x for s in known):
        raise ValueError(f"{wanted.quantity} at {x} {dimension} was measured already")
    use = MeasurementKey(wanted.quantity, dimension, wanted.kind, wanted.role, wanted.note)
    try:
        found = FitCache(known, subset=wanted.subset).fit(use)
    except capacity.NotMeasured as error:
        raise ValueError(f"{wanted.quantity}: no two sizes to foretell it from") from error
    value, low, high = found.estimate_at(x)
    return Prediction(
        quantity=wanted.quantity,
        unit=found.unit,
        gateways=wanted.gateways,
        engines=wanted.engines,
        value=value,
        low=low,
        high=high,
        kind=wanted.kind,
        role=wanted.role,
        subset=wanted.subset,
        note=wanted.note,
        sizes=found.sizes,
        form=found.form,
        commit=current_commit(),
        written_at=time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(now_s)),
    )


# --- Plots.


def write_plots(samples: Sequence[Sample], folder: Path) -> list[Path]:
    """Each quantity of the page over its sizes, with its fit and range; the files written."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figures, made = FitCache(samples), list[Path]()
    uses = dict.fromkeys(use for row in rows.ROWS for use in capacity.evaluate_row(row, figures).used_keys)
    folder.mkdir(parents=True, exist_ok=True)
    for use in uses:
        try:
            found = figures.fit(use)
        except capacity.NotMeasured:
            continue
        made.append(
            folder
            / f"{use.quantity}{'-' + use.role if use.role else ''}{'-high' if use.stat == 'high' else ''}.png"
        )
        _write_plot(pyplot, samples, use, found, made[-1])
    return made


def _write_plot(pyplot: object, samples: Sequence[Sample], key: MeasurementKey, fit: Fit, path: Path) -> None:
    given = {"kind": key.kind, "role": key.role, "note": key.note, "day": key.day}
    here = select_samples(samples, key.quantity, key.grows_with, **given)  # type: ignore[arg-type]
    xs = [getattr(s, key.grows_with) for s in here]
    drawn, axes = pyplot.subplots(figsize=(6, 4))  # type: ignore[attr-defined]
    ys = [s.high if key.stat == "high" else s.value for s in here]
    axes.plot(xs, ys, "o", color="C0", label="measured")
    most = capacity.target_size()[1 if key.grows_with == "engines" else 0]
    line = [max(1.0, min(xs)) * (most / max(1.0, min(xs))) ** (place / 60) for place in range(61)]
    values = [fit.estimate_at(x) for x in line]
    floor = max(1e-12, min(ys)) / 10  # a range that reaches below 0 has no place on a logarithmic axis
    axes.plot(line, [v[0] for v in values], color="C1", label=fit.form)
    axes.fill_between(line, [max(floor, v[1]) for v in values], [v[2] for v in values], color="C1", alpha=0.2)
    axes.set(xscale="log", yscale="log", xlabel=key.grows_with, ylabel=f"{key.quantity} ({fit.unit})")
    axes.legend()
    axes.grid(alpha=0.3)
    drawn.tight_layout()
    drawn.savefig(path, dpi=110)
    pyplot.close(drawn)  # type: ignore[attr-defined]


# --- Commands.

folder_option = click.option(
    "--results",
    "folder",
    type=click.Path(path_type=Path, file_okay=False),
    default=RESULTS_FOLDER,
    help="Files of results.",
)


def _read_results_or_exit(folder: Path) -> dict[str, Results]:
    try:
        return read_results(folder)
    except ResultsError as error:
        raise click.ClickException(str(error)) from error


@click.command()
@folder_option
@click.option(
    "--page", type=click.Path(path_type=Path, dir_okay=False), default=CAPACITY_PAGE, help="The page."
)
@click.option(
    "--plots", type=click.Path(path_type=Path, file_okay=False), help="Write plots here (needs matplotlib)."
)
@click.option(
    "--foretell",
    "told",
    metavar="QUANTITY",
    multiple=True,
    help="Write predictions before their run, and nothing else.",
)
@click.option("--gateways", type=click.IntRange(0), help="Of the prediction.")
@click.option("--engines", type=click.IntRange(0), help="Of the prediction; 0 where it plays no part.")
@click.option(
    "--kind", default="core", show_default=True, help="Of the prediction: core, hollow, real, simulated."
)
@click.option("--role", default="gateway", show_default=True, help="Of the prediction.")
@click.option(
    "--subset", default=0, show_default=True, help="Of the prediction: engines that a gateway keeps."
)
@click.option("--note", default="", help="Of the prediction: the samples' note.")
def report(
    folder: Path,
    page: Path,
    plots: Path | None,
    told: tuple[str, ...],
    gateways: int | None,
    engines: int | None,
    kind: str,
    role: str,
    subset: int,
    note: str,
) -> None:
    """Write the tables of docs/CAPACITY.md from the files of results; print the lines that changed.

    \b
    Examples:
      whintrail scale report
      whintrail scale report --plots plots
      whintrail scale report --foretell list_line_bytes --gateways 200 --engines 10000
    """
    began, machine = time.time(), current_machine()
    results = _read_results_or_exit(folder)
    if told:
        if gateways is None or engines is None:
            raise click.UsageError("--foretell needs --gateways and --engines")
        given = {"kind": kind, "role": role, "subset": subset, "note": note}
        size = {"gateways": gateways, "engines": engines}
        _write_predictions(results, folder, told, size | given, began)
        return
    try:
        places = find_code_locations(ROOT, all_code_paths())
        made = tables.render_tables(results, read_predictions(folder), places)
        before = page.read_text()
        after = fill_tables(before, made)
    except (OSError, PageError, ResultsError) as error:
        raise click.ClickException(str(error)) from error
    _write_json(folder / CODE_LOCATIONS_FILE, places)
    found = calculated_samples(results)
    if not (folder / CALCULATED_FILE).exists() or load_results(folder / CALCULATED_FILE).samples != found:
        save_results(
            folder / CALCULATED_FILE,
            "whintrail scale report",
            began,
            machine,
            found,
            "from the other files here",
        )
    page.write_text(after)
    for line in changed_lines(before, after):
        click.echo(line)
    if plots is not None:
        for path in write_plots(tables.samples_to_fit(results), plots):
            click.echo(f"plot {path}")


def _write_predictions(
    results: Mapping[str, Results],
    folder: Path,
    quantities: Sequence[str],
    given: Mapping[str, object],
    now_s: float,
) -> None:
    samples = [s for r in results.values() for s in r.samples]
    blank = {"unit": "", "value": 0.0, "low": 0.0, "high": 0.0, "n": 1}
    made = []
    try:
        for name in quantities:
            like = msgspec.convert({"quantity": name, **blank, **given}, Sample)
            made.append(predict(samples, like, find_dimension(name, samples), now_s))
    except ValueError as error:
        raise click.ClickException(str(error)) from error
    _write_json(folder / PREDICTIONS_FILE, PredictionFile(predictions=[*read_predictions(folder), *made]))
    for p in made:
        click.echo(
            f"{p.quantity}: {tables.format_estimate(capacity.Estimate(p.value, p.low, p.high), p.unit)}"
        )


@click.command()
@folder_option
@click.option("--gateways", type=click.IntRange(1), default=int(capacity.target_size()[0]), show_default=True)
@click.option("--engines", type=click.IntRange(1), default=int(capacity.target_size()[1]), show_default=True)
@click.option("--subset", default=0, show_default=True, help="Engines that each gateway keeps; 0: all.")
@click.option("--all", "every", is_flag=True, help="Rows that hold, and rows that were not measured, too.")
@format_option
def check(folder: Path, gateways: int, engines: int, subset: int, every: bool, form: str) -> None:
    """Hold every budget against the results at a size; exit status 1 where one is passed.

    \b
    Examples:
      whintrail scale check                                 at the size that is coming
      whintrail scale check --gateways 200 --engines 80     at today's
    """
    figures = FitCache(tables.samples_to_fit(_read_results_or_exit(folder)), subset=subset)
    size = float(gateways), float(engines)
    held = [
        f
        for f in (capacity.evaluate_row(row, figures, size) for row in rows.ROWS)
        if f.row.budget is not None
    ]
    shown = [f for f in held if every or f.is_exceeded]
    print_rows(
        (_verdict_row(f) for f in shown), ("row", "role", "value", "budget", "unit", "used", "verdict"), form
    )
    passed, unknown = sum(f.is_exceeded for f in held), sum(f.value is None for f in held)
    click.echo(
        f"{passed} of {len(held)} budgets passed, {unknown} not measured, at {gateways} and {engines}",
        err=True,
    )
    if passed:
        raise click.exceptions.Exit(1)


def _verdict_row(row_result: RowResult) -> dict[str, object]:
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
    shown: dict[str, object] = {
        "row": row_result.row.key,
        "role": row_result.row.role,
        "value": value,
        "budget": row_result.row.budget,
        "unit": row_result.row.unit,
    }
    return shown | {"used": row_result.budget_share, "verdict": verdict}
