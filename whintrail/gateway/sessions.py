"""Client sessions: the start-up, queries in sequence, their answers, and cancel requests."""

import asyncio
import secrets
import socket
from contextlib import suppress
from dataclasses import dataclass

from whintrail.gateway import postgres as pg
from whintrail.gateway.buffer import Buffer
from whintrail.gateway.connection import Connection, configure_socket
from whintrail.gateway.counters import Counters
from whintrail.gateway.dispatcher import ClientDeparted, Inbox, Query, QueryReceived
from whintrail.gateway.limits import Limits
from whintrail.gateway.log import Log
from whintrail.gateway.statement import Statement, StatementError, read_statement
from whintrail.gateway.turns import TurnScheduler

SERVER_PARAMETERS = {
    "server_version": "15.0 (whintrail)",
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "TimeZone": "UTC",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
}
RESULT_COLUMNS = pg.row_description(["column1", "column2", "column3"])
EXTENDED_PROTOCOL_MESSAGES = frozenset([b"P", b"B", b"D", b"E", b"C", b"H", b"F"])
COPY_MESSAGES = frozenset([b"d", b"c", b"f"])
CANCEL_REQUEST_BYTES = 16
ACCEPT_RETRY_DELAY_S = 0.01
CANCELED_TEXT = "canceling statement due to user request"


@dataclass(slots=True)
class StatementInParsing:
    """A load whose statement is searched for its table group, a part at a time."""

    statement: Statement
    received_us: int


