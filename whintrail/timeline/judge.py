"""Judges each engine by what it does to our attempts: stalled, slow, failing, flapping, cold again, and ends.

Pure and streaming; docs/timeline.md weighs the ways. It decides no routing.

Stalled: every attempt without an answer adds the surprise of its silence, the cumulative hazard of the
fleet's own distribution of answer times since the engine last gave a sign; what the engine's own pace of
answers makes likely bounds the sum, as attempts that share an engine are late together.
Slow: Page's CUSUM of log-likelihood ratios (Page, "Continuous inspection schemes", 1954) on clipped
residuals against class, load and peers, confirmed by the distance from peers and from the engine before.
Failing: a sequential test of the share of errors (Wald, 1945), restarted at zero.
All of them are held against the median of the engine's peers, so that what befalls all alarms for none.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice
from math import exp, log, log1p

from whintrail import interface as api
from whintrail.timeline.kinds import ALIVE, SILENT, Happening, Verdict
from whintrail.timeline.peers import FIRST_SCALE, Peers, middle

SECOND = 1_000_000
TAIL = 1.6  # the logistic law's slope against a normal one's deviation: the tail of answer times is heavy
SURPRISE_MOST = 5.0  # of one attempt: a single lost answer or bad plan is no stall
LOOKED_AT = 64  # attempts on one engine, the oldest first
PACE_US = 5.0 * SECOND  # over which an engine's pace of answers is measured
RECENT, BEFORE = 0.12, 0.01  # gains of an engine's latency of late, and before
BEFORE_FIRST, RECENT_FIRST = 30, 5  # answers before these say anything
NEAR = 0.85  # of the stated factor's logarithm: what the recent mean must show
SHARE_GAIN, FAILING_EVIDENCE, SOUND_EVIDENCE = 0.1, 9.0, 6.0
BURST_US = 100_000  # resets that close together are one broken link, not many answers
FRESH_US = 10 * SECOND  # peers heard from so lately are compared with
MEASURED = 2  # answers of an engine a tick whose latency is looked at: more would say little more
UNHEARD_US = 60 * SECOND  # a judgement that nothing confirms for so long ends


@dataclass(frozen=True, slots=True)
class Thresholds:
    """When behaviour counts as unusual. Evidence is in natural logarithms of likelihood."""

    stalled_evidence: float = 14.0
    stalled_least_us: int = SECOND
    slow_factor: float = 2.5
    slow_evidence: float = 16.0
    failing_share: float = 0.3
    flapping_turns: int = 3
    flapping_within_us: int = 60 * SECOND


Out = tuple[int, int, float | None]  # an attempt without an outcome: when sent, class, estimate in us


def hazard(age_us: int, expected_us: float, scale: float) -> float:
    """How surprising it is that no answer came by that age: -ln of the chance."""
    if age_us <= 0:
        return 0.0
    z = TAIL * log(age_us / expected_us) / scale
    return z if z > 30 else log1p(exp(z))


@dataclass(slots=True, eq=False)
class Watched:
    """What the judge keeps of one engine."""

    engine: str
    slot: int
    kind: str = ""
    state: api.EngineState = api.EngineState.GONE
    started_us: int | None = None
    cold_until: int = 0
    known_us: int = 0
    load: float = 0.0
    out: dict[tuple[int, int], Out] = field(default_factory=dict)
    # Silence.
    alive_us: int = 0  # the last sign that it works on what it is sent
    silent_since: int | None = None  # the first attempt sent that has no sign after it
    silent: float = 0.0  # surprise of attempts that ended without a sign
    silent_top: list[float] = field(default_factory=list)  # the three largest
    silent_us: int = 0  # when one of them ended last: until then at least it was silent
    signs: int = 0  # since the last tick
    pace: float = 0.0  # signs a second, of late
    measures: int = MEASURED  # answers whose latency is looked at until the next tick
    # Latency.
    slow: float = 0.0
    slow_since: int = 0
    slow_count: int = 0
    quick: float = 0.0
    quick_since: int = 0
    recent: float = 0.0
    recent_count: int = 0
    before: float = 0.0
    before_count: int = 0
    answered_us: int = 0
    # Errors.
    share: float = 0.0
    failing: float = 0.0
    failing_since: int = 0
    sound: float = 0.0
    sound_since: int = 0
    broken_us: int = 0
    bad_us: int = 0
    # Coming and going.
    up: bool = True
    turns: list[int] = field(default_factory=list)
    active: dict[Verdict, int] = field(default_factory=dict)  # verdicts in force, since when


class Judge:
    """Fed in order of time; `happenings` collects what it calls, `tick` looks for silence."""

    def __init__(self, thresholds: Thresholds, cold_us: int = 0) -> None:
        self.limits, self.cold_us = thresholds, cold_us
        self.engines: dict[str, Watched] = {}
        self.kinds: dict[str, Peers] = {}
        self.happenings: list[Happening] = []
        self.faded_at = self.ticked_at = 0
        # Of each kind, renewed with every tick: the median share of errors, and how far latency is off now.
        self.usual_share: dict[str, float] = {}
        self.usual_shift: dict[str, float] = {}

    # --- What happens.

    def listed(self, now: int, slot: int, entry: api.EngineEntry) -> None:
        watched = self.engines.get(entry.engine)
        if entry.state is api.EngineState.GONE:
            if watched is not None:
                self._end_all(now, watched)
                if watched.up:
                    watched.up = False
                watched.state = entry.state
                watched.out.clear()
                self._sign(watched, now)
            return
        if watched is None:
            watched = self.engines[entry.engine] = Watched(entry.engine, slot, known_us=now, alive_us=now)
            watched.started_us = entry.started_us
        elif entry.started_us is not None and entry.started_us != watched.started_us:
            watched.started_us = entry.started_us
            self._cold(now, watched, entry.started_us)
        watched.kind = entry.kind
        if watched.state is api.EngineState.GONE and not watched.up:
            self._turned_up(now, watched)
        watched.state = entry.state

    def forget(self, engine: str) -> None:
        self.engines.pop(engine, None)

    def reported(self, engine: str, load: float) -> None:
        if (watched := self.engines.get(engine)) is not None:
            watched.load = load

    def sent(
        self, now: int, engine: str, query: int, attempt: int, cls: int, estimate_us: float | None
    ) -> None:
        watched = self.engines.get(engine)
        if watched is None:
            return
        watched.out[query, attempt] = now, cls, estimate_us
        if watched.silent_since is None:
            watched.silent_since = now

    def noted(self, now: int, engine: str) -> None:
        """Progress of an attempt."""
        if (watched := self.engines.get(engine)) is not None:
            self._alive(now, watched)

    def ended(self, now: int, engine: str, query: int, attempt: int, outcome: api.Outcome, us: int) -> None:
        watched = self.engines.get(engine)
        if watched is None:
            return
        out = watched.out.pop((query, attempt), None)
        if outcome is api.Outcome.OK and watched.up and not watched.active:  # the ordinary path
            watched.signs += 1
            watched.alive_us = now
            watched.silent_since = now if watched.out else None
            if watched.silent:
                watched.silent, watched.silent_top = 0.0, []
            if watched.share > 0.001:
                self._outcome(now, watched, False)
            if watched.measures and out is not None:
                watched.measures -= 1
                self._latency(now, watched, out, us)
            return
        if outcome in ALIVE:
            self._alive(now, watched, out)
        elif out is not None and outcome in SILENT:
            surprise = self._surprise(watched, out, now)
            watched.silent += surprise
            watched.silent_us = now
            watched.silent_top = sorted([*watched.silent_top, surprise])[-3:]
        if outcome is api.Outcome.OK:
            if out is not None:
                self._latency(now, watched, out, us)
            self._outcome(now, watched, False)
            if not watched.up:
                self._turned_up(now, watched)
        elif outcome is api.Outcome.ERROR:
            self._outcome(now, watched, True)
        elif outcome in (api.Outcome.RESET, api.Outcome.CONNECT_FAILED):
            if now - watched.broken_us > BURST_US:
                self._outcome(now, watched, True)
            watched.broken_us = now
            if outcome is api.Outcome.CONNECT_FAILED:
                watched.up = False
                self._sign(watched, now)  # refused: it is dead, which is no silence
                if Verdict.STALLED in watched.active:
                    self._end(now, watched, Verdict.STALLED, now, {"refused": 1.0})

    def tick(self, now: int) -> None:
        """Look for silence and for judgements that are over; a few times a second."""
        self._compare(now)
        passed = max(1, now - self.ticked_at) if self.ticked_at else PACE_US
        fade = exp(-passed / PACE_US)
        self.ticked_at = now
        for watched in self.engines.values():
            watched.pace = watched.pace * fade + (1 - fade) * watched.signs * SECOND / passed
            watched.signs, watched.measures = 0, MEASURED
            if watched.out or watched.silent:
                self._silence(now, watched)
            if watched.active:
                self._review(now, watched)
        if now - self.faded_at > FRESH_US:
            self.faded_at = now
            for peers in self.kinds.values():
                peers.fade()

    def _compare(self, now: int) -> None:
        """What the middle engine of each kind does now, which alarms for none of them."""
        shares: dict[str, list[float]] = {}
        shifts: dict[str, list[float]] = {}
        for watched in self.engines.values():
            if watched.state is api.EngineState.READY:
                shares.setdefault(watched.kind, []).append(watched.share)
                if now - watched.answered_us <= FRESH_US and watched.recent_count >= RECENT_FIRST:
                    shifts.setdefault(watched.kind, []).append(watched.recent)
        self.usual_share = {kind: middle(found) for kind, found in shares.items()}
        self.usual_shift = {kind: middle(found) for kind, found in shifts.items() if len(found) >= 3}

    def peers(self, kind: str) -> Peers:
        found = self.kinds.get(kind)
        if found is None:
            found = self.kinds[kind] = Peers()
        return found

    # --- Silence.

    def _sign(self, watched: Watched, now: int) -> None:
        watched.alive_us = now
        watched.silent, watched.silent_top = 0.0, []
        watched.silent_since = now if watched.out else None

    def _alive(self, now: int, watched: Watched, out: Out | None = None) -> None:
        watched.signs += 1
        if Verdict.STALLED in watched.active:
            why = {"silent_s": (now - watched.alive_us) / SECOND}
            self._end(now, watched, Verdict.STALLED, self._thawed(now, watched, out), why)
        self._sign(watched, now)

    def _thawed(self, now: int, watched: Watched, out: Out | None) -> int:
        """When the silence ended: half-way between its last proof and the first sign. The proof is the last
        attempt that was given up, or is out and overdue. An answer that took long waited for the end; one as
        quick as usual was sent after it."""
        proof = max(watched.silent_us, watched.alive_us)
        for other in watched.out.values():
            due = other[0] + int(2 * self._expected(watched, other)[0])
            if proof < due < now:
                proof = due
        sign = now
        if out is not None:
            expected, _ = self._expected(watched, out)
            sign = out[0] if now - out[0] <= 3 * expected else now - int(expected)
        return (proof + max(proof, sign)) // 2

    def _surprise(self, watched: Watched, out: Out, now: int) -> float:
        """Of one attempt's silence since the engine's last sign."""
        expected, scale = self._expected(watched, out)
        heard = max(0, watched.alive_us - out[0])
        return min(SURPRISE_MOST, hazard(now - out[0], expected, scale) - hazard(heard, expected, scale))

    def _expected(self, watched: Watched, out: Out) -> tuple[float, float]:
        """The usual time of an answer in us, at the engine's load, and its scale."""
        _, cls, estimate_us = out
        peers = self.peers(watched.kind)
        usual = peers.usual.get(cls)
        shift = min(2.0, max(0.0, peers.shift(watched.load)))
        expected = peers.expected_us(cls, estimate_us) * exp(shift)
        return max(1_000.0, expected), usual.scale if usual is not None else FIRST_SCALE

    def _silence(self, now: int, watched: Watched) -> None:
        since = watched.silent_since
        if since is None or Verdict.STALLED in watched.active:
            return
        gap = now - max(since, watched.alive_us)
        if gap < self.limits.stalled_least_us:
            return
        each = [self._surprise(watched, out, now) for out in islice(watched.out.values(), LOOKED_AT)]
        total = watched.silent + sum(each)
        if total < self.limits.stalled_evidence:
            return
        by_pace = watched.pace * exp(-gap / PACE_US / 8) * gap / SECOND
        by_few = 0.0
        if gap >= 2 * self.limits.stalled_least_us:
            by_few = sum(sorted([*each, *watched.silent_top])[-3:])
        evidence = min(total, max(by_pace, by_few))
        if evidence < self.limits.stalled_evidence:
            return
        active, answering = 0, 0
        for peer in self._peers_of(watched):
            if peer.out or now - peer.alive_us <= gap:
                active += 1
                answering += now - peer.alive_us <= max(gap / 2, SECOND)
        if not answering or answering * 2 < active:
            return  # others are silent too: it is not this engine
        begin = max(since, watched.alive_us)
        figures = {
            "evidence": evidence,
            "silent_s": gap / SECOND,
            "unanswered": float(len(each)),
            "peers_answering": float(answering),
            "peers": float(active),
        }
        self._begin(now, watched, Verdict.STALLED, begin, figures)

    # --- Latency.

    def _latency(self, now: int, watched: Watched, out: Out, us: int) -> None:
        peers, (_, cls, estimate_us) = self.peers(watched.kind), out
        residual = peers.residual(cls, estimate_us, us, watched.load)
        watched.answered_us = now
        if residual is None:
            return
        scale = peers.usual[cls].scale
        apart = residual * scale
        watched.recent += (apart - watched.recent) * max(RECENT, 1 / (watched.recent_count + 1))
        watched.recent_count += 1
        # The shift to be found, in scales; no more than half of what an answer is clipped to.
        shift = min(1.5, log(self.limits.slow_factor) / scale)
        residual -= self.usual_shift.get(watched.kind, 0.0) / scale  # a slow fleet is nobody's fault
        most = 2 * self.limits.slow_evidence
        if watched.slow == 0.0:
            watched.slow_since, watched.slow_count = now - us, 0
        if watched.quick == 0.0:
            watched.quick_since = now
        watched.slow = min(most, max(0.0, watched.slow + shift * (residual - shift / 2)))
        watched.quick = min(most, max(0.0, watched.quick + shift * (shift / 2 - residual)))
        watched.slow_count += 1
        if Verdict.SLOW in watched.active:
            if watched.quick >= self.limits.slow_evidence / 2:
                self._end(
                    now, watched, Verdict.SLOW, watched.quick_since, {"times_usual": exp(watched.recent)}
                )
                watched.slow = 0.0
            return
        if watched.slow >= self.limits.slow_evidence:
            self._slow(now, watched)
        elif watched.slow < self.limits.slow_evidence / 3:
            gain = max(BEFORE, 1 / (watched.before_count + 1))
            watched.before += (apart - watched.before) * gain
            watched.before_count += 1
            peers.learn(cls, apart / scale, watched.slot, watched.load)
        else:  # what may be slowness is learnt from slowly, or a slow fleet would never be usual
            usual = peers.usual[cls]
            usual.location += 0.2 * apart / 150

    def _slow(self, now: int, watched: Watched) -> None:
        factor = log(self.limits.slow_factor) * NEAR
        others = [
            peer
            for peer in self._peers_of(watched)
            if now - peer.answered_us <= FRESH_US and peer.recent_count >= RECENT_FIRST
        ]
        if len(others) < 2 or watched.slow_count < RECENT_FIRST or watched.recent_count < RECENT_FIRST:
            return
        usual = middle([peer.recent for peer in others])
        spread = 1.5 * middle([abs(peer.recent - usual) for peer in others])
        own = watched.before if watched.before_count >= BEFORE_FIRST else usual
        apart = watched.recent - max(usual, own)
        if apart < max(factor, 2 * spread) or middle([peer.slow for peer in others]) > watched.slow / 2:
            return
        figures = {
            "evidence": watched.slow,
            "times_peers": exp(watched.recent - usual),
            "times_before": exp(watched.recent - own),
            "answers": float(watched.slow_count),
            "load": watched.load,
        }
        watched.quick = 0.0
        self._begin(now, watched, Verdict.SLOW, watched.slow_since, figures)

    # --- Errors.

    def _outcome(self, now: int, watched: Watched, bad: bool) -> None:
        watched.share += SHARE_GAIN * (bad - watched.share)
        shares = self.usual_share.get(watched.kind, 0.0)
        usual = min(0.5, max(0.02, 1.5 * shares))
        failing = min(0.95, max(self.limits.failing_share, 2.5 * usual))
        step = log(failing / usual) if bad else log((1 - failing) / (1 - usual))
        if watched.failing == 0.0:
            watched.failing_since = now
        watched.failing = min(2 * FAILING_EVIDENCE, max(0.0, watched.failing + step))
        if bad:
            watched.bad_us = now
        elif watched.sound == 0.0:  # between the last error and this answer nobody knows
            watched.sound_since = (max(watched.bad_us, watched.failing_since) + now) // 2
        watched.sound = min(2 * SOUND_EVIDENCE, max(0.0, watched.sound - step))
        if Verdict.FAILING in watched.active:
            if watched.sound >= SOUND_EVIDENCE and watched.share < self.limits.failing_share / 2:
                self._end(now, watched, Verdict.FAILING, watched.sound_since, {"share": watched.share})
                watched.failing = 0.0
        elif bad and watched.failing >= FAILING_EVIDENCE and watched.share > 2 * shares:
            figures = {"evidence": watched.failing, "share": watched.share, "peers_share": shares}
            watched.sound = 0.0
            self._begin(now, watched, Verdict.FAILING, watched.failing_since, figures)

    # --- Coming and going.

    def _turned_up(self, now: int, watched: Watched) -> None:
        watched.up = True
        watched.turns.append(now)
        within = self.limits.flapping_within_us
        watched.turns = turns = [at for at in watched.turns if now - at <= within][-100:]
        if len(turns) >= self.limits.flapping_turns and Verdict.FLAPPING not in watched.active:
            figures = {"turns": float(len(turns)), "within_s": (now - turns[0]) / SECOND}
            self._begin(now, watched, Verdict.FLAPPING, turns[0], figures)

    def _cold(self, now: int, watched: Watched, started_us: int) -> None:
        watched.cold_until = started_us + self.cold_us
        watched.before_count = watched.recent_count = 0
        watched.slow = watched.quick = watched.failing = watched.sound = watched.share = 0.0
        if now < watched.cold_until and Verdict.COLD_AGAIN not in watched.active:
            figures = {
                "age_s": (now - started_us) / SECOND,
                "cold_for_s": (watched.cold_until - now) / SECOND,
            }
            self._begin(now, watched, Verdict.COLD_AGAIN, started_us, figures)

    def _review(self, now: int, watched: Watched) -> None:
        if Verdict.COLD_AGAIN in watched.active and now >= watched.cold_until:
            self._end(now, watched, Verdict.COLD_AGAIN, watched.cold_until, {})
        if Verdict.FLAPPING in watched.active:
            last = watched.turns[-1]
            if now - last > self.limits.flapping_within_us:
                self._end(now, watched, Verdict.FLAPPING, last, {"quiet_s": (now - last) / SECOND})
        for verdict in (Verdict.SLOW, Verdict.FAILING):
            if verdict in watched.active and now - max(watched.answered_us, watched.broken_us) > UNHEARD_US:
                self._end(now, watched, verdict, watched.answered_us, {"unheard_s": UNHEARD_US / SECOND})

    # --- Verdicts.

    def _peers_of(self, watched: Watched) -> Iterable[Watched]:
        return (
            peer
            for peer in self.engines.values()
            if peer is not watched and peer.kind == watched.kind and peer.state is api.EngineState.READY
        )

    def _begin(self, now: int, watched: Watched, verdict: Verdict, since: int, why: dict[str, float]) -> None:
        watched.active[verdict] = since
        self.happenings.append(Happening(watched.engine, verdict, True, now, since, why))

    def _end(self, now: int, watched: Watched, verdict: Verdict, since: int, why: dict[str, float]) -> None:
        began = watched.active.pop(verdict)
        why = {**why, "lasted_s": max(0, since - began) / SECOND}
        self.happenings.append(Happening(watched.engine, verdict, False, now, since, why))

    def _end_all(self, now: int, watched: Watched) -> None:
        for verdict in list(watched.active):
            self._end(now, watched, verdict, now, {"gone": 1.0})
