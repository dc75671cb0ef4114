"""Runs queued jobs on the event loop in slices of at most a millisecond, yielding to the loop in between.

A slice ends after the step in which its time runs out, so a long step makes it longer.
"""

import asyncio
from collections.abc import Callable, Generator
from time import perf_counter

from whintrail.background.queue import Job, JobQueue, Priority

ErrorHandler = Callable[[str, Exception], None]


class JobRunner:
    """A single task. A job that raises is removed and reported to `on_error`; all other work goes on."""

    def __init__(self, queue: JobQueue, on_error: ErrorHandler) -> None:
        self.queue, self.on_error = queue, on_error
        self.has_work = asyncio.Event()
        self.task = asyncio.get_running_loop().create_task(self._run())

    def submit(self, name: str, priority: Priority, work: Generator[None, None, None]) -> bool:
        """False if the job was shed for lack of room."""
        job = Job(name, priority, work)
        victim = self.queue.add(job, perf_counter())
        self.has_work.set()
        return victim is not job

    async def _run(self) -> None:
        while True:
            if not len(self.queue):
                self.has_work.clear()
                await self.has_work.wait()
            job = self.queue.next_job(perf_counter())
            if job is None:
                await asyncio.sleep(self.queue.time_to_allowance_s())
                continue
            self._run_slice(job)
            await asyncio.sleep(0)

    def _run_slice(self, job: Job) -> None:
        started = previous = perf_counter()
        finished = False
        try:
            while previous - started < self.queue.slice_s:
                next(job.work)
                now = perf_counter()
                self.queue.longest_step_s = max(self.queue.longest_step_s, now - previous)
                previous = now
        except StopIteration:
            finished = True
        except Exception as error:  # for instance a full disk, which must not stop the gateway
            finished = True
            self.on_error(job.name, error)
        self.queue.record_slice(job, perf_counter() - started, finished)

    async def close(self) -> None:
        """Stop. Jobs of priority WRITE are finished, as their data would be lost; all others are closed."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        for job in self.queue.remove_all():
            if job.priority is Priority.WRITE:
                try:
                    for _ in job.work:
                        pass
                except Exception as error:
                    self.on_error(job.name, error)
            else:
                job.work.close()
