"""Gateways that keep a part of the engines each, under faults: an audit from the engines' side.

Six gateways of the program, with a relay between them, before engines that come, drain and go. From outside:
an engine gets queries only from gateways that keep it by some list of late, by the same arithmetic; one that
was told as leaving gets nothing new soon after; each query gets one answer while its gateway lives; and after
the faults every engine that is ready is served by who keeps it. Loopback only; every wait bounded.
"""

import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from whintrail import interface as api
from whintrail.standins.peers import Fleet, lossy, sound, split
from whintrail.standins.scripted import Engine, query, wait_for
from whintrail.subset.assignment import SubsetAssignment
from whintrail.subset.plan import SubsetPlan

GATEWAYS, ENGINES, SIZE, HOLDERS = 6, 18, 8, 2
ASKED = {"size": SIZE, "least_holders": HOLDERS, "least_stratum": 0}
LATE_S = 3.5  # a list may be so old: 1.5 s of silence, a watch made anew after 1.6 s, a busy machine
AFTER_S = 4.0  # without faults, for the last look
PAUSE_S = 0.02


@dataclass
class Audit:
    asked: int = 0
    got: int = 0  # queries as engines got them
    strange: list[tuple[str, int]] = field(default_factory=list)  # engine, a gateway that does not keep it
    drained: list[tuple[str, float]] = field(
        default_factory=list
    )  # engine, so many seconds after it was told
    unanswered: int = 0  # by a gateway that lived
    idle: list[str] = field(default_factory=list)  # engines that their keepers never reach any more
    ends: Counter[str] = field(default_factory=Counter)

    @property
    def sound(self) -> bool:
        return not (self.strange or self.drained or self.unanswered or self.idle)


def settings_of(me: int) -> api.Settings:
    from whintrail.settings import read_settings
    from whintrail.standins.scripted import settings

    return read_settings({**settings(MayTell=True), "FleetSize": GATEWAYS, "Me": me})


