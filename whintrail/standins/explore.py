"""Looks through every order of events of a small council: the real cores, no clock, no network.

From a council with a leader, any datagram on its way may come next or never, any member may ask for votes,
forget everything or be asked for a change, each so many times. What must hold in every state: one leader a
term, and one command under an index, for all who ever call it decided.
"""

from collections import deque
from collections.abc import Iterator
from copy import copy
from dataclasses import dataclass, replace
from random import Random

from whintrail.fleet.consensus import Consensus, ConsensusTiming, Role
from whintrail.fleet.state import FreeSlot, Noop
from whintrail.fleet.wire import (
    AppendEntries,
    AppendReply,
    Entry,
    Message,
    Position,
    RecoveryReply,
    VoteReply,
    VoteRequest,
)

FROZEN = ConsensusTiming(
    heartbeat_us=0, election_timeout_us=0, election_jitter_us=1, recovery_interval_us=0, quarantine_us=1 << 60
)


class Draws(Random):
    """No chance: each draw is new."""

    def __init__(self) -> None:
        super().__init__(0)
        self.count = 0

    def getrandbits(self, k: int) -> int:
        self.count += 1
        return self.count

    def randrange(self, *_: object) -> int:
        return 0


@dataclass(frozen=True, slots=True)
class Budget:
    """How often each may happen on one path."""

    votes: int = 2
    forgets: int = 1
    changes: int = 1
    asks: int = 1  # a recovering member asks again
    doubts: int = 0  # a leader takes itself for cut off


Mail = tuple[int, int, int, Message]  # from, its birth, to, what
Key = tuple[object, ...]


class Post:
    """Every letter ever sent, by a number: states hold numbers, which hash quickly."""

    def __init__(self) -> None:
        self.numbers: dict[Mail, int] = {}
        self.letters: list[Mail] = []

    def number(self, mail: Mail) -> int:
        found = self.numbers.get(mail)
        if found is None:
            found = self.numbers[mail] = len(self.letters)
            self.letters.append(mail)
        return found


def council_key(c: Consensus) -> Key:
    """Equal for members that will do the same."""
    return (
        c.boot_id,
        c.role,
        c.epoch,
        c.term,
        c.leader,
        c.voted_for,
        c.log.snapshot_position,
        tuple(c.log.entries),
        c.log.commit_index,
        c.nonce,
        tuple(sorted(c.recovery_replies.items())),
        c.recovery_target,
        c.ballot,
        tuple(sorted(c.votes)),
        tuple(sorted(c.match_index.items())),
        tuple(sorted(c.next_index.items())),
        tuple(sorted(c.boot_ids.items())),
        tuple(sorted(c.boot_id_views.items())),
        c.snapshot_peer,
        c.rejected_index,
    )


