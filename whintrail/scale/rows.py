"""The rows of the capacity table by role: how each value grows, its budget, and the code that causes it.

Quantity names, row keys and row texts also stand in docs/capacity/*.json and docs/CAPACITY.md, and some use
older terms: a "memo" is a datagram of probe reports between gateways, "told" is what the leader broadcasts,
the "module" is the routing policy, a "part" is the subset of engines that a gateway keeps. Does no I/O.
"""

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
from whintrail.scale.inputs import input_value

MB = 1 << 20
DATA_PATH_ROLE = "gateway, data path"
CONTROL_ROLE = "gateway, control"
ENGINE_ROLE = "engine"
COUNCIL_MEMBER_ROLE = "council: member"
LEADER_ROLE = "council: leader"
BULLETIN_ROLE = "bulletin"
CONTROL_MACHINE_ROLE = "control machine"
COMMAND_ROLE = "operator's command"
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
CONTROL_CPU_BUDGET = input_value("control_cpu")
CONTROL_BYTES_PER_S_BUDGET = input_value("control_bytes_per_s")
CONTROL_MEMORY_BUDGET_BYTES = input_value("control_memory_mb") * MB
IN_FORCE_BUDGET_S = input_value("in_force_s")
PRIMARY_CHANGE_BUDGET_S = input_value("primary_change_s")
REBROADCASTS_PER_ENTRY = input_value("retells")
ENTRIES_PER_CHANGE = input_value("entry_commands")
LEASE_REQUESTS_PER_S = input_value("lease_asks_per_s")
ANSWER_SLACK_MS = input_value("answer_slack_ms")
STATEMENTS_PER_GATEWAY_PER_S = input_value("statements_per_s") / input_value("gateways")  # mean
CLIENTS_PER_GATEWAY = input_value("client_connections") / input_value("gateways")


def datagram_bytes(message: AnyMessage) -> float:
    """Bytes of a message on the wire, encoded as the program does, with the headers of IPv4 and UDP."""
    return len(encode(0xFFFFFFFF, 0xFFF, 0xFFFFFFFF, 0xFFFFFFFF, message)) + input_value("datagram_overhead")


# Sample values with a long encoding.
LARGE_U32 = 0xFFFFFFF0
LARGE_U64 = (1 << 62) - 1
LARGE_EPOCH = 1 << 33
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
) + input_value("datagram_overhead")
# All log entries of one change of settings, broadcast once to one gateway.
CHANGE_BROADCAST_BYTES = PROPOSE_ENTRY_BYTES + (ENTRIES_PER_CHANGE - 1) * SETTLE_ENTRY_BYTES


def cpu_share(duration_us: Estimate, times_per_s: float) -> Estimate:
    """The share of one core that is used by an operation of this duration at this rate."""
    return duration_us * (times_per_s / 1e6)


# --- Gateway, data path.


def _links_per_gateway(point: EvaluationPoint) -> Estimate:
    """Engines that evenly distributed statements reach within the idle timeout of a link."""
    statements_per_timeout = STATEMENTS_PER_GATEWAY_PER_S * input_value("keepalive_s")
    if point.fit_cache.subset:  # only engines in the subset get links
        return point.estimate("part_engines_free", "engines")
    return exact(point.engines * -math.expm1(-statements_per_timeout / point.engines))


def _statement_cpu(point: EvaluationPoint) -> Estimate:
    per_statement = point.estimate("query_marginal_cpu_us", "engines", kind="real")
    return cpu_share(per_statement, STATEMENTS_PER_GATEWAY_PER_S * input_value("peak_over_mean"))


def _routing_cpu(point: EvaluationPoint) -> Estimate:
    per_statement = point.estimate("module_query_us", "engines") + point.estimate(
        "module_ended_us", "engines"
    )
    return cpu_share(per_statement, STATEMENTS_PER_GATEWAY_PER_S)


def _full_list_ms(point: EvaluationPoint) -> Estimate:
    read_and_update = point.estimate("list_read_whole_us", "engines") + point.estimate(
        "gateway_update_whole_us", "engines"
    )
    return (read_and_update + point.estimate("module_list_whole_us", "engines")) * 1e-3


def _list_event_us(point: EvaluationPoint) -> Estimate:
    read_and_update = point.estimate("list_read_delta_us", "engines") + point.estimate(
        "gateway_update_delta_us", "engines"
    )
    return read_and_update + point.estimate("module_list_delta_us", "engines")


# --- Gateway, control.


