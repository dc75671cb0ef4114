"""The table by role as data: each row's slope x what it grows with, its budget, and what carries it
today. Pure."""

import math

from whintrail.fleet import probe_reports
from whintrail.fleet.state import ProposeVersion, SettleVersion
from whintrail.fleet.wire import (
    AnyMessage,
    CommittedEntries,
    Entry,
    GatewayReport,
    LeaseReply,
    LeaseRequest,
    encode,
)
from whintrail.interface import LoadReport
from whintrail.scale.capacity import Estimate, EvaluationPoint, NotMeasured, Row, daily_rate_per_s, exact
from whintrail.scale.inputs import input_value as given

MB = 1 << 20
DATA_PATH_ROLE, CONTROL_ROLE, ENGINE_ROLE = "gateway, data path", "gateway, control", "engine"
COUNCIL_MEMBER_ROLE, LEADER_ROLE = "council: member", "council: leader"
BULLETIN_ROLE, CONTROL_MACHINE_ROLE, COMMAND_ROLE = "bulletin", "control machine", "operator's command"
ROLES = (
    DATA_PATH_ROLE,
    CONTROL_ROLE,
    ENGINE_ROLE,
    COUNCIL_MEMBER_ROLE,
    LEADER_ROLE,
    BULLETIN_ROLE,
    CONTROL_MACHINE_ROLE,
    COMMAND_ROLE,
)

CHANGES_PER_S = daily_rate_per_s("changes_a_day")
CONTROL_CPU_BUDGET, CONTROL_BYTES_PER_S_BUDGET, CONTROL_MEMORY_BUDGET_BYTES = (
    given("control_cpu"),
    given("control_bytes_per_s"),
    given("control_memory_mb") * MB,
)
IN_FORCE_BUDGET_S, PRIMARY_CHANGE_BUDGET_S = given("in_force_s"), given("primary_change_s")
REBROADCASTS_PER_ENTRY, ENTRIES_PER_CHANGE, LEASE_REQUESTS_PER_S = (
    given("retells"),
    given("entry_commands"),
    given("lease_asks_per_s"),
)
ANSWER_SLACK_MS = given("answer_slack_ms")
STATEMENTS_PER_GATEWAY_PER_S = given("statements_per_s") / given("gateways")  # a gateway, in the mean
CLIENTS_PER_GATEWAY = given("client_connections") / given("gateways")


def datagram_bytes(message: AnyMessage) -> float:
    """Bytes on the wire, encoded as the program does, with the heads of IPv4 and UDP."""
    return len(encode(0xFFFFFFFF, 0xFFF, 0xFFFFFFFF, 0xFFFFFFFF, message)) + given("datagram_overhead")


LARGE_U32, LARGE_U64, LARGE_EPOCH = 0xFFFFFFF0, (1 << 62) - 1, 1 << 33
LEASE_REQUEST_BYTES = datagram_bytes(LeaseRequest(LARGE_U32, LARGE_U32, False, LARGE_U64, ""))
LEASE_REPLY_BYTES = datagram_bytes(LeaseReply(LARGE_U32, LARGE_U32, False, 1200))
SETTLE_ENTRY_BYTES = datagram_bytes(
    CommittedEntries(
        LARGE_EPOCH, LARGE_U32, LARGE_U32, 3999, (Entry(LARGE_U32, 9, SettleVersion(LARGE_U32)),)
    )
)
PROPOSE_ENTRY_BYTES = datagram_bytes(
    CommittedEntries(
        LARGE_EPOCH,
        LARGE_U32,
        LARGE_U32,
        3999,
        (Entry(LARGE_U32, 9, ProposeVersion(LARGE_U32, LARGE_U64, 3999, "w" * 16, LARGE_EPOCH)),),
    )
)
GATEWAY_REPORT_BYTES = datagram_bytes(
    GatewayReport(LARGE_EPOCH, 9, LARGE_U32, "b42", 3, LARGE_U32, 0, (), ((LARGE_U32, 9, 9, 9),) * 4)
)
PROBE_REPORT_BYTES = len(
    probe_reports.encode([probe_reports.ProbeReport(0, 0, LoadReport(0.5, 1, 0, 0.5))])
) + given("datagram_overhead")
CHANGE_BROADCAST_BYTES = (
    PROPOSE_ENTRY_BYTES + (ENTRIES_PER_CHANGE - 1) * SETTLE_ENTRY_BYTES
)  # the entries of one change of settings, told once


def cpu_share(duration_us: Estimate, times_per_s: float) -> Estimate:
    """Of one core, of something that takes so many microseconds."""
    return duration_us * (times_per_s / 1e6)


# --- Gateway, data path.


def _links_per_gateway(s: EvaluationPoint) -> Estimate:
    """Engines that statements drawn evenly reach within the time that an idle link is kept."""
    drawn = STATEMENTS_PER_GATEWAY_PER_S * given("keepalive_s")
    if s.fit_cache.subset:  # of those that it keeps
        return s.estimate("part_engines_free", "engines")
    return exact(s.engines * -math.expm1(-drawn / s.engines))


