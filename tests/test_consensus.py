"""Consensus of the voters: all event orders of a small model, broken variants, simulated faults."""

from random import Random

import pytest

from whintrail.fleet.consensus import Consensus, Role
from whintrail.fleet.node import FleetConfig
from whintrail.fleet.wire import RecoveryReply, ReleaseRequest, SlotRequest, VoteRequest
from whintrail.standins.consensus_model import Budget, explore, stable_cluster
from whintrail.standins.fleet_simulation import Fault, FleetSimulation, deliver_once


class SkipsRecovery(Consensus):
    """Votes at once after a start, though it may have voted before."""

    def tick(self, now: int) -> None:
        if self.role is Role.RECOVERING:
            self.role = Role.FOLLOWER
            self.epoch = 1 << 32
            self.log.snapshot_position = (1 << 32, 0, 0)
            self.term = 1
        super().tick(now)


class RecoversFromFirstReply(Consensus):
    """Completes recovery with the first reply, though its sender may be behind."""

    def _on_recovery_reply(self, now: int, sender: int, reply: RecoveryReply) -> None:
        if self.role is Role.RECOVERING and self.recovery_target is None and reply.nonce == self.nonce:
            self.term, self.epoch, self.log.snapshot_position = reply.term, reply.epoch, (reply.epoch, 0, 0)
            self.role = Role.FOLLOWER


class IgnoresCandidateLog(Consensus):
    """Checks only the candidate's term, not its log."""

    def _on_vote_request(self, now: int, sender: int, request: VoteRequest) -> None:
        fields = (request.epoch, request.term, request.ballot, 0xFFFF, 0xFFFF, request.is_prevote)
        super()._on_vote_request(now, sender, VoteRequest(*fields))


class VotesTwice(Consensus):
    """Votes for more than one candidate in a term."""

    def _on_vote_request(self, now: int, sender: int, request: VoteRequest) -> None:
        self.voted_for = None
        super()._on_vote_request(now, sender, request)


@pytest.mark.parametrize(
    ("kind", "budget"),
    [
        (SkipsRecovery, Budget(elections=2, restarts=1, proposals=0, recovery_retries=0)),
        (SkipsRecovery, Budget(elections=1, restarts=1, proposals=1, recovery_retries=0)),
        (RecoversFromFirstReply, Budget(elections=1, restarts=1, proposals=1, recovery_retries=0)),
        (IgnoresCandidateLog, Budget(elections=1, restarts=0, proposals=1, recovery_retries=0)),
        (VotesTwice, Budget(elections=2, restarts=0, proposals=0, recovery_retries=0, step_downs=1)),
    ],
)
def test_broken_consensus_variants_are_detected(kind: type[Consensus], budget: Budget) -> None:
    result = explore(stable_cluster(3, kind), budget, 60_000, depth_first=True)
    assert result.violation, result


def test_no_event_order_breaks_consensus() -> None:
    result = explore(
        stable_cluster(3), Budget(elections=1, restarts=0, proposals=1, recovery_retries=0), 60_000
    )
    assert result.complete and not result.violation, result
    result = explore(
        stable_cluster(3),
        Budget(elections=2, restarts=0, proposals=0, recovery_retries=0, step_downs=1),
        60_000,
    )
    assert result.complete and not result.violation, result
    result = explore(
        stable_cluster(3),
        Budget(elections=1, restarts=1, proposals=1, recovery_retries=0),
        25_000,
        depth_first=True,
    )
    assert not result.violation, result


# --- In simulated time.


def fleet_config(number: int, build: str, count: int = 5, voters: int = 3) -> FleetConfig:
    return FleetConfig("f", number, count, tuple(range(voters)), build=build)


def test_cold_start_elects_leader_after_quarantine() -> None:
    world = FleetSimulation(fleet_config, 5, 1)
    assert world.run(3.9, lambda: world.leader() is not None) is False
    assert world.run(1.5, lambda: world.leader() is not None)


@pytest.mark.parametrize("seed", range(6))
def test_new_leader_keeps_committed_state_after_leader_crash(seed: int) -> None:
    world = FleetSimulation(fleet_config, 5, seed)
    world.run(6, lambda: world.leader() is not None)
    world.node(4).submit(world.clock(4), ReleaseRequest("b2", (1000,), ""), 5, True)
    assert world.run(3, lambda: world.state().release is not None)
    leader, before = world.leader(), world.now
    assert leader is not None
    world.kill(leader)
    assert world.run(4, lambda: world.leader() not in (None, leader))
    assert world.now - before < 3_000_000
    release = world.state().release
    assert release is not None and release.build == "b2"
    world.start(leader)  # without state: it recovers from the others

    def has_rejoined() -> bool:
        consensus = world.node(leader).consensus
        return consensus is not None and consensus.role is Role.FOLLOWER

    assert world.run(4, has_rejoined)
    assert world.run(2, lambda: world.node(leader).state.release is not None)


