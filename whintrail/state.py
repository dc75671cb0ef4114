"""What the decision module remembers of engines, classes, queries and attempts.

Plain records: they start empty and decide nothing. Every figure, and every change of one, is brain.py's.
"""

import math
from collections import defaultdict, deque
from dataclasses import dataclass, field

from whintrail import interface as api

LONG_AGO = -(10**12)  # a time before any that the clock tells: it has not happened yet


@dataclass(slots=True)
class Mean:
    """A running mean; 0 while nothing is known."""

    value: float = 0.0
    count: int = 0

    def add(self, value: float | None, memory: int, most: float = math.inf) -> None:
        """As if over the last so many values, none above `most`; one that is absent tells nothing."""
        if value is None:
            return
        self.count += 1
        self.value += (min(value, most) - self.value) / min(self.count, memory)


@dataclass(slots=True)
class Fading:
    """A value that fades with time."""

    value: float = 0.0
    at: int = LONG_AGO

    def now(self, now: int, span_us: float) -> float:
        if self.value and now != self.at:
            self.value *= math.exp((self.at - now) / span_us)
        self.at = now
        return self.value


@dataclass(slots=True, eq=False)  # each is itself: two that hold as much are not the same engine
class Sent:
    """Threads that one engine holds of ours, or all engines together."""

    cores: float = 1.0
    threads: int = 0
    heavy_threads: int = 0
    since: Fading = field(default_factory=Fading)  # threads sent of late
    width: float = 1.0  # the bounds against their first values
    stretch: float = 1.0  # latency against the best of the class


@dataclass(slots=True, eq=False)
class Engine(Sent):
    address: str = ""
    kind: str = ""
    zone: str = ""
    cell: int = 0
    state: api.EngineState = api.EngineState.GONE
    holders: int | None = None  # gateways that keep it; None: all
    cold_until: int = 0
    phase: float = 0.0  # our turn among the gateways while it is cold
    cold_sent: deque[tuple[int, float, "ClassState"]] = field(
        default_factory=deque
    )  # sent while cold: when, usual work
    report: api.LoadReport | None = None
    report_at: int = LONG_AGO
    load: float | None = None  # as reported
    busy_at: float = 0.0  # the level of load that counts as busy
    strain: float = 0.0  # the worst of what it reported, against what counts as busy
    errors: Fading = field(default_factory=Fading)  # share of attempts that fail
    fails: int = 0  # rests since it last answered
    down_until: int = 0
    alive_at: int = 0
    fulls: int = 0  # refusals for want of room since it last answered
    full_until: int = LONG_AGO
    probe_at: int = LONG_AGO
    probing: bool = False
    linked_until: int = LONG_AGO  # a connection of ours stands until then, unless it breaks
    weight: float = 1.0  # in the draw, kept until something changes it
    # Spans of our queries that are out, by the group of tables that they hold.
    loads: defaultdict[int | None, float] = field(default_factory=lambda: defaultdict(float))
    freed: dict[int, int] = field(default_factory=dict)  # when a load of ours last let go of its tables


@dataclass(slots=True, eq=False)
class ClassState:
    settings: api.QueryClass
    seen: int = 0
    cost: Mean = field(default_factory=Mean)  # estimates, in us and in MB
    memory: Mean = field(default_factory=Mean)
    told_work: Mean = field(default_factory=Mean)  # what answers told, against the estimate
    told_usual: float = 1.0  # the same, half of them less
    told_memory: Mean = field(default_factory=Mean)
    recent: Mean = field(default_factory=Mean)  # elapsed time against the estimate, of late
    best: float = 1.0  # and at best
    headed: float = 1.0  # elapsed time against the estimate that most are headed for
    high: float = 0.0  # a high quantile of it

    @property
    def work_us(self) -> float:
        """The usual work of the class; 0 while nothing is known."""
        return self.cost.value * (self.told_work.value or 1.0)


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
    heard_at: int = LONG_AGO  # the last note


@dataclass(slots=True, eq=False)
class Query:
    """A query from its arrival until it is answered and no attempt of it is out."""

    id: int
    cls: ClassState
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
    out: int = 0  # attempts without an outcome
    line: "Line | None" = None  # of its key, where its class keeps an order
    group: int | None = None  # of tables, where it holds them while it runs
    terms: tuple[float, int] = (0, 1)  # the engine's choice of memory, the usual priority
    guessed: bool = False  # its span: nothing is known of such work yet

    @property
    def gated(self) -> bool:
        return self.heavy or self.group is not None


class Line(deque[Query]):
    """Queries of one key in the order taken, and how long the key must rest."""

    rest_until = 0
