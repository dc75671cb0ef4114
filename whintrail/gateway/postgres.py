"""The PostgreSQL wire protocol 3.0 as a server speaks it. A pure codec: it touches no socket."""

import struct
from collections.abc import Iterable
from dataclasses import dataclass

from whintrail.gateway.buffer import Buffer

PROTOCOL_MAJOR = 3
SSL_REQUEST, GSS_REQUEST, CANCEL_REQUEST = 80877103, 80877104, 80877102
TEXT_OID = 25
DECLINED = b"N"  # to a request for encryption

# SQLSTATE codes; class 53 and 57P03 promise that trying again is harmless and stand for nothing else.
REFUSED, NOT_READY = "53000", "57P03"
FAILED, CANCELED, STOPPED = "58000", "57014", "57P01"
SYNTAX_ERROR, BAD_VALUE, UNSUPPORTED, TOO_LARGE = "42601", "22023", "0A000", "54000"
VIOLATION = "08P01"

_length = struct.Struct("!I")
_startup = struct.Struct("!II")
_head = struct.Struct("!cI")


class ProtocolError(ValueError):
    """What came is no message of this protocol; the connection can't go on."""

    def __init__(self, sqlstate: str, text: str) -> None:
        super().__init__(text)
        self.sqlstate = sqlstate


@dataclass(frozen=True, slots=True)
class Startup:
    minor: int
    parameters: dict[str, str]


@dataclass(frozen=True, slots=True)
class EncryptionRequest:
    pass


@dataclass(frozen=True, slots=True)
class CancelRequest:
    process: int
    secret: int


def cancel_ahead(data: bytes) -> bool:
    """Whether the first bytes of a connection are a cancel request."""
    return len(data) >= _startup.size and _startup.unpack_from(data)[1] == CANCEL_REQUEST


def read_startup(buffer: Buffer, most: int) -> Startup | EncryptionRequest | CancelRequest | None:
    """The first message of a connection, which has no type; None while it is not whole."""
    if len(buffer) < _length.size:
        return None
    (length,) = _length.unpack(buffer.peek(_length.size))
    if not _startup.size <= length <= most:
        raise ProtocolError(VIOLATION, "invalid length of startup packet")
    if len(buffer) < length:
        return None
    message = buffer.take(length)
    (_, code), body = _startup.unpack_from(message), message[_startup.size :]
    if code in (SSL_REQUEST, GSS_REQUEST):
        return EncryptionRequest()
    if code == CANCEL_REQUEST:
        if len(body) != _startup.size:
            raise ProtocolError(VIOLATION, "invalid cancel request")
        return CancelRequest(*_startup.unpack(body))
    if code >> 16 != PROTOCOL_MAJOR:
        raise ProtocolError(UNSUPPORTED, f"unsupported frontend protocol {code >> 16}.{code & 0xFFFF}")
    words = body.split(b"\0")
    if words[-1:] != [b""] or len(words) < 2 or words[-2] != b"":
        raise ProtocolError(VIOLATION, "invalid startup packet layout: expected terminator as last byte")
    texts = [word.decode("utf-8", "replace") for word in words[:-2]]
    return Startup(code & 0xFFFF, dict(zip(texts[::2], texts[1::2], strict=False)))


def read_message(buffer: Buffer, most: int) -> tuple[bytes, bytes] | None:
    """Type and body of the next message; None while it is not whole."""
    if len(buffer) < _head.size:
        return None
    kind, length = _head.unpack(buffer.peek(_head.size))
    if length < _length.size:
        raise ProtocolError(VIOLATION, "invalid message length")
    if 1 + length > most:
        raise ProtocolError(TOO_LARGE, f"message of {length} bytes exceeds the limit of {most}")
    if len(buffer) < 1 + length:
        return None
    return kind, buffer.take(1 + length)[_head.size :]


def query_text(body: bytes) -> bytes:
    if body[-1:] != b"\0" or body.find(b"\0") != len(body) - 1:
        raise ProtocolError(VIOLATION, "invalid string in message")
    return body[:-1]


def _message(kind: bytes, body: bytes) -> bytes:
    return _head.pack(kind, _length.size + len(body)) + body


def _text(value: str) -> bytes:
    return value.encode() + b"\0"


READY = _message(b"Z", b"I")  # no transaction is ever open
EMPTY_QUERY = _message(b"I", b"")


def greeting(parameters: dict[str, str], process: int, secret: int) -> bytes:
    """What follows a start-up: authenticated, settings, the key for cancel requests, ready."""
    status = b"".join(_message(b"S", _text(name) + _text(value)) for name, value in parameters.items())
    return _message(b"R", _length.pack(0)) + status + _message(b"K", _startup.pack(process, secret)) + READY


def negotiate(options: Iterable[str]) -> bytes:
    """Only 3.0 is spoken, and none of these protocol options."""
    names = list(options)
    counts = _startup.pack(PROTOCOL_MAJOR << 16, len(names))
    return _message(b"v", counts + b"".join(map(_text, names)))


def error(sqlstate: str, text: str, fatal: bool = False) -> bytes:
    severity = "FATAL" if fatal else "ERROR"
    fields = {"S": severity, "V": severity, "C": sqlstate, "M": text}
    return _message(b"E", b"".join(key.encode() + _text(value) for key, value in fields.items()) + b"\0")


def row_description(names: Iterable[str]) -> bytes:
    columns = [_text(name) + struct.pack("!IhIhih", 0, 0, TEXT_OID, -1, -1, 0) for name in names]
    return _message(b"T", struct.pack("!H", len(columns)) + b"".join(columns))


@dataclass(slots=True)
class Rows:
    """Rows of a result as the client gets them."""

    count: int
    data: bytes


COLUMNS = 3  # of every result
MOST_TEXT = 6000  # in one page, and so in a row; heads and lengths up to that are made once, as rows are many
_column_lengths = [_length.pack(n) for n in range(MOST_TEXT + 1)]
_row_heads = [struct.pack("!cIH", b"D", 6 + 4 * COLUMNS + length, COLUMNS) for length in range(MOST_TEXT + 1)]
_row_marks = b"\t\t\n"
_not_marks = bytes(set(range(256)) - set(_row_marks))


def data_rows(text: bytes) -> Rows:
    """Whole rows, a tab between columns and a line feed after each; ValueError where they are not."""
    marks = text.translate(None, _not_marks)
    count = len(marks) // len(_row_marks)
    if len(text) > MOST_TEXT or marks != _row_marks * count or text[-1:] not in (b"", b"\n"):
        raise ValueError("not whole rows")
    cells = iter(text.replace(b"\n", b"\t").split(b"\t"))
    lengths, heads = _column_lengths, _row_heads
    parts: list[bytes] = []
    add = parts.extend
    for first, second, third in zip(cells, cells, cells, strict=False):  # the last cell stands alone, empty
        a, b, c = len(first), len(second), len(third)
        add((heads[a + b + c], lengths[a], first, lengths[b], second, lengths[c], third))
    return Rows(count, b"".join(parts))


def command_complete(tag: str) -> bytes:
    return _message(b"C", _text(tag))
