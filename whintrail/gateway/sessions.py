"""Clients' sessions: start-up, queries one after another, answers, cancel requests."""

import asyncio
import secrets
import socket
from contextlib import suppress

from whintrail.gateway import postgres as pg
from whintrail.gateway.buffer import Buffer
from whintrail.gateway.connection import Connection, prepare
from whintrail.gateway.counters import Counters
from whintrail.gateway.limits import Limits
from whintrail.gateway.log import Log
from whintrail.gateway.owner import Asked, Gone, Inbox, Query
from whintrail.gateway.statement import StatementError, read_statement

PARAMETERS = {
    "server_version": "15.0 (whintrail)",
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "TimeZone": "UTC",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
}
COLUMNS = pg.row_description(["column1", "column2", "column3"])
EXTENDED = frozenset([b"P", b"B", b"D", b"E", b"C", b"H", b"F"])
COPY = frozenset([b"d", b"c", b"f"])
CANCELED_TEXT = "canceling statement due to user request"


class Session:
    """One client's connection."""

    def __init__(self, sessions: "Sessions", sock: socket.socket, process: int, admitted: bool) -> None:
        self.sessions, self.process = sessions, process
        self.admitted = admitted  # until then only a cancel request is taken
        self.limits, self.inbox, self.counters = sessions.limits, sessions.inbox, sessions.counters
        self.secret = secrets.randbits(32)
        buffer = Buffer(self.limits.first_buffer, self.limits.query_bytes)
        self.connection = Connection(sock, buffer, self._sent)
        self.query: Query | None = None  # open, without an answer
        self.answering = False  # an answer is being written
        self.answered_at = 0.0
        self.started = False
        self.asked = False  # a whole query has come
        # When the first query, or a message that has begun, must be whole at the latest.
        self.due: float | None = self.now() + self.limits.whole_query_s if admitted else None
        self.skipping = False  # until Sync, after an error in the extended protocol
        self.ended_at: float | None = None  # from then on nothing is read from the client or owed to it
        self.going_on = False  # more messages are to be taken in a later turn
        self.cancel_next = False  # the cancel request came before the query that it is for was read
        self.free = asyncio.Event()

    def now(self) -> float:
        return self.sessions.loop.time()

    @property
    def ended(self) -> bool:
        return self.ended_at is not None

    @property
    def idle(self) -> bool:
        return self.query is None and not self.answering and (self.ended or not len(self.connection.buffer))

    async def run(self) -> None:
        connection, turn = self.connection, self.limits.receives_a_turn
        received = 0
        try:
            while True:
                if self.ended:
                    if not await connection.discard(self.sessions.waste):
                        break
                elif connection.buffer.full:  # more than one query ahead: it waits
                    self.free.clear()
                    await self.free.wait()
                    continue
                elif not await connection.receive():
                    break
                else:
                    self._advance()
                received += 1
                if received % turn == 0:  # one that never stops sending must leave the others their turn
                    await asyncio.sleep(0)
        finally:
            self._leave()
            self.sessions.forget(self)
            await connection.close()

    def _leave(self) -> None:
        """From here on nothing is taken from this client, nor begun for it: what waits for its turn
        (`_go_on`, `_sent`) finds the session ended, and the owner finds the query left before it hears."""
        if self.ended_at is None:
            self.ended_at = self.now()
        if self.query is not None:
            query, self.query = self.query, None
            query.left = True
            self.inbox.put(Gone(query))

    def gone(self, query: Query) -> bool:
        """Whether its client has closed or cancelled, whatever of that has been read so far."""
        if self.query is query and self.connection.ended():
            self.counters.add("sessions", "departed")
            self._leave()
            self.free.set()  # the reader goes on to the end
            self.sessions.ends(self)
        return self.query is not query

    def overdue(self, now: float) -> str | None:
        """Why the session has to end now, if it has."""
        if self.ended_at is not None:
            sent, since = self.connection.sent, now - self.ended_at
            return (
                "lingered" if since > (self.limits.linger_s if sent else self.limits.client_write_s) else None
            )
        if self.query is not None and self.connection.buffer.full and self.connection.ended():
            return "departed"  # nobody reads there until the query is over: the end would not be seen
        if self.answering:
            return "stalled" if now - self.answered_at > self.limits.client_write_s else None
        if self.query is not None or self.due is None or now <= self.due:
            return None
        # Bytes that came in this very moment may make the query whole: they are read first, once.
        crosses = now - self.due <= self.limits.crossing_s
        return None if crosses and (self.connection.arrived() or self.connection.unread()) else "silent"

    def expire(self) -> None:
        """No whole query came in time: the client is told so where it has begun one."""
        begun = self.started or len(self.connection.buffer)
        self._end(pg.error(pg.CANCELED, "no whole query came in time", fatal=True) if begun else b"")

    def admit(self) -> None:
        """There is room: what has come so far is taken."""
        self.admitted, self.due = True, self.now() + self.limits.whole_query_s
        self._advance()

    def part(self) -> bool:
        """End a session that rests; False where it does not. The check and the half-close are one step, and
        the reader isn't cancelled: a request read in this very turn wins, one that comes later meets our end
        and is read off, not taken, so that no reset takes the last answer away from the client."""
        connection = self.connection
        if not self.idle or self.ended or connection.arrived() or connection.unread():
            return False
        self._end()
        return True

    # --- In.

    def _advance(self) -> None:
        """Take what is whole, one query at a time, and only so many messages before others have a turn."""
        try:
            for _ in range(self.limits.messages_a_turn):
                if self.ended or self.query is not None or self.answering:
                    break
                if self.connection.unsent > self.limits.client_out_bytes:  # it asks without reading
                    break
                if not (self._take_message() if self.started else self._take_startup()):
                    break
            else:
                if not self.going_on:
                    self.going_on = True
                    self.sessions.loop.call_soon(self._go_on)
        except pg.ProtocolError as error:
            self.counters.add("sessions", "broken")
            self._end(pg.error(error.sqlstate, str(error), fatal=True))
        waits = self.query is None and not self.answering and self.admitted
        if self.due is None and waits and len(self.connection.buffer):
            self.due = self.now() + self.limits.whole_query_s
        self.free.set()

    def _go_on(self) -> None:
        self.going_on = False
        self._advance()

    def _take_startup(self) -> bool:
        if not self.admitted and not pg.cancel_ahead(self.connection.buffer.peek(16)):
            return False
        message = pg.read_startup(self.connection.buffer, self.limits.startup_bytes)
        match message:
            case None:
                return False
            case pg.EncryptionRequest():
                self.connection.write(pg.DECLINED)
            case pg.CancelRequest(process, secret):
                self.counters.add("sessions", "cancel_requests")
                self.sessions.cancel(process, secret)
                self._end()
            case pg.Startup(minor, parameters):
                options = [name for name in parameters if name.startswith("_pq_.")]
                if minor or options:
                    self.connection.write(pg.negotiate(options))
                self.started = True
                self.connection.write(pg.greeting(PARAMETERS, self.process, self.secret))
        return True

    def _take_message(self) -> bool:
        message = pg.read_message(self.connection.buffer, self.limits.query_bytes)
        if message is None:
            return False
        kind, body = message
        if self.asked or kind == b"Q":
            self.asked, self.due = True, None
        if kind == b"X":
            self._end()
        elif kind == b"S":
            self.skipping = False
            self.connection.write(pg.READY)
        elif kind in EXTENDED:
            if not self.skipping and kind != b"H":
                self.skipping = True
                self.connection.write(pg.error(pg.UNSUPPORTED, "only simple queries are served"))
        elif self.skipping or kind in COPY:
            pass
        elif kind == b"Q":
            self._take_query(pg.query_text(body))
        else:
            raise pg.ProtocolError(pg.VIOLATION, f"invalid frontend message type {kind[0]}")
        return True

    def _take_query(self, text: bytes) -> None:
        if not text.strip(b" \t\r\n\f\v;"):
            self.connection.write(pg.EMPTY_QUERY + pg.READY)
            return
        try:
            statement = read_statement(text)
        except StatementError as error:
            self.counters.add("queries", "unreadable")
            self.connection.write(pg.error(pg.BAD_VALUE, str(error)) + pg.READY)
            return
        if self.cancel_next:
            self.cancel_next = False
            self.connection.write(pg.error(pg.CANCELED, CANCELED_TEXT) + pg.READY)
            return
        taken_us = self.inbox.clock.now_us() - self.connection.waited_us()
        self.query = Query(self, statement, taken_us)
        self.sessions.quiet.pop(self, None)
        self.inbox.put(Asked(self.query))

    # --- Out.

    def _answer(self, query: Query, data: bytes) -> None:
        """The one answer to the open query; the next one is taken once it is written."""
        if query is not self.query:
            return
        self.query, self.answering = None, True
        self.answered_at = self.connection.loop.time()
        self.connection.write(data)

    def _sent(self) -> None:
        """All that was to be written is: the next query may be taken."""
        if self.ended:
            self.connection.finish()
            return
        if self.answering:
            self.answering = False
            self.sessions.quiet[self] = self.now()
        self._advance()

    def _end(self, last: bytes = b"") -> None:
        """Write the last bytes, then our end, then wait for the client to close: to close on unread input
        resets the connection and could take them, or the answer before, away from it."""
        self.ended_at = self.now()
        self.free.set()
        if last:
            self.connection.write(last)
        elif self.connection.sent:
            self.connection.finish()
        self.sessions.ends(self)

    def serve(self, query: Query, pages: list[pg.Rows]) -> None:
        count = sum(page.count for page in pages)
        rows = [page.data for page in pages]
        self._answer(query, b"".join([COLUMNS, *rows, pg.command_complete(f"SELECT {count}"), pg.READY]))

    def refuse(self, query: Query, pause_us: int | None) -> None:
        pause = "" if pause_us is None else f", pushback={-(-pause_us // 1000)}"
        self._answer(query, pg.error(pg.REFUSED, f"refused, not for good: try again{pause}") + pg.READY)

    def fail(self, query: Query, reason: str) -> None:
        self._answer(query, pg.error(pg.FAILED, f"the query failed ({reason}) and may have run") + pg.READY)

    def reject(self, query: Query, reason: str) -> None:
        self._answer(query, pg.error(pg.BAD_VALUE, reason) + pg.READY)

    def cancelled(self) -> None:
        """The client stopped waiting; the module hears that it left. Where what it cancels is still to be
        read, as two connections keep no order, it is answered as soon as it is."""
        if self.query is not None:
            self.query.left = True
            self.inbox.put(Gone(self.query))
            self._answer(self.query, pg.error(pg.CANCELED, CANCELED_TEXT) + pg.READY)
        elif not self.answering and not self.ended:
            connection = self.connection
            self.cancel_next = bool(len(connection.buffer)) or connection.arrived() or connection.unread()


