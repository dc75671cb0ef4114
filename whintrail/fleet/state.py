"""The replicated state machine of a fleet: restart slots, drains of engines, the release, settings versions.

Pure and deterministic: the same commands in the same order give the same state on every gateway. A command is
refused here only for reasons that the state itself shows. What only the leader sees, such as unplanned
losses, it checks before it proposes a command (`budget.py`).
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from whintrail.fleet.checksum import crc32c

U32 = Annotated[int, Meta(ge=0, le=0xFFFFFFFF)]
U64 = Annotated[int, Meta(ge=0, le=0x7FFFFFFFFFFFFFFF)]
Number = Annotated[int, Meta(ge=0, le=0xFFFF)]  # of a gateway: its index in the setting `peers`
Name = Annotated[str, Meta(min_length=1, max_length=64)]
Reason = Annotated[str, Meta(max_length=64)]
Build = Annotated[str, Meta(max_length=24)]
Permille = Annotated[int, Meta(ge=0, le=1000)]

# These bound the size of a state.
MAX_DRAINS = 64
MAX_SLOTS = 128
MAX_STEPS = 8
MAX_HISTORY = 16  # settings versions before the current one
RUNNING, HALTED, ROLLING_BACK, DONE = range(4)  # of a release
STATUS_NAMES = ("running", "halted", "back", "done")


class Command(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A change of the state, as a log entry holds it."""


class Noop(Command, frozen=True, tag=0):
    """The first entry of a new leader, which commits the entries of earlier terms (Raft, section 5.4.2)."""


class GrantSlot(Command, frozen=True, tag=1):
    """Allows the process `boot_id` of a gateway to restart; a repeated request gets the same slot."""

    number: Number
    boot_id: U32
    request_id: U32
    release: U32  # 0: not part of a release
    at_ms: U64  # by the leader's wall clock, for display only


class FreeSlot(Command, frozen=True, tag=2):
    """Frees a slot after the restart, or when it was returned unused."""

    number: Number
    fence: U64
    reason: Reason


class DrainEngine(Command, frozen=True, tag=3):
    """Drains an engine: no gateway sends new attempts to it."""

    engine: Name
    reason: Reason
    limit_s: U32  # 0: none
    undo_at_limit: bool  # undo the drain once past its limit; else keep it
    at_ms: U64


class UndrainEngine(Command, frozen=True, tag=4):
    """Ends the drain of an engine."""

    engine: Name
    reason: Reason


class FinishDrain(Command, frozen=True, tag=5):
    """Every gateway has reported that it has no attempts on the engine, or has left or was given up."""

    engine: Name
    fence: U64


class StartRelease(Command, frozen=True, tag=6):
    """Starts a release to `build`; `steps` are the shares of the fleet on it, in thousandths."""

    build: Build
    steps: Annotated[tuple[Permille, ...], Meta(min_length=1, max_length=MAX_STEPS)]
    reason: Reason
    at_ms: U64
    by_zone: bool  # one zone after another within a step


# Shares of the old build's queries that failed, were refused or were late, by class; in thousandths.
BaselineShares = Annotated[tuple[tuple[Permille, Permille, Permille], ...], Meta(max_length=4)]


class AdvanceRelease(Command, frozen=True, tag=7):
    """Starts the next step of a release."""

    release: U32
    step: U32  # the one to start
    baseline: BaselineShares  # for later leaders, which may find no gateway on the old build


class SetReleaseStatus(Command, frozen=True, tag=8):
    """Halts, resumes, rolls back or finishes a release."""

    release: U32
    status: Annotated[int, Meta(ge=RUNNING, le=DONE)]
    reason: Reason


class DeclareLost(Command, frozen=True, tag=9):
    """An operator confirms that a process has ended for good. It loses its slot and delays no drain."""

    number: Number
    boot_id: U32


class ProposeVersion(Command, frozen=True, tag=20):
    """Proposes a settings version, which all gateways check before it is used."""

    number: U32
    digest: U64
    author: Number
    reason: Reason
    at_ms: U64


class EnterVersion(Command, frozen=True, tag=21):
    """All reachable gateways accept the version: from now on the stricter of it and the current one holds."""

    number: U32


class DropVersion(Command, frozen=True, tag=22):
    """Drops the proposed version because of a veto or a missing answer."""

    number: U32
    reason: Reason


class SettleVersion(Command, frozen=True, tag=23):
    """No gateway uses the previous version any more: the new one is in force alone."""

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
    """The right of one process to restart; `fence` is its fencing token."""

    boot_id: int  # of the process that asked; another one under the same number is its successor
    request_id: int
    fence: int  # greater than any before it
    release: int
    at_ms: int


