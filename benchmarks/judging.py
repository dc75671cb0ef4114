"""Ways to judge engines, in simulated time: python -m benchmarks.judging [--seeds 200] [--case NAME]

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
from whintrail.timeline.judge import Judge, Thresholds
from whintrail.timeline.kinds import Happening, Verdict
from whintrail.timeline.peers import Peers

SECOND, CORES = 1_000_000, 16
BEGIN, LENGTH, END = 12.0, 12.0, 28.0
STALL_WAYS = ("judge (stall)", "silence 1 s", "silence 3 s", "phi accrual 8")
AGAIN_S = 30.0  # an alarm for the same engine counts once in so long
MIX = [(0, 100_000.0, 0.8), (1, 700_000.0, 0.2)]  # class, mean estimate in us, share


@dataclass(frozen=True)
class Case:
    fault: str = ""  # stall, slow, or none
    rate: float = 1000.0
    engines: int = 200
    surge: float = 1.0  # of all load, from BEGIN for LENGTH
    slower: float = 1.0  # the whole fleet
    heavy: float = 0.0  # share of queries that cost 20 times as much; the estimates show it


CASES = {
    "stall": Case("stall"),
    "slow 5x": Case("slow"),
    "stall, one request/s an engine": Case("stall", rate=200.0),
    "slow 5x, one request/s an engine": Case("slow", rate=200.0),
    "stall in a fourfold surge": Case("stall", surge=4.0),
    "slow 5x in a fourfold surge": Case("slow", surge=4.0),
    "fourfold surge alone": Case(surge=4.0),
    "fleet 3x slower alone": Case(slower=3.0),
    "burst of heavy queries alone": Case(heavy=0.02),
    "five requests/s, 8 engines, nothing": Case(rate=5.0, engines=8),
}


class Way:
    """One way to judge: told what happens, answers a tick with engines it calls stalled or slow."""

    name, fault = "", ""

    def sent(self, now: int, e: int, key: int, cls: int, estimate: float) -> None: ...
    def ended(self, now: int, e: int, key: int, ok: bool, cls: int, estimate: float, us: int) -> None: ...
    def reported(self, e: int, load: float) -> None: ...
    def tick(self, now: int) -> list[int]:
        return []


class Ours(Way):
    """The judge of whintrail.timeline, for one kind of verdict."""

    def __init__(self, judge: Judge, fault: str, told: list[Happening], first: bool) -> None:
        self.told = told  # by the last tick, for both verdicts
        self.judge, self.fault, self.name, self.first = judge, fault, f"judge ({fault})", first
        self.verdict = Verdict.STALLED if fault == "stall" else Verdict.SLOW

    def sent(self, now: int, e: int, key: int, cls: int, estimate: float) -> None:
        if self.first:
            self.judge.sent(now, str(e), key, 0, cls, estimate)

    def ended(self, now: int, e: int, key: int, ok: bool, cls: int, estimate: float, us: int) -> None:
        if self.first:
            outcome = api.Outcome.OK if ok else api.Outcome.CANCELLED
            self.judge.ended(now, str(e), key, 0, outcome, us)

    def reported(self, e: int, load: float) -> None:
        if self.first:
            self.judge.reported(str(e), load)

    def tick(self, now: int) -> list[int]:
        if self.first:
            self.judge.tick(now)
            self.told[:], self.judge.happenings = self.judge.happenings, []
        return [int(h.engine) for h in self.told if h.begins and h.verdict is self.verdict]


class Silence(Way):
    """Attempts out, and no sign for a fixed time."""

    fault = "stall"

    def __init__(self, limit_s: float) -> None:
        self.name, self.limit = f"silence {limit_s:g} s", int(limit_s * SECOND)
        self.out: defaultdict[int, dict[int, int]] = defaultdict(dict)
        self.alive: defaultdict[int, int] = defaultdict(int)

    def sent(self, now: int, e: int, key: int, cls: int, estimate: float) -> None:
        self.out[e][key] = now

    def ended(self, now: int, e: int, key: int, ok: bool, cls: int, estimate: float, us: int) -> None:
        self.out[e].pop(key, None)
        if ok:
            self.alive[e] = now

    def tick(self, now: int) -> list[int]:
        return [
            e
            for e, out in self.out.items()
            if out and now - max(self.alive[e], next(iter(out.values()))) > self.limit
        ]


class Accrual(Silence):
    """Phi accrual (Hayashibara et al., 2004) with an exponential law of times between answers."""

    def __init__(self, phi: float) -> None:
        super().__init__(0.0)
        self.name, self.phi = f"phi accrual {phi:g}", phi
        self.gap: dict[int, float] = {}

    def ended(self, now: int, e: int, key: int, ok: bool, cls: int, estimate: float, us: int) -> None:
        if ok and self.alive[e]:
            gap = now - self.alive[e]
            self.gap[e] = self.gap.get(e, gap) * 0.95 + 0.05 * gap
        super().ended(now, e, key, ok, cls, estimate, us)

    def tick(self, now: int) -> list[int]:
        return [
            e
            for e, out in self.out.items()
            if out
            and e in self.gap
            and (now - max(self.alive[e], next(iter(out.values())))) / self.gap[e] / log(10) > self.phi
        ]


class Latency(Way):
    """Ways on the log ratio of time to estimate; `step` returns whether an answer alarms."""

    fault = "slow"

    def __init__(self) -> None:
        self.peers, self.alarms = Peers(), list[int]()

    def ended(self, now: int, e: int, key: int, ok: bool, cls: int, estimate: float, us: int) -> None:
        if ok and (residual := self.peers.residual(cls, estimate, us, 0.0)) is not None:
            scale = self.peers.usual[cls].scale
            if self.step(e, residual, scale):
                self.alarms.append(e)
            self.peers.usual[cls].learn(self.peers.usual[cls].location + residual * scale)

    def step(self, e: int, residual: float, scale: float) -> bool:
        raise NotImplementedError

    def tick(self, now: int) -> list[int]:
        found, self.alarms = self.alarms, []
        return found


class Window(Latency):
    """The mean of the last 20 answers against the fleet's."""

    name = "mean of 20 > 2.5x"

    def __init__(self) -> None:
        super().__init__()
        self.last: defaultdict[int, deque[float]] = defaultdict(lambda: deque(maxlen=20))

    def step(self, e: int, residual: float, scale: float) -> bool:
        last = self.last[e]
        last.append(residual * scale)
        return bool(len(last) == 20 and sum(last) / 20 > log(2.5))


