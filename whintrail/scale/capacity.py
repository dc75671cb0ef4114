"""The capacity model: what each row of the table by role comes to at a size, held against its budget. Pure.

A row is measured slopes (`fitting.py`) times the paces of the program (`inputs.py`), as a function of a size.
A figure that was not measured is not guessed: the row says which is missing. Ranges are added up end to end,
as if all were off the same way; that is wider than independent errors would give.
"""

import math
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from functools import cache
from typing import Literal

from msgspec.structs import replace

from whintrail.scale import inputs
from whintrail.scale.fitting import Fit, FitError, fit
from whintrail.scale.results import Kind, Sample

Grows = Literal["engines", "gateways"]
Along = Literal["engines", "gateways", "both", "neither"]
Stat = Literal["value", "high"]
# What no subset of engines touches: membership, agreement, the list until it is read. The gateway's update it
# lessens: without a figure of its own, that of all engines is the most.
UNTOUCHED: tuple[str, ...] = (
    "membership_",
    "node_",
    "log_",
    "version_",
    "list_line_",
    "list_read_",
    "list_digest_",
    "leader_",
)
UNTOUCHED += ("gateway_update_",)
WIDE = 2.0  # times the value: a range wider than that says that the sizes taken don't tell
BEYOND = 10.0  # sizes are looked through up to so many times the one that is coming


class NotMeasured(LookupError):
    """No file has the quantity at two sizes or more; the text names it."""


@dataclass(frozen=True, slots=True)
class Estimate:
    """A figure with the range in which a measurement would be found, at 95%."""

    value: float
    low: float
    high: float

    def __add__(self, other: "Estimate") -> "Estimate":
        return Estimate(self.value + other.value, self.low + other.low, self.high + other.high)

    @property
    def wide(self) -> bool:
        """Its range is so wide that it tells nothing."""
        return not math.isfinite(self.high) or self.high - self.low > WIDE * self.value

    def __mul__(self, by: float) -> "Estimate":
        """By a figure above 0."""
        return Estimate(self.value * by, self.low * by, self.high * by)


def exactly(value: float) -> Estimate:
    return Estimate(value, value, value)


@dataclass(frozen=True, slots=True)
class Use:
    """Which measured quantity, over which size; `high`: its 95th or 99th hundredth, not its median."""

    quantity: str
    grows_with: Grows
    kind: Kind | None = None
    role: str | None = None
    note: str | None = None
    stat: Stat = "value"
    day: str = "steady"


class Figures:
    """Fits of all samples, each made once. `subset`: engines that each gateway keeps; 0: all."""

    def __init__(self, samples: Sequence[Sample], subset: int = 0) -> None:
        self.samples, self.subset = list(samples), subset
        self.fits: dict[Use, Fit | None] = {}

    def fit(self, use: Use) -> Fit:
        """Errors: NotMeasured."""
        if use not in self.fits:
            samples = [s for s in self.samples if s.quantity == use.quantity]
            if use.stat == "high":
                samples = [_at_high(s) for s in samples]
            self.fits[use] = self._fit(samples, use)
        if (found := self.fits[use]) is None:
            raise NotMeasured(use.quantity)
        return found

    def _fit(self, samples: list[Sample], use: Use) -> Fit | None:
        subset = self.subset
        if subset and not any(s.subset == subset for s in samples) and use.quantity.startswith(UNTOUCHED):
            subset = 0
        given = {"kind": use.kind, "role": use.role, "subset": subset, "note": use.note, "day": use.day}
        try:
            return fit(samples, use.quantity, use.grows_with, **given)  # type: ignore[arg-type]
        except FitError:
            if not subset:
                return None
        # With a subset both sizes may have grown in step, so that a gateway's part stays as large.
        other = "gateways" if use.grows_with == "engines" else "engines"
        stepped = [replace(s, **{other: 0}) for s in samples]
        try:
            return fit(stepped, use.quantity, use.grows_with, **given)  # type: ignore[arg-type]
        except FitError:
            return None


def _at_high(s: Sample) -> Sample:
    return replace(s, value=s.high, low=s.high)


@dataclass(slots=True)
class Size:
    """So many gateways before so many engines; remembers which measured quantities were asked for."""

    gateways: float
    engines: float
    figures: Figures
    used: list[Use] = field(default_factory=list)

    def measured(
        self,
        quantity: str,
        grows_with: Grows,
        *,
        kind: Kind = "core",
        role: str | None = None,
        note: str | None = None,
        stat: Stat = "value",
        day: str = "steady",
    ) -> Estimate:
        """Errors: NotMeasured."""
        use = Use(quantity, grows_with, kind, role, note, stat, day)
        if use not in self.used:
            self.used.append(use)
        x = self.engines if grows_with == "engines" else self.gateways
        found = self.figures.fit(use)
        value, low, high = found.at(x)
        if value < 0 and x > max(found.sizes):  # nothing is: the curve has left what it was taken of
            return Estimate(0.0, 0.0, math.inf)
        return Estimate(max(0.0, value), max(0.0, low), max(0.0, high))

    def slope(self, quantity: str, grows_with: Grows, kind: Kind = "core") -> Estimate:
        """What one engine or gateway more adds, of a line. Errors: NotMeasured."""
        use = Use(quantity, grows_with, kind)
        if use not in self.used:
            self.used.append(use)
        found = self.figures.fit(use)
        return Estimate(found.slope, found.slope - 2 * found.slope_error, found.slope + 2 * found.slope_error)


