"""`whintrail check`: validates an operator's file."""

import click
import msgspec

from whintrail.config import OperatorFileError, read_operator_file


class InvalidFile(click.ClickException):
    """The operator's file can't be used."""

    exit_code = 2


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--show", is_flag=True, help="Print the settings in force with this file, as JSON.")
def check(file: str, show: bool) -> int:
    """Check an operator's file as the start and SIGHUP do. Status 2 if it can't be used.

    \b
    Example:
      whintrail check deploy/whintrail.jsonnet --show
    """
    try:
        operator_file = read_operator_file(file)
    except OperatorFileError as error:
        raise InvalidFile(str(error)) from error
    if show:
        click.echo(msgspec.json.format(msgspec.json.encode(operator_file), indent=2).decode())
    else:
        features = {"the time line": operator_file.timeline, "the fleet": operator_file.fleet}
        states = ", ".join(
            f"{name} is {'off' if section is None else 'on'}" for name, section in features.items()
        )
        click.echo(f"{file}: can be used; {states}")
    return 0
