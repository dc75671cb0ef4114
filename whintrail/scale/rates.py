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

DUE = 1 / CHANGES_PER_S  # seconds from one change to the next, in the mean
DAY = 86_400.0


@dataclass(frozen=True, slots=True)
class Fact:
    key: str
    event: str
    what: str
    unit: str
    value: Callable[[EvaluationPoint], Estimate]
    budget: float | None = None
    budget_name: str = ""


@dataclass(frozen=True, slots=True)
class Reckoned:
    fact: Fact
    value: Estimate | None
    missing: str
    used: tuple[MeasurementKey, ...] = ()
    taken: tuple[Estimate, tuple[float, float]] | None = None  # at the greatest size of what it rests on
    beyond: bool = False  # the sizes at which what it rests on was taken

    @property
    def untold(self) -> bool:
        """Beyond the sizes taken, and its range tells nothing."""
        return self.value is not None and self.beyond and self.value.is_wide

    @property
    def passed(self) -> bool:
        budget = self.fact.budget
        if self.value is None or budget is None:
            return False
        if self.untold and self.taken is not None:
            return self.taken[0].value > budget  # there already
        return self.value.value > budget


def reckon(fact: Fact, figures: FitCache, size: tuple[float, float] | None = None) -> Reckoned:
    at = EvaluationPoint(*(size or target_size()), figures)
    try:
        value = fact.value(at)
        return Reckoned(
            fact,
            value,
            "",
            tuple(at.used_keys),
            evaluate_at_largest_measured(fact.value, at.used_keys, figures),
            is_extrapolated(at),
        )
    except NotMeasured as error:
        return Reckoned(fact, None, str(error), tuple(at.used_keys))


def _one(s: EvaluationPoint) -> Estimate:
    return s.estimate("version_in_force_s", "gateways", kind="simulated", note="one after another")


def _one_p99(s: EvaluationPoint) -> Estimate:
    return s.estimate(
        "version_in_force_s", "gateways", kind="simulated", note="one after another", stat="high"
    )


def _left_at_night(s: EvaluationPoint) -> Estimate:
    """Changes of a day that are not made by its end; of a longer time, more."""
    one = _one(s)
    made = [min(given("changes_a_day"), DAY / max(1e-9, t)) for t in (one.value, one.high, one.low)]
    left = [given("changes_a_day") - m for m in made]
    return Estimate(left[0], min(left), math.inf if one.is_wide else max(left))


def _burst_last(s: EvaluationPoint) -> Estimate:
    """How long the burst's last change waits and takes, where they go one after another."""
    changes = given("burst") * CHANGES_PER_S * given("burst_s")
    one = _one(s)
    wait = [max(t, changes * t - given("burst_s")) for t in (one.value, one.low, one.high)]
    return Estimate(*wait)


def _newcomers(s: EvaluationPoint) -> Estimate:
    return s.estimate("state_newcomer_datagrams", "gateways", kind="simulated", day="losses") * (
        s.gateways / given("regions")
    )


def _engine_shut(s: EvaluationPoint) -> Estimate:
    heard = s.estimate("list_apply_s", "gateways", kind="hollow", day="changes", stat="high")
    return heard + exact(given("silent_s"))


def _stand(events: Callable[[EvaluationPoint], float]) -> Callable[[EvaluationPoint], Estimate]:
    return lambda s: s.estimate("module_list_delta_us", "engines") * (events(s) / 1e6)


def _known(s: EvaluationPoint) -> Estimate:
    return s.estimate("removal_known_s", "gateways", kind="simulated", day="losses")


def _out_most(s: EvaluationPoint) -> float:
    return given("out_share") * s.gateways


REGION, ZONE = given("regions"), given("zones")
MISSED = CHANGES_PER_S * given("cut_s")
MEAN, BURST, BACK = "64,000 changes a day", "a burst of ten times the mean", "a region back after an hour"
PRIMARIES, RESTARTS, RACK = (
    "26 changes of primary a day",
    "1,800 restarts, 21 failures a day",
    "a rack: 40 at once",
)
A_ZONE, APART, CARRIER = "a zone", "two regions apart for an hour", "a control machine killed or stopped"

