"""A gateway's part in the versions: it fetches and checks what is proposed, asks for its lease, and acts.
Sans-I/O."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from whintrail.fleet.state import Version, VersionState
from whintrail.fleet.wire import BodyChunk, BodyRequest, LeaseReply, LeaseRequest
from whintrail.versions.lease import Phase, VersionLease
from whintrail.versions.rules import Rules, RulesError, decode, encode, transition_rules
from whintrail.versions.store import RulesStore

RulesCheck = Callable[[Rules], str]


@dataclass(frozen=True, slots=True)
class VersionTiming:
    lease_us: int = 1_200_000  # of a rule, from the asking on
    renew_interval_us: int = 400_000
    check_timeout_us: int = 10_000_000  # for all to say whether they can act on a proposal
    list_silence_timeout_us: int = 3_000_000  # a bulletin that says nothing for so long: the list is old
    clock_slack_us: int = 150_000  # drift of clocks over a lease, and a turn

    @property
    def max_divergence_us(self) -> int:
        """No two gateways that hold leases act on different rules for longer than this."""
        return self.lease_us + self.clock_slack_us


class VersionMember:
    def __init__(self, random: Random, check_rules: RulesCheck, timing: VersionTiming) -> None:
        self.timing, self.check_rules = timing, check_rules
        self.store, self.lease = RulesStore(random), VersionLease()
        self.rules_by_digest: dict[int, Rules] = {}  # by digest, as read
        self.verdicts: dict[int, str] = {}  # by digest of a proposal: empty, or why not
        self.next_request_at = 0
        self.last_request: tuple[int, bool, int, bool] = (0, False, 0, False)  # with the last question
        self.sent_at_by_stamp: dict[int, int] = {}  # by stamp, when

    # --- Bodies.

    def store_rules(self, rules: Rules) -> int:
        """Errors: BodyError where it is too long."""
        return self.store.put(encode(rules))

    def rules_of(self, version: Version | None) -> Rules | None:
        """None while it is on its way. Version 0 has the empty one."""
        if version is None:
            return Rules()
        found = self.rules_by_digest.get(version.digest)
        data = self.store.held.get(version.digest) if found is None else None
        if data is not None:
            try:
                found = self.rules_by_digest[version.digest] = decode(data)
            except RulesError:
                return None  # it was vetoed by everybody who read it
        return found

    def fetch_missing(self, versions: VersionState) -> None:
        if versions.current is versions.next is None:
            self.store.fetching.clear()
            return
        known = [v for v in (versions.current, versions.next, *versions.history[-1:]) if v is not None]
        for version in known:
            self.store.fetch(version.digest, version.author)
        if not self.store.fetching and len(self.rules_by_digest) <= 64:
            return
        digests = {v.digest for v in known}
        for key in [key for key in self.store.fetching if key not in digests]:
            del self.store.fetching[key]
        if len(self.rules_by_digest) > 64:
            self.rules_by_digest = {key: body for key, body in self.rules_by_digest.items() if key in digests}

    def due_pulls(self, now: int, holders: Sequence[int]) -> list[tuple[int, BodyRequest]]:
        return [(of, BodyRequest(key, part)) for of, key, part in self.store.due_requests(now, holders)]

    def answer_pull(self, pull: BodyRequest) -> BodyChunk | None:
        piece = self.store.read_piece(pull.digest, pull.chunk)
        return BodyChunk(pull.digest, pull.chunk, *piece) if piece is not None else None

    def receive_piece(self, now: int, origin: int, piece: BodyChunk) -> None:
        self.store.receive_piece(now, origin, piece.digest, piece.chunk, piece.chunks, piece.data)

    def check_proposal(self, versions: VersionState) -> str | None:
        """Of the next version: empty where this gateway can act on it, else why not; None: not held yet."""
        version = versions.next
        if version is None:
            return None
        if version.digest not in self.verdicts:
            data, current = self.store.held.get(version.digest), self.rules_of(versions.current)
            if data is None or current is None:
                return None
            try:
                body = decode(data)
                transition_rules(current, body)
                found = self.check_rules(body)
            except RulesError as error:
                found = str(error)
            self.verdicts = {version.digest: found[:90]}
        return self.verdicts[version.digest]

    # --- Leases.

    def lease_request(self, now: int, versions: VersionState) -> LeaseRequest | None:
        rule, verdict = self.lease.active_version(now), self.check_proposal(versions)
        holds = versions.next.digest if versions.next is not None and verdict is not None else 0
        entering = rule.leased and rule.phase is Phase.ENTERING
        news = (versions.number, versions.entering, holds, entering)
        if now < self.next_request_at and news == self.last_request:  # what is new is told at once
            return None
        self.last_request, self.next_request_at = news, now + self.timing.renew_interval_us
        stamp = (now // 1000) & 0xFFFFFFFF
        self.sent_at_by_stamp[stamp] = now
        for old in [s for s, at in self.sent_at_by_stamp.items() if now - at > self.timing.lease_us]:
            del self.sent_at_by_stamp[old]
        return LeaseRequest(stamp, rule.number, entering, holds, verdict or "")

    def apply_lease(self, now: int, grant: LeaseReply, versions: VersionState) -> None:
        """A lease counts from when it was asked for. What it names has to be what we know and hold."""
        sent = self.sent_at_by_stamp.get(grant.sent_ms)
        if sent is None or (grant.number, grant.entering) != (versions.number, versions.entering):
            return
        bodies = {versions.number: self.rules_of(versions.current)}
        if versions.next is not None and (versions.entering or self.check_proposal(versions) == ""):
            bodies[versions.number + 1] = self.rules_of(versions.next)
        if versions.history or versions.number == 1:
            last = versions.history[-1] if versions.history else None
            bodies[versions.number - 1] = self.rules_of(last)
        needed = [versions.number, versions.number + 1] if versions.entering else [versions.number]
        if any(bodies.get(number) is None for number in needed):
            return
        known = {number: body for number, body in bodies.items() if body is not None}
        phase = Phase.SETTLED if versions.next is None else Phase.CHECKING
        phase = Phase.ENTERING if versions.entering else phase
        lease = min(self.timing.lease_us, grant.lease_ms * 1000)
        if sent + lease > now:
            self.lease.renew(versions.number, phase, sent + lease, known)
