"""The codec with every event and action of the simulator's protocol, and the adapter as a process."""

import json
import subprocess
import sys
from typing import Any

import pytest

from tests.helpers import engine
from whintrail import interface as api
from whintrail.drill.__main__ import SimulatorAdapter
from whintrail.drill.codec import EventReader, WireError, read_entries, write_action

SETTINGS_DOCUMENT: dict[str, Any] = {
    "Classes": [
        {
            "Name": "fetch",
            "AimUs": 500_000,
            "AimStretch": 1.5,
            "DeadlineUs": 2_000_000,
            "Effect": "by_key",
            "Group": "zone",
            "WindowUs": 3_000_000,
            "Worth": 2.0,
            "LateShare": 0.25,
            "KeepOrder": True,
            "AllowedIn": ["west"],
            "ShapesOnly": ["tall"],
            "Stream": False,
        },
        {"Name": "write", "DeadlineUs": 9_000_000, "Effect": "once"},
    ],
    "FleetSize": 2,
    "Shapes": ["tall", "wide"],
    "Zone": "west",
    "MembershipMode": "on_request",
    "TickUs": 5000,
    "Orgs": [{"Name": "org1", "QuotaRps": 10.0, "Share": 0.5}],
    "FamilyInfo": {
        "Dop": [1, 2],
        "ClassLoad": [False, True],
        "BlockedByLoads": [True, False],
        "CpuOfKind": [4, 16],
        "SizeMb": [8192.0, 65536.0],
        "MaxGrantShare": 0.3,
        "MemoryHeeded": True,
        "Priorities": True,
        "ProgressPaceUs": 250_000,
        "TellsCost": True,
    },
    "Limits": {
        "MayCancel": True,
        "Probing": True,
        "SecondCopies": False,
        "MaxAttempts": 3,
        "RetryAfter": True,
        "MaxRetryAfterUs": 700_000,
        "SomethingNew": 1,
    },
    "Rules": {
        "StartCapacity": 0.4,
        "ColdUs": 9_000_000,
        "TipMultiple": 2.5,
        "TipAfterUs": 1_000_000,
        "OrderSettleUs": 400_000,
        "FurtherRatio": 0.0,
        "ExtraFree": 5,
        "RatioSpanUs": 10_000_000,
        "MustAskInUs": 4_000_000,
    },
    "Reporting": {"How": "answers", "Fields": ["pending", "cpu_share", "brand_new", "x0"]},
    "Prices": {"CrossZone": 0.01},
    "KeyOfTomorrow": {"a": 1},
}
LIST_RECORDS = [
    {
        "CapacityHint": 2.0,
        "ClassOfHost": "tall",
        "LaunchedUs": 123,
        "Node": "h:1",
        "UnitGroup": 4,
        "Dc": "west",
        "Readiness": 2,
    },
    {"Node": "h:2", "Readiness": 1, "LaunchedUs": 0, "ClassOfHost": None},
]


def read_event(**message: Any) -> api.Event | None:
    return EventReader(SETTINGS_DOCUMENT).read_event(message, {3: read_entries(LIST_RECORDS)})


def test_settings_are_read_and_unknown_ones_ignored() -> None:
    settings = EventReader(SETTINGS_DOCUMENT).settings
    fetch, write = settings.classes
    assert (fetch.effect, fetch.dedup_scope, fetch.ordered_by_key) == (
        api.Effect.BY_KEY,
        api.DedupScope.ZONE,
        True,
    )
    assert (fetch.zones, fetch.kinds, fetch.threads) == (("west",), ("tall",), 1)
    assert (fetch.blocked_by_loads, write.is_load, write.threads) == (True, True, 2)
    assert (write.effect, write.zones, write.target_latency_us) == (api.Effect.ONCE, None, 9_000_000)
    assert settings.kind_cores == {"tall": 4, "wide": 16}
    assert settings.kind_memory_mb == {"tall": 8192.0, "wide": 65536.0}
    assert settings.list_on_request and settings.report_source is api.ReportSource.ANSWERS
    assert not settings.concurrent_attempts_allowed and settings.max_attempts == 3
    assert settings.retry_budget_ratio == 0.0 and settings.retry_budget_free == 5
    assert settings.tenants == (api.Tenant("org1", 10.0),)


def test_absent_settings_are_absent_not_zero() -> None:
    settings = EventReader({}).settings
    assert (
        settings.retry_budget_ratio is None
        and settings.overload_multiple is None
        and settings.max_attempts is None
    )
    assert settings.classes == () and settings.fleet_size == 1 and not settings.probes_allowed


