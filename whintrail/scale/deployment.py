"""A deployment of any size, made up by parameters: the settings of its gateways, the list of its engines.

Nothing is a constant of a site: zones, kinds, classes and counts are fields. No address is connected to.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import orjson

from whintrail import interface as api
from whintrail.gateway.bulletin import read_entry
from whintrail.settings import read_settings

SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class Work:
    """A class of queries: what one costs on its threads, and how often it is among others."""

    name: str
    cost_us: float
    threads: int
    deadline_us: int
    parts: int  # of all queries, against the other classes'


@dataclass(frozen=True, slots=True)
class Deployment:
    gateways: int
    engines: int
    zones: int = 19
    cells: int = 4
    kinds: tuple[tuple[str, float, float], ...] = (("std-16", 16.0, 65_536.0), ("std-8", 8.0, 32_768.0))
    work: tuple[Work, ...] = (
        Work("lookup", 8_000.0, 1, 3 * SECOND, 16),
        Work("report", 150_000.0, 2, 10 * SECOND, 3),
        Work("survey", 900_000.0, 4, 30 * SECOND, 1),
    )
    started_ms: int = 1_764_000_000_000

    def settings(self, me: int = 0) -> api.Settings:
        """Those of gateway `me`, read as a gateway reads them."""
        info = {
            "FleetSize": self.gateways,
            "Me": me,
            "Zone": self.zone(me),
            "Classes": [
                {"Name": w.name, "AimUs": w.deadline_us // 3, "DeadlineUs": w.deadline_us, "AimStretch": 2.0}
                | {"Effect": "repeatable"}
                for w in self.work
            ],
            "FamilyInfo": {
                "Dop": [w.threads for w in self.work],
                "CpuOfKind": [cores for _, cores, _ in self.kinds],
                "SizeMb": [memory for _, _, memory in self.kinds],
                "ProgressPaceUs": SECOND,
            },
            "Shapes": [kind for kind, _, _ in self.kinds],
            "Reporting": {"How": "probe", "Fields": ["cpu_share", "busy_reqs"]},
            "Limits": {"Probing": True, "MayCancel": True, "SecondCopies": True, "MayTell": True}
            | {"RetryAfter": True, "MaxRetryAfterUs": SECOND, "MaxAttempts": 4, "MaxOpen": 20_000},
            "Rules": {"ColdUs": 15 * SECOND, "StartCapacity": 0.4, "TipMultiple": 2.0, "TipAfterUs": SECOND},
        }
        return read_settings(info)

    def zone(self, number: int) -> str:
        return f"z{number % self.zones:02d}"

    def zone_names(self) -> tuple[str, ...]:
        return tuple(self.zone(number) for number in range(self.zones))

    def name(self, number: int) -> str:
        return f"engine-{number % self.zones:02d}-{number:05d}"

    def names(self) -> list[str]:
        return [self.name(number) for number in range(self.engines)]

    def item(self, number: int, lifecycle: str = "active") -> dict[str, object]:
        """An engine as the bulletin tells of it."""
        return {
            "instanceId": self.name(number),
            "hostPort": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7400",
            "zone": self.zone(number),
            "machineType": self.kinds[number % len(self.kinds)][0],
            "cell": number % self.cells,
            "lifecycle": lifecycle,
            "weight": 4,
            "startedAtMs": self.started_ms + number,
        }

    def line(self, event: int, items: Sequence[dict[str, object]], reset: bool) -> bytes:
        """One line of the bulletin, without a space that it does not need."""
        roster = {"generation": event, "reset": reset, "instances": list(items)}
        return orjson.dumps({"no": event, "roster": roster}) + b"\n"

    def whole_line(self, event: int = 1) -> bytes:
        return self.line(event, [self.item(number) for number in range(self.engines)], True)

    def entry(self, number: int, lifecycle: str = "active") -> api.EngineEntry:
        return read_entry(self.item(number, lifecycle))[0]

    def listed(self, kind: api.ListKind = api.ListKind.FULL) -> api.EngineListReceived:
        return api.EngineListReceived(kind, tuple(self.entry(number) for number in range(self.engines)))
