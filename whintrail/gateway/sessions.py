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


class Session:
    """One client's connection."""

    def __init__(self, sessions: "Sessions", sock: socket.socket, process: int) -> None:
        self.sessions, self.process = sessions, process
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
        self.due: float | None = self.now() + self.limits.whole_query_s
        self.skipping = False  # until Sync, after an error in the extended protocol
        self.ended_at: float | None = None  # from then on nothing is read from the client or owed to it
        self.going_on = False  # more messages are to be taken in a later turn
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
        if self.query is not None:
            query, self.query = self.query, None
            self.inbox.put(Gone(query))

    def overdue(self, now: float) -> str | None:
        """Why the session has to end now, if it has."""
        if self.ended_at is not None:
            sent, since = self.connection.sent, now - self.ended_at
            return (
                "lingered" if since > (self.limits.linger_s if sent else self.limits.client_write_s) else None
            )
        if self.answering:
            return "stalled" if now - self.answered_at > self.limits.client_write_s else None
        return "silent" if self.query is None and self.due is not None and now > self.due else None

    def expire(self) -> None:
        """No whole query came in time: the client is told so where it has begun one."""
        if self.started or len(self.connection.buffer):
            self._end(pg.error(pg.CANCELED, "no whole query came in time", fatal=True))
        else:
            self.sessions.drop(self)

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
        if self.due is None and self.query is None and not self.answering and len(self.connection.buffer):
            self.due = self.now() + self.limits.whole_query_s
        self.free.set()

    def _go_on(self) -> None:
        self.going_on = False
        self._advance()

    def _take_startup(self) -> bool:
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
        """Write the last bytes, then wait for the client to close: to close on unread input could take
        them away from it."""
        self.ended_at = self.now()
        self.free.set()
        self.sessions.quiet.pop(self, None)
        self.sessions.ending[self] = None
        if last:
            self.connection.write(last)
        elif self.connection.sent:
            self.sessions.drop(self)

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
        """The client stopped waiting; the module hears that it left."""
        if self.query is not None:
            self.inbox.put(Gone(self.query))
            self._answer(
                self.query, pg.error(pg.CANCELED, "canceling statement due to user request") + pg.READY
            )


class Sessions:
    """The listener and all sessions."""

    def __init__(self, limits: Limits, inbox: Inbox, counters: Counters, log: Log) -> None:
        self.limits, self.inbox, self.counters, self.log = limits, inbox, counters, log
        self.loop = asyncio.get_running_loop()
        self.sessions: dict[int, tuple[Session, asyncio.Task[None]]] = {}
        self.quiet: dict[Session, float] = {}  # no query open since when, the longest first
        self.ending: dict[Session, None] = {}  # have their last bytes, the first to end first
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

    async def accept(self) -> None:
        """Take in connections; where descriptors run short, at the cost of the longest idle session."""
        assert self.listener is not None
        accepted = 0
        while True:
            if len(self.sessions) >= self.limits.client_connections:
                self.room.clear()
                self._make_room()
                with suppress(TimeoutError):
                    async with asyncio.timeout(self.limits.poll_s):
                        await self.room.wait()
                continue
            try:
                sock, _ = await self.loop.sock_accept(self.listener)
            except OSError as error:
                self.log.line("sessions", f"accept: {error}")
                self._make_room()
                await asyncio.sleep(0.01)
                continue
            self._start(sock)
            accepted += 1
            if accepted % self.limits.receives_a_turn == 0:
                await asyncio.sleep(0)

    def _make_room(self) -> None:
        """Close a session that waits only for its client: one that was told its end, or the longest idle."""
        for session in self.ending:
            if session.connection.sent:
                self.drop(session)
                return
        before = self.loop.time() - self.limits.quiet_s
        for session, since in self.quiet.items():
            if since > before:  # its query may be on the way: to close on it would only bring it back
                break
            if not session.connection.unread():
                self.counters.add("sessions", "displaced")
                self.drop(session)
                return
        self.log.line("sessions", "as many clients at work as the descriptors allow: new ones wait")

    def _start(self, sock: socket.socket) -> None:
        prepare(sock)
        self.processes += 1
        session = Session(self, sock, self.processes)
        self.sessions[session.process] = session, self.loop.create_task(session.run())
        self.quiet[session] = self.loop.time()
        self.counters.add("sessions", "opened")

    def accept_last(self) -> None:
        """Take in what the kernel has accepted so far, and listen no more."""
        if self.listener is None:
            return
        while len(self.sessions) < self.limits.client_connections:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                break
            self._start(sock)
        self.listener.close()
        self.listener = None

    def cancel(self, process: int, secret: int) -> None:
        found = self.sessions.get(process)
        if found is not None and found[0].secret == secret:
            found[0].cancelled()

    def drop(self, session: Session) -> None:
        """Close it; it is no longer among those that could be closed."""
        self.quiet.pop(session, None)
        self.ending.pop(session, None)
        if found := self.sessions.get(session.process):
            found[1].cancel()

    def forget(self, session: Session) -> None:
        self.sessions.pop(session.process, None)
        self.quiet.pop(session, None)
        self.ending.pop(session, None)
        self.room.set()

    def close_idle(self) -> bool:
        """Close sessions with no query open; True once none is left."""
        for session, task in list(self.sessions.values()):
            if session.idle and (session.ended or not session.connection.unread()):
                task.cancel()
        return not self.sessions

    async def close(self) -> None:
        tasks = [task for _, task in self.sessions.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
