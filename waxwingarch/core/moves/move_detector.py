"""Sequential change detection between two versions of a service.

Each stream runs one CUSUM an alternative over log-likelihood ratios of
Bernoulli outcomes. Under the null hypothesis a run of evidence that
begins at a given step ever exceeds `x` with chance `exp(-x)` at most (a
likelihood ratio is a martingale), and a CUSUM is the best of the runs
that begin at any of its steps. So one threshold covers all routes, load
bands, signals and alternatives by counting all their steps. A CUSUM
restarts at zero, so a late fault is found as fast as an early one.
"""

from dataclasses import dataclass, field
from math import ceil, log, log1p, sqrt
from typing import Final

WINDOW_S: Final = 0.5
FALSE_STOP_RATE: Final = 0.008
EARLY_STEPS: Final = 2000
ALTERNATIVES: Final = (0.08, 0.25, 0.6)
RATIO_TOLERANCE: Final = 1.5
FAILURE_TOLERANCE: Final = 0.01
SLOWNESS_TOLERANCE: Final = 0.08
BLIND_TOLERANCE: Final = 0.05
MAX_RATE: Final = 0.97
WINDOWS_TO_STOP: Final = 4
FAST_DECAY: Final = 0.93
SLOW_DECAY: Final = 0.998
MIN_WINDOW_REQUESTS: Final = 5
MIN_REFERENCE_REQUESTS: Final = 20.0
POWER_QUANTILE: Final = 1.65
NOTABLE_EXCESS: Final = 0.2


@dataclass(frozen=True, kw_only=True, slots=True)
class Sample:
    """Bernoulli outcomes of one version: `hits` among `trials`."""

    trials: int = 0
    hits: int = 0


def threshold(
    step: int, planned_steps: int, alpha: float = FALSE_STOP_RATE
) -> float:
    """Return the score that stops a version at this step.

    A run of evidence that begins at step `k` exceeds `x` with chance
    `exp(-x)` at most. The thresholds grow so that these chances add up
    to `alpha` over `planned_steps`, with more of it spent early, while
    the share is small.
    """
    spread = log1p(planned_steps / EARLY_STEPS)
    return log(spread * (step + EARLY_STEPS) / alpha)


def log_likelihood_ratio(sample: Sample, null: float, other: float) -> float:
    """Return the evidence in `sample` for rate `other` against `null`."""
    misses = sample.trials - sample.hits
    gain = log(other / null)
    loss = log1p(-other) - log1p(-null)
    return sample.hits * gain + misses * loss


def trials_needed(limit: float, null: float, excess: float) -> int:
    """Return how many trials show a rate that exceeds `null` by `excess`.

    In 95 of 100 cases; by the normal approximation of the score's sum.
    """
    other = min(null + excess, MAX_RATE)
    gain = log(other / null)
    loss = log1p(-other) - log1p(-null)
    mean = other * gain + (1 - other) * loss
    spread = POWER_QUANTILE * (gain - loss) * sqrt(other * (1 - other))
    root = (spread + sqrt(spread**2 + 4 * mean * limit)) / (2 * mean)
    return ceil(root**2)


@dataclass(kw_only=True, slots=True)
class Reference:
    """Rate of the old version: this window, the last seconds, and long."""

    window: Sample = Sample()
    fast_trials: float = 0.0
    fast_hits: float = 0.0
    slow_trials: float = 0.0
    slow_hits: float = 0.0

    def add(self, sample: Sample) -> None:
        """Take in one window of the old version."""
        self.window = sample
        self.fast_trials = self.fast_trials * FAST_DECAY + sample.trials
        self.fast_hits = self.fast_hits * FAST_DECAY + sample.hits
        self.slow_trials = self.slow_trials * SLOW_DECAY + sample.trials
        self.slow_hits = self.slow_hits * SLOW_DECAY + sample.hits

    @property
    def known(self) -> bool:
        """Whether the old version was seen often enough to compare."""
        return self.slow_trials >= MIN_REFERENCE_REQUESTS

    def rate(self) -> float:
        """Return a cautious (high) estimate of the old version's rate.

        The highest of three horizons: overload that strikes both
        versions raises the estimate within the same window.
        """
        rates = [self.slow_hits / self.slow_trials if self.known else 0.0]
        if self.fast_trials >= MIN_WINDOW_REQUESTS:
            rate = self.fast_hits / self.fast_trials
            rates.append(rate + sqrt(rate * (1 - rate) / self.fast_trials))
        if self.window.trials >= MIN_WINDOW_REQUESTS:
            rates.append(self.window.hits / self.window.trials)
        return max(rates)


def null_rate(reference: float, tolerance: float) -> float:
    """Return the highest rate that still counts as no worse."""
    rate = RATIO_TOLERANCE * reference + tolerance
    return min(max(rate, tolerance), MAX_RATE - 0.02)


def null_odds_rate(reference: float, tolerance: float) -> float:
    """Return the same by the ratio of odds, which leaves room at the top.

    Where half of the old version's answers are slow, a rate of half as
    many again would leave next to nothing to tell a slow version by.
    """
    odds = RATIO_TOLERANCE * reference
    rate = odds / (1 - reference + odds) + tolerance
    return min(max(rate, tolerance), MAX_RATE - 0.02)


def window_scores(sample: Sample, null: float) -> tuple[float, ...]:
    """Return the evidence of one window for each alternative."""
    return tuple(
        log_likelihood_ratio(sample, null, min(null + excess, MAX_RATE))
        for excess in ALTERNATIVES
    )


@dataclass(kw_only=True, slots=True)
class Stream:
    """CUSUMs of one stream of windows, one an alternative.

    A window adds at most a fixed part of the limit, so that a burst of
    failures with one cause is never enough on its own.
    """

    scores: list[float] = field(
        default_factory=lambda: [0.0] * len(ALTERNATIVES)
    )

    def add(self, gains: tuple[float, ...], limit: float) -> None:
        """Take in the evidence of one window."""
        cap = limit / WINDOWS_TO_STOP
        for i, gain in enumerate(gains):
            self.scores[i] = max(0.0, self.scores[i] + min(gain, cap))

    @property
    def score(self) -> float:
        """The highest score over the alternatives."""
        return max(self.scores)
