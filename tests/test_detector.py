"""The detector in simulated time: what it detects, how soon, and what it must not report."""

from random import Random

import pytest

from whintrail import interface as api
from whintrail.timeline.core import Timeline
from whintrail.timeline.detector import Thresholds
from whintrail.timeline.events import Detection, Verdict

from .helpers import engine

SECOND_US = 1_000_000
START_US = 1_790_000_000 * SECOND_US
TICK_US = SECOND_US // 4


class SimulatedFleet:
    """Engines with random answer times. Its attributes set the faults of single engines and of all."""

    def __init__(self, engines: int, rate: float, seed: int = 1) -> None:
        self.timeline = Timeline(4 << 20, 300 * SECOND_US, Thresholds(), ("short", "long"), 15 * SECOND_US)
        self.names = [f"e{number}" for number in range(engines)]
        self.rate, self.random, self.now = rate, Random(seed), START_US
        self.stalled: set[str] = set()
        self.slow_factors: dict[str, float] = {}
        self.error_shares: dict[str, float] = {}
        self.fleet_factor = self.load_factor = 1.0
        self.heavy_share = 0.0
        self.answers: list[tuple[int, int, str, int]] = []  # time, query, engine, sent
        self.queries = 0
        self.detections: list[Detection] = []
        entries = tuple(engine(name) for name in self.names)
        self.timeline.record_engine_list(self.now, api.EngineListReceived(api.ListKind.CACHED, entries))

    def advance(self, seconds: float) -> list[Detection]:
        """Run the fleet and return the detections of that time."""
        known, end_us = len(self.detections), self.now + int(seconds * SECOND_US)
        while self.now < end_us:
            self.now += TICK_US
            for _ in range(self._arrivals()):
                self._send_query(self.now - self.random.randrange(TICK_US))
            self.answers.sort()
            postponed = []
            while self.answers and self.answers[0][0] <= self.now:
                at_us, query, name, sent_us = self.answers.pop(0)
                if name in self.stalled:
                    postponed.append((self.now + TICK_US, query, name, sent_us))
                    continue
                fails = self.random.random() < self.error_shares.get(name, 0.0)
                outcome = api.Outcome.ERROR if fails else api.Outcome.OK
                self.timeline.record_ended(at_us, name, query, 0, outcome, at_us - sent_us)
            self.answers += postponed
            self.detections += self.timeline.tick(self.now)
        return self.detections[known:]

    def _arrivals(self) -> int:
        mean_arrivals = self.rate * self.load_factor * TICK_US / SECOND_US
        return int(mean_arrivals) + (self.random.random() < mean_arrivals % 1)

    def _send_query(self, at_us: int) -> None:
        name = self.random.choice(self.names)
        self.queries += 1
        estimate_us = 100_000 * self.random.lognormvariate(-0.3, 0.8)
        if self.random.random() < self.heavy_share:
            estimate_us *= 20
        self.timeline.record_sent(at_us, name, self.queries, 0, "short", estimate_us)
        slowdown = max(1.0, self.load_factor * 0.8) * self.fleet_factor * self.slow_factors.get(name, 1.0)
        took_us = int(estimate_us * self.random.lognormvariate(0, 0.6) * slowdown) + 500
        self.answers.append((at_us + took_us, self.queries, name, at_us))


def begun(detections: list[Detection], verdict: Verdict) -> list[Detection]:
    return [detection for detection in detections if detection.begins and detection.verdict is verdict]


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("surge", [1.0, 4.0])
def test_a_stall_is_detected_within_three_seconds_also_in_a_surge(seed: int, surge: float) -> None:
    fleet = SimulatedFleet(8, 80.0, seed)
    assert fleet.advance(15) == []
    fleet.load_factor = surge
    fleet.stalled.add("e3")
    stalled_at_us = fleet.now
    (begin,) = fleet.advance(6)
    assert (begin.engine, begin.verdict, begin.begins) == ("e3", Verdict.STALLED, True)
    assert begin.at_us - stalled_at_us <= 3 * SECOND_US
    assert abs(begin.since_us - stalled_at_us) <= SECOND_US
    assert begin.evidence["peers_answering"] >= 4
    fleet.stalled.clear()
    resumed_at_us = fleet.now
    (end,) = [detection for detection in fleet.advance(3) if detection.verdict is Verdict.STALLED]
    assert not end.begins and abs(end.since_us - resumed_at_us) <= SECOND_US


def test_a_stall_of_an_engine_that_gets_one_request_a_second_is_detected() -> None:
    delays = []
    for seed in range(5):
        fleet = SimulatedFleet(8, 8.0, seed)
        assert fleet.advance(40) == []
        fleet.stalled.add("e1")
        stalled_at_us = fleet.now
        stalls = begun(fleet.advance(14), Verdict.STALLED)
        assert [detection.engine for detection in stalls] == ["e1"]
        delays.append((stalls[0].at_us - stalled_at_us) / SECOND_US)
    assert sorted(delays)[2] <= 6.0


