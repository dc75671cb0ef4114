"""One connection: one buffer in, one writer out."""

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from ipaddress import IPv4Address

from whintrail.gateway.buffer import Buffer

TCP_INFO_LAST_DATA_MS = struct.Struct("=52xI")  # in Linux's tcp_info: milliseconds since data last came in
# The first byte of tcp_info where the other side has reset or closed, whatever of it is still unread:
# TCP_CLOSE and TCP_CLOSE_WAIT of Linux's tcp_states.h.
CLOSED_TCP_STATES = b"\x07\x08"
RECEIVE_SENTINEL = 0xFF  # no message of a client or an engine begins with it


def create_tcp_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    return sock


def configure_socket(sock: socket.socket) -> None:
    sock.setblocking(False)
    with suppress(OSError):  # the other side may be gone already
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def parse_address(text: str) -> tuple[str, int]:
    """host:port as an address; a host that is no IPv4 address would have to be looked up."""
    host, _, port = text.rpartition(":")
    if not 0 < int(port) < 65_536:
        raise ValueError(f"no port: {text!r}")
    return str(IPv4Address(host)), int(port)


class Connection:
    """Whoever holds it reads; what is written goes out in order through a single task."""

    def __init__(
        self, sock: socket.socket, buffer: Buffer, on_all_sent: Callable[[], None] | None = None
    ) -> None:
        self.sock, self.buffer, self.on_all_sent = sock, buffer, on_all_sent
        self.loop = asyncio.get_running_loop()
        self._unsent = bytearray()
        self._receive_view: memoryview | None = None  # where the receive under way puts its bytes
        self._writing = self._closed = False
        self.blocked_since: float | None = None  # the kernel takes no more: the other side does not read
        self._wakeup: asyncio.Future[None] | None = None  # set while the writer waits
        self._writer_task: asyncio.Task[None] | None = None

    @property
    def unsent_bytes(self) -> int:
        return len(self._unsent)

    @property
    def all_sent(self) -> bool:
        """Nothing waits to be written."""
        return not self._writing

    def write(self, data: bytes | bytearray) -> None:
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
                self.blocked_since = self.loop.time()  # seen by others only if the call has to wait
                try:
                    await self.loop.sock_sendall(self.sock, data)
                    self.blocked_since = None
                except OSError:
                    self._unsent.clear()
                    with suppress(OSError):
                        self.sock.shutdown(socket.SHUT_RDWR)  # the reader sees the end
                    return
            self._writing = False
            if self.on_all_sent is not None:
                self.on_all_sent()
            if not self._unsent:
                self._wakeup = self.loop.create_future()
                await self._wakeup

    async def receive(self) -> bool:
        """Wait for bytes; False once the other side has ended or broken the connection."""
        self._receive_view = into = self.buffer.receive_space()
        into[0] = RECEIVE_SENTINEL
        try:
            count = await self.loop.sock_recv_into(self.sock, into)
        except OSError:
            return False
        finally:
            self._receive_view = None
        self.buffer.commit(count)
        return count > 0

    def has_unprocessed_receive(self) -> bool:
        """Whether the loop has read bytes that the reader has not had its turn to see: the kernel holds them
        no more, the buffer counts them not yet. A close that looks at those two alone loses them."""
        return self._receive_view is not None and self._receive_view[0] != RECEIVE_SENTINEL

    async def discard(self, scratch: bytearray) -> bool:
        """As `receive`, but nobody wants the bytes; `waste` may serve many connections."""
        self.buffer.clear()
        try:
            return await self.loop.sock_recv_into(self.sock, scratch) > 0
        except OSError:
            return False

    def since_last_data_us(self) -> int:
        """How long ago the last bytes reached this machine, as far as its kernel tells."""
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
        """Whether bytes wait in the kernel."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def peer_closed(self) -> bool:
        """Whether the other side has ended the connection, also where bytes that nobody has read hide it.

        They come first, and one that closes with some of ours unread resets, after which no end waits."""
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
        """No more is written: the other side sees the end after the last byte."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    async def close(self) -> None:
        """Leave nothing that holds memory, nor a circle of references: sessions come by the thousand, and a
        collection of all that the program holds would stop it for long, so that none is waited for."""
        writer, self._writer_task, self.on_all_sent, self._closed = self._writer_task, None, None, True
        if writer is not None:
            self._wakeup = None
            writer.cancel()
            with suppress(asyncio.CancelledError):
                await writer
        self.sock.close()
        self.buffer.release()
        self._unsent = bytearray()