class Sessions:
    """The listener and all sessions."""

    def __init__(self, limits: Limits, inbox: Inbox, counters: Counters, log: Log) -> None:
        self.limits, self.inbox, self.counters, self.log = limits, inbox, counters, log
        self.loop = asyncio.get_running_loop()
        self.sessions: dict[int, tuple[Session, asyncio.Task[None]]] = {}
        self.quiet: dict[Session, float] = {}  # no query open since when, the longest first
        self.ending: dict[Session, None] = {}  # have their last bytes, the first to end first
        self.waiting: dict[Session, None] = {}  # in the doorway, until there is room
        self.relieving = False
        self.closing = False  # takes no more connections
        self.waste = bytearray(limits.waste_bytes)  # takes what nobody reads, of all sessions
        self.processes = 0
        self.room = asyncio.Event()
        self.listener: socket.socket | None = None

    def listen(self, where: tuple[str, int]) -> None:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(where)
            listener.listen(self.limits.accept_backlog)
        except OSError:
            listener.close()
            raise
        listener.setblocking(False)
        self.listener = listener

    async def watch(self) -> None:
        """End sessions that keep us waiting: for a whole query, for their answer to be read, or to close."""
        while True:
            await asyncio.sleep(self.limits.watch_s)
            now = self.loop.time()
            for session, task in list(self.sessions.values()):
                if (why := session.overdue(now)) is None:
                    continue
                self.counters.add("sessions", why)
                if why == "silent":
                    session.expire()
                else:
                    task.cancel()

    @property
    def _full(self) -> bool:
        """Whether no further connection can be taken in, not even into the doorway."""
        held, door = len(self.sessions), self.limits.doorway
        live = held - len(self.ending)
        return (
            live >= self.limits.client_connections + door or held >= self.limits.client_connections + 2 * door
        )

    async def accept(self) -> None:
        """Take in connections until `accept_last`; where descriptors run short, at the cost of the longest
        idle session. Some beyond the limit come into the doorway, where only a cancel request is taken: it
        must not queue behind those that wait for room. Never cancelled while it may have accepted one."""
        assert self.listener is not None
        while not self.closing:
            if self._full:
                self.room.clear()
                self._clear()
                with suppress(TimeoutError):
                    async with asyncio.timeout(self.limits.poll_s):
                        await self.room.wait()
                continue
            try:
                sock, _ = await self.loop.sock_accept(self.listener)
            except OSError as error:
                if not self.closing:
                    self.log.line("sessions", f"accept: {error}")
                    self._clear()
                    await asyncio.sleep(0.01)
                continue
            self._start(sock)
            self._accept_more(self.limits.accepts_a_turn)
            await asyncio.sleep(0)

    def _accept_more(self, most: int) -> None:
        """What else waits: one a turn of the loop would keep the last of a crowd for as many turns."""
        assert self.listener is not None
        for _ in range(most):
            if self._full:
                return
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self._start(sock)

    def _clear(self) -> None:
        """Let go of one that was told its end and has had the time to read it, else end an idle one."""
        for session in self.ending:
            ended_at = session.ended_at or 0.0
            if session.connection.sent and self.loop.time() - ended_at > self.limits.crossing_s:
                self.drop(session)
                return
        self._make_room()

    def _make_room(self) -> bool:
        """End a session that waits only for its client: the longest idle."""
        before = self.loop.time() - self.limits.quiet_s
        for session, since in self.quiet.items():
            if since > before:  # its query may be on the way: to close on it would only bring it back
                break
            if session.part():
                self.counters.add("sessions", "displaced")
                return True
        self.log.line("sessions", "as many clients at work as the descriptors allow: new ones wait")
        return False

    @property
    def _admits(self) -> bool:
        """Whether another may be let in from the doorway."""
        live = len(self.sessions) - len(self.ending) - len(self.waiting)
        return live < self.limits.client_connections

    def _admit(self) -> None:
        """Let in those that wait, the first to come first."""
        while self.waiting and self._admits:
            session = next(iter(self.waiting))
            del self.waiting[session]
            session.admit()

    def _relieve(self) -> None:
        """Make room for those that wait, now and again until none does."""
        self.relieving = False
        while self.waiting and self._make_room():  # whose end lets in the next
            pass
        if self.waiting:
            self.relieving = True
            self.loop.call_later(self.limits.poll_s, self._relieve)

    def _start(self, sock: socket.socket) -> None:
        prepare(sock)
        self.processes += 1
        session = Session(self, sock, self.processes, self._admits)
        if not session.admitted:
            self.waiting[session] = None
        self.sessions[session.process] = session, self.loop.create_task(session.run())
        self.quiet[session] = self.loop.time()
        self.counters.add("sessions", "opened")
        if self.waiting and not self.relieving:
            self._relieve()

    def accept_last(self) -> None:
        """Take in what the kernel has accepted so far, and no more: `accept` sees the end of the listener
        rather than being cancelled, since with it could go a connection that it had just been given."""
        if self.listener is not None and not self.closing:
            self._accept_more(self.limits.accept_backlog)
            self.closing = True
            with suppress(OSError):
                self.listener.shutdown(socket.SHUT_RDWR)

    def close_listener(self) -> None:
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def cancel(self, process: int, secret: int) -> None:
        found = self.sessions.get(process)
        if found is not None and found[0].secret == secret:
            found[0].cancelled()

    def drop(self, session: Session) -> None:
        """Close it at once."""
        if found := self.sessions.get(session.process):
            found[1].cancel()

    def ends(self, session: Session) -> None:
        """It is told its end: what it held of the limit is another's."""
        self.quiet.pop(session, None)
        self.waiting.pop(session, None)
        self.ending[session] = None
        self._freed()

    def forget(self, session: Session) -> None:
        self.sessions.pop(session.process, None)
        self.quiet.pop(session, None)
        self.waiting.pop(session, None)
        self.ending.pop(session, None)
        self._freed()

    def _freed(self) -> None:
        self.room.set()
        self._admit()

    def close_idle(self) -> bool:
        """End sessions with no query open; True once none is left."""
        for session, _ in list(self.sessions.values()):
            session.part()
        return not self.sessions

    async def close(self) -> None:
        tasks = [task for _, task in self.sessions.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
