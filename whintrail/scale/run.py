"""`whintrail scale run` and `sweep`: play sizes with hollow and real gateways on this machine."""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import click
import structlog

from whintrail.scale.days import DayPlayer
from whintrail.scale.plan import PlanError, Size, Sweep, read_sweep
from whintrail.scale.procs import BoundError, ChildError, ProcessGroup
from whintrail.scale.results import Sample, current_machine, save_results
from whintrail.scale.rig import Rig, SizeError

MAX_BREACHES_TEXT = 1500  # characters of the breaches in a file of results
MAX_BREACHES_SHOWN = 20
RESULTS_NOTE = (  # of each file of results
    "Hollow gateways run the program's owner, module, peers, bulletin reader and fleet part with real"
    " datagrams on loopback, many to a process; they have no sessions and no links to engines. Engines are a"
    " model in the process: a query is answered after 20 ms in the mean, a probe after 1 ms with a load drawn"
    " anew. A process reads the list once for all its gateways (read_share is that of the process)."
    " Memos go to each gateway by a datagram of its own. control_cpu_share is a process's time by gateway;"
    " the shares of cores are measured around their calls by the thread's clock."
)


def build_logger() -> structlog.typing.FilteringBoundLogger:
    """A logger of logfmt lines on stderr."""
    processors: list[structlog.typing.Processor] = [
        structlog.processors.TimeStamper(fmt="%H:%M:%S", utc=True),
        structlog.processors.LogfmtRenderer(key_order=["timestamp", "event"]),
    ]
    logger: structlog.typing.FilteringBoundLogger = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr), processors=processors, size=""
    )
    return logger


async def play_size(
    size: Size, folder: Path, seconds: float, memory_mb: float
) -> tuple[list[Sample], list[str]]:
    """Plays all days of a size. Returns its samples and the auditor's breaches; an error that ends the size
    early is the last of the breaches."""
    log = build_logger().bind(size=size.name)
    async with ProcessGroup(folder, memory_mb=memory_mb, seconds=seconds) as group:
        rig = Rig(size, group, log.info)
        player = DayPlayer(rig, log.info)

        async def play_days() -> None:
            started = time.monotonic()
            await rig.start()
            log.info("started", processes=len(group.children), took_s=round(time.monotonic() - started, 1))
            joined_s = await rig.wait_until_joined(size.join_s)
            player.record(size.days[0], "joined_s", "s", [joined_s], role="fleet")
            log.info("joined", took_s=round(joined_s, 1))
            for day in size.days:
                await player.play(day)

        try:
            await group.run_within_bounds(play_days())
        except (BoundError, SizeError, ChildError, TimeoutError) as error:
            log.error("ended", why=str(error) or type(error).__name__)
            return player.samples, [*rig.auditor.breaches, f"incomplete: {error}"]
        return player.samples, rig.auditor.breaches


def _play_all(sweep: Sweep, seconds: float, memory_mb: float, to: Path | None, command: str) -> int:
    """Plays the sizes one after another and saves their results; returns the exit status."""
    sample_count = 0
    failures: list[str] = []
    end = time.monotonic() + seconds
    for size in sweep.sizes:
        remaining_s, started, machine = end - time.monotonic(), time.time(), current_machine()
        if remaining_s <= 1:
            failures.append(f"{size.name}: not run, no time left")
            continue
        with tempfile.TemporaryDirectory() as folder:
            try:
                import uvloop

                with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                    samples, breaches = runner.run(play_size(size, Path(folder), remaining_s, memory_mb))
            except KeyboardInterrupt:
                click.echo("whintrail: interrupted, all processes ended", err=True)
                return 130
        sample_count += len(samples)
        failures += [f"{size.name}: {breach}" for breach in breaches]
        if to is not None:  # saved after each size, so that an interrupted sweep keeps its results
            breaches_text = "; ".join(breaches)[:MAX_BREACHES_TEXT] or "none"
            path = to / f"run-{size.name}.json" if to.is_dir() else to
            save_results(
                path, command, started, machine, samples, f"{RESULTS_NOTE} Breaches: {breaches_text}."
            )
    for line in failures[:MAX_BREACHES_SHOWN]:
        click.echo(f"whintrail: {line}", err=True)
    click.echo(f"{len(sweep.sizes)} sizes, {sample_count} samples, {len(failures)} breaches")
    return 1 if failures else 0


def _add_options(command: click.decorators.FC) -> click.decorators.FC:
    for option in (
        click.option("--seconds", type=click.FloatRange(5, 86_400), default=600.0, show_default=True),
        click.option("--memory-mb", type=click.FloatRange(100, 12_000), default=4000.0, show_default=True),
        click.option("--to", type=click.Path(path_type=Path), help="The file of results, or a folder."),
    ):
        command = option(command)
    return command


def _read_sweep_file(file: Path) -> Sweep:
    try:
        return read_sweep(file)
    except PlanError as error:
        raise click.ClickException(str(error)) from error


@click.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False, exists=True))
@click.option("--size", "name", help="Name of the size; default: the first of the file.")
@_add_options
def run(file: Path, name: str | None, seconds: float, memory_mb: float, to: Path | None) -> int:
    """Play one size of FILE: hollow and real gateways, real datagrams, days with faults, and an auditor.

    Exits with status 1 if the auditor found a breach or the size could not be played within the limits.
    """
    sweep = _read_sweep_file(file)
    chosen = [size for size in sweep.sizes if name in (None, size.name)][:1]
    if not chosen:
        raise click.ClickException(f"{file}: no size {name}")
    command = f"whintrail scale run {file}" + (f" --size {name}" if name else "")
    return _play_all(Sweep(sizes=tuple(chosen)), seconds, memory_mb, to, command)


@click.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False, exists=True))
@_add_options
def sweep(file: Path, seconds: float, memory_mb: float, to: Path | None) -> int:
    """Play all sizes of FILE one after another; --to is a folder, to which each size writes a file
    run-NAME.json when it ends."""
    if to is not None:
        to.mkdir(parents=True, exist_ok=True)
    return _play_all(_read_sweep_file(file), seconds, memory_mb, to, f"whintrail scale sweep {file}")
