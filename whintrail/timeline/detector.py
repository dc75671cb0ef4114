"""Detects engines that are stalled, slow, failing, flapping or restarted (cold again), and when that ends.

It works on the outcomes of this gateway's attempts, one by one and without I/O. Routing doesn't depend on it.
docs/timeline.md compares it with other methods.

Stalled: each attempt without an answer adds its surprise, the cumulative hazard of the fleet's distribution
of answer times since the engine's last sign of life. As attempts on one engine are late together, the sum is
bounded by what the engine's own rate of answers makes likely.
Slow: Page's CUSUM of log-likelihood ratios (Page, "Continuous inspection schemes", 1954) on clipped residuals
against class, load and peers, confirmed by the deviation from the peers and from the engine's own past.
Failing: a sequential test of the share of errors (Wald, 1945), restarted at zero.
All tests compare the engine with the median of its peers, so that a change that affects all engines is
detected on none.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice
from math import exp, log, log1p

from whintrail import interface as api
from whintrail.timeline.baseline import INITIAL_SCALE, KindBaseline, median_or_zero
from whintrail.timeline.events import ANSWERED_OUTCOMES, UNANSWERED_OUTCOMES, Detection, Verdict

SECOND_US = 1_000_000
# Slope of the logistic distribution relative to a normal one's deviation: answer times have a heavy tail.
LOGISTIC_TAIL_SLOPE = 1.6
MAX_SURPRISE_PER_ATTEMPT = 5.0  # so that a single lost answer or bad plan is no stall
MAX_ATTEMPTS_EXAMINED = 64  # on one engine, the oldest first
PACE_WINDOW_US = 5.0 * SECOND_US  # of an engine's rate of answers
# Gains of the two moving averages of an engine's latency, and the answers before each of them is used.
RECENT_GAIN = 0.12
LONG_TERM_GAIN = 0.01
MIN_LONG_TERM_SAMPLES = 30
MIN_RECENT_SAMPLES = 5
SLOW_CONFIRMATION_SHARE = 0.85  # share of log(slow_factor) that the recent average must reach
ERROR_SHARE_GAIN = 0.1
FAILING_EVIDENCE = 9.0
HEALTHY_EVIDENCE = 6.0
CONNECTION_ERROR_BURST_US = 100_000  # resets within it are one broken link and count as one error
PEER_FRESHNESS_US = 10 * SECOND_US  # only peers that answered within it are compared with
LATENCY_SAMPLES_PER_TICK = 2  # of an engine; more samples would add little
VERDICT_EXPIRY_US = 60 * SECOND_US  # without answers or connection errors, SLOW and FAILING end after it


@dataclass(frozen=True, slots=True)
class Thresholds:
    """When an engine counts as anomalous. Evidence is a natural logarithm of a likelihood ratio."""

    stalled_evidence: float = 14.0
    stalled_least_us: int = SECOND_US
    slow_factor: float = 2.5
    slow_evidence: float = 16.0
    failing_share: float = 0.3
    flapping_turns: int = 3
    flapping_within_us: int = 60 * SECOND_US


# An attempt without an outcome: time sent, class code, estimate in us.
OutstandingAttempt = tuple[int, int, float | None]


def cumulative_hazard(age_us: int, expected_us: float, scale: float) -> float:
    """How surprising it is that no answer came by that age: -ln of its probability."""
    if age_us <= 0:
        return 0.0
    z = LOGISTIC_TAIL_SLOPE * log(age_us / expected_us) / scale
    return z if z > 30 else log1p(exp(z))


@dataclass(slots=True, eq=False)
class MonitoredEngine:
    """The detector's state of one engine."""

    engine: str
    slot: int
    kind: str = ""
    state: api.EngineState = api.EngineState.REMOVED
    started_us: int | None = None
    cold_until_us: int = 0
    known_us: int = 0
    load: float = 0.0
    outstanding: dict[tuple[int, int], OutstandingAttempt] = field(default_factory=dict)
    # Silence. A sign of life is an answer or progress: the engine processes what it is sent.
    last_sign_us: int = 0
    unanswered_since_us: int | None = None  # first attempt sent after the last sign
    silence_evidence: float = 0.0  # total surprise of attempts that ended without a sign
    largest_surprises: list[float] = field(default_factory=list)  # the three largest of these
    silent_until_us: int = 0  # end of the last of these attempts: it was silent at least until then
    signs_since_tick: int = 0
    signs_per_s: float = 0.0  # moving average
    latency_samples_left: int = LATENCY_SAMPLES_PER_TICK  # answers still measured until the next tick
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
    # Removals and returns.
    is_up: bool = True
    return_times_us: list[int] = field(default_factory=list)
    active_verdicts: dict[Verdict, int] = field(default_factory=dict)  # and the times when they began


