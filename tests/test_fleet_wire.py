"""The wire format of the fleet's datagrams, and the replicated state."""

import struct

import pytest
from crc32c import crc32c
from hypothesis import given
from hypothesis import strategies as st

from whintrail.fleet import checksum, wire
from whintrail.fleet.state import (
    AdvanceRelease,
    AnyCommand,
    DrainEngine,
    FleetState,
    FreeSlot,
    GrantSlot,
    Noop,
    SetReleaseStatus,
    StartRelease,
    UndrainEngine,
    extend_digest,
)

FLEET = wire.fleet_id("f")
u32 = st.integers(0, 0xFFFFFFFF)
u64 = st.integers(0, (1 << 63) - 1)
number = st.integers(0, 0xFFFF)
position = st.tuples(u64, u32, u32)
note = st.builds(wire.Progress, position, u32, st.integers(-1, 0xFFFF), u32)
update = st.builds(wire.MemberUpdate, number, st.integers(0, 3), u32, u32)
text = st.text(max_size=20)
name = st.text(min_size=1, max_size=20)
command = st.one_of(
    st.builds(Noop),
    st.builds(GrantSlot, number, u32, u32, u32, u64),
    st.builds(FreeSlot, number, u64, text),
    st.builds(DrainEngine, name, text, u32, st.booleans(), u64),
    st.builds(UndrainEngine, name, text),
    st.builds(StartRelease, text, st.just((20, 1000)), text, u64, st.booleans()),
    st.builds(AdvanceRelease, u32, u32, st.just(((1, 2, 3),))),
    st.builds(SetReleaseStatus, u32, st.integers(0, 3), text),
)
message = st.one_of(
    st.builds(wire.Ping, u32, note, st.lists(update, max_size=6).map(tuple)),
    st.builds(wire.RecoveryReply, u32, u64, u32, st.booleans(), u32, u32),
    st.builds(
        wire.CommittedEntries,
        u64,
        u32,
        u32,
        st.integers(-1, 9),
        st.tuples(st.builds(wire.Entry, u32, u32, command)),
    ),
    st.builds(wire.ChangeRequest, u32, st.builds(wire.DrainRequest, name, text, u32, st.booleans())),
    st.builds(
        wire.SnapshotChunk, position, u32, st.just(0), st.just(1), st.binary(max_size=wire.CHUNK_BYTES)
    ),
)


@given(message, number, u32, u32)
def test_encoded_message_decodes_and_fits_one_datagram(
    sent: wire.AnyMessage, sender: int, boot_id: int, incarnation: int
) -> None:
    data = wire.encode(FLEET, sender, boot_id, incarnation, sent)
    assert len(data) <= wire.MAX_DATAGRAM_BYTES
    assert wire.decode(FLEET, data) == (sender, boot_id, incarnation, sent)


@given(message, st.integers(0, 255 * 8))
def test_flipped_bit_is_rejected(sent: wire.AnyMessage, bit: int) -> None:
    data = bytearray(wire.encode(FLEET, 1, 2, 3, sent))
    bit %= len(data) * 8
    data[bit // 8] ^= 1 << bit % 8
    with pytest.raises(wire.WireError):
        wire.decode(FLEET, bytes(data))


@given(st.binary(max_size=300))
def test_random_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(wire.WireError):
        wire.decode(FLEET, data)


def with_checksum(header: bytes, body: bytes) -> bytes:
    return header + body + struct.pack("!I", crc32c(header + body))


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (wire.encode(wire.fleet_id("g"), 1, 2, 3, wire.Nack(1)), "fleet"),
        (with_checksum(wire.HEADER.pack(wire.MAGIC, 2, FLEET, 1, 2, 3), b"\x92\x04\x01"), "version"),
        (
            with_checksum(wire.HEADER.pack(wire.MAGIC, 1, FLEET, 1, 2, 3), b"\x92\x04\x01\x00"),
            "form",
        ),  # trailing byte
        (
            with_checksum(wire.HEADER.pack(wire.MAGIC, 1, FLEET, 1, 2, 3), b"\x93\x04\x01\x02"),
            "form",
        ),  # extra field
        (
            with_checksum(wire.HEADER.pack(wire.MAGIC, 1, FLEET, 1, 2, 3), b"\x92\x04\xff"),
            "form",
        ),  # out of range
        (with_checksum(wire.HEADER.pack(1, 1, FLEET, 1, 2, 3), b"\x92\x04\x01"), "mark"),
    ],
)
def test_each_decode_error_has_its_reason(data: bytes, reason: str) -> None:
    with pytest.raises(wire.WireError, match=reason):
        wire.decode(FLEET, data)


@given(st.lists(command, max_size=20))
def test_same_commands_give_same_state_and_state_round_trips(commands: list[AnyCommand]) -> None:
    first, second, digest = FleetState(), FleetState(), 0
    for index, next_command in enumerate(commands):
        assert first.apply(next_command) == second.apply(next_command)
        digest = extend_digest(digest, index, next_command)
    assert FleetState.decode(first.encode()) == first and first.encode() == second.encode()
    second.apply(GrantSlot(70_00, 1, 1, 0, 0))
    assert (first.encode() == second.encode()) == (first.slots == second.slots)


def test_slot_grants_during_a_halted_release() -> None:
    state = FleetState()
    assert state.apply(StartRelease("b2", (500, 1000), "", 0, False)) == ""
    assert state.apply(GrantSlot(1, 7, 1, 1, 0)) == "" and state.slots[1].fence == 1
    # A repeated request gets the same slot.
    assert state.apply(GrantSlot(1, 7, 1, 1, 0)) == "" and state.last_fence == 1
    assert state.apply(GrantSlot(1, 8, 2, 1, 0)) == "it holds a slot already"
    assert state.apply(FreeSlot(1, 9, "")) == "no such slot"
    assert state.apply(SetReleaseStatus(1, 1, "worse")) == ""
    assert "halted" in state.apply(GrantSlot(2, 5, 1, 1, 0))  # a grant that was proposed before the halt
    assert state.apply(AdvanceRelease(1, 1, ())) == "no such release under way"
    assert state.apply(SetReleaseStatus(1, 0, "")) == "" and state.apply(AdvanceRelease(1, 1, ())) == ""
    assert state.apply(AdvanceRelease(1, 1, ())) == "not its next step"  # a step is not repeated
    assert (
        state.apply(SetReleaseStatus(1, 3, "")) == ""
        and state.apply(SetReleaseStatus(1, 0, "")) == "it is done"
    )


@given(st.binary(max_size=64))
def test_checksum_matches_library(data: bytes) -> None:
    assert crc32c(data) == checksum.crc32c(data)


def test_checksum_matches_rfc_3720() -> None:
    assert checksum.crc32c(b"123456789") == 0xE3069283  # the usual check value of RFC 3720's polynomial
