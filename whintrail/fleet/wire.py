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
from whintrail.fleet.state import U32, U64, Any, Build, Name, Number, Why

MOST_BYTES = 256
MARK, VERSION = 0xF5, 1
HEAD = struct.Struct("!BBIHII")  # mark, version, fleet, sender, birth, incarnation
TAIL = struct.Struct("!I")
MOST_BODY = MOST_BYTES - HEAD.size - TAIL.size
PIECE = 160  # bytes of a state that travel in one datagram

Position = tuple[U64, U32, U32]  # epoch, term and index of an entry; later ones are greater


class Message(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What one gateway says to another."""


class Update(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What somebody holds of a member."""

    number: Number
    state: Annotated[int, Meta(ge=0, le=3)]
    incarnation: U32
    birth: U32


class Note(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """How far its sender knows what is agreed, and whom it takes for the leader."""

    position: Position
    chain: U32
    leader: Annotated[int, Meta(ge=-1, le=0xFFFF)]
    term: U32


Gossip = Annotated[tuple[Update, ...], Meta(max_length=8)]


# --- Membership.


class Ping(Message, frozen=True, tag=1):
    seq: U32
    note: Note
    gossip: Gossip


class Ack(Message, frozen=True, tag=2):
    seq: U32
    note: Note
    gossip: Gossip


class PingAsk(Message, frozen=True, tag=3):
    """Ask another for us: our own way to it may be cut."""

    seq: U32
    target: Number


class Nack(Message, frozen=True, tag=4):
    """The helper lives, the target does not answer it either: nothing speaks against whoever asked."""

    seq: U32


class Leaving(Message, frozen=True, tag=5):
    """A process that ends: it takes in nothing more."""

    fence: U64  # of its slot; 0: out without one


# --- The council.


class RecoverAsk(Message, frozen=True, tag=10):
    """A member that knows nothing asks before it takes part."""

    nonce: U32
    waited_ms: U32
    position: Position
    promised: U64  # an epoch to which it has agreed; 0: none


class RecoverTell(Message, frozen=True, tag=11):
    nonce: U32
    epoch: U64
    term: U32
    leads: bool
    last: U32
    lonely_ms: U32  # without a leader


class VoteAsk(Message, frozen=True, tag=12):
    epoch: U64
    term: U32
    ballot: U32  # at random: a vote for a candidate's earlier self counts for nothing
    last_term: U32
    last: U32
    trial: bool  # whether it would win: binds nobody


# What each member of the council, in order, is born as to the sender; 0: never heard of.
Births = Annotated[tuple[U32, ...], Meta(max_length=7)]


class VoteTell(Message, frozen=True, tag=13):
    epoch: U64
    term: U32
    ballot: U32
    trial: bool
    yes: bool
    births: Births


class Entry(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    index: U32
    term: U32
    command: Any


Entries = Annotated[tuple[Entry, ...], Meta(max_length=32)]


class Append(Message, frozen=True, tag=14):
    epoch: U64
    term: U32
    last_term: U32  # of the entry before these
    last: U32
    commit: U32
    stamp: U32  # the leader's clock, for itself
    entries: Entries


class AppendTell(Message, frozen=True, tag=15):
    epoch: U64
    term: U32
    good: bool
    last: U32  # the last that is held as the leader has it; where not good, where to try
    stamp: U32  # of what it answers
    learns: bool  # it counts for no majority yet
    births: Births


class Reform(Message, frozen=True, tag=16):
    """Most of the council forgot: all of it begins anew, as one."""

    epoch: U64
    birth: U32  # of whom it is meant for: a later process knows nothing of it


class ReformTell(Message, frozen=True, tag=17):
    epoch: U64
    position: Position


class Crown(Message, frozen=True, tag=18):
    """All have agreed to the epoch; who is told knows most and leads it."""

    epoch: U64


# --- What is agreed, for all.


class Told(Message, frozen=True, tag=20):
    """Decided entries, behind `before` with the digest `chain`."""

    epoch: U64
    before: U32
    chain: U32
    leader: Annotated[int, Meta(ge=-1, le=0xFFFF)]
    entries: Entries


class Pull(Message, frozen=True, tag=21):
    """What came after; or piece `part` of the state at `state`, once its first piece told which."""

    position: Position
    chain: U32
    state: Position | None
    part: Annotated[int, Meta(ge=0, le=255)]


class Piece(Message, frozen=True, tag=22):
    state: Position
    chain: U32
    part: Annotated[int, Meta(ge=0, le=255)]
    parts: Annotated[int, Meta(ge=1, le=256)]
    data: Annotated[bytes, Meta(max_length=PIECE)]


# --- Members and the leader.


class Wanted(Message, frozen=True, tag=30):
    """The leader has something to decide: all report for a while."""

    epoch: U64
    term: U32


Counts = Annotated[tuple[U32, U32, U32, U32], Meta()]  # taken, failed, refused, late; since the start


class Report(Message, frozen=True, tag=31):
    epoch: U64
    term: U32
    applied: U32
    build: Build
    zone: Annotated[int, Meta(ge=0, le=255)]
    serving_ms: U32  # for how long it has served; 0: not yet, or not any more
    fence: U64  # of the slot that it holds for itself; 0: none
    busy: Annotated[tuple[U64, ...], Meta(max_length=8)]  # fences of drains that still hold something of its
    counts: Annotated[tuple[Counts, ...], Meta(max_length=4)]  # by class


class Ask(Message, frozen=True, tag=32):
    """A member asks the leader for a change; asked again under the same id, it is done once."""

    id: U32
    change: "Change"


class Answer(Message, frozen=True, tag=33):
    id: U32
    word: Annotated[int, Meta(ge=0, le=2)]  # DONE, REFUSED, LATER
    fence: U64
    text: Annotated[str, Meta(max_length=160)]


DONE, REFUSED, LATER = range(3)


# --- Versions of the settings.


class LeaseAsk(Message, frozen=True, tag=34):
    """Whether what it acts on still holds, and what it says of the next."""

    stamp: U32  # the asker's clock, for itself
    number: U32  # by which it acts
    entering: bool  # by the merge with the next one
    holds: U64  # digest of the next one, if it holds and has checked it; 0: not yet
    veto: Annotated[str, Meta(max_length=96)]


class LeaseTell(Message, frozen=True, tag=35):
    """What is in force at the answer; it holds for `lease_ms` from the asking on."""

    stamp: U32
    number: U32
    entering: bool
    lease_ms: U32


class BodyPull(Message, frozen=True, tag=36):
    digest: U64
    part: Annotated[int, Meta(ge=0, le=0xFFFF)]


class BodyPiece(Message, frozen=True, tag=37):
    digest: U64
    part: Annotated[int, Meta(ge=0, le=0xFFFF)]
    parts: Annotated[int, Meta(ge=1, le=0xFFFF)]
    data: Annotated[bytes, Meta(max_length=176)]


class ListNote(Message, frozen=True, tag=50):
    """Which list of engines its sender has."""

    generation: U64
    digest: U32


class ListPull(Message, frozen=True, tag=51):
    generation: U64


class ListStrict(Message, frozen=True, tag=52):
    """Engines that leave or left by a newer list."""

    generation: U64
    names: Annotated[tuple[Name, ...], Meta(max_length=8)]


class WantVersion(Message, frozen=True, tag=46):
    number: U32
    digest: U64
    why: Why


class WantSlot(Message, frozen=True, tag=40):
    birth: U32
    build: Build  # that it runs now


class GiveBack(Message, frozen=True, tag=41):
    """A slot that was not used, or of another that is given up by a person (`by_hand`)."""

    number: Number
    fence: U64
    by_hand: bool


class WantDrain(Message, frozen=True, tag=42):
    engine: Name
    why: Why
    limit_s: U32
    undo: bool


class WantUndrain(Message, frozen=True, tag=43):
    engine: Name
    why: Why


class WantRelease(Message, frozen=True, tag=44):
    build: Build
    steps: Annotated[
        tuple[Annotated[int, Meta(ge=0, le=1000)], ...],
        Meta(min_length=1, max_length=8),
    ]
    why: Why
    by_zone: bool = False


class WantTurn(Message, frozen=True, tag=45):
    status: Annotated[int, Meta(ge=0, le=3)]
    why: Why


Change = WantVersion | WantSlot | GiveBack | WantDrain | WantUndrain | WantRelease | WantTurn

Any_ = (
    Ping
    | Ack
    | PingAsk
    | Nack
    | Leaving
    | RecoverAsk
    | RecoverTell
    | VoteAsk
    | VoteTell
    | Append
    | AppendTell
    | Reform
    | ReformTell
    | Crown
    | Told
    | Pull
    | Piece
    | Wanted
    | Report
    | Ask
    | Answer
    | LeaseAsk
    | LeaseTell
    | BodyPull
    | BodyPiece
    | ListNote
    | ListPull
    | ListStrict
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Any_] = msgspec.msgpack.Decoder(Any_)


class Letter(NamedTuple):
    sender: int
    birth: int
    incarnation: int
    message: Any_


class WireError(ValueError):
    """The datagram can't be read; the text is one word for the counter."""


def fleet_id(name: str) -> int:
    """By which a fleet's datagrams are told from those of another."""
    return crc32c(name.encode())


def size(message: msgspec.Struct) -> int:
    """Bytes of the datagram that carries it."""
    return HEAD.size + len(_encoder.encode(message)) + TAIL.size


def encode(fleet: int, sender: int, birth: int, incarnation: int, message: Any_) -> bytes:
    """The datagram. Errors: WireError where it would be too long."""
    data = HEAD.pack(MARK, VERSION, fleet, sender, birth, incarnation) + _encoder.encode(message)
    if len(data) + TAIL.size > MOST_BYTES:
        raise WireError("long")
    return data + TAIL.pack(crc32c(data))


def decode(fleet: int, data: bytes) -> Letter:
    """Errors: WireError."""
    if not HEAD.size + TAIL.size < len(data) <= MOST_BYTES:
        raise WireError("size")
    mark, version, whose, sender, birth, incarnation = HEAD.unpack_from(data)
    if mark != MARK:
        raise WireError("mark")
    if version != VERSION:
        raise WireError("version")
    if TAIL.unpack_from(data, len(data) - TAIL.size)[0] != crc32c(data[: -TAIL.size]):
        raise WireError("spoilt")
    if whose != fleet:
        raise WireError("fleet")
    try:
        return Letter(sender, birth, incarnation, _decoder.decode(data[HEAD.size : -TAIL.size]))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise WireError("form") from error
