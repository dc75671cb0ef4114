"""Events that the routing policy receives and actions that it returns.

Times are microseconds on the caller's clock. An absent value is None; zero means zero. Every protocol is
translated to and from these types, and nothing here takes a decision. Types made for every query are not
frozen: a frozen dataclass takes three times as long to create.
"""

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"
    UNKNOWN = "unknown"  # a code that this version does not know: the attempt may have run


class EngineState(Enum):
    """Whether an engine of the list may receive new queries."""

    REMOVED = "gone"
    READY = "ready"
    DRAINING = "draining"


class ListKind(Enum):
    """Scope of an engine list."""

    CACHED = "cached"
    FULL = "full"
    DELTA = "delta"
    FAILED = "failed"


class Effect(Enum):
    """What running a query a second time does."""

    REPEATABLE = "repeatable"
    BY_KEY = "by key"
    ONCE = "once"


class DedupScope(Enum):
    """Engines among which repeats of a keyed query are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class StatusTopic(Enum):
    """What a status message about a running attempt reports."""

    PROGRESS = "progress"  # value: share done
    SPILL = "spill"  # value: megabytes missing
    WAIT = "wait"  # value: 1 for memory, 2 for a load


class ReportSource(Enum):
    """Where load reports come from."""

    ANSWERS = "answers"
    PROBES = "probes"
    NONE = "none"


class Reason(Enum):
    """Why an engine was, or was not, given work; recorded beside the actions."""

    BACKING_OFF = "passed over: it rests"
    RECENTLY_FULL = "passed over: it was full"
    HIGH_ERROR_RATE = "shut out: it fails too many"
    COLD_BUDGET_SPENT = "held back as cold"
    NO_CAPACITY = "passed over: no room, or too late there"
    PLACEMENT_FORBIDDEN = "passed over: the class may not go there"
    BACKOFF_STARTED = "rested: it failed us"
    FULL_BACKOFF_STARTED = "rested: it refused as full"
    ATTEMPT_MOVED = "moved away from"
    DRAINED = "drained: nothing new"


@dataclass(slots=True)
class EngineDecision:
    """A decision about an engine that no action shows."""

    engine: str
    reason: Reason
    query: int | None


@dataclass(frozen=True, slots=True)
class QueryClass:
    """Settings of one class of queries."""

    name: str
    target_latency_us: int  # constant part of the latency to aim for
    target_latency_ratio: float  # and the part in proportion to the query's own run time
    deadline_us: int
    effect: Effect
    dedup_scope: DedupScope
    dedup_window_us: int  # how long engines drop repeats of a key
    worth: float
    late_share: float
    ordered_by_key: bool
    zones: tuple[str, ...] | None  # None: any
    kinds: tuple[str, ...] | None
    threads: int
    is_load: bool
    blocked_by_loads: bool


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its quota of queries."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything that an instance is given when it starts."""

    fleet_size: int
    local_number: int  # number of this gateway in the fleet, from 0
    zone: str
    classes: tuple[QueryClass, ...]
    tenants: tuple[Tenant, ...]
    kind_cores: dict[str, float]
    kind_memory_mb: dict[str, float]
    max_memory_grant_share: float
    memory_grants_honored: bool
    priorities_honored: bool
    reports_cost: bool  # answers report the work and the memory that a query took
    progress_interval_us: int  # 0: engines send no progress
    report_source: ReportSource
    probes_allowed: bool
    cancel_allowed: bool
    concurrent_attempts_allowed: bool
    peer_messages_allowed: bool  # messages between gateways
    retry_after: bool
    max_retry_after_us: int
    max_attempts: int | None  # None: unlimited
    max_open: int | None  # queries that clients can have open at this gateway; None: unlimited
    keepalive_us: int  # idle connections to engines are closed after this time
    tick_us: int
    list_on_request: bool
    max_list_age_us: int | None
    warmup_us: int  # an engine is cold for this long after its start
    initial_capacity_share: float  # capacity of an engine at its start
    overload_multiple: float | None  # of its capacity, which makes a cold engine fail; None: none fails
    overload_window_us: int
    order_settle_us: int
    retry_budget_ratio: float | None  # None: no retry budget is set
    retry_budget_free: float
    retry_budget_window_us: int
    cross_zone_price: float


