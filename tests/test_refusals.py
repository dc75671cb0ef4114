"""The gateway under a seccomp filter that refuses new processes, io_uring, splice and IPv6."""

import platform
import signal
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

import pytest

from whintrail.standins.scripted import (
    ROOT,
    WAIT_TIMEOUT_S,
    Client,
    Gateway,
    deployment,
    listener,
    query,
    wait_for,
)

FILTER_COMMAND = (sys.executable, "-m", "whintrail.standins.refusals")


class FilteredGateway(Gateway):
    command_prefix = FILTER_COMMAND


pytestmark = pytest.mark.skipif(platform.machine() != "x86_64", reason="the filter is for x86-64")


@pytest.mark.parametrize(
    ("code", "error"),
    [
        ("import os; os.fork()", "Function not implemented"),
        ("import subprocess; subprocess.run(['true'])", "Function not implemented"),
        ("import os; os.sendfile(1, 0, 0, 1)", "Function not implemented"),
        ("import os; os.splice(0, 1, 1)", "Invalid argument"),
        ("import socket; socket.socket(socket.AF_INET6)", "not supported"),
    ],
)
def test_the_filter_refuses(code: str, error: str) -> None:
    process = subprocess.run(
        [*FILTER_COMMAND, sys.executable, "-c", code],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=WAIT_TIMEOUT_S,
    )
    assert process.returncode == 1 and error in process.stderr


def test_the_filter_lets_threads_start() -> None:
    code = "import threading; t = threading.Thread(target=print, args=('ran',)); t.start(); t.join()"
    process = subprocess.run(
        [*FILTER_COMMAND, sys.executable, "-c", code],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=WAIT_TIMEOUT_S,
    )
    assert process.stdout == "ran\n"


def test_the_gateway_runs_and_reloads_under_the_filter() -> None:
    with deployment() as cluster, tempfile.TemporaryDirectory() as folder:
        with listener() as free_listener:
            port = free_listener.getsockname()[1]
        gateway = FilteredGateway({**cluster.config, "listen": f"127.0.0.1:{port}"}, Path(folder))
        try:
            wait_for(lambda: "serves on" in gateway.log_text())
            client = Client(port)
            assert client.ask(query()).rows
            gateway.signal(signal.SIGHUP)
            wait_for(lambda: "taken, bulletin" in gateway.log_text())
            assert client.ask(query()).rows
            client.close()
            gateway.signal(signal.SIGTERM)
            assert gateway.process.wait(WAIT_TIMEOUT_S) == 0
        finally:
            gateway.kill()


def test_the_run_command_replaces_the_shell_by_exec() -> None:
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        assert tomllib.load(file)["run"].startswith("exec ")
