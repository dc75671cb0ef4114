"""Hollow gateways: the program's own components without client sessions and links to engines.

A hollow gateway is made of the program's dispatcher, routing policy, peer transport, bulletin reader and
fleet service. It sends real datagrams from an address of its own. Many hollow gateways share one process;
they have no client sessions and no links to engines. Three things are simulated: engines are a model in the
process (`ModelEngines`), the engine list is read once for all gateways of a process (`EngineListFanout`),
and queries come from a timer. Each gateway counts the CPU time, datagrams and bytes that it uses.
"""

import asyncio
import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any
from zlib import crc32

from msgspec.structs import replace

from whintrail import interface as api
from whintrail.config import Fleet as FleetSettings
from whintrail.fleet.membership import MemberState
from whintrail.fleet.wire import DONE, SlotRequest
from whintrail.gateway.clock import Clock
from whintrail.gateway.counters import Counters
from whintrail.gateway.dispatcher import (
    Attempt,
    AttemptResult,
    Dispatcher,
    EngineListUpdate,
    Inbox,
    Input,
    PeerDatagram,
    ProbeResult,
    Query,
    QueryReceived,
)
from whintrail.gateway.fleet import FleetService, build_node_config, monotonic_us
from whintrail.gateway.limits import Limits
from whintrail.gateway.log import Log
from whintrail.gateway.peers import PeerTransport
from whintrail.gateway.postgres import Rows
from whintrail.gateway.statement import Statement
from whintrail.gateway.subset import SubsetService
from whintrail.settings import read_settings
from whintrail.subset.plan import SubsetPlan

DATAGRAM_HEADER_BYTES = 28  # IPv4 and UDP headers
MEAN_ANSWER_S = 0.02  # of a query at a model engine
PROBE_DELAY_S = 0.001  # until a model engine answers a probe or refuses a connection
EVENT_KINDS: dict[type, str] = {  # the middle part of a stored quantity name: module_KIND
    api.PeerMessageReceived: "memo",
    api.EngineListReceived: "list",
    api.TimerFired: "sweep",
}
NODE_TIMERS = {"tick": "node_tick", "receive": "node_take", "flush": "node_flush"}  # method: stored quantity
GatewayEvent = tuple[Any, ...]  # kind, gateway number, microseconds of the monotonic clock, details


@dataclass(slots=True)
class Meter:
    """CPU nanoseconds and call counts by quantity name.

    It reads the thread's CPU clock, so that time spent waiting for a CPU does not count."""

    spent_ns: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    calls: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    def wrap(self, name: str, function: Callable[..., Any]) -> Callable[..., Any]:
        """The function, with its calls and CPU time counted under `name`."""
        spent_ns, calls, clock = self.spent_ns, self.calls, time.thread_time_ns

        def measured(*arguments: Any) -> Any:
            started = clock()
            try:
                return function(*arguments)
            finally:
                spent_ns[name] += clock() - started
                calls[name] += 1

        return measured


class CountedInbox(Inbox):
    """Counts the peer datagrams that the dispatcher receives, which carry probe reports."""

    def __init__(self, clock: Clock, meter: Meter) -> None:
        super().__init__(clock)
        self.meter = meter

    def put(self, item: Input) -> None:
        if isinstance(item, PeerDatagram):
            self.meter.calls["memos_in"] += 1
            self.meter.calls["bytes_in"] += len(item.payload) + DATAGRAM_HEADER_BYTES
        super().put(item)


class CountedPeerTransport(PeerTransport):
    """The program's peer transport with counters. Nothing is sent to or accepted from `blocked_peers`."""

    def __init__(
        self,
        config: Mapping[str, Any],
        limits: Limits,
        inbox: Inbox,
        counters: Counters,
        log: Log,
        meter: Meter,
    ) -> None:
        super().__init__(config, limits, inbox, counters, log)
        self.meter, self.blocked_peers = meter, frozenset[int]()
        self.sends_probe_reports = True

    def send(self, target: int | None, payload: bytes) -> None:
        if target is None:
            if payload[:1] != b"\xf5":  # a probe report
                if not self.sends_probe_reports:
                    return
            super().send(None, payload)
            return
        if target in self.blocked_peers:
            return
        sent_before = self.counters["peers", "sent"]
        super().send(target, payload)
        if self.counters["peers", "sent"] > sent_before:
            self.meter.calls["datagrams_out"] += 1
            self.meter.calls["bytes_out"] += len(payload) + DATAGRAM_HEADER_BYTES


