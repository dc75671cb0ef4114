"""Keeps the time line of a running gateway: ticks, log lines, the store's work, the live view.

The owner feeds the time line and calls `tick`; everything else here may wait and runs as background work.
Whatever fails here is counted and logged; it ends the part that failed, never the gateway.
"""

import asyncio
import os
from collections.abc import Callable, Generator
from contextlib import suppress
from typing import TYPE_CHECKING, Protocol

from whintrail.background import Plan, Priority, Runner
from whintrail.config import OperatorFile, Watch
from whintrail.config import Timeline as TimelineSettings
from whintrail.timeline.core import Timeline
from whintrail.timeline.errors import StoreOff
from whintrail.timeline.judge import Thresholds

if TYPE_CHECKING:  # what the file doesn't ask for is not imported: the store's libraries take 4 MB
    from whintrail.timeline.live import Live
    from whintrail.timeline.store import Writer

MEGABYTE = 1 << 20
Work = Generator[None, None, None]


class Says(Protocol):
    def line(self, kind: str, text: str, **fields: object) -> None: ...


class Counts(Protocol):
    def add(self, group: str, name: str, count: int = 1) -> None: ...


def thresholds(given: Watch) -> Thresholds:
    return Thresholds(
        stalled_evidence=given.stalled_evidence,
        stalled_least_us=int(given.stalled_least_s * 1e6),
        slow_factor=given.slow_factor,
        slow_evidence=given.slow_evidence,
        failing_share=given.failing_share,
        flapping_turns=given.flapping_turns,
        flapping_within_us=int(given.flapping_within_s * 1e6),
    )


class Keeper:
    def __init__(
        self,
        given: OperatorFile,
        settings: TimelineSettings,
        name: str,
        classes: tuple[str, ...],
        cold_us: int,
        now: Callable[[], int],
        counters: Counts,
        log: Says,
    ) -> None:
        self.settings, self.name, self.now = settings, name, now
        self.counters, self.log = counters, log
        memory = int(settings.memory_mb * MEGABYTE)
        self.timeline = Timeline(
            memory, int(settings.raw_s * 1e6), thresholds(settings.watch), classes, cold_us
        )
        background = given.background
        self.plan = Plan(background.share, background.slice_ms / 1000, background.waiting)
        self.runner: Runner | None = None
        self.writer: Writer | None = None
        self.live: Live | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.busy: set[str] = set()  # jobs of which one is in line

    def apply(self, settings: TimelineSettings) -> None:
        """A changed operator's file: the thresholds hold at once; sizes and places with the next start."""
        self.timeline.judge.limits = thresholds(settings.watch)

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.runner = Runner(self.plan, self._failed)
        if self.settings.store is not None:
            self._open_store()
        if self.settings.socket is not None:
            from whintrail.timeline.live import Live

            try:
                self.live = Live(self.settings.socket, self.timeline, self.settings.followers, self.counters)
                self.tasks.append(loop.create_task(self.live.run()))
            except OSError as error:
                self.log.line("timeline", f"no live view at {self.settings.socket}: {error}")

    def _open_store(self) -> None:
        from whintrail.timeline.store import Writer

        store = self.settings.store
        assert store is not None
        try:
            self.writer = Writer(
                store.directory,
                self.name,
                self.timeline.classes,
                int(store.segment_mb * MEGABYTE),
                int(store.keep_mb * MEGABYTE),
                int(store.keep_s * 1e6),
                self.now,
            )
        except StoreOff as error:
            self._store_off(error)
            return
        self._submit("index", Priority.INDEX, self.writer.index_old())
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(self._write(self.writer)))
        if store.fsync != "never":
            self.tasks.append(loop.create_task(self._sync(self.writer)))

    # --- Called by the owner.

    def tick(self, now: int) -> None:
        """The judge's turn, a few times a second."""
        found = self.timeline.tick(now)
        for happening in found:
            word = happening.verdict.name.lower()
            self.counters.add("timeline", f"{word}_{'began' if happening.begins else 'ended'}")
            figures = {name: float(f"{value:.4g}") for name, value in happening.evidence.items()}
            text = happening.text().partition(":")[0]
            self.log.line(f"timeline-{word}", text, since_us=happening.since_us, **figures)
        if found and self.writer is not None:
            self._submit("judged", Priority.WRITE, self.writer.judged(found), one=False)
        if found and self.live is not None:
            self.live.tell(found)

    # --- The store's work.

    def _submit(self, name: str, priority: Priority, work: Work, one: bool = True) -> None:
        if self.runner is None or (one and name in self.busy):
            work.close()
            return
        if one:
            self.busy.add(name)
            work = self._marked(name, work)
        if not self.runner.submit(name, priority, work):
            self.busy.discard(name)
            self.counters.add("timeline", "shed")

    def _marked(self, name: str, work: Work) -> Work:
        try:
            yield from work
        finally:
            self.busy.discard(name)

    async def _write(self, writer: "Writer") -> None:
        store = self.settings.store
        assert store is not None
        turn = 0
        while writer.off is None:
            await asyncio.sleep(store.flush_every_s)
            self._submit("flush", Priority.WRITE, writer.flush(self.timeline))
            turn += 1
            if turn % 5 == 0:
                self._submit("roll", Priority.ROLL, writer.roll(self.timeline))
            if turn % 30 == 0:
                self._submit("clear", Priority.DELETE, writer.clear())

    async def _sync(self, writer: "Writer") -> None:
        """A disk's sync may take seconds: it waits on a thread, and stalls nobody."""
        store = self.settings.store
        assert store is not None
        every = store.flush_every_s if store.fsync == "always" else store.fsync_every_s
        while writer.off is None:
            await asyncio.sleep(every)
            try:
                await asyncio.to_thread(writer.sync)
            except OSError as error:
                writer.off = writer.off or str(error)
                self._store_off(StoreOff(str(error)))

    def _failed(self, name: str, error: Exception) -> None:
        if isinstance(error, StoreOff):
            self._store_off(error)
            return
        self.counters.add("timeline", "faults")
        self.log.line("timeline", f"{name}: {type(error).__name__}: {error}")

    def _store_off(self, error: StoreOff) -> None:
        self.counters.add("timeline", "store_off")
        self.log.line("timeline", f"the store is off: {error}; the gateway goes on without it")

    async def close(self) -> None:
        """What has come so far is written."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.writer is not None and self.writer.off is None:
            self._submit("roll", Priority.WRITE, self.writer.roll(self.timeline), one=False)
            self._submit("flush", Priority.WRITE, self.writer.flush(self.timeline), one=False)
        if self.runner is not None:
            await self.runner.close()
        for name, count in self.plan.shed.items():
            self.counters.add("timeline", f"shed_{name}", count)
        if self.writer is not None:
            self.counters.add("timeline", "stored", self.writer.events)
            self.counters.add("timeline", "missed", self.writer.missed)
            with suppress(OSError):
                self.writer.sync()
            self.writer.close()
        if self.live is not None:
            self.live.close()
        if self.settings.socket is not None and self.live is not None:
            with suppress(OSError):
                os.unlink(self.settings.socket)
