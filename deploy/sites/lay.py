"""Writes variants of a deployment from the operators' kit, as the recipes in this folder describe them.

    python deploy/sites/lay.py [GIVEN]

A recipe names a site file of the kit and the keys that it changes; tables of an array (a class, a kind, a
fault) are found by their name. Nothing from the kit enters the repository: git ignores the written folders.
If the kit or a key of the site is missing, the script prints one line and exits with status 1.
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
    """The variant cannot be written."""


def set_value(site: dict[str, Any], key: str, value: Any) -> None:
    """Set the value at a dotted key, which must exist."""
    *path, last = key.split(".")
    table: Any = site
    for part in path:
        if isinstance(table, list):
            table = next((item for item in table if item.get("name") == part), None)
        else:
            table = table.get(part) if isinstance(table, dict) else None
    if isinstance(table, list) and last.isdigit() and int(last) < len(table):
        table[int(last)] = value
    elif isinstance(table, dict) and last in table:
        table[last] = value
    else:
        raise VariantError(f"the site has no key {key}")


def toml_lines(table: dict[str, Any], name: str = "") -> list[str]:
    """Write the table as TOML: plain values first, then its tables, then its arrays of tables."""
    tables = {key: value for key, value in table.items() if isinstance(value, dict)}
    arrays = {key: v for key, v in table.items() if isinstance(v, list) and v and isinstance(v[0], dict)}
    lines = [f"{k} = {json.dumps(v)}" for k, v in table.items() if k not in tables and k not in arrays]
    for key, value in tables.items():
        lines += ["", f"[{name}{key}]", *toml_lines(value, f"{name}{key}.")]
    for key, items in arrays.items():
        for item in items:
            lines += ["", f"[[{name}{key}]]", *toml_lines(item, f"{name}{key}.")]
    return lines


def write_variant(recipe: Path, kit: Path, target: Path) -> Path:
    """Write the variant of one recipe into a folder of its own and return its site file."""
    changes = tomllib.loads(recipe.read_text())
    base = kit / changes["site"]
    if not base.is_file():
        raise VariantError(f"no site {base}")
    site = tomllib.loads(base.read_text())
    for key, value in changes["changes"].items():
        set_value(site, key, value)
    for key, value in changes.get("renames", {}).items():  # last, as changes use the names of the site
        set_value(site, f"{key}.name", value)
    name = recipe.name.removesuffix(".recipe.toml")
    site["name"] = name
    folder = target / name
    folder.mkdir(parents=True, exist_ok=True)
    for other in COPIED_FILES:
        if not (base.parent / other).is_file():
            raise VariantError(f"no {other} beside {base}")
        shutil.copyfile(base.parent / other, folder / other)
    variant = folder / f"{name}.toml"
    variant.write_text("\n".join(toml_lines(site)) + "\n")
    return variant


def main(arguments: list[str]) -> int:
    kit = Path(arguments[0]) if arguments else RECIPE_DIRECTORY.parent.parent.parent / "given"
    try:
        if not kit.is_dir():
            raise VariantError(f"no kit at {kit}")
        for recipe in sorted(RECIPE_DIRECTORY.glob("*.recipe.toml")):
            print(write_variant(recipe, kit, RECIPE_DIRECTORY))
    except (VariantError, OSError, KeyError, tomllib.TOMLDecodeError) as error:
        print(f"lay: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
