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
from whintrail.brain import Gateway
from whintrail.gateway.clock import Clock
from whintrail.gateway.counters import Counters
from whintrail.gateway.limits import Limits
from whintrail.gateway.log import Log
from whintrail.gateway.postgres import Rows
from whintrail.gateway.statement import Statement
from whintrail.state import Engine
from whintrail.structures.wheel import Timer, Wheel


class Client(Protocol):
    """Who asked. Each answer is for the query that it names; one for another query is dropped."""

    def serve(self, query: "Query", pages: list[Rows]) -> None: ...
    def refuse(self, query: "Query", pause_us: int | None) -> None: ...
    def fail(self, query: "Query", reason: str) -> None: ...
    def reject(self, query: "Query", reason: str) -> None: ...
    def gone(self, query: "Query") -> bool: ...  # asks the connection itself


class Carrier(Protocol):
    """A link: an attempt that it does not carry is none of its business."""

    def undo(self, attempt: "Attempt") -> None: ...
    def bump(self, attempt: "Attempt") -> None: ...


class TimeLine(Protocol):
    """Who keeps what engines go through. It decides nothing, and its faults are not the gateway's."""

    def listed(self, now: int, event: api.EngineList) -> None: ...
    def probed(self, now: int, event: api.ProbeEnded) -> None: ...
    def sent(
        self, now: int, engine: str, query: int, attempt: int, class_name: str, estimate_us: float | None
    ) -> None: ...
    def ended(
        self,
        now: int,
        engine: str,
        query: int,
        attempt: int,
        outcome: api.Outcome,
        elapsed_us: int,
        report: api.LoadReport | None,
    ) -> None: ...
    def noted(self, now: int, engine: str, query: int, topic: api.Topic, value: float) -> None: ...
    def remarked(self, now: int, remarks: list[api.Remark]) -> None: ...
    def agreed(self, now: int, engine: str, word: str, figure: float, member: float) -> None: ...


class Peers(Protocol):
    """What carries messages to other gateways; it may lose any."""

    def tell(self, target: int | None, payload: bytes) -> None: ...


class Ruled(Protocol):
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


class ListOverlay(Protocol):
    """What the fleet has agreed on the engines, laid over the bulletin's list."""

    def listed(self, event: api.EngineList) -> api.EngineList: ...
    def drain(self, engines: frozenset[str]) -> api.EngineList | None: ...


class Subset(Protocol):
    """The part of the engines that this gateway keeps, where each keeps a part; see `gateway/subset.py`."""

    def listed(self, event: api.EngineList, addresses: Mapping[str, str]) -> "Listed | None": ...
    def engines(self) -> Mapping[str, api.EngineEntry]: ...
    def tell(self, now: int, payload: bytes) -> bool: ...
    def turn(self, now: int) -> "Listed | None": ...


class Engines(Protocol):
    """What carries attempts and probes; each gets exactly one end through the queue, never at once."""

    def update(self, listed: "Listed") -> None: ...
    def send(self, attempt: "Attempt") -> None: ...
    def undo(self, attempt: "Attempt") -> None: ...
    def bump(self, attempt: "Attempt") -> None: ...
    def probe(self, engine: str) -> None: ...


@dataclass(slots=True, eq=False)
class Query:
    """A client's query, from its last byte until its answer and the end of its attempts."""

    client: Client
    statement: Statement
    taken_us: int
    number: int = 0
    give_up_us: int = 0
    over: bool = False
    left: bool = False  # the client has gone, though the owner may not have come to hear of it
    grant_mb: float = 0.0
    priority: int | None = None  # None: never set
    sends: int = 0
    out: dict[int, "Attempt"] = field(default_factory=dict)
    used: list["Carrier"] = field(default_factory=list)  # links that have carried it: no id runs twice on one
    timer: Timer | None = None  # for the end of its time
    counted: bool = False  # among those in hand of its class


