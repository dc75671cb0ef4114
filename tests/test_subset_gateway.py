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
from whintrail.fleet import memo
from whintrail.gateway.subset import PlanError, SubsetSide, plan_of
from whintrail.standins.peers import Fleet, fleet
from whintrail.standins.scripted import Engine, Gateway, configuration, query, wait_for
from whintrail.subset.part import Part
from whintrail.subset.plan import SubsetPlan

from .helpers import SECOND, Driver, engine, query_class, settings

SIZE, GATEWAYS, ENGINES = 8, 6, 24
ASKED = {"size": SIZE, "least_holders": 2, "least_stratum": 0}


# --- The module: holders and rank instead of the fleet's size and the gateway's number.


def decisions(entries: tuple[api.EngineEntry, ...], seed: int) -> list[str]:
    """All that a module asks for through a random day of 300 queries."""
    random = Random(seed)
    given = settings(
        query_class("a"),
        query_class("b", threads=4),
        fleet_size=16,
        me=5,
        peers_allowed=True,
        tip_multiple=2.0,
    )
    driver = Driver(given, *entries, seed=seed)
    said: list[str] = []
    for number in range(300):
        driver.now += random.randrange(30_000)
        cost = random.lognormvariate(11, 1)
        event = api.QueryArrived(
            number, random.choice("ab"), driver.now + 8 * SECOND, cost, 8.0, None, None, None, False
        )
        for action in driver.gateway.handle(driver.now, event):
            said.append(repr(action))
            if isinstance(action, api.Send):
                report = api.LoadReport(random.random(), random.random() * 8, 0.0, 0.1)
                ended = api.AttemptEnded(
                    number, 0, action.engine, api.Outcome.OK, 50_000, False, 50.0, 8.0, report
                )
                said += map(repr, driver.gateway.handle(driver.now + 50_000, ended))
        said += map(repr, driver.gateway.handle(driver.now, api.TimerFired("sweep")))
    return said


def test_an_engine_that_all_gateways_keep_is_decided_on_as_one_that_says_nothing_of_it() -> None:
    entries = tuple(engine(f"s-{n}", started_us=(90 + n) * SECOND if n % 3 == 0 else None) for n in range(12))
    named = tuple(replace(entry, holders=16, rank=5) for entry in entries)
    for seed in range(4):
        plain = decisions(entries, seed)
        assert any("Send(" in line for line in plain)
        assert decisions(named, seed) == plain


def test_a_cold_engine_is_sent_by_its_holders_what_the_whole_fleet_would_have_sent() -> None:
    """With its part taken of 64 gateways although 4 keep it, a cold engine would not be warmed; with more
    than a fourth each, all together would be over its budget."""
    sent = {}
    for holders in (None, 4):
        cold = engine("cold", started_us=100 * SECOND)
        entry = cold if holders is None else replace(cold, holders=holders, rank=1)
        given = settings(
            query_class("a", aim_us=60 * SECOND), fleet_size=64, me=9, tip_multiple=1.0, start_capacity=1.0
        )
        driver = Driver(given, entry)
        count = 0
        for number in range(40):
            event = api.QueryArrived(
                number, "a", driver.now + 60 * SECOND, 500_000.0, 8.0, None, None, None, False
            )
            count += sum(isinstance(a, api.Send) for a in driver.gateway.handle(driver.now, event))
        sent[holders] = count
    # Eight cores for a second, three quarters of it safe: twelve queries of half a second in a window.
    assert sent[4] == 12 // 4
    assert sent[None] <= 1


def test_the_gateways_share_follows_how_many_keep_its_engines() -> None:
    given = settings(fleet_size=4000, me=1)
    driver = Driver(given, *(replace(engine(f"s-{n}"), holders=20, rank=3) for n in range(80)))
    assert driver.gateway.fleet == pytest.approx(20)
    assert driver.gateway.share == pytest.approx(1 / 20)
    whole = api.EngineList(api.ListKind.FULL, tuple(engine(f"s-{n}") for n in range(8)))
    driver.gateway.handle(driver.now + 1, whole)  # all are kept again
    assert driver.gateway.fleet == 4000
    assert driver.gateway.share == pytest.approx(1 / 4000)