def test_leaving_leader_hands_over_before_exit() -> None:
    world = FleetSimulation(fleet_config, 5, 11)
    world.run(6, lambda: world.leader() is not None)
    leader = world.leader()
    assert leader is not None
    world.node(leader).leave(world.clock(leader))
    assert world.run(2.5, lambda: world.leader() not in (None, leader))
    world.run(3)
    assert world.leader() != leader


def test_rolling_restart_of_voters_loses_nothing() -> None:
    world = FleetSimulation(fleet_config, 5, 7)
    world.run(6, lambda: world.leader() is not None)
    world.node(4).submit(world.clock(4), ReleaseRequest("b2", (1000,), ""), 5, True)
    assert world.run(3, lambda: world.node(3).state.release is not None)
    for number in (0, 1, 2, 0, 1, 2):
        world.kill(number)
        world.run(0.3)
        world.start(number)
        world.run(5)
    assert world.leader() is not None
    consensus = world.node(0).consensus
    assert consensus is not None and consensus.epoch >> 32 == 1  # there was always a quorum, so no new epoch
    assert all(world.node(n).state.release is not None for n in range(5))


def test_simultaneous_voter_restart_recovers_from_other_gateways() -> None:
    world = FleetSimulation(fleet_config, 5, 8)
    world.run(6, lambda: world.leader() is not None)
    world.node(4).submit(world.clock(4), ReleaseRequest("b2", (1000,), ""), 5, True)
    assert world.run(3, lambda: world.node(3).state.release is not None)
    for number in range(3):
        world.kill(number)
        world.start(number)
    assert world.run(3.5, lambda: world.leader() is not None) is False  # not before the quarantine has passed
    assert world.run(8, lambda: world.leader() is not None)
    consensus = world.node(0).consensus
    assert consensus is not None and consensus.epoch >> 32 == 2
    assert world.run(3, lambda: all(world.node(n).state.release is not None for n in range(5)))


def test_partition_two_to_one_and_three_way() -> None:
    world = FleetSimulation(fleet_config, 5, 9)
    world.run(6, lambda: world.leader() is not None)
    leader = world.leader()
    assert leader is not None
    world.fault = lambda a, b, _: [0.0] if (a == leader) == (b == leader) else []  # isolates the leader
    assert world.run(4, lambda: world.leader() not in (None, leader))
    assert world.run(3, lambda: not world.node(leader).is_leader)
    world.fault = lambda a, b, _: []
    assert world.run(4, lambda: all(not world.node(n).is_leader for n in range(3)))
    request_key = world.node(4).submit(world.clock(4), SlotRequest(world.node(4).boot_id, ""), 2, True)
    world.run(3)
    # RETRY_LATER: there is no quorum.
    assert [o.status for o in world.node(4).take_outcomes() if o.key == request_key] == [2]
    world.fault = lambda a, b, _: [0.0]
    assert world.run(4, lambda: world.leader() is not None)


def test_leader_stays_stable_under_33_percent_loss() -> None:
    world = FleetSimulation(fleet_config, 5, 10)
    world.fault = lambda a, b, random: [] if random.random() < 0.33 else [random.random() * 0.05]
    assert world.run(12, lambda: world.leader() is not None)
    first_term = world.node(0).known_leader[1]
    world.run(60)
    assert world.leader() is not None and world.node(0).known_leader[1] - first_term <= 4


def test_single_voter() -> None:
    world = FleetSimulation(lambda n, b: fleet_config(n, b, 3, 1), 3, 1)
    assert world.run(6, lambda: world.leader() == 0)


def isolate_and_drop(isolated: list[int], loss: float) -> Fault:
    def fault(sender: int, target: int, random: Random) -> list[float]:
        lost = sender in isolated or target in isolated or random.random() < loss
        return [] if lost else [random.random() * 0.1, random.random()]

    return fault


@pytest.mark.parametrize("seed", range(5))
def test_random_faults_never_diverge_replicas(seed: int) -> None:
    random = Random(seed)
    world = FleetSimulation(lambda n, b: fleet_config(n, b, 5, 5), 5, seed, drift=0.01)
    world.run(6, lambda: world.leader() is not None)
    for _ in range(25):
        world.fault = isolate_and_drop(
            random.sample(range(5), random.randrange(3)), random.choice([0, 0.1, 0.3])
        )
        victim = random.randrange(5)
        match random.randrange(3):
            case 0:
                world.kill(victim)
                world.start(victim)
            case 1:
                world.pause(victim, random.random() * 4)
        number = random.choice(world.running_numbers())
        world.node(number).submit(world.clock(number), SlotRequest(world.node(number).boot_id, ""), 2, False)
        world.run(random.random() * 3)
    assert all(world.node(n).replica.divergences == 0 for n in range(5))
    world.fault = deliver_once
    assert world.run(20, lambda: world.leader() is not None)
    assert world.run(5, lambda: len({world.node(n).replica.position for n in range(5)}) == 1)
    assert len({world.node(n).replica.digest for n in range(5)}) == 1
