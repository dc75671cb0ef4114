"""A whole release of twelve processes under a mixed load, and the same restart without agreement.

    python -m benchmarks.fleetrelease --size 12 --clients 24

Clients (lookups, reports, and loads that may run once) go to any gateway, and to another when it refuses the
connection. Each request has one final answer or a connection that ended with none; what a client sends again
after that is a new request, and loads are not sent again. Counts come from clients and engines only.
"""

import random
import tempfile
import threading
import time
from collections import Counter
from contextlib import suppress
from itertools import count
from typing import Any

import click

from benchmarks.fleetcost import gateway_pid
from whintrail.cli.output import print_rows
from whintrail.control.json_lines import ControlError, send_request
from whintrail.standins.peers import Fleet, fleet
from whintrail.standins.scripted import Engine, query, wait_for

QUERY_KINDS = ("lookup", "lookup", "lookup", "report", "once")


class ClientPool:
    """Clients until told to stop."""

    def __init__(self, given: Fleet, clients: int) -> None:
        self.given, self.outcomes = given, Counter[str]()
        self.loads: set[str] = set()
        self.unanswered: set[str] = set()  # their connection ended with no answer
        self.served_at: list[float] = []
        self.request_numbers, self.stop = count(), threading.Event()
        self.threads = [threading.Thread(target=self._client, args=(n,)) for n in range(clients)]
        for thread in self.threads:
            thread.start()

    def _client(self, seed: int) -> None:
        chance = random.Random(seed)
        while not self.stop.is_set():
            try:
                session = self.given.client(chance.randrange(len(self.given.ports)))
            except (OSError, AssertionError):  # refused, or closed before it greeted
                self.outcomes["refused connection"] += 1
                time.sleep(0.02)
                continue
            with suppress(OSError, ValueError):
                for _ in range(10):
                    kind = QUERY_KINDS[next(self.request_numbers) % len(QUERY_KINDS)]
                    text = query(kind)
                    call = text.partition("call=")[2][:16]
                    if kind == "once":
                        self.loads.add(call)
                    self.outcomes["asked"] += 1
                    self.unanswered.add(call)
                    answer = session.ask(text)
                    if not answer.status:
                        break
                    self.unanswered.discard(call)
                    if answer.rows:
                        self.served_at.append(time.monotonic())
                    self.outcomes["served" if answer.rows else f"error {answer.sqlstate}"] += 1
                    time.sleep(0.01)
            session.close()

    def stop_and_join(self) -> None:
        self.stop.set()
        for thread in self.threads:
            thread.join(20)


def restart(given: Fleet, number: int, build: str) -> None:
    given.gateways[number].process.wait(15)
    given.gateways[number] = given.start(number, build)
    wait_for(lambda: given.ready(number))


def run_coordinated_release(given: Fleet, folder: str) -> None:
    """Supervisors that ask."""
    asked = {"what": "release", "build": "new", "steps": (0.1, 0.5, 1.0), "wait_s": 5}
    row = next(send_request(f"{folder}/s0", asked, 10))
    assert row["word"] == "done", row

    def supervise(number: int) -> None:
        while True:
            want: dict[str, Any] = {"what": "may-restart", "wait": True, "wait_s": 10, "stop": True}
            with suppress(ControlError):
                row = next(send_request(f"{folder}/s{number}", want, 15), {"word": "none"})
                if row["word"] == "done":
                    break
        restart(given, number, "new")

    threads = [threading.Thread(target=supervise, args=(n,)) for n in range(len(given.ports))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()

    def over() -> bool:
        row = next(send_request(f"{folder}/s0", {"what": "status"}))
        return bool(row["release"]["status"] == "done")

    wait_for(over, 60)


def run_uncoordinated_release(given: Fleet) -> None:
    """Four operators, each with a script of their own for a quarter, one gateway after the other."""

    def script(first: int) -> None:
        for number in range(first, len(given.ports), 4):
            given.gateways[number].process.terminate()
            restart(given, number, "new")

    threads = [threading.Thread(target=script, args=(n,)) for n in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def measure_release(size: int, clients: int, coordinated: bool) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:

        def operator(number: int, build: str) -> dict[str, Any]:
            out = {"gateways": 2, "gateways_a_zone": 1, "engines": 1}
            part = {"name": "f", "council": [0, 1, 2, 3, 4], "out": out, "build": build or "old"}
            return {"fleet": {**part, "proven_s": 1.0, "socket": f"{folder}/s{number}"}}

        engines = [Engine(f"s-{n}") for n in range(6)]
        with fleet(size, *engines, operator=operator, zones=3) as given:
            asked = {"what": "status"}
            wait_for(lambda: next(send_request(f"{folder}/s0", asked))["leader"] is not None)
            crowd = ClientPool(given, clients)
            time.sleep(6)
            began = time.monotonic()
            usual = len(crowd.served_at) / 6
            run_coordinated_release(given, folder) if coordinated else run_uncoordinated_release(given)
            ended = time.monotonic()
            time.sleep(1)
            crowd.stop_and_join()
            during = [at for at in crowd.served_at if began <= at < ended]
            worst = min(
                sum(second <= at - began < second + 1 for at in during)
                for second in range(max(1, int(ended - began)))
            )
            ran = Counter(did.id for engine in engines for did in engine.done if did.id in crowd.loads)
            assert all(gateway_pid(given, n) for n in range(size))
            return {
                "way": "agreed" if coordinated else "at will",
                "took s": ended - began,
                "usual/s": usual,
                "during/s": len(during) / (ended - began),
                "worst second": worst,
                "loads": len(ran),
                "run twice": sum(times > 1 for times in ran.values()),
                "unanswered": len(crowd.unanswered),
                "unanswered that ran": len(
                    {did.id for engine in engines for did in engine.done} & crowd.unanswered
                ),
                "ends": dict(crowd.outcomes),
            }


@click.command()
@click.option("--size", default=12, show_default=True)
@click.option("--clients", default=24, show_default=True)
def main(size: int, clients: int) -> None:
    rows = [measure_release(size, clients, together) for together in (True, False)]
    print_rows(rows, list(rows[0]), "json")


if __name__ == "__main__":
    main()