class Drain(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A drain of an engine, by the engine's name in `FleetState.drains`."""

    fence: int
    reason: str
    limit_s: int
    undo_at_limit: bool
    at_ms: int
    done: bool = False


class Release(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """The latest release and its progress."""

    id: int
    build: str
    steps: tuple[int, ...]
    reason: str
    at_ms: int
    step: int = 0
    status: int = RUNNING
    by_zone: bool = False
    status_reason: str = ""  # of the latest change of the status
    baseline: tuple[tuple[int, int, int], ...] = ()

    def target_count(self, fleet: int) -> int:
        """How many gateways, of `fleet`, may run the new build or be restarting into it."""
        if self.status == ROLLING_BACK:
            return 0
        return max(1, -(-self.steps[self.step] * fleet // 1000))


class Version(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A version of the settings; their content is identified by its digest."""

    number: int
    digest: int
    author: int
    reason: str
    at_ms: int


class VersionState(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """The settings version in force (number 0: none yet), the proposed one, and earlier ones."""

    current: Version | None = None
    next: Version | None = None
    entering: bool = False
    history: list[Version] = []
    last_dropped: str = ""  # number and reason

    @property
    def number(self) -> int:
        """The number of the version in force; 0: none yet."""
        return self.current.number if self.current is not None else 0

    def apply(self, command: "ProposeVersion | EnterVersion | DropVersion | SettleVersion") -> str:
        """Applies a command; returns why it was refused, or an empty string."""
        if isinstance(command, ProposeVersion):
            if self.next is not None:
                return f"version {self.next.number} is on its way"
            if command.number != self.number + 1:  # of two based on the same version, the first one counts
                return f"version {self.number} is in force"
            fields = command.number, command.digest, command.author, command.reason, command.at_ms
            self.next, self.entering = Version(*fields), False
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
    """The state that all gateways of a fleet replicate."""

    last_fence: int = 0
    last_release_id: int = 0
    slots: dict[int, Slot] = {}
    drains: dict[str, Drain] = {}
    release: Release | None = None
    lost_boot_ids: dict[int, int] = {}  # of processes that an operator declared lost, by number
    versions: VersionState = msgspec.field(default_factory=VersionState)

    def apply(self, command: AnyCommand) -> str:
        """Applies a command; returns why it was refused, or an empty string."""
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
                fields = command.build, command.steps, command.reason, command.at_ms
                self.release = Release(self.last_release_id, *fields, by_zone=command.by_zone)
            case AdvanceRelease(release, step, usual):
                current_release = self.release
                if (
                    current_release is None
                    or current_release.id != release
                    or current_release.status != RUNNING
                ):
                    return "no such release under way"
                if step != current_release.step + 1 or step >= len(current_release.steps):
                    return "not its next step"  # steps are neither repeated nor skipped
                current_release.step, current_release.baseline = step, usual or current_release.baseline
            case SetReleaseStatus():
                return self._set_release_status(command)
            case ProposeVersion() | EnterVersion() | DropVersion() | SettleVersion():
                return self.versions.apply(command)
        return ""

    def _grant(self, command: GrantSlot) -> str:
        slot = self.slots.get(command.number)
        if slot is not None:
            same = (slot.boot_id, slot.request_id) == (command.boot_id, command.request_id)
            return "" if same else "it holds a slot already"
        if len(self.slots) >= MAX_SLOTS:
            return "the maximum number of slots is reached"
        if command.release:
            release = self.release
            if release is None or release.id != command.release:
                return "no such release"
            if release.status not in (
                RUNNING,
                ROLLING_BACK,
            ):  # a late grant obeys a halt
                return f"the release is {STATUS_NAMES[release.status]}"
        self.last_fence += 1
        self.slots[command.number] = Slot(
            command.boot_id, command.request_id, self.last_fence, command.release, command.at_ms
        )
        return ""

    def _drain(self, command: DrainEngine) -> str:
        if command.engine in self.drains:
            return "drained already"
        if len(self.drains) >= MAX_DRAINS:
            return "the maximum number of drains is reached"
        self.last_fence += 1
        self.drains[command.engine] = Drain(
            self.last_fence, command.reason, command.limit_s, command.undo_at_limit, command.at_ms
        )
        return ""

    def _set_release_status(self, command: SetReleaseStatus) -> str:
        release = self.release
        if release is None or release.id != command.release:
            return "no such release"
        allowed = {
            RUNNING: (HALTED, ROLLING_BACK, DONE),
            HALTED: (RUNNING, ROLLING_BACK),
            ROLLING_BACK: (HALTED, DONE),
            DONE: (),
        }
        if command.status not in allowed[release.status]:
            return f"it is {STATUS_NAMES[release.status]}"
        release.status, release.status_reason = command.status, command.reason
        return ""

    def encode(self) -> bytes:
        """Encodes the state; equal states give equal bytes."""
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
        """Decodes a state. Raises msgspec.MsgspecError."""
        return _state_decoder.decode(data)


def extend_digest(digest: int, index: int, command: AnyCommand) -> int:
    """Extends the hash chain over all commands, by which histories that differ are detected."""
    return crc32c(_encoder.encode((digest, index, command)))


_encoder = msgspec.msgpack.Encoder()
_state_decoder: msgspec.msgpack.Decoder[FleetState] = msgspec.msgpack.Decoder(FleetState)
