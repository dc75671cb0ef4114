"""Test doubles for the peers of a gateway: engines, the bulletin and clients, all on loopback.

They use blocking sockets and threads; every wait is bounded, so that a failing test ends by itself.
"""

import json
import os
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, ClassVar

ROOT = Path(__file__).resolve().parent.parent.parent
WAIT_TIMEOUT_S = 15.0  # longer than any step takes on a busy machine
CLASSES: list[dict[str, Any]] = [
    {"Name": "lookup", "Effect": "repeatable", "Group": "all"},
    {"Name": "report", "Effect": "repeatable", "Group": "all"},
    {"Name": "once", "Effect": "once", "Group": "all"},
]


def settings(**limits: Any) -> dict[str, Any]:
    """Return the settings of a gateway, with changed limits."""
    times = {"AimUs": 1_000_000, "DeadlineUs": 8_000_000, "WindowUs": 5_000_000, "Worth": 1.0}
    return {
        "Classes": [{**item, **times} for item in CLASSES],
        "FamilyInfo": {
            "Dop": [1, 2, 2],
            "CpuOfKind": [16],
            "SizeMb": [16384.0],
            "MemoryHeeded": True,
            "Priorities": True,
            "TellsCost": True,
            "ProgressPaceUs": 200_000,
        },
        "FleetSize": 1,
        "Limits": {
            "ConnectTimeoutUs": 250_000,
            "KeepaliveUs": 30_000_000,
            "MaxAttempts": 3,
            "MaxOpen": 1000,
            "MaxRetryAfterUs": 2_000_000,
            "MaxStreams": 100,
            "MayCancel": True,
            "Probing": True,
            "RetryAfter": True,
            "SecondCopies": True,
            **limits,
        },
        "Reporting": {"Fields": ["busy_reqs", "pending", "x0"], "How": "probe"},
        "Rules": {"AnswerSlackUs": 5000, "DrainGraceUs": 250_000},
        "Shapes": ["std-16"],
        "TickUs": 1000,
        "Zone": "z1",
        "Zones": ["z1"],
    }


def configuration(
    name: str, port: int, bulletin: str, events: list[Any], sockets: int = 1024
) -> dict[str, Any]:
    """Return the configuration of a gateway on loopback that knows the bulletin's events so far."""
    return {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "bulletin": bulletin,
        "known": {"no": len(events), "items": list(events)},
        "settings": settings(),
    }


def wait_for(condition: Callable[[], Any], timeout_s: float = WAIT_TIMEOUT_S) -> None:
    """Poll until the condition holds; fail after the timeout."""
    end = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end, "condition not met in time"
        time.sleep(0.01)


def listener(port: int = 0) -> socket.socket:
    """Return a listening socket on loopback."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", port))
    sock.listen(64)
    return sock


def reset(sock: socket.socket) -> None:
    """Close the socket with a TCP reset."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Server:
    """Accepts connections on loopback and serves each on its own thread."""

    def __init__(self, port: int = 0) -> None:
        self.sock = listener(port)
        self.port: int = self.sock.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.connections: list[socket.socket] = []
        self.lock = threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.settimeout(60)
            self.connections.append(sock)
            threading.Thread(target=self._serve_connection, args=(sock,), daemon=True).start()

    def _serve_connection(self, sock: socket.socket) -> None:
        with suppress(OSError, ValueError):
            self.serve(sock)

    def serve(self, sock: socket.socket) -> None:
        raise NotImplementedError

    def reset_connections(self) -> None:
        """Reset every open connection."""
        for sock in self.connections:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            reset(sock)
        self.connections.clear()

    def close(self) -> None:
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        self.reset_connections()


@dataclass
class ReceivedQuery:
    """A `do` request as an engine received it."""

    id: str
    fields: dict[str, str]
    statement: bytes
    received_at: float = field(default_factory=time.monotonic)


