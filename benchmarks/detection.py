"""Anomaly detection methods in simulated time: python -m benchmarks.detection [--seeds 200] [--case NAME]

Simulates one gateway's view of 200 engines: the load of other gateways follows a random walk, answer times
are random, each query has an estimate, the choice of engine prefers less loaded ones, and silent attempts are
given up. A case injects one fault (or none) at 12 s for 12 s. For each method it prints the delay of the
first alarm (median, p95), the faults missed and the false alarms for each engine-hour. All methods see the
same traffic.
"""

import argparse
import os
from collections import defaultdict, deque
from dataclasses import dataclass
from heapq import heappop, heappush
from math import log, sqrt
from multiprocessing import Pool
from random import Random
from statistics import median

from whintrail import interface as api
from whintrail.timeline.baseline import KindBaseline
from whintrail.timeline.detector import Detector, Thresholds
from whintrail.timeline.events import Detection, Verdict

SECOND_US = 1_000_000
CORES_PER_ENGINE = 16
FAULT_BEGIN_S = 12.0
FAULT_LENGTH_S = 12.0
END_S = 28.0
STALL_METHODS = ("detector (stall)", "silence 1 s", "silence 3 s", "phi accrual 8")
REPEAT_ALARM_S = 30.0  # repeated false alarms for an engine within it count once
QUERY_MIX = [(0, 100_000.0, 0.8), (1, 700_000.0, 0.2)]  # class, mean estimate in us, share


@dataclass(frozen=True)
class Case:
    fault: str = ""  # "stall", "slow" or none
    rate: float = 1000.0
    engines: int = 200
    surge: float = 1.0  # factor of all load, from FAULT_BEGIN_S for FAULT_LENGTH_S
    slowdown: float = 1.0  # of the whole fleet
    heavy_share: float = 0.0  # share of queries that cost 20 times as much; the estimates show it


CASES = {
    "stall": Case("stall"),
    "slow 5x": Case("slow"),
    "stall, one request/s an engine": Case("stall", rate=200.0),
    "slow 5x, one request/s an engine": Case("slow", rate=200.0),
    "stall in a fourfold surge": Case("stall", surge=4.0),
    "slow 5x in a fourfold surge": Case("slow", surge=4.0),
    "fourfold surge alone": Case(surge=4.0),
    "fleet 3x slower alone": Case(slowdown=3.0),
    "burst of heavy queries alone": Case(heavy_share=0.02),
    "five requests/s, 8 engines, nothing": Case(rate=5.0, engines=8),
}


class DetectionMethod:
    """A detection method: it receives all events, and each tick returns the engines that it finds faulty."""

    name, fault = "", ""

    def record_sent(self, now: int, engine: int, key: int, class_code: int, estimate_us: float) -> None: ...
    def record_ended(
        self,
        now: int,
        engine: int,
        key: int,
        answered: bool,
        class_code: int,
        estimate_us: float,
        elapsed_us: int,
    ) -> None: ...
    def record_load(self, engine: int, load: float) -> None: ...
    def tick(self, now: int) -> list[int]:
        return []


class TimelineDetector(DetectionMethod):
    """The detector of whintrail.timeline, for one verdict.

    Two of them share a detector and its `last_detections`; the one with `drives_detector` passes the events.
    """

    def __init__(
        self, detector: Detector, fault: str, detections: list[Detection], drives_detector: bool
    ) -> None:
        self.last_detections = detections  # of the last tick, with all verdicts
        self.detector, self.fault, self.name, self.drives_detector = (
            detector,
            fault,
            f"detector ({fault})",
            drives_detector,
        )
        self.verdict = Verdict.STALLED if fault == "stall" else Verdict.SLOW

    def record_sent(self, now: int, engine: int, key: int, class_code: int, estimate_us: float) -> None:
        if self.drives_detector:
            self.detector.record_sent(now, str(engine), key, 0, class_code, estimate_us)

    def record_ended(
        self,
        now: int,
        engine: int,
        key: int,
        answered: bool,
        class_code: int,
        estimate_us: float,
        elapsed_us: int,
    ) -> None:
        if self.drives_detector:
            outcome = api.Outcome.OK if answered else api.Outcome.CANCELLED
            self.detector.record_ended(now, str(engine), key, 0, outcome, elapsed_us)

    def record_load(self, engine: int, load: float) -> None:
        if self.drives_detector:
            self.detector.record_load(str(engine), load)

    def tick(self, now: int) -> list[int]:
        if self.drives_detector:
            self.detector.tick(now)
            self.last_detections[:], self.detector.detections = self.detector.detections, []
        return [
            int(detection.engine)
            for detection in self.last_detections
            if detection.begins and detection.verdict is self.verdict
        ]


