"""A member's side of settings versions: fetches and checks proposals, requests its lease, applies the rules.
Sans-I/O."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from whintrail.fleet.state import Version, VersionState
from whintrail.fleet.wire import BodyChunk, BodyRequest, LeaseReply, LeaseRequest
from whintrail.versions.lease import Phase, VersionLease
from whintrail.versions.rules import Rules, RulesError, decode, encode, transition_rules
from whintrail.versions.store import RulesStore

MAX_DECODED_RULES = 64
MAX_VETO_CHARS = 90
RulesCheck = Callable[[Rules], str]


@dataclass(frozen=True, slots=True)
class VersionTiming:
    """Durations of leases, checks and the engine list's staleness."""

    lease_us: int = 1_200_000  # from the sending of the request on
    renew_interval_us: int = 400_000
    check_timeout_us: int = 10_000_000  # for all members to report whether they can apply a proposal
    list_silence_timeout_us: int = 3_000_000  # after which the engine list is stale
    clock_slack_us: int = 150_000  # drift of clocks during a lease, plus one tick

    @property
    def max_divergence_us(self) -> int:
        """The longest time for which two gateways that hold leases can apply different rules."""
        return self.lease_us + self.clock_slack_us


class VersionMember:
    """One gateway's rules, verdicts on proposals, and lease."""

    def __init__(self, random: Random, check_rules: RulesCheck, timing: VersionTiming) -> None:
        self.timing, self.check_rules = timing, check_rules
        self.store, self.lease = RulesStore(random), VersionLease()
        self.rules_by_digest: dict[int, Rules] = {}  # decoded
        self.verdicts: dict[int, str] = {}  # by digest of a proposal: empty, or the reason for a veto
        self.next_request_at = 0
        self.last_request: tuple[int, bool, int, bool] = (0, False, 0, False)
        self.sent_at_by_stamp: dict[int, int] = {}

    # --- Rules.

    def store_rules(self, rules: Rules) -> int:
        """Returns the digest. Errors: RulesError if the encoded rules are too long."""
        return self.store.put(encode(rules))

    def rules_of(self, version: Version | None) -> Rules | None:
        """The rules of a version, of None the empty ones of version 0; None while they are being fetched."""
        if version is None:
            return Rules()
        rules = self.rules_by_digest.get(version.digest)
        data = self.store.held.get(version.digest) if rules is None else None
        if data is not None:
            try:
                rules = self.rules_by_digest[version.digest] = decode(data)
            except RulesError:
                return None  # every member that decoded these rules has vetoed them
        return rules

    def fetch_missing(self, versions: VersionState) -> None:
        """Begin to fetch the rules of the versions that are needed, and give up those that no longer are."""
        if versions.current is versions.next is None:
            self.store.fetching.clear()
            return
        needed = [v for v in (versions.current, versions.next, *versions.history[-1:]) if v is not None]
        for version in needed:
            self.store.fetch(version.digest, version.author)
        if not self.store.fetching and len(self.rules_by_digest) <= MAX_DECODED_RULES:
            return
        digests = {v.digest for v in needed}
        for key in [key for key in self.store.fetching if key not in digests]:
            del self.store.fetching[key]
        if len(self.rules_by_digest) > MAX_DECODED_RULES:
            self.rules_by_digest = {
                key: rules for key, rules in self.rules_by_digest.items() if key in digests
            }

    def due_pulls(self, now: int, holders: Sequence[int]) -> list[tuple[int, BodyRequest]]:
        """The requests for missing pieces to send now, with their targets."""
        return [
            (source, BodyRequest(key, index)) for source, key, index in self.store.due_requests(now, holders)
        ]

    def answer_pull(self, request: BodyRequest) -> BodyChunk | None:
        """The requested piece; None if its data is not held."""
        piece = self.store.read_piece(request.digest, request.chunk)
        return BodyChunk(request.digest, request.chunk, *piece) if piece is not None else None

    def receive_piece(self, now: int, origin: int, piece: BodyChunk) -> None:
        """Add a piece that another gateway sent."""
        self.store.receive_piece(now, origin, piece.digest, piece.chunk, piece.chunks, piece.data)

    def check_proposal(self, versions: VersionState) -> str | None:
        """Whether this gateway can apply the next version: empty if so, else the reason why not; None while
        its rules are being fetched."""
        version = versions.next
        if version is None:
            return None
        if version.digest not in self.verdicts:
            data, current = self.store.held.get(version.digest), self.rules_of(versions.current)
            if data is None or current is None:
                return None
            try:
                rules = decode(data)
                transition_rules(current, rules)
                verdict = self.check_rules(rules)
            except RulesError as error:
                verdict = str(error)
            self.verdicts = {version.digest: verdict[:MAX_VETO_CHARS]}
        return self.verdicts[version.digest]

    # --- Leases.

    def lease_request(self, now: int, versions: VersionState) -> LeaseRequest | None:
        """The request to send now, if one is due."""
        active, verdict = self.lease.active_version(now), self.check_proposal(versions)
        next_digest = versions.next.digest if versions.next is not None and verdict is not None else 0
        entering = active.leased and active.phase is Phase.ENTERING
        content = (versions.number, versions.entering, next_digest, entering)
        if now < self.next_request_at and content == self.last_request:  # changes are sent at once
            return None
        self.last_request, self.next_request_at = content, now + self.timing.renew_interval_us
        stamp = (now // 1000) & 0xFFFFFFFF
        self.sent_at_by_stamp[stamp] = now
        for expired in [s for s, at in self.sent_at_by_stamp.items() if now - at > self.timing.lease_us]:
            del self.sent_at_by_stamp[expired]
        return LeaseRequest(stamp, active.number, entering, next_digest, verdict or "")

    def apply_lease(self, now: int, grant: LeaseReply, versions: VersionState) -> None:
        """Renew the lease, counted from the sending of its request. The reply has to name the phase that this
        gateway knows, and the rules of that phase have to be held."""
        sent_at = self.sent_at_by_stamp.get(grant.sent_ms)
        if sent_at is None or (grant.number, grant.entering) != (versions.number, versions.entering):
            return
        rules_by_number = {versions.number: self.rules_of(versions.current)}
        if versions.next is not None and (versions.entering or self.check_proposal(versions) == ""):
            rules_by_number[versions.number + 1] = self.rules_of(versions.next)
        if versions.history or versions.number == 1:
            previous = versions.history[-1] if versions.history else None
            rules_by_number[versions.number - 1] = self.rules_of(previous)
        needed = [versions.number, versions.number + 1] if versions.entering else [versions.number]
        if any(rules_by_number.get(number) is None for number in needed):
            return
        known = {number: rules for number, rules in rules_by_number.items() if rules is not None}
        phase = Phase.SETTLED if versions.next is None else Phase.CHECKING
        phase = Phase.ENTERING if versions.entering else phase
        lease_us = min(self.timing.lease_us, grant.lease_ms * 1000)
        if sent_at + lease_us > now:
            self.lease.renew(versions.number, phase, sent_at + lease_us, known)
