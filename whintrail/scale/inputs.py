"""The inputs of the capacity model: the operators' requirements, assumptions, and constants of the program.

Measured values are not here but in docs/capacity/*.json. Intervals and limits of the program are read from
the code that uses them, so that the model cannot become stale.
"""

from collections.abc import Mapping
from typing import Literal

from msgspec import Struct

from whintrail import routing
from whintrail.config.records import Fleet
from whintrail.fleet.consensus import ConsensusTiming
from whintrail.fleet.membership import MembershipTiming
from whintrail.fleet.node import REBROADCASTS, REPORT_INTERVAL_US
from whintrail.fleet.replica import MAX_CHUNKS, RETAINED_ENTRIES
from whintrail.fleet.state import MAX_SLOTS
from whintrail.fleet.wire import CHUNK_BYTES
from whintrail.gateway.fleet import TICK_INTERVAL_S
from whintrail.gateway.limits import Limits
from whintrail.versions.member import VersionTiming

Source = Literal["operators", "assumed", "program"]


class Input(Struct, frozen=True):
    """A value that the model takes as given, with its source and the reason for it."""

    name: str
    unit: str
    value: float
    source: Source
    reason: str


def _from_operators(name: str, unit: str, value: float, reason: str) -> Input:
    return Input(name, unit, value, "operators", reason)


def _assumed(name: str, unit: str, value: float, reason: str) -> Input:
    return Input(name, unit, value, "assumed", reason)


def _from_program(name: str, unit: str, value: float, reason: str) -> Input:
    return Input(name, unit, value, "program", reason)


# The largest limits that the platform gives a gateway.
MAX_SOCKETS = 1024
MAX_MEMORY_MB = 192
GATEWAY_LIMITS = Limits.read({"limits": {"sockets": MAX_SOCKETS, "memory_mb": MAX_MEMORY_MB}, "settings": {}})
FLEET_SETTINGS = Fleet(name="x", council=(0,))
VERSION_TIMING = VersionTiming()
MEMBERSHIP_TIMING = MembershipTiming()
CONSENSUS_TIMING = ConsensusTiming()