class FixedSilence(DetectionMethod):
    """Outstanding attempts and no answer for a fixed time."""

    fault = "stall"

    def __init__(self, limit_s: float) -> None:
        self.name, self.limit_us = f"silence {limit_s:g} s", int(limit_s * SECOND_US)
        self.outstanding: defaultdict[int, dict[int, int]] = defaultdict(dict)
        self.last_answer_us: defaultdict[int, int] = defaultdict(int)

    def record_sent(self, now: int, engine: int, key: int, class_code: int, estimate_us: float) -> None:
        self.outstanding[engine][key] = now

    def record_ended(
        self,
        now: int,
        engine: int,
        key: int,
        answered: bool,
        class_code: int,
        estimate_us: float,
        elapsed_us: int,
    ) -> None:
        self.outstanding[engine].pop(key, None)
        if answered:
            self.last_answer_us[engine] = now

    def tick(self, now: int) -> list[int]:
        return [
            engine
            for engine, attempts in self.outstanding.items()
            if attempts
            and now - max(self.last_answer_us[engine], next(iter(attempts.values()))) > self.limit_us
        ]


class PhiAccrual(FixedSilence):
    """Phi accrual (Hayashibara et al., 2004) with exponentially distributed times between answers."""

    def __init__(self, phi: float) -> None:
        super().__init__(0.0)
        self.name, self.phi = f"phi accrual {phi:g}", phi
        self.mean_gap_us: dict[int, float] = {}

    def record_ended(
        self,
        now: int,
        engine: int,
        key: int,
        answered: bool,
        class_code: int,
        estimate_us: float,
        elapsed_us: int,
    ) -> None:
        if answered and self.last_answer_us[engine]:
            gap = now - self.last_answer_us[engine]
            self.mean_gap_us[engine] = self.mean_gap_us.get(engine, gap) * 0.95 + 0.05 * gap
        super().record_ended(now, engine, key, answered, class_code, estimate_us, elapsed_us)

    def tick(self, now: int) -> list[int]:
        return [
            engine
            for engine, attempts in self.outstanding.items()
            if attempts
            and engine in self.mean_gap_us
            and (now - max(self.last_answer_us[engine], next(iter(attempts.values()))))
            / self.mean_gap_us[engine]
            / log(10)
            > self.phi
        ]


class LatencyMethod(DetectionMethod):
    """Methods on the log ratio of time to estimate; `update` returns whether an answer raises an alarm."""

    fault = "slow"

    def __init__(self) -> None:
        self.baseline, self.alarms = KindBaseline(), list[int]()

    def record_ended(
        self,
        now: int,
        engine: int,
        key: int,
        answered: bool,
        class_code: int,
        estimate_us: float,
        elapsed_us: int,
    ) -> None:
        if (
            answered
            and (residual := self.baseline.residual(class_code, estimate_us, elapsed_us, 0.0)) is not None
        ):
            scale = self.baseline.classes[class_code].scale
            if self.update(engine, residual, scale):
                self.alarms.append(engine)
            self.baseline.classes[class_code].update(
                self.baseline.classes[class_code].location + residual * scale
            )

    def update(self, engine: int, residual: float, scale: float) -> bool:
        raise NotImplementedError

    def tick(self, now: int) -> list[int]:
        found, self.alarms = self.alarms, []
        return found


class WindowMean(LatencyMethod):
    """The mean of the last 20 answers compared with the fleet's."""

    name = "mean of 20 > 2.5x"

    def __init__(self) -> None:
        super().__init__()
        self.last_ratios: defaultdict[int, deque[float]] = defaultdict(lambda: deque(maxlen=20))

    def update(self, engine: int, residual: float, scale: float) -> bool:
        last = self.last_ratios[engine]
        last.append(residual * scale)
        return bool(len(last) == 20 and sum(last) / 20 > log(2.5))


class PageHinkley(LatencyMethod):
    """Each engine compared with its own mean, without peers."""

    name = "Page-Hinkley"

    def __init__(self) -> None:
        super().__init__()
        self.mean: defaultdict[int, float] = defaultdict(float)
        self.count: defaultdict[int, int] = defaultdict(int)
        self.sum: defaultdict[int, float] = defaultdict(float)

    def update(self, engine: int, residual: float, scale: float) -> bool:
        value = residual * scale
        self.count[engine] += 1
        self.mean[engine] += (value - self.mean[engine]) / self.count[engine]
        if self.count[engine] < 20:
            return False
        self.sum[engine] = max(0.0, self.sum[engine] + value - self.mean[engine] - log(2.5) / 2)
        return self.sum[engine] > 8


