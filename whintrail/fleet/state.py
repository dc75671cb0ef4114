"""What the gateways of a fleet agree on: who may be out, which engines are drained, the release under way.

Pure and deterministic: the same commands in the same order give the same state, whoever applies them. A
command is refused here on what the state itself shows; what only the present leader can see (who is down
unplanned) it has weighed before it proposed (`budget.py`).
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from whintrail.fleet.checksum import crc32c

U32 = Annotated[int, Meta(ge=0, le=0xFFFFFFFF)]
U64 = Annotated[int, Meta(ge=0, le=0x7FFFFFFFFFFFFFFF)]
Number = Annotated[int, Meta(ge=0, le=0xFFFF)]  # of a gateway, its place among `peers`
Name = Annotated[str, Meta(min_length=1, max_length=64)]
Why = Annotated[str, Meta(max_length=64)]
Build = Annotated[str, Meta(max_length=24)]
Permille = Annotated[int, Meta(ge=0, le=1000)]

MOST_DRAINS, MOST_SLOTS, MOST_STEPS = 64, 128, 8  # so that a state has a greatest size
RUNNING, HALTED, BACK, DONE = range(4)  # of a release
STATUS = ("running", "halted", "back", "done")


class Command(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One change, as the council agrees on it."""


class Noop(Command, frozen=True, tag=0):
    """A new leader's first: what came before it is decided with it."""


class Grant(Command, frozen=True, tag=1):
    """The gateway `number`, as the process `birth`, may be out. `ask` names its request: asked twice, it is
    one slot."""

    number: Number
    birth: U32
    ask: U32
    release: U32  # 0: of no release
    at_ms: U64  # by the leader's wall clock, for people only


class Free(Command, frozen=True, tag=2):
    number: Number
    fence: U64
    why: Why


class DrainEngine(Command, frozen=True, tag=3):
    engine: Name
    why: Why
    limit_s: U32  # 0: none
    undo: bool  # past its limit it undoes itself; else it holds
    at_ms: U64


class Undrain(Command, frozen=True, tag=4):
    engine: Name
    why: Why


class Drained(Command, frozen=True, tag=5):
    """Every member has said that nothing of its own is out there, or is gone."""

    engine: Name
    fence: U64


class Start(Command, frozen=True, tag=6):
    """A release to `build`: shares of the fleet on it after each step, in thousandths."""

    build: Build
    steps: Annotated[tuple[Permille, ...], Meta(min_length=1, max_length=MOST_STEPS)]
    why: Why
    at_ms: U64
    by_zone: bool  # within a step, one zone after another


# Of each class, what share of the old build's queries failed, were refused, came late; in thousandths.
Usual = Annotated[tuple[tuple[Permille, Permille, Permille], ...], Meta(max_length=4)]


class Step(Command, frozen=True, tag=7):
    release: U32
    step: U32  # the one that begins
    usual: Usual  # for leaders to come, who may find nobody left on the old build


class Turn(Command, frozen=True, tag=8):
    """Halt, resume, back, or done."""

    release: U32
    status: Annotated[int, Meta(ge=RUNNING, le=DONE)]
    why: Why


class Lost(Command, frozen=True, tag=9):
    """A person vouches that a process is gone for good: nothing of it is anywhere, and it holds no slot."""

    number: Number
    birth: U32


class Propose(Command, frozen=True, tag=20):
    """A version of the settings, to be checked by all before it counts."""

    number: U32
    digest: U64
    by: Number
    why: Why
    at_ms: U64


class Enter(Command, frozen=True, tag=21):
    """All that are reachable can act on it: from now on the stricter of both holds."""

    number: U32


class Drop(Command, frozen=True, tag=22):
    """It does not come into force, by a veto or for want of an answer."""

    number: U32
    why: Why


class Settle(Command, frozen=True, tag=23):
    """Nobody acts on the version before any more: it holds alone."""

    number: U32


Any = (
    Propose
    | Enter
    | Drop
    | Settle
    | Lost
    | Noop
    | Grant
    | Free
    | DrainEngine
    | Undrain
    | Drained
    | Start
    | Step
    | Turn
)


