"""The operator's file: Jsonnet, checked into typed records. Absent, all that it could turn on is off."""

from whintrail.config.reading import VARIABLE, OperatorFileError, read_operator_file
from whintrail.config.records import Background, Fleet, Logging, OperatorFile, Store, Timeline, Watch

__all__ = [
    "VARIABLE",
    "Background",
    "Fleet",
    "Logging",
    "OperatorFile",
    "OperatorFileError",
    "Store",
    "Timeline",
    "Watch",
    "read_operator_file",
]
