"""All size, count and time limits of the gateway, set once at the start from the configuration."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from whintrail.gateway.postgres import MAX_PAGE_BYTES
from whintrail.settings import get_or_default

BYTES_PER_MB = 1 << 20


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of a gateway, read from the configuration."""

    # Connections, as shares of the allowed descriptors; the rest is a reserve. Conforming clients hold at
    # most a third of the descriptors. Their share is larger, as some connections are still closing.
    client_connections: int
    engine_connections: int
    waiting_connections: int  # beyond client_connections; as many again may be half-closed
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
    open_queries: int  # of all clients together; a connection has at most one
    inbox_items: int  # that wait for the dispatcher, before no more input is processed
    recent_call_ids: int  # ids of finished queries that are remembered
    attempts_per_link: int
    receives_per_turn: int  # of one connection, before others have a turn of the loop
    accepts_per_turn: int
    datagrams_per_turn: int  # from other gateways
    # Times, each with its unit. The first three are spent in one turn of the event loop on the input of all
    # clients, of all engines, and of the dispatcher.
    client_turn_us: int
    engine_turn_us: int
    dispatcher_turn_us: int
    connect_timeout_s: float
    link_idle_timeout_s: float
    link_silence_timeout_us: int  # without a received byte while requests are open
    partial_answer_timeout_us: int  # from the first to the last byte of an answer
    # From the accept to the last byte of the first query, later from a message's first byte to its last.
    query_receive_timeout_s: float
    session_min_idle_s: float  # a session may be evicted once it is idle for this long
    sweep_interval_s: float  # between two checks of all sessions and links
    client_write_timeout_s: float
    linger_timeout_s: float
    close_grace_s: float  # bytes that crossed with a close arrive within this time
    poll_interval_s: float
    bulletin_connect_timeout_s: float
    bulletin_silence_timeout_s: float  # the bulletin sends a line each second
    bulletin_retry_min_s: float
    bulletin_retry_max_s: float
    accept_after_stop_s: float
    finish_after_stop_s: float
    # Allocations between two runs of the garbage collector, by generation.
    gc_thresholds: tuple[int, int, int]
    answer_slack_us: int  # past its deadline, before the dispatcher itself fails a query
    group_search_timeout_us: int  # from a load's last byte; then its table group stays unknown
    new_query_grace_us: int  # a client is not checked for a disconnect this soon after its query
    timeline_interval_us: int
    call_id_retention_us: int  # minimum time for which the id of a finished query is remembered

    @staticmethod
    def read(config: Mapping[str, Any]) -> "Limits":
        """Read the configuration's limits and settings; the rest are fixed values."""
        process_limits = get_or_default(config, "limits", {})
        settings = get_or_default(config, "settings", {})
        engine_limits = get_or_default(settings, "Limits", {})
        rules = get_or_default(settings, "Rules", {})
        sockets = int(get_or_default(process_limits, "sockets", 1024))
        memory_mb = float(get_or_default(process_limits, "memory_mb", 192))
        client_connections = max(8, sockets * 45 // 100)
        longest_deadline_s = (
            max((c["DeadlineUs"] for c in get_or_default(settings, "Classes", [])), default=3_000_000) / 1e6
        )
        return Limits(
            client_connections=client_connections,
            engine_connections=max(8, sockets * 35 // 100),
            waiting_connections=max(2, sockets * 4 // 100),
            accept_backlog=min(1024, max(128, sockets)),
            initial_buffer_bytes=2048,
            link_buffer_bytes=65_536,
            startup_bytes=10_000,
            query_bytes=max(16_384, min(65_536, int(memory_mb * BYTES_PER_MB / 8 / client_connections))),
            engine_line_bytes=4096,
            page_bytes=MAX_PAGE_BYTES,
            result_pages=64,
            client_unsent_bytes=65_536,
            discard_buffer_bytes=65_536,
            bulletin_line_bytes=BYTES_PER_MB,
            log_burst=5.0,
            log_per_second=1.0,
            open_queries=min(int(get_or_default(engine_limits, "MaxOpen", 20_000)), sockets // 3),
            inbox_items=256,
            recent_call_ids=10_000,
            attempts_per_link=max(1, int(get_or_default(engine_limits, "MaxStreams", 32))),
            receives_per_turn=4,
            accepts_per_turn=32,
            datagrams_per_turn=32,
            client_turn_us=2000,
            engine_turn_us=5000,
            dispatcher_turn_us=5000,
            connect_timeout_s=get_or_default(engine_limits, "ConnectTimeoutUs", 250_000) / 1e6,
            link_silence_timeout_us=int(
                1.5 * get_or_default(get_or_default(settings, "FamilyInfo", {}), "ProgressPaceUs", 0)
            )
            or 1_000_000,
            partial_answer_timeout_us=400_000,
            link_idle_timeout_s=get_or_default(engine_limits, "KeepaliveUs", 30_000_000) / 1e6,
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
            finish_after_stop_s=min(longest_deadline_s, 3.0) + 0.4,
            gc_thresholds=(20_000, 20, 50),
            # An engine may work on a query until its deadline, so its id must not be reused before.
            call_id_retention_us=max(4_000_000, int(longest_deadline_s * 1e6)),
            group_search_timeout_us=300_000,
            new_query_grace_us=20_000,
            timeline_interval_us=250_000,
            answer_slack_us=int(get_or_default(rules, "AnswerSlackUs", 20_000)),
        )