class ModelEngines:
    """Simulates idle, healthy engines in the process.

    Every query is answered after an exponentially distributed time with a mean of 20 ms, every probe after 1
    ms with a random load."""

    def __init__(self, inbox: Inbox, random: Random, meter: Meter) -> None:
        self.inbox, self.random, self.meter = inbox, random, meter
        self.unreachable: frozenset[str] = frozenset()

    def apply_engine_list(self, update: EngineListUpdate) -> None:
        """Does nothing; a real gateway's links get their addresses here."""

    def draw_load_report(self) -> api.LoadReport:
        return api.LoadReport(None, float(self.random.randrange(8)), 0.0, 0.1)

    def send(self, attempt: Attempt) -> None:
        is_unreachable = attempt.engine in self.unreachable
        outcome = api.Outcome.CONNECT_FAILED if is_unreachable else api.Outcome.OK
        result = AttemptResult(attempt, outcome, 5.0, 8.0, self.draw_load_report())
        delay_s = PROBE_DELAY_S if is_unreachable else self.random.expovariate(1 / MEAN_ANSWER_S)
        asyncio.get_running_loop().call_later(delay_s, self.inbox.put, result)

    def cancel(self, attempt: Attempt) -> None:
        """Does nothing: the result still comes, and the dispatcher drops it as late."""

    def update_priority(self, attempt: Attempt) -> None:
        """Does nothing: the model has no priorities."""

    def probe(self, engine: str) -> None:
        self.meter.calls["probes"] += 1
        outcome = api.Outcome.CONNECT_FAILED if engine in self.unreachable else api.Outcome.OK
        result = ProbeResult(engine, outcome, self.inbox.clock.now_us(), self.draw_load_report())
        asyncio.get_running_loop().call_later(PROBE_DELAY_S, self.inbox.put, result)


class HollowClient:
    """A client session that discards its answers."""

    def send_result(self, query: Query, pages: list[Rows]) -> None: ...
    def refuse(self, query: Query, retry_after_us: int | None) -> None: ...
    def fail(self, query: Query, reason: str) -> None: ...
    def reject(self, query: Query, reason: str) -> None: ...
    def has_left(self, query: Query) -> bool:
        return False


class HollowFleetService(FleetService):
    """The program's fleet service. It also emits an event when the active rules, the lease or the leadership
    of its gateway change."""

    reported_rules: tuple[str, bool] = ("0", False)  # label of the active rules, whether leased
    reported_leading = False
    watched_members: frozenset[int] = frozenset()  # an event is due once all of them are considered gone
    emit_event: Callable[..., None]

    def _process_node_output(self) -> None:
        super()._process_node_output()
        node, local_number = self.node, self.node_config.local_number
        if node.settings is not None:
            rule = node.settings.member.lease.active_version(monotonic_us())
            if (rule.label, rule.leased) != self.reported_rules:
                # The dispatcher checks the lease before each decision, so the lease ended at its expiry even
                # if this turn comes later because the process waited for a CPU.
                has_expired = self.reported_rules[1] and not rule.leased
                at_us = min(monotonic_us(), node.settings.member.lease.expires_at) if has_expired else None
                self.reported_rules = rule.label, rule.leased
                self.emit_event("rule", local_number, *self.reported_rules, at_us=at_us)
        if node.is_leader is not self.reported_leading:
            self.reported_leading = node.is_leader
            self.emit_event("leads", local_number, self.reported_leading)
        if self.watched_members and all(
            node.membership.members[number].state is MemberState.GONE for number in self.watched_members
        ):
            self.emit_event("gone", local_number, sorted(self.watched_members))
            self.watched_members = frozenset()


@dataclass(slots=True)
class EngineListFanout:
    """Passes each engine list event of the process's one bulletin reader to all gateways.

    It keeps the current list for gateways that start later; a gateway in a process of its own would read the
    list from the bulletin."""

    clock: Clock
    gateways: dict[int, "HollowGateway"]
    entries: dict[str, tuple[api.EngineEntry, str]] = field(default_factory=dict)
    generation: int = 0

    def put(self, item: Input) -> None:
        assert isinstance(item, EngineListUpdate)
        if item.event.kind is not api.ListKind.DELTA:
            self.entries.clear()
        for entry in item.event.entries:
            if entry.state is api.EngineState.REMOVED:
                self.entries.pop(entry.engine, None)
            else:
                self.entries[entry.engine] = entry, item.addresses[entry.engine]
        self.generation = item.generation
        for gateway in self.gateways.values():
            gateway.inbox.put(item)

    def snapshot(self) -> EngineListUpdate:
        event = api.EngineListReceived(
            api.ListKind.CACHED, tuple(entry for entry, _ in self.entries.values())
        )
        return EngineListUpdate(
            event, {name: address for name, (_, address) in self.entries.items()}, self.generation
        )


