"""A gateway's part in its fleet: membership, the council where it is of it, what is agreed, its own wishes.

Sans-I/O: `take` datagrams, `tick` a few times a second, send what `flush` gives. What it sends is bounded by
figures of the operator's file whatever the fleet's size: what matters least is left out first.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from whintrail.fleet.council import Council, CouncilPace, Role
from whintrail.fleet.holder import Holder, Outcome
from whintrail.fleet.leader import NO_ZONE, EngineSeen, Leader, Rules
from whintrail.fleet.membership import Life, Membership, Pace
from whintrail.fleet.replica import Replica
from whintrail.fleet.state import (
    STATUS,
    Drained,
    DrainEngine,
    Drop,
    Enter,
    Free,
    Grant,
    Lost,
    Propose,
    Settle,
    Start,
    State,
    Step,
    Turn,
    Undrain,
)
from whintrail.fleet.wire import (
    Ack,
    Answer,
    Any_,
    Append,
    AppendTell,
    Ask,
    Change,
    Crown,
    Entry,
    LeaseAsk,
    LeaseTell,
    Leaving,
    Message,
    Nack,
    Note,
    Piece,
    Ping,
    PingAsk,
    Pull,
    RecoverAsk,
    RecoverTell,
    Reform,
    ReformTell,
    Report,
    Told,
    VoteAsk,
    VoteTell,
    Wanted,
    WireError,
    decode,
    encode,
    fleet_id,
)
from whintrail.versions.body import Body
from whintrail.versions.member import VersionPace
from whintrail.versions.part import Settings

COUNCIL = (
    RecoverAsk,
    RecoverTell,
    VoteAsk,
    VoteTell,
    Append,
    AppendTell,
    Reform,
    ReformTell,
    Crown,
)
MEMBERSHIP = (Ping, Ack, PingAsk, Nack, Leaving)
URGENCY: dict[type, int] = {Told: 2, Answer: 2, Ask: 2, Wanted: 2, Report: 3, Pull: 4, Piece: 4}
URGENCY |= {LeaseAsk: 1, LeaseTell: 1}
LAST = 5  # bodies and lists
REPORT_US, WANTED_US, RETELL_US = 500_000, 4_000_000, 200_000
RETELLS = 3


@dataclass(frozen=True, slots=True)
class Given:
    """What the operator's file and the configuration say of the fleet."""

    name: str
    me: int
    count: int
    council: tuple[int, ...]
    build: str = ""
    zone: int = NO_ZONE
    zones: tuple[str, ...] = ()
    rules: Rules = field(default_factory=Rules)
    pace: Pace = field(default_factory=Pace)
    council_pace: CouncilPace = field(default_factory=CouncilPace)
    use_us: int = 1_500_000
    messages_per_s: float = 400.0
    bytes_per_s: float = 40_000.0
    versions: VersionPace | None = None  # None: settings have no versions


class Local(Protocol):
    """What a gateway knows of itself."""

    def serving_ms(self, now: int) -> int: ...
    def held_by(self, engine: str) -> int:
        """Attempts of its own that are out there."""
        ...

    def counts(self) -> tuple[tuple[int, int, int, int], ...]: ...
    def engines(self) -> dict[str, EngineSeen]: ...
    def check_body(self, body: Body) -> str:
        """Why this gateway can't act on a version; empty where it can."""
        ...


@dataclass(slots=True)
class Spending:
    """So many messages and bytes a second, and a second's worth at once."""

    messages_per_s: float
    bytes_per_s: float
    messages: float = 0.0
    bytes: float = 0.0
    at: int = 0

    def refill(self, now: int) -> None:
        passed, self.at = max(0, now - self.at) / 1e6, now
        self.messages = min(self.messages_per_s, self.messages + passed * self.messages_per_s)
        self.bytes = min(self.bytes_per_s, self.bytes + passed * self.bytes_per_s)

    def take(self, size: int) -> bool:
        if self.messages < 1 or self.bytes < size:
            return False
        self.messages -= 1
        self.bytes -= size
        return True


Says = Callable[[str, dict[str, object]], None]


