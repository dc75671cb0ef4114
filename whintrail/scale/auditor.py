"""Checks a scale run from outside.

It uses what the run did itself and what each gateway reported of its own state. Of a gateway's view of the
others, it uses only which members the gateway considers gone. Pure: no I/O; times are microseconds of the
machine's monotonic clock.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

NO_END = 1 << 62
LEASE_EXPIRY_REPORT_DELAY_US = 150_000  # a gateway reports an expired lease with its next tick


@dataclass(slots=True)
class Span:
    """A state that held from `start` until `end`."""

    start: int
    end: int
    label: str = ""


@dataclass(slots=True)
class Auditor:
    """Collects what happened, and answers questions and checks about it.

    `max_overlap_us`: how long two gateways with leases may act by different rules."""

    gateways: int
    max_overlap_us: int
    published: dict[int, tuple[int, int | None]] = field(default_factory=dict)  # generation: when, digest
    up_spans: dict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))
    leased_rules: dict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))
    # By gateway: when it had each generation of the list.
    list_arrivals: dict[int, dict[int, int]] = field(default_factory=lambda: defaultdict(dict))
    leader_changes: list[tuple[int, int, bool]] = field(default_factory=list)  # when, gateway, leads now
    removal_reports: dict[int, tuple[int, tuple[int, ...]]] = field(default_factory=dict)  # when, members
    stopped_spans: dict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))
    newest_versions: dict[int, int] = field(default_factory=dict)  # that each gateway acted by
    # The last state of gateways that report nothing by themselves: when, label, leased.
    polled_rules: dict[int, tuple[int, str, bool]] = field(default_factory=dict)
    breaches: list[str] = field(default_factory=list)

    # --- What the run did.

    def record_published(self, generation: int, at: int, digest: int | None = None) -> None:
        self.published[generation] = at, digest

    def record_down(self, number: int, at: int) -> None:
        """The gateway was killed, and reports nothing any more."""
        for spans in (self.up_spans[number], self.leased_rules[number]):
            if spans and spans[-1].end == NO_END:
                spans[-1].end = at

    def record_stopped(self, number: int, at: int) -> None:
        self.stopped_spans[number].append(Span(at, NO_END))

    def record_continued(self, number: int, at: int) -> None:
        self.stopped_spans[number][-1].end = at

    # --- What a gateway reported.

    def record_event(self, kind: str, number: int, at: int, *details: object) -> None:
        match kind, details:
            case "up", _:
                self.record_down(number, at)
                self.up_spans[number].append(Span(at, NO_END))
                self.list_arrivals[number] = {}
                self.newest_versions[number] = 0
            case "down", _:
                self.record_down(number, at)
            case "rule", (str(label), bool(leased)):
                self._record_rule(number, at, label, leased)
            case "list", (int(generation), *_):
                self.list_arrivals[number].setdefault(generation, at)
            case "seen", (str(label), bool(leased), int(generation)):
                self._record_polled(number, at, label, leased, generation)
            case "leads", (bool(leads),):
                self.leader_changes.append((at, number, leads))
            case "gone", (list(members),):
                self.removal_reports[number] = at, tuple(members)
            case _:
                self.breaches.append(f"n{number} sent an unknown event: {kind} {details}")

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
        """The state of a gateway that only answers polls.

        Between two answers that differ its state is unknown, and no check covers that time. Of its list only
        the last generation is known."""
        before, self.polled_rules[number] = self.polled_rules.get(number), (at, label, leased)
        if before is None or before[1:] != (label, leased):
            self._record_rule(number, at, label, leased)
        if leased:
            self.leased_rules[number][-1].end = at
        arrivals = self.list_arrivals[number]
        for earlier in range(max(arrivals, default=0) + 1, generation + 1):
            arrivals[earlier] = at

    def _acts_by(self, number: int, label: str, at: int) -> bool:
        if number in self.polled_rules:
            return self.polled_rules[number][1:] == (label, True)
        return any(s.start <= at < s.end and s.label == label for s in self.leased_rules[number])

    # --- Questions.

    def gateways_up(self, at: int) -> list[int]:
        return [n for n, spans in self.up_spans.items() if any(s.start <= at < s.end for s in spans)]

    def gateways_not_acting_by(self, label: str, at: int) -> list[int]:
        """Gateways that are up and do not act by the rules `label` under a lease at that time."""
        return [number for number in self.gateways_up(at) if not self._acts_by(number, label, at)]

    def in_force_delays(self, label: str, since: int) -> dict[int, int]:
        """Microseconds from `since` until each gateway first acted by the rules `label`; of polled gateways,
        until a poll first showed it."""
        found = {}
        for number, spans in self.leased_rules.items():
            if starts := [s.start for s in spans if s.label == label and s.start >= since]:
                found[number] = min(starts) - since
        return found

    def list_delays(self) -> list[int]:
        """From each publishing until each gateway that was up then had passed the event to its routing
        policy; without the gateways that are polled."""
        return [
            self.list_arrivals[number][generation] - at
            for generation, (at, _) in self.published.items()
            for number, spans in self.up_spans.items()
            if generation in self.list_arrivals[number] and number not in self.polled_rules
            if any(s.start <= at < s.end for s in spans)
        ]

    # --- Checks.

    def check_lists(self, now: int, patience_us: int) -> None:
        """Every event of the list reached every gateway that was up when it was published and still is."""
        for number, spans in sorted(self.up_spans.items()):
            if not spans or spans[-1].end <= now:
                continue
            due = [g for g, (at, _) in self.published.items() if spans[-1].start <= at <= now - patience_us]
            if lost := sorted(set(due) - self.list_arrivals[number].keys()):
                more = f" and {len(lost) - 1} more" if len(lost) > 1 else ""
                self.breaches.append(f"n{number} never received generation {lost[0]} of the list{more}")

    def check_digests(self, digests: Iterable[tuple[int, int, int]]) -> None:
        """The engines that each gateway considers ready at a generation are those of the published list."""
        for number, generation, digest in digests:
            _, expected = self.published.get(generation, (0, None))
            if expected is not None and digest != expected:
                self.breaches.append(f"n{number} has a different list under generation {generation}")

    def check_holders(
        self, engines_by_gateway: Iterable[Iterable[str]], ready: set[str], min_holders: int
    ) -> None:
        """With subsets: each ready engine is kept by at least `min_holders` gateways."""
        holders = Counter(engine for engines in engines_by_gateway for engine in engines)
        if short := sorted(engine for engine in ready if holders[engine] < min_holders):
            first = f"{short[0]} by {holders[short[0]]}"
            self.breaches.append(
                f"{len(short)} engines are kept by fewer than {min_holders} gateways: {first}"
            )

    def check_members(self, gone_by_gateway: Mapping[int, Iterable[int]], now: int) -> None:
        """Each gateway considers exactly those members gone that are down; for a time at which all gateways
        have had time to learn of all changes."""
        up = set(self.gateways_up(now))
        down = set(range(self.gateways)) - up
        for number, gone in sorted(gone_by_gateway.items()):
            if number not in up:
                continue
            if wrong := sorted(set(gone) & up):
                self.breaches.append(f"n{number} considers n{wrong[0]} gone, which is up ({len(wrong)})")
            if missed := sorted(down - set(gone)):
                self.breaches.append(f"n{number} considers n{missed[0]} alive, which is down ({len(missed)})")

    def check_rules(self, now: int, tolerance_us: int = LEASE_EXPIRY_REPORT_DELAY_US) -> None:
        """No two gateways with leases act by different rules for longer than `max_overlap_us`.

        Each span is shortened at its end by that time and the tolerance: shortened spans of different rules
        overlap exactly where two gateways broke the limit.
        """
        allowed_us = self.max_overlap_us + tolerance_us
        turns: list[tuple[int, int, str, int]] = []  # when, 1 at a start and -1 at an end, label, gateway
        for number, spans in self.leased_rules.items():
            for span in spans:
                for start, end in self._running_spans(number, span, now):
                    if end - allowed_us > start:
                        turns += [(start, 1, span.label, number), (end - allowed_us, -1, span.label, number)]
        acting: dict[str, set[int]] = defaultdict(set)
        reported: set[tuple[str, ...]] = set()
        for at, sign, label, number in sorted(turns):  # at equal times ends come first
            if sign < 0:
                acting[label].discard(number)
                if not acting[label]:
                    del acting[label]
                continue
            acting[label].add(number)
            labels = tuple(sorted(acting))
            if len(labels) > 1 and labels not in reported:
                reported.add(labels)
                examples = ", ".join(f"n{min(acting[each])} by {each}" for each in labels)
                self.breaches.append(
                    f"different rules under leases for over {allowed_us / 1e6:.2f} s: {examples} at {at}"
                )

    def _running_spans(self, number: int, span: Span, now: int) -> list[tuple[int, int]]:
        """The span without the times at which the process was stopped: a stopped process decides nothing."""
        start, end = span.start, min(span.end, now)
        running = []
        for stop in self.stopped_spans.get(number, ()):
            if stop.start < end and stop.end > start:
                running.append((start, stop.start))
                start = min(stop.end, end)
        return [*running, (start, end)]
