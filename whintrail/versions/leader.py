"""What the leader does with versions: leases, and when a proposal enters, settles or is dropped. Sans-I/O.

A new leader knows of no lease that another gave; it lets the time of one pass before anything is settled.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from whintrail.fleet.state import DropVersion, EnterVersion, SettleVersion, VersionState
from whintrail.fleet.wire import LeaseReply, LeaseRequest
from whintrail.versions.member import VersionTiming

REPORT_FRESH_US = 1_500_000


@dataclass(slots=True)
class MemberReport:
    received_at: int
    boot_id: int
    request: LeaseRequest


class VersionLeader:
    def __init__(self, now: int, timing: VersionTiming) -> None:
        self.started_at, self.timing = now, timing
        self.reports: dict[int, MemberReport] = {}
        self.phase_started_at = now  # when this leader first saw the phase that is on
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
        """`sure`: nobody else can lead at this moment. A lease that another leader's word contradicts would
        be worth nothing."""
        self.reports[origin] = MemberReport(now, boot_id, request)
        if not leadership_confirmed:
            return None
        return LeaseReply(request.sent_ms, versions.number, versions.entering, self.timing.lease_us // 1000)

    def _track_phase(self, now: int, versions: VersionState) -> None:
        phase = (versions.number, versions.next.digest if versions.next else 0, versions.entering)
        if phase != self.observed_phase:
            self.observed_phase, self.phase_started_at = phase, now

    def unready_members(
        self, now: int, versions: VersionState, alive: Iterable[int], birth_of: Callable[[int], int]
    ) -> list[int]:
        """Members that are there and have not said whether they can act on the proposal, or do act on it."""
        version = versions.next
        assert version is not None
        left = []
        for number in alive:
            heard = self.reports.get(number)
            if (
                heard is None
                or now - heard.received_at > REPORT_FRESH_US
                or heard.boot_id != birth_of(number)
            ):
                left.append(number)
            elif versions.entering:
                if not (heard.request.entering and heard.request.number == versions.number):
                    left.append(number)
            elif heard.request.next_digest != version.digest:
                left.append(number)
        return left

    def tick(
        self,
        now: int,
        versions: VersionState,
        alive: Sequence[int],
        member_count: int,
        birth_of: Callable[[int], int],
    ) -> EnterVersion | DropVersion | SettleVersion | None:
        self._track_phase(now, versions)
        version = versions.next
        if version is None:
            return None
        waiting = self.unready_members(now, versions, alive, birth_of)
        if versions.entering:
            everybody = not waiting and len(alive) == member_count
            # Leases on what was before: none is given since, and those given then have run out.
            over = now - self.phase_started_at > self.timing.max_divergence_us
            return SettleVersion(version.number) if everybody or over else None
        for number in sorted(self.reports):
            heard = self.reports[number]
            fresh = now - heard.received_at <= REPORT_FRESH_US and heard.boot_id == birth_of(number)
            if fresh and heard.request.next_digest == version.digest and heard.request.veto:
                return DropVersion(version.number, f"n{number}: {heard.request.veto}"[:64])
        if not waiting:
            return EnterVersion(version.number)
        if now - self.phase_started_at > self.timing.check_timeout_us:
            names = ", ".join(f"n{number}" for number in waiting[:6])
            return DropVersion(version.number, f"no word of {names}"[:64])
        return None
