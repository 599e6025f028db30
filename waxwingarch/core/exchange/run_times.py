"""How long the requests of each route have lasted or waited lately."""

from typing import Final

# A duration is forgotten after one to two windows.
WINDOW_S: Final = 30.0
# Weight of the newest response in the moving average of response times.
RESPONSE_WEIGHT: Final = 0.1


class RunTimes:
    """The longest recent duration of an exchange, by route.

    Times are on the node's clock, in seconds.
    """

    def __init__(self) -> None:
        self._window_ends_at = float("-inf")
        self._previous: dict[str, float] = {}
        self._current: dict[str, float] = {}

    def record(self, now: float, route: str, duration_s: float) -> None:
        """Record an exchange that has ended."""
        self._advance(now)
        self._current[route] = max(duration_s, self._current.get(route, 0.0))

    def longest_s(self, now: float, route: str) -> float | None:
        """Return the longest duration, None if none is known."""
        self._advance(now)
        known = [
            window[route]
            for window in (self._current, self._previous)
            if route in window
        ]
        return max(known, default=None)

    def _advance(self, now: float) -> None:
        if now < self._window_ends_at:
            return
        is_next = now < self._window_ends_at + WINDOW_S
        self._previous = self._current if is_next else {}
        self._current = {}
        self._window_ends_at = now + WINDOW_S


class ResponseTimes:
    """The mean time from a dispatch to the first byte, by route, in seconds.

    It follows the work of a service, also where that becomes slower.
    """

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def record(self, route: str, first_byte_s: float) -> None:
        """Record that a server has responded."""
        mean = self._means.get(route, first_byte_s)
        self._means[route] = mean + RESPONSE_WEIGHT * (first_byte_s - mean)

    def mean_s(self, route: str) -> float | None:
        """Return the mean, None if no response is known."""
        return self._means.get(route)
