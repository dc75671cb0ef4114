"""Result files: what a command measured, at which fleet sizes, on which machine and commit.

A file holds one `Results` object as JSON. Every number in docs/CAPACITY.md comes from a file in
docs/capacity/. Each sample states its unit, and a quantity has the same unit in all files.
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
# How a value was obtained:
#   real: gateways started as by `whintrail run`.
#   hollow: cores that exchange real datagrams, without sessions and links.
#   core: one core called in a loop.
#   simulated: cores in simulated time.
#   reckoned: calculated by a formula, without a run.
Kind = Literal["real", "hollow", "core", "simulated", "reckoned"]


class ResultsError(ValueError):
    """The file is not a results file of this format."""


class Sample(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One quantity at one fleet size: the median of `n` values, with their 5th and 95th percentile."""

    quantity: str  # lower-case name that ends with its unit: refresh_us
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
    subset: int = 0  # engines assigned to each gateway; 0: all of them
    note: str = ""


class Machine(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The machine on which a command ran."""

    cores: int
    memory_mb: int
    python: str
    load: float  # load average over one minute when the command started


class Results(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The content of one results file."""

    format: Literal[1] = 1
    command: str  # as typed
    commit: str
    taken_at: str  # UTC, ISO 8601
    took_s: float
    machine: Machine
    samples: list[Sample]
    note: str = ""


def current_machine() -> Machine:
    """Describes this machine, with its load at the time of the call."""
    memory_mb = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") >> 20
    cores, python = os.cpu_count() or 1, platform.python_version()
    return Machine(cores=cores, memory_mb=memory_mb, python=python, load=round(os.getloadavg()[0], 2))


def current_commit() -> str:
    """The commit of the running checkout, with a `+` if files differ from it; empty outside a checkout."""
    root = Path(__file__).parents[2]
    try:
        command = ["git", "-C", str(root), "describe", "--always", "--dirty=+", "--abbrev=12", "--exclude=*"]
        return subprocess.run(command, capture_output=True, text=True, timeout=10, check=True).stdout.strip()
    except (OSError, subprocess.SubprocessError):
        return ""


def sample(quantity: str, unit: str, size: tuple[int, int], values: list[float], kind: Kind) -> Sample:
    """Summarizes values as their median with the 5th and 95th percentile; `size` is (gateways, engines)."""
    sorted_values = sorted(values)
    last_index = len(sorted_values) - 1
    low, high = (sorted_values[round(last_index * percentile)] for percentile in (0.05, 0.95))
    return Sample(
        quantity=quantity,
        unit=unit,
        gateways=size[0],
        engines=size[1],
        value=median(sorted_values),  # the mean of the middle two if the count is even
        low=low,
        high=high,
        n=len(sorted_values),
        kind=kind,
    )


def save_results(
    path: Path, command: str, started_at_s: float, machine: Machine, samples: list[Sample], note: str
) -> None:
    """Writes a results file; `started_at_s` and `machine` are as of the start of the command."""
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
    """Reads a results file. Raises ResultsError if it is missing or invalid."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Results)
    except (OSError, msgspec.DecodeError) as error:
        raise ResultsError(f"{path}: {error}") from error
