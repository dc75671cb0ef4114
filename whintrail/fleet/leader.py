"""The leader's decisions: who may restart, when a drain is done, how a release proceeds. Without I/O.

Each leader collects anew what is not in the replicated state: reports, zones, how long gateways have
served, the results of a release step. A leader that knows too little answers RETRY_LATER.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from whintrail.fleet.budget import DisruptionBudget, Unavailable, exhausted_budget
from whintrail.fleet.consensus import Consensus, Role
from whintrail.fleet.membership import Membership, MemberState
from whintrail.fleet.release import BuildComparison, ComparisonRules, Verdict
from whintrail.fleet.replica import Replica
from whintrail.fleet.state import (
    DONE as ENDED,
)
from whintrail.fleet.state import (
    HALTED,
    ROLLING_BACK,
    RUNNING,
    STATUS_NAMES,
    AdvanceRelease,
    AnyCommand,
    DeclareLost,
    Drain,
    DrainEngine,
    FinishDrain,
    FreeSlot,
    GrantSlot,
    ProposeVersion,
    Release,
    SetReleaseStatus,
    Slot,
    StartRelease,
    UndrainEngine,
)
from whintrail.fleet.wire import (
    DONE,
    REFUSED,
    RETRY_LATER,
    Change,
    ChangeReply,
    ChangeRequest,
    DrainRequest,
    GatewayReport,
    ReleaseRequest,
    ReleaseStatusRequest,
    SlotRequest,
    SlotReturn,
    UndrainRequest,
    VersionRequest,
)

NO_ZONE = 255
REPORTS_WANTED_US = 10_000_000  # after a request
MAX_TEXT_CHARS = 160  # of a reply, by the wire format
MAX_REASON_CHARS = 64  # of a command, by the wire format


@dataclass(frozen=True, slots=True)
class LeaderRules:
    """The operator's limits for restarts, drains and releases."""

    gateway_budget: DisruptionBudget = field(default_factory=lambda: DisruptionBudget(1, 1))
    engine_budget: DisruptionBudget = field(default_factory=lambda: DisruptionBudget(1, 1))
    report_max_age_us: int = 2_600_000  # an older report proves nothing
    min_serving_us: int = 3_000_000  # before a new process counts as available
    leave_grace_us: int = 4_500_000  # a gateway that announced shutdown has ended by then
    drain_abort_us: int = 2_000_000  # a drain is undone after losses have used up the budget this long
    comparison: ComparisonRules = field(default_factory=ComparisonRules)


@dataclass(slots=True)
class ReceivedReport:
    """The latest report of a gateway."""

    received_at: int
    boot_id: int
    report: GatewayReport


@dataclass(frozen=True, slots=True)
class EngineAvailability:
    """An engine as this gateway knows it; `unavailable_reason` is empty while it is fit and not leaving."""

    zone: str
    unavailable_reason: str = ""


@dataclass(slots=True)
class PendingCommand:
    """A request whose command has been proposed but not committed yet."""

    sender: int
    id: int
    command: AnyCommand


# Names of the requests in log events; they are part of the operator's interface.
REQUEST_NAMES: dict[type[Change], str] = {
    SlotRequest: "slot",
    SlotReturn: "giveback",
    DrainRequest: "drain",
    UndrainRequest: "undrain",
    ReleaseRequest: "release",
    ReleaseStatusRequest: "turn",
    VersionRequest: "version",
}


LogEvent = tuple[str, dict[str, object]]  # name and fields, for the log and the counters


@dataclass(slots=True)
class DrainProgress:
    """A drain as this leader tracks it."""

    fence: int
    min_applied: int  # a report with at least this index knows of the drain
    started_at: int
    overrun_logged: bool = False
    budget_exhausted_since: int = 0  # by losses; 0: it is not