@pytest.mark.parametrize(
    ("bits", "cost", "expected"), [(1, 5, 5), (1, 0, 0), (0, 5, None), (3, 7, 7), (1, None, None)]
)
def test_a_query_with_and_without_estimates(bits: int, cost: int | None, expected: int | None) -> None:
    event = read_event(
        event_type="Knock",
        Ref=9,
        Team=0,
        Table="k1",
        Bitmap=bits,
        TierClass="fetch",
        MemMb=0,
        GiveUpAtUs=77,
        PlanCostUs=cost,
        SourceSet=2,
        Extra="?",
    )
    assert isinstance(event, api.QueryArrived)
    assert (event.cost_us, event.memory_mb, event.is_repeat) == (expected, None, bits == 3)
    assert (event.query, event.ordering_key, event.tenant, event.table_group, event.deadline_at_us) == (
        9,
        "k1",
        None,
        2,
        77,
    )


@pytest.mark.parametrize(
    ("code", "outcome"),
    [
        (0, api.Outcome.ERROR),
        (1, api.Outcome.OK),
        (2, api.Outcome.FULL),
        (3, api.Outcome.TIMEOUT),
        (4, api.Outcome.CONNECT_FAILED),
        (5, api.Outcome.RESET),
        (6, api.Outcome.CANCELLED),
        (7, api.Outcome.NOT_STARTED),
        (42, api.Outcome.UNKNOWN),
    ],
)
def test_every_outcome(code: int, outcome: api.Outcome) -> None:
    used = 250 * 4096 + 30
    message = {"Ref": 1, "RoundNo": 2, "Node": "h:1", "How": code, "WaitTimeUs": 5, "NoMore": None}
    event = read_event(event_type="Result", **message, UsedUp=used, Feedback=[3, 0.5, 1, 0.9])
    report = api.LoadReport(utilisation=0.5, memory_queue=3, memory_share=0.9)
    assert event == api.AttemptFinished(1, 2, "h:1", outcome, 5, False, 250, 120, report)
    probe = read_event(event_type="HealthResult", Node="h:1", How=code, WaitTimeUs=6, Feedback=None)
    assert probe == api.ProbeFinished("h:1", outcome, 6, None)


def test_the_other_events() -> None:
    assert read_event(event_type="Expired", Ref=4) == api.ClientDisconnected(4)
    assert read_event(event_type="Timer", KeyBack="t") == api.TimerFired("t")
    note = {"event_type": "HintUpdate", "Ref": 1, "RoundNo": 0, "Node": "h:1", "Level": 0.5}
    for code, topic in ((1, api.StatusTopic.PROGRESS), (2, api.StatusTopic.SPILL), (3, api.StatusTopic.WAIT)):
        assert read_event(**note, Topic=code) == api.AttemptStatusReceived(1, 0, "h:1", topic, 0.5)
    assert read_event(**note, Topic=9) is None
    assert read_event(event_type="Accepted", Ref=1, RoundNo=0, Node="h:1", WaitTimeUs=1) is None
    assert read_event(event_type="Mail", OriginPeer=1, Payload="00ff") == api.PeerMessageReceived(
        1, b"\x00\xff"
    )
    assert read_event(event_type="SomethingNew") is None


def test_lists() -> None:
    entries = (
        api.EngineEntry("h:1", "tall", "west", 4, 2.0, api.EngineState.DRAINING, 123),
        api.EngineEntry("h:2", "", "", 0, 1.0, api.EngineState.READY, None),
    )
    kinds = [api.ListKind.CACHED, api.ListKind.FULL, api.ListKind.DELTA]
    for code, kind in enumerate(kinds):
        event = read_event(event_type="Targets", Index=1, Scope=code, SetId=3)
        assert event == api.EngineListReceived(kind, entries)
    failed = read_event(event_type="Targets", Index=1, Scope=3, SetId=99)
    assert failed == api.EngineListReceived(api.ListKind.FAILED, ())


@pytest.mark.parametrize(
    ("action", "message"),
    [
        (api.SendAttempt(1, "h:1", 0), {"event_type": "PassOn", "Ref": 1, "Node": "h:1", "LimitUs": 0}),
        (
            api.SetGrantAndPriority(1, 6.5, 2),
            {"event_type": "Tune", "Ref": 1, "MemoryGrant": 6.5, "Priority": 2},
        ),
        (api.CancelAttempt(1, 0), {"event_type": "AbortAttempt", "Ref": 1, "RoundNo": 0}),
        (api.RefuseQuery(1, None), {"event_type": "OverloadReply", "Ref": 1}),
        (api.RefuseQuery(1, 9), {"event_type": "OverloadReply", "Ref": 1, "PauseUs": 9}),
        (api.FailQuery(1), {"event_type": "DropRequest", "Ref": 1}),
        (api.SendProbe("h:1"), {"event_type": "Probe", "Node": "h:1"}),
        (api.SendPeerMessage(3, b"\1\xff"), {"event_type": "MemoTo", "Target": 3, "Payload": "01ff"}),
        (api.SendPeerMessage(None, b"\1"), {"event_type": "MemoTo", "Target": "all", "Payload": "01"}),
        (api.SetTimer("t", 8), {"event_type": "Defer", "KeyBack": "t", "WhenUs": 8}),
        (api.WatchEngineList(True), {"event_type": "Track", "Want": True}),
    ],
)
def test_every_action(action: api.Action, message: dict[str, Any]) -> None:
    assert write_action(action) == message


