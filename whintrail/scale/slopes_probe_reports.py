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

DATAGRAM_HEADER_BYTES = 28  # bytes of IPv4 and UDP in front of each datagram
SETTLE_US, MEASURED_US = 6 * SECOND_US, 10 * SECOND_US
PROBE_DELAY_US, DATAGRAM_DELAY_US = 500, 300  # until a probe's answer, and until a datagram arrives
MIN_QUERIES_PER_ENGINE_PER_S = (
    3.0  # queries a gateway, at least so many for each engine's probe that falls to it
)
EVENTS_PER_BOUND_CHECK = 2000


@dataclass(slots=True)
class ReportTraffic:
    received_datagrams: int = 0
    received_bytes: int = 0
    sent_datagrams: int = 0  # datagrams sent
    sent_bytes: int = 0
    probes: int = 0


@dataclass(slots=True)
class ReportExchange:
    """`rate`: queries a second at each gateway. `subset`: engines that each keeps; 0: all."""

    deployment: Deployment
    rate: float
    seed: int
    subset_size: int = 0
    batch_us: int = BATCH_INTERVAL_US
    now: int = 0
    policies: list[RoutingPolicy] = field(default_factory=list)
    senders: list[ProbeReportSender] = field(default_factory=list)  # where each keeps a part
    traffic: list[ReportTraffic] = field(default_factory=list)
    events: list[tuple[int, int, Callable[[], None]]] = field(default_factory=list)
    event_count: int = 0
    last_query_id: int = 0
    random: Random = field(default_factory=Random)
    running_queries: dict[str, int] = field(default_factory=dict)  # queries on an engine

    def schedule(self, at_us: int, action: Callable[[], None]) -> None:
        self.event_count += 1
        heappush(self.events, (at_us, self.event_count, action))

    def start(self) -> None:
        self.random, self.now = Random(self.seed), self.deployment.first_started_ms * 1000 + 3600 * SECOND_US
        listed = self.deployment.engine_list(api.ListKind.CACHED)
        self.running_queries = dict.fromkeys(self.deployment.engine_names(), 0)
        for me in range(self.deployment.gateways):
            module = RoutingPolicy(self.deployment.settings(me), self.seed * 1000 + me, self.now)
            self.policies.append(module)
            self.traffic.append(ReportTraffic())
            module.start()
            if self.subset_size:
                part = SubsetAssignment(SubsetPlan(self.subset_size), module.settings)
                self.senders.append(ProbeReportSender(part, me, self.batch_us))
                module.handle(self.now, part.apply_list(listed) or listed)
                self.schedule(
                    self.now + self.random.randrange(self.batch_us // SLOTS_PER_BATCH),
                    partial(self.send_due_reports, me),
                )
            else:
                module.handle(self.now, listed)
            self.schedule(self.now + self.random.randrange(SWEEP_INTERVAL_US), partial(self.sweep, me))
            self.schedule(self.now + self.draw_query_interval(), partial(self.submit_query, me))

    def draw_query_interval(self) -> int:
        return int(self.random.expovariate(self.rate) * SECOND_US)

    def run(self, duration_us: int, bench: Bench) -> None:
        end, done = self.now + duration_us, 0
        while self.events[0][0] <= end:
            self.now, _, what = heappop(self.events)
            what()
            done += 1
            if done % EVENTS_PER_BOUND_CHECK == 0:
                bench.check_bounds()
        self.now = end

    # --- What happens to a gateway.

    def handle_event(self, number: int, event: api.Event) -> None:
        for action in self.policies[number].handle(self.now, event):
            match action:
                case api.SendAttempt(query, engine):
                    self.running_queries[engine] += 1
                    took = int(self.random.expovariate(1.0) * 30_000)
                    self.schedule(self.now + took, partial(self.finish_attempt, number, query, engine, took))
                case api.SendProbe(engine):
                    self.traffic[number].probes += 1
                    self.schedule(self.now + PROBE_DELAY_US, partial(self.finish_probe, number, engine))
                case api.SendPeerMessage(None, payload) if self.senders:
                    self.senders[number].enqueue(self.now, payload)
                case api.SendPeerMessage(None, payload):
                    self.traffic[number].sent_datagrams += len(self.policies) - 1
                    self.traffic[number].sent_bytes += (len(payload) + DATAGRAM_HEADER_BYTES) * (
                        len(self.policies) - 1
                    )
                    self.schedule(self.now + DATAGRAM_DELAY_US, partial(self.broadcast, number, payload))
                case _:
                    pass

    def sweep(self, number: int) -> None:
        self.handle_event(number, api.TimerFired(SWEEP_TIMER))
        self.schedule(self.now + SWEEP_INTERVAL_US, partial(self.sweep, number))

    def submit_query(self, number: int) -> None:
        self.last_query_id += 1
        work = self.deployment.query_classes[0]
        give_up = self.now + work.deadline_us
        self.handle_event(
            number,
            api.QueryArrived(
                self.last_query_id, work.name, give_up, work.cost_us, 64.0, None, None, None, False
            ),
        )
        self.schedule(self.now + self.draw_query_interval(), partial(self.submit_query, number))

    def finish_attempt(self, me: int, query: int, engine: str, duration_us: int) -> None:
        self.running_queries[engine] -= 1
        number = next((n for q, n in self.policies[me].in_flight if q == query), None)
        if number is not None:
            ended = api.AttemptFinished(
                query, number, engine, api.Outcome.OK, duration_us, True, None, None, None
            )
            self.handle_event(me, ended)

    def finish_probe(self, number: int, engine: str) -> None:
        held = self.running_queries[engine]
        report = api.LoadReport(min(1.0, held / 16), float(held))
        self.handle_event(number, api.ProbeFinished(engine, api.Outcome.OK, PROBE_DELAY_US, report))

    def send_due_reports(self, number: int) -> None:
        """What is due goes to those that keep its engines."""
        for target, payload in self.senders[number].due_datagrams(self.now):
            self.traffic[number].sent_datagrams += 1
            self.traffic[number].sent_bytes += len(payload) + DATAGRAM_HEADER_BYTES
            self.schedule(self.now + DATAGRAM_DELAY_US, partial(self.deliver, number, target, payload))
        self.schedule(self.now + self.batch_us // SLOTS_PER_BATCH, partial(self.send_due_reports, number))

    def deliver(self, origin: int, target: int, payload: bytes) -> None:
        self.traffic[target].received_datagrams += 1
        self.traffic[target].received_bytes += len(payload) + DATAGRAM_HEADER_BYTES
        self.handle_event(target, api.PeerMessageReceived(origin, payload))

    def broadcast(self, origin: int, payload: bytes) -> None:
        event = api.PeerMessageReceived(origin, payload)
        for me, counts in enumerate(self.traffic):
            if me != origin:
                counts.received_datagrams += 1
                counts.received_bytes += len(payload) + DATAGRAM_HEADER_BYTES
                self.handle_event(me, event)


def measure_probe_reports(
    deployment: Deployment,
    rate: float,
    seed: int,
    bench: Bench,
    subset_size: int = 0,
    batch_us: int = BATCH_INTERVAL_US,
) -> Iterator[Sample]:
    """Datagrams and bytes a second that a gateway hears, and sends, of memos; its probes a second. `rate`:
    queries a second at each gateway at least, raised where they would not pay for its part of the probes."""
    sizes = deployment.gateways, deployment.engines
    rate = max(rate, MIN_QUERIES_PER_ENGINE_PER_S * deployment.engines / deployment.gateways)
    play = ReportExchange(deployment, rate, seed, subset_size, batch_us)
    play.start()
    play.run(SETTLE_US, bench)
    play.traffic[:] = [ReportTraffic() for _ in play.traffic]
    play.run(MEASURED_US, bench)
    seconds = MEASURED_US / SECOND_US
    probes = sum(c.probes for c in play.traffic)
    for quantity, unit, values in (
        ("memo_datagrams_per_s", "datagrams/s", [c.received_datagrams / seconds for c in play.traffic]),
        ("memo_bytes_per_s", "bytes/s", [c.received_bytes / seconds for c in play.traffic]),
        ("memo_sent_bytes_per_s", "bytes/s", [c.sent_bytes / seconds for c in play.traffic]),
        ("memo_sent_datagrams_per_s", "datagrams/s", [c.sent_datagrams / seconds for c in play.traffic]),
        ("probes_per_s", "count", [c.probes / seconds for c in play.traffic]),
        # Of all gateways together: what does not depend on their number.
        ("probes_an_engine_per_s", "count", [probes / seconds / deployment.engines]),
    ):
        yield sample(quantity, unit, sizes, values, "core")
