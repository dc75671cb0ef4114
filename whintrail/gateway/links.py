"""Connections to engines: attempts and probes out, answers, notes and pages in.

Every attempt and probe gets one end, put on the owner's queue. What may have reached an engine ends as reset
when its connection breaks; what never did as a failed connect.
"""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NoReturn

from whintrail import interface as api
from whintrail.gateway import engine_protocol as lines
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
ReportReader = Callable[[dict[str, float]], api.LoadReport]


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """An attempt on its link, and the pages of its result so far."""

    attempt: Attempt
    page_count: int = 0  # pages; 0 until it is served
    pages: dict[int, Rows] = field(default_factory=dict)
    served_answer: lines.Answer | None = None
    has_started: bool = False  # the engine has said so, by a note or an answer


@dataclass(slots=True, eq=False)
class PendingProbe:
    engine: str
    sent_us: int
    over: bool = False


class Link:
    """One connection to an engine, from the first try to connect to its end."""

    def __init__(self, pool: "LinkPool", engine: str, engine_address: str, exclusive: bool) -> None:
        self.pool, self.engine, self.engine_address, self.exclusive = pool, engine, engine_address, exclusive
        self.limits = pool.limits
        self.in_flight: dict[bytes, InFlightAttempt] = {}
        self.probes: dict[bytes, PendingProbe] = {}
        self.connection: Connection | None = None
        self.idle_since_s = pool.now_s()
        self.last_received_us = pool.inbox.clock.now_us()  # when its last bytes came
        self.partial_since_us: int | None = None  # since when an answer is not whole
        self.closing = False
        self.task = asyncio.get_running_loop().create_task(self._run())

    @property
    def busy(self) -> bool:
        return bool(self.in_flight or self.probes)

    def can_carry(self, attempt: Attempt, share: bool) -> bool:
        if not self.in_flight:
            if self.connection is not None and self.connection.peer_closed():
                self.retire()  # reset while idle: what is put on it would be lost, and may not be repeated
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
        # What is put behind bytes that the engine does not read would go out whenever it reads on: after a
        # drain was told, or long after its client has gone, with its undo only behind it.
        blocked = self.connection is not None and self.connection.blocked_since is not None
        return not blocked and attempt.query.statement.call_id not in self.in_flight

    def has_stalled_answer(self) -> bool:
        """Whether an answer stands half read that may never end: what is put on the link meanwhile ends with
        it, as what may have run. Where nothing is open none is due, so the first half line says so; else
        one that comes in pieces has a quarter of the time in which it must be whole."""
        if self.partial_since_us is None:
            return False
        if not self.busy:
            self.retire()
            return True
        return (
            self.pool.inbox.clock.now_us() - self.partial_since_us
            > self.limits.partial_answer_timeout_us // 4
        )

    # --- Out.

    def send(self, attempt: Attempt) -> None:
        attempt.query.used_links.append(self)
        self.in_flight[attempt.query.statement.call_id] = InFlightAttempt(attempt)
        if self.connection is not None:
            self._write_query(attempt)

    def _start_attempt(self, attempt: Attempt) -> None:
        """The connection has come up, late perhaps. The first byte goes out only if what the module chose by
        still holds: the engine may be draining or gone by now, the client too, a window may be over."""
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
        self._write(lines.encode_do(query.statement.call_id, fields, query.statement.text))

    def send_probe(self, tag: bytes, probe: PendingProbe) -> None:
        self.probes[tag] = probe
        if self.connection is not None:
            self._write(lines.encode_probe(tag, self.pool.with_report))

    def cancel(self, attempt: Attempt) -> None:
        carried = self.in_flight.get(attempt.query.statement.call_id)
        if carried is None or carried.attempt is not attempt:
            return
        self._remove_attempt(attempt.query.statement.call_id)
        if self.connection is not None:
            make = lines.encode_forget if carried.served_answer else lines.encode_undo
            self._write(make(attempt.query.statement.call_id))
            if self.is_silent_since(attempt.sent_us):
                self.retire()

    def update_priority(self, attempt: Attempt) -> None:
        carried = self.in_flight.get(attempt.query.statement.call_id)
        unsent = self.connection is None or carried is None or carried.attempt is not attempt
        if not unsent and attempt.query.priority is not None:
            self._write(lines.encode_bump(attempt.query.statement.call_id, attempt.query.priority))

    def _write(self, data: bytes) -> None:
        if self.connection is not None:
            self.connection.write(data)

    def _remove_attempt(self, call_id: bytes) -> None:
        self.in_flight.pop(call_id, None)
        if not self.busy:
            self.idle_since_s = self.pool.now_s()

    def is_silent_since(self, sent_us: int) -> bool:
        """No byte for longer than what runs goes without a sign: the link may be dead, though it stands."""
        heard_us = max(self.last_received_us, sent_us)
        return self.pool.inbox.clock.now_us() - heard_us > self.limits.link_silence_timeout_us

    def retire(self) -> None:
        """The link takes nothing new, and closes once nothing is open on it."""
        if not self.closing:
            self.closing = True
            self.pool.counters.add("links", "retired")

    def check_health(self, now_us: int) -> None:
        """Guard against links that stand but can no longer be trusted: one that went quiet in the middle of
        an answer ends with all that is open on it; one quiet while requests are open takes no new ones."""
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
        """The engine has read nothing for long, though bytes wait for it."""
        since = self.connection.blocked_since if self.connection is not None else None
        return (
            since is not None
            and (self.pool.loop.time() - since) * 1e6 > self.limits.partial_answer_timeout_us
        )

    def close(self) -> None:
        """The link takes nothing more; what is open on it ends as its connection does."""
        self.closing = True
        self.task.cancel()

    # --- Life.

    async def _run(self) -> None:
        sock: socket.socket | None = None
        lost = api.Outcome.CONNECT_FAILED
        try:
            sock = create_tcp_socket()  # fails where descriptors have run out
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(self.limits.connect_timeout_s):
                await loop.sock_connect(sock, parse_address(self.engine_address))
            configure_socket(sock)
            most = max(
                self.limits.link_buffer_bytes,
                self.limits.engine_line_bytes + self.limits.page_bytes + len(lines.LINE_END),
            )
            self.connection = Connection(sock, Buffer(self.limits.link_buffer_bytes, most))
            lost = api.Outcome.RESET
            for carried in list(self.in_flight.values()):
                self._start_attempt(carried.attempt)
            for tag in self.probes:
                self._write(lines.encode_probe(tag, self.pool.with_report))
            received = 0
            while await self.connection.receive():
                self._read_answers(self.connection.buffer)
                received += 1
                if received % self.limits.receives_per_turn == 0:  # an engine that never stops sending
                    await asyncio.sleep(0)
        except lines.FramingError as error:
            self.pool.log.line("engine", f"{self.engine} at {self.engine_address}: {error}; link closed")
        except (OSError, ValueError, TimeoutError):
            pass  # no connection, or none in time
        finally:
            self.closing = True
            self._fail_open_requests(lost)
            self.pool.remove_link(self)
            if self.connection is not None:
                await self.connection.close()
            elif sock is not None:
                sock.close()

    def _fail_open_requests(self, outcome: api.Outcome) -> None:
        self.pool.counters.add("links", "failed" if outcome is api.Outcome.CONNECT_FAILED else "ended")
        for carried in self.in_flight.values():
            self.pool.inbox.put(AttemptResult(carried.attempt, outcome))
        for probe in self.probes.values():
            self.pool.finish_probe(probe, outcome)
        self.in_flight.clear()
        self.probes.clear()

    # --- In.

    def _read_answers(self, buffer: Buffer) -> None:
        self.last_received_us, whole = self.pool.inbox.clock.now_us(), False
        while answer := lines.read_answer(buffer, self.limits.engine_line_bytes, self.limits.page_bytes):
            self._on_answer(answer)
            whole = True
        if not len(buffer):
            self.partial_since_us = None
        elif whole or self.partial_since_us is None:
            self.partial_since_us = self.last_received_us

    def _on_answer(self, answer: lines.Answer) -> None:
        if answer.word in ("green", "red"):
            probe = self.probes.pop(answer.id, None)
            if probe is not None:
                if not self.busy:
                    self.idle_since_s = self.pool.now_s()
                outcome = api.Outcome.OK if answer.word == "green" else api.Outcome.ERROR
                self.pool.finish_probe(probe, outcome, self.pool.load_report(answer))
            return
        carried = self.in_flight.get(answer.id)
        if carried is None:  # late: nobody waits for it any more
            self.pool.counters.add("answers", "late")
            return
        match answer.word:
            case "update":
                self._on_update(carried, answer)
            case "served":
                self._on_served(carried, answer)
            case "rows":
                self._on_rows(carried, answer)
            case word:
                # An engine that contradicts itself is not believed that nothing ran: work that may run only
                # once would be sent again, or its client told to.
                outcome = api.Outcome.ERROR if carried.has_started else ANSWER_OUTCOMES[word]
                self._finish_attempt(
                    carried, AttemptResult(carried.attempt, outcome, report=self.pool.load_report(answer))
                )

    def _on_update(self, in_flight: InFlightAttempt, answer: lines.Answer) -> None:
        topic, value = UPDATE_TOPICS.get(answer.fields.get("how", "")), answer.number("datum")
        in_flight.has_started |= topic in (api.StatusTopic.PROGRESS, api.StatusTopic.SPILL)
        if topic is not None and value is not None:
            self.pool.inbox.put(AttemptUpdate(in_flight.attempt, topic, value))

    def _on_served(self, in_flight: InFlightAttempt, answer: lines.Answer) -> None:
        if in_flight.served_answer is not None:  # a second copy, while pages are on their way
            self._check_duplicate_page(in_flight, 0, answer.body)
            return
        total = answer.number("total") if "total" in answer.fields else 1
        if total is None or not 1 <= total <= self.limits.result_pages or total != int(total):
            self._reject_answer(in_flight, f"served with {answer.fields.get('total')} pages")
        in_flight.served_answer, in_flight.page_count, in_flight.has_started = answer, int(total), True
        if self._store_page(in_flight, 0, answer.body) and in_flight.page_count > 1:
            for number in range(1, in_flight.page_count):
                self._write(lines.encode_page(answer.id, number))

    def _on_rows(self, in_flight: InFlightAttempt, answer: lines.Answer) -> None:
        number = answer.number("index")
        if number is None or number != int(number) or not 1 <= number < in_flight.page_count:
            self._reject_answer(in_flight, f"page {answer.fields.get('index')} of {in_flight.page_count}")
        if number in in_flight.pages:
            self._check_duplicate_page(in_flight, int(number), answer.body)
        else:
            self._store_page(in_flight, int(number), answer.body)

    def _check_duplicate_page(self, in_flight: InFlightAttempt, number: int, page: bytes) -> None:
        """A surplus copy of a page harms nothing; of two that differ, nobody knows which is right."""
        self.pool.counters.add("answers", "surplus")
        try:
            same = encode_data_rows(page).data == in_flight.pages[number].data
        except ValueError:
            same = False
        if not same:
            self._reject_answer(in_flight, f"page {number} twice, and not alike")

    def _store_page(self, in_flight: InFlightAttempt, number: int, page: bytes) -> bool:
        """Keep a page; the last one ends the attempt. False if nothing more is to come of it."""
        try:
            in_flight.pages[number] = encode_data_rows(page)
        except ValueError as error:
            self._reject_answer(in_flight, f"page {number}: {error}")
        if len(in_flight.pages) < in_flight.page_count:
            return True
        served = in_flight.served_answer
        assert served is not None
        if in_flight.page_count > 1:
            self._write(lines.encode_forget(served.id))
        ended = AttemptResult(
            in_flight.attempt,
            api.Outcome.OK,
            work_ms=served.number("elapsed") if self.pool.reports_cost else None,
            memory_mb=served.number("rss") if self.pool.reports_cost else None,
            report=self.pool.load_report(served),
            pages=[in_flight.pages[n] for n in range(in_flight.page_count)],
        )
        self.pool.counters.add("answers", "pages", in_flight.page_count)
        self.pool.counters.add("answers", "rows", sum(page.count for page in ended.pages or []))
        self._finish_attempt(in_flight, ended)
        return False

    def _reject_answer(self, in_flight: InFlightAttempt, reason: str) -> NoReturn:
        """An answer that can't be used though its framing holds: the attempt failed, and may have run. What
        spoilt it spoils the link: nothing that follows on it can be trusted."""
        self._finish_attempt(in_flight, AttemptResult(in_flight.attempt, api.Outcome.ERROR))
        raise lines.FramingError(reason)

    def _finish_attempt(self, in_flight: InFlightAttempt, result: AttemptResult) -> None:
        self._remove_attempt(in_flight.attempt.query.statement.call_id)
        self.pool.inbox.put(result)


