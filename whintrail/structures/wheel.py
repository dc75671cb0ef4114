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

    __slots__ = ("home", "number", "then", "when")

    def __init__(self, when: int, number: int, then: Callable[[], None]) -> None:
        self.when, self.number = when, number
        self.then: Callable[[], None] | None = then
        self.home: dict[int, Timer] | None = None  # its slot; None: in the heap of the current tick

    @property
    def pending(self) -> bool:
        return self.then is not None


class Wheel:
    """Timers by time. `now_us`: where it begins; earlier times are due at once.

    `len()` is the number of timers that are set and neither fired nor cancelled.
    """

    __slots__ = ("_bound", "_count", "_filled", "_levels", "_near", "_tick", "numbered")

    def __init__(self, now_us: int = 0) -> None:
        self._tick = now_us >> TICK_BITS
        self._near: list[tuple[int, int, Timer]] = []
        self._levels: list[list[dict[int, Timer] | None]] = [[None] * SLOTS for _ in range(LEVELS)]
        self._filled = [0] * LEVELS  # a bit a slot that may hold timers
        self._count = 0
        self._bound = 1 << 62  # no slot that begins before this tick holds anything
        self.numbered = 0  # of the timer set last

    def __len__(self) -> int:
        return self._count

    def set(self, when_us: int, then: Callable[[], None]) -> Timer:
        """Call for `then` at `when_us`; it is handed out by `pop`, never called here."""
        self.numbered = number = self.numbered + 1
        timer = Timer(when_us, number, then)
        self._count += 1
        tick = when_us >> TICK_BITS
        if tick <= self._tick:
            heappush(self._near, (when_us, number, timer))
        else:
            self._bound = min(self._bound, self._hang(timer))
        return timer

    def cancel(self, timer: Timer) -> bool:
        """Forget the timer and all that it refers to. False if it was fired or cancelled before."""
        if timer.then is None:
            return False
        timer.then = None
        self._count -= 1
        if timer.home is not None:
            del timer.home[timer.number]
            timer.home = None
        elif len(self._near) > 64 and len(self._near) > 2 * self._count:
            self._near = [entry for entry in self._near if entry[2].then is not None]
            self._near.sort()  # a sorted list is a heap
        return True

    def pop(self, until_us: int, last: int | None = None) -> Callable[[], None] | None:
        """What is due next by `until_us`, in order of time, then of setting; None where nothing is.

        With `last` only what was set up to that number: what a firing timer sets for the same time waits.
        """
        near = self._near
        while True:
            while near and near[0][2].then is None:
                heappop(near)
            if near and near[0][0] <= until_us:
                if last is not None and near[0][1] > last:
                    return None
                timer = heappop(near)[2]
                then, timer.then = timer.then, None
                self._count -= 1
                return then
            if near or until_us >> TICK_BITS < self._bound or not self._advance(until_us >> TICK_BITS):
                return None
            near = self._near

    def next_us(self) -> int | None:
        """No timer is due before this time; None while none is set. Exact within the current tick, else the
        start of a slot: whoever sleeps until then and pops loses nothing."""
        while self._near and self._near[0][2].then is None:
            heappop(self._near)
        if self._near:
            return self._near[0][0]
        if (found := self._first()) is None:
            return None
        level, tick = found
        if level:
            return tick << TICK_BITS
        home = self._levels[0][tick & SLOT_MASK]
        assert home
        return min(timer.when for timer in home.values())

    # --- Slots.

    def _hang(self, timer: Timer) -> int:
        """Put the timer into its slot; the slot's first tick."""
        tick = timer.when >> TICK_BITS
        # The highest bit in which the two differ says on which level they part.
        level = min(LEVELS - 1, ((tick ^ self._tick).bit_length() - 1) // SLOT_BITS)
        slot = (tick >> level * SLOT_BITS) & SLOT_MASK
        home = self._levels[level][slot]
        if home is None:
            home = self._levels[level][slot] = {}
        self._filled[level] |= 1 << slot
        home[timer.number] = timer
        timer.home = home
        return tick >> level * SLOT_BITS << level * SLOT_BITS

    def _first(self) -> tuple[int, int] | None:
        """Level and first tick of the next slot that holds a timer. Lower levels come first: what hangs on a
        level lies within the current slot of the one above."""
        for level in range(LEVELS):
            slots, shift = self._levels[level], level * SLOT_BITS
            while filled := self._filled[level]:
                slot = (filled & -filled).bit_length() - 1
                if slots[slot]:
                    return level, (self._tick >> shift + SLOT_BITS << shift + SLOT_BITS) + (slot << shift)
                slots[slot] = None  # all were cancelled
                self._filled[level] = filled & filled - 1
        return None

    def _advance(self, until_tick: int) -> bool:
        """Move on to the next tick that holds timers, at most to `until_tick`, and bring those near. False if
        there is none by then."""
        while (found := self._first()) is not None:
            level, tick = found
            if tick > until_tick:
                self._bound = tick
                break
            self._tick = tick
            slot = (tick >> level * SLOT_BITS) & SLOT_MASK
            home = self._levels[level][slot]
            assert home is not None
            self._levels[level][slot] = None
            self._filled[level] &= ~(1 << slot)
            if level == 0:
                near = self._near  # empty here, but for what was cancelled
                near += [(timer.when, number, timer) for number, timer in home.items()]
                near.sort()
                for timer in home.values():
                    timer.home = None
                return True
            for number, timer in home.items():
                if timer.when >> TICK_BITS <= tick:
                    timer.home = None
                    heappush(self._near, (timer.when, number, timer))
                else:
                    self._hang(timer)
            if self._near:
                return True
        else:
            self._bound = 1 << 62
        # Time has passed with nothing due. The current tick may move up to the next slot that holds something
        # only where no slot is skipped, which the loop above has seen to.
        self._tick = max(self._tick, until_tick)
        return False
