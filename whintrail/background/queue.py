"""Which background job runs next, and for how long: pure, so that it is tested without a clock.

A job is a generator that yields wherever it may be put aside. Time is paid from an allowance that grows by
the stated share of the time that passes, as in a token bucket, and is never saved up beyond a burst. Within
it the more urgent priority goes first, in turn among equals; a job that waits long rises (ageing), so that
none starves. More jobs than may wait are shed, the least urgent and newest first, and counted.

Times are seconds on the caller's clock.
"""

from collections import Counter, deque
from collections.abc import Generator
from dataclasses import dataclass, field
from enum import IntEnum

AGING_STEP_S = 10.0  # a job rises by one priority for each so long that it waits
MAX_ALLOWANCE_S = 0.02  # of allowance kept while there is nothing to do


class Priority(IntEnum):
    WRITE = 0  # what is lost if it is not done soon
    ROLL = 1
    INDEX = 2
    DELETE = 3


@dataclass(slots=True, eq=False)
class Job:
    name: str
    priority: Priority
    work: Generator[None, None, None]
    queued_at_s: float = 0.0
    run_time_s: float = 0.0
    slices: int = 0


@dataclass(slots=True)
class JobQueue:
    share: float  # of the time that passes
    slice_s: float  # the longest run of a job before others have their turn
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
        """Put the job in line. The job that was shed for it, maybe itself; its work is closed."""
        job.queued_at_s = now_s
        self.queues[job.priority].append(job)
        if len(self) <= self.max_waiting:
            return None
        line = next(line for line in reversed(self.queues) if line)
        victim = line.pop()
        victim.work.close()
        self.shed[victim.name] += 1
        return victim

    def next_job(self, now_s: float) -> Job | None:
        """The job to run for a slice now; None where there is none, or no allowance for it."""
        passed = max(0.0, now_s - self.updated_at_s)
        self.updated_at_s = max(now_s, self.updated_at_s)
        self.allowance_s = min(MAX_ALLOWANCE_S, self.allowance_s + passed * self.share)
        if self.allowance_s <= 0.0:
            return None
        best: Job | None = None
        rank = 0.0
        for line in self.queues:
            if line and (best is None or self._effective_priority(line[0], now_s) < rank):
                best, rank = line[0], self._effective_priority(line[0], now_s)
        return best

    @staticmethod
    def _effective_priority(job: Job, now_s: float) -> float:
        return job.priority - (now_s - job.queued_at_s) / AGING_STEP_S

    def record_slice(self, job: Job, took_s: float, finished: bool) -> None:
        """The job had a slice. Over: it leaves; else it goes behind the others of its priority."""
        self.allowance_s -= took_s
        job.run_time_s += took_s
        job.slices += 1
        line = self.queues[job.priority]
        line.remove(job)
        if finished:
            self.done[job.name] += 1
        else:
            line.append(job)

    def time_to_allowance_s(self) -> float:
        """How long until there is allowance again."""
        return max(0.0, -self.allowance_s / self.share) + self.slice_s

    def remove_all(self) -> list[Job]:
        """All jobs, the most urgent first; none is left."""
        found = [job for line in self.queues for job in line]
        for line in self.queues:
            line.clear()
        return found
