"""The local way into a running gateway: Unix sockets that answer one JSON line with JSON lines."""

from whintrail.control.lines import LineServer, ask_lines, encode

__all__ = ["LineServer", "ask_lines", "encode"]
