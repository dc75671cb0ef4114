"""The subset assignment methods, at a small size, and the page that quotes their results."""

from pathlib import Path

import numpy as np
import pytest

from whintrail.scale import ways
from whintrail.scale.results import Sample, load_results

ROOT = Path(__file__).parents[1]
GATEWAYS, ENGINES, KEEP = 60, 240, 16


@pytest.mark.parametrize("name", ways.METHODS)
def test_each_method_assigns_an_engine_to_a_gateway_at_most_once(name: str) -> None:
    words = ways.hash_words(np.arange(ENGINES, dtype=np.uint64), 99)
    assignment = ways.METHODS[name](GATEWAYS, words, KEEP)
    assert len({(int(g), int(e)) for g, e in zip(assignment.gateway, assignment.engine, strict=True)}) == len(
        assignment.engine
    )
    engine_counts = np.bincount(assignment.gateway, minlength=GATEWAYS)
    assert abs(float(engine_counts.mean()) - KEEP) <= 2 and engine_counts.min() > 0
    ids = np.arange(ENGINES)
    assert not ways.count_gained_engines(assignment, ids, assignment, ids, GATEWAYS).any()
    assert (
        abs(float(ways.engine_loads(assignment, np.ones(GATEWAYS), ENGINES, load_aware=True).mean()) - 1)
        < 1e-9
    )


def test_partners_and_bytes_of_groups_match_a_manual_calculation() -> None:
    """15 groups of 4 gateways and 16 engines: 3 partners each, which send 3 in 4 of the probe reports."""
    words = ways.hash_words(np.arange(ENGINES, dtype=np.uint64), 99)
    partners, sent = ways.report_traffic(ways.disjoint_groups(GATEWAYS, words, KEEP), GATEWAYS, ENGINES)
    assert set(partners) == {3}
    rate = KEEP / ways.PROBE_INTERVAL_S / 4
    datagrams = 3 * (1 - np.exp(-rate * 0.5)) / 0.5
    assert sent[""] == pytest.approx((datagrams, datagrams * 31 + 3 * rate * 7))


def test_the_results_file_stays_small() -> None:
    samples = [
        sample for size in ((60, 240), (70, 240)) for sample in ways.evaluate_method("cells", *size, KEEP)
    ]
    kept = ways.select_for_file(samples)
    assert {sample.quantity for sample in kept if sample.gateways == 60} == set(ways.SMALL_SIZE_QUANTITIES)
    assert {sample.quantity for sample in kept if sample.gateways == 70} > set(ways.SMALL_SIZE_QUANTITIES)


def test_the_page_matches_the_results_file() -> None:
    by_method: dict[str, dict[str, Sample]] = {}
    for sample in load_results(ROOT / "docs/capacity/ways.json").samples:
        if sample.gateways == 4000 and sample.kind == "simulated":
            by_method.setdefault(sample.note, {})[sample.quantity] = sample
    page = (ROOT / "docs/subset.md").read_text(encoding="utf-8").splitlines()
    rows = {
        row.split(" | ")[0].strip("|* "): row.strip("| ").split(" | ") for row in page if row.startswith("| ")
    }
    assert set(by_method) == set(ways.METHODS) and set(by_method) <= set(rows)
    for name, by_quantity in by_method.items():

        def quote(spec: str, *quantities: str, by_quantity: dict[str, Sample] = by_quantity) -> str:
            return "; ".join(format(by_quantity[quantity].value, spec) for quantity in quantities)

        engines = by_quantity["part_engines"]
        low, high = f"{engines.low:.0f}", f"{engines.high:.0f}"
        assert rows[name][1:] == [
            low if low == high else f"{low} to {high}",
            f"{by_quantity['holders_least'].value:.0f} to {by_quantity['holders_most'].value:.0f}",
            quote(".3f", "load_cv_plain_sigma_0", "load_cv_aware_sigma_0"),
            quote(".3f", "load_cv_aware_sigma_0.5", "load_cv_aware_sigma_1"),
            quote(".2f", "load_most_aware_sigma_1"),
            quote(".3f", "churn_engine_comes", "churn_engine_goes"),
            quote(".1f", "churn_zone_goes", "churn_fleet_grows_tenth"),
            quote(".0f", "orphans_block", "orphans_stride"),
            quote(".0f", "memo_partners"),
            quote(",.0f", "memo_bytes_sent_per_s"),
        ]
