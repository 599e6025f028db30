"""Outlier ejection: failing servers get no requests for some seconds."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from waxwingarch.core.base import RequestId, ServerId
from waxwingarch.core.placement.placement_messages import ServerView

CONSECUTIVE_FAILURES_TO_EJECT: Final = 3
FIRST_EJECTION_S: Final = 2.0
MAX_EJECTION_S: Final = 60.0
MAX_EJECTED_FRACTION: Final = 0.5


class Health(StrEnum):
    """Whether placement may choose a server.

    An ejected server gets no request, one on probation a single probe.
    """

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBATION = "probation"


class HealthEvent(StrEnum):
    """Events that change the health of a server.

    `FAILED_OFTEN` is a failure after which there have been at least
    `CONSECUTIVE_FAILURES_TO_EJECT` in a row; `FAILED` is one before that.
    `TIME_UP` is the end of an ejection.
    """

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
class _ServerHealth:
    """Health of one server; `failures` counts consecutive ones.

    `probe_id` is the request that probes a server on probation.
    """

    health: Health = Health.HEALTHY
    failures: int = 0
    next_ejection_s: float = FIRST_EJECTION_S
    ejected_until: float = 0.0
    probe_id: RequestId | None = None


class OutlierDetector:
    """Ejects servers after consecutive failures.

    After an ejection one request at a time probes the server; a failed
    probe ejects it for twice as long as before, up to `MAX_EJECTION_S`.
    When more than `MAX_EJECTED_FRACTION` of the candidates are ejected,
    the fault is more likely to be elsewhere and all of them are eligible.
    """

    def __init__(self) -> None:
        self._records: dict[ServerId, _ServerHealth] = {}

    def health(self, now: float, server_id: ServerId) -> Health:
        """Return a server's health; an ejection that is over is ended."""
        record = self._records.get(server_id)
        if record is None:
            return Health.HEALTHY
        if record.health is Health.EJECTED and now >= record.ejected_until:
            self._transition(now, record, HealthEvent.TIME_UP)
        return record.health

    def filter_candidates(
        self, now: float, candidates: Sequence[ServerView]
    ) -> Sequence[ServerView]:
        """Return the candidates that may get a request."""
        if not self._records:
            return candidates
        allowed = [
            view
            for view in candidates
            if self._is_eligible(now, view.server.server_id)
        ]
        if len(allowed) < len(candidates) * (1 - MAX_EJECTED_FRACTION):
            return candidates
        return allowed

    def record_dispatch(
        self, now: float, request_id: RequestId, server_id: ServerId
    ) -> None:
        """Make the request the probe of a server on probation."""
        if self.health(now, server_id) is Health.PROBATION:
            record = self._records[server_id]
            record.probe_id = record.probe_id or request_id

    def record_success(self, now: float, server_id: ServerId) -> None:
        """Reset the failure count; a server on probation becomes healthy."""
        record = self._records.get(server_id)
        if record is None:
            return
        record.failures = 0
        record.probe_id = None
        self._transition(now, record, HealthEvent.OK)
        if record.health is Health.HEALTHY:
            del self._records[server_id]

    def record_failure(self, now: float, server_id: ServerId) -> None:
        """Count a failure; eject the server on probation or at the limit."""
        record = self._records.setdefault(server_id, _ServerHealth())
        record.failures += 1
        record.probe_id = None
        at_limit = record.failures >= CONSECUTIVE_FAILURES_TO_EJECT
        self._transition(
            now,
            record,
            HealthEvent.FAILED_OFTEN if at_limit else HealthEvent.FAILED,
        )

    def record_cancellation(
        self, request_id: RequestId, server_id: ServerId
    ) -> None:
        """Let another request probe the server if this was its probe."""
        record = self._records.get(server_id)
        if record is not None and record.probe_id == request_id:
            record.probe_id = None

    def remove_server(self, server_id: ServerId) -> None:
        """Drop the health of a server that no longer exists."""
        self._records.pop(server_id, None)

    def _is_eligible(self, now: float, server_id: ServerId) -> bool:
        health = self.health(now, server_id)
        if health is Health.PROBATION:
            return self._records[server_id].probe_id is None
        return health is Health.HEALTHY

    def _transition(
        self, now: float, record: _ServerHealth, event: HealthEvent
    ) -> None:
        target = TRANSITIONS.get((record.health, event))
        if target is None:
            return
        record.health = target
        if target is Health.EJECTED:
            record.ejected_until = now + record.next_ejection_s
            record.next_ejection_s = min(
                MAX_EJECTION_S, record.next_ejection_s * 2
            )
