"""What gateways tell one another: the form of a memo, and what the module makes of one."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.helpers import SECOND, Driver, engine, sends, settings
from whintrail import interface as api
from whintrail.brain import ROOM
from whintrail.fleet import memo

shares = st.none() | st.integers(0, 254).map(lambda n: n / 100)
loads = st.builds(
    api.LoadReport, shares, st.none() | st.integers(0, 254), st.none() | st.integers(0, 254), shares
)
sightings = st.builds(
    memo.Sighting, st.integers(0, 65_535), st.integers(0, 255).map(lambda n: n * 32_000), loads, st.just(16.0)
)


@given(st.lists(sightings, max_size=memo.MOST_SIGHTINGS))
def test_what_is_told_is_read_again(told: list[memo.Sighting]) -> None:
    data = memo.encode(told)
    assert len(data) <= memo.MOST_BYTES
    read = memo.decode(data)
    assert [(s.key, s.age_us) for s in read] == [(s.key, s.age_us) for s in told]
    for a, b in zip(told, read, strict=True):
        again = b.report(16.0)
        for x, y in ((a.load.utilisation, again.utilisation), (a.load.memory_share, again.memory_share)):
            assert (x is None) == (y is None) and (x is None or abs(x - (y or 0)) < 0.01)
        assert (a.load.held is None) == (again.held is None)
        assert a.load.held is None or abs(a.load.held - (again.held or 0)) <= 0.5


@given(st.binary(max_size=300))
def test_bytes_are_a_memo_or_refused(data: bytes) -> None:
    try:
        told = memo.decode(data)
    except memo.MemoError:
        return
    assert memo.encode([replace(s, cores=1.0) for s in told]) == data


def test_a_memo_longer_or_shorter_than_its_head_says_is_refused() -> None:
    data = memo.encode([memo.Sighting(7, 0, api.LoadReport(held=4), 16.0)])
    for wrong in (data[:-1], data + b"\0", b"\2" + data[1:], data[:1] + b"\7" + data[2:], b""):
        with pytest.raises(memo.MemoError):
            memo.decode(wrong)


def test_engines_that_share_a_key_are_left_out() -> None:
    names = [f"10.{n * n % 251}.{n * 37 % 241}.{n // 7}:{7000 + n * n * n % 97}" for n in range(2000)]
    found = memo.keys_of(names)
    twins = [n for n in names if sum(memo.key_of(n) == memo.key_of(m) for m in names) > 1]
    assert twins and not set(twins) & set(found.values())
    assert len(found) == len(names) - len(twins)


def fleet(count: int = 20, **changes: object) -> Driver:
    given = settings(fleet_size=100, peers_allowed=True, reports_by=api.ReportsBy.PROBES, **changes)
    return Driver(given, *(engine(f"e{n}") for n in range(count)))


def told(address: str, age_us: int = 0, **values: float) -> bytes:
    return memo.encode([memo.Sighting(memo.key_of(address), age_us, api.LoadReport(**values), 8.0)])


def tells(actions: list[api.Action]) -> list[api.TellPeer]:
    return [a for a in actions if isinstance(a, api.TellPeer)]


def test_what_a_probe_brings_is_told_to_all_and_only_where_that_is_allowed() -> None:
    driver = fleet()
    (sent,) = tells(driver.report("e3", held=16))
    (seen,) = memo.decode(sent.payload)
    assert sent.target is None and seen.key == memo.key_of("e3") and seen.report(8.0).held == 16
    silent = Driver(settings(reports_by=api.ReportsBy.PROBES), engine("e3"))
    assert not tells(silent.report("e3", held=16))


def hear(driver: Driver, payload: bytes, times: int = 40) -> None:
    """Often enough to be heeded."""
    for origin in range(1, times + 1):
        driver.tell(api.PeerTold(origin, payload))


def test_another_gateways_probe_counts_like_our_own_and_an_older_one_not_at_all() -> None:
    driver = fleet(2)
    hear(driver, told("e0", held=40))
    assert driver.gateway._pressed(driver.gateway.engines["e0"])
    hear(driver, told("e0", 2 * SECOND, held=0))
    assert driver.gateway._pressed(driver.gateway.engines["e0"])
    driver.now += SECOND
    hear(driver, told("e0", 64_000, held=0))
    assert not driver.gateway._pressed(driver.gateway.engines["e0"])


def test_gateways_do_not_all_heed_the_same_report() -> None:
    """All crowded the engine that looked idle, and all refused while every engine looked pressed."""
    heeded = 0
    for me in range(100):
        driver = Driver(settings(fleet_size=100, me=me, peers_allowed=True), engine("e0"), seed=me)
        driver.tell(api.PeerTold(101, told("e0", held=40)))
        heeded += driver.gateway._pressed(driver.gateway.engines["e0"])
    assert 10 < heeded < 50


def test_what_is_told_of_a_cold_engine_is_always_heeded_and_a_roomy_one_is_asked_more() -> None:
    """Turns keep gateways from crowding there, and what it can do is wanted soon."""
    turns = {}
    for held in (0.0, 8.0):
        turns[held] = 0
        for me in range(100):
            driver = fleet(1, me=me, tip_after_us=SECOND)
            driver.learn()
            driver.name_engines(engine("cold", started_us=driver.now))
            cold = driver.gateway.engines["cold"]
            for number in range(20):
                driver.now += 100_000
                driver.tell(api.PeerTold(101, told("cold", held=held)))
                assert cold.report is not None and cold.report_at == driver.now
                for send in sends(driver.ask(number)):
                    turns[held] += send.engine == "cold"
                driver.end(number, api.Outcome.OK)
    # More, but no more than keeps the sum of all gateways within the budget (test_cold_sum).
    assert 1.2 * ROOM / 1.3 < turns[0.0] / turns[8.0] < 1.05 * ROOM


def test_a_cut_does_not_make_a_gateway_ask_every_engine_at_once() -> None:
    driver = fleet(80)
    quiet = 0
    for number in range(600):  # a minute in which all is told
        driver.ask(number)
        driver.end(number, api.Outcome.OK)
        quiet += sum(isinstance(a, api.SendProbe) for a in driver.wait(100_000))
        for n in range(80):
            driver.tell(api.PeerTold(1 + n, told(f"e{n}", held=4)))
    asked = [sum(isinstance(a, api.SendProbe) for a in driver.wait(100_000)) for _ in range(10)]
    assert quiet < 200 and sum(asked) <= 3 + 80 / 8 + 10 + 1  # saved up, and a second's worth


def test_a_memo_that_is_none_or_names_nobody_we_know_changes_nothing() -> None:
    driver = fleet(2)
    before = [(e.report, e.weight) for e in driver.gateway.engines.values()]
    for payload in (b"", b"\xff" * 256, told("stranger", held=40)):
        assert not driver.tell(api.PeerTold(5, payload))
    assert before == [(e.report, e.weight) for e in driver.gateway.engines.values()]


def probes(driver: Driver, heard: bool) -> int:
    """How many probes ten seconds with four queries a second bring."""
    count = 0
    for number in range(200):
        given = driver.ask(number) if number % 5 == 0 else []
        given += driver.wait(50_000)
        if sends(given, number):
            driver.end(number, api.Outcome.OK)
        for action in given:
            if isinstance(action, api.SendProbe):
                count += 1
                driver.report(action.engine, held=4)
        if heard and number % 5 == 0:
            for n in range(20):
                driver.tell(api.PeerTold(1 + n, told(f"e{n}", held=4)))
    return count


def test_a_gateway_that_hears_the_others_probes_little_and_one_cut_off_finds_out_itself() -> None:
    alone, together = probes(fleet(), heard=False), probes(fleet(), heard=True)
    assert alone > 20 > 4 * together
