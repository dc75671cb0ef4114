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

HEADERS = 28  # bytes of IPv4 and UDP ahead of each datagram
ANSWER_S, PROBE_S = 0.02, 0.001  # the model of an engine: means of an answer and a probe
KINDS: dict[type, str] = {
    api.PeerMessageReceived: "memo",
    api.EngineListReceived: "list",
    api.TimerFired: "sweep",
}
Event = tuple[Any, ...]  # kind, gateway, microseconds of the machine's monotonic clock, more


@dataclass(slots=True)
class Meter:
    """Nanoseconds of processor time and calls by what was called; the thread's clock, so that waiting for
    the processor does not count."""

    spent: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    calls: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    def timed(self, name: str, work: Callable[..., Any]) -> Callable[..., Any]:
        spent, calls, clock = self.spent, self.calls, time.thread_time_ns

        def measured(*given: Any) -> Any:
            began = clock()
            try:
                return work(*given)
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
            self.meter.calls["bytes_in"] += len(item.payload) + HEADERS
        super().put(item)


class CountedPeers(PeerTransport):
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
        self.meter, self.cut = meter, frozenset[int]()
        self.memos = True

    def send(self, target: int | None, payload: bytes) -> None:
        if target is None:
            if payload[:1] != b"\xf5":  # a memo
                if not self.memos:
                    return
            super().send(None, payload)
            return
        if target in self.cut:
            return
        before = self.counters["peers", "sent"]
        super().send(target, payload)
        if self.counters["peers", "sent"] > before:
            self.meter.calls["datagrams_out"] += 1
            self.meter.calls["bytes_out"] += len(payload) + HEADERS


class ModelEngines:
    """Every engine answers every query, after a time drawn from an exponential distribution of 20 ms, and
    every probe after 1 ms with a load that is drawn anew: what an idle, healthy engine might say."""

    def __init__(self, inbox: Inbox, random: Random, meter: Meter) -> None:
        self.inbox, self.random, self.meter = inbox, random, meter
        self.down: frozenset[str] = frozenset()

    def apply_engine_list(self, listed: EngineListUpdate) -> None:
        """A real gateway's links take the addresses here."""

    def report(self) -> api.LoadReport:
        return api.LoadReport(None, float(self.random.randrange(8)), 0.0, 0.1)

    def send(self, attempt: Attempt) -> None:
        dead = attempt.engine in self.down
        ended = AttemptResult(
            attempt, api.Outcome.CONNECT_FAILED if dead else api.Outcome.OK, 5.0, 8.0, self.report()
        )
        later = asyncio.get_running_loop().call_later
        later(PROBE_S if dead else self.random.expovariate(1 / ANSWER_S), self.inbox.put, ended)

    def cancel(self, attempt: Attempt) -> None:
        """Its outcome, when it comes, is that of an attempt that is over."""

    def update_priority(self, attempt: Attempt) -> None:
        """Priorities mean nothing here."""

    def probe(self, engine: str) -> None:
        self.meter.calls["probes"] += 1
        outcome = api.Outcome.CONNECT_FAILED if engine in self.down else api.Outcome.OK
        probed = ProbeResult(engine, outcome, self.inbox.clock.now_us(), self.report())
        asyncio.get_running_loop().call_later(PROBE_S, self.inbox.put, probed)


class HollowClient:
    def send_result(self, query: Query, pages: list[Rows]) -> None: ...
    def refuse(self, query: Query, retry_after_us: int | None) -> None: ...
    def fail(self, query: Query, reason: str) -> None: ...
    def reject(self, query: Query, reason: str) -> None: ...
    def has_left(self, query: Query) -> bool:
        return False


