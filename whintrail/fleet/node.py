"""A gateway's node in its fleet: membership, consensus if it is a voter, the replicated state, own requests.

Without I/O: the caller passes datagrams to `receive`, calls `tick` a few times a second, and sends what
`flush` returns. Limits from the operator's file bound what a node sends, whatever the size of the fleet; the
least urgent messages are left out first.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from whintrail.fleet.consensus import Consensus, ConsensusTiming, Role
from whintrail.fleet.leader import NO_ZONE, EngineAvailability, Leader, LeaderRules
from whintrail.fleet.leader_client import LeaderClient, RequestOutcome
from whintrail.fleet.membership import Membership, MembershipTiming, MemberState
from whintrail.fleet.replica import Replica
from whintrail.fleet.state import (
    STATUS_NAMES,
    AdvanceRelease,
    DeclareLost,
    DrainEngine,
    DropVersion,
    EnterVersion,
    FinishDrain,
    FleetState,
    FreeSlot,
    GrantSlot,
    ProposeVersion,
    SetReleaseStatus,
    SettleVersion,
    StartRelease,
    UndrainEngine,
)
from whintrail.fleet.wire import (
    RETRY_LATER,
    Ack,
    AnyMessage,
    AppendEntries,
    AppendReply,
    CatchUpRequest,
    Change,
    ChangeReply,
    ChangeRequest,
    CommittedEntries,
    Entry,
    EpochProposal,
    EpochReply,
    GatewayReport,
    IndirectPing,
    LeadEpoch,
    LeaseReply,
    LeaseRequest,
    Leave,
    Message,
    Nack,
    Ping,
    Progress,
    RecoveryReply,
    RecoveryRequest,
    ReportRequest,
    SnapshotChunk,
    VoteReply,
    VoteRequest,
    WireError,
    decode,
    encode,
    fleet_id,
)
from whintrail.versions.member import VersionTiming
from whintrail.versions.rules import Rules
from whintrail.versions.service import VersionService

CONSENSUS_MESSAGES = (
    RecoveryRequest,
    RecoveryReply,
    VoteRequest,
    VoteReply,
    AppendEntries,
    AppendReply,
    EpochProposal,
    EpochReply,
    LeadEpoch,
)
MEMBERSHIP_MESSAGES = (Ping, Ack, IndirectPing, Nack, Leave)
# Messages with a smaller number are sent first.
SEND_PRIORITY: dict[type, int] = {
    CommittedEntries: 2,
    ChangeReply: 2,
    ChangeRequest: 2,
    ReportRequest: 2,
    GatewayReport: 3,
    CatchUpRequest: 4,
    SnapshotChunk: 4,
}
SEND_PRIORITY |= {LeaseRequest: 1, LeaseReply: 1}
CONSENSUS_PRIORITY = 0
MEMBERSHIP_PRIORITY = 1
REPLICA_PRIORITY = 4
LOWEST_PRIORITY = 5  # settings bodies and engine lists
REPORT_INTERVAL_US = 500_000
REPORT_REQUEST_TTL_US = 4_000_000  # gateways report for so long after a request
REBROADCAST_INTERVAL_US = 200_000
REBROADCASTS = 3  # of each committed entry
SECOND_US = 1_000_000
MAX_U32 = 0xFFFFFFFF
MAX_BUSY_DRAINS = 8  # in a report, by the wire format
MAX_CLASSES = 4  # in a report, by the wire format


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The fleet's settings, from the operator's file and the configuration."""

    name: str
    local_number: int
    size: int
    voters: tuple[int, ...]  # the setting `council`
    build: str = ""
    zone: int = NO_ZONE
    zones: tuple[str, ...] = ()
    rules: LeaderRules = field(default_factory=LeaderRules)
    membership_timing: MembershipTiming = field(default_factory=MembershipTiming)
    consensus_timing: ConsensusTiming = field(default_factory=ConsensusTiming)
    slot_use_us: int = 1_500_000
    messages_per_s: float = 400.0
    bytes_per_s: float = 40_000.0
    versions: VersionTiming | None = None  # None: settings have no versions


