"""What a gateway knows of what is agreed: the state, how far it goes, and how it gets what it lacks.

Every gateway has one, of the council or not. Decided entries are told to all as they are decided; whoever
finds that a peer is further asks it for what came after, or, where that is gone by now, for the whole state
in pieces. A digest of all commands goes with every position: where two differ, one of them is not ours to
follow, and nothing is taken from it.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from whintrail.fleet.state import AnyCommand, FleetState, extend_digest
from whintrail.fleet.wire import (
    CHUNK_BYTES,
    MAX_DATAGRAM_BYTES,
    CatchUpRequest,
    CommittedEntries,
    Entry,
    Message,
    Position,
    Progress,
    SnapshotChunk,
    datagram_size,
)

RETAINED_ENTRIES = 128  # entries that can be told again
MAX_CHUNKS = 256
PULL_INTERVAL_US, FETCH_TIMEOUT_US = 250_000, 3_000_000
CHUNK_WINDOW = 8  # pieces told at once


@dataclass(slots=True)
class SnapshotFetch:
    """A whole state on its way, of one peer at a time."""

    peer: int
    position: Position
    digest: int
    chunks: int
    started_at: int
    received: dict[int, bytes] = field(default_factory=dict)


AppliedCallback = Callable[[Entry, str], None]


class Replica:
    def __init__(self, random: Random, on_applied: AppliedCallback) -> None:
        """`applied` is called after each entry, with why it changed nothing, if so."""
        self.random, self.on_applied = random, on_applied
        self.state = FleetState()
        self.position: Position = (0, 0, 0)
        self.digest = 0
        self.recent_entries: deque[tuple[Entry, int]] = deque(
            maxlen=RETAINED_ENTRIES
        )  # with the digest before each
        self.outbox: list[tuple[int, Message]] = []
        self.fetch: SnapshotFetch | None = None
        self.pulled_at: dict[int, int] = {}
        self.divergences = 0  # peers that know another history under our position
        self.snapshots_installed = 0  # how often a whole state was taken over
        self._snapshot: tuple[Position, int, bytes] | None = None

    # --- What is decided.

    def apply(self, entry: Entry) -> None:
        """The next entry; one that is had already is passed over."""
        if entry.index != self.position[2] + 1:
            return
        self.recent_entries.append((entry, self.digest))
        self.digest = extend_digest(self.digest, entry.index, entry.command)
        self.position = (self.position[0], entry.term, entry.index)
        self.on_applied(entry, self.state.apply(entry.command))

    def begin_epoch(self, position: Position) -> None:
        """The state goes on in another epoch, as its beginning."""
        self.position = position
        self.recent_entries.clear()

    # --- Telling.

    def entries_after(self, leader: int, after: int) -> CommittedEntries | None:
        """What was decided after an index, as far as it fits and is still kept."""
        entries: list[Entry] = []
        chain, room = 0, 0
        for entry, before in self.recent_entries:
            if entry.index <= after:
                continue
            if not entries:
                if entry.index != after + 1:
                    return None
                chain = before
                room = (
                    MAX_DATAGRAM_BYTES
                    - datagram_size(CommittedEntries(self.position[0], after, chain, leader, ()))
                    - 4
                )
            room -= datagram_size(entry)
            if entries and room < 0:
                break
            entries.append(entry)
        return CommittedEntries(self.position[0], after, chain, leader, tuple(entries)) if entries else None

    def receive_pull(self, origin: int, leader: int, pull: CatchUpRequest) -> None:
        if pull.snapshot is not None:
            self._send_chunk(origin, pull.snapshot, pull.chunk)
            return
        if pull.position >= self.position:
            return
        same = pull.position[0] == self.position[0]
        told = self.entries_after(leader, pull.position[2]) if same else None
        if told is not None and told.digest == pull.digest:
            self.outbox.append((origin, told))
        else:
            for part in range(CHUNK_WINDOW):
                self._send_chunk(origin, None, part)

    def _send_chunk(self, origin: int, state: Position | None, part: int) -> None:
        """Of the state as it was when the first piece was told, for as long as it is asked for."""
        if self._snapshot is None or (state is None and self._snapshot[0] != self.position):
            self._snapshot = (self.position, self.digest, self.state.encode())
        position, chain, data = self._snapshot
        if state is not None and state != position:
            return  # asked for anew, it gets the one that is known now
        parts = max(1, -(-len(data) // CHUNK_BYTES))
        if part < parts <= MAX_CHUNKS:
            cut = data[part * CHUNK_BYTES : (part + 1) * CHUNK_BYTES]
            self.outbox.append((origin, SnapshotChunk(position, chain, part, parts, cut)))

    # --- Learning.

    def receive_progress(self, now: int, origin: int, note: Progress) -> None:
        """How far a peer is: asked for more if it is further."""
        if note.position == self.position and note.digest != self.digest:
            self.divergences += 1
        if note.position > self.position:
            self.request_missing(now, origin)

    def request_missing(self, now: int, origin: int) -> None:
        if now - self.pulled_at.get(origin, -PULL_INTERVAL_US) < PULL_INTERVAL_US:
            return
        self.pulled_at[origin] = now
        fetch = self.fetch
        if fetch is not None and now - fetch.started_at < FETCH_TIMEOUT_US:
            if fetch.peer == origin:
                missing = [part for part in range(fetch.chunks) if part not in fetch.received]
                for part in missing[:CHUNK_WINDOW]:
                    self.outbox.append(
                        (origin, CatchUpRequest(self.position, self.digest, fetch.position, part))
                    )
                return
        self.fetch = None
        self.outbox.append((origin, CatchUpRequest(self.position, self.digest, None, 0)))

    def receive(self, now: int, origin: int, message: CommittedEntries | SnapshotChunk) -> None:
        if isinstance(message, SnapshotChunk):
            self._receive_chunk(now, origin, message)
            return
        if message.epoch != self.position[0]:
            if message.epoch > self.position[0]:
                self.request_missing(now, origin)
            return
        if message.prev_index > self.position[2]:
            self.request_missing(now, origin)
            return
        chain = message.digest
        for entry in message.entries:  # what we have of them has to be the same
            if entry.index == self.position[2] + 1:
                if chain != self.digest:
                    self.divergences += 1
                    return
                self.apply(entry)
            chain = extend_digest(chain, entry.index, entry.command)

    def _receive_chunk(self, now: int, origin: int, piece: SnapshotChunk) -> None:
        if piece.snapshot <= self.position:
            return
        fetch = self.fetch
        other = fetch is not None and (fetch.peer, fetch.position) != (origin, piece.snapshot)
        if other and fetch is not None and now - fetch.started_at < FETCH_TIMEOUT_US and fetch.peer != origin:
            return  # one at a time
        if fetch is None or other:
            fetch = self.fetch = SnapshotFetch(origin, piece.snapshot, piece.digest, piece.chunks, now)
        if piece.chunks != fetch.chunks or piece.chunk >= fetch.chunks:
            return
        fetch.received[piece.chunk] = piece.data
        if len(fetch.received) < fetch.chunks:
            if len(fetch.received) % CHUNK_WINDOW == 0:
                self.pulled_at.pop(origin, None)
                self.request_missing(now, origin)
            return
        self.fetch = None
        data = b"".join(fetch.received[part] for part in range(fetch.chunks))
        try:
            state = FleetState.decode(data)
        except msgspec.MsgspecError:
            return
        self.state, self.position, self.digest = state, fetch.position, fetch.digest
        self.recent_entries.clear()
        self.snapshots_installed += 1

    def dry_run(self, command: AnyCommand) -> str:
        """Why the command would change nothing now; empty if it would."""
        return FleetState.decode(self.state.encode()).apply(command)
