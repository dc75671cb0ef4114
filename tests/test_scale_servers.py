"""Tests of the hollow servers of a scale run, its process group and its measurements, on loopback."""

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
    """`condition` may return an awaitable."""
    end = time.monotonic() + seconds
    while True:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return
        assert time.monotonic() < end, "the condition did not hold in time"
        await asyncio.sleep(0.01)


# --- Engines and bulletin with a real gateway.


def test_engines_answer_a_real_gateway_and_count_requests(tmp_path: Path) -> None:
    async def run() -> None:
        async with ProcessGroup(tmp_path, 2000, 60) as group:
            site = Site(group, 40, 1, socket_limit=256)
            await site.start()
            answer = await site.clients.ask("load", ports=site.ports, rate=100, seconds=1.0)
            assert answer["ends"] == {"served": answer["asked"]} and answer["asked"] > 0
            assert len(measure.Delays.merged([answer["delays"]])) == answer["asked"]
            counts = await site.engines[0].ask("counts", each=True)
            assert counts["queries"] >= counts["served"] >= answer["asked"]
            assert all(sum(each) == counts[name] for name, each in counts["each"].items())
            assert all(len(each) == 40 for each in counts["each"].values())
            assert load.count_connections(site.gateways[0].pid, site.engine_ports) == counts["open"] > 0

    asyncio.run(run())


def test_a_real_gateway_applies_a_change_and_a_full_list_of_2000(tmp_path: Path) -> None:
    async def run() -> None:
        async with ProcessGroup(tmp_path, 2000, 60) as group:
            site = Site(group, 2000, 1, socket_limit=256)
            await site.start()
            for command in ("change", "whole", "change"):
                (seconds,) = await site.publish(command, WAIT_TIMEOUT_S)
                assert seconds is not None and seconds > 0
            state = await site.bulletin.ask("state")
            assert (state["followers"], state["asked"], state["events_told"]) == (1, 1, 3)

    asyncio.run(run())


def test_a_full_list_over_the_line_limit_is_refused_and_requested_again(tmp_path: Path) -> None:
    """The gateway refuses a line that is too long and asks for it again; the hollow servers must not hide
    this."""

    async def run() -> None:
        async with ProcessGroup(tmp_path, 2000, 60) as group:
            site = Site(group, 40, 1, socket_limit=256)
            await site.start()
            name = "s-" + "x" * 100
            entries = [
                {**engines.build_entry(n, 1, state="left"), "instanceId": f"{name}{n}"} for n in range(4600)
            ]
            for first in (0, 2300):  # each under the limit
                assert await site.publish("change", WAIT_TIMEOUT_S, entries=entries[first : first + 2300])
            await site.bulletin.ask("change", entries=entries)
            await wait_until(lambda: has_requested_again(site))
            assert "a line without end" in site.gateways[0].log.read_text()
            site.gateways[0].signal(signal.SIGUSR1)
            await wait_until(lambda: "events=3" in site.gateways[0].log.read_text())  # and never the fourth
            assert "events=4" not in site.gateways[0].log.read_text()

    async def has_requested_again(site: Site) -> bool:
        return bool((await site.bulletin.ask("state"))["asked"] >= 4)

    asyncio.run(run())


# --- Engines alone.


