"""`whintrail serve`: runs the gateway."""

import os

import click


@click.command()
@click.option("--config", type=click.Path(dir_okay=False), help="The configuration. Default: $RELAY_CONFIG.")
@click.option("--file", "operator_file", type=click.Path(dir_okay=False), help="The operator's file.")
def serve(config: str | None, operator_file: str | None) -> int:
    """Serve from a configuration until SIGTERM.

    \b
    Example:
      whintrail serve --config config.json --file deploy/whintrail.jsonnet

    Without --file and $WHINTRAIL_FILE all that the operator's file can turn on is off.
    """
    if config is not None:
        os.environ["RELAY_CONFIG"] = config
    if operator_file is not None:
        os.environ["WHINTRAIL_FILE"] = operator_file
    from whintrail.gateway.service import main

    return main()
