"""Every decision of the gateway. Types, events and actions: whintrail/interface.py; plain records: state.py.

Pure: settings, a seed and events with their time in, actions out. The ordinary path is that of
docs/design.md: label, gate heavy queries under pressure, draw an engine against reported load."""

import math
from collections import deque
from functools import singledispatchmethod
from heapq import heappop, heappush
from itertools import accumulate
from random import Random

from whintrail import interface as api
from whintrail.fleet import memo
from whintrail.state import Attempt, ClassState, Engine, Line, Mean, Query, Sent

BAR = 0.25  # heavy above so many times the class's mean; what is under the mean of all is too short to hold
LEARN_QUERIES, MEAN_MEMORY = 20, 500  # all of a class is light until then; the mean is over so many
# --- Pressure: what makes the heavy bound bind.
PRESSED_STRETCH = 1.7  # latency this many times the class's best: threads clearly share cores
RECENT_FADE_US = 10_000_000  # expected times fall back to the best so fast
BEST_OVER, BEST_RISE = 20, 1.0005  # answers that "best" is smoothed over; it rises slowly, lest it grow stale
BUSY_UTILISATION, BUSY_HELD, BUSY_MEMORY = 0.95, 1.5, 0.7  # of the cores; a core; share of memory granted
FULL_REST_US = 500_000  # an engine that refused for want of room is pressed and rests, longer each time
BRIM = 1.4  # all our threads per core of our share; threads that read leave room, more feed a jam
SHARE_GAIN, WHOLE_STEP = 0.08, 0.05  # how fast our share follows reports, and the fleet's bounds latency
WIDTH_STEP, WIDTH_LEAST, WIDTH_MOST = 0.01, 0.5, 2.0  # how far and how fast latency moves the bounds
LOAD_FLOOR, DRAW_POWER = 0.2, 3.0  # what an idle engine counts; how steep: higher chases stale reports
CROWDED = 0.7  # of the queries that clients can have open: from then on heavy ones must end ever sooner
SINCE_US = 600_000  # our sends count on top of the reports until reports have had time to show them
REPORT_AGE_US = 4_000_000  # older reports say nothing: frozen or stopped, the engine counts as average
# --- Health.
DOWN_US, DOWN_MOST_US = 1_000_000, 8_000_000  # first and longest rest of an engine that failed us
SILENT_US, PATIENCE, NOTES_MISSED = 1_000_000, 6.0, 2.2  # silence: least; times the expected; notes apart
HASTY_US, HASTE = 200_000, 3.0  # the least time and the patience where answers get lost
LOSSY, LOSS_MEMORY = 0.02, 200  # where more than this share of answers, of so many, do not come: be hasty
ERRORS_MOST = 0.5  # an engine that fails more of its queries is left alone while others do not
ERROR_GAIN, ERROR_FADE_US = 0.2, 8_000_000  # weight of one answer, and how fast what is known fades
STRETCH_GAIN, STRETCH_FADE_US = 0.15, 5_000_000  # the same for an engine's latency against the best
PROBES_PER_QUERY, PROBES_MOST = 0.35, 1.0  # usual and most probes a query, which is what they are priced by
PROBE_SHARED_US, PROBE_STALE = 600_000, 4.0  # where gateways tell one another: the same, and the oldest
HEEDED = 0.25  # of what others tell: did all heed the same, they would all crowd, or refuse, at once
LINKED = 50.0  # weight of an engine to which a connection stands
PROBE_US, PROBE_WANTED_US = 400_000, 2_000_000  # between an engine's reports: shortest pause, and wanted
RUNAWAY, MOST_SENDS = 2.0, 4  # on course for so many times what is high for its class; moved no more often
HIGH_PART, HIGH_STEP, HIGH_FIRST = 0.8, 0.1, 5.0  # high: so many take less; how fast it follows; at first
OWN_SHARE, OWN_FREE, OWN_WINDOW_US = 0.3, 10, 10_000_000  # our own limit: no retry storms
SHORT_PART, LONG_PART = 0.3, 1.0  # of a cold engine's budget; over one, as not every turn finds a query
ROOMY, ROOM = 0.5, 1.3  # load against what it can do: below, a cold engine is asked for so much more
COLD_MOST = 2.0  # of its class's mean estimate: what costs more a cold engine is spared
SAFE_PART = 0.75  # of the stated multiple
SLOT, LONG_SLOT = 0.33, 1.0  # of a window, for short and long ones, where our part is less than one query
SWEEP_US, WATCH_US = 100_000, 1_000_000  # housekeeping pace; pause before a failed list call is made again
REFRESH_US, DRAWS = 200_000, 3  # weights are at most so old; draws before all engines are looked through
TOLD_MOST, TOLD_MEMORY, GRANT = 10.0, 20, 1.25  # what answers tell: at most, over so many; memory over that
MOST_REMARKS = 256  # for one event: a held query may ask every engine
LAST_CALL_US = 120_000  # the final answer goes out this long before the client gives up
KEYED_SLACK_US = 50_000  # a repeat's first byte goes out this long before its engines forget what they drop

REACHED = (api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL)
NEVER_RAN = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.MOOT)
MAY_STILL_RUN = (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED, api.Outcome.UNKNOWN)
SWEEP, WATCH = "sweep", "watch"


