"""The dispatcher: the single task that runs the routing policy.

Sessions, links and the bulletin client put their inputs on the dispatcher's inbox. The dispatcher processes
them in order, passes them to the routing policy as events and executes the actions that the policy returns.
Nothing else calls the policy, so it needs no locks.
"""

import asyncio
import traceback
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from whintrail import interface as api
from whintrail.gateway.clock import Clock
from whintrail.gateway.counters import Counters
from whintrail.gateway.limits import Limits
from whintrail.gateway.log import Log
from whintrail.gateway.postgres import Rows
from whintrail.gateway.statement import Statement
from whintrail.routing import RoutingPolicy
from whintrail.state import Engine
from whintrail.structures.wheel import Timer, TimingWheel


class Client(Protocol):
    """The client of a query. Each answer names its query; an answer to any other query is dropped."""

    def send_result(self, query: "Query", pages: list[Rows]) -> None: ...
    def refuse(self, query: "Query", retry_after_us: int | None) -> None: ...
    def fail(self, query: "Query", reason: str) -> None: ...
    def reject(self, query: "Query", reason: str) -> None: ...
    def has_left(self, query: "Query") -> bool: ...  # checks the connection itself


class AttemptLink(Protocol):
    """A link as an attempt's query sees it. Calls for an attempt that is not on the link have no effect."""

    def cancel(self, attempt: "Attempt") -> None: ...
    def update_priority(self, attempt: "Attempt") -> None: ...


class TimelineRecorder(Protocol):
    """Records what happens to engines. It decides nothing, and its faults don't affect the gateway."""

    def record_engine_list(self, now: int, event: api.EngineListReceived) -> None: ...
    def record_probe(self, now: int, event: api.ProbeFinished) -> None: ...
    def record_sent(
        self, now: int, engine: str, query: int, attempt: int, class_name: str, estimate_us: float | None
    ) -> None: ...
    def record_ended(
        self,
        now: int,
        engine: str,
        query: int,
        attempt: int,
        outcome: api.Outcome,
        elapsed_us: int,
        report: api.LoadReport | None,
    ) -> None: ...
    def record_note(
        self, now: int, engine: str, query: int, topic: api.StatusTopic, value: float
    ) -> None: ...
    def record_decisions(self, now: int, decisions: list[api.EngineDecision]) -> None: ...
    def record_agreement(
        self, now: int, engine: str, decision: str, value: float, gateway_number: float
    ) -> None: ...


class PeerSender(Protocol):
    """Sends messages to other gateways. Any message may be lost."""

    def send(self, target: int | None, payload: bytes) -> None: ...


class OperatorRules(Protocol):
    """The operators' rules that restrict which queries are admitted; see `versions/body.py`."""

    @property
    def shut(self) -> tuple[str, ...]: ...
    @property
    def paused(self) -> tuple[str, ...]: ...
    @property
    def caps(self) -> Mapping[str, int]: ...
    @property
    def wait_ms(self) -> Mapping[str, int]: ...
    @property
    def homes(self) -> Mapping[str, int]: ...


class EngineListOverlay(Protocol):
    """Applies the drains that the fleet has agreed on to the bulletin's engine list."""

    def apply_list(self, event: api.EngineListReceived) -> api.EngineListReceived: ...
    def set_drained(self, engines: frozenset[str]) -> api.EngineListReceived | None: ...


class EngineSubset(Protocol):
    """The subset of the engines that this gateway uses; see `gateway/subset.py`."""

    def apply_event(
        self, event: api.EngineListReceived, addresses: Mapping[str, str]
    ) -> "EngineListUpdate | None": ...
    def listed_engines(self) -> Mapping[str, api.EngineEntry]: ...
    def broadcast_report(self, now: int, payload: bytes) -> bool: ...
    def tick(self, now: int) -> "EngineListUpdate | None": ...


class EngineTransport(Protocol):
    """Sends attempts and probes to engines.

    Each attempt and probe gets exactly one result, put on the inbox and never delivered within the call.
    """

    def apply_engine_list(self, update: "EngineListUpdate") -> None: ...
    def send(self, attempt: "Attempt") -> None: ...
    def cancel(self, attempt: "Attempt") -> None: ...
    def update_priority(self, attempt: "Attempt") -> None: ...
    def probe(self, engine: str) -> None: ...


