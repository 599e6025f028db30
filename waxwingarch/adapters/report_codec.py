"""Encoding of host reports as JSON datagrams."""

from collections.abc import Mapping
from typing import Any, Final

import orjson

from waxwingarch.adapters.quarantine_codec import (
    decode_quarantine,
    encode_quarantine,
)
from waxwingarch.core.backends.evacuations import KeptEvacuation
from waxwingarch.core.backends.load import ServerLoad
from waxwingarch.core.backends.server_limits import ReportedLimit
from waxwingarch.core.base import (
    AccountId,
    FailureDomain,
    HostId,
    ServerId,
    ServiceId,
    VersionId,
)
from waxwingarch.core.moves.move_counts import (
    CellCounts,
    HostEvidence,
    LoadBand,
)
from waxwingarch.core.peers.report import HostReport, WindowCounts
from waxwingarch.core.rollouts.rollout_messages import (
    RolloutPhase,
    RolloutPhaseReport,
)
from waxwingarch.exceptions import WaxwingError

# The age reported for versions that were never confirmed as the newest.
# Their real age is infinite, which JSON cannot express.
MAX_REPORTED_AGE_S: Final = 1e6
AGE_DECIMALS: Final = 4


class BadReportError(WaxwingError):
    """A datagram is not a report; check what sends to the peers' port."""


def encode_report(report: HostReport) -> bytes:
    """Return the datagram of a report."""
    raw = {
        "host": report.host,
        "inc": report.incarnation,
        "seq": report.sequence,
        "addr": report.address,
        "unix": round(report.unix_now, 3),
        "cfg": report.config_version,
        "list": report.listing_version,
        "num": report.config_number,
        "drain": report.draining,
        "duty": report.holds_duties,
        "age": round(min(report.confirmed_age_s, MAX_REPORTED_AGE_S), 2),
        "loads": encode_loads(report.loads),
        "zone": report.domain,
        "avoid": report.avoided,
        "lost": report.lost_services,
        "leaving": report.leaving,
        "limits": {
            server: [
                limit.incarnation,
                limit.per_s,
                round(limit.age_s, AGE_DECIMALS),
            ]
            for server, limit in report.limits.items()
        },
        "brittle": report.brittle_services,
        "adm": encode_usage(report.admitted),
        "began": _encode_windows(report.usage_counts),
        "moves": [[r.rollout_id, r.phase] for r in report.rollouts],
        "cells": [_encode_evidence(e) for e in report.evidence],
        "quar": encode_quarantine(report.quarantine),
        **_encode_evacuations(report.kept_evacuations),
    }
    if report.wants_reports:
        # Left out otherwise: only hosts of a large fleet ask for reports.
        raw["want"] = True
    return orjson.dumps(raw)


def _encode_evacuations(
    kept: Mapping[FailureDomain, KeptEvacuation],
) -> dict[str, Any]:
    """Return the field of the kept evacuations, which is rarely there."""
    if not kept:
        return {}
    return {
        "evac": {
            domain: [each.version, round(each.remaining_s, AGE_DECIMALS)]
            for domain, each in kept.items()
        }
    }


def _encode_windows(counts: WindowCounts | None) -> dict[str, Any] | None:
    """Return counts by window with the windows as JSON keys."""
    if counts is None:
        return None
    return {str(window): accounts for window, accounts in counts.items()}


def decode_report(data: bytes) -> HostReport:
    """Return the report in a datagram; raises `BadReportError`."""
    try:
        return _decode_fields(orjson.loads(data))
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise BadReportError(f"not a report: {exc!r}") from exc


