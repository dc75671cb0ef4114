"""What a simulated fleet sends does not depend on how its members look things up, and what it costs grows
with the fleet, not with its square.

The digests were recorded with the code that looked through all members each turn (commit f373ec2), and
again where what is sent was to change: a newcomer asks a leader it has not probed, a body is asked for first
of its proposer.
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
from whintrail.standins.simulated import Process, World, sound
from whintrail.versions.member import VersionTiming
from whintrail.versions.rules import Rules

ZONES = ("a", "b", "c")
ENGINES = {f"e{n}": EngineAvailability(ZONES[n % 3]) for n in range(12)}
LISTS = 3  # so many generations of the list there are in a run


class Overheard(World):
    """Keeps a digest of every datagram: when it was sent, by whom, to whom, and its bytes."""

    def __init__(self, given: Callable[[int, str], FleetConfig], count: int, seed: int) -> None:
        self.digest = blake2b(digest_size=8)
        self.datagrams = 0
        super().__init__(given, count, seed, dict(ENGINES), drift=0.005)

    def start(self, number: int, build: str = "old") -> Process:
        process = super().start(number, build)
        assert process.node is not None
        flush = process.node.flush

        def overheard(now: int) -> list[tuple[int | None, bytes]]:
            sent = flush(now)
            for target, data in sent:
                self.digest.update(f"{self.now} {number} {target} ".encode() + data)
                self.datagrams += 1
            return sent

        process.node.flush = overheard  # type: ignore[method-assign]
        return process


def settings(count: int, number: int, build: str) -> FleetConfig:
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


def wish(world: World, number: int, change: Change) -> None:
    world.node(number).submit(world.clock(number), change, 6, True)


def listed(world: World, random: Random, generation: int) -> None:
    """A bulletin that reaches most gateways: those that it doesn't learn from the others."""
    for number in world.up():
        if random.random() < 0.8:
            lists = world.node(number).settings
            assert lists is not None
            entries = [(name, int(name[1:]) != generation, False) for name in ENGINES]
            lists.engine_list.apply_event(world.clock(number), generation, True, entries)


def lossy(share: float, origin: int, target: int, random: Random) -> list[float]:
    if random.random() < share:
        return []
    return [random.random() * 0.2, 0.3] if random.random() < 0.1 else [random.random() * 0.05]


def apart(zone: int, origin: int, target: int, random: Random) -> list[float]:
    return [] if (origin % 3 == zone) != (target % 3 == zone) else [0.0]


def played(count: int, seed: int) -> tuple[int, str]:
    """A run with changes of all kinds, losses, a zone cut off, members killed, stopped and ended."""
    random = Random(seed)
    world = Overheard(partial(settings, count), count, seed)
    world.run(4)
    listed(world, random, 1)
    for turn in range(3):
        others = random.sample(range(5, count), 8)
        proposer = world.node(others[0])
        assert proposer.settings is not None
        body = Rules(caps={"report": turn + 5}, homes={str(n): n % count for n in range(40 * turn)})
        digest = proposer.settings.member.store_rules(body)
        wish(world, others[0], VersionRequest(proposer.state.versions.number + 1, digest, ""))
        wish(world, others[1], SlotRequest(world.node(others[1]).boot_id, "old"))
        wish(world, others[2], DrainRequest(f"e{turn}", "", 0, False))
        match turn:
            case 0:
                world.fault = partial(lossy, 0.3)
                wish(world, others[3], ReleaseRequest("new", (100, 500, 1000), ""))
            case 1:
                world.fault = partial(apart, 1)
                wish(world, others[3], ReleaseStatusRequest(HALTED, ""))
            case 2:
                world.fault = partial(lossy, 0.05)
                wish(world, others[3], ReleaseStatusRequest(RUNNING, ""))
        world.run(1.5)
        leader = world.leader()
        victim = others[4] if leader is None or turn != 1 else leader
        world.kill(victim)
        world.stop(others[5], 2.5)
        leaves = world.node(others[6])
        leaves.leave(world.clock(others[6]))
        world.run(1)
        world.kill(others[6])
        world.busy = {(others[7], f"e{turn}"): 1}
        world.run(9)  # long enough for suspicions to end
        world.fault, world.busy = sound, {}
        listed(world, random, turn + 2)
        world.start(victim)
        world.start(others[6], "new")
        world.run(5)
    return world.datagrams, world.digest.hexdigest()


