"""Datagrams between gateways: one socket, an address a gateway, nothing that lasts.

uvloop has no datagram calls (`sock_sendto` and `sock_recvfrom_into` raise NotImplementedError). This is their
nearest relative: the loop tells when the socket can be read, and what can't be sent at once is lost, as any
datagram may be.
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

FLEET_DATAGRAM_MARK = (
    0xF5  # first byte of a datagram of the fleet's (`fleet/wire.py`); a memo begins otherwise
)


class PeerTransport:
    """Everything that reaches the owner came from an address on the list, and is no longer than allowed."""

    def __init__(
        self, config: Mapping[str, Any], limits: Limits, inbox: Inbox, counters: Counters, log: Log
    ) -> None:
        """ValueError where the addresses can't be used."""
        self.limits, self.inbox, self.counters, self.log = limits, inbox, counters, log
        self.listen_address = parse_address(config["peer_listen"])
        self.addresses = [parse_address(text) for text in get_or_default(config, "peers", [])]
        self.gateway_numbers = {where: number for number, where in enumerate(self.addresses)}
        everyone = config.get("peers_all")
        self.broadcast_address = parse_address(everyone) if everyone else None
        self.buffer = bytearray(MAX_DATAGRAM_BYTES + 1)  # one more shows what is too long
        self.sock: socket.socket | None = None
        self.on_fleet_datagram: Callable[[int, bytes], None] | None = (
            None  # who takes what is marked as the fleet's
        )

    def open(self) -> None:
        """Without the socket the gateway serves all the same: it then knows what it finds out itself."""
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
        """To one gateway, or to all where one address stands for all."""
        where = self.broadcast_address
        if target is not None:
            where = self.addresses[target] if 0 <= target < len(self.addresses) else None
        if target is None and where is None and self.on_fleet_datagram is not None:
            for number in range(len(self.addresses)):  # no address stands for all
                self.send(number, payload)
            return
        if self.sock is None or where is None or len(payload) > MAX_DATAGRAM_BYTES:
            self.counters.add("peers", "not_sent")
            return
        try:
            self.sock.sendto(payload, where)
            self.counters.add("peers", "sent")
        except OSError:  # a full buffer too
            self.counters.add("peers", "not_sent")

    def _on_readable(self) -> None:
        """So many a turn: a flood must not hold up clients and engines."""
        assert self.sock is not None
        for _ in range(self.limits.datagrams_per_turn):
            try:
                count, where = self.sock.recvfrom_into(self.buffer)
            except OSError:  # nothing more, or the answer of a host that lives to one that does not
                return
            origin = self.gateway_numbers.get(where)
            if origin is None or count > MAX_DATAGRAM_BYTES:
                self.counters.add("peers", "strange")
                continue
            self.counters.add("peers", "heard")
            if self.on_fleet_datagram is not None and count and self.buffer[0] == FLEET_DATAGRAM_MARK:
                self.on_fleet_datagram(origin, bytes(memoryview(self.buffer)[:count]))
                continue
            self.inbox.put(PeerDatagram(origin, bytes(memoryview(self.buffer)[:count])))

    def close(self) -> None:
        if self.sock is not None:
            asyncio.get_running_loop().remove_reader(self.sock.fileno())
            self.sock.close()
            self.sock = None
