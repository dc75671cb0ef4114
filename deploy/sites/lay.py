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

HERE = Path(__file__).resolve().parent
BESIDE = ("real.json", "wire.json", "unlock.txt")


class LayError(Exception):
    """The variant can't be laid."""


def change(site: dict[str, Any], key: str, value: Any) -> None:
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
        raise LayError(f"the site has no key {key}")


def lines(table: dict[str, Any], name: str = "") -> list[str]:
    """The table as TOML: plain values first, then its tables, then its arrays of tables."""
    tables = {key: value for key, value in table.items() if isinstance(value, dict)}
    arrays = {key: v for key, v in table.items() if isinstance(v, list) and v and isinstance(v[0], dict)}
    found = [f"{k} = {json.dumps(v)}" for k, v in table.items() if k not in tables and k not in arrays]
    for key, value in tables.items():
        found += ["", f"[{name}{key}]", *lines(value, f"{name}{key}.")]
    for key, items in arrays.items():
        for item in items:
            found += ["", f"[[{name}{key}]]", *lines(item, f"{name}{key}.")]
    return found


def lay(recipe: Path, given: Path, into: Path) -> Path:
    asked = tomllib.loads(recipe.read_text())
    base = given / asked["site"]
    if not base.is_file():
        raise LayError(f"no site {base}")
    site = tomllib.loads(base.read_text())
    for key, value in asked["changes"].items():
        change(site, key, value)
    for key, value in asked.get("renames", {}).items():  # last: changes go by the names that the site has
        change(site, f"{key}.name", value)
    name = recipe.name.removesuffix(".recipe.toml")
    site["name"] = name
    folder = into / name
    folder.mkdir(parents=True, exist_ok=True)
    for other in BESIDE:
        if not (base.parent / other).is_file():
            raise LayError(f"no {other} beside {base}")
        shutil.copyfile(base.parent / other, folder / other)
    laid = folder / f"{name}.toml"
    laid.write_text("\n".join(lines(site)) + "\n")
    return laid


def main(arguments: list[str]) -> int:
    given = Path(arguments[0]) if arguments else HERE.parent.parent.parent / "given"
    try:
        if not given.is_dir():
            raise LayError(f"no kit at {given}")
        for recipe in sorted(HERE.glob("*.recipe.toml")):
            print(lay(recipe, given, HERE))
    except (LayError, OSError, KeyError, tomllib.TOMLDecodeError) as error:
        print(f"lay: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
