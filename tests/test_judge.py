"""The judge in simulated time: what it calls, when, and what it leaves alone."""

from random import Random

import pytest

from whintrail import interface as api
from whintrail.timeline.core import Timeline
from whintrail.timeline.judge import Thresholds
from whintrail.timeline.kinds import Happening, Verdict

from .helpers import engine

SECOND = 1_000_000
START = 1_790_000_000 * SECOND
TICK = SECOND // 4


class Fleet:
    """Engines that answer after a scattered time; `faults` change what one does."""

    def __init__(self, engines: int, rate: float, seed: int = 1) -> None:
        self.timeline = Timeline(4 << 20, 300 * SECOND, Thresholds(), ("short", "long"), 15 * SECOND)
        self.names = [f"e{number}" for number in range(engines)]
        self.rate, self.random, self.now = rate, Random(seed), START
        self.stalled: set[str] = set()
        self.factor: dict[str, float] = {}
        self.failing: dict[str, float] = {}
        self.all_factor = self.surge = 1.0
        self.heavy = 0.0
        self.answers: list[tuple[int, int, str, int]] = []  # time, query, engine, sent
        self.queries = 0
        self.found: list[Happening] = []
        entries = tuple(engine(name) for name in self.names)
        self.timeline.listed(self.now, api.EngineList(api.ListKind.CACHED, entries))

    def run(self, seconds: float) -> list[Happening]:
        """What was called in that time."""
        before, until = len(self.found), self.now + int(seconds * SECOND)
        while self.now < until:
            self.now += TICK
            for _ in range(self._count()):
                self._ask(self.now - self.random.randrange(TICK))
            self.answers.sort()
            late = []
            while self.answers and self.answers[0][0] <= self.now:
                at, query, name, sent = self.answers.pop(0)
                if name in self.stalled:
                    late.append((self.now + TICK, query, name, sent))
                    continue
                bad = self.random.random() < self.failing.get(name, 0.0)
                outcome = api.Outcome.ERROR if bad else api.Outcome.OK
                self.timeline.ended(at, name, query, 0, outcome, at - sent)
            self.answers += late
            self.found += self.timeline.tick(self.now)
        return self.found[before:]

    def _count(self) -> int:
        mean = self.rate * self.surge * TICK / SECOND
        return int(mean) + (self.random.random() < mean % 1)

    def _ask(self, at: int) -> None:
        name = self.random.choice(self.names)
        self.queries += 1
        estimate = 100_000 * self.random.lognormvariate(-0.3, 0.8)
        if self.random.random() < self.heavy:
            estimate *= 20
        self.timeline.sent(at, name, self.queries, 0, "short", estimate)
        crowd = max(1.0, self.surge * 0.8) * self.all_factor * self.factor.get(name, 1.0)
        took = int(estimate * self.random.lognormvariate(0, 0.6) * crowd) + 500
        self.answers.append((at + took, self.queries, name, at))


def begins(found: list[Happening], verdict: Verdict) -> list[Happening]:
    return [h for h in found if h.begins and h.verdict is verdict]


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("surge", [1.0, 4.0])
def test_a_stall_is_called_within_three_seconds_also_in_a_surge(seed: int, surge: float) -> None:
    fleet = Fleet(8, 80.0, seed)
    assert fleet.run(15) == []
    fleet.surge = surge
    fleet.stalled.add("e3")
    at = fleet.now
    (called,) = fleet.run(6)
    assert (called.engine, called.verdict, called.begins) == ("e3", Verdict.STALLED, True)
    assert called.at_us - at <= 3 * SECOND
    assert abs(called.since_us - at) <= SECOND
    assert called.evidence["peers_answering"] >= 4
    fleet.stalled.clear()
    thawed = fleet.now
    (ended,) = [h for h in fleet.run(3) if h.verdict is Verdict.STALLED]
    assert not ended.begins and abs(ended.since_us - thawed) <= SECOND


def test_a_stall_of_an_engine_that_gets_one_request_a_second_is_called() -> None:
    delays = []
    for seed in range(5):
        fleet = Fleet(8, 8.0, seed)
        assert fleet.run(40) == []
        fleet.stalled.add("e1")
        at = fleet.now
        found = begins(fleet.run(14), Verdict.STALLED)
        assert [h.engine for h in found] == ["e1"]
        delays.append((found[0].at_us - at) / SECOND)
    assert sorted(delays)[2] <= 6.0


