"""What the decision module remembers of engines, classes, queries and attempts.

Plain records: they start empty and decide nothing. Every figure, and every change of one, is brain.py's.
"""

import math
from collections import defaultdict, deque
from dataclasses import dataclass, field

from whintrail import interface as api

NEVER = -(10**12)  # a time before any that the clock tells: it has not happened yet


@dataclass(slots=True)
class RunningMean:
    """A running mean; 0 while nothing is known."""

    value: float = 0.0
    count: int = 0

    def add(self, value: float | None, window: int, cap: float = math.inf) -> None:
        """As if over the last so many values, none above `most`; one that is absent tells nothing."""
        if value is None:
            return
        self.count += 1
        self.value += (min(value, cap) - self.value) / min(self.count, window)


@dataclass(slots=True)
class DecayingValue:
    """A value that fades with time."""

    value: float = 0.0
    updated_at: int = NEVER

    def decayed(self, now: int, decay_us: float) -> float:
        if self.value and now != self.updated_at:
            self.value *= math.exp((self.updated_at - now) / decay_us)
        self.updated_at = now
        return self.value


@dataclass(slots=True, eq=False)  # each is itself: two that hold as much are not the same engine
class OutstandingLoad:
    """Threads that one engine holds of ours, or all engines together."""

    cores: float = 1.0
    threads: int = 0
    heavy_threads: int = 0
    recent_threads: DecayingValue = field(default_factory=DecayingValue)  # threads sent of late
    limit_scale: float = 1.0  # the bounds against their first values
    latency_ratio: float = 1.0  # latency against the best of the class


@dataclass(slots=True, eq=False)
class Engine(OutstandingLoad):
    address: str = ""
    kind: str = ""
    zone: str = ""
    cell: int = 0
    state: api.EngineState = api.EngineState.REMOVED
    assigned_gateways: int | None = None  # gateways that keep it; None: all
    cold_until: int = 0
    turn_phase: float = 0.0  # our turn among the gateways while it is cold
    cold_sends: deque[tuple[int, float, "ClassState"]] = field(
        default_factory=deque
    )  # sent while cold: when, usual work
    report: api.LoadReport | None = None
    report_at: int = NEVER
    reported_load: float | None = None  # as reported
    busy_load: float = 0.0  # the level of load that counts as busy
    pressure: float = 0.0  # the worst of what it reported, against what counts as busy
    error_rate: DecayingValue = field(default_factory=DecayingValue)  # share of attempts that fail
    failures: int = 0  # rests since it last answered
    backoff_until: int = 0
    last_alive_at: int = 0
    full_refusals: int = 0  # refusals for want of room since it last answered
    full_backoff_until: int = NEVER
    last_probe_at: int = NEVER
    probe_in_flight: bool = False
    connected_until: int = NEVER  # a connection of ours stands until then, unless it breaks
    weight: float = 1.0  # in the draw, kept until something changes it
    # Spans of our queries that are out, by the group of tables that they hold.
    table_group_work: defaultdict[int | None, float] = field(default_factory=lambda: defaultdict(float))
    table_group_freed_at: dict[int, int] = field(
        default_factory=dict
    )  # when a load of ours last let go of its tables


@dataclass(slots=True, eq=False)
class ClassState:
    settings: api.QueryClass
    query_count: int = 0
    mean_cost: RunningMean = field(default_factory=RunningMean)  # estimates, in us and in MB
    mean_memory: RunningMean = field(default_factory=RunningMean)
    mean_work_ratio: RunningMean = field(
        default_factory=RunningMean
    )  # what answers told, against the estimate
    median_work_ratio: float = 1.0  # the same, half of them less
    mean_memory_ratio: RunningMean = field(default_factory=RunningMean)
    recent_latency: RunningMean = field(
        default_factory=RunningMean
    )  # elapsed time against the estimate, of late
    best_latency: float = 1.0  # and at best
    median_projected: float = 1.0  # elapsed time against the estimate that most are headed for
    high_projected: float = 0.0  # a high quantile of it

    @property
    def typical_work_us(self) -> float:
        """The usual work of the class; 0 while nothing is known."""
        return self.mean_cost.value * (self.mean_work_ratio.value or 1.0)


@dataclass(slots=True, eq=False)
class Attempt:
    number: int
    engine: Engine
    sent_at: int
    expected_us: float
    heavy: bool
    outcome: api.Outcome | None = None
    cancelled: bool = False
    being_replaced: bool = False  # cancelled so that another takes its place
    progress: float = 0.0  # done, as notes tell
    last_status_at: int = NEVER  # the last note


@dataclass(slots=True, eq=False)
class Query:
    """A query from its arrival until it is answered and no attempt of it is out."""

    id: int
    cls: ClassState
    cost_us: float | None
    memory_mb: float | None
    deadline_at: int
    threads: int
    ideal_us: float  # its work alone on its threads
    target_at: float
    due_at: float
    heavy: bool = False
    done: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    open_attempts: int = 0  # attempts without an outcome
    key_queue: "KeyQueue | None" = None  # of its key, where its class keeps an order
    table_group: int | None = None  # of tables, where it holds them while it runs
    grant_and_priority: tuple[float, int] = (0, 1)  # the engine's choice of memory, the usual priority
    is_guess: bool = False  # its span: nothing is known of such work yet

    @property
    def gated(self) -> bool:
        return self.heavy or self.table_group is not None


class KeyQueue(deque[Query]):
    """Queries of one key in the order taken, and how long the key must rest."""

    paused_until = 0
