"""Configuration reloads while the gateway serves, and bulletins that fall silent."""

import json
import signal
import time

import pytest

from whintrail.standins.scripted import Bulletin, Deployment, Engine, deployment, query, wait_for


def reload(cluster: Deployment, text: str) -> None:
    cluster.gateway.config_path.write_text(text)
    cluster.gateway.signal(signal.SIGHUP)


def move_bulletin(cluster: Deployment) -> Bulletin:
    """Start a bulletin at another address, and reconfigure the gateway to follow it."""
    bulletin = Bulletin()
    bulletin.events = cluster.bulletin.events
    cluster.bulletin.muted = True
    reload(cluster, json.dumps({**cluster.config, "bulletin": bulletin.address}))
    return bulletin


def test_a_new_configuration_moves_the_bulletin_and_loses_no_query() -> None:
    first, second = Engine("s-1"), Engine("s-2")
    first.delay = 0.5
    with deployment(first) as cluster:
        cluster.engines.append(second)
        client = cluster.client()
        client.send_query(query())
        wait_for(lambda: first.queries)
        new = move_bulletin(cluster)
        try:
            wait_for(lambda: new.requested_events == [1], 4.0)
            new.publish(first.entry("leaving"), second.entry())
            assert client.read_answer().rows
            wait_for(lambda: cluster.client().ask(query()).rows and second.queries, 3.0)
            count = len(first.queries)
            assert all(client.ask(query()).rows for _ in range(5))
            assert len(first.queries) == count
            assert 'kind=configuration event="taken' in cluster.gateway.log_text()
        finally:
            new.close()


@pytest.mark.parametrize("text", ["", '{"bulletin": "127.0.0.1', "[]", "{}", '{"bulletin": "nowhere:1"}'])
def test_an_invalid_configuration_leaves_the_old_one_in_force(text: str) -> None:
    with deployment(Engine("s-1")) as cluster:
        reload(cluster, text)
        wait_for(lambda: 'kind=configuration event="the old one stays in force' in cluster.gateway.log_text())
        cluster.bulletin.publish(cluster.engines[0].entry("leaving"))
        wait_for(lambda: cluster.client().ask(query(ttl=300)).sqlstate)  # the old bulletin is still followed


def test_repeated_reload_signals_do_not_reconnect_the_bulletin() -> None:
    with deployment() as cluster:
        wait_for(lambda: cluster.bulletin.requested_events)
        client = cluster.client()
        for _ in range(20):
            cluster.gateway.signal(signal.SIGHUP)
            assert client.ask(query()).rows
        assert cluster.bulletin.requested_events == [1]


def test_a_silent_bulletin_connection_is_replaced() -> None:
    with deployment() as cluster:
        wait_for(lambda: cluster.bulletin.requested_events)
        cluster.bulletin.muted = True
        start = time.monotonic()
        wait_for(lambda: len(cluster.bulletin.requested_events) > 1)
        assert time.monotonic() - start < 2.5
        cluster.bulletin.muted = False
        cluster.bulletin.publish(cluster.engines[0].entry("leaving"))
        wait_for(lambda: cluster.client().ask(query(ttl=300)).sqlstate, 4.0)
