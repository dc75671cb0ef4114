"""Settings versions on a fleet node: the member's side, the leader's side while this process leads, and the
comparison of engine lists. Sans-I/O."""

from collections.abc import Callable, Sequence
from random import Random

from whintrail.fleet.consensus import Consensus
from whintrail.fleet.membership import Membership, MemberState
from whintrail.fleet.state import VersionState
from whintrail.fleet.wire import (
    AnyMessage,
    BodyChunk,
    BodyRequest,
    LeaseReply,
    LeaseRequest,
    ListExclusions,
    ListRequest,
    ListSummary,
)
from whintrail.versions.engine_list import EngineListState, ListComparison
from whintrail.versions.leader import VersionLeader
from whintrail.versions.member import RulesCheck, VersionMember, VersionTiming

LIST_DIGEST_FANOUT = 2  # members that get a list summary at a time
LIST_DIGEST_INTERVAL_US = 1_000_000
NAMES_PER_MESSAGE = 3
MAX_NAMES_SENT = 64
Send = Callable[[int | None, AnyMessage], None]


class VersionService:
    """Handles the messages and timers of settings versions and engine lists on a fleet node."""

    def __init__(
        self,
        timing: VersionTiming,
        local_number: int,
        random: Random,
        check_rules: RulesCheck,
        members: Membership,
        send: Send,
    ) -> None:
        self.timing, self.local_number, self.random = timing, local_number, random
        self.members, self.send = members, send
        self.member = VersionMember(random, check_rules, timing)
        self.engine_list = EngineListState(timing.list_silence_timeout_us)
        self.leader: VersionLeader | None = None
        self.consensus: Consensus | None = None
        self.committed = VersionState()
        self.next_list_digest_at = 0

    def become_leader(self, now: int, consensus: Consensus) -> None:
        """Start to grant leases; what a previous leader granted is unknown."""
        self.leader, self.consensus = VersionLeader(now, self.timing), consensus

    def alive_members(self) -> Sequence[int]:
        """The numbers of the alive members, the local one among them."""
        return self.members.by_state[MemberState.ALIVE]

    def boot_id_of(self, number: int) -> int:
        """The boot id of a member's latest known process; 0: never heard from."""
        return self.members.members[number].boot_id

    def unready_members(self, now: int) -> list[int]:
        """On the leader: the members for which a proposal waits."""
        if self.leader is None or self.committed.next is None:
            return []
        return self.leader.unready_members(now, self.committed, self.alive_members(), self.boot_id_of)

    def handle_message(self, now: int, origin: int, boot_id: int, message: AnyMessage) -> None:
        """Handle a message about versions or engine lists; others are ignored."""
        match message:
            case LeaseRequest():
                if self.leader is not None and self.consensus is not None:
                    confirmed = self.consensus.has_leader_lease(now)
                    reply = self.leader.grant_lease(now, origin, boot_id, message, self.committed, confirmed)
                    if reply is not None and origin == self.local_number:
                        self.member.apply_lease(now, reply, self.committed)
                    elif reply is not None:
                        self.send(origin, reply)
            case LeaseReply():
                self.member.apply_lease(now, message, self.committed)
            case BodyRequest():
                if (piece := self.member.answer_pull(message)) is not None:
                    self.send(origin, piece)
            case BodyChunk():
                self.member.receive_piece(now, origin, message)
            case ListSummary(generation, digest):
                if self.engine_list.compare(generation, digest) is ListComparison.BEHIND:
                    self.send(origin, ListRequest(self.engine_list.generation))
            case ListRequest(generation):
                if self.engine_list.generation > generation:
                    self._send_departing_engines(origin)
            case ListExclusions(generation, names):
                self.engine_list.apply_peer_exclusions(generation, names)

    def _send_departing_engines(self, origin: int) -> None:
        names = self.engine_list.departing_engines()[:MAX_NAMES_SENT]
        for first in range(0, len(names), NAMES_PER_MESSAGE):
            self.send(
                origin,
                ListExclusions(self.engine_list.generation, tuple(names[first : first + NAMES_PER_MESSAGE])),
            )

    def tick(self, now: int, committed: VersionState, leader_number: int | None) -> None:
        """`leader_number`: the current leader, if it is known."""
        self.committed = committed
        member = self.member
        member.fetch_missing(committed)
        if member.store.fetching:
            for source, pull in member.due_pulls(now, self.members.alive_peers()):
                self.send(source, pull)
        if now >= self.next_list_digest_at and self.engine_list.generation:
            self.next_list_digest_at = now + LIST_DIGEST_INTERVAL_US
            summary = ListSummary(self.engine_list.generation, self.engine_list.digest)
            peers = self.members.alive_peers()
            for peer in self.random.sample(peers, min(LIST_DIGEST_FANOUT, len(peers))):
                self.send(peer, summary)
        if leader_number is not None and (request := member.lease_request(now, committed)) is not None:
            if leader_number == self.local_number:
                self.handle_message(now, leader_number, self.boot_id_of(leader_number), request)
            else:
                self.send(leader_number, request)
        if self.leader is not None and self.consensus is not None and not self.consensus.uncommitted:
            member_count = len(self.members.members)
            command = self.leader.tick(now, committed, self.alive_members(), member_count, self.boot_id_of)
            if command is not None:
                self.consensus.propose(now, command)
