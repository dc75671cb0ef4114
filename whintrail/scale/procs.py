"""Starts and ends the processes of a scale run, with limits on their number, memory and time.

Real gateways start with the `run` command of deploy/balancer.toml, hollow processes with a module that calls
`control.serve`. No process outlives the run: each is killed when the run ends, exceeds a limit or gets
Ctrl-C, and by the kernel when the run itself was killed (`guard`).
"""

import asyncio
import os
import signal
import sys
import time
import tomllib
from collections.abc import Coroutine, Mapping
from contextlib import suppress
from pathlib import Path
from types import TracebackType
from typing import Any, Self, TypeVar

import orjson
import psutil  # type: ignore[import-untyped]

from whintrail.scale.measure import Reading, read_process

ROOT = Path(__file__).resolve().parents[2]
MAX_ANSWER_BYTES = 64 << 20  # of one line on the control channel
ASK_TIMEOUT_S = 60.0
BOUND_CHECK_INTERVAL_S = 0.5
ResultT = TypeVar("ResultT")


class BoundError(RuntimeError):
    """The run exceeded its limit on processes, memory or time; the text is one line."""


class ChildError(RuntimeError):
    """A child ended, or answered a request with an error."""


def gateway_command() -> str:
    """The deployed `run` command, with this interpreter if there is no .venv in the repository."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        run: str = tomllib.load(file)["run"]
    return run if (ROOT / ".venv").exists() else run.replace(".venv/bin/python", sys.executable)


class Child:
    """One process of the run. `ask` is for hollow ones; a real gateway only has its own sockets."""

    def __init__(self, name: str, role: str, process: asyncio.subprocess.Process, log: Path) -> None:
        self.name, self.role, self.process, self.log = name, role, process, log
        self.pid, self.pidfd = process.pid, -1
        with suppress(ProcessLookupError):  # it has already ended
            self.pidfd = os.pidfd_open(process.pid)
        self.pending: dict[int, asyncio.Future[Any]] = {}  # by request id
        self.last_request_id = 0
        self.reader_task: asyncio.Task[None] | None = None
        if process.stdout is not None:
            self.reader_task = asyncio.get_running_loop().create_task(self._read_answers())

    @property
    def is_alive(self) -> bool:
        return self.process.returncode is None

    async def _read_answers(self) -> None:
        stdout = self.process.stdout
        assert stdout is not None
        try:
            while line := await stdout.readline():
                answer = orjson.loads(line)
                future = self.pending.pop(answer["id"], None)
                if future is None or future.done():
                    continue
                if "error" in answer:
                    future.set_exception(ChildError(f"{self.name}: {answer['error']}"))
                else:
                    future.set_result(answer["ok"])
        finally:
            for future in self.pending.values():
                if not future.done():
                    future.set_exception(ChildError(f"{self.name} has ended; see {self.log}"))
            self.pending.clear()

    async def ask(self, command: str, timeout_s: float = ASK_TIMEOUT_S, **fields: Any) -> Any:
        """Sends a request and returns the answer. Raises ChildError if the child fails, TimeoutError if it
        does not answer in time."""
        stdin = self.process.stdin
        if stdin is None or self.reader_task is None or self.reader_task.done():
            raise ChildError(f"{self.name} takes no requests: it has ended or is a real gateway")
        self.last_request_id += 1
        request_id, future = self.last_request_id, asyncio.get_running_loop().create_future()
        self.pending[request_id] = future
        try:
            stdin.write(orjson.dumps({"id": request_id, "do": command, **fields}) + b"\n")
            await stdin.drain()
            async with asyncio.timeout(timeout_s):
                return await future
        except ConnectionError as error:
            raise ChildError(f"{self.name} has ended; see {self.log}") from error
        finally:
            self.pending.pop(request_id, None)

    def signal(self, number: signal.Signals) -> None:
        """Sends SIGSTOP, SIGCONT, SIGTERM, SIGKILL or SIGUSR1 to this process alone; does nothing if it
        ended.

        Uses the pidfd: `Popen.send_signal` polls first, which takes the exit status away from the waiting
        task."""
        with suppress(ProcessLookupError):
            if self.pidfd >= 0:
                signal.pidfd_send_signal(self.pidfd, number)

    async def wait_ended(self, timeout_s: float) -> bool:
        """Whether the process has ended within the timeout."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.process.wait()
        return not self.is_alive

    async def kill(self) -> None:
        """Ends a stopped process too: SIGKILL needs no SIGCONT."""
        if self.is_alive:
            self.signal(signal.SIGKILL)
        await self.process.wait()
        if self.reader_task is not None:
            await asyncio.gather(self.reader_task, return_exceptions=True)
        if self.pidfd >= 0:
            os.close(self.pidfd)
            self.pidfd = -1


