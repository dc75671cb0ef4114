"""Runs the plan on the loop: a slice of at most a millisecond, then everybody else has a turn."""

import asyncio
from collections.abc import Callable, Generator
from time import perf_counter

from whintrail.background.queue import Job, JobQueue, Priority

ErrorHandler = Callable[[str, Exception], None]


class JobRunner:
    """One task. A job that raises is over and told to `fault`; no other job and no request suffers."""

    def __init__(self, queue: JobQueue, on_error: ErrorHandler) -> None:
        self.queue, self.on_error = queue, on_error
        self.has_work = asyncio.Event()
        self.task = asyncio.get_running_loop().create_task(self._run())

    def submit(self, name: str, priority: Priority, work: Generator[None, None, None]) -> bool:
        """False if there was no room for it."""
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
        start = before = perf_counter()
        over = False
        try:
            while before - start < self.queue.slice_s:
                next(job.work)
                now = perf_counter()
                self.queue.longest_step_s = max(self.queue.longest_step_s, now - before)
                before = now
        except StopIteration:
            over = True
        except Exception as error:  # a full disk, say: never the gateway's end
            over = True
            self.on_error(job.name, error)
        self.queue.record_slice(job, perf_counter() - start, over)

    async def close(self) -> None:
        """What must not be lost is finished; the rest is closed."""
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
