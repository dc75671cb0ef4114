"""Gateway processes with a subset of the engines each, audited from the engines' side under faults."""

from typing import Any

import pytest

from whintrail.standins.subset_audit import SUBSET_PLAN, run_scenario


def test_subsets_hold_under_kills_partitions_and_list_changes() -> None:
    audit = run_scenario(5, 3.0)
    assert audit.passed, audit
    assert audit.queries_received > 50


@pytest.mark.parametrize("operator", [{}, {"subset": {**SUBSET_PLAN, "least_holders": 5}}])
def test_gateways_with_unexpected_subsets_are_detected(operator: dict[str, Any]) -> None:
    assert run_scenario(5, 1.0, operator).outside_subset
