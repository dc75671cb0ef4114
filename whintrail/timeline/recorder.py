"""Keeps the time line of a running gateway: ticks, log lines, the store's work, the live view.

The owner feeds the time line and calls `tick`; everything else here may wait and runs as background work.
Whatever fails here is counted and logged; it ends the part that failed, never the gateway.
"""

import asyncio
import os
from collections.abc import Callable, Generator
from contextlib import suppress
from typing import TYPE_CHECKING, Protocol

from whintrail.background import JobQueue, JobRunner, Priority
from whintrail.config import DetectionThresholds, OperatorFile
from whintrail.config import Timeline as TimelineSettings
from whintrail.timeline.core import Timeline
from whintrail.timeline.detector import Thresholds
from whintrail.timeline.errors import StoreUnavailable

if TYPE_CHECKING:  # what the file doesn't ask for is not imported: the store's libraries take 4 MB
    from whintrail.timeline.live_view import LiveView
    from whintrail.timeline.store import Writer

MEGABYTE = 1 << 20
Work = Generator[None, None, None]


class EventLog(Protocol):
    def line(self, kind: str, text: str, **fields: object) -> None: ...


class CounterSink(Protocol):
    def add(self, group: str, name: str, count: int = 1) -> None: ...


def thresholds_from_settings(settings: DetectionThresholds) -> Thresholds:
    return Thresholds(
        stalled_evidence=settings.stalled_evidence,
        stalled_least_us=int(settings.stalled_least_s * 1e6),
        slow_factor=settings.slow_factor,
        slow_evidence=settings.slow_evidence,
        failing_share=settings.failing_share,
        flapping_turns=settings.flapping_turns,
        flapping_within_us=int(settings.flapping_within_s * 1e6),
    )


