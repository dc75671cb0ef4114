"""The exchange of probe reports: its wire format, and how the routing policy uses received reports."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.helpers import SECOND, PolicyDriver, engine, sends, settings
from whintrail import interface as api
from whintrail.fleet import probe_reports
from whintrail.routing import COLD_SPARE_FACTOR

shares = st.none() | st.integers(0, 254).map(lambda n: n / 100)
engine_loads = st.builds(
    api.LoadReport, shares, st.none() | st.integers(0, 254), st.none() | st.integers(0, 254), shares
)
probe_report = st.builds(
    probe_reports.ProbeReport,
    st.integers(0, 65_535),
    st.integers(0, 255).map(lambda n: n * 32_000),
    engine_loads,
    st.just(16.0),
)


@given(st.lists(probe_report, max_size=probe_reports.MAX_REPORTS))
def test_encoded_reports_decode_to_the_same_values(sent: list[probe_reports.ProbeReport]) -> None:
    data = probe_reports.encode(sent)
    assert len(data) <= probe_reports.MAX_DATAGRAM_BYTES
    read = probe_reports.decode(data)
    assert [(s.key, s.age_us) for s in read] == [(s.key, s.age_us) for s in sent]
    for a, b in zip(sent, read, strict=True):
        decoded_load = b.load_report(16.0)
        for x, y in (
            (a.load.utilisation, decoded_load.utilisation),
            (a.load.memory_share, decoded_load.memory_share),
        ):
            assert (x is None) == (y is None) and (x is None or abs(x - (y or 0)) < 0.01)
        assert (a.load.active_queries is None) == (decoded_load.active_queries is None)
        assert (
            a.load.active_queries is None
            or abs(a.load.active_queries - (decoded_load.active_queries or 0)) <= 0.5
        )


@given(st.binary(max_size=300))
def test_random_bytes_decode_exactly_or_are_rejected(data: bytes) -> None:
    try:
        reports = probe_reports.decode(data)
    except probe_reports.ProbeReportError:
        return
    assert probe_reports.encode([replace(s, cores=1.0) for s in reports]) == data


def test_datagram_length_must_match_its_header() -> None:
    data = probe_reports.encode([probe_reports.ProbeReport(7, 0, api.LoadReport(active_queries=4), 16.0)])
    for invalid in (data[:-1], data + b"\0", b"\2" + data[1:], data[:1] + b"\7" + data[2:], b""):
        with pytest.raises(probe_reports.ProbeReportError):
            probe_reports.decode(invalid)


def test_engines_with_colliding_keys_are_left_out() -> None:
    names = [f"10.{n * n % 251}.{n * 37 % 241}.{n // 7}:{7000 + n * n * n % 97}" for n in range(2000)]
    found = probe_reports.engines_by_key(names)
    colliding = [
        n for n in names if sum(probe_reports.engine_key(n) == probe_reports.engine_key(m) for m in names) > 1
    ]
    assert colliding and not set(colliding) & set(found.values())
    assert len(found) == len(names) - len(colliding)


def make_driver(count: int = 20, **changes: object) -> PolicyDriver:
    policy_settings = settings(
        fleet_size=100, peer_messages_allowed=True, report_source=api.ReportSource.PROBES, **changes
    )
    return PolicyDriver(policy_settings, *(engine(f"e{n}") for n in range(count)))


def encode_report(address: str, age_us: int = 0, **values: float) -> bytes:
    return probe_reports.encode(
        [probe_reports.ProbeReport(probe_reports.engine_key(address), age_us, api.LoadReport(**values), 8.0)]
    )


def sent_to_peers(actions: list[api.Action]) -> list[api.SendPeerMessage]:
    return [a for a in actions if isinstance(a, api.SendPeerMessage)]


def test_probe_report_is_sent_to_peers_only_when_allowed() -> None:
    driver = make_driver()
    (sent,) = sent_to_peers(driver.finish_probe("e3", active_queries=16))
    (received,) = probe_reports.decode(sent.payload)
    assert (
        sent.target is None
        and received.key == probe_reports.engine_key("e3")
        and received.load_report(8.0).active_queries == 16
    )
    isolated = PolicyDriver(settings(report_source=api.ReportSource.PROBES), engine("e3"))
    assert not sent_to_peers(isolated.finish_probe("e3", active_queries=16))


def deliver_report(driver: PolicyDriver, payload: bytes, times: int = 40) -> None:
    """Delivers a report from enough peers that the policy acts on it."""
    for origin in range(1, times + 1):
        driver.handle(api.PeerMessageReceived(origin, payload))


def test_peer_report_counts_like_a_local_one_unless_older() -> None:
    driver = make_driver(2)
    deliver_report(driver, encode_report("e0", active_queries=40))
    assert driver.policy._is_under_pressure(driver.policy.engines["e0"])
    deliver_report(driver, encode_report("e0", 2 * SECOND, active_queries=0))
    assert driver.policy._is_under_pressure(driver.policy.engines["e0"])
    driver.now += SECOND
    deliver_report(driver, encode_report("e0", 64_000, active_queries=0))
    assert not driver.policy._is_under_pressure(driver.policy.engines["e0"])


def test_only_some_gateways_act_on_the_same_peer_report() -> None:
    """If all gateways acted on one report, all would choose the engine that looks idle at once, or all would
    refuse queries while every engine looks loaded.
    """
    acting = 0
    for gateway in range(100):
        driver = PolicyDriver(
            settings(fleet_size=100, local_number=gateway, peer_messages_allowed=True),
            engine("e0"),
            seed=gateway,
        )
        driver.handle(api.PeerMessageReceived(101, encode_report("e0", active_queries=40)))
        acting += driver.policy._is_under_pressure(driver.policy.engines["e0"])
    assert 10 < acting < 50


def test_peer_report_of_a_cold_engine_is_always_used() -> None:
    """A report with free room makes gateways send more queries to a cold engine.

    Gateways take turns at a cold engine, so acting on every report does not overload it, and its capacity is
    learned soon.
    """
    attempts = {}
    for active_queries in (0.0, 8.0):
        attempts[active_queries] = 0
        for gateway in range(100):
            driver = make_driver(1, local_number=gateway, overload_window_us=SECOND)
            driver.serve_queries()
            driver.receive_engine_list(engine("cold", started_us=driver.now))
            cold = driver.policy.engines["cold"]
            for number in range(20):
                driver.now += 100_000
                driver.handle(
                    api.PeerMessageReceived(101, encode_report("cold", active_queries=active_queries))
                )
                assert cold.report is not None and cold.report_at == driver.now
                for send in sends(driver.arrive_query(number)):
                    attempts[active_queries] += send.engine == "cold"
                driver.finish_attempt(number, api.Outcome.OK)
    # More, but within the budget of all gateways together (test_cold_sum).
    assert 1.2 * COLD_SPARE_FACTOR / 1.3 < attempts[0.0] / attempts[8.0] < 1.05 * COLD_SPARE_FACTOR


def test_peer_silence_does_not_cause_a_probe_burst() -> None:
    driver = make_driver(80)
    probes_with_peers = 0
    for number in range(600):  # a minute with reports of every engine
        driver.arrive_query(number)
        driver.finish_attempt(number, api.Outcome.OK)
        probes_with_peers += sum(isinstance(a, api.SendProbe) for a in driver.advance(100_000))
        for n in range(80):
            driver.handle(api.PeerMessageReceived(1 + n, encode_report(f"e{n}", active_queries=4)))
    probes_per_turn = [sum(isinstance(a, api.SendProbe) for a in driver.advance(100_000)) for _ in range(10)]
    # The saved-up allowance and a second's worth.
    assert probes_with_peers < 200 and sum(probes_per_turn) <= 3 + 80 / 8 + 10 + 1


def test_invalid_or_unknown_engine_report_changes_nothing() -> None:
    driver = make_driver(2)
    before = [(e.report, e.weight) for e in driver.policy.engines.values()]
    for payload in (b"", b"\xff" * 256, encode_report("stranger", active_queries=40)):
        assert not driver.handle(api.PeerMessageReceived(5, payload))
    assert before == [(e.report, e.weight) for e in driver.policy.engines.values()]


def count_probes(driver: PolicyDriver, with_peers: bool) -> int:
    """The number of probes in ten seconds at four queries a second."""
    count = 0
    for number in range(200):
        actions = driver.arrive_query(number) if number % 5 == 0 else []
        actions += driver.advance(50_000)
        if sends(actions, number):
            driver.finish_attempt(number, api.Outcome.OK)
        for action in actions:
            if isinstance(action, api.SendProbe):
                count += 1
                driver.finish_probe(action.engine, active_queries=4)
        if with_peers and number % 5 == 0:
            for n in range(20):
                driver.handle(api.PeerMessageReceived(1 + n, encode_report(f"e{n}", active_queries=4)))
    return count


def test_gateway_probes_less_when_it_receives_peer_reports() -> None:
    alone, together = (
        count_probes(make_driver(), with_peers=False),
        count_probes(make_driver(), with_peers=True),
    )
    assert alone > 20 > 4 * together
