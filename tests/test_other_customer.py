"""The program with the settings of another deployment: other class names and effects, missing members."""

import json
from pathlib import Path
from typing import Any

import pytest

from whintrail.standins.scripted import (
    WAIT_TIMEOUT_S,
    Client,
    Engine,
    Gateway,
    deployment,
    query,
    settings,
    wait_for,
)

CLASSES = [
    {"Name": "ledger-entry", "Effect": "repeatable", "DeadlineUs": 700_000},
    {"Name": "lookup", "Effect": "once", "DeadlineUs": 900_000},  # repeatable in the usual settings
    {"Name": "report", "Effect": "by_key", "Group": "all", "WindowUs": 100_000, "DeadlineUs": 900_000},
    {"Name": "unsaid", "DeadlineUs": 900_000},
]


@pytest.mark.parametrize(("op", "most"), [("lookup", 1), ("unsaid", 1), ("report", 3)])
def test_effects_come_from_the_settings_and_not_from_class_names(op: str, most: int) -> None:
    engines = [Engine(f"s-{number}", mode="reset") for number in range(3)]
    with deployment(*engines, classes=CLASSES) as running:
        assert running.client().ask(query(op, ttl=None)).sqlstate == "58000"
        assert 1 <= sum(len(engine.queries) for engine in engines) <= most
        assert running.client().ask(query("once")).sqlstate == "58000"  # not a class of these settings
        assert not [done for engine in engines for done in engine.queries if done.fields["class"] == "once"]


def test_deadlines_come_from_the_settings() -> None:
    with deployment(Engine(mode="silent"), classes=CLASSES) as running:
        answer = running.client().ask(query("lookup", ttl=60_000))
        assert answer.sqlstate == "58000"
        assert 0 < int(running.engines[0].queries[0].fields["wait"]) <= 900


@pytest.mark.parametrize(
    "classes",
    [[], None, [{"Name": "a"}], [{"DeadlineUs": 5}], [{"Name": "a", "DeadlineUs": "soon"}], ["a"], 7],
)
def test_incomplete_settings_end_the_program_with_one_line(tmp_path: Path, classes: Any) -> None:
    document = settings()
    document["Classes"] = classes
    config = {
        "listen": "127.0.0.1:1",
        "bulletin": "127.0.0.1:9",
        "limits": {"memory_mb": 64, "sockets": 256},
        "settings": document,
    }
    gateway = Gateway(json.loads(json.dumps(config)), tmp_path)
    try:
        assert gateway.process.wait(WAIT_TIMEOUT_S) == 1
        assert len(gateway.log_text().splitlines()) == 1 and "can't be used" in gateway.log_text()
    finally:
        gateway.kill()


def test_the_engine_list_is_followed_again_while_idle_clients_use_all_descriptors() -> None:
    with deployment(Engine("s-1"), Engine("s-2"), sockets=64) as running:
        wait_for(lambda: running.bulletin.requested_events)
        running.bulletin.muted = True
        idle = [Client(running.port, start=False) for _ in range(60)]
        request_count = len(running.bulletin.requested_events)
        # A new connection to the bulletin, which needs a descriptor of its own.
        wait_for(lambda: len(running.bulletin.requested_events) > request_count)
        idle += [Client(running.port, start=False) for _ in range(60)]
        running.bulletin.publish(running.engines[0].entry("leaving"))
        running.bulletin.muted = False

        def moved() -> bool:
            before = len(running.engines[0].queries)
            assert all(running.client().ask(query()).rows for _ in range(6))
            return len(running.engines[0].queries) == before

        wait_for(moved)
        for client in idle:
            client.close()
