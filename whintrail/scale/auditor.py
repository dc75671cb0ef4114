"""Judges a scale run from outside: by what the run did itself, and what each gateway told over its own
channel about itself. It reads nothing of what a gateway believes of the others but whom it takes for gone.

Pure; times are microseconds of the machine's monotonic clock.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

NO_END = 1 << 62
LEASE_EXPIRY_REPORT_DELAY_US = 150_000  # a gateway tells of a lease that ran out with its next turn


@dataclass(slots=True)
class Span:
    """Something that held from `start` on, until `end`."""

    start: int
    end: int
    label: str = ""


@dataclass(slots=True)
class Auditor:
    """`stated_us`: no two that hold leases may act by different rules for longer."""

    gateways: int
    max_overlap_us: int
    published: dict[int, tuple[int, int | None]] = field(default_factory=dict)  # generation: when, digest
    up_spans: dict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))
    leased_rules: dict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))  # while leased
    list_arrivals: dict[int, dict[int, int]] = field(
        default_factory=lambda: defaultdict(dict)
    )  # generation: when
    leader_changes: list[tuple[int, int, bool]] = field(
        default_factory=list
    )  # when, who, whether it leads now
    removal_reports: dict[int, tuple[int, tuple[int, ...]]] = field(
        default_factory=dict
    )  # who told: when, of whom
    stopped_spans: dict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))
    newest_versions: dict[int, int] = field(default_factory=dict)  # the newest version by which one acted
    polled_rules: dict[int, tuple[int, str, bool]] = field(
        default_factory=dict
    )  # of those only asked now and then
    breaches: list[str] = field(default_factory=list)

    # --- What the run did.

    def record_published(self, generation: int, at: int, digest: int | None = None) -> None:
        self.published[generation] = at, digest

    def record_down(self, number: int, at: int) -> None:
        """Killed: it tells nothing any more."""
        for spans in (self.up_spans[number], self.leased_rules[number]):
            if spans and spans[-1].end == NO_END:
                spans[-1].end = at

    def record_stopped(self, number: int, at: int) -> None:
        self.stopped_spans[number].append(Span(at, NO_END))

    def record_continued(self, number: int, at: int) -> None:
        self.stopped_spans[number][-1].end = at

    # --- What a gateway told of itself.

    def record_event(self, kind: str, number: int, at: int, *details: object) -> None:
        match kind, details:
            case "up", _:
                self.record_down(number, at)
                self.up_spans[number].append(Span(at, NO_END))
                self.list_arrivals[number] = {}
                self.newest_versions[number] = 0
            case "down", _:
                self.record_down(number, at)
            case "rule", (str(name), bool(leased)):
                self._record_rule(number, at, name, leased)
            case "list", (int(generation), *_):
                self.list_arrivals[number].setdefault(generation, at)
            case "seen", (str(name), bool(leased), int(generation)):
                self._record_polled(number, at, name, leased, generation)
            case "leads", (bool(leads),):
                self.leader_changes.append((at, number, leads))
            case "gone", (list(whom),):
                self.removal_reports[number] = at, tuple(whom)
            case _:
                self.breaches.append(f"n{number} told what means nothing: {kind} {details}")

    def _record_rule(self, number: int, at: int, label: str, leased: bool) -> None:
        spans = self.leased_rules[number]
        if spans and spans[-1].end == NO_END:
            spans[-1].end = at
        if not leased:
            return
        version = int(label.split(">")[0])
        if version < self.newest_versions.get(number, 0):
            newest = self.newest_versions[number]
            self.breaches.append(f"n{number} went back from version {newest} to {version}, leased")
        self.newest_versions[number] = max(version, self.newest_versions.get(number, 0))
        spans.append(Span(at, NO_END, label))

    def _record_polled(self, number: int, at: int, label: str, leased: bool, generation: int) -> None:
        """One that was asked, and tells nothing by itself: what it does between two answers that differ is
        not known, and nothing is made of it. Of its list only the last generation is known."""
        before, self.polled_rules[number] = self.polled_rules.get(number), (at, label, leased)
        if before is None or before[1:] != (label, leased):
            self._record_rule(number, at, label, leased)
        if leased:
            self.leased_rules[number][-1].end = at
        had = self.list_arrivals[number]
        for each in range(max(had, default=0) + 1, generation + 1):
            had[each] = at

    def _acts_by(self, number: int, label: str, at: int) -> bool:
        if number in self.polled_rules:
            return self.polled_rules[number][1:] == (label, True)
        return any(s.start <= at < s.end and s.label == label for s in self.leased_rules[number])

    # --- Questions.

    def gateways_up(self, at: int) -> list[int]:
        return [n for n, spans in self.up_spans.items() if any(s.start <= at < s.end for s in spans)]

    def gateways_not_acting_by(self, label: str, at: int) -> list[int]:
        """Gateways that are up and don't act by the rule `name` under a lease at that time."""
        return [number for number in self.gateways_up(at) if not self._acts_by(number, label, at)]

    def in_force_delays(self, label: str, since: int) -> dict[int, int]:
        """When each gateway first acted by the rule `name`, microseconds after `since`; those that are only
        asked, when they were first seen to."""
        found = {}
        for number, spans in self.leased_rules.items():
            if starts := [s.start for s in spans if s.label == label and s.start >= since]:
                found[number] = min(starts) - since
        return found

    def list_delays(self) -> list[int]:
        """From each publishing until each gateway that was up then had handed it to its module; not of those
        that were only asked now and then."""
        return [
            self.list_arrivals[number][generation] - at
            for generation, (at, _) in self.published.items()
            for number, spans in self.up_spans.items()
            if generation in self.list_arrivals[number] and number not in self.polled_rules
            if any(s.start <= at < s.end for s in spans)
        ]

    # --- Verdicts.

    def check_lists(self, now: int, patience_us: int) -> None:
        """Nothing lost: what was published reached everybody who was up then and still is, one by one."""
        for number, spans in sorted(self.up_spans.items()):
            if not spans or spans[-1].end <= now:
                continue
            due = [g for g, (at, _) in self.published.items() if spans[-1].start <= at <= now - patience_us]
            if lost := sorted(set(due) - self.list_arrivals[number].keys()):
                more = f" and {len(lost) - 1} more" if len(lost) > 1 else ""
                self.breaches.append(f"n{number} never had generation {lost[0]} of the list{more}")

    def check_digests(self, digests: Iterable[tuple[int, int, int]]) -> None:
        """What each gateway, at a generation, takes for ready is what the list of that generation says."""
        for number, generation, digest in digests:
            _, expected = self.published.get(generation, (0, None))
            if expected is not None and digest != expected:
                self.breaches.append(f"n{number} holds another list under generation {generation}")

    def check_holders(
        self, engines_by_gateway: Iterable[Iterable[str]], ready: set[str], min_holders: int
    ) -> None:
        """With subsets: each engine that is ready is kept by so many gateways at least."""
        holders = Counter(engine for engines in engines_by_gateway for engine in engines)
        if short := sorted(engine for engine in ready if holders[engine] < min_holders):
            first = f"{short[0]} by {holders[short[0]]}"
            self.breaches.append(
                f"{len(short)} engines are kept by fewer than {min_holders} gateways: {first}"
            )

    def check_members(self, gone_by_gateway: Mapping[int, Iterable[int]], now: int) -> None:
        """Whom each takes for gone, once there was time to learn of all that happened."""
        up = set(self.gateways_up(now))
        down = set(range(self.gateways)) - up
        for number, gone in sorted(gone_by_gateway.items()):
            if number not in up:
                continue
            if wrongly := sorted(set(gone) & up):
                self.breaches.append(f"n{number} takes n{wrongly[0]} for gone, which is up ({len(wrongly)})")
            if missed := sorted(down - set(gone)):
                self.breaches.append(f"n{number} takes n{missed[0]} for alive, which is down ({len(missed)})")

    def check_rules(self, now: int, tolerance_us: int = LEASE_EXPIRY_REPORT_DELAY_US) -> None:
        """No two leased gateways act by different rules for longer than stated.

        Spans shortened by that time at their end overlap just where two gateways broke this.
        """
        most = self.max_overlap_us + tolerance_us
        turns: list[tuple[int, int, str, int]] = []
        for number, spans in self.leased_rules.items():
            for span in spans:
                for start, end in self._running_spans(number, span, now):
                    if end - most > start:
                        turns += [(start, 1, span.label, number), (end - most, -1, span.label, number)]
        by: dict[str, set[int]] = defaultdict(set)
        told: set[tuple[str, ...]] = set()
        for at, sign, name, number in sorted(turns):  # at one time ends come first
            if sign < 0:
                by[name].discard(number)
                if not by[name]:
                    del by[name]
                continue
            by[name].add(number)
            names = tuple(sorted(by))
            if len(names) > 1 and names not in told:
                told.add(names)
                who = ", ".join(f"n{min(by[each])} by {each}" for each in names)
                self.breaches.append(f"leased and apart for over {most / 1e6:.2f} s: {who} at {at}")

    def _running_spans(self, number: int, span: Span, now: int) -> list[tuple[int, int]]:
        """A process that stands still decides nothing."""
        start, end = span.start, min(span.end, now)
        parts = []
        for stop in self.stopped_spans.get(number, ()):
            if stop.start < end and stop.end > start:
                parts.append((start, stop.start))
                start = min(stop.end, end)
        return [*parts, (start, end)]