# --- The shell of it.


class Heard:
    """What would go to other gateways."""

    def __init__(self) -> None:
        self.told: list[tuple[int | None, bytes]] = []

    def tell(self, target: int | None, payload: bytes) -> None:
        self.told.append((target, payload))


def side(
    me: int, free: Callable[[str], bool] = lambda engine: True, holders: int = 2
) -> tuple[SubsetSide, Heard]:
    heard = Heard()
    given = settings(fleet_size=GATEWAYS, me=me, peers_allowed=True)
    return SubsetSide(SubsetPlan(SIZE, holders, 0), given, heard, free), heard


def whole(count: int) -> tuple[api.EngineList, dict[str, str]]:
    entries = tuple(engine(f"s-{n}") for n in range(count))
    return api.EngineList(api.ListKind.CACHED, entries), {f"s-{n}": f"10.0.0.{n}:1" for n in range(count)}


def test_an_engine_that_comes_into_the_part_by_anothers_going_brings_its_address() -> None:
    given, _ = side(0)
    event, addresses = whole(ENGINES)
    first = given.listed(event, addresses)
    assert first is not None
    kept = {entry.engine for entry in first.event.entries}
    assert kept == set(first.addresses) and len(kept) < ENGINES
    assert set(given.engines()) == set(addresses)  # the fleet's budgets count them all
    shown = dict(first.addresses)
    for name in sorted(kept)[:3]:
        gone = api.EngineList(api.ListKind.DELTA, (engine(name, state=api.EngineState.GONE),))
        told = given.listed(gone, {})
        assert told is not None
        assert name not in told.addresses
        shown.update(told.addresses)
    assert set(shown) - kept  # others took their places
    assert all(addresses[name] == where for name, where in shown.items())


def test_what_runs_on_an_engine_that_left_the_part_goes_on_before_it_leaves_the_list() -> None:
    busy: set[str] = set()
    given, _ = side(0, lambda name: name not in busy, holders=1)
    event, addresses = whole(ENGINES)
    first = given.listed(event, addresses)
    assert first is not None
    dropped = ""
    for number in range(ENGINES, 4 * ENGINES):  # more engines: the part moves
        told = given.listed(
            api.EngineList(api.ListKind.DELTA, (engine(f"s-{number}"),)), {f"s-{number}": "10.0.0.1:1"}
        )
        leaving = [e for e in told.event.entries if e.state is api.EngineState.DRAINING] if told else []
        if leaving:
            dropped = leaving[0].engine
            break
    assert dropped
    busy.add(dropped)
    assert all(given.turn(n * SECOND * 2) is None for n in range(1, 5))
    busy.clear()
    ends = [given.turn(n * SECOND * 2) for n in range(5, 9)]
    last = [kept.event for kept in ends if kept is not None]
    assert [(e.engine, e.state) for event in last for e in event.entries] == [(dropped, api.EngineState.GONE)]


def test_a_memo_goes_to_who_keeps_the_engine_and_to_nobody_else() -> None:
    given, heard = side(2)
    event, addresses = whole(ENGINES)
    first = given.listed(event, addresses)
    assert first is not None
    name = first.event.entries[0].engine
    seen = memo.Sighting(memo.key_of(name), 0, api.LoadReport(0.5, 1.0, 0.0, 0.1), 8.0)
    assert given.tell(SECOND, memo.encode([seen]))
    for turn in range(20):
        given.turn(SECOND + turn * 62_500)
    keepers = set(given.part.keepers(name)) - {2}
    assert keepers and keepers != set(range(GATEWAYS)) - {2}
    assert {target for target, _ in heard.told} == keepers
    assert len(heard.told) == len(keepers)


def test_where_all_are_kept_memos_go_to_all_by_the_one_address() -> None:
    given, heard = side(2)
    event, addresses = whole(SIZE)
    shown = given.listed(event, addresses)
    assert shown is not None and shown.event is event  # as it came
    assert not given.tell(SECOND, b"")
    assert not heard.told


