"""Injected faults on sockets against what the time line says: python -m benchmarks.injected_faults [--seed N]

Starts a gateway with the time line and its store, a fleet of stand-in engines and an open-loop load, injects
one fault after another, and prints for each when it was flagged and how far the interval is off. A second
part raises the load fourfold with nothing wrong; what is called then is false.
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

from whintrail.standins.fleet import Fault, Fleet
from whintrail.standins.load import Load, until_serves
from whintrail.timeline.events import Detection, Verdict
from whintrail.timeline.store import Reader

QUERY_MIX = [("lookup", 20.0, 0.8), ("report", 120.0, 0.15), ("once", 60.0, 0.05)]
VERDICT_OF_FAULT = {"stalled": Verdict.STALLED, "slower": Verdict.SLOW, "failing": Verdict.FAILING}


@dataclass(slots=True)
class ScenarioResult:
    faults: list[Fault]
    happenings: list[Detection]
    ends: dict[str, int]
    asked: int


async def run_scenario(
    folder: Path,
    engines: int,
    rate: float,
    seconds: float,
    scenario: list[tuple[float, float, int, str, float]],
    seed: int,
    surge: tuple[float, float, float] | None = None,
) -> ScenarioResult:
    """`story`: begin, length, engine, what, how much; `surge`: begin, length, times the rate."""
    fleet = Fleet(engines, cores=16, seed=seed)
    with FreePort() as port:
        config = fleet.config(f"127.0.0.1:{port}")
    (folder / "config.json").write_text(json.dumps(config))
    operator = {
        "timeline": {"memory_mb": 16, "store": {"directory": str(folder / "store"), "flush_every_s": 0.5}}
    }
    (folder / "whintrail.jsonnet").write_text(json.dumps(operator))
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
        await until_serves(port)
        load = Load(port, rate, QUERY_MIX, seed)
        tasks = [asyncio.create_task(load.run(seconds))]
        for begin, length, index, what, value in scenario:
            tasks.append(asyncio.create_task(inject(fleet, begin, length, index, what, value)))
        more = None
        if surge is not None:
            more = Load(port, rate * (surge[2] - 1), QUERY_MIX, seed + 1)
            tasks.append(asyncio.create_task(run_later(surge[0], more.run(surge[1]))))
        await asyncio.gather(*tasks)
        load.close()
        if more is not None:
            more.close()
            load.ends.update(more.ends)
            load.asked += more.asked
    finally:
        process.send_signal(signal.SIGTERM)
        await process.wait()
        await fleet.close()
    with Reader.open(folder / "store") as reader:
        found = list(reader.detections())
    return ScenarioResult(fleet.log, found, dict(load.ends), load.asked)


class FreePort:
    """A port that is free."""

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


async def inject(fleet: Fleet, begin: float, length: float, index: int, what: str, value: float) -> None:
    await asyncio.sleep(begin)
    fault = fleet.begin(index, what, value)
    await asyncio.sleep(length)
    fleet.end(fault)


@dataclass(slots=True)
class FaultMatch:
    fault: Fault
    flagged_s: float | None  # after the injection
    begin_error_s: float | None  # the interval's begin against the injected one
    end_error_s: float | None


def match_faults(result: ScenarioResult) -> tuple[list[FaultMatch], list[Detection]]:
    """Each fault with what was said of it, and what was said that no fault explains."""
    left, found = list(result.happenings), []
    for fault in result.faults:
        begin = next(
            (
                h
                for h in left
                if h.engine == fault.engine
                and h.begins
                and h.verdict is VERDICT_OF_FAULT[fault.what]
                and fault.begin - 1 <= h.at_us / 1e6 <= fault.end + 1
            ),
            None,
        )
        end = begin and next(
            (
                h
                for h in left
                if h.engine == fault.engine
                and not h.begins
                and h.verdict is begin.verdict
                and h.at_us > begin.at_us
            ),
            None,
        )
        found.append(
            FaultMatch(
                fault,
                begin.at_us / 1e6 - fault.begin if begin else None,
                begin.since_us / 1e6 - fault.begin if begin else None,
                end.since_us / 1e6 - fault.end if end else None,
            )
        )
        # Whatever else is said of an engine while it has a fault is not false.
        left = [
            h
            for h in left
            if not (h.engine == fault.engine and fault.begin - 1 <= h.at_us / 1e6 <= fault.end + 12)
        ]
    return found, [h for h in left if h.begins]


def format_seconds(value: float | None) -> str:
    return "   -  " if value is None else f"{value:6.2f}"


async def run_benchmark(seed: int, keep: str | None) -> None:
    with tempfile.TemporaryDirectory() as name:
        story = [
            (12.0, 4.0, 0, "stalled", 1.0),
            (26.0, 10.0, 1, "slower", 5.0),
            (46.0, 8.0, 2, "failing", 0.7),
            (62.0, 8.0, 3, "stalled", 1.0),
        ]
        result = await run_scenario(Path(name), 8, 150.0, 80.0, story, seed)
        if keep is not None:
            shutil.copytree(Path(name, "store"), keep)
        matches, false = match_faults(result)
        print(f"seed {seed}: {result.asked} asked, {result.ends}")
        print("  fault    flagged after s   begin off by s   end off by s")
        for m in matches:
            offs = f"{format_seconds(m.flagged_s)}          {format_seconds(m.begin_error_s)}          {format_seconds(m.end_error_s)}"
            print(f"  {m.fault.what:8} {offs}")
        print(f"  false events: {len(false)} {[h.describe() for h in false]}")
    with tempfile.TemporaryDirectory() as name:
        result = await run_scenario(Path(name), 8, 100.0, 40.0, [], seed, (15.0, 15.0, 4.0))
        _, false = match_faults(result)
        print(
            f"  fourfold surge, nothing wrong: {result.asked} asked, {result.ends};"
            f" events: {len(false)} {[h.describe() for h in false]}"
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", help="Copy the store to this directory, to be looked at.")
    given = parser.parse_args()
    asyncio.run(run_benchmark(given.seed, given.keep))


if __name__ == "__main__":
    main()
