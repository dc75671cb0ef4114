"""What an operator may set, with the bounds of every value. Names and units are those of the file.

A misspelt name is an error, never a setting that silently does nothing.
"""

from typing import Annotated, Any, Literal

from msgspec import Meta, Struct

Share = Annotated[float, Meta(gt=0.0, le=0.5)]
Seconds = Annotated[float, Meta(gt=0.0, le=86_400.0 * 366)]


class Logging(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    format: Literal["line", "json"] = "line"
    burst: Annotated[float, Meta(ge=1.0, le=1000.0)] = 5.0  # lines of one kind at once
    per_second: Annotated[float, Meta(gt=0.0, le=1000.0)] = 1.0


class Background(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Work that may wait: what it may take of the loop, and how much of it may wait."""

    share: Share = 0.05
    slice_ms: Annotated[float, Meta(ge=0.1, le=1.0)] = 0.5
    waiting: Annotated[int, Meta(ge=1, le=100_000)] = 256  # jobs; more are shed, the least urgent first


class DetectionThresholds(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """When the judge calls an engine's behaviour unusual. Higher thresholds: later and fewer alarms."""

    stalled_evidence: Annotated[float, Meta(ge=3.0, le=100.0)] = 14.0  # -ln of the chance that it is well
    stalled_least_s: Seconds = 1.0
    slow_factor: Annotated[float, Meta(ge=1.2, le=100.0)] = 2.5  # against itself before, and its peers
    slow_evidence: Annotated[float, Meta(ge=3.0, le=1000.0)] = 16.0  # the CUSUM's threshold
    failing_share: Annotated[float, Meta(ge=0.05, le=1.0)] = 0.3
    flapping_turns: Annotated[int, Meta(ge=2, le=100)] = 3
    flapping_within_s: Seconds = 60.0


class Store(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    directory: Annotated[str, Meta(min_length=1)]
    fsync: Literal["never", "interval", "always"] = "interval"
    fsync_every_s: Seconds = 5.0
    flush_every_s: Seconds = 2.0
    segment_mb: Annotated[float, Meta(ge=0.01, le=1024.0)] = 16.0
    keep_mb: Annotated[float, Meta(ge=0.02, le=1_000_000.0)] = 512.0
    keep_s: Seconds = 7 * 86_400.0


class Timeline(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    memory_mb: Annotated[float, Meta(ge=0.25, le=1024.0)] = 8.0  # over all engines, come and gone
    raw_s: Seconds = 300.0  # raw events at most so old
    watch: DetectionThresholds = DetectionThresholds()
    store: Store | None = None
    socket: Annotated[str, Meta(min_length=1, max_length=100)] | None = None  # of the live view
    followers: Annotated[int, Meta(ge=1, le=64)] = 8


class OutLimits(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How much may be out at a time: a count, or below 1 a share; in all and in a zone."""

    gateways: Annotated[float, Meta(gt=0.0, le=1000.0)] = 1.0
    gateways_a_zone: Annotated[float, Meta(gt=0.0, le=1000.0)] = 1.0
    engines: Annotated[float, Meta(gt=0.0, le=1000.0)] = 1.0
    engines_a_zone: Annotated[float, Meta(gt=0.0, le=1000.0)] = 1.0


class RegressionCriteria(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """When a new build counts as worse than the old one, and how sure the release wants to be."""

    times: Annotated[float, Meta(ge=1.1, le=100.0)] = 2.0
    least: Annotated[float, Meta(ge=0.001, le=0.5)] = 0.03
    halted_wrongly: Annotated[float, Meta(gt=0.0, le=0.2)] = 0.01
    passed_wrongly: Annotated[float, Meta(gt=0.0, le=0.2)] = 0.05
    least_queries: Annotated[int, Meta(ge=1, le=1_000_000)] = 50


class Versions(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings on which the gateways agree; see docs/versions.md."""

    lease_s: Annotated[float, Meta(ge=0.3, le=60.0)] = 1.2  # a gateway acts on what it was told for so long
    list_silent_s: Annotated[float, Meta(ge=1.0, le=3600.0)] = 3.0  # of the bulletin: the list is old
    check_s: Annotated[float, Meta(ge=1.0, le=600.0)] = 10.0  # for all to say whether they can act on it


class Fleet(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    name: Annotated[str, Meta(min_length=1, max_length=64)]
    council: Annotated[tuple[Annotated[int, Meta(ge=0, le=0xFFFF)], ...], Meta(min_length=1, max_length=7)]
    build: Annotated[str, Meta(max_length=24)] = ""  # of this gateway's program; $WHINTRAIL_BUILD wins
    out: OutLimits = OutLimits()
    worse: RegressionCriteria = RegressionCriteria()
    use_within_s: Annotated[float, Meta(ge=0.5, le=60.0)] = 1.5  # a slot
    proven_s: Annotated[float, Meta(ge=0.1, le=3600.0)] = 3.0  # a new process has to have served so long
    quarantine_s: Annotated[float, Meta(ge=1.0, le=3600.0)] = 4.0  # before a council that forgot begins anew
    messages_per_s: Annotated[float, Meta(ge=50.0, le=100_000.0)] = 400.0
    bytes_per_s: Annotated[float, Meta(ge=5_000.0, le=1e9)] = 40_000.0
    versions: Versions | None = None  # absent: no settings but those of the files
    socket: Annotated[str, Meta(min_length=1, max_length=100)] | None = None  # of `whintrail fleet`


class Region(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Zones near one another, and the numbers of the gateways that stand there."""

    zones: Annotated[tuple[Annotated[str, Meta(min_length=1, max_length=64)], ...], Meta(min_length=1)]
    first: Annotated[int, Meta(ge=0, le=0xFFFF)]
    last: Annotated[int, Meta(ge=0, le=0xFFFF)]


class Subset(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Each gateway keeps a part of the engines, by arithmetic on which all agree; see docs/subset.md."""

    size: Annotated[int, Meta(ge=8, le=100_000)] = 80  # engines a gateway keeps
    least_holders: Annotated[int, Meta(ge=1, le=1000)] = 8  # gateways that keep an engine
    least_stratum: Annotated[int, Meta(ge=0, le=1000)] = 4  # engines, where a class is bound to places
    batch_ms: Annotated[int, Meta(ge=50, le=2000)] = 500  # what probes bring waits so long at most for more
    regions: tuple[Region, ...] = ()


class OperatorFile(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    version: Literal[1] = 1
    logging: Logging = Logging()
    background: Background = Background()
    timeline: Timeline | None = None  # absent: off
    fleet: Fleet | None = None  # absent: off
    subset: Subset | None = None  # absent: each gateway keeps all engines
    rules: dict[str, Any] | None = None  # see docs/versions.md; with fleet.versions only told, not applied
