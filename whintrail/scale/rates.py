"""Rates of change worked through at a size: what each day or fault brings, and the budget it is held against.
Pure. What each side may do then is prose: docs/CAPACITY.md."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from whintrail.scale.capacity import (
    Estimate,
    EvaluationPoint,
    FitCache,
    MeasurementKey,
    NotMeasured,
    daily_rate_per_s,
    evaluate_at_largest_measured,
    exact,
    is_extrapolated,
    target_size,
)
from whintrail.scale.inputs import input_value as given
from whintrail.scale.rows import (
    CHANGE_BROADCAST_BYTES,
    CHANGES_PER_S,
    CLIENTS_PER_GATEWAY,
    ENTRIES_PER_CHANGE,
    IN_FORCE_BUDGET_S,
    PRIMARY_CHANGE_BUDGET_S,
    REBROADCASTS_PER_ENTRY,
)

CHANGE_INTERVAL_S = 1 / CHANGES_PER_S  # seconds from one change to the next, in the mean
DAY_S = 86_400.0


@dataclass(frozen=True, slots=True)
class Fact:
    key: str
    event: str
    description: str
    unit: str
    evaluate: Callable[[EvaluationPoint], Estimate]
    budget: float | None = None
    budget_name: str = ""


@dataclass(frozen=True, slots=True)
class FactResult:
    fact: Fact
    value: Estimate | None
    missing: str
    used_keys: tuple[MeasurementKey, ...] = ()
    at_largest_measured: tuple[Estimate, tuple[float, float]] | None = (
        None  # at the greatest size of what it rests on
    )
    is_extrapolated: bool = False  # the sizes at which what it rests on was taken

    @property
    def is_inconclusive(self) -> bool:
        """Beyond the sizes taken, and its range tells nothing."""
        return self.value is not None and self.is_extrapolated and self.value.is_wide

    @property
    def is_exceeded(self) -> bool:
        budget = self.fact.budget
        if self.value is None or budget is None:
            return False
        if self.is_inconclusive and self.at_largest_measured is not None:
            return self.at_largest_measured[0].value > budget  # there already
        return self.value.value > budget


def evaluate_fact(fact: Fact, fit_cache: FitCache, size: tuple[float, float] | None = None) -> FactResult:
    at = EvaluationPoint(*(size or target_size()), fit_cache)
    try:
        value = fact.evaluate(at)
        return FactResult(
            fact,
            value,
            "",
            tuple(at.used_keys),
            evaluate_at_largest_measured(fact.evaluate, at.used_keys, fit_cache),
            is_extrapolated(at),
        )
    except NotMeasured as error:
        return FactResult(fact, None, str(error), tuple(at.used_keys))


def _change_in_force(s: EvaluationPoint) -> Estimate:
    return s.estimate("version_in_force_s", "gateways", kind="simulated", note="one after another")


def _change_in_force_p99(s: EvaluationPoint) -> Estimate:
    return s.estimate(
        "version_in_force_s", "gateways", kind="simulated", note="one after another", stat="high"
    )


def _changes_left_over(s: EvaluationPoint) -> Estimate:
    """Changes of a day that are not made by its end; of a longer time, more."""
    one = _change_in_force(s)
    made = [min(given("changes_a_day"), DAY_S / max(1e-9, t)) for t in (one.value, one.high, one.low)]
    left = [given("changes_a_day") - m for m in made]
    return Estimate(left[0], min(left), math.inf if one.is_wide else max(left))


def _last_burst_change(s: EvaluationPoint) -> Estimate:
    """How long the burst's last change waits and takes, where they go one after another."""
    changes = given("burst") * CHANGES_PER_S * given("burst_s")
    one = _change_in_force(s)
    wait = [max(t, changes * t - given("burst_s")) for t in (one.value, one.low, one.high)]
    return Estimate(*wait)


def _newcomer_datagrams(s: EvaluationPoint) -> Estimate:
    return s.estimate("state_newcomer_datagrams", "gateways", kind="simulated", day="losses") * (
        s.gateways / given("regions")
    )


def _engine_shut(s: EvaluationPoint) -> Estimate:
    heard = s.estimate("list_apply_s", "gateways", kind="hollow", day="changes", stat="high")
    return heard + exact(given("silent_s"))


def _list_events_stall(
    event_count: Callable[[EvaluationPoint], float],
) -> Callable[[EvaluationPoint], Estimate]:
    return lambda s: s.estimate("module_list_delta_us", "engines") * (event_count(s) / 1e6)


def _removal_known(s: EvaluationPoint) -> Estimate:
    return s.estimate("removal_known_s", "gateways", kind="simulated", day="losses")


def _max_gateways_out(s: EvaluationPoint) -> float:
    return given("out_share") * s.gateways


