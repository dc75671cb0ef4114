"""Gateway processes under random faults: python -m benchmarks.fleetfaults --seeds 50

Each seed runs six gateways, three of them voters, with supervisors that restart them with slots, under kill
-9, SIGSTOP, partitions and datagram loss; the leader and all voters may be hit. Observed from outside: a
gateway is unavailable from the answer that allows its restart, or from its crash, until it answers an empty
query again. A breach of the disruption budget is an allowed restart while others that are unavailable, or
crashed more than 4 s ago, use up the budget.
"""

import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import click

from whintrail.cli.output import print_rows
from whintrail.control.json_lines import ControlError, send_request
from whintrail.standins.gateway_fleet import GatewayFleet, deliver_once, fleet, lossy, partition
from whintrail.standins.scripted import Engine, query

GATEWAYS = 6
VOTERS = 3
BUDGET = 2  # gateways that may be unavailable
CRASH_GRACE_S = 4.0  # in which a crash need not be known yet


@dataclass
class OutageAuditor:
    """The unavailable gateways, since when, and whether by an allowed restart; counts breaches."""

    down: dict[int, tuple[float, bool]] = field(default_factory=dict)
    breaches: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    waits_s: list[float] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def record_planned_exit(self, number: int, requested_at: float, fence: int) -> None:
        """Counts an allowed restart, and a breach if the budget is used up or the fence is reused."""
        now = time.monotonic()
        with self.lock:
            others = {
                n: planned
                for n, (since, planned) in self.down.items()
                if n != number and (planned or now - since > CRASH_GRACE_S)
            }
            self.counts["let go"] += 1
            self.counts[f"fence {fence}"] += 1
            if self.counts[f"fence {fence}"] > 1:
                self.breaches.append(f"fence {fence} used twice")
            if len(others) + 1 > BUDGET:
                self.breaches.append(f"n{number} allowed to restart beside {sorted(others)}")
            self.down[number] = (now, True)
            self.waits_s.append(now - requested_at)

    def record_crash(self, number: int) -> None:
        """Counts a killed gateway, which is unavailable from now on."""
        with self.lock:
            self.counts["killed"] += 1
            self.down.setdefault(number, (time.monotonic(), False))

    def record_return(self, number: int) -> None:
        """Notes that a gateway answers queries again."""
        with self.lock:
            self.down.pop(number, None)


