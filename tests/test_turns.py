"""How connections share the turns of the event loop."""

import asyncio
import struct
import time
from collections.abc import Callable
from typing import Any

import pytest

from tests.test_crossings import SessionHarness, cancel_request, run_with_sessions
from whintrail.gateway.dispatcher import ClientDeparted, QueryReceived
from whintrail.gateway.turns import FORGET_AFTER_NS, TurnScheduler
from whintrail.standins.scripted import Client, query

TURN_US = 2000
MAX_SOURCES = 100
TURNS_UNTIL_MESSAGES_ARE_WHOLE = 5
LATE_ANSWER_S = 0.5  # a final answer may come by so much after its time


class ScriptedSource:
    """A source whose steps take a given time on an injected clock."""

    def __init__(self, scene: "Scene", name: str, steps: int, step_us: int, size: int = 100) -> None:
        self.scene, self.name, self.steps, self.step_us, self.size = scene, name, steps, step_us, size
        self.share = scene.scheduler.new_share()
        self.processed = False
        self.error: Exception | None = None

    def next_input_bytes(self) -> int:
        return self.size

    def process_next(self) -> bool:
        self.scene.now_ns += self.step_us * 1000
        self.scene.steps.append(self.name)
        if self.name == "faulty":
            raise ValueError("a fault")
        self.steps -= 1
        return self.steps > 0

    def on_input_failed(self, error: Exception) -> None:
        self.error = error

    def on_input_processed(self) -> None:
        self.processed = True


class Scene:
    """A scheduler on an injected clock, and the steps that it has run."""

    def __init__(self) -> None:
        self.now_ns = 10 * FORGET_AFTER_NS
        self.steps: list[str] = []
        self.backlogged = False
        self.scheduler = TurnScheduler(TURN_US, MAX_SOURCES, lambda: self.backlogged, lambda: self.now_ns)

    def submit(self, name: str, steps: int = 1, step_us: int = 100, size: int = 100) -> ScriptedSource:
        source = ScriptedSource(self, name, steps, step_us, size)
        self.scheduler.submit(source)
        return source


def run_scene(scenario: Callable[[Scene], Any]) -> None:
    async def run() -> None:
        await asyncio.wait_for(scenario(Scene()), 10)

    asyncio.run(run())


def test_all_sources_together_are_bounded_in_a_turn() -> None:
    async def scenario(scene: Scene) -> None:
        sources = [scene.submit(f"s{number}", steps=3, step_us=500) for number in range(100)]
        turns = 0
        while not all(source.processed for source in sources):
            before, started_ns = len(scene.steps), scene.now_ns
            await asyncio.sleep(0)
            turns += 1
            assert scene.now_ns - started_ns <= TURN_US * 1000
            assert len(scene.steps) > before
        assert len(scene.steps) == 300 and turns >= 70

    run_scene(scenario)


def test_a_cheap_source_that_comes_late_goes_before_costly_ones() -> None:
    async def scenario(scene: Scene) -> None:
        cheap = scene.submit("cheap", step_us=20)
        for number in range(100):
            scene.submit(f"costly {number}", steps=50, step_us=500, size=16_000)
        for _ in range(60):
            await asyncio.sleep(0)
        newcomer = scene.submit("newcomer", step_us=20)
        cheap.processed = False
        scene.scheduler.submit(cheap)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert cheap.processed
        for _ in range(25):  # a round of all 100 takes so long
            await asyncio.sleep(0)
        assert newcomer.processed

    run_scene(scenario)


def test_a_costly_source_is_not_starved_by_newcomers() -> None:
    async def scenario(scene: Scene) -> None:
        scene.submit("first", step_us=TURN_US)  # from here on sources have to wait
        costly = scene.submit("costly", step_us=100, size=50_000)
        for turn in range(200):
            for number in range(30):
                scene.submit(f"newcomer {turn} {number}")
            await asyncio.sleep(0)
        assert costly.processed

    run_scene(scenario)


