"""The live view: a Unix socket that answers one JSON line with JSON lines.

It is off unless the operator's file names its path.

A request is {"what": "engines" | "show" | "events", ...} with the fields of `Request`. Sizes are checked
before memory is allocated. A client that doesn't read blocks no other: a follower's queue is bounded, it is
told how many lines it missed, and its connection is closed when it reads nothing for seconds.
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

MAX_ROWS = 200_000
FOLLOWER_QUEUE_LINES = 256
WRITE_BATCH_ROWS = 200  # rows between two yields to the event loop


class Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client's request."""

    what: str
    engine: str | None = None
    since_us: int = 0
    until_us: int = 1 << 62
    level: int | None = None  # of the roll-ups; None for raw events
    follow: bool = False


class Follower:
    """A client that follows the detections, with its queue of lines."""

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


def detection_row(detection: Detection) -> dict[str, object]:
    """A detection as a row of JSON output."""
    return {
        "at_us": detection.at_us,
        "engine": detection.engine,
        "event": detection.verdict.name.lower().replace("_", " "),
        "begins": detection.begins,
        "since_us": detection.since_us,
        "evidence": detection.evidence,
    }


class LiveView(LineServer):
    """Serves the timeline on a Unix socket.

    Errors of the constructor: OSError if the socket can't be opened.
    """

    request_type = Request
    counter_group = "timeline"

    def __init__(self, path: str, timeline: Timeline, max_followers: int, counters: CounterSink) -> None:
        super().__init__(path, counters)
        self.timeline, self.max_followers = timeline, max_followers
        self.followers: set[Follower] = set()

    def publish(self, detections: Iterable[Detection]) -> None:
        lines = [encode_json(detection_row(detection)) + b"\n" for detection in detections]
        for follower in self.followers:
            for line in lines:
                follower.enqueue(line)

    async def handle_request(self, sock: socket.socket, request: Request) -> None:
        if request.what == "events" and request.follow:
            await self._follow(sock, request)
            return
        batch = bytearray()
        for number, row in enumerate(self._answer_rows(request)):
            if number >= MAX_ROWS:
                batch += encode_json({"error": f"more than {MAX_ROWS} rows: ask for a shorter time"}) + b"\n"
                break
            batch += encode_json(row) + b"\n"
            if number % WRITE_BATCH_ROWS == WRITE_BATCH_ROWS - 1:
                await self.write(sock, bytes(batch))
                batch.clear()
                await asyncio.sleep(0)
        await self.write(sock, bytes(batch))

    def _answer_rows(self, request: Request) -> Iterator[dict[str, Any]]:
        timeline, engine = self.timeline, request.engine
        match request.what:
            case "engines":
                yield from timeline.engines()
            case "events":
                for detection in list(timeline.detections):
                    if engine in (None, detection.engine) and detection.at_us >= request.since_us:
                        yield detection_row(detection)
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
        closed = loop.create_task(self.wait_closed(sock))
        try:
            for row in self._answer_rows(request):
                follower.enqueue(encode_json(row) + b"\n")
            while not closed.done():
                wait_lines = loop.create_task(follower.lines_ready.wait())
                await asyncio.wait([wait_lines, closed], return_when=asyncio.FIRST_COMPLETED)
                wait_lines.cancel()
                follower.lines_ready.clear()
                while follower.queue and not closed.done():
                    data = b"".join(follower.queue)
                    follower.queue.clear()
                    if follower.missed:
                        data += encode_json({"missed": follower.missed}) + b"\n"
                        follower.missed = 0
                    await self.write(sock, data)
        finally:
            self.followers.discard(follower)
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)
