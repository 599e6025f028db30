"""Outlier ejection: servers that fail get no requests for a while."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from waxwingarch.core.base import RequestId, ServerId
from waxwingarch.core.placement.placement_messages import ServerView

FAILURES_TO_EJECT: Final = 3
EJECT_S: Final = 2.0
MAX_EJECT_S: Final = 60.0
MAX_EJECTED_FRACTION: Final = 0.5


class Health(StrEnum):
    """What placement may do with a server."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBATION = "probation"


class HealthEvent(StrEnum):
    """What changes the health of a server."""

    OK = "ok"
    FAILED = "failed"
    FAILED_OFTEN = "failed often"
    TIME_UP = "time up"


TRANSITIONS: Final[dict[tuple[Health, HealthEvent], Health]] = {
    (Health.HEALTHY, HealthEvent.FAILED_OFTEN): Health.EJECTED,
    (Health.EJECTED, HealthEvent.TIME_UP): Health.PROBATION,
    (Health.PROBATION, HealthEvent.OK): Health.HEALTHY,
    (Health.PROBATION, HealthEvent.FAILED): Health.EJECTED,
    (Health.PROBATION, HealthEvent.FAILED_OFTEN): Health.EJECTED,
}


@dataclass(kw_only=True, slots=True)
class _Record:
    health: Health = Health.HEALTHY
    failures: int = 0
    eject_s: float = EJECT_S
    until: float = 0.0
    probe: RequestId | None = None


class OutlierGate:
    """Keeps requests away from servers with failures in a row.

    After the ejection one request at a time probes the server; each new
    failure doubles the ejection. When more than `MAX_EJECTED_FRACTION`
    of the candidates would be kept out, the fault is likelier to be
    elsewhere and all are allowed.
    """

    def __init__(self) -> None:
        self._records: dict[ServerId, _Record] = {}

    def health(self, now: float, server_id: ServerId) -> Health:
        """Return the health of a server."""
        record = self._records.get(server_id)
        if record is None:
            return Health.HEALTHY
        if record.health is Health.EJECTED and now >= record.until:
            self._apply(now, record, HealthEvent.TIME_UP)
        return record.health

    def allowed(
        self, now: float, candidates: Sequence[ServerView]
    ) -> Sequence[ServerView]:
        """Return the candidates that may get a request."""
        if not self._records:
            return candidates
        allowed = [
            view
            for view in candidates
            if self._may_use(now, view.server.server_id)
        ]
        if len(allowed) < len(candidates) * (1 - MAX_EJECTED_FRACTION):
            return candidates
        return allowed

    def record_dispatch(
        self, now: float, request_id: RequestId, server_id: ServerId
    ) -> None:
        """Remember the request that probes a server on probation."""
        if self.health(now, server_id) is Health.PROBATION:
            record = self._records[server_id]
            record.probe = record.probe or request_id

    def note_ok(self, now: float, server_id: ServerId) -> None:
        """Count a success; the server is healthy again."""
        record = self._records.get(server_id)
        if record is None:
            return
        record.failures = 0
        record.probe = None
        self._apply(now, record, HealthEvent.OK)
        if record.health is Health.HEALTHY:
            del self._records[server_id]

    def note_failed(self, now: float, server_id: ServerId) -> None:
        """Count a failure."""
        record = self._records.setdefault(server_id, _Record())
        record.failures += 1
        record.probe = None
        often = record.failures >= FAILURES_TO_EJECT
        self._apply(
            now,
            record,
            HealthEvent.FAILED_OFTEN if often else HealthEvent.FAILED,
        )

    def note_cancelled(
        self, request_id: RequestId, server_id: ServerId
    ) -> None:
        """Let another request probe when the probe was cancelled."""
        record = self._records.get(server_id)
        if record is not None and record.probe == request_id:
            record.probe = None

    def forget(self, server_id: ServerId) -> None:
        """Drop what is known of a server that is gone."""
        self._records.pop(server_id, None)

    def _may_use(self, now: float, server_id: ServerId) -> bool:
        health = self.health(now, server_id)
        if health is Health.PROBATION:
            return self._records[server_id].probe is None
        return health is Health.HEALTHY

    def _apply(self, now: float, record: _Record, event: HealthEvent) -> None:
        target = TRANSITIONS.get((record.health, event))
        if target is None:
            return
        record.health = target
        if target is Health.EJECTED:
            record.until = now + record.eject_s
            record.eject_s = min(MAX_EJECT_S, record.eject_s * 2)
