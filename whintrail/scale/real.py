"""Measures real gateways alone, with hollow engines and a hollow bulletin.

    python -m whintrail.scale.real --to docs/capacity/run-real.json

For each length of the engine list it measures the start, idle gateways, gateways under load, single changes
of the list, the whole list at once, the throughput of one gateway, and the memory of a client connection.
"""

import asyncio
import re
import shlex
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any, TypeVar

import click
import msgspec
from msgspec import Struct, structs

from whintrail.gateway.limits import BYTES_PER_MB
from whintrail.scale import bulletin, engines, load
from whintrail.scale.measure import Delays, read_process
from whintrail.scale.procs import BoundError, Child, ChildError, ProcessGroup
from whintrail.scale.results import Sample, current_machine, sample, save_results
from whintrail.standins.load_generator import LoadClient
from whintrail.standins.scripted import listener

ENGINES_PER_PROCESS = 4000
COUNTERS_POLL_INTERVAL_S = 0.01
SETTLE_S = 2.0  # lets effects of the start or of an overload pass
LOAD_ANSWER_MARGIN_S = 30.0  # for the answer of a load phase, on top of the phase
LIST_PATIENCE_S = 10.0  # until a gateway has applied an event
REFUSED_LIST_PATIENCE_S = 4.0  # the same for an event after a list that may be refused
CommandT = TypeVar("CommandT", bound=Callable[..., Any])
EVENT_COUNT_PATTERN = re.compile(r"event=bulletin\b.*?\bevents=(\d+)")


