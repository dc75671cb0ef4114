"""The command line. Each sub-command is imported only when it is called, to keep the others fast."""

from whintrail.cli.root import main

__all__ = ["main"]
