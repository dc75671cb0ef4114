"""A TCP connection with one receive buffer and one writer task."""

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from ipaddress import IPv4Address

from whintrail.gateway.buffer import Buffer

# tcpi_last_data_recv of Linux's tcp_info: milliseconds since data last came in.
TCP_INFO_LAST_DATA_MS = struct.Struct("=52xI")
# States in the first byte of tcp_info after the peer has reset or closed, even with bytes unread: TCP_CLOSE
# and TCP_CLOSE_WAIT of Linux's tcp_states.h.
CLOSED_TCP_STATES = b"\x07\x08"
RECEIVE_SENTINEL = 0xFF  # no message of a client or an engine starts with this byte


def create_tcp_socket() -> socket.socket:
    """A non-blocking IPv4 TCP socket. Errors: OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    return sock


def configure_socket(sock: socket.socket) -> None:
    """Make a connected socket non-blocking, and send small messages without delay."""
    sock.setblocking(False)
    with suppress(OSError):  # the peer may have closed already
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def parse_address(text: str) -> tuple[str, int]:
    """Parse `host:port`; only an IPv4 address is valid, as names would need a lookup. Errors: ValueError."""
    host, _, port = text.rpartition(":")
    if not 0 < int(port) < 65_536:
        raise ValueError(f"no valid port: {text!r}")
    return str(IPv4Address(host)), int(port)


class Connection:
    """Reads into one buffer and writes through one task.

    The holder of the connection calls `receive` or `discard`. The writer task sends written bytes in order.
    """

    def __init__(
        self, sock: socket.socket, buffer: Buffer, on_all_sent: Callable[[], None] | None = None
    ) -> None:
        self.sock, self.buffer, self.on_all_sent = sock, buffer, on_all_sent
        self.loop = asyncio.get_running_loop()
        self._unsent = bytearray()
        self._receive_view: memoryview | None = None  # target of the receive in progress
        self._writing = self._closed = False
        # Since when the kernel accepts no more bytes, because the peer does not read.
        self.blocked_since: float | None = None
        self._wakeup: asyncio.Future[None] | None = None  # set while the writer has nothing to send
        self._writer_task: asyncio.Task[None] | None = None

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the writer task has not taken yet."""
        return len(self._unsent)

    @property
    def all_sent(self) -> bool:
        """Whether nothing is waiting to be written."""
        return not self._writing

    def write(self, data: bytes | bytearray) -> None:
        """Queue bytes to be sent; ignored after `close`."""
        if self._closed:
            return
        self._unsent += data
        self._writing = True
        if self._wakeup is not None:
            self._wakeup.set_result(None)
            self._wakeup = None
        elif self._writer_task is None:
            self._writer_task = self.loop.create_task(self._write_all())

    async def _write_all(self) -> None:
        while True:
            while self._unsent:
                data, self._unsent = self._unsent, bytearray()
                self.blocked_since = self.loop.time()  # visible to other tasks only if the call has to wait
                try:
                    await self.loop.sock_sendall(self.sock, data)
                    self.blocked_since = None
                except OSError:
                    self._unsent.clear()
                    with suppress(OSError):
                        self.sock.shutdown(socket.SHUT_RDWR)  # ends the reader as well
                    return
            self._writing = False
            if self.on_all_sent is not None:
                self.on_all_sent()
            if not self._unsent:
                self._wakeup = self.loop.create_future()
                await self._wakeup

    async def receive(self) -> bool:
        """Wait for bytes; returns False once the peer has closed or reset the connection."""
        self._receive_view = view = self.buffer.receive_space()
        view[0] = RECEIVE_SENTINEL
        try:
            count = await self.loop.sock_recv_into(self.sock, view)
        except OSError:
            return False
        finally:
            self._receive_view = None
        self.buffer.commit(count)
        return count > 0

    def has_unprocessed_receive(self) -> bool:
        """Whether the event loop has received bytes that the reader task has not processed yet.

        These bytes are neither in the kernel nor counted by the buffer, so a close must check for them too.
        """
        return self._receive_view is not None and self._receive_view[0] != RECEIVE_SENTINEL

    async def discard(self, scratch: bytearray) -> bool:
        """Like `receive`, but discards the bytes; `scratch` may be shared by many connections."""
        self.buffer.clear()
        try:
            return await self.loop.sock_recv_into(self.sock, scratch) > 0
        except OSError:
            return False

    def since_last_data_us(self) -> int:
        """Time since the kernel received the last bytes; 0 if the kernel doesn't tell."""
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LAST_DATA_MS.size)
        except OSError:
            return 0
        return (
            int(TCP_INFO_LAST_DATA_MS.unpack(info)[0]) * 1000
            if len(info) == TCP_INFO_LAST_DATA_MS.size
            else 0
        )

    def has_unread_bytes(self) -> bool:
        """Whether the kernel holds unread bytes."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def peer_closed(self) -> bool:
        """Whether the peer has closed or reset the connection, even if unread bytes precede the end.

        A peer that closes without reading all of our bytes resets the connection; no end of stream follows.
        """
        try:
            if not self.sock.recv(1, socket.MSG_PEEK):
                return True
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return bool(info) and info[0] in CLOSED_TCP_STATES

    def shutdown_write(self) -> None:
        """Shut down the write side: the peer sees the end of stream after the last byte."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    async def close(self) -> None:
        """Close the connection and release its memory and all reference cycles.

        Thousands of sessions come and go, and a full garbage collection would pause the gateway for long, so
        closed connections must be freed without one.
        """
        writer, self._writer_task, self.on_all_sent, self._closed = self._writer_task, None, None, True
        if writer is not None:
            self._wakeup = None
            writer.cancel()
            with suppress(asyncio.CancelledError):
                await writer
        self.sock.close()
        self.buffer.release()
        self._unsent = bytearray()
