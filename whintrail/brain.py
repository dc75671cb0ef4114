"""Every decision of the gateway. Types, events and actions are in whintrail/interface.py.

Pure: settings, a seed and events with their time in, actions out. The ordinary path is that of
docs/design.md: label, gate heavy queries under pressure, draw an engine against reported load.
"""

import math
from collections import deque
from functools import singledispatchmethod
from heapq import heappop, heappush
from random import Random

from whintrail import interface as api

# --- The design's own figures.
BAR = 0.25  # heavy above so many times the class's mean; what is under the mean of all is too short to hold
LEARN_QUERIES = 20  # until a class has seen so many, all of it counts as light
MEAN_MEMORY = 500  # the running mean looks back over about so many queries
# --- Pressure: what makes the heavy bound bind.
PRESSED_STRETCH = 1.7  # latency this many times the class's best: threads clearly share cores
BEST_OVER, BEST_RISE = 20, 1.0005  # answers that "best" is smoothed over; it rises slowly, lest it grow stale
BUSY_UTILISATION = 0.95  # cores all but full
BUSY_HELD = 1.5  # queries held per core: more run than there are cores
BUSY_MEMORY = 0.7  # share of memory granted: what is sent before the next report may take the rest
FULL_REST_US = 500_000  # an engine that refused for want of room is pressed, and passed over, so long
BRIM = 1.4  # all our threads per core of our share; threads that read leave room, more feed a jam
SHARE_GAIN = 0.02  # how fast this gateway's share of the work follows the reports
WIDTH_STEP, WIDTH_LEAST, WIDTH_MOST = 0.01, 0.5, 2.0  # how far and how fast latency moves the bounds
# --- The draw.
LOAD_FLOOR = 0.2  # keeps an idle engine's weight finite, so that it does not draw everything
DRAW_POWER = 3.0  # how steeply the weight falls with load; higher chases stale reports
SINCE_US = 600_000  # our sends count on top of the reports until reports have had time to show them
REPORT_AGE_US = 4_000_000  # older reports say nothing: frozen or stopped, the engine counts as average
# --- Health.
DOWN_US, DOWN_MOST_US = 1_000_000, 8_000_000  # first and longest rest of an engine that failed us
SILENT_US = 1_000_000  # least time without any sign of life before an engine is called silent
PATIENCE = 6.0  # times the expected time of an attempt before its silence tells against the engine
NOTES_MISSED = 3.2  # or so many progress notes that did not come
ERRORS_MOST = 0.3  # an engine that fails more of its queries is left alone while others do not
ERROR_GAIN, ERROR_FADE_US = 0.2, 8_000_000  # weight of one error, and how fast its memory fades
STRETCH_GAIN, STRETCH_FADE_US = 0.15, 5_000_000  # the same for an engine's latency against the best
PROBES_PER_QUERY = 0.35  # probing stays well under one a query, which is what probes are priced by
PROBE_US, PROBE_MOST_US = 400_000, 3_000_000  # shortest and longest time between probes of an engine
# --- Further attempts.
RUNAWAY = 3.0  # an attempt on course for this many times the usual has a bad plan or a sick engine
MOST_SENDS = 4  # nothing is moved more often: the trouble is then not in the plan or in one engine
OWN_SHARE, OWN_FREE, OWN_WINDOW_US = 0.3, 10, 10_000_000  # our own limit: no retry storms
# --- Cold engines and time.
SAFE_PART = 0.75  # part of the stated multiple that we use: speed and chance are unknown
SWEEP_US, WATCH_US = 50_000, 1_000_000  # housekeeping pace; pause before a failed list call is made again
LAST_CALL_US = 120_000  # the final answer goes out this long before the client gives up
GRANT_QUANTILE, GRANT_STEP = 0.85, 0.05  # grants cover this share of the queries; how fast they follow

NEVER_RAN = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.MOOT)
MAY_STILL_RUN = (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED, api.Outcome.UNKNOWN)
SWEEP, WATCH = "sweep", "watch"


