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


class UniqueDraws(Random):
    """No chance: each draw is new."""

    def __init__(self) -> None:
        super().__init__(0)
        self.draws_taken = 0

    def getrandbits(self, k: int) -> int:
        self.draws_taken += 1
        return self.draws_taken

    def randrange(self, *_: object) -> int:
        return 0


@dataclass(frozen=True, slots=True)
class Budget:
    """How often each may happen on one path."""

    elections: int = 2
    restarts: int = 1
    proposals: int = 1
    recovery_retries: int = 1  # a recovering member asks again
    step_downs: int = 0  # a leader takes itself for cut off


Datagram = tuple[int, int, int, Message]  # from, its birth, to, what
StateKey = tuple[object, ...]


class DatagramTable:
    """Every letter ever sent, by a number: states hold numbers, which hash quickly."""

    def __init__(self) -> None:
        self.numbers_by_datagram: dict[Datagram, int] = {}
        self.datagrams: list[Datagram] = []

    def intern(self, datagram: Datagram) -> int:
        found = self.numbers_by_datagram.get(datagram)
        if found is None:
            found = self.numbers_by_datagram[datagram] = len(self.datagrams)
            self.datagrams.append(datagram)
        return found


def member_key(consensus: Consensus) -> StateKey:
    """Equal for members that will do the same."""
    return (
        consensus.boot_id,
        consensus.role,
        consensus.epoch,
        consensus.term,
        consensus.leader,
        consensus.voted_for,
        consensus.log.snapshot_position,
        tuple(consensus.log.entries),
        consensus.log.commit_index,
        consensus.nonce,
        tuple(sorted(consensus.recovery_replies.items())),
        consensus.recovery_target,
        consensus.ballot,
        tuple(sorted(consensus.votes)),
        tuple(sorted(consensus.match_index.items())),
        tuple(sorted(consensus.next_index.items())),
        tuple(sorted(consensus.boot_ids.items())),
        tuple(sorted(consensus.boot_id_views.items())),
        consensus.snapshot_peer,
        consensus.rejected_index,
    )


