"""End-to-end tests of the gateway: started as deployed, and used over sockets."""

import re
import signal
import socket
import struct
import threading
import time
from pathlib import Path

import pytest

from whintrail.standins.scripted import (
    WAIT_TIMEOUT_S,
    Client,
    Engine,
    Gateway,
    deployment,
    listener,
    query,
    settings,
    wait_for,
)

RETRYABLE_SQLSTATE = re.compile(r"53...|57P03")


def scripted_engine(name: str = "s-1", mode: str = "serve", port: int = 0, delay: float = 0.0) -> Engine:
    engine = Engine(name, port, mode)
    engine.delay = delay
    return engine


def many_pages() -> list[bytes]:
    return [b"".join(b"day %d\t%d\tnote %d\n" % (p, r, p * r) for r in range(200)) for p in range(5)]


# --- Served queries.


def test_a_result_of_several_pages_arrives_complete_and_in_order() -> None:
    with deployment() as cluster:
        cluster.engines[0].pages = many_pages()
        answer = cluster.client().ask(query(work=12.5, memory=64))
        expected = [tuple(row.split("\t")) for page in many_pages() for row in page.decode().splitlines()]
        assert answer.rows == expected
        assert (answer.command_tag, answer.sqlstate, answer.transaction_status) == ("SELECT 1000", None, "I")


def test_id_class_and_statement_reach_the_engine_unchanged_without_the_comment() -> None:
    sql = "SELECT a,  b -- /* op=x */\n FROM sales_17.t WHERE c = 'it''s; /* ö */'"
    with deployment() as cluster:
        assert cluster.client().ask(f"/* ttl=4000,x=1,call=9b1f03aa5c7e2d41,op=report */ {sql}").rows
        (request,) = cluster.engines[0].queries
        assert (request.id, request.fields["class"], request.statement) == (
            "9b1f03aa5c7e2d41",
            "report",
            sql.encode(),
        )
        assert 3000 < int(request.fields["wait"]) <= 4000


def test_queries_in_sequence_with_the_first_sent_along_with_the_startup() -> None:
    with deployment() as cluster:
        client = Client(cluster.port, start=False)
        client.sock.sendall(
            client.startup_message() + client.simple_query(query()) + client.simple_query(query())
        )
        client.read_startup_response()
        assert [client.read_answer().command_tag for _ in range(2)] == ["SELECT 1", "SELECT 1"]
        assert client.ask(query()).command_tag == "SELECT 1"


def test_a_query_received_one_byte_at_a_time() -> None:
    with deployment() as cluster:
        client = Client(cluster.port, start=False)
        for byte in client.startup_message() + client.simple_query(query()):
            client.sock.sendall(bytes([byte]))
            time.sleep(0.0005)
        client.read_startup_response()
        assert client.read_answer().rows


def test_many_clients_at_once_share_one_link() -> None:
    with deployment(scripted_engine(delay=0.1)) as cluster:
        clients = [cluster.client() for _ in range(40)]
        for client in clients:
            client.send_query(query())
        assert all(client.read_answer().rows for client in clients)
        assert len(cluster.engines[0].queries) == 40
        assert len(cluster.engines[0].connections) <= 2


# --- Refused and failed queries.


def test_a_refusal_has_a_retryable_code_and_a_retry_delay() -> None:
    with deployment(scripted_engine(mode="overload")) as cluster:
        answer = cluster.client().ask(query(ttl=700))
        assert answer.sqlstate and RETRYABLE_SQLSTATE.match(answer.sqlstate)
        assert re.search(r"pushback=2000\b", answer.error_text)
        assert answer.transaction_status == "I"


def test_a_non_repeatable_query_that_may_have_run_fails_with_a_non_retryable_code() -> None:
    with deployment(scripted_engine(mode="crashed")) as cluster:
        answer = cluster.client().ask(query("once"))
        assert answer.sqlstate and not RETRYABLE_SQLSTATE.match(answer.sqlstate)
        assert len(cluster.engines[0].queries) == 1


