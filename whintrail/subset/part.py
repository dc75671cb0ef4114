"""The part of the engines that one gateway keeps, as deltas of the list that the module is told.

A pair of gateway and engine is kept by one rule, which every gateway works out alike from the list, the plan
and the fleet's size: the `holders` nearest gateways behind an engine on its ring keep it. How many they are
is the greatest of

- those within an arc of size / engines, or of least_holders / gateways, of the ring, whichever is wider;
- `least_holders`;
- those from whose place it is among the first quarter of `size`: no gateway is left with next to nothing
  where engines happen to stand thinly, or in clumps;
- where a class is bound to a zone or to kinds, or repeats within its zone only: those from whose place the
  engine is among the first `least_stratum` of that stratum.

Seen from a gateway each of the four is a run of engines clockwise from its own place, so that what it keeps
is found without a look at the others.
"""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from functools import lru_cache

from whintrail import interface as api
from whintrail.subset.plan import PlanError, SubsetPlan
from whintrail.subset.ring import FULL, MASK, TURNS, Circle, words_of

RINGS = 2
LEAST_PART = 4  # a gateway keeps at least one engine in so many of what it keeps in the mean
CLUMP = 4  # engines of one cell that stand together, at least, where a class repeats within cells only
SPREAD_BITS = 24  # of a place: what tells engines of one clump apart
Spot = tuple[int, str]  # a place and the engine that stands there
Share = tuple[int | None, int]  # holders, None: all of the fleet; our rank among them
Stratum = tuple[str, tuple[str, ...] | None]  # a zone; kinds, None: any


@dataclass(slots=True)
class Known:
    """An engine of the whole list."""

    entry: api.EngineEntry
    ring: int
    place: int
    strata: tuple[Stratum, ...]
    share: Share | None = None  # ours, None: not kept; it holds while `stamp` does,
    stamp: tuple[int, int] | None = None
    low: int = 0  # from this width of the home's arc on,
    high: int = 0  # and below this one


class Rings:
    """Engines by their places, ring by ring."""

    def __init__(self) -> None:
        self.rings: list[list[Spot]] = [[] for _ in range(RINGS)]
        self.changes = 0
        self.loose = False  # a whole list is being read: sorted once, not at each engine

    def __len__(self) -> int:
        return sum(len(ring) for ring in self.rings)

    def add(self, ring: int, spot: Spot) -> None:
        self.changes += 1
        if self.loose:
            self.rings[ring].append(spot)
        else:
            insort(self.rings[ring], spot)

    def sort(self) -> None:
        for ring in self.rings if self.loose else ():
            ring.sort()
        self.loose = False

    def remove(self, ring: int, spot: Spot) -> None:
        self.sort()
        self.changes += 1
        del self.rings[ring][bisect_left(self.rings[ring], spot)]

    def run(self, ring: int, start: int, least: int, width: int) -> Iterator[int]:
        """Indices of the engines clockwise after a place: so many at least, and all within a width."""
        spots = self.rings[ring]
        first = bisect_left(spots, (start, ""))
        for step in range(len(spots)):
            index = (first + step) % len(spots)
            if step >= least and (spots[index][0] - start) & MASK >= width:
                return
            yield index

    def thin(self, ring: int, index: int, quota: int, width: int) -> bool:
        """Whether fewer than so many stand within a width up to an engine."""
        spots = self.rings[ring]
        return quota >= len(spots) or (spots[index][0] - spots[index - quota][0]) & MASK > width

    def reaching(self, known: Known, quota: int, circle: Circle) -> int:
        """Gateways from whose place an engine is among the first so many of these."""
        spots = self.rings[known.ring]
        if quota >= len(spots):
            return len(circle)
        at = bisect_left(spots, (known.place, known.entry.engine))
        return circle.between(spots[at - quota][0], known.place) if quota else 0

    def quotas(self, least: int) -> tuple[int, ...]:
        """So many engines shared out to the rings, evenly as far as each has them."""
        return shared_out(least, tuple(len(ring) for ring in self.rings))


@dataclass(slots=True)
class Home:
    """The engines of one region, or of all, with the gateways that keep them among themselves."""

    first: int
    last: int
    least: int  # engines that each of these gateways is to keep in the mean
    engines: Rings = field(default_factory=Rings)
    width: int = FULL  # of the arc that each keeps
    floors: tuple[int, ...] = (0,) * RINGS  # engines of each ring that each keeps at least


