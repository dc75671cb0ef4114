"""The time line as a whole: what happens goes to the record and to the judge. Pure; one caller feeds it."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from whintrail import interface as api
from whintrail.timeline.judge import Judge, Thresholds
from whintrail.timeline.kinds import (
    AGREED_CODE,
    END,
    FLEET,
    OUTCOME_CODE,
    REASON_CODE,
    STATE_CODE,
    TOPIC_CODE,
    Happening,
    Kind,
)
from whintrail.timeline.record import Record, Track
from whintrail.timeline.rollups import Bucket

SECOND = 1_000_000
SENT, ENDED, OK = int(Kind.SENT), int(Kind.ENDED), OUTCOME_CODE[api.Outcome.OK]
BATCH = 64  # events entered in one go, about half a millisecond
HAPPENINGS = 1_000  # of the judge's, kept for views
PASSING = frozenset(
    {
        api.Reason.RESTS,
        api.Reason.FULL,
        api.Reason.SHUT_OUT,
        api.Reason.COLD,
        api.Reason.NO_ROOM,
        api.Reason.NOT_PLACED,
    }
)


@dataclass(slots=True)
class Pending:
    """Remarks of one kind about one engine within a second: told as one, with their number."""

    track: Track
    reason: api.Reason
    at_us: int
    count: int = 0


class Timeline:
    """Times are Unix microseconds. `classes`: the names whose place is the code of a class."""

    def __init__(
        self,
        memory_bytes: int,
        raw_us: int,
        thresholds: Thresholds,
        classes: tuple[str, ...],
        cold_us: int,
    ) -> None:
        self._record = Record(memory_bytes, raw_us)
        self._judge = Judge(thresholds, cold_us)
        self.classes = classes
        self.class_code = {name: code for code, name in enumerate(classes)}
        self.happenings: deque[Happening] = deque(maxlen=HAPPENINGS)
        self.pending: dict[tuple[str, api.Reason], Pending] = {}
        self.tidied_at = 0
        self._waiting: list[tuple[Callable[..., None], tuple[object, ...]]] = []

    @property
    def record(self) -> Record:
        """With all that has happened."""
        self.settle()
        return self._record

    @property
    def judge(self) -> Judge:
        """With all that has happened."""
        self.settle()
        return self._judge

    # --- What happens: put aside on the request's way, entered a batch at a time, which costs half as much.

    def _put(self, take: Callable[..., None], *what: object) -> None:
        waiting = self._waiting
        waiting.append((take, what))
        if len(waiting) >= BATCH:
            self.settle()

    def settle(self) -> None:
        """Enter what was put aside. What fails costs itself only; the last failure is raised at the end."""
        if not self._waiting:
            return
        waiting, self._waiting = self._waiting, []
        failed: Exception | None = None
        for take, what in waiting:
            try:
                take(*what)
            except Exception as error:
                failed = error
        if failed is not None:
            raise failed

    def listed(self, now: int, event: api.EngineList) -> None:
        self._put(self._take_listed, now, event)

    def probed(self, now: int, event: api.ProbeEnded) -> None:
        self._put(self._take_probed, now, event)

    def sent(
        self, now: int, engine: str, query: int, attempt: int, class_name: str, estimate_us: float | None
    ) -> None:
        self._put(self._take_sent, now, engine, query, attempt, class_name, estimate_us)

    def ended(
        self,
        now: int,
        engine: str,
        query: int,
        attempt: int,
        outcome: api.Outcome,
        elapsed_us: int,
        report: api.LoadReport | None = None,
    ) -> None:
        self._put(self._take_ended, now, engine, query, attempt, outcome, elapsed_us, report)

    def noted(self, now: int, engine: str, query: int, topic: api.Topic, value: float) -> None:
        self._put(self._take_noted, now, engine, query, topic, value)

    def remarked(self, now: int, remarks: list[api.Remark]) -> None:
        """Why the module did, or didn't; the list is the time line's from now on."""
        self._put(self._take_remarked, now, remarks)

    def agreed(self, now: int, engine: str, word: str, figure: float, member: float) -> None:
        """What the fleet decided, of an engine or of the fleet itself."""
        self._put(self._take_agreed, now, engine, word, figure, member)

    def _take_agreed(self, now: int, engine: str, word: str, figure: float, member: float) -> None:
        self._record.at(now)
        code = AGREED_CODE.get(word, 0xFF)
        self._record.add(self._record.track(engine), Kind.AGREED, code, figure, member)

    def _take_listed(self, now: int, event: api.EngineList) -> None:
        record = self._record
        now = record.at(now)
        if event.kind is api.ListKind.FAILED:
            return
        named = {entry.engine for entry in event.entries}
        if event.kind is not api.ListKind.DELTA:
            known = [e for e, track in record.tracks.items() if track.gone_us is None and e != FLEET]
            for engine in known:
                if engine not in named:
                    track = record.tracks[engine]
                    self._listed(
                        now, api.EngineEntry(engine, track.kind, "", 0, 1.0, api.EngineState.GONE, None)
                    )
        for entry in event.entries:
            self._listed(now, entry)

    def _listed(self, now: int, entry: api.EngineEntry) -> None:
        if entry.state is api.EngineState.GONE and entry.engine not in self._record.tracks:
            return
        track = self._record.track(entry.engine)
        age = -1.0 if entry.started_us is None else (now - entry.started_us) / SECOND
        track.kind, track.state = entry.kind, entry.state
        if entry.state is api.EngineState.GONE:
            self._record.left(track)
        else:
            self._record.back(track)
        self._record.add(track, Kind.LISTED, STATE_CODE[entry.state], entry.weight, age)
        self._judge.listed(now, track.slot, entry)

    def _take_probed(self, now: int, event: api.ProbeEnded) -> None:
        now = self._record.at(now)
        if (track := self._record.tracks.get(event.engine)) is None:
            return
        self._record.add(track, Kind.PROBED, OUTCOME_CODE[event.outcome], event.elapsed_us / 1000, 0.0)
        if event.report is not None:
            self._reported(track, event.report, True)

    def _reported(self, track: Track, report: api.LoadReport, probe: bool) -> None:
        load = report.utilisation if report.held is None else report.held
        memory = -1.0 if report.memory_share is None else report.memory_share
        self._record.add(track, Kind.REPORTED, probe, load or 0.0, memory)
        if load is not None:
            track.load = load
            bucket = self._record.bucket(track)
            bucket.loads += 1
            bucket.load_sum += load
            if load > bucket.load_most:
                bucket.load_most = load
            self._judge.reported(track.engine, load)

    def _take_sent(
        self, now: int, engine: str, query: int, attempt: int, class_name: str, estimate_us: float | None
    ) -> None:
        record = self._record
        if now > record.now:  # as Record.at does, on the way of every request
            record.now = now
        else:
            now = record.now
        if (track := record.tracks.get(engine)) is None:
            return
        cls = self.class_code.get(class_name, 255)
        track.last_us = now
        record.columns.add(now, track.slot, SENT, cls, query, attempt)
        track.held = held = track.held + 1
        bucket = track.buckets[0]
        if now - bucket.at_us >= SECOND:
            bucket = record.bucket(track)
        bucket.sends += 1
        if held > bucket.held_most:
            bucket.held_most = held
        self._judge.sent(now, engine, query, attempt, cls, estimate_us)

    def _take_ended(
        self,
        now: int,
        engine: str,
        query: int,
        attempt: int,
        outcome: api.Outcome,
        elapsed_us: int,
        report: api.LoadReport | None = None,
    ) -> None:
        record = self._record
        if now > record.now:
            record.now = now
        else:
            now = record.now
        if (track := record.tracks.get(engine)) is None:
            return
        track.last_us = now
        if track.held:
            track.held -= 1
        bucket = track.buckets[0]
        if now - bucket.at_us >= SECOND:
            bucket = record.bucket(track)
        elapsed_ms = elapsed_us / 1000
        if outcome is api.Outcome.OK:  # an Enum's hash is slow: not asked for on the ordinary path
            record.columns.add(now, track.slot, ENDED, OK, query, elapsed_ms)
            bucket.ok += 1
            bucket.latency.add(elapsed_ms)
        else:
            record.columns.add(now, track.slot, ENDED, OUTCOME_CODE[outcome], query, elapsed_ms)
            self._count(bucket, outcome)
        if report is not None:
            self._reported(track, report, False)
        self._judge.ended(now, engine, query, attempt, outcome, elapsed_us)

    @staticmethod
    def _count(bucket: Bucket, outcome: api.Outcome) -> None:
        if outcome is api.Outcome.ERROR:
            bucket.errors += 1
        elif outcome is api.Outcome.FULL:
            bucket.full += 1
        elif outcome in (api.Outcome.CANCELLED, api.Outcome.MOOT):
            bucket.moved += 1
        else:
            bucket.lost += 1

    def _take_noted(self, now: int, engine: str, query: int, topic: api.Topic, value: float) -> None:
        now = self._record.at(now)
        if (track := self._record.tracks.get(engine)) is None:
            return
        self._record.add(track, Kind.NOTED, TOPIC_CODE[topic], query, value)
        self._judge.noted(now, engine)

    def _take_remarked(self, now: int, remarks: list[api.Remark]) -> None:
        """The first of a kind at once, those of the same second with their
        number, or one held query that asks every engine would fill the record."""
        now = self._record.at(now)
        for remark in remarks:
            if (track := self._record.tracks.get(remark.engine)) is None:
                continue
            if remark.reason in PASSING:
                self._record.bucket(track).passed += 1
            found = self.pending.get((remark.engine, remark.reason))
            if found is None:
                self.pending[remark.engine, remark.reason] = Pending(track, remark.reason, now)
                query = -1.0 if remark.query is None else remark.query
                self._record.add(track, Kind.DECIDED, REASON_CODE[remark.reason], 1.0, query)
            else:
                found.count += 1

    def tick(self, now: int) -> list[Happening]:
        """What the judge calls; a few times a second."""
        self.settle()
        now = self._record.at(now)
        self._judge.tick(now)
        found, self._judge.happenings = self._judge.happenings, []
        for happening in found:
            self.happenings.append(happening)
            if (track := self._record.tracks.get(happening.engine)) is not None:
                code = int(happening.verdict) + (0 if happening.begins else END)
                leading = next(iter(happening.evidence.values()), 0.0)
                self._record.add(track, Kind.JUDGED, code, leading, 0.0)
        for key, pending in list(self.pending.items()):
            if now - pending.at_us >= SECOND:
                if pending.count:
                    code = REASON_CODE[pending.reason]
                    self._record.add(pending.track, Kind.DECIDED, code, pending.count, -1.0)
                del self.pending[key]
        if now - self.tidied_at >= SECOND:
            self.tidied_at = now
            self._record.tidy()
            if len(self._judge.engines) > len(self._record.tracks):
                for engine in [e for e in self._judge.engines if e not in self._record.tracks]:
                    self._judge.forget(engine)
        return found

    # --- Views.

    def engines(self) -> list[dict[str, object]]:
        """A line an engine: state, what we hold there, load and the verdicts in force."""
        self.settle()
        found: list[dict[str, object]] = []
        for track in self._record.tracks.values():
            watched = self._judge.engines.get(track.engine)
            active = [v.name.lower().replace("_", " ") for v in watched.active] if watched else []
            found.append(
                {
                    "engine": track.engine,
                    "kind": track.kind,
                    "state": track.state.value,
                    "held": track.held,
                    "load": track.load,
                    "verdicts": ", ".join(active) or None,
                    "last_us": track.last_us,
                }
            )
        return found
