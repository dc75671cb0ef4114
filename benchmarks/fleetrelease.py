"""A release of twelve gateway processes under a mixed load, and the same restarts without coordination.

    python -m benchmarks.fleetrelease --size 12 --clients 24

Clients send lookups, reports and loads that may run only once. They connect to any gateway, and to another
one when it refuses the connection. Each request has one final answer, or its connection ends without one. A
client then sends a new request; loads are not repeated. All counts come from the clients and the engines.
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
from whintrail.standins.gateway_fleet import GatewayFleet, fleet
from whintrail.standins.scripted import Engine, query, wait_for

QUERY_KINDS = ("lookup", "lookup", "lookup", "report", "once")


class ClientPool:
    """Clients that run until `stop_and_join`."""

    def __init__(self, processes: GatewayFleet, clients: int) -> None:
        self.processes, self.outcomes = processes, Counter[str]()
        self.loads: set[str] = set()
        self.unanswered: set[str] = set()  # ids of requests whose connection ended without an answer
        self.served_at: list[float] = []
        self.request_numbers, self.stop = count(), threading.Event()
        self.threads = [threading.Thread(target=self._client, args=(n,)) for n in range(clients)]
        for thread in self.threads:
            thread.start()

    def _client(self, seed: int) -> None:
        random_source = random.Random(seed)
        while not self.stop.is_set():
            try:
                session = self.processes.client(random_source.randrange(len(self.processes.ports)))
            except (OSError, AssertionError):  # refused, or closed before the greeting
                self.outcomes["refused connection"] += 1
                time.sleep(0.02)
                continue
            with suppress(OSError, ValueError):
                for _ in range(10):
                    kind = QUERY_KINDS[next(self.request_numbers) % len(QUERY_KINDS)]
                    text = query(kind)
                    request_id = text.partition("call=")[2][:16]
                    if kind == "once":
                        self.loads.add(request_id)
                    self.outcomes["asked"] += 1
                    self.unanswered.add(request_id)
                    answer = session.ask(text)
                    if not answer.transaction_status:
                        break
                    self.unanswered.discard(request_id)
                    if answer.rows:
                        self.served_at.append(time.monotonic())
                    self.outcomes["served" if answer.rows else f"error {answer.sqlstate}"] += 1
                    time.sleep(0.01)
            session.close()

    def stop_and_join(self) -> None:
        """Stops the clients and waits for their threads."""
        self.stop.set()
        for thread in self.threads:
            thread.join(20)


def restart(processes: GatewayFleet, number: int, build: str) -> None:
    """Waits for the end of a gateway and starts it on a build."""
    processes.gateways[number].process.wait(15)
    processes.gateways[number] = processes.start(number, build)
    wait_for(lambda: processes.is_ready(number))


def run_coordinated_release(processes: GatewayFleet, folder: str) -> None:
    """Restarts all gateways by supervisors that request slots, as a release."""
    request = {"what": "release", "build": "new", "steps": (0.1, 0.5, 1.0), "wait_s": 5}
    row = next(send_request(f"{folder}/s0", request, 10))
    assert row["word"] == "done", row

    def supervise(number: int) -> None:
        while True:
            slot_request: dict[str, Any] = {"what": "may-restart", "wait": True, "wait_s": 10, "stop": True}
            with suppress(ControlError):
                row = next(send_request(f"{folder}/s{number}", slot_request, 15), {"word": "none"})
                if row["word"] == "done":
                    break
        restart(processes, number, "new")

    threads = [threading.Thread(target=supervise, args=(n,)) for n in range(len(processes.ports))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()

    def is_over() -> bool:
        row = next(send_request(f"{folder}/s0", {"what": "status"}))
        return bool(row["release"]["status"] == "done")

    wait_for(is_over, 60)


def run_uncoordinated_release(processes: GatewayFleet) -> None:
    """Restarts all gateways by four scripts, each of which restarts a quarter of them one after another."""

    def script(first: int) -> None:
        for number in range(first, len(processes.ports), 4):
            processes.gateways[number].process.terminate()
            restart(processes, number, "new")

    threads = [threading.Thread(target=script, args=(n,)) for n in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def measure_release(size: int, clients: int, coordinated: bool) -> dict[str, Any]:
    """Runs one release under load and counts what clients and engines saw."""
    with tempfile.TemporaryDirectory() as folder:

        def operator(number: int, build: str) -> dict[str, Any]:
            budgets = {"gateways": 2, "gateways_a_zone": 1, "engines": 1}
            settings = {"name": "f", "council": [0, 1, 2, 3, 4], "out": budgets, "build": build or "old"}
            return {"fleet": {**settings, "proven_s": 1.0, "socket": f"{folder}/s{number}"}}

        engines = [Engine(f"s-{n}") for n in range(6)]
        with fleet(size, *engines, operator=operator, zones=3) as processes:
            request = {"what": "status"}
            wait_for(lambda: next(send_request(f"{folder}/s0", request))["leader"] is not None)
            client_pool = ClientPool(processes, clients)
            time.sleep(6)
            started_at = time.monotonic()
            usual_rate = len(client_pool.served_at) / 6
            run_coordinated_release(processes, folder) if coordinated else run_uncoordinated_release(
                processes
            )
            ended_at = time.monotonic()
            time.sleep(1)
            client_pool.stop_and_join()
            during = [at for at in client_pool.served_at if started_at <= at < ended_at]
            worst_second = min(
                sum(second <= at - started_at < second + 1 for at in during)
                for second in range(max(1, int(ended_at - started_at)))
            )
            runs_by_id = Counter(
                run.id for engine in engines for run in engine.queries if run.id in client_pool.loads
            )
            assert all(gateway_pid(processes, n) for n in range(size))
            return {
                "way": "agreed" if coordinated else "at will",
                "took s": ended_at - started_at,
                "usual/s": usual_rate,
                "during/s": len(during) / (ended_at - started_at),
                "worst second": worst_second,
                "loads": len(runs_by_id),
                "run twice": sum(times > 1 for times in runs_by_id.values()),
                "unanswered": len(client_pool.unanswered),
                "unanswered that ran": len(
                    {run.id for engine in engines for run in engine.queries} & client_pool.unanswered
                ),
                "ends": dict(client_pool.outcomes),
            }


@click.command()
@click.option("--size", default=12, show_default=True)
@click.option("--clients", default=24, show_default=True)
def main(size: int, clients: int) -> None:
    rows = [measure_release(size, clients, coordinated) for coordinated in (True, False)]
    print_rows(rows, list(rows[0]), "json")


if __name__ == "__main__":
    main()
