"""Gateways that keep a subset of the engines each: routing, the subset service, and gateway processes."""

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
from whintrail.standins.gateway_fleet import GatewayFleet, fleet
from whintrail.standins.scripted import Engine, Gateway, configuration, query, wait_for
from whintrail.subset.assignment import SubsetAssignment
from whintrail.subset.plan import SubsetPlan

from .helpers import SECOND, PolicyDriver, engine, query_class, settings

SIZE = 8
GATEWAYS = 6
ENGINES = 24
SUBSET_SETTINGS = {"size": SIZE, "least_holders": 2, "least_stratum": 0}


# --- Routing: holders and rank of an engine in place of the fleet's size and the gateway's number.


def decisions(entries: tuple[api.EngineEntry, ...], seed: int) -> list[str]:
    """All actions of a routing policy for 300 random queries."""
    random = Random(seed)
    config = settings(
        query_class("a"),
        query_class("b", threads=4),
        fleet_size=16,
        local_number=5,
        peer_messages_allowed=True,
        overload_multiple=2.0,
    )
    driver = PolicyDriver(config, *entries, seed=seed)
    actions: list[str] = []
    for number in range(300):
        driver.now += random.randrange(30_000)
        cost = random.lognormvariate(11, 1)
        event = api.QueryArrived(
            number, random.choice("ab"), driver.now + 8 * SECOND, cost, 8.0, None, None, None, False
        )
        for action in driver.policy.handle(driver.now, event):
            actions.append(repr(action))
            if isinstance(action, api.SendAttempt):
                report = api.LoadReport(random.random(), random.random() * 8, 0.0, 0.1)
                finished = api.AttemptFinished(
                    number, 0, action.engine, api.Outcome.OK, 50_000, False, 50.0, 8.0, report
                )
                actions += map(repr, driver.policy.handle(driver.now + 50_000, finished))
        actions += map(repr, driver.policy.handle(driver.now, api.TimerFired("sweep")))
    return actions


def test_an_engine_held_by_all_gateways_is_routed_as_one_without_holders() -> None:
    entries = tuple(engine(f"s-{n}", started_us=(90 + n) * SECOND if n % 3 == 0 else None) for n in range(12))
    named = tuple(replace(entry, assigned_gateways=16, assignment_rank=5) for entry in entries)
    for seed in range(4):
        plain = decisions(entries, seed)
        assert any("SendAttempt(" in line for line in plain)
        assert decisions(named, seed) == plain


def test_holders_of_a_cold_engine_together_send_its_whole_budget() -> None:
    """If each of the 4 holders sent a share for 64 gateways, a cold engine would not be warmed; if each sent
    more than a fourth, they would exceed its budget."""
    sent = {}
    for holders in (None, 4):
        cold = engine("cold", started_us=100 * SECOND)
        entry = cold if holders is None else replace(cold, assigned_gateways=holders, assignment_rank=1)
        config = settings(
            query_class("a", target_latency_us=60 * SECOND),
            fleet_size=64,
            local_number=9,
            overload_multiple=1.0,
            initial_capacity_share=1.0,
        )
        driver = PolicyDriver(config, entry)
        count = 0
        for number in range(40):
            event = api.QueryArrived(
                number, "a", driver.now + 60 * SECOND, 500_000.0, 8.0, None, None, None, False
            )
            count += sum(isinstance(a, api.SendAttempt) for a in driver.policy.handle(driver.now, event))
        sent[holders] = count
    # Eight cores for one second, three quarters of that budget: twelve queries of half a second per window.
    assert sent[4] == 12 // 4
    assert sent[None] <= 1


def test_the_gateways_share_follows_how_many_keep_its_engines() -> None:
    config = settings(fleet_size=4000, local_number=1)
    driver = PolicyDriver(
        config, *(replace(engine(f"s-{n}"), assigned_gateways=20, assignment_rank=3) for n in range(80))
    )
    assert driver.policy.gateways_per_engine == pytest.approx(20)
    assert driver.policy.work_share == pytest.approx(1 / 20)
    full_list_event = api.EngineListReceived(api.ListKind.FULL, tuple(engine(f"s-{n}") for n in range(8)))
    driver.policy.handle(driver.now + 1, full_list_event)  # all engines are kept again
    assert driver.policy.gateways_per_engine == 4000
    assert driver.policy.work_share == pytest.approx(1 / 4000)


# --- The subset service.


