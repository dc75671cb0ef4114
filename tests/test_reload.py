"""New configurations while the program serves, and bulletins that stop."""

import json
import signal
import time

import pytest

from whintrail.standins.scripted import Bulletin, Deployment, Engine, deployment, query, wait_for


def reload(given: Deployment, text: str) -> None:
    given.gateway.path.write_text(text)
    given.gateway.signal(signal.SIGHUP)


def move_bulletin(given: Deployment) -> Bulletin:
    """A bulletin that goes on where the old one stops, at another address."""
    new = Bulletin()
    new.events = given.bulletin.events
    given.bulletin.mute = True
    reload(given, json.dumps({**given.config, "bulletin": new.where}))
    return new


def test_a_new_configuration_moves_the_bulletin_and_loses_no_query() -> None:
    first, second = Engine("s-1"), Engine("s-2")
    first.delay = 0.5
    with deployment(first) as given:
        given.engines.append(second)
        client = given.client()
        client.send(query())
        wait_for(lambda: first.done)
        new = move_bulletin(given)
        try:
            wait_for(lambda: new.asked == [1], 4.0)
            new.publish(first.entry("leaving"), second.entry())
            assert client.answer().rows
            wait_for(lambda: given.client().ask(query()).rows and second.done, 3.0)
            count = len(first.done)
            assert all(client.ask(query()).rows for _ in range(5))
            assert len(first.done) == count
            assert 'kind=configuration event="taken' in given.gateway.text()
        finally:
            new.close()


@pytest.mark.parametrize("text", ["", '{"bulletin": "127.0.0.1', "[]", "{}", '{"bulletin": "nowhere:1"}'])
def test_an_invalid_configuration_leaves_the_old_one_in_force(text: str) -> None:
    with deployment(Engine("s-1")) as given:
        reload(given, text)
        wait_for(lambda: 'kind=configuration event="the old one stays in force' in given.gateway.text())
        given.bulletin.publish(given.engines[0].entry("leaving"))
        wait_for(lambda: given.client().ask(query(ttl=300)).sqlstate)  # the old bulletin is still heard


def test_repeated_reload_signals_do_not_reconnect_the_bulletin() -> None:
    with deployment() as given:
        wait_for(lambda: given.bulletin.asked)
        client = given.client()
        for _ in range(20):
            given.gateway.signal(signal.SIGHUP)
            assert client.ask(query()).rows
        assert given.bulletin.asked == [1]


def test_a_silent_bulletin_connection_is_replaced() -> None:
    with deployment() as given:
        wait_for(lambda: given.bulletin.asked)
        given.bulletin.mute = True
        start = time.monotonic()
        wait_for(lambda: len(given.bulletin.asked) > 1)
        assert time.monotonic() - start < 2.5
        given.bulletin.mute = False
        given.bulletin.publish(given.engines[0].entry("leaving"))
        wait_for(lambda: given.client().ask(query(ttl=300)).sqlstate, 4.0)
