"""Real gateways alone before hollow servers.

    python -m whintrail.scale.real --to docs/capacity/run-real.json

For each length of the list: start, standing idle, under load, changes of the list one by one, the whole list
at once, as many queries as one does, and memory a client connection.
"""

import asyncio
import re
import shlex
import signal
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click

from whintrail.gateway.limits import MEGABYTE
from whintrail.scale import bulletin, engines, load
from whintrail.scale.measure import Delays, read_process
from whintrail.scale.procs import BoundError, Child, Group
from whintrail.scale.results import Sample, sample, save, this_machine
from whintrail.standins.load import LoadClient
from whintrail.standins.scripted import listener

ENGINES_A_PROCESS = 4000
EVENTS = re.compile(r"event=bulletin\b.*?\bevents=(\d+)")


def free_ports(count: int) -> list[int]:
    socks = [listener() for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Site:
    """Hollow servers and real gateways of one size, all of them started."""

    def __init__(self, group: Group, count: int, gateways: int, sockets: int) -> None:
        self.group, self.count, self.sockets = group, count, sockets
        self.ports = free_ports(gateways)
        self.gateways: list[Child] = []
        self.events = [1] * gateways  # of the bulletin, that each was seen to hold
        self.ready_s: list[float] = []

    async def start(self) -> None:
        group, parts = self.group, []
        self.engines = []
        for first in range(0, self.count, ENGINES_A_PROCESS):
            config = {"first": first, "count": min(ENGINES_A_PROCESS, self.count - first), "seed": first + 1}
            child, part = await group.start(f"engines{first}", "engine", "whintrail.scale.engines", config)
            self.engines.append(child)
            parts.append(tuple(part))
        self.engine_ports = {port for *_, port in parts}
        entries = engines.entries(parts)
        self.bulletin, told = await group.start(
            "bulletin", "bulletin", "whintrail.scale.bulletin", {"entries": entries}
        )
        self.line_bytes, known = int(told["line_bytes"]), bulletin.known(entries)
        self.clients, _ = await group.start("clients", "client", "whintrail.scale.load", {"seed": 1})
        self.pinger, _ = await group.start("pinger", "client", "whintrail.scale.load", {"seed": 2})
        for number, port in enumerate(self.ports):
            listen = f"127.0.0.1:{port}"
            config = load.gateway_config(number, listen, told["where"], known, sockets=self.sockets)
            began = time.monotonic()
            self.gateways.append(await group.start_gateway(f"n{number}", config))
            if not all(await self.clients.ask("serves", ports=[port], tries=600)):
                raise BoundError(f"n{number} does not serve: see its log")
            self.ready_s.append(time.monotonic() - began)

    async def applied(self, number: int, events: int, published: float, patience_s: float) -> float | None:
        """Seconds from publishing until a gateway holds so many events and has answered an empty query after;
        None if it doesn't within the patience. It is asked for its counters (SIGUSR1) each 10 ms."""
        child, client = self.gateways[number], LoadClient(self.ports[number])
        place = child.log.stat().st_size
        try:
            while time.monotonic() - published < patience_s:
                child.signal(signal.SIGUSR1)
                await asyncio.sleep(0.01)
                with open(child.log, "rb") as file:
                    file.seek(place)
                    seen = [int(text) for text in EVENTS.findall(file.read().decode())]
                if seen and max(seen) >= events:
                    await client.ask("")
                    return time.monotonic() - published
            return None
        finally:
            client.close()

    async def publish(self, do: str, patience_s: float, **fields: Any) -> list[float | None]:
        """Publish an event; for each gateway, the seconds until it holds it."""
        answer = await self.bulletin.ask(do, **fields)
        number = answer["no"] if isinstance(answer, dict) else answer
        at = (await self.bulletin.ask("times", after=number - 1))[str(number)]
        wanted = [events + 1 for events in self.events]
        waits = (self.applied(n, wanted[n], at, patience_s) for n in range(len(self.gateways)))
        found = await asyncio.gather(*waits)
        self.events = [w if f is not None else e for w, f, e in zip(wanted, found, self.events, strict=True)]
        return list(found)


class Measure:
    def __init__(self, site: Site, rate: float, seconds: float) -> None:
        self.site, self.rate, self.seconds = site, rate, seconds
        self.sizes = len(site.ports), site.count
        self.taken: list[Sample] = []

    def note(self, quantity: str, unit: str, values: Sequence[float], note: str = "", **more: Any) -> None:
        if not values:
            return
        one = sample(quantity, unit, self.sizes, list(values), "real")
        given = {field: getattr(one, field) for field in one.__struct_fields__}
        self.taken.append(Sample(**{**given, "note": note, **more}))
        click.echo(f"  {quantity} {one.value:.6g} {unit} {note}", err=True)

    async def idle(self) -> None:
        site = self.site
        await asyncio.sleep(2.0)  # what starting left behind
        before = [read_process(child.pid) for child in site.gateways]
        await asyncio.sleep(self.seconds)
        after = [read_process(child.pid) for child in site.gateways]
        shares = [(b.cpu_s - a.cpu_s) / (b.at_s - a.at_s) for a, b in zip(before, after, strict=True)]
        self.note("ready_s", "s", site.ready_s, "from its start, whole list in the configuration")
        self.note("idle_cpu_share", "share", shares, "no queries, probes as the module wants them")
        self.note("rss_bytes", "bytes", [r.rss_bytes for r in after], "idle")
        self.note("list_line_bytes", "bytes", [site.line_bytes], role="bulletin")

    async def load(self) -> None:
        site = self.site
        probes_before = sum([(await child.ask("counts"))["probes"] for child in site.engines])
        before = [read_process(child.pid) for child in site.gateways]
        told = await site.clients.ask(
            "load", ports=site.ports, rate=self.rate, seconds=self.seconds, timeout_s=self.seconds + 30
        )
        after = [read_process(child.pid) for child in site.gateways]
        probes = sum([(await child.ask("counts"))["probes"] for child in site.engines]) - probes_before
        cpu = [b.cpu_s - a.cpu_s for a, b in zip(before, after, strict=True)]
        passed, asked = after[0].at_s - before[0].at_s, told["asked"]
        served, note = told["ends"].get("served", 0), f"at {self.rate:.0f}/s a gateway"
        delays = Delays.merged([told["delays"]])
        if served:
            self.note("query_cpu_us", "us", [sum(cpu) / served * 1e6], f"{note}, control work in it")
            self.taken.append(
                delays.sample("query_p99_ms", "ms", self.sizes, "real", at=0.99, note=f"{note}, high: p99")
            )
            click.echo(f"  query p50 {delays.at(0.5):.4f} p99 {delays.at(0.99):.4f} s", err=True)
        self.note("load_cpu_share", "share", [c / passed for c in cpu], note)
        ends = ", ".join(f"{end} {count}" for end, count in sorted(told["ends"].items()))
        self.note("not_served_share", "share", [1 - served / max(1, asked)], f"{note}: {ends}")
        counted = [float(load.connections_to(child.pid, site.engine_ports)) for child in site.gateways]
        self.note("connections", "count", counted, f"to engines, {site.sockets} descriptors allowed")
        self.note("probes_per_s", "count", [probes / passed / len(site.ports)], note)
        self.note("descriptors", "count", [r.descriptors for r in after], note)
        self.note("rss_bytes", "bytes", [r.rss_bytes for r in after], note)

    async def lists(self, deltas: int, wholes: int) -> None:
        site = self.site
        await site.pinger.ask("ping", ports=site.ports, every_s=0.01)
        await asyncio.sleep(1.0)
        quiet = await site.pinger.ask("stalls")
        self.note("loop_stall_ms", "ms", [quiet["longest_s"] * 1e3], "an empty query's longest answer, idle")
        for do, count, name in (("change", deltas, "one entry"), ("whole", wholes, "whole list")):
            found: list[float] = []
            stalls: list[float] = []
            lost = 0
            for _ in range(count):
                each = await site.publish(do, patience_s=10.0 if site.line_bytes < MEGABYTE else 4.0)
                found += [seconds for seconds in each if seconds is not None]
                lost += sum(seconds is None for seconds in each)
                await asyncio.sleep(0.2)
                stalls.append((await site.pinger.ask("stalls"))["longest_s"] * 1e3)
            self.note("list_apply_s", "s", found, name)
            self.note("loop_stall_ms", "ms", stalls, f"an empty query's longest answer, {name}")
            self.note("list_lost", "count", [float(lost)], f"{name}: not had in time, of {count} each")
        if lost:
            await self.refused()
        await site.pinger.ask("ping", ports=[])

    async def refused(self) -> None:
        """The whole list is over the gateway's bound: what is asked for again, and what that costs."""
        site = self.site
        before = await site.bulletin.ask("state")
        cpu = [read_process(child.pid) for child in site.gateways]
        change = await site.publish("change", patience_s=4.0)
        after = await site.bulletin.ask("state")
        passed = read_process(site.gateways[0].pid).at_s - cpu[0].at_s
        used = [
            (read_process(c.pid).cpu_s - r.cpu_s) / passed for c, r in zip(site.gateways, cpu, strict=True)
        ]
        each, note = passed * len(site.ports), "after a whole list over the bound"
        self.note("bulletin_asked_per_s", "count", [(after["asked"] - before["asked"]) / each], note)
        self.note("list_bytes_in_per_s", "bytes/s", [(after["bytes_out"] - before["bytes_out"]) / each], note)
        self.note("idle_cpu_share", "share", used, note)
        self.note("list_lost", "count", [float(change.count(None))], f"one entry {note}, of {len(change)}")

    async def most(self, sessions: int) -> None:
        site = self.site
        before = read_process(site.gateways[0].pid)
        told = await site.clients.ask(
            "most", port=site.ports[0], sessions=sessions, seconds=self.seconds, timeout_s=self.seconds + 30
        )
        after = read_process(site.gateways[0].pid)
        share = (after.cpu_s - before.cpu_s) / (after.at_s - before.at_s)
        served, asked = told["ends"].get("served", 0), sum(told["ends"].values())
        note = f"one gateway, {sessions} sessions, {share:.2f} of a core, {served} of {asked} served"
        self.note("queries_per_s", "count", [served / told["took_s"]], note)

    async def sessions(self, count: int) -> None:
        site, rss = self.site, []
        for _ in range(4):
            rss.append(read_process(site.gateways[0].pid).rss_bytes)
            await site.clients.ask("hold", port=site.ports[0], sessions=count // 4, timeout_s=120)
            await asyncio.sleep(0.5)
        rss.append(read_process(site.gateways[0].pid).rss_bytes)
        whole = (rss[-1] - rss[0]) / (count // 4 * 4)
        self.note("memory_a_connection_bytes", "bytes", [whole], f"{count} idle sessions at one gateway")
        await site.clients.ask("release")


async def measure(
    folder: Path,
    sizes: Sequence[int],
    gateways: int,
    rate: float,
    seconds: float,
    bounds: tuple[float, float],
) -> list[Sample]:
    taken: list[Sample] = []
    async with Group(folder, bounds[0], bounds[1]) as whole:  # bounds all sizes together in time
        for count in sizes:
            click.echo(f"{count} engines, {gateways} gateways", err=True)
            left = bounds[1] - (time.monotonic() - whole.began)
            async with Group(folder / str(count), bounds[0], left) as group:
                site = Site(group, count, gateways, sockets=1024)

                async def work(site: Site = site, last: bool = count == sizes[-1]) -> None:
                    await site.start()
                    one = Measure(site, rate, seconds)
                    try:
                        await one.idle()
                        await one.load()
                        await one.lists(deltas=10, wholes=3)
                        await one.most(sessions=64)
                        await one.sessions(400)
                    finally:
                        taken.extend(one.taken)

                try:
                    await group.within(work())
                except BoundError as error:
                    click.echo(f"ended: {error}; what was taken is kept", err=True)
                    return taken
    return taken


@click.command()
@click.option("--engines", "sizes", multiple=True, type=click.IntRange(1, 15_000), help="Once for each size.")
@click.option("--gateways", type=click.IntRange(1, 20), default=2, show_default=True)
@click.option("--rate", type=float, default=100.0, show_default=True, help="Queries a second a gateway.")
@click.option("--phase-seconds", type=float, default=8.0, show_default=True, help="Of each measuring phase.")
@click.option("--seconds", type=float, default=900.0, show_default=True, help="End by itself after so long.")
@click.option(
    "--memory-mb", type=float, default=6000.0, show_default=True, help="End by itself over so much."
)
@click.option("--to", type=click.Path(path_type=Path, dir_okay=False), help="The file of results.")
def real(
    sizes: tuple[int, ...],
    gateways: int,
    rate: float,
    phase_seconds: float,
    seconds: float,
    memory_mb: float,
    to: Path | None,
) -> None:
    """Measure real gateways alone before hollow engines and a hollow bulletin."""
    began, machine = time.time(), this_machine()
    with tempfile.TemporaryDirectory(prefix="whintrail-scale-") as folder:
        sizes = sizes or (80, 1000, 4000, 7000, 15_000)
        taken = asyncio.run(measure(Path(folder), sizes, gateways, rate, phase_seconds, (memory_mb, seconds)))
    if to is not None:
        command = "python -m whintrail.scale.real " + shlex.join(sys.argv[1:])
        note = "hollow: engines and bulletin; their processes share the machine's cores with the gateways"
        save(to, command, began, machine, taken, note)


if __name__ == "__main__":
    real()