class Engine:
    def __init__(self, address: str) -> None:
        self.address = address
        self.cores, self.kind, self.zone, self.cell = 1.0, "", "", 0
        self.state, self.cold_until = api.EngineState.GONE, 0
        self.cold_sent: deque[tuple[int, float]] = deque()  # (time, usual work) sent while cold
        self.running: dict[tuple[int, int], Attempt] = {}
        self.threads = self.heavy_threads = 0
        self.report: api.LoadReport | None = None
        self.load: float | None = None  # reported, with the level that counts as busy
        self.busy_at, self.report_at = BUSY_HELD, -REPORT_AGE_US
        self.since, self.since_at = 0.0, 0
        self.stretch, self.errors, self.errors_at = 1.0, 0.0, 0
        self.width = 1.0  # the bounds against their first values
        self.fails, self.down_until, self.alive_at, self.full_at = 0, 0, 0, -FULL_REST_US
        self.probe_at, self.probing = 0, False

    def sent_since(self, now: int) -> float:
        self.since *= math.exp((self.since_at - now) / SINCE_US)
        self.since_at = now
        return self.since

    def error_rate(self, now: int) -> float:
        return self.errors * math.exp((self.errors_at - now) / ERROR_FADE_US)

    def heard(self, now: int, report: api.LoadReport | None) -> None:
        if report is not None:
            self.report, self.report_at = report, now
            if report.utilisation is not None:
                self.load, self.busy_at = report.utilisation, BUSY_UTILISATION
            elif report.held is not None:
                self.load, self.busy_at = report.held / self.cores, BUSY_HELD


class ClassState:
    def __init__(self, settings: api.QueryClass) -> None:
        self.settings = settings
        self.seen = self.costs = self.memories = self.grants = self.answered = 0
        self.cost_us = self.memory_mb = 0.0  # running mean estimates
        self.recent = self.best = 1.0  # elapsed time against the estimate: of late, and at best
        self.grant = 1.25  # memory to ask for against the estimate
        self.told_work = 0.0  # work that answers told against the estimate; 0: never told

    def work_us(self) -> float:
        """The usual work of the class; 0 while nothing is known."""
        return self.cost_us * (self.told_work or 1.0)


class Attempt:
    def __init__(self, number: int, engine: Engine, now: int, expected_us: float, heavy: bool) -> None:
        self.number, self.engine, self.sent_at = number, engine, now
        self.expected_us, self.heavy = expected_us, heavy
        self.outcome: api.Outcome | None = None
        self.cancelled = self.moving = False
        self.share = 0.0  # done, as notes tell


class Query:
    """A query from its arrival until it is answered and no attempt of it is out."""

    def __init__(self, event: api.QueryArrived, cls: ClassState, now: int) -> None:
        self.id, self.cls, self.key, self.tables = event.query, cls, event.key, event.tables
        self.cost_us, self.memory_mb, self.give_up = event.cost_us, event.memory_mb, event.give_up_us
        self.threads = max(1, cls.settings.threads)
        cost = event.cost_us if event.cost_us is not None else cls.cost_us or cls.settings.aim_us / 4
        self.span_us = cost * (cls.told_work or 1.0) / self.threads  # alone on its threads
        self.aim_at = now + cls.settings.aim_us + cls.settings.aim_stretch * self.span_us
        self.due = min(self.aim_at, event.give_up_us)
        self.heavy = self.done = False
        self.attempts: list[Attempt] = []
        self.out = 0
        self.terms: tuple[float, int] = (0, 1)  # the engine's choice, the usual priority

    def exposed(self) -> Attempt | None:
        """The first attempt that may have run."""
        return next((a for a in self.attempts if a.outcome not in NEVER_RAN), None)


class Line(deque[Query]):
    """Queries of one key in the order taken, and how long the key must rest."""

    rest_until = 0


