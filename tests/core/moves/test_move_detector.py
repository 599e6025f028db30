"""Tests of the sequential change detection."""

from math import exp
from random import Random

from testtools import TestCase

from waxwingarch.core.moves.move_detector import (
    ALTERNATIVE_EXCESSES,
    FAILURE_TOLERANCE,
    MAX_RATE,
    MIN_WINDOWS_TO_STOP,
    CusumStream,
    ReferenceRate,
    Sample,
    null_odds_rate,
    null_rate,
    stop_threshold,
    trials_needed,
    window_scores,
)

STEPS = 100_000


class ThresholdTest(TestCase):
    def test_false_stop_probabilities_add_up_to_alpha(self) -> None:
        total = sum(exp(-stop_threshold(k, STEPS, 0.01)) for k in range(STEPS))
        self.assertLessEqual(total, 0.0101)
        self.assertGreater(total, 0.005)

    def test_threshold_grows_with_the_step(self) -> None:
        self.assertLess(stop_threshold(0, STEPS), stop_threshold(STEPS, STEPS))


class StreamTest(TestCase):
    def test_sound_versions_are_stopped_at_most_at_the_rate_alpha(
        self,
    ) -> None:
        """Runs one stream for 100 windows at the null rate."""
        rng = Random(7)
        stopped = 0
        alpha, runs, windows = 0.1, 300, 100
        steps = windows * len(ALTERNATIVE_EXCESSES)
        for _ in range(runs):
            stream, worst = CusumStream(), 0.0
            for window in range(windows):
                hits = sum(rng.random() < 0.05 for _ in range(5))
                threshold = stop_threshold(
                    window * len(ALTERNATIVE_EXCESSES), steps, alpha
                )
                sample = Sample(trials=5, hits=hits)
                stream.add(window_scores(sample, 0.05), threshold)
                worst = max(worst, stream.score / threshold)
            stopped += worst >= 1
        self.assertLessEqual(stopped / runs, alpha)

    def test_bad_version_is_detected_within_the_trials_needed(self) -> None:
        rng = Random(7)
        threshold = stop_threshold(STEPS, STEPS)
        needed = trials_needed(threshold, 0.05, 0.25)
        missed = 0
        for _ in range(300):
            stream = CusumStream()
            for _ in range(needed):
                sample = Sample(trials=1, hits=int(rng.random() < 0.3))
                stream.add(window_scores(sample, 0.05), threshold)
            missed += stream.score < threshold
        self.assertLessEqual(missed / 300, 0.05)

    def test_one_window_does_not_reach_the_threshold(self) -> None:
        stream = CusumStream()
        gains = window_scores(Sample(trials=500, hits=500), 0.05)
        for window in range(1, MIN_WINDOWS_TO_STOP + 1):
            self.assertLess(stream.score, 10.0)
            stream.add(gains, 10.0)
            share = window / MIN_WINDOWS_TO_STOP
            self.assertAlmostEqual(10.0 * share, stream.score)


class ReferenceTest(TestCase):
    def test_rate_rises_within_the_current_window(self) -> None:
        reference = ReferenceRate()
        for _ in range(20):
            reference.add(Sample(trials=20, hits=0))
        self.assertEqual(0.0, reference.rate())
        reference.add(Sample(trials=20, hits=10))
        self.assertEqual(0.5, reference.rate())

    def test_rate_is_known_after_enough_requests(self) -> None:
        reference = ReferenceRate()
        self.assertFalse(reference.is_known)
        reference.add(Sample(trials=20, hits=0))
        self.assertTrue(reference.is_known)

    def test_odds_ratio_leaves_room_at_high_rates(self) -> None:
        self.assertAlmostEqual(0.6, null_odds_rate(0.5, 0.0))
        self.assertAlmostEqual(0.75, null_rate(0.5, 0.0))
        self.assertLess(null_odds_rate(1.0, 0.0), MAX_RATE)

    def test_null_rate_stays_in_range(self) -> None:
        self.assertEqual(FAILURE_TOLERANCE, null_rate(0.0, FAILURE_TOLERANCE))
        self.assertLess(null_rate(1.0, FAILURE_TOLERANCE), MAX_RATE)
