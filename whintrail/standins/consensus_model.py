"""Explicit-state model checker of the consensus core: the real cores, without clock or network.

It starts from a small group of voters with a leader. Any datagram in flight may be delivered next or never,
any voter may start an election, restart without state, or receive a proposal, each up to a budget. Invariants
that hold in every state: at most one leader a term, and one committed command an index.
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

# No timer fires by itself: the checker triggers each event.
FROZEN = ConsensusTiming(
    heartbeat_us=0, election_timeout_us=0, election_jitter_us=1, recovery_interval_us=0, quarantine_us=1 << 60
)


class UniqueDraws(Random):
    """A deterministic random source whose draws are all different."""

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
    """How often each event may still happen on one path."""

    elections: int = 2
    restarts: int = 1  # of a voter, with the loss of its state
    proposals: int = 1
    recovery_retries: int = 1  # of a recovering voter
    step_downs: int = 0  # of a leader that takes itself for partitioned


Datagram = tuple[int, int, int, Message]  # sender, its boot id, receiver, message
StateKey = tuple[object, ...]


class DatagramTable:
    """Numbers every datagram ever sent: states hold numbers, which hash quickly."""

    def __init__(self) -> None:
        self.numbers_by_datagram: dict[Datagram, int] = {}
        self.datagrams: list[Datagram] = []

    def intern(self, datagram: Datagram) -> int:
        """Return the number of a datagram, the same for equal ones."""
        number = self.numbers_by_datagram.get(datagram)
        if number is None:
            number = self.numbers_by_datagram[datagram] = len(self.datagrams)
            self.datagrams.append(datagram)
        return number


def member_key(consensus: Consensus) -> StateKey:
    """Return a key that is equal for voters with the same future behaviour."""
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
    """One state of the model: the voters, the datagrams in flight, and everything ever committed."""

    def __init__(self, count: int, consensus_type: type[Consensus] = Consensus) -> None:
        self.count = count
        self.consensus_type = consensus_type
        self.last_boot_id = 0
        self.random = UniqueDraws()
        self.datagram_table = DatagramTable()
        self.committed: dict[tuple[int, int], Entry] = {}  # by epoch and index
        self.leaders: dict[tuple[int, int], tuple[int, int]] = {}  # number and boot id by epoch and term
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
        voters = tuple(range(self.count))
        consensus = self.consensus_type(
            number,
            voters,
            0,
            self.random,
            lambda entry: None,
            lambda position: None,
            lambda: (0, 0, 0),
            self.last_boot_id,
            FROZEN,
        )
        self._attach_callbacks(number, consensus)
        return consensus

    def _attach_callbacks(self, number: int, consensus: Consensus) -> None:
        consensus.random = self.random
        consensus.on_commit = lambda entry: self._record_commit(number, consensus, entry)
        consensus.known_position = lambda: self.positions[number]

    def _record_commit(self, number: int, consensus: Consensus, entry: Entry) -> None:
        self.positions[number] = (consensus.epoch, entry.term, entry.index)
        earlier = self.committed.setdefault((consensus.epoch, entry.index), entry)
        if earlier != entry:
            self.violation = f"index {entry.index}: {earlier} and {entry}"

    def clone_for_step(self, number: int) -> "ClusterState":
        """Return a copy in which one voter may change; the other voters are shared and must not change."""
        clone = copy(self)
        clone.random = UniqueDraws()
        clone.random.draws_taken = self.random.draws_taken
        clone.committed, clone.leaders = dict(self.committed), dict(self.leaders)
        clone.positions, clone.member_keys = list(self.positions), list(self.member_keys)
        clone.members = list(self.members)
        consensus = self.members[number]
        changing = copy(consensus)
        changing.log, changing.outbox = consensus.log.clone(), []
        for name in (
            "recovery_replies",
            "peer_status",
            "epoch_replies",
            "match_index",
            "next_index",
            "acked_at",
            "boot_ids",
            "boot_id_views",
        ):
            setattr(changing, name, dict(getattr(consensus, name)))
        changing.votes = set(consensus.votes)
        clone._attach_callbacks(number, changing)
        clone.members[number] = changing
        return clone

    def key(self) -> StateKey:
        """Return a key that is equal for states with the same successors."""
        return tuple(self.member_keys), self.in_flight, tuple(sorted(self.committed)), tuple(self.positions)

    # --- Transitions.

    def finish_step(self, number: int, drop_obsolete: bool) -> None:
        """Complete a step of one voter: send its outbox, install its snapshot and check the leaders.

        `drop_obsolete` removes datagrams that no longer have an effect; only valid once no voter may restart.
        """
        consensus = self.members[number]
        sent = {
            self.datagram_table.intern((number, consensus.boot_id, target, message))
            for target, message in consensus.outbox
        }
        consensus.outbox.clear()
        source = consensus.snapshot_source
        if source is not None and source >= 0:
            # The full state, in one piece and at once: committed entries have a single history.
            self.positions[number] = max(self.positions[number], self.positions[source])
            consensus.install_snapshot(self.positions[number])
        self.member_keys[number] = member_key(consensus)
        self.in_flight |= sent
        if consensus.role is Role.LEADER:
            leader = (number, consensus.boot_id)
            if self.leaders.setdefault((consensus.epoch, consensus.term), leader) != leader:
                self.violation = f"two leaders in term {consensus.term}"
        if drop_obsolete:
            self.in_flight = frozenset(
                datagram
                for datagram in self.in_flight
                if not self._is_obsolete(self.datagram_table.datagrams[datagram])
            )

    def _is_obsolete(self, datagram: Datagram) -> bool:
        """Whether the datagram has no effect now or later, given that its receiver never restarts."""
        _, _, target, message = datagram
        consensus = self.members[target]
        if consensus.role is Role.RECOVERING:
            return isinstance(message, VoteReply | AppendReply)
        match message:
            case VoteRequest(_, term) | AppendEntries(_, term):
                return term < consensus.term
            case VoteReply(_, term, ballot):
                is_current = consensus.role is Role.CANDIDATE and ballot == consensus.ballot
                return not is_current and term <= consensus.term
            case AppendReply(_, term):
                return term < consensus.term or (term == consensus.term and consensus.role is not Role.LEADER)
            case RecoveryReply():
                return True
        return False

    def deliver(self, datagram_number: int) -> "ClusterState":
        """Return the state after the delivery of one datagram in flight."""
        origin, boot_id, target, message = self.datagram_table.datagrams[datagram_number]
        successor = self.clone_for_step(target)
        successor.in_flight = self.in_flight - {datagram_number}
        consensus = successor.members[target]
        if consensus.boot_ids.get(origin, 0) <= boot_id:  # as membership rejects earlier processes
            consensus.receive(0, origin, boot_id, message)
        return successor

    def successors(self, budget: Budget) -> Iterator[tuple["ClusterState", int, Budget]]:
        """Yield each possible next state, the voter that acted, and the remaining budget."""
        for datagram in self.in_flight:
            yield self.deliver(datagram), self.datagram_table.datagrams[datagram][2], budget
        for number, consensus in enumerate(self.members):
            if budget.elections and consensus.role in (Role.FOLLOWER, Role.CANDIDATE):
                successor = self.clone_for_step(number)
                successor.members[number].campaign(0, is_prevote=False)
                yield successor, number, replace(budget, elections=budget.elections - 1)
            if budget.restarts:
                successor = self.clone_for_step(number)
                successor.positions[number] = (0, 0, 0)
                successor.members[number] = successor._new_member(number)
                successor.members[number].tick(0)
                yield successor, number, replace(budget, restarts=budget.restarts - 1)
            if budget.step_downs and consensus.role is Role.LEADER:
                successor = self.clone_for_step(number)
                successor.members[number]._become_follower(0, consensus.term, -1)
                yield successor, number, replace(budget, step_downs=budget.step_downs - 1)
            if budget.proposals and consensus.role is Role.LEADER:
                successor = self.clone_for_step(number)
                successor.members[number].propose(0, FreeSlot(number, budget.proposals, ""))
                yield successor, number, replace(budget, proposals=budget.proposals - 1)
            if budget.recovery_retries and consensus.role is Role.RECOVERING:
                successor = self.clone_for_step(number)
                successor.members[number].tick(0)
                yield successor, number, replace(budget, recovery_retries=budget.recovery_retries - 1)


def stable_cluster(count: int, consensus_type: type[Consensus] = Consensus) -> ClusterState:
    """Return a cluster in its first term: a leader, all voters in step, nothing in flight."""
    state = ClusterState(count, consensus_type)
    for consensus in state.members:
        for other in state.members:
            consensus.boot_ids[other.local_number] = other.boot_id
        consensus.epoch = 1 << 32
        consensus.log.snapshot_position = (1 << 32, 0, 0)
        consensus.role = Role.FOLLOWER
        consensus.term, consensus.leader, consensus.voted_for = 1, 0, (0, 0)
    state.positions = [(1 << 32, 0, 0)] * count
    state.members[0]._become_leader(0)
    state.finish_step(0, False)
    for heartbeat in range(3):
        if heartbeat:
            state.members[0]._send_heartbeats(0)
            state.finish_step(0, False)
        while state.in_flight:
            datagram = min(state.in_flight)
            successor = state.deliver(datagram)
            successor.finish_step(state.datagram_table.datagrams[datagram][2], False)
            state = successor
    assert all(c.log.commit_index == 1 and isinstance(c.log.entries[0].command, Noop) for c in state.members)
    state.last_boot_id = count
    return state


@dataclass(slots=True)
class ExplorationResult:
    """The outcome of a search through the reachable states."""

    states: int
    complete: bool  # whether every reachable state was seen
    violation: str  # the first violated invariant


def explore(
    start: ClusterState, budget: Budget, max_states: int, depth_first: bool = False
) -> ExplorationResult:
    """Visit every reachable state, up to `max_states`; breadth first by default."""
    seen = {(start.key(), budget)}
    frontier = deque([(start, budget)])
    while frontier:
        state, remaining = frontier.pop() if depth_first else frontier.popleft()
        for successor, number, rest in state.successors(remaining):
            successor.finish_step(number, not rest.restarts)
            if successor.violation:
                return ExplorationResult(len(seen), False, successor.violation)
            key = (successor.key(), rest)
            if key not in seen:
                if len(seen) >= max_states:
                    return ExplorationResult(len(seen), False, "")
                seen.add(key)
                frontier.append((successor, rest))
    return ExplorationResult(len(seen), True, "")
