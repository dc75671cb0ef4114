"""What the decision module remembers of engines, classes, queries and attempts.

Plain records: they start empty and decide nothing. Every figure, and every change of one, is brain.py's.
"""

from collections import deque
from dataclasses import dataclass, field

from whintrail import interface as api

LONG_AGO = -(10**12)  # a time before any that the clock tells: it has not happened yet


@dataclass(slots=True)
class Sent:
    """Threads that one engine holds of ours, or all engines together."""

    cores: float = 1.0
    threads: int = 0
    heavy_threads: int = 0
    since: float = 0.0  # threads sent of late, fading
    since_at: int = LONG_AGO
    width: float = 1.0  # the bounds against their first values
    stretch: float = 1.0  # latency against the best of the class


@dataclass(slots=True, eq=False)
class Engine(Sent):
    address: str = ""
    kind: str = ""
    zone: str = ""
    cell: int = 0
    state: api.EngineState = api.EngineState.GONE
    cold_until: int = 0
    cold_sent: deque[tuple[int, float]] = field(default_factory=deque)  # (time, usual work) sent while cold
    running: dict[tuple[int, int], "Attempt"] = field(default_factory=dict)
    report: api.LoadReport | None = None
    report_at: int = LONG_AGO
    load: float | None = None  # as reported
    busy_at: float = 0.0  # the level of load that counts as busy
    errors: float = 0.0  # share of attempts that fail, fading
    errors_at: int = LONG_AGO
    fails: int = 0  # rests since it last answered
    down_until: int = 0
    alive_at: int = 0
    full_at: int = LONG_AGO
    probe_at: int = LONG_AGO
    probing: bool = False
    weight: float = 1.0  # in the draw, kept until something changes it


@dataclass(slots=True, eq=False)
class ClassState:
    settings: api.QueryClass
    seen: int = 0
    costs: int = 0
    memories: int = 0
    answered: int = 0
    cost_us: float = 0.0  # running mean estimates
    memory_mb: float = 0.0
    recent: float = 1.0  # elapsed time against the estimate: of late, and at best
    best: float = 1.0
    told_work: float = 0.0  # work that answers told against the estimate; 0: never told


@dataclass(slots=True, eq=False)
class Attempt:
    number: int
    engine: Engine
    sent_at: int
    expected_us: float
    heavy: bool
    outcome: api.Outcome | None = None
    cancelled: bool = False
    moving: bool = False  # cancelled so that another takes its place
    share: float = 0.0  # done, as notes tell


@dataclass(slots=True, eq=False)
class Query:
    """A query from its arrival until it is answered and no attempt of it is out."""

    id: int
    cls: ClassState
    key: str | None
    cost_us: float | None
    memory_mb: float | None
    give_up: int
    threads: int
    span_us: float  # its work alone on its threads
    aim_at: float
    due: float
    heavy: bool = False
    done: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0
    priority: int = 1  # the usual one


class Line(deque[Query]):
    """Queries of one key in the order taken, and how long the key must rest."""

    rest_until = 0