class Engine(Server):
    """A fake engine that answers as `mode` says, and keeps all requests."""

    def __init__(self, name: str = "s-1", port: int = 0, mode: str = "serve") -> None:
        self.name, self.mode = name, mode
        self.pages: list[bytes] = [b"a\tb\tc\n"]
        self.delay = 0.0
        self.queries: list[ReceivedQuery] = []
        self.requests: list[list[str]] = []
        super().__init__(port)

    def entry(self, state: str = "active", **changes: Any) -> dict[str, Any]:
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "z1",
            "machineType": "std-16",
            "cell": 0,
            "lifecycle": state,
            "weight": 4,
            "startedAtMs": 0,
            **changes,
        }

    def serve(self, sock: socket.socket) -> None:
        file = sock.makefile("rb")
        while line := file.readline():
            words = line.decode().split()
            self.requests.append(words)
            match words:
                case ["do", id, fields, length]:
                    body = file.read(int(length) + 2)
                    pairs = dict(item.split("=", 1) for item in fields.split(",")) if fields != "-" else {}
                    self.queries.append(ReceivedQuery(id, pairs, body[:-2]))
                    threading.Timer(self.delay, self._answer_query_if_connected, (sock, id)).start()
                case ["page", id, number]:
                    self._answer_page(sock, id, int(number))
                case ["top", tag]:
                    self.send_reply(sock, tag, "green", "stats=busy_reqs:1;pending:0;x0:0.1")
                case ["ping", tag]:
                    self.send_reply(sock, tag, "green")

    def send_reply(
        self, sock: socket.socket, id: str, status: str, fields: str = "-", body: bytes = b""
    ) -> None:
        with self.lock:
            sock.sendall(f"{id} {status} {fields} {len(body)}\r\n".encode() + body + b"\r\n")

    def _answer_query_if_connected(self, sock: socket.socket, id: str) -> None:
        with suppress(OSError):
            self._answer_query(sock, id)

    def _answer_query(self, sock: socket.socket, id: str) -> None:
        end = time.monotonic() + WAIT_TIMEOUT_S
        while self.mode == "wait" and time.monotonic() < end:
            time.sleep(0.005)
        match self.mode:
            case "serve" | "close between pages" | "lose pages" | "two pages 1" | "copies":
                fields = f"total={len(self.pages)},elapsed=12.5,rss=64"
                for _ in range(1 + (self.mode == "copies")):
                    self.send_reply(sock, id, "served", fields, self.pages[0])
            case "half":
                with self.lock:
                    sock.sendall(f"{id} served total=1 {len(self.pages[0])}\r\n".encode())
            case "overload" | "crashed" | "nobody" as status:
                self.send_reply(sock, id, status)
            case "note":
                self.send_reply(sock, id, "update", "how=done,datum=0.5")
            case "reset":
                reset(sock)
                sock.shutdown(socket.SHUT_RDWR)
            case "garbage":
                with self.lock:
                    sock.sendall(b"what is this\r\n")
            case "endless line":
                with self.lock:
                    sock.sendall(b"x" * 100_000)
            case "over-long":
                with self.lock:
                    sock.sendall(f"{id} served total=1 999999999\r\n".encode())
            case "unreadable":
                self.send_reply(sock, id, "served", "total=1", b"only\ttwo\n")
            case "strangers":
                self.send_reply(sock, "00000000000000ff", "served", "total=1", b"x\ty\tz\n")
                self.send_reply(sock, id, "served", "total=1", self.pages[0])
            case "silent":
                pass

    def _answer_page(self, sock: socket.socket, id: str, number: int) -> None:
        match self.mode:
            case "close between pages":
                reset(sock)
                sock.shutdown(socket.SHUT_RDWR)
            case "lose pages":
                self.send_reply(sock, id, "crashed")
            case "two pages 1":
                self.send_reply(sock, id, "rows", "index=1", self.pages[1])
                self.send_reply(sock, id, "rows", "index=1", self.pages[2])
            case "copies":
                for _ in range(2):
                    self.send_reply(sock, id, "rows", f"index={number}", self.pages[number])
            case _:
                self.send_reply(sock, id, "rows", f"index={number}", self.pages[number])


