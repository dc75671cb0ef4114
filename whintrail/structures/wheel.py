"""A hierarchical timing wheel with cancellation that fires timers in exactly the order of a heap.

After Varghese and Lauck, "Hashed and Hierarchical Timing Wheels" (SOSP 1987). A timer is kept in a slot of
the lowest level on which its tick differs from the current one, so scheduling and cancelling take the same
time for any number of timers. When the time of a slot on a higher level comes, its timers move to lower
levels. Timers due within the current tick wait in a small heap, which orders them by microsecond and, for
equal times, by the order in which they were scheduled.

Times are whole microseconds on the caller's clock; the wheel itself reads no clock.
"""

from collections.abc import Callable
from heapq import heappop, heappush

TICK_BITS = 10  # a tick is 1,024 us
SLOT_BITS = 6
SLOTS = 1 << SLOT_BITS
LEVELS = 9  # 2 ** (10 + 6 * 9) us: beyond the range of any clock
SLOT_MASK = SLOTS - 1
NO_OCCUPIED_TICK = 1 << 62  # later than any tick
MIN_COMPACTION_ENTRIES = 64  # smaller heaps keep their cancelled entries until these are due


class Timer:
    """A scheduled timer. `callback` is None once it fired or was cancelled, so that it is not kept alive."""

    __slots__ = ("callback", "due_us", "sequence", "slot")

    def __init__(self, due_us: int, sequence: int, callback: Callable[[], None]) -> None:
        self.due_us, self.sequence = due_us, sequence
        self.callback: Callable[[], None] | None = callback
        self.slot: dict[int, Timer] | None = None  # None: in the heap of the current tick

    @property
    def pending(self) -> bool:
        return self.callback is not None


