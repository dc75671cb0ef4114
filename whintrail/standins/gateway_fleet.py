"""Gateway processes of one fleet, with a fault-injecting relay between them that every datagram passes.

Each gateway knows the others by addresses of the relay, which can drop, delay, duplicate and count datagrams
and partition the fleet, in one direction or both. Loopback only; the relay runs on its own thread, and every
wait is bounded.
"""

import heapq
import json
import selectors
import socket
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from random import Random
from typing import Any

from whintrail.standins.scripted import Bulletin, Client, Engine, Gateway, listener, settings, wait_for

OperatorFile = Callable[[int, str], dict[str, Any]]  # content by number and build
Fault = Callable[[int, int, Random], list[float]]  # sender, receiver, random: delay of each copy in seconds


def deliver_once(origin: int, target: int, random: Random) -> list[float]:
    """Return the delays of a network without faults: one copy, at once."""
    return [0.0]


def lossy(loss_share: float, max_delay_s: float = 0.0, duplicate_share: float = 0.0) -> Fault:
    """Drop and duplicate shares of the datagrams; random delays reorder the rest."""

    def fault(origin: int, target: int, random: Random) -> list[float]:
        if random.random() < loss_share:
            return []
        return [random.random() * max_delay_s for _ in range(1 + (random.random() < duplicate_share))]

    return fault


def partition(*groups: set[int]) -> Fault:
    """Deliver datagrams only within a group."""

    def fault(origin: int, target: int, random: Random) -> list[float]:
        return [0.0] if any(origin in group and target in group for group in groups) else []

    return fault


def datagram_socket() -> socket.socket:
    """Return a non-blocking UDP socket on a free loopback port."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.setblocking(False)
    return sock


class Relay:
    """Forwards datagrams between gateways: one socket in place of each gateway, one for broadcasts."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.random = Random(seed)
        self.fault: Fault = deliver_once
        self.front_sockets = [datagram_socket() for _ in range(count)]  # known to the other gateways
        self.broadcast_socket = datagram_socket()
        self.gateway_addresses: list[tuple[str, int]] = []  # where the gateways listen
        for _ in range(count):
            with datagram_socket() as free:
                self.gateway_addresses.append(free.getsockname())
        self.delivered: Counter[tuple[int, int]] = Counter()
        self.delivered_bytes = 0
        self.queue: list[tuple[float, int, int, int, bytes]] = []
        self.copies_scheduled, self.stop_event = 0, threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    @staticmethod
    def address_of(sock: socket.socket) -> str:
        host, port = sock.getsockname()
        return f"{host}:{port}"

    def _run(self) -> None:
        with selectors.DefaultSelector() as selector:
            for target, sock in enumerate(self.front_sockets):
                selector.register(sock, selectors.EVENT_READ, target)
            selector.register(self.broadcast_socket, selectors.EVENT_READ, None)
            while not self.stop_event.is_set():
                for key, _ in selector.select(0.002 if self.queue else 0.02):
                    with suppress(BlockingIOError, ConnectionRefusedError):
                        data, sender = key.fileobj.recvfrom(2048)  # type: ignore[union-attr]
                        if sender in self.gateway_addresses:
                            self._schedule(self.gateway_addresses.index(sender), key.data, data)
                while self.queue and self.queue[0][0] <= time.monotonic():
                    self._deliver(*heapq.heappop(self.queue)[2:])

    def _schedule(self, origin: int, target: int | None, data: bytes) -> None:
        targets = (
            [n for n in range(len(self.gateway_addresses)) if n != origin] if target is None else [target]
        )
        for receiver in targets:
            for delay in self.fault(origin, receiver, self.random):
                self.copies_scheduled += 1
                heapq.heappush(
                    self.queue, (time.monotonic() + delay, self.copies_scheduled, origin, receiver, data)
                )

    def _deliver(self, origin: int, target: int, data: bytes) -> None:
        with suppress(OSError):  # the receiver may be down
            self.front_sockets[origin].sendto(data, self.gateway_addresses[target])
            self.delivered[origin, target] += 1
            self.delivered_bytes += len(data)

    def close(self) -> None:
        self.stop_event.set()
        self.thread.join(5)
        for sock in (*self.front_sockets, self.broadcast_socket):
            sock.close()


class GatewayFleet:
    """Gateway processes with their engines, their bulletin and the relay between them."""

    def __init__(
        self,
        folder: Path,
        count: int,
        engines: list[Engine],
        operator: OperatorFile | None = None,
        zones: int = 1,
        **limits: Any,
    ) -> None:
        """`operator` returns the content of a gateway's operator file by its number and build."""
        self.operator, self.zones = operator, [f"z{number + 1}" for number in range(zones)]
        self.engines, self.bulletin, self.relay = engines, Bulletin(), Relay(count)
        self.bulletin.publish(*(engine.entry() for engine in engines), reset=True)
        self.folder, self.limits = folder, limits
        self.bulletin_overrides: dict[int, Bulletin] = {}  # by gateway; takes effect at its next start
        self.ports: list[int] = []
        for _ in range(count):
            with listener() as free:
                self.ports.append(free.getsockname()[1])
        self.gateways = [self.start(number) for number in range(count)]
        for number in range(count):
            wait_for(lambda number=number: self.is_ready(number))  # type: ignore[misc]

    def start(self, number: int, build: str = "") -> Gateway:
        """Start a gateway without state under its name and addresses."""
        address, relay = self.relay.gateway_addresses[number], self.relay
        bulletin = self.bulletin_overrides.get(number, self.bulletin)
        base_settings = settings(MayTell=True, **self.limits)
        config = {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{self.ports[number]}",
            "seed": f"{number + 1:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "peer_listen": f"{address[0]}:{address[1]}",
            "peers": [relay.address_of(sock) for sock in relay.front_sockets],
            "peers_all": relay.address_of(relay.broadcast_socket),
            "bulletin": bulletin.address,
            "known": {"no": len(bulletin.events), "items": list(bulletin.events)},
            "settings": {
                **base_settings,
                "FleetSize": len(self.ports),
                "Me": number,
                "Zones": self.zones,
                "Zone": self.zones[number % len(self.zones)],
            },
        }
        folder = self.folder / f"n{number}"
        folder.mkdir(exist_ok=True)
        environment = {}
        if self.operator is not None:
            file = folder / "operator.jsonnet"
            file.write_text(json.dumps(self.operator(number, build)))
            environment["WHINTRAIL_FILE"] = str(file)
        return Gateway(config, folder, **environment)

    def is_ready(self, number: int) -> bool:
        assert self.gateways[number].process.poll() is None, self.gateways[number].log_text()
        try:
            client = Client(self.ports[number])
        except OSError:
            return False
        answer = client.ask("")
        client.close()
        return answer.empty

    def client(self, number: int) -> Client:
        return Client(self.ports[number])

    def close(self) -> None:
        for gateway in self.gateways:
            gateway.kill()
        self.relay.close()
        for server in (self.bulletin, *self.bulletin_overrides.values(), *self.engines):
            server.close()


@contextmanager
def fleet(count: int, *engines: Engine, **options: Any) -> Iterator[GatewayFleet]:
    """Run a fleet of gateways for the length of a `with` block."""
    with tempfile.TemporaryDirectory() as folder:
        gateways = GatewayFleet(Path(folder), count, list(engines) or [Engine()], **options)
        try:
            yield gateways
        finally:
            gateways.close()
