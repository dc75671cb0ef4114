"""A generated deployment of any size: the settings of its gateways and the list of its engines.

Zones, machine types, query classes and counts are parameters. Nothing connects to its addresses.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import orjson

from whintrail import interface as api
from whintrail.gateway.bulletin import read_entry
from whintrail.settings import read_settings

SECOND_US = 1_000_000


@dataclass(frozen=True, slots=True)
class QueryClass:
    """A class of queries: the cost of one query, its threads and deadline, and the class's share of the
    load."""

    name: str
    cost_us: float
    threads: int
    deadline_us: int
    weight: int  # relative frequency among all classes


@dataclass(frozen=True, slots=True)
class Deployment:
    """The parameters of a deployment, and what its gateways and bulletin hold."""

    gateways: int
    engines: int
    zones: int = 19
    cells: int = 4
    machine_types: tuple[tuple[str, float, float], ...] = (  # name, cores, memory in MB
        ("std-16", 16.0, 65_536.0),
        ("std-8", 8.0, 32_768.0),
    )
    query_classes: tuple[QueryClass, ...] = (
        QueryClass("lookup", 8_000.0, 1, 3 * SECOND_US, 16),
        QueryClass("report", 150_000.0, 2, 10 * SECOND_US, 3),
        QueryClass("survey", 900_000.0, 4, 30 * SECOND_US, 1),
    )
    first_started_ms: int = 1_764_000_000_000

    def settings(self, number: int = 0) -> api.Settings:
        """The settings of one gateway, parsed as a gateway parses them."""
        info = {
            "FleetSize": self.gateways,
            "Me": number,
            "Zone": self.zone_of(number),
            "Classes": [
                {"Name": w.name, "AimUs": w.deadline_us // 3, "DeadlineUs": w.deadline_us, "AimStretch": 2.0}
                | {"Effect": "repeatable"}
                for w in self.query_classes
            ],
            "FamilyInfo": {
                "Dop": [w.threads for w in self.query_classes],
                "CpuOfKind": [cores for _, cores, _ in self.machine_types],
                "SizeMb": [memory for _, _, memory in self.machine_types],
                "ProgressPaceUs": SECOND_US,
            },
            "Shapes": [kind for kind, _, _ in self.machine_types],
            "Reporting": {"How": "probe", "Fields": ["cpu_share", "busy_reqs"]},
            "Limits": {"Probing": True, "MayCancel": True, "SecondCopies": True, "MayTell": True}
            | {"RetryAfter": True, "MaxRetryAfterUs": SECOND_US, "MaxAttempts": 4, "MaxOpen": 20_000},
            "Rules": {
                "ColdUs": 15 * SECOND_US,
                "StartCapacity": 0.4,
                "TipMultiple": 2.0,
                "TipAfterUs": SECOND_US,
            },
        }
        return read_settings(info)

    def zone_of(self, number: int) -> str:
        return f"z{number % self.zones:02d}"

    def zone_names(self) -> tuple[str, ...]:
        return tuple(self.zone_of(number) for number in range(self.zones))

    def engine_name(self, number: int) -> str:
        return f"engine-{number % self.zones:02d}-{number:05d}"

    def engine_names(self) -> list[str]:
        return [self.engine_name(number) for number in range(self.engines)]

    def list_item(self, number: int, lifecycle: str = "active") -> dict[str, object]:
        """An engine's entry in the bulletin's list."""
        return {
            "instanceId": self.engine_name(number),
            "hostPort": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7400",
            "zone": self.zone_of(number),
            "machineType": self.machine_types[number % len(self.machine_types)][0],
            "cell": number % self.cells,
            "lifecycle": lifecycle,
            "weight": 4,
            "startedAtMs": self.first_started_ms + number,
        }

    def encode_line(self, event_number: int, items: Sequence[dict[str, object]], is_full: bool) -> bytes:
        """One event as the bulletin sends it, in compact JSON."""
        roster = {"generation": event_number, "reset": is_full, "instances": list(items)}
        return orjson.dumps({"no": event_number, "roster": roster}) + b"\n"

    def full_list_line(self, event_number: int = 1) -> bytes:
        return self.encode_line(
            event_number, [self.list_item(number) for number in range(self.engines)], True
        )

    def engine_entry(self, number: int, lifecycle: str = "active") -> api.EngineEntry:
        return read_entry(self.list_item(number, lifecycle))[0]

    def engine_list(self, kind: api.ListKind = api.ListKind.FULL) -> api.EngineListReceived:
        return api.EngineListReceived(
            kind, tuple(self.engine_entry(number) for number in range(self.engines))
        )
