"""The operator's file: Jsonnet, validated into typed records. Without it, every optional feature is off."""

from whintrail.config.reader import FILE_VARIABLE, OperatorFileError, read_operator_file
from whintrail.config.records import (
    Background,
    DetectionThresholds,
    Fleet,
    Logging,
    OperatorFile,
    Store,
    Timeline,
)

__all__ = [
    "FILE_VARIABLE",
    "Background",
    "DetectionThresholds",
    "Fleet",
    "Logging",
    "OperatorFile",
    "OperatorFileError",
    "Store",
    "Timeline",
    "read_operator_file",
]