@dataclass(slots=True, eq=False)
class Attempt:
    query: Query
    number: int
    engine: str
    sent_us: int
    limit_us: int
    begin_by_us: int | None = None  # its first byte may go out no later
    alone: bool = False  # it may not be repeated: what breaks others' connection should not break its own
    over: bool = False
    timer: Timer | None = None  # where its time ends before the query's


@dataclass(slots=True)
class Asked:
    query: Query


@dataclass(slots=True)
class Gone:
    """The client left, or takes no answer any more."""

    query: Query


@dataclass(slots=True)
class Ended:
    attempt: Attempt
    outcome: api.Outcome
    work_ms: float | None = None
    memory_mb: float | None = None
    report: api.LoadReport | None = None
    pages: list[Rows] | None = None


@dataclass(slots=True)
class Noted:
    attempt: Attempt
    topic: api.Topic
    value: float


@dataclass(slots=True)
class Probed:
    engine: str
    outcome: api.Outcome
    sent_us: int
    report: api.LoadReport | None = None


@dataclass(slots=True)
class Listed:
    """An event of the engine list, with the addresses of its engines."""

    event: api.EngineList
    addresses: dict[str, str]
    generation: int = 0  # of the whole list, which gateways can compare


@dataclass(slots=True)
class Told:
    """A datagram from another gateway."""

    origin: int
    payload: bytes


@dataclass(slots=True)
class Drains:
    """Engines that the fleet has agreed to drain, all of them."""

    engines: frozenset[str]


@dataclass(slots=True)
class Stop:
    """What is still open fails now."""


Input = Asked | Gone | Ended | Noted | Probed | Listed | Told | Drains | Stop


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


