"""Ways to judge engines, in simulated time: python -m benchmarks.detection [--seeds 200] [--case NAME]

A fleet of 200 engines under a gateway's view: other gateways' load wanders on each, answer times scatter, an
estimate comes with each query, the draw prefers less loaded engines, silent attempts are given up. A case
injects one fault (or none) at 12 s for 12 s. For each way: delay of the first alarm (median, p95), faults
missed, and false alarms an engine-hour. All of them watch the same traffic.
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

SECOND_US, CORES_PER_ENGINE = 1_000_000, 16
FAULT_BEGIN_S, FAULT_LENGTH_S, END_S = 12.0, 12.0, 28.0
STALL_METHODS = ("judge (stall)", "silence 1 s", "silence 3 s", "phi accrual 8")
REPEAT_ALARM_S = 30.0  # an alarm for the same engine counts once in so long
QUERY_MIX = [(0, 100_000.0, 0.8), (1, 700_000.0, 0.2)]  # class, mean estimate in us, share


@dataclass(frozen=True)
class Case:
    fault: str = ""  # stall, slow, or none
    rate: float = 1000.0
    engines: int = 200
    surge: float = 1.0  # of all load, from BEGIN for LENGTH
    slowdown: float = 1.0  # the whole fleet
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
    """One way to judge: told what happens, answers a tick with engines it calls stalled or slow."""

    name, fault = "", ""

    def record_sent(self, now: int, e: int, key: int, cls: int, estimate: float) -> None: ...
    def record_ended(
        self, now: int, e: int, key: int, ok: bool, cls: int, estimate: float, us: int
    ) -> None: ...
    def record_load(self, e: int, load: float) -> None: ...
    def tick(self, now: int) -> list[int]:
        return []


class TimelineDetector(DetectionMethod):
    """The judge of whintrail.timeline, for one kind of verdict."""

    def __init__(self, judge: Detector, fault: str, told: list[Detection], first: bool) -> None:
        self.last_detections = told  # by the last tick, for both verdicts
        self.detector, self.fault, self.name, self.drives_detector = judge, fault, f"judge ({fault})", first
        self.verdict = Verdict.STALLED if fault == "stall" else Verdict.SLOW

    def record_sent(self, now: int, e: int, key: int, cls: int, estimate: float) -> None:
        if self.drives_detector:
            self.detector.record_sent(now, str(e), key, 0, cls, estimate)

    def record_ended(self, now: int, e: int, key: int, ok: bool, cls: int, estimate: float, us: int) -> None:
        if self.drives_detector:
            outcome = api.Outcome.OK if ok else api.Outcome.CANCELLED
            self.detector.record_ended(now, str(e), key, 0, outcome, us)

    def record_load(self, e: int, load: float) -> None:
        if self.drives_detector:
            self.detector.record_load(str(e), load)

    def tick(self, now: int) -> list[int]:
        if self.drives_detector:
            self.detector.tick(now)
            self.last_detections[:], self.detector.detections = self.detector.detections, []
        return [int(h.engine) for h in self.last_detections if h.begins and h.verdict is self.verdict]


class FixedSilence(DetectionMethod):
    """Attempts out, and no sign for a fixed time."""

    fault = "stall"

    def __init__(self, limit_s: float) -> None:
        self.name, self.limit_us = f"silence {limit_s:g} s", int(limit_s * SECOND_US)
        self.outstanding: defaultdict[int, dict[int, int]] = defaultdict(dict)
        self.last_answer_us: defaultdict[int, int] = defaultdict(int)

    def record_sent(self, now: int, e: int, key: int, cls: int, estimate: float) -> None:
        self.outstanding[e][key] = now

    def record_ended(self, now: int, e: int, key: int, ok: bool, cls: int, estimate: float, us: int) -> None:
        self.outstanding[e].pop(key, None)
        if ok:
            self.last_answer_us[e] = now

    def tick(self, now: int) -> list[int]:
        return [
            e
            for e, out in self.outstanding.items()
            if out and now - max(self.last_answer_us[e], next(iter(out.values()))) > self.limit_us
        ]


class PhiAccrual(FixedSilence):
    """Phi accrual (Hayashibara et al., 2004) with an exponential law of times between answers."""

    def __init__(self, phi: float) -> None:
        super().__init__(0.0)
        self.name, self.phi = f"phi accrual {phi:g}", phi
        self.mean_gap_us: dict[int, float] = {}

    def record_ended(self, now: int, e: int, key: int, ok: bool, cls: int, estimate: float, us: int) -> None:
        if ok and self.last_answer_us[e]:
            gap = now - self.last_answer_us[e]
            self.mean_gap_us[e] = self.mean_gap_us.get(e, gap) * 0.95 + 0.05 * gap
        super().record_ended(now, e, key, ok, cls, estimate, us)

    def tick(self, now: int) -> list[int]:
        return [
            e
            for e, out in self.outstanding.items()
            if out
            and e in self.mean_gap_us
            and (now - max(self.last_answer_us[e], next(iter(out.values())))) / self.mean_gap_us[e] / log(10)
            > self.phi
        ]


class LatencyMethod(DetectionMethod):
    """Ways on the log ratio of time to estimate; `step` returns whether an answer alarms."""

    fault = "slow"

    def __init__(self) -> None:
        self.baseline, self.alarms = KindBaseline(), list[int]()

    def record_ended(self, now: int, e: int, key: int, ok: bool, cls: int, estimate: float, us: int) -> None:
        if ok and (residual := self.baseline.residual(cls, estimate, us, 0.0)) is not None:
            scale = self.baseline.classes[cls].scale
            if self.update(e, residual, scale):
                self.alarms.append(e)
            self.baseline.classes[cls].update(self.baseline.classes[cls].location + residual * scale)

    def update(self, e: int, residual: float, scale: float) -> bool:
        raise NotImplementedError

    def tick(self, now: int) -> list[int]:
        found, self.alarms = self.alarms, []
        return found


class WindowMean(LatencyMethod):
    """The mean of the last 20 answers against the fleet's."""

    name = "mean of 20 > 2.5x"

    def __init__(self) -> None:
        super().__init__()
        self.last_ratios: defaultdict[int, deque[float]] = defaultdict(lambda: deque(maxlen=20))

    def update(self, e: int, residual: float, scale: float) -> bool:
        last = self.last_ratios[e]
        last.append(residual * scale)
        return bool(len(last) == 20 and sum(last) / 20 > log(2.5))


