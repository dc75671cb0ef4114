"""A gateway's part in its fleet: membership, the council where it is of it, what is agreed, its own wishes.

Sans-I/O: `take` datagrams, `tick` a few times a second, send what `flush` gives. What it sends is bounded by
figures of the operator's file whatever the fleet's size: what matters least is left out first.
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
LOWEST_PRIORITY = 5  # bodies and lists
REPORT_INTERVAL_US, REPORT_REQUEST_TTL_US, REBROADCAST_INTERVAL_US = 500_000, 4_000_000, 200_000
REBROADCASTS = 3


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """What the operator's file and the configuration say of the fleet."""

    name: str
    local_number: int
    size: int
    voters: tuple[int, ...]
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
    """What a gateway knows of itself."""

    def serving_ms(self, now: int) -> int: ...
    def open_attempts(self, engine: str) -> int:
        """Attempts of its own that are out there."""
        ...

    def outcome_counts(self) -> tuple[tuple[int, int, int, int], ...]: ...
    def engines(self) -> dict[str, EngineAvailability]: ...
    def check_body(self, body: Rules) -> str:
        """Why this gateway can't act on a version; empty where it can."""
        ...


@dataclass(slots=True)
class SendBudget:
    """So many messages and bytes a second, and a second's worth at once."""

    messages_per_s: float
    bytes_per_s: float
    messages: float = 0.0
    bytes: float = 0.0
    refilled_at: int = 0

    def refill(self, now: int) -> None:
        passed, self.refilled_at = max(0, now - self.refilled_at) / 1e6, now
        self.messages = min(self.messages_per_s, self.messages + passed * self.messages_per_s)
        self.bytes = min(self.bytes_per_s, self.bytes + passed * self.bytes_per_s)

    def take(self, size_bytes: int) -> bool:
        if self.messages < 1 or self.bytes < size_bytes:
            return False
        self.messages -= 1
        self.bytes -= size_bytes
        return True


EventLogger = Callable[[str, dict[str, object]], None]


@dataclass(slots=True)
class Rebroadcast:
    """Decided entries are told to all, and again: any may be lost."""

    prev_index: int
    remaining: int
    due_at: int


