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
from whintrail.scale.capacity import Estimate, NotMeasured, Row, Size, exactly, per_s
from whintrail.scale.inputs import value as given

MB = 1 << 20
DATA, CONTROL, ENGINE = "gateway, data path", "gateway, control", "engine"
MEMBER, LEADER = "council: member", "council: leader"
BULLETIN, MACHINE, COMMAND = "bulletin", "control machine", "operator's command"
ROLES = (DATA, CONTROL, ENGINE, MEMBER, LEADER, BULLETIN, MACHINE, COMMAND)

CHANGES = per_s("changes_a_day")
CPU, BYTES, MEMORY = given("control_cpu"), given("control_bytes_per_s"), given("control_memory_mb") * MB
IN_FORCE, PRIMARY = given("in_force_s"), given("primary_change_s")
RETELLS, ENTRIES, ASKS = given("retells"), given("entry_commands"), given("lease_asks_per_s")
SLACK_MS = given("answer_slack_ms")
STATEMENTS = given("statements_per_s") / given("gateways")  # a gateway, in the mean
CLIENTS = given("client_connections") / given("gateways")


def datagram(message: AnyMessage) -> float:
    """Bytes on the wire, encoded as the program does, with the heads of IPv4 and UDP."""
    return len(encode(0xFFFFFFFF, 0xFFF, 0xFFFFFFFF, 0xFFFFFFFF, message)) + given("datagram_overhead")


U32, U64, EPOCH = 0xFFFFFFF0, (1 << 62) - 1, 1 << 33
LEASE_ASK = datagram(LeaseRequest(U32, U32, False, U64, ""))
LEASE_TELL = datagram(LeaseReply(U32, U32, False, 1200))
TOLD = datagram(CommittedEntries(EPOCH, U32, U32, 3999, (Entry(U32, 9, SettleVersion(U32)),)))
PROPOSED = datagram(
    CommittedEntries(EPOCH, U32, U32, 3999, (Entry(U32, 9, ProposeVersion(U32, U64, 3999, "w" * 16, EPOCH)),))
)
REPORT = datagram(GatewayReport(EPOCH, 9, U32, "b42", 3, U32, 0, (), ((U32, 9, 9, 9),) * 4))
MEMO = len(probe_reports.encode([probe_reports.ProbeReport(0, 0, LoadReport(0.5, 1, 0, 0.5))])) + given(
    "datagram_overhead"
)
TOLD_CHANGE = PROPOSED + (ENTRIES - 1) * TOLD  # the entries of one change of settings, told once


def share(us: Estimate, times_per_s: float) -> Estimate:
    """Of one core, of something that takes so many microseconds."""
    return us * (times_per_s / 1e6)


# --- Gateway, data path.


def _links(s: Size) -> Estimate:
    """Engines that statements drawn evenly reach within the time that an idle link is kept."""
    drawn = STATEMENTS * given("keepalive_s")
    if s.figures.subset:  # of those that it keeps
        return s.measured("part_engines_free", "engines")
    return exactly(s.engines * -math.expm1(-drawn / s.engines))


def _statement(s: Size) -> Estimate:
    each = s.measured("query_marginal_cpu_us", "engines", kind="real")
    return share(each, STATEMENTS * given("peak_over_mean"))


def _module(s: Size) -> Estimate:
    each = s.measured("module_query_us", "engines") + s.measured("module_ended_us", "engines")
    return share(each, STATEMENTS)


def _whole_list_ms(s: Size) -> Estimate:
    read = s.measured("list_read_whole_us", "engines") + s.measured("gateway_update_whole_us", "engines")
    return (read + s.measured("module_list_whole_us", "engines")) * 1e-3


def _delta_us(s: Size) -> Estimate:
    read = s.measured("list_read_delta_us", "engines") + s.measured("gateway_update_delta_us", "engines")
    return read + s.measured("module_list_delta_us", "engines")


# --- Gateway, control.


def _refresh(s: Size) -> Estimate:
    return share(s.measured("module_refresh_us", "engines"), given("refresh_per_s"))


def _sweep(s: Size) -> Estimate:
    return share(s.measured("module_sweep_us", "engines"), given("sweep_per_s"))