class PageHinkley(LatencyMethod):
    """Each engine against its own mean, without peers."""

    name = "Page-Hinkley"

    def __init__(self) -> None:
        super().__init__()
        self.mean: defaultdict[int, float] = defaultdict(float)
        self.count: defaultdict[int, int] = defaultdict(int)
        self.sum: defaultdict[int, float] = defaultdict(float)

    def update(self, e: int, residual: float, scale: float) -> bool:
        value = residual * scale
        self.count[e] += 1
        self.mean[e] += (value - self.mean[e]) / self.count[e]
        if self.count[e] < 20:
            return False
        self.sum[e] = max(0.0, self.sum[e] + value - self.mean[e] - log(2.5) / 2)
        return self.sum[e] > 8


class EwmaMethod(LatencyMethod):
    """An exponential mean against the fleet's location and scale."""

    name = "EWMA 4 sigma"

    def __init__(self) -> None:
        super().__init__()
        self.mean: defaultdict[int, float] = defaultdict(float)

    def update(self, e: int, residual: float, scale: float) -> bool:
        self.mean[e] += 0.15 * (residual - self.mean[e])
        return self.mean[e] > 4 * sqrt(0.15 / 1.85)


class PlainCusum(LatencyMethod):
    """CUSUM on the fleet's residuals, without the comparison with peers' present and own past."""

    name = "CUSUM, unconfirmed"

    def __init__(self) -> None:
        super().__init__()
        self.sum: defaultdict[int, float] = defaultdict(float)

    def update(self, e: int, residual: float, scale: float) -> bool:
        shift = min(1.5, log(2.5) / scale)
        self.sum[e] = min(24.0, max(0.0, self.sum[e] + shift * (residual - shift / 2)))
        return self.sum[e] >= 12


def detection_methods() -> list[DetectionMethod]:
    judge, told = Detector(Thresholds()), list[Detection]()
    first, second = TimelineDetector(judge, "stall", told, True), TimelineDetector(judge, "slow", told, False)
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
    delay_s: float | None
    false_alarms: int