def _refresh_cpu(point: EvaluationPoint) -> Estimate:
    return cpu_share(point.estimate("module_refresh_us", "engines"), input_value("refresh_per_s"))


def _sweep_cpu(point: EvaluationPoint) -> Estimate:
    return cpu_share(point.estimate("module_sweep_us", "engines"), input_value("sweep_per_s"))


def _list_event_cpu(point: EvaluationPoint) -> Estimate:
    return cpu_share(_list_event_us(point) + point.estimate("list_digest_us", "engines"), CHANGES_PER_S)


def _probe_report_cpu(point: EvaluationPoint) -> Estimate:
    """Counts the reports and not the datagrams: with a subset, a datagram holds several reports."""
    datagrams_per_s = point.estimate("memo_datagrams_per_s", "engines")
    bytes_per_s = point.estimate("memo_bytes_per_s", "engines")
    per_report_us = point.estimate("module_memo_us", "engines")
    header_bytes = input_value("datagram_overhead") + probe_reports.HEADER.size
    bounds = zip(_bounds(datagrams_per_s), _bounds(bytes_per_s), _bounds(per_report_us), strict=True)
    return Estimate(
        *(
            max(0.0, byte_rate - header_bytes * datagram_rate) / probe_reports.ENTRY.size * report_us / 1e6
            for datagram_rate, byte_rate, report_us in bounds
        )
    )


def _bounds(estimate: Estimate) -> tuple[float, float, float]:
    """Value, lower and upper bound."""
    return estimate.value, estimate.low, estimate.high


def _node_cpu(point: EvaluationPoint) -> Estimate:
    return point.estimate("node_cpu_share", "gateways", role="gateway")


def _membership_cpu(point: EvaluationPoint) -> Estimate:
    return cpu_share(point.estimate("membership_tick_us", "gateways"), input_value("turns_per_s"))


def _total_cpu(point: EvaluationPoint) -> Estimate:
    return (
        _refresh_cpu(point)
        + _sweep_cpu(point)
        + _list_event_cpu(point)
        + _probe_report_cpu(point)
        + _node_cpu(point)
    )


def _list_event_bytes(point: EvaluationPoint) -> Estimate:
    return (
        point.estimate_slope("list_line_bytes", "engines") + exact(input_value("segment_overhead"))
    ) * CHANGES_PER_S


def probe_report_bytes(point: EvaluationPoint) -> Estimate:
    """Bytes/s of probe reports: received ones, and those sent to each gateway separately.

    Where one address reaches all gateways, only the received part applies.
    """
    received = point.estimate("memo_bytes_per_s", "engines")
    try:
        return received + point.estimate("memo_sent_bytes_per_s", "engines")
    except NotMeasured:  # without a subset, each datagram holds one report
        return received + point.estimate("memo_sent_datagrams_per_s", "engines") * PROBE_REPORT_BYTES


def _node_bytes(point: EvaluationPoint) -> Estimate:
    return point.estimate("node_bytes_per_s", "gateways", role="gateway")


def _decision_bytes(point: EvaluationPoint) -> Estimate:
    body = point.estimate("version_body_fetch_bytes", "engines")
    return (point.estimate("log_told_bytes", "gateways") + body) * CHANGES_PER_S


def _total_bytes(point: EvaluationPoint) -> Estimate:
    return probe_report_bytes(point) + _node_bytes(point) + _list_event_bytes(point) + _decision_bytes(point)


def _total_memory(point: EvaluationPoint) -> Estimate:
    both = point.estimate("module_bytes", "engines") + point.estimate(
        "node_bytes", "gateways", role="gateway"
    )
    return both + point.estimate("part_bytes", "engines") if point.fit_cache.subset else both


def _sequential_changes_share(point: EvaluationPoint) -> Estimate:
    return (
        point.estimate("version_in_force_s", "gateways", kind="simulated", note="one after another")
        * CHANGES_PER_S
    )


def _hollow_bytes(point: EvaluationPoint) -> Estimate:
    received = point.estimate("bytes_in_per_s", "gateways", kind="hollow", role="gateway")
    return received + point.estimate("bytes_out_per_s", "gateways", kind="hollow", role="gateway")


# --- The leader.


def _lease_cpu(point: EvaluationPoint) -> Estimate:
    per_request = point.estimate("node_take_us", "gateways", role="leader")
    return cpu_share(per_request, LEASE_REQUESTS_PER_S * point.gateways)


