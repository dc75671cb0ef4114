"""Deterministic subsetting: properties of the subsets of a fleet, and faults that must break them."""

import json
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from fractions import Fraction
from math import ceil, sqrt
from pathlib import Path
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from tests.helpers import query_class, settings
from whintrail import interface as api
from whintrail.config import OperatorFileError, read_operator_file
from whintrail.fleet import probe_reports
from whintrail.gateway.subset import read_plan
from whintrail.routing import RoutingPolicy
from whintrail.subset import ring as ring_module
from whintrail.subset.assignment import (
    MIN_SIZE_DIVISOR,
    EngineRings,
    HolderRank,
    ListedEngine,
    RegionPool,
    Stratum,
    SubsetAssignment,
)
from whintrail.subset.plan import PlanError, Region, SubsetPlan
from whintrail.subset.report_sender import BATCH_INTERVAL_US, ProbeReportSender
from whintrail.subset.ring import RING_MASK, RING_MULTIPLIERS, RING_SIZE, GatewayRing

READY, DRAINING, REMOVED = api.EngineState.READY, api.EngineState.DRAINING, api.EngineState.REMOVED
FULL_LIST, DELTA = api.ListKind.FULL, api.ListKind.DELTA
MakeAssignment = Callable[[SubsetPlan, api.Settings], SubsetAssignment]
CLASSES: dict[str, tuple[api.QueryClass, ...]] = {
    "free": (query_class(),),
    "zone": (query_class(), query_class("bound", zones=("z0", "z2"))),
    "kind": (query_class("bound", kinds=("k1",)),),
    "both": (query_class("bound", zones=("z1",), kinds=("k0", "k1")), query_class("b", zones=("z0",))),
    "keyed in its zone": (query_class(effect=api.Effect.BY_KEY, dedup_scope=api.DedupScope.ZONE),),
    "keyed in its cell": (query_class(effect=api.Effect.BY_KEY, dedup_scope=api.DedupScope.CELL),),
}


def make_entries(count: int, zones: int = 3, kinds: int = 2, salt: int = 0) -> list[api.EngineEntry]:
    return [
        api.EngineEntry(
            engine=f"10.{salt}.{number >> 8}.{number & 255}:7000",
            kind=f"k{number % kinds}",
            zone=f"z{number % zones}",
            cell=number // 12,
            weight=1.0,
            state=READY,
            started_us=None,
        )
        for number in range(count)
    ]


@dataclass(frozen=True)
class Case:
    """A fleet, its plan and its list."""

    plan: SubsetPlan
    gateways: int
    classes: str
    engines: tuple[api.EngineEntry, ...]

    def assignment(self, local_number: int, make: MakeAssignment = SubsetAssignment) -> SubsetAssignment:
        return make(
            self.plan, settings(*CLASSES[self.classes], fleet_size=self.gateways, local_number=local_number)
        )


@st.composite
def cases(draw: st.DrawFn, max_engines: int = 120, regions: bool = True) -> Case:
    gateways = draw(st.integers(1, 24))
    region_plan: tuple[Region, ...] | None = None
    if regions and gateways > 1 and draw(st.booleans()):
        cut = draw(st.integers(1, gateways - 1))
        region_plan = (Region(("z0",), cut, gateways - 1), Region(("z1",), 0, cut - 1))  # z2 is in none
    plan = SubsetPlan(draw(st.integers(4, 40)), draw(st.integers(1, 8)), draw(st.integers(0, 4)), region_plan)
    size = draw(st.integers(0, max_engines))
    entries = make_entries(size, draw(st.integers(1, 3)), draw(st.integers(1, 3)), draw(st.integers(0, 99)))
    return Case(plan, gateways, draw(st.sampled_from(sorted(CLASSES))), tuple(entries))


@dataclass
class ModuleView:
    """The list as the routing module sees it: all events that it received, applied in order."""

    assignment: SubsetAssignment
    entries: dict[str, api.EngineEntry] = field(default_factory=dict)

    def apply_list(self, event: api.EngineListReceived) -> api.EngineListReceived | None:
        passed = self.assignment.apply_list(event)
        self.receive(passed)
        return passed

    def receive(self, event: api.EngineListReceived | None) -> None:
        if event is None:
            return
        if event.kind is not DELTA:
            self.entries.clear()
        for entry in event.entries:
            self.entries[entry.engine] = entry
            if entry.state is REMOVED:
                del self.entries[entry.engine]

    def remove_drained(self) -> None:
        for _ in range(2):
            self.receive(self.assignment.remove_drained(lambda engine: True))


def views_of_full_list(case: Case, make: MakeAssignment = SubsetAssignment) -> list[ModuleView]:
    fleet = [ModuleView(case.assignment(number, make)) for number in range(case.gateways)]
    for view in fleet:
        view.apply_list(api.EngineListReceived(FULL_LIST, case.engines))
    return fleet


# --- Properties of all subsets together.


