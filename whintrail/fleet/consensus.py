"""Agreement of a small council on one order of commands, sans-I/O: Raft's log and leader, Viewstamped
Replication's recovery, and a way to begin anew once most of it forgot.

Processes restart from nothing, so a vote or an entry may be forgotten with the process that gave it. Three
things answer that:

- A member that starts is *recovering*. It votes for nobody and counts for no majority until most of the
  council, the leader of the latest term among them, have answered the nonce of this start, and it holds all
  that the leader held when it answered (Liskov, Cowling: "Viewstamped Replication Revisited", 2012, 4.3).
- A ballot is drawn at random, and what a member said as an earlier process counts for nothing.
- Where most are recovering at once no majority can vouch for anything. Then *all* of the council have to
  agree to a new epoch, each after `quarantine_us` without a leader; who knows most leads it.

Nothing here reads a clock: times are monotonic microseconds of the caller. Safety rests on none of them.
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


class Role(Enum):
    RECOVERING = "recovering"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class ConsensusTiming:
    heartbeat_us: int = 200_000
    election_timeout_us: int = 900_000  # without a leader for so long, and up to `spread_us` more
    election_jitter_us: int = 600_000
    recovery_interval_us: int = 300_000  # between two askings
    quarantine_us: int = 4_000_000  # before all begin anew: longer than a grant can be used
    retained_entries: int = 256


@dataclass(slots=True)
class PeerStatus:
    """What a recovering member has of another."""

    received_at: int
    leaderless_us: int  # without a leader, as it says
    position: Position
    promised_epoch: int
    is_recovering: bool  # it is recovering too


class Consensus:
    """`take` what comes and `tick` it; it hands decided entries to `decide`, in order, once each."""

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
        """`known` is how far this process knows what was decided, from whomever; `renew`: that goes on as the
        beginning of another epoch, at this position."""
        self.local_number, self.random, self.on_commit, self.on_new_epoch, self.known_position = (
            local_number,
            random,
            on_commit,
            on_new_epoch,
            known_position,
        )
        self.voters, self.boot_id = voters, boot_id
        self.peers = tuple(number for number in voters if number != local_number)
        self.quorum = len(voters) // 2 + 1
        self.timing = timing or ConsensusTiming()
        self.outbox: list[tuple[int, Message]] = []
        self.role = Role.RECOVERING
        self.epoch, self.term, self.leader = 0, 0, -1
        self.voted_for: tuple[int, int] | None = None  # whom in this term, and its ballot
        self.log = Log(self.timing.retained_entries)
        # As one that recovers.
        self.nonce, self.recovering_since = random.getrandbits(NONCE_BITS) | 1, now
        self.recovery_replies: dict[int, RecoveryReply] = {}
        self.recovery_target: tuple[int, int, int] | None = None  # epoch, term and index to be held first
        self.peer_status: dict[int, PeerStatus] = {}
        self.promised_epoch, self.epoch_replies = 0, dict[int, Position]()
        # As one without a leader, or a candidate.
        self.leader_seen_at, self.election_due_at = now, now
        self.ballot, self.is_prevote, self.votes = 0, True, set[int]()
        # As the leader.
        self.match_index: dict[int, int] = {}
        self.next_index: dict[int, int] = {}
        self.acked_at: dict[int, int] = {}
        self.confirmed_at: dict[int, int] = {}  # when what each answered last was sent, at the latest
        self.has_resigned, self.now = False, now
        self.caught_up: set[int] = set()  # others that take part, as far as this leader knows
        self.heartbeat_due_at = now
        self.boot_ids: dict[int, int] = {}
        self.boot_id_views: dict[int, tuple[int, ...]] = {}  # others' births, as each last told
        self.rejected_index = -1  # where the leader's entries did not follow on ours
        self.snapshot_peer: int | None = None  # who leads and holds what we can only get as a whole state

    # --- The log.

    @property
    def position(self) -> Position:
        """The furthest that this process remembers, as a voter or only as one who was told."""
        return max((self.epoch, self.log.last_term, self.log.last_index), self.known_position())

    def install_snapshot(self, snapshot_position: Position) -> None:
        """The state as of `position` was taken over as a whole; what is behind it comes from the leader."""
        if snapshot_position[0] != (self.recovery_target[0] if self.recovery_target else self.epoch):
            return
        if snapshot_position[0] == self.epoch and snapshot_position[2] <= self.log.commit_index:
            return
        sound = (
            self.log.term_at(snapshot_position[2]) == snapshot_position[1]
            and self.epoch == snapshot_position[0]
        )
        self.log.reset_to_snapshot(snapshot_position, keep_rest=sound)
        self.epoch, self.snapshot_peer = snapshot_position[0], None
        self._finish_recovery()

    @property
    def snapshot_source(self) -> int | None:
        """Whose whole state is needed to go on, if anybody's."""
        if (
            self.role is Role.RECOVERING
            and self.recovery_target is not None
            and self.recovery_target[0] != self.epoch
        ):
            return self.leader
        return self.snapshot_peer

    # --- In.

    def receive(self, now: int, sender: int, boot_id: int, message: Message) -> None:
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
            case EpochProposal(epoch, meant):
                if meant == self.boot_id:
                    self._on_epoch_proposal(now, sender, epoch)
            case EpochReply(epoch, position):
                if epoch == self.promised_epoch and self.role is Role.RECOVERING:
                    self.epoch_replies[sender] = position
                    self._choose_epoch_leader(now)
            case LeadEpoch(epoch):
                if epoch == self.promised_epoch and self.role is Role.RECOVERING:
                    self._begin_epoch(now, epoch)

    def _reset_peer(self, origin: int, boot_id: int) -> None:
        """It started anew: what it held and said before is gone."""
        self.boot_ids[origin] = boot_id
        self.match_index[origin] = 0
        self.next_index[origin] = self.log.last_index + 1
        self.acked_at.pop(origin, None)
        self.votes.discard(origin)
        self.recovery_replies.pop(origin, None)
        self.epoch_replies.pop(origin, None)
        self.boot_id_views.pop(origin, None)
        self.caught_up.discard(origin)
        self.confirmed_at.pop(origin, None)

    def has_leader_lease(self, now: int) -> bool:
        """Nobody else can lead at this moment: most of the council followed us so shortly ago that they give
        no vote yet. It rests on clocks that run alike, to a third."""
        if self.role is not Role.LEADER:
            return False
        heard = sorted([now, *(self.confirmed_at.get(n, 0) for n in self.peers)], reverse=True)
        return now - heard[self.quorum - 1] < self.timing.election_timeout_us * 2 // 3

    def unavailable_voters(self, now: int) -> list[int]:
        """As the leader sees it: others of the council that vouch for nothing at present."""
        late = 2 * self.timing.election_timeout_us
        return [n for n in self.peers if n not in self.caught_up or now - self.acked_at.get(n, 0) > late]

    def _known_boot_ids(self) -> tuple[int, ...]:
        return tuple(self.boot_id if n == self.local_number else self.boot_ids.get(n, 0) for n in self.voters)

    def _without_stale(self, voices: set[int]) -> set[int]:
        """Those of them of whom none of the others knows another process. What a member said before it
        forgot may come late; whoever answered its successor's recovery tells (Michael, Ports, Sharma,
        Szekeres: "Recovering Shared Objects Without Stable Storage", 2017)."""
        known = [self.boot_id_views[n] for n in voices if n in self.boot_id_views]
        places = {number: place for place, number in enumerate(self.voters)}
        return {n for n in voices if all(view[places[n]] in (0, self.boot_ids.get(n, 0)) for view in known)}

    # --- Recovery.

    def _restart_recovery(self, now: int) -> None:
        """Nothing that was said counts any more; ask again under a new nonce."""
        if self.role is not Role.RECOVERING:
            self.recovering_since = now
        self.role, self.leader, self.recovery_target = Role.RECOVERING, -1, None
        self.nonce = self.random.getrandbits(NONCE_BITS) | 1
        self.recovery_replies.clear()

    def _on_recovery_request(self, now: int, origin: int, ask: RecoveryRequest) -> None:
        self.peer_status[origin] = PeerStatus(
            now, ask.leaderless_ms * 1000, ask.position, ask.promised_epoch, True
        )
        if self.role is Role.RECOVERING:
            return
        lonely = 0 if self.role is Role.LEADER else now - self.leader_seen_at
        given = ask.nonce, self.epoch, self.term, self.role is Role.LEADER, self.log.last_index
        self._send(origin, RecoveryReply(*given, min(lonely // 1000, 0xFFFFFFFF)))

    def _on_recovery_reply(self, now: int, origin: int, tell: RecoveryReply) -> None:
        position = (tell.epoch, tell.term, tell.last_index)
        self.peer_status[origin] = PeerStatus(now, tell.leaderless_ms * 1000, position, 0, False)
        if self.role is not Role.RECOVERING or tell.nonce != self.nonce or self.recovery_target is not None:
            return
        self.recovery_replies[origin] = tell
        if len(self.recovery_replies) < self.quorum:
            return
        latest = max((t.epoch, t.term) for t in self.recovery_replies.values())
        leaders = [
            number
            for number, t in self.recovery_replies.items()
            if t.is_leader and (t.epoch, t.term) == latest
        ]
        if not leaders:
            return  # a later term has no leader yet, or it has not answered: asked again
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
        """The lowest in number asks, once it has heard of late that all have been without a leader for long
        and too few of them remember for a majority to vouch for anything."""
        if self._leaderless_us(now) < self.timing.quarantine_us or any(
            n < self.local_number for n in self.peers
        ):
            return
        fresh = [self.peer_status.get(n) for n in self.peers]
        if any(h is None or now - h.received_at > 2 * self.timing.election_timeout_us for h in fresh):
            return
        if any(h.leaderless_us < self.timing.quarantine_us for h in fresh if h is not None):
            return
        if sum(not h.is_recovering for h in fresh if h is not None) >= self.quorum:
            return  # these can go on by themselves
        known = [max(h.position[0], h.promised_epoch) for h in fresh if h is not None]
        highest = max([self.epoch, *known])
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

    def _on_epoch_proposal(self, now: int, origin: int, epoch: int) -> None:
        if (
            epoch <= max(self.epoch, self.promised_epoch - 1)
            or self._leaderless_us(now) < self.timing.quarantine_us
        ):
            return
        if self.role is not Role.RECOVERING:
            self._restart_recovery(now - self._leaderless_us(now))
        self.promised_epoch, self.recovery_target = epoch, None
        self._send(origin, EpochReply(epoch, self.position))

    def _choose_epoch_leader(self, now: int) -> None:
        if set(self.epoch_replies) != set(self.peers):
            return
        best, position = self.local_number, self.position
        for number, theirs in self.epoch_replies.items():
            if theirs > position:
                best, position = number, theirs
        if best == self.local_number:
            self._begin_epoch(now, self.promised_epoch)
        else:
            self._send(best, LeadEpoch(self.promised_epoch))

    def _begin_epoch(self, now: int, epoch: int) -> None:
        """All have promised: nothing can be decided in an earlier epoch any more, and whoever holds most
        holds all that ever was, as far as anybody remembers it."""
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
        """Ask for votes; first whether it would get them, so that one who was away disturbs nobody."""
        self.ballot, self.is_prevote, self.votes = (
            self.random.getrandbits(NONCE_BITS),
            is_prevote,
            {self.local_number},
        )
        self._reset_election_timer(now)
        if not is_prevote:
            self.role, self.term, self.leader = Role.CANDIDATE, self.term + 1, -1
            self.voted_for = (self.local_number, self.ballot)
        term = self.term + 1 if is_prevote else self.term
        for number in self.peers:
            held = self.log.last_term, self.log.last_index
            self._send(number, VoteRequest(self.epoch, term, self.ballot, *held, is_prevote))
        self._count_votes(now)

    def _on_vote_request(self, now: int, origin: int, ask: VoteRequest) -> None:
        if self.role is Role.RECOVERING or ask.epoch != self.epoch:
            return
        good = (ask.last_term, ask.last_index) >= (self.log.last_term, self.log.last_index)
        led = self.role is Role.LEADER or (
            self.leader >= 0 and now - self.leader_seen_at < self.timing.election_timeout_us
        )
        if ask.is_prevote:
            yes = good and not led and ask.term > self.term
        else:
            if ask.term > self.term and not led:
                self._become_follower(now, ask.term, -1)
            free = self.voted_for in (None, (origin, ask.ballot)) and self.role is Role.FOLLOWER
            yes = good and free and ask.term == self.term
            if yes:
                self.voted_for = (origin, ask.ballot)
                self._reset_election_timer(now)
        self._send(
            origin, VoteReply(self.epoch, self.term, ask.ballot, ask.is_prevote, yes, self._known_boot_ids())
        )

    def _on_vote_reply(self, now: int, origin: int, tell: VoteReply) -> None:
        if tell.epoch != self.epoch or self.role in (Role.RECOVERING, Role.LEADER):
            return
        if tell.term > self.term:
            self._become_follower(now, tell.term, -1)
        elif tell.granted and tell.ballot == self.ballot and tell.is_prevote is self.is_prevote:
            self.boot_id_views[origin] = tell.boot_ids
            self.votes.add(origin)
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
        """This process ends: it leads no more and asks for no votes, but answers while it can."""
        self.has_resigned = True
        if self.role in (Role.LEADER, Role.CANDIDATE):
            self._become_follower(now, self.term, -1)

    # --- Entries.

    def propose(self, now: int, command: AnyCommand) -> int | None:
        """As the leader: the index under which the command will be decided, should this term last; else
        None."""
        if self.role is not Role.LEADER:
            return None
        index = self.log.last_index + 1
        self.log.append(Entry(index, self.term, command))
        self._advance_commit_index()
        self._send_heartbeats(now)
        return index

    @property
    def uncommitted(self) -> list[AnyCommand]:
        """Commands proposed and not yet decided: a leader counts them as done already."""
        return [entry.command for entry in self.log.uncommitted]

    def _send_heartbeats(self, now: int) -> None:
        self.heartbeat_due_at, self.now = now + self.timing.heartbeat_us, now
        for number in self.peers:
            self._send_entries(number)

    def _send_entries(self, number: int) -> None:
        log = self.log
        before = max(self.next_index.get(number, log.last_index + 1) - 1, log.snapshot_position[2])
        stamp = (self.now // 1000) & 0xFFFFFFFF
        given = self.epoch, self.term, log.term_at(before) or 0, before, log.commit_index, stamp
        entries = log.entries_after(before, datagram_size(AppendEntries(*given, ())) + 4)
        self._send(number, AppendEntries(*given, entries))

    def _on_append(self, now: int, origin: int, append: AppendEntries) -> None:
        recovering = self.role is Role.RECOVERING
        if (
            recovering
            and self.recovery_target is None
            and self.promised_epoch
            and append.epoch == self.promised_epoch
        ):
            # The epoch to which all agreed has begun. What we hold is kept until we hold all of its.
            self.recovery_target = (append.epoch, append.term, append.last_index)
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
                    self._restart_recovery(now)  # another leads by now: its word is needed
                return
            if self.epoch != append.epoch:  # only a whole state brings us there
                self.leader, self.leader_seen_at = origin, now
                self._reset_election_timer(now)
                self._send(
                    origin,
                    AppendReply(
                        append.epoch, append.term, False, 0, append.sent_ms, True, self._known_boot_ids()
                    ),
                )
                return
        elif append.epoch > self.epoch:
            self._restart_recovery(now)  # decided without us: learn of it from a majority
            return
        elif append.epoch < self.epoch or append.term < self.term:
            given = self.epoch, self.term, False, self.log.last_index, append.sent_ms, False
            self._send(origin, AppendReply(*given, self._known_boot_ids()))
            return
        elif append.term > self.term or self.role is not Role.FOLLOWER or self.leader != origin:
            self._become_follower(now, append.term, origin)
        self.leader, self.leader_seen_at = origin, now
        self._reset_election_timer(now)
        good, last = self._merge_entries(append)
        self._finish_recovery()
        learns = self.role is Role.RECOVERING
        self._send(
            origin,
            AppendReply(self.epoch, self.term, good, last, append.sent_ms, learns, self._known_boot_ids()),
        )

    def _merge_entries(self, append: AppendEntries) -> tuple[bool, int]:
        """Whether the entries follow on what is held, and up to where both agree."""
        held = self.log.merge(append.last_index, append.last_term, append.entries)
        if held is None:
            if append.last_index == self.rejected_index and append.last_index > self.log.last_index:
                self.snapshot_peer = self.leader  # it can't go further back: only its whole state helps
            self.rejected_index = append.last_index
            return False, max(self.log.commit_index, min(self.log.last_index, append.last_index - 1))
        self.snapshot_peer, self.rejected_index = None, -1
        self.log.commit_until(min(append.commit_index, held), self.on_commit)
        return True, held

    def _on_append_reply(self, now: int, origin: int, tell: AppendReply) -> None:
        if tell.epoch != self.epoch:
            return
        if tell.term > self.term and self.role is not Role.RECOVERING:
            self._become_follower(now, tell.term, -1)
        if self.role is not Role.LEADER or tell.term != self.term:
            return
        self.acked_at[origin], self.boot_id_views[origin] = now, tell.boot_ids
        passed = ((now // 1000) - tell.sent_ms) & 0xFFFFFFFF
        if not tell.is_recovering and passed < 60_000:
            self.confirmed_at[origin] = max(self.confirmed_at.get(origin, 0), now - (passed + 1) * 1000)
        if not tell.success:
            self.next_index[origin] = max(
                self.log.snapshot_position[2] + 1, min(self.next_index[origin] - 1, tell.last_index + 1)
            )
            return
        self.next_index[origin] = max(self.next_index[origin], tell.last_index + 1)
        if not tell.is_recovering:
            self.caught_up.add(origin)
            self.match_index[origin] = max(self.match_index[origin], tell.last_index)
            self._advance_commit_index()
        if self.next_index[origin] <= self.log.last_index:
            self._send_entries(origin)

    def _advance_commit_index(self) -> None:
        sound = self._without_stale(
            {n for n in self.peers if self.match_index.get(n, 0) > self.log.commit_index}
        )
        held = sorted(
            [self.log.last_index, *(self.match_index[n] if n in sound else 0 for n in self.peers)],
            reverse=True,
        )
        index = held[self.quorum - 1]
        if index > self.log.commit_index and self.log.term_at(index) == self.term:  # earlier terms come along
            self.log.commit_until(index, self.on_commit)

    # --- Time.

    def tick(self, now: int) -> None:
        self.now = now
        if self.role is Role.RECOVERING:
            if now < self.heartbeat_due_at:
                return
            self.heartbeat_due_at = now + self.timing.recovery_interval_us
            if (
                self.recovery_target is not None
                and now - self.leader_seen_at > self.timing.election_timeout_us
            ):
                self._restart_recovery(now)  # the leader that vouched is gone: ask again
            waited = min((now - self.recovering_since) // 1000, 0xFFFFFFFF)
            for number in self.peers:
                self._send(number, RecoveryRequest(self.nonce, waited, self.position, self.promised_epoch))
            self._propose_epoch(now)
        elif self.role is Role.LEADER:
            alive = sum(now - at < 2 * self.timing.election_timeout_us for at in self.acked_at.values())
            if alive + 1 < self.quorum:  # cut off: others may have a leader by now
                self._become_follower(now, self.term, -1)
                self.leader_seen_at = now
            elif now >= self.heartbeat_due_at:
                self._send_heartbeats(now)
        elif now >= self.election_due_at and not self.has_resigned:
            self.leader = -1
            self.campaign(now, is_prevote=True)
            lonely = self._leaderless_us(now)
            if lonely >= self.timing.quarantine_us:  # told unasked: who decides to begin anew has to know
                given = 0, self.epoch, self.term, False, self.log.last_index, min(lonely // 1000, 0xFFFFFFFF)
                for number in self.peers:
                    self._send(number, RecoveryReply(*given))
                self._propose_epoch(now)

    def _send(self, target: int, message: Message) -> None:
        self.outbox.append((target, message))
