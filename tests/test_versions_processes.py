"""Settings versions between gateway processes, with network faults, crashes and pauses."""

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
from whintrail.standins.gateway_fleet import deliver_once, fleet, lossy, partition
from whintrail.standins.scripted import Answer, Bulletin, Engine, query, wait_for


@contextmanager
def start_rig(folder: Path, size: int = 4, engines: int = 2) -> Iterator[FleetRig]:
    def operator_file(number: int, build: str) -> dict[str, Any]:
        fleet_settings = {"name": "f", "council": [0, 1, 2], "use_within_s": 1.0, "quarantine_s": 2.0}
        versions = {"lease_s": 1.0, "check_s": 8.0}  # check_s: longer than any pause in these tests
        return {"fleet": {**fleet_settings, "versions": versions, "socket": str(folder / f"s{number}")}}

    stand_ins = [Engine(f"s-{n + 1}") for n in range(engines)]
    with fleet(size, *stand_ins, operator=operator_file) as processes:
        rig = FleetRig(processes, folder)
        rig.wait_for_leader()
        yield rig


def ask_gateway(rig: FleetRig, number: int, text: str) -> Answer:
    client = rig.fleet.client(number)
    try:
        return client.ask(text)
    finally:
        client.close()


def in_force(rig: FleetRig, number: int, gateways: range) -> bool:
    rows = [rig.request(n, "settings") for n in gateways]
    return all(row["acts_by"] == str(number) and row["leased"] for row in rows)


def propose(rig: FleetRig, gateway: int, body: dict[str, Any], outcome: str = "done") -> None:
    row = rig.request(gateway, "propose", body=body, wait_s=5)
    assert row["word"] == outcome, row


def test_a_version_is_in_force_everywhere_and_back_again_by_command_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with start_rig(tmp_path) as rig:
        file = tmp_path / "rules.jsonnet"
        file.write_text("{ rules: { paused: ['report'], shut: ['s-1'], caps: { lookup: 0 + 50 } } }")
        socket_args = ["--socket", rig.socket(3)]
        assert main(["settings", "propose", str(file), "--why", "jam", *socket_args]) == 0
        wait_for(lambda: in_force(rig, 1, range(4)))
        for number in range(4):
            assert ask_gateway(rig, number, query("report")).sqlstate == "53000"
            assert ask_gateway(rig, number, query()).rows
        assert not rig.fleet.engines[0].queries
        assert main(["settings", "back", "0", *socket_args]) == 0
        wait_for(lambda: in_force(rig, 2, range(4)))
        assert all(ask_gateway(rig, number, query("report")).rows for number in range(4))
        capsys.readouterr()
        assert main(["settings", "diff", "1", "2", *socket_args]) == 0
        assert "$.paused.report" in capsys.readouterr().out
        assert main(["settings", "history", *socket_args, "--format", "json"]) == 0
        rows = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
        assert [row["version"] for row in rows] == [2, 1] and rows[1]["why"] == "jam"
        assert main(["settings", "status", *socket_args]) == 0
        assert main(["settings", "explain", "homes"]) == 0
        file.write_text("{ rules: { paused: ['nothing of the kind'] } }")
        assert (
            main(["settings", "propose", str(file), *socket_args]) == 1
        )  # rejected by the gateway that would propose it
        assert "no such class" in capsys.readouterr().err
        file.write_text("{ rules: { pause: [] } }")
        assert main(["settings", "propose", str(file), *socket_args]) == 1


def test_two_proposals_at_once_and_the_proposer_killed(tmp_path: Path) -> None:
    with start_rig(tmp_path) as rig:
        propose(rig, 2, {"caps": {"lookup": 7}})
        propose(rig, 3, {"caps": {"lookup": 8}}, "refused")
        rig.kill(2)
        rig.start(2)
        # It is in force if all had its rules by then, else it was dropped; nothing in between.
        wait_for(lambda: rig.request(0, "settings")["next"] is None)
        number = rig.request(0, "settings")["in_force"]
        wait_for(lambda: in_force(rig, number, range(4)))
        propose(rig, 3, {"caps": {"lookup": 8}})
        wait_for(lambda: in_force(rig, number + 1, range(4)))
        assert {rig.request(n, "settings")["rules"]["caps"]["lookup"] for n in range(4)} == {8}


