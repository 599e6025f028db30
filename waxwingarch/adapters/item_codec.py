"""Conversion of gossip items to protocol messages and back."""

import math
from collections.abc import Callable, Sequence
from typing import Any, Final

from waxwingarch.core.base import (
    AccountId,
    FailureDomain,
    HostId,
    ServerId,
    ServiceId,
    VersionId,
)
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
from waxwingarch.core.quarantine.quarantine_messages import (
    InputState,
    QuarantineOrigin,
)
from waxwingarch.exceptions import LinkError
from waxwingarch.protocol import peer_pb2 as pb


class MalformedMessageError(LinkError):
    """A peer's message cannot be decoded; check versions and keys."""


def fields_of(source: Any, names: Sequence[str]) -> dict[str, Any]:
    """Return the given attributes of a value as a dictionary."""
    return {name: getattr(source, name) for name in names}


# Per item class: the oneof field of its message, the message class, and
# the attributes that are copied unchanged.
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
    InputCrash: (
        "crash",
        pb.InputCrash,
        (
            "server_id",
            "incarnation",
            "domain",
            "at",
            "key",
            "refuted",
            "in_rollout",
        ),
    ),
    QuarantinedInput: (
        "quarantined",
        pb.QuarantinedInput,
        ("key", "number", "state", "origin", "seen_at"),
    ),
    SoundInput: ("sound", pb.SoundInput, ("key", "at")),
}


def _require_finite(value: float) -> float:
    # Merging keeps the greater item of a total order. NaN has no place in
    # that order, and hosts would not converge on the same item.
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
        deadline_unix=_require_finite(raw.deadline_unix),
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
        wanted=_require_finite(raw.wanted),
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


def _read_crash(raw: pb.InputCrash) -> Item:
    return InputCrash(
        server_id=ServerId(raw.server_id),
        incarnation=raw.incarnation,
        domain=FailureDomain(raw.domain),
        at=_require_finite(raw.at),
        key=raw.key,
        refuted=raw.refuted,
        in_rollout=raw.in_rollout,
    )


def _read_quarantined(raw: pb.QuarantinedInput) -> Item:
    try:
        state = InputState(raw.state)
        origin = QuarantineOrigin(raw.origin)
    except ValueError as exc:
        raise MalformedMessageError(str(exc)) from exc
    return QuarantinedInput(
        key=raw.key,
        number=raw.number,
        state=state,
        origin=origin,
        seen_at=_require_finite(raw.seen_at),
    )


def _read_sound(raw: pb.SoundInput) -> Item:
    return SoundInput(key=raw.key, at=_require_finite(raw.at))


ITEM_READERS: Final[dict[str, Callable[[Any], Item]]] = {
    "revision": _read_revision,
    "leaving": _read_leaving,
    "stop": _read_stop,
    "share": _read_share,
    "load": _read_load,
    "cache": _read_cache,
    "evidence": _read_evidence,
    "crash": _read_crash,
    "quarantined": _read_quarantined,
    "sound": _read_sound,
}


def encode_item(item: Item) -> pb.Item:
    """Return the protocol message of an item."""
    field, message, names = ITEM_FIELDS[type(item)]
    raw: dict[str, Any] = {field: message(**fields_of(item, names))}
    return pb.Item(**raw)


def decode_item(raw: pb.Item) -> Item | None:
    """Return the item of a protocol message; raises MalformedMessageError.

    Returns None for a kind of item that only a later version knows.
    """
    field = raw.WhichOneof("kind")
    return ITEM_READERS[field](getattr(raw, field)) if field else None