def encode_batch(frame: int, now: int, *parts: tuple[int, list[dict[str, Any]]]) -> bytes:
    groups = [{"I": number, "events": events} for number, events in parts]
    return json.dumps({"NowUs": now, "frame": frame, "parts": groups}).encode()


START_EVENT = {"event_type": "Start", "RandomSeed": 5, "BootInfo": SETTINGS_DOCUMENT}
REGISTER_EVENT = {
    "event_type": "Register",
    "SetId": 0,
    "Records": [{**LIST_RECORDS[0], "Readiness": 1, "LaunchedUs": None}],
}
CACHED_LIST_EVENT = {"event_type": "Targets", "Index": 1, "Scope": 0, "SetId": 0}
QUERY_EVENT = {
    "event_type": "Knock",
    "Ref": 1,
    "Bitmap": 1,
    "TierClass": "fetch",
    "MemMb": 10,
    "GiveUpAtUs": 2_000_000,
    "PlanCostUs": 9,
    "SourceSet": 1,
}


def test_instances_share_nothing_but_the_numbered_lists() -> None:
    adapter = SimulatorAdapter()
    reply = json.loads(
        adapter.handle_batch(
            encode_batch(
                1,
                0,
                (1, [START_EVENT, REGISTER_EVENT, CACHED_LIST_EVENT]),
                (2, [START_EVENT, CACHED_LIST_EVENT]),
            )
        )
    )
    assert reply["frame"] == 1 and [part["I"] for part in reply["parts"]] == [1, 2]
    reply = json.loads(adapter.handle_batch(encode_batch(2, 10, (2, [QUERY_EVENT]))))
    assert [part["I"] for part in reply["parts"]] == [2]
    assert [c["event_type"] for c in reply["parts"][0]["cmds"]] == ["Tune", "PassOn"]
    assert adapter.instances[1][1].queries == {}
    assert json.loads(adapter.handle_batch(encode_batch(3, 20))) == {"frame": 3, "parts": []}


def test_a_killed_instance_forgets_everything_and_may_start_again() -> None:
    adapter = SimulatorAdapter()
    adapter.handle_batch(
        encode_batch(1, 0, (1, [START_EVENT, REGISTER_EVENT, CACHED_LIST_EVENT, QUERY_EVENT]))
    )
    reply = json.loads(
        adapter.handle_batch(encode_batch(2, 10, (1, [{"event_type": "Teardown"}, QUERY_EVENT])))
    )
    assert reply["parts"] == [] and adapter.instances == {}
    adapter.handle_batch(encode_batch(3, 20, (1, [START_EVENT, CACHED_LIST_EVENT])))
    assert adapter.instances[1][1].queries == {}


def test_an_exception_is_reported_as_a_fault() -> None:
    adapter = SimulatorAdapter()
    adapter.handle_batch(encode_batch(1, 0, (1, [START_EVENT, REGISTER_EVENT, CACHED_LIST_EVENT])))
    reply = json.loads(adapter.handle_batch(encode_batch(2, 10, (1, [{"event_type": "Knock", "Ref": 1}]))))
    assert [c["event_type"] for c in reply["parts"][0]["cmds"]] == ["Fatal"]
    assert "KeyError" in reply["parts"][0]["cmds"][0]["Message"]


@pytest.mark.parametrize(
    "line", [b"", b"{", b"[]", b"7", b'{"NowUs":1,"parts":[]}', b'{"frame":1,"parts":[]}']
)
def test_a_line_that_is_not_a_batch(line: bytes) -> None:
    with pytest.raises(WireError):
        SimulatorAdapter().handle_batch(line)


def run_adapter_process(data: bytes) -> subprocess.CompletedProcess[bytes]:
    command = [sys.executable, "-m", "whintrail.drill"]
    return subprocess.run(command, input=data, capture_output=True, timeout=60, check=False)


def test_the_adapter_answers_and_exits_at_the_end_of_input() -> None:
    done = run_adapter_process(
        encode_batch(1, 0)
        + b"\n"
        + encode_batch(2, 5, (1, [START_EVENT, REGISTER_EVENT, CACHED_LIST_EVENT, QUERY_EVENT]))
        + b"\n"
    )
    replies = [json.loads(line) for line in done.stdout.splitlines()]
    assert done.returncode == 0 and done.stderr == b""
    assert [reply["frame"] for reply in replies] == [1, 2] and replies[1]["parts"]


def test_the_adapter_ends_with_a_message_on_a_bad_line() -> None:
    done = run_adapter_process(encode_batch(1, 0) + b"\nnot json\n" + encode_batch(2, 0) + b"\n")
    assert done.returncode == 1 and len(done.stdout.splitlines()) == 1
    assert len(done.stderr.splitlines()) == 1 and done.stderr.startswith(b"whintrail.drill: ")


def test_helpers_build_entries_as_the_codec_does() -> None:
    assert engine("h").state is api.EngineState.READY
