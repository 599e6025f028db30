"""Tests of the times at which refused callers are told to return."""

from collections import Counter
from random import Random

import testtools

from waxwingarch.core.base import ServiceId
from waxwingarch.core.exchange.return_times import (
    DRAIN_WINDOW_S,
    MAX_RETURN_S,
    MAX_WAITING,
    SPREAD_FROM_RATIO,
    ReturnTimes,
)

POOL = ServiceId("pool")
DRAIN_PER_S = 20


class TimesOfReturn(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.times = ReturnTimes(Random(5))
        for n in range(5 * DRAIN_PER_S):
            self.times.record_end(n / DRAIN_PER_S, POOL)
        self.now = 5.0

    def assign(
        self, count: int, priority: int = 1, queued: int = 0
    ) -> list[float]:
        """Return the times of callers that are refused at once."""
        return [
            self.times.assign_s(self.now, POOL, priority, queued) or -1.0
            for _ in range(count)
        ]

    # Guards against callers that all return at once and are refused again:
    # 150 are refused at the same moment, at a drain of 20 a second.
    def test_returns_are_spread_over_the_time_in_which_room_comes(
        self,
    ) -> None:
        drain = self.times.drain_per_s(self.now, POOL)
        self.assertAlmostEqual(DRAIN_PER_S, drain, delta=1.0)
        assigned = self.assign(150)
        by_second = Counter(int(at) for at in assigned)
        self.assertLessEqual(max(by_second.values()), 1.1 * DRAIN_PER_S)
        self.assertAlmostEqual(150 / DRAIN_PER_S, max(assigned), delta=0.5)

    # Guards against urgent callers that queue behind less urgent ones, and
    # against less urgent ones that are told the time of an urgent one.
    def test_urgent_callers_return_first(self) -> None:
        self.assign(100, priority=2)
        urgent = self.assign(20, priority=0)
        self.assertLess(max(urgent), 1.2)
        # Requests that wait on servers are ahead of all.
        [last] = self.assign(1, priority=2, queued=40)
        self.assertAlmostEqual(160 / DRAIN_PER_S, last, delta=0.5)

    # Guards against waits that grow with callers that have returned.
    def test_callers_that_have_returned_are_not_counted(self) -> None:
        self.assign(60)
        self.assertEqual(60, self.times.waiting_count(self.now, POOL))
        left = self.times.waiting_count(self.now + 1.5, POOL)
        self.assertAlmostEqual(30, left, delta=3)

    # Guards against a time from a drain that is not known or long past.
    def test_no_time_without_a_known_drain(self) -> None:
        other = ServiceId("other")
        self.assertIsNone(self.times.assign_s(self.now, other, 0))
        self.times.record_end(self.now, other)
        self.assertIsNone(self.times.assign_s(self.now + 0.5, other, 0))
        later = self.now + DRAIN_WINDOW_S + 1.0
        self.assertIsNone(self.times.assign_s(later, POOL, 0))
        self.times.record_end(later, POOL)
        self.assertIsNone(self.times.drain_per_s(later + 0.1, POOL))

    # Guards against waits and memory without a bound in a long overload.
    def test_waits_and_memory_are_bounded(self) -> None:
        assigned = self.assign(MAX_WAITING + 50)
        self.assertLessEqual(max(assigned), MAX_RETURN_S)
        earliest = min(assigned[-100:])
        self.assertGreaterEqual(earliest, MAX_RETURN_S * SPREAD_FROM_RATIO)
        self.assertLess(earliest, MAX_RETURN_S * 0.6)
        waiting = self.times.waiting_count(self.now, POOL)
        self.assertEqual(MAX_WAITING, waiting)
