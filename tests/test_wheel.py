"""The timing wheel against the heap that it replaces: the same timers, in the same order."""

import gc
import weakref
from collections.abc import Callable
from functools import partial
from heapq import heappop, heappush

from hypothesis import given, settings
from hypothesis import strategies as st

from whintrail.structures.wheel import Timer, TimingWheel

START = 1_790_000_000_000_000
# Times that lie within a tick, beyond one, and on every level of the wheel.
delays = st.one_of(st.integers(-3000, 3000), st.integers(0, 300_000), st.integers(0, 1 << 40))
steps = st.one_of(
    st.tuples(st.just("set"), delays),
    st.tuples(st.just("cancel"), st.integers(0, 60)),
    st.tuples(st.just("pass"), st.one_of(st.integers(0, 3000), st.integers(0, 1 << 36))),
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(steps, max_size=60))
def test_fires_the_same_timers_in_the_same_order_as_a_heap(story: list[tuple[str, int]]) -> None:
    wheel, heap, now = TimingWheel(START), list[tuple[int, int]](), START
    timers: list[Timer] = []
    fired: list[int] = []
    for what, value in story:
        if what == "set":
            number = len(timers) + 1
            timers.append(wheel.schedule(now + value, partial(fired.append, number)))
            heappush(heap, (now + value, number))
        elif what == "cancel" and timers:
            timer = timers[value % len(timers)]
            live = timer.pending
            assert wheel.cancel(timer) is live
            if live:
                heap = sorted(entry for entry in heap if entry[1] != timer.sequence)
        elif what == "pass":
            now += value
            expected, before = [], len(fired)
            while heap and heap[0][0] <= now:
                expected.append(heappop(heap)[1])
            while (then := wheel.pop_due(now)) is not None:
                then()
            assert fired[before:] == expected
        assert len(wheel) == len(heap)
        due = wheel.next_due_us()
        assert (due is None) is (not heap)
        if due is not None and heap:
            assert due <= heap[0][0]


def test_a_timer_set_by_a_firing_timer_for_the_same_time_waits() -> None:
    wheel, order = TimingWheel(START), list[str]()

    def again() -> None:
        order.append("first")
        wheel.schedule(START, lambda: order.append("second"))

    wheel.schedule(START, again)
    last = wheel.last_sequence
    while (then := wheel.pop_due(START, last)) is not None:
        then()
    assert order == ["first"]
    while (then := wheel.pop_due(START)) is not None:
        then()
    assert order == ["first", "second"]


def test_sleeping_until_next_due_us_repeatedly_reaches_the_timer() -> None:
    for delay in (1, 1023, 5_000, 70_000, 4_500_000, 300_000_000, 1 << 45):
        wheel, wakes = TimingWheel(START), 0
        wheel.schedule(START + delay, lambda: None)
        while True:
            due = wheel.next_due_us()
            assert due is not None and due <= START + delay
            wakes += 1
            assert wakes <= 10  # a wake a level at most
            if wheel.pop_due(due) is not None:
                break
        assert due == START + delay


def test_a_cancelled_timer_keeps_nothing_alive() -> None:
    class Thing:
        pass

    def hold(thing: Thing) -> Callable[[], None]:
        return lambda: print(thing)

    for delay in (0, 10_000, 6_000_000):
        wheel, thing = TimingWheel(START), Thing()
        timer, ref = wheel.schedule(START + delay, hold(thing)), weakref.ref(thing)
        del thing
        assert ref() is not None
        assert wheel.cancel(timer) and not wheel.cancel(timer)
        gc.collect()
        assert ref() is None
        assert wheel.pop_due(START + (1 << 40)) is None and wheel.next_due_us() is None


def test_many_timers_cancelled_within_the_current_tick_leave_no_entries() -> None:
    wheel = TimingWheel(START)
    for _ in range(10_000):
        wheel.cancel(wheel.schedule(START, lambda: None))
    assert len(wheel._due_heap) < 200 and len(wheel) == 0
