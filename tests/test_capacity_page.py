"""docs/CAPACITY.md against docs/capacity/*.json: every figure of its tables comes from a file, and one that
differs is found."""

import re

import msgspec
import pytest

from whintrail.scale import tables
from whintrail.scale.page import (
    CALCULATED_FILE,
    CAPACITY_PAGE,
    RESULTS_FOLDER,
    ROOT,
    TABLE_MARKER,
    PageError,
    all_code_paths,
    calculated_samples,
    changed_lines,
    fill_tables,
    find_code_locations,
    read_code_locations,
    read_predictions,
    read_results,
)
from whintrail.scale.results import load_results


@pytest.fixture(scope="module")
def made() -> dict[str, str]:
    return tables.render_tables(
        read_results(RESULTS_FOLDER), read_predictions(RESULTS_FOLDER), read_code_locations(RESULTS_FOLDER)
    )


def test_page_matches_its_result_files(made: dict[str, str]) -> None:
    page = CAPACITY_PAGE.read_text()
    assert changed_lines(page, fill_tables(page, made)) == []
    assert fill_tables(page, made) == page, "run: whintrail scale report"


def test_calculated_values_match_the_other_files() -> None:
    """To the last of their six digits, as another machine may round the fit otherwise."""
    held, now = (
        load_results(RESULTS_FOLDER / CALCULATED_FILE).samples,
        calculated_samples(read_results(RESULTS_FOLDER)),
    )
    assert [(s.quantity, s.unit, s.gateways, s.engines) for s in held] == [
        (s.quantity, s.unit, s.gateways, s.engines) for s in now
    ]
    for name in ("value", "low", "high"):
        assert [getattr(s, name) for s in held] == pytest.approx([getattr(s, name) for s in now], rel=1e-5)


def test_a_value_changed_by_hand_is_found_in_every_table(made: dict[str, str]) -> None:
    """A digit of each table, turned into another one."""
    page, tried = CAPACITY_PAGE.read_text(), 0
    for match in TABLE_MARKER.finditer(page):
        body = [m for m in re.finditer(r"\d", match["table"])]
        if not body:
            continue
        at = match.start("table") + body[len(body) // 2].start()
        other = page[:at] + str((int(page[at]) + 1) % 10) + page[at + 1 :]
        assert fill_tables(other, made) == page and changed_lines(other, fill_tables(other, made)), match[
            "name"
        ]
        tried += 1
    assert tried >= 7


def test_a_value_changed_in_a_file_changes_the_page(made: dict[str, str]) -> None:
    results = read_results(RESULTS_FOLDER)
    for name, r in results.items():
        if not r.samples:
            continue
        first = r.samples[0]
        other = msgspec.structs.replace(
            first, value=first.value * 3 + 1, low=first.low, high=first.high * 3 + 1
        )
        changed = results | {name: msgspec.structs.replace(r, samples=[other, *r.samples[1:]])}
        if (
            tables.render_tables(
                changed, read_predictions(RESULTS_FOLDER), read_code_locations(RESULTS_FOLDER)
            )
            != made
        ):
            return
    pytest.fail("no table shows the first sample of any file")


def test_code_locations_on_the_page_exist_in_the_source() -> None:
    """Lines move with each change and are those of the last report; names have to be there."""
    assert set(find_code_locations(ROOT, all_code_paths())) == set(read_code_locations(RESULTS_FOLDER))


def test_page_with_a_missing_or_unknown_table_is_rejected(made: dict[str, str]) -> None:
    with pytest.raises(PageError):
        fill_tables("# nothing\n", made)
    with pytest.raises(PageError):
        fill_tables(CAPACITY_PAGE.read_text() + "<!-- table strange -->\n<!-- end -->\n", made)


def test_result_files_stay_small() -> None:
    assert all(path.stat().st_size < 200_000 for path in RESULTS_FOLDER.glob("*.json"))
