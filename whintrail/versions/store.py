"""Bodies by digest, in pieces that fit a datagram. Pure.

Any holder may tell a piece; each is asked for again until it comes. What doesn't add up to its digest is
thrown away whole and fetched from another.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from whintrail.versions.rules import MAX_RULES_BYTES, digest

PIECE_BYTES = 176
MAX_PIECES = -(-MAX_RULES_BYTES // PIECE_BYTES)
REQUEST_WINDOW_PIECES, RETRY_INTERVAL_US = 24, 150_000
MAX_PROPOSER_FETCHERS = 256  # so many of the fleet ask the proposer at once, the others one another


@dataclass(slots=True)
class Fetch:
    digest: int
    piece_count: int = 0  # 0: not told yet
    source: int = -1  # who is asked
    pieces: dict[int, bytes] = field(default_factory=dict)
    senders: set[int] = field(default_factory=set)  # of which members the pieces are
    requested_at: int = -RETRY_INTERVAL_US
    progress_at: int = -1  # nobody was asked yet


class RulesStore:
    """The bodies that this gateway holds, by digest, and those on their way. `keep` is how many at most."""

    def __init__(self, random: Random, capacity: int = 24) -> None:
        self.random, self.capacity = random, capacity
        self.held: dict[int, bytes] = {}
        self.fetching: dict[int, Fetch] = {}
        self.corrupt_count = 0  # bodies that did not add up
        self.distrusted_sources: set[tuple[int, int]] = set()  # member and digest

    def put(self, data: bytes) -> int:
        key = digest(data)
        self.held.pop(key, None)
        self.held[key] = data
        while len(self.held) > self.capacity:
            del self.held[next(iter(self.held))]
        self.fetching.pop(key, None)
        return key

    def read_piece(self, key: int, index: int) -> tuple[int, bytes] | None:
        """How many there are, and this one; None where the body is not held."""
        data = self.held.get(key)
        if data is None:
            return None
        parts = max(1, -(-len(data) // PIECE_BYTES))
        return (parts, data[index * PIECE_BYTES : (index + 1) * PIECE_BYTES]) if index < parts else None

    def fetch(self, key: int, source: int) -> None:
        """`first` is asked first: who made it known holds it."""
        if key and key not in self.held and key not in self.fetching:
            self.fetching[key] = Fetch(key, source=source)

    def due_requests(self, now: int, holders: Sequence[int]) -> list[tuple[int, int, int]]:
        """What to ask now: of whom, which digest, which piece."""
        found = []
        for fetch in self.fetching.values():
            if now - fetch.requested_at < RETRY_INTERVAL_US:
                continue
            able = holders
            if self.distrusted_sources:
                able = [n for n in holders if (n, fetch.digest) not in self.distrusted_sources]
            if fetch.progress_at < 0:
                fetch.progress_at = now
                if (
                    len(able) > MAX_PROPOSER_FETCHERS
                    and self.random.randrange(len(able)) >= MAX_PROPOSER_FETCHERS
                ):
                    fetch.source = -1
            # Who told no piece at all most likely doesn't hold it yet, and another one may by now.
            stuck = now - fetch.progress_at >= (
                4 * RETRY_INTERVAL_US if fetch.piece_count else RETRY_INTERVAL_US
            )
            if able and (fetch.source not in able or stuck):
                fetch.source = self.random.choice(able)
                fetch.progress_at = now
            if fetch.source not in able:
                continue
            fetch.requested_at = now
            missing = [part for part in range(fetch.piece_count or 1) if part not in fetch.pieces]
            found += [(fetch.source, fetch.digest, part) for part in missing[:REQUEST_WINDOW_PIECES]]
        return found

    def receive_piece(
        self, now: int, origin: int, key: int, index: int, piece_count: int, data: bytes
    ) -> bool:
        """A piece came; True once the body is whole."""
        fetch = self.fetching.get(key)
        if (
            fetch is None
            or not 0 < piece_count <= MAX_PIECES
            or index >= piece_count
            or len(data) > PIECE_BYTES
        ):
            return False
        if fetch.piece_count not in (0, piece_count):
            return False  # another length than told first: settled when it adds up or doesn't
        fetch.piece_count = piece_count
        fetch.pieces.setdefault(index, data)
        fetch.senders.add(origin)
        fetch.progress_at, fetch.requested_at = (
            now,
            fetch.requested_at if len(fetch.pieces) % REQUEST_WINDOW_PIECES else -RETRY_INTERVAL_US,
        )
        if len(fetch.pieces) < piece_count:
            return False
        whole = b"".join(fetch.pieces[place] for place in range(piece_count))
        if digest(whole) == key:
            self.put(whole)
            return True
        self.corrupt_count += 1
        if len(fetch.senders) == 1:  # nobody else can have spoilt it
            self.distrusted_sources.add((origin, key))
        only = self.random.choice(sorted(fetch.senders))
        self.fetching[key] = Fetch(key, source=only if len(fetch.senders) > 1 else -1, progress_at=now)
        return False
