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

from whintrail.fleet.state import Any, State, chained
from whintrail.fleet.wire import (
    MOST_BYTES,
    PIECE,
    Entry,
    Message,
    Note,
    Piece,
    Position,
    Pull,
    Told,
    size,
)

KEPT = 128  # entries that can be told again
MOST_PIECES = 256
ASK_US, GIVE_UP_US = 250_000, 3_000_000
WINDOW = 8  # pieces told at once


@dataclass(slots=True)
class Fetch:
    """A whole state on its way, of one peer at a time."""

    of: int
    state: Position
    chain: int
    parts: int
    since: int
    got: dict[int, bytes] = field(default_factory=dict)


Applied = Callable[[Entry, str], None]


class Replica:
    def __init__(self, random: Random, applied: Applied) -> None:
        """`applied` is called after each entry, with why it changed nothing, if so."""
        self.random, self.applied = random, applied
        self.state = State()
        self.position: Position = (0, 0, 0)
        self.chain = 0
        self.recent: deque[tuple[Entry, int]] = deque(maxlen=KEPT)  # with the digest before each
        self.out: list[tuple[int, Message]] = []
        self.fetch: Fetch | None = None
        self.asked_at: dict[int, int] = {}
        self.forks = 0  # peers that know another history under our position
        self.replaced = 0  # how often a whole state was taken over
        self._whole: tuple[Position, int, bytes] | None = None

    # --- What is decided.

    def apply(self, entry: Entry) -> None:
        """The next entry; one that is had already is passed over."""
        if entry.index != self.position[2] + 1:
            return
        self.recent.append((entry, self.chain))
        self.chain = chained(self.chain, entry.index, entry.command)
        self.position = (self.position[0], entry.term, entry.index)
        self.applied(entry, self.state.apply(entry.command))

    def renew(self, position: Position) -> None:
        """The state goes on in another epoch, as its beginning."""
        self.position = position
        self.recent.clear()

    # --- Telling.

    def told(self, leader: int, after: int) -> Told | None:
        """What was decided after an index, as far as it fits and is still kept."""
        entries: list[Entry] = []
        chain, room = 0, 0
        for entry, before in self.recent:
            if entry.index <= after:
                continue
            if not entries:
                if entry.index != after + 1:
                    return None
                chain = before
                room = MOST_BYTES - size(Told(self.position[0], after, chain, leader, ())) - 4
            room -= size(entry)
            if entries and room < 0:
                break
            entries.append(entry)
        return Told(self.position[0], after, chain, leader, tuple(entries)) if entries else None

    def asked(self, origin: int, leader: int, pull: Pull) -> None:
        if pull.state is not None:
            self._tell_piece(origin, pull.state, pull.part)
            return
        if pull.position >= self.position:
            return
        same = pull.position[0] == self.position[0]
        told = self.told(leader, pull.position[2]) if same else None
        if told is not None and told.chain == pull.chain:
            self.out.append((origin, told))
        else:
            for part in range(WINDOW):
                self._tell_piece(origin, None, part)

    def _tell_piece(self, origin: int, state: Position | None, part: int) -> None:
        """Of the state as it was when the first piece was told, for as long as it is asked for."""
        if self._whole is None or (state is None and self._whole[0] != self.position):
            self._whole = (self.position, self.chain, self.state.encode())
        position, chain, data = self._whole
        if state is not None and state != position:
            return  # asked for anew, it gets the one that is known now
        parts = max(1, -(-len(data) // PIECE))
        if part < parts <= MOST_PIECES:
            cut = data[part * PIECE : (part + 1) * PIECE]
            self.out.append((origin, Piece(position, chain, part, parts, cut)))

    # --- Learning.

    def noted(self, now: int, origin: int, note: Note) -> None:
        """How far a peer is: asked for more if it is further."""
        if note.position == self.position and note.chain != self.chain:
            self.forks += 1
        if note.position > self.position:
            self.pull(now, origin)

    def pull(self, now: int, origin: int) -> None:
        if now - self.asked_at.get(origin, -ASK_US) < ASK_US:
            return
        self.asked_at[origin] = now
        fetch = self.fetch
        if fetch is not None and now - fetch.since < GIVE_UP_US:
            if fetch.of == origin:
                missing = [part for part in range(fetch.parts) if part not in fetch.got]
                for part in missing[:WINDOW]:
                    self.out.append((origin, Pull(self.position, self.chain, fetch.state, part)))
                return
        self.fetch = None
        self.out.append((origin, Pull(self.position, self.chain, None, 0)))

    def take(self, now: int, origin: int, message: Told | Piece) -> None:
        if isinstance(message, Piece):
            self._piece(now, origin, message)
            return
        if message.epoch != self.position[0]:
            if message.epoch > self.position[0]:
                self.pull(now, origin)
            return
        if message.before > self.position[2]:
            self.pull(now, origin)
            return
        chain = message.chain
        for entry in message.entries:  # what we have of them has to be the same
            if entry.index == self.position[2] + 1:
                if chain != self.chain:
                    self.forks += 1
                    return
                self.apply(entry)
            chain = chained(chain, entry.index, entry.command)

    def _piece(self, now: int, origin: int, piece: Piece) -> None:
        if piece.state <= self.position:
            return
        fetch = self.fetch
        other = fetch is not None and (fetch.of, fetch.state) != (origin, piece.state)
        if other and fetch is not None and now - fetch.since < GIVE_UP_US and fetch.of != origin:
            return  # one at a time
        if fetch is None or other:
            fetch = self.fetch = Fetch(origin, piece.state, piece.chain, piece.parts, now)
        if piece.parts != fetch.parts or piece.part >= fetch.parts:
            return
        fetch.got[piece.part] = piece.data
        if len(fetch.got) < fetch.parts:
            if len(fetch.got) % WINDOW == 0:
                self.asked_at.pop(origin, None)
                self.pull(now, origin)
            return
        self.fetch = None
        data = b"".join(fetch.got[part] for part in range(fetch.parts))
        try:
            state = State.decode(data)
        except msgspec.MsgspecError:
            return
        self.state, self.position, self.chain = state, fetch.state, fetch.chain
        self.recent.clear()
        self.replaced += 1

    def expect(self, command: Any) -> str:
        """Why the command would change nothing now; empty if it would."""
        return State.decode(self.state.encode()).apply(command)
