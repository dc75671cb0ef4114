"""Deferrable work: jobs with priorities that run within a share of the event loop's time."""

from whintrail.background.queue import Job, JobQueue, Priority
from whintrail.background.runner import JobRunner

__all__ = ["Job", "JobQueue", "JobRunner", "Priority"]
