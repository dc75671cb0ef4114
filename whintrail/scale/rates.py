"""Evaluates what the daily changes and the faults of a fleet mean at a size, each against its budget. Pure.

What each side may do when a budget is exceeded is described in docs/CAPACITY.md.
"""

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
from whintrail.scale.inputs import input_value
from whintrail.scale.rounding import exceeds
from whintrail.scale.rows import (
    CHANGE_BROADCAST_BYTES,
    CHANGES_PER_S,
    CLIENTS_PER_GATEWAY,
    ENTRIES_PER_CHANGE,
    IN_FORCE_BUDGET_S,
    PRIMARY_CHANGE_BUDGET_S,
    REBROADCASTS_PER_ENTRY,
)

CHANGE_INTERVAL_S = 1 / CHANGES_PER_S  # mean
DAY_S = 86_400.0


@dataclass(frozen=True, slots=True)
class Fact:
    """One value to evaluate for an event, with its budget if there is one."""

    key: str
    event: str
    description: str
    unit: str
    evaluate: Callable[[EvaluationPoint], Estimate]
    budget: float | None = None
    budget_name: str = ""


@dataclass(frozen=True, slots=True)
class FactResult:
    """The value of a fact at a size."""

    fact: Fact
    value: Estimate | None
    missing: str  # the quantity that was not measured; empty if none
    used_keys: tuple[MeasurementKey, ...] = ()
    at_largest_measured: tuple[Estimate, tuple[float, float]] | None = None  # the value there, and the size
    is_extrapolated: bool = False  # the size is larger than those measured

    @property
    def is_inconclusive(self) -> bool:
        """Whether it is extrapolated and its range is too wide to conclude anything."""
        return self.value is not None and self.is_extrapolated and self.value.is_wide

    @property
    def is_exceeded(self) -> bool:
        """Whether the value is over the budget; if inconclusive, that at the largest measured size."""
        budget = self.fact.budget
        if self.value is None or budget is None:
            return False
        if self.is_inconclusive and self.at_largest_measured is not None:
            return exceeds(self.at_largest_measured[0].value, budget)
        return exceeds(self.value.value, budget)


def evaluate_fact(fact: Fact, fit_cache: FitCache, size: tuple[float, float] | None = None) -> FactResult:
    """Evaluate a fact at a size, by default the target size."""
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


def _change_in_force(point: EvaluationPoint) -> Estimate:
    return point.estimate("version_in_force_s", "gateways", kind="simulated", note="one after another")


def _change_in_force_p99(point: EvaluationPoint) -> Estimate:
    return point.estimate(
        "version_in_force_s", "gateways", kind="simulated", note="one after another", stat="high"
    )


def _changes_left_over(point: EvaluationPoint) -> Estimate:
    """Return the changes of a day that are not done by its end, if made one after another."""
    in_force = _change_in_force(point)
    done = [
        min(input_value("changes_a_day"), DAY_S / max(1e-9, t))
        for t in (in_force.value, in_force.high, in_force.low)
    ]
    remaining = [input_value("changes_a_day") - m for m in done]
    return Estimate(remaining[0], min(remaining), math.inf if in_force.is_wide else max(remaining))


def _last_burst_change(point: EvaluationPoint) -> Estimate:
    """Return how long the last change of the burst takes with its wait, if made one after another."""
    changes = input_value("burst") * CHANGES_PER_S * input_value("burst_s")
    in_force = _change_in_force(point)
    wait = [
        max(t, changes * t - input_value("burst_s")) for t in (in_force.value, in_force.low, in_force.high)
    ]
    return Estimate(*wait)


def _newcomer_datagrams(point: EvaluationPoint) -> Estimate:
    return point.estimate("state_newcomer_datagrams", "gateways", kind="simulated", day="losses") * (
        point.gateways / input_value("regions")
    )


def _engine_shut(point: EvaluationPoint) -> Estimate:
    list_applied = point.estimate("list_apply_s", "gateways", kind="hollow", day="changes", stat="high")
    return list_applied + exact(input_value("silent_s"))


def _list_events_stall(
    event_count: Callable[[EvaluationPoint], float],
) -> Callable[[EvaluationPoint], Estimate]:
    return lambda point: point.estimate("module_list_delta_us", "engines") * (event_count(point) / 1e6)