class LocalGateway(Protocol):
    """What the node needs to know of its own gateway."""

    def serving_ms(self, now: int) -> int:
        """For how long it has served; 0: not yet or no longer."""
        ...

    def open_attempts(self, engine: str) -> int:
        """The number of its attempts that run on the engine."""
        ...

    def outcome_counts(self) -> tuple[tuple[int, int, int, int], ...]:
        """Taken, failed, refused and late queries since the start, by class."""
        ...

    def engines(self) -> dict[str, EngineAvailability]:
        """The engines of its list, by name."""
        ...

    def check_body(self, body: Rules) -> str:
        """Why the gateway can't use a settings version; empty if it can."""
        ...


@dataclass(slots=True)
class SendBudget:
    """A token bucket of messages and of bytes, with a burst of one second's worth."""

    messages_per_s: float
    bytes_per_s: float
    messages: float = 0.0
    bytes: float = 0.0
    refilled_at: int = 0

    def refill(self, now: int) -> None:
        """Adds the tokens of the time since the last call."""
        elapsed_s, self.refilled_at = max(0, now - self.refilled_at) / 1e6, now
        self.messages = min(self.messages_per_s, self.messages + elapsed_s * self.messages_per_s)
        self.bytes = min(self.bytes_per_s, self.bytes + elapsed_s * self.bytes_per_s)

    def take(self, size_bytes: int) -> bool:
        """Takes the tokens for one message, if there are enough."""
        if self.messages < 1 or self.bytes < size_bytes:
            return False
        self.messages -= 1
        self.bytes -= size_bytes
        return True


EventLogger = Callable[[str, dict[str, object]], None]


@dataclass(slots=True)
class Rebroadcast:
    """A broadcast of committed entries that is repeated, since datagrams may be lost."""

    prev_index: int
    remaining: int
    due_at: int