ALL_INPUTS = (
    _from_operators("gateways", "count", 4000, "the size that is coming"),
    _from_operators("engines", "count", 15_000, "the same; they say databases"),
    _from_operators("gateways_today", "count", 200, "where the way begins"),
    _from_operators("engines_today", "count", 80, "where the way begins"),
    _from_operators("client_connections", "count", 8_200_000, "over all gateways"),
    _from_operators("statements_per_s", "1/s", 5_800_000, "over all gateways"),
    _from_operators("primary_changes_a_day", "1/day", 26, "each over within primary_change_s"),
    _from_operators("primary_change_s", "s", 5, "the same"),
    _from_operators("regions", "count", 9, "with zones zones between them"),
    _from_operators("zones", "count", 19, "a zone is a nineteenth of everything"),
    _from_operators(
        "changes_a_day", "1/day", 64_000, "of configuration; each in force everywhere within in_force_s"
    ),
    _from_operators("in_force_s", "s", 3, "the same"),
    _from_operators("control_cpu", "share", 0.014, "of a core, for all of a gateway's control"),
    _from_operators("control_memory_mb", "MB", 64, "for all of a gateway's control"),
    _from_operators("control_bytes_per_s", "bytes/s", 4096, "4 KB/s, taken as in and out together"),
    _from_operators("control_machines", "count", 26, "set aside for control"),
    _from_operators("failures_a_day", "1/day", 21, "machines, on an ordinary day"),
    _from_operators("restarts_a_day", "1/day", 1800, "machines restarted or replaced"),
    _from_operators("rack", "count", 40, "machines that go at once with a rack or a switch"),
    _from_operators("cut_s", "s", 3600, "for so long regions lose each other"),
    _assumed("peak_over_mean", "ratio", 2.0, "busiest hour over the day's mean; the operators gave means"),
    _assumed("burst", "ratio", 10.0, "changes of configuration over their mean, by the letter"),
    _assumed("burst_s", "s", 600, "how long a burst lasts: a deployment of ten minutes"),
    _assumed("rtt_zone_s", "s", 0.0005, "within a region, between zones: tens of kilometres of fibre"),
    _assumed(
        "rtt_region_s", "s", 0.15, "between regions, the farthest pair: light in fibre half round the globe"
    ),
    _assumed("datagram_overhead", "bytes", 28, "IPv4 without options 20 (RFC 791), UDP 8 (RFC 768)"),
    _assumed("segment_overhead", "bytes", 52, "IPv4 20, TCP 20 (RFC 9293), timestamps 12 (RFC 7323)"),
    _assumed(
        "control_machine_cores", "count", 16, "a small server; the operators gave a number of machines only"
    ),
    _assumed("control_machine_gbit_per_s", "Gbit/s", 10, "a small server's network"),
    _assumed("bulletin_gbit_per_s", "Gbit/s", 10, "the bulletin's machine is one like them"),
    _assumed("data_path_cores", "share", 1.0, "a gateway is one process with one loop"),
    _assumed("entry_commands", "count", 3, "a change of settings: proposed, enters, settles"),
    _assumed(
        "out_share", "share", 0.05, "of the gateways that may be out at once: `out` of the example file"
    ),
    _assumed("out_zone_share", "share", 0.1, "the same in a zone"),
    _assumed("restart_s", "s", 30, "from the end of a process to its successor's start"),
    _from_program("proven_s", "s", FLEET_SETTINGS.proven_s, "a new process has to have served so long"),
    _from_program(
        "check_s",
        "s",
        VERSION_TIMING.check_timeout_us / 1e6,
        "for all to say whether they can act on a proposal",
    ),
    _from_program(
        "change_round_trips",
        "count",
        8,
        "docs/versions.md, its steps in turn: asked of the leader 0.5; proposed, entered, settled: decided 1 "
        "and told 0.5 each; the body fetched 1; verdict, and acting on the merge, said 0.5 each; a lease 1",
    ),
    _from_program(
        "refresh_per_s",
        "1/s",
        1e6 / routing.WEIGHT_REFRESH_INTERVAL_US,
        "routing.WEIGHT_REFRESH_INTERVAL_US: while work is out",
    ),
    _from_program("sweep_per_s", "1/s", 1e6 / routing.SWEEP_INTERVAL_US, "routing.SWEEP_INTERVAL_US"),
    _from_program("turns_per_s", "1/s", 1 / TICK_INTERVAL_S, "gateway/fleet.TICK_INTERVAL_S"),
    _from_program(
        "probe_shared_s",
        "s",
        routing.SHARED_PROBE_INTERVAL_US / 1e6,
        "an engine is asked so often by the whole fleet",
    ),
    _from_program(
        "silent_s", "s", routing.MIN_SILENCE_US / 1e6, "silence of an engine before it is given up, at least"
    ),
    _from_program(
        "lease_s", "s", VERSION_TIMING.lease_us / 1e6, "VersionTiming: a rule holds so long from the asking"
    ),
    _from_program(
        "lease_asks_per_s",
        "1/s",
        1e6 / VERSION_TIMING.renew_interval_us,
        "VersionTiming, a gateway; what is new is asked at once",
    ),
    _from_program("stated_s", "s", VERSION_TIMING.max_divergence_us / 1e6, "T of docs/versions.md"),
    _from_program(
        "election_s",
        "s",
        (CONSENSUS_TIMING.election_timeout_us + CONSENSUS_TIMING.election_jitter_us) / 1e6,
        "without a leader, at most",
    ),
    _from_program(
        "beats_per_s", "1/s", 1e6 / CONSENSUS_TIMING.heartbeat_us, "of the leader to each of the council"
    ),
    _from_program("retells", "count", REBROADCASTS, "what is decided is told to all so often"),
    _from_program(
        "reports_per_s",
        "1/s",
        1e6 / REPORT_INTERVAL_US,
        "a gateway's to the leader, while it has something to decide",
    ),
    _from_program(
        "entries_kept",
        "count",
        RETAINED_ENTRIES,
        "a replica can tell these again; past them the whole state goes",
    ),
    _from_program(
        "state_most_bytes", "bytes", MAX_CHUNKS * CHUNK_BYTES, "the longest state that a newcomer can be told"
    ),
    _from_program("slots_most", "count", MAX_SLOTS, "that the agreed state holds"),
    _from_program(
        "answer_slack_ms",
        "ms",
        GATEWAY_LIMITS.answer_slack_us / 1e3,
        "a longer stand of the loop makes final answers late",
    ),
    _from_program(
        "bulletin_line_bytes", "bytes", GATEWAY_LIMITS.bulletin_line_bytes, "a longer line is refused"
    ),
    _from_program(
        "client_limit",
        "count",
        GATEWAY_LIMITS.client_connections,
        f"45% of {MAX_SOCKETS} descriptors, the platform's most",
    ),
    _from_program(
        "link_limit", "count", GATEWAY_LIMITS.engine_connections, f"35% of {MAX_SOCKETS} descriptors"
    ),
    _from_program(
        "keepalive_s", "s", GATEWAY_LIMITS.link_idle_timeout_s, "an idle link to an engine stays so long"
    ),
    _from_program("memory_mb", "MB", MAX_MEMORY_MB, "of a gateway in all: the platform's most"),
    _from_program(
        "messages_per_s",
        "1/s",
        FLEET_SETTINGS.messages_per_s,
        "a gateway's fleet datagrams out, as the setting comes",
    ),
)

INPUT_BY_NAME: Mapping[str, Input] = {given.name: given for given in ALL_INPUTS}


def input_value(name: str) -> float:
    """Returns the value of an input. Raises KeyError if there is no such input."""
    return INPUT_BY_NAME[name].value
