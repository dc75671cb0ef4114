"""Stand-ins and helpers that the cases share: a record, a sound engine, the list service, the settings.

They need Python's standard library and the project's own stand-ins only. All addresses are loopback ones.
"""

import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from whintrail.standins import scripted

os.environ.pop("PYTHONPATH", None)  # set by run.sh for the case itself, not for the gateway
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110.0  # a case that takes longer could not run
HELD, BROKEN, NOT_RUN = 0, 1, 2

# A small deployment like that of the minutes archive: 16-core engines, three classes, loads that must never
# run twice, drains kept within 250 ms.
CLASSES: list[dict[str, Any]] = [
    {"Name": "lookup", "Effect": "repeatable", "AimUs": 800_000, "DeadlineUs": 4_000_000, "Worth": 1.0},
    {"Name": "report", "Effect": "repeatable", "AimUs": 1_500_000, "DeadlineUs": 25_000_000, "Worth": 6.0},
    {"Name": "load", "Effect": "once", "AimUs": 4_000_000, "DeadlineUs": 25_000_000, "Worth": 6.0},
]


def settings() -> dict[str, Any]:
    """The settings of the gateway, in the form of the wire page."""
    return {
        "Classes": [{"AimStretch": 2.0, "Group": "all", "WindowUs": 5_000_000, **item} for item in CLASSES],
        "FamilyInfo": {
            "ClassLoad": [False, False, True],
            "CpuOfKind": [16],
            "Dop": [1, 2, 2],
            "MaxGrantShare": 0.4,
            "MemoryHeeded": True,
            "OutOfMemory": "shrink",
            "Priorities": True,
            "ProgressPaceUs": 500_000,
            "SizeMb": [32768.0],
            "TellsCost": True,
        },
        "FleetSize": 1,
        "Limits": {
            "ConnectTimeoutUs": 250_000,
            "KeepaliveUs": 30_000_000,
            "MaxAttempts": 3,
            "MaxOpen": 20_000,
            "MaxRetryAfterUs": 2_000_000,
            "MaxStreams": 100,
            "MayCancel": True,
            "MayTell": False,
            "Probing": True,
            "RetryAfter": True,
            "SecondCopies": True,
        },
        "Me": 0,
        "MembershipMode": "pushed",
        "Reporting": {"Fields": ["busy_reqs", "pending", "x0"], "How": "probe"},
        "Rules": {
            "AnswerSlackUs": 20_000,
            "ColdUs": 12_000_000,
            "DrainGraceUs": 250_000,
            "StartCapacity": 0.4,
            "TipAfterUs": 1_500_000,
            "TipMultiple": 3.0,
        },
        "Shapes": ["std-16"],
        "TickUs": 5000,
        "Tiers": ["query-engines"],
        "Zone": "akl-1",
        "Zones": ["akl-1"],
    }


def hobart_settings() -> dict[str, Any]:
    """The same with the classes and rules of the Hobart brief: all may be repeated, but never two at once."""
    base = settings()
    lookup, report = base["Classes"][:2]
    base["Classes"] = [
        {**lookup, "AimUs": 600_000, "DeadlineUs": 3_000_000},
        {**report, "DeadlineUs": 25_000_000, "Worth": 12.0},
    ]
    base["FamilyInfo"].update(
        ClassLoad=[False, False],
        CpuOfKind=[12],
        Dop=[1, 3],
        OutOfMemory="wait",
        Priorities=False,
        ProgressPaceUs=0,
    )
    base["Limits"].update(KeepaliveUs=15_000_000, MaxStreams=32, RetryAfter=False, SecondCopies=False)
    base["Rules"].update(ColdUs=14_000_000, DrainGraceUs=2_000_000, StartCapacity=0.3)
    base["Reporting"] = {"Fields": ["cpu_share", "pending", "x1", "x0"], "How": "probe"}
    return base


class Record:
    """What was sent, answered and run, in the order of the events; written when the case ends."""

    def __init__(self) -> None:
        self.started_at = time.monotonic()
        self._lines: list[tuple[float, str]] = []
        self._lock = threading.Lock()

    def add(self, text: str, at: float | None = None) -> None:
        """Add a line, with the time of the event."""
        at = time.monotonic() if at is None else at
        with self._lock:
            self._lines.append((at, text))

    def save(self, path: Path) -> None:
        with self._lock:
            lines = sorted(self._lines)
        path.write_text("".join(f"{at - self.started_at:9.3f}  {text}\n" for at, text in lines))


