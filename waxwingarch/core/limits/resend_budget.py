"""The budget for sending requests again that all hosts keep together."""

from typing import Final

from waxwingarch.core.base import ServiceId
from waxwingarch.core.limits.window import WindowSum

# This part of the allowance is used; the rest covers that requests are
# counted here a little before servers see them.
USED_PART: Final = 0.85


class ResendBudget:
    """This host's part of the sends beyond the first of each request.

    Over a window they are at most `ratio` of the requests for a service
    plus this host's even part of `extra`.
    """

    def __init__(self, *, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._hosts = 1
        self._first: dict[ServiceId, WindowSum] = {}
        self._again: dict[ServiceId, WindowSum] = {}

    def set_host_count(self, hosts: int) -> None:
        """Set how many hosts share the budget."""
        self._hosts = max(1, hosts)

    def count(self, now: float, service: ServiceId) -> None:
        """Count a caller's request for a service."""
        self._window(self._first, service).add(now, 1)

    def spend(self, now: float, service: ServiceId) -> bool:
        """Take one send beyond the first; False if none is left."""
        first = self._window(self._first, service).at(now)
        again = self._window(self._again, service)
        allowed = self._ratio * first + self._extra / self._hosts
        if again.at(now) + 1 > allowed * USED_PART:
            return False
        again.add(now, 1)
        return True

    def _window(
        self, windows: dict[ServiceId, WindowSum], service: ServiceId
    ) -> WindowSum:
        window = windows.get(service)
        if window is None:
            window = WindowSum(self._window_s)
            windows[service] = window
        return window
