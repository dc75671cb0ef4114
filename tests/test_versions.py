"""Settings with versions: their order, their way, and how long two gateways can differ."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from whintrail.fleet.membership import Life
from whintrail.fleet.node import Given
from whintrail.fleet.wire import WantVersion
from whintrail.standins.leases import Variant, look
from whintrail.standins.rules import RuleAuditor
from whintrail.standins.simulated import World, sound
from whintrail.versions.acting import Acting, Phase
from whintrail.versions.body import (
    NOBODY,
    Body,
    BodyError,
    between,
    canonical,
    check,
    decode,
    differences,
    digest,
    encode,
    meet,
    read_body,
    stricter,
)
from whintrail.versions.lists import Lists, Sight
from whintrail.versions.member import Member, VersionPace
from whintrail.versions.parts import PIECE, Parts

names = st.lists(st.sampled_from("abcde"), max_size=4).map(tuple)
counts = st.dictionaries(st.sampled_from("abc"), st.integers(0, 9), max_size=3)
waits = st.dictionaries(st.sampled_from("abc"), st.integers(1, 9), max_size=3)
homes = st.dictionaries(st.sampled_from(["1", "2", "3"]), st.integers(-1, 3), max_size=3)
bodies = st.builds(Body, shut=names, paused=names, caps=counts, wait_ms=waits, homes=homes)


def test_a_newcomer_has_its_lease_before_it_has_heard_of_the_leader_by_a_probe() -> None:
    world = World(lambda n, b: Given("f", n, 60, (0, 1, 2), versions=VersionPace()), 60, 7)
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
            if settings.member.acting.rule(world.clock(number)).leased:
                break
        else:
            pytest.fail(f"n{number} has no lease 3 s after its start")
        members = world.node(number).members
        unheard += members.count(Life.ALIVE) < 30
    assert unheard == 6  # of most members it has heard nothing yet


@given(bodies, bodies, bodies)
def test_the_merge_is_commutative_associative_idempotent_and_stricter(a: Body, b: Body, c: Body) -> None:
    assert meet(a, b) == meet(b, a)
    assert meet(meet(a, b), c) == meet(a, meet(b, c))
    assert meet(a, a) == canonical(a)
    assert stricter(meet(a, b), a) and stricter(meet(a, b), b)


@given(bodies, bodies)
def test_equal_rules_are_equal_bytes_and_nothing_else_is_read(a: Body, b: Body) -> None:
    assert decode(encode(a)) == canonical(a)
    assert (encode(a) == encode(b)) == (canonical(a) == canonical(b))
    assert (list(differences(canonical(a), canonical(b))) == []) == (canonical(a) == canonical(b))
    data = encode(a)
    with pytest.raises(BodyError):
        decode(data + b"\xc0")


def test_what_has_no_order_is_refused_with_its_place() -> None:
    with pytest.raises(BodyError, match=r"\$\.council"):
        between(Body(council=(0, 1, 2)), Body(council=(0, 1, 3)))
    assert between(Body(homes={"7": 1}), Body(homes={"7": 2})).homes == {"7": NOBODY}
    with pytest.raises(BodyError, match=r"\$\.caps"):
        read_body({"caps": {"report": -1}})
    with pytest.raises(BodyError, match="unknown"):
        read_body({"cap": {}})
    with pytest.raises(BodyError, match="65536 at most"):
        encode(Body(shut=tuple(f"{n:064d}" for n in range(1100))))
    assert "no such class" in check(Body(paused=("x",)), frozenset({"a"}), 3)
    assert "none of 3" in check(Body(homes={"1": 3}), frozenset({"a"}), 3)


def test_a_body_comes_in_pieces_though_some_are_lost_and_one_is_wrong() -> None:
    random = Random(1)
    data = encode(Body(shut=tuple(f"{n:064d}" for n in range(500))))
    holders = {number: Parts(Random(number)) for number in (1, 2, 3)}
    for holder in holders.values():
        holder.put(data)
    mine, now = Parts(Random(9)), 0
    mine.want(digest(data), 1)
    wrong = {1: 3}  # the first holder spoils a piece
    while mine.fetching and now < 60_000_000:
        now += 50_000
        for of, key, part in mine.due(now, [1, 2, 3]):
            found = holders[of].piece(key, part)
            if found is not None and random.random() > 0.2:
                piece = bytes(PIECE) if wrong.get(of) == part else found[1]
                mine.take(now, of, key, part, found[0], piece)
    assert mine.held[digest(data)] == data and now < 20_000_000
    assert mine.piece(digest(data), 10_000) is None and mine.piece(1, 0) is None


def test_the_proposer_is_asked_first_by_so_many_and_who_does_not_hold_it_is_not_waited_for() -> None:
    late = 10**12  # of a process's clock
    first = []
    for number in range(2000):
        mine = Parts(Random(number))
        mine.want(77, 5)
        first.append(mine.due(late, range(2000))[0][0])
    assert 150 < first.count(5) < 400  # one of 2,000 would be drawn at random
    few = Parts(Random(1))
    few.want(77, 5)
    asked = [of for turn in range(12) for of, _, _ in few.due(late + turn * 50_000, range(200))]
    assert asked[0] == 5 and len(asked) == 4  # each 0.15 s, another one each time
    assert len(set(asked)) == 4


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_change_is_in_force_everywhere_soon_after_it_was_proposed(seed: int) -> None:
    world = World(lambda n, b: Given("f", n, 60, (0, 1, 2), versions=VersionPace()), 60, seed)
    world.acquaint()
    assert world.run(20, lambda: world.leader() is not None)
    world.run(3)
    for number in (1, 2):
        node, began = world.node(20 + number), world.now
        assert node.settings is not None
        digest = node.settings.member.put(Body(caps={"report": number}))
        node.wish(world.clock(20 + number), WantVersion(number, digest, ""), 10, True)

        def acted(number: int = number) -> bool:
            found = [world.node(n).settings for n in world.up()]
            rules = [s.member.acting.rule(world.clock(n)) for n, s in enumerate(found) if s is not None]
            return all(r.leased and (r.number, r.phase) == (number, Phase.SETTLED) for r in rules)

        assert world.run(10, acted)
        assert (world.now - began) / 1e6 < 1.5
        world.run(1)


def test_after_its_lease_a_gateway_acts_on_the_stricter_of_the_last_two() -> None:
    acting = Acting()
    old, new = Body(shut=("a",), caps={"c": 5}), Body(shut=("b",), caps={"c": 9})
    acting.told(4, Phase.SETTLED, 100, {3: old, 4: new})
    assert acting.rule(99).body == new and acting.rule(99).leased
    assert acting.rule(100).body == meet(old, new) and not acting.rule(100).leased
    acting.told(4, Phase.ENTERING, 200, {4: new, 5: old})
    assert acting.rule(150).body == meet(old, new) and acting.rule(150).name == "4>5"
    assert acting.lapses == 1


def test_lists_are_compared_by_generation_and_digest_and_hearsay_only_shuts() -> None:
    mine, theirs = Lists(3_000_000), Lists(3_000_000)
    for lists in (mine, theirs):
        lists.listed(0, 1, True, [("a", True, False), ("b", True, False), ("c", True, False)])
    assert mine.sight(theirs.generation, theirs.digest) is Sight.SAME
    theirs.listed(1, 2, False, [("a", False, False), ("b", False, True), ("d", True, False)])
    assert mine.sight(theirs.generation, theirs.digest) is Sight.BEHIND
    assert theirs.sight(mine.generation, mine.digest) is Sight.AHEAD
    assert mine.heard(theirs.generation, theirs.stricter())
    assert mine.shut == {"a", "b"}  # and not: that there is a "d"
    assert not mine.heard(1, ["c"])  # no newer than ours
    mine.listed(2, 2, False, [("a", False, False), ("b", False, True)])
    assert mine.shut == frozenset() and mine.sight(2, theirs.digest) is Sight.CONTRADICTS
    mine.listed(3, 1, True, [("a", True, False)])  # a bulletin that goes back in time is obeyed, and told
    assert mine.went_back == 1 and mine.heard(2, ["a"]) and mine.shut == {"a"}
    assert not mine.old(3_000_000) and mine.old(3_000_010)
    many = Lists(1)
    many.listed(0, 1, True, [(str(n), True, False) for n in range(5000)])
    many.listed(0, 2, True, [])
    many.heard(3, map(str, range(5000)))
    assert len(many.left) <= 256 and len(many.hearsay) <= 256


# --- In simulated time.

PACE = VersionPace()


def make(count: int = 7, seed: int = 1, drift: float = 0.01) -> tuple[World, RuleAuditor]:
    def of(number: int, build: str) -> Given:
        return Given("f", number, count, (0, 1, 2), versions=PACE, messages_per_s=900, bytes_per_s=200_000)

    world = World(of, count, seed, drift=drift)
    assert world.run(8, lambda: world.leader() is not None)
    world.run(2)
    auditor = RuleAuditor(world)
    auditor.start()
    return world, auditor


def versions_of(world: World, number: int) -> Member:
    found = world.node(number).settings
    assert found is not None
    return found.member


def propose(world: World, who: int, body: Body, seconds: float = 5.0) -> int:
    """Propose on a gateway; the word of the answer."""
    node, member = world.node(who), versions_of(world, who)
    want = WantVersion(node.state.versions.number + 1, member.put(body), "")
    key = node.wish(world.clock(who), want, seconds, True)
    words: list[int] = []

    def answered() -> bool:
        words.extend(o.word for o in node.outcomes() if o.key == key)
        return bool(words)

    world.run(seconds + 1, answered)
    return words[0] if words else 2


def in_force(world: World, body: Body) -> bool:
    """On every process that runs."""
    rules = [versions_of(world, n).acting.rule(world.clock(n)) for n in world.up()]
    settled = all(world.node(n).state.versions.next is None for n in world.up())
    return settled and all(rule.leased and rule.body == canonical(body) for rule in rules)


def test_a_change_is_in_force_everywhere_within_the_stated_time_and_passes_through_the_stricter() -> None:
    world, auditor = make()
    first = Body(homes={"7": 1}, caps={"report": 5})
    assert propose(world, 4, first) == 0
    assert world.run(3, lambda: in_force(world, first))
    second = Body(homes={"7": 2}, caps={"report": 9})
    assert propose(world, 5, second) == 0
    strict = meet(first, second)
    assert world.run(
        3, lambda: any(versions_of(world, n).acting.rule(world.clock(n)).body == strict for n in range(7))
    )
    assert world.run(3, lambda: in_force(world, second))
    assert auditor.longest_us <= PACE.stated_us and auditor.apart <= 2
    assert world.state().versions.number == 2


def test_a_large_body_under_loss_and_two_proposals_at_once() -> None:
    world, auditor = make()
    world.fault = lambda a, b, r: [] if r.random() < 0.2 else [r.random() * 0.02]
    large = Body(shut=tuple(f"{n:060d}" for n in range(900)))
    other = Body(paused=("report",))
    node = world.node(5)
    key = node.wish(world.clock(5), WantVersion(1, versions_of(world, 5).put(other), ""), 5, True)
    word = propose(world, 4, large)
    world.run(1)
    words = [word, *(o.word for o in node.outcomes() if o.key == key)]
    assert sorted(words)[:1] == [0] and words.count(0) == 1  # one of both counts
    expected = large if word == 0 else other
    assert world.run(60, lambda: in_force(world, expected))
    assert auditor.longest_us <= PACE.stated_us


def test_a_veto_ends_it_with_name_and_reason() -> None:
    world, _ = make()
    assert propose(world, 4, Body(paused=("nothing of the kind",))) == 0
    assert world.run(5, lambda: world.state().versions.next is None)
    assert "no such class" in world.state().versions.dropped
    assert world.state().versions.number == 0


@pytest.mark.parametrize("seconds", [1.0, 3.0, 10.0])
def test_one_that_is_stopped_across_a_change_decides_nothing_on_the_old_version_past_its_lease(
    seconds: float,
) -> None:
    world, auditor = make()
    first, second = Body(caps={"report": 5}), Body(shut=("e1",))
    assert propose(world, 4, first) == 0 and world.run(4, lambda: in_force(world, first))
    assert propose(world, 4, second) == 0
    world.stop(6, seconds)
    world.run(seconds)
    rule = auditor.rule(6)
    assert rule is None or not rule.leased or rule.body != first or seconds < 1.5
    assert world.run(15, lambda: in_force(world, second))
    assert auditor.longest_us <= PACE.stated_us


def test_a_minority_serves_on_by_the_stricter_and_follows_after_the_split() -> None:
    world, auditor = make()
    first, second = Body(caps={"report": 5}), Body(shut=("e1",))
    assert propose(world, 4, first) == 0 and world.run(4, lambda: in_force(world, first))
    world.fault = lambda a, b, _: [] if (a in (0, 6)) != (b in (0, 6)) else [0.0]
    assert world.run(6, lambda: world.leader() in (1, 2))
    world.run(6)  # the two are taken for gone
    assert propose(world, 4, second) == 0
    assert world.run(8, lambda: world.state().versions.number == 2)
    rule = auditor.rule(6)
    assert rule is not None and not rule.leased and rule.body == first  # with nothing before it
    world.fault = sound
    assert world.run(8, lambda: in_force(world, second))
    assert auditor.longest_us <= PACE.stated_us


def test_the_proposer_and_the_leader_die_at_any_step() -> None:
    for victim in ("proposer", "leader"):
        for step in range(6):
            world, auditor = make(seed=step)
            body = Body(caps={"report": 5})
            key = world.node(4).wish(
                world.clock(4), WantVersion(1, versions_of(world, 4).put(body), ""), 5, True
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
            assert auditor.longest_us <= PACE.stated_us


@pytest.mark.parametrize("seed", range(4))
def test_twenty_changes_under_random_faults(seed: int) -> None:
    random = Random(seed)
    world, auditor = make(count=9, seed=seed)
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
        body = Body(
            caps={"report": random.randrange(9)},
            homes={"1": random.randrange(9)},
            shut=tuple(random.sample(["e1", "e2", "e3"], random.randrange(3))),
        )
        propose(world, random.choice(world.up()), body, 3)
        world.run(random.random() * 4)
        assert auditor.longest_us <= PACE.stated_us, turn
    world.fault = sound
    world.run(20)
    assert world.state().versions.number >= 5


# --- Variants that the model and the auditor have to catch.


@pytest.mark.parametrize("broken", ["no_lease", "from_answer", "no_between", "settles_early", "on_proposal"])
def test_the_model_catches(broken: str) -> None:
    _, found, _ = look(Variant(**{broken: True}), 60_000)
    assert found


def test_the_model_finds_nothing_in_what_was_built() -> None:
    _, found, _ = look(Variant(), 60_000)  # all 644,447 states: docs/results.md
    assert not found


def test_caught_a_gateway_without_a_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Acting, "rule", lambda self, now: self._leased)
    world, auditor = make()
    first, second = Body(caps={"report": 5}), Body(shut=("e1",))
    assert propose(world, 4, first) == 0 and world.run(4, lambda: in_force(world, first))
    world.fault = lambda a, b, _: [] if 6 in (a, b) else [0.0]
    world.run(10)
    assert propose(world, 4, second) == 0
    world.run(8)
    assert auditor.longest_us > PACE.stated_us


def test_caught_a_lease_that_counts_from_the_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    told = Member.told

    def late(self: Member, now: int, tell: object, versions: object) -> None:
        self.asked = dict.fromkeys([tell.stamp], now)  # type: ignore[attr-defined]
        told(self, now, tell, versions)  # type: ignore[arg-type]

    monkeypatch.setattr(Member, "told", late)
    world, auditor = make(drift=0.0)
    first, second = Body(caps={"report": 5}), Body(shut=("e1",))
    assert propose(world, 4, first) == 0 and world.run(4, lambda: in_force(world, first))
    world.fault = lambda a, b, _: [4.0] if b == 6 else [0.0]
    assert propose(world, 4, second) == 0
    world.run(10)
    assert auditor.longest_us > PACE.stated_us