class Gateway:
    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        self.settings, self.random, self.now = settings, Random(seed), now
        self.actions: list[api.Action] = []
        self.classes = {c.name: ClassState(c) for c in settings.classes}
        self.engines: dict[str, Engine] = {}
        self.queries: dict[int, Query] = {}
        self.lanes: dict[tuple[str, bool], list[tuple[float, int, Query]]] = {}
        self.lines: dict[str, Line] = {}
        self.resting, self.last_calls = list[tuple[int, str]](), list[tuple[int, int]]()
        self.taken, self.further = deque[int](), deque[int]()
        self.window = settings.budget_window_us if settings.budget_share is not None else OWN_WINDOW_US
        self.moving = 0  # attempts cancelled so that others take their place
        self.stretch, self.mean_load = 1.0, 0.0  # the fleet's usual latency against the best, and load
        self.fleet = max(1, settings.fleet_size)
        self.share = 1.0 / self.fleet  # of the fleet's work, this gateway's part

    def start(self) -> list[api.Action]:
        watch = [api.WatchList(True)] if self.settings.list_on_request else []
        return [api.SetTimer(SWEEP, self.now + SWEEP_US), *watch]

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.now, self.actions = now, []
        self._on(event)
        return self.actions

    @singledispatchmethod
    def _on(self, event: api.Event) -> None:
        """Events of other kinds tell nothing that a decision here needs."""

    # --- Arrival, label and the ordinary path.

    @_on.register
    def _arrived(self, event: api.QueryArrived) -> None:
        if (
            cls := self.classes.get(event.class_name)
        ) is None:  # a class that the settings do not name: nothing is known of its effects
            self.actions.append(api.Fail(event.query))
            return
        query = Query(event, cls, self.now)
        query.heavy = self._label(query)
        self.queries[query.id] = query
        self.taken.append(self.now)
        heappush(self.last_calls, (query.give_up - LAST_CALL_US, query.id))
        if cls.settings.in_order and query.key is not None:
            self.lines.setdefault(query.key, Line()).append(query)
        self._place(query)

    def _label(self, query: Query) -> bool:
        """Heavy by cost per thread or by memory against the class's mean; then the means learn."""
        cls, heavy = query.cls, False
        if cls.seen >= LEARN_QUERIES:
            heavy = (query.cost_us or 0) > BAR * cls.cost_us or (query.memory_mb or 0) > BAR * cls.memory_mb
            heavy = heavy and query.span_us > self._mean_span_us()
        cls.seen += 1
        if query.cost_us is not None:
            cls.costs += 1
            cls.cost_us += (query.cost_us - cls.cost_us) / min(cls.costs, MEAN_MEMORY)
        if query.memory_mb is not None:
            cls.memories += 1
            cls.memory_mb += (query.memory_mb - cls.memory_mb) / min(cls.memories, MEAN_MEMORY)
        return heavy

    def _mean_span_us(self) -> float:
        """Mean cost per thread over all classes."""
        total = sum(c.work_us() / max(1, c.settings.threads) * c.seen for c in self.classes.values())
        return total / max(1, sum(c.seen for c in self.classes.values()))

    def _place(self, query: Query) -> bool:
        """Send the query, end it, or hold it (False)."""
        if not self._query_may(query):
            if not query.done and not query.out:
                self._end(query)
            return True
        ready = [e for e in self.engines.values() if self._engine_may(query, e)]
        tried = [a.engine for a in query.attempts]
        healthy = any(e.fails == 0 and e.error_rate(self.now) < ERRORS_MOST for e in ready)
        usable = [e for e in ready if self._usable(e, healthy) and self._has_room(query, e)]
        usable = [e for e in usable if e not in tried] or usable
        if self.now >= query.give_up - LAST_CALL_US:  # guards against a try that comes all but too late
            self._end(query)
        elif self._turn(query) and not usable:
            lane = self.lanes.setdefault((query.cls.settings.name, query.heavy), [])
            heappush(lane, (query.due, query.id, query))
        if not usable or not self._turn(query):
            return False
        self._send(query, self._draw(usable))
        return True

    def _has_room(self, query: Query, engine: Engine) -> bool:
        """The bound on heavy threads under pressure; a wider one keeps light queries from feeding a jam."""
        heavy = engine.heavy_threads
        if query.heavy and self.now + self._expected_us(query, engine) > query.due:
            return False  # it could not finish in time there
        used, bound = (heavy, 1.0) if query.heavy else (engine.threads, BRIM)
        bound *= engine.width * engine.cores * self.share
        if not self._pressed(engine) or used + query.threads <= bound:
            return True
        return used == 0 or (not query.heavy and used - heavy + query.threads <= 1)

    def _pressed(self, engine: Engine) -> bool:
        """Latency well above best, a busy report (our sends since added) or a full refusal."""
        if engine.stretch > PRESSED_STRETCH or self.now - engine.full_at < FULL_REST_US:
            return True
        report = engine.report if self.now - engine.report_at <= REPORT_AGE_US else None
        memory = report and ((report.memory_queue or 0) >= 1 or (report.memory_share or 0) > BUSY_MEMORY)
        others = engine.sent_since(self.now) * (1 / self.share - 1)  # they see what we see, and send alike
        return bool(memory) or self._load(engine) + others > engine.busy_at

    def _usable(self, engine: Engine, healthy: bool) -> bool:
        """Failed engines come back one query at a time; full ones and failing ones rest a while."""
        if engine.fails:
            return self.now >= engine.down_until and (not healthy or not engine.running)
        failing = healthy and engine.error_rate(self.now) >= ERRORS_MOST
        return not failing and self.now - engine.full_at >= FULL_REST_US

    def _load(self, engine: Engine) -> float:
        load = engine.load if self.now - engine.report_at <= REPORT_AGE_US else None
        return (self.mean_load if load is None else load) + engine.sent_since(self.now)

    def _draw(self, engines: list[Engine]) -> Engine:
        """At random, weighted against reported load and our sends since."""
        weights = []
        for e in engines:
            weight = e.cores * (LOAD_FLOOR + self._load(e)) ** -DRAW_POWER
            weight *= max(0.02, 1 - e.error_rate(self.now)) ** 4
            weight *= min(1.0, self.stretch / e.stretch) ** 2
            weights.append(weight * (0.1 if e.fails else 1.0))
        return self.random.choices(engines, weights)[0]

    def _expected_us(self, query: Query, engine: Engine | None = None) -> float:
        """As its class fares of late; on a given engine, as that stands against the others."""
        return query.span_us * query.cls.recent * (engine.stretch / self.stretch if engine else 1.0)

    # --- The gate that every send passes: the rules.

    def _query_may(self, query: Query) -> bool:
        """Rules 1, 2 and 7, as far as no engine is concerned."""
        settings, cls = self.settings, query.cls.settings
        if query.done or self.now >= query.give_up:
            return False
        if not query.attempts:
            return True
        most, exposed = settings.max_attempts, query.exposed()
        if (most is not None and len(query.attempts) >= most) or (query.out and not settings.second_copies):
            return False
        if exposed and cls.effect is not api.Effect.REPEATABLE:
            if cls.effect is api.Effect.ONCE or self.now >= exposed.sent_at + cls.window_us:
                return False
        return self._budget_left()

    def _budget_left(self) -> bool:
        """Rule 7, and our own limit on further attempts where none is stated."""
        s = self.settings
        while self.taken and self.taken[0] <= self.now - self.window + s.tick_us:
            self.taken.popleft()
        while self.further and self.further[0] < self.now - self.window - s.tick_us:
            self.further.popleft()
        spent, taken = len(self.further) + self.moving + 1, len(self.taken)
        stated = s.budget_share is None or spent <= s.budget_free + s.budget_share * taken
        return stated and spent <= OWN_FREE + OWN_SHARE * taken

    def _engine_may(self, query: Query, engine: Engine) -> bool:
        """Rules 2, 3, 4 and 6 for this engine."""
        cls = query.cls.settings
        placed = cls.zones is None or engine.zone in cls.zones
        placed = placed and (cls.kinds is None or engine.kind in cls.kinds)
        if engine.state is not api.EngineState.READY or not placed:
            return False
        exposed = query.exposed() if cls.effect is api.Effect.BY_KEY else None
        if exposed and cls.group is not api.DedupGroup.ALL:
            before = exposed.engine
            by_cell = cls.group is api.DedupGroup.CELL
            if engine.zone != before.zone or (by_cell and engine.cell != before.cell):
                return False
        return self.now >= engine.cold_until or self._cold_room(query, engine)

    def _cold_room(self, query: Query, engine: Engine) -> bool:
        """Rule 4: our share of a safe part of what a cold engine bears, by usual work, bursts included."""
        s = self.settings
        if s.tip_multiple is None:
            return True
        while engine.cold_sent and engine.cold_sent[0][0] < self.now - s.tip_after_us - s.tick_us:
            engine.cold_sent.popleft()
        age = max(0.0, 1 - (engine.cold_until - self.now) / max(1, s.cold_us))  # 0 at its start, 1 when warm
        able = (
            s.start_capacity + (1 - s.start_capacity) * age**2
        )  # how it warms is not told: stay below a line
        budget = SAFE_PART * s.tip_multiple * able * engine.cores * s.tip_after_us / self.fleet
        work = query.cls.work_us() or budget
        return sum(w for _, w in engine.cold_sent) + work <= budget

    def _line(self, query: Query) -> Line | None:
        return self.lines.get(query.key) if query.cls.settings.in_order and query.key is not None else None

    def _turn(self, query: Query) -> bool:
        """Rule 5: the query heads its key's line, and the key has rested."""
        line = self._line(query)
        rested = line is None or bool(query.attempts) or self.now >= line.rest_until
        return rested and (not line or line[0] is query)

    def _send(self, query: Query, engine: Engine) -> None:
        """The only place that sends; it asks the gate again, whoever calls."""
        if not (self._query_may(query) and self._engine_may(query, engine) and self._turn(query)):
            return
        terms = self._terms(query, engine)
        if terms != query.terms:
            query.terms = terms
            self.actions.append(api.SetTerms(query.id, *terms))
        self.actions.append(api.Send(query.id, engine.address, 0))
        usual = max(query.span_us, query.cls.work_us() / query.threads) * query.cls.recent
        attempt = Attempt(len(query.attempts), engine, self.now, usual, query.heavy)
        if query.attempts:
            self.further.append(self.now)
        query.attempts.append(attempt)
        query.out += 1
        engine.running[query.id, attempt.number] = attempt
        engine.threads += query.threads
        engine.heavy_threads += query.threads if query.heavy else 0
        engine.since = engine.sent_since(self.now) + query.threads / engine.cores
        if self.now < engine.cold_until:
            engine.cold_sent.append((self.now, query.cls.work_us()))

    def _terms(self, query: Query, engine: Engine) -> tuple[float, int]:
        s, grant = self.settings, 0.0
        if s.grants_heeded and s.tells_cost and query.memory_mb is not None:
            most = s.kind_memory_mb.get(engine.kind, math.inf) * s.max_grant_share
            grant = round(min(most, query.memory_mb * query.cls.grant), 1)
        return grant, self._priority(query) if s.priorities_heeded else query.terms[1]

    def _priority(self, query: Query) -> int:
        """Short classes first, heavy and late queries last: little waits, and what is late earns little."""
        if self.now > query.aim_at:
            return 0
        short = query.cls.work_us() / query.threads < self._mean_span_us() / 2
        return (3 if short else 2) - (1 if query.heavy else 0)

    # --- Ends.

    def _end(self, query: Query) -> None:
        """Our final answer: a refusal where a retry does no harm for certain, else a failure."""
        cls, exposed = query.cls.settings, query.exposed()
        harmless = exposed is None or cls.effect is api.Effect.REPEATABLE
        if exposed and cls.effect is api.Effect.BY_KEY and cls.group is api.DedupGroup.ALL:
            harmless = self.now < exposed.sent_at + cls.window_us
        pause = self.settings.max_retry_after_us if self.settings.retry_after else None
        self.actions.append(api.Refuse(query.id, pause or None) if harmless else api.Fail(query.id))
        self._close(query)

    def _close(self, query: Query) -> None:
        """The query is over; nobody waits for what still runs."""
        query.done = True
        for attempt in query.attempts:
            self._cancel(query, attempt)
        self._forget(query)

    def _cancel(self, query: Query, attempt: Attempt) -> None:
        if self.settings.cancel_allowed and attempt.outcome is None and not attempt.cancelled:
            attempt.cancelled = True
            self.actions.append(api.CancelAttempt(query.id, attempt.number))

    def _forget(self, query: Query) -> None:
        if not query.done or query.out:
            return
        self.queries.pop(query.id, None)
        line = self._line(query)
        if line and query.key is not None and query in line:
            line.remove(query)
            heappush(self.resting, (line.rest_until, query.key))
            self._next_in_line(line)

    def _next_in_line(self, line: Line) -> None:
        while line and line[0].done and not line[0].out:
            line.popleft()
        if line and not line[0].attempts and self.now >= line.rest_until:
            self._place(line[0])

    @_on.register
    def _left(self, event: api.ClientLeft) -> None:
        if query := self.queries.get(event.query):
            self._close(query)

    # --- Outcomes, notes and probes.

    def _find(self, query_id: int, number: int) -> tuple[Query | None, Attempt | None]:
        """The query and its attempt while that is out; words on others come late, twice or unasked."""
        query = self.queries.get(query_id)
        attempt = next((a for a in query.attempts if a.number == number), None) if query else None
        return query, attempt if attempt and attempt.outcome is None else None

    @_on.register
    def _ended(self, event: api.AttemptEnded) -> None:
        query, attempt = self._find(event.query, event.attempt)
        if query is None or attempt is None:
            return
        engine, attempt.outcome = attempt.engine, event.outcome
        query.out -= 1
        self.moving -= attempt.moving
        engine.running.pop((query.id, attempt.number), None)
        engine.threads -= query.threads
        engine.heavy_threads -= query.threads if attempt.heavy else 0
        engine.heard(self.now, event.report)
        self._judge(query, attempt, event)
        if event.outcome in MAY_STILL_RUN and (line := self._line(query)) is not None:
            line.rest_until = self.now + self.settings.order_settle_us
        if event.final or query.done:
            self._close(query)
        elif not query.out:
            self._place(query)
        self._release()

    def _judge(self, query: Query, attempt: Attempt, event: api.AttemptEnded) -> None:
        """What an outcome tells of the engine and of the class."""
        engine, outcome, cls = attempt.engine, event.outcome, query.cls
        if outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.RESET):
            self._down(engine)
        elif outcome is api.Outcome.FULL:
            engine.full_at = engine.alive_at = self.now
        elif outcome in (api.Outcome.OK, api.Outcome.ERROR):
            engine.alive_at = self.now
            rate, error = engine.error_rate(self.now), float(outcome is api.Outcome.ERROR)
            engine.errors, engine.errors_at = rate + ERROR_GAIN * (error - rate), self.now
        if outcome is not api.Outcome.OK:
            return
        engine.fails = 0
        self._stretch(query, engine, event.elapsed_us)
        if event.work_ms and query.cost_us:
            told = event.work_ms * 1000 / query.cost_us
            cls.told_work += 0.05 * (min(told, 10.0) - cls.told_work) if cls.told_work else told
        if event.memory_mb and query.memory_mb:
            cls.grants += 1
            over = event.memory_mb > query.memory_mb * cls.grant
            step = max(GRANT_STEP, 1 / (1 + cls.grants / 4))
            cls.grant *= 1 + step * (GRANT_QUANTILE if over else GRANT_QUANTILE - 1)

    def _stretch(self, query: Query, engine: Engine, elapsed_us: int) -> None:
        """An elapsed time against the estimate; runaways count too, else a jam looks quick, but not
        what a dead engine held: that tells of no other engine, and had all else refused as late."""
        ratio, cls = max(elapsed_us, 1) / max(query.span_us, 5_000.0), query.cls
        cls.answered += 1  # the best of a smoothed latency: estimates scatter, single lucky ones say nothing
        ratio = min(ratio, 5 * cls.recent) if cls.answered > 1 else ratio
        cls.recent += (ratio - cls.recent) / min(cls.answered, BEST_OVER)
        cls.best = min(cls.best * BEST_RISE, cls.recent) if cls.answered > BEST_OVER else cls.recent
        engine.stretch += STRETCH_GAIN * (min(ratio / cls.best, 10.0) - engine.stretch)
        step = WIDTH_STEP if engine.stretch < PRESSED_STRETCH else -WIDTH_STEP
        engine.width = min(WIDTH_MOST, max(WIDTH_LEAST, engine.width + step))

    def _down(self, engine: Engine) -> None:
        """The engine failed us: it rests, longer each time, and what it holds is tried elsewhere."""
        if self.now >= engine.down_until:
            engine.fails += 1
            engine.down_until = self.now + min(DOWN_MOST_US, DOWN_US << min(engine.fails - 1, 4))
        for query_id, number in list(engine.running):
            query = self.queries[query_id]
            if query.cls.settings.effect is api.Effect.REPEATABLE and not query.done:
                self._elsewhere(query, query.attempts[number])

    def _elsewhere(self, query: Query, attempt: Attempt) -> None:
        """Give up one attempt for another; the result of the cancelled one brings the next."""
        s = self.settings
        room = len(query.attempts) < min(MOST_SENDS, s.max_attempts or MOST_SENDS)
        if s.cancel_allowed and room and not attempt.cancelled and self._budget_left():
            self._cancel(query, attempt)
            attempt.moving = True
            self.moving += 1

    @_on.register
    def _noted(self, event: api.AttemptNote) -> None:
        query, attempt = self._find(event.query, event.attempt)
        if query is None or attempt is None or query.done or attempt.cancelled:
            return
        if event.topic is not api.Topic.PROGRESS or event.value <= attempt.share:
            return
        attempt.share, attempt.engine.alive_at = event.value, self.now
        total = (self.now - attempt.sent_at) / max(event.value, 0.02)
        finish, fresh = attempt.sent_at + total, self._expected_us(query)
        if query.cls.settings.effect is not api.Effect.REPEATABLE or finish <= query.aim_at:
            return
        if total > RUNAWAY * fresh and self.now + fresh < min(finish, query.give_up):
            self._stretch(query, attempt.engine, self.now - attempt.sent_at)
            self._elsewhere(query, attempt)

    @_on.register
    def _probed(self, event: api.ProbeEnded) -> None:
        if (engine := self.engines.get(event.engine)) is None:
            return
        engine.probing = False
        engine.heard(self.now, event.report)
        if event.outcome is api.Outcome.CONNECT_FAILED and not engine.fails:
            self._down(engine)
        self._release()

    # --- The engine list.

    @_on.register
    def _listed(self, event: api.EngineList) -> None:
        if event.kind is api.ListKind.FAILED:  # the list in hand stays in force
            self.actions.append(api.SetTimer(WATCH, self.now + WATCH_US))
            return
        if event.kind is not api.ListKind.DELTA:
            for engine in self.engines.values():
                engine.state = api.EngineState.GONE
        for entry in event.entries:
            self._entry(entry)
        gone = api.EngineState.GONE
        self.engines = {a: e for a, e in self.engines.items() if e.state is not gone or e.running}
        self._release()

    def _entry(self, entry: api.EngineEntry) -> None:
        engine = self.engines.setdefault(entry.engine, Engine(entry.engine))
        engine.kind, engine.zone, engine.cell = entry.kind, entry.zone, entry.cell
        engine.state = entry.state
        engine.cores = max(1.0, self.settings.kind_cores.get(entry.kind, entry.weight))
        if entry.started_us is not None:
            cold_until = entry.started_us + self.settings.cold_us
            if cold_until > max(engine.cold_until, self.now):  # a new start: old sins are forgotten
                engine.fails, engine.stretch, engine.errors = 0, 1.0, 0.0
            engine.cold_until = max(engine.cold_until, cold_until)

    # --- Housekeeping.

    @_on.register
    def _timer(self, event: api.TimerFired) -> None:
        if event.token == WATCH:
            self.actions.append(api.WatchList(True))
        if event.token != SWEEP:
            return
        self.actions.append(api.SetTimer(SWEEP, self.now + SWEEP_US))
        while self.last_calls and self.last_calls[0][0] <= self.now:
            query = self.queries.get(heappop(self.last_calls)[1])
            if query is not None and not query.done and self.now >= query.give_up - LAST_CALL_US:
                self._end(query)
        while self.resting and self.resting[0][0] <= self.now:
            if (line := self.lines.get(key := heappop(self.resting)[1])) is not None:
                self._next_in_line(line)
                if not line and self.now >= line.rest_until:
                    del self.lines[key]
        listed = [e for e in self.engines.values() if e.state is api.EngineState.READY]
        for engine in self.engines.values():
            engine.stretch += (1.0 - engine.stretch) * SWEEP_US / STRETCH_FADE_US
            if sum(e.fails > 0 for e in listed) * 2 <= len(listed) and self._silent(engine):
                self._down(
                    engine
                )  # half of the fleet silent: then it is no engine's fault, and none is shut out
        if listed:
            self.stretch = sorted(e.stretch for e in listed)[len(listed) // 2]
            fresh = [e for e in listed if self.now - e.report_at <= REPORT_AGE_US]
            loads = [e.load for e in fresh if e.load is not None]
            self.mean_load = sum(loads) / len(loads) if loads else 0.0
            held = sum(e.report.held or 0 for e in fresh if e.report)
            if held > 0:  # utilisation does not tell: it stays low on engines whose disks are jammed
                share = min(1.0, sum(len(e.running) for e in fresh) / held)
                self.share += SHARE_GAIN * (max(share, 0.5 / self.fleet) - self.share)
            self._probe(listed)
        self._release()

    def _silent(self, engine: Engine) -> bool:
        """No sign of life for much longer than what runs there should need, or than its notes are apart."""
        pace = self.settings.progress_us * NOTES_MISSED if self.settings.progress_us else math.inf
        for attempt in engine.running.values():
            waited = self.now - max(attempt.sent_at, engine.alive_at)
            if waited > max(SILENT_US, min(pace, PATIENCE * attempt.expected_us)):
                return True
        return False

    def _probe(self, listed: list[Engine]) -> None:
        """Where only probes bring reports, all engines in turn; elsewhere just those under suspicion."""
        s = self.settings
        if not s.probes_allowed:
            return
        self._budget_left()  # forgets what was taken too long ago to count
        rate = len(self.taken) * PROBES_PER_QUERY / self.window
        pause = min(PROBE_MOST_US, max(PROBE_US, len(listed) / rate if rate else PROBE_MOST_US))
        for engine in listed:
            wanted = s.reports_by is api.ReportsBy.PROBES or engine.fails
            if wanted and not engine.probing and self.now - engine.probe_at >= pause:
                engine.probe_at, engine.probing = self.now, True
                self.actions.append(api.SendProbe(engine.address))

    def _release(self) -> None:
        """Held queries leave by deadline, and are refused once they cannot finish in time."""
        for lane in sorted((lane for lane in self.lanes.values() if lane), key=lambda held: held[0][0]):
            while lane:
                query = heappop(lane)[2]
                if not query.done and self.now + self._expected_us(query) > query.due:
                    self._end(query)
                elif not query.done and not self._place(query):  # held again
                    break
