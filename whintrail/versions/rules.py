"""The content of a settings version: the operator's rules for routing decisions, ordered by strictness.

For each setting a meet is defined: the stricter of two values. The meet of two sets of rules is taken setting
by setting, so it is commutative, associative and idempotent like that of each setting. A setting without a
natural order (an assignment) gets one by a value that is stricter than all others: for the gateway that takes
the loads of a table group, no gateway at all.
"""

from collections.abc import Iterator, Mapping
from hashlib import blake2b
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

MAX_RULES_BYTES = 65_536  # encoded
NO_GATEWAY = -1  # no gateway takes the loads of the table group

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Group = Annotated[str, Meta(pattern=r"^[0-9]{1,9}$")]
GatewayNumber = Annotated[int, Meta(ge=NO_GATEWAY, le=0xFFFF)]
T = TypeVar("T", int, int)


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """An absent setting restricts nothing. Settings of one process (log, sockets, store) are not rules."""

    shut: tuple[Name, ...] = ()  # engines that get no new attempts
    paused: tuple[Name, ...] = ()  # classes of which no new query is accepted
    caps: dict[Name, Count] = {}  # maximum of open queries of a class per gateway
    wait_ms: dict[Name, Annotated[int, Meta(ge=1, le=86_400_000)]] = {}  # maximum time of a query by class
    homes: dict[Group, GatewayNumber] = {}  # the only gateway that takes the loads of a table group
    council: tuple[Annotated[int, Meta(ge=0, le=0xFFFF)], ...] = ()  # the fleet's voters; has no order


class RulesError(ValueError):
    """The rules are invalid or can't follow others; the text names the path and the reason."""


def parse_rules(data: Any) -> Rules:
    """Validate plain values, as a file holds them. Errors: RulesError."""
    try:
        rules: Rules = msgspec.convert(data, Rules)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at ")
        raise RulesError(f"{place.strip('`') or '$'}: {reason}") from error
    return canonicalize(rules)


def canonicalize(rules: Rules) -> Rules:
    """Sort unordered lists and remove duplicates, so that equivalent rules compare and encode equally."""
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
    """Canonical bytes. Errors: RulesError if they are too many."""
    data = _encoder.encode(canonicalize(rules))
    if len(data) > MAX_RULES_BYTES:
        raise RulesError(f"$: {len(data)} bytes, {MAX_RULES_BYTES} at most")
    return data


def decode(data: bytes) -> Rules:
    """Errors: RulesError, also for bytes that are not canonical, so that equal rules have one digest."""
    try:
        rules = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise RulesError(f"$: {error}") from error
    if encode(rules) != data:
        raise RulesError("$: not in canonical form")
    return rules


def digest(data: bytes) -> int:
    """Digest of canonical bytes; 63 bits, never 0."""
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "big") >> 1 or 1


# --- Strictness.


def _merge_limits(a: Mapping[str, int], b: Mapping[str, int]) -> dict[str, int]:
    return {key: min(a.get(key, b.get(key, 0)), b.get(key, a.get(key, 0))) for key in {**a, **b}}


def _merge_homes(a: Mapping[str, int], b: Mapping[str, int]) -> dict[str, int]:
    """A named gateway is stricter than none named; two different ones merge to NO_GATEWAY."""
    merged = dict(a)
    for group, home in b.items():
        merged[group] = home if merged.get(group, home) == home else NO_GATEWAY
    return merged


def merge_strict(a: Rules, b: Rules) -> Rules:
    """The stricter value of each setting. Errors: RulesError for a setting without an order."""
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
    """The rules in force while one version replaces another: they allow only what both versions allow,
    so nothing that a gateway allows by them is refused by the old version or by the new one.
    Errors: RulesError with the path and the reason if there are no such rules."""
    merged = merge_strict(a, b)
    encode(merged)  # its size is limited as well
    return merged


def differences(a: Rules, b: Rules) -> Iterator[tuple[str, object, object]]:
    """Where two sets of rules differ: path, value before, value after."""
    for name in ("shut", "paused"):
        before, after = set(getattr(a, name)), set(getattr(b, name))
        for item in sorted(before ^ after):
            yield f"$.{name}.{item}", item in before, item in after
    for name in ("caps", "wait_ms", "homes"):
        first, second = getattr(a, name), getattr(b, name)
        for key in sorted({**first, **second}):
            if first.get(key) != second.get(key):
                yield f"$.{name}.{key}", first.get(key), second.get(key)
    if a.council != b.council:
        yield "$.council", list(a.council), list(b.council)


def conflicting_paths(a: Rules, b: Rules) -> list[str]:
    """Paths at which one allows what the other refuses."""
    return [path for path, _, _ in differences(a, b)]


def find_unsupported(rules: Rules, classes: frozenset[str], gateway_count: int) -> str:
    """Why a gateway can't apply the rules; empty if it can."""
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
