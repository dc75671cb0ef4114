"""The timeline: takes the gateway's events and passes them to the history and the detector.

Without I/O, and called from one task only.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from whintrail import interface as api
from whintrail.timeline.detector import Detector, Thresholds
from whintrail.timeline.events import (
    AGREED_CODE,
    FLEET_NAME,
    OUTCOME_CODE,
    REASON_CODE,
    STATE_CODE,
    TOPIC_CODE,
    VERDICT_END_FLAG,
    Detection,
    Kind,
)
from whintrail.timeline.history import EngineTrack, EventHistory
from whintrail.timeline.rollups import Bucket

SECOND_US = 1_000_000
SENT_KIND = int(Kind.SENT)
ENDED_KIND = int(Kind.ENDED)
OK_CODE = OUTCOME_CODE[api.Outcome.OK]
QUEUE_BATCH_EVENTS = 64  # applied together in about half a millisecond
MAX_KEPT_DETECTIONS = 1_000  # the latest, kept for the live view
# Reasons that are counted as "passed over" in the roll-ups.
PASSED_OVER_REASONS = frozenset(
    {
        api.Reason.BACKING_OFF,
        api.Reason.RECENTLY_FULL,
        api.Reason.HIGH_ERROR_RATE,
        api.Reason.COLD_BUDGET_SPENT,
        api.Reason.NO_CAPACITY,
        api.Reason.PLACEMENT_FORBIDDEN,
    }
)


@dataclass(slots=True)
class PendingDecisions:
    """Decisions with the same reason on one engine within a second: recorded as one event with a count."""

    track: EngineTrack
    reason: api.Reason
    first_at_us: int
    count: int = 0  # without the first, which was recorded at once


class Timeline:
    """Records events of engines and queries and detects anomalies.

    Times are Unix microseconds. The code of a query class is the position of its name in `classes`.
    """

    def __init__(
        self,
        memory_bytes: int,
        raw_retention_us: int,
        thresholds: Thresholds,
        classes: tuple[str, ...],
        cold_duration_us: int,
    ) -> None:
        self._history = EventHistory(memory_bytes, raw_retention_us)
        self._detector = Detector(thresholds, cold_duration_us)
        self.classes = classes
        self.class_codes = {name: code for code, name in enumerate(classes)}
        self.detections: deque[Detection] = deque(maxlen=MAX_KEPT_DETECTIONS)
        self.pending_decisions: dict[tuple[str, api.Reason], PendingDecisions] = {}
        self.last_cleanup_us = 0
        self._queue: list[tuple[Callable[..., None], tuple[object, ...]]] = []

    @property
    def history(self) -> EventHistory:
        """The history, after all queued events have been applied."""
        self.process_queue()
        return self._history

    @property
    def detector(self) -> Detector:
        """The detector, after all queued events have been applied."""
        self.process_queue()
        return self._detector

    # --- Events. They are queued on the request path and applied in batches, which halves their cost.

    def _enqueue(self, handler: Callable[..., None], *arguments: object) -> None:
        queue = self._queue
        queue.append((handler, arguments))
        if len(queue) >= QUEUE_BATCH_EVENTS:
            self.process_queue()

    def process_queue(self) -> None:
        """Apply the queued events, all of them even if one fails; the last error is raised at the end."""
        if not self._queue:
            return
        events, self._queue = self._queue, []
        last_error: Exception | None = None
        for handler, arguments in events:
            try:
                handler(*arguments)
            except Exception as error:
                last_error = error
        if last_error is not None:
            raise last_error

    def record_engine_list(self, now: int, event: api.EngineListReceived) -> None:
        self._enqueue(self._apply_engine_list, now, event)

    def record_probe(self, now: int, event: api.ProbeFinished) -> None:
        self._enqueue(self._apply_probe, now, event)

    def record_sent(
        self, now: int, engine: str, query: int, attempt: int, class_name: str, estimate_us: float | None
    ) -> None:
        self._enqueue(self._apply_sent, now, engine, query, attempt, class_name, estimate_us)

    def record_ended(
        self,
        now: int,
        engine: str,
        query: int,
        attempt: int,
        outcome: api.Outcome,
        elapsed_us: int,
        report: api.LoadReport | None = None,
    ) -> None:
        self._enqueue(self._apply_ended, now, engine, query, attempt, outcome, elapsed_us, report)

    def record_note(self, now: int, engine: str, query: int, topic: api.StatusTopic, value: float) -> None:
        self._enqueue(self._apply_note, now, engine, query, topic, value)

    def record_decisions(self, now: int, decisions: list[api.EngineDecision]) -> None:
        """Reasons for the routing policy's decisions. The timeline takes ownership of the list."""
        self._enqueue(self._apply_decisions, now, decisions)

    def record_agreement(
        self, now: int, engine: str, decision: str, value: float, gateway_number: float
    ) -> None:
        """A decision of the fleet on an engine, or on the fleet itself under FLEET_NAME."""
        self._enqueue(self._apply_agreement, now, engine, decision, value, gateway_number)

    def _apply_agreement(
        self, now: int, engine: str, decision: str, value: float, gateway_number: float
    ) -> None:
        self._history.advance_clock(now)
        code = AGREED_CODE.get(decision, 0xFF)
        self._history.add(self._history.get_or_create_track(engine), Kind.AGREED, code, value, gateway_number)

    def _apply_engine_list(self, now: int, event: api.EngineListReceived) -> None:
        history = self._history
        now = history.advance_clock(now)
        if event.kind is api.ListKind.FAILED:
            return
        listed = {entry.engine for entry in event.entries}
        if event.kind is not api.ListKind.DELTA:
            present = [
                name
                for name, track in history.tracks.items()
                if track.removed_us is None and name != FLEET_NAME
            ]
            for engine in present:
                if engine not in listed:
                    track = history.tracks[engine]
                    self._apply_entry(
                        now, api.EngineEntry(engine, track.kind, "", 0, 1.0, api.EngineState.REMOVED, None)
                    )
        for entry in event.entries:
            self._apply_entry(now, entry)

    def _apply_entry(self, now: int, entry: api.EngineEntry) -> None:
        if entry.state is api.EngineState.REMOVED and entry.engine not in self._history.tracks:
            return
        track = self._history.get_or_create_track(entry.engine)
        age_s = -1.0 if entry.started_us is None else (now - entry.started_us) / SECOND_US
        track.kind, track.state = entry.kind, entry.state
        if entry.state is api.EngineState.REMOVED:
            self._history.mark_removed(track)
        else:
            self._history.mark_returned(track)
        self._history.add(track, Kind.LISTED, STATE_CODE[entry.state], entry.weight, age_s)
        self._detector.update_engine(now, track.slot, entry)

    def _apply_probe(self, now: int, event: api.ProbeFinished) -> None:
        now = self._history.advance_clock(now)
        if (track := self._history.tracks.get(event.engine)) is None:
            return
        self._history.add(track, Kind.PROBED, OUTCOME_CODE[event.outcome], event.elapsed_us / 1000, 0.0)
        if event.report is not None:
            self._apply_load_report(track, event.report, True)

    def _apply_load_report(self, track: EngineTrack, report: api.LoadReport, probe: bool) -> None:
        load = report.utilisation if report.active_queries is None else report.active_queries
        memory = -1.0 if report.memory_share is None else report.memory_share
        self._history.add(track, Kind.REPORTED, probe, load or 0.0, memory)
        if load is not None:
            track.load = load
            bucket = self._history.current_bucket(track)
            bucket.load_reports += 1
            bucket.load_sum += load
            if load > bucket.max_load:
                bucket.max_load = load
            self._detector.record_load(track.engine, load)

    def _apply_sent(
        self, now: int, engine: str, query: int, attempt: int, class_name: str, estimate_us: float | None
    ) -> None:
        history = self._history
        if now > history.now_us:  # EventHistory.advance_clock, inlined on the request path
            history.now_us = now
        else:
            now = history.now_us
        if (track := history.tracks.get(engine)) is None:
            return
        class_code = self.class_codes.get(class_name, 255)
        track.last_us = now
        history.columns.add(now, track.slot, SENT_KIND, class_code, query, attempt)
        track.local_attempts = attempts = track.local_attempts + 1
        bucket = track.open_buckets[0]
        if now - bucket.at_us >= SECOND_US:
            bucket = history.current_bucket(track)
        bucket.sends += 1
        if attempts > bucket.max_held:
            bucket.max_held = attempts
        self._detector.record_sent(now, engine, query, attempt, class_code, estimate_us)

    def _apply_ended(
        self,
        now: int,
        engine: str,
        query: int,
        attempt: int,
        outcome: api.Outcome,
        elapsed_us: int,
        report: api.LoadReport | None = None,
    ) -> None:
        history = self._history
        if now > history.now_us:
            history.now_us = now
        else:
            now = history.now_us
        if (track := history.tracks.get(engine)) is None:
            return
        track.last_us = now
        if track.local_attempts:
            track.local_attempts -= 1
        bucket = track.open_buckets[0]
        if now - bucket.at_us >= SECOND_US:
            bucket = history.current_bucket(track)
        elapsed_ms = elapsed_us / 1000
        if outcome is api.Outcome.OK:  # hashing an Enum is slow, so the common case avoids the table
            history.columns.add(now, track.slot, ENDED_KIND, OK_CODE, query, elapsed_ms)
            bucket.ok += 1
            bucket.latency.add(elapsed_ms)
        else:
            history.columns.add(now, track.slot, ENDED_KIND, OUTCOME_CODE[outcome], query, elapsed_ms)
            self._count_failure(bucket, outcome)
        if report is not None:
            self._apply_load_report(track, report, False)
        self._detector.record_ended(now, engine, query, attempt, outcome, elapsed_us)

    @staticmethod
    def _count_failure(bucket: Bucket, outcome: api.Outcome) -> None:
        if outcome is api.Outcome.ERROR:
            bucket.errors += 1
        elif outcome is api.Outcome.FULL:
            bucket.full += 1
        elif outcome in (api.Outcome.CANCELLED, api.Outcome.NOT_STARTED):
            bucket.moved += 1
        else:
            bucket.lost += 1

    def _apply_note(self, now: int, engine: str, query: int, topic: api.StatusTopic, value: float) -> None:
        now = self._history.advance_clock(now)
        if (track := self._history.tracks.get(engine)) is None:
            return
        self._history.add(track, Kind.NOTED, TOPIC_CODE[topic], query, value)
        self._detector.record_progress(now, engine)

    def _apply_decisions(self, now: int, decisions: list[api.EngineDecision]) -> None:
        """Record the first decision of a kind at once, and the others of the same second with their count.

        Otherwise a single waiting query, which is tried on every engine, would fill the history.
        """
        now = self._history.advance_clock(now)
        for decision in decisions:
            if (track := self._history.tracks.get(decision.engine)) is None:
                continue
            if decision.reason in PASSED_OVER_REASONS:
                self._history.current_bucket(track).passed_over += 1
            pending = self.pending_decisions.get((decision.engine, decision.reason))
            if pending is None:
                self.pending_decisions[decision.engine, decision.reason] = PendingDecisions(
                    track, decision.reason, now
                )
                query = -1.0 if decision.query is None else decision.query
                self._history.add(track, Kind.DECIDED, REASON_CODE[decision.reason], 1.0, query)
            else:
                pending.count += 1

    def tick(self, now: int) -> list[Detection]:
        """Run the detector and return what it found; called a few times a second."""
        self.process_queue()
        now = self._history.advance_clock(now)
        self._detector.tick(now)
        detections, self._detector.detections = self._detector.detections, []
        for detection in detections:
            self.detections.append(detection)
            if (track := self._history.tracks.get(detection.engine)) is not None:
                code = int(detection.verdict) + (0 if detection.begins else VERDICT_END_FLAG)
                leading_figure = next(iter(detection.evidence.values()), 0.0)
                self._history.add(track, Kind.JUDGED, code, leading_figure, 0.0)
        for key, pending in list(self.pending_decisions.items()):
            if now - pending.first_at_us >= SECOND_US:
                if pending.count:
                    code = REASON_CODE[pending.reason]
                    self._history.add(pending.track, Kind.DECIDED, code, pending.count, -1.0)
                del self.pending_decisions[key]
        if now - self.last_cleanup_us >= SECOND_US:
            self.last_cleanup_us = now
            self._history.expire()
            if len(self._detector.engines) > len(self._history.tracks):
                for engine in [name for name in self._detector.engines if name not in self._history.tracks]:
                    self._detector.forget(engine)
        return detections

    # --- Views.

    def engines(self) -> list[dict[str, object]]:
        """One row for each engine: state, attempts of this gateway on it, load and active verdicts."""
        self.process_queue()
        rows: list[dict[str, object]] = []
        for track in self._history.tracks.values():
            monitored = self._detector.engines.get(track.engine)
            verdicts = (
                [verdict.name.lower().replace("_", " ") for verdict in monitored.active_verdicts]
                if monitored
                else []
            )
            rows.append(
                {
                    "engine": track.engine,
                    "kind": track.kind,
                    "state": track.state.value,
                    "held": track.local_attempts,
                    "load": track.load,
                    "verdicts": ", ".join(verdicts) or None,
                    "last_us": track.last_us,
                }
            )
        return rows
