"""The record: raw events of all engines, and roll-ups by engine, within a stated number of bytes.

Half of the memory holds raw events, half roll-ups and what is known of each engine. Where churn fills it,
engines that have gone make way first, the longest gone before others; then the oldest of the finest buckets.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from whintrail import interface as api
from whintrail.timeline.columns import Columns, RawRow
from whintrail.timeline.events import Kind, Row
from whintrail.timeline.rollups import MAX_SEALED_BUCKETS, SPANS_US, Bucket, sealed_bucket_bytes

TRACK_BYTES = 3_000  # of an engine: its objects and open buckets, measured over 5,000 engines
LEVELS = range(len(SPANS_US))


@dataclass(slots=True, eq=False)
class EngineTrack:
    """One engine, by its `instanceId`."""

    engine: str
    slot: int  # its number in the raw columns; never used again
    kind: str = ""
    cores: float = 1.0
    state: api.EngineState = api.EngineState.REMOVED
    first_us: int = 0
    last_us: int = 0
    removed_us: int | None = None
    local_attempts: int = 0  # our attempts on it
    load: float = 0.0  # as it last reported
    open_buckets: list[Bucket] = field(default_factory=lambda: [Bucket() for _ in LEVELS])
    sealed_buckets: list[list[bytes]] = field(
        default_factory=lambda: [[] for _ in LEVELS]
    )  # short: no deques


class EventHistory:
    """Times are Unix microseconds; an event older than the one before counts as of the same time."""

    def __init__(self, memory_bytes: int, raw_retention_us: int) -> None:
        self.raw_retention_us = raw_retention_us
        memory_bytes = memory_bytes * 9 // 10  # the rest is what Python's allocator and dicts leave unused
        self.columns = Columns(memory_bytes // 2)
        self.rollup_budget_bytes = memory_bytes - memory_bytes // 2
        self.tracks: dict[str, EngineTrack] = {}
        self.slot_names: dict[int, str] = {}  # of slots, as long as raw events may speak of them
        self.removed: deque[EngineTrack] = deque()
        self.sealed_bytes = 0  # bytes of sealed buckets
        self.sealing_order: list[deque[EngineTrack]] = [
            deque() for _ in LEVELS
        ]  # whose bucket was sealed, in turn
        self.last_slot = 0
        self.now_us = 0
        self.evicted_buckets = 0  # buckets dropped before their age
        self.forgotten_tracks = 0  # engines dropped

    @property
    def used_bytes(self) -> int:
        """What the record takes, as it accounts for it."""
        return self.columns.used_bytes + self.sealed_bytes + TRACK_BYTES * len(self.tracks)

    def advance_clock(self, now: int) -> int:
        """Guard against a clock that steps back: time never does here."""
        self.now_us = now = max(now, self.now_us)
        return now

    def get_or_create_track(self, engine: str) -> EngineTrack:
        found = self.tracks.get(engine)
        if found is None:
            self.last_slot += 1
            found = self.tracks[engine] = EngineTrack(engine, self.last_slot, first_us=self.now_us)
            self.slot_names[self.last_slot] = engine
            if TRACK_BYTES * len(self.tracks) + self.sealed_bytes > self.rollup_budget_bytes:
                self._enforce_memory_limit()
        return found

    def add(self, track: EngineTrack, kind: Kind, code: int, a: float, b: float) -> None:
        track.last_us = self.now_us
        self.columns.add(self.now_us, track.slot, kind, code, a, b)

    def current_bucket(self, track: EngineTrack) -> Bucket:
        """The open second of the engine."""
        bucket = track.open_buckets[0]
        if self.now_us - bucket.at_us >= SPANS_US[0]:
            self._seal_bucket(track, 0)
            bucket = track.open_buckets[0]
        return bucket

    def mark_removed(self, track: EngineTrack) -> None:
        """The list says that the engine has gone."""
        if track.removed_us is None:
            track.removed_us = self.now_us
            self.removed.append(track)

    def mark_returned(self, track: EngineTrack) -> None:
        if track.removed_us is not None:
            track.removed_us = None
            self.removed.remove(track)

    # --- Sealing and letting go.

    def _seal_bucket(self, track: EngineTrack, level: int) -> None:
        """Close the open bucket of that level and open the one in which now lies."""
        bucket, span = track.open_buckets[level], SPANS_US[level]
        if bucket.at_us:
            sealed = bucket.to_bytes()
            track.sealed_buckets[level].append(sealed)
            self.sealing_order[level].append(track)
            self.sealed_bytes += sealed_bucket_bytes(sealed)
            if len(track.sealed_buckets[level]) > MAX_SEALED_BUCKETS[level]:
                self._drop_oldest_bucket(track, level)
            if level + 1 < len(SPANS_US):
                above = track.open_buckets[level + 1]
                if bucket.at_us - above.at_us >= SPANS_US[level + 1]:
                    self._seal_bucket(track, level + 1)
                    above = track.open_buckets[level + 1]
                    above.at_us = bucket.at_us // SPANS_US[level + 1] * SPANS_US[level + 1]
                above.merge(bucket)
            if self.sealed_bytes + TRACK_BYTES * len(self.tracks) > self.rollup_budget_bytes:
                self._enforce_memory_limit()
        track.open_buckets[level] = Bucket(at_us=self.now_us // span * span)

    def _drop_oldest_bucket(self, track: EngineTrack, level: int) -> None:
        if track.sealed_buckets[level]:
            self.sealed_bytes -= sealed_bucket_bytes(track.sealed_buckets[level].pop(0))

    def _enforce_memory_limit(self) -> None:
        while self.sealed_bytes + TRACK_BYTES * len(self.tracks) > self.rollup_budget_bytes:
            if self.removed and (
                len(self.removed) * 4 > len(self.tracks)
                or not any(self.sealing_order[level] for level in LEVELS)
            ):
                self.forget_track(self.removed[0])
                continue
            level = next((level for level in LEVELS if self.sealing_order[level]), None)
            if level is None:
                return  # more engines than memory: what is known of each stays
            track = self.sealing_order[level].popleft()
            if track.sealed_buckets[level]:
                self._drop_oldest_bucket(track, level)
                self.evicted_buckets += 1

    def forget_track(self, track: EngineTrack) -> None:
        """All that is kept of an engine, but for raw events, which go with their age."""
        if track.removed_us is not None:
            self.removed.remove(track)
        for level in LEVELS:
            while track.sealed_buckets[level]:
                self._drop_oldest_bucket(track, level)
        self.tracks.pop(track.engine, None)
        self.forgotten_tracks += 1

    def expire(self) -> None:
        """Housekeeping, about once a second: what is too old goes, and names that nothing speaks of."""
        self.columns.drop_chunks_before(self.now_us - self.raw_retention_us)
        for level in LEVELS:
            order = self.sealing_order[level]
            if len(order) > 2 * MAX_SEALED_BUCKETS[level] * max(1, len(self.tracks)):
                self.sealing_order[level] = deque(track for track in order if track.sealed_buckets[level])
        kept = 60_000_000 * MAX_SEALED_BUCKETS[2]
        while (
            self.removed
            and self.removed[0].removed_us is not None
            and self.now_us - self.removed[0].removed_us > kept
        ):
            self.forget_track(self.removed[0])
        if len(self.slot_names) > 2 * len(self.tracks) + 64:
            alive = {track.slot for track in self.tracks.values()}
            for chunk in self.columns.chunks:
                alive.update(chunk.slots)
            self.slot_names = {slot: name for slot, name in self.slot_names.items() if slot in alive}

    # --- Reading.

    def rows(self, engine: str | None = None, since: int = 0, until: int = 1 << 62) -> Iterator[Row]:
        """Raw events, oldest first. Nothing where the engine is unknown."""
        slot = None
        if engine is not None:
            slot = next((slot for slot, name in self.slot_names.items() if name == engine), 0)
        return (self.decode_row(raw) for raw in self.columns.rows(slot, since, until))

    def decode_row(self, raw: RawRow) -> Row:
        at, slot, kind, code, a, b = raw
        return Row(at, self.slot_names.get(slot, f"#{slot}"), Kind(kind), code, a, b)

    def buckets(
        self, engine: str, level: int, since: int = 0, keep: Callable[[Bucket], bool] | None = None
    ) -> list[Bucket]:
        """The buckets of that level (0: 1 s, 1: 10 s, 2: 1 min), the open one last."""
        track = self.tracks.get(engine)
        if track is None:
            return []
        found = [Bucket.from_bytes(sealed) for sealed in track.sealed_buckets[level]]
        if track.open_buckets[level].at_us:
            found.append(track.open_buckets[level])
        return [b for b in found if b.at_us + SPANS_US[level] > since and (keep is None or keep(b))]
