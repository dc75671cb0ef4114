"""Reads batches on standard input, lets each instance decide, writes one reply a batch."""

import sys
from typing import Any, BinaryIO

import orjson

from whintrail.drill.codec import TYPE_KEY, EventReader, WireError, read_entries, write_action, write_fault
from whintrail.interface import EngineEntry
from whintrail.routing import RoutingPolicy


class SimulatorAdapter:
    """The instances of this process, each with its own module and nothing in common but the wire."""

    def __init__(self) -> None:
        self.engine_lists: dict[int, tuple[EngineEntry, ...]] = {}
        self.instances: dict[int, tuple[EventReader, RoutingPolicy]] = {}

    def _handle_events(self, number: int, now_us: int, events: list[dict[str, Any]]) -> list[dict[str, Any]]:
        written: list[dict[str, Any]] = []
        try:
            for data in events:
                match data[TYPE_KEY]:
                    case "Register":
                        self.engine_lists[data["SetId"]] = read_entries(data["Records"])
                    case "Start":
                        reader = EventReader(data["BootInfo"])
                        gateway = RoutingPolicy(reader.settings, data["RandomSeed"], now_us)
                        self.instances[number] = (reader, gateway)
                        written += map(write_action, gateway.start())
                    case "Teardown":
                        self.instances.pop(number, None)
                        written.clear()  # what a killed instance was about to do never happens
                    case _ if number in self.instances:
                        reader, gateway = self.instances[number]
                        event = reader.read_event(data, self.engine_lists)
                        if event is not None:
                            written += map(write_action, gateway.handle(now_us, event))
        except Exception as error:  # reported on the wire, which ends the day with this text
            return [write_fault(f"{type(error).__name__}: {error}")]
        return written

    def handle_batch(self, line: bytes) -> bytes:
        try:
            batch = orjson.loads(line)
            frame, now_us, parts = batch["frame"], batch["NowUs"], batch["parts"]
            groups = [(part["I"], part["events"]) for part in parts]
        except (orjson.JSONDecodeError, KeyError, TypeError) as error:
            raise WireError(f"not a batch: {type(error).__name__}: {error}") from error
        replies = [
            {"I": number, "cmds": self._handle_events(number, now_us, events)} for number, events in groups
        ]
        return orjson.dumps({"frame": frame, "parts": [part for part in replies if part["cmds"]]})


def run_adapter(source: BinaryIO, sink: BinaryIO) -> None:
    drill = SimulatorAdapter()
    for line in source:
        sink.write(drill.handle_batch(line) + b"\n")
        sink.flush()


def main() -> int:
    try:
        run_adapter(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"whintrail.drill: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
