"""Agreement of the council: every order of events that a small one can see, and variants that break it."""

from random import Random

import pytest

from whintrail.fleet.council import Council, Role
from whintrail.fleet.node import Given
from whintrail.fleet.wire import RecoverTell, VoteAsk, WantRelease, WantSlot
from whintrail.standins.explore import Budget, explore, settled
from whintrail.standins.simulated import Fault, World, sound


class ForgetsItsVote(Council):
    """Takes part at once after a start, as if it had never voted."""

    def tick(self, now: int) -> None:
        if self.role is Role.RECOVERING:
            self.role, self.epoch, self.log.base, self.term = Role.FOLLOWER, 1 << 32, (1 << 32, 0, 0), 1
        super().tick(now)


class RecoversFromAnyone(Council):
    """Trusts whoever answers first, though that one may be behind."""

    def _recover_told(self, now: int, origin: int, tell: RecoverTell) -> None:
        if self.role is Role.RECOVERING and self.target is None and tell.nonce == self.nonce:
            self.term, self.epoch, self.log.base = tell.term, tell.epoch, (tell.epoch, 0, 0)
            self.role = Role.FOLLOWER


class VotesForAnyLog(Council):
    """Looks at the term alone, and not at what the candidate holds."""

    def _vote_asked(self, now: int, origin: int, ask: VoteAsk) -> None:
        full = (ask.epoch, ask.term, ask.ballot, 0xFFFF, 0xFFFF, ask.trial)
        super()._vote_asked(now, origin, VoteAsk(*full))


class VotesTwice(Council):
    """Gives its vote of a term to whoever asks."""

    def _vote_asked(self, now: int, origin: int, ask: VoteAsk) -> None:
        self.voted = None
        super()._vote_asked(now, origin, ask)


@pytest.mark.parametrize(
    ("kind", "budget"),
    [
        (ForgetsItsVote, Budget(votes=2, forgets=1, changes=0, asks=0)),
        (ForgetsItsVote, Budget(votes=1, forgets=1, changes=1, asks=0)),
        (RecoversFromAnyone, Budget(votes=1, forgets=1, changes=1, asks=0)),
        (VotesForAnyLog, Budget(votes=1, forgets=0, changes=1, asks=0)),
        (VotesTwice, Budget(votes=2, forgets=0, changes=0, asks=0, doubts=1)),
    ],
)
def test_a_broken_council_is_caught(kind: type[Council], budget: Budget) -> None:
    looked = explore(settled(3, kind), budget, 60_000, deep=True)
    assert looked.wrong, looked


def test_no_order_of_events_breaks_the_council() -> None:
    looked = explore(settled(3), Budget(votes=1, forgets=0, changes=1, asks=0), 60_000)
    assert looked.complete and not looked.wrong, looked
    looked = explore(settled(3), Budget(votes=2, forgets=0, changes=0, asks=0, doubts=1), 60_000)
    assert looked.complete and not looked.wrong, looked
    looked = explore(settled(3), Budget(votes=1, forgets=1, changes=1, asks=0), 25_000, deep=True)
    assert not looked.wrong, looked


# --- In simulated time.


def given(number: int, build: str, count: int = 5, council: int = 3) -> Given:
    return Given("f", number, count, tuple(range(council)), build=build)


def test_a_council_that_starts_from_nothing_leads_after_its_quarantine() -> None:
    world = World(given, 5, 1)
    assert world.run(3.9, lambda: world.leader() is not None) is False
    assert world.run(1.5, lambda: world.leader() is not None)


@pytest.mark.parametrize("seed", range(6))
def test_the_leader_dies_and_another_leads_and_remembers(seed: int) -> None:
    world = World(given, 5, seed)
    world.run(6, lambda: world.leader() is not None)
    world.node(4).wish(world.clock(4), WantRelease("b2", (1000,), ""), 5, True)
    assert world.run(3, lambda: world.state().release is not None)
    leader, before = world.leader(), world.now
    assert leader is not None
    world.kill(leader)
    assert world.run(4, lambda: world.leader() not in (None, leader))
    assert world.now - before < 3_000_000
    release = world.state().release
    assert release is not None and release.build == "b2"
    world.start(leader)  # from nothing: it recovers from the others

    def back() -> bool:
        council = world.node(leader).council
        return council is not None and council.role is Role.FOLLOWER

    assert world.run(4, back)
    assert world.run(2, lambda: world.node(leader).state.release is not None)