def heard(engine: Engine, at: int, report: api.LoadReport | None) -> None:
    if report is not None and at >= engine.report_at:
        engine.report, engine.report_at = report, at
        used, held = report.utilisation, report.held and report.held / engine.cores
        if used is not None:
            engine.load, engine.busy_at = max(0.0, used), BUSY_UTILISATION
        elif held is not None:
            engine.load, engine.busy_at = max(0.0, held), BUSY_HELD
        memory = max((report.memory_share or 0) / BUSY_MEMORY, 2.0 * ((report.memory_queue or 0) >= 1))
        engine.strain = max((used or 0) / BUSY_UTILISATION, (held or 0) / BUSY_HELD, memory)


def first_exposed(query: Query) -> Attempt | None:
    """The first attempt that may have run."""
    return next((a for a in query.attempts if a.outcome not in NEVER_RAN), None)


class Gateway:
    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        self.settings, self.random, self.now = settings, Random(seed), now
        self.actions: list[api.Action] = []
        self.remarks: list[api.Remark] | None = None  # a list: tell why; whoever keeps a record empties it
        self.classes = {c.name: ClassState(c, high=HIGH_FIRST) for c in settings.classes}
        self.engines: dict[str, Engine] = {}
        self.queries: dict[int, Query] = {}
        self.lanes: dict[tuple[str, bool], list[tuple[float, int, Query]]] = {}
        self.lines: dict[str, Line] = {}
        self.taken, self.further = deque[int](), deque[int]()
        self.window = settings.budget_window_us if settings.budget_share is not None else OWN_WINDOW_US
        self.out: dict[tuple[int, int], tuple[Query, Attempt]] = {}  # attempts without an outcome
        self.keys: dict[int, Engine] = {}  # by the key under which gateways tell of them
        self.ready: list[Engine] = []  # engines that the list calls ready, kept in step with it
        self.whole = Sent()  # all engines as one
        self.most, self.free = settings.max_open or math.inf, 1.0  # queries open; share of what is kept free
        self.healthy, self.losses = False, Mean()  # some engine is well; share of answers that do not come
        self.changed = False  # the list, since the last refresh
        self.sums: list[float] | None = None  # running sums of the weights; None: to be made anew
        self.started, self.refreshed_at, self.probed_at, self.probes = now, 0, now, 3.0
        self.stretch, self.mean_load = 1.0, 0.0  # the fleet's usual latency against the best, and load
        self.mean_span_us, self.most_mb = 0.0, max(settings.kind_memory_mb.values(), default=math.inf)
        self.fleet: float = max(1, settings.fleet_size)  # gateways before an engine of ours, in the mean
        self.share = 1.0 / self.fleet  # of the fleet's work, this gateway's part

    def start(self) -> list[api.Action]:
        return [api.SetTimer(SWEEP, self.now), *([api.WatchList(True)] * self.settings.list_on_request)]

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.now, self.actions = now, []
        self.free = min(1.0, (1 - len(self.queries) / self.most) / (1 - CROWDED))
        type(self).__dict__["_on"].dispatcher.dispatch(type(event))(self, event)
        return self.actions

    @singledispatchmethod
    def _on(self, event: api.Event) -> None:
        """Events of other kinds tell nothing that a decision here needs."""

    @_on.register
    def _arrived(self, event: api.QueryArrived) -> None:
        if (cls := self.classes.get(event.class_name)) is None:  # nothing is known of its effects
            self.actions.append(api.Fail(event.query))
            return
        threads, cost = max(1, cls.settings.threads), event.cost_us
        cost = cost if cost is not None else cls.cost.value or cls.settings.aim_us / 4
        span = cost * (cls.told_work.value or 1.0) / threads  # alone on its threads
        aim = self.now + cls.settings.aim_us + cls.settings.aim_stretch * span
        known = (event.cost_us, event.memory_mb, event.give_up_us)
        query = Query(event.query, cls, *known, threads, span, aim, min(aim, event.give_up_us))
        query.guessed = event.cost_us is None and not cls.cost.value
        query.heavy, query.group = self._label(query), event.tables if cls.settings.is_load else None
        self.queries[query.id] = query
        self.taken.append(self.now)
        if cls.settings.in_order and event.key is not None:
            query.line = self.lines.setdefault(event.key, Line())
            query.line.append(query)
        self._place(query)

    def _label(self, query: Query) -> bool:
        """Heavy by cost per thread or by memory against the class's mean; then the means learn."""
        cls, heavy = query.cls, False
        if cls.seen >= LEARN_QUERIES and query.span_us > self.mean_span_us:
            # Where clients give no estimates, a query is taken to cost what answers told of its class.
            costly = (cls.cost.value if query.cost_us is None else query.cost_us) > BAR * cls.cost.value
            heavy = costly or (query.memory_mb or 0) > BAR * cls.memory.value
        cls.seen += 1
        cls.cost.add(query.cost_us, MEAN_MEMORY, cls.settings.deadline_us * query.threads)  # more is a lie,
        cls.memory.add(query.memory_mb, MEAN_MEMORY, self.most_mb)  # and may not hide what others are
        spans = [(c.work_us / max(1, c.settings.threads), c.seen) for c in self.classes.values()]
        self.mean_span_us = sum(span * seen for span, seen in spans) / sum(seen for _, seen in spans)
        return heavy

    def _place(self, query: Query, only: Engine | None = None) -> bool:
        """Send the query, end it, or hold it (False)."""
        if query.done or (query.out and not self._query_may(query)):
            return True
        if self.now >= query.give_up - LAST_CALL_US or not self._query_may(query):
            self._end(query)  # also guards against a try that comes all but too late
            return True
        if not self._turn(query):
            return False
        if (engine := self._choose(query, only)) is None:
            if self.free < 1 and query.gated and not only:
                self._end(query)  # held, it would keep others from reaching us at all
                return True
            lane = self.lanes.setdefault((query.cls.settings.name, query.heavy), [])
            heappush(lane, (query.due, query.id, query))
            return False
        self._send(query, engine)
        return True

    def _choose(self, query: Query, only: Engine | None) -> Engine | None:
        """Drawn from those not tried before, or else again; most often the first fits and none is ranked."""
        tried = [a.engine for a in query.attempts]
        if only:
            return only if only not in tried and self._takes(query, only) else None
        self._refresh()
        if self.ready and self.sums is None:
            self.sums = list(accumulate(e.weight for e in self.ready))
        for _ in range(DRAWS if self.ready and query.group is None else 0):
            engine = self.random.choices(self.ready, cum_weights=self.sums)[0]
            if engine not in tried and self._takes(query, engine):
                return engine
        usable = [e for e in self.ready if self._takes(query, e)]
        usable = [e for e in usable if e not in tried] or usable
        if query.group is not None:  # loads of one group run one by one: each joins the shortest line of ours
            shortest = min((e.loads.get(query.group, 0.0) for e in usable), default=0.0)
            usable = [e for e in usable if e.loads.get(query.group, 0.0) <= shortest + 1]
        return self.random.choices(usable, [e.weight for e in usable])[0] if usable else None

    def _takes(self, query: Query, engine: Engine) -> bool:
        """Failed engines come back one query at a time; full ones and failing ones rest a while."""
        if engine.fails:
            rests = self.now < engine.down_until or (self.healthy and engine.threads > 0)
        else:
            failing = self.healthy and engine.errors.now(self.now, ERROR_FADE_US) >= ERRORS_MOST
            rests = self.now < engine.full_until or failing
        fits = not rests and self._engine_may(query, engine) and self._has_room(query, engine)
        if not fits and self.remarks is not None:
            self._remark(engine, self._why_not(query, engine, rests), query)
        return fits

    def _remark(self, engine: Engine, reason: api.Reason, query: Query | None = None) -> None:
        if self.remarks is not None and len(self.remarks) < MOST_REMARKS:
            self.remarks.append(api.Remark(engine.address, reason, query.id if query else None))

    def _why_not(self, query: Query, engine: Engine, rests: bool) -> api.Reason:
        """Which condition of `_takes` does not hold; asked only where remarks are wanted."""
        if rests:
            full = api.Reason.FULL if self.now < engine.full_until else api.Reason.SHUT_OUT
            return api.Reason.RESTS if engine.fails else full
        if self._engine_may(query, engine):
            return api.Reason.NO_ROOM
        cold = self.now < engine.cold_until and not self._cold_room(query, engine)
        return api.Reason.COLD if cold else api.Reason.NOT_PLACED

    def _has_room(self, query: Query, engine: Engine) -> bool:
        """The bound on heavy threads under pressure; a wider one keeps light queries from feeding a jam."""
        spare = self.free if query.group is None else 1.0 - (self.free < 1 and query.group in engine.loads)
        if query.gated and self._expected_us(query, engine) > spare * (query.due - self.now):
            return False  # it could not finish in time there, or would keep others from reaching us
        if not self._pressed(engine):
            return True
        threads, long = query.threads, query.span_us > self.mean_span_us
        scale = (1.0 if query.heavy else BRIM) * self.share
        used = engine.heavy_threads if query.heavy else engine.threads
        if used + threads <= scale * engine.width * engine.cores:
            return True
        if used and (query.heavy or used - engine.heavy_threads + threads > 1):
            return False
        # A lone query is let in. Where our part of an engine is less, those of many gateways would be a
        # jam: our part of the fleet bounds them, long light ones with the heavy ones, short ones apart.
        whole = self.whole
        ours = whole.heavy_threads if query.heavy else whole.threads - (0 if long else whole.heavy_threads)
        small = engine.cores * self.share < threads
        return not small or ours + threads <= max(threads, scale * whole.width * whole.cores)

    def _pressed(self, engine: Engine) -> bool:
        """Latency well above best, a busy report (our sends since added) or a full refusal."""
        if engine.stretch > PRESSED_STRETCH or self.now < engine.full_until:
            return True
        fresh = self.now - engine.report_at <= REPORT_AGE_US
        others = engine.since.now(self.now, SINCE_US) * (1 / self.share - 1)  # they send as we do
        return (fresh and engine.strain > 1) or self._load(engine) + others > engine.busy_at

    def _load(self, engine: Engine) -> float:
        load = engine.load if self.now - engine.report_at <= REPORT_AGE_US else None
        return (self.mean_load if load is None else load) + engine.since.now(self.now, SINCE_US)

    def _weigh(self, engine: Engine) -> None:
        """Its part in the draw: against reported load and our sends since, then what tells of its health."""
        able = self._able(engine) if self.now < engine.cold_until else 1.0
        weight = able * engine.cores * (LOAD_FLOOR + self._load(engine)) ** -DRAW_POWER
        weight *= LINKED if self.now < engine.linked_until else 1.0  # a new connection is paid for
        weight *= max(0.02, 1 - engine.errors.now(self.now, ERROR_FADE_US)) ** 4
        engine.weight = weight * min(1.0, self.stretch / engine.stretch) ** 2 * (0.1 if engine.fails else 1.0)
        self.sums = None

    def _refresh(self) -> None:
        """What is kept of the fleet as a whole, and every weight, from time to time."""
        now, ready, passed = self.now, self.ready, self.now - self.refreshed_at
        if (passed < REFRESH_US and not self.changed) or not ready:
            return
        self.refreshed_at, self.changed = now, False
        for e in ready:  # one that we seldom hear of fares as the others do
            e.stretch += (self.whole.stretch - e.stretch) * min(1.0, passed / STRETCH_FADE_US)
        for cls in self.classes.values():  # a jam must not outlive itself where a class is seldom answered
            cls.recent.value += (cls.best - cls.recent.value) * min(1.0, passed / RECENT_FADE_US)
        self.stretch = sorted(e.stretch for e in ready)[len(ready) // 2]
        self.healthy = any(e.fails == 0 and e.errors.now(now, ERROR_FADE_US) < ERRORS_MOST for e in ready)
        fresh = [e for e in ready if now - e.report_at <= REPORT_AGE_US]
        loads = [e.load for e in fresh if e.load is not None] or [0.0]
        self.mean_load = sum(loads) / len(loads)
        # Our part of the fleet is one of what is fit to use: not of what rests, is cold or is over-full.
        fit = [e for e in ready if e.fails == 0 and now >= max(e.full_until, e.cold_until)] or ready
        known = ((e, now - e.report_at <= REPORT_AGE_US) for e in fit)
        self.whole.cores = sum(e.cores / (max(1.0, e.strain) if heard else 1.0) for e, heard in known)
        held = sum(e.report.held or 0 for e in fresh if e.report) * len(ready) / max(1, len(fresh))
        if held > 0:  # utilisation does not tell: it stays low on engines whose disks are jammed
            share = min(1.0, len(self.out) / held)
            gain = min(1.0, SHARE_GAIN * passed / REFRESH_US)
            self.share += gain * (max(share, 0.5 / self.fleet) - self.share)
        for e in ready:
            self._weigh(e)

    def _expected_us(self, query: Query, engine: Engine | None = None) -> float:
        """As its class fares of late; on a given engine, as that stands against the others."""
        lines = (e.loads.get(query.group, 0.0) for e in ([engine] if engine else self.ready))
        span = query.span_us + (min(lines, default=0.0) if query.group is not None else 0.0)  # behind ours
        return span * (query.cls.recent.value or 1.0) * (engine.stretch / self.stretch if engine else 1.0)

    # --- The gate that every send passes: the rules.

    def _query_may(self, query: Query) -> bool:
        """Rules 1, 2 and 7, as far as no engine is concerned."""
        settings, cls = self.settings, query.cls.settings
        if query.done or self.now >= query.give_up:
            return False
        if not query.attempts:
            return True
        most, exposed = settings.max_attempts, first_exposed(query)
        if (most is not None and len(query.attempts) >= most) or (query.out and not settings.second_copies):
            return False
        if exposed and cls.effect is not api.Effect.REPEATABLE:
            if cls.effect is api.Effect.ONCE or self.now >= self._begin_by(query, exposed):
                return False
        return self._budget_left()

    def _begin_by(self, query: Query, exposed: Attempt) -> int:
        """Until when a repeat of a keyed query may begin: from its first byte that may have arrived, engines
        drop repeats for the window, and the last copy has to be there by then."""
        return exposed.sent_at + query.cls.settings.window_us - KEYED_SLACK_US

    def _budget_left(self) -> bool:
        """Rule 7, and our own limit on further attempts where none is stated."""
        s = self.settings
        while self.taken and self.taken[0] <= self.now - self.window + s.tick_us:
            self.taken.popleft()
        while self.further and self.further[0] < self.now - self.window - s.tick_us:
            self.further.popleft()
        moving = sum(attempt.moving for _, attempt in self.out.values())
        spent, taken = len(self.further) + moving + 1, len(self.taken)
        stated = s.budget_share is None or spent <= s.budget_free + s.budget_share * taken
        return stated and spent <= OWN_FREE + OWN_SHARE * taken

    def _engine_may(self, query: Query, engine: Engine) -> bool:
        """Rules 2, 3, 4 and 6 for this engine."""
        cls = query.cls.settings
        placed = cls.zones is None or engine.zone in cls.zones
        placed = placed and (cls.kinds is None or engine.kind in cls.kinds)
        if engine.state is not api.EngineState.READY or not placed:
            return False
        if cls.effect is api.Effect.BY_KEY and (exposed := first_exposed(query)):
            before, group = exposed.engine, cls.group
            same = engine.zone == before.zone and (group is api.DedupGroup.ZONE or engine.cell == before.cell)
            if group is not api.DedupGroup.ALL and not same:
                return False
        return self.now >= engine.cold_until or self._cold_room(query, engine)

    def _cold_room(self, query: Query, engine: Engine) -> bool:
        """Rule 4: our share of a safe part of what a cold engine bears, by usual work, bursts included."""
        s = self.settings
        if s.tip_multiple is None:
            return True
        while engine.cold_sent and engine.cold_sent[0][0] < self.now - s.tip_after_us - s.tick_us:
            engine.cold_sent.popleft()
        able, cls, known = self._able(engine), query.cls, self.classes.values()
        full = SAFE_PART * s.tip_multiple * engine.cores * s.tip_after_us / (engine.holders or self.fleet)
        work = cls.cost.value * cls.told_usual or full * able  # a few bad plans are not what all are like
        # One that seems to have room is asked for more, though never so that all together ask for over N: a
        # report may be false or old. Nor by one just started, which does not know what it sent before.
        load = engine.load if self.now - engine.report_at <= s.tip_after_us / 2 else None
        if load is not None and load < ROOMY * able and self.now - self.started > s.tip_after_us:
            full *= ROOM
        # Short classes have one part of the budget and long ones the other, each class by its share of work.
        short = 2 * min(c.work_us for c in known)
        kind = [c for c in known if (c.work_us <= short) is (cls.work_us <= short)]
        slot = SLOT if cls.work_us <= short else LONG_SLOT  # who asks seldom needs longer to use a turn
        if len(kind) < len(known):
            full *= SHORT_PART if slot == SLOT else LONG_PART * (1 + SLOT) / (1 + LONG_SLOT)
        full *= cls.work_us * cls.seen / (sum(c.work_us * c.seen for c in kind) or 1) or 1
        ours = [w for _, w, c in engine.cold_sent if c is cls]
        if work <= full * able:
            return sum(ours) + work <= full * able
        # Our part is less than one query: it would be shut out until warm, or all would come at once. They
        # take turns, each at its own time on each engine: one query of a class in a slot, as far apart as its
        # work asks of what the engine has been able to bear since its start.
        age = max(0.0, 1 - (engine.cold_until - self.now) / max(1, s.cold_us))  # 0 at its start, 1 when warm
        borne = s.cold_us * (s.start_capacity * age + (1 - s.start_capacity) * age**3 / 3)
        turns = borne * full / (s.tip_after_us * work) + engine.phase
        since = turns % 1.0 * s.tip_after_us * work / (full * able)
        usual = (query.cost_us or 0) <= COLD_MOST * cls.cost.value
        return usual and since < slot * s.tip_after_us and not ours

    def _able(self, engine: Engine) -> float:
        """The share of its capacity that a cold engine has for sure: how it warms is not told."""
        s, age = self.settings, 1 - (engine.cold_until - self.now) / max(1, self.settings.cold_us)
        return s.start_capacity + (1 - s.start_capacity) * min(1.0, max(0.0, age)) ** 2

    def _turn(self, query: Query) -> bool:
        """Rule 5: the query heads its key's line, and the key has rested."""
        line = query.line
        return not line or (line[0] is query and bool(query.attempts or self.now >= line.rest_until))

    def _send(self, query: Query, engine: Engine) -> None:
        """The only place that sends; it asks the gate again, whoever calls."""
        if not (self._query_may(query) and self._engine_may(query, engine) and self._turn(query)):
            return
        if (terms := self._terms(query, engine)) != query.terms:
            query.terms = terms
            self.actions.append(api.SetTerms(query.id, *terms))
        keyed, exposed = query.cls.settings.effect is api.Effect.BY_KEY, first_exposed(query)
        # The connection may come up late: past this the attempt does not begin any more.
        begin_by = self._begin_by(query, exposed) if keyed and exposed else None
        self.actions.append(api.Send(query.id, engine.address, 0, begin_by))
        usual = max(query.span_us, query.cls.work_us / query.threads) * (query.cls.recent.value or 1.0)
        attempt = Attempt(len(query.attempts), engine, self.now, usual, query.heavy)
        if query.attempts:
            self.further.append(self.now)
        query.attempts.append(attempt)
        engine.loads[query.group] += query.span_us
        query.out += 1
        self.out[query.id, attempt.number] = query, attempt
        for sent, cores in ((engine, engine.cores), (self.whole, 1.0)):
            sent.threads += query.threads
            sent.heavy_threads += query.threads if query.heavy else 0
            sent.since.value = sent.since.now(self.now, SINCE_US) + query.threads / cores
        self._weigh(engine)
        if self.now < engine.cold_until:
            engine.cold_sent.append((self.now, query.cls.cost.value * query.cls.told_usual, query.cls))

    def _terms(self, query: Query, engine: Engine) -> tuple[float, int]:
        """Memory where answers tell the need; short classes first, heavy and late ones last."""
        s, (grant, priority), told = self.settings, query.terms, query.cls.told_memory.value
        if s.grants_heeded and told and query.memory_mb is not None:
            most = s.kind_memory_mb.get(engine.kind, math.inf) * s.max_grant_share
            grant = round(min(most, query.memory_mb * told * GRANT), 1)
        if s.priorities_heeded:
            brief = query.cls.work_us / query.threads < self.mean_span_us / 2
            priority = 0 if self.now > query.aim_at else (3 if brief else 2) - query.heavy
        return grant, priority

    def _end(self, query: Query) -> None:
        """Our final answer: a refusal where a retry does no harm for certain, else a failure."""
        cls, exposed = query.cls.settings, first_exposed(query)
        harmless = exposed is None or cls.effect is api.Effect.REPEATABLE
        pause = self.settings.max_retry_after_us if self.settings.retry_after else None
        if exposed and cls.effect is api.Effect.BY_KEY and cls.group is api.DedupGroup.ALL:
            # The retry that it calls harmless comes after the pause, and must still be within the window.
            harmless = self.now + (pause or 0) < self._begin_by(query, exposed)
        self.actions.append(api.Refuse(query.id, pause or None) if harmless else api.Fail(query.id))
        self._close(query)

    def _close(self, query: Query) -> None:
        """The query is over; nobody waits for what still runs."""
        query.done = True
        for attempt in query.attempts:
            self._cancel(query, attempt)
        if query.out:
            return
        self.queries.pop(query.id, None)
        if query.line and query in query.line:
            query.line.remove(query)
            self._next_in_line(query.line)

    def _cancel(self, query: Query, attempt: Attempt) -> None:
        if self.settings.cancel_allowed and attempt.outcome is None and not attempt.cancelled:
            attempt.cancelled = True
            self.actions.append(api.CancelAttempt(query.id, attempt.number))

    def _next_in_line(self, line: Line) -> None:
        while line and line[0].done and not line[0].out:
            line.popleft()
        if line and not line[0].attempts and self.now >= line.rest_until:
            self._place(line[0])

    @_on.register
    def _left(self, event: api.ClientLeft) -> None:
        if query := self.queries.get(event.query):
            self._close(query)

    @_on.register
    def _ended(self, event: api.AttemptEnded) -> None:
        if (found := self.out.pop((event.query, event.attempt), None)) is None:
            return  # told late, twice or unasked
        query, attempt = found
        engine, attempt.outcome, query.out = attempt.engine, event.outcome, query.out - 1
        engine.loads[query.group] -= query.span_us
        if engine.loads[query.group] < 1:  # groups are what clients name: none is kept
            del engine.loads[query.group]
        for sent in (engine, self.whole):
            sent.threads -= query.threads
            sent.heavy_threads -= query.threads if attempt.heavy else 0
        heard(engine, self.now, event.report)
        self._judge(query, attempt, event)
        self._weigh(engine)
        if event.outcome in MAY_STILL_RUN and query.line is not None:
            query.line.rest_until = self.now + self.settings.order_settle_us
        if event.final or query.done:
            self._close(query)
        elif not query.out:
            self._place(query)
        self._release(engine)

    def _judge(self, query: Query, attempt: Attempt, event: api.AttemptEnded) -> None:
        """What an outcome tells of the engine and of the class."""
        engine, outcome, cls = attempt.engine, event.outcome, query.cls
        self._verdict(engine, outcome)
        if outcome in REACHED:
            engine.linked_until = self.now + self.settings.keepalive_us
        elif outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.RESET):
            engine.linked_until = self.now
        if outcome in (api.Outcome.OK, api.Outcome.ERROR):
            engine.alive_at = self.now
        elif outcome is api.Outcome.RESET:  # an answer is lost, or the engine died if nothing else came of it
            self._count(engine, 1.0, 1.0)
            if engine.alive_at <= attempt.sent_at:
                engine.full_until = self.now + FULL_REST_US
        if outcome is not api.Outcome.OK:
            return
        engine.fails = engine.fulls = 0
        self._count(engine, 0.0, 0.0)
        took = event.elapsed_us
        if query.group is not None:  # what it stood behind ours tells nothing of the engine
            took, engine.freed[query.group] = min(took, self.now - engine.freed.get(query.group, 0)), self.now
        # Without an estimate the class's mean stands in: a long query would look like a slow engine. Where
        # even the mean was a guess it is kept to, lest what is expected of others be many times too long.
        unsaid = event.work_ms and query.cost_us is None and not query.guessed
        told = event.work_ms * 1000 / query.threads if event.work_ms and unsaid else None
        self._stretch(query, engine, took, took, told)
        if not attempt.share:
            self._heads(query, took)
        if event.work_ms and query.cost_us is None:
            cost = event.work_ms * 1000 / (cls.told_work.value or 1.0)  # as others of its class estimate
            cls.cost.add(cost, MEAN_MEMORY, cls.settings.deadline_us * query.threads)
        elif event.work_ms and query.cost_us:
            ratio = min(event.work_ms * 1000 / query.cost_us, TOLD_MOST)
            cls.told_work.add(ratio, TOLD_MEMORY)
            cls.told_usual *= 1 + HIGH_STEP * (0.5 - (ratio < cls.told_usual))
        if event.memory_mb and query.memory_mb:
            cls.told_memory.add(min(event.memory_mb / query.memory_mb, TOLD_MOST), TOLD_MEMORY)

    def _verdict(self, engine: Engine, outcome: api.Outcome) -> None:
        if outcome is api.Outcome.CONNECT_FAILED:
            self._down(engine)
        elif outcome is api.Outcome.FULL:
            rest = min(DOWN_MOST_US, FULL_REST_US << min(engine.fulls, 4))  # it may hang, or all come at once
            engine.full_until, engine.fulls, engine.alive_at = self.now + rest, engine.fulls + 1, self.now
            self._remark(engine, api.Reason.RESTED_FULL)
        elif outcome is api.Outcome.ERROR:
            self._count(engine, 1.0, 0.0)

    def _count(self, engine: Engine, error: float, loss: float) -> None:
        engine.errors.value += ERROR_GAIN * (error - engine.errors.now(self.now, ERROR_FADE_US))
        self.losses.add(loss, LOSS_MEMORY)

    def _stretch(
        self, query: Query, engine: Engine, elapsed_us: float, total_us: float, told_us: float | None = None
    ) -> None:
        """An elapsed time against the estimate; runaways count too, else a jam looks quick, but not
        what a dead engine held: that tells of no other engine, and had all else refused as late."""
        span, cls, recent = max(told_us or query.span_us, 5_000.0), query.cls, query.cls.recent
        ratio = min(max(elapsed_us, 1) / span, 5 * recent.value or math.inf)
        if elapsed_us == total_us:  # what was called off early must not look quick
            recent.add(ratio, BEST_OVER)  # single lucky ones say nothing: estimates scatter
            cls.best = min(cls.best * BEST_RISE, recent.value) if recent.count > BEST_OVER else recent.value
        long = query.span_us > self.mean_span_us  # short ones look well in a jam where priorities count
        parts = [(engine, WIDTH_STEP, 10.0), (self.whole, WHOLE_STEP, 2 * self.whole.stretch)]
        for sent, step, most in parts[: 1 + long]:
            sent.stretch += STRETCH_GAIN * (min(ratio / cls.best, most) - sent.stretch)
            width = sent.width + (step if sent.stretch < PRESSED_STRETCH else -step)
            sent.width = min(WIDTH_MOST, max(WIDTH_LEAST, width))

    def _heads(self, query: Query, total_us: float) -> None:
        """Each attempt counts once, by its first note or else its answer. Did those judged bad count more,
        the bar would rise with each until no runaway is found; answers tell of a jam only once it is over."""
        cls, ratio = query.cls, total_us / max(query.span_us, 5_000.0)
        cls.high *= 1 + HIGH_STEP * (HIGH_PART - (ratio < cls.high))
        cls.headed *= 1 + HIGH_STEP * (0.5 - (ratio < cls.headed))

    def _down(self, engine: Engine) -> None:
        """The engine failed us: it rests, longer each time, and what it holds is tried elsewhere."""
        if self.now >= engine.down_until:
            engine.fails += 1
            engine.down_until = self.now + min(DOWN_MOST_US, DOWN_US << min(engine.fails - 1, 4))
            self._remark(engine, api.Reason.RESTED)
        for query, attempt in list(self.out.values()):
            if attempt.engine is engine:
                self._elsewhere(query, attempt)

    def _elsewhere(self, query: Query, attempt: Attempt) -> None:
        """Give up one attempt for another; the result of the cancelled one brings the next."""
        s, safe = self.settings, query.cls.settings.effect is api.Effect.REPEATABLE and not query.done
        room = safe and len(query.attempts) < min(MOST_SENDS, s.max_attempts or MOST_SENDS)
        if s.cancel_allowed and room and not attempt.cancelled and self._budget_left():
            self._cancel(query, attempt)
            attempt.moving = True
            self._remark(attempt.engine, api.Reason.MOVED, query)

    @_on.register
    def _noted(self, event: api.AttemptNote) -> None:
        if (found := self.out.get((event.query, event.attempt))) is None:
            return
        query, attempt = found
        if event.topic is api.Topic.WAIT:  # told once; what then waits for long is better off elsewhere
            attempt.heard_at = self.now
        if event.topic is not api.Topic.PROGRESS or event.value == attempt.share:
            return  # the same share to the last digit is a frozen one; a lower one is noise
        total, cls = (self.now - attempt.sent_at) / max(event.value, 0.02), query.cls
        if not attempt.share:
            self._heads(query, total)
        attempt.share, attempt.heard_at, attempt.engine.alive_at = event.value, self.now, self.now
        finish = attempt.sent_at + total
        fresh = self._expected_us(query) * cls.headed / (cls.recent.value or cls.headed)
        bad = total > RUNAWAY * query.span_us * max(cls.high, cls.headed) and finish > query.aim_at
        # Without an estimate it is most often long work: no fault of its engine, and as long on another.
        if bad and query.cost_us is not None and self.now + fresh < min(finish, query.give_up):
            self._stretch(query, attempt.engine, self.now - attempt.sent_at, total)
            self._elsewhere(query, attempt)

    @_on.register
    def _probed(self, event: api.ProbeEnded) -> None:
        if (engine := self.engines.get(event.engine)) is None:
            return
        engine.probing = False
        heard(engine, self.now, event.report)
        if event.report is not None and self.settings.peers_allowed:
            seen = memo.Sighting(memo.key_of(engine.address), 0, event.report, engine.cores)
            self.actions.append(api.TellPeer(None, memo.encode([seen])))
        if event.outcome in REACHED:
            engine.linked_until = self.now + self.settings.keepalive_us
        if event.outcome is api.Outcome.TIMEOUT and self._most_well():
            self._down(engine)
        if event.outcome is not api.Outcome.ERROR:  # what fails fast still serves some, while others are full
            self._verdict(engine, event.outcome)
        self._weigh(engine)
        self._release(engine)

    @_on.register
    def _told(self, event: api.PeerTold) -> None:
        """What another gateway's probe brought: as good as our own, though it tells nothing of our links."""
        try:
            told = memo.decode(event.payload)
        except memo.MemoError:
            return
        for seen in told:
            if engine := self.keys.get(seen.key):
                at = self.now - seen.age_us
                engine.probe_at = max(engine.probe_at, at)
                if self.now < engine.cold_until or self.random.random() < HEEDED:  # turns keep a cold one
                    heard(engine, at, seen.report(engine.cores))
                    self._weigh(engine)  # what is held waits for the next sweep: memos come by the hundred

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
        known = [e for e in self.engines.values() if e.state is not api.EngineState.GONE or e.threads]
        self.engines, self.changed, self.sums = {e.address: e for e in known}, True, None
        self.ready = [e for e in known if e.state is api.EngineState.READY]
        # Where gateways keep parts of the engines, ours of each is one among those that keep it.
        parts = [1 / e.holders for e in self.ready if e.holders]
        fleet = len(parts) / sum(parts) if parts else max(1, self.settings.fleet_size)
        if fleet != self.fleet:
            self.share, self.fleet = self.share * self.fleet / fleet, fleet
        self.keys = {key: self.engines[name] for key, name in memo.keys_of(self.engines).items()}
        self._release()

    def _entry(self, entry: api.EngineEntry) -> None:
        if (engine := self.engines.get(entry.engine)) is None:
            engine = self.engines[entry.engine] = Engine(address=entry.engine, busy_at=BUSY_HELD)
            engine.probe_at = self.now - int(self.random.random() * PROBE_WANTED_US)
        if engine.state is api.EngineState.READY and entry.state is not api.EngineState.READY:
            self._remark(engine, api.Reason.DRAINED)
        engine.kind, engine.zone, engine.cell, engine.state = entry.kind, entry.zone, entry.cell, entry.state
        engine.holders, fleet = entry.holders, max(1, self.settings.fleet_size)
        turn = entry.rank / entry.holders if entry.holders else self.settings.me / fleet
        engine.phase = turn + memo.key_of(entry.engine) / 65_536
        engine.cores = max(1.0, self.settings.kind_cores.get(entry.kind, entry.weight))
        if entry.started_us is not None:
            cold_until = entry.started_us + self.settings.cold_us
            if cold_until > max(engine.cold_until, self.now):  # a new start: old sins are forgotten
                engine.fails, engine.stretch, engine.errors.value = 0, 1.0, 0.0
            engine.cold_until = max(engine.cold_until, cold_until)

    @_on.register
    def _timer(self, event: api.TimerFired) -> None:
        if event.token != SWEEP:
            self.actions += [api.WatchList(True)] * (event.token == WATCH)
            return
        self.actions.append(api.SetTimer(SWEEP, self.now + SWEEP_US))
        for query in list(self.queries.values()):
            if not query.done and self.now >= query.give_up - LAST_CALL_US:
                self._end(query)
        for key, line in list(self.lines.items()):
            self._next_in_line(line)
            if not line and self.now >= line.rest_until:
                del self.lines[key]
        for query, attempt in list(self.out.values()):
            engine, limit = attempt.engine, self._patience(query, attempt)
            if attempt.cancelled or self.now - max(attempt.sent_at, attempt.heard_at) <= limit:
                continue
            if self.now - max(attempt.sent_at, engine.alive_at) <= limit:  # it lives: an answer is lost
                attempt.heard_at = self.now
                if query.group is None:  # a load that stands in line is silent for long
                    self._count(engine, 1.0, 1.0)
                self._elsewhere(query, attempt)
            elif self._most_well():
                self._down(engine)
        if self.whole.threads:
            self._refresh()
        self._probe()
        self._release()

    def _most_well(self) -> bool:  # half of the fleet silent: no engine's fault, and none is shut out
        return sum(e.fails > 0 for e in self.ready) * 2 <= len(self.ready)

    def _patience(self, query: Query, attempt: Attempt) -> float:
        """How long an attempt may give no sign; less where answers get lost and another would be in time."""
        expected, pace = attempt.expected_us, self.settings.progress_us * NOTES_MISSED or math.inf
        limit = max(SILENT_US, min(pace, PATIENCE * expected))
        if self.losses.value > LOSSY and self.now + expected < query.aim_at:
            limit = min(limit, max(HASTY_US, HASTE * expected))
        return limit

    def _probe(self) -> None:
        """The engines longest unheard, at a rate that our queries pay for; more often where a small gateway
        would else know little of a large fleet."""
        s, passed = self.settings, self.now - self.probed_at
        if s.peers_allowed and passed < PROBE_US:
            return  # engines are many, our part in asking them is small
        self.probed_at = self.now
        if not s.probes_allowed or s.reports_by is api.ReportsBy.NONE:
            return
        self._budget_left()  # forgets what was taken too long ago to count
        rate = len(self.taken) / min(self.window, max(SWEEP_US, self.now - self.started))
        rate = min(PROBES_MOST * rate, max(PROBES_PER_QUERY * rate, len(self.ready) / PROBE_WANTED_US))
        saved = len(self.ready) / (8 if s.peers_allowed else 1)  # a split must not make all ask all at once
        self.probes = min(self.probes + rate * passed, 3.0 + saved)
        linked = sum(self.now < e.linked_until for e in self.ready)
        heard = [(max(e.probe_at, e.report_at), e.address, e) for e in self.ready if not e.probing]
        for at, _, engine in sorted(heard):
            if self.probes < 1:
                break
            if s.peers_allowed:  # all hear what one asks: each asks its part, more as nothing is heard
                age = min(PROBE_STALE, (self.now - at) / PROBE_SHARED_US)
                near = self.now < engine.linked_until
                part = passed / PROBE_SHARED_US / (engine.holders or self.fleet) * age**2
                if self.random.random() >= part * (len(self.ready) / max(1, linked) if near else 0.1):
                    continue
            if self.now - at >= PROBE_US:
                self.probes -= 1
                engine.probe_at, engine.probing = self.now, True
                self.actions.append(api.SendProbe(engine.address))

    def _release(self, only: Engine | None = None) -> None:
        """Held queries leave by deadline, and are refused once they cannot finish in time."""
        for lane in sorted((lane for lane in self.lanes.values() if lane), key=lambda held: held[0][0]):
            while lane:
                query = heappop(lane)[2]
                if not query.done and self.now + self._expected_us(query) > query.due:
                    self._end(query)
                elif not query.done and not self._place(query, only):  # held again
                    break