def _leader_network_share(point: EvaluationPoint) -> Estimate:
    bytes_per_gateway = (
        LEASE_REQUESTS_PER_S * (LEASE_REQUEST_BYTES + LEASE_REPLY_BYTES)
        + REBROADCASTS_PER_ENTRY * CHANGES_PER_S * CHANGE_BROADCAST_BYTES
    )
    bytes_per_gateway += input_value("reports_per_s") * GATEWAY_REPORT_BYTES
    return exact(bytes_per_gateway * point.gateways * 8 / 1e9 / input_value("control_machine_gbit_per_s"))


def _rebroadcast_datagrams(point: EvaluationPoint) -> Estimate:
    return exact(REBROADCASTS_PER_ENTRY * ENTRIES_PER_CHANGE * CHANGES_PER_S * point.gateways)


# --- The bulletin.


def _bulletin_event_share(point: EvaluationPoint) -> Estimate:
    event_bits = (
        point.estimate_slope("list_line_bytes", "engines") + exact(input_value("segment_overhead"))
    ) * 8
    return event_bits * (CHANGES_PER_S * point.gateways / 1e9 / input_value("bulletin_gbit_per_s"))


def _bulletin_full_list_s(point: EvaluationPoint) -> Estimate:
    list_bytes = point.estimate("list_line_bytes", "engines")
    return list_bytes * (8 * point.gateways / 1e9 / input_value("bulletin_gbit_per_s"))


ONE_CORE = 1.0
ONE_CORE_LABEL = "a core: one process, one loop"
CPU_BUDGET_LABEL = "1.4% of a core"
BYTES_BUDGET_LABEL = "4 KB/s"
MEMORY_BUDGET_LABEL = "64 MB"
ROUTING_POLICY_PATH = "whintrail/routing.py:RoutingPolicy."

