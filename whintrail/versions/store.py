"""Encoded rules by digest, transferred in pieces that fit a datagram. Pure.

Any gateway that holds them may send a piece; each piece is requested again until it arrives. Data that does
not match its digest is discarded as a whole and fetched from another gateway.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from whintrail.versions.rules import MAX_RULES_BYTES, digest

PIECE_BYTES = 176
MAX_PIECES = -(-MAX_RULES_BYTES // PIECE_BYTES)
REQUEST_WINDOW_PIECES = 24
RETRY_INTERVAL_US = 150_000
MAX_PROPOSER_FETCHERS = 256  # about so many members ask the proposer at once, the others one another
STALLED_RETRIES = 4  # after which another source is asked, if this one has sent pieces


@dataclass(slots=True)
class Fetch:
    """Data that is being fetched, and the pieces received so far."""

    digest: int
    piece_count: int = 0  # 0: not known yet
    source: int = -1  # the gateway that is asked
    pieces: dict[int, bytes] = field(default_factory=dict)
    senders: set[int] = field(default_factory=set)  # of the pieces
    requested_at: int = -RETRY_INTERVAL_US
    progress_at: int = -1  # -1: no request was sent yet


class RulesStore:
    """The encoded rules that this gateway holds, by digest, at most `capacity` of them, and those being
    fetched."""

    def __init__(self, random: Random, capacity: int = 24) -> None:
        self.random, self.capacity = random, capacity
        self.held: dict[int, bytes] = {}
        self.fetching: dict[int, Fetch] = {}
        self.corrupt_count = 0  # fetched data that did not match its digest
        self.distrusted_sources: set[tuple[int, int]] = set()  # gateway and digest

    def put(self, data: bytes) -> int:
        """Store encoded rules; returns their digest."""
        key = digest(data)
        self.held.pop(key, None)
        self.held[key] = data
        while len(self.held) > self.capacity:
            del self.held[next(iter(self.held))]
        self.fetching.pop(key, None)
        return key

    def read_piece(self, key: int, index: int) -> tuple[int, bytes] | None:
        """The number of pieces, and this one; None if the data is not held."""
        data = self.held.get(key)
        if data is None:
            return None
        piece_count = max(1, -(-len(data) // PIECE_BYTES))
        return (
            (piece_count, data[index * PIECE_BYTES : (index + 1) * PIECE_BYTES])
            if index < piece_count
            else None
        )

    def fetch(self, key: int, source: int) -> None:
        """Begin to fetch data unless it is held. `source` is asked first: the gateway that proposed it."""
        if key and key not in self.held and key not in self.fetching:
            self.fetching[key] = Fetch(key, source=source)

    def due_requests(self, now: int, holders: Sequence[int]) -> list[tuple[int, int, int]]:
        """The requests to send now: gateway, digest, piece."""
        requests = []
        for fetch in self.fetching.values():
            if now - fetch.requested_at < RETRY_INTERVAL_US:
                continue
            trusted = holders
            if self.distrusted_sources:
                trusted = [n for n in holders if (n, fetch.digest) not in self.distrusted_sources]
            if fetch.progress_at < 0:
                fetch.progress_at = now
                if (
                    len(trusted) > MAX_PROPOSER_FETCHERS
                    and self.random.randrange(len(trusted)) >= MAX_PROPOSER_FETCHERS
                ):
                    fetch.source = -1
            # A source that has sent no piece at all most likely does not hold the data yet; another one may.
            stalled = now - fetch.progress_at >= (
                STALLED_RETRIES * RETRY_INTERVAL_US if fetch.piece_count else RETRY_INTERVAL_US
            )
            if trusted and (fetch.source not in trusted or stalled):
                fetch.source = self.random.choice(trusted)
                fetch.progress_at = now
            if fetch.source not in trusted:
                continue
            fetch.requested_at = now
            missing = [index for index in range(fetch.piece_count or 1) if index not in fetch.pieces]
            requests += [(fetch.source, fetch.digest, index) for index in missing[:REQUEST_WINDOW_PIECES]]
        return requests

    def receive_piece(
        self, now: int, origin: int, key: int, index: int, piece_count: int, data: bytes
    ) -> bool:
        """Add a received piece; True once the data is complete."""
        fetch = self.fetching.get(key)
        if (
            fetch is None
            or not 0 < piece_count <= MAX_PIECES
            or index >= piece_count
            or len(data) > PIECE_BYTES
        ):
            return False
        if fetch.piece_count not in (0, piece_count):
            return False  # contradicts the first sender's count; the digest shows which one is wrong
        fetch.piece_count = piece_count
        fetch.pieces.setdefault(index, data)
        fetch.senders.add(origin)
        fetch.progress_at = now
        fetch.requested_at = (
            fetch.requested_at if len(fetch.pieces) % REQUEST_WINDOW_PIECES else -RETRY_INTERVAL_US
        )
        if len(fetch.pieces) < piece_count:
            return False
        complete = b"".join(fetch.pieces[place] for place in range(piece_count))
        if digest(complete) == key:
            self.put(complete)
            return True
        self.corrupt_count += 1
        if len(fetch.senders) == 1:  # all pieces are of this one
            self.distrusted_sources.add((origin, key))
        source = self.random.choice(sorted(fetch.senders))
        self.fetching[key] = Fetch(key, source=source if len(fetch.senders) > 1 else -1, progress_at=now)
        return False
