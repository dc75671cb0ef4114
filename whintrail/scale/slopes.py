"""`whintrail scale slopes`: what the cores cost alone, at several sizes each, by processor time."""

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
DEFAULT_PLAYED_ENGINES, DEFAULT_PLAYED_GATEWAYS = "20,40,80,200,400", "10,20,50,100,200"
REFRESH_QUANTITY = "module_refresh_us"


class SizeList(click.ParamType[tuple[int, ...]]):
    """Sizes between commas."""

    name = "sizes"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[int, ...]:
        try:
            found = tuple(sorted({int(part) for part in str(value).split(",")}))
        except ValueError:
            self.fail(f"{value}: whole numbers between commas are wanted", param, ctx)
        if found[0] < 5:
            self.fail(f"{found[0]}: 5 at least", param, ctx)
        return found


def merge_rounds(samples: list[Sample]) -> list[Sample]:
    """One sample a quantity, size and role: the median of the rounds', between the least and the greatest."""
    found: dict[tuple[object, ...], list[Sample]] = {}
    for one in samples:
        key = one.quantity, one.gateways, one.engines, one.role, one.subset, one.note
        found.setdefault(key, []).append(one)
    return [
        replace(
            rounds[0],
            value=median(one.value for one in rounds),
            low=min(one.low for one in rounds),
            high=max(one.high for one in rounds),
            n=sum(one.n for one in rounds),
        )
        for rounds in found.values()
    ]