FACTS: tuple[Fact, ...] = (
    Fact("mean_one", MEAN, "one change, until all act on it", "s", _one, DUE, "one is due each 1.35 s"),
    Fact("mean_p99", MEAN, "the same, p99", "s", _one_p99, IN_FORCE_BUDGET_S, "3 s"),
    Fact(
        "mean_far",
        MEAN,
        "round trips of one change alone, the leader in the farthest region",
        "s",
        lambda s: exact(given("change_round_trips") * given("rtt_region_s")),
        IN_FORCE_BUDGET_S,
        "3 s",
    ),
    Fact(
        "mean_near",
        MEAN,
        "the same inside a region",
        "s",
        lambda s: exact(given("change_round_trips") * given("rtt_zone_s")),
        IN_FORCE_BUDGET_S,
        "3 s",
    ),
    Fact("mean_left", MEAN, "changes not made by the day's end", "count", _left_at_night, 0.0, "none"),
    Fact(
        "mean_told",
        MEAN,
        "datagrams out of the leader for one",
        "count",
        lambda s: exact(ENTRIES_PER_CHANGE * REBROADCASTS_PER_ENTRY * s.gateways),
    ),
    Fact(
        "mean_bytes",
        MEAN,
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
        _burst_last,
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
    Fact("back_missed", BACK, "changes that it missed", "count", lambda s: exact(MISSED)),
    Fact(
        "back_entries",
        BACK,
        "entries of the log that it missed",
        "count",
        lambda s: exact(MISSED * ENTRIES_PER_CHANGE),
        given("entries_kept"),
        "the 128 that are kept; past them the whole state",
    ),
    Fact("back_gateways", BACK, "gateways that need it", "count", lambda s: exact(s.gateways / REGION)),
    Fact("back_datagrams", BACK, "datagrams of the state to all of them", "count", _newcomers),
    Fact(
        "back_s",
        BACK,
        "until one holds the state",
        "s",
        lambda s: s.estimate("state_newcomer_s", "gateways", kind="simulated", day="losses"),
        IN_FORCE_BUDGET_S,
        "3 s",
    ),
    Fact(
        "primary_apart",
        PRIMARIES,
        "from one to the next, mean",
        "s",
        lambda s: exact(1 / daily_rate_per_s("primary_changes_a_day")),
    ),
    Fact(
        "primary_shut",
        PRIMARIES,
        "an engine silent, then its list event held by all, p99",
        "s",
        _engine_shut,
        PRIMARY_CHANGE_BUDGET_S,
        "5 s",
    ),
    Fact(
        "primary_home",
        PRIMARIES,
        "a home of loads moved: a change of settings, p99",
        "s",
        _one_p99,
        PRIMARY_CHANGE_BUDGET_S,
        "5 s",
    ),
    Fact(
        "primary_leader",
        PRIMARIES,
        "a council's leader: election and T, at most",
        "s",
        lambda s: exact(given("election_s") + given("stated_s")),
        PRIMARY_CHANGE_BUDGET_S,
        "5 s",
    ),
    Fact(
        "primary_events",
        PRIMARIES,
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
        lambda s: exact(_out_most(s) / given("failures_a_day")),
    ),
    Fact("rack_known", RACK, "gateways gone, known to nine in ten", "s", _known),
    Fact(
        "rack_stand",
        RACK,
        "engines gone, 40 list events in a row: a gateway stands",
        "s",
        _stand(lambda s: given("rack")),
        given("answer_slack_ms") / 1e3,
        "the slack of a final answer",
    ),
    Fact(
        "rack_room",
        RACK,
        "out in the rack's zone, a tenth of it allowed",
        "count",
        lambda s: exact(given("rack")),
        given("out_zone_share") * target_size()[0] / ZONE,
        "21: no restart in that zone until they are back",
    ),
    Fact(
        "zone_gateways",
        A_ZONE,
        "gateways gone",
        "count",
        lambda s: exact(s.gateways / ZONE),
        given("out_share") * target_size()[0],
        "200 out: no restart anywhere until they are back or given up",
    ),
    Fact("zone_engines", A_ZONE, "engines gone", "count", lambda s: exact(s.engines / ZONE)),
    Fact("zone_load", A_ZONE, "more load on each of the rest", "share", lambda s: exact(1 / (ZONE - 1))),
    Fact(
        "zone_clients",
        A_ZONE,
        "clients that connect anew, a gateway left",
        "count",
        lambda s: exact(CLIENTS_PER_GATEWAY / (ZONE - 1)),
    ),
    Fact("zone_known", A_ZONE, "gateways gone, known to nine in ten", "s", _known),
    Fact(
        "zone_stand",
        A_ZONE,
        "a list event for each engine: a gateway stands",
        "s",
        _stand(lambda s: s.engines / ZONE),
        given("answer_slack_ms") / 1e3,
        "the slack of a final answer",
    ),
    Fact(
        "apart_gateways",
        APART,
        "gateways without a lease, cut from the leader alone",
        "count",
        lambda s: exact(s.gateways / REGION),
        given("out_share") * target_size()[0],
        "200 out: no restart anywhere for the hour",
    ),
    Fact(
        "apart_t",
        APART,
        "until they act on the stricter of two, at most",
        "s",
        lambda s: exact(given("stated_s")),
        IN_FORCE_BUDGET_S,
        "3 s",
    ),
    Fact(
        "apart_dropped",
        APART,
        "changes that can not be made: each drops for want of their word",
        "count",
        lambda s: exact(MISSED),
        0.0,
        "none",
    ),
    Fact(
        "carrier_s",
        CARRIER,
        "a leader anew: election and T, at most",
        "s",
        lambda s: exact(given("election_s") + given("stated_s")),
        PRIMARY_CHANGE_BUDGET_S,
        "5 s",
    ),
    Fact(
        "carrier_leases", CARRIER, "a lease outlives it by, at most", "s", lambda s: exact(given("lease_s"))
    ),
)
