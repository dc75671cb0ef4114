"""Whether a new build does as well as the old one, on like traffic, decided one query after another.

For each class of queries, and for failures, refusals and late answers apart: Wald's sequential ratio test of
"as the old build" against "worse by more than a stated measure". Little traffic then neither passes nor fails
a build by chance: the answer is *wait* until the evidence is there. The old build's own share is an estimate;
one standard error is added to it, so that a small sample of the old can't condemn the new.
"""

import math
from dataclasses import dataclass, field
from enum import Enum

from whintrail.fleet.wire import GatewayReport

BAD_OUTCOMES = ("failed", "refused", "late")
COUNTER_MASK = 0xFFFFFFFF  # counters wrap


class Verdict(Enum):
    WAIT = "wait"
    GO = "go"
    HALT = "halt"


@dataclass(frozen=True, slots=True)
class ComparisonRules:
    """What counts as worse, and how sure one wants to be."""

    worse_factor: float = 2.0
    worse_margin: float = 0.03  # more of the queries, at least
    false_halt_rate: float = 0.01  # of a step with a build as good as the old one
    false_pass_rate: float = 0.05
    min_class_share: float = 0.05  # classes with less of the queries don't hold up a step
    min_queries: int = 50


@dataclass(slots=True)
class ClassTotals:
    """Taken and bad queries by class."""

    taken: dict[int, int] = field(default_factory=dict)
    bad: dict[tuple[int, int], int] = field(default_factory=dict)

    def add(self, cls: int, taken: int, bad: tuple[int, int, int]) -> None:
        self.taken[cls] = self.taken.get(cls, 0) + taken
        for kind, count in enumerate(bad):
            self.bad[cls, kind] = self.bad.get((cls, kind), 0) + count


def log_likelihood_ratio(bad: int, taken: int, expected: float, rules: ComparisonRules) -> float:
    """The logarithm of the likelihood ratio, worse against as usual, of so many bad ones."""
    worse = min(0.98, max(expected * rules.worse_factor, expected + rules.worse_margin))
    expected = min(expected, worse / (1 + 1e-9))
    bad = min(bad, taken)
    return bad * math.log(worse / expected) + (taken - bad) * math.log((1 - worse) / (1 - expected))


class BuildComparison:
    """Of one step of one release. Feed it every report; it knows members by number and birth."""

    def __init__(self, build: str, rules: ComparisonRules | None = None) -> None:
        self.build, self.rules = build, rules or ComparisonRules()
        self.new, self.old = ClassTotals(), ClassTotals()
        self.last_counts: dict[int, tuple[int, tuple[tuple[int, ...], ...]]] = {}
        self.stored_baseline: tuple[
            tuple[int, ...], ...
        ] = ()  # the old build's shares, as an earlier leader saw them

    def next_step(self) -> None:
        """What the new build showed so far was judged; the old one's figures stay."""
        self.new = ClassTotals()

    def add_report(self, number: int, boot_id: int, report: GatewayReport) -> None:
        before = self.last_counts.get(number)
        self.last_counts[number] = (boot_id, report.counts)
        if before is None or before[0] != boot_id or len(before[1]) != len(report.counts):
            return  # a first sight: what it counted until then was under other conditions
        sums = self.new if report.build == self.build else self.old
        for cls, (now, then) in enumerate(zip(report.counts, before[1], strict=True)):
            taken, *bad = ((a - b) & COUNTER_MASK for a, b in zip(now, then, strict=True))
            if taken < 1 << 24:  # more in a second is no count
                sums.add(cls, taken, (bad[0], bad[1], bad[2]))

    def baseline_shares(self) -> tuple[tuple[int, int, int], ...]:
        """The old build's, in thousandths, by class: what a later leader may go by."""
        if any(self.old.taken.get(cls, 0) < self.rules.min_queries for cls in self.new.taken):
            return ()
        found = []
        for cls in range(min(4, max(self.new.taken, default=-1) + 1)):
            parts = [
                round(min(1.0, self.expected_share(cls, kind)) * 1000) for kind in range(len(BAD_OUTCOMES))
            ]
            found.append((parts[0], parts[1], parts[2]))
        return tuple(found)

    def has_baseline(self, cls: int) -> bool:
        """Whether there is anything of the old build to go by."""
        return self.old.taken.get(cls, 0) >= self.rules.min_queries or cls < len(self.stored_baseline)

    def expected_share(self, cls: int, kind: int) -> float:
        """The old build's share, a standard error over it."""
        taken = self.old.taken.get(cls, 0)
        if taken < self.rules.min_queries and cls < len(self.stored_baseline):
            return min(0.9, max(0.0005, self.stored_baseline[cls][kind] / 1000))
        share = (self.old.bad.get((cls, kind), 0) + 0.5) / (taken + 1)
        return min(0.9, share + math.sqrt(share * (1 - share) / (taken + 1)))

    def evaluate(self) -> tuple[Verdict, str]:
        measure, total = self.rules, sum(self.new.taken.values())
        tests = max(1, len(BAD_OUTCOMES) * len(self.new.taken))
        halts = math.log((1 - measure.false_pass_rate) / (measure.false_halt_rate / tests))
        passes = math.log(measure.false_pass_rate)
        wait = "" if total >= measure.min_queries else f"{total} queries so far"
        for cls, taken in sorted(self.new.taken.items()):
            if not self.has_baseline(cls):
                if taken > measure.min_class_share * total:
                    wait = wait or f"class {cls}: little of the old build to compare with"
                continue
            for kind, name in enumerate(BAD_OUTCOMES):
                bad, usual = self.new.bad.get((cls, kind), 0), self.expected_share(cls, kind)
                evidence = log_likelihood_ratio(bad, taken, usual, measure)
                if evidence >= halts:
                    share = f"{bad}/{taken} {name}, old {usual:.3f}"
                    return Verdict.HALT, f"class {cls}: {share}"
                if evidence > passes and taken > measure.min_class_share * total:
                    wait = wait or f"class {cls}: not sure of {name} yet ({bad}/{taken})"
        return (Verdict.WAIT, wait) if wait else (Verdict.GO, f"{total} queries compared")
