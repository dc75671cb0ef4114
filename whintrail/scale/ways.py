"""`whintrail scale ways`: compares methods of assigning a subset of the engines to each gateway.

Each method yields a table of pairs (gateway, engine), with the arithmetic that real gateways would use. It is
evaluated by load balance, churn, the loss of gateways and the probe reports between gateways. Nothing is sent
and no time passes, so results are of kind "simulated".

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
# The distance on each ring from one gateway number to the next. They are badly approximable irrationals, so
# that any range of numbers, or every s-th of them, is spread evenly (three-distance theorem). No two derive
# from the same square root, or neighbours on one ring would be neighbours on the other.
RING_STEPS = [0.6180339887498949, 0.41421356237309515, 0.30277563773199456, 0.7320508075688772]
RING_STEPS += [0.19258240356725187, 0.6457513110645907, 0.16227766016837952, 0.14005494464025913]
FLEET_SIZES = [(200, 600), (1000, 4000), (4000, 15000)]
ZONE_COUNT = 19
READY = api.EngineState.READY
PROBE_INTERVAL_S = 0.6  # of one engine, by the whole fleet
BATCH_INTERVALS_S = {"": 0.5, "_batch_1s": 1.0, "_batch_2s": 2.0}  # by suffix of the quantity
DATAGRAM_HEADER_BYTES = 28  # IPv4 and UDP
REPORT_HEADER_BYTES = 3
REPORT_ENTRY_BYTES = 7
SMALL_SIZE_QUANTITIES = (
    "holders_least",
    "holders_cv",
    "load_cv_aware_sigma_0.5",
    "churn_engine_goes",
    "memo_bytes_sent_per_s",
)
LOAD_FLOOR = 0.2  # of the routing policy's weights
WEIGHT_EXPONENT = 3.0  # of the routing policy's weights
MEAN_UTILIZATION = 0.5  # of the engines
MAX_LOAD_ITERATIONS = 120  # enough for load-aware weights to converge


@dataclass(frozen=True, slots=True)
class Assignment:
    """Pairs of gateway and engine as two columns of equal length, sorted by gateway; engines are indexes."""

    gateway: IntArray
    engine: IntArray


AssignmentMethod = Callable[[int, WordArray, int], Assignment]


def hash_words(words: WordArray, salt: int) -> WordArray:
    """Hash each word to 64 bits with SplitMix64's finalizer (Steele, Lea and Flood, OOPSLA 2014)."""
    mixed = words + np.uint64((salt * 0x9E3779B97F4A7C15 + 0x632BE59BD9B4E019) & 0xFFFFFFFFFFFFFFFF)
    mixed = (mixed ^ (mixed >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
    mixed = (mixed ^ (mixed >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
    return mixed ^ (mixed >> np.uint64(31))


def ring_positions(words: WordArray, salt: int) -> FloatArray:
    """Hash each word to a position on the ring, from 0 to 1."""
    return (hash_words(words, salt) >> np.uint64(11)).astype(np.float64) / 2.0**53


def assign_arcs(first: IntArray, length: IntArray, order: IntArray) -> Assignment:
    """Assign to each gateway `length` engines from index `first` on, around the ring `order`."""
    gateway = np.repeat(np.arange(len(first)), length)
    offset = np.arange(int(length.sum())) - np.repeat(np.cumsum(length) - length, length)
    return Assignment(gateway, order[(np.repeat(first, length) + offset) % max(1, len(order))])


def merge_assignments(assignments: list[Assignment], engines: int) -> Assignment:
    """Merge assignments, without duplicate pairs."""
    pair_codes = np.unique(np.concatenate([a.gateway * engines + a.engine for a in assignments]))
    return Assignment(pair_codes // engines, pair_codes % engines)


def rendezvous(gateways: int, engines: WordArray, subset_size: int) -> Assignment:
    """Rendezvous hashing: each gateway gets the engines that rank highest by a joint hash."""
    gateway_words = hash_words(np.arange(gateways, dtype=np.uint64), 77)
    highest = [
        np.argpartition(hash_words(engines ^ gateway_word, 5), len(engines) - subset_size)[-subset_size:]
        for gateway_word in gateway_words
    ]
    return Assignment(np.repeat(np.arange(gateways), subset_size), np.concatenate(highest))


def shuffled_rounds(gateways: int, engines: WordArray, subset_size: int) -> Assignment:
    """Deterministic subsetting: each round splits a shuffle of all engines among some of the gateways."""
    gateways_per_round = len(engines) // subset_size
    orders = [
        np.argsort(hash_words(engines, 1000 + r), kind="stable")
        for r in range(-(-gateways // gateways_per_round))
    ]
    parts = [
        orders[g // gateways_per_round][(g % gateways_per_round) * subset_size :][:subset_size]
        for g in range(gateways)
    ]
    return Assignment(np.repeat(np.arange(gateways), subset_size), np.concatenate(parts))


def disjoint_groups(gateways: int, engines: WordArray, subset_size: int) -> Assignment:
    """Disjoint groups: all gateways of a group have the same engines, and no others have them."""
    groups = max(1, len(engines) // subset_size)
    order = np.argsort(hash_words(engines, 3), kind="stable")
    parts = np.array_split(order, groups)
    return Assignment(
        np.concatenate([np.full(len(parts[g % groups]), g) for g in range(gateways)]),
        np.concatenate([parts[g % groups] for g in range(gateways)]),
    )


def ranked_rings(rings: int, even: bool) -> AssignmentMethod:
    """Build a method with arcs of `subset_size / rings` engines on each ring.

    `even`: gateway g starts at g / gateways, which depends on the number of gateways.
    """

    def assign(gateways: int, engines: WordArray, subset_size: int) -> Assignment:
        parts, numbers = [], np.arange(gateways)
        for ring in range(rings):
            order = np.argsort(hash_words(engines, 10 + ring), kind="stable")
            start = numbers / gateways if even else numbers * RING_STEPS[ring] % 1.0
            first = (start * len(engines)).astype(np.int64)
            parts.append(assign_arcs(first, np.full(gateways, subset_size // rings), order))
        return merge_assignments(parts, len(engines))

    return assign


def first_on_ring(gateways: int, engines: WordArray, subset_size: int) -> Assignment:
    """Consistent hashing: each gateway gets the next `subset_size` engines from its position on the ring."""
    positions = ring_positions(engines, 20)
    order = np.argsort(positions, kind="stable")
    first = np.searchsorted(positions[order], np.arange(gateways) * RING_STEPS[0] % 1.0)
    return assign_arcs(first, np.full(gateways, subset_size), order)


def split_rings(rings: int) -> AssignmentMethod:
    """Build a method with arcs of a fixed width on several rings.

    Each engine is on one ring, by its hash. Gateways are on all rings, in a different order on each, and get
    the engines within an arc of subset_size / engines from their position.
    """

    def assign(gateways: int, engines: WordArray, subset_size: int) -> Assignment:
        parts, ring_of, positions = (
            [],
            hash_words(engines, 19) % np.uint64(rings),
            ring_positions(engines, 20),
        )
        for ring in range(rings):
            on_ring = np.flatnonzero(ring_of == ring)
            order = on_ring[np.argsort(positions[on_ring], kind="stable")]
            unrolled = np.concatenate([positions[order], positions[order] + 1.0])
            start = np.arange(gateways) * RING_STEPS[ring] % 1.0
            first = np.searchsorted(unrolled, start)
            last = np.searchsorted(unrolled, start + subset_size / len(engines))
            parts.append(assign_arcs(first, last - first, order))
        return merge_assignments(parts, len(engines))

    return assign


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
    """Select the samples to save: all of the largest size, and a few quantities of smaller sizes."""
    largest_size = max((sample.gateways for sample in samples), default=0)
    left_out = ("load_most_plain_sigma_0", "load_most_aware_sigma_0")
    largest = [
        sample for sample in samples if sample.gateways == largest_size and sample.quantity not in left_out
    ]
    others = [
        sample
        for sample in samples
        if sample.gateways < largest_size
        and (sample.kind == "core" or sample.quantity in SMALL_SIZE_QUANTITIES)
    ]
    return others + largest


def coefficient_of_variation(values: FloatArray | IntArray) -> float:
    """Return the standard deviation relative to the mean."""
    return float(np.std(values) / max(1e-12, float(np.mean(values))))


def engine_loads(assignment: Assignment, traffic: FloatArray, engines: int, load_aware: bool) -> FloatArray:
    """Return the load of each engine, with a mean of 1.

    `load_aware`: each gateway selects engines with the routing policy's weights by load, iterated until the
    loads converge; else with equal weights.
    """
    weight = np.ones(len(assignment.engine))
    load: FloatArray = np.full(engines, 1.0)
    for iteration in range(MAX_LOAD_ITERATIONS if load_aware else 1):
        total_weight = np.bincount(assignment.gateway, weight, len(traffic))
        sent = traffic[assignment.gateway] * weight / np.maximum(1e-12, total_weight[assignment.gateway])
        arrived = np.bincount(assignment.engine, sent, engines)
        new_load: FloatArray = arrived / np.mean(arrived)
        load = new_load if iteration == 0 else 0.8 * load + 0.2 * new_load
        weight = (LOAD_FLOOR + MEAN_UTILIZATION * load[assignment.engine]) ** -WEIGHT_EXPONENT
    return load


def count_gained_engines(
    before: Assignment, ids: IntArray, after: Assignment, ids_after: IntArray, gateways: int
) -> IntArray:
    """Count the engines that each earlier gateway gains by a change. Engines are identified by id."""
    id_count = int(max(ids.max(), ids_after.max())) + 1
    old_pairs = before.gateway * id_count + ids[before.engine]
    new_pairs = after.gateway * id_count + ids_after[after.engine]
    gaining_gateways = np.setdiff1d(new_pairs, old_pairs, assume_unique=True) // id_count
    return np.bincount(gaining_gateways[gaining_gateways < gateways], minlength=gateways)[:gateways]


def report_traffic(
    assignment: Assignment, gateways: int, engines: int
) -> tuple[IntArray, dict[str, tuple[float, float]]]:
    """Return how many gateways each one exchanges reports with, and its mean traffic per batch interval.

    Traffic is datagrams and bytes sent per second, which equal those received.
    """
    by_engine = np.argsort(assignment.engine, kind="stable")
    holders = np.bincount(assignment.engine, minlength=engines)
    holders_by_engine = np.split(assignment.gateway[by_engine], np.cumsum(holders)[:-1])
    pair_codes = [(k[:, None] * gateways + k[None, :]).ravel() for k in holders_by_engine if len(k)]
    rates = [np.full(len(k) ** 2, 1 / PROBE_INTERVAL_S / len(k)) for k in holders_by_engine if len(k)]
    unique_pairs, pair_index = np.unique(np.concatenate(pair_codes), return_inverse=True)
    rate = np.bincount(pair_index, np.concatenate(rates))
    is_remote = unique_pairs // gateways != unique_pairs % gateways
    rate, sender = rate[is_remote], unique_pairs[is_remote] // gateways
    entry_bytes = float(np.sum(rate)) / gateways * REPORT_ENTRY_BYTES
    sent = {}
    for name, batch_s in BATCH_INTERVALS_S.items():
        datagrams = float(np.sum(-np.expm1(-rate * batch_s) / batch_s)) / gateways
        sent[name] = datagrams, datagrams * (DATAGRAM_HEADER_BYTES + REPORT_HEADER_BYTES) + entry_bytes
    return np.bincount(sender, minlength=gateways), sent


def measure_cost(gateways: int, engines: int, subset_size: int) -> list[Sample]:
    """Measure the processor time and memory of a real `SubsetAssignment`, and its engines and holders.

    Engines and holders are sampled over 40 gateways: without a keyed class, with one whose repeats stay in a
    zone, and with one whose repeats stay in a cell of 30.
    """
    entries = tuple(
        api.EngineEntry(
            f"10.0.{n >> 8}.{n & 255}:7000", "k", f"z{n % ZONE_COUNT}", n // 570, 1.0, READY, None
        )
        for n in range(engines)
    )
    full_list = api.EngineListReceived(api.ListKind.FULL, entries)
    start_times_us, delta_times_us, held_bytes = list[float](), list[float](), list[float]()
    for round_index in range(5):
        if not round_index:
            tracemalloc.start()
        started_at = time.process_time()
        assignment = SubsetAssignment(
            SubsetPlan(size=subset_size), build_settings(gateways, gateways // 3, None)
        )
        assignment.apply_list(full_list)
        if round_index:
            start_times_us.append((time.process_time() - started_at) * 1e6)
        else:
            held_bytes.append(float(tracemalloc.get_traced_memory()[0]))
            tracemalloc.stop()
        for entry in entries[round_index :: len(entries) // 40] if round_index else ():
            for state in (api.EngineState.REMOVED, READY):
                change = api.EngineListReceived(api.ListKind.DELTA, (replace(entry, state=state),))
                started_at = time.process_time()
                assignment.apply_list(change)
                delta_times_us.append((time.process_time() - started_at) * 1e6)
    samples = [
        sample("part_start_us", "us", (gateways, engines), start_times_us, "core"),
        sample("part_delta_us", "us", (gateways, engines), delta_times_us, "core"),
        sample("part_bytes", "bytes", (gateways, engines), held_bytes, "core"),
    ]
    dedup_scopes = {"free": None, "keyed_zone": api.DedupScope.ZONE, "keyed_cell": api.DedupScope.CELL}
    for name, dedup_scope in dedup_scopes.items():
        engine_counts, holder_counts = list[float](), list[float]()
        for number in range(0, gateways, gateways // 40):
            assignment = SubsetAssignment(
                SubsetPlan(size=subset_size), build_settings(gateways, number, dedup_scope)
            )
            assignment.apply_list(full_list)
            engine_counts.append(float(len(assignment.kept)))
            holder_counts += [float(count or gateways) for count, _ in assignment.kept.values()]
        samples.append(sample(f"part_engines_{name}", "count", (gateways, engines), engine_counts, "core"))
        samples.append(sample(f"part_holders_{name}", "count", (gateways, engines), holder_counts, "core"))
    return [
        msgspec.structs.replace(
            cost_sample, subset=subset_size, note="whintrail.subset.assignment.SubsetAssignment"
        )
        for cost_sample in samples
    ]


def build_settings(gateways: int, number: int, dedup_scope: api.DedupScope | None) -> api.Settings:
    """Build settings in which a `SubsetAssignment` depends on the fleet and at most one keyed class."""
    keyed = api.QueryClass(
        name="keyed", target_latency_us=1, target_latency_ratio=1.0, deadline_us=1, effect=api.Effect.BY_KEY,
        dedup_scope=dedup_scope or api.DedupScope.ALL, dedup_window_us=1, worth=1.0, late_share=0.0,
        ordered_by_key=False, zones=None, kinds=None, threads=1, is_load=False, blocked_by_loads=False,
    )  # fmt: skip
    return api.Settings(
        fleet_size=gateways, local_number=number, zone="z0", classes=(keyed,), tenants=(), kind_cores={},
        kind_memory_mb={}, max_memory_grant_share=1, memory_grants_honored=False, priorities_honored=False,
        reports_cost=False, progress_interval_us=0, report_source=api.ReportSource.PROBES,
        probes_allowed=True, cancel_allowed=True, concurrent_attempts_allowed=False,
        peer_messages_allowed=True, retry_after=True, max_retry_after_us=0, max_attempts=None, max_open=None,
        keepalive_us=0, tick_us=5000, list_on_request=False, max_list_age_us=None, warmup_us=0,
        initial_capacity_share=1.0, overload_multiple=None, overload_window_us=0, order_settle_us=0,
        retry_budget_ratio=None, retry_budget_free=0.0, retry_budget_window_us=0, cross_zone_price=0.0,
    )  # fmt: skip


def evaluate_method(name: str, gateways: int, engines: int, subset_size: int) -> list[Sample]:
    """Measure all quantities of one method at one size."""
    method, random = METHODS[name], np.random.default_rng(1)
    ids = np.arange(engines)
    words = hash_words(ids.astype(np.uint64), 99)
    samples: list[Sample] = []

    def add(quantity: str, unit: str, *values: float) -> None:
        new_sample = sample(quantity, unit, (gateways, engines), [float(v) for v in values], "simulated")
        samples.append(msgspec.structs.replace(new_sample, subset=subset_size, note=name))

    assignment = method(gateways, words, subset_size)
    engine_counts = np.bincount(assignment.gateway, minlength=gateways)
    holders = np.bincount(assignment.engine, minlength=engines)
    add(
        "part_engines",
        "count",
        float(engine_counts.min()),
        float(np.median(engine_counts)),
        float(engine_counts.max()),
    )
    add("holders_least", "count", holders.min())
    add("holders_most", "count", holders.max())
    add("holders_cv", "share", coefficient_of_variation(holders))
    add("orphans", "count", int((holders == 0).sum()))
    for sigma in (0.0, 0.5, 1.0):
        traffic_draws = [
            np.exp(random.normal(-sigma * sigma / 2, sigma, gateways)) for _ in range(5 if sigma else 1)
        ]
        for aware in (False, True):
            kind = f"{'aware' if aware else 'plain'}_sigma_{sigma:g}"
            loads_by_draw = [engine_loads(assignment, traffic, engines, aware) for traffic in traffic_draws]
            add(f"load_cv_{kind}", "share", *(coefficient_of_variation(loads) for loads in loads_by_draw))
            add(f"load_most_{kind}", "share", *(float(loads.max()) for loads in loads_by_draw))
    # Churn: engines that a gateway has to add.
    gained_by_adding = [
        count_gained_engines(
            method(gateways, np.delete(words, e), subset_size), np.delete(ids, e), assignment, ids, gateways
        ).mean()
        for e in random.integers(0, engines, 5)
    ]
    gained_by_removal = [
        count_gained_engines(
            assignment, ids, method(gateways, np.delete(words, e), subset_size), np.delete(ids, e), gateways
        ).mean()
        for e in random.integers(0, engines, 5)
    ]
    add("churn_engine_comes", "count", *gained_by_adding)
    add("churn_engine_goes", "count", *gained_by_removal)
    outside_zone = np.flatnonzero(ids % ZONE_COUNT != 0)
    add(
        "churn_zone_goes",
        "count",
        count_gained_engines(
            assignment, ids, method(gateways, words[outside_zone], subset_size), outside_zone, gateways
        ).mean(),
    )
    for added, label in ((1, "one"), (gateways // 10, "tenth")):
        grown = method(gateways + added, words, subset_size)
        add(
            f"churn_fleet_grows_{label}",
            "count",
            count_gained_engines(assignment, ids, grown, ids, gateways).mean(),
        )
    # Loss of gateways, with the assignments of the others unchanged.
    for label, lost in (
        ("block", np.arange(gateways) < gateways // ZONE_COUNT),
        ("stride", np.arange(gateways) % ZONE_COUNT == 0),
    ):
        is_kept = ~lost[assignment.gateway]
        remaining = Assignment(assignment.gateway[is_kept], assignment.engine[is_kept])
        traffic = (~lost).astype(float)
        add(f"orphans_{label}", "count", int((np.bincount(remaining.engine, minlength=engines) == 0).sum()))
        add(
            f"load_most_{label}",
            "share",
            float(engine_loads(remaining, traffic, engines, load_aware=False).max()),
        )
        add(
            f"load_most_aware_{label}",
            "share",
            float(engine_loads(remaining, traffic, engines, load_aware=True).max()),
        )
    partners, sent = report_traffic(assignment, gateways, engines)
    add("memo_partners", "count", *partners[:: max(1, gateways // 200)])
    for batch, (datagrams, bytes_sent) in sent.items():
        add(f"memo_datagrams_sent_per_s{batch}", "datagrams/s", datagrams)
        add(f"memo_bytes_sent_per_s{batch}", "bytes/s", bytes_sent)
    return samples


@click.command()
@click.option("--to", "path", type=click.Path(path_type=Path), default=Path("docs/capacity/ways.json"))
@click.option("--size", type=click.IntRange(8), default=80, show_default=True, help="Engines in a subset.")
@click.option(
    "--seconds", type=click.IntRange(1), default=900, show_default=True, help="The run ends after this time."
)
@click.option(
    "--most", type=click.IntRange(1), default=4000, show_default=True, help="Largest fleet, in gateways."
)
def ways(path: Path, size: int, seconds: int, most: int) -> None:
    """Compare methods of assigning a subset of the engines to each gateway.

    \b
    Examples:
      whintrail scale ways                              all sizes, to docs/capacity/ways.json
      whintrail scale ways --most 200 --to /tmp/w.json  the smallest size alone
    """
    started_at, machine, samples = time.time(), current_machine(), list[Sample]()
    note = "a mean over gateways where one figure stands; one simulated fleet a size, five draws of traffic"
    for gateways, engines in FLEET_SIZES:
        for name in METHODS if gateways <= most else ():
            if time.time() - started_at > seconds:
                click.echo(f"ways: {seconds} s are over; nothing written", err=True)
                raise SystemExit(1)
            click.echo(f"{gateways} x {engines}: {name}", err=True)
            samples += evaluate_method(name, gateways, engines, size)
        if gateways <= most:
            samples += measure_cost(gateways, engines, size)
    save_results(
        path,
        f"whintrail scale ways --size {size} --most {most}",
        started_at,
        machine,
        select_for_file(samples),
        note,
    )
