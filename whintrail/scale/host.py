"""A process of hollow gateways, for `control.serve`: starts, measures and stops them on request."""

import asyncio
import gc
import os
import resource
import time
from collections.abc import Mapping
from typing import Any

import msgspec
from msgspec import Struct

from whintrail.config import Fleet as FleetSettings
from whintrail.gateway.bulletin import BulletinClient
from whintrail.gateway.clock import Clock
from whintrail.gateway.connection import parse_address
from whintrail.gateway.counters import Counters
from whintrail.gateway.fleet import monotonic_us
from whintrail.gateway.limits import Limits
from whintrail.gateway.log import Log
from whintrail.scale.control import Handler, serve
from whintrail.scale.hollow import EngineListFanout, GatewayEvent, HollowGateway, Meter, SharedContext
from whintrail.scale.measure import LoopStallMonitor

LEAVE_DELAY_S = 0.1  # lets the last datagrams of a leaving gateway go out
STALL_CHECK_INTERVAL_S = 0.02  # a shorter one would itself add measurable load


class HostConfig(Struct, frozen=True, kw_only=True):
    """The configuration of one process of hollow gateways, as the run sends it with `start`."""

    numbers: list[int]  # of its gateways
    addresses: list[str]  # of all gateways of the fleet
    zones: list[str]  # of all gateways of the fleet
    config: dict[str, Any]  # of a gateway, without its number, zone and address
    fleet: FleetSettings
    queries_per_s: float
    memos: bool
    whole_at: int  # the generation that completes the list
    sockets: str = ""
    subset: int = 0
    spread_s: float = 1.0  # its gateways start one after another within this time


