"""The hollow bulletin: a list of thousands of engines and its changes, told to thousands of gateways.

An event is kept as its one line of bytes; each follower has a place in it and no copy. Lines have one member
more than the protocol's, which gateways skip: `at`, the monotonic second of publishing. Nothing is done about
lines that are over a gateway's bound: that is a thing to be measured. A module for `control.serve`.
"""

import asyncio
import random
import socket
import struct
import time
from collections.abc import Mapping, Sequence
from contextlib import suppress
from typing import Any

import orjson

from whintrail.scale.control import Handler, serve

HEARTBEAT_INTERVAL_S = 1.0
HEARTBEAT_SLICES = 20  # slices in which the followers are spoken to, so that the loop never stands for all
MAX_LINES_PER_SEND = 64  # lines handed to the kernel at once


def build_event(
    number: int, entries: Sequence[Mapping[str, Any]], is_full: bool, at_s: float
) -> dict[str, Any]:
    """An event of the list as the protocol has it, and when it was published."""
    roster = {"generation": number, "reset": is_full, "instances": list(entries)}
    return {"no": number, "at": round(at_s, 6), "roster": roster}


def build_known_list(entries: Sequence[Mapping[str, Any]]) -> dict[str, Any]:
    """For the configuration of a gateway that starts with event 1, the whole list, in hand."""
    return {"no": 1, "items": [build_event(1, entries, True, time.monotonic())]}


class Follower:
    __slots__ = ("has_requested", "is_blocked", "next_index", "received", "sent_bytes", "sock")

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.received, self.has_requested = sock, b"", False
        self.next_index, self.sent_bytes = (
            0,
            0,
        )  # the index of the line it gets next, and the bytes of it that it has
        self.is_blocked = False  # for room in its socket


