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
    MOOT = "moot"
    UNKNOWN = "unknown"  # a code that this version does not know: the attempt may have run


class EngineState(Enum):
    GONE = "gone"
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


class DedupGroup(Enum):
    """Engines that drop each other's repeats of a keyed query."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Topic(Enum):
    """What a note on a running attempt is about."""

    PROGRESS = "progress"  # value: share done
    SPILL = "spill"  # value: megabytes missing
    WAIT = "wait"  # value: 1 for memory, 2 for a load


class ReportsBy(Enum):
    """Where load reports come from."""

    ANSWERS = "answers"
    PROBES = "probes"
    NONE = "none"


class Reason(Enum):
    """Why an engine was, or was not, given something: told for a record, beside the actions."""

    RESTS = "passed over: it rests"
    FULL = "passed over: it was full"
    SHUT_OUT = "shut out: it fails too many"
    COLD = "held back as cold"
    NO_ROOM = "passed over: no room, or too late there"
    NOT_PLACED = "passed over: the class may not go there"
    RESTED = "rested: it failed us"
    RESTED_FULL = "rested: it refused as full"
    MOVED = "moved away from"
    DRAINED = "drained: nothing new"


@dataclass(slots=True)
class Remark:
    """A decision about an engine that no action shows."""

    engine: str
    reason: Reason
    query: int | None


@dataclass(frozen=True, slots=True)
class QueryClass:
    name: str
    aim_us: int
    aim_stretch: float
    deadline_us: int
    effect: Effect
    group: DedupGroup
    window_us: int
    worth: float
    late_share: float
    in_order: bool
    zones: tuple[str, ...] | None  # None: any
    kinds: tuple[str, ...] | None
    threads: int
    is_load: bool
    waits_for_load: bool


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All that an instance is told at its start and may act on."""

    fleet_size: int
    me: int  # this gateway's number among them, from 0
    zone: str
    classes: tuple[QueryClass, ...]
    tenants: tuple[Tenant, ...]
    kind_cores: dict[str, float]
    kind_memory_mb: dict[str, float]
    max_grant_share: float
    grants_heeded: bool
    priorities_heeded: bool
    tells_cost: bool
    progress_us: int  # 0: no notes
    reports_by: ReportsBy
    probes_allowed: bool
    cancel_allowed: bool
    second_copies: bool
    peers_allowed: bool  # messages between gateways
    retry_after: bool
    max_retry_after_us: int
    max_attempts: int | None  # None: no limit stated
    max_open: int | None  # queries that clients can have open here at once; None: no limit stated
    keepalive_us: int  # idle connections to engines close after so long
    tick_us: int
    list_on_request: bool
    must_ask_us: int | None
    cold_us: int
    start_capacity: float
    tip_multiple: float | None  # None: no cold engine falls over here
    tip_after_us: int
    order_settle_us: int
    budget_share: float | None  # None: further attempts are not rationed
    budget_free: float
    budget_window_us: int
    price_cross_zone: float


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
    holders: int | None = None  # gateways that keep it; None: all of the fleet
    rank: int = 0  # this gateway's place among them, from 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Values that an engine reported; None for those that it did not."""

    utilisation: float | None = None
    held: float | None = None
    memory_queue: float | None = None
    memory_share: float | None = None


@dataclass(slots=True)
class QueryArrived:
    query: int
    class_name: str
    give_up_us: int
    cost_us: float | None
    memory_mb: float | None
    tables: int | None
    key: str | None
    tenant: str | None
    repeat: bool


@dataclass(frozen=True, slots=True)
class ClientLeft:
    query: int


@dataclass(slots=True)
class AttemptEnded:
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
class AttemptNote:
    query: int
    attempt: int
    engine: str
    topic: Topic
    value: float


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    engine: str
    outcome: Outcome
    elapsed_us: int
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: str


@dataclass(frozen=True, slots=True)
class EngineList:
    kind: ListKind
    entries: tuple[EngineEntry, ...]


@dataclass(frozen=True, slots=True)
class PeerTold:
    """A message from another gateway, as it came: it may be anything."""

    origin: int
    payload: bytes


Event = (
    PeerTold | QueryArrived | ClientLeft | AttemptEnded | AttemptNote | ProbeEnded | TimerFired | EngineList
)


@dataclass(slots=True)
class Send:
    query: int
    engine: str
    timeout_us: int  # 0: until the client gives up
    begin_by_us: int | None = None  # its first byte may go out no later; None: as long as it has time


@dataclass(slots=True)
class SetTerms:
    """Memory grant (0: the engine's choice) and priority (0 to 3) of a query's attempts."""

    query: int
    grant_mb: float
    priority: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    query: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not run, a retry does no harm."""

    query: int
    retry_after_us: int | None


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer without any assurance."""

    query: int


@dataclass(frozen=True, slots=True)
class SendProbe:
    engine: str


@dataclass(frozen=True, slots=True)
class TellPeer:
    """At most 256 bytes to another gateway, None: to all others; nothing tells whether they arrive."""

    target: int | None
    payload: bytes


@dataclass(frozen=True, slots=True)
class SetTimer:
    token: str
    at_us: int


@dataclass(frozen=True, slots=True)
class WatchList:
    on: bool


Action = Send | SetTerms | CancelAttempt | Refuse | Fail | SendProbe | TellPeer | SetTimer | WatchList