@pytest.mark.parametrize("seed", range(5))
def test_an_engine_five_times_slower_is_called_and_its_end_too(seed: int) -> None:
    fleet = Fleet(8, 80.0, seed)
    fleet.run(15)
    fleet.factor["e5"] = 5.0
    at = fleet.now
    found = fleet.run(8)
    assert [(h.engine, h.verdict) for h in found] == [("e5", Verdict.SLOW)]
    assert found[0].at_us - at <= 5 * SECOND and abs(found[0].since_us - at) <= 2 * SECOND
    assert found[0].evidence["times_peers"] > 2 and found[0].evidence["times_before"] > 2
    fleet.factor.clear()
    (ended,) = fleet.run(8)
    assert not ended.begins and ended.evidence["lasted_s"] > 5


def test_slow_from_the_start_is_that_engines_usual() -> None:
    fleet = Fleet(8, 80.0)
    fleet.factor["e5"] = 2.0  # an older machine
    fleet.run(20)
    fleet.factor["e5"] = 2.6
    assert fleet.run(20) == []


@pytest.mark.parametrize("seed", range(4))
def test_what_befalls_all_alarms_for_none(seed: int) -> None:
    fleet = Fleet(12, 120.0, seed)
    fleet.run(15)
    fleet.surge = 4.0
    assert fleet.run(10) == []
    fleet.surge, fleet.all_factor = 1.0, 3.0
    assert fleet.run(10) == []
    fleet.all_factor, fleet.heavy = 1.0, 0.03
    assert fleet.run(10) == []
    fleet.stalled.update(fleet.names)  # everything is silent: what they share, not one of them
    assert fleet.run(5) == []


def test_five_requests_a_second_alarm_for_none() -> None:
    for seed in range(4):
        assert Fleet(8, 5.0, seed).run(120) == []


def test_failing_is_held_against_the_fleet_and_ends() -> None:
    fleet = Fleet(8, 80.0)
    fleet.failing = {name: 0.1 for name in fleet.names}
    assert fleet.run(10) == []
    fleet.failing["e2"] = 0.8
    (called,) = fleet.run(5)
    assert (called.engine, called.verdict) == ("e2", Verdict.FAILING)
    fleet.failing["e2"] = 0.1
    (ended,) = fleet.run(10)
    assert not ended.begins


def test_flapping_and_cold_again_and_their_ends() -> None:
    fleet = Fleet(4, 10.0)
    fleet.run(5)
    for _ in range(3):
        for state in (api.EngineState.GONE, api.EngineState.READY):
            fleet.timeline.listed(fleet.now, api.EngineList(api.ListKind.DELTA, (engine("e0", state=state),)))
            fleet.run(1)
    assert [h.engine for h in begins(fleet.found, Verdict.FLAPPING)] == ["e0"]
    entry = engine("e1", started_us=fleet.now - SECOND)
    fleet.timeline.listed(fleet.now, api.EngineList(api.ListKind.DELTA, (entry,)))
    (cold,) = begins(fleet.run(1), Verdict.COLD_AGAIN)
    assert cold.engine == "e1" and cold.evidence["cold_for_s"] == pytest.approx(14)
    ends = [h for h in fleet.run(80) if not h.begins]
    assert {(h.engine, h.verdict) for h in ends} == {("e0", Verdict.FLAPPING), ("e1", Verdict.COLD_AGAIN)}


def test_refused_connections_are_no_stall_and_a_broken_link_is_one_error() -> None:
    fleet = Fleet(8, 80.0)
    fleet.run(10)
    for query in range(40):
        fleet.timeline.sent(fleet.now, "e2", 10**6 + query, 0, "short", 1e5)
    for query in range(40):
        fleet.timeline.ended(fleet.now, "e2", 10**6 + query, 0, api.Outcome.RESET, SECOND)
    assert fleet.run(3) == []


def test_a_clock_that_steps_back_calls_nothing() -> None:
    fleet = Fleet(8, 80.0)
    fleet.run(10)
    fleet.now -= 3600 * SECOND
    assert fleet.run(10) == []
    times = [row.at_us for row in fleet.timeline.record.rows()]
    assert times == sorted(times)


def test_an_address_reused_by_another_engine_is_another_engine() -> None:
    fleet = Fleet(4, 40.0)
    fleet.run(10)
    changes = (engine("e0", state=api.EngineState.GONE), engine("e0-again"))
    fleet.timeline.listed(fleet.now, api.EngineList(api.ListKind.DELTA, changes))
    fleet.names[0] = "e0-again"
    fleet.factor["e0-again"] = 5.0
    (called,) = fleet.run(8)
    assert called.engine == "e0-again"
    assert {row.engine for row in fleet.timeline.record.rows("e0-again")} == {"e0-again"}
    assert "e0" in fleet.timeline.record.tracks  # what it went through is still there to see
