"""Every size, count and time of the gateway, filled once at the start from configuration and settings."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from whintrail.gateway.postgres import MAX_PAGE_BYTES
from whintrail.settings import get_or_default

BYTES_PER_MB = 1 << 20


@dataclass(frozen=True, slots=True)
class Limits:
    # Descriptors: clients hold a third at most, and some are just closing; engines another; then a reserve.
    client_connections: int
    engine_connections: int
    waiting_connections: int  # beyond them: those that wait for room, and as many that were told their end
    accept_backlog: int
    # Sizes in bytes.
    initial_buffer_bytes: int
    link_buffer_bytes: int
    startup_bytes: int
    query_bytes: int
    engine_line_bytes: int
    page_bytes: int
    result_pages: int
    client_unsent_bytes: int
    discard_buffer_bytes: int
    bulletin_line_bytes: int
    # Counts.
    log_burst: float  # lines of one kind at once
    log_per_second: float
    open_queries: int  # a client has one open on a connection
    recent_call_ids: int  # ids of queries that are over
    attempts_per_link: int
    receives_per_turn: int  # of one client, before all others have had theirs
    accepts_per_turn: int
    messages_per_turn: int
    datagrams_per_turn: int  # of other gateways
    # Times in seconds.
    connect_timeout_s: float
    link_idle_timeout_s: float
    link_silence_timeout_us: int  # without a byte while requests are open
    partial_answer_timeout_us: int  # from an answer's first byte to its last
    query_receive_timeout_s: (
        float  # from accept to the first whole query; of a later message from its first byte
    )
    session_min_idle_s: float  # a session is idle so long before it makes way for another
    sweep_interval_s: float  # how often sessions are looked through for those that are late
    client_write_timeout_s: float
    linger_timeout_s: float
    close_grace_s: float  # what was written before a close was seen is here by then
    poll_interval_s: float
    bulletin_connect_timeout_s: float
    bulletin_silence_timeout_s: float  # it speaks each second
    bulletin_retry_min_s: float
    bulletin_retry_max_s: float
    accept_after_stop_s: float
    finish_after_stop_s: float
    # Allocations between two runs of the garbage collector, by generation.
    gc_thresholds: tuple[int, int, int]
    # Times in microseconds.
    answer_slack_us: int
    new_query_grace_us: (
        int  # so shortly after its query nobody asks a client's connection whether it still stands
    )
    timeline_interval_us: int
    call_id_retention_us: int  # the id of a query that is over is known for so long at least

    @staticmethod
    def read(config: Mapping[str, Any]) -> "Limits":
        given, settings = get_or_default(config, "limits", {}), get_or_default(config, "settings", {})
        allowed, rules = get_or_default(settings, "Limits", {}), get_or_default(settings, "Rules", {})
        sockets, memory = (
            int(get_or_default(given, "sockets", 1024)),
            float(get_or_default(given, "memory_mb", 192)),
        )
        clients = max(8, sockets * 45 // 100)
        longest = (
            max((c["DeadlineUs"] for c in get_or_default(settings, "Classes", [])), default=3_000_000) / 1e6
        )
        return Limits(
            client_connections=clients,
            engine_connections=max(8, sockets * 35 // 100),
            waiting_connections=max(2, sockets * 4 // 100),
            accept_backlog=min(1024, max(128, sockets)),
            initial_buffer_bytes=2048,
            link_buffer_bytes=65_536,
            startup_bytes=10_000,
            query_bytes=max(16_384, min(65_536, int(memory * BYTES_PER_MB / 8 / clients))),
            engine_line_bytes=4096,
            page_bytes=MAX_PAGE_BYTES,
            result_pages=64,
            client_unsent_bytes=65_536,
            discard_buffer_bytes=65_536,
            bulletin_line_bytes=BYTES_PER_MB,
            log_burst=5.0,
            log_per_second=1.0,
            open_queries=min(int(get_or_default(allowed, "MaxOpen", 20_000)), sockets // 3),
            recent_call_ids=10_000,
            attempts_per_link=max(1, int(get_or_default(allowed, "MaxStreams", 32))),
            receives_per_turn=4,
            accepts_per_turn=32,
            messages_per_turn=32,
            datagrams_per_turn=32,
            connect_timeout_s=get_or_default(allowed, "ConnectTimeoutUs", 250_000) / 1e6,
            link_silence_timeout_us=int(
                1.5 * get_or_default(get_or_default(settings, "FamilyInfo", {}), "ProgressPaceUs", 0)
            )
            or 1_000_000,
            partial_answer_timeout_us=400_000,
            link_idle_timeout_s=get_or_default(allowed, "KeepaliveUs", 30_000_000) / 1e6,
            query_receive_timeout_s=2.0,
            session_min_idle_s=0.1,
            sweep_interval_s=0.1,
            client_write_timeout_s=5.0,
            linger_timeout_s=1.0,
            close_grace_s=0.1,
            poll_interval_s=0.02,
            bulletin_connect_timeout_s=0.5,
            bulletin_silence_timeout_s=1.6,
            bulletin_retry_min_s=0.05,
            bulletin_retry_max_s=0.4,
            accept_after_stop_s=0.75,
            finish_after_stop_s=min(longest, 3.0) + 0.4,
            gc_thresholds=(20_000, 20, 50),
            # An engine may be at it until the deadline: so long the same id is no other query's.
            call_id_retention_us=max(4_000_000, int(longest * 1e6)),
            new_query_grace_us=20_000,
            timeline_interval_us=250_000,
            answer_slack_us=int(get_or_default(rules, "AnswerSlackUs", 20_000)),
        )
