"""Every order of events of a leader and three gateways through two changes of version: a transition model.

Time goes in ticks. A question and its answer may come at any later tick, in any order, or never. What must
hold: gateways with leases act by two different rules for `STATED` ticks at most, and never by two versions
that have nothing between them. Variants are switched on to be caught.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import combinations

CHANGES = 2
LEASE = 2
STATED = LEASE + 1  # a tick for what happens between two looks

Rules = tuple[int, ...]

# A phase: 0 = version 0 settled; then for each change proposed, entering, settled.
PROPOSED, ENTERING, SETTLED = 1, 2, 0


def kind(phase: int) -> int:
    return phase % 3


def rule(phase: int) -> Rules:
    """The versions whose rules are all kept."""
    number = (phase + 2) // 3 if kind(phase) != SETTLED else phase // 3
    if kind(phase) == SETTLED:
        return (number,)
    return (number - 1, number) if kind(phase) == ENTERING else (number - 1,)


@dataclass(frozen=True, slots=True)
class Variant:
    """What a broken program would do."""

    no_lease: bool = False  # acts on what it knows for ever
    from_answer: bool = False  # the lease counts from when the answer came
    no_between: bool = False  # from one version to the next at once
    settles_early: bool = False  # the leader doesn't wait for leases on what was before
    on_proposal: bool = False  # acts on the next version before it is agreed


@dataclass(frozen=True, slots=True, order=True)
class Gateway:
    leased: int = 0  # phase that it acts by
    left: int = LEASE  # ticks
    asked: int = -1  # age of its question on the way; -1: none
    told: int = -1  # phase in the answer on the way
    age: int = -1  # of the question that it answers


@dataclass(frozen=True, slots=True)
class State:
    phase: int = 0
    since: int = 0  # ticks in it, as far as it matters
    in_it: int = 0  # a bit a gateway that the leader knows to act on the merge
    gateways: tuple[Gateway, ...] = (Gateway(), Gateway(), Gateway())
    apart: tuple[tuple[Rules, Rules, int], ...] = ()  # rules by which two act, and for how many ticks


def acts(gateway: Gateway, variant: Variant) -> Rules | None:
    """The rules by which it acts under a lease; None without one."""
    if variant.no_lease:
        return rule(gateway.leased)
    if gateway.left <= 0:
        return None
    if variant.on_proposal and kind(gateway.leased) == PROPOSED:
        return (rule(gateway.leased)[0] + 1,)
    return rule(gateway.leased)


def wrong(state: State, variant: Variant) -> str:
    acted = {rules for g in state.gateways if (rules := acts(g, variant)) is not None}
    for one, other, ticks in state.apart:
        if ticks > STATED:
            return f"by {one} and by {other} for {ticks} ticks"
    for one in acted:
        for other in acted:
            if not set(one) & set(other):
                return f"by {one} and by {other} at once"
    return ""


def moves(state: State, variant: Variant) -> Iterator[State]:
    yield _ticked(state, variant)
    place = state.phase
    last = 3 * CHANGES
    if place < last:
        if kind(place) in (SETTLED, PROPOSED):
            skip = 2 if variant.no_between and kind(place) == PROPOSED else 1
            yield replace(state, phase=place + skip, since=0, in_it=0)
        else:
            everybody = state.in_it == (1 << len(state.gateways)) - 1
            if everybody or state.since > STATED or variant.settles_early:
                yield replace(state, phase=place + 1, since=0, in_it=0)
    for index, gateway in enumerate(state.gateways):

        def put(changed: Gateway, index: int = index, **more: int) -> State:
            gateways = list(state.gateways)
            gateways[index] = changed
            return replace(state, gateways=tuple(gateways), **more)  # type: ignore[arg-type]

        if gateway.asked < 0 and gateway.told < 0:
            yield put(replace(gateway, asked=0))
        if gateway.asked >= 0:  # the leader hears it, and what it acts by
            entering = gateway.left > 0 and gateway.leased == state.phase and kind(state.phase) == ENTERING
            in_it = state.in_it | (1 << index) if entering else state.in_it
            yield put(replace(gateway, asked=-1, told=state.phase, age=gateway.asked), in_it=in_it)
        if gateway.told >= 0:
            fresh = replace(gateway, told=-1, age=-1)
            yield put(fresh)  # lost
            left = LEASE if variant.from_answer else LEASE - gateway.age
            if left > 0:  # whether it holds the bodies of that phase yet is left open
                yield put(replace(fresh, leased=gateway.told, left=left))


def _ticked(state: State, variant: Variant) -> State:
    gateways = tuple(
        replace(
            g,
            left=max(0, g.left - 1),
            asked=g.asked if g.asked < 0 else min(g.asked + 1, LEASE),
            age=g.age if g.age < 0 else min(g.age + 1, LEASE),
        )
        for g in state.gateways
    )
    if not variant.from_answer:  # a question so old brings no lease any more, whatever becomes of it
        gateways = tuple(
            replace(g, asked=-1, told=-1, age=-1) if LEASE in (g.asked, g.age) else g for g in gateways
        )
    since = min(state.since + 1, STATED + 1) if kind(state.phase) == ENTERING else 0
    then = replace(state, gateways=gateways, since=since)
    acted = {rules for g in then.gateways if (rules := acts(g, variant)) is not None}
    before = {(one, other): ticks for one, other, ticks in state.apart}
    pairs = combinations(sorted(acted), 2)
    return replace(then, apart=tuple((*pair, before.get(pair, 0) + 1) for pair in pairs))


def key(state: State) -> tuple[object, ...]:
    """Gateways that do the same are the same."""
    marked = sorted((g, bool(state.in_it >> i & 1)) for i, g in enumerate(state.gateways))
    return state.phase, state.since, tuple(marked), state.apart


def look(variant: Variant, most: int = 3_000_000) -> tuple[int, str, bool]:
    """States seen, the first thing that did not hold, and whether all were seen."""
    start = State()
    seen, line = {key(start)}, deque([start])
    while line:
        state = line.popleft()
        for then in moves(state, variant):
            if found := wrong(then, variant):
                return len(seen), found, False
            mark = key(then)
            if mark not in seen:
                if len(seen) >= most:
                    return len(seen), "", False
                seen.add(mark)
                line.append(then)
    return len(seen), "", True
