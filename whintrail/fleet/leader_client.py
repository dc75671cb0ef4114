"""A member's own part: what it asks the leader, and the slot that it holds. Sans-I/O.

A slot is used within `use_us` of the *sending* of the request that got it, by this process's own monotonic
clock: a halt decided later than that finds no slot unused, whatever was late or stood still in between. An
answer *later* ends a request for good; the next one has another id. A slot that was not used in time is given
back by its holder, and by nobody's clock.
"""

from dataclasses import dataclass
from random import Random

from whintrail.fleet.state import HALTED, FleetState
from whintrail.fleet.wire import (
    DONE,
    RETRY_LATER,
    Change,
    ChangeReply,
    ChangeRequest,
    SlotRequest,
    SlotReturn,
)

RESEND_INTERVAL_US, RETRY_DELAY_US = 250_000, 400_000


@dataclass(slots=True)
class PendingRequest:
    """Something that a person or a supervisor asked for here, until it is answered or its time is up."""

    key: int
    change: Change
    deadline: int
    retries: bool  # ask anew after *later*
    id: int = 0
    first_sent_at: int = 0
    sent_at: int = -RESEND_INTERVAL_US
    retry_at: int = 0
    last_answer: str = "no leader is known"


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    key: int
    status: int
    fence: int
    text: str


@dataclass(frozen=True, slots=True)
class HeldSlot:
    fence: int
    usable_until: int  # to be used by then


class LeaderClient:
    def __init__(self, local_number: int, boot_id: int, random: Random, slot_use_us: int) -> None:
        self.local_number, self.boot_id, self.random, self.slot_use_us = (
            local_number,
            boot_id,
            random,
            slot_use_us,
        )
        self.requests: dict[int, PendingRequest] = {}
        self.last_key = 0
        self.held_slot: HeldSlot | None = None
        self.is_leaving = False
        self.return_due_at = 0
        self.outcomes: list[RequestOutcome] = []
        self.expired_slots = 0  # slots that were not used in time

    def submit(self, now: int, change: Change, deadline: int, retries: bool) -> int:
        self.last_key += 1
        self.requests[self.last_key] = PendingRequest(self.last_key, change, deadline, retries)
        return self.last_key

    def cancel(self, key: int) -> None:
        self.requests.pop(key, None)

    # --- Asking.

    def due_requests(self, now: int, state: FleetState, leads: bool) -> list[ChangeRequest]:
        """What goes to the leader now; empty where none is known."""
        asks = []
        for wish in list(self.requests.values()):
            if now >= wish.deadline:
                del self.requests[wish.key]
                self.outcomes.append(RequestOutcome(wish.key, RETRY_LATER, 0, wish.last_answer))
            elif leads and now >= wish.retry_at and now - wish.sent_at >= RESEND_INTERVAL_US:
                if not wish.id:
                    wish.id, wish.first_sent_at = self.random.getrandbits(31) | 1, now
                wish.sent_at = now
                asks.append(ChangeRequest(wish.id, wish.change))
        if leads and now >= self.return_due_at and (back := self._unused_slot_return(now, state)) is not None:
            self.return_due_at = now + RESEND_INTERVAL_US
            asks.append(ChangeRequest(self.random.getrandbits(31) | 1, back))
        return asks

    def _unused_slot_return(self, now: int, state: FleetState) -> SlotReturn | None:
        """A slot that this process got and will not use."""
        if self.held_slot is not None and now >= self.held_slot.usable_until and not self.is_leaving:
            self.held_slot, self.expired_slots = None, self.expired_slots + 1
        slot = state.slots.get(self.local_number)
        if slot is None or slot.boot_id != self.boot_id or self.is_leaving:
            return None
        asked = any(
            isinstance(w.change, SlotRequest) and w.id == slot.request_id for w in self.requests.values()
        )
        kept = self.held_slot is not None and self.held_slot.fence == slot.fence
        return None if asked or kept else SlotReturn(self.local_number, slot.fence, False)

    def receive_reply(self, now: int, answer: ChangeReply, state: FleetState) -> None:
        wish = next((w for w in self.requests.values() if w.id == answer.id), None)
        if wish is None:
            return
        if answer.status == RETRY_LATER:
            wish.last_answer, wish.id = answer.text, 0
            wish.retry_at = now + RETRY_DELAY_US
            if wish.retries:
                return
        elif answer.status == DONE and isinstance(wish.change, SlotRequest):
            until = wish.first_sent_at + self.slot_use_us
            if now >= until:  # too late to be used: it is given back, and asked for anew
                wish.id, wish.retry_at = 0, now + RETRY_DELAY_US
                return
            self.held_slot = HeldSlot(answer.fence, until)
        del self.requests[wish.key]
        self.outcomes.append(RequestOutcome(wish.key, answer.status, answer.fence, answer.text))

    # --- Going out.

    def usable_fence(self, now: int, state: FleetState) -> int:
        """The fence of a slot that may be used at this moment; 0: none."""
        held = self.held_slot
        if held is None or now >= held.usable_until:
            return 0
        slot, under = state.slots.get(self.local_number), state.release
        if slot is not None and slot.fence > held.fence:
            return 0
        if slot is not None and slot.release and under is not None and under.status == HALTED:
            return 0  # learnt in time; else the time in which it may be used bounds it
        return held.fence

    def leave(self, now: int, state: FleetState) -> int:
        """This process ends: by the slot whose fence it is, or by none (0)."""
        fence = self.usable_fence(now, state)
        self.is_leaving = True
        return fence
