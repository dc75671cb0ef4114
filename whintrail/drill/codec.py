"""Translation between the bench's wire (JSON, one batch a line) and the module's interface."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from whintrail.interface import (
    Action,
    AttemptEnded,
    AttemptNote,
    CancelAttempt,
    ClientLeft,
    DedupGroup,
    Effect,
    EngineEntry,
    EngineList,
    EngineState,
    Event,
    Fail,
    ListKind,
    LoadReport,
    Outcome,
    ProbeEnded,
    QueryArrived,
    QueryClass,
    Refuse,
    ReportsBy,
    Send,
    SendProbe,
    SetTerms,
    SetTimer,
    Settings,
    Tenant,
    TimerFired,
    Topic,
    WatchList,
)

type_key = "event_type"

OUTCOMES = {
    0: Outcome.ERROR,
    1: Outcome.OK,
    2: Outcome.FULL,
    3: Outcome.TIMEOUT,
    4: Outcome.CONNECT_FAILED,
    5: Outcome.RESET,
    6: Outcome.CANCELLED,
    7: Outcome.MOOT,
}
STATES = {0: EngineState.GONE, 1: EngineState.READY, 2: EngineState.DRAINING}
LIST_KINDS = {0: ListKind.CACHED, 1: ListKind.FULL, 2: ListKind.DELTA, 3: ListKind.FAILED}
EFFECTS = {"repeatable": Effect.REPEATABLE, "by_key": Effect.BY_KEY, "once": Effect.ONCE}
GROUPS = {"all": DedupGroup.ALL, "zone": DedupGroup.ZONE, "cell": DedupGroup.CELL}
TOPICS = {1: Topic.PROGRESS, 2: Topic.SPILL, 3: Topic.WAIT}
REPORT_SOURCES = {"answers": ReportsBy.ANSWERS, "probe": ReportsBy.PROBES}
COST_HINT_BIT, REPEAT_BIT = 1, 2
NOTE_WORK_FACTOR, NOTE_MEMORY_MB = 4096, 4  # an answer's note: work x 4096 + memory in units of 4 MB


class WireError(ValueError):
    """The line is not a message of this wire."""


def _get(data: Mapping[str, Any], name: str, default: Any) -> Any:
    value = data.get(name)
    return default if value is None else value


def _nth(values: Any, index: int, default: Any) -> Any:
    return values[index] if isinstance(values, list) and index < len(values) else default


def _names(value: Any) -> tuple[str, ...] | None:
    return None if value is None else tuple(value)


def read_settings(info: Mapping[str, Any]) -> Settings:
    family = _get(info, "FamilyInfo", {})
    limits = _get(info, "Limits", {})
    rules = _get(info, "Rules", {})
    reporting = _get(info, "Reporting", {})
    kinds = _get(info, "Shapes", [])
    classes = tuple(
        QueryClass(
            name=item["Name"],
            aim_us=_get(item, "AimUs", item["DeadlineUs"]),
            aim_stretch=_get(item, "AimStretch", 0.0),
            deadline_us=item["DeadlineUs"],
            effect=EFFECTS.get(_get(item, "Effect", "once"), Effect.ONCE),
            group=GROUPS.get(_get(item, "Group", "cell"), DedupGroup.CELL),
            window_us=_get(item, "WindowUs", 0),
            worth=_get(item, "Worth", 1.0),
            late_share=_get(item, "LateShare", 0.0),
            in_order=_get(item, "KeepOrder", False),
            zones=_names(item.get("AllowedIn")),
            kinds=_names(item.get("ShapesOnly")),
            threads=_nth(family.get("Dop"), index, 1),
            is_load=_nth(family.get("ClassLoad"), index, False),
            waits_for_load=_nth(family.get("BlockedByLoads"), index, False),
        )
        for index, item in enumerate(_get(info, "Classes", []))
    )
    cores, memory = family.get("CpuOfKind"), family.get("SizeMb")
    return Settings(
        fleet_size=_get(info, "FleetSize", 1),
        zone=_get(info, "Zone", ""),
        classes=classes,
        tenants=tuple(
            Tenant(item["Name"], item["QuotaRps"])
            for item in _get(info, "Orgs", [])
            if item.get("QuotaRps") is not None
        ),
        kind_cores={kind: c for i, kind in enumerate(kinds) if (c := _nth(cores, i, None)) is not None},
        kind_memory_mb={kind: m for i, kind in enumerate(kinds) if (m := _nth(memory, i, None)) is not None},
        max_grant_share=_get(family, "MaxGrantShare", 1.0),
        grants_heeded=_get(family, "MemoryHeeded", False),
        priorities_heeded=_get(family, "Priorities", False),
        tells_cost=_get(family, "TellsCost", False),
        progress_us=_get(family, "ProgressPaceUs", 0),
        reports_by=REPORT_SOURCES.get(_get(reporting, "How", "none"), ReportsBy.NONE),
        probes_allowed=_get(limits, "Probing", False),
        cancel_allowed=_get(limits, "MayCancel", False),
        second_copies=_get(limits, "SecondCopies", False),
        retry_after=_get(limits, "RetryAfter", False),
        max_retry_after_us=_get(limits, "MaxRetryAfterUs", 0),
        max_attempts=limits.get("MaxAttempts"),
        tick_us=_get(info, "TickUs", 0),
        list_on_request=_get(info, "MembershipMode", "pushed") == "on_request",
        must_ask_us=rules.get("MustAskInUs"),
        cold_us=_get(rules, "ColdUs", 0),
        start_capacity=_get(rules, "StartCapacity", 1.0),
        tip_multiple=rules.get("TipMultiple"),
        tip_after_us=_get(rules, "TipAfterUs", 0),
        order_settle_us=_get(rules, "OrderSettleUs", 0),
        budget_share=rules.get("FurtherRatio"),
        budget_free=_get(rules, "ExtraFree", 0),
        budget_window_us=_get(rules, "RatioSpanUs", 0),
        price_cross_zone=_get(_get(info, "Prices", {}), "CrossZone", 0.0),
    )


def read_entries(records: Iterable[Mapping[str, Any]]) -> tuple[EngineEntry, ...]:
    return tuple(
        EngineEntry(
            engine=item["Node"],
            kind=_get(item, "ClassOfHost", ""),
            zone=_get(item, "Dc", ""),
            cell=_get(item, "UnitGroup", 0),
            weight=_get(item, "CapacityHint", 1.0),
            state=STATES.get(item["Readiness"], EngineState.DRAINING),
            started_us=item.get("LaunchedUs") or None,
        )
        for item in records
    )


def _report(fields: tuple[str, ...], row: Any) -> LoadReport | None:
    if not isinstance(row, list):
        return None
    values = dict(zip(fields, row, strict=False))
    return LoadReport(
        values.get("cpu_share"), values.get("busy_reqs"), values.get("pending"), values.get("x0")
    )


class Reader:
    """Reads one instance's events: it knows the report fields and whether answers tell the cost."""

    def __init__(self, info: Mapping[str, Any]) -> None:
        self.settings = read_settings(info)
        self.fields = tuple(_get(_get(info, "Reporting", {}), "Fields", []))

    def event(self, data: Mapping[str, Any], lists: Mapping[int, tuple[EngineEntry, ...]]) -> Event | None:
        """The event in the module's terms; None for one that it has no use for."""
        read = _READERS.get(data[type_key])
        return read(self, data, lists) if read else None

    def _arrived(self, data: Mapping[str, Any], _: Any) -> Event:
        bits = _get(data, "Bitmap", 0)
        tenant = data.get("Team")
        return QueryArrived(
            query=data["Ref"],
            class_name=data["TierClass"],
            give_up_us=data["GiveUpAtUs"],
            cost_us=data.get("PlanCostUs") if bits & COST_HINT_BIT else None,
            memory_mb=data.get("MemMb") or None,
            tables=data.get("SourceSet"),
            key=data.get("Table"),
            tenant=tenant if isinstance(tenant, str) else None,
            repeat=bool(bits & REPEAT_BIT),
        )

    def _ended(self, data: Mapping[str, Any], _: Any) -> Event:
        used = _get(data, "UsedUp", 0) if self.settings.tells_cost else 0
        return AttemptEnded(
            query=data["Ref"],
            attempt=data["RoundNo"],
            engine=data["Node"],
            outcome=OUTCOMES.get(data["How"], Outcome.UNKNOWN),
            elapsed_us=_get(data, "WaitTimeUs", 0),
            final=_get(data, "NoMore", False),
            work_ms=used // NOTE_WORK_FACTOR if used else None,
            memory_mb=used % NOTE_WORK_FACTOR * NOTE_MEMORY_MB if used else None,
            report=_report(self.fields, data.get("Feedback")),
        )

    def _probed(self, data: Mapping[str, Any], _: Any) -> Event:
        outcome = OUTCOMES.get(data["How"], Outcome.UNKNOWN)
        report = _report(self.fields, data.get("Feedback"))
        return ProbeEnded(data["Node"], outcome, _get(data, "WaitTimeUs", 0), report)

    def _note(self, data: Mapping[str, Any], _: Any) -> Event | None:
        topic = TOPICS.get(data["Topic"])
        if topic is None:
            return None
        return AttemptNote(data["Ref"], data["RoundNo"], data["Node"], topic, _get(data, "Level", 0))

    def _targets(self, data: Mapping[str, Any], lists: Mapping[int, tuple[EngineEntry, ...]]) -> Event | None:
        kind = LIST_KINDS.get(data["Scope"])
        if kind is None:
            return None
        return EngineList(kind, () if kind is ListKind.FAILED else lists[data["SetId"]])

    def _left(self, data: Mapping[str, Any], _: Any) -> Event:
        return ClientLeft(data["Ref"])

    def _timer(self, data: Mapping[str, Any], _: Any) -> Event:
        return TimerFired(data["KeyBack"])


