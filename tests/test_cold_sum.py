"""What all gateways together send a cold engine, counted at the engine: many modules, one clock, one seed.

Every gateway sees its part of a crowd that would fill the engines several times over. Queries are of fixed
work, so that what is counted is requests of mean work, as the budget is stated.
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

OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_US, INITIAL_CAPACITY_SHARE, WARMUP_US = 3.0, 1_500_000, 0.4, 10 * SECOND
WORK_US_AND_SHARE = ((100_000, 0.85), (800_000, 0.15))
MEAN_WORK_US = sum(work * part for work, part in WORK_US_AND_SHARE)


class Simulation:
    """Gateways that hold no state in common, in front of engines that report what they hold."""

    def __init__(self, count: int, cores: float, seed: int, talk: bool, warm: int, blind: bool) -> None:
        self.count, self.cores, self.peer_messages, self.random = count, cores, talk, Random(seed)
        self.now, self.numbered = 1000 * SECOND, 0
        self.reports_no_load = blind  # engines report no load, whatever they hold
        self.event_queue: list[tuple[int, int, Callable[[], None]]] = []
        self.traffic_shares = [self.random.lognormvariate(0, 0.8) for _ in range(count)]  # of the traffic
        self.active_queries: dict[str, int] = defaultdict(int)
        self.sent: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self.work: dict[int, int] = {}
        self.generations = [0] * count
        self.warm_engines = [engine(f"warm{n}") for n in range(warm)]
        self.cold_engines: list[api.EngineEntry] = []
        self.policies: list[RoutingPolicy] = []
        for me in range(count):
            self.policies.append(self.gateway(me))
            self.start_policy(me)

    def gateway(self, me: int) -> RoutingPolicy:
        classes = [query_class(f"c{number}") for number in range(len(WORK_US_AND_SHARE))]
        given: dict[str, Any] = {"kind_cores": {"k8": self.cores}, "peers_allowed": self.peer_messages}
        given |= {
            "tip_multiple": OVERLOAD_MULTIPLE,
            "tip_after_us": OVERLOAD_WINDOW_US,
            "start_capacity": INITIAL_CAPACITY_SHARE,
            "cold_us": WARMUP_US,
        }
        return RoutingPolicy(
            settings(*classes, fleet_size=self.count, local_number=me, **given), me, self.now
        )

    def start_policy(self, me: int) -> None:
        self.perform_actions(me, self.policies[me].start())
        self.handle_event(
            me, api.EngineListReceived(api.ListKind.CACHED, (*self.warm_engines, *self.cold_engines))
        )

    def restart_policy(self, me: int) -> None:
        self.generations[me] += 1
        self.policies[me] = self.gateway(me)
        self.start_policy(me)

    def at(self, when: int, what: Callable[[], None]) -> None:
        self.numbered += 1
        heapq.heappush(self.event_queue, (when, self.numbered, what))

    def handle_event(self, me: int, event: api.Event, life: int | None = None) -> None:
        if life in (None, self.generations[me]):
            self.perform_actions(me, self.policies[me].handle(self.now, event))

    def perform_actions(self, me: int, actions: list[api.Action]) -> None:
        life, now = self.generations[me], self.now
        for action in actions:
            match action:
                case api.SendAttempt(query, name):
                    self.sent[name].append((now, self.work[query]))
                    self.active_queries[name] += 1
                    took = int(self.work[query] * self.random.uniform(1.0, 1.6))
                    self.at(now + took, lambda q=query, n=name, t=took: self.end(me, q, n, t, life))  # type: ignore[misc]
                case api.SetTimer(token, when):
                    self.at(when, lambda t=token: self.handle_event(me, api.TimerFired(t), life))  # type: ignore[misc]
                case api.SendProbe(name):
                    self.at(now + 2000, lambda n=name: self.finish_probe(me, n, life))  # type: ignore[misc]
                case api.SendPeerMessage(_, payload):
                    self.at(now + 10_000, partial(self.broadcast, me, api.PeerMessageReceived(me, payload)))

    def broadcast(self, me: int, told: api.PeerMessageReceived) -> None:
        for other in range(self.count):
            if other != me:
                self.handle_event(other, told)

    def finish_probe(self, me: int, name: str, life: int) -> None:
        report = api.LoadReport(
            None, 0.0 if self.reports_no_load else float(self.active_queries[name]), 0.0, None
        )
        self.handle_event(me, api.ProbeFinished(name, api.Outcome.OK, 2000, report), life)

    def end(self, me: int, query: int, name: str, took: int, life: int) -> None:
        self.active_queries[name] -= 1
        ended = api.AttemptFinished(
            query, 0, name, api.Outcome.OK, took, True, self.work[query] / 1000, None, None
        )
        self.handle_event(me, ended, life)

    def ask(self, query: int) -> None:
        kind = self.random.choices(range(len(WORK_US_AND_SHARE)), [part for _, part in WORK_US_AND_SHARE])[0]
        self.work[query] = WORK_US_AND_SHARE[kind][0]
        me = self.random.choices(range(self.count), self.traffic_shares)[0]
        give_up, cost = self.now + 10 * SECOND, float(self.work[query])
        self.handle_event(
            me, api.QueryArrived(query, f"c{kind}", give_up, cost, None, None, None, None, False)
        )

    def run(self, seconds: int, rate: float, colds: int, restarts: bool) -> None:
        start, ends = self.now + 4 * SECOND, self.now + seconds * SECOND
        self.cold_engines = [engine(f"cold{n}", started_us=start) for n in range(colds)]
        for me in range(self.count):
            told = start + self.random.randrange(300_000)
            event = api.EngineListReceived(api.ListKind.DELTA, tuple(self.cold_engines))
            self.at(told, lambda m=me, e=event: self.handle_event(m, e))  # type: ignore[misc]
            if restarts and me % 2:
                self.at(told + self.random.randrange(4 * SECOND), lambda m=me: self.restart_policy(m))  # type: ignore[misc]
        when, query = self.now, 0
        while (when := when + int(self.random.expovariate(rate) * SECOND)) < ends:
            query += 1
            self.at(when, lambda q=query: self.ask(q))  # type: ignore[misc]
        while self.event_queue and self.event_queue[0][0] < ends:
            self.now, _, what = heapq.heappop(self.event_queue)
            what()

    def worst_excess(self) -> float:
        """The worst window of any cold engine: beyond N, as a share of what is chance."""
        worst = -math.inf
        for item in self.cold_engines:
            started, sent = item.started_us or 0, self.sent[item.engine]
            for at, _ in sent:
                age = min(1.0, (at - started) / WARMUP_US)
                able = (
                    INITIAL_CAPACITY_SHARE + (1 - INITIAL_CAPACITY_SHARE) * age**2
                )  # what it can do for sure when the window begins
                bears = OVERLOAD_MULTIPLE * able * self.cores * OVERLOAD_WINDOW_US / MEAN_WORK_US
                came = sum(work for then, work in sent if at <= then < at + OVERLOAD_WINDOW_US) / MEAN_WORK_US
                if age < 1:
                    worst = max(worst, (came - bears) / (2 * math.sqrt(bears) + 2))
        return worst


@pytest.mark.parametrize(("talk", "blind"), [(False, False), (True, False), (False, True)])
@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("count", [3, 20, 30])
@pytest.mark.parametrize(("cores", "warm"), [(16.0, 1), (16.0, 0), (2.0, 0)])
def test_all_gateways_together_stay_within_a_cold_engines_budget(
    count: int, restarts: bool, cores: float, warm: int, talk: bool, blind: bool
) -> None:
    world = Simulation(count, cores, seed=count, talk=talk, warm=warm, blind=blind)
    world.run(9, 25.0 * cores, colds=2, restarts=restarts)
    assert (
        sum(len(world.sent[item.engine]) for item in world.cold_engines) > 10
    )  # it is not merely left alone
    assert world.worst_excess() <= 1.0


def test_two_hundred_gateways_stay_within_the_cold_budget() -> None:
    world = Simulation(200, 16.0, seed=200, talk=False, warm=1, blind=True)
    world.run(8, 400.0, colds=2, restarts=False)
    assert world.worst_excess() <= 1.0