def _statement_cpu(s: EvaluationPoint) -> Estimate:
    each = s.estimate("query_marginal_cpu_us", "engines", kind="real")
    return cpu_share(each, STATEMENTS_PER_GATEWAY_PER_S * given("peak_over_mean"))


def _routing_cpu(s: EvaluationPoint) -> Estimate:
    each = s.estimate("module_query_us", "engines") + s.estimate("module_ended_us", "engines")
    return cpu_share(each, STATEMENTS_PER_GATEWAY_PER_S)


def _full_list_ms(s: EvaluationPoint) -> Estimate:
    read = s.estimate("list_read_whole_us", "engines") + s.estimate("gateway_update_whole_us", "engines")
    return (read + s.estimate("module_list_whole_us", "engines")) * 1e-3


def _list_event_us(s: EvaluationPoint) -> Estimate:
    read = s.estimate("list_read_delta_us", "engines") + s.estimate("gateway_update_delta_us", "engines")
    return read + s.estimate("module_list_delta_us", "engines")


# --- Gateway, control.


def _refresh_cpu(s: EvaluationPoint) -> Estimate:
    return cpu_share(s.estimate("module_refresh_us", "engines"), given("refresh_per_s"))


def _sweep_cpu(s: EvaluationPoint) -> Estimate:
    return cpu_share(s.estimate("module_sweep_us", "engines"), given("sweep_per_s"))


def _list_event_cpu(s: EvaluationPoint) -> Estimate:
    return cpu_share(_list_event_us(s) + s.estimate("list_digest_us", "engines"), CHANGES_PER_S)


def _probe_report_cpu(s: EvaluationPoint) -> Estimate:
    """By the sightings: memos of a subset hold several."""
    datagrams, size = s.estimate("memo_datagrams_per_s", "engines"), s.estimate("memo_bytes_per_s", "engines")
    each = s.estimate("module_memo_us", "engines")
    head = given("datagram_overhead") + probe_reports.HEADER.size
    parts = zip(_bounds(datagrams), _bounds(size), _bounds(each), strict=True)
    return Estimate(*(max(0.0, b - head * d) / probe_reports.ENTRY.size * us / 1e6 for d, b, us in parts))


def _bounds(estimate: Estimate) -> tuple[float, float, float]:
    return estimate.value, estimate.low, estimate.high


def _node_cpu(s: EvaluationPoint) -> Estimate:
    return s.estimate("node_cpu_share", "gateways", role="gateway")


def _membership_cpu(s: EvaluationPoint) -> Estimate:
    return cpu_share(s.estimate("membership_tick_us", "gateways"), given("turns_per_s"))


def _total_cpu(s: EvaluationPoint) -> Estimate:
    return _refresh_cpu(s) + _sweep_cpu(s) + _list_event_cpu(s) + _probe_report_cpu(s) + _node_cpu(s)


def _list_event_bytes(s: EvaluationPoint) -> Estimate:
    return (s.estimate_slope("list_line_bytes", "engines") + exact(given("segment_overhead"))) * CHANGES_PER_S


def probe_report_bytes(s: EvaluationPoint) -> Estimate:
    """Heard, and told to each gateway by itself: where one address stands for all, the first alone."""
    heard = s.estimate("memo_bytes_per_s", "engines")
    try:
        return heard + s.estimate("memo_sent_bytes_per_s", "engines")
    except NotMeasured:  # one sighting each, where there is no subset
        return heard + s.estimate("memo_sent_datagrams_per_s", "engines") * PROBE_REPORT_BYTES


def _node_bytes(s: EvaluationPoint) -> Estimate:
    return s.estimate("node_bytes_per_s", "gateways", role="gateway")


def _decision_bytes(s: EvaluationPoint) -> Estimate:
    fetched = s.estimate("version_body_fetch_bytes", "engines")
    return (s.estimate("log_told_bytes", "gateways") + fetched) * CHANGES_PER_S


def _total_bytes(s: EvaluationPoint) -> Estimate:
    return probe_report_bytes(s) + _node_bytes(s) + _list_event_bytes(s) + _decision_bytes(s)


def _total_memory(s: EvaluationPoint) -> Estimate:
    both = s.estimate("module_bytes", "engines") + s.estimate("node_bytes", "gateways", role="gateway")
    return both + s.estimate("part_bytes", "engines") if s.fit_cache.subset else both


def _sequential_changes_share(s: EvaluationPoint) -> Estimate:
    return (
        s.estimate("version_in_force_s", "gateways", kind="simulated", note="one after another")
        * CHANGES_PER_S
    )


def _hollow_bytes(s: EvaluationPoint) -> Estimate:
    heard = s.estimate("bytes_in_per_s", "gateways", kind="hollow", role="gateway")
    return heard + s.estimate("bytes_out_per_s", "gateways", kind="hollow", role="gateway")


# --- The leader.


def _lease_cpu(s: EvaluationPoint) -> Estimate:
    each = s.estimate("node_take_us", "gateways", role="leader")
    return cpu_share(each, LEASE_REQUESTS_PER_S * s.gateways)


