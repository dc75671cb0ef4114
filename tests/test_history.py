"""The event history and its data structures: memory limit, accuracy, and nothing left of removed engines."""

import math
import tracemalloc
from contextlib import suppress
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from whintrail import interface as api
from whintrail.structures.sketch import QuantileSketch, SketchError
from whintrail.timeline.columns import ROW_BYTES, Columns
from whintrail.timeline.core import Timeline
from whintrail.timeline.detector import Thresholds
from whintrail.timeline.events import Kind
from whintrail.timeline.history import TRACK_BYTES
from whintrail.timeline.rollups import Bucket

from .helpers import engine

SECOND_US = 1_000_000
START_US = 1_790_000_000 * SECOND_US
sample_values = st.lists(st.floats(0.002, 1e7), min_size=1, max_size=300)


def make_timeline(memory: int = 1 << 20, raw_s: int = 300) -> Timeline:
    return Timeline(memory, raw_s * SECOND_US, Thresholds(), ("short",), 15 * SECOND_US)


def engine_list(*names: str, state: api.EngineState = api.EngineState.READY) -> api.EngineListReceived:
    return api.EngineListReceived(api.ListKind.DELTA, tuple(engine(name, state=state) for name in names))


@settings(max_examples=100, deadline=None, derandomize=True)
@given(sample_values, sample_values, st.floats(0, 1))
def test_a_merged_and_encoded_sketch_is_accurate_to_two_per_cent(
    a: list[float], b: list[float], q: float
) -> None:
    first, second = QuantileSketch(), QuantileSketch()
    for value in a:
        first.add(value)
    for value in b:
        second.add(value)
    first.merge(second)
    decoded = QuantileSketch.decode(first.encode())
    assert (decoded.bins, decoded.count) == (first.bins, len(a) + len(b))
    exact = sorted(a + b)[math.floor(q * (len(a) + len(b) - 1))]
    assert decoded.quantile(q) == pytest.approx(exact, rel=0.0201)


@given(st.binary(max_size=40))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_arbitrary_bytes_are_refused_or_read_as_a_sketch(data: bytes) -> None:
    with suppress(SketchError):
        QuantileSketch.decode(data)


def test_columns_keep_the_newest_and_number_them() -> None:
    columns = Columns(100 * 1024)
    for number in range(20_000):
        columns.add(START_US + number, number % 7, 4, 1, number, 0.5)
    assert columns.used_bytes <= 100 * 1024 + columns.rows_per_chunk * ROW_BYTES
    rows, next_number, dropped = columns.read_from(0, 100)
    assert (
        dropped == columns.dropped_rows
        and rows[0][4] == columns.dropped_rows
        and next_number == dropped + 100
    )
    slot_rows = list(columns.rows(3, START_US + 19_000))
    assert [row[4] for row in slot_rows] == [n for n in range(19_000, 20_000) if n % 7 == 3]


def test_rollups_add_up_on_every_level() -> None:
    timeline, random = make_timeline(), Random(1)
    timeline.record_engine_list(START_US, engine_list("e1"))
    sent = 0
    for second in range(200):
        now = START_US + second * SECOND_US
        for _ in range(random.randrange(6)):
            sent += 1
            timeline.record_sent(now, "e1", sent, 0, "short", 1e5)
            timeline.record_ended(now + 1000, "e1", sent, 0, api.Outcome.OK, random.randrange(1, 90) * 1000)
    for level in range(3):
        buckets = timeline.history.buckets("e1", level)
        total = sum(bucket.ok for bucket in buckets)
        # Open buckets of finer levels are not yet merged into the coarser ones.
        open_finer = sum(timeline.history.tracks["e1"].open_buckets[finer].ok for finer in range(level))
        assert total + open_finer >= sent - (sent if level == 0 else 0) and total <= sent
        assert total + open_finer == sent or level == 0
    assert len(timeline.history.buckets("e1", 0)) <= 181


def test_a_sealed_bucket_is_read_back_as_it_was() -> None:
    bucket = Bucket(at_us=START_US, sends=3, ok=2, errors=1, max_load=0.5, load_sum=1.5, load_reports=3)
    bucket.latency.add(12.0)
    decoded = Bucket.from_bytes(bucket.to_bytes())
    assert decoded.to_bytes() == bucket.to_bytes() and decoded.summary() == bucket.summary()


