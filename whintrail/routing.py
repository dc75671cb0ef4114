"""The routing policy of a gateway: which query goes to which engine, when, and what is refused.

The module is pure: settings, a seed and timed events go in, actions come out (types: interface.py, state:
state.py). A query is classified as light or heavy; heavy queries are limited while engines are under
pressure; the engine is a weighted random choice by reported load. See docs/design.md."""

import math
from collections import deque
from functools import singledispatchmethod
from heapq import heappop, heappush
from itertools import accumulate
from random import Random

from whintrail import interface as api
from whintrail.fleet import probe_reports
from whintrail.state import Attempt, ClassState, Engine, KeyQueue, OutstandingLoad, Query, RunningMean

HEAVY_COST_RATIO = 0.25  # of the class mean; queries under the mean time of all are too short to hold
MIN_CLASSIFIED_QUERIES = 20  # before that all queries of a class are light
MEAN_WINDOW_QUERIES = 500
# --- Pressure: when the limit on heavy threads applies.
PRESSURE_LATENCY_RATIO = 1.7  # to the best latency of the class: threads clearly share cores
RECENT_LATENCY_DECAY_US = 10_000_000  # expected latency falls back to the best
BEST_LATENCY_WINDOW_ANSWERS = 20
BEST_LATENCY_GROWTH = 1.0005  # per answer, so that the best does not become stale
BUSY_UTILISATION = 0.95
BUSY_QUERIES_PER_CORE = 1.5
BUSY_MEMORY_SHARE = 0.7  # of the memory, granted
FULL_BACKOFF_US = 500_000  # first backoff after a refusal for lack of capacity, which counts as pressure
MAX_LIGHT_THREADS_PER_CORE = 1.4  # threads that read leave cores idle; more would prolong an overload
WORK_SHARE_GAIN = 0.08  # how fast the work share follows reports
FLEET_LIMIT_STEP = 0.05  # change of the fleet's limit scale for each answer
LIMIT_STEP = 0.01  # the same for one engine
MIN_LIMIT_SCALE = 0.5
MAX_LIMIT_SCALE = 2.0
IDLE_LOAD = 0.2  # load that an idle engine counts as
LOAD_WEIGHT_EXPONENT = 3.0  # a higher one would follow stale reports
CROWDED_OPEN_SHARE = 0.7  # of `max_open`; above it heavy queries must finish ever sooner
RECENT_SENDS_DECAY_US = 600_000  # local sends count on top of the reports until reports include them
MAX_REPORT_AGE_US = 4_000_000  # an engine with an older report (frozen, stopped) counts as average
# --- Health.
INITIAL_BACKOFF_US = 1_000_000  # of a failed engine
MAX_BACKOFF_US = 8_000_000
MIN_SILENCE_US = 1_000_000  # shortest silence after which an attempt is given up
SILENCE_RATIO = 6.0  # the same, in proportion to the expected latency
SILENCE_PROGRESS_INTERVALS = 2.2  # the same, in intervals between progress messages
MIN_LOSSY_SILENCE_US = 200_000  # these two instead where answers get lost
LOSSY_SILENCE_RATIO = 3.0
LOSSY_ANSWER_SHARE = 0.02  # answers get lost where more than this share is missing
LOSS_WINDOW_ANSWERS = 200
MAX_ERROR_RATE = 0.5  # an engine above it gets no queries while another one is healthy
ERROR_RATE_GAIN = 0.2  # weight of one answer
ERROR_RATE_DECAY_US = 8_000_000
LATENCY_RATIO_GAIN = 0.15  # weight of one answer
LATENCY_RATIO_DECAY_US = 5_000_000
PROBES_PER_QUERY = 0.35  # usual number; probes are priced per query
MAX_PROBES_PER_QUERY = 1.0  # for small gateways in large fleets
SHARED_PROBE_INTERVAL_US = 600_000  # wanted for an engine where gateways exchange reports
MAX_PROBE_AGE_INTERVALS = 4.0  # of these, the oldest age that counts
PEER_REPORT_ACCEPTANCE = 0.25  # if all gateways used the same report, all would send or refuse at once
CONNECTED_WEIGHT = 50.0  # of an engine with an open connection
MIN_PROBE_INTERVAL_US = 400_000  # between an engine's reports
TARGET_PROBE_INTERVAL_US = 2_000_000
RUNAWAY_RATIO = 2.0  # of the high projected latency of the class
MAX_SENDS_PER_QUERY = 4  # of one query, where attempts are moved
HIGH_QUANTILE = 0.8  # of projected latency
QUANTILE_STEP = 0.1
INITIAL_HIGH_RATIO = 5.0
DEFAULT_RETRY_RATIO = 0.3  # of queries; holds beside a stated budget, against retry storms
DEFAULT_FREE_RETRIES = 10
DEFAULT_RETRY_WINDOW_US = 10_000_000
SHORT_COLD_BUDGET_SHARE = 0.3  # of a cold engine's budget, for short classes
LONG_COLD_BUDGET_SHARE = 1.0  # the sum is above 1 as not every turn finds a query
COLD_SPARE_LOAD = 0.5  # of its capacity: below it, a cold engine is asked for more
COLD_SPARE_FACTOR = 1.3  # by this factor
MAX_COLD_COST_RATIO = 2.0  # of the class mean: more expensive queries do not go to cold engines
SAFE_OVERLOAD_SHARE = 0.75  # of `overload_multiple`
SHORT_SLOT_WINDOWS = 0.33  # length of a turn at a cold engine, in overload windows, for short classes
LONG_SLOT_WINDOWS = 1.0
SWEEP_INTERVAL_US = 100_000
LIST_RETRY_DELAY_US = 1_000_000  # after a failed request for the engine list
WEIGHT_REFRESH_INTERVAL_US = 200_000
MAX_RANDOM_DRAWS = 3  # before all engines are examined
MAX_REPORTED_RATIO = 10.0  # of reported work or memory to the estimate
REPORTED_RATIO_WINDOW_ANSWERS = 20
MEMORY_GRANT_RATIO = 1.25  # of the memory that answers report
MAX_LOGGED_DECISIONS = 256  # for one event: a held query may examine every engine
FINAL_ANSWER_MARGIN_US = 120_000  # between the final answer and the client's deadline
DEDUP_WINDOW_MARGIN_US = 50_000  # between the first byte of a repeat and the end of the window