class Table:
    """A state of all: the members, what is on its way, and what was ever decided."""

    def __init__(self, count: int, kind: type[Consensus] = Consensus) -> None:
        self.count, self.kind, self.births = count, kind, 0
        self.draws, self.post = Draws(), Post()
        self.decided: dict[tuple[int, int], Entry] = {}  # by epoch and index
        self.leaders: dict[tuple[int, int], tuple[int, int]] = {}  # by epoch and term: number and birth
        self.mail: frozenset[int] = frozenset()
        self.wrong = ""
        self.members: list[Consensus] = []
        self.keys: list[Key] = []
        self.heights: list[Position] = [(0, 0, 0)] * count
        for number in range(count):
            self.members.append(self._new(number))
            self.keys.append(council_key(self.members[number]))

    def _new(self, number: int) -> Consensus:
        self.births += 1
        members = tuple(range(self.count))
        council = self.kind(
            number,
            members,
            0,
            self.draws,
            lambda entry: None,
            lambda position: None,
            lambda: (0, 0, 0),
            self.births,
            FROZEN,
        )
        self._wire(number, council)
        return council

    def _wire(self, number: int, council: Consensus) -> None:
        council.random = self.draws
        council.on_commit = lambda entry: self._decide(number, council, entry)
        council.known_position = lambda: self.heights[number]

    def _decide(self, number: int, council: Consensus, entry: Entry) -> None:
        self.heights[number] = (council.epoch, entry.term, entry.index)
        before = self.decided.setdefault((council.epoch, entry.index), entry)
        if before != entry:
            self.wrong = f"index {entry.index}: {before} and {entry}"

    def clone(self, number: int) -> "Table":
        """The same, with a member that may change; the others are shared and stay as they are."""
        other = copy(self)
        other.draws = Draws()
        other.draws.count = self.draws.count
        other.decided, other.leaders = dict(self.decided), dict(self.leaders)
        other.heights, other.keys = list(self.heights), list(self.keys)
        other.members = list(self.members)
        council = self.members[number]
        twin = copy(council)
        twin.log, twin.outbox = council.log.clone(), []
        for name in ("told", "heard", "agreed", "match", "next", "acked_at", "births", "views"):
            setattr(twin, name, dict(getattr(council, name)))
        twin.votes = set(council.votes)
        other._wire(number, twin)
        other.members[number] = twin
        return other

    def key(self) -> Key:
        """Equal for states from which the same can happen."""
        return tuple(self.keys), self.mail, tuple(sorted(self.decided)), tuple(self.heights)

    # --- What can happen.

    def settle(self, number: int, prune: bool) -> None:
        """After a member did something: put what it says on the way, and look at who leads. What changes
        nothing any more, where nobody may forget, is taken off it."""
        council = self.members[number]
        fresh = {self.post.number((number, council.boot_id, target, said)) for target, said in council.outbox}
        council.outbox.clear()
        wanted = council.snapshot_source
        if wanted is not None and wanted >= 0:
            # The whole state, in one piece and at once: of decided entries there is one history.
            self.heights[number] = max(self.heights[number], self.heights[wanted])
            council.install_snapshot(self.heights[number])
        self.keys[number] = council_key(council)
        self.mail |= fresh
        if council.role is Role.LEADER:
            who = (number, council.boot_id)
            if self.leaders.setdefault((council.epoch, council.term), who) != who:
                self.wrong = f"two lead term {council.term}"
        if prune:
            self.mail = frozenset(mail for mail in self.mail if not self._stale(self.post.letters[mail]))

    def _stale(self, mail: Mail) -> bool:
        """It changes nothing now or later: its receiver is past it, and forgets no more."""
        _, _, target, message = mail
        council = self.members[target]
        if council.role is Role.RECOVERING:
            return isinstance(message, VoteReply | AppendReply)
        match message:
            case VoteRequest(_, term) | AppendEntries(_, term):
                return term < council.term
            case VoteReply(_, term, ballot):
                ours = council.role is Role.CANDIDATE and ballot == council.ballot
                return not ours and term <= council.term
            case AppendReply(_, term):
                return term < council.term or (term == council.term and council.role is not Role.LEADER)
            case RecoveryReply():
                return True
        return False

    def deliver(self, number: int) -> "Table":
        origin, boot_id, target, message = self.post.letters[number]
        then = self.clone(target)
        then.mail = self.mail - {number}
        council = then.members[target]
        if council.boot_ids.get(origin, 0) <= boot_id:  # as membership keeps out earlier processes
            council.receive(0, origin, boot_id, message)
        return then

    def moves(self, budget: Budget) -> Iterator[tuple["Table", int, Budget]]:
        """What may come next, who did it, and what is left of the budget."""
        for mail in self.mail:
            yield self.deliver(mail), self.post.letters[mail][2], budget
        for number, council in enumerate(self.members):
            if budget.votes and council.role in (Role.FOLLOWER, Role.CANDIDATE):
                then = self.clone(number)
                then.members[number].campaign(0, is_prevote=False)
                yield then, number, replace(budget, votes=budget.votes - 1)
            if budget.forgets:
                then = self.clone(number)
                then.heights[number] = (0, 0, 0)
                then.members[number] = then._new(number)
                then.members[number].tick(0)
                yield then, number, replace(budget, forgets=budget.forgets - 1)
            if budget.doubts and council.role is Role.LEADER:
                then = self.clone(number)
                then.members[number]._become_follower(0, council.term, -1)
                yield then, number, replace(budget, doubts=budget.doubts - 1)
            if budget.changes and council.role is Role.LEADER:
                then = self.clone(number)
                then.members[number].propose(0, FreeSlot(number, budget.changes, ""))
                yield then, number, replace(budget, changes=budget.changes - 1)
            if budget.asks and council.role is Role.RECOVERING:
                then = self.clone(number)
                then.members[number].tick(0)
                yield then, number, replace(budget, asks=budget.asks - 1)


def settled(count: int, kind: type[Consensus] = Consensus) -> Table:
    """A council in its first term, all of it in step, nothing on its way."""
    table = Table(count, kind)
    for council in table.members:
        for other in table.members:
            council.boot_ids[other.local_number] = other.boot_id
        council.epoch, council.log.snapshot_position, council.role = 1 << 32, (1 << 32, 0, 0), Role.FOLLOWER
        council.term, council.leader, council.voted_for = 1, 0, (0, 0)
    table.heights = [(1 << 32, 0, 0)] * count
    table.members[0]._become_leader(0)
    table.settle(0, False)
    for beat in range(3):
        if beat:
            table.members[0]._send_heartbeats(0)
            table.settle(0, False)
        while table.mail:
            mail = min(table.mail)
            then = table.deliver(mail)
            then.settle(table.post.letters[mail][2], False)
            table = then
    assert all(c.log.commit_index == 1 and isinstance(c.log.entries[0].command, Noop) for c in table.members)
    table.births = count
    return table


@dataclass(slots=True)
class Looked:
    states: int
    complete: bool
    wrong: str  # the first thing that did not hold


def explore(table: Table, budget: Budget, most: int, deep: bool = False) -> Looked:
    """Every state that can be reached, up to so many; breadth first, or depth first."""
    seen = {(table.key(), budget)}
    line = deque([(table, budget)])
    while line:
        here, left = line.pop() if deep else line.popleft()
        for then, number, rest in here.moves(left):
            then.settle(number, not rest.forgets)
            if then.wrong:
                return Looked(len(seen), False, then.wrong)
            key = (then.key(), rest)
            if key not in seen:
                if len(seen) >= most:
                    return Looked(len(seen), False, "")
                seen.add(key)
                line.append((then, rest))
    return Looked(len(seen), True, "")
