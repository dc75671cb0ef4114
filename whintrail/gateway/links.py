"""Links, the connections to engines: they send attempts and probes and receive answers, updates and pages.

Every attempt and probe gets exactly one result on the dispatcher's inbox. When a connection breaks, requests
that may have reached the engine end with RESET, and requests that were never sent with CONNECT_FAILED.
"""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NoReturn

from whintrail import interface as api
from whintrail.gateway import engine_protocol
from whintrail.gateway.buffer import Buffer
from whintrail.gateway.connection import Connection, configure_socket, create_tcp_socket, parse_address
from whintrail.gateway.counters import Counters
from whintrail.gateway.dispatcher import (
    Attempt,
    AttemptResult,
    AttemptUpdate,
    EngineListUpdate,
    Inbox,
    ProbeResult,
)
from whintrail.gateway.limits import Limits
from whintrail.gateway.log import Log
from whintrail.gateway.postgres import Rows, encode_data_rows
from whintrail.gateway.turns import TurnScheduler

UPDATE_TOPICS = {
    "done": api.StatusTopic.PROGRESS,
    "spills": api.StatusTopic.SPILL,
    "waits": api.StatusTopic.WAIT,
}
ANSWER_OUTCOMES = {
    "overload": api.Outcome.FULL,
    "crashed": api.Outcome.ERROR,
    "nobody": api.Outcome.NOT_STARTED,
}
IDLE_CLOSE_FRACTION = 0.9  # of the idle timeout, so that the engine does not close first
ReportReader = Callable[[dict[str, float]], api.LoadReport]


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """An attempt on its link, with the pages of its result received so far."""

    attempt: Attempt
    page_count: int = 0  # 0 until the engine answers `served`
    pages: dict[int, Rows] = field(default_factory=dict)
    served_answer: engine_protocol.Answer | None = None
    has_started: bool = False  # an update or answer showed that it runs or ran


@dataclass(slots=True, eq=False)
class PendingProbe:
    """A probe that waits for its answer."""

    engine: str
    sent_us: int
    over: bool = False


