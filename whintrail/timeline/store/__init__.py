"""The timeline on disk: append-only segments of framed MessagePack, each with an index by engine and time."""

from whintrail.timeline.errors import StoreUnavailable
from whintrail.timeline.store.reader import Reader, SegmentReport
from whintrail.timeline.store.writer import Writer

__all__ = ["Reader", "SegmentReport", "StoreUnavailable", "Writer"]
