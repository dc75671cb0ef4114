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
from whintrail.scale.timing import Bench, measure_cpu_us, measure_held_bytes
from whintrail.versions.engine_list import EngineListState

ListFilter = Callable[
    [api.EngineListReceived], api.EngineListReceived | None
]  # what of a list reaches the module; None: nothing
SWEEPS_PER_ROUND = 4  # a round: one of them looks whom to probe
# Queries by the engine: what is out at a time, and what comes between two sweeps. More would be a jam, as
# each of the other gateways is taken to send as much.
OPEN_QUERIES_PER_ENGINE, SERVED_QUERIES_PER_ENGINE = 1 / 16, 1 / 20
MAX_OPEN_QUERIES, MAX_SERVED_QUERIES = 64, 40
ENGINE_QUERY_INTERVAL_US, MAX_QUERY_INTERVAL_US = (
    24_000_000,
    1_200_000,
)  # times the engines: between two queries, for the same reason
REPORT_INTERVAL_US = 3_000_000  # reports are heard anew, as they are in a fleet that probes
MAX_REFRESH_S = 4.0  # a figure that is foretold to take longer is left out


def keep_all(event: api.EngineListReceived) -> api.EngineListReceived:
    return event


class PolicyHarness:
    """One module with no gateway around it, in a time of its own, knowing all engines and their loads."""

    def __init__(self, deployment: Deployment, list_filter: ListFilter = keep_all) -> None:
        self.deployment, self.list_filter = deployment, list_filter
        self.now, self.last_query_id, self.reported_at = (
            deployment.first_started_ms * 1000 + 3_600 * SECOND_US,
            0,
            0,
        )
        self.policy = RoutingPolicy(deployment.settings(), 7, self.now)
        self.policy.start()
        self.apply_list(deployment.engine_list(api.ListKind.CACHED))
        self.receive_reports()

    def handle_event(self, event: api.Event) -> list[api.Action]:
        return self.policy.handle(self.now, event)

    def apply_list(self, event: api.EngineListReceived) -> None:
        if (kept := self.list_filter(event)) is not None:
            self.handle_event(kept)

    def receive_reports(self) -> None:
        """A fresh report of each engine, as probes bring it."""
        self.reported_at = self.now
        for place, name in enumerate(list(self.policy.engines)):
            report = api.LoadReport(0.2 + place % 7 / 20, 2.0 + place % 5)
            self.handle_event(api.ProbeFinished(name, api.Outcome.OK, 500, report))

    def submit_query(self) -> tuple[int, list[api.Action]]:
        """A query of one class or another, as often as it comes among others."""
        self.last_query_id += 1
        classes = [work for work in self.deployment.query_classes for _ in range(work.weight)]
        work = classes[self.last_query_id * 7 % len(classes)]
        give_up = self.now + work.deadline_us
        arrived = api.QueryArrived(
            self.last_query_id, work.name, give_up, work.cost_us, 64.0, None, None, None, False
        )
        return self.last_query_id, self.handle_event(arrived)

    def finish_query(self, query: int, actions: list[api.Action]) -> None:
        """The engine answers at once."""
        for action in actions:
            if isinstance(action, api.SendAttempt) and action.query == query:
                ended = api.AttemptFinished(
                    query, 0, action.engine, api.Outcome.OK, 9_000, True, None, None, None
                )
                self.handle_event(ended)

    def serve_queries(self, count: int) -> None:
        for _ in range(count):
            self.finish_query(*self.submit_query())

    def advance(self, duration_us: int, refresh: bool = False) -> None:
        """`refresh`: whether the module's refresh may be due after it; it is measured by itself."""
        self.now += duration_us
        if self.now - self.reported_at > REPORT_INTERVAL_US:
            self.receive_reports()
        self.policy.now = self.now
        if not refresh:
            self.policy.refreshed_at = self.now

    def draw_latency_ratios(self) -> None:
        """As after a while of work: each engine has answered, one a little slower than the other."""
        random = Random(5)
        for engine in self.policy.engines.values():
            engine.latency_ratio = random.lognormvariate(0.0, 0.1)

    def run_sweeps(self) -> None:
        """A round of sweeps; what is to be probed answers."""
        for _ in range(SWEEPS_PER_ROUND):
            self.now += SWEEP_INTERVAL_US
            self.policy.refreshed_at = self.now
            self.handle_event(api.TimerFired(SWEEP_TIMER))

    def finish_round(self) -> None:
        """Between two rounds: what was probed answers, queries come and go."""
        for name, engine in self.policy.engines.items():
            if engine.probe_in_flight:
                self.handle_event(api.ProbeFinished(name, api.Outcome.OK, 500, api.LoadReport(0.3, 3.0)))
        self.serve_queries(
            max(1, min(MAX_SERVED_QUERIES, int(SERVED_QUERIES_PER_ENGINE * len(self.policy.engines))))
        )
        if self.now - self.reported_at > REPORT_INTERVAL_US:
            self.receive_reports()


