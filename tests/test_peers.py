"""Gateways as processes over a network that loses, duplicates, delays and partitions their datagrams."""

import re
import signal
import socket

from whintrail.fleet import probe_reports
from whintrail.interface import LoadReport
from whintrail.standins.gateway_fleet import GatewayFleet, datagram_socket, fleet, lossy, partition
from whintrail.standins.scripted import Engine, query, wait_for


def read_peer_counter(cluster: GatewayFleet, number: int, name: str) -> int:
    """Request the counters of a gateway by signal, and return one of the group `peers`."""
    gateway = cluster.gateways[number]
    before = len(gateway.log_text())
    gateway.signal(signal.SIGUSR1)
    wait_for(lambda: "kind=counters" in gateway.log_text()[before:])
    found = re.search(rf"event=peers.*\b{name}=(\d+)", gateway.log_text()[before:])
    return int(found[1]) if found else 0


def query_all_gateways(cluster: GatewayFleet, times: int = 5) -> None:
    for number in range(len(cluster.gateways)):
        client = cluster.client(number)
        for _ in range(times):
            assert client.ask(query()).rows
        client.close()


def test_reports_reach_all_gateways_and_each_serves() -> None:
    with fleet(3, Engine("s-1"), Engine("s-2")) as cluster:
        query_all_gateways(cluster)
        for number in range(3):
            wait_for(lambda number=number: read_peer_counter(cluster, number, "heard") > 0)  # type: ignore[misc]
        assert all(not read_peer_counter(cluster, number, "strange") for number in range(3))


def test_a_partitioned_fleet_keeps_serving_without_cross_partition_traffic() -> None:
    with fleet(3, Engine("s-1"), Engine("s-2")) as cluster:
        cluster.relay.fault = partition({0, 1}, {2})
        cluster.relay.delivered.clear()
        query_all_gateways(cluster)
        wait_for(lambda: cluster.relay.delivered[0, 1] + cluster.relay.delivered[1, 0] > 0)
        query_all_gateways(cluster)
        assert not any(2 in pair for pair in cluster.relay.delivered)


def test_lost_duplicated_and_delayed_datagrams_are_harmless() -> None:
    with fleet(3, Engine("s-1"), Engine("s-2")) as cluster:
        cluster.relay.fault = lossy(0.3, max_delay_s=0.2, duplicate_share=0.3)
        query_all_gateways(cluster, times=20)
        wait_for(lambda: sum(cluster.relay.delivered.values()) > 0)
        cluster.gateways[1].process.kill()  # without state, while the others go on
        cluster.gateways[1].kill()
        cluster.gateways[1] = cluster.start(1)
        wait_for(lambda: cluster.is_ready(1))
        query_all_gateways(cluster)


def test_datagrams_from_strangers_and_invalid_ones_are_dropped() -> None:
    engine = Engine("s-1")
    with fleet(2, engine) as cluster, datagram_socket() as stranger:
        target, known_peer = cluster.relay.gateway_addresses[0], cluster.relay.front_sockets[1]
        report = probe_reports.encode(
            [
                probe_reports.ProbeReport(
                    probe_reports.engine_key("s-1"), 0, LoadReport(active_queries=250.0), 16.0
                )
            ]
        )
        for _ in range(20):
            stranger.sendto(report, target)
        wait_for(lambda: read_peer_counter(cluster, 0, "strange") >= 20)
        received = read_peer_counter(cluster, 0, "heard")
        for payload in (b"", b"\xff" * 256, b"\0" * 3, report[:-1], report + b"\0"):
            known_peer.sendto(payload, target)
        known_peer.sendto(b"x" * 1400, target)  # over the size limit
        wait_for(lambda: read_peer_counter(cluster, 0, "strange") >= 21)
        wait_for(lambda: read_peer_counter(cluster, 0, "heard") >= received + 4)
        query_all_gateways(cluster)


def test_a_gateway_whose_peer_address_is_in_use_serves_without_peers() -> None:
    with fleet(2, Engine("s-1")) as cluster:
        cluster.gateways[1].process.kill()
        cluster.gateways[1].kill()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as occupied:
            occupied.bind(cluster.relay.gateway_addresses[1])
            cluster.gateways[1] = cluster.start(1)
            wait_for(lambda: cluster.is_ready(1))
            query_all_gateways(cluster)
            wait_for(lambda: "no talk among gateways" in cluster.gateways[1].log_text())
