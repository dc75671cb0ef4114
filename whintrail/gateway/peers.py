"""Datagrams between gateways: one UDP socket, and one address per gateway.

uvloop has no datagram calls (`sock_sendto` and `sock_recvfrom_into` raise NotImplementedError). Instead the
loop signals when the socket is readable, and a datagram that can't be sent at once is dropped, as any may be.
"""

import asyncio
import socket
from collections.abc import Callable, Mapping
from typing import Any

from whintrail.fleet.probe_reports import MAX_DATAGRAM_BYTES
from whintrail.gateway.connection import parse_address
from whintrail.gateway.counters import Counters
from whintrail.gateway.dispatcher import Inbox, PeerDatagram
from whintrail.gateway.limits import Limits
from whintrail.gateway.log import Log
from whintrail.settings import get_or_default

# First byte of the fleet's datagrams (`fleet/wire.py`); probe reports start with another one.
FLEET_DATAGRAM_MARK = 0xF5


class PeerTransport:
    """Sends and receives datagrams; those from unknown addresses, or too long ones, are dropped."""

    def __init__(
        self, config: Mapping[str, Any], limits: Limits, inbox: Inbox, counters: Counters, log: Log
    ) -> None:
        """Errors: ValueError for invalid addresses."""
        self.limits, self.inbox, self.counters, self.log = limits, inbox, counters, log
        self.listen_address = parse_address(config["peer_listen"])
        self.addresses = [parse_address(text) for text in get_or_default(config, "peers", [])]
        self.gateway_numbers = {address: number for number, address in enumerate(self.addresses)}
        broadcast = config.get("peers_all")
        self.broadcast_address = parse_address(broadcast) if broadcast else None
        self.buffer = bytearray(MAX_DATAGRAM_BYTES + 1)  # with room to detect datagrams that are too long
        self.sock: socket.socket | None = None
        # Called with the datagrams that carry the fleet's mark, if a fleet is running.
        self.on_fleet_datagram: Callable[[int, bytes], None] | None = None

    def open(self) -> None:
        """Open the socket. If that fails, the gateway serves without reports of other gateways."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.bind(self.listen_address)
        except OSError as error:
            sock.close()
            self.log.line("peers", f"no talk among gateways: {error}")
            return
        self.sock = sock
        asyncio.get_running_loop().add_reader(sock.fileno(), self._on_readable)

    def send(self, target: int | None, payload: bytes) -> None:
        """Send to one gateway, or to all if `target` is None.

        Sending to all uses the broadcast address. Without one, a gateway with a fleet sends to each address.
        """
        address = self.broadcast_address
        if target is not None:
            address = self.addresses[target] if 0 <= target < len(self.addresses) else None
        if target is None and address is None and self.on_fleet_datagram is not None:
            for number in range(len(self.addresses)):
                self.send(number, payload)
            return
        if self.sock is None or address is None or len(payload) > MAX_DATAGRAM_BYTES:
            self.counters.add("peers", "not_sent")
            return
        try:
            self.sock.sendto(payload, address)
            self.counters.add("peers", "sent")
        except OSError:  # also if the send buffer is full
            self.counters.add("peers", "not_sent")

    def _on_readable(self) -> None:
        """Receive a limited number of datagrams, so that a flood doesn't delay clients and engines."""
        assert self.sock is not None
        for _ in range(self.limits.datagrams_per_turn):
            try:
                count, address = self.sock.recvfrom_into(self.buffer)
            except OSError:  # nothing more to read, or an ICMP error for a datagram sent before
                return
            origin = self.gateway_numbers.get(address)
            if origin is None or count > MAX_DATAGRAM_BYTES:
                self.counters.add("peers", "strange")
                continue
            self.counters.add("peers", "heard")
            if self.on_fleet_datagram is not None and count and self.buffer[0] == FLEET_DATAGRAM_MARK:
                self.on_fleet_datagram(origin, bytes(memoryview(self.buffer)[:count]))
                continue
            self.inbox.put(PeerDatagram(origin, bytes(memoryview(self.buffer)[:count])))

    def close(self) -> None:
        """Close the socket, if it is open."""
        if self.sock is not None:
            asyncio.get_running_loop().remove_reader(self.sock.fileno())
            self.sock.close()
            self.sock = None
