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
from whintrail.fleet import probe_reports
from whintrail.state import Attempt, ClassState, Engine, KeyQueue, OutstandingLoad, Query, RunningMean

HEAVY_COST_RATIO = (
    0.25  # heavy above so many times the class's mean; what is under the mean of all is too short to hold
)
MIN_LABELLED_QUERIES, MEAN_WINDOW_QUERIES = (
    20,
    500,
)  # all of a class is light until then; the mean is over so many
# --- Pressure: what makes the heavy bound bind.
PRESSURE_LATENCY_RATIO = 1.7  # latency this many times the class's best: threads clearly share cores
RECENT_LATENCY_DECAY_US = 10_000_000  # expected times fall back to the best so fast
BEST_LATENCY_WINDOW_ANSWERS, BEST_LATENCY_GROWTH = (
    20,
    1.0005,
)  # answers that "best" is smoothed over; it rises slowly, lest it grow stale
BUSY_UTILISATION, BUSY_QUERIES_PER_CORE, BUSY_MEMORY_SHARE = (
    0.95,
    1.5,
    0.7,
)  # of the cores; a core; share of memory granted
FULL_BACKOFF_US = 500_000  # an engine that refused for want of room is pressed and rests, longer each time
MAX_LIGHT_THREADS_PER_CORE = (
    1.4  # all our threads per core of our share; threads that read leave room, more feed a jam
)
WORK_SHARE_GAIN, FLEET_LIMIT_STEP = (
    0.08,
    0.05,
)  # how fast our share follows reports, and the fleet's bounds latency
LIMIT_STEP, MIN_LIMIT_SCALE, MAX_LIMIT_SCALE = 0.01, 0.5, 2.0  # how far and how fast latency moves the bounds
IDLE_LOAD, LOAD_WEIGHT_EXPONENT = (
    0.2,
    3.0,
)  # what an idle engine counts; how steep: higher chases stale reports
CROWDED_OPEN_SHARE = (
    0.7  # of the queries that clients can have open: from then on heavy ones must end ever sooner
)
RECENT_SENDS_DECAY_US = (
    600_000  # our sends count on top of the reports until reports have had time to show them
)
MAX_REPORT_AGE_US = 4_000_000  # older reports say nothing: frozen or stopped, the engine counts as average
# --- Health.
INITIAL_BACKOFF_US, MAX_BACKOFF_US = (
    1_000_000,
    8_000_000,
)  # first and longest rest of an engine that failed us
MIN_SILENCE_US, SILENCE_RATIO, SILENCE_PROGRESS_INTERVALS = (
    1_000_000,
    6.0,
    2.2,
)  # silence: least; times the expected; notes apart
MIN_LOSSY_SILENCE_US, LOSSY_SILENCE_RATIO = (
    200_000,
    3.0,
)  # the least time and the patience where answers get lost
LOSSY_ANSWER_SHARE, LOSS_WINDOW_ANSWERS = (
    0.02,
    200,
)  # where more than this share of answers, of so many, do not come: be hasty
MAX_ERROR_RATE = 0.5  # an engine that fails more of its queries is left alone while others do not
ERROR_RATE_GAIN, ERROR_RATE_DECAY_US = (
    0.2,
    8_000_000,
)  # weight of one answer, and how fast what is known fades
LATENCY_RATIO_GAIN, LATENCY_RATIO_DECAY_US = (
    0.15,
    5_000_000,
)  # the same for an engine's latency against the best
PROBES_PER_QUERY, MAX_PROBES_PER_QUERY = (
    0.35,
    1.0,
)  # usual and most probes a query, which is what they are priced by
SHARED_PROBE_INTERVAL_US, MAX_PROBE_AGE_INTERVALS = (
    600_000,
    4.0,
)  # where gateways tell one another: the same, and the oldest
PEER_REPORT_ACCEPTANCE = (
    0.25  # of what others tell: did all heed the same, they would all crowd, or refuse, at once
)
CONNECTED_WEIGHT = 50.0  # weight of an engine to which a connection stands
MIN_PROBE_INTERVAL_US, TARGET_PROBE_INTERVAL_US = (
    400_000,
    2_000_000,
)  # between an engine's reports: shortest pause, and wanted
RUNAWAY_RATIO, MAX_SENDS_PER_QUERY = (
    2.0,
    4,
)  # on course for so many times what is high for its class; moved no more often
HIGH_QUANTILE, QUANTILE_STEP, INITIAL_HIGH_RATIO = (
    0.8,
    0.1,
    5.0,
)  # high: so many take less; how fast it follows; at first
DEFAULT_RETRY_RATIO, DEFAULT_FREE_RETRIES, DEFAULT_RETRY_WINDOW_US = (
    0.3,
    10,
    10_000_000,
)  # our own limit: no retry storms
SHORT_COLD_BUDGET_SHARE, LONG_COLD_BUDGET_SHARE = (
    0.3,
    1.0,
)  # of a cold engine's budget; over one, as not every turn finds a query
COLD_SPARE_LOAD, COLD_SPARE_FACTOR = (
    0.5,
    1.3,
)  # load against what it can do: below, a cold engine is asked for so much more
MAX_COLD_COST_RATIO = 2.0  # of its class's mean estimate: what costs more a cold engine is spared
SAFE_OVERLOAD_SHARE = 0.75  # of the stated multiple
SHORT_SLOT_WINDOWS, LONG_SLOT_WINDOWS = (
    0.33,
    1.0,
)  # of a window, for short and long ones, where our part is less than one query
SWEEP_INTERVAL_US, LIST_RETRY_DELAY_US = (
    100_000,
    1_000_000,
)  # housekeeping pace; pause before a failed list call is made again
WEIGHT_REFRESH_INTERVAL_US, MAX_RANDOM_DRAWS = (
    200_000,
    3,
)  # weights are at most so old; draws before all engines are looked through
MAX_REPORTED_RATIO, REPORTED_RATIO_WINDOW_ANSWERS, MEMORY_GRANT_RATIO = (
    10.0,
    20,
    1.25,
)  # what answers tell: at most, over so many; memory over that
MAX_LOGGED_DECISIONS = 256  # for one event: a held query may ask every engine
FINAL_ANSWER_MARGIN_US = 120_000  # the final answer goes out this long before the client gives up
DEDUP_WINDOW_MARGIN_US = (
    50_000  # a repeat's first byte goes out this long before its engines forget what they drop
)

REACHED_OUTCOMES = (api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL)
NEVER_RAN_OUTCOMES = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_STARTED)
MAY_STILL_RUN_OUTCOMES = (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED, api.Outcome.UNKNOWN)
SWEEP_TIMER, LIST_RETRY_TIMER = "sweep", "watch"


