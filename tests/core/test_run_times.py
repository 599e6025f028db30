"""Tests of the durations that a host remembers."""

import testtools

from waxwingarch.core.exchange.run_times import WINDOW_S, RunTimes


class RecentDurations(testtools.TestCase):
    def test_longest_of_a_route(self) -> None:
        times = RunTimes()
        for route, duration_s in (("a", 1.0), ("a", 7.0), ("a", 2.0)):
            times.record(0.0, route, duration_s)
        self.assertEqual(7.0, times.longest_s(1.0, "a"))
        self.assertIsNone(times.longest_s(1.0, "b"))

    def test_is_forgotten_after_two_windows(self) -> None:
        for later, expected in ((1.5, 7.0), (2.5, None), (9.0, None)):
            times = RunTimes()
            times.record(0.0, "a", 7.0)
            self.assertEqual(expected, times.longest_s(later * WINDOW_S, "a"))