class Bulletin(Server):
    """A fake bulletin that publishes the list of engines to every watch."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.requested_events: list[int] = []
        self.muted = False  # sends nothing more, but keeps connections open
        super().__init__()

    def publish(self, *entries: dict[str, Any], reset: bool = False) -> None:
        number = len(self.events) + 1
        roster = {"generation": number, "reset": reset, "instances": list(entries)}
        self.events.append({"no": number, "roster": roster})

    def serve(self, sock: socket.socket) -> None:
        line = sock.makefile("rb").readline()
        last_sent = int(line.split()[1])
        self.requested_events.append(last_sent)
        next_heartbeat = 0.0
        while True:
            if self.muted:
                time.sleep(0.02)
                continue
            for event in self.events[last_sent:]:
                sock.sendall(json.dumps(event).encode() + b"\n")
                last_sent = event["no"]
            if time.monotonic() > next_heartbeat:
                sock.sendall(b"%d\n" % last_sent)
                next_heartbeat = time.monotonic() + 0.3
            time.sleep(0.02)


@dataclass
class Answer:
    """The answer to one query, up to ReadyForQuery."""

    rows: list[tuple[str, ...]] = field(default_factory=list)
    sqlstate: str | None = None
    error_text: str = ""
    command_tag: str = ""
    empty: bool = False
    transaction_status: str = ""  # empty: the connection ended first


class Client:
    """A PostgreSQL client that can also send single bytes and messages."""

    def __init__(self, port: int, start: bool = True) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=WAIT_TIMEOUT_S)
        self.file = self.sock.makefile("rb")
        self.parameters: dict[str, str] = {}
        self.cancel_key = (0, 0)
        if start:
            self.sock.sendall(self.startup_message())
            self.read_startup_response()

    @staticmethod
    def startup_message(version: int = 3 << 16) -> bytes:
        body = struct.pack("!I", version) + b"user\0app\0database\0dw\0\0"
        return struct.pack("!I", len(body) + 4) + body

    @staticmethod
    def message(kind: bytes, body: bytes) -> bytes:
        return kind + struct.pack("!I", len(body) + 4) + body

    @classmethod
    def simple_query(cls, text: str) -> bytes:
        return cls.message(b"Q", text.encode() + b"\0")

    def read(self) -> tuple[bytes, bytes]:
        head = self.file.read(5)
        if len(head) < 5:
            return b"", b""
        kind, length = struct.unpack("!cI", head)
        return kind, self.file.read(length - 4)

    def read_startup_response(self) -> None:
        while True:
            kind, body = self.read()
            if kind == b"S":
                name, value = body.split(b"\0")[:2]
                self.parameters[name.decode()] = value.decode()
            elif kind == b"K":
                self.cancel_key = struct.unpack("!II", body)
            elif kind == b"Z":
                return
            else:
                assert kind in (b"R", b"v"), kind

    def read_answer(self) -> Answer:
        found = Answer()
        while True:
            kind, body = self.read()
            match kind:
                case b"D":
                    found.rows.append(self._row(body))
                case b"C":
                    found.command_tag = body[:-1].decode()
                case b"I":
                    found.empty = True
                case b"E":
                    fields = {part[:1]: part[1:].decode() for part in body.split(b"\0") if part}
                    found.sqlstate, found.error_text = fields[b"C"], fields[b"M"]
                case b"Z":
                    found.transaction_status = body.decode()
                    return found
                case b"":
                    return found

    @staticmethod
    def _row(body: bytes) -> tuple[str, ...]:
        (count,) = struct.unpack_from("!H", body)
        values, at = [], 2
        for _ in range(count):
            (length,) = struct.unpack_from("!I", body, at)
            values.append(body[at + 4 : at + 4 + length].decode())
            at += 4 + length
        return tuple(values)

    def send_query(self, text: str) -> None:
        self.sock.sendall(self.simple_query(text))

    def ask(self, text: str) -> Answer:
        self.send_query(text)
        return self.read_answer()

    def close(self) -> None:
        self.file.close()
        self.sock.close()


_calls = iter(range(1, 1 << 30))


def query(
    op: str = "lookup", ttl: int | None = 6000, sql: str = "SELECT 1 FROM sales_3.t", **more: Any
) -> str:
    """Return a query with the leading comment that carries its class, call id and deadline."""
    fields = {"op": op, "call": f"{next(_calls):016x}", "ttl": ttl, **more}
    return "/* " + ",".join(f"{k}={v}" for k, v in fields.items() if v is not None) + " */ " + sql


class Gateway:
    """A gateway process, started by the command of deploy/balancer.toml."""

    command_prefix: ClassVar[tuple[str, ...]] = ()  # a command that executes the gateway's command
    command: ClassVar[str] = ""  # replaces the deployed command

    def __init__(self, config: dict[str, Any] | None, folder: Path, **environment: str) -> None:
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            command = self.command or tomllib.load(file)["run"]
        self.log_path = folder / "log"
        self.config_path = config_path = folder / "config.json"
        if config is not None:
            config_path.write_text(json.dumps(config))
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen(
                [*self.command_prefix, "/bin/sh", "-c", command],
                cwd=ROOT,
                env={**os.environ, "RELAY_CONFIG": str(config_path), **environment},
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    def log_text(self) -> str:
        return self.log_path.read_text()

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(WAIT_TIMEOUT_S)


class Deployment:
    """A gateway process with its engines and its bulletin."""

    def __init__(
        self,
        folder: Path,
        engines: list[Engine],
        sockets: int,
        classes: list[dict[str, Any]] | None = None,
        **limits: Any,
    ) -> None:
        self.engines, self.bulletin = engines, Bulletin()
        self.bulletin.publish(*(engine.entry() for engine in engines), reset=True)
        with listener() as free:
            self.port: int = free.getsockname()[1]
        self.config = configuration("n0", self.port, self.bulletin.address, self.bulletin.events, sockets)
        self.config["settings"] = settings(**limits)
        if classes is not None:
            self.config["settings"]["Classes"] = classes
        self.gateway = Gateway(self.config, folder)
        wait_for(self.is_ready)

    def is_ready(self) -> bool:
        assert self.gateway.process.poll() is None, self.gateway.log_text()
        try:
            client = Client(self.port)
        except OSError:
            return False
        answer = client.ask("")
        client.close()
        return answer.empty

    def client(self) -> Client:
        return Client(self.port)

    def close(self) -> None:
        self.gateway.kill()
        for server in (self.bulletin, *self.engines):
            server.close()


@contextmanager
def deployment(*engines: Engine, sockets: int = 1024, **limits: Any) -> Iterator[Deployment]:
    """Run a deployment for the length of a `with` block."""
    with tempfile.TemporaryDirectory() as folder:
        deployed = Deployment(Path(folder), list(engines) or [Engine()], sockets, **limits)
        try:
            yield deployed
        finally:
            deployed.close()
