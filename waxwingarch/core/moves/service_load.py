"""Estimates which share of a service's requests fills a server."""

from typing import Final

# Share of the slots in use at full load; well inside the high load band.
FULL_LOAD_RATIO: Final = 0.95
# Weight of the newest reading; at one per second, a time constant of 10 s.
READING_WEIGHT: Final = 0.1


class ServiceLoad:
    """The requests in progress on one service, as a moving average."""

    def __init__(self) -> None:
        self._mean_running: float | None = None

    def record_running(self, running: int) -> None:
        """Add a reading of the requests in progress on all servers."""
        previous = (
            running if self._mean_running is None else self._mean_running
        )
        self._mean_running = previous + READING_WEIGHT * (running - previous)

    def full_load_share(self, slots: float) -> float:
        """Return the share of the service's requests that fills `slots`.

        It is above 1 if all requests together don't fill them.
        """
        return FULL_LOAD_RATIO * slots / max(self._mean_running or 0.0, 1.0)
