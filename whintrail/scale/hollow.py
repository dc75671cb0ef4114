"""A hollow gateway: the program's own owner, module, peers, bulletin reader and fleet part, with real
datagrams on an address of its own, many to a process, without sessions and without links to engines.

What is not the program's own: engines are a model in the process (`ModelEngines`), the list is read once for
all gateways of a process (`Reading`), and queries come from a timer. Each gateway counts what it spends.
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

DATAGRAM_HEADER_BYTES = 28  # bytes of IPv4 and UDP ahead of each datagram
MEAN_ANSWER_S, PROBE_DELAY_S = 0.02, 0.001  # the model of an engine: means of an answer and a probe
EVENT_KINDS: dict[type, str] = {
    api.PeerMessageReceived: "memo",
    api.EngineListReceived: "list",
    api.TimerFired: "sweep",
}
GatewayEvent = tuple[Any, ...]  # kind, gateway, microseconds of the machine's monotonic clock, more


@dataclass(slots=True)
class Meter:
    """Nanoseconds of processor time and calls by what was called; the thread's clock, so that waiting for
    the processor does not count."""

    spent_ns: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    calls: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    def wrap(self, name: str, function: Callable[..., Any]) -> Callable[..., Any]:
        spent, calls, clock = self.spent_ns, self.calls, time.thread_time_ns

        def measured(*given: Any) -> Any:
            began = clock()
            try:
                return function(*given)
            finally:
                spent[name] += clock() - began
                calls[name] += 1

        return measured


class CountedInbox(Inbox):
    def __init__(self, clock: Clock, meter: Meter) -> None:
        super().__init__(clock)
        self.meter = meter

    def put(self, item: Input) -> None:
        if isinstance(item, PeerDatagram):
            self.meter.calls["memos_in"] += 1
            self.meter.calls["bytes_in"] += len(item.payload) + DATAGRAM_HEADER_BYTES
        super().put(item)


class CountedPeerTransport(PeerTransport):
    """The program's datagrams, counted; `cut` names those to and from whom nothing passes."""

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
            if payload[:1] != b"\xf5":  # a memo
                if not self.sends_probe_reports:
                    return
            super().send(None, payload)
            return
        if target in self.blocked_peers:
            return
        before = self.counters["peers", "sent"]
        super().send(target, payload)
        if self.counters["peers", "sent"] > before:
            self.meter.calls["datagrams_out"] += 1
            self.meter.calls["bytes_out"] += len(payload) + DATAGRAM_HEADER_BYTES


class ModelEngines:
    """Every engine answers every query, after a time drawn from an exponential distribution of 20 ms, and
    every probe after 1 ms with a load that is drawn anew: what an idle, healthy engine might say."""

    def __init__(self, inbox: Inbox, random: Random, meter: Meter) -> None:
        self.inbox, self.random, self.meter = inbox, random, meter
        self.unreachable: frozenset[str] = frozenset()

    def apply_engine_list(self, update: EngineListUpdate) -> None:
        """A real gateway's links take the addresses here."""

    def draw_load_report(self) -> api.LoadReport:
        return api.LoadReport(None, float(self.random.randrange(8)), 0.0, 0.1)

    def send(self, attempt: Attempt) -> None:
        dead = attempt.engine in self.unreachable
        ended = AttemptResult(
            attempt, api.Outcome.CONNECT_FAILED if dead else api.Outcome.OK, 5.0, 8.0, self.draw_load_report()
        )
        later = asyncio.get_running_loop().call_later
        later(PROBE_DELAY_S if dead else self.random.expovariate(1 / MEAN_ANSWER_S), self.inbox.put, ended)

    def cancel(self, attempt: Attempt) -> None:
        """Its outcome, when it comes, is that of an attempt that is over."""

    def update_priority(self, attempt: Attempt) -> None:
        """Priorities mean nothing here."""

    def probe(self, engine: str) -> None:
        self.meter.calls["probes"] += 1
        outcome = api.Outcome.CONNECT_FAILED if engine in self.unreachable else api.Outcome.OK
        probed = ProbeResult(engine, outcome, self.inbox.clock.now_us(), self.draw_load_report())
        asyncio.get_running_loop().call_later(PROBE_DELAY_S, self.inbox.put, probed)


