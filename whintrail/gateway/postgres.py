"""Codec of the PostgreSQL wire protocol 3.0 for a server; it does no I/O."""

import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from whintrail.gateway.buffer import Buffer

PROTOCOL_MAJOR = 3
SSL_REQUEST = 80877103
GSS_REQUEST = 80877104
CANCEL_REQUEST = 80877102
TEXT_OID = 25
MAX_STARTUP_PARAMETERS = 100
PROTOCOL_OPTION_PREFIX = "_pq_."
ENCRYPTION_DECLINED = b"N"  # answer to a request for encryption

# SQLSTATE codes. Class 53 and 57P03 promise that a retry is safe; they are used for nothing else.
REFUSED = "53000"
NOT_READY = "57P03"
FAILED = "58000"
CANCELED = "57014"
STOPPED = "57P01"
SYNTAX_ERROR = "42601"
BAD_VALUE = "22023"
UNSUPPORTED = "0A000"
TOO_LARGE = "54000"
PROTOCOL_VIOLATION = "08P01"

_length_field = struct.Struct("!I")
_startup_header = struct.Struct("!II")
_message_header = struct.Struct("!cI")


class ProtocolError(ValueError):
    """The input is not a valid message; the connection has to be closed."""

    def __init__(self, sqlstate: str, text: str) -> None:
        super().__init__(text)
        self.sqlstate = sqlstate


@dataclass(frozen=True, slots=True)
class Startup:
    """The start-up message of a client."""

    minor: int
    parameters: dict[str, str]


@dataclass(frozen=True, slots=True)
class EncryptionRequest:
    """A request for SSL or GSSAPI encryption."""


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """A request to cancel the open query of another connection."""

    process_id: int
    secret: int


def is_cancel_request(prefix: bytes) -> bool:
    """Whether the first bytes of a connection belong to a cancel request."""
    return len(prefix) >= _startup_header.size and _startup_header.unpack_from(prefix)[1] == CANCEL_REQUEST


def read_startup(buffer: Buffer, max_bytes: int) -> Startup | EncryptionRequest | CancelRequest | None:
    """Take the first message of a connection, which has no type byte; None while it is incomplete."""
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
    if body.count(b"\0") > 2 * MAX_STARTUP_PARAMETERS + 1:
        raise ProtocolError(TOO_LARGE, f"more than {MAX_STARTUP_PARAMETERS} parameters in startup packet")
    # The last parameter's zero byte, or nothing at all, precedes the terminator.
    if body[-1:] != b"\0" or body[-2:-1] not in (b"", b"\0"):
        raise ProtocolError(
            PROTOCOL_VIOLATION, "invalid startup packet layout: expected terminator as last byte"
        )
    texts = body[:-2].decode("utf-8", "replace").split("\0") if len(body) > 2 else []
    return Startup(code & 0xFFFF, dict(zip(texts[::2], texts[1::2], strict=False)))


def protocol_options(parameters: Mapping[str, str]) -> list[str]:
    """The names of a start-up's parameters that ask for protocol extensions."""
    return [name for name in parameters if name.startswith(PROTOCOL_OPTION_PREFIX)]


def has_message(buffer: Buffer) -> bool:
    """Whether the next message is complete."""
    if len(buffer) < _message_header.size:
        return False
    _, length = _message_header.unpack(buffer.peek(_message_header.size))
    return len(buffer) > int(length)


def next_message_bytes(buffer: Buffer) -> int:
    """The size of the next message, or of the buffered part of it."""
    if len(buffer) < _message_header.size:
        return len(buffer)
    _, length = _message_header.unpack(buffer.peek(_message_header.size))
    return min(1 + int(length), len(buffer))


def read_message(buffer: Buffer, max_bytes: int) -> tuple[bytes, bytes] | None:
    """Take the type and body of the next message; None while it is incomplete."""
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
    """The text in the body of a query message, without its terminating zero. Errors: ProtocolError."""
    if body[-1:] != b"\0" or body.find(b"\0") != len(body) - 1:
        raise ProtocolError(PROTOCOL_VIOLATION, "invalid string in message")
    return body[:-1]


def _message(kind: bytes, body: bytes) -> bytes:
    return _message_header.pack(kind, _length_field.size + len(body)) + body


def _text(value: str) -> bytes:
    return value.encode() + b"\0"


READY_FOR_QUERY = _message(b"Z", b"I")  # transaction status idle: no transaction is ever open
EMPTY_QUERY = _message(b"I", b"")


def startup_response(parameters: dict[str, str], process_id: int, secret: int) -> bytes:
    """The response to a start-up: authentication ok, parameters, the cancel key, ready for query."""
    parameter_status = b"".join(
        _message(b"S", _text(name) + _text(value)) for name, value in parameters.items()
    )
    return (
        _message(b"R", _length_field.pack(0))
        + parameter_status
        + _message(b"K", _startup_header.pack(process_id, secret))
        + READY_FOR_QUERY
    )


def negotiate_protocol_version(options: Iterable[str]) -> bytes:
    """The response to an unsupported minor version or protocol options: 3.0 without these options."""
    names = list(options)
    counts = _startup_header.pack(PROTOCOL_MAJOR << 16, len(names))
    return _message(b"v", counts + b"".join(map(_text, names)))


def error(sqlstate: str, text: str, fatal: bool = False) -> bytes:
    """An error response."""
    severity = "FATAL" if fatal else "ERROR"
    fields = {"S": severity, "V": severity, "C": sqlstate, "M": text}
    return _message(b"E", b"".join(key.encode() + _text(value) for key, value in fields.items()) + b"\0")


def row_description(names: Iterable[str]) -> bytes:
    """The row description for text columns."""
    columns = [_text(name) + struct.pack("!IhIhih", 0, 0, TEXT_OID, -1, -1, 0) for name in names]
    return _message(b"T", struct.pack("!H", len(columns)) + b"".join(columns))


@dataclass(slots=True)
class Rows:
    """Encoded data rows of a result."""

    count: int
    data: bytes


RESULT_COLUMN_COUNT = 3
MAX_PAGE_BYTES = 6000  # limits the length of a row as well
# Encoded once for all lengths up to that limit, since results have many rows.
_column_lengths = [_length_field.pack(n) for n in range(MAX_PAGE_BYTES + 1)]
_row_headers = [
    struct.pack("!cIH", b"D", 6 + 4 * RESULT_COLUMN_COUNT + length, RESULT_COLUMN_COUNT)
    for length in range(MAX_PAGE_BYTES + 1)
]
_row_separators = b"\t\t\n"
_non_separators = bytes(set(range(256)) - set(_row_separators))


def encode_data_rows(text: bytes) -> Rows:
    """Encode rows with a tab between columns and a line feed after each row. Errors: ValueError."""
    separators = text.translate(None, _non_separators)
    count = len(separators) // len(_row_separators)
    if len(text) > MAX_PAGE_BYTES or separators != _row_separators * count or text[-1:] not in (b"", b"\n"):
        raise ValueError("not complete rows")
    cells = iter(text.replace(b"\n", b"\t").split(b"\t"))
    lengths, headers = _column_lengths, _row_headers
    encoded: list[bytes] = []
    add = encoded.extend
    # The empty cell after the last line feed is left over.
    for first, second, third in zip(cells, cells, cells, strict=False):
        a, b, c = len(first), len(second), len(third)
        add((headers[a + b + c], lengths[a], first, lengths[b], second, lengths[c], third))
    return Rows(count, b"".join(encoded))


def command_complete(tag: str) -> bytes:
    """The message that ends a result."""
    return _message(b"C", _text(tag))
