"""The hollow bulletin: publishes a list of thousands of engines and its changes to thousands of gateways.

Each event is kept once, as its line of bytes; a follower has only a position in the sequence of lines. Lines
have one field more than the protocol's, which gateways ignore: `at`, the monotonic second of publishing.
Lines over a gateway's limit are sent as they are, so that a run can measure the effect. A module for
`control.serve`.
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
HEARTBEAT_SLICES = 20  # of the interval; each serves a part of the followers, so that no turn is long
MAX_LINES_PER_SEND = 64
MAX_ACCEPTS_PER_TURN = 64
REQUEST_CHUNK_BYTES = 256
LISTEN_BACKLOG = 4096


def build_event(
    number: int, entries: Sequence[Mapping[str, Any]], is_full: bool, at_s: float
) -> dict[str, Any]:
    """An event of the list as in the protocol, with its time of publishing."""
    roster = {"generation": number, "reset": is_full, "instances": list(entries)}
    return {"no": number, "at": round(at_s, 6), "roster": roster}


def build_known_list(entries: Sequence[Mapping[str, Any]]) -> dict[str, Any]:
    """The `known` part of a gateway's configuration: the whole list as event 1."""
    return {"no": 1, "items": [build_event(1, entries, True, time.monotonic())]}


class Follower:
    """A gateway's connection."""

    __slots__ = ("has_requested", "is_blocked", "next_index", "received", "sent_bytes", "sock")

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.received, self.has_requested = sock, b"", False
        self.next_index = 0  # of the line that is sent next
        self.sent_bytes = 0  # of that line
        self.is_blocked = False  # the socket's send buffer is full


