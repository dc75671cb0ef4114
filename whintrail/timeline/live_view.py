"""The live view: a Unix socket that answers one JSON line with JSON lines. Off unless the file names it.

A request is {"what": "engines" | "show" | "events", ...}. Sizes are bounded before memory is taken; a client
that doesn't read holds up nobody: a follower's queue is bounded, what it misses is counted and told, and one
that takes nothing for seconds is hung up on.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from whintrail.control.json_lines import CounterSink, LineServer, encode_json
from whintrail.timeline.core import Timeline
from whintrail.timeline.events import Detection

MAX_ROWS, FOLLOWER_QUEUE_LINES = 200_000, 256
WRITE_BATCH_ROWS = 200  # rows written before others have their turn


class Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    what: str
    engine: str | None = None
    since_us: int = 0
    until_us: int = 1 << 62
    level: int | None = None  # of roll-ups; None: raw events
    follow: bool = False


class Follower:
    def __init__(self) -> None:
        self.queue: deque[bytes] = deque()
        self.missed = 0
        self.lines_ready = asyncio.Event()

    def enqueue(self, line: bytes) -> None:
        if len(self.queue) >= FOLLOWER_QUEUE_LINES:
            self.missed += 1
        else:
            self.queue.append(line)
        self.lines_ready.set()


def detection_row(happening: Detection) -> dict[str, object]:
    return {
        "at_us": happening.at_us,
        "engine": happening.engine,
        "event": happening.verdict.name.lower().replace("_", " "),
        "begins": happening.begins,
        "since_us": happening.since_us,
        "evidence": happening.evidence,
    }


class LiveView(LineServer):
    """Errors of the constructor: OSError where the socket can't be had."""

    request_type = Request
    counter_group = "timeline"

    def __init__(self, path: str, timeline: Timeline, followers: int, counters: CounterSink) -> None:
        super().__init__(path, counters)
        self.timeline, self.max_followers = timeline, followers
        self.followers: set[Follower] = set()

    def publish(self, detections: Iterable[Detection]) -> None:
        lines = [encode_json(detection_row(happening)) + b"\n" for happening in detections]
        for follower in self.followers:
            for line in lines:
                follower.enqueue(line)

    async def handle_request(self, sock: socket.socket, request: Request) -> None:
        if request.what == "events" and request.follow:
            await self._follow(sock, request)
            return
        batch = bytearray()
        for number, row in enumerate(self._write_rows(request)):
            if number >= MAX_ROWS:
                batch += encode_json({"error": f"more than {MAX_ROWS} rows: ask for a shorter time"}) + b"\n"
                break
            batch += encode_json(row) + b"\n"
            if number % WRITE_BATCH_ROWS == WRITE_BATCH_ROWS - 1:
                await self.write(sock, bytes(batch))
                batch.clear()
                await asyncio.sleep(0)
        await self.write(sock, bytes(batch))

    def _write_rows(self, request: Request) -> Iterator[dict[str, Any]]:
        timeline, engine = self.timeline, request.engine
        match request.what:
            case "engines":
                yield from timeline.engines()
            case "events":
                for happening in list(timeline.detections):
                    if engine in (None, happening.engine) and happening.at_us >= request.since_us:
                        yield detection_row(happening)
            case "show" if request.level is None:
                for row in timeline.history.rows(engine, request.since_us, request.until_us):
                    yield {
                        "at_us": row.at_us,
                        "engine": row.engine,
                        "kind": row.kind.name.lower(),
                        "what": row.describe(timeline.classes),
                    }
            case "show" if engine is not None and request.level in (0, 1, 2):
                for bucket in timeline.history.buckets(engine, request.level, request.since_us):
                    yield bucket.summary()
            case _:
                yield {"error": f"no such request: {request.what}"}

    async def _follow(self, sock: socket.socket, request: Request) -> None:
        if len(self.followers) >= self.max_followers:
            await self.write(sock, encode_json({"error": "as many followers as the file allows"}) + b"\n")
            return
        follower, loop = Follower(), asyncio.get_running_loop()
        self.followers.add(follower)
        gone = loop.create_task(self.wait_closed(sock))
        try:
            for row in self._write_rows(request):
                follower.enqueue(encode_json(row) + b"\n")
            while not gone.done():
                waiting = loop.create_task(follower.lines_ready.wait())
                await asyncio.wait([waiting, gone], return_when=asyncio.FIRST_COMPLETED)
                waiting.cancel()
                follower.lines_ready.clear()
                while follower.queue and not gone.done():
                    data = b"".join(follower.queue)
                    follower.queue.clear()
                    if follower.missed:
                        data += encode_json({"missed": follower.missed}) + b"\n"
                        follower.missed = 0
                    await self.write(sock, data)
        finally:
            self.followers.discard(follower)
            gone.cancel()
            await asyncio.gather(gone, return_exceptions=True)
