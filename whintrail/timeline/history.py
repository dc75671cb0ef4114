"""The event history: raw events of all engines, and roll-ups by engine, within a memory limit.

Half of the memory holds raw events, the other half roll-ups and the state of each engine. When churn fills
it, engines that were removed are dropped first, the longest removed before others; then the oldest buckets of
the finest level.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from whintrail import interface as api
from whintrail.timeline.columns import Columns, RawRow
from whintrail.timeline.events import Kind, Row
from whintrail.timeline.rollups import MAX_SEALED_BUCKETS, SPANS_US, Bucket, sealed_bucket_bytes

TRACK_BYTES = 3_000  # mean of an engine's objects and open buckets, over 5,000 engines
LEVELS = range(len(SPANS_US))


@dataclass(slots=True, eq=False)
class EngineTrack:
    """State and roll-ups of one engine, identified by its `instanceId`."""

    engine: str
    slot: int  # its number in the raw columns; never reused
    kind: str = ""
    cores: float = 1.0
    state: api.EngineState = api.EngineState.REMOVED
    first_us: int = 0
    last_us: int = 0
    removed_us: int | None = None
    local_attempts: int = 0  # open attempts of this gateway
    load: float = 0.0  # of the latest report
    open_buckets: list[Bucket] = field(default_factory=lambda: [Bucket() for _ in LEVELS])
    # By level. Lists, not deques: they are short.
    sealed_buckets: list[list[bytes]] = field(default_factory=lambda: [[] for _ in LEVELS])


class EventHistory:
    """Events and roll-ups of all engines.

    Times are Unix microseconds. An event older than the one before it gets the time of that one.
    """

    def __init__(self, memory_bytes: int, raw_retention_us: int) -> None:
        self.raw_retention_us = raw_retention_us
        memory_bytes = memory_bytes * 9 // 10  # the rest is lost in Python's allocator and dicts
        self.columns = Columns(memory_bytes // 2)
        self.rollup_budget_bytes = memory_bytes - memory_bytes // 2
        self.tracks: dict[str, EngineTrack] = {}
        self.slot_names: dict[int, str] = {}  # kept while raw events may refer to the slot
        self.removed: deque[EngineTrack] = deque()
        self.sealed_bytes = 0
        # By level, the tracks in the order in which their buckets were sealed.
        self.sealing_order: list[deque[EngineTrack]] = [deque() for _ in LEVELS]
        self.last_slot = 0
        self.now_us = 0
        self.evicted_buckets = 0  # dropped for lack of memory, before their age
        self.forgotten_tracks = 0

    @property
    def used_bytes(self) -> int:
        """Memory in use, by the history's own accounting."""
        return self.columns.used_bytes + self.sealed_bytes + TRACK_BYTES * len(self.tracks)

    def advance_clock(self, now_us: int) -> int:
        """Advance the history's time, which never goes back even if the system clock does."""
        self.now_us = now_us = max(now_us, self.now_us)
        return now_us

    def get_or_create_track(self, engine: str) -> EngineTrack:
        track = self.tracks.get(engine)
        if track is None:
            self.last_slot += 1
            track = self.tracks[engine] = EngineTrack(engine, self.last_slot, first_us=self.now_us)
            self.slot_names[self.last_slot] = engine
            if TRACK_BYTES * len(self.tracks) + self.sealed_bytes > self.rollup_budget_bytes:
                self._enforce_memory_limit()
        return track

    def add(self, track: EngineTrack, kind: Kind, code: int, a: float, b: float) -> None:
        track.last_us = self.now_us
        self.columns.add(self.now_us, track.slot, kind, code, a, b)

    def current_bucket(self, track: EngineTrack) -> Bucket:
        """The open bucket of the finest level (1 s)."""
        bucket = track.open_buckets[0]
        if self.now_us - bucket.at_us >= SPANS_US[0]:
            self._seal_bucket(track, 0)
            bucket = track.open_buckets[0]
        return bucket

    def mark_removed(self, track: EngineTrack) -> None:
        """Note that the engine is no longer in the engine list."""
        if track.removed_us is None:
            track.removed_us = self.now_us
            self.removed.append(track)

    def mark_returned(self, track: EngineTrack) -> None:
        if track.removed_us is not None:
            track.removed_us = None
            self.removed.remove(track)

    # --- Sealing and dropping.

    def _seal_bucket(self, track: EngineTrack, level: int) -> None:
        """Seal the open bucket of that level and open the one of the current time."""
        bucket, span = track.open_buckets[level], SPANS_US[level]
        if bucket.at_us:
            sealed = bucket.to_bytes()
            track.sealed_buckets[level].append(sealed)
            self.sealing_order[level].append(track)
            self.sealed_bytes += sealed_bucket_bytes(sealed)
            if len(track.sealed_buckets[level]) > MAX_SEALED_BUCKETS[level]:
                self._drop_oldest_bucket(track, level)
            if level + 1 < len(SPANS_US):
                next_bucket = track.open_buckets[level + 1]
                if bucket.at_us - next_bucket.at_us >= SPANS_US[level + 1]:
                    self._seal_bucket(track, level + 1)
                    next_bucket = track.open_buckets[level + 1]
                    next_bucket.at_us = bucket.at_us // SPANS_US[level + 1] * SPANS_US[level + 1]
                next_bucket.merge(bucket)
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
                return  # more engines than fit: their state stays all the same
            track = self.sealing_order[level].popleft()
            if track.sealed_buckets[level]:
                self._drop_oldest_bucket(track, level)
                self.evicted_buckets += 1

    def forget_track(self, track: EngineTrack) -> None:
        """Drop an engine's state and roll-ups. Its raw events stay until they expire."""
        if track.removed_us is not None:
            self.removed.remove(track)
        for level in LEVELS:
            while track.sealed_buckets[level]:
                self._drop_oldest_bucket(track, level)
        self.tracks.pop(track.engine, None)
        self.forgotten_tracks += 1

    def expire(self) -> None:
        """Drop expired events and tracks, and names of unused slots; called about once a second."""
        self.columns.drop_chunks_before(self.now_us - self.raw_retention_us)
        for level in LEVELS:
            tracks = self.sealing_order[level]
            if len(tracks) > 2 * MAX_SEALED_BUCKETS[level] * max(1, len(self.tracks)):
                self.sealing_order[level] = deque(track for track in tracks if track.sealed_buckets[level])
        retention_us = 60_000_000 * MAX_SEALED_BUCKETS[2]
        while (
            self.removed
            and self.removed[0].removed_us is not None
            and self.now_us - self.removed[0].removed_us > retention_us
        ):
            self.forget_track(self.removed[0])
        if len(self.slot_names) > 2 * len(self.tracks) + 64:
            used_slots = {track.slot for track in self.tracks.values()}
            for chunk in self.columns.chunks:
                used_slots.update(chunk.slots)
            self.slot_names = {slot: name for slot, name in self.slot_names.items() if slot in used_slots}

    # --- Reading.

    def rows(self, engine: str | None = None, since: int = 0, until: int = 1 << 62) -> Iterator[Row]:
        """Raw events, oldest first; none if the engine is unknown."""
        slot = None
        if engine is not None:
            slot = next((slot for slot, name in self.slot_names.items() if name == engine), 0)
        return (self.decode_row(raw) for raw in self.columns.rows(slot, since, until))

    def decode_row(self, raw: RawRow) -> Row:
        at_us, slot, kind, code, a, b = raw
        return Row(at_us, self.slot_names.get(slot, f"#{slot}"), Kind(kind), code, a, b)

    def buckets(
        self, engine: str, level: int, since: int = 0, keep: Callable[[Bucket], bool] | None = None
    ) -> list[Bucket]:
        """The buckets of that level (0: 1 s, 1: 10 s, 2: 1 min), the open one last."""
        track = self.tracks.get(engine)
        if track is None:
            return []
        buckets = [Bucket.from_bytes(sealed) for sealed in track.sealed_buckets[level]]
        if track.open_buckets[level].at_us:
            buckets.append(track.open_buckets[level])
        return [b for b in buckets if b.at_us + SPANS_US[level] > since and (keep is None or keep(b))]
