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
Reason = Annotated[str, Meta(max_length=64)]
Build = Annotated[str, Meta(max_length=24)]
Permille = Annotated[int, Meta(ge=0, le=1000)]

MAX_DRAINS, MAX_SLOTS, MAX_STEPS = 64, 128, 8  # so that a state has a greatest size
RUNNING, HALTED, ROLLING_BACK, DONE = range(4)  # of a release
STATUS_NAMES = ("running", "halted", "back", "done")


class Command(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One change, as the council agrees on it."""


class Noop(Command, frozen=True, tag=0):
    """A new leader's first: what came before it is decided with it."""


class GrantSlot(Command, frozen=True, tag=1):
    """The gateway `number`, as the process `birth`, may be out. `ask` names its request: asked twice, it is
    one slot."""

    number: Number
    boot_id: U32
    request_id: U32
    release: U32  # 0: of no release
    at_ms: U64  # by the leader's wall clock, for people only


class FreeSlot(Command, frozen=True, tag=2):
    number: Number
    fence: U64
    reason: Reason


class DrainEngine(Command, frozen=True, tag=3):
    engine: Name
    reason: Reason
    limit_s: U32  # 0: none
    undo_at_limit: bool  # past its limit it undoes itself; else it holds
    at_ms: U64


class UndrainEngine(Command, frozen=True, tag=4):
    engine: Name
    reason: Reason


class FinishDrain(Command, frozen=True, tag=5):
    """Every member has said that nothing of its own is out there, or is gone."""

    engine: Name
    fence: U64


class StartRelease(Command, frozen=True, tag=6):
    """A release to `build`: shares of the fleet on it after each step, in thousandths."""

    build: Build
    steps: Annotated[tuple[Permille, ...], Meta(min_length=1, max_length=MAX_STEPS)]
    reason: Reason
    at_ms: U64
    by_zone: bool  # within a step, one zone after another


# Of each class, what share of the old build's queries failed, were refused, came late; in thousandths.
BaselineShares = Annotated[tuple[tuple[Permille, Permille, Permille], ...], Meta(max_length=4)]


class AdvanceRelease(Command, frozen=True, tag=7):
    release: U32
    step: U32  # the one that begins
    baseline: BaselineShares  # for leaders to come, who may find nobody left on the old build


class SetReleaseStatus(Command, frozen=True, tag=8):
    """Halt, resume, back, or done."""

    release: U32
    status: Annotated[int, Meta(ge=RUNNING, le=DONE)]
    reason: Reason


class DeclareLost(Command, frozen=True, tag=9):
    """A person vouches that a process is gone for good: nothing of it is anywhere, and it holds no slot."""

    number: Number
    boot_id: U32


class ProposeVersion(Command, frozen=True, tag=20):
    """A version of the settings, to be checked by all before it counts."""

    number: U32
    digest: U64
    author: Number
    reason: Reason
    at_ms: U64


class EnterVersion(Command, frozen=True, tag=21):
    """All that are reachable can act on it: from now on the stricter of both holds."""

    number: U32


class DropVersion(Command, frozen=True, tag=22):
    """It does not come into force, by a veto or for want of an answer."""

    number: U32
    reason: Reason


class SettleVersion(Command, frozen=True, tag=23):
    """Nobody acts on the version before any more: it holds alone."""

    number: U32


AnyCommand = (
    ProposeVersion
    | EnterVersion
    | DropVersion
    | SettleVersion
    | DeclareLost
    | Noop
    | GrantSlot
    | FreeSlot
    | DrainEngine
    | UndrainEngine
    | FinishDrain
    | StartRelease
    | AdvanceRelease
    | SetReleaseStatus
)


class Slot(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    boot_id: int  # of the process that asked: another one under the same number is its successor
    request_id: int
    fence: int  # higher than any before it
    release: int
    at_ms: int


class Drain(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    fence: int
    reason: str
    limit_s: int
    undo_at_limit: bool
    at_ms: int
    done: bool = False


class Release(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    id: int
    build: str
    steps: tuple[int, ...]
    reason: str
    at_ms: int
    step: int = 0
    status: int = RUNNING
    by_zone: bool = False
    status_reason: str = ""  # why it was halted, turned back or ended
    baseline: tuple[tuple[int, int, int], ...] = ()

    def target_count(self, fleet: int) -> int:
        """How many gateways of so many may be on the new build, or on their way to it."""
        if self.status == ROLLING_BACK:
            return 0
        return max(1, -(-self.steps[self.step] * fleet // 1000))


class Version(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    number: int
    digest: int
    author: int
    reason: str
    at_ms: int


MAX_HISTORY = 16


class VersionState(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """Of the settings: the one in force (number 0: none yet), the next, and those before."""

    current: Version | None = None
    next: Version | None = None
    entering: bool = False
    history: list[Version] = []
    last_dropped: str = ""  # the last that was, and why

    @property
    def number(self) -> int:
        return self.current.number if self.current is not None else 0

    def apply(self, command: "ProposeVersion | EnterVersion | DropVersion | SettleVersion") -> str:
        if isinstance(command, ProposeVersion):
            if self.next is not None:
                return f"version {self.next.number} is on its way"
            if command.number != self.number + 1:  # of two made on the same one, the first counts
                return f"version {self.number} is in force"
            given = command.number, command.digest, command.author, command.reason, command.at_ms
            self.next, self.entering = Version(*given), False
            return ""
        if self.next is None or command.number != self.next.number:
            return "no such version on its way"
        if isinstance(command, SettleVersion):
            if not self.entering:
                return "it has not entered"
            if self.current is not None:
                self.history = [*self.history[1 - MAX_HISTORY :], self.current]
            self.current, self.next, self.entering = self.next, None, False
            return ""
        if self.entering:
            return "it has entered"
        if isinstance(command, DropVersion):
            self.next, self.last_dropped = None, f"{command.number}: {command.reason}"
        else:
            self.entering = True
        return ""


class FleetState(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    last_fence: int = 0
    last_release_id: int = 0
    slots: dict[int, Slot] = {}
    drains: dict[str, Drain] = {}
    release: Release | None = None
    lost_boot_ids: dict[int, int] = {}  # births of processes that a person has given up
    versions: VersionState = msgspec.field(default_factory=VersionState)

    def apply(self, command: AnyCommand) -> str:
        """Take a command; empty, or why it changed nothing."""
        match command:
            case GrantSlot():
                return self._grant(command)
            case FreeSlot(number, fence):
                slot = self.slots.get(number)
                if slot is None or slot.fence != fence:
                    return "no such slot"
                del self.slots[number]
            case DeclareLost(number, boot_id):
                slot = self.slots.get(number)
                if slot is not None and slot.boot_id == boot_id:
                    del self.slots[number]
                self.lost_boot_ids.pop(number, None)
                while len(self.lost_boot_ids) >= MAX_SLOTS:
                    del self.lost_boot_ids[min(self.lost_boot_ids)]
                self.lost_boot_ids[number] = boot_id
            case DrainEngine():
                return self._drain(command)
            case UndrainEngine(engine):
                if engine not in self.drains:
                    return "not drained"
                del self.drains[engine]
            case FinishDrain(engine, fence):
                drain = self.drains.get(engine)
                if drain is None or drain.fence != fence or drain.done:
                    return "no such drain"
                drain.done = True
            case StartRelease():
                if self.release is not None and self.release.status != DONE:
                    return f"release {self.release.id} is {STATUS_NAMES[self.release.status]}"
                self.last_release_id += 1
                given = command.build, command.steps, command.reason, command.at_ms
                self.release = Release(self.last_release_id, *given, by_zone=command.by_zone)
            case AdvanceRelease(release, step, usual):
                found = self.release
                if found is None or found.id != release or found.status != RUNNING:
                    return "no such release under way"
                if step != found.step + 1 or step >= len(found.steps):
                    return "not its next step"  # none is begun twice, nor passed over
                found.step, found.baseline = step, usual or found.baseline
            case SetReleaseStatus():
                return self._set_release_status(command)
            case ProposeVersion() | EnterVersion() | DropVersion() | SettleVersion():
                return self.versions.apply(command)
        return ""

    def _grant(self, given: GrantSlot) -> str:
        slot = self.slots.get(given.number)
        if slot is not None:
            same = (slot.boot_id, slot.request_id) == (given.boot_id, given.request_id)
            return "" if same else "it holds a slot already"
        if len(self.slots) >= MAX_SLOTS:
            return "as many slots as there can be"
        if given.release:
            release = self.release
            if release is None or release.id != given.release:
                return "no such release"
            if release.status not in (
                RUNNING,
                ROLLING_BACK,
            ):  # a halt that came first is obeyed by what comes late
                return f"the release is {STATUS_NAMES[release.status]}"
        self.last_fence += 1
        self.slots[given.number] = Slot(
            given.boot_id, given.request_id, self.last_fence, given.release, given.at_ms
        )
        return ""

    def _drain(self, given: DrainEngine) -> str:
        if given.engine in self.drains:
            return "drained already"
        if len(self.drains) >= MAX_DRAINS:
            return "as many drains as there can be"
        self.last_fence += 1
        self.drains[given.engine] = Drain(
            self.last_fence, given.reason, given.limit_s, given.undo_at_limit, given.at_ms
        )
        return ""

    def _set_release_status(self, given: SetReleaseStatus) -> str:
        release = self.release
        if release is None or release.id != given.release:
            return "no such release"
        allowed = {
            RUNNING: (HALTED, ROLLING_BACK, DONE),
            HALTED: (RUNNING, ROLLING_BACK),
            ROLLING_BACK: (HALTED, DONE),
            DONE: (),
        }
        if given.status not in allowed[release.status]:
            return f"it is {STATUS_NAMES[release.status]}"
        release.status, release.status_reason = given.status, given.reason
        return ""

    def encode(self) -> bytes:
        """Canonical: equal states give equal bytes, in whatever order they came about."""
        ordered = FleetState(
            self.last_fence,
            self.last_release_id,
            dict(sorted(self.slots.items())),
            dict(sorted(self.drains.items())),
            self.release,
            dict(sorted(self.lost_boot_ids.items())),
            self.versions,
        )
        return _encoder.encode(ordered)

    @staticmethod
    def decode(data: bytes) -> "FleetState":
        """Errors: msgspec.MsgspecError."""
        return _state_decoder.decode(data)


def extend_digest(before: int, index: int, command: AnyCommand) -> int:
    """A digest of all commands up to this one: two histories that differ are told apart by it."""
    return crc32c(_encoder.encode((before, index, command)))


_encoder = msgspec.msgpack.Encoder()
_state_decoder: msgspec.msgpack.Decoder[FleetState] = msgspec.msgpack.Decoder(FleetState)