def test_an_engine_hangs_refuses_crashes_and_recovers(tmp_path: Path) -> None:
    async def run() -> None:
        async with ProcessGroup(tmp_path, 2000, 60) as group:
            config = {"first": 300, "count": 5}
            child, part = await group.start("engines", "engine", "whintrail.scale.engines", config)
            first, count, port = part
            assert (first, count) == (300, 5)
            address = engines.build_entry(301, port)["hostPort"]
            assert address == f"127.64.1.45:{port}"
            sock, file = await asyncio.to_thread(connect, address)

            def ask(line: bytes) -> bytes:
                sock.sendall(line + b"\r\n")
                answer, body = file.readline(), file.readline()
                return bytes(answer + body)

            assert (await asyncio.to_thread(ask, b"ping p1")) == b"p1 green - 0\r\n\r\n"
            report = await asyncio.to_thread(ask, b"top p2")
            assert report.startswith(b"p2 green stats=busy_reqs:0;pending:0;")
            assert await child.ask("fault", what="hang", engines=[301, 9]) == 1  # 9 is not in this process
            waiting = asyncio.create_task(asyncio.to_thread(ask, b"ping p3"))
            # An engine that does not hang answers a later request first.
            other, other_file = await asyncio.to_thread(connect, engines.build_entry(302, port)["hostPort"])
            other.sendall(b"ping o1\r\n")
            assert await asyncio.to_thread(other_file.readline) == b"o1 green - 0\r\n"
            assert not waiting.done()
            await child.ask("fault", what="sound", engines=[301])
            assert (await waiting) == b"p3 green - 0\r\n\r\n"
            assert await child.ask("fault", what="crash", engines=[301]) == 1
            with pytest.raises(ConnectionResetError):
                await asyncio.to_thread(ask, b"ping p4")
            with pytest.raises(ConnectionRefusedError):
                await asyncio.to_thread(connect, address)
            await child.ask("fault", what="cold", engines=[301])
            reconnected, _ = await asyncio.to_thread(connect, address)
            await wait_until(lambda: count_of(child, 301, "connections", 2))
            with pytest.raises(ChildError, match="no fault: sleep"):
                await child.ask("fault", what="sleep")
            for each in (sock, other, reconnected):
                each.close()

    async def count_of(child: Child, number: int, name: str, wanted: int) -> bool:
        each = (await child.ask("counts", each=True))["each"]
        return bool(each[name][number - 300] == wanted)

    asyncio.run(run())


# --- The bulletin alone.


def test_the_bulletin_sends_followers_only_events_that_are_new_to_them(tmp_path: Path) -> None:
    entries = engines.build_entries([(0, 2000, 7000)], zones=3)

    async def run() -> None:
        async with ProcessGroup(tmp_path, 2000, 60) as group:
            child, answer = await group.start(
                "bulletin", "bulletin", "whintrail.scale.bulletin", {"entries": entries}
            )
            new_client, new_lines = await asyncio.to_thread(connect, answer["where"])
            current_client, current_lines = await asyncio.to_thread(connect, answer["where"])
            new_client.sendall(b"after 0\n")
            current_client.sendall(b"after 1\n")
            line = await asyncio.to_thread(new_lines.readline)
            assert len(line) == answer["line_bytes"]
            update = read_list_update(orjson.loads(line), Log("n0", 5, 1), is_first=False)
            assert update.event.kind is ListKind.FULL and len(update.event.entries) == 2000
            number = await child.ask("change", engines=["s-000007cf"], set={"lifecycle": "leaving"})
            for file in (new_lines, current_lines):
                event = orjson.loads(await asyncio.to_thread(file.readline))
                while isinstance(event, int):  # a heartbeat
                    event = orjson.loads(await asyncio.to_thread(file.readline))
                assert event["no"] == number == 2
                (changed,) = event["roster"]["instances"]
                assert changed == {**entries[1999], "lifecycle": "leaving"}
                assert event["at"] == pytest.approx((await child.ask("times", after=1))["2"], abs=1e-5)
            assert orjson.loads(await asyncio.to_thread(current_lines.readline)) == 2  # a heartbeat
            assert (await child.ask("state"))["held"] == 2
            for sock in (new_client, current_client):
                sock.shutdown(socket.SHUT_RDWR)
                sock.close()
            await wait_until(lambda: has_no_followers(child))

    async def has_no_followers(child: Child) -> bool:
        return bool((await child.ask("state"))["followers"] == 0)

    asyncio.run(run())


def test_a_muted_bulletin_sends_nothing_and_lag_delays_events(tmp_path: Path) -> None:
    async def run() -> None:
        async with ProcessGroup(tmp_path, 2000, 60) as group:
            config = {"entries": engines.build_entries([(0, 10, 7000)]), "split": 2}
            child, answer = await group.start("bulletin", "bulletin", "whintrail.scale.bulletin", config)
            sock, lines = await asyncio.to_thread(connect, answer["where"])
            sock.sendall(b"after 0\n")
            rosters = [orjson.loads(await asyncio.to_thread(lines.readline))["roster"] for _ in range(2)]
            assert [(roster["reset"], len(roster["instances"])) for roster in rosters] == [
                (True, 5),
                (False, 5),
            ]
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
    known = bulletin.build_known_list(engines.build_entries([(0, 2, 7000)]))
    assert known["no"] == 1 and known["items"][0]["no"] == 1
    update = read_list_update(known["items"][0], Log("n0", 5, 1), is_first=True)
    assert update.event.kind is ListKind.CACHED and update.generation == 1
    assert update.addresses == {"s-00000000": "127.64.0.0:7000", "s-00000001": "127.64.0.1:7000"}


