"""Measures the traffic of probe reports between gateways, with their routing policies in simulated time.

The routing policies are real. Engines answer probes after a fixed delay and queries after a random one. No
datagram is lost, which is the most expensive case. Traffic is counted after a settling time in which the age
of reports becomes stationary.
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

DATAGRAM_HEADER_BYTES = 28  # IPv4 and UDP
SETTLE_US = 6 * SECOND_US
MEASURED_US = 10 * SECOND_US
PROBE_DELAY_US = 500  # until a probe is answered
DATAGRAM_DELAY_US = 300  # until a datagram arrives
# Of the whole fleet. Probes are paid for by queries: with fewer, the probe budget would limit the probes.
MIN_QUERIES_PER_ENGINE_PER_S = 3.0
EVENTS_PER_BOUND_CHECK = 2000


@dataclass(slots=True)
class ReportTraffic:
    """Probe reports of one gateway, in datagrams and bytes including headers, and its probes."""

    received_datagrams: int = 0
    received_bytes: int = 0
    sent_datagrams: int = 0
    sent_bytes: int = 0
    probes: int = 0


@dataclass(slots=True)
class ReportExchange:
    """Gateways that exchange probe reports in simulated time.

    `rate`: queries per second at each gateway. `subset_size`: engines in each gateway's subset; 0 for all.
    """

    deployment: Deployment
    rate: float
    seed: int
    subset_size: int = 0
    batch_us: int = BATCH_INTERVAL_US
    now: int = 0
    policies: list[RoutingPolicy] = field(default_factory=list)
    senders: list[ProbeReportSender] = field(default_factory=list)  # one per gateway if there are subsets
    traffic: list[ReportTraffic] = field(default_factory=list)
    events: list[tuple[int, int, Callable[[], None]]] = field(default_factory=list)
    event_count: int = 0
    last_query_id: int = 0
    random: Random = field(default_factory=Random)
    running_queries: dict[str, int] = field(default_factory=dict)  # by engine

    def schedule(self, at_us: int, action: Callable[[], None]) -> None:
        self.event_count += 1
        heappush(self.events, (at_us, self.event_count, action))

    def start(self) -> None:
        self.random, self.now = Random(self.seed), self.deployment.first_started_ms * 1000 + 3600 * SECOND_US
        engine_list = self.deployment.engine_list(api.ListKind.CACHED)
        self.running_queries = dict.fromkeys(self.deployment.engine_names(), 0)
        for number in range(self.deployment.gateways):
            policy = RoutingPolicy(self.deployment.settings(number), self.seed * 1000 + number, self.now)
            self.policies.append(policy)
            self.traffic.append(ReportTraffic())
            policy.start()
            if self.subset_size:
                assignment = SubsetAssignment(SubsetPlan(self.subset_size), policy.settings)
                self.senders.append(ProbeReportSender(assignment, number, self.batch_us))
                policy.handle(self.now, assignment.apply_list(engine_list) or engine_list)
                self.schedule(
                    self.now + self.random.randrange(self.batch_us // SLOTS_PER_BATCH),
                    partial(self.send_due_reports, number),
                )
            else:
                policy.handle(self.now, engine_list)
            self.schedule(self.now + self.random.randrange(SWEEP_INTERVAL_US), partial(self.sweep, number))
            self.schedule(self.now + self.draw_query_interval(), partial(self.submit_query, number))

    def draw_query_interval(self) -> int:
        return int(self.random.expovariate(self.rate) * SECOND_US)

    def run(self, duration_us: int, bench: Bench) -> None:
        end, handled_events = self.now + duration_us, 0
        while self.events[0][0] <= end:
            self.now, _, action = heappop(self.events)
            action()
            handled_events += 1
            if handled_events % EVENTS_PER_BOUND_CHECK == 0:
                bench.check_bounds()
        self.now = end

    # --- Events at a gateway.

    def handle_event(self, number: int, event: api.Event) -> None:
        for action in self.policies[number].handle(self.now, event):
            match action:
                case api.SendAttempt(query, engine):
                    self.running_queries[engine] += 1
                    duration_us = int(self.random.expovariate(1.0) * 30_000)
                    self.schedule(
                        self.now + duration_us,
                        partial(self.finish_attempt, number, query, engine, duration_us),
                    )
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
        query_class = self.deployment.query_classes[0]
        deadline_us = self.now + query_class.deadline_us
        self.handle_event(
            number,
            api.QueryArrived(
                self.last_query_id,
                query_class.name,
                deadline_us,
                query_class.cost_us,
                64.0,
                None,
                None,
                None,
                False,
            ),
        )
        self.schedule(self.now + self.draw_query_interval(), partial(self.submit_query, number))

    def finish_attempt(self, number: int, query: int, engine: str, duration_us: int) -> None:
        self.running_queries[engine] -= 1
        attempt = next((n for q, n in self.policies[number].in_flight if q == query), None)
        if attempt is not None:
            finished = api.AttemptFinished(
                query, attempt, engine, api.Outcome.OK, duration_us, True, None, None, None
            )
            self.handle_event(number, finished)

    def finish_probe(self, number: int, engine: str) -> None:
        running_count = self.running_queries[engine]
        report = api.LoadReport(min(1.0, running_count / 16), float(running_count))
        self.handle_event(number, api.ProbeFinished(engine, api.Outcome.OK, PROBE_DELAY_US, report))

    def send_due_reports(self, number: int) -> None:
        """Send the batches that are due to the other holders of their engines."""
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
        for number, traffic in enumerate(self.traffic):
            if number != origin:
                traffic.received_datagrams += 1
                traffic.received_bytes += len(payload) + DATAGRAM_HEADER_BYTES
                self.handle_event(number, event)


def measure_probe_reports(
    deployment: Deployment,
    rate: float,
    seed: int,
    bench: Bench,
    subset_size: int = 0,
    batch_us: int = BATCH_INTERVAL_US,
) -> Iterator[Sample]:
    """Measure the probe reports that a gateway receives and sends per second, and its probes.

    `rate`: queries per second at each gateway; raised where it would not pay for the gateway's probes.
    """
    sizes = deployment.gateways, deployment.engines
    rate = max(rate, MIN_QUERIES_PER_ENGINE_PER_S * deployment.engines / deployment.gateways)
    exchange = ReportExchange(deployment, rate, seed, subset_size, batch_us)
    exchange.start()
    exchange.run(SETTLE_US, bench)
    exchange.traffic[:] = [ReportTraffic() for _ in exchange.traffic]
    exchange.run(MEASURED_US, bench)
    seconds = MEASURED_US / SECOND_US
    probes = sum(t.probes for t in exchange.traffic)
    for quantity, unit, values in (
        ("memo_datagrams_per_s", "datagrams/s", [t.received_datagrams / seconds for t in exchange.traffic]),
        ("memo_bytes_per_s", "bytes/s", [t.received_bytes / seconds for t in exchange.traffic]),
        ("memo_sent_bytes_per_s", "bytes/s", [t.sent_bytes / seconds for t in exchange.traffic]),
        ("memo_sent_datagrams_per_s", "datagrams/s", [t.sent_datagrams / seconds for t in exchange.traffic]),
        ("probes_per_s", "count", [t.probes / seconds for t in exchange.traffic]),
        # Of all gateways together, so that it does not depend on their number.
        ("probes_an_engine_per_s", "count", [probes / seconds / deployment.engines]),
    ):
        yield sample(quantity, unit, sizes, values, "core")
