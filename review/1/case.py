"""Hundreds of unreadable statements at once stop the gateway for seconds; others get no answer in time."""

import socket
import threading
import time
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

import common
from common import BROKEN, HELD, NOT_RUN, TROUBLE, Setup, scripted

FOLDER = Path(__file__).resolve().parent
SOCKETS = 1024  # "256 to 1,024 descriptors"
BAD_CLIENTS = 400  # "hundreds of requests at once"
STATEMENT = "." * 16_384  # what can't be read, for a class that doesn't exist
AGAIN_FOR_S = 8.0  # "the same again as soon as it is turned away": for so long
READY = b"Z\0\0\0\5I"
CLIENTS = 20
PAUSE_S = 0.25
TTL_MS = 1500  # the protocol page's own example
ANSWER_BY_S = TTL_MS / 1000 + 0.5 + 0.05  # half a second after its time, and the slack on sockets
BEFORE_S = 1.5  # usual traffic before the bad clients send
WATCH_S = 15.0  # the whole time of the usual traffic


@dataclass
class Request:
    """One request of a usual client."""

    call: str
    sent_at: float
    answered_at: float | None = None
    answer: str = "none"


def use_gateway(setup: Setup, number: int, end_at: float, requests: list[Request]) -> None:
    """A usual client with one session: lookups, one at a time. It waits for each answer and gives up none."""
    client = scripted.Client(setup.port)
    time.sleep(number * PAUSE_S / CLIENTS)
    while time.monotonic() < end_at:
        text = scripted.query(ttl=TTL_MS)
        client.send_query(text)
        request = Request(text.split("call=")[1][:16], time.monotonic())
        requests.append(request)
        setup.record.add(f"client {number}: sent {text}", request.sent_at)
        answer = client.read_answer()
        request.answered_at = time.monotonic()
        ended = not answer.transaction_status
        request.answer = "closed" if ended else answer.sqlstate or "served"
        waited_s = request.answered_at - request.sent_at
        setup.record.add(
            f"client {number}: {request.call}: {request.answer} after {waited_s:.2f} s", request.answered_at
        )
        if ended:
            return
        time.sleep(PAUSE_S)
    client.close()


def repeat(sock: socket.socket, query: bytes, end_at: float) -> None:
    """A bad client reads what it is sent, and sends the same again as soon as it is turned away."""
    received = b""
    with suppress(OSError):
        while data := sock.recv(65536):
            received = (received + data)[-len(READY) :]
            if received == READY and time.monotonic() < end_at:
                sock.sendall(query)


def send_at_once(setup: Setup) -> list[socket.socket]:
    """Bad clients connect, and then all send one request each at once; each reads what it is sent."""
    socks = []
    for _ in range(BAD_CLIENTS):
        sock = socket.create_connection(("127.0.0.1", setup.port), timeout=30)
        sock.sendall(scripted.Client.startup_message())
        while not sock.recv(65536).endswith(READY):  # the answer to the start-up
            pass
        socks.append(sock)
    texts = [scripted.query(op="unknown", ttl=TTL_MS, sql=STATEMENT) for _ in socks]
    queries = [scripted.Client.simple_query(text) for text in texts]
    setup.record.add(f"{BAD_CLIENTS} bad clients have connected")
    for sock, query in zip(socks, queries, strict=True):
        sock.sendall(query)
    setup.record.add(f"{BAD_CLIENTS} bad clients have sent a request of {len(queries[0])} bytes each")
    end_at = time.monotonic() + AGAIN_FOR_S
    for sock, query in zip(socks, queries, strict=True):
        threading.Thread(target=repeat, args=(sock, query, end_at), daemon=True).start()
    return socks


def is_lost(request: Request) -> bool:
    """Whether a request got no final answer by half a second after its time."""
    in_time = request.answered_at is not None and request.answered_at <= request.sent_at + ANSWER_BY_S
    return not in_time or request.answer == "closed"


def run(setup: Setup) -> int:
    setup.start()
    time.sleep(0.5)
    end_at = time.monotonic() + WATCH_S
    requests: list[Request] = []
    threads = [
        threading.Thread(target=use_gateway, args=(setup, number, end_at, requests), daemon=True)
        for number in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(BEFORE_S)
    socks = send_at_once(setup) if TROUBLE else []
    for thread in threads:
        thread.join(WATCH_S + 30)
    for sock in socks:
        sock.close()
    lost = [request for request in requests if is_lost(request)]
    waits = [request.answered_at - request.sent_at for request in requests if request.answered_at is not None]
    setup.record.add(
        f"{len(requests)} requests taken, {len(lost)} of them without a final answer in {ANSWER_BY_S} s; "
        f"the longest wait {max(waits, default=0.0):.2f} s"
    )
    if len(waits) < CLIENTS:
        return NOT_RUN
    return BROKEN if lost else HELD


common.run_case(FOLDER, run, engine_count=3, run_s=0.05, sockets=SOCKETS)
