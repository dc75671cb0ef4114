"""Settings, engines and a small driver for tests of the routing policy alone."""

from dataclasses import replace
from typing import Any

from whintrail import interface as api
from whintrail.routing import SWEEP_TIMER, RoutingPolicy

SECOND = 1_000_000


def query_class(name: str = "short", **changes: Any) -> api.QueryClass:
    base = api.QueryClass(
        name=name,
        target_latency_us=SECOND,
        target_latency_ratio=2.0,
        deadline_us=10 * SECOND,
        effect=api.Effect.REPEATABLE,
        dedup_scope=api.DedupScope.ALL,
        dedup_window_us=5 * SECOND,
        worth=1.0,
        late_share=0.1,
        ordered_by_key=False,
        zones=None,
        kinds=None,
        threads=1,
        is_load=False,
        blocked_by_loads=False,
    )
    return replace(base, **changes)


def settings(*classes: api.QueryClass, **changes: Any) -> api.Settings:
    base = api.Settings(
        fleet_size=2,
        zone="z1",
        classes=classes or (query_class(),),
        tenants=(),
        kind_cores={"k8": 8.0},
        kind_memory_mb={"k8": 16384.0},
        max_memory_grant_share=0.4,
        memory_grants_honored=False,
        priorities_honored=False,
        reports_cost=False,
        progress_interval_us=SECOND,
        report_source=api.ReportSource.PROBES,
        probes_allowed=True,
        cancel_allowed=True,
        concurrent_attempts_allowed=True,
        retry_after=True,
        max_retry_after_us=SECOND,
        max_attempts=4,
        max_open=None,
        tick_us=5000,
        list_on_request=False,
        max_list_age_us=None,
        warmup_us=15 * SECOND,
        initial_capacity_share=0.4,
        overload_multiple=2.0,
        local_number=0,
        keepalive_us=30 * SECOND,
        peer_messages_allowed=False,
        overload_window_us=SECOND,
        order_settle_us=SECOND,
        retry_budget_ratio=None,
        retry_budget_free=0,
        retry_budget_window_us=0,
        cross_zone_price=0.0,
    )
    return replace(base, **changes)


def engine(address: str, **changes: Any) -> api.EngineEntry:
    return replace(api.EngineEntry(address, "k8", "z1", 0, 1.0, api.EngineState.READY, None), **changes)


class PolicyDriver:
    """Sends events to one routing policy and keeps its actions."""

    def __init__(self, policy_settings: api.Settings, *entries: api.EngineEntry, seed: int = 7) -> None:
        self.now = 100 * SECOND
        self.policy = RoutingPolicy(policy_settings, seed, self.now)
        self.actions: list[api.Action] = list(self.policy.start())
        self.receive_engine_list(*entries, kind=api.ListKind.CACHED)

    def handle(self, event: api.Event) -> list[api.Action]:
        actions = self.policy.handle(self.now, event)
        self.actions += actions
        return actions

    def receive_engine_list(
        self, *entries: api.EngineEntry, kind: api.ListKind = api.ListKind.FULL
    ) -> list[api.Action]:
        return self.handle(api.EngineListReceived(kind, entries))

    def arrive_query(self, query: int, name: str = "short", **changes: Any) -> list[api.Action]:
        base = api.QueryArrived(
            query=query,
            class_name=name,
            deadline_at_us=self.now + 10 * SECOND,
            cost_us=100_000.0,
            memory_mb=100.0,
            table_group=None,
            ordering_key=None,
            tenant=None,
            is_repeat=False,
        )
        return self.handle(replace(base, **changes))

    def finish_attempt(
        self, query: int, outcome: api.Outcome, attempt: int = 0, elapsed_us: int = 100_000, **changes: Any
    ) -> list[api.Action]:
        final = outcome is api.Outcome.OK
        event = api.AttemptFinished(query, attempt, "", outcome, elapsed_us, final, None, None, None)
        return self.handle(replace(event, **changes))

    def finish_probe(self, address: str, **values: Any) -> list[api.Action]:
        return self.handle(api.ProbeFinished(address, api.Outcome.OK, 1000, api.LoadReport(**values)))

    def advance(self, us: int) -> list[api.Action]:
        """Advance the clock and fire the sweep timer every 50 ms."""
        actions: list[api.Action] = []
        until = self.now + us
        while self.now < until:
            self.now = min(until, self.now + 50_000)
            actions += self.handle(api.TimerFired(SWEEP_TIMER))
        return actions

    def serve_queries(
        self, name: str = "short", count: int = 40, first: int = 10_000, **changes: Any
    ) -> None:
        """Send queries of the usual cost, each answered at once."""
        for number in range(first, first + count):
            self.arrive_query(number, name, **changes)
            self.finish_attempt(number, api.Outcome.OK)
            self.now += 50_000
        self.advance(2 * SECOND)


def sends(actions: list[api.Action], query: int | None = None) -> list[api.SendAttempt]:
    return [a for a in actions if isinstance(a, api.SendAttempt) and query in (None, a.query)]


def final_answers(actions: list[api.Action], query: int) -> list[type]:
    return [type(a) for a in actions if isinstance(a, api.RefuseQuery | api.FailQuery) and a.query == query]