def free_ports(count: int) -> list[int]:
    """Different ports that were free just now."""
    socks = [listener() for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Site:
    """Hollow servers, load clients and real gateways of one size."""

    def __init__(
        self,
        group: ProcessGroup,
        engine_count: int,
        gateways: int,
        socket_limit: int,
        operator_file: dict[str, Any] | None = None,
    ) -> None:
        """`operator_file`: the content of the gateways' operator's file; None: they have none."""
        self.group, self.engine_count = group, engine_count
        self.socket_limit, self.operator_file = socket_limit, operator_file
        self.ports = free_ports(gateways)
        self.gateways: list[Child] = []
        self.startup_times_s: list[float] = []

    async def start(self) -> None:
        group, processes = self.group, []
        self.engines = []
        for first in range(0, self.engine_count, ENGINES_PER_PROCESS):
            config = {
                "first": first,
                "count": min(ENGINES_PER_PROCESS, self.engine_count - first),
                "seed": first + 1,
            }
            child, process = await group.start(f"engines{first}", "engine", "whintrail.scale.engines", config)
            self.engines.append(child)
            processes.append(tuple(process))
        self.engine_ports = {port for *_, port in processes}
        entries = engines.build_entries(processes)
        self.bulletin, answer = await group.start(
            "bulletin", "bulletin", "whintrail.scale.bulletin", {"entries": entries}
        )
        self.line_bytes, known = int(answer["line_bytes"]), bulletin.build_known_list(entries)
        self.clients, _ = await group.start("clients", "client", "whintrail.scale.load", {"seed": 1})
        self.pinger, _ = await group.start("pinger", "client", "whintrail.scale.load", {"seed": 2})
        for number, port in enumerate(self.ports):
            listen = f"127.0.0.1:{port}"
            config = load.gateway_config(number, listen, answer["where"], known, sockets=self.socket_limit)
            started = time.monotonic()
            self.gateways.append(await group.start_gateway(f"n{number}", config, self.operator_file))
            if not all(await self.clients.ask("serves", ports=[port], tries=600)):
                raise BoundError(f"n{number} does not serve: see its log")
            self.startup_times_s.append(time.monotonic() - started)

    async def wait_applied(
        self, number: int, event_number: int, published_at_s: float, patience_s: float
    ) -> float | None:
        """Seconds from publishing until a gateway has applied an event and then answered an empty query; None
        if it has not within `patience_s`.

        Every 10 ms SIGUSR1 makes the gateway log its counters: once it has the event, its count of events is
        at least the event's number."""
        child, client = self.gateways[number], LoadClient(self.ports[number])
        log_size = child.log.stat().st_size
        try:
            while time.monotonic() - published_at_s < patience_s:
                child.signal(signal.SIGUSR1)
                await asyncio.sleep(COUNTERS_POLL_INTERVAL_S)
                with open(child.log, "rb") as file:
                    file.seek(log_size)
                    seen = [int(text) for text in EVENT_COUNT_PATTERN.findall(file.read().decode())]
                if seen and max(seen) >= event_number:
                    with suppress(OSError):  # the gateway closed the session to make room for another: retry
                        await client.run_query("")
                        return time.monotonic() - published_at_s
                    client.close()
            return None
        finally:
            client.close()

    async def publish(self, command: str, patience_s: float, **fields: Any) -> list[float | None]:
        """Publishes an event; returns the seconds until each gateway has applied it."""
        answer = await self.bulletin.ask(command, **fields)
        number = answer["no"] if isinstance(answer, dict) else answer
        at_s = (await self.bulletin.ask("times", after=number - 1))[str(number)]
        waits = (self.wait_applied(n, number, at_s, patience_s) for n in range(len(self.gateways)))
        return list(await asyncio.gather(*waits))


class Measurement:
    """Takes the samples of one size."""

    def __init__(self, site: Site, rate: float, seconds: float, subset: int) -> None:
        self.site, self.rate, self.seconds, self.subset = site, rate, seconds, subset
        self.sizes = len(site.ports), site.engine_count
        self.samples: list[Sample] = []

    def record(self, quantity: str, unit: str, values: Sequence[float], note: str = "", **more: Any) -> None:
        if not values:
            return
        new_sample = sample(quantity, unit, self.sizes, list(values), "real")
        self.add_sample(structs.replace(new_sample, note=note, **more))

    def add_sample(self, new_sample: Sample) -> None:
        self.samples.append(structs.replace(new_sample, subset=self.subset))
        text = f"{new_sample.quantity} {new_sample.value:.6g} {new_sample.unit} {new_sample.note}"
        click.echo(f"  {text}", err=True)

    async def measure_idle(self) -> None:
        site = self.site
        await asyncio.sleep(SETTLE_S)
        before = [read_process(child.pid) for child in site.gateways]
        await asyncio.sleep(self.seconds)
        after = [read_process(child.pid) for child in site.gateways]
        shares = [(b.cpu_s - a.cpu_s) / (b.at_s - a.at_s) for a, b in zip(before, after, strict=True)]
        self.record("ready_s", "s", site.startup_times_s, "from its start, whole list in the configuration")
        self.record("idle_cpu_share", "share", shares, "no queries, probes as the module wants them")
        self.record("rss_bytes", "bytes", [r.rss_bytes for r in after], "idle")
        self.record("list_line_bytes", "bytes", [site.line_bytes], role="bulletin")

    async def measure_load(self, repeats: int) -> None:
        """Alternates between the rate and twice the rate; the difference gives the cost of one more query."""
        site, delays, ends = self.site, Delays(), Counter[str]()
        per_query: list[float] = []
        marginal: list[float] = []
        shares: list[float] = []
        probes: list[float] = []
        for _ in range(repeats):
            single = await self._run_load(self.rate)
            double = await self._run_load(2 * self.rate)
            delays.histogram.decode_and_add(single["delays"].encode())
            ends += Counter(single["ends"])
            shares += single["shares"]
            probes.append(single["probes_per_s"])
            if served := single["served_per_s"]:
                per_query.append(sum(single["shares"]) / served * 1e6)
            if double["served_per_s"] > single["served_per_s"]:
                extra_share = sum(double["shares"]) - sum(single["shares"])
                marginal.append(extra_share / (double["served_per_s"] - single["served_per_s"]) * 1e6)
        note, served = f"at {self.rate:.0f}/s a gateway", ends["served"]
        self.record("query_cpu_us", "us", per_query, f"{note}, control work in it")
        self.record("query_marginal_cpu_us", "us", marginal, f"from {self.rate:.0f} to {2 * self.rate:.0f}/s")
        if served:
            self.add_sample(delays.sample("query_p99_ms", "ms", self.sizes, "real", share=0.99, note=note))
            self.add_sample(delays.sample("query_p50_ms", "ms", self.sizes, "real", note=note))
        self.record("load_cpu_share", "share", shares, note)
        counted = ", ".join(f"{end} {count}" for end, count in sorted(ends.items()))
        self.record("not_served_share", "share", [1 - served / max(1, ends.total())], f"{note}: {counted}")
        links = [float(load.count_connections(child.pid, site.engine_ports)) for child in site.gateways]
        self.record("connections", "count", links, f"to engines, {site.socket_limit} descriptors allowed")
        self.record("probes_per_s", "count", probes, f"{note}, by gateway")
        after = [read_process(child.pid) for child in site.gateways]
        self.record("descriptors", "count", [r.descriptors for r in after], note)
        self.record("rss_bytes", "bytes", [r.rss_bytes for r in after], note)

    async def _run_load(self, rate: float) -> dict[str, Any]:
        """The answer of the load clients, with the gateways' CPU shares and rates over the phase."""
        site, probes_before = self.site, await self._count_probes()
        before = [read_process(child.pid) for child in site.gateways]
        timeout_s = self.seconds + LOAD_ANSWER_MARGIN_S
        answer: dict[str, Any] = await site.clients.ask(
            "load", ports=site.ports, rate=rate, seconds=self.seconds, timeout_s=timeout_s
        )
        after = [read_process(child.pid) for child in site.gateways]
        elapsed_s = after[0].at_s - before[0].at_s
        shares = [(b.cpu_s - a.cpu_s) / (b.at_s - a.at_s) for a, b in zip(before, after, strict=True)]
        return {
            **answer,
            "shares": shares,
            "served_per_s": answer["ends"].get("served", 0) / elapsed_s,
            "probes_per_s": (await self._count_probes() - probes_before) / elapsed_s / len(site.ports),
        }

    async def _count_probes(self) -> int:
        return sum([int((await child.ask("counts"))["probes"]) for child in self.site.engines])

    async def measure_list_changes(self, deltas: int, full_lists: int) -> None:
        """Changes the list and sends it whole; measures until when gateways have it, and how long they
        stall."""
        site = self.site
        await site.pinger.ask("ping", ports=site.ports, every_s=0.01)
        await asyncio.sleep(0.5)
        await site.pinger.ask("stalls")  # drops the delays of opening the sessions
        await asyncio.sleep(1.0)
        quiet = await site.pinger.ask("stalls")
        self.record(
            "loop_stall_ms", "ms", [quiet["longest_s"] * 1e3], "an empty query's longest answer, idle"
        )
        for command, count, name in (("change", deltas, "one entry"), ("whole", full_lists, "whole list")):
            delays_s: list[float] = []
            stalls: list[float] = []
            lost = 0
            for _ in range(count):
                refused = command == "whole" and site.line_bytes >= BYTES_PER_MB
                patience_s = REFUSED_LIST_PATIENCE_S if refused else LIST_PATIENCE_S
                found = await site.publish(command, patience_s=patience_s)
                delays_s += [seconds for seconds in found if seconds is not None]
                lost += sum(seconds is None for seconds in found)
                await asyncio.sleep(0.2)
                stalls.append((await site.pinger.ask("stalls"))["longest_s"] * 1e3)
            self.record("list_apply_s", "s", delays_s, name)
            self.record("loop_stall_ms", "ms", stalls, f"an empty query's longest answer, {name}")
            self.record("list_lost", "count", [float(lost)], f"{name}: not had in time, of {count} each")
        if lost:
            await self.measure_refused_list()
        await site.pinger.ask("ping", ports=[])

    async def measure_refused_list(self) -> None:
        """The whole list is over the gateway's line limit: measures the repeated requests and their cost."""
        site = self.site
        before = await site.bulletin.ask("state")
        readings = [read_process(child.pid) for child in site.gateways]
        change = await site.publish("change", patience_s=REFUSED_LIST_PATIENCE_S)
        after = await site.bulletin.ask("state")
        elapsed_s = read_process(site.gateways[0].pid).at_s - readings[0].at_s
        shares = [
            (read_process(child.pid).cpu_s - reading.cpu_s) / elapsed_s
            for child, reading in zip(site.gateways, readings, strict=True)
        ]
        gateway_s, note = elapsed_s * len(site.ports), "after a whole list over the bound"
        requests_per_s = (after["asked"] - before["asked"]) / gateway_s
        bytes_per_s = (after["bytes_out"] - before["bytes_out"]) / gateway_s
        self.record("bulletin_asked_per_s", "count", [requests_per_s], note)
        self.record("list_bytes_in_per_s", "bytes/s", [bytes_per_s], note)
        self.record("idle_cpu_share", "share", shares, note)
        self.record("list_lost", "count", [float(change.count(None))], f"one entry {note}, of {len(change)}")

    async def measure_throughput(self, sessions: int) -> None:
        """The throughput of one gateway under closed-loop load from two client processes."""
        site = self.site
        before = read_process(site.gateways[0].pid)
        request = {"port": site.ports[0], "sessions": sessions // 2, "seconds": self.seconds}
        timeout_s = self.seconds + LOAD_ANSWER_MARGIN_S
        halves = (child.ask("most", timeout_s=timeout_s, **request) for child in (site.clients, site.pinger))
        answers = await asyncio.gather(*halves)
        after = read_process(site.gateways[0].pid)
        share = (after.cpu_s - before.cpu_s) / (after.at_s - before.at_s)
        ends = sum((Counter[str](half["ends"]) for half in answers), Counter[str]())
        note = f"one gateway, {sessions} sessions, {share:.2f} of a core"
        note += f", {ends['served']} of {ends.total()} served"
        took_s = max(half["took_s"] for half in answers)
        self.record("queries_per_s", "count", [ends["served"] / took_s], note)

    async def measure_session_memory(self, count: int) -> None:
        site, rss = self.site, []
        for _ in range(4):
            rss.append(read_process(site.gateways[0].pid).rss_bytes)
            await site.clients.ask("hold", port=site.ports[0], sessions=count // 4, timeout_s=120)
            await asyncio.sleep(0.5)
        rss.append(read_process(site.gateways[0].pid).rss_bytes)
        per_session = (rss[-1] - rss[0]) / (count // 4 * 4)
        self.record(
            "memory_a_connection_bytes", "bytes", [per_session], f"{count} idle sessions at one gateway"
        )
        await site.clients.ask("release")


class MeasureOptions(Struct, frozen=True, kw_only=True):
    """What to measure; the fields are those of the command's options."""

    sizes: tuple[int, ...]  # engines on the list
    gateways: int
    rate: float
    phase_seconds: float
    repeats: int
    descriptors: int
    sessions: int
    operator: dict[str, Any] | None
    subset: int


async def measure(
    folder: Path, options: MeasureOptions, memory_mb: float, seconds: float
) -> tuple[list[Sample], str]:
    """Measures size by size. If a limit is exceeded, returns the samples until then and one line with the
    reason."""
    samples: list[Sample] = []
    end = time.monotonic() + seconds
    for count in options.sizes:
        click.echo(f"{count} engines, {options.gateways} gateways", err=True)
        async with ProcessGroup(folder / str(count), memory_mb, end - time.monotonic()) as group:
            site = Site(group, count, options.gateways, options.descriptors, options.operator)
            measurement = Measurement(site, options.rate, options.phase_seconds, options.subset)

            async def work(site: Site = site, measurement: Measurement = measurement) -> None:
                await site.start()
                await measurement.measure_idle()
                await measurement.measure_session_memory(
                    options.sessions
                )  # before anything else takes memory
                await measurement.measure_load(options.repeats)
                await asyncio.sleep(SETTLE_S)
                await measurement.measure_list_changes(deltas=10, full_lists=3)
                await measurement.measure_throughput(sessions=128)

            try:
                await group.run_within_bounds(work())
            except (BoundError, ChildError, OSError) as error:
                return samples, f"ended at {count} engines: {error}"
            finally:
                samples.extend(measurement.samples)
    return samples, ""


def bound_option(name: str, default: float, text: str) -> Callable[[CommandT], CommandT]:
    """An option for a positive number."""
    return click.option(name, type=click.FloatRange(min=0.01), default=default, show_default=True, help=text)


@click.command()
@click.option(
    "--engines",
    "sizes",
    multiple=True,
    type=click.IntRange(1, 15_000),
    help="Engines on the list; once for each size.",
)
@click.option("--gateways", type=click.IntRange(1, 20), default=2, show_default=True)
@click.option(
    "--repeats", type=click.IntRange(1, 20), default=3, show_default=True, help="Of the load phases."
)
@click.option("--descriptors", type=click.IntRange(64, 16_000), default=1024, show_default=True)
@click.option(
    "--sessions", type=click.IntRange(4, 7000), default=400, show_default=True, help="Idle sessions."
)
@click.option("--file", "file", type=click.Path(path_type=Path), help="The gateways' operator's file, JSON.")
@click.option("--subset", type=int, default=0, help="Engines that each gateway keeps by that file.")
@bound_option("--rate", 100.0, "Queries a second for each gateway.")
@bound_option("--phase-seconds", 5.0, "Of each measured phase.")
@bound_option("--seconds", 900.0, "Time limit of the run.")
@bound_option("--memory-mb", 6000.0, "Memory limit of the run.")
@click.option("--to", type=click.Path(path_type=Path, dir_okay=False), help="The file of results.")
def real(
    sizes: tuple[int, ...],
    file: Path | None,
    to: Path | None,
    seconds: float,
    memory_mb: float,
    **other_options: Any,
) -> None:
    """Measure real gateways alone, with hollow engines and a hollow bulletin."""
    started, machine = time.time(), current_machine()
    operator = None if file is None else msgspec.json.decode(file.read_bytes(), type=dict[str, Any])
    options = MeasureOptions(
        sizes=sizes or (80, 1000, 4000, 7000, 15_000), operator=operator, **other_options
    )
    with tempfile.TemporaryDirectory(prefix="whintrail-scale-") as folder:
        samples, ended = asyncio.run(measure(Path(folder), options, memory_mb, seconds))
    if to is not None:
        command = "python -m whintrail.scale.real " + shlex.join(sys.argv[1:])
        note = "hollow: engines and bulletin; their processes share the machine's cores with the gateways"
        save_results(to, command, started, machine, samples, f"{note}; {ended}" if ended else note)
    if ended:
        raise click.ClickException(ended)


if __name__ == "__main__":
    real()
