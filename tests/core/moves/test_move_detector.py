"""Tests of the sequential change detection."""

from math import exp
from random import Random

from testtools import TestCase

from waxwingarch.core.moves.move_detector import (
    ALTERNATIVES,
    FAILURE_TOLERANCE,
    MAX_RATE,
    WINDOWS_TO_STOP,
    Reference,
    Sample,
    Stream,
    null_odds_rate,
    null_rate,
    threshold,
    trials_needed,
    window_scores,
)

STEPS = 100_000


class ThresholdTest(TestCase):
    def test_chances_add_up_to_the_stated_rate(self) -> None:
        total = sum(exp(-threshold(k, STEPS, 0.01)) for k in range(STEPS))
        self.assertLessEqual(total, 0.0101)
        self.assertGreater(total, 0.005)

    def test_grows(self) -> None:
        self.assertLess(threshold(0, STEPS), threshold(STEPS, STEPS))


class StreamTest(TestCase):
    def test_sound_versions_stopped_within_the_stated_rate(self) -> None:
        """At the highest rate that is no worse; one stream, 100 windows."""
        rng = Random(7)
        stopped = 0
        alpha, runs, windows = 0.1, 300, 100
        steps = windows * len(ALTERNATIVES)
        for _ in range(runs):
            stream, worst = Stream(), 0.0
            for window in range(windows):
                hits = sum(rng.random() < 0.05 for _ in range(5))
                limit = threshold(window * len(ALTERNATIVES), steps, alpha)
                sample = Sample(trials=5, hits=hits)
                stream.add(window_scores(sample, 0.05), limit)
                worst = max(worst, stream.score / limit)
            stopped += worst >= 1
        self.assertLessEqual(stopped / runs, alpha)

    def test_bad_version_is_stopped_by_the_trials_stated(self) -> None:
        rng = Random(7)
        limit = threshold(STEPS, STEPS)
        needed = trials_needed(limit, 0.05, 0.25)
        missed = 0
        for _ in range(300):
            stream = Stream()
            for _ in range(needed):
                sample = Sample(trials=1, hits=int(rng.random() < 0.3))
                stream.add(window_scores(sample, 0.05), limit)
            missed += stream.score < limit
        self.assertLessEqual(missed / 300, 0.05)

    def test_one_window_is_not_enough(self) -> None:
        stream = Stream()
        gains = window_scores(Sample(trials=500, hits=500), 0.05)
        for window in range(1, WINDOWS_TO_STOP + 1):
            self.assertLess(stream.score, 10.0)
            stream.add(gains, 10.0)
            part = window / WINDOWS_TO_STOP
            self.assertAlmostEqual(10.0 * part, stream.score)


class ReferenceTest(TestCase):
    def test_rate_rises_with_this_window(self) -> None:
        reference = Reference()
        for _ in range(20):
            reference.add(Sample(trials=20, hits=0))
        self.assertEqual(0.0, reference.rate())
        reference.add(Sample(trials=20, hits=10))
        self.assertEqual(0.5, reference.rate())

    def test_known(self) -> None:
        reference = Reference()
        self.assertFalse(reference.known)
        reference.add(Sample(trials=20, hits=0))
        self.assertTrue(reference.known)

    def test_odds_leave_room_at_the_top(self) -> None:
        self.assertAlmostEqual(0.6, null_odds_rate(0.5, 0.0))
        self.assertAlmostEqual(0.75, null_rate(0.5, 0.0))
        self.assertLess(null_odds_rate(1.0, 0.0), MAX_RATE)

    def test_null_rate_stays_in_range(self) -> None:
        self.assertEqual(FAILURE_TOLERANCE, null_rate(0.0, FAILURE_TOLERANCE))
        self.assertLess(null_rate(1.0, FAILURE_TOLERANCE), MAX_RATE)
