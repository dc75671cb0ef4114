"""Consensus of a few voters on one order of commands, without I/O.

Log replication, elections with prevote and the leader lease follow Raft. Voters keep nothing on disk, so a
vote or an entry may be lost with the process that gave it; three rules keep that safe:

- A voter that starts is *recovering*, as in Viewstamped Replication (Liskov, Cowling: "Viewstamped
  Replication Revisited", 2012, section 4.3). It neither votes nor counts towards a quorum until a quorum,
  including the leader of the latest term, has answered the nonce of this start, and until it holds every
  entry that the leader held when it answered.
- Each candidacy has a random ballot, and messages from an earlier process of a voter are ignored.
- While too many voters are recovering at once, no quorum can answer. Then *all* voters have to accept a new
  epoch, each after `quarantine_us` without a leader; the one with the longest history leads it.

Times are monotonic microseconds passed in by the caller. Safety of the log doesn't depend on them; only the
leader lease does.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random

from whintrail.fleet.log import Log
from whintrail.fleet.state import AnyCommand, Noop
from whintrail.fleet.wire import (
    AppendEntries,
    AppendReply,
    Entry,
    EpochProposal,
    EpochReply,
    LeadEpoch,
    Message,
    Position,
    RecoveryReply,
    RecoveryRequest,
    VoteReply,
    VoteRequest,
    datagram_size,
)

NONCE_BITS = 31
MAX_U32 = 0xFFFFFFFF
ARRAY_HEADER_BYTES = 4  # that the list of entries may need in addition
MAX_REPLY_AGE_MS = 60_000  # an older reply confirms nothing


class Role(Enum):
    """The role of a voter: those of Raft, and recovery after a start."""

    RECOVERING = "recovering"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class ConsensusTiming:
    """Timeouts of the protocol, and how many committed entries the log retains."""

    heartbeat_us: int = 200_000
    election_timeout_us: int = 900_000  # without a leader; a random part of the jitter is added
    election_jitter_us: int = 600_000
    recovery_interval_us: int = 300_000  # between two recovery requests
    quarantine_us: int = 4_000_000  # before a new epoch: longer than a granted slot can be used
    retained_entries: int = 256


@dataclass(slots=True)
class PeerStatus:
    """What a voter last heard from another about recovery."""

    received_at: int
    leaderless_us: int  # by its own clock
    position: Position
    promised_epoch: int
    is_recovering: bool


class Consensus:
    """One voter. The caller passes messages to `receive`, calls `tick` often and sends what is in `outbox`.

    Committed entries are passed to `on_commit`, in order, once each.
    """

    def __init__(
        self,
        local_number: int,
        voters: tuple[int, ...],
        now: int,
        random: Random,
        on_commit: Callable[[Entry], None],
        on_new_epoch: Callable[[Position], None],
        known_position: Callable[[], Position],
        boot_id: int,
        timing: ConsensusTiming | None = None,
    ) -> None:
        """`known_position` returns how far this process knows the committed history, from any source.

        `on_new_epoch` is called when that history continues in a new epoch, with its first position.
        """
        self.local_number = local_number
        self.random = random
        self.on_commit = on_commit
        self.on_new_epoch = on_new_epoch
        self.known_position = known_position
        self.voters = voters
        self.boot_id = boot_id
        self.peers = tuple(number for number in voters if number != local_number)
        self.quorum = len(voters) // 2 + 1
        self.timing = timing or ConsensusTiming()
        self.outbox: list[tuple[int, Message]] = []
        self.role = Role.RECOVERING
        self.epoch, self.term, self.leader = 0, 0, -1
        self.voted_for: tuple[int, int] | None = None  # the candidate of this term and its ballot
        self.log = Log(self.timing.retained_entries)
        # While recovering.
        self.nonce, self.recovering_since = random.getrandbits(NONCE_BITS) | 1, now
        self.recovery_replies: dict[int, RecoveryReply] = {}
        # Epoch, term and index that recovery has to reach.
        self.recovery_target: tuple[int, int, int] | None = None
        self.peer_status: dict[int, PeerStatus] = {}
        self.promised_epoch, self.epoch_replies = 0, dict[int, Position]()
        # Without a leader, or as a candidate.
        self.leader_seen_at, self.election_due_at = now, now
        self.ballot, self.is_prevote, self.votes = 0, True, set[int]()
        # As leader.
        self.match_index: dict[int, int] = {}
        self.next_index: dict[int, int] = {}
        self.acked_at: dict[int, int] = {}
        # When the append that each peer answered last was sent, at the earliest.
        self.confirmed_at: dict[int, int] = {}
        self.has_resigned, self.now = False, now
        self.caught_up: set[int] = set()  # peers that have finished recovery, as this leader knows
        self.heartbeat_due_at = now
        self.boot_ids: dict[int, int] = {}
        self.boot_id_views: dict[int, tuple[int, ...]] = {}  # of all voters, as each peer last reported them
        self.rejected_index = -1  # of the leader's last entries that did not fit the local log
        # The leader, when only its snapshot can bring the local log up to date.
        self.snapshot_peer: int | None = None

    # --- The log.

    @property
    def position(self) -> Position:
        """The latest position that this process knows, as a voter or only as a replica."""
        return max((self.epoch, self.log.last_term, self.log.last_index), self.known_position())

    def install_snapshot(self, snapshot_position: Position) -> None:
        """A snapshot was installed; entries after its position come from the leader."""
        if snapshot_position[0] != (self.recovery_target[0] if self.recovery_target else self.epoch):
            return
        if snapshot_position[0] == self.epoch and snapshot_position[2] <= self.log.commit_index:
            return
        matches = (
            self.log.term_at(snapshot_position[2]) == snapshot_position[1]
            and self.epoch == snapshot_position[0]
        )
        self.log.reset_to_snapshot(snapshot_position, keep_rest=matches)
        self.epoch, self.snapshot_peer = snapshot_position[0], None
        self._finish_recovery()

    @property
    def snapshot_source(self) -> int | None:
        """The peer whose snapshot is needed, if any."""
        if (
            self.role is Role.RECOVERING
            and self.recovery_target is not None
            and self.recovery_target[0] != self.epoch
        ):
            return self.leader
        return self.snapshot_peer

    # --- Received messages.

    def receive(self, now: int, sender: int, boot_id: int, message: Message) -> None:
        """Handles a message of another voter."""
        self.now = now
        if sender not in self.peers:
            return
        if self.boot_ids.get(sender) != boot_id:
            self._reset_peer(sender, boot_id)
        match message:
            case RecoveryRequest():
                self._on_recovery_request(now, sender, message)
            case RecoveryReply():
                self._on_recovery_reply(now, sender, message)
            case VoteRequest():
                self._on_vote_request(now, sender, message)
            case VoteReply():
                self._on_vote_reply(now, sender, message)
            case AppendEntries():
                self._on_append(now, sender, message)
            case AppendReply():
                self._on_append_reply(now, sender, message)
            case EpochProposal(epoch, intended_boot_id):
                if intended_boot_id == self.boot_id:
                    self._on_epoch_proposal(now, sender, epoch)
            case EpochReply(epoch, position):
                if epoch == self.promised_epoch and self.role is Role.RECOVERING:
                    self.epoch_replies[sender] = position
                    self._choose_epoch_leader(now)
            case LeadEpoch(epoch):
                if epoch == self.promised_epoch and self.role is Role.RECOVERING:
                    self._begin_epoch(now, epoch)

    def _reset_peer(self, sender: int, boot_id: int) -> None:
        """The peer restarted and lost its state, so everything it said before is void."""
        self.boot_ids[sender] = boot_id
        self.match_index[sender] = 0
        self.next_index[sender] = self.log.last_index + 1
        self.acked_at.pop(sender, None)
        self.votes.discard(sender)
        self.recovery_replies.pop(sender, None)
        self.epoch_replies.pop(sender, None)
        self.boot_id_views.pop(sender, None)
        self.caught_up.discard(sender)
        self.confirmed_at.pop(sender, None)

    def has_leader_lease(self, now: int) -> bool:
        """Whether no other voter can be leader now, because a quorum followed this one too recently to vote.

        This assumes that the voters' clocks run at the same rate, within a third.
        """
        if self.role is not Role.LEADER:
            return False
        confirmed = sorted([now, *(self.confirmed_at.get(n, 0) for n in self.peers)], reverse=True)
        return now - confirmed[self.quorum - 1] < self.timing.election_timeout_us * 2 // 3

    def unavailable_voters(self, now: int) -> list[int]:
        """The peers that don't count towards a quorum now, as this leader knows."""
        max_silence_us = 2 * self.timing.election_timeout_us
        return [
            n for n in self.peers if n not in self.caught_up or now - self.acked_at.get(n, 0) > max_silence_us
        ]

    def _known_boot_ids(self) -> tuple[int, ...]:
        return tuple(self.boot_id if n == self.local_number else self.boot_ids.get(n, 0) for n in self.voters)

    def _without_stale(self, numbers: set[int]) -> set[int]:
        """Those voters of which no other one knows a newer process.

        A message sent before a voter restarted may arrive late. A voter that answered the recovery of its new
        process reports that process's boot id (Michael, Ports, Sharma, Szekeres: "Recovering Shared Objects
        Without Stable Storage", 2017).
        """
        views = [self.boot_id_views[n] for n in numbers if n in self.boot_id_views]
        position_of = {number: position for position, number in enumerate(self.voters)}
        return {
            n for n in numbers if all(view[position_of[n]] in (0, self.boot_ids.get(n, 0)) for view in views)
        }

    # --- Recovery.

    def _restart_recovery(self, now: int) -> None:
        """Starts recovery anew with a new nonce; earlier replies don't count."""
        if self.role is not Role.RECOVERING:
            self.recovering_since = now
        self.role, self.leader, self.recovery_target = Role.RECOVERING, -1, None
        self.nonce = self.random.getrandbits(NONCE_BITS) | 1
        self.recovery_replies.clear()

    def _on_recovery_request(self, now: int, sender: int, request: RecoveryRequest) -> None:
        self.peer_status[sender] = PeerStatus(
            now, request.leaderless_ms * 1000, request.position, request.promised_epoch, True
        )
        if self.role is Role.RECOVERING:
            return
        leaderless_us = 0 if self.role is Role.LEADER else now - self.leader_seen_at
        fields = request.nonce, self.epoch, self.term, self.role is Role.LEADER, self.log.last_index
        self._send(sender, RecoveryReply(*fields, min(leaderless_us // 1000, MAX_U32)))

    def _on_recovery_reply(self, now: int, sender: int, reply: RecoveryReply) -> None:
        position = (reply.epoch, reply.term, reply.last_index)
        self.peer_status[sender] = PeerStatus(now, reply.leaderless_ms * 1000, position, 0, False)
        if self.role is not Role.RECOVERING or reply.nonce != self.nonce or self.recovery_target is not None:
            return
        self.recovery_replies[sender] = reply
        if len(self.recovery_replies) < self.quorum:
            return
        latest = max((other.epoch, other.term) for other in self.recovery_replies.values())
        leaders = [
            number
            for number, other in self.recovery_replies.items()
            if other.is_leader and (other.epoch, other.term) == latest
        ]
        if not leaders:
            return  # the latest term has no leader yet, or it has not answered: the requests are repeated
        leader = leaders[0]
        self.recovery_target = (*latest, self.recovery_replies[leader].last_index)
        self.term, self.leader, self.voted_for = latest[1], leader, None
        self.leader_seen_at = now
        self._finish_recovery()

    def _finish_recovery(self) -> None:
        if (
            self.recovery_target is not None
            and self.epoch == self.recovery_target[0]
            and self.log.last_index >= self.recovery_target[2]
        ):
            if self.snapshot_peer is None:
                self.role, self.recovery_target, self.promised_epoch = Role.FOLLOWER, None, 0
                self.recovery_replies.clear()

    # --- A new epoch.

    def _leaderless_us(self, now: int) -> int:
        if self.role is Role.RECOVERING:
            return now - self.recovering_since
        return 0 if self.role is Role.LEADER else now - self.leader_seen_at

    def _propose_epoch(self, now: int) -> None:
        """Proposes a new epoch if this is the voter with the lowest number and no quorum can form otherwise.

        All voters must have reported lately that they have been without a leader for the quarantine, and
        fewer than a quorum must have kept their state.
        """
        if self._leaderless_us(now) < self.timing.quarantine_us or any(
            n < self.local_number for n in self.peers
        ):
            return
        statuses = [self.peer_status.get(n) for n in self.peers]
        if any(
            status is None or now - status.received_at > 2 * self.timing.election_timeout_us
            for status in statuses
        ):
            return
        if any(status.leaderless_us < self.timing.quarantine_us for status in statuses if status is not None):
            return
        if sum(not status.is_recovering for status in statuses if status is not None) >= self.quorum:
            return  # they can elect a leader
        epochs = [max(status.position[0], status.promised_epoch) for status in statuses if status is not None]
        highest = max([self.epoch, *epochs])
        if self.role is not Role.RECOVERING:
            self._restart_recovery(self.leader_seen_at)
        if self.promised_epoch <= self.epoch or self.promised_epoch < highest:
            self.promised_epoch = ((max(highest, self.promised_epoch) >> 32) + 1) << 32
            self.promised_epoch |= self.random.getrandbits(NONCE_BITS)
            self.epoch_replies = {}
        if not self.peers:
            self._begin_epoch(now, self.promised_epoch)
        for number in self.peers:
            self._send(number, EpochProposal(self.promised_epoch, self.boot_ids[number]))

    def _on_epoch_proposal(self, now: int, sender: int, epoch: int) -> None:
        if (
            epoch <= max(self.epoch, self.promised_epoch - 1)
            or self._leaderless_us(now) < self.timing.quarantine_us
        ):
            return
        if self.role is not Role.RECOVERING:
            self._restart_recovery(now - self._leaderless_us(now))
        self.promised_epoch, self.recovery_target = epoch, None
        self._send(sender, EpochReply(epoch, self.position))

    def _choose_epoch_leader(self, now: int) -> None:
        if set(self.epoch_replies) != set(self.peers):
            return
        best, position = self.local_number, self.position
        for number, peer_position in self.epoch_replies.items():
            if peer_position > position:
                best, position = number, peer_position
        if best == self.local_number:
            self._begin_epoch(now, self.promised_epoch)
        else:
            self._send(best, LeadEpoch(self.promised_epoch))

    def _begin_epoch(self, now: int, epoch: int) -> None:
        """Starts the epoch as its leader.

        All voters have accepted it, so nothing can be committed in an earlier epoch any more, and the voter
        with the latest position has everything that any of them still knows.
        """
        if self.known_position() > (self.epoch, self.log.last_term, self.log.last_index):
            commit = self.known_position()[2]
        else:
            self.log.commit_until(self.log.last_index, self.on_commit)
            commit = self.log.commit_index
        self.epoch, self.term, self.promised_epoch, self.recovery_target = epoch, 1, 0, None
        self.log.reset_to_snapshot((epoch, 0, commit), keep_rest=False)
        self.epoch_replies.clear()
        self.on_new_epoch(self.log.snapshot_position)
        self._become_leader(now)

    # --- Elections.

    def _reset_election_timer(self, now: int) -> None:
        self.election_due_at = (
            now + self.timing.election_timeout_us + self.random.randrange(self.timing.election_jitter_us)
        )

    def campaign(self, now: int, is_prevote: bool) -> None:
        """Asks for votes.

        The prevote (Raft dissertation, section 9.6) comes first and asks whether the candidate would win, so
        that a voter that was cut off doesn't disrupt the leader when it returns.
        """
        self.ballot = self.random.getrandbits(NONCE_BITS)
        self.is_prevote = is_prevote
        self.votes = {self.local_number}
        self._reset_election_timer(now)
        if not is_prevote:
            self.role, self.term, self.leader = Role.CANDIDATE, self.term + 1, -1
            self.voted_for = (self.local_number, self.ballot)
        term = self.term + 1 if is_prevote else self.term
        for number in self.peers:
            last_entry = self.log.last_term, self.log.last_index
            self._send(number, VoteRequest(self.epoch, term, self.ballot, *last_entry, is_prevote))
        self._count_votes(now)

    def _on_vote_request(self, now: int, sender: int, request: VoteRequest) -> None:
        if self.role is Role.RECOVERING or request.epoch != self.epoch:
            return
        is_up_to_date = (request.last_term, request.last_index) >= (self.log.last_term, self.log.last_index)
        has_leader = self.role is Role.LEADER or (
            self.leader >= 0 and now - self.leader_seen_at < self.timing.election_timeout_us
        )
        if request.is_prevote:
            granted = is_up_to_date and not has_leader and request.term > self.term
        else:
            if request.term > self.term and not has_leader:
                self._become_follower(now, request.term, -1)
            can_vote = self.voted_for in (None, (sender, request.ballot)) and self.role is Role.FOLLOWER
            granted = is_up_to_date and can_vote and request.term == self.term
            if granted:
                self.voted_for = (sender, request.ballot)
                self._reset_election_timer(now)
        self._send(
            sender,
            VoteReply(
                self.epoch, self.term, request.ballot, request.is_prevote, granted, self._known_boot_ids()
            ),
        )

    def _on_vote_reply(self, now: int, sender: int, reply: VoteReply) -> None:
        if reply.epoch != self.epoch or self.role in (Role.RECOVERING, Role.LEADER):
            return
        if reply.term > self.term:
            self._become_follower(now, reply.term, -1)
        elif reply.granted and reply.ballot == self.ballot and reply.is_prevote is self.is_prevote:
            self.boot_id_views[sender] = reply.boot_ids
            self.votes.add(sender)
            self._count_votes(now)

    def _count_votes(self, now: int) -> None:
        if len(self._without_stale(self.votes - {self.local_number})) + 1 < self.quorum:
            return
        if self.is_prevote:
            self.campaign(now, is_prevote=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _become_follower(self, now: int, term: int, leader: int) -> None:
        if term > self.term:
            self.term, self.voted_for = term, None
        self.role, self.leader, self.votes = Role.FOLLOWER, leader, set()
        self._reset_election_timer(now)

    def _become_leader(self, now: int) -> None:
        self.role, self.leader, self.votes = Role.LEADER, self.local_number, set()
        self.match_index = dict.fromkeys(self.peers, 0)
        self.next_index = dict.fromkeys(self.peers, self.log.last_index + 1)
        self.acked_at = dict.fromkeys(self.peers, now)
        self.caught_up.clear()
        self.confirmed_at.clear()
        self.propose(now, Noop())

    def resign(self, now: int) -> None:
        """Steps down for shutdown: this voter campaigns no more, but still answers."""
        self.has_resigned = True
        if self.role in (Role.LEADER, Role.CANDIDATE):
            self._become_follower(now, self.term, -1)

    # --- Log replication.

    def propose(self, now: int, command: AnyCommand) -> int | None:
        """Appends a command and returns the index at which it is committed if this term lasts.

        Returns None if this voter is not the leader.
        """
        if self.role is not Role.LEADER:
            return None
        index = self.log.last_index + 1
        self.log.append(Entry(index, self.term, command))
        self._advance_commit_index()
        self._send_heartbeats(now)
        return index

    @property
    def uncommitted(self) -> list[AnyCommand]:
        """The commands that were proposed but are not committed yet. The leader treats them as done."""
        return [entry.command for entry in self.log.uncommitted]

    def _send_heartbeats(self, now: int) -> None:
        self.heartbeat_due_at, self.now = now + self.timing.heartbeat_us, now
        for number in self.peers:
            self._send_entries(number)

    def _send_entries(self, number: int) -> None:
        log = self.log
        prev_index = max(self.next_index.get(number, log.last_index + 1) - 1, log.snapshot_position[2])
        sent_ms = (self.now // 1000) & MAX_U32
        fields = self.epoch, self.term, log.term_at(prev_index) or 0, prev_index, log.commit_index, sent_ms
        entries = log.entries_after(
            prev_index, datagram_size(AppendEntries(*fields, ())) + ARRAY_HEADER_BYTES
        )
        self._send(number, AppendEntries(*fields, entries))

    def _on_append(self, now: int, sender: int, append: AppendEntries) -> None:
        recovering = self.role is Role.RECOVERING
        if (
            recovering
            and self.recovery_target is None
            and self.promised_epoch
            and append.epoch == self.promised_epoch
        ):
            # The accepted epoch has started. The local log is kept until that of the new epoch is complete.
            self.recovery_target = (append.epoch, append.term, append.prev_index)
            self.term, self.voted_for = append.term, None
        if recovering:
            if (
                self.recovery_target is None
                or append.epoch != self.recovery_target[0]
                or append.term != self.recovery_target[1]
            ):
                if (
                    self.recovery_target is not None
                    and (append.epoch, append.term) > self.recovery_target[:2]
                ):
                    self._restart_recovery(now)  # there is a newer leader, which has to answer
                return
            if self.epoch != append.epoch:  # only a snapshot can bring this voter there
                self.leader, self.leader_seen_at = sender, now
                self._reset_election_timer(now)
                self._send(
                    sender,
                    AppendReply(
                        append.epoch, append.term, False, 0, append.sent_ms, True, self._known_boot_ids()
                    ),
                )
                return
        elif append.epoch > self.epoch:
            self._restart_recovery(now)  # the new epoch began without this voter: recover from a quorum
            return
        elif append.epoch < self.epoch or append.term < self.term:
            fields = self.epoch, self.term, False, self.log.last_index, append.sent_ms, False
            self._send(sender, AppendReply(*fields, self._known_boot_ids()))
            return
        elif append.term > self.term or self.role is not Role.FOLLOWER or self.leader != sender:
            self._become_follower(now, append.term, sender)
        self.leader, self.leader_seen_at = sender, now
        self._reset_election_timer(now)
        success, last_index = self._merge_entries(append)
        self._finish_recovery()
        is_recovering = self.role is Role.RECOVERING
        self._send(
            sender,
            AppendReply(
                self.epoch,
                self.term,
                success,
                last_index,
                append.sent_ms,
                is_recovering,
                self._known_boot_ids(),
            ),
        )

    def _merge_entries(self, append: AppendEntries) -> tuple[bool, int]:
        """Returns whether the entries fit the local log, and the last index that matches the leader's."""
        matched = self.log.merge(append.prev_index, append.prev_term, append.entries)
        if matched is None:
            if append.prev_index == self.rejected_index and append.prev_index > self.log.last_index:
                self.snapshot_peer = self.leader  # it retains no earlier entries: only its snapshot helps
            self.rejected_index = append.prev_index
            return False, max(self.log.commit_index, min(self.log.last_index, append.prev_index - 1))
        self.snapshot_peer, self.rejected_index = None, -1
        self.log.commit_until(min(append.commit_index, matched), self.on_commit)
        return True, matched

    def _on_append_reply(self, now: int, sender: int, reply: AppendReply) -> None:
        if reply.epoch != self.epoch:
            return
        if reply.term > self.term and self.role is not Role.RECOVERING:
            self._become_follower(now, reply.term, -1)
        if self.role is not Role.LEADER or reply.term != self.term:
            return
        self.acked_at[sender], self.boot_id_views[sender] = now, reply.boot_ids
        elapsed_ms = ((now // 1000) - reply.sent_ms) & MAX_U32
        if not reply.is_recovering and elapsed_ms < MAX_REPLY_AGE_MS:
            self.confirmed_at[sender] = max(self.confirmed_at.get(sender, 0), now - (elapsed_ms + 1) * 1000)
        if not reply.success:
            self.next_index[sender] = max(
                self.log.snapshot_position[2] + 1, min(self.next_index[sender] - 1, reply.last_index + 1)
            )
            return
        self.next_index[sender] = max(self.next_index[sender], reply.last_index + 1)
        if not reply.is_recovering:
            self.caught_up.add(sender)
            self.match_index[sender] = max(self.match_index[sender], reply.last_index)
            self._advance_commit_index()
        if self.next_index[sender] <= self.log.last_index:
            self._send_entries(sender)

    def _advance_commit_index(self) -> None:
        current = self._without_stale(
            {n for n in self.peers if self.match_index.get(n, 0) > self.log.commit_index}
        )
        match_indexes = sorted(
            [self.log.last_index, *(self.match_index[n] if n in current else 0 for n in self.peers)],
            reverse=True,
        )
        index = match_indexes[self.quorum - 1]
        # As in Raft, entries of earlier terms are committed only together with one of the current term.
        if index > self.log.commit_index and self.log.term_at(index) == self.term:
            self.log.commit_until(index, self.on_commit)

    # --- Timers.

    def tick(self, now: int) -> None:
        """Runs the timers: recovery requests, heartbeats, elections."""
        self.now = now
        if self.role is Role.RECOVERING:
            if now < self.heartbeat_due_at:
                return
            self.heartbeat_due_at = now + self.timing.recovery_interval_us
            if (
                self.recovery_target is not None
                and now - self.leader_seen_at > self.timing.election_timeout_us
            ):
                self._restart_recovery(now)  # the leader that answered is silent
            leaderless_ms = min((now - self.recovering_since) // 1000, MAX_U32)
            for number in self.peers:
                self._send(
                    number, RecoveryRequest(self.nonce, leaderless_ms, self.position, self.promised_epoch)
                )
            self._propose_epoch(now)
        elif self.role is Role.LEADER:
            responsive = sum(now - at < 2 * self.timing.election_timeout_us for at in self.acked_at.values())
            if responsive + 1 < self.quorum:  # cut off: the others may have a leader by now
                self._become_follower(now, self.term, -1)
                self.leader_seen_at = now
            elif now >= self.heartbeat_due_at:
                self._send_heartbeats(now)
        elif now >= self.election_due_at and not self.has_resigned:
            self.leader = -1
            self.campaign(now, is_prevote=True)
            leaderless_us = self._leaderless_us(now)
            if leaderless_us >= self.timing.quarantine_us:  # the voter that may propose an epoch has to know
                fields = (
                    0,
                    self.epoch,
                    self.term,
                    False,
                    self.log.last_index,
                    min(leaderless_us // 1000, MAX_U32),
                )
                for number in self.peers:
                    self._send(number, RecoveryReply(*fields))
                self._propose_epoch(now)

    def _send(self, target: int, message: Message) -> None:
        self.outbox.append((target, message))
