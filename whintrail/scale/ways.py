"""`whintrail scale ways`: which engines a gateway keeps when it keeps only some, several ways side by side.

Each way is a table of pairs (gateway, engine), worked out by the arithmetic that real gateways would use, and
judged by what it does to balance, to change, to losses and to what gateways have to tell one another. Nothing
here is on a wire or a clock: results are of kind "simulated".

Sources: rendezvous hashing, D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM ToN 6(1), 1998; rounds of shuffles ("deterministic subsetting"), Beyer et al., "Site
Reliability Engineering", O'Reilly 2016, chapter 20; consistent hashing, Karger et al., STOC 1997; arcs of
a ring, Twitter's Finagle, "deterministic aperture"; low-discrepancy starts of the arcs, P. Ward, P. Wankadia
and K. Guliani, "Reinventing Backend Subsetting at Google", ACM Queue 20(2), 2022.
"""

import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

import click
import msgspec
import numpy as np
from numpy.typing import NDArray

from whintrail import interface as api
from whintrail.scale.results import Sample, current_machine, sample, save_results
from whintrail.subset.assignment import SubsetAssignment
from whintrail.subset.plan import SubsetPlan

IntArray = NDArray[np.int64]
WordArray = NDArray[np.uint64]
FloatArray = NDArray[np.float64]
# Turns of the ring from one gateway number to the next: badly approximable irrationals, so that any run of
# numbers, or every s-th of them, lies evenly (three-distance theorem); no two from the same square root, or
# neighbours in one ring would be neighbours in the other.
RING_STEPS = [0.6180339887498949, 0.41421356237309515, 0.30277563773199456, 0.7320508075688772]
RING_STEPS += [0.19258240356725187, 0.6457513110645907, 0.16227766016837952, 0.14005494464025913]
FLEET_SIZES = [(200, 600), (1000, 4000), (4000, 15000)]
ZONE_COUNT = 19
READY = api.EngineState.READY
PROBE_INTERVAL_S = 0.6  # the fleet asks an engine so often
BATCH_INTERVALS_S = {"": 0.5, "_batch_1s": 1.0, "_batch_2s": 2.0}  # what is told waits so long for company
DATAGRAM_HEADER_BYTES, REPORT_HEADER_BYTES, REPORT_ENTRY_BYTES = 28, 3, 7
SMALL_SIZE_QUANTITIES = (
    "holders_least",
    "holders_cv",
    "load_cv_aware_sigma_0.5",
    "churn_engine_goes",
    "memo_bytes_sent_per_s",
)
LOAD_FLOOR, WEIGHT_EXPONENT, MEAN_UTILIZATION = 0.2, 3.0, 0.5  # of the module's draw; the engines' mean use


@dataclass(frozen=True, slots=True)
class Assignment:
    """Which gateway keeps which engine: two columns of one length, by gateway; engines by index."""

    gateway: IntArray
    engine: IntArray


AssignmentMethod = Callable[[int, WordArray, int], Assignment]