def _leader_network_share(s: EvaluationPoint) -> Estimate:
    a_gateway = (
        LEASE_REQUESTS_PER_S * (LEASE_REQUEST_BYTES + LEASE_REPLY_BYTES)
        + REBROADCASTS_PER_ENTRY * CHANGES_PER_S * CHANGE_BROADCAST_BYTES
    )
    a_gateway += given("reports_per_s") * GATEWAY_REPORT_BYTES
    return exact(a_gateway * s.gateways * 8 / 1e9 / given("control_machine_gbit_per_s"))


def _rebroadcast_datagrams(s: EvaluationPoint) -> Estimate:
    return exact(REBROADCASTS_PER_ENTRY * ENTRIES_PER_CHANGE * CHANGES_PER_S * s.gateways)


# --- The bulletin.


def _bulletin_event_share(s: EvaluationPoint) -> Estimate:
    bits = (s.estimate_slope("list_line_bytes", "engines") + exact(given("segment_overhead"))) * 8
    return bits * (CHANGES_PER_S * s.gateways / 1e9 / given("bulletin_gbit_per_s"))


def _bulletin_full_list_s(s: EvaluationPoint) -> Estimate:
    line = s.estimate("list_line_bytes", "engines")
    return line * (8 * s.gateways / 1e9 / given("bulletin_gbit_per_s"))


ONE_CORE, ONE_CORE_LABEL = 1.0, "a core: one process, one loop"
CPU_BUDGET_LABEL, BYTES_BUDGET_LABEL, MEMORY_BUDGET_LABEL = "1.4% of a core", "4 KB/s", "64 MB"
ROUTING_POLICY_PATH = "whintrail/routing.py:RoutingPolicy."

