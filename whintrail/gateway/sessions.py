"""Clients' sessions: start-up, queries one after another, answers, cancel requests."""

import asyncio
import secrets
import socket

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
        self.skipping = False  # until Sync, after an error in the extended protocol
        self.ended = False  # nothing more is read from the client or owed to it
        self.free = asyncio.Event()

    @property
    def idle(self) -> bool:
        return self.query is None and not self.answering and not len(self.connection.buffer)

    async def run(self) -> None:
        connection = self.connection
        start_by = connection.loop.time() + self.limits.startup_s
        try:
            while not self.ended:
                if connection.buffer.full:  # more than one query ahead: it waits
                    self.free.clear()
                    await self.free.wait()
                    continue
                if not self.started:
                    async with asyncio.timeout_at(start_by):
                        alive = await connection.receive()
                else:
                    alive = await connection.receive()
                if not alive:
                    break
                self._advance()
            if self.ended:
                await self._linger()
        except TimeoutError:
            self.counters.add("sessions", "silent")
        finally:
            self._leave()
            self.sessions.forget(self)
            await connection.close()

    async def _linger(self) -> None:
        """Let the last bytes reach the client: closing at once on unread input could take them away."""
        try:
            async with asyncio.timeout(self.limits.client_write_s):
                while not self.connection.sent:
                    await asyncio.sleep(self.limits.poll_s)
            self.connection.finish()
            async with asyncio.timeout(self.limits.linger_s):
                while await self.connection.receive():
                    self.connection.buffer.drop_all()
        except TimeoutError:
            pass

    def _leave(self) -> None:
        if self.query is not None:
            query, self.query = self.query, None
            self.inbox.put(Gone(query))

    # --- In.

    def _advance(self) -> None:
        """Take what is whole, one query at a time."""
        try:
            while not self.ended and self.query is None and not self.answering:
                if not (self._take_message() if self.started else self._take_startup()):
                    break
        except pg.ProtocolError as error:
            self.counters.add("sessions", "broken")
            self._end(pg.error(error.sqlstate, str(error), fatal=True))
        self.free.set()

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
        if self.answering:
            self.answering = False
            self._advance()

    def _end(self, last: bytes = b"") -> None:
        if last:
            self.connection.write(last)
        self.ended = True
        self.free.set()
        # Should the client neither close nor write, its task is still receiving by then.
        self.connection.loop.call_later(self.limits.client_write_s, self.sessions.drop, self)

    def serve(self, query: Query, pages: list[pg.Rows]) -> None:
        count = sum(page.count for page in pages)
        rows = [page.data for page in pages]
        self._answer(query, b"".join([COLUMNS, *rows, pg.command_complete(f"SELECT {count}"), pg.READY]))

    def refuse(self, query: Query, pause_us: int | None) -> None:
        pause = "" if pause_us is None else f", pushback={-(-pause_us // 1000)}"
        self._answer(query, pg.error(pg.REFUSED, f"refused, not for good: try again{pause}") + pg.READY)

    def fail(self, query: Query, reason: str) -> None:
        self._answer(query, pg.error(pg.FAILED, f"the query failed ({reason}) and may have run") + pg.READY)

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
        """End sessions whose client reads nothing of its answer."""
        while True:
            await asyncio.sleep(self.limits.client_write_s / 10)
            before = self.loop.time() - self.limits.client_write_s
            for session, task in list(self.sessions.values()):
                if session.answering and session.answered_at < before:
                    self.counters.add("sessions", "stalled")
                    task.cancel()

    async def accept(self) -> None:
        """Take in connections while descriptors allow; the others wait in the kernel's line."""
        assert self.listener is not None
        while True:
            if len(self.sessions) >= self.limits.client_connections:
                self.log.line("sessions", "as many clients as the descriptors allow")
                self.room.clear()
                await self.room.wait()
                continue
            try:
                sock, _ = await self.loop.sock_accept(self.listener)
            except OSError as error:
                self.log.line("sessions", f"accept: {error}")
                await asyncio.sleep(0.01)
                continue
            self._start(sock)

    def _start(self, sock: socket.socket) -> None:
        prepare(sock)
        self.processes += 1
        session = Session(self, sock, self.processes)
        self.sessions[session.process] = session, self.loop.create_task(session.run())
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
        if found := self.sessions.get(session.process):
            found[1].cancel()

    def forget(self, session: Session) -> None:
        self.sessions.pop(session.process, None)
        self.room.set()

    def close_idle(self) -> bool:
        """Close sessions with no query open; True once none is left."""
        for session, task in list(self.sessions.values()):
            if session.idle and not session.connection.unread():
                task.cancel()
        return not self.sessions

    async def close(self) -> None:
        tasks = [task for _, task in self.sessions.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