def _deltas(s: Size) -> Estimate:
    return share(_delta_us(s) + s.measured("list_digest_us", "engines"), CHANGES)


def _memo_cpu(s: Size) -> Estimate:
    """By the sightings: memos of a subset hold several."""
    datagrams, size = s.measured("memo_datagrams_per_s", "engines"), s.measured("memo_bytes_per_s", "engines")
    each = s.measured("module_memo_us", "engines")
    head = given("datagram_overhead") + probe_reports.HEADER.size
    parts = zip(_three(datagrams), _three(size), _three(each), strict=True)
    return Estimate(*(max(0.0, b - head * d) / probe_reports.ENTRY.size * us / 1e6 for d, b, us in parts))


def _three(e: Estimate) -> tuple[float, float, float]:
    return e.value, e.low, e.high


def _node_cpu(s: Size) -> Estimate:
    return s.measured("node_cpu_share", "gateways", role="gateway")


def _member_cpu(s: Size) -> Estimate:
    return share(s.measured("membership_tick_us", "gateways"), given("turns_per_s"))


def _cpu_sum(s: Size) -> Estimate:
    return _refresh(s) + _sweep(s) + _deltas(s) + _memo_cpu(s) + _node_cpu(s)


def _delta_bytes(s: Size) -> Estimate:
    return (s.slope("list_line_bytes", "engines") + exactly(given("segment_overhead"))) * CHANGES


def memo_bytes(s: Size) -> Estimate:
    """Heard, and told to each gateway by itself: where one address stands for all, the first alone."""
    heard = s.measured("memo_bytes_per_s", "engines")
    try:
        return heard + s.measured("memo_sent_bytes_per_s", "engines")
    except NotMeasured:  # one sighting each, where there is no subset
        return heard + s.measured("memo_sent_datagrams_per_s", "engines") * MEMO


def _member_bytes(s: Size) -> Estimate:
    return s.measured("node_bytes_per_s", "gateways", role="gateway")


def _told_bytes(s: Size) -> Estimate:
    fetched = s.measured("version_body_fetch_bytes", "engines")
    return (s.measured("log_told_bytes", "gateways") + fetched) * CHANGES


def _bytes_sum(s: Size) -> Estimate:
    return memo_bytes(s) + _member_bytes(s) + _delta_bytes(s) + _told_bytes(s)


def _memory_sum(s: Size) -> Estimate:
    both = s.measured("module_bytes", "engines") + s.measured("node_bytes", "gateways", role="gateway")
    return both + s.measured("part_bytes", "engines") if s.figures.subset else both


def _one_after_another(s: Size) -> Estimate:
    return s.measured("version_in_force_s", "gateways", kind="simulated", note="one after another") * CHANGES


def _hollow_bytes(s: Size) -> Estimate:
    heard = s.measured("bytes_in_per_s", "gateways", kind="hollow", role="gateway")
    return heard + s.measured("bytes_out_per_s", "gateways", kind="hollow", role="gateway")


# --- The leader.


def _lease_cpu(s: Size) -> Estimate:
    each = s.measured("node_take_us", "gateways", role="leader")
    return share(each, ASKS * s.gateways)


def _leader_net(s: Size) -> Estimate:
    a_gateway = ASKS * (LEASE_ASK + LEASE_TELL) + RETELLS * CHANGES * TOLD_CHANGE
    a_gateway += given("reports_per_s") * REPORT
    return exactly(a_gateway * s.gateways * 8 / 1e9 / given("control_machine_gbit_per_s"))


def _told_out(s: Size) -> Estimate:
    return exactly(RETELLS * ENTRIES * CHANGES * s.gateways)


# --- The bulletin.


def _change_out(s: Size) -> Estimate:
    bits = (s.slope("list_line_bytes", "engines") + exactly(given("segment_overhead"))) * 8
    return bits * (CHANGES * s.gateways / 1e9 / given("bulletin_gbit_per_s"))


def _lists_out(s: Size) -> Estimate:
    line = s.measured("list_line_bytes", "engines")
    return line * (8 * s.gateways / 1e9 / given("bulletin_gbit_per_s"))


