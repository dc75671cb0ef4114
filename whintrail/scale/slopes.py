"""`whintrail scale slopes`: measures what one core of a gateway costs at several fleet sizes."""

import time
from collections.abc import Callable, Iterator
from pathlib import Path
from statistics import median

import click
from msgspec.structs import replace

from whintrail.gateway.limits import Limits
from whintrail.scale import slopes_fleet, slopes_probe_reports, slopes_routing, slopes_versions
from whintrail.scale.deployment import Deployment
from whintrail.scale.results import Sample, current_machine, save_results
from whintrail.scale.timing import Bench, BoundError, gc_thresholds, peak_memory_mb
from whintrail.subset.assignment import SubsetAssignment
from whintrail.subset.plan import SubsetPlan
from whintrail.subset.report_sender import BATCH_INTERVAL_US

PARTS = ("versions", "module", "list", "memos", "members", "nodes")
DEFAULT_ENGINES = "20,80,200,800,2000,5000,15000"
DEFAULT_GATEWAYS = "20,50,200,800,2000,4000"
DEFAULT_PLAYED_ENGINES = "20,40,80,200,400"
DEFAULT_PLAYED_GATEWAYS = "10,20,50,100,200"
MIN_SIZE = 5
REFRESH_QUANTITY = "module_refresh_us"


class SizeList(click.ParamType[tuple[int, ...]]):
    """A comma-separated list of fleet sizes."""

    name = "sizes"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[int, ...]:
        try:
            sizes = tuple(sorted({int(part) for part in str(value).split(",")}))
        except ValueError:
            self.fail(f"{value}: not a comma-separated list of whole numbers", param, ctx)
        if sizes[0] < MIN_SIZE:
            self.fail(f"{sizes[0]}: less than {MIN_SIZE}", param, ctx)
        return sizes


def merge_rounds(samples: list[Sample]) -> list[Sample]:
    """Merge the rounds into one sample per quantity, size and role: their median, minimum and maximum."""
    by_key: dict[tuple[object, ...], list[Sample]] = {}
    for sample in samples:
        key = sample.quantity, sample.gateways, sample.engines, sample.role, sample.subset, sample.note
        by_key.setdefault(key, []).append(sample)
    return [
        replace(
            rounds[0],
            value=median(sample.value for sample in rounds),
            low=min(sample.low for sample in rounds),
            high=max(sample.high for sample in rounds),
            n=sum(sample.n for sample in rounds),
        )
        for rounds in by_key.values()
    ]


