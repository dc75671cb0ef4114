"""Explicit-state model of version leases: a leader and three gateways through two changes of version.

Time advances in ticks. A request and its answer may arrive at any later tick, in any order, or never.
Invariants: gateways with a lease act by two different sets of versions for at most `MAX_DIVERGENCE_TICKS`,
and never by two sets without a common version. Broken variants can be enabled; the model has to detect them.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import combinations

VERSION_CHANGES = 2
LEASE_TICKS = 2
MAX_DIVERGENCE_TICKS = LEASE_TICKS + 1  # one tick for events between two observations

VersionSet = tuple[int, ...]

# A phase: 0 is version 0 settled; then for each change proposed, entering, settled.
PROPOSED, ENTERING, SETTLED = 1, 2, 0


def phase_kind(phase: int) -> int:
    """Return PROPOSED, ENTERING or SETTLED."""
    return phase % 3


def versions_in_force(phase: int) -> VersionSet:
    """Return the versions whose rules are all obeyed in a phase."""
    number = (phase + 2) // 3 if phase_kind(phase) != SETTLED else phase // 3
    if phase_kind(phase) == SETTLED:
        return (number,)
    return (number - 1, number) if phase_kind(phase) == ENTERING else (number - 1,)


@dataclass(frozen=True, slots=True)
class Variant:
    """Faults of a broken implementation, each of which the model has to detect."""

    no_lease: bool = False  # a gateway acts on what it knows for ever
    from_answer: bool = False  # the lease counts from the arrival of the answer, not from the request
    no_between: bool = False  # the leader goes from one version to the next without the entering phase
    settles_early: bool = False  # the leader doesn't wait for leases on the previous phase
    on_proposal: bool = False  # a gateway acts on the next version before it is agreed


@dataclass(frozen=True, slots=True, order=True)
class Gateway:
    """A gateway's lease, and its request and answer in flight."""

    leased_phase: int = 0
    lease_ticks_left: int = LEASE_TICKS
    request_age: int = -1  # ticks of its request in flight; -1: none
    answer_phase: int = -1  # in the answer in flight; -1: none
    answer_request_age: int = -1  # ticks of the request that the answer belongs to


@dataclass(frozen=True, slots=True)
class State:
    """A state of the model: the leader's phase, all gateways, and how long they have differed."""

    phase: int = 0
    ticks_in_phase: int = 0  # counted while entering only, up to where it no longer matters
    entered_gateways: int = 0  # bit set of the gateways that the leader knows to act on the entering phase
    gateways: tuple[Gateway, ...] = (Gateway(), Gateway(), Gateway())
    divergences: tuple[
        tuple[VersionSet, VersionSet, int], ...
    ] = ()  # two sets acted on, and for how many ticks


def active_versions(gateway: Gateway, variant: Variant) -> VersionSet | None:
    """Return the versions that a gateway acts by under its lease; None without a lease."""
    if variant.no_lease:
        return versions_in_force(gateway.leased_phase)
    if gateway.lease_ticks_left <= 0:
        return None
    if variant.on_proposal and phase_kind(gateway.leased_phase) == PROPOSED:
        return (versions_in_force(gateway.leased_phase)[0] + 1,)
    return versions_in_force(gateway.leased_phase)


def find_violation(state: State, variant: Variant) -> str:
    """Return the first violated invariant of a state, or an empty string."""
    acted = {versions for g in state.gateways if (versions := active_versions(g, variant)) is not None}
    for one, other, ticks in state.divergences:
        if ticks > MAX_DIVERGENCE_TICKS:
            return f"gateways act by {one} and by {other} for {ticks} ticks"
    for one in acted:
        for other in acted:
            if not set(one) & set(other):
                return f"gateways act by {one} and by {other} at once"
    return ""