class Engine(scripted.Server):
    """A sound engine: it runs what it gets, gives up what is undone, and answers probes at once."""

    def __init__(self, name: str, record: Record, run_s: float) -> None:
        self.name, self.record, self.run_s = name, record, run_s
        self.received: list[tuple[float, str]] = []  # when a request had come whole, and its id
        self.report_fields: list[str] = []  # named in the settings
        super().__init__()

    def entry(self, state: str = "active") -> dict[str, Any]:
        """Its line in the list."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "akl-1",
            "machineType": "std-16",
            "cell": 0,
            "lifecycle": state,
            "weight": 4,
            "startedAtMs": 0,
        }

    def serve(self, sock: socket.socket) -> None:
        file, open_ids, lock = sock.makefile("rb"), set[str](), threading.Lock()

        def answer(text: str, body: bytes = b"") -> None:
            with lock, suppress(OSError):
                sock.sendall(f"{text} {len(body)}\r\n".encode() + body + b"\r\n")

        def finish(id: str) -> None:
            if id in open_ids:
                open_ids.discard(id)
                self.record.add(f"{self.name}: has run {id}, answers served")
                fields = f"total=1,elapsed={self.run_s * 1000:g},rss=64"
                answer(f"{id} served {fields}", b"a\tb\t%b\n" % id.encode())

        while line := file.readline():
            match line.decode().split():
                case ["do", id, fields, length]:
                    file.read(int(length) + 2)
                    at = time.monotonic()
                    self.received.append((at, id))
                    self.record.add(f"{self.name}: do {id} {fields}", at)
                    open_ids.add(id)
                    timer = threading.Timer(self.run_s, finish, (id,))
                    timer.daemon = True
                    timer.start()
                case ["undo", id]:
                    self.record.add(f"{self.name}: undo {id}")
                    open_ids.discard(id)
                case ["top", tag]:
                    values = {"busy_reqs": len(open_ids), "cpu_share": min(1.0, len(open_ids) / 12)}
                    stats = ";".join(f"{name}:{values.get(name, 0):g}" for name in self.report_fields)
                    answer(f"{tag} green stats={stats}")
                case ["ping", tag]:
                    answer(f"{tag} green -")


class ListService(scripted.Server):
    """The list service: all later events, and a line with the last number each second."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        super().__init__()

    def publish(self, *entries: dict[str, Any], reset: bool = False) -> float:
        """Add an event; returns when it was in the list service."""
        number = len(self.events) + 1
        roster = {"generation": number, "reset": reset, "instances": list(entries)}
        self.events.append({"no": number, "roster": roster})
        at = time.monotonic()
        states = ", ".join(f"{entry['instanceId']} {entry['lifecycle']}" for entry in entries)
        self.record.add(f"list service: event {number}: {states}", at)
        return at

    def serve(self, sock: socket.socket) -> None:
        line = sock.makefile("rb").readline()
        if not line:
            return
        last = int(line.split()[1])
        self.record.add(f"list service: asked for what came after {last}")
        next_beat = 0.0
        while True:
            for event in self.events[last:]:
                sock.sendall(json.dumps(event).encode() + b"\n")
                last = event["no"]
            if time.monotonic() >= next_beat:
                sock.sendall(b"%d\n" % last)
                next_beat = time.monotonic() + 1.0
            time.sleep(0.01)


class Setup:
    """A gateway, started by `run` of the deploy file, with its engines and its list service."""

    def __init__(self, record: Record, folder: Path, engine_count: int, run_s: float, sockets: int) -> None:
        self.record = record
        self.engines = [Engine(f"s-{number}", record, run_s) for number in range(engine_count)]
        self.list_service = ListService(record)
        self.list_service.publish(*(engine.entry() for engine in self.engines), reset=True)
        self.folder, self.sockets = folder, sockets
        self.settings = settings()
        self.port = 0
        self.gateway: scripted.Gateway | None = None

    def start(self, list_address: str | None = None) -> None:
        """Start the gateway, and wait until it answers the empty query."""
        with scripted.listener() as free:
            self.port = free.getsockname()[1]
        address = list_address or self.list_service.address
        config = scripted.configuration("n0", self.port, address, self.list_service.events, self.sockets)
        config["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets}
        config["settings"] = self.settings
        for engine in self.engines:
            engine.report_fields = self.settings["Reporting"]["Fields"]
        self.gateway = scripted.Gateway(config, self.folder)
        scripted.wait_for(self._is_ready)
        self.record.add("gateway: ready")

    def _is_ready(self) -> bool:
        assert self.gateway is not None and self.gateway.process.poll() is None, "the gateway ended"
        try:
            client = scripted.Client(self.port)
        except OSError:
            return False
        is_empty = client.ask("").empty
        client.close()
        return is_empty

    def stop(self) -> None:
        if self.gateway is not None:
            if self.gateway.process.poll() is not None:
                self.record.add(f"gateway: ended by itself with {self.gateway.process.returncode}")
            self.gateway.kill()
            for line in self.gateway.log_text().splitlines():
                self.record.add(f"log: {line}")


def run_case(
    folder: Path, case: Callable[[Setup], int], engine_count: int, run_s: float, sockets: int
) -> None:
    """Run a case, write its record, end all that it started, and exit with its status."""
    record, status = Record(), NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        setup = Setup(record, Path(temporary), engine_count, run_s, sockets)

        def give_up(reason: str) -> None:
            record.add(reason)
            setup.stop()
            shutil.rmtree(temporary, ignore_errors=True)
            record.save(folder / "record.txt")
            os._exit(NOT_RUN)

        watchdog = threading.Timer(LIMIT_S, give_up, ("the case took longer than it may",))
        signal.signal(signal.SIGTERM, lambda *_: give_up("the case was told to end"))
        watchdog.daemon = True
        watchdog.start()
        try:
            status = case(setup)
        except Exception as error:
            record.add(f"the case could not run: {type(error).__name__}: {error}")
        finally:
            setup.stop()
            watchdog.cancel()
    words = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}
    record.add(f"result: {words[status]}")
    record.save(folder / "record.txt")
    print(words[status])
    sys.stdout.flush()
    os._exit(status)