class SlopesRun:
    """Goes through the parts, the small sizes first, and keeps what it has when its bounds end it."""

    def __init__(self, bench: Bench, repeats: int, log: Callable[[str], None], subset_size: int = 0) -> None:
        self.bench, self.repeats, self.log, self.subset_size = bench, repeats, log, subset_size
        self.batch_us = BATCH_INTERVAL_US
        self.samples: list[Sample] = []

    def collect(self, label: str, samples: Iterator[Sample]) -> list[Sample]:
        began, before = time.monotonic(), len(self.samples)
        for one in samples:
            self.samples.append(one)
            self.bench.check_bounds()
        self.log(f"{label}: {len(self.samples) - before} quantities, {time.monotonic() - began:.1f} s")
        return self.samples[before:]

    def measure_engines(self, sizes: tuple[int, ...], gateway_count: int, parts: tuple[str, ...]) -> None:
        refresh_s, last = 0.0, 0
        for size in sizes:
            deployment = Deployment(gateway_count, size)
            if "versions" in parts:
                self.collect(f"bodies, {size} engines", slopes_versions.measure_bodies(deployment))
            if "list" in parts:
                self.collect(f"list, {size} engines", self._measure_list(deployment))
            if "module" in parts:
                if last:
                    refresh_s *= (size / last) ** 2  # at worst: it has been seen to grow with the square
                keep: slopes_routing.ListFilter = slopes_routing.keep_all
                if self.subset_size:
                    keep = SubsetAssignment(SubsetPlan(self.subset_size), deployment.settings()).apply_list
                found = slopes_routing.measure_policy(deployment, self.repeats, self.bench, keep, refresh_s)
                taken = self.collect(f"module, {size} engines", found)
                times = [one.value / 1e6 for one in taken if one.quantity == REFRESH_QUANTITY]
                refresh_s, last = (times[0] if times else refresh_s), size

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
                found = slopes_fleet.measure_membership(deployment, self.repeats, self.bench)
                self.collect(f"members, {size} gateways", found)
            if "nodes" in parts:
                found = slopes_fleet.measure_nodes(deployment, self.repeats, self.bench)
                self.collect(f"nodes, {size} gateways", found)

    def measure_probe_reports(self, engines: tuple[int, ...], gateways: tuple[int, ...], rate: float) -> None:
        middle_engines, middle_gateways = engines[len(engines) // 2], gateways[len(gateways) // 2]
        pairs = [(middle_gateways, size) for size in engines]
        pairs += [(size, middle_engines) for size in gateways if size != middle_gateways]
        if self.subset_size:  # both in step: one gateway's part and its holders stay as they are
            pairs = list(zip(gateways, engines, strict=True))
        for fleet, size in pairs:
            found = slopes_probe_reports.measure_probe_reports(
                Deployment(fleet, size), rate, 1, self.bench, self.subset_size, self.batch_us
            )
            self.collect(f"memos, {fleet} gateways, {size} engines", found)


@click.command()
@click.option(
    "--to", type=click.Path(path_type=Path), default=Path("docs/capacity/slopes.json"), show_default=True
)
@click.option("--engines", type=SizeList(), default=DEFAULT_ENGINES, show_default=True)
@click.option("--gateways", type=SizeList(), default=DEFAULT_GATEWAYS, show_default=True)
@click.option("--fleet", default=200, show_default=True, help="Gateways where engines are varied.")
@click.option("--played-engines", type=SizeList(), default=DEFAULT_PLAYED_ENGINES, show_default=True)
@click.option("--played-gateways", type=SizeList(), default=DEFAULT_PLAYED_GATEWAYS, show_default=True)
@click.option("--rate", default=20.0, show_default=True, help="Queries a second, a gateway that is played.")
@click.option("--subset", default=0, show_default=True, help="Engines that a gateway keeps; 0: all.")
@click.option(
    "--batch-ms",
    default=BATCH_INTERVAL_US // 1000,
    show_default=True,
    help="With --subset: memos wait so long.",
)
@click.option("--part", "parts", multiple=True, type=click.Choice(PARTS), help="Only this; may be repeated.")
@click.option("--repeats", type=click.IntRange(3), default=15, show_default=True)
@click.option("--rounds", type=click.IntRange(1), default=3, show_default=True, help="Over all sizes.")
@click.option("--seconds", default=1500.0, show_default=True, help="It ends by itself after so long.")
@click.option("--memory-mb", default=2048.0, show_default=True, help="And when it holds more than this.")
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
    """Measure the cores alone: the decision module, the list, memos, membership, a fleet's nodes.

    \b
    Times are processor time of this one process. Nothing is sent; no address is connected to.
      whintrail scale slopes --to docs/capacity/slopes.json
      whintrail scale slopes --part memos --to /tmp/memos.json
      whintrail scale slopes --subset 80 --fleet 4000 --part module --part memos \\
        --played-gateways 100,200,400 --played-engines 375,750,1500 --to docs/capacity/slopes-subset.json
    """
    if subset and len(played_engines) != len(played_gateways):
        raise click.UsageError("with --subset, as many --played-engines as --played-gateways are wanted")
    began, machine = time.time(), current_machine()
    run = SlopesRun(
        Bench(time.monotonic() + seconds, memory_mb), repeats, lambda text: click.echo(text, err=True), subset
    )
    run.batch_us = batch_ms * 1000
    wanted, ended = parts or PARTS, ""
    try:
        with gc_thresholds(Limits.read({}).gc_thresholds):
            if "memos" in wanted:  # counts in simulated time: a busy machine is none of theirs
                run.measure_probe_reports(played_engines, played_gateways, rate)
            for turn in range(rounds):
                run.log(f"round {turn + 1} of {rounds}")
                run.measure_gateways(gateways, wanted)
                run.measure_engines(engines, fleet, wanted)
    except BoundError as error:
        ended = f"ended before its time, what is missing was not run: {error}"
    except KeyboardInterrupt:
        ended = "ended by hand, what is missing was not run"
    slow = sorted(run.bench.slowdowns) or [1.0]
    note = "times are as on an undisturbed core: a fixed piece of work around each was "
    note += f"{slow[len(slow) // 2]:.2f} times slower than at its fastest (median of {len(slow)}; at most "
    note += f"{slow[-1]:.2f}). {ended}"
    context = click.get_current_context()
    given = {"engines": engines, "gateways": gateways, "fleet": fleet, "parts": wanted}
    given |= {"repeats": repeats, "rounds": rounds, "subset": subset, "batch-ms": batch_ms}
    given |= {"played-engines": played_engines, "played-gateways": played_gateways, "rate": rate}
    typed = [f"--{name} {_format_value(value)}" for name, value in given.items()]
    samples = [replace(one, subset=subset) for one in merge_rounds(run.samples)]
    save_results(to, " ".join([context.command_path, *typed]), began, machine, samples, note.strip())
    click.echo(
        f"{len(merge_rounds(run.samples))} samples to {to}, {peak_memory_mb():.0f} MB at most", err=True
    )
    if ended:
        raise click.ClickException(ended)


def _format_value(value: object) -> str:
    return ",".join(str(part) for part in value) if isinstance(value, tuple) else str(value)