REACHED_OUTCOMES = (api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL)
NEVER_RAN_OUTCOMES = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_STARTED)
MAY_STILL_RUN_OUTCOMES = (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED, api.Outcome.UNKNOWN)
SWEEP_TIMER, LIST_RETRY_TIMER = "sweep", "watch"


def apply_load_report(engine: Engine, at: int, report: api.LoadReport | None) -> None:
    """Apply a report to the engine, unless it is older than the last one."""
    if report is not None and at >= engine.report_at:
        engine.report, engine.report_at = report, at
        used, active = report.utilisation, report.active_queries and report.active_queries / engine.cores
        if used is not None:
            engine.reported_load, engine.busy_load = max(0.0, used), BUSY_UTILISATION
        elif active is not None:
            engine.reported_load, engine.busy_load = max(0.0, active), BUSY_QUERIES_PER_CORE
        memory = max((report.memory_share or 0) / BUSY_MEMORY_SHARE, 2.0 * ((report.memory_queue or 0) >= 1))
        engine.pressure = max((used or 0) / BUSY_UTILISATION, (active or 0) / BUSY_QUERIES_PER_CORE, memory)


def first_possible_run(query: Query) -> Attempt | None:
    """The first attempt that may have run."""
    return next((a for a in query.attempts if a.outcome not in NEVER_RAN_OUTCOMES), None)


