"""Bodies by digest, in pieces that fit a datagram. Pure.

Any holder may tell a piece; each is asked for again until it comes. What doesn't add up to its digest is
thrown away whole and fetched from another.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from whintrail.versions.body import MOST_BYTES, digest

PIECE = 176
MOST_PIECES = -(-MOST_BYTES // PIECE)
WINDOW, ASK_US = 24, 150_000
FIRST = 256  # so many of the fleet ask the proposer at once, the others one another


@dataclass(slots=True)
class Fetch:
    digest: int
    parts: int = 0  # 0: not told yet
    of: int = -1  # who is asked
    got: dict[int, bytes] = field(default_factory=dict)
    told_by: set[int] = field(default_factory=set)  # of which members the pieces are
    asked_at: int = -ASK_US
    moved_at: int = -1  # nobody was asked yet


class Parts:
    """The bodies that this gateway holds, by digest, and those on their way. `keep` is how many at most."""

    def __init__(self, random: Random, keep: int = 24) -> None:
        self.random, self.keep = random, keep
        self.held: dict[int, bytes] = {}
        self.fetching: dict[int, Fetch] = {}
        self.spoilt = 0  # bodies that did not add up
        self.distrusted: set[tuple[int, int]] = set()  # member and digest

    def put(self, data: bytes) -> int:
        key = digest(data)
        self.held.pop(key, None)
        self.held[key] = data
        while len(self.held) > self.keep:
            del self.held[next(iter(self.held))]
        self.fetching.pop(key, None)
        return key

    def piece(self, key: int, part: int) -> tuple[int, bytes] | None:
        """How many there are, and this one; None where the body is not held."""
        data = self.held.get(key)
        if data is None:
            return None
        parts = max(1, -(-len(data) // PIECE))
        return (parts, data[part * PIECE : (part + 1) * PIECE]) if part < parts else None

    def want(self, key: int, first: int) -> None:
        """`first` is asked first: who made it known holds it."""
        if key and key not in self.held and key not in self.fetching:
            self.fetching[key] = Fetch(key, of=first)

    def due(self, now: int, holders: Sequence[int]) -> list[tuple[int, int, int]]:
        """What to ask now: of whom, which digest, which piece."""
        found = []
        for fetch in self.fetching.values():
            if now - fetch.asked_at < ASK_US:
                continue
            able = holders
            if self.distrusted:
                able = [n for n in holders if (n, fetch.digest) not in self.distrusted]
            if fetch.moved_at < 0:
                fetch.moved_at = now
                if len(able) > FIRST and self.random.randrange(len(able)) >= FIRST:
                    fetch.of = -1
            # Who told no piece at all most likely doesn't hold it yet, and another one may by now.
            stuck = now - fetch.moved_at >= (4 * ASK_US if fetch.parts else ASK_US)
            if able and (fetch.of not in able or stuck):
                fetch.of = self.random.choice(able)
                fetch.moved_at = now
            if fetch.of not in able:
                continue
            fetch.asked_at = now
            missing = [part for part in range(fetch.parts or 1) if part not in fetch.got]
            found += [(fetch.of, fetch.digest, part) for part in missing[:WINDOW]]
        return found

    def take(self, now: int, origin: int, key: int, part: int, parts: int, data: bytes) -> bool:
        """A piece came; True once the body is whole."""
        fetch = self.fetching.get(key)
        if fetch is None or not 0 < parts <= MOST_PIECES or part >= parts or len(data) > PIECE:
            return False
        if fetch.parts not in (0, parts):
            return False  # another length than told first: settled when it adds up or doesn't
        fetch.parts = parts
        fetch.got.setdefault(part, data)
        fetch.told_by.add(origin)
        fetch.moved_at, fetch.asked_at = now, fetch.asked_at if len(fetch.got) % WINDOW else -ASK_US
        if len(fetch.got) < parts:
            return False
        whole = b"".join(fetch.got[place] for place in range(parts))
        if digest(whole) == key:
            self.put(whole)
            return True
        self.spoilt += 1
        if len(fetch.told_by) == 1:  # nobody else can have spoilt it
            self.distrusted.add((origin, key))
        only = self.random.choice(sorted(fetch.told_by))
        self.fetching[key] = Fetch(key, of=only if len(fetch.told_by) > 1 else -1, moved_at=now)
        return False
