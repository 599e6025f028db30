"""Reports between hosts as datagrams of JSON."""

from typing import Any, Final

import orjson

from waxwingarch.core.backends.load import ServerLoad
from waxwingarch.core.base import (
    AccountId,
    FailureDomain,
    HostId,
    ServerId,
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

# Beliefs that were never confirmed are told as this old.
LONGEST_AGE_S: Final = 1e6


class BadReportError(WaxwingError):
    """A datagram is not a report; check who sends to the peers' port."""


def encode_report(report: HostReport) -> bytes:
    """Return a report as one datagram."""
    return orjson.dumps(
        {
            "host": report.host,
            "inc": report.incarnation,
            "seq": report.sequence,
            "addr": report.address,
            "unix": round(report.unix_now, 3),
            "cfg": report.config_version,
            "list": report.listing_version,
            "drain": report.draining,
            "duty": report.holds_duties,
            "age": round(min(report.confirmed_age_s, LONGEST_AGE_S), 2),
            "loads": {
                server: [load.running, load.prefill_tokens, load.kv_tokens]
                for server, load in report.loads.items()
            },
            "zone": report.domain,
            "avoid": report.avoided,
            "adm": {a: round(n, 1) for a, n in report.admitted.items()},
            "began": _windows(report.usage_counts),
            "moves": [[w.rollout_id, w.phase] for w in report.rollouts],
            "cells": [_raw_evidence(e) for e in report.evidence],
        }
    )


def _windows(began: WindowCounts | None) -> dict[str, Any] | None:
    if began is None:
        return None
    return {str(window): counts for window, counts in began.items()}


def decode_report(data: bytes) -> HostReport:
    """Return the report in a datagram; raises `BadReportError`."""
    try:
        return _report(orjson.loads(data))
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise BadReportError(f"not a report: {exc!r}") from exc


def _report(raw: dict[str, Any]) -> HostReport:
    return HostReport(
        host=HostId(str(raw["host"])),
        incarnation=int(raw["inc"]),
        sequence=int(raw["seq"]),
        address=str(raw["addr"]),
        unix_now=float(raw["unix"]),
        config_version=int(raw["cfg"]),
        listing_version=int(raw["list"]),
        confirmed_age_s=float(raw["age"]),
        draining=bool(raw["drain"]),
        holds_duties=bool(raw["duty"]),
        loads={
            ServerId(server): ServerLoad(
                running=int(load[0]),
                prefill_tokens=int(load[1]),
                kv_tokens=int(load[2]),
            )
            for server, load in raw["loads"].items()
        },
        domain=FailureDomain(str(raw["zone"])),
        avoided=tuple(ServerId(str(s)) for s in raw["avoid"]),
        admitted={AccountId(a): float(n) for a, n in raw["adm"].items()},
        usage_counts=_began(raw["began"]),
        rollouts=tuple(
            RolloutPhaseReport(rollout_id=str(name), phase=RolloutPhase(phase))
            for name, phase in raw["moves"]
        ),
        evidence=tuple(_evidence(raw, each) for each in raw["cells"]),
    )


def _began(raw: dict[str, Any] | None) -> WindowCounts | None:
    if raw is None:
        return None
    return {
        int(window): {AccountId(a): int(n) for a, n in counts.items()}
        for window, counts in raw.items()
    }


def _raw_evidence(evidence: HostEvidence) -> list[Any]:
    cells = [
        [c.version, c.route, c.band, c.requests, c.failures, c.timed, c.slow]
        for c in evidence.cells
    ]
    return [evidence.move_id, evidence.sequence, cells]


def _evidence(raw: dict[str, Any], each: list[Any]) -> HostEvidence:
    move_id, sequence, cells = each
    return HostEvidence(
        move_id=str(move_id),
        host_id=HostId(str(raw["host"])),
        incarnation=int(raw["inc"]),
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