class FaultRun:
    """One seed: supervisors, load and faults against a fleet."""

    def __init__(self, processes: GatewayFleet, folder: Path, seed: int, seconds: float) -> None:
        self.processes, self.folder, self.random = processes, folder, Random(seed)
        self.auditor, self.ends_at = OutageAuditor(), time.monotonic() + seconds
        # Of each gateway, held while it is restarted.
        self.locks = [threading.Lock() for _ in range(GATEWAYS)]
        self.answers: Counter[str] = Counter()

    @property
    def is_over(self) -> bool:
        """Whether the time for faults has passed."""
        return time.monotonic() > self.ends_at

    def start(self, number: int) -> None:
        """Starts a gateway that has ended, and waits until it serves."""
        if self.processes.gateways[number].process.poll() is None:
            return
        self.processes.gateways[number] = self.processes.start(number)
        end = time.monotonic() + 15
        while time.monotonic() < end:
            with suppress(OSError, AssertionError):
                if self.processes.is_ready(number):
                    self.auditor.record_return(number)
                    return
            time.sleep(0.02)

    def supervise(self, number: int) -> None:
        """Restarts a gateway with slots, again and again."""
        random = Random(number)
        while not self.is_over:
            time.sleep(random.random() * 3)
            requested_at = time.monotonic()
            request: dict[str, Any] = {"what": "may-restart", "wait": True, "wait_s": 5, "stop": True}
            try:
                row = next(send_request(str(self.folder / f"s{number}"), request, 8), None)
            except (ControlError, OSError):
                continue
            if row is None or row["word"] != "done":
                continue
            with self.locks[number]:
                self.auditor.record_planned_exit(number, requested_at, row["fence"])
                with suppress(Exception):
                    self.processes.gateways[number].process.wait(10)
                time.sleep(random.random())
                self.start(number)

    def load(self, number: int) -> None:
        """Sends queries to a gateway and counts their outcomes."""
        while not self.is_over:
            try:
                session = self.processes.client(number)
            except (OSError, AssertionError):  # refused, or closed before the greeting
                time.sleep(0.05)
                continue
            with suppress(OSError, ValueError):
                for _ in range(30):
                    answer = session.ask(query())
                    self.answers["served" if answer.rows else answer.sqlstate or "closed"] += 1
                    if not answer.transaction_status:
                        break
                    time.sleep(0.02)
            session.close()

    def inject_faults(self) -> None:
        """Changes network faults, and kills, pauses or slows down random gateways."""
        random, relay = self.random, self.processes.relay
        while not self.is_over:
            kind = random.random()
            if kind < 0.3:
                relay.fault = lossy(random.choice([0.05, 0.33]), max_delay_s=0.05, duplicate_share=0.1)
            elif kind < 0.45:
                one_side = set(random.sample(range(GATEWAYS), random.randrange(1, 4)))
                relay.fault = partition(one_side, set(range(GATEWAYS)) - one_side)
            else:
                relay.fault = deliver_once
            victims = range(VOTERS) if random.random() < 0.08 else [random.randrange(GATEWAYS)]
            action = random.choice(["kill", "stop", "starve", "nothing"])
            for number in victims:
                gateway = self.processes.gateways[number]
                if gateway.process.poll() is not None:
                    continue
                if action == "kill" and self.locks[number].acquire(blocking=False):
                    self.auditor.record_crash(number)
                    gateway.process.kill()
                    gateway.process.wait(10)
                    threading.Thread(target=self.restart_after, args=(number, random.random() * 6)).start()
                elif action == "stop":
                    self.auditor.counts["stopped"] += 1
                    gateway.process.send_signal(signal.SIGSTOP)
                    timer = threading.Timer(
                        random.random() * 4, gateway.process.send_signal, (signal.SIGCONT,)
                    )
                    timer.start()
                elif action == "starve":
                    self.auditor.counts["starved"] += 1
                    threading.Thread(target=self.throttle, args=(gateway.process, 3.0)).start()
            time.sleep(0.5 + random.random() * 2)
        relay.fault = deliver_once

    @staticmethod
    def throttle(process: "subprocess.Popen[bytes]", seconds: float) -> None:
        """Lets a process run for a tenth of the time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end and process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            time.sleep(0.09)
            process.send_signal(signal.SIGCONT)
            time.sleep(0.01)

    def restart_after(self, number: int, seconds: float) -> None:
        """Starts a killed gateway after a while, and releases its lock."""
        try:
            time.sleep(seconds)
            self.start(number)
        finally:
            self.locks[number].release()

    def run(self) -> None:
        """Runs supervisors, clients and faults until the time is over."""
        threads = [threading.Thread(target=self.supervise, args=(n,)) for n in range(GATEWAYS)]
        threads += [threading.Thread(target=self.load, args=(n,)) for n in range(GATEWAYS)]
        for thread in threads:
            thread.start()
        self.inject_faults()
        for thread in threads:
            thread.join(30)
        time.sleep(6)  # for gateways that are still to return


def run_seed(seed: int, seconds: float) -> dict[str, Any]:
    """Runs one seed and returns its breaches, counts and waits."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)

        def operator(number: int, build: str) -> dict[str, Any]:
            budgets = {"gateways": BUDGET, "gateways_a_zone": BUDGET, "engines": 1}
            voters = list(range(VOTERS))
            settings = {
                "name": "f",
                "council": voters,
                "out": budgets,
                "proven_s": 0.5,
                "socket": f"{name}/s{number}",
            }
            return {"fleet": {**settings, "use_within_s": 1.0, "quarantine_s": 2.0}}

        with fleet(GATEWAYS, Engine("s-1"), Engine("s-2"), operator=operator) as processes:
            time.sleep(4)
            run = FaultRun(processes, folder, seed, seconds)
            run.run()
            auditor = run.auditor
            texts = [gateway.log_text() for gateway in processes.gateways]
            faults = sum(text.count("faults=") + text.count("Traceback") for text in texts)
            return {
                "seed": seed,
                "breaches": auditor.breaches,
                "let go": auditor.counts["let go"],
                "killed": auditor.counts["killed"],
                "stopped": auditor.counts["stopped"],
                "faults": faults,
                "waits": auditor.waits_s,
                "answers": dict(run.answers),
            }


@click.command()
@click.option("--seeds", default=50, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option("--seconds", default=25.0, show_default=True)
@click.option("--jobs", default=2, show_default=True)
def main(seeds: int, first: int, seconds: float, jobs: int) -> None:
    rows = []
    with ProcessPoolExecutor(jobs) as pool:
        for row in pool.map(run_seed, range(first, first + seeds), [seconds] * seeds):
            rows.append(row)
            click.echo(str({key: value for key, value in row.items() if key != "waits"}))
            sys.stdout.flush()
    waits = sorted(wait for row in rows for wait in row["waits"])
    table = {
        "seeds": len(rows),
        "with a breach": sum(bool(row["breaches"]) for row in rows),
        "let go": sum(row["let go"] for row in rows),
        "killed": sum(row["killed"] for row in rows),
        "stopped": sum(row["stopped"] for row in rows),
        "faults": sum(row["faults"] for row in rows),
        "wait median s": waits[len(waits) // 2] if waits else None,
        "wait p99 s": waits[len(waits) * 99 // 100] if waits else None,
    }
    print_rows([table], list(table), "table")


if __name__ == "__main__":
    main()
