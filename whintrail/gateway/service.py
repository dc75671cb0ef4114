"""The gateway program: starts from its configuration, serves, reloads and stops."""

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

DEFAULT_NAME = "whintrail"  # if the configuration has no name
MAX_GATEWAYS = 0x10000
LAST_ANSWERS_S = 0.15  # for clients to read the answers of queries that were failed at the end


class StartError(Exception):
    """The gateway can't start; the text says why."""


def read_config(environment: Mapping[str, str]) -> dict[str, Any]:
    """Read the JSON configuration; the environment overrides its address and name. Errors: StartError."""
    path = environment.get("RELAY_CONFIG")
    if not path:
        raise StartError("RELAY_CONFIG names no configuration")
    try:
        with open(path, "rb") as file:
            config = orjson.loads(file.read())
    except (OSError, orjson.JSONDecodeError) as error:
        raise StartError(f"can't read the configuration {path}: {error}") from error
    if not isinstance(config, dict):
        raise StartError(f"the configuration {path} is not a JSON object")
    listen = environment.get("RELAY_LISTEN") or config.get("listen")
    return {**config, "listen": listen, "name": environment.get("RELAY_NAME") or config.get("name")}


def load_operator_file(environment: Mapping[str, str]) -> "OperatorFile | None":
    """Load the operator's file if the environment names one. Errors: StartError.

    The modules that read it are imported only then.
    """
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
    """All parts of a gateway, wired together from the configuration."""

    def __init__(self, config: Mapping[str, Any], environment: Mapping[str, str]) -> None:
        self.environment = environment
        self.counters = Counters()
        self.operator_file = load_operator_file(environment)
        try:
            self.limits = Limits.read(config)
            self.name = str(get_or_default(config, "name", DEFAULT_NAME))
            self.log = self._open_log(self.name)
            settings = replace(read_settings(config["settings"]), max_open=self.limits.open_queries)
            if not settings.classes:  # every query would fail
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
            load_classes = frozenset(cls.name for cls in settings.classes if cls.is_load)
            self.sessions = SessionServer(*common, load_classes)
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
        """Log all counters, one line per group."""
        if self.fleet is not None:
            self.fleet.add_node_counters()
        for group, counts in self.counters.groups():
            self.log.always(group, "counters", **counts)

    def reload(self) -> None:
        """Apply a changed configuration: the bulletin's address and the operator's file.

        All other settings stay as they were at the start. An invalid file changes nothing.
        """
        self._reload_operator_file()
        try:
            bulletin_address = parse_address(read_config(self.environment)["bulletin"])
        except (StartError, KeyError, TypeError, ValueError, AttributeError) as error:
            self.counters.add("configuration", "refused")
            self.log.line("configuration", f"the old one stays in force: {type(error).__name__}: {error}")
            return
        self.counters.add("configuration", "taken")
        self.log.line("configuration", f"taken, bulletin at {bulletin_address[0]}:{bulletin_address[1]}")
        self.bulletin.change_address(bulletin_address)

    def _open_timeline(self, settings: Settings) -> "Recorder | None":
        """Start the timeline if the operator's file has one; its modules are imported only then."""
        if self.operator_file is None or self.operator_file.timeline is None:
            return None
        try:
            from whintrail.timeline.recorder import Recorder
        except ModuleNotFoundError as error:
            raise StartError(f"the timeline needs {error.name}: see requirements-operator.txt") from error
        classes = tuple(cls.name for cls in settings.classes)
        recorder = Recorder(
            self.operator_file,
            self.operator_file.timeline,
            self.name,
            classes,
            settings.warmup_us,
            self.inbox.clock.now_us,
            self.counters,
            self.log,
        )
        self.dispatcher.attach_timeline(recorder.timeline, recorder.tick, self.limits.timeline_interval_us)
        return recorder

    def _open_subset(self, settings: Settings) -> None:
        """Restrict the gateway to a subset of the engines if the operator's file asks for it."""
        if self.operator_file is None or self.operator_file.subset is None:
            return
        from whintrail.gateway.subset import PlanError, SubsetService, read_plan

        dispatcher, config = self.dispatcher, self.operator_file.subset

        def is_idle(engine: str) -> bool:
            return not dispatcher.count_open_attempts(engine)

        try:
            batch_us = config.batch_ms * 1000
            subset = SubsetService(read_plan(config), settings, self.peers, is_idle, batch_us)
        except PlanError as error:
            raise StartError(str(error)) from error
        dispatcher.attach_subset(subset, subset.tick_interval_us)

    def _open_fleet(self, settings: Settings) -> "FleetService | None":
        """Start the fleet service if the operator's file has a fleet."""
        if self.operator_file is None or self.operator_file.fleet is None:
            return None
        if self.peers is None:
            raise StartError("the fleet needs peer_listen and peers, and settings that allow messages")
        try:
            from whintrail.gateway.fleet import FleetError, FleetService, build_node_config
        except ModuleNotFoundError as error:
            raise StartError(f"the fleet needs {error.name}: see requirements-operator.txt") from error
        config, peers = self.operator_file.fleet, self.peers
        try:
            build = self.environment.get("WHINTRAIL_BUILD", "")
            node_config = build_node_config(config, settings, self.zones, len(peers.addresses), build)
        except FleetError as error:
            raise StartError(f"fleet: {error}") from error
        common = self.dispatcher, peers, self.counters, self.log
        return FleetService(
            config, node_config, lambda: self.bulletin.last_received_us, *common, self.stop_requested.set
        )

    def _apply_rules(self) -> None:
        """Apply the rules of the operator's file; if the fleet agrees on versions, only compare them."""
        file_rules = self.operator_file.rules if self.operator_file is not None else None
        if self.fleet is not None and self.fleet.node.settings is not None:
            if file_rules is not None:
                self.fleet.compare_file_rules(file_rules)
            return
        if file_rules is None and self.dispatcher.current_rules is None:
            return
        from whintrail.versions.rules import Rules, find_unsupported, parse_rules

        rules = parse_rules(file_rules or {})
        if error := find_unsupported(rules, frozenset(self.dispatcher.class_deadlines_us), MAX_GATEWAYS):
            self.counters.add("configuration", "refused")
            self.log.line("configuration", f"the previous rules stay in force: {error}")
            if self.dispatcher.current_rules is not None:
                return
            rules = Rules()
        self.dispatcher.enable_fleet_accounting()
        self.dispatcher.current_rules = lambda: rules

    def _reload_operator_file(self) -> None:
        try:
            operator_file = load_operator_file(self.environment)
        except StartError as error:
            self.counters.add("configuration", "refused")
            self.log.line("configuration", f"the old operator's file stays in force: {error}")
            return
        if operator_file != self.operator_file:
            self.operator_file = operator_file
            if operator_file is not None:
                logging = operator_file.logging
                self.log.configure(logging.burst, logging.per_second, logging.format == "json")
                if self.recorder is not None and operator_file.timeline is not None:
                    self.recorder.apply_settings(operator_file.timeline)
            self._apply_rules()
            self.counters.add("configuration", "taken")
            self.log.line("configuration", "operator's file taken; sizes and paths apply from the next start")

    async def run(self, early_hangups: Sequence[int] = ()) -> None:
        """Serve until SIGTERM or SIGINT. Errors: StartError."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop_requested.set)
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
        dispatcher_task = loop.create_task(self.dispatcher.run())
        accept_task = loop.create_task(self.sessions.accept())
        tasks = [
            accept_task,
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
        stop_task: asyncio.Task[Any] = loop.create_task(self.stop_requested.wait())
        await asyncio.wait([dispatcher_task, stop_task, *tasks], return_when=asyncio.FIRST_COMPLETED)
        try:
            if not self.stop_requested.is_set():  # only a fault ends one of these tasks
                for task in (dispatcher_task, *tasks):
                    if task.done():
                        task.result()
            await self._shut_down(accept_task)
        finally:
            for task in (dispatcher_task, stop_task, *tasks):
                task.cancel()
            await asyncio.gather(dispatcher_task, stop_task, *tasks, return_exceptions=True)
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
        """Accept for a short time, finish the open queries, and fail those that don't finish in time."""
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
        accept_task.cancel()  # on some kernels the shutdown doesn't wake a pending accept
        with suppress(asyncio.CancelledError):
            await accept_task
        self.sessions.close_listener()
        while loop.time() < start + self.limits.finish_after_stop_s:
            await asyncio.sleep(self.limits.poll_interval_s)
            if self.sessions.close_idle() and self.dispatcher.is_idle:
                return
        self.inbox.put(Shutdown())
        await asyncio.sleep(self.limits.poll_interval_s)
        while (
            not self.sessions.close_idle()
            and loop.time() < start + self.limits.finish_after_stop_s + LAST_ANSWERS_S
        ):
            await asyncio.sleep(self.limits.poll_interval_s)


def main(early_hangups: list[int] | None = None) -> int:
    """Run the gateway and return its exit status.

    `early_hangups` collects the SIGHUPs that arrive before the event loop handles them, if the caller has
    installed a handler before importing this module. They don't end the program; a reload follows the start.
    """
    import uvloop

    if early_hangups is None:
        early_hangups = []
        signal.signal(signal.SIGHUP, lambda signal_number, _: early_hangups.append(signal_number))
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
