"""What the decision module is told and what it may ask for, in the field's own terms.

Times are microseconds on the caller's clock. A value that may be absent is None; zero means zero.
Nothing here decides anything: every protocol, now or later, is translated to and from these types.
Those made for every query are not frozen, only because a frozen one takes thrice as long to make.
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
    """What a repeat of a query does."""

    REPEATABLE = "repeatable"
    BY_KEY = "by key"
    ONCE = "once"


class DedupScope(Enum):
    """Engines that drop each other's repeats of a keyed query."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class StatusTopic(Enum):
    """What a note on a running attempt is about."""

    PROGRESS = "progress"  # value: share done
    SPILL = "spill"  # value: megabytes missing
    WAIT = "wait"  # value: 1 for memory, 2 for a load


class ReportSource(Enum):
    """Where load reports come from."""

    ANSWERS = "answers"
    PROBES = "probes"
    NONE = "none"


class Reason(Enum):
    """Why an engine was, or was not, given something: told for a record, beside the actions."""

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
    name: str
    target_latency_us: int
    target_latency_ratio: float
    deadline_us: int
    effect: Effect
    dedup_scope: DedupScope
    dedup_window_us: int
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
    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All that an instance is told at its start and may act on."""

    fleet_size: int
    local_number: int  # this gateway's number among them, from 0
    zone: str
    classes: tuple[QueryClass, ...]
    tenants: tuple[Tenant, ...]
    kind_cores: dict[str, float]
    kind_memory_mb: dict[str, float]
    max_memory_grant_share: float
    memory_grants_honored: bool
    priorities_honored: bool
    reports_cost: bool
    progress_interval_us: int  # 0: no notes
    report_source: ReportSource
    probes_allowed: bool
    cancel_allowed: bool
    concurrent_attempts_allowed: bool
    peer_messages_allowed: bool  # messages between gateways
    retry_after: bool
    max_retry_after_us: int
    max_attempts: int | None  # None: no limit stated
    max_open: int | None  # queries that clients can have open here at once; None: no limit stated
    keepalive_us: int  # idle connections to engines close after so long
    tick_us: int
    list_on_request: bool
    max_list_age_us: int | None
    warmup_us: int
    initial_capacity_share: float
    overload_multiple: float | None  # None: no cold engine falls over here
    overload_window_us: int
    order_settle_us: int
    retry_budget_ratio: float | None  # None: further attempts are not rationed
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
    assigned_gateways: int | None = None  # gateways that keep it; None: all of the fleet
    assignment_rank: int = 0  # this gateway's place among them, from 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Values that an engine reported; None for those that it did not."""

    utilisation: float | None = None
    active_queries: float | None = None
    memory_queue: float | None = None
    memory_share: float | None = None


@dataclass(slots=True)
class QueryArrived:
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
    query: int


@dataclass(slots=True)
class AttemptFinished:
    query: int
    attempt: int
    engine: str
    outcome: Outcome
    elapsed_us: int
    final: bool
    work_ms: float | None
    memory_mb: float | None
    report: LoadReport | None


@dataclass(slots=True)
class AttemptStatusReceived:
    query: int
    attempt: int
    engine: str
    topic: StatusTopic
    value: float


@dataclass(frozen=True, slots=True)
class ProbeFinished:
    engine: str
    outcome: Outcome
    elapsed_us: int
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: str


@dataclass(frozen=True, slots=True)
class EngineListReceived:
    kind: ListKind
    entries: tuple[EngineEntry, ...]


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message from another gateway, as it came: it may be anything."""

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
    query: int
    engine: str
    timeout_us: int  # 0: until the client gives up
    start_by_us: int | None = None  # its first byte may go out no later; None: as long as it has time


@dataclass(slots=True)
class SetGrantAndPriority:
    """Memory grant (0: the engine's choice) and priority (0 to 3) of a query's attempts."""

    query: int
    grant_mb: float
    priority: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    query: int
    attempt: int


@dataclass(frozen=True, slots=True)
class RefuseQuery:
    """Final answer: not run, a retry does no harm."""

    query: int
    retry_after_us: int | None


@dataclass(frozen=True, slots=True)
class FailQuery:
    """Final answer without any assurance."""

    query: int


@dataclass(frozen=True, slots=True)
class SendProbe:
    engine: str


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """At most 256 bytes to another gateway, None: to all others; nothing tells whether they arrive."""

    target: int | None
    payload: bytes


@dataclass(frozen=True, slots=True)
class SetTimer:
    token: str
    at_us: int


@dataclass(frozen=True, slots=True)
class WatchEngineList:
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
