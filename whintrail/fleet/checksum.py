"""CRC-32C from the crc32c library, loading only its extension module.

Importing the library's package also imports argparse and the package metadata parsers. They take 1.9 MB, of a
gateway that may have only 32 MB; the extension module needs none of them.
"""

import sys
from collections.abc import Callable
from importlib.machinery import EXTENSION_SUFFIXES, ExtensionFileLoader
from importlib.util import find_spec, module_from_spec, spec_from_file_location
from pathlib import Path

Checksum = Callable[[bytes], int]


def _load_extension() -> Checksum:
    package = find_spec("crc32c")
    if package is None:
        raise ModuleNotFoundError("No module named 'crc32c'", name="crc32c")
    if "crc32c" not in sys.modules:
        for folder in package.submodule_search_locations or ():
            for suffix in EXTENSION_SUFFIXES:
                path = Path(folder) / f"_crc32c{suffix}"
                if path.exists():
                    loader = ExtensionFileLoader("_crc32c", str(path))
                    spec = spec_from_file_location("_crc32c", path, loader=loader)
                    if spec is not None:
                        module = module_from_spec(spec)
                        loader.exec_module(module)
                        checksum: Checksum = module.crc32c
                        return checksum
    from crc32c import crc32c as library_checksum  # imported already, or built in another way

    return library_checksum


crc32c = _load_extension()
