"""Every size, count and time of the gateway, filled once at the start from configuration and settings."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from whintrail.gateway.postgres import MOST_TEXT
from whintrail.settings import get

MEGABYTE = 1 << 20


@dataclass(frozen=True, slots=True)
class Limits:
    # Descriptors: clients hold a third at most, and some are just closing; engines another; then a reserve.
    client_connections: int
    engine_connections: int
    doorway: int  # beyond them: those that wait for room, and as many that were told their end
    accept_backlog: int
    # Sizes in bytes.
    first_buffer: int
    link_buffer: int
    startup_bytes: int
    query_bytes: int
    engine_line_bytes: int
    page_bytes: int
    result_pages: int
    client_out_bytes: int
    waste_bytes: int
    bulletin_line_bytes: int
    # Counts.
    log_burst: float  # lines of one kind at once
    log_per_second: float
    open_queries: int  # a client has one open on a connection
    past_calls: int  # ids of queries that are over
    streams: int
    receives_a_turn: int  # of one client, before all others have had theirs
    accepts_a_turn: int
    messages_a_turn: int
    datagrams_a_turn: int  # of other gateways
    # Times in seconds.
    connect_s: float
    idle_link_s: float
    quiet_link_us: int  # without a byte while requests are open
    partial_answer_us: int  # from an answer's first byte to its last
    whole_query_s: float  # from accept to the first whole query; of a later message from its first byte
    quiet_s: float  # a session is idle so long before it makes way for another
    watch_s: float  # how often sessions are looked through for those that are late
    client_write_s: float
    linger_s: float
    crossing_s: float  # what was written before a close was seen is here by then
    poll_s: float
    bulletin_connect_s: float
    bulletin_silent_s: float  # it speaks each second
    bulletin_retry_first_s: float
    bulletin_retry_most_s: float
    accept_after_stop_s: float
    finish_after_stop_s: float
    # Allocations between two runs of the garbage collector, by generation.
    gc_thresholds: tuple[int, int, int]
    # Times in microseconds.
    answer_slack_us: int
    fresh_us: int  # so shortly after its query nobody asks a client's connection whether it still stands
    timeline_tick_us: int
    call_memory_us: int  # the id of a query that is over is known for so long at least

    @staticmethod
    def read(config: Mapping[str, Any]) -> "Limits":
        given, settings = get(config, "limits", {}), get(config, "settings", {})
        allowed, rules = get(settings, "Limits", {}), get(settings, "Rules", {})
        sockets, memory = int(get(given, "sockets", 1024)), float(get(given, "memory_mb", 192))
        clients = max(8, sockets * 45 // 100)
        longest = max((c["DeadlineUs"] for c in get(settings, "Classes", [])), default=3_000_000) / 1e6
        return Limits(
            client_connections=clients,
            engine_connections=max(8, sockets * 35 // 100),
            doorway=max(2, sockets * 4 // 100),
            accept_backlog=min(1024, max(128, sockets)),
            first_buffer=2048,
            link_buffer=65_536,
            startup_bytes=10_000,
            query_bytes=max(16_384, min(65_536, int(memory * MEGABYTE / 8 / clients))),
            engine_line_bytes=4096,
            page_bytes=MOST_TEXT,
            result_pages=64,
            client_out_bytes=65_536,
            waste_bytes=65_536,
            bulletin_line_bytes=MEGABYTE,
            log_burst=5.0,
            log_per_second=1.0,
            open_queries=min(int(get(allowed, "MaxOpen", 20_000)), sockets // 3),
            past_calls=10_000,
            streams=max(1, int(get(allowed, "MaxStreams", 32))),
            receives_a_turn=4,
            accepts_a_turn=32,
            messages_a_turn=32,
            datagrams_a_turn=32,
            connect_s=get(allowed, "ConnectTimeoutUs", 250_000) / 1e6,
            quiet_link_us=int(1.5 * get(get(settings, "FamilyInfo", {}), "ProgressPaceUs", 0)) or 1_000_000,
            partial_answer_us=400_000,
            idle_link_s=get(allowed, "KeepaliveUs", 30_000_000) / 1e6,
            whole_query_s=2.0,
            quiet_s=0.1,
            watch_s=0.1,
            client_write_s=5.0,
            linger_s=1.0,
            crossing_s=0.1,
            poll_s=0.02,
            bulletin_connect_s=0.5,
            bulletin_silent_s=1.6,
            bulletin_retry_first_s=0.05,
            bulletin_retry_most_s=0.4,
            accept_after_stop_s=0.75,
            finish_after_stop_s=min(longest, 3.0) + 0.4,
            gc_thresholds=(20_000, 20, 50),
            # An engine may be at it until the deadline: so long the same id is no other query's.
            call_memory_us=max(4_000_000, int(longest * 1e6)),
            fresh_us=20_000,
            timeline_tick_us=250_000,
            answer_slack_us=int(get(rules, "AnswerSlackUs", 20_000)),
        )
