"""`whintrail SUBCOMMAND`: the command group, its exit codes, and one-line error messages.

Exit codes: 0 done; 1 it could not be done (the line says why); 2 wrong usage, or a file that can't be used.
"""

import importlib
import sys
from collections.abc import Sequence

import click

COMMANDS = {
    "serve": "whintrail.cli.serve:serve",
    "demo": "whintrail.cli.demo:demo",
    "check": "whintrail.cli.check:check",
    "timeline": "whintrail.cli.timeline:timeline",
    "fleet": "whintrail.cli.fleet:fleet",
    "settings": "whintrail.cli.settings:settings",
    "lists": "whintrail.cli.settings:lists",
    "scale": "whintrail.cli.scale:scale",
}


class LazyGroup(click.Group):
    """Sub-commands by name; a command's module is imported only when it is called or its help is shown."""

    command_paths = COMMANDS
    requirements_file = "requirements-operator.txt"

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(self.command_paths)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if (path := self.command_paths.get(cmd_name)) is None:
            return None
        module, _, name = path.partition(":")
        try:
            command = getattr(importlib.import_module(module), name)
        except ModuleNotFoundError as error:
            raise click.ClickException(
                f"{cmd_name} needs {error.name}: install {self.requirements_file}"
            ) from error
        assert isinstance(command, click.Command)
        return command


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="whintrail", message="%(version)s")
def root() -> None:
    """A query gateway for engines with limited memory.

    \b
    Examples:
      whintrail demo                              a gateway with stand-in engines on loopback
      whintrail check deploy/whintrail.jsonnet    validate the operator's file without starting
      whintrail timeline show --store DIR s-12    the history of an engine

    \b
    Shell completion:
      eval "$(_WHINTRAIL_COMPLETE=bash_source whintrail)"    zsh_source, fish_source likewise
    """


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a sub-command; returns its exit code. Errors are one line on standard error, never a traceback."""
    try:
        result = root.main(arguments, prog_name="whintrail", standalone_mode=False)
    except click.exceptions.Exit as end:
        return end.exit_code
    except click.Abort:
        print("whintrail: interrupted", file=sys.stderr)
        return 1
    except click.ClickException as error:
        print(f"whintrail: {' '.join(error.format_message().split())}", file=sys.stderr)
        return error.exit_code
    except BrokenPipeError:
        return 1
    except OSError as error:
        print(f"whintrail: {error}", file=sys.stderr)
        return 1
    return result if isinstance(result, int) else 0
