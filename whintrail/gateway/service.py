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

from whintrail.gateway.bulletin import BulletinClient
from whintrail.gateway.clock import Clock
from whintrail.gateway.connection import parse_address
from whintrail.gateway.counters import Counters
from whintrail.gateway.dispatcher import Dispatcher, Inbox, Shutdown
from whintrail.gateway.engine_protocol import check_class_name
from whintrail.gateway.limits import Limits
from whintrail.gateway.links import LinkPool
from whintrail.gateway.log import Log, log_once
from whintrail.gateway.peers import PeerTransport
from whintrail.gateway.sessions import SessionServer
from whintrail.interface import ReportSource, Settings
from whintrail.settings import get_or_default, read_report, read_settings

if TYPE_CHECKING:
    from whintrail.config import OperatorFile
    from whintrail.gateway.fleet import FleetService
    from whintrail.timeline.recorder import Recorder

DEFAULT_NAME = "whintrail"  # until the configuration gives one


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


def load_operator_file(environment: Mapping[str, str]) -> "OperatorFile | None":
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
        self.operator_file = load_operator_file(environment)
        try:
            self.limits = Limits.read(config)
            self.name = str(get_or_default(config, "name", DEFAULT_NAME))
            self.log = self._open_log(self.name)
            settings = replace(read_settings(config["settings"]), max_open=self.limits.open_queries)
            if not settings.classes:  # it would fail every query, one by one
                raise ValueError("settings without Classes")
            for cls in settings.classes:
                check_class_name(cls.name)
            self.zones = tuple(str(zone) for zone in get_or_default(config["settings"], "Zones", []))
            seed = int(str(get_or_default(config, "seed", "0")), 16)
            self.listen_address = parse_address(config["listen"])
            self.inbox = Inbox(Clock())
            reader = read_report if settings.report_source is not ReportSource.NONE else None
            common = self.limits, self.inbox, self.counters, self.log
            self.links = LinkPool(*common, reader, settings.reports_cost)
            self.sessions = SessionServer(*common)
            self.bulletin = BulletinClient(config, *common)
            self.peers = (
                PeerTransport(config, *common)
                if settings.peer_messages_allowed and "peer_listen" in config
                else None
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise StartError(f"the configuration can't be used: {type(error).__name__}: {error}") from error
        self.dispatcher = Dispatcher(
            settings, seed, self.limits, self.inbox, self.links, self.counters, self.log
        )
        self.dispatcher.peers = self.peers
        self._open_subset(settings)
        self.recorder = self._open_timeline(settings)
        self.stop_requested = asyncio.Event()
        self.fleet = self._open_fleet(settings)
        self._apply_rules()

    def _open_log(self, name: str) -> Log:
        if self.operator_file is None:
            return Log(name, self.limits.log_burst, self.limits.log_per_second)
        logging = self.operator_file.logging
        return Log(name, logging.burst, logging.per_second, logging.format == "json")

    def log_counters(self) -> None:
        if self.fleet is not None:
            self.fleet.add_node_counters()
        for group, counts in self.counters.groups():
            self.log.always(group, "counters", **counts)

    def reload(self) -> None:
        """Take up a new configuration: the bulletin's address, and the operator's file. All else stays as it
        was at the start; a file that can't be used changes nothing."""
        self._reload_operator_file()
        try:
            where = parse_address(read_config(self.environment)["bulletin"])
        except (StartError, KeyError, TypeError, ValueError, AttributeError) as error:
            self.counters.add("configuration", "refused")
            self.log.line("configuration", f"the old one stays in force: {type(error).__name__}: {error}")
            return
        self.counters.add("configuration", "taken")
        self.log.line("configuration", f"taken, bulletin at {where[0]}:{where[1]}")
        self.bulletin.change_address(where)

    def _open_timeline(self, settings: Settings) -> "Recorder | None":
        """The time line, where the operator's file asks for one; what keeps it is imported only then."""
        if self.operator_file is None or self.operator_file.timeline is None:
            return None
        try:
            from whintrail.timeline.recorder import Recorder
        except ModuleNotFoundError as error:
            raise StartError(f"the time line needs {error.name}: see requirements-operator.txt") from error
        classes = tuple(cls.name for cls in settings.classes)
        keeper = Recorder(
            self.operator_file,
            self.operator_file.timeline,
            self.name,
            classes,
            settings.warmup_us,
            self.inbox.clock.now_us,
            self.counters,
            self.log,
        )
        self.dispatcher.attach_timeline(keeper.timeline, keeper.tick, self.limits.timeline_interval_us)
        return keeper

    def _open_subset(self, settings: Settings) -> None:
        """The part of the engines that we keep, where the operator's file asks for parts; else all."""
        if self.operator_file is None or self.operator_file.subset is None:
            return
        from whintrail.gateway.subset import PlanError, SubsetService, read_plan

        owner, asked = self.dispatcher, self.operator_file.subset
        try:
            free, batch_us = lambda engine: not owner.count_open_attempts(engine), asked.batch_ms * 1000
            subset = SubsetService(read_plan(asked), settings, self.peers, free, batch_us)
        except PlanError as error:
            raise StartError(str(error)) from error
        owner.attach_subset(subset, subset.tick_interval_us)

    def _open_fleet(self, settings: Settings) -> "FleetService | None":
        """The fleet, where the operator's file asks for one and gateways may talk; else it is off."""
        if self.operator_file is None or self.operator_file.fleet is None:
            return None
        if self.peers is None:
            raise StartError("the fleet needs peer_listen and peers, and settings that allow messages")
        try:
            from whintrail.gateway.fleet import FleetError, FleetService, build_node_config
        except ModuleNotFoundError as error:
            raise StartError(f"the fleet needs {error.name}: see requirements-operator.txt") from error
        asked, peers = self.operator_file.fleet, self.peers
        try:
            build = self.environment.get("WHINTRAIL_BUILD", "")
            given = build_node_config(asked, settings, self.zones, len(peers.addresses), build)
        except FleetError as error:
            raise StartError(f"fleet: {error}") from error
        common = self.dispatcher, peers, self.counters, self.log
        return FleetService(
            asked, given, lambda: self.bulletin.last_received_us, *common, self.stop_requested.set
        )

    def _apply_rules(self) -> None:
        """The file's rules: in force at once where no versions are agreed on, else only compared."""
        rules = self.operator_file.rules if self.operator_file is not None else None
        if self.fleet is not None and self.fleet.node.settings is not None:
            if rules is not None:
                self.fleet.compare_file_rules(rules)
            return
        if rules is None and self.dispatcher.current_rules is None:
            return
        from whintrail.versions.rules import Rules, find_unsupported, parse_rules

        body = parse_rules(rules or {})
        if refused := find_unsupported(body, frozenset(self.dispatcher.class_deadlines_us), 0x10000):
            self.counters.add("configuration", "refused")
            self.log.line("configuration", f"the rules before stay in force: {refused}")
            if self.dispatcher.current_rules is not None:
                return
            body = Rules()
        self.dispatcher.enable_fleet_accounting()
        self.dispatcher.current_rules = lambda: body

    def _reload_operator_file(self) -> None:
        try:
            given = load_operator_file(self.environment)
        except StartError as error:
            self.counters.add("configuration", "refused")
            self.log.line("configuration", f"the old operator's file stays in force: {error}")
            return
        if given != self.operator_file:
            self.operator_file = given
            if given is not None:
                logging = given.logging
                self.log.configure(logging.burst, logging.per_second, logging.format == "json")
                if self.recorder is not None and given.timeline is not None:
                    self.recorder.apply_settings(given.timeline)
            self._apply_rules()
            self.counters.add("configuration", "taken")
            self.log.line("configuration", "operator's file taken; sizes and places hold from the next start")

    async def run(self, early_hangups: Sequence[int] = ()) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGUSR1, self.log_counters)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if early_hangups:
            self.reload()
        try:
            self.sessions.listen(self.listen_address)
        except OSError as error:
            raise StartError(
                f"can't listen on {self.listen_address[0]}:{self.listen_address[1]}: {error}"
            ) from error
        if self.peers is not None:
            self.peers.open()
        owner = loop.create_task(self.dispatcher.run())
        accepting = loop.create_task(self.sessions.accept())
        tasks = [
            accepting,
            loop.create_task(self.bulletin.run()),
            loop.create_task(self.sessions.expire_sessions()),
        ]
        if self.recorder is not None:
            self.recorder.start()
        if self.fleet is not None:
            self.fleet.start()
        gc.collect()
        gc.freeze()
        gc.set_threshold(*self.limits.gc_thresholds)
        self.log.always(f"serves on {self.listen_address[0]}:{self.listen_address[1]}")
        stopping: asyncio.Task[Any] = loop.create_task(self.stop_requested.wait())
        await asyncio.wait([owner, stopping, *tasks], return_when=asyncio.FIRST_COMPLETED)
        try:
            if not self.stop_requested.is_set():  # only a fault ends one of these
                for task in (owner, *tasks):
                    if task.done():
                        task.result()
            await self._shut_down(accepting)
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
            if self.recorder is not None:
                await self.recorder.close()
            self.log_counters()

    async def _shut_down(self, accept_task: "asyncio.Task[None]") -> None:
        """Go on taking in for a while, finish what is open, fail at last what would not be."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        self.log.always("stops")
        if self.fleet is not None:
            self.fleet.leave()
        self.dispatcher.shutdown_deadline_us = self.inbox.clock.now_us() + int(
            self.limits.finish_after_stop_s * 1e6
        )
        await asyncio.sleep(self.limits.accept_after_stop_s)
        self.sessions.stop_accepting()
        await asyncio.wait([accept_task], timeout=2 * self.limits.poll_interval_s)
        accept_task.cancel()  # for kernels that don't tell it
        with suppress(asyncio.CancelledError):
            await accept_task
        self.sessions.close_listener()
        while loop.time() < start + self.limits.finish_after_stop_s:
            await asyncio.sleep(self.limits.poll_interval_s)
            if self.sessions.close_idle() and self.dispatcher.is_idle:
                return
        self.inbox.put(Shutdown())
        await asyncio.sleep(self.limits.poll_interval_s)
        while not self.sessions.close_idle() and loop.time() < start + self.limits.finish_after_stop_s + 0.15:
            await asyncio.sleep(self.limits.poll_interval_s)


def main(early_hangups: list[int] | None = None) -> int:
    """`early` takes the SIGHUPs that came before the loop handles them, where the caller has seen to them
    since before this module was imported: none ends the program, and what they told of is read."""
    import uvloop

    if early_hangups is None:
        early_hangups = []
        signal.signal(signal.SIGHUP, lambda number, _: early_hangups.append(number))
    try:
        config = read_config(os.environ)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(config, early_hangups))
    except StartError as error:
        log_once(DEFAULT_NAME, str(error))
        return 1
    return 0


async def _serve(config: Mapping[str, Any], early_hangups: list[int]) -> None:
    await Service(config, os.environ).run(early_hangups)
