"""Budget for the repeated sends of requests, shared by all hosts."""

from typing import Final

from waxwingarch.core.base import ServiceId
from waxwingarch.core.limits.window import WindowSum

# Only this share of the allowance is spent. Requests are counted here
# slightly before servers see them, which the rest compensates.
USED_RATIO: Final = 0.85


class ResendBudget:
    """Limits the sends of a host beyond the first one of each request.

    Within a window, the resends to a service are at most `ratio` of the
    requests for it plus this host's even share of `extra`.
    """

    def __init__(self, *, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._hosts = 1
        self._requests: dict[ServiceId, WindowSum] = {}
        self._resends: dict[ServiceId, WindowSum] = {}

    def set_host_count(self, hosts: int) -> None:
        """Set how many hosts share the budget."""
        self._hosts = max(1, hosts)

    def record_request(self, now: float, service: ServiceId) -> None:
        """Count a caller's request for a service."""
        self._window(self._requests, service).add(now, 1)

    def can_resend(self, now: float, service: ServiceId) -> bool:
        """Return whether one more resend is within the budget."""
        requests = self._window(self._requests, service).total(now)
        resends = self._window(self._resends, service).total(now)
        allowed = self._ratio * requests + self._extra / self._hosts
        return resends + 1 <= allowed * USED_RATIO

    def try_resend(self, now: float, service: ServiceId) -> bool:
        """Spend one resend; return False if the budget is used up."""
        if not self.can_resend(now, service):
            return False
        self._window(self._resends, service).add(now, 1)
        return True

    def _window(
        self, windows: dict[ServiceId, WindowSum], service: ServiceId
    ) -> WindowSum:
        window = windows.get(service)
        if window is None:
            window = WindowSum(self._window_s)
            windows[service] = window
        return window
