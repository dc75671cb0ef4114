"""The timing wheel compared with a heap: the same timers fire in the same order."""

import gc
import weakref
from collections.abc import Callable
from functools import partial
from heapq import heappop, heappush

from hypothesis import given, settings
from hypothesis import strategies as st

from whintrail.structures.wheel import Timer, TimingWheel

START = 1_790_000_000_000_000
# Delays within a tick, beyond one, and on every level of the wheel.
delays = st.one_of(st.integers(-3000, 3000), st.integers(0, 300_000), st.integers(0, 1 << 40))
steps = st.one_of(
    st.tuples(st.just("set"), delays),
    st.tuples(st.just("cancel"), st.integers(0, 60)),
    st.tuples(st.just("pass"), st.one_of(st.integers(0, 3000), st.integers(0, 1 << 36))),
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(steps, max_size=60))
def test_fires_the_same_timers_in_the_same_order_as_a_heap(operations: list[tuple[str, int]]) -> None:
    wheel, heap, now = TimingWheel(START), list[tuple[int, int]](), START
    timers: list[Timer] = []
    fired: list[int] = []
    for operation, value in operations:
        if operation == "set":
            number = len(timers) + 1
            timers.append(wheel.schedule(now + value, partial(fired.append, number)))
            heappush(heap, (now + value, number))
        elif operation == "cancel" and timers:
            timer = timers[value % len(timers)]
            pending = timer.pending
            assert wheel.cancel(timer) is pending
            if pending:
                heap = sorted(entry for entry in heap if entry[1] != timer.sequence)
        elif operation == "pass":
            now += value
            expected, fired_before = [], len(fired)
            while heap and heap[0][0] <= now:
                expected.append(heappop(heap)[1])
            while (callback := wheel.pop_due(now)) is not None:
                callback()
            assert fired[fired_before:] == expected
        assert len(wheel) == len(heap)
        due_us = wheel.next_due_us()
        assert (due_us is None) is (not heap)
        if due_us is not None and heap:
            assert due_us <= heap[0][0]


def test_a_timer_set_by_a_firing_timer_for_the_same_time_waits() -> None:
    wheel, order = TimingWheel(START), list[str]()

    def schedule_another() -> None:
        order.append("first")
        wheel.schedule(START, lambda: order.append("second"))

    wheel.schedule(START, schedule_another)
    max_sequence = wheel.last_sequence
    while (callback := wheel.pop_due(START, max_sequence)) is not None:
        callback()
    assert order == ["first"]
    while (callback := wheel.pop_due(START)) is not None:
        callback()
    assert order == ["first", "second"]


def test_sleeping_until_next_due_us_repeatedly_reaches_the_timer() -> None:
    for delay in (1, 1023, 5_000, 70_000, 4_500_000, 300_000_000, 1 << 45):
        wheel, wakes = TimingWheel(START), 0
        wheel.schedule(START + delay, lambda: None)
        while True:
            due_us = wheel.next_due_us()
            assert due_us is not None and due_us <= START + delay
            wakes += 1
            assert wakes <= 10  # at most one wake per level
            if wheel.pop_due(due_us) is not None:
                break
        assert due_us == START + delay


def test_a_cancelled_timer_keeps_nothing_alive() -> None:
    class Thing:
        pass

    def callback_with(thing: Thing) -> Callable[[], None]:
        return lambda: print(thing)

    for delay in (0, 10_000, 6_000_000):
        wheel, thing = TimingWheel(START), Thing()
        timer, ref = wheel.schedule(START + delay, callback_with(thing)), weakref.ref(thing)
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