def _removal_known(point: EvaluationPoint) -> Estimate:
    return point.estimate("removal_known_s", "gateways", kind="simulated", day="losses")


def _max_gateways_out(point: EvaluationPoint) -> float:
    return input_value("out_share") * point.gateways


REGION_COUNT = input_value("regions")
ZONE_COUNT = input_value("zones")
MISSED_CHANGES = CHANGES_PER_S * input_value("cut_s")
# Events.
MEAN_RATE = "64,000 changes a day"
BURST = "a burst of ten times the mean"
REGION_BACK = "a region back after an hour"
PRIMARY_CHANGES = "26 changes of primary a day"
RESTARTS = "1,800 restarts, 21 failures a day"
RACK_LOST = "a rack: 40 at once"
ZONE_LOST = "a zone"
REGIONS_SPLIT = "two regions apart for an hour"
CONTROL_MACHINE_LOST = "a control machine killed or stopped"

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
        lambda point: exact(input_value("change_round_trips") * input_value("rtt_region_s")),
        IN_FORCE_BUDGET_S,
        "3 s",
    ),
    Fact(
        "mean_near",
        MEAN_RATE,
        "the same inside a region",
        "s",
        lambda point: exact(input_value("change_round_trips") * input_value("rtt_zone_s")),
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
        lambda point: exact(ENTRIES_PER_CHANGE * REBROADCASTS_PER_ENTRY * point.gateways),
    ),
    Fact(
        "mean_bytes",
        MEAN_RATE,
        "bytes at a gateway for one, sent three times",
        "bytes",
        lambda point: exact(CHANGE_BROADCAST_BYTES * REBROADCASTS_PER_ENTRY),
    ),
    Fact(
        "burst_changes",
        BURST,
        "changes in its ten minutes",
        "count",
        lambda point: exact(input_value("burst") * CHANGES_PER_S * input_value("burst_s")),
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
        "bytes at a gateway, if the rate were sustained",
        "bytes/s",
        lambda point: exact(
            CHANGE_BROADCAST_BYTES * REBROADCASTS_PER_ENTRY * CHANGES_PER_S * input_value("burst")
        ),
        input_value("control_bytes_per_s"),
        "4 KB/s",
    ),
    Fact("back_missed", REGION_BACK, "changes that it missed", "count", lambda point: exact(MISSED_CHANGES)),
    Fact(
        "back_entries",
        REGION_BACK,
        "log entries that it missed",
        "count",
        lambda point: exact(MISSED_CHANGES * ENTRIES_PER_CHANGE),
        input_value("entries_kept"),
        "the 128 that are kept; beyond them the whole state",
    ),
    Fact(
        "back_gateways",
        REGION_BACK,
        "gateways that need it",
        "count",
        lambda point: exact(point.gateways / REGION_COUNT),
    ),
    Fact(
        "back_datagrams", REGION_BACK, "datagrams of the state to all of them", "count", _newcomer_datagrams
    ),
    Fact(
        "back_s",
        REGION_BACK,
        "until one holds the state",
        "s",
        lambda point: point.estimate("state_newcomer_s", "gateways", kind="simulated", day="losses"),
        IN_FORCE_BUDGET_S,
        "3 s",
    ),
    Fact(
        "primary_apart",
        PRIMARY_CHANGES,
        "from one to the next, mean",
        "s",
        lambda point: exact(1 / daily_rate_per_s("primary_changes_a_day")),
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
        lambda point: exact(input_value("election_s") + input_value("stated_s")),
        PRIMARY_CHANGE_BUDGET_S,
        "5 s",
    ),
    Fact(
        "primary_events",
        PRIMARY_CHANGES,
        "list events sent for one, to all: leaving, then ready",
        "count",
        lambda point: exact(2 * point.gateways),
    ),
    Fact(
        "restart_apart",
        RESTARTS,
        "from one restart to the next, mean",
        "s",
        lambda point: exact(1 / daily_rate_per_s("restarts_a_day")),
    ),
    Fact(
        "restart_slot",
        RESTARTS,
        "a slot granted, one at a time",
        "s",
        lambda point: point.estimate("slot_s", "gateways", kind="simulated"),
        1 / daily_rate_per_s("restarts_a_day"),
        "one is due each 48 s",
    ),
    Fact(
        "restart_out",
        RESTARTS,
        "out by a slot at a time, mean",
        "count",
        lambda point: exact(
            daily_rate_per_s("restarts_a_day") * (input_value("restart_s") + input_value("proven_s"))
        ),
        input_value("slots_most"),
        "128 slots",
    ),
    Fact(
        "restart_all",
        RESTARTS,
        "all gateways, one slot after another",
        "s",
        lambda point: point.estimate("slot_s", "gateways", kind="simulated") * point.gateways,
    ),
    Fact(
        "failure_days",
        RESTARTS,
        "days until failures that are not given up stop all restarts",
        "days",
        lambda point: exact(_max_gateways_out(point) / input_value("failures_a_day")),
    ),
    Fact("rack_known", RACK_LOST, "gateways gone, known to nine in ten", "s", _removal_known),
    Fact(
        "rack_stand",
        RACK_LOST,
        "engines gone, 40 list events in a row: a gateway stalls for",
        "s",
        _list_events_stall(lambda point: input_value("rack")),
        input_value("answer_slack_ms") / 1e3,
        "the slack of a final answer",
    ),
    Fact(
        "rack_room",
        RACK_LOST,
        "out in the rack's zone, a tenth of it allowed",
        "count",
        lambda point: exact(input_value("rack")),
        input_value("out_zone_share") * target_size()[0] / ZONE_COUNT,
        "21: no restart in that zone until they are back",
    ),
    Fact(
        "zone_gateways",
        ZONE_LOST,
        "gateways gone",
        "count",
        lambda point: exact(point.gateways / ZONE_COUNT),
        input_value("out_share") * target_size()[0],
        "200 out: no restart anywhere until they are back or given up",
    ),
    Fact("zone_engines", ZONE_LOST, "engines gone", "count", lambda point: exact(point.engines / ZONE_COUNT)),
    Fact(
        "zone_load",
        ZONE_LOST,
        "more load on each of the rest",
        "share",
        lambda point: exact(1 / (ZONE_COUNT - 1)),
    ),
    Fact(
        "zone_clients",
        ZONE_LOST,
        "clients that reconnect, per remaining gateway",
        "count",
        lambda point: exact(CLIENTS_PER_GATEWAY / (ZONE_COUNT - 1)),
    ),
    Fact("zone_known", ZONE_LOST, "gateways gone, known to nine in ten", "s", _removal_known),
    Fact(
        "zone_stand",
        ZONE_LOST,
        "a list event for each engine: a gateway stalls for",
        "s",
        _list_events_stall(lambda point: point.engines / ZONE_COUNT),
        input_value("answer_slack_ms") / 1e3,
        "the slack of a final answer",
    ),
    Fact(
        "apart_gateways",
        REGIONS_SPLIT,
        "gateways without a lease, cut from the leader alone",
        "count",
        lambda point: exact(point.gateways / REGION_COUNT),
        input_value("out_share") * target_size()[0],
        "200 out: no restart anywhere for the hour",
    ),
    Fact(
        "apart_t",
        REGIONS_SPLIT,
        "until they act on the stricter of two, at most",
        "s",
        lambda point: exact(input_value("stated_s")),
        IN_FORCE_BUDGET_S,
        "3 s",
    ),
    Fact(
        "apart_dropped",
        REGIONS_SPLIT,
        "changes that can't be made: each is dropped without their confirmation",
        "count",
        lambda point: exact(MISSED_CHANGES),
        0.0,
        "none",
    ),
    Fact(
        "carrier_s",
        CONTROL_MACHINE_LOST,
        "a new leader: election and T, at most",
        "s",
        lambda point: exact(input_value("election_s") + input_value("stated_s")),
        PRIMARY_CHANGE_BUDGET_S,
        "5 s",
    ),
    Fact(
        "carrier_leases",
        CONTROL_MACHINE_LOST,
        "a lease outlives it by at most",
        "s",
        lambda point: exact(input_value("lease_s")),
    ),
)