class PageHinkley(Latency):
    """Each engine against its own mean, without peers."""

    name = "Page-Hinkley"

    def __init__(self) -> None:
        super().__init__()
        self.mean: defaultdict[int, float] = defaultdict(float)
        self.count: defaultdict[int, int] = defaultdict(int)
        self.sum: defaultdict[int, float] = defaultdict(float)

    def step(self, e: int, residual: float, scale: float) -> bool:
        value = residual * scale
        self.count[e] += 1
        self.mean[e] += (value - self.mean[e]) / self.count[e]
        if self.count[e] < 20:
            return False
        self.sum[e] = max(0.0, self.sum[e] + value - self.mean[e] - log(2.5) / 2)
        return self.sum[e] > 8


class Ewma(Latency):
    """An exponential mean against the fleet's location and scale."""

    name = "EWMA 4 sigma"

    def __init__(self) -> None:
        super().__init__()
        self.mean: defaultdict[int, float] = defaultdict(float)

    def step(self, e: int, residual: float, scale: float) -> bool:
        self.mean[e] += 0.15 * (residual - self.mean[e])
        return self.mean[e] > 4 * sqrt(0.15 / 1.85)


class PlainCusum(Latency):
    """CUSUM on the fleet's residuals, without the comparison with peers' present and own past."""

    name = "CUSUM, unconfirmed"

    def __init__(self) -> None:
        super().__init__()
        self.sum: defaultdict[int, float] = defaultdict(float)

    def step(self, e: int, residual: float, scale: float) -> bool:
        shift = min(1.5, log(2.5) / scale)
        self.sum[e] = min(24.0, max(0.0, self.sum[e] + shift * (residual - shift / 2)))
        return self.sum[e] >= 12


def ways() -> list[Way]:
    judge, told = Judge(Thresholds()), list[Happening]()
    first, second = Ours(judge, "stall", told, True), Ours(judge, "slow", told, False)
    return [
        first,
        second,
        Silence(1.0),
        Silence(3.0),
        Accrual(8.0),
        Window(),
        PageHinkley(),
        Ewma(),
        PlainCusum(),
    ]