ROWS: tuple[Row, ...] = (
    Row(
        "statements",
        DATA_PATH_ROLE,
        "statements in, at the peak",
        "1/s",
        "neither",
        lambda point: exact(STATEMENTS_PER_GATEWAY_PER_S * input_value("peak_over_mean")),
        None,
        "",
        "whintrail/gateway/sessions.py:Session",
        f"statements / gateways x peak {input_value('peak_over_mean'):g}",
    ),
    Row(
        "choose_cpu",
        DATA_PATH_ROLE,
        "a statement in the module: choosing, and its end",
        "share",
        "engines",
        _routing_cpu,
        input_value("data_path_cores") - CONTROL_CPU_BUDGET,
        "a core less control's 1.4%",
        ROUTING_POLICY_PATH + "_choose_engine",
        f"(module_query_us + module_ended_us) x {STATEMENTS_PER_GATEWAY_PER_S:,.0f} statements/s",
    ),
    Row(
        "statement_cpu",
        DATA_PATH_ROLE,
        "a statement in all, at the peak",
        "share",
        "engines",
        _statement_cpu,
        input_value("data_path_cores") - CONTROL_CPU_BUDGET,
        "a core less control's 1.4%",
        "whintrail/gateway/dispatcher.py:Dispatcher._on_query",
        f"query_marginal_cpu_us x {STATEMENTS_PER_GATEWAY_PER_S:,.0f}/s"
        f" x peak {input_value('peak_over_mean'):g}",
    ),
    Row(
        "refresh_stand",
        DATA_PATH_ROLE,
        "a query that meets `_refresh_weights` waits",
        "ms",
        "engines",
        lambda point: point.estimate("module_refresh_us", "engines") * 1e-3,
        ANSWER_SLACK_MS,
        "the slack of a final answer",
        ROUTING_POLICY_PATH + "_refresh_weights",
        "module_refresh_us, in one go",
    ),
    Row(
        "delta_stand",
        DATA_PATH_ROLE,
        "a query that meets a list event waits",
        "ms",
        "engines",
        lambda point: _list_event_us(point) * 1e-3,
        ANSWER_SLACK_MS,
        "the slack of a final answer",
        ROUTING_POLICY_PATH + "_on_engine_list",
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
        lambda point: point.estimate(
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
        lambda point: point.estimate(
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
        lambda point: exact(CLIENTS_PER_GATEWAY),
        input_value("client_limit"),
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
        input_value("link_limit"),
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
        lambda point: point.estimate("memory_a_connection_bytes", "gateways", kind="real")
        * CLIENTS_PER_GATEWAY,
        input_value("memory_mb") * MB,
        "192 MB, the platform's most",
        "whintrail/gateway/sessions.py:Session",
        "memory_a_connection_bytes x connections a gateway",
        "setting `memory_mb`",
    ),
    Row(
        "refresh_cpu",
        CONTROL_ROLE,
        "the module's `_refresh_weights`",
        "share",
        "engines",
        _refresh_cpu,
        CONTROL_CPU_BUDGET,
        CPU_BUDGET_LABEL,
        ROUTING_POLICY_PATH + "_refresh_weights",
        f"module_refresh_us x {input_value('refresh_per_s'):g}/s",
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
        ROUTING_POLICY_PATH + "_on_timer",
        f"module_sweep_us x {input_value('sweep_per_s'):g}/s",
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
        ROUTING_POLICY_PATH + "_on_engine_list",
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
        ROUTING_POLICY_PATH + "_on_peer_message",
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
        f"membership_tick_us x {input_value('turns_per_s'):g}/s",
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
        lambda point: point.estimate("control_cpu_share", "engines", kind="hollow", role="gateway"),
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
        lambda point: point.estimate("control_cpu_share", "gateways", kind="hollow", role="gateway"),
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
        lambda point: point.estimate("memo_datagrams_per_s", "engines"),
        None,
        "",
        ROUTING_POLICY_PATH + "_on_probe_finished",
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
        ROUTING_POLICY_PATH + "_on_probe_finished",
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
        lambda point: point.estimate("member_bytes_per_s", "gateways", kind="simulated", role="gateway"),
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
        lambda point: point.estimate("module_bytes", "engines"),
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
        lambda point: point.estimate("node_bytes", "gateways", role="gateway"),
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
        lambda point: point.estimate("list_line_bytes", "engines"),
        input_value("bulletin_line_bytes"),
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
        lambda point: point.estimate(
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
        lambda point: point.estimate("list_apply_s", "gateways", kind="hollow", day="changes", stat="high"),
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
        lambda point: point.estimate("removal_known_s", "gateways", kind="simulated", day="losses"),
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
        lambda point: point.estimate("state_newcomer_s", "gateways", kind="simulated", day="losses"),
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
        lambda point: exact(1 - (1 - 2.0**-16) ** (point.engines - 1)),
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
        lambda point: point.estimate("memo_datagrams_per_s", "engines") * (1 / point.gateways),
        None,
        "",
        ROUTING_POLICY_PATH + "_send_probes",
        "memo_datagrams_per_s / gateways: what all hear, one sends",
    ),
    Row(
        "cold_part",
        CONTROL_ROLE,
        "its part of a cold engine's budget",
        "share",
        "gateways",
        lambda point: point.estimate("cold_part", "gateways"),
        None,
        "",
        ROUTING_POLICY_PATH + "_has_cold_budget",
        "cold_part",
    ),
    Row(
        "engine_statements",
        ENGINE_ROLE,
        "statements, in the mean",
        "1/s",
        "neither",
        lambda point: exact(input_value("statements_per_s") / input_value("engines")),
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
        lambda point: exact(point.gateways),
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
        lambda point: exact(1 / input_value("probe_shared_s")),
        None,
        "",
        ROUTING_POLICY_PATH + "_send_probes",
        "1 each SHARED_PROBE_INTERVAL_US, of the whole fleet",
    ),
    Row(
        "beats",
        COUNCIL_MEMBER_ROLE,
        "log beats and their answers",
        "datagrams/s",
        "neither",
        lambda point: exact(2 * input_value("beats_per_s")),
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
        lambda point: point.estimate("control_cpu_share", "gateways", kind="hollow", role="control machine"),
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
        lambda point: point.estimate("leader_cpu_share", "gateways", kind="simulated"),
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
        lambda point: point.estimate("node_cpu_share", "gateways", role="leader"),
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
        lambda point: cpu_share(
            point.estimate("leader_engines_us", "engines", role="leader"), input_value("turns_per_s")
        ),
        ONE_CORE,
        ONE_CORE_LABEL,
        "whintrail/gateway/fleet.py:FleetService.engines",
        f"leader_engines_us x {input_value('turns_per_s'):g}/s",
    ),
    Row(
        "leader_sum",
        LEADER_ROLE,
        "both of these",
        "share",
        "both",
        lambda point: (
            point.estimate("node_cpu_share", "gateways", role="leader")
            + cpu_share(
                point.estimate("leader_engines_us", "engines", role="leader"), input_value("turns_per_s")
            )
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
        lambda point: point.estimate("node_bytes", "gateways", role="leader"),
        CONTROL_MEMORY_BUDGET_BYTES,
        MEMORY_BUDGET_LABEL,
        "whintrail/fleet/leader.py:Leader",
        "node_bytes of the leader",
    ),
    Row(
        "lease_answered",
        LEADER_ROLE,
        f"asks for leases that are answered, at {input_value('messages_per_s'):g} messages/s",
        "share",
        "gateways",
        lambda point: point.estimate("leader_lease_answered", "gateways", role="leader"),
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
        lambda point: exact(2 * LEASE_REQUESTS_PER_S * point.gateways),
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
        f"{ENTRIES_PER_CHANGE:g} entries x {REBROADCASTS_PER_ENTRY:g} tellings"
        f" x {CHANGES_PER_S:.2f}/s a gateway",
    ),
    Row(
        "reports_datagrams",
        LEADER_ROLE,
        "reports, while it has something to decide",
        "datagrams/s",
        "gateways",
        lambda point: exact(input_value("reports_per_s") * point.gateways),
        None,
        "",
        "whintrail/fleet/leader.py:Leader.receive_report",
        f"{input_value('reports_per_s'):g}/s a gateway",
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
        f"({LEASE_REQUESTS_PER_S:g} x ({LEASE_REQUEST_BYTES:.0f} + {LEASE_REPLY_BYTES:.0f})"
        f" + {REBROADCASTS_PER_ENTRY:g} x {CHANGES_PER_S:.2f} x {CHANGE_BROADCAST_BYTES:.0f}"
        f" + {input_value('reports_per_s'):g} x {GATEWAY_REPORT_BYTES:.0f}) bytes/s a gateway",
    ),
    Row(
        "leader_out",
        LEADER_ROLE,
        "answers and tellings",
        "datagrams/s",
        "gateways",
        lambda point: exact(LEASE_REQUESTS_PER_S * point.gateways) + _rebroadcast_datagrams(point),
        input_value("messages_per_s"),
        "`messages_per_s` as it comes",
        "whintrail/fleet/node.py:SendBudget.take",
        f"({LEASE_REQUESTS_PER_S:g} + {ENTRIES_PER_CHANGE * REBROADCASTS_PER_ENTRY * CHANGES_PER_S:.2f})/s"
        " a gateway",
        "setting `messages_per_s`",
    ),
    Row(
        "leads_as_gateway",
        LEADER_ROLE,
        "asks for leases, if an ordinary gateway leads",
        "bytes/s",
        "gateways",
        lambda point: exact(
            LEASE_REQUESTS_PER_S * (LEASE_REQUEST_BYTES + LEASE_REPLY_BYTES) * point.gateways
        ),
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
        lambda point: exact(point.gateways),
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
        lambda point: exact(point.gateways / input_value("control_machines")),
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
        lambda point: exact(LEASE_REQUESTS_PER_S * point.gateways / input_value("control_machines")),
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
        lambda point: _lease_cpu(point) * (1 / input_value("control_machines")),
        input_value("control_machine_cores"),
        f"its {input_value('control_machine_cores'):g} cores",
        "",
        f"node_take_us x {LEASE_REQUESTS_PER_S:g}/s a gateway / 26",
    ),
    Row(
        "slot",
        COMMAND_ROLE,
        "`fleet may-restart`: a slot granted",
        "s",
        "gateways",
        lambda point: point.estimate("slot_s", "gateways", kind="simulated"),
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
        lambda point: point.estimate("slot_s", "gateways", kind="simulated")
        * daily_rate_per_s("restarts_a_day"),
        1.0,
        "the whole day",
        "whintrail/fleet/leader.py:Leader._decide_slot",
        f"slot_s x {daily_rate_per_s('restarts_a_day'):.3f}/s",
    ),
)

# Rows that exist only where gateways keep a subset of the engines.
SUBSET_ROWS: tuple[Row, ...] = (
    Row(
        "part_delta_cpu",
        CONTROL_ROLE,
        "its part kept in step with list events",
        "share",
        "engines",
        lambda point: cpu_share(point.estimate("part_delta_us", "engines"), CHANGES_PER_S),
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
        lambda point: point.estimate("part_start_us", "engines") * 1e-3,
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
        lambda point: point.estimate("part_bytes", "engines"),
        CONTROL_MEMORY_BUDGET_BYTES,
        MEMORY_BUDGET_LABEL,
        "whintrail/subset/assignment.py:SubsetAssignment",
        "part_bytes",
    ),
)