class Bulletin:
    """Keeps the list with all its events, and sends them to the followers."""

    def __init__(self, config: Mapping[str, Any]) -> None:
        self.entries: list[dict[str, Any]] = list(config["entries"])
        self.index_by_id = {entry["instanceId"]: index for index, entry in enumerate(self.entries)}
        self.random = random.Random(int(config.get("seed", 1)))
        self.lines: list[bytes] = []  # the line of event N is at index N - 1
        self.published_at_s: list[float] = []
        self.visible_count = 0  # lines that may be sent; fewer than there are while events lag
        self.lag_s, self.is_muted = 0.0, False
        self.followers: dict[int, Follower] = {}
        self.counts = dict.fromkeys(("asked", "asked_first", "events_told", "bytes_out", "beats", "ended"), 0)
        self.rate_timer: asyncio.TimerHandle | None = None
        split = max(1, int(config.get("split", 1)))
        size = -(-len(self.entries) // split)
        # With a split, the list takes several events; a client that starts with `after 0` gets them in order.
        for part in range(split):
            self.publish(self.entries[part * size : (part + 1) * size], is_full=part == 0)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", int(config.get("port", 0))))
        self.listener.listen(LISTEN_BACKLOG)
        self.listener.setblocking(False)
        loop = asyncio.get_running_loop()
        loop.add_reader(self.listener.fileno(), self._accept)
        self.heartbeat_task = loop.create_task(self._run_heartbeats())

    # --- Followers.

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            follower = self.followers[sock.fileno()] = Follower(sock)
            asyncio.get_running_loop().add_reader(sock.fileno(), self._read_request, follower)

    def _read_request(self, follower: Follower) -> None:
        """Reads `after NUMBER`, the one request of a connection."""
        try:
            chunk = follower.sock.recv(REQUEST_CHUNK_BYTES)
        except BlockingIOError:
            return
        except OSError:
            chunk = b""
        if not chunk:
            self._disconnect(follower)
            return
        follower.received += chunk
        if follower.has_requested or b"\n" not in follower.received:
            return
        try:
            command, number = follower.received.split(b"\n")[0].split()
            follower.next_index = int(number)
            if command != b"after" or follower.next_index < 0:
                raise ValueError("not a request for events")
        except ValueError:
            self._disconnect(follower)
            return
        follower.has_requested = True
        self.counts["asked"] += 1
        self.counts["asked_first"] += follower.next_index == 0
        self._send_pending(follower)

    def _disconnect(self, follower: Follower, reset: bool = False) -> None:
        loop, descriptor = asyncio.get_running_loop(), follower.sock.fileno()
        if self.followers.pop(descriptor, None) is None:
            return
        loop.remove_reader(descriptor)
        loop.remove_writer(descriptor)
        if reset:
            follower.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        follower.sock.close()
        self.counts["ended"] += 1

    def _send_pending(self, follower: Follower) -> None:
        """Sends the lines that the follower does not have, until its socket is full."""
        if self.is_muted or not follower.has_requested:
            return
        while follower.next_index < self.visible_count:
            end = min(self.visible_count, follower.next_index + MAX_LINES_PER_SEND)
            lines = self.lines[follower.next_index : end]
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
        """Sends the last number once per interval to each follower that is up to date."""
        turn = 0
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S / HEARTBEAT_SLICES)
            turn += 1
            for descriptor in [n for n in self.followers if (n + turn) % HEARTBEAT_SLICES == 0]:
                follower = self.followers.get(descriptor)
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
        """Publishes a new event and returns its number."""
        now, number = time.monotonic(), len(self.lines) + 1
        self.lines.append(orjson.dumps(build_event(number, entries, is_full, now)) + b"\n")
        self.published_at_s.append(now)
        if self.lag_s > 0 or self.visible_count < number - 1:  # keeps the order while earlier events lag
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
        """Publishes one event and returns its number.

        Either `entries` (changed or new ones), or `engines` (ids) and `set` (new fields of their entries), or
        `count` random engines, whose weight changes."""
        if "entries" in fields:
            changed = list(fields["entries"])
        elif "engines" in fields:
            changed = [{**self.entries[self.index_by_id[id]], **fields["set"]} for id in fields["engines"]]
        else:
            chosen = self.random.sample(range(len(self.entries)), int(fields.get("count", 1)))
            changed = [{**self.entries[n], "weight": 9 - self.entries[n]["weight"]} for n in chosen]
        for entry in changed:
            index = self.index_by_id.setdefault(entry["instanceId"], len(self.entries))
            self.entries[index : index + 1] = [entry]
        return self.publish(changed)

    def publish_full_list(self, _: Mapping[str, Any]) -> dict[str, int]:
        """Publishes the whole list as one event; its number and the bytes of its line."""
        number = self.publish([e for e in self.entries if e["lifecycle"] != "left"], is_full=True)
        return {"no": number, "line_bytes": len(self.lines[number - 1])}

    def set_change_rate(self, fields: Mapping[str, Any]) -> None:
        """From now on publishes `per_s` changes a second of `count` entries each; 0: none."""
        if self.rate_timer is not None:
            self.rate_timer.cancel()
            self.rate_timer = None
        if (per_s := float(fields["per_s"])) > 0:
            self._publish_at_rate(1 / per_s, time.monotonic() + 1 / per_s, int(fields.get("count", 1)))

    def _publish_at_rate(self, interval_s: float, due_at_s: float, count: int) -> None:
        while due_at_s <= time.monotonic():  # a late turn publishes all that is overdue
            self.publish_change({"count": count})
            due_at_s += interval_s
        self.rate_timer = asyncio.get_running_loop().call_later(
            max(0.0, due_at_s - time.monotonic()), self._publish_at_rate, interval_s, due_at_s, count
        )

    def set_muted(self, fields: Mapping[str, Any]) -> None:
        """With `on`, nothing is sent and connections stay open."""
        self.is_muted = bool(fields["on"])
        for follower in list(self.followers.values()):
            if self.is_muted:
                self._set_blocked(follower, False)
            else:
                self._send_pending(follower)

    def set_lag(self, fields: Mapping[str, Any]) -> None:
        """From the next event on, events are sent `seconds` after publishing."""
        self.lag_s = float(fields["seconds"])

    def reset_connections(self, fields: Mapping[str, Any]) -> int:
        """Resets `count` connections, or all; returns how many."""
        chosen = list(self.followers.values())[: fields.get("count")]
        for follower in chosen:
            self._disconnect(follower, reset=True)
        return len(chosen)

    def state(self, _: Mapping[str, Any]) -> dict[str, Any]:
        """Counts since the start; `held`: followers to which all events were sent."""
        held = sum(f.has_requested and f.next_index >= len(self.lines) for f in self.followers.values())
        more = {"followers": len(self.followers), "held": held, "last": len(self.lines)}
        return {**self.counts, **more, "line_bytes": len(self.lines[0]), "visible": self.visible_count}

    def publish_times(self, fields: Mapping[str, Any]) -> dict[int, float]:
        """The monotonic seconds of publishing by event number, of events after `after`."""
        first = int(fields.get("after", 0))
        return dict(enumerate(self.published_at_s[first:], first + 1))

    def handlers(self) -> dict[str, Handler]:
        """By the words of the control channel."""
        return {
            "change": self.publish_change,
            "whole": self.publish_full_list,
            "rate": self.set_change_rate,
            "mute": self.set_muted,
            "lag": self.set_lag,
            "cut": self.reset_connections,
            "state": self.state,
            "times": self.publish_times,
        }


async def start(config: dict[str, Any]) -> tuple[Any, Mapping[str, Handler]]:
    """Takes `entries`, `port` (0: any), `split` and `seed`; answers its address and the bytes of event 1."""
    bulletin = Bulletin(config)
    host, port = bulletin.listener.getsockname()
    return {"where": f"{host}:{port}", "line_bytes": len(bulletin.lines[0])}, bulletin.handlers()


if __name__ == "__main__":
    with suppress(KeyboardInterrupt):
        serve(start)
