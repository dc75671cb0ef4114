"""Injected faults compared with the timeline's detections: python -m benchmarks.injected_faults [--seed N]

Starts a gateway with the timeline and its store, a fleet of stand-in engines and an open-loop load, injects
one fault after another, and prints for each when it was detected and the error of the detected interval. A
second part raises the load fourfold without a fault, so that every detection in it is false.
"""

import argparse
import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from whintrail.standins.engine_fleet import EngineFleet, Fault
from whintrail.standins.load_generator import LoadGenerator, wait_until_serving
from whintrail.timeline.events import Detection, Verdict
from whintrail.timeline.store import Reader

QUERY_MIX = [("lookup", 20.0, 0.8), ("report", 120.0, 0.15), ("once", 60.0, 0.05)]
VERDICT_OF_FAULT = {"stalled": Verdict.STALLED, "slower": Verdict.SLOW, "failing": Verdict.FAILING}


@dataclass(slots=True)
class ScenarioResult:
    faults: list[Fault]
    detections: list[Detection]
    ends: dict[str, int]
    queries: int


async def run_scenario(
    folder: Path,
    engines: int,
    rate: float,
    seconds: float,
    scenario: list[tuple[float, float, int, str, float]],
    seed: int,
    surge: tuple[float, float, float] | None = None,
) -> ScenarioResult:
    """Run a gateway and a fleet with injected faults.

    `scenario`: begin, length, engine, kind of fault, its value; `surge`: begin, length, factor of the rate.
    """
    fleet = EngineFleet(engines, cores=16, seed=seed)
    with FreePort() as port:
        config = fleet.config(f"127.0.0.1:{port}")
    (folder / "config.json").write_text(json.dumps(config))
    operator_file = {
        "timeline": {"memory_mb": 16, "store": {"directory": str(folder / "store"), "flush_every_s": 0.5}}
    }
    (folder / "whintrail.jsonnet").write_text(json.dumps(operator_file))
    environment = {
        **os.environ,
        "RELAY_CONFIG": str(folder / "config.json"),
        "WHINTRAIL_FILE": str(folder / "whintrail.jsonnet"),
    }
    with open(folder / "log", "wb") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "whintrail", env=environment, stderr=log
        )
    try:
        await wait_until_serving(port)
        load = LoadGenerator(port, rate, QUERY_MIX, seed)
        tasks = [asyncio.create_task(load.run(seconds))]
        for begin, length, index, what, value in scenario:
            tasks.append(asyncio.create_task(inject(fleet, begin, length, index, what, value)))
        surge_load = None
        if surge is not None:
            surge_load = LoadGenerator(port, rate * (surge[2] - 1), QUERY_MIX, seed + 1)
            tasks.append(asyncio.create_task(run_later(surge[0], surge_load.run(surge[1]))))
        await asyncio.gather(*tasks)
        load.close()
        if surge_load is not None:
            surge_load.close()
            load.outcomes.update(surge_load.outcomes)
            load.queries_sent += surge_load.queries_sent
    finally:
        process.send_signal(signal.SIGTERM)
        await process.wait()
        await fleet.close()
    with Reader.open(folder / "store") as reader:
        detections = list(reader.detections())
    return ScenarioResult(fleet.fault_log, detections, dict(load.outcomes), load.queries_sent)


class FreePort:
    """Finds a free port."""

    def __enter__(self) -> int:
        import socket

        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port: int = sock.getsockname()[1]
        return port

    def __exit__(self, *_: object) -> None: ...


async def run_later(begin: float, work: "asyncio.Future[None] | object") -> None:
    await asyncio.sleep(begin)
    await work  # type: ignore[misc]


async def inject(
    fleet: EngineFleet, begin: float, length: float, index: int, kind: str, value: float
) -> None:
    await asyncio.sleep(begin)
    fault = fleet.inject_fault(index, kind, value)
    await asyncio.sleep(length)
    fleet.clear_fault(fault)


@dataclass(slots=True)
class FaultMatch:
    fault: Fault
    flagged_s: float | None  # from injection to detection
    begin_error_s: float | None  # detected minus injected begin of the interval
    end_error_s: float | None


def match_faults(result: ScenarioResult) -> tuple[list[FaultMatch], list[Detection]]:
    """Match the faults with their detections; also returns the detections that no fault explains."""
    remaining, matches = list(result.detections), []
    for fault in result.faults:
        begin = next(
            (
                detection
                for detection in remaining
                if detection.engine == fault.engine
                and detection.begins
                and detection.verdict is VERDICT_OF_FAULT[fault.kind]
                and fault.started_at - 1 <= detection.at_us / 1e6 <= fault.ended_at + 1
            ),
            None,
        )
        end = begin and next(
            (
                detection
                for detection in remaining
                if detection.engine == fault.engine
                and not detection.begins
                and detection.verdict is begin.verdict
                and detection.at_us > begin.at_us
            ),
            None,
        )
        matches.append(
            FaultMatch(
                fault,
                begin.at_us / 1e6 - fault.started_at if begin else None,
                begin.since_us / 1e6 - fault.started_at if begin else None,
                end.since_us / 1e6 - fault.ended_at if end else None,
            )
        )
        # Other detections on an engine with a fault are not false.
        remaining = [
            detection
            for detection in remaining
            if not (
                detection.engine == fault.engine
                and fault.started_at - 1 <= detection.at_us / 1e6 <= fault.ended_at + 12
            )
        ]
    return matches, [detection for detection in remaining if detection.begins]


def format_seconds(value: float | None) -> str:
    return "   -  " if value is None else f"{value:6.2f}"


async def run_benchmark(seed: int, keep_directory: str | None) -> None:
    with tempfile.TemporaryDirectory() as name:
        scenario = [
            (12.0, 4.0, 0, "stalled", 1.0),
            (26.0, 10.0, 1, "slower", 5.0),
            (46.0, 8.0, 2, "failing", 0.7),
            (62.0, 8.0, 3, "stalled", 1.0),
        ]
        result = await run_scenario(Path(name), 8, 150.0, 80.0, scenario, seed)
        if keep_directory is not None:
            shutil.copytree(Path(name, "store"), keep_directory)
        matches, false_detections = match_faults(result)
        print(f"seed {seed}: {result.queries} queries, {result.ends}")
        print("  fault    flagged after s   begin off by s   end off by s")
        for match in matches:
            errors = (
                f"{format_seconds(match.flagged_s)}          {format_seconds(match.begin_error_s)}"
                f"          {format_seconds(match.end_error_s)}"
            )
            print(f"  {match.fault.kind:8} {errors}")
        print(
            f"  false events: {len(false_detections)}"
            f" {[detection.describe() for detection in false_detections]}"
        )
    with tempfile.TemporaryDirectory() as name:
        result = await run_scenario(Path(name), 8, 100.0, 40.0, [], seed, (15.0, 15.0, 4.0))
        _, false_detections = match_faults(result)
        print(
            f"  fourfold surge, nothing wrong: {result.queries} queries, {result.ends};"
            f" events: {len(false_detections)}"
            f" {[detection.describe() for detection in false_detections]}"
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", help="Copy the store to this directory, to be looked at.")
    arguments = parser.parse_args()
    asyncio.run(run_benchmark(arguments.seed, arguments.keep))


if __name__ == "__main__":
    main()
