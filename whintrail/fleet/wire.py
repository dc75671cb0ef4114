"""Messages between gateways about the fleet: at most 256 bytes, strict, checked by CRC-32C.

A datagram is a head (mark, version, fleet, sender's number, birth and incarnation), a body in MessagePack,
and the CRC-32C of all that. The mark differs from that of a memo (`memo.py`), which travels on the same
socket. A birth is drawn at random at each start of a process: a restart is told from a pause by it.
"""

import struct
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from whintrail.fleet.checksum import crc32c
from whintrail.fleet.state import U32, U64, AnyCommand, Build, Name, Number, Reason

MAX_DATAGRAM_BYTES = 256
MAGIC, VERSION = 0xF5, 1
HEADER = struct.Struct("!BBIHII")  # mark, version, fleet, sender, birth, incarnation
TRAILER = struct.Struct("!I")
MAX_BODY_BYTES = MAX_DATAGRAM_BYTES - HEADER.size - TRAILER.size
CHUNK_BYTES = 160  # bytes of a state that travel in one datagram

Position = tuple[U64, U32, U32]  # epoch, term and index of an entry; later ones are greater


class Message(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What one gateway says to another."""


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What somebody holds of a member."""

    number: Number
    state: Annotated[int, Meta(ge=0, le=3)]
    incarnation: U32
    boot_id: U32


class Progress(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """How far its sender knows what is agreed, and whom it takes for the leader."""

    position: Position
    digest: U32
    leader: Annotated[int, Meta(ge=-1, le=0xFFFF)]
    term: U32


Updates = Annotated[tuple[MemberUpdate, ...], Meta(max_length=8)]


# --- Membership.


class Ping(Message, frozen=True, tag=1):
    seq: U32
    progress: Progress
    updates: Updates


class Ack(Message, frozen=True, tag=2):
    seq: U32
    progress: Progress
    updates: Updates


class IndirectPing(Message, frozen=True, tag=3):
    """Ask another for us: our own way to it may be cut."""

    seq: U32
    target: Number


class Nack(Message, frozen=True, tag=4):
    """The helper lives, the target does not answer it either: nothing speaks against whoever asked."""

    seq: U32


class Leave(Message, frozen=True, tag=5):
    """A process that ends: it takes in nothing more."""

    fence: U64  # of its slot; 0: out without one


# --- The council.


class RecoveryRequest(Message, frozen=True, tag=10):
    """A member that knows nothing asks before it takes part."""

    nonce: U32
    leaderless_ms: U32
    position: Position
    promised_epoch: U64  # an epoch to which it has agreed; 0: none


class RecoveryReply(Message, frozen=True, tag=11):
    nonce: U32
    epoch: U64
    term: U32
    is_leader: bool
    last_index: U32
    leaderless_ms: U32  # without a leader


class VoteRequest(Message, frozen=True, tag=12):
    epoch: U64
    term: U32
    ballot: U32  # at random: a vote for a candidate's earlier self counts for nothing
    last_term: U32
    last_index: U32
    is_prevote: bool  # whether it would win: binds nobody


# What each member of the council, in order, is born as to the sender; 0: never heard of.
BootIds = Annotated[tuple[U32, ...], Meta(max_length=7)]


class VoteReply(Message, frozen=True, tag=13):
    epoch: U64
    term: U32
    ballot: U32
    is_prevote: bool
    granted: bool
    boot_ids: BootIds


class Entry(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    index: U32
    term: U32
    command: AnyCommand


Entries = Annotated[tuple[Entry, ...], Meta(max_length=32)]


class AppendEntries(Message, frozen=True, tag=14):
    epoch: U64
    term: U32
    last_term: U32  # of the entry before these
    last_index: U32
    commit_index: U32
    sent_ms: U32  # the leader's clock, for itself
    entries: Entries


class AppendReply(Message, frozen=True, tag=15):
    epoch: U64
    term: U32
    success: bool
    last_index: U32  # the last that is held as the leader has it; where not good, where to try
    sent_ms: U32  # of what it answers
    is_recovering: bool  # it counts for no majority yet
    boot_ids: BootIds


class EpochProposal(Message, frozen=True, tag=16):
    """Most of the council forgot: all of it begins anew, as one."""

    epoch: U64
    boot_id: U32  # of whom it is meant for: a later process knows nothing of it


class EpochReply(Message, frozen=True, tag=17):
    epoch: U64
    position: Position


class LeadEpoch(Message, frozen=True, tag=18):
    """All have agreed to the epoch; who is told knows most and leads it."""

    epoch: U64


# --- What is agreed, for all.


class CommittedEntries(Message, frozen=True, tag=20):
    """Decided entries, behind `before` with the digest `chain`."""

    epoch: U64
    prev_index: U32
    digest: U32
    leader: Annotated[int, Meta(ge=-1, le=0xFFFF)]
    entries: Entries


class CatchUpRequest(Message, frozen=True, tag=21):
    """What came after; or piece `part` of the state at `state`, once its first piece told which."""

    position: Position
    digest: U32
    snapshot: Position | None
    chunk: Annotated[int, Meta(ge=0, le=255)]


class SnapshotChunk(Message, frozen=True, tag=22):
    snapshot: Position
    digest: U32
    chunk: Annotated[int, Meta(ge=0, le=255)]
    chunks: Annotated[int, Meta(ge=1, le=256)]
    data: Annotated[bytes, Meta(max_length=CHUNK_BYTES)]


# --- Members and the leader.


class ReportRequest(Message, frozen=True, tag=30):
    """The leader has something to decide: all report for a while."""

    epoch: U64
    term: U32


ClassCounts = Annotated[tuple[U32, U32, U32, U32], Meta()]  # taken, failed, refused, late; since the start


class GatewayReport(Message, frozen=True, tag=31):
    epoch: U64
    term: U32
    applied: U32
    build: Build
    zone: Annotated[int, Meta(ge=0, le=255)]
    serving_ms: U32  # for how long it has served; 0: not yet, or not any more
    fence: U64  # of the slot that it holds for itself; 0: none
    busy_drains: Annotated[
        tuple[U64, ...], Meta(max_length=8)
    ]  # fences of drains that still hold something of its
    counts: Annotated[tuple[ClassCounts, ...], Meta(max_length=4)]  # by class


class ChangeRequest(Message, frozen=True, tag=32):
    """A member asks the leader for a change; asked again under the same id, it is done once."""

    id: U32
    change: "Change"


class ChangeReply(Message, frozen=True, tag=33):
    id: U32
    status: Annotated[int, Meta(ge=0, le=2)]  # DONE, REFUSED, LATER
    fence: U64
    text: Annotated[str, Meta(max_length=160)]


DONE, REFUSED, RETRY_LATER = range(3)


# --- Versions of the settings.


class LeaseRequest(Message, frozen=True, tag=34):
    """Whether what it acts on still holds, and what it says of the next."""

    sent_ms: U32  # the asker's clock, for itself
    number: U32  # by which it acts
    entering: bool  # by the merge with the next one
    next_digest: U64  # digest of the next one, if it holds and has checked it; 0: not yet
    veto: Annotated[str, Meta(max_length=96)]


class LeaseReply(Message, frozen=True, tag=35):
    """What is in force at the answer; it holds for `lease_ms` from the asking on."""

    sent_ms: U32
    number: U32
    entering: bool
    lease_ms: U32


class BodyRequest(Message, frozen=True, tag=36):
    digest: U64
    chunk: Annotated[int, Meta(ge=0, le=0xFFFF)]


class BodyChunk(Message, frozen=True, tag=37):
    digest: U64
    chunk: Annotated[int, Meta(ge=0, le=0xFFFF)]
    chunks: Annotated[int, Meta(ge=1, le=0xFFFF)]
    data: Annotated[bytes, Meta(max_length=176)]


class ListSummary(Message, frozen=True, tag=50):
    """Which list of engines its sender has."""

    generation: U64
    digest: U32


class ListRequest(Message, frozen=True, tag=51):
    generation: U64


class ListExclusions(Message, frozen=True, tag=52):
    """Engines that leave or left by a newer list."""

    generation: U64
    names: Annotated[tuple[Name, ...], Meta(max_length=8)]


class VersionRequest(Message, frozen=True, tag=46):
    number: U32
    digest: U64
    reason: Reason


class SlotRequest(Message, frozen=True, tag=40):
    boot_id: U32
    build: Build  # that it runs now


class SlotReturn(Message, frozen=True, tag=41):
    """A slot that was not used, or of another that is given up by a person (`by_hand`)."""

    number: Number
    fence: U64
    by_operator: bool


class DrainRequest(Message, frozen=True, tag=42):
    engine: Name
    reason: Reason
    limit_s: U32
    undo_at_limit: bool


class UndrainRequest(Message, frozen=True, tag=43):
    engine: Name
    reason: Reason


class ReleaseRequest(Message, frozen=True, tag=44):
    build: Build
    steps: Annotated[
        tuple[Annotated[int, Meta(ge=0, le=1000)], ...],
        Meta(min_length=1, max_length=8),
    ]
    reason: Reason
    by_zone: bool = False


class ReleaseStatusRequest(Message, frozen=True, tag=45):
    status: Annotated[int, Meta(ge=0, le=3)]
    reason: Reason


Change = (
    VersionRequest
    | SlotRequest
    | SlotReturn
    | DrainRequest
    | UndrainRequest
    | ReleaseRequest
    | ReleaseStatusRequest
)

AnyMessage = (
    Ping
    | Ack
    | IndirectPing
    | Nack
    | Leave
    | RecoveryRequest
    | RecoveryReply
    | VoteRequest
    | VoteReply
    | AppendEntries
    | AppendReply
    | EpochProposal
    | EpochReply
    | LeadEpoch
    | CommittedEntries
    | CatchUpRequest
    | SnapshotChunk
    | ReportRequest
    | GatewayReport
    | ChangeRequest
    | ChangeReply
    | LeaseRequest
    | LeaseReply
    | BodyRequest
    | BodyChunk
    | ListSummary
    | ListRequest
    | ListExclusions
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


class Envelope(NamedTuple):
    sender: int
    boot_id: int
    incarnation: int
    message: AnyMessage


class WireError(ValueError):
    """The datagram can't be read; the text is one word for the counter."""


def fleet_id(name: str) -> int:
    """By which a fleet's datagrams are told from those of another."""
    return crc32c(name.encode())


def datagram_size(message: msgspec.Struct) -> int:
    """Bytes of the datagram that carries it."""
    return HEADER.size + len(_encoder.encode(message)) + TRAILER.size


def encode(fleet: int, sender: int, boot_id: int, incarnation: int, message: AnyMessage) -> bytes:
    """The datagram. Errors: WireError where it would be too long."""
    data = HEADER.pack(MAGIC, VERSION, fleet, sender, boot_id, incarnation) + _encoder.encode(message)
    if len(data) + TRAILER.size > MAX_DATAGRAM_BYTES:
        raise WireError("long")
    return data + TRAILER.pack(crc32c(data))


def decode(fleet: int, data: bytes) -> Envelope:
    """Errors: WireError."""
    if not HEADER.size + TRAILER.size < len(data) <= MAX_DATAGRAM_BYTES:
        raise WireError("size")
    mark, version, whose, sender, boot_id, incarnation = HEADER.unpack_from(data)
    if mark != MAGIC:
        raise WireError("mark")
    if version != VERSION:
        raise WireError("version")
    if TRAILER.unpack_from(data, len(data) - TRAILER.size)[0] != crc32c(data[: -TRAILER.size]):
        raise WireError("spoilt")
    if whose != fleet:
        raise WireError("fleet")
    try:
        return Envelope(sender, boot_id, incarnation, _decoder.decode(data[HEADER.size : -TRAILER.size]))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise WireError("form") from error
