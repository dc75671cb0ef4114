"""How much gateways tell one another of engines: their modules played together in simulated time.

Each module is the real one. Engines answer at once what is probed, and queries after a while; datagrams are
never lost, which is the dearest case. What is counted is counted after a while in which reports come to be as
old as they stay.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from random import Random

from whintrail import interface as api
from whintrail.routing import SWEEP_INTERVAL_US, SWEEP_TIMER, RoutingPolicy
from whintrail.scale.deployment import SECOND_US, Deployment
from whintrail.scale.results import Sample, sample
from whintrail.scale.timing import Bench
from whintrail.subset.assignment import SubsetAssignment
from whintrail.subset.plan import SubsetPlan
from whintrail.subset.report_sender import BATCH_INTERVAL_US, SLOTS_PER_BATCH, ProbeReportSender

HEADERS = 28  # bytes of IPv4 and UDP in front of each datagram
SETTLE_US, COUNT_US = 6 * SECOND_US, 10 * SECOND_US
PROBE_US, DATAGRAM_US = 500, 300  # until a probe's answer, and until a datagram arrives
PROBES_AN_ENGINE = 3.0  # queries a gateway, at least so many for each engine's probe that falls to it
CHECK_EACH = 2000


@dataclass(slots=True)
class Heard:
    datagrams: int = 0
    bytes: int = 0
    told: int = 0  # datagrams sent
    told_bytes: int = 0
    probes: int = 0


@dataclass(slots=True)
class Play:
    """`rate`: queries a second at each gateway. `subset`: engines that each keeps; 0: all."""

    deployment: Deployment
    rate: float
    seed: int
    subset: int = 0
    batch_us: int = BATCH_INTERVAL_US
    now: int = 0
    modules: list[RoutingPolicy] = field(default_factory=list)
    tellings: list[ProbeReportSender] = field(default_factory=list)  # where each keeps a part
    counts: list[Heard] = field(default_factory=list)
    queue: list[tuple[int, int, Callable[[], None]]] = field(default_factory=list)
    numbered: int = 0
    asked: int = 0
    random: Random = field(default_factory=Random)
    running: dict[str, int] = field(default_factory=dict)  # queries on an engine

    def at(self, when: int, what: Callable[[], None]) -> None:
        self.numbered += 1
        heappush(self.queue, (when, self.numbered, what))

    def begin(self) -> None:
        self.random, self.now = Random(self.seed), self.deployment.first_started_ms * 1000 + 3600 * SECOND_US
        listed = self.deployment.engine_list(api.ListKind.CACHED)
        self.running = dict.fromkeys(self.deployment.engine_names(), 0)
        for me in range(self.deployment.gateways):
            module = RoutingPolicy(self.deployment.settings(me), self.seed * 1000 + me, self.now)
            self.modules.append(module)
            self.counts.append(Heard())
            module.start()
            if self.subset:
                part = SubsetAssignment(SubsetPlan(self.subset), module.settings)
                self.tellings.append(ProbeReportSender(part, me, self.batch_us))
                module.handle(self.now, part.apply_list(listed) or listed)
                self.at(
                    self.now + self.random.randrange(self.batch_us // SLOTS_PER_BATCH), partial(self.turn, me)
                )
            else:
                module.handle(self.now, listed)
            self.at(self.now + self.random.randrange(SWEEP_INTERVAL_US), partial(self.sweep, me))
            self.at(self.now + self.pause(), partial(self.ask, me))

    def pause(self) -> int:
        return int(self.random.expovariate(self.rate) * SECOND_US)

    def run(self, us: int, bench: Bench) -> None:
        end, done = self.now + us, 0
        while self.queue[0][0] <= end:
            self.now, _, what = heappop(self.queue)
            what()
            done += 1
            if done % CHECK_EACH == 0:
                bench.check()
        self.now = end

    # --- What happens to a gateway.

    def tell(self, me: int, event: api.Event) -> None:
        for action in self.modules[me].handle(self.now, event):
            match action:
                case api.SendAttempt(query, engine):
                    self.running[engine] += 1
                    took = int(self.random.expovariate(1.0) * 30_000)
                    self.at(self.now + took, partial(self.answer, me, query, engine, took))
                case api.SendProbe(engine):
                    self.counts[me].probes += 1
                    self.at(self.now + PROBE_US, partial(self.probed, me, engine))
                case api.SendPeerMessage(None, payload) if self.tellings:
                    self.tellings[me].enqueue(self.now, payload)
                case api.SendPeerMessage(None, payload):
                    self.counts[me].told += len(self.modules) - 1
                    self.counts[me].told_bytes += (len(payload) + HEADERS) * (len(self.modules) - 1)
                    self.at(self.now + DATAGRAM_US, partial(self.hear, me, payload))
                case _:
                    pass

    def sweep(self, me: int) -> None:
        self.tell(me, api.TimerFired(SWEEP_TIMER))
        self.at(self.now + SWEEP_INTERVAL_US, partial(self.sweep, me))

    def ask(self, me: int) -> None:
        self.asked += 1
        work = self.deployment.query_classes[0]
        give_up = self.now + work.deadline_us
        self.tell(
            me,
            api.QueryArrived(self.asked, work.name, give_up, work.cost_us, 64.0, None, None, None, False),
        )
        self.at(self.now + self.pause(), partial(self.ask, me))

    def answer(self, me: int, query: int, engine: str, took: int) -> None:
        self.running[engine] -= 1
        number = next((n for q, n in self.modules[me].in_flight if q == query), None)
        if number is not None:
            ended = api.AttemptFinished(query, number, engine, api.Outcome.OK, took, True, None, None, None)
            self.tell(me, ended)

    def probed(self, me: int, engine: str) -> None:
        held = self.running[engine]
        report = api.LoadReport(min(1.0, held / 16), float(held))
        self.tell(me, api.ProbeFinished(engine, api.Outcome.OK, PROBE_US, report))

    def turn(self, me: int) -> None:
        """What is due goes to those that keep its engines."""
        for target, payload in self.tellings[me].due_datagrams(self.now):
            self.counts[me].told += 1
            self.counts[me].told_bytes += len(payload) + HEADERS
            self.at(self.now + DATAGRAM_US, partial(self.reach, me, target, payload))
        self.at(self.now + self.batch_us // SLOTS_PER_BATCH, partial(self.turn, me))

    def reach(self, origin: int, target: int, payload: bytes) -> None:
        self.counts[target].datagrams += 1
        self.counts[target].bytes += len(payload) + HEADERS
        self.tell(target, api.PeerMessageReceived(origin, payload))

    def hear(self, origin: int, payload: bytes) -> None:
        event = api.PeerMessageReceived(origin, payload)
        for me, counts in enumerate(self.counts):
            if me != origin:
                counts.datagrams += 1
                counts.bytes += len(payload) + HEADERS
                self.tell(me, event)


def memos(
    deployment: Deployment,
    rate: float,
    seed: int,
    bench: Bench,
    subset: int = 0,
    batch_us: int = BATCH_INTERVAL_US,
) -> Iterator[Sample]:
    """Datagrams and bytes a second that a gateway hears, and sends, of memos; its probes a second. `rate`:
    queries a second at each gateway at least, raised where they would not pay for its part of the probes."""
    sizes = deployment.gateways, deployment.engines
    rate = max(rate, PROBES_AN_ENGINE * deployment.engines / deployment.gateways)
    play = Play(deployment, rate, seed, subset, batch_us)
    play.begin()
    play.run(SETTLE_US, bench)
    play.counts[:] = [Heard() for _ in play.counts]
    play.run(COUNT_US, bench)
    seconds = COUNT_US / SECOND_US
    probes = sum(c.probes for c in play.counts)
    for quantity, unit, values in (
        ("memo_datagrams_per_s", "datagrams/s", [c.datagrams / seconds for c in play.counts]),
        ("memo_bytes_per_s", "bytes/s", [c.bytes / seconds for c in play.counts]),
        ("memo_sent_bytes_per_s", "bytes/s", [c.told_bytes / seconds for c in play.counts]),
        ("memo_sent_datagrams_per_s", "datagrams/s", [c.told / seconds for c in play.counts]),
        ("probes_per_s", "count", [c.probes / seconds for c in play.counts]),
        # Of all gateways together: what does not depend on their number.
        ("probes_an_engine_per_s", "count", [probes / seconds / deployment.engines]),
    ):
        yield sample(quantity, unit, sizes, values, "core")
