"""The one owner of the decision module: its queue, its timers, its actions.

Sessions, links and the bulletin put what happens on the queue; one task takes it in order, hands it to the
module and carries out what the module asks for. Nothing else touches the module.
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
    """Who asked. Each answer is for the query that it names; one for another query is dropped."""

    def send_result(self, query: "Query", pages: list[Rows]) -> None: ...
    def refuse(self, query: "Query", retry_after_us: int | None) -> None: ...
    def fail(self, query: "Query", reason: str) -> None: ...
    def reject(self, query: "Query", reason: str) -> None: ...
    def has_left(self, query: "Query") -> bool: ...  # asks the connection itself


class AttemptLink(Protocol):
    """A link: an attempt that it does not carry is none of its business."""

    def cancel(self, attempt: "Attempt") -> None: ...
    def update_priority(self, attempt: "Attempt") -> None: ...


class TimelineRecorder(Protocol):
    """Who keeps what engines go through. It decides nothing, and its faults are not the gateway's."""

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
    def record_decisions(self, now: int, remarks: list[api.EngineDecision]) -> None: ...
    def record_agreement(
        self, now: int, engine: str, decision: str, value: float, gateway_number: float
    ) -> None: ...


class PeerSender(Protocol):
    """What carries messages to other gateways; it may lose any."""

    def send(self, target: int | None, payload: bytes) -> None: ...


class OperatorRules(Protocol):
    """What the operators agreed on that bears on what is taken; see `versions/body.py`."""

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
    """What the fleet has agreed on the engines, laid over the bulletin's list."""

    def apply_list(self, event: api.EngineListReceived) -> api.EngineListReceived: ...
    def set_drained(self, engines: frozenset[str]) -> api.EngineListReceived | None: ...


class EngineSubset(Protocol):
    """The part of the engines that this gateway keeps, where each keeps a part; see `gateway/subset.py`."""

    def apply_event(
        self, event: api.EngineListReceived, addresses: Mapping[str, str]
    ) -> "EngineListUpdate | None": ...
    def listed_engines(self) -> Mapping[str, api.EngineEntry]: ...
    def broadcast_report(self, now: int, payload: bytes) -> bool: ...
    def tick(self, now: int) -> "EngineListUpdate | None": ...


class EngineTransport(Protocol):
    """What carries attempts and probes; each gets exactly one end through the queue, never at once."""

    def apply_engine_list(self, update: "EngineListUpdate") -> None: ...
    def send(self, attempt: "Attempt") -> None: ...
    def cancel(self, attempt: "Attempt") -> None: ...
    def update_priority(self, attempt: "Attempt") -> None: ...
    def probe(self, engine: str) -> None: ...


@dataclass(slots=True, eq=False)
class Query:
    """A client's query, from its last byte until its answer and the end of its attempts."""

    client: Client
    statement: Statement
    received_us: int
    number: int = 0
    deadline_us: int = 0
    finished: bool = False
    client_left: bool = False  # the client has gone, though the owner may not have come to hear of it
    grant_mb: float = 0.0
    priority: int | None = None  # None: never set
    attempts_started: int = 0
    open_attempts: dict[int, "Attempt"] = field(default_factory=dict)
    used_links: list["AttemptLink"] = field(
        default_factory=list
    )  # links that have carried it: no id runs twice on one
    deadline_timer: Timer | None = None  # for the end of its time
    counted_by_class: bool = False  # among those in hand of its class


@dataclass(slots=True, eq=False)
class Attempt:
    query: Query
    number: int
    engine: str
    sent_us: int
    deadline_us: int
    begin_by_us: int | None = None  # its first byte may go out no later
    exclusive: bool = False  # it may not be repeated: what breaks others' connection should not break its own
    finished: bool = False
    timeout_timer: Timer | None = None  # where its time ends before the query's


@dataclass(slots=True)
class QueryReceived:
    query: Query


@dataclass(slots=True)
class ClientDeparted:
    """The client left, or takes no answer any more."""

    query: Query


