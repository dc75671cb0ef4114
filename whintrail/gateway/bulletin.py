"""The list of engines: events known at the start, then those of the bulletin, each once and in order."""

import asyncio
import time
from collections.abc import Mapping
from contextlib import suppress
from typing import Any

import orjson

from whintrail import interface as api
from whintrail.gateway.buffer import Buffer
from whintrail.gateway.connection import Connection, configure_socket, create_tcp_socket, parse_address
from whintrail.gateway.counters import Counters
from whintrail.gateway.dispatcher import EngineListUpdate, Inbox
from whintrail.gateway.limits import Limits
from whintrail.gateway.log import Log
from whintrail.settings import get_or_default

LIFECYCLE_STATES = {
    "active": api.EngineState.READY,
    "leaving": api.EngineState.DRAINING,
    "left": api.EngineState.REMOVED,
}


class BulletinError(ValueError):
    """The line is no event; the list in hand stays in force."""


def read_entry(item: Mapping[str, Any]) -> tuple[api.EngineEntry, str]:
    """The engine and its address."""
    try:
        engine, where, state = item["instanceId"], item["hostPort"], LIFECYCLE_STATES[item["lifecycle"]]
        parse_address(where)
        started_ms = get_or_default(item, "startedAtMs", 0)
        entry = api.EngineEntry(
            engine=str(engine),
            kind=str(get_or_default(item, "machineType", "")),
            zone=str(get_or_default(item, "zone", "")),
            cell=int(get_or_default(item, "cell", 0)),
            weight=float(get_or_default(item, "weight", 1.0)),
            state=state,
            started_us=int(started_ms) * 1000 if started_ms else None,
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise BulletinError(f"{type(error).__name__}: {error}") from error
    return entry, where


def read_list_update(event: Mapping[str, Any], log: Log, is_first: bool) -> EngineListUpdate:
    """An event in the module's terms; entries that can't be used are skipped."""
    roster = event.get("roster")
    if not isinstance(roster, dict) or not isinstance(get_or_default(roster, "instances", []), list):
        raise BulletinError("an event without a list")
    entries: list[api.EngineEntry] = []
    addresses: dict[str, str] = {}
    for item in get_or_default(roster, "instances", []):
        try:
            entry, where = read_entry(item)
        except BulletinError as error:
            log.line("bulletin", f"an entry skipped: {error}")
            continue
        entries.append(entry)
        addresses[entry.engine] = where
    kind = api.ListKind.FULL if roster.get("reset") else api.ListKind.DELTA
    if is_first:
        kind = api.ListKind.CACHED
    generation = roster.get("generation")
    return EngineListUpdate(
        api.EngineListReceived(kind, tuple(entries)),
        addresses,
        generation if isinstance(generation, int) else 0,
    )


class BulletinClient:
    def __init__(
        self, config: Mapping[str, Any], limits: Limits, inbox: Inbox, counters: Counters, log: Log
    ) -> None:
        self.limits, self.inbox, self.counters, self.log = limits, inbox, counters, log
        self.server_address = parse_address(config["bulletin"])
        self.follow_task: asyncio.Task[bool] | None = None
        self.address_changed = False  # to another address, since the last connect
        self.retry_now = asyncio.Event()  # no need to wait for the next try
        self.last_received_us = time.monotonic_ns() // 1000  # when it last said anything that could be read
        self.last_event_number = 0  # of the last event that we have
        self.unreadable_event_number = 0  # the last event that could not be read
        self.has_published = False
        known = get_or_default(config, "known", {})
        for event in get_or_default(known, "items", []):
            self._apply_event(event)
        self.last_event_number = max(self.last_event_number, int(get_or_default(known, "no", 0)))

    def _apply_event(self, event: Mapping[str, Any]) -> None:
        number = event.get("no")
        if not isinstance(number, int) or number <= self.last_event_number:
            return  # had already
        try:
            listed = read_list_update(event, self.log, is_first=not self.has_published)
        except BulletinError:
            if (
                self.unreadable_event_number != number
            ):  # not yet had, so that it is asked for again: it may tell of a drain
                self.unreadable_event_number = number
                raise
            self.counters.add("bulletin", "unreadable")
            self.last_event_number = number  # the same again: it is not worth the rest of the list
            return
        self.last_event_number = number
        self.counters.add("bulletin", "events")
        self.inbox.put(listed)
        self.has_published = True

    def process_line(self, line: bytes) -> bool:
        """False where events are missing and the connection has to be made anew."""
        try:
            data = orjson.loads(line)
            self.last_received_us = time.monotonic_ns() // 1000
            if isinstance(data, int):
                return data <= self.last_event_number
            if not isinstance(data, dict):
                raise BulletinError("neither an event nor a number")
            number = data.get("no")
            if not isinstance(number, int):
                raise BulletinError("an event without a number")
            roster = data.get("roster")
            whole = isinstance(roster, dict) and roster.get("reset") is True
            if (
                number > self.last_event_number + 1 and not whole
            ):  # a whole list needs none of those before it
                return False
            self._apply_event(data)
        except (orjson.JSONDecodeError, BulletinError) as error:
            self.counters.add("bulletin", "skipped")
            self.log.line("bulletin", f"a line skipped: {error}")
        return True

    def change_address(self, server_address: tuple[str, int]) -> None:
        """Follow the bulletin at another address, from the last number that we have."""
        if server_address != self.server_address:
            self.server_address, self.address_changed = server_address, True
            if self.follow_task is not None:
                self.follow_task.cancel()
            self.retry_now.set()

    async def run(self) -> None:
        wait = self.limits.bulletin_retry_min_s
        loop = asyncio.get_running_loop()
        while True:
            before, self.address_changed = self.last_event_number, False
            self.follow_task = loop.create_task(self._follow_events())
            try:
                sound = await self.follow_task
            except asyncio.CancelledError:
                if not self.address_changed:  # the program ends
                    self.follow_task.cancel()
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
            wait = self.limits.bulletin_retry_min_s if sound or self.last_event_number > before else wait * 2
            wait = min(wait, self.limits.bulletin_retry_max_s)
            if not self.address_changed:
                self.retry_now.clear()
                with suppress(TimeoutError):
                    async with asyncio.timeout(wait):
                        await self.retry_now.wait()

    async def _follow_events(self) -> bool:
        """Take lines until the connection ends; False if it was silent or missed something."""
        loop, sock, limits = asyncio.get_running_loop(), create_tcp_socket(), self.limits
        connection = Connection(sock, Buffer(limits.initial_buffer_bytes, limits.bulletin_line_bytes))
        came = False
        try:
            async with asyncio.timeout(limits.bulletin_connect_timeout_s):
                await loop.sock_connect(sock, self.server_address)
            configure_socket(sock)
            connection.write(b"after %d\n" % self.last_event_number)
            # It speaks in whole lines, each second: bytes that never end a line are silence too.
            due = loop.time() + limits.bulletin_silence_timeout_s
            while True:
                async with asyncio.timeout_at(due):
                    if not await connection.receive():
                        return came
                buffer = connection.buffer
                while (end := buffer.find(b"\n", limits.bulletin_line_bytes)) >= 0:
                    came, due = True, loop.time() + limits.bulletin_silence_timeout_s
                    if not self.process_line(buffer.take(end + 1)):
                        return False
                if buffer.full:
                    self.log.line("bulletin", "a line without end")
                    return False
        finally:
            await connection.close()
