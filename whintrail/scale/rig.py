"""Runs one size of a scale run as processes: the bulletin, the gateways of the council in one process each,
the hollow gateways many to a process, and real gateways by the deployed `run` command. It passes the events
of all of them to the auditor."""

import asyncio
import os
import random
import re
import signal
import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from whintrail.config import Fleet
from whintrail.config.records import Versions
from whintrail.control.json_lines import send_request
from whintrail.scale import bulletin as bulletins
from whintrail.scale import engines, load
from whintrail.scale.auditor import Auditor
from whintrail.scale.hollow import digest_names
from whintrail.scale.measure import Reading, read_process
from whintrail.scale.plan import Size
from whintrail.scale.procs import Child, ProcessGroup
from whintrail.scale.real import free_ports
from whintrail.standins.scripted import settings
from whintrail.versions.engine_list import EngineListState

PEER_COUNTERS_PATTERN = re.compile(r"kind=counters event=peers (heard=[^\n]*)\n")
MIN_HOLDERS_PER_ENGINE = 4  # of a ready engine, among gateways that are up: half of what the plan requires
MAX_LEAVING_ENGINES = 2  # at a time
RULE_OVERLAP_MARGIN_US = 150_000  # on top of the lease
EVENT_POLL_INTERVAL_S = 0.1
OBSERVE_INTERVAL_S = 2.0
REAL_POLL_INTERVAL_S = 0.5  # real gateways emit no events
JOIN_POLL_INTERVAL_S = 0.25
COUNTERS_POLL_INTERVAL_S = 0.02
COUNTERS_POLLS = 100
PROPOSE_TIMEOUT_S = 20.0
ENGINES_PER_PROCESS = 4000
PROGRESS_INTERVAL_S = 2.0  # between two lines of the log
UNUSED_ENGINE_PORT = 5433  # of list entries without an engine; no gateway connects to them


class SizeError(RuntimeError):
    """The size could not be played; the text is one line."""


def now_us() -> int:
    """The machine's monotonic clock, which all processes of a run share."""
    return time.monotonic_ns() // 1000


