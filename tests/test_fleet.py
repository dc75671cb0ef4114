"""The fleet as processes of the program: drains, restarts and releases with faults between them."""

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
from whintrail.standins.peers import Fleet, fleet, lossy, sound, split
from whintrail.standins.scripted import Engine, query, wait_for


class FleetRig:
    """A fleet of processes, their operator's files, and their local sockets."""

    def __init__(self, given: Fleet, folder: Path) -> None:
        self.fleet, self.folder = given, folder

    def socket(self, number: int) -> str:
        return str(self.folder / f"s{number}")

    def request(self, number: int, command: str, **params: Any) -> dict[str, Any]:
        return next(send_request(self.socket(number), {"what": command, **params}, 30))

    def status(self, number: int) -> dict[str, Any]:
        return self.request(number, "status")

    def leader(self) -> int | None:
        """Who says of itself that it leads."""
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
        self.fleet.gateways[number].end()

    def start(self, number: int, build: str = "") -> None:
        self.fleet.gateways[number] = self.fleet.start(number, build)
        wait_for(lambda: self.fleet.ready(number))

    def wait_for_exit(self, number: int) -> None:
        wait_for(lambda: self.fleet.gateways[number].process.poll() is not None)


@contextmanager
def run_fleet(
    folder: Path,
    size: int,
    engines: int = 2,
    zones: int = 3,
    council: int = 3,
    timeline: str = "",
    new_build_config: dict[str, Any] | None = None,  # of the file of gateways on the new build
    **budgets: float,
) -> Iterator[FleetRig]:
    def operator(number: int, build: str) -> dict[str, Any]:
        line = {"timeline": {"socket": f"{timeline}{number}"}} if timeline else {}
        return {
            **line,
            **((new_build_config or {}) if build == "new" else {}),
            "fleet": {
                "name": "f",
                "council": list(range(council)),
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
    ) as given:
        found = FleetRig(given, folder)
        found.wait_for_leader()
        yield found


def test_restart_with_slot_and_drain_from_command_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with run_fleet(tmp_path, 4) as given:
        to = ["--socket", given.socket(3)]
        assert main(["fleet", "may-restart", "--wait-s", "10", "--stop", *to]) == 0
        assert "it may restart (fence 1)" in capsys.readouterr().out
        given.wait_for_exit(3)
        assert given.fleet.gateways[3].process.returncode == 0
        assert given.status(0)["slots"] == {"n3": 1}  # it is out, and stays so until it is back
        assert main(["fleet", "may-restart", "--socket", given.socket(1)]) == 4
        assert "1 of 1 out" in capsys.readouterr().err
        given.start(3)
        wait_for(lambda: not given.status(0)["slots"])
        assert main(["fleet", "drain", "s-1", "--why", "disk", *to]) == 0
        assert main(["fleet", "drain", "s-2", *to]) == 3  # one engine may be out
        assert "s-1 (drained)" in capsys.readouterr().err
        wait_for(lambda: given.status(0)["drains"]["s-1"]["done"])
        for number in range(4):
            client = given.fleet.client(number)
            assert client.ask(query()).rows
            client.close()
        assert not given.fleet.engines[0].done
        assert main(["fleet", "undrain", "s-1", *to]) == 0
        assert main(["fleet", "members", "--socket", given.socket(0)]) == 0
        assert main(["fleet", "status", *to, "--format", "json"]) == 0
        assert main(["fleet", "release", "halt", *to]) == 3
        assert main(["fleet", "release", "start", "b", "--steps", "0.5,0.2", *to]) == 2
        assert main(["fleet", "status", "--socket", str(tmp_path / "none")]) == 1


def test_drain_waits_for_running_query_and_reaches_all_gateways(tmp_path: Path) -> None:
    with run_fleet(tmp_path, 3) as given:
        one, other = given.fleet.engines
        other.mode = one.mode = "wait"
        client = given.fleet.client(2)
        client.send(query())
        wait_for(lambda: one.done or other.done)
        name, engine = ("s-1", one) if one.done else ("s-2", other)
        row = given.request(1, "drain", engine=name, wait_s=5)
        assert row["word"] == "done", row
        agreed = time.monotonic()
        wait_for(lambda: given.status(0)["drains"].get(name, {}).get("done") is False)
        wait_for(lambda: given.status(0)["waits_for"].get(name) == ["n2"])
        assert not given.status(0)["drains"][name]["done"]
        one.mode = other.mode = "serve"
        assert client.answer().rows
        client.close()
        wait_for(lambda: given.status(0)["drains"][name]["done"])
        for number in range(3):
            client = given.fleet.client(number)
            assert all(client.ask(query()).rows for _ in range(5))
            client.close()
        assert all(did.at < agreed + 0.25 for did in engine.done)


def test_concurrent_slot_requests_and_crashed_or_paused_holder(tmp_path: Path) -> None:
    with run_fleet(tmp_path, 5, council=3) as given:
        rows: dict[int, dict[str, Any]] = {}

        def want(number: int) -> None:
            rows[number] = given.request(number, "may-restart", wait_s=2, wait=True)

        threads = [threading.Thread(target=want, args=(number,)) for number in (3, 4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        fences = sorted(row["fence"] for row in rows.values() if row["word"] == "done")
        assert fences and len(set(fences)) == len(fences)  # one after the other, or one alone
        wait_for(lambda: not given.status(0)["slots"])  # neither was used: given back
        # A holder that dies keeps its slot until it is given up by a person, and counts until it is back.
        assert given.request(3, "may-restart", wait_s=5, wait=True)["word"] == "done"
        given.kill(3)
        time.sleep(2.0)
        assert "n3" in given.status(0)["slots"]
        assert given.request(4, "may-restart", wait_s=1)["word"] == "later"
        wait_for(
            lambda: given.request(4, "give-up", member=3, wait_s=5)["word"] == "done"
        )  # once it is missed
        given.start(3)
        # One that is stopped past the time of its slot wakes to none: it is obeyed, and counted.
        assert given.request(4, "may-restart", wait_s=20, wait=True)["word"] == "done"
        process = given.fleet.gateways[4].process
        os.kill(process.pid, signal.SIGSTOP)
        time.sleep(2.5)
        os.kill(process.pid, signal.SIGCONT)
        process.send_signal(signal.SIGTERM)
        given.wait_for_exit(4)
        assert "left_without_slot=1" in given.fleet.gateways[4].text()
        wait_for(lambda: "n4" in given.status(0).get("out", {"n4": ""}))
        given.start(4)
        wait_for(lambda: not given.status(0)["slots"])  # what it held is free once it is proven back


def test_leader_crash_then_rolling_and_simultaneous_voter_restart(tmp_path: Path) -> None:
    with run_fleet(tmp_path, 4) as given:
        assert given.request(3, "drain", engine="s-1", wait_s=5)["word"] == "done"
        wait_for(lambda: all("s-1" in given.status(n)["drains"] for n in range(4)))
        first = given.wait_for_leader()
        began = time.monotonic()
        given.kill(first)
        second = given.wait_for_leader(excluded=first)
        assert time.monotonic() - began < 5  # 3 s, and what a busy machine adds
        given.start(first)
        wait_for(lambda: given.status(first)["council"] == "follower")
        for number in range(3):
            given.kill(number)
            given.start(number)
            wait_for(lambda number=number: given.status(number)["council"] != "recovering")  # type: ignore[misc]
            given.wait_for_leader()
        epoch = given.status(second)["epoch"]
        assert "s-1" in given.status(0)["drains"]
        for number in range(3):
            given.kill(number)
        for number in range(3):
            given.start(number)
        given.wait_for_leader()
        assert given.status(0)["epoch"] == epoch + 1  # all forgot; what the fourth had learnt came back
        wait_for(lambda: all("s-1" in given.status(n)["drains"] for n in range(4)))


def test_partition_and_datagram_loss(tmp_path: Path) -> None:
    with run_fleet(tmp_path, 5) as given:
        given.fleet.relay.fault = lossy(0.33, most_s=0.05)
        assert given.request(4, "drain", engine="s-1", wait_s=10)["word"] == "done"
        assert given.request(3, "undrain", engine="s-1", wait_s=10)["word"] == "done"
        given.fleet.relay.fault = split({0, 3}, {1, 2, 4})
        given.wait_for_leader(excluded=0)
        assert given.request(3, "drain", engine="s-2", wait_s=2)["word"] == "later"  # no majority on its side
        assert given.request(4, "drain", engine="s-2", wait_s=10)["word"] == "done"
        client = given.fleet.client(3)
        assert client.ask(query()).rows  # cut off, it serves
        client.close()
        leader = given.wait_for_leader(excluded=0)
        time.sleep(1.0)
        assert "n3" in given.status(leader)["waits_for"]["s-2"]  # by name
        given.fleet.relay.fault = sound
        wait_for(lambda: given.status(leader)["drains"]["s-2"]["done"])
        wait_for(lambda: "s-2" in given.status(3)["drains"])


def test_every_request_has_one_answer_during_a_release(tmp_path: Path) -> None:
    """Six processes under a mixed load, each restarted with a slot, the leader among them."""
    with run_fleet(tmp_path, 6, zones=6, gateways=2) as given:
        stop, answers, wrong = threading.Event(), Counter[str](), list[str]()
        loads, turns = set[str](), count(1)

        def client(number: int) -> None:
            while not stop.is_set():
                try:
                    session = given.fleet.client(number)
                except OSError:
                    answers["refused connection"] += 1
                    time.sleep(0.02)
                    continue
                try:
                    for _ in range(20):
                        turn = next(turns)
                        text = query("lookup" if turn % 3 else "once")
                        if turn % 3 == 0:
                            loads.add(text.partition("call=")[2][:16])
                        answer = session.ask(text)
                        if not answer.status:
                            answers["closed"] += 1  # before it was taken, or at the end of the process
                            break
                        answers["served" if answer.rows else answer.sqlstate or "none"] += 1
                        if not answer.rows and answer.sqlstate is None:
                            wrong.append(answer.text)
                        time.sleep(0.005)
                except OSError:
                    answers["closed"] += 1
                finally:
                    session.close()

        threads = [threading.Thread(target=client, args=(n,), daemon=True) for n in range(6)]
        for thread in threads:
            thread.start()
        for number in range(6):
            row = given.request(number, "may-restart", wait_s=30, wait=True, stop=True)
            assert row["word"] == "done", row
            given.wait_for_exit(number)
            given.start(number, "new")
        stop.set()
        for thread in threads:
            thread.join(15)
        assert not wrong and answers["served"] > 500, answers
        ran = Counter(did.id for engine in given.fleet.engines for did in engine.done if did.id in loads)
        assert len(ran) > 100 and set(ran.values()) == {1}  # no load twice
        assert answers["58000"] == 0, answers


def test_committed_decisions_appear_in_the_timeline(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with run_fleet(tmp_path, 3, timeline=str(tmp_path / "line")) as given:
        assert given.request(1, "drain", engine="s-1", wait_s=5)["word"] == "done"
        assert given.request(2, "drain", engine="s-2", wait_s=5)["word"] == "refused"
        assert given.request(2, "may-restart", wait_s=5, wait=True)["word"] == "done"
        leader = given.wait_for_leader()
        path = f"{tmp_path / 'line'}{leader}"

        def shown(engine: str) -> str:
            assert main(["timeline", "show", "--socket", path, engine]) == 0
            return capsys.readouterr().out

        wait_for(lambda: "AGREED engine drained" in shown("s-1") and "listed as draining" in shown("s-1"))
        wait_for(lambda: "AGREED slot granted" in shown("(fleet)"))
        assert "gateway 2" in shown("(fleet)") and "drain refused" in shown("(fleet)")


def run_load(given: FleetRig, number: int, sessions: int, seconds: float) -> None:
    """So many clients at once on a gateway."""
    end = time.monotonic() + seconds

    def client() -> None:
        session = given.fleet.client(number)
        while time.monotonic() < end:
            session.ask(query())
        session.close()

    threads = [threading.Thread(target=client) for _ in range(sessions)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def test_canary_failing_under_load_halts_release_then_rollback(tmp_path: Path) -> None:
    with run_fleet(tmp_path, 4, zones=4, new_build_config={"rules": {"caps": {"lookup": 2}}}) as given:
        for engine in given.fleet.engines:
            engine.delay = 0.03
        assert given.request(1, "release", build="new", steps=(0.25, 1.0), wait_s=5)["word"] == "done"
        assert given.request(3, "may-restart", wait_s=20, wait=True, stop=True)["word"] == "done"
        given.wait_for_exit(3)
        given.start(3, "new")
        wait_for(lambda: not given.status(0)["slots"])
        threads = [threading.Thread(target=run_load, args=(given, n, 1, 2.0)) for n in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert given.status(0)["release"]["status"] == "running"  # alone, a client sees nothing wrong
        assert given.request(2, "may-restart", wait_s=2, wait=True)["word"] == "later"  # the step is full
        threads = [threading.Thread(target=run_load, args=(given, n, 6, 6.0)) for n in range(4)]
        for thread in threads:
            thread.start()
        wait_for(lambda: given.status(0)["release"]["status"] == "halted")
        assert "refused" in given.status(0)["release"]["why"]
        for thread in threads:
            thread.join()
        row = given.request(2, "may-restart", wait_s=2, wait=True)
        assert row["word"] == "later" and "halted" in row["text"]
        assert given.request(0, "back", wait_s=5)["word"] == "done"
        assert given.request(3, "may-restart", wait_s=20, wait=True, stop=True)["word"] == "done"
        given.wait_for_exit(3)
        given.start(3)
        wait_for(lambda: given.status(0)["release"]["status"] == "done")


def test_halt_during_partition_and_three_way_voter_split(tmp_path: Path) -> None:
    with run_fleet(tmp_path, 5) as given:
        assert given.request(4, "release", build="new", steps=(1.0,), wait_s=5)["word"] == "done"
        given.fleet.relay.fault = split({0, 3}, {1, 2, 4})
        given.wait_for_leader(excluded=0)
        assert given.request(4, "halt", why="by hand", wait_s=10)["word"] == "done"
        time.sleep(1.0)
        assert (
            given.request(3, "may-restart", wait_s=2, wait=True)["word"] == "later"
        )  # it has not heard of it
        assert given.request(4, "may-restart", wait_s=2, wait=True)["word"] == "later"
        given.fleet.relay.fault = split({0}, {1, 3}, {2, 4})
        wait_for(lambda: given.leader() is None)
        assert given.request(4, "resume", wait_s=2)["word"] == "later"  # nobody may decide
        given.fleet.relay.fault = sound
        given.wait_for_leader()
        wait_for(lambda: given.status(3)["release"]["status"] == "halted")


def test_leader_crash_before_announcing_grant_then_zone_loss(tmp_path: Path) -> None:
    with run_fleet(tmp_path, 6, zones=3, gateways=2) as given:
        leader = given.wait_for_leader()
        assert given.request(4, "release", build="new", steps=(1.0,), wait_s=5)["word"] == "done"
        holder = next(n for n in (3, 4, 5) if n % 3 != leader % 3)
        # The leader hears, and what it says reaches the council alone: granted, and not told.
        given.fleet.relay.fault = lambda a, b, _: [] if a == leader and b not in range(3) else [0.0]
        rows: list[dict[str, Any]] = []
        asking = threading.Thread(
            target=lambda: rows.append(given.request(holder, "may-restart", wait_s=25, wait=True))
        )
        asking.start()
        wait_for(lambda: f"n{holder}" in given.status(leader)["slots"])
        given.kill(leader)
        given.fleet.relay.fault = sound
        second = given.wait_for_leader(excluded=leader)
        assert f"n{holder}" in given.status(second)["slots"] or rows  # one slot, whoever leads
        given.start(leader)
        asking.join(30)
        assert rows and rows[0]["word"] == "done"
        # A zone is lost in the middle of it: two are out, and so nobody else may be.
        wait_for(lambda: not given.status(second)["slots"])
        lost = [n for n in range(6) if n % 3 == holder % 3 and n != second]
        for number in lost:
            given.kill(number)
        other = next(n for n in range(6) if n not in lost and n != second)
        time.sleep(3.0)
        if len(lost) == 2:
            assert given.request(other, "may-restart", wait_s=2, wait=True)["word"] == "later"
        for number in lost:
            given.start(number, "new")
        wait_for(lambda: given.request(other, "may-restart", wait_s=5, wait=True)["word"] == "done")