@dataclass(frozen=True, slots=True)
class SharedContext:
    """What all hollow gateways of a process share."""

    config: Mapping[str, Any]  # of a gateway, without its number, zone and address
    fleet: FleetSettings
    addresses: list[tuple[str, int]]
    gateway_numbers: dict[tuple[str, int], int]
    zones: tuple[str, ...]
    zone_of: Callable[[int], str]
    queries_per_s: float
    sends_probe_reports: bool
    log: Log
    engine_list: EngineListFanout
    bulletin_last_received: Callable[[], int]
    emit_event: Callable[..., None]  # queues an event for the control channel: kind, gateway, details
    socket_folder: str = ""  # for the local control sockets of control machines; empty: none
    subset_size: int = 0  # engines that each gateway keeps; 0: all


class HollowGateway:
    """Call `start` on a running loop. `kill` ends it like a process that gets SIGKILL."""

    def __init__(self, shared: SharedContext, number: int) -> None:
        self.shared, self.number = shared, number
        self.meter, self.counters = Meter(), Counters()
        config = dict(shared.config)
        config["settings"] = {**config["settings"], "Me": number, "Zone": shared.zone_of(number)}
        host, port = shared.addresses[number]
        config |= {"peer_listen": f"{host}:{port}", "peers": []}
        limits, settings = Limits.read(config), read_settings(config["settings"])
        self.inbox = CountedInbox(Clock(), self.meter)
        self.peers = CountedPeerTransport(config, limits, self.inbox, self.counters, shared.log, self.meter)
        # One copy of the address tables for all gateways of the process.
        self.peers.addresses = shared.addresses
        self.peers.gateway_numbers = shared.gateway_numbers
        self.peers.sends_probe_reports = shared.sends_probe_reports
        self.engines = ModelEngines(self.inbox, Random(number), self.meter)
        self.dispatcher = Dispatcher(
            settings, number, limits, self.inbox, self.engines, self.counters, shared.log
        )
        self.dispatcher.peers = self.peers
        if shared.subset_size:
            self._attach_subset(settings)
        fleet = shared.fleet
        if shared.socket_folder and number in fleet.council:
            fleet = replace(fleet, socket=f"{shared.socket_folder}/s{number}")
        self.node_config = build_node_config(fleet, settings, shared.zones, len(shared.addresses), "hollow")
        self.fleet_service = HollowFleetService(
            fleet,
            self.node_config,
            shared.bulletin_last_received,
            self.dispatcher,
            self.peers,
            self.counters,
            shared.log,
            self._request_stop,
        )
        self.fleet_service.emit_event = shared.emit_event
        self.stop_requested = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.query_timer: asyncio.TimerHandle | None = None
        self.last_query_id = number << 32
        self._instrument()

    def _attach_subset(self, settings: api.Settings) -> None:
        """Keeps a subset of the engines, as the program does when the operator's file has a `subset` part."""
        plan, dispatcher = SubsetPlan(self.shared.subset_size), self.dispatcher
        subset = SubsetService(
            plan, settings, self.peers, lambda engine: not dispatcher.count_open_attempts(engine)
        )
        for method in ("apply_event", "tick", "broadcast_report"):
            setattr(subset, method, self.meter.wrap("subset", getattr(subset, method)))
        dispatcher.attach_subset(subset, subset.tick_interval_us)

    def _instrument(self) -> None:
        """Replaces methods of this gateway's components by measured ones."""
        meter, node, policy = self.meter, self.fleet_service.node, self.dispatcher.policy
        for method, quantity in NODE_TIMERS.items():
            setattr(node, method, meter.wrap(quantity, getattr(node, method)))
        setattr(self.peers, "send", self._timed_send(self.peers.send))  # noqa: B010
        receive_datagram = self.peers.on_fleet_datagram
        assert receive_datagram is not None

        def count_fleet_datagram(origin: int, data: bytes) -> None:
            if origin in self.peers.blocked_peers:
                return
            meter.calls["bytes_in"] += len(data) + DATAGRAM_HEADER_BYTES
            meter.calls["fleet_in"] += 1
            receive_datagram(origin, data)

        self.peers.on_fleet_datagram = count_fleet_datagram
        handle, clock = policy.handle, time.thread_time_ns

        def measured_handle(now: int, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.PeerMessageReceived) and event.sender in self.peers.blocked_peers:
                return []
            started = clock()
            try:
                return handle(now, event)
            finally:
                quantity = "module_" + EVENT_KINDS.get(type(event), "query")
                meter.spent_ns[quantity] += clock() - started
                meter.calls[quantity] += 1

        setattr(policy, "handle", measured_handle)  # noqa: B010
        process = self.dispatcher._process

        def observed_process(item: Input) -> None:
            process(item)
            # The policy has applied the update, or it concerns no engine that this gateway keeps.
            if isinstance(item, EngineListUpdate):
                self.shared.emit_event("list", self.number, self.fleet_service.lists.generation)

        setattr(self.dispatcher, "_process", observed_process)  # noqa: B010

    def _timed_send(self, send: Callable[..., None]) -> Callable[..., None]:
        """`send` with its CPU time counted. A broadcast calls it again for each peer; the nested calls are
        not counted twice."""
        spent_ns, clock, is_nested = self.meter.spent_ns, time.thread_time_ns, [False]

        def measured_send(target: int | None, payload: bytes) -> None:
            if is_nested[0]:
                send(target, payload)
                return
            is_nested[0], started = True, clock()
            try:
                send(target, payload)
            finally:
                is_nested[0] = False
                spent_ns["send"] += clock() - started

        return measured_send

    # --- Start and stop.

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.peers.open()
        if self.peers.sock is None:
            raise OSError(f"no socket for gateway {self.number}")
        if self.shared.engine_list.entries:
            self.inbox.put(self.shared.engine_list.snapshot())
        self.tasks.append(loop.create_task(self.dispatcher.run()))
        self.fleet_service.start()
        if self.shared.queries_per_s:
            first_query_s = Random(self.number).random() / self.shared.queries_per_s
            self.query_timer = loop.call_later(first_query_s, self._submit_query)
        self.shared.emit_event("up", self.number, self.fleet_service.node.boot_id)

    def _submit_query(self) -> None:
        loop = asyncio.get_running_loop()
        self.query_timer = loop.call_later(1 / self.shared.queries_per_s, self._submit_query)
        self.last_query_id += 1
        statement = Statement("lookup", b"%016x" % self.last_query_id, None, 5.0, 8.0, b"select 1", None)
        self.inbox.put(QueryReceived(Query(HollowClient(), statement, self.inbox.clock.now_us())))

    def _request_stop(self) -> None:
        self.stop_requested.set()

    async def restart_by_slot(self, wait_s: float) -> bool:
        """Requests a restart slot and leaves the fleet, like `may-restart` with `stop` on the control socket.

        Returns whether the slot was granted."""
        request = SlotRequest(self.fleet_service.node.boot_id, self.node_config.build)
        outcome = await self.fleet_service.request_change(request, wait_s, True)
        if outcome.status != DONE or self.fleet_service.node.leader_client.held_slot is None:
            return False
        self.fleet_service.leave()
        return True

    async def kill(self) -> None:
        """Closes its socket at once and keeps no state."""
        self.shared.emit_event("down", self.number)
        self.peers.close()
        if self.query_timer is not None:
            self.query_timer.cancel()
        if self.dispatcher.wakeup is not None:
            self.dispatcher.wakeup.cancel()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.fleet_service.close()

    # --- State for the control channel.

    def status(self) -> dict[str, Any]:
        """Counters since the start, and the gateway's view of the fleet."""
        fleet_service, node = self.fleet_service, self.fleet_service.node
        return {
            "number": self.number,
            "birth": node.boot_id,
            "leads": node.is_leader,
            "leader": node.current_leader(monotonic_us()),
            "alive": node.membership.count_in(MemberState.ALIVE),
            "gone": [
                member.number
                for member in node.membership.members
                if member.state in (MemberState.LEAVING, MemberState.GONE)
            ],
            "rule": fleet_service.reported_rules[0],
            "leased": fleet_service.reported_rules[1],
            "generation": fleet_service.lists.generation,
            "spent_ns": dict(self.meter.spent_ns),
            "calls": dict(self.meter.calls),
            "counts": {**node.counters, "faults": self.counters["fleet", "faults"]},
            "served": self.counters["queries", "served"],
        }

    def list_digest(self) -> tuple[int, int, int]:
        """Its number, the list's generation, and the digest of all ready engines, kept or not."""
        dispatcher = self.dispatcher
        engines = dispatcher.listed_engines() if self.shared.subset_size else dispatcher.policy.engines
        ready = (name for name, engine in engines.items() if engine.state is api.EngineState.READY)
        return self.number, self.fleet_service.lists.generation, digest_names(ready)

    def routable_engines(self) -> list[str]:
        """Engines that its routing policy may choose."""
        return [engine.address for engine in self.dispatcher.policy.ready]


def digest_names(names: Iterable[str]) -> int:
    """CRC-32 of the sorted names."""
    return crc32("\n".join(sorted(names)).encode())
