"""Work that may wait: jobs with priorities, within a share of the loop's time."""

from whintrail.background.plan import Job, Plan, Priority
from whintrail.background.runner import Runner

__all__ = ["Job", "Plan", "Priority", "Runner"]