class Slot(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    birth: int  # of the process that asked: another one under the same number is its successor
    ask: int
    fence: int  # higher than any before it
    release: int
    at_ms: int


class Drain(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    fence: int
    why: str
    limit_s: int
    undo: bool
    at_ms: int
    done: bool = False


class Release(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    id: int
    build: str
    steps: tuple[int, ...]
    why: str
    at_ms: int
    step: int = 0
    status: int = RUNNING
    by_zone: bool = False
    said: str = ""  # why it was halted, turned back or ended
    usual: tuple[tuple[int, int, int], ...] = ()

    def target(self, fleet: int) -> int:
        """How many gateways of so many may be on the new build, or on their way to it."""
        if self.status == BACK:
            return 0
        return max(1, -(-self.steps[self.step] * fleet // 1000))


class Version(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    number: int
    digest: int
    by: int
    why: str
    at_ms: int


MOST_HISTORY = 16


class Versions(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """Of the settings: the one in force (number 0: none yet), the next, and those before."""

    current: Version | None = None
    next: Version | None = None
    entering: bool = False
    before: list[Version] = []
    dropped: str = ""  # the last that was, and why

    @property
    def number(self) -> int:
        return self.current.number if self.current is not None else 0

    def apply(self, command: "Propose | Enter | Drop | Settle") -> str:
        if isinstance(command, Propose):
            if self.next is not None:
                return f"version {self.next.number} is on its way"
            if command.number != self.number + 1:  # of two made on the same one, the first counts
                return f"version {self.number} is in force"
            given = command.number, command.digest, command.by, command.why, command.at_ms
            self.next, self.entering = Version(*given), False
            return ""
        if self.next is None or command.number != self.next.number:
            return "no such version on its way"
        if isinstance(command, Settle):
            if not self.entering:
                return "it has not entered"
            if self.current is not None:
                self.before = [*self.before[1 - MOST_HISTORY :], self.current]
            self.current, self.next, self.entering = self.next, None, False
            return ""
        if self.entering:
            return "it has entered"
        if isinstance(command, Drop):
            self.next, self.dropped = None, f"{command.number}: {command.why}"
        else:
            self.entering = True
        return ""


class State(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    fences: int = 0
    releases: int = 0
    slots: dict[int, Slot] = {}
    drains: dict[str, Drain] = {}
    release: Release | None = None
    lost: dict[int, int] = {}  # births of processes that a person has given up
    versions: Versions = msgspec.field(default_factory=Versions)

    def apply(self, command: Any) -> str:
        """Take a command; empty, or why it changed nothing."""
        match command:
            case Grant():
                return self._grant(command)
            case Free(number, fence):
                slot = self.slots.get(number)
                if slot is None or slot.fence != fence:
                    return "no such slot"
                del self.slots[number]
            case Lost(number, birth):
                slot = self.slots.get(number)
                if slot is not None and slot.birth == birth:
                    del self.slots[number]
                self.lost.pop(number, None)
                while len(self.lost) >= MOST_SLOTS:
                    del self.lost[min(self.lost)]
                self.lost[number] = birth
            case DrainEngine():
                return self._drain(command)
            case Undrain(engine):
                if engine not in self.drains:
                    return "not drained"
                del self.drains[engine]
            case Drained(engine, fence):
                drain = self.drains.get(engine)
                if drain is None or drain.fence != fence or drain.done:
                    return "no such drain"
                drain.done = True
            case Start():
                if self.release is not None and self.release.status != DONE:
                    return f"release {self.release.id} is {STATUS[self.release.status]}"
                self.releases += 1
                given = command.build, command.steps, command.why, command.at_ms
                self.release = Release(self.releases, *given, by_zone=command.by_zone)
            case Step(release, step, usual):
                found = self.release
                if found is None or found.id != release or found.status != RUNNING:
                    return "no such release under way"
                if step != found.step + 1 or step >= len(found.steps):
                    return "not its next step"  # none is begun twice, nor passed over
                found.step, found.usual = step, usual or found.usual
            case Turn():
                return self._turn(command)
            case Propose() | Enter() | Drop() | Settle():
                return self.versions.apply(command)
        return ""

    def _grant(self, given: Grant) -> str:
        slot = self.slots.get(given.number)
        if slot is not None:
            same = (slot.birth, slot.ask) == (given.birth, given.ask)
            return "" if same else "it holds a slot already"
        if len(self.slots) >= MOST_SLOTS:
            return "as many slots as there can be"
        if given.release:
            release = self.release
            if release is None or release.id != given.release:
                return "no such release"
            if release.status not in (RUNNING, BACK):  # a halt that came first is obeyed by what comes late
                return f"the release is {STATUS[release.status]}"
        self.fences += 1
        self.slots[given.number] = Slot(given.birth, given.ask, self.fences, given.release, given.at_ms)
        return ""

    def _drain(self, given: DrainEngine) -> str:
        if given.engine in self.drains:
            return "drained already"
        if len(self.drains) >= MOST_DRAINS:
            return "as many drains as there can be"
        self.fences += 1
        self.drains[given.engine] = Drain(self.fences, given.why, given.limit_s, given.undo, given.at_ms)
        return ""

    def _turn(self, given: Turn) -> str:
        release = self.release
        if release is None or release.id != given.release:
            return "no such release"
        allowed = {RUNNING: (HALTED, BACK, DONE), HALTED: (RUNNING, BACK), BACK: (HALTED, DONE), DONE: ()}
        if given.status not in allowed[release.status]:
            return f"it is {STATUS[release.status]}"
        release.status, release.said = given.status, given.why
        return ""

    def encode(self) -> bytes:
        """Canonical: equal states give equal bytes, in whatever order they came about."""
        ordered = State(
            self.fences,
            self.releases,
            dict(sorted(self.slots.items())),
            dict(sorted(self.drains.items())),
            self.release,
            dict(sorted(self.lost.items())),
            self.versions,
        )
        return _encoder.encode(ordered)

    @staticmethod
    def decode(data: bytes) -> "State":
        """Errors: msgspec.MsgspecError."""
        return _state.decode(data)


def chained(before: int, index: int, command: Any) -> int:
    """A digest of all commands up to this one: two histories that differ are told apart by it."""
    return crc32c(_encoder.encode((before, index, command)))


_encoder = msgspec.msgpack.Encoder()
_state: msgspec.msgpack.Decoder[State] = msgspec.msgpack.Decoder(State)
