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
from whintrail.subset.ring import RING_MASK, RING_MULTIPLIERS, RING_SIZE, GatewayRing, hash_pair

RING_COUNT = 2
MIN_SIZE_DIVISOR = 4  # a gateway keeps at least one engine in so many of what it keeps in the mean
MIN_CLUMP_ENGINES = (
    4  # engines of one cell that stand together, at least, where a class repeats within cells only
)
CLUMP_SPREAD_BITS = 24  # of a place: what tells engines of one clump apart
RingPosition = tuple[int, str]  # a place and the engine that stands there
HolderRank = tuple[int | None, int]  # holders, None: all of the fleet; our rank among them
Stratum = tuple[str, tuple[str, ...] | None]  # a zone; kinds, None: any


@dataclass(slots=True)
class ListedEngine:
    """An engine of the whole list."""

    entry: api.EngineEntry
    ring: int
    position: int
    strata: tuple[Stratum, ...]
    holder_rank: HolderRank | None = None  # ours, None: not kept; it holds while `stamp` does,
    cache_key: tuple[int, int] | None = None
    valid_from_width: int = 0  # from this width of the home's arc on,
    valid_below_width: int = 0  # and below this one


class EngineRings:
    """Engines by their places, ring by ring."""

    def __init__(self) -> None:
        self.rings: list[list[RingPosition]] = [[] for _ in range(RING_COUNT)]
        self.change_count = 0
        self.is_bulk_loading = False  # a whole list is being read: sorted once, not at each engine

    def __len__(self) -> int:
        return sum(len(ring) for ring in self.rings)

    def add(self, ring: int, position: RingPosition) -> None:
        self.change_count += 1
        if self.is_bulk_loading:
            self.rings[ring].append(position)
        else:
            insort(self.rings[ring], position)

    def sort(self) -> None:
        for ring in self.rings if self.is_bulk_loading else ():
            ring.sort()
        self.is_bulk_loading = False

    def remove(self, ring: int, position: RingPosition) -> None:
        self.sort()
        self.change_count += 1
        del self.rings[ring][bisect_left(self.rings[ring], position)]

    def clockwise(self, ring: int, start: int, min_count: int, width: int) -> Iterator[int]:
        """Indices of the engines clockwise after a place: so many at least, and all within a width."""
        spots = self.rings[ring]
        first = bisect_left(spots, (start, ""))
        for step in range(len(spots)):
            index = (first + step) % len(spots)
            if step >= min_count and (spots[index][0] - start) & RING_MASK >= width:
                return
            yield index

    def is_sparse(self, ring: int, index: int, quota: int, width: int) -> bool:
        """Whether fewer than so many stand within a width up to an engine."""
        spots = self.rings[ring]
        return quota >= len(spots) or (spots[index][0] - spots[index - quota][0]) & RING_MASK > width

    def count_gateways(self, engine: ListedEngine, quota: int, gateways: GatewayRing) -> int:
        """Gateways from whose place an engine is among the first so many of these."""
        spots = self.rings[engine.ring]
        if quota >= len(spots):
            return len(gateways)
        at = bisect_left(spots, (engine.position, engine.entry.engine))
        return gateways.count_between(spots[at - quota][0], engine.position) if quota else 0

    def quotas(self, min_count: int) -> tuple[int, ...]:
        """So many engines shared out to the rings, evenly as far as each has them."""
        return split_evenly(min_count, tuple(len(ring) for ring in self.rings))


@dataclass(slots=True)
class RegionPool:
    """The engines of one region, or of all, with the gateways that keep them among themselves."""

    first: int
    last: int
    target_size: int  # engines that each of these gateways is to keep in the mean
    engines: EngineRings = field(default_factory=EngineRings)
    arc_width: int = RING_SIZE  # of the arc that each keeps
    ring_minimums: tuple[int, ...] = (0,) * RING_COUNT  # engines of each ring that each keeps at least


