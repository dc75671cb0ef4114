"""Versions of the settings among processes of the program, with faults between them."""

import json
import os
import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from tests.test_fleet import FleetRig
from whintrail.cli import main
from whintrail.standins.peers import fleet, lossy, sound, split
from whintrail.standins.scripted import Answer, Bulletin, Engine, query, wait_for


@contextmanager
def start_rig(folder: Path, size: int = 4, engines: int = 2) -> Iterator[FleetRig]:
    def operator(number: int, build: str) -> dict[str, Any]:
        part = {"name": "f", "council": [0, 1, 2], "use_within_s": 1.0, "quarantine_s": 2.0}
        versions = {"lease_s": 1.0, "check_s": 8.0}  # longer than any is stopped here
        return {"fleet": {**part, "versions": versions, "socket": str(folder / f"s{number}")}}

    stands = [Engine(f"s-{n + 1}") for n in range(engines)]
    with fleet(size, *stands, operator=operator) as given:
        found = FleetRig(given, folder)
        found.wait_for_leader()
        yield found


def ask_gateway(given: FleetRig, number: int, text: str) -> Answer:
    client = given.fleet.client(number)
    try:
        return client.ask(text)
    finally:
        client.close()


def in_force(given: FleetRig, number: int, everywhere: range) -> bool:
    rows = [given.request(n, "settings") for n in everywhere]
    return all(row["acts_by"] == str(number) and row["leased"] for row in rows)


def propose(given: FleetRig, who: int, body: dict[str, Any], word: str = "done") -> None:
    row = given.request(who, "propose", body=body, wait_s=5)
    assert row["word"] == word, row


def test_a_version_is_in_force_everywhere_and_back_again_by_command_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with start_rig(tmp_path) as given:
        file = tmp_path / "rules.jsonnet"
        file.write_text("{ rules: { paused: ['report'], shut: ['s-1'], caps: { lookup: 0 + 50 } } }")
        to = ["--socket", given.socket(3)]
        assert main(["settings", "propose", str(file), "--why", "jam", *to]) == 0
        wait_for(lambda: in_force(given, 1, range(4)))
        for number in range(4):
            assert ask_gateway(given, number, query("report")).sqlstate == "53000"
            assert ask_gateway(given, number, query()).rows
        assert not given.fleet.engines[0].done
        assert main(["settings", "back", "0", *to]) == 0
        wait_for(lambda: in_force(given, 2, range(4)))
        assert all(ask_gateway(given, number, query("report")).rows for number in range(4))
        capsys.readouterr()
        assert main(["settings", "diff", "1", "2", *to]) == 0
        assert "$.paused.report" in capsys.readouterr().out
        assert main(["settings", "history", *to, "--format", "json"]) == 0
        rows = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
        assert [row["version"] for row in rows] == [2, 1] and rows[1]["why"] == "jam"
        assert main(["settings", "status", *to]) == 0
        assert main(["settings", "explain", "homes"]) == 0
        file.write_text("{ rules: { paused: ['nothing of the kind'] } }")
        assert main(["settings", "propose", str(file), *to]) == 1  # refused where it is proposed
        assert "no such class" in capsys.readouterr().err
        file.write_text("{ rules: { pause: [] } }")
        assert main(["settings", "propose", str(file), *to]) == 1


def test_two_proposals_at_once_and_the_proposer_killed(tmp_path: Path) -> None:
    with start_rig(tmp_path) as given:
        propose(given, 2, {"caps": {"lookup": 7}})
        propose(given, 3, {"caps": {"lookup": 8}}, "refused")
        given.kill(2)
        given.start(2)
        # It is in force if all had its body by then, or was dropped: never half.
        wait_for(lambda: given.request(0, "settings")["next"] is None)
        number = given.request(0, "settings")["in_force"]
        wait_for(lambda: in_force(given, number, range(4)))
        propose(given, 3, {"caps": {"lookup": 8}})
        wait_for(lambda: in_force(given, number + 1, range(4)))
        assert {given.request(n, "settings")["rules"]["caps"]["lookup"] for n in range(4)} == {8}