@dataclass(frozen=True, slots=True)
class Row:
    """One figure of one role. `budget` None: nobody has set one."""

    key: str  # names it in files and in the ranking
    role: str
    what: str
    unit: str
    along: Along
    value: Callable[[Size], Estimate]
    budget: float | None
    budget_name: str
    place: str  # file and name of what carries it today; "" where nothing does
    formula: str  # slope x what it grows with, in words, where paces come in
    mend: str = ""  # where no mechanism is missing: the setting, or the few lines, that mend it; not ranked
    total: bool = False  # a sum of other rows, which are ranked themselves


@dataclass(frozen=True, slots=True)
class Crossing:
    """The smallest size at which a budget is passed; None: at none up to `BEYOND` times the coming size."""

    size: float | None  # engines or gateways; of both: gateways
    share: float  # of the way from today's size to the one that is coming; inf: at none; never below 0
    earliest: float | None  # by the upper end of the range
    latest: float | None
    taken: tuple[int, int] | None = None  # the least and the greatest size of what it rests on; None: all

    @property
    def below(self) -> bool:
        """At the least size that was taken it is passed already: how much sooner is not known."""
        return self.size is not None and self.taken is not None and self.size <= self.taken[0]

    @property
    def sure(self) -> bool:
        """Between sizes that were taken, or beyond them by the lower end of the range too."""
        if self.size is None:
            return False
        return self.latest is not None or self.taken is None or self.size <= self.taken[1]


@dataclass(frozen=True, slots=True)
class Found:
    """What a row comes to."""

    row: Row
    value: Estimate | None
    missing: str  # the quantity that was not measured; empty where none is
    crossing: Crossing | None
    used: tuple[Use, ...]
    beyond: bool = False  # the sizes at which what it rests on was taken

    @property
    def untold(self) -> bool:
        """Beyond the sizes taken, and its range tells nothing."""
        return self.value is not None and self.beyond and self.value.wide

    @property
    def passed(self) -> bool:
        """At the size that it was reckoned at; a range that tells nothing passes no budget, unless all of it
        does or it is passed for sure at a smaller size."""
        if self.value is None or self.row.budget is None or self.value.value <= self.row.budget:
            return False
        sure = self.crossing is not None and self.crossing.sure
        return not self.untold or self.value.low > self.row.budget or sure

    @property
    def share(self) -> float | None:
        """Of the budget that is used."""
        return self.value.value / self.row.budget if self.value is not None and self.row.budget else None


def today() -> tuple[float, float]:
    return inputs.value("gateways_today"), inputs.value("engines_today")


def coming() -> tuple[float, float]:
    return inputs.value("gateways"), inputs.value("engines")


def on_the_way(share: float) -> tuple[float, float]:
    """Gateways and engines at a share of the way from today's size to the one that is coming."""
    (g0, e0), (g1, e1) = today(), coming()
    return max(1.0, g0 + share * (g1 - g0)), max(1.0, e0 + share * (e1 - e0))


def share_of_way(along: Along, size: float) -> float:
    """Where a size lies between today's and the one that is coming; 0 where it is today's or below."""
    place = 1 if along == "engines" else 0
    begin, end = today()[place], coming()[place]
    return max(0.0, (size - begin) / (end - begin))


def _sizes(along: Along) -> Callable[[float], tuple[float, float]]:
    gateways, engines = coming()
    if along == "engines":
        return lambda x: (gateways, x)
    if along == "gateways":
        return lambda x: (x, engines)
    return lambda x: on_the_way((x - today()[0]) / (gateways - today()[0]))


def crossing(row: Row, figures: Figures) -> Crossing:
    """Errors: NotMeasured; ValueError where the row has no budget."""
    if row.budget is None:
        raise ValueError(f"{row.key}: no budget")
    if row.along == "neither":
        found = row.value(Size(*coming(), figures))
        over = found.value > row.budget
        size = 0.0 if over else None
        return Crossing(size, 0.0 if over else math.inf, size, size)
    to_size, budget = _sizes(row.along), row.budget

    @cache
    def at(x: float) -> Estimate:
        return row.value(Size(*to_size(x), figures))

    def passes(x: float, which: str) -> bool:
        return float(getattr(at(x), which)) > budget

    most = BEYOND * coming()[1 if row.along == "engines" else 0]
    found_at = {which: _first(lambda x, w=which: passes(x, w), most) for which in ("value", "high", "low")}  # type: ignore[misc]
    size = found_at["value"]
    share = math.inf if size is None else share_of_way(row.along, size)
    used = Size(*coming(), figures)
    row.value(used)
    return Crossing(size, share, found_at["high"], found_at["low"], _taken(row.along, used.used, figures))


