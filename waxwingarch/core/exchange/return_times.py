"""When callers that were refused for want of capacity should return.

The time follows from how many requests of a service end in a second on this
host, and from how many wait already. It is not yet used by a refusal.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Final

from waxwingarch.core.base import ServiceId
from waxwingarch.core.limits.window import WindowSum
from waxwingarch.core.randomness import RandomSource

# The drain is measured over this time. A host among seventy ends some five
# requests a second, so that a shorter time gives mostly noise.
DRAIN_WINDOW_S: Final = 4.0
# With fewer ends in the window the drain is not known.
MIN_ENDS: Final = 4
# A caller that returns earlier finds the same load.
MIN_RETURN_S: Final = 0.1
# A caller that would have to wait for longer is told a random time between
# this share of it and the whole: the drain will have changed by then.
MAX_RETURN_S: Final = 10.0
SPREAD_FROM_RATIO: Final = 0.5
# Return times that are kept for one service; those beyond it are not counted.
MAX_WAITING: Final = 4096


@dataclass(kw_only=True, slots=True)
class _ServiceReturns:
    """The ends of requests, and the return times by priority, as heaps."""

    first_end_at: float
    ends: WindowSum = field(default_factory=lambda: WindowSum(DRAIN_WINDOW_S))
    returns_at: dict[int, list[float]] = field(default_factory=dict)

    def drain_per_s(self, now: float) -> float | None:
        """Return how many requests end in a second, None if unknown."""
        ends = self.ends.total(now)
        known_s = min(DRAIN_WINDOW_S, now - self.first_end_at)
        if ends < MIN_ENDS or known_s <= 0:
            return None
        return ends / known_s

    def waiting(self, now: float) -> Iterator[tuple[int, int]]:
        """Yield each priority with the number of callers yet to return."""
        for priority, times in self.returns_at.items():
            while times and times[0] <= now:
                heappop(times)
            yield priority, len(times)


class ReturnTimes:
    """Assigns return times to refused callers, by service.

    The callers of one service return one after the other at the rate at
    which its requests end, the urgent ones first.
    """

    def __init__(self, rng: RandomSource) -> None:
        self._rng = rng
        self._services: dict[ServiceId, _ServiceReturns] = {}

    def record_end(self, now: float, service: ServiceId) -> None:
        """Record that a request ended and left room on its server.

        The end of a request whose server is lost leaves none, and is not
        to be recorded.
        """
        state = self._services.get(service)
        if state is None:
            state = _ServiceReturns(first_end_at=now)
            self._services[service] = state
        elif not state.ends.total(now):
            state.first_end_at = now
        state.ends.add(now, 1.0)

    def drain_per_s(self, now: float, service: ServiceId) -> float | None:
        """Return how many requests end in a second, None if unknown."""
        state = self._services.get(service)
        return None if state is None else state.drain_per_s(now)

    def waiting_count(self, now: float, service: ServiceId) -> int:
        """Return how many callers were told to return, and have not yet."""
        state = self._services.get(service)
        if state is None:
            return 0
        return sum(count for _, count in state.waiting(now))

    def assign_s(
        self, now: float, service: ServiceId, priority: int, queued: int = 0
    ) -> float | None:
        """Return in how many seconds a refused caller should return.

        Priority 0 is the most urgent: only callers that are at least as
        urgent are ahead. `queued` requests of this host wait on servers, and
        are ahead of all callers. Returns None if the drain is not known.
        """
        state = self._services.get(service)
        drain_per_s = None if state is None else state.drain_per_s(now)
        if state is None or drain_per_s is None:
            return None
        waiting = dict(state.waiting(now))
        ahead = queued + sum(
            count for other, count in waiting.items() if other <= priority
        )
        return_s = (ahead + self._rng.random()) / drain_per_s
        if return_s > MAX_RETURN_S:
            return_s = self._rng.uniform(
                MAX_RETURN_S * SPREAD_FROM_RATIO, MAX_RETURN_S
            )
        return_s = max(MIN_RETURN_S, return_s)
        if sum(waiting.values()) < MAX_WAITING:
            heappush(state.returns_at.setdefault(priority, []), now + return_s)
        return return_s
