"""`whintrail settings`: the operators' rules, with versions on which the gateways agree."""

import json
from pathlib import Path
from typing import Any

import click
import msgspec
import rjsonnet

from whintrail.cli.fleet import fetch_rows, socket_option, submit_change, wait_option, why_option
from whintrail.cli.output import format_option, print_rows
from whintrail.versions.rules import Rules, RulesError, differences, merge_strict, parse_rules

SETTING_HELP = {
    "shut": "engines to which nothing new goes; more of them is stricter",
    "paused": "classes of which nothing new is taken; more of them is stricter",
    "caps": "queries of a class in hand at one gateway, at most; fewer is stricter",
    "wait_ms": "a class's longest time, at most; less is stricter",
    "homes": "the one gateway that takes a table group's loads; nobody (-1) is stricter than anybody",
    "council": "the fleet's council; it has no order, so it can't be changed by a version",
}


def read_rules_file(path: str) -> dict[str, Any]:
    """The rules of a Jsonnet file: its `rules`, or all of it. Errors: ClickException."""
    try:
        data = json.loads(rjsonnet.evaluate_snippet(path, Path(path).read_text("utf-8")))
    except Exception as error:  # the binding raises its own kinds
        reason = "; ".join(part.strip() for part in str(error).splitlines() if part.strip())
        raise click.ClickException(f"{path}: {reason}") from error
    found = data.get("rules", data) if isinstance(data, dict) else data
    try:
        parse_rules(found)
    except RulesError as error:
        raise click.ClickException(f"{path}: {error}") from error
    assert isinstance(found, dict)
    return found


@click.group()
def settings() -> None:
    """The operators' rules, with versions on which the gateways agree.

    \b
    Examples:
      whintrail settings propose rules.jsonnet --why "reports jam the disks"
      whintrail settings status
      whintrail settings diff 3 4
      whintrail settings back 3 --why "it was the disks after all"

    \b
    Exit codes: 0 done; 1 not reached; 2 wrong usage; 3 refused; 4 not within the time.
    """


@settings.command()
@click.argument("file", type=click.Path(dir_okay=False))
@why_option
@wait_option
@socket_option
@format_option
def propose(file: str, why: str, wait_s: float, path: str, form: str) -> int:
    """Propose a file's rules as the next version. Answered once it is agreed on as a proposal; `status` tells
    whether it came into force, or who vetoed it and why."""
    body = read_rules_file(file)
    return submit_change(path, form, wait_s, "proposed", what="propose", body=body, why=why)


@settings.command()
@click.argument("number", type=click.IntRange(0))
@why_option
@wait_option
@socket_option
@format_option
def back(number: int, why: str, wait_s: float, path: str, form: str) -> int:
    """A new version with the rules of an old one."""
    return submit_change(
        path, form, wait_s, f"proposed as in version {number}", what="back-to", a=number, why=why
    )


@settings.command()
@socket_option
@format_option
def status(path: str, form: str) -> int:
    """By which version this gateway acts, for how long yet, and T: the longest that two can differ."""
    return print_status(fetch_rows(path, what="settings")[0], form)


def print_status(row: dict[str, Any], form: str) -> int:
    if form == "json":
        print_rows([row], [], form)
    else:
        for name, value in row.items():
            click.echo(f"{name:14} {'-' if value is None else value}")
    return 0


@settings.command()
@socket_option
@format_option
def history(path: str, form: str) -> int:
    """Versions, the newest first: who, when, why."""
    print_rows(fetch_rows(path, what="history"), ["version", "state", "by", "at", "why", "digest"], form)
    return 0


@settings.command()
@click.argument("a", type=click.IntRange(0))
@click.argument("b", type=click.IntRange(0))
@socket_option
@format_option
def diff(a: int, b: int, path: str, form: str) -> int:
    """What differs between two versions that the gateway holds."""
    print_rows(fetch_rows(path, what="diff", a=a, b=b), ["path", "before", "after"], form)
    return 0


@settings.command()
@click.argument("setting", type=click.Choice(list(SETTING_HELP)), required=False)
@click.option("--between", "files", nargs=2, type=click.Path(dir_okay=False), help="Two files.")
def explain(setting: str | None, files: tuple[str, str] | None) -> int:
    """What a setting means and which of two values is the stricter; or what lies between two files."""
    for name, text in SETTING_HELP.items():
        if setting in (None, name) and files is None:
            click.echo(f"{name:10} {text}")
    if files is not None:
        one, other = (parse_rules(read_rules_file(file)) for file in files)
        try:
            strict: Rules = merge_strict(one, other)
        except RulesError as error:
            raise click.ClickException(f"no version lies between them: {error}") from error
        click.echo(msgspec.json.format(msgspec.json.encode(strict), indent=2).decode())
        for place, before, after in differences(one, other):
            click.echo(f"{place}: {before} -> {after}")
    return 0


@click.group()
def lists() -> None:
    """The list of engines, as this gateway has it and as others do.

    \b
    Example:
      whintrail lists status --socket /run/whintrail/fleet.sock
    """


@lists.command("status")
@socket_option
@format_option
def lists_status(path: str, form: str) -> int:
    """Generation and digest, whether the bulletin is silent, and what others' newer lists shut."""
    return print_status(fetch_rows(path, what="lists")[0], form)