@pytest.mark.parametrize(
    "mode", ["reset", "close between pages", "lose pages", "unreadable", "two pages 1", "half"]
)
@pytest.mark.parametrize("op", ["lookup", "once"])
def test_a_broken_attempt_is_retried_elsewhere_only_if_the_query_is_repeatable(mode: str, op: str) -> None:
    bad, good = scripted_engine("s-1", mode), scripted_engine("s-2", "wait")
    bad.pages = good.pages = many_pages()
    with deployment(bad, good) as cluster:
        for _ in range(30):  # until a query is sent to the failing engine
            client = cluster.client()
            client.send_query(query(op, ttl=3000))
            wait_for(lambda: bad.queries or good.queries)
            if bad.queries:
                break
            good.queries.clear()
            client.close()
        assert bad.queries
        good.mode = "serve"
        answer = client.read_answer()
        if op == "once":
            assert answer.sqlstate and not RETRYABLE_SQLSTATE.match(answer.sqlstate)
            assert not good.queries
        else:
            assert len(answer.rows) == 1000


@pytest.mark.parametrize("mode", ["garbage", "endless line", "over-long"])
def test_broken_framing_closes_the_link_and_sends_no_rows_to_the_client(mode: str) -> None:
    with deployment(scripted_engine("s-1", mode)) as cluster:
        answer = cluster.client().ask(query("once", ttl=3000))
        assert answer.sqlstate and not RETRYABLE_SQLSTATE.match(answer.sqlstate) and not answer.rows
        cluster.engines[0].mode = "serve"
        wait_for(lambda: cluster.client().ask(query()).rows)


def test_answers_to_unknown_requests_are_dropped() -> None:
    with deployment(scripted_engine(mode="strangers")) as cluster:
        assert cluster.client().ask(query()).rows == [("a", "b", "c")]


def test_duplicate_answers_and_pages_are_ignored() -> None:
    with deployment(scripted_engine(mode="copies")) as cluster:
        cluster.engines[0].pages = many_pages()
        client = cluster.client()
        assert all(len(client.ask(query("once")).rows) == 1000 for _ in range(3))
        assert len(cluster.engines[0].queries) == 3


def test_a_silent_engine_delays_a_query_only_until_its_deadline() -> None:
    with deployment(scripted_engine(mode="silent")) as cluster:
        start = time.monotonic()
        answer = cluster.client().ask(query(ttl=800))
        assert answer.sqlstate and 0.5 < time.monotonic() - start < 3.0
        wait_for(lambda: any(words[0] == "undo" for words in cluster.engines[0].requests))


def test_queries_move_from_an_engine_that_refuses_connections_to_another() -> None:
    dead, good = scripted_engine("s-1"), scripted_engine("s-2")
    with deployment(dead, good) as cluster:
        dead.close()
        client = cluster.client()
        assert all(client.ask(query()).rows for _ in range(20))


# --- Clients that cancel or disconnect.


def test_a_cancel_request_ends_the_query_and_its_attempt() -> None:
    with deployment(scripted_engine(mode="silent")) as cluster:
        client = cluster.client()
        client.send_query(query("report"))
        wait_for(lambda: cluster.engines[0].queries)
        other = Client(cluster.port, start=False)
        other.sock.sendall(struct.pack("!IIII", 16, 80877102, client.cancel_key[0], client.cancel_key[1] ^ 1))
        assert other.sock.recv(1) == b""
        other = Client(cluster.port, start=False)
        other.sock.sendall(struct.pack("!IIII", 16, 80877102, *client.cancel_key))
        assert client.read_answer().sqlstate == "57014"
        wait_for(lambda: ["undo", cluster.engines[0].queries[0].id] in cluster.engines[0].requests)


def test_a_disconnect_cancels_the_clients_attempt_and_affects_no_other_client() -> None:
    with deployment(scripted_engine(delay=0.3)) as cluster:
        cluster.engines[0].pages = many_pages()
        leaving, staying = cluster.client(), cluster.client()
        leaving.send_query(query())
        staying.send_query(query())
        wait_for(lambda: len(cluster.engines[0].queries) == 2)
        leaving.close()
        assert len(staying.read_answer().rows) == 1000
        wait_for(lambda: any(words[0] == "undo" for words in cluster.engines[0].requests))


def test_a_slow_reader_does_not_delay_other_clients() -> None:
    with deployment() as cluster:
        cluster.engines[0].pages = many_pages()
        slow = Client(cluster.port, start=False)
        slow.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        slow.sock.sendall(slow.startup_message() + b"".join(slow.simple_query(query()) for _ in range(12)))
        fast = cluster.client()
        start = time.monotonic()
        assert all(fast.ask(query()).rows for _ in range(20))
        assert time.monotonic() - start < WAIT_TIMEOUT_S / 2
        slow.read_startup_response()
        assert all(len(slow.read_answer().rows) == 1000 for _ in range(12))