class HollowPart(FleetService):
    """The program's fleet part; it also tells when the rule by which it acts, or its role, changes."""

    acts: tuple[str, bool] = ("0", False)
    led = False
    watched: frozenset[int] = frozenset()
    tells: Callable[..., None]

    def _process_node_output(self) -> None:
        super()._process_node_output()
        node, me = self.node, self.node_config.local_number
        if node.settings is not None:
            rule = node.settings.member.lease.active_version(monotonic_us())
            if (rule.label, rule.leased) != self.acts:
                # The owner looks at the lease before each decision: it ended when it ran out, though this
                # turn, by which it is told, comes later where the process waited for a processor.
                over = self.acts[1] and not rule.leased
                at = min(monotonic_us(), node.settings.member.lease.expires_at) if over else None
                self.acts = rule.label, rule.leased
                self.tells("rule", me, *self.acts, at=at)
        if node.is_leader is not self.led:
            self.led = node.is_leader
            self.tells("leads", me, self.led)
        if self.watched and all(node.membership.members[n].state is MemberState.GONE for n in self.watched):
            self.tells("gone", me, sorted(self.watched))
            self.watched = frozenset()


@dataclass(slots=True)
class Reading:
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

    def whole(self) -> EngineListUpdate:
        event = api.EngineListReceived(
            api.ListKind.CACHED, tuple(entry for entry, _ in self.entries.values())
        )
        return EngineListUpdate(
            event, {name: where for name, (_, where) in self.entries.items()}, self.generation
        )


@dataclass(frozen=True, slots=True)
class Common:
    """What all hollow gateways of a process share."""

    config: Mapping[str, Any]  # of a gateway, but for its number, zone and address
    fleet: FleetSettings
    addresses: list[tuple[str, int]]
    numbers: dict[tuple[str, int], int]
    zones: tuple[str, ...]
    zone_of: Callable[[int], str]
    queries_per_s: float
    memos: bool
    log: Log
    reading: Reading
    spoke: Callable[[], int]  # when the bulletin last said anything
    tells: Callable[..., None]  # an event for the control channel: kind, gateway, more
    sockets: str = ""  # where the fleet's local sockets of control machines are; empty: none
    subset: int = 0  # engines that each keeps; 0: all


