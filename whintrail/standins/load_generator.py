"""Open-loop load generator: PostgreSQL clients on one event loop, and the outcomes of their queries."""

import asyncio
import socket
import struct
from collections import Counter
from random import Random
from time import perf_counter


def startup_message() -> bytes:
    """Return the start-up message of the PostgreSQL protocol, version 3.0."""
    body = struct.pack("!I", 3 << 16) + b"user\0app\0database\0dw\0\0"
    return struct.pack("!I", len(body) + 4) + body


class LoadClient:
    """A client that reuses one session."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.sock: socket.socket | None = None
        self.chunk = bytearray(65_536)

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self.sock = socket.socket()
        self.sock.setblocking(False)
        await loop.sock_connect(self.sock, ("127.0.0.1", self.port))
        await loop.sock_sendall(self.sock, startup_message())
        await self._read_until_ready()

    async def _read_until_ready(self) -> bytes:
        """Return all messages up to ReadyForQuery."""
        loop, data = asyncio.get_running_loop(), bytearray()
        assert self.sock is not None
        while True:
            count = await loop.sock_recv_into(self.sock, self.chunk)
            if not count:
                raise ConnectionError("the gateway closed")
            data += memoryview(self.chunk)[:count]
            if data[-6:-1] == b"Z\0\0\0\5":
                return bytes(data)

    async def run_query(self, text: str) -> str:
        """Run a query and return `served` or the SQLSTATE."""
        loop = asyncio.get_running_loop()
        if self.sock is None:
            await self.open()
        assert self.sock is not None
        body = text.encode() + b"\0"
        await loop.sock_sendall(self.sock, b"Q" + struct.pack("!I", len(body) + 4) + body)
        data = await self._read_until_ready()
        if (at := data.find(b"SERROR\0")) >= 0:
            at = data.index(b"C", at + 7)
            return data[at + 1 : at + 6].decode()
        return "served"

    def close(self) -> None:
        if self.sock is not None:
            self.sock.close()
            self.sock = None


class LoadGenerator:
    """Sends queries at Poisson arrivals of `rate` a second; `mix` holds (class, cost in ms, weight)."""

    def __init__(self, port: int, rate: float, mix: list[tuple[str, float, float]], seed: int = 1) -> None:
        self.port, self.rate, self.mix = port, rate, mix
        self.random = Random(seed)
        self.idle_clients: list[LoadClient] = []
        self.outcomes: Counter[str] = Counter()
        self.latencies_s: list[float] = []
        self.queries_sent = 0
        self.pending_tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float, ttl_ms: int = 6000) -> None:
        start = due = perf_counter()
        while due < start + seconds:
            due += self.random.expovariate(self.rate)
            if (wait := due - perf_counter()) > 0.0005:
                await asyncio.sleep(wait)
            task = asyncio.get_running_loop().create_task(self._send_query(ttl_ms))
            self.pending_tasks.add(task)
            task.add_done_callback(self.pending_tasks.discard)
        if self.pending_tasks:
            await asyncio.wait(self.pending_tasks, timeout=ttl_ms / 1000 + 1)

    async def _send_query(self, ttl_ms: int) -> None:
        name, cost, _ = self.random.choices(self.mix, [weight for *_, weight in self.mix])[0]
        self.queries_sent += 1
        call = f"{self.random.getrandbits(64):016x}"
        client = self.idle_clients.pop() if self.idle_clients else LoadClient(self.port)
        started = perf_counter()
        try:
            outcome = await client.run_query(
                f"/* op={name},call={call},ttl={ttl_ms},work={cost:.1f},memory=8 */"
                f" SELECT 1 FROM sales_{self.random.randrange(50)}.t -- cost={cost}"
            )
            self.idle_clients.append(client)
        except OSError:
            client.close()
            outcome = "lost"
        self.outcomes[outcome] += 1
        if outcome == "served":
            self.latencies_s.append(perf_counter() - started)

    def close(self) -> None:
        for client in self.idle_clients:
            client.close()
        self.idle_clients.clear()


async def wait_until_serving(port: int, max_tries: int = 200) -> bool:
    """Connect until the gateway completes a startup; return False if it never does."""
    for _ in range(max_tries):
        client = LoadClient(port)
        try:
            await client.open()
            return True
        except OSError:
            await asyncio.sleep(0.05)
        finally:
            client.close()
    return False