class Part:
    """Not for two threads. Errors: PlanError where the plan does not fit the fleet."""

    def __init__(self, plan: SubsetPlan, settings: api.Settings) -> None:
        plan.check(settings.fleet_size)
        if plan.size and not 0 <= settings.me < settings.fleet_size:
            raise PlanError(f"subset: gateway {settings.me} is none of a fleet of {settings.fleet_size}")
        self.plan, self.me, self.gateways = plan, settings.me, max(1, settings.fleet_size)
        self.known: dict[str, Known] = {}
        self.shown: dict[str, Share] = {}  # what we keep, as the module was told: holders, rank
        self.leaving: dict[str, bool] = {}  # told as draining, kept no longer; free when last asked
        self.version = 0  # grows with each change of what we keep
        self.whole = True  # we keep all, and decisions are as without a plan
        # Regions, and behind them a place for the zones that none of them names: all keep those, few each.
        self.homes = [Home(r.first, r.last, plan.size) for r in plan.regions or ()]
        self.homes.append(Home(0, self.gateways - 1, plan.least_stratum if plan.regions else plan.size))
        self.home_of = {z: n for n, region in enumerate(plan.regions or ()) for z in region.zones}
        self.strata: dict[Stratum, Rings] = {}
        self.circles: dict[tuple[int, int, int, bool], Circle] = {}
        self.cells: dict[tuple[str, int], set[str]] = {}  # kept only where a class repeats within cells
        bound = [c for c in settings.classes if c.zones is not None or c.kinds is not None]
        keyed = [c.group for c in settings.classes if c.effect is api.Effect.BY_KEY]
        self.needs = {(c.zones, c.kinds) for c in bound if plan.least_stratum}
        if api.DedupGroup.ZONE in keyed and plan.least_stratum:
            self.needs.add((None, None))  # a repeat needs another engine of the same zone
        self.in_cells = api.DedupGroup.CELL in keyed

    # --- The list.

    def listed(self, event: api.EngineList) -> api.EngineList | None:
        """The event as the module is to see it; None where it changes nothing here.

        An engine that leaves the part, though it is still listed, is told as draining: what runs there goes
        on, and what the module knows of it (a cold engine's budget spent) is not forgotten should it come
        back. `settle` ends that.
        """
        if event.kind is api.ListKind.FAILED or not self.plan.size:
            return event
        told = {entry.engine: entry for entry in event.entries}
        if event.kind is not api.ListKind.DELTA:
            for engine in [engine for engine in self.known if engine not in told]:
                self._drop(engine)
        if event.kind is not api.ListKind.DELTA and not self.known and not self.in_cells:
            for home in self.homes:
                home.engines.loose = True
        moved = [self._take(entry) for entry in told.values()]
        for home in self.homes:
            home.engines.sort()
        was_whole, before = self.whole, self.shown
        if any(moved) or event.kind is not api.ListKind.DELTA:
            self._recount()
        after = self.shown
        if self.whole and was_whole and not self.leaving:
            return event
        if event.kind is not api.ListKind.DELTA:
            self.leaving = {e: False for e in (*before, *self.leaving) if e in self.known and e not in after}
            if self.whole:
                return event
            entries = [self._shown(engine) for engine in told if engine in after or engine in self.leaving]
            return api.EngineList(event.kind, tuple(entries))
        return self._delta(told, before, after)

    def _delta(
        self,
        told: dict[str, api.EngineEntry],
        before: dict[str, Share],
        after: dict[str, Share],
    ) -> api.EngineList | None:
        entries: list[api.EngineEntry] = []
        for engine, entry in told.items():
            if engine not in self.known:
                if engine in before or self.leaving.pop(engine, None) is not None:
                    entries.append(entry)  # gone
            elif engine in after:
                self.leaving.pop(engine, None)
                entries.append(self._shown(engine))
        if before is not after:
            for engine, place in after.items():
                if engine not in told and before.get(engine) != place:
                    self.leaving.pop(engine, None)
                    entries.append(self._shown(engine))
            for engine in before:
                if engine not in after and engine in self.known:
                    self.leaving[engine] = False
                    entries.append(self._shown(engine))
        return api.EngineList(api.ListKind.DELTA, tuple(entries)) if entries else None

    def settle(self, engine_free: Callable[[str], bool]) -> api.EngineList | None:
        """Engines that left the part and on which nothing of ours runs are told as gone; None where none is.

        To be called from time to time, no more often than a cold engine's window (`Settings.tip_after_us`):
        an engine goes at the second call in a row that finds it free, so that what it was sent within one
        window is not forgotten if it comes back.
        """
        gone = []
        for engine, was_free in list(self.leaving.items()):
            free = engine_free(engine)
            if free and was_free:
                del self.leaving[engine]
                gone.append(replace(self.known[engine].entry, state=api.EngineState.GONE))
            else:
                self.leaving[engine] = free
        return api.EngineList(api.ListKind.DELTA, tuple(gone)) if gone else None

    def _shown(self, engine: str) -> api.EngineEntry:
        entry = self.known[engine].entry
        if engine not in self.shown:
            return replace(entry, state=api.EngineState.DRAINING)
        holders, rank = self.shown[engine]
        return entry if holders is None else replace(entry, holders=holders, rank=rank)

    # --- The roster.

    def _take(self, entry: api.EngineEntry) -> bool:
        """Whether that can change who keeps what."""
        known = self.known.get(entry.engine)
        if entry.state is api.EngineState.GONE:
            if known is not None:
                self._drop(entry.engine)
            return known is not None
        if known is not None:
            old = known.entry
            if (old.zone, old.kind, old.cell) == (entry.zone, entry.kind, entry.cell):
                known.entry = entry
                return False
            self._drop(entry.engine)
        strata = tuple(
            (entry.zone, kinds)
            for zones, kinds in self.needs
            if (zones is None or entry.zone in zones) and (kinds is None or entry.kind in kinds)
        )
        self.known[entry.engine] = Known(entry, 0, 0, strata)
        if not self.in_cells:
            self._put(entry.engine, 0)
            return True
        cell = self.cells.setdefault((entry.zone, entry.cell), set())
        bits = clump_bits(len(cell))
        cell.add(entry.engine)
        self._settle_cell(cell, entry.engine, bits)
        return True

    def _drop(self, engine: str) -> None:
        self._lift(engine)
        entry = self.known.pop(engine).entry
        if self.in_cells:
            cell = self.cells[entry.zone, entry.cell]
            bits = clump_bits(len(cell))
            cell.discard(engine)
            self._settle_cell(cell, None, bits)
            if not cell:
                del self.cells[entry.zone, entry.cell]

    def _settle_cell(self, cell: Iterable[str], new: str | None, before: int) -> None:
        """Clumps of a cell that has grown or shrunk past a power of two are made anew."""
        members = list(cell)
        bits = clump_bits(len(members))
        for engine in members if bits != before else ():
            if engine != new:
                self._lift(engine)
                self._put(engine, bits)
        if new is not None:
            self._put(new, bits)

    def _put(self, engine: str, bits: int) -> None:
        known = self.known[engine]
        place, other = words_of(engine)
        if self.in_cells:
            clump = other >> (64 - bits) if bits else 0
            high, other = words_of(f"{known.entry.zone}\0{known.entry.cell}\0{bits}\0{clump}")
            place = high >> SPREAD_BITS << SPREAD_BITS | place >> (64 - SPREAD_BITS)
        known.ring, known.place, known.stamp = other % RINGS, place, None
        for rings in self._places(known):
            rings.add(known.ring, (place, engine))

    def _lift(self, engine: str) -> None:
        known = self.known[engine]
        for rings in self._places(known):
            rings.remove(known.ring, (known.place, engine))

    def _places(self, known: Known) -> list[Rings]:
        strata = [self.strata.setdefault(s, Rings()) for s in known.strata]
        return [self._home(known).engines, *strata]

    def _home(self, known: Known) -> Home:
        return self.homes[self.home_of.get(known.entry.zone, -1)]

    # --- Who keeps what.

    def _circle(self, home: Home, ring: int, abroad: bool = False) -> Circle:
        """The gateways of a region, or all others."""
        key = (home.first, home.last, ring, abroad)
        if (circle := self.circles.get(key)) is None:
            inside = range(home.first, home.last + 1)
            numbers = [g for g in range(self.gateways) if g not in inside] if abroad else inside
            circle = self.circles[key] = Circle(numbers, TURNS[ring])
        return circle

    def _width(self, home: Home) -> int:
        """Of the arc that a gateway keeps: as many engines as the plan asks, and as its holders need; not
        rounded to whole engines, or each step would be taken by all gateways at once."""
        engines, gateways = max(1, len(home.engines)), home.last - home.first + 1
        return min(FULL, max(FULL * home.least // engines, FULL * self.plan.least_holders // gateways))

    def _floors(self, home: Home) -> tuple[int, ...]:
        return home.engines.quotas(home.least // LEAST_PART)

    def _stratum_holders(self, known: Known, circle: Circle, strata: Iterable[Stratum]) -> int:
        """Gateways from whose place the engine is among the first that a stratum needs."""
        least, most = self.plan.least_stratum, 0
        for stratum in strata:
            rings = self.strata[stratum]
            most = max(most, rings.reaching(known, rings.quotas(least)[known.ring], circle))
        return most

    def _abroad(self, known: Known) -> list[Stratum]:
        """The strata for which gateways of other regions keep it: a class is bound to its zone."""
        zone = known.entry.zone
        return [
            (zone, kinds)
            for zones, kinds in self.needs
            if zones and zone in zones and (zone, kinds) in known.strata
        ]

    def _holders(self, known: Known) -> tuple[int, int]:
        """How many gateways of its region keep it, and how many of the others."""
        home = self._home(known)
        circle = self._circle(home, known.ring)
        near = max(
            circle.within(known.place, home.width),
            min(len(circle), self.plan.least_holders),
            home.engines.reaching(known, home.floors[known.ring], circle),
            self._stratum_holders(known, circle, known.strata),
        )
        if self.plan.regions and len(circle) < self.gateways and (strata := self._abroad(known)):
            return near, self._stratum_holders(known, self._circle(home, known.ring, True), strata)
        return near, 0

    def _share(self, known: Known, thin: bool) -> Share | None:
        """Holders of an engine and our place among them, those of its region first; None: we do not keep it.
        Worked out anew only where the width, a stratum of the engine, or a thin stretch about it has changed
        so that it may matter."""
        home = self._home(known)
        strata = sum(self.strata[s].changes for s in known.strata) if known.strata else 0
        stamp = strata, home.engines.changes if thin else -1
        if stamp == known.stamp and known.low <= home.width < known.high:
            return known.share
        near, far = self._holders(known)
        circle = self._circle(home, known.ring)
        known.low, known.high = circle.steady(known.place, circle.within(known.place, home.width))
        known.share, known.stamp = None, stamp
        for abroad, holders, before in ((False, near, 0), (True, far, near)):
            if holders:
                circle = self._circle(home, known.ring, abroad)
                if (at := circle.index(self.me)) is not None:
                    rank = (circle.behind(known.place) - 1 - at) % len(circle)
                    if rank < holders:
                        known.share = near + far, before + rank
        return known.share

    def _candidates(self) -> Iterator[tuple[str, bool]]:
        """Runs of engines clockwise from our places: all that we keep, some of them more than once. With each
        whether engines stand so thinly before it that the floor under parts may settle who keeps it."""
        for home in self.homes:
            engines = home.engines
            for ring in range(RINGS) if len(engines) and home.first <= self.me <= home.last else ():
                circle = self._circle(home, ring)
                at, start = circle.index(self.me), self.me * TURNS[ring] & MASK
                assert at is not None
                ahead = circle.places[(at + self.plan.least_holders) % len(circle)]
                alone = len(circle) <= self.plan.least_holders
                width = FULL if alone else max(home.width, (ahead - start) & MASK)
                quota, spots = home.floors[ring], engines.rings[ring]
                for index in engines.run(ring, start, quota, width):
                    yield spots[index][1], engines.thin(ring, index, quota, home.width)
        for rings in self.strata.values():
            for ring, quota in enumerate(rings.quotas(self.plan.least_stratum)):
                for index in rings.run(ring, self.me * TURNS[ring] & MASK, quota, 0):
                    engine = rings.rings[ring][index][1]
                    known = self.known[engine]
                    home = self._home(known)
                    place = bisect_left(home.engines.rings[ring], (known.place, engine))
                    yield engine, home.engines.thin(ring, place, home.floors[ring], home.width)

    def _recount(self) -> None:
        """What we keep, with its holders; what is shown to the module is compared with it by who asks."""
        for home in self.homes:
            home.width = self._width(home)
            home.floors = self._floors(home)
        self.whole = len(self.known) <= self.plan.size
        if not self.plan.regions:
            self.whole = self.whole or self.homes[0].width == FULL
        shown: dict[str, Share] = {}
        if self.whole:
            shown = dict.fromkeys(self.known, (None, 0))
        else:
            for engine, thin in self._candidates():
                if engine not in shown:
                    share = self._share(self.known[engine], thin)
                    if share is not None:
                        shown[engine] = share
        self.shown = shown
        self.version += 1

    def keepers(self, engine: str) -> tuple[int, ...]:
        """The numbers of all gateways that keep a listed engine, in the order of their ranks; none if it is
        not listed."""
        if (known := self.known.get(engine)) is None:
            return ()
        if self.whole:
            return tuple(range(self.gateways))
        near, far = self._holders(known)
        home = self._home(known)
        found = self._circle(home, known.ring).nearest(known.place, near)
        if far:
            found += self._circle(home, known.ring, True).nearest(known.place, far)
        return tuple(found)


@lru_cache(4096)
def shared_out(least: int, sizes: tuple[int, ...]) -> tuple[int, ...]:
    """So many, or as many as there are, taken evenly from rings of these sizes."""
    quotas = [0] * len(sizes)
    for _ in range(min(least, sum(sizes))):
        quotas[min(range(len(sizes)), key=lambda r: (quotas[r] >= sizes[r], quotas[r]))] += 1
    return tuple(quotas)


def clump_bits(engines: int) -> int:
    """Of a hash: a cell's engines stand in 2**bits clumps, of CLUMP to 2 * CLUMP in the mean."""
    return max(0, (engines // CLUMP).bit_length() - 1)
