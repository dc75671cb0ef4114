"""The child's side of a scale run's control channel: JSON objects, one per line, on stdin and stdout.

    {"id": 3, "do": "mute", "on": true}     from the run
    {"id": 3, "ok": null}                   from the child; or {"id": 3, "error": "why"}

The first request is `start`. A child ends when its stdin does, however its parent ended.
"""

import asyncio
import inspect
import os
import resource
import sys
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import orjson

Handler = Callable[
    [dict[str, Any]], Any
]  # takes the request's fields; returns JSON data or an awaitable of it
StartFunction = Callable[[dict[str, Any]], Awaitable[tuple[Any, Mapping[str, Handler]]]]

STDIN = 0
STDOUT = 1
READ_CHUNK_BYTES = 1 << 20


class ControlChannel:
    """Starts requests in the order of their arrival; one that waits does not hold up later ones."""

    def __init__(self, start: StartFunction) -> None:
        self.handlers: dict[str, Handler] = {"start": self._start}
        self.start_child = start
        self.received = bytearray()
        self.closed = asyncio.get_running_loop().create_future()
        self.tasks: set[asyncio.Task[None]] = set()
        os.set_blocking(STDIN, False)
        asyncio.get_running_loop().add_reader(STDIN, self._on_readable)

    async def _start(self, fields: dict[str, Any]) -> Any:
        answer, handlers = await self.start_child(fields)
        self.handlers.update(handlers)
        return answer

    def _on_readable(self) -> None:
        try:
            chunk = os.read(STDIN, READ_CHUNK_BYTES)
        except BlockingIOError:
            return
        if not chunk:
            asyncio.get_running_loop().remove_reader(STDIN)
            if not self.closed.done():
                self.closed.set_result(None)
            return
        self.received += chunk
        if b"\n" not in chunk:
            return
        *lines, rest = bytes(self.received).split(b"\n")
        self.received = bytearray(rest)
        for line in lines:
            task = asyncio.get_running_loop().create_task(self._handle_request(orjson.loads(line)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _handle_request(self, request: dict[str, Any]) -> None:
        number = request.pop("id")
        try:
            answer = self.handlers[request.pop("do")](request)
            if inspect.isawaitable(answer):
                answer = await answer
            reply = orjson.dumps({"id": number, "ok": answer}, option=orjson.OPT_NON_STR_KEYS)
        except Exception as error:  # reported to the run
            reply = orjson.dumps({"id": number, "error": f"{type(error).__name__}: {error}"})
        view = memoryview(reply + b"\n")
        while view:  # may block: the parent always reads
            view = view[os.write(STDOUT, view) :]


def serve(start: StartFunction) -> None:
    """Runs a child until its stdin ends. `start(config)` returns its answer and the other handlers."""
    import uvloop

    max_files = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (max_files, max_files))

    async def run() -> None:
        await ControlChannel(start).closed

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        try:
            runner.run(run())
        except KeyboardInterrupt:
            sys.exit(130)
    os._exit(0)  # skips closing thousands of sockets one by one
