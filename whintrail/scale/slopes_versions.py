"""What a change of the agreed settings weighs, on the wire and in the log; what a size leaves to each."""

from collections.abc import Iterator

import msgspec

from whintrail.fleet.node import REBROADCASTS
from whintrail.fleet.state import EnterVersion, ProposeVersion, SettleVersion
from whintrail.fleet.wire import BodyChunk, BodyRequest, CommittedEntries, Entry, datagram_size
from whintrail.routing import RoutingPolicy
from whintrail.scale.deployment import Deployment
from whintrail.scale.results import Sample, sample
from whintrail.scale.slopes_probe_reports import DATAGRAM_HEADER_BYTES
from whintrail.versions.rules import MAX_RULES_BYTES, Rules, canonicalize, digest, encode
from whintrail.versions.store import PIECE_BYTES

SHUT_SHARE = 0.01  # of the engines, in the body that is weighed
LOG_INDEX, TERM = 100_000, 40  # how far the log may be
REASON = "a change that an operator wanted"


def measure_changes(deployment: Deployment) -> Iterator[Sample]:
    """Bytes of one change: its three entries in the log, and told to one gateway as the leader tells them."""
    sizes = deployment.gateways, 0
    number = deployment.gateways
    proposed = Entry(LOG_INDEX, TERM, ProposeVersion(LOG_INDEX, 1 << 62, number, REASON, 1 << 41))
    entries = [
        proposed,
        Entry(LOG_INDEX + 1, TERM, EnterVersion(LOG_INDEX)),
        Entry(LOG_INDEX + 2, TERM, SettleVersion(LOG_INDEX)),
    ]
    held = sum(len(msgspec.msgpack.encode(entry)) for entry in entries)
    yield sample("log_bytes", "bytes", sizes, [float(held)], "core")
    told = [CommittedEntries(1 << 40, entry.index - 1, 1 << 31, number, (entry,)) for entry in entries]
    wire = sum(REBROADCASTS * (datagram_size(message) + DATAGRAM_HEADER_BYTES) for message in told)
    yield sample("log_told_bytes", "bytes", sizes, [float(wire)], "core")


def measure_bodies(deployment: Deployment) -> Iterator[Sample]:
    """A version's body with a hundredth of the engines shut, and what fetching it costs one gateway. Nothing
    where it is longer than a body may be."""
    sizes = deployment.gateways, deployment.engines
    shut = tuple(deployment.engine_names()[:: int(1 / SHUT_SHARE)])
    data = msgspec.msgpack.encode(
        canonicalize(Rules(shut=shut, caps={"report": 40}, wait_ms={"lookup": 900}))
    )
    yield sample("version_body_bytes", "bytes", sizes, [float(len(data))], "core")
    if len(data) > MAX_RULES_BYTES:
        return
    body = encode(Rules(shut=shut, caps={"report": 40}, wait_ms={"lookup": 900}))
    key, parts = digest(body), -(-len(body) // PIECE_BYTES)
    wire = 0
    for part in range(parts):
        piece = BodyChunk(key, part, parts, body[part * PIECE_BYTES : (part + 1) * PIECE_BYTES])
        wire += datagram_size(BodyRequest(key, part)) + datagram_size(piece) + 2 * DATAGRAM_HEADER_BYTES
    yield sample("version_body_fetch_bytes", "bytes", sizes, [float(wire)], "core")


def work_share_sample(deployment: Deployment) -> Sample:
    """The part of a cold engine's budget that one gateway may use at its start."""
    share = RoutingPolicy(deployment.settings(), 1, 0).work_share
    return sample("cold_part", "share", (deployment.gateways, 0), [share], "core")
