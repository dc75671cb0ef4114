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
from whintrail.brain import Gateway
from whintrail.config import OperatorFileError, read_operator_file
from whintrail.fleet import memo
from whintrail.gateway.subset import plan_of
from whintrail.subset import ring as ring_module
from whintrail.subset.part import LEAST_PART, Home, Known, Part, Rings, Share, Stratum
from whintrail.subset.plan import PlanError, Region, SubsetPlan
from whintrail.subset.ring import FULL, MASK, TURNS, Circle
from whintrail.subset.telling import BATCH_US, Telling

READY, DRAINING, GONE = api.EngineState.READY, api.EngineState.DRAINING, api.EngineState.GONE
WHOLE, DELTA = api.ListKind.FULL, api.ListKind.DELTA
MakePart = Callable[[SubsetPlan, api.Settings], Part]
CLASSES: dict[str, tuple[api.QueryClass, ...]] = {
    "free": (query_class(),),
    "zone": (query_class(), query_class("bound", zones=("z0", "z2"))),
    "kind": (query_class("bound", kinds=("k1",)),),
    "both": (query_class("bound", zones=("z1",), kinds=("k0", "k1")), query_class("b", zones=("z0",))),
    "keyed in its zone": (query_class(effect=api.Effect.BY_KEY, group=api.DedupGroup.ZONE),),
    "keyed in its cell": (query_class(effect=api.Effect.BY_KEY, group=api.DedupGroup.CELL),),
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

    def part(self, me: int, make: MakePart = Part) -> Part:
        return make(self.plan, settings(*CLASSES[self.classes], fleet_size=self.gateways, me=me))


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
class Told:
    """What the module knows of the list: the events that it was told, one upon the other."""

    part: Part
    entries: dict[str, api.EngineEntry] = field(default_factory=dict)

    def take(self, event: api.EngineList) -> api.EngineList | None:
        passed = self.part.listed(event)
        self.told(passed)
        return passed

    def told(self, event: api.EngineList | None) -> None:
        if event is None:
            return
        if event.kind is not DELTA:
            self.entries.clear()
        for entry in event.entries:
            self.entries[entry.engine] = entry
            if entry.state is GONE:
                del self.entries[entry.engine]

    def settle(self) -> None:
        for _ in range(2):
            self.told(self.part.settle(lambda engine: True))


def whole(case: Case, make: MakePart = Part) -> list[Told]:
    fleet = [Told(case.part(me, make)) for me in range(case.gateways)]
    for told in fleet:
        told.take(api.EngineList(WHOLE, case.engines))
    return fleet


# --- What the parts promise together.


def agree(case: Case, fleet: Sequence[Told]) -> None:
    """Each engine has its holders, all gateways name the same, the shares of its budget make one whole."""
    for entry in case.engines:
        named = {told.part.keepers(entry.engine) for told in fleet}
        assert len(named) == 1, "gateways differ on who keeps it"
        keepers = named.pop()
        home = _region(case, entry.zone) or Region((), 0, case.gateways - 1)
        assert len([k for k in keepers if home.first <= k <= home.last]) >= min(
            case.plan.least_holders, home.last - home.first + 1
        )
        assert len(set(keepers)) == len(keepers)
        keeping = {told.part.me for told in fleet if entry.engine in told.entries}
        assert keeping == set(keepers)
        budget = Fraction(0)
        for told in fleet:
            if (kept := told.entries.get(entry.engine)) is not None:
                if kept.holders is None:
                    assert len(keepers) == case.gateways and kept.rank == 0
                    budget += Fraction(1, case.gateways)
                else:
                    assert kept.holders == len(keepers) and keepers[kept.rank] == told.part.me
                    budget += Fraction(1, kept.holders)
                assert replace(kept, holders=None, rank=0) == entry
        assert budget == 1


def bound(case: Case, fleet: Sequence[Told]) -> None:
    """A class bound to zones or kinds has engines at every gateway, of each zone that has any."""
    for cls in CLASSES[case.classes]:
        if cls.zones is None and cls.kinds is None and cls.group is not api.DedupGroup.ZONE:
            continue
        for zone in {entry.zone for entry in case.engines}:
            if cls.zones is None or zone in cls.zones:
                fits = {
                    e.engine for e in case.engines if e.zone == zone and e.kind in (cls.kinds or (e.kind,))
                }
                for told in fleet:
                    home = _region(case, zone)
                    if cls.zones is not None or home is None or home.first <= told.part.me <= home.last:
                        kept = len(fits & told.entries.keys())
                        assert kept >= min(case.plan.least_stratum, len(fits))


def floored(case: Case, fleet: Sequence[Told]) -> None:
    """No gateway is left with next to nothing, however the engines stand."""
    for told in fleet:
        near = set()
        for entry in case.engines:
            home = _region(case, entry.zone)
            ours = home is not None and home.first <= told.part.me <= home.last
            if ours or not case.plan.regions:
                near.add(entry.engine)
        kept = len(told.entries.keys() & near)
        assert kept >= min(len(near), case.plan.size // LEAST_PART)


def _region(case: Case, zone: str) -> Region | None:
    return next((r for r in case.plan.regions or () if zone in r.zones), None)


def same_by_deltas(case: Case, make: MakePart, seed: int) -> None:
    """Deltas one by one, in any order, come to what a whole list comes to."""
    random = Random(seed)
    start = [e for e in case.engines if random.random() < 0.5]
    start += [replace(e, zone="z9") for e in roster(random.randrange(9), salt=200)]
    told = Told(case.part(random.randrange(case.gateways), make))
    told.take(api.EngineList(WHOLE, tuple(start)))
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
        told.take(api.EngineList(DELTA, (change,)))
        mine = set(told.part.shown)
        assert mine <= told.entries.keys()
        assert all(e.state is DRAINING for name, e in told.entries.items() if name not in mine)
    told.settle()
    fresh = Told(case.part(told.part.me))
    fresh.take(api.EngineList(WHOLE, tuple(final.values())))
    assert told.entries == fresh.entries


@given(cases())
@examples(max_examples=150, deadline=None, derandomize=True)
def test_gateways_agree_on_who_keeps_what_and_budgets_make_one(case: Case) -> None:
    fleet = whole(case)
    agree(case, fleet)
    bound(case, fleet)
    floored(case, fleet)


@given(cases(), st.integers(0, 1 << 30))
@examples(max_examples=150, deadline=None, derandomize=True)
def test_deltas_one_by_one_come_to_what_a_whole_list_comes_to(case: Case, seed: int) -> None:
    same_by_deltas(case, Part, seed)


@given(cases(), st.integers(0, 1 << 30))
@examples(max_examples=60, deadline=None, derandomize=True)
def test_the_order_of_a_list_does_not_matter(case: Case, seed: int) -> None:
    shuffled = Random(seed).sample(case.engines, len(case.engines))
    one, other = Told(case.part(0)), Told(case.part(0))
    one.take(api.EngineList(WHOLE, case.engines))
    other.take(api.EngineList(DELTA, tuple(shuffled[:7])))
    other.take(api.EngineList(DELTA, tuple(shuffled[7:])))
    other.settle()
    assert one.entries == other.entries


@given(cases(most=40), st.integers(0, 1 << 30))
@examples(max_examples=60, deadline=None, derandomize=True)
def test_up_to_its_size_events_pass_unchanged(case: Case, seed: int) -> None:
    plan = replace(case.plan, size=max(1, len(case.engines)))
    part, random = Part(plan, settings(*CLASSES[case.classes], fleet_size=case.gateways)), Random(seed)
    events = [api.EngineList(WHOLE, case.engines)]
    for entry in random.sample(case.engines, len(case.engines)):
        state = random.choice([READY, DRAINING, GONE])
        events.append(api.EngineList(DELTA, (replace(entry, state=state), replace(entry, weight=2.0))))
    events += [api.EngineList(api.ListKind.CACHED, case.engines), api.EngineList(api.ListKind.FAILED, ())]
    for event in events:
        assert part.listed(event) is event
        assert part.whole and all(share == (None, 0) for share in part.shown.values())
        assert part.settle(lambda engine: True) is None


def test_a_plan_of_no_size_is_off() -> None:
    part = Part(SubsetPlan(size=0), settings(fleet_size=4))
    event = api.EngineList(WHOLE, tuple(roster(500)))
    assert part.listed(event) is event and part.whole


def test_a_list_that_failed_passes() -> None:
    part = Part(SubsetPlan(size=4), settings(fleet_size=40))
    part.listed(api.EngineList(WHOLE, tuple(roster(200))))
    event = api.EngineList(api.ListKind.FAILED, ())
    assert part.listed(event) is event


def test_the_list_grows_past_the_size_and_shrinks_again() -> None:
    case = Case(SubsetPlan(size=10, least_holders=2), 8, "free", tuple(roster(11)))
    fleet = [Told(case.part(me)) for me in range(8)]
    for told in fleet:
        told.take(api.EngineList(WHOLE, case.engines[:10]))
        assert len(told.entries) == 10 and all(e.holders is None for e in told.entries.values())
        told.take(api.EngineList(DELTA, case.engines[10:]))
        told.settle()
    agree(case, fleet)
    assert any(len(told.entries) < 11 for told in fleet)
    for told in fleet:
        told.take(api.EngineList(DELTA, (replace(case.engines[3], state=GONE),)))
        assert len(told.entries) == 10 and all(e.holders is None for e in told.entries.values())
        assert all(e.state is READY for e in told.entries.values())


# --- Balance and change, at one size that a test bears.


def test_parts_and_holders_are_even() -> None:
    """An arc holds a binomial number of engines; the gateways stand evenly, so that holders hardly differ."""
    for salt in range(2):
        case = Case(SubsetPlan(size=40, least_holders=4), 120, "free", tuple(roster(600, salt=salt)))
        fleet = whole(case)
        for told in fleet:
            assert abs(len(told.entries) - 40) <= 5 * sqrt(40)
        assert abs(sum(len(told.entries) for told in fleet) - 40 * 120) <= 0.03 * 40 * 120
        holders = [len(fleet[0].part.keepers(e.engine)) for e in case.engines]
        assert min(holders) >= 8 - 3 and max(holders) <= 8 + 3


def test_a_block_or_a_stride_of_gateways_lost_leaves_no_engine_alone() -> None:
    for salt in range(3):
        case = Case(SubsetPlan(size=40, least_holders=4), 190, "free", tuple(roster(900, salt=salt)))
        part = case.part(0)
        part.listed(api.EngineList(WHOLE, case.engines))
        for lost in (set(range(50, 60)), set(range(3, 190, 19))):
            assert min(len(set(part.keepers(e.engine)) - lost) for e in case.engines) >= 5


def changed(case: Case, before: Sequence[Told], engine: api.EngineEntry) -> tuple[int, int]:
    """Engines that gateways gain, and lose, all together, when one more is listed."""
    gained = lost = 0
    for told in before:
        kept = set(told.part.shown)
        told.take(api.EngineList(DELTA, (engine,)))
        gained += len(set(told.part.shown) - kept)
        lost += len(kept - set(told.part.shown))
    return gained, lost


@pytest.mark.parametrize("least_holders", [1, 4])
def test_one_engine_more_changes_little_but_for_its_own_holders(least_holders: int) -> None:
    """Arcs as wide as `size` asks shrink by one part in n: each gateway loses size / n of an engine in the
    mean. Those as wide as `least_holders` asks stay; rounded to whole engines they would grow by one at every
    gateway when the list passes a multiple of gateways / least_holders."""
    plan = SubsetPlan(size=40, least_holders=least_holders)
    case = Case(plan, 60, "free", tuple(roster(600)))
    fleet, more = whole(case), roster(30, salt=77)
    counts = [changed(case, fleet, engine) for engine in more]
    assert all(gained <= 4 + 3 for gained, _ in counts)  # its holders, 60 * 40 / 600 = 4
    lost = sum(lost for _, lost in counts)
    assert lost == 0 if least_holders == 4 else 0 < lost <= 2 * 4 * len(more)


def test_a_gateway_more_moves_nobody() -> None:
    engines = tuple(roster(600))
    for number in range(0, 60, 7):
        before = Case(SubsetPlan(size=40, least_holders=4), 60, "free", engines).part(number)
        after = Case(SubsetPlan(size=40, least_holders=4), 61, "free", engines).part(number)
        for part in (before, after):
            part.listed(api.EngineList(WHOLE, engines))
        assert before.shown.keys() == after.shown.keys()


def test_budgets_of_gateways_whose_lists_differ_by_few() -> None:
    """Keepers by one list and another are runs of one order, so that shares sum to at most
    1 + 1/(least + 1) + ... + 1/most, where least and most are the holders by any of the lists; and these
    differ by 1 + 2.9 holders * changes / engines at most (gateways stand 0.35 / gateways apart at least)."""
    random = Random(5)
    for salt in range(4):
        engines = roster(400, salt=salt)
        case = Case(SubsetPlan(size=40, least_holders=4), 60, "free", tuple(engines))
        fleet, differ = whole(case), 6
        for told in fleet:
            for entry in random.sample(engines[50:], random.randrange(differ + 1)):
                told.take(api.EngineList(DELTA, (replace(entry, state=GONE),)))
        for entry in engines[:50]:
            views = {len(told.part.keepers(entry.engine)) for told in fleet}
            least, most = min(views), max(views)
            assert most - least <= 1 + ceil(2.9 * most * differ / (400 - differ))
            shares = [
                Fraction(1, e.holders)
                for t in fleet
                if (e := t.entries.get(entry.engine)) and e.holders and e.state is READY
            ]
            assert sum(shares) <= 1 + sum(Fraction(1, n) for n in range(least + 1, most + 1))


def test_work_of_a_delta_does_not_grow_with_the_list(monkeypatch: pytest.MonkeyPatch) -> None:
    looked: list[int] = []
    run = Rings.run

    def counted(self: Rings, ring: int, start: int, least: int, width: int) -> Iterator[int]:
        for index in run(self, ring, start, least, width):
            looked.append(1)
            yield index

    monkeypatch.setattr(Rings, "run", counted)
    hashed: list[str] = []
    words_of = ring_module.words_of

    def hash_counted(text: str) -> tuple[int, int]:
        hashed.append(text)
        return words_of(text)

    monkeypatch.setattr("whintrail.subset.part.words_of", hash_counted)
    counts = []
    for size in (400, 6400):
        engines = tuple(roster(size))
        part = Part(SubsetPlan(size=40, least_holders=1), settings(fleet_size=400, me=9))
        part.listed(api.EngineList(WHOLE, engines))
        looked.clear()
        hashed.clear()
        for entry in engines[::40]:
            part.listed(api.EngineList(DELTA, (replace(entry, state=GONE),)))
            part.listed(api.EngineList(DELTA, (entry,)))
        deltas = 2 * len(engines[::40])
        assert len(hashed) <= deltas
        counts.append(len(looked) / deltas)
    assert counts[1] <= 2 * counts[0] <= 200


# --- Leaving, regions, plans, rings.


def left_one(make: MakePart = Part) -> tuple[Told, api.EngineEntry, list[api.EngineEntry]]:
    """A part that has just given up an engine that is still listed; and what was told of it."""
    engines = roster(200)
    told = Told(make(SubsetPlan(size=20, least_holders=1), settings(fleet_size=40, me=3)))
    told.take(api.EngineList(WHOLE, tuple(engines)))
    for more in roster(200, salt=9):
        before = set(told.part.shown)
        passed = told.take(api.EngineList(DELTA, (more,)))
        if left := before - set(told.part.shown):
            assert passed is not None
            engine = left.pop()
            about = [e for e in passed.entries if e.engine == engine]
            return told, next(e for e in engines if e.engine == engine), about
    raise LookupError("none left")


def leaves_as_draining(make: MakePart = Part) -> None:
    told, entry, about = left_one(make)
    assert [e.state for e in about] == [DRAINING]
    assert told.part.settle(lambda engine: True) is None  # it may have been sent something a moment ago
    assert told.part.settle(lambda engine: False) is None
    assert told.part.settle(lambda engine: True) is None
    gone = told.part.settle(lambda engine: True)
    assert gone is not None and [(e.engine, e.state) for e in gone.entries] == [(entry.engine, GONE)]
    assert told.part.settle(lambda engine: True) is None


def test_an_engine_that_leaves_the_part_drains_first_and_goes_once_free() -> None:
    leaves_as_draining()


def test_an_engine_that_comes_back_before_it_went_is_ready_again() -> None:
    told, entry, _ = left_one()
    count = len(told.part.known)
    for other in list(told.part.known.values()):
        if count > 60 and other.entry.engine != entry.engine:
            count -= 1
            told.take(api.EngineList(DELTA, (replace(other.entry, state=GONE),)))
    assert told.entries[entry.engine].state is READY and not told.part.leaving
    told.settle()
    assert entry.engine in told.entries


def test_an_engine_that_leaves_the_part_and_the_list_is_told_as_gone() -> None:
    told, entry, _ = left_one()
    passed = told.take(api.EngineList(DELTA, (replace(entry, state=GONE),)))
    assert passed is not None and any(e.engine == entry.engine and e.state is GONE for e in passed.entries)
    assert told.part.settle(lambda engine: True) is None


def test_a_whole_list_keeps_an_engine_that_is_leaving_as_draining() -> None:
    told, entry, _ = left_one()
    listed = tuple(known.entry for known in told.part.known.values())
    told.take(api.EngineList(WHOLE, listed))
    assert told.entries[entry.engine].state is DRAINING
    told.settle()
    assert entry.engine not in told.entries


def test_the_module_draws_from_the_part_alone() -> None:
    random, engines = Random(4), {e.engine: e for e in roster(200)}
    given = settings(fleet_size=40, me=3)
    told, module = Told(Part(SubsetPlan(size=20, least_holders=2), given)), Gateway(given, 1, 0)
    module.handle(0, told.take(api.EngineList(WHOLE, tuple(engines.values()))) or api.EngineList(DELTA, ()))
    for turn in range(300):
        entry = replace(random.choice(list(engines.values())), state=random.choice([READY, DRAINING, GONE]))
        engines[entry.engine] = entry
        passed = told.take(api.EngineList(DELTA, (entry,)))
        if turn % 10 == 0 and (settled := told.part.settle(lambda engine: True)) is not None:
            told.told(settled)
            module.handle(turn, settled)
        if passed is not None:
            module.handle(turn, passed)
        ready = {name for name in told.part.shown if engines[name].state is READY}
        assert {engine.address for engine in module.ready} == ready and ready
        assert module.engines.keys() == told.entries.keys()


def test_a_region_keeps_its_own_zones_and_few_of_others_that_a_class_is_bound_to() -> None:
    regions = (Region(("z0", "z1"), 0, 39), Region(("z2",), 40, 79))
    plan = SubsetPlan(size=30, least_holders=4, least_stratum=3, regions=regions)
    case = Case(plan, 80, "zone", tuple(roster(300)))
    fleet = whole(case)
    agree(case, fleet)
    bound(case, fleet)
    for told in fleet:
        zones = [entry.zone for entry in told.entries.values()]
        if told.part.me < 40:
            assert zones.count("z2") == 3 and zones.count("z1") > 3
        else:
            assert zones.count("z0") == 3 and zones.count("z1") == 0 and zones.count("z2") > 10


def test_where_repeats_stay_in_a_cell_a_kept_engine_has_a_mate() -> None:
    """Engines of one cell stand in clumps; without, over 2 in 5 are alone in their cell."""
    alone = {}
    for classes in ("free", "keyed in its cell"):
        case = Case(SubsetPlan(size=40, least_holders=4), 60, classes, tuple(roster(1200, zones=1)))
        kept = [Counter(entry.cell for entry in told.entries.values()) for told in whole(case)]
        alone[classes] = sum(n == 1 for cells in kept for n in cells.values()) / sum(map(Counter.total, kept))
    assert alone["keyed in its cell"] < 0.03 < 0.4 < alone["free"]


def test_a_cell_that_grows_past_a_power_of_two_is_made_anew_alike_everywhere() -> None:
    engines = [replace(entry, cell=0) for entry in roster(200, zones=1)]
    case = Case(SubsetPlan(size=20, least_holders=2), 20, "keyed in its cell", tuple(engines))
    fleet = [Told(case.part(me)) for me in range(20)]
    for told in fleet:
        told.take(api.EngineList(WHOLE, tuple(engines[:60])))
        for entry in Random(told.part.me).sample(engines[60:], 140):
            told.take(api.EngineList(DELTA, (entry,)))
        told.settle()
    agree(case, fleet)


def read_plan(tmp_path: Path, values: dict[str, object]) -> SubsetPlan:
    """As the program reads it: of an operator's file."""
    file = tmp_path / "operator.jsonnet"
    file.write_text(json.dumps({"subset": values}))
    asked = read_operator_file(str(file)).subset
    assert asked is not None
    return plan_of(asked)


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
def test_a_plan_that_cannot_be_used_is_refused_with_its_place(
    tmp_path: Path, values: dict[str, object], place: str
) -> None:
    with pytest.raises((OperatorFileError, PlanError)) as refused:
        read_plan(tmp_path, values).check(10)
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
def test_a_plan_that_is_made_otherwise_is_checked_as_well(values: dict[str, Any], place: str) -> None:
    with pytest.raises(PlanError) as refused:
        SubsetPlan(**values)
    assert str(refused.value).startswith(place)


def test_a_plan_is_read(tmp_path: Path) -> None:
    regions = [{"zones": ["a"], "first": 5, "last": 9}, {"zones": ["b", "c"], "first": 0, "last": 4}]
    plan = read_plan(tmp_path, {"size": 64, "regions": regions})
    plan.check(10)
    assert plan == SubsetPlan(64, regions=(Region(("a",), 5, 9), Region(("b", "c"), 0, 4)))
    assert read_plan(tmp_path, {}) == SubsetPlan()


def test_a_gateway_that_is_none_of_the_fleet_is_refused() -> None:
    with pytest.raises(PlanError):
        Part(SubsetPlan(), settings(fleet_size=4, me=4))


@given(st.integers(1, 40), st.integers(0, MASK), st.integers(0, FULL), st.sampled_from(TURNS))
@examples(max_examples=200, deadline=None, derandomize=True)
def test_a_circle_counts_as_one_by_one(count: int, place: int, width: int, turn: int) -> None:
    circle = Circle(range(count), turn)
    near = sorted((place - number * turn & MASK, number) for number in range(count))
    within = [number for distance, number in near if distance < width]
    assert circle.within(place, width) == len(within)
    assert circle.nearest(place, len(within)) == within
    low, high = circle.steady(place, len(within))
    assert low <= width < high
    for other in (low, high - 1):
        assert circle.within(place, min(other, FULL)) == len(within)


# --- Telling.

SIGHTING = memo.Sighting(0, 0, api.LoadReport(utilisation=0.5, held=2.0))


@dataclass
class Heard:
    origin: int
    at_us: int
    key: int
    age_us: int


def talk(case: Case, make: Callable[[Part, int], Telling], probes: int, seed: int) -> None:
    """Each probe reaches every other keeper once, in time, with its age; and nobody else."""
    random, fleet = Random(seed), whole(case)
    tellers = [make(told.part, told.part.me) for told in fleet]
    heard: list[list[Heard]] = [[] for _ in fleet]
    expected: list[list[tuple[int, int, int]]] = [[] for _ in fleet]  # origin, key, when probed
    tick, now = 50_000, 0
    while now < 3_000_000:
        now += tick
        for told, teller in zip(fleet, tellers, strict=True):
            keys = memo.keys_of(told.entries)
            for key in random.sample(sorted(keys), min(len(keys), probes)) if now < 2_000_000 else ():
                teller.add(now, memo.encode([replace(SIGHTING, key=key)]))
                for keeper in told.part.keepers(keys[key]):
                    if keeper != told.part.me:
                        expected[keeper].append((told.part.me, key, now))
            for target, data in teller.due(now):
                assert target != told.part.me and len(data) <= memo.MOST_BYTES
                heard[target] += [Heard(told.part.me, now, s.key, s.age_us) for s in memo.decode(data)]
    for got, wanted in zip(heard, expected, strict=True):
        assert sorted((h.origin, h.key) for h in got) == sorted((o, k) for o, k, _ in wanted)
        times: dict[tuple[int, int], list[int]] = {}
        for origin, key, at in wanted:
            times.setdefault((origin, key), []).append(at)
        for h in got:
            at = times[h.origin, h.key].pop(0)
            assert h.at_us - at <= BATCH_US + tick
            assert abs(h.age_us - (h.at_us - at)) <= memo.AGE_UNIT_US


TALKING = Case(SubsetPlan(size=20, least_holders=4), 24, "zone", tuple(roster(90)))


@given(cases(most=60), st.integers(1, 3), st.integers(0, 1 << 30))
@examples(max_examples=25, deadline=None, derandomize=True)
def test_what_probes_bring_reaches_each_keeper_once_and_in_time(case: Case, probes: int, seed: int) -> None:
    talk(case, Telling, probes, seed)


def test_many_sightings_for_one_gateway_go_in_datagrams_of_what_fits() -> None:
    case = Case(SubsetPlan(size=100), 2, "free", tuple(roster(100)))
    told = whole(case)[0]
    teller = Telling(told.part, 0)
    teller.due(0)
    keys = memo.keys_of(told.entries)
    for key in keys:
        teller.add(1000, memo.encode([replace(SIGHTING, key=key)]))
    sent = [data for at in range(0, BATCH_US + 100_000, 50_000) for _, data in teller.due(at)]
    assert [len(memo.decode(data)) for data in sent] == [36, 36, len(keys) - 72]


def test_one_batch_in_four_spares_three_quarters_of_the_bytes_to_each_target_alike() -> None:
    told = whole(TALKING)[0]
    sent: dict[int, dict[int, int]] = {}
    for every in (1, 4):
        teller, counts = Telling(told.part, 0, every=every), sent.setdefault(every, {})
        for now in range(0, 40 * BATCH_US, BATCH_US // 8):
            for key in memo.keys_of(told.entries):
                teller.add(now, memo.encode([replace(SIGHTING, key=key)]))
            for target, data in teller.due(now):
                counts[target] = counts.get(target, 0) + len(memo.decode(data))
        assert teller.counts["told"] + teller.counts["spared"] + len(teller.waiting) == sum(
            (len(told.part.keepers(e)) - 1) * 320 for e in memo.keys_of(told.entries).values()
        )
    assert sent[1].keys() == sent[4].keys()
    for target, count in sent[1].items():
        assert abs(sent[4][target] - count / 4) <= 0.05 * count


def test_a_full_queue_drops_the_oldest_and_counts_them() -> None:
    told = whole(TALKING)[0]
    teller = Telling(told.part, 0, most=10)
    teller.due(0)
    keys = sorted(memo.keys_of(told.entries))
    others = [len(told.part.keepers(memo.keys_of(told.entries)[key])) - 1 for key in keys]
    for key in keys:
        teller.add(1, memo.encode([replace(SIGHTING, key=key)]))
    assert teller.counts["dropped"] == sum(others) - 10 and len(teller.waiting) == 10
    assert teller.waiting[-1].sighting[:2] == keys[-1].to_bytes(2, "big")
    teller.due(2_000_000)
    assert teller.counts["told"] == 10 and not teller.waiting


def test_of_an_engine_not_kept_or_whose_key_is_shared_nobody_is_told() -> None:
    names: dict[int, str] = {}
    twins: tuple[str, str] | None = None
    random = Random(2)
    for _ in range(2000):
        name = random.randbytes(8).hex()
        key = memo.key_of(name)
        if key in names:
            twins = names[key], name
            break
        names[key] = name
    assert twins is not None
    entries = [replace(roster(1)[0], engine=name) for name in twins]
    part = Part(SubsetPlan(), settings(fleet_size=3))
    part.listed(api.EngineList(WHOLE, tuple(entries)))
    teller = Telling(part, 0)
    teller.add(0, memo.encode([replace(SIGHTING, key=memo.key_of(twins[0]))]))
    teller.add(0, memo.encode([replace(SIGHTING, key=(memo.key_of(twins[0]) + 1) & 0xFFFF)]))
    assert teller.due(2_000_000) == [] and teller.counts["unknown"] == 2
    with pytest.raises(memo.MemoError):
        teller.add(0, b"\7\7\7")


# --- Faults that the properties above must show.


class ByArrival(Part):
    """Engines stand in the order in which this gateway heard of them."""

    def _put(self, engine: str, bits: int) -> None:
        known = self.known[engine]
        known.ring, known.place, known.stamp = 0, len(self.known) * TURNS[1] & MASK, None
        for rings in self._places(known):
            rings.add(0, (known.place, engine))


class FrozenWidth(Part):
    """The arc stays as wide as the first list made it."""

    def _recount(self) -> None:
        super()._recount()
        first = [home.width for home in self.homes]
        self._width = lambda home: first[self.homes.index(home)]  # type: ignore[method-assign]


class NoStrata(Part):
    """Classes bound to a place or kind are forgotten."""

    def _stratum_holders(self, known: Known, circle: Circle, strata: Iterable[Stratum]) -> int:
        return 0


class NoFloor(Part):
    """An engine is kept by whoever's arc it happens to be in."""

    def __init__(self, plan: SubsetPlan, given: api.Settings) -> None:
        super().__init__(replace(plan, least_holders=1), given)


class NoLeastPart(Part):
    """What stands within the arc is kept, be it nothing."""

    def _floors(self, home: Home) -> tuple[int, ...]:
        return tuple(0 for _ in home.floors)


class StaleHolders(Part):
    """Who holds an engine is told only when its own entry changes."""

    def _delta(
        self, told: dict[str, api.EngineEntry], before: dict[str, Share], after: dict[str, Share]
    ) -> api.EngineList | None:
        old = {engine: after.get(engine, share) for engine, share in before.items()}
        return super()._delta(told, old, after)


class OwnPlace(Part):
    """The holders are reckoned for the next number's place: one who keeps it is not counted among them."""

    def keepers(self, engine: str) -> tuple[int, ...]:
        return tuple((number + 1) % self.gateways for number in super().keepers(engine))


class GoneAtOnce(Part):
    """What leaves the part is told as gone at once."""

    def _shown(self, engine: str) -> api.EngineEntry:
        entry = super()._shown(engine)
        return entry if engine in self.shown else replace(entry, state=GONE)


MIXED = [
    Case(SubsetPlan(size=20, least_holders=4, least_stratum=4), 24, classes, tuple(roster(120, salt=salt)))
    for salt, classes in enumerate([*sorted(CLASSES), "both", "zone"])
]
MIXED.append(Case(SubsetPlan(size=8, least_holders=1), 24, "keyed in its cell", tuple(roster(200, zones=1))))


def properties(make: MakePart) -> None:
    for case in MIXED:
        agree(case, fleet := whole(case, make))
        bound(case, fleet)
        floored(case, fleet)
        for seed in range(3):
            same_by_deltas(case, make, seed)
    leaves_as_draining(make)


def test_the_sound_part_has_the_properties_that_faults_are_to_break() -> None:
    properties(Part)


@pytest.mark.parametrize(
    "broken", [ByArrival, FrozenWidth, NoStrata, NoFloor, NoLeastPart, StaleHolders, OwnPlace, GoneAtOnce]
)
def test_a_broken_part_is_caught(broken: MakePart) -> None:
    with pytest.raises(AssertionError):
        properties(broken)


class Ageless(Telling):
    """The wait is not counted."""

    def add(self, now_us: int, payload: bytes) -> None:
        super().add(now_us, payload)
        for item in self.waiting:
            item.added_us = 1 << 60


class Again(Telling):
    """What was told waits on."""

    def due(self, now_us: int) -> list[tuple[int, bytes]]:
        before = list(self.waiting)
        found = super().due(now_us)
        self.waiting.extend(before[:1] if found else [])
        return found


class SomeTold(Telling):
    """The last keeper is passed over."""

    def add(self, now_us: int, payload: bytes) -> None:
        super().add(now_us, payload)
        if self.waiting:
            self.waiting.pop()


@pytest.mark.parametrize("broken", [Ageless, Again, SomeTold])
def test_a_broken_teller_is_caught(broken: Callable[[Part, int], Telling]) -> None:
    talk(TALKING, Telling, 1, 3)
    with pytest.raises(AssertionError):
        talk(TALKING, broken, 1, 3)
