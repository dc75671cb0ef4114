"""Clients' sessions: start-up, queries one after another, answers, cancel requests."""

import asyncio
import secrets
import socket
from contextlib import suppress

from whintrail.gateway import postgres as pg
from whintrail.gateway.buffer import Buffer
from whintrail.gateway.connection import Connection, configure_socket
from whintrail.gateway.counters import Counters
from whintrail.gateway.dispatcher import ClientDeparted, Inbox, Query, QueryReceived
from whintrail.gateway.limits import Limits
from whintrail.gateway.log import Log
from whintrail.gateway.statement import StatementError, read_statement

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
CANCELED_TEXT = "canceling statement due to user request"


class Session:
    """One client's connection."""

    def __init__(self, server: "SessionServer", sock: socket.socket, process_id: int, admitted: bool) -> None:
        self.server, self.process_id = server, process_id
        self.admitted = admitted  # until then only a cancel request is taken
        self.limits, self.inbox, self.counters = server.limits, server.inbox, server.counters
        self.secret = secrets.randbits(32)
        buffer = Buffer(self.limits.initial_buffer_bytes, self.limits.query_bytes)
        self.connection = Connection(sock, buffer, self._on_all_sent)
        self.open_query: Query | None = None  # open, without an answer
        self.answering = False  # an answer is being written
        self.answer_started_at = 0.0
        self.startup_done = False
        self.has_sent_query = False  # a whole query has come
        # When the first query, or a message that has begun, must be whole at the latest.
        self.receive_deadline: float | None = (
            self.now() + self.limits.query_receive_timeout_s if admitted else None
        )
        self.skipping_to_sync = False  # until Sync, after an error in the extended protocol
        self.ended_at: float | None = None  # from then on nothing is read from the client or owed to it
        self.processing_scheduled = False  # more messages are to be taken in a later turn
        self.cancel_next_query = False  # the cancel request came before the query that it is for was read
        self.resume_reading = asyncio.Event()

    def now(self) -> float:
        return self.server.loop.time()

    @property
    def ended(self) -> bool:
        return self.ended_at is not None

    @property
    def idle(self) -> bool:
        return (
            self.open_query is None and not self.answering and (self.ended or not len(self.connection.buffer))
        )

    async def run(self) -> None:
        connection, turn = self.connection, self.limits.receives_per_turn
        received = 0
        try:
            while True:
                if self.ended:
                    if not await connection.discard(self.server.discard_buffer):
                        break
                elif connection.buffer.full:  # more than one query ahead: it waits
                    self.resume_reading.clear()
                    await self.resume_reading.wait()
                    continue
                elif not await connection.receive():
                    break
                else:
                    self._process_messages()
                received += 1
                if received % turn == 0:  # one that never stops sending must leave the others their turn
                    await asyncio.sleep(0)
        finally:
            self._detach_client()
            self.server.remove_session(self)
            await connection.close()

    def _detach_client(self) -> None:
        """From here on nothing is taken from this client, nor begun for it: what waits for its turn
        (`_go_on`, `_sent`) finds the session ended, and the owner finds the query left before it hears."""
        if self.ended_at is None:
            self.ended_at = self.now()
        if self.open_query is not None:
            query, self.open_query = self.open_query, None
            query.client_left = True
            self.inbox.put(ClientDeparted(query))

    def has_left(self, query: Query) -> bool:
        """Whether its client has closed or cancelled, whatever of that has been read so far."""
        if self.open_query is query and self.connection.peer_closed():
            self.counters.add("sessions", "departed")
            self._detach_client()
            self.resume_reading.set()  # the reader goes on to the end
            self.server.on_session_ending(self)
        return self.open_query is not query

    def expiry_reason(self, now: float) -> str | None:
        """Why the session has to end now, if it has."""
        if self.ended_at is not None:
            sent, since = self.connection.all_sent, now - self.ended_at
            return (
                "lingered"
                if since > (self.limits.linger_timeout_s if sent else self.limits.client_write_timeout_s)
                else None
            )
        if self.open_query is not None and self.connection.buffer.full and self.connection.peer_closed():
            return "departed"  # nobody reads there until the query is over: the end would not be seen
        if self.answering:
            return "stalled" if now - self.answer_started_at > self.limits.client_write_timeout_s else None
        if self.open_query is not None or self.receive_deadline is None or now <= self.receive_deadline:
            return None
        # Bytes that came in this very moment may make the query whole: they are read first, once.
        crosses = now - self.receive_deadline <= self.limits.close_grace_s
        return (
            None
            if crosses and (self.connection.has_unprocessed_receive() or self.connection.has_unread_bytes())
            else "silent"
        )

    def expire(self) -> None:
        """No whole query came in time: the client is told so where it has begun one."""
        begun = self.startup_done or len(self.connection.buffer)
        self._half_close(pg.error(pg.CANCELED, "no whole query came in time", fatal=True) if begun else b"")

    def admit(self) -> None:
        """There is room: what has come so far is taken."""
        self.admitted, self.receive_deadline = True, self.now() + self.limits.query_receive_timeout_s
        self._process_messages()

    def close_if_idle(self) -> bool:
        """End a session that rests; False where it does not. The check and the half-close are one step, and
        the reader isn't cancelled: a request read in this very turn wins, one that comes later meets our end
        and is read off, not taken, so that no reset takes the last answer away from the client."""
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

    # --- In.

    def _process_messages(self) -> None:
        """Take what is whole, one query at a time, and only so many messages before others have a turn."""
        try:
            for _ in range(self.limits.messages_per_turn):
                if self.ended or self.open_query is not None or self.answering:
                    break
                if self.connection.unsent_bytes > self.limits.client_unsent_bytes:  # it asks without reading
                    break
                if not (self._read_message() if self.startup_done else self._read_startup()):
                    break
            else:
                if not self.processing_scheduled:
                    self.processing_scheduled = True
                    self.server.loop.call_soon(self._continue_processing)
        except pg.ProtocolError as error:
            self.counters.add("sessions", "broken")
            self._half_close(pg.error(error.sqlstate, str(error), fatal=True))
        waits = self.open_query is None and not self.answering and self.admitted
        if self.receive_deadline is None and waits and len(self.connection.buffer):
            self.receive_deadline = self.now() + self.limits.query_receive_timeout_s
        self.resume_reading.set()

    def _continue_processing(self) -> None:
        self.processing_scheduled = False
        self._process_messages()

    def _read_startup(self) -> bool:
        if not self.admitted and not pg.is_cancel_request(self.connection.buffer.peek(16)):
            return False
        message = pg.read_startup(self.connection.buffer, self.limits.startup_bytes)
        match message:
            case None:
                return False
            case pg.EncryptionRequest():
                self.connection.write(pg.ENCRYPTION_DECLINED)
            case pg.CancelRequest(process, secret):
                self.counters.add("sessions", "cancel_requests")
                self.server.cancel_query(process, secret)
                self._half_close()
            case pg.Startup(minor, parameters):
                options = [name for name in parameters if name.startswith("_pq_.")]
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
        if self.cancel_next_query:
            self.cancel_next_query = False
            self.connection.write(pg.error(pg.CANCELED, CANCELED_TEXT) + pg.READY_FOR_QUERY)
            return
        taken_us = self.inbox.clock.now_us() - self.connection.since_last_data_us()
        self.open_query = Query(self, statement, taken_us)
        self.server.idle_since.pop(self, None)
        self.inbox.put(QueryReceived(self.open_query))

    # --- Out.

    def _send_answer(self, query: Query, data: bytes) -> None:
        """The one answer to the open query; the next one is taken once it is written."""
        if query is not self.open_query:
            return
        self.open_query, self.answering = None, True
        self.answer_started_at = self.connection.loop.time()
        self.connection.write(data)

    def _on_all_sent(self) -> None:
        """All that was to be written is: the next query may be taken."""
        if self.ended:
            self.connection.shutdown_write()
            return
        if self.answering:
            self.answering = False
            self.server.idle_since[self] = self.now()
        self._process_messages()

    def _half_close(self, last_bytes: bytes = b"") -> None:
        """Write the last bytes, then our end, then wait for the client to close: to close on unread input
        resets the connection and could take them, or the answer before, away from it."""
        self.ended_at = self.now()
        self.resume_reading.set()
        if last_bytes:
            self.connection.write(last_bytes)
        elif self.connection.all_sent:
            self.connection.shutdown_write()
        self.server.on_session_ending(self)

    def send_result(self, query: Query, pages: list[pg.Rows]) -> None:
        count = sum(page.count for page in pages)
        rows = [page.data for page in pages]
        self._send_answer(
            query,
            b"".join([RESULT_COLUMNS, *rows, pg.command_complete(f"SELECT {count}"), pg.READY_FOR_QUERY]),
        )

    def refuse(self, query: Query, retry_after_us: int | None) -> None:
        pause = "" if retry_after_us is None else f", pushback={-(-retry_after_us // 1000)}"
        self._send_answer(
            query, pg.error(pg.REFUSED, f"refused, not for good: try again{pause}") + pg.READY_FOR_QUERY
        )

    def fail(self, query: Query, reason: str) -> None:
        self._send_answer(
            query, pg.error(pg.FAILED, f"the query failed ({reason}) and may have run") + pg.READY_FOR_QUERY
        )

    def reject(self, query: Query, reason: str) -> None:
        self._send_answer(query, pg.error(pg.BAD_VALUE, reason) + pg.READY_FOR_QUERY)

    def cancel_query(self) -> None:
        """The client stopped waiting; the module hears that it left. Where what it cancels is still to be
        read, as two connections keep no order, it is answered as soon as it is."""
        if self.open_query is not None:
            self.open_query.client_left = True
            self.inbox.put(ClientDeparted(self.open_query))
            self._send_answer(self.open_query, pg.error(pg.CANCELED, CANCELED_TEXT) + pg.READY_FOR_QUERY)
        elif not self.answering and not self.ended:
            connection = self.connection
            self.cancel_next_query = (
                bool(len(connection.buffer))
                or connection.has_unprocessed_receive()
                or connection.has_unread_bytes()
            )


