"""The limit on what all gateways together send to a cold engine, counted at the engine.

Many routing policies run on one clock with one seed. The offered load exceeds the capacity of the engines
several times. Queries have fixed work, so that requests of mean work can be counted, which is how the budget
is stated.
"""

import heapq
import math
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

import pytest

from whintrail import interface as api
from whintrail.routing import RoutingPolicy

from .helpers import SECOND, engine, query_class, settings

OVERLOAD_MULTIPLE = 3.0
OVERLOAD_WINDOW_US = 1_500_000
INITIAL_CAPACITY_SHARE = 0.4
WARMUP_US = 10 * SECOND
WORK_US_AND_SHARE = ((100_000, 0.85), (800_000, 0.15))
MEAN_WORK_US = sum(work * share for work, share in WORK_US_AND_SHARE)


class Simulation:
    """Gateways without shared state, in front of engines that report their active queries."""

    def __init__(
        self, count: int, cores: float, seed: int, peer_messages: bool, warm: int, reports_no_load: bool
    ) -> None:
        self.count, self.cores, self.peer_messages, self.random = count, cores, peer_messages, Random(seed)
        self.now, self.event_count = 1000 * SECOND, 0
        self.reports_no_load = reports_no_load  # engines report 0 active queries at all times
        self.event_queue: list[tuple[int, int, Callable[[], None]]] = []
        self.traffic_shares = [self.random.lognormvariate(0, 0.8) for _ in range(count)]
        self.active_queries: dict[str, int] = defaultdict(int)
        self.sent: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self.work: dict[int, int] = {}
        self.epochs = [0] * count
        self.warm_engines = [engine(f"warm{n}") for n in range(warm)]
        self.cold_engines: list[api.EngineEntry] = []
        self.policies: list[RoutingPolicy] = []
        for index in range(count):
            self.policies.append(self.create_policy(index))
            self.start_policy(index)

    def create_policy(self, index: int) -> RoutingPolicy:
        classes = [query_class(f"c{kind}") for kind in range(len(WORK_US_AND_SHARE))]
        changes: dict[str, Any] = {
            "kind_cores": {"k8": self.cores},
            "peer_messages_allowed": self.peer_messages,
        }
        changes |= {"overload_multiple": OVERLOAD_MULTIPLE, "overload_window_us": OVERLOAD_WINDOW_US}
        changes |= {"initial_capacity_share": INITIAL_CAPACITY_SHARE, "warmup_us": WARMUP_US}
        policy_settings = settings(*classes, fleet_size=self.count, local_number=index, **changes)
        return RoutingPolicy(policy_settings, index, self.now)

    def start_policy(self, index: int) -> None:
        self.perform_actions(index, self.policies[index].start())
        self.handle_event(
            index, api.EngineListReceived(api.ListKind.CACHED, (*self.warm_engines, *self.cold_engines))
        )

    def restart_policy(self, index: int) -> None:
        self.epochs[index] += 1
        self.policies[index] = self.create_policy(index)
        self.start_policy(index)

    def schedule(self, when: int, callback: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.event_queue, (when, self.event_count, callback))

    def handle_event(self, index: int, event: api.Event, epoch: int | None = None) -> None:
        if epoch in (None, self.epochs[index]):
            self.perform_actions(index, self.policies[index].handle(self.now, event))

    def perform_actions(self, index: int, actions: list[api.Action]) -> None:
        epoch, now = self.epochs[index], self.now
        for action in actions:
            match action:
                case api.SendAttempt(query, name):
                    self.sent[name].append((now, self.work[query]))
                    self.active_queries[name] += 1
                    took = int(self.work[query] * self.random.uniform(1.0, 1.6))
                    end_at = now + took
                    self.schedule(end_at, lambda q=query, n=name, t=took: self.finish(index, q, n, t, epoch))  # type: ignore[misc]
                case api.SetTimer(token, when):
                    self.schedule(when, lambda t=token: self.handle_event(index, api.TimerFired(t), epoch))  # type: ignore[misc]
                case api.SendProbe(name):
                    self.schedule(now + 2000, lambda n=name: self.finish_probe(index, n, epoch))  # type: ignore[misc]
                case api.SendPeerMessage(_, payload):
                    self.schedule(
                        now + 10_000,
                        partial(self.broadcast, index, api.PeerMessageReceived(index, payload)),
                    )

    def broadcast(self, index: int, message: api.PeerMessageReceived) -> None:
        for other in range(self.count):
            if other != index:
                self.handle_event(other, message)

    def finish_probe(self, index: int, name: str, epoch: int) -> None:
        active = 0.0 if self.reports_no_load else float(self.active_queries[name])
        report = api.LoadReport(None, active, 0.0, None)
        self.handle_event(index, api.ProbeFinished(name, api.Outcome.OK, 2000, report), epoch)

    def finish(self, index: int, query: int, name: str, took: int, epoch: int) -> None:
        self.active_queries[name] -= 1
        ended = api.AttemptFinished(
            query, 0, name, api.Outcome.OK, took, True, self.work[query] / 1000, None, None
        )
        self.handle_event(index, ended, epoch)

    def arrive_query(self, query: int) -> None:
        shares = [share for _, share in WORK_US_AND_SHARE]
        kind = self.random.choices(range(len(WORK_US_AND_SHARE)), shares)[0]
        self.work[query] = WORK_US_AND_SHARE[kind][0]
        index = self.random.choices(range(self.count), self.traffic_shares)[0]
        deadline_at, cost = self.now + 10 * SECOND, float(self.work[query])
        self.handle_event(
            index, api.QueryArrived(query, f"c{kind}", deadline_at, cost, None, None, None, None, False)
        )

    def run(self, seconds: int, rate: float, cold_engines: int, restarts: bool) -> None:
        start, ends = self.now + 4 * SECOND, self.now + seconds * SECOND
        self.cold_engines = [engine(f"cold{n}", started_us=start) for n in range(cold_engines)]
        for index in range(self.count):
            listed_at = start + self.random.randrange(300_000)
            event = api.EngineListReceived(api.ListKind.DELTA, tuple(self.cold_engines))
            self.schedule(listed_at, lambda m=index, e=event: self.handle_event(m, e))  # type: ignore[misc]
            if restarts and index % 2:
                restart_at = listed_at + self.random.randrange(4 * SECOND)
                self.schedule(restart_at, lambda m=index: self.restart_policy(m))  # type: ignore[misc]
        when, query = self.now, 0
        while (when := when + int(self.random.expovariate(rate) * SECOND)) < ends:
            query += 1
            self.schedule(when, lambda q=query: self.arrive_query(q))  # type: ignore[misc]
        while self.event_queue and self.event_queue[0][0] < ends:
            self.now, _, callback = heapq.heappop(self.event_queue)
            callback()

    def worst_excess(self) -> float:
        """The worst window of any cold engine: its excess over the limit, in units of random variation."""
        worst = -math.inf
        for item in self.cold_engines:
            started, sent = item.started_us or 0, self.sent[item.engine]
            for at, _ in sent:
                age = min(1.0, (at - started) / WARMUP_US)
                # The certain capacity when the window begins.
                capacity = INITIAL_CAPACITY_SHARE + (1 - INITIAL_CAPACITY_SHARE) * age**2
                limit = OVERLOAD_MULTIPLE * capacity * self.cores * OVERLOAD_WINDOW_US / MEAN_WORK_US
                until = at + OVERLOAD_WINDOW_US
                arrived = sum(work for then, work in sent if at <= then < until) / MEAN_WORK_US
                if age < 1:
                    worst = max(worst, (arrived - limit) / (2 * math.sqrt(limit) + 2))
        return worst


@pytest.mark.parametrize(("peer_messages", "reports_no_load"), [(False, False), (True, False), (False, True)])
@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("count", [3, 20, 30])
@pytest.mark.parametrize(("cores", "warm"), [(16.0, 1), (16.0, 0), (2.0, 0)])
def test_all_gateways_together_stay_within_a_cold_engines_budget(
    count: int, restarts: bool, cores: float, warm: int, peer_messages: bool, reports_no_load: bool
) -> None:
    simulation = Simulation(
        count, cores, seed=count, peer_messages=peer_messages, warm=warm, reports_no_load=reports_no_load
    )
    simulation.run(9, 25.0 * cores, cold_engines=2, restarts=restarts)
    assert (
        sum(len(simulation.sent[item.engine]) for item in simulation.cold_engines) > 10
    )  # the budget is not kept by sending nothing
    assert simulation.worst_excess() <= 1.0


def test_two_hundred_gateways_stay_within_the_cold_budget() -> None:
    simulation = Simulation(200, 16.0, seed=200, peer_messages=False, warm=1, reports_no_load=True)
    simulation.run(8, 400.0, cold_engines=2, restarts=False)
    assert simulation.worst_excess() <= 1.0
