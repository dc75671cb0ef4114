"""Settings with versions: their order, their way, and how long two gateways can differ."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from whintrail.fleet.membership import MemberState
from whintrail.fleet.node import FleetConfig
from whintrail.fleet.wire import VersionRequest
from whintrail.standins.leases import Variant, look
from whintrail.standins.rules import RuleAuditor
from whintrail.standins.simulated import World, sound
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
bodies = st.builds(Rules, shut=names, paused=names, caps=counts, wait_ms=waits, homes=homes)


def test_a_new_member_gets_its_lease_before_it_knows_most_members() -> None:
    world = World(lambda n, b: FleetConfig("f", n, 60, (0, 1, 2), versions=VersionTiming()), 60, 7)
    world.acquaint()
    assert world.run(20, lambda: world.leader() is not None)
    world.run(3)
    leader = world.leader()
    assert leader is not None
    unheard = 0
    for number in range(10, 16):
        world.kill(number)
        world.run(1)
        world.start(number)
        for _ in range(30):  # it hears of who leads by the first probe, its own or another's
            world.run(0.1)
            settings = world.node(number).settings
            assert settings is not None
            if settings.member.lease.active_version(world.clock(number)).leased:
                break
        else:
            pytest.fail(f"n{number} has no lease 3 s after its start")
        members = world.node(number).membership
        unheard += members.count_in(MemberState.ALIVE) < 30
    assert unheard == 6  # of most members it has heard nothing yet


@given(bodies, bodies, bodies)
def test_the_merge_is_commutative_associative_idempotent_and_stricter(a: Rules, b: Rules, c: Rules) -> None:
    assert merge_strict(a, b) == merge_strict(b, a)
    assert merge_strict(merge_strict(a, b), c) == merge_strict(a, merge_strict(b, c))
    assert merge_strict(a, a) == canonicalize(a)
    assert is_at_least_as_strict(merge_strict(a, b), a) and is_at_least_as_strict(merge_strict(a, b), b)


@given(bodies, bodies)
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
    mine, now = RulesStore(Random(9)), 0
    mine.fetch(digest(data), 1)
    wrong = {1: 3}  # the first holder spoils a piece
    while mine.fetching and now < 60_000_000:
        now += 50_000
        for of, key, part in mine.due_requests(now, [1, 2, 3]):
            found = holders[of].read_piece(key, part)
            if found is not None and random.random() > 0.2:
                piece = bytes(PIECE_BYTES) if wrong.get(of) == part else found[1]
                mine.receive_piece(now, of, key, part, found[0], piece)
    assert mine.held[digest(data)] == data and now < 20_000_000
    assert mine.read_piece(digest(data), 10_000) is None and mine.read_piece(1, 0) is None


def test_few_members_ask_the_proposer_and_a_source_without_the_rules_is_replaced() -> None:
    late = 10**12  # of a process's clock
    first = []
    for number in range(2000):
        mine = RulesStore(Random(number))
        mine.fetch(77, 5)
        first.append(mine.due_requests(late, range(2000))[0][0])
    assert 150 < first.count(5) < 400  # one of 2,000 would be drawn at random
    few = RulesStore(Random(1))
    few.fetch(77, 5)
    asked = [of for turn in range(12) for of, _, _ in few.due_requests(late + turn * 50_000, range(200))]
    assert asked[0] == 5 and len(asked) == 4  # each 0.15 s, another one each time
    assert len(set(asked)) == 4


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_change_is_in_force_everywhere_soon_after_it_was_proposed(seed: int) -> None:
    world = World(lambda n, b: FleetConfig("f", n, 60, (0, 1, 2), versions=VersionTiming()), 60, seed)
    world.acquaint()
    assert world.run(20, lambda: world.leader() is not None)
    world.run(3)
    for number in (1, 2):
        node, began = world.node(20 + number), world.now
        assert node.settings is not None
        digest = node.settings.member.store_rules(Rules(caps={"report": number}))
        node.submit(world.clock(20 + number), VersionRequest(number, digest, ""), 10, True)

        def acted(number: int = number) -> bool:
            found = [world.node(n).settings for n in world.up()]
            rules = [
                s.member.lease.active_version(world.clock(n)) for n, s in enumerate(found) if s is not None
            ]
            return all(r.leased and (r.number, r.phase) == (number, Phase.SETTLED) for r in rules)

        assert world.run(10, acted)
        assert (world.now - began) / 1e6 < 1.5
        world.run(1)


def test_after_its_lease_a_gateway_acts_on_the_stricter_of_the_last_two() -> None:
    acting = VersionLease()
    old, new = Rules(shut=("a",), caps={"c": 5}), Rules(shut=("b",), caps={"c": 9})
    acting.renew(4, Phase.SETTLED, 100, {3: old, 4: new})
    assert acting.active_version(99).rules == new and acting.active_version(99).leased
    assert (
        acting.active_version(100).rules == merge_strict(old, new) and not acting.active_version(100).leased
    )
    acting.renew(4, Phase.ENTERING, 200, {4: new, 5: old})
    assert (
        acting.active_version(150).rules == merge_strict(old, new)
        and acting.active_version(150).label == "4>5"
    )
    assert acting.lapse_count == 1


def test_lists_are_compared_by_generation_and_digest_and_peers_only_exclude_engines() -> None:
    mine, theirs = EngineListState(3_000_000), EngineListState(3_000_000)
    for lists in (mine, theirs):
        lists.apply_event(0, 1, True, [("a", True, False), ("b", True, False), ("c", True, False)])
    assert mine.compare(theirs.generation, theirs.digest) is ListComparison.SAME
    theirs.apply_event(1, 2, False, [("a", False, False), ("b", False, True), ("d", True, False)])
    assert mine.compare(theirs.generation, theirs.digest) is ListComparison.BEHIND
    assert theirs.compare(mine.generation, mine.digest) is ListComparison.AHEAD
    assert mine.apply_peer_exclusions(theirs.generation, theirs.departing_engines())
    assert mine.excluded_engines == {"a", "b"}  # and not: that there is a "d"
    assert not mine.apply_peer_exclusions(1, ["c"])  # no newer than ours
    mine.apply_event(2, 2, False, [("a", False, False), ("b", False, True)])
    assert (
        mine.excluded_engines == frozenset() and mine.compare(2, theirs.digest) is ListComparison.CONFLICTING
    )
    mine.apply_event(
        3, 1, True, [("a", True, False)]
    )  # a bulletin that goes back in time is obeyed, and told
    assert (
        mine.generation_regressions == 1
        and mine.apply_peer_exclusions(2, ["a"])
        and mine.excluded_engines == {"a"}
    )
    assert not mine.is_stale(3_000_000) and mine.is_stale(3_000_010)
    many = EngineListState(1)
    many.apply_event(0, 1, True, [(str(n), True, False) for n in range(5000)])
    many.apply_event(0, 2, True, [])
    many.apply_peer_exclusions(3, map(str, range(5000)))
    assert len(many.departed) <= 256 and len(many.peer_exclusions) <= 256


# --- In simulated time.

PACE = VersionTiming()


def start_world(count: int = 7, seed: int = 1, drift: float = 0.01) -> tuple[World, RuleAuditor]:
    def make_node(number: int, build: str) -> FleetConfig:
        return FleetConfig(
            "f", number, count, (0, 1, 2), versions=PACE, messages_per_s=900, bytes_per_s=200_000
        )

    world = World(make_node, count, seed, drift=drift)
    assert world.run(8, lambda: world.leader() is not None)
    world.run(2)
    auditor = RuleAuditor(world)
    auditor.start()
    return world, auditor


def member_of(world: World, number: int) -> VersionMember:
    found = world.node(number).settings
    assert found is not None
    return found.member


def propose(world: World, who: int, body: Rules, seconds: float = 5.0) -> int:
    """Propose on a gateway; the word of the answer."""
    node, member = world.node(who), member_of(world, who)
    want = VersionRequest(node.state.versions.number + 1, member.store_rules(body), "")
    key = node.submit(world.clock(who), want, seconds, True)
    words: list[int] = []

    def answered() -> bool:
        words.extend(o.status for o in node.take_outcomes() if o.key == key)
        return bool(words)

    world.run(seconds + 1, answered)
    return words[0] if words else 2


def in_force(world: World, body: Rules) -> bool:
    """On every process that runs."""
    rules = [member_of(world, n).lease.active_version(world.clock(n)) for n in world.up()]
    settled = all(world.node(n).state.versions.next is None for n in world.up())
    return settled and all(rule.leased and rule.rules == canonicalize(body) for rule in rules)


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
    assert auditor.longest_us <= PACE.max_divergence_us and auditor.apart <= 2
    assert world.state().versions.number == 2


def test_a_large_body_under_loss_and_two_proposals_at_once() -> None:
    world, auditor = start_world()
    world.fault = lambda a, b, r: [] if r.random() < 0.2 else [r.random() * 0.02]
    large = Rules(shut=tuple(f"{n:060d}" for n in range(900)))
    other = Rules(paused=("report",))
    node = world.node(5)
    key = node.submit(world.clock(5), VersionRequest(1, member_of(world, 5).store_rules(other), ""), 5, True)
    word = propose(world, 4, large)
    world.run(1)
    words = [word, *(o.status for o in node.take_outcomes() if o.key == key)]
    assert sorted(words)[:1] == [0] and words.count(0) == 1  # one of both counts
    expected = large if word == 0 else other
    assert world.run(60, lambda: in_force(world, expected))
    assert auditor.longest_us <= PACE.max_divergence_us


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
    world.stop(6, seconds)
    world.run(seconds)
    rule = auditor.rule(6)
    assert rule is None or not rule.leased or rule.rules != first or seconds < 1.5
    assert world.run(15, lambda: in_force(world, second))
    assert auditor.longest_us <= PACE.max_divergence_us


def test_a_minority_uses_the_stricter_merge_and_catches_up_after_the_partition() -> None:
    world, auditor = start_world()
    first, second = Rules(caps={"report": 5}), Rules(shut=("e1",))
    assert propose(world, 4, first) == 0 and world.run(4, lambda: in_force(world, first))
    world.fault = lambda a, b, _: [] if (a in (0, 6)) != (b in (0, 6)) else [0.0]
    assert world.run(6, lambda: world.leader() in (1, 2))
    world.run(6)  # the two are taken for gone
    assert propose(world, 4, second) == 0
    assert world.run(8, lambda: world.state().versions.number == 2)
    rule = auditor.rule(6)
    assert rule is not None and not rule.leased and rule.rules == first  # with nothing before it
    world.fault = sound
    assert world.run(8, lambda: in_force(world, second))
    assert auditor.longest_us <= PACE.max_divergence_us


def test_proposer_or_leader_crash_at_each_step() -> None:
    for victim in ("proposer", "leader"):
        for step in range(6):
            world, auditor = start_world(seed=step)
            body = Rules(caps={"report": 5})
            key = world.node(4).submit(
                world.clock(4), VersionRequest(1, member_of(world, 4).store_rules(body), ""), 5, True
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
                assert in_force(world, body)
            assert auditor.longest_us <= PACE.max_divergence_us


@pytest.mark.parametrize("seed", range(4))
def test_twenty_changes_under_random_faults(seed: int) -> None:
    random = Random(seed)
    world, auditor = start_world(count=9, seed=seed)
    for turn in range(20):
        world.fault = sound
        if random.random() < 0.4:
            loss = random.choice([0.05, 0.2])
            world.fault = lambda a, b, r, loss=loss: [] if r.random() < loss else [r.random() * 0.05]  # type: ignore[misc]
        if random.random() < 0.3:
            world.stop(random.randrange(9), random.random() * 4)
        if random.random() < 0.3:
            victim = random.randrange(9)
            world.kill(victim)
            world.start(victim)
        body = Rules(
            caps={"report": random.randrange(9)},
            homes={"1": random.randrange(9)},
            shut=tuple(random.sample(["e1", "e2", "e3"], random.randrange(3))),
        )
        propose(world, random.choice(world.up()), body, 3)
        world.run(random.random() * 4)
        assert auditor.longest_us <= PACE.max_divergence_us, turn
    world.fault = sound
    world.run(20)
    assert world.state().versions.number >= 5


# --- Variants that the model and the auditor have to catch.


@pytest.mark.parametrize("broken", ["no_lease", "from_answer", "no_between", "settles_early", "on_proposal"])
def test_the_model_detects_broken_variants(broken: str) -> None:
    _, found, _ = look(Variant(**{broken: True}), 60_000)
    assert found


def test_the_model_finds_no_violation_in_the_implementation() -> None:
    _, found, _ = look(Variant(), 60_000)  # all 644,447 states: docs/results.md
    assert not found


def test_auditor_detects_a_gateway_that_ignores_its_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(VersionLease, "rule", lambda self, now: self._leased)
    world, auditor = start_world()
    first, second = Rules(caps={"report": 5}), Rules(shut=("e1",))
    assert propose(world, 4, first) == 0 and world.run(4, lambda: in_force(world, first))
    world.fault = lambda a, b, _: [] if 6 in (a, b) else [0.0]
    world.run(10)
    assert propose(world, 4, second) == 0
    world.run(8)
    assert auditor.longest_us > PACE.max_divergence_us


def test_auditor_detects_a_lease_counted_from_the_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    told = VersionMember.apply_lease

    def late(self: VersionMember, now: int, tell: object, versions: object) -> None:
        self.sent_at_by_stamp = dict.fromkeys([tell.stamp], now)  # type: ignore[attr-defined]
        told(self, now, tell, versions)  # type: ignore[arg-type]

    monkeypatch.setattr(VersionMember, "told", late)
    world, auditor = start_world(drift=0.0)
    first, second = Rules(caps={"report": 5}), Rules(shut=("e1",))
    assert propose(world, 4, first) == 0 and world.run(4, lambda: in_force(world, first))
    world.fault = lambda a, b, _: [4.0] if b == 6 else [0.0]
    assert propose(world, 4, second) == 0
    world.run(10)
    assert auditor.longest_us > PACE.max_divergence_us