ROWS: tuple[Row, ...] = (
    Row(
        "statements",
        DATA_PATH_ROLE,
        "statements in, at the peak",
        "1/s",
        "neither",
        lambda s: exact(STATEMENTS_PER_GATEWAY_PER_S * given("peak_over_mean")),
        None,
        "",
        "whintrail/gateway/sessions.py:Session",
        f"statements / gateways x peak {given('peak_over_mean'):g}",
    ),
    Row(
        "choose_cpu",
        DATA_PATH_ROLE,
        "a statement in the module: choosing, and its end",
        "share",
        "engines",
        _routing_cpu,
        given("data_path_cores") - CONTROL_CPU_BUDGET,
        "a core less control's 1.4%",
        ROUTING_POLICY_PATH + "_choose",
        f"(module_query_us + module_ended_us) x {STATEMENTS_PER_GATEWAY_PER_S:,.0f} statements/s",
    ),
    Row(
        "statement_cpu",
        DATA_PATH_ROLE,
        "a statement in all, at the peak",
        "share",
        "engines",
        _statement_cpu,
        given("data_path_cores") - CONTROL_CPU_BUDGET,
        "a core less control's 1.4%",
        "whintrail/gateway/dispatcher.py:Dispatcher._on_query",
        f"query_marginal_cpu_us x {STATEMENTS_PER_GATEWAY_PER_S:,.0f}/s x peak {given('peak_over_mean'):g}",
    ),
    Row(
        "refresh_stand",
        DATA_PATH_ROLE,
        "a query that meets `_refresh` waits",
        "ms",
        "engines",
        lambda s: s.estimate("module_refresh_us", "engines") * 1e-3,
        ANSWER_SLACK_MS,
        "the slack of a final answer",
        ROUTING_POLICY_PATH + "_refresh",
        "module_refresh_us, in one go",
    ),
    Row(
        "delta_stand",
        DATA_PATH_ROLE,
        "a query that meets a list event waits",
        "ms",
        "engines",
        lambda s: _list_event_us(s) * 1e-3,
        ANSWER_SLACK_MS,
        "the slack of a final answer",
        ROUTING_POLICY_PATH + "_listed",
        "list_read_delta_us + gateway_update_delta_us + module_list_delta_us, in one go",
    ),
    Row(
        "whole_list_stand",
        DATA_PATH_ROLE,
        "a query that meets a whole list waits",
        "ms",
        "engines",
        _full_list_ms,
        ANSWER_SLACK_MS,
        "the slack of a final answer",
        "whintrail/gateway/bulletin.py:read_list_update",
        "list_read_whole_us + gateway_update_whole_us + module_list_whole_us, in one go",
    ),
    Row(
        "whole_list_stall",
        DATA_PATH_ROLE,
        "a whole list, as an empty query meets it, measured",
        "ms",
        "engines",
        lambda s: s.estimate(
            "loop_stall_ms", "engines", kind="real", note="an empty query's longest answer, whole list"
        ),
        ANSWER_SLACK_MS,
        "the slack of a final answer",
        "whintrail/gateway/dispatcher.py:Dispatcher._forward_engine_list",
        "loop_stall_ms, whole list",
        is_total=True,
    ),
    Row(
        "one_entry_stall",
        DATA_PATH_ROLE,
        "a list event, as an empty query meets it, measured",
        "ms",
        "engines",
        lambda s: s.estimate(
            "loop_stall_ms", "engines", kind="real", note="an empty query's longest answer, one entry"
        ),
        ANSWER_SLACK_MS,
        "the slack of a final answer",
        "whintrail/gateway/dispatcher.py:Dispatcher._forward_engine_list",
        "loop_stall_ms, one entry",
        is_total=True,
    ),
    Row(
        "clients",
        DATA_PATH_ROLE,
        "clients' connections, a descriptor each",
        "count",
        "neither",
        lambda s: exact(CLIENTS_PER_GATEWAY),
        given("client_limit"),
        "45% of 1,024 descriptors",
        "whintrail/gateway/limits.py:Limits.read",
        "client connections / gateways",
        "setting `sockets`",
    ),
    Row(
        "links",
        DATA_PATH_ROLE,
        "links to engines, at most (draws even)",
        "count",
        "engines",
        _links_per_gateway,
        given("link_limit"),
        "35% of 1,024 descriptors",
        "whintrail/gateway/links.py:LinkPool",
        "engines x (1 - e^(-statements in the keepalive / engines))",
        "setting `sockets`",
    ),
    Row(
        "client_memory",
        DATA_PATH_ROLE,
        "memory of clients' connections",
        "bytes",
        "neither",
        lambda s: s.estimate("memory_a_connection_bytes", "gateways", kind="real") * CLIENTS_PER_GATEWAY,
        given("memory_mb") * MB,
        "192 MB, the platform's most",
        "whintrail/gateway/sessions.py:Session",
        "memory_a_connection_bytes x connections a gateway",
        "setting `memory_mb`",
    ),
    Row(
        "refresh_cpu",
        CONTROL_ROLE,
        "the module's `_refresh`",
        "share",
        "engines",
        _refresh_cpu,
        CONTROL_CPU_BUDGET,
        CPU_BUDGET_LABEL,
        ROUTING_POLICY_PATH + "_refresh",
        f"module_refresh_us x {given('refresh_per_s'):g}/s",
    ),
    Row(
        "sweep_cpu",
        CONTROL_ROLE,
        "the module's sweep without it",
        "share",
        "engines",
        _sweep_cpu,
        CONTROL_CPU_BUDGET,
        CPU_BUDGET_LABEL,
        ROUTING_POLICY_PATH + "_timer",
        f"module_sweep_us x {given('sweep_per_s'):g}/s",
    ),
    Row(
        "delta_cpu",
        CONTROL_ROLE,
        "list events, one change each",
        "share",
        "engines",
        _list_event_cpu,
        CONTROL_CPU_BUDGET,
        CPU_BUDGET_LABEL,
        ROUTING_POLICY_PATH + "_listed",
        f"(the same + list_digest_us) x {CHANGES_PER_S:.2f}/s",
    ),
    Row(
        "memo_cpu",
        CONTROL_ROLE,
        "memos of probes, taken in",
        "share",
        "engines",
        _probe_report_cpu,
        CONTROL_CPU_BUDGET,
        CPU_BUDGET_LABEL,
        ROUTING_POLICY_PATH + "_told",
        "sightings in memo_bytes_per_s x module_memo_us",
    ),
    Row(
        "member_cpu",
        CONTROL_ROLE,
        "membership's turns",
        "share",
        "gateways",
        _membership_cpu,
        CONTROL_CPU_BUDGET,
        CPU_BUDGET_LABEL,
        "whintrail/fleet/membership.py:Membership.tick",
        f"membership_tick_us x {given('turns_per_s'):g}/s",
    ),
    Row(
        "node_cpu",
        CONTROL_ROLE,
        "the fleet's node in all, membership's too",
        "share",
        "gateways",
        _node_cpu,
        CONTROL_CPU_BUDGET,
        CPU_BUDGET_LABEL,
        "whintrail/fleet/node.py:FleetNode.tick",
        "node_cpu_share",
    ),
    Row(
        "cpu_sum",
        CONTROL_ROLE,
        "processor time of all of these",
        "share",
        "both",
        _total_cpu,
        CONTROL_CPU_BUDGET,
        CPU_BUDGET_LABEL,
        "whintrail/routing.py:RoutingPolicy",
        "refresh + sweep + list events + memos + node",
        is_total=True,
    ),
    Row(
        "hollow_cpu",
        CONTROL_ROLE,
        "processor time of a hollow gateway, measured",
        "share",
        "engines",
        lambda s: s.estimate("control_cpu_share", "engines", kind="hollow", role="gateway"),
        CONTROL_CPU_BUDGET,
        CPU_BUDGET_LABEL,
        "whintrail/routing.py:RoutingPolicy",
        "control_cpu_share over engines",
        is_total=True,
    ),
    Row(
        "hollow_cpu_fleet",
        CONTROL_ROLE,
        "the same, over gateways",
        "share",
        "gateways",
        lambda s: s.estimate("control_cpu_share", "gateways", kind="hollow", role="gateway"),
        CONTROL_CPU_BUDGET,
        CPU_BUDGET_LABEL,
        "whintrail/fleet/node.py:FleetNode",
        "control_cpu_share over gateways",
        is_total=True,
    ),
    Row(
        "hollow_bytes",
        CONTROL_ROLE,
        "datagrams of a hollow gateway, in and out, memos too",
        "bytes/s",
        "gateways",
        _hollow_bytes,
        CONTROL_BYTES_PER_S_BUDGET,
        BYTES_BUDGET_LABEL,
        "whintrail/gateway/peers.py:PeerTransport",
        "bytes_in_per_s + bytes_out_per_s over gateways",
        is_total=True,
    ),
    Row(
        "memo_datagrams",
        CONTROL_ROLE,
        "memos heard",
        "datagrams/s",
        "engines",
        lambda s: s.estimate("memo_datagrams_per_s", "engines"),
        None,
        "",
        ROUTING_POLICY_PATH + "_probed",
        "memo_datagrams_per_s",
    ),
    Row(
        "memo_bytes",
        CONTROL_ROLE,
        "memos heard and told",
        "bytes/s",
        "engines",
        probe_report_bytes,
        CONTROL_BYTES_PER_S_BUDGET,
        BYTES_BUDGET_LABEL,
        ROUTING_POLICY_PATH + "_probed",
        "memo_bytes_per_s + memo_sent_bytes_per_s",
    ),
    Row(
        "member_bytes",
        CONTROL_ROLE,
        "the fleet's datagrams, in and out",
        "bytes/s",
        "gateways",
        _node_bytes,
        CONTROL_BYTES_PER_S_BUDGET,
        BYTES_BUDGET_LABEL,
        "whintrail/fleet/node.py:FleetNode.flush",
        "node_bytes_per_s",
    ),
    Row(
        "member_bytes_sim",
        CONTROL_ROLE,
        "the same, simulated",
        "bytes/s",
        "gateways",
        lambda s: s.estimate("member_bytes_per_s", "gateways", kind="simulated", role="gateway"),
        CONTROL_BYTES_PER_S_BUDGET,
        BYTES_BUDGET_LABEL,
        "whintrail/fleet/node.py:FleetNode.flush",
        "member_bytes_per_s",
        is_total=True,
    ),
    Row(
        "delta_bytes",
        CONTROL_ROLE,
        "list events, if all changes were those",
        "bytes/s",
        "neither",
        _list_event_bytes,
        CONTROL_BYTES_PER_S_BUDGET,
        BYTES_BUDGET_LABEL,
        "whintrail/gateway/bulletin.py:BulletinClient.process_line",
        f"(list_line_bytes an engine + 52) x {CHANGES_PER_S:.2f}/s",
    ),
    Row(
        "told_bytes",
        CONTROL_ROLE,
        "what is decided and its body, if all were settings",
        "bytes/s",
        "engines",
        _decision_bytes,
        CONTROL_BYTES_PER_S_BUDGET,
        BYTES_BUDGET_LABEL,
        "whintrail/fleet/node.py:FleetNode._rebroadcast",
        f"(log_told_bytes + version_body_fetch_bytes) x {CHANGES_PER_S:.2f}/s",
    ),
    Row(
        "bytes_sum",
        CONTROL_ROLE,
        "bytes of all of these",
        "bytes/s",
        "both",
        _total_bytes,
        CONTROL_BYTES_PER_S_BUDGET,
        BYTES_BUDGET_LABEL,
        "whintrail/gateway/peers.py:PeerTransport",
        "memos + fleet + list events + decided",
        is_total=True,
    ),
    Row(
        "module_memory",
        CONTROL_ROLE,
        "the module's state of engines",
        "bytes",
        "engines",
        lambda s: s.estimate("module_bytes", "engines"),
        CONTROL_MEMORY_BUDGET_BYTES,
        MEMORY_BUDGET_LABEL,
        "whintrail/state.py:Engine",
        "module_bytes",
    ),
    Row(
        "node_memory",
        CONTROL_ROLE,
        "the node's state of gateways",
        "bytes",
        "gateways",
        lambda s: s.estimate("node_bytes", "gateways", role="gateway"),
        CONTROL_MEMORY_BUDGET_BYTES,
        MEMORY_BUDGET_LABEL,
        "whintrail/fleet/node.py:FleetNode",
        "node_bytes",
    ),
    Row(
        "memory_sum",
        CONTROL_ROLE,
        "memory of both",
        "bytes",
        "both",
        _total_memory,
        CONTROL_MEMORY_BUDGET_BYTES,
        MEMORY_BUDGET_LABEL,
        "whintrail/state.py:Engine",
        "module_bytes + node_bytes",
        is_total=True,
    ),
    Row(
        "list_line",
        CONTROL_ROLE,
        "a whole list in one line of the bulletin",
        "bytes",
        "engines",
        lambda s: s.estimate("list_line_bytes", "engines"),
        given("bulletin_line_bytes"),
        "1 MiB: a longer line is refused",
        "whintrail/gateway/bulletin.py:BulletinClient._follow_events",
        "list_line_bytes",
    ),
    Row(
        "version_in_force",
        CONTROL_ROLE,
        "a change in force on all, p99",
        "s",
        "gateways",
        lambda s: s.estimate(
            "version_in_force_s", "gateways", kind="simulated", note="one after another", stat="high"
        ),
        IN_FORCE_BUDGET_S,
        "3 s",
        "whintrail/versions/leader.py:VersionLeader.tick",
        "version_in_force_s, its 99th hundredth",
    ),
    Row(
        "versions_queue",
        CONTROL_ROLE,
        "changes one after another, share of the day",
        "share",
        "gateways",
        _sequential_changes_share,
        1.0,
        "the whole day",
        "whintrail/versions/leader.py:VersionLeader.tick",
        f"version_in_force_s x {CHANGES_PER_S:.2f}/s",
    ),
    Row(
        "list_apply",
        CONTROL_ROLE,
        "a list event held by all, p99",
        "s",
        "gateways",
        lambda s: s.estimate("list_apply_s", "gateways", kind="hollow", day="changes", stat="high"),
        IN_FORCE_BUDGET_S,
        "3 s",
        "whintrail/gateway/bulletin.py:BulletinClient.process_line",
        "list_apply_s, its 99th hundredth",
    ),
    Row(
        "removal_known",
        CONTROL_ROLE,
        "a dead gateway known to nine in ten",
        "s",
        "gateways",
        lambda s: s.estimate("removal_known_s", "gateways", kind="simulated", day="losses"),
        None,
        "",
        "whintrail/fleet/membership.py:Membership._suspicion_us",
        "removal_known_s",
    ),
    Row(
        "newcomer",
        CONTROL_ROLE,
        "the fleet's state with a newcomer",
        "s",
        "gateways",
        lambda s: s.estimate("state_newcomer_s", "gateways", kind="simulated", day="losses"),
        None,
        "",
        "whintrail/fleet/replica.py:Replica.request_missing",
        "state_newcomer_s",
    ),
    Row(
        "keys_shared",
        CONTROL_ROLE,
        "engines told of by nobody, their key shared",
        "share",
        "engines",
        lambda s: exact(1 - (1 - 2.0**-16) ** (s.engines - 1)),
        None,
        "",
        "whintrail/fleet/probe_reports.py:engines_by_key",
        "1 - (1 - 1/65,536)^(engines - 1)",
    ),
    Row(
        "probes",
        CONTROL_ROLE,
        "probes that a gateway sends",
        "1/s",
        "both",
        lambda s: s.estimate("memo_datagrams_per_s", "engines") * (1 / s.gateways),
        None,
        "",
        ROUTING_POLICY_PATH + "_probe",
        "memo_datagrams_per_s / gateways: what all hear, one sends",
    ),
    Row(
        "cold_part",
        CONTROL_ROLE,
        "its part of a cold engine's budget",
        "share",
        "gateways",
        lambda s: s.estimate("cold_part", "gateways"),
        None,
        "",
        ROUTING_POLICY_PATH + "_cold_room",
        "cold_part",
    ),
    Row(
        "engine_statements",
        ENGINE_ROLE,
        "statements, in the mean",
        "1/s",
        "neither",
        lambda s: exact(given("statements_per_s") / given("engines")),
        None,
        "",
        "",
        "statements / engines",
    ),
    Row(
        "engine_links",
        ENGINE_ROLE,
        "links from gateways, at most one each",
        "count",
        "gateways",
        lambda s: exact(s.gateways),
        None,
        "",
        "whintrail/gateway/links.py:LinkPool",
        "1 a gateway",
    ),
    Row(
        "engine_probes",
        ENGINE_ROLE,
        "probes answered",
        "1/s",
        "neither",
        lambda s: exact(1 / given("probe_shared_s")),
        None,
        "",
        ROUTING_POLICY_PATH + "_probe",
        "1 each PROBE_SHARED_US, of the whole fleet",
    ),
    Row(
        "beats",
        COUNCIL_MEMBER_ROLE,
        "log beats and their answers",
        "datagrams/s",
        "neither",
        lambda s: exact(2 * given("beats_per_s")),
        None,
        "",
        "whintrail/fleet/consensus.py:Consensus._send_heartbeats",
        "5/s in, 5/s out, and one each way an entry",
    ),
    Row(
        "council_cpu",
        COUNCIL_MEMBER_ROLE,
        "a member of the council, hollow",
        "share",
        "gateways",
        lambda s: s.estimate("control_cpu_share", "gateways", kind="hollow", role="control machine"),
        ONE_CORE,
        ONE_CORE_LABEL,
        "whintrail/fleet/consensus.py:Consensus",
        "control_cpu_share of a member of the council",
    ),
    Row(
        "leader_cpu",
        LEADER_ROLE,
        "the leader's node, simulated",
        "share",
        "gateways",
        lambda s: s.estimate("leader_cpu_share", "gateways", kind="simulated"),
        ONE_CORE,
        ONE_CORE_LABEL,
        "whintrail/fleet/node.py:FleetNode._run_leader",
        "leader_cpu_share",
        is_total=True,
    ),
    Row(
        "leader_node",
        LEADER_ROLE,
        "its node in all",
        "share",
        "gateways",
        lambda s: s.estimate("node_cpu_share", "gateways", role="leader"),
        ONE_CORE,
        ONE_CORE_LABEL,
        "whintrail/fleet/node.py:FleetNode._run_leader",
        "node_cpu_share of the leader",
    ),
    Row(
        "leader_engines",
        LEADER_ROLE,
        "all engines gathered, each turn",
        "share",
        "engines",
        lambda s: cpu_share(s.estimate("leader_engines_us", "engines", role="leader"), given("turns_per_s")),
        ONE_CORE,
        ONE_CORE_LABEL,
        "whintrail/gateway/fleet.py:FleetService.engines",
        f"leader_engines_us x {given('turns_per_s'):g}/s",
    ),
    Row(
        "leader_sum",
        LEADER_ROLE,
        "both of these",
        "share",
        "both",
        lambda s: (
            s.estimate("node_cpu_share", "gateways", role="leader")
            + cpu_share(s.estimate("leader_engines_us", "engines", role="leader"), given("turns_per_s"))
        ),
        ONE_CORE,
        ONE_CORE_LABEL,
        "whintrail/gateway/fleet.py:FleetService.engines",
        "its node + all engines gathered",
        "some lines: engines gathered when a list event comes",
        True,
    ),
    Row(
        "leader_memory",
        LEADER_ROLE,
        "its node's state",
        "bytes",
        "gateways",
        lambda s: s.estimate("node_bytes", "gateways", role="leader"),
        CONTROL_MEMORY_BUDGET_BYTES,
        MEMORY_BUDGET_LABEL,
        "whintrail/fleet/leader.py:Leader",
        "node_bytes of the leader",
    ),
    Row(
        "lease_answered",
        LEADER_ROLE,
        f"asks for leases that are answered, at {given('messages_per_s'):g} messages/s",
        "share",
        "gateways",
        lambda s: s.estimate("leader_lease_answered", "gateways", role="leader"),
        None,
        "",
        "whintrail/fleet/node.py:SendBudget.take",
        "leader_lease_answered",
    ),
    Row(
        "lease_cpu",
        LEADER_ROLE,
        "asks for leases, taken in",
        "share",
        "gateways",
        _lease_cpu,
        ONE_CORE,
        ONE_CORE_LABEL,
        "whintrail/versions/leader.py:VersionLeader.grant_lease",
        f"node_take_us x {LEASE_REQUESTS_PER_S:g}/s a gateway",
    ),
    Row(
        "lease_datagrams",
        LEADER_ROLE,
        "asks for leases and answers",
        "datagrams/s",
        "gateways",
        lambda s: exact(2 * LEASE_REQUESTS_PER_S * s.gateways),
        None,
        "",
        "whintrail/versions/leader.py:VersionLeader.grant_lease",
        f"{LEASE_REQUESTS_PER_S:g}/s a gateway, each way",
    ),
    Row(
        "told_datagrams",
        LEADER_ROLE,
        "telling all what is decided, if all were settings",
        "datagrams/s",
        "gateways",
        _rebroadcast_datagrams,
        None,
        "",
        "whintrail/fleet/node.py:FleetNode._rebroadcast",
        f"{ENTRIES_PER_CHANGE:g} entries x {REBROADCASTS_PER_ENTRY:g} tellings x {CHANGES_PER_S:.2f}/s a gateway",
    ),
    Row(
        "reports_datagrams",
        LEADER_ROLE,
        "reports, while it has something to decide",
        "datagrams/s",
        "gateways",
        lambda s: exact(given("reports_per_s") * s.gateways),
        None,
        "",
        "whintrail/fleet/leader.py:Leader.receive_report",
        f"{given('reports_per_s'):g}/s a gateway",
    ),
    Row(
        "leader_bytes",
        LEADER_ROLE,
        "these three in bytes, share of its network",
        "share",
        "gateways",
        _leader_network_share,
        1.0,
        "a control machine's network",
        "whintrail/fleet/node.py:FleetNode.flush",
        f"({LEASE_REQUESTS_PER_S:g} x ({LEASE_REQUEST_BYTES:.0f} + {LEASE_REPLY_BYTES:.0f}) + {REBROADCASTS_PER_ENTRY:g} x {CHANGES_PER_S:.2f} x {CHANGE_BROADCAST_BYTES:.0f}"
        f" + {given('reports_per_s'):g} x {GATEWAY_REPORT_BYTES:.0f}) bytes/s a gateway",
    ),
    Row(
        "leader_out",
        LEADER_ROLE,
        "answers and tellings",
        "datagrams/s",
        "gateways",
        lambda s: exact(LEASE_REQUESTS_PER_S * s.gateways) + _rebroadcast_datagrams(s),
        given("messages_per_s"),
        "`messages_per_s` as it comes",
        "whintrail/fleet/node.py:SendBudget.take",
        f"({LEASE_REQUESTS_PER_S:g} + {ENTRIES_PER_CHANGE * REBROADCASTS_PER_ENTRY * CHANGES_PER_S:.2f})/s a gateway",
        "setting `messages_per_s`",
    ),
    Row(
        "leads_as_gateway",
        LEADER_ROLE,
        "asks for leases, if an ordinary gateway leads",
        "bytes/s",
        "gateways",
        lambda s: exact(LEASE_REQUESTS_PER_S * (LEASE_REQUEST_BYTES + LEASE_REPLY_BYTES) * s.gateways),
        CONTROL_BYTES_PER_S_BUDGET,
        BYTES_BUDGET_LABEL,
        "whintrail/versions/leader.py:VersionLeader.grant_lease",
        f"{LEASE_REQUESTS_PER_S:g}/s x ({LEASE_REQUEST_BYTES:.0f} + {LEASE_REPLY_BYTES:.0f} bytes) a gateway",
        "setting `council`: gateways on control machines",
    ),
    Row(
        "bulletin_links",
        BULLETIN_ROLE,
        "gateways that follow it, a descriptor each",
        "count",
        "gateways",
        lambda s: exact(s.gateways),
        None,
        "",
        "",
        "1 a gateway",
    ),
    Row(
        "bulletin_changes",
        BULLETIN_ROLE,
        "list events to all, share of its network",
        "share",
        "gateways",
        _bulletin_event_share,
        1.0,
        "its network",
        "",
        f"(list_line_bytes an engine + 52) x {CHANGES_PER_S:.2f}/s a gateway",
    ),
    Row(
        "bulletin_lists",
        BULLETIN_ROLE,
        "a whole list to all, once it comes back",
        "s",
        "both",
        _bulletin_full_list_s,
        IN_FORCE_BUDGET_S,
        "3 s",
        "",
        "list_line_bytes x gateways / its network",
    ),
    Row(
        "machine_gateways",
        CONTROL_MACHINE_ROLE,
        "gateways a machine, if all shared",
        "count",
        "gateways",
        lambda s: exact(s.gateways / given("control_machines")),
        None,
        "",
        "",
        "gateways / 26",
    ),
    Row(
        "machine_leases",
        CONTROL_MACHINE_ROLE,
        "asks for leases, if shared evenly",
        "datagrams/s",
        "gateways",
        lambda s: exact(LEASE_REQUESTS_PER_S * s.gateways / given("control_machines")),
        None,
        "",
        "",
        f"{LEASE_REQUESTS_PER_S:g}/s a gateway / 26",
    ),
    Row(
        "machine_cpu",
        CONTROL_MACHINE_ROLE,
        "processor time of these",
        "share",
        "gateways",
        lambda s: _lease_cpu(s) * (1 / given("control_machines")),
        given("control_machine_cores"),
        f"its {given('control_machine_cores'):g} cores",
        "",
        f"node_take_us x {LEASE_REQUESTS_PER_S:g}/s a gateway / 26",
    ),
    Row(
        "slot",
        COMMAND_ROLE,
        "`fleet may-restart`: a slot granted",
        "s",
        "gateways",
        lambda s: s.estimate("slot_s", "gateways", kind="simulated"),
        None,
        "",
        "whintrail/fleet/leader.py:Leader._decide_slot",
        "slot_s",
    ),
    Row(
        "slots_day",
        COMMAND_ROLE,
        "slots one after another, share of the day",
        "share",
        "gateways",
        lambda s: s.estimate("slot_s", "gateways", kind="simulated") * daily_rate_per_s("restarts_a_day"),
        1.0,
        "the whole day",
        "whintrail/fleet/leader.py:Leader._decide_slot",
        f"slot_s x {daily_rate_per_s('restarts_a_day'):.3f}/s",
    ),
)

