"""The datagrams of a simulated fleet don't depend on its data structures, and its cost grows linearly.

The digests were recorded with code that scanned all members on every tick (commit f373ec2), and again where
the datagrams were meant to change: a new member asks a leader that it has not probed, and a body of rules is
requested from its proposer first.
"""

from collections.abc import Callable, Iterator
from functools import partial
from hashlib import blake2b
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from whintrail.fleet.budget import DisruptionBudget
from whintrail.fleet.leader import EngineAvailability, LeaderRules
from whintrail.fleet.membership import ExcludingView, MembersByState, Membership, MemberState, UpdateQueue
from whintrail.fleet.node import FleetConfig
from whintrail.fleet.state import HALTED, RUNNING
from whintrail.fleet.wire import (
    Change,
    DrainRequest,
    Leave,
    ReleaseRequest,
    ReleaseStatusRequest,
    SlotRequest,
    VersionRequest,
)
from whintrail.standins.fleet_simulation import FleetSimulation, Process, deliver_once
from whintrail.versions.member import VersionTiming
from whintrail.versions.rules import Rules

ZONES = ("a", "b", "c")
ENGINES = {f"e{n}": EngineAvailability(ZONES[n % 3]) for n in range(12)}
LIST_GENERATIONS = 3  # of the engine list in a run


class DigestingSimulation(FleetSimulation):
    """Keeps a digest of the time, sender, receiver and bytes of every datagram."""

    def __init__(self, config_for: Callable[[int, str], FleetConfig], count: int, seed: int) -> None:
        self.digest = blake2b(digest_size=8)
        self.datagrams = 0
        super().__init__(config_for, count, seed, dict(ENGINES), drift=0.005)

    def start(self, number: int, build: str = "old") -> Process:
        process = super().start(number, build)
        assert process.node is not None
        flush = process.node.flush

        def recording_flush(now: int) -> list[tuple[int | None, bytes]]:
            sent = flush(now)
            for target, data in sent:
                self.digest.update(f"{self.now} {number} {target} ".encode() + data)
                self.datagrams += 1
            return sent

        process.node.flush = recording_flush  # type: ignore[method-assign]
        return process


def fleet_config(count: int, number: int, build: str) -> FleetConfig:
    return FleetConfig(
        "f",
        number,
        count,
        (0, 1, 2, 3, 4),
        build=build,
        zone=number % 3,
        zones=ZONES,
        rules=LeaderRules(DisruptionBudget(0.1, 0.2), DisruptionBudget(0.2, 0.5)),
        messages_per_s=150.0 if number % 5 else 1500.0,
        versions=VersionTiming(lease_us=1_200_000, check_timeout_us=4_000_000),
    )


def submit_change(world: FleetSimulation, number: int, change: Change) -> None:
    world.node(number).submit(world.clock(number), change, 6, True)


def publish_engine_list(world: FleetSimulation, random: Random, generation: int) -> None:
    """Give an engine list to most gateways; the others receive it from them."""
    for number in world.running_numbers():
        if random.random() < 0.8:
            versions = world.node(number).settings
            assert versions is not None
            entries = [(name, int(name[1:]) != generation, False) for name in ENGINES]
            versions.engine_list.apply_event(world.clock(number), generation, True, entries)


def lossy(loss_share: float, origin: int, target: int, random: Random) -> list[float]:
    if random.random() < loss_share:
        return []
    return [random.random() * 0.2, 0.3] if random.random() < 0.1 else [random.random() * 0.05]


def isolate_zone(zone: int, origin: int, target: int, random: Random) -> list[float]:
    return [] if (origin % 3 == zone) != (target % 3 == zone) else [0.0]


def run_scenario(count: int, seed: int) -> tuple[int, str]:
    """Run a fleet with all kinds of changes and losses, an isolated zone, and killed or leaving members."""
    random = Random(seed)
    world = DigestingSimulation(partial(fleet_config, count), count, seed)
    world.run(4)
    publish_engine_list(world, random, 1)
    for turn in range(3):
        others = random.sample(range(5, count), 8)
        proposer = world.node(others[0])
        assert proposer.settings is not None
        body = Rules(caps={"report": turn + 5}, homes={str(n): n % count for n in range(40 * turn)})
        digest = proposer.settings.member.store_rules(body)
        submit_change(world, others[0], VersionRequest(proposer.state.versions.number + 1, digest, ""))
        submit_change(world, others[1], SlotRequest(world.node(others[1]).boot_id, "old"))
        submit_change(world, others[2], DrainRequest(f"e{turn}", "", 0, False))
        match turn:
            case 0:
                world.fault = partial(lossy, 0.3)
                submit_change(world, others[3], ReleaseRequest("new", (100, 500, 1000), ""))
            case 1:
                world.fault = partial(isolate_zone, 1)
                submit_change(world, others[3], ReleaseStatusRequest(HALTED, ""))
            case 2:
                world.fault = partial(lossy, 0.05)
                submit_change(world, others[3], ReleaseStatusRequest(RUNNING, ""))
        world.run(1.5)
        leader = world.leader()
        victim = others[4] if leader is None or turn != 1 else leader
        world.kill(victim)
        world.pause(others[5], 2.5)
        leaving = world.node(others[6])
        leaving.leave(world.clock(others[6]))
        world.run(1)
        world.kill(others[6])
        world.open_attempts = {(others[7], f"e{turn}"): 1}
        world.run(9)  # longer than the suspicion timeout
        world.fault, world.open_attempts = deliver_once, {}
        publish_engine_list(world, random, turn + 2)
        world.start(victim)
        world.start(others[6], "new")
        world.run(5)
    return world.datagrams, world.digest.hexdigest()