class HollowGateway:
    """`start` and `close` it on a running loop; `kill` it as a process that is killed."""

    def __init__(self, common: Common, number: int) -> None:
        self.common, self.number = common, number
        self.meter, self.counters = Meter(), Counters()
        config = dict(common.config)
        config["settings"] = {**config["settings"], "Me": number, "Zone": common.zone_of(number)}
        host, port = common.addresses[number]
        config |= {"peer_listen": f"{host}:{port}", "peers": []}
        limits, settings = Limits.read(config), read_settings(config["settings"])
        self.inbox = CountedInbox(Clock(), self.meter)
        self.peers = CountedPeers(config, limits, self.inbox, self.counters, common.log, self.meter)
        self.peers.addresses, self.peers.gateway_numbers = (
            common.addresses,
            common.numbers,
        )  # one copy for all
        self.peers.memos = common.memos
        self.engines = ModelEngines(self.inbox, Random(number), self.meter)
        self.owner = Dispatcher(settings, number, limits, self.inbox, self.engines, self.counters, common.log)
        self.owner.peers = self.peers
        if common.subset:
            self._keep_part(settings)
        fleet = common.fleet
        if common.sockets and number in fleet.council:
            fleet = replace(fleet, socket=f"{common.sockets}/s{number}")
        self.given = build_node_config(fleet, settings, common.zones, len(common.addresses), "hollow")
        self.part = HollowPart(
            fleet, self.given, common.spoke, self.owner, self.peers, self.counters, common.log, self._stop
        )
        self.part.tells = common.tells
        self.left = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.timer: asyncio.TimerHandle | None = None
        self.asked = number << 32
        self._measure()

    def _keep_part(self, settings: api.Settings) -> None:
        """As the program does where its operator's file has a `subset` part."""
        plan, owner = SubsetPlan(self.common.subset), self.owner
        subset = SubsetService(
            plan, settings, self.peers, lambda engine: not owner.count_open_attempts(engine)
        )
        for name in ("listed", "turn", "tell"):
            setattr(subset, name, self.meter.timed("subset", getattr(subset, name)))
        owner.attach_subset(subset, subset.tick_interval_us)

    def _measure(self) -> None:
        meter, node, module = self.meter, self.part.node, self.owner.policy
        for name in ("tick", "take", "flush"):
            setattr(node, name, meter.timed(f"node_{name}", getattr(node, name)))
        setattr(self.peers, "tell", self._measured_tell(self.peers.send))  # noqa: B010
        datagram = self.peers.on_fleet_datagram
        assert datagram is not None

        def heard(origin: int, data: bytes) -> None:
            if origin in self.peers.cut:
                return
            meter.calls["bytes_in"] += len(data) + HEADERS
            meter.calls["fleet_in"] += 1
            datagram(origin, data)

        self.peers.on_fleet_datagram = heard
        handle, clock = module.handle, time.thread_time_ns

        def handled(now: int, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.PeerMessageReceived) and event.sender in self.peers.cut:
                return []
            began = clock()
            try:
                return handle(now, event)
            finally:
                name = "module_" + KINDS.get(type(event), "query")
                meter.spent[name] += clock() - began
                meter.calls[name] += 1

        setattr(module, "handle", handled)  # noqa: B010
        take = self.owner._process

        def taken(item: Input) -> None:
            take(item)
            if isinstance(item, EngineListUpdate):  # the module has it, or it bears on nothing that is kept
                self.common.tells("list", self.number, self.part.lists.generation)

        setattr(self.owner, "_take", taken)  # noqa: B010

    def _measured_tell(self, tell: Callable[..., None]) -> Callable[..., None]:
        """To all is one call here, and the calls for each within it are not counted again."""
        spent, clock, inside = self.meter.spent, time.thread_time_ns, [False]

        def told(target: int | None, payload: bytes) -> None:
            if inside[0]:
                tell(target, payload)
                return
            inside[0], began = True, clock()
            try:
                tell(target, payload)
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
        if self.common.reading.entries:
            self.inbox.put(self.common.reading.whole())
        self.tasks.append(loop.create_task(self.owner.run()))
        self.part.start()
        if self.common.queries_per_s:
            first = Random(self.number).random() / self.common.queries_per_s
            self.timer = loop.call_later(first, self._ask)
        self.common.tells("up", self.number, self.part.node.boot_id)

    def _ask(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(1 / self.common.queries_per_s, self._ask)
        self.asked += 1
        statement = Statement("lookup", b"%016x" % self.asked, None, 5.0, 8.0, b"select 1", None)
        self.inbox.put(QueryReceived(Query(HollowClient(), statement, self.inbox.clock.now_us())))

    def _stop(self) -> None:
        self.left.set()

    async def restart_by_slot(self, wait_s: float) -> bool:
        """What `may-restart` with `stop` does on the fleet's socket; whether the slot was granted."""
        wanted = SlotRequest(self.part.node.boot_id, self.given.build)
        outcome = await self.part.request_change(wanted, wait_s, True)
        if outcome.status != DONE or self.part.node.leader_client.held_slot is None:
            return False
        self.part.leave()
        return True

    async def kill(self) -> None:
        """Its socket is closed at once, and nothing of it is kept."""
        self.common.tells("down", self.number)
        self.peers.close()
        if self.timer is not None:
            self.timer.cancel()
        if self.owner.wakeup is not None:
            self.owner.wakeup.cancel()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.part.close()

    # --- What it tells over the control channel.

    def tell(self) -> dict[str, Any]:
        part = self.part
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
            "rule": part.acts[0],
            "leased": part.acts[1],
            "generation": part.lists.generation,
            "spent_ns": dict(self.meter.spent),
            "calls": dict(self.meter.calls),
            "counts": {**part.node.counters, "faults": self.counters["fleet", "faults"]},
            "served": self.counters["queries", "served"],
        }

    def digest(self) -> tuple[int, int, int]:
        """Gateway, generation and digest of the engines that it takes for ready, kept or not."""
        owner = self.owner
        found = owner.listed_engines() if self.common.subset else owner.policy.engines
        ready = (name for name, engine in found.items() if engine.state is api.EngineState.READY)
        return self.number, self.part.lists.generation, digest_of(ready)

    def kept(self) -> list[str]:
        """Engines that its module may draw."""
        return [engine.address for engine in self.owner.policy.ready]


def digest_of(ready: Iterable[str]) -> int:
    """CRC-32 of the names in order."""
    return crc32("\n".join(sorted(ready)).encode())
