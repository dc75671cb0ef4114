"""The servers of a scale run, its processes and what it measures, small and on loopback."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson
import psutil  # type: ignore[import-untyped]
import pytest

from whintrail.gateway.bulletin import read_list_update
from whintrail.gateway.log import Log
from whintrail.interface import ListKind
from whintrail.scale import bulletin, engines, load, measure
from whintrail.scale.procs import BoundError, Child, ChildError, ProcessGroup
from whintrail.scale.real import Site, free_ports
from whintrail.standins.scripted import WAIT_TIMEOUT_S, Client, query

ROOT = Path(__file__).parents[1]


def connect(address: str) -> tuple[socket.socket, Any]:
    host, port = address.split(":")
    sock = socket.create_connection((host, int(port)), timeout=WAIT_TIMEOUT_S)
    return sock, sock.makefile("rb")


async def wait_until(condition: Callable[[], Any], seconds: float = WAIT_TIMEOUT_S) -> None:
    """`what` may give an awaitable."""
    end = time.monotonic() + seconds
    while True:
        found = condition()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return
        assert time.monotonic() < end, "waited in vain"
        await asyncio.sleep(0.01)


# --- Engines and bulletin before a real gateway.


def test_engines_answer_a_real_gateway_and_count_requests(tmp_path: Path) -> None:
    async def run() -> None:
        async with ProcessGroup(tmp_path, 2000, 60) as group:
            site = Site(group, 40, 1, socket_limit=256)
            await site.start()
            told = await site.clients.ask("load", ports=site.ports, rate=100, seconds=1.0)
            assert told["ends"] == {"served": told["asked"]} and told["asked"] > 0
            assert len(measure.Delays.merged([told["delays"]])) == told["asked"]
            counts = await site.engines[0].ask("counts", each=True)
            assert counts["queries"] >= counts["served"] >= told["asked"]
            assert all(sum(each) == counts[name] for name, each in counts["each"].items())
            assert all(len(each) == 40 for each in counts["each"].values())
            assert load.count_connections(site.gateways[0].pid, site.engine_ports) == counts["open"] > 0

    asyncio.run(run())


def test_a_real_gateway_applies_a_change_and_a_full_list_of_2000(tmp_path: Path) -> None:
    async def run() -> None:
        async with ProcessGroup(tmp_path, 2000, 60) as group:
            site = Site(group, 2000, 1, socket_limit=256)
            await site.start()
            for do in ("change", "whole", "change"):
                (seconds,) = await site.publish(do, WAIT_TIMEOUT_S)
                assert seconds is not None and seconds > 0
            state = await site.bulletin.ask("state")
            assert (state["followers"], state["asked"], state["events_told"]) == (1, 1, 3)

    asyncio.run(run())


def test_a_full_list_over_the_line_limit_is_refused_and_requested_again(tmp_path: Path) -> None:
    """What a gateway of today does with it: a thing to be measured, which the servers must not hide."""

    async def run() -> None:
        async with ProcessGroup(tmp_path, 2000, 60) as group:
            site = Site(group, 40, 1, socket_limit=256)
            await site.start()
            name = "s-" + "x" * 100
            entries = [
                {**engines.build_entry(n, 1, state="left"), "instanceId": f"{name}{n}"} for n in range(4600)
            ]
            for first in (0, 2300):  # each under the bound
                assert await site.publish("change", WAIT_TIMEOUT_S, entries=entries[first : first + 2300])
            await site.bulletin.ask("change", entries=entries)
            await wait_until(lambda: asked_again(site))
            assert "a line without end" in site.gateways[0].log.read_text()
            site.gateways[0].signal(signal.SIGUSR1)
            await wait_until(lambda: "events=3" in site.gateways[0].log.read_text())  # and never the fourth
            assert "events=4" not in site.gateways[0].log.read_text()

    async def asked_again(site: Site) -> bool:
        return bool((await site.bulletin.ask("state"))["asked"] >= 4)

    asyncio.run(run())


# --- Engines by themselves.


def test_an_engine_hangs_refuses_crashes_and_recovers(tmp_path: Path) -> None:
    async def run() -> None:
        async with ProcessGroup(tmp_path, 2000, 60) as group:
            config = {"first": 300, "count": 5}
            child, part = await group.start("engines", "engine", "whintrail.scale.engines", config)
            first, count, port = part
            assert (first, count) == (300, 5)
            where = engines.build_entry(301, port)["hostPort"]
            assert where == f"127.64.1.45:{port}"
            sock, file = await asyncio.to_thread(connect, where)

            def ask(line: bytes) -> bytes:
                sock.sendall(line + b"\r\n")
                answer, body = file.readline(), file.readline()
                return bytes(answer + body)

            assert (await asyncio.to_thread(ask, b"ping p1")) == b"p1 green - 0\r\n\r\n"
            report = await asyncio.to_thread(ask, b"top p2")
            assert report.startswith(b"p2 green stats=busy_reqs:0;pending:0;")
            assert await child.ask("fault", what="hang", engines=[301, 9]) == 1  # 9 is another process's
            waiting = asyncio.create_task(asyncio.to_thread(ask, b"ping p3"))
            # Another engine's answer comes later than this one's would have, had it not hung.
            other, answers = await asyncio.to_thread(connect, engines.build_entry(302, port)["hostPort"])
            other.sendall(b"ping o1\r\n")
            assert await asyncio.to_thread(answers.readline) == b"o1 green - 0\r\n"
            assert not waiting.done()
            await child.ask("fault", what="sound", engines=[301])
            assert (await waiting) == b"p3 green - 0\r\n\r\n"
            assert await child.ask("fault", what="crash", engines=[301]) == 1
            with pytest.raises(ConnectionResetError):
                await asyncio.to_thread(ask, b"ping p4")
            with pytest.raises(ConnectionRefusedError):
                await asyncio.to_thread(connect, where)
            await child.ask("fault", what="cold", engines=[301])
            again, _ = await asyncio.to_thread(connect, where)
            await wait_until(lambda: count_of(child, 301, "connections", 2))
            with pytest.raises(ChildError, match="no fault: sleep"):
                await child.ask("fault", what="sleep")
            for each in (sock, other, again):
                each.close()

    async def count_of(child: Child, number: int, name: str, wanted: int) -> bool:
        each = (await child.ask("counts", each=True))["each"]
        return bool(each[name][number - 300] == wanted)

    asyncio.run(run())


# --- The bulletin by itself.


def test_the_bulletin_sends_followers_only_events_that_are_new_to_them(tmp_path: Path) -> None:
    entries = engines.build_entries([(0, 2000, 7000)], zones=3)

    async def run() -> None:
        async with ProcessGroup(tmp_path, 2000, 60) as group:
            child, told = await group.start(
                "bulletin", "bulletin", "whintrail.scale.bulletin", {"entries": entries}
            )
            new, lines = await asyncio.to_thread(connect, told["where"])
            old, later = await asyncio.to_thread(connect, told["where"])
            new.sendall(b"after 0\n")
            old.sendall(b"after 1\n")
            whole = await asyncio.to_thread(lines.readline)
            assert len(whole) == told["line_bytes"]
            listed = read_list_update(orjson.loads(whole), Log("n0", 5, 1), is_first=False)
            assert listed.event.kind is ListKind.FULL and len(listed.event.entries) == 2000
            number = await child.ask("change", engines=["s-000007cf"], set={"lifecycle": "leaving"})
            for file in (lines, later):
                event = orjson.loads(await asyncio.to_thread(file.readline))
                while isinstance(event, int):  # its beat
                    event = orjson.loads(await asyncio.to_thread(file.readline))
                assert event["no"] == number == 2
                (changed,) = event["roster"]["instances"]
                assert changed == {**entries[1999], "lifecycle": "leaving"}
                assert event["at"] == pytest.approx((await child.ask("times", after=1))["2"], abs=1e-5)
            assert orjson.loads(await asyncio.to_thread(later.readline)) == 2  # the beat
            assert (await child.ask("state"))["held"] == 2
            for sock in (new, old):
                sock.shutdown(socket.SHUT_RDWR)
                sock.close()
            await wait_until(lambda: nobody(child))

    async def nobody(child: Child) -> bool:
        return bool((await child.ask("state"))["followers"] == 0)

    asyncio.run(run())


def test_a_muted_bulletin_sends_nothing_and_lag_delays_events(tmp_path: Path) -> None:
    async def run() -> None:
        async with ProcessGroup(tmp_path, 2000, 60) as group:
            config = {"entries": engines.build_entries([(0, 10, 7000)]), "split": 2}
            child, told = await group.start("bulletin", "bulletin", "whintrail.scale.bulletin", config)
            sock, lines = await asyncio.to_thread(connect, told["where"])
            sock.sendall(b"after 0\n")
            parts = [orjson.loads(await asyncio.to_thread(lines.readline))["roster"] for _ in range(2)]
            assert [(p["reset"], len(p["instances"])) for p in parts] == [(True, 5), (False, 5)]
            await child.ask("mute", on=True)
            assert await child.ask("change") == 3
            state = await child.ask("state")
            assert (state["events_told"], state["held"], state["last"]) == (2, 0, 3)
            await child.ask("mute", on=False)
            assert (await child.ask("state"))["events_told"] == 3
            await child.ask("lag", seconds=0.2)
            await child.ask("change")
            assert (await child.ask("state"))["visible"] == 3
            event: Any = 0
            while isinstance(event, int) or event["no"] < 4:
                event = orjson.loads(await asyncio.to_thread(lines.readline))
            assert time.monotonic() - event["at"] >= 0.2
            sock.close()

    asyncio.run(run())


def test_an_event_has_the_fields_of_the_protocol() -> None:
    given = bulletin.build_known_list(engines.build_entries([(0, 2, 7000)]))
    assert given["no"] == 1 and given["items"][0]["no"] == 1
    listed = read_list_update(given["items"][0], Log("n0", 5, 1), is_first=True)
    assert listed.event.kind is ListKind.CACHED and listed.generation == 1
    assert listed.addresses == {"s-00000000": "127.64.0.0:7000", "s-00000001": "127.64.0.1:7000"}


# --- Processes.

PARENT_SCRIPT = """
import asyncio, sys
from pathlib import Path
from whintrail.scale.procs import Group
from whintrail.scale.load import gateway_config