# --- Processes.

PARENT_SCRIPT = """
import asyncio, sys
from pathlib import Path
from whintrail.scale.procs import ProcessGroup
from whintrail.scale.load import gateway_config

async def main():
    async with ProcessGroup(Path(sys.argv[1]), float(sys.argv[2]), float(sys.argv[3])) as group:
        async def work():
            engines = {"first": 0, "count": 3}
            engine_process, _ = await group.start("engines", "engine", "whintrail.scale.engines", engines)
            config = gateway_config(0, "127.0.0.1:%s" % sys.argv[4], "127.0.0.1:1", {"no": 0, "items": []})
            gateway = await group.start_gateway("n0", config)
            print(engine_process.pid, gateway.pid, flush=True)
            await asyncio.sleep(60)
        await group.run_within_bounds(work())

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


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGTERM, signal.SIGINT])
def test_a_run_that_is_ended_leaves_no_process_behind(tmp_path: Path, signal_number: signal.Signals) -> None:
    with start_parent(tmp_path, 2000, 60) as process:
        processes = read_children(process)
        assert len(processes) == 2 and all(child.is_running() for child in processes)
        processes[0].suspend()  # a stopped process has to end as well
        process.send_signal(signal_number)
        process.wait(WAIT_TIMEOUT_S)
        assert psutil.wait_procs(processes, WAIT_TIMEOUT_S)[1] == []


@pytest.mark.parametrize(
    ("memory_mb", "seconds", "message"), [(20, 60, "memory: "), (2000, 1, "time: over the bound of 1 s")]
)
def test_a_run_over_a_limit_ends_with_a_one_line_error(
    tmp_path: Path, memory_mb: float, seconds: float, message: str
) -> None:
    with start_parent(tmp_path, memory_mb, seconds) as process:
        _, errors = process.communicate(timeout=WAIT_TIMEOUT_S)
        assert process.returncode == 1
        last = errors.strip().splitlines()[-1]
        assert last.startswith(f"whintrail.scale.procs.BoundError: {message}")


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
            again, _ = await group.start(
                "one", "engine", "whintrail.scale.engines", config
            )  # the same name again
            return [child, again]

    for child in asyncio.run(run()):
        assert not child.is_alive and not psutil.pid_exists(child.pid)


# --- Measurements.


def test_histograms_of_several_processes_merge() -> None:
    histograms = [measure.Delays() for _ in range(3)]
    for number in range(1, 301):
        histograms[number % 3].add(number / 1000)
    merged = measure.Delays.merged(histogram.encode() for histogram in histograms)
    assert len(merged) == 300
    for share in (0.05, 0.5, 0.99):
        assert merged.quantile(share) == pytest.approx(0.3 * share, rel=0.01)
    result = merged.sample("list_apply_s", "s", (4, 80), "hollow", day="steady")
    assert (result.gateways, result.engines, result.n, result.unit, result.day) == (4, 80, 300, "s", "steady")
    assert result.low < result.value < result.high
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
    samples = measure.usage_samples(
        {"a": before}, {"a": after, "b": after}, (10, 80), "hollow", 5, role="leader"
    )
    by_quantity = {each.quantity: (each.value, each.unit, each.role, each.n) for each in samples}
    assert by_quantity["bytes_in_per_s"] == (128.0, "bytes/s", "leader", 1)
    assert by_quantity["cpu_share"] == (0.05, "share", "leader", 1) and len(by_quantity) == 7


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
            answer = await site.clients.ask("most", port=site.ports[0], sessions=4, seconds=0.5)
            assert answer["ends"].keys() == {"served"}
            await wait_until(lambda: has_pinged(site.pinger))
            await site.clients.ask("release")
            one = Client(site.ports[0])
            assert one.ask(query()).command_tag == "SELECT 2"
            one.close()

    async def has_pinged(child: Child) -> bool:
        stalls = await child.ask("stalls")
        return bool(stalls["longest_s"] > 0 and stalls["lost"] == 0)

    asyncio.run(run())