class FleetNode:
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
        self.known_leader = (0, 0, -1)  # epoch, term and number of the newest leader heard of
        self.leader_seen_at = now
        self.send_budget = SendBudget(config.messages_per_s, config.bytes_per_s, refilled_at=now)
        self.send_budget.refill(now + 1_000_000)
        self.send_budget.refilled_at = now
        self.counters: Counter[str] = Counter()
        self.outbox: list[tuple[int | None, AnyMessage]] = []
        self.reports_wanted_until, self.report_due_at = now, now
        self.reports_requested_at = now - 1_000_000
        self.rebroadcasts: list[Rebroadcast] = []
        self.now = now

    # --- What is known here.

    @property
    def state(self) -> FleetState:
        return self.replica.state

    def progress(self) -> Progress:
        return Progress(
            self.replica.position, self.replica.digest, self.known_leader[2], self.known_leader[1]
        )

    @property
    def is_leader(self) -> bool:
        return self.consensus is not None and self.consensus.role is Role.LEADER

    def current_leader(self, now: int) -> int | None:
        """Who leads, as far as heard of within a few seconds."""
        if self.is_leader:
            return self.config.local_number
        number = self.known_leader[2]
        if number < 0 or number == self.config.local_number:
            return None
        member = self.membership.members[number]
        # Suspects may answer yet; and a newcomer that waited until it heard of the leader by its own probes
        # would wait for as many seconds as there are members.
        if member.boot_id and member.state not in (MemberState.ALIVE, MemberState.SUSPECT):
            return None
        return number

    def drained_engines(self) -> frozenset[str]:
        """Engines to which nothing new may go."""
        drained = frozenset(self.state.drains)
        return drained if self.settings is None else drained | self.settings.engine_list.excluded_engines

    # --- In.

    def receive(self, now: int, sender: int, data: bytes) -> None:
        """A datagram from the address of `origin`; whatever is wrong with it is counted and drops it."""
        try:
            letter = decode(self.fleet, data)
        except WireError as error:
            self.counters[f"dropped_{error}"] += 1
            return
        if letter.sender != sender or sender == self.config.local_number:
            self.counters["dropped_sender"] += 1
            return
        self.now = now
        self.counters["heard"] += 1
        boot_id, message = letter.boot_id, letter.message
        if not self.membership.receive(now, sender, boot_id, letter.incarnation, message):
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

    def _dispatch(self, now: int, origin: int, boot_id: int, message: AnyMessage) -> None:
        match message:
            case CommittedEntries():
                self.replica.receive(now, origin, message)
            case SnapshotChunk():
                self.replica.receive(now, origin, message)
            case CatchUpRequest():
                self.replica.receive_pull(origin, self.known_leader[2], message)
            case ReportRequest(epoch, term):
                self._observe_leader(now, epoch, term, origin)
                self.reports_wanted_until = now + REPORT_REQUEST_TTL_US
                self.report_due_at = min(
                    self.report_due_at, now + self.random.randrange(REPORT_INTERVAL_US // 2)
                )
            case GatewayReport():
                if self.leader is not None:
                    self.leader.receive_report(now, origin, boot_id, message)
            case ChangeRequest():
                if self.leader is not None and self.is_leader:
                    self.leader.receive_request(now, origin, boot_id, message)
                else:
                    self._send(origin, ChangeReply(message.id, 2, 0, "it does not lead"))
            case ChangeReply():
                self.leader_client.receive_reply(now, message, self.state)
            case _:
                if self.settings is not None:
                    self.settings.handle_message(now, origin, boot_id, message)

    # --- What changed.

    def _on_applied(self, entry: Entry, refused: str) -> None:
        command = entry.command
        if self.leader is not None:
            self.leader.on_applied(entry.index, command, refused)
        if not refused:
            self._log_command(command)

    def _log_command(self, command: object) -> None:
        """A line and a count for each decision, on every gateway that learns of it."""
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

    def _log_refusal(self, what: str, more: dict[str, object]) -> None:
        self._log(what, **more)

    def _log(self, what: str, **more: object) -> None:
        self.counters[what.replace(" ", "_")] += 1
        self.log_event(what, more)

    def _update_role(self, now: int) -> None:
        """After anything that may have changed who leads."""
        council = self.consensus
        if council is None:
            return
        if council.snapshot_source is not None:
            if council.snapshot_source >= 0:
                self.replica.request_missing(now, council.snapshot_source)
            council.install_snapshot(self.replica.position)
        if self.is_leader and self.leader is None:
            args = self.config.rules, self.config.zones, self.wall_ms, self._log_refusal
            self.leader = Leader(now, council, self.replica, self.membership, *args)
            self.leader.engines = self.local.engines()
            self._observe_leader(now, council.epoch, council.term, self.config.local_number)
            self.reports_requested_at = now - 1_000_000
            if self.settings is not None:
                self.settings.become_leader(now, council)
            self._log("leads", term=council.term)
        elif not self.is_leader and self.leader is not None:
            self.leader = None
            if self.settings is not None:
                self.settings.leader = None
            self._log("leads no more")

    # --- Time.

    def tick(self, now: int) -> None:
        self.now = now
        self.membership.tick(now)
        if self.consensus is not None:
            self.consensus.tick(now)
        self._update_role(now)
        if self.leader is not None:
            self._run_leader(now, self.leader)
        target = self.current_leader(now)
        for ask in self.leader_client.due_requests(now, self.state, target is not None):
            if target == self.config.local_number and self.leader is not None:
                self.leader.receive_request(now, target, self.boot_id, ask)
            elif target is not None:
                self._send(target, ask)
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
        for target, answer in leader.answers:
            if target == self.config.local_number:
                self.leader_client.receive_reply(now, answer, self.state)
            else:
                self._send(target, answer)
        leader.answers.clear()
        assert self.consensus is not None
        if (
            now < leader.reports_wanted_until or leader.has_open_work
        ) and now - self.reports_requested_at >= REPORT_REQUEST_TTL_US // 4:
            self.reports_requested_at = now
            self._send(None, ReportRequest(self.consensus.epoch, self.consensus.term))

    def build_report(self, now: int) -> GatewayReport:
        position, held, local = self.replica.position, self.leader_client.held_slot, self.local
        busy = [d.fence for engine, d in self.state.drains.items() if local.open_attempts(engine)]
        return GatewayReport(
            position[0],
            position[1],
            position[2],
            self.config.build,
            self.config.zone,
            0 if self.leader_client.is_leaving else min(local.serving_ms(now), 0xFFFFFFFF),
            held.fence if held is not None else 0,
            tuple(busy[-8:]),
            local.outcome_counts()[:4],
        )

    def _rebroadcast(self, now: int) -> None:
        """As the leader: tell all what was decided since it was last told, three times over."""
        if not self.is_leader:
            self.rebroadcasts.clear()
            return
        told = max((r.prev_index for r in self.rebroadcasts), default=-1)
        if self.replica.recent_entries and self.replica.position[2] > max(told, self.broadcast_index):
            self.rebroadcasts.append(Rebroadcast(self.broadcast_index, REBROADCASTS, now))
            self.broadcast_index = self.replica.position[2]
        for retell in list(self.rebroadcasts):
            if now < retell.due_at:
                continue
            retell.remaining -= 1
            retell.due_at = now + REBROADCAST_INTERVAL_US
            message = self.replica.entries_after(self.config.local_number, retell.prev_index)
            if message is not None:
                self._send(None, message)
            if retell.remaining <= 0 or message is None:
                self.rebroadcasts.remove(retell)

    broadcast_index = 0  # the last index of which all were told

    # --- Wishes.

    def submit(self, now: int, change: Change, timeout_s: float, retries: bool) -> int:
        """Ask the leader; the outcome comes by this key within so many seconds."""
        return self.leader_client.submit(now, change, now + int(timeout_s * 1e6), retries)

    def take_outcomes(self) -> list[RequestOutcome]:
        found, self.leader_client.outcomes = self.leader_client.outcomes, []
        return found

    def leave(self, now: int) -> int:
        """The process ends; the fence of its slot, or 0 where it has none that it may use."""
        fence = self.leader_client.leave(now, self.state)
        self.counters["left_by_slot" if fence else "left_without_slot"] += 1
        self.membership.leave(fence)
        if self.consensus is not None:
            self.consensus.resign(now)
        return fence

    # --- Out.

    def _send(self, target: int | None, message: AnyMessage) -> None:
        self.outbox.append((target, message))

    def flush(self, now: int) -> list[tuple[int | None, bytes]]:
        """Datagrams to send now; None: to all."""
        waiting: list[tuple[int, int | None, Message]] = []
        if not (self.outbox or self.membership.outbox or self.replica.outbox) and self.consensus is None:
            return []  # most turns
        if self.consensus is not None:
            waiting += [(0, target, message) for target, message in self.consensus.outbox]
            self.consensus.outbox.clear()
        waiting += [(1, target, message) for target, message in self.membership.outbox]
        self.membership.outbox.clear()
        waiting += [
            (SEND_PRIORITY.get(type(message), LOWEST_PRIORITY), target, message)
            for target, message in self.outbox
        ]
        self.outbox.clear()
        waiting += [(4, target, message) for target, message in self.replica.outbox]
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
