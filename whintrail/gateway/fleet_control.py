"""The fleet's local socket: what `whintrail fleet` and `whintrail settings` ask of a running gateway."""

import asyncio
import socket
from typing import TYPE_CHECKING, Any

import msgspec

from whintrail.control import LineServer, encode_json
from whintrail.fleet.state import HALTED, ROLLING_BACK, RUNNING
from whintrail.fleet.wire import (
    DONE,
    REFUSED,
    RETRY_LATER,
    Change,
    DrainRequest,
    ReleaseRequest,
    ReleaseStatusRequest,
    SlotRequest,
    SlotReturn,
    UndrainRequest,
    VersionRequest,
)
from whintrail.versions.member import VersionMember
from whintrail.versions.rules import Rules, RulesError, differences, parse_rules, transition_rules
from whintrail.versions.service import VersionService

if TYPE_CHECKING:
    from whintrail.gateway.fleet import FleetService

OUTCOME_WORDS = {DONE: "done", REFUSED: "refused", RETRY_LATER: "later"}


class RequestError(ValueError):
    """What is asked can't be done here; the text is one line."""


class Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    what: str
    engine: str = ""
    member: int = -1
    why: str = ""
    build: str = ""
    steps: tuple[float, ...] = ()
    limit_s: int = 0
    undo: bool = False
    wait_s: float = 5.0
    wait: bool = False
    stop: bool = False
    by_zone: bool = False
    body: dict[str, Any] | None = None
    a: int = 0
    b: int = 0


RELEASE_COMMANDS = {"halt": HALTED, "resume": RUNNING, "back": ROLLING_BACK}


