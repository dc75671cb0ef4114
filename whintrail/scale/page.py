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
from whintrail.scale.capacity import Figures, Found, Use
from whintrail.scale.fitting import Fit, Grows, selected
from whintrail.scale.results import Results, ResultsError, Sample, load, save, this_commit, this_machine
from whintrail.scale.tables import Foretold, Prediction

ROOT = Path(__file__).parents[2]
PAGE, FOLDER = ROOT / "docs" / "CAPACITY.md", ROOT / "docs" / "capacity"
FORETOLD, PLACES, RECKONED = "foretold.json", "places.json", "reckoned.json"
OURS = (FORETOLD, PLACES, RECKONED)
MARK = re.compile(r"(<!-- table (?P<name>[a-z-]+) -->\n)(?P<table>.*?)(<!-- end -->)", re.DOTALL)


class PageError(ValueError):
    """The page's markers don't name the tables that there are."""


# --- Files.


def read_results(folder: Path) -> dict[str, Results]:
    """All files of results, by name, those under before/ too. Errors: ResultsError."""
    paths = {path.name: path for path in sorted(folder.glob("*.json")) if path.name not in OURS}
    paths |= {f"before/{path.name}": path for path in sorted(folder.glob("before/*.json"))}
    return {name: load(path) for name, path in paths.items()}


def read_foretold(folder: Path) -> list[Prediction]:
    path = folder / FORETOLD
    if not path.exists():
        return []
    try:
        return msgspec.json.decode(path.read_bytes(), type=Foretold).predictions
    except msgspec.DecodeError as error:
        raise ResultsError(f"{path}: {error}") from error


def read_places(folder: Path) -> dict[str, str]:
    path = folder / PLACES
    return msgspec.json.decode(path.read_bytes(), type=dict[str, str]) if path.exists() else {}


def _write(path: Path, value: object) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(value), indent=1) + b"\n")


def find_places(root: Path, wanted: Sequence[str]) -> dict[str, str]:
    """`file:Name.of` with the lines that it has there. Errors: PageError where there is no such name."""
    found = {}
    for place in wanted:
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


def written(page: str, made: Mapping[str, str]) -> str:
    """The page with its tables in place. Errors: PageError where the page and the tables don't match."""
    names = [match["name"] for match in MARK.finditer(page)]
    if sorted(names) != sorted(made):
        raise PageError(f"the page has tables {sorted(names)}, and there are {sorted(made)}")
    return MARK.sub(lambda m: m[1] + "\n" + made[m["name"]] + "\n\n" + m[4], page)


def changed_lines(before: str, after: str) -> list[str]:
    """Lines of the new page that the old one has not."""
    known = set(before.splitlines())
    return [line for line in after.splitlines() if line not in known]


def all_places() -> list[str]:
    return sorted({row.place for row in (*rows.ROWS, *rows.SUBSET_ROWS) if row.place})


def reckoned(results: Mapping[str, Results]) -> list[Sample]:
    """Every row and fact that could be reckoned, at today's size, half way and the size that is coming."""
    figures, found = Figures(tables.fitted(results)), list[Sample]()
    for way in (0.0, 0.5, 1.0):
        gateways, engines = capacity.on_the_way(way)
        for key, unit, value in _values(figures, (gateways, engines)):
            found.append(
                Sample(
                    quantity=key,
                    unit=unit,
                    gateways=round(gateways),
                    engines=round(engines),
                    value=float(f"{value.value:.6g}"),
                    low=float(f"{tables.beside(value.low, value.value):.6g}"),
                    high=float(f"{value.high:.6g}"),
                    n=1,
                    kind="reckoned",
                )
            )
    return found


def _values(figures: Figures, size: tuple[float, float]) -> list[tuple[str, str, capacity.Estimate]]:
    found = []
    for row in rows.ROWS:
        if (value := capacity.find(row, figures, size).value) is not None and math.isfinite(value.high):
            found.append((row.key, row.unit, value))
    for fact in rates.FACTS:
        if (value := rates.reckon(fact, figures, size).value) is not None and math.isfinite(value.high):
            found.append((fact.key, fact.unit, value))
    return found


# --- Predictions.


def grows_with(quantity: str, samples: Sequence[Sample]) -> Grows:
    """Over which size it was taken. Errors: click.ClickException."""
    for row in rows.ROWS:
        for use in capacity.find(row, Figures(samples)).used:
            if use.quantity == quantity:
                return use.grows_with
    raise click.ClickException(f"no row of the page uses {quantity}")


def foretell(samples: Sequence[Sample], like: Sample, over: Grows, now: float) -> Prediction:
    """The figure at a size that no file has yet; `like` names it. Errors: ValueError."""
    known = [
        s
        for s in samples
        if (s.kind, s.role, s.subset, s.note) == (like.kind, like.role, like.subset, like.note)
    ]
    x = getattr(like, over)
    if any(s.quantity == like.quantity and getattr(s, over) == x for s in known):
        raise ValueError(f"{like.quantity} at {x} {over} was measured already")
    use = Use(like.quantity, over, like.kind, like.role, like.note)
    try:
        found = Figures(known, subset=like.subset).fit(use)
    except capacity.NotMeasured as error:
        raise ValueError(f"{like.quantity}: no two sizes to foretell it from") from error
    value, low, high = found.at(x)
    return Prediction(
        quantity=like.quantity,
        unit=found.unit,
        gateways=like.gateways,
        engines=like.engines,
        value=value,
        low=low,
        high=high,
        kind=like.kind,
        role=like.role,
        subset=like.subset,
        note=like.note,
        sizes=found.sizes,
        form=found.form,
        commit=this_commit(),
        written_at=time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(now)),
    )


