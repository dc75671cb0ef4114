"""Runs the plan on the loop: a slice of at most a millisecond, then everybody else has a turn."""

import asyncio
from collections.abc import Callable, Generator
from time import perf_counter

from whintrail.background.plan import Job, Plan, Priority

Fault = Callable[[str, Exception], None]


class Runner:
    """One task. A job that raises is over and told to `fault`; no other job and no request suffers."""

    def __init__(self, plan: Plan, fault: Fault) -> None:
        self.plan, self.fault = plan, fault
        self.wanted = asyncio.Event()
        self.task = asyncio.get_running_loop().create_task(self._run())

    def submit(self, name: str, priority: Priority, work: Generator[None, None, None]) -> bool:
        """False if there was no room for it."""
        job = Job(name, priority, work)
        victim = self.plan.add(job, perf_counter())
        self.wanted.set()
        return victim is not job

    async def _run(self) -> None:
        while True:
            if not len(self.plan):
                self.wanted.clear()
                await self.wanted.wait()
            job = self.plan.next(perf_counter())
            if job is None:
                await asyncio.sleep(self.plan.wait_s())
                continue
            self._slice(job)
            await asyncio.sleep(0)

    def _slice(self, job: Job) -> None:
        start = before = perf_counter()
        over = False
        try:
            while before - start < self.plan.slice_s:
                next(job.work)
                now = perf_counter()
                self.plan.longest_step_s = max(self.plan.longest_step_s, now - before)
                before = now
        except StopIteration:
            over = True
        except Exception as error:  # a full disk, say: never the gateway's end
            over = True
            self.fault(job.name, error)
        self.plan.ran(job, perf_counter() - start, over)

    async def close(self) -> None:
        """What must not be lost is finished; the rest is closed."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        for job in self.plan.drain():
            if job.priority is Priority.WRITE:
                try:
                    for _ in job.work:
                        pass
                except Exception as error:
                    self.fault(job.name, error)
            else:
                job.work.close()
