"""`whintrail fleet`: coordinated drains, restarts and releases, requested from a running gateway."""

import sys
from itertools import pairwise
from typing import Any

import click

from whintrail.cli.output import format_option, print_rows
from whintrail.control.json_lines import ControlError, send_request

EXIT_REFUSED = 3  # 1 and 2 are those of every sub-command
EXIT_TIMED_OUT = 4
MAX_RELEASE_STEPS = 8
REPLY_MARGIN_S = 5  # the gateway's reply may take longer than its own wait
MEMBER_COLUMNS = ["member", "state", "out", "build", "zone", "since_s"]

socket_option = click.option(
    "--socket",
    "path",
    type=click.Path(),
    envvar="WHINTRAIL_FLEET_SOCKET",
    required=True,
    help="A gateway's fleet.socket. Default: $WHINTRAIL_FLEET_SOCKET.",
)
why_option = click.option("--why", default="", help="For the record, 64 characters at most.")
wait_option = click.option(
    "--wait-s",
    type=click.FloatRange(0.1, 86_400),
    default=5.0,
    show_default=True,
    help="Longest time to wait for the outcome.",
)


def fetch_rows(path: str, timeout_s: float = 10.0, **request: Any) -> list[dict[str, Any]]:
    """All rows of an answer. Errors: ClickException."""
    try:
        return list(send_request(path, request, timeout_s))
    except ControlError as error:
        raise click.ClickException(str(error)) from error


def submit_change(path: str, form: str, wait_s: float, done_text: str, **request: Any) -> int:
    """Request a change and print its outcome. Exit code: 0 done, 3 refused, 4 not within the time."""
    answer = fetch_rows(path, wait_s + REPLY_MARGIN_S, wait_s=wait_s, **request)
    if not answer:
        raise click.ClickException("the gateway ended before it answered")
    row = answer[0]
    if form == "json":
        print_rows([row], [], form)
    elif row["word"] == "done":
        fence = f" (fence {row['fence']})" if row["fence"] else ""
        click.echo(f"{done_text}{fence}{': ' + row['text'] if row['text'] else ''}")
    else:
        click.echo(f"whintrail: {row['word']}: {row['text'] or 'no answer'}", err=True)
    return {"done": 0, "refused": EXIT_REFUSED}.get(row["word"], EXIT_TIMED_OUT)


@click.group()
def fleet() -> None:
    """Drains, restarts and releases that the gateways coordinate.

    \b
    Examples:
      whintrail fleet status --socket /run/whintrail/fleet.sock
      whintrail fleet drain s-12 --why "disk swap" --limit-s 600 --undo
      whintrail fleet may-restart --wait-s 300 --stop     for a supervisor
      whintrail fleet release start b42 --steps 0.02,0.1,0.5,1

    \b
    Exit codes: 0 done; 1 not reached; 2 wrong usage; 3 refused; 4 not within the time.
    """


@fleet.command()
@socket_option
@format_option
def status(path: str, form: str) -> int:
    """The committed state as this gateway knows it; the leader also reports which gateways are out."""
    row = fetch_rows(path, what="status")[0]
    if form == "json":
        print_rows([row], [], form)
    else:
        for name, value in row.items():
            if isinstance(value, dict):
                value = ", ".join(f"{key}: {item}" for key, item in value.items()) or "none"
            click.echo(f"{name:10} {'-' if value is None else value}")
    return 0


@fleet.command()
@socket_option
@format_option
def members(path: str, form: str) -> int:
    """Every gateway as this one sees it; builds and zones are known to the leader."""
    print_rows(fetch_rows(path, what="members"), MEMBER_COLUMNS, form)
    return 0


@fleet.command()
@click.argument("engine")
@why_option
@click.option("--limit-s", type=click.IntRange(0), default=0, help="Time limit of the drain; 0: none.")
@click.option("--undo", is_flag=True, help="Undo the drain at its limit; otherwise it stays.")
@wait_option
@socket_option
@format_option
def drain(engine: str, why: str, limit_s: int, undo: bool, wait_s: float, path: str, form: str) -> int:
    """Stop all gateways from sending new attempts to an engine. Answered once committed; `status` reports
    when the drain is complete."""
    request = {"what": "drain", "engine": engine, "why": why, "limit_s": limit_s, "undo": undo}
    return submit_change(path, form, wait_s, f"{engine} is drained", **request)


