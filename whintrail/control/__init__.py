"""Local access to a running gateway: Unix sockets that answer one JSON line with JSON lines."""

from whintrail.control.json_lines import LineServer, encode_json, send_request

__all__ = ["LineServer", "encode_json", "send_request"]