class Owner:
    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        limits: Limits,
        inbox: Inbox,
        engines: Engines,
        counters: Counters,
        log: Log,
    ) -> None:
        self.inbox, self.engines, self.limits = inbox, engines, limits
        self.counters, self.log = counters, log
        self.clock = inbox.clock
        self.now = self.clock.now_us()
        self.max_attempts = settings.max_attempts
        self.ends_us: int | None = None  # when the program ends, once it is told to
        self.once = {c.name for c in settings.classes if c.effect is api.Effect.ONCE}
        self.deadlines = {c.name: c.deadline_us for c in settings.classes}
        self.module = Gateway(settings, seed, self.now)
        self.queries: dict[int, Query] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}  # without an outcome
        self.calls: set[bytes] = set()  # ids of open queries
        self.past, self.past_before = set[bytes](), set[bytes]()  # of those over, of late and before that
        self.past_until = self.now + limits.call_memory_us
        self.numbered = 0
        self.timers = Wheel(self.now)
        self.timeline: TimeLine | None = None
        self.overlay: ListOverlay | None = None  # of the fleet's drains, where there is a fleet
        self.drained: frozenset[str] = frozenset()
        self.subset: Subset | None = None  # None: we keep all engines
        self.on_list: Callable[[Listed], None] | None = None
        self.rules: Callable[[], Ruled] | None = None  # those in force at this moment, where there are any
        self.rule: Ruled | None = None  # as the module knows them
        self.in_hand: dict[str, int] = {}  # open queries by class, where there are rules
        self.me, self.pause_us = settings.me, settings.max_retry_after_us if settings.retry_after else None
        self.loads = {c.name for c in settings.classes if c.is_load}
        self.tally: dict[str, list[int]] | None = None
        self.aims = {c.name: c.aim_us for c in settings.classes}
        self.peers: Peers | None = None  # none where the deployment bars talk among gateways
        self.alarm: asyncio.TimerHandle | None = None
        self.alarm_at = 0
        self._do(self.module.start())

    def observe(self, timeline: TimeLine, tick: Callable[[int], None], every_us: int) -> None:
        """Keep a time line from now on; `tick` is called with the time, again and again."""
        self.timeline, self.module.remarks = timeline, []

        def turn() -> None:
            self.timers.set(self.now + every_us, turn)
            try:
                tick(self.now)
            except Exception as error:
                self._fault(error, "a tick", "timeline")

        turn()

    @property
    def idle(self) -> bool:
        return not self.queries and not self.inbox.queue

    async def run(self) -> None:
        queue, timers = self.inbox.queue, self.timers
        while True:
            await self.inbox.wait()
            while queue:
                at, item = queue.popleft()
                if self.rules is not None:
                    self._rule()
                if len(timers):
                    self._fire(at)
                if at > self.now:
                    self.now = at
                try:
                    self._take(item)
                except Exception as error:
                    self._fault(error, item)
            self._fire(self.clock.now_us())
            self._set_alarm()

    # --- Timers.

    def _fire(self, until: int) -> None:
        """What has fallen due by then, in order; what this sets for the same time waits its turn."""
        last = self.timers.numbered
        while (then := self.timers.pop(until, last)) is not None:
            self.now = max(self.now, until)
            try:
                then()
            except Exception as error:
                self._fault(error, "a timer")

    def _set_alarm(self) -> None:
        due = self.timers.next_us()
        if due is None:
            return
        if self.alarm is not None:
            if self.alarm_at <= due:
                return
            self.alarm.cancel()
        self.alarm_at = due
        # The loop's timers count whole milliseconds: one that came early would only be set again.
        delay = max(0, due - self.clock.now_us()) // 1000 / 1000 + 0.001
        self.alarm = asyncio.get_running_loop().call_later(delay, self._ring)

    def _ring(self) -> None:
        self.alarm = None
        self.inbox.wake()

    # --- What happens.

    def _tell(self, event: api.Event) -> None:
        try:
            actions = self.module.handle(self.now, event)
        except Exception as error:
            self._fault(error, event)
            actions = self.module.actions  # what it had decided by then, which it remembers
        self._do(actions)
        if self.module.remarks and self.timeline is not None:
            remarks, self.module.remarks = self.module.remarks, []
            self._keep(self.timeline.remarked, self.now, remarks)

    def _keep(self, entry: Callable[..., None], *what: object) -> None:
        """For the time line; its faults are counted, and end nothing."""
        try:
            entry(*what)
        except Exception as error:
            self._fault(error, what, "timeline")

    def _fault(self, error: Exception, on: object, whose: str = "module") -> None:
        """One query's trouble must not be everybody's."""
        self.counters.add(whose, "faults")
        where = traceback.extract_tb(error.__traceback__)[-1]
        place = f"{where.name}:{where.lineno}"
        self.log.line(whose, f"{type(error).__name__}: {error} at {place}, on {str(on)[:200]}")

    def _take(self, item: Input) -> None:
        match item:
            case Asked(query):
                self._asked(query)
            case Ended():
                self._ended(item)
            case Noted(attempt, topic, value):
                if not attempt.over:
                    number = attempt.query.number
                    if self.timeline is not None:
                        self._keep(self.timeline.noted, self.now, attempt.engine, number, topic, value)
                    self._tell(api.AttemptNote(number, attempt.number, attempt.engine, topic, value))
            case Probed(engine, outcome, sent_us, report):
                self.counters.add("probes", outcome.value.replace(" ", "_"))
                probed = api.ProbeEnded(engine, outcome, self.now - sent_us, report)
                if self.timeline is not None:
                    self._keep(self.timeline.probed, self.now, probed)
                self._tell(probed)
            case Gone(query):
                self._gone(query, "left")
            case Listed(event, addresses):
                if self.subset is None:
                    self.engines.update(item)
                if self.on_list is not None:
                    self.on_list(item)
                shown = event if self.overlay is None else self.overlay.listed(event)
                if self.subset is None:
                    self._listed(shown)
                else:
                    self._kept(self.subset.listed(shown, addresses))
            case Drains(engines):
                self.drained = engines
                self._lay_over()
            case Told(origin, payload):
                self._tell(api.PeerTold(origin, payload))
            case Stop():
                for query in list(self.queries.values()):
                    self._give_up(query, "stopped")

    def _listed(self, event: api.EngineList) -> None:
        if self.timeline is not None:
            self._keep(self.timeline.listed, self.now, event)
        self._tell(event)

    def _lay_over(self) -> None:
        if self.overlay is not None:
            shut = self.drained.union(self.rule.shut) if self.rule is not None else self.drained
            changed = self.overlay.drain(shut)
            if changed is not None and self.subset is not None:
                self._kept(self.subset.listed(changed, {}))
            elif changed is not None:
                self._listed(changed)

    # --- Where each gateway keeps a part of the engines.

    def keep_part(self, subset: Subset, every_us: int) -> None:
        """From now on only that part of the list counts here; before the first list."""
        self.subset = subset

        def turn() -> None:
            self.timers.set(self.now + every_us, turn)
            self._kept(subset.turn(self.now))

        turn()

    def _kept(self, kept: Listed | None) -> None:
        if kept is not None:
            self.engines.update(kept)
            self._listed(kept.event)

    def listed_engines(self) -> Mapping[str, Engine | api.EngineEntry]:
        """All engines of the list, whether or not we keep them."""
        return self.module.engines if self.subset is None else self.subset.engines()

    # --- For the fleet.

    def _rule(self) -> None:
        """Before anything is decided: which rules hold now. One who stood still past its lease decides
        nothing by what held before."""
        assert self.rules is not None
        rule = self.rules()
        if rule is not self.rule:
            before, self.rule = self.rule, rule
            if before is None or before.shut != rule.shut:
                self._lay_over()

    def _barred(self, query: Query) -> str:
        """By which rule of the operators it is not taken; empty if by none."""
        rule, statement = self.rule, query.statement
        assert rule is not None
        name = statement.class_name
        if name in rule.paused:
            return "paused"
        cap = rule.caps.get(name)
        if cap is not None and self.in_hand.get(name, 0) >= cap:
            return "cap"
        if rule.homes and name in self.loads and statement.tables is not None:
            if rule.homes.get(str(statement.tables), self.me) != self.me:
                return "home"
        return ""

    def tally_classes(self) -> None:
        """Count by class from now on, and lay the fleet's drains over the list; before anything is taken."""
        if self.overlay is not None:
            return
        from whintrail.fleet.overlay import Overlay  # only where a fleet, or rules, are asked for

        self.overlay = Overlay()
        self.tally = {name: [0, 0, 0, 0] for name in self.deadlines}

    def tallies(self) -> tuple[tuple[int, int, int, int], ...]:
        """Of each class, since the start: taken, failed, refused, late."""
        counts = self.tally or {}
        return tuple((a & 0xFFFFFFFF, b, c, d) for a, b, c, d in counts.values())

    def agreed(self, engine: str, word: str, figure: float, member: float) -> None:
        """For the time line: what the fleet decided."""
        if self.timeline is not None:
            self._keep(self.timeline.agreed, self.clock.now_us(), engine, word, figure, member)

    def held_by(self, engine: str) -> int:
        """Attempts without an outcome on an engine."""
        return sum(attempt.engine == engine for attempt in self.attempts.values())

    def _tally(self, query: Query, how: str) -> None:
        assert self.tally is not None
        counts = self.tally.get(query.statement.class_name)
        if counts is None or how == "left":  # a client that left has no complaint
            return
        counts[0] += 1
        if how == "refused":
            counts[2] += 1
        elif how != "served":
            counts[1] += 1
        elif self.now - query.taken_us > self.aims[query.statement.class_name]:
            counts[3] += 1

    def _asked(self, query: Query) -> None:
        statement = query.statement
        if query.left:  # closed or cancelled while the owner was behind: nothing begins for it any more
            query.over = True
            self.counters.add("queries", "left")
            return
        if self._known(statement.call):
            query.over = True
            self.counters.add("queries", "repeated")
            query.client.reject(query, "field call is that of another query")
            return
        self.calls.add(statement.call)
        self.numbered += 1
        query.number = self.numbered
        # No client waits longer than its class's deadline, whatever it says.
        ttl_us = deadline_us = self.deadlines.get(statement.class_name, 0)
        if statement.ttl_ms is not None:
            ttl_us = min(deadline_us, int(statement.ttl_ms * 1000))
        if self.rule is not None:
            most_ms = self.rule.wait_ms.get(statement.class_name)
            ttl_us = ttl_us if most_ms is None else min(ttl_us, most_ms * 1000)
        query.give_up_us = query.taken_us + ttl_us
        if self.ends_us is not None:  # what can't be done by then is for another gateway, and told so at once
            query.give_up_us = min(query.give_up_us, self.ends_us)
        self.queries[query.number] = query
        self.counters.add("queries", "taken")
        if self.rule is not None:
            if why := self._barred(query):
                self.counters.add("rules", why)
                self._close(query, "refused")
                query.client.refuse(query, self.pause_us)
                return
            self.in_hand[statement.class_name] = self.in_hand.get(statement.class_name, 0) + 1
            query.counted = True
        query.timer = self.timers.set(query.give_up_us, lambda: self._time_up(query))
        self._tell(
            api.QueryArrived(
                query=query.number,
                class_name=statement.class_name,
                give_up_us=query.give_up_us,
                cost_us=None if statement.work_ms is None else statement.work_ms * 1000,
                memory_mb=statement.memory_mb,
                tables=statement.tables,
                key=None,
                tenant=None,
                repeat=False,
            )
        )

    def _known(self, call: bytes) -> bool:
        """Whether an id is open, or was of late: what an engine still says of the one query, surplus answers
        too, may not be taken for the other's."""
        if self.now > self.past_until or len(self.past) >= self.limits.past_calls:
            self.past, self.past_before = set(), self.past
            self.past_until = self.now + self.limits.call_memory_us
        return call in self.calls or call in self.past or call in self.past_before

    def _ended(self, ended: Ended) -> None:
        attempt = ended.attempt
        if attempt.over:
            return
        attempt.over = True
        query = attempt.query
        query.out.pop(attempt.number, None)
        self.attempts.pop((query.number, attempt.number), None)
        if attempt.timer is not None:
            self.timers.cancel(attempt.timer)
            attempt.timer = None
        self._let_go(query)
        self.counters.add("attempts", ended.outcome.value.replace(" ", "_"))
        if ended.outcome is api.Outcome.OK and not query.over:
            self._close(query, "served")
            query.client.serve(query, ended.pages or [])
        number, engine, elapsed_us = query.number, attempt.engine, self.now - attempt.sent_us
        if self.timeline is not None:
            what = engine, number, attempt.number, ended.outcome, elapsed_us, ended.report
            self._keep(self.timeline.ended, self.now, *what)
        self._tell(
            api.AttemptEnded(
                query=number,
                attempt=attempt.number,
                engine=engine,
                outcome=ended.outcome,
                elapsed_us=elapsed_us,
                final=query.over,
                work_ms=ended.work_ms,
                memory_mb=ended.memory_mb,
                report=ended.report,
            )
        )

    def _gone(self, query: Query, why: str) -> None:
        if not query.over and query.number:
            self._close(query, why)
            self._tell(api.ClientLeft(query.number))

    def _give_up(self, query: Query, why: str) -> None:
        if not query.over:
            query.client.fail(query, why)
            self._gone(query, why)

    def _time_up(self, query: Query) -> None:
        """The client's time has run out, and with it that of the attempts that are out."""
        for attempt in list(query.out.values()):
            self._timed_out(attempt)
        if not query.over:
            overdue_us = query.give_up_us + self.limits.answer_slack_us
            query.timer = self.timers.set(overdue_us, lambda: self._overdue(query))

    def _overdue(self, query: Query) -> None:
        """The module ends every query in time; should one be left, its client still gets an answer."""
        if not query.over:
            self.log.line("overdue", f"query {query.number} had no answer by its deadline")
            self._give_up(query, "overdue")

    def _timed_out(self, attempt: Attempt) -> None:
        if not attempt.over:
            self.engines.undo(attempt)
            self._ended(Ended(attempt, api.Outcome.TIMEOUT))

    def _close(self, query: Query, how: str) -> None:
        query.over = True
        self.queries.pop(query.number, None)
        self.calls.discard(query.statement.call)
        self.past.add(query.statement.call)
        self.counters.add("queries", how)
        if query.counted:
            self.in_hand[query.statement.class_name] -= 1
        if self.tally is not None:
            self._tally(query, how)
        self._let_go(query)

    def _let_go(self, query: Query) -> None:
        """No timer keeps a query that is answered and has no attempt out."""
        if query.over and not query.out and query.timer is not None:
            self.timers.cancel(query.timer)
            query.timer = None

    # --- What the module asks for.

    def _do(self, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.Send(number, engine, timeout_us, begin_by_us):
                    self._send(number, engine, timeout_us, begin_by_us)
                case api.SetTerms(number, grant_mb, priority):
                    self._set_terms(number, grant_mb, priority)
                case api.CancelAttempt(number, attempt_number):
                    self._cancel(number, attempt_number)
                case api.Refuse(number, pause_us):
                    if query := self.queries.get(number):
                        self._close(query, "refused")
                        query.client.refuse(query, pause_us)
                case api.Fail(number):
                    if query := self.queries.get(number):
                        self._close(query, "failed")
                        query.client.fail(query, "failed")
                case api.SendProbe(engine):
                    self.engines.probe(engine)
                case api.TellPeer(target, payload):
                    subset = self.subset if target is None else None
                    batched = subset is not None and subset.tell(self.now, payload)
                    if self.peers is not None and not batched:
                        self.peers.tell(target, payload)
                case api.SetTimer(token, at_us):
                    self.timers.set(at_us, lambda token=token: self._tell(api.TimerFired(token)))  # type: ignore[misc]
                case api.WatchList():
                    pass  # the bulletin comes by itself

    def _send(self, number: int, engine: str, timeout_us: int, begin_by_us: int | None) -> None:
        query = self.queries.get(number)
        if query is None:
            self.log.line("module", f"a send for query {number}, which is over")
            return
        limit = query.give_up_us if timeout_us == 0 else min(query.give_up_us, self.now + timeout_us)
        alone = query.statement.class_name in self.once
        attempt = Attempt(query, query.sends, engine, self.now, limit, begin_by_us, alone)
        query.sends += 1
        query.out[attempt.number] = attempt
        self.attempts[number, attempt.number] = attempt
        spent = self.max_attempts is not None and query.sends > self.max_attempts
        # The module decides at the time of an event, which may have waited here; the client may have gone
        # since. What does not hold now does not begin.
        by = limit if begin_by_us is None else min(limit, begin_by_us)
        if spent or self.clock.now_us() >= by or self._left(query):
            self.inbox.put(Ended(attempt, api.Outcome.MOOT))
            return
        self.counters.add("attempts", "sent")
        if self.timeline is not None:
            statement = query.statement
            estimate_us = None if statement.work_ms is None else statement.work_ms * 1000
            what = engine, number, attempt.number, statement.class_name, estimate_us
            self._keep(self.timeline.sent, self.now, *what)
        if limit < query.give_up_us:
            attempt.timer = self.timers.set(limit, lambda: self._timed_out(attempt))
        self.engines.send(attempt)

    def _left(self, query: Query) -> bool:
        """Whether the client has gone. One that has only just asked is not looked for: each look costs a
        system call, and the session would have read its end by the next turn."""
        if query.left:
            return True
        fresh = query.sends == 1 and self.clock.now_us() - query.taken_us < self.limits.fresh_us
        return not fresh and query.client.gone(query)

    def _set_terms(self, number: int, grant_mb: float, priority: int) -> None:
        query = self.queries.get(number)
        if query is None:
            return
        changed = priority != query.priority
        query.grant_mb, query.priority = grant_mb, priority
        for attempt in query.out.values() if changed else ():
            self.engines.bump(attempt)

    def _cancel(self, number: int, attempt_number: int) -> None:
        attempt = self.attempts.get((number, attempt_number))
        if attempt is not None:
            self.engines.undo(attempt)
            self.inbox.put(Ended(attempt, api.Outcome.CANCELLED))