def test_a_gateway_paused_during_a_change_refuses_at_once_when_it_resumes(tmp_path: Path) -> None:
    with start_rig(tmp_path) as given:
        client = given.fleet.client(3)
        assert client.ask(query()).rows
        process = given.fleet.gateways[3].process
        propose(given, 0, {"paused": ["once"]})
        wait_for(lambda: in_force(given, 1, range(4)))
        propose(given, 0, {"paused": ["once", "report"]})
        os.kill(process.pid, signal.SIGSTOP)
        time.sleep(3.0)
        client.send(query("once"))  # waits in its socket
        os.kill(process.pid, signal.SIGCONT)
        assert client.answer().sqlstate == "53000"  # by the merge of what it knew last
        client.close()
        wait_for(lambda: in_force(given, 2, range(4)))
        assert ask_gateway(given, 3, query("report")).sqlstate == "53000"


def test_a_minority_keeps_serving_and_a_restarted_gateway_catches_up(tmp_path: Path) -> None:
    with start_rig(tmp_path, size=5) as given:
        given.fleet.relay.fault = lossy(0.2, most_s=0.02)
        propose(given, 4, {"caps": {"lookup": 7}})
        wait_for(lambda: in_force(given, 1, range(5)))
        given.fleet.relay.fault = split({0, 4}, {1, 2, 3})
        given.wait_for_leader(excluded=0)
        wait_for(lambda: not given.request(4, "settings")["leased"])
        assert ask_gateway(given, 4, query()).rows
        propose(given, 4, {"caps": {"lookup": 1}}, "later")
        given.kill(2)
        given.start(2)  # from nothing
        given.fleet.relay.fault = sound
        wait_for(lambda: in_force(given, 1, range(5)))
        assert given.request(2, "settings")["rules"]["caps"] == {"lookup": 7}


def test_a_gateway_with_a_late_bulletin_takes_only_exclusions_from_peers(tmp_path: Path) -> None:
    with start_rig(tmp_path) as given:
        one, two = given.fleet.engines
        late = given.fleet.own[3] = Bulletin()
        late.publish(one.entry(), two.entry(), reset=True)
        given.kill(3)
        given.start(3)
        late.mute = True
        shared = given.fleet.bulletin
        shared.publish(one.entry("leaving"))  # the second generation
        wait_for(lambda: given.request(3, "lists")["shut_by_others"] == ["s-1"])
        before = len(one.done)
        client = given.fleet.client(3)
        assert all(client.ask(query()).rows for _ in range(10))
        client.close()
        assert len(one.done) == before
        wait_for(lambda: given.request(3, "lists")["old"])
        assert not given.request(0, "lists")["old"]
        late.publish(one.entry("leaving"))
        late.mute = False
        wait_for(lambda: given.request(3, "lists")["shut_by_others"] == [])
        assert given.request(3, "lists")["digest"] == given.request(0, "lists")["digest"]
        late.publish(one.entry(), reset=True)  # a third of its own: another list under that generation
        shared.publish(one.entry("left"))
        wait_for(lambda: given.request(3, "lists")["contradictions"] > 0)
        assert main(["lists", "status", "--socket", given.socket(3)]) == 0


def test_rules_of_a_file_apply_on_sighup_without_versions(tmp_path: Path) -> None:
    """Today's way. A file that can't be used changes nothing; without rules all is as before."""
    rules: dict[str, Any] = {"paused": ["report"]}
    with fleet(1, Engine("s-1"), operator=lambda number, build: {"rules": rules}) as given:
        client, file = given.client(0), given.folder / "n0" / "operator.jsonnet"
        assert client.ask(query("report")).sqlstate == "53000" and client.ask(query()).rows

        def reload(data: dict[str, Any]) -> None:
            file.write_text(json.dumps(data))
            given.gateways[0].signal(signal.SIGHUP)

        reload({"rules": {"paused": ["none such"]}})
        wait_for(lambda: "no such class here" in given.gateways[0].text())
        assert client.ask(query("report")).sqlstate == "53000"
        reload({"rules": {"caps": {"lookup": 0}}})
        wait_for(lambda: client.ask(query()).sqlstate == "53000")
        assert client.ask(query("report")).rows
        reload({})
        wait_for(lambda: client.ask(query()).rows)
        client.close()


def test_rules_of_a_file_are_only_compared_where_versions_are_agreed(tmp_path: Path) -> None:
    with start_rig(tmp_path, size=3) as given:
        file = given.fleet.folder / "n2" / "operator.jsonnet"
        data = json.loads(file.read_text())
        file.write_text(json.dumps({**data, "rules": {"paused": ["report"]}}))
        given.fleet.gateways[2].signal(signal.SIGHUP)
        wait_for(lambda: "rules of the file differ" in given.fleet.gateways[2].text())
        assert ask_gateway(given, 2, query("report")).rows