class SlopesRun:
    """Measures the parts, small sizes first. When a bound ends it, `samples` holds what was measured."""

    def __init__(self, bench: Bench, repeats: int, log: Callable[[str], None], subset_size: int = 0) -> None:
        self.bench, self.repeats, self.log, self.subset_size = bench, repeats, log, subset_size
        self.batch_us = BATCH_INTERVAL_US
        self.samples: list[Sample] = []

    def collect(self, label: str, samples: Iterator[Sample]) -> list[Sample]:
        started_at, first = time.monotonic(), len(self.samples)
        for sample in samples:
            self.samples.append(sample)
            self.bench.check_bounds()
        self.log(f"{label}: {len(self.samples) - first} quantities, {time.monotonic() - started_at:.1f} s")
        return self.samples[first:]

    def measure_engines(self, sizes: tuple[int, ...], gateway_count: int, parts: tuple[str, ...]) -> None:
        refresh_s, last_size = 0.0, 0
        for size in sizes:
            deployment = Deployment(gateway_count, size)
            if "versions" in parts:
                self.collect(f"bodies, {size} engines", slopes_versions.measure_bodies(deployment))
            if "list" in parts:
                self.collect(f"list, {size} engines", self._measure_list(deployment))
            if "module" in parts:
                if last_size:
                    refresh_s *= (size / last_size) ** 2  # at worst; the growth observed at most is quadratic
                list_filter: slopes_routing.ListFilter = slopes_routing.keep_all
                if self.subset_size:
                    list_filter = SubsetAssignment(
                        SubsetPlan(self.subset_size), deployment.settings()
                    ).apply_list
                figures = slopes_routing.measure_policy(
                    deployment, self.repeats, self.bench, list_filter, refresh_s
                )
                measured = self.collect(f"module, {size} engines", figures)
                refresh_times_s = [
                    sample.value / 1e6 for sample in measured if sample.quantity == REFRESH_QUANTITY
                ]
                refresh_s, last_size = (refresh_times_s[0] if refresh_times_s else refresh_s), size

    def _measure_list(self, deployment: Deployment) -> Iterator[Sample]:
        yield slopes_routing.shared_keys_sample(deployment)
        yield from slopes_routing.measure_list_reading(deployment, self.repeats, self.bench)

    def measure_gateways(self, sizes: tuple[int, ...], parts: tuple[str, ...]) -> None:
        for size in sizes:
            deployment = Deployment(size, 0)
            if "versions" in parts:
                self.collect(f"changes, {size} gateways", slopes_versions.measure_changes(deployment))
                self.samples.append(slopes_versions.work_share_sample(deployment))
            if "members" in parts:
                figures = slopes_fleet.measure_membership(deployment, self.repeats, self.bench)
                self.collect(f"members, {size} gateways", figures)
            if "nodes" in parts:
                figures = slopes_fleet.measure_nodes(deployment, self.repeats, self.bench)
                self.collect(f"nodes, {size} gateways", figures)

    def measure_probe_reports(self, engines: tuple[int, ...], gateways: tuple[int, ...], rate: float) -> None:
        middle_engines, middle_gateways = engines[len(engines) // 2], gateways[len(gateways) // 2]
        pairs = [(middle_gateways, size) for size in engines]
        pairs += [(size, middle_engines) for size in gateways if size != middle_gateways]
        if self.subset_size:  # scaled in step, so that the subset of a gateway and its holders stay the same
            pairs = list(zip(gateways, engines, strict=True))
        for gateway_count, engine_count in pairs:
            figures = slopes_probe_reports.measure_probe_reports(
                Deployment(gateway_count, engine_count), rate, 1, self.bench, self.subset_size, self.batch_us
            )
            self.collect(f"memos, {gateway_count} gateways, {engine_count} engines", figures)


@click.command()
@click.option(
    "--to", type=click.Path(path_type=Path), default=Path("docs/capacity/slopes.json"), show_default=True
)
@click.option("--engines", type=SizeList(), default=DEFAULT_ENGINES, show_default=True)
@click.option("--gateways", type=SizeList(), default=DEFAULT_GATEWAYS, show_default=True)
@click.option("--fleet", default=200, show_default=True, help="Gateways, where engines are varied.")
@click.option("--played-engines", type=SizeList(), default=DEFAULT_PLAYED_ENGINES, show_default=True)
@click.option("--played-gateways", type=SizeList(), default=DEFAULT_PLAYED_GATEWAYS, show_default=True)
@click.option("--rate", default=20.0, show_default=True, help="Queries per second at each simulated gateway.")
@click.option("--subset", default=0, show_default=True, help="Engines in a gateway's subset; 0: all.")
@click.option(
    "--batch-ms",
    default=BATCH_INTERVAL_US // 1000,
    show_default=True,
    help="With --subset: how long probe reports wait for others.",
)
@click.option("--part", "parts", multiple=True, type=click.Choice(PARTS), help="Only this; may be repeated.")
@click.option("--repeats", type=click.IntRange(3), default=15, show_default=True)
@click.option("--rounds", type=click.IntRange(1), default=3, show_default=True, help="Passes over all sizes.")
@click.option("--seconds", default=1500.0, show_default=True, help="The run ends after this time.")
@click.option(
    "--memory-mb", default=2048.0, show_default=True, help="The run ends above this resident memory."
)
def slopes(
    to: Path,
    engines: tuple[int, ...],
    gateways: tuple[int, ...],
    fleet: int,
    played_engines: tuple[int, ...],
    played_gateways: tuple[int, ...],
    rate: float,
    subset: int,
    batch_ms: int,
    parts: tuple[str, ...],
    repeats: int,
    rounds: int,
    seconds: float,
    memory_mb: float,
) -> None:
    """Measure one core alone: routing policy, engine list, probe reports, membership, fleet nodes.

    \b
    Times are processor time of this one process. Nothing is sent; no address is connected to.
      whintrail scale slopes --to docs/capacity/slopes.json
      whintrail scale slopes --part memos --to /tmp/memos.json
      whintrail scale slopes --subset 80 --fleet 4000 --part module --part memos \\
        --played-gateways 100,200,400 --played-engines 375,750,1500 --to docs/capacity/slopes-subset.json
    """
    if subset and len(played_engines) != len(played_gateways):
        raise click.UsageError("--subset needs as many --played-engines as --played-gateways")
    started_at, machine = time.time(), current_machine()
    run = SlopesRun(
        Bench(time.monotonic() + seconds, memory_mb), repeats, lambda text: click.echo(text, err=True), subset
    )
    run.batch_us = batch_ms * 1000
    selected, end_reason = parts or PARTS, ""
    try:
        with gc_thresholds(Limits.read({}).gc_thresholds):
            if "memos" in selected:  # once: counts in simulated time don't depend on the machine's load
                run.measure_probe_reports(played_engines, played_gateways, rate)
            for round_index in range(rounds):
                run.log(f"round {round_index + 1} of {rounds}")
                run.measure_gateways(gateways, selected)
                run.measure_engines(engines, fleet, selected)
    except BoundError as error:
        end_reason = f"ended before its time, what is missing was not run: {error}"
    except KeyboardInterrupt:
        end_reason = "ended by hand, what is missing was not run"
    slowdowns = sorted(run.bench.slowdowns) or [1.0]
    note = "times are as on an undisturbed core: a fixed piece of work around each was "
    note += f"{slowdowns[len(slowdowns) // 2]:.2f} times slower than at its fastest "
    note += f"(median of {len(slowdowns)}; at most "
    note += f"{slowdowns[-1]:.2f}). {end_reason}"
    context = click.get_current_context()
    options = {"engines": engines, "gateways": gateways, "fleet": fleet, "parts": selected}
    options |= {"repeats": repeats, "rounds": rounds, "subset": subset, "batch-ms": batch_ms}
    options |= {"played-engines": played_engines, "played-gateways": played_gateways, "rate": rate}
    option_texts = [f"--{name} {_format_value(value)}" for name, value in options.items()]
    samples = [replace(sample, subset=subset) for sample in merge_rounds(run.samples)]
    save_results(
        to, " ".join([context.command_path, *option_texts]), started_at, machine, samples, note.strip()
    )
    click.echo(
        f"{len(merge_rounds(run.samples))} samples to {to}, {peak_memory_mb():.0f} MB at most", err=True
    )
    if end_reason:
        raise click.ClickException(end_reason)


def _format_value(value: object) -> str:
    return ",".join(str(part) for part in value) if isinstance(value, tuple) else str(value)
