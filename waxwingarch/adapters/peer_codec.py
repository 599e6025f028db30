"""Encoding, decoding and authentication of gossip datagrams."""

import hmac
from collections.abc import Callable, Sequence
from hashlib import blake2s
from typing import Any, Final

from google.protobuf.message import DecodeError

from waxwingarch.adapters.item_codec import (
    MalformedMessageError,
    decode_item,
    encode_item,
    fields_of,
)
from waxwingarch.core.base import (
    AccountId,
    FailureDomain,
    HostId,
)
from waxwingarch.core.cluster.members import Addresses, Member, MemberState
from waxwingarch.core.cluster.messages import (
    Ack,
    Body,
    Datagram,
    Gossip,
    IndirectProbe,
    LoanAnswer,
    LoanAsk,
    Probe,
    SyncRequest,
)
from waxwingarch.core.limits.account_shares import Resource
from waxwingarch.protocol import peer_pb2 as pb

TAG_BYTES: Final = 16
RESOURCES: Final = frozenset(resource.value for resource in Resource)
STATES: Final = tuple(MemberState)
STATE_NUMBERS: Final = {state: n for n, state in enumerate(STATES)}

# Per body class: the oneof field of its message, the message class, and
# the attributes that are copied unchanged.
BODY_FIELDS: Final[dict[type, tuple[str, type, tuple[str, ...]]]] = {
    Probe: ("probe", pb.Probe, ("sequence", "target", "incarnation")),
    Ack: ("ack", pb.Ack, ("sequence", "host_id", "incarnation")),
    IndirectProbe: (
        "indirect_probe",
        pb.IndirectProbe,
        ("sequence", "target", "incarnation", "address"),
    ),
    Gossip: ("gossip", pb.Gossip, ("relay",)),
    SyncRequest: ("sync_request", pb.SyncRequest, ("sums", "reply")),
    LoanAsk: (
        "loan_ask",
        pb.LoanAsk,
        ("account", "resource", "incarnation", "loan_sequence", "units"),
    ),
    LoanAnswer: (
        "loan_answer",
        pb.LoanAnswer,
        (
            "account",
            "resource",
            "incarnation",
            "loan_sequence",
            "units",
            "spare",
        ),
    ),
}


def _read_probe(raw: pb.Probe) -> Body:
    return Probe(
        sequence=raw.sequence,
        target=HostId(raw.target),
        incarnation=raw.incarnation,
    )


def _read_ack(raw: pb.Ack) -> Body:
    return Ack(
        sequence=raw.sequence,
        host_id=HostId(raw.host_id),
        incarnation=raw.incarnation,
    )


def _read_indirect_probe(raw: pb.IndirectProbe) -> Body:
    return IndirectProbe(
        sequence=raw.sequence,
        target=HostId(raw.target),
        incarnation=raw.incarnation,
        address=raw.address,
    )


def _read_loan_ask(raw: pb.LoanAsk) -> Body:
    return LoanAsk(
        account=AccountId(raw.account),
        resource=_require_resource(raw.resource),
        incarnation=raw.incarnation,
        loan_sequence=raw.loan_sequence,
        units=raw.units,
    )


def _read_loan_answer(raw: pb.LoanAnswer) -> Body:
    return LoanAnswer(
        account=AccountId(raw.account),
        resource=_require_resource(raw.resource),
        incarnation=raw.incarnation,
        loan_sequence=raw.loan_sequence,
        units=raw.units,
        spare=raw.spare,
    )


def _require_resource(name: str) -> str:
    if name not in RESOURCES:
        raise MalformedMessageError(
            f"a loan of {name!r} is unknown; run the same version on all hosts"
        )
    return name


