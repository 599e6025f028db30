"""Tests of the evidence that a new version is sound."""

from testtools import TestCase

from waxwingarch.core.moves.move_confidence import (
    MAX_NULL_RATE,
    MIN_WINDOWS_TO_DOUBT,
    Confidence,
)
from waxwingarch.core.moves.move_counts import Signal
from waxwingarch.core.moves.move_detector import Sample

SLOW = Sample(trials=100, hits=100)
FAST = Sample(trials=20, hits=0)
NULL = 0.2


def add_window(
    confidence: Confidence,
    route: str,
    sample: Sample,
    null: float = NULL,
    signal: Signal = Signal.SLOWNESS,
) -> None:
    """Add the outcomes of one window on one route."""
    confidence.add(route, signal, sample, null)
    confidence.end_window()


def trusted() -> Confidence:
    """Return the scores of a version that is sound by all outcomes."""
    confidence = Confidence()
    for signal in Signal:
        for _ in range(4):
            add_window(confidence, "draft", FAST, signal=signal)
    return confidence


class Bursts(TestCase):
    """Outcomes of one window may have a single cause."""

    def test_no_single_window_makes_a_trusted_version_doubtful(self) -> None:
        for signal in Signal:
            confidence = trusted()
            add_window(confidence, "draft", SLOW, signal=signal)
            self.assertFalse(confidence.is_doubtful)

    def test_a_few_bad_windows_do(self) -> None:
        confidence = trusted()
        for _ in range(MIN_WINDOWS_TO_DOUBT):
            add_window(confidence, "draft", SLOW)
        self.assertTrue(confidence.is_doubtful)

    def test_one_window_is_enough_where_nothing_is_known(self) -> None:
        confidence = Confidence()
        add_window(confidence, "draft", SLOW)
        self.assertTrue(confidence.is_doubtful)


class RouteWithoutComparison(TestCase):
    """A route where most answers are slow with the old version as well."""

    SHARES = {"draft": 0.75, "digest": 0.25}

    def scores(self, telling: int, not_telling: int) -> Confidence:
        """Return scores with a slow answer in each window of a route."""
        confidence = trusted()
        for _ in range(4):
            add_window(confidence, "digest", FAST, 0.01, signal=Signal.FAILURE)
        slow = Sample(trials=1, hits=1)
        for _ in range(telling):
            add_window(confidence, "digest", slow, MAX_NULL_RATE - 0.01)
        for _ in range(not_telling):
            add_window(confidence, "digest", slow, MAX_NULL_RATE + 0.01)
        return confidence

    # A single early comparison asked for a score that the route could not
    # get any more.
    def test_that_could_tell_nothing_needs_no_score(self) -> None:
        gap = self.scores(telling=1, not_telling=5).find_gap(self.SHARES)
        self.assertEqual("", gap)

    def test_that_could_mostly_tell_needs_one(self) -> None:
        gap = self.scores(telling=3, not_telling=2).find_gap(self.SHARES)
        self.assertIn("slowness on route digest", gap)
