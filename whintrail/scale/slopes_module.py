"""What engines cost the decision module and a gateway's reading of the list: the real ones, each alone."""

import asyncio
from collections.abc import Callable, Iterator
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import orjson
from msgspec.structs import replace

from whintrail import interface as api
from whintrail.fleet import probe_reports
from whintrail.fleet.drain_overlay import DrainOverlay
from whintrail.gateway.bulletin import read_list_update
from whintrail.gateway.clock import Clock
from whintrail.gateway.counters import Counters
from whintrail.gateway.dispatcher import EngineListUpdate, Inbox
from whintrail.gateway.fleet import FleetService
from whintrail.gateway.limits import Limits
from whintrail.gateway.links import LinkPool
from whintrail.gateway.log import Log
from whintrail.routing import SWEEP_INTERVAL_US, SWEEP_TIMER, WEIGHT_REFRESH_INTERVAL_US, RoutingPolicy
from whintrail.scale.deployment import SECOND_US, Deployment
from whintrail.scale.results import Sample, sample
from whintrail.scale.timing import Bench, cpu_us, held_bytes
from whintrail.versions.engine_list import EngineListState

Keep = Callable[
    [api.EngineListReceived], api.EngineListReceived | None
]  # what of a list reaches the module; None: nothing
SWEEPS = 4  # a round: one of them looks whom to probe
# Queries by the engine: what is out at a time, and what comes between two sweeps. More would be a jam, as
# each of the other gateways is taken to send as much.
OPEN, SERVED = 1 / 16, 1 / 20
MOST_OPEN, MOST_SERVED = 64, 40
APART_US, MOST_APART_US = 24_000_000, 1_200_000  # times the engines: between two queries, for the same reason
FRESH_US = 3_000_000  # reports are heard anew, as they are in a fleet that probes
MOST_FIGURE_S = 4.0  # a figure that is foretold to take longer is left out


def everything(event: api.EngineListReceived) -> api.EngineListReceived:
    return event


class Alone:
    """One module with no gateway around it, in a time of its own, knowing all engines and their loads."""

    def __init__(self, deployment: Deployment, keep: Keep = everything) -> None:
        self.deployment, self.keep = deployment, keep
        self.now, self.asked, self.heard_at = deployment.first_started_ms * 1000 + 3_600 * SECOND_US, 0, 0
        self.module = RoutingPolicy(deployment.settings(), 7, self.now)
        self.module.start()
        self.listed(deployment.engine_list(api.ListKind.CACHED))
        self.hear()

    def tell(self, event: api.Event) -> list[api.Action]:
        return self.module.handle(self.now, event)

    def listed(self, event: api.EngineListReceived) -> None:
        if (kept := self.keep(event)) is not None:
            self.tell(kept)

    def hear(self) -> None:
        """A fresh report of each engine, as probes bring it."""
        self.heard_at = self.now
        for place, name in enumerate(list(self.module.engines)):
            report = api.LoadReport(0.2 + place % 7 / 20, 2.0 + place % 5)
            self.tell(api.ProbeFinished(name, api.Outcome.OK, 500, report))

    def ask(self) -> tuple[int, list[api.Action]]:
        """A query of one class or another, as often as it comes among others."""
        self.asked += 1
        classes = [work for work in self.deployment.query_classes for _ in range(work.weight)]
        work = classes[self.asked * 7 % len(classes)]
        give_up = self.now + work.deadline_us
        arrived = api.QueryArrived(
            self.asked, work.name, give_up, work.cost_us, 64.0, None, None, None, False
        )
        return self.asked, self.tell(arrived)

    def end(self, query: int, actions: list[api.Action]) -> None:
        """The engine answers at once."""
        for action in actions:
            if isinstance(action, api.SendAttempt) and action.query == query:
                ended = api.AttemptFinished(
                    query, 0, action.engine, api.Outcome.OK, 9_000, True, None, None, None
                )
                self.tell(ended)

    def serve(self, count: int) -> None:
        for _ in range(count):
            self.end(*self.ask())

    def pass_time(self, us: int, refresh: bool = False) -> None:
        """`refresh`: whether the module's refresh may be due after it; it is measured by itself."""
        self.now += us
        if self.now - self.heard_at > FRESH_US:
            self.hear()
        self.module.now = self.now
        if not refresh:
            self.module.refreshed_at = self.now

    def use_all(self) -> None:
        """As after a while of work: each engine has answered, one a little slower than the other."""
        random = Random(5)
        for engine in self.module.engines.values():
            engine.latency_ratio = random.lognormvariate(0.0, 0.1)

    def sweep(self) -> None:
        """A round of sweeps; what is to be probed answers."""
        for _ in range(SWEEPS):
            self.now += SWEEP_INTERVAL_US
            self.module.refreshed_at = self.now
            self.tell(api.TimerFired(SWEEP_TIMER))

    def settle(self) -> None:
        """Between two rounds: what was probed answers, queries come and go."""
        for name, engine in self.module.engines.items():
            if engine.probe_in_flight:
                self.tell(api.ProbeFinished(name, api.Outcome.OK, 500, api.LoadReport(0.3, 3.0)))
        self.serve(max(1, min(MOST_SERVED, int(SERVED * len(self.module.engines)))))
        if self.now - self.heard_at > FRESH_US:
            self.hear()


