"""Processes that keep a part of the engines each, under faults, audited from the engines' side."""

from typing import Any

import pytest

from whintrail.standins.parts import ASKED, play


def test_parts_hold_through_kills_cuts_silence_and_changes_of_the_list() -> None:
    audit = play(5, 3.0)
    assert audit.sound, audit
    assert audit.got > 50


@pytest.mark.parametrize("operator", [{}, {"subset": {**ASKED, "least_holders": 5}}])
def test_gateways_that_keep_others_than_the_arithmetic_says_are_found(operator: dict[str, Any]) -> None:
    assert play(5, 1.0, operator).strange