class Bulletin:
    def __init__(self, config: Mapping[str, Any]) -> None:
        self.entries: list[dict[str, Any]] = list(config["entries"])
        self.index_by_id = {entry["instanceId"]: place for place, entry in enumerate(self.entries)}
        self.random = random.Random(int(config.get("seed", 1)))
        self.lines: list[bytes] = []  # by number less one
        self.published_at_s: list[float] = []
        self.visible_count = 0  # so many may be told: fewer than there are while it lags
        self.lag_s, self.is_muted = 0.0, False
        self.followers: dict[int, Follower] = {}
        self.counts = dict.fromkeys(("asked", "asked_first", "events_told", "bytes_out", "beats", "ended"), 0)
        self.rate_timer: asyncio.TimerHandle | None = None
        split = max(1, int(config.get("split", 1)))
        size = -(-len(self.entries) // split)
        # In parts the first event is not the whole list; who starts with `after 0` gets them one by one.
        for part in range(split):
            self.publish(self.entries[part * size : (part + 1) * size], is_full=part == 0)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", int(config.get("port", 0))))
        self.listener.listen(4096)
        self.listener.setblocking(False)
        loop = asyncio.get_running_loop()
        loop.add_reader(self.listener.fileno(), self._accept)
        self.heartbeat_task = loop.create_task(self._run_heartbeats())

    # --- Followers.

    def _accept(self) -> None:
        for _ in range(64):
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            follower = self.followers[sock.fileno()] = Follower(sock)
            asyncio.get_running_loop().add_reader(sock.fileno(), self._read_request, follower)

    def _read_request(self, follower: Follower) -> None:
        try:
            data = follower.sock.recv(256)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._disconnect(follower)
            return
        follower.received += data
        if follower.has_requested or b"\n" not in follower.received:
            return
        try:
            word, number = follower.received.split(b"\n")[0].split()
            follower.next_index = int(number)
            if word != b"after" or follower.next_index < 0:
                raise ValueError("not asked")
        except ValueError:
            self._disconnect(follower)
            return
        follower.has_requested = True
        self.counts["asked"] += 1
        self.counts["asked_first"] += follower.next_index == 0
        self._send_pending(follower)

    def _disconnect(self, follower: Follower, reset: bool = False) -> None:
        loop, number = asyncio.get_running_loop(), follower.sock.fileno()
        if self.followers.pop(number, None) is None:
            return
        loop.remove_reader(number)
        loop.remove_writer(number)
        if reset:
            follower.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        follower.sock.close()
        self.counts["ended"] += 1

    def _send_pending(self, follower: Follower) -> None:
        """What it has not had, as far as its socket takes it."""
        if self.is_muted or not follower.has_requested:
            return
        while follower.next_index < self.visible_count:
            lines = self.lines[
                follower.next_index : min(self.visible_count, follower.next_index + MAX_LINES_PER_SEND)
            ]
            views: list[bytes | memoryview] = [memoryview(lines[0])[follower.sent_bytes :], *lines[1:]]
            try:
                sent = follower.sock.sendmsg(views)
            except BlockingIOError:
                self._set_blocked(follower, True)
                return
            except OSError:
                self._disconnect(follower)
                return
            self.counts["bytes_out"] += sent
            follower.sent_bytes += sent
            while follower.next_index < self.visible_count and follower.sent_bytes >= len(
                self.lines[follower.next_index]
            ):
                follower.sent_bytes -= len(self.lines[follower.next_index])
                follower.next_index += 1
                self.counts["events_told"] += 1
        self._set_blocked(follower, False)

    def _set_blocked(self, follower: Follower, is_blocked: bool) -> None:
        if is_blocked != follower.is_blocked:
            follower.is_blocked, loop = is_blocked, asyncio.get_running_loop()
            if is_blocked:
                loop.add_writer(follower.sock.fileno(), self._send_pending, follower)
            else:
                loop.remove_writer(follower.sock.fileno())

    async def _run_heartbeats(self) -> None:
        """Each second the last number, to those who wait for nothing."""
        turn = 0
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S / HEARTBEAT_SLICES)
            turn += 1
            for number in [n for n in self.followers if (n + turn) % HEARTBEAT_SLICES == 0]:
                follower = self.followers.get(number)
                if follower is None or self.is_muted or not follower.has_requested or follower.sent_bytes:
                    continue
                if follower.next_index < self.visible_count:
                    continue
                try:
                    self.counts["bytes_out"] += follower.sock.send(b"%d\n" % follower.next_index)
                    self.counts["beats"] += 1
                except BlockingIOError:
                    pass
                except OSError:
                    self._disconnect(follower)

    # --- The list.

    def publish(self, entries: Sequence[Mapping[str, Any]], is_full: bool = False) -> int:
        """A new event; its number."""
        now, number = time.monotonic(), len(self.lines) + 1
        self.lines.append(orjson.dumps(build_event(number, entries, is_full, now)) + b"\n")
        self.published_at_s.append(now)
        if self.lag_s > 0 or self.visible_count < number - 1:  # none overtakes another
            asyncio.get_running_loop().call_later(self.lag_s, self._make_visible, number)
        else:
            self._make_visible(number)
        return number

    def _make_visible(self, number: int) -> None:
        self.visible_count = max(self.visible_count, number)
        for follower in list(self.followers.values()):
            if not follower.is_blocked:
                self._send_pending(follower)

    def publish_change(self, fields: Mapping[str, Any]) -> int:
        """One event. `engines` (ids) and `set` (members of their entries), or `count` engines at random whose
        weight changes; `entries` are taken as they are, new ones too. Its number."""
        if "entries" in fields:
            changed = list(fields["entries"])
        elif "engines" in fields:
            changed = [
                {**self.entries[self.index_by_id[name]], **fields["set"]} for name in fields["engines"]
            ]
        else:
            chosen = self.random.sample(range(len(self.entries)), int(fields.get("count", 1)))
            changed = [{**self.entries[n], "weight": 9 - self.entries[n]["weight"]} for n in chosen]
        for item in changed:
            place = self.index_by_id.setdefault(item["instanceId"], len(self.entries))
            self.entries[place : place + 1] = [item]
        return self.publish(changed)

    def publish_full_list(self, _: Mapping[str, Any]) -> dict[str, int]:
        """The whole list again, as one event; its number and the bytes of its line."""
        number = self.publish([e for e in self.entries if e["lifecycle"] != "left"], is_full=True)
        return {"no": number, "line_bytes": len(self.lines[number - 1])}

    def set_change_rate(self, fields: Mapping[str, Any]) -> None:
        """From now on `per_s` events a second of `count` entries each; 0: none."""
        if self.rate_timer is not None:
            self.rate_timer.cancel()
            self.rate_timer = None
        if (per_s := float(fields["per_s"])) > 0:
            self._publish_at_rate(1 / per_s, time.monotonic() + 1 / per_s, int(fields.get("count", 1)))

    def _publish_at_rate(self, interval_s: float, due_at_s: float, count: int) -> None:
        while due_at_s <= time.monotonic():  # what a late turn owes
            self.publish_change({"count": count})
            due_at_s += interval_s
        later = asyncio.get_running_loop().call_later
        self.rate_timer = later(
            max(0.0, due_at_s - time.monotonic()), self._publish_at_rate, interval_s, due_at_s, count
        )

    def set_muted(self, fields: Mapping[str, Any]) -> None:
        """`on`: it says nothing more and keeps connections open."""
        self.is_muted = bool(fields["on"])
        for follower in list(self.followers.values()):
            if self.is_muted:
                self._set_blocked(follower, False)
            else:
                self._send_pending(follower)

    def set_lag(self, fields: Mapping[str, Any]) -> None:
        """Events are told `seconds` after their publishing, from the next one on."""
        self.lag_s = float(fields["seconds"])

    def reset_connections(self, fields: Mapping[str, Any]) -> int:
        """Reset `count` connections, or all; how many."""
        chosen = list(self.followers.values())[: fields.get("count")]
        for follower in chosen:
            self._disconnect(follower, reset=True)
        return len(chosen)

    def state(self, _: Mapping[str, Any]) -> dict[str, Any]:
        """Counts since the start; `held`: followers that were handed all there is."""
        held = sum(f.has_requested and f.next_index >= len(self.lines) for f in self.followers.values())
        more = {"followers": len(self.followers), "held": held, "last": len(self.lines)}
        return {**self.counts, **more, "line_bytes": len(self.lines[0]), "visible": self.visible_count}

    def publish_times(self, fields: Mapping[str, Any]) -> dict[int, float]:
        """When events were published, by number, after the number `after`; monotonic seconds."""
        first = int(fields.get("after", 0))
        return dict(enumerate(self.published_at_s[first:], first + 1))

    def handlers(self) -> dict[str, Handler]:
        names = ("change", "whole", "rate", "mute", "lag", "cut", "state", "times")
        return {name: getattr(self, name) for name in names}


async def start(config: dict[str, Any]) -> tuple[Any, Mapping[str, Handler]]:
    """`entries`, `port` (0: any), `split`, `seed`; answers its address and the bytes of event 1's line."""
    bulletin = Bulletin(config)
    host, port = bulletin.listener.getsockname()
    return {"where": f"{host}:{port}", "line_bytes": len(bulletin.lines[0])}, bulletin.handlers()


if __name__ == "__main__":
    with suppress(KeyboardInterrupt):
        serve(start)
