"""The records of the operator's file, with the bounds of every value. Field names are the keys of the file.

An unknown key is an error, so that a misspelt setting can't be ignored silently.
"""

from typing import Annotated, Any, Literal

from msgspec import Meta, Struct

Share = Annotated[float, Meta(gt=0.0, le=0.5)]
Seconds = Annotated[float, Meta(gt=0.0, le=86_400.0 * 366)]


class Logging(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Format of the log, and the rate limit of lines of one kind."""

    format: Literal["line", "json"] = "line"
    burst: Annotated[float, Meta(ge=1.0, le=1000.0)] = 5.0  # lines of one kind in a burst
    per_second: Annotated[float, Meta(gt=0.0, le=1000.0)] = 1.0


class Background(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Deferrable work: its share of the event loop's time, and the size of its queue."""

    share: Share = 0.05
    slice_ms: Annotated[float, Meta(ge=0.1, le=1.0)] = 0.5
    waiting: Annotated[int, Meta(ge=1, le=100_000)] = 256  # jobs; more are shed, least urgent first


class DetectionThresholds(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """When the detector reports an engine's behaviour. Higher thresholds mean later and fewer detections."""

    stalled_evidence: Annotated[float, Meta(ge=3.0, le=100.0)] = 14.0  # -ln of the chance that it is healthy
    stalled_least_s: Seconds = 1.0
    slow_factor: Annotated[float, Meta(ge=1.2, le=100.0)] = 2.5  # relative to its past and its peers
    slow_evidence: Annotated[float, Meta(ge=3.0, le=1000.0)] = 16.0  # threshold of the CUSUM test
    failing_share: Annotated[float, Meta(ge=0.05, le=1.0)] = 0.3
    flapping_turns: Annotated[int, Meta(ge=2, le=100)] = 3
    flapping_within_s: Seconds = 60.0


class Store(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The timeline on disk: its directory, when it is flushed and synced, and its retention."""

    directory: Annotated[str, Meta(min_length=1)]
    fsync: Literal["never", "interval", "always"] = "interval"
    fsync_every_s: Seconds = 5.0
    flush_every_s: Seconds = 2.0
    segment_mb: Annotated[float, Meta(ge=0.01, le=1024.0)] = 16.0
    keep_mb: Annotated[float, Meta(ge=0.02, le=1_000_000.0)] = 512.0
    keep_s: Seconds = 7 * 86_400.0


class Timeline(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The history of the engines: its memory, detection thresholds, store and live view."""

    memory_mb: Annotated[float, Meta(ge=0.25, le=1024.0)] = 8.0  # for all engines, present and removed
    raw_s: Seconds = 300.0  # maximum age of raw events
    watch: DetectionThresholds = DetectionThresholds()
    store: Store | None = None
    socket: Annotated[str, Meta(min_length=1, max_length=100)] | None = None  # path of the live view
    followers: Annotated[int, Meta(ge=1, le=64)] = 8


class OutLimits(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How many may be out at a time, in total and per zone: a count, or if below 1 a share."""

    gateways: Annotated[float, Meta(gt=0.0, le=1000.0)] = 1.0
    gateways_a_zone: Annotated[float, Meta(gt=0.0, le=1000.0)] = 1.0
    engines: Annotated[float, Meta(gt=0.0, le=1000.0)] = 1.0
    engines_a_zone: Annotated[float, Meta(gt=0.0, le=1000.0)] = 1.0


class RegressionCriteria(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """When a new build counts as worse than the old one, and the error rates of that decision."""

    times: Annotated[float, Meta(ge=1.1, le=100.0)] = 2.0  # ratio to the old build's share
    least: Annotated[float, Meta(ge=0.001, le=0.5)] = 0.03  # minimum increase of the share
    # Probabilities that a step halts a build as good as the old one, and that it passes a worse one.
    halted_wrongly: Annotated[float, Meta(gt=0.0, le=0.2)] = 0.01
    passed_wrongly: Annotated[float, Meta(gt=0.0, le=0.2)] = 0.05
    least_queries: Annotated[int, Meta(ge=1, le=1_000_000)] = 50


class Versions(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Config versions, which the gateways activate together; see docs/versions.md."""

    # How long a gateway applies a version after its last renewal.
    lease_s: Annotated[float, Meta(ge=0.3, le=60.0)] = 1.2
    # Silence of the bulletin after which the engine list is stale.
    list_silent_s: Annotated[float, Meta(ge=1.0, le=3600.0)] = 3.0
    check_s: Annotated[float, Meta(ge=1.0, le=600.0)] = 10.0  # for all gateways to check a proposal


class Fleet(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Coordination of the gateways: drains, restarts and releases."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    council: Annotated[tuple[Annotated[int, Meta(ge=0, le=0xFFFF)], ...], Meta(min_length=1, max_length=7)]
    build: Annotated[str, Meta(max_length=24)] = ""  # of this gateway; $WHINTRAIL_BUILD overrides it
    out: OutLimits = OutLimits()
    worse: RegressionCriteria = RegressionCriteria()
    use_within_s: Annotated[float, Meta(ge=0.5, le=60.0)] = 1.5  # time to use a slot
    proven_s: Annotated[float, Meta(ge=0.1, le=3600.0)] = 3.0  # serving time that proves a new process
    quarantine_s: Annotated[float, Meta(ge=1.0, le=3600.0)] = 4.0  # before a new epoch after a loss of state
    messages_per_s: Annotated[float, Meta(ge=50.0, le=100_000.0)] = 400.0
    bytes_per_s: Annotated[float, Meta(ge=5_000.0, le=1e9)] = 40_000.0
    versions: Versions | None = None  # absent: only the settings of the files
    socket: Annotated[str, Meta(min_length=1, max_length=100)] | None = None  # path for `whintrail fleet`


class Region(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Zones near one another, and the range of the gateways there."""

    zones: Annotated[tuple[Annotated[str, Meta(min_length=1, max_length=64)], ...], Meta(min_length=1)]
    first: Annotated[int, Meta(ge=0, le=0xFFFF)]
    last: Annotated[int, Meta(ge=0, le=0xFFFF)]


class Subset(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Each gateway keeps a subset of the engines, computed alike by all gateways; see docs/subset.md."""

    size: Annotated[int, Meta(ge=8, le=100_000)] = 80  # engines per gateway
    least_holders: Annotated[int, Meta(ge=1, le=1000)] = 8  # minimum of gateways per engine
    # Minimum of engines in each combination of zones and kinds to which a class is bound.
    least_stratum: Annotated[int, Meta(ge=0, le=1000)] = 4
    batch_ms: Annotated[int, Meta(ge=50, le=2000)] = 500  # maximum wait of a probe report for more
    regions: tuple[Region, ...] = ()


class OperatorFile(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The whole file."""

    version: Literal[1] = 1
    logging: Logging = Logging()
    background: Background = Background()
    timeline: Timeline | None = None  # absent: off
    fleet: Fleet | None = None  # absent: off
    subset: Subset | None = None  # absent: each gateway keeps all engines
    rules: dict[str, Any] | None = None  # docs/versions.md; compared, not applied, with `versions`