class PeerMessages:
    """Records messages to other gateways."""

    def __init__(self) -> None:
        self.sent: list[tuple[int | None, bytes]] = []

    def send(self, target: int | None, payload: bytes) -> None:
        self.sent.append((target, payload))


def subset_side(
    number: int, is_idle: Callable[[str], bool] = lambda engine: True, holders: int = 2
) -> tuple[SubsetService, PeerMessages]:
    messages = PeerMessages()
    config = settings(fleet_size=GATEWAYS, local_number=number, peer_messages_allowed=True)
    return SubsetService(SubsetPlan(SIZE, holders, 0), config, messages, is_idle), messages


def full_list(count: int) -> tuple[api.EngineListReceived, dict[str, str]]:
    entries = tuple(engine(f"s-{n}") for n in range(count))
    return api.EngineListReceived(api.ListKind.CACHED, entries), {
        f"s-{n}": f"10.0.0.{n}:1" for n in range(count)
    }


def test_an_engine_that_replaces_a_departed_one_brings_its_address() -> None:
    service, _ = subset_side(0)
    event, addresses = full_list(ENGINES)
    initial = service.apply_event(event, addresses)
    assert initial is not None
    kept = {entry.engine for entry in initial.event.entries}
    assert kept == set(initial.addresses) and len(kept) < ENGINES
    assert set(service.listed_engines()) == set(addresses)  # budgets of the fleet count all engines
    visible = dict(initial.addresses)
    for name in sorted(kept)[:3]:
        removal = api.EngineListReceived(api.ListKind.DELTA, (engine(name, state=api.EngineState.REMOVED),))
        update = service.apply_event(removal, {})
        assert update is not None
        assert name not in update.addresses
        visible.update(update.addresses)
    assert set(visible) - kept  # other engines replaced them
    assert all(addresses[name] == address for name, address in visible.items())


def test_attempts_on_an_engine_that_left_the_subset_finish_before_its_removal() -> None:
    busy: set[str] = set()
    service, _ = subset_side(0, lambda name: name not in busy, holders=1)
    event, addresses = full_list(ENGINES)
    initial = service.apply_event(event, addresses)
    assert initial is not None
    dropped = ""
    for number in range(ENGINES, 4 * ENGINES):  # with more engines the subset changes
        update = service.apply_event(
            api.EngineListReceived(api.ListKind.DELTA, (engine(f"s-{number}"),)),
            {f"s-{number}": "10.0.0.1:1"},
        )
        leaving = [e for e in update.event.entries if e.state is api.EngineState.DRAINING] if update else []
        if leaving:
            dropped = leaving[0].engine
            break
    assert dropped
    busy.add(dropped)
    assert all(service.tick(n * SECOND * 2) is None for n in range(1, 5))
    busy.clear()
    updates = [service.tick(n * SECOND * 2) for n in range(5, 9)]
    removals = [update.event for update in updates if update is not None]
    assert [(e.engine, e.state) for event in removals for e in event.entries] == [
        (dropped, api.EngineState.REMOVED)
    ]


def test_probe_reports_go_to_holders_of_the_engine_only() -> None:
    service, messages = subset_side(2)
    event, addresses = full_list(ENGINES)
    initial = service.apply_event(event, addresses)
    assert initial is not None
    name = initial.event.entries[0].engine
    report = probe_reports.ProbeReport(
        probe_reports.engine_key(name), 0, api.LoadReport(0.5, 1.0, 0.0, 0.1), 8.0
    )
    assert service.broadcast_report(SECOND, probe_reports.encode([report]))
    for step in range(20):
        service.tick(SECOND + step * 62_500)
    holders = set(service.local_subset.holders_of(name)) - {2}
    assert holders and holders != set(range(GATEWAYS)) - {2}
    assert {target for target, _ in messages.sent} == holders
    assert len(messages.sent) == len(holders)


def test_with_all_engines_kept_probe_reports_are_left_to_the_common_path() -> None:
    service, messages = subset_side(2)
    event, addresses = full_list(SIZE)
    visible = service.apply_event(event, addresses)
    assert visible is not None and visible.event is event  # unchanged
    assert not service.broadcast_report(SECOND, b"")
    assert not messages.sent


# --- The operator's file.


