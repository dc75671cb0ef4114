"""The fleet's local socket: what `whintrail fleet` and `whintrail settings` ask of a running gateway."""

import asyncio
import socket
from typing import TYPE_CHECKING, Any

import msgspec

from whintrail.control import LineServer, encode
from whintrail.fleet.state import BACK, HALTED, RUNNING
from whintrail.fleet.wire import (
    DONE,
    LATER,
    REFUSED,
    Change,
    GiveBack,
    WantDrain,
    WantRelease,
    WantSlot,
    WantTurn,
    WantUndrain,
    WantVersion,
)
from whintrail.versions.body import Body, BodyError, between, differences, read_body
from whintrail.versions.member import Member
from whintrail.versions.part import Settings

if TYPE_CHECKING:
    from whintrail.gateway.fleet import FleetPart

WORDS = {DONE: "done", REFUSED: "refused", LATER: "later"}


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


TURNS = {"halt": HALTED, "resume": RUNNING, "back": BACK}


class FleetControl(LineServer):
    """`whintrail fleet` talks to it."""

    request_type = Request
    group = "fleet"
    most_request = 262_144  # a body of 64 KB, as JSON

    def __init__(self, path: str, part: "FleetPart") -> None:
        super().__init__(path, part.counters)
        self.part = part

    async def answer(self, sock: socket.socket, request: Request) -> None:
        match request.what:
            case "status":
                await self._rows(sock, [self.part.status()])
            case "members":
                await self._rows(sock, self.part.members())
            case "watch":
                await self._watch(sock)
            case "settings" | "history" | "diff" | "lists":
                try:
                    await self._rows(sock, self._told(request))
                except RequestError as error:
                    await self._rows(sock, [{"error": str(error)}])
            case _:
                try:
                    change = self._change(request)
                except (msgspec.ValidationError, RequestError) as error:
                    await self._rows(sock, [{"error": str(error)}])
                    return
                await self._wish(sock, request, change)

    async def _rows(self, sock: socket.socket, rows: list[dict[str, Any]]) -> None:
        await self.write(sock, b"".join(encode(row) + b"\n" for row in rows))

    # --- Versions.

    def _part(self) -> Settings:
        if self.part.node.settings is None:
            raise RequestError("settings have no versions here: the operator's file has no fleet.versions")
        return self.part.node.settings

    def _versions(self) -> Member:
        return self._part().member

    def _numbered(self, number: int) -> Body:
        """The body of a version that is known here. Errors: RequestError."""
        versions, agreed = self._versions(), self.part.node.state.versions
        if number == 0:
            return Body()
        for version in (agreed.current, agreed.next, *agreed.before):
            if version is not None and version.number == number:
                if (body := versions.body(version)) is not None:
                    return body
        raise RequestError(f"version {number} is not held here")

    def proposal(self, body: dict[str, Any] | None, number: int, why: str) -> Change:
        """A version made on the one in force: of a given body, or an old one's. Errors: RequestError."""
        versions, agreed = self._versions(), self.part.node.state.versions
        try:
            new = read_body(body) if body is not None else self._numbered(number)
            between(self._numbered(agreed.number), new)
            if refused := self.part.check_body(new):
                raise RequestError(refused)
            return WantVersion(agreed.number + 1, versions.put(new), why)
        except BodyError as error:
            raise RequestError(str(error)) from error

    def settings_row(self) -> dict[str, object]:
        versions, agreed, now = self._versions(), self.part.node.state.versions, self.part.now_us()
        rule = versions.acting.rule(now)
        row: dict[str, object] = {
            "acts_by": rule.name,
            "leased": rule.leased,
            "lease_left_ms": max(0, (versions.acting.until - now) // 1000),
            "in_force": agreed.number,
            "next": agreed.next.number if agreed.next is not None else None,
            "entering": agreed.entering,
            "dropped": agreed.dropped or None,
            "T_s": versions.pace.stated_us / 1e6,
            "lapses": versions.acting.lapses,
            "rules": msgspec.to_builtins(rule.body),
        }
        if left := self._part().waiting(now):
            row["waits_for"] = [f"n{number}" for number in left]
        return row

    def lists_row(self) -> dict[str, object]:
        lists, now = self._part().lists, self.part.now_us()
        return {
            "generation": lists.generation,
            "digest": f"{lists.digest:08x}",
            "engines": len(lists.ready),
            "ready": sum(lists.ready.values()),
            "heard_ms_ago": (now - lists.heard_at) // 1000,
            "old": lists.old(now),
            "shut_by_others": sorted(lists.shut),
            "contradictions": lists.contradictions,
            "went_back": lists.went_back,
        }

    def history(self) -> list[dict[str, object]]:
        agreed = self.part.node.state.versions
        rows: list[dict[str, object]] = []
        for version in (agreed.next, agreed.current, *reversed(agreed.before)):
            if version is not None:
                state = (
                    "next" if version is agreed.next else "in force" if version is agreed.current else "past"
                )
                rows.append(
                    {
                        "version": version.number,
                        "state": state,
                        "digest": f"{version.digest:016x}",
                        "by": f"n{version.by}",
                        "why": version.why,
                        "at": version.at_ms / 1000,
                    }
                )
        return rows

    def difference(self, a: int, b: int) -> list[dict[str, object]]:
        found = differences(self._numbered(a), self._numbered(b))
        return [{"path": path, "before": before, "after": after} for path, before, after in found]

    def _told(self, request: Request) -> list[dict[str, Any]]:
        match request.what:
            case "settings":
                return [self.settings_row()]
            case "history":
                return self.history()
            case "lists":
                return [self.lists_row()]
            case _:
                return self.difference(request.a, request.b)

    def _change(self, request: Request) -> Change:
        """Errors: msgspec.ValidationError for what the wire can't carry, RequestError."""
        change: Change
        match request.what:
            case "may-restart":
                change = WantSlot(self.part.node.birth, self.part.given.build)
            case "give-up":
                change = GiveBack(max(0, request.member), 0, True)
            case "drain":
                change = WantDrain(request.engine, request.why, request.limit_s, request.undo)
            case "undrain":
                change = WantUndrain(request.engine, request.why)
            case "release":
                steps = tuple(round(step * 1000) for step in request.steps)
                change = WantRelease(request.build, steps, request.why, request.by_zone)
            case "propose":
                change = self.proposal(request.body or {}, 0, request.why)
            case "back-to":
                change = self.proposal(None, request.a, request.why)
            case "halt" | "resume" | "back" as turn:
                change = WantTurn(TURNS[turn], request.why)
            case other:
                raise RequestError(f"no such request: {other}")
        return msgspec.convert(msgspec.to_builtins(change), type(change))

    async def _wish(self, sock: socket.socket, request: Request, change: Change) -> None:
        loop = asyncio.get_running_loop()
        wish = loop.create_task(
            self.part.wish(change, request.wait_s, request.wait or request.what != "may-restart")
        )
        gone = loop.create_task(self.gone(sock))
        try:
            await asyncio.wait([wish, gone], return_when=asyncio.FIRST_COMPLETED)
            if not wish.done():
                return
            outcome = wish.result()
        finally:
            wish.cancel()
            gone.cancel()
            await asyncio.gather(wish, gone, return_exceptions=True)
        row: dict[str, object] = {"word": WORDS[outcome.word], "fence": outcome.fence, "text": outcome.text}
        held = self.part.node.holder.held
        if request.what == "may-restart" and outcome.word == DONE and held is not None:
            row["use_within_ms"] = max(0, (held.until - self.part.now_us()) // 1000)
            if request.stop:
                self.part.leave()
                self.part.stop()
        await self._rows(sock, [row])

    async def _watch(self, sock: socket.socket) -> None:
        queue: asyncio.Queue[dict[str, object]] = asyncio.Queue(256)
        loop = asyncio.get_running_loop()
        gone = loop.create_task(self.gone(sock))
        self.part.followers.add(queue)
        try:
            while not gone.done():
                getting = loop.create_task(queue.get())
                await asyncio.wait([getting, gone], return_when=asyncio.FIRST_COMPLETED)
                if getting.done():
                    await self._rows(sock, [getting.result()])
                getting.cancel()
        finally:
            self.part.followers.discard(queue)
            gone.cancel()
            await asyncio.gather(gone, return_exceptions=True)