def test_a_leader_that_ends_hands_over_before_it_is_gone() -> None:
    world = World(given, 5, 11)
    world.run(6, lambda: world.leader() is not None)
    leader = world.leader()
    assert leader is not None
    world.node(leader).leave(world.clock(leader))
    assert world.run(2.5, lambda: world.leader() not in (None, leader))
    world.run(3)
    assert world.leader() != leader


def test_one_after_another_forgets_and_nothing_is_lost() -> None:
    world = World(given, 5, 7)
    world.run(6, lambda: world.leader() is not None)
    world.node(4).wish(world.clock(4), WantRelease("b2", (1000,), ""), 5, True)
    assert world.run(3, lambda: world.node(3).state.release is not None)
    for number in (0, 1, 2, 0, 1, 2):
        world.kill(number)
        world.run(0.3)
        world.start(number)
        world.run(5)
    assert world.leader() is not None
    council = world.node(0).council
    assert council is not None and council.epoch >> 32 == 1  # never all at once
    assert all(world.node(n).state.release is not None for n in range(5))


def test_all_forget_at_once_and_the_others_tell_what_they_learnt() -> None:
    world = World(given, 5, 8)
    world.run(6, lambda: world.leader() is not None)
    world.node(4).wish(world.clock(4), WantRelease("b2", (1000,), ""), 5, True)
    assert world.run(3, lambda: world.node(3).state.release is not None)
    for number in range(3):
        world.kill(number)
        world.start(number)
    assert world.run(3.5, lambda: world.leader() is not None) is False  # not before the quarantine
    assert world.run(8, lambda: world.leader() is not None)
    council = world.node(0).council
    assert council is not None and council.epoch >> 32 == 2
    assert world.run(3, lambda: all(world.node(n).state.release is not None for n in range(5)))


def test_split_two_to_one_and_into_three() -> None:
    world = World(given, 5, 9)
    world.run(6, lambda: world.leader() is not None)
    leader = world.leader()
    assert leader is not None
    world.fault = lambda a, b, _: [0.0] if (a == leader) == (b == leader) else []  # it alone
    assert world.run(4, lambda: world.leader() not in (None, leader))
    assert world.run(3, lambda: not world.node(leader).leads)
    world.fault = lambda a, b, _: []
    assert world.run(4, lambda: all(not world.node(n).leads for n in range(3)))
    key = world.node(4).wish(world.clock(4), WantSlot(world.node(4).birth, ""), 2, True)
    world.run(3)
    assert [o.word for o in world.node(4).outcomes() if o.key == key] == [2]  # no majority: nothing new
    world.fault = lambda a, b, _: [0.0]
    assert world.run(4, lambda: world.leader() is not None)


def test_a_third_of_all_datagrams_lost() -> None:
    world = World(given, 5, 10)
    world.fault = lambda a, b, random: [] if random.random() < 0.33 else [random.random() * 0.05]
    assert world.run(12, lambda: world.leader() is not None)
    terms = world.node(0).known[1]
    world.run(60)
    assert world.leader() is not None and world.node(0).known[1] - terms <= 4


def test_a_council_of_one() -> None:
    world = World(lambda n, b: given(n, b, 3, 1), 3, 1)
    assert world.run(6, lambda: world.leader() == 0)


def cut_and_lossy(cut: list[int], loss: float) -> Fault:
    def fault(origin: int, target: int, random: Random) -> list[float]:
        lost = origin in cut or target in cut or random.random() < loss
        return [] if lost else [random.random() * 0.1, random.random()]

    return fault


@pytest.mark.parametrize("seed", range(5))
def test_random_faults_for_long_never_make_two_histories(seed: int) -> None:
    random = Random(seed)
    world = World(lambda n, b: given(n, b, 5, 5), 5, seed, drift=0.01)
    world.run(6, lambda: world.leader() is not None)
    for _ in range(25):
        world.fault = cut_and_lossy(
            random.sample(range(5), random.randrange(3)), random.choice([0, 0.1, 0.3])
        )
        victim = random.randrange(5)
        match random.randrange(3):
            case 0:
                world.kill(victim)
                world.start(victim)
            case 1:
                world.stop(victim, random.random() * 4)
        who = random.choice(world.up())
        world.node(who).wish(world.clock(who), WantSlot(world.node(who).birth, ""), 2, False)
        world.run(random.random() * 3)
    assert all(world.node(n).replica.forks == 0 for n in range(5))
    world.fault = sound
    assert world.run(20, lambda: world.leader() is not None)
    assert world.run(5, lambda: len({world.node(n).replica.position for n in range(5)}) == 1)
    assert len({world.node(n).replica.chain for n in range(5)}) == 1
