"""Names that leave the process keep their spelling: protocol messages, settings, flags, metrics, stored data.

A renamed field, enum member or string would break clients, peers of another version and stored data. The test
compares `outer_names.txt` with what the code encodes, by introspection where possible and else by text.
"""

import importlib
import pkgutil
import re
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from types import ModuleType

import msgspec

import whintrail

HERE = Path(__file__).parent
SOURCE = HERE.parent


def sections() -> list[list[str]]:
    """The names of the list, a list for each of its commented sections."""
    found: list[list[str]] = []
    for line in (HERE / "outer_names.txt").read_text(encoding="utf-8").splitlines()[1:]:
        if line.startswith("# "):
            found.append([])
        else:
            found[-1].append(line)
    return found


def modules() -> Iterator[ModuleType]:
    for module in pkgutil.walk_packages(whintrail.__path__, "whintrail."):
        if not module.name.endswith("__main__"):
            yield importlib.import_module(module.name)


def defined_classes() -> list[type]:
    return [
        value
        for module in modules()
        for value in vars(module).values()
        if isinstance(value, type) and value.__module__ == module.__name__
    ]


def encoded_fields() -> set[str]:
    """Field names and tags of all structs that are encoded with their field names."""
    names: set[str] = set()
    for cls in defined_classes():
        if not issubclass(cls, msgspec.Struct) or cls.__struct_config__.array_like:
            continue
        names.update(field.encode_name for field in msgspec.structs.fields(cls))
        names.add(str(cls.__struct_config__.tag))
    return names


def enum_names() -> set[str]:
    """Values of enums, or the lower-case member names where the values are numbers."""
    members: list[Enum] = [m for cls in defined_classes() if issubclass(cls, Enum) for m in cls]
    return {m.value if isinstance(m.value, str) else m.name.lower() for m in members}


def test_each_listed_struct_field_is_encoded_under_its_name() -> None:
    listed = sections()[0]
    assert len(listed) > 100
    assert set(listed) - encoded_fields() == set()


def test_each_listed_enum_name_is_still_written() -> None:
    listed = sections()[1]
    assert len(listed) > 50
    assert set(listed) - enum_names() == set()


def test_each_other_listed_name_stands_in_the_code() -> None:
    files = [*(SOURCE / "whintrail").rglob("*.py")]
    files += [*(SOURCE / "deploy").rglob("*.toml"), *(SOURCE / "deploy").rglob("*.jsonnet")]
    text = "\n".join(path.read_text(encoding="utf-8") for path in files)
    listed = sections()[2]
    assert len(listed) > 900
    missing = [name for name in listed if not re.search(rf"(?<!\w){re.escape(name)}(?!\w)", text)]
    assert missing == []
