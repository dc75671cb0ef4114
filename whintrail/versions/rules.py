"""What a version holds: the operator's rules that bear on decisions, and their order of strictness.

Each setting has a meet: the stricter of two values. Of two bodies it is taken setting by setting, so it is
commutative, associative and idempotent, as each of its parts is. A setting without an order (an assignment)
gets one by a value stricter than all: for who takes the loads of a group of tables, nobody.
"""

from collections.abc import Iterator, Mapping
from hashlib import blake2b
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

MAX_RULES_BYTES = 65_536  # of a body as it travels
NO_GATEWAY = -1  # a group of tables whose loads no gateway takes

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Group = Annotated[str, Meta(pattern=r"^[0-9]{1,9}$")]
GatewayNumber = Annotated[int, Meta(ge=NO_GATEWAY, le=0xFFFF)]
T = TypeVar("T", int, int)


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Absent means: anything goes. What only concerns one process (log, sockets, store) is no part of it."""

    shut: tuple[Name, ...] = ()  # engines to which nothing new goes
    paused: tuple[Name, ...] = ()  # classes of which nothing new is taken
    caps: dict[Name, Count] = {}  # queries of a class in hand at one gateway, at most
    wait_ms: dict[Name, Annotated[int, Meta(ge=1, le=86_400_000)]] = {}  # a class's longest time, at most
    homes: dict[Group, GatewayNumber] = {}  # the gateway that takes the loads of a group of tables, alone
    council: tuple[Annotated[int, Meta(ge=0, le=0xFFFF)], ...] = ()  # of the fleet; it has no order


class RulesError(ValueError):
    """The body can't be used, or can't follow on another; the text names the place and the reason."""


def parse_rules(data: Any) -> Rules:
    """From plain values, as a file gives them. Errors: BodyError."""
    try:
        body: Rules = msgspec.convert(data, Rules)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at ")
        raise RulesError(f"{place.strip('`') or '$'}: {reason}") from error
    return canonicalize(body)


def canonicalize(rules: Rules) -> Rules:
    """Lists without order are sorted and told once; equal rules are equal bodies."""
    return Rules(
        shut=tuple(sorted(set(rules.shut))),
        paused=tuple(sorted(set(rules.paused))),
        caps=dict(sorted(rules.caps.items())),
        wait_ms=dict(sorted(rules.wait_ms.items())),
        homes=dict(sorted(rules.homes.items())),
        council=tuple(sorted(set(rules.council))),
    )


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Rules] = msgspec.msgpack.Decoder(Rules)


def encode(rules: Rules) -> bytes:
    """Canonical bytes. Errors: BodyError where they are too many."""
    data = _encoder.encode(canonicalize(rules))
    if len(data) > MAX_RULES_BYTES:
        raise RulesError(f"$: {len(data)} bytes, {MAX_RULES_BYTES} at most")
    return data


def decode(data: bytes) -> Rules:
    """Errors: BodyError, for bytes that are not canonical too: one body has one digest."""
    try:
        body = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise RulesError(f"$: {error}") from error
    if encode(body) != data:
        raise RulesError("$: not in canonical form")
    return body


def digest(data: bytes) -> int:
    """Of canonical bytes; 63 bits, never 0."""
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "big") >> 1 or 1


# --- Strictness.


def _merge_limits(a: Mapping[str, int], b: Mapping[str, int]) -> dict[str, int]:
    return {key: min(a.get(key, b.get(key, 0)), b.get(key, a.get(key, 0))) for key in {**a, **b}}


def _merge_homes(a: Mapping[str, int], b: Mapping[str, int]) -> dict[str, int]:
    """Who serves nowhere else is stricter than anybody; two who contradict leave nobody."""
    found = dict(a)
    for group, home in b.items():
        found[group] = home if found.get(group, home) == home else NO_GATEWAY
    return found


def merge_strict(a: Rules, b: Rules) -> Rules:
    """The stricter of both in each setting. Errors: BodyError where a setting has no order."""
    if a.council != b.council and a.council and b.council:
        raise RulesError("$.council: it has no order, so no version lies between two of them")
    return canonicalize(
        Rules(
            shut=a.shut + b.shut,
            paused=a.paused + b.paused,
            caps=_merge_limits(a.caps, b.caps),
            wait_ms=_merge_limits(a.wait_ms, b.wait_ms),
            homes=_merge_homes(a.homes, b.homes),
            council=a.council or b.council,
        )
    )


def is_at_least_as_strict(a: Rules, b: Rules) -> bool:
    """Whether `a` allows nothing that `b` refuses."""
    try:
        return merge_strict(a, b) == canonicalize(a)
    except RulesError:
        return False


def transition_rules(a: Rules, b: Rules) -> Rules:
    """What is in force on the way from one version to the next: it allows only what both allow, so who still
    acts on the one, and who acts on the other, never allows what is refused here without a way to both.
    Errors: BodyError with the place and the reason, where there is none."""
    found = merge_strict(a, b)
    encode(found)  # it has to travel as well
    return found


def differences(a: Rules, b: Rules) -> Iterator[tuple[str, object, object]]:
    """Where two bodies differ: path, before, after."""
    for name in ("shut", "paused"):
        before, after = set(getattr(a, name)), set(getattr(b, name))
        for item in sorted(before ^ after):
            yield f"$.{name}.{item}", item in before, item in after
    for name in ("caps", "wait_ms", "homes"):
        one, other = getattr(a, name), getattr(b, name)
        for key in sorted({**one, **other}):
            if one.get(key) != other.get(key):
                yield f"$.{name}.{key}", one.get(key), other.get(key)
    if a.council != b.council:
        yield "$.council", list(a.council), list(b.council)


def conflicting_paths(a: Rules, b: Rules) -> list[str]:
    """Paths at which one allows what the other refuses."""
    return [path for path, _, _ in differences(a, b)]


def find_unsupported(rules: Rules, classes: frozenset[str], gateway_count: int) -> str:
    """Why a gateway can't act on it; empty where it can."""
    for name in ("paused", "caps", "wait_ms"):
        for key in getattr(rules, name):
            if key not in classes:
                return f"$.{name}.{key}: no such class here"
    for group, home in rules.homes.items():
        if home >= gateway_count:
            return f"$.homes.{group}: gateway {home} is none of {gateway_count}"
    if classes and classes <= set(rules.paused):
        return "$.paused: every class"
    return ""
