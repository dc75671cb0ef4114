"""Reads the settings document; the simulator and a gateway's configuration give it in the same form."""

from collections.abc import Mapping
from typing import Any

from whintrail.interface import DedupScope, Effect, LoadReport, QueryClass, ReportSource, Settings, Tenant

EFFECTS = {"repeatable": Effect.REPEATABLE, "by_key": Effect.BY_KEY, "once": Effect.ONCE}
DEDUP_SCOPES = {"all": DedupScope.ALL, "zone": DedupScope.ZONE, "cell": DedupScope.CELL}
REPORT_SOURCES = {"answers": ReportSource.ANSWERS, "probe": ReportSource.PROBES}


def get_or_default(data: Mapping[str, Any], name: str, default: Any) -> Any:
    """The member, or the default if it is absent or null; zero counts as a value."""
    value = data.get(name)
    return default if value is None else value


def _item_or_default(values: Any, index: int, default: Any) -> Any:
    return values[index] if isinstance(values, list) and index < len(values) else default


def _optional_names(value: Any) -> tuple[str, ...] | None:
    return None if value is None else tuple(value)


def read_settings(document: Mapping[str, Any]) -> Settings:
    """Read the settings; unknown members are ignored and absent ones get their defaults."""
    family = get_or_default(document, "FamilyInfo", {})
    limits = get_or_default(document, "Limits", {})
    rules = get_or_default(document, "Rules", {})
    reporting = get_or_default(document, "Reporting", {})
    kinds = get_or_default(document, "Shapes", [])
    classes = tuple(
        QueryClass(
            name=item["Name"],
            target_latency_us=get_or_default(item, "AimUs", item["DeadlineUs"]),
            target_latency_ratio=get_or_default(item, "AimStretch", 0.0),
            deadline_us=item["DeadlineUs"],
            effect=EFFECTS.get(get_or_default(item, "Effect", "once"), Effect.ONCE),
            dedup_scope=DEDUP_SCOPES.get(get_or_default(item, "Group", "cell"), DedupScope.CELL),
            dedup_window_us=get_or_default(item, "WindowUs", 0),
            worth=get_or_default(item, "Worth", 1.0),
            late_share=get_or_default(item, "LateShare", 0.0),
            ordered_by_key=get_or_default(item, "KeepOrder", False),
            zones=_optional_names(item.get("AllowedIn")),
            kinds=_optional_names(item.get("ShapesOnly")),
            threads=_item_or_default(family.get("Dop"), index, 1),
            is_load=_item_or_default(family.get("ClassLoad"), index, False),
            blocked_by_loads=_item_or_default(family.get("BlockedByLoads"), index, False),
        )
        for index, item in enumerate(get_or_default(document, "Classes", []))
    )
    cores, memory = family.get("CpuOfKind"), family.get("SizeMb")
    return Settings(
        fleet_size=get_or_default(document, "FleetSize", 1),
        local_number=get_or_default(document, "Me", 0),
        zone=get_or_default(document, "Zone", ""),
        classes=classes,
        tenants=tuple(
            Tenant(item["Name"], item["QuotaRps"])
            for item in get_or_default(document, "Orgs", [])
            if item.get("QuotaRps") is not None
        ),
        kind_cores={
            kind: c for i, kind in enumerate(kinds) if (c := _item_or_default(cores, i, None)) is not None
        },
        kind_memory_mb={
            kind: m for i, kind in enumerate(kinds) if (m := _item_or_default(memory, i, None)) is not None
        },
        max_memory_grant_share=get_or_default(family, "MaxGrantShare", 1.0),
        memory_grants_honored=get_or_default(family, "MemoryHeeded", False),
        priorities_honored=get_or_default(family, "Priorities", False),
        reports_cost=get_or_default(family, "TellsCost", False),
        progress_interval_us=get_or_default(family, "ProgressPaceUs", 0),
        report_source=REPORT_SOURCES.get(get_or_default(reporting, "How", "none"), ReportSource.NONE),
        probes_allowed=get_or_default(limits, "Probing", False),
        cancel_allowed=get_or_default(limits, "MayCancel", False),
        concurrent_attempts_allowed=get_or_default(limits, "SecondCopies", False),
        peer_messages_allowed=get_or_default(limits, "MayTell", False),
        retry_after=get_or_default(limits, "RetryAfter", False),
        max_retry_after_us=get_or_default(limits, "MaxRetryAfterUs", 0),
        max_attempts=limits.get("MaxAttempts"),
        max_open=limits.get("MaxOpen"),
        keepalive_us=get_or_default(limits, "KeepaliveUs", 30_000_000),
        tick_us=get_or_default(document, "TickUs", 0),
        list_on_request=get_or_default(document, "MembershipMode", "pushed") == "on_request",
        max_list_age_us=rules.get("MustAskInUs"),
        warmup_us=get_or_default(rules, "ColdUs", 0),
        initial_capacity_share=get_or_default(rules, "StartCapacity", 1.0),
        overload_multiple=rules.get("TipMultiple"),
        overload_window_us=get_or_default(rules, "TipAfterUs", 0),
        order_settle_us=get_or_default(rules, "OrderSettleUs", 0),
        retry_budget_ratio=rules.get("FurtherRatio"),
        retry_budget_free=get_or_default(rules, "ExtraFree", 0),
        retry_budget_window_us=get_or_default(rules, "RatioSpanUs", 0),
        cross_zone_price=get_or_default(get_or_default(document, "Prices", {}), "CrossZone", 0.0),
    )


def report_fields(document: Mapping[str, Any]) -> tuple[str, ...]:
    """Names of the values in a load report, in their order."""
    return tuple(get_or_default(get_or_default(document, "Reporting", {}), "Fields", []))


def read_report(values: Mapping[str, float]) -> LoadReport:
    """Read a load report from values by name; unknown names are ignored."""
    return LoadReport(
        values.get("cpu_share"), values.get("busy_reqs"), values.get("pending"), values.get("x0")
    )