def _decode_fields(raw: dict[str, Any]) -> HostReport:
    return HostReport(
        host=HostId(str(raw["host"])),
        incarnation=int(raw["inc"]),
        sequence=int(raw["seq"]),
        address=str(raw["addr"]),
        unix_now=float(raw["unix"]),
        config_version=int(raw["cfg"]),
        listing_version=int(raw["list"]),
        config_number=int(raw.get("num", 0)),
        confirmed_age_s=float(raw["age"]),
        draining=bool(raw["drain"]),
        holds_duties=bool(raw["duty"]),
        loads=decode_loads(raw["loads"]),
        domain=FailureDomain(str(raw["zone"])),
        avoided=tuple(ServerId(str(s)) for s in raw["avoid"]),
        # Hosts of an older version do not send "lost", "brittle", "leaving",
        # "limits", "num", "quar", "evac" and "want".
        brittle_services=tuple(
            ServiceId(str(s)) for s in raw.get("brittle", ())
        ),
        lost_services=tuple(ServiceId(str(s)) for s in raw.get("lost", ())),
        leaving={
            ServerId(server): int(incarnation)
            for server, incarnation in raw.get("leaving", {}).items()
        },
        limits={
            ServerId(server): ReportedLimit(
                incarnation=int(incarnation),
                per_s=None if per_s is None else float(per_s),
                age_s=float(age_s),
            )
            for server, (incarnation, per_s, age_s) in raw.get(
                "limits", {}
            ).items()
        },
        admitted=decode_usage(raw["adm"]),
        usage_counts=_decode_windows(raw["began"]),
        rollouts=tuple(
            RolloutPhaseReport(rollout_id=str(name), phase=RolloutPhase(phase))
            for name, phase in raw["moves"]
        ),
        evidence=tuple(_decode_evidence(raw, e) for e in raw["cells"]),
        quarantine=decode_quarantine(raw.get("quar", {})),
        kept_evacuations={
            FailureDomain(domain): KeptEvacuation(
                version=int(version), remaining_s=float(remaining_s)
            )
            for domain, (version, remaining_s) in raw.get("evac", {}).items()
        },
        wants_reports=bool(raw.get("want", False)),
    )


def _decode_windows(raw: dict[str, Any] | None) -> WindowCounts | None:
    if raw is None:
        return None
    return {
        int(window): {AccountId(a): int(n) for a, n in counts.items()}
        for window, counts in raw.items()
    }


def _encode_evidence(evidence: HostEvidence) -> list[Any]:
    cells = [
        [c.version, c.route, c.band, c.requests, c.failures, c.timed, c.slow]
        for c in evidence.cells
    ]
    return [evidence.move_id, evidence.sequence, cells]


def _decode_evidence(
    report: dict[str, Any], evidence: list[Any]
) -> HostEvidence:
    """Return one evidence entry, with the host taken from its report."""
    move_id, sequence, cells = evidence
    return HostEvidence(
        move_id=str(move_id),
        host_id=HostId(str(report["host"])),
        incarnation=int(report["inc"]),
        sequence=int(sequence),
        closed=False,
        cells=tuple(
            CellCounts(
                version=VersionId(version),
                route=route,
                band=LoadBand(band),
                requests=int(requests),
                failures=int(failures),
                timed=int(timed),
                slow=int(slow),
            )
            for version, route, band, requests, failures, timed, slow in cells
        ),
    )


def encode_loads(loads: Mapping[ServerId, ServerLoad]) -> dict[str, Any]:
    """Return loads by server, as in a datagram."""
    return {
        server: (load.running, load.prefill_tokens, load.kv_tokens)
        for server, load in loads.items()
    }


def decode_loads(raw: dict[str, Any]) -> dict[ServerId, ServerLoad]:
    """Return the loads in a datagram; raises `ValueError`."""
    return {
        ServerId(server): ServerLoad(
            running=int(running),
            prefill_tokens=int(prefill_tokens),
            kv_tokens=int(kv_tokens),
        )
        for server, (running, prefill_tokens, kv_tokens) in raw.items()
    }


def encode_usage(usage: Mapping[AccountId, float]) -> dict[str, float]:
    """Return amounts by account, as in a datagram."""
    return {account: round(n, 1) for account, n in usage.items()}


def decode_usage(raw: dict[str, Any]) -> dict[AccountId, float]:
    """Return the amounts in a datagram; raises `ValueError`."""
    return {AccountId(account): float(n) for account, n in raw.items()}
