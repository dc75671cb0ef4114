"""Clients of real gateways: open-loop load, closed-loop load, idle sessions and empty queries.

A module for `control.serve`, so that clients use another core than the gateways.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from random import Random
from typing import Any

import psutil  # type: ignore[import-untyped]

from whintrail.scale.control import Handler, serve
from whintrail.scale.measure import Delays
from whintrail.standins.load_generator import LoadClient, LoadGenerator, wait_until_serving
from whintrail.standins.scripted import settings

DEFAULT_MIX = [["lookup", 5.0, 1.0]]  # class, milliseconds on one core, weight
IDLE_SESSION_BUFFER_BYTES = 512
PING_RETRY_S = 0.05


def gateway_config(
    number: int,
    listen: str,
    bulletin: str,
    known: Mapping[str, Any],
    fleet_size: int = 1,
    zones: int = 1,
    sockets: int = 1024,
    memory_mb: int = 192,
    peers: Mapping[str, Any] | None = None,
    **limits: Any,
) -> dict[str, Any]:
    """The configuration of a real gateway on loopback with hollow servers.

    `peers`: peer_listen, peers and, where one broadcast address reaches all, peers_all."""
    common = settings(MayTell=peers is not None, **limits)
    names = [f"z{zone + 1}" for zone in range(zones)]
    own = {"FleetSize": fleet_size, "Me": number, "Zones": names, "Zone": names[number % zones]}
    return {
        "name": f"n{number}",
        "listen": listen,
        "seed": f"{number + 1:016x}",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "bulletin": bulletin,
        "known": known,
        "settings": {**common, **own},
        **(peers or {}),
    }


def count_connections(pid: int, ports: set[int]) -> int:
    """Open TCP connections of a process to these remote ports."""
    connections = psutil.Process(pid).net_connections("tcp4")
    return sum(bool(c.raddr) and c.raddr.port in ports and c.status == "ESTABLISHED" for c in connections)


class LoadClients:
    """The clients of one process, by the requests of the control channel."""

    def __init__(self, config: Mapping[str, Any]) -> None:
        self.random = Random(int(config.get("seed", 1)))
        self.idle_sessions: list[LoadClient] = []
        self.ping_tasks: list[asyncio.Task[None]] = []
        self.ping_delays, self.longest_delay_s, self.lost_count = Delays(), 0.0, 0
        self.waiting_since: dict[int, float] = {}  # by port: when the unanswered ping was sent

    async def run_load(self, fields: Mapping[str, Any]) -> dict[str, Any]:
        """Sends `rate` queries a second (Poisson) to each of `ports` for `seconds`.

        Answers the counts of outcomes (`served`, an SQLSTATE, `lost`) and the histogram of served queries."""
        mix = [
            (str(name), float(cost), float(weight)) for name, cost, weight in fields.get("mix", DEFAULT_MIX)
        ]
        loads = [
            LoadGenerator(port, float(fields["rate"]), mix, self.random.getrandbits(32))
            for port in fields["ports"]
        ]
        started = time.monotonic()
        await asyncio.gather(*(load.run(float(fields["seconds"])) for load in loads))
        ends: Counter[str] = Counter()
        delays = Delays()
        for load in loads:
            ends += load.outcomes
            for delay in load.latencies_s:
                delays.add(delay)
            load.close()
        asked, took_s = sum(load.queries_sent for load in loads), time.monotonic() - started
        return {"ends": dict(ends), "asked": asked, "took_s": took_s, "delays": delays.encode()}

    async def run_closed_loop(self, fields: Mapping[str, Any]) -> dict[str, Any]:
        """Measures the throughput of the gateway at `port`: for `seconds`, each of `sessions` sends its next
        query, of `cost_ms`, as soon as the last one is answered."""
        ends: Counter[str] = Counter()
        delays, end_at = Delays(), time.monotonic() + float(fields["seconds"])

        async def run_session() -> None:
            client = LoadClient(int(fields["port"]))
            try:
                while (now := time.monotonic()) < end_at:
                    end = await client.run_query(self._build_query(float(fields.get("cost_ms", 1.0))))
                    ends[end] += 1
                    if end == "served":
                        delays.add(time.monotonic() - now)
            except OSError:
                ends["lost"] += 1
            finally:
                client.close()

        started = time.monotonic()
        await asyncio.gather(*(run_session() for _ in range(int(fields["sessions"]))))
        return {"ends": dict(ends), "took_s": time.monotonic() - started, "delays": delays.encode()}

    def _build_query(self, cost_ms: float) -> str:
        call, group = f"{self.random.getrandbits(64):016x}", self.random.randrange(50)
        fields = f"op=lookup,call={call},ttl=6000,work={cost_ms:.1f},memory=8"
        return f"/* {fields} */ SELECT 1 FROM sales_{group}.t -- cost={cost_ms}"

    async def hold_sessions(self, fields: Mapping[str, Any]) -> int:
        """Opens `sessions` more at `port` and leaves them idle; returns how many are held in all."""
        for _ in range(int(fields["sessions"])):
            client = LoadClient(int(fields["port"]))
            client.chunk = bytearray(IDLE_SESSION_BUFFER_BYTES)
            await client.open()
            self.idle_sessions.append(client)
        return len(self.idle_sessions)

    def release_sessions(self, _: Mapping[str, Any]) -> None:
        while self.idle_sessions:
            self.idle_sessions.pop().close()

    def start_pings(self, fields: Mapping[str, Any]) -> None:
        """From now on sends an empty query every `every_s` to each of `ports`, on a session of its own.

        The delays show how long the gateway's event loop stalls. A late answer postpones the next query and
        counts once."""
        for task in self.ping_tasks:
            task.cancel()
        interval_s = float(fields.get("every_s", 0.01))
        loop = asyncio.get_running_loop()
        self.ping_tasks = [loop.create_task(self._run_pings(port, interval_s)) for port in fields["ports"]]
        self.take_stalls({})

    async def _run_pings(self, port: int, interval_s: float) -> None:
        client = LoadClient(port)
        try:
            while True:
                started = self.waiting_since[port] = time.monotonic()
                try:
                    await client.run_query("")
                except OSError:  # the gateway is down, or closed this session to make room for another
                    self.lost_count += 1
                    client.close()
                    await asyncio.sleep(PING_RETRY_S)
                    continue
                delay_s = time.monotonic() - started
                self.ping_delays.add(delay_s)
                self.longest_delay_s = max(self.longest_delay_s, delay_s)
                del self.waiting_since[port]
                await asyncio.sleep(max(0.0, interval_s - delay_s))
        finally:
            self.waiting_since.pop(port, None)
            client.close()

    def take_stalls(self, _: Mapping[str, Any]) -> dict[str, Any]:
        """Since the last call: the longest delay of an empty query in seconds, including one that is still
        unanswered, the histogram of all answers, and how many were lost."""
        now = time.monotonic()
        self.longest_delay_s = max(
            [self.longest_delay_s, *(now - since for since in self.waiting_since.values())]
        )
        stalls = {
            "longest_s": self.longest_delay_s,
            "delays": self.ping_delays.encode(),
            "lost": self.lost_count,
        }
        self.ping_delays, self.longest_delay_s, self.lost_count = Delays(), 0.0, 0
        return stalls

    async def wait_until_serving(self, fields: Mapping[str, Any]) -> list[bool]:
        """Whether each of `ports` answers a start-up message within `tries` tries, 50 ms apart."""
        ports: Sequence[int] = fields["ports"]
        return await asyncio.gather(
            *(wait_until_serving(port, int(fields.get("tries", 200))) for port in ports)
        )

    def handlers(self) -> dict[str, Handler]:
        """By the words of the control channel."""
        return {
            "load": self.run_load,
            "most": self.run_closed_loop,
            "hold": self.hold_sessions,
            "release": self.release_sessions,
            "ping": self.start_pings,
            "stalls": self.take_stalls,
            "serves": self.wait_until_serving,
        }


async def start(config: dict[str, Any]) -> tuple[Any, Mapping[str, Handler]]:
    """Takes `seed`; answers nothing."""
    return None, LoadClients(config).handlers()


if __name__ == "__main__":
    serve(start)
