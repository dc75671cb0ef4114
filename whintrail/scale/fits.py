"""`whintrail scale fit`: fits the quantities in results files and prints slopes with their errors."""

import math
from pathlib import Path

import click

from whintrail.cli.output import format_option, print_rows
from whintrail.scale.fitting import FitError, SizeDimension, fit
from whintrail.scale.results import ResultsError, Sample, load_results

COLUMNS = (
    "quantity", "kind", "role", "day", "subset", "grows_with", "form", "intercept", "slope", "slope_error",
    "unit", "exponent", "exponent_error", "worst", "sizes",
)  # fmt: skip
DIMENSIONS: tuple[SizeDimension, ...] = ("engines", "gateways")


def fit_rows(samples: list[Sample]) -> list[dict[str, object]]:
    """Return a row for each quantity, kind, role, day, subset and note, and each dimension it varies over."""
    rows: list[dict[str, object]] = []
    keys = dict.fromkeys((s.quantity, s.kind, s.role, s.day, s.subset, s.note) for s in samples)
    for quantity, kind, role, day, subset, note in keys:
        for grows_with in DIMENSIONS:
            try:
                fitted = fit(
                    samples, quantity, grows_with, kind=kind, role=role, subset=subset, day=day, note=note
                )
            except FitError:
                continue
            row: dict[str, object] = {"quantity": quantity, "kind": kind, "role": role, "day": day}
            row |= {"subset": subset, "note": note, "grows_with": grows_with, "form": fitted.form}
            row |= {"intercept": fitted.intercept, "slope": fitted.slope, "slope_error": fitted.slope_error}
            row |= {"unit": fitted.unit, "worst": fitted.worst_residual}
            row |= {"sizes": " ".join(str(size) for size in fitted.sizes)}
            row |= {"exponent": None, "exponent_error": None}
            if not math.isnan(fitted.exponent):
                row |= {"exponent": fitted.exponent, "exponent_error": fitted.exponent_error}
            rows.append(row)
    return rows


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--quantity", default="", help="Only quantities whose name contains this.")
@format_option
def fit_files(files: tuple[Path, ...], quantity: str, form: str) -> None:
    """Fit every quantity in FILES that was measured at two sizes or more.

    \b
    Examples:
      whintrail scale fit docs/capacity/slopes.json
      whintrail scale fit docs/capacity/slopes.json --quantity module --format json
    """
    samples: list[Sample] = []
    for path in files:
        try:
            samples += load_results(path).samples
        except ResultsError as error:
            raise click.ClickException(str(error)) from error
    print_rows(fit_rows([s for s in samples if quantity in s.quantity]), COLUMNS, form)
