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
from whintrail.timeline.baseline import INITIAL_SCALE, KindBaseline, median_or_zero
from whintrail.timeline.events import ANSWERED_OUTCOMES, UNANSWERED_OUTCOMES, Detection, Verdict

SECOND_US = 1_000_000
LOGISTIC_TAIL_SLOPE = (
    1.6  # the logistic law's slope against a normal one's deviation: the tail of answer times is heavy
)
MAX_SURPRISE_PER_ATTEMPT = 5.0  # of one attempt: a single lost answer or bad plan is no stall
MAX_ATTEMPTS_EXAMINED = 64  # attempts on one engine, the oldest first
PACE_WINDOW_US = 5.0 * SECOND_US  # over which an engine's pace of answers is measured
RECENT_GAIN, LONG_TERM_GAIN = 0.12, 0.01  # gains of an engine's latency of late, and before
MIN_LONG_TERM_SAMPLES, MIN_RECENT_SAMPLES = 30, 5  # answers before these say anything
SLOW_CONFIRMATION_SHARE = 0.85  # of the stated factor's logarithm: what the recent mean must show
ERROR_SHARE_GAIN, FAILING_EVIDENCE, HEALTHY_EVIDENCE = 0.1, 9.0, 6.0
CONNECTION_ERROR_BURST_US = 100_000  # resets that close together are one broken link, not many answers
PEER_FRESHNESS_US = 10 * SECOND_US  # peers heard from so lately are compared with
LATENCY_SAMPLES_PER_TICK = (
    2  # answers of an engine a tick whose latency is looked at: more would say little more
)
VERDICT_EXPIRY_US = 60 * SECOND_US  # a judgement that nothing confirms for so long ends


@dataclass(frozen=True, slots=True)
class Thresholds:
    """When behaviour counts as unusual. Evidence is in natural logarithms of likelihood."""

    stalled_evidence: float = 14.0
    stalled_least_us: int = SECOND_US
    slow_factor: float = 2.5
    slow_evidence: float = 16.0
    failing_share: float = 0.3
    flapping_turns: int = 3
    flapping_within_us: int = 60 * SECOND_US


OutstandingAttempt = tuple[
    int, int, float | None
]  # an attempt without an outcome: when sent, class, estimate in us


def cumulative_hazard(age_us: int, expected_us: float, scale: float) -> float:
    """How surprising it is that no answer came by that age: -ln of the chance."""
    if age_us <= 0:
        return 0.0
    z = LOGISTIC_TAIL_SLOPE * log(age_us / expected_us) / scale
    return z if z > 30 else log1p(exp(z))


@dataclass(slots=True, eq=False)
class MonitoredEngine:
    """What the judge keeps of one engine."""

    engine: str
    slot: int
    kind: str = ""
    state: api.EngineState = api.EngineState.REMOVED
    started_us: int | None = None
    cold_until_us: int = 0
    known_us: int = 0
    load: float = 0.0
    outstanding: dict[tuple[int, int], OutstandingAttempt] = field(default_factory=dict)
    # Silence.
    last_sign_us: int = 0  # the last sign that it works on what it is sent
    unanswered_since_us: int | None = None  # the first attempt sent that has no sign after it
    silence_evidence: float = 0.0  # surprise of attempts that ended without a sign
    largest_surprises: list[float] = field(default_factory=list)  # the three largest
    silent_until_us: int = 0  # when one of them ended last: until then at least it was silent
    signs_since_tick: int = 0  # since the last tick
    signs_per_s: float = 0.0  # signs a second, of late
    latency_samples_left: int = (
        LATENCY_SAMPLES_PER_TICK  # answers whose latency is looked at until the next tick
    )
    # Latency.
    slow_cusum: float = 0.0
    slow_since_us: int = 0
    slow_samples: int = 0
    recovery_cusum: float = 0.0
    recovery_since_us: int = 0
    recent_residual: float = 0.0
    recent_samples: int = 0
    long_term_residual: float = 0.0
    long_term_samples: int = 0
    last_answer_us: int = 0
    # Errors.
    error_share: float = 0.0
    failing_evidence: float = 0.0
    failing_since_us: int = 0
    healthy_evidence: float = 0.0
    healthy_since_us: int = 0
    last_connection_error_us: int = 0
    last_error_us: int = 0
    # Coming and going.
    is_up: bool = True
    return_times_us: list[int] = field(default_factory=list)
    active_verdicts: dict[Verdict, int] = field(default_factory=dict)  # verdicts in force, since when


