"""docs/CAPACITY.md matches docs/capacity/*.json: every number in its tables comes from a file, and one that
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
def tables_by_name() -> dict[str, str]:
    return tables.render_tables(
        read_results(RESULTS_FOLDER), read_predictions(RESULTS_FOLDER), read_code_locations(RESULTS_FOLDER)
    )


def test_page_matches_its_result_files(tables_by_name: dict[str, str]) -> None:
    page = CAPACITY_PAGE.read_text()
    assert changed_lines(page, fill_tables(page, tables_by_name)) == []
    assert fill_tables(page, tables_by_name) == page, "run: whintrail scale report"


def test_calculated_values_match_the_other_files() -> None:
    """Up to the last of their six digits: other machines may round the fit differently."""
    saved = load_results(RESULTS_FOLDER / CALCULATED_FILE).samples
    current = calculated_samples(read_results(RESULTS_FOLDER))
    assert [(sample.quantity, sample.unit, sample.gateways, sample.engines) for sample in saved] == [
        (sample.quantity, sample.unit, sample.gateways, sample.engines) for sample in current
    ]
    for name in ("value", "low", "high"):
        assert [getattr(sample, name) for sample in saved] == pytest.approx(
            [getattr(sample, name) for sample in current], rel=1e-5
        )


def test_a_value_changed_by_hand_is_found_in_every_table(tables_by_name: dict[str, str]) -> None:
    """Replaces one digit in each table."""
    page, tables_tried = CAPACITY_PAGE.read_text(), 0
    for match in TABLE_MARKER.finditer(page):
        digits = [digit for digit in re.finditer(r"\d", match["table"])]
        if not digits:
            continue
        position = match.start("table") + digits[len(digits) // 2].start()
        edited_page = page[:position] + str((int(page[position]) + 1) % 10) + page[position + 1 :]
        assert fill_tables(edited_page, tables_by_name) == page and changed_lines(
            edited_page, fill_tables(edited_page, tables_by_name)
        ), match["name"]
        tables_tried += 1
    assert tables_tried >= 7


def test_a_value_changed_in_a_file_changes_the_page(tables_by_name: dict[str, str]) -> None:
    results = read_results(RESULTS_FOLDER)
    for name, file_results in results.items():
        if not file_results.samples:
            continue
        first_sample = file_results.samples[0]
        changed_sample = msgspec.structs.replace(
            first_sample,
            value=first_sample.value * 3 + 1,
            low=first_sample.low,
            high=first_sample.high * 3 + 1,
        )
        changed = results | {
            name: msgspec.structs.replace(file_results, samples=[changed_sample, *file_results.samples[1:]])
        }
        if (
            tables.render_tables(
                changed, read_predictions(RESULTS_FOLDER), read_code_locations(RESULTS_FOLDER)
            )
            != tables_by_name
        ):
            return
    pytest.fail("no table shows the first sample of any file")


def test_code_locations_on_the_page_exist_in_the_source() -> None:
    """Line numbers are those of the last report and may be stale, but the names must exist."""
    assert set(find_code_locations(ROOT, all_code_paths())) == set(read_code_locations(RESULTS_FOLDER))


def test_page_with_a_missing_or_unknown_table_is_rejected(tables_by_name: dict[str, str]) -> None:
    with pytest.raises(PageError):
        fill_tables("# nothing\n", tables_by_name)
    with pytest.raises(PageError):
        fill_tables(CAPACITY_PAGE.read_text() + "<!-- table strange -->\n<!-- end -->\n", tables_by_name)


def test_result_files_stay_small() -> None:
    assert all(path.stat().st_size < 200_000 for path in RESULTS_FOLDER.glob("*.json"))
