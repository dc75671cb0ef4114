"""Wire format of the messages that gateways exchange about the fleet.

A datagram has at most 256 bytes: a header (magic byte, version, fleet, sender's number, boot id and
incarnation), a body in MessagePack, and the CRC-32C of both. Decoding is strict. The magic byte differs from
the first byte of probe report datagrams (`probe_reports.py`), which use the same socket. Each process draws
its boot id at random when it starts, which distinguishes a restart from a pause.

Message classes are encoded as arrays: field order, types and tags are part of the protocol, names are not.
"""

import struct
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from whintrail.fleet.checksum import crc32c
from whintrail.fleet.state import U32, U64, AnyCommand, Build, Name, Number, Reason

MAX_DATAGRAM_BYTES = 256
MAGIC = 0xF5
VERSION = 1
HEADER = struct.Struct("!BBIHII")  # magic, version, fleet, sender, boot id, incarnation
TRAILER = struct.Struct("!I")
MAX_BODY_BYTES = MAX_DATAGRAM_BYTES - HEADER.size - TRAILER.size
CHUNK_BYTES = 160  # of a snapshot, in one datagram

Position = tuple[U64, U32, U32]  # epoch, term and index of a log entry; later positions are greater


class Message(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Base class of the messages between gateways."""


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A member's state as its sender knows it, disseminated by gossip."""

    number: Number
    state: Annotated[int, Meta(ge=0, le=3)]
    incarnation: U32
    boot_id: U32


class Progress(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The sender's replication progress, and the leader that it knows."""

    position: Position
    digest: U32
    leader: Annotated[int, Meta(ge=-1, le=0xFFFF)]
    term: U32


Updates = Annotated[tuple[MemberUpdate, ...], Meta(max_length=8)]


# --- Membership (SWIM).


class Ping(Message, frozen=True, tag=1):
    """Asks whether the receiver is alive; carries membership updates."""

    seq: U32
    progress: Progress
    updates: Updates


class Ack(Message, frozen=True, tag=2):
    """Answers a ping, with the same sequence number; carries membership updates."""

    seq: U32
    progress: Progress
    updates: Updates


class IndirectPing(Message, frozen=True, tag=3):
    """Asks the receiver to ping `target` (SWIM's ping-req): the sender's own path to it may be broken."""

    seq: U32
    target: Number


class Nack(Message, frozen=True, tag=4):
    """The target of an indirect ping did not answer. The helper did, so the requester's own links work."""

    seq: U32


class Leave(Message, frozen=True, tag=5):
    """The sender is shutting down and accepts no more queries."""

    fence: U64  # of its restart slot; 0: it leaves without one


# --- Consensus among the voters (Raft, Viewstamped Replication).


class RecoveryRequest(Message, frozen=True, tag=10):
    """Sent by a voter that starts without state, before it takes part."""

    nonce: U32
    leaderless_ms: U32
    position: Position
    promised_epoch: U64  # the new epoch that it has accepted; 0: none


class RecoveryReply(Message, frozen=True, tag=11):
    """Answers a recovery request with the sender's epoch, term and log position."""

    nonce: U32
    epoch: U64
    term: U32
    is_leader: bool
    last_index: U32
    leaderless_ms: U32


class VoteRequest(Message, frozen=True, tag=12):
    """A candidate's request for a vote or, as prevote, for whether it would get one."""

    epoch: U64
    term: U32
    ballot: U32  # drawn at random: votes for the candidate's previous process don't count
    last_term: U32
    last_index: U32
    is_prevote: bool  # only asks whether the candidate would win; binds nobody


# The boot id of each voter, in the order of their numbers, as the sender knows it; 0: never heard from.
BootIds = Annotated[tuple[U32, ...], Meta(max_length=7)]


class VoteReply(Message, frozen=True, tag=13):
    """Answers a vote request."""

    epoch: U64
    term: U32
    ballot: U32
    is_prevote: bool
    granted: bool
    boot_ids: BootIds


class Entry(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A log entry."""

    index: U32
    term: U32
    command: AnyCommand


Entries = Annotated[tuple[Entry, ...], Meta(max_length=32)]


class AppendEntries(Message, frozen=True, tag=14):
    """The leader's log entries after `prev_index`; without entries a heartbeat."""

    epoch: U64
    term: U32
    prev_term: U32  # of the entry before these
    prev_index: U32
    commit_index: U32
    sent_ms: U32  # by the leader's clock; the reply returns it
    entries: Entries


class AppendReply(Message, frozen=True, tag=15):
    """Answers an append."""

    epoch: U64
    term: U32
    success: bool
    last_index: U32  # on success the last index that matches the leader's log, else the index to retry from
    sent_ms: U32  # of the request
    is_recovering: bool  # doesn't count towards a quorum yet
    boot_ids: BootIds


class EpochProposal(Message, frozen=True, tag=16):
    """Proposes a new epoch after most voters lost their state; all voters have to accept it."""

    epoch: U64
    boot_id: U32  # of the receiver: a later process of it ignores the message


class EpochReply(Message, frozen=True, tag=17):
    """Accepts a proposed epoch, with the sender's latest position."""

    epoch: U64
    position: Position


class LeadEpoch(Message, frozen=True, tag=18):
    """All voters accepted the epoch; the receiver has the longest history and becomes its leader."""

    epoch: U64


# --- Replication of the committed state to all gateways.


class CommittedEntries(Message, frozen=True, tag=20):
    """Committed entries that follow `prev_index`; `digest` is that of the history up to there."""

    epoch: U64
    prev_index: U32
    digest: U32
    leader: Annotated[int, Meta(ge=-1, le=0xFFFF)]
    entries: Entries


class CatchUpRequest(Message, frozen=True, tag=21):
    """Asks for the entries after `position`, or for a chunk of the snapshot at position `snapshot`."""

    position: Position
    digest: U32
    snapshot: Position | None
    chunk: Annotated[int, Meta(ge=0, le=255)]


class SnapshotChunk(Message, frozen=True, tag=22):
    """A chunk of the encoded state as of position `snapshot`."""

    snapshot: Position
    digest: U32
    chunk: Annotated[int, Meta(ge=0, le=255)]
    chunks: Annotated[int, Meta(ge=1, le=256)]
    data: Annotated[bytes, Meta(max_length=CHUNK_BYTES)]


# --- Members and the leader.


class ReportRequest(Message, frozen=True, tag=30):
    """The leader has open decisions and asks all gateways to report for a while."""

    epoch: U64
    term: U32


# Taken, failed, refused and late queries since the start.
ClassCounts = Annotated[tuple[U32, U32, U32, U32], Meta()]


class GatewayReport(Message, frozen=True, tag=31):
    """A gateway's report to the leader: what it has applied, its build, its drains and its counts."""

    epoch: U64
    term: U32
    applied: U32
    build: Build
    zone: Annotated[int, Meta(ge=0, le=255)]
    serving_ms: U32  # for how long it has served; 0: not yet or no longer
    fence: U64  # of the slot that it holds; 0: none
    # Fences of drains whose engines still run attempts of the gateway.
    busy_drains: Annotated[tuple[U64, ...], Meta(max_length=8)]
    counts: Annotated[tuple[ClassCounts, ...], Meta(max_length=4)]  # by class


class ChangeRequest(Message, frozen=True, tag=32):
    """Asks the leader for a change. A repeated request with the same id is carried out once."""

    id: U32
    change: "Change"


class ChangeReply(Message, frozen=True, tag=33):
    """The leader's answer to a change request."""

    id: U32
    status: Annotated[int, Meta(ge=0, le=2)]  # DONE, REFUSED or RETRY_LATER
    fence: U64
    text: Annotated[str, Meta(max_length=160)]


# Status of a change request.
DONE, REFUSED, RETRY_LATER = range(3)


# --- Versions of the settings.


class LeaseRequest(Message, frozen=True, tag=34):
    """Renews the lease on the active settings version, and says whether the next one is acceptable."""

    sent_ms: U32  # by the sender's clock; the reply returns it
    number: U32  # of the active version
    entering: bool  # it acts by the stricter of this version and the next
    next_digest: U64  # of the next version, once stored and checked; 0: not yet
    veto: Annotated[str, Meta(max_length=96)]


class LeaseReply(Message, frozen=True, tag=35):
    """The version in force when the reply was sent; valid for `lease_ms` from the sending of the request."""

    sent_ms: U32
    number: U32
    entering: bool
    lease_ms: U32


class BodyRequest(Message, frozen=True, tag=36):
    """Asks for a chunk of a settings version, by the version's digest."""

    digest: U64
    chunk: Annotated[int, Meta(ge=0, le=0xFFFF)]


class BodyChunk(Message, frozen=True, tag=37):
    """A chunk of the body of a settings version."""

    digest: U64
    chunk: Annotated[int, Meta(ge=0, le=0xFFFF)]
    chunks: Annotated[int, Meta(ge=1, le=0xFFFF)]
    data: Annotated[bytes, Meta(max_length=176)]


class ListSummary(Message, frozen=True, tag=50):
    """The engine list that the sender has."""

    generation: U64
    digest: U32


class ListRequest(Message, frozen=True, tag=51):
    """Asks a peer with a newer engine list for its exclusions; `generation` is the sender's."""

    generation: U64


class ListExclusions(Message, frozen=True, tag=52):
    """Engines that are leaving or removed according to a newer list."""

    generation: U64
    names: Annotated[tuple[Name, ...], Meta(max_length=8)]


class VersionRequest(Message, frozen=True, tag=46):
    """Proposes a version of the settings."""

    number: U32
    digest: U64
    reason: Reason


class SlotRequest(Message, frozen=True, tag=40):
    """Asks for permission to restart the sender's process."""

    boot_id: U32
    build: Build  # that it runs now


class SlotReturn(Message, frozen=True, tag=41):
    """Returns an unused slot, or declares another gateway lost on an operator's word (`by_operator`)."""

    number: Number
    fence: U64
    by_operator: bool


class DrainRequest(Message, frozen=True, tag=42):
    """Drains an engine."""

    engine: Name
    reason: Reason
    limit_s: U32
    undo_at_limit: bool


class UndrainRequest(Message, frozen=True, tag=43):
    """Ends the drain of an engine."""

    engine: Name
    reason: Reason


class ReleaseRequest(Message, frozen=True, tag=44):
    """Starts a release."""

    build: Build
    steps: Annotated[
        tuple[Annotated[int, Meta(ge=0, le=1000)], ...],
        Meta(min_length=1, max_length=8),
    ]
    reason: Reason
    by_zone: bool = False


class ReleaseStatusRequest(Message, frozen=True, tag=45):
    """Halts, resumes, rolls back or finishes the release."""

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
    """A decoded datagram."""

    sender: int
    boot_id: int
    incarnation: int
    message: AnyMessage


class WireError(ValueError):
    """The datagram can't be encoded or decoded; the text is the suffix of a counter's name."""


def fleet_id(name: str) -> int:
    """The id that marks the datagrams of one fleet."""
    return crc32c(name.encode())


def datagram_size(message: msgspec.Struct) -> int:
    """The size of the datagram that carries the message, in bytes."""
    return HEADER.size + len(_encoder.encode(message)) + TRAILER.size


def encode(fleet: int, sender: int, boot_id: int, incarnation: int, message: AnyMessage) -> bytes:
    """Encodes a datagram. Raises WireError if it would be too long."""
    data = HEADER.pack(MAGIC, VERSION, fleet, sender, boot_id, incarnation) + _encoder.encode(message)
    if len(data) + TRAILER.size > MAX_DATAGRAM_BYTES:
        raise WireError("long")
    return data + TRAILER.pack(crc32c(data))


def decode(fleet: int, data: bytes) -> Envelope:
    """Decodes a datagram. Raises WireError if it is not valid or belongs to another fleet."""
    if not HEADER.size + TRAILER.size < len(data) <= MAX_DATAGRAM_BYTES:
        raise WireError("size")
    magic, version, sender_fleet, sender, boot_id, incarnation = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise WireError("mark")
    if version != VERSION:
        raise WireError("version")
    if TRAILER.unpack_from(data, len(data) - TRAILER.size)[0] != crc32c(data[: -TRAILER.size]):
        raise WireError("spoilt")
    if sender_fleet != fleet:
        raise WireError("fleet")
    try:
        return Envelope(sender, boot_id, incarnation, _decoder.decode(data[HEADER.size : -TRAILER.size]))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise WireError("form") from error
