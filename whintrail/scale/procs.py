"""The processes of a scale run: started, asked, stopped and ended; bounded in number, memory and time.

Real gateways start as deploy/balancer.toml's `run` says; hollow ones by a module that calls `control.serve`.
Nothing outlives the run: each process is killed when it ends, when a bound is passed, on Ctrl-C, and by the
kernel where the run itself was killed (`guard`).
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
LINE_MOST = 64 << 20  # of an answer on the control channel
ASK_S = 60.0
T = TypeVar("T")


class BoundError(RuntimeError):
    """The run passed its bound in number, memory or time; the text is one line."""


class ChildError(RuntimeError):
    """A child ended, or could not do what it was asked."""


def run_command() -> str:
    """What the deployed `run` says, with this interpreter where there is no .venv beside it."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        run: str = tomllib.load(file)["run"]
    return run if (ROOT / ".venv").exists() else run.replace(".venv/bin/python", sys.executable)


class Child:
    """One process of the run. `ask` is for hollow ones; a real gateway is spoken to by its own sockets."""

    def __init__(self, name: str, role: str, process: asyncio.subprocess.Process, log: Path) -> None:
        self.name, self.role, self.process, self.log = name, role, process, log
        self.pid, self.handle = process.pid, -1
        with suppress(ProcessLookupError):  # it has ended already
            self.handle = os.pidfd_open(process.pid)
        self.asked: dict[int, asyncio.Future[Any]] = {}
        self.numbered = 0
        self.reading: asyncio.Task[None] | None = None
        if process.stdout is not None:
            self.reading = asyncio.get_running_loop().create_task(self._read())

    @property
    def alive(self) -> bool:
        return self.process.returncode is None

    async def _read(self) -> None:
        out = self.process.stdout
        assert out is not None
        try:
            while line := await out.readline():
                answer = orjson.loads(line)
                future = self.asked.pop(answer["id"], None)
                if future is None or future.done():
                    continue
                if "error" in answer:
                    future.set_exception(ChildError(f"{self.name}: {answer['error']}"))
                else:
                    future.set_result(answer["ok"])
        finally:
            for future in self.asked.values():
                if not future.done():
                    future.set_exception(ChildError(f"{self.name} has ended; see {self.log}"))
            self.asked.clear()

    async def ask(self, do: str, timeout_s: float = ASK_S, **fields: Any) -> Any:
        """What the child answers; ChildError where it can't, TimeoutError where it doesn't in time."""
        stdin = self.process.stdin
        if stdin is None or self.reading is None or self.reading.done():
            raise ChildError(f"{self.name} can't be asked: it has ended or is a real gateway")
        self.numbered += 1
        number, future = self.numbered, asyncio.get_running_loop().create_future()
        self.asked[number] = future
        try:
            stdin.write(orjson.dumps({"id": number, "do": do, **fields}) + b"\n")
            await stdin.drain()
            async with asyncio.timeout(timeout_s):
                return await future
        except ConnectionError as error:
            raise ChildError(f"{self.name} has ended; see {self.log}") from error
        finally:
            self.asked.pop(number, None)

    def signal(self, number: signal.Signals) -> None:
        """SIGSTOP, SIGCONT, SIGTERM, SIGKILL, SIGUSR1: to this process alone, nothing if it has ended.

        By its pidfd: `Popen.send_signal` polls first, and so takes the exit status from who waits for it.
        """
        with suppress(ProcessLookupError):
            if self.handle >= 0:
                signal.pidfd_send_signal(self.handle, number)

    async def ended(self, timeout_s: float) -> bool:
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.process.wait()
        return not self.alive

    async def kill(self) -> None:
        """A stopped process too: SIGKILL needs no SIGCONT."""
        if self.alive:
            self.signal(signal.SIGKILL)
        await self.process.wait()
        if self.reading is not None:
            await asyncio.gather(self.reading, return_exceptions=True)
        if self.handle >= 0:
            os.close(self.handle)
            self.handle = -1


