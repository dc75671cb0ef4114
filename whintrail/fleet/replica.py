"""A gateway's replica of the committed state, and how it catches up.

Every gateway has one, voter or not. The leader broadcasts entries as they are committed. A gateway that sees
a peer at a later position asks it for the missing entries or, where the peer retains them no more, for a
snapshot in chunks. A digest of all commands goes with each position; nothing is taken from a peer whose
digest differs.
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

RETAINED_ENTRIES = 128  # that can be sent again
MAX_CHUNKS = 256
PULL_INTERVAL_US = 250_000  # between requests to the same peer
FETCH_TIMEOUT_US = 3_000_000  # after that a snapshot may come from another peer
CHUNK_WINDOW = 8  # chunks sent or requested at once
ARRAY_HEADER_BYTES = 4  # that the list of entries may need in addition


@dataclass(slots=True)
class SnapshotFetch:
    """A snapshot being fetched from a peer."""

    peer: int
    position: Position
    digest: int
    chunks: int
    started_at: int
    received: dict[int, bytes] = field(default_factory=dict)


AppliedCallback = Callable[[Entry, str], None]


class Replica:
    """The committed state and its position. The caller sends what is in `outbox`."""

    def __init__(self, random: Random, on_applied: AppliedCallback) -> None:
        """`on_applied` is called after each entry, with the reason if the entry was refused, else empty."""
        self.random, self.on_applied = random, on_applied
        self.state = FleetState()
        self.position: Position = (0, 0, 0)
        self.digest = 0
        # Each with the digest of the history before it.
        self.recent_entries: deque[tuple[Entry, int]] = deque(maxlen=RETAINED_ENTRIES)
        self.outbox: list[tuple[int, Message]] = []
        self.fetch: SnapshotFetch | None = None
        self.pulled_at: dict[int, int] = {}
        self.divergences = 0  # times that a peer had another history for a local position
        self.snapshots_installed = 0
        self._snapshot: tuple[Position, int, bytes] | None = None

    # --- Applying entries.

    def apply(self, entry: Entry) -> None:
        """Applies the next entry; any other is ignored."""
        if entry.index != self.position[2] + 1:
            return
        self.recent_entries.append((entry, self.digest))
        self.digest = extend_digest(self.digest, entry.index, entry.command)
        self.position = (self.position[0], entry.term, entry.index)
        self.on_applied(entry, self.state.apply(entry.command))

    def begin_epoch(self, position: Position) -> None:
        """Continues with the same state in a new epoch."""
        self.position = position
        self.recent_entries.clear()

    # --- Sending.

    def entries_after(self, leader: int, after: int) -> CommittedEntries | None:
        """The committed entries after an index that fit into a datagram; None if they are not retained."""
        entries: list[Entry] = []
        digest, room = 0, 0
        for entry, digest_before in self.recent_entries:
            if entry.index <= after:
                continue
            if not entries:
                if entry.index != after + 1:
                    return None
                digest = digest_before
                room = (
                    MAX_DATAGRAM_BYTES
                    - datagram_size(CommittedEntries(self.position[0], after, digest, leader, ()))
                    - ARRAY_HEADER_BYTES
                )
            room -= datagram_size(entry)
            if entries and room < 0:
                break
            entries.append(entry)
        return CommittedEntries(self.position[0], after, digest, leader, tuple(entries)) if entries else None

    def receive_pull(self, sender: int, leader: int, request: CatchUpRequest) -> None:
        """Sends a peer the entries or the chunks that it asks for."""
        if request.snapshot is not None:
            self._send_chunk(sender, request.snapshot, request.chunk)
            return
        if request.position >= self.position:
            return
        same_epoch = request.position[0] == self.position[0]
        reply = self.entries_after(leader, request.position[2]) if same_epoch else None
        if reply is not None and reply.digest == request.digest:
            self.outbox.append((sender, reply))
        else:
            for number in range(CHUNK_WINDOW):
                self._send_chunk(sender, None, number)

    def _send_chunk(self, sender: int, state: Position | None, number: int) -> None:
        """Sends a chunk of a snapshot, which is kept until chunks of a later one are asked for."""
        if self._snapshot is None or (state is None and self._snapshot[0] != self.position):
            self._snapshot = (self.position, self.digest, self.state.encode())
        position, digest, data = self._snapshot
        if state is not None and state != position:
            return  # replaced by now: the peer's next request gets the current one
        count = max(1, -(-len(data) // CHUNK_BYTES))
        if number < count <= MAX_CHUNKS:
            data_part = data[number * CHUNK_BYTES : (number + 1) * CHUNK_BYTES]
            self.outbox.append((sender, SnapshotChunk(position, digest, number, count, data_part)))

    # --- Catching up.

    def receive_progress(self, now: int, sender: int, progress: Progress) -> None:
        """Notes a peer's position and asks it for more if it is ahead."""
        if progress.position == self.position and progress.digest != self.digest:
            self.divergences += 1
        if progress.position > self.position:
            self.request_missing(now, sender)

    def request_missing(self, now: int, peer: int) -> None:
        """Asks a peer for the missing entries, or for missing chunks of the snapshot that it is sending."""
        if now - self.pulled_at.get(peer, -PULL_INTERVAL_US) < PULL_INTERVAL_US:
            return
        self.pulled_at[peer] = now
        fetch = self.fetch
        if fetch is not None and now - fetch.started_at < FETCH_TIMEOUT_US:
            if fetch.peer == peer:
                missing = [number for number in range(fetch.chunks) if number not in fetch.received]
                for number in missing[:CHUNK_WINDOW]:
                    self.outbox.append(
                        (peer, CatchUpRequest(self.position, self.digest, fetch.position, number))
                    )
                return
        self.fetch = None
        self.outbox.append((peer, CatchUpRequest(self.position, self.digest, None, 0)))

    def receive(self, now: int, sender: int, message: CommittedEntries | SnapshotChunk) -> None:
        """Handles entries or a chunk from a peer."""
        if isinstance(message, SnapshotChunk):
            self._receive_chunk(now, sender, message)
            return
        if message.epoch != self.position[0]:
            if message.epoch > self.position[0]:
                self.request_missing(now, sender)
            return
        if message.prev_index > self.position[2]:
            self.request_missing(now, sender)
            return
        digest = message.digest
        for entry in message.entries:  # entries that are held already have to be the same
            if entry.index == self.position[2] + 1:
                if digest != self.digest:
                    self.divergences += 1
                    return
                self.apply(entry)
            digest = extend_digest(digest, entry.index, entry.command)

    def _receive_chunk(self, now: int, sender: int, chunk: SnapshotChunk) -> None:
        if chunk.snapshot <= self.position:
            return
        fetch = self.fetch
        is_other = fetch is not None and (fetch.peer, fetch.position) != (sender, chunk.snapshot)
        if (
            is_other
            and fetch is not None
            and now - fetch.started_at < FETCH_TIMEOUT_US
            and fetch.peer != sender
        ):
            return  # only one peer at a time
        if fetch is None or is_other:
            fetch = self.fetch = SnapshotFetch(sender, chunk.snapshot, chunk.digest, chunk.chunks, now)
        if chunk.chunks != fetch.chunks or chunk.chunk >= fetch.chunks:
            return
        fetch.received[chunk.chunk] = chunk.data
        if len(fetch.received) < fetch.chunks:
            if len(fetch.received) % CHUNK_WINDOW == 0:
                self.pulled_at.pop(sender, None)
                self.request_missing(now, sender)
            return
        self.fetch = None
        data = b"".join(fetch.received[number] for number in range(fetch.chunks))
        try:
            state = FleetState.decode(data)
        except msgspec.MsgspecError:
            return
        self.state, self.position, self.digest = state, fetch.position, fetch.digest
        self.recent_entries.clear()
        self.snapshots_installed += 1

    def dry_run(self, command: AnyCommand) -> str:
        """Why the command would be refused now; empty if it would be applied."""
        return FleetState.decode(self.state.encode()).apply(command)
