"""SIGHUP while the program starts and while it exits, sent from a `sitecustomize` module.

The program sends the signal to itself at a given point and continues once it has been delivered, so that the
race is the same in each run. The configuration file is replaced before that: if the signal were lost, the old
configuration would stay in force.
"""

import json
import signal
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from whintrail.standins.scripted import (
    WAIT_TIMEOUT_S,
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

at, path = os.environ["SIGNAL_AT"], os.environ["RELAY_CONFIG"]

def reload():
    os.replace(path + ".new", path)
    os.kill(os.getpid(), signal.SIGHUP)  # delivered to this, the only thread, before the call returns

def at_import(name, args):
    global at
    if name == "import" and args[0] == at:
        at = None
        reload()

def after_reading():
    import orjson
    loads = orjson.loads
    def once(data):
        orjson.loads = loads
        value = loads(data)
        reload()
        return value
    orjson.loads = once

if at == "read":
    after_reading()
elif at == "end":
    atexit.register(reload)
else:
    sys.addaudithook(at_import)
"""


class SignalScenario:
    """A gateway that gets SIGHUP at a given point, with a new configuration.

    It names another bulletin, which lists another engine.
    """

    def __init__(self, folder: Path, at: str) -> None:
        self.engines = [Engine("s-1"), Engine("s-2")]
        self.old_bulletin, self.new_bulletin = Bulletin(), Bulletin()
        first, second = self.engines
        self.old_bulletin.publish(first.entry(), reset=True)
        self.new_bulletin.publish(first.entry(), reset=True)
        self.new_bulletin.publish(first.entry("leaving"), second.entry())
        with listener() as free:
            self.port: int = free.getsockname()[1]
        config = configuration("n0", self.port, self.old_bulletin.address, self.old_bulletin.events)
        self.new_configuration = folder / "config.json.new"
        self.new_configuration.write_text(json.dumps({**config, "bulletin": self.new_bulletin.address}))
        (folder / "sitecustomize.py").write_text(SITECUSTOMIZE)
        self.gateway = Gateway(config, folder, SIGNAL_AT=at, PYTHONPATH=str(folder))

    def is_serving(self) -> bool:
        assert self.gateway.process.poll() is None, self.gateway.log_text()
        return "serves on" in self.gateway.log_text()

    def close(self) -> None:
        self.gateway.kill()
        for server in (self.old_bulletin, self.new_bulletin, *self.engines):
            server.close()


@contextmanager
def signal_scenario(folder: Path, at: str) -> Iterator[SignalScenario]:
    scenario = SignalScenario(folder, at)
    try:
        wait_for(scenario.is_serving)
        yield scenario
        scenario.gateway.signal(signal.SIGTERM)
        assert scenario.gateway.process.wait(WAIT_TIMEOUT_S) == 0
        assert not scenario.new_configuration.exists()  # the signal was sent
    finally:
        scenario.close()


@pytest.mark.parametrize(
    "at",
    ["whintrail.gateway.service", "asyncio", "orjson", "whintrail.routing", "uvloop", "uvloop.loop", "read"],
)
def test_sighup_during_startup_neither_ends_the_program_nor_is_lost(at: str, tmp_path: Path) -> None:
    with signal_scenario(tmp_path, at) as scenario:
        wait_for(lambda: scenario.new_bulletin.requested_events == [1])
        client = Client(scenario.port)
        wait_for(lambda: client.ask(query(ttl=1000)).rows and scenario.engines[1].queries)
        client.close()


def test_sighup_during_exit_leaves_the_exit_status(tmp_path: Path) -> None:
    with signal_scenario(tmp_path, "end") as scenario:
        assert scenario.new_configuration.exists()