class FleetNode:
    """A gateway's participation in the fleet."""

    def __init__(
        self,
        config: FleetConfig,
        boot_id: int,
        incarnation: int,
        now: int,
        random: Random,
        local: LocalGateway,
        wall_ms: Callable[[], int],
        log_event: EventLogger,
    ) -> None:
        self.config, self.boot_id, self.random, self.local = config, boot_id, random, local
        self.wall_ms, self.log_event = wall_ms, log_event
        self.fleet = fleet_id(config.name)
        self.membership = Membership(
            config.local_number,
            config.size,
            boot_id,
            incarnation,
            now,
            random,
            config.membership_timing,
            self.progress,
        )
        self.replica = Replica(random, self._on_applied)
        self.consensus: Consensus | None = None
        if config.local_number in config.voters:
            self.consensus = Consensus(
                config.local_number,
                config.voters,
                now,
                random,
                self.replica.apply,
                self.replica.begin_epoch,
                lambda: self.replica.position,
                boot_id,
                config.consensus_timing,
            )
        self.leader: Leader | None = None
        self.leader_client = LeaderClient(config.local_number, boot_id, random, config.slot_use_us)
        self.settings: VersionService | None = None
        if config.versions is not None:
            self.settings = VersionService(
                config.versions, config.local_number, random, local.check_body, self.membership, self._send
            )
        self.known_leader = (0, 0, -1)  # epoch, term and number of the latest known leader
        self.leader_seen_at = now
        self.send_budget = SendBudget(config.messages_per_s, config.bytes_per_s, refilled_at=now)
        self.send_budget.refill(now + SECOND_US)
        self.send_budget.refilled_at = now
        self.counters: Counter[str] = Counter()
        self.outbox: list[tuple[int | None, AnyMessage]] = []
        self.reports_wanted_until, self.report_due_at = now, now
        self.reports_requested_at = now - SECOND_US
        self.rebroadcasts: list[Rebroadcast] = []
        self.now = now

    # --- Queries.

    @property
    def state(self) -> FleetState:
        """The replicated state as known here."""
        return self.replica.state

    def progress(self) -> Progress:
        """The local replication progress, sent with each ping and ack."""
        return Progress(
            self.replica.position, self.replica.digest, self.known_leader[2], self.known_leader[1]
        )

    @property
    def is_leader(self) -> bool:
        """Whether this gateway is the leader, as far as it knows."""
        return self.consensus is not None and self.consensus.role is Role.LEADER

    def current_leader(self, now: int) -> int | None:
        """The number of the leader, if one is known."""
        if self.is_leader:
            return self.config.local_number
        number = self.known_leader[2]
        if number < 0 or number == self.config.local_number:
            return None
        member = self.membership.members[number]
        # A suspect may still answer. A leader never heard from is accepted too: a new process would otherwise
        # need a probe round, one second for each member, until it hears from the leader.
        if member.boot_id and member.state not in (MemberState.ALIVE, MemberState.SUSPECT):
            return None
        return number

    def drained_engines(self) -> frozenset[str]:
        """Engines that must not get new attempts."""
        drained = frozenset(self.state.drains)
        return drained if self.settings is None else drained | self.settings.engine_list.excluded_engines

    # --- Received messages.

    def receive(self, now: int, sender: int, data: bytes) -> None:
        """Handles a datagram from the address of gateway `sender`; an invalid one is counted and dropped."""
        try:
            envelope = decode(self.fleet, data)
        except WireError as error:
            self.counters[f"dropped_{error}"] += 1
            return
        if envelope.sender != sender or sender == self.config.local_number:
            self.counters["dropped_sender"] += 1
            return
        self.now = now
        self.counters["heard"] += 1
        boot_id, message = envelope.boot_id, envelope.message
        if not self.membership.receive(now, sender, boot_id, envelope.incarnation, message):
            self.counters["dropped_successor"] += 1
            return
        if isinstance(message, Ping | Ack):
            self._observe_leader(
                now, message.progress.position[0], message.progress.term, message.progress.leader
            )
            self.replica.receive_progress(now, sender, message.progress)
        elif isinstance(message, CONSENSUS_MESSAGES):
            if self.consensus is not None:
                if isinstance(message, AppendEntries):
                    self._observe_leader(now, message.epoch, message.term, sender)
                self.consensus.receive(now, sender, boot_id, message)
        else:
            self._dispatch(now, sender, boot_id, message)
        self._update_role(now)

    def _observe_leader(self, now: int, epoch: int, term: int, leader: int) -> None:
        if leader < self.config.size and (epoch, term) >= self.known_leader[:2] and leader >= 0:
            self.known_leader, self.leader_seen_at = (epoch, term, leader), now

    def _dispatch(self, now: int, sender: int, boot_id: int, message: AnyMessage) -> None:
        match message:
            case CommittedEntries():
                self.replica.receive(now, sender, message)
            case SnapshotChunk():
                self.replica.receive(now, sender, message)
            case CatchUpRequest():
                self.replica.receive_pull(sender, self.known_leader[2], message)
            case ReportRequest(epoch, term):
                self._observe_leader(now, epoch, term, sender)
                self.reports_wanted_until = now + REPORT_REQUEST_TTL_US
                self.report_due_at = min(
                    self.report_due_at, now + self.random.randrange(REPORT_INTERVAL_US // 2)
                )
            case GatewayReport():
                if self.leader is not None:
                    self.leader.receive_report(now, sender, boot_id, message)
            case ChangeRequest():
                if self.leader is not None and self.is_leader:
                    self.leader.receive_request(now, sender, boot_id, message)
                else:
                    self._send(sender, ChangeReply(message.id, RETRY_LATER, 0, "it does not lead"))
            case ChangeReply():
                self.leader_client.receive_reply(now, message, self.state)
            case _:
                if self.settings is not None:
                    self.settings.handle_message(now, sender, boot_id, message)

    # --- State changes.

    def _on_applied(self, entry: Entry, refused: str) -> None:
        command = entry.command
        if self.leader is not None:
            self.leader.on_applied(entry.index, command, refused)
        if not refused:
            self._log_command(command)

    def _log_command(self, command: object) -> None:
        """Logs and counts each committed decision, on every gateway."""
        match command:
            case GrantSlot(number, _, _, release):
                slot = self.state.slots.get(number)
                fence = slot.fence if slot is not None else 0
                self._log("slot granted", member=number, fence=fence, release=release)
            case FreeSlot(number, fence, why):
                self._log("slot free", member=number, fence=fence, why=why)
            case DeclareLost(number):
                self._log("gateway given up", member=number)
            case DrainEngine(engine, why):
                self._log("engine drained", engine=engine, why=why)
            case UndrainEngine(engine, why):
                self._log("engine undrained", engine=engine, why=why)
            case FinishDrain(engine):
                self._log("engine drain done", engine=engine)
            case StartRelease(build, steps, _, _, _):
                self._log("release started", build=build, steps=len(steps))
            case AdvanceRelease(release, step, _):
                self._log("release step", release=release, step=step + 1)
            case ProposeVersion(number, _, by, why):
                self._log("version proposed", version=number, by=by, why=why)
            case EnterVersion(number):
                self._log("version enters", version=number)
            case SettleVersion(number):
                self._log("version in force", version=number)
            case DropVersion(number, why):
                self._log("version dropped", version=number, why=why)
            case SetReleaseStatus(release, status, why):
                self._log(f"release {STATUS_NAMES[status]}", release=release, why=why)

    def _log_refusal(self, event: str, fields: dict[str, object]) -> None:
        self._log(event, **fields)

    def _log(self, event: str, **fields: object) -> None:
        self.counters[event.replace(" ", "_")] += 1
        self.log_event(event, fields)

    def _update_role(self, now: int) -> None:
        """Follows a change of the leader: takes up or ends the leader's duties, and fetches a snapshot."""
        consensus = self.consensus
        if consensus is None:
            return
        if consensus.snapshot_source is not None:
            if consensus.snapshot_source >= 0:
                self.replica.request_missing(now, consensus.snapshot_source)
            consensus.install_snapshot(self.replica.position)
        if self.is_leader and self.leader is None:
            leader_args = self.config.rules, self.config.zones, self.wall_ms, self._log_refusal
            self.leader = Leader(now, consensus, self.replica, self.membership, *leader_args)
            self.leader.engines = self.local.engines()
            self._observe_leader(now, consensus.epoch, consensus.term, self.config.local_number)
            self.reports_requested_at = now - SECOND_US
            if self.settings is not None:
                self.settings.become_leader(now, consensus)
            self._log("leads", term=consensus.term)
        elif not self.is_leader and self.leader is not None:
            self.leader = None
            if self.settings is not None:
                self.settings.leader = None
            self._log("leads no more")

    # --- Timers.

    def tick(self, now: int) -> None:
        """Runs the timers of all components."""
        self.now = now
        self.membership.tick(now)
        if self.consensus is not None:
            self.consensus.tick(now)
        self._update_role(now)
        if self.leader is not None:
            self._run_leader(now, self.leader)
        target = self.current_leader(now)
        for request in self.leader_client.due_requests(now, self.state, target is not None):
            if target == self.config.local_number and self.leader is not None:
                self.leader.receive_request(now, target, self.boot_id, request)
            elif target is not None:
                self._send(target, request)
        if now < self.reports_wanted_until and now >= self.report_due_at and target is not None:
            self.report_due_at = now + REPORT_INTERVAL_US
            if target != self.config.local_number:
                self._send(target, self.build_report(now))
        if self.settings is not None:
            self.settings.tick(now, self.state.versions, target)
        self._rebroadcast(now)

    def _run_leader(self, now: int, leader: Leader) -> None:
        leader.engines = self.local.engines()
        leader.receive_report(now, self.config.local_number, self.boot_id, self.build_report(now))
        leader.tick(now)
        for target, reply in leader.answers:
            if target == self.config.local_number:
                self.leader_client.receive_reply(now, reply, self.state)
            else:
                self._send(target, reply)
        leader.answers.clear()
        assert self.consensus is not None
        if (
            now < leader.reports_wanted_until or leader.has_open_work
        ) and now - self.reports_requested_at >= REPORT_REQUEST_TTL_US // 4:
            self.reports_requested_at = now
            self._send(None, ReportRequest(self.consensus.epoch, self.consensus.term))

    def build_report(self, now: int) -> GatewayReport:
        """This gateway's report to the leader."""
        position, held_slot, local = self.replica.position, self.leader_client.held_slot, self.local
        busy_drains = [d.fence for engine, d in self.state.drains.items() if local.open_attempts(engine)]
        return GatewayReport(
            position[0],
            position[1],
            position[2],
            self.config.build,
            self.config.zone,
            0 if self.leader_client.is_leaving else min(local.serving_ms(now), MAX_U32),
            held_slot.fence if held_slot is not None else 0,
            tuple(busy_drains[-MAX_BUSY_DRAINS:]),
            local.outcome_counts()[:MAX_CLASSES],
        )

    def _rebroadcast(self, now: int) -> None:
        """As leader, broadcasts newly committed entries to all gateways, several times."""
        if not self.is_leader:
            self.rebroadcasts.clear()
            return
        announced = max((r.prev_index for r in self.rebroadcasts), default=-1)
        if self.replica.recent_entries and self.replica.position[2] > max(announced, self.broadcast_index):
            self.rebroadcasts.append(Rebroadcast(self.broadcast_index, REBROADCASTS, now))
            self.broadcast_index = self.replica.position[2]
        for rebroadcast in list(self.rebroadcasts):
            if now < rebroadcast.due_at:
                continue
            rebroadcast.remaining -= 1
            rebroadcast.due_at = now + REBROADCAST_INTERVAL_US
            message = self.replica.entries_after(self.config.local_number, rebroadcast.prev_index)
            if message is not None:
                self._send(None, message)
            if rebroadcast.remaining <= 0 or message is None:
                self.rebroadcasts.remove(rebroadcast)

    broadcast_index = 0  # of the last entry that was broadcast

    # --- Requests to the leader.

    def submit(self, now: int, change: Change, timeout_s: float, retries: bool) -> int:
        """Sends a request to the leader; returns the key of its outcome, which comes within the timeout."""
        return self.leader_client.submit(now, change, now + int(timeout_s * 1e6), retries)

    def take_outcomes(self) -> list[RequestOutcome]:
        """Returns and clears the outcomes of requests."""
        outcomes, self.leader_client.outcomes = self.leader_client.outcomes, []
        return outcomes

    def leave(self, now: int) -> int:
        """Starts shutdown; returns the fence of the slot that this uses, or 0 without one."""
        fence = self.leader_client.leave(now, self.state)
        self.counters["left_by_slot" if fence else "left_without_slot"] += 1
        self.membership.leave(fence)
        if self.consensus is not None:
            self.consensus.resign(now)
        return fence

    # --- Sending.

    def _send(self, target: int | None, message: AnyMessage) -> None:
        self.outbox.append((target, message))

    def flush(self, now: int) -> list[tuple[int | None, bytes]]:
        """Returns the datagrams to send now, with their targets; None: all gateways."""
        waiting: list[tuple[int, int | None, Message]] = []
        if not (self.outbox or self.membership.outbox or self.replica.outbox) and self.consensus is None:
            return []  # the usual case
        if self.consensus is not None:
            waiting += [(CONSENSUS_PRIORITY, target, message) for target, message in self.consensus.outbox]
            self.consensus.outbox.clear()
        waiting += [(MEMBERSHIP_PRIORITY, target, message) for target, message in self.membership.outbox]
        self.membership.outbox.clear()
        waiting += [
            (SEND_PRIORITY.get(type(message), LOWEST_PRIORITY), target, message)
            for target, message in self.outbox
        ]
        self.outbox.clear()
        waiting += [(REPLICA_PRIORITY, target, message) for target, message in self.replica.outbox]
        self.replica.outbox.clear()
        if not waiting:
            return []
        self.send_budget.refill(now)
        sent: list[tuple[int | None, bytes]] = []
        for _, target, message in sorted(waiting, key=lambda item: item[0]):
            incarnation = self.membership.local.incarnation
            try:
                data = encode(self.fleet, self.config.local_number, self.boot_id, incarnation, message)  # type: ignore[arg-type]
            except WireError:
                self.counters["too_long"] += 1
                continue
            if self.send_budget.take(len(data)):
                sent.append((target, data))
                self.counters["sent"] += 1
                self.counters["sent_bytes"] += len(data)
            else:
                self.counters["held_back"] += 1
        return sent
