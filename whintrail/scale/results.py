"""Files of results: what a command measured, at which sizes, on which machine and commit.

A file is JSON, one object of type `Results`. Every figure on docs/CAPACITY.md comes from one of them, in
docs/capacity/. Units are part of a sample, and one quantity has one unit wherever it stands.
"""

import os
import platform
import subprocess
import time
from pathlib import Path
from statistics import median
from typing import Literal

import msgspec
from msgspec import Struct

FORMAT = 1
# real: gateways of `run`'s own way. hollow: real cores and datagrams without sessions and links. core: one
# core alone in a loop. simulated: cores in simulated time. reckoned: from a formula, nothing was run.
Kind = Literal["real", "hollow", "core", "simulated", "reckoned"]


class ResultsError(ValueError):
    """The file is no results file of this format."""


class Sample(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One quantity at one size: the median of `n` figures, with the 5th and the 95th hundredth of them."""

    quantity: str  # a lower-case name, its unit last: refresh_us
    unit: str  # us, ms, s, bytes, bytes/s, datagrams/s, share (of one core), count
    gateways: int
    engines: int
    value: float
    low: float
    high: float
    n: int
    kind: Kind
    role: str = "gateway"  # gateway, leader, engine, bulletin, control machine, command
    day: str = "steady"
    subset: int = 0  # engines that each gateway keeps; 0: all
    note: str = ""


class Machine(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    cores: int
    memory_mb: int
    python: str
    load: float  # the mean of waiting threads over the last minute, when the command began


class Results(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    format: Literal[1] = 1
    command: str  # as it was typed
    commit: str
    taken_at: str  # UTC, ISO 8601
    took_s: float
    machine: Machine
    samples: list[Sample]
    note: str = ""


def current_machine() -> Machine:
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") >> 20
    cores, python = os.cpu_count() or 1, platform.python_version()
    return Machine(cores=cores, memory_mb=memory, python=python, load=round(os.getloadavg()[0], 2))


def current_commit() -> str:
    """The commit of the tree that runs, with a plus where files differ from it; empty outside a checkout."""
    root = Path(__file__).parents[2]
    try:
        asked = ["git", "-C", str(root), "describe", "--always", "--dirty=+", "--abbrev=12", "--exclude=*"]
        return subprocess.run(asked, capture_output=True, text=True, timeout=10, check=True).stdout.strip()
    except (OSError, subprocess.SubprocessError):
        return ""


def sample(quantity: str, unit: str, size: tuple[int, int], values: list[float], kind: Kind) -> Sample:
    """The median of the values with their 5th and 95th hundredth; `sizes`: gateways, engines."""
    ranked = sorted(values)
    last = len(ranked) - 1
    low, high = (ranked[round(last * share)] for share in (0.05, 0.95))
    return Sample(
        quantity=quantity,
        unit=unit,
        gateways=size[0],
        engines=size[1],
        value=median(ranked),  # of two the mean
        low=low,
        high=high,
        n=len(ranked),
        kind=kind,
    )


def save_results(
    path: Path, command: str, started_at_s: float, machine: Machine, samples: list[Sample], note: str
) -> None:
    """`began`: time.time() when the command began; `machine` as it was then."""
    results = Results(
        command=command,
        commit=current_commit(),
        taken_at=time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(started_at_s)),
        took_s=round(time.time() - started_at_s, 1),
        machine=machine,
        samples=samples,
        note=note,
    )
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")


def load_results(path: Path) -> Results:
    try:
        return msgspec.json.decode(path.read_bytes(), type=Results)
    except (OSError, msgspec.DecodeError) as error:
        raise ResultsError(f"{path}: {error}") from error
