"""What a change of the agreed settings weighs, on the wire and in the log; what a size leaves to each."""

from collections.abc import Iterator

import msgspec

from whintrail.brain import Gateway
from whintrail.fleet.node import RETELLS
from whintrail.fleet.state import Enter, Propose, Settle
from whintrail.fleet.wire import BodyPiece, BodyPull, Entry, Told, size
from whintrail.scale.deployment import Deployment
from whintrail.scale.results import Sample, sample
from whintrail.scale.slopes_memos import HEADERS
from whintrail.versions.body import MOST_BYTES, Body, canonical, digest, encode
from whintrail.versions.parts import PIECE

SHUT = 0.01  # of the engines, in the body that is weighed
LOG, TERM = 100_000, 40  # how far the log may be
WHY = "a change that an operator wanted"


def changes(deployment: Deployment) -> Iterator[Sample]:
    """Bytes of one change: its three entries in the log, and told to one gateway as the leader tells them."""
    sizes = deployment.gateways, 0
    number = deployment.gateways
    proposed = Entry(LOG, TERM, Propose(LOG, 1 << 62, number, WHY, 1 << 41))
    entries = [proposed, Entry(LOG + 1, TERM, Enter(LOG)), Entry(LOG + 2, TERM, Settle(LOG))]
    held = sum(len(msgspec.msgpack.encode(entry)) for entry in entries)
    yield sample("log_bytes", "bytes", sizes, [float(held)], "core")
    told = [Told(1 << 40, entry.index - 1, 1 << 31, number, (entry,)) for entry in entries]
    wire = sum(RETELLS * (size(message) + HEADERS) for message in told)
    yield sample("log_told_bytes", "bytes", sizes, [float(wire)], "core")


def bodies(deployment: Deployment) -> Iterator[Sample]:
    """A version's body with a hundredth of the engines shut, and what fetching it costs one gateway. Nothing
    where it is longer than a body may be."""
    sizes = deployment.gateways, deployment.engines
    shut = tuple(deployment.names()[:: int(1 / SHUT)])
    data = msgspec.msgpack.encode(canonical(Body(shut=shut, caps={"report": 40}, wait_ms={"lookup": 900})))
    yield sample("version_body_bytes", "bytes", sizes, [float(len(data))], "core")
    if len(data) > MOST_BYTES:
        return
    body = encode(Body(shut=shut, caps={"report": 40}, wait_ms={"lookup": 900}))
    key, parts = digest(body), -(-len(body) // PIECE)
    wire = 0
    for part in range(parts):
        piece = BodyPiece(key, part, parts, body[part * PIECE : (part + 1) * PIECE])
        wire += size(BodyPull(key, part)) + size(piece) + 2 * HEADERS
    yield sample("version_body_fetch_bytes", "bytes", sizes, [float(wire)], "core")


def cold_part(deployment: Deployment) -> Sample:
    """The part of a cold engine's budget that one gateway may use at its start."""
    share = Gateway(deployment.settings(), 1, 0).share
    return sample("cold_part", "share", (deployment.gateways, 0), [share], "core")
