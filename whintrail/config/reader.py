"""Reads and validates the operator's file. Each error names the file, the path within it and the reason."""

import os
from collections.abc import Mapping
from typing import Any

import msgspec
import rjsonnet

from whintrail.config.records import Fleet, OperatorFile

FILE_VARIABLE = "WHINTRAIL_FILE"
MAX_FILE_BYTES = 1 << 20
CONSENSUS_SIZES = (1, 3, 5, 7)


class OperatorFileError(ValueError):
    """The file can't be used. The text is one line."""


def _one_line(text: object) -> str:
    return "; ".join(part.strip() for part in str(text).splitlines() if part.strip())


def read_operator_file(path: str, variables: Mapping[str, str] | None = None) -> OperatorFile:
    """The records of the file at `path`. Errors: OperatorFileError.

    `variables` are the external variables of the template (`std.extVar`), as in Jsonnet's language reference.
    """
    try:
        if os.stat(path).st_size > MAX_FILE_BYTES:
            raise OperatorFileError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorFileError(f"{path}: {_one_line(error)}") from error
    try:
        data = rjsonnet.evaluate_snippet(path, text, ext_vars=dict(variables or {}))
    except Exception as error:  # the binding raises its own exceptions as well as RuntimeError
        raise OperatorFileError(f"{path}: {_one_line(error)}") from error
    try:
        operator_file: OperatorFile = msgspec.json.decode(data, type=OperatorFile)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at ")
        raise OperatorFileError(f"{path}: {place.strip('`') or '$'}: {_one_line(reason)}") from error
    _check_consistency(path, operator_file)
    return operator_file


def _check_consistency(path: str, operator_file: OperatorFile) -> None:
    """Checks values that are valid one by one but contradict one another."""
    if operator_file.rules is not None:
        _check_rules(path, operator_file.rules)
    if operator_file.fleet is not None:
        _check_fleet(path, operator_file.fleet)
    timeline = operator_file.timeline
    if timeline is None or timeline.store is None:
        return
    store = timeline.store
    if store.keep_mb < 2 * store.segment_mb:
        raise OperatorFileError(
            f"{path}: $.timeline.store.keep_mb: {store.keep_mb:g} holds fewer than two segments"
            f" of {store.segment_mb:g} MB: the segment being written could not be kept"
        )


def _check_fleet(path: str, fleet: Fleet) -> None:
    if len(set(fleet.council)) != len(fleet.council) or len(fleet.council) not in CONSENSUS_SIZES:
        raise OperatorFileError(f"{path}: $.fleet.council: 1, 3, 5 or 7 different gateways")
    if fleet.quarantine_s < 2 * fleet.use_within_s:
        raise OperatorFileError(
            f"{path}: $.fleet.quarantine_s: {fleet.quarantine_s:g} is less than twice use_within_s: a council"
            " that lost its state could grant a slot while one that it granted before is still in use"
        )


def _check_rules(path: str, rules: dict[str, Any]) -> None:
    from whintrail.versions.rules import RulesError, parse_rules  # imported only if the file holds rules

    try:
        parse_rules(rules)
    except RulesError as error:
        place, _, reason = str(error).partition(": ")
        raise OperatorFileError(f"{path}: {place.replace('$', '$.rules', 1)}: {reason}") from error