def test_a_gateway_paused_during_a_change_refuses_at_once_when_it_resumes(tmp_path: Path) -> None:
    with start_rig(tmp_path) as rig:
        client = rig.fleet.client(3)
        assert client.ask(query()).rows
        process = rig.fleet.gateways[3].process
        propose(rig, 0, {"paused": ["once"]})
        wait_for(lambda: in_force(rig, 1, range(4)))
        propose(rig, 0, {"paused": ["once", "report"]})
        os.kill(process.pid, signal.SIGSTOP)
        time.sleep(3.0)
        client.send_query(query("once"))  # stays in its socket buffer
        os.kill(process.pid, signal.SIGCONT)
        assert client.read_answer().sqlstate == "53000"  # by the merge of the last versions it knew
        client.close()
        wait_for(lambda: in_force(rig, 2, range(4)))
        assert ask_gateway(rig, 3, query("report")).sqlstate == "53000"


def test_a_minority_keeps_serving_and_a_restarted_gateway_catches_up(tmp_path: Path) -> None:
    with start_rig(tmp_path, size=5) as rig:
        rig.fleet.relay.fault = lossy(0.2, max_delay_s=0.02)
        propose(rig, 4, {"caps": {"lookup": 7}})
        wait_for(lambda: in_force(rig, 1, range(5)))
        rig.fleet.relay.fault = partition({0, 4}, {1, 2, 3})
        rig.wait_for_leader(excluded=0)
        wait_for(lambda: not rig.request(4, "settings")["leased"])
        assert ask_gateway(rig, 4, query()).rows
        propose(rig, 4, {"caps": {"lookup": 1}}, "later")
        rig.kill(2)
        rig.start(2)  # without state
        rig.fleet.relay.fault = deliver_once
        wait_for(lambda: in_force(rig, 1, range(5)))
        assert rig.request(2, "settings")["rules"]["caps"] == {"lookup": 7}


def test_a_gateway_with_a_late_bulletin_takes_only_exclusions_from_peers(tmp_path: Path) -> None:
    with start_rig(tmp_path) as rig:
        one, two = rig.fleet.engines
        late_bulletin = rig.fleet.bulletin_overrides[3] = Bulletin()
        late_bulletin.publish(one.entry(), two.entry(), reset=True)
        rig.kill(3)
        rig.start(3)
        late_bulletin.muted = True
        shared_bulletin = rig.fleet.bulletin
        shared_bulletin.publish(one.entry("leaving"))  # the second generation
        wait_for(lambda: rig.request(3, "lists")["shut_by_others"] == ["s-1"])
        done_before = len(one.queries)
        client = rig.fleet.client(3)
        assert all(client.ask(query()).rows for _ in range(10))
        client.close()
        assert len(one.queries) == done_before
        wait_for(lambda: rig.request(3, "lists")["old"])
        assert not rig.request(0, "lists")["old"]
        late_bulletin.publish(one.entry("leaving"))
        late_bulletin.muted = False
        wait_for(lambda: rig.request(3, "lists")["shut_by_others"] == [])
        assert rig.request(3, "lists")["digest"] == rig.request(0, "lists")["digest"]
        late_bulletin.publish(one.entry(), reset=True)  # its third generation is another list
        shared_bulletin.publish(one.entry("left"))
        wait_for(lambda: rig.request(3, "lists")["contradictions"] > 0)
        assert main(["lists", "status", "--socket", rig.socket(3)]) == 0


def test_rules_of_a_file_apply_on_sighup_without_versions(tmp_path: Path) -> None:
    """Without settings versions, SIGHUP applies a file's rules. An invalid file changes nothing; a file
    without rules lifts them."""
    rules: dict[str, Any] = {"paused": ["report"]}
    with fleet(1, Engine("s-1"), operator=lambda number, build: {"rules": rules}) as processes:
        client, file = processes.client(0), processes.folder / "n0" / "operator.jsonnet"
        assert client.ask(query("report")).sqlstate == "53000" and client.ask(query()).rows

        def reload(data: dict[str, Any]) -> None:
            file.write_text(json.dumps(data))
            processes.gateways[0].signal(signal.SIGHUP)

        reload({"rules": {"paused": ["none such"]}})
        wait_for(lambda: "no such class here" in processes.gateways[0].log_text())
        assert client.ask(query("report")).sqlstate == "53000"
        reload({"rules": {"caps": {"lookup": 0}}})
        wait_for(lambda: client.ask(query()).sqlstate == "53000")
        assert client.ask(query("report")).rows
        reload({})
        wait_for(lambda: client.ask(query()).rows)
        client.close()


def test_rules_of_a_file_are_only_compared_where_versions_are_agreed(tmp_path: Path) -> None:
    with start_rig(tmp_path, size=3) as rig:
        file = rig.fleet.folder / "n2" / "operator.jsonnet"
        data = json.loads(file.read_text())
        file.write_text(json.dumps({**data, "rules": {"paused": ["report"]}}))
        rig.fleet.gateways[2].signal(signal.SIGHUP)
        wait_for(lambda: "rules of the file differ" in rig.fleet.gateways[2].log_text())
        assert ask_gateway(rig, 2, query("report")).rows
