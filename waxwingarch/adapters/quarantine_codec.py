"""Encoding of quarantined inputs and crashes as JSON values."""

from collections.abc import Iterable
from typing import Any

from waxwingarch.core.base import FailureDomain, ServerId
from waxwingarch.core.quarantine.quarantine_messages import (
    Crash,
    InputState,
    QuarantineEntry,
    QuarantineOrigin,
    QuarantineReport,
)


def encode_entries(entries: Iterable[QuarantineEntry]) -> list[Any]:
    """Return entries as a JSON value."""
    return [
        [e.key, e.number, e.state, e.origin, round(e.seen_at)] for e in entries
    ]


def decode_entries(raw: list[Any]) -> tuple[QuarantineEntry, ...]:
    """Return the entries in a JSON value; raises `ValueError`."""
    return tuple(
        QuarantineEntry(
            key=str(key),
            number=int(number),
            state=InputState(state),
            origin=QuarantineOrigin(origin),
            seen_at=float(seen_at),
        )
        for key, number, state, origin, seen_at in raw
    )


def encode_quarantine(report: QuarantineReport) -> dict[str, Any]:
    """Return a report on crashes, without the lists that are empty."""
    raw = {
        "held": encode_entries(report.entries),
        "crashes": [_encode_crash(crash) for crash in report.crashes],
        "sound": {key: round(at, 2) for key, at in report.sound.items()},
    }
    return {name: value for name, value in raw.items() if value}


def decode_quarantine(raw: dict[str, Any]) -> QuarantineReport:
    """Return the report in a JSON value."""
    return QuarantineReport(
        entries=decode_entries(raw.get("held", [])),
        crashes=tuple(_decode_crash(c) for c in raw.get("crashes", [])),
        sound={str(k): float(at) for k, at in raw.get("sound", {}).items()},
    )


def _encode_crash(crash: Crash) -> list[Any]:
    return [
        crash.server_id,
        crash.incarnation,
        crash.domain,
        round(crash.at, 3),
        crash.inputs,
        crash.refuted,
        crash.in_rollout,
    ]


def _decode_crash(raw: list[Any]) -> Crash:
    server_id, incarnation, domain, at, inputs, refuted, trial = raw
    return Crash(
        server_id=ServerId(str(server_id)),
        incarnation=int(incarnation),
        domain=FailureDomain(str(domain)),
        at=float(at),
        inputs={str(key): int(depth) for key, depth in inputs.items()},
        refuted=bool(refuted),
        in_rollout=bool(trial),
    )