class Recorder:
    def __init__(
        self,
        operator_file: OperatorFile,
        settings: TimelineSettings,
        gateway_name: str,
        classes: tuple[str, ...],
        cold_us: int,
        now_us: Callable[[], int],
        counters: CounterSink,
        log: EventLog,
    ) -> None:
        self.settings, self.gateway_name, self.now_us = settings, gateway_name, now_us
        self.counters, self.log = counters, log
        memory = int(settings.memory_mb * MEGABYTE)
        self.timeline = Timeline(
            memory, int(settings.raw_s * 1e6), thresholds_from_settings(settings.watch), classes, cold_us
        )
        background = operator_file.background
        self.plan = JobQueue(background.share, background.slice_ms / 1000, background.waiting)
        self.runner: JobRunner | None = None
        self.writer: Writer | None = None
        self.live_view: LiveView | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.queued_jobs: set[str] = set()  # jobs of which one is in line

    def apply_settings(self, settings: TimelineSettings) -> None:
        """A changed operator's file: the thresholds hold at once; sizes and places with the next start."""
        self.timeline.detector.thresholds = thresholds_from_settings(settings.watch)

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.runner = JobRunner(self.plan, self._handle_job_failure)
        if self.settings.store is not None:
            self._open_store()
        if self.settings.socket is not None:
            from whintrail.timeline.live_view import LiveView

            try:
                self.live_view = LiveView(
                    self.settings.socket, self.timeline, self.settings.followers, self.counters
                )
                self.tasks.append(loop.create_task(self.live_view.run()))
            except OSError as error:
                self.log.line("timeline", f"no live view at {self.settings.socket}: {error}")

    def _open_store(self) -> None:
        from whintrail.timeline.store import Writer

        store = self.settings.store
        assert store is not None
        try:
            self.writer = Writer(
                store.directory,
                self.gateway_name,
                self.timeline.classes,
                int(store.segment_mb * MEGABYTE),
                int(store.keep_mb * MEGABYTE),
                int(store.keep_s * 1e6),
                self.now_us,
            )
        except StoreUnavailable as error:
            self._report_store_off(error)
            return
        self._submit("index", Priority.INDEX, self.writer.index_old_segments())
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(self._run_writes(self.writer)))
        if store.fsync != "never":
            self.tasks.append(loop.create_task(self._run_syncs(self.writer)))

    # --- Called by the owner.

    def tick(self, now: int) -> None:
        """The judge's turn, a few times a second."""
        found = self.timeline.tick(now)
        for happening in found:
            word = happening.verdict.name.lower()
            self.counters.add("timeline", f"{word}_{'began' if happening.begins else 'ended'}")
            figures = {name: float(f"{value:.4g}") for name, value in happening.evidence.items()}
            text = happening.describe().partition(":")[0]
            self.log.line(f"timeline-{word}", text, since_us=happening.since_us, **figures)
        if found and self.writer is not None:
            self._submit("judged", Priority.WRITE, self.writer.write_detections(found), one=False)
        if found and self.live_view is not None:
            self.live_view.publish(found)

    # --- The store's work.

    def _submit(self, name: str, priority: Priority, work: Work, one: bool = True) -> None:
        if self.runner is None or (one and name in self.queued_jobs):
            work.close()
            return
        if one:
            self.queued_jobs.add(name)
            work = self._track_job(name, work)
        if not self.runner.submit(name, priority, work):
            self.queued_jobs.discard(name)
            self.counters.add("timeline", "shed")

    def _track_job(self, name: str, work: Work) -> Work:
        try:
            yield from work
        finally:
            self.queued_jobs.discard(name)

    async def _run_writes(self, writer: "Writer") -> None:
        store = self.settings.store
        assert store is not None
        turn = 0
        while writer.off_reason is None:
            await asyncio.sleep(store.flush_every_s)
            self._submit("flush", Priority.WRITE, writer.write_events(self.timeline))
            turn += 1
            if turn % 5 == 0:
                self._submit("roll", Priority.ROLL, writer.write_rollups(self.timeline))
            if turn % 30 == 0:
                self._submit("clear", Priority.DELETE, writer.delete_expired())

    async def _run_syncs(self, writer: "Writer") -> None:
        """A disk's sync may take seconds: it waits on a thread, and stalls nobody."""
        store = self.settings.store
        assert store is not None
        every = store.flush_every_s if store.fsync == "always" else store.fsync_every_s
        while writer.off_reason is None:
            await asyncio.sleep(every)
            try:
                await asyncio.to_thread(writer.sync)
            except OSError as error:
                writer.off_reason = writer.off_reason or str(error)
                self._report_store_off(StoreUnavailable(str(error)))

    def _handle_job_failure(self, name: str, error: Exception) -> None:
        if isinstance(error, StoreUnavailable):
            self._report_store_off(error)
            return
        self.counters.add("timeline", "faults")
        self.log.line("timeline", f"{name}: {type(error).__name__}: {error}")

    def _report_store_off(self, error: StoreUnavailable) -> None:
        self.counters.add("timeline", "store_off")
        self.log.line("timeline", f"the store is off: {error}; the gateway goes on without it")

    async def close(self) -> None:
        """What has come so far is written."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.writer is not None and self.writer.off_reason is None:
            self._submit("roll", Priority.WRITE, self.writer.write_rollups(self.timeline), one=False)
            self._submit("flush", Priority.WRITE, self.writer.write_events(self.timeline), one=False)
        if self.runner is not None:
            await self.runner.close()
        for name, count in self.plan.shed.items():
            self.counters.add("timeline", f"shed_{name}", count)
        if self.writer is not None:
            self.counters.add("timeline", "stored", self.writer.events_written)
            self.counters.add("timeline", "missed", self.writer.missed_events)
            with suppress(OSError):
                self.writer.sync()
            self.writer.close()
        if self.live_view is not None:
            self.live_view.close()
        if self.settings.socket is not None and self.live_view is not None:
            with suppress(OSError):
                os.unlink(self.settings.socket)
