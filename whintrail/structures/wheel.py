"""A hierarchical timing wheel with cancellation that fires in exactly the order of a heap.

After Varghese and Lauck, "Hashed and Hierarchical Timing Wheels" (SOSP 1987). A timer hangs in the slot of
the lowest level on which its tick differs from the current one, so setting and cancelling cost the same
whatever the number of timers; a slot of a higher level is dealt out to lower ones when its time comes.
What is due within the current tick waits in a small heap, which restores the order by microseconds and, for
equal times, by the order in which the timers were set.

Times are whole microseconds on the caller's clock. Nothing here reads one.
"""

from collections.abc import Callable
from heapq import heappop, heappush

TICK_BITS = 10  # a tick is 1,024 us
SLOT_BITS = 6
SLOTS = 1 << SLOT_BITS
LEVELS = 9  # 2 ** (10 + 6 * 9) us: later than any clock tells
SLOT_MASK = SLOTS - 1


class Timer:
    """One set timer. `then` is None once it was fired or cancelled: it keeps nothing alive any more."""

    __slots__ = ("callback", "due_us", "sequence", "slot")

    def __init__(self, due_us: int, sequence: int, callback: Callable[[], None]) -> None:
        self.due_us, self.sequence = due_us, sequence
        self.callback: Callable[[], None] | None = callback
        self.slot: dict[int, Timer] | None = None  # its slot; None: in the heap of the current tick

    @property
    def pending(self) -> bool:
        return self.callback is not None


class TimingWheel:
    """Timers by time. `now_us`: where it begins; earlier times are due at once.

    `len()` is the number of timers that are set and neither fired nor cancelled.
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
        self._occupied = [0] * LEVELS  # a bit a slot that may hold timers
        self._count = 0
        self._next_occupied_tick = 1 << 62  # no slot that begins before this tick holds anything
        self.last_sequence = 0  # of the timer set last

    def __len__(self) -> int:
        return self._count

    def schedule(self, due_us: int, callback: Callable[[], None]) -> Timer:
        """Call for `then` at `when_us`; it is handed out by `pop`, never called here."""
        self.last_sequence = number = self.last_sequence + 1
        timer = Timer(due_us, number, callback)
        self._count += 1
        tick = due_us >> TICK_BITS
        if tick <= self._current_tick:
            heappush(self._due_heap, (due_us, number, timer))
        else:
            self._next_occupied_tick = min(self._next_occupied_tick, self._insert(timer))
        return timer

    def cancel(self, timer: Timer) -> bool:
        """Forget the timer and all that it refers to. False if it was fired or cancelled before."""
        if timer.callback is None:
            return False
        timer.callback = None
        self._count -= 1
        if timer.slot is not None:
            del timer.slot[timer.sequence]
            timer.slot = None
        elif len(self._due_heap) > 64 and len(self._due_heap) > 2 * self._count:
            self._due_heap = [entry for entry in self._due_heap if entry[2].callback is not None]
            self._due_heap.sort()  # a sorted list is a heap
        return True

    def pop_due(self, until_us: int, max_sequence: int | None = None) -> Callable[[], None] | None:
        """What is due next by `until_us`, in order of time, then of setting; None where nothing is.

        With `last` only what was set up to that number: what a firing timer sets for the same time waits.
        """
        near = self._due_heap
        while True:
            while near and near[0][2].callback is None:
                heappop(near)
            if near and near[0][0] <= until_us:
                if max_sequence is not None and near[0][1] > max_sequence:
                    return None
                timer = heappop(near)[2]
                then, timer.callback = timer.callback, None
                self._count -= 1
                return then
            if (
                near
                or until_us >> TICK_BITS < self._next_occupied_tick
                or not self._advance(until_us >> TICK_BITS)
            ):
                return None
            near = self._due_heap

    def next_due_us(self) -> int | None:
        """No timer is due before this time; None while none is set. Exact within the current tick, else the
        start of a slot: whoever sleeps until then and pops loses nothing."""
        while self._due_heap and self._due_heap[0][2].callback is None:
            heappop(self._due_heap)
        if self._due_heap:
            return self._due_heap[0][0]
        if (found := self._first_occupied()) is None:
            return None
        level, tick = found
        if level:
            return tick << TICK_BITS
        home = self._levels[0][tick & SLOT_MASK]
        assert home
        return min(timer.due_us for timer in home.values())

    # --- Slots.

    def _insert(self, timer: Timer) -> int:
        """Put the timer into its slot; the slot's first tick."""
        tick = timer.due_us >> TICK_BITS
        # The highest bit in which the two differ says on which level they part.
        level = min(LEVELS - 1, ((tick ^ self._current_tick).bit_length() - 1) // SLOT_BITS)
        slot = (tick >> level * SLOT_BITS) & SLOT_MASK
        home = self._levels[level][slot]
        if home is None:
            home = self._levels[level][slot] = {}
        self._occupied[level] |= 1 << slot
        home[timer.sequence] = timer
        timer.slot = home
        return tick >> level * SLOT_BITS << level * SLOT_BITS

    def _first_occupied(self) -> tuple[int, int] | None:
        """Level and first tick of the next slot that holds a timer. Lower levels come first: what hangs on a
        level lies within the current slot of the one above."""
        for level in range(LEVELS):
            slots, shift = self._levels[level], level * SLOT_BITS
            while filled := self._occupied[level]:
                slot = (filled & -filled).bit_length() - 1
                if slots[slot]:
                    return level, (self._current_tick >> shift + SLOT_BITS << shift + SLOT_BITS) + (
                        slot << shift
                    )
                slots[slot] = None  # all were cancelled
                self._occupied[level] = filled & filled - 1
        return None

    def _advance(self, until_tick: int) -> bool:
        """Move on to the next tick that holds timers, at most to `until_tick`, and bring those near. False if
        there is none by then."""
        while (found := self._first_occupied()) is not None:
            level, tick = found
            if tick > until_tick:
                self._next_occupied_tick = tick
                break
            self._current_tick = tick
            slot = (tick >> level * SLOT_BITS) & SLOT_MASK
            home = self._levels[level][slot]
            assert home is not None
            self._levels[level][slot] = None
            self._occupied[level] &= ~(1 << slot)
            if level == 0:
                near = self._due_heap  # empty here, but for what was cancelled
                near += [(timer.due_us, number, timer) for number, timer in home.items()]
                near.sort()
                for timer in home.values():
                    timer.slot = None
                return True
            for number, timer in home.items():
                if timer.due_us >> TICK_BITS <= tick:
                    timer.slot = None
                    heappush(self._due_heap, (timer.due_us, number, timer))
                else:
                    self._insert(timer)
            if self._due_heap:
                return True
        else:
            self._next_occupied_tick = 1 << 62
        # Time has passed with nothing due. The current tick may move up to the next slot that holds something
        # only where no slot is skipped, which the loop above has seen to.
        self._current_tick = max(self._current_tick, until_tick)
        return False