def successors(state: State, variant: Variant) -> Iterator[State]:
    """Yield every state that can come next."""
    yield _advance_tick(state, variant)
    phase = state.phase
    last_phase = 3 * VERSION_CHANGES
    if phase < last_phase:
        if phase_kind(phase) in (SETTLED, PROPOSED):
            step = 2 if variant.no_between and phase_kind(phase) == PROPOSED else 1
            yield replace(state, phase=phase + step, ticks_in_phase=0, entered_gateways=0)
        else:
            all_entered = state.entered_gateways == (1 << len(state.gateways)) - 1
            if all_entered or state.ticks_in_phase > MAX_DIVERGENCE_TICKS or variant.settles_early:
                yield replace(state, phase=phase + 1, ticks_in_phase=0, entered_gateways=0)
    for index, gateway in enumerate(state.gateways):

        def replace_gateway(changed: Gateway, index: int = index, **changes: int) -> State:
            gateways = list(state.gateways)
            gateways[index] = changed
            return replace(state, gateways=tuple(gateways), **changes)  # type: ignore[arg-type]

        if gateway.request_age < 0 and gateway.answer_phase < 0:
            yield replace_gateway(replace(gateway, request_age=0))
        if (
            gateway.request_age >= 0
        ):  # the leader receives the request, with the phase that the gateway acts by
            has_entered = (
                gateway.lease_ticks_left > 0
                and gateway.leased_phase == state.phase
                and phase_kind(state.phase) == ENTERING
            )
            entered = state.entered_gateways | (1 << index) if has_entered else state.entered_gateways
            yield replace_gateway(
                replace(
                    gateway, request_age=-1, answer_phase=state.phase, answer_request_age=gateway.request_age
                ),
                entered_gateways=entered,
            )
        if gateway.answer_phase >= 0:
            without_answer = replace(gateway, answer_phase=-1, answer_request_age=-1)
            yield replace_gateway(without_answer)  # the answer is lost
            ticks_left = LEASE_TICKS if variant.from_answer else LEASE_TICKS - gateway.answer_request_age
            if ticks_left > 0:  # whether it already holds the rules of that phase is left open
                yield replace_gateway(
                    replace(without_answer, leased_phase=gateway.answer_phase, lease_ticks_left=ticks_left)
                )


def _advance_tick(state: State, variant: Variant) -> State:
    gateways = tuple(
        replace(
            g,
            lease_ticks_left=max(0, g.lease_ticks_left - 1),
            request_age=g.request_age if g.request_age < 0 else min(g.request_age + 1, LEASE_TICKS),
            answer_request_age=(
                g.answer_request_age
                if g.answer_request_age < 0
                else min(g.answer_request_age + 1, LEASE_TICKS)
            ),
        )
        for g in state.gateways
    )
    if not variant.from_answer:  # a request of this age can no longer bring a lease: drop it
        gateways = tuple(
            replace(g, request_age=-1, answer_phase=-1, answer_request_age=-1)
            if LEASE_TICKS in (g.request_age, g.answer_request_age)
            else g
            for g in gateways
        )
    ticks_in_phase = (
        min(state.ticks_in_phase + 1, MAX_DIVERGENCE_TICKS + 1) if phase_kind(state.phase) == ENTERING else 0
    )
    successor = replace(state, gateways=gateways, ticks_in_phase=ticks_in_phase)
    acted = {versions for g in successor.gateways if (versions := active_versions(g, variant)) is not None}
    earlier = {(one, other): ticks for one, other, ticks in state.divergences}
    pairs = combinations(sorted(acted), 2)
    return replace(successor, divergences=tuple((*pair, earlier.get(pair, 0) + 1) for pair in pairs))


def canonical_key(state: State) -> tuple[object, ...]:
    """Return a key that is equal for states that differ only in the order of their gateways."""
    marked = sorted((g, bool(state.entered_gateways >> i & 1)) for i, g in enumerate(state.gateways))
    return state.phase, state.ticks_in_phase, tuple(marked), state.divergences


def explore_leases(variant: Variant, max_states: int = 3_000_000) -> tuple[int, str, bool]:
    """Return the number of states seen, the first violation, and whether all states were seen."""
    start = State()
    seen, frontier = {canonical_key(start)}, deque([start])
    while frontier:
        state = frontier.popleft()
        for successor in successors(state, variant):
            if violation := find_violation(successor, variant):
                return len(seen), violation, False
            key = canonical_key(successor)
            if key not in seen:
                if len(seen) >= max_states:
                    return len(seen), "", False
                seen.add(key)
                frontier.append(successor)
    return len(seen), "", True
