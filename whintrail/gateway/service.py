"""The program: start from the configuration, serve, stop."""

import asyncio
import gc
import os
import signal
from collections.abc import Mapping, Sequence
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import orjson

from whintrail.gateway.bulletin import Bulletin
from whintrail.gateway.clock import Clock
from whintrail.gateway.connection import address
from whintrail.gateway.counters import Counters
from whintrail.gateway.enginelines import check_class_name
from whintrail.gateway.limits import Limits
from whintrail.gateway.links import Links
from whintrail.gateway.log import Log, say
from whintrail.gateway.owner import Inbox, Owner, Stop
from whintrail.gateway.peers import Peers
from whintrail.gateway.sessions import Sessions
from whintrail.interface import ReportsBy, Settings
from whintrail.settings import get, read_report, read_settings

if TYPE_CHECKING:
    from whintrail.config import OperatorFile
    from whintrail.gateway.fleet import FleetPart
    from whintrail.timeline.keeper import Keeper

NAME = "whintrail"  # until the configuration gives one


class StartError(Exception):
    """The program can't start."""


def read_config(environment: Mapping[str, str]) -> dict[str, Any]:
    path = environment.get("RELAY_CONFIG")
    if not path:
        raise StartError("RELAY_CONFIG names no configuration")
    try:
        with open(path, "rb") as file:
            config = orjson.loads(file.read())
    except (OSError, orjson.JSONDecodeError) as error:
        raise StartError(f"can't read the configuration {path}: {error}") from error
    if not isinstance(config, dict):
        raise StartError(f"the configuration {path} is no object")
    listen = environment.get("RELAY_LISTEN") or config.get("listen")
    return {**config, "listen": listen, "name": environment.get("RELAY_NAME") or config.get("name")}


def read_operator(environment: Mapping[str, str]) -> "OperatorFile | None":
    """The operator's file, where the environment names one; what reads it is imported only then."""
    path = environment.get("WHINTRAIL_FILE")
    if not path:
        return None
    try:
        from whintrail.config import OperatorFileError, read_operator_file
    except ModuleNotFoundError as error:
        raise StartError(f"an operator's file needs {error.name}: see requirements-operator.txt") from error
    try:
        return read_operator_file(path)
    except OperatorFileError as error:
        raise StartError(str(error)) from error