async def main():
    async with Group(Path(sys.argv[1]), float(sys.argv[2]), float(sys.argv[3])) as group:
        async def work():
            given = {"first": 0, "count": 3}
            one, _ = await group.start("engines", "engine", "whintrail.scale.engines", given)
            config = gateway_config(0, "127.0.0.1:%s" % sys.argv[4], "127.0.0.1:1", {"no": 0, "items": []})
            two = await group.start_gateway("n0", config)
            print(one.pid, two.pid, flush=True)
            await asyncio.sleep(60)
        await group.within(work())

asyncio.run(main())
"""


def start_parent(folder: Path, memory_mb: float, seconds: float) -> subprocess.Popen[str]:
    (port,) = free_ports(1)
    return subprocess.Popen(
        [sys.executable, "-c", PARENT_SCRIPT, str(folder), str(memory_mb), str(seconds), str(port)],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def read_children(process: subprocess.Popen[str]) -> list[psutil.Process]:
    assert process.stdout is not None
    return [psutil.Process(int(pid)) for pid in process.stdout.readline().split()]


@pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGTERM, signal.SIGINT])
def test_a_run_that_is_ended_leaves_no_process_behind(tmp_path: Path, how: signal.Signals) -> None:
    with start_parent(tmp_path, 2000, 60) as process:
        found = read_children(process)
        assert len(found) == 2 and all(child.is_running() for child in found)
        found[0].suspend()  # a stopped one, too
        process.send_signal(how)
        process.wait(WAIT_TIMEOUT_S)
        assert psutil.wait_procs(found, WAIT_TIMEOUT_S)[1] == []


@pytest.mark.parametrize(
    ("memory_mb", "seconds", "told"), [(20, 60, "memory: "), (2000, 1, "time: over the bound of 1 s")]
)
def test_a_run_over_a_limit_ends_with_a_one_line_error(
    tmp_path: Path, memory_mb: float, seconds: float, told: str
) -> None:
    with start_parent(tmp_path, memory_mb, seconds) as process:
        _, errors = process.communicate(timeout=WAIT_TIMEOUT_S)
        assert process.returncode == 1
        last = errors.strip().splitlines()[-1]
        assert last.startswith(f"whintrail.scale.procs.BoundError: {told}")


def test_a_process_group_limits_its_size_and_ends_all_its_processes(tmp_path: Path) -> None:
    async def run() -> list[Child]:
        config = {"first": 0, "count": 1}
        async with ProcessGroup(tmp_path, 2000, 60, max_processes=1) as group:
            child, _ = await group.start("one", "engine", "whintrail.scale.engines", config)
            with pytest.raises(BoundError, match="bound of 1 processes"):
                await group.start("two", "engine", "whintrail.scale.engines", config)
            child.signal(signal.SIGSTOP)
            await wait_until(lambda: psutil.Process(child.pid).status() == psutil.STATUS_STOPPED)
            child.signal(signal.SIGCONT)
            assert await child.ask("counts")
            await child.kill()
            with pytest.raises(ChildError):
                await child.ask("counts")
            again, _ = await group.start("one", "engine", "whintrail.scale.engines", config)  # its old name
            return [child, again]

    for child in asyncio.run(run()):
        assert not child.is_alive and not psutil.pid_exists(child.pid)


# --- Measures.


def test_histograms_of_several_processes_merge() -> None:
    parts = [measure.Delays() for _ in range(3)]
    for number in range(1, 301):
        parts[number % 3].add(number / 1000)
    whole = measure.Delays.merged(part.encode() for part in parts)
    assert len(whole) == 300
    for share in (0.05, 0.5, 0.99):
        assert whole.quantile(share) == pytest.approx(0.3 * share, rel=0.01)
    taken = whole.sample("list_apply_s", "s", (4, 80), "hollow", day="steady")
    assert (taken.gateways, taken.engines, taken.n, taken.unit, taken.day) == (4, 80, 300, "s", "steady")
    assert taken.low < taken.value < taken.high
    assert measure.Delays().quantile(0.5) == 0.0


def test_traffic_counts_headers_and_usage_is_a_rate_between_two_readings() -> None:
    traffic = measure.Traffic()
    before = measure.Reading(10.0, 1.0, 1000, 5, traffic.counts())
    for _ in range(10):
        traffic.record_received(100)
    traffic.record_sent(72)
    after = measure.Reading(12.0, 1.5, 3000, 7, traffic.counts())
    assert measure.usage_between(before, after) == {
        "cpu_share": 0.25,
        "rss_bytes": 3000.0,
        "descriptors": 7.0,
        "datagrams_in_per_s": 5.0,
        "datagrams_out_per_s": 0.5,
        "bytes_in_per_s": 640.0,
        "bytes_out_per_s": 50.0,
    }
    taken = measure.usage_samples(
        {"a": before}, {"a": after, "b": after}, (10, 80), "hollow", 5, role="leader"
    )
    found = {item.quantity: (item.value, item.unit, item.role, item.n) for item in taken}
    assert found["bytes_in_per_s"] == (128.0, "bytes/s", "leader", 1)
    assert found["cpu_share"] == (0.05, "share", "leader", 1) and len(found) == 7


def test_a_reading_covers_cpu_time_memory_and_descriptors() -> None:
    before = measure.read_process(os.getpid())
    while time.process_time() < before.cpu_s + 0.05:
        pass
    with socket.socket():
        after = measure.read_process(os.getpid())
    assert after.cpu_s > before.cpu_s and after.at_s > before.at_s and after.rss_bytes > 1 << 20
    assert after.descriptors == before.descriptors + 1


def test_a_stall_of_the_event_loop_is_measured() -> None:
    async def run() -> tuple[float, str]:
        watch = measure.LoopStallMonitor()
        await asyncio.sleep(0.02)
        watch.take_stalls()
        time.sleep(0.1)
        await asyncio.sleep(0.02)
        return watch.take_stalls()

    longest_s, encoded = asyncio.run(run())
    assert longest_s > 0.09
    assert measure.Delays.merged([encoded]).quantile(1.0) == pytest.approx(longest_s, rel=0.01)


def test_idle_sessions_and_a_closed_loop_are_served(tmp_path: Path) -> None:
    async def run() -> None:
        async with ProcessGroup(tmp_path, 2000, 60) as group:
            site = Site(group, 8, 1, socket_limit=256)
            await site.start()
            assert await site.clients.ask("hold", port=site.ports[0], sessions=10) == 10
            await site.pinger.ask("ping", ports=site.ports, every_s=0.005)
            told = await site.clients.ask("most", port=site.ports[0], sessions=4, seconds=0.5)
            assert told["ends"].keys() == {"served"}
            await wait_until(lambda: pinged(site.pinger))
            await site.clients.ask("release")
            one = Client(site.ports[0])
            assert one.ask(query()).command_tag == "SELECT 2"
            one.close()

    async def pinged(child: Child) -> bool:
        told = await child.ask("stalls")
        return bool(told["longest_s"] > 0 and told["lost"] == 0)

    asyncio.run(run())
