"""Shares the turns of the event loop among connections whose input waits to be processed.

One turn spends a bounded time on the input of all connections together. What is left waits for later turns,
in which the loop has also run timers, answers and all other tasks. Connections that wait are served in the
order of fair queueing: each continues, in virtual time, where its last step would have ended if all shared
the processor equally. One that has cost little goes before those that have cost much, whatever they sent.

The order follows P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996, with measured
processing time in place of bytes sent.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count
from typing import Protocol

EXPECTED_NS_PER_BYTE = 5  # of input, before its cost has been measured
MIN_STEP_NS = 50_000  # the receive before a step and the write after it are not measured
MAX_STEP_NS = 250_000  # a longer step met a pause of the process, which is not the source's
IDLE_CREDIT_NS = 100_000  # unused time that a source keeps: it goes before those that have used theirs
FORGET_AFTER_NS = 100_000_000  # since its last step a source starts anew, so that no debt lasts
NS_PER_US = 1000


@dataclass(slots=True, eq=False)
class Share:
    """What one connection has used of the processor."""

    finish_ns: float  # when its last step would have ended with all sharing equally, in virtual time
    last_step_ns: int  # by the monotonic clock
    start_ns: float = 0.0  # when its next step may begin, in virtual time
    queued: bool = False


class InputSource(Protocol):
    """A connection with input to process."""

    share: Share

    def next_input_bytes(self) -> int:
        """The size of the next message, as far as it is known."""

    def process_next(self) -> bool:
        """Process one message or a bounded part of one; returns whether there is more."""

    def on_input_failed(self, error: Exception) -> None:
        """Called with what `process_next` has raised, and followed by `on_input_processed`."""

    def on_input_processed(self) -> None:
        """Called when there is no more to process: the connection may receive again."""


class TurnScheduler:
    """Runs the steps of all sources of one kind, for a bounded time in each turn of the event loop."""

    def __init__(
        self,
        turn_us: int,
        max_sources: int,
        is_backlogged: Callable[[], bool],
        clock_ns: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._max_sources = max_sources
        self._is_backlogged = is_backlogged  # what steps produce waits to be processed: none is run now
        self._clock_ns = clock_ns
        self._turn_ns = turn_us * NS_PER_US
        self._spent_ns = 0  # since the last turn began
        self._virtual_ns = 0.0
        self._waiting: list[tuple[float, int, InputSource]] = []  # a heap, by virtual start time
        self._sequence = count()
        self._turn_scheduled = False
        self._in_step = False

    def new_share(self) -> Share:
        """The share of a new connection; it has no credit, as it is easily replaced by another one."""
        return Share(finish_ns=self._virtual_ns, last_step_ns=self._clock_ns())

    def submit(self, source: InputSource) -> None:
        """Process the source's input: now if there is time left and nobody waits, else in a later turn."""
        if source.share.queued:
            return
        while self._may_step and not self._waiting and not self._in_step:
            self._set_start(source.share)
            if not self._run_step(source):
                source.on_input_processed()
                return
        self._enqueue(source)

    @property
    def _may_step(self) -> bool:
        return self._spent_ns < self._turn_ns and not self._is_backlogged()

    def _set_start(self, share: Share) -> None:
        is_recent = self._clock_ns() - share.last_step_ns < FORGET_AFTER_NS
        earliest_ns = self._virtual_ns - IDLE_CREDIT_NS
        share.start_ns = max(share.finish_ns, earliest_ns) if is_recent else earliest_ns

    def _enqueue(self, source: InputSource) -> None:
        share = source.share
        share.queued = True
        self._set_start(share)
        due_ns = share.start_ns + source.next_input_bytes() * EXPECTED_NS_PER_BYTE
        heappush(self._waiting, (due_ns, next(self._sequence), source))
        if not self._turn_scheduled:
            self._turn_scheduled = True
            self._loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._turn_scheduled = False
        self._spent_ns = 0
        while self._waiting and self._may_step:
            _, _, source = heappop(self._waiting)
            source.share.queued = False
            if self._run_step(source):
                self._enqueue(source)
            else:
                source.on_input_processed()
        if self._waiting and not self._turn_scheduled:
            self._turn_scheduled = True
            self._loop.call_soon(self._run_turn)

    def _run_step(self, source: InputSource) -> bool:
        self._in_step = True
        started_ns = self._clock_ns()
        try:
            has_more = source.process_next()
        except Exception as error:
            source.on_input_failed(error)
            has_more = False
        finally:
            self._in_step = False
        share, ended_ns = source.share, self._clock_ns()
        cost_ns = max(ended_ns - started_ns, MIN_STEP_NS)
        self._spent_ns += cost_ns
        charged_ns = min(cost_ns, MAX_STEP_NS)
        share.last_step_ns, share.finish_ns = ended_ns, share.start_ns + charged_ns
        # As much as each would have got if all connections had work, or up to the last that was served.
        self._virtual_ns = max(self._virtual_ns + charged_ns / self._max_sources, share.start_ns)
        return has_more