class Host:
    """The hollow gateways of one process, with what they share and their events for the run."""

    def __init__(self, config: HostConfig) -> None:
        self.config = config
        self.loop = asyncio.get_running_loop()
        self.gateways: dict[int, HollowGateway] = {}
        self.pending_events: list[GatewayEvent] = []
        self.meter = Meter()
        self.stalls = LoopStallMonitor(interval_s=STALL_CHECK_INTERVAL_S)
        self.engine_list = EngineListFanout(Clock(), self.gateways)
        self.log = Log("hollow", 5.0, 1.0)
        self.limits = Limits.read(config.config)
        # The bulletin client puts updates into the fanout as it would into a dispatcher's inbox.
        self.bulletin = BulletinClient(
            config.config,
            self.limits,
            self.engine_list,  # type: ignore[arg-type]
            Counters(),
            self.log,
        )
        process_line = self.meter.wrap("read", self.bulletin.process_line)
        setattr(self.bulletin, "process_line", process_line)  # noqa: B010
        addresses = [parse_address(text) for text in config.addresses]
        self.common = SharedContext(
            config=config.config,
            fleet=config.fleet,
            addresses=addresses,
            gateway_numbers={address: number for number, address in enumerate(addresses)},
            zones=tuple(dict.fromkeys(config.zones)),
            zone_of=config.zones.__getitem__,
            queries_per_s=config.queries_per_s,
            sends_probe_reports=config.memos,
            log=self.log,
            engine_list=self.engine_list,
            bulletin_last_received=lambda: self.bulletin.last_received_us,
            emit_event=self.emit_event,
            socket_folder=config.sockets,
            subset_size=config.subset,
        )

    def emit_event(self, kind: str, number: int, *details: Any, at_us: int | None = None) -> None:
        """`at_us`: microseconds of the monotonic clock; None: now."""
        self.pending_events.append((kind, number, monotonic_us() if at_us is None else at_us, *details))

    async def start_all(self) -> None:
        """Reads the whole engine list, then starts all gateways."""
        self.bulletin_task = self.loop.create_task(self.bulletin.run())
        while self.engine_list.generation < self.config.whole_at:
            await asyncio.sleep(0.005)
        await self._start_gateways(self.config.numbers, self.config.spread_s)
        gc.collect()
        gc.freeze()
        gc.set_threshold(*self.limits.gc_thresholds)  # as the program does

    async def _start_gateways(self, numbers: list[int], spread_s: float) -> None:
        for number in numbers:
            gateway = HollowGateway(self.common, number)
            gateway.start()
            self.gateways[number] = gateway
            await asyncio.sleep(spread_s / len(numbers))

    async def _kill_gateways(self, numbers: list[int]) -> list[int]:
        killed = [gateway for number in numbers if (gateway := self.gateways.pop(number, None)) is not None]
        await asyncio.gather(*(gateway.kill() for gateway in killed))
        return [gateway.number for gateway in killed]

    # --- Requests. Numbers of gateways in other processes are ignored.

    async def revive(self, fields: Mapping[str, Any]) -> list[int]:
        """Starts killed gateways without state, under their old addresses."""
        numbers = [n for n in fields["numbers"] if n in self.config.numbers and n not in self.gateways]
        await self._start_gateways(numbers, 0.0)
        return numbers

    async def kill(self, fields: Mapping[str, Any]) -> list[int]:
        return await self._kill_gateways(fields["numbers"])

    async def restart(self, fields: Mapping[str, Any]) -> str:
        """Restarts one gateway by a slot that it requests within `wait_s`: `done` or `no slot`."""
        number = int(fields["number"])
        if not await self.gateways[number].restart_by_slot(float(fields["wait_s"])):
            return "no slot"
        await asyncio.sleep(LEAVE_DELAY_S)
        await self._kill_gateways([number])
        await self._start_gateways([number], 0.0)
        return "done"

    def set_blocked_peers(self, fields: Mapping[str, Any]) -> None:
        """Blocks all datagrams between `numbers` and `others`; empty `others` ends the partition."""
        for number in fields["numbers"]:
            if number in self.gateways:
                self.gateways[number].peers.blocked_peers = frozenset(fields["others"])

    def watch_members(self, fields: Mapping[str, Any]) -> None:
        """Each gateway emits an event once it considers all of `numbers` gone."""
        for gateway in self.gateways.values():
            gateway.fleet_service.watched_members = frozenset(fields["numbers"])

    def set_unreachable_engines(self, fields: Mapping[str, Any]) -> None:
        for gateway in self.gateways.values():
            gateway.engines.unreachable = frozenset(fields["engines"])

    def take_events(self, _: Mapping[str, Any]) -> list[GatewayEvent]:
        """Events since the last call."""
        events, self.pending_events = self.pending_events, []
        return events

    def list_digests(self, _: Mapping[str, Any]) -> list[tuple[int, int, int]]:
        return [gateway.list_digest() for gateway in self.gateways.values()]

    def routable_engines(self, _: Mapping[str, Any]) -> dict[int, list[str]]:
        return {gateway.number: gateway.routable_engines() for gateway in self.gateways.values()}

    def status(self, _: Mapping[str, Any]) -> dict[str, Any]:
        """Counters since the start; stalls since the last call."""
        with open("/proc/self/statm", encoding="ascii") as file:
            rss = int(file.read().split()[1]) * resource.getpagesize()
        longest_s, stalls = self.stalls.take_stalls()
        return {
            "at_us": monotonic_us(),
            "cpu_s": time.process_time(),
            "rss_bytes": rss,
            "descriptors": len(os.listdir("/proc/self/fd")),
            "longest_stall_s": longest_s,
            "stalls": stalls,
            "read_ns": self.meter.spent_ns["read"],
            "gateways": [gateway.status() for gateway in self.gateways.values()],
        }

    def handlers(self) -> dict[str, Handler]:
        """By the words of the control channel."""
        return {
            "revive": self.revive,
            "kill": self.kill,
            "restart": self.restart,
            "cut": self.set_blocked_peers,
            "watch": self.watch_members,
            "engines_down": self.set_unreachable_engines,
            "events": self.take_events,
            "digests": self.list_digests,
            "kept": self.routable_engines,
            "tell": self.status,
        }


async def start(config: dict[str, Any]) -> tuple[Any, Mapping[str, Handler]]:
    """Takes the fields of `HostConfig`; answers once all gateways are running."""
    host = Host(msgspec.convert(config, HostConfig))
    await host.start_all()
    return {"gateways": len(host.gateways)}, host.handlers()


if __name__ == "__main__":
    serve(start)