class EwmaMethod(LatencyMethod):
    """An exponentially weighted mean compared with the fleet's location and scale."""

    name = "EWMA 4 sigma"

    def __init__(self) -> None:
        super().__init__()
        self.mean: defaultdict[int, float] = defaultdict(float)

    def update(self, engine: int, residual: float, scale: float) -> bool:
        self.mean[engine] += 0.15 * (residual - self.mean[engine])
        return self.mean[engine] > 4 * sqrt(0.15 / 1.85)


class PlainCusum(LatencyMethod):
    """CUSUM on the fleet's residuals, not confirmed by the peers' present and the engine's own past."""

    name = "CUSUM, unconfirmed"

    def __init__(self) -> None:
        super().__init__()
        self.sum: defaultdict[int, float] = defaultdict(float)

    def update(self, engine: int, residual: float, scale: float) -> bool:
        shift = min(1.5, log(2.5) / scale)
        self.sum[engine] = min(24.0, max(0.0, self.sum[engine] + shift * (residual - shift / 2)))
        return self.sum[engine] >= 12


def detection_methods() -> list[DetectionMethod]:
    detector, detections = Detector(Thresholds()), list[Detection]()
    first, second = (
        TimelineDetector(detector, "stall", detections, True),
        TimelineDetector(detector, "slow", detections, False),
    )
    return [
        first,
        second,
        FixedSilence(1.0),
        FixedSilence(3.0),
        PhiAccrual(8.0),
        WindowMean(),
        PageHinkley(),
        EwmaMethod(),
        PlainCusum(),
    ]


@dataclass
class Tally:
    """The result of one method in one simulation: delay of the first true alarm, and false alarms."""

    delay_s: float | None
    false_alarms: int