@pytest.mark.parametrize(
    ("values", "place"),
    [
        ({"size": 4}, "subset.size"),
        ({"sise": 80}, "sise"),
        ({"regions": [{"zones": ["z1"], "first": 0}]}, "last"),
    ],
)
def test_invalid_subset_settings_are_rejected(values: dict[str, Any], place: str) -> None:
    with pytest.raises(msgspec.ValidationError, match=place):
        msgspec.convert({"subset": values}, OperatorFile)


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
    values = {"regions": [{"zones": [zone], "first": first, "last": last} for zone, first, last in regions]}
    with pytest.raises(PlanError, match=place):
        SubsetAssignment(read_plan(msgspec.convert(values, Subset)), settings(fleet_size=GATEWAYS))


def test_the_program_does_not_start_on_a_plan_that_does_not_fit_the_fleet(tmp_path: Path) -> None:
    file = tmp_path / "operator.jsonnet"
    file.write_text("{ subset: { regions: [{ zones: ['z1'], first: 0, last: 5 }] } }")
    config = configuration("n0", 1, "127.0.0.1:1", [])
    gateway = Gateway(config, tmp_path, WHINTRAIL_FILE=str(file))
    assert gateway.process.wait(15) == 1
    assert "of a fleet of 1" in gateway.log_text()


# --- Processes.


@contextmanager
def subset_fleet() -> Iterator[tuple[GatewayFleet, list[SubsetAssignment]]]:
    """Six gateway processes with about eight of 24 engines each, and the subsets as computed here."""
    engines = [Engine(f"s-{number}") for number in range(ENGINES)]
    with fleet(GATEWAYS, *engines, operator=lambda number, build: {"subset": SUBSET_SETTINGS}) as processes:
        entries = tuple(engine(e.name, kind="std-16") for e in engines)
        event = api.EngineListReceived(api.ListKind.CACHED, entries)
        subsets = []
        for number in range(GATEWAYS):
            subsets.append(
                SubsetAssignment(SubsetPlan(SIZE, 2, 0), settings(fleet_size=GATEWAYS, local_number=number))
            )
            subsets[-1].apply_list(event)
        yield processes, subsets


def ask(processes: GatewayFleet, number: int, times: int) -> None:
    client = processes.client(number)
    for _ in range(times):
        assert client.ask(query()).rows
    client.close()


def engines_used(processes: GatewayFleet) -> set[str]:
    return {engine.name for engine in processes.engines if engine.queries}


def test_each_gateway_sends_to_its_subset_and_receives_drains() -> None:
    with subset_fleet() as (processes, subsets):
        for number in range(GATEWAYS):
            for item in processes.engines:
                item.queries.clear()
            ask(processes, number, 30)
            assert len(engines_used(processes)) > 1
            assert engines_used(processes) <= set(subsets[number].kept)
        # All engines of a gateway but one begin to drain: new queries go to that one.
        kept = sorted(subsets[0].kept)
        remaining = kept[0]
        engines = {item.name: item for item in processes.engines}
        processes.bulletin.publish(*(engines[name].entry("leaving") for name in kept[1:]))
        for item in processes.engines:
            item.queries.clear()

        def only_remaining_used() -> bool:
            for item in processes.engines:
                item.queries.clear()
            ask(processes, 0, 8)
            return engines_used(processes) == {remaining}

        wait_for(only_remaining_used)


def test_probe_reports_pass_only_between_gateways_that_share_an_engine() -> None:
    with subset_fleet() as (processes, subsets):
        for number in range(GATEWAYS):
            ask(processes, number, 10)
        wait_for(lambda: len(processes.relay.delivered) >= 4)
        sharing = {
            (a, b)
            for a in range(GATEWAYS)
            for b in range(GATEWAYS)
            if a != b and set(subsets[a].kept) & set(subsets[b].kept)
        }
        assert set(processes.relay.delivered) <= sharing


def test_an_engine_whose_holders_all_died_is_used_again_when_one_returns() -> None:
    with subset_fleet() as (processes, subsets):
        name = min(subsets[0].kept)
        holders = subsets[0].holders_of(name)
        for number in holders:
            processes.gateways[number].process.kill()
            processes.gateways[number].kill()
        others = [number for number in range(GATEWAYS) if number not in holders]
        for number in others:
            ask(processes, number, 10)  # they go on serving without it
        item = next(e for e in processes.engines if e.name == name)
        assert not item.queries
        processes.gateways[holders[0]] = processes.start(holders[0])
        wait_for(lambda: processes.is_ready(holders[0]))

        def reached() -> bool:
            ask(processes, holders[0], 10)
            return bool(item.queries)

        wait_for(reached)
