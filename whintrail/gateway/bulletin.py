"""The client of the bulletin, the service that lists engines.

It publishes the events known from the configuration, then those of the bulletin, each once and in order.
"""

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
    """The line is not a valid event; the current list stays in force."""


def read_entry(item: Mapping[str, Any]) -> tuple[api.EngineEntry, str]:
    """Read one engine of an event, with its address."""
    try:
        engine, address, state = item["instanceId"], item["hostPort"], LIFECYCLE_STATES[item["lifecycle"]]
        parse_address(address)
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
    return entry, address


def read_list_update(event: Mapping[str, Any], log: Log, is_first: bool) -> EngineListUpdate:
    """Convert an event to a list update; invalid entries are logged and skipped."""
    roster = event.get("roster")
    if not isinstance(roster, dict) or not isinstance(get_or_default(roster, "instances", []), list):
        raise BulletinError("event without a list")
    entries: list[api.EngineEntry] = []
    addresses: dict[str, str] = {}
    for item in get_or_default(roster, "instances", []):
        try:
            entry, address = read_entry(item)
        except BulletinError as error:
            log.line("bulletin", f"invalid entry skipped: {error}")
            continue
        entries.append(entry)
        addresses[entry.engine] = address
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
    """Follows the bulletin, reconnecting as needed, and puts each event on the dispatcher's inbox."""

    def __init__(
        self, config: Mapping[str, Any], limits: Limits, inbox: Inbox, counters: Counters, log: Log
    ) -> None:
        self.limits, self.inbox, self.counters, self.log = limits, inbox, counters, log
        self.server_address = parse_address(config["bulletin"])
        self.follow_task: asyncio.Task[bool] | None = None
        self.address_changed = False  # since the last connect
        self.retry_now = asyncio.Event()  # set to end the wait before the next connect
        self.last_received_us = time.monotonic_ns() // 1000  # time of the last line with valid JSON
        self.last_event_number = 0
        self.unreadable_event_number = 0
        self.has_published = False
        known = get_or_default(config, "known", {})
        for event in get_or_default(known, "items", []):
            self._apply_event(event)
        self.last_event_number = max(self.last_event_number, int(get_or_default(known, "no", 0)))

    def _apply_event(self, event: Mapping[str, Any]) -> None:
        number = event.get("no")
        if not isinstance(number, int) or number <= self.last_event_number:
            return  # received before
        try:
            update = read_list_update(event, self.log, is_first=not self.has_published)
        except BulletinError:
            if self.unreadable_event_number != number:
                # Not counted as received, so that it is requested again: it may announce a drain.
                self.unreadable_event_number = number
                raise
            self.counters.add("bulletin", "unreadable")
            self.last_event_number = number  # invalid twice: skip it rather than block later events
            return
        self.last_event_number = number
        self.counters.add("bulletin", "events")
        self.inbox.put(update)
        self.has_published = True

    def process_line(self, line: bytes) -> bool:
        """Process a line; returns False if events are missing and the connection has to be renewed."""
        try:
            data = orjson.loads(line)
            self.last_received_us = time.monotonic_ns() // 1000
            if isinstance(data, int):
                return data <= self.last_event_number
            if not isinstance(data, dict):
                raise BulletinError("neither an event nor a number")
            number = data.get("no")
            if not isinstance(number, int):
                raise BulletinError("event without a number")
            roster = data.get("roster")
            is_full = isinstance(roster, dict) and roster.get("reset") is True
            # Events were missed; only a full list replaces them.
            if number > self.last_event_number + 1 and not is_full:
                return False
            self._apply_event(data)
        except (orjson.JSONDecodeError, BulletinError) as error:
            self.counters.add("bulletin", "skipped")
            self.log.line("bulletin", f"a line skipped: {error}")
        return True

    def change_address(self, server_address: tuple[str, int]) -> None:
        """Follow the bulletin at another address, from the last event received."""
        if server_address != self.server_address:
            self.server_address, self.address_changed = server_address, True
            if self.follow_task is not None:
                self.follow_task.cancel()
            self.retry_now.set()

    async def run(self) -> None:
        """Follow the bulletin until cancelled; reconnects with a backoff that doubles up to its limit."""
        backoff_s = self.limits.bulletin_retry_min_s
        loop = asyncio.get_running_loop()
        while True:
            previous_number, self.address_changed = self.last_event_number, False
            self.follow_task = loop.create_task(self._follow_events())
            try:
                was_useful = await self.follow_task
            except asyncio.CancelledError:
                if not self.address_changed:  # the gateway is stopping
                    self.follow_task.cancel()
                    raise
                was_useful = True
            except TimeoutError:
                was_useful = False
                self.log.line("bulletin", "silent: reconnecting")
            except OSError as error:
                was_useful = False
                self.log.line("bulletin", f"no connection: {error}")
            except Exception as error:  # on any fault the current list stays in force
                was_useful = False
                self.counters.add("bulletin", "faults")
                self.log.line("bulletin", f"{type(error).__name__}: {error}")
            self.counters.add("bulletin", "reconnects")
            backoff_s = (
                self.limits.bulletin_retry_min_s
                if was_useful or self.last_event_number > previous_number
                else backoff_s * 2
            )
            backoff_s = min(backoff_s, self.limits.bulletin_retry_max_s)
            if not self.address_changed:
                self.retry_now.clear()
                with suppress(TimeoutError):
                    async with asyncio.timeout(backoff_s):
                        await self.retry_now.wait()

    async def _follow_events(self) -> bool:
        """Process lines until the connection ends; returns whether it was useful.

        Returns False if no line came, or if events were missed. Errors: TimeoutError, OSError.
        """
        loop, sock, limits = asyncio.get_running_loop(), create_tcp_socket(), self.limits
        connection = Connection(sock, Buffer(limits.initial_buffer_bytes, limits.bulletin_line_bytes))
        has_line = False
        try:
            async with asyncio.timeout(limits.bulletin_connect_timeout_s):
                await loop.sock_connect(sock, self.server_address)
            configure_socket(sock)
            connection.write(b"after %d\n" % self.last_event_number)
            # The bulletin sends a complete line each second; bytes without a line end count as silence.
            silent_at = loop.time() + limits.bulletin_silence_timeout_s
            while True:
                async with asyncio.timeout_at(silent_at):
                    if not await connection.receive():
                        return has_line
                buffer = connection.buffer
                while (end := buffer.find(b"\n", limits.bulletin_line_bytes)) >= 0:
                    has_line, silent_at = True, loop.time() + limits.bulletin_silence_timeout_s
                    if not self.process_line(buffer.take(end + 1)):
                        return False
                if buffer.full:
                    self.log.line("bulletin", "a line without end")
                    return False
        finally:
            await connection.close()
