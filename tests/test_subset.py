"""Deterministic subsetting: what the parts of a fleet promise together, and faults that break it."""

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

READY, DRAINING, GONE = api.EngineState.READY, api.EngineState.DRAINING, api.EngineState.REMOVED
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


def roster(count: int, zones: int = 3, kinds: int = 2, salt: int = 0) -> list[api.EngineEntry]:
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
def cases(draw: st.DrawFn, most: int = 120, regions: bool = True) -> Case:
    gateways = draw(st.integers(1, 24))
    shared: tuple[Region, ...] | None = None
    if regions and gateways > 1 and draw(st.booleans()):
        cut = draw(st.integers(1, gateways - 1))
        shared = (Region(("z0",), cut, gateways - 1), Region(("z1",), 0, cut - 1))  # z2 is in none
    plan = SubsetPlan(draw(st.integers(4, 40)), draw(st.integers(1, 8)), draw(st.integers(0, 4)), shared)
    size = draw(st.integers(0, most))
    entries = roster(size, draw(st.integers(1, 3)), draw(st.integers(1, 3)), draw(st.integers(0, 99)))
    return Case(plan, gateways, draw(st.sampled_from(sorted(CLASSES))), tuple(entries))


@dataclass
class ModuleView:
    """What the module knows of the list: the events that it was told, one upon the other."""

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
            if entry.state is GONE:
                del self.entries[entry.engine]

    def remove_drained(self) -> None:
        for _ in range(2):
            self.receive(self.assignment.remove_drained(lambda engine: True))


def views_of_full_list(case: Case, make: MakeAssignment = SubsetAssignment) -> list[ModuleView]:
    fleet = [ModuleView(case.assignment(me, make)) for me in range(case.gateways)]
    for told in fleet:
        told.apply_list(api.EngineListReceived(FULL_LIST, case.engines))
    return fleet


# --- What the parts promise together.


