"""Sequential evidence that a new version is sound.

A CUSUM shows that a version is bad. That it has shown nothing yet may
only mean that little is known, so the opposite is tested as well: each
score adds up how much likelier the outcomes are for a sound version than
for one whose rate exceeds the null rate by a fixed amount. A score never
exceeds `MAX_SCORE`, so that a late fault lowers it soon. Outcomes of one
window may have a single cause, such as a pause of a host, so that a window
lowers a score by a limited amount.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import log
from typing import Final

from waxwingarch.core.moves.move_counts import Signal
from waxwingarch.core.moves.move_detector import (
    MAX_RATE,
    Sample,
    log_likelihood_ratio,
)

ALL_ROUTES: Final = "*"
# Greatest probability of calling a version sound whose rate over all routes
# exceeds the null rate by `EXCESS`, or on one route by `ROUTE_EXCESS`.
FALSE_TRUST_RATE: Final = 0.02
EXCESS: Final = 0.25
ROUTE_EXCESS: Final = 0.6
TRUSTED_SCORE: Final = -log(FALSE_TRUST_RATE)
# At this score a bad version is likelier by the factor e.
DOUBTFUL_SCORE: Final = -1.0
# Above this null rate, hardly any outcome tells the versions apart.
MAX_NULL_RATE: Final = 0.75
MAX_SCORE: Final = 2 * TRUSTED_SCORE
# No fewer windows than these take a score from the highest to a doubtful one.
MIN_WINDOWS_TO_DOUBT: Final = 2
MAX_WINDOW_LOSS: Final = (MAX_SCORE - DOUBTFUL_SCORE) / MIN_WINDOWS_TO_DOUBT
# A route with a smaller share of the requests needs less than TRUSTED_SCORE:
# the less is at stake, the closer to DOUBTFUL_SCORE.
FULL_ROUTE_SHARE: Final = 0.5

ScoreKey = tuple[str, Signal]


@dataclass(kw_only=True, slots=True)
class Confidence:
    """Scores that a version is sound, by route and signal."""

    _scores: dict[ScoreKey, float] = field(default_factory=dict)
    _window_gains: dict[ScoreKey, float] = field(default_factory=dict)
    _telling: dict[ScoreKey, int] = field(default_factory=dict)
    _not_telling: dict[ScoreKey, int] = field(default_factory=dict)

    def add(
        self, route: str, signal: Signal, sample: Sample, null: float
    ) -> None:
        """Add the new version's outcomes on a route in one window."""
        is_telling = null <= MAX_NULL_RATE
        outcomes = self._telling if is_telling else self._not_telling
        outcomes[route, signal] = (
            outcomes.get((route, signal), 0) + sample.trials
        )
        if not is_telling:
            return
        for key, excess in ((ALL_ROUTES, EXCESS), (route, ROUTE_EXCESS)):
            alternative = min(null + excess, MAX_RATE)
            gain = -log_likelihood_ratio(sample, null, alternative)
            before = self._window_gains.get((key, signal), 0.0)
            self._window_gains[key, signal] = before + gain

    def end_window(self) -> None:
        """Add what the outcomes of the window say to the scores."""
        for key, gain in self._window_gains.items():
            score = self._scores.get(key, 0.0) + max(gain, -MAX_WINDOW_LOSS)
            self._scores[key] = min(MAX_SCORE, max(-MAX_SCORE, score))
        self._window_gains.clear()

    def find_gap(self, route_shares: Mapping[str, float]) -> str:
        """Return the first score that is too low; empty if there is none.

        A route on which most slow answers can't be told from usual ones
        needs no score of its own for them.
        """
        needed = {ALL_ROUTES: TRUSTED_SCORE} | {
            route: _needed_score(share)
            for route, share in route_shares.items()
        }
        for signal in Signal:
            for route, level in needed.items():
                key = (route, signal)
                if route != ALL_ROUTES and signal is Signal.SLOWNESS:
                    level = level if self._can_tell(key) else DOUBTFUL_SCORE
                score = self._scores.get(key, 0.0)
                if score < level:
                    return (
                        f"{signal} on route {route}: {score:.1f} of "
                        f"{level:.1f} for a sound version"
                    )
        return ""

    def _can_tell(self, key: ScoreKey) -> bool:
        """Return whether most outcomes could tell the versions apart."""
        return self._telling.get(key, 0) > self._not_telling.get(key, 0)

    @property
    def is_doubtful(self) -> bool:
        """Whether a bad version is the likelier one on some route."""
        return min(self._scores.values(), default=0.0) <= DOUBTFUL_SCORE


def _needed_score(share: float) -> float:
    """Return the score that a route with a share of the requests needs."""
    part = min(1.0, share / FULL_ROUTE_SHARE)
    return DOUBTFUL_SCORE + part * (TRUSTED_SCORE - DOUBTFUL_SCORE)