@dataclass(slots=True, eq=False)
class Query:
    """A client's query, from its last received byte until it is answered and all its attempts have ended."""

    client: Client
    statement: Statement
    received_us: int
    number: int = 0
    deadline_us: int = 0
    finished: bool = False
    client_left: bool = False  # set by the session, before the dispatcher processes its ClientDeparted
    grant_mb: float = 0.0
    priority: int | None = None  # None until the policy sets one
    attempts_started: int = 0
    open_attempts: dict[int, "Attempt"] = field(default_factory=dict)
    used_links: list["AttemptLink"] = field(default_factory=list)  # a call id is sent at most once per link
    deadline_timer: Timer | None = None
    counted_by_class: bool = False  # included in Dispatcher.open_by_class


@dataclass(slots=True, eq=False)
class Attempt:
    """One try to run a query on an engine."""

    query: Query
    number: int
    engine: str
    sent_us: int
    deadline_us: int
    begin_by_us: int | None = None  # latest time to send its first byte
    # Set if the query may not be repeated: it shares no link, as a fault that another request causes would
    # break its connection too.
    exclusive: bool = False
    finished: bool = False
    timeout_timer: Timer | None = None  # only if it times out before the query's deadline


@dataclass(slots=True)
class QueryReceived:
    """A session has received a query."""

    query: Query


@dataclass(slots=True)
class ClientDeparted:
    """The client has disconnected or cancelled the query; it takes no answer any more."""

    query: Query


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended; of several results for one attempt only the first counts."""

    attempt: Attempt
    outcome: api.Outcome
    work_ms: float | None = None
    memory_mb: float | None = None
    report: api.LoadReport | None = None
    pages: list[Rows] | None = None


@dataclass(slots=True)
class AttemptUpdate:
    """An engine's notice about a running attempt."""

    attempt: Attempt
    topic: api.StatusTopic
    value: float


@dataclass(slots=True)
class ProbeResult:
    """How a probe ended, with the engine's load report if it sent one."""

    engine: str
    outcome: api.Outcome
    sent_us: int
    report: api.LoadReport | None = None


@dataclass(slots=True)
class EngineListUpdate:
    """A change of the engine list, with the addresses of its engines."""

    event: api.EngineListReceived
    addresses: dict[str, str]
    generation: int = 0  # of the full list; gateways compare it among themselves


@dataclass(slots=True)
class PeerDatagram:
    """A datagram from another gateway."""

    origin: int
    payload: bytes


@dataclass(slots=True)
class DrainsChanged:
    """The complete set of engines that the fleet has agreed to drain."""

    engines: frozenset[str]


@dataclass(slots=True)
class Shutdown:
    """The gateway is about to exit: all open queries fail now."""


Input = (
    QueryReceived
    | ClientDeparted
    | AttemptResult
    | AttemptUpdate
    | ProbeResult
    | EngineListUpdate
    | PeerDatagram
    | DrainsChanged
    | Shutdown
)


class Inbox:
    """The dispatcher's queue of inputs, each with the time at which it was put."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.queue: deque[tuple[int, Input]] = deque()
        self.waiter: asyncio.Future[None] | None = None

    def put(self, item: Input) -> None:
        """Queue an input with the current time."""
        self.queue.append((self.clock.now_us(), item))
        if self.waiter is not None:
            self.wake()

    def wake(self) -> None:
        """End the dispatcher's `wait`."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def wait(self) -> None:
        """Wait until an input is queued or `wake` is called."""
        if not self.queue:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
            self.waiter = None