def test_a_pause_of_the_process_is_not_charged_to_one_source_for_long() -> None:
    async def scenario(scene: Scene) -> None:
        paused = scene.submit("paused", step_us=1_700_000)
        for number in range(400):
            scene.submit(f"other {number}", steps=100, step_us=50)
        scene.now_ns += FORGET_AFTER_NS
        paused.steps, paused.step_us, paused.processed = 1, 50, False
        scene.scheduler.submit(paused)
        for _ in range(15):  # a round of all 400 takes ten
            await asyncio.sleep(0)
        assert paused.processed

    run_scene(scenario)


def test_a_fault_in_one_source_leaves_the_others_their_turns() -> None:
    async def scenario(scene: Scene) -> None:
        scene.submit("first", step_us=TURN_US)
        faulty, other = scene.submit("faulty"), scene.submit("other")
        await asyncio.sleep(0)
        assert isinstance(faulty.error, ValueError) and faulty.processed and other.processed

    run_scene(scenario)


def test_no_step_is_run_while_earlier_ones_wait_to_be_processed() -> None:
    async def scenario(scene: Scene) -> None:
        scene.backlogged = True
        source = scene.submit("s", steps=2)
        await asyncio.sleep(0)
        assert not scene.steps
        scene.backlogged = False
        await asyncio.sleep(0)
        assert source.processed

    run_scene(scenario)


