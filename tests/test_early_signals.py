"""SIGHUP while the program starts and while it ends, forced by a module that the interpreter imports itself.

The program signals itself at a known place and goes on only when its signal has been delivered, so that the
crossing is the same each time. Before it does, the configuration is renewed: a signal that is lost would
leave the old one in force.
"""

import json
import signal
from pathlib import Path

import pytest

from whintrail.standins.scripted import (
    PATIENCE_S,
    Bulletin,
    Client,
    Engine,
    Gateway,
    deployment,
    query,
    wait_for,
)

SITE = """
import atexit, builtins, os, signal, sys

at, path = os.environ["CROSS_AT"], os.environ["RELAY_CONFIG"]

def cross():
    os.replace(path + ".new", path)
    os.kill(os.getpid(), signal.SIGHUP)  # delivered to this thread, the only one, before the call returns

def at_import(name, args):
    global at
    if name == "import" and args[0] == at:
        at = None
        cross()

def after_reading():
    import orjson
    loads = orjson.loads
    def once(data):
        orjson.loads = loads
        read = loads(data)
        cross()
        return read
    orjson.loads = once

if at == "read":
    after_reading()
elif at == "end":
    atexit.register(cross)
else:
    sys.addaudithook(at_import)
"""


def start(given: Gateway, at: str, bulletin: str) -> Gateway:
    """The same gateway once more, which crosses a renewed configuration there."""
    folder = given.path.parent / "again"
    folder.mkdir()
    (folder / "sitecustomize.py").write_text(SITE)
    config = json.loads(given.path.read_text())
    (folder / "config.json.new").write_text(json.dumps({**config, "bulletin": bulletin}))
    given.end()
    return Gateway(config, folder, CROSS_AT=at, PYTHONPATH=str(folder))


@pytest.mark.parametrize(
    "at",
    ["whintrail.gateway.service", "asyncio", "orjson", "whintrail.brain", "uvloop", "uvloop.loop", "read"],
)
def test_a_signal_during_the_start_neither_ends_the_program_nor_is_lost(at: str) -> None:
    first, second = Engine("s-1"), Engine("s-2")
    new = Bulletin()
    with deployment(first) as given:
        given.engines.append(second)
        try:
            new.events = [*given.bulletin.events]
            new.publish(first.entry("leaving"), second.entry())
            given.gateway = start(given.gateway, at, new.where)
            wait_for(given.ready)
            assert not (given.gateway.path.parent / "config.json.new").exists()  # it has crossed
            wait_for(lambda: new.asked == [1])
            wait_for(lambda: Client(given.port).ask(query(ttl=1000)).rows and second.done)
            given.gateway.signal(signal.SIGTERM)
            assert given.gateway.process.wait(PATIENCE_S) == 0
        finally:
            new.close()


def test_a_signal_at_the_very_end_leaves_the_status_as_it_is() -> None:
    with deployment() as given:
        given.gateway = start(given.gateway, "end", given.bulletin.where)
        wait_for(given.ready)
        given.gateway.signal(signal.SIGTERM)
        assert given.gateway.process.wait(PATIENCE_S) == 0
        assert not Path(f"{given.gateway.path}.new").exists()
