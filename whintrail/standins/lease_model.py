"""Every order of events of a leader and three gateways through two changes of version: a transition model.

Time goes in ticks. A question and its answer may come at any later tick, in any order, or never. What must
hold: gateways with leases act by two different rules for `STATED` ticks at most, and never by two versions
that have nothing between them. Variants are switched on to be caught.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import combinations

VERSION_CHANGES = 2
LEASE_TICKS = 2
MAX_DIVERGENCE_TICKS = LEASE_TICKS + 1  # a tick for what happens between two looks

VersionSet = tuple[int, ...]

# A phase: 0 = version 0 settled; then for each change proposed, entering, settled.
PROPOSED, ENTERING, SETTLED = 1, 2, 0


def phase_kind(phase: int) -> int:
    return phase % 3


def versions_in_force(phase: int) -> VersionSet:
    """The versions whose rules are all kept."""
    number = (phase + 2) // 3 if phase_kind(phase) != SETTLED else phase // 3
    if phase_kind(phase) == SETTLED:
        return (number,)
    return (number - 1, number) if phase_kind(phase) == ENTERING else (number - 1,)


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
    leased_phase: int = 0  # phase that it acts by
    lease_ticks_left: int = LEASE_TICKS  # ticks
    request_age: int = -1  # age of its question on the way; -1: none
    answer_phase: int = -1  # phase in the answer on the way
    answer_request_age: int = -1  # of the question that it answers


@dataclass(frozen=True, slots=True)
class State:
    phase: int = 0
    ticks_in_phase: int = 0  # ticks in it, as far as it matters
    entered_gateways: int = 0  # a bit a gateway that the leader knows to act on the merge
    gateways: tuple[Gateway, ...] = (Gateway(), Gateway(), Gateway())
    divergences: tuple[
        tuple[VersionSet, VersionSet, int], ...
    ] = ()  # rules by which two act, and for how many ticks


def active_versions(gateway: Gateway, variant: Variant) -> VersionSet | None:
    """The rules by which it acts under a lease; None without one."""
    if variant.no_lease:
        return versions_in_force(gateway.leased_phase)
    if gateway.lease_ticks_left <= 0:
        return None
    if variant.on_proposal and phase_kind(gateway.leased_phase) == PROPOSED:
        return (versions_in_force(gateway.leased_phase)[0] + 1,)
    return versions_in_force(gateway.leased_phase)


def find_violation(state: State, variant: Variant) -> str:
    acted = {rules for g in state.gateways if (rules := active_versions(g, variant)) is not None}
    for one, other, ticks in state.divergences:
        if ticks > MAX_DIVERGENCE_TICKS:
            return f"by {one} and by {other} for {ticks} ticks"
    for one in acted:
        for other in acted:
            if not set(one) & set(other):
                return f"by {one} and by {other} at once"
    return ""


def successors(state: State, variant: Variant) -> Iterator[State]:
    yield _advance_tick(state, variant)
    place = state.phase
    last = 3 * VERSION_CHANGES
    if place < last:
        if phase_kind(place) in (SETTLED, PROPOSED):
            skip = 2 if variant.no_between and phase_kind(place) == PROPOSED else 1
            yield replace(state, phase=place + skip, ticks_in_phase=0, entered_gateways=0)
        else:
            everybody = state.entered_gateways == (1 << len(state.gateways)) - 1
            if everybody or state.ticks_in_phase > MAX_DIVERGENCE_TICKS or variant.settles_early:
                yield replace(state, phase=place + 1, ticks_in_phase=0, entered_gateways=0)
    for index, gateway in enumerate(state.gateways):

        def put(changed: Gateway, index: int = index, **more: int) -> State:
            gateways = list(state.gateways)
            gateways[index] = changed
            return replace(state, gateways=tuple(gateways), **more)  # type: ignore[arg-type]

        if gateway.request_age < 0 and gateway.answer_phase < 0:
            yield put(replace(gateway, request_age=0))
        if gateway.request_age >= 0:  # the leader hears it, and what it acts by
            entering = (
                gateway.lease_ticks_left > 0
                and gateway.leased_phase == state.phase
                and phase_kind(state.phase) == ENTERING
            )
            in_it = state.entered_gateways | (1 << index) if entering else state.entered_gateways
            yield put(
                replace(
                    gateway, request_age=-1, answer_phase=state.phase, answer_request_age=gateway.request_age
                ),
                in_it=in_it,
            )
        if gateway.answer_phase >= 0:
            fresh = replace(gateway, answer_phase=-1, answer_request_age=-1)
            yield put(fresh)  # lost
            left = LEASE_TICKS if variant.from_answer else LEASE_TICKS - gateway.answer_request_age
            if left > 0:  # whether it holds the bodies of that phase yet is left open
                yield put(replace(fresh, leased_phase=gateway.answer_phase, lease_ticks_left=left))


def _advance_tick(state: State, variant: Variant) -> State:
    gateways = tuple(
        replace(
            g,
            lease_ticks_left=max(0, g.lease_ticks_left - 1),
            request_age=g.request_age if g.request_age < 0 else min(g.request_age + 1, LEASE_TICKS),
            answer_request_age=g.answer_request_age
            if g.answer_request_age < 0
            else min(g.answer_request_age + 1, LEASE_TICKS),
        )
        for g in state.gateways
    )
    if not variant.from_answer:  # a question so old brings no lease any more, whatever becomes of it
        gateways = tuple(
            replace(g, request_age=-1, answer_phase=-1, answer_request_age=-1)
            if LEASE_TICKS in (g.request_age, g.answer_request_age)
            else g
            for g in gateways
        )
    since = (
        min(state.ticks_in_phase + 1, MAX_DIVERGENCE_TICKS + 1) if phase_kind(state.phase) == ENTERING else 0
    )
    then = replace(state, gateways=gateways, ticks_in_phase=since)
    acted = {rules for g in then.gateways if (rules := active_versions(g, variant)) is not None}
    before = {(one, other): ticks for one, other, ticks in state.divergences}
    pairs = combinations(sorted(acted), 2)
    return replace(then, divergences=tuple((*pair, before.get(pair, 0) + 1) for pair in pairs))


def canonical_key(state: State) -> tuple[object, ...]:
    """Gateways that do the same are the same."""
    marked = sorted((g, bool(state.entered_gateways >> i & 1)) for i, g in enumerate(state.gateways))
    return state.phase, state.ticks_in_phase, tuple(marked), state.divergences


def explore_leases(variant: Variant, max_states: int = 3_000_000) -> tuple[int, str, bool]:
    """States seen, the first thing that did not hold, and whether all were seen."""
    start = State()
    seen, line = {canonical_key(start)}, deque([start])
    while line:
        state = line.popleft()
        for then in successors(state, variant):
            if found := find_violation(then, variant):
                return len(seen), found, False
            mark = canonical_key(then)
            if mark not in seen:
                if len(seen) >= max_states:
                    return len(seen), "", False
                seen.add(mark)
                line.append(then)
    return len(seen), "", True