REGION_COUNT, ZONE_COUNT = given("regions"), given("zones")
MISSED_CHANGES = CHANGES_PER_S * given("cut_s")
MEAN_RATE, BURST, REGION_BACK = (
    "64,000 changes a day",
    "a burst of ten times the mean",
    "a region back after an hour",
)
PRIMARY_CHANGES, RESTARTS, RACK_LOST = (
    "26 changes of primary a day",
    "1,800 restarts, 21 failures a day",
    "a rack: 40 at once",
)
ZONE_LOST, REGIONS_SPLIT, CONTROL_MACHINE_LOST = (
    "a zone",
    "two regions apart for an hour",
    "a control machine killed or stopped",
)

FACTS: tuple[Fact, ...] = (
    Fact(
        "mean_one",
        MEAN_RATE,
        "one change, until all act on it",
        "s",
        _change_in_force,
        CHANGE_INTERVAL_S,
        "one is due each 1.35 s",
    ),
    Fact("mean_p99", MEAN_RATE, "the same, p99", "s", _change_in_force_p99, IN_FORCE_BUDGET_S, "3 s"),
    Fact(
        "mean_far",
        MEAN_RATE,
        "round trips of one change alone, the leader in the farthest region",
        "s",
        lambda s: exact(given("change_round_trips") * given("rtt_region_s")),
        IN_FORCE_BUDGET_S,
        "3 s",
    ),
    Fact(
        "mean_near",
        MEAN_RATE,
        "the same inside a region",
        "s",
        lambda s: exact(given("change_round_trips") * given("rtt_zone_s")),
        IN_FORCE_BUDGET_S,
        "3 s",
    ),
    Fact(
        "mean_left", MEAN_RATE, "changes not made by the day's end", "count", _changes_left_over, 0.0, "none"
    ),
    Fact(
        "mean_told",
        MEAN_RATE,
        "datagrams out of the leader for one",
        "count",
        lambda s: exact(ENTRIES_PER_CHANGE * REBROADCASTS_PER_ENTRY * s.gateways),
    ),
    Fact(
        "mean_bytes",
        MEAN_RATE,
        "bytes at a gateway for one, told three times",
        "bytes",
        lambda s: exact(CHANGE_BROADCAST_BYTES * REBROADCASTS_PER_ENTRY),
    ),
    Fact(
        "burst_changes",
        BURST,
        "changes in its ten minutes",
        "count",
        lambda s: exact(given("burst") * CHANGES_PER_S * given("burst_s")),
    ),
    Fact(
        "burst_last",
        BURST,
        "the last one in force, one after another",
        "s",
        _last_burst_change,
        IN_FORCE_BUDGET_S,
        "3 s",
    ),
    Fact(
        "burst_bytes",
        BURST,
        "bytes at a gateway, if the pace were held",
        "bytes/s",
        lambda s: exact(CHANGE_BROADCAST_BYTES * REBROADCASTS_PER_ENTRY * CHANGES_PER_S * given("burst")),
        given("control_bytes_per_s"),
        "4 KB/s",
    ),
    Fact("back_missed", REGION_BACK, "changes that it missed", "count", lambda s: exact(MISSED_CHANGES)),
    Fact(
        "back_entries",
        REGION_BACK,
        "entries of the log that it missed",
        "count",
        lambda s: exact(MISSED_CHANGES * ENTRIES_PER_CHANGE),
        given("entries_kept"),
        "the 128 that are kept; past them the whole state",
    ),
    Fact(
        "back_gateways",
        REGION_BACK,
        "gateways that need it",
        "count",
        lambda s: exact(s.gateways / REGION_COUNT),
    ),
    Fact(
        "back_datagrams", REGION_BACK, "datagrams of the state to all of them", "count", _newcomer_datagrams
    ),
    Fact(
        "back_s",
        REGION_BACK,
        "until one holds the state",
        "s",
        lambda s: s.estimate("state_newcomer_s", "gateways", kind="simulated", day="losses"),
        IN_FORCE_BUDGET_S,
        "3 s",
    ),
    Fact(
        "primary_apart",
        PRIMARY_CHANGES,
        "from one to the next, mean",
        "s",
        lambda s: exact(1 / daily_rate_per_s("primary_changes_a_day")),
    ),
    Fact(
        "primary_shut",
        PRIMARY_CHANGES,
        "an engine silent, then its list event held by all, p99",
        "s",
        _engine_shut,
        PRIMARY_CHANGE_BUDGET_S,
        "5 s",
    ),
    Fact(
        "primary_home",
        PRIMARY_CHANGES,
        "a home of loads moved: a change of settings, p99",
        "s",
        _change_in_force_p99,
        PRIMARY_CHANGE_BUDGET_S,
        "5 s",
    ),
    Fact(
        "primary_leader",
        PRIMARY_CHANGES,
        "a council's leader: election and T, at most",
        "s",
        lambda s: exact(given("election_s") + given("stated_s")),
        PRIMARY_CHANGE_BUDGET_S,
        "5 s",
    ),
    Fact(
        "primary_events",
        PRIMARY_CHANGES,
        "list events told for one, to all: leaving, then ready",
        "count",
        lambda s: exact(2 * s.gateways),
    ),
    Fact(
        "restart_apart",
        RESTARTS,
        "from one restart to the next, mean",
        "s",
        lambda s: exact(1 / daily_rate_per_s("restarts_a_day")),
    ),
    Fact(
        "restart_slot",
        RESTARTS,
        "a slot granted, one at a time",
        "s",
        lambda s: s.estimate("slot_s", "gateways", kind="simulated"),
        1 / daily_rate_per_s("restarts_a_day"),
        "one is due each 48 s",
    ),
    Fact(
        "restart_out",
        RESTARTS,
        "out by a slot at a time, mean",
        "count",
        lambda s: exact(daily_rate_per_s("restarts_a_day") * (given("restart_s") + given("proven_s"))),
        given("slots_most"),
        "128 slots",
    ),
    Fact(
        "restart_all",
        RESTARTS,
        "all gateways, one slot after another",
        "s",
        lambda s: s.estimate("slot_s", "gateways", kind="simulated") * s.gateways,
    ),
    Fact(
        "failure_days",
        RESTARTS,
        "days until failures that nobody gives up stop all restarts",
        "days",
        lambda s: exact(_max_gateways_out(s) / given("failures_a_day")),
    ),
    Fact("rack_known", RACK_LOST, "gateways gone, known to nine in ten", "s", _removal_known),
    Fact(
        "rack_stand",
        RACK_LOST,
        "engines gone, 40 list events in a row: a gateway stands",
        "s",
        _list_events_stall(lambda s: given("rack")),
        given("answer_slack_ms") / 1e3,
        "the slack of a final answer",
    ),
    Fact(
        "rack_room",
        RACK_LOST,
        "out in the rack's zone, a tenth of it allowed",
        "count",
        lambda s: exact(given("rack")),
        given("out_zone_share") * target_size()[0] / ZONE_COUNT,
        "21: no restart in that zone until they are back",
    ),
    Fact(
        "zone_gateways",
        ZONE_LOST,
        "gateways gone",
        "count",
        lambda s: exact(s.gateways / ZONE_COUNT),
        given("out_share") * target_size()[0],
        "200 out: no restart anywhere until they are back or given up",
    ),
    Fact("zone_engines", ZONE_LOST, "engines gone", "count", lambda s: exact(s.engines / ZONE_COUNT)),
    Fact(
        "zone_load",
        ZONE_LOST,
        "more load on each of the rest",
        "share",
        lambda s: exact(1 / (ZONE_COUNT - 1)),
    ),
    Fact(
        "zone_clients",
        ZONE_LOST,
        "clients that connect anew, a gateway left",
        "count",
        lambda s: exact(CLIENTS_PER_GATEWAY / (ZONE_COUNT - 1)),
    ),
    Fact("zone_known", ZONE_LOST, "gateways gone, known to nine in ten", "s", _removal_known),
    Fact(
        "zone_stand",
        ZONE_LOST,
        "a list event for each engine: a gateway stands",
        "s",
        _list_events_stall(lambda s: s.engines / ZONE_COUNT),
        given("answer_slack_ms") / 1e3,
        "the slack of a final answer",
    ),
    Fact(
        "apart_gateways",
        REGIONS_SPLIT,
        "gateways without a lease, cut from the leader alone",
        "count",
        lambda s: exact(s.gateways / REGION_COUNT),
        given("out_share") * target_size()[0],
        "200 out: no restart anywhere for the hour",
    ),
    Fact(
        "apart_t",
        REGIONS_SPLIT,
        "until they act on the stricter of two, at most",
        "s",
        lambda s: exact(given("stated_s")),
        IN_FORCE_BUDGET_S,
        "3 s",
    ),
    Fact(
        "apart_dropped",
        REGIONS_SPLIT,
        "changes that can not be made: each drops for want of their word",
        "count",
        lambda s: exact(MISSED_CHANGES),
        0.0,
        "none",
    ),
    Fact(
        "carrier_s",
        CONTROL_MACHINE_LOST,
        "a leader anew: election and T, at most",
        "s",
        lambda s: exact(given("election_s") + given("stated_s")),
        PRIMARY_CHANGE_BUDGET_S,
        "5 s",
    ),
    Fact(
        "carrier_leases",
        CONTROL_MACHINE_LOST,
        "a lease outlives it by, at most",
        "s",
        lambda s: exact(given("lease_s")),
    ),
)
