"""Upper bounds of the encoded sizes of records, in bytes.

Datagrams are filled by these bounds, without encoding the records first;
a test of the codec compares each encoding with its bound.
"""

from typing import Final

from waxwingarch.core.cluster.items import (
    CacheSummary,
    EvidenceCount,
    InputCrash,
    Item,
    LeavingServer,
    LoadSummary,
    QuarantinedInput,
    SettingsRevision,
    SoundInput,
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


def _varint_bytes(value: int) -> int:
    """Return the size of a tagged variable-length integer."""
    return 1 + max(1, (value.bit_length() + 6) // 7)


def _text_bytes(value: str) -> int:
    """Return the size of a tagged string with its length prefix."""
    length = len(value.encode())
    return 1 + (1 if length < 128 else 3) + length


def _share_bytes(item: SpentShare) -> int:
    return (
        _text_bytes(item.account)
        + _text_bytes(item.host_id)
        + _varint_bytes(item.incarnation)
        + _varint_bytes(item.requests)
        + DOUBLE_BYTES
        + _varint_bytes(item.running)
        + _varint_bytes(item.sequence)
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
    return _text_bytes(item.server_id) + sum(_varint_bytes(n) for n in numbers)


def _stop_bytes(item: StopMark) -> int:
    texts = (item.service, item.version, item.move_id, item.reason)
    return sum(_text_bytes(text) for text in texts)


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
    flag_bytes = 2
    return (
        sum(_text_bytes(t) for t in texts)
        + sum(map(_varint_bytes, numbers))
        + flag_bytes
    )


def _crash_bytes(item: InputCrash) -> int:
    texts = (item.server_id, item.domain, item.key)
    flag_bytes = 2 + 2
    return (
        sum(_text_bytes(t) for t in texts)
        + _varint_bytes(item.incarnation)
        + DOUBLE_BYTES
        + flag_bytes
    )


def _quarantined_bytes(item: QuarantinedInput) -> int:
    texts = (item.key, item.state, item.origin)
    numbers = _varint_bytes(item.number) + DOUBLE_BYTES
    return sum(_text_bytes(t) for t in texts) + numbers


def item_bytes(item: Item) -> int:
    """Return an upper bound of the item's encoded size."""
    match item:
        case SettingsRevision(revision=revision):
            size_bytes = _varint_bytes(revision)
        case LeavingServer(server_id=server, incarnation=incarnation):
            size_bytes = (
                _text_bytes(server) + _varint_bytes(incarnation) + DOUBLE_BYTES
            )
        case StopMark():
            size_bytes = _stop_bytes(item)
        case SpentShare():
            size_bytes = _share_bytes(item)
        case LoadSummary():
            size_bytes = _load_bytes(item)
        case CacheSummary(server_id=server, blocks=blocks):
            numbers = _varint_bytes(item.incarnation) + _varint_bytes(
                item.sequence
            )
            size_bytes = (
                _text_bytes(server) + numbers + 3 + HASH_BYTES * len(blocks)
            )
        case EvidenceCount():
            size_bytes = _evidence_bytes(item)
        case InputCrash():
            size_bytes = _crash_bytes(item)
        case QuarantinedInput():
            size_bytes = _quarantined_bytes(item)
        case SoundInput(key=key):
            size_bytes = _text_bytes(key) + DOUBLE_BYTES
    return NESTING_BYTES + size_bytes


def member_bytes(member: Member) -> int:
    """Return an upper bound of the member record's encoded size."""
    texts = (
        member.host_id,
        member.region,
        member.failure_domain,
        member.addresses.http,
        member.addresses.peer_tcp,
        member.addresses.peer_udp,
    )
    numbers = _varint_bytes(member.incarnation) + _varint_bytes(
        member.refutation
    )
    flag_bytes = 2 + 2
    return (
        NESTING_BYTES
        + sum(_text_bytes(t) for t in texts)
        + numbers
        + flag_bytes
    )