class Leader:
    """The duties of the leader; created when this process becomes leader, dropped when it steps down."""

    def __init__(
        self,
        now: int,
        consensus: Consensus,
        replica: Replica,
        membership: Membership,
        rules: LeaderRules,
        zones: tuple[str, ...],
        wall_ms: Callable[[], int],
        log_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self.started_at, self.consensus, self.replica, self.membership = now, consensus, replica, membership
        self.rules, self.zones, self.wall_ms, self.log_event = rules, zones, wall_ms, log_event
        self.reports: dict[int, ReceivedReport] = {}
        self.zone_indexes: dict[int, int] = {}
        self.engines: dict[str, EngineAvailability] = {}
        self.pending: dict[int, PendingCommand] = {}  # by index
        self.answers: list[tuple[int, ChangeReply]] = []
        self.drain_progress: dict[str, DrainProgress] = {}
        self.comparison: BuildComparison | None = None
        self.compared_step: tuple[int, int] = (0, 0)  # release and step of the comparison
        self.reports_wanted_until = now
        self.last_refusals: dict[int, str] = {}  # the last reason, by gateway

    # --- State of the gateways.

    def receive_report(self, now: int, sender: int, boot_id: int, report: GatewayReport) -> None:
        """Handles a gateway's report."""
        self.reports[sender] = ReceivedReport(now, boot_id, report)
        self.zone_indexes[sender] = report.zone
        release = self.replica.state.release
        if self.comparison is not None and release is not None and release.status == RUNNING:
            if report.serving_ms * 1000 >= self.rules.min_serving_us:  # leaves out the cost of a cold start
                self.comparison.add_report(sender, boot_id, report)

    def zone_name(self, number: int) -> str | None:
        """The zone of a gateway, if its report named one."""
        index = self.zone_indexes.get(number, NO_ZONE)
        return self.zones[index] if index < len(self.zones) else None

    def unavailable_reason(self, now: int, number: int) -> str:
        """Why a gateway counts as unavailable; empty if it is known to serve."""
        slot = self.replica.state.slots.get(number)
        if slot is not None:
            return f"slot {slot.fence}"
        member = self.membership.members[number]
        if member.state is not MemberState.ALIVE:
            return "never heard of" if not member.boot_id else member.state.name.lower()
        if number == self.consensus.local_number:
            return ""
        latest = self.reports.get(number)
        if (
            latest is None
            or latest.boot_id != member.boot_id
            or now - latest.received_at > self.rules.report_max_age_us
        ):
            return "no fresh report"
        if latest.report.serving_ms * 1000 < self.rules.min_serving_us:
            return "not proven"
        return ""

    def unavailable_gateways(self, now: int) -> list[Unavailable]:
        """The unavailable gateways, including those whose slot is proposed but not committed yet."""
        unavailable = {}
        for member in self.membership.members:
            if reason := self.unavailable_reason(now, member.number):
                unavailable[member.number] = Unavailable(
                    f"n{member.number}", self.zone_name(member.number), reason
                )
        for command in self.consensus.uncommitted:
            if isinstance(command, GrantSlot):
                number = command.number
                unavailable[number] = Unavailable(f"n{number}", self.zone_name(number), "slot on its way")
        return [unavailable[number] for number in sorted(unavailable)]

    def zone_sizes(self) -> dict[str, int]:
        """The number of gateways in each zone."""
        counts: dict[str, int] = {}
        for number in range(len(self.membership.members)):
            if (zone := self.zone_name(number)) is not None:
                counts[zone] = counts.get(zone, 0) + 1
        return counts

    # --- Requests.

    def receive_request(self, now: int, sender: int, boot_id: int, request: ChangeRequest) -> None:
        """Answers a request, or proposes its command and answers once that is applied."""
        self.reports_wanted_until = max(self.reports_wanted_until, now + REPORTS_WANTED_US)
        if any((p.sender, p.id) == (sender, request.id) for p in self.pending.values()):
            return  # already proposed
        change = request.change
        match change:
            case SlotRequest():
                status, text, command = self._decide_slot(now, sender, boot_id, request.id, change)
            case SlotReturn():
                status, text, command = self._decide_slot_return(sender, change)
            case DrainRequest():
                status, text, command = self._decide_drain(change)
            case UndrainRequest(engine, reason):
                is_drained = engine in self.replica.state.drains
                status, text, command = RETRY_LATER, "", UndrainEngine(engine, reason) if is_drained else None
                if not is_drained:
                    status, text = DONE, "it is not drained"
            case ReleaseRequest():
                status, text, command = self._decide_release(change)
            case ReleaseStatusRequest(new_status, reason):
                status, text, command = self._decide_release_status(new_status, reason)
            case VersionRequest():
                status, text, command = self._decide_version(sender, change)
        if command is None:
            self._reply(sender, request.id, status, self._current_fence(sender, boot_id, change), text)
            if status != DONE and self.last_refusals.get(sender) != text:  # logged once for each reason
                self.last_refusals[sender] = text
                self.log_event(f"{REQUEST_NAMES[type(change)]} refused", {"member": sender, "why": text})
        else:
            self._propose(now, command, PendingCommand(sender, request.id, command))

    def _current_fence(self, sender: int, boot_id: int, change: object) -> int:
        slot = self.replica.state.slots.get(sender)
        if isinstance(change, SlotRequest):
            return slot.fence if slot is not None and slot.boot_id == boot_id else 0
        drain = self.replica.state.drains.get(change.engine) if isinstance(change, DrainRequest) else None
        return drain.fence if drain is not None else 0

    def _reply(self, sender: int, id: int, status: int, fence: int, text: str) -> None:
        self.answers.append((sender, ChangeReply(id, status, fence, text[:MAX_TEXT_CHARS])))

    def _propose(self, now: int, command: AnyCommand, pending: PendingCommand | None = None) -> None:
        index = self.consensus.propose(now, command)
        if index is not None and pending is not None and index not in self.pending:
            if index > self.replica.position[2]:
                self.pending[index] = pending
            else:  # a single voter commits at once
                self._reply_applied(pending, "")

    def on_applied(self, index: int, command: AnyCommand, refused: str) -> None:
        """Answers the request behind an applied entry; `refused` is the reason if it changed nothing."""
        pending = self.pending.pop(index, None)
        if pending is not None:
            if pending.command == command:
                self._reply_applied(pending, refused)
            else:  # another leader's entry took its place
                self._reply(pending.sender, pending.id, RETRY_LATER, 0, "another leader decides")

    def _reply_applied(self, pending: PendingCommand, refused: str) -> None:
        command, state = pending.command, self.replica.state
        fence = 0
        if isinstance(command, GrantSlot) and (slot := state.slots.get(command.number)):
            fence = slot.fence
        if isinstance(command, DrainEngine) and (drain := state.drains.get(command.engine)):
            fence = drain.fence
        if isinstance(command, StartRelease) and state.release is not None:
            fence = state.release.id
        status = REFUSED if refused else DONE
        self._reply(pending.sender, pending.id, status, fence, refused)

    # Status and text of the reply, or the command to propose.
    Decision = tuple[int, str, AnyCommand | None]

    def _decide_slot(self, now: int, sender: int, boot_id: int, id: int, request: SlotRequest) -> "Decision":
        state = self.replica.state
        if request.boot_id != boot_id:
            return REFUSED, "asked for by an earlier process", None
        slot = state.slots.get(sender)
        if slot is not None:
            if (slot.boot_id, slot.request_id) == (boot_id, id):
                return DONE, "", None
            holder = "an earlier process" if slot.boot_id != boot_id else "an earlier request"
            return RETRY_LATER, f"slot {slot.fence} of {holder} is not free yet", None
        if any(isinstance(c, GrantSlot) for c in self.consensus.uncommitted):
            return RETRY_LATER, "another slot is being decided", None
        others = [gateway for gateway in self.unavailable_gateways(now) if gateway.name != f"n{sender}"]
        budget_refusal = exhausted_budget(
            self.rules.gateway_budget,
            others,
            self.zone_name(sender),
            self.zone_sizes(),
            len(self.membership.members),
        )
        if budget_refusal:
            return RETRY_LATER, budget_refusal, None
        if quorum_refusal := self._quorum_refusal(now, sender):
            return RETRY_LATER, quorum_refusal, None
        release_id = 0
        current = state.release
        if current is not None and current.status != ENDED:
            is_new = request.build == current.build
            if current.status == HALTED:
                return RETRY_LATER, f"release {current.id} is halted: {current.status_reason}", None
            if current.status == ROLLING_BACK and is_new:
                release_id = current.id
            elif current.status == RUNNING and not is_new:
                updated = self.members_on_build(now, current.build) | {
                    n for n, s in state.slots.items() if s.release
                }
                target = current.target_count(len(self.membership.members))
                if len(updated) >= target:
                    return (
                        RETRY_LATER,
                        f"step {current.step + 1}: {len(updated)} of {target} are on {current.build}",
                        None,
                    )
                if current.by_zone and (first := self._first_incomplete_zone(current, updated)) not in (
                    "",
                    self.zone_name(sender),
                ):
                    return RETRY_LATER, f"step {current.step + 1}: zone {first} goes first", None
                release_id = current.id
        return DONE, "", GrantSlot(sender, boot_id, id, release_id, self.wall_ms())

    def _first_incomplete_zone(self, current: Release, updated: set[int]) -> str:
        """The first zone that has too few gateways on the new build for this step; empty if none."""
        for zone, size in sorted(self.zone_sizes().items()):
            if sum(self.zone_name(number) == zone for number in updated) < current.target_count(size):
                return zone
        return ""

    def _quorum_refusal(self, now: int, sender: int) -> str:
        """Why a voter must not restart now; empty if it may.

        A voter that restarts loses its state. If a quorum did, the committed state could be lost.
        """
        consensus = self.consensus
        if sender not in consensus.voters or not consensus.peers:
            return ""
        unavailable = {n for n in consensus.unavailable_voters(now) if n != sender}
        unavailable |= {n for n in consensus.voters if n != sender and self.unavailable_reason(now, n)}
        if len(unavailable) + 1 <= len(consensus.voters) - consensus.quorum:
            return ""
        return "it is a voter that the quorum needs while these are unavailable: " + ", ".join(
            f"n{n}" for n in sorted(unavailable)
        )

    def _decide_slot_return(self, sender: int, request: SlotReturn) -> "Decision":
        if request.by_operator:
            if request.number >= len(self.membership.members):
                return REFUSED, "no such gateway", None
            member = self.membership.members[request.number]
            if member.state is MemberState.ALIVE:
                return REFUSED, "it is alive: end it first", None
            slot = self.replica.state.slots.get(request.number)
            return DONE, "", DeclareLost(request.number, slot.boot_id if slot is not None else member.boot_id)
        slot = self.replica.state.slots.get(request.number)
        if slot is None or (request.fence and slot.fence != request.fence):
            return DONE, "no such slot", None
        if request.number != sender:
            return REFUSED, "the slot belongs to another gateway", None
        return DONE, "", FreeSlot(request.number, slot.fence, "not used")

    def _decide_drain(self, request: DrainRequest) -> "Decision":
        if request.engine in self.replica.state.drains:
            return DONE, "drained already", None
        if request.engine not in self.engines:
            return REFUSED, "no such engine in the list", None
        if (refusal := self._engine_budget_refusal(request.engine)) and not self.engines[
            request.engine
        ].unavailable_reason:
            return REFUSED, refusal, None  # draining an unavailable engine costs no capacity
        return (
            DONE,
            "",
            DrainEngine(
                request.engine, request.reason, request.limit_s, request.undo_at_limit, self.wall_ms()
            ),
        )

    def _engine_budget_refusal(self, engine: str) -> str:
        """Why an engine may not become unavailable beside those that are; empty if it may."""
        unavailable = {
            name: Unavailable(name, availability.zone, availability.unavailable_reason or "drained")
            for name, availability in self.engines.items()
            if availability.unavailable_reason or name in self.replica.state.drains
        }
        for command in self.consensus.uncommitted:
            if isinstance(command, DrainEngine) and command.engine in self.engines:
                unavailable[command.engine] = Unavailable(
                    command.engine, self.engines[command.engine].zone, "on its way"
                )
        unavailable.pop(engine, None)
        zone_sizes: dict[str, int] = {}
        for availability in self.engines.values():
            zone_sizes[availability.zone] = zone_sizes.get(availability.zone, 0) + 1
        zone = self.engines[engine].zone
        return exhausted_budget(
            self.rules.engine_budget, unavailable.values(), zone, zone_sizes, len(self.engines)
        )

    def _decide_release(self, request: ReleaseRequest) -> "Decision":
        steps, current = request.steps, self.replica.state.release
        if list(steps) != sorted(set(steps)) or steps[-1] != 1000 or steps[0] <= 0:
            return REFUSED, "steps must increase and end with the whole fleet", None
        if current is not None and current.status != ENDED:
            if (current.build, current.steps, current.reason, current.status) == (
                request.build,
                steps,
                request.reason,
                RUNNING,
            ):
                return DONE, "it is under way", None  # a repeated request: the answer may have been lost
            return REFUSED, f"release {current.id} is {STATUS_NAMES[current.status]}", None
        return DONE, "", StartRelease(request.build, steps, request.reason, self.wall_ms(), request.by_zone)

    def _decide_release_status(self, status: int, reason: str) -> "Decision":
        current = self.replica.state.release
        if current is None:
            return REFUSED, "no release", None
        if current.status == status:
            return DONE, f"it is {STATUS_NAMES[status]}", None
        return DONE, "", SetReleaseStatus(current.id, status, reason)

    def _decide_version(self, sender: int, request: VersionRequest) -> "Decision":
        versions = self.replica.state.versions
        for version in (versions.next, versions.current):
            if version is not None and (version.number, version.digest) == (request.number, request.digest):
                return DONE, "", None  # a repeated request: the answer may have been lost
        if versions.next is not None:
            return REFUSED, f"version {versions.next.number} is on its way", None
        if request.number != versions.number + 1:
            return (
                REFUSED,
                f"version {versions.number} is in force: the proposal is based on another one",
                None,
            )
        return (
            DONE,
            "",
            ProposeVersion(request.number, request.digest, sender, request.reason, self.wall_ms()),
        )

    # --- Timers.

    def members_on_build(self, now: int, build: str) -> set[int]:
        """Gateways whose latest report names that build.

        A silent one still counts, unless an operator declared it lost.
        """
        lost = self.replica.state.lost_boot_ids
        return {
            number
            for number, latest in self.reports.items()
            if latest.report.build == build and lost.get(number) != latest.boot_id
        }

    @property
    def has_open_work(self) -> bool:
        """Whether there is something to decide, so that reports are needed."""
        state = self.replica.state
        has_open_drain = any(not drain.done for drain in state.drains.values())
        current = state.release
        return (
            has_open_drain
            or bool(state.slots)
            or (current is not None and current.status in (RUNNING, ROLLING_BACK))
        )

    def tick(self, now: int) -> None:
        """Proposes the next command that is due, one at a time."""
        if self.consensus.role is not Role.LEADER or self.consensus.uncommitted:
            return
        state = self.replica.state
        for number, slot in sorted(state.slots.items()):
            if self._has_restarted(now, number, slot):
                self._propose(now, FreeSlot(number, slot.fence, "back"))
                return
        for engine, drain in sorted(state.drains.items()):
            if (command := self._next_drain_command(now, engine, drain)) is not None:
                self._propose(now, command)
                return
        if state.release is not None and (command := self._next_release_command(now)) is not None:
            self._propose(now, command)

    def _has_restarted(self, now: int, number: int, slot: Slot) -> bool:
        """Whether a new process has served for long enough; silence of the old one proves nothing."""
        latest, member = self.reports.get(number), self.membership.members[number]
        if (
            latest is None
            or latest.boot_id == slot.boot_id
            or now - latest.received_at > self.rules.report_max_age_us
        ):
            return False
        is_alive = member.state is MemberState.ALIVE and member.boot_id == latest.boot_id
        return is_alive and latest.report.serving_ms * 1000 >= self.rules.min_serving_us

    def drain_blockers(self, now: int, engine: str) -> list[int]:
        """Gateways that have not confirmed that they have no attempts on the engine.

        A silent gateway blocks the drain, since it may be cut off and still send. Left out are gateways that
        announced shutdown, after a grace period, and those that an operator declared lost.
        """
        progress = self._track_drain(now, engine, self.replica.state.drains[engine])
        blockers = []
        for member in self.membership.members:
            number = member.number
            if member.state is MemberState.LEAVING and now - member.since > self.rules.leave_grace_us:
                continue  # it announced shutdown and has ended by now
            if (
                member.state is not MemberState.ALIVE
                and self.replica.state.lost_boot_ids.get(number) == member.boot_id
            ):
                continue  # declared lost by an operator
            latest, epoch = self.reports.get(number), self.replica.position[0]
            knows_drain = (
                latest is not None
                and latest.received_at > progress.started_at
                and (not member.boot_id or latest.boot_id == member.boot_id)
                and latest.report.epoch == epoch
                and latest.report.applied >= progress.min_applied
            )
            if not knows_drain or latest is None or progress.fence in latest.report.busy_drains:
                blockers.append(number)
        return blockers

    def _track_drain(self, now: int, engine: str, drain: Drain) -> DrainProgress:
        progress = self.drain_progress.get(engine)
        if progress is None or progress.fence != drain.fence:
            progress = self.drain_progress[engine] = DrainProgress(drain.fence, self.replica.position[2], now)
        return progress

    def _next_drain_command(self, now: int, engine: str, drain: Drain) -> AnyCommand | None:
        progress = self._track_drain(now, engine, drain)
        if drain.done:
            return None
        if not self.drain_blockers(now, engine):
            return FinishDrain(engine, drain.fence)
        refusal = self._engine_budget_refusal(engine) if engine in self.engines else ""
        progress.budget_exhausted_since = 0 if not refusal else progress.budget_exhausted_since or now
        # The delay tolerates a single lost answer.
        if refusal and now - progress.budget_exhausted_since > self.rules.drain_abort_us:
            return UndrainEngine(engine, f"halted: {refusal}"[:MAX_REASON_CHARS])
        if drain.limit_s and now - progress.started_at > drain.limit_s * 1_000_000:
            if drain.undo_at_limit:
                return UndrainEngine(engine, "past its time")
            if not progress.overrun_logged:
                progress.overrun_logged = True
                self.log_event(
                    "drain past its time, held",
                    {"engine": engine, "waits_for": len(self.drain_blockers(now, engine))},
                )
        return None

    def _next_release_command(self, now: int) -> AnyCommand | None:
        current = self.replica.state.release
        assert current is not None
        has_open_slots = any(slot.release for slot in self.replica.state.slots.values())
        updated = self.members_on_build(now, current.build)
        if current.status == ROLLING_BACK:
            available = sum(not self.unavailable_reason(now, m.number) for m in self.membership.members)
            if not has_open_slots and not updated and available * 2 > len(self.membership.members):
                return SetReleaseStatus(current.id, ENDED, "back")
            return None
        if current.status != RUNNING:
            return None
        if self.comparison is None or self.compared_step[0] != current.id:
            self.comparison = BuildComparison(current.build, self.rules.comparison)
        if self.compared_step != (current.id, current.step):
            self.compared_step = (current.id, current.step)
            self.comparison.next_step()
        self.comparison.stored_baseline = current.baseline
        verdict, text = self.comparison.evaluate()
        if verdict is Verdict.HALT:
            return SetReleaseStatus(current.id, HALTED, text[:MAX_REASON_CHARS])
        if (
            verdict is Verdict.GO
            and not has_open_slots
            and len(updated) >= current.target_count(len(self.membership.members))
        ):
            if current.step + 1 < len(current.steps):
                return AdvanceRelease(current.id, current.step + 1, self.comparison.baseline_shares())
            return SetReleaseStatus(current.id, ENDED, text[:MAX_REASON_CHARS])
        return None