class Service:
    def __init__(self, config: Mapping[str, Any], environment: Mapping[str, str]) -> None:
        self.environment = environment
        self.counters = Counters()
        self.operator = read_operator(environment)
        try:
            self.limits = Limits.read(config)
            self.name = str(get(config, "name", NAME))
            self.log = self._open_log(self.name)
            settings = replace(read_settings(config["settings"]), max_open=self.limits.open_queries)
            if not settings.classes:  # it would fail every query, one by one
                raise ValueError("settings without Classes")
            for cls in settings.classes:
                check_class_name(cls.name)
            self.zones = tuple(str(zone) for zone in get(config["settings"], "Zones", []))
            seed = int(str(get(config, "seed", "0")), 16)
            self.listen = address(config["listen"])
            self.inbox = Inbox(Clock())
            reader = read_report if settings.reports_by is not ReportsBy.NONE else None
            common = self.limits, self.inbox, self.counters, self.log
            self.links = Links(*common, reader, settings.tells_cost)
            self.sessions = Sessions(*common)
            self.bulletin = Bulletin(config, *common)
            self.peers = (
                Peers(config, *common) if settings.peers_allowed and "peer_listen" in config else None
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise StartError(f"the configuration can't be used: {type(error).__name__}: {error}") from error
        self.owner = Owner(settings, seed, self.limits, self.inbox, self.links, self.counters, self.log)
        self.owner.peers = self.peers
        self._open_subset(settings)
        self.keeper = self._open_timeline(settings)
        self.stopping = asyncio.Event()
        self.fleet = self._open_fleet(settings)
        self._take_rules()

    def _open_log(self, name: str) -> Log:
        if self.operator is None:
            return Log(name, self.limits.log_burst, self.limits.log_per_second)
        logging = self.operator.logging
        return Log(name, logging.burst, logging.per_second, logging.format == "json")

    def print_counters(self) -> None:
        if self.fleet is not None:
            self.fleet.print_counters()
        for group, counts in self.counters.groups():
            self.log.always(group, "counters", **counts)

    def reload(self) -> None:
        """Take up a new configuration: the bulletin's address, and the operator's file. All else stays as it
        was at the start; a file that can't be used changes nothing."""
        self._reload_operator()
        try:
            where = address(read_config(self.environment)["bulletin"])
        except (StartError, KeyError, TypeError, ValueError, AttributeError) as error:
            self.counters.add("configuration", "refused")
            self.log.line("configuration", f"the old one stays in force: {type(error).__name__}: {error}")
            return
        self.counters.add("configuration", "taken")
        self.log.line("configuration", f"taken, bulletin at {where[0]}:{where[1]}")
        self.bulletin.move(where)

    def _open_timeline(self, settings: Settings) -> "Keeper | None":
        """The time line, where the operator's file asks for one; what keeps it is imported only then."""
        if self.operator is None or self.operator.timeline is None:
            return None
        try:
            from whintrail.timeline.keeper import Keeper
        except ModuleNotFoundError as error:
            raise StartError(f"the time line needs {error.name}: see requirements-operator.txt") from error
        classes = tuple(cls.name for cls in settings.classes)
        keeper = Keeper(
            self.operator,
            self.operator.timeline,
            self.name,
            classes,
            settings.cold_us,
            self.inbox.clock.now_us,
            self.counters,
            self.log,
        )
        self.owner.observe(keeper.timeline, keeper.tick, self.limits.timeline_tick_us)
        return keeper

    def _open_subset(self, settings: Settings) -> None:
        """The part of the engines that we keep, where the operator's file asks for parts; else all."""
        if self.operator is None or self.operator.subset is None:
            return
        from whintrail.gateway.subset import PlanError, SubsetSide, plan_of

        owner, asked = self.owner, self.operator.subset
        try:
            free, batch_us = lambda engine: not owner.held_by(engine), asked.batch_ms * 1000
            subset = SubsetSide(plan_of(asked), settings, self.peers, free, batch_us)
        except PlanError as error:
            raise StartError(str(error)) from error
        owner.keep_part(subset, subset.turn_us)

    def _open_fleet(self, settings: Settings) -> "FleetPart | None":
        """The fleet, where the operator's file asks for one and gateways may talk; else it is off."""
        if self.operator is None or self.operator.fleet is None:
            return None
        if self.peers is None:
            raise StartError("the fleet needs peer_listen and peers, and settings that allow messages")
        try:
            from whintrail.gateway.fleet import FleetError, FleetPart, read_given
        except ModuleNotFoundError as error:
            raise StartError(f"the fleet needs {error.name}: see requirements-operator.txt") from error
        asked, peers = self.operator.fleet, self.peers
        try:
            build = self.environment.get("WHINTRAIL_BUILD", "")
            given = read_given(asked, settings, self.zones, len(peers.addresses), build)
        except FleetError as error:
            raise StartError(f"fleet: {error}") from error
        common = self.owner, peers, self.counters, self.log
        return FleetPart(asked, given, lambda: self.bulletin.spoke_us, *common, self.stopping.set)

    def _take_rules(self) -> None:
        """The file's rules: in force at once where no versions are agreed on, else only compared."""
        rules = self.operator.rules if self.operator is not None else None
        if self.fleet is not None and self.fleet.node.settings is not None:
            if rules is not None:
                self.fleet.compare(rules)
            return
        if rules is None and self.owner.rules is None:
            return
        from whintrail.versions.body import Body, check, read_body

        body = read_body(rules or {})
        if refused := check(body, frozenset(self.owner.deadlines), 0x10000):
            self.counters.add("configuration", "refused")
            self.log.line("configuration", f"the rules before stay in force: {refused}")
            if self.owner.rules is not None:
                return
            body = Body()
        self.owner.tally_classes()
        self.owner.rules = lambda: body

    def _reload_operator(self) -> None:
        try:
            given = read_operator(self.environment)
        except StartError as error:
            self.counters.add("configuration", "refused")
            self.log.line("configuration", f"the old operator's file stays in force: {error}")
            return
        if given != self.operator:
            self.operator = given
            if given is not None:
                logging = given.logging
                self.log.change(logging.burst, logging.per_second, logging.format == "json")
                if self.keeper is not None and given.timeline is not None:
                    self.keeper.apply(given.timeline)
            self._take_rules()
            self.counters.add("configuration", "taken")
            self.log.line("configuration", "operator's file taken; sizes and places hold from the next start")

    async def run(self, early: Sequence[int] = ()) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGUSR1, self.print_counters)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if early:
            self.reload()
        try:
            self.sessions.listen(self.listen)
        except OSError as error:
            raise StartError(f"can't listen on {self.listen[0]}:{self.listen[1]}: {error}") from error
        if self.peers is not None:
            self.peers.open()
        owner = loop.create_task(self.owner.run())
        accepting = loop.create_task(self.sessions.accept())
        tasks = [accepting, loop.create_task(self.bulletin.run()), loop.create_task(self.sessions.watch())]
        if self.keeper is not None:
            self.keeper.start()
        if self.fleet is not None:
            self.fleet.start()
        gc.collect()
        gc.freeze()
        gc.set_threshold(*self.limits.gc_thresholds)
        self.log.always(f"serves on {self.listen[0]}:{self.listen[1]}")
        stopping: asyncio.Task[Any] = loop.create_task(self.stopping.wait())
        await asyncio.wait([owner, stopping, *tasks], return_when=asyncio.FIRST_COMPLETED)
        try:
            if not self.stopping.is_set():  # only a fault ends one of these
                for task in (owner, *tasks):
                    if task.done():
                        task.result()
            await self._stop(accepting)
        finally:
            for task in (owner, stopping, *tasks):
                task.cancel()
            await asyncio.gather(owner, stopping, *tasks, return_exceptions=True)
            await self.sessions.close()
            await self.links.close()
            if self.fleet is not None:
                await self.fleet.close()
            if self.peers is not None:
                self.peers.close()
            if self.keeper is not None:
                await self.keeper.close()
            self.print_counters()

    async def _stop(self, accepting: "asyncio.Task[None]") -> None:
        """Go on taking in for a while, finish what is open, fail at last what would not be."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        self.log.always("stops")
        if self.fleet is not None:
            self.fleet.leave()
        self.owner.ends_us = self.inbox.clock.now_us() + int(self.limits.finish_after_stop_s * 1e6)
        await asyncio.sleep(self.limits.accept_after_stop_s)
        self.sessions.accept_last()
        await asyncio.wait([accepting], timeout=2 * self.limits.poll_s)
        accepting.cancel()  # for kernels that don't tell it
        with suppress(asyncio.CancelledError):
            await accepting
        self.sessions.close_listener()
        while loop.time() < start + self.limits.finish_after_stop_s:
            await asyncio.sleep(self.limits.poll_s)
            if self.sessions.close_idle() and self.owner.idle:
                return
        self.inbox.put(Stop())
        await asyncio.sleep(self.limits.poll_s)
        while not self.sessions.close_idle() and loop.time() < start + self.limits.finish_after_stop_s + 0.15:
            await asyncio.sleep(self.limits.poll_s)


def main(early: list[int] | None = None) -> int:
    """`early` takes the SIGHUPs that came before the loop handles them, where the caller has seen to them
    since before this module was imported: none ends the program, and what they told of is read."""
    import uvloop

    if early is None:
        early = []
        signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    try:
        config = read_config(os.environ)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(config, early))
    except StartError as error:
        say(NAME, str(error))
        return 1
    return 0


async def _serve(config: Mapping[str, Any], early: list[int]) -> None:
    await Service(config, os.environ).run(early)