@dataclass(slots=True)
class AttemptResult:
    attempt: Attempt
    outcome: api.Outcome
    work_ms: float | None = None
    memory_mb: float | None = None
    report: api.LoadReport | None = None
    pages: list[Rows] | None = None


@dataclass(slots=True)
class AttemptUpdate:
    attempt: Attempt
    topic: api.StatusTopic
    value: float


@dataclass(slots=True)
class ProbeResult:
    engine: str
    outcome: api.Outcome
    sent_us: int
    report: api.LoadReport | None = None


@dataclass(slots=True)
class EngineListUpdate:
    """An event of the engine list, with the addresses of its engines."""

    event: api.EngineListReceived
    addresses: dict[str, str]
    generation: int = 0  # of the whole list, which gateways can compare


@dataclass(slots=True)
class PeerDatagram:
    """A datagram from another gateway."""

    origin: int
    payload: bytes


@dataclass(slots=True)
class DrainsChanged:
    """Engines that the fleet has agreed to drain, all of them."""

    engines: frozenset[str]


@dataclass(slots=True)
class Shutdown:
    """What is still open fails now."""


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
    """The one way to the owner: each input with the time at which it happened."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.queue: deque[tuple[int, Input]] = deque()
        self.waiter: asyncio.Future[None] | None = None

    def put(self, item: Input) -> None:
        self.queue.append((self.clock.now_us(), item))
        if self.waiter is not None:
            self.wake()

    def wake(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def wait(self) -> None:
        """Until something is queued or `wake` is called."""
        if not self.queue:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
            self.waiter = None


class Dispatcher:
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
        self.shutdown_deadline_us: int | None = None  # when the program ends, once it is told to
        self.non_repeatable_classes = {c.name for c in settings.classes if c.effect is api.Effect.ONCE}
        self.class_deadlines_us = {c.name: c.deadline_us for c in settings.classes}
        self.policy = RoutingPolicy(settings, seed, self.now_us)
        self.open_queries: dict[int, Query] = {}
        self.open_attempts: dict[tuple[int, int], Attempt] = {}  # without an outcome
        self.open_call_ids: set[bytes] = set()  # ids of open queries
        self.recent_call_ids, self.older_call_ids = (
            set[bytes](),
            set[bytes](),
        )  # of those over, of late and before that
        self.rotate_call_ids_at_us = self.now_us + limits.call_id_retention_us
        self.last_query_number = 0
        self.timers = TimingWheel(self.now_us)
        self.timeline: TimelineRecorder | None = None
        self.drain_overlay: EngineListOverlay | None = None  # of the fleet's drains, where there is a fleet
        self.drained: frozenset[str] = frozenset()
        self.subset: EngineSubset | None = None  # None: we keep all engines
        self.on_engine_list: Callable[[EngineListUpdate], None] | None = None
        self.current_rules: Callable[[], OperatorRules] | None = (
            None  # those in force at this moment, where there are any
        )
        self.applied_rules: OperatorRules | None = None  # as the module knows them
        self.open_by_class: dict[str, int] = {}  # open queries by class, where there are rules
        self.local_number, self.retry_after_us = (
            settings.local_number,
            settings.max_retry_after_us if settings.retry_after else None,
        )
        self.load_classes = {c.name for c in settings.classes if c.is_load}
        self.class_counts: dict[str, list[int]] | None = None
        self.latency_targets_us = {c.name: c.target_latency_us for c in settings.classes}
        self.peers: PeerSender | None = None  # none where the deployment bars talk among gateways
        self.wakeup: asyncio.TimerHandle | None = None
        self.wakeup_at_us = 0
        self._execute(self.policy.start())

    def attach_timeline(
        self, timeline: TimelineRecorder, tick: Callable[[int], None], interval_us: int
    ) -> None:
        """Keep a time line from now on; `tick` is called with the time, again and again."""
        self.timeline, self.policy.decision_log = timeline, []

        def turn() -> None:
            self.timers.schedule(self.now_us + interval_us, turn)
            try:
                tick(self.now_us)
            except Exception as error:
                self._report_fault(error, "a tick", "timeline")

        turn()

    @property
    def is_idle(self) -> bool:
        return not self.open_queries and not self.inbox.queue

    async def run(self) -> None:
        queue, timers = self.inbox.queue, self.timers
        while True:
            await self.inbox.wait()
            while queue:
                at, item = queue.popleft()
                if self.current_rules is not None:
                    self._refresh_rules()
                if len(timers):
                    self._run_due_timers(at)
                if at > self.now_us:
                    self.now_us = at
                try:
                    self._process(item)
                except Exception as error:
                    self._report_fault(error, item)
            self._run_due_timers(self.clock.now_us())
            self._schedule_wakeup()

    # --- Timers.

    def _run_due_timers(self, until_us: int) -> None:
        """What has fallen due by then, in order; what this sets for the same time waits its turn."""
        last = self.timers.last_sequence
        while (then := self.timers.pop_due(until_us, last)) is not None:
            self.now_us = max(self.now_us, until_us)
            try:
                then()
            except Exception as error:
                self._report_fault(error, "a timer")

    def _schedule_wakeup(self) -> None:
        due = self.timers.next_due_us()
        if due is None:
            return
        if self.wakeup is not None:
            if self.wakeup_at_us <= due:
                return
            self.wakeup.cancel()
        self.wakeup_at_us = due
        # The loop's timers count whole milliseconds: one that came early would only be set again.
        delay = max(0, due - self.clock.now_us()) // 1000 / 1000 + 0.001
        self.wakeup = asyncio.get_running_loop().call_later(delay, self._on_wakeup)

    def _on_wakeup(self) -> None:
        self.wakeup = None
        self.inbox.wake()

    # --- What happens.

    def _handle_event(self, event: api.Event) -> None:
        try:
            actions = self.policy.handle(self.now_us, event)
        except Exception as error:
            self._report_fault(error, event)
            actions = self.policy.actions  # what it had decided by then, which it remembers
        self._execute(actions)
        if self.policy.decision_log and self.timeline is not None:
            remarks, self.policy.decision_log = self.policy.decision_log, []
            self._record(self.timeline.record_decisions, self.now_us, remarks)

    def _record(self, method: Callable[..., None], *arguments: object) -> None:
        """For the time line; its faults are counted, and end nothing."""
        try:
            method(*arguments)
        except Exception as error:
            self._report_fault(error, arguments, "timeline")

    def _report_fault(self, error: Exception, context: object, component: str = "module") -> None:
        """One query's trouble must not be everybody's."""
        self.counters.add(component, "faults")
        where = traceback.extract_tb(error.__traceback__)[-1]
        place = f"{where.name}:{where.lineno}"
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
                probed = api.ProbeFinished(engine, outcome, self.now_us - sent_us, report)
                if self.timeline is not None:
                    self._record(self.timeline.record_probe, self.now_us, probed)
                self._handle_event(probed)
            case ClientDeparted(query):
                self._abandon_query(query, "left")
            case EngineListUpdate(event, addresses):
                if self.subset is None:
                    self.engines.apply_engine_list(item)
                if self.on_engine_list is not None:
                    self.on_engine_list(item)
                shown = event if self.drain_overlay is None else self.drain_overlay.apply_list(event)
                if self.subset is None:
                    self._forward_engine_list(shown)
                else:
                    self._apply_subset_update(self.subset.apply_event(shown, addresses))
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
            shut = (
                self.drained.union(self.applied_rules.shut)
                if self.applied_rules is not None
                else self.drained
            )
            changed = self.drain_overlay.set_drained(shut)
            if changed is not None and self.subset is not None:
                self._apply_subset_update(self.subset.apply_event(changed, {}))
            elif changed is not None:
                self._forward_engine_list(changed)

    # --- Where each gateway keeps a part of the engines.

    def attach_subset(self, subset: EngineSubset, interval_us: int) -> None:
        """From now on only that part of the list counts here; before the first list."""
        self.subset = subset

        def turn() -> None:
            self.timers.schedule(self.now_us + interval_us, turn)
            self._apply_subset_update(subset.tick(self.now_us))

        turn()

    def _apply_subset_update(self, update: EngineListUpdate | None) -> None:
        if update is not None:
            self.engines.apply_engine_list(update)
            self._forward_engine_list(update.event)

    def listed_engines(self) -> Mapping[str, Engine | api.EngineEntry]:
        """All engines of the list, whether or not we keep them."""
        return self.policy.engines if self.subset is None else self.subset.listed_engines()

    # --- For the fleet.

    def _refresh_rules(self) -> None:
        """Before anything is decided: which rules hold now. One who stood still past its lease decides
        nothing by what held before."""
        assert self.current_rules is not None
        rule = self.current_rules()
        if rule is not self.applied_rules:
            before, self.applied_rules = self.applied_rules, rule
            if before is None or before.shut != rule.shut:
                self._apply_drains()

    def _blocking_rule(self, query: Query) -> str:
        """By which rule of the operators it is not taken; empty if by none."""
        rule, statement = self.applied_rules, query.statement
        assert rule is not None
        name = statement.class_name
        if name in rule.paused:
            return "paused"
        cap = rule.caps.get(name)
        if cap is not None and self.open_by_class.get(name, 0) >= cap:
            return "cap"
        if rule.homes and name in self.load_classes and statement.table_group is not None:
            if rule.homes.get(str(statement.table_group), self.local_number) != self.local_number:
                return "home"
        return ""

    def enable_fleet_accounting(self) -> None:
        """Count by class from now on, and lay the fleet's drains over the list; before anything is taken."""
        if self.drain_overlay is not None:
            return
        from whintrail.fleet.drain_overlay import DrainOverlay  # only where a fleet, or rules, are asked for

        self.drain_overlay = DrainOverlay()
        self.class_counts = {name: [0, 0, 0, 0] for name in self.class_deadlines_us}

    def class_totals(self) -> tuple[tuple[int, int, int, int], ...]:
        """Of each class, since the start: taken, failed, refused, late."""
        counts = self.class_counts or {}
        return tuple((a & 0xFFFFFFFF, b, c, d) for a, b, c, d in counts.values())

    def record_fleet_event(self, engine: str, word: str, figure: float, member: float) -> None:
        """For the time line: what the fleet decided."""
        if self.timeline is not None:
            self._record(self.timeline.record_agreement, self.clock.now_us(), engine, word, figure, member)

    def count_open_attempts(self, engine: str) -> int:
        """Attempts without an outcome on an engine."""
        return sum(attempt.engine == engine for attempt in self.open_attempts.values())

    def _count_by_class(self, query: Query, status: str) -> None:
        assert self.class_counts is not None
        counts = self.class_counts.get(query.statement.class_name)
        if counts is None or status == "left":  # a client that left has no complaint
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
        if (
            query.client_left
        ):  # closed or cancelled while the owner was behind: nothing begins for it any more
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
        # No client waits longer than its class's deadline, whatever it says.
        ttl_us = deadline_us = self.class_deadlines_us.get(statement.class_name, 0)
        if statement.ttl_ms is not None:
            ttl_us = min(deadline_us, int(statement.ttl_ms * 1000))
        if self.applied_rules is not None:
            most_ms = self.applied_rules.wait_ms.get(statement.class_name)
            ttl_us = ttl_us if most_ms is None else min(ttl_us, most_ms * 1000)
        query.deadline_us = query.received_us + ttl_us
        if (
            self.shutdown_deadline_us is not None
        ):  # what can't be done by then is for another gateway, and told so at once
            query.deadline_us = min(query.deadline_us, self.shutdown_deadline_us)
        self.open_queries[query.number] = query
        self.counters.add("queries", "taken")
        if self.applied_rules is not None:
            if why := self._blocking_rule(query):
                self.counters.add("rules", why)
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
                table_group=statement.table_group,
                ordering_key=None,
                tenant=None,
                is_repeat=False,
            )
        )

    def _is_known_call_id(self, call_id: bytes) -> bool:
        """Whether an id is open, or was of late: what an engine still says of the one query, surplus answers
        too, may not be taken for the other's."""
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
            what = engine, number, attempt.number, result.outcome, elapsed_us, result.report
            self._record(self.timeline.record_ended, self.now_us, *what)
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
        """The client's time has run out, and with it that of the attempts that are out."""
        for attempt in list(query.open_attempts.values()):
            self._on_attempt_timeout(attempt)
        if not query.finished:
            overdue_us = query.deadline_us + self.limits.answer_slack_us
            query.deadline_timer = self.timers.schedule(overdue_us, lambda: self._on_query_overdue(query))

    def _on_query_overdue(self, query: Query) -> None:
        """The module ends every query in time; should one be left, its client still gets an answer."""
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
        """No timer keeps a query that is answered and has no attempt out."""
        if query.finished and not query.open_attempts and query.deadline_timer is not None:
            self.timers.cancel(query.deadline_timer)
            query.deadline_timer = None

    # --- What the module asks for.

    def _execute(self, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.SendAttempt(number, engine, timeout_us, begin_by_us):
                    self._send_attempt(number, engine, timeout_us, begin_by_us)
                case api.SetGrantAndPriority(number, grant_mb, priority):
                    self._set_terms(number, grant_mb, priority)
                case api.CancelAttempt(number, attempt_number):
                    self._cancel_attempt(number, attempt_number)
                case api.RefuseQuery(number, pause_us):
                    if query := self.open_queries.get(number):
                        self._finish_query(query, "refused")
                        query.client.refuse(query, pause_us)
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
                    pass  # the bulletin comes by itself

    def _send_attempt(self, number: int, engine: str, timeout_us: int, begin_by_us: int | None) -> None:
        query = self.open_queries.get(number)
        if query is None:
            self.log.line("module", f"a send for query {number}, which is over")
            return
        limit = query.deadline_us if timeout_us == 0 else min(query.deadline_us, self.now_us + timeout_us)
        alone = query.statement.class_name in self.non_repeatable_classes
        attempt = Attempt(query, query.attempts_started, engine, self.now_us, limit, begin_by_us, alone)
        query.attempts_started += 1
        query.open_attempts[attempt.number] = attempt
        self.open_attempts[number, attempt.number] = attempt
        spent = self.max_attempts is not None and query.attempts_started > self.max_attempts
        # The module decides at the time of an event, which may have waited here; the client may have gone
        # since. What does not hold now does not begin.
        by = limit if begin_by_us is None else min(limit, begin_by_us)
        if spent or self.clock.now_us() >= by or self._client_has_left(query):
            self.inbox.put(AttemptResult(attempt, api.Outcome.NOT_STARTED))
            return
        self.counters.add("attempts", "sent")
        if self.timeline is not None:
            statement = query.statement
            estimate_us = None if statement.work_ms is None else statement.work_ms * 1000
            what = engine, number, attempt.number, statement.class_name, estimate_us
            self._record(self.timeline.record_sent, self.now_us, *what)
        if limit < query.deadline_us:
            attempt.timeout_timer = self.timers.schedule(limit, lambda: self._on_attempt_timeout(attempt))
        self.engines.send(attempt)

    def _client_has_left(self, query: Query) -> bool:
        """Whether the client has gone. One that has only just asked is not looked for: each look costs a
        system call, and the session would have read its end by the next turn."""
        if query.client_left:
            return True
        fresh = (
            query.attempts_started == 1
            and self.clock.now_us() - query.received_us < self.limits.new_query_grace_us
        )
        return not fresh and query.client.has_left(query)

    def _set_terms(self, number: int, grant_mb: float, priority: int) -> None:
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
