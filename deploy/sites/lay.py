"""Lays the variants of a deployment that the recipes beside this file name, from the operators' kit.

    python deploy/sites/lay.py [GIVEN]

A recipe names a site file of the kit and what it changes in it, key by key; a class, a kind or a trouble is
found by its name. Nothing of the kit enters the repository: what is laid is ignored by git. A missing kit, or
a key that the site doesn't have, ends it with one line and status 1.
"""

import json
import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

RECIPE_DIRECTORY = Path(__file__).resolve().parent
COPIED_FILES = ("real.json", "wire.json", "unlock.txt")


class VariantError(Exception):
    """The variant can't be laid."""


def set_value(site: dict[str, Any], key: str, value: Any) -> None:
    """Set what `key` names, with dots between; it must be there."""
    *path, last = key.split(".")
    at: Any = site
    for part in path:
        if isinstance(at, list):
            at = next((item for item in at if item.get("name") == part), None)
        else:
            at = at.get(part) if isinstance(at, dict) else None
    if isinstance(at, list) and last.isdigit() and int(last) < len(at):
        at[int(last)] = value
    elif isinstance(at, dict) and last in at:
        at[last] = value
    else:
        raise VariantError(f"the site has no key {key}")


def toml_lines(table: dict[str, Any], name: str = "") -> list[str]:
    """The table as TOML: plain values first, then its tables, then its arrays of tables."""
    tables = {key: value for key, value in table.items() if isinstance(value, dict)}
    arrays = {key: v for key, v in table.items() if isinstance(v, list) and v and isinstance(v[0], dict)}
    found = [f"{k} = {json.dumps(v)}" for k, v in table.items() if k not in tables and k not in arrays]
    for key, value in tables.items():
        found += ["", f"[{name}{key}]", *toml_lines(value, f"{name}{key}.")]
    for key, items in arrays.items():
        for item in items:
            found += ["", f"[[{name}{key}]]", *toml_lines(item, f"{name}{key}.")]
    return found


def write_variant(recipe: Path, kit: Path, target: Path) -> Path:
    asked = tomllib.loads(recipe.read_text())
    base = kit / asked["site"]
    if not base.is_file():
        raise VariantError(f"no site {base}")
    site = tomllib.loads(base.read_text())
    for key, value in asked["changes"].items():
        set_value(site, key, value)
    for key, value in asked.get("renames", {}).items():  # last: changes go by the names that the site has
        set_value(site, f"{key}.name", value)
    name = recipe.name.removesuffix(".recipe.toml")
    site["name"] = name
    folder = target / name
    folder.mkdir(parents=True, exist_ok=True)
    for other in COPIED_FILES:
        if not (base.parent / other).is_file():
            raise VariantError(f"no {other} beside {base}")
        shutil.copyfile(base.parent / other, folder / other)
    laid = folder / f"{name}.toml"
    laid.write_text("\n".join(toml_lines(site)) + "\n")
    return laid


def main(arguments: list[str]) -> int:
    given = Path(arguments[0]) if arguments else RECIPE_DIRECTORY.parent.parent.parent / "given"
    try:
        if not given.is_dir():
            raise VariantError(f"no kit at {given}")
        for recipe in sorted(RECIPE_DIRECTORY.glob("*.recipe.toml")):
            print(write_variant(recipe, given, RECIPE_DIRECTORY))
    except (VariantError, OSError, KeyError, tomllib.TOMLDecodeError) as error:
        print(f"lay: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