class SessionServer:
    """The listener and all sessions."""

    def __init__(self, limits: Limits, inbox: Inbox, counters: Counters, log: Log) -> None:
        self.limits, self.inbox, self.counters, self.log = limits, inbox, counters, log
        self.loop = asyncio.get_running_loop()
        self.sessions: dict[int, tuple[Session, asyncio.Task[None]]] = {}
        self.idle_since: dict[Session, float] = {}  # no query open since when, the longest first
        self.ending_sessions: dict[Session, None] = {}  # have their last bytes, the first to end first
        self.waiting_sessions: dict[Session, None] = {}  # in the doorway, until there is room
        self.eviction_scheduled = False
        self.accepting_stopped = False  # takes no more connections
        self.discard_buffer = bytearray(
            limits.discard_buffer_bytes
        )  # takes what nobody reads, of all sessions
        self.last_process_id = 0
        self.room_available = asyncio.Event()
        self.listener: socket.socket | None = None

    def listen(self, address: tuple[str, int]) -> None:
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
        """End sessions that keep us waiting: for a whole query, for their answer to be read, or to close."""
        while True:
            await asyncio.sleep(self.limits.sweep_interval_s)
            now = self.loop.time()
            for session, task in list(self.sessions.values()):
                if (why := session.expiry_reason(now)) is None:
                    continue
                self.counters.add("sessions", why)
                if why == "silent":
                    session.expire()
                else:
                    task.cancel()

    @property
    def _is_full(self) -> bool:
        """Whether no further connection can be taken in, not even into the doorway."""
        held, door = len(self.sessions), self.limits.waiting_connections
        live = held - len(self.ending_sessions)
        return (
            live >= self.limits.client_connections + door or held >= self.limits.client_connections + 2 * door
        )

    async def accept(self) -> None:
        """Take in connections until `accept_last`; where descriptors run short, at the cost of the longest
        idle session. Some beyond the limit come into the doorway, where only a cancel request is taken: it
        must not queue behind those that wait for room. Never cancelled while it may have accepted one."""
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
                    await asyncio.sleep(0.01)
                continue
            self._start_session(sock)
            self._accept_pending(self.limits.accepts_per_turn)
            await asyncio.sleep(0)

    def _accept_pending(self, max_count: int) -> None:
        """What else waits: one a turn of the loop would keep the last of a crowd for as many turns."""
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
        """Let go of one that was told its end and has had the time to read it, else end an idle one."""
        for session in self.ending_sessions:
            ended_at = session.ended_at or 0.0
            if session.connection.all_sent and self.loop.time() - ended_at > self.limits.close_grace_s:
                self.close_session(session)
                return
        self._evict_idle_session()

    def _evict_idle_session(self) -> bool:
        """End a session that waits only for its client: the longest idle."""
        before = self.loop.time() - self.limits.session_min_idle_s
        for session, since in self.idle_since.items():
            if since > before:  # its query may be on the way: to close on it would only bring it back
                break
            if session.close_if_idle():
                self.counters.add("sessions", "displaced")
                return True
        self.log.line("sessions", "as many clients at work as the descriptors allow: new ones wait")
        return False

    @property
    def _can_admit(self) -> bool:
        """Whether another may be let in from the doorway."""
        live = len(self.sessions) - len(self.ending_sessions) - len(self.waiting_sessions)
        return live < self.limits.client_connections

    def _admit_waiting(self) -> None:
        """Let in those that wait, the first to come first."""
        while self.waiting_sessions and self._can_admit:
            session = next(iter(self.waiting_sessions))
            del self.waiting_sessions[session]
            session.admit()

    def _evict_for_waiting(self) -> None:
        """Make room for those that wait, now and again until none does."""
        self.eviction_scheduled = False
        while self.waiting_sessions and self._evict_idle_session():  # whose end lets in the next
            pass
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
        """Take in what the kernel has accepted so far, and no more: `accept` sees the end of the listener
        rather than being cancelled, since with it could go a connection that it had just been given."""
        if self.listener is not None and not self.accepting_stopped:
            self._accept_pending(self.limits.accept_backlog)
            self.accepting_stopped = True
            with suppress(OSError):
                self.listener.shutdown(socket.SHUT_RDWR)

    def close_listener(self) -> None:
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def cancel_query(self, process_id: int, secret: int) -> None:
        found = self.sessions.get(process_id)
        if found is not None and found[0].secret == secret:
            found[0].cancel_query()

    def close_session(self, session: Session) -> None:
        """Close it at once."""
        if found := self.sessions.get(session.process_id):
            found[1].cancel()

    def on_session_ending(self, session: Session) -> None:
        """It is told its end: what it held of the limit is another's."""
        self.idle_since.pop(session, None)
        self.waiting_sessions.pop(session, None)
        self.ending_sessions[session] = None
        self._on_room_freed()

    def remove_session(self, session: Session) -> None:
        self.sessions.pop(session.process_id, None)
        self.idle_since.pop(session, None)
        self.waiting_sessions.pop(session, None)
        self.ending_sessions.pop(session, None)
        self._on_room_freed()

    def _on_room_freed(self) -> None:
        self.room_available.set()
        self._admit_waiting()

    def close_idle(self) -> bool:
        """End sessions with no query open; True once none is left."""
        for session, _ in list(self.sessions.values()):
            session.close_if_idle()
        return not self.sessions

    async def close(self) -> None:
        tasks = [task for _, task in self.sessions.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
