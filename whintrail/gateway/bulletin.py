"""The list of engines: events known at the start, then those of the bulletin, each once and in order."""

import asyncio
import time
from collections.abc import Mapping
from contextlib import suppress
from typing import Any

import orjson

from whintrail import interface as api
from whintrail.gateway.buffer import Buffer
from whintrail.gateway.connection import Connection, address, prepare, tcp_socket
from whintrail.gateway.counters import Counters
from whintrail.gateway.limits import Limits
from whintrail.gateway.log import Log
from whintrail.gateway.owner import Inbox, Listed
from whintrail.settings import get

STATES = {
    "active": api.EngineState.READY,
    "leaving": api.EngineState.DRAINING,
    "left": api.EngineState.GONE,
}


class BulletinError(ValueError):
    """The line is no event; the list in hand stays in force."""


def read_entry(item: Mapping[str, Any]) -> tuple[api.EngineEntry, str]:
    """The engine and its address."""
    try:
        engine, where, state = item["instanceId"], item["hostPort"], STATES[item["lifecycle"]]
        address(where)
        started_ms = get(item, "startedAtMs", 0)
        entry = api.EngineEntry(
            engine=str(engine),
            kind=str(get(item, "machineType", "")),
            zone=str(get(item, "zone", "")),
            cell=int(get(item, "cell", 0)),
            weight=float(get(item, "weight", 1.0)),
            state=state,
            started_us=int(started_ms) * 1000 if started_ms else None,
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise BulletinError(f"{type(error).__name__}: {error}") from error
    return entry, where


def read_listed(event: Mapping[str, Any], log: Log, first: bool) -> Listed:
    """An event in the module's terms; entries that can't be used are skipped."""
    roster = event.get("roster")
    if not isinstance(roster, dict) or not isinstance(get(roster, "instances", []), list):
        raise BulletinError("an event without a list")
    entries: list[api.EngineEntry] = []
    addresses: dict[str, str] = {}
    for item in get(roster, "instances", []):
        try:
            entry, where = read_entry(item)
        except BulletinError as error:
            log.line("bulletin", f"an entry skipped: {error}")
            continue
        entries.append(entry)
        addresses[entry.engine] = where
    kind = api.ListKind.FULL if roster.get("reset") else api.ListKind.DELTA
    if first:
        kind = api.ListKind.CACHED
    generation = roster.get("generation")
    return Listed(
        api.EngineList(kind, tuple(entries)), addresses, generation if isinstance(generation, int) else 0
    )


class Bulletin:
    def __init__(
        self, config: Mapping[str, Any], limits: Limits, inbox: Inbox, counters: Counters, log: Log
    ) -> None:
        self.limits, self.inbox, self.counters, self.log = limits, inbox, counters, log
        self.where = address(config["bulletin"])
        self.following: asyncio.Task[bool] | None = None
        self.moved = False  # to another address, since the last connect
        self.retry = asyncio.Event()  # no need to wait for the next try
        self.spoke_us = time.monotonic_ns() // 1000  # when it last said anything that could be read
        self.number = 0  # of the last event that we have
        self.spoilt = 0  # the last event that could not be read
        self.told = False
        known = get(config, "known", {})
        for event in get(known, "items", []):
            self._event(event)
        self.number = max(self.number, int(get(known, "no", 0)))

    def _event(self, event: Mapping[str, Any]) -> None:
        number = event.get("no")
        if not isinstance(number, int) or number <= self.number:
            return  # had already
        try:
            listed = read_listed(event, self.log, first=not self.told)
        except BulletinError:
            if self.spoilt != number:  # not yet had, so that it is asked for again: it may tell of a drain
                self.spoilt = number
                raise
            self.counters.add("bulletin", "unreadable")
            self.number = number  # the same again: it is not worth the rest of the list
            return
        self.number = number
        self.counters.add("bulletin", "events")
        self.inbox.put(listed)
        self.told = True

    def take_line(self, line: bytes) -> bool:
        """False where events are missing and the connection has to be made anew."""
        try:
            data = orjson.loads(line)
            self.spoke_us = time.monotonic_ns() // 1000
            if isinstance(data, int):
                return data <= self.number
            if not isinstance(data, dict):
                raise BulletinError("neither an event nor a number")
            number = data.get("no")
            if not isinstance(number, int):
                raise BulletinError("an event without a number")
            roster = data.get("roster")
            whole = isinstance(roster, dict) and roster.get("reset") is True
            if number > self.number + 1 and not whole:  # a whole list needs none of those before it
                return False
            self._event(data)
        except (orjson.JSONDecodeError, BulletinError) as error:
            self.counters.add("bulletin", "skipped")
            self.log.line("bulletin", f"a line skipped: {error}")
        return True

    def move(self, where: tuple[str, int]) -> None:
        """Follow the bulletin at another address, from the last number that we have."""
        if where != self.where:
            self.where, self.moved = where, True
            if self.following is not None:
                self.following.cancel()
            self.retry.set()

    async def run(self) -> None:
        wait = self.limits.bulletin_retry_first_s
        loop = asyncio.get_running_loop()
        while True:
            before, self.moved = self.number, False
            self.following = loop.create_task(self._follow())
            try:
                sound = await self.following
            except asyncio.CancelledError:
                if not self.moved:  # the program ends
                    self.following.cancel()
                    raise
                sound = True
            except TimeoutError:
                sound = False
                self.log.line("bulletin", "silent: asked anew")
            except OSError as error:
                sound = False
                self.log.line("bulletin", f"no connection: {error}")
            except Exception as error:  # whatever it says, the list in hand stays in force
                sound = False
                self.counters.add("bulletin", "faults")
                self.log.line("bulletin", f"{type(error).__name__}: {error}")
            self.counters.add("bulletin", "reconnects")
            wait = self.limits.bulletin_retry_first_s if sound or self.number > before else wait * 2
            wait = min(wait, self.limits.bulletin_retry_most_s)
            if not self.moved:
                self.retry.clear()
                with suppress(TimeoutError):
                    async with asyncio.timeout(wait):
                        await self.retry.wait()

    async def _follow(self) -> bool:
        """Take lines until the connection ends; False if it was silent or missed something."""
        loop, sock, limits = asyncio.get_running_loop(), tcp_socket(), self.limits
        connection = Connection(sock, Buffer(limits.first_buffer, limits.bulletin_line_bytes))
        came = False
        try:
            async with asyncio.timeout(limits.bulletin_connect_s):
                await loop.sock_connect(sock, self.where)
            prepare(sock)
            connection.write(b"after %d\n" % self.number)
            # It speaks in whole lines, each second: bytes that never end a line are silence too.
            due = loop.time() + limits.bulletin_silent_s
            while True:
                async with asyncio.timeout_at(due):
                    if not await connection.receive():
                        return came
                buffer = connection.buffer
                while (end := buffer.find(b"\n", limits.bulletin_line_bytes)) >= 0:
                    came, due = True, loop.time() + limits.bulletin_silent_s
                    if not self.take_line(buffer.take(end + 1)):
                        return False
                if buffer.full:
                    self.log.line("bulletin", "a line without end")
                    return False
        finally:
            await connection.close()
