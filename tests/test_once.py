"""Work that may run only once, audited from the engines' side with gateway processes.

These are a few fixed seeds of those that `python -m benchmarks.once` runs."""

import pytest

from whintrail.standins.once_audit import run_scenario


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_once_only_work_is_sent_twice(seed: int) -> None:
    audit = run_scenario(seed, 4.0)
    assert len(audit.once_starts) > 20 and len(audit.keyed_starts) > 20 and audit.outcomes["served"] > 20
    assert not audit.duplicates and not audit.late_repeats


def test_a_gateway_that_retries_after_a_reset_is_detected() -> None:
    audit = run_scenario(1, 4.0, faulty=True)
    assert audit.duplicates