def check_agreement(case: Case, fleet: Sequence[ModuleView]) -> None:
    """Each engine has its holders, all gateways compute the same ones, and its budget shares sum to one."""
    for entry in case.engines:
        holder_sets = {view.assignment.holders_of(entry.engine) for view in fleet}
        assert len(holder_sets) == 1, "gateways differ on its holders"
        holders = holder_sets.pop()
        region = _region(case, entry.zone) or Region((), 0, case.gateways - 1)
        assert len([h for h in holders if region.first <= h <= region.last]) >= min(
            case.plan.least_holders, region.last - region.first + 1
        )
        assert len(set(holders)) == len(holders)
        keeping = {view.assignment.local_number for view in fleet if entry.engine in view.entries}
        assert keeping == set(holders)
        budget = Fraction(0)
        for view in fleet:
            if (kept := view.entries.get(entry.engine)) is not None:
                if kept.assigned_gateways is None:
                    assert len(holders) == case.gateways and kept.assignment_rank == 0
                    budget += Fraction(1, case.gateways)
                else:
                    assert (
                        kept.assigned_gateways == len(holders)
                        and holders[kept.assignment_rank] == view.assignment.local_number
                    )
                    budget += Fraction(1, kept.assigned_gateways)
                assert replace(kept, assigned_gateways=None, assignment_rank=0) == entry
        assert budget == 1


def check_strata(case: Case, fleet: Sequence[ModuleView]) -> None:
    """A class bound to zones or kinds has engines at every gateway, of each zone that has any."""
    for cls in CLASSES[case.classes]:
        if cls.zones is None and cls.kinds is None and cls.dedup_scope is not api.DedupScope.ZONE:
            continue
        for zone in {entry.zone for entry in case.engines}:
            if cls.zones is None or zone in cls.zones:
                fits = {
                    e.engine for e in case.engines if e.zone == zone and e.kind in (cls.kinds or (e.kind,))
                }
                for view in fleet:
                    region = _region(case, zone)
                    if (
                        cls.zones is not None
                        or region is None
                        or region.first <= view.assignment.local_number <= region.last
                    ):
                        kept = len(fits & view.entries.keys())
                        assert kept >= min(case.plan.least_stratum, len(fits))


