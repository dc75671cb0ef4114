"""What the council's leader decides: who may go out, when a drain is done, how a release goes on. Sans-I/O.

Everything here that is not in the agreed state is seen anew by each leader: reports, zones, how long members
are proven, what a step's comparison shows. A leader that knows too little says *later*.
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


@dataclass(frozen=True, slots=True)
class LeaderRules:
    gateway_budget: DisruptionBudget = field(default_factory=lambda: DisruptionBudget(1, 1))
    engine_budget: DisruptionBudget = field(default_factory=lambda: DisruptionBudget(1, 1))
    report_max_age_us: int = 2_600_000  # a report older than that proves nothing
    min_serving_us: int = 3_000_000  # so long a new process has to have served
    leave_grace_us: int = 4_500_000  # whoever said that it ends has ended by then
    drain_abort_us: int = 2_000_000  # losses have used the budget for so long: a drain under way is undone
    comparison: ComparisonRules = field(default_factory=ComparisonRules)


@dataclass(slots=True)
class ReceivedReport:
    """The newest report of a member."""

    received_at: int
    boot_id: int
    report: GatewayReport


@dataclass(frozen=True, slots=True)
class EngineAvailability:
    """An engine as this gateway knows it. `out`: leaving by the list, or not fit, and why."""

    zone: str
    unavailable_reason: str = ""


@dataclass(slots=True)
class PendingCommand:
    """An ask whose command is on its way to being decided."""

    origin: int
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


LogEvent = tuple[str, dict[str, object]]  # for log and counters: what, and its particulars


@dataclass(slots=True)
class DrainProgress:
    """A drain as this leader follows it."""

    fence: int
    min_applied: int  # a report that has applied this much knows of the drain
    started_at: int
    overrun_logged: bool = False  # that it is past its limit
    budget_exhausted_since: int = 0  # that losses have used the budget


class Leader:
    """Made when this process becomes leader, dropped when it ceases to be."""

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
        self.compared_step: tuple[int, int] = (0, 0)  # the release and the step that it is of
        self.reports_wanted_until = now
        self.last_refusals: dict[int, str] = {}  # members, and why last

    # --- Members.

    def receive_report(self, now: int, origin: int, boot_id: int, report: GatewayReport) -> None:
        self.reports[origin] = ReceivedReport(now, boot_id, report)
        self.zone_indexes[origin] = report.zone
        release = self.replica.state.release
        if self.comparison is not None and release is not None and release.status == RUNNING:
            if report.serving_ms * 1000 >= self.rules.min_serving_us:  # not what a cold start costs
                self.comparison.add_report(origin, boot_id, report)

    def zone_name(self, number: int) -> str | None:
        index = self.zone_indexes.get(number, NO_ZONE)
        return self.zones[index] if index < len(self.zones) else None

    def unavailable_reason(self, now: int, number: int) -> str:
        """Empty for a gateway that is known to serve."""
        slot = self.replica.state.slots.get(number)
        if slot is not None:
            return f"slot {slot.fence}"
        member = self.membership.members[number]
        if member.state is not MemberState.ALIVE:
            return "never heard of" if not member.boot_id else member.state.name.lower()
        if number == self.consensus.local_number:
            return ""
        seen = self.reports.get(number)
        if (
            seen is None
            or seen.boot_id != member.boot_id
            or now - seen.received_at > self.rules.report_max_age_us
        ):
            return "no fresh report"
        if seen.report.serving_ms * 1000 < self.rules.min_serving_us:
            return "not proven"
        return ""

    def unavailable_gateways(self, now: int) -> list[Unavailable]:
        """Gateways that are out, those granted but not yet decided among them."""
        found = {}
        for member in self.membership.members:
            if why := self.unavailable_reason(now, member.number):
                found[member.number] = Unavailable(f"n{member.number}", self.zone_name(member.number), why)
        for command in self.consensus.uncommitted:
            if isinstance(command, GrantSlot):
                number = command.number
                found[number] = Unavailable(f"n{number}", self.zone_name(number), "slot on its way")
        return [found[number] for number in sorted(found)]

    def zone_sizes(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for number in range(len(self.membership.members)):
            if (zone := self.zone_name(number)) is not None:
                counts[zone] = counts.get(zone, 0) + 1
        return counts

    # --- What is asked.

    def receive_request(self, now: int, origin: int, boot_id: int, ask: ChangeRequest) -> None:
        self.reports_wanted_until = max(self.reports_wanted_until, now + 10_000_000)
        if any((p.origin, p.id) == (origin, ask.id) for p in self.pending.values()):
            return  # on its way
        change = ask.change
        match change:
            case SlotRequest():
                word, text, command = self._decide_slot(now, origin, boot_id, ask.id, change)
            case SlotReturn():
                word, text, command = self._decide_slot_return(origin, change)
            case DrainRequest():
                word, text, command = self._decide_drain(change)
            case UndrainRequest(engine, why):
                known = engine in self.replica.state.drains
                word, text, command = RETRY_LATER, "", UndrainEngine(engine, why) if known else None
                if not known:
                    word, text = DONE, "it is not drained"
            case ReleaseRequest():
                word, text, command = self._decide_release(change)
            case ReleaseStatusRequest(status, why):
                word, text, command = self._decide_release_status(status, why)
            case VersionRequest():
                word, text, command = self._decide_version(origin, change)
        if command is None:
            self._reply(origin, ask.id, word, self._current_fence(origin, boot_id, change), text)
            if word != DONE and self.last_refusals.get(origin) != text:  # once for each reason
                self.last_refusals[origin] = text
                self.log_event(f"{REQUEST_NAMES[type(change)]} refused", {"member": origin, "why": text})
        else:
            self._propose(now, command, PendingCommand(origin, ask.id, command))

    def _current_fence(self, origin: int, boot_id: int, change: object) -> int:
        slot = self.replica.state.slots.get(origin)
        if isinstance(change, SlotRequest):
            return slot.fence if slot is not None and slot.boot_id == boot_id else 0
        drain = self.replica.state.drains.get(change.engine) if isinstance(change, DrainRequest) else None
        return drain.fence if drain is not None else 0

    def _reply(self, origin: int, id: int, word: int, fence: int, text: str) -> None:
        self.answers.append((origin, ChangeReply(id, word, fence, text[:160])))

    def _propose(self, now: int, command: AnyCommand, pending: PendingCommand | None = None) -> None:
        index = self.consensus.propose(now, command)
        if index is not None and pending is not None and index not in self.pending:
            if index > self.replica.position[2]:
                self.pending[index] = pending
            else:  # a council of one has decided already
                self._reply_applied(pending, "")

    def on_applied(self, index: int, command: AnyCommand, refused: str) -> None:
        """An entry was applied; `refused`: why it changed nothing."""
        pending = self.pending.pop(index, None)
        if pending is not None:
            if pending.command == command:
                self._reply_applied(pending, refused)
            else:  # another leader's came instead
                self._reply(pending.origin, pending.id, RETRY_LATER, 0, "another leader decides")

    def _reply_applied(self, pending: PendingCommand, refused: str) -> None:
        command, state = pending.command, self.replica.state
        fence = 0
        if isinstance(command, GrantSlot) and (slot := state.slots.get(command.number)):
            fence = slot.fence
        if isinstance(command, DrainEngine) and (drain := state.drains.get(command.engine)):
            fence = drain.fence
        if isinstance(command, StartRelease) and state.release is not None:
            fence = state.release.id
        word = REFUSED if refused else DONE
        self._reply(pending.origin, pending.id, word, fence, refused)

    Decision = tuple[
        int, str, AnyCommand | None
    ]  # word and text of the answer, or the command that is proposed

    def _decide_slot(self, now: int, origin: int, boot_id: int, id: int, want: SlotRequest) -> "Decision":
        state = self.replica.state
        if want.boot_id != boot_id:
            return REFUSED, "asked for by an earlier process", None
        slot = state.slots.get(origin)
        if slot is not None:
            if (slot.boot_id, slot.request_id) == (boot_id, id):
                return DONE, "", None
            of = "an earlier process" if slot.boot_id != boot_id else "an earlier request"
            return RETRY_LATER, f"slot {slot.fence} of {of} is not free yet", None
        if any(isinstance(c, GrantSlot) for c in self.consensus.uncommitted):
            return RETRY_LATER, "another slot is being decided", None
        others = [out for out in self.unavailable_gateways(now) if out.name != f"n{origin}"]
        full = exhausted_budget(
            self.rules.gateway_budget,
            others,
            self.zone_name(origin),
            self.zone_sizes(),
            len(self.membership.members),
        )
        if full:
            return RETRY_LATER, full, None
        if kept := self._quorum_refusal(now, origin):
            return RETRY_LATER, kept, None
        release = 0
        under = state.release
        if under is not None and under.status != ENDED:
            is_new = want.build == under.build
            if under.status == HALTED:
                return RETRY_LATER, f"release {under.id} is halted: {under.status_reason}", None
            if under.status == ROLLING_BACK and is_new:
                release = under.id
            elif under.status == RUNNING and not is_new:
                on = self.members_on_build(now, under.build) | {
                    n for n, s in state.slots.items() if s.release
                }
                target = under.target_count(len(self.membership.members))
                if len(on) >= target:
                    return (
                        RETRY_LATER,
                        f"step {under.step + 1}: {len(on)} of {target} are on {under.build}",
                        None,
                    )
                if under.by_zone and (first := self._first_incomplete_zone(under, on)) not in (
                    "",
                    self.zone_name(origin),
                ):
                    return RETRY_LATER, f"step {under.step + 1}: zone {first} goes first", None
                release = under.id
        return DONE, "", GrantSlot(origin, boot_id, id, release, self.wall_ms())

    def _first_incomplete_zone(self, under: Release, on: set[int]) -> str:
        """The first zone that has not its share of this step on the new build."""
        for zone, size in sorted(self.zone_sizes().items()):
            if sum(self.zone_name(number) == zone for number in on) < under.target_count(size):
                return zone
        return ""

    def _quorum_refusal(self, now: int, origin: int) -> str:
        """Whoever restarts forgets: were most of the council to, nobody could vouch for what is agreed."""
        council = self.consensus
        if origin not in council.voters or not council.peers:
            return ""
        away = {n for n in council.unavailable_voters(now) if n != origin}
        away |= {n for n in council.voters if n != origin and self.unavailable_reason(now, n)}
        if len(away) + 1 <= len(council.voters) - council.quorum:
            return ""
        return "it is of the council, and away are " + ", ".join(f"n{n}" for n in sorted(away))

    def _decide_slot_return(self, origin: int, given: SlotReturn) -> "Decision":
        if given.by_operator:
            if given.number >= len(self.membership.members):
                return REFUSED, "no such gateway", None
            member = self.membership.members[given.number]
            if member.state is MemberState.ALIVE:
                return REFUSED, "it is alive: end it first", None
            slot = self.replica.state.slots.get(given.number)
            return DONE, "", DeclareLost(given.number, slot.boot_id if slot is not None else member.boot_id)
        slot = self.replica.state.slots.get(given.number)
        if slot is None or (given.fence and slot.fence != given.fence):
            return DONE, "no such slot", None
        if given.number != origin:
            return REFUSED, "not its own", None
        return DONE, "", FreeSlot(given.number, slot.fence, "not used")

    def _decide_drain(self, want: DrainRequest) -> "Decision":
        if want.engine in self.replica.state.drains:
            return DONE, "drained already", None
        if want.engine not in self.engines:
            return REFUSED, "no such engine in the list", None
        if (full := self._engine_budget_refusal(want.engine)) and not self.engines[
            want.engine
        ].unavailable_reason:
            return REFUSED, full, None  # one that is out anyway costs nothing more
        return (
            DONE,
            "",
            DrainEngine(want.engine, want.reason, want.limit_s, want.undo_at_limit, self.wall_ms()),
        )

    def _engine_budget_refusal(self, engine: str) -> str:
        """Why one more may not be out beside all others that are; empty if it may."""
        out = {
            name: Unavailable(name, seen.zone, seen.unavailable_reason or "drained")
            for name, seen in self.engines.items()
            if seen.unavailable_reason or name in self.replica.state.drains
        }
        for command in self.consensus.uncommitted:
            if isinstance(command, DrainEngine) and command.engine in self.engines:
                out[command.engine] = Unavailable(
                    command.engine, self.engines[command.engine].zone, "on its way"
                )
        out.pop(engine, None)
        sizes: dict[str, int] = {}
        for seen in self.engines.values():
            sizes[seen.zone] = sizes.get(seen.zone, 0) + 1
        zone = self.engines[engine].zone
        return exhausted_budget(self.rules.engine_budget, out.values(), zone, sizes, len(self.engines))

    def _decide_release(self, want: ReleaseRequest) -> "Decision":
        steps, under = want.steps, self.replica.state.release
        if list(steps) != sorted(set(steps)) or steps[-1] != 1000 or steps[0] <= 0:
            return REFUSED, "steps have to rise to the whole fleet", None
        if under is not None and under.status != ENDED:
            if (under.build, under.steps, under.reason, under.status) == (
                want.build,
                steps,
                want.reason,
                RUNNING,
            ):
                return DONE, "it is under way", None  # asked twice, as an answer may be lost
            return REFUSED, f"release {under.id} is {STATUS_NAMES[under.status]}", None
        return DONE, "", StartRelease(want.build, steps, want.reason, self.wall_ms(), want.by_zone)

    def _decide_release_status(self, status: int, why: str) -> "Decision":
        under = self.replica.state.release
        if under is None:
            return REFUSED, "no release", None
        if under.status == status:
            return DONE, f"it is {STATUS_NAMES[status]}", None
        return DONE, "", SetReleaseStatus(under.id, status, why)

    def _decide_version(self, origin: int, want: VersionRequest) -> "Decision":
        versions = self.replica.state.versions
        for version in (versions.next, versions.current):
            if version is not None and (version.number, version.digest) == (want.number, want.digest):
                return DONE, "", None  # asked twice, as an answer may be lost
        if versions.next is not None:
            return REFUSED, f"version {versions.next.number} is on its way", None
        if want.number != versions.number + 1:
            return REFUSED, f"version {versions.number} is in force: made on another", None
        return DONE, "", ProposeVersion(want.number, want.digest, origin, want.reason, self.wall_ms())

    # --- Time.

    def members_on_build(self, now: int, build: str) -> set[int]:
        """Members whose newest report told that build; one not heard of since counts still, unless a person
        has given it up."""
        lost = self.replica.state.lost_boot_ids
        return {
            number
            for number, seen in self.reports.items()
            if seen.report.build == build and lost.get(number) != seen.boot_id
        }

    @property
    def has_open_work(self) -> bool:
        """There is something to decide, so reports are wanted."""
        state = self.replica.state
        open_ = any(not drain.done for drain in state.drains.values())
        under = state.release
        return open_ or bool(state.slots) or (under is not None and under.status in (RUNNING, ROLLING_BACK))

    def tick(self, now: int) -> None:
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
        """A new process under its number has served for long enough. The old one's silence proves nothing."""
        seen, member = self.reports.get(number), self.membership.members[number]
        if (
            seen is None
            or seen.boot_id == slot.boot_id
            or now - seen.received_at > self.rules.report_max_age_us
        ):
            return False
        alive = member.state is MemberState.ALIVE and member.boot_id == seen.boot_id
        return alive and seen.report.serving_ms * 1000 >= self.rules.min_serving_us

    def drain_blockers(self, now: int, engine: str) -> list[int]:
        """Members that have not said that nothing of theirs is out there. Silence is no word: who is cut off
        from us may still send. Gone is who said that it ends, or for whom a person vouches."""
        watch = self._track_drain(now, engine, self.replica.state.drains[engine])
        left = []
        for member in self.membership.members:
            number = member.number
            if member.state is MemberState.LEAVING and now - member.since > self.rules.leave_grace_us:
                continue  # it said that it ends, and has had its time to
            if (
                member.state is not MemberState.ALIVE
                and self.replica.state.lost_boot_ids.get(number) == member.boot_id
            ):
                continue  # a person vouches for it
            seen, epoch = self.reports.get(number), self.replica.position[0]
            knows = (
                seen is not None
                and seen.received_at > watch.started_at
                and (not member.boot_id or seen.boot_id == member.boot_id)
                and seen.report.epoch == epoch
                and seen.report.applied >= watch.min_applied
            )
            if not knows or seen is None or watch.fence in seen.report.busy_drains:
                left.append(number)
        return left

    def _track_drain(self, now: int, engine: str, drain: Drain) -> DrainProgress:
        watch = self.drain_progress.get(engine)
        if watch is None or watch.fence != drain.fence:
            watch = self.drain_progress[engine] = DrainProgress(drain.fence, self.replica.position[2], now)
        return watch

    def _next_drain_command(self, now: int, engine: str, drain: Drain) -> AnyCommand | None:
        watch = self._track_drain(now, engine, drain)
        if drain.done:
            return None
        if not self.drain_blockers(now, engine):
            return FinishDrain(engine, drain.fence)
        full = self._engine_budget_refusal(engine) if engine in self.engines else ""
        watch.budget_exhausted_since = 0 if not full else watch.budget_exhausted_since or now
        if (
            full and now - watch.budget_exhausted_since > self.rules.drain_abort_us
        ):  # not for one lost answer somewhere
            return UndrainEngine(engine, f"halted: {full}"[:64])
        if drain.limit_s and now - watch.started_at > drain.limit_s * 1_000_000:
            if drain.undo_at_limit:
                return UndrainEngine(engine, "past its time")
            if not watch.overrun_logged:
                watch.overrun_logged = True
                self.log_event(
                    "drain past its time, held",
                    {"engine": engine, "waits_for": len(self.drain_blockers(now, engine))},
                )
        return None

    def _next_release_command(self, now: int) -> AnyCommand | None:
        under = self.replica.state.release
        assert under is not None
        slots = any(slot.release for slot in self.replica.state.slots.values())
        on = self.members_on_build(now, under.build)
        if under.status == ROLLING_BACK:
            known = sum(not self.unavailable_reason(now, m.number) for m in self.membership.members)
            if not slots and not on and known * 2 > len(self.membership.members):
                return SetReleaseStatus(under.id, ENDED, "back")
            return None
        if under.status != RUNNING:
            return None
        if self.comparison is None or self.compared_step[0] != under.id:
            self.comparison = BuildComparison(under.build, self.rules.comparison)
        if self.compared_step != (under.id, under.step):
            self.compared_step = (under.id, under.step)
            self.comparison.next_step()
        self.comparison.stored_baseline = under.baseline
        verdict, text = self.comparison.evaluate()
        if verdict is Verdict.HALT:
            return SetReleaseStatus(under.id, HALTED, text[:64])
        if (
            verdict is Verdict.GO
            and not slots
            and len(on) >= under.target_count(len(self.membership.members))
        ):
            if under.step + 1 < len(under.steps):
                return AdvanceRelease(under.id, under.step + 1, self.comparison.baseline_shares())
            return SetReleaseStatus(under.id, ENDED, text[:64])
        return None
