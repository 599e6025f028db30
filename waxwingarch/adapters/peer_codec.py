"""Datagrams between entry hosts, to bytes and back."""

import hmac
import math
from collections.abc import Callable, Sequence
from hashlib import blake2s
from typing import Any, Final

from google.protobuf.message import DecodeError

from waxwingarch.core.account_shares import Resource
from waxwingarch.core.base import (
    AccountId,
    FailureDomain,
    HostId,
    ServerId,
    ServiceId,
    VersionId,
)
from waxwingarch.core.items import (
    CacheSummary,
    EvidenceCount,
    Item,
    LeavingServer,
    LoadSummary,
    SettingsRevision,
    SpentShare,
    StopMark,
)
from waxwingarch.core.members import Addresses, Member, MemberState
from waxwingarch.core.messages import (
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
from waxwingarch.exceptions import LinkError
from waxwingarch.protocol import peer_pb2 as pb

TAG_BYTES: Final = 16
RESOURCES: Final = frozenset(resource.value for resource in Resource)
STATES: Final = tuple(MemberState)
STATE_NUMBERS: Final = {state: n for n, state in enumerate(STATES)}


class MalformedMessageError(LinkError):
    """A message from a peer can't be read; check versions and keys."""


def _fields(source: Any, names: Sequence[str]) -> dict[str, Any]:
    return {name: getattr(source, name) for name in names}


ITEM_FIELDS: Final[dict[type, tuple[str, type, tuple[str, ...]]]] = {
    SettingsRevision: ("revision", pb.SettingsRevision, ("revision",)),
    LeavingServer: (
        "leaving",
        pb.LeavingServer,
        ("server_id", "incarnation", "deadline_unix"),
    ),
    StopMark: (
        "stop",
        pb.StopMark,
        ("service", "version", "move_id", "reason"),
    ),
    SpentShare: (
        "share",
        pb.SpentShare,
        (
            "account",
            "host_id",
            "incarnation",
            "requests",
            "wanted",
            "running",
            "sequence",
        ),
    ),
    LoadSummary: (
        "load",
        pb.LoadSummary,
        (
            "server_id",
            "incarnation",
            "as_of_ms",
            "running",
            "waiting",
            "kv_used",
            "kv_total",
        ),
    ),
    CacheSummary: (
        "cache",
        pb.CacheSummary,
        ("server_id", "incarnation", "sequence", "blocks"),
    ),
    EvidenceCount: (
        "evidence",
        pb.EvidenceCount,
        (
            "move_id",
            "host_id",
            "incarnation",
            "sequence",
            "closed",
            "version",
            "route",
            "band",
            "requests",
            "failures",
            "timed",
            "slow",
        ),
    ),
}

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


def _finite(value: float) -> float:
    # Without an order hosts would not agree on what wins.
    if not math.isfinite(value):
        raise MalformedMessageError(
            "a datagram holds a number that is not finite; "
            "run the same version on all hosts"
        )
    return value


def _read_revision(raw: pb.SettingsRevision) -> Item:
    return SettingsRevision(revision=raw.revision)


def _read_leaving(raw: pb.LeavingServer) -> Item:
    return LeavingServer(
        server_id=ServerId(raw.server_id),
        incarnation=raw.incarnation,
        deadline_unix=_finite(raw.deadline_unix),
    )


def _read_stop(raw: pb.StopMark) -> Item:
    return StopMark(
        service=ServiceId(raw.service),
        version=VersionId(raw.version),
        move_id=raw.move_id,
        reason=raw.reason,
    )


def _read_share(raw: pb.SpentShare) -> Item:
    return SpentShare(
        account=AccountId(raw.account),
        host_id=HostId(raw.host_id),
        incarnation=raw.incarnation,
        requests=raw.requests,
        wanted=_finite(raw.wanted),
        running=raw.running,
        sequence=raw.sequence,
    )


def _read_load(raw: pb.LoadSummary) -> Item:
    return LoadSummary(
        server_id=ServerId(raw.server_id),
        incarnation=raw.incarnation,
        as_of_ms=raw.as_of_ms,
        running=raw.running,
        waiting=raw.waiting,
        kv_used=raw.kv_used,
        kv_total=raw.kv_total,
    )


def _read_cache(raw: pb.CacheSummary) -> Item:
    return CacheSummary(
        server_id=ServerId(raw.server_id),
        incarnation=raw.incarnation,
        sequence=raw.sequence,
        blocks=tuple(raw.blocks),
    )


def _read_evidence(raw: pb.EvidenceCount) -> Item:
    return EvidenceCount(
        move_id=raw.move_id,
        host_id=HostId(raw.host_id),
        incarnation=raw.incarnation,
        sequence=raw.sequence,
        closed=raw.closed,
        version=VersionId(raw.version),
        route=raw.route,
        band=raw.band,
        requests=raw.requests,
        failures=raw.failures,
        timed=raw.timed,
        slow=raw.slow,
    )


ITEM_READERS: Final[dict[str, Callable[[Any], Item]]] = {
    "revision": _read_revision,
    "leaving": _read_leaving,
    "stop": _read_stop,
    "share": _read_share,
    "load": _read_load,
    "cache": _read_cache,
    "evidence": _read_evidence,
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
        resource=_resource(raw.resource),
        incarnation=raw.incarnation,
        loan_sequence=raw.loan_sequence,
        units=raw.units,
    )


def _read_loan_answer(raw: pb.LoanAnswer) -> Body:
    return LoanAnswer(
        account=AccountId(raw.account),
        resource=_resource(raw.resource),
        incarnation=raw.incarnation,
        loan_sequence=raw.loan_sequence,
        units=raw.units,
        spare=raw.spare,
    )


def _resource(name: str) -> str:
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


def _item(item: Item) -> pb.Item:
    field, message, names = ITEM_FIELDS[type(item)]
    raw: dict[str, Any] = {field: message(**_fields(item, names))}
    return pb.Item(**raw)


def _read_item(raw: pb.Item) -> Item | None:
    field = raw.WhichOneof("kind")
    # A later version may know kinds that this one does not.
    return ITEM_READERS[field](getattr(raw, field)) if field else None


def _member(member: Member) -> pb.Member:
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


def _read_member(raw: pb.Member) -> Member:
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
    """Return the bytes of a datagram, without authentication."""
    field, message, names = BODY_FIELDS[type(datagram.body)]
    body: dict[str, Any] = {field: message(**_fields(datagram.body, names))}
    return pb.Datagram(
        sender=datagram.sender,
        incarnation=datagram.incarnation,
        applied_revision=datagram.applied_revision,
        members=[_member(member) for member in datagram.members],
        items=[_item(item) for item in datagram.items],
        **body,
    ).SerializeToString()


def decode_datagram(payload: bytes) -> Datagram:
    """Return the datagram; raises MalformedMessageError."""
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
    items = [_read_item(item) for item in raw.items]
    return Datagram(
        sender=HostId(raw.sender),
        incarnation=raw.incarnation,
        applied_revision=raw.applied_revision,
        body=BODY_READERS[field](getattr(raw, field)),
        members=tuple(_read_member(member) for member in raw.members),
        items=tuple(item for item in items if item is not None),
    )


class DatagramSeal:
    """Authenticates datagrams by keys that all hosts share.

    The first key signs, any of them verifies, so that keys can be
    changed one host after another. Without keys all is let through.
    """

    def __init__(self, keys: Sequence[bytes] = ()) -> None:
        self._keys = tuple(keys)

    def seal(self, payload: bytes) -> bytes:
        """Return the payload with its tag in front."""
        if not self._keys:
            return payload
        return self._tag(self._keys[0], payload) + payload

    def open(self, data: bytes) -> bytes:
        """Return the payload; raises MalformedMessageError."""
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
