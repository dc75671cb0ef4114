"""Unit tests of the gateway's codecs, with input in one piece and byte by byte."""

import struct
import time
from collections.abc import Callable
from typing import TypeVar

import pytest

from whintrail.gateway import engine_protocol as lines
from whintrail.gateway import postgres as pg
from whintrail.gateway.buffer import Buffer
from whintrail.gateway.statement import StatementError, read_statement, table_group

T = TypeVar("T")


def receive(buffer: Buffer, data: bytes) -> None:
    while data:
        space = buffer.receive_space()
        count = min(len(space), len(data))
        space[:count] = data[:count]
        buffer.commit(count)
        data = data[count:]


def read_all(data: bytes, read: Callable[[Buffer], T | None], step: int) -> list[T]:
    buffer, messages = Buffer(16, 100_000), []
    for offset in range(0, len(data), step):
        receive(buffer, data[offset : offset + step])
        while (message := read(buffer)) is not None:
            messages.append(message)
    assert len(buffer) == 0
    return messages


# --- The buffer.


def test_a_buffer_grows_to_its_limit_and_shrinks_again() -> None:
    buffer = Buffer(8, 100)
    receive(buffer, b"x" * 100)
    assert buffer.full and len(buffer.receive_space()) == 0
    assert buffer.take(100) == b"x" * 100
    assert len(buffer.receive_space()) == 8


def test_a_buffer_is_compacted_in_place() -> None:
    buffer = Buffer(8, 8)
    for number in range(100):
        receive(buffer, b"%05d" % number)
        assert buffer.take(5) == b"%05d" % number


def test_taking_bytes_during_a_receive_does_not_move_them() -> None:
    buffer = Buffer(16, 16)
    receive(buffer, b"abcdef")
    space = buffer.receive_space()
    assert buffer.take(4) == b"abcd"
    space[:2] = b"gh"
    buffer.commit(2)
    assert buffer.take(4) == b"efgh"


# --- Clients.


def message(kind: bytes, body: bytes) -> bytes:
    return kind + struct.pack("!I", len(body) + 4) + body


@pytest.mark.parametrize("step", [1, 3, 100_000])
def test_client_messages(step: int) -> None:
    data = message(b"Q", b"select 1\0") + message(b"S", b"") + message(b"X", b"")
    found = read_all(data, lambda buffer: pg.read_message(buffer, 1000), step)
    assert found == [(b"Q", b"select 1\0"), (b"S", b""), (b"X", b"")]


@pytest.mark.parametrize("step", [1, 100_000])
def test_startup_messages(step: int) -> None:
    body = struct.pack("!I", 3 << 16) + b"user\0app\0database\0dw\0\0"
    data = struct.pack("!II", 8, pg.SSL_REQUEST) + struct.pack("!I", len(body) + 4) + body
    data += struct.pack("!IIII", 16, pg.CANCEL_REQUEST, 7, 2**32 - 1)
    found = read_all(data, lambda buffer: pg.read_startup(buffer, 1000), step)
    assert found == [
        pg.EncryptionRequest(),
        pg.Startup(0, {"user": "app", "database": "dw"}),
        pg.CancelRequest(7, 2**32 - 1),
    ]


@pytest.mark.parametrize(
    "data",
    [
        struct.pack("!II", 7, 3 << 16),
        struct.pack("!II", 1001, 3 << 16),
        struct.pack("!II", 8, 2 << 16),
        struct.pack("!III", 12, pg.CANCEL_REQUEST, 7),
        struct.pack("!II", 12, 3 << 16) + b"user",
        struct.pack("!II", 8 + 405, 3 << 16) + b"a\0b\0" * 101 + b"\0",
    ],
)
def test_bad_startup_messages(data: bytes) -> None:
    buffer = Buffer(64, 2000)
    receive(buffer, data)
    with pytest.raises(pg.ProtocolError) as caught:
        pg.read_startup(buffer, 1000)
    assert not caught.value.sqlstate.startswith("53") and caught.value.sqlstate != "57P03"