class HollowClient:
    def send_result(self, query: Query, pages: list[Rows]) -> None: ...
    def refuse(self, query: Query, retry_after_us: int | None) -> None: ...
    def fail(self, query: Query, reason: str) -> None: ...
    def reject(self, query: Query, reason: str) -> None: ...
    def has_left(self, query: Query) -> bool:
        return False


class HollowFleetService(FleetService):
    """The program's fleet part; it also tells when the rule by which it acts, or its role, changes."""

    reported_rules: tuple[str, bool] = ("0", False)
    reported_leading = False
    watched_members: frozenset[int] = frozenset()
    emit_event: Callable[..., None]

    def _process_node_output(self) -> None:
        super()._process_node_output()
        node, me = self.node, self.node_config.local_number
        if node.settings is not None:
            rule = node.settings.member.lease.active_version(monotonic_us())
            if (rule.label, rule.leased) != self.reported_rules:
                # The owner looks at the lease before each decision: it ended when it ran out, though this
                # turn, by which it is told, comes later where the process waited for a processor.
                over = self.reported_rules[1] and not rule.leased
                at = min(monotonic_us(), node.settings.member.lease.expires_at) if over else None
                self.reported_rules = rule.label, rule.leased
                self.emit_event("rule", me, *self.reported_rules, at=at)
        if node.is_leader is not self.reported_leading:
            self.reported_leading = node.is_leader
            self.emit_event("leads", me, self.reported_leading)
        if self.watched_members and all(
            node.membership.members[n].state is MemberState.GONE for n in self.watched_members
        ):
            self.emit_event("gone", me, sorted(self.watched_members))
            self.watched_members = frozenset()


@dataclass(slots=True)
class EngineListFanout:
    """What the one reader of a process puts out: handed to all its gateways, and kept for those that start
    later, which a gateway of its own process would read for itself."""

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
            event, {name: where for name, (_, where) in self.entries.items()}, self.generation
        )


@dataclass(frozen=True, slots=True)
class SharedContext:
    """What all hollow gateways of a process share."""

    config: Mapping[str, Any]  # of a gateway, but for its number, zone and address
    fleet: FleetSettings
    addresses: list[tuple[str, int]]
    gateway_numbers: dict[tuple[str, int], int]
    zones: tuple[str, ...]
    zone_of: Callable[[int], str]
    queries_per_s: float
    sends_probe_reports: bool
    log: Log
    engine_list: EngineListFanout
    bulletin_last_received: Callable[[], int]  # when the bulletin last said anything
    emit_event: Callable[..., None]  # an event for the control channel: kind, gateway, more
    socket_folder: str = ""  # where the fleet's local sockets of control machines are; empty: none
    subset_size: int = 0  # engines that each keeps; 0: all


