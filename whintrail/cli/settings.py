"""`whintrail settings`: the operators' rules as config versions that the gateways activate together."""

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
    "shut": "engines that get no new attempts; more of them is stricter",
    "paused": "classes of which no new query is accepted; more of them is stricter",
    "caps": "maximum of open queries of a class at one gateway; fewer is stricter",
    "wait_ms": "maximum time of a class's queries; less is stricter",
    "homes": "the only gateway that takes a table group's loads; none (-1) is stricter than any",
    "council": "the fleet's council; it has no order, so it can't be changed by a version",
}


def read_rules_file(path: str) -> dict[str, Any]:
    """The rules of a Jsonnet file: its `rules`, or all of it. Errors: ClickException."""
    try:
        data = json.loads(rjsonnet.evaluate_snippet(path, Path(path).read_text("utf-8")))
    except Exception as error:  # the binding raises its own exceptions
        reason = "; ".join(part.strip() for part in str(error).splitlines() if part.strip())
        raise click.ClickException(f"{path}: {reason}") from error
    rules = data.get("rules", data) if isinstance(data, dict) else data
    try:
        parse_rules(rules)
    except RulesError as error:
        raise click.ClickException(f"{path}: {error}") from error
    assert isinstance(rules, dict)
    return rules


@click.group()
def settings() -> None:
    """The operators' rules as versions that the gateways activate together.

    \b
    Examples:
      whintrail settings propose rules.jsonnet --why "reports overload the disks"
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
    """Propose a file's rules as the next version. Answered once the proposal is committed; `status` reports
    whether it came into force, or which gateway vetoed it and why."""
    rules = read_rules_file(file)
    return submit_change(path, form, wait_s, "proposed", what="propose", body=rules, why=why)


@settings.command()
@click.argument("number", type=click.IntRange(0))
@why_option
@wait_option
@socket_option
@format_option
def back(number: int, why: str, wait_s: float, path: str, form: str) -> int:
    """Propose a new version with the rules of an old one."""
    done_text = f"proposed as in version {number}"
    return submit_change(path, form, wait_s, done_text, what="back-to", a=number, why=why)


@settings.command()
@socket_option
@format_option
def status(path: str, form: str) -> int:
    """The version that this gateway applies, its remaining lease, and the longest time T for which two
    gateways can differ."""
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
    """Versions, the newest first: author, time and reason."""
    rows = fetch_rows(path, what="history")
    print_rows(rows, ["version", "state", "by", "at", "why", "digest"], form)
    return 0


@settings.command()
@click.argument("a", type=click.IntRange(0))
@click.argument("b", type=click.IntRange(0))
@socket_option
@format_option
def diff(a: int, b: int, path: str, form: str) -> int:
    """The differences between two versions that the gateway holds."""
    print_rows(fetch_rows(path, what="diff", a=a, b=b), ["path", "before", "after"], form)
    return 0


@settings.command()
@click.argument("setting", type=click.Choice(list(SETTING_HELP)), required=False)
@click.option("--between", "files", nargs=2, type=click.Path(dir_okay=False), help="Two files.")
def explain(setting: str | None, files: tuple[str, str] | None) -> int:
    """What a setting means and which of two values is the stricter; or the rules in force during a change
    from one file to another."""
    for name, text in SETTING_HELP.items():
        if setting in (None, name) and files is None:
            click.echo(f"{name:10} {text}")
    if files is not None:
        old, new = (parse_rules(read_rules_file(file)) for file in files)
        try:
            merged: Rules = merge_strict(old, new)
        except RulesError as error:
            raise click.ClickException(f"no version lies between them: {error}") from error
        click.echo(msgspec.json.format(msgspec.json.encode(merged), indent=2).decode())
        for rule_path, before, after in differences(old, new):
            click.echo(f"{rule_path}: {before} -> {after}")
    return 0


@click.group()
def lists() -> None:
    """The list of engines as this gateway has it, compared with those of the others.

    \b
    Example:
      whintrail lists status --socket /run/whintrail/fleet.sock
    """


@lists.command("status")
@socket_option
@format_option
def lists_status(path: str, form: str) -> int:
    """Generation and digest, whether the bulletin is silent, and what the newer lists of others exclude."""
    return print_status(fetch_rows(path, what="lists")[0], form)
