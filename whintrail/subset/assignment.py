"""Assigns a subset of the engines to one gateway, as deltas of the list for the routing module.

Whether a gateway keeps an engine follows from one rule, which every gateway computes alike from the list,
the plan and the fleet's size: the `holders` nearest gateways before an engine on its ring keep it. Their
number is the greatest of

- the gateways within an arc of size / engines, or of least_holders / gateways, of the ring, whichever is
  wider;
- `least_holders`;
- the gateways for which the engine is among the first quarter of `size` after their position: otherwise a
  gateway would be left with almost no engines where these are sparse or clustered;
- where a class is bound to a zone or to kinds, or repeats queries within a zone only: the gateways for which
  the engine is among the first `least_stratum` of that stratum.

Seen from a gateway, each of the four is a run of engines clockwise from its own position, so it finds its
subset without computing those of the others.
"""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from functools import lru_cache

from whintrail import interface as api
from whintrail.subset.plan import PlanError, SubsetPlan
from whintrail.subset.ring import RING_MASK, RING_MULTIPLIERS, RING_SIZE, GatewayRing, hash_pair

RING_COUNT = 2
MIN_SIZE_DIVISOR = 4  # a gateway keeps at least 1/4 of the mean subset size
MIN_CLUMP_ENGINES = 4  # engines of a cell placed together, where a class repeats queries within cells only
CLUMP_SPREAD_BITS = 24  # of a position: separates the engines of a clump
RingPosition = tuple[int, str]  # a position and the engine at it
HolderRank = tuple[int | None, int]  # number of holders (None: all gateways), rank of this gateway among them
Stratum = tuple[str, tuple[str, ...] | None]  # a zone; kinds, None: any


@dataclass(slots=True)
class ListedEngine:
    """An engine of the full list."""

    entry: api.EngineEntry
    ring: int
    position: int
    strata: tuple[Stratum, ...]
    holder_rank: HolderRank | None = None  # cached; None: not kept by this gateway
    cache_key: tuple[int, int] | None = None  # the cached rank is valid while this is unchanged,
    valid_from_width: int = 0  # and the pool's arc is at least this wide
    valid_below_width: int = 0  # and less than this


class EngineRings:
    """Engines by position, on each ring."""

    def __init__(self) -> None:
        self.rings: list[list[RingPosition]] = [[] for _ in range(RING_COUNT)]
        self.change_count = 0
        self.is_bulk_loading = False  # a full list is being read: sort once at the end

    def __len__(self) -> int:
        return sum(len(ring) for ring in self.rings)

    def add(self, ring: int, position: RingPosition) -> None:
        """Place an engine; while bulk loading, without keeping the order."""
        self.change_count += 1
        if self.is_bulk_loading:
            self.rings[ring].append(position)
        else:
            insort(self.rings[ring], position)

    def sort(self) -> None:
        """End bulk loading."""
        for ring in self.rings if self.is_bulk_loading else ():
            ring.sort()
        self.is_bulk_loading = False

    def remove(self, ring: int, position: RingPosition) -> None:
        """Remove an engine; ends bulk loading."""
        self.sort()
        self.change_count += 1
        del self.rings[ring][bisect_left(self.rings[ring], position)]

    def clockwise(self, ring: int, start: int, min_count: int, width: int) -> Iterator[int]:
        """Indices of the engines clockwise after a position: at least `min_count`, and all within a width."""
        positions = self.rings[ring]
        first = bisect_left(positions, (start, ""))
        for step in range(len(positions)):
            index = (first + step) % len(positions)
            if step >= min_count and (positions[index][0] - start) & RING_MASK >= width:
                return
            yield index

    def is_sparse(self, ring: int, index: int, quota: int, width: int) -> bool:
        """Whether fewer than `quota` engines lie within a width before an engine."""
        positions = self.rings[ring]
        return (
            quota >= len(positions) or (positions[index][0] - positions[index - quota][0]) & RING_MASK > width
        )

    def count_gateways(self, engine: ListedEngine, quota: int, gateways: GatewayRing) -> int:
        """Number of gateways for which an engine is among the first `quota` of these."""
        positions = self.rings[engine.ring]
        if quota >= len(positions):
            return len(gateways)
        index = bisect_left(positions, (engine.position, engine.entry.engine))
        return gateways.count_between(positions[index - quota][0], engine.position) if quota else 0

    def quotas(self, min_count: int) -> tuple[int, ...]:
        """`min_count` engines distributed over the rings, evenly as far as each ring has them."""
        return split_evenly(min_count, tuple(len(ring) for ring in self.rings))