@dataclass(frozen=True, slots=True)
class EngineEntry:
    """One line of an engine list."""

    engine: str
    kind: str
    zone: str
    cell: int
    weight: float
    state: EngineState
    started_us: int | None  # None: long ago
    assigned_gateways: int | None = None  # gateways whose subset has the engine; None: the whole fleet
    assignment_rank: int = 0  # position of this gateway among them, from 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Values that an engine reported; None for those that it did not report."""

    utilisation: float | None = None  # share of the cores in use
    active_queries: float | None = None
    memory_queue: float | None = None  # queries that wait for memory
    memory_share: float | None = None  # share of the memory that is granted


@dataclass(slots=True)
class QueryArrived:
    """A client sent a query."""

    query: int
    class_name: str
    deadline_at_us: int
    cost_us: float | None
    memory_mb: float | None
    table_group: int | None
    ordering_key: str | None
    tenant: str | None
    is_repeat: bool


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a query no longer waits for it."""

    query: int


@dataclass(slots=True)
class AttemptFinished:
    """An attempt ended, with what the engine reported about it."""

    query: int
    attempt: int
    engine: str
    outcome: Outcome
    elapsed_us: int
    final: bool  # the query is over, no other attempt may follow
    work_ms: float | None
    memory_mb: float | None
    report: LoadReport | None


@dataclass(slots=True)
class AttemptStatusReceived:
    """An engine sent the status of a running attempt."""

    query: int
    attempt: int
    engine: str
    topic: StatusTopic
    value: float


@dataclass(frozen=True, slots=True)
class ProbeFinished:
    """A probe of an engine was answered or failed."""

    engine: str
    outcome: Outcome
    elapsed_us: int
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of a `SetTimer` action has come."""

    token: str


@dataclass(frozen=True, slots=True)
class EngineListReceived:
    """A list of engines, a change of it, or a failure to fetch one."""

    kind: ListKind
    entries: tuple[EngineEntry, ...]


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message from another gateway, unchecked: the payload may hold any bytes."""

    sender: int
    payload: bytes


Event = (
    PeerMessageReceived
    | QueryArrived
    | ClientDisconnected
    | AttemptFinished
    | AttemptStatusReceived
    | ProbeFinished
    | TimerFired
    | EngineListReceived
)


@dataclass(slots=True)
class SendAttempt:
    """Send the query to an engine."""

    query: int
    engine: str
    timeout_us: int  # 0: until the client's deadline
    start_by_us: int | None = None  # latest time for its first byte; None: its deadline


@dataclass(slots=True)
class SetGrantAndPriority:
    """Memory grant (0: the engine's choice) and priority (0 to 3) of a query's attempts."""

    query: int
    grant_mb: float
    priority: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt on its engine."""

    query: int
    attempt: int


@dataclass(frozen=True, slots=True)
class RefuseQuery:
    """Final answer: the query has no result, and a retry is harmless."""

    query: int
    retry_after_us: int | None


@dataclass(frozen=True, slots=True)
class FailQuery:
    """Final answer without any assurance: the query may have run."""

    query: int


@dataclass(frozen=True, slots=True)
class SendProbe:
    """Ask an engine for its load report."""

    engine: str


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """At most 256 bytes to one gateway, or to all others if target is None; delivery is not confirmed."""

    target: int | None
    payload: bytes


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send `TimerFired` with this token at the given time."""

    token: str
    at_us: int


@dataclass(frozen=True, slots=True)
class WatchEngineList:
    """Start or stop following the engine list."""

    enabled: bool


Action = (
    SendAttempt
    | SetGrantAndPriority
    | CancelAttempt
    | RefuseQuery
    | FailQuery
    | SendProbe
    | SendPeerMessage
    | SetTimer
    | WatchEngineList
)