@fleet.command()
@click.argument("engine")
@why_option
@wait_option
@socket_option
@format_option
def undrain(engine: str, why: str, wait_s: float, path: str, form: str) -> int:
    """Undo a drain."""
    return submit_change(path, form, wait_s, f"{engine} is back", what="undrain", engine=engine, why=why)


@fleet.command("may-restart")
@click.option(
    "--wait-s", type=click.FloatRange(0, 86_400), default=0.0, help="Time to wait for a slot; 0: don't wait."
)
@click.option("--stop", is_flag=True, help="With the slot, the gateway stops at once, as on SIGTERM.")
@socket_option
@format_option
def may_restart(wait_s: float, stop: bool, path: str, form: str) -> int:
    """Request a restart slot, with its fencing number, for the gateway behind the socket.

    Without --stop the caller sends SIGTERM within the time that the answer gives; later, the slot is given
    back and the stop counts as one without a slot.
    """
    request = {"what": "may-restart", "wait": wait_s > 0, "stop": stop}
    return submit_change(path, form, wait_s or 2.0, "it may restart", **request)


@fleet.command("give-up")
@click.argument("member", type=click.IntRange(0))
@wait_option
@socket_option
@format_option
def give_up(member: int, wait_s: float, path: str, form: str) -> int:
    """Free the slot of a gateway that will not come back by itself."""
    return submit_change(path, form, wait_s, f"n{member} holds no slot", what="give-up", member=member)


@fleet.group()
def release() -> None:
    """A release in steps: each compares the new build with the old one, and continues, waits or halts."""


def parse_steps(text: str) -> tuple[float, ...]:
    """Errors: UsageError."""
    try:
        return tuple(float(part) for part in text.split(","))
    except ValueError as error:
        raise click.UsageError(f"--steps: {text!r} is no list of shares, as 0.02,0.1,0.5,1") from error


def check_steps(steps: tuple[float, ...]) -> None:
    """Errors: UsageError."""
    rising = all(a < b for a, b in pairwise(steps))
    if not rising or steps[0] <= 0 or steps[-1] != 1 or len(steps) > MAX_RELEASE_STEPS:
        raise click.UsageError("--steps: at most eight shares, rising to 1")


@release.command()
@click.argument("build")
@click.option("--steps", default="0.02,0.1,0.5,1", show_default=True, help="Shares of the fleet on it.")
@click.option("--fleet-size", type=click.IntRange(1), default=200, show_default=True)
def plan(build: str, steps: str, fleet_size: int) -> int:
    """How many gateways each step would put on the build; contacts no gateway."""
    shares = parse_steps(steps)
    check_steps(shares)
    table = [
        {"step": index + 1, "share": share, "gateways": max(1, -(-round(share * 1000) * fleet_size // 1000))}
        for index, share in enumerate(shares)
    ]
    click.echo(f"to {build}")
    print_rows(table, ["step", "share", "gateways"], "table")
    return 0


@release.command()
@click.argument("build")
@click.option("--steps", default="0.02,0.1,0.5,1", show_default=True, help="Shares of the fleet on it.")
@click.option("--by-zone", is_flag=True, help="Within a step, one zone after another.")
@why_option
@wait_option
@socket_option
@format_option
def start(build: str, steps: str, by_zone: bool, why: str, wait_s: float, path: str, form: str) -> int:
    """Begin a release; supervisors then get their slots by `may-restart`."""
    shares = parse_steps(steps)
    check_steps(shares)
    request = {"what": "release", "build": build, "steps": shares, "why": why, "by_zone": by_zone}
    return submit_change(path, form, wait_s, f"release to {build}", **request)


def add_status_command(name: str, help_text: str, done_text: str) -> None:
    """Define a command that changes the status of the release."""

    @release.command(name, help=help_text)
    @why_option
    @wait_option
    @socket_option
    @format_option
    def change_status(why: str, wait_s: float, path: str, form: str) -> int:
        return submit_change(path, form, wait_s, done_text, what=name, why=why)


add_status_command("halt", "Put no more gateways on the new build.", "halted")
add_status_command("resume", "Continue a halted release.", "resumed")
add_status_command("back", "Return to the old build, in the same slots.", "it goes back")


@fleet.command()
@socket_option
@format_option
def watch(path: str, form: str) -> int:
    """Print decisions as they are committed, until interrupted."""
    try:
        for row in send_request(path, {"what": "watch"}, None):
            print_rows([row], ["at", "event", *[key for key in row if key not in ("at", "event")]], form)
            sys.stdout.flush()
    except ControlError as error:
        raise click.ClickException(str(error)) from error
    return 0
