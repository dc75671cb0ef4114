"""The record and its structures: bounded, exact where they claim to be, and nothing left behind."""

import math
import tracemalloc
from contextlib import suppress
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from whintrail import interface as api
from whintrail.structures.sketch import Sketch, SketchError
from whintrail.timeline.columns import ROW_BYTES, Columns
from whintrail.timeline.core import Timeline
from whintrail.timeline.judge import Thresholds
from whintrail.timeline.kinds import Kind
from whintrail.timeline.record import TRACK_BYTES
from whintrail.timeline.rollups import Bucket

from .helpers import engine

SECOND = 1_000_000
START = 1_790_000_000 * SECOND
values = st.lists(st.floats(0.002, 1e7), min_size=1, max_size=300)


def timeline(memory: int = 1 << 20, raw_s: int = 300) -> Timeline:
    return Timeline(memory, raw_s * SECOND, Thresholds(), ("short",), 15 * SECOND)


def listing(*names: str, state: api.EngineState = api.EngineState.READY) -> api.EngineList:
    return api.EngineList(api.ListKind.DELTA, tuple(engine(name, state=state) for name in names))


@settings(max_examples=100, deadline=None, derandomize=True)
@given(values, values, st.floats(0, 1))
def test_a_sketch_is_right_to_two_per_cent_merged_and_encoded(
    a: list[float], b: list[float], q: float
) -> None:
    one, two = Sketch(), Sketch()
    for value in a:
        one.add(value)
    for value in b:
        two.add(value)
    one.merge(two)
    again = Sketch.decode(one.encode())
    assert (again.bins, again.count) == (one.bins, len(a) + len(b))
    exact = sorted(a + b)[math.floor(q * (len(a) + len(b) - 1))]
    assert again.quantile(q) == pytest.approx(exact, rel=0.0201)


@given(st.binary(max_size=40))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_bytes_that_are_no_sketch_are_refused_or_read(data: bytes) -> None:
    with suppress(SketchError):
        Sketch.decode(data)


def test_columns_keep_the_newest_and_number_them() -> None:
    columns = Columns(100 * 1024)
    for number in range(20_000):
        columns.add(START + number, number % 7, 4, 1, number, 0.5)
    assert columns.bytes <= 100 * 1024 + columns.rows_a_chunk * ROW_BYTES
    rows, after, gone = columns.after(0, 100)
    assert gone == columns.dropped and rows[0][4] == columns.dropped and after == gone + 100
    mine = list(columns.rows(3, START + 19_000))
    assert [row[4] for row in mine] == [n for n in range(19_000, 20_000) if n % 7 == 3]


def test_rollups_add_up_on_every_level() -> None:
    line, random = timeline(), Random(1)
    line.listed(START, listing("e1"))
    sent = 0
    for second in range(200):
        now = START + second * SECOND
        for _ in range(random.randrange(6)):
            sent += 1
            line.sent(now, "e1", sent, 0, "short", 1e5)
            line.ended(now + 1000, "e1", sent, 0, api.Outcome.OK, random.randrange(1, 90) * 1000)
    for level in range(3):
        buckets = line.record.rolled_up("e1", level)
        total = sum(bucket.ok for bucket in buckets)
        # What the open buckets of finer levels hold is not yet in the coarser ones.
        open_finer = sum(line.record.tracks["e1"].buckets[finer].ok for finer in range(level))
        assert total + open_finer >= sent - (sent if level == 0 else 0) and total <= sent
        assert total + open_finer == sent or level == 0
    assert len(line.record.rolled_up("e1", 0)) <= 181


def test_a_sealed_bucket_is_read_back_as_it_was() -> None:
    bucket = Bucket(at_us=START, sends=3, ok=2, errors=1, load_most=0.5, load_sum=1.5, loads=3)
    bucket.latency.add(12.0)
    again = Bucket.open(bucket.seal())
    assert again.seal() == bucket.seal() and again.summary() == bucket.summary()


def test_five_thousand_engines_come_and_go_within_the_stated_memory() -> None:
    most = 1 << 20
    tracemalloc.start()
    line = timeline(most, raw_s=30)
    before = tracemalloc.get_traced_memory()[0]
    for number in range(5000):
        now = START + number * SECOND // 10
        name = f"engine-{number}"
        line.listed(now, listing(name))
        for query in range(6):
            line.sent(now, name, number * 10 + query, 0, "short", 1e5)
            line.ended(now + 5000, name, number * 10 + query, 0, api.Outcome.OK, 5000)
        if number >= 20:
            line.listed(now, listing(f"engine-{number - 20}", state=api.EngineState.GONE))
        if number % 3 == 0:
            line.tick(now)
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert line.record.bytes <= most and grown <= 1.5 * most
    assert len(line.record.tracks) <= most // 2 // TRACK_BYTES + 20
    assert len(line.record.names) <= 2 * len(line.record.tracks) + 64 + 300 * 10
    assert len(line.judge.engines) <= len(line.record.tracks) + 20


def test_remarks_of_one_kind_are_told_once_a_second_with_their_number() -> None:
    line = timeline()
    line.listed(START, listing("e1"))
    for number in range(500):
        line.remarked(START + number * 4000, [api.Remark("e1", api.Reason.COLD, number)])
        line.tick(START + number * 4000)
    line.tick(START + 10 * SECOND)
    rows = [row for row in line.record.rows("e1") if row.kind is Kind.DECIDED]
    assert sum(row.a for row in rows) == 500 and len(rows) <= 6
    assert sum(bucket.passed for bucket in line.record.rolled_up("e1", 0)) == 500


def test_the_module_says_why_it_passed_over_an_engine() -> None:
    from .helpers import Driver
    from .helpers import settings as given_settings

    cold = engine("e1", started_us=99 * SECOND)
    driver = Driver(given_settings(tip_multiple=0.1), cold, engine("e2"))
    driver.gateway.remarks = []
    driver.learn()
    driver.end(999, api.Outcome.OK)
    for query in range(60):
        driver.ask(query)
    reasons = {remark.reason for remark in driver.gateway.remarks if remark.engine == "e1"}
    assert api.Reason.COLD in reasons
    assert len(driver.gateway.remarks) <= 256
    driver.gateway.remarks = []
    driver.end(0, api.Outcome.CONNECT_FAILED)
    driver.name_engines(engine("e2", state=api.EngineState.DRAINING), kind=api.ListKind.DELTA)
    said = {remark.reason for remark in driver.gateway.remarks}
    assert {api.Reason.RESTED, api.Reason.DRAINED} <= said


def test_remarks_change_no_decision() -> None:
    from .helpers import Driver
    from .helpers import settings as given_settings

    def play(tell: bool) -> list[api.Action]:
        driver = Driver(given_settings(), *(engine(f"e{n}") for n in range(4)))
        driver.gateway.remarks = [] if tell else None
        random = Random(5)
        driver.learn()
        for query in range(300):
            driver.ask(query, cost_us=random.choice([1e5, 2e6]))
            outcome = random.choice([api.Outcome.OK, api.Outcome.FULL, api.Outcome.RESET])
            driver.end(random.randrange(query + 1), outcome)
            driver.wait(50_000)
            if tell:
                driver.gateway.remarks = []
        return driver.actions

    assert play(True) == play(False)