class Story:
    def __init__(self, folder: Path, seed: int, operator: dict[str, Any]) -> None:
        self.random, self.audit = Random(seed), Audit()
        self.parts = [
            SubsetAssignment(SubsetPlan(SIZE, HOLDERS, 0), settings_of(me)) for me in range(GATEWAYS)
        ]
        self.versions: list[tuple[float, list[frozenset[str]]]] = []  # since when, what each gateway keeps
        self.leaving: dict[str, float] = {}
        self.owner: dict[str, int] = {}  # of a call: whom it was asked of
        self.lives = [0] * GATEWAYS
        self.ended, self.muted_until = threading.Event(), 0.0
        self.ready = [Engine(f"s-{number}") for number in range(ENGINES)]
        self.engines = list(self.ready)
        self.fleet = Fleet(folder, GATEWAYS, list(self.ready), operator=lambda number, build: operator)
        self._listed(api.ListKind.FULL, [e.entry() for e in self.ready])

    # --- The list, and what follows from it.

    def _listed(self, kind: api.ListKind, entries: list[dict[str, Any]]) -> None:
        from whintrail.gateway.bulletin import read_entry

        event = api.EngineListReceived(kind, tuple(read_entry(entry)[0] for entry in entries))
        for part in self.parts:
            part.apply_list(event)
        self.versions.append((time.monotonic(), [frozenset(part.kept) for part in self.parts]))

    def publish(self, *entries: dict[str, Any]) -> None:
        self.fleet.bulletin.publish(*entries)
        self._listed(api.ListKind.DELTA, list(entries))

    # --- Clients: one at each gateway, one query after another.

    def client(self, number: int) -> None:
        client, life = None, 0
        while not self.ended.is_set():
            try:
                if client is None:
                    life = self.lives[number]  # that of the process that it reaches, or of an earlier one
                    client = self.fleet.client(number)
                text = query(ttl=4000)
                self.owner[text.split("call=")[1][:16]] = number
                self.audit.asked += 1
                answer = client.ask(text)
                end = answer.sqlstate or answer.status
                if not end and life == self.lives[number]:
                    self.audit.unanswered += 1
                self.audit.ends[end or "lost"] += 1
                if end:
                    self.ended.wait(PAUSE_S)
                    continue
            except (OSError, ValueError, AssertionError):
                self.audit.ends["no connection"] += 1
                self.ended.wait(0.1)
            client = None

    # --- Faults.

    def act(self) -> None:
        match self.random.choice(["leave", "join", "kill", "relay", "mute", "cold", "calm"]):
            case "leave" if len(self.ready) > ENGINES // 2:
                engine = self.ready.pop(self.random.randrange(len(self.ready)))
                self.publish(engine.entry("leaving"))
                self.leaving[engine.name] = max(time.monotonic(), self.muted_until)
            case "join" | "cold" as how:
                engine = Engine(f"t-{len(self.engines)}")
                self.engines.append(engine)
                self.ready.append(engine)
                started = int(time.time() * 1000) if how == "cold" else 0
                self.publish(engine.entry(startedAtMs=started))
            case "kill":
                number = self.random.randrange(GATEWAYS)
                self.lives[number] += 1
                self.fleet.gateways[number].end()
                self.lives[number] += 1  # also for who came while it ended
                self.fleet.gateways[number] = self.fleet.start(number)
            case "relay":
                left = {n for n in range(GATEWAYS) if self.random.random() < 0.5}
                cut = split(left, set(range(GATEWAYS)) - left)
                self.fleet.relay.fault = self.random.choice([sound, lossy(0.3, 0.2, 0.2), cut])
            case "mute" if not self.fleet.bulletin.mute:  # never two in a row: lists are late, not stopped
                self.muted_until = time.monotonic() + 1.0
                self.fleet.bulletin.mute = True
            case _:
                pass

    def play(self, seconds: float) -> Audit:
        threads = [threading.Thread(target=self.client, args=(n,), daemon=True) for n in range(GATEWAYS)]
        for thread in threads:
            thread.start()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.act()
            time.sleep(self.random.uniform(0.1, 0.5))
            if time.monotonic() > self.muted_until:
                self.fleet.bulletin.mute = False
        self._look_at_last()
        self.ended.set()
        for thread in threads:
            thread.join(10)
        self._judge()
        self.fleet.end()
        for engine in self.engines:
            engine.close()
        return self.audit

    def _serves(self, number: int) -> bool:
        """Started anew where another process had taken its port while it was down."""
        gateway = self.fleet.gateways[number]
        if gateway.process.poll() is not None and "already in use" in gateway.text():
            self.fleet.gateways[number] = self.fleet.start(number)
        return self.fleet.ready(number)

    def _look_at_last(self) -> None:
        """Without faults: all that are ready get queries again."""
        time.sleep(max(0.0, self.muted_until - time.monotonic()))
        self.fleet.bulletin.mute, self.fleet.relay.fault = False, sound
        for number in range(GATEWAYS):
            wait_for(lambda number=number: self._serves(number))  # type: ignore[misc]
        since, end = time.monotonic(), time.monotonic() + 4 * AFTER_S
        while time.monotonic() < end:
            self.audit.idle = [e.name for e in self.ready if not any(did.at > since for did in e.done)]
            if not self.audit.idle:
                return
            time.sleep(0.05)

    def _judge(self) -> None:
        for engine in self.engines:
            for did in engine.done:
                self.audit.got += 1
                number, at = self.owner.get(did.id, -1), did.at
                after = [since for since, _ in self.versions[1:]] + [float("inf")]
                near = [
                    kept
                    for (since, kept), until in zip(self.versions, after, strict=True)
                    if since <= at and until > at - LATE_S
                ]
                if number < 0 or not any(engine.name in kept[number] for kept in near):
                    self.audit.strange.append((engine.name, number))
                told = self.leaving.get(engine.name)
                if told is not None and at - told > LATE_S:
                    self.audit.drained.append((engine.name, round(at - told, 2)))


def play(seed: int, seconds: float, operator: dict[str, Any] | None = None) -> Audit:
    """One story; `operator`: the gateways' file, where it is to be another than what is audited."""
    with tempfile.TemporaryDirectory() as folder:
        return Story(Path(folder), seed, {"subset": ASKED} if operator is None else operator).play(seconds)
