"""Measures what engines cost the routing policy and the reading of engine lists, each on its own."""

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

# Returns the part of a list that reaches the routing policy, or None for nothing.
ListFilter = Callable[[api.EngineListReceived], api.EngineListReceived | None]
SWEEPS_PER_ROUND = 4  # one of them selects engines to probe
# Query rates are low, because the policy assumes that every other gateway sends as much: higher ones would
# overload the engines.
OPEN_QUERIES_PER_ENGINE = 1 / 16  # at a time
SERVED_QUERIES_PER_ENGINE = 1 / 20  # between two rounds of sweeps
MAX_OPEN_QUERIES = 64
MAX_SERVED_QUERIES = 40
ENGINE_QUERY_INTERVAL_US = 24_000_000  # divided by the number of engines: time between two queries
MAX_QUERY_INTERVAL_US = 1_200_000
REPORT_INTERVAL_US = 3_000_000  # load reports are renewed so often, as by the probes of a fleet
MAX_REFRESH_S = 4.0  # a refresh that is expected to take longer is not measured


def keep_all(event: api.EngineListReceived) -> api.EngineListReceived:
    """Pass an engine list on unchanged, as a gateway without a subset does."""
    return event


class PolicyHarness:
    """A routing policy without a gateway, in simulated time, which knows all engines and their loads."""

    def __init__(self, deployment: Deployment, list_filter: ListFilter = keep_all) -> None:
        self.deployment, self.list_filter = deployment, list_filter
        self.now = deployment.first_started_ms * 1000 + 3_600 * SECOND_US
        self.last_query_id = 0
        self.reported_at = 0
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
        """Give the policy a fresh load report of each engine, as from probes."""
        self.reported_at = self.now
        for index, name in enumerate(list(self.policy.engines)):
            report = api.LoadReport(0.2 + index % 7 / 20, 2.0 + index % 5)
            self.handle_event(api.ProbeFinished(name, api.Outcome.OK, 500, report))

    def submit_query(self) -> tuple[int, list[api.Action]]:
        """Submit a query; classes alternate in proportion to their weights."""
        self.last_query_id += 1
        classes = [
            query_class for query_class in self.deployment.query_classes for _ in range(query_class.weight)
        ]
        query_class = classes[self.last_query_id * 7 % len(classes)]
        deadline_us = self.now + query_class.deadline_us
        arrived = api.QueryArrived(
            self.last_query_id,
            query_class.name,
            deadline_us,
            query_class.cost_us,
            64.0,
            None,
            None,
            None,
            False,
        )
        return self.last_query_id, self.handle_event(arrived)

    def finish_query(self, query: int, actions: list[api.Action]) -> None:
        """Finish the attempts among a query's actions successfully."""
        for action in actions:
            if isinstance(action, api.SendAttempt) and action.query == query:
                finished = api.AttemptFinished(
                    query, 0, action.engine, api.Outcome.OK, 9_000, True, None, None, None
                )
                self.handle_event(finished)

    def serve_queries(self, count: int) -> None:
        for _ in range(count):
            self.finish_query(*self.submit_query())

    def advance(self, duration_us: int, allow_refresh: bool = False) -> None:
        """Advance the time. `allow_refresh`: whether a weight refresh, measured separately, may be due."""
        self.now += duration_us
        if self.now - self.reported_at > REPORT_INTERVAL_US:
            self.receive_reports()
        self.policy.now = self.now
        if not allow_refresh:
            self.policy.refreshed_at = self.now

    def draw_latency_ratios(self) -> None:
        """Give each engine a slightly different latency ratio, as after some time in service."""
        random = Random(5)
        for engine in self.policy.engines.values():
            engine.latency_ratio = random.lognormvariate(0.0, 0.1)

    def run_sweeps(self) -> None:
        """Run one round of sweeps."""
        for _ in range(SWEEPS_PER_ROUND):
            self.now += SWEEP_INTERVAL_US
            self.policy.refreshed_at = self.now
            self.handle_event(api.TimerFired(SWEEP_TIMER))

    def finish_round(self) -> None:
        """Between two rounds: answer the probes in flight and serve some queries."""
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
    """Measure the routing policy's processor times in microseconds, and the memory that it holds.

    `expected_refresh_s`: the expected time of a weight refresh; it is not measured above `MAX_REFRESH_S`.
    """
    sizes = deployment.gateways, deployment.engines

    def measured(quantity: str, function: Callable[[], object], **options: Any) -> Sample:
        return sample(quantity, "us", sizes, measure_cpu_us(function, repeats, bench, **options), "core")

    held_bytes, unused_harness = measure_held_bytes(lambda: PolicyHarness(deployment, list_filter))
    yield sample("module_bytes", "bytes", sizes, [float(held_bytes)], "core")
    del unused_harness
    harness = PolicyHarness(deployment, list_filter)
    engine_count = len(harness.policy.engines)
    harness.serve_queries(200)
    harness.advance(2 * REPORT_INTERVAL_US)

    def make_refresh_due() -> None:
        harness.advance(WEIGHT_REFRESH_INTERVAL_US, allow_refresh=True)

    yield measured(
        "module_refresh_unused_us", harness.policy._refresh_weights, before=make_refresh_due, single=True
    )
    for _ in range(max(1, min(MAX_OPEN_QUERIES, int(OPEN_QUERIES_PER_ENGINE * engine_count)))):
        harness.submit_query()
        harness.advance(min(MAX_QUERY_INTERVAL_US, ENGINE_QUERY_INTERVAL_US // engine_count))

    round_times = measure_cpu_us(
        harness.run_sweeps, max(5, repeats // 2), bench, before=harness.finish_round, single=True
    )
    yield sample(
        "module_sweep_us", "us", sizes, [figure / SWEEPS_PER_ROUND for figure in round_times], "core"
    )

    def invalidate_weights() -> None:
        harness.advance(min(MAX_QUERY_INTERVAL_US, ENGINE_QUERY_INTERVAL_US // engine_count))
        harness.policy.cumulative_weights = None

    open_queries: list[tuple[int, list[api.Action]]] = []

    def submit() -> None:
        open_queries.append(harness.submit_query())

    def finish_open() -> None:
        while open_queries:
            harness.finish_query(*open_queries.pop())
        invalidate_weights()

    yield measured("module_query_us", submit, before=finish_open, single=True)

    def choose() -> object:
        return harness.policy._choose_engine(harness.policy.queries[open_queries[-1][0]], None)

    def finish_open_and_submit() -> None:
        finish_open()
        open_queries.append(harness.submit_query())

    yield measured("module_choose_us", choose, before=finish_open_and_submit, single=True)
    yield measured(
        "module_ended_us",
        lambda: harness.finish_query(*open_queries[-1]),
        before=finish_open_and_submit,
        single=True,
    )

    states = ["leaving", "active"]
    changed_index = deployment.engine_names().index(min(harness.policy.engines))
    events = [
        api.EngineListReceived(api.ListKind.DELTA, (deployment.engine_entry(changed_index, state),))
        for state in states
    ]
    event_numbers = iter(range(1 << 60))
    yield measured("module_list_delta_us", lambda: harness.apply_list(events[next(event_numbers) % 2]))
    full_list = deployment.engine_list()
    yield measured("module_list_whole_us", lambda: harness.apply_list(full_list), single=True)
    payloads = [
        probe_reports.encode(
            [probe_reports.ProbeReport(probe_reports.engine_key(name), 0, api.LoadReport(0.3, 4.0), 8.0)]
        )
        for name in list(harness.policy.engines)[:64]
    ]
    payload_numbers = iter(range(1 << 60))
    yield measured(
        "module_memo_us",
        lambda: harness.handle_event(
            api.PeerMessageReceived(1, payloads[next(payload_numbers) % len(payloads)])
        ),
    )

    # The leader is told of all engines, in the subset or not.
    listed = {entry.engine: entry for entry in full_list.entries}
    dispatcher = SimpleNamespace(policy=harness.policy, listed_engines=lambda: listed)
    service = cast(FleetService, SimpleNamespace(dispatcher=dispatcher, drained=frozenset()))
    engines = measured("leader_engines_us", lambda: FleetService.engines(service))
    yield replace(engines, role="leader")
    if expected_refresh_s < MAX_REFRESH_S:
        harness.advance(0)  # the refresh after a list event resets what is known of the engines
        harness.draw_latency_ratios()
        first_us = measure_cpu_us(
            harness.policy._refresh_weights, 1, bench, before=make_refresh_due, single=True
        )[0]
        refresh_repeats = max(3, min(repeats, int(5e6 / max(1.0, first_us))))
        figures = measure_cpu_us(
            harness.policy._refresh_weights, refresh_repeats, bench, before=make_refresh_due, single=True
        )
        yield sample("module_refresh_us", "us", sizes, figures, "core")


def measure_list_reading(deployment: Deployment, repeats: int, bench: Bench) -> Iterator[Sample]:
    """Measure the work on a line of the bulletin outside the policy: parsing, links and the list digest."""
    sizes, log = (deployment.gateways, deployment.engines), Log("scale", 1.0, 1.0)

    def measured(quantity: str, function: Callable[[], object], **options: Any) -> Sample:
        return sample(quantity, "us", sizes, measure_cpu_us(function, repeats, bench, **options), "core")

    line = deployment.full_list_line()
    yield sample("list_line_bytes", "bytes", sizes, [float(len(line))], "core")
    yield measured(
        "list_read_whole_us", lambda: read_list_update(orjson.loads(line), log, False), single=True
    )
    delta = deployment.encode_line(2, [deployment.list_item(0, "leaving")], False)
    yield measured("list_read_delta_us", lambda: read_list_update(orjson.loads(delta), log, False))
    yield from asyncio.run(_measure_list_updates(deployment, repeats, bench, line, delta))


async def _measure_list_updates(
    deployment: Deployment, repeats: int, bench: Bench, line: bytes, delta: bytes
) -> list[Sample]:
    sizes, log, limits = (deployment.gateways, deployment.engines), Log("scale", 1.0, 1.0), Limits.read({})
    links = LinkPool(limits, Inbox(Clock()), Counters(), log, None, False)
    lists, overlay = EngineListState(3_000_000), DrainOverlay()
    service = cast(FleetService, SimpleNamespace(lists=lists))

    def update(list_update: EngineListUpdate) -> None:
        links.apply_engine_list(list_update)
        FleetService._on_engine_list(service, list_update)
        overlay.apply_list(list_update.event)

    full_update, delta_update = (read_list_update(orjson.loads(text), log, False) for text in (line, delta))

    def digest() -> int:
        lists._digest = None  # as after each list event
        return lists.digest

    update(full_update)
    try:
        return [
            sample(quantity, "us", sizes, measure_cpu_us(function, repeats, bench), "core")
            for quantity, function in (
                ("gateway_update_whole_us", lambda: update(full_update)),
                ("gateway_update_delta_us", lambda: update(delta_update)),
                ("list_digest_us", digest),
            )
        ]
    finally:
        links.sweep_task.cancel()


def shared_keys_sample(deployment: Deployment) -> Sample:
    """Return the share of engines that share their 16-bit key with another, so that no report names them."""
    engines_by_key = probe_reports.engines_by_key(deployment.engine_names())
    share = 1 - len(engines_by_key) / max(1, deployment.engines)
    return sample("memo_keys_shared", "share", (deployment.gateways, deployment.engines), [share], "core")
