"""Slots, drains and releases in simulated time, with an auditor that sees only from outside; and variants of
the real cores that it has to catch."""

from random import Random

import pytest

from whintrail.fleet import node as node_module
from whintrail.fleet.budget import Allowed, Out, most, room
from whintrail.fleet.holder import Holder
from whintrail.fleet.leader import EngineSeen, Leader, Rules
from whintrail.fleet.node import Given
from whintrail.fleet.release import Comparison, Measure, Verdict
from whintrail.fleet.state import BACK, DONE, HALTED, RUNNING, Slot, State
from whintrail.fleet.wire import GiveBack, Report, WantDrain, WantRelease, WantTurn, WantUndrain
from whintrail.standins.simulated import World, sound
from whintrail.standins.supervised import Auditor, Supervisor, supervise

ZONES = ("a", "b", "c")
ENGINES = {f"e{n}": EngineSeen(ZONES[n % 3]) for n in range(9)}


def make(
    count: int = 9, allowed: float = 2, zone: float = 1, seed: int = 1, proven_us: int = 1_000_000
) -> tuple[World, Auditor, list[Supervisor]]:
    rules = Rules(Allowed(allowed, zone), Allowed(2, 1), proven_us=proven_us)

    def given(number: int, build: str) -> Given:
        return Given("f", number, count, (0, 1, 2), build=build, zone=number % 3, zones=ZONES, rules=rules)

    world = World(given, count, seed, dict(ENGINES), drift=0.005)
    auditor = Auditor(world, most(allowed, count), most(zone, count // 3), lambda n: ZONES[n % 3])
    assert world.run(8, lambda: world.leader() is not None)
    world.run(3)
    return world, auditor, supervise(world, auditor)


def wish(world: World, number: int, change: object, seconds: float = 5.0, waits: bool = True) -> int:
    """The word of the answer."""
    node = world.node(number)
    key = node.wish(world.clock(number), change, seconds, waits)  # type: ignore[arg-type]
    words: list[int] = []

    def answered() -> bool:
        words.extend(o.word for o in node.outcomes() if o.key == key)
        return bool(words)

    assert world.run(seconds + 1, answered)
    return words[0]


# --- Slots.


def test_a_slot_comes_in_under_a_second_and_frees_once_the_new_process_is_proven() -> None:
    world, auditor, supervisors = make()
    supervisors[5].restart("old")
    assert world.run(1.0, lambda: bool(supervisors[5].waits_us))
    assert world.run(3, lambda: world.processes[5] is None)
    assert 5 in world.state().slots
    assert world.run(8, lambda: not world.state().slots)
    assert world.processes[5] is not None and not auditor.breaches


def test_two_at_the_same_moment_never_exceed_the_budget() -> None:
    world, auditor, supervisors = make(allowed=1)
    for number in (3, 4, 5, 6):
        supervisors[number].restart("old")
    world.run(60, lambda: all(supervisors[n].restarted for n in (3, 4, 5, 6)))
    assert all(supervisors[n].restarted == 1 for n in (3, 4, 5, 6))
    assert not auditor.breaches and max(w.out for w in auditor.went) == 1


def test_the_council_keeps_its_majority_whatever_the_budget_allows() -> None:
    world, auditor, supervisors = make(allowed=3, zone=3)
    for number in (0, 1, 2):
        supervisors[number].restart("old")
    for _ in range(200):
        world.run(0.2)
        assert sum(world.processes[n] is None for n in (0, 1, 2)) <= 1
    assert [supervisors[n].restarted for n in (0, 1, 2)] == [1, 1, 1]
    council = world.node(0).council
    assert council is not None and council.epoch >> 32 == 1 and not auditor.breaches


def test_losses_use_the_budget() -> None:
    world, auditor, supervisors = make(allowed=2)
    supervisors[7].kill(10_000_000)
    supervisors[8].kill(10_000_000)
    world.run(4)
    supervisors[3].restart("old", 4)
    world.run(5)
    assert not supervisors[3].waits_us
    assert world.run(30, lambda: world.processes[7] is not None) and not auditor.breaches


def test_a_holder_that_dies_keeps_its_slot_until_a_person_gives_it_up() -> None:
    world, _, supervisors = make(allowed=1)
    supervisors[3].down_us = 1 << 50
    supervisors[3].restart("old")
    assert world.run(3, lambda: world.processes[3] is None)
    supervisors[4].restart("old", 40)
    world.run(30)
    assert not supervisors[4].waits_us and 3 in world.state().slots
    assert wish(world, 5, GiveBack(3, 0, True)) == 0
    assert world.run(3, lambda: 3 not in world.state().slots)
    assert not supervisors[4].waits_us  # it is down all the same, and counts


def test_a_slot_that_is_not_used_comes_back_by_its_holder() -> None:
    world, auditor, supervisors = make(allowed=1)
    supervisors[3].slow_us = 5_000_000
    supervisors[3].restart("old")
    assert world.run(2, lambda: bool(supervisors[3].waits_us))
    world.run(0.5)
    assert 3 in world.state().slots
    assert world.run(3, lambda: not world.state().slots)
    assert world.run(6, lambda: world.processes[3] is None)
    assert auditor.went[-1].fence == 0  # it went all the same, and that is counted


def test_one_stopped_for_five_seconds_wakes_to_no_slot() -> None:
    world, auditor, supervisors = make(allowed=1)
    supervisors[3].slow_us = 100_000
    supervisors[3].restart("old")
    assert world.run(2, lambda: bool(supervisors[3].waits_us))
    world.stop(3, 5)
    assert world.run(4, lambda: not world.node(world.leader() or 0).members.alive(3))
    assert wish(world, 5, GiveBack(3, 0, True)) == 0
    world.run(6)
    assert auditor.went[-1].number == 3 and auditor.went[-1].fence == 0


@pytest.mark.parametrize("seed", range(4))
def test_no_breach_under_random_faults(seed: int) -> None:
    random = Random(seed)
    world, auditor, supervisors = make(count=12, allowed=3, zone=1, seed=seed)
    for _ in range(30):
        world.fault = sound
        if random.random() < 0.5:
            cut, loss = set(random.sample(range(12), 3)), random.choice([0.05, 0.33])

            def fault(a: int, b: int, r: Random, cut: set[int] = cut, loss: float = loss) -> list[float]:
                return [] if (a in cut) != (b in cut) or r.random() < loss else [r.random() * 0.05]

            world.fault = fault
        for supervisor in random.sample(supervisors, 4):
            supervisor.slow_us = random.choice([0, 0, 500_000, 2_000_000])
            supervisor.restart("old", 8)
        victim = random.choice(supervisors)
        match random.randrange(3):
            case 0 if world.processes[victim.number] is not None:
                victim.kill(random.randrange(500_000, 6_000_000))
            case 1:
                world.stop(victim.number, random.random() * 5)
        world.run(random.random() * 5)
    assert not auditor.breaches
    assert sum(w.fence > 0 for w in auditor.went) >= 10  # it is no way to keep the budget to grant nothing


# --- Variants that the auditor has to catch.


class Unfenced(Holder):
    """Takes an answer once given for good: it looks at no clock, and not at who holds the slot by now."""

    def may_go(self, now: int, state: State) -> int:
        return self.held.fence if self.held is not None else 0

    def _unused(self, now: int, state: State) -> GiveBack | None:
        return None


@pytest.mark.parametrize("holder", [Holder, Unfenced])
def test_caught_a_slot_without_fencing(holder: type[Holder], monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(node_module, "Holder", holder)
    world, auditor, supervisors = make(allowed=1)
    supervisors[3].slow_us, supervisors[4].down_us = 12_000_000, 60_000_000
    supervisors[3].restart("old")
    assert world.run(2, lambda: bool(supervisors[3].waits_us))
    world.stop(3, 5)
    assert world.run(4, lambda: not world.node(world.leader() or 0).members.alive(3))
    assert wish(world, 5, GiveBack(3, 0, True)) == 0
    world.run(6)
    supervisors[4].restart("old")
    assert world.run(3, lambda: world.processes[4] is None)
    world.run(6)
    assert auditor.went[-1].number == 3
    assert bool(auditor.breaches) is (holder is Unfenced)


@pytest.mark.parametrize("holder", [Holder, Unfenced])
def test_caught_a_halt_that_a_late_grant_overtakes(
    holder: type[Holder], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(node_module, "Holder", holder)
    world, auditor, supervisors = make(allowed=1)
    assert wish(world, 4, WantRelease("new", (500, 1000), "")) == 0
    supervisors[3].slow_us = 4_000_000
    supervisors[3].restart("new")
    assert world.run(2, lambda: bool(supervisors[3].waits_us))
    world.stop(3, 2.5)
    assert wish(world, 4, WantTurn(HALTED, "by hand")) == 0
    auditor.halted_at = world.now
    world.run(6)
    assert auditor.went[-1].number == 3
    assert bool(auditor.breaches) is (holder is Unfenced)


def test_caught_a_slot_freed_by_the_leaders_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    granted: dict[tuple[int, int], int] = {}

    class Impatient(Leader):
        def why_out(self, now: int, number: int) -> str:
            return "slot" if number in self.replica.state.slots else ""

        def _came_back(self, now: int, number: int, slot: Slot) -> bool:
            return now - granted.setdefault((number, slot.fence), now) > 4_000_000

    monkeypatch.setattr(node_module, "Leader", Impatient)
    world, auditor, supervisors = make(allowed=1)
    supervisors[3].down_us = 20_000_000
    supervisors[3].restart("old")
    world.run(2)
    supervisors[4].restart("old")
    world.run(10)
    assert auditor.breaches


def test_caught_a_budget_that_overlooks_the_dead(monkeypatch: pytest.MonkeyPatch) -> None:
    class Blind(Leader):
        def why_out(self, now: int, number: int) -> str:
            return "slot" if number in self.replica.state.slots else ""

    monkeypatch.setattr(node_module, "Leader", Blind)
    world, auditor, supervisors = make(allowed=2)
    supervisors[7].kill(60_000_000)
    supervisors[8].kill(60_000_000)
    world.run(6)
    supervisors[3].restart("old")
    world.run(3)
    assert auditor.breaches


@pytest.mark.parametrize("seed", range(4))
def test_the_leader_dies_between_granting_and_telling(seed: int) -> None:
    world, auditor, supervisors = make(allowed=1, seed=seed)
    supervisors[4].down_us = 3_000_000
    supervisors[3].restart("old")
    leader = world.leader()
    assert leader is not None
    assert world.run(2, lambda: 3 in world.node(leader).state.slots)  # decided
    assert not supervisors[3].waits_us  # and not told
    auditor.down[leader] = (world.now, False)
    world.kill(leader)
    world.run(0.5)
    supervisors[leader].start()
    supervisors[4].restart("old")
    world.run(30)
    assert supervisors[3].restarted and supervisors[4].restarted
    assert not auditor.breaches and len({w.fence for w in auditor.went if w.fence}) >= 2


# --- Drains of engines.


def drain_done(world: World, engine: str) -> bool:
    drain = world.state().drains.get(engine)
    return drain is not None and drain.done


def test_a_drain_reaches_all_and_is_done_once_all_have_said_so() -> None:
    world, _, _ = make()
    world.busy[6, "e1"] = 2
    assert wish(world, 8, WantDrain("e1", "disk", 0, False)) == 0
    assert world.run(0.6, lambda: all("e1" in world.node(n).drained() for n in range(9)))
    world.run(5)
    assert not drain_done(world, "e1")
    leader = world.node(world.leader() or 0)
    assert leader.leader is not None and leader.leader.waits_for(leader.now, "e1") == [6]
    world.busy.clear()
    assert world.run(3, lambda: drain_done(world, "e1"))
    assert wish(world, 2, WantUndrain("e1", "")) == 0
    assert world.run(2, lambda: not any("e1" in world.node(n).drained() for n in range(9)))


def test_the_budget_of_engines_counts_what_the_list_and_losses_have_out() -> None:
    world, _, _ = make()
    for number in range(9):
        process = world.processes[number]
        assert process is not None
        process.engines = {**ENGINES, "e5": EngineSeen("c", "not fit")}
    assert wish(world, 8, WantDrain("e2", "", 0, False)) == 1  # e5 is in its zone
    assert wish(world, 8, WantDrain("nobody", "", 0, False)) == 1
    assert wish(world, 8, WantDrain("e1", "", 0, False)) == 0
    assert wish(world, 8, WantDrain("e0", "", 0, False)) == 1  # two are out
    assert wish(world, 8, WantDrain("e5", "", 0, False)) == 0  # out already: it costs nothing more


def test_a_drain_is_halted_where_losses_use_the_budget() -> None:
    world, _, _ = make()
    world.busy[6, "e1"] = 1  # it is not done
    assert wish(world, 8, WantDrain("e1", "", 0, False)) == 0
    for number in range(9):
        process = world.processes[number]
        assert process is not None
        process.engines = {**ENGINES, "e2": EngineSeen("c", "not fit"), "e5": EngineSeen("c", "not fit")}
    world.run(1)
    assert "e1" in world.state().drains  # one that was missed for a moment halts nothing
    assert world.run(4, lambda: "e1" not in world.state().drains)
    assert any("halted" in str(more.get("why")) for _, _, what, more in world.lines)


def test_a_drain_past_its_time_undoes_itself_or_holds() -> None:
    world, _, _ = make()
    world.busy[6, "e1"] = world.busy[6, "e2"] = 1
    assert wish(world, 8, WantDrain("e1", "", 3, True)) == 0
    assert wish(world, 8, WantDrain("e2", "", 3, False)) == 0
    assert world.run(6, lambda: "e1" not in world.state().drains)
    assert "e2" in world.state().drains


class Trusting(Leader):
    """Takes silence for a yes."""

    def waits_for(self, now: int, engine: str) -> list[int]:
        return [n for n in super().waits_for(now, engine) if n in self.seen and self.seen[n].report.busy]


@pytest.mark.parametrize("leader", [Leader, Trusting])
def test_caught_a_drain_called_done_by_a_silent_member(
    leader: type[Leader], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(node_module, "Leader", leader)
    world, _, _ = make()
    world.busy[6, "e1"] = 1
    world.fault = lambda a, b, _: [] if a == 6 else [0.0]  # it hears, and is not heard
    assert wish(world, 8, WantDrain("e1", "", 0, False)) == 0
    world.run(3)
    wrong = drain_done(world, "e1") and world.busy[6, "e1"] > 0
    assert wrong is (leader is Trusting)


def test_who_is_silent_holds_up_a_drain_until_it_speaks_or_a_person_vouches_for_it() -> None:
    world, _, _ = make()
    world.kill(6)
    world.stop(7, 12)
    assert wish(world, 8, WantDrain("e1", "", 0, False)) == 0
    world.run(20)  # by now all take the sixth for gone: that is no proof, it may be cut off
    assert world.node(1).members.members[6].life.name == "GONE"
    assert not drain_done(world, "e1")
    assert wish(world, 8, GiveBack(5, 0, True)) == 1  # the fifth is alive
    assert wish(world, 8, GiveBack(6, 0, True)) == 0
    assert world.run(5, lambda: drain_done(world, "e1"))


def test_who_leaves_has_its_time_to_end_and_holds_up_no_drain_after() -> None:
    world, _, supervisors = make()
    supervisors[6].down_us = 1 << 50
    supervisors[6].restart("old")
    assert world.run(3, lambda: world.processes[6] is None)
    assert wish(world, 8, WantDrain("e1", "", 0, False)) == 0
    world.run(1)
    assert not drain_done(world, "e1")
    assert world.run(8, lambda: drain_done(world, "e1"))


# --- Releases.


def release_to(world: World, supervisors: list[Supervisor], build: str) -> None:
    """Every supervisor of a gateway that is not on it asks again and again."""
    for supervisor in supervisors:
        process = world.processes[supervisor.number]
        if process is not None and process.build != build:
            supervisor.restart(build, 20)


def status_of(world: World) -> int | None:
    release = world.state().release
    return release.status if release is not None else None


def test_a_good_build_goes_through_in_steps_though_the_leader_dies() -> None:
    world, auditor, supervisors = make(count=9, allowed=2, zone=1)
    world.bad = {"old": (0.01, 0.01, 0.02), "new": (0.01, 0.01, 0.02)}
    for process in world.processes:
        assert process is not None
        process.rate = 60.0
    world.rate = 60.0
    assert wish(world, 4, WantRelease("new", (120, 500, 1000), "")) == 0
    killed, state = False, world.state().release
    for _ in range(60):
        release_to(world, supervisors, "new")
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
    assert state is not None and state.status == DONE and state.said != "back", state
    assert killed and all(p is not None and p.build == "new" for p in world.processes)
    assert not auditor.breaches
    steps = [(at, more["step"]) for at, _, what, more in world.lines if what == "release step"]
    assert {step for _, step in steps} == {2, 3}


def test_a_canary_that_fails_only_under_load_halts_the_release_and_it_goes_back() -> None:
    world, auditor, supervisors = make(count=9, allowed=2, zone=1)
    world.bad = {"old": (0.01, 0.0, 0.0), "new": (0.01, 0.0, 0.0)}
    assert wish(world, 4, WantRelease("new", (120, 1000), "")) == 0
    release_to(world, supervisors, "new")
    world.run(15)
    state = world.state().release
    assert state is not None and (state.status, state.step) == (RUNNING, 0)  # little traffic: it waits
    assert sum(p is not None and p.build == "new" for p in world.processes) == 2
    world.bad["new"] = (0.2, 0.0, 0.0)
    for process in world.processes:
        if process is not None:
            process.rate = 80.0
    assert world.run(20, lambda: status_of(world) == HALTED)
    before = world.now
    release_to(world, supervisors, "new")
    world.run(10)
    assert not any(w.fence and w.at > before + 2_000_000 for w in auditor.went)
    assert wish(world, 5, WantTurn(BACK, "")) == 0
    for _ in range(10):
        for supervisor in supervisors:
            process = world.processes[supervisor.number]
            if process is not None and process.build == "new":
                supervisor.restart("old", 10)
        world.run(5)
    state = world.state().release
    assert state is not None and (state.status, state.said) == (DONE, "back")
    assert all(p is not None and p.build == "old" for p in world.processes) and not auditor.breaches


def test_a_way_back_ends_though_one_on_the_new_build_never_comes_back() -> None:
    world, _, supervisors = make(count=9, allowed=2, zone=1)
    assert wish(world, 4, WantRelease("new", (120, 1000), "")) == 0
    supervisors[5].restart("new")
    assert world.run(12, lambda: bool(world.processes[5] and world.processes[5].build == "new"))
    world.run(4)
    assert wish(world, 4, WantTurn(BACK, "")) == 0
    world.kill(5)
    world.run(6)
    assert status_of(world) == BACK
    assert wish(world, 4, GiveBack(5, 0, True)) == 0
    assert world.run(6, lambda: status_of(world) == DONE)


def test_a_halt_holds_everywhere_within_two_seconds_and_nothing_goes_on_without_a_majority() -> None:
    world, auditor, supervisors = make(count=9, allowed=2, zone=1)
    assert wish(world, 4, WantRelease("new", (500, 1000), "")) == 0
    release_to(world, supervisors[:7], "new")
    world.run(1)
    world.fault = lambda a, b, r: [] if r.random() < 0.33 else [r.random() * 0.1]
    before = world.now
    assert wish(world, 7, WantTurn(HALTED, "by hand")) == 0
    assert world.now - before < 2_000_000
    auditor.halted_at = world.now
    world.run(20)
    assert not auditor.breaches
    world.fault = lambda a, b, _: [] if (a in (0, 1, 2)) or (b in (0, 1, 2)) else [0.0]
    world.run(3)
    assert wish(world, 7, WantTurn(RUNNING, "")) == 2  # no majority: no way forward


def test_a_release_by_zone_takes_one_after_another_though_a_zone_is_lost() -> None:
    world, auditor, supervisors = make(count=9, allowed=2, zone=2)
    for process in world.processes:
        assert process is not None
        process.rate = 80.0
    world.rate = 80.0
    assert wish(world, 4, WantRelease("new", (1000,), "", True)) == 0
    order: list[str] = []
    for turn in range(50):
        release_to(world, supervisors, "new")
        if turn == 2:  # the last zone is cut off for a while
            world.fault = lambda a, b, _: [] if (a % 3 == 2) != (b % 3 == 2) else [0.0]
        if turn == 5:
            world.fault = sound
        world.run(4)
        for zone in ZONES:
            there = [p for p in world.processes if p is not None and ZONES[p.number % 3] == zone]
            if zone not in order and len(there) == 3 and all(p.build == "new" for p in there):
                order.append(zone)
        if status_of(world) == DONE:
            break
    assert status_of(world) == DONE and order == ["a", "b", "c"] and not auditor.breaches


def test_a_halt_during_a_split_holds_on_the_side_of_the_majority_and_then_everywhere() -> None:
    world, auditor, supervisors = make(count=9, allowed=2, zone=1)
    assert wish(world, 4, WantRelease("new", (1000,), "")) == 0
    world.fault = lambda a, b, _: [] if (a in (0, 3, 6)) != (b in (0, 3, 6)) else [0.0]
    assert world.run(5, lambda: world.leader() in (1, 2))
    assert wish(world, 4, WantTurn(HALTED, "by hand"), 10) == 0
    auditor.halted_at = world.now
    release_to(world, supervisors, "new")
    world.run(10)
    assert not any(w.fence for w in auditor.went)  # nor on the side that has not heard of it
    world.fault = sound
    assert world.run(5, lambda: world.node(6).state.release is not None and status_of(world) == HALTED)
    release_to(world, supervisors, "new")
    world.run(10)
    assert not auditor.breaches and not any(w.fence for w in auditor.went)


def test_what_a_gateway_sends_is_bounded_whatever_it_is_asked() -> None:
    world, _, _ = make()
    node = world.node(8)
    for _ in range(5000):
        node.wish(world.clock(8), WantUndrain("e1", ""), 5, False)
    before, began = world.sent[8], world.now
    world.run(5)
    assert world.sent[8] - before <= 400 * ((world.now - began) / 1e6 + 1)
    assert node.counts["held_back"] > 100
    assert world.leader() is not None and node.members.count(node.members.mine.life) == 9  # it still lives


def report(build: str, *counts: int) -> Report:
    return Report(0, 0, 0, build, 0, 10_000, 0, (), ((counts[0], counts[1], counts[2], counts[3]),))


def judged(seed: int, new: float, old: float, a_second: float, seconds: int) -> tuple[Verdict, int]:
    """What one step's comparison says of two shares of failures, and after how many seconds."""
    random, found = Random(seed), Comparison("new", Measure())
    totals = {number: [0, 0] for number in range(10)}
    for second in range(seconds):
        for number, total in totals.items():
            share, build = (new, "new") if number == 0 else (old, "old")
            taken = int(a_second) + (random.random() < a_second % 1)
            total[0] += taken
            total[1] += sum(random.random() < share for _ in range(taken))
            found.report(number, 1, report(build, total[0], total[1], 0, 0))
        verdict, _ = found.judge()
        if verdict is not Verdict.WAIT:
            return verdict, second
    return Verdict.WAIT, seconds


def test_the_same_build_is_seldom_halted_and_a_worse_one_seldom_passes() -> None:
    same = [judged(seed, 0.02, 0.02, 5, 400)[0] for seed in range(100)]
    assert same.count(Verdict.HALT) <= 4 and same.count(Verdict.GO) >= 90
    worse = [judged(seed, 0.12, 0.02, 5, 400)[0] for seed in range(100)]
    assert worse.count(Verdict.GO) <= 6 and worse.count(Verdict.HALT) >= 90
    assert judged(1, 0.5, 0.02, 0.05, 60)[0] is Verdict.WAIT  # three queries prove nothing


def test_a_counter_that_starts_anew_is_no_traffic() -> None:
    found = Comparison("new")
    found.report(1, 1, report("new", 1000, 900, 0, 0))
    found.report(1, 2, report("new", 0, 0, 0, 0))
    found.report(1, 2, report("new", 10, 0, 0, 0))
    assert found.new.taken == {0: 10} and found.new.bad[0, 0] == 0


def test_budgets_as_counts_and_shares() -> None:
    assert [most(2, 200), most(0.1, 200), most(0.001, 200), most(0.1, 0)] == [2, 20, 1, 0]
    outs = [Out("n1", "a", "gone"), Out("n2", None, "no fresh report")]
    sizes = {"a": 10, "b": 10}
    assert room(Allowed(3, 2), outs, "b", sizes, 20) == ""
    assert "n2" in room(Allowed(3, 1), outs, "b", sizes, 20)  # where it is nobody knows
    assert "2 of 2 out" in room(Allowed(2, 9), outs, "b", sizes, 20)