_Read = Callable[[Reader, Mapping[str, Any], Mapping[int, tuple[EngineEntry, ...]]], Event | None]
_READERS: dict[str, _Read] = {
    "Knock": Reader._arrived,
    "Expired": Reader._left,
    "Result": Reader._ended,
    "HealthResult": Reader._probed,
    "HintUpdate": Reader._note,
    "Timer": Reader._timer,
    "Targets": Reader._targets,
}


def write_action(action: Action) -> dict[str, Any]:
    """The action as a message; values that are absent are left out."""
    match action:
        case Send(query, engine, timeout_us):
            return {type_key: "PassOn", "Ref": query, "Node": engine, "LimitUs": timeout_us}
        case SetTerms(query, grant_mb, priority):
            return {type_key: "Tune", "Ref": query, "MemoryGrant": grant_mb, "Priority": priority}
        case CancelAttempt(query, attempt):
            return {type_key: "AbortAttempt", "Ref": query, "RoundNo": attempt}
        case Refuse(query, None):
            return {type_key: "OverloadReply", "Ref": query}
        case Refuse(query, retry_after_us):
            return {type_key: "OverloadReply", "Ref": query, "PauseUs": retry_after_us}
        case Fail(query):
            return {type_key: "DropRequest", "Ref": query}
        case SendProbe(engine):
            return {type_key: "Probe", "Node": engine}
        case SetTimer(token, at_us):
            return {type_key: "Defer", "KeyBack": token, "WhenUs": at_us}
        case WatchList(on):
            return {type_key: "Track", "Want": on}


def write_fault(text: str) -> dict[str, Any]:
    return {type_key: "Fatal", "Message": text}