def startup_of(parameter: bytes, size: int = 9900) -> bytes:
    body = struct.pack("!I", 3 << 16) + parameter * (size // len(parameter)) + b"\0"
    return struct.pack("!I", len(body) + 4) + body


CLASSES_OF_THE_CASE = ["unknown", "lookup", "load"]
HOSTILE_INPUTS: dict[str, Callable[[], bytes]] = {
    **{
        f"dots of class {op}": lambda op=op: Client.simple_query(query(op, sql="a_1 " + "." * 16_000))  # type: ignore[misc]
        for op in CLASSES_OF_THE_CASE
    },
    "comments": lambda: Client.simple_query(query("load", sql="a_1 " + "/*" * 8000)),
    "fields": lambda: Client.simple_query("/* " + "a=b," * 4000 + query()[3:]),
    "several statements": lambda: b"".join(
        Client.simple_query("/* op=unknown */ " + "." * 400) for _ in range(40)
    ),
    "syncs": lambda: Client.message(b"S", b"") * 3000,
}


async def longest_turn_s(turns: int) -> float:
    """The most processor time that the process spends in one of the next turns of the loop."""
    longest_s = 0.0
    for _ in range(turns):
        started_s = time.process_time()
        await asyncio.sleep(0)
        longest_s = max(longest_s, time.process_time() - started_s)
    return longest_s


@pytest.mark.parametrize("kind", HOSTILE_INPUTS)
def test_hostile_input_of_hundreds_of_clients_leaves_turns_to_all_others(kind: str) -> None:
    """Guards against review/1: 400 unreadable statements made one turn of the loop last for seconds."""

    async def scenario(harness: SessionHarness) -> None:
        harness.sessions.load_classes = frozenset(["load"])
        clients = [(await harness.connect_client())[0] for _ in range(100)]
        usual, _, _ = await harness.connect_client()
        for client in clients:
            client.setblocking(False)
            client.send(HOSTILE_INPUTS[kind]())
        longest_s = await longest_turn_s(TURNS_UNTIL_MESSAGES_ARE_WHOLE)
        usual.sendall(Client.simple_query(query("lookup", sql="SELECT 'usual' FROM sales_3.t")))
        sent_s = time.process_time()
        while not any(b"usual" in item.statement.text for item in harness.received(QueryReceived)):
            longest_s = max(longest_s, await longest_turn_s(1))
        assert time.process_time() - sent_s < LATE_ANSWER_S
        longest_s = max(longest_s, await longest_turn_s(100))
        assert longest_s < LATE_ANSWER_S / 2

    run_with_sessions(scenario, client_connections=200, waiting_connections=50)


def test_start_ups_of_hundreds_of_clients_leave_turns_to_all_others() -> None:
    """Guards against start-up messages that take long to read, sent by all new clients at once."""

    async def scenario(harness: SessionHarness) -> None:
        usual, _, _ = await harness.connect_client()
        for parameter in (b"a\0b\0", b"\0", b"_pq_.x\0y\0"):
            for _ in range(60):
                harness.connect(startup_of(parameter))
        usual.sendall(Client.simple_query(query()))
        longest_s, sent_s = 0.0, time.process_time()
        while not harness.received(QueryReceived):
            longest_s = max(longest_s, await longest_turn_s(1))
        assert time.process_time() - sent_s < LATE_ANSWER_S
        longest_s = max(longest_s, await longest_turn_s(100))
        assert longest_s < LATE_ANSWER_S / 2

    run_with_sessions(scenario, client_connections=300, waiting_connections=50)


def test_only_a_load_is_searched_for_its_table_group() -> None:
    """Guards against time spent on the text of a statement whose class has no use for the result."""

    async def scenario(harness: SessionHarness) -> None:
        harness.sessions.load_classes = frozenset(["load"])
        sock, _, _ = await harness.connect_client()
        other, _, _ = await harness.connect_client()
        sock.sendall(Client.simple_query(query("lookup")))
        other.sendall(Client.simple_query(query("load", sql="insert into sales_17.t select 1")))
        await harness.wait_until(lambda: len(harness.received(QueryReceived)) == 2)
        searched = {
            item.statement.class_name: item.statement._group_found for item in harness.received(QueryReceived)
        }
        assert searched == {"lookup": False, "load": True}

    run_with_sessions(scenario)


def hold_turns(harness: SessionHarness) -> Callable[[], None]:
    """Process no input until the returned function is called."""
    scheduler = harness.sessions.turns
    is_backlogged = scheduler._is_backlogged
    scheduler._is_backlogged = lambda: True

    def release() -> None:
        scheduler._is_backlogged = is_backlogged

    return release


def test_a_client_that_leaves_while_its_query_waits_is_not_served() -> None:
    """Guards against sessions of departed clients that fill the limit on connections while they wait."""

    async def scenario(harness: SessionHarness) -> None:
        sock, process, _ = await harness.connect_client()
        release = hold_turns(harness)
        sock.sendall(Client.simple_query(query()))
        await asyncio.sleep(0.02)
        sock.close()
        await harness.wait_until(lambda: process not in harness.sessions.sessions)
        release()
        await asyncio.sleep(0.02)
        assert not harness.received(QueryReceived)

    run_with_sessions(scenario)


def test_a_cancel_request_that_waits_is_valid_although_its_sender_has_left() -> None:
    async def scenario(harness: SessionHarness) -> None:
        sock, process, secret = await harness.connect_client()
        sock.sendall(Client.simple_query(query()))
        await harness.wait_until(lambda: harness.received(QueryReceived))
        release = hold_turns(harness)
        harness.connect(cancel_request(process, secret)).close()
        await asyncio.sleep(0.05)
        assert not harness.received(ClientDeparted)
        release()
        await harness.wait_until(lambda: harness.received(ClientDeparted))

    run_with_sessions(scenario)


def test_a_search_that_gets_no_time_ends_without_a_group() -> None:
    async def scenario(harness: SessionHarness) -> None:
        harness.sessions.load_classes = frozenset(["load"])
        sock, _, _ = await harness.connect_client()
        sock.sendall(Client.simple_query(query("load", sql="(" * 4000 + " from a_1.b")))
        await harness.wait_until(lambda: harness.received(QueryReceived))
        assert harness.received(QueryReceived)[0].statement.table_group is None
        assert harness.counters["queries", "group_unknown"] == 1

    run_with_sessions(scenario, group_search_timeout_us=-1)