class Link:
    """One connection to an engine, from the connect to the close."""

    def __init__(self, pool: "LinkPool", engine: str, engine_address: str, exclusive: bool) -> None:
        self.pool, self.engine, self.engine_address, self.exclusive = pool, engine, engine_address, exclusive
        self.limits = pool.limits
        self.in_flight: dict[bytes, InFlightAttempt] = {}
        self.probes: dict[bytes, PendingProbe] = {}
        self.connection: Connection | None = None
        self.idle_since_s = pool.now_s()
        self.last_received_us = pool.inbox.clock.now_us()
        self.partial_since_us: int | None = None  # first byte of an incomplete answer
        self.closing = False
        self.share = pool.turns.new_share()  # of the turns of the event loop
        self.input_processed = asyncio.Event()
        self.input_error: Exception | None = None  # what the engine sent can't be used
        self.task = asyncio.get_running_loop().create_task(self._run())

    @property
    def busy(self) -> bool:
        """Whether attempts or probes are open on the link."""
        return bool(self.in_flight or self.probes)

    def can_carry(self, attempt: Attempt, share: bool) -> bool:
        """Whether an attempt may be sent on the link; `share` allows it on an exclusive link in use."""
        if not self.in_flight:
            if self.connection is not None and self.connection.peer_closed():
                # The engine has closed it while idle. A request would be lost, and may not be repeatable.
                self.retire()
        elif self.exclusive and not share:
            return False
        if self.has_stalled_answer():
            return False
        if (
            self.closing
            or len(self.in_flight) >= self.limits.attempts_per_link
            or self in attempt.query.used_links
        ):
            return False
        # A request queued behind bytes that the engine does not read would be sent whenever it reads on:
        # perhaps after it began to drain, or long after the client has gone, with the `undo` only behind it.
        is_blocked = self.connection is not None and self.connection.blocked_since is not None
        return not is_blocked and attempt.query.statement.call_id not in self.in_flight

    def has_stalled_answer(self) -> bool:
        """Whether a partial answer on the link may never be completed.

        New requests on such a link would fail with it, as requests that may have run. On an idle link no
        answer is expected, so any partial line counts. Otherwise an answer may take up to a quarter of the
        partial answer timeout.
        """
        if self.partial_since_us is None:
            return False
        if not self.busy:
            self.retire()
            return True
        return (
            self.pool.inbox.clock.now_us() - self.partial_since_us
            > self.limits.partial_answer_timeout_us // 4
        )

    # --- Requests.

    def send(self, attempt: Attempt) -> None:
        """Send an attempt, or keep it until the connection is established."""
        attempt.query.used_links.append(self)
        self.in_flight[attempt.query.statement.call_id] = InFlightAttempt(attempt)
        if self.connection is not None:
            self._write_query(attempt)

    def _start_attempt(self, attempt: Attempt) -> None:
        """Send an attempt that waited for the connection, if the reasons for choosing it still hold.

        Meanwhile the engine may have begun to drain or left the list, the client may have gone, or the latest
        time to start may have passed.
        """
        if not self.pool.may_start(attempt):
            self.pool.counters.add("attempts", "not_begun")
            self._finish_attempt(
                self.in_flight[attempt.query.statement.call_id],
                AttemptResult(attempt, api.Outcome.NOT_STARTED),
            )
        else:
            self._write_query(attempt)

    def _write_query(self, attempt: Attempt) -> None:
        query = attempt.query
        wait_ms = max(1, (attempt.deadline_us - self.pool.inbox.clock.now_us()) // 1000)
        fields = {"class": query.statement.class_name, "wait": str(wait_ms)}
        if query.grant_mb > 0:
            fields["pool"] = f"{query.grant_mb:g}"
        if query.priority is not None:
            fields["band"] = str(query.priority)
        self._write(engine_protocol.encode_do(query.statement.call_id, fields, query.statement.text))

    def send_probe(self, tag: bytes, probe: PendingProbe) -> None:
        """Send a probe, or keep it until the connection is established."""
        self.probes[tag] = probe
        if self.connection is not None:
            self._write(engine_protocol.encode_probe(tag, self.pool.with_report))

    def cancel(self, attempt: Attempt) -> None:
        """Drop an attempt, and tell the engine to stop or forget it. No effect if it is not on this link."""
        in_flight = self.in_flight.get(attempt.query.statement.call_id)
        if in_flight is None or in_flight.attempt is not attempt:
            return
        self._remove_attempt(attempt.query.statement.call_id)
        if self.connection is not None:
            encode = engine_protocol.encode_forget if in_flight.served_answer else engine_protocol.encode_undo
            self._write(encode(attempt.query.statement.call_id))
            if self.is_silent_since(attempt.sent_us):
                self.retire()

    def update_priority(self, attempt: Attempt) -> None:
        """Send the query's new priority. No effect if the attempt is not on this link."""
        in_flight = self.in_flight.get(attempt.query.statement.call_id)
        is_unsent = self.connection is None or in_flight is None or in_flight.attempt is not attempt
        if not is_unsent and attempt.query.priority is not None:
            self._write(engine_protocol.encode_bump(attempt.query.statement.call_id, attempt.query.priority))

    def _write(self, data: bytes) -> None:
        if self.connection is not None:
            self.connection.write(data)

    def _remove_attempt(self, call_id: bytes) -> None:
        self.in_flight.pop(call_id, None)
        if not self.busy:
            self.idle_since_s = self.pool.now_s()

    def is_silent_since(self, sent_us: int) -> bool:
        """Whether nothing was received for longer than a running request stays silent.

        The connection may then be dead although it is still established.
        """
        silent_since_us = max(self.last_received_us, sent_us)
        return self.pool.inbox.clock.now_us() - silent_since_us > self.limits.link_silence_timeout_us

    def retire(self) -> None:
        """Accept no new requests; the link closes once nothing is open on it."""
        if not self.closing:
            self.closing = True
            self.pool.counters.add("links", "retired")

    def check_health(self, now_us: int) -> None:
        """Close or retire a link that is established but no longer reliable.

        A link that stalls within an answer, or whose writes are blocked, is closed, and all requests on it
        fail. A link that is silent while requests are open is retired.
        """
        if (
            self.partial_since_us is not None
            and now_us - self.partial_since_us > self.limits.partial_answer_timeout_us
        ):
            self.pool.counters.add("links", "stopped_short")
            self.pool.log.line(
                "engine", f"{self.engine} at {self.engine_address}: half an answer; link closed"
            )
            self.close()
        elif self.is_write_blocked(now_us):
            self.pool.counters.add("links", "blocked")
            self.close()
        elif not self.closing and self.in_flight:
            if self.is_silent_since(next(iter(self.in_flight.values())).attempt.sent_us):
                self.retire()
        elif self.closing and not self.busy:
            self.close()

    def is_write_blocked(self, now_us: int) -> bool:
        """Whether the engine has read nothing for a while although bytes are waiting to be sent."""
        blocked_since_s = self.connection.blocked_since if self.connection is not None else None
        return (
            blocked_since_s is not None
            and (self.pool.loop.time() - blocked_since_s) * 1e6 > self.limits.partial_answer_timeout_us
        )

    def close(self) -> None:
        """Close the link; requests that are open on it fail."""
        self.closing = True
        self.task.cancel()

    # --- Connection.

    async def _run(self) -> None:
        sock: socket.socket | None = None
        failure = api.Outcome.CONNECT_FAILED
        try:
            sock = create_tcp_socket()  # fails if no descriptors are left
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(self.limits.connect_timeout_s):
                await loop.sock_connect(sock, parse_address(self.engine_address))
            configure_socket(sock)
            max_buffer_bytes = max(
                self.limits.link_buffer_bytes,
                self.limits.engine_line_bytes + self.limits.page_bytes + len(engine_protocol.LINE_END),
            )
            self.connection = Connection(sock, Buffer(self.limits.link_buffer_bytes, max_buffer_bytes))
            failure = api.Outcome.RESET
            for in_flight in list(self.in_flight.values()):
                self._start_attempt(in_flight.attempt)
            for tag in self.probes:
                self._write(engine_protocol.encode_probe(tag, self.pool.with_report))
            receive_count = 0
            while await self.connection.receive():
                self.last_received_us = self.pool.inbox.clock.now_us()
                await self._process_input()
                receive_count += 1
                # Let other tasks run, even if the engine never stops sending.
                if receive_count % self.limits.receives_per_turn == 0:
                    await asyncio.sleep(0)
        except engine_protocol.FramingError as error:
            self.pool.log.line("engine", f"{self.engine} at {self.engine_address}: {error}; link closed")
        except (OSError, ValueError, TimeoutError):
            pass  # connecting failed or timed out
        finally:
            self.closing = True
            self._fail_open_requests(failure)
            self.pool.remove_link(self)
            if self.connection is not None:
                await self.connection.close()
            elif sock is not None:
                sock.close()

    def _fail_open_requests(self, outcome: api.Outcome) -> None:
        self.pool.counters.add("links", "failed" if outcome is api.Outcome.CONNECT_FAILED else "ended")
        for in_flight in self.in_flight.values():
            self.pool.inbox.put(AttemptResult(in_flight.attempt, outcome))
        for probe in self.probes.values():
            self.pool.finish_probe(probe, outcome)
        self.in_flight.clear()
        self.probes.clear()

    # --- Answers.

    async def _process_input(self) -> None:
        """Process the whole answers in the buffer, in this link's share of turns. Errors: FramingError."""
        self.pool.turns.submit(self)
        if self.share.queued:
            self.input_processed.clear()
            await self.input_processed.wait()
        if self.input_error is not None:
            raise self.input_error

    def next_input_bytes(self) -> int:
        """The size of the next message, as far as it is known."""
        return 0 if self.connection is None else len(self.connection.buffer)

    def process_next(self) -> bool:
        """Process the next answer; returns whether there is more to process."""
        assert self.connection is not None
        buffer = self.connection.buffer
        answer = engine_protocol.read_answer(buffer, self.limits.engine_line_bytes, self.limits.page_bytes)
        if answer is not None:
            self.partial_since_us = None
            self._on_answer(answer)
            return len(buffer) > 0
        if not len(buffer):
            self.partial_since_us = None
        elif self.partial_since_us is None:
            self.partial_since_us = self.last_received_us
        return False

    def on_input_failed(self, error: Exception) -> None:
        """Take no new attempt; the reader task closes the link."""
        self.input_error, self.closing = error, True

    def on_input_processed(self) -> None:
        """Let the reader task go on."""
        self.input_processed.set()

    def _on_answer(self, answer: engine_protocol.Answer) -> None:
        if answer.word in ("green", "red"):
            probe = self.probes.pop(answer.id, None)
            if probe is not None:
                if not self.busy:
                    self.idle_since_s = self.pool.now_s()
                outcome = api.Outcome.OK if answer.word == "green" else api.Outcome.ERROR
                self.pool.finish_probe(probe, outcome, self.pool.load_report(answer))
            return
        in_flight = self.in_flight.get(answer.id)
        if in_flight is None:  # late: the attempt has ended
            self.pool.counters.add("answers", "late")
            return
        match answer.word:
            case "update":
                self._on_update(in_flight, answer)
            case "served":
                self._on_served(in_flight, answer)
            case "rows":
                self._on_rows(in_flight, answer)
            case word:
                # An answer that the query did not run is not trusted if the engine showed before that it
                # does: a query that may run only once would be sent again, or its client told to retry.
                outcome = api.Outcome.ERROR if in_flight.has_started else ANSWER_OUTCOMES[word]
                self._finish_attempt(
                    in_flight, AttemptResult(in_flight.attempt, outcome, report=self.pool.load_report(answer))
                )

    def _on_update(self, in_flight: InFlightAttempt, answer: engine_protocol.Answer) -> None:
        topic, value = UPDATE_TOPICS.get(answer.fields.get("how", "")), answer.number("datum")
        in_flight.has_started |= topic in (api.StatusTopic.PROGRESS, api.StatusTopic.SPILL)
        if topic is not None and value is not None:
            self.pool.inbox.put(AttemptUpdate(in_flight.attempt, topic, value))

    def _on_served(self, in_flight: InFlightAttempt, answer: engine_protocol.Answer) -> None:
        if in_flight.served_answer is not None:  # a duplicate, while further pages are outstanding
            self._check_duplicate_page(in_flight, 0, answer.body)
            return
        page_count = answer.number("total") if "total" in answer.fields else 1
        if (
            page_count is None
            or not 1 <= page_count <= self.limits.result_pages
            or page_count != int(page_count)
        ):
            self._reject_answer(in_flight, f"served with {answer.fields.get('total')} pages")
        in_flight.served_answer, in_flight.page_count, in_flight.has_started = answer, int(page_count), True
        if self._store_page(in_flight, 0, answer.body) and in_flight.page_count > 1:
            for number in range(1, in_flight.page_count):
                self._write(engine_protocol.encode_page(answer.id, number))

    def _on_rows(self, in_flight: InFlightAttempt, answer: engine_protocol.Answer) -> None:
        number = answer.number("index")
        if number is None or number != int(number) or not 1 <= number < in_flight.page_count:
            self._reject_answer(in_flight, f"page {answer.fields.get('index')} of {in_flight.page_count}")
        if number in in_flight.pages:
            self._check_duplicate_page(in_flight, int(number), answer.body)
        else:
            self._store_page(in_flight, int(number), answer.body)

    def _check_duplicate_page(self, in_flight: InFlightAttempt, number: int, page: bytes) -> None:
        """Ignore an identical copy of a page; reject the answer if the copies differ."""
        self.pool.counters.add("answers", "surplus")
        try:
            is_identical = encode_data_rows(page).data == in_flight.pages[number].data
        except ValueError:
            is_identical = False
        if not is_identical:
            self._reject_answer(in_flight, f"page {number}: two copies differ")

    def _store_page(self, in_flight: InFlightAttempt, number: int, page: bytes) -> bool:
        """Store a page, and finish the attempt with the last one; returns whether pages are missing."""
        try:
            in_flight.pages[number] = encode_data_rows(page)
        except ValueError as error:
            self._reject_answer(in_flight, f"page {number}: {error}")
        if len(in_flight.pages) < in_flight.page_count:
            return True
        served = in_flight.served_answer
        assert served is not None
        if in_flight.page_count > 1:
            self._write(engine_protocol.encode_forget(served.id))
        result = AttemptResult(
            in_flight.attempt,
            api.Outcome.OK,
            work_ms=served.number("elapsed") if self.pool.reports_cost else None,
            memory_mb=served.number("rss") if self.pool.reports_cost else None,
            report=self.pool.load_report(served),
            pages=[in_flight.pages[n] for n in range(in_flight.page_count)],
        )
        self.pool.counters.add("answers", "pages", in_flight.page_count)
        self.pool.counters.add("answers", "rows", sum(page.count for page in result.pages or []))
        self._finish_attempt(in_flight, result)
        return False

    def _reject_answer(self, in_flight: InFlightAttempt, reason: str) -> NoReturn:
        """Fail an attempt with an invalid answer, as one that may have run, and close the link.

        The framing is intact, but nothing that follows an invalid answer can be trusted.
        """
        self._finish_attempt(in_flight, AttemptResult(in_flight.attempt, api.Outcome.ERROR))
        raise engine_protocol.FramingError(reason)

    def _finish_attempt(self, in_flight: InFlightAttempt, result: AttemptResult) -> None:
        self._remove_attempt(in_flight.attempt.query.statement.call_id)
        self.pool.inbox.put(result)


class LinkPool:
    """The links to all engines: opened as needed within the limit on descriptors, closed when idle."""

    def __init__(
        self,
        limits: Limits,
        inbox: Inbox,
        counters: Counters,
        log: Log,
        read_report: ReportReader | None,
        reports_cost: bool,
    ) -> None:
        self.limits, self.inbox, self.counters, self.log = limits, inbox, counters, log
        self.read_report, self.reports_cost = read_report, reports_cost
        self.with_report = read_report is not None
        self.addresses: dict[str, str] = {}  # of the engines on the list
        self.draining: set[str] = set()  # engines of the list that take no new attempts
        self.links: dict[str, list[Link]] = {}
        self.last_probe_number = 0
        self.loop = asyncio.get_running_loop()
        self.turns = TurnScheduler(limits.engine_turn_us, limits.engine_connections, self.is_inbox_full)
        self.sweep_task = self.loop.create_task(self._sweep_links())

    def now_s(self) -> float:
        return self.inbox.clock.now_us() / 1e6

    def is_inbox_full(self) -> bool:
        """Whether so much waits for the dispatcher that no more is read."""
        return len(self.inbox.queue) >= self.limits.inbox_items

    def load_report(self, answer: engine_protocol.Answer) -> api.LoadReport | None:
        """The load report that comes with an answer, if any."""
        if self.read_report is None or "stats" not in answer.fields:
            return None
        return self.read_report(answer.stats())

    # --- EngineTransport, for the dispatcher.

    def apply_engine_list(self, update: EngineListUpdate) -> None:
        """Apply a list update; close idle links to engines that have left the list."""
        if update.event.kind is not api.ListKind.DELTA:
            self.addresses.clear()
            self.draining.clear()
        self.addresses.update(update.addresses)
        for entry in update.event.entries:
            (self.draining.discard if entry.state is api.EngineState.READY else self.draining.add)(
                entry.engine
            )
            if entry.state is api.EngineState.REMOVED:
                self.addresses.pop(entry.engine, None)
                self.draining.discard(entry.engine)
        for engine, links in self.links.items():
            if engine not in self.addresses:
                for link in links:
                    if not link.busy:
                        link.close()

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on a usable link or a new one; without descriptors for one, share a link."""
        link = self._find_link(attempt, share=False) or self._open_link(attempt.engine, attempt.exclusive)
        if link is None and attempt.engine in self.addresses:  # the limit on connections is reached
            link = self._find_link(attempt, share=True)
        if link is None:
            self.inbox.put(AttemptResult(attempt, api.Outcome.CONNECT_FAILED))
        else:
            link.send(attempt)

    def may_start(self, attempt: Attempt) -> bool:
        """Whether an attempt may still start; checked right before its first byte is sent."""
        now_us, query = self.inbox.clock.now_us(), attempt.query
        is_late = now_us >= attempt.deadline_us or (
            attempt.begin_by_us is not None and now_us >= attempt.begin_by_us
        )
        is_listed = attempt.engine in self.addresses and attempt.engine not in self.draining
        return is_listed and not is_late and not query.client_left and not query.client.has_left(query)

    def _find_link(self, attempt: Attempt, share: bool) -> Link | None:
        for link in self.links.get(attempt.engine, ()):
            if (share or link.exclusive is attempt.exclusive) and link.can_carry(attempt, share):
                return link
        return None

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt on the link that carries it."""
        for link in attempt.query.used_links:
            link.cancel(attempt)

    def update_priority(self, attempt: Attempt) -> None:
        """Send the query's new priority on the link that carries the attempt."""
        for link in attempt.query.used_links:
            link.update_priority(attempt)

    def probe(self, engine: str) -> None:
        """Probe an engine, on a shared link if one is open."""
        probe = PendingProbe(engine, self.inbox.clock.now_us())
        usable = (
            open_link
            for open_link in self.links.get(engine, ())
            if not (open_link.closing or open_link.exclusive)
        )
        link = next(usable, None) or self._open_link(engine, exclusive=False)
        if link is None:
            self.finish_probe(probe, api.Outcome.CONNECT_FAILED)
            return
        self.last_probe_number += 1
        tag = b"p%d" % self.last_probe_number
        link.send_probe(tag, probe)
        self.loop.call_later(self.limits.connect_timeout_s, self._on_probe_timeout, link, tag)

    def _on_probe_timeout(self, link: Link, tag: bytes) -> None:
        if probe := link.probes.pop(tag, None):
            if link.last_received_us < probe.sent_us:
                # Only this connection may be dead rather than the engine: the next probe uses a new link.
                link.retire()
            self.finish_probe(probe, api.Outcome.TIMEOUT)

    def finish_probe(
        self, probe: PendingProbe, outcome: api.Outcome, report: api.LoadReport | None = None
    ) -> None:
        """Put the result of a probe on the inbox."""
        self.inbox.put(ProbeResult(probe.engine, outcome, probe.sent_us, report))

    # --- Opening and closing links.

    def _open_link(self, engine: str, exclusive: bool) -> Link | None:
        address = self.addresses.get(engine)
        if address is None:
            return None
        if sum(map(len, self.links.values())) >= self.limits.engine_connections:
            self.log.line("links", "as many links to engines as the descriptors allow")
            return None
        link = Link(self, engine, address, exclusive)
        self.links.setdefault(engine, []).append(link)
        self.counters.add("links", "opened")
        return link

    def remove_link(self, link: Link) -> None:
        """Forget a link whose task has ended."""
        links = self.links.get(link.engine, [])
        if link in links:
            links.remove(link)
        if not links:
            self.links.pop(link.engine, None)

    async def _sweep_links(self) -> None:
        """Check all links periodically; close idle ones a little before the engine would."""
        while True:
            await asyncio.sleep(self.limits.sweep_interval_s)
            now_us = self.inbox.clock.now_us()
            idle_before_s = self.now_s() - self.limits.link_idle_timeout_s * IDLE_CLOSE_FRACTION
            for link in [open_link for links in self.links.values() for open_link in links]:
                link.check_health(now_us)
                is_unlisted = link.engine not in self.addresses
                if not link.busy and (is_unlisted or link.idle_since_s < idle_before_s):
                    link.close()

    async def close(self) -> None:
        """Close all links and wait for their tasks."""
        self.sweep_task.cancel()
        tasks = [link.task for links in self.links.values() for link in links]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
