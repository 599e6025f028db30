"""How long requests hold a slot, by service and route."""

from typing import Final

from waxwingarch.core.base import ServerKind
from waxwingarch.core.limits.admission_messages import PendingRequest
from waxwingarch.core.request import Request

WEIGHT: Final = 0.1


class Durations:
    """Moving averages of what requests took, in seconds."""

    def __init__(self) -> None:
        self._known: dict[tuple[str, str], float] = {}

    def note(self, request: Request, took_s: float) -> None:
        """Learn from a request that ended well."""
        key = (request.service, request.route)
        known = self._known.get(key, took_s)
        self._known[key] = known + WEIGHT * (took_s - known)

    def pending(self, request: Request) -> PendingRequest:
        """Return what the admission is to know of a request."""
        key = (request.service, request.route)
        return PendingRequest(
            request_id=request.request_id,
            account=request.account,
            expected_s=self._known.get(key, 0.0),
            deadline=request.deadline,
            streaming=request.kind is ServerKind.ENGINE,
        )
