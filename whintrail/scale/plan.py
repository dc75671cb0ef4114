"""The sizes that a scale run plays: a Jsonnet file, validated like the operator's file."""

from pathlib import Path
from typing import Annotated, Literal

import msgspec
import rjsonnet
from msgspec import Meta, Struct

Seconds = Annotated[float, Meta(ge=0.5, le=3600.0)]
SizeName = Annotated[str, Meta(pattern=r"^[a-z0-9-]{1,40}$")]
Act = Literal["steady", "changes", "restarts", "machines", "zone", "regions", "control"]


class PlanError(ValueError):
    """The file is invalid. The text is one line."""


class Day(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One scenario of a run.

    `steady`: no faults and no changes. `changes`: the list changes `rate` times a second, while versions are
    proposed one after another. `restarts`: `count` gateways restart by their slots. `machines`: `count`
    gateways are killed at once. `zone`: all hollow gateways of a zone are killed. `regions`: a network
    partition between two thirds of the hollow gateways, and its end. `control`: the leader's process is
    killed, then the next leader's is stopped with SIGSTOP for a while."""

    act: Act
    seconds: Seconds = 10.0
    rate: Annotated[float, Meta(gt=0.0, le=200.0)] = 0.74  # changes a second: 64,000 a day
    count: Annotated[int, Meta(ge=1, le=1000)] = 4


class Size(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One size: how many gateways and engines, and the days to play. docs/CAPACITY.md says what hollow
    gateways leave out."""

    name: SizeName
    gateways: Annotated[int, Meta(ge=3, le=4000)]  # in all; the first are council members, the last are real
    engines: Annotated[int, Meta(ge=1, le=15_000)]
    real: Annotated[int, Meta(ge=0, le=20)] = 0
    processes: Annotated[int, Meta(ge=1, le=64)] = 2  # of hollow gateways, besides those of the council
    council: Literal[1, 3, 5, 7] = 3  # members, each in a process of its own
    zones: Annotated[int, Meta(ge=1, le=64)] = 1
    load_per_s: Annotated[float, Meta(ge=0.0, le=2000.0)] = (
        50.0  # queries to each real gateway on steady days
    )
    queries_per_s: Annotated[float, Meta(ge=0.0, le=100.0)] = (
        2.0  # of a hollow gateway; they limit its probes
    )
    split: Annotated[int, Meta(ge=1, le=64)] = 1  # events of the initial list: one line may be too long
    memos: bool = True  # gateways exchange probe reports
    subset: Annotated[int, Meta(ge=0, le=15_000)] = 0  # engines that each gateway keeps; 0: all
    lease_s: Annotated[float, Meta(ge=0.3, le=60.0)] = 1.2
    check_s: Annotated[float, Meta(ge=1.0, le=600.0)] = 10.0
    messages_per_s: Annotated[float, Meta(ge=50.0, le=100_000.0)] = (
        400.0  # limit for fleet messages of a gateway
    )
    bytes_per_s: Annotated[float, Meta(ge=5_000.0, le=1e9)] = 40_000.0
    join_s: Seconds = 60.0  # time limit until all gateways know each other
    days: Annotated[tuple[Day, ...], Meta(min_length=1, max_length=20)] = (Day(act="steady"),)

    def zone_of(self, number: int) -> str:
        return f"z{number * self.zones // self.gateways + 1}"

    @property
    def hollow_gateways(self) -> range:
        """Numbers of the gateways that are neither council members nor real."""
        return range(self.council, self.gateways - self.real)


class Sweep(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The sizes of one file."""

    version: Literal[1] = 1
    sizes: Annotated[tuple[Size, ...], Meta(min_length=1, max_length=40)]


def read_sweep(path: Path) -> Sweep:
    """The sizes of a file. Raises PlanError with the file, the place and the reason."""
    try:
        data = rjsonnet.evaluate_snippet(str(path), path.read_text(encoding="utf-8"))
    except Exception as error:  # the binding raises its own types and RuntimeError
        raise PlanError(f"{path}: {' '.join(str(error).split())}") from error
    try:
        found: Sweep = msgspec.json.decode(data, type=Sweep)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at ")
        raise PlanError(f"{path}: {place.strip('`') or '$'}: {reason}") from error
    for size in found.sizes:
        if size.gateways < size.council + size.real:
            raise PlanError(f"{path}: {size.name}: {size.gateways} gateways, less than council and real ones")
    return found