BODY_READERS: Final[dict[str, Callable[[Any], Body]]] = {
    "probe": _read_probe,
    "ack": _read_ack,
    "indirect_probe": _read_indirect_probe,
    "loan_ask": _read_loan_ask,
    "loan_answer": _read_loan_answer,
    "gossip": lambda raw: Gossip(relay=raw.relay),
    "sync_request": lambda raw: SyncRequest(
        sums=tuple(raw.sums), reply=raw.reply
    ),
}


def _encode_member(member: Member) -> pb.Member:
    return pb.Member(
        host_id=member.host_id,
        incarnation=member.incarnation,
        refutation=member.refutation,
        region=member.region,
        failure_domain=member.failure_domain,
        http=member.addresses.http,
        peer_tcp=member.addresses.peer_tcp,
        peer_udp=member.addresses.peer_udp,
        state=STATE_NUMBERS[member.state],
        draining=member.draining,
    )


def _decode_member(raw: pb.Member) -> Member:
    if not raw.host_id or raw.state >= len(STATES):
        raise MalformedMessageError(
            "a member record has no host id or an unknown state; "
            "run the same version on all hosts"
        )
    return Member(
        host_id=HostId(raw.host_id),
        incarnation=raw.incarnation,
        refutation=raw.refutation,
        region=raw.region,
        failure_domain=FailureDomain(raw.failure_domain),
        addresses=Addresses(
            http=raw.http, peer_tcp=raw.peer_tcp, peer_udp=raw.peer_udp
        ),
        state=STATES[raw.state],
        draining=raw.draining,
    )


def encode_datagram(datagram: Datagram) -> bytes:
    """Return the bytes of a datagram, without its authentication tag."""
    field, message, names = BODY_FIELDS[type(datagram.body)]
    body: dict[str, Any] = {field: message(**fields_of(datagram.body, names))}
    return pb.Datagram(
        sender=datagram.sender,
        incarnation=datagram.incarnation,
        applied_revision=datagram.applied_revision,
        members=[_encode_member(member) for member in datagram.members],
        items=[encode_item(item) for item in datagram.items],
        **body,
    ).SerializeToString()


def decode_datagram(payload: bytes) -> Datagram:
    """Parse a datagram without its tag; raises MalformedMessageError."""
    raw = pb.Datagram()
    try:
        raw.ParseFromString(payload)
    except DecodeError as exc:
        raise MalformedMessageError(
            "a datagram is no peer message; check what sends to this port"
        ) from exc
    field = raw.WhichOneof("body")
    if field is None or not raw.sender:
        raise MalformedMessageError(
            "a datagram has no body or no sender; "
            "run the same version on all hosts"
        )
    items = [decode_item(item) for item in raw.items]
    return Datagram(
        sender=HostId(raw.sender),
        incarnation=raw.incarnation,
        applied_revision=raw.applied_revision,
        body=BODY_READERS[field](getattr(raw, field)),
        members=tuple(_decode_member(member) for member in raw.members),
        items=tuple(item for item in items if item is not None),
    )


class DatagramSeal:
    """Authenticates datagrams with keys that all hosts share.

    The first key signs and any of them verifies, so that keys can be
    rotated host by host. Without keys every datagram is accepted.
    """

    def __init__(self, keys: Sequence[bytes] = ()) -> None:
        self._keys = tuple(keys)

    def seal(self, payload: bytes) -> bytes:
        """Return the payload with its authentication tag in front."""
        if not self._keys:
            return payload
        return self._tag(self._keys[0], payload) + payload

    def open(self, data: bytes) -> bytes:
        """Verify and strip the tag; raises MalformedMessageError."""
        if not self._keys:
            return data
        tag, payload = data[:TAG_BYTES], data[TAG_BYTES:]
        for key in self._keys:
            if hmac.compare_digest(tag, self._tag(key, payload)):
                return payload
        raise MalformedMessageError(
            "a datagram has no valid tag; give all hosts the same peer key"
        )

    @staticmethod
    def _tag(key: bytes, payload: bytes) -> bytes:
        return blake2s(payload, key=key[:32], digest_size=TAG_BYTES).digest()
