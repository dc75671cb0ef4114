"""The command line. Each sub-command is imported when it is called for, so that none pays for another."""

from whintrail.cli.root import main

__all__ = ["main"]