@dataclass
class Tally:
    delay: float | None
    false: int


def simulate(name: str, seed: int) -> dict[str, Tally]:
    case, rng = CASES[name], Random(f"{name}-{seed}")
    n, faulty = case.engines, rng.randrange(case.engines)
    watching = ways()
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
    begin, until = int(BEGIN * SECOND), int((BEGIN + LENGTH) * SECOND)
    gauss, lognormal = rng.gauss, rng.lognormvariate
    while now < END * SECOND:
        during = begin <= now < until
        now += int(rng.expovariate(case.rate * (case.surge if during else 1.0)) * SECOND) + 1
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
                    way.ended(at, e, k, what == 0, cls, estimate, at - sent)
                if what == 1:  # it fell silent: the module lets it rest
                    rest[e] = at + SECOND
                continue
            at, tick = tick, tick + SECOND // 4
            probe += 1
            share = case.surge if begin <= at < until else 1.0
            for e in range(probe % 8, n, 8):
                others[e] = min(1.2, max(0.1, others[e] + gauss(0, 0.05)))
                load = held[e] + CORES * min(3.0, others[e] * share)
                for way in watching:
                    way.reported(e, load / CORES)
            for way in watching:
                for e in way.tick(at):
                    hit = e == faulty and case.fault == way.fault and begin <= at < until + 2 * SECOND
                    if hit:
                        first.setdefault(way.name, (at - begin) / SECOND)
                    elif at - told.get((way.name, e), -1e18) > AGAIN_S * SECOND:
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
        cls, mean, _ = MIX[0] if rng.random() < MIX[0][2] else MIX[1]
        estimate = mean * lognormal(-0.32, 0.8)
        heavy = during and rng.random() < case.heavy
        if heavy:
            estimate *= 20
        work = estimate * lognormal(0, 0.6)
        if cls == 1 and rng.random() < 0.08:
            work *= rng.uniform(8, 20)  # a bad plan
        share = case.surge if during else 1.0
        crowd = max(1.0, min(3.0, others[e] * share) + held[e] / CORES) * (case.slower if during else 1.0)
        slow = 5.0 if case.fault == "slow" and e == faulty and during else 1.0
        key += 1
        took = int(work * crowd * slow) + 500
        out[key] = e, now, cls, estimate
        held[e] += 1
        heappush(events, (now + took, 0, key))
        if took > 8 * SECOND or (case.fault == "stall" and e == faulty):
            patience = max(SECOND, int(6 * estimate * crowd))
            heappush(events, (now + patience + SECOND // 2, 1, key))
        for way in watching:
            way.sent(now, e, key, cls, estimate)
    return {way.name: Tally(first.get(way.name), false[way.name]) for way in watching}


def one(job: tuple[str, int]) -> tuple[str, dict[str, Tally]]:
    return job[0], simulate(*job)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--case", choices=list(CASES))
    given = parser.parse_args()
    names = [given.case] if given.case else list(CASES)
    with Pool(os.cpu_count()) as pool:
        for name in names:
            found = [tally for _, tally in pool.imap_unordered(one, [(name, s) for s in range(given.seeds)])]
            case = CASES[name]
            hours = len(found) * case.engines * END / 3600
            print(f"{name}: {len(found)} seeds, {case.engines} engines, {hours:.0f} engine-hours")
            for way in found[0]:
                line(name, way, [tally[way] for tally in found], case, hours)


def line(name: str, way: str, found: list[Tally], case: Case, hours: float) -> None:
    false = sum(tally.false for tally in found)
    text = f"  {way:20} false {false:6} = {false / hours:8.3f} an engine-hour"
    delays = sorted(tally.delay for tally in found if tally.delay is not None)
    fits = (case.fault == "stall") == (way in STALL_WAYS)
    if case.fault and fits:
        missed = len(found) - len(delays)
        if delays:
            p95 = delays[min(len(delays) - 1, int(len(delays) * 0.95))]
            text += f"   delay median {median(delays):5.2f} s p95 {p95:5.2f} s"
        text += f"   missed {missed} of {len(found)}"
    print(text, flush=True)


if __name__ == "__main__":
    main()
