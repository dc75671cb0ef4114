"""State that the routing policy keeps about engines, classes, queries and attempts.

The records start empty and decide nothing; routing.py computes and changes their values.
"""

import math
from collections import defaultdict, deque
from dataclasses import dataclass, field

from whintrail import interface as api

NEVER = -(10**12)  # earlier than any time of the clock: the event has not happened yet


@dataclass(slots=True)
class RunningMean:
    """Mean over about the last `window` values; 0 while there is none."""

    value: float = 0.0
    count: int = 0

    def add(self, value: float | None, window: int, cap: float = math.inf) -> None:
        """Add a value, limited to `cap`; None is ignored."""
        if value is None:
            return
        self.count += 1
        self.value += (min(value, cap) - self.value) / min(self.count, window)


@dataclass(slots=True)
class DecayingValue:
    """A value that decays exponentially with time."""

    value: float = 0.0
    updated_at: int = NEVER

    def decayed(self, now: int, decay_us: float) -> float:
        """Decay the value to the time `now` and return it."""
        if self.value and now != self.updated_at:
            self.value *= math.exp((self.updated_at - now) / decay_us)
        self.updated_at = now
        return self.value


@dataclass(slots=True, eq=False)  # compared by identity: engines with equal fields are not the same engine
class OutstandingLoad:
    """This gateway's running threads on one engine, or on all engines together."""

    cores: float = 1.0
    threads: int = 0
    heavy_threads: int = 0
    recent_threads: DecayingValue = field(default_factory=DecayingValue)  # threads sent recently
    limit_scale: float = 1.0  # thread limits in proportion to their initial values
    latency_ratio: float = 1.0  # latency in proportion to the best of the class


@dataclass(slots=True, eq=False)
class Engine(OutstandingLoad):
    """An engine of the list, its reports and its health."""

    address: str = ""
    kind: str = ""
    zone: str = ""
    cell: int = 0
    state: api.EngineState = api.EngineState.REMOVED
    assigned_gateways: int | None = None  # gateways whose subset has it; None: all
    cold_until: int = 0
    turn_phase: float = 0.0  # offset of this gateway's turns while the engine is cold
    # Sent while cold: time, typical work and class.
    cold_sends: deque[tuple[int, float, "ClassState"]] = field(default_factory=deque)
    report: api.LoadReport | None = None
    report_at: int = NEVER
    reported_load: float | None = None
    busy_load: float = 0.0  # level of the reported load that counts as busy
    pressure: float = 0.0  # the highest reported value, in proportion to what counts as busy
    error_rate: DecayingValue = field(default_factory=DecayingValue)  # share of attempts that fail
    failures: int = 0  # backoffs since its last answer
    backoff_until: int = 0
    last_alive_at: int = 0
    full_refusals: int = 0  # refusals for lack of capacity since its last answer
    full_backoff_until: int = NEVER
    last_probe_at: int = NEVER
    probe_in_flight: bool = False
    connected_until: int = NEVER  # a connection stays open until then unless it breaks
    weight: float = 1.0  # in the random choice; valid until it is updated
    # Run time of this gateway's queries in flight, by the table group that they lock.
    table_group_work: defaultdict[int | None, float] = field(default_factory=lambda: defaultdict(float))
    # When a load of this gateway last released the table group.
    table_group_freed_at: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class ClassState:
    """Statistics of one class of queries."""

    settings: api.QueryClass
    query_count: int = 0
    mean_cost: RunningMean = field(default_factory=RunningMean)  # estimates, in us
    mean_memory: RunningMean = field(default_factory=RunningMean)  # estimates, in MB
    mean_work_ratio: RunningMean = field(default_factory=RunningMean)  # reported work / estimate
    median_work_ratio: float = 1.0
    mean_memory_ratio: RunningMean = field(default_factory=RunningMean)  # reported memory / estimate
    recent_latency: RunningMean = field(default_factory=RunningMean)  # elapsed time / estimate
    best_latency: float = 1.0  # the best of these
    median_projected: float = 1.0  # projected elapsed time / estimate of an attempt
    high_projected: float = 0.0  # a high quantile of it

    @property
    def typical_work_us(self) -> float:
        """Typical work of a query of the class; 0 while nothing is known."""
        return self.mean_cost.value * (self.mean_work_ratio.value or 1.0)


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a query to an engine."""

    number: int
    engine: Engine
    sent_at: int
    expected_us: float
    heavy: bool
    outcome: api.Outcome | None = None
    cancelled: bool = False
    being_replaced: bool = False  # cancelled in favor of another attempt
    progress: float = 0.0  # share done, as reported
    last_status_at: int = NEVER


@dataclass(slots=True, eq=False)
class Query:
    """A query from its arrival until it is answered and none of its attempts is open."""

    id: int
    cls: ClassState
    cost_us: float | None
    memory_mb: float | None
    deadline_at: int
    threads: int
    ideal_us: float  # its run time alone on its threads
    target_at: float
    due_at: float
    heavy: bool = False
    done: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    open_attempts: int = 0  # attempts without an outcome
    key_queue: "KeyQueue | None" = None  # of its key, where its class is ordered by key
    table_group: int | None = None  # locked while the query runs; None: it locks none
    grant_and_priority: tuple[float, int] = (0, 1)  # the engine's choice of memory, the default priority
    is_guess: bool = False  # `ideal_us` is a guess: nothing is known of such work yet

    @property
    def gated(self) -> bool:
        """Whether the query is refused where it cannot finish in time."""
        return self.heavy or self.table_group is not None


class KeyQueue(deque[Query]):
    """Queries of one key in order of arrival, and until when the key is paused."""

    paused_until = 0
