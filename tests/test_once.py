"""Work that may run only once, audited from the engines' side over processes: a fixed few of the seeds that
`python -m benchmarks.once` plays."""

import pytest

from whintrail.standins.once import play


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nothing_that_may_run_once_is_sent_twice(seed: int) -> None:
    audit = play(seed, 4.0)
    assert len(audit.began) > 20 and len(audit.calls) > 20 and audit.ends["served"] > 20
    assert not audit.twice and not audit.late_repeats


def test_a_gateway_that_takes_a_reset_for_proof_is_found() -> None:
    audit = play(1, 4.0, broken=True)
    assert audit.twice
