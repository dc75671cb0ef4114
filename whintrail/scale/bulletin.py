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

BEAT_S = 1.0
BEATS_A_SECOND = 20  # slices in which the followers are spoken to, so that the loop never stands for all
VIEWS_MOST = 64  # lines handed to the kernel at once


def event(number: int, entries: Sequence[Mapping[str, Any]], whole: bool, at_s: float) -> dict[str, Any]:
    """An event of the list as the protocol has it, and when it was published."""
    roster = {"generation": number, "reset": whole, "instances": list(entries)}
    return {"no": number, "at": round(at_s, 6), "roster": roster}


def known(entries: Sequence[Mapping[str, Any]]) -> dict[str, Any]:
    """For the configuration of a gateway that starts with event 1, the whole list, in hand."""
    return {"no": 1, "items": [event(1, entries, True, time.monotonic())]}


class Follower:
    __slots__ = ("asked", "data", "next", "offset", "sock", "waits")

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.data, self.asked = sock, b"", False
        self.next, self.offset = 0, 0  # the index of the line it gets next, and the bytes of it that it has
        self.waits = False  # for room in its socket


class Bulletin:
    def __init__(self, config: Mapping[str, Any]) -> None:
        self.entries: list[dict[str, Any]] = list(config["entries"])
        self.places = {entry["instanceId"]: place for place, entry in enumerate(self.entries)}
        self.random = random.Random(int(config.get("seed", 1)))
        self.lines: list[bytes] = []  # by number less one
        self.published: list[float] = []
        self.visible = 0  # so many may be told: fewer than there are while it lags
        self.lag_s, self.muted = 0.0, False
        self.followers: dict[int, Follower] = {}
        self.counts = dict.fromkeys(("asked", "asked_first", "events_told", "bytes_out", "beats", "ended"), 0)
        self.pace: asyncio.TimerHandle | None = None
        split = max(1, int(config.get("split", 1)))
        size = -(-len(self.entries) // split)
        # In parts the first event is not the whole list; who starts with `after 0` gets them one by one.
        for part in range(split):
            self.publish(self.entries[part * size : (part + 1) * size], whole=part == 0)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", int(config.get("port", 0))))
        self.listener.listen(4096)
        self.listener.setblocking(False)
        loop = asyncio.get_running_loop()
        loop.add_reader(self.listener.fileno(), self._acceptable)
        self.beating = loop.create_task(self._beat())

    # --- Followers.

    def _acceptable(self) -> None:
        for _ in range(64):
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            follower = self.followers[sock.fileno()] = Follower(sock)
            asyncio.get_running_loop().add_reader(sock.fileno(), self._readable, follower)

    def _readable(self, follower: Follower) -> None:
        try:
            data = follower.sock.recv(256)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._end(follower)
            return
        follower.data += data
        if follower.asked or b"\n" not in follower.data:
            return
        try:
            word, number = follower.data.split(b"\n")[0].split()
            follower.next = int(number)
            if word != b"after" or follower.next < 0:
                raise ValueError("not asked")
        except ValueError:
            self._end(follower)
            return
        follower.asked = True
        self.counts["asked"] += 1
        self.counts["asked_first"] += follower.next == 0
        self._tell(follower)

    def _end(self, follower: Follower, reset: bool = False) -> None:
        loop, number = asyncio.get_running_loop(), follower.sock.fileno()
        if self.followers.pop(number, None) is None:
            return
        loop.remove_reader(number)
        loop.remove_writer(number)
        if reset:
            follower.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        follower.sock.close()
        self.counts["ended"] += 1

    def _tell(self, follower: Follower) -> None:
        """What it has not had, as far as its socket takes it."""
        if self.muted or not follower.asked:
            return
        while follower.next < self.visible:
            lines = self.lines[follower.next : min(self.visible, follower.next + VIEWS_MOST)]
            views: list[bytes | memoryview] = [memoryview(lines[0])[follower.offset :], *lines[1:]]
            try:
                sent = follower.sock.sendmsg(views)
            except BlockingIOError:
                self._wait(follower, True)
                return
            except OSError:
                self._end(follower)
                return
            self.counts["bytes_out"] += sent
            follower.offset += sent
            while follower.next < self.visible and follower.offset >= len(self.lines[follower.next]):
                follower.offset -= len(self.lines[follower.next])
                follower.next += 1
                self.counts["events_told"] += 1
        self._wait(follower, False)

    def _wait(self, follower: Follower, waits: bool) -> None:
        if waits != follower.waits:
            follower.waits, loop = waits, asyncio.get_running_loop()
            if waits:
                loop.add_writer(follower.sock.fileno(), self._tell, follower)
            else:
                loop.remove_writer(follower.sock.fileno())

    async def _beat(self) -> None:
        """Each second the last number, to those who wait for nothing."""
        turn = 0
        while True:
            await asyncio.sleep(BEAT_S / BEATS_A_SECOND)
            turn += 1
            for number in [n for n in self.followers if (n + turn) % BEATS_A_SECOND == 0]:
                follower = self.followers.get(number)
                if follower is None or self.muted or not follower.asked or follower.offset:
                    continue
                if follower.next < self.visible:
                    continue
                try:
                    self.counts["bytes_out"] += follower.sock.send(b"%d\n" % follower.next)
                    self.counts["beats"] += 1
                except BlockingIOError:
                    pass
                except OSError:
                    self._end(follower)

    # --- The list.

    def publish(self, entries: Sequence[Mapping[str, Any]], whole: bool = False) -> int:
        """A new event; its number."""
        now, number = time.monotonic(), len(self.lines) + 1
        self.lines.append(orjson.dumps(event(number, entries, whole, now)) + b"\n")
        self.published.append(now)
        if self.lag_s > 0 or self.visible < number - 1:  # none overtakes another
            asyncio.get_running_loop().call_later(self.lag_s, self._show, number)
        else:
            self._show(number)
        return number

    def _show(self, number: int) -> None:
        self.visible = max(self.visible, number)
        for follower in list(self.followers.values()):
            if not follower.waits:
                self._tell(follower)

    def change(self, fields: Mapping[str, Any]) -> int:
        """One event. `engines` (ids) and `set` (members of their entries), or `count` engines at random whose
        weight changes; `entries` are taken as they are, new ones too. Its number."""
        if "entries" in fields:
            changed = list(fields["entries"])
        elif "engines" in fields:
            changed = [{**self.entries[self.places[name]], **fields["set"]} for name in fields["engines"]]
        else:
            chosen = self.random.sample(range(len(self.entries)), int(fields.get("count", 1)))
            changed = [{**self.entries[n], "weight": 9 - self.entries[n]["weight"]} for n in chosen]
        for item in changed:
            place = self.places.setdefault(item["instanceId"], len(self.entries))
            self.entries[place : place + 1] = [item]
        return self.publish(changed)

    def whole(self, _: Mapping[str, Any]) -> dict[str, int]:
        """The whole list again, as one event; its number and the bytes of its line."""
        number = self.publish([e for e in self.entries if e["lifecycle"] != "left"], whole=True)
        return {"no": number, "line_bytes": len(self.lines[number - 1])}

    def rate(self, fields: Mapping[str, Any]) -> None:
        """From now on `per_s` events a second of `count` entries each; 0: none."""
        if self.pace is not None:
            self.pace.cancel()
            self.pace = None
        if (per_s := float(fields["per_s"])) > 0:
            self._paced(1 / per_s, time.monotonic() + 1 / per_s, int(fields.get("count", 1)))

    def _paced(self, every_s: float, due: float, count: int) -> None:
        while due <= time.monotonic():  # what a late turn owes
            self.change({"count": count})
            due += every_s
        later = asyncio.get_running_loop().call_later
        self.pace = later(max(0.0, due - time.monotonic()), self._paced, every_s, due, count)

    def mute(self, fields: Mapping[str, Any]) -> None:
        """`on`: it says nothing more and keeps connections open."""
        self.muted = bool(fields["on"])
        for follower in list(self.followers.values()):
            if self.muted:
                self._wait(follower, False)
            else:
                self._tell(follower)

    def lag(self, fields: Mapping[str, Any]) -> None:
        """Events are told `seconds` after their publishing, from the next one on."""
        self.lag_s = float(fields["seconds"])

    def cut(self, fields: Mapping[str, Any]) -> int:
        """Reset `count` connections, or all; how many."""
        chosen = list(self.followers.values())[: fields.get("count")]
        for follower in chosen:
            self._end(follower, reset=True)
        return len(chosen)

    def state(self, _: Mapping[str, Any]) -> dict[str, Any]:
        """Counts since the start; `held`: followers that were handed all there is."""
        held = sum(f.asked and f.next >= len(self.lines) for f in self.followers.values())
        more = {"followers": len(self.followers), "held": held, "last": len(self.lines)}
        return {**self.counts, **more, "line_bytes": len(self.lines[0]), "visible": self.visible}

    def times(self, fields: Mapping[str, Any]) -> dict[int, float]:
        """When events were published, by number, after the number `after`; monotonic seconds."""
        first = int(fields.get("after", 0))
        return dict(enumerate(self.published[first:], first + 1))

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