def module(
    deployment: Deployment,
    repeats: int,
    bench: Bench,
    keep: Keep = everything,
    refresh_s: float = 0.0,
) -> Iterator[Sample]:
    """Microseconds of the module's work at so many engines, and the bytes that it holds. `refresh_s`: what a
    refresh is foretold to take; where that is too long it is left out."""
    sizes = deployment.gateways, deployment.engines

    def took(quantity: str, work: Callable[[], object], **more: Any) -> Sample:
        return sample(quantity, "us", sizes, cpu_us(work, repeats, bench, **more), "core")

    held, made = held_bytes(lambda: Alone(deployment, keep))
    yield sample("module_bytes", "bytes", sizes, [float(held)], "core")
    del made
    alone = Alone(deployment, keep)
    kept = len(alone.module.engines)
    alone.serve(200)
    alone.pass_time(2 * FRESH_US)

    def due() -> None:
        alone.pass_time(WEIGHT_REFRESH_INTERVAL_US, refresh=True)

    yield took("module_refresh_unused_us", alone.module._refresh_weights, before=due, alone=True)
    for _ in range(max(1, min(MOST_OPEN, int(OPEN * kept)))):
        alone.ask()
        alone.pass_time(min(MOST_APART_US, APART_US // kept))

    rounds = cpu_us(alone.sweep, max(5, repeats // 2), bench, before=alone.settle, alone=True)
    yield sample("module_sweep_us", "us", sizes, [figure / SWEEPS for figure in rounds], "core")

    def stale() -> None:
        alone.pass_time(min(MOST_APART_US, APART_US // kept))
        alone.module.cumulative_weights = None

    latest: list[tuple[int, list[api.Action]]] = []

    def arrive() -> None:
        latest.append(alone.ask())

    def clear() -> None:
        while latest:
            alone.end(*latest.pop())
        stale()

    yield took("module_query_us", arrive, before=clear, alone=True)

    def choose() -> object:
        return alone.module._choose_engine(alone.module.queries[latest[-1][0]], None)

    def arrived() -> None:
        clear()
        latest.append(alone.ask())

    yield took("module_choose_us", choose, before=arrived, alone=True)
    yield took("module_ended_us", lambda: alone.end(*latest[-1]), before=arrived, alone=True)

    states, one = ["leaving", "active"], deployment.engine_names().index(min(alone.module.engines))
    entries = [
        api.EngineListReceived(api.ListKind.DELTA, (deployment.engine_entry(one, state),)) for state in states
    ]
    deltas = iter(range(1 << 60))
    yield took("module_list_delta_us", lambda: alone.listed(entries[next(deltas) % 2]))
    whole = deployment.engine_list()
    yield took("module_list_whole_us", lambda: alone.listed(whole), alone=True)
    told = [
        probe_reports.encode(
            [probe_reports.ProbeReport(probe_reports.engine_key(name), 0, api.LoadReport(0.3, 4.0), 8.0)]
        )
        for name in list(alone.module.engines)[:64]
    ]
    memos = iter(range(1 << 60))
    yield took(
        "module_memo_us", lambda: alone.tell(api.PeerMessageReceived(1, told[next(memos) % len(told)]))
    )

    listed = {entry.engine: entry for entry in whole.entries}  # kept or not, the fleet counts them all
    owner = SimpleNamespace(module=alone.module, listed_engines=lambda: listed)
    seen = cast(FleetService, SimpleNamespace(owner=owner, drained=frozenset()))
    engines = took("leader_engines_us", lambda: FleetService.engines(seen))
    yield replace(engines, role="leader")
    if refresh_s < MOST_FIGURE_S:
        alone.pass_time(0)  # a list's event has the next refresh forget how engines fared
        alone.use_all()
        first = cpu_us(alone.module._refresh_weights, 1, bench, before=due, alone=True)[0]
        fewer = max(3, min(repeats, int(5e6 / max(1.0, first))))
        figures = cpu_us(alone.module._refresh_weights, fewer, bench, before=due, alone=True)
        yield sample("module_refresh_us", "us", sizes, figures, "core")


def reading(deployment: Deployment, repeats: int, bench: Bench) -> Iterator[Sample]:
    """What a gateway does with a line of the bulletin, besides the module: parsing, addresses, the digest."""
    sizes, log = (deployment.gateways, deployment.engines), Log("scale", 1.0, 1.0)

    def took(quantity: str, work: Callable[[], object], **more: Any) -> Sample:
        return sample(quantity, "us", sizes, cpu_us(work, repeats, bench, **more), "core")

    line = deployment.full_list_line()
    yield sample("list_line_bytes", "bytes", sizes, [float(len(line))], "core")
    yield took("list_read_whole_us", lambda: read_list_update(orjson.loads(line), log, False), alone=True)
    delta = deployment.encode_line(2, [deployment.list_item(0, "leaving")], False)
    yield took("list_read_delta_us", lambda: read_list_update(orjson.loads(delta), log, False))
    yield from asyncio.run(_updates(deployment, repeats, bench, line, delta))


async def _updates(
    deployment: Deployment, repeats: int, bench: Bench, line: bytes, delta: bytes
) -> list[Sample]:
    sizes, log, limits = (deployment.gateways, deployment.engines), Log("scale", 1.0, 1.0), Limits.read({})
    links = LinkPool(limits, Inbox(Clock()), Counters(), log, None, False)
    lists, overlay = EngineListState(3_000_000), DrainOverlay()
    part = cast(FleetService, SimpleNamespace(lists=lists))

    def update(listed: EngineListUpdate) -> None:
        links.apply_engine_list(listed)
        FleetService._on_engine_list(part, listed)
        overlay.apply_list(listed.event)

    whole, one = (read_list_update(orjson.loads(text), log, False) for text in (line, delta))

    def digest() -> int:
        lists._digest = None  # as after each event of the list
        return lists.digest

    update(whole)
    try:
        return [
            sample(quantity, "us", sizes, cpu_us(work, repeats, bench), "core")
            for quantity, work in (
                ("gateway_update_whole_us", lambda: update(whole)),
                ("gateway_update_delta_us", lambda: update(one)),
                ("list_digest_us", digest),
            )
        ]
    finally:
        links.sweep_task.cancel()


def keys_shared(deployment: Deployment) -> Sample:
    """The share of engines whose 16 bits are another's too: nobody tells of them."""
    told = probe_reports.engines_by_key(deployment.engine_names())
    share = 1 - len(told) / max(1, deployment.engines)
    return sample("memo_keys_shared", "share", (deployment.gateways, deployment.engines), [share], "core")