class Detector:
    """Takes events in order of time and collects its results in `detections`; `tick` looks for silence."""

    def __init__(self, thresholds: Thresholds, cold_duration_us: int = 0) -> None:
        self.thresholds, self.cold_duration_us = thresholds, cold_duration_us
        self.engines: dict[str, MonitoredEngine] = {}
        self.baselines: dict[str, KindBaseline] = {}
        self.detections: list[Detection] = []
        self.last_decay_us = self.last_tick_us = 0
        # Medians over the engines of each kind, updated with each tick.
        self.median_error_share: dict[str, float] = {}
        self.median_latency_shift: dict[str, float] = {}

    # --- Events.

    def update_engine(self, now: int, slot: int, entry: api.EngineEntry) -> None:
        monitored = self.engines.get(entry.engine)
        if entry.state is api.EngineState.REMOVED:
            if monitored is not None:
                self._end_all_verdicts(now, monitored)
                if monitored.is_up:
                    monitored.is_up = False
                monitored.state = entry.state
                monitored.outstanding.clear()
                self._reset_silence(monitored, now)
            return
        if monitored is None:
            monitored = self.engines[entry.engine] = MonitoredEngine(
                entry.engine, slot, known_us=now, last_sign_us=now
            )
            monitored.started_us = entry.started_us
        elif entry.started_us is not None and entry.started_us != monitored.started_us:
            monitored.started_us = entry.started_us
            self._record_restart(now, monitored, entry.started_us)
        monitored.kind = entry.kind
        if monitored.state is api.EngineState.REMOVED and not monitored.is_up:
            self._record_return(now, monitored)
        monitored.state = entry.state

    def forget(self, engine: str) -> None:
        self.engines.pop(engine, None)

    def record_load(self, engine: str, load: float) -> None:
        if (monitored := self.engines.get(engine)) is not None:
            monitored.load = load

    def record_sent(
        self, now: int, engine: str, query: int, attempt: int, class_code: int, estimate_us: float | None
    ) -> None:
        monitored = self.engines.get(engine)
        if monitored is None:
            return
        monitored.outstanding[query, attempt] = now, class_code, estimate_us
        if monitored.unanswered_since_us is None:
            monitored.unanswered_since_us = now

    def record_progress(self, now: int, engine: str) -> None:
        """Progress of an attempt, which is a sign of life."""
        if (monitored := self.engines.get(engine)) is not None:
            self._record_sign(now, monitored)

    def record_ended(
        self, now: int, engine: str, query: int, attempt: int, outcome: api.Outcome, elapsed_us: int
    ) -> None:
        monitored = self.engines.get(engine)
        if monitored is None:
            return
        sent_attempt = monitored.outstanding.pop((query, attempt), None)
        if outcome is api.Outcome.OK and monitored.is_up and not monitored.active_verdicts:  # the common case
            monitored.signs_since_tick += 1
            monitored.last_sign_us = now
            monitored.unanswered_since_us = now if monitored.outstanding else None
            if monitored.silence_evidence:
                monitored.silence_evidence, monitored.largest_surprises = 0.0, []
            if monitored.error_share > 0.001:
                self._update_error_share(now, monitored, False)
            if monitored.latency_samples_left and sent_attempt is not None:
                monitored.latency_samples_left -= 1
                self._update_latency(now, monitored, sent_attempt, elapsed_us)
            return
        if outcome in ANSWERED_OUTCOMES:
            self._record_sign(now, monitored, sent_attempt)
        elif sent_attempt is not None and outcome in UNANSWERED_OUTCOMES:
            surprise = self._silence_surprise(monitored, sent_attempt, now)
            monitored.silence_evidence += surprise
            monitored.silent_until_us = now
            monitored.largest_surprises = sorted([*monitored.largest_surprises, surprise])[-3:]
        if outcome is api.Outcome.OK:
            if sent_attempt is not None:
                self._update_latency(now, monitored, sent_attempt, elapsed_us)
            self._update_error_share(now, monitored, False)
            if not monitored.is_up:
                self._record_return(now, monitored)
        elif outcome is api.Outcome.ERROR:
            self._update_error_share(now, monitored, True)
        elif outcome in (api.Outcome.RESET, api.Outcome.CONNECT_FAILED):
            if now - monitored.last_connection_error_us > CONNECTION_ERROR_BURST_US:
                self._update_error_share(now, monitored, True)
            monitored.last_connection_error_us = now
            if outcome is api.Outcome.CONNECT_FAILED:
                monitored.is_up = False
                self._reset_silence(monitored, now)  # a refused connection means down, not stalled
                if Verdict.STALLED in monitored.active_verdicts:
                    self._end_verdict(now, monitored, Verdict.STALLED, now, {"refused": 1.0})

    def tick(self, now: int) -> None:
        """Check for stalls and for verdicts that have ended; called a few times a second."""
        self._update_medians(now)
        elapsed_us = max(1, now - self.last_tick_us) if self.last_tick_us else PACE_WINDOW_US
        decay = exp(-elapsed_us / PACE_WINDOW_US)
        self.last_tick_us = now
        for monitored in self.engines.values():
            monitored.signs_per_s = (
                monitored.signs_per_s * decay
                + (1 - decay) * monitored.signs_since_tick * SECOND_US / elapsed_us
            )
            monitored.signs_since_tick, monitored.latency_samples_left = 0, LATENCY_SAMPLES_PER_TICK
            if monitored.outstanding or monitored.silence_evidence:
                self._check_stalled(now, monitored)
            if monitored.active_verdicts:
                self._expire_verdicts(now, monitored)
        if now - self.last_decay_us > PEER_FRESHNESS_US:
            self.last_decay_us = now
            for baseline in self.baselines.values():
                baseline.decay()

    def _update_medians(self, now: int) -> None:
        """Update the medians of each kind, with which each engine is compared."""
        error_shares: dict[str, list[float]] = {}
        residuals: dict[str, list[float]] = {}
        for monitored in self.engines.values():
            if monitored.state is api.EngineState.READY:
                error_shares.setdefault(monitored.kind, []).append(monitored.error_share)
                if (
                    now - monitored.last_answer_us <= PEER_FRESHNESS_US
                    and monitored.recent_samples >= MIN_RECENT_SAMPLES
                ):
                    residuals.setdefault(monitored.kind, []).append(monitored.recent_residual)
        self.median_error_share = {kind: median_or_zero(values) for kind, values in error_shares.items()}
        self.median_latency_shift = {
            kind: median_or_zero(values) for kind, values in residuals.items() if len(values) >= 3
        }

    def baseline(self, kind: str) -> KindBaseline:
        baseline = self.baselines.get(kind)
        if baseline is None:
            baseline = self.baselines[kind] = KindBaseline()
        return baseline

    # --- Silence.

    def _reset_silence(self, monitored: MonitoredEngine, now: int) -> None:
        monitored.last_sign_us = now
        monitored.silence_evidence, monitored.largest_surprises = 0.0, []
        monitored.unanswered_since_us = now if monitored.outstanding else None

    def _record_sign(
        self, now: int, monitored: MonitoredEngine, attempt: OutstandingAttempt | None = None
    ) -> None:
        monitored.signs_since_tick += 1
        if Verdict.STALLED in monitored.active_verdicts:
            evidence = {"silent_s": (now - monitored.last_sign_us) / SECOND_US}
            self._end_verdict(
                now, monitored, Verdict.STALLED, self._estimate_stall_end(now, monitored, attempt), evidence
            )
        self._reset_silence(monitored, now)

    def _estimate_stall_end(
        self, now: int, monitored: MonitoredEngine, attempt: OutstandingAttempt | None
    ) -> int:
        """Estimated end of a stall: half-way between the last evidence of silence and the first sign of life.

        The evidence is the last attempt that was given up, or that is outstanding and overdue. An answer that
        took much longer than usual waited for the end of the stall; one that took the usual time was sent
        after it.
        """
        last_silent_us = max(monitored.silent_until_us, monitored.last_sign_us)
        for other in monitored.outstanding.values():
            overdue_us = other[0] + int(2 * self._expected_answer(monitored, other)[0])
            if last_silent_us < overdue_us < now:
                last_silent_us = overdue_us
        first_sign_us = now
        if attempt is not None:
            expected_us, _ = self._expected_answer(monitored, attempt)
            first_sign_us = attempt[0] if now - attempt[0] <= 3 * expected_us else now - int(expected_us)
        return (last_silent_us + max(last_silent_us, first_sign_us)) // 2

    def _silence_surprise(self, monitored: MonitoredEngine, attempt: OutstandingAttempt, now: int) -> float:
        """Surprise that the attempt has had no answer since the engine's last sign of life."""
        expected_us, scale = self._expected_answer(monitored, attempt)
        age_at_sign_us = max(0, monitored.last_sign_us - attempt[0])
        return min(
            MAX_SURPRISE_PER_ATTEMPT,
            cumulative_hazard(now - attempt[0], expected_us, scale)
            - cumulative_hazard(age_at_sign_us, expected_us, scale),
        )

    def _expected_answer(
        self, monitored: MonitoredEngine, attempt: OutstandingAttempt
    ) -> tuple[float, float]:
        """Usual time of an answer at the engine's load, in us, and the scale of its logarithm."""
        _, class_code, estimate_us = attempt
        baseline = self.baseline(monitored.kind)
        class_baseline = baseline.classes.get(class_code)
        shift = min(2.0, max(0.0, baseline.load_shift(monitored.load)))
        expected_us = baseline.expected_answer_us(class_code, estimate_us) * exp(shift)
        scale = class_baseline.scale if class_baseline is not None else INITIAL_SCALE
        return max(1_000.0, expected_us), scale

    def _check_stalled(self, now: int, monitored: MonitoredEngine) -> None:
        unanswered_since_us = monitored.unanswered_since_us
        if unanswered_since_us is None or Verdict.STALLED in monitored.active_verdicts:
            return
        silent_us = now - max(unanswered_since_us, monitored.last_sign_us)
        if silent_us < self.thresholds.stalled_least_us:
            return
        surprises = [
            self._silence_surprise(monitored, attempt, now)
            for attempt in islice(monitored.outstanding.values(), MAX_ATTEMPTS_EXAMINED)
        ]
        total_surprise = monitored.silence_evidence + sum(surprises)
        if total_surprise < self.thresholds.stalled_evidence:
            return
        pace_bound = monitored.signs_per_s * exp(-silent_us / PACE_WINDOW_US / 8) * silent_us / SECOND_US
        largest_bound = 0.0
        if silent_us >= 2 * self.thresholds.stalled_least_us:
            largest_bound = sum(sorted([*surprises, *monitored.largest_surprises])[-3:])
        stall_evidence = min(total_surprise, max(pace_bound, largest_bound))
        if stall_evidence < self.thresholds.stalled_evidence:
            return
        active_peers, answering_peers = 0, 0
        for peer in self._peers_of(monitored):
            if peer.outstanding or now - peer.last_sign_us <= silent_us:
                active_peers += 1
                answering_peers += now - peer.last_sign_us <= max(silent_us / 2, SECOND_US)
        if not answering_peers or answering_peers * 2 < active_peers:
            return  # the peers are silent too, so the cause is not this engine
        stalled_since_us = max(unanswered_since_us, monitored.last_sign_us)
        evidence = {
            "evidence": stall_evidence,
            "silent_s": silent_us / SECOND_US,
            "unanswered": float(len(surprises)),
            "peers_answering": float(answering_peers),
            "peers": float(active_peers),
        }
        self._begin_verdict(now, monitored, Verdict.STALLED, stalled_since_us, evidence)

    # --- Latency.

    def _update_latency(
        self, now: int, monitored: MonitoredEngine, attempt: OutstandingAttempt, elapsed_us: int
    ) -> None:
        baseline, (_, class_code, estimate_us) = self.baseline(monitored.kind), attempt
        residual = baseline.residual(class_code, estimate_us, elapsed_us, monitored.load)
        monitored.last_answer_us = now
        if residual is None:
            return
        scale = baseline.classes[class_code].scale
        deviation = residual * scale
        monitored.recent_residual += (deviation - monitored.recent_residual) * max(
            RECENT_GAIN, 1 / (monitored.recent_samples + 1)
        )
        monitored.recent_samples += 1
        # The shift to detect, in scales; at most half of MAX_RESIDUAL, to which residuals are clipped.
        shift = min(1.5, log(self.thresholds.slow_factor) / scale)
        # A slowdown of all engines counts against none of them.
        residual -= self.median_latency_shift.get(monitored.kind, 0.0) / scale
        max_cusum = 2 * self.thresholds.slow_evidence
        if monitored.slow_cusum == 0.0:
            monitored.slow_since_us, monitored.slow_samples = now - elapsed_us, 0
        if monitored.recovery_cusum == 0.0:
            monitored.recovery_since_us = now
        monitored.slow_cusum = min(max_cusum, max(0.0, monitored.slow_cusum + shift * (residual - shift / 2)))
        monitored.recovery_cusum = min(
            max_cusum, max(0.0, monitored.recovery_cusum + shift * (shift / 2 - residual))
        )
        monitored.slow_samples += 1
        if Verdict.SLOW in monitored.active_verdicts:
            if monitored.recovery_cusum >= self.thresholds.slow_evidence / 2:
                self._end_verdict(
                    now,
                    monitored,
                    Verdict.SLOW,
                    monitored.recovery_since_us,
                    {"times_usual": exp(monitored.recent_residual)},
                )
                monitored.slow_cusum = 0.0
            return
        if monitored.slow_cusum >= self.thresholds.slow_evidence:
            self._check_slow(now, monitored)
        elif monitored.slow_cusum < self.thresholds.slow_evidence / 3:
            gain = max(LONG_TERM_GAIN, 1 / (monitored.long_term_samples + 1))
            monitored.long_term_residual += (deviation - monitored.long_term_residual) * gain
            monitored.long_term_samples += 1
            baseline.update(class_code, deviation / scale, monitored.slot, monitored.load)
        else:  # possibly slow: learn slowly, so that a slow fleet becomes the norm in time
            class_baseline = baseline.classes[class_code]
            class_baseline.location += 0.2 * deviation / 150

    def _check_slow(self, now: int, monitored: MonitoredEngine) -> None:
        min_deviation = log(self.thresholds.slow_factor) * SLOW_CONFIRMATION_SHARE
        peers = [
            peer
            for peer in self._peers_of(monitored)
            if now - peer.last_answer_us <= PEER_FRESHNESS_US and peer.recent_samples >= MIN_RECENT_SAMPLES
        ]
        if (
            len(peers) < 2
            or monitored.slow_samples < MIN_RECENT_SAMPLES
            or monitored.recent_samples < MIN_RECENT_SAMPLES
        ):
            return
        peers_residual = median_or_zero([peer.recent_residual for peer in peers])
        spread = 1.5 * median_or_zero([abs(peer.recent_residual - peers_residual) for peer in peers])
        own_residual = (
            monitored.long_term_residual
            if monitored.long_term_samples >= MIN_LONG_TERM_SAMPLES
            else peers_residual
        )
        deviation = monitored.recent_residual - max(peers_residual, own_residual)
        if (
            deviation < max(min_deviation, 2 * spread)
            or median_or_zero([peer.slow_cusum for peer in peers]) > monitored.slow_cusum / 2
        ):
            return
        evidence = {
            "evidence": monitored.slow_cusum,
            "times_peers": exp(monitored.recent_residual - peers_residual),
            "times_before": exp(monitored.recent_residual - own_residual),
            "answers": float(monitored.slow_samples),
            "load": monitored.load,
        }
        monitored.recovery_cusum = 0.0
        self._begin_verdict(now, monitored, Verdict.SLOW, monitored.slow_since_us, evidence)

    # --- Errors.

    def _update_error_share(self, now: int, monitored: MonitoredEngine, is_error: bool) -> None:
        monitored.error_share += ERROR_SHARE_GAIN * (is_error - monitored.error_share)
        median_share = self.median_error_share.get(monitored.kind, 0.0)
        usual_share = min(0.5, max(0.02, 1.5 * median_share))
        failing_share = min(0.95, max(self.thresholds.failing_share, 2.5 * usual_share))
        step = log(failing_share / usual_share) if is_error else log((1 - failing_share) / (1 - usual_share))
        if monitored.failing_evidence == 0.0:
            monitored.failing_since_us = now
        monitored.failing_evidence = min(2 * FAILING_EVIDENCE, max(0.0, monitored.failing_evidence + step))
        if is_error:
            monitored.last_error_us = now
        elif monitored.healthy_evidence == 0.0:
            # It recovered at an unknown time between the last error and this answer: take the middle.
            monitored.healthy_since_us = (max(monitored.last_error_us, monitored.failing_since_us) + now) // 2
        monitored.healthy_evidence = min(2 * HEALTHY_EVIDENCE, max(0.0, monitored.healthy_evidence - step))
        if Verdict.FAILING in monitored.active_verdicts:
            if (
                monitored.healthy_evidence >= HEALTHY_EVIDENCE
                and monitored.error_share < self.thresholds.failing_share / 2
            ):
                self._end_verdict(
                    now,
                    monitored,
                    Verdict.FAILING,
                    monitored.healthy_since_us,
                    {"share": monitored.error_share},
                )
                monitored.failing_evidence = 0.0
        elif (
            is_error
            and monitored.failing_evidence >= FAILING_EVIDENCE
            and monitored.error_share > 2 * median_share
        ):
            evidence = {
                "evidence": monitored.failing_evidence,
                "share": monitored.error_share,
                "peers_share": median_share,
            }
            monitored.healthy_evidence = 0.0
            self._begin_verdict(now, monitored, Verdict.FAILING, monitored.failing_since_us, evidence)

    # --- Removals, returns and restarts.

    def _record_return(self, now: int, monitored: MonitoredEngine) -> None:
        monitored.is_up = True
        monitored.return_times_us.append(now)
        window_us = self.thresholds.flapping_within_us
        monitored.return_times_us = returns = [
            time_us for time_us in monitored.return_times_us if now - time_us <= window_us
        ][-100:]
        if (
            len(returns) >= self.thresholds.flapping_turns
            and Verdict.FLAPPING not in monitored.active_verdicts
        ):
            evidence = {"turns": float(len(returns)), "within_s": (now - returns[0]) / SECOND_US}
            self._begin_verdict(now, monitored, Verdict.FLAPPING, returns[0], evidence)

    def _record_restart(self, now: int, monitored: MonitoredEngine, started_us: int) -> None:
        monitored.cold_until_us = started_us + self.cold_duration_us
        monitored.long_term_samples = monitored.recent_samples = 0
        monitored.slow_cusum = monitored.recovery_cusum = monitored.failing_evidence = (
            monitored.healthy_evidence
        ) = monitored.error_share = 0.0
        if now < monitored.cold_until_us and Verdict.COLD_AGAIN not in monitored.active_verdicts:
            evidence = {
                "age_s": (now - started_us) / SECOND_US,
                "cold_for_s": (monitored.cold_until_us - now) / SECOND_US,
            }
            self._begin_verdict(now, monitored, Verdict.COLD_AGAIN, started_us, evidence)

    def _expire_verdicts(self, now: int, monitored: MonitoredEngine) -> None:
        if Verdict.COLD_AGAIN in monitored.active_verdicts and now >= monitored.cold_until_us:
            self._end_verdict(now, monitored, Verdict.COLD_AGAIN, monitored.cold_until_us, {})
        if Verdict.FLAPPING in monitored.active_verdicts:
            last_return_us = monitored.return_times_us[-1]
            if now - last_return_us > self.thresholds.flapping_within_us:
                self._end_verdict(
                    now,
                    monitored,
                    Verdict.FLAPPING,
                    last_return_us,
                    {"quiet_s": (now - last_return_us) / SECOND_US},
                )
        for verdict in (Verdict.SLOW, Verdict.FAILING):
            if (
                verdict in monitored.active_verdicts
                and now - max(monitored.last_answer_us, monitored.last_connection_error_us)
                > VERDICT_EXPIRY_US
            ):
                self._end_verdict(
                    now,
                    monitored,
                    verdict,
                    monitored.last_answer_us,
                    {"unheard_s": VERDICT_EXPIRY_US / SECOND_US},
                )

    # --- Verdicts.

    def _peers_of(self, monitored: MonitoredEngine) -> Iterable[MonitoredEngine]:
        return (
            peer
            for peer in self.engines.values()
            if peer is not monitored and peer.kind == monitored.kind and peer.state is api.EngineState.READY
        )

    def _begin_verdict(
        self,
        now: int,
        monitored: MonitoredEngine,
        verdict: Verdict,
        since_us: int,
        evidence: dict[str, float],
    ) -> None:
        monitored.active_verdicts[verdict] = since_us
        self.detections.append(Detection(monitored.engine, verdict, True, now, since_us, evidence))

    def _end_verdict(
        self,
        now: int,
        monitored: MonitoredEngine,
        verdict: Verdict,
        since_us: int,
        evidence: dict[str, float],
    ) -> None:
        begun_us = monitored.active_verdicts.pop(verdict)
        evidence = {**evidence, "lasted_s": max(0, since_us - begun_us) / SECOND_US}
        self.detections.append(Detection(monitored.engine, verdict, False, now, since_us, evidence))

    def _end_all_verdicts(self, now: int, monitored: MonitoredEngine) -> None:
        for verdict in list(monitored.active_verdicts):
            self._end_verdict(now, monitored, verdict, now, {"gone": 1.0})
