"""The script that writes variants of a deployment, with a small kit."""

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

SCRIPT = Path(__file__).resolve().parent.parent / "deploy" / "sites" / "lay.py"
SITE = """
name = "plain"
[allow]
cancel = true
[[class]]
name = "short"
work = [1, 2]
[[class]]
name = "long"
work = [3, 4]
[[tier]]
name = "t"
[tier.conn]
streams = 3
[[tier.kind]]
name = "k"
"""
RECIPE = """
site = "sites/plain.toml"
[changes]
"allow.cancel" = false
"class.long.work" = [5, 6]
"tier.t.conn.streams" = 9
[renames]
"class.long" = "slow"
"""


def run_script(
    folder: Path, recipe: str = RECIPE, site: str | None = SITE
) -> subprocess.CompletedProcess[str]:
    (folder / "here").mkdir()
    (folder / "here" / "other.recipe.toml").write_text(recipe)
    (folder / "here" / "lay.py").write_text(SCRIPT.read_text())
    if site is not None:
        (folder / "given" / "sites").mkdir(parents=True)
        for name in ("real.json", "wire.json", "unlock.txt"):
            (folder / "given" / "sites" / name).write_text(name)
        (folder / "given" / "sites" / "plain.toml").write_text(site)
    command = [sys.executable, str(folder / "here" / "lay.py"), str(folder / "given")]
    return subprocess.run(command, capture_output=True, text=True, timeout=30)


def test_a_recipe_changes_what_it_names_and_nothing_else(tmp_path: Path) -> None:
    assert run_script(tmp_path).returncode == 0
    folder = tmp_path / "here" / "other"
    expected = tomllib.loads(SITE)
    expected["name"], expected["allow"]["cancel"] = "other", False
    expected["class"][1] = {"name": "slow", "work": [5, 6]}
    expected["tier"][0]["conn"]["streams"] = 9
    assert tomllib.loads((folder / "other.toml").read_text()) == expected
    assert {path.name for path in folder.iterdir()} == {"other.toml", "real.json", "wire.json", "unlock.txt"}


@pytest.mark.parametrize(
    ("recipe", "site"),
    [
        (RECIPE, None),
        (RECIPE.replace("class.long.work", "class.none.work"), SITE),
        (RECIPE.replace("allow.cancel", "allow.copies"), SITE),
        (RECIPE.replace("plain.toml", "gone.toml"), SITE),
        ("[changes]\n", SITE),
    ],
)
def test_a_variant_that_cant_be_written_ends_in_one_line_and_status_1(
    tmp_path: Path, recipe: str, site: str | None
) -> None:
    completed = run_script(tmp_path, recipe, site)
    assert completed.returncode == 1 and len(completed.stderr.splitlines()) == 1 and not completed.stdout