class Rig:
    """The processes of one size, with the auditor of their events."""

    def __init__(self, size: Size, group: ProcessGroup, log: Callable[..., None]) -> None:
        self.size, self.group, self.log = size, group, log
        self.random = random.Random(size.name)
        # Derived from the process id, so that several runs on one machine use different addresses.
        self.network_octet, self.port = 128 + os.getpid() % 64, 20_000 + os.getpid() % 10_000
        versions = Versions(lease_s=size.lease_s, check_s=size.check_s)
        self.fleet = Fleet(
            name=size.name,
            council=tuple(range(size.council)),
            use_within_s=1.5,
            messages_per_s=size.messages_per_s,
            bytes_per_s=size.bytes_per_s,
            versions=versions,
        )
        self.auditor = Auditor(size.gateways, int(size.lease_s * 1e6) + RULE_OVERLAP_MARGIN_US)
        self.hosts: dict[str, Child] = {}
        self.gateways_by_host: dict[str, list[int]] = {}
        self.bulletin: Child
        self.entries: list[dict[str, Any]] = []
        self.real_digests: dict[int, str] = {}  # by generation, in the form of a real gateway's `lists`
        self.last_real_poll_s = 0.0
        self.leaving_indexes: list[int] = []  # of the leaving engines in `entries`, oldest first
        self.stopped_pids: set[int] = set()  # of processes under SIGSTOP, which get no requests

    # --- Starting.

    def address(self, number: int) -> str:
        host = number + 1
        return f"127.{self.network_octet}.{host >> 8}.{host & 255}:{self.port}"

    def build_gateway_config(self, bulletin_address: str) -> dict[str, Any]:
        size = self.size
        zones = list(dict.fromkeys(size.zone_of(n) for n in range(size.gateways)))
        common = settings(MayTell=True)
        return {
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bulletin": bulletin_address,
            "settings": {**common, "FleetSize": size.gateways, "Zones": zones},
        }

    async def start(self) -> None:
        size = self.size
        self.entries = await self._start_engines()
        config = {"entries": self.entries, "split": size.split}
        self.bulletin, answer = await self.group.start(
            "bulletin", "bulletin", "whintrail.scale.bulletin", config
        )
        self.bulletin_address = str(answer["where"])
        self.shared_config = self.build_gateway_config(self.bulletin_address)
        numbers_by_host = {f"control{n}": [n] for n in range(size.council)}
        per_process = -(-len(size.hollow_gateways) // size.processes)
        for process in range(size.processes):
            if numbers := list(size.hollow_gateways)[process * per_process : (process + 1) * per_process]:
                numbers_by_host[f"hollow{process}"] = numbers
        await asyncio.gather(*(self.start_host(name, numbers) for name, numbers in numbers_by_host.items()))
        self.record_published(size.split, 0)  # at time 0: the initial list is no change to measure
        await self._start_real_gateways()

    async def _start_engines(self) -> list[dict[str, Any]]:
        """The entries of the list. With real gateways the engines are started; else nothing connects to
        them."""
        size = self.size
        if not size.real:
            return [engines.build_entry(n, UNUSED_ENGINE_PORT, size.zones) for n in range(size.engines)]
        processes = []
        for first in range(0, size.engines, ENGINES_PER_PROCESS):
            config = {"first": first, "count": min(ENGINES_PER_PROCESS, size.engines - first)}
            _, process = await self.group.start(
                f"engines{first}", "engine", "whintrail.scale.engines", config
            )
            processes.append(tuple(process))
        return engines.build_entries(processes, size.zones)

    async def _start_real_gateways(self) -> None:
        """Starts them one after another, by the deployed `run` command, with the addresses of the whole
        fleet."""
        size = self.size
        if not size.real:
            return
        self.clients, _ = await self.group.start("clients", "client", "whintrail.scale.load", {"seed": 1})
        addresses = [self.address(n) for n in range(size.gateways)]
        self.ports = free_ports(size.real)
        known = bulletins.build_known_list(self.entries) if size.split == 1 else {"no": 0, "items": []}
        for number, port in zip(self.real_gateways, self.ports, strict=True):
            peers = {"peer_listen": addresses[number], "peers": addresses}
            common = self.bulletin_address, known, size.gateways
            config = load.gateway_config(number, f"127.0.0.1:{port}", *common, peers=peers)
            zones = self.shared_config["settings"]["Zones"]
            config["settings"] |= {"Zones": zones, "Zone": size.zone_of(number)}
            fleet = msgspec.to_builtins(
                msgspec.structs.replace(self.fleet, socket=self.control_socket(number))
            )
            subset = {"subset": {"size": size.subset}} if size.subset else {}
            child = await self.group.start_gateway(f"n{number}", config, {"fleet": fleet, **subset})
            if not all(await self.clients.ask("serves", ports=[port], tries=600)):
                raise SizeError(f"n{number} does not serve: {child.log.read_text()[-300:]}")
            self.auditor.record_event("up", number, now_us(), 0)

    @property
    def real_gateways(self) -> range:
        return range(self.size.gateways - self.size.real, self.size.gateways)

    def control_socket(self, number: int) -> str:
        return str(self.group.folder / f"s{number}")

    def _query_real_gateways(self, *requests: str) -> list[tuple[int, list[list[dict[str, Any]]]]]:
        """The answers of each real gateway's control socket; blocks."""
        return [
            (number, [list(send_request(self.control_socket(number), {"what": each})) for each in requests])
            for number in self.real_gateways
        ]

    async def poll_real_gateways(self) -> None:
        """Passes the rules and the list generation of each real gateway to the auditor, and checks its list's
        digest."""
        self.last_real_poll_s = time.monotonic()
        for number, (rules, lists) in await asyncio.to_thread(self._query_real_gateways, "settings", "lists"):
            row, engine_list = rules[0], lists[0]
            generation = engine_list["generation"]
            self.auditor.record_event("seen", number, now_us(), row["acts_by"], row["leased"], generation)
            expected = self.real_digests.get(generation)
            if expected is not None and engine_list["digest"] != expected:
                self.auditor.breaches.append(f"n{number} has a different list, generation {generation}")

    async def start_host(self, name: str, numbers: list[int]) -> None:
        """Starts a process of hollow gateways. The keys are the fields of `host.HostConfig`."""
        size = self.size
        config = {
            "numbers": numbers,
            "addresses": [self.address(n) for n in range(size.gateways)],
            "zones": [size.zone_of(n) for n in range(size.gateways)],
            "config": self.shared_config,
            "fleet": msgspec.to_builtins(self.fleet),
            "queries_per_s": size.queries_per_s,
            "memos": size.memos,
            "whole_at": size.split,
            "subset": size.subset,
            "sockets": str(self.group.folder),
            "spread_s": 0.01 * len(numbers),
        }
        self.gateways_by_host[name] = numbers
        child, _ = await self.group.start(name, "host", "whintrail.scale.host", config)
        self.hosts[name] = child

    # --- Requests to the hosts.

    def live_hosts(self) -> dict[str, Child]:
        return {n: c for n, c in self.hosts.items() if c.is_alive and c.pid not in self.stopped_pids}

    async def ask_hosts(self, command: str, **fields: Any) -> dict[str, Any]:
        """The answers of all live host processes, by name."""
        hosts = self.live_hosts()
        answers = await asyncio.gather(*(child.ask(command, **fields) for child in hosts.values()))
        return dict(zip(hosts, answers, strict=True))

    async def collect_events(self) -> None:
        """Passes new events of all gateways to the auditor."""
        for events in (await self.ask_hosts("events")).values():
            for kind, number, at, *details in events:
                self.auditor.record_event(kind, number, at, *details)
        if self.size.real and time.monotonic() - self.last_real_poll_s > REAL_POLL_INTERVAL_S:
            await self.poll_real_gateways()

    async def wait_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Collects events until the condition holds; False if it does not within `seconds`."""
        end = time.monotonic() + seconds
        while True:
            await self.collect_events()
            if condition():
                return True
            if time.monotonic() > end:
                return False
            await asyncio.sleep(EVENT_POLL_INTERVAL_S)

    async def observe(self, seconds: float) -> None:
        """Collects events for `seconds`, rarely, so that the requests do not affect what is measured."""
        end = time.monotonic() + seconds
        while (remaining := end - time.monotonic()) > 0:
            await asyncio.sleep(min(remaining, OBSERVE_INTERVAL_S))
            await self.collect_events()

    async def host_statuses(self) -> dict[str, dict[str, Any]]:
        return await self.ask_hosts("tell")

    async def gateway_statuses(self) -> list[dict[str, Any]]:
        return [row for status in (await self.host_statuses()).values() for row in status["gateways"]]

    async def wait_until_joined(self, seconds: float, excluded: Iterable[int] = ()) -> float:
        """Waits until all gateways but the excluded ones see each other alive, hold leases and agree on one
        leader. Returns the seconds it took; raises SizeError after `seconds`."""
        started = last_logged = time.monotonic()
        down = set(excluded)
        while True:
            rows = await self.gateway_statuses()
            await self.collect_events()
            wanted = self.size.gateways - len(down) - self.size.real
            complete = sum(row["alive"] >= self.size.gateways - len(down) for row in rows)
            leaders = {row["leader"] for row in rows}
            ready = complete == len(rows) >= wanted and len(leaders) == 1 and None not in leaders
            if (
                ready
                and all(row["leased"] for row in rows)
                and await self._have_real_gateways_joined(len(down))
            ):
                return time.monotonic() - started
            if time.monotonic() - started > seconds:
                leased = sum(row["leased"] for row in rows)
                raise SizeError(
                    f"{self.size.name}: after {seconds:.0f} s {complete} of {wanted} see all members,"
                    f" {leased} hold leases, {len(leaders)} leaders are named"
                )
            if time.monotonic() > last_logged + PROGRESS_INTERVAL_S:
                last_logged = time.monotonic()
                self.log("joining", know_all=complete, of=wanted, leaders=len(leaders - {None}))
            await asyncio.sleep(JOIN_POLL_INTERVAL_S)

    async def _have_real_gateways_joined(self, down: int) -> bool:
        if not self.size.real:
            return True
        answers = await asyncio.to_thread(self._query_real_gateways, "members", "settings")
        return all(
            sum(row["state"] == "alive" for row in members) >= self.size.gateways - down
            and settings_[0]["leased"]
            for _, (members, settings_) in answers
        )

    async def find_leader(self) -> int:
        rows = await self.gateway_statuses()
        leaders = [row["number"] for row in rows if row["leads"]]
        if len(leaders) != 1:
            raise SizeError(f"{self.size.name}: {len(leaders)} leaders instead of one")
        return int(leaders[0])

    def host_of(self, number: int) -> Child:
        for name, numbers in self.gateways_by_host.items():
            if number in numbers:
                return self.hosts[name]
        raise SizeError(f"n{number} is in no process")

    async def real_readings(self) -> dict[str, Reading]:
        """Readings of the real gateways, with the datagrams from their own counters, which they log on
        SIGUSR1."""
        children = [self.group.children[f"n{n}"] for n in self.real_gateways]
        log_sizes = [child.log.stat().st_size for child in children]
        for child in children:
            child.signal(signal.SIGUSR1)
        readings = {}
        for child, log_size in zip(children, log_sizes, strict=True):
            for _ in range(COUNTERS_POLLS):
                lines = child.log.read_bytes()[log_size:].decode()
                if match := PEER_COUNTERS_PATTERN.search(lines):
                    break
                await asyncio.sleep(COUNTERS_POLL_INTERVAL_S)
            else:
                raise SizeError(f"{child.name} does not log its counters")
            counts = dict(pair.split("=") for pair in match[1].split())
            traffic = {"datagrams_in": int(counts["heard"]), "datagrams_out": int(counts["sent"])}
            readings[child.name] = read_process(child.pid, traffic)
        return readings

    # --- Changes and faults.

    def ready_digest(self) -> int:
        return digest_names(e["instanceId"] for e in self.entries if e["lifecycle"] == "active")

    async def change_list(self) -> int:
        """Publishes one change and returns its generation: a random engine starts to leave or, once enough
        are leaving, the oldest of them becomes active again, which keeps the count of ready engines about
        constant. The time of publishing is the bulletin's own."""
        if len(self.leaving_indexes) > MAX_LEAVING_ENGINES:
            index, state = self.leaving_indexes.pop(0), "active"
        else:
            index, state = self.random.randrange(len(self.entries)), "leaving"
            self.leaving_indexes += [index] * (index not in self.leaving_indexes)
        self.entries[index] = {**self.entries[index], "lifecycle": state}
        number = int(await self.bulletin.ask("change", entries=[self.entries[index]]))
        at_s = (await self.bulletin.ask("times", after=number - 1))[str(number)]
        self.record_published(number, int(at_s * 1e6))
        return number

    def record_published(self, generation: int, at: int) -> None:
        """Notes what the gateways' lists must be at this generation."""
        self.auditor.record_published(generation, at, self.ready_digest())
        mirror = EngineListState(0)
        mirror.apply_event(at, generation, True, self._engine_states())
        self.real_digests[generation] = f"{mirror.digest:08x}"

    def _engine_states(self) -> list[tuple[str, bool, bool]]:
        return [(e["instanceId"], e["lifecycle"] == "active", False) for e in self.entries]

    async def propose(self, caps: int) -> tuple[str, str]:
        """Proposes a version at a control machine's local socket; returns `done` or the reason, and the
        version's number."""
        control_machine = next(n for n in range(self.size.council) if f"control{n}" in self.live_hosts())
        path = self.control_socket(control_machine)

        def send_proposal() -> tuple[str, str]:
            row = next(iter(send_request(path, {"what": "settings"})))
            number = str(row["in_force"] + 1)
            body = {"caps": {"lookup": caps}}
            request = {"what": "propose", "body": body, "why": "scale", "wait_s": 10.0}
            row = next(iter(send_request(path, request, PROPOSE_TIMEOUT_S)))
            return row["word"] if row["word"] == "done" else f"{row['word']}: {row['text']}", number

        return await asyncio.to_thread(send_proposal)

    async def kill(self, numbers: list[int]) -> None:
        await self.ask_hosts("kill", numbers=numbers)
        await self.collect_events()

    async def revive(self, numbers: list[int]) -> None:
        await self.ask_hosts("revive", numbers=numbers)
        await self.collect_events()

    async def audit(self, patience_s: float, check_members: bool = True) -> None:
        """Runs all checks once every gateway has the last generation of the list, at latest after
        `patience_s`."""
        last = max(self.auditor.published)
        if not await self.wait_until(
            lambda: all(last in self.auditor.list_arrivals[n] for n in self.auditor.gateways_up(now_us())),
            patience_s,
        ):
            self.log("the list has not reached all gateways", after_s=patience_s)
        now = now_us()
        self.auditor.check_lists(now, 0)
        for digests in (await self.ask_hosts("digests")).values():
            self.auditor.check_digests(tuple(row) for row in digests)
        if self.size.real:
            await self.poll_real_gateways()
        if check_members:
            gone = {row["number"]: row["gone"] for row in await self.gateway_statuses()}
            for number, (members,) in await asyncio.to_thread(self._query_real_gateways, "members"):
                present = ("alive", "suspect")
                gone[number] = [int(row["member"][1:]) for row in members if row["state"] not in present]
            self.auditor.check_members(gone, now)
        if self.size.subset and check_members:
            ready = {e["instanceId"] for e in self.entries if e["lifecycle"] == "active"}
            kept = [names for answer in (await self.ask_hosts("kept")).values() for names in answer.values()]
            self.auditor.check_holders(kept, ready, min(MIN_HOLDERS_PER_ENGINE, len(kept) // 2))
        self.auditor.check_rules(now)