# Of a gateway that keeps a subset; without one there is nothing of them.
SUBSET_ROWS: tuple[Row, ...] = (
    Row(
        "part_delta_cpu",
        CONTROL_ROLE,
        "its part kept in step with list events",
        "share",
        "engines",
        lambda s: cpu_share(s.estimate("part_delta_us", "engines"), CHANGES_PER_S),
        CONTROL_CPU_BUDGET,
        CPU_BUDGET_LABEL,
        "whintrail/subset/assignment.py:SubsetAssignment.apply_list",
        f"part_delta_us x {CHANGES_PER_S:.2f}/s",
        is_total=True,
    ),
    Row(
        "part_start_stand",
        DATA_PATH_ROLE,
        "a query that meets its part of a whole list waits",
        "ms",
        "engines",
        lambda s: s.estimate("part_start_us", "engines") * 1e-3,
        ANSWER_SLACK_MS,
        "the slack of a final answer",
        "whintrail/subset/assignment.py:SubsetAssignment.apply_list",
        "part_start_us, in one go",
        is_total=True,
    ),
    Row(
        "part_memory",
        CONTROL_ROLE,
        "what it knows of engines that it doesn't keep",
        "bytes",
        "engines",
        lambda s: s.estimate("part_bytes", "engines"),
        CONTROL_MEMORY_BUDGET_BYTES,
        MEMORY_BUDGET_LABEL,
        "whintrail/subset/assignment.py:SubsetAssignment",
        "part_bytes",
    ),
)
