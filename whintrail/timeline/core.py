"""The time line as a whole: what happens goes to the record and to the judge. Pure; one caller feeds it."""

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
SENT_KIND, ENDED_KIND, OK_CODE = int(Kind.SENT), int(Kind.ENDED), OUTCOME_CODE[api.Outcome.OK]
QUEUE_BATCH_EVENTS = 64  # events entered in one go, about half a millisecond
MAX_KEPT_DETECTIONS = 1_000  # of the judge's, kept for views
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
class PendingRemarks:
    """Remarks of one kind about one engine within a second: told as one, with their number."""

    track: EngineTrack
    reason: api.Reason
    first_at_us: int
    count: int = 0


class Timeline:
    """Times are Unix microseconds. `classes`: the names whose place is the code of a class."""

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
        self.pending_remarks: dict[tuple[str, api.Reason], PendingRemarks] = {}
        self.last_cleanup_us = 0
        self._queue: list[tuple[Callable[..., None], tuple[object, ...]]] = []

    @property
    def history(self) -> EventHistory:
        """With all that has happened."""
        self.process_queue()
        return self._history

    @property
    def detector(self) -> Detector:
        """With all that has happened."""
        self.process_queue()
        return self._detector

    # --- What happens: put aside on the request's way, entered a batch at a time, which costs half as much.

    def _enqueue(self, handler: Callable[..., None], *arguments: object) -> None:
        waiting = self._queue
        waiting.append((handler, arguments))
        if len(waiting) >= QUEUE_BATCH_EVENTS:
            self.process_queue()

    def process_queue(self) -> None:
        """Enter what was put aside. What fails costs itself only; the last failure is raised at the end."""
        if not self._queue:
            return
        waiting, self._queue = self._queue, []
        failed: Exception | None = None
        for take, what in waiting:
            try:
                take(*what)
            except Exception as error:
                failed = error
        if failed is not None:
            raise failed

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

    def record_remarks(self, now: int, remarks: list[api.EngineDecision]) -> None:
        """Why the module did, or didn't; the list is the time line's from now on."""
        self._enqueue(self._apply_remarks, now, remarks)

    def record_agreement(
        self, now: int, engine: str, decision: str, value: float, gateway_number: float
    ) -> None:
        """What the fleet decided, of an engine or of the fleet itself."""
        self._enqueue(self._apply_agreement, now, engine, decision, value, gateway_number)

    def _apply_agreement(
        self, now: int, engine: str, decision: str, value: float, gateway_number: float
    ) -> None:
        self._history.advance_clock(now)
        code = AGREED_CODE.get(decision, 0xFF)
        self._history.add(self._history.get_or_create_track(engine), Kind.AGREED, code, value, gateway_number)

    def _apply_engine_list(self, now: int, event: api.EngineListReceived) -> None:
        record = self._history
        now = record.advance_clock(now)
        if event.kind is api.ListKind.FAILED:
            return
        named = {entry.engine for entry in event.entries}
        if event.kind is not api.ListKind.DELTA:
            known = [e for e, track in record.tracks.items() if track.removed_us is None and e != FLEET_NAME]
            for engine in known:
                if engine not in named:
                    track = record.tracks[engine]
                    self._apply_entry(
                        now, api.EngineEntry(engine, track.kind, "", 0, 1.0, api.EngineState.REMOVED, None)
                    )
        for entry in event.entries:
            self._apply_entry(now, entry)

    def _apply_entry(self, now: int, entry: api.EngineEntry) -> None:
        if entry.state is api.EngineState.REMOVED and entry.engine not in self._history.tracks:
            return
        track = self._history.get_or_create_track(entry.engine)
        age = -1.0 if entry.started_us is None else (now - entry.started_us) / SECOND_US
        track.kind, track.state = entry.kind, entry.state
        if entry.state is api.EngineState.REMOVED:
            self._history.mark_removed(track)
        else:
            self._history.mark_returned(track)
        self._history.add(track, Kind.LISTED, STATE_CODE[entry.state], entry.weight, age)
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
        record = self._history
        if now > record.now_us:  # as Record.at does, on the way of every request
            record.now_us = now
        else:
            now = record.now_us
        if (track := record.tracks.get(engine)) is None:
            return
        cls = self.class_codes.get(class_name, 255)
        track.last_us = now
        record.columns.add(now, track.slot, SENT_KIND, cls, query, attempt)
        track.local_attempts = held = track.local_attempts + 1
        bucket = track.open_buckets[0]
        if now - bucket.at_us >= SECOND_US:
            bucket = record.current_bucket(track)
        bucket.sends += 1
        if held > bucket.max_held:
            bucket.max_held = held
        self._detector.record_sent(now, engine, query, attempt, cls, estimate_us)

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
        record = self._history
        if now > record.now_us:
            record.now_us = now
        else:
            now = record.now_us
        if (track := record.tracks.get(engine)) is None:
            return
        track.last_us = now
        if track.local_attempts:
            track.local_attempts -= 1
        bucket = track.open_buckets[0]
        if now - bucket.at_us >= SECOND_US:
            bucket = record.current_bucket(track)
        elapsed_ms = elapsed_us / 1000
        if outcome is api.Outcome.OK:  # an Enum's hash is slow: not asked for on the ordinary path
            record.columns.add(now, track.slot, ENDED_KIND, OK_CODE, query, elapsed_ms)
            bucket.ok += 1
            bucket.latency.add(elapsed_ms)
        else:
            record.columns.add(now, track.slot, ENDED_KIND, OUTCOME_CODE[outcome], query, elapsed_ms)
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

    def _apply_remarks(self, now: int, remarks: list[api.EngineDecision]) -> None:
        """The first of a kind at once, those of the same second with their
        number, or one held query that asks every engine would fill the record."""
        now = self._history.advance_clock(now)
        for remark in remarks:
            if (track := self._history.tracks.get(remark.engine)) is None:
                continue
            if remark.reason in PASSED_OVER_REASONS:
                self._history.current_bucket(track).passed_over += 1
            found = self.pending_remarks.get((remark.engine, remark.reason))
            if found is None:
                self.pending_remarks[remark.engine, remark.reason] = PendingRemarks(track, remark.reason, now)
                query = -1.0 if remark.query is None else remark.query
                self._history.add(track, Kind.DECIDED, REASON_CODE[remark.reason], 1.0, query)
            else:
                found.count += 1

    def tick(self, now: int) -> list[Detection]:
        """What the judge calls; a few times a second."""
        self.process_queue()
        now = self._history.advance_clock(now)
        self._detector.tick(now)
        found, self._detector.detections = self._detector.detections, []
        for happening in found:
            self.detections.append(happening)
            if (track := self._history.tracks.get(happening.engine)) is not None:
                code = int(happening.verdict) + (0 if happening.begins else VERDICT_END_FLAG)
                leading = next(iter(happening.evidence.values()), 0.0)
                self._history.add(track, Kind.JUDGED, code, leading, 0.0)
        for key, pending in list(self.pending_remarks.items()):
            if now - pending.first_at_us >= SECOND_US:
                if pending.count:
                    code = REASON_CODE[pending.reason]
                    self._history.add(pending.track, Kind.DECIDED, code, pending.count, -1.0)
                del self.pending_remarks[key]
        if now - self.last_cleanup_us >= SECOND_US:
            self.last_cleanup_us = now
            self._history.expire()
            if len(self._detector.engines) > len(self._history.tracks):
                for engine in [e for e in self._detector.engines if e not in self._history.tracks]:
                    self._detector.forget(engine)
        return found

    # --- Views.

    def engines(self) -> list[dict[str, object]]:
        """A line an engine: state, what we hold there, load and the verdicts in force."""
        self.process_queue()
        found: list[dict[str, object]] = []
        for track in self._history.tracks.values():
            watched = self._detector.engines.get(track.engine)
            active = [v.name.lower().replace("_", " ") for v in watched.active_verdicts] if watched else []
            found.append(
                {
                    "engine": track.engine,
                    "kind": track.kind,
                    "state": track.state.value,
                    "held": track.local_attempts,
                    "load": track.load,
                    "verdicts": ", ".join(active) or None,
                    "last_us": track.last_us,
                }
            )
        return found
