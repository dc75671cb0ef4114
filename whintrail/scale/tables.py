"""The tables of docs/CAPACITY.md as text: by name, from samples and predictions alone. Pure."""

import math
import re
from collections.abc import Callable, Iterable, Mapping, Sequence

from msgspec import Struct

from whintrail.scale import candidates, capacity, inputs, rates, rows
from whintrail.scale.capacity import Along, Crossing, Estimate, Figures, Found, Size, Use
from whintrail.scale.fitting import Fit
from whintrail.scale.results import Results, Sample

NOT_MEASURED, NOT_TOLD, NONE = "not measured", "not told by its sizes", "-"
SUBSET_CHANGES = {
    *candidates.SUBSET.carries,
    *candidates.SUBSET.in_part,
    *(row.key for row in rows.SUBSET_ROWS),
    *("memo_datagrams", "probes", "hollow_cpu_fleet", "hollow_bytes"),
}


class Prediction(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A figure told before its run."""

    quantity: str
    unit: str
    gateways: int
    engines: int
    value: float
    low: float
    high: float
    kind: str
    role: str = "gateway"
    subset: int = 0
    note: str = ""
    sizes: tuple[int, ...]  # those that it was fitted on
    form: str
    commit: str
    written_at: str  # UTC, ISO 8601


class Foretold(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    predictions: list[Prediction]


# --- Figures as text.


def number(value: float) -> str:
    """Three digits that count, thousands parted; a whole number as it is."""
    if not math.isfinite(value):
        return NONE
    if value == round(value) and abs(value) < 1e7:
        return f"{value:,.0f}"
    places = 2 - math.floor(math.log10(abs(value)))
    rounded = round(value, places)
    return f"{rounded:,.{max(0, places)}f}" if places > 0 else f"{rounded:,.0f}"


def beside(value: float, scale: float) -> float:
    """0 for what is nothing beside the scale: rounding of the fit, which differs from machine to machine."""
    return 0.0 if abs(value) < 1e-6 * abs(scale) else value


def quantity(value: float, unit: str) -> str:
    if unit == "share":
        return f"{number(100 * value)}%"
    if unit == "bytes" and abs(value) >= 1e6:
        return f"{number(value / (1 << 20))} MB"
    if unit == "bytes" and abs(value) >= 1e4:
        return f"{number(value / 1024)} KB"
    if unit == "bytes/s" and abs(value) >= 1e4:
        return f"{number(value / 1024)} KB/s"
    if unit == "1/s":
        return f"{number(value)}/s"
    return number(value) if unit == "count" else f"{number(value)} {unit}"


def ranged(found: Estimate, unit: str) -> str:
    text = quantity(found.value, unit)
    if found.high - found.low <= 1e-9 * abs(found.value):
        return text
    low, high = beside(found.low, found.value), beside(found.high, found.value)
    return f"{text} ({quantity(low, unit)} to {quantity(high, unit)})"


def told(
    value: Estimate | None,
    missing: str,
    unit: str,
    used: Sequence[Use],
    figures: Figures,
    reckon: Callable[[Size], Estimate],
    untold: bool,
) -> str:
    """The cell of a value at the size that is coming; where its fits were taken at smaller sizes only, so."""
    if value is None:
        return f"{NOT_MEASURED}: {missing}"
    if untold:
        there, (gateways, engines) = capacity.at_taken(reckon, used, figures)
        along = {use.grows_with for use in used}
        sizes = [f"{gateways:,.0f} gateways"] * ("gateways" in along)
        sizes += [f"{engines:,.0f} engines"] * ("engines" in along)
        return f"{NOT_TOLD}; {quantity(there.value, unit)} at {' and '.join(sizes)}"
    text = ranged(value, unit)
    for use in used:
        try:
            most = max(figures.fit(use).sizes)
        except capacity.NotMeasured:  # another was taken in its place
            continue
        if most < capacity.coming()[1 if use.grows_with == "engines" else 0]:
            text += f"; foretold: {use.quantity} was taken up to {most:,} {use.grows_with}"
    return text


def where(along: Along, crossing: Crossing | None) -> str:
    """The size at which a budget is passed."""
    if crossing is None:
        return NONE
    if along == "neither":
        return "at any size" if crossing.size is not None else "at none"
    if crossing.size is None:
        return f"at none up to {capacity.BEYOND:g} times"

    def size(x: float) -> str:
        if along != "both":
            return number(x)
        gateways, engines = capacity.on_the_way(_both_share(x))
        return f"{number(gateways)} and {number(engines)}"

    if along == "both" and crossing.size <= 1:
        return "at any size"
    if crossing.below and crossing.taken is not None:
        return f"below {crossing.taken[0]:,} {along}, the least taken"
    text = size(crossing.size) if crossing.sure else f"unsure: {size(crossing.size)}"
    early, late = crossing.earliest, crossing.latest
    if early is not None and late is not None and size(early) != size(late):
        text += f" ({size(early)} to {size(late)})"
    return f"{text} gateways and engines" if along == "both" else f"{text} {along}"


def _both_share(gateways: float) -> float:
    begin, end = capacity.today()[0], capacity.coming()[0]
    return (gateways - begin) / (end - begin)


def slope_of(fit: Fit) -> str:
    each = f"{fit.unit} {'an engine' if fit.grows_with == 'engines' else 'a gateway'}"
    slope, error = beside(fit.slope, fit.slope_error), beside(fit.slope_error, fit.slope)
    return f"{number(slope)} +- {number(error)} {each}"


def sizes_of(fit: Fit) -> str:
    return ", ".join(f"{size:,}" for size in fit.sizes)


def table(head: Sequence[str], body: Sequence[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *body]
    return "\n".join("| " + " | ".join(cell.replace("|", "/") for cell in line) + " |" for line in lines)


# --- The tables.


def _place(found: Found, places: Mapping[str, str]) -> str:
    row = found.row
    today = (
        f"`{places.get(row.place, row.place)}`"
        if row.place
        else "not ours"
        if row.role in (rows.BULLETIN, rows.ENGINE)
        else ""
    )
    if row.mend and found.passed:
        return f"{today}; {row.mend}"
    if found.passed:
        return f"**missing**; today {today}" if today else "**missing**"
    return today or "**missing**"


def roles(found: Sequence[Found], figures: Figures, places: Mapping[str, str]) -> str:
    head = (
        "role",
        "what",
        "slope x what it grows with",
        "at 4,000 and 15,000",
        "budget",
        "used",
        "carried by",
        "passed at",
    )
    body = []
    for f in found:
        row = f.row
        value = told(f.value, f.missing, row.unit, f.used, figures, row.value, f.untold)
        budget = row.budget_name or "none set"
        used = f"{number(100 * f.share)}%" if f.share is not None and not f.untold else NONE
        crossing = where(row.along, f.crossing) if row.budget is not None else NONE
        body.append((row.role, row.what, row.formula, value, budget, used, _place(f, places), crossing))
    return table(head, body)


def slopes(uses: Iterable[Use], figures: Figures) -> str:
    head = ("quantity", "of", "slope", "form", "exponent", "off by at most", "sizes")
    body = []
    for use in uses:
        try:
            fit = figures.fit(use)
        except capacity.NotMeasured:
            body.append((use.quantity, _of(use), NOT_MEASURED, NONE, NONE, NONE, NONE))
            continue
        exponent = (
            f"{number(fit.exponent)} +- {number(beside(fit.exponent_error, fit.exponent))}"
            if fit.exponent == fit.exponent
            else NONE
        )
        worst = f"{number(100 * beside(fit.worst, 1.0))}%"
        body.append((use.quantity, _of(use), slope_of(fit), fit.form, exponent, worst, sizes_of(fit)))
    return table(head, body)


def _of(use: Use) -> str:
    day = use.day if use.day != "steady" else None
    words = [use.kind, use.role, use.note, day, "99th or 95th hundredth" if use.stat == "high" else None]
    return ", ".join(word for word in words if word) or "gateway"


def worked(facts: Sequence[rates.Reckoned], figures: Figures) -> str:
    head = ("event", "what", "at 4,000 and 15,000", "budget", "holds")
    body = []
    for r in facts:
        fact = r.fact
        value = told(r.value, r.missing, fact.unit, r.used, figures, fact.value, r.untold)
        holds = NONE if fact.budget is None or r.value is None else "**no**" if r.passed else "yes"
        if fact.budget is not None and r.untold:
            holds = "**no**, there already" if r.passed else NOT_TOLD
        body.append((fact.event, fact.what, value, fact.budget_name or NONE, holds))
    return table(head, body)


def ranking(found: Sequence[Found]) -> str:
    head = (
        "mechanism",
        "its first row to fail",
        "at",
        "share of the way",
        "failing rows it carries",
        "which",
    )
    body = []
    for rank in capacity.ranking(found, candidates.CANDIDATES):
        first, names = rank.first, ", ".join(f.row.key for f in rank.failing)
        at = where(first.row.along, first.crossing)
        share = f"{number(100 * rank.share)}%"
        body.append((rank.candidate.name, first.row.key, at, share, str(len(rank.failing)), names))
    return table(head, body)


def failing(found: Sequence[Found]) -> str:
    """Rows that fail on the way, the first ones first, and who would carry them."""
    head = ("row", "what", "passed at", "share of the way", "would be carried by")
    body = []
    for f in capacity.failing(found):
        assert f.crossing is not None
        key = f.row.key
        by = [f"{c.name} ({c.carries[key]})" for c in candidates.CANDIDATES if key in c.carries]
        by += [f"in part {c.name} ({c.in_part[key]})" for c in candidates.CANDIDATES if key in c.in_part]
        at = where(f.row.along, f.crossing)
        body.append(
            (f.row.key, f.row.what, at, f"{number(100 * f.crossing.share)}%", "; ".join(by) or "nothing yet")
        )
    return table(head, body)


def mended(found: Sequence[Found]) -> str:
    head = ("what", "at 4,000 and 15,000", "budget", "passed at", "mended by")
    body = [
        (
            f.row.what,
            ranged(f.value, f.row.unit),
            f.row.budget_name,
            where(f.row.along, f.crossing),
            f.row.mend,
        )
        for f in found
        if f.row.mend and f.passed and f.value is not None
    ]
    return table(head, body)


def given() -> str:
    head = ("input", "value", "unit", "from", "reason")
    return table(head, [(i.name, number(i.value), i.unit, i.source, i.reason) for i in inputs.ALL])


def same(p: Prediction, s: Sample) -> bool:
    return (p.quantity, p.kind, p.role, p.subset, p.note, p.gateways, p.engines) == (
        s.quantity, s.kind, s.role, s.subset, s.note, s.gateways, s.engines,
    )  # fmt: skip


def foretold(predictions: Sequence[Prediction], results: Sequence[Results]) -> str:
    head = (
        "quantity",
        "gateways",
        "engines",
        "foretold",
        "from sizes",
        "at commit",
        "found",
        "found / foretold",
        "within",
    )
    body = []
    for p in predictions:
        # A run that began before the prediction was written proves nothing.
        found = [s for r in results if r.taken_at >= p.written_at for s in r.samples if same(p, s)]
        told = ranged(Estimate(p.value, p.low, p.high), p.unit)
        sizes = ", ".join(f"{size:,}" for size in p.sizes)
        name = (
            p.quantity
            + (f", subset {p.subset}" if p.subset else "")
            + (f", {p.role}" if p.role != "gateway" else "")
        )
        row = [name, f"{p.gateways:,}", f"{p.engines:,}", told, sizes, p.commit]
        if not found:
            body.append([*row, "not run", NONE, NONE])
            continue
        value = found[-1].value
        ratio = number(value / p.value) if p.value else NONE
        body.append([*row, quantity(value, p.unit), ratio, "yes" if p.low <= value <= p.high else "**no**"])
    return table(head, body)


def subsets(samples: Sequence[Sample]) -> str:
    """Rows that were measured with a subset on, beside the way of before. Only parts whose slopes were taken:
    runs of one size with others say nothing of the size that is coming."""
    cores = {s.subset for s in samples if s.subset and s.kind == "core"}
    sizes = sorted(cores or {s.subset for s in samples if s.subset})
    kept = [Figures(samples, subset=k) for k in sizes]
    head = ["row", "budget", "all engines", "passed at"]
    head += [cell for k in sizes for cell in (f"{k} kept", "used", "passed at")]
    plain, body = Figures(samples), list[list[str]]()
    for row in (*rows.ROWS, *rows.SUBSET_ROWS):
        before, after = capacity.find(row, plain), [capacity.find(row, figures) for figures in kept]
        if row.key not in SUBSET_CHANGES or all(f.value is None for f in after):
            continue
        own = row in rows.SUBSET_ROWS
        was = NONE if own or before.value is None else quantity(before.value.value, row.unit)
        cells = [row.key, row.budget_name or NONE, was, NONE if own else where(row.along, before.crossing)]
        for f, figures in zip(after, kept, strict=True):
            cells += [
                told(f.value, f.missing, row.unit, f.used, figures, row.value, f.untold),
                f"{number(100 * f.share)}%" if f.share is not None and not f.untold else NONE,
                where(row.along, f.crossing),
            ]
        body.append(cells)
    return table(head, body) if body else f"{NOT_MEASURED}: no file has samples with a subset."


# Of ways to give each gateway a part of the engines, as `whintrail scale ways` says of the largest size.
WAYS = {
    "holders_least": "holders of an engine, least",
    "holders_most": "most",
    "load_most_aware_sigma_0.5": "most load on one, over the mean",
    "orphans_block": "engines of nobody, a zone of gateways gone",
    "churn_engine_goes": "engines begun with, one engine gone",
    "churn_zone_goes": "a zone of engines gone",
    "churn_fleet_grows_tenth": "a tenth more gateways",
    "memo_partners": "gateways to talk to",
    "memo_bytes_sent_per_s": "bytes/s of memos sent",
}


def ways(samples: Sequence[Sample]) -> str:
    found = [s for s in samples if s.quantity in WAYS and s.subset and s.note]
    if not found:
        return f"{NOT_MEASURED}: holders_least"
    size = max((s.gateways, s.engines) for s in found)
    cells = {(s.note, s.quantity): s for s in found if (s.gateways, s.engines) == size}
    body = []
    for note in dict.fromkeys(note for note, _ in cells):
        row = [cells.get((note, name)) for name in WAYS]
        body.append([note, *(number(s.value) if s is not None else NONE for s in row)])
    at = f"way; {size[0]:,} gateways, {size[1]:,} engines, {found[0].subset} kept"
    return table([at, *WAYS.values()], body)


COMMAND_PLACE = re.compile(r"(?<=\s)/\S*/")  # of one machine: files' names are enough
REGIONS = {
    "apart_asked": "changes asked for during the cut",
    "apart_settled": "of these came into force",
    "apart_gateways": "gateways of the cut region",
    "apart_leased": "of these held a lease",
    "apart_back_s": "after it, until all held a lease and knew the newest version",
}


def regions(samples: Sequence[Sample]) -> str:
    """What `benchmarks.regions` found, a day a column."""
    found = {(s.quantity, s.day): s for s in samples if s.quantity in REGIONS}
    if not found:
        return f"{NOT_MEASURED}: apart_asked"
    days = list(dict.fromkeys(day for _, day in found))
    size = f"{next(iter(found.values())).gateways} gateways, simulated"
    body = []
    for name, what in REGIONS.items():
        cells = [found.get((name, day)) for day in days]
        body.append([what, *(ranged(Estimate(s.value, s.low, s.high), s.unit) if s else NONE for s in cells)])
    return table([size, *days], body)


def _hollow(s: Size, quantity: str, day: str = "steady") -> float | None:
    """What hollow gateways came to at exactly this size, all engines kept."""
    at = int(s.gateways), int(s.engines)
    for one in s.figures.samples:
        if (one.quantity, one.kind, one.role, one.day) == (quantity, "hollow", "gateway", day):
            if (one.gateways, one.engines, one.subset) == (*at, 0):
                return one.value
    return None


def _both_ways(s: Size) -> float | None:
    heard, sent = _hollow(s, "bytes_in_per_s"), _hollow(s, "bytes_out_per_s")
    return heard + sent if heard is not None and sent is not None and _memos(s) else None


def _memos(s: Size) -> float | None:
    """None where the run had none: large ones leave them out."""
    return _hollow(s, "memo_datagrams_per_s") or None


AGREEMENT: tuple[tuple[str, str, Callable[[Size], float | None], Callable[[Size], Estimate]], ...] = (
    (
        "memos heard; cores played together",
        "datagrams/s",
        _memos,
        lambda s: s.measured("memo_datagrams_per_s", "engines"),
    ),
    (
        "datagrams in and out, memos too; cores, simulated fleet",
        "bytes/s",
        _both_ways,
        lambda s: rows.memo_bytes(s)
        + s.measured("member_bytes_per_s", "gateways", kind="simulated", role="gateway"),
    ),
    (
        "the node's processor time; cores alone",
        "share",
        lambda s: _hollow(s, "node_share"),
        lambda s: s.measured("node_cpu_share", "gateways", role="gateway"),
    ),
    (
        "a change in force on all, median; simulated fleet",
        "s",
        lambda s: _hollow(s, "version_in_force_s", "changes"),
        lambda s: s.measured("version_in_force_s", "gateways", kind="simulated", note="one after another"),
    ),
)


def agreement(samples: Sequence[Sample], figures: Figures) -> str:
    """Hollow gateways on real datagrams beside what cores alone and simulated fleets say of the same size."""
    sizes = sorted({(s.gateways, s.engines) for s in samples if s.kind == "hollow" and not s.subset})
    body = []
    for what, unit, hollow, model in AGREEMENT:
        for gateways, engines in sizes:
            at = Size(gateways, engines, figures)
            found = hollow(at)
            if found is None:
                continue
            cells = [what, f"{gateways:,}", f"{engines:,}", quantity(found, unit)]
            try:
                says = model(at)
            except capacity.NotMeasured as error:
                body.append([*cells, f"{NOT_MEASURED}: {error}", NONE])
                continue
            body.append([*cells, ranged(says, unit), number(found / says.value) if says.value else NONE])
    head = ("what", "gateways", "engines", "hollow", "cores or simulated", "ratio")
    return table(head, body) if body else f"{NOT_MEASURED}: no hollow run."


def files(results: Mapping[str, Results]) -> str:
    head = ("file", "command", "commit", "taken at", "took", "load before", "samples")
    body = []
    for name, r in results.items():
        load = f"{number(r.machine.load)} on {r.machine.cores} cores"
        body.append(
            (
                name,
                f"`{COMMAND_PLACE.sub('', r.command)}`",
                r.commit,
                r.taken_at,
                f"{number(r.took_s)} s",
                load,
                str(len(r.samples)),
            )
        )
    return table(head, body) if body else "No file yet."


FOUND = "found-"


def older(name: str) -> bool:
    """Whether a file is of a program that was mended since: before/NAME.json, or NAME-unmended.json."""
    return name.startswith("before/") or name.endswith("-unmended.json")


def fitted(results: Mapping[str, Results]) -> list[Sample]:
    """What fits are made of: all but the runs of predictions, `found-*.json`, which stay apart from them; and
    of files of before a mend only the quantities that no file of today has."""
    names = [name for name in results if not name.startswith(FOUND)]
    now = [s for name in names if not older(name) for s in results[name].samples]
    known = {(s.quantity, s.kind) for s in now}
    then = [s for name in names if older(name) for s in results[name].samples]
    return _with_memos(now) + [s for s in then if (s.quantity, s.kind) not in known]


def _with_memos(samples: Sequence[Sample]) -> list[Sample]:
    """Without the sums of hollow gateways in runs that left memos out, as large ones do."""
    sums = ("control_cpu_share", "bytes_in_per_s", "bytes_out_per_s")
    hollow = [s for s in samples if s.kind == "hollow" and s.role == "gateway"]
    none = [s for s in hollow if s.quantity == "memo_datagrams_per_s" and not s.value]
    quiet = {(s.gateways, s.engines, s.subset) for s in none}
    left = {id(s) for s in hollow if s.quantity in sums and (s.gateways, s.engines, s.subset) in quiet}
    return [s for s in samples if id(s) not in left]


MENDED = 1.5  # times less, at the greatest size that both have, is worth a line


def mendings(results: Mapping[str, Results], uses: Iterable[Use]) -> str:
    """Quantities that files of before a mend have otherwise than the files of today."""
    then = Figures([s for name, r in results.items() if older(name) for s in r.samples])
    now, body = Figures(fitted(results)), list[list[str]]()
    for use in uses:
        try:
            old, new = then.fit(use), now.fit(use)
        except capacity.NotMeasured:
            continue
        common = [size for size in old.sizes if size in new.sizes]
        if not common or not old.at(common[-1])[0] > MENDED * new.at(common[-1])[0] > 0:
            continue
        size = f"{common[-1]:,} {use.grows_with}"
        was, now_is = (quantity(fit.at(common[-1])[0], fit.unit) for fit in (old, new))
        body.append([use.quantity, _of(use), size, was, old.form, now_is, new.form])
    if not body:
        return "Nothing was mended between two files of results."
    return table(("quantity", "of", "at", "before", "form", "after", "form"), body)


def simulation(samples: Sequence[Sample]) -> str:
    """Processor seconds of a simulated second of the whole fleet, by size."""
    cells = {(s.gateways, s.note): s for s in samples if s.quantity == "sim_cpu_s"}
    notes = list(dict.fromkeys(note for _, note in cells))
    if not notes:
        return f"{NOT_MEASURED}: sim_cpu_s"
    body = []
    for gateways in sorted({gateways for gateways, _ in cells}):
        found = [cells.get((gateways, note)) for note in notes]
        body.append(
            [
                f"{gateways:,}",
                *(ranged(Estimate(s.value, s.low, s.high), s.unit) if s else NONE for s in found),
            ]
        )
    return table(["gateways", *notes], body)


def render(
    results: Mapping[str, Results], predictions: Sequence[Prediction], places: Mapping[str, str]
) -> dict[str, str]:
    """All tables by name."""
    samples = fitted(results)
    figures = Figures(samples)
    found = [capacity.find(row, figures) for row in rows.ROWS]
    facts = [rates.reckon(fact, figures) for fact in rates.FACTS]
    uses = dict.fromkeys([use for f in found for use in f.used] + [use for r in facts for use in r.used])
    every: dict[str, Callable[[], str]] = {
        "inputs": given,
        "roles": lambda: roles(found, figures, places),
        "slopes": lambda: slopes(uses, figures),
        "rates": lambda: worked(facts, figures),
        "regions": lambda: regions(samples),
        "failing": lambda: failing(found),
        "ranking": lambda: ranking(found),
        "mends": lambda: mended(found),
        "subset": lambda: subsets(samples),
        "ways": lambda: ways(samples),
        "mendings": lambda: mendings(results, uses),
        "agreement": lambda: agreement(samples, figures),
        "simulation": lambda: simulation([s for r in results.values() for s in r.samples]),
        "foretold": lambda: foretold(predictions, list(results.values())),
        "files": lambda: files(results),
    }
    return {name: make() for name, make in every.items()}
