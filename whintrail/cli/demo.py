"""`whintrail demo`: a gateway with stand-in engines on loopback, to try it without any setup."""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
from pathlib import Path

import click

from whintrail.standins.engine_fleet import EngineFleet

CONNECT_RETRY_S = 0.05


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


async def _run(engines: int, port: int, operator_file: str | None, seconds: float | None) -> int:
    fleet = EngineFleet(engines)
    port = port or _free_port()
    with tempfile.TemporaryDirectory(prefix="whintrail-") as folder:
        path = Path(folder, "config.json")
        path.write_text(json.dumps(fleet.config(f"127.0.0.1:{port}")))
        environment = {**os.environ, "RELAY_CONFIG": str(path)}
        if operator_file:
            environment["WHINTRAIL_FILE"] = operator_file
        process = await asyncio.create_subprocess_exec(sys.executable, "-m", "whintrail", env=environment)
        loop, stop = asyncio.get_running_loop(), asyncio.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, stop.set)
        process_ended = loop.create_task(process.wait())
        stop_requested = loop.create_task(stop.wait())
        try:
            if await _wait_until_serving(port, process_ended):
                click.echo(f"{engines} stand-in engines behind a gateway on 127.0.0.1:{port}. Try a query:")
                click.echo(
                    f'  psql "host=127.0.0.1 port={port} user=app dbname=dw sslmode=disable" -c'
                    ' "/* op=lookup,call=9b1f03aa5c7e2d41,ttl=4000 */ SELECT day FROM sales_17.orders"'
                )
                click.echo("Every query needs its own `call` (16 hex digits). Ctrl-C stops the gateway.")
                await asyncio.wait(
                    [process_ended, stop_requested], timeout=seconds, return_when=asyncio.FIRST_COMPLETED
                )
        finally:
            if not process_ended.done():
                process.send_signal(signal.SIGTERM)
            exit_code = await process_ended
            stop_requested.cancel()
            await fleet.close()
    return exit_code


async def _wait_until_serving(port: int, process_ended: "asyncio.Task[int]") -> bool:
    """Whether the gateway accepts sessions; False if its process has ended."""
    from whintrail.standins.load_generator import LoadClient

    while not process_ended.done():
        client = LoadClient(port)
        try:
            await client.open()
            return True
        except OSError:
            await asyncio.sleep(CONNECT_RETRY_S)
        finally:
            client.close()
    return False


@click.command()
@click.option("--engines", type=click.IntRange(1, 200), default=4, show_default=True)
@click.option("--port", type=click.IntRange(0, 65535), default=0, help="0: any that is free.")
@click.option("--file", "operator_file", type=click.Path(dir_okay=False), help="The operator's file.")
@click.option("--seconds", type=float, help="Stop after this time.")
def demo(engines: int, port: int, operator_file: str | None, seconds: float | None) -> int:
    """Start a gateway on loopback with stand-in engines and a sample configuration.

    \b
    Example:
      whintrail demo --engines 8 --port 5433
    """
    return asyncio.run(_run(engines, port, operator_file, seconds))
