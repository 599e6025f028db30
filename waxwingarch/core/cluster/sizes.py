"""Upper bounds of the encoded sizes of records, in bytes.

The decisions fill datagrams by these; a test of the codec holds each
encoding against its bound.
"""

from typing import Final

from waxwingarch.core.cluster.items import (
    CacheSummary,
    EvidenceCount,
    Item,
    LeavingServer,
    LoadSummary,
    SettingsRevision,
    SpentShare,
    StopMark,
)
from waxwingarch.core.cluster.members import Member

MAX_DATAGRAM_BYTES: Final = 1_200
# Sender, incarnation, revision, authentication code and the body.
HEADER_BYTES: Final = 192
SYNC_HEADER_BYTES: Final = HEADER_BYTES + 272
LOAN_HEADER_BYTES: Final = HEADER_BYTES + 96
NESTING_BYTES: Final = 6
DOUBLE_BYTES: Final = 9
HASH_BYTES: Final = 4


def _varint(value: int) -> int:
    """Return the bytes of a tagged variable-length integer."""
    return 1 + max(1, (value.bit_length() + 6) // 7)


def _text(value: str) -> int:
    length = len(value.encode())
    return 1 + (1 if length < 128 else 3) + length


def _share_bytes(item: SpentShare) -> int:
    return (
        _text(item.account)
        + _text(item.host_id)
        + _varint(item.incarnation)
        + _varint(item.requests)
        + DOUBLE_BYTES
        + _varint(item.running)
        + _varint(item.sequence)
    )


def _load_bytes(item: LoadSummary) -> int:
    numbers = (
        item.incarnation,
        item.as_of_ms,
        item.running,
        item.waiting,
        item.kv_used,
        item.kv_total,
    )
    return _text(item.server_id) + sum(_varint(n) for n in numbers)


def _stop_bytes(item: StopMark) -> int:
    texts = (item.service, item.version, item.move_id, item.reason)
    return sum(_text(text) for text in texts)


def _evidence_bytes(item: EvidenceCount) -> int:
    texts = (item.move_id, item.host_id, item.version, item.route, item.band)
    numbers = (
        item.incarnation,
        item.sequence,
        item.requests,
        item.failures,
        item.timed,
        item.slow,
    )
    flag = 2
    return sum(_text(t) for t in texts) + sum(map(_varint, numbers)) + flag


def item_bytes(item: Item) -> int:
    """Return at least the encoded size of an item in a datagram."""
    match item:
        case SettingsRevision(revision=revision):
            size = _varint(revision)
        case LeavingServer(server_id=server, incarnation=incarnation):
            size = _text(server) + _varint(incarnation) + DOUBLE_BYTES
        case StopMark():
            size = _stop_bytes(item)
        case SpentShare():
            size = _share_bytes(item)
        case LoadSummary():
            size = _load_bytes(item)
        case CacheSummary(server_id=server, blocks=blocks):
            numbers = _varint(item.incarnation) + _varint(item.sequence)
            size = _text(server) + numbers + 3 + HASH_BYTES * len(blocks)
        case EvidenceCount():
            size = _evidence_bytes(item)
    return NESTING_BYTES + size


def member_bytes(member: Member) -> int:
    """Return at least the encoded size of a member in a datagram."""
    texts = (
        member.host_id,
        member.region,
        member.failure_domain,
        member.addresses.http,
        member.addresses.peer_tcp,
        member.addresses.peer_udp,
    )
    numbers = _varint(member.incarnation) + _varint(member.refutation)
    flags = 2 + 2
    return NESTING_BYTES + sum(_text(t) for t in texts) + numbers + flags