class FleetControl(LineServer):
    """`whintrail fleet` talks to it."""

    request_type = Request
    counter_group = "fleet"
    max_request_bytes = 262_144  # a body of 64 KB, as JSON

    def __init__(self, path: str, fleet: "FleetService") -> None:
        super().__init__(path, fleet.counters)
        self.fleet = fleet

    async def handle_request(self, sock: socket.socket, request: Request) -> None:
        match request.what:
            case "status":
                await self._write_rows(sock, [self.fleet.status()])
            case "members":
                await self._write_rows(sock, self.fleet.members())
            case "watch":
                await self._stream_events(sock)
            case "settings" | "history" | "diff" | "lists":
                try:
                    await self._write_rows(sock, self._versions_rows(request))
                except RequestError as error:
                    await self._write_rows(sock, [{"error": str(error)}])
            case _:
                try:
                    change = self._build_change(request)
                except (msgspec.ValidationError, RequestError) as error:
                    await self._write_rows(sock, [{"error": str(error)}])
                    return
                await self._request_change(sock, request, change)

    async def _write_rows(self, sock: socket.socket, rows: list[dict[str, Any]]) -> None:
        await self.write(sock, b"".join(encode_json(row) + b"\n" for row in rows))

    # --- Versions.

    def _versions_service(self) -> VersionService:
        if self.fleet.node.settings is None:
            raise RequestError("settings have no versions here: the operator's file has no fleet.versions")
        return self.fleet.node.settings

    def _version_member(self) -> VersionMember:
        return self._versions_service().member

    def _version_body(self, number: int) -> Rules:
        """The body of a version that is known here. Errors: RequestError."""
        versions, agreed = self._version_member(), self.fleet.node.state.versions
        if number == 0:
            return Rules()
        for version in (agreed.current, agreed.next, *agreed.history):
            if version is not None and version.number == number:
                if (body := versions.rules_of(version)) is not None:
                    return body
        raise RequestError(f"version {number} is not held here")

    def version_proposal(self, body: dict[str, Any] | None, number: int, why: str) -> Change:
        """A version made on the one in force: of a given body, or an old one's. Errors: RequestError."""
        versions, agreed = self._version_member(), self.fleet.node.state.versions
        try:
            new = parse_rules(body) if body is not None else self._version_body(number)
            transition_rules(self._version_body(agreed.number), new)
            if refused := self.fleet.check_body(new):
                raise RequestError(refused)
            return VersionRequest(agreed.number + 1, versions.store_rules(new), why)
        except RulesError as error:
            raise RequestError(str(error)) from error

    def settings_row(self) -> dict[str, object]:
        versions, agreed, now = self._version_member(), self.fleet.node.state.versions, self.fleet.now_us()
        rule = versions.lease.active_version(now)
        row: dict[str, object] = {
            "acts_by": rule.label,
            "leased": rule.leased,
            "lease_left_ms": max(0, (versions.lease.expires_at - now) // 1000),
            "in_force": agreed.number,
            "next": agreed.next.number if agreed.next is not None else None,
            "entering": agreed.entering,
            "dropped": agreed.last_dropped or None,
            "T_s": versions.timing.max_divergence_us / 1e6,
            "lapses": versions.lease.lapse_count,
            "rules": msgspec.to_builtins(rule.rules),
        }
        if left := self._versions_service().unready_members(now):
            row["waits_for"] = [f"n{number}" for number in left]
        return row

    def lists_row(self) -> dict[str, object]:
        lists, now = self._versions_service().engine_list, self.fleet.now_us()
        return {
            "generation": lists.generation,
            "digest": f"{lists.digest:08x}",
            "engines": len(lists.ready),
            "ready": sum(lists.ready.values()),
            "heard_ms_ago": (now - lists.last_activity_at) // 1000,
            "old": lists.is_stale(now),
            "shut_by_others": sorted(lists.excluded_engines),
            "contradictions": lists.conflict_count,
            "went_back": lists.generation_regressions,
        }

    def history_rows(self) -> list[dict[str, object]]:
        agreed = self.fleet.node.state.versions
        rows: list[dict[str, object]] = []
        for version in (agreed.next, agreed.current, *reversed(agreed.history)):
            if version is not None:
                state = (
                    "next" if version is agreed.next else "in force" if version is agreed.current else "past"
                )
                rows.append(
                    {
                        "version": version.number,
                        "state": state,
                        "digest": f"{version.digest:016x}",
                        "by": f"n{version.author}",
                        "why": version.reason,
                        "at": version.at_ms / 1000,
                    }
                )
        return rows

    def difference_rows(self, a: int, b: int) -> list[dict[str, object]]:
        found = differences(self._version_body(a), self._version_body(b))
        return [{"path": path, "before": before, "after": after} for path, before, after in found]

    def _versions_rows(self, request: Request) -> list[dict[str, Any]]:
        match request.what:
            case "settings":
                return [self.settings_row()]
            case "history":
                return self.history_rows()
            case "lists":
                return [self.lists_row()]
            case _:
                return self.difference_rows(request.a, request.b)

    def _build_change(self, request: Request) -> Change:
        """Errors: msgspec.ValidationError for what the wire can't carry, RequestError."""
        change: Change
        match request.what:
            case "may-restart":
                change = SlotRequest(self.fleet.node.boot_id, self.fleet.node_config.build)
            case "give-up":
                change = SlotReturn(max(0, request.member), 0, True)
            case "drain":
                change = DrainRequest(request.engine, request.why, request.limit_s, request.undo)
            case "undrain":
                change = UndrainRequest(request.engine, request.why)
            case "release":
                steps = tuple(round(step * 1000) for step in request.steps)
                change = ReleaseRequest(request.build, steps, request.why, request.by_zone)
            case "propose":
                change = self.version_proposal(request.body or {}, 0, request.why)
            case "back-to":
                change = self.version_proposal(None, request.a, request.why)
            case "halt" | "resume" | "back" as turn:
                change = ReleaseStatusRequest(RELEASE_COMMANDS[turn], request.why)
            case other:
                raise RequestError(f"no such request: {other}")
        return msgspec.convert(msgspec.to_builtins(change), type(change))

    async def _request_change(self, sock: socket.socket, request: Request, change: Change) -> None:
        loop = asyncio.get_running_loop()
        wish = loop.create_task(
            self.fleet.request_change(change, request.wait_s, request.wait or request.what != "may-restart")
        )
        gone = loop.create_task(self.wait_closed(sock))
        try:
            await asyncio.wait([wish, gone], return_when=asyncio.FIRST_COMPLETED)
            if not wish.done():
                return
            outcome = wish.result()
        finally:
            wish.cancel()
            gone.cancel()
            await asyncio.gather(wish, gone, return_exceptions=True)
        row: dict[str, object] = {
            "word": OUTCOME_WORDS[outcome.status],
            "fence": outcome.fence,
            "text": outcome.text,
        }
        held = self.fleet.node.leader_client.held_slot
        if request.what == "may-restart" and outcome.status == DONE and held is not None:
            row["use_within_ms"] = max(0, (held.usable_until - self.fleet.now_us()) // 1000)
            if request.stop:
                self.fleet.leave()
                self.fleet.stop()
        await self._write_rows(sock, [row])

    async def _stream_events(self, sock: socket.socket) -> None:
        queue: asyncio.Queue[dict[str, object]] = asyncio.Queue(256)
        loop = asyncio.get_running_loop()
        gone = loop.create_task(self.wait_closed(sock))
        self.fleet.watchers.add(queue)
        try:
            while not gone.done():
                getting = loop.create_task(queue.get())
                await asyncio.wait([getting, gone], return_when=asyncio.FIRST_COMPLETED)
                if getting.done():
                    await self._write_rows(sock, [getting.result()])
                getting.cancel()
        finally:
            self.fleet.watchers.discard(queue)
            gone.cancel()
            await asyncio.gather(gone, return_exceptions=True)
