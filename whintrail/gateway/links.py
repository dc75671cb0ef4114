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
from whintrail.gateway import enginelines as lines
from whintrail.gateway.buffer import Buffer
from whintrail.gateway.connection import Connection, address, prepare, tcp_socket
from whintrail.gateway.counters import Counters
from whintrail.gateway.limits import Limits
from whintrail.gateway.log import Log
from whintrail.gateway.owner import Attempt, Ended, Inbox, Listed, Noted, Probed
from whintrail.gateway.postgres import Rows, data_rows

TOPICS = {"done": api.Topic.PROGRESS, "spills": api.Topic.SPILL, "waits": api.Topic.WAIT}
ENDS = {"overload": api.Outcome.FULL, "crashed": api.Outcome.ERROR, "nobody": api.Outcome.MOOT}
ReadReport = Callable[[dict[str, float]], api.LoadReport]


@dataclass(slots=True, eq=False)
class Carried:
    """An attempt on its link, and the pages of its result so far."""

    attempt: Attempt
    total: int = 0  # pages; 0 until it is served
    pages: dict[int, Rows] = field(default_factory=dict)
    served: lines.Answer | None = None
    runs: bool = False  # the engine has said so, by a note or an answer


@dataclass(slots=True, eq=False)
class Probe:
    engine: str
    sent_us: int
    over: bool = False