def check_agreement(case: Case, fleet: Sequence[ModuleView]) -> None:
    """Each engine has its holders, all gateways name the same, the shares of its budget make one whole."""
    for entry in case.engines:
        named = {told.assignment.holders_of(entry.engine) for told in fleet}
        assert len(named) == 1, "gateways differ on who keeps it"
        keepers = named.pop()
        home = _region(case, entry.zone) or Region((), 0, case.gateways - 1)
        assert len([k for k in keepers if home.first <= k <= home.last]) >= min(
            case.plan.least_holders, home.last - home.first + 1
        )
        assert len(set(keepers)) == len(keepers)
        keeping = {told.assignment.local_number for told in fleet if entry.engine in told.entries}
        assert keeping == set(keepers)
        budget = Fraction(0)
        for told in fleet:
            if (kept := told.entries.get(entry.engine)) is not None:
                if kept.assigned_gateways is None:
                    assert len(keepers) == case.gateways and kept.assignment_rank == 0
                    budget += Fraction(1, case.gateways)
                else:
                    assert (
                        kept.assigned_gateways == len(keepers)
                        and keepers[kept.assignment_rank] == told.assignment.local_number
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
                for told in fleet:
                    home = _region(case, zone)
                    if (
                        cls.zones is not None
                        or home is None
                        or home.first <= told.assignment.local_number <= home.last
                    ):
                        kept = len(fits & told.entries.keys())
                        assert kept >= min(case.plan.least_stratum, len(fits))


def check_minimum_size(case: Case, fleet: Sequence[ModuleView]) -> None:
    """No gateway is left with next to nothing, however the engines stand."""
    for told in fleet:
        near = set()
        for entry in case.engines:
            home = _region(case, entry.zone)
            ours = home is not None and home.first <= told.assignment.local_number <= home.last
            if ours or not case.plan.regions:
                near.add(entry.engine)
        kept = len(told.entries.keys() & near)
        assert kept >= min(len(near), case.plan.size // MIN_SIZE_DIVISOR)


def _region(case: Case, zone: str) -> Region | None:
    return next((r for r in case.plan.regions or () if zone in r.zones), None)


def check_deltas_match_full_list(case: Case, make: MakeAssignment, seed: int) -> None:
    """Deltas one by one, in any order, come to what a whole list comes to."""
    random = Random(seed)
    start = [e for e in case.engines if random.random() < 0.5]
    start += [replace(e, zone="z9") for e in roster(random.randrange(9), salt=200)]
    told = ModuleView(case.assignment(random.randrange(case.gateways), make))
    told.apply_list(api.EngineListReceived(FULL_LIST, tuple(start)))
    final = {e.engine: e for e in case.engines}
    for engine in list(final):
        if random.random() < 0.2:
            final[engine] = replace(final[engine], state=DRAINING, started_us=random.randrange(1, 9))
    now = {e.engine: e for e in start}
    changes = [e for name, e in final.items() if now.get(name) != e]
    changes += [replace(e, state=GONE) for name, e in now.items() if name not in final]
    for entry in random.sample(list(final.values()), len(final) // 4):  # what comes and goes on the way
        other = replace(entry, zone=random.choice(["z0", "z1", "z2"]), kind="k7")
        changes = (
            [other, *changes] if random.random() < 0.5 else [*changes, replace(entry, state=GONE), entry]
        )
        if entry not in changes:
            changes.append(entry)
    firsts = [c for c in changes if c.kind == "k7"]
    lasts = [c for c in changes if c.kind != "k7"]
    random.shuffle(firsts)
    seen: set[str] = set()
    pairs = [c for c in lasts if [x.engine for x in lasts].count(c.engine) > 1]
    lasts = [c for c in lasts if c not in pairs]
    random.shuffle(lasts)
    for change in [*firsts, *lasts, *pairs]:
        seen.add(change.engine)
        told.apply_list(api.EngineListReceived(DELTA, (change,)))
        mine = set(told.assignment.kept)
        assert mine <= told.entries.keys()
        assert all(e.state is DRAINING for name, e in told.entries.items() if name not in mine)
    told.remove_drained()
    fresh = ModuleView(case.assignment(told.assignment.local_number))
    fresh.apply_list(api.EngineListReceived(FULL_LIST, tuple(final.values())))
    assert told.entries == fresh.entries


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


@given(cases(most=40), st.integers(0, 1 << 30))
@examples(max_examples=60, deadline=None, derandomize=True)
def test_up_to_its_size_events_pass_unchanged(case: Case, seed: int) -> None:
    plan = replace(case.plan, size=max(1, len(case.engines)))
    part, random = (
        SubsetAssignment(plan, settings(*CLASSES[case.classes], fleet_size=case.gateways)),
        Random(seed),
    )
    events = [api.EngineListReceived(FULL_LIST, case.engines)]
    for entry in random.sample(case.engines, len(case.engines)):
        state = random.choice([READY, DRAINING, GONE])
        events.append(
            api.EngineListReceived(DELTA, (replace(entry, state=state), replace(entry, weight=2.0)))
        )
    events += [
        api.EngineListReceived(api.ListKind.CACHED, case.engines),
        api.EngineListReceived(api.ListKind.FAILED, ()),
    ]
    for event in events:
        assert part.apply_list(event) is event
        assert part.keeps_all and all(share == (None, 0) for share in part.kept.values())
        assert part.remove_drained(lambda engine: True) is None


def test_a_plan_of_size_zero_is_off() -> None:
    part = SubsetAssignment(SubsetPlan(size=0), settings(fleet_size=4))
    event = api.EngineListReceived(FULL_LIST, tuple(roster(500)))
    assert part.apply_list(event) is event and part.keeps_all


def test_a_list_that_failed_passes() -> None:
    part = SubsetAssignment(SubsetPlan(size=4), settings(fleet_size=40))
    part.apply_list(api.EngineListReceived(FULL_LIST, tuple(roster(200))))
    event = api.EngineListReceived(api.ListKind.FAILED, ())
    assert part.apply_list(event) is event


def test_the_list_grows_past_the_size_and_shrinks_again() -> None:
    case = Case(SubsetPlan(size=10, least_holders=2), 8, "free", tuple(roster(11)))
    fleet = [ModuleView(case.assignment(me)) for me in range(8)]
    for told in fleet:
        told.apply_list(api.EngineListReceived(FULL_LIST, case.engines[:10]))
        assert len(told.entries) == 10 and all(e.assigned_gateways is None for e in told.entries.values())
        told.apply_list(api.EngineListReceived(DELTA, case.engines[10:]))
        told.remove_drained()
    check_agreement(case, fleet)
    assert any(len(told.entries) < 11 for told in fleet)
    for told in fleet:
        told.apply_list(api.EngineListReceived(DELTA, (replace(case.engines[3], state=GONE),)))
        assert len(told.entries) == 10 and all(e.assigned_gateways is None for e in told.entries.values())
        assert all(e.state is READY for e in told.entries.values())


# --- Balance and change, at one size that a test bears.


def test_subset_sizes_and_holder_counts_are_even() -> None:
    """An arc holds a binomial number of engines; the gateways stand evenly, so that holders hardly differ."""
    for salt in range(2):
        case = Case(SubsetPlan(size=40, least_holders=4), 120, "free", tuple(roster(600, salt=salt)))
        fleet = views_of_full_list(case)
        for told in fleet:
            assert abs(len(told.entries) - 40) <= 5 * sqrt(40)
        assert abs(sum(len(told.entries) for told in fleet) - 40 * 120) <= 0.03 * 40 * 120
        holders = [len(fleet[0].assignment.holders_of(e.engine)) for e in case.engines]
        assert min(holders) >= 8 - 3 and max(holders) <= 8 + 3


def test_losing_a_block_or_a_stride_of_gateways_leaves_holders_for_each_engine() -> None:
    for salt in range(3):
        case = Case(SubsetPlan(size=40, least_holders=4), 190, "free", tuple(roster(900, salt=salt)))
        part = case.assignment(0)
        part.apply_list(api.EngineListReceived(FULL_LIST, case.engines))
        for lost in (set(range(50, 60)), set(range(3, 190, 19))):
            assert min(len(set(part.holders_of(e.engine)) - lost) for e in case.engines) >= 5


def count_changes(case: Case, before: Sequence[ModuleView], engine: api.EngineEntry) -> tuple[int, int]:
    """Engines that gateways gain, and lose, all together, when one more is listed."""
    gained = lost = 0
    for told in before:
        kept = set(told.assignment.kept)
        told.apply_list(api.EngineListReceived(DELTA, (engine,)))
        gained += len(set(told.assignment.kept) - kept)
        lost += len(kept - set(told.assignment.kept))
    return gained, lost


@pytest.mark.parametrize("least_holders", [1, 4])
def test_one_more_engine_changes_few_other_assignments(least_holders: int) -> None:
    """Arcs as wide as `size` asks shrink by one part in n: each gateway loses size / n of an engine in the
    mean. Those as wide as `least_holders` asks stay; rounded to whole engines they would grow by one at every
    gateway when the list passes a multiple of gateways / least_holders."""
    plan = SubsetPlan(size=40, least_holders=least_holders)
    case = Case(plan, 60, "free", tuple(roster(600)))
    fleet, more = views_of_full_list(case), roster(30, salt=77)
    counts = [count_changes(case, fleet, engine) for engine in more]
    assert all(gained <= 4 + 3 for gained, _ in counts)  # its holders, 60 * 40 / 600 = 4
    lost = sum(lost for _, lost in counts)
    assert lost == 0 if least_holders == 4 else 0 < lost <= 2 * 4 * len(more)


def test_one_more_gateway_moves_no_other_gateway() -> None:
    engines = tuple(roster(600))
    for number in range(0, 60, 7):
        before = Case(SubsetPlan(size=40, least_holders=4), 60, "free", engines).assignment(number)
        after = Case(SubsetPlan(size=40, least_holders=4), 61, "free", engines).assignment(number)
        for part in (before, after):
            part.apply_list(api.EngineListReceived(FULL_LIST, engines))
        assert before.kept.keys() == after.kept.keys()


def test_budget_sum_is_bounded_when_lists_differ_slightly() -> None:
    """Keepers by one list and another are runs of one order, so that shares sum to at most
    1 + 1/(least + 1) + ... + 1/most, where least and most are the holders by any of the lists; and these
    differ by 1 + 2.9 holders * changes / engines at most (gateways stand 0.35 / gateways apart at least)."""
    random = Random(5)
    for salt in range(4):
        engines = roster(400, salt=salt)
        case = Case(SubsetPlan(size=40, least_holders=4), 60, "free", tuple(engines))
        fleet, differ = views_of_full_list(case), 6
        for told in fleet:
            for entry in random.sample(engines[50:], random.randrange(differ + 1)):
                told.apply_list(api.EngineListReceived(DELTA, (replace(entry, state=GONE),)))
        for entry in engines[:50]:
            views = {len(told.assignment.holders_of(entry.engine)) for told in fleet}
            least, most = min(views), max(views)
            assert most - least <= 1 + ceil(2.9 * most * differ / (400 - differ))
            shares = [
                Fraction(1, e.assigned_gateways)
                for t in fleet
                if (e := t.entries.get(entry.engine)) and e.assigned_gateways and e.state is READY
            ]
            assert sum(shares) <= 1 + sum(Fraction(1, n) for n in range(least + 1, most + 1))


def test_work_of_a_delta_does_not_grow_with_the_list(monkeypatch: pytest.MonkeyPatch) -> None:
    looked: list[int] = []
    run = EngineRings.clockwise

    def counted(self: EngineRings, ring: int, start: int, least: int, width: int) -> Iterator[int]:
        for index in run(self, ring, start, least, width):
            looked.append(1)
            yield index

    monkeypatch.setattr(EngineRings, "run", counted)
    hashed: list[str] = []
    words_of = ring_module.hash_pair

    def hash_counted(text: str) -> tuple[int, int]:
        hashed.append(text)
        return words_of(text)

    monkeypatch.setattr("whintrail.subset.assignment.words_of", hash_counted)
    counts = []
    for size in (400, 6400):
        engines = tuple(roster(size))
        part = SubsetAssignment(
            SubsetPlan(size=40, least_holders=1), settings(fleet_size=400, local_number=9)
        )
        part.apply_list(api.EngineListReceived(FULL_LIST, engines))
        looked.clear()
        hashed.clear()
        for entry in engines[::40]:
            part.apply_list(api.EngineListReceived(DELTA, (replace(entry, state=GONE),)))
            part.apply_list(api.EngineListReceived(DELTA, (entry,)))
        deltas = 2 * len(engines[::40])
        assert len(hashed) <= deltas
        counts.append(len(looked) / deltas)
    assert counts[1] <= 2 * counts[0] <= 200


# --- Leaving, regions, plans, rings.


def drop_one_engine(
    make: MakeAssignment = SubsetAssignment,
) -> tuple[ModuleView, api.EngineEntry, list[api.EngineEntry]]:
    """A part that has just given up an engine that is still listed; and what was told of it."""
    engines = roster(200)
    told = ModuleView(make(SubsetPlan(size=20, least_holders=1), settings(fleet_size=40, local_number=3)))
    told.apply_list(api.EngineListReceived(FULL_LIST, tuple(engines)))
    for more in roster(200, salt=9):
        before = set(told.assignment.kept)
        passed = told.apply_list(api.EngineListReceived(DELTA, (more,)))
        if left := before - set(told.assignment.kept):
            assert passed is not None
            engine = left.pop()
            about = [e for e in passed.entries if e.engine == engine]
            return told, next(e for e in engines if e.engine == engine), about
    raise LookupError("none left")


def check_drains_before_removal(make: MakeAssignment = SubsetAssignment) -> None:
    told, entry, about = drop_one_engine(make)
    assert [e.state for e in about] == [DRAINING]
    assert (
        told.assignment.remove_drained(lambda engine: True) is None
    )  # it may have been sent something a moment ago
    assert told.assignment.remove_drained(lambda engine: False) is None
    assert told.assignment.remove_drained(lambda engine: True) is None
    gone = told.assignment.remove_drained(lambda engine: True)
    assert gone is not None and [(e.engine, e.state) for e in gone.entries] == [(entry.engine, GONE)]
    assert told.assignment.remove_drained(lambda engine: True) is None


def test_an_engine_that_leaves_the_subset_drains_first_and_is_removed_once_idle() -> None:
    check_drains_before_removal()


def test_an_engine_that_returns_before_its_removal_is_ready_again() -> None:
    told, entry, _ = drop_one_engine()
    count = len(told.assignment.listed_engines)
    for other in list(told.assignment.listed_engines.values()):
        if count > 60 and other.entry.engine != entry.engine:
            count -= 1
            told.apply_list(api.EngineListReceived(DELTA, (replace(other.entry, state=GONE),)))
    assert told.entries[entry.engine].state is READY and not told.assignment.draining
    told.remove_drained()
    assert entry.engine in told.entries


def test_an_engine_that_leaves_the_subset_and_the_list_is_reported_as_gone() -> None:
    told, entry, _ = drop_one_engine()
    passed = told.apply_list(api.EngineListReceived(DELTA, (replace(entry, state=GONE),)))
    assert passed is not None and any(e.engine == entry.engine and e.state is GONE for e in passed.entries)
    assert told.assignment.remove_drained(lambda engine: True) is None


def test_a_full_list_keeps_a_draining_engine() -> None:
    told, entry, _ = drop_one_engine()
    listed = tuple(known.entry for known in told.assignment.listed_engines.values())
    told.apply_list(api.EngineListReceived(FULL_LIST, listed))
    assert told.entries[entry.engine].state is DRAINING
    told.remove_drained()
    assert entry.engine not in told.entries


def test_routing_uses_only_engines_of_the_subset() -> None:
    random, engines = Random(4), {e.engine: e for e in roster(200)}
    given = settings(fleet_size=40, local_number=3)
    told, module = (
        ModuleView(SubsetAssignment(SubsetPlan(size=20, least_holders=2), given)),
        RoutingPolicy(given, 1, 0),
    )
    module.handle(
        0,
        told.apply_list(api.EngineListReceived(FULL_LIST, tuple(engines.values())))
        or api.EngineListReceived(DELTA, ()),
    )
    for turn in range(300):
        entry = replace(random.choice(list(engines.values())), state=random.choice([READY, DRAINING, GONE]))
        engines[entry.engine] = entry
        passed = told.apply_list(api.EngineListReceived(DELTA, (entry,)))
        if turn % 10 == 0 and (settled := told.assignment.remove_drained(lambda engine: True)) is not None:
            told.receive(settled)
            module.handle(turn, settled)
        if passed is not None:
            module.handle(turn, passed)
        ready = {name for name in told.assignment.kept if engines[name].state is READY}
        assert {engine.address for engine in module.ready} == ready and ready
        assert module.engines.keys() == told.entries.keys()


def test_a_region_keeps_its_zones_and_few_engines_of_zones_that_classes_need() -> None:
    regions = (Region(("z0", "z1"), 0, 39), Region(("z2",), 40, 79))
    plan = SubsetPlan(size=30, least_holders=4, least_stratum=3, regions=regions)
    case = Case(plan, 80, "zone", tuple(roster(300)))
    fleet = views_of_full_list(case)
    check_agreement(case, fleet)
    check_strata(case, fleet)
    for told in fleet:
        zones = [entry.zone for entry in told.entries.values()]
        if told.assignment.local_number < 40:
            assert zones.count("z2") == 3 and zones.count("z1") > 3
        else:
            assert zones.count("z0") == 3 and zones.count("z1") == 0 and zones.count("z2") > 10


def test_with_cell_dedup_a_kept_engine_has_others_of_its_cell() -> None:
    """Engines of one cell stand in clumps; without, over 2 in 5 are alone in their cell."""
    alone = {}
    for classes in ("free", "keyed in its cell"):
        case = Case(SubsetPlan(size=40, least_holders=4), 60, classes, tuple(roster(1200, zones=1)))
        kept = [Counter(entry.cell for entry in told.entries.values()) for told in views_of_full_list(case)]
        alone[classes] = sum(n == 1 for cells in kept for n in cells.values()) / sum(map(Counter.total, kept))
    assert alone["keyed in its cell"] < 0.03 < 0.4 < alone["free"]


def test_clumps_of_a_growing_cell_are_rebuilt_identically_on_all_gateways() -> None:
    engines = [replace(entry, cell=0) for entry in roster(200, zones=1)]
    case = Case(SubsetPlan(size=20, least_holders=2), 20, "keyed in its cell", tuple(engines))
    fleet = [ModuleView(case.assignment(me)) for me in range(20)]
    for told in fleet:
        told.apply_list(api.EngineListReceived(FULL_LIST, tuple(engines[:60])))
        for entry in Random(told.assignment.local_number).sample(engines[60:], 140):
            told.apply_list(api.EngineListReceived(DELTA, (entry,)))
        told.remove_drained()
    check_agreement(case, fleet)


def read_plan_file(tmp_path: Path, values: dict[str, object]) -> SubsetPlan:
    """As the program reads it: of an operator's file."""
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
def test_a_gateway_ring_counts_like_a_linear_scan(count: int, place: int, width: int, turn: int) -> None:
    circle = GatewayRing(range(count), turn)
    near = sorted((place - number * turn & RING_MASK, number) for number in range(count))
    within = [number for distance, number in near if distance < width]
    assert circle.count_within(place, width) == len(within)
    assert circle.nearest(place, len(within)) == within
    low, high = circle.stable_widths(place, len(within))
    assert low <= width < high
    for other in (low, high - 1):
        assert circle.count_within(place, min(other, RING_SIZE)) == len(within)


# --- Telling.

SIGHTING = probe_reports.ProbeReport(0, 0, api.LoadReport(utilisation=0.5, active_queries=2.0))


@dataclass
class ReceivedReport:
    origin: int
    at_us: int
    key: int
    age_us: int


def check_report_delivery(
    case: Case, make: Callable[[SubsetAssignment, int], ProbeReportSender], probes: int, seed: int
) -> None:
    """Each probe reaches every other keeper once, in time, with its age; and nobody else."""
    random, fleet = Random(seed), views_of_full_list(case)
    tellers = [make(told.assignment, told.assignment.local_number) for told in fleet]
    heard: list[list[ReceivedReport]] = [[] for _ in fleet]
    expected: list[list[tuple[int, int, int]]] = [[] for _ in fleet]  # origin, key, when probed
    tick, now = 50_000, 0
    while now < 3_000_000:
        now += tick
        for told, teller in zip(fleet, tellers, strict=True):
            keys = probe_reports.engines_by_key(told.entries)
            for key in random.sample(sorted(keys), min(len(keys), probes)) if now < 2_000_000 else ():
                teller.enqueue(now, probe_reports.encode([replace(SIGHTING, key=key)]))
                for keeper in told.assignment.holders_of(keys[key]):
                    if keeper != told.assignment.local_number:
                        expected[keeper].append((told.assignment.local_number, key, now))
            for target, data in teller.due_datagrams(now):
                assert (
                    target != told.assignment.local_number and len(data) <= probe_reports.MAX_DATAGRAM_BYTES
                )
                heard[target] += [
                    ReceivedReport(told.assignment.local_number, now, s.key, s.age_us)
                    for s in probe_reports.decode(data)
                ]
    for got, wanted in zip(heard, expected, strict=True):
        assert sorted((h.origin, h.key) for h in got) == sorted((o, k) for o, k, _ in wanted)
        times: dict[tuple[int, int], list[int]] = {}
        for origin, key, at in wanted:
            times.setdefault((origin, key), []).append(at)
        for h in got:
            at = times[h.origin, h.key].pop(0)
            assert h.at_us - at <= BATCH_INTERVAL_US + tick
            assert abs(h.age_us - (h.at_us - at)) <= probe_reports.AGE_UNIT_US


REPORT_CASE = Case(SubsetPlan(size=20, least_holders=4), 24, "zone", tuple(roster(90)))


@given(cases(most=60), st.integers(1, 3), st.integers(0, 1 << 30))
@examples(max_examples=25, deadline=None, derandomize=True)
def test_probe_reports_reach_each_holder_once_and_in_time(case: Case, probes: int, seed: int) -> None:
    check_report_delivery(case, ProbeReportSender, probes, seed)


def test_many_reports_for_one_gateway_are_split_into_datagrams() -> None:
    case = Case(SubsetPlan(size=100), 2, "free", tuple(roster(100)))
    told = views_of_full_list(case)[0]
    teller = ProbeReportSender(told.assignment, 0)
    teller.due_datagrams(0)
    keys = probe_reports.engines_by_key(told.entries)
    for key in keys:
        teller.enqueue(1000, probe_reports.encode([replace(SIGHTING, key=key)]))
    sent = [
        data for at in range(0, BATCH_INTERVAL_US + 100_000, 50_000) for _, data in teller.due_datagrams(at)
    ]
    assert [len(probe_reports.decode(data)) for data in sent] == [36, 36, len(keys) - 72]


def test_sending_one_batch_in_four_saves_three_quarters_for_each_target() -> None:
    told = views_of_full_list(REPORT_CASE)[0]
    sent: dict[int, dict[int, int]] = {}
    for every in (1, 4):
        teller, counts = ProbeReportSender(told.assignment, 0, sample_every=every), sent.setdefault(every, {})
        for now in range(0, 40 * BATCH_INTERVAL_US, BATCH_INTERVAL_US // 8):
            for key in probe_reports.engines_by_key(told.entries):
                teller.enqueue(now, probe_reports.encode([replace(SIGHTING, key=key)]))
            for target, data in teller.due_datagrams(now):
                counts[target] = counts.get(target, 0) + len(probe_reports.decode(data))
        assert teller.counts["told"] + teller.counts["spared"] + len(teller.queue) == sum(
            (len(told.assignment.holders_of(e)) - 1) * 320
            for e in probe_reports.engines_by_key(told.entries).values()
        )
    assert sent[1].keys() == sent[4].keys()
    for target, count in sent[1].items():
        assert abs(sent[4][target] - count / 4) <= 0.05 * count


def test_a_full_queue_drops_the_oldest_and_counts_them() -> None:
    told = views_of_full_list(REPORT_CASE)[0]
    teller = ProbeReportSender(told.assignment, 0, max_queued=10)
    teller.due_datagrams(0)
    keys = sorted(probe_reports.engines_by_key(told.entries))
    others = [
        len(told.assignment.holders_of(probe_reports.engines_by_key(told.entries)[key])) - 1 for key in keys
    ]
    for key in keys:
        teller.enqueue(1, probe_reports.encode([replace(SIGHTING, key=key)]))
    assert teller.counts["dropped"] == sum(others) - 10 and len(teller.queue) == 10
    assert teller.queue[-1].report[:2] == keys[-1].to_bytes(2, "big")
    teller.due_datagrams(2_000_000)
    assert teller.counts["told"] == 10 and not teller.queue


def test_reports_on_unknown_engines_or_colliding_keys_are_not_sent() -> None:
    names: dict[int, str] = {}
    twins: tuple[str, str] | None = None
    random = Random(2)
    for _ in range(2000):
        name = random.randbytes(8).hex()
        key = probe_reports.engine_key(name)
        if key in names:
            twins = names[key], name
            break
        names[key] = name
    assert twins is not None
    entries = [replace(roster(1)[0], engine=name) for name in twins]
    part = SubsetAssignment(SubsetPlan(), settings(fleet_size=3))
    part.apply_list(api.EngineListReceived(FULL_LIST, tuple(entries)))
    teller = ProbeReportSender(part, 0)
    teller.enqueue(0, probe_reports.encode([replace(SIGHTING, key=probe_reports.engine_key(twins[0]))]))
    teller.enqueue(
        0, probe_reports.encode([replace(SIGHTING, key=(probe_reports.engine_key(twins[0]) + 1) & 0xFFFF)])
    )
    assert teller.due_datagrams(2_000_000) == [] and teller.counts["unknown"] == 2
    with pytest.raises(probe_reports.ProbeReportError):
        teller.enqueue(0, b"\7\7\7")


# --- Faults that the properties above must show.


class PlacedByArrival(SubsetAssignment):
    """Engines stand in the order in which this gateway heard of them."""

    def _place_engine(self, engine: str, bits: int) -> None:
        known = self.listed_engines[engine]
        known.ring, known.position, known.cache_key = (
            0,
            len(self.listed_engines) * RING_MULTIPLIERS[1] & RING_MASK,
            None,
        )
        for rings in self._rings_of(known):
            rings.add(0, (known.position, engine))


class FrozenWidth(SubsetAssignment):
    """The arc stays as wide as the first list made it."""

    def _recompute(self) -> None:
        super()._recompute()
        first = [home.arc_width for home in self.pools]
        self._arc_width = lambda pool: first[self.pools.index(pool)]  # type: ignore[method-assign]


class NoStrata(SubsetAssignment):
    """Classes bound to a place or kind are forgotten."""

    def _stratum_holders(self, known: ListedEngine, circle: GatewayRing, strata: Iterable[Stratum]) -> int:
        return 0


class NoMinimumHolders(SubsetAssignment):
    """An engine is kept by whoever's arc it happens to be in."""

    def __init__(self, plan: SubsetPlan, given: api.Settings) -> None:
        super().__init__(replace(plan, least_holders=1), given)


class NoMinimumSize(SubsetAssignment):
    """What stands within the arc is kept, be it nothing."""

    def _ring_minimums(self, home: RegionPool) -> tuple[int, ...]:
        return tuple(0 for _ in home.ring_minimums)


class StaleHolders(SubsetAssignment):
    """Who holds an engine is told only when its own entry changes."""

    def _delta_event(
        self, told: dict[str, api.EngineEntry], before: dict[str, HolderRank], after: dict[str, HolderRank]
    ) -> api.EngineListReceived | None:
        old = {engine: after.get(engine, share) for engine, share in before.items()}
        return super()._delta_event(told, old, after)


class ShiftedHolders(SubsetAssignment):
    """The holders are reckoned for the next number's place: one who keeps it is not counted among them."""

    def holders_of(self, engine: str) -> tuple[int, ...]:
        return tuple((number + 1) % self.gateway_count for number in super().holders_of(engine))


class RemovedAtOnce(SubsetAssignment):
    """What leaves the part is told as gone at once."""

    def _visible_entry(self, engine: str) -> api.EngineEntry:
        entry = super()._visible_entry(engine)
        return entry if engine in self.kept else replace(entry, state=GONE)


MIXED = [
    Case(SubsetPlan(size=20, least_holders=4, least_stratum=4), 24, classes, tuple(roster(120, salt=salt)))
    for salt, classes in enumerate([*sorted(CLASSES), "both", "zone"])
]
MIXED.append(Case(SubsetPlan(size=8, least_holders=1), 24, "keyed in its cell", tuple(roster(200, zones=1))))


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
    """What was told waits on."""

    def due_datagrams(self, now_us: int) -> list[tuple[int, bytes]]:
        before = list(self.queue)
        found = super().due_datagrams(now_us)
        self.queue.extend(before[:1] if found else [])
        return found


class SkippedHolder(ProbeReportSender):
    """The last keeper is passed over."""

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