class SubsetAssignment:
    """Not for two threads. Errors: PlanError where the plan does not fit the fleet."""

    def __init__(self, plan: SubsetPlan, settings: api.Settings) -> None:
        plan.check_fleet_size(settings.fleet_size)
        if plan.size and not 0 <= settings.local_number < settings.fleet_size:
            raise PlanError(
                f"subset: gateway {settings.local_number} is none of a fleet of {settings.fleet_size}"
            )
        self.plan, self.local_number, self.gateway_count = (
            plan,
            settings.local_number,
            max(1, settings.fleet_size),
        )
        self.listed_engines: dict[str, ListedEngine] = {}
        self.kept: dict[str, HolderRank] = {}  # what we keep, as the module was told: holders, rank
        self.draining: dict[str, bool] = {}  # told as draining, kept no longer; free when last asked
        self.revision = 0  # grows with each change of what we keep
        self.keeps_all = True  # we keep all, and decisions are as without a plan
        # Regions, and behind them a place for the zones that none of them names: all keep those, few each.
        self.pools = [RegionPool(r.first, r.last, plan.size) for r in plan.regions or ()]
        self.pools.append(
            RegionPool(0, self.gateway_count - 1, plan.least_stratum if plan.regions else plan.size)
        )
        self.pool_of_zone = {z: n for n, region in enumerate(plan.regions or ()) for z in region.zones}
        self.strata: dict[Stratum, EngineRings] = {}
        self.gateway_rings: dict[tuple[int, int, int, bool], GatewayRing] = {}
        self.cells: dict[tuple[str, int], set[str]] = {}  # kept only where a class repeats within cells
        bound = [c for c in settings.classes if c.zones is not None or c.kinds is not None]
        keyed = [c.dedup_scope for c in settings.classes if c.effect is api.Effect.BY_KEY]
        self.required_strata = {(c.zones, c.kinds) for c in bound if plan.least_stratum}
        if api.DedupScope.ZONE in keyed and plan.least_stratum:
            self.required_strata.add((None, None))  # a repeat needs another engine of the same zone
        self.clumps_cells = api.DedupScope.CELL in keyed

    # --- The list.

    def apply_list(self, event: api.EngineListReceived) -> api.EngineListReceived | None:
        """The event as the module is to see it; None where it changes nothing here.

        An engine that leaves the part, though it is still listed, is told as draining: what runs there goes
        on, and what the module knows of it (a cold engine's budget spent) is not forgotten should it come
        back. `settle` ends that.
        """
        if event.kind is api.ListKind.FAILED or not self.plan.size:
            return event
        told = {entry.engine: entry for entry in event.entries}
        if event.kind is not api.ListKind.DELTA:
            for engine in [engine for engine in self.listed_engines if engine not in told]:
                self._remove_engine(engine)
        if event.kind is not api.ListKind.DELTA and not self.listed_engines and not self.clumps_cells:
            for home in self.pools:
                home.engines.is_bulk_loading = True
        moved = [self._apply_entry(entry) for entry in told.values()]
        for home in self.pools:
            home.engines.sort()
        was_whole, before = self.keeps_all, self.kept
        if any(moved) or event.kind is not api.ListKind.DELTA:
            self._recompute()
        after = self.kept
        if self.keeps_all and was_whole and not self.draining:
            return event
        if event.kind is not api.ListKind.DELTA:
            self.draining = {
                e: False for e in (*before, *self.draining) if e in self.listed_engines and e not in after
            }
            if self.keeps_all:
                return event
            entries = [
                self._visible_entry(engine) for engine in told if engine in after or engine in self.draining
            ]
            return api.EngineListReceived(event.kind, tuple(entries))
        return self._delta_event(told, before, after)

    def _delta_event(
        self,
        changed: dict[str, api.EngineEntry],
        before: dict[str, HolderRank],
        after: dict[str, HolderRank],
    ) -> api.EngineListReceived | None:
        entries: list[api.EngineEntry] = []
        for engine, entry in changed.items():
            if engine not in self.listed_engines:
                if engine in before or self.draining.pop(engine, None) is not None:
                    entries.append(entry)  # gone
            elif engine in after:
                self.draining.pop(engine, None)
                entries.append(self._visible_entry(engine))
        if before is not after:
            for engine, place in after.items():
                if engine not in changed and before.get(engine) != place:
                    self.draining.pop(engine, None)
                    entries.append(self._visible_entry(engine))
            for engine in before:
                if engine not in after and engine in self.listed_engines:
                    self.draining[engine] = False
                    entries.append(self._visible_entry(engine))
        return api.EngineListReceived(api.ListKind.DELTA, tuple(entries)) if entries else None

    def remove_drained(self, is_idle: Callable[[str], bool]) -> api.EngineListReceived | None:
        """Engines that left the part and on which nothing of ours runs are told as gone; None where none is.

        To be called from time to time, no more often than a cold engine's window (`Settings.tip_after_us`):
        an engine goes at the second call in a row that finds it free, so that what it was sent within one
        window is not forgotten if it comes back.
        """
        gone = []
        for engine, was_free in list(self.draining.items()):
            free = is_idle(engine)
            if free and was_free:
                del self.draining[engine]
                gone.append(replace(self.listed_engines[engine].entry, state=api.EngineState.REMOVED))
            else:
                self.draining[engine] = free
        return api.EngineListReceived(api.ListKind.DELTA, tuple(gone)) if gone else None

    def _visible_entry(self, engine: str) -> api.EngineEntry:
        entry = self.listed_engines[engine].entry
        if engine not in self.kept:
            return replace(entry, state=api.EngineState.DRAINING)
        holders, rank = self.kept[engine]
        return entry if holders is None else replace(entry, assigned_gateways=holders, assignment_rank=rank)

    # --- The roster.

    def _apply_entry(self, entry: api.EngineEntry) -> bool:
        """Whether that can change who keeps what."""
        known = self.listed_engines.get(entry.engine)
        if entry.state is api.EngineState.REMOVED:
            if known is not None:
                self._remove_engine(entry.engine)
            return known is not None
        if known is not None:
            old = known.entry
            if (old.zone, old.kind, old.cell) == (entry.zone, entry.kind, entry.cell):
                known.entry = entry
                return False
            self._remove_engine(entry.engine)
        strata = tuple(
            (entry.zone, kinds)
            for zones, kinds in self.required_strata
            if (zones is None or entry.zone in zones) and (kinds is None or entry.kind in kinds)
        )
        self.listed_engines[entry.engine] = ListedEngine(entry, 0, 0, strata)
        if not self.clumps_cells:
            self._place_engine(entry.engine, 0)
            return True
        cell = self.cells.setdefault((entry.zone, entry.cell), set())
        bits = clump_bits(len(cell))
        cell.add(entry.engine)
        self._rebuild_clumps(cell, entry.engine, bits)
        return True

    def _remove_engine(self, engine: str) -> None:
        self._unplace_engine(engine)
        entry = self.listed_engines.pop(engine).entry
        if self.clumps_cells:
            cell = self.cells[entry.zone, entry.cell]
            bits = clump_bits(len(cell))
            cell.discard(engine)
            self._rebuild_clumps(cell, None, bits)
            if not cell:
                del self.cells[entry.zone, entry.cell]

    def _rebuild_clumps(self, cell: Iterable[str], new: str | None, before: int) -> None:
        """Clumps of a cell that has grown or shrunk past a power of two are made anew."""
        members = list(cell)
        bits = clump_bits(len(members))
        for engine in members if bits != before else ():
            if engine != new:
                self._unplace_engine(engine)
                self._place_engine(engine, bits)
        if new is not None:
            self._place_engine(new, bits)

    def _place_engine(self, engine: str, bits: int) -> None:
        known = self.listed_engines[engine]
        place, other = hash_pair(engine)
        if self.clumps_cells:
            clump = other >> (64 - bits) if bits else 0
            high, other = hash_pair(f"{known.entry.zone}\0{known.entry.cell}\0{bits}\0{clump}")
            place = high >> CLUMP_SPREAD_BITS << CLUMP_SPREAD_BITS | place >> (64 - CLUMP_SPREAD_BITS)
        known.ring, known.position, known.cache_key = other % RING_COUNT, place, None
        for rings in self._rings_of(known):
            rings.add(known.ring, (place, engine))

    def _unplace_engine(self, engine: str) -> None:
        known = self.listed_engines[engine]
        for rings in self._rings_of(known):
            rings.remove(known.ring, (known.position, engine))

    def _rings_of(self, engine: ListedEngine) -> list[EngineRings]:
        strata = [self.strata.setdefault(s, EngineRings()) for s in engine.strata]
        return [self._pool_of(engine).engines, *strata]

    def _pool_of(self, engine: ListedEngine) -> RegionPool:
        return self.pools[self.pool_of_zone.get(engine.entry.zone, -1)]

    # --- Who keeps what.

    def _gateway_ring(self, pool: RegionPool, ring: int, outside: bool = False) -> GatewayRing:
        """The gateways of a region, or all others."""
        key = (pool.first, pool.last, ring, outside)
        if (circle := self.gateway_rings.get(key)) is None:
            inside = range(pool.first, pool.last + 1)
            numbers = [g for g in range(self.gateway_count) if g not in inside] if outside else inside
            circle = self.gateway_rings[key] = GatewayRing(numbers, RING_MULTIPLIERS[ring])
        return circle

    def _arc_width(self, pool: RegionPool) -> int:
        """Of the arc that a gateway keeps: as many engines as the plan asks, and as its holders need; not
        rounded to whole engines, or each step would be taken by all gateways at once."""
        engines, gateways = max(1, len(pool.engines)), pool.last - pool.first + 1
        return min(
            RING_SIZE,
            max(RING_SIZE * pool.target_size // engines, RING_SIZE * self.plan.least_holders // gateways),
        )

    def _ring_minimums(self, pool: RegionPool) -> tuple[int, ...]:
        return pool.engines.quotas(pool.target_size // MIN_SIZE_DIVISOR)

    def _stratum_holders(self, engine: ListedEngine, gateways: GatewayRing, strata: Iterable[Stratum]) -> int:
        """Gateways from whose place the engine is among the first that a stratum needs."""
        least, most = self.plan.least_stratum, 0
        for stratum in strata:
            rings = self.strata[stratum]
            most = max(most, rings.count_gateways(engine, rings.quotas(least)[engine.ring], gateways))
        return most

    def _zone_bound_strata(self, engine: ListedEngine) -> list[Stratum]:
        """The strata for which gateways of other regions keep it: a class is bound to its zone."""
        zone = engine.entry.zone
        return [
            (zone, kinds)
            for zones, kinds in self.required_strata
            if zones and zone in zones and (zone, kinds) in engine.strata
        ]

    def _count_holders(self, engine: ListedEngine) -> tuple[int, int]:
        """How many gateways of its region keep it, and how many of the others."""
        home = self._pool_of(engine)
        circle = self._gateway_ring(home, engine.ring)
        near = max(
            circle.count_within(engine.position, home.arc_width),
            min(len(circle), self.plan.least_holders),
            home.engines.count_gateways(engine, home.ring_minimums[engine.ring], circle),
            self._stratum_holders(engine, circle, engine.strata),
        )
        if (
            self.plan.regions
            and len(circle) < self.gateway_count
            and (strata := self._zone_bound_strata(engine))
        ):
            return near, self._stratum_holders(engine, self._gateway_ring(home, engine.ring, True), strata)
        return near, 0

    def _local_rank(self, engine: ListedEngine, is_sparse: bool) -> HolderRank | None:
        """Holders of an engine and our place among them, those of its region first; None: we do not keep it.
        Worked out anew only where the width, a stratum of the engine, or a thin stretch about it has changed
        so that it may matter."""
        home = self._pool_of(engine)
        strata = sum(self.strata[s].change_count for s in engine.strata) if engine.strata else 0
        stamp = strata, home.engines.change_count if is_sparse else -1
        if stamp == engine.cache_key and engine.valid_from_width <= home.arc_width < engine.valid_below_width:
            return engine.holder_rank
        near, far = self._count_holders(engine)
        circle = self._gateway_ring(home, engine.ring)
        engine.valid_from_width, engine.valid_below_width = circle.stable_widths(
            engine.position, circle.count_within(engine.position, home.arc_width)
        )
        engine.holder_rank, engine.cache_key = None, stamp
        for abroad, holders, before in ((False, near, 0), (True, far, near)):
            if holders:
                circle = self._gateway_ring(home, engine.ring, abroad)
                if (at := circle.index(self.local_number)) is not None:
                    rank = (circle.count_up_to(engine.position) - 1 - at) % len(circle)
                    if rank < holders:
                        engine.holder_rank = near + far, before + rank
        return engine.holder_rank

    def _candidates(self) -> Iterator[tuple[str, bool]]:
        """Runs of engines clockwise from our places: all that we keep, some of them more than once. With each
        whether engines stand so thinly before it that the floor under parts may settle who keeps it."""
        for home in self.pools:
            engines = home.engines
            for ring in (
                range(RING_COUNT) if len(engines) and home.first <= self.local_number <= home.last else ()
            ):
                circle = self._gateway_ring(home, ring)
                at, start = (
                    circle.index(self.local_number),
                    self.local_number * RING_MULTIPLIERS[ring] & RING_MASK,
                )
                assert at is not None
                ahead = circle.positions[(at + self.plan.least_holders) % len(circle)]
                alone = len(circle) <= self.plan.least_holders
                width = RING_SIZE if alone else max(home.arc_width, (ahead - start) & RING_MASK)
                quota, spots = home.ring_minimums[ring], engines.rings[ring]
                for index in engines.clockwise(ring, start, quota, width):
                    yield spots[index][1], engines.is_sparse(ring, index, quota, home.arc_width)
        for rings in self.strata.values():
            for ring, quota in enumerate(rings.quotas(self.plan.least_stratum)):
                for index in rings.clockwise(
                    ring, self.local_number * RING_MULTIPLIERS[ring] & RING_MASK, quota, 0
                ):
                    engine = rings.rings[ring][index][1]
                    known = self.listed_engines[engine]
                    home = self._pool_of(known)
                    place = bisect_left(home.engines.rings[ring], (known.position, engine))
                    yield (
                        engine,
                        home.engines.is_sparse(ring, place, home.ring_minimums[ring], home.arc_width),
                    )

    def _recompute(self) -> None:
        """What we keep, with its holders; what is shown to the module is compared with it by who asks."""
        for home in self.pools:
            home.arc_width = self._arc_width(home)
            home.ring_minimums = self._ring_minimums(home)
        self.keeps_all = len(self.listed_engines) <= self.plan.size
        if not self.plan.regions:
            self.keeps_all = self.keeps_all or self.pools[0].arc_width == RING_SIZE
        shown: dict[str, HolderRank] = {}
        if self.keeps_all:
            shown = dict.fromkeys(self.listed_engines, (None, 0))
        else:
            for engine, thin in self._candidates():
                if engine not in shown:
                    share = self._local_rank(self.listed_engines[engine], thin)
                    if share is not None:
                        shown[engine] = share
        self.kept = shown
        self.revision += 1

    def holders_of(self, engine: str) -> tuple[int, ...]:
        """The numbers of all gateways that keep a listed engine, in the order of their ranks; none if it is
        not listed."""
        if (known := self.listed_engines.get(engine)) is None:
            return ()
        if self.keeps_all:
            return tuple(range(self.gateway_count))
        near, far = self._count_holders(known)
        home = self._pool_of(known)
        found = self._gateway_ring(home, known.ring).nearest(known.position, near)
        if far:
            found += self._gateway_ring(home, known.ring, True).nearest(known.position, far)
        return tuple(found)


@lru_cache(4096)
def split_evenly(count: int, sizes: tuple[int, ...]) -> tuple[int, ...]:
    """So many, or as many as there are, taken evenly from rings of these sizes."""
    quotas = [0] * len(sizes)
    for _ in range(min(count, sum(sizes))):
        quotas[min(range(len(sizes)), key=lambda r: (quotas[r] >= sizes[r], quotas[r]))] += 1
    return tuple(quotas)


def clump_bits(engine_count: int) -> int:
    """Of a hash: a cell's engines stand in 2**bits clumps, of CLUMP to 2 * CLUMP in the mean."""
    return max(0, (engine_count // MIN_CLUMP_ENGINES).bit_length() - 1)