class Session:
    """One client's connection."""

    def __init__(self, server: "SessionServer", sock: socket.socket, process_id: int, admitted: bool) -> None:
        self.server, self.process_id = server, process_id
        self.admitted = admitted  # before that, only a cancel request is processed
        self.limits, self.inbox, self.counters = server.limits, server.inbox, server.counters
        self.secret = secrets.randbits(32)
        buffer = Buffer(self.limits.initial_buffer_bytes, self.limits.query_bytes)
        self.connection = Connection(sock, buffer, self._on_all_sent)
        self.open_query: Query | None = None  # received and not yet answered
        self.answering = False  # an answer is being written
        self.answer_started_at = 0.0
        self.startup_done = False
        self.has_sent_query = False  # a complete query was received
        # By when the first query, or a message that has begun, must be complete; None without one.
        self.receive_deadline: float | None = (
            self.now() + self.limits.query_receive_timeout_s if admitted else None
        )
        self.skipping_to_sync = False  # skip messages until Sync, after an error in the extended protocol
        self.ended_at: float | None = None  # from then on input is discarded and no answer is sent
        self.share = server.turns.new_share()  # of the turns of the event loop
        self.received_ahead = False  # input was received while earlier input waits for its turn
        self.input_error: Exception | None = None  # a fault, which ends the session
        self.statement_in_parsing: StatementInParsing | None = None
        self.cancel_next_query = False  # a cancel request arrived before its query was read
        self.resume_reading = asyncio.Event()

    def now(self) -> float:
        """The event loop's time in seconds."""
        return self.server.loop.time()

    @property
    def ended(self) -> bool:
        """Whether the session was half-closed or the client has left."""
        return self.ended_at is not None

    @property
    def idle(self) -> bool:
        """Whether no query is open, no answer is being written and no input is buffered."""
        if self.open_query is not None or self.answering:
            return False
        return self.ended or not (len(self.connection.buffer) or self.statement_in_parsing)

    async def run(self) -> None:
        """Read from the client until its connection ends."""
        connection, receives_per_turn = self.connection, self.limits.receives_per_turn
        receive_count = 0
        try:
            while True:
                if self._must_wait_for_turn:
                    self.resume_reading.clear()
                    await self.resume_reading.wait()
                    continue
                if self.input_error is not None:
                    raise self.input_error
                if self.ended:
                    if not await connection.discard(self.server.discard_buffer):
                        break
                elif connection.buffer.full:  # pipelined input waits until the open query is answered
                    self.resume_reading.clear()
                    await self.resume_reading.wait()
                    continue
                elif not await connection.receive():
                    break
                if self.share.queued:
                    self.received_ahead = True
                else:
                    self.server.turns.submit(self)
                receive_count += 1
                # Let other tasks run, even if the client never stops sending.
                if receive_count % receives_per_turn == 0:
                    await asyncio.sleep(0)
        finally:
            self._detach_client()
            self.server.remove_session(self)
            await connection.close()

    @property
    def _must_wait_for_turn(self) -> bool:
        """Whether nothing is received until the turn in which earlier input is processed.

        If a whole message waits, one further receive notices that the client has left meanwhile. More would
        read faster than is processed.
        """
        has_message = self.startup_done and pg.has_message(self.connection.buffer)
        return self.share.queued and (self.received_ahead or not has_message)

    def _detach_client(self) -> None:
        """Mark the session ended and its query as left by the client.

        Later steps (`process_next`, `_on_all_sent`) see that the session has ended. The
        dispatcher sees `client_left` even before it processes `ClientDeparted`.
        """
        if self.ended_at is None:
            self.ended_at = self.now()
        if self.open_query is not None:
            query, self.open_query = self.open_query, None
            query.client_left = True
            self.inbox.put(ClientDeparted(query))

    def has_left(self, query: Query) -> bool:
        """Whether the client has disconnected or cancelled the query, even if that has not been read yet."""
        if self.open_query is query and self.connection.peer_closed():
            self.counters.add("sessions", "departed")
            self._detach_client()
            self.resume_reading.set()  # the reader reads on to the end of the connection
            self.server.on_session_ending(self)
        return self.open_query is not query

    def expiry_reason(self, now: float) -> str | None:
        """Why the session has to be ended now; None if it may go on."""
        if self.ended_at is not None:
            all_sent, ended_for_s = self.connection.all_sent, now - self.ended_at
            return (
                "lingered"
                if ended_for_s
                > (self.limits.linger_timeout_s if all_sent else self.limits.client_write_timeout_s)
                else None
            )
        if self.open_query is not None and self.connection.buffer.full and self.connection.peer_closed():
            # With a full buffer nothing is read until the query ends, so the end would go unseen.
            return "departed"
        if self.answering:
            return "stalled" if now - self.answer_started_at > self.limits.client_write_timeout_s else None
        if self.open_query is not None or self.receive_deadline is None or now <= self.receive_deadline:
            return None
        if self.share.queued:  # what it has sent may be whole, and waits for its turn
            return None
        # Bytes that have just arrived may complete the query: within the grace period they are read first.
        in_grace_period = now - self.receive_deadline <= self.limits.close_grace_s
        return (
            None
            if in_grace_period
            and (self.connection.has_unprocessed_receive() or self.connection.has_unread_bytes())
            else "silent"
        )

    def expire(self) -> None:
        """End a session without a complete query in time, with an error if the client has sent anything."""
        has_sent_anything = self.startup_done or len(self.connection.buffer)
        self._half_close(
            pg.error(pg.CANCELED, "no whole query came in time", fatal=True) if has_sent_anything else b""
        )

    def admit(self) -> None:
        """Admit a waiting session, and process what it has sent so far."""
        self.admitted, self.receive_deadline = True, self.now() + self.limits.query_receive_timeout_s
        self.server.turns.submit(self)

    def close_if_idle(self) -> bool:
        """End the session if it is idle; returns whether it was.

        The check and the half-close are one step, and the reader isn't cancelled. A request that was read in
        this turn of the loop is still served. A later one is read and discarded, as a close with unread input
        would reset the connection, and the client could lose its last answer.
        """
        connection = self.connection
        if (
            not self.idle
            or self.ended
            or connection.has_unprocessed_receive()
            or connection.has_unread_bytes()
        ):
            return False
        self._half_close()
        return True

    # --- Input.

    def next_input_bytes(self) -> int:
        """The size of the next message, as far as it is known."""
        return pg.next_message_bytes(self.connection.buffer) if self.startup_done else 0

    def process_next(self) -> bool:
        """Process one message, or a part of a long one; returns whether there is more to process.

        One query is processed at a time: what follows it waits in the buffer until it is answered.
        """
        if self._must_wait:
            return False
        try:
            if self.statement_in_parsing is not None:
                self._continue_parsing(self.statement_in_parsing)
            elif not (self._read_message() if self.startup_done else self._read_startup()):
                return False
        except pg.ProtocolError as error:
            self.counters.add("sessions", "broken")
            self._half_close(pg.error(error.sqlstate, str(error), fatal=True))
        return not self._must_wait and bool(len(self.connection.buffer) or self.statement_in_parsing)

    @property
    def _must_wait(self) -> bool:
        """Whether the next message has to wait, because of an answer or because the client does not read."""
        if self.ended or self.open_query is not None or self.answering:
            return True
        return self.connection.unsent_bytes > self.limits.client_unsent_bytes

    def on_input_failed(self, error: Exception) -> None:
        """Let the reader task end the session with the error."""
        self.input_error = error

    def on_input_processed(self) -> None:
        """Receive again, and expect the rest of a message that has begun."""
        waits_for_query = self.open_query is None and not self.answering and self.admitted
        if self.receive_deadline is None and waits_for_query and len(self.connection.buffer):
            self.receive_deadline = self.now() + self.limits.query_receive_timeout_s
        self.received_ahead = False
        self.resume_reading.set()

    def _read_startup(self) -> bool:
        if not self.admitted and not pg.is_cancel_request(self.connection.buffer.peek(CANCEL_REQUEST_BYTES)):
            return False
        message = pg.read_startup(self.connection.buffer, self.limits.startup_bytes)
        match message:
            case None:
                return False
            case pg.EncryptionRequest():
                self.connection.write(pg.ENCRYPTION_DECLINED)
            case pg.CancelRequest(process_id, secret):
                self.counters.add("sessions", "cancel_requests")
                self.server.cancel_query(process_id, secret)
                self._half_close()
            case pg.Startup(minor, parameters):
                options = pg.protocol_options(parameters)
                if minor or options:
                    self.connection.write(pg.negotiate_protocol_version(options))
                self.startup_done = True
                self.connection.write(pg.startup_response(SERVER_PARAMETERS, self.process_id, self.secret))
        return True

    def _read_message(self) -> bool:
        message = pg.read_message(self.connection.buffer, self.limits.query_bytes)
        if message is None:
            return False
        kind, body = message
        if self.has_sent_query or kind == b"Q":
            self.has_sent_query, self.receive_deadline = True, None
        if kind == b"X":
            self._half_close()
        elif kind == b"S":
            self.skipping_to_sync = False
            self.connection.write(pg.READY_FOR_QUERY)
        elif kind in EXTENDED_PROTOCOL_MESSAGES:
            if not self.skipping_to_sync and kind != b"H":
                self.skipping_to_sync = True
                self.connection.write(pg.error(pg.UNSUPPORTED, "only simple queries are served"))
        elif self.skipping_to_sync or kind in COPY_MESSAGES:
            pass
        elif kind == b"Q":
            self._start_query(pg.query_text(body))
        else:
            raise pg.ProtocolError(pg.PROTOCOL_VIOLATION, f"invalid frontend message type {kind[0]}")
        return True

    def _start_query(self, text: bytes) -> None:
        if not text.strip(b" \t\r\n\f\v;"):
            self.connection.write(pg.EMPTY_QUERY + pg.READY_FOR_QUERY)
            return
        try:
            statement = read_statement(text)
        except StatementError as error:
            self.counters.add("queries", "unreadable")
            self.connection.write(pg.error(pg.BAD_VALUE, str(error)) + pg.READY_FOR_QUERY)
            return
        received_us = self.inbox.clock.now_us() - self.connection.since_last_data_us()
        if statement.class_name in self.server.load_classes:
            self._continue_parsing(StatementInParsing(statement, received_us))
        else:
            self._take_query(statement, received_us)

    def _continue_parsing(self, parsing: "StatementInParsing") -> None:
        """Search a bounded part of a load's statement for its table group; take the query at the end.

        If other clients leave too little time for the search, the query goes on without a group.
        """
        is_complete = parsing.statement.search_table_group()
        if not is_complete and self._is_search_overdue(parsing):
            self.counters.add("queries", "group_unknown")
            parsing.statement.stop_search()
            is_complete = True
        self.statement_in_parsing = None if is_complete else parsing
        if is_complete:
            self._take_query(parsing.statement, parsing.received_us)

    def _is_search_overdue(self, parsing: "StatementInParsing") -> bool:
        waited_us = self.inbox.clock.now_us() - parsing.received_us
        return waited_us > self.limits.group_search_timeout_us

    def _take_query(self, statement: Statement, received_us: int) -> None:
        if self.cancel_next_query:
            self.cancel_next_query = False
            self.connection.write(pg.error(pg.CANCELED, CANCELED_TEXT) + pg.READY_FOR_QUERY)
            return
        self.open_query = Query(self, statement, received_us)
        self.server.idle_since.pop(self, None)
        self.inbox.put(QueryReceived(self.open_query))

    # --- Output.

    def _send_answer(self, query: Query, data: bytes) -> None:
        """Send the only answer to the open query; the next query is processed once it is written."""
        if query is not self.open_query:
            return
        self.open_query, self.answering = None, True
        self.answer_started_at = self.connection.loop.time()
        self.connection.write(data)

    def _on_all_sent(self) -> None:
        """Called once everything has been written: process the next query."""
        if self.ended:
            self.connection.shutdown_write()
            return
        if self.answering:
            self.answering = False
            self.server.idle_since[self] = self.now()
        if len(self.connection.buffer):
            self.server.turns.submit(self)

    def _half_close(self, last_bytes: bytes = b"") -> None:
        """Write the last bytes, shut down the write side and wait for the client to close.

        A close with unread input would reset the connection, and the client could lose these bytes or the
        answer before them.
        """
        self.ended_at = self.now()
        self.resume_reading.set()
        if last_bytes:
            self.connection.write(last_bytes)
        elif self.connection.all_sent:
            self.connection.shutdown_write()
        self.server.on_session_ending(self)

    def send_result(self, query: Query, pages: list[pg.Rows]) -> None:
        """Answer a query with its rows."""
        count = sum(page.count for page in pages)
        rows = [page.data for page in pages]
        self._send_answer(
            query,
            b"".join([RESULT_COLUMNS, *rows, pg.command_complete(f"SELECT {count}"), pg.READY_FOR_QUERY]),
        )

    def refuse(self, query: Query, retry_after_us: int | None) -> None:
        """Answer with a retryable error; the query has not run."""
        retry_hint = "" if retry_after_us is None else f", pushback={-(-retry_after_us // 1000)}"
        self._send_answer(
            query, pg.error(pg.REFUSED, f"refused, not for good: try again{retry_hint}") + pg.READY_FOR_QUERY
        )

    def fail(self, query: Query, reason: str) -> None:
        """Answer with an error that is not retryable; the query may have run."""
        self._send_answer(
            query, pg.error(pg.FAILED, f"the query failed ({reason}) and may have run") + pg.READY_FOR_QUERY
        )

    def reject(self, query: Query, reason: str) -> None:
        """Answer with an error for invalid fields."""
        self._send_answer(query, pg.error(pg.BAD_VALUE, reason) + pg.READY_FOR_QUERY)

    def cancel_query(self) -> None:
        """Cancel the open query at the client's request.

        A cancel request comes on a connection of its own and may arrive before its query is read. In that
        case the query is answered as cancelled as soon as it is read.
        """
        if self.open_query is not None:
            self.open_query.client_left = True
            self.inbox.put(ClientDeparted(self.open_query))
            self._send_answer(self.open_query, pg.error(pg.CANCELED, CANCELED_TEXT) + pg.READY_FOR_QUERY)
        elif not self.answering and not self.ended:
            connection = self.connection
            self.cancel_next_query = (
                bool(len(connection.buffer))
                or self.statement_in_parsing is not None
                or connection.has_unprocessed_receive()
                or connection.has_unread_bytes()
            )


