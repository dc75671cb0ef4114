"""The leader's side of settings versions: grants leases and decides when a proposal enters, settles or is
dropped. Sans-I/O.

A new leader does not know the leases that a previous leader granted, so it lets the duration of one pass
before it settles anything.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from whintrail.fleet.state import DropVersion, EnterVersion, SettleVersion, VersionState
from whintrail.fleet.wire import LeaseReply, LeaseRequest
from whintrail.versions.member import VersionTiming

REPORT_FRESH_US = 1_500_000  # an older report of a member does not count
MAX_REASON_CHARS = 64
MAX_NAMED_MEMBERS = 6  # in the reason for a drop


@dataclass(slots=True)
class MemberReport:
    """A member's latest lease request, and the process that sent it."""

    received_at: int
    boot_id: int
    request: LeaseRequest


class VersionLeader:
    """The leader's record of lease requests and of the current phase."""

    def __init__(self, now: int, timing: VersionTiming) -> None:
        self.started_at, self.timing = now, timing
        self.reports: dict[int, MemberReport] = {}
        self.phase_started_at = now  # when this leader first saw the current phase
        self.observed_phase: tuple[int, int, bool] = (0, 0, False)

    def grant_lease(
        self,
        now: int,
        origin: int,
        boot_id: int,
        request: LeaseRequest,
        versions: VersionState,
        leadership_confirmed: bool,
    ) -> LeaseReply | None:
        """Record the member's report and grant its lease. `leadership_confirmed`: no other gateway can be
        leader now. Without that no lease is granted, since another leader could grant a conflicting one."""
        self.reports[origin] = MemberReport(now, boot_id, request)
        if not leadership_confirmed:
            return None
        return LeaseReply(request.sent_ms, versions.number, versions.entering, self.timing.lease_us // 1000)

    def _track_phase(self, now: int, versions: VersionState) -> None:
        phase = (versions.number, versions.next.digest if versions.next else 0, versions.entering)
        if phase != self.observed_phase:
            self.observed_phase, self.phase_started_at = phase, now

    def unready_members(
        self, now: int, versions: VersionState, alive: Iterable[int], boot_id_of: Callable[[int], int]
    ) -> list[int]:
        """Alive members that have not reported whether they can apply the proposal, or once it is entering,
        that they apply it."""
        version = versions.next
        assert version is not None
        unready = []
        for number in alive:
            report = self.reports.get(number)
            if (
                report is None
                or now - report.received_at > REPORT_FRESH_US
                or report.boot_id != boot_id_of(number)
            ):
                unready.append(number)
            elif versions.entering:
                if not (report.request.entering and report.request.number == versions.number):
                    unready.append(number)
            elif report.request.next_digest != version.digest:
                unready.append(number)
        return unready

    def tick(
        self,
        now: int,
        versions: VersionState,
        alive: Sequence[int],
        member_count: int,
        boot_id_of: Callable[[int], int],
    ) -> EnterVersion | DropVersion | SettleVersion | None:
        """The next command to propose, if it is time for one."""
        self._track_phase(now, versions)
        version = versions.next
        if version is None:
            return None
        unready = self.unready_members(now, versions, alive, boot_id_of)
        if versions.entering:
            all_ready = not unready and len(alive) == member_count
            # No lease on the previous phase was granted since this one began; by then all have expired.
            leases_expired = now - self.phase_started_at > self.timing.max_divergence_us
            return SettleVersion(version.number) if all_ready or leases_expired else None
        for number in sorted(self.reports):
            report = self.reports[number]
            fresh = now - report.received_at <= REPORT_FRESH_US and report.boot_id == boot_id_of(number)
            if fresh and report.request.next_digest == version.digest and report.request.veto:
                return DropVersion(version.number, f"n{number}: {report.request.veto}"[:MAX_REASON_CHARS])
        if not unready:
            return EnterVersion(version.number)
        if now - self.phase_started_at > self.timing.check_timeout_us:
            names = ", ".join(f"n{number}" for number in unready[:MAX_NAMED_MEMBERS])
            return DropVersion(version.number, f"no word of {names}"[:MAX_REASON_CHARS])
        return None