def test_five_thousand_engines_come_and_go_within_the_stated_memory() -> None:
    max_bytes = 1 << 20
    tracemalloc.start()
    timeline = make_timeline(max_bytes, raw_s=30)
    traced_before = tracemalloc.get_traced_memory()[0]
    for number in range(5000):
        now = START_US + number * SECOND_US // 10
        name = f"engine-{number}"
        timeline.record_engine_list(now, engine_list(name))
        for query in range(6):
            timeline.record_sent(now, name, number * 10 + query, 0, "short", 1e5)
            timeline.record_ended(now + 5000, name, number * 10 + query, 0, api.Outcome.OK, 5000)
        if number >= 20:
            timeline.record_engine_list(
                now, engine_list(f"engine-{number - 20}", state=api.EngineState.REMOVED)
            )
        if number % 3 == 0:
            timeline.tick(now)
    grown_bytes = tracemalloc.get_traced_memory()[0] - traced_before
    tracemalloc.stop()
    assert timeline.history.used_bytes <= max_bytes and grown_bytes <= 1.5 * max_bytes
    assert len(timeline.history.tracks) <= max_bytes // 2 // TRACK_BYTES + 20
    assert len(timeline.history.slot_names) <= 2 * len(timeline.history.tracks) + 64 + 300 * 10
    assert len(timeline.detector.engines) <= len(timeline.history.tracks) + 20


def test_decisions_of_one_kind_are_recorded_once_a_second_with_their_count() -> None:
    timeline = make_timeline()
    timeline.record_engine_list(START_US, engine_list("e1"))
    for number in range(500):
        timeline.record_decisions(
            START_US + number * 4000, [api.EngineDecision("e1", api.Reason.COLD_BUDGET_SPENT, number)]
        )
        timeline.tick(START_US + number * 4000)
    timeline.tick(START_US + 10 * SECOND_US)
    rows = [row for row in timeline.history.rows("e1") if row.kind is Kind.DECIDED]
    assert sum(row.a for row in rows) == 500 and len(rows) <= 6
    assert sum(bucket.passed_over for bucket in timeline.history.buckets("e1", 0)) == 500


def test_the_routing_policy_logs_why_it_passed_over_an_engine() -> None:
    from .helpers import PolicyDriver
    from .helpers import settings as given_settings

    cold = engine("e1", started_us=99 * SECOND_US)
    driver = PolicyDriver(given_settings(overload_multiple=0.1), cold, engine("e2"))
    driver.policy.decision_log = []
    driver.serve_queries()
    driver.finish_attempt(999, api.Outcome.OK)
    for query in range(60):
        driver.arrive_query(query)
    reasons = {decision.reason for decision in driver.policy.decision_log if decision.engine == "e1"}
    assert api.Reason.COLD_BUDGET_SPENT in reasons
    assert len(driver.policy.decision_log) <= 256
    driver.policy.decision_log = []
    driver.finish_attempt(0, api.Outcome.CONNECT_FAILED)
    driver.receive_engine_list(engine("e2", state=api.EngineState.DRAINING), kind=api.ListKind.DELTA)
    later_reasons = {decision.reason for decision in driver.policy.decision_log}
    assert {api.Reason.BACKOFF_STARTED, api.Reason.DRAINED} <= later_reasons


def test_logging_decisions_changes_none_of_them() -> None:
    from .helpers import PolicyDriver
    from .helpers import settings as given_settings

    def run_queries(log_decisions: bool) -> list[api.Action]:
        driver = PolicyDriver(given_settings(), *(engine(f"e{n}") for n in range(4)))
        driver.policy.decision_log = [] if log_decisions else None
        random = Random(5)
        driver.serve_queries()
        for query in range(300):
            driver.arrive_query(query, cost_us=random.choice([1e5, 2e6]))
            outcome = random.choice([api.Outcome.OK, api.Outcome.FULL, api.Outcome.RESET])
            driver.finish_attempt(random.randrange(query + 1), outcome)
            driver.advance(50_000)
            if log_decisions:
                driver.policy.decision_log = []
        return driver.actions

    assert run_queries(True) == run_queries(False)