@pytest.mark.parametrize("length", [0, 3, 1000, 2**32 - 1])
def test_invalid_lengths_are_rejected_before_the_body_arrives(length: int) -> None:
    buffer = Buffer(64, 2000)
    receive(buffer, b"Q" + struct.pack("!I", length))
    with pytest.raises(pg.ProtocolError):
        pg.read_message(buffer, 1000)


@pytest.mark.parametrize("body", [b"", b"select", b"sel\0ect\0"])
def test_a_query_has_exactly_one_zero_byte_at_its_end(body: bytes) -> None:
    with pytest.raises(pg.ProtocolError):
        pg.query_text(body)


def expected_data_rows(text: bytes) -> bytes:
    rows = b""
    for row in text.split(b"\n")[:-1]:
        body = b"".join(struct.pack("!I", len(value)) + value for value in row.split(b"\t"))
        rows += message(b"D", struct.pack("!H", 3) + body)
    return rows


@pytest.mark.parametrize(
    "text",
    [b"", b"a\tb\tc\n", b"\t\t\n", b"aa\t\tx\nq\tw\te\n", b"x" * 5000 + b"\ty\tz\n", b"\xff\t\x00\t\r\n"],
)
def test_rows_are_encoded_unchanged(text: bytes) -> None:
    rows = pg.encode_data_rows(text)
    assert (rows.count, rows.data) == (text.count(b"\n"), expected_data_rows(text))


@pytest.mark.parametrize(
    "text",
    [
        b"a",
        b"a\tb\n",
        b"a\tb\tc",
        b"a\tb\tc\td\n",
        b"a\tb\tc\nx",
        b"\n",
        b"a\tb\nc\td\te\tf\n",
        b"\t\t\nx",
        b"x" * 6001 + b"\t\t\n",
    ],
)
def test_incomplete_rows_are_rejected(text: bytes) -> None:
    with pytest.raises(ValueError):
        pg.encode_data_rows(text)


# --- Engines.


def read_engine_answer(buffer: Buffer) -> lines.Answer | None:
    return lines.read_answer(buffer, 200, 1000)


@pytest.mark.parametrize("step", [1, 7, 100_000])
def test_engine_answers(step: int) -> None:
    data = (
        b"9b1f served total=2,elapsed=12.5 5\r\na\r\nbc\r\nt1 green stats=busy_reqs:7;x0:0.61;odd:x 0\r\n\r\n"
    )
    first, second = read_all(data, read_engine_answer, step)
    assert (first.id, first.word, first.body) == (b"9b1f", "served", b"a\r\nbc")
    assert (first.number("total"), first.number("elapsed"), first.number("rss")) == (2, 12.5, None)
    assert second.fields and second.stats() == {"busy_reqs": 7.0, "x0": 0.61}


def test_absent_and_zero_differ_in_an_answer() -> None:
    (answer,) = read_all(b"t update how=done,datum=0 0\r\n\r\n", read_engine_answer, 100)
    assert answer.number("datum") == 0 and answer.number("else") is None
    (answer,) = read_all(b"t update datum=nan,x=inf 0\r\n\r\n", read_engine_answer, 100)
    assert answer.number("datum") is None and answer.number("x") is None


@pytest.mark.parametrize(
    "data",
    [
        b"hello\r\n",
        b"t served - -1\r\n",
        b"t served - x\r\n",
        b"t served - 1001\r\n",
        b"t served - 99999999999999999999\r\n",
        b"t dances - 0\r\n\r\n",
        b"t served - 1\r\nabc",
        b"t served  - 1\r\n",
        b"x" * 200,
        b"t served \xff=1 0\r\n\r\n",
    ],
)
def test_broken_framing_is_rejected(data: bytes) -> None:
    buffer = Buffer(64, 2000)
    receive(buffer, data)
    with pytest.raises(lines.FramingError):
        while read_engine_answer(buffer):
            pass


def test_requests_to_engines() -> None:
    assert lines.encode_do(b"9b", {"class": "x", "wait": "5"}, b"s t") == b"do 9b class=x,wait=5 3\r\ns t\r\n"
    assert lines.encode_do(b"9b", {}, b"") == b"do 9b - 0\r\n\r\n"
    assert lines.encode_undo(b"9b") + lines.encode_bump(b"9b", 3) == b"undo 9b\r\nbump 9b 3\r\n"
    assert lines.encode_page(b"9b", 1) + lines.encode_forget(b"9b") == b"page 9b 1\r\nforget 9b\r\n"
    assert lines.encode_probe(b"p", True) + lines.encode_probe(b"p", False) == b"top p\r\nping p\r\n"