# --- The operator's file.


@pytest.mark.parametrize(
    ("asked", "place"),
    [
        ({"size": 4}, "subset.size"),
        ({"sise": 80}, "sise"),
        ({"regions": [{"zones": ["z1"], "first": 0}]}, "last"),
    ],
)
def test_a_part_of_the_file_that_cannot_be_read_is_refused(asked: dict[str, Any], place: str) -> None:
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
def test_regions_that_do_not_share_out_the_fleet_are_refused(
    regions: list[tuple[str, int, int]], place: str
) -> None:
    given = {"regions": [{"zones": [zone], "first": first, "last": last} for zone, first, last in regions]}
    with pytest.raises(PlanError, match=place):
        Part(plan_of(msgspec.convert(given, Subset)), settings(fleet_size=GATEWAYS))


def test_the_program_does_not_start_on_a_plan_that_does_not_fit_the_fleet(tmp_path: Path) -> None:
    file = tmp_path / "operator.jsonnet"
    file.write_text("{ subset: { regions: [{ zones: ['z1'], first: 0, last: 5 }] } }")
    config = configuration("n0", 1, "127.0.0.1:1", [])
    gateway = Gateway(config, tmp_path, WHINTRAIL_FILE=str(file))
    assert gateway.process.wait(15) == 1
    assert "of a fleet of 1" in gateway.text()


# --- Processes.


@contextmanager
def subset_fleet() -> Iterator[tuple[Fleet, list[Part]]]:
    """Six gateways before 24 engines; each keeps about eight of them, by the same arithmetic as here."""
    engines = [Engine(f"s-{number}") for number in range(ENGINES)]
    with fleet(GATEWAYS, *engines, operator=lambda number, build: {"subset": ASKED}) as given:
        entries = tuple(engine(e.name, kind="std-16") for e in engines)
        event = api.EngineList(api.ListKind.CACHED, entries)
        parts = []
        for me in range(GATEWAYS):
            parts.append(Part(SubsetPlan(SIZE, 2, 0), settings(fleet_size=GATEWAYS, me=me)))
            parts[-1].listed(event)
        yield given, parts


def ask(given: Fleet, number: int, times: int) -> None:
    client = given.client(number)
    for _ in range(times):
        assert client.ask(query()).rows
    client.close()


def used(given: Fleet) -> set[str]:
    return {engine.name for engine in given.engines if engine.done}


def test_each_gateway_sends_to_its_part_and_drains_reach_it() -> None:
    with subset_fleet() as (given, parts):
        for number in range(GATEWAYS):
            for item in given.engines:
                item.done.clear()
            ask(given, number, 30)
            assert len(used(given)) > 1
            assert used(given) <= set(parts[number].shown)
        # A gateway's engines begin to drain, all but one: what comes then goes to that one.
        kept = sorted(parts[0].shown)
        left = kept[0]
        numbers = {item.name: item for item in given.engines}
        given.bulletin.publish(*(numbers[name].entry("leaving") for name in kept[1:]))
        for item in given.engines:
            item.done.clear()

        def only_left() -> bool:
            for item in given.engines:
                item.done.clear()
            ask(given, 0, 8)
            return used(given) == {left}

        wait_for(only_left)


def test_memos_pass_between_those_that_share_an_engine_only() -> None:
    with subset_fleet() as (given, parts):
        for number in range(GATEWAYS):
            ask(given, number, 10)
        wait_for(lambda: len(given.relay.passed) >= 4)
        share = {
            (a, b)
            for a in range(GATEWAYS)
            for b in range(GATEWAYS)
            if a != b and set(parts[a].shown) & set(parts[b].shown)
        }
        assert set(given.relay.passed) <= share


def test_an_engine_whose_keepers_all_died_is_served_again_when_one_is_back() -> None:
    with subset_fleet() as (given, parts):
        name = min(parts[0].shown)
        keepers = parts[0].keepers(name)
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
