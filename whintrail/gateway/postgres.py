"""The PostgreSQL wire protocol 3.0 as a server speaks it. A pure codec: it touches no socket."""

import struct
from collections.abc import Iterable
from dataclasses import dataclass

from whintrail.gateway.buffer import Buffer

PROTOCOL_MAJOR = 3
SSL_REQUEST, GSS_REQUEST, CANCEL_REQUEST = 80877103, 80877104, 80877102
TEXT_OID = 25
ENCRYPTION_DECLINED = b"N"  # to a request for encryption

# SQLSTATE codes; class 53 and 57P03 promise that trying again is harmless and stand for nothing else.
REFUSED, NOT_READY = "53000", "57P03"
FAILED, CANCELED, STOPPED = "58000", "57014", "57P01"
SYNTAX_ERROR, BAD_VALUE, UNSUPPORTED, TOO_LARGE = "42601", "22023", "0A000", "54000"
PROTOCOL_VIOLATION = "08P01"

_length_field = struct.Struct("!I")
_startup_header = struct.Struct("!II")
_message_header = struct.Struct("!cI")


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
    process_id: int
    secret: int


def is_cancel_request(prefix: bytes) -> bool:
    """Whether the first bytes of a connection are a cancel request."""
    return len(prefix) >= _startup_header.size and _startup_header.unpack_from(prefix)[1] == CANCEL_REQUEST


def read_startup(buffer: Buffer, max_bytes: int) -> Startup | EncryptionRequest | CancelRequest | None:
    """The first message of a connection, which has no type; None while it is not whole."""
    if len(buffer) < _length_field.size:
        return None
    (length,) = _length_field.unpack(buffer.peek(_length_field.size))
    if not _startup_header.size <= length <= max_bytes:
        raise ProtocolError(PROTOCOL_VIOLATION, "invalid length of startup packet")
    if len(buffer) < length:
        return None
    message = buffer.take(length)
    (_, code), body = _startup_header.unpack_from(message), message[_startup_header.size :]
    if code in (SSL_REQUEST, GSS_REQUEST):
        return EncryptionRequest()
    if code == CANCEL_REQUEST:
        if len(body) != _startup_header.size:
            raise ProtocolError(PROTOCOL_VIOLATION, "invalid cancel request")
        return CancelRequest(*_startup_header.unpack(body))
    if code >> 16 != PROTOCOL_MAJOR:
        raise ProtocolError(UNSUPPORTED, f"unsupported frontend protocol {code >> 16}.{code & 0xFFFF}")
    words = body.split(b"\0")
    if words[-1:] != [b""] or len(words) < 2 or words[-2] != b"":
        raise ProtocolError(
            PROTOCOL_VIOLATION, "invalid startup packet layout: expected terminator as last byte"
        )
    texts = [word.decode("utf-8", "replace") for word in words[:-2]]
    return Startup(code & 0xFFFF, dict(zip(texts[::2], texts[1::2], strict=False)))


def read_message(buffer: Buffer, max_bytes: int) -> tuple[bytes, bytes] | None:
    """Type and body of the next message; None while it is not whole."""
    if len(buffer) < _message_header.size:
        return None
    kind, length = _message_header.unpack(buffer.peek(_message_header.size))
    if length < _length_field.size:
        raise ProtocolError(PROTOCOL_VIOLATION, "invalid message length")
    if 1 + length > max_bytes:
        raise ProtocolError(TOO_LARGE, f"message of {length} bytes exceeds the limit of {max_bytes}")
    if len(buffer) < 1 + length:
        return None
    return kind, buffer.take(1 + length)[_message_header.size :]


def query_text(body: bytes) -> bytes:
    if body[-1:] != b"\0" or body.find(b"\0") != len(body) - 1:
        raise ProtocolError(PROTOCOL_VIOLATION, "invalid string in message")
    return body[:-1]


def _message(kind: bytes, body: bytes) -> bytes:
    return _message_header.pack(kind, _length_field.size + len(body)) + body


def _text(value: str) -> bytes:
    return value.encode() + b"\0"


READY_FOR_QUERY = _message(b"Z", b"I")  # no transaction is ever open
EMPTY_QUERY = _message(b"I", b"")


def startup_response(parameters: dict[str, str], process_id: int, secret: int) -> bytes:
    """What follows a start-up: authenticated, settings, the key for cancel requests, ready."""
    status = b"".join(_message(b"S", _text(name) + _text(value)) for name, value in parameters.items())
    return (
        _message(b"R", _length_field.pack(0))
        + status
        + _message(b"K", _startup_header.pack(process_id, secret))
        + READY_FOR_QUERY
    )


def negotiate_protocol_version(options: Iterable[str]) -> bytes:
    """Only 3.0 is spoken, and none of these protocol options."""
    names = list(options)
    counts = _startup_header.pack(PROTOCOL_MAJOR << 16, len(names))
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


RESULT_COLUMN_COUNT = 3  # of every result
MAX_PAGE_BYTES = (
    6000  # in one page, and so in a row; heads and lengths up to that are made once, as rows are many
)
_column_lengths = [_length_field.pack(n) for n in range(MAX_PAGE_BYTES + 1)]
_row_headers = [
    struct.pack("!cIH", b"D", 6 + 4 * RESULT_COLUMN_COUNT + length, RESULT_COLUMN_COUNT)
    for length in range(MAX_PAGE_BYTES + 1)
]
_row_separators = b"\t\t\n"
_non_separators = bytes(set(range(256)) - set(_row_separators))


def encode_data_rows(text: bytes) -> Rows:
    """Whole rows, a tab between columns and a line feed after each; ValueError where they are not."""
    marks = text.translate(None, _non_separators)
    count = len(marks) // len(_row_separators)
    if len(text) > MAX_PAGE_BYTES or marks != _row_separators * count or text[-1:] not in (b"", b"\n"):
        raise ValueError("not whole rows")
    cells = iter(text.replace(b"\n", b"\t").split(b"\t"))
    lengths, heads = _column_lengths, _row_headers
    parts: list[bytes] = []
    add = parts.extend
    for first, second, third in zip(cells, cells, cells, strict=False):  # the last cell stands alone, empty
        a, b, c = len(first), len(second), len(third)
        add((heads[a + b + c], lengths[a], first, lengths[b], second, lengths[c], third))
    return Rows(count, b"".join(parts))


def command_complete(tag: str) -> bytes:
    return _message(b"C", _text(tag))
