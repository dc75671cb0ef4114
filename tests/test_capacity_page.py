"""docs/CAPACITY.md against docs/capacity/*.json: every figure of its tables comes from a file, and one that
differs is found."""

import re

import msgspec
import pytest

from whintrail.scale import tables
from whintrail.scale.page import (
    FOLDER,
    MARK,
    PAGE,
    RECKONED,
    ROOT,
    PageError,
    all_places,
    changed_lines,
    find_places,
    read_foretold,
    read_places,
    read_results,
    reckoned,
    written,
)
from whintrail.scale.results import load


@pytest.fixture(scope="module")
def made() -> dict[str, str]:
    return tables.render(read_results(FOLDER), read_foretold(FOLDER), read_places(FOLDER))


def test_the_page_is_what_its_files_give(made: dict[str, str]) -> None:
    page = PAGE.read_text()
    assert changed_lines(page, written(page, made)) == []
    assert written(page, made) == page, "run: whintrail scale report"


def test_reckoned_figures_are_what_the_other_files_give() -> None:
    """To the last of their six digits, as another machine may round the fit otherwise."""
    held, now = load(FOLDER / RECKONED).samples, reckoned(read_results(FOLDER))
    assert [(s.quantity, s.unit, s.gateways, s.engines) for s in held] == [
        (s.quantity, s.unit, s.gateways, s.engines) for s in now
    ]
    for name in ("value", "low", "high"):
        assert [getattr(s, name) for s in held] == pytest.approx([getattr(s, name) for s in now], rel=1e-5)


def test_a_figure_changed_by_hand_is_found_wherever_it_stands(made: dict[str, str]) -> None:
    """A digit of each table, turned into another one."""
    page, tried = PAGE.read_text(), 0
    for match in MARK.finditer(page):
        body = [m for m in re.finditer(r"\d", match["table"])]
        if not body:
            continue
        at = match.start("table") + body[len(body) // 2].start()
        other = page[:at] + str((int(page[at]) + 1) % 10) + page[at + 1 :]
        assert written(other, made) == page and changed_lines(other, written(other, made)), match["name"]
        tried += 1
    assert tried >= 7


def test_a_figure_changed_in_a_file_is_found_on_the_page(made: dict[str, str]) -> None:
    results = read_results(FOLDER)
    for name, r in results.items():
        if not r.samples:
            continue
        first = r.samples[0]
        other = msgspec.structs.replace(
            first, value=first.value * 3 + 1, low=first.low, high=first.high * 3 + 1
        )
        changed = results | {name: msgspec.structs.replace(r, samples=[other, *r.samples[1:]])}
        if tables.render(changed, read_foretold(FOLDER), read_places(FOLDER)) != made:
            return
    pytest.fail("no table shows the first sample of any file")


def test_places_on_the_page_are_names_that_the_source_has() -> None:
    """Lines move with each change and are those of the last report; names have to be there."""
    assert set(find_places(ROOT, all_places())) == set(read_places(FOLDER))


def test_a_page_without_a_table_or_with_a_strange_one_is_refused(made: dict[str, str]) -> None:
    with pytest.raises(PageError):
        written("# nothing\n", made)
    with pytest.raises(PageError):
        written(PAGE.read_text() + "<!-- table strange -->\n<!-- end -->\n", made)


def test_the_page_fits_its_files() -> None:
    assert all(path.stat().st_size < 200_000 for path in FOLDER.glob("*.json"))