def _taken(along: Along, used: Sequence[Use], figures: Figures) -> tuple[int, int] | None:
    """The sizes between which all was taken that a row rests on."""
    ranges = []
    for use in used:
        if along in ("both", use.grows_with):
            with suppress(NotMeasured):  # another was taken in its place
                sizes = figures.fit(use).sizes
                ranges.append((min(sizes), max(sizes)))
    if not ranges or along in ("both", "neither"):
        return None
    return max(low for low, _ in ranges), min(high for _, high in ranges)


def _first(passes: Callable[[float], bool], most: float) -> float | None:
    """The smallest size that passes, of a figure that rises; sizes from 1 on."""
    steps = 120
    grid = [math.exp(math.log(most) * place / steps) for place in range(steps + 1)]
    place = next((place for place, x in enumerate(grid) if passes(x)), None)
    if place is None:
        return None
    if place == 0:
        return 1.0
    low, high = grid[place - 1], grid[place]
    while high - low > 1e-4 * high:
        middle = (low + high) / 2
        low, high = (low, middle) if passes(middle) else (middle, high)
    return high


def at_taken(
    value: Callable[[Size], Estimate], used: Sequence[Use], figures: Figures
) -> tuple[Estimate, tuple[float, float]]:
    """The value at the greatest gateways and engines, up to the coming ones, at which all was taken that it
    rests on. Errors: NotMeasured."""
    sizes = {"gateways": coming()[0], "engines": coming()[1]}
    for use in used:
        with suppress(NotMeasured):  # another was taken in its place
            sizes[use.grows_with] = min(sizes[use.grows_with], max(figures.fit(use).sizes))
    at = sizes["gateways"], sizes["engines"]
    return value(Size(*at, figures)), at


def is_beyond(size: Size) -> bool:
    """Whether the size is greater than any at which something was taken that was asked for at it."""
    for use in size.used:
        with suppress(NotMeasured):  # another was taken in its place
            if max(size.figures.fit(use).sizes) < getattr(size, use.grows_with):
                return True
    return False


def find(row: Row, figures: Figures, size: tuple[float, float] | None = None) -> Found:
    at = Size(*(size or coming()), figures)
    try:
        value = row.value(at)
        where = crossing(row, figures) if row.budget is not None else None
    except NotMeasured as error:
        return Found(row, None, str(error), None, tuple(at.used))
    return Found(row, value, "", where, tuple(at.used), is_beyond(at))


# --- The ranking.


@dataclass(frozen=True, slots=True)
class Candidate:
    """A mechanism that is missing, the rows that it would carry, and why it would."""

    name: str
    carries: Mapping[str, str]  # a row's key: the reason
    in_part: Mapping[str, str]  # the same, of rows that it eases; they are not counted
    sources: str  # published ones


@dataclass(frozen=True, slots=True)
class Rank:
    candidate: Candidate
    first: Found  # of the failing rows that it carries, the one that fails at the smallest size
    failing: tuple[Found, ...]  # all of them, the first to fail first

    @property
    def share(self) -> float:
        assert self.first.crossing is not None
        return self.first.crossing.share


def failing(found: Sequence[Found]) -> list[Found]:
    """Rows whose budget is passed on the way to the size that is coming, the first ones first; rows that fail
    at today's size already are equals and stay in the table's order. Sums, and what a setting mends, are left
    out: a mechanism would count twice by the first and for nothing by the second."""
    late = [f for f in found if f.crossing is not None and f.crossing.share <= 1.0]
    late = [f for f in late if f.crossing is not None and f.crossing.sure]
    late = [f for f in late if not f.row.total and not f.row.mend]
    return sorted(late, key=lambda f: f.crossing.share if f.crossing is not None else math.inf)


def ranking(found: Sequence[Found], candidates: Sequence[Candidate]) -> list[Rank]:
    """By the smallest size at which a row that it carries fails; of equals, who carries more failing rows."""
    late = failing(found)
    ranks = []
    for candidate in candidates:
        carried = tuple(f for f in late if f.row.key in candidate.carries)
        if carried:
            ranks.append(Rank(candidate, carried[0], carried))
    return sorted(ranks, key=lambda rank: (rank.share, -len(rank.failing)))


# --- Paces that several rows share.


@cache
def per_s(name: str) -> float:
    """An input counted a day, a second of it in the mean."""
    return inputs.value(name) / 86_400