class Detector:
    """Fed in order of time; `happenings` collects what it calls, `tick` looks for silence."""

    def __init__(self, thresholds: Thresholds, cold_duration_us: int = 0) -> None:
        self.thresholds, self.cold_duration_us = thresholds, cold_duration_us
        self.engines: dict[str, MonitoredEngine] = {}
        self.baselines: dict[str, KindBaseline] = {}
        self.detections: list[Detection] = []
        self.last_decay_us = self.last_tick_us = 0
        # Of each kind, renewed with every tick: the median share of errors, and how far latency is off now.
        self.median_error_share: dict[str, float] = {}
        self.median_latency_shift: dict[str, float] = {}

    # --- What happens.

    def update_engine(self, now: int, slot: int, entry: api.EngineEntry) -> None:
        watched = self.engines.get(entry.engine)
        if entry.state is api.EngineState.REMOVED:
            if watched is not None:
                self._end_all_verdicts(now, watched)
                if watched.is_up:
                    watched.is_up = False
                watched.state = entry.state
                watched.outstanding.clear()
                self._reset_silence(watched, now)
            return
        if watched is None:
            watched = self.engines[entry.engine] = MonitoredEngine(
                entry.engine, slot, known_us=now, last_sign_us=now
            )
            watched.started_us = entry.started_us
        elif entry.started_us is not None and entry.started_us != watched.started_us:
            watched.started_us = entry.started_us
            self._record_restart(now, watched, entry.started_us)
        watched.kind = entry.kind
        if watched.state is api.EngineState.REMOVED and not watched.is_up:
            self._record_return(now, watched)
        watched.state = entry.state

    def forget(self, engine: str) -> None:
        self.engines.pop(engine, None)

    def record_load(self, engine: str, load: float) -> None:
        if (watched := self.engines.get(engine)) is not None:
            watched.load = load

    def record_sent(
        self, now: int, engine: str, query: int, attempt: int, class_code: int, estimate_us: float | None
    ) -> None:
        watched = self.engines.get(engine)
        if watched is None:
            return
        watched.outstanding[query, attempt] = now, class_code, estimate_us
        if watched.unanswered_since_us is None:
            watched.unanswered_since_us = now

    def record_progress(self, now: int, engine: str) -> None:
        """Progress of an attempt."""
        if (watched := self.engines.get(engine)) is not None:
            self._record_sign(now, watched)

    def record_ended(
        self, now: int, engine: str, query: int, attempt: int, outcome: api.Outcome, elapsed_us: int
    ) -> None:
        watched = self.engines.get(engine)
        if watched is None:
            return
        out = watched.outstanding.pop((query, attempt), None)
        if outcome is api.Outcome.OK and watched.is_up and not watched.active_verdicts:  # the ordinary path
            watched.signs_since_tick += 1
            watched.last_sign_us = now
            watched.unanswered_since_us = now if watched.outstanding else None
            if watched.silence_evidence:
                watched.silence_evidence, watched.largest_surprises = 0.0, []
            if watched.error_share > 0.001:
                self._update_error_share(now, watched, False)
            if watched.latency_samples_left and out is not None:
                watched.latency_samples_left -= 1
                self._update_latency(now, watched, out, elapsed_us)
            return
        if outcome in ANSWERED_OUTCOMES:
            self._record_sign(now, watched, out)
        elif out is not None and outcome in UNANSWERED_OUTCOMES:
            surprise = self._silence_surprise(watched, out, now)
            watched.silence_evidence += surprise
            watched.silent_until_us = now
            watched.largest_surprises = sorted([*watched.largest_surprises, surprise])[-3:]
        if outcome is api.Outcome.OK:
            if out is not None:
                self._update_latency(now, watched, out, elapsed_us)
            self._update_error_share(now, watched, False)
            if not watched.is_up:
                self._record_return(now, watched)
        elif outcome is api.Outcome.ERROR:
            self._update_error_share(now, watched, True)
        elif outcome in (api.Outcome.RESET, api.Outcome.CONNECT_FAILED):
            if now - watched.last_connection_error_us > CONNECTION_ERROR_BURST_US:
                self._update_error_share(now, watched, True)
            watched.last_connection_error_us = now
            if outcome is api.Outcome.CONNECT_FAILED:
                watched.is_up = False
                self._reset_silence(watched, now)  # refused: it is dead, which is no silence
                if Verdict.STALLED in watched.active_verdicts:
                    self._end_verdict(now, watched, Verdict.STALLED, now, {"refused": 1.0})

    def tick(self, now: int) -> None:
        """Look for silence and for judgements that are over; a few times a second."""
        self._update_medians(now)
        passed = max(1, now - self.last_tick_us) if self.last_tick_us else PACE_WINDOW_US
        fade = exp(-passed / PACE_WINDOW_US)
        self.last_tick_us = now
        for watched in self.engines.values():
            watched.signs_per_s = (
                watched.signs_per_s * fade + (1 - fade) * watched.signs_since_tick * SECOND_US / passed
            )
            watched.signs_since_tick, watched.latency_samples_left = 0, LATENCY_SAMPLES_PER_TICK
            if watched.outstanding or watched.silence_evidence:
                self._check_stalled(now, watched)
            if watched.active_verdicts:
                self._expire_verdicts(now, watched)
        if now - self.last_decay_us > PEER_FRESHNESS_US:
            self.last_decay_us = now
            for peers in self.baselines.values():
                peers.decay()

    def _update_medians(self, now: int) -> None:
        """What the middle engine of each kind does now, which alarms for none of them."""
        shares: dict[str, list[float]] = {}
        shifts: dict[str, list[float]] = {}
        for watched in self.engines.values():
            if watched.state is api.EngineState.READY:
                shares.setdefault(watched.kind, []).append(watched.error_share)
                if (
                    now - watched.last_answer_us <= PEER_FRESHNESS_US
                    and watched.recent_samples >= MIN_RECENT_SAMPLES
                ):
                    shifts.setdefault(watched.kind, []).append(watched.recent_residual)
        self.median_error_share = {kind: median_or_zero(found) for kind, found in shares.items()}
        self.median_latency_shift = {
            kind: median_or_zero(found) for kind, found in shifts.items() if len(found) >= 3
        }

    def baseline(self, kind: str) -> KindBaseline:
        found = self.baselines.get(kind)
        if found is None:
            found = self.baselines[kind] = KindBaseline()
        return found

    # --- Silence.

    def _reset_silence(self, watched: MonitoredEngine, now: int) -> None:
        watched.last_sign_us = now
        watched.silence_evidence, watched.largest_surprises = 0.0, []
        watched.unanswered_since_us = now if watched.outstanding else None

    def _record_sign(
        self, now: int, watched: MonitoredEngine, attempt: OutstandingAttempt | None = None
    ) -> None:
        watched.signs_since_tick += 1
        if Verdict.STALLED in watched.active_verdicts:
            why = {"silent_s": (now - watched.last_sign_us) / SECOND_US}
            self._end_verdict(
                now, watched, Verdict.STALLED, self._estimate_stall_end(now, watched, attempt), why
            )
        self._reset_silence(watched, now)

    def _estimate_stall_end(
        self, now: int, watched: MonitoredEngine, attempt: OutstandingAttempt | None
    ) -> int:
        """When the silence ended: half-way between its last proof and the first sign. The proof is the last
        attempt that was given up, or is out and overdue. An answer that took long waited for the end; one as
        quick as usual was sent after it."""
        proof = max(watched.silent_until_us, watched.last_sign_us)
        for other in watched.outstanding.values():
            due = other[0] + int(2 * self._expected_answer(watched, other)[0])
            if proof < due < now:
                proof = due
        sign = now
        if attempt is not None:
            expected, _ = self._expected_answer(watched, attempt)
            sign = attempt[0] if now - attempt[0] <= 3 * expected else now - int(expected)
        return (proof + max(proof, sign)) // 2

    def _silence_surprise(self, watched: MonitoredEngine, attempt: OutstandingAttempt, now: int) -> float:
        """Of one attempt's silence since the engine's last sign."""
        expected, scale = self._expected_answer(watched, attempt)
        heard = max(0, watched.last_sign_us - attempt[0])
        return min(
            MAX_SURPRISE_PER_ATTEMPT,
            cumulative_hazard(now - attempt[0], expected, scale) - cumulative_hazard(heard, expected, scale),
        )

    def _expected_answer(self, watched: MonitoredEngine, attempt: OutstandingAttempt) -> tuple[float, float]:
        """The usual time of an answer in us, at the engine's load, and its scale."""
        _, cls, estimate_us = attempt
        peers = self.baseline(watched.kind)
        usual = peers.classes.get(cls)
        shift = min(2.0, max(0.0, peers.load_shift(watched.load)))
        expected = peers.expected_answer_us(cls, estimate_us) * exp(shift)
        return max(1_000.0, expected), usual.scale if usual is not None else INITIAL_SCALE

    def _check_stalled(self, now: int, watched: MonitoredEngine) -> None:
        since = watched.unanswered_since_us
        if since is None or Verdict.STALLED in watched.active_verdicts:
            return
        gap = now - max(since, watched.last_sign_us)
        if gap < self.thresholds.stalled_least_us:
            return
        each = [
            self._silence_surprise(watched, out, now)
            for out in islice(watched.outstanding.values(), MAX_ATTEMPTS_EXAMINED)
        ]
        total = watched.silence_evidence + sum(each)
        if total < self.thresholds.stalled_evidence:
            return
        by_pace = watched.signs_per_s * exp(-gap / PACE_WINDOW_US / 8) * gap / SECOND_US
        by_few = 0.0
        if gap >= 2 * self.thresholds.stalled_least_us:
            by_few = sum(sorted([*each, *watched.largest_surprises])[-3:])
        evidence = min(total, max(by_pace, by_few))
        if evidence < self.thresholds.stalled_evidence:
            return
        active, answering = 0, 0
        for peer in self._peers_of(watched):
            if peer.outstanding or now - peer.last_sign_us <= gap:
                active += 1
                answering += now - peer.last_sign_us <= max(gap / 2, SECOND_US)
        if not answering or answering * 2 < active:
            return  # others are silent too: it is not this engine
        begin = max(since, watched.last_sign_us)
        figures = {
            "evidence": evidence,
            "silent_s": gap / SECOND_US,
            "unanswered": float(len(each)),
            "peers_answering": float(answering),
            "peers": float(active),
        }
        self._begin_verdict(now, watched, Verdict.STALLED, begin, figures)

    # --- Latency.

    def _update_latency(
        self, now: int, watched: MonitoredEngine, attempt: OutstandingAttempt, elapsed_us: int
    ) -> None:
        peers, (_, cls, estimate_us) = self.baseline(watched.kind), attempt
        residual = peers.residual(cls, estimate_us, elapsed_us, watched.load)
        watched.last_answer_us = now
        if residual is None:
            return
        scale = peers.classes[cls].scale
        apart = residual * scale
        watched.recent_residual += (apart - watched.recent_residual) * max(
            RECENT_GAIN, 1 / (watched.recent_samples + 1)
        )
        watched.recent_samples += 1
        # The shift to be found, in scales; no more than half of what an answer is clipped to.
        shift = min(1.5, log(self.thresholds.slow_factor) / scale)
        residual -= self.median_latency_shift.get(watched.kind, 0.0) / scale  # a slow fleet is nobody's fault
        most = 2 * self.thresholds.slow_evidence
        if watched.slow_cusum == 0.0:
            watched.slow_since_us, watched.slow_samples = now - elapsed_us, 0
        if watched.recovery_cusum == 0.0:
            watched.recovery_since_us = now
        watched.slow_cusum = min(most, max(0.0, watched.slow_cusum + shift * (residual - shift / 2)))
        watched.recovery_cusum = min(most, max(0.0, watched.recovery_cusum + shift * (shift / 2 - residual)))
        watched.slow_samples += 1
        if Verdict.SLOW in watched.active_verdicts:
            if watched.recovery_cusum >= self.thresholds.slow_evidence / 2:
                self._end_verdict(
                    now,
                    watched,
                    Verdict.SLOW,
                    watched.recovery_since_us,
                    {"times_usual": exp(watched.recent_residual)},
                )
                watched.slow_cusum = 0.0
            return
        if watched.slow_cusum >= self.thresholds.slow_evidence:
            self._check_slow(now, watched)
        elif watched.slow_cusum < self.thresholds.slow_evidence / 3:
            gain = max(LONG_TERM_GAIN, 1 / (watched.long_term_samples + 1))
            watched.long_term_residual += (apart - watched.long_term_residual) * gain
            watched.long_term_samples += 1
            peers.update(cls, apart / scale, watched.slot, watched.load)
        else:  # what may be slowness is learnt from slowly, or a slow fleet would never be usual
            usual = peers.classes[cls]
            usual.location += 0.2 * apart / 150

    def _check_slow(self, now: int, watched: MonitoredEngine) -> None:
        factor = log(self.thresholds.slow_factor) * SLOW_CONFIRMATION_SHARE
        others = [
            peer
            for peer in self._peers_of(watched)
            if now - peer.last_answer_us <= PEER_FRESHNESS_US and peer.recent_samples >= MIN_RECENT_SAMPLES
        ]
        if (
            len(others) < 2
            or watched.slow_samples < MIN_RECENT_SAMPLES
            or watched.recent_samples < MIN_RECENT_SAMPLES
        ):
            return
        usual = median_or_zero([peer.recent_residual for peer in others])
        spread = 1.5 * median_or_zero([abs(peer.recent_residual - usual) for peer in others])
        own = watched.long_term_residual if watched.long_term_samples >= MIN_LONG_TERM_SAMPLES else usual
        apart = watched.recent_residual - max(usual, own)
        if (
            apart < max(factor, 2 * spread)
            or median_or_zero([peer.slow_cusum for peer in others]) > watched.slow_cusum / 2
        ):
            return
        figures = {
            "evidence": watched.slow_cusum,
            "times_peers": exp(watched.recent_residual - usual),
            "times_before": exp(watched.recent_residual - own),
            "answers": float(watched.slow_samples),
            "load": watched.load,
        }
        watched.recovery_cusum = 0.0
        self._begin_verdict(now, watched, Verdict.SLOW, watched.slow_since_us, figures)

    # --- Errors.

    def _update_error_share(self, now: int, watched: MonitoredEngine, is_error: bool) -> None:
        watched.error_share += ERROR_SHARE_GAIN * (is_error - watched.error_share)
        shares = self.median_error_share.get(watched.kind, 0.0)
        usual = min(0.5, max(0.02, 1.5 * shares))
        failing = min(0.95, max(self.thresholds.failing_share, 2.5 * usual))
        step = log(failing / usual) if is_error else log((1 - failing) / (1 - usual))
        if watched.failing_evidence == 0.0:
            watched.failing_since_us = now
        watched.failing_evidence = min(2 * FAILING_EVIDENCE, max(0.0, watched.failing_evidence + step))
        if is_error:
            watched.last_error_us = now
        elif watched.healthy_evidence == 0.0:  # between the last error and this answer nobody knows
            watched.healthy_since_us = (max(watched.last_error_us, watched.failing_since_us) + now) // 2
        watched.healthy_evidence = min(2 * HEALTHY_EVIDENCE, max(0.0, watched.healthy_evidence - step))
        if Verdict.FAILING in watched.active_verdicts:
            if (
                watched.healthy_evidence >= HEALTHY_EVIDENCE
                and watched.error_share < self.thresholds.failing_share / 2
            ):
                self._end_verdict(
                    now, watched, Verdict.FAILING, watched.healthy_since_us, {"share": watched.error_share}
                )
                watched.failing_evidence = 0.0
        elif is_error and watched.failing_evidence >= FAILING_EVIDENCE and watched.error_share > 2 * shares:
            figures = {
                "evidence": watched.failing_evidence,
                "share": watched.error_share,
                "peers_share": shares,
            }
            watched.healthy_evidence = 0.0
            self._begin_verdict(now, watched, Verdict.FAILING, watched.failing_since_us, figures)

    # --- Coming and going.

    def _record_return(self, now: int, watched: MonitoredEngine) -> None:
        watched.is_up = True
        watched.return_times_us.append(now)
        within = self.thresholds.flapping_within_us
        watched.return_times_us = turns = [at for at in watched.return_times_us if now - at <= within][-100:]
        if len(turns) >= self.thresholds.flapping_turns and Verdict.FLAPPING not in watched.active_verdicts:
            figures = {"turns": float(len(turns)), "within_s": (now - turns[0]) / SECOND_US}
            self._begin_verdict(now, watched, Verdict.FLAPPING, turns[0], figures)

    def _record_restart(self, now: int, watched: MonitoredEngine, started_us: int) -> None:
        watched.cold_until_us = started_us + self.cold_duration_us
        watched.long_term_samples = watched.recent_samples = 0
        watched.slow_cusum = watched.recovery_cusum = watched.failing_evidence = watched.healthy_evidence = (
            watched.error_share
        ) = 0.0
        if now < watched.cold_until_us and Verdict.COLD_AGAIN not in watched.active_verdicts:
            figures = {
                "age_s": (now - started_us) / SECOND_US,
                "cold_for_s": (watched.cold_until_us - now) / SECOND_US,
            }
            self._begin_verdict(now, watched, Verdict.COLD_AGAIN, started_us, figures)

    def _expire_verdicts(self, now: int, watched: MonitoredEngine) -> None:
        if Verdict.COLD_AGAIN in watched.active_verdicts and now >= watched.cold_until_us:
            self._end_verdict(now, watched, Verdict.COLD_AGAIN, watched.cold_until_us, {})
        if Verdict.FLAPPING in watched.active_verdicts:
            last = watched.return_times_us[-1]
            if now - last > self.thresholds.flapping_within_us:
                self._end_verdict(now, watched, Verdict.FLAPPING, last, {"quiet_s": (now - last) / SECOND_US})
        for verdict in (Verdict.SLOW, Verdict.FAILING):
            if (
                verdict in watched.active_verdicts
                and now - max(watched.last_answer_us, watched.last_connection_error_us) > VERDICT_EXPIRY_US
            ):
                self._end_verdict(
                    now,
                    watched,
                    verdict,
                    watched.last_answer_us,
                    {"unheard_s": VERDICT_EXPIRY_US / SECOND_US},
                )

    # --- Verdicts.

    def _peers_of(self, watched: MonitoredEngine) -> Iterable[MonitoredEngine]:
        return (
            peer
            for peer in self.engines.values()
            if peer is not watched and peer.kind == watched.kind and peer.state is api.EngineState.READY
        )

    def _begin_verdict(
        self, now: int, watched: MonitoredEngine, verdict: Verdict, since_us: int, evidence: dict[str, float]
    ) -> None:
        watched.active_verdicts[verdict] = since_us
        self.detections.append(Detection(watched.engine, verdict, True, now, since_us, evidence))

    def _end_verdict(
        self, now: int, watched: MonitoredEngine, verdict: Verdict, since_us: int, evidence: dict[str, float]
    ) -> None:
        began = watched.active_verdicts.pop(verdict)
        evidence = {**evidence, "lasted_s": max(0, since_us - began) / SECOND_US}
        self.detections.append(Detection(watched.engine, verdict, False, now, since_us, evidence))

    def _end_all_verdicts(self, now: int, watched: MonitoredEngine) -> None:
        for verdict in list(watched.active_verdicts):
            self._end_verdict(now, watched, verdict, now, {"gone": 1.0})
