"""Decides which background job runs next and for how long. Pure: the caller passes the time.

A job is a generator that yields wherever it may be interrupted. Run time is paid from an allowance that grows
by the configured share of elapsed time, as in a token bucket, and is capped at a short burst. Within the
allowance the most urgent priority runs first, round robin among equals; a job's priority rises with its
waiting time (ageing), so that none starves. When more jobs wait than allowed, the newest job of the least
urgent priority is shed and counted.

Times are seconds on the caller's clock.
"""

from collections import Counter, deque
from collections.abc import Generator
from dataclasses import dataclass, field
from enum import IntEnum

AGING_STEP_S = 10.0  # waiting time that raises a job by one priority
MAX_ALLOWANCE_S = 0.02  # run time saved up while no job runs


class Priority(IntEnum):
    """Priority of a job, the most urgent first."""

    WRITE = 0  # data that is lost if it is not written soon
    ROLL = 1
    INDEX = 2
    DELETE = 3


@dataclass(slots=True, eq=False)
class Job:
    """A background job with its accounting. The work yields wherever it may be interrupted."""

    name: str
    priority: Priority
    work: Generator[None, None, None]
    queued_at_s: float = 0.0
    run_time_s: float = 0.0
    slices: int = 0


@dataclass(slots=True)
class JobQueue:
    """Waiting jobs by priority, and the allowance of run time that they share."""

    share: float  # of elapsed time
    slice_s: float  # longest run of a job before another one may run
    max_waiting: int
    allowance_s: float = MAX_ALLOWANCE_S
    updated_at_s: float = 0.0
    queues: list[deque[Job]] = field(default_factory=lambda: [deque() for _ in Priority])
    shed: Counter[str] = field(default_factory=Counter)
    done: Counter[str] = field(default_factory=Counter)
    longest_step_s: float = 0.0

    def __len__(self) -> int:
        return sum(map(len, self.queues))

    def add(self, job: Job, now_s: float) -> Job | None:
        """Queue the job. Returns the job that was shed for it, possibly itself; its work is closed."""
        job.queued_at_s = now_s
        self.queues[job.priority].append(job)
        if len(self) <= self.max_waiting:
            return None
        queue = next(queue for queue in reversed(self.queues) if queue)
        victim = queue.pop()
        victim.work.close()
        self.shed[victim.name] += 1
        return victim

    def next_job(self, now_s: float) -> Job | None:
        """The job to run for a slice now; None if there is no job or no allowance left."""
        elapsed_s = max(0.0, now_s - self.updated_at_s)
        self.updated_at_s = max(now_s, self.updated_at_s)
        self.allowance_s = min(MAX_ALLOWANCE_S, self.allowance_s + elapsed_s * self.share)
        if self.allowance_s <= 0.0:
            return None
        best: Job | None = None
        best_priority = 0.0
        for queue in self.queues:
            if queue and (best is None or self._effective_priority(queue[0], now_s) < best_priority):
                best, best_priority = queue[0], self._effective_priority(queue[0], now_s)
        return best

    @staticmethod
    def _effective_priority(job: Job, now_s: float) -> float:
        return job.priority - (now_s - job.queued_at_s) / AGING_STEP_S

    def record_slice(self, job: Job, took_s: float, finished: bool) -> None:
        """Charge a slice to the allowance. A finished job is removed, another one moves to the end of its
        queue."""
        self.allowance_s -= took_s
        job.run_time_s += took_s
        job.slices += 1
        queue = self.queues[job.priority]
        queue.remove(job)
        if finished:
            self.done[job.name] += 1
        else:
            queue.append(job)

    def time_to_allowance_s(self) -> float:
        """Time until there is allowance again."""
        return max(0.0, -self.allowance_s / self.share) + self.slice_s

    def remove_all(self) -> list[Job]:
        """Empty the queue; returns all jobs, the most urgent first."""
        jobs = [job for queue in self.queues for job in queue]
        for queue in self.queues:
            queue.clear()
        return jobs