def hash_words(words: WordArray, salt: int) -> WordArray:
    """SplitMix64's last step (Steele, Lea and Flood, OOPSLA 2014): 64 even bits of each word."""
    z = words + np.uint64((salt * 0x9E3779B97F4A7C15 + 0x632BE59BD9B4E019) & 0xFFFFFFFFFFFFFFFF)
    z = (z ^ (z >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
    z = (z ^ (z >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
    return z ^ (z >> np.uint64(31))


def ring_positions(words: WordArray, salt: int) -> FloatArray:
    """A place on the ring, from 0 to 1."""
    return (hash_words(words, salt) >> np.uint64(11)).astype(np.float64) / 2.0**53


def assign_arcs(first: IntArray, length: IntArray, order: IntArray) -> Assignment:
    """Of each gateway `length` engines from the `first`, round `order`."""
    gateway = np.repeat(np.arange(len(first)), length)
    within = np.arange(int(length.sum())) - np.repeat(np.cumsum(length) - length, length)
    return Assignment(gateway, order[(np.repeat(first, length) + within) % max(1, len(order))])


def merge_assignments(parts: list[Assignment], engines: int) -> Assignment:
    """Each pair once."""
    codes = np.unique(np.concatenate([p.gateway * engines + p.engine for p in parts]))
    return Assignment(codes // engines, codes % engines)


def rendezvous(gateways: int, engines: WordArray, keep: int) -> Assignment:
    own = hash_words(np.arange(gateways, dtype=np.uint64), 77)
    tops = [np.argpartition(hash_words(engines ^ word, 5), len(engines) - keep)[-keep:] for word in own]
    return Assignment(np.repeat(np.arange(gateways), keep), np.concatenate(tops))


def shuffled_rounds(gateways: int, engines: WordArray, keep: int) -> Assignment:
    """A round deals a shuffle of all engines to as many gateways as it serves whole."""
    a_round = len(engines) // keep
    orders = [
        np.argsort(hash_words(engines, 1000 + r), kind="stable") for r in range(-(-gateways // a_round))
    ]
    parts = [orders[g // a_round][(g % a_round) * keep :][:keep] for g in range(gateways)]
    return Assignment(np.repeat(np.arange(gateways), keep), np.concatenate(parts))


def disjoint_groups(gateways: int, engines: WordArray, keep: int) -> Assignment:
    """Disjoint groups: gateways of one group keep the same engines, and nobody else does."""
    groups = max(1, len(engines) // keep)
    order = np.argsort(hash_words(engines, 3), kind="stable")
    parts = np.array_split(order, groups)
    return Assignment(
        np.concatenate([np.full(len(parts[g % groups]), g) for g in range(gateways)]),
        np.concatenate([parts[g % groups] for g in range(gateways)]),
    )


def ranked_rings(rings: int, even: bool) -> AssignmentMethod:
    """Arcs of `keep / rings` engines in each of so many orders; `even`: gateways stand at g/gateways."""

    def way(gateways: int, engines: WordArray, keep: int) -> Assignment:
        parts, numbers = [], np.arange(gateways)
        for ring in range(rings):
            order = np.argsort(hash_words(engines, 10 + ring), kind="stable")
            start = numbers / gateways if even else numbers * RING_STEPS[ring] % 1.0
            first = (start * len(engines)).astype(np.int64)
            parts.append(assign_arcs(first, np.full(gateways, keep // rings), order))
        return merge_assignments(parts, len(engines))

    return way


def first_on_ring(gateways: int, engines: WordArray, keep: int) -> Assignment:
    """Engines stand where their hash puts them; a gateway keeps the first `keep` from its own place."""
    places = ring_positions(engines, 20)
    order = np.argsort(places, kind="stable")
    first = np.searchsorted(places[order], np.arange(gateways) * RING_STEPS[0] % 1.0)
    return assign_arcs(first, np.full(gateways, keep), order)


def split_rings(rings: int) -> AssignmentMethod:
    """Each engine stands in one of `rings` by its hash, gateways in all, in another order in each; a gateway
    keeps what stands within an arc of one width, keep / engines, from its own place."""

    def way(gateways: int, engines: WordArray, keep: int) -> Assignment:
        parts, ring_of, places = [], hash_words(engines, 19) % np.uint64(rings), ring_positions(engines, 20)
        for ring in range(rings):
            mine = np.flatnonzero(ring_of == ring)
            order = mine[np.argsort(places[mine], kind="stable")]
            ends = np.concatenate([places[order], places[order] + 1.0])
            start = np.arange(gateways) * RING_STEPS[ring] % 1.0
            first = np.searchsorted(ends, start)
            last = np.searchsorted(ends, start + keep / len(engines))
            parts.append(assign_arcs(first, last - first, order))
        return merge_assignments(parts, len(engines))

    return way


METHODS: dict[str, AssignmentMethod] = {
    "rendezvous": rendezvous,
    "rounds": shuffled_rounds,
    "cells": disjoint_groups,
    "ring, even starts": ranked_rings(1, even=True),
    "ring": ranked_rings(1, even=False),
    "ring, 2 arcs": ranked_rings(2, even=False),
    "ring, 4 arcs": ranked_rings(4, even=False),
    "ring, 8 arcs": ranked_rings(8, even=False),
    "hash ring, first k": first_on_ring,
    "hash ring": split_rings(1),
    "hash ring, split in 2": split_rings(2),
    "hash ring, split in 4": split_rings(4),
    "hash ring, split in 8": split_rings(8),
}


def select_for_file(samples: list[Sample]) -> list[Sample]:
    """What goes into the file: all of the largest size, of the others what shows how the ways go with it."""
    most = max((one.gateways for one in samples), default=0)
    left_out = ("load_most_plain_sigma_0", "load_most_aware_sigma_0")
    largest = [one for one in samples if one.gateways == most and one.quantity not in left_out]
    others = [
        one
        for one in samples
        if one.gateways < most and (one.kind == "core" or one.quantity in SMALL_SIZE_QUANTITIES)
    ]
    return others + largest


def coefficient_of_variation(values: FloatArray | IntArray) -> float:
    """Coefficient of variation."""
    return float(np.std(values) / max(1e-12, float(np.mean(values))))


def engine_loads(pairs: Assignment, traffic: FloatArray, engines: int, load_aware: bool) -> FloatArray:
    """What each engine gets, the mean being 1. `aware`: each gateway draws its engines with the module's
    weight by their loads, again and again until nothing moves."""
    weight = np.ones(len(pairs.engine))
    load: FloatArray = np.full(engines, 1.0)
    for turn in range(120 if load_aware else 1):
        whole = np.bincount(pairs.gateway, weight, len(traffic))
        sent = traffic[pairs.gateway] * weight / np.maximum(1e-12, whole[pairs.gateway])
        got = np.bincount(pairs.engine, sent, engines)
        new: FloatArray = got / np.mean(got)
        load = new if turn == 0 else 0.8 * load + 0.2 * new
        weight = (LOAD_FLOOR + MEAN_UTILIZATION * load[pairs.engine]) ** -WEIGHT_EXPONENT
    return load


def count_gained_engines(
    before: Assignment, ids: IntArray, after: Assignment, ids_after: IntArray, gateways: int
) -> IntArray:
    """Engines new to each gateway that was there before; engines are told apart by id."""
    most = int(max(ids.max(), ids_after.max())) + 1
    old = before.gateway * most + ids[before.engine]
    new = after.gateway * most + ids_after[after.engine]
    fresh = np.setdiff1d(new, old, assume_unique=True) // most
    return np.bincount(fresh[fresh < gateways], minlength=gateways)[:gateways]


def report_traffic(
    pairs: Assignment, gateways: int, engines: int
) -> tuple[IntArray, dict[str, tuple[float, float]]]:
    """Partners of each gateway; and by batch the datagrams and bytes a second that one sends in the mean, as
    many as reach it."""
    by_engine = np.argsort(pairs.engine, kind="stable")
    holders = np.bincount(pairs.engine, minlength=engines)
    keepers = np.split(pairs.gateway[by_engine], np.cumsum(holders)[:-1])
    codes = [(k[:, None] * gateways + k[None, :]).ravel() for k in keepers if len(k)]
    rates = [np.full(len(k) ** 2, 1 / PROBE_INTERVAL_S / len(k)) for k in keepers if len(k)]
    seen, place = np.unique(np.concatenate(codes), return_inverse=True)
    rate = np.bincount(place, np.concatenate(rates))
    other = seen // gateways != seen % gateways
    rate, teller = rate[other], seen[other] // gateways
    told = float(np.sum(rate)) / gateways * REPORT_ENTRY_BYTES
    sent = {}
    for name, batch_s in BATCH_INTERVALS_S.items():
        datagrams = float(np.sum(-np.expm1(-rate * batch_s) / batch_s)) / gateways
        sent[name] = datagrams, datagrams * (DATAGRAM_HEADER_BYTES + REPORT_HEADER_BYTES) + told
    return np.bincount(teller, minlength=gateways), sent


def measure_cost(gateways: int, engines: int, keep: int) -> list[Sample]:
    """What the real `Part` takes in processor time of one gateway; and how many engines it keeps, over 40
    gateways, where no class is bound, where repeats stay in a zone, and where they stay in a cell of 30."""
    entries = tuple(
        api.EngineEntry(
            f"10.0.{n >> 8}.{n & 255}:7000", "k", f"z{n % ZONE_COUNT}", n // 570, 1.0, READY, None
        )
        for n in range(engines)
    )
    whole = api.EngineListReceived(api.ListKind.FULL, entries)
    starts, deltas, size = list[float](), list[float](), list[float]()
    for turn in range(5):
        if not turn:
            tracemalloc.start()
        began = time.process_time()
        part = SubsetAssignment(SubsetPlan(size=keep), build_settings(gateways, gateways // 3, None))
        part.apply_list(whole)
        if turn:
            starts.append((time.process_time() - began) * 1e6)
        else:
            size.append(float(tracemalloc.get_traced_memory()[0]))
            tracemalloc.stop()
        for entry in entries[turn :: len(entries) // 40] if turn else ():
            for state in (api.EngineState.REMOVED, READY):
                change = api.EngineListReceived(api.ListKind.DELTA, (replace(entry, state=state),))
                began = time.process_time()
                part.apply_list(change)
                deltas.append((time.process_time() - began) * 1e6)
    found = [
        sample("part_start_us", "us", (gateways, engines), starts, "core"),
        sample("part_delta_us", "us", (gateways, engines), deltas, "core"),
        sample("part_bytes", "bytes", (gateways, engines), size, "core"),
    ]
    kinds = {"free": None, "keyed_zone": api.DedupScope.ZONE, "keyed_cell": api.DedupScope.CELL}
    for text, group in kinds.items():
        sizes, holders = list[float](), list[float]()
        for me in range(0, gateways, gateways // 40):
            part = SubsetAssignment(SubsetPlan(size=keep), build_settings(gateways, me, group))
            part.apply_list(whole)
            sizes.append(float(len(part.kept)))
            holders += [float(count or gateways) for count, _ in part.kept.values()]
        found.append(sample(f"part_engines_{text}", "count", (gateways, engines), sizes, "core"))
        found.append(sample(f"part_holders_{text}", "count", (gateways, engines), holders, "core"))
    return [
        msgspec.structs.replace(one, subset=keep, note="whintrail.subset.assignment.Part") for one in found
    ]


def build_settings(gateways: int, me: int, group: api.DedupScope | None) -> api.Settings:
    """Settings that leave a `Part` nothing to heed but the fleet and, perhaps, one keyed class."""
    keyed = api.QueryClass(
        name="keyed", target_latency_us=1, target_latency_ratio=1.0, deadline_us=1, effect=api.Effect.BY_KEY,
        dedup_scope=group or api.DedupScope.ALL, dedup_window_us=1, worth=1.0, late_share=0.0, ordered_by_key=False, zones=None,
        kinds=None, threads=1, is_load=False, blocked_by_loads=False,
    )  # fmt: skip
    return api.Settings(
        fleet_size=gateways, local_number=me, zone="z0", classes=(keyed,), tenants=(), kind_cores={},
        kind_memory_mb={}, max_memory_grant_share=1, memory_grants_honored=False, priorities_honored=False, reports_cost=False,
        progress_interval_us=0, report_source=api.ReportSource.PROBES, probes_allowed=True, cancel_allowed=True,
        concurrent_attempts_allowed=False, peer_messages_allowed=True, retry_after=True, max_retry_after_us=0, max_attempts=None,
        max_open=None, keepalive_us=0, tick_us=5000, list_on_request=False, max_list_age_us=None, warmup_us=0,
        initial_capacity_share=1.0, overload_multiple=None, overload_window_us=0, order_settle_us=0, retry_budget_ratio=None,
        retry_budget_free=0.0, retry_budget_window_us=0, cross_zone_price=0.0,
    )  # fmt: skip


def evaluate_method(name: str, gateways: int, engines: int, keep: int) -> list[Sample]:
    """All quantities of one way at one size."""
    way, random = METHODS[name], np.random.default_rng(1)
    ids = np.arange(engines)
    words = hash_words(ids.astype(np.uint64), 99)
    found: list[Sample] = []

    def add(quantity: str, unit: str, *values: float) -> None:
        one = sample(quantity, unit, (gateways, engines), [float(v) for v in values], "simulated")
        found.append(msgspec.structs.replace(one, subset=keep, note=name))

    pairs = way(gateways, words, keep)
    size = np.bincount(pairs.gateway, minlength=gateways)
    holders = np.bincount(pairs.engine, minlength=engines)
    add("part_engines", "count", float(size.min()), float(np.median(size)), float(size.max()))
    add("holders_least", "count", holders.min())
    add("holders_most", "count", holders.max())
    add("holders_cv", "share", coefficient_of_variation(holders))
    add("orphans", "count", int((holders == 0).sum()))
    for sigma in (0.0, 0.5, 1.0):
        drawn = [np.exp(random.normal(-sigma * sigma / 2, sigma, gateways)) for _ in range(5 if sigma else 1)]
        for aware in (False, True):
            kind = f"{'aware' if aware else 'plain'}_sigma_{sigma:g}"
            made = [engine_loads(pairs, traffic, engines, aware) for traffic in drawn]
            add(f"load_cv_{kind}", "share", *(coefficient_of_variation(m) for m in made))
            add(f"load_most_{kind}", "share", *(float(m.max()) for m in made))
    # Change: engines that a gateway has to begin with.
    comes = [
        count_gained_engines(
            way(gateways, np.delete(words, e), keep), np.delete(ids, e), pairs, ids, gateways
        ).mean()
        for e in random.integers(0, engines, 5)
    ]
    goes = [
        count_gained_engines(
            pairs, ids, way(gateways, np.delete(words, e), keep), np.delete(ids, e), gateways
        ).mean()
        for e in random.integers(0, engines, 5)
    ]
    add("churn_engine_comes", "count", *comes)
    add("churn_engine_goes", "count", *goes)
    left = np.flatnonzero(ids % ZONE_COUNT != 0)
    add(
        "churn_zone_goes",
        "count",
        count_gained_engines(pairs, ids, way(gateways, words[left], keep), left, gateways).mean(),
    )
    for more, text in ((1, "one"), (gateways // 10, "tenth")):
        grown = way(gateways + more, words, keep)
        add(
            f"churn_fleet_grows_{text}",
            "count",
            count_gained_engines(pairs, ids, grown, ids, gateways).mean(),
        )
    # Loss of gateways, the others' lists as before.
    for text, lost in (
        ("block", np.arange(gateways) < gateways // ZONE_COUNT),
        ("stride", np.arange(gateways) % ZONE_COUNT == 0),
    ):
        stay = ~lost[pairs.gateway]
        rest = Assignment(pairs.gateway[stay], pairs.engine[stay])
        traffic = (~lost).astype(float)
        add(f"orphans_{text}", "count", int((np.bincount(rest.engine, minlength=engines) == 0).sum()))
        add(f"load_most_{text}", "share", float(engine_loads(rest, traffic, engines, load_aware=False).max()))
        add(
            f"load_most_aware_{text}",
            "share",
            float(engine_loads(rest, traffic, engines, load_aware=True).max()),
        )
    partners, sent = report_traffic(pairs, gateways, engines)
    add("memo_partners", "count", *partners[:: max(1, gateways // 200)])
    for batch, (datagrams, size_sent) in sent.items():
        add(f"memo_datagrams_sent_per_s{batch}", "datagrams/s", datagrams)
        add(f"memo_bytes_sent_per_s{batch}", "bytes/s", size_sent)
    return found


@click.command()
@click.option("--to", "path", type=click.Path(path_type=Path), default=Path("docs/capacity/ways.json"))
@click.option("--size", type=click.IntRange(8), default=80, show_default=True, help="engines a gateway keeps")
@click.option(
    "--seconds", type=click.IntRange(1), default=900, show_default=True, help="ends by itself after"
)
@click.option("--most", type=click.IntRange(1), default=4000, show_default=True, help="gateways at most")
def ways(path: Path, size: int, seconds: int, most: int) -> None:
    """Ways of giving each gateway a part of the engines, judged side by side.

    \b
    Examples:
      whintrail scale ways                              all sizes, to docs/capacity/ways.json
      whintrail scale ways --most 200 --to /tmp/w.json  the smallest size alone
    """
    began, machine, samples = time.time(), current_machine(), list[Sample]()
    note = "a mean over gateways where one figure stands; one simulated fleet a size, five draws of traffic"
    for gateways, engines in FLEET_SIZES:
        for name in METHODS if gateways <= most else ():
            if time.time() - began > seconds:
                click.echo(f"ways: {seconds} s are over; nothing written", err=True)
                raise SystemExit(1)
            click.echo(f"{gateways} x {engines}: {name}", err=True)
            samples += evaluate_method(name, gateways, engines, size)
        if gateways <= most:
            samples += measure_cost(gateways, engines, size)
    save_results(
        path,
        f"whintrail scale ways --size {size} --most {most}",
        began,
        machine,
        select_for_file(samples),
        note,
    )
