"""A gateway's requests to the leader, and the restart slot that it holds. Without I/O.

A slot may be used only within `slot_use_us` of the *sending* of the request that obtained it, by this
process's monotonic clock. A halt committed later than that finds no unused slot, whatever was delayed or
paused meanwhile. The answer RETRY_LATER ends a request; a retry has another id. A slot that was not used in
time is returned by its holder, never freed by anyone's timeout.
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

RESEND_INTERVAL_US = 250_000  # of a request without an answer
RETRY_DELAY_US = 400_000  # after RETRY_LATER
REQUEST_ID_BITS = 31


@dataclass(slots=True)
class PendingRequest:
    """A change requested by an operator or a supervisor, until it is answered or its deadline passes."""

    key: int
    change: Change
    deadline: int
    retries: bool  # after RETRY_LATER
    id: int = 0
    first_sent_at: int = 0
    sent_at: int = -RESEND_INTERVAL_US
    retry_at: int = 0
    last_answer: str = "no leader is known"


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """The final answer to a request."""

    key: int
    status: int
    fence: int
    text: str


@dataclass(frozen=True, slots=True)
class HeldSlot:
    """A granted slot, and until when it may be used."""

    fence: int
    usable_until: int


class LeaderClient:
    """Sends requests to the leader until they are answered, and keeps track of the granted slot."""

    def __init__(self, local_number: int, boot_id: int, random: Random, slot_use_us: int) -> None:
        self.local_number = local_number
        self.boot_id = boot_id
        self.random = random
        self.slot_use_us = slot_use_us
        self.requests: dict[int, PendingRequest] = {}
        self.last_key = 0
        self.held_slot: HeldSlot | None = None
        self.is_leaving = False
        self.return_due_at = 0
        self.outcomes: list[RequestOutcome] = []
        self.expired_slots = 0  # not used in time

    def submit(self, now: int, change: Change, deadline: int, retries: bool) -> int:
        """Adds a request and returns the key of its outcome."""
        self.last_key += 1
        self.requests[self.last_key] = PendingRequest(self.last_key, change, deadline, retries)
        return self.last_key

    def cancel(self, key: int) -> None:
        """Forgets a request; it has no outcome."""
        self.requests.pop(key, None)

    # --- Requests.

    def due_requests(self, now: int, state: FleetState, leader_known: bool) -> list[ChangeRequest]:
        """Returns the requests to send to the leader now; none without a known leader."""
        due = []
        for request in list(self.requests.values()):
            if now >= request.deadline:
                del self.requests[request.key]
                self.outcomes.append(RequestOutcome(request.key, RETRY_LATER, 0, request.last_answer))
            elif leader_known and now >= request.retry_at and now - request.sent_at >= RESEND_INTERVAL_US:
                if not request.id:
                    request.id, request.first_sent_at = self.random.getrandbits(REQUEST_ID_BITS) | 1, now
                request.sent_at = now
                due.append(ChangeRequest(request.id, request.change))
        if (
            leader_known
            and now >= self.return_due_at
            and (slot_return := self._unused_slot_return(now, state)) is not None
        ):
            self.return_due_at = now + RESEND_INTERVAL_US
            due.append(ChangeRequest(self.random.getrandbits(REQUEST_ID_BITS) | 1, slot_return))
        return due

    def _unused_slot_return(self, now: int, state: FleetState) -> SlotReturn | None:
        """The request that returns a slot which this process was granted but will not use."""
        if self.held_slot is not None and now >= self.held_slot.usable_until and not self.is_leaving:
            self.held_slot, self.expired_slots = None, self.expired_slots + 1
        slot = state.slots.get(self.local_number)
        if slot is None or slot.boot_id != self.boot_id or self.is_leaving:
            return None
        is_requested = any(
            isinstance(request.change, SlotRequest) and request.id == slot.request_id
            for request in self.requests.values()
        )
        is_held = self.held_slot is not None and self.held_slot.fence == slot.fence
        return None if is_requested or is_held else SlotReturn(self.local_number, slot.fence, False)

    def receive_reply(self, now: int, reply: ChangeReply, state: FleetState) -> None:
        """Handles the leader's reply to a request."""
        request = next((pending for pending in self.requests.values() if pending.id == reply.id), None)
        if request is None:
            return
        if reply.status == RETRY_LATER:
            request.last_answer, request.id = reply.text, 0
            request.retry_at = now + RETRY_DELAY_US
            if request.retries:
                return
        elif reply.status == DONE and isinstance(request.change, SlotRequest):
            usable_until = request.first_sent_at + self.slot_use_us
            if now >= usable_until:  # too late to use the slot: it is returned and requested again
                request.id, request.retry_at = 0, now + RETRY_DELAY_US
                return
            self.held_slot = HeldSlot(reply.fence, usable_until)
        del self.requests[request.key]
        self.outcomes.append(RequestOutcome(request.key, reply.status, reply.fence, reply.text))

    # --- Use of the slot.

    def usable_fence(self, now: int, state: FleetState) -> int:
        """The fence of a slot that may be used at this moment, or 0."""
        held = self.held_slot
        if held is None or now >= held.usable_until:
            return 0
        slot, release = state.slots.get(self.local_number), state.release
        if slot is not None and slot.fence > held.fence:
            return 0
        if slot is not None and slot.release and release is not None and release.status == HALTED:
            return 0  # a halt that arrives too late is bounded by `usable_until`
        return held.fence

    def leave(self, now: int, state: FleetState) -> int:
        """Starts shutdown; returns the fence of the slot that this uses, or 0 without one."""
        fence = self.usable_fence(now, state)
        self.is_leaving = True
        return fence