def simulate(name: str, seed: int) -> dict[str, Tally]:
    case, rng = CASES[name], Random(f"{name}-{seed}")
    n, faulty = case.engines, rng.randrange(case.engines)
    watching = detection_methods()
    judge = watching[0].judge  # type: ignore[attr-defined]
    for e in range(n):
        entry = api.EngineEntry(str(e), "k", "z", 0, 1.0, api.EngineState.READY, None)
        judge.listed(0, e, entry)
    others = [rng.uniform(0.3, 0.8) for _ in range(n)]  # other gateways' load, in cores used a core
    held = [0] * n
    rest = [0] * n
    out: dict[int, tuple[int, int, int, float]] = {}
    events: list[tuple[int, int, int]] = []  # time, kind, key: 0 answer, 1 give up
    first: dict[str, float] = {}
    false: defaultdict[str, int] = defaultdict(int)
    told: dict[tuple[str, int], float] = {}
    now, key, tick, probe = 0, 0, 0, 0
    begin, until = int(FAULT_BEGIN_S * SECOND_US), int((FAULT_BEGIN_S + FAULT_LENGTH_S) * SECOND_US)
    gauss, lognormal = rng.gauss, rng.lognormvariate
    while now < END_S * SECOND_US:
        during = begin <= now < until
        now += int(rng.expovariate(case.rate * (case.surge if during else 1.0)) * SECOND_US) + 1
        while tick <= now or (events and events[0][0] <= now):
            if events and events[0][0] <= tick:
                at, what, k = heappop(events)
                if k not in out:
                    continue
                e, sent, cls, estimate = out[k]
                stalled = case.fault == "stall" and e == faulty and begin <= at < until
                if what == 0 and stalled:
                    heappush(events, (until + rng.randrange(50_000), 0, k))
                    continue
                del out[k]
                held[e] -= 1
                for way in watching:
                    way.record_ended(at, e, k, what == 0, cls, estimate, at - sent)
                if what == 1:  # it fell silent: the module lets it rest
                    rest[e] = at + SECOND_US
                continue
            at, tick = tick, tick + SECOND_US // 4
            probe += 1
            share = case.surge if begin <= at < until else 1.0
            for e in range(probe % 8, n, 8):
                others[e] = min(1.2, max(0.1, others[e] + gauss(0, 0.05)))
                load = held[e] + CORES_PER_ENGINE * min(3.0, others[e] * share)
                for way in watching:
                    way.record_load(e, load / CORES_PER_ENGINE)
            for way in watching:
                for e in way.tick(at):
                    hit = e == faulty and case.fault == way.fault and begin <= at < until + 2 * SECOND_US
                    if hit:
                        first.setdefault(way.name, (at - begin) / SECOND_US)
                    elif at - told.get((way.name, e), -1e18) > REPEAT_ALARM_S * SECOND_US:
                        # An engine with a fault of the other kind is not called out falsely.
                        if not (e == faulty and case.fault and at >= begin):
                            false[way.name] += 1
                            told[way.name, e] = at
        one, two = rng.randrange(n), rng.randrange(n)
        e = one if held[one] + 16 * others[one] <= held[two] + 16 * others[two] else two
        if rest[e] > now:
            e = two if e == one else one
            if rest[e] > now:
                continue
        cls, mean, _ = QUERY_MIX[0] if rng.random() < QUERY_MIX[0][2] else QUERY_MIX[1]
        estimate = mean * lognormal(-0.32, 0.8)
        heavy = during and rng.random() < case.heavy_share
        if heavy:
            estimate *= 20
        work = estimate * lognormal(0, 0.6)
        if cls == 1 and rng.random() < 0.08:
            work *= rng.uniform(8, 20)  # a bad plan
        share = case.surge if during else 1.0
        crowd = max(1.0, min(3.0, others[e] * share) + held[e] / CORES_PER_ENGINE) * (
            case.slowdown if during else 1.0
        )
        slow = 5.0 if case.fault == "slow" and e == faulty and during else 1.0
        key += 1
        took = int(work * crowd * slow) + 500
        out[key] = e, now, cls, estimate
        held[e] += 1
        heappush(events, (now + took, 0, key))
        if took > 8 * SECOND_US or (case.fault == "stall" and e == faulty):
            patience = max(SECOND_US, int(6 * estimate * crowd))
            heappush(events, (now + patience + SECOND_US // 2, 1, key))
        for way in watching:
            way.record_sent(now, e, key, cls, estimate)
    return {way.name: Tally(first.get(way.name), false[way.name]) for way in watching}


def simulate_job(job: tuple[str, int]) -> tuple[str, dict[str, Tally]]:
    return job[0], simulate(*job)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--case", choices=list(CASES))
    given = parser.parse_args()
    names = [given.case] if given.case else list(CASES)
    with Pool(os.cpu_count()) as pool:
        for name in names:
            found = [
                tally
                for _, tally in pool.imap_unordered(simulate_job, [(name, s) for s in range(given.seeds)])
            ]
            case = CASES[name]
            hours = len(found) * case.engines * END_S / 3600
            print(f"{name}: {len(found)} seeds, {case.engines} engines, {hours:.0f} engine-hours")
            for way in found[0]:
                print_summary(name, way, [tally[way] for tally in found], case, hours)


def print_summary(name: str, way: str, found: list[Tally], case: Case, hours: float) -> None:
    false = sum(tally.false_alarms for tally in found)
    text = f"  {way:20} false {false:6} = {false / hours:8.3f} an engine-hour"
    delays = sorted(tally.delay_s for tally in found if tally.delay_s is not None)
    fits = (case.fault == "stall") == (way in STALL_METHODS)
    if case.fault and fits:
        missed = len(found) - len(delays)
        if delays:
            p95 = delays[min(len(delays) - 1, int(len(delays) * 0.95))]
            text += f"   delay median {median(delays):5.2f} s p95 {p95:5.2f} s"
        text += f"   missed {missed} of {len(found)}"
    print(text, flush=True)


if __name__ == "__main__":
    main()
