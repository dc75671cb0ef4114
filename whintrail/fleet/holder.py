"""A member's own part: what it asks the leader, and the slot that it holds. Sans-I/O.

A slot is used within `use_us` of the *sending* of the request that got it, by this process's own monotonic
clock: a halt decided later than that finds no slot unused, whatever was late or stood still in between. An
answer *later* ends a request for good; the next one has another id. A slot that was not used in time is given
back by its holder, and by nobody's clock.
"""

from dataclasses import dataclass
from random import Random

from whintrail.fleet.state import HALTED, State
from whintrail.fleet.wire import DONE, LATER, Answer, Ask, Change, GiveBack, WantSlot

AGAIN_US, RETRY_US = 250_000, 400_000


@dataclass(slots=True)
class Wish:
    """Something that a person or a supervisor asked for here, until it is answered or its time is up."""

    key: int
    change: Change
    until: int
    waits: bool  # ask anew after *later*
    id: int = 0
    first_sent: int = 0
    sent_at: int = -AGAIN_US
    next_at: int = 0
    text: str = "no leader is known"


@dataclass(frozen=True, slots=True)
class Outcome:
    key: int
    word: int
    fence: int
    text: str


@dataclass(frozen=True, slots=True)
class Held:
    fence: int
    until: int  # to be used by then


class Holder:
    def __init__(self, me: int, birth: int, random: Random, use_us: int) -> None:
        self.me, self.birth, self.random, self.use_us = me, birth, random, use_us
        self.wishes: dict[int, Wish] = {}
        self.keys = 0
        self.held: Held | None = None
        self.leaving = False
        self.back_at = 0
        self.outcomes: list[Outcome] = []
        self.lapsed = 0  # slots that were not used in time

    def wish(self, now: int, change: Change, until: int, waits: bool) -> int:
        self.keys += 1
        self.wishes[self.keys] = Wish(self.keys, change, until, waits)
        return self.keys

    def drop(self, key: int) -> None:
        self.wishes.pop(key, None)

    # --- Asking.

    def due(self, now: int, state: State, leads: bool) -> list[Ask]:
        """What goes to the leader now; empty where none is known."""
        asks = []
        for wish in list(self.wishes.values()):
            if now >= wish.until:
                del self.wishes[wish.key]
                self.outcomes.append(Outcome(wish.key, LATER, 0, wish.text))
            elif leads and now >= wish.next_at and now - wish.sent_at >= AGAIN_US:
                if not wish.id:
                    wish.id, wish.first_sent = self.random.getrandbits(31) | 1, now
                wish.sent_at = now
                asks.append(Ask(wish.id, wish.change))
        if leads and now >= self.back_at and (back := self._unused(now, state)) is not None:
            self.back_at = now + AGAIN_US
            asks.append(Ask(self.random.getrandbits(31) | 1, back))
        return asks

    def _unused(self, now: int, state: State) -> GiveBack | None:
        """A slot that this process got and will not use."""
        if self.held is not None and now >= self.held.until and not self.leaving:
            self.held, self.lapsed = None, self.lapsed + 1
        slot = state.slots.get(self.me)
        if slot is None or slot.birth != self.birth or self.leaving:
            return None
        asked = any(isinstance(w.change, WantSlot) and w.id == slot.ask for w in self.wishes.values())
        kept = self.held is not None and self.held.fence == slot.fence
        return None if asked or kept else GiveBack(self.me, slot.fence, False)

    def answered(self, now: int, answer: Answer, state: State) -> None:
        wish = next((w for w in self.wishes.values() if w.id == answer.id), None)
        if wish is None:
            return
        if answer.word == LATER:
            wish.text, wish.id = answer.text, 0
            wish.next_at = now + RETRY_US
            if wish.waits:
                return
        elif answer.word == DONE and isinstance(wish.change, WantSlot):
            until = wish.first_sent + self.use_us
            if now >= until:  # too late to be used: it is given back, and asked for anew
                wish.id, wish.next_at = 0, now + RETRY_US
                return
            self.held = Held(answer.fence, until)
        del self.wishes[wish.key]
        self.outcomes.append(Outcome(wish.key, answer.word, answer.fence, answer.text))

    # --- Going out.

    def may_go(self, now: int, state: State) -> int:
        """The fence of a slot that may be used at this moment; 0: none."""
        held = self.held
        if held is None or now >= held.until:
            return 0
        slot, under = state.slots.get(self.me), state.release
        if slot is not None and slot.fence > held.fence:
            return 0
        if slot is not None and slot.release and under is not None and under.status == HALTED:
            return 0  # learnt in time; else the time in which it may be used bounds it
        return held.fence

    def go(self, now: int, state: State) -> int:
        """This process ends: by the slot whose fence it is, or by none (0)."""
        fence = self.may_go(now, state)
        self.leaving = True
        return fence
