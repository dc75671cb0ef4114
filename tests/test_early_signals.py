"""SIGHUP while the program starts and while it ends, forced by a module that the interpreter imports itself.

The program signals itself at a known place and goes on only when its signal has been delivered, so that the
crossing is the same each time. Before it does, the configuration is renewed: a signal that is lost would
leave the old one in force.
"""

import json
import signal
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from whintrail.standins.scripted import (
    PATIENCE_S,
    Bulletin,
    Client,
    Engine,
    Gateway,
    configuration,
    listener,
    query,
    wait_for,
)

SITECUSTOMIZE = """
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


class SignalScenario:
    """A gateway that crosses, at a place, a configuration that names another bulletin and another engine."""

    def __init__(self, folder: Path, at: str) -> None:
        self.engines, self.old_bulletin, self.new_bulletin = (
            [Engine("s-1"), Engine("s-2")],
            Bulletin(),
            Bulletin(),
        )
        first, second = self.engines
        self.old_bulletin.publish(first.entry(), reset=True)
        self.new_bulletin.publish(first.entry(), reset=True)
        self.new_bulletin.publish(first.entry("leaving"), second.entry())
        with listener() as free:
            self.port: int = free.getsockname()[1]
        config = configuration("n0", self.port, self.old_bulletin.where, self.old_bulletin.events)
        self.new_configuration = folder / "config.json.new"
        self.new_configuration.write_text(json.dumps({**config, "bulletin": self.new_bulletin.where}))
        (folder / "sitecustomize.py").write_text(SITECUSTOMIZE)
        self.gateway = Gateway(config, folder, CROSS_AT=at, PYTHONPATH=str(folder))

    def is_serving(self) -> bool:
        assert self.gateway.process.poll() is None, self.gateway.text()
        return "serves on" in self.gateway.text()

    def end(self) -> None:
        self.gateway.end()
        for server in (self.old_bulletin, self.new_bulletin, *self.engines):
            server.close()


@contextmanager
def signal_scenario(folder: Path, at: str) -> Iterator[SignalScenario]:
    given = SignalScenario(folder, at)
    try:
        wait_for(given.is_serving)
        yield given
        given.gateway.signal(signal.SIGTERM)
        assert given.gateway.process.wait(PATIENCE_S) == 0
        assert not given.new_configuration.exists()  # it has crossed
    finally:
        given.end()


@pytest.mark.parametrize(
    "at",
    ["whintrail.gateway.service", "asyncio", "orjson", "whintrail.routing", "uvloop", "uvloop.loop", "read"],
)
def test_sighup_during_startup_neither_ends_the_program_nor_is_lost(at: str, tmp_path: Path) -> None:
    with signal_scenario(tmp_path, at) as given:
        wait_for(lambda: given.new_bulletin.asked == [1])
        client = Client(given.port)
        wait_for(lambda: client.ask(query(ttl=1000)).rows and given.engines[1].done)
        client.close()


def test_sighup_during_exit_leaves_the_exit_status(tmp_path: Path) -> None:
    with signal_scenario(tmp_path, "end") as given:
        assert given.new_configuration.exists()
