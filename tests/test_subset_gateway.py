"""Gateways that keep a part of the engines each: what the module makes of it, and the started program."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest

from whintrail import interface as api
from whintrail.config.records import OperatorFile, Subset
from whintrail.fleet import probe_reports
from whintrail.gateway.subset import PlanError, SubsetService, read_plan
from whintrail.standins.peers import Fleet, fleet
from whintrail.standins.scripted import Engine, Gateway, configuration, query, wait_for
from whintrail.subset.assignment import SubsetAssignment
from whintrail.subset.plan import SubsetPlan

from .helpers import SECOND, PolicyDriver, engine, query_class, settings

SIZE, GATEWAYS, ENGINES = 8, 6, 24
SUBSET_SETTINGS = {"size": SIZE, "least_holders": 2, "least_stratum": 0}


# --- The module: holders and rank instead of the fleet's size and the gateway's number.


def decisions(entries: tuple[api.EngineEntry, ...], seed: int) -> list[str]:
    """All that a module asks for through a random day of 300 queries."""
    random = Random(seed)
    given = settings(
        query_class("a"),
        query_class("b", threads=4),
        fleet_size=16,
        local_number=5,
        peer_messages_allowed=True,
        overload_multiple=2.0,
    )
    driver = PolicyDriver(given, *entries, seed=seed)
    said: list[str] = []
    for number in range(300):
        driver.now += random.randrange(30_000)
        cost = random.lognormvariate(11, 1)
        event = api.QueryArrived(
            number, random.choice("ab"), driver.now + 8 * SECOND, cost, 8.0, None, None, None, False
        )
        for action in driver.policy.handle(driver.now, event):
            said.append(repr(action))
            if isinstance(action, api.SendAttempt):
                report = api.LoadReport(random.random(), random.random() * 8, 0.0, 0.1)
                ended = api.AttemptFinished(
                    number, 0, action.engine, api.Outcome.OK, 50_000, False, 50.0, 8.0, report
                )
                said += map(repr, driver.policy.handle(driver.now + 50_000, ended))
        said += map(repr, driver.policy.handle(driver.now, api.TimerFired("sweep")))
    return said


def test_an_engine_held_by_all_gateways_is_routed_as_one_without_holders() -> None:
    entries = tuple(engine(f"s-{n}", started_us=(90 + n) * SECOND if n % 3 == 0 else None) for n in range(12))
    named = tuple(replace(entry, assigned_gateways=16, assignment_rank=5) for entry in entries)
    for seed in range(4):
        plain = decisions(entries, seed)
        assert any("Send(" in line for line in plain)
        assert decisions(named, seed) == plain


def test_holders_of_a_cold_engine_together_send_its_whole_budget() -> None:
    """With its part taken of 64 gateways although 4 keep it, a cold engine would not be warmed; with more
    than a fourth each, all together would be over its budget."""
    sent = {}
    for holders in (None, 4):
        cold = engine("cold", started_us=100 * SECOND)
        entry = cold if holders is None else replace(cold, assigned_gateways=holders, assignment_rank=1)
        given = settings(
            query_class("a", target_latency_us=60 * SECOND),
            fleet_size=64,
            local_number=9,
            overload_multiple=1.0,
            initial_capacity_share=1.0,
        )
        driver = PolicyDriver(given, entry)
        count = 0
        for number in range(40):
            event = api.QueryArrived(
                number, "a", driver.now + 60 * SECOND, 500_000.0, 8.0, None, None, None, False
            )
            count += sum(isinstance(a, api.SendAttempt) for a in driver.policy.handle(driver.now, event))
        sent[holders] = count
    # Eight cores for a second, three quarters of it safe: twelve queries of half a second in a window.
    assert sent[4] == 12 // 4
    assert sent[None] <= 1


def test_the_gateways_share_follows_how_many_keep_its_engines() -> None:
    given = settings(fleet_size=4000, local_number=1)
    driver = PolicyDriver(
        given, *(replace(engine(f"s-{n}"), assigned_gateways=20, assignment_rank=3) for n in range(80))
    )
    assert driver.policy.gateways_per_engine == pytest.approx(20)
    assert driver.policy.work_share == pytest.approx(1 / 20)
    whole = api.EngineListReceived(api.ListKind.FULL, tuple(engine(f"s-{n}") for n in range(8)))
    driver.policy.handle(driver.now + 1, whole)  # all are kept again
    assert driver.policy.gateways_per_engine == 4000
    assert driver.policy.work_share == pytest.approx(1 / 4000)


# --- The shell of it.


class PeerMessages:
    """What would go to other gateways."""

    def __init__(self) -> None:
        self.sent: list[tuple[int | None, bytes]] = []

    def send(self, target: int | None, payload: bytes) -> None:
        self.sent.append((target, payload))


def subset_side(
    me: int, free: Callable[[str], bool] = lambda engine: True, holders: int = 2
) -> tuple[SubsetService, PeerMessages]:
    heard = PeerMessages()
    given = settings(fleet_size=GATEWAYS, local_number=me, peer_messages_allowed=True)
    return SubsetService(SubsetPlan(SIZE, holders, 0), given, heard, free), heard


def full_list(count: int) -> tuple[api.EngineListReceived, dict[str, str]]:
    entries = tuple(engine(f"s-{n}") for n in range(count))
    return api.EngineListReceived(api.ListKind.CACHED, entries), {
        f"s-{n}": f"10.0.0.{n}:1" for n in range(count)
    }


def test_an_engine_that_replaces_a_departed_one_brings_its_address() -> None:
    given, _ = subset_side(0)
    event, addresses = full_list(ENGINES)
    first = given.apply_event(event, addresses)
    assert first is not None
    kept = {entry.engine for entry in first.event.entries}
    assert kept == set(first.addresses) and len(kept) < ENGINES
    assert set(given.listed_engines()) == set(addresses)  # the fleet's budgets count them all
    shown = dict(first.addresses)
    for name in sorted(kept)[:3]:
        gone = api.EngineListReceived(api.ListKind.DELTA, (engine(name, state=api.EngineState.REMOVED),))
        told = given.apply_event(gone, {})
        assert told is not None
        assert name not in told.addresses
        shown.update(told.addresses)
    assert set(shown) - kept  # others took their places
    assert all(addresses[name] == where for name, where in shown.items())


def test_attempts_on_an_engine_that_left_the_subset_finish_before_its_removal() -> None:
    busy: set[str] = set()
    given, _ = subset_side(0, lambda name: name not in busy, holders=1)
    event, addresses = full_list(ENGINES)
    first = given.apply_event(event, addresses)
    assert first is not None
    dropped = ""
    for number in range(ENGINES, 4 * ENGINES):  # more engines: the part moves
        told = given.apply_event(
            api.EngineListReceived(api.ListKind.DELTA, (engine(f"s-{number}"),)),
            {f"s-{number}": "10.0.0.1:1"},
        )
        leaving = [e for e in told.event.entries if e.state is api.EngineState.DRAINING] if told else []
        if leaving:
            dropped = leaving[0].engine
            break
    assert dropped
    busy.add(dropped)
    assert all(given.tick(n * SECOND * 2) is None for n in range(1, 5))
    busy.clear()
    ends = [given.tick(n * SECOND * 2) for n in range(5, 9)]
    last = [kept.event for kept in ends if kept is not None]
    assert [(e.engine, e.state) for event in last for e in event.entries] == [
        (dropped, api.EngineState.REMOVED)
    ]


def test_probe_reports_go_to_holders_of_the_engine_only() -> None:
    given, heard = subset_side(2)
    event, addresses = full_list(ENGINES)
    first = given.apply_event(event, addresses)
    assert first is not None
    name = first.event.entries[0].engine
    seen = probe_reports.ProbeReport(
        probe_reports.engine_key(name), 0, api.LoadReport(0.5, 1.0, 0.0, 0.1), 8.0
    )
    assert given.broadcast_report(SECOND, probe_reports.encode([seen]))
    for turn in range(20):
        given.tick(SECOND + turn * 62_500)
    keepers = set(given.local_subset.holders_of(name)) - {2}
    assert keepers and keepers != set(range(GATEWAYS)) - {2}
    assert {target for target, _ in heard.sent} == keepers
    assert len(heard.sent) == len(keepers)


def test_with_all_engines_kept_probe_reports_are_left_to_the_common_path() -> None:
    given, heard = subset_side(2)
    event, addresses = full_list(SIZE)
    shown = given.apply_event(event, addresses)
    assert shown is not None and shown.event is event  # as it came
    assert not given.broadcast_report(SECOND, b"")
    assert not heard.sent


# --- The operator's file.


@pytest.mark.parametrize(
    ("asked", "place"),
    [
        ({"size": 4}, "subset.size"),
        ({"sise": 80}, "sise"),
        ({"regions": [{"zones": ["z1"], "first": 0}]}, "last"),
    ],
)
def test_invalid_subset_settings_are_rejected(asked: dict[str, Any], place: str) -> None:
    with pytest.raises(msgspec.ValidationError, match=place):
        msgspec.convert({"subset": asked}, OperatorFile)


@pytest.mark.parametrize(
    ("regions", "place"),
    [
        ([("z1", 0, 3), ("z2", 3, 5)], "gateway 3"),
        ([("z1", 0, 2), ("z2", 4, 5)], "gateway 3"),
        ([("z1", 0, 2), ("z1", 3, 5)], "zones"),
        ([("z1", 0, 9)], "fleet of 6"),
    ],
)
def test_regions_that_do_not_partition_the_fleet_are_rejected(
    regions: list[tuple[str, int, int]], place: str
) -> None:
    given = {"regions": [{"zones": [zone], "first": first, "last": last} for zone, first, last in regions]}
    with pytest.raises(PlanError, match=place):
        SubsetAssignment(read_plan(msgspec.convert(given, Subset)), settings(fleet_size=GATEWAYS))


def test_the_program_does_not_start_on_a_plan_that_does_not_fit_the_fleet(tmp_path: Path) -> None:
    file = tmp_path / "operator.jsonnet"
    file.write_text("{ subset: { regions: [{ zones: ['z1'], first: 0, last: 5 }] } }")
    config = configuration("n0", 1, "127.0.0.1:1", [])
    gateway = Gateway(config, tmp_path, WHINTRAIL_FILE=str(file))
    assert gateway.process.wait(15) == 1
    assert "of a fleet of 1" in gateway.text()


# --- Processes.


@contextmanager
def subset_fleet() -> Iterator[tuple[Fleet, list[SubsetAssignment]]]:
    """Six gateways before 24 engines; each keeps about eight of them, by the same arithmetic as here."""
    engines = [Engine(f"s-{number}") for number in range(ENGINES)]
    with fleet(GATEWAYS, *engines, operator=lambda number, build: {"subset": SUBSET_SETTINGS}) as given:
        entries = tuple(engine(e.name, kind="std-16") for e in engines)
        event = api.EngineListReceived(api.ListKind.CACHED, entries)
        parts = []
        for me in range(GATEWAYS):
            parts.append(
                SubsetAssignment(SubsetPlan(SIZE, 2, 0), settings(fleet_size=GATEWAYS, local_number=me))
            )
            parts[-1].apply_list(event)
        yield given, parts


def ask(given: Fleet, number: int, times: int) -> None:
    client = given.client(number)
    for _ in range(times):
        assert client.ask(query()).rows
    client.close()


def engines_used(given: Fleet) -> set[str]:
    return {engine.name for engine in given.engines if engine.done}


def test_each_gateway_sends_to_its_subset_and_receives_drains() -> None:
    with subset_fleet() as (given, parts):
        for number in range(GATEWAYS):
            for item in given.engines:
                item.done.clear()
            ask(given, number, 30)
            assert len(engines_used(given)) > 1
            assert engines_used(given) <= set(parts[number].kept)
        # A gateway's engines begin to drain, all but one: what comes then goes to that one.
        kept = sorted(parts[0].kept)
        left = kept[0]
        numbers = {item.name: item for item in given.engines}
        given.bulletin.publish(*(numbers[name].entry("leaving") for name in kept[1:]))
        for item in given.engines:
            item.done.clear()

        def only_left() -> bool:
            for item in given.engines:
                item.done.clear()
            ask(given, 0, 8)
            return engines_used(given) == {left}

        wait_for(only_left)


def test_probe_reports_pass_only_between_gateways_that_share_an_engine() -> None:
    with subset_fleet() as (given, parts):
        for number in range(GATEWAYS):
            ask(given, number, 10)
        wait_for(lambda: len(given.relay.passed) >= 4)
        share = {
            (a, b)
            for a in range(GATEWAYS)
            for b in range(GATEWAYS)
            if a != b and set(parts[a].kept) & set(parts[b].kept)
        }
        assert set(given.relay.passed) <= share


def test_an_engine_whose_holders_all_died_is_used_again_when_one_returns() -> None:
    with subset_fleet() as (given, parts):
        name = min(parts[0].kept)
        keepers = parts[0].holders_of(name)
        for number in keepers:
            given.gateways[number].process.kill()
            given.gateways[number].end()
        others = [number for number in range(GATEWAYS) if number not in keepers]
        for number in others:
            ask(given, number, 10)  # they serve on, without it
        item = next(e for e in given.engines if e.name == name)
        assert not item.done
        given.gateways[keepers[0]] = given.start(keepers[0])
        wait_for(lambda: given.ready(keepers[0]))

        def reached() -> bool:
            ask(given, keepers[0], 10)
            return bool(item.done)

        wait_for(reached)
