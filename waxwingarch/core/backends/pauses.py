"""Servers that asked this host to send them nothing for a time."""

from typing import Final

from waxwingarch.core.base import ServerId
from waxwingarch.core.randomness import RandomSource

# The longest pause that a server is granted.
MAX_PAUSE_S: Final = 60.0
# Each pause is extended by a random share of itself up to this, so that the
# hosts that a full server has turned away do not return at the same moment.
PAUSE_SPREAD_RATIO: Final = 0.25


class ServerPauses:
    """Until when servers get no requests from this host.

    A pause holds also if the service has no other server.
    """

    def __init__(self, rng: RandomSource) -> None:
        self._rng = rng
        self._ends_at: dict[ServerId, float] = {}

    def __len__(self) -> int:
        return len(self._ends_at)

    def record(
        self, now: float, server_id: ServerId, retry_after_s: float
    ) -> float:
        """Record that a server asked for a pause; return its length."""
        pause_s = min(retry_after_s, MAX_PAUSE_S)
        pause_s *= 1 + PAUSE_SPREAD_RATIO * self._rng.random()
        ends_at = max(now + pause_s, self._ends_at.get(server_id, now))
        self._ends_at[server_id] = ends_at
        return ends_at - now

    def is_paused(self, now: float, server_id: ServerId) -> bool:
        """Return whether a server wants no requests from this host now."""
        ends_at = self._ends_at.get(server_id)
        if ends_at is None:
            return False
        if now < ends_at:
            return True
        del self._ends_at[server_id]
        return False

    def remaining_s(self, now: float, server_id: ServerId) -> float:
        """Return how long a server's pause still lasts, 0 without one."""
        if not self.is_paused(now, server_id):
            return 0.0
        return self._ends_at[server_id] - now

    def forget(self, server_id: ServerId) -> None:
        """Drop the pause of a server that has departed or restarted."""
        self._ends_at.pop(server_id, None)