class SessionServer:
    """Accepts client connections and manages their sessions."""

    def __init__(
        self,
        limits: Limits,
        inbox: Inbox,
        counters: Counters,
        log: Log,
        load_classes: frozenset[str] = frozenset(),
    ) -> None:
        self.limits, self.inbox, self.counters, self.log = limits, inbox, counters, log
        self.load_classes = load_classes  # only their statements are searched for a table group
        self.turns = TurnScheduler(limits.client_turn_us, limits.client_connections, self.is_inbox_full)
        self.loop = asyncio.get_running_loop()
        self.sessions: dict[int, tuple[Session, asyncio.Task[None]]] = {}
        self.idle_since: dict[Session, float] = {}  # sessions without an open query, longest idle first
        self.ending_sessions: dict[Session, None] = {}  # half-closed, in the order of their ends
        self.waiting_sessions: dict[Session, None] = {}  # not yet admitted, in the order of arrival
        self.eviction_scheduled = False
        self.accepting_stopped = False  # no more connections are accepted
        self.discard_buffer = bytearray(limits.discard_buffer_bytes)  # shared by all sessions
        self.last_process_id = 0
        self.room_available = asyncio.Event()
        self.listener: socket.socket | None = None

    def is_inbox_full(self) -> bool:
        """Whether so much waits for the dispatcher that no more is read."""
        return len(self.inbox.queue) >= self.limits.inbox_items

    def listen(self, address: tuple[str, int]) -> None:
        """Open the listening socket. Errors: OSError."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(address)
            listener.listen(self.limits.accept_backlog)
        except OSError:
            listener.close()
            raise
        listener.setblocking(False)
        self.listener = listener

    async def expire_sessions(self) -> None:
        """End sessions that are too slow to complete a query, to read their answer or to close."""
        while True:
            await asyncio.sleep(self.limits.sweep_interval_s)
            now = self.loop.time()
            for session, task in list(self.sessions.values()):
                if (reason := session.expiry_reason(now)) is None:
                    continue
                self.counters.add("sessions", reason)
                if reason == "silent":
                    session.expire()
                else:
                    task.cancel()

    @property
    def _is_full(self) -> bool:
        """Whether no further connection can be accepted, not even to wait."""
        connection_count, max_waiting = len(self.sessions), self.limits.waiting_connections
        live_count = connection_count - len(self.ending_sessions)
        return (
            live_count >= self.limits.client_connections + max_waiting
            or connection_count >= self.limits.client_connections + 2 * max_waiting
        )

    async def accept(self) -> None:
        """Accept connections until `stop_accepting`; evict idle sessions if descriptors run short.

        Some connections beyond the limit are accepted as waiting sessions. Only cancel requests are processed
        on them, since a cancel request must not queue behind clients that wait for room. This task must not
        be cancelled while it may have accepted a connection.
        """
        assert self.listener is not None
        while not self.accepting_stopped:
            if self._is_full:
                self.room_available.clear()
                self._free_connection()
                with suppress(TimeoutError):
                    async with asyncio.timeout(self.limits.poll_interval_s):
                        await self.room_available.wait()
                continue
            try:
                sock, _ = await self.loop.sock_accept(self.listener)
            except OSError as error:
                if not self.accepting_stopped:
                    self.log.line("sessions", f"accept: {error}")
                    self._free_connection()
                    await asyncio.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            self._start_session(sock)
            self._accept_pending(self.limits.accepts_per_turn)
            await asyncio.sleep(0)

    def _accept_pending(self, max_count: int) -> None:
        """Accept further pending connections, as one per turn of the loop would be slow in a burst."""
        assert self.listener is not None
        for _ in range(max_count):
            if self._is_full:
                return
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self._start_session(sock)

    def _free_connection(self) -> None:
        """Close a half-closed session whose client had time to read the end, else evict an idle session."""
        for session in self.ending_sessions:
            ended_at = session.ended_at or 0.0
            if session.connection.all_sent and self.loop.time() - ended_at > self.limits.close_grace_s:
                self.close_session(session)
                return
        self._evict_idle_session()

    def _evict_idle_session(self) -> bool:
        """End the session that has been idle for the longest time; returns whether there was one."""
        idle_before = self.loop.time() - self.limits.session_min_idle_s
        for session, idle_since in self.idle_since.items():
            if idle_since > idle_before:  # its next query may be on the way, and the client would reconnect
                break
            if session.close_if_idle():
                self.counters.add("sessions", "displaced")
                return True
        self.log.line("sessions", "as many clients at work as the descriptors allow: new ones wait")
        return False

    @property
    def _can_admit(self) -> bool:
        """Whether another session may be admitted."""
        admitted_count = len(self.sessions) - len(self.ending_sessions) - len(self.waiting_sessions)
        return admitted_count < self.limits.client_connections

    def _admit_waiting(self) -> None:
        """Admit waiting sessions in the order of their arrival, while there is room."""
        while self.waiting_sessions and self._can_admit:
            session = next(iter(self.waiting_sessions))
            del self.waiting_sessions[session]
            session.admit()

    def _evict_for_waiting(self) -> None:
        """Evict idle sessions for waiting ones; repeated until none waits."""
        self.eviction_scheduled = False
        while self.waiting_sessions and self._evict_idle_session():
            pass  # each evicted session makes room for a waiting one
        if self.waiting_sessions:
            self.eviction_scheduled = True
            self.loop.call_later(self.limits.poll_interval_s, self._evict_for_waiting)

    def _start_session(self, sock: socket.socket) -> None:
        configure_socket(sock)
        self.last_process_id += 1
        session = Session(self, sock, self.last_process_id, self._can_admit)
        if not session.admitted:
            self.waiting_sessions[session] = None
        self.sessions[session.process_id] = session, self.loop.create_task(session.run())
        self.idle_since[session] = self.loop.time()
        self.counters.add("sessions", "opened")
        if self.waiting_sessions and not self.eviction_scheduled:
            self._evict_for_waiting()

    def stop_accepting(self) -> None:
        """Accept the connections that the kernel has queued, and stop.

        Shutting down the listener ends `accept`. Cancelling its task instead could lose a connection that it
        has just accepted.
        """
        if self.listener is not None and not self.accepting_stopped:
            self._accept_pending(self.limits.accept_backlog)
            self.accepting_stopped = True
            with suppress(OSError):
                self.listener.shutdown(socket.SHUT_RDWR)

    def close_listener(self) -> None:
        """Close the listening socket, if it is open."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def cancel_query(self, process_id: int, secret: int) -> None:
        """Cancel the query of the session with this cancel key; ignored if there is none."""
        entry = self.sessions.get(process_id)
        if entry is not None and entry[0].secret == secret:
            entry[0].cancel_query()

    def close_session(self, session: Session) -> None:
        """Close a session at once."""
        if entry := self.sessions.get(session.process_id):
            entry[1].cancel()

    def on_session_ending(self, session: Session) -> None:
        """A session is half-closed or its client has left: it no longer counts against the client limit."""
        self.idle_since.pop(session, None)
        self.waiting_sessions.pop(session, None)
        self.ending_sessions[session] = None
        self._on_room_freed()

    def remove_session(self, session: Session) -> None:
        """Forget a session whose task has ended."""
        self.sessions.pop(session.process_id, None)
        self.idle_since.pop(session, None)
        self.waiting_sessions.pop(session, None)
        self.ending_sessions.pop(session, None)
        self._on_room_freed()

    def _on_room_freed(self) -> None:
        self.room_available.set()
        self._admit_waiting()

    def close_idle(self) -> bool:
        """End all idle sessions; returns True once no session is left."""
        for session, _ in list(self.sessions.values()):
            session.close_if_idle()
        return not self.sessions

    async def close(self) -> None:
        """Close all sessions at once and wait for their tasks."""
        tasks = [task for _, task in self.sessions.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