def check_minimum_size(case: Case, fleet: Sequence[ModuleView]) -> None:
    """Each gateway keeps a minimum, however the engines are distributed."""
    for view in fleet:
        regional = set()
        for entry in case.engines:
            region = _region(case, entry.zone)
            is_local = region is not None and region.first <= view.assignment.local_number <= region.last
            if is_local or not case.plan.regions:
                regional.add(entry.engine)
        kept = len(view.entries.keys() & regional)
        assert kept >= min(len(regional), case.plan.size // MIN_SIZE_DIVISOR)


def _region(case: Case, zone: str) -> Region | None:
    return next((r for r in case.plan.regions or () if zone in r.zones), None)


def check_deltas_match_full_list(case: Case, make: MakeAssignment, seed: int) -> None:
    """Single deltas, in any order, give the same result as a full list."""
    random = Random(seed)
    start = [e for e in case.engines if random.random() < 0.5]
    start += [replace(e, zone="z9") for e in make_entries(random.randrange(9), salt=200)]
    view = ModuleView(case.assignment(random.randrange(case.gateways), make))
    view.apply_list(api.EngineListReceived(FULL_LIST, tuple(start)))
    final = {e.engine: e for e in case.engines}
    for engine in list(final):
        if random.random() < 0.2:
            final[engine] = replace(final[engine], state=DRAINING, started_us=random.randrange(1, 9))
    current = {e.engine: e for e in start}
    changes = [e for name, e in final.items() if current.get(name) != e]
    changes += [replace(e, state=REMOVED) for name, e in current.items() if name not in final]
    for entry in random.sample(list(final.values()), len(final) // 4):  # added and removed in between
        other = replace(entry, zone=random.choice(["z0", "z1", "z2"]), kind="k7")
        changes = (
            [other, *changes] if random.random() < 0.5 else [*changes, replace(entry, state=REMOVED), entry]
        )
        if entry not in changes:
            changes.append(entry)
    temporary = [c for c in changes if c.kind == "k7"]
    permanent = [c for c in changes if c.kind != "k7"]
    random.shuffle(temporary)
    seen: set[str] = set()
    pairs = [c for c in permanent if [x.engine for x in permanent].count(c.engine) > 1]
    permanent = [c for c in permanent if c not in pairs]
    random.shuffle(permanent)
    for change in [*temporary, *permanent, *pairs]:
        seen.add(change.engine)
        view.apply_list(api.EngineListReceived(DELTA, (change,)))
        kept = set(view.assignment.kept)
        assert kept <= view.entries.keys()
        assert all(e.state is DRAINING for name, e in view.entries.items() if name not in kept)
    view.remove_drained()
    fresh = ModuleView(case.assignment(view.assignment.local_number))
    fresh.apply_list(api.EngineListReceived(FULL_LIST, tuple(final.values())))
    assert view.entries == fresh.entries


@given(cases())
@examples(max_examples=150, deadline=None, derandomize=True)
def test_gateways_agree_on_holders_and_budget_shares_sum_to_one(case: Case) -> None:
    fleet = views_of_full_list(case)
    check_agreement(case, fleet)
    check_strata(case, fleet)
    check_minimum_size(case, fleet)


@given(cases(), st.integers(0, 1 << 30))
@examples(max_examples=150, deadline=None, derandomize=True)
def test_single_deltas_give_the_same_result_as_a_full_list(case: Case, seed: int) -> None:
    check_deltas_match_full_list(case, SubsetAssignment, seed)


@given(cases(), st.integers(0, 1 << 30))
@examples(max_examples=60, deadline=None, derandomize=True)
def test_the_order_of_a_list_does_not_matter(case: Case, seed: int) -> None:
    shuffled = Random(seed).sample(case.engines, len(case.engines))
    one, other = ModuleView(case.assignment(0)), ModuleView(case.assignment(0))
    one.apply_list(api.EngineListReceived(FULL_LIST, case.engines))
    other.apply_list(api.EngineListReceived(DELTA, tuple(shuffled[:7])))
    other.apply_list(api.EngineListReceived(DELTA, tuple(shuffled[7:])))
    other.remove_drained()
    assert one.entries == other.entries


@given(cases(max_engines=40), st.integers(0, 1 << 30))
@examples(max_examples=60, deadline=None, derandomize=True)
def test_up_to_its_size_events_pass_unchanged(case: Case, seed: int) -> None:
    plan = replace(case.plan, size=max(1, len(case.engines)))
    assignment, random = (
        SubsetAssignment(plan, settings(*CLASSES[case.classes], fleet_size=case.gateways)),
        Random(seed),
    )
    events = [api.EngineListReceived(FULL_LIST, case.engines)]
    for entry in random.sample(case.engines, len(case.engines)):
        state = random.choice([READY, DRAINING, REMOVED])
        events.append(
            api.EngineListReceived(DELTA, (replace(entry, state=state), replace(entry, weight=2.0)))
        )
    events += [
        api.EngineListReceived(api.ListKind.CACHED, case.engines),
        api.EngineListReceived(api.ListKind.FAILED, ()),
    ]
    for event in events:
        assert assignment.apply_list(event) is event
        assert assignment.keeps_all and all(share == (None, 0) for share in assignment.kept.values())
        assert assignment.remove_drained(lambda engine: True) is None


def test_a_plan_of_size_zero_is_off() -> None:
    assignment = SubsetAssignment(SubsetPlan(size=0), settings(fleet_size=4))
    event = api.EngineListReceived(FULL_LIST, tuple(make_entries(500)))
    assert assignment.apply_list(event) is event and assignment.keeps_all


def test_a_list_that_failed_passes() -> None:
    assignment = SubsetAssignment(SubsetPlan(size=4), settings(fleet_size=40))
    assignment.apply_list(api.EngineListReceived(FULL_LIST, tuple(make_entries(200))))
    event = api.EngineListReceived(api.ListKind.FAILED, ())
    assert assignment.apply_list(event) is event


def test_the_list_grows_past_the_size_and_shrinks_again() -> None:
    case = Case(SubsetPlan(size=10, least_holders=2), 8, "free", tuple(make_entries(11)))
    fleet = [ModuleView(case.assignment(number)) for number in range(8)]
    for view in fleet:
        view.apply_list(api.EngineListReceived(FULL_LIST, case.engines[:10]))
        assert len(view.entries) == 10 and all(e.assigned_gateways is None for e in view.entries.values())
        view.apply_list(api.EngineListReceived(DELTA, case.engines[10:]))
        view.remove_drained()
    check_agreement(case, fleet)
    assert any(len(view.entries) < 11 for view in fleet)
    for view in fleet:
        view.apply_list(api.EngineListReceived(DELTA, (replace(case.engines[3], state=REMOVED),)))
        assert len(view.entries) == 10 and all(e.assigned_gateways is None for e in view.entries.values())
        assert all(e.state is READY for e in view.entries.values())


# --- Balance and change, at a size that a test can afford.


def test_subset_sizes_and_holder_counts_are_even() -> None:
    """An arc holds a binomial number of engines; gateways are spaced evenly, so holder counts vary little."""
    for salt in range(2):
        case = Case(SubsetPlan(size=40, least_holders=4), 120, "free", tuple(make_entries(600, salt=salt)))
        fleet = views_of_full_list(case)
        for view in fleet:
            assert abs(len(view.entries) - 40) <= 5 * sqrt(40)
        assert abs(sum(len(view.entries) for view in fleet) - 40 * 120) <= 0.03 * 40 * 120
        holders = [len(fleet[0].assignment.holders_of(e.engine)) for e in case.engines]
        assert min(holders) >= 8 - 3 and max(holders) <= 8 + 3


def test_losing_a_block_or_a_stride_of_gateways_leaves_holders_for_each_engine() -> None:
    for salt in range(3):
        case = Case(SubsetPlan(size=40, least_holders=4), 190, "free", tuple(make_entries(900, salt=salt)))
        assignment = case.assignment(0)
        assignment.apply_list(api.EngineListReceived(FULL_LIST, case.engines))
        for lost in (set(range(50, 60)), set(range(3, 190, 19))):
            assert min(len(set(assignment.holders_of(e.engine)) - lost) for e in case.engines) >= 5


def count_changes(case: Case, before: Sequence[ModuleView], engine: api.EngineEntry) -> tuple[int, int]:
    """Engines that all gateways together gain and lose when one more is listed."""
    gained = lost = 0
    for view in before:
        kept = set(view.assignment.kept)
        view.apply_list(api.EngineListReceived(DELTA, (engine,)))
        gained += len(set(view.assignment.kept) - kept)
        lost += len(kept - set(view.assignment.kept))
    return gained, lost


@pytest.mark.parametrize("least_holders", [1, 4])
def test_one_more_engine_changes_few_other_assignments(least_holders: int) -> None:
    """Arcs whose width follows from `size` shrink by one part in n: each gateway loses size / n of an engine
    on average. Arcs whose width follows from `least_holders` stay; if they were rounded to whole engines, all
    would grow by one engine when the list passes a multiple of gateways / least_holders."""
    plan = SubsetPlan(size=40, least_holders=least_holders)
    case = Case(plan, 60, "free", tuple(make_entries(600)))
    fleet, more = views_of_full_list(case), make_entries(30, salt=77)
    counts = [count_changes(case, fleet, engine) for engine in more]
    assert all(gained <= 4 + 3 for gained, _ in counts)  # its holders, 60 * 40 / 600 = 4
    lost = sum(lost for _, lost in counts)
    assert lost == 0 if least_holders == 4 else 0 < lost <= 2 * 4 * len(more)


def test_one_more_gateway_moves_no_other_gateway() -> None:
    engines = tuple(make_entries(600))
    for number in range(0, 60, 7):
        before = Case(SubsetPlan(size=40, least_holders=4), 60, "free", engines).assignment(number)
        after = Case(SubsetPlan(size=40, least_holders=4), 61, "free", engines).assignment(number)
        for assignment in (before, after):
            assignment.apply_list(api.EngineListReceived(FULL_LIST, engines))
        assert before.kept.keys() == after.kept.keys()


def test_budget_sum_is_bounded_when_lists_differ_slightly() -> None:
    """The holders by different lists are runs of the same order, so the shares sum to at most
    1 + 1/(least + 1) + ... + 1/most, where least and most are the smallest and largest number of holders by
    any of the lists. These differ by 1 + 2.9 holders * changes / engines at most, because neighbouring
    gateways are at least 0.35 / gateways of the ring apart."""
    random = Random(5)
    for salt in range(4):
        engines = make_entries(400, salt=salt)
        case = Case(SubsetPlan(size=40, least_holders=4), 60, "free", tuple(engines))
        fleet, differ = views_of_full_list(case), 6
        for view in fleet:
            for entry in random.sample(engines[50:], random.randrange(differ + 1)):
                view.apply_list(api.EngineListReceived(DELTA, (replace(entry, state=REMOVED),)))
        for entry in engines[:50]:
            views = {len(view.assignment.holders_of(entry.engine)) for view in fleet}
            least, most = min(views), max(views)
            assert most - least <= 1 + ceil(2.9 * most * differ / (400 - differ))
            shares = [
                Fraction(1, e.assigned_gateways)
                for t in fleet
                if (e := t.entries.get(entry.engine)) and e.assigned_gateways and e.state is READY
            ]
            assert sum(shares) <= 1 + sum(Fraction(1, n) for n in range(least + 1, most + 1))


def test_work_of_a_delta_does_not_grow_with_the_list(monkeypatch: pytest.MonkeyPatch) -> None:
    visited: list[int] = []
    clockwise = EngineRings.clockwise

    def counted(self: EngineRings, ring: int, start: int, min_count: int, width: int) -> Iterator[int]:
        for index in clockwise(self, ring, start, min_count, width):
            visited.append(1)
            yield index

    monkeypatch.setattr(EngineRings, "clockwise", counted)
    hashed: list[str] = []
    hash_pair = ring_module.hash_pair

    def counted_hash_pair(text: str) -> tuple[int, int]:
        hashed.append(text)
        return hash_pair(text)

    monkeypatch.setattr("whintrail.subset.assignment.hash_pair", counted_hash_pair)
    counts = []
    for size in (400, 6400):
        engines = tuple(make_entries(size))
        assignment = SubsetAssignment(
            SubsetPlan(size=40, least_holders=1), settings(fleet_size=400, local_number=9)
        )
        assignment.apply_list(api.EngineListReceived(FULL_LIST, engines))
        visited.clear()
        hashed.clear()
        for entry in engines[::40]:
            assignment.apply_list(api.EngineListReceived(DELTA, (replace(entry, state=REMOVED),)))
            assignment.apply_list(api.EngineListReceived(DELTA, (entry,)))
        deltas = 2 * len(engines[::40])
        assert len(hashed) <= deltas
        counts.append(len(visited) / deltas)
    assert counts[1] <= 2 * counts[0] <= 200


# --- Engines that leave the subset, regions, plans, rings.


def drop_one_engine(
    make: MakeAssignment = SubsetAssignment,
) -> tuple[ModuleView, api.EngineEntry, list[api.EngineEntry]]:
    """A view whose subset has just lost an engine that is still listed; that engine; its reported entries."""
    engines = make_entries(200)
    view = ModuleView(make(SubsetPlan(size=20, least_holders=1), settings(fleet_size=40, local_number=3)))
    view.apply_list(api.EngineListReceived(FULL_LIST, tuple(engines)))
    for more in make_entries(200, salt=9):
        before = set(view.assignment.kept)
        passed = view.apply_list(api.EngineListReceived(DELTA, (more,)))
        if dropped := before - set(view.assignment.kept):
            assert passed is not None
            engine = dropped.pop()
            reported = [e for e in passed.entries if e.engine == engine]
            return view, next(e for e in engines if e.engine == engine), reported
    raise LookupError("no engine has left the subset")


def check_drains_before_removal(make: MakeAssignment = SubsetAssignment) -> None:
    view, entry, reported = drop_one_engine(make)
    assert [e.state for e in reported] == [DRAINING]
    # Not at the first call: an attempt may have been sent just before.
    assert view.assignment.remove_drained(lambda engine: True) is None
    assert view.assignment.remove_drained(lambda engine: False) is None
    assert view.assignment.remove_drained(lambda engine: True) is None
    removal = view.assignment.remove_drained(lambda engine: True)
    assert removal is not None and [(e.engine, e.state) for e in removal.entries] == [(entry.engine, REMOVED)]
    assert view.assignment.remove_drained(lambda engine: True) is None


def test_an_engine_that_leaves_the_subset_drains_first_and_is_removed_once_idle() -> None:
    check_drains_before_removal()


def test_an_engine_that_returns_before_its_removal_is_ready_again() -> None:
    view, entry, _ = drop_one_engine()
    count = len(view.assignment.listed_engines)
    for other in list(view.assignment.listed_engines.values()):
        if count > 60 and other.entry.engine != entry.engine:
            count -= 1
            view.apply_list(api.EngineListReceived(DELTA, (replace(other.entry, state=REMOVED),)))
    assert view.entries[entry.engine].state is READY and not view.assignment.draining
    view.remove_drained()
    assert entry.engine in view.entries


def test_an_engine_that_leaves_the_subset_and_the_list_is_reported_as_gone() -> None:
    view, entry, _ = drop_one_engine()
    passed = view.apply_list(api.EngineListReceived(DELTA, (replace(entry, state=REMOVED),)))
    assert passed is not None and any(e.engine == entry.engine and e.state is REMOVED for e in passed.entries)
    assert view.assignment.remove_drained(lambda engine: True) is None


def test_a_full_list_keeps_a_draining_engine() -> None:
    view, entry, _ = drop_one_engine()
    listed = tuple(engine.entry for engine in view.assignment.listed_engines.values())
    view.apply_list(api.EngineListReceived(FULL_LIST, listed))
    assert view.entries[entry.engine].state is DRAINING
    view.remove_drained()
    assert entry.engine not in view.entries


def test_routing_uses_only_engines_of_the_subset() -> None:
    random, engines = Random(4), {e.engine: e for e in make_entries(200)}
    config = settings(fleet_size=40, local_number=3)
    view, module = (
        ModuleView(SubsetAssignment(SubsetPlan(size=20, least_holders=2), config)),
        RoutingPolicy(config, 1, 0),
    )
    module.handle(
        0,
        view.apply_list(api.EngineListReceived(FULL_LIST, tuple(engines.values())))
        or api.EngineListReceived(DELTA, ()),
    )
    for now in range(300):
        entry = replace(
            random.choice(list(engines.values())), state=random.choice([READY, DRAINING, REMOVED])
        )
        engines[entry.engine] = entry
        passed = view.apply_list(api.EngineListReceived(DELTA, (entry,)))
        if now % 10 == 0 and (removal := view.assignment.remove_drained(lambda engine: True)) is not None:
            view.receive(removal)
            module.handle(now, removal)
        if passed is not None:
            module.handle(now, passed)
        ready = {name for name in view.assignment.kept if engines[name].state is READY}
        assert {engine.address for engine in module.ready} == ready and ready
        assert module.engines.keys() == view.entries.keys()


def test_a_region_keeps_its_zones_and_few_engines_of_zones_that_classes_need() -> None:
    regions = (Region(("z0", "z1"), 0, 39), Region(("z2",), 40, 79))
    plan = SubsetPlan(size=30, least_holders=4, least_stratum=3, regions=regions)
    case = Case(plan, 80, "zone", tuple(make_entries(300)))
    fleet = views_of_full_list(case)
    check_agreement(case, fleet)
    check_strata(case, fleet)
    for view in fleet:
        zones = [entry.zone for entry in view.entries.values()]
        if view.assignment.local_number < 40:
            assert zones.count("z2") == 3 and zones.count("z1") > 3
        else:
            assert zones.count("z0") == 3 and zones.count("z1") == 0 and zones.count("z2") > 10


def test_with_cell_dedup_a_kept_engine_has_others_of_its_cell() -> None:
    """Engines of one cell are placed in clumps; without that, over 2 in 5 would be alone in their cell."""
    alone = {}
    for classes in ("free", "keyed in its cell"):
        case = Case(SubsetPlan(size=40, least_holders=4), 60, classes, tuple(make_entries(1200, zones=1)))
        kept = [Counter(entry.cell for entry in view.entries.values()) for view in views_of_full_list(case)]
        alone[classes] = sum(n == 1 for cells in kept for n in cells.values()) / sum(map(Counter.total, kept))
    assert alone["keyed in its cell"] < 0.03 < 0.4 < alone["free"]


def test_clumps_of_a_growing_cell_are_rebuilt_identically_on_all_gateways() -> None:
    engines = [replace(entry, cell=0) for entry in make_entries(200, zones=1)]
    case = Case(SubsetPlan(size=20, least_holders=2), 20, "keyed in its cell", tuple(engines))
    fleet = [ModuleView(case.assignment(number)) for number in range(20)]
    for view in fleet:
        view.apply_list(api.EngineListReceived(FULL_LIST, tuple(engines[:60])))
        for entry in Random(view.assignment.local_number).sample(engines[60:], 140):
            view.apply_list(api.EngineListReceived(DELTA, (entry,)))
        view.remove_drained()
    check_agreement(case, fleet)


def read_plan_file(tmp_path: Path, values: dict[str, object]) -> SubsetPlan:
    """Read a plan as the program does, from an operator's file."""
    file = tmp_path / "operator.jsonnet"
    file.write_text(json.dumps({"subset": values}))
    asked = read_operator_file(str(file)).subset
    assert asked is not None
    return read_plan(asked)


@pytest.mark.parametrize(
    ("values", "place"),
    [
        ({"size": -1}, "$.subset.size:"),
        ({"size": True}, "$.subset.size:"),
        ({"least_holders": 0}, "$.subset.least_holders:"),
        ({"least_stratum": 1.5}, "$.subset.least_stratum:"),
        ({"sise": 8}, "`sise`"),
        ({"regions": 3}, "$.subset.regions:"),
        ({"regions": [{"zones": ["a"], "first": 0}]}, "$.subset.regions[0]:"),
        ({"regions": [{"zones": [1], "first": 0, "last": 9}]}, "$.subset.regions[0].zones[0]:"),
        ({"regions": [{"zones": [], "first": 0, "last": 9}]}, "$.subset.regions[0].zones:"),
        ({"regions": [{"zones": ["a"], "first": "0", "last": 9}]}, "$.subset.regions[0].first:"),
        ({"regions": [{"zones": ["a"], "first": 5, "last": 4}]}, "subset.regions[0]:"),
        ({"regions": [{"zones": ["a"], "first": 0, "last": 8}]}, "subset.regions: gateway 9 "),
        ({"regions": [{"zones": ["a"], "first": 1, "last": 9}]}, "subset.regions: gateway 0 "),
        ({"regions": [{"zones": ["a"], "first": 0, "last": 10}]}, "subset.regions[0].last:"),
        (
            {"regions": [{"zones": ["a"], "first": 0, "last": 4}, {"zones": ["a"], "first": 5, "last": 9}]},
            "subset.regions[1].zones:",
        ),
        (
            {"regions": [{"zones": ["a"], "first": 0, "last": 4}, {"zones": ["b"], "first": 4, "last": 9}]},
            "subset.regions[1]:",
        ),
    ],
)
def test_an_invalid_plan_is_rejected_with_its_path(
    tmp_path: Path, values: dict[str, object], place: str
) -> None:
    with pytest.raises((OperatorFileError, PlanError)) as refused:
        read_plan_file(tmp_path, values).check_fleet_size(10)
    assert place in str(refused.value) and "\n" not in str(refused.value)


@pytest.mark.parametrize(
    ("values", "place"),
    [
        ({"size": -1}, "subset.size:"),
        ({"size": True}, "subset.size:"),
        ({"least_holders": 0}, "subset.least_holders:"),
        ({"least_stratum": 1.5}, "subset.least_stratum:"),
        ({"regions": (Region((), 0, 9),)}, "subset.regions[0].zones:"),
    ],
)
def test_a_plan_made_in_code_is_checked_as_well(values: dict[str, Any], place: str) -> None:
    with pytest.raises(PlanError) as refused:
        SubsetPlan(**values)
    assert str(refused.value).startswith(place)


def test_a_plan_is_read(tmp_path: Path) -> None:
    regions = [{"zones": ["a"], "first": 5, "last": 9}, {"zones": ["b", "c"], "first": 0, "last": 4}]
    plan = read_plan_file(tmp_path, {"size": 64, "regions": regions})
    plan.check_fleet_size(10)
    assert plan == SubsetPlan(64, regions=(Region(("a",), 5, 9), Region(("b", "c"), 0, 4)))
    assert read_plan_file(tmp_path, {}) == SubsetPlan()


def test_a_gateway_number_outside_the_fleet_is_rejected() -> None:
    with pytest.raises(PlanError):
        SubsetAssignment(SubsetPlan(), settings(fleet_size=4, local_number=4))


@given(
    st.integers(1, 40),
    st.integers(0, RING_MASK),
    st.integers(0, RING_SIZE),
    st.sampled_from(RING_MULTIPLIERS),
)
@examples(max_examples=200, deadline=None, derandomize=True)
def test_a_gateway_ring_counts_like_a_linear_scan(
    count: int, position: int, width: int, multiplier: int
) -> None:
    gateways = GatewayRing(range(count), multiplier)
    by_distance = sorted((position - number * multiplier & RING_MASK, number) for number in range(count))
    within = [number for distance, number in by_distance if distance < width]
    assert gateways.count_within(position, width) == len(within)
    assert gateways.nearest(position, len(within)) == within
    low, high = gateways.stable_widths(position, len(within))
    assert low <= width < high
    for limit in (low, high - 1):
        assert gateways.count_within(position, min(limit, RING_SIZE)) == len(within)


# --- Sending probe reports.

REPORT = probe_reports.ProbeReport(0, 0, api.LoadReport(utilisation=0.5, active_queries=2.0))


@dataclass
class ReceivedReport:
    origin: int
    at_us: int
    key: int
    age_us: int


def check_report_delivery(
    case: Case, make: Callable[[SubsetAssignment, int], ProbeReportSender], probes: int, seed: int
) -> None:
    """Each report reaches every other holder once, in time, with its age, and no other gateway."""
    random, fleet = Random(seed), views_of_full_list(case)
    senders = [make(view.assignment, view.assignment.local_number) for view in fleet]
    received: list[list[ReceivedReport]] = [[] for _ in fleet]
    expected: list[list[tuple[int, int, int]]] = [[] for _ in fleet]  # origin, key, when probed
    tick, now = 50_000, 0
    while now < 3_000_000:
        now += tick
        for view, sender in zip(fleet, senders, strict=True):
            keys = probe_reports.engines_by_key(view.entries)
            for key in random.sample(sorted(keys), min(len(keys), probes)) if now < 2_000_000 else ():
                sender.enqueue(now, probe_reports.encode([replace(REPORT, key=key)]))
                for holder in view.assignment.holders_of(keys[key]):
                    if holder != view.assignment.local_number:
                        expected[holder].append((view.assignment.local_number, key, now))
            for target, data in sender.due_datagrams(now):
                assert (
                    target != view.assignment.local_number and len(data) <= probe_reports.MAX_DATAGRAM_BYTES
                )
                received[target] += [
                    ReceivedReport(view.assignment.local_number, now, s.key, s.age_us)
                    for s in probe_reports.decode(data)
                ]
    for reports, wanted in zip(received, expected, strict=True):
        assert sorted((r.origin, r.key) for r in reports) == sorted((o, k) for o, k, _ in wanted)
        times: dict[tuple[int, int], list[int]] = {}
        for origin, key, at in wanted:
            times.setdefault((origin, key), []).append(at)
        for report in reports:
            at = times[report.origin, report.key].pop(0)
            assert report.at_us - at <= BATCH_INTERVAL_US + tick
            assert abs(report.age_us - (report.at_us - at)) <= probe_reports.AGE_UNIT_US


REPORT_CASE = Case(SubsetPlan(size=20, least_holders=4), 24, "zone", tuple(make_entries(90)))


@given(cases(max_engines=60), st.integers(1, 3), st.integers(0, 1 << 30))
@examples(max_examples=25, deadline=None, derandomize=True)
def test_probe_reports_reach_each_holder_once_and_in_time(case: Case, probes: int, seed: int) -> None:
    check_report_delivery(case, ProbeReportSender, probes, seed)


def test_many_reports_for_one_gateway_are_split_into_datagrams() -> None:
    case = Case(SubsetPlan(size=100), 2, "free", tuple(make_entries(100)))
    view = views_of_full_list(case)[0]
    sender = ProbeReportSender(view.assignment, 0)
    sender.due_datagrams(0)
    keys = probe_reports.engines_by_key(view.entries)
    for key in keys:
        sender.enqueue(1000, probe_reports.encode([replace(REPORT, key=key)]))
    sent = [
        data for at in range(0, BATCH_INTERVAL_US + 100_000, 50_000) for _, data in sender.due_datagrams(at)
    ]
    assert [len(probe_reports.decode(data)) for data in sent] == [36, 36, len(keys) - 72]


def test_sending_one_batch_in_four_saves_three_quarters_for_each_target() -> None:
    view = views_of_full_list(REPORT_CASE)[0]
    sent: dict[int, dict[int, int]] = {}
    for every in (1, 4):
        sender, counts = ProbeReportSender(view.assignment, 0, sample_every=every), sent.setdefault(every, {})
        for now in range(0, 40 * BATCH_INTERVAL_US, BATCH_INTERVAL_US // 8):
            for key in probe_reports.engines_by_key(view.entries):
                sender.enqueue(now, probe_reports.encode([replace(REPORT, key=key)]))
            for target, data in sender.due_datagrams(now):
                counts[target] = counts.get(target, 0) + len(probe_reports.decode(data))
        assert sender.counts["told"] + sender.counts["spared"] + len(sender.queue) == sum(
            (len(view.assignment.holders_of(e)) - 1) * 320
            for e in probe_reports.engines_by_key(view.entries).values()
        )
    assert sent[1].keys() == sent[4].keys()
    for target, count in sent[1].items():
        assert abs(sent[4][target] - count / 4) <= 0.05 * count


def test_a_full_queue_drops_the_oldest_and_counts_them() -> None:
    view = views_of_full_list(REPORT_CASE)[0]
    sender = ProbeReportSender(view.assignment, 0, max_queued=10)
    sender.due_datagrams(0)
    keys = sorted(probe_reports.engines_by_key(view.entries))
    others = [
        len(view.assignment.holders_of(probe_reports.engines_by_key(view.entries)[key])) - 1 for key in keys
    ]
    for key in keys:
        sender.enqueue(1, probe_reports.encode([replace(REPORT, key=key)]))
    assert sender.counts["dropped"] == sum(others) - 10 and len(sender.queue) == 10
    assert sender.queue[-1].report[:2] == keys[-1].to_bytes(2, "big")
    sender.due_datagrams(2_000_000)
    assert sender.counts["told"] == 10 and not sender.queue


def test_reports_on_unknown_engines_or_colliding_keys_are_not_sent() -> None:
    names: dict[int, str] = {}
    colliding: tuple[str, str] | None = None
    random = Random(2)
    for _ in range(2000):
        name = random.randbytes(8).hex()
        key = probe_reports.engine_key(name)
        if key in names:
            colliding = names[key], name
            break
        names[key] = name
    assert colliding is not None
    entries = [replace(make_entries(1)[0], engine=name) for name in colliding]
    assignment = SubsetAssignment(SubsetPlan(), settings(fleet_size=3))
    assignment.apply_list(api.EngineListReceived(FULL_LIST, tuple(entries)))
    sender = ProbeReportSender(assignment, 0)
    sender.enqueue(0, probe_reports.encode([replace(REPORT, key=probe_reports.engine_key(colliding[0]))]))
    sender.enqueue(
        0, probe_reports.encode([replace(REPORT, key=(probe_reports.engine_key(colliding[0]) + 1) & 0xFFFF)])
    )
    assert sender.due_datagrams(2_000_000) == [] and sender.counts["unknown"] == 2
    with pytest.raises(probe_reports.ProbeReportError):
        sender.enqueue(0, b"\7\7\7")


# --- Faulty variants that the properties above must detect.


class PlacedByArrival(SubsetAssignment):
    """Engines are placed in the order of their arrival at this gateway."""

    def _place_engine(self, engine: str, bits: int) -> None:
        listed = self.listed_engines[engine]
        listed.ring, listed.position, listed.cache_key = (
            0,
            len(self.listed_engines) * RING_MULTIPLIERS[1] & RING_MASK,
            None,
        )
        for rings in self._rings_of(listed):
            rings.add(0, (listed.position, engine))


class FrozenWidth(SubsetAssignment):
    """The arc stays as wide as the first list made it."""

    def _recompute(self) -> None:
        super()._recompute()
        first = [pool.arc_width for pool in self.pools]
        self._arc_width = lambda pool: first[self.pools.index(pool)]  # type: ignore[method-assign]


class NoStrata(SubsetAssignment):
    """Classes bound to a zone or kind are ignored."""

    def _stratum_holders(self, engine: ListedEngine, gateways: GatewayRing, strata: Iterable[Stratum]) -> int:
        return 0


class NoMinimumHolders(SubsetAssignment):
    """An engine is kept only by the gateways whose arc contains it."""

    def __init__(self, plan: SubsetPlan, config: api.Settings) -> None:
        super().__init__(replace(plan, least_holders=1), config)


class NoMinimumSize(SubsetAssignment):
    """A gateway keeps only the engines within its arc, even if there are none."""

    def _ring_minimums(self, pool: RegionPool) -> tuple[int, ...]:
        return tuple(0 for _ in pool.ring_minimums)


class StaleHolders(SubsetAssignment):
    """The holders of an engine are reported only when its own entry changes."""

    def _delta_event(
        self, changed: dict[str, api.EngineEntry], before: dict[str, HolderRank], after: dict[str, HolderRank]
    ) -> api.EngineListReceived | None:
        old = {engine: after.get(engine, rank) for engine, rank in before.items()}
        return super()._delta_event(changed, old, after)


class ShiftedHolders(SubsetAssignment):
    """The holders are computed for the next gateway number, so one of the real holders is not among them."""

    def holders_of(self, engine: str) -> tuple[int, ...]:
        return tuple((number + 1) % self.gateway_count for number in super().holders_of(engine))


class RemovedAtOnce(SubsetAssignment):
    """An engine that leaves the subset is reported as removed at once."""

    def _visible_entry(self, engine: str) -> api.EngineEntry:
        entry = super()._visible_entry(engine)
        return entry if engine in self.kept else replace(entry, state=REMOVED)


MIXED = [
    Case(
        SubsetPlan(size=20, least_holders=4, least_stratum=4),
        24,
        classes,
        tuple(make_entries(120, salt=salt)),
    )
    for salt, classes in enumerate([*sorted(CLASSES), "both", "zone"])
]
MIXED.append(
    Case(SubsetPlan(size=8, least_holders=1), 24, "keyed in its cell", tuple(make_entries(200, zones=1)))
)


def check_all_properties(make: MakeAssignment) -> None:
    for case in MIXED:
        check_agreement(case, fleet := views_of_full_list(case, make))
        check_strata(case, fleet)
        check_minimum_size(case, fleet)
        for seed in range(3):
            check_deltas_match_full_list(case, make, seed)
    check_drains_before_removal(make)


def test_the_unmodified_assignment_has_all_properties() -> None:
    check_all_properties(SubsetAssignment)


@pytest.mark.parametrize(
    "broken",
    [
        PlacedByArrival,
        FrozenWidth,
        NoStrata,
        NoMinimumHolders,
        NoMinimumSize,
        StaleHolders,
        ShiftedHolders,
        RemovedAtOnce,
    ],
)
def test_a_broken_assignment_is_detected(broken: MakeAssignment) -> None:
    with pytest.raises(AssertionError):
        check_all_properties(broken)


class NoAge(ProbeReportSender):
    """The wait is not counted."""

    def enqueue(self, now_us: int, payload: bytes) -> None:
        super().enqueue(now_us, payload)
        for item in self.queue:
            item.added_us = 1 << 60


class RepeatedReports(ProbeReportSender):
    """A report that was sent stays in the queue."""

    def due_datagrams(self, now_us: int) -> list[tuple[int, bytes]]:
        before = list(self.queue)
        datagrams = super().due_datagrams(now_us)
        self.queue.extend(before[:1] if datagrams else [])
        return datagrams


class SkippedHolder(ProbeReportSender):
    """The last holder is skipped."""

    def enqueue(self, now_us: int, payload: bytes) -> None:
        super().enqueue(now_us, payload)
        if self.queue:
            self.queue.pop()


@pytest.mark.parametrize("broken", [NoAge, RepeatedReports, SkippedHolder])
def test_a_broken_report_sender_is_detected(
    broken: Callable[[SubsetAssignment, int], ProbeReportSender],
) -> None:
    check_report_delivery(REPORT_CASE, ProbeReportSender, 1, 3)
    with pytest.raises(AssertionError):
        check_report_delivery(REPORT_CASE, broken, 1, 3)