class HollowGateway:
    """`start` and `close` it on a running loop; `kill` it as a process that is killed."""

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
        self.peers.addresses, self.peers.gateway_numbers = (
            shared.addresses,
            shared.gateway_numbers,
        )  # one copy for all
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
        """As the program does where its operator's file has a `subset` part."""
        plan, owner = SubsetPlan(self.shared.subset_size), self.dispatcher
        subset = SubsetService(
            plan, settings, self.peers, lambda engine: not owner.count_open_attempts(engine)
        )
        for name in ("listed", "turn", "tell"):
            setattr(subset, name, self.meter.wrap("subset", getattr(subset, name)))
        owner.attach_subset(subset, subset.tick_interval_us)

    def _instrument(self) -> None:
        meter, node, module = self.meter, self.fleet_service.node, self.dispatcher.policy
        for name in ("tick", "take", "flush"):
            setattr(node, name, meter.wrap(f"node_{name}", getattr(node, name)))
        setattr(self.peers, "tell", self._timed_send(self.peers.send))  # noqa: B010
        datagram = self.peers.on_fleet_datagram
        assert datagram is not None

        def heard(origin: int, data: bytes) -> None:
            if origin in self.peers.blocked_peers:
                return
            meter.calls["bytes_in"] += len(data) + DATAGRAM_HEADER_BYTES
            meter.calls["fleet_in"] += 1
            datagram(origin, data)

        self.peers.on_fleet_datagram = heard
        handle, clock = module.handle, time.thread_time_ns

        def handled(now: int, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.PeerMessageReceived) and event.sender in self.peers.blocked_peers:
                return []
            began = clock()
            try:
                return handle(now, event)
            finally:
                name = "module_" + EVENT_KINDS.get(type(event), "query")
                meter.spent_ns[name] += clock() - began
                meter.calls[name] += 1

        setattr(module, "handle", handled)  # noqa: B010
        take = self.dispatcher._process

        def taken(item: Input) -> None:
            take(item)
            if isinstance(item, EngineListUpdate):  # the module has it, or it bears on nothing that is kept
                self.shared.emit_event("list", self.number, self.fleet_service.lists.generation)

        setattr(self.dispatcher, "_take", taken)  # noqa: B010

    def _timed_send(self, send: Callable[..., None]) -> Callable[..., None]:
        """To all is one call here, and the calls for each within it are not counted again."""
        spent, clock, inside = self.meter.spent_ns, time.thread_time_ns, [False]

        def told(target: int | None, payload: bytes) -> None:
            if inside[0]:
                send(target, payload)
                return
            inside[0], began = True, clock()
            try:
                send(target, payload)
            finally:
                inside[0] = False
                spent["send"] += clock() - began

        return told

    # --- Its life.

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
            first = Random(self.number).random() / self.shared.queries_per_s
            self.query_timer = loop.call_later(first, self._submit_query)
        self.shared.emit_event("up", self.number, self.fleet_service.node.boot_id)

    def _submit_query(self) -> None:
        self.query_timer = asyncio.get_running_loop().call_later(
            1 / self.shared.queries_per_s, self._submit_query
        )
        self.last_query_id += 1
        statement = Statement("lookup", b"%016x" % self.last_query_id, None, 5.0, 8.0, b"select 1", None)
        self.inbox.put(QueryReceived(Query(HollowClient(), statement, self.inbox.clock.now_us())))

    def _request_stop(self) -> None:
        self.stop_requested.set()

    async def restart_by_slot(self, wait_s: float) -> bool:
        """What `may-restart` with `stop` does on the fleet's socket; whether the slot was granted."""
        wanted = SlotRequest(self.fleet_service.node.boot_id, self.node_config.build)
        outcome = await self.fleet_service.request_change(wanted, wait_s, True)
        if outcome.status != DONE or self.fleet_service.node.leader_client.held_slot is None:
            return False
        self.fleet_service.leave()
        return True

    async def kill(self) -> None:
        """Its socket is closed at once, and nothing of it is kept."""
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

    # --- What it tells over the control channel.

    def status(self) -> dict[str, Any]:
        part = self.fleet_service
        return {
            "number": self.number,
            "birth": part.node.boot_id,
            "leads": part.node.is_leader,
            "leader": part.node.current_leader(monotonic_us()),
            "alive": part.node.membership.count_in(MemberState.ALIVE),
            "gone": [
                m.number
                for m in part.node.membership.members
                if m.state in (MemberState.LEAVING, MemberState.GONE)
            ],
            "rule": part.reported_rules[0],
            "leased": part.reported_rules[1],
            "generation": part.lists.generation,
            "spent_ns": dict(self.meter.spent_ns),
            "calls": dict(self.meter.calls),
            "counts": {**part.node.counters, "faults": self.counters["fleet", "faults"]},
            "served": self.counters["queries", "served"],
        }

    def list_digest(self) -> tuple[int, int, int]:
        """Gateway, generation and digest of the engines that it takes for ready, kept or not."""
        owner = self.dispatcher
        found = owner.listed_engines() if self.shared.subset_size else owner.policy.engines
        ready = (name for name, engine in found.items() if engine.state is api.EngineState.READY)
        return self.number, self.fleet_service.lists.generation, digest_names(ready)

    def routable_engines(self) -> list[str]:
        """Engines that its module may draw."""
        return [engine.address for engine in self.dispatcher.policy.ready]


def digest_names(names: Iterable[str]) -> int:
    """CRC-32 of the names in order."""
    return crc32("\n".join(sorted(names)).encode())