class TimingWheel:
    """Timers ordered by time. The wheel begins at `now_us`; earlier times are due at once.

    `len()` is the number of pending timers.
    """

    __slots__ = (
        "_count",
        "_current_tick",
        "_due_heap",
        "_levels",
        "_next_occupied_tick",
        "_occupied",
        "last_sequence",
    )

    def __init__(self, now_us: int = 0) -> None:
        self._current_tick = now_us >> TICK_BITS
        self._due_heap: list[tuple[int, int, Timer]] = []
        self._levels: list[list[dict[int, Timer] | None]] = [[None] * SLOTS for _ in range(LEVELS)]
        self._occupied = [0] * LEVELS  # per level, a bit for each slot that may hold timers
        self._count = 0
        self._next_occupied_tick = NO_OCCUPIED_TICK  # lower bound: slots before this tick are empty
        self.last_sequence = 0  # of the timer scheduled last

    def __len__(self) -> int:
        return self._count

    def schedule(self, due_us: int, callback: Callable[[], None]) -> Timer:
        """Schedule `callback` for `due_us`. `pop_due` returns it; the wheel never calls it."""
        self.last_sequence = sequence = self.last_sequence + 1
        timer = Timer(due_us, sequence, callback)
        self._count += 1
        tick = due_us >> TICK_BITS
        if tick <= self._current_tick:
            heappush(self._due_heap, (due_us, sequence, timer))
        else:
            self._next_occupied_tick = min(self._next_occupied_tick, self._insert(timer))
        return timer

    def cancel(self, timer: Timer) -> bool:
        """Drop the timer and its callback. False if it has fired or was cancelled before."""
        if timer.callback is None:
            return False
        timer.callback = None
        self._count -= 1
        if timer.slot is not None:
            del timer.slot[timer.sequence]
            timer.slot = None
        elif len(self._due_heap) > MIN_COMPACTION_ENTRIES and len(self._due_heap) > 2 * self._count:
            self._due_heap = [entry for entry in self._due_heap if entry[2].callback is not None]
            self._due_heap.sort()  # a sorted list is a valid heap
        return True

    def pop_due(self, until_us: int, max_sequence: int | None = None) -> Callable[[], None] | None:
        """Remove and return the next callback due by `until_us`, ordered by time, then by scheduling order;
        None if there is none.

        With `max_sequence`, only timers scheduled up to that number are returned, so that one scheduled by
        a firing timer for the same time waits for the next call.
        """
        heap = self._due_heap
        while True:
            while heap and heap[0][2].callback is None:
                heappop(heap)
            if heap and heap[0][0] <= until_us:
                if max_sequence is not None and heap[0][1] > max_sequence:
                    return None
                timer = heappop(heap)[2]
                callback, timer.callback = timer.callback, None
                self._count -= 1
                return callback
            if (
                heap
                or until_us >> TICK_BITS < self._next_occupied_tick
                or not self._advance(until_us >> TICK_BITS)
            ):
                return None
            heap = self._due_heap

    def next_due_us(self) -> int | None:
        """A time before which no timer is due; None if no timer is pending. Exact within the current tick,
        else the start of a slot: a caller that sleeps until then and calls `pop_due` misses no timer."""
        while self._due_heap and self._due_heap[0][2].callback is None:
            heappop(self._due_heap)
        if self._due_heap:
            return self._due_heap[0][0]
        if (found := self._first_occupied()) is None:
            return None
        level, tick = found
        if level:
            return tick << TICK_BITS
        timers = self._levels[0][tick & SLOT_MASK]
        assert timers
        return min(timer.due_us for timer in timers.values())

    # --- Slots.

    def _insert(self, timer: Timer) -> int:
        """Put the timer into its slot; returns the first tick of the slot."""
        tick = timer.due_us >> TICK_BITS
        # The highest bit in which the two ticks differ gives the level.
        level = min(LEVELS - 1, ((tick ^ self._current_tick).bit_length() - 1) // SLOT_BITS)
        slot = (tick >> level * SLOT_BITS) & SLOT_MASK
        timers = self._levels[level][slot]
        if timers is None:
            timers = self._levels[level][slot] = {}
        self._occupied[level] |= 1 << slot
        timers[timer.sequence] = timer
        timer.slot = timers
        return tick >> level * SLOT_BITS << level * SLOT_BITS

    def _first_occupied(self) -> tuple[int, int] | None:
        """Level and first tick of the next slot that holds a timer. Lower levels come first, because all
        timers of a level lie within the current slot of the level above."""
        for level in range(LEVELS):
            slots, shift = self._levels[level], level * SLOT_BITS
            while occupied := self._occupied[level]:
                slot = (occupied & -occupied).bit_length() - 1
                if slots[slot]:
                    return (
                        level,
                        (self._current_tick >> shift + SLOT_BITS << shift + SLOT_BITS) + (slot << shift),
                    )
                slots[slot] = None  # all its timers were cancelled
                self._occupied[level] = occupied & occupied - 1
        return None

    def _advance(self, until_tick: int) -> bool:
        """Move on to the next tick that holds timers, at most to `until_tick`, and put its timers into the
        heap. False if there are none by then."""
        while (found := self._first_occupied()) is not None:
            level, tick = found
            if tick > until_tick:
                self._next_occupied_tick = tick
                break
            self._current_tick = tick
            slot = (tick >> level * SLOT_BITS) & SLOT_MASK
            timers = self._levels[level][slot]
            assert timers is not None
            self._levels[level][slot] = None
            self._occupied[level] &= ~(1 << slot)
            if level == 0:
                heap = self._due_heap  # holds only cancelled entries here
                heap += [(timer.due_us, sequence, timer) for sequence, timer in timers.items()]
                heap.sort()
                for timer in timers.values():
                    timer.slot = None
                return True
            for sequence, timer in timers.items():
                if timer.due_us >> TICK_BITS <= tick:
                    timer.slot = None
                    heappush(self._due_heap, (timer.due_us, sequence, timer))
                else:
                    self._insert(timer)
            if self._due_heap:
                return True
        else:
            self._next_occupied_tick = NO_OCCUPIED_TICK
        # Nothing was due up to `until_tick`. The current tick may move there only because the loop above has
        # checked that no occupied slot lies in between.
        self._current_tick = max(self._current_tick, until_tick)
        return False