def measure_policy(
    deployment: Deployment,
    repeats: int,
    bench: Bench,
    list_filter: ListFilter = keep_all,
    expected_refresh_s: float = 0.0,
) -> Iterator[Sample]:
    """Microseconds of the module's work at so many engines, and the bytes that it holds. `refresh_s`: what a
    refresh is foretold to take; where that is too long it is left out."""
    sizes = deployment.gateways, deployment.engines

    def took(quantity: str, work: Callable[[], object], **more: Any) -> Sample:
        return sample(quantity, "us", sizes, measure_cpu_us(work, repeats, bench, **more), "core")

    held, made = measure_held_bytes(lambda: PolicyHarness(deployment, list_filter))
    yield sample("module_bytes", "bytes", sizes, [float(held)], "core")
    del made
    alone = PolicyHarness(deployment, list_filter)
    kept = len(alone.policy.engines)
    alone.serve_queries(200)
    alone.advance(2 * REPORT_INTERVAL_US)

    def due() -> None:
        alone.advance(WEIGHT_REFRESH_INTERVAL_US, refresh=True)

    yield took("module_refresh_unused_us", alone.policy._refresh_weights, before=due, single=True)
    for _ in range(max(1, min(MAX_OPEN_QUERIES, int(OPEN_QUERIES_PER_ENGINE * kept)))):
        alone.submit_query()
        alone.advance(min(MAX_QUERY_INTERVAL_US, ENGINE_QUERY_INTERVAL_US // kept))

    rounds = measure_cpu_us(
        alone.run_sweeps, max(5, repeats // 2), bench, before=alone.finish_round, single=True
    )
    yield sample("module_sweep_us", "us", sizes, [figure / SWEEPS_PER_ROUND for figure in rounds], "core")

    def stale() -> None:
        alone.advance(min(MAX_QUERY_INTERVAL_US, ENGINE_QUERY_INTERVAL_US // kept))
        alone.policy.cumulative_weights = None

    latest: list[tuple[int, list[api.Action]]] = []

    def arrive() -> None:
        latest.append(alone.submit_query())

    def clear() -> None:
        while latest:
            alone.finish_query(*latest.pop())
        stale()

    yield took("module_query_us", arrive, before=clear, single=True)

    def choose() -> object:
        return alone.policy._choose_engine(alone.policy.queries[latest[-1][0]], None)

    def arrived() -> None:
        clear()
        latest.append(alone.submit_query())

    yield took("module_choose_us", choose, before=arrived, single=True)
    yield took("module_ended_us", lambda: alone.finish_query(*latest[-1]), before=arrived, single=True)

    states, one = ["leaving", "active"], deployment.engine_names().index(min(alone.policy.engines))
    entries = [
        api.EngineListReceived(api.ListKind.DELTA, (deployment.engine_entry(one, state),)) for state in states
    ]
    deltas = iter(range(1 << 60))
    yield took("module_list_delta_us", lambda: alone.apply_list(entries[next(deltas) % 2]))
    whole = deployment.engine_list()
    yield took("module_list_whole_us", lambda: alone.apply_list(whole), single=True)
    told = [
        probe_reports.encode(
            [probe_reports.ProbeReport(probe_reports.engine_key(name), 0, api.LoadReport(0.3, 4.0), 8.0)]
        )
        for name in list(alone.policy.engines)[:64]
    ]
    memos = iter(range(1 << 60))
    yield took(
        "module_memo_us",
        lambda: alone.handle_event(api.PeerMessageReceived(1, told[next(memos) % len(told)])),
    )

    listed = {entry.engine: entry for entry in whole.entries}  # kept or not, the fleet counts them all
    owner = SimpleNamespace(module=alone.policy, listed_engines=lambda: listed)
    seen = cast(FleetService, SimpleNamespace(owner=owner, drained=frozenset()))
    engines = took("leader_engines_us", lambda: FleetService.engines(seen))
    yield replace(engines, role="leader")
    if expected_refresh_s < MAX_REFRESH_S:
        alone.advance(0)  # a list's event has the next refresh forget how engines fared
        alone.draw_latency_ratios()
        first = measure_cpu_us(alone.policy._refresh_weights, 1, bench, before=due, single=True)[0]
        fewer = max(3, min(repeats, int(5e6 / max(1.0, first))))
        figures = measure_cpu_us(alone.policy._refresh_weights, fewer, bench, before=due, single=True)
        yield sample("module_refresh_us", "us", sizes, figures, "core")


def measure_list_reading(deployment: Deployment, repeats: int, bench: Bench) -> Iterator[Sample]:
    """What a gateway does with a line of the bulletin, besides the module: parsing, addresses, the digest."""
    sizes, log = (deployment.gateways, deployment.engines), Log("scale", 1.0, 1.0)

    def took(quantity: str, work: Callable[[], object], **more: Any) -> Sample:
        return sample(quantity, "us", sizes, measure_cpu_us(work, repeats, bench, **more), "core")

    line = deployment.full_list_line()
    yield sample("list_line_bytes", "bytes", sizes, [float(len(line))], "core")
    yield took("list_read_whole_us", lambda: read_list_update(orjson.loads(line), log, False), single=True)
    delta = deployment.encode_line(2, [deployment.list_item(0, "leaving")], False)
    yield took("list_read_delta_us", lambda: read_list_update(orjson.loads(delta), log, False))
    yield from asyncio.run(_measure_list_updates(deployment, repeats, bench, line, delta))


async def _measure_list_updates(
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
            sample(quantity, "us", sizes, measure_cpu_us(work, repeats, bench), "core")
            for quantity, work in (
                ("gateway_update_whole_us", lambda: update(whole)),
                ("gateway_update_delta_us", lambda: update(one)),
                ("list_digest_us", digest),
            )
        ]
    finally:
        links.sweep_task.cancel()


def shared_keys_sample(deployment: Deployment) -> Sample:
    """The share of engines whose 16 bits are another's too: nobody tells of them."""
    told = probe_reports.engines_by_key(deployment.engine_names())
    share = 1 - len(told) / max(1, deployment.engines)
    return sample("memo_keys_shared", "share", (deployment.gateways, deployment.engines), [share], "core")