class ProcessGroup:
    """All processes of a run: `async with ProcessGroup(folder, memory_mb=12000, seconds=600) as group`.

    `memory_mb` limits the sum of the resident sizes of all processes and this one; shared pages count once
    per process."""

    def __init__(self, folder: Path, memory_mb: float, seconds: float, max_processes: int = 300) -> None:
        self.folder, self.memory_mb, self.seconds, self.max_processes = (
            folder,
            memory_mb,
            seconds,
            max_processes,
        )
        self.children: dict[str, Child] = {}
        self.starting_count = 0
        self.started_at_s = time.monotonic()
        self.peak_mb = 0.0
        self.bound_exceeded: asyncio.Future[None] | None = None
        self.watch_task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        loop = asyncio.get_running_loop()
        self.folder.mkdir(parents=True, exist_ok=True)
        self.bound_exceeded = loop.create_future()
        self.watch_task = loop.create_task(self._watch_bounds())
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if self.watch_task is not None:
            self.watch_task.cancel()
            await asyncio.gather(self.watch_task, return_exceptions=True)
        if self.bound_exceeded is not None and self.bound_exceeded.done():
            self.bound_exceeded.exception()  # retrieved, so that asyncio logs no warning
        for child in self.children.values():
            child.signal(signal.SIGKILL)
        await asyncio.gather(*(child.kill() for child in self.children.values()))

    # --- Starting.

    async def _spawn(
        self, name: str, role: str, command: list[str], has_control_channel: bool, **environment: str
    ) -> Child:
        if name in self.children and self.children[name].is_alive:
            raise ValueError(f"{name} is already running")
        alive_count = sum(child.is_alive for child in self.children.values())
        if self.starting_count + alive_count >= self.max_processes:
            raise BoundError(f"over the bound of {self.max_processes} processes")
        self.starting_count += 1
        log = self.folder / f"{name}.log"
        try:
            with open(log, "ab") as errors:
                process = await asyncio.create_subprocess_exec(
                    *[sys.executable, "-m", "whintrail.scale.guard", str(os.getpid()), *command],
                    cwd=ROOT,
                    env={**os.environ, **environment},
                    stdin=asyncio.subprocess.PIPE if has_control_channel else asyncio.subprocess.DEVNULL,
                    stdout=asyncio.subprocess.PIPE if has_control_channel else errors,
                    stderr=errors,
                    start_new_session=True,  # Ctrl-C reaches only the run, which ends the children
                    limit=MAX_ANSWER_BYTES,
                )
        finally:
            self.starting_count -= 1
        child = self.children[name] = Child(name, role, process, log)
        return child

    async def start(self, name: str, role: str, module: str, config: Mapping[str, Any]) -> tuple[Child, Any]:
        """Starts a hollow process; returns it and its answer to `start`."""
        child = await self._spawn(name, role, [sys.executable, "-m", module], has_control_channel=True)
        return child, await child.ask("start", **config)

    async def start_gateway(
        self,
        name: str,
        config: Mapping[str, Any],
        operator: Mapping[str, Any] | None = None,
        **environment: str,
    ) -> Child:
        """Starts a real gateway by the `run` command, with RELAY_CONFIG, and WHINTRAIL_FILE if `operator` is
        given. It may not serve yet when this returns (`LoadClients.wait_until_serving`)."""
        path = self.folder / f"{name}.json"
        path.write_bytes(orjson.dumps(config))
        if operator is not None:
            file = self.folder / f"{name}.jsonnet"
            file.write_bytes(orjson.dumps(operator))
            environment["WHINTRAIL_FILE"] = str(file)
        command = ["/bin/sh", "-c", gateway_command()]
        return await self._spawn(
            name, "gateway", command, has_control_channel=False, RELAY_CONFIG=str(path), **environment
        )

    # --- Limits.

    async def _watch_bounds(self) -> None:
        assert self.bound_exceeded is not None
        while True:
            await asyncio.sleep(BOUND_CHECK_INTERVAL_S)
            used_mb = self.used_mb()
            self.peak_mb = max(self.peak_mb, used_mb)
            reason = ""
            if used_mb > self.memory_mb:
                reason = f"memory: {used_mb:.0f} MB over the bound of {self.memory_mb:.0f} MB"
            elif time.monotonic() - self.started_at_s > self.seconds:
                reason = f"time: over the bound of {self.seconds:.0f} s"
            if reason and not self.bound_exceeded.done():
                self.bound_exceeded.set_exception(BoundError(reason))

    def used_mb(self) -> float:
        """The sum of the resident sizes of this process and all living children."""
        total = 0
        for pid in [os.getpid(), *(child.pid for child in self.children.values() if child.is_alive)]:
            with suppress(psutil.Error):
                total += psutil.Process(pid).memory_info().rss
        return total / (1 << 20)

    async def run_within_bounds(self, work: Coroutine[Any, Any, ResultT]) -> ResultT:
        """Returns the result of `work`; cancels it and raises BoundError as soon as a limit is exceeded."""
        assert self.bound_exceeded is not None
        task = asyncio.get_running_loop().create_task(work)
        try:
            both: list[asyncio.Future[Any]] = [task, self.bound_exceeded]
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                await self.bound_exceeded
            return await task
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    # --- Measuring.

    def readings(self, role: str | None = None) -> dict[str, Reading]:
        """The CPU time, memory and descriptors of each living process (of the role), as of now."""
        found = {}
        for name, child in self.children.items():
            if child.is_alive and role in (None, child.role):
                with suppress(psutil.Error):
                    found[name] = read_process(child.pid)
        return found