# --- Invalid input from clients.


@pytest.mark.parametrize(
    "text",
    [
        "SELECT 1 FROM sales_3.t",
        "/* op=lookup */ SELECT 1",
        "/* call=9b1f03aa5c7e2d41 */ SELECT 1",
        "/* op=lookup,call=9b1f03aa5c7e2d41,ttl=-5 */ SELECT 1",
        "/* op=lookup,call=9b1f03aa5c7e2d41,ttl=5,work=many */ SELECT 1",
        "/* op=nobody,call=9b1f03aa5c7e2d41,ttl=5000 */ SELECT 1",
        "/* op=lookup,call=9b1f03aa5c7e2d41,ttl=5000",
    ],
)
def test_an_invalid_query_fails_and_the_session_continues(text: str) -> None:
    with deployment() as cluster:
        client = cluster.client()
        answer = client.ask(text)
        assert (
            answer.sqlstate
            and not RETRYABLE_SQLSTATE.match(answer.sqlstate)
            and answer.transaction_status == "I"
        )
        assert client.ask(query()).rows
        assert len(cluster.engines[0].queries) == 1


def test_a_zero_ttl_differs_from_an_absent_one() -> None:
    with deployment() as cluster:
        client = cluster.client()
        answer = client.ask(query(ttl=0))
        assert answer.sqlstate and RETRYABLE_SQLSTATE.match(answer.sqlstate)
        assert client.ask(query(ttl=None)).rows


def test_encryption_is_declined_and_unsupported_versions_are_rejected() -> None:
    with deployment() as cluster:
        client = Client(cluster.port, start=False)
        for code in (80877103, 80877104):
            client.sock.sendall(struct.pack("!II", 8, code))
            assert client.file.read(1) == b"N"
        client.sock.sendall(client.startup_message())
        client.read_startup_response()
        assert client.ask(query()).rows
        newer = Client(cluster.port, start=False)
        newer.sock.sendall(newer.startup_message((3 << 16) + 2))
        newer.read_startup_response()
        old = Client(cluster.port, start=False)
        old.sock.sendall(old.startup_message(2 << 16))
        assert old.read_answer().sqlstate == "0A000"


def test_extended_protocol_messages_get_one_error_until_sync() -> None:
    with deployment() as cluster:
        client = cluster.client()
        parse = client.message(b"P", b"\0SELECT 1\0\0\0")
        bind = client.message(b"B", b"\0\0\0\0\0\0\0\0")
        client.sock.sendall(parse + bind + client.message(b"S", b""))
        assert client.read_answer().sqlstate == "0A000"
        assert client.ask(query()).rows


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        struct.pack("!I", 3),
        struct.pack("!II", 1 << 30, 3 << 16),
        Client.startup_message() + b"Q" + struct.pack("!I", 2),
        Client.startup_message() + b"Q" + struct.pack("!I", 1 << 30),
        Client.startup_message() + b"\xff" + struct.pack("!I", 4),
    ],
)
def test_an_invalid_message_gets_a_fatal_error_and_a_close(data: bytes) -> None:
    with deployment() as cluster:
        client = Client(cluster.port, start=False)
        client.sock.sendall(data)
        client.sock.shutdown(socket.SHUT_WR)
        assert b"FATAL" in client.file.read()
        assert cluster.client().ask(query()).rows


# --- The bulletin.


def test_a_draining_engine_gets_no_new_queries() -> None:
    first, second = scripted_engine("s-1"), scripted_engine("s-2")
    with deployment(first, second) as cluster:
        cluster.bulletin.publish(first.entry("leaving"))
        time.sleep(0.5)
        first.queries.clear()
        client = cluster.client()
        assert all(client.ask(query()).rows for _ in range(30))
        assert not first.queries


def test_an_address_can_be_reused_by_another_engine() -> None:
    old = scripted_engine("s-1")
    with deployment(old) as cluster:
        assert cluster.client().ask(query()).rows
        old.close()
        new = scripted_engine("s-2", port=old.port)
        cluster.engines.append(new)
        cluster.bulletin.publish(old.entry("left"), new.entry(startedAtMs=int(time.time() * 1000) - 60_000))
        wait_for(lambda: cluster.client().ask(query(ttl=1000)).rows)
        assert new.queries