class Group:
    """All processes of a run: `async with Group(folder, memory_mb=12000, seconds=600) as group`.

    `memory_mb` bounds the sum of their resident sizes and this process's (pages they share counted by each).
    """

    def __init__(self, folder: Path, memory_mb: float, seconds: float, most: int = 300) -> None:
        self.folder, self.memory_mb, self.seconds, self.most = folder, memory_mb, seconds, most
        self.children: dict[str, Child] = {}
        self.starting = 0
        self.began = time.monotonic()
        self.most_mb = 0.0  # seen so far
        self.broken: asyncio.Future[None] | None = None
        self.watching: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        loop = asyncio.get_running_loop()
        self.folder.mkdir(parents=True, exist_ok=True)
        self.broken = loop.create_future()
        self.watching = loop.create_task(self._watch())
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if self.watching is not None:
            self.watching.cancel()
            await asyncio.gather(self.watching, return_exceptions=True)
        if self.broken is not None and self.broken.done():
            self.broken.exception()  # it was told, or the run ended of something else
        for child in self.children.values():
            child.signal(signal.SIGKILL)
        await asyncio.gather(*(child.kill() for child in self.children.values()))

    # --- Starting.

    async def _spawn(
        self, name: str, role: str, command: list[str], asked: bool, **environment: str
    ) -> Child:
        if name in self.children and self.children[name].alive:
            raise ValueError(f"{name} runs already")
        if self.starting + sum(child.alive for child in self.children.values()) >= self.most:
            raise BoundError(f"over the bound of {self.most} processes")
        self.starting += 1
        log = self.folder / f"{name}.log"
        try:
            with open(log, "ab") as errors:
                process = await asyncio.create_subprocess_exec(
                    *[sys.executable, "-m", "whintrail.scale.guard", str(os.getpid()), *command],
                    cwd=ROOT,
                    env={**os.environ, **environment},
                    stdin=asyncio.subprocess.PIPE if asked else asyncio.subprocess.DEVNULL,
                    stdout=asyncio.subprocess.PIPE if asked else errors,
                    stderr=errors,
                    start_new_session=True,  # the terminal's Ctrl-C is the run's alone, which ends them
                    limit=LINE_MOST,
                )
        finally:
            self.starting -= 1
        child = self.children[name] = Child(name, role, process, log)
        return child

    async def start(self, name: str, role: str, module: str, config: Mapping[str, Any]) -> tuple[Child, Any]:
        """A hollow process, and what it answers to `start`."""
        child = await self._spawn(name, role, [sys.executable, "-m", module], asked=True)
        return child, await child.ask("start", **config)

    async def start_gateway(
        self,
        name: str,
        config: Mapping[str, Any],
        operator: Mapping[str, Any] | None = None,
        **environment: str,
    ) -> Child:
        """A real gateway by `run`'s own way: RELAY_CONFIG, and WHINTRAIL_FILE where `operator` is given. It
        may not serve yet (`load.until_serves`)."""
        path = self.folder / f"{name}.json"
        path.write_bytes(orjson.dumps(config))
        if operator is not None:
            file = self.folder / f"{name}.jsonnet"
            file.write_bytes(orjson.dumps(operator))
            environment["WHINTRAIL_FILE"] = str(file)
        command = ["/bin/sh", "-c", run_command()]
        return await self._spawn(name, "gateway", command, asked=False, RELAY_CONFIG=str(path), **environment)

    # --- Bounds.

    async def _watch(self) -> None:
        assert self.broken is not None
        while True:
            await asyncio.sleep(0.5)
            used = self.used_mb()
            self.most_mb = max(self.most_mb, used)
            why = ""
            if used > self.memory_mb:
                why = f"memory: {used:.0f} MB over the bound of {self.memory_mb:.0f} MB"
            elif time.monotonic() - self.began > self.seconds:
                why = f"time: over the bound of {self.seconds:.0f} s"
            if why and not self.broken.done():
                self.broken.set_exception(BoundError(why))

    def used_mb(self) -> float:
        total = 0
        for pid in [os.getpid(), *(child.pid for child in self.children.values() if child.alive)]:
            with suppress(psutil.Error):
                total += psutil.Process(pid).memory_info().rss
        return total / (1 << 20)

    async def within(self, work: Coroutine[Any, Any, T]) -> T:
        """The work's result; BoundError as soon as a bound is passed."""
        assert self.broken is not None
        task = asyncio.get_running_loop().create_task(work)
        try:
            both: list[asyncio.Future[Any]] = [task, self.broken]
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                await self.broken
            return await task
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    # --- Measuring.

    def readings(self, role: str | None = None) -> dict[str, Reading]:
        """Of each living process (of the role): processor time, memory, descriptors, as of now."""
        found = {}
        for name, child in self.children.items():
            if child.alive and role in (None, child.role):
                with suppress(psutil.Error):
                    found[name] = read_process(child.pid)
        return found
