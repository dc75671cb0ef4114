"""`whintrail scale slopes`: what the cores cost alone, at several sizes each, by processor time."""

import time
from collections.abc import Callable, Iterator
from pathlib import Path
from statistics import median

import click
from msgspec.structs import replace

from whintrail.gateway.limits import Limits
from whintrail.scale import slopes_fleet, slopes_memos, slopes_module, slopes_versions
from whintrail.scale.deployment import Deployment
from whintrail.scale.results import Sample, current_machine, save_results
from whintrail.scale.timing import Bench, BoundError, collector, peak_mb
from whintrail.subset.assignment import SubsetAssignment
from whintrail.subset.plan import SubsetPlan
from whintrail.subset.report_sender import BATCH_INTERVAL_US

PARTS = ("versions", "module", "list", "memos", "members", "nodes")
ENGINES = "20,80,200,800,2000,5000,15000"
GATEWAYS = "20,50,200,800,2000,4000"
PLAYED_ENGINES, PLAYED_GATEWAYS = "20,40,80,200,400", "10,20,50,100,200"
REFRESH = "module_refresh_us"


class Sizes(click.ParamType[tuple[int, ...]]):
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


def merged(samples: list[Sample]) -> list[Sample]:
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


class Run:
    """Goes through the parts, the small sizes first, and keeps what it has when its bounds end it."""

    def __init__(self, bench: Bench, repeats: int, say: Callable[[str], None], subset: int = 0) -> None:
        self.bench, self.repeats, self.say, self.subset = bench, repeats, say, subset
        self.batch_us = BATCH_INTERVAL_US
        self.samples: list[Sample] = []

    def take(self, what: str, found: Iterator[Sample]) -> list[Sample]:
        began, before = time.monotonic(), len(self.samples)
        for one in found:
            self.samples.append(one)
            self.bench.check()
        self.say(f"{what}: {len(self.samples) - before} quantities, {time.monotonic() - began:.1f} s")
        return self.samples[before:]

    def engines(self, sizes: tuple[int, ...], fleet: int, parts: tuple[str, ...]) -> None:
        refresh_s, last = 0.0, 0
        for size in sizes:
            deployment = Deployment(fleet, size)
            if "versions" in parts:
                self.take(f"bodies, {size} engines", slopes_versions.bodies(deployment))
            if "list" in parts:
                self.take(f"list, {size} engines", self._list(deployment))
            if "module" in parts:
                if last:
                    refresh_s *= (size / last) ** 2  # at worst: it has been seen to grow with the square
                keep: slopes_module.Keep = slopes_module.everything
                if self.subset:
                    keep = SubsetAssignment(SubsetPlan(self.subset), deployment.settings()).apply_list
                found = slopes_module.module(deployment, self.repeats, self.bench, keep, refresh_s)
                taken = self.take(f"module, {size} engines", found)
                times = [one.value / 1e6 for one in taken if one.quantity == REFRESH]
                refresh_s, last = (times[0] if times else refresh_s), size

    def _list(self, deployment: Deployment) -> Iterator[Sample]:
        yield slopes_module.keys_shared(deployment)
        yield from slopes_module.reading(deployment, self.repeats, self.bench)

    def gateways(self, sizes: tuple[int, ...], parts: tuple[str, ...]) -> None:
        for size in sizes:
            deployment = Deployment(size, 0)
            if "versions" in parts:
                self.take(f"changes, {size} gateways", slopes_versions.changes(deployment))
                self.samples.append(slopes_versions.cold_part(deployment))
            if "members" in parts:
                found = slopes_fleet.membership(deployment, self.repeats, self.bench)
                self.take(f"members, {size} gateways", found)
            if "nodes" in parts:
                found = slopes_fleet.nodes(deployment, self.repeats, self.bench)
                self.take(f"nodes, {size} gateways", found)

    def memos(self, engines: tuple[int, ...], gateways: tuple[int, ...], rate: float) -> None:
        middle_engines, middle_gateways = engines[len(engines) // 2], gateways[len(gateways) // 2]
        pairs = [(middle_gateways, size) for size in engines]
        pairs += [(size, middle_engines) for size in gateways if size != middle_gateways]
        if self.subset:  # both in step: one gateway's part and its holders stay as they are
            pairs = list(zip(gateways, engines, strict=True))
        for fleet, size in pairs:
            found = slopes_memos.memos(
                Deployment(fleet, size), rate, 1, self.bench, self.subset, self.batch_us
            )
            self.take(f"memos, {fleet} gateways, {size} engines", found)


@click.command()
@click.option(
    "--to", type=click.Path(path_type=Path), default=Path("docs/capacity/slopes.json"), show_default=True
)
@click.option("--engines", type=Sizes(), default=ENGINES, show_default=True)
@click.option("--gateways", type=Sizes(), default=GATEWAYS, show_default=True)
@click.option("--fleet", default=200, show_default=True, help="Gateways where engines are varied.")
@click.option("--played-engines", type=Sizes(), default=PLAYED_ENGINES, show_default=True)
@click.option("--played-gateways", type=Sizes(), default=PLAYED_GATEWAYS, show_default=True)
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
    run = Run(
        Bench(time.monotonic() + seconds, memory_mb), repeats, lambda text: click.echo(text, err=True), subset
    )
    run.batch_us = batch_ms * 1000
    wanted, ended = parts or PARTS, ""
    try:
        with collector(Limits.read({}).gc_thresholds):
            if "memos" in wanted:  # counts in simulated time: a busy machine is none of theirs
                run.memos(played_engines, played_gateways, rate)
            for turn in range(rounds):
                run.say(f"round {turn + 1} of {rounds}")
                run.gateways(gateways, wanted)
                run.engines(engines, fleet, wanted)
    except BoundError as error:
        ended = f"ended before its time, what is missing was not run: {error}"
    except KeyboardInterrupt:
        ended = "ended by hand, what is missing was not run"
    slow = sorted(run.bench.slow) or [1.0]
    note = "times are as on an undisturbed core: a fixed piece of work around each was "
    note += f"{slow[len(slow) // 2]:.2f} times slower than at its fastest (median of {len(slow)}; at most "
    note += f"{slow[-1]:.2f}). {ended}"
    context = click.get_current_context()
    given = {"engines": engines, "gateways": gateways, "fleet": fleet, "parts": wanted}
    given |= {"repeats": repeats, "rounds": rounds, "subset": subset, "batch-ms": batch_ms}
    given |= {"played-engines": played_engines, "played-gateways": played_gateways, "rate": rate}
    typed = [f"--{name} {_text(value)}" for name, value in given.items()]
    samples = [replace(one, subset=subset) for one in merged(run.samples)]
    save_results(to, " ".join([context.command_path, *typed]), began, machine, samples, note.strip())
    click.echo(f"{len(merged(run.samples))} samples to {to}, {peak_mb():.0f} MB at most", err=True)
    if ended:
        raise click.ClickException(ended)


def _text(value: object) -> str:
    return ",".join(str(part) for part in value) if isinstance(value, tuple) else str(value)