# --- Plots.


def plot(samples: Sequence[Sample], folder: Path) -> list[Path]:
    """Each quantity of the page over its sizes, with its fit and range; the files written."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figures, made = Figures(samples), list[Path]()
    uses = dict.fromkeys(use for row in rows.ROWS for use in capacity.find(row, figures).used)
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
        _plot_one(pyplot, samples, use, found, made[-1])
    return made


def _plot_one(pyplot: object, samples: Sequence[Sample], use: Use, found: Fit, path: Path) -> None:
    given = {"kind": use.kind, "role": use.role, "note": use.note, "day": use.day}
    here = selected(samples, use.quantity, use.grows_with, **given)  # type: ignore[arg-type]
    xs = [getattr(s, use.grows_with) for s in here]
    drawn, axes = pyplot.subplots(figsize=(6, 4))  # type: ignore[attr-defined]
    ys = [s.high if use.stat == "high" else s.value for s in here]
    axes.plot(xs, ys, "o", color="C0", label="measured")
    most = capacity.coming()[1 if use.grows_with == "engines" else 0]
    line = [max(1.0, min(xs)) * (most / max(1.0, min(xs))) ** (place / 60) for place in range(61)]
    values = [found.at(x) for x in line]
    floor = max(1e-12, min(ys)) / 10  # a range that reaches below 0 has no place on a logarithmic axis
    axes.plot(line, [v[0] for v in values], color="C1", label=found.form)
    axes.fill_between(line, [max(floor, v[1]) for v in values], [v[2] for v in values], color="C1", alpha=0.2)
    axes.set(xscale="log", yscale="log", xlabel=use.grows_with, ylabel=f"{use.quantity} ({found.unit})")
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
    default=FOLDER,
    help="Files of results.",
)


def _read(folder: Path) -> dict[str, Results]:
    try:
        return read_results(folder)
    except ResultsError as error:
        raise click.ClickException(str(error)) from error


@click.command()
@folder_option
@click.option("--page", type=click.Path(path_type=Path, dir_okay=False), default=PAGE, help="The page.")
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
    began, machine = time.time(), this_machine()
    results = _read(folder)
    if told:
        if gateways is None or engines is None:
            raise click.UsageError("--foretell needs --gateways and --engines")
        given = {"kind": kind, "role": role, "subset": subset, "note": note}
        size = {"gateways": gateways, "engines": engines}
        _foretell(results, folder, told, size | given, began)
        return
    try:
        places = find_places(ROOT, all_places())
        made = tables.render(results, read_foretold(folder), places)
        before = page.read_text()
        after = written(before, made)
    except (OSError, PageError, ResultsError) as error:
        raise click.ClickException(str(error)) from error
    _write(folder / PLACES, places)
    found = reckoned(results)
    if not (folder / RECKONED).exists() or load(folder / RECKONED).samples != found:
        save(folder / RECKONED, "whintrail scale report", began, machine, found, "from the other files here")
    page.write_text(after)
    for line in changed_lines(before, after):
        click.echo(line)
    if plots is not None:
        for path in plot(tables.fitted(results), plots):
            click.echo(f"plot {path}")


def _foretell(
    results: Mapping[str, Results],
    folder: Path,
    quantities: Sequence[str],
    given: Mapping[str, object],
    now: float,
) -> None:
    samples = [s for r in results.values() for s in r.samples]
    blank = {"unit": "", "value": 0.0, "low": 0.0, "high": 0.0, "n": 1}
    made = []
    try:
        for name in quantities:
            like = msgspec.convert({"quantity": name, **blank, **given}, Sample)
            made.append(foretell(samples, like, grows_with(name, samples), now))
    except ValueError as error:
        raise click.ClickException(str(error)) from error
    _write(folder / FORETOLD, Foretold(predictions=[*read_foretold(folder), *made]))
    for p in made:
        click.echo(f"{p.quantity}: {tables.ranged(capacity.Estimate(p.value, p.low, p.high), p.unit)}")


@click.command()
@folder_option
@click.option("--gateways", type=click.IntRange(1), default=int(capacity.coming()[0]), show_default=True)
@click.option("--engines", type=click.IntRange(1), default=int(capacity.coming()[1]), show_default=True)
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
    figures = Figures(tables.fitted(_read(folder)), subset=subset)
    size = float(gateways), float(engines)
    held = [f for f in (capacity.find(row, figures, size) for row in rows.ROWS) if f.row.budget is not None]
    shown = [f for f in held if every or f.passed]
    print_rows(
        (_checked(f) for f in shown), ("row", "role", "value", "budget", "unit", "used", "verdict"), form
    )
    passed, unknown = sum(f.passed for f in held), sum(f.value is None for f in held)
    click.echo(
        f"{passed} of {len(held)} budgets passed, {unknown} not measured, at {gateways} and {engines}",
        err=True,
    )
    if passed:
        raise click.exceptions.Exit(1)


def _checked(f: Found) -> dict[str, object]:
    verdict = "not measured: " + f.missing if f.value is None else "passed" if f.passed else "holds"
    if f.untold and not f.passed and f.value is not None and f.row.budget is not None:
        verdict = "not told" if f.value.high > f.row.budget else "holds"
    value = f.value.value if f.value is not None else None
    shown: dict[str, object] = {
        "row": f.row.key,
        "role": f.row.role,
        "value": value,
        "budget": f.row.budget,
        "unit": f.row.unit,
    }
    return shown | {"used": f.share, "verdict": verdict}
