"""The fleet's local control socket, used by `whintrail fleet` and `whintrail settings`."""

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

MAX_QUEUED_EVENTS = 256  # per client that watches
OUTCOME_WORDS = {DONE: "done", REFUSED: "refused", RETRY_LATER: "later"}


class RequestError(ValueError):
    """The request can't be fulfilled; the text is one line."""


class Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request on the control socket; `what` selects it, and each uses some of the other fields."""

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
    """Serves requests on the control socket."""

    request_type = Request
    counter_group = "fleet"
    max_request_bytes = 262_144  # room for a settings body of 64 KB as JSON

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
        """The body of a version that this gateway holds. Errors: RequestError."""
        member, version_state = self._version_member(), self.fleet.node.state.versions
        if number == 0:
            return Rules()
        for version in (version_state.current, version_state.next, *version_state.history):
            if version is not None and version.number == number:
                if (body := member.rules_of(version)) is not None:
                    return body
        raise RequestError(f"version {number} is not held here")

    def version_proposal(self, body: dict[str, Any] | None, number: int, why: str) -> Change:
        """A proposal for the version after the one in force, with a given body or that of an older version.

        Errors: RequestError.
        """
        member, version_state = self._version_member(), self.fleet.node.state.versions
        try:
            new_rules = parse_rules(body) if body is not None else self._version_body(number)
            transition_rules(self._version_body(version_state.number), new_rules)
            if refusal := self.fleet.check_body(new_rules):
                raise RequestError(refusal)
            return VersionRequest(version_state.number + 1, member.store_rules(new_rules), why)
        except RulesError as error:
            raise RequestError(str(error)) from error

    def settings_row(self) -> dict[str, object]:
        """The version of the settings in force, and this gateway's lease on it."""
        member, version_state = self._version_member(), self.fleet.node.state.versions
        now = self.fleet.now_us()
        version = member.lease.active_version(now)
        row: dict[str, object] = {
            "acts_by": version.label,
            "leased": version.leased,
            "lease_left_ms": max(0, (member.lease.expires_at - now) // 1000),
            "in_force": version_state.number,
            "next": version_state.next.number if version_state.next is not None else None,
            "entering": version_state.entering,
            "dropped": version_state.last_dropped or None,
            "T_s": member.timing.max_divergence_us / 1e6,
            "lapses": member.lease.lapse_count,
            "rules": msgspec.to_builtins(version.rules),
        }
        if unready := self._versions_service().unready_members(now):
            row["waits_for"] = [f"n{number}" for number in unready]
        return row

    def lists_row(self) -> dict[str, object]:
        """This gateway's engine list, as compared among gateways."""
        engine_list, now = self._versions_service().engine_list, self.fleet.now_us()
        return {
            "generation": engine_list.generation,
            "digest": f"{engine_list.digest:08x}",
            "engines": len(engine_list.ready),
            "ready": sum(engine_list.ready.values()),
            "heard_ms_ago": (now - engine_list.last_activity_at) // 1000,
            "old": engine_list.is_stale(now),
            "shut_by_others": sorted(engine_list.excluded_engines),
            "contradictions": engine_list.conflict_count,
            "went_back": engine_list.generation_regressions,
        }

    def history_rows(self) -> list[dict[str, object]]:
        """The known versions, newest first."""
        version_state = self.fleet.node.state.versions
        rows: list[dict[str, object]] = []
        for version in (version_state.next, version_state.current, *reversed(version_state.history)):
            if version is not None:
                state = (
                    "next"
                    if version is version_state.next
                    else "in force"
                    if version is version_state.current
                    else "past"
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
        """The differences between two versions. Errors: RequestError."""
        changes = differences(self._version_body(a), self._version_body(b))
        return [{"path": path, "before": before, "after": after} for path, before, after in changes]

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
        """Build the change for a request. Errors: RequestError, msgspec.ValidationError (invalid values)."""
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
            case "halt" | "resume" | "back" as command:
                change = ReleaseStatusRequest(RELEASE_COMMANDS[command], request.why)
            case other:
                raise RequestError(f"no such request: {other}")
        return msgspec.convert(msgspec.to_builtins(change), type(change))

    async def _request_change(self, sock: socket.socket, request: Request, change: Change) -> None:
        loop = asyncio.get_running_loop()
        change_task = loop.create_task(
            self.fleet.request_change(change, request.wait_s, request.wait or request.what != "may-restart")
        )
        closed_task = loop.create_task(self.wait_closed(sock))
        try:
            await asyncio.wait([change_task, closed_task], return_when=asyncio.FIRST_COMPLETED)
            if not change_task.done():
                return
            outcome = change_task.result()
        finally:
            change_task.cancel()
            closed_task.cancel()
            await asyncio.gather(change_task, closed_task, return_exceptions=True)
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
        queue: asyncio.Queue[dict[str, object]] = asyncio.Queue(MAX_QUEUED_EVENTS)
        loop = asyncio.get_running_loop()
        closed_task = loop.create_task(self.wait_closed(sock))
        self.fleet.watchers.add(queue)
        try:
            while not closed_task.done():
                event_task = loop.create_task(queue.get())
                await asyncio.wait([event_task, closed_task], return_when=asyncio.FIRST_COMPLETED)
                if event_task.done():
                    await self._write_rows(sock, [event_task.result()])
                event_task.cancel()
        finally:
            self.fleet.watchers.discard(queue)
            closed_task.cancel()
            await asyncio.gather(closed_task, return_exceptions=True)
