"""Drains, restarts and releases of a fleet of real gateway processes, with faults between them."""

import os
import signal
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from itertools import count
from pathlib import Path
from typing import Any

import pytest

from whintrail.cli import main
from whintrail.control import send_request
from whintrail.standins.gateway_fleet import GatewayFleet, deliver_once, fleet, lossy, partition
from whintrail.standins.scripted import Engine, query, wait_for


class FleetRig:
    """A running fleet of gateway processes, with their operator's files and local sockets."""

    def __init__(self, processes: GatewayFleet, folder: Path) -> None:
        self.fleet, self.folder = processes, folder

    def socket(self, number: int) -> str:
        return str(self.folder / f"s{number}")

    def request(self, number: int, command: str, **params: Any) -> dict[str, Any]:
        """Sends a command to a gateway's local socket and returns its answer."""
        return next(send_request(self.socket(number), {"what": command, **params}, 30))

    def status(self, number: int) -> dict[str, Any]:
        return self.request(number, "status")

    def leader(self) -> int | None:
        """The number of the gateway that says it is the leader."""
        for number, gateway in enumerate(self.fleet.gateways):
            if gateway.process.poll() is None and "out" in self.status(number):
                return number
        return None

    def wait_for_leader(self, excluded: int = -1) -> int:
        found: list[int] = []

        def has_leader() -> bool:
            number = self.leader()
            if number is not None and number != excluded:
                found.append(number)
            return bool(found)

        wait_for(has_leader)
        return found[0]

    def kill(self, number: int) -> None:
        self.fleet.gateways[number].process.kill()
        self.fleet.gateways[number].kill()

    def start(self, number: int, build: str = "") -> None:
        self.fleet.gateways[number] = self.fleet.start(number, build)
        wait_for(lambda: self.fleet.is_ready(number))

    def wait_for_exit(self, number: int) -> None:
        wait_for(lambda: self.fleet.gateways[number].process.poll() is not None)


@contextmanager
def run_fleet(
    folder: Path,
    size: int,
    engines: int = 2,
    zones: int = 3,
    voters: int = 3,
    timeline: str = "",
    new_build_config: dict[str, Any] | None = None,  # more settings of gateways on the new build
    **budgets: float,
) -> Iterator[FleetRig]:
    """Starts a fleet with a leader; `budgets` overrides the disruption budgets."""

    def operator(number: int, build: str) -> dict[str, Any]:
        line = {"timeline": {"socket": f"{timeline}{number}"}} if timeline else {}
        return {
            **line,
            **((new_build_config or {}) if build == "new" else {}),
            "fleet": {
                "name": "f",
                "council": list(range(voters)),
                "build": build,
                "out": {"gateways": 1, "gateways_a_zone": 1, "engines": 1, **budgets},
                "use_within_s": 1.0,
                "quarantine_s": 2.0,
                "proven_s": 0.5,
                "socket": str(folder / f"s{number}"),
            },
        }

    with fleet(
        size, *(Engine(f"s-{n + 1}") for n in range(engines)), operator=operator, zones=zones
    ) as processes:
        started = FleetRig(processes, folder)
        started.wait_for_leader()
        yield started


def test_restart_with_slot_and_drain_from_command_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with run_fleet(tmp_path, 4) as rig:
        socket_args = ["--socket", rig.socket(3)]
        assert main(["fleet", "may-restart", "--wait-s", "10", "--stop", *socket_args]) == 0
        assert "it may restart (fence 1)" in capsys.readouterr().out
        rig.wait_for_exit(3)
        assert rig.fleet.gateways[3].process.returncode == 0
        assert rig.status(0)["slots"] == {"n3": 1}  # it keeps its slot until it is back
        assert main(["fleet", "may-restart", "--socket", rig.socket(1)]) == 4
        assert "1 of 1 out" in capsys.readouterr().err
        rig.start(3)
        wait_for(lambda: not rig.status(0)["slots"])
        assert main(["fleet", "drain", "s-1", "--why", "disk", *socket_args]) == 0
        assert main(["fleet", "drain", "s-2", *socket_args]) == 3  # the budget allows one unavailable engine
        assert "s-1 (drained)" in capsys.readouterr().err
        wait_for(lambda: rig.status(0)["drains"]["s-1"]["done"])
        for number in range(4):
            client = rig.fleet.client(number)
            assert client.ask(query()).rows
            client.close()
        assert not rig.fleet.engines[0].queries
        assert main(["fleet", "undrain", "s-1", *socket_args]) == 0
        assert main(["fleet", "members", "--socket", rig.socket(0)]) == 0
        assert main(["fleet", "status", *socket_args, "--format", "json"]) == 0
        assert main(["fleet", "release", "halt", *socket_args]) == 3
        assert main(["fleet", "release", "start", "b", "--steps", "0.5,0.2", *socket_args]) == 2
        assert main(["fleet", "status", "--socket", str(tmp_path / "none")]) == 1


