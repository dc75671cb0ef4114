"""A Unix socket server that answers one JSON line with JSON lines, and its client.

Sizes are checked before memory is allocated. A client that does not read delays no other one: it is
disconnected once a write has made no progress for WRITE_TIMEOUT_S.
"""

import asyncio
import os
import socket
from collections.abc import Iterator
from contextlib import suppress
from typing import Any, Protocol

import msgspec

MAX_REQUEST_BYTES = 4096
MAX_CLIENTS = 32
WRITE_TIMEOUT_S = 5.0
READ_TIMEOUT_S = 5.0
encode_json = msgspec.json.encode


class CounterSink(Protocol):
    def add(self, group: str, name: str, count: int = 1) -> None: ...


class LineServer:
    """Base of the control sockets: a subclass implements `handle_request`.

    Errors of the constructor: OSError if the socket can't be opened.
    """

    request_type: type[Any] = dict
    counter_group = "control"
    max_request_bytes = MAX_REQUEST_BYTES

    def __init__(self, path: str, counters: CounterSink) -> None:
        self.counters = counters
        self.client_tasks: set[asyncio.Task[None]] = set()
        with suppress(FileNotFoundError):
            os.unlink(path)  # left behind by a gateway that was killed
        self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.listener.setblocking(False)
        try:
            previous_umask = os.umask(0o177)  # only the gateway's own user may connect
            try:
                self.listener.bind(path)
            finally:
                os.umask(previous_umask)
            self.listener.listen(16)
        except OSError:
            self.listener.close()
            raise

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.listener)
            sock.setblocking(False)
            if len(self.client_tasks) >= MAX_CLIENTS:
                self.counters.add(self.counter_group, "views_refused")
                sock.close()
                continue
            task = loop.create_task(self._serve_client(sock))
            self.client_tasks.add(task)
            task.add_done_callback(self.client_tasks.discard)

    async def _serve_client(self, sock: socket.socket) -> None:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                request = await self._read_request(sock)
            await self.handle_request(sock, request)
        except msgspec.MsgspecError as error:
            with suppress(OSError, TimeoutError):
                await self.write(sock, encode_json({"error": str(error)}) + b"\n")
        except (OSError, TimeoutError):
            self.counters.add(self.counter_group, "views_broken")
        finally:
            sock.close()

    async def _read_request(self, sock: socket.socket) -> Any:
        loop, data, chunk = asyncio.get_running_loop(), bytearray(), bytearray(1024)
        while b"\n" not in data:
            if len(data) > self.max_request_bytes:
                raise msgspec.ValidationError(f"a request of more than {self.max_request_bytes} bytes")
            count = await loop.sock_recv_into(sock, chunk)
            if not count:
                raise ConnectionError("no request")
            data += memoryview(chunk)[:count]
        return msgspec.json.decode(bytes(data).partition(b"\n")[0], type=self.request_type)

    @staticmethod
    async def write(sock: socket.socket, data: bytes) -> None:
        """Send all data. Cancellation may leave a partial line behind, so every caller closes the socket
        then."""
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await asyncio.get_running_loop().sock_sendall(sock, data)

    async def handle_request(self, sock: socket.socket, request: Any) -> None:
        raise NotImplementedError

    @staticmethod
    async def wait_closed(sock: socket.socket) -> None:
        """Returns once the client has closed the connection."""
        chunk = bytearray(64)
        with suppress(OSError):
            while await asyncio.get_running_loop().sock_recv_into(sock, chunk):
                pass

    def close(self) -> None:
        self.listener.close()
        for task in list(self.client_tasks):
            task.cancel()


class ControlError(Exception):
    """The gateway answered with an error or could not be reached. The text is one line."""


def send_request(
    path: str, request: dict[str, Any], timeout_s: float | None = 10.0
) -> Iterator[dict[str, Any]]:
    """The rows with which a running gateway answers. Errors: ControlError."""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(timeout_s)
        try:
            sock.connect(path)
            sock.sendall(encode_json(request) + b"\n")
            with sock.makefile("rb") as file:
                for line in file:
                    row = msgspec.json.decode(line)
                    if "error" in row:
                        raise ControlError(row["error"])
                    yield row
        except OSError as error:
            raise ControlError(f"{path}: {error}") from error
