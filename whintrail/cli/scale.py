"""`whintrail scale`: the cost of a fleet's size, measured, fitted and checked against budgets
(`docs/CAPACITY.md`)."""

import click

from whintrail.cli.root import LazyGroup


class LazyScaleGroup(LazyGroup):
    command_paths = {  # noqa: RUF012
        "slopes": "whintrail.scale.slopes:slopes",
        "simulate": "whintrail.scale.simulate:simulate",
        "ways": "whintrail.scale.ways:ways",
        "run": "whintrail.scale.run:run",
        "sweep": "whintrail.scale.run:sweep",
        "fit": "whintrail.scale.fits:fit_files",
        "report": "whintrail.scale.page:report",
        "check": "whintrail.scale.page:check",
    }
    requirements_file = "requirements-scale.txt"


@click.group(cls=LazyScaleGroup)
def scale() -> None:
    """The cost of a fleet's size: measured at several sizes, fitted, and checked against budgets.

    \b
    Examples:
      whintrail scale slopes --to docs/capacity/slopes.json     components alone, at several sizes
      whintrail scale run deploy/scale/small.jsonnet            real and hollow gateways, one size
      whintrail scale report                                    the tables of docs/CAPACITY.md
      whintrail scale check                                     exit status 1 if a budget is exceeded
    """