def test_drain_waits_for_running_query_and_reaches_all_gateways(tmp_path: Path) -> None:
    with run_fleet(tmp_path, 3) as rig:
        first_engine, second_engine = rig.fleet.engines
        second_engine.mode = first_engine.mode = "wait"
        client = rig.fleet.client(2)
        client.send_query(query())
        wait_for(lambda: first_engine.queries or second_engine.queries)
        name, engine = ("s-1", first_engine) if first_engine.queries else ("s-2", second_engine)
        row = rig.request(1, "drain", engine=name, wait_s=5)
        assert row["word"] == "done", row
        agreed_at = time.monotonic()
        wait_for(lambda: rig.status(0)["drains"].get(name, {}).get("done") is False)
        wait_for(lambda: rig.status(0)["waits_for"].get(name) == ["n2"])
        assert not rig.status(0)["drains"][name]["done"]
        first_engine.mode = second_engine.mode = "serve"
        assert client.read_answer().rows
        client.close()
        wait_for(lambda: rig.status(0)["drains"][name]["done"])
        for number in range(3):
            client = rig.fleet.client(number)
            assert all(client.ask(query()).rows for _ in range(5))
            client.close()
        assert all(run.received_at < agreed_at + 0.25 for run in engine.queries)


def test_concurrent_slot_requests_and_crashed_or_paused_holder(tmp_path: Path) -> None:
    with run_fleet(tmp_path, 5, voters=3) as rig:
        rows: dict[int, dict[str, Any]] = {}

        def request_slot(number: int) -> None:
            rows[number] = rig.request(number, "may-restart", wait_s=2, wait=True)

        threads = [threading.Thread(target=request_slot, args=(number,)) for number in (3, 4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        fences = sorted(row["fence"] for row in rows.values() if row["word"] == "done")
        assert fences and len(set(fences)) == len(fences)  # one after the other, or only one
        wait_for(lambda: not rig.status(0)["slots"])  # neither was used, so both were returned
        # A crashed holder keeps its slot until an operator gives it up, and counts until it is back.
        assert rig.request(3, "may-restart", wait_s=5, wait=True)["word"] == "done"
        rig.kill(3)
        time.sleep(2.0)
        assert "n3" in rig.status(0)["slots"]
        assert rig.request(4, "may-restart", wait_s=1)["word"] == "later"
        # It can be given up once its silence is noticed.
        wait_for(lambda: rig.request(4, "give-up", member=3, wait_s=5)["word"] == "done")
        rig.start(3)
        # A holder that was paused past its deadline has no usable slot; its exit without one is counted.
        assert rig.request(4, "may-restart", wait_s=20, wait=True)["word"] == "done"
        process = rig.fleet.gateways[4].process
        os.kill(process.pid, signal.SIGSTOP)
        time.sleep(2.5)
        os.kill(process.pid, signal.SIGCONT)
        process.send_signal(signal.SIGTERM)
        rig.wait_for_exit(4)
        assert "left_without_slot=1" in rig.fleet.gateways[4].log_text()
        wait_for(lambda: "n4" in rig.status(0).get("out", {"n4": ""}))
        rig.start(4)
        wait_for(lambda: not rig.status(0)["slots"])  # freed once the new process has served


def test_leader_crash_then_rolling_and_simultaneous_voter_restart(tmp_path: Path) -> None:
    with run_fleet(tmp_path, 4) as rig:
        assert rig.request(3, "drain", engine="s-1", wait_s=5)["word"] == "done"
        wait_for(lambda: all("s-1" in rig.status(n)["drains"] for n in range(4)))
        first = rig.wait_for_leader()
        started_at = time.monotonic()
        rig.kill(first)
        second = rig.wait_for_leader(excluded=first)
        assert time.monotonic() - started_at < 5  # 3 s, and a margin for a busy machine
        rig.start(first)
        wait_for(lambda: rig.status(first)["council"] == "follower")
        for number in range(3):
            rig.kill(number)
            rig.start(number)
            wait_for(lambda number=number: rig.status(number)["council"] != "recovering")  # type: ignore[misc]
            rig.wait_for_leader()
        epoch = rig.status(second)["epoch"]
        assert "s-1" in rig.status(0)["drains"]
        for number in range(3):
            rig.kill(number)
        for number in range(3):
            rig.start(number)
        rig.wait_for_leader()
        # All voters lost their state and recovered it from the fourth gateway.
        assert rig.status(0)["epoch"] == epoch + 1
        wait_for(lambda: all("s-1" in rig.status(n)["drains"] for n in range(4)))


def test_partition_and_datagram_loss(tmp_path: Path) -> None:
    with run_fleet(tmp_path, 5) as rig:
        rig.fleet.relay.fault = lossy(0.33, max_delay_s=0.05)
        assert rig.request(4, "drain", engine="s-1", wait_s=10)["word"] == "done"
        assert rig.request(3, "undrain", engine="s-1", wait_s=10)["word"] == "done"
        rig.fleet.relay.fault = partition({0, 3}, {1, 2, 4})
        rig.wait_for_leader(excluded=0)
        assert rig.request(3, "drain", engine="s-2", wait_s=2)["word"] == "later"  # no quorum on its side
        assert rig.request(4, "drain", engine="s-2", wait_s=10)["word"] == "done"
        client = rig.fleet.client(3)
        assert client.ask(query()).rows  # it serves though it is cut off
        client.close()
        leader = rig.wait_for_leader(excluded=0)
        time.sleep(1.0)
        assert "n3" in rig.status(leader)["waits_for"]["s-2"]  # the unreachable gateway is named
        rig.fleet.relay.fault = deliver_once
        wait_for(lambda: rig.status(leader)["drains"]["s-2"]["done"])
        wait_for(lambda: "s-2" in rig.status(3)["drains"])


def test_every_request_has_one_answer_during_a_release(tmp_path: Path) -> None:
    """Restarts all six gateways with slots, including the leader, under a mixed load.

    Guards against requests that get no answer or a second one, and loads that run twice.
    """
    with run_fleet(tmp_path, 6, zones=6, gateways=2) as rig:
        stop, answers, wrong = threading.Event(), Counter[str](), list[str]()
        load_ids, numbers = set[str](), count(1)

        def client(number: int) -> None:
            while not stop.is_set():
                try:
                    session = rig.fleet.client(number)
                except OSError:
                    answers["refused connection"] += 1
                    time.sleep(0.02)
                    continue
                try:
                    for _ in range(20):
                        turn = next(numbers)
                        text = query("lookup" if turn % 3 else "once")
                        if turn % 3 == 0:
                            load_ids.add(text.partition("call=")[2][:16])
                        answer = session.ask(text)
                        if not answer.transaction_status:
                            answers["closed"] += 1  # the connection ended without an answer
                            break
                        answers["served" if answer.rows else answer.sqlstate or "none"] += 1
                        if not answer.rows and answer.sqlstate is None:
                            wrong.append(answer.error_text)
                        time.sleep(0.005)
                except OSError:
                    answers["closed"] += 1
                finally:
                    session.close()

        threads = [threading.Thread(target=client, args=(n,), daemon=True) for n in range(6)]
        for thread in threads:
            thread.start()
        for number in range(6):
            row = rig.request(number, "may-restart", wait_s=30, wait=True, stop=True)
            assert row["word"] == "done", row
            rig.wait_for_exit(number)
            rig.start(number, "new")
        stop.set()
        for thread in threads:
            thread.join(15)
        assert not wrong and answers["served"] > 500, answers
        runs_by_id = Counter(
            run.id for engine in rig.fleet.engines for run in engine.queries if run.id in load_ids
        )
        assert len(runs_by_id) > 100 and set(runs_by_id.values()) == {1}  # no load ran twice
        assert answers["58000"] == 0, answers


def test_committed_decisions_appear_in_the_timeline(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with run_fleet(tmp_path, 3, timeline=str(tmp_path / "line")) as rig:
        assert rig.request(1, "drain", engine="s-1", wait_s=5)["word"] == "done"
        assert rig.request(2, "drain", engine="s-2", wait_s=5)["word"] == "refused"
        assert rig.request(2, "may-restart", wait_s=5, wait=True)["word"] == "done"
        leader = rig.wait_for_leader()
        path = f"{tmp_path / 'line'}{leader}"

        def shown(engine: str) -> str:
            assert main(["timeline", "show", "--socket", path, engine]) == 0
            return capsys.readouterr().out

        wait_for(lambda: "AGREED engine drained" in shown("s-1") and "listed as draining" in shown("s-1"))
        wait_for(lambda: "AGREED slot granted" in shown("(fleet)"))
        assert "gateway 2" in shown("(fleet)") and "drain refused" in shown("(fleet)")


def run_load(rig: FleetRig, number: int, sessions: int, seconds: float) -> None:
    """Runs a number of concurrent clients against a gateway."""
    end = time.monotonic() + seconds

    def client() -> None:
        session = rig.fleet.client(number)
        while time.monotonic() < end:
            session.ask(query())
        session.close()

    threads = [threading.Thread(target=client) for _ in range(sessions)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def test_canary_failing_under_load_halts_release_then_rollback(tmp_path: Path) -> None:
    with run_fleet(tmp_path, 4, zones=4, new_build_config={"rules": {"caps": {"lookup": 2}}}) as rig:
        for engine in rig.fleet.engines:
            engine.delay = 0.03
        assert rig.request(1, "release", build="new", steps=(0.25, 1.0), wait_s=5)["word"] == "done"
        assert rig.request(3, "may-restart", wait_s=20, wait=True, stop=True)["word"] == "done"
        rig.wait_for_exit(3)
        rig.start(3, "new")
        wait_for(lambda: not rig.status(0)["slots"])
        threads = [threading.Thread(target=run_load, args=(rig, n, 1, 2.0)) for n in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert rig.status(0)["release"]["status"] == "running"  # a single client sees no failure
        # The step has all its gateways.
        assert rig.request(2, "may-restart", wait_s=2, wait=True)["word"] == "later"
        threads = [threading.Thread(target=run_load, args=(rig, n, 6, 6.0)) for n in range(4)]
        for thread in threads:
            thread.start()
        wait_for(lambda: rig.status(0)["release"]["status"] == "halted")
        assert "refused" in rig.status(0)["release"]["why"]
        for thread in threads:
            thread.join()
        row = rig.request(2, "may-restart", wait_s=2, wait=True)
        assert row["word"] == "later" and "halted" in row["text"]
        assert rig.request(0, "back", wait_s=5)["word"] == "done"
        assert rig.request(3, "may-restart", wait_s=20, wait=True, stop=True)["word"] == "done"
        rig.wait_for_exit(3)
        rig.start(3)
        wait_for(lambda: rig.status(0)["release"]["status"] == "done")


def test_halt_during_partition_and_three_way_voter_split(tmp_path: Path) -> None:
    with run_fleet(tmp_path, 5) as rig:
        assert rig.request(4, "release", build="new", steps=(1.0,), wait_s=5)["word"] == "done"
        rig.fleet.relay.fault = partition({0, 3}, {1, 2, 4})
        rig.wait_for_leader(excluded=0)
        assert rig.request(4, "halt", why="by hand", wait_s=10)["word"] == "done"
        time.sleep(1.0)
        # The halt has not reached it.
        assert rig.request(3, "may-restart", wait_s=2, wait=True)["word"] == "later"
        assert rig.request(4, "may-restart", wait_s=2, wait=True)["word"] == "later"
        rig.fleet.relay.fault = partition({0}, {1, 3}, {2, 4})
        wait_for(lambda: rig.leader() is None)
        assert rig.request(4, "resume", wait_s=2)["word"] == "later"  # there is no leader
        rig.fleet.relay.fault = deliver_once
        rig.wait_for_leader()
        wait_for(lambda: rig.status(3)["release"]["status"] == "halted")


def test_leader_crash_before_announcing_grant_then_zone_loss(tmp_path: Path) -> None:
    with run_fleet(tmp_path, 6, zones=3, gateways=2) as rig:
        leader = rig.wait_for_leader()
        assert rig.request(4, "release", build="new", steps=(1.0,), wait_s=5)["word"] == "done"
        holder = next(n for n in (3, 4, 5) if n % 3 != leader % 3)
        # Only voters receive what the leader sends, so it grants the slot but can't announce it.
        rig.fleet.relay.fault = lambda a, b, _: [] if a == leader and b not in range(3) else [0.0]
        rows: list[dict[str, Any]] = []
        requester = threading.Thread(
            target=lambda: rows.append(rig.request(holder, "may-restart", wait_s=25, wait=True))
        )
        requester.start()
        wait_for(lambda: f"n{holder}" in rig.status(leader)["slots"])
        rig.kill(leader)
        rig.fleet.relay.fault = deliver_once
        second = rig.wait_for_leader(excluded=leader)
        assert f"n{holder}" in rig.status(second)["slots"] or rows  # one slot, whichever gateway leads
        rig.start(leader)
        requester.join(30)
        assert rows and rows[0]["word"] == "done"
        # A zone is lost during the release: two gateways are unavailable, so no other may restart.
        wait_for(lambda: not rig.status(second)["slots"])
        lost = [n for n in range(6) if n % 3 == holder % 3 and n != second]
        for number in lost:
            rig.kill(number)
        second_engine = next(n for n in range(6) if n not in lost and n != second)
        time.sleep(3.0)
        if len(lost) == 2:
            assert rig.request(second_engine, "may-restart", wait_s=2, wait=True)["word"] == "later"
        for number in lost:
            rig.start(number, "new")
        wait_for(lambda: rig.request(second_engine, "may-restart", wait_s=5, wait=True)["word"] == "done")
