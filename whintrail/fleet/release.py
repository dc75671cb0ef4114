"""Comparison of a new build with the old one, by a sequential test on the outcomes of their queries.

For each class of queries, and separately for failures, refusals and late answers, Wald's sequential
probability ratio test decides between "as good as the old build" and "worse by more than a configured
margin". With little traffic the verdict is *wait* until there is enough evidence, so that chance neither
passes nor fails a build. The old build's share is an estimate too; one standard error is added to it, so that
a small sample of the old build can't fail the new one.
"""

import math
from dataclasses import dataclass, field
from enum import Enum

from whintrail.fleet.wire import GatewayReport

BAD_OUTCOMES = ("failed", "refused", "late")
COUNTER_MASK = 0xFFFFFFFF  # reported counters wrap
MAX_QUERIES_PER_REPORT = 1 << 24  # a greater difference within about a second is no plausible count
MAX_CLASSES = 4


class Verdict(Enum):
    """The result of a comparison so far."""

    WAIT = "wait"
    GO = "go"
    HALT = "halt"


@dataclass(frozen=True, slots=True)
class ComparisonRules:
    """What counts as worse, and the error rates of the test."""

    worse_factor: float = 2.0
    worse_margin: float = 0.03  # of all queries, in addition to the expected share, at least
    false_halt_rate: float = 0.01  # probability that a build as good as the old one is halted in a step
    false_pass_rate: float = 0.05  # probability that a worse build passes a step
    min_class_share: float = 0.05  # classes with a smaller share of the queries don't delay a step
    min_queries: int = 50


@dataclass(slots=True)
class ClassTotals:
    """Numbers of queries by class, and of bad ones by class and kind of outcome."""

    taken: dict[int, int] = field(default_factory=dict)
    bad: dict[tuple[int, int], int] = field(default_factory=dict)

    def add(self, cls: int, taken: int, bad: tuple[int, int, int]) -> None:
        """Adds queries of a class, and of them the failed, refused and late ones."""
        self.taken[cls] = self.taken.get(cls, 0) + taken
        for kind, count in enumerate(bad):
            self.bad[cls, kind] = self.bad.get((cls, kind), 0) + count


def log_likelihood_ratio(bad: int, taken: int, expected: float, rules: ComparisonRules) -> float:
    """The log-likelihood ratio of "worse" against "as expected" for a number of bad outcomes."""
    worse = min(0.98, max(expected * rules.worse_factor, expected + rules.worse_margin))
    expected = min(expected, worse / (1 + 1e-9))
    bad = min(bad, taken)
    return bad * math.log(worse / expected) + (taken - bad) * math.log((1 - worse) / (1 - expected))


class BuildComparison:
    """The comparison within one release. It is given every report of every gateway."""

    def __init__(self, build: str, rules: ComparisonRules | None = None) -> None:
        self.build, self.rules = build, rules or ComparisonRules()
        self.new, self.old = ClassTotals(), ClassTotals()
        self.last_counts: dict[int, tuple[int, tuple[tuple[int, ...], ...]]] = {}
        # The old build's shares as measured by an earlier leader.
        self.stored_baseline: tuple[tuple[int, ...], ...] = ()

    def next_step(self) -> None:
        """Drops the new build's counts at the start of a step; the old build's counts stay."""
        self.new = ClassTotals()

    def add_report(self, number: int, boot_id: int, report: GatewayReport) -> None:
        """Counts the queries since the gateway's previous report."""
        previous = self.last_counts.get(number)
        self.last_counts[number] = (boot_id, report.counts)
        if previous is None or previous[0] != boot_id or len(previous[1]) != len(report.counts):
            return  # the first report of a process: its counts are from before the comparison
        totals = self.new if report.build == self.build else self.old
        for cls, (counts, previous_counts) in enumerate(zip(report.counts, previous[1], strict=True)):
            taken, *bad = ((a - b) & COUNTER_MASK for a, b in zip(counts, previous_counts, strict=True))
            if taken < MAX_QUERIES_PER_REPORT:
                totals.add(cls, taken, (bad[0], bad[1], bad[2]))

    def baseline_shares(self) -> tuple[tuple[int, int, int], ...]:
        """The old build's shares in thousandths by class, for later leaders. Empty while unknown."""
        if any(self.old.taken.get(cls, 0) < self.rules.min_queries for cls in self.new.taken):
            return ()
        shares = []
        for cls in range(min(MAX_CLASSES, max(self.new.taken, default=-1) + 1)):
            permilles = [
                round(min(1.0, self.expected_share(cls, kind)) * 1000) for kind in range(len(BAD_OUTCOMES))
            ]
            shares.append((permilles[0], permilles[1], permilles[2]))
        return tuple(shares)

    def has_baseline(self, cls: int) -> bool:
        """Whether the old build's share of bad outcomes is known for a class."""
        return self.old.taken.get(cls, 0) >= self.rules.min_queries or cls < len(self.stored_baseline)

    def expected_share(self, cls: int, kind: int) -> float:
        """The old build's share of bad outcomes, plus one standard error."""
        taken = self.old.taken.get(cls, 0)
        if taken < self.rules.min_queries and cls < len(self.stored_baseline):
            return min(0.9, max(0.0005, self.stored_baseline[cls][kind] / 1000))
        share = (self.old.bad.get((cls, kind), 0) + 0.5) / (taken + 1)
        return min(0.9, share + math.sqrt(share * (1 - share) / (taken + 1)))

    def evaluate(self) -> tuple[Verdict, str]:
        """Returns the verdict and the reason for it."""
        rules, total = self.rules, sum(self.new.taken.values())
        tests = max(1, len(BAD_OUTCOMES) * len(self.new.taken))
        halt_threshold = math.log((1 - rules.false_pass_rate) / (rules.false_halt_rate / tests))
        pass_threshold = math.log(rules.false_pass_rate)
        wait = "" if total >= rules.min_queries else f"{total} queries so far"
        for cls, taken in sorted(self.new.taken.items()):
            if not self.has_baseline(cls):
                if taken > rules.min_class_share * total:
                    wait = wait or f"class {cls}: too few queries on the old build to compare with"
                continue
            for kind, name in enumerate(BAD_OUTCOMES):
                bad, expected = self.new.bad.get((cls, kind), 0), self.expected_share(cls, kind)
                evidence = log_likelihood_ratio(bad, taken, expected, rules)
                if evidence >= halt_threshold:
                    share = f"{bad}/{taken} {name}, old {expected:.3f}"
                    return Verdict.HALT, f"class {cls}: {share}"
                if evidence > pass_threshold and taken > rules.min_class_share * total:
                    wait = wait or f"class {cls}: no verdict on {name} yet ({bad}/{taken})"
        return (Verdict.WAIT, wait) if wait else (Verdict.GO, f"{total} queries compared")
