"""Several gateways as processes, and what lies between them: lost, doubled, cut, strange."""

import re
import signal
import socket

from whintrail.fleet import probe_reports
from whintrail.interface import LoadReport
from whintrail.standins.peers import Fleet, datagrams, fleet, lossy, split
from whintrail.standins.scripted import Engine, query, wait_for


def read_peer_counter(given: Fleet, number: int, name: str) -> int:
    """A counter of a gateway's talk with the others, asked for anew."""
    gateway = given.gateways[number]
    before = len(gateway.text())
    gateway.signal(signal.SIGUSR1)
    wait_for(lambda: "kind=counters" in gateway.text()[before:])
    found = re.search(rf"event=peers.*\b{name}=(\d+)", gateway.text()[before:])
    return int(found[1]) if found else 0


def query_all_gateways(given: Fleet, times: int = 5) -> None:
    for number in range(len(given.gateways)):
        client = given.client(number)
        for _ in range(times):
            assert client.ask(query()).rows
        client.close()


def test_reports_reach_all_gateways_and_each_serves() -> None:
    with fleet(3, Engine("s-1"), Engine("s-2")) as given:
        query_all_gateways(given)
        for number in range(3):
            wait_for(lambda number=number: read_peer_counter(given, number, "heard") > 0)  # type: ignore[misc]
        assert all(not read_peer_counter(given, number, "strange") for number in range(3))


def test_a_partitioned_fleet_keeps_serving_without_cross_partition_traffic() -> None:
    with fleet(3, Engine("s-1"), Engine("s-2")) as given:
        given.relay.fault = split({0, 1}, {2})
        given.relay.passed.clear()
        query_all_gateways(given)
        wait_for(lambda: given.relay.passed[0, 1] + given.relay.passed[1, 0] > 0)
        query_all_gateways(given)
        assert not any(2 in pair for pair in given.relay.passed)


def test_lost_duplicated_and_delayed_datagrams_are_harmless() -> None:
    with fleet(3, Engine("s-1"), Engine("s-2")) as given:
        given.relay.fault = lossy(0.3, most_s=0.2, doubled=0.3)
        query_all_gateways(given, times=20)
        wait_for(lambda: sum(given.relay.passed.values()) > 0)
        given.gateways[1].process.kill()  # from nothing, while the others talk on
        given.gateways[1].end()
        given.gateways[1] = given.start(1)
        wait_for(lambda: given.ready(1))
        query_all_gateways(given)


def test_datagrams_from_strangers_and_invalid_ones_are_dropped() -> None:
    engine = Engine("s-1")
    with fleet(2, engine) as given, datagrams() as stranger:
        home, friend = given.relay.homes[0], given.relay.fronts[1]
        lie = probe_reports.encode(
            [
                probe_reports.ProbeReport(
                    probe_reports.engine_key("s-1"), 0, LoadReport(active_queries=250.0), 16.0
                )
            ]
        )
        for _ in range(20):
            stranger.sendto(lie, home)
        wait_for(lambda: read_peer_counter(given, 0, "strange") >= 20)
        heard = read_peer_counter(given, 0, "heard")
        for payload in (b"", b"\xff" * 256, b"\0" * 3, lie[:-1], lie + b"\0"):
            friend.sendto(payload, home)
        friend.sendto(b"x" * 1400, home)  # longer than any may be
        wait_for(lambda: read_peer_counter(given, 0, "strange") >= 21)
        wait_for(lambda: read_peer_counter(given, 0, "heard") >= heard + 4)
        query_all_gateways(given)


def test_a_gateway_whose_peer_address_is_in_use_serves_without_peers() -> None:
    with fleet(2, Engine("s-1")) as given:
        given.gateways[1].process.kill()
        given.gateways[1].end()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind(given.relay.homes[1])
            given.gateways[1] = given.start(1)
            wait_for(lambda: given.ready(1))
            query_all_gateways(given)
            wait_for(lambda: "no talk among gateways" in given.gateways[1].text())