def simulate(name: str, seed: int) -> dict[str, Tally]:
    case, rng = CASES[name], Random(f"{name}-{seed}")
    engine_count, faulty = case.engines, rng.randrange(case.engines)
    methods = detection_methods()
    detector = methods[0].detector  # type: ignore[attr-defined]
    for engine in range(engine_count):
        entry = api.EngineEntry(str(engine), "k", "z", 0, 1.0, api.EngineState.READY, None)
        detector.update_engine(0, engine, entry)
    foreign_load = [
        rng.uniform(0.3, 0.8) for _ in range(engine_count)
    ]  # load of other gateways, for each core
    local_attempts = [0] * engine_count
    backoff_until_us = [0] * engine_count
    attempts: dict[int, tuple[int, int, int, float]] = {}
    events: list[tuple[int, int, int]] = []  # time, kind, key: 0 answer, 1 give up
    delays_s: dict[str, float] = {}
    false_alarms: defaultdict[str, int] = defaultdict(int)
    last_alarm_us: dict[tuple[str, int], float] = {}
    now, key, next_tick_us, probe_round = 0, 0, 0, 0
    begin_us, end_us = int(FAULT_BEGIN_S * SECOND_US), int((FAULT_BEGIN_S + FAULT_LENGTH_S) * SECOND_US)
    gauss, lognormal = rng.gauss, rng.lognormvariate
    while now < END_S * SECOND_US:
        is_fault_active = begin_us <= now < end_us
        now += int(rng.expovariate(case.rate * (case.surge if is_fault_active else 1.0)) * SECOND_US) + 1
        while next_tick_us <= now or (events and events[0][0] <= now):
            if events and events[0][0] <= next_tick_us:
                time_us, event_kind, event_key = heappop(events)
                if event_key not in attempts:
                    continue
                engine, sent_us, class_code, estimate_us = attempts[event_key]
                stalled = case.fault == "stall" and engine == faulty and begin_us <= time_us < end_us
                if event_kind == 0 and stalled:
                    heappush(events, (end_us + rng.randrange(50_000), 0, event_key))
                    continue
                del attempts[event_key]
                local_attempts[engine] -= 1
                for method in methods:
                    method.record_ended(
                        time_us,
                        engine,
                        event_key,
                        event_kind == 0,
                        class_code,
                        estimate_us,
                        time_us - sent_us,
                    )
                if event_kind == 1:  # given up: the routing policy backs off from the engine
                    backoff_until_us[engine] = time_us + SECOND_US
                continue
            time_us, next_tick_us = next_tick_us, next_tick_us + SECOND_US // 4
            probe_round += 1
            surge = case.surge if begin_us <= time_us < end_us else 1.0
            for engine in range(probe_round % 8, engine_count, 8):
                foreign_load[engine] = min(1.2, max(0.1, foreign_load[engine] + gauss(0, 0.05)))
                load = local_attempts[engine] + CORES_PER_ENGINE * min(3.0, foreign_load[engine] * surge)
                for method in methods:
                    method.record_load(engine, load / CORES_PER_ENGINE)
            for method in methods:
                for engine in method.tick(time_us):
                    is_true_alarm = (
                        engine == faulty
                        and case.fault == method.fault
                        and begin_us <= time_us < end_us + 2 * SECOND_US
                    )
                    if is_true_alarm:
                        delays_s.setdefault(method.name, (time_us - begin_us) / SECOND_US)
                    elif (
                        time_us - last_alarm_us.get((method.name, engine), -1e18) > REPEAT_ALARM_S * SECOND_US
                    ):
                        # An alarm for an engine with the other kind of fault is not false.
                        if not (engine == faulty and case.fault and time_us >= begin_us):
                            false_alarms[method.name] += 1
                            last_alarm_us[method.name, engine] = time_us
        first_choice, second_choice = rng.randrange(engine_count), rng.randrange(engine_count)
        engine = (
            first_choice
            if local_attempts[first_choice] + 16 * foreign_load[first_choice]
            <= local_attempts[second_choice] + 16 * foreign_load[second_choice]
            else second_choice
        )
        if backoff_until_us[engine] > now:
            engine = second_choice if engine == first_choice else first_choice
            if backoff_until_us[engine] > now:
                continue
        class_code, mean_estimate_us, _ = QUERY_MIX[0] if rng.random() < QUERY_MIX[0][2] else QUERY_MIX[1]
        estimate_us = mean_estimate_us * lognormal(-0.32, 0.8)
        heavy = is_fault_active and rng.random() < case.heavy_share
        if heavy:
            estimate_us *= 20
        work_us = estimate_us * lognormal(0, 0.6)
        if class_code == 1 and rng.random() < 0.08:
            work_us *= rng.uniform(8, 20)  # a bad plan
        surge = case.surge if is_fault_active else 1.0
        load_factor = max(
            1.0, min(3.0, foreign_load[engine] * surge) + local_attempts[engine] / CORES_PER_ENGINE
        ) * (case.slowdown if is_fault_active else 1.0)
        slow_factor = 5.0 if case.fault == "slow" and engine == faulty and is_fault_active else 1.0
        key += 1
        elapsed_us = int(work_us * load_factor * slow_factor) + 500
        attempts[key] = engine, now, class_code, estimate_us
        local_attempts[engine] += 1
        heappush(events, (now + elapsed_us, 0, key))
        if elapsed_us > 8 * SECOND_US or (case.fault == "stall" and engine == faulty):
            patience_us = max(SECOND_US, int(6 * estimate_us * load_factor))
            heappush(events, (now + patience_us + SECOND_US // 2, 1, key))
        for method in methods:
            method.record_sent(now, engine, key, class_code, estimate_us)
    return {method.name: Tally(delays_s.get(method.name), false_alarms[method.name]) for method in methods}


def simulate_job(job: tuple[str, int]) -> tuple[str, dict[str, Tally]]:
    return job[0], simulate(*job)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--case", choices=list(CASES))
    arguments = parser.parse_args()
    names = [arguments.case] if arguments.case else list(CASES)
    with Pool(os.cpu_count()) as pool:
        for name in names:
            tallies = [
                tally
                for _, tally in pool.imap_unordered(
                    simulate_job, [(name, seed) for seed in range(arguments.seeds)]
                )
            ]
            case = CASES[name]
            hours = len(tallies) * case.engines * END_S / 3600
            print(f"{name}: {len(tallies)} seeds, {case.engines} engines, {hours:.0f} engine-hours")
            for method in tallies[0]:
                print_summary(name, method, [tally[method] for tally in tallies], case, hours)


def print_summary(name: str, method: str, tallies: list[Tally], case: Case, hours: float) -> None:
    false_alarms = sum(tally.false_alarms for tally in tallies)
    summary = f"  {method:20} false {false_alarms:6} = {false_alarms / hours:8.3f} an engine-hour"
    delays = sorted(tally.delay_s for tally in tallies if tally.delay_s is not None)
    is_applicable = (case.fault == "stall") == (method in STALL_METHODS)
    if case.fault and is_applicable:
        missed = len(tallies) - len(delays)
        if delays:
            p95 = delays[min(len(delays) - 1, int(len(delays) * 0.95))]
            summary += f"   delay median {median(delays):5.2f} s p95 {p95:5.2f} s"
        summary += f"   missed {missed} of {len(tallies)}"
    print(summary, flush=True)


if __name__ == "__main__":
    main()