RECORDED = {
    (14, 1): (9988, "c2698161752bdfa2"),
    (14, 2): (9753, "99790f9c1f328cf1"),
    (14, 3): (10149, "f81135cceb8fa9a4"),
    (40, 4): (27677, "860f11d656e4bd26"),
    (40, 5): (27188, "7f83eb708d0493ee"),
}


@pytest.mark.parametrize(("count", "seed"), [(14, 1), (14, 2), (14, 3), (40, 4), (40, 5)])
def test_the_same_datagrams_are_sent_as_when_all_members_were_looked_through(count: int, seed: int) -> None:
    assert played(count, seed) == RECORDED[count, seed]


class Looked(list[Any]):
    """Counts how many of its items are looked at, one by one or in a scan."""

    looks = 0

    def __getitem__(self, place: Any) -> Any:
        Looked.looks += 1
        return super().__getitem__(place)

    def __iter__(self) -> Iterator[Any]:
        for item in super().__iter__():
            Looked.looks += 1
            yield item


def looked_at(count: int) -> tuple[int, int]:
    """Members looked at, and events, in two quiet seconds of a fleet of so many with leases and lists."""
    world = World(partial(settings, count), count, 9, dict(ENGINES))
    world.acquaint()
    assert world.run(15, lambda: world.leader() is not None)
    listed(world, Random(9), 1)
    world.run(3)
    for number in world.up():
        members = world.node(number).membership
        members.members = Looked(members.members)
        numbers = members.by_state.numbers
        for life in numbers:
            numbers[life] = Looked(numbers[life])
    Looked.looks, events = 0, world.numbered
    world.run(2)
    return Looked.looks, world.numbered - events


def test_what_a_quiet_fleet_looks_at_grows_no_more_than_it_does() -> None:
    small, large = looked_at(40), looked_at(160)
    for few, many in zip(small, large, strict=True):
        assert 0 < many < 4.4 * few  # a scan of all by all would be 16 times as many


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 30)), max_size=300), st.integers(2, 6))
def test_news_are_told_in_the_order_of_a_sorted_dictionary(steps: list[tuple[bool, int]], most: int) -> None:
    news, plain = UpdateQueue(), dict[int, int]()
    for tells, number in steps:
        if tells:
            chosen = sorted(plain, key=plain.__getitem__)[:8]
            assert news.least_sent(8) == chosen
            for told in [number, *chosen]:
                news.mark_sent(told, most)
                if told in plain:
                    plain[told] += 1
                    if plain[told] >= most:
                        del plain[told]
        else:
            news.add(number)
            plain[number] = 0
        assert len(news) == len(plain)
    assert len(news.heap) <= 4 * len(news) + 600  # what is outdated doesn't pile up


@given(
    st.lists(st.tuples(st.integers(0, 9), st.sampled_from(MemberState)), max_size=60),
    st.sets(st.integers(0, 11)),
)
def test_numbers_by_life_are_those_that_a_scan_finds(
    steps: list[tuple[int, MemberState]], left_out: set[int]
) -> None:
    by_life, plain = MembersByState(10), [MemberState.GONE] * 10
    for number, life in steps:
        by_life.move(number, plain[number], life)
        plain[number] = life
    for life in MemberState:
        found = [number for number in range(10) if plain[number] is life]
        assert by_life[life] == found
        rest = [number for number in found if number not in left_out]
        without = ExcludingView(by_life[life], *left_out)
        assert (list(without), len(without)) == (rest, len(rest))
        assert [number for number in range(12) if number in without] == rest
        seed = len(steps)
        assert Random(seed).sample(without, len(rest) // 2) == Random(seed).sample(rest, len(rest) // 2)


def test_what_a_member_holds_does_not_grow_with_restarts() -> None:
    core = Membership(0, 5, 1, 1, 0, Random(1))

    def held() -> int:
        return sum(len(value) for value in vars(core).values() if hasattr(value, "__len__"))

    core.assume_alive((number + 1, 1) for number in range(5))
    before = held()
    for restart in range(500):
        now = restart * 1_000_000
        core.receive(now, 3, 1000 + restart, 2 + restart, Leave(0))
        core.tick(now)
        core.outbox.clear()
    assert held() < before + 20
