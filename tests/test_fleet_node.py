"""Slots, drains and releases in simulated time, checked by an auditor that observes the fleet from outside.

Broken variants of the real classes show that the auditor detects their faults.
"""

from random import Random

import pytest

from whintrail.fleet import node as node_module
from whintrail.fleet.budget import DisruptionBudget, Unavailable, absolute_limit, exhausted_budget
from whintrail.fleet.leader import EngineAvailability, Leader, LeaderRules
from whintrail.fleet.leader_client import LeaderClient
from whintrail.fleet.node import FleetConfig
from whintrail.fleet.release import BuildComparison, ComparisonRules, Verdict
from whintrail.fleet.state import DONE, HALTED, ROLLING_BACK, RUNNING, FleetState, Slot
from whintrail.fleet.wire import (
    DrainRequest,
    GatewayReport,
    ReleaseRequest,
    ReleaseStatusRequest,
    SlotReturn,
    UndrainRequest,
)
from whintrail.standins.fleet_simulation import FleetSimulation, deliver_once
from whintrail.standins.restart_audit import Auditor, Supervisor, create_supervisors

ZONES = ("a", "b", "c")
ENGINES = {f"e{n}": EngineAvailability(ZONES[n % 3]) for n in range(9)}


def make_world(
    count: int = 9, fleet_budget: float = 2, zone_budget: float = 1, seed: int = 1, proven_us: int = 1_000_000
) -> tuple[FleetSimulation, Auditor, list[Supervisor]]:
    rules = LeaderRules(
        DisruptionBudget(fleet_budget, zone_budget), DisruptionBudget(2, 1), min_serving_us=proven_us
    )

    def fleet_config(number: int, build: str) -> FleetConfig:
        return FleetConfig(
            "f", number, count, (0, 1, 2), build=build, zone=number % 3, zones=ZONES, rules=rules
        )

    world = FleetSimulation(fleet_config, count, seed, dict(ENGINES), drift=0.005)
    auditor = Auditor(
        world,
        absolute_limit(fleet_budget, count),
        absolute_limit(zone_budget, count // 3),
        lambda n: ZONES[n % 3],
    )
    assert world.run(8, lambda: world.leader() is not None)
    world.run(3)
    return world, auditor, create_supervisors(world, auditor)


def submit(
    world: FleetSimulation, number: int, change: object, timeout_s: float = 5.0, retries: bool = True
) -> int:
    """Sends a request and returns the status of the answer."""
    node = world.node(number)
    request_key = node.submit(world.clock(number), change, timeout_s, retries)  # type: ignore[arg-type]
    statuses: list[int] = []

    def answered() -> bool:
        statuses.extend(o.status for o in node.take_outcomes() if o.key == request_key)
        return bool(statuses)

    assert world.run(timeout_s + 1, answered)
    return statuses[0]


# --- Slots.


def test_slot_is_granted_within_a_second_and_freed_after_restart() -> None:
    world, auditor, supervisors = make_world()
    supervisors[5].restart("old")
    assert world.run(1.0, lambda: bool(supervisors[5].slot_waits_us))
    assert world.run(3, lambda: world.processes[5] is None)
    assert 5 in world.state().slots
    assert world.run(8, lambda: not world.state().slots)
    assert world.processes[5] is not None and not auditor.breaches


def test_concurrent_restarts_stay_within_the_budget() -> None:
    world, auditor, supervisors = make_world(fleet_budget=1)
    for number in (3, 4, 5, 6):
        supervisors[number].restart("old")
    world.run(60, lambda: all(supervisors[n].restart_count for n in (3, 4, 5, 6)))
    assert all(supervisors[n].restart_count == 1 for n in (3, 4, 5, 6))
    assert not auditor.breaches and max(w.total_down for w in auditor.departures) == 1


def test_voter_restarts_keep_quorum_whatever_the_budget_allows() -> None:
    world, auditor, supervisors = make_world(fleet_budget=3, zone_budget=3)
    for number in (0, 1, 2):
        supervisors[number].restart("old")
    for _ in range(200):
        world.run(0.2)
        assert sum(world.processes[n] is None for n in (0, 1, 2)) <= 1
    assert [supervisors[n].restart_count for n in (0, 1, 2)] == [1, 1, 1]
    consensus = world.node(0).consensus
    assert consensus is not None and consensus.epoch >> 32 == 1 and not auditor.breaches


def test_crashed_gateways_count_against_the_budget() -> None:
    world, auditor, supervisors = make_world(fleet_budget=2)
    supervisors[7].kill(10_000_000)
    supervisors[8].kill(10_000_000)
    world.run(4)
    supervisors[3].restart("old", 4)
    world.run(5)
    assert not supervisors[3].slot_waits_us
    assert world.run(30, lambda: world.processes[7] is not None) and not auditor.breaches


def test_crashed_holder_keeps_slot_until_operator_gives_it_up() -> None:
    world, _, supervisors = make_world(fleet_budget=1)
    supervisors[3].down_us = 1 << 50
    supervisors[3].restart("old")
    assert world.run(3, lambda: world.processes[3] is None)
    supervisors[4].restart("old", 40)
    world.run(30)
    assert not supervisors[4].slot_waits_us and 3 in world.state().slots
    assert submit(world, 5, SlotReturn(3, 0, True)) == 0
    assert world.run(3, lambda: 3 not in world.state().slots)
    assert not supervisors[4].slot_waits_us  # the crashed gateway still counts as unavailable


def test_unused_slot_is_returned_by_its_holder() -> None:
    world, auditor, supervisors = make_world(fleet_budget=1)
    supervisors[3].termination_delay_us = 5_000_000
    supervisors[3].restart("old")
    assert world.run(2, lambda: bool(supervisors[3].slot_waits_us))
    world.run(0.5)
    assert 3 in world.state().slots
    assert world.run(3, lambda: not world.state().slots)
    assert world.run(6, lambda: world.processes[3] is None)
    assert auditor.departures[-1].fence == 0  # it restarted without a slot, which is counted


def test_holder_paused_past_its_deadline_has_no_slot() -> None:
    world, auditor, supervisors = make_world(fleet_budget=1)
    supervisors[3].termination_delay_us = 100_000
    supervisors[3].restart("old")
    assert world.run(2, lambda: bool(supervisors[3].slot_waits_us))
    world.pause(3, 5)
    assert world.run(4, lambda: not world.node(world.leader() or 0).membership.is_alive(3))
    assert submit(world, 5, SlotReturn(3, 0, True)) == 0
    world.run(6)
    assert auditor.departures[-1].number == 3 and auditor.departures[-1].fence == 0


@pytest.mark.parametrize("seed", range(4))
def test_budget_holds_under_random_faults(seed: int) -> None:
    random = Random(seed)
    world, auditor, supervisors = make_world(count=12, fleet_budget=3, zone_budget=1, seed=seed)
    for _ in range(30):
        world.fault = deliver_once
        if random.random() < 0.5:
            cut, loss = set(random.sample(range(12), 3)), random.choice([0.05, 0.33])

            def fault(a: int, b: int, r: Random, cut: set[int] = cut, loss: float = loss) -> list[float]:
                return [] if (a in cut) != (b in cut) or r.random() < loss else [r.random() * 0.05]

            world.fault = fault
        for supervisor in random.sample(supervisors, 4):
            supervisor.termination_delay_us = random.choice([0, 0, 500_000, 2_000_000])
            supervisor.restart("old", 8)
        victim = random.choice(supervisors)
        match random.randrange(3):
            case 0 if world.processes[victim.number] is not None:
                victim.kill(random.randrange(500_000, 6_000_000))
            case 1:
                world.pause(victim.number, random.random() * 5)
        world.run(random.random() * 5)
    assert not auditor.breaches
    assert sum(w.fence > 0 for w in auditor.departures) >= 10  # granting nothing would keep the budget too


# --- Broken variants that the auditor has to detect.


class UnfencedClient(LeaderClient):
    """Uses a granted slot whenever it likes: it checks neither the deadline nor the current fence."""

    def usable_fence(self, now: int, state: FleetState) -> int:
        return self.held_slot.fence if self.held_slot is not None else 0

    def _unused_slot_return(self, now: int, state: FleetState) -> SlotReturn | None:
        return None


@pytest.mark.parametrize("client_class", [LeaderClient, UnfencedClient])
def test_detects_slot_use_without_fencing(
    client_class: type[LeaderClient], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(node_module, "LeaderClient", client_class)
    world, auditor, supervisors = make_world(fleet_budget=1)
    supervisors[3].termination_delay_us, supervisors[4].down_us = 12_000_000, 60_000_000
    supervisors[3].restart("old")
    assert world.run(2, lambda: bool(supervisors[3].slot_waits_us))
    world.pause(3, 5)
    assert world.run(4, lambda: not world.node(world.leader() or 0).membership.is_alive(3))
    assert submit(world, 5, SlotReturn(3, 0, True)) == 0
    world.run(6)
    supervisors[4].restart("old")
    assert world.run(3, lambda: world.processes[4] is None)
    world.run(6)
    assert auditor.departures[-1].number == 3
    assert bool(auditor.breaches) is (client_class is UnfencedClient)


@pytest.mark.parametrize("client_class", [LeaderClient, UnfencedClient])
def test_detects_late_grant_used_after_halt(
    client_class: type[LeaderClient], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(node_module, "LeaderClient", client_class)
    world, auditor, supervisors = make_world(fleet_budget=1)
    assert submit(world, 4, ReleaseRequest("new", (500, 1000), "")) == 0
    supervisors[3].termination_delay_us = 4_000_000
    supervisors[3].restart("new")
    assert world.run(2, lambda: bool(supervisors[3].slot_waits_us))
    world.pause(3, 2.5)
    assert submit(world, 4, ReleaseStatusRequest(HALTED, "by hand")) == 0
    auditor.halted_at = world.now
    world.run(6)
    assert auditor.departures[-1].number == 3
    assert bool(auditor.breaches) is (client_class is UnfencedClient)


def test_detects_slot_freed_by_leader_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    granted: dict[tuple[int, int], int] = {}

    class FreesSlotsByTimeout(Leader):
        def unavailable_reason(self, now: int, number: int) -> str:
            return "slot" if number in self.replica.state.slots else ""

        def _has_restarted(self, now: int, number: int, slot: Slot) -> bool:
            return now - granted.setdefault((number, slot.fence), now) > 4_000_000

    monkeypatch.setattr(node_module, "Leader", FreesSlotsByTimeout)
    world, auditor, supervisors = make_world(fleet_budget=1)
    supervisors[3].down_us = 20_000_000
    supervisors[3].restart("old")
    world.run(2)
    supervisors[4].restart("old")
    world.run(10)
    assert auditor.breaches


def test_detects_budget_that_ignores_crashed_gateways(monkeypatch: pytest.MonkeyPatch) -> None:
    class IgnoresCrashedGateways(Leader):
        def unavailable_reason(self, now: int, number: int) -> str:
            return "slot" if number in self.replica.state.slots else ""

    monkeypatch.setattr(node_module, "Leader", IgnoresCrashedGateways)
    world, auditor, supervisors = make_world(fleet_budget=2)
    supervisors[7].kill(60_000_000)
    supervisors[8].kill(60_000_000)
    world.run(6)
    supervisors[3].restart("old")
    world.run(3)
    assert auditor.breaches


@pytest.mark.parametrize("seed", range(4))
def test_leader_crash_between_grant_and_reply(seed: int) -> None:
    world, auditor, supervisors = make_world(fleet_budget=1, seed=seed)
    supervisors[4].down_us = 3_000_000
    supervisors[3].restart("old")
    leader = world.leader()
    assert leader is not None
    assert world.run(2, lambda: 3 in world.node(leader).state.slots)  # committed
    assert not supervisors[3].slot_waits_us  # but not answered
    auditor.down[leader] = (world.now, False)
    world.kill(leader)
    world.run(0.5)
    supervisors[leader].start()
    supervisors[4].restart("old")
    world.run(30)
    assert supervisors[3].restart_count and supervisors[4].restart_count
    assert not auditor.breaches and len({w.fence for w in auditor.departures if w.fence}) >= 2


# --- Drains of engines.


def is_drain_done(world: FleetSimulation, engine: str) -> bool:
    drain = world.state().drains.get(engine)
    return drain is not None and drain.done


def test_drain_completes_once_every_gateway_has_confirmed() -> None:
    world, _, _ = make_world()
    world.open_attempts[6, "e1"] = 2
    assert submit(world, 8, DrainRequest("e1", "disk", 0, False)) == 0
    assert world.run(0.6, lambda: all("e1" in world.node(n).drained_engines() for n in range(9)))
    world.run(5)
    assert not is_drain_done(world, "e1")
    leader = world.node(world.leader() or 0)
    assert leader.leader is not None and leader.leader.drain_blockers(leader.now, "e1") == [6]
    world.open_attempts.clear()
    assert world.run(3, lambda: is_drain_done(world, "e1"))
    assert submit(world, 2, UndrainRequest("e1", "")) == 0
    assert world.run(2, lambda: not any("e1" in world.node(n).drained_engines() for n in range(9)))


def test_engine_budget_counts_unfit_engines() -> None:
    world, _, _ = make_world()
    for number in range(9):
        process = world.processes[number]
        assert process is not None
        process.engines = {**ENGINES, "e5": EngineAvailability("c", "not fit")}
    assert submit(world, 8, DrainRequest("e2", "", 0, False)) == 1  # its zone has an unfit engine, e5
    assert submit(world, 8, DrainRequest("nobody", "", 0, False)) == 1
    assert submit(world, 8, DrainRequest("e1", "", 0, False)) == 0
    assert submit(world, 8, DrainRequest("e0", "", 0, False)) == 1  # two are unavailable
    # It is unavailable already, so its drain costs no capacity.
    assert submit(world, 8, DrainRequest("e5", "", 0, False)) == 0


def test_drain_is_undone_when_losses_exhaust_the_budget() -> None:
    world, _, _ = make_world()
    world.open_attempts[6, "e1"] = 1  # so that the drain is not done
    assert submit(world, 8, DrainRequest("e1", "", 0, False)) == 0
    for number in range(9):
        process = world.processes[number]
        assert process is not None
        process.engines = {
            **ENGINES,
            "e2": EngineAvailability("c", "not fit"),
            "e5": EngineAvailability("c", "not fit"),
        }
    world.run(1)
    assert "e1" in world.state().drains  # a short loss does not undo it
    assert world.run(4, lambda: "e1" not in world.state().drains)
    assert any("halted" in str(more.get("why")) for _, _, what, more in world.log_lines)


def test_drain_past_its_limit_is_undone_or_held() -> None:
    world, _, _ = make_world()
    world.open_attempts[6, "e1"] = world.open_attempts[6, "e2"] = 1
    assert submit(world, 8, DrainRequest("e1", "", 3, True)) == 0
    assert submit(world, 8, DrainRequest("e2", "", 3, False)) == 0
    assert world.run(6, lambda: "e1" not in world.state().drains)
    assert "e2" in world.state().drains


class TreatsSilenceAsConfirmation(Leader):
    """Treats a missing report as confirmation."""

    def drain_blockers(self, now: int, engine: str) -> list[int]:
        return [
            n
            for n in super().drain_blockers(now, engine)
            if n in self.reports and self.reports[n].report.busy_drains
        ]


@pytest.mark.parametrize("leader", [Leader, TreatsSilenceAsConfirmation])
def test_detects_drain_completed_despite_silent_gateway(
    leader: type[Leader], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(node_module, "Leader", leader)
    world, _, _ = make_world()
    world.open_attempts[6, "e1"] = 1
    world.fault = lambda a, b, _: [] if a == 6 else [0.0]  # it receives, but its datagrams are lost
    assert submit(world, 8, DrainRequest("e1", "", 0, False)) == 0
    world.run(3)
    done_too_early = is_drain_done(world, "e1") and world.open_attempts[6, "e1"] > 0
    assert done_too_early is (leader is TreatsSilenceAsConfirmation)


def test_silent_gateway_blocks_drain_until_it_reports_or_is_given_up() -> None:
    world, _, _ = make_world()
    world.kill(6)
    world.pause(7, 12)
    assert submit(world, 8, DrainRequest("e1", "", 0, False)) == 0
    world.run(20)  # gateway 6 is removed by now, but it may only be cut off
    assert world.node(1).membership.members[6].state.name == "GONE"
    assert not is_drain_done(world, "e1")
    assert submit(world, 8, SlotReturn(5, 0, True)) == 1  # gateway 5 is alive
    assert submit(world, 8, SlotReturn(6, 0, True)) == 0
    assert world.run(5, lambda: is_drain_done(world, "e1"))


def test_leaving_gateway_blocks_drain_only_for_its_grace_period() -> None:
    world, _, supervisors = make_world()
    supervisors[6].down_us = 1 << 50
    supervisors[6].restart("old")
    assert world.run(3, lambda: world.processes[6] is None)
    assert submit(world, 8, DrainRequest("e1", "", 0, False)) == 0
    world.run(1)
    assert not is_drain_done(world, "e1")
    assert world.run(8, lambda: is_drain_done(world, "e1"))


# --- Releases.


def request_restarts(world: FleetSimulation, supervisors: list[Supervisor], build: str) -> None:
    """Requests a restart of every gateway that is not on the build."""
    for supervisor in supervisors:
        process = world.processes[supervisor.number]
        if process is not None and process.build != build:
            supervisor.restart(build, 20)


def release_status(world: FleetSimulation) -> int | None:
    release = world.state().release
    return release.status if release is not None else None


def test_good_build_passes_all_steps_despite_leader_crash() -> None:
    world, auditor, supervisors = make_world(count=9, fleet_budget=2, zone_budget=1)
    world.failure_shares = {"old": (0.01, 0.01, 0.02), "new": (0.01, 0.01, 0.02)}
    for process in world.processes:
        assert process is not None
        process.queries_per_s = 60.0
    world.queries_per_s = 60.0
    assert submit(world, 4, ReleaseRequest("new", (120, 500, 1000), "")) == 0
    killed, state = False, world.state().release
    for _ in range(60):
        request_restarts(world, supervisors, "new")
        world.run(5)
        state = world.state().release
        assert state is not None
        if state.step == 1 and not killed:
            leader = world.leader()
            assert leader is not None
            supervisors[leader].kill(2_000_000)
            killed = True
        if state.status == DONE:
            break
    assert state is not None and state.status == DONE and state.status_reason != "back", state
    assert killed and all(p is not None and p.build == "new" for p in world.processes)
    assert not auditor.breaches
    steps = [(at, more["step"]) for at, _, what, more in world.log_lines if what == "release step"]
    assert {step for _, step in steps} == {2, 3}


def test_canary_failing_under_load_halts_release_then_rollback() -> None:
    world, auditor, supervisors = make_world(count=9, fleet_budget=2, zone_budget=1)
    world.failure_shares = {"old": (0.01, 0.0, 0.0), "new": (0.01, 0.0, 0.0)}
    assert submit(world, 4, ReleaseRequest("new", (120, 1000), "")) == 0
    request_restarts(world, supervisors, "new")
    world.run(15)
    state = world.state().release
    assert state is not None and (state.status, state.step) == (RUNNING, 0)  # too little traffic to decide
    assert sum(p is not None and p.build == "new" for p in world.processes) == 2
    world.failure_shares["new"] = (0.2, 0.0, 0.0)
    for process in world.processes:
        if process is not None:
            process.queries_per_s = 80.0
    assert world.run(20, lambda: release_status(world) == HALTED)
    before = world.now
    request_restarts(world, supervisors, "new")
    world.run(10)
    assert not any(w.fence and w.departed_us > before + 2_000_000 for w in auditor.departures)
    assert submit(world, 5, ReleaseStatusRequest(ROLLING_BACK, "")) == 0
    for _ in range(10):
        for supervisor in supervisors:
            process = world.processes[supervisor.number]
            if process is not None and process.build == "new":
                supervisor.restart("old", 10)
        world.run(5)
    state = world.state().release
    assert state is not None and (state.status, state.status_reason) == (DONE, "back")
    assert all(p is not None and p.build == "old" for p in world.processes) and not auditor.breaches


def test_rollback_completes_though_one_gateway_never_returns() -> None:
    world, _, supervisors = make_world(count=9, fleet_budget=2, zone_budget=1)
    assert submit(world, 4, ReleaseRequest("new", (120, 1000), "")) == 0
    supervisors[5].restart("new")
    assert world.run(12, lambda: bool(world.processes[5] and world.processes[5].build == "new"))
    world.run(4)
    assert submit(world, 4, ReleaseStatusRequest(ROLLING_BACK, "")) == 0
    world.kill(5)
    world.run(6)
    assert release_status(world) == ROLLING_BACK
    assert submit(world, 4, SlotReturn(5, 0, True)) == 0
    assert world.run(6, lambda: release_status(world) == DONE)


def test_halt_applies_within_two_seconds_and_resume_needs_quorum() -> None:
    world, auditor, supervisors = make_world(count=9, fleet_budget=2, zone_budget=1)
    assert submit(world, 4, ReleaseRequest("new", (500, 1000), "")) == 0
    request_restarts(world, supervisors[:7], "new")
    world.run(1)
    world.fault = lambda a, b, r: [] if r.random() < 0.33 else [r.random() * 0.1]
    before = world.now
    assert submit(world, 7, ReleaseStatusRequest(HALTED, "by hand")) == 0
    assert world.now - before < 2_000_000
    auditor.halted_at = world.now
    world.run(20)
    assert not auditor.breaches
    world.fault = lambda a, b, _: [] if (a in (0, 1, 2)) or (b in (0, 1, 2)) else [0.0]
    world.run(3)
    assert submit(world, 7, ReleaseStatusRequest(RUNNING, "")) == 2  # RETRY_LATER: there is no quorum


def test_release_by_zone_proceeds_in_order_despite_zone_partition() -> None:
    world, auditor, supervisors = make_world(count=9, fleet_budget=2, zone_budget=2)
    for process in world.processes:
        assert process is not None
        process.queries_per_s = 80.0
    world.queries_per_s = 80.0
    assert submit(world, 4, ReleaseRequest("new", (1000,), "", True)) == 0
    order: list[str] = []
    for turn in range(50):
        request_restarts(world, supervisors, "new")
        if turn == 2:  # cuts off the last zone for a while
            world.fault = lambda a, b, _: [] if (a % 3 == 2) != (b % 3 == 2) else [0.0]
        if turn == 5:
            world.fault = deliver_once
        world.run(4)
        for zone in ZONES:
            there = [p for p in world.processes if p is not None and ZONES[p.number % 3] == zone]
            if zone not in order and len(there) == 3 and all(p.build == "new" for p in there):
                order.append(zone)
        if release_status(world) == DONE:
            break
    assert release_status(world) == DONE and order == ["a", "b", "c"] and not auditor.breaches


def test_halt_during_partition_holds_on_majority_side_then_everywhere() -> None:
    world, auditor, supervisors = make_world(count=9, fleet_budget=2, zone_budget=1)
    assert submit(world, 4, ReleaseRequest("new", (1000,), "")) == 0
    world.fault = lambda a, b, _: [] if (a in (0, 3, 6)) != (b in (0, 3, 6)) else [0.0]
    assert world.run(5, lambda: world.leader() in (1, 2))
    assert submit(world, 4, ReleaseStatusRequest(HALTED, "by hand"), 10) == 0
    auditor.halted_at = world.now
    request_restarts(world, supervisors, "new")
    world.run(10)
    assert not any(w.fence for w in auditor.departures)  # also on the side that the halt has not reached
    world.fault = deliver_once
    assert world.run(5, lambda: world.node(6).state.release is not None and release_status(world) == HALTED)
    request_restarts(world, supervisors, "new")
    world.run(10)
    assert not auditor.breaches and not any(w.fence for w in auditor.departures)


def test_send_rate_is_bounded() -> None:
    world, _, _ = make_world()
    node = world.node(8)
    for _ in range(5000):
        node.submit(world.clock(8), UndrainRequest("e1", ""), 5, False)
    before, began = world.sent[8], world.now
    world.run(5)
    assert world.sent[8] - before <= 400 * ((world.now - began) / 1e6 + 1)
    assert node.counters["held_back"] > 100
    # It is still alive.
    assert world.leader() is not None and node.membership.count_in(node.membership.local.state) == 9


def make_report(build: str, *counts: int) -> GatewayReport:
    return GatewayReport(0, 0, 0, build, 0, 10_000, 0, (), ((counts[0], counts[1], counts[2], counts[3]),))


def run_comparison(
    seed: int, new_failure_share: float, old_failure_share: float, queries_per_s: float, seconds: int
) -> tuple[Verdict, int]:
    """The verdict of a comparison with two shares of failures, and after how many seconds."""
    random, comparison = Random(seed), BuildComparison("new", ComparisonRules())
    totals = {number: [0, 0] for number in range(10)}
    for second in range(seconds):
        for number, total in totals.items():
            share, build = (new_failure_share, "new") if number == 0 else (old_failure_share, "old")
            taken = int(queries_per_s) + (random.random() < queries_per_s % 1)
            total[0] += taken
            total[1] += sum(random.random() < share for _ in range(taken))
            comparison.add_report(number, 1, make_report(build, total[0], total[1], 0, 0))
        verdict, _ = comparison.evaluate()
        if verdict is not Verdict.WAIT:
            return verdict, second
    return Verdict.WAIT, seconds


def test_comparison_false_halt_and_false_pass_rates() -> None:
    same = [run_comparison(seed, 0.02, 0.02, 5, 400)[0] for seed in range(100)]
    assert same.count(Verdict.HALT) <= 4 and same.count(Verdict.GO) >= 90
    worse = [run_comparison(seed, 0.12, 0.02, 5, 400)[0] for seed in range(100)]
    assert worse.count(Verdict.GO) <= 6 and worse.count(Verdict.HALT) >= 90
    assert run_comparison(1, 0.5, 0.02, 0.05, 60)[0] is Verdict.WAIT  # three queries are no evidence


def test_counter_reset_is_not_counted_as_traffic() -> None:
    comparison = BuildComparison("new")
    comparison.add_report(1, 1, make_report("new", 1000, 900, 0, 0))
    comparison.add_report(1, 2, make_report("new", 0, 0, 0, 0))
    comparison.add_report(1, 2, make_report("new", 10, 0, 0, 0))
    assert comparison.new.taken == {0: 10} and comparison.new.bad[0, 0] == 0


def test_budget_limits_as_counts_and_shares() -> None:
    assert [
        absolute_limit(2, 200),
        absolute_limit(0.1, 200),
        absolute_limit(0.001, 200),
        absolute_limit(0.1, 0),
    ] == [2, 20, 1, 0]
    unavailable = [Unavailable("n1", "a", "gone"), Unavailable("n2", None, "no fresh report")]
    sizes = {"a": 10, "b": 10}
    assert exhausted_budget(DisruptionBudget(3, 2), unavailable, "b", sizes, 20) == ""
    # The zone of n2 is unknown, so it counts in each.
    assert "n2" in exhausted_budget(DisruptionBudget(3, 1), unavailable, "b", sizes, 20)
    assert "2 of 2 out" in exhausted_budget(DisruptionBudget(2, 9), unavailable, "b", sizes, 20)