EXPECTED_DATAGRAMS = {
    (14, 1): (9988, "c2698161752bdfa2"),
    (14, 2): (9753, "99790f9c1f328cf1"),
    (14, 3): (10149, "f81135cceb8fa9a4"),
    (40, 4): (27677, "860f11d656e4bd26"),
    (40, 5): (27188, "7f83eb708d0493ee"),
}


@pytest.mark.parametrize(("count", "seed"), [(14, 1), (14, 2), (14, 3), (40, 4), (40, 5)])
def test_datagrams_match_those_of_the_full_member_scan(count: int, seed: int) -> None:
    assert run_scenario(count, seed) == EXPECTED_DATAGRAMS[count, seed]


class CountingList(list[Any]):
    """Counts how many of its items are read, by index or by iteration."""

    reads = 0

    def __getitem__(self, index: Any) -> Any:
        CountingList.reads += 1
        return super().__getitem__(index)

    def __iter__(self) -> Iterator[Any]:
        for item in super().__iter__():
            CountingList.reads += 1
            yield item


def count_member_reads(count: int) -> tuple[int, int]:
    """Return the members read and the events in two quiet seconds of a fleet with leases and lists."""
    world = FleetSimulation(partial(fleet_config, count), count, 9, dict(ENGINES))
    world.assume_all_known()
    assert world.run(15, lambda: world.leader() is not None)
    publish_engine_list(world, Random(9), 1)
    world.run(3)
    for number in world.running_numbers():
        membership = world.node(number).membership
        membership.members = CountingList(membership.members)
        numbers = membership.by_state.numbers
        for member_state in numbers:
            numbers[member_state] = CountingList(numbers[member_state])
    CountingList.reads, events = 0, world.events_scheduled
    world.run(2)
    return CountingList.reads, world.events_scheduled - events


def test_member_reads_of_a_quiet_fleet_grow_linearly() -> None:
    small, large = count_member_reads(40), count_member_reads(160)
    for few, many in zip(small, large, strict=True):
        assert 0 < many < 4.4 * few  # quadratic growth would be a factor of 16


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 30)), max_size=300), st.integers(2, 6))
def test_updates_are_sent_in_the_order_of_a_sorted_dictionary(
    steps: list[tuple[bool, int]], most: int
) -> None:
    queue, expected = UpdateQueue(), dict[int, int]()
    for sends, number in steps:
        if sends:
            chosen = sorted(expected, key=expected.__getitem__)[:8]
            assert queue.least_sent(8) == chosen
            for sent in [number, *chosen]:
                queue.mark_sent(sent, most)
                if sent in expected:
                    expected[sent] += 1
                    if expected[sent] >= most:
                        del expected[sent]
        else:
            queue.add(number)
            expected[number] = 0
        assert len(queue) == len(expected)
    assert len(queue.heap) <= 4 * len(queue) + 600  # outdated heap entries don't accumulate


@given(
    st.lists(st.tuples(st.integers(0, 9), st.sampled_from(MemberState)), max_size=60),
    st.sets(st.integers(0, 11)),
)
def test_numbers_by_state_match_a_full_scan(steps: list[tuple[int, MemberState]], excluded: set[int]) -> None:
    by_state, states = MembersByState(10), [MemberState.GONE] * 10
    for number, state in steps:
        by_state.move(number, states[number], state)
        states[number] = state
    for state in MemberState:
        found = [number for number in range(10) if states[number] is state]
        assert by_state[state] == found
        remaining = [number for number in found if number not in excluded]
        view = ExcludingView(by_state[state], *excluded)
        assert (list(view), len(view)) == (remaining, len(remaining))
        assert [number for number in range(12) if number in view] == remaining
        seed = len(steps)
        assert Random(seed).sample(view, len(remaining) // 2) == Random(seed).sample(
            remaining, len(remaining) // 2
        )


def test_member_state_does_not_grow_with_restarts() -> None:
    membership = Membership(0, 5, 1, 1, 0, Random(1))

    def held_items() -> int:
        return sum(len(value) for value in vars(membership).values() if hasattr(value, "__len__"))

    membership.assume_alive((number + 1, 1) for number in range(5))
    items_before = held_items()
    for restart in range(500):
        now = restart * 1_000_000
        membership.receive(now, 3, 1000 + restart, 2 + restart, Leave(0))
        membership.tick(now)
        membership.outbox.clear()
    assert held_items() < items_before + 20
