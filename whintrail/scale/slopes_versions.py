"""Measures the bytes of a change of the agreed settings, in the log and on the wire."""

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

SHUT_SHARE = 0.01  # of the engines, in the measured body
# Large, as encoded numbers grow with their value.
LOG_INDEX = 100_000
TERM = 40
REASON = "a change that an operator wanted"


def measure_changes(deployment: Deployment) -> Iterator[Sample]:
    """Measure the bytes of one change: its three log entries, and their datagrams to one gateway."""
    sizes = deployment.gateways, 0
    number = deployment.gateways
    proposed = Entry(LOG_INDEX, TERM, ProposeVersion(LOG_INDEX, 1 << 62, number, REASON, 1 << 41))
    entries = [
        proposed,
        Entry(LOG_INDEX + 1, TERM, EnterVersion(LOG_INDEX)),
        Entry(LOG_INDEX + 2, TERM, SettleVersion(LOG_INDEX)),
    ]
    log_bytes = sum(len(msgspec.msgpack.encode(entry)) for entry in entries)
    yield sample("log_bytes", "bytes", sizes, [float(log_bytes)], "core")
    messages = [CommittedEntries(1 << 40, entry.index - 1, 1 << 31, number, (entry,)) for entry in entries]
    wire_bytes = sum(REBROADCASTS * (datagram_size(message) + DATAGRAM_HEADER_BYTES) for message in messages)
    yield sample("log_told_bytes", "bytes", sizes, [float(wire_bytes)], "core")


def measure_bodies(deployment: Deployment) -> Iterator[Sample]:
    """Measure a version's body with a hundredth of the engines shut, and the bytes of fetching it.

    The bytes of fetching are left out where the body is longer than allowed.
    """
    sizes = deployment.gateways, deployment.engines
    shut = tuple(deployment.engine_names()[:: int(1 / SHUT_SHARE)])
    encoded = msgspec.msgpack.encode(
        canonicalize(Rules(shut=shut, caps={"report": 40}, wait_ms={"lookup": 900}))
    )
    yield sample("version_body_bytes", "bytes", sizes, [float(len(encoded))], "core")
    if len(encoded) > MAX_RULES_BYTES:
        return
    body = encode(Rules(shut=shut, caps={"report": 40}, wait_ms={"lookup": 900}))
    key, piece_count = digest(body), -(-len(body) // PIECE_BYTES)
    wire_bytes = 0
    for index in range(piece_count):
        piece = BodyChunk(key, index, piece_count, body[index * PIECE_BYTES : (index + 1) * PIECE_BYTES])
        wire_bytes += (
            datagram_size(BodyRequest(key, index)) + datagram_size(piece) + 2 * DATAGRAM_HEADER_BYTES
        )
    yield sample("version_body_fetch_bytes", "bytes", sizes, [float(wire_bytes)], "core")


def work_share_sample(deployment: Deployment) -> Sample:
    """Return the share of a cold engine's initial capacity that one gateway may use."""
    share = RoutingPolicy(deployment.settings(), 1, 0).work_share
    return sample("cold_part", "share", (deployment.gateways, 0), [share], "core")