# --- Statements.


def test_fields_in_any_order_and_unknown_ones_skipped() -> None:
    statement = read_statement(b" /* x=1,memory=0,call=9b1f03aa5c7e2d41, op=report */  SELECT 1 FROM a_2.b ")
    assert (statement.class_name, statement.call_id, statement.text) == (
        "report",
        b"9b1f03aa5c7e2d41",
        b"SELECT 1 FROM a_2.b ",
    )
    assert (statement.ttl_ms, statement.work_ms, statement.memory_mb, statement.table_group) == (
        None,
        None,
        0.0,
        2,
    )


@pytest.mark.parametrize("field", ["ttl=-1", "ttl=x", "ttl=", "work=1e9", "memory=nan", "memory=" + "9" * 30])
def test_invalid_field_values_are_rejected(field: str) -> None:
    with pytest.raises(StatementError):
        read_statement(f"/* op=a,call=9b1f03aa5c7e2d41,{field} */ SELECT 1".encode())


@pytest.mark.parametrize("call", ["", "9b1f03aa5c7e2d4", "9B1F03AA5C7E2D41", "9b1f03aa5c7e2d411", "g" * 16])
def test_a_call_is_16_hex_digits(call: str) -> None:
    with pytest.raises(StatementError):
        read_statement(f"/* op=a,call={call} */ SELECT 1".encode())


@pytest.mark.parametrize(
    ("sql", "group"),
    [
        ("SELECT day, count(*) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day", 17),
        ("select 'from a_1.b', extract(day from o_3.ts) from staging.x o_3, sales_9.t", 9),
        ('/* from a_1.b /* nested */ from c_2.d */ select * from (select * from "s_4".t) z', 4),
        ("insert into staging.t (a, b) select a, b from x_5.y", 5),
        ("INSERT INTO ops_4.stock SELECT * FROM staging.batch", 4),
        ("update only w_6.z set a = 1 from y_7.t", 6),
        ("delete from s_1.t using s_2.u", 1),
        ("merge into lake_11.x d using staging.delta s on d.id = s.id", 11),
        ("merge into staging.x d using lake_12.delta s on d.id = s.id", 12),
        ("select $$from a_1.b$$, $x$ from b_2.c $x$ from d_8.e", 8),
        ("select a_1.x from t as a_1 join s_12.u using (id)", 12),
        ("with w as (select * from mart_11.e where x in (1, 2)) select * from w", 11),
        ("select * from q -- from a_1.b\n, r_3.t", 3),
        ("select a_1.b, c from t a_1 where a_1.b is distinct from a_1.c", None),
        ("select E'it\\'s from a_1.b' from b_2.c", 2),
        ("select '/* ' from a_3.b where x = ' */'", 3),
        ('select "from a_1.b" from "c_4" . "d"', 4),
        ("select trim(both from a_1.b) from staging.c left join lateral d_6.e on true", 6),
        ("select 1", None),
        ("select 1 from t", None),
        ("copy", None),
        ("select 'never ends from a_1.b", None),
        ("/* never ends from a_1.b", None),
        ("", None),
        ("((((", None),
    ],
)
def test_the_group_of_tables(sql: str, group: int | None) -> None:
    assert table_group(sql.encode()) == group


@pytest.mark.parametrize("start", ["", "/*", "'", '"', "FROM a.", "a_1 ", "a_1 /*", "a_1 '", "a_1 FROM a."])
@pytest.mark.parametrize("unit", ["-", "'", '"', "/*", "$a", "a ", "(", "e'\\", "\"'"])
def test_hostile_statements_are_parsed_in_bounded_time(start: str, unit: str) -> None:
    fields = b"/* op=lookup,call=9b1f03aa5c7e2d41,ttl=5000 */ "
    started = time.process_time()
    statement = read_statement(fields + start.encode() + unit.encode() * (64_000 // len(unit)))
    assert statement.table_group is None
    assert time.process_time() - started < 0.5
