"""Estimates of how long requests occupy a slot."""

from typing import Final

from waxwingarch.core.base import ServerKind
from waxwingarch.core.limits.admission_messages import PendingRequest
from waxwingarch.core.request import Request

SMOOTHING_FACTOR: Final = 0.1


class DurationTracker:
    """Moving averages of request durations, by service and route."""

    def __init__(self) -> None:
        self._average_s: dict[tuple[str, str], float] = {}

    def record_duration(self, request: Request, duration_s: float) -> None:
        """Update the average with a request that succeeded."""
        key = (request.service, request.route)
        average_s = self._average_s.get(key, duration_s)
        self._average_s[key] = average_s + SMOOTHING_FACTOR * (
            duration_s - average_s
        )

    def pending_request(self, request: Request) -> PendingRequest:
        """Return a request in the form that admission control expects."""
        key = (request.service, request.route)
        return PendingRequest(
            request_id=request.request_id,
            account=request.account,
            expected_s=self._average_s.get(key, 0.0),
            deadline=request.deadline,
            streaming=request.kind is ServerKind.ENGINE,
        )