CORE, CORE_NAME = 1.0, "a core: one process, one loop"
CPU_NAME, BYTES_NAME, MEMORY_NAME = "1.4% of a core", "4 KB/s", "64 MB"
BRAIN = "whintrail/routing.py:RoutingPolicy."

ROWS: tuple[Row, ...] = (
    Row(
        "statements",
        DATA,
        "statements in, at the peak",
        "1/s",
        "neither",
        lambda s: exactly(STATEMENTS * given("peak_over_mean")),
        None,
        "",
        "whintrail/gateway/sessions.py:Session",
        f"statements / gateways x peak {given('peak_over_mean'):g}",
    ),
    Row(
        "choose_cpu",
        DATA,
        "a statement in the module: choosing, and its end",
        "share",
        "engines",
        _module,
        given("data_path_cores") - CPU,
        "a core less control's 1.4%",
        BRAIN + "_choose",
        f"(module_query_us + module_ended_us) x {STATEMENTS:,.0f} statements/s",
    ),
    Row(
        "statement_cpu",
        DATA,
        "a statement in all, at the peak",
        "share",
        "engines",
        _statement,
        given("data_path_cores") - CPU,
        "a core less control's 1.4%",
        "whintrail/gateway/dispatcher.py:Dispatcher._on_query",
        f"query_marginal_cpu_us x {STATEMENTS:,.0f}/s x peak {given('peak_over_mean'):g}",
    ),
    Row(
        "refresh_stand",
        DATA,
        "a query that meets `_refresh` waits",
        "ms",
        "engines",
        lambda s: s.measured("module_refresh_us", "engines") * 1e-3,
        SLACK_MS,
        "the slack of a final answer",
        BRAIN + "_refresh",
        "module_refresh_us, in one go",
    ),
    Row(
        "delta_stand",
        DATA,
        "a query that meets a list event waits",
        "ms",
        "engines",
        lambda s: _delta_us(s) * 1e-3,
        SLACK_MS,
        "the slack of a final answer",
        BRAIN + "_listed",
        "list_read_delta_us + gateway_update_delta_us + module_list_delta_us, in one go",
    ),
    Row(
        "whole_list_stand",
        DATA,
        "a query that meets a whole list waits",
        "ms",
        "engines",
        _whole_list_ms,
        SLACK_MS,
        "the slack of a final answer",
        "whintrail/gateway/bulletin.py:read_list_update",
        "list_read_whole_us + gateway_update_whole_us + module_list_whole_us, in one go",
    ),
    Row(
        "whole_list_stall",
        DATA,
        "a whole list, as an empty query meets it, measured",
        "ms",
        "engines",
        lambda s: s.measured(
            "loop_stall_ms", "engines", kind="real", note="an empty query's longest answer, whole list"
        ),
        SLACK_MS,
        "the slack of a final answer",
        "whintrail/gateway/dispatcher.py:Dispatcher._forward_engine_list",
        "loop_stall_ms, whole list",
        total=True,
    ),
    Row(
        "one_entry_stall",
        DATA,
        "a list event, as an empty query meets it, measured",
        "ms",
        "engines",
        lambda s: s.measured(
            "loop_stall_ms", "engines", kind="real", note="an empty query's longest answer, one entry"
        ),
        SLACK_MS,
        "the slack of a final answer",
        "whintrail/gateway/dispatcher.py:Dispatcher._forward_engine_list",
        "loop_stall_ms, one entry",
        total=True,
    ),
    Row(
        "clients",
        DATA,
        "clients' connections, a descriptor each",
        "count",
        "neither",
        lambda s: exactly(CLIENTS),
        given("client_limit"),
        "45% of 1,024 descriptors",
        "whintrail/gateway/limits.py:Limits.read",
        "client connections / gateways",
        "setting `sockets`",
    ),
    Row(
        "links",
        DATA,
        "links to engines, at most (draws even)",
        "count",
        "engines",
        _links,
        given("link_limit"),
        "35% of 1,024 descriptors",
        "whintrail/gateway/links.py:LinkPool",
        "engines x (1 - e^(-statements in the keepalive / engines))",
        "setting `sockets`",
    ),
    Row(
        "client_memory",
        DATA,
        "memory of clients' connections",
        "bytes",
        "neither",
        lambda s: s.measured("memory_a_connection_bytes", "gateways", kind="real") * CLIENTS,
        given("memory_mb") * MB,
        "192 MB, the platform's most",
        "whintrail/gateway/sessions.py:Session",
        "memory_a_connection_bytes x connections a gateway",
        "setting `memory_mb`",
    ),
    Row(
        "refresh_cpu",
        CONTROL,
        "the module's `_refresh`",
        "share",
        "engines",
        _refresh,
        CPU,
        CPU_NAME,
        BRAIN + "_refresh",
        f"module_refresh_us x {given('refresh_per_s'):g}/s",
    ),
    Row(
        "sweep_cpu",
        CONTROL,
        "the module's sweep without it",
        "share",
        "engines",
        _sweep,
        CPU,
        CPU_NAME,
        BRAIN + "_timer",
        f"module_sweep_us x {given('sweep_per_s'):g}/s",
    ),
    Row(
        "delta_cpu",
        CONTROL,
        "list events, one change each",
        "share",
        "engines",
        _deltas,
        CPU,
        CPU_NAME,
        BRAIN + "_listed",
        f"(the same + list_digest_us) x {CHANGES:.2f}/s",
    ),
    Row(
        "memo_cpu",
        CONTROL,
        "memos of probes, taken in",
        "share",
        "engines",
        _memo_cpu,
        CPU,
        CPU_NAME,
        BRAIN + "_told",
        "sightings in memo_bytes_per_s x module_memo_us",
    ),
    Row(
        "member_cpu",
        CONTROL,
        "membership's turns",
        "share",
        "gateways",
        _member_cpu,
        CPU,
        CPU_NAME,
        "whintrail/fleet/membership.py:Membership.tick",
        f"membership_tick_us x {given('turns_per_s'):g}/s",
    ),
    Row(
        "node_cpu",
        CONTROL,
        "the fleet's node in all, membership's too",
        "share",
        "gateways",
        _node_cpu,
        CPU,
        CPU_NAME,
        "whintrail/fleet/node.py:FleetNode.tick",
        "node_cpu_share",
    ),
    Row(
        "cpu_sum",
        CONTROL,
        "processor time of all of these",
        "share",
        "both",
        _cpu_sum,
        CPU,
        CPU_NAME,
        "whintrail/routing.py:RoutingPolicy",
        "refresh + sweep + list events + memos + node",
        total=True,
    ),
    Row(
        "hollow_cpu",
        CONTROL,
        "processor time of a hollow gateway, measured",
        "share",
        "engines",
        lambda s: s.measured("control_cpu_share", "engines", kind="hollow", role="gateway"),
        CPU,
        CPU_NAME,
        "whintrail/routing.py:RoutingPolicy",
        "control_cpu_share over engines",
        total=True,
    ),
    Row(
        "hollow_cpu_fleet",
        CONTROL,
        "the same, over gateways",
        "share",
        "gateways",
        lambda s: s.measured("control_cpu_share", "gateways", kind="hollow", role="gateway"),
        CPU,
        CPU_NAME,
        "whintrail/fleet/node.py:FleetNode",
        "control_cpu_share over gateways",
        total=True,
    ),
    Row(
        "hollow_bytes",
        CONTROL,
        "datagrams of a hollow gateway, in and out, memos too",
        "bytes/s",
        "gateways",
        _hollow_bytes,
        BYTES,
        BYTES_NAME,
        "whintrail/gateway/peers.py:PeerTransport",
        "bytes_in_per_s + bytes_out_per_s over gateways",
        total=True,
    ),
    Row(
        "memo_datagrams",
        CONTROL,
        "memos heard",
        "datagrams/s",
        "engines",
        lambda s: s.measured("memo_datagrams_per_s", "engines"),
        None,
        "",
        BRAIN + "_probed",
        "memo_datagrams_per_s",
    ),
    Row(
        "memo_bytes",
        CONTROL,
        "memos heard and told",
        "bytes/s",
        "engines",
        memo_bytes,
        BYTES,
        BYTES_NAME,
        BRAIN + "_probed",
        "memo_bytes_per_s + memo_sent_bytes_per_s",
    ),
    Row(
        "member_bytes",
        CONTROL,
        "the fleet's datagrams, in and out",
        "bytes/s",
        "gateways",
        _member_bytes,
        BYTES,
        BYTES_NAME,
        "whintrail/fleet/node.py:FleetNode.flush",
        "node_bytes_per_s",
    ),
    Row(
        "member_bytes_sim",
        CONTROL,
        "the same, simulated",
        "bytes/s",
        "gateways",
        lambda s: s.measured("member_bytes_per_s", "gateways", kind="simulated", role="gateway"),
        BYTES,
        BYTES_NAME,
        "whintrail/fleet/node.py:FleetNode.flush",
        "member_bytes_per_s",
        total=True,
    ),
    Row(
        "delta_bytes",
        CONTROL,
        "list events, if all changes were those",
        "bytes/s",
        "neither",
        _delta_bytes,
        BYTES,
        BYTES_NAME,
        "whintrail/gateway/bulletin.py:BulletinClient.process_line",
        f"(list_line_bytes an engine + 52) x {CHANGES:.2f}/s",
    ),
    Row(
        "told_bytes",
        CONTROL,
        "what is decided and its body, if all were settings",
        "bytes/s",
        "engines",
        _told_bytes,
        BYTES,
        BYTES_NAME,
        "whintrail/fleet/node.py:FleetNode._rebroadcast",
        f"(log_told_bytes + version_body_fetch_bytes) x {CHANGES:.2f}/s",
    ),
    Row(
        "bytes_sum",
        CONTROL,
        "bytes of all of these",
        "bytes/s",
        "both",
        _bytes_sum,
        BYTES,
        BYTES_NAME,
        "whintrail/gateway/peers.py:PeerTransport",
        "memos + fleet + list events + decided",
        total=True,
    ),
    Row(
        "module_memory",
        CONTROL,
        "the module's state of engines",
        "bytes",
        "engines",
        lambda s: s.measured("module_bytes", "engines"),
        MEMORY,
        MEMORY_NAME,
        "whintrail/state.py:Engine",
        "module_bytes",
    ),
    Row(
        "node_memory",
        CONTROL,
        "the node's state of gateways",
        "bytes",
        "gateways",
        lambda s: s.measured("node_bytes", "gateways", role="gateway"),
        MEMORY,
        MEMORY_NAME,
        "whintrail/fleet/node.py:FleetNode",
        "node_bytes",
    ),
    Row(
        "memory_sum",
        CONTROL,
        "memory of both",
        "bytes",
        "both",
        _memory_sum,
        MEMORY,
        MEMORY_NAME,
        "whintrail/state.py:Engine",
        "module_bytes + node_bytes",
        total=True,
    ),
    Row(
        "list_line",
        CONTROL,
        "a whole list in one line of the bulletin",
        "bytes",
        "engines",
        lambda s: s.measured("list_line_bytes", "engines"),
        given("bulletin_line_bytes"),
        "1 MiB: a longer line is refused",
        "whintrail/gateway/bulletin.py:BulletinClient._follow_events",
        "list_line_bytes",
    ),
    Row(
        "version_in_force",
        CONTROL,
        "a change in force on all, p99",
        "s",
        "gateways",
        lambda s: s.measured(
            "version_in_force_s", "gateways", kind="simulated", note="one after another", stat="high"
        ),
        IN_FORCE,
        "3 s",
        "whintrail/versions/leader.py:VersionLeader.tick",
        "version_in_force_s, its 99th hundredth",
    ),
    Row(
        "versions_queue",
        CONTROL,
        "changes one after another, share of the day",
        "share",
        "gateways",
        _one_after_another,
        1.0,
        "the whole day",
        "whintrail/versions/leader.py:VersionLeader.tick",
        f"version_in_force_s x {CHANGES:.2f}/s",
    ),
    Row(
        "list_apply",
        CONTROL,
        "a list event held by all, p99",
        "s",
        "gateways",
        lambda s: s.measured("list_apply_s", "gateways", kind="hollow", day="changes", stat="high"),
        IN_FORCE,
        "3 s",
        "whintrail/gateway/bulletin.py:BulletinClient.process_line",
        "list_apply_s, its 99th hundredth",
    ),
    Row(
        "removal_known",
        CONTROL,
        "a dead gateway known to nine in ten",
        "s",
        "gateways",
        lambda s: s.measured("removal_known_s", "gateways", kind="simulated", day="losses"),
        None,
        "",
        "whintrail/fleet/membership.py:Membership._suspicion_us",
        "removal_known_s",
    ),
    Row(
        "newcomer",
        CONTROL,
        "the fleet's state with a newcomer",
        "s",
        "gateways",
        lambda s: s.measured("state_newcomer_s", "gateways", kind="simulated", day="losses"),
        None,
        "",
        "whintrail/fleet/replica.py:Replica.request_missing",
        "state_newcomer_s",
    ),
    Row(
        "keys_shared",
        CONTROL,
        "engines told of by nobody, their key shared",
        "share",
        "engines",
        lambda s: exactly(1 - (1 - 2.0**-16) ** (s.engines - 1)),
        None,
        "",
        "whintrail/fleet/probe_reports.py:engines_by_key",
        "1 - (1 - 1/65,536)^(engines - 1)",
    ),
    Row(
        "probes",
        CONTROL,
        "probes that a gateway sends",
        "1/s",
        "both",
        lambda s: s.measured("memo_datagrams_per_s", "engines") * (1 / s.gateways),
        None,
        "",
        BRAIN + "_probe",
        "memo_datagrams_per_s / gateways: what all hear, one sends",
    ),
    Row(
        "cold_part",
        CONTROL,
        "its part of a cold engine's budget",
        "share",
        "gateways",
        lambda s: s.measured("cold_part", "gateways"),
        None,
        "",
        BRAIN + "_cold_room",
        "cold_part",
    ),
    Row(
        "engine_statements",
        ENGINE,
        "statements, in the mean",
        "1/s",
        "neither",
        lambda s: exactly(given("statements_per_s") / given("engines")),
        None,
        "",
        "",
        "statements / engines",
    ),
    Row(
        "engine_links",
        ENGINE,
        "links from gateways, at most one each",
        "count",
        "gateways",
        lambda s: exactly(s.gateways),
        None,
        "",
        "whintrail/gateway/links.py:LinkPool",
        "1 a gateway",
    ),
    Row(
        "engine_probes",
        ENGINE,
        "probes answered",
        "1/s",
        "neither",
        lambda s: exactly(1 / given("probe_shared_s")),
        None,
        "",
        BRAIN + "_probe",
        "1 each PROBE_SHARED_US, of the whole fleet",
    ),
    Row(
        "beats",
        MEMBER,
        "log beats and their answers",
        "datagrams/s",
        "neither",
        lambda s: exactly(2 * given("beats_per_s")),
        None,
        "",
        "whintrail/fleet/consensus.py:Consensus._send_heartbeats",
        "5/s in, 5/s out, and one each way an entry",
    ),
    Row(
        "council_cpu",
        MEMBER,
        "a member of the council, hollow",
        "share",
        "gateways",
        lambda s: s.measured("control_cpu_share", "gateways", kind="hollow", role="control machine"),
        CORE,
        CORE_NAME,
        "whintrail/fleet/consensus.py:Consensus",
        "control_cpu_share of a member of the council",
    ),
    Row(
        "leader_cpu",
        LEADER,
        "the leader's node, simulated",
        "share",
        "gateways",
        lambda s: s.measured("leader_cpu_share", "gateways", kind="simulated"),
        CORE,
        CORE_NAME,
        "whintrail/fleet/node.py:FleetNode._run_leader",
        "leader_cpu_share",
        total=True,
    ),
    Row(
        "leader_node",
        LEADER,
        "its node in all",
        "share",
        "gateways",
        lambda s: s.measured("node_cpu_share", "gateways", role="leader"),
        CORE,
        CORE_NAME,
        "whintrail/fleet/node.py:FleetNode._run_leader",
        "node_cpu_share of the leader",
    ),
    Row(
        "leader_engines",
        LEADER,
        "all engines gathered, each turn",
        "share",
        "engines",
        lambda s: share(s.measured("leader_engines_us", "engines", role="leader"), given("turns_per_s")),
        CORE,
        CORE_NAME,
        "whintrail/gateway/fleet.py:FleetService.engines",
        f"leader_engines_us x {given('turns_per_s'):g}/s",
    ),
    Row(
        "leader_sum",
        LEADER,
        "both of these",
        "share",
        "both",
        lambda s: (
            s.measured("node_cpu_share", "gateways", role="leader")
            + share(s.measured("leader_engines_us", "engines", role="leader"), given("turns_per_s"))
        ),
        CORE,
        CORE_NAME,
        "whintrail/gateway/fleet.py:FleetService.engines",
        "its node + all engines gathered",
        "some lines: engines gathered when a list event comes",
        True,
    ),
    Row(
        "leader_memory",
        LEADER,
        "its node's state",
        "bytes",
        "gateways",
        lambda s: s.measured("node_bytes", "gateways", role="leader"),
        MEMORY,
        MEMORY_NAME,
        "whintrail/fleet/leader.py:Leader",
        "node_bytes of the leader",
    ),
    Row(
        "lease_answered",
        LEADER,
        f"asks for leases that are answered, at {given('messages_per_s'):g} messages/s",
        "share",
        "gateways",
        lambda s: s.measured("leader_lease_answered", "gateways", role="leader"),
        None,
        "",
        "whintrail/fleet/node.py:SendBudget.take",
        "leader_lease_answered",
    ),
    Row(
        "lease_cpu",
        LEADER,
        "asks for leases, taken in",
        "share",
        "gateways",
        _lease_cpu,
        CORE,
        CORE_NAME,
        "whintrail/versions/leader.py:VersionLeader.grant_lease",
        f"node_take_us x {ASKS:g}/s a gateway",
    ),
    Row(
        "lease_datagrams",
        LEADER,
        "asks for leases and answers",
        "datagrams/s",
        "gateways",
        lambda s: exactly(2 * ASKS * s.gateways),
        None,
        "",
        "whintrail/versions/leader.py:VersionLeader.grant_lease",
        f"{ASKS:g}/s a gateway, each way",
    ),
    Row(
        "told_datagrams",
        LEADER,
        "telling all what is decided, if all were settings",
        "datagrams/s",
        "gateways",
        _told_out,
        None,
        "",
        "whintrail/fleet/node.py:FleetNode._rebroadcast",
        f"{ENTRIES:g} entries x {RETELLS:g} tellings x {CHANGES:.2f}/s a gateway",
    ),
    Row(
        "reports_datagrams",
        LEADER,
        "reports, while it has something to decide",
        "datagrams/s",
        "gateways",
        lambda s: exactly(given("reports_per_s") * s.gateways),
        None,
        "",
        "whintrail/fleet/leader.py:Leader.receive_report",
        f"{given('reports_per_s'):g}/s a gateway",
    ),
    Row(
        "leader_bytes",
        LEADER,
        "these three in bytes, share of its network",
        "share",
        "gateways",
        _leader_net,
        1.0,
        "a control machine's network",
        "whintrail/fleet/node.py:FleetNode.flush",
        f"({ASKS:g} x ({LEASE_ASK:.0f} + {LEASE_TELL:.0f}) + {RETELLS:g} x {CHANGES:.2f} x {TOLD_CHANGE:.0f}"
        f" + {given('reports_per_s'):g} x {REPORT:.0f}) bytes/s a gateway",
    ),
    Row(
        "leader_out",
        LEADER,
        "answers and tellings",
        "datagrams/s",
        "gateways",
        lambda s: exactly(ASKS * s.gateways) + _told_out(s),
        given("messages_per_s"),
        "`messages_per_s` as it comes",
        "whintrail/fleet/node.py:SendBudget.take",
        f"({ASKS:g} + {ENTRIES * RETELLS * CHANGES:.2f})/s a gateway",
        "setting `messages_per_s`",
    ),
    Row(
        "leads_as_gateway",
        LEADER,
        "asks for leases, if an ordinary gateway leads",
        "bytes/s",
        "gateways",
        lambda s: exactly(ASKS * (LEASE_ASK + LEASE_TELL) * s.gateways),
        BYTES,
        BYTES_NAME,
        "whintrail/versions/leader.py:VersionLeader.grant_lease",
        f"{ASKS:g}/s x ({LEASE_ASK:.0f} + {LEASE_TELL:.0f} bytes) a gateway",
        "setting `council`: gateways on control machines",
    ),
    Row(
        "bulletin_links",
        BULLETIN,
        "gateways that follow it, a descriptor each",
        "count",
        "gateways",
        lambda s: exactly(s.gateways),
        None,
        "",
        "",
        "1 a gateway",
    ),
    Row(
        "bulletin_changes",
        BULLETIN,
        "list events to all, share of its network",
        "share",
        "gateways",
        _change_out,
        1.0,
        "its network",
        "",
        f"(list_line_bytes an engine + 52) x {CHANGES:.2f}/s a gateway",
    ),
    Row(
        "bulletin_lists",
        BULLETIN,
        "a whole list to all, once it comes back",
        "s",
        "both",
        _lists_out,
        IN_FORCE,
        "3 s",
        "",
        "list_line_bytes x gateways / its network",
    ),
    Row(
        "machine_gateways",
        MACHINE,
        "gateways a machine, if all shared",
        "count",
        "gateways",
        lambda s: exactly(s.gateways / given("control_machines")),
        None,
        "",
        "",
        "gateways / 26",
    ),
    Row(
        "machine_leases",
        MACHINE,
        "asks for leases, if shared evenly",
        "datagrams/s",
        "gateways",
        lambda s: exactly(ASKS * s.gateways / given("control_machines")),
        None,
        "",
        "",
        f"{ASKS:g}/s a gateway / 26",
    ),
    Row(
        "machine_cpu",
        MACHINE,
        "processor time of these",
        "share",
        "gateways",
        lambda s: _lease_cpu(s) * (1 / given("control_machines")),
        given("control_machine_cores"),
        f"its {given('control_machine_cores'):g} cores",
        "",
        f"node_take_us x {ASKS:g}/s a gateway / 26",
    ),
    Row(
        "slot",
        COMMAND,
        "`fleet may-restart`: a slot granted",
        "s",
        "gateways",
        lambda s: s.measured("slot_s", "gateways", kind="simulated"),
        None,
        "",
        "whintrail/fleet/leader.py:Leader._decide_slot",
        "slot_s",
    ),
    Row(
        "slots_day",
        COMMAND,
        "slots one after another, share of the day",
        "share",
        "gateways",
        lambda s: s.measured("slot_s", "gateways", kind="simulated") * per_s("restarts_a_day"),
        1.0,
        "the whole day",
        "whintrail/fleet/leader.py:Leader._decide_slot",
        f"slot_s x {per_s('restarts_a_day'):.3f}/s",
    ),
)

# Of a gateway that keeps a subset; without one there is nothing of them.
SUBSET_ROWS: tuple[Row, ...] = (
    Row(
        "part_delta_cpu",
        CONTROL,
        "its part kept in step with list events",
        "share",
        "engines",
        lambda s: share(s.measured("part_delta_us", "engines"), CHANGES),
        CPU,
        CPU_NAME,
        "whintrail/subset/assignment.py:SubsetAssignment.apply_list",
        f"part_delta_us x {CHANGES:.2f}/s",
        total=True,
    ),
    Row(
        "part_start_stand",
        DATA,
        "a query that meets its part of a whole list waits",
        "ms",
        "engines",
        lambda s: s.measured("part_start_us", "engines") * 1e-3,
        SLACK_MS,
        "the slack of a final answer",
        "whintrail/subset/assignment.py:SubsetAssignment.apply_list",
        "part_start_us, in one go",
        total=True,
    ),
    Row(
        "part_memory",
        CONTROL,
        "what it knows of engines that it doesn't keep",
        "bytes",
        "engines",
        lambda s: s.measured("part_bytes", "engines"),
        MEMORY,
        MEMORY_NAME,
        "whintrail/subset/assignment.py:SubsetAssignment",
        "part_bytes",
    ),
)
