"""The record: raw events of all engines, and roll-ups by engine, within a stated number of bytes.

Half of the memory holds raw events, half roll-ups and what is known of each engine. Where churn fills it,
engines that have gone make way first, the longest gone before others; then the oldest of the finest buckets.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from whintrail import interface as api
from whintrail.timeline.columns import Columns, RawRow
from whintrail.timeline.kinds import Kind, Row
from whintrail.timeline.rollups import KEPT, SPANS_US, Bucket, cost

TRACK_BYTES = 3_000  # of an engine: its objects and open buckets, measured over 5,000 engines
LEVELS = range(len(SPANS_US))


@dataclass(slots=True, eq=False)
class Track:
    """One engine, by its `instanceId`."""

    engine: str
    slot: int  # its number in the raw columns; never used again
    kind: str = ""
    cores: float = 1.0
    state: api.EngineState = api.EngineState.GONE
    first_us: int = 0
    last_us: int = 0
    gone_us: int | None = None
    held: int = 0  # our attempts on it
    load: float = 0.0  # as it last reported
    buckets: list[Bucket] = field(default_factory=lambda: [Bucket() for _ in LEVELS])
    sealed: list[list[bytes]] = field(default_factory=lambda: [[] for _ in LEVELS])  # short: no deques


class Record:
    """Times are Unix microseconds; an event older than the one before counts as of the same time."""

    def __init__(self, memory_bytes: int, raw_us: int) -> None:
        self.raw_us = raw_us
        memory_bytes = memory_bytes * 9 // 10  # the rest is what Python's allocator and dicts leave unused
        self.columns = Columns(memory_bytes // 2)
        self.rest = memory_bytes - memory_bytes // 2
        self.tracks: dict[str, Track] = {}
        self.names: dict[int, str] = {}  # of slots, as long as raw events may speak of them
        self.gone: deque[Track] = deque()
        self.rolled = 0  # bytes of sealed buckets
        self.order: list[deque[Track]] = [deque() for _ in LEVELS]  # whose bucket was sealed, in turn
        self.slots = 0
        self.now = 0
        self.evicted = 0  # buckets dropped before their age
        self.forgotten = 0  # engines dropped

    @property
    def bytes(self) -> int:
        """What the record takes, as it accounts for it."""
        return self.columns.bytes + self.rolled + TRACK_BYTES * len(self.tracks)

    def at(self, now: int) -> int:
        """Guard against a clock that steps back: time never does here."""
        self.now = now = max(now, self.now)
        return now

    def track(self, engine: str) -> Track:
        found = self.tracks.get(engine)
        if found is None:
            self.slots += 1
            found = self.tracks[engine] = Track(engine, self.slots, first_us=self.now)
            self.names[self.slots] = engine
            if TRACK_BYTES * len(self.tracks) + self.rolled > self.rest:
                self._make_room()
        return found

    def add(self, track: Track, kind: Kind, code: int, a: float, b: float) -> None:
        track.last_us = self.now
        self.columns.add(self.now, track.slot, kind, code, a, b)

    def bucket(self, track: Track) -> Bucket:
        """The open second of the engine."""
        bucket = track.buckets[0]
        if self.now - bucket.at_us >= SPANS_US[0]:
            self._seal(track, 0)
            bucket = track.buckets[0]
        return bucket

    def left(self, track: Track) -> None:
        """The list says that the engine has gone."""
        if track.gone_us is None:
            track.gone_us = self.now
            self.gone.append(track)

    def back(self, track: Track) -> None:
        if track.gone_us is not None:
            track.gone_us = None
            self.gone.remove(track)

    # --- Sealing and letting go.

    def _seal(self, track: Track, level: int) -> None:
        """Close the open bucket of that level and open the one in which now lies."""
        bucket, span = track.buckets[level], SPANS_US[level]
        if bucket.at_us:
            sealed = bucket.seal()
            track.sealed[level].append(sealed)
            self.order[level].append(track)
            self.rolled += cost(sealed)
            if len(track.sealed[level]) > KEPT[level]:
                self._drop(track, level)
            if level + 1 < len(SPANS_US):
                above = track.buckets[level + 1]
                if bucket.at_us - above.at_us >= SPANS_US[level + 1]:
                    self._seal(track, level + 1)
                    above = track.buckets[level + 1]
                    above.at_us = bucket.at_us // SPANS_US[level + 1] * SPANS_US[level + 1]
                above.merge(bucket)
            if self.rolled + TRACK_BYTES * len(self.tracks) > self.rest:
                self._make_room()
        track.buckets[level] = Bucket(at_us=self.now // span * span)

    def _drop(self, track: Track, level: int) -> None:
        if track.sealed[level]:
            self.rolled -= cost(track.sealed[level].pop(0))

    def _make_room(self) -> None:
        while self.rolled + TRACK_BYTES * len(self.tracks) > self.rest:
            if self.gone and (
                len(self.gone) * 4 > len(self.tracks) or not any(self.order[level] for level in LEVELS)
            ):
                self.forget(self.gone[0])
                continue
            level = next((level for level in LEVELS if self.order[level]), None)
            if level is None:
                return  # more engines than memory: what is known of each stays
            track = self.order[level].popleft()
            if track.sealed[level]:
                self._drop(track, level)
                self.evicted += 1

    def forget(self, track: Track) -> None:
        """All that is kept of an engine, but for raw events, which go with their age."""
        if track.gone_us is not None:
            self.gone.remove(track)
        for level in LEVELS:
            while track.sealed[level]:
                self._drop(track, level)
        self.tracks.pop(track.engine, None)
        self.forgotten += 1

    def tidy(self) -> None:
        """Housekeeping, about once a second: what is too old goes, and names that nothing speaks of."""
        self.columns.forget_before(self.now - self.raw_us)
        for level in LEVELS:
            order = self.order[level]
            if len(order) > 2 * KEPT[level] * max(1, len(self.tracks)):
                self.order[level] = deque(track for track in order if track.sealed[level])
        kept = 60_000_000 * KEPT[2]
        while self.gone and self.gone[0].gone_us is not None and self.now - self.gone[0].gone_us > kept:
            self.forget(self.gone[0])
        if len(self.names) > 2 * len(self.tracks) + 64:
            alive = {track.slot for track in self.tracks.values()}
            for chunk in self.columns.chunks:
                alive.update(chunk.slots)
            self.names = {slot: name for slot, name in self.names.items() if slot in alive}

    # --- Reading.

    def rows(self, engine: str | None = None, since: int = 0, until: int = 1 << 62) -> Iterator[Row]:
        """Raw events, oldest first. Nothing where the engine is unknown."""
        slot = None
        if engine is not None:
            slot = next((slot for slot, name in self.names.items() if name == engine), 0)
        return (self.read(raw) for raw in self.columns.rows(slot, since, until))

    def read(self, raw: RawRow) -> Row:
        at, slot, kind, code, a, b = raw
        return Row(at, self.names.get(slot, f"#{slot}"), Kind(kind), code, a, b)

    def rolled_up(
        self, engine: str, level: int, since: int = 0, keep: Callable[[Bucket], bool] | None = None
    ) -> list[Bucket]:
        """The buckets of that level (0: 1 s, 1: 10 s, 2: 1 min), the open one last."""
        track = self.tracks.get(engine)
        if track is None:
            return []
        found = [Bucket.open(sealed) for sealed in track.sealed[level]]
        if track.buckets[level].at_us:
            found.append(track.buckets[level])
        return [b for b in found if b.at_us + SPANS_US[level] > since and (keep is None or keep(b))]
