"""Settings versions: order of rules, transfer, activation, and how long two gateways can differ."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from whintrail.fleet.membership import MemberState
from whintrail.fleet.node import FleetConfig
from whintrail.fleet.wire import VersionRequest
from whintrail.standins.fleet_simulation import FleetSimulation, deliver_once
from whintrail.standins.lease_model import Variant, explore_leases
from whintrail.standins.rule_audit import RuleAuditor
from whintrail.versions.engine_list import EngineListState, ListComparison
from whintrail.versions.lease import Phase, VersionLease
from whintrail.versions.member import VersionMember, VersionTiming
from whintrail.versions.rules import (
    NO_GATEWAY,
    Rules,
    RulesError,
    canonicalize,
    decode,
    differences,
    digest,
    encode,
    find_unsupported,
    is_at_least_as_strict,
    merge_strict,
    parse_rules,
    transition_rules,
)
from whintrail.versions.store import PIECE_BYTES, RulesStore

names = st.lists(st.sampled_from("abcde"), max_size=4).map(tuple)
counts = st.dictionaries(st.sampled_from("abc"), st.integers(0, 9), max_size=3)
waits = st.dictionaries(st.sampled_from("abc"), st.integers(1, 9), max_size=3)
homes = st.dictionaries(st.sampled_from(["1", "2", "3"]), st.integers(-1, 3), max_size=3)
rule_sets = st.builds(Rules, shut=names, paused=names, caps=counts, wait_ms=waits, homes=homes)


def test_a_new_member_gets_its_lease_before_it_knows_most_members() -> None:
    world = FleetSimulation(lambda n, b: FleetConfig("f", n, 60, (0, 1, 2), versions=VersionTiming()), 60, 7)
    world.assume_all_known()
    assert world.run(20, lambda: world.leader() is not None)
    world.run(3)
    leader = world.leader()
    assert leader is not None
    barely_connected = 0
    for number in range(10, 16):
        world.kill(number)
        world.run(1)
        world.start(number)
        for _ in range(30):  # it learns the leader from the first probe, its own or a peer's
            world.run(0.1)
            service = world.node(number).settings
            assert service is not None
            if service.member.lease.active_version(world.clock(number)).leased:
                break
        else:
            pytest.fail(f"n{number} has no lease 3 s after its start")
        membership = world.node(number).membership
        barely_connected += membership.count_in(MemberState.ALIVE) < 30
    assert barely_connected == 6  # none of the six knew most members when it got its lease


@given(rule_sets, rule_sets, rule_sets)
def test_the_merge_is_commutative_associative_idempotent_and_stricter(a: Rules, b: Rules, c: Rules) -> None:
    assert merge_strict(a, b) == merge_strict(b, a)
    assert merge_strict(merge_strict(a, b), c) == merge_strict(a, merge_strict(b, c))
    assert merge_strict(a, a) == canonicalize(a)
    assert is_at_least_as_strict(merge_strict(a, b), a) and is_at_least_as_strict(merge_strict(a, b), b)


@given(rule_sets, rule_sets)
def test_equal_rules_encode_equally_and_other_bytes_are_rejected(a: Rules, b: Rules) -> None:
    assert decode(encode(a)) == canonicalize(a)
    assert (encode(a) == encode(b)) == (canonicalize(a) == canonicalize(b))
    assert (list(differences(canonicalize(a), canonicalize(b))) == []) == (canonicalize(a) == canonicalize(b))
    data = encode(a)
    with pytest.raises(RulesError):
        decode(data + b"\xc0")


def test_invalid_rules_are_rejected_with_their_path() -> None:
    with pytest.raises(RulesError, match=r"\$\.council"):
        transition_rules(Rules(council=(0, 1, 2)), Rules(council=(0, 1, 3)))
    assert transition_rules(Rules(homes={"7": 1}), Rules(homes={"7": 2})).homes == {"7": NO_GATEWAY}
    with pytest.raises(RulesError, match=r"\$\.caps"):
        parse_rules({"caps": {"report": -1}})
    with pytest.raises(RulesError, match="unknown"):
        parse_rules({"cap": {}})
    with pytest.raises(RulesError, match="65536 at most"):
        encode(Rules(shut=tuple(f"{n:064d}" for n in range(1100))))
    assert "no such class" in find_unsupported(Rules(paused=("x",)), frozenset({"a"}), 3)
    assert "none of 3" in find_unsupported(Rules(homes={"1": 3}), frozenset({"a"}), 3)


def test_rules_are_fetched_in_pieces_despite_loss_and_corruption() -> None:
    random = Random(1)
    data = encode(Rules(shut=tuple(f"{n:064d}" for n in range(500))))
    holders = {number: RulesStore(Random(number)) for number in (1, 2, 3)}
    for holder in holders.values():
        holder.put(data)
    local, now = RulesStore(Random(9)), 0
    local.fetch(digest(data), 1)
    corrupt = {1: 3}  # the first holder corrupts a piece
    while local.fetching and now < 60_000_000:
        now += 50_000
        for source, key, index in local.due_requests(now, [1, 2, 3]):
            found = holders[source].read_piece(key, index)
            if found is not None and random.random() > 0.2:
                piece = bytes(PIECE_BYTES) if corrupt.get(source) == index else found[1]
                local.receive_piece(now, source, key, index, found[0], piece)
    assert local.held[digest(data)] == data and now < 20_000_000
    assert local.read_piece(digest(data), 10_000) is None and local.read_piece(1, 0) is None


def test_few_members_ask_the_proposer_and_a_source_without_the_rules_is_replaced() -> None:
    now = 10**12  # the clock of a process does not begin at 0
    first_sources = []
    for number in range(2000):
        store = RulesStore(Random(number))
        store.fetch(77, 5)
        first_sources.append(store.due_requests(now, range(2000))[0][0])
    assert 150 < first_sources.count(5) < 400  # a random choice would give 1 of 2,000
    store = RulesStore(Random(1))
    store.fetch(77, 5)
    sources = [
        source for step in range(12) for source, _, _ in store.due_requests(now + step * 50_000, range(200))
    ]
    assert sources[0] == 5 and len(sources) == 4  # every 0.15 s, each time another one
    assert len(set(sources)) == 4


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_change_is_in_force_everywhere_soon_after_it_was_proposed(seed: int) -> None:
    world = FleetSimulation(
        lambda n, b: FleetConfig("f", n, 60, (0, 1, 2), versions=VersionTiming()), 60, seed
    )
    world.assume_all_known()
    assert world.run(20, lambda: world.leader() is not None)
    world.run(3)
    for number in (1, 2):
        node, proposed_at = world.node(20 + number), world.now
        assert node.settings is not None
        digest = node.settings.member.store_rules(Rules(caps={"report": number}))
        node.submit(world.clock(20 + number), VersionRequest(number, digest, ""), 10, True)

        def is_in_force(number: int = number) -> bool:
            services = [world.node(n).settings for n in world.running_numbers()]
            active = [
                s.member.lease.active_version(world.clock(n)) for n, s in enumerate(services) if s is not None
            ]
            return all(r.leased and (r.number, r.phase) == (number, Phase.SETTLED) for r in active)

        assert world.run(10, is_in_force)
        assert (world.now - proposed_at) / 1e6 < 1.5
        world.run(1)


def test_after_its_lease_a_gateway_acts_on_the_stricter_of_the_last_two() -> None:
    lease = VersionLease()
    old, new = Rules(shut=("a",), caps={"c": 5}), Rules(shut=("b",), caps={"c": 9})
    lease.renew(4, Phase.SETTLED, 100, {3: old, 4: new})
    assert lease.active_version(99).rules == new and lease.active_version(99).leased
    assert lease.active_version(100).rules == merge_strict(old, new) and not lease.active_version(100).leased
    lease.renew(4, Phase.ENTERING, 200, {4: new, 5: old})
    assert (
        lease.active_version(150).rules == merge_strict(old, new) and lease.active_version(150).label == "4>5"
    )
    assert lease.lapse_count == 1


def test_lists_are_compared_by_generation_and_digest_and_peers_only_exclude_engines() -> None:
    local, peer = EngineListState(3_000_000), EngineListState(3_000_000)
    for state in (local, peer):
        state.apply_event(0, 1, True, [("a", True, False), ("b", True, False), ("c", True, False)])
    assert local.compare(peer.generation, peer.digest) is ListComparison.SAME
    peer.apply_event(1, 2, False, [("a", False, False), ("b", False, True), ("d", True, False)])
    assert local.compare(peer.generation, peer.digest) is ListComparison.BEHIND
    assert peer.compare(local.generation, local.digest) is ListComparison.AHEAD
    assert local.apply_peer_exclusions(peer.generation, peer.departing_engines())
    assert local.excluded_engines == {"a", "b"}  # but "d" is not taken over
    assert not local.apply_peer_exclusions(1, ["c"])  # not newer than the local list
    local.apply_event(2, 2, False, [("a", False, False), ("b", False, True)])
    assert (
        local.excluded_engines == frozenset() and local.compare(2, peer.digest) is ListComparison.CONFLICTING
    )
    # An older generation of the local bulletin is applied, and counted.
    local.apply_event(3, 1, True, [("a", True, False)])
    assert (
        local.generation_regressions == 1
        and local.apply_peer_exclusions(2, ["a"])
        and local.excluded_engines == {"a"}
    )
    assert not local.is_stale(3_000_000) and local.is_stale(3_000_010)
    many = EngineListState(1)
    many.apply_event(0, 1, True, [(str(n), True, False) for n in range(5000)])
    many.apply_event(0, 2, True, [])
    many.apply_peer_exclusions(3, map(str, range(5000)))
    assert len(many.departed) <= 256 and len(many.peer_exclusions) <= 256


# --- In simulated time.

TIMING = VersionTiming()


def start_world(count: int = 7, seed: int = 1, drift: float = 0.01) -> tuple[FleetSimulation, RuleAuditor]:
    def make_node(number: int, build: str) -> FleetConfig:
        return FleetConfig(
            "f", number, count, (0, 1, 2), versions=TIMING, messages_per_s=900, bytes_per_s=200_000
        )

    world = FleetSimulation(make_node, count, seed, drift=drift)
    assert world.run(8, lambda: world.leader() is not None)
    world.run(2)
    auditor = RuleAuditor(world)
    auditor.start()
    return world, auditor


def member_of(world: FleetSimulation, number: int) -> VersionMember:
    service = world.node(number).settings
    assert service is not None
    return service.member


def propose(world: FleetSimulation, gateway: int, rules: Rules, seconds: float = 5.0) -> int:
    """Propose on a gateway; returns the status of the answer."""
    node, member = world.node(gateway), member_of(world, gateway)
    request = VersionRequest(node.state.versions.number + 1, member.store_rules(rules), "")
    key = node.submit(world.clock(gateway), request, seconds, True)
    statuses: list[int] = []

    def answered() -> bool:
        statuses.extend(o.status for o in node.take_outcomes() if o.key == key)
        return bool(statuses)

    world.run(seconds + 1, answered)
    return statuses[0] if statuses else 2


def in_force(world: FleetSimulation, rules: Rules) -> bool:
    """Whether the rules are in force on every running process."""
    active = [member_of(world, n).lease.active_version(world.clock(n)) for n in world.running_numbers()]
    settled = all(world.node(n).state.versions.next is None for n in world.running_numbers())
    return settled and all(version.leased and version.rules == canonicalize(rules) for version in active)


def test_a_change_is_in_force_everywhere_within_the_stated_time_and_passes_through_the_stricter() -> None:
    world, auditor = start_world()
    first = Rules(homes={"7": 1}, caps={"report": 5})
    assert propose(world, 4, first) == 0
    assert world.run(3, lambda: in_force(world, first))
    second = Rules(homes={"7": 2}, caps={"report": 9})
    assert propose(world, 5, second) == 0
    strict = merge_strict(first, second)
    assert world.run(
        3,
        lambda: any(
            member_of(world, n).lease.active_version(world.clock(n)).rules == strict for n in range(7)
        ),
    )
    assert world.run(3, lambda: in_force(world, second))
    assert auditor.longest_divergence_us <= TIMING.max_divergence_us and auditor.max_distinct_rules <= 2
    assert world.state().versions.number == 2


def test_a_large_body_under_loss_and_two_proposals_at_once() -> None:
    world, auditor = start_world()
    world.fault = lambda a, b, r: [] if r.random() < 0.2 else [r.random() * 0.02]
    large = Rules(shut=tuple(f"{n:060d}" for n in range(900)))
    other = Rules(paused=("report",))
    node = world.node(5)
    key = node.submit(world.clock(5), VersionRequest(1, member_of(world, 5).store_rules(other), ""), 5, True)
    status = propose(world, 4, large)
    world.run(1)
    statuses = [status, *(o.status for o in node.take_outcomes() if o.key == key)]
    assert sorted(statuses)[:1] == [0] and statuses.count(0) == 1  # one of the two is accepted
    expected = large if status == 0 else other
    assert world.run(60, lambda: in_force(world, expected))
    assert auditor.longest_divergence_us <= TIMING.max_divergence_us


def test_a_veto_drops_the_proposal_with_its_reason() -> None:
    world, _ = start_world()
    assert propose(world, 4, Rules(paused=("nothing of the kind",))) == 0
    assert world.run(5, lambda: world.state().versions.next is None)
    assert "no such class" in world.state().versions.last_dropped
    assert world.state().versions.number == 0


@pytest.mark.parametrize("seconds", [1.0, 3.0, 10.0])
def test_a_gateway_stopped_during_a_change_does_not_use_the_old_version_after_its_lease(
    seconds: float,
) -> None:
    world, auditor = start_world()
    first, second = Rules(caps={"report": 5}), Rules(shut=("e1",))
    assert propose(world, 4, first) == 0 and world.run(4, lambda: in_force(world, first))
    assert propose(world, 4, second) == 0
    world.pause(6, seconds)
    world.run(seconds)
    active = auditor.active_version(6)
    assert active is None or not active.leased or active.rules != first or seconds < 1.5
    assert world.run(15, lambda: in_force(world, second))
    assert auditor.longest_divergence_us <= TIMING.max_divergence_us


def test_a_minority_uses_the_stricter_merge_and_catches_up_after_the_partition() -> None:
    world, auditor = start_world()
    first, second = Rules(caps={"report": 5}), Rules(shut=("e1",))
    assert propose(world, 4, first) == 0 and world.run(4, lambda: in_force(world, first))
    world.fault = lambda a, b, _: [] if (a in (0, 6)) != (b in (0, 6)) else [0.0]
    assert world.run(6, lambda: world.leader() in (1, 2))
    world.run(6)  # until the two are considered removed
    assert propose(world, 4, second) == 0
    assert world.run(8, lambda: world.state().versions.number == 2)
    active = auditor.active_version(6)
    assert active is not None and not active.leased and active.rules == first  # no older version to merge
    world.fault = deliver_once
    assert world.run(8, lambda: in_force(world, second))
    assert auditor.longest_divergence_us <= TIMING.max_divergence_us


def test_proposer_or_leader_crash_at_each_step() -> None:
    for victim in ("proposer", "leader"):
        for step in range(6):
            world, auditor = start_world(seed=step)
            rules = Rules(caps={"report": 5})
            key = world.node(4).submit(
                world.clock(4), VersionRequest(1, member_of(world, 4).store_rules(rules), ""), 5, True
            )
            world.run(0.05 + 0.15 * step)
            number = 4 if victim == "proposer" else world.leader()
            assert number is not None and key
            world.kill(number)
            world.run(1)
            world.start(number)
            world.run(20)
            versions = world.state().versions
            assert versions.next is None, (victim, step)
            if versions.number:
                assert in_force(world, rules)
            assert auditor.longest_divergence_us <= TIMING.max_divergence_us


@pytest.mark.parametrize("seed", range(4))
def test_twenty_changes_under_random_faults(seed: int) -> None:
    random = Random(seed)
    world, auditor = start_world(count=9, seed=seed)
    for step in range(20):
        world.fault = deliver_once
        if random.random() < 0.4:
            loss = random.choice([0.05, 0.2])
            world.fault = lambda a, b, r, loss=loss: [] if r.random() < loss else [r.random() * 0.05]  # type: ignore[misc]
        if random.random() < 0.3:
            world.pause(random.randrange(9), random.random() * 4)
        if random.random() < 0.3:
            victim = random.randrange(9)
            world.kill(victim)
            world.start(victim)
        rules = Rules(
            caps={"report": random.randrange(9)},
            homes={"1": random.randrange(9)},
            shut=tuple(random.sample(["e1", "e2", "e3"], random.randrange(3))),
        )
        propose(world, random.choice(world.running_numbers()), rules, 3)
        world.run(random.random() * 4)
        assert auditor.longest_divergence_us <= TIMING.max_divergence_us, step
    world.fault = deliver_once
    world.run(20)
    assert world.state().versions.number >= 5


# --- Broken variants that the model and the auditor must detect.


@pytest.mark.parametrize("broken", ["no_lease", "from_answer", "no_between", "settles_early", "on_proposal"])
def test_the_model_detects_broken_variants(broken: str) -> None:
    _, violations, _ = explore_leases(Variant(**{broken: True}), 60_000)
    assert violations


def test_the_model_finds_no_violation_in_the_implementation() -> None:
    _, violations, _ = explore_leases(Variant(), 60_000)  # all 644,447 states: docs/results.md
    assert not violations


def test_auditor_detects_a_gateway_that_ignores_its_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(VersionLease, "active_version", lambda self, now: self._leased_version)
    world, auditor = start_world()
    first, second = Rules(caps={"report": 5}), Rules(shut=("e1",))
    assert propose(world, 4, first) == 0 and world.run(4, lambda: in_force(world, first))
    world.fault = lambda a, b, _: [] if 6 in (a, b) else [0.0]
    world.run(10)
    assert propose(world, 4, second) == 0
    world.run(8)
    assert auditor.longest_divergence_us > TIMING.max_divergence_us


def test_auditor_detects_a_lease_counted_from_the_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    apply_lease = VersionMember.apply_lease

    def count_from_answer(self: VersionMember, now: int, grant: object, versions: object) -> None:
        self.sent_at_by_stamp = dict.fromkeys([grant.sent_ms], now)  # type: ignore[attr-defined]
        apply_lease(self, now, grant, versions)  # type: ignore[arg-type]

    monkeypatch.setattr(VersionMember, "apply_lease", count_from_answer)
    world, auditor = start_world(drift=0.0)
    first, second = Rules(caps={"report": 5}), Rules(shut=("e1",))
    assert propose(world, 4, first) == 0 and world.run(4, lambda: in_force(world, first))
    world.fault = lambda a, b, _: [4.0] if b == 6 else [0.0]
    assert propose(world, 4, second) == 0
    world.run(10)
    assert auditor.longest_divergence_us > TIMING.max_divergence_us
