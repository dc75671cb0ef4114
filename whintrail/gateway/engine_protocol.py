"""Codec of the engines' line protocol; it does no I/O.

A line consists of words and ends in CR LF. If its last word is a length, a body of that many bytes follows,
and another CR LF.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from whintrail.gateway.buffer import Buffer

LINE_END = b"\r\n"
NUMBER_LIMIT = 1e15  # larger values, infinity and NaN are invalid
ANSWER_WORDS = ("served", "overload", "crashed", "nobody", "update", "rows", "green", "red")


class FramingError(ValueError):
    """The input is not a valid answer; nothing that follows it can be trusted."""


@dataclass(slots=True)
class Answer:
    """An answer or notice of an engine."""

    id: bytes
    word: str
    fields: Mapping[str, str]
    body: bytes

    def number(self, name: str) -> float | None:
        """The field as a number; None if it is absent or not a number."""
        try:
            value = float(self.fields[name])
        except (KeyError, ValueError):
            return None
        return value if abs(value) < NUMBER_LIMIT else None

    def stats(self, name: str = "stats") -> dict[str, float]:
        """Parse a field of the form name:value;name:value; values that are not numbers are skipped."""
        values = {}
        for item in self.fields.get(name, "").split(";"):
            key, _, text = item.partition(":")
            try:
                value = float(text)
            except ValueError:
                continue
            if abs(value) < NUMBER_LIMIT:
                values[key] = value
        return values


def _encode_fields(values: Mapping[str, str]) -> str:
    return ",".join(f"{name}={value}" for name, value in values.items()) or "-"


def check_class_name(name: object) -> None:
    """Check that a class name is valid as the value of a field. Errors: ValueError.

    A space, a comma or a line end would break the line to an engine, and `*/` would end the comment ahead of
    a statement. An equals sign or a quote is harmless: the field's own name contains neither, so it ends at
    the first equals sign.
    """
    if not isinstance(name, str) or not name:
        raise ValueError(f"class {name!r}: its name is not text or is empty")
    if not name.isprintable() or any(separator in name for separator in (" ", ",", "*/")):
        raise ValueError(f"class {name!r}: its name can't be a field of a request")


def encode_do(id: bytes, fields: Mapping[str, str], statement: bytes) -> bytes:
    """Encode a request to run a statement."""
    return b"do %b %b %d\r\n%b\r\n" % (id, _encode_fields(fields).encode(), len(statement), statement)


def encode_undo(id: bytes) -> bytes:
    """Encode a request to stop a statement."""
    return b"undo %b\r\n" % id


def encode_bump(id: bytes, priority: int) -> bytes:
    """Encode a request to change the priority of a statement."""
    return b"bump %b %d\r\n" % (id, priority)


def encode_page(id: bytes, number: int) -> bytes:
    """Encode a request for a further page of a result."""
    return b"page %b %d\r\n" % (id, number)


def encode_forget(id: bytes) -> bytes:
    """Encode a request to release the result of a statement."""
    return b"forget %b\r\n" % id


def encode_probe(tag: bytes, with_report: bool) -> bytes:
    """Encode a probe of the engine, optionally one for its load report."""
    return b"%b %b\r\n" % (b"top" if with_report else b"ping", tag)


def read_answer(buffer: Buffer, max_line_bytes: int, max_body_bytes: int) -> Answer | None:
    """Take the next answer; None while it is incomplete. Errors: FramingError."""
    end = buffer.find(LINE_END, max_line_bytes)
    if end < 0:
        if len(buffer) >= max_line_bytes:
            raise FramingError("line too long")
        return None
    words = buffer.peek(end).split(b" ")
    if len(words) != 4 or not words[3].isdigit() or len(words[3]) > 9:
        raise FramingError(f"not an answer: {buffer.peek(min(end, 60))!r}")
    length = int(words[3])
    if length > max_body_bytes:
        raise FramingError(f"answer of {length} bytes is too long")
    start = end + len(LINE_END)
    if len(buffer) < start + length + len(LINE_END):
        return None
    try:
        word, text = words[1].decode("ascii"), words[2].decode("utf-8")
    except UnicodeDecodeError as error:
        raise FramingError(f"not text: {error}") from error
    if word not in ANSWER_WORDS:
        raise FramingError(f"unknown answer: {word!r}")
    data = buffer.take(start + length + len(LINE_END))
    if data[-len(LINE_END) :] != LINE_END:
        raise FramingError("body does not end at its stated length")
    pairs = (item.partition("=") for item in text.split(",")) if text != "-" else ()
    fields = {name: value for name, _, value in pairs}
    return Answer(words[0], word, fields, data[start : start + length])