def test_the_bulletin_resumes_after_a_cut_connection() -> None:
    first, second = scripted_engine("s-1"), scripted_engine("s-2")
    with deployment(first) as cluster:
        cluster.engines.append(second)
        wait_for(lambda: cluster.bulletin.requested_events)
        cluster.bulletin.publish(second.entry())
        wait_for(lambda: [cluster.client().ask(query()) for _ in range(5)] and second.queries)
        cluster.bulletin.reset_connections()
        wait_for(lambda: cluster.bulletin.requested_events[-1] == 2)


def test_invalid_bulletin_lines_change_nothing() -> None:
    with deployment() as cluster:
        wait_for(lambda: cluster.bulletin.connections)
        for line in (
            b"{",
            b'"x"',
            b'{"no":2}',
            b'{"no":2,"roster":{"instances":[{"instanceId":"x"}]}}',
            b'{"no":3,"roster":{"instances":[{"instanceId":"x","hostPort":"127.0.0.1:1",'
            b'"lifecycle":"active","cell":1e308,"weight":"nan"}]}}',
            b'{"no":4,"roster":{"instances":[7,null,[]]}}',
            b"1",
        ):
            cluster.bulletin.connections[0].sendall(line + b"\n")
        time.sleep(0.3)
        assert cluster.client().ask(query()).rows


# --- Start and stop.


def test_sigterm_finishes_open_queries_and_still_accepts_for_a_while() -> None:
    with deployment(scripted_engine(delay=0.6)) as cluster:
        early = cluster.client()
        early.send_query(query())
        wait_for(lambda: cluster.engines[0].queries)
        cluster.gateway.signal(signal.SIGTERM)
        time.sleep(0.4)
        late = cluster.client()
        late.send_query(query())
        assert early.read_answer().rows and late.read_answer().rows
        assert cluster.gateway.process.wait(WAIT_TIMEOUT_S) == 0
        assert re.search(r"event=queries served=2 taken=2", cluster.gateway.log_text())


def test_sigterm_fails_queries_that_do_not_finish_in_time() -> None:
    with deployment(scripted_engine(mode="silent")) as cluster:
        client = cluster.client()
        client.send_query(query("once", ttl=8000))
        wait_for(lambda: cluster.engines[0].queries)
        start = time.monotonic()
        cluster.gateway.signal(signal.SIGTERM)
        answer = client.read_answer()
        assert answer.sqlstate and not RETRYABLE_SQLSTATE.match(answer.sqlstate)
        assert time.monotonic() - start < 3.65
        assert cluster.gateway.process.wait(WAIT_TIMEOUT_S) == 0


def test_counters_are_printed_on_a_signal() -> None:
    with deployment() as cluster:
        assert cluster.client().ask(query()).rows
        cluster.gateway.signal(signal.SIGUSR1)
        wait_for(lambda: "event=queries served=1 taken=1" in cluster.gateway.log_text())
        assert "event=attempts ok=1 sent=1" in cluster.gateway.log_text()


def test_a_failed_start_prints_one_line_and_exits_with_a_status(tmp_path: Path) -> None:
    with listener() as busy:
        port = busy.getsockname()[1]
        config = {"listen": f"127.0.0.1:{port}", "bulletin": "127.0.0.1:9", "settings": settings()}
        for given_config, environment, message in (
            (None, {"RELAY_CONFIG": str(tmp_path / "none.json")}, "can't read the configuration"),
            ({"listen": "x"}, {}, "can't be used"),
            (config, {}, "can't listen"),
        ):
            gateway = Gateway(given_config, tmp_path, **environment)
            assert gateway.process.wait(WAIT_TIMEOUT_S) == 1
            assert message in gateway.log_text() and len(gateway.log_text().splitlines()) <= 6


def test_clients_beyond_the_descriptor_limit_wait_and_are_served() -> None:
    with deployment(scripted_engine(delay=0.05), sockets=64) as cluster:
        answers: list[str] = []

        def ask_once() -> None:
            client = cluster.client()
            answers.append(client.ask(query()).transaction_status)
            client.close()

        threads = [threading.Thread(target=ask_once) for _ in range(120)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(WAIT_TIMEOUT_S)
        assert answers == ["I"] * 120