class RoutingPolicy:
    """Handles the events of one gateway and returns its actions."""

    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        self.settings, self.random, self.now = settings, Random(seed), now
        self.actions: list[api.Action] = []
        self.decision_log: list[api.EngineDecision] | None = None  # where a list, its reader empties it
        self.classes = {c.name: ClassState(c, high_projected=INITIAL_HIGH_RATIO) for c in settings.classes}
        self.engines: dict[str, Engine] = {}
        self.queries: dict[int, Query] = {}
        self.held_queues: dict[tuple[str, bool], list[tuple[float, int, Query]]] = {}
        self.key_queues: dict[str, KeyQueue] = {}
        self.arrival_times, self.retry_times = deque[int](), deque[int]()
        stated = settings.retry_budget_ratio is not None
        self.retry_window_us = settings.retry_budget_window_us if stated else DEFAULT_RETRY_WINDOW_US
        self.in_flight: dict[tuple[int, int], tuple[Query, Attempt]] = {}  # attempts without an outcome
        self.engines_by_key: dict[int, Engine] = {}  # by the key that gateways use in their messages
        self.ready: list[Engine] = []  # engines whose state is READY
        self.fleet_total = OutstandingLoad()  # all engines together
        self.max_open = settings.max_open or math.inf
        self.open_slot_share = 1.0  # how much of the query slots above CROWDED_OPEN_SHARE is still free
        self.any_healthy, self.loss_rate = False, RunningMean()  # the share of answers that are lost
        self.list_changed = False  # since the last refresh
        self.cumulative_weights: list[float] | None = None  # None: to be computed again
        self.started_at, self.refreshed_at, self.probe_budget_at, self.probe_budget = now, 0, now, 3.0
        self.median_latency_ratio, self.mean_load = 1.0, 0.0  # of the engines
        self.mean_ideal_us = 0.0  # over the queries of all classes
        self.max_memory_mb = max(settings.kind_memory_mb.values(), default=math.inf)
        self.gateways_per_engine: float = max(1, settings.fleet_size)  # mean over this gateway's engines
        self.work_share = 1.0 / self.gateways_per_engine  # this gateway's share of the fleet's work

    def start(self) -> list[api.Action]:
        """Return the actions with which an instance begins."""
        watch = [api.WatchEngineList(True)] * self.settings.list_on_request
        return [api.SetTimer(SWEEP_TIMER, self.now), *watch]

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handle an event at the time `now` and return the actions that follow from it."""
        self.now, self.actions = now, []
        self.open_slot_share = min(1.0, (1 - len(self.queries) / self.max_open) / (1 - CROWDED_OPEN_SHARE))
        type(self).__dict__["_handle_event"].dispatcher.dispatch(type(event))(self, event)
        return self.actions

    @singledispatchmethod
    def _handle_event(self, event: api.Event) -> None:
        """Ignore events of other types."""

    @_handle_event.register
    def _on_query_arrived(self, event: api.QueryArrived) -> None:
        if (cls := self.classes.get(event.class_name)) is None:  # its effects are unknown
            self.actions.append(api.FailQuery(event.query))
            return
        threads, cost = max(1, cls.settings.threads), event.cost_us
        cost = cost if cost is not None else cls.mean_cost.value or cls.settings.target_latency_us / 4
        ideal = cost * (cls.mean_work_ratio.value or 1.0) / threads  # alone on its threads
        target = self.now + cls.settings.target_latency_us + cls.settings.target_latency_ratio * ideal
        known = (event.cost_us, event.memory_mb, event.deadline_at_us)
        query = Query(event.query, cls, *known, threads, ideal, target, min(target, event.deadline_at_us))
        query.is_guess = event.cost_us is None and not cls.mean_cost.value
        query.heavy = self._classify(query)
        query.table_group = event.table_group if cls.settings.is_load else None
        self.queries[query.id] = query
        self.arrival_times.append(self.now)
        if cls.settings.ordered_by_key and event.ordering_key is not None:
            query.key_queue = self.key_queues.setdefault(event.ordering_key, KeyQueue())
            query.key_queue.append(query)
        self._dispatch_or_hold(query)

    def _classify(self, query: Query) -> bool:
        """Whether the query is heavy, by cost or memory against the class mean; then update the means."""
        cls, heavy = query.cls, False
        if cls.query_count >= MIN_CLASSIFIED_QUERIES and query.ideal_us > self.mean_ideal_us:
            # Without an estimate, a query is assumed to cost what answers reported for its class.
            cost = cls.mean_cost.value if query.cost_us is None else query.cost_us
            costly = cost > HEAVY_COST_RATIO * cls.mean_cost.value
            heavy = costly or (query.memory_mb or 0) > HEAVY_COST_RATIO * cls.mean_memory.value
        cls.query_count += 1
        # Impossibly high estimates are capped, so that they do not distort the means.
        cls.mean_cost.add(query.cost_us, MEAN_WINDOW_QUERIES, cls.settings.deadline_us * query.threads)
        cls.mean_memory.add(query.memory_mb, MEAN_WINDOW_QUERIES, self.max_memory_mb)
        states = self.classes.values()
        known = [(c.typical_work_us / max(1, c.settings.threads), c.query_count) for c in states]
        self.mean_ideal_us = sum(ideal * count for ideal, count in known) / sum(count for _, count in known)
        return heavy

    def _dispatch_or_hold(self, query: Query, only_engine: Engine | None = None) -> bool:
        """Send the query, answer it, or hold it; returns whether it was not held."""
        if query.done or (query.open_attempts and not self._may_attempt(query)):
            return True
        if self.now >= query.deadline_at - FINAL_ANSWER_MARGIN_US or not self._may_attempt(query):
            self._refuse_or_fail(query)  # an attempt this late would be useless too
            return True
        if not self._is_next_for_key(query):
            return False
        if (engine := self._choose_engine(query, only_engine)) is None:
            if self.open_slot_share < 1 and query.gated and not only_engine:
                self._refuse_or_fail(query)  # held, it would take a slot that other queries need
                return True
            held = self.held_queues.setdefault((query.cls.settings.name, query.heavy), [])
            heappush(held, (query.due_at, query.id, query))
            return False
        self._send_attempt(query, engine)
        return True

    def _choose_engine(self, query: Query, candidate: Engine | None) -> Engine | None:
        """Choose at random by weight, engines not yet tried first. The first draw fits most of the time."""
        tried = [a.engine for a in query.attempts]
        if candidate:
            return candidate if candidate not in tried and self._engine_accepts(query, candidate) else None
        self._refresh_weights()
        if self.ready and self.cumulative_weights is None:
            self.cumulative_weights = list(accumulate(e.weight for e in self.ready))
        group = query.table_group
        for _ in range(MAX_RANDOM_DRAWS if self.ready and group is None else 0):
            engine = self.random.choices(self.ready, cum_weights=self.cumulative_weights)[0]
            if engine not in tried and self._engine_accepts(query, engine):
                return engine
        usable = [e for e in self.ready if self._engine_accepts(query, e)]
        usable = [e for e in usable if e not in tried] or usable
        if group is not None:  # loads of a group run one by one: each joins this gateway's shortest queue
            shortest = min((e.table_group_work.get(group, 0.0) for e in usable), default=0.0)
            usable = [e for e in usable if e.table_group_work.get(group, 0.0) <= shortest + 1]
        return self.random.choices(usable, [e.weight for e in usable])[0] if usable else None

    def _engine_accepts(self, query: Query, engine: Engine) -> bool:
        """A failed engine returns one query at a time; a full or failing one gets none for a while."""
        if engine.failures:
            resting = self.now < engine.backoff_until or (self.any_healthy and engine.threads > 0)
        else:
            rate = engine.error_rate
            failing = self.any_healthy and rate.decayed(self.now, ERROR_RATE_DECAY_US) >= MAX_ERROR_RATE
            resting = self.now < engine.full_backoff_until or failing
        fits = not resting and self._may_use_engine(query, engine) and self._has_room(query, engine)
        if not fits and self.decision_log is not None:
            self._log_decision(engine, self._rejection_reason(query, engine, resting), query)
        return fits

    def _log_decision(self, engine: Engine, reason: api.Reason, query: Query | None = None) -> None:
        if self.decision_log is not None and len(self.decision_log) < MAX_LOGGED_DECISIONS:
            self.decision_log.append(api.EngineDecision(engine.address, reason, query.id if query else None))

    def _rejection_reason(self, query: Query, engine: Engine, is_resting: bool) -> api.Reason:
        """Which condition of `_engine_accepts` does not hold; computed only for the decision log."""
        if is_resting:
            is_full = self.now < engine.full_backoff_until
            full = api.Reason.RECENTLY_FULL if is_full else api.Reason.HIGH_ERROR_RATE
            return api.Reason.BACKING_OFF if engine.failures else full
        if self._may_use_engine(query, engine):
            return api.Reason.NO_CAPACITY
        cold = self.now < engine.cold_until and not self._has_cold_budget(query, engine)
        return api.Reason.COLD_BUDGET_SPENT if cold else api.Reason.PLACEMENT_FORBIDDEN

    def _has_room(self, query: Query, engine: Engine) -> bool:
        """Limit heavy threads under pressure; a higher limit keeps light ones from prolonging an overload."""
        free, group = self.open_slot_share, query.table_group
        spare = free if group is None else 1.0 - (free < 1 and group in engine.table_group_work)
        if query.gated and self._expected_latency_us(query, engine) > spare * (query.due_at - self.now):
            return False  # it could not finish there in time, or would take a slot for too long
        if not self._is_under_pressure(engine):
            return True
        threads, long = query.threads, query.ideal_us > self.mean_ideal_us
        scale = (1.0 if query.heavy else MAX_LIGHT_THREADS_PER_CORE) * self.work_share
        used = engine.heavy_threads if query.heavy else engine.threads
        if used + threads <= scale * engine.limit_scale * engine.cores:
            return True
        if used and (query.heavy or used - engine.heavy_threads + threads > 1):
            return False
        # A single query is accepted. Where the share of an engine is less than that, the single queries of
        # many gateways would overload it: the share of the whole fleet limits them, long light ones together
        # with the heavy ones, short ones apart.
        total = self.fleet_total
        local = total.heavy_threads if query.heavy else total.threads - (0 if long else total.heavy_threads)
        small = engine.cores * self.work_share < threads
        return not small or local + threads <= max(threads, scale * total.limit_scale * total.cores)

    def _is_under_pressure(self, engine: Engine) -> bool:
        """Latency well above the best, a busy report (with local sends since added) or a recent refusal."""
        if engine.latency_ratio > PRESSURE_LATENCY_RATIO or self.now < engine.full_backoff_until:
            return True
        fresh = self.now - engine.report_at <= MAX_REPORT_AGE_US
        sent = engine.recent_threads.decayed(self.now, RECENT_SENDS_DECAY_US)
        others = sent * (1 / self.work_share - 1)  # other gateways are assumed to send as much
        return (fresh and engine.pressure > 1) or self._estimated_load(engine) + others > engine.busy_load

    def _estimated_load(self, engine: Engine) -> float:
        load = engine.reported_load if self.now - engine.report_at <= MAX_REPORT_AGE_US else None
        sent = engine.recent_threads.decayed(self.now, RECENT_SENDS_DECAY_US)
        return (self.mean_load if load is None else load) + sent

    def _update_weight(self, engine: Engine) -> None:
        """Weight in the random choice: by load and local sends, then by connection and health."""
        capacity = self._warm_capacity_share(engine) if self.now < engine.cold_until else 1.0
        weight = capacity * engine.cores * (IDLE_LOAD + self._estimated_load(engine)) ** -LOAD_WEIGHT_EXPONENT
        weight *= CONNECTED_WEIGHT if self.now < engine.connected_until else 1.0  # connecting costs time
        weight *= max(0.02, 1 - engine.error_rate.decayed(self.now, ERROR_RATE_DECAY_US)) ** 4
        latency = min(1.0, self.median_latency_ratio / engine.latency_ratio) ** 2
        engine.weight = weight * latency * (0.1 if engine.failures else 1.0)
        self.cumulative_weights = None

    def _refresh_weights(self) -> None:
        """Recompute the values of the whole fleet and every weight, at intervals."""
        now, ready, passed = self.now, self.ready, self.now - self.refreshed_at
        if (passed < WEIGHT_REFRESH_INTERVAL_US and not self.list_changed) or not ready:
            return
        self.refreshed_at, self.list_changed = now, False
        decay = min(1.0, passed / LATENCY_RATIO_DECAY_US)
        for e in ready:  # an engine with few answers is assumed to be like the others
            e.latency_ratio += (self.fleet_total.latency_ratio - e.latency_ratio) * decay
        decay = min(1.0, passed / RECENT_LATENCY_DECAY_US)
        for cls in self.classes.values():  # a past overload is forgotten where a class has few answers
            cls.recent_latency.value += (cls.best_latency - cls.recent_latency.value) * decay
        self.median_latency_ratio = sorted(e.latency_ratio for e in ready)[len(ready) // 2]
        well = [e for e in ready if e.failures == 0]
        self.any_healthy = any(e.error_rate.decayed(now, ERROR_RATE_DECAY_US) < MAX_ERROR_RATE for e in well)
        fresh = [e for e in ready if now - e.report_at <= MAX_REPORT_AGE_US]
        loads = [e.reported_load for e in fresh if e.reported_load is not None] or [0.0]
        self.mean_load = sum(loads) / len(loads)
        # Engines that are backing off, cold or overloaded do not count in the capacity of the fleet.
        fit = [e for e in well if now >= max(e.full_backoff_until, e.cold_until)] or ready
        known = ((e, now - e.report_at <= MAX_REPORT_AGE_US) for e in fit)
        pressures = ((e.cores, max(1.0, e.pressure) if is_fresh else 1.0) for e, is_fresh in known)
        self.fleet_total.cores = sum(cores / pressure for cores, pressure in pressures)
        active = sum(e.report.active_queries or 0 for e in fresh if e.report)
        active = active * len(ready) / max(1, len(fresh))
        if active > 0:  # utilisation is no measure of it: it stays low where disks are the bottleneck
            share = min(1.0, len(self.in_flight) / active)
            gain = min(1.0, WORK_SHARE_GAIN * passed / WEIGHT_REFRESH_INTERVAL_US)
            self.work_share += gain * (max(share, 0.5 / self.gateways_per_engine) - self.work_share)
        for e in ready:
            self._update_weight(e)

    def _expected_latency_us(self, query: Query, engine: Engine | None = None) -> float:
        """Expected latency by the class's recent one; on a given engine, by its latency ratio as well."""
        group = query.table_group
        queued = (e.table_group_work.get(group, 0.0) for e in ([engine] if engine else self.ready))
        ideal = query.ideal_us + (min(queued, default=0.0) if group is not None else 0.0)
        ratio = engine.latency_ratio / self.median_latency_ratio if engine else 1.0
        return ideal * (query.cls.recent_latency.value or 1.0) * ratio

    # --- The rules that every send must pass.

    def _may_attempt(self, query: Query) -> bool:
        """Rules 1, 2 and 7, as far as they do not depend on the engine."""
        settings, cls = self.settings, query.cls.settings
        if query.done or self.now >= query.deadline_at:
            return False
        if not query.attempts:
            return True
        max_attempts, first_run = settings.max_attempts, first_possible_run(query)
        concurrent = query.open_attempts and not settings.concurrent_attempts_allowed
        if (max_attempts is not None and len(query.attempts) >= max_attempts) or concurrent:
            return False
        if first_run and cls.effect is not api.Effect.REPEATABLE:
            if cls.effect is api.Effect.ONCE or self.now >= self._latest_start(query, first_run):
                return False
        return self._has_retry_budget()

    def _latest_start(self, query: Query, first_run: Attempt) -> int:
        """Latest start of a repeat of a keyed query: engines drop repeats for the window, from the first byte
        that may have arrived, and the last repeat must arrive within it."""
        return first_run.sent_at + query.cls.settings.dedup_window_us - DEDUP_WINDOW_MARGIN_US

    def _has_retry_budget(self) -> bool:
        """Rule 7, and the default retry budget, which holds even if none is stated."""
        s, start = self.settings, self.now - self.retry_window_us
        while self.arrival_times and self.arrival_times[0] <= start + s.tick_us:
            self.arrival_times.popleft()
        while self.retry_times and self.retry_times[0] < start - s.tick_us:
            self.retry_times.popleft()
        moving = sum(attempt.being_replaced for _, attempt in self.in_flight.values())
        spent, arrived = len(self.retry_times) + moving + 1, len(self.arrival_times)
        stated = s.retry_budget_ratio is None or spent <= s.retry_budget_free + s.retry_budget_ratio * arrived
        return stated and spent <= DEFAULT_FREE_RETRIES + DEFAULT_RETRY_RATIO * arrived

    def _may_use_engine(self, query: Query, engine: Engine) -> bool:
        """Rules 2, 3, 4 and 6 for this engine."""
        cls = query.cls.settings
        placed = cls.zones is None or engine.zone in cls.zones
        placed = placed and (cls.kinds is None or engine.kind in cls.kinds)
        if engine.state is not api.EngineState.READY or not placed:
            return False
        if cls.effect is api.Effect.BY_KEY and (first_run := first_possible_run(query)):
            before, scope = first_run.engine, cls.dedup_scope
            same = engine.zone == before.zone and (scope is api.DedupScope.ZONE or engine.cell == before.cell)
            if scope is not api.DedupScope.ALL and not same:
                return False
        return self.now >= engine.cold_until or self._has_cold_budget(query, engine)

    def _has_cold_budget(self, query: Query, engine: Engine) -> bool:
        """Rule 4: this gateway's safe share of what a cold engine bears, by typical work, bursts included."""
        s = self.settings
        if s.overload_multiple is None:
            return True
        window = s.overload_window_us
        while engine.cold_sends and engine.cold_sends[0][0] < self.now - window - s.tick_us:
            engine.cold_sends.popleft()
        capacity, cls, known = self._warm_capacity_share(engine), query.cls, self.classes.values()
        gateways = engine.assigned_gateways or self.gateways_per_engine
        full = SAFE_OVERLOAD_SHARE * s.overload_multiple * engine.cores * window / gateways
        work = cls.mean_cost.value * cls.median_work_ratio or full * capacity  # a few bad plans do not count
        # An engine with spare capacity is asked for more, but never so much that all gateways together exceed
        # the multiple: the report may be false or old. A gateway just started does not know what it sent
        # before, and does not ask for more.
        load = engine.reported_load if self.now - engine.report_at <= window / 2 else None
        if load is not None and load < COLD_SPARE_LOAD * capacity and self.now - self.started_at > window:
            full *= COLD_SPARE_FACTOR
        # Short and long classes have separate shares of the budget, divided among classes by their work.
        short = 2 * min(c.typical_work_us for c in known)
        kind = [c for c in known if (c.typical_work_us <= short) is (cls.typical_work_us <= short)]
        # Classes with rare queries need a longer slot to make use of a turn.
        slot = SHORT_SLOT_WINDOWS if cls.typical_work_us <= short else LONG_SLOT_WINDOWS
        if len(kind) < len(known):
            long_share = LONG_COLD_BUDGET_SHARE * (1 + SHORT_SLOT_WINDOWS) / (1 + LONG_SLOT_WINDOWS)
            full *= SHORT_COLD_BUDGET_SHARE if slot == SHORT_SLOT_WINDOWS else long_share
        total = sum(c.typical_work_us * c.query_count for c in kind) or 1
        full *= cls.typical_work_us * cls.query_count / total or 1
        local = [w for _, w, c in engine.cold_sends if c is cls]
        if work <= full * capacity:
            return sum(local) + work <= full * capacity
        # The budget is less than one query: without turns the engine would get none until it is warm, or one
        # from every gateway at once. Turns differ by engine: one query of a class in a slot, as far apart as
        # its work requires, by what the engine has been able to do since its start.
        age = max(0.0, 1 - (engine.cold_until - self.now) / max(1, s.warmup_us))  # 0 at start, 1 when warm
        done = s.warmup_us * (s.initial_capacity_share * age + (1 - s.initial_capacity_share) * age**3 / 3)
        turns = done * full / (window * work) + engine.turn_phase
        since = turns % 1.0 * window * work / (full * capacity)
        usual = (query.cost_us or 0) <= MAX_COLD_COST_RATIO * cls.mean_cost.value
        return usual and since < slot * window and not local

    def _warm_capacity_share(self, engine: Engine) -> float:
        """The certain share of a cold engine's capacity: the course of its warming is not known."""
        s, age = self.settings, 1 - (engine.cold_until - self.now) / max(1, self.settings.warmup_us)
        return s.initial_capacity_share + (1 - s.initial_capacity_share) * min(1.0, max(0.0, age)) ** 2

    def _is_next_for_key(self, query: Query) -> bool:
        """Rule 5: the query is the first of its key's queue, and the key is not paused."""
        queue = query.key_queue
        return not queue or (queue[0] is query and bool(query.attempts or self.now >= queue.paused_until))

    def _send_attempt(self, query: Query, engine: Engine) -> None:
        """Send the query; the only place that does, and it checks the rules for every caller."""
        allowed = self._may_attempt(query) and self._may_use_engine(query, engine)
        if not (allowed and self._is_next_for_key(query)):
            return
        if (terms := self._grant_and_priority(query, engine)) != query.grant_and_priority:
            query.grant_and_priority = terms
            self.actions.append(api.SetGrantAndPriority(query.id, *terms))
        keyed, first_run = query.cls.settings.effect is api.Effect.BY_KEY, first_possible_run(query)
        # The connection may take long to open: after this time the attempt does not start any more.
        start_by = self._latest_start(query, first_run) if keyed and first_run else None
        self.actions.append(api.SendAttempt(query.id, engine.address, 0, start_by))
        ideal = max(query.ideal_us, query.cls.typical_work_us / query.threads)
        expected = ideal * (query.cls.recent_latency.value or 1.0)
        attempt = Attempt(len(query.attempts), engine, self.now, expected, query.heavy)
        if query.attempts:
            self.retry_times.append(self.now)
        query.attempts.append(attempt)
        engine.table_group_work[query.table_group] += query.ideal_us
        query.open_attempts += 1
        self.in_flight[query.id, attempt.number] = query, attempt
        for load, cores in ((engine, engine.cores), (self.fleet_total, 1.0)):
            load.threads += query.threads
            load.heavy_threads += query.threads if query.heavy else 0
            recent = load.recent_threads
            recent.value = recent.decayed(self.now, RECENT_SENDS_DECAY_US) + query.threads / cores
        self._update_weight(engine)
        if self.now < engine.cold_until:
            work = query.cls.mean_cost.value * query.cls.median_work_ratio
            engine.cold_sends.append((self.now, work, query.cls))

    def _grant_and_priority(self, query: Query, engine: Engine) -> tuple[float, int]:
        """Memory by what answers report; short classes first, heavy and late queries last."""
        s, (grant, priority) = self.settings, query.grant_and_priority
        ratio = query.cls.mean_memory_ratio.value
        if s.memory_grants_honored and ratio and query.memory_mb is not None:
            max_grant = s.kind_memory_mb.get(engine.kind, math.inf) * s.max_memory_grant_share
            grant = round(min(max_grant, query.memory_mb * ratio * MEMORY_GRANT_RATIO), 1)
        if s.priorities_honored:
            short = query.cls.typical_work_us / query.threads < self.mean_ideal_us / 2
            priority = 0 if self.now > query.target_at else (3 if short else 2) - query.heavy
        return grant, priority

    def _refuse_or_fail(self, query: Query) -> None:
        """Give the final answer: a refusal if a retry is certainly harmless, else a failure."""
        cls, first_run = query.cls.settings, first_possible_run(query)
        harmless = first_run is None or cls.effect is api.Effect.REPEATABLE
        pause = self.settings.max_retry_after_us if self.settings.retry_after else None
        if first_run and cls.effect is api.Effect.BY_KEY and cls.dedup_scope is api.DedupScope.ALL:
            # The client retries after the pause, and that must still be within the window.
            harmless = self.now + (pause or 0) < self._latest_start(query, first_run)
        self.actions.append(api.RefuseQuery(query.id, pause or None) if harmless else api.FailQuery(query.id))
        self._close_query(query)

    def _close_query(self, query: Query) -> None:
        """The query is answered: cancel its attempts, and forget it once none is open."""
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
            return  # late, repeated or unknown
        query, attempt = found
        engine, attempt.outcome, query.open_attempts = attempt.engine, event.outcome, query.open_attempts - 1
        engine.table_group_work[query.table_group] -= query.ideal_us
        if engine.table_group_work[query.table_group] < 1:  # clients name groups: unused ones would pile up
            del engine.table_group_work[query.table_group]
        for load in (engine, self.fleet_total):
            load.threads -= query.threads
            load.heavy_threads -= query.threads if attempt.heavy else 0
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
        """Update the health of the engine and the statistics of the class."""
        engine, outcome, cls = attempt.engine, event.outcome, query.cls
        self._apply_outcome(engine, outcome)
        if outcome in REACHED_OUTCOMES:
            engine.connected_until = self.now + self.settings.keepalive_us
        elif outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.RESET):
            engine.connected_until = self.now
        if outcome in (api.Outcome.OK, api.Outcome.ERROR):
            engine.last_alive_at = self.now
        elif outcome is api.Outcome.RESET:  # the answer is lost, or the engine died if it gave no other sign
            self._record_answer(engine, 1.0, 1.0)
            if engine.last_alive_at <= attempt.sent_at:
                engine.full_backoff_until = self.now + FULL_BACKOFF_US
        if outcome is not api.Outcome.OK:
            return
        engine.failures = engine.full_refusals = 0
        self._record_answer(engine, 0.0, 0.0)
        took = event.elapsed_us
        if (group := query.table_group) is not None:  # time queued behind local loads is not the engine's
            took = min(took, self.now - engine.table_group_freed_at.get(group, 0))
            engine.table_group_freed_at[group] = self.now
        # Without an estimate, the reported work replaces the class mean: else a long query would make the
        # engine look slow. If the mean was a guess it is kept, or expected latency would be far too long.
        no_estimate = event.work_ms and query.cost_us is None and not query.is_guess
        reported = event.work_ms * 1000 / query.threads if event.work_ms and no_estimate else None
        self._record_latency(query, engine, took, took, reported)
        if not attempt.progress:
            self._record_projected_latency(query, took)
        if event.work_ms and query.cost_us is None:
            cost = event.work_ms * 1000 / (cls.mean_work_ratio.value or 1.0)  # on the scale of estimates
            cls.mean_cost.add(cost, MEAN_WINDOW_QUERIES, cls.settings.deadline_us * query.threads)
        elif event.work_ms and query.cost_us:
            ratio = min(event.work_ms * 1000 / query.cost_us, MAX_REPORTED_RATIO)
            cls.mean_work_ratio.add(ratio, REPORTED_RATIO_WINDOW_ANSWERS)
            cls.median_work_ratio *= 1 + QUANTILE_STEP * (0.5 - (ratio < cls.median_work_ratio))
        if event.memory_mb and query.memory_mb:
            ratio = min(event.memory_mb / query.memory_mb, MAX_REPORTED_RATIO)
            cls.mean_memory_ratio.add(ratio, REPORTED_RATIO_WINDOW_ANSWERS)

    def _apply_outcome(self, engine: Engine, outcome: api.Outcome) -> None:
        if outcome is api.Outcome.CONNECT_FAILED:
            self._back_off_engine(engine)
        elif outcome is api.Outcome.FULL:  # longer each time: it may hang, or all gateways return at once
            backoff = min(MAX_BACKOFF_US, FULL_BACKOFF_US << min(engine.full_refusals, 4))
            engine.full_backoff_until, engine.last_alive_at = self.now + backoff, self.now
            engine.full_refusals += 1
            self._log_decision(engine, api.Reason.FULL_BACKOFF_STARTED)
        elif outcome is api.Outcome.ERROR:
            self._record_answer(engine, 1.0, 0.0)

    def _record_answer(self, engine: Engine, error: float, loss: float) -> None:
        rate = engine.error_rate
        rate.value += ERROR_RATE_GAIN * (error - rate.decayed(self.now, ERROR_RATE_DECAY_US))
        self.loss_rate.add(loss, LOSS_WINDOW_ANSWERS)

    def _record_latency(
        self, query: Query, engine: Engine, elapsed_us: float, total_us: float, work_us: float | None = None
    ) -> None:
        """Record an elapsed time against the estimate. Runaways count too, or an overload would look fast;
        what a dead engine held does not: expected latency would rise everywhere, and queries be refused."""
        ideal, cls, recent = max(work_us or query.ideal_us, 5_000.0), query.cls, query.cls.recent_latency
        ratio = min(max(elapsed_us, 1) / ideal, 5 * recent.value or math.inf)
        if elapsed_us == total_us:  # an attempt cancelled early must not look fast
            recent.add(ratio, BEST_LATENCY_WINDOW_ANSWERS)
            # The minimum of a mean: estimates scatter, so a single low ratio has no meaning.
            best = min(cls.best_latency * BEST_LATENCY_GROWTH, recent.value)
            enough = recent.count > BEST_LATENCY_WINDOW_ANSWERS
            cls.best_latency = best if enough else recent.value
        long = query.ideal_us > self.mean_ideal_us  # short ones look fast in an overload if priorities count
        fleet = self.fleet_total
        updates = [(engine, LIMIT_STEP, 10.0), (fleet, FLEET_LIMIT_STEP, 2 * fleet.latency_ratio)]
        for load, step, max_ratio in updates[: 1 + long]:
            change = min(ratio / cls.best_latency, max_ratio) - load.latency_ratio
            load.latency_ratio += LATENCY_RATIO_GAIN * change
            scale = load.limit_scale + (step if load.latency_ratio < PRESSURE_LATENCY_RATIO else -step)
            load.limit_scale = min(MAX_LIMIT_SCALE, max(MIN_LIMIT_SCALE, scale))

    def _record_projected_latency(self, query: Query, total_us: float) -> None:
        """Record an attempt once, by its first progress or else its answer. If bad ones counted more, each
        would raise the runaway threshold until none is found; answers show an overload only after it."""
        cls, ratio = query.cls, total_us / max(query.ideal_us, 5_000.0)
        cls.high_projected *= 1 + QUANTILE_STEP * (HIGH_QUANTILE - (ratio < cls.high_projected))
        cls.median_projected *= 1 + QUANTILE_STEP * (0.5 - (ratio < cls.median_projected))

    def _back_off_engine(self, engine: Engine) -> None:
        """The engine failed: it backs off, longer each time, and its attempts are retried elsewhere."""
        if self.now >= engine.backoff_until:
            engine.failures += 1
            backoff = min(MAX_BACKOFF_US, INITIAL_BACKOFF_US << min(engine.failures - 1, 4))
            engine.backoff_until = self.now + backoff
            self._log_decision(engine, api.Reason.BACKOFF_STARTED)
        for query, attempt in list(self.in_flight.values()):
            if attempt.engine is engine:
                self._move_attempt(query, attempt)

    def _move_attempt(self, query: Query, attempt: Attempt) -> None:
        """Cancel an attempt in favor of another, which is sent when the cancelled one has finished."""
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
        if event.topic is api.StatusTopic.WAIT:  # sent once; an attempt that then waits long should be moved
            attempt.last_status_at = self.now
        if event.topic is not api.StatusTopic.PROGRESS or event.value == attempt.progress:
            return  # exactly the same share is a frozen one; a lower share is noise
        total, cls = (self.now - attempt.sent_at) / max(event.value, 0.02), query.cls
        if not attempt.progress:
            self._record_projected_latency(query, total)
        attempt.progress = event.value
        attempt.last_status_at = attempt.engine.last_alive_at = self.now
        finish, median = attempt.sent_at + total, cls.median_projected
        elsewhere = self._expected_latency_us(query) * median / (cls.recent_latency.value or median)
        high = RUNAWAY_RATIO * query.ideal_us * max(cls.high_projected, median)
        bad = total > high and finish > query.target_at
        # Without an estimate it is most likely long work: not the engine's fault, and as long on another one.
        if bad and query.cost_us is not None and self.now + elsewhere < min(finish, query.deadline_at):
            self._record_latency(query, attempt.engine, self.now - attempt.sent_at, total)
            self._move_attempt(query, attempt)

    @_handle_event.register
    def _on_probe_finished(self, event: api.ProbeFinished) -> None:
        if (engine := self.engines.get(event.engine)) is None:
            return
        engine.probe_in_flight = False
        apply_load_report(engine, self.now, event.report)
        if event.report is not None and self.settings.peer_messages_allowed:
            key = probe_reports.engine_key(engine.address)
            report = probe_reports.ProbeReport(key, 0, event.report, engine.cores)
            self.actions.append(api.SendPeerMessage(None, probe_reports.encode([report])))
        if event.outcome in REACHED_OUTCOMES:
            engine.connected_until = self.now + self.settings.keepalive_us
        if event.outcome is api.Outcome.TIMEOUT and self._most_engines_healthy():
            self._back_off_engine(engine)
        if event.outcome is not api.Outcome.ERROR:  # fails fast: it still serves some while others are full
            self._apply_outcome(engine, event.outcome)
        self._update_weight(engine)
        self._release_held(engine)

    @_handle_event.register
    def _on_peer_message(self, event: api.PeerMessageReceived) -> None:
        """Use the probe reports of another gateway like local ones, except for the state of connections."""
        try:
            reports = probe_reports.decode(event.payload)
        except probe_reports.ProbeReportError:
            return
        for report in reports:
            if engine := self.engines_by_key.get(report.key):
                at = self.now - report.age_us
                engine.last_probe_at = max(engine.last_probe_at, at)
                # Gateways take turns at a cold engine, so there all may use the same report.
                if self.now < engine.cold_until or self.random.random() < PEER_REPORT_ACCEPTANCE:
                    apply_load_report(engine, at, report.load_report(engine.cores))
                    self._update_weight(engine)  # held queries wait for the sweep: hundreds of messages come

    @_handle_event.register
    def _on_engine_list(self, event: api.EngineListReceived) -> None:
        if event.kind is api.ListKind.FAILED:  # the last list stays in force
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
        # Where gateways have subsets of the engines, an engine is shared by the gateways that have it.
        shares = [1 / e.assigned_gateways for e in self.ready if e.assigned_gateways]
        gateways = len(shares) / sum(shares) if shares else max(1, self.settings.fleet_size)
        if gateways != self.gateways_per_engine:
            self.work_share = self.work_share * self.gateways_per_engine / gateways
            self.gateways_per_engine = gateways
        by_key = probe_reports.engines_by_key(self.engines)
        self.engines_by_key = {key: self.engines[address] for key, address in by_key.items()}
        self._release_held()

    def _apply_entry(self, entry: api.EngineEntry) -> None:
        if (engine := self.engines.get(entry.engine)) is None:
            engine = Engine(address=entry.engine, busy_load=BUSY_QUERIES_PER_CORE)
            self.engines[entry.engine] = engine
            engine.last_probe_at = self.now - int(self.random.random() * TARGET_PROBE_INTERVAL_US)
        if engine.state is api.EngineState.READY and entry.state is not api.EngineState.READY:
            self._log_decision(engine, api.Reason.DRAINED)
        engine.kind, engine.zone, engine.cell, engine.state = entry.kind, entry.zone, entry.cell, entry.state
        engine.assigned_gateways = gateways = entry.assigned_gateways
        fleet_turn = self.settings.local_number / max(1, self.settings.fleet_size)
        turn = entry.assignment_rank / gateways if gateways else fleet_turn
        engine.turn_phase = turn + probe_reports.engine_key(entry.engine) / 65_536
        engine.cores = max(1.0, self.settings.kind_cores.get(entry.kind, entry.weight))
        if entry.started_us is not None:
            cold_until = entry.started_us + self.settings.warmup_us
            if cold_until > max(engine.cold_until, self.now):  # restarted: earlier failures do not count
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
        for key, queue in list(self.key_queues.items()):
            self._dispatch_next_for_key(queue)
            if not queue and self.now >= queue.paused_until:
                del self.key_queues[key]
        for query, attempt in list(self.in_flight.values()):
            engine, limit = attempt.engine, self._silence_limit_us(query, attempt)
            if attempt.cancelled or self.now - max(attempt.sent_at, attempt.last_status_at) <= limit:
                continue
            if self.now - max(attempt.sent_at, engine.last_alive_at) <= limit:  # only the answer is lost
                attempt.last_status_at = self.now
                if query.table_group is None:  # a queued load is silent for a long time
                    self._record_answer(engine, 1.0, 1.0)
                self._move_attempt(query, attempt)
            elif self._most_engines_healthy():
                self._back_off_engine(engine)
        if self.fleet_total.threads:
            self._refresh_weights()
        self._send_probes()
        self._release_held()

    def _most_engines_healthy(self) -> bool:
        """Whether at least half of the engines are healthy; if not, silence is no engine's own fault."""
        return sum(e.failures > 0 for e in self.ready) * 2 <= len(self.ready)

    def _silence_limit_us(self, query: Query, attempt: Attempt) -> float:
        """How long an attempt may be silent; shorter where answers get lost and a retry would be in time."""
        interval_us = self.settings.progress_interval_us
        expected, pace = attempt.expected_us, interval_us * SILENCE_PROGRESS_INTERVALS or math.inf
        limit = max(MIN_SILENCE_US, min(pace, SILENCE_RATIO * expected))
        if self.loss_rate.value > LOSSY_ANSWER_SHARE and self.now + expected < query.target_at:
            limit = min(limit, max(MIN_LOSSY_SILENCE_US, LOSSY_SILENCE_RATIO * expected))
        return limit

    def _send_probes(self) -> None:
        """Probe the engines with the oldest reports, at a rate in proportion to local queries; more often
        where a small gateway would otherwise know little about a large fleet."""
        s, passed = self.settings, self.now - self.probe_budget_at
        if s.peer_messages_allowed and passed < MIN_PROBE_INTERVAL_US:
            return  # this gateway's share of the probes is small
        self.probe_budget_at = self.now
        if not s.probes_allowed or s.report_source is api.ReportSource.NONE:
            return
        self._has_retry_budget()  # drops arrival times that no longer count
        running_us = max(SWEEP_INTERVAL_US, self.now - self.started_at)
        rate = len(self.arrival_times) / min(self.retry_window_us, running_us)
        wanted = max(PROBES_PER_QUERY * rate, len(self.ready) / TARGET_PROBE_INTERVAL_US)
        rate = min(MAX_PROBES_PER_QUERY * rate, wanted)
        # Less is saved up where gateways share reports: after a network split not all may probe at once.
        saved = len(self.ready) / (8 if s.peer_messages_allowed else 1)
        self.probe_budget = min(self.probe_budget + rate * passed, 3.0 + saved)
        connected = sum(self.now < e.connected_until for e in self.ready)
        idle = [e for e in self.ready if not e.probe_in_flight]
        for at, _, engine in sorted((max(e.last_probe_at, e.report_at), e.address, e) for e in idle):
            if self.probe_budget < 1:
                break
            if s.peer_messages_allowed:  # all receive the report: each probes its share, more as reports age
                age = min(MAX_PROBE_AGE_INTERVALS, (self.now - at) / SHARED_PROBE_INTERVAL_US)
                near = self.now < engine.connected_until
                gateways = engine.assigned_gateways or self.gateways_per_engine
                share = passed / SHARED_PROBE_INTERVAL_US / gateways * age**2
                if self.random.random() >= share * (len(self.ready) / max(1, connected) if near else 0.1):
                    continue
            if self.now - at >= MIN_PROBE_INTERVAL_US:
                self.probe_budget -= 1
                engine.last_probe_at, engine.probe_in_flight = self.now, True
                self.actions.append(api.SendProbe(engine.address))

    def _release_held(self, only_engine: Engine | None = None) -> None:
        """Send held queries in order of their due time, and refuse those that cannot finish in time."""
        queues = (queue for queue in self.held_queues.values() if queue)
        for queue in sorted(queues, key=lambda held: held[0][0]):
            while queue:
                query = heappop(queue)[2]
                if not query.done and self.now + self._expected_latency_us(query) > query.due_at:
                    self._refuse_or_fail(query)
                elif not query.done and not self._dispatch_or_hold(query, only_engine):  # held again
                    break