def apply_load_report(engine: Engine, at: int, report: api.LoadReport | None) -> None:
    if report is not None and at >= engine.report_at:
        engine.report, engine.report_at = report, at
        used, held = report.utilisation, report.active_queries and report.active_queries / engine.cores
        if used is not None:
            engine.reported_load, engine.busy_load = max(0.0, used), BUSY_UTILISATION
        elif held is not None:
            engine.reported_load, engine.busy_load = max(0.0, held), BUSY_QUERIES_PER_CORE
        memory = max((report.memory_share or 0) / BUSY_MEMORY_SHARE, 2.0 * ((report.memory_queue or 0) >= 1))
        engine.pressure = max((used or 0) / BUSY_UTILISATION, (held or 0) / BUSY_QUERIES_PER_CORE, memory)


def first_possible_run(query: Query) -> Attempt | None:
    """The first attempt that may have run."""
    return next((a for a in query.attempts if a.outcome not in NEVER_RAN_OUTCOMES), None)


class RoutingPolicy:
    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        self.settings, self.random, self.now = settings, Random(seed), now
        self.actions: list[api.Action] = []
        self.decision_log: list[api.EngineDecision] | None = (
            None  # a list: tell why; whoever keeps a record empties it
        )
        self.classes = {c.name: ClassState(c, high_projected=INITIAL_HIGH_RATIO) for c in settings.classes}
        self.engines: dict[str, Engine] = {}
        self.queries: dict[int, Query] = {}
        self.held_queues: dict[tuple[str, bool], list[tuple[float, int, Query]]] = {}
        self.key_queues: dict[str, KeyQueue] = {}
        self.arrival_times, self.retry_times = deque[int](), deque[int]()
        self.retry_window_us = (
            settings.retry_budget_window_us
            if settings.retry_budget_ratio is not None
            else DEFAULT_RETRY_WINDOW_US
        )
        self.in_flight: dict[tuple[int, int], tuple[Query, Attempt]] = {}  # attempts without an outcome
        self.engines_by_key: dict[int, Engine] = {}  # by the key under which gateways tell of them
        self.ready: list[Engine] = []  # engines that the list calls ready, kept in step with it
        self.fleet_total = OutstandingLoad()  # all engines as one
        self.max_open, self.open_slot_share = (
            settings.max_open or math.inf,
            1.0,
        )  # queries open; share of what is kept free
        self.any_healthy, self.loss_rate = (
            False,
            RunningMean(),
        )  # some engine is well; share of answers that do not come
        self.list_changed = False  # the list, since the last refresh
        self.cumulative_weights: list[float] | None = (
            None  # running sums of the weights; None: to be made anew
        )
        self.started_at, self.refreshed_at, self.probe_budget_at, self.probe_budget = now, 0, now, 3.0
        self.median_latency_ratio, self.mean_load = (
            1.0,
            0.0,
        )  # the fleet's usual latency against the best, and load
        self.mean_ideal_us, self.max_memory_mb = 0.0, max(settings.kind_memory_mb.values(), default=math.inf)
        self.gateways_per_engine: float = max(
            1, settings.fleet_size
        )  # gateways before an engine of ours, in the mean
        self.work_share = 1.0 / self.gateways_per_engine  # of the fleet's work, this gateway's part

    def start(self) -> list[api.Action]:
        return [
            api.SetTimer(SWEEP_TIMER, self.now),
            *([api.WatchEngineList(True)] * self.settings.list_on_request),
        ]

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.now, self.actions = now, []
        self.open_slot_share = min(1.0, (1 - len(self.queries) / self.max_open) / (1 - CROWDED_OPEN_SHARE))
        type(self).__dict__["_on"].dispatcher.dispatch(type(event))(self, event)
        return self.actions

    @singledispatchmethod
    def _handle_event(self, event: api.Event) -> None:
        """Events of other kinds tell nothing that a decision here needs."""

    @_handle_event.register
    def _on_query_arrived(self, event: api.QueryArrived) -> None:
        if (cls := self.classes.get(event.class_name)) is None:  # nothing is known of its effects
            self.actions.append(api.FailQuery(event.query))
            return
        threads, cost = max(1, cls.settings.threads), event.cost_us
        cost = cost if cost is not None else cls.mean_cost.value or cls.settings.target_latency_us / 4
        span = cost * (cls.mean_work_ratio.value or 1.0) / threads  # alone on its threads
        aim = self.now + cls.settings.target_latency_us + cls.settings.target_latency_ratio * span
        known = (event.cost_us, event.memory_mb, event.deadline_at_us)
        query = Query(event.query, cls, *known, threads, span, aim, min(aim, event.deadline_at_us))
        query.is_guess = event.cost_us is None and not cls.mean_cost.value
        query.heavy, query.table_group = (
            self._classify(query),
            event.table_group if cls.settings.is_load else None,
        )
        self.queries[query.id] = query
        self.arrival_times.append(self.now)
        if cls.settings.ordered_by_key and event.ordering_key is not None:
            query.key_queue = self.key_queues.setdefault(event.ordering_key, KeyQueue())
            query.key_queue.append(query)
        self._dispatch_or_hold(query)

    def _classify(self, query: Query) -> bool:
        """Heavy by cost per thread or by memory against the class's mean; then the means learn."""
        cls, heavy = query.cls, False
        if cls.query_count >= MIN_LABELLED_QUERIES and query.ideal_us > self.mean_ideal_us:
            # Where clients give no estimates, a query is taken to cost what answers told of its class.
            costly = (
                cls.mean_cost.value if query.cost_us is None else query.cost_us
            ) > HEAVY_COST_RATIO * cls.mean_cost.value
            heavy = costly or (query.memory_mb or 0) > HEAVY_COST_RATIO * cls.mean_memory.value
        cls.query_count += 1
        cls.mean_cost.add(
            query.cost_us, MEAN_WINDOW_QUERIES, cls.settings.deadline_us * query.threads
        )  # more is a lie,
        cls.mean_memory.add(
            query.memory_mb, MEAN_WINDOW_QUERIES, self.max_memory_mb
        )  # and may not hide what others are
        spans = [
            (c.typical_work_us / max(1, c.settings.threads), c.query_count) for c in self.classes.values()
        ]
        self.mean_ideal_us = sum(span * seen for span, seen in spans) / sum(seen for _, seen in spans)
        return heavy

    def _dispatch_or_hold(self, query: Query, only_engine: Engine | None = None) -> bool:
        """Send the query, end it, or hold it (False)."""
        if query.done or (query.open_attempts and not self._may_attempt(query)):
            return True
        if self.now >= query.deadline_at - FINAL_ANSWER_MARGIN_US or not self._may_attempt(query):
            self._refuse_or_fail(query)  # also guards against a try that comes all but too late
            return True
        if not self._is_next_for_key(query):
            return False
        if (engine := self._choose_engine(query, only_engine)) is None:
            if self.open_slot_share < 1 and query.gated and not only_engine:
                self._refuse_or_fail(query)  # held, it would keep others from reaching us at all
                return True
            lane = self.held_queues.setdefault((query.cls.settings.name, query.heavy), [])
            heappush(lane, (query.due_at, query.id, query))
            return False
        self._send_attempt(query, engine)
        return True

    def _choose_engine(self, query: Query, only_engine: Engine | None) -> Engine | None:
        """Drawn from those not tried before, or else again; most often the first fits and none is ranked."""
        tried = [a.engine for a in query.attempts]
        if only_engine:
            return (
                only_engine if only_engine not in tried and self._engine_accepts(query, only_engine) else None
            )
        self._refresh_weights()
        if self.ready and self.cumulative_weights is None:
            self.cumulative_weights = list(accumulate(e.weight for e in self.ready))
        for _ in range(MAX_RANDOM_DRAWS if self.ready and query.table_group is None else 0):
            engine = self.random.choices(self.ready, cum_weights=self.cumulative_weights)[0]
            if engine not in tried and self._engine_accepts(query, engine):
                return engine
        usable = [e for e in self.ready if self._engine_accepts(query, e)]
        usable = [e for e in usable if e not in tried] or usable
        if (
            query.table_group is not None
        ):  # loads of one group run one by one: each joins the shortest line of ours
            shortest = min((e.table_group_work.get(query.table_group, 0.0) for e in usable), default=0.0)
            usable = [e for e in usable if e.table_group_work.get(query.table_group, 0.0) <= shortest + 1]
        return self.random.choices(usable, [e.weight for e in usable])[0] if usable else None

    def _engine_accepts(self, query: Query, engine: Engine) -> bool:
        """Failed engines come back one query at a time; full ones and failing ones rest a while."""
        if engine.failures:
            rests = self.now < engine.backoff_until or (self.any_healthy and engine.threads > 0)
        else:
            failing = (
                self.any_healthy
                and engine.error_rate.decayed(self.now, ERROR_RATE_DECAY_US) >= MAX_ERROR_RATE
            )
            rests = self.now < engine.full_backoff_until or failing
        fits = not rests and self._may_use_engine(query, engine) and self._has_room(query, engine)
        if not fits and self.decision_log is not None:
            self._log_decision(engine, self._rejection_reason(query, engine, rests), query)
        return fits

    def _log_decision(self, engine: Engine, reason: api.Reason, query: Query | None = None) -> None:
        if self.decision_log is not None and len(self.decision_log) < MAX_LOGGED_DECISIONS:
            self.decision_log.append(api.EngineDecision(engine.address, reason, query.id if query else None))

    def _rejection_reason(self, query: Query, engine: Engine, is_resting: bool) -> api.Reason:
        """Which condition of `_takes` does not hold; asked only where remarks are wanted."""
        if is_resting:
            full = (
                api.Reason.RECENTLY_FULL
                if self.now < engine.full_backoff_until
                else api.Reason.HIGH_ERROR_RATE
            )
            return api.Reason.BACKING_OFF if engine.failures else full
        if self._may_use_engine(query, engine):
            return api.Reason.NO_CAPACITY
        cold = self.now < engine.cold_until and not self._has_cold_budget(query, engine)
        return api.Reason.COLD_BUDGET_SPENT if cold else api.Reason.PLACEMENT_FORBIDDEN

    def _has_room(self, query: Query, engine: Engine) -> bool:
        """The bound on heavy threads under pressure; a wider one keeps light queries from feeding a jam."""
        spare = (
            self.open_slot_share
            if query.table_group is None
            else 1.0 - (self.open_slot_share < 1 and query.table_group in engine.table_group_work)
        )
        if query.gated and self._expected_latency_us(query, engine) > spare * (query.due_at - self.now):
            return False  # it could not finish in time there, or would keep others from reaching us
        if not self._is_under_pressure(engine):
            return True
        threads, long = query.threads, query.ideal_us > self.mean_ideal_us
        scale = (1.0 if query.heavy else MAX_LIGHT_THREADS_PER_CORE) * self.work_share
        used = engine.heavy_threads if query.heavy else engine.threads
        if used + threads <= scale * engine.limit_scale * engine.cores:
            return True
        if used and (query.heavy or used - engine.heavy_threads + threads > 1):
            return False
        # A lone query is let in. Where our part of an engine is less, those of many gateways would be a
        # jam: our part of the fleet bounds them, long light ones with the heavy ones, short ones apart.
        whole = self.fleet_total
        ours = whole.heavy_threads if query.heavy else whole.threads - (0 if long else whole.heavy_threads)
        small = engine.cores * self.work_share < threads
        return not small or ours + threads <= max(threads, scale * whole.limit_scale * whole.cores)

    def _is_under_pressure(self, engine: Engine) -> bool:
        """Latency well above best, a busy report (our sends since added) or a full refusal."""
        if engine.latency_ratio > PRESSURE_LATENCY_RATIO or self.now < engine.full_backoff_until:
            return True
        fresh = self.now - engine.report_at <= MAX_REPORT_AGE_US
        others = engine.recent_threads.decayed(self.now, RECENT_SENDS_DECAY_US) * (
            1 / self.work_share - 1
        )  # they send as we do
        return (fresh and engine.pressure > 1) or self._estimated_load(engine) + others > engine.busy_load

    def _estimated_load(self, engine: Engine) -> float:
        load = engine.reported_load if self.now - engine.report_at <= MAX_REPORT_AGE_US else None
        return (self.mean_load if load is None else load) + engine.recent_threads.decayed(
            self.now, RECENT_SENDS_DECAY_US
        )

    def _update_weight(self, engine: Engine) -> None:
        """Its part in the draw: against reported load and our sends since, then what tells of its health."""
        able = self._warm_capacity_share(engine) if self.now < engine.cold_until else 1.0
        weight = able * engine.cores * (IDLE_LOAD + self._estimated_load(engine)) ** -LOAD_WEIGHT_EXPONENT
        weight *= (
            CONNECTED_WEIGHT if self.now < engine.connected_until else 1.0
        )  # a new connection is paid for
        weight *= max(0.02, 1 - engine.error_rate.decayed(self.now, ERROR_RATE_DECAY_US)) ** 4
        engine.weight = (
            weight
            * min(1.0, self.median_latency_ratio / engine.latency_ratio) ** 2
            * (0.1 if engine.failures else 1.0)
        )
        self.cumulative_weights = None

    def _refresh_weights(self) -> None:
        """What is kept of the fleet as a whole, and every weight, from time to time."""
        now, ready, passed = self.now, self.ready, self.now - self.refreshed_at
        if (passed < WEIGHT_REFRESH_INTERVAL_US and not self.list_changed) or not ready:
            return
        self.refreshed_at, self.list_changed = now, False
        for e in ready:  # one that we seldom hear of fares as the others do
            e.latency_ratio += (self.fleet_total.latency_ratio - e.latency_ratio) * min(
                1.0, passed / LATENCY_RATIO_DECAY_US
            )
        for cls in self.classes.values():  # a jam must not outlive itself where a class is seldom answered
            cls.recent_latency.value += (cls.best_latency - cls.recent_latency.value) * min(
                1.0, passed / RECENT_LATENCY_DECAY_US
            )
        self.median_latency_ratio = sorted(e.latency_ratio for e in ready)[len(ready) // 2]
        self.any_healthy = any(
            e.failures == 0 and e.error_rate.decayed(now, ERROR_RATE_DECAY_US) < MAX_ERROR_RATE for e in ready
        )
        fresh = [e for e in ready if now - e.report_at <= MAX_REPORT_AGE_US]
        loads = [e.reported_load for e in fresh if e.reported_load is not None] or [0.0]
        self.mean_load = sum(loads) / len(loads)
        # Our part of the fleet is one of what is fit to use: not of what rests, is cold or is over-full.
        fit = [
            e for e in ready if e.failures == 0 and now >= max(e.full_backoff_until, e.cold_until)
        ] or ready
        known = ((e, now - e.report_at <= MAX_REPORT_AGE_US) for e in fit)
        self.fleet_total.cores = sum(e.cores / (max(1.0, e.pressure) if heard else 1.0) for e, heard in known)
        held = sum(e.report.active_queries or 0 for e in fresh if e.report) * len(ready) / max(1, len(fresh))
        if held > 0:  # utilisation does not tell: it stays low on engines whose disks are jammed
            share = min(1.0, len(self.in_flight) / held)
            gain = min(1.0, WORK_SHARE_GAIN * passed / WEIGHT_REFRESH_INTERVAL_US)
            self.work_share += gain * (max(share, 0.5 / self.gateways_per_engine) - self.work_share)
        for e in ready:
            self._update_weight(e)

    def _expected_latency_us(self, query: Query, engine: Engine | None = None) -> float:
        """As its class fares of late; on a given engine, as that stands against the others."""
        lines = (e.table_group_work.get(query.table_group, 0.0) for e in ([engine] if engine else self.ready))
        span = query.ideal_us + (
            min(lines, default=0.0) if query.table_group is not None else 0.0
        )  # behind ours
        return (
            span
            * (query.cls.recent_latency.value or 1.0)
            * (engine.latency_ratio / self.median_latency_ratio if engine else 1.0)
        )

    # --- The gate that every send passes: the rules.

    def _may_attempt(self, query: Query) -> bool:
        """Rules 1, 2 and 7, as far as no engine is concerned."""
        settings, cls = self.settings, query.cls.settings
        if query.done or self.now >= query.deadline_at:
            return False
        if not query.attempts:
            return True
        most, exposed = settings.max_attempts, first_possible_run(query)
        if (most is not None and len(query.attempts) >= most) or (
            query.open_attempts and not settings.concurrent_attempts_allowed
        ):
            return False
        if exposed and cls.effect is not api.Effect.REPEATABLE:
            if cls.effect is api.Effect.ONCE or self.now >= self._latest_start(query, exposed):
                return False
        return self._has_retry_budget()

    def _latest_start(self, query: Query, first_run: Attempt) -> int:
        """Until when a repeat of a keyed query may begin: from its first byte that may have arrived, engines
        drop repeats for the window, and the last copy has to be there by then."""
        return first_run.sent_at + query.cls.settings.dedup_window_us - DEDUP_WINDOW_MARGIN_US

    def _has_retry_budget(self) -> bool:
        """Rule 7, and our own limit on further attempts where none is stated."""
        s = self.settings
        while self.arrival_times and self.arrival_times[0] <= self.now - self.retry_window_us + s.tick_us:
            self.arrival_times.popleft()
        while self.retry_times and self.retry_times[0] < self.now - self.retry_window_us - s.tick_us:
            self.retry_times.popleft()
        moving = sum(attempt.being_replaced for _, attempt in self.in_flight.values())
        spent, taken = len(self.retry_times) + moving + 1, len(self.arrival_times)
        stated = s.retry_budget_ratio is None or spent <= s.retry_budget_free + s.retry_budget_ratio * taken
        return stated and spent <= DEFAULT_FREE_RETRIES + DEFAULT_RETRY_RATIO * taken

    def _may_use_engine(self, query: Query, engine: Engine) -> bool:
        """Rules 2, 3, 4 and 6 for this engine."""
        cls = query.cls.settings
        placed = cls.zones is None or engine.zone in cls.zones
        placed = placed and (cls.kinds is None or engine.kind in cls.kinds)
        if engine.state is not api.EngineState.READY or not placed:
            return False
        if cls.effect is api.Effect.BY_KEY and (exposed := first_possible_run(query)):
            before, group = exposed.engine, cls.dedup_scope
            same = engine.zone == before.zone and (group is api.DedupScope.ZONE or engine.cell == before.cell)
            if group is not api.DedupScope.ALL and not same:
                return False
        return self.now >= engine.cold_until or self._has_cold_budget(query, engine)

    def _has_cold_budget(self, query: Query, engine: Engine) -> bool:
        """Rule 4: our share of a safe part of what a cold engine bears, by usual work, bursts included."""
        s = self.settings
        if s.overload_multiple is None:
            return True
        while engine.cold_sends and engine.cold_sends[0][0] < self.now - s.overload_window_us - s.tick_us:
            engine.cold_sends.popleft()
        able, cls, known = self._warm_capacity_share(engine), query.cls, self.classes.values()
        full = (
            SAFE_OVERLOAD_SHARE
            * s.overload_multiple
            * engine.cores
            * s.overload_window_us
            / (engine.assigned_gateways or self.gateways_per_engine)
        )
        work = (
            cls.mean_cost.value * cls.median_work_ratio or full * able
        )  # a few bad plans are not what all are like
        # One that seems to have room is asked for more, though never so that all together ask for over N: a
        # report may be false or old. Nor by one just started, which does not know what it sent before.
        load = engine.reported_load if self.now - engine.report_at <= s.overload_window_us / 2 else None
        if (
            load is not None
            and load < COLD_SPARE_LOAD * able
            and self.now - self.started_at > s.overload_window_us
        ):
            full *= COLD_SPARE_FACTOR
        # Short classes have one part of the budget and long ones the other, each class by its share of work.
        short = 2 * min(c.typical_work_us for c in known)
        kind = [c for c in known if (c.typical_work_us <= short) is (cls.typical_work_us <= short)]
        slot = (
            SHORT_SLOT_WINDOWS if cls.typical_work_us <= short else LONG_SLOT_WINDOWS
        )  # who asks seldom needs longer to use a turn
        if len(kind) < len(known):
            full *= (
                SHORT_COLD_BUDGET_SHARE
                if slot == SHORT_SLOT_WINDOWS
                else LONG_COLD_BUDGET_SHARE * (1 + SHORT_SLOT_WINDOWS) / (1 + LONG_SLOT_WINDOWS)
            )
        full *= (
            cls.typical_work_us
            * cls.query_count
            / (sum(c.typical_work_us * c.query_count for c in kind) or 1)
            or 1
        )
        ours = [w for _, w, c in engine.cold_sends if c is cls]
        if work <= full * able:
            return sum(ours) + work <= full * able
        # Our part is less than one query: it would be shut out until warm, or all would come at once. They
        # take turns, each at its own time on each engine: one query of a class in a slot, as far apart as its
        # work asks of what the engine has been able to bear since its start.
        age = max(
            0.0, 1 - (engine.cold_until - self.now) / max(1, s.warmup_us)
        )  # 0 at its start, 1 when warm
        borne = s.warmup_us * (s.initial_capacity_share * age + (1 - s.initial_capacity_share) * age**3 / 3)
        turns = borne * full / (s.overload_window_us * work) + engine.turn_phase
        since = turns % 1.0 * s.overload_window_us * work / (full * able)
        usual = (query.cost_us or 0) <= MAX_COLD_COST_RATIO * cls.mean_cost.value
        return usual and since < slot * s.overload_window_us and not ours

    def _warm_capacity_share(self, engine: Engine) -> float:
        """The share of its capacity that a cold engine has for sure: how it warms is not told."""
        s, age = self.settings, 1 - (engine.cold_until - self.now) / max(1, self.settings.warmup_us)
        return s.initial_capacity_share + (1 - s.initial_capacity_share) * min(1.0, max(0.0, age)) ** 2

    def _is_next_for_key(self, query: Query) -> bool:
        """Rule 5: the query heads its key's line, and the key has rested."""
        line = query.key_queue
        return not line or (line[0] is query and bool(query.attempts or self.now >= line.paused_until))

    def _send_attempt(self, query: Query, engine: Engine) -> None:
        """The only place that sends; it asks the gate again, whoever calls."""
        if not (
            self._may_attempt(query) and self._may_use_engine(query, engine) and self._is_next_for_key(query)
        ):
            return
        if (terms := self._grant_and_priority(query, engine)) != query.grant_and_priority:
            query.grant_and_priority = terms
            self.actions.append(api.SetGrantAndPriority(query.id, *terms))
        keyed, exposed = query.cls.settings.effect is api.Effect.BY_KEY, first_possible_run(query)
        # The connection may come up late: past this the attempt does not begin any more.
        begin_by = self._latest_start(query, exposed) if keyed and exposed else None
        self.actions.append(api.SendAttempt(query.id, engine.address, 0, begin_by))
        usual = max(query.ideal_us, query.cls.typical_work_us / query.threads) * (
            query.cls.recent_latency.value or 1.0
        )
        attempt = Attempt(len(query.attempts), engine, self.now, usual, query.heavy)
        if query.attempts:
            self.retry_times.append(self.now)
        query.attempts.append(attempt)
        engine.table_group_work[query.table_group] += query.ideal_us
        query.open_attempts += 1
        self.in_flight[query.id, attempt.number] = query, attempt
        for sent, cores in ((engine, engine.cores), (self.fleet_total, 1.0)):
            sent.threads += query.threads
            sent.heavy_threads += query.threads if query.heavy else 0
            sent.recent_threads.value = (
                sent.recent_threads.decayed(self.now, RECENT_SENDS_DECAY_US) + query.threads / cores
            )
        self._update_weight(engine)
        if self.now < engine.cold_until:
            engine.cold_sends.append(
                (self.now, query.cls.mean_cost.value * query.cls.median_work_ratio, query.cls)
            )

    def _grant_and_priority(self, query: Query, engine: Engine) -> tuple[float, int]:
        """Memory where answers tell the need; short classes first, heavy and late ones last."""
        s, (grant, priority), told = (
            self.settings,
            query.grant_and_priority,
            query.cls.mean_memory_ratio.value,
        )
        if s.memory_grants_honored and told and query.memory_mb is not None:
            most = s.kind_memory_mb.get(engine.kind, math.inf) * s.max_memory_grant_share
            grant = round(min(most, query.memory_mb * told * MEMORY_GRANT_RATIO), 1)
        if s.priorities_honored:
            brief = query.cls.typical_work_us / query.threads < self.mean_ideal_us / 2
            priority = 0 if self.now > query.target_at else (3 if brief else 2) - query.heavy
        return grant, priority

    def _refuse_or_fail(self, query: Query) -> None:
        """Our final answer: a refusal where a retry does no harm for certain, else a failure."""
        cls, exposed = query.cls.settings, first_possible_run(query)
        harmless = exposed is None or cls.effect is api.Effect.REPEATABLE
        pause = self.settings.max_retry_after_us if self.settings.retry_after else None
        if exposed and cls.effect is api.Effect.BY_KEY and cls.dedup_scope is api.DedupScope.ALL:
            # The retry that it calls harmless comes after the pause, and must still be within the window.
            harmless = self.now + (pause or 0) < self._latest_start(query, exposed)
        self.actions.append(api.RefuseQuery(query.id, pause or None) if harmless else api.FailQuery(query.id))
        self._close_query(query)

    def _close_query(self, query: Query) -> None:
        """The query is over; nobody waits for what still runs."""
        query.done = True
        for attempt in query.attempts:
            self._cancel_attempt(query, attempt)
        if query.open_attempts:
            return
        self.queries.pop(query.id, None)
        if query.key_queue and query in query.key_queue:
            query.key_queue.remove(query)
            self._dispatch_next_for_key(query.key_queue)

    def _cancel_attempt(self, query: Query, attempt: Attempt) -> None:
        if self.settings.cancel_allowed and attempt.outcome is None and not attempt.cancelled:
            attempt.cancelled = True
            self.actions.append(api.CancelAttempt(query.id, attempt.number))

    def _dispatch_next_for_key(self, queue: KeyQueue) -> None:
        while queue and queue[0].done and not queue[0].open_attempts:
            queue.popleft()
        if queue and not queue[0].attempts and self.now >= queue.paused_until:
            self._dispatch_or_hold(queue[0])

    @_handle_event.register
    def _on_client_disconnected(self, event: api.ClientDisconnected) -> None:
        if query := self.queries.get(event.query):
            self._close_query(query)

    @_handle_event.register
    def _on_attempt_finished(self, event: api.AttemptFinished) -> None:
        if (found := self.in_flight.pop((event.query, event.attempt), None)) is None:
            return  # told late, twice or unasked
        query, attempt = found
        engine, attempt.outcome, query.open_attempts = attempt.engine, event.outcome, query.open_attempts - 1
        engine.table_group_work[query.table_group] -= query.ideal_us
        if engine.table_group_work[query.table_group] < 1:  # groups are what clients name: none is kept
            del engine.table_group_work[query.table_group]
        for sent in (engine, self.fleet_total):
            sent.threads -= query.threads
            sent.heavy_threads -= query.threads if attempt.heavy else 0
        apply_load_report(engine, self.now, event.report)
        self._learn_from_outcome(query, attempt, event)
        self._update_weight(engine)
        if event.outcome in MAY_STILL_RUN_OUTCOMES and query.key_queue is not None:
            query.key_queue.paused_until = self.now + self.settings.order_settle_us
        if event.final or query.done:
            self._close_query(query)
        elif not query.open_attempts:
            self._dispatch_or_hold(query)
        self._release_held(engine)

    def _learn_from_outcome(self, query: Query, attempt: Attempt, event: api.AttemptFinished) -> None:
        """What an outcome tells of the engine and of the class."""
        engine, outcome, cls = attempt.engine, event.outcome, query.cls
        self._apply_outcome(engine, outcome)
        if outcome in REACHED_OUTCOMES:
            engine.connected_until = self.now + self.settings.keepalive_us
        elif outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.RESET):
            engine.connected_until = self.now
        if outcome in (api.Outcome.OK, api.Outcome.ERROR):
            engine.last_alive_at = self.now
        elif outcome is api.Outcome.RESET:  # an answer is lost, or the engine died if nothing else came of it
            self._record_answer(engine, 1.0, 1.0)
            if engine.last_alive_at <= attempt.sent_at:
                engine.full_backoff_until = self.now + FULL_BACKOFF_US
        if outcome is not api.Outcome.OK:
            return
        engine.failures = engine.full_refusals = 0
        self._record_answer(engine, 0.0, 0.0)
        took = event.elapsed_us
        if query.table_group is not None:  # what it stood behind ours tells nothing of the engine
            took, engine.table_group_freed_at[query.table_group] = (
                min(took, self.now - engine.table_group_freed_at.get(query.table_group, 0)),
                self.now,
            )
        # Without an estimate the class's mean stands in: a long query would look like a slow engine. Where
        # even the mean was a guess it is kept to, lest what is expected of others be many times too long.
        unsaid = event.work_ms and query.cost_us is None and not query.is_guess
        told = event.work_ms * 1000 / query.threads if event.work_ms and unsaid else None
        self._record_latency(query, engine, took, took, told)
        if not attempt.progress:
            self._record_projected_latency(query, took)
        if event.work_ms and query.cost_us is None:
            cost = (
                event.work_ms * 1000 / (cls.mean_work_ratio.value or 1.0)
            )  # as others of its class estimate
            cls.mean_cost.add(cost, MEAN_WINDOW_QUERIES, cls.settings.deadline_us * query.threads)
        elif event.work_ms and query.cost_us:
            ratio = min(event.work_ms * 1000 / query.cost_us, MAX_REPORTED_RATIO)
            cls.mean_work_ratio.add(ratio, REPORTED_RATIO_WINDOW_ANSWERS)
            cls.median_work_ratio *= 1 + QUANTILE_STEP * (0.5 - (ratio < cls.median_work_ratio))
        if event.memory_mb and query.memory_mb:
            cls.mean_memory_ratio.add(
                min(event.memory_mb / query.memory_mb, MAX_REPORTED_RATIO), REPORTED_RATIO_WINDOW_ANSWERS
            )

    def _apply_outcome(self, engine: Engine, outcome: api.Outcome) -> None:
        if outcome is api.Outcome.CONNECT_FAILED:
            self._back_off_engine(engine)
        elif outcome is api.Outcome.FULL:
            rest = min(
                MAX_BACKOFF_US, FULL_BACKOFF_US << min(engine.full_refusals, 4)
            )  # it may hang, or all come at once
            engine.full_backoff_until, engine.full_refusals, engine.last_alive_at = (
                self.now + rest,
                engine.full_refusals + 1,
                self.now,
            )
            self._log_decision(engine, api.Reason.FULL_BACKOFF_STARTED)
        elif outcome is api.Outcome.ERROR:
            self._record_answer(engine, 1.0, 0.0)

    def _record_answer(self, engine: Engine, error: float, loss: float) -> None:
        engine.error_rate.value += ERROR_RATE_GAIN * (
            error - engine.error_rate.decayed(self.now, ERROR_RATE_DECAY_US)
        )
        self.loss_rate.add(loss, LOSS_WINDOW_ANSWERS)

    def _record_latency(
        self,
        query: Query,
        engine: Engine,
        elapsed_us: float,
        total_us: float,
        reported_us: float | None = None,
    ) -> None:
        """An elapsed time against the estimate; runaways count too, else a jam looks quick, but not
        what a dead engine held: that tells of no other engine, and had all else refused as late."""
        span, cls, recent = max(reported_us or query.ideal_us, 5_000.0), query.cls, query.cls.recent_latency
        ratio = min(max(elapsed_us, 1) / span, 5 * recent.value or math.inf)
        if elapsed_us == total_us:  # what was called off early must not look quick
            recent.add(ratio, BEST_LATENCY_WINDOW_ANSWERS)  # single lucky ones say nothing: estimates scatter
            cls.best_latency = (
                min(cls.best_latency * BEST_LATENCY_GROWTH, recent.value)
                if recent.count > BEST_LATENCY_WINDOW_ANSWERS
                else recent.value
            )
        long = query.ideal_us > self.mean_ideal_us  # short ones look well in a jam where priorities count
        parts = [
            (engine, LIMIT_STEP, 10.0),
            (self.fleet_total, FLEET_LIMIT_STEP, 2 * self.fleet_total.latency_ratio),
        ]
        for sent, step, most in parts[: 1 + long]:
            sent.latency_ratio += LATENCY_RATIO_GAIN * (
                min(ratio / cls.best_latency, most) - sent.latency_ratio
            )
            width = sent.limit_scale + (step if sent.latency_ratio < PRESSURE_LATENCY_RATIO else -step)
            sent.limit_scale = min(MAX_LIMIT_SCALE, max(MIN_LIMIT_SCALE, width))

    def _record_projected_latency(self, query: Query, total_us: float) -> None:
        """Each attempt counts once, by its first note or else its answer. Did those judged bad count more,
        the bar would rise with each until no runaway is found; answers tell of a jam only once it is over."""
        cls, ratio = query.cls, total_us / max(query.ideal_us, 5_000.0)
        cls.high_projected *= 1 + QUANTILE_STEP * (HIGH_QUANTILE - (ratio < cls.high_projected))
        cls.median_projected *= 1 + QUANTILE_STEP * (0.5 - (ratio < cls.median_projected))

    def _back_off_engine(self, engine: Engine) -> None:
        """The engine failed us: it rests, longer each time, and what it holds is tried elsewhere."""
        if self.now >= engine.backoff_until:
            engine.failures += 1
            engine.backoff_until = self.now + min(
                MAX_BACKOFF_US, INITIAL_BACKOFF_US << min(engine.failures - 1, 4)
            )
            self._log_decision(engine, api.Reason.BACKOFF_STARTED)
        for query, attempt in list(self.in_flight.values()):
            if attempt.engine is engine:
                self._move_attempt(query, attempt)

    def _move_attempt(self, query: Query, attempt: Attempt) -> None:
        """Give up one attempt for another; the result of the cancelled one brings the next."""
        s, safe = self.settings, query.cls.settings.effect is api.Effect.REPEATABLE and not query.done
        room = safe and len(query.attempts) < min(MAX_SENDS_PER_QUERY, s.max_attempts or MAX_SENDS_PER_QUERY)
        if s.cancel_allowed and room and not attempt.cancelled and self._has_retry_budget():
            self._cancel_attempt(query, attempt)
            attempt.being_replaced = True
            self._log_decision(attempt.engine, api.Reason.ATTEMPT_MOVED, query)

    @_handle_event.register
    def _on_attempt_status(self, event: api.AttemptStatusReceived) -> None:
        if (found := self.in_flight.get((event.query, event.attempt))) is None:
            return
        query, attempt = found
        if event.topic is api.StatusTopic.WAIT:  # told once; what then waits for long is better off elsewhere
            attempt.last_status_at = self.now
        if event.topic is not api.StatusTopic.PROGRESS or event.value == attempt.progress:
            return  # the same share to the last digit is a frozen one; a lower one is noise
        total, cls = (self.now - attempt.sent_at) / max(event.value, 0.02), query.cls
        if not attempt.progress:
            self._record_projected_latency(query, total)
        attempt.progress, attempt.last_status_at, attempt.engine.last_alive_at = (
            event.value,
            self.now,
            self.now,
        )
        finish = attempt.sent_at + total
        fresh = (
            self._expected_latency_us(query)
            * cls.median_projected
            / (cls.recent_latency.value or cls.median_projected)
        )
        bad = (
            total > RUNAWAY_RATIO * query.ideal_us * max(cls.high_projected, cls.median_projected)
            and finish > query.target_at
        )
        # Without an estimate it is most often long work: no fault of its engine, and as long on another.
        if bad and query.cost_us is not None and self.now + fresh < min(finish, query.deadline_at):
            self._record_latency(query, attempt.engine, self.now - attempt.sent_at, total)
            self._move_attempt(query, attempt)

    @_handle_event.register
    def _on_probe_finished(self, event: api.ProbeFinished) -> None:
        if (engine := self.engines.get(event.engine)) is None:
            return
        engine.probe_in_flight = False
        apply_load_report(engine, self.now, event.report)
        if event.report is not None and self.settings.peer_messages_allowed:
            seen = probe_reports.ProbeReport(
                probe_reports.engine_key(engine.address), 0, event.report, engine.cores
            )
            self.actions.append(api.SendPeerMessage(None, probe_reports.encode([seen])))
        if event.outcome in REACHED_OUTCOMES:
            engine.connected_until = self.now + self.settings.keepalive_us
        if event.outcome is api.Outcome.TIMEOUT and self._most_engines_healthy():
            self._back_off_engine(engine)
        if event.outcome is not api.Outcome.ERROR:  # what fails fast still serves some, while others are full
            self._apply_outcome(engine, event.outcome)
        self._update_weight(engine)
        self._release_held(engine)

    @_handle_event.register
    def _on_peer_message(self, event: api.PeerMessageReceived) -> None:
        """What another gateway's probe brought: as good as our own, though it tells nothing of our links."""
        try:
            told = probe_reports.decode(event.payload)
        except probe_reports.ProbeReportError:
            return
        for seen in told:
            if engine := self.engines_by_key.get(seen.key):
                at = self.now - seen.age_us
                engine.last_probe_at = max(engine.last_probe_at, at)
                if (
                    self.now < engine.cold_until or self.random.random() < PEER_REPORT_ACCEPTANCE
                ):  # turns keep a cold one
                    apply_load_report(engine, at, seen.load_report(engine.cores))
                    self._update_weight(
                        engine
                    )  # what is held waits for the next sweep: memos come by the hundred

    @_handle_event.register
    def _on_engine_list(self, event: api.EngineListReceived) -> None:
        if event.kind is api.ListKind.FAILED:  # the list in hand stays in force
            self.actions.append(api.SetTimer(LIST_RETRY_TIMER, self.now + LIST_RETRY_DELAY_US))
            return
        if event.kind is not api.ListKind.DELTA:
            for engine in self.engines.values():
                engine.state = api.EngineState.REMOVED
        for entry in event.entries:
            self._apply_entry(entry)
        known = [e for e in self.engines.values() if e.state is not api.EngineState.REMOVED or e.threads]
        self.engines, self.list_changed, self.cumulative_weights = {e.address: e for e in known}, True, None
        self.ready = [e for e in known if e.state is api.EngineState.READY]
        # Where gateways keep parts of the engines, ours of each is one among those that keep it.
        parts = [1 / e.assigned_gateways for e in self.ready if e.assigned_gateways]
        fleet = len(parts) / sum(parts) if parts else max(1, self.settings.fleet_size)
        if fleet != self.gateways_per_engine:
            self.work_share, self.gateways_per_engine = (
                self.work_share * self.gateways_per_engine / fleet,
                fleet,
            )
        self.engines_by_key = {
            key: self.engines[name] for key, name in probe_reports.engines_by_key(self.engines).items()
        }
        self._release_held()

    def _apply_entry(self, entry: api.EngineEntry) -> None:
        if (engine := self.engines.get(entry.engine)) is None:
            engine = self.engines[entry.engine] = Engine(
                address=entry.engine, busy_load=BUSY_QUERIES_PER_CORE
            )
            engine.last_probe_at = self.now - int(self.random.random() * TARGET_PROBE_INTERVAL_US)
        if engine.state is api.EngineState.READY and entry.state is not api.EngineState.READY:
            self._log_decision(engine, api.Reason.DRAINED)
        engine.kind, engine.zone, engine.cell, engine.state = entry.kind, entry.zone, entry.cell, entry.state
        engine.assigned_gateways, fleet = entry.assigned_gateways, max(1, self.settings.fleet_size)
        turn = (
            entry.assignment_rank / entry.assigned_gateways
            if entry.assigned_gateways
            else self.settings.local_number / fleet
        )
        engine.turn_phase = turn + probe_reports.engine_key(entry.engine) / 65_536
        engine.cores = max(1.0, self.settings.kind_cores.get(entry.kind, entry.weight))
        if entry.started_us is not None:
            cold_until = entry.started_us + self.settings.warmup_us
            if cold_until > max(engine.cold_until, self.now):  # a new start: old sins are forgotten
                engine.failures, engine.latency_ratio, engine.error_rate.value = 0, 1.0, 0.0
            engine.cold_until = max(engine.cold_until, cold_until)

    @_handle_event.register
    def _on_timer(self, event: api.TimerFired) -> None:
        if event.token != SWEEP_TIMER:
            self.actions += [api.WatchEngineList(True)] * (event.token == LIST_RETRY_TIMER)
            return
        self.actions.append(api.SetTimer(SWEEP_TIMER, self.now + SWEEP_INTERVAL_US))
        for query in list(self.queries.values()):
            if not query.done and self.now >= query.deadline_at - FINAL_ANSWER_MARGIN_US:
                self._refuse_or_fail(query)
        for key, line in list(self.key_queues.items()):
            self._dispatch_next_for_key(line)
            if not line and self.now >= line.paused_until:
                del self.key_queues[key]
        for query, attempt in list(self.in_flight.values()):
            engine, limit = attempt.engine, self._silence_limit_us(query, attempt)
            if attempt.cancelled or self.now - max(attempt.sent_at, attempt.last_status_at) <= limit:
                continue
            if self.now - max(attempt.sent_at, engine.last_alive_at) <= limit:  # it lives: an answer is lost
                attempt.last_status_at = self.now
                if query.table_group is None:  # a load that stands in line is silent for long
                    self._record_answer(engine, 1.0, 1.0)
                self._move_attempt(query, attempt)
            elif self._most_engines_healthy():
                self._back_off_engine(engine)
        if self.fleet_total.threads:
            self._refresh_weights()
        self._send_probes()
        self._release_held()

    def _most_engines_healthy(
        self,
    ) -> bool:  # half of the fleet silent: no engine's fault, and none is shut out
        return sum(e.failures > 0 for e in self.ready) * 2 <= len(self.ready)

    def _silence_limit_us(self, query: Query, attempt: Attempt) -> float:
        """How long an attempt may give no sign; less where answers get lost and another would be in time."""
        expected, pace = (
            attempt.expected_us,
            self.settings.progress_interval_us * SILENCE_PROGRESS_INTERVALS or math.inf,
        )
        limit = max(MIN_SILENCE_US, min(pace, SILENCE_RATIO * expected))
        if self.loss_rate.value > LOSSY_ANSWER_SHARE and self.now + expected < query.target_at:
            limit = min(limit, max(MIN_LOSSY_SILENCE_US, LOSSY_SILENCE_RATIO * expected))
        return limit

    def _send_probes(self) -> None:
        """The engines longest unheard, at a rate that our queries pay for; more often where a small gateway
        would else know little of a large fleet."""
        s, passed = self.settings, self.now - self.probe_budget_at
        if s.peer_messages_allowed and passed < MIN_PROBE_INTERVAL_US:
            return  # engines are many, our part in asking them is small
        self.probe_budget_at = self.now
        if not s.probes_allowed or s.report_source is api.ReportSource.NONE:
            return
        self._has_retry_budget()  # forgets what was taken too long ago to count
        rate = len(self.arrival_times) / min(
            self.retry_window_us, max(SWEEP_INTERVAL_US, self.now - self.started_at)
        )
        rate = min(
            MAX_PROBES_PER_QUERY * rate,
            max(PROBES_PER_QUERY * rate, len(self.ready) / TARGET_PROBE_INTERVAL_US),
        )
        saved = len(self.ready) / (
            8 if s.peer_messages_allowed else 1
        )  # a split must not make all ask all at once
        self.probe_budget = min(self.probe_budget + rate * passed, 3.0 + saved)
        linked = sum(self.now < e.connected_until for e in self.ready)
        heard = [
            (max(e.last_probe_at, e.report_at), e.address, e) for e in self.ready if not e.probe_in_flight
        ]
        for at, _, engine in sorted(heard):
            if self.probe_budget < 1:
                break
            if (
                s.peer_messages_allowed
            ):  # all hear what one asks: each asks its part, more as nothing is heard
                age = min(MAX_PROBE_AGE_INTERVALS, (self.now - at) / SHARED_PROBE_INTERVAL_US)
                near = self.now < engine.connected_until
                part = (
                    passed
                    / SHARED_PROBE_INTERVAL_US
                    / (engine.assigned_gateways or self.gateways_per_engine)
                    * age**2
                )
                if self.random.random() >= part * (len(self.ready) / max(1, linked) if near else 0.1):
                    continue
            if self.now - at >= MIN_PROBE_INTERVAL_US:
                self.probe_budget -= 1
                engine.last_probe_at, engine.probe_in_flight = self.now, True
                self.actions.append(api.SendProbe(engine.address))

    def _release_held(self, only_engine: Engine | None = None) -> None:
        """Held queries leave by deadline, and are refused once they cannot finish in time."""
        for lane in sorted((lane for lane in self.held_queues.values() if lane), key=lambda held: held[0][0]):
            while lane:
                query = heappop(lane)[2]
                if not query.done and self.now + self._expected_latency_us(query) > query.due_at:
                    self._refuse_or_fail(query)
                elif not query.done and not self._dispatch_or_hold(query, only_engine):  # held again
                    break