class Link:
    """One connection to an engine, from the first try to connect to its end."""

    def __init__(self, pool: "Links", engine: str, where: str, alone: bool) -> None:
        self.pool, self.engine, self.where, self.alone = pool, engine, where, alone
        self.limits = pool.limits
        self.carried: dict[bytes, Carried] = {}
        self.probes: dict[bytes, Probe] = {}
        self.connection: Connection | None = None
        self.idle_since = pool.now_s()
        self.heard_us = pool.inbox.clock.now_us()  # when its last bytes came
        self.partial_us: int | None = None  # since when an answer is not whole
        self.closing = False
        self.task = asyncio.get_running_loop().create_task(self._run())

    @property
    def busy(self) -> bool:
        return bool(self.carried or self.probes)

    def may_carry(self, attempt: Attempt, share: bool) -> bool:
        if not self.carried:
            if self.connection is not None and self.connection.ended():
                self.retire()  # reset while idle: what is put on it would be lost, and may not be repeated
        elif self.alone and not share:
            return False
        if self.stuck():
            return False
        if self.closing or len(self.carried) >= self.limits.streams or self in attempt.query.used:
            return False
        # What is put behind bytes that the engine does not read would go out whenever it reads on: after a
        # drain was told, or long after its client has gone, with its undo only behind it.
        blocked = self.connection is not None and self.connection.blocked_since is not None
        return not blocked and attempt.query.statement.call not in self.carried

    def stuck(self) -> bool:
        """Whether an answer stands half read that may never end: what is put on the link meanwhile ends with
        it, as what may have run. Where nothing is open none is due, so the first half line says so; else
        one that comes in pieces has a quarter of the time in which it must be whole."""
        if self.partial_us is None:
            return False
        if not self.busy:
            self.retire()
            return True
        return self.pool.inbox.clock.now_us() - self.partial_us > self.limits.partial_answer_us // 4

    # --- Out.

    def send(self, attempt: Attempt) -> None:
        attempt.query.used.append(self)
        self.carried[attempt.query.statement.call] = Carried(attempt)
        if self.connection is not None:
            self._write_do(attempt)

    def _begin(self, attempt: Attempt) -> None:
        """The connection has come up, late perhaps. The first byte goes out only if what the module chose by
        still holds: the engine may be draining or gone by now, the client too, a window may be over."""
        if not self.pool.holds(attempt):
            self.pool.counters.add("attempts", "not_begun")
            self._end(self.carried[attempt.query.statement.call], Ended(attempt, api.Outcome.MOOT))
        else:
            self._write_do(attempt)

    def _write_do(self, attempt: Attempt) -> None:
        query = attempt.query
        wait_ms = max(1, (attempt.limit_us - self.pool.inbox.clock.now_us()) // 1000)
        fields = {"class": query.statement.class_name, "wait": str(wait_ms)}
        if query.grant_mb > 0:
            fields["pool"] = f"{query.grant_mb:g}"
        if query.priority is not None:
            fields["band"] = str(query.priority)
        self._write(lines.do(query.statement.call, fields, query.statement.text))

    def probe(self, tag: bytes, probe: Probe) -> None:
        self.probes[tag] = probe
        if self.connection is not None:
            self._write(lines.probe(tag, self.pool.with_report))

    def undo(self, attempt: Attempt) -> None:
        carried = self.carried.get(attempt.query.statement.call)
        if carried is None or carried.attempt is not attempt:
            return
        self._drop(attempt.query.statement.call)
        if self.connection is not None:
            make = lines.forget if carried.served else lines.undo
            self._write(make(attempt.query.statement.call))
            if self.quiet_since(attempt.sent_us):
                self.retire()

    def bump(self, attempt: Attempt) -> None:
        carried = self.carried.get(attempt.query.statement.call)
        unsent = self.connection is None or carried is None or carried.attempt is not attempt
        if not unsent and attempt.query.priority is not None:
            self._write(lines.bump(attempt.query.statement.call, attempt.query.priority))

    def _write(self, data: bytes) -> None:
        if self.connection is not None:
            self.connection.write(data)

    def _drop(self, call: bytes) -> None:
        self.carried.pop(call, None)
        if not self.busy:
            self.idle_since = self.pool.now_s()

    def quiet_since(self, sent_us: int) -> bool:
        """No byte for longer than what runs goes without a sign: the link may be dead, though it stands."""
        heard_us = max(self.heard_us, sent_us)
        return self.pool.inbox.clock.now_us() - heard_us > self.limits.quiet_link_us

    def retire(self) -> None:
        """The link takes nothing new, and closes once nothing is open on it."""
        if not self.closing:
            self.closing = True
            self.pool.counters.add("links", "retired")

    def look(self, now_us: int) -> None:
        """Guard against links that stand but can no longer be trusted: one that went quiet in the middle of
        an answer ends with all that is open on it; one quiet while requests are open takes no new ones."""
        if self.partial_us is not None and now_us - self.partial_us > self.limits.partial_answer_us:
            self.pool.counters.add("links", "stopped_short")
            self.pool.log.line("engine", f"{self.engine} at {self.where}: half an answer; link closed")
            self.close()
        elif self.blocked(now_us):
            self.pool.counters.add("links", "blocked")
            self.close()
        elif not self.closing and self.carried:
            if self.quiet_since(next(iter(self.carried.values())).attempt.sent_us):
                self.retire()
        elif self.closing and not self.busy:
            self.close()

    def blocked(self, now_us: int) -> bool:
        """The engine has read nothing for long, though bytes wait for it."""
        since = self.connection.blocked_since if self.connection is not None else None
        return since is not None and (self.pool.loop.time() - since) * 1e6 > self.limits.partial_answer_us

    def close(self) -> None:
        """The link takes nothing more; what is open on it ends as its connection does."""
        self.closing = True
        self.task.cancel()

    # --- Life.

    async def _run(self) -> None:
        sock: socket.socket | None = None
        lost = api.Outcome.CONNECT_FAILED
        try:
            sock = tcp_socket()  # fails where descriptors have run out
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(self.limits.connect_s):
                await loop.sock_connect(sock, address(self.where))
            prepare(sock)
            most = max(
                self.limits.link_buffer,
                self.limits.engine_line_bytes + self.limits.page_bytes + len(lines.END),
            )
            self.connection = Connection(sock, Buffer(self.limits.link_buffer, most))
            lost = api.Outcome.RESET
            for carried in list(self.carried.values()):
                self._begin(carried.attempt)
            for tag in self.probes:
                self._write(lines.probe(tag, self.pool.with_report))
            received = 0
            while await self.connection.receive():
                self._take(self.connection.buffer)
                received += 1
                if received % self.limits.receives_a_turn == 0:  # an engine that never stops sending
                    await asyncio.sleep(0)
        except lines.FramingError as error:
            self.pool.log.line("engine", f"{self.engine} at {self.where}: {error}; link closed")
        except (OSError, ValueError, TimeoutError):
            pass  # no connection, or none in time
        finally:
            self.closing = True
            self._lose(lost)
            self.pool.forget(self)
            if self.connection is not None:
                await self.connection.close()
            elif sock is not None:
                sock.close()

    def _lose(self, outcome: api.Outcome) -> None:
        self.pool.counters.add("links", "failed" if outcome is api.Outcome.CONNECT_FAILED else "ended")
        for carried in self.carried.values():
            self.pool.inbox.put(Ended(carried.attempt, outcome))
        for probe in self.probes.values():
            self.pool.probe_over(probe, outcome)
        self.carried.clear()
        self.probes.clear()

    # --- In.

    def _take(self, buffer: Buffer) -> None:
        self.heard_us, whole = self.pool.inbox.clock.now_us(), False
        while answer := lines.read_answer(buffer, self.limits.engine_line_bytes, self.limits.page_bytes):
            self._answered(answer)
            whole = True
        if not len(buffer):
            self.partial_us = None
        elif whole or self.partial_us is None:
            self.partial_us = self.heard_us

    def _answered(self, answer: lines.Answer) -> None:
        if answer.word in ("green", "red"):
            probe = self.probes.pop(answer.id, None)
            if probe is not None:
                if not self.busy:
                    self.idle_since = self.pool.now_s()
                outcome = api.Outcome.OK if answer.word == "green" else api.Outcome.ERROR
                self.pool.probe_over(probe, outcome, self.pool.report(answer))
            return
        carried = self.carried.get(answer.id)
        if carried is None:  # late: nobody waits for it any more
            self.pool.counters.add("answers", "late")
            return
        match answer.word:
            case "update":
                self._noted(carried, answer)
            case "served":
                self._served(carried, answer)
            case "rows":
                self._rows(carried, answer)
            case word:
                # An engine that contradicts itself is not believed that nothing ran: work that may run only
                # once would be sent again, or its client told to.
                outcome = api.Outcome.ERROR if carried.runs else ENDS[word]
                self._end(carried, Ended(carried.attempt, outcome, report=self.pool.report(answer)))

    def _noted(self, carried: Carried, answer: lines.Answer) -> None:
        topic, value = TOPICS.get(answer.fields.get("how", "")), answer.number("datum")
        carried.runs |= topic in (api.Topic.PROGRESS, api.Topic.SPILL)
        if topic is not None and value is not None:
            self.pool.inbox.put(Noted(carried.attempt, topic, value))

    def _served(self, carried: Carried, answer: lines.Answer) -> None:
        if carried.served is not None:  # a second copy, while pages are on their way
            self._compare(carried, 0, answer.body)
            return
        total = answer.number("total") if "total" in answer.fields else 1
        if total is None or not 1 <= total <= self.limits.result_pages or total != int(total):
            self._unreadable(carried, f"served with {answer.fields.get('total')} pages")
        carried.served, carried.total, carried.runs = answer, int(total), True
        if self._keep(carried, 0, answer.body) and carried.total > 1:
            for number in range(1, carried.total):
                self._write(lines.page(answer.id, number))

    def _rows(self, carried: Carried, answer: lines.Answer) -> None:
        number = answer.number("index")
        if number is None or number != int(number) or not 1 <= number < carried.total:
            self._unreadable(carried, f"page {answer.fields.get('index')} of {carried.total}")
        if number in carried.pages:
            self._compare(carried, int(number), answer.body)
        else:
            self._keep(carried, int(number), answer.body)

    def _compare(self, carried: Carried, number: int, page: bytes) -> None:
        """A surplus copy of a page harms nothing; of two that differ, nobody knows which is right."""
        self.pool.counters.add("answers", "surplus")
        try:
            same = data_rows(page).data == carried.pages[number].data
        except ValueError:
            same = False
        if not same:
            self._unreadable(carried, f"page {number} twice, and not alike")

    def _keep(self, carried: Carried, number: int, page: bytes) -> bool:
        """Keep a page; the last one ends the attempt. False if nothing more is to come of it."""
        try:
            carried.pages[number] = data_rows(page)
        except ValueError as error:
            self._unreadable(carried, f"page {number}: {error}")
        if len(carried.pages) < carried.total:
            return True
        served = carried.served
        assert served is not None
        if carried.total > 1:
            self._write(lines.forget(served.id))
        ended = Ended(
            carried.attempt,
            api.Outcome.OK,
            work_ms=served.number("elapsed") if self.pool.tells_cost else None,
            memory_mb=served.number("rss") if self.pool.tells_cost else None,
            report=self.pool.report(served),
            pages=[carried.pages[n] for n in range(carried.total)],
        )
        self.pool.counters.add("answers", "pages", carried.total)
        self.pool.counters.add("answers", "rows", sum(page.count for page in ended.pages or []))
        self._end(carried, ended)
        return False

    def _unreadable(self, carried: Carried, what: str) -> NoReturn:
        """An answer that can't be used though its framing holds: the attempt failed, and may have run. What
        spoilt it spoils the link: nothing that follows on it can be trusted."""
        self._end(carried, Ended(carried.attempt, api.Outcome.ERROR))
        raise lines.FramingError(what)

    def _end(self, carried: Carried, ended: Ended) -> None:
        self._drop(carried.attempt.query.statement.call)
        self.pool.inbox.put(ended)


class Links:
    """All links to all engines: opened as needed within the descriptors, closed when idle."""

    def __init__(
        self,
        limits: Limits,
        inbox: Inbox,
        counters: Counters,
        log: Log,
        read_report: ReadReport | None,
        tells_cost: bool,
    ) -> None:
        self.limits, self.inbox, self.counters, self.log = limits, inbox, counters, log
        self.read_report, self.tells_cost = read_report, tells_cost
        self.with_report = read_report is not None
        self.where: dict[str, str] = {}  # addresses of the engines on the list
        self.shut: set[str] = set()  # those of them that are draining
        self.links: dict[str, list[Link]] = {}
        self.probes = 0
        self.loop = asyncio.get_running_loop()
        self.sweeper = self.loop.create_task(self._sweep())

    def now_s(self) -> float:
        return self.inbox.clock.now_us() / 1e6

    def report(self, answer: lines.Answer) -> api.LoadReport | None:
        if self.read_report is None or "stats" not in answer.fields:
            return None
        return self.read_report(answer.stats())

    # --- For the owner.

    def update(self, listed: Listed) -> None:
        """Addresses of listed engines; an engine that has gone gets no new links."""
        if listed.event.kind is not api.ListKind.DELTA:
            self.where.clear()
            self.shut.clear()
        self.where.update(listed.addresses)
        for entry in listed.event.entries:
            (self.shut.discard if entry.state is api.EngineState.READY else self.shut.add)(entry.engine)
            if entry.state is api.EngineState.GONE:
                self.where.pop(entry.engine, None)
                self.shut.discard(entry.engine)
        for engine, links in self.links.items():
            if engine not in self.where:
                for link in links:
                    if not link.busy:
                        link.close()

    def send(self, attempt: Attempt) -> None:
        link = self._free(attempt, share=False) or self._open(attempt.engine, attempt.alone)
        if link is None and attempt.engine in self.where:  # as many links as the descriptors allow
            link = self._free(attempt, share=True)
        if link is None:
            self.inbox.put(Ended(attempt, api.Outcome.CONNECT_FAILED))
        else:
            link.send(attempt)

    def holds(self, attempt: Attempt) -> bool:
        """Whether an attempt may still begin, at the time of its first byte."""
        now, query = self.inbox.clock.now_us(), attempt.query
        late = now >= attempt.limit_us or (attempt.begin_by_us is not None and now >= attempt.begin_by_us)
        listed = attempt.engine in self.where and attempt.engine not in self.shut
        return listed and not late and not query.left and not query.client.gone(query)

    def _free(self, attempt: Attempt, share: bool) -> Link | None:
        for link in self.links.get(attempt.engine, ()):
            if (share or link.alone is attempt.alone) and link.may_carry(attempt, share):
                return link
        return None

    def undo(self, attempt: Attempt) -> None:
        for link in attempt.query.used:
            link.undo(attempt)

    def bump(self, attempt: Attempt) -> None:
        for link in attempt.query.used:
            link.bump(attempt)

    def probe(self, engine: str) -> None:
        probe = Probe(engine, self.inbox.clock.now_us())
        usable = (k for k in self.links.get(engine, ()) if not (k.closing or k.alone))
        link = next(usable, None) or self._open(engine, alone=False)
        if link is None:
            self.probe_over(probe, api.Outcome.CONNECT_FAILED)
            return
        self.probes += 1
        tag = b"p%d" % self.probes
        link.probe(tag, probe)
        self.loop.call_later(self.limits.connect_s, self._probe_late, link, tag)

    def _probe_late(self, link: Link, tag: bytes) -> None:
        if probe := link.probes.pop(tag, None):
            if link.heard_us < probe.sent_us:
                link.retire()  # the next one asks on a new link, lest a dead one speak for the engine
            self.probe_over(probe, api.Outcome.TIMEOUT)

    def probe_over(self, probe: Probe, outcome: api.Outcome, report: api.LoadReport | None = None) -> None:
        self.inbox.put(Probed(probe.engine, outcome, probe.sent_us, report))

    # --- Links come and go.

    def _open(self, engine: str, alone: bool) -> Link | None:
        where = self.where.get(engine)
        if where is None:
            return None
        if sum(map(len, self.links.values())) >= self.limits.engine_connections:
            self.log.line("links", "as many links to engines as the descriptors allow")
            return None
        link = Link(self, engine, where, alone)
        self.links.setdefault(engine, []).append(link)
        self.counters.add("links", "opened")
        return link

    def forget(self, link: Link) -> None:
        links = self.links.get(link.engine, [])
        if link in links:
            links.remove(link)
        if not links:
            self.links.pop(link.engine, None)

    async def _sweep(self) -> None:
        """Look after every link; close those that are idle for long, a little before the engine would."""
        while True:
            await asyncio.sleep(self.limits.watch_s)
            now_us, before = self.inbox.clock.now_us(), self.now_s() - self.limits.idle_link_s * 0.9
            for link in [k for links in self.links.values() for k in links]:
                link.look(now_us)
                gone = link.engine not in self.where
                if not link.busy and (gone or link.idle_since < before):
                    link.close()

    async def close(self) -> None:
        self.sweeper.cancel()
        tasks = [link.task for links in self.links.values() for link in links]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
