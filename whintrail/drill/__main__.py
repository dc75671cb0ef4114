"""Reads batches of events on standard input, runs the routing policies, writes one reply for each batch."""

import sys
from typing import Any, BinaryIO

import orjson

from whintrail.drill.codec import TYPE_KEY, EventReader, WireError, read_entries, write_action, write_fault
from whintrail.interface import EngineEntry
from whintrail.routing import RoutingPolicy


class SimulatorAdapter:
    """The gateway instances of this process; each has its own policy, only the engine lists are shared."""

    def __init__(self) -> None:
        self.engine_lists: dict[int, tuple[EngineEntry, ...]] = {}
        self.instances: dict[int, tuple[EventReader, RoutingPolicy]] = {}

    def _handle_events(self, number: int, now_us: int, events: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Handle the events of one instance and return its actions as messages."""
        written: list[dict[str, Any]] = []
        try:
            for data in events:
                match data[TYPE_KEY]:
                    case "Register":
                        self.engine_lists[data["SetId"]] = read_entries(data["Records"])
                    case "Start":
                        reader = EventReader(data["BootInfo"])
                        policy = RoutingPolicy(reader.settings, data["RandomSeed"], now_us)
                        self.instances[number] = (reader, policy)
                        written += map(write_action, policy.start())
                    case "Teardown":
                        self.instances.pop(number, None)
                        written.clear()  # a killed instance carries out none of its pending actions
                    case _ if number in self.instances:
                        reader, policy = self.instances[number]
                        event = reader.read_event(data, self.engine_lists)
                        if event is not None:
                            written += map(write_action, policy.handle(now_us, event))
        except Exception as error:  # reported to the simulator, which stops the run with this text
            return [write_fault(f"{type(error).__name__}: {error}")]
        return written

    def handle_batch(self, line: bytes) -> bytes:
        """Handle one batch and return the reply; raises WireError if the line is not a batch."""
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
    """Answer each batch of the source until it ends."""
    adapter = SimulatorAdapter()
    for line in source:
        sink.write(adapter.handle_batch(line) + b"\n")
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
