"""Translates between the simulator's protocol (JSON, one batch a line) and the types of interface.py."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from whintrail.interface import (
    Action,
    AttemptFinished,
    AttemptStatusReceived,
    CancelAttempt,
    ClientDisconnected,
    EngineEntry,
    EngineListReceived,
    EngineState,
    Event,
    FailQuery,
    ListKind,
    LoadReport,
    Outcome,
    PeerMessageReceived,
    ProbeFinished,
    QueryArrived,
    RefuseQuery,
    SendAttempt,
    SendPeerMessage,
    SendProbe,
    SetGrantAndPriority,
    SetTimer,
    StatusTopic,
    TimerFired,
    WatchEngineList,
)
from whintrail.settings import get_or_default, read_report, read_settings, report_fields

TYPE_KEY = "event_type"

OUTCOMES = {
    0: Outcome.ERROR,
    1: Outcome.OK,
    2: Outcome.FULL,
    3: Outcome.TIMEOUT,
    4: Outcome.CONNECT_FAILED,
    5: Outcome.RESET,
    6: Outcome.CANCELLED,
    7: Outcome.NOT_STARTED,
}
STATES = {0: EngineState.REMOVED, 1: EngineState.READY, 2: EngineState.DRAINING}
LIST_KINDS = {0: ListKind.CACHED, 1: ListKind.FULL, 2: ListKind.DELTA, 3: ListKind.FAILED}
TOPICS = {1: StatusTopic.PROGRESS, 2: StatusTopic.SPILL, 3: StatusTopic.WAIT}
COST_ESTIMATE_BIT = 1
REPEAT_BIT = 2
# An answer reports its cost in one number: work in ms x 4096 + memory in units of 4 MB.
REPORTED_COST_WORK_FACTOR = 4096
REPORTED_COST_MEMORY_UNIT_MB = 4


class WireError(ValueError):
    """The line is not a message of this protocol."""


def read_entries(records: Iterable[Mapping[str, Any]]) -> tuple[EngineEntry, ...]:
    """Read the entries of a numbered engine list."""
    return tuple(
        EngineEntry(
            engine=item["Node"],
            kind=get_or_default(item, "ClassOfHost", ""),
            zone=get_or_default(item, "Dc", ""),
            cell=get_or_default(item, "UnitGroup", 0),
            weight=get_or_default(item, "CapacityHint", 1.0),
            state=STATES.get(item["Readiness"], EngineState.DRAINING),
            started_us=item.get("LaunchedUs") or None,
        )
        for item in records
    )


def _read_row(fields: tuple[str, ...], row: Any) -> LoadReport | None:
    if not isinstance(row, list):
        return None
    return read_report(dict(zip(fields, row, strict=False)))


class EventReader:
    """Reads the events of one instance, by the report fields and cost reports of its settings."""

    def __init__(self, info: Mapping[str, Any]) -> None:
        self.settings = read_settings(info)
        self.report_fields = report_fields(info)

    def read_event(
        self, data: Mapping[str, Any], lists: Mapping[int, tuple[EngineEntry, ...]]
    ) -> Event | None:
        """Read an event; None if the policy has no use for it."""
        read = _EVENT_READERS.get(data[TYPE_KEY])
        return read(self, data, lists) if read else None

    def _read_query_arrived(self, data: Mapping[str, Any], _: Any) -> Event:
        bits = get_or_default(data, "Bitmap", 0)
        tenant = data.get("Team")
        return QueryArrived(
            query=data["Ref"],
            class_name=data["TierClass"],
            deadline_at_us=data["GiveUpAtUs"],
            cost_us=data.get("PlanCostUs") if bits & COST_ESTIMATE_BIT else None,
            memory_mb=data.get("MemMb") or None,
            table_group=data.get("SourceSet"),
            ordering_key=data.get("Table"),
            tenant=tenant if isinstance(tenant, str) else None,
            is_repeat=bool(bits & REPEAT_BIT),
        )

    def _read_attempt_finished(self, data: Mapping[str, Any], _: Any) -> Event:
        used = get_or_default(data, "UsedUp", 0) if self.settings.reports_cost else 0
        return AttemptFinished(
            query=data["Ref"],
            attempt=data["RoundNo"],
            engine=data["Node"],
            outcome=OUTCOMES.get(data["How"], Outcome.UNKNOWN),
            elapsed_us=get_or_default(data, "WaitTimeUs", 0),
            final=get_or_default(data, "NoMore", False),
            work_ms=used // REPORTED_COST_WORK_FACTOR if used else None,
            memory_mb=used % REPORTED_COST_WORK_FACTOR * REPORTED_COST_MEMORY_UNIT_MB if used else None,
            report=_read_row(self.report_fields, data.get("Feedback")),
        )

    def _read_probe_finished(self, data: Mapping[str, Any], _: Any) -> Event:
        outcome = OUTCOMES.get(data["How"], Outcome.UNKNOWN)
        report = _read_row(self.report_fields, data.get("Feedback"))
        return ProbeFinished(data["Node"], outcome, get_or_default(data, "WaitTimeUs", 0), report)

    def _read_attempt_status(self, data: Mapping[str, Any], _: Any) -> Event | None:
        topic = TOPICS.get(data["Topic"])
        if topic is None:
            return None
        return AttemptStatusReceived(
            data["Ref"], data["RoundNo"], data["Node"], topic, get_or_default(data, "Level", 0)
        )

    def _read_engine_list(
        self, data: Mapping[str, Any], lists: Mapping[int, tuple[EngineEntry, ...]]
    ) -> Event | None:
        kind = LIST_KINDS.get(data["Scope"])
        if kind is None:
            return None
        return EngineListReceived(kind, () if kind is ListKind.FAILED else lists[data["SetId"]])

    def _read_client_disconnected(self, data: Mapping[str, Any], _: Any) -> Event:
        return ClientDisconnected(data["Ref"])

    def _read_peer_message(self, data: Mapping[str, Any], _: Any) -> Event:
        return PeerMessageReceived(data["OriginPeer"], bytes.fromhex(data["Payload"]))

    def _read_timer_fired(self, data: Mapping[str, Any], _: Any) -> Event:
        return TimerFired(data["KeyBack"])


_EventReadFunction = Callable[
    [EventReader, Mapping[str, Any], Mapping[int, tuple[EngineEntry, ...]]], Event | None
]
_EVENT_READERS: dict[str, _EventReadFunction] = {
    "Knock": EventReader._read_query_arrived,
    "Expired": EventReader._read_client_disconnected,
    "Result": EventReader._read_attempt_finished,
    "HealthResult": EventReader._read_probe_finished,
    "HintUpdate": EventReader._read_attempt_status,
    "Mail": EventReader._read_peer_message,
    "Timer": EventReader._read_timer_fired,
    "Targets": EventReader._read_engine_list,
}


def write_action(action: Action) -> dict[str, Any]:
    """Write an action as a message, without its absent values."""
    match action:
        case SendAttempt(query, engine, timeout_us):
            return {TYPE_KEY: "PassOn", "Ref": query, "Node": engine, "LimitUs": timeout_us}
        case SetGrantAndPriority(query, grant_mb, priority):
            return {TYPE_KEY: "Tune", "Ref": query, "MemoryGrant": grant_mb, "Priority": priority}
        case CancelAttempt(query, attempt):
            return {TYPE_KEY: "AbortAttempt", "Ref": query, "RoundNo": attempt}
        case RefuseQuery(query, None):
            return {TYPE_KEY: "OverloadReply", "Ref": query}
        case RefuseQuery(query, retry_after_us):
            return {TYPE_KEY: "OverloadReply", "Ref": query, "PauseUs": retry_after_us}
        case FailQuery(query):
            return {TYPE_KEY: "DropRequest", "Ref": query}
        case SendProbe(engine):
            return {TYPE_KEY: "Probe", "Node": engine}
        case SendPeerMessage(target, payload):
            recipient = "all" if target is None else target
            return {TYPE_KEY: "MemoTo", "Target": recipient, "Payload": payload.hex()}
        case SetTimer(token, at_us):
            return {TYPE_KEY: "Defer", "KeyBack": token, "WhenUs": at_us}
        case WatchEngineList(enabled):
            return {TYPE_KEY: "Track", "Want": enabled}


def write_fault(text: str) -> dict[str, Any]:
    """Write the message that reports an exception and stops the run."""
    return {TYPE_KEY: "Fatal", "Message": text}