@pytest.mark.parametrize("seed", range(5))
def test_an_engine_five_times_slower_and_its_recovery_are_detected(seed: int) -> None:
    fleet = SimulatedFleet(8, 80.0, seed)
    fleet.advance(15)
    fleet.slow_factors["e5"] = 5.0
    slow_at_us = fleet.now
    detections = fleet.advance(8)
    assert [(detection.engine, detection.verdict) for detection in detections] == [("e5", Verdict.SLOW)]
    assert (
        detections[0].at_us - slow_at_us <= 5 * SECOND_US
        and abs(detections[0].since_us - slow_at_us) <= 2 * SECOND_US
    )
    assert detections[0].evidence["times_peers"] > 2 and detections[0].evidence["times_before"] > 2
    fleet.slow_factors.clear()
    (end,) = fleet.advance(8)
    assert not end.begins and end.evidence["lasted_s"] > 5


def test_an_engine_that_is_slow_from_the_start_is_not_reported() -> None:
    fleet = SimulatedFleet(8, 80.0)
    fleet.slow_factors["e5"] = 2.0  # an older machine
    fleet.advance(20)
    fleet.slow_factors["e5"] = 2.6
    assert fleet.advance(20) == []


@pytest.mark.parametrize("seed", range(4))
def test_a_change_that_affects_all_engines_is_detected_on_none(seed: int) -> None:
    fleet = SimulatedFleet(12, 120.0, seed)
    fleet.advance(15)
    fleet.load_factor = 4.0
    assert fleet.advance(10) == []
    fleet.load_factor, fleet.fleet_factor = 1.0, 3.0
    assert fleet.advance(10) == []
    fleet.fleet_factor, fleet.heavy_share = 1.0, 0.03
    assert fleet.advance(10) == []
    fleet.stalled.update(fleet.names)  # all are silent, so the cause is common
    assert fleet.advance(5) == []


def test_five_requests_a_second_cause_no_detection() -> None:
    for seed in range(4):
        assert SimulatedFleet(8, 5.0, seed).advance(120) == []


def test_failing_is_judged_relative_to_the_fleet_and_ends() -> None:
    fleet = SimulatedFleet(8, 80.0)
    fleet.error_shares = {name: 0.1 for name in fleet.names}
    assert fleet.advance(10) == []
    fleet.error_shares["e2"] = 0.8
    (begin,) = fleet.advance(5)
    assert (begin.engine, begin.verdict) == ("e2", Verdict.FAILING)
    fleet.error_shares["e2"] = 0.1
    (end,) = fleet.advance(10)
    assert not end.begins


def test_flapping_and_cold_again_and_their_ends() -> None:
    fleet = SimulatedFleet(4, 10.0)
    fleet.advance(5)
    for _ in range(3):
        for state in (api.EngineState.REMOVED, api.EngineState.READY):
            fleet.timeline.record_engine_list(
                fleet.now, api.EngineListReceived(api.ListKind.DELTA, (engine("e0", state=state),))
            )
            fleet.advance(1)
    assert [detection.engine for detection in begun(fleet.detections, Verdict.FLAPPING)] == ["e0"]
    entry = engine("e1", started_us=fleet.now - SECOND_US)
    fleet.timeline.record_engine_list(fleet.now, api.EngineListReceived(api.ListKind.DELTA, (entry,)))
    (cold,) = begun(fleet.advance(1), Verdict.COLD_AGAIN)
    assert cold.engine == "e1" and cold.evidence["cold_for_s"] == pytest.approx(14)
    ends = [detection for detection in fleet.advance(80) if not detection.begins]
    assert {(detection.engine, detection.verdict) for detection in ends} == {
        ("e0", Verdict.FLAPPING),
        ("e1", Verdict.COLD_AGAIN),
    }


def test_refused_connections_are_no_stall_and_a_broken_link_is_one_error() -> None:
    fleet = SimulatedFleet(8, 80.0)
    fleet.advance(10)
    for query in range(40):
        fleet.timeline.record_sent(fleet.now, "e2", 10**6 + query, 0, "short", 1e5)
    for query in range(40):
        fleet.timeline.record_ended(fleet.now, "e2", 10**6 + query, 0, api.Outcome.RESET, SECOND_US)
    assert fleet.advance(3) == []


def test_a_clock_that_steps_back_causes_no_detection() -> None:
    fleet = SimulatedFleet(8, 80.0)
    fleet.advance(10)
    fleet.now -= 3600 * SECOND_US
    assert fleet.advance(10) == []
    times = [row.at_us for row in fleet.timeline.history.rows()]
    assert times == sorted(times)


def test_an_address_reused_by_another_engine_is_another_engine() -> None:
    fleet = SimulatedFleet(4, 40.0)
    fleet.advance(10)
    changes = (engine("e0", state=api.EngineState.REMOVED), engine("e0-again"))
    fleet.timeline.record_engine_list(fleet.now, api.EngineListReceived(api.ListKind.DELTA, changes))
    fleet.names[0] = "e0-again"
    fleet.slow_factors["e0-again"] = 5.0
    (detection,) = fleet.advance(8)
    assert detection.engine == "e0-again"
    assert {row.engine for row in fleet.timeline.history.rows("e0-again")} == {"e0-again"}
    assert "e0" in fleet.timeline.history.tracks  # its history is kept
