"""Audits gateways with a subset of the engines each over many seeds of faults (standins/subset_audit.py).

    python -m benchmarks.parts

Prints one line a seed and the sum; exits with status 1 if a check failed.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial

import click

from whintrail.standins.subset_audit import run_scenario


@click.command()
@click.option("--seeds", default=20, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option("--seconds", default=6.0, show_default=True)
@click.option("--jobs", default=2, show_default=True)
def main(seeds: int, first: int, seconds: float, jobs: int) -> None:
    """Audit gateways with a subset of the engines each over many seeds of faults."""
    numbers, failed, received = range(first, first + seeds), 0, 0
    with ProcessPoolExecutor(jobs) as pool:
        for seed, audit in zip(
            numbers, pool.map(partial(run_scenario, seconds=seconds), numbers), strict=True
        ):
            failed, received = failed + (not audit.passed), received + audit.queries_received
            click.echo(
                f"seed {seed}: asked {audit.queries_sent}, got {audit.queries_received}, "
                f"from others {audit.outside_subset[:5]}, "
                f"after the drain {audit.after_drain[:5]}, unanswered {audit.unanswered}, "
                f"idle {audit.unreached}, {dict(audit.outcomes)}"
            )
    click.echo(f"{seeds} seeds, {received} queries at the engines, {failed} seeds with a failed check")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