@dataclass(slots=True)
class RegionPool:
    """The engines of one region, or of all, and the gateways that distribute them among themselves."""

    first: int
    last: int
    target_size: int  # mean number of engines per gateway
    engines: EngineRings = field(default_factory=EngineRings)
    arc_width: int = RING_SIZE  # of the arc whose engines a gateway keeps
    ring_minimums: tuple[int, ...] = (0,) * RING_COUNT  # engines that each gateway keeps at least, by ring


class SubsetAssignment:
    """Not thread-safe. Errors: PlanError if the plan does not fit the fleet."""

    def __init__(self, plan: SubsetPlan, settings: api.Settings) -> None:
        plan.check_fleet_size(settings.fleet_size)
        if plan.size and not 0 <= settings.local_number < settings.fleet_size:
            raise PlanError(
                f"subset: gateway {settings.local_number} is not in a fleet of {settings.fleet_size}"
            )
        self.plan = plan
        self.local_number, self.gateway_count = settings.local_number, max(1, settings.fleet_size)
        self.listed_engines: dict[str, ListedEngine] = {}
        self.kept: dict[str, HolderRank] = {}  # the subset as reported to the routing module
        self.draining: dict[str, bool] = {}  # reported as draining, no longer kept: idle at the last check
        self.revision = 0  # increases with each change of the subset
        self.keeps_all = True  # routing is as without a plan
        # One pool per region, and a last one for zones in no region; all gateways keep a few engines of that.
        self.pools = [RegionPool(r.first, r.last, plan.size) for r in plan.regions or ()]
        unassigned_size = plan.least_stratum if plan.regions else plan.size
        self.pools.append(RegionPool(0, self.gateway_count - 1, unassigned_size))
        self.pool_of_zone = {z: n for n, region in enumerate(plan.regions or ()) for z in region.zones}
        self.strata: dict[Stratum, EngineRings] = {}
        self.gateway_rings: dict[tuple[int, int, int, bool], GatewayRing] = {}
        self.cells: dict[tuple[str, int], set[str]] = {}  # used only if a class repeats queries within cells
        bound = [c for c in settings.classes if c.zones is not None or c.kinds is not None]
        dedup_scopes = [c.dedup_scope for c in settings.classes if c.effect is api.Effect.BY_KEY]
        self.required_strata = {(c.zones, c.kinds) for c in bound if plan.least_stratum}
        if api.DedupScope.ZONE in dedup_scopes and plan.least_stratum:
            self.required_strata.add((None, None))  # a repeat needs another engine of the same zone
        self.clumps_cells = api.DedupScope.CELL in dedup_scopes

    # --- The list.

    def apply_list(self, event: api.EngineListReceived) -> api.EngineListReceived | None:
        """The event as the routing module is to see it; None if it changes nothing there.

        An engine that leaves the subset though it is still listed is reported as draining: its attempts go
        on, and what the module knows of it (the spent budget of a cold engine) is kept in case it returns.
        `remove_drained` ends that.
        """
        if event.kind is api.ListKind.FAILED or not self.plan.size:
            return event
        changed = {entry.engine: entry for entry in event.entries}
        if event.kind is not api.ListKind.DELTA:
            for engine in [engine for engine in self.listed_engines if engine not in changed]:
                self._remove_engine(engine)
        if event.kind is not api.ListKind.DELTA and not self.listed_engines and not self.clumps_cells:
            for pool in self.pools:
                pool.engines.is_bulk_loading = True
        may_change = [self._apply_entry(entry) for entry in changed.values()]
        for pool in self.pools:
            pool.engines.sort()
        kept_all, before = self.keeps_all, self.kept
        if any(may_change) or event.kind is not api.ListKind.DELTA:
            self._recompute()
        after = self.kept
        if self.keeps_all and kept_all and not self.draining:
            return event
        if event.kind is not api.ListKind.DELTA:
            self.draining = {
                e: False for e in (*before, *self.draining) if e in self.listed_engines and e not in after
            }
            if self.keeps_all:
                return event
            entries = [
                self._visible_entry(engine)
                for engine in changed
                if engine in after or engine in self.draining
            ]
            return api.EngineListReceived(event.kind, tuple(entries))
        return self._delta_event(changed, before, after)

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
                    entries.append(entry)  # removed from the list
            elif engine in after:
                self.draining.pop(engine, None)
                entries.append(self._visible_entry(engine))
        if before is not after:
            for engine, holder_rank in after.items():
                if engine not in changed and before.get(engine) != holder_rank:
                    self.draining.pop(engine, None)
                    entries.append(self._visible_entry(engine))
            for engine in before:
                if engine not in after and engine in self.listed_engines:
                    self.draining[engine] = False
                    entries.append(self._visible_entry(engine))
        return api.EngineListReceived(api.ListKind.DELTA, tuple(entries)) if entries else None

    def remove_drained(self, is_idle: Callable[[str], bool]) -> api.EngineListReceived | None:
        """Report engines as removed that have left the subset and have no local attempt; None if there are
        none.

        To be called periodically, no more often than the window of a cold engine's budget
        (`Settings.overload_window_us`): an engine is removed at the second call in a row that finds it idle,
        so that what it was sent within one window is not forgotten if it returns.
        """
        removed = []
        for engine, was_idle in list(self.draining.items()):
            idle = is_idle(engine)
            if idle and was_idle:
                del self.draining[engine]
                removed.append(replace(self.listed_engines[engine].entry, state=api.EngineState.REMOVED))
            else:
                self.draining[engine] = idle
        return api.EngineListReceived(api.ListKind.DELTA, tuple(removed)) if removed else None

    def _visible_entry(self, engine: str) -> api.EngineEntry:
        """The entry as the routing module sees it."""
        entry = self.listed_engines[engine].entry
        if engine not in self.kept:
            return replace(entry, state=api.EngineState.DRAINING)
        holders, rank = self.kept[engine]
        return entry if holders is None else replace(entry, assigned_gateways=holders, assignment_rank=rank)

    # --- Engines on the rings.

    def _apply_entry(self, entry: api.EngineEntry) -> bool:
        """Whether the entry can change any assignment."""
        listed = self.listed_engines.get(entry.engine)
        if entry.state is api.EngineState.REMOVED:
            if listed is not None:
                self._remove_engine(entry.engine)
            return listed is not None
        if listed is not None:
            old = listed.entry
            if (old.zone, old.kind, old.cell) == (entry.zone, entry.kind, entry.cell):
                listed.entry = entry
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

    def _rebuild_clumps(self, cell: Iterable[str], new: str | None, previous_bits: int) -> None:
        """Place a cell's new engine; place all of its engines anew if its size has crossed a power of two."""
        members = list(cell)
        bits = clump_bits(len(members))
        for engine in members if bits != previous_bits else ():
            if engine != new:
                self._unplace_engine(engine)
                self._place_engine(engine, bits)
        if new is not None:
            self._place_engine(new, bits)

    def _place_engine(self, engine: str, bits: int) -> None:
        listed = self.listed_engines[engine]
        position, ring_hash = hash_pair(engine)
        if self.clumps_cells:
            clump = ring_hash >> (64 - bits) if bits else 0
            clump_hash, ring_hash = hash_pair(f"{listed.entry.zone}\0{listed.entry.cell}\0{bits}\0{clump}")
            clump_position = clump_hash >> CLUMP_SPREAD_BITS << CLUMP_SPREAD_BITS
            position = clump_position | position >> (64 - CLUMP_SPREAD_BITS)
        listed.ring, listed.position, listed.cache_key = ring_hash % RING_COUNT, position, None
        for rings in self._rings_of(listed):
            rings.add(listed.ring, (position, engine))

    def _unplace_engine(self, engine: str) -> None:
        listed = self.listed_engines[engine]
        for rings in self._rings_of(listed):
            rings.remove(listed.ring, (listed.position, engine))

    def _rings_of(self, engine: ListedEngine) -> list[EngineRings]:
        strata = [self.strata.setdefault(s, EngineRings()) for s in engine.strata]
        return [self._pool_of(engine).engines, *strata]

    def _pool_of(self, engine: ListedEngine) -> RegionPool:
        return self.pools[self.pool_of_zone.get(engine.entry.zone, -1)]

    # --- Assignments.

    def _gateway_ring(self, pool: RegionPool, ring: int, outside: bool = False) -> GatewayRing:
        """The gateways of a region, or all others."""
        key = (pool.first, pool.last, ring, outside)
        if (gateways := self.gateway_rings.get(key)) is None:
            region = range(pool.first, pool.last + 1)
            numbers = [g for g in range(self.gateway_count) if g not in region] if outside else region
            gateways = self.gateway_rings[key] = GatewayRing(numbers, RING_MULTIPLIERS[ring])
        return gateways

    def _arc_width(self, pool: RegionPool) -> int:
        """Width of a gateway's arc: enough for the plan's number of engines, and for their minimum of
        holders. It is not rounded to whole engines, or all gateways would change their subsets at once."""
        engines, gateways = max(1, len(pool.engines)), pool.last - pool.first + 1
        return min(
            RING_SIZE,
            max(RING_SIZE * pool.target_size // engines, RING_SIZE * self.plan.least_holders // gateways),
        )

    def _ring_minimums(self, pool: RegionPool) -> tuple[int, ...]:
        return pool.engines.quotas(pool.target_size // MIN_SIZE_DIVISOR)

    def _stratum_holders(self, engine: ListedEngine, gateways: GatewayRing, strata: Iterable[Stratum]) -> int:
        """Number of gateways for which the engine is among the first that a stratum requires."""
        minimum, holders = self.plan.least_stratum, 0
        for stratum in strata:
            rings = self.strata[stratum]
            quota = rings.quotas(minimum)[engine.ring]
            holders = max(holders, rings.count_gateways(engine, quota, gateways))
        return holders

    def _zone_bound_strata(self, engine: ListedEngine) -> list[Stratum]:
        """The strata for which gateways of other regions keep the engine: a class is bound to its zone."""
        zone = engine.entry.zone
        return [
            (zone, kinds)
            for zones, kinds in self.required_strata
            if zones and zone in zones and (zone, kinds) in engine.strata
        ]

    def _count_holders(self, engine: ListedEngine) -> tuple[int, int]:
        """How many gateways of its region keep an engine, and how many of the others."""
        pool = self._pool_of(engine)
        gateways = self._gateway_ring(pool, engine.ring)
        inside = max(
            gateways.count_within(engine.position, pool.arc_width),
            min(len(gateways), self.plan.least_holders),
            pool.engines.count_gateways(engine, pool.ring_minimums[engine.ring], gateways),
            self._stratum_holders(engine, gateways, engine.strata),
        )
        if (
            self.plan.regions
            and len(gateways) < self.gateway_count
            and (strata := self._zone_bound_strata(engine))
        ):
            return inside, self._stratum_holders(engine, self._gateway_ring(pool, engine.ring, True), strata)
        return inside, 0

    def _local_rank(self, engine: ListedEngine, is_sparse: bool) -> HolderRank | None:
        """Number of holders of an engine and this gateway's rank among them, those of its region first; None
        if it does not keep the engine. Recomputed only if the arc width, a stratum of the engine, or a sparse
        stretch around it has changed so that the result may differ."""
        pool = self._pool_of(engine)
        strata = sum(self.strata[s].change_count for s in engine.strata) if engine.strata else 0
        cache_key = strata, pool.engines.change_count if is_sparse else -1
        if (
            cache_key == engine.cache_key
            and engine.valid_from_width <= pool.arc_width < engine.valid_below_width
        ):
            return engine.holder_rank
        inside, outside = self._count_holders(engine)
        gateways = self._gateway_ring(pool, engine.ring)
        engine.valid_from_width, engine.valid_below_width = gateways.stable_widths(
            engine.position, gateways.count_within(engine.position, pool.arc_width)
        )
        engine.holder_rank, engine.cache_key = None, cache_key
        for is_outside, holders, first_rank in ((False, inside, 0), (True, outside, inside)):
            if holders:
                gateways = self._gateway_ring(pool, engine.ring, is_outside)
                if (index := gateways.index(self.local_number)) is not None:
                    rank = (gateways.count_up_to(engine.position) - 1 - index) % len(gateways)
                    if rank < holders:
                        engine.holder_rank = inside + outside, first_rank + rank
        return engine.holder_rank

    def _candidates(self) -> Iterator[tuple[str, bool]]:
        """Runs of engines clockwise from this gateway's positions: all that it keeps, some of them more than
        once. With each, whether the engines before it are so sparse that the minimum size may decide which
        gateways keep it."""
        for pool in self.pools:
            engines = pool.engines
            is_local = len(engines) and pool.first <= self.local_number <= pool.last
            for ring in range(RING_COUNT) if is_local else ():
                gateways = self._gateway_ring(pool, ring)
                index, start = (
                    gateways.index(self.local_number),
                    self.local_number * RING_MULTIPLIERS[ring] & RING_MASK,
                )
                assert index is not None
                ahead = gateways.positions[(index + self.plan.least_holders) % len(gateways)]
                alone = len(gateways) <= self.plan.least_holders
                width = RING_SIZE if alone else max(pool.arc_width, (ahead - start) & RING_MASK)
                quota, positions = pool.ring_minimums[ring], engines.rings[ring]
                for place in engines.clockwise(ring, start, quota, width):
                    yield positions[place][1], engines.is_sparse(ring, place, quota, pool.arc_width)
        for rings in self.strata.values():
            for ring, quota in enumerate(rings.quotas(self.plan.least_stratum)):
                start = self.local_number * RING_MULTIPLIERS[ring] & RING_MASK
                for place in rings.clockwise(ring, start, quota, 0):
                    name = rings.rings[ring][place][1]
                    listed = self.listed_engines[name]
                    pool = self._pool_of(listed)
                    index = bisect_left(pool.engines.rings[ring], (listed.position, name))
                    minimum = pool.ring_minimums[ring]
                    yield name, pool.engines.is_sparse(ring, index, minimum, pool.arc_width)

    def _recompute(self) -> None:
        """Recompute the subset; the caller compares it with the previous one."""
        for pool in self.pools:
            pool.arc_width = self._arc_width(pool)
            pool.ring_minimums = self._ring_minimums(pool)
        self.keeps_all = len(self.listed_engines) <= self.plan.size
        if not self.plan.regions:
            self.keeps_all = self.keeps_all or self.pools[0].arc_width == RING_SIZE
        kept: dict[str, HolderRank] = {}
        if self.keeps_all:
            kept = dict.fromkeys(self.listed_engines, (None, 0))
        else:
            for engine, is_sparse in self._candidates():
                if engine not in kept:
                    holder_rank = self._local_rank(self.listed_engines[engine], is_sparse)
                    if holder_rank is not None:
                        kept[engine] = holder_rank
        self.kept = kept
        self.revision += 1

    def holders_of(self, engine: str) -> tuple[int, ...]:
        """The numbers of all gateways that keep a listed engine, by rank; none if it is not listed."""
        if (listed := self.listed_engines.get(engine)) is None:
            return ()
        if self.keeps_all:
            return tuple(range(self.gateway_count))
        inside, outside = self._count_holders(listed)
        pool = self._pool_of(listed)
        holders = self._gateway_ring(pool, listed.ring).nearest(listed.position, inside)
        if outside:
            holders += self._gateway_ring(pool, listed.ring, True).nearest(listed.position, outside)
        return tuple(holders)


@lru_cache(4096)
def split_evenly(count: int, sizes: tuple[int, ...]) -> tuple[int, ...]:
    """`count`, or as many as there are, taken evenly from rings of these sizes."""
    quotas = [0] * len(sizes)
    for _ in range(min(count, sum(sizes))):
        quotas[min(range(len(sizes)), key=lambda r: (quotas[r] >= sizes[r], quotas[r]))] += 1
    return tuple(quotas)


def clump_bits(engine_count: int) -> int:
    """Bits of a hash: a cell's engines form 2**bits clumps, of MIN_CLUMP_ENGINES to twice that on average."""
    return max(0, (engine_count // MIN_CLUMP_ENGINES).bit_length() - 1)