class Dispatcher:
    """Runs the routing policy: its inputs, timers and actions, all on one task."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        limits: Limits,
        inbox: Inbox,
        engines: EngineTransport,
        counters: Counters,
        log: Log,
    ) -> None:
        self.inbox, self.engines, self.limits = inbox, engines, limits
        self.counters, self.log = counters, log
        self.clock = inbox.clock
        self.now_us = self.clock.now_us()
        self.max_attempts = settings.max_attempts
        self.shutdown_deadline_us: int | None = None  # set once the gateway has to stop
        self.non_repeatable_classes = {c.name for c in settings.classes if c.effect is api.Effect.ONCE}
        self.class_deadlines_us = {c.name: c.deadline_us for c in settings.classes}
        self.policy = RoutingPolicy(settings, seed, self.now_us)
        self.open_queries: dict[int, Query] = {}
        self.open_attempts: dict[tuple[int, int], Attempt] = {}  # by query and attempt number
        self.open_call_ids: set[bytes] = set()
        # Ids of finished queries, in two generations.
        self.recent_call_ids, self.older_call_ids = set[bytes](), set[bytes]()
        self.rotate_call_ids_at_us = self.now_us + limits.call_id_retention_us
        self.last_query_number = 0
        self.timers = TimingWheel(self.now_us)
        self.timeline: TimelineRecorder | None = None
        self.drain_overlay: EngineListOverlay | None = None  # set if drains or rules can apply
        self.drained: frozenset[str] = frozenset()
        self.subset: EngineSubset | None = None  # None: this gateway uses all engines
        self.on_engine_list: Callable[[EngineListUpdate], None] | None = None
        self.current_rules: Callable[[], OperatorRules] | None = None  # None without rules
        self.applied_rules: OperatorRules | None = None  # the rules last returned by current_rules
        self.open_by_class: dict[str, int] = {}  # maintained only while rules apply
        self.local_number = settings.local_number
        self.retry_after_us = settings.max_retry_after_us if settings.retry_after else None
        self.load_classes = {c.name for c in settings.classes if c.is_load}
        self.class_counts: dict[str, list[int]] | None = None
        self.latency_targets_us = {c.name: c.target_latency_us for c in settings.classes}
        self.peers: PeerSender | None = None  # None if the deployment forbids messages among gateways
        self.wakeup: asyncio.TimerHandle | None = None
        self.wakeup_at_us = 0
        self._execute(self.policy.start())

    def attach_timeline(
        self, timeline: TimelineRecorder, tick: Callable[[int], None], interval_us: int
    ) -> None:
        """Record to a timeline from now on, and call `tick` with the current time every `interval_us`."""
        self.timeline, self.policy.decision_log = timeline, []

        def run_tick() -> None:
            self.timers.schedule(self.now_us + interval_us, run_tick)
            try:
                tick(self.now_us)
            except Exception as error:
                self._report_fault(error, "a tick", "timeline")

        run_tick()

    @property
    def is_idle(self) -> bool:
        """Whether no query is open and no input is queued."""
        return not self.open_queries and not self.inbox.queue

    async def run(self) -> None:
        """Process inputs and timers until cancelled."""
        queue, timers = self.inbox.queue, self.timers
        while True:
            await self.inbox.wait()
            turn_end_us = self.clock.now_us() + self.limits.dispatcher_turn_us
            while queue:
                at_us, item = queue.popleft()
                if self.current_rules is not None:
                    self._refresh_rules()
                if len(timers):
                    self._run_due_timers(at_us)
                if at_us > self.now_us:
                    self.now_us = at_us
                try:
                    self._process(item)
                except Exception as error:
                    self._report_fault(error, item)
                if queue and self.clock.now_us() >= turn_end_us:  # other tasks get their turn
                    await asyncio.sleep(0)
                    turn_end_us = self.clock.now_us() + self.limits.dispatcher_turn_us
            self._run_due_timers(self.clock.now_us())
            self._schedule_wakeup()

    # --- Timers.

    def _run_due_timers(self, until_us: int) -> None:
        """Run the timers due by `until_us` in order; timers that they set run in a later call."""
        last_sequence = self.timers.last_sequence
        while (callback := self.timers.pop_due(until_us, last_sequence)) is not None:
            self.now_us = max(self.now_us, until_us)
            try:
                callback()
            except Exception as error:
                self._report_fault(error, "a timer")

    def _schedule_wakeup(self) -> None:
        due_us = self.timers.next_due_us()
        if due_us is None:
            return
        if self.wakeup is not None:
            if self.wakeup_at_us <= due_us:
                return
            self.wakeup.cancel()
        self.wakeup_at_us = due_us
        # The event loop's timers have millisecond resolution. Round up, as a timer that fires too early would
        # only be set again.
        delay_s = max(0, due_us - self.clock.now_us()) // 1000 / 1000 + 0.001
        self.wakeup = asyncio.get_running_loop().call_later(delay_s, self._on_wakeup)

    def _on_wakeup(self) -> None:
        self.wakeup = None
        self.inbox.wake()

    # --- Inputs.

    def _handle_event(self, event: api.Event) -> None:
        """Pass an event to the policy and execute the actions it decides on."""
        try:
            actions = self.policy.handle(self.now_us, event)
        except Exception as error:
            self._report_fault(error, event)
            actions = self.policy.actions  # those decided before the fault; the policy's state holds them
        self._execute(actions)
        if self.policy.decision_log and self.timeline is not None:
            decisions, self.policy.decision_log = self.policy.decision_log, []
            self._record(self.timeline.record_decisions, self.now_us, decisions)

    def _record(self, method: Callable[..., None], *arguments: object) -> None:
        """Call a method of the timeline; its exceptions are counted and logged only."""
        try:
            method(*arguments)
        except Exception as error:
            self._report_fault(error, arguments, "timeline")

    def _report_fault(self, error: Exception, context: object, component: str = "module") -> None:
        """Count and log an exception, so that a fault with one query doesn't stop all others."""
        self.counters.add(component, "faults")
        frame = traceback.extract_tb(error.__traceback__)[-1]
        place = f"{frame.name}:{frame.lineno}"
        self.log.line(component, f"{type(error).__name__}: {error} at {place}, on {str(context)[:200]}")

    def _process(self, item: Input) -> None:
        match item:
            case QueryReceived(query):
                self._on_query(query)
            case AttemptResult():
                self._on_attempt_result(item)
            case AttemptUpdate(attempt, topic, value):
                if not attempt.finished:
                    number = attempt.query.number
                    if self.timeline is not None:
                        self._record(
                            self.timeline.record_note, self.now_us, attempt.engine, number, topic, value
                        )
                    self._handle_event(
                        api.AttemptStatusReceived(number, attempt.number, attempt.engine, topic, value)
                    )
            case ProbeResult(engine, outcome, sent_us, report):
                self.counters.add("probes", outcome.value.replace(" ", "_"))
                probe = api.ProbeFinished(engine, outcome, self.now_us - sent_us, report)
                if self.timeline is not None:
                    self._record(self.timeline.record_probe, self.now_us, probe)
                self._handle_event(probe)
            case ClientDeparted(query):
                self._abandon_query(query, "left")
            case EngineListUpdate(event, addresses):
                if self.subset is None:
                    self.engines.apply_engine_list(item)
                if self.on_engine_list is not None:
                    self.on_engine_list(item)
                visible = event if self.drain_overlay is None else self.drain_overlay.apply_list(event)
                if self.subset is None:
                    self._forward_engine_list(visible)
                else:
                    self._apply_subset_update(self.subset.apply_event(visible, addresses))
            case DrainsChanged(engines):
                self.drained = engines
                self._apply_drains()
            case PeerDatagram(origin, payload):
                self._handle_event(api.PeerMessageReceived(origin, payload))
            case Shutdown():
                for query in list(self.open_queries.values()):
                    self._fail_query(query, "stopped")

    def _forward_engine_list(self, event: api.EngineListReceived) -> None:
        if self.timeline is not None:
            self._record(self.timeline.record_engine_list, self.now_us, event)
        self._handle_event(event)

    def _apply_drains(self) -> None:
        if self.drain_overlay is not None:
            drained = (
                self.drained.union(self.applied_rules.shut)
                if self.applied_rules is not None
                else self.drained
            )
            change = self.drain_overlay.set_drained(drained)
            if change is not None and self.subset is not None:
                self._apply_subset_update(self.subset.apply_event(change, {}))
            elif change is not None:
                self._forward_engine_list(change)

    # --- Gateways that use a subset of the engines.

    def attach_subset(self, subset: EngineSubset, interval_us: int) -> None:
        """Restrict the engine list to a subset. Must be called before the first list arrives."""
        self.subset = subset

        def run_tick() -> None:
            self.timers.schedule(self.now_us + interval_us, run_tick)
            self._apply_subset_update(subset.tick(self.now_us))

        run_tick()

    def _apply_subset_update(self, update: EngineListUpdate | None) -> None:
        if update is not None:
            self.engines.apply_engine_list(update)
            self._forward_engine_list(update.event)

    def listed_engines(self) -> Mapping[str, Engine | api.EngineEntry]:
        """All engines of the list, including those outside this gateway's subset."""
        return self.policy.engines if self.subset is None else self.subset.listed_engines()

    # --- Fleet and operators' rules.

    def _refresh_rules(self) -> None:
        """Read the rules in force, before any decision.

        A gateway that was stopped for longer than its lease must not decide by the rules from before.
        """
        assert self.current_rules is not None
        rules = self.current_rules()
        if rules is not self.applied_rules:
            previous, self.applied_rules = self.applied_rules, rules
            if previous is None or previous.shut != rules.shut:
                self._apply_drains()

    def _blocking_rule(self, query: Query) -> str:
        """The kind of the operators' rule that forbids the query; empty if none does."""
        rules, statement = self.applied_rules, query.statement
        assert rules is not None
        class_name = statement.class_name
        if class_name in rules.paused:
            return "paused"
        cap = rules.caps.get(class_name)
        if cap is not None and self.open_by_class.get(class_name, 0) >= cap:
            return "cap"
        if rules.homes and class_name in self.load_classes and statement.table_group is not None:
            if rules.homes.get(str(statement.table_group), self.local_number) != self.local_number:
                return "home"
        return ""

    def enable_fleet_accounting(self) -> None:
        """Count queries by class from now on, and apply drains to the engine list.

        Must be called before any input is processed.
        """
        if self.drain_overlay is not None:
            return
        from whintrail.fleet.drain_overlay import DrainOverlay  # imported only with a fleet or rules

        self.drain_overlay = DrainOverlay()
        self.class_counts = {name: [0, 0, 0, 0] for name in self.class_deadlines_us}

    def class_totals(self) -> tuple[tuple[int, int, int, int], ...]:
        """For each class, counts since the start: received, failed, refused, late."""
        counts = self.class_counts or {}
        return tuple(
            (received & 0xFFFFFFFF, failed, refused, late)
            for received, failed, refused, late in counts.values()
        )

    def record_fleet_event(self, engine: str, decision: str, value: float, gateway_number: float) -> None:
        """Record a decision of the fleet in the timeline."""
        if self.timeline is not None:
            self._record(
                self.timeline.record_agreement, self.clock.now_us(), engine, decision, value, gateway_number
            )

    def count_open_attempts(self, engine: str) -> int:
        """The number of open attempts on an engine."""
        return sum(attempt.engine == engine for attempt in self.open_attempts.values())

    def _count_by_class(self, query: Query, status: str) -> None:
        assert self.class_counts is not None
        counts = self.class_counts.get(query.statement.class_name)
        if counts is None or status == "left":  # a departed client's query says nothing about the service
            return
        counts[0] += 1
        if status == "refused":
            counts[2] += 1
        elif status != "served":
            counts[1] += 1
        elif self.now_us - query.received_us > self.latency_targets_us[query.statement.class_name]:
            counts[3] += 1

    def _on_query(self, query: Query) -> None:
        statement = query.statement
        if query.client_left:  # it disconnected or cancelled while the query was queued
            query.finished = True
            self.counters.add("queries", "left")
            return
        if self._is_known_call_id(statement.call_id):
            query.finished = True
            self.counters.add("queries", "repeated")
            query.client.reject(query, "field call is that of another query")
            return
        self.open_call_ids.add(statement.call_id)
        self.last_query_number += 1
        query.number = self.last_query_number
        # The class's deadline is an upper bound for the time to live that the client asks for.
        ttl_us = deadline_us = self.class_deadlines_us.get(statement.class_name, 0)
        if statement.ttl_ms is not None:
            ttl_us = min(deadline_us, int(statement.ttl_ms * 1000))
        if self.applied_rules is not None:
            max_wait_ms = self.applied_rules.wait_ms.get(statement.class_name)
            ttl_us = ttl_us if max_wait_ms is None else min(ttl_us, max_wait_ms * 1000)
        query.deadline_us = query.received_us + ttl_us
        # While stopping, a query that can't finish in time is refused at once and can go to another gateway.
        if self.shutdown_deadline_us is not None:
            query.deadline_us = min(query.deadline_us, self.shutdown_deadline_us)
        self.open_queries[query.number] = query
        self.counters.add("queries", "taken")
        if self.applied_rules is not None:
            if rule := self._blocking_rule(query):
                self.counters.add("rules", rule)
                self._finish_query(query, "refused")
                query.client.refuse(query, self.retry_after_us)
                return
            self.open_by_class[statement.class_name] = self.open_by_class.get(statement.class_name, 0) + 1
            query.counted_by_class = True
        query.deadline_timer = self.timers.schedule(query.deadline_us, lambda: self._on_query_deadline(query))
        self._handle_event(
            api.QueryArrived(
                query=query.number,
                class_name=statement.class_name,
                deadline_at_us=query.deadline_us,
                cost_us=None if statement.work_ms is None else statement.work_ms * 1000,
                memory_mb=statement.memory_mb,
                table_group=(statement.table_group if statement.class_name in self.load_classes else None),
                ordering_key=None,
                tenant=None,
                is_repeat=False,
            )
        )

    def _is_known_call_id(self, call_id: bytes) -> bool:
        """Whether a call id belongs to an open or recent query.

        Reusing it could match an engine's late or duplicate answer for the earlier query to the new one.
        """
        if (
            self.now_us > self.rotate_call_ids_at_us
            or len(self.recent_call_ids) >= self.limits.recent_call_ids
        ):
            self.recent_call_ids, self.older_call_ids = set(), self.recent_call_ids
            self.rotate_call_ids_at_us = self.now_us + self.limits.call_id_retention_us
        return (
            call_id in self.open_call_ids or call_id in self.recent_call_ids or call_id in self.older_call_ids
        )

    def _on_attempt_result(self, result: AttemptResult) -> None:
        attempt = result.attempt
        if attempt.finished:
            return
        attempt.finished = True
        query = attempt.query
        query.open_attempts.pop(attempt.number, None)
        self.open_attempts.pop((query.number, attempt.number), None)
        if attempt.timeout_timer is not None:
            self.timers.cancel(attempt.timeout_timer)
            attempt.timeout_timer = None
        self._release_deadline_timer(query)
        self.counters.add("attempts", result.outcome.value.replace(" ", "_"))
        if result.outcome is api.Outcome.OK and not query.finished:
            self._finish_query(query, "served")
            query.client.send_result(query, result.pages or [])
        number, engine, elapsed_us = query.number, attempt.engine, self.now_us - attempt.sent_us
        if self.timeline is not None:
            details = engine, number, attempt.number, result.outcome, elapsed_us, result.report
            self._record(self.timeline.record_ended, self.now_us, *details)
        self._handle_event(
            api.AttemptFinished(
                query=number,
                attempt=attempt.number,
                engine=engine,
                outcome=result.outcome,
                elapsed_us=elapsed_us,
                final=query.finished,
                work_ms=result.work_ms,
                memory_mb=result.memory_mb,
                report=result.report,
            )
        )

    def _abandon_query(self, query: Query, status: str) -> None:
        if not query.finished and query.number:
            self._finish_query(query, status)
            self._handle_event(api.ClientDisconnected(query.number))

    def _fail_query(self, query: Query, reason: str) -> None:
        if not query.finished:
            query.client.fail(query, reason)
            self._abandon_query(query, reason)

    def _on_query_deadline(self, query: Query) -> None:
        """Time out the open attempts; the policy then ends the query."""
        for attempt in list(query.open_attempts.values()):
            self._on_attempt_timeout(attempt)
        if not query.finished:
            overdue_us = query.deadline_us + self.limits.answer_slack_us
            query.deadline_timer = self.timers.schedule(overdue_us, lambda: self._on_query_overdue(query))

    def _on_query_overdue(self, query: Query) -> None:
        """Fail a query that the policy should have ended by now, so that its client still gets an answer."""
        if not query.finished:
            self.log.line("overdue", f"query {query.number} had no answer by its deadline")
            self._fail_query(query, "overdue")

    def _on_attempt_timeout(self, attempt: Attempt) -> None:
        if not attempt.finished:
            self.engines.cancel(attempt)
            self._on_attempt_result(AttemptResult(attempt, api.Outcome.TIMEOUT))

    def _finish_query(self, query: Query, status: str) -> None:
        query.finished = True
        self.open_queries.pop(query.number, None)
        self.open_call_ids.discard(query.statement.call_id)
        self.recent_call_ids.add(query.statement.call_id)
        self.counters.add("queries", status)
        if query.counted_by_class:
            self.open_by_class[query.statement.class_name] -= 1
        if self.class_counts is not None:
            self._count_by_class(query, status)
        self._release_deadline_timer(query)

    def _release_deadline_timer(self, query: Query) -> None:
        """Cancel the deadline timer of a finished query without open attempts, to free its memory."""
        if query.finished and not query.open_attempts and query.deadline_timer is not None:
            self.timers.cancel(query.deadline_timer)
            query.deadline_timer = None

    # --- Actions of the policy.

    def _execute(self, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.SendAttempt(number, engine, timeout_us, begin_by_us):
                    self._send_attempt(number, engine, timeout_us, begin_by_us)
                case api.SetGrantAndPriority(number, grant_mb, priority):
                    self._set_grant_and_priority(number, grant_mb, priority)
                case api.CancelAttempt(number, attempt_number):
                    self._cancel_attempt(number, attempt_number)
                case api.RefuseQuery(number, retry_after_us):
                    if query := self.open_queries.get(number):
                        self._finish_query(query, "refused")
                        query.client.refuse(query, retry_after_us)
                case api.FailQuery(number):
                    if query := self.open_queries.get(number):
                        self._finish_query(query, "failed")
                        query.client.fail(query, "failed")
                case api.SendProbe(engine):
                    self.engines.probe(engine)
                case api.SendPeerMessage(target, payload):
                    subset = self.subset if target is None else None
                    batched = subset is not None and subset.broadcast_report(self.now_us, payload)
                    if self.peers is not None and not batched:
                        self.peers.send(target, payload)
                case api.SetTimer(token, at_us):
                    self.timers.schedule(at_us, lambda token=token: self._handle_event(api.TimerFired(token)))  # type: ignore[misc]
                case api.WatchEngineList():
                    pass  # the bulletin client follows the list all the time

    def _send_attempt(self, number: int, engine: str, timeout_us: int, begin_by_us: int | None) -> None:
        query = self.open_queries.get(number)
        if query is None:
            self.log.line("module", f"a send for query {number}, which has finished")
            return
        deadline_us = (
            query.deadline_us if timeout_us == 0 else min(query.deadline_us, self.now_us + timeout_us)
        )
        exclusive = query.statement.class_name in self.non_repeatable_classes
        attempt = Attempt(
            query, query.attempts_started, engine, self.now_us, deadline_us, begin_by_us, exclusive
        )
        query.attempts_started += 1
        query.open_attempts[attempt.number] = attempt
        self.open_attempts[number, attempt.number] = attempt
        is_over_limit = self.max_attempts is not None and query.attempts_started > self.max_attempts
        # The policy decided for the time of the event, which may have waited in the queue. Check again that
        # there is time left and the client is still there.
        latest_start_us = deadline_us if begin_by_us is None else min(deadline_us, begin_by_us)
        if is_over_limit or self.clock.now_us() >= latest_start_us or self._client_has_left(query):
            self.inbox.put(AttemptResult(attempt, api.Outcome.NOT_STARTED))
            return
        self.counters.add("attempts", "sent")
        if self.timeline is not None:
            statement = query.statement
            estimate_us = None if statement.work_ms is None else statement.work_ms * 1000
            details = engine, number, attempt.number, statement.class_name, estimate_us
            self._record(self.timeline.record_sent, self.now_us, *details)
        if deadline_us < query.deadline_us:
            attempt.timeout_timer = self.timers.schedule(
                deadline_us, lambda: self._on_attempt_timeout(attempt)
            )
        self.engines.send(attempt)

    def _client_has_left(self, query: Query) -> bool:
        """Whether the client has disconnected.

        The client of a new query is not checked: the check costs a system call, and the session would have
        read the end of the connection by the next turn of the loop.
        """
        if query.client_left:
            return True
        is_new = (
            query.attempts_started == 1
            and self.clock.now_us() - query.received_us < self.limits.new_query_grace_us
        )
        return not is_new and query.client.has_left(query)

    def _set_grant_and_priority(self, number: int, grant_mb: float, priority: int) -> None:
        query = self.open_queries.get(number)
        if query is None:
            return
        changed = priority != query.priority
        query.grant_mb, query.priority = grant_mb, priority
        for attempt in query.open_attempts.values() if changed else ():
            self.engines.update_priority(attempt)

    def _cancel_attempt(self, number: int, attempt_number: int) -> None:
        attempt = self.open_attempts.get((number, attempt_number))
        if attempt is not None:
            self.engines.cancel(attempt)
            self.inbox.put(AttemptResult(attempt, api.Outcome.CANCELLED))
