"""Processes of the program under random faults, with a budget: python -m benchmarks.fleetfaults --seeds 50

Each seed: six gateways (three of them the council), supervisors that restart them by slots, and for a while
kill -9, SIGSTOP, splits, losses, the leader and the whole council among the victims. From outside only: a
gateway is out from the answer that lets it go, or from its death, until it answers an empty query again. A
breach is one let go while others that are out, or were lost 4 s before, use the budget.
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
from whintrail.standins.peers import Fleet, fleet, lossy, sound, split
from whintrail.standins.scripted import Engine, query

SIZE, COUNCIL, ALLOWED, GRACE_S = 6, 3, 2, 4.0


@dataclass
class OutageAuditor:
    """Who is out, since when, and whether it was let go."""

    down: dict[int, tuple[float, bool]] = field(default_factory=dict)
    breaches: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    waits_s: list[float] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def record_planned_exit(self, number: int, requested_at: float, fence: int) -> None:
        now = time.monotonic()
        with self.lock:
            others = {
                n: planned
                for n, (since, planned) in self.down.items()
                if n != number and (planned or now - since > GRACE_S)
            }
            self.counts["let go"] += 1
            self.counts[f"fence {fence}"] += 1
            if self.counts[f"fence {fence}"] > 1:
                self.breaches.append(f"fence {fence} twice")
            if len(others) + 1 > ALLOWED:
                self.breaches.append(f"n{number} let go beside {sorted(others)}")
            self.down[number] = (now, True)
            self.waits_s.append(now - requested_at)

    def record_crash(self, number: int) -> None:
        with self.lock:
            self.counts["killed"] += 1
            self.down.setdefault(number, (time.monotonic(), False))

    def record_return(self, number: int) -> None:
        with self.lock:
            self.down.pop(number, None)


class FaultRun:
    def __init__(self, given: Fleet, folder: Path, seed: int, seconds: float) -> None:
        self.given, self.folder, self.random = given, folder, Random(seed)
        self.auditor, self.ends_at = OutageAuditor(), time.monotonic() + seconds
        self.locks = [threading.Lock() for _ in range(SIZE)]  # who starts and ends a gateway
        self.answers: Counter[str] = Counter()

    @property
    def is_over(self) -> bool:
        return time.monotonic() > self.ends_at

    def start(self, number: int) -> None:
        if self.given.gateways[number].process.poll() is None:
            return
        self.given.gateways[number] = self.given.start(number)
        end = time.monotonic() + 15
        while time.monotonic() < end:
            with suppress(OSError, AssertionError):
                if self.given.ready(number):
                    self.auditor.record_return(number)
                    return
            time.sleep(0.02)

    def supervise(self, number: int) -> None:
        random = Random(number)
        while not self.is_over:
            time.sleep(random.random() * 3)
            began = time.monotonic()
            asked: dict[str, Any] = {"what": "may-restart", "wait": True, "wait_s": 5, "stop": True}
            try:
                row = next(send_request(str(self.folder / f"s{number}"), asked, 8), None)
            except (ControlError, OSError):
                continue
            if row is None or row["word"] != "done":
                continue
            with self.locks[number]:
                self.auditor.record_planned_exit(number, began, row["fence"])
                with suppress(Exception):
                    self.given.gateways[number].process.wait(10)
                time.sleep(random.random())
                self.start(number)

    def load(self, number: int) -> None:
        while not self.is_over:
            try:
                session = self.given.client(number)
            except (OSError, AssertionError):  # refused, or closed before it greeted
                time.sleep(0.05)
                continue
            with suppress(OSError, ValueError):
                for _ in range(30):
                    answer = session.ask(query())
                    self.answers["served" if answer.rows else answer.sqlstate or "closed"] += 1
                    if not answer.status:
                        break
                    time.sleep(0.02)
            session.close()

    def inject_faults(self) -> None:
        random, relay = self.random, self.given.relay
        while not self.is_over:
            draw = random.random()
            if draw < 0.3:
                relay.fault = lossy(random.choice([0.05, 0.33]), most_s=0.05, doubled=0.1)
            elif draw < 0.45:
                part = set(random.sample(range(SIZE), random.randrange(1, 4)))
                relay.fault = split(part, set(range(SIZE)) - part)
            else:
                relay.fault = sound
            victims = range(COUNCIL) if random.random() < 0.08 else [random.randrange(SIZE)]
            action = random.choice(["kill", "stop", "starve", "nothing"])
            for number in victims:
                gateway = self.given.gateways[number]
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
        relay.fault = sound

    @staticmethod
    def throttle(process: "subprocess.Popen[bytes]", seconds: float) -> None:
        """A tenth of a core."""
        end = time.monotonic() + seconds
        while time.monotonic() < end and process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            time.sleep(0.09)
            process.send_signal(signal.SIGCONT)
            time.sleep(0.01)

    def restart_after(self, number: int, seconds: float) -> None:
        try:
            time.sleep(seconds)
            self.start(number)
        finally:
            self.locks[number].release()

    def run(self) -> None:
        work = [threading.Thread(target=self.supervise, args=(n,)) for n in range(SIZE)]
        work += [threading.Thread(target=self.load, args=(n,)) for n in range(SIZE)]
        for thread in work:
            thread.start()
        self.inject_faults()
        for thread in work:
            thread.join(30)
        time.sleep(6)  # what is still to come back


def run_seed(seed: int, seconds: float) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)

        def operator(number: int, build: str) -> dict[str, Any]:
            out = {"gateways": ALLOWED, "gateways_a_zone": ALLOWED, "engines": 1}
            council = list(range(COUNCIL))
            part = {
                "name": "f",
                "council": council,
                "out": out,
                "proven_s": 0.5,
                "socket": f"{name}/s{number}",
            }
            return {"fleet": {**part, "use_within_s": 1.0, "quarantine_s": 2.0}}

        with fleet(SIZE, Engine("s-1"), Engine("s-2"), operator=operator) as given:
            time.sleep(4)
            what = FaultRun(given, folder, seed, seconds)
            what.run()
            outside = what.auditor
            texts = [gateway.text() for gateway in given.gateways]
            faults = sum(text.count("faults=") + text.count("Traceback") for text in texts)
            return {
                "seed": seed,
                "breaches": outside.breaches,
                "let go": outside.counts["let go"],
                "killed": outside.counts["killed"],
                "stopped": outside.counts["stopped"],
                "faults": faults,
                "waits": outside.waits_s,
                "answers": dict(what.answers),
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