class LinkPool:
    """All links to all engines: opened as needed within the descriptors, closed when idle."""

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
        self.addresses: dict[str, str] = {}  # addresses of the engines on the list
        self.draining: set[str] = set()  # those of them that are draining
        self.links: dict[str, list[Link]] = {}
        self.last_probe_number = 0
        self.loop = asyncio.get_running_loop()
        self.sweep_task = self.loop.create_task(self._sweep_links())

    def now_s(self) -> float:
        return self.inbox.clock.now_us() / 1e6

    def load_report(self, answer: lines.Answer) -> api.LoadReport | None:
        if self.read_report is None or "stats" not in answer.fields:
            return None
        return self.read_report(answer.stats())

    # --- For the owner.

    def apply_engine_list(self, update: EngineListUpdate) -> None:
        """Addresses of listed engines; an engine that has gone gets no new links."""
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
        link = self._find_link(attempt, share=False) or self._open_link(attempt.engine, attempt.exclusive)
        if link is None and attempt.engine in self.addresses:  # as many links as the descriptors allow
            link = self._find_link(attempt, share=True)
        if link is None:
            self.inbox.put(AttemptResult(attempt, api.Outcome.CONNECT_FAILED))
        else:
            link.send(attempt)

    def may_start(self, attempt: Attempt) -> bool:
        """Whether an attempt may still begin, at the time of its first byte."""
        now, query = self.inbox.clock.now_us(), attempt.query
        late = now >= attempt.deadline_us or (attempt.begin_by_us is not None and now >= attempt.begin_by_us)
        listed = attempt.engine in self.addresses and attempt.engine not in self.draining
        return listed and not late and not query.client_left and not query.client.has_left(query)

    def _find_link(self, attempt: Attempt, share: bool) -> Link | None:
        for link in self.links.get(attempt.engine, ()):
            if (share or link.exclusive is attempt.exclusive) and link.can_carry(attempt, share):
                return link
        return None

    def cancel(self, attempt: Attempt) -> None:
        for link in attempt.query.used_links:
            link.cancel(attempt)

    def update_priority(self, attempt: Attempt) -> None:
        for link in attempt.query.used_links:
            link.update_priority(attempt)

    def probe(self, engine: str) -> None:
        probe = PendingProbe(engine, self.inbox.clock.now_us())
        usable = (k for k in self.links.get(engine, ()) if not (k.closing or k.exclusive))
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
                link.retire()  # the next one asks on a new link, lest a dead one speak for the engine
            self.finish_probe(probe, api.Outcome.TIMEOUT)

    def finish_probe(
        self, probe: PendingProbe, outcome: api.Outcome, report: api.LoadReport | None = None
    ) -> None:
        self.inbox.put(ProbeResult(probe.engine, outcome, probe.sent_us, report))

    # --- Links come and go.

    def _open_link(self, engine: str, exclusive: bool) -> Link | None:
        where = self.addresses.get(engine)
        if where is None:
            return None
        if sum(map(len, self.links.values())) >= self.limits.engine_connections:
            self.log.line("links", "as many links to engines as the descriptors allow")
            return None
        link = Link(self, engine, where, exclusive)
        self.links.setdefault(engine, []).append(link)
        self.counters.add("links", "opened")
        return link

    def remove_link(self, link: Link) -> None:
        links = self.links.get(link.engine, [])
        if link in links:
            links.remove(link)
        if not links:
            self.links.pop(link.engine, None)

    async def _sweep_links(self) -> None:
        """Look after every link; close those that are idle for long, a little before the engine would."""
        while True:
            await asyncio.sleep(self.limits.sweep_interval_s)
            now_us, before = self.inbox.clock.now_us(), self.now_s() - self.limits.link_idle_timeout_s * 0.9
            for link in [k for links in self.links.values() for k in links]:
                link.check_health(now_us)
                gone = link.engine not in self.addresses
                if not link.busy and (gone or link.idle_since_s < before):
                    link.close()

    async def close(self) -> None:
        self.sweep_task.cancel()
        tasks = [link.task for links in self.links.values() for link in links]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
