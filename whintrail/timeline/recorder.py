"""Runs the timeline of a gateway: its ticks, log lines and counters, the store's jobs and the live view.

The gateway passes events to the timeline and calls `tick`; everything else runs as background jobs. A failure
here is counted and logged. It stops the part that failed, never the gateway.
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

if TYPE_CHECKING:  # imported only if configured: the store's libraries take 4 MB of memory
    from whintrail.timeline.live_view import LiveView
    from whintrail.timeline.store import Writer

BYTES_PER_MB = 1 << 20
StepwiseJob = Generator[None, None, None]


class EventLog(Protocol):
    """Where log lines go."""

    def line(self, kind: str, text: str, **fields: object) -> None: ...


class CounterSink(Protocol):
    """Where counters are kept."""

    def add(self, group: str, name: str, count: int = 1) -> None: ...


def thresholds_from_settings(settings: DetectionThresholds) -> Thresholds:
    """The detector's thresholds from the operator's file, with times in microseconds."""
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
    """The timeline of one gateway with its store and live view, as the operator's file configures them."""

    def __init__(
        self,
        operator_file: OperatorFile,
        settings: TimelineSettings,
        gateway_name: str,
        classes: tuple[str, ...],
        cold_duration_us: int,
        now_us: Callable[[], int],
        counters: CounterSink,
        log: EventLog,
    ) -> None:
        self.settings, self.gateway_name, self.now_us = settings, gateway_name, now_us
        self.counters, self.log = counters, log
        memory = int(settings.memory_mb * BYTES_PER_MB)
        self.timeline = Timeline(
            memory,
            int(settings.raw_s * 1e6),
            thresholds_from_settings(settings.watch),
            classes,
            cold_duration_us,
        )
        background = operator_file.background
        self.job_queue = JobQueue(background.share, background.slice_ms / 1000, background.waiting)
        self.runner: JobRunner | None = None
        self.writer: Writer | None = None
        self.live_view: LiveView | None = None
        self.tasks: list[asyncio.Task[None]] = []
        # Names of the queued and running jobs that must not be queued twice.
        self.queued_jobs: set[str] = set()

    def apply_settings(self, settings: TimelineSettings) -> None:
        """Apply a changed operator's file: thresholds at once; sizes and paths need a restart."""
        self.timeline.detector.thresholds = thresholds_from_settings(settings.watch)

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.runner = JobRunner(self.job_queue, self._handle_job_failure)
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

        store_settings = self.settings.store
        assert store_settings is not None
        try:
            self.writer = Writer(
                store_settings.directory,
                self.gateway_name,
                self.timeline.classes,
                int(store_settings.segment_mb * BYTES_PER_MB),
                int(store_settings.keep_mb * BYTES_PER_MB),
                int(store_settings.keep_s * 1e6),
                self.now_us,
            )
        except StoreUnavailable as error:
            self._report_store_off(error)
            return
        self._submit("index", Priority.INDEX, self.writer.index_old_segments())
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(self._run_writes(self.writer)))
        if store_settings.fsync != "never":
            self.tasks.append(loop.create_task(self._run_syncs(self.writer)))

    # --- Called by the gateway.

    def tick(self, now: int) -> None:
        """Run the detector, then count, log, store and publish its results; called a few times a second."""
        detections = self.timeline.tick(now)
        for detection in detections:
            verdict = detection.verdict.name.lower()
            self.counters.add("timeline", f"{verdict}_{'began' if detection.begins else 'ended'}")
            figures = {name: float(f"{value:.4g}") for name, value in detection.evidence.items()}
            text = detection.describe().partition(":")[0]
            self.log.line(f"timeline-{verdict}", text, since_us=detection.since_us, **figures)
        if detections and self.writer is not None:
            self._submit("judged", Priority.WRITE, self.writer.write_detections(detections), once=False)
        if detections and self.live_view is not None:
            self.live_view.publish(detections)

    # --- The store's jobs.

    def _submit(self, name: str, priority: Priority, job: StepwiseJob, once: bool = True) -> None:
        """Queue a background job; the counter of dropped jobs contains its name.

        With `once`, the job is not queued again while one of that name is queued or running.
        """
        if self.runner is None or (once and name in self.queued_jobs):
            job.close()
            return
        if once:
            self.queued_jobs.add(name)
            job = self._track_job(name, job)
        if not self.runner.submit(name, priority, job):
            self.queued_jobs.discard(name)
            self.counters.add("timeline", "shed")

    def _track_job(self, name: str, job: StepwiseJob) -> StepwiseJob:
        """The job, which removes its name from `queued_jobs` when it ends or is closed."""
        try:
            yield from job
        finally:
            self.queued_jobs.discard(name)

    async def _run_writes(self, writer: "Writer") -> None:
        store_settings = self.settings.store
        assert store_settings is not None
        cycle = 0
        while writer.off_reason is None:
            await asyncio.sleep(store_settings.flush_every_s)
            self._submit("flush", Priority.WRITE, writer.write_events(self.timeline))
            cycle += 1
            if cycle % 5 == 0:
                self._submit("roll", Priority.ROLL, writer.write_rollups(self.timeline))
            if cycle % 30 == 0:
                self._submit("clear", Priority.DELETE, writer.delete_expired())

    async def _run_syncs(self, writer: "Writer") -> None:
        """Sync in a thread, because a disk may take seconds for it and would block the event loop."""
        store_settings = self.settings.store
        assert store_settings is not None
        interval_s = (
            store_settings.flush_every_s if store_settings.fsync == "always" else store_settings.fsync_every_s
        )
        while writer.off_reason is None:
            await asyncio.sleep(interval_s)
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
        """Stop the background tasks and write the events received so far."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.writer is not None and self.writer.off_reason is None:
            self._submit("roll", Priority.WRITE, self.writer.write_rollups(self.timeline), once=False)
            self._submit("flush", Priority.WRITE, self.writer.write_events(self.timeline), once=False)
        if self.runner is not None:
            await self.runner.close()
        for name, count in self.job_queue.shed.items():
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