class ClusterState:
    """A state of all: the members, what is on its way, and what was ever decided."""

    def __init__(self, count: int, consensus_type: type[Consensus] = Consensus) -> None:
        self.count, self.consensus_type, self.last_boot_id = count, consensus_type, 0
        self.random, self.datagram_table = UniqueDraws(), DatagramTable()
        self.committed: dict[tuple[int, int], Entry] = {}  # by epoch and index
        self.leaders: dict[tuple[int, int], tuple[int, int]] = {}  # by epoch and term: number and birth
        self.in_flight: frozenset[int] = frozenset()
        self.violation = ""
        self.members: list[Consensus] = []
        self.member_keys: list[StateKey] = []
        self.positions: list[Position] = [(0, 0, 0)] * count
        for number in range(count):
            self.members.append(self._new_member(number))
            self.member_keys.append(member_key(self.members[number]))

    def _new_member(self, number: int) -> Consensus:
        self.last_boot_id += 1
        members = tuple(range(self.count))
        council = self.consensus_type(
            number,
            members,
            0,
            self.random,
            lambda entry: None,
            lambda position: None,
            lambda: (0, 0, 0),
            self.last_boot_id,
            FROZEN,
        )
        self._attach_callbacks(number, council)
        return council

    def _attach_callbacks(self, number: int, consensus: Consensus) -> None:
        consensus.random = self.random
        consensus.on_commit = lambda entry: self._record_commit(number, consensus, entry)
        consensus.known_position = lambda: self.positions[number]

    def _record_commit(self, number: int, consensus: Consensus, entry: Entry) -> None:
        self.positions[number] = (consensus.epoch, entry.term, entry.index)
        before = self.committed.setdefault((consensus.epoch, entry.index), entry)
        if before != entry:
            self.violation = f"index {entry.index}: {before} and {entry}"

    def clone_for_step(self, number: int) -> "ClusterState":
        """The same, with a member that may change; the others are shared and stay as they are."""
        other = copy(self)
        other.random = UniqueDraws()
        other.random.draws_taken = self.random.draws_taken
        other.committed, other.leaders = dict(self.committed), dict(self.leaders)
        other.positions, other.member_keys = list(self.positions), list(self.member_keys)
        other.members = list(self.members)
        council = self.members[number]
        twin = copy(council)
        twin.log, twin.outbox = council.log.clone(), []
        for name in ("told", "heard", "agreed", "match", "next", "acked_at", "births", "views"):
            setattr(twin, name, dict(getattr(council, name)))
        twin.votes = set(council.votes)
        other._attach_callbacks(number, twin)
        other.members[number] = twin
        return other

    def key(self) -> StateKey:
        """Equal for states from which the same can happen."""
        return tuple(self.member_keys), self.in_flight, tuple(sorted(self.committed)), tuple(self.positions)

    # --- What can happen.

    def finish_step(self, number: int, drop_obsolete: bool) -> None:
        """After a member did something: put what it says on the way, and look at who leads. What changes
        nothing any more, where nobody may forget, is taken off it."""
        council = self.members[number]
        fresh = {
            self.datagram_table.intern((number, council.boot_id, target, said))
            for target, said in council.outbox
        }
        council.outbox.clear()
        wanted = council.snapshot_source
        if wanted is not None and wanted >= 0:
            # The whole state, in one piece and at once: of decided entries there is one history.
            self.positions[number] = max(self.positions[number], self.positions[wanted])
            council.install_snapshot(self.positions[number])
        self.member_keys[number] = member_key(council)
        self.in_flight |= fresh
        if council.role is Role.LEADER:
            who = (number, council.boot_id)
            if self.leaders.setdefault((council.epoch, council.term), who) != who:
                self.violation = f"two lead term {council.term}"
        if drop_obsolete:
            self.in_flight = frozenset(
                mail for mail in self.in_flight if not self._is_obsolete(self.datagram_table.datagrams[mail])
            )

    def _is_obsolete(self, datagram: Datagram) -> bool:
        """It changes nothing now or later: its receiver is past it, and forgets no more."""
        _, _, target, message = datagram
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

    def deliver(self, datagram_number: int) -> "ClusterState":
        origin, boot_id, target, message = self.datagram_table.datagrams[datagram_number]
        then = self.clone_for_step(target)
        then.in_flight = self.in_flight - {datagram_number}
        council = then.members[target]
        if council.boot_ids.get(origin, 0) <= boot_id:  # as membership keeps out earlier processes
            council.receive(0, origin, boot_id, message)
        return then

    def successors(self, budget: Budget) -> Iterator[tuple["ClusterState", int, Budget]]:
        """What may come next, who did it, and what is left of the budget."""
        for mail in self.in_flight:
            yield self.deliver(mail), self.datagram_table.datagrams[mail][2], budget
        for number, council in enumerate(self.members):
            if budget.elections and council.role in (Role.FOLLOWER, Role.CANDIDATE):
                then = self.clone_for_step(number)
                then.members[number].campaign(0, is_prevote=False)
                yield then, number, replace(budget, elections=budget.elections - 1)
            if budget.restarts:
                then = self.clone_for_step(number)
                then.positions[number] = (0, 0, 0)
                then.members[number] = then._new_member(number)
                then.members[number].tick(0)
                yield then, number, replace(budget, restarts=budget.restarts - 1)
            if budget.step_downs and council.role is Role.LEADER:
                then = self.clone_for_step(number)
                then.members[number]._become_follower(0, council.term, -1)
                yield then, number, replace(budget, step_downs=budget.step_downs - 1)
            if budget.proposals and council.role is Role.LEADER:
                then = self.clone_for_step(number)
                then.members[number].propose(0, FreeSlot(number, budget.proposals, ""))
                yield then, number, replace(budget, proposals=budget.proposals - 1)
            if budget.recovery_retries and council.role is Role.RECOVERING:
                then = self.clone_for_step(number)
                then.members[number].tick(0)
                yield then, number, replace(budget, recovery_retries=budget.recovery_retries - 1)


def stable_cluster(count: int, consensus_type: type[Consensus] = Consensus) -> ClusterState:
    """A council in its first term, all of it in step, nothing on its way."""
    table = ClusterState(count, consensus_type)
    for council in table.members:
        for other in table.members:
            council.boot_ids[other.local_number] = other.boot_id
        council.epoch, council.log.snapshot_position, council.role = 1 << 32, (1 << 32, 0, 0), Role.FOLLOWER
        council.term, council.leader, council.voted_for = 1, 0, (0, 0)
    table.positions = [(1 << 32, 0, 0)] * count
    table.members[0]._become_leader(0)
    table.finish_step(0, False)
    for beat in range(3):
        if beat:
            table.members[0]._send_heartbeats(0)
            table.finish_step(0, False)
        while table.in_flight:
            mail = min(table.in_flight)
            then = table.deliver(mail)
            then.finish_step(table.datagram_table.datagrams[mail][2], False)
            table = then
    assert all(c.log.commit_index == 1 and isinstance(c.log.entries[0].command, Noop) for c in table.members)
    table.last_boot_id = count
    return table


@dataclass(slots=True)
class ExplorationResult:
    states: int
    complete: bool
    violation: str  # the first thing that did not hold


def explore(
    start: ClusterState, budget: Budget, max_states: int, depth_first: bool = False
) -> ExplorationResult:
    """Every state that can be reached, up to so many; breadth first, or depth first."""
    seen = {(start.key(), budget)}
    line = deque([(start, budget)])
    while line:
        here, left = line.pop() if depth_first else line.popleft()
        for then, number, rest in here.successors(left):
            then.finish_step(number, not rest.restarts)
            if then.violation:
                return ExplorationResult(len(seen), False, then.violation)
            key = (then.key(), rest)
            if key not in seen:
                if len(seen) >= max_states:
                    return ExplorationResult(len(seen), False, "")
                seen.add(key)
                line.append((then, rest))
    return ExplorationResult(len(seen), True, "")
