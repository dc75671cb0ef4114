"""Work that may wait: jobs with priorities, within a share of the loop's time."""

from whintrail.background.queue import Job, JobQueue, Priority
from whintrail.background.runner import JobRunner

__all__ = ["Job", "JobQueue", "JobRunner", "Priority"]
