"""A gateway's part in the versions: it fetches and checks what is proposed, asks for its lease, and acts.
Sans-I/O."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from whintrail.fleet.state import Version, Versions
from whintrail.fleet.wire import BodyPiece, BodyPull, LeaseAsk, LeaseTell
from whintrail.versions.acting import Acting, Phase
from whintrail.versions.body import Body, BodyError, between, decode, encode
from whintrail.versions.parts import Parts

Check = Callable[[Body], str]


@dataclass(frozen=True, slots=True)
class VersionPace:
    lease_us: int = 1_200_000  # of a rule, from the asking on
    ask_us: int = 400_000
    check_us: int = 10_000_000  # for all to say whether they can act on a proposal
    list_silent_us: int = 3_000_000  # a bulletin that says nothing for so long: the list is old
    slack_us: int = 150_000  # drift of clocks over a lease, and a turn

    @property
    def stated_us(self) -> int:
        """No two gateways that hold leases act on different rules for longer than this."""
        return self.lease_us + self.slack_us


class Member:
    def __init__(self, random: Random, check: Check, pace: VersionPace) -> None:
        self.pace, self.check = pace, check
        self.parts, self.acting = Parts(random), Acting()
        self.bodies: dict[int, Body] = {}  # by digest, as read
        self.verdicts: dict[int, str] = {}  # by digest of a proposal: empty, or why not
        self.next_at = 0
        self.said: tuple[int, bool, int, bool] = (0, False, 0, False)  # with the last question
        self.asked: dict[int, int] = {}  # by stamp, when

    # --- Bodies.

    def put(self, body: Body) -> int:
        """Errors: BodyError where it is too long."""
        return self.parts.put(encode(body))

    def body(self, version: Version | None) -> Body | None:
        """None while it is on its way. Version 0 has the empty one."""
        if version is None:
            return Body()
        found = self.bodies.get(version.digest)
        data = self.parts.held.get(version.digest) if found is None else None
        if data is not None:
            try:
                found = self.bodies[version.digest] = decode(data)
            except BodyError:
                return None  # it was vetoed by everybody who read it
        return found

    def wanted(self, versions: Versions) -> None:
        if versions.current is versions.next is None:
            self.parts.fetching.clear()
            return
        known = [v for v in (versions.current, versions.next, *versions.before[-1:]) if v is not None]
        for version in known:
            self.parts.want(version.digest, version.by)
        if not self.parts.fetching and len(self.bodies) <= 64:
            return
        digests = {v.digest for v in known}
        for key in [key for key in self.parts.fetching if key not in digests]:
            del self.parts.fetching[key]
        if len(self.bodies) > 64:
            self.bodies = {key: body for key, body in self.bodies.items() if key in digests}

    def pulls(self, now: int, holders: Sequence[int]) -> list[tuple[int, BodyPull]]:
        return [(of, BodyPull(key, part)) for of, key, part in self.parts.due(now, holders)]

    def pulled(self, pull: BodyPull) -> BodyPiece | None:
        piece = self.parts.piece(pull.digest, pull.part)
        return BodyPiece(pull.digest, pull.part, *piece) if piece is not None else None

    def piece(self, now: int, origin: int, piece: BodyPiece) -> None:
        self.parts.take(now, origin, piece.digest, piece.part, piece.parts, piece.data)

    def verdict(self, versions: Versions) -> str | None:
        """Of the next version: empty where this gateway can act on it, else why not; None: not held yet."""
        version = versions.next
        if version is None:
            return None
        if version.digest not in self.verdicts:
            data, current = self.parts.held.get(version.digest), self.body(versions.current)
            if data is None or current is None:
                return None
            try:
                body = decode(data)
                between(current, body)
                found = self.check(body)
            except BodyError as error:
                found = str(error)
            self.verdicts = {version.digest: found[:90]}
        return self.verdicts[version.digest]

    # --- Leases.

    def ask(self, now: int, versions: Versions) -> LeaseAsk | None:
        rule, verdict = self.acting.rule(now), self.verdict(versions)
        holds = versions.next.digest if versions.next is not None and verdict is not None else 0
        entering = rule.leased and rule.phase is Phase.ENTERING
        news = (versions.number, versions.entering, holds, entering)
        if now < self.next_at and news == self.said:  # what is new is told at once
            return None
        self.said, self.next_at = news, now + self.pace.ask_us
        stamp = (now // 1000) & 0xFFFFFFFF
        self.asked[stamp] = now
        for old in [s for s, at in self.asked.items() if now - at > self.pace.lease_us]:
            del self.asked[old]
        return LeaseAsk(stamp, rule.number, entering, holds, verdict or "")

    def told(self, now: int, tell: LeaseTell, versions: Versions) -> None:
        """A lease counts from when it was asked for. What it names has to be what we know and hold."""
        sent = self.asked.get(tell.stamp)
        if sent is None or (tell.number, tell.entering) != (versions.number, versions.entering):
            return
        bodies = {versions.number: self.body(versions.current)}
        if versions.next is not None and (versions.entering or self.verdict(versions) == ""):
            bodies[versions.number + 1] = self.body(versions.next)
        if versions.before or versions.number == 1:
            last = versions.before[-1] if versions.before else None
            bodies[versions.number - 1] = self.body(last)
        needed = [versions.number, versions.number + 1] if versions.entering else [versions.number]
        if any(bodies.get(number) is None for number in needed):
            return
        known = {number: body for number, body in bodies.items() if body is not None}
        phase = Phase.SETTLED if versions.next is None else Phase.CHECKING
        phase = Phase.ENTERING if versions.entering else phase
        lease = min(self.pace.lease_us, tell.lease_ms * 1000)
        if sent + lease > now:
            self.acting.told(versions.number, phase, sent + lease, known)