@dataclass(slots=True)
class Retell:
    """Decided entries are told to all, and again: any may be lost."""

    after: int
    left: int
    at: int


class Node:
    def __init__(
        self,
        given: Given,
        birth: int,
        incarnation: int,
        now: int,
        random: Random,
        local: Local,
        wall_ms: Callable[[], int],
        says: Says,
    ) -> None:
        self.given, self.birth, self.random, self.local = given, birth, random, local
        self.wall_ms, self.says = wall_ms, says
        self.fleet = fleet_id(given.name)
        self.members = Membership(
            given.me, given.count, birth, incarnation, now, random, given.pace, self.note
        )
        self.replica = Replica(random, self._applied)
        self.council: Council | None = None
        if given.me in given.council:
            self.council = Council(
                given.me,
                given.council,
                now,
                random,
                self.replica.apply,
                self.replica.renew,
                lambda: self.replica.position,
                birth,
                given.council_pace,
            )
        self.leader: Leader | None = None
        self.holder = Holder(given.me, birth, random, given.use_us)
        self.settings: Settings | None = None
        if given.versions is not None:
            self.settings = Settings(
                given.versions, given.me, random, local.check_body, self.members, self._say
            )
        self.known = (0, 0, -1)  # epoch, term and number of the newest leader heard of
        self.known_at = now
        self.spending = Spending(given.messages_per_s, given.bytes_per_s, at=now)
        self.spending.refill(now + 1_000_000)
        self.spending.at = now
        self.counts: Counter[str] = Counter()
        self.queue: list[tuple[int | None, Any_]] = []
        self.wanted_until, self.report_at = now, now
        self.wanted_at = now - 1_000_000
        self.retells: list[Retell] = []
        self.now = now

    # --- What is known here.

    @property
    def state(self) -> State:
        return self.replica.state

    def note(self) -> Note:
        return Note(self.replica.position, self.replica.chain, self.known[2], self.known[1])

    @property
    def leads(self) -> bool:
        return self.council is not None and self.council.role is Role.LEADER

    def leader_of(self, now: int) -> int | None:
        """Who leads, as far as heard of within a few seconds."""
        if self.leads:
            return self.given.me
        number = self.known[2]
        if number < 0 or number == self.given.me:
            return None
        member = self.members.members[number]
        # Suspects may answer yet; and a newcomer that waited until it heard of the leader by its own probes
        # would wait for as many seconds as there are members.
        if member.birth and member.life not in (Life.ALIVE, Life.SUSPECT):
            return None
        return number

    def drained(self) -> frozenset[str]:
        """Engines to which nothing new may go."""
        drained = frozenset(self.state.drains)
        return drained if self.settings is None else drained | self.settings.lists.shut

    # --- In.

    def take(self, now: int, origin: int, data: bytes) -> None:
        """A datagram from the address of `origin`; whatever is wrong with it is counted and drops it."""
        try:
            letter = decode(self.fleet, data)
        except WireError as error:
            self.counts[f"dropped_{error}"] += 1
            return
        if letter.sender != origin or origin == self.given.me:
            self.counts["dropped_sender"] += 1
            return
        self.now = now
        self.counts["heard"] += 1
        birth, message = letter.birth, letter.message
        if not self.members.heard(now, origin, birth, letter.incarnation, message):
            self.counts["dropped_successor"] += 1
            return
        if isinstance(message, Ping | Ack):
            self._led(now, message.note.position[0], message.note.term, message.note.leader)
            self.replica.noted(now, origin, message.note)
        elif isinstance(message, COUNCIL):
            if self.council is not None:
                if isinstance(message, Append):
                    self._led(now, message.epoch, message.term, origin)
                self.council.take(now, origin, birth, message)
        else:
            self._other(now, origin, birth, message)
        self._moved(now)

    def _led(self, now: int, epoch: int, term: int, leader: int) -> None:
        if leader < self.given.count and (epoch, term) >= self.known[:2] and leader >= 0:
            self.known, self.known_at = (epoch, term, leader), now

    def _other(self, now: int, origin: int, birth: int, message: Any_) -> None:
        match message:
            case Told():
                self.replica.take(now, origin, message)
            case Piece():
                self.replica.take(now, origin, message)
            case Pull():
                self.replica.asked(origin, self.known[2], message)
            case Wanted(epoch, term):
                self._led(now, epoch, term, origin)
                self.wanted_until = now + WANTED_US
                self.report_at = min(self.report_at, now + self.random.randrange(REPORT_US // 2))
            case Report():
                if self.leader is not None:
                    self.leader.report(now, origin, birth, message)
            case Ask():
                if self.leader is not None and self.leads:
                    self.leader.asked(now, origin, birth, message)
                else:
                    self._say(origin, Answer(message.id, 2, 0, "it does not lead"))
            case Answer():
                self.holder.answered(now, message, self.state)
            case _:
                if self.settings is not None:
                    self.settings.take(now, origin, birth, message)

    # --- What changed.

    def _applied(self, entry: Entry, refused: str) -> None:
        command = entry.command
        if self.leader is not None:
            self.leader.decided(entry.index, command, refused)
        if not refused:
            self._tell(command)

    def _tell(self, command: object) -> None:
        """A line and a count for each decision, on every gateway that learns of it."""
        match command:
            case Grant(number, _, _, release):
                slot = self.state.slots.get(number)
                fence = slot.fence if slot is not None else 0
                self._said("slot granted", member=number, fence=fence, release=release)
            case Free(number, fence, why):
                self._said("slot free", member=number, fence=fence, why=why)
            case Lost(number):
                self._said("gateway given up", member=number)
            case DrainEngine(engine, why):
                self._said("engine drained", engine=engine, why=why)
            case Undrain(engine, why):
                self._said("engine undrained", engine=engine, why=why)
            case Drained(engine):
                self._said("engine drain done", engine=engine)
            case Start(build, steps, _, _, _):
                self._said("release started", build=build, steps=len(steps))
            case Step(release, step, _):
                self._said("release step", release=release, step=step + 1)
            case Propose(number, _, by, why):
                self._said("version proposed", version=number, by=by, why=why)
            case Enter(number):
                self._said("version enters", version=number)
            case Settle(number):
                self._said("version in force", version=number)
            case Drop(number, why):
                self._said("version dropped", version=number, why=why)
            case Turn(release, status, why):
                self._said(f"release {STATUS[status]}", release=release, why=why)

    def _refused(self, what: str, more: dict[str, object]) -> None:
        self._said(what, **more)

    def _said(self, what: str, **more: object) -> None:
        self.counts[what.replace(" ", "_")] += 1
        self.says(what, more)

    def _moved(self, now: int) -> None:
        """After anything that may have changed who leads."""
        council = self.council
        if council is None:
            return
        if council.wants_state is not None:
            if council.wants_state >= 0:
                self.replica.pull(now, council.wants_state)
            council.install(self.replica.position)
        if self.leads and self.leader is None:
            args = self.given.rules, self.given.zones, self.wall_ms, self._refused
            self.leader = Leader(now, council, self.replica, self.members, *args)
            self.leader.engines = self.local.engines()
            self._led(now, council.epoch, council.term, self.given.me)
            self.wanted_at = now - 1_000_000
            if self.settings is not None:
                self.settings.lead(now, council)
            self._said("leads", term=council.term)
        elif not self.leads and self.leader is not None:
            self.leader = None
            if self.settings is not None:
                self.settings.guide = None
            self._said("leads no more")

    # --- Time.

    def tick(self, now: int) -> None:
        self.now = now
        self.members.tick(now)
        if self.council is not None:
            self.council.tick(now)
        self._moved(now)
        if self.leader is not None:
            self._lead(now, self.leader)
        target = self.leader_of(now)
        for ask in self.holder.due(now, self.state, target is not None):
            if target == self.given.me and self.leader is not None:
                self.leader.asked(now, target, self.birth, ask)
            elif target is not None:
                self._say(target, ask)
        if now < self.wanted_until and now >= self.report_at and target is not None:
            self.report_at = now + REPORT_US
            if target != self.given.me:
                self._say(target, self.report(now))
        if self.settings is not None:
            self.settings.tick(now, self.state.versions, target)
        self._retell(now)

    def _lead(self, now: int, leader: Leader) -> None:
        leader.engines = self.local.engines()
        leader.report(now, self.given.me, self.birth, self.report(now))
        leader.tick(now)
        for target, answer in leader.answers:
            if target == self.given.me:
                self.holder.answered(now, answer, self.state)
            else:
                self._say(target, answer)
        leader.answers.clear()
        assert self.council is not None
        if (now < leader.wanted_until or leader.busy) and now - self.wanted_at >= WANTED_US // 4:
            self.wanted_at = now
            self._say(None, Wanted(self.council.epoch, self.council.term))

    def report(self, now: int) -> Report:
        position, held, local = self.replica.position, self.holder.held, self.local
        busy = [d.fence for engine, d in self.state.drains.items() if local.held_by(engine)]
        return Report(
            position[0],
            position[1],
            position[2],
            self.given.build,
            self.given.zone,
            0 if self.holder.leaving else min(local.serving_ms(now), 0xFFFFFFFF),
            held.fence if held is not None else 0,
            tuple(busy[-8:]),
            local.counts()[:4],
        )

    def _retell(self, now: int) -> None:
        """As the leader: tell all what was decided since it was last told, three times over."""
        if not self.leads:
            self.retells.clear()
            return
        told = max((r.after for r in self.retells), default=-1)
        if self.replica.recent and self.replica.position[2] > max(told, self.told_to):
            self.retells.append(Retell(self.told_to, RETELLS, now))
            self.told_to = self.replica.position[2]
        for retell in list(self.retells):
            if now < retell.at:
                continue
            retell.left -= 1
            retell.at = now + RETELL_US
            message = self.replica.told(self.given.me, retell.after)
            if message is not None:
                self._say(None, message)
            if retell.left <= 0 or message is None:
                self.retells.remove(retell)

    told_to = 0  # the last index of which all were told

    # --- Wishes.

    def wish(self, now: int, change: Change, seconds: float, waits: bool) -> int:
        """Ask the leader; the outcome comes by this key within so many seconds."""
        return self.holder.wish(now, change, now + int(seconds * 1e6), waits)

    def outcomes(self) -> list[Outcome]:
        found, self.holder.outcomes = self.holder.outcomes, []
        return found

    def leave(self, now: int) -> int:
        """The process ends; the fence of its slot, or 0 where it has none that it may use."""
        fence = self.holder.go(now, self.state)
        self.counts["left_by_slot" if fence else "left_without_slot"] += 1
        self.members.leave(fence)
        if self.council is not None:
            self.council.resign(now)
        return fence

    # --- Out.

    def _say(self, target: int | None, message: Any_) -> None:
        self.queue.append((target, message))

    def flush(self, now: int) -> list[tuple[int | None, bytes]]:
        """Datagrams to send now; None: to all."""
        waiting: list[tuple[int, int | None, Message]] = []
        if not (self.queue or self.members.out or self.replica.out) and self.council is None:
            return []  # most turns
        if self.council is not None:
            waiting += [(0, target, message) for target, message in self.council.out]
            self.council.out.clear()
        waiting += [(1, target, message) for target, message in self.members.out]
        self.members.out.clear()
        waiting += [(URGENCY.get(type(message), LAST), target, message) for target, message in self.queue]
        self.queue.clear()
        waiting += [(4, target, message) for target, message in self.replica.out]
        self.replica.out.clear()
        if not waiting:
            return []
        self.spending.refill(now)
        sent: list[tuple[int | None, bytes]] = []
        for _, target, message in sorted(waiting, key=lambda item: item[0]):
            incarnation = self.members.mine.incarnation
            try:
                data = encode(self.fleet, self.given.me, self.birth, incarnation, message)  # type: ignore[arg-type]
            except WireError:
                self.counts["too_long"] += 1
                continue
            if self.spending.take(len(data)):
                sent.append((target, data))
                self.counts["sent"] += 1
                self.counts["sent_bytes"] += len(data)
            else:
                self.counts["held_back"] += 1
        return sent
