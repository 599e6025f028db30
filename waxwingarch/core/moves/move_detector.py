"""Sequential change detection between two versions of a service.

The null hypothesis is that the new version is no worse than the old one;
each alternative is a rate that exceeds the null rate by a fixed amount.
Each stream of outcomes (one signal on one route or all, in one load band
or all) runs one CUSUM per alternative over the log-likelihood ratios of
its Bernoulli outcomes.

Under the null hypothesis, a sum of log-likelihood ratios that begins at a
given step ever exceeds `x` with a probability of at most `exp(-x)`, as a
likelihood ratio is a martingale. A CUSUM is the greatest of the sums that
begin at any of its steps. One threshold therefore covers all routes, load
bands, signals and alternatives if it counts the steps of all of them. A
CUSUM never falls below zero, so a late fault is found as fast as an early
one.
"""

from dataclasses import dataclass, field
from math import ceil, log, log1p, sqrt
from typing import Final

# The counts of all hosts are judged at most once in each window.
WINDOW_S: Final = 0.5
# Greatest probability of stopping a sound version, over a whole move.
FALSE_STOP_RATE: Final = 0.008
# Step k may spend a part of FALSE_STOP_RATE that is proportional to
# 1 / (k + EARLY_SPENDING_STEPS).
EARLY_SPENDING_STEPS: Final = 2000
# How far above the null rate the alternative rates lie.
ALTERNATIVE_EXCESSES: Final = (0.08, 0.25, 0.6)
# The null rate is the old version's rate times the ratio plus a tolerance.
RATIO_TOLERANCE: Final = 1.5
FAILURE_TOLERANCE: Final = 0.01
SLOWNESS_TOLERANCE: Final = 0.08
# Tolerance for failures in a load band in which the old version has too few
# requests for a comparison; it is wider than FAILURE_TOLERANCE.
UNKNOWN_BAND_TOLERANCE: Final = 0.05
# Greatest alternative rate; the log-likelihood is undefined at a rate of 1.
MAX_RATE: Final = 0.97
# No fewer windows than this can stop a version.
MIN_WINDOWS_TO_STOP: Final = 4
# With these factors per window, the outcomes in the decaying sums have a mean
# age of about 14 and 500 windows.
RECENT_DECAY_PER_WINDOW: Final = 0.93
LONG_DECAY_PER_WINDOW: Final = 0.998
# Fewer requests than these give no estimate of the old version's rate.
MIN_WINDOW_REQUESTS: Final = 5
MIN_REFERENCE_REQUESTS: Final = 20.0
# Quantile of the normal distribution for a power of 95%.
POWER_Z_SCORE: Final = 1.65
# Each route gets enough requests to detect an excess failure rate this high.
DETECTABLE_EXCESS: Final = 0.2


@dataclass(frozen=True, kw_only=True, slots=True)
class Sample:
    """Bernoulli outcomes of one version: `hits` among `trials`.

    A hit is a bad outcome: a failed or a slow request.
    """

    trials: int = 0
    hits: int = 0


def stop_threshold(
    step: int, planned_steps: int, alpha: float = FALSE_STOP_RATE
) -> float:
    """Return the score that stops a version at this step.

    A sum that begins at step `k` ever exceeds `x` with a probability of
    at most `exp(-x)`. The threshold grows with the step, so that these
    probabilities add up to `alpha` over `planned_steps`. More of `alpha`
    is spent on the early steps, while the new version's share is small.
    """
    log_span = log1p(planned_steps / EARLY_SPENDING_STEPS)
    return log(log_span * (step + EARLY_SPENDING_STEPS) / alpha)


def log_likelihood_ratio(
    sample: Sample, null: float, alternative: float
) -> float:
    """Return the log-likelihood ratio of the alternative to the null rate."""
    misses = sample.trials - sample.hits
    hit_score = log(alternative / null)
    miss_score = log1p(-alternative) - log1p(-null)
    return sample.hits * hit_score + misses * miss_score


def trials_needed(threshold: float, null: float, excess: float) -> int:
    """Return how many trials detect a rate that exceeds `null` by `excess`.

    That many detect it with a probability of 95%, by the normal
    approximation of the sum of log-likelihood ratios.
    """
    alternative = min(null + excess, MAX_RATE)
    hit_score = log(alternative / null)
    miss_score = log1p(-alternative) - log1p(-null)
    mean = alternative * hit_score + (1 - alternative) * miss_score
    margin = (
        POWER_Z_SCORE
        * (hit_score - miss_score)
        * sqrt(alternative * (1 - alternative))
    )
    root = (margin + sqrt(margin**2 + 4 * mean * threshold)) / (2 * mean)
    return ceil(root**2)


@dataclass(kw_only=True, slots=True)
class ReferenceRate:
    """Rate of the old version over three horizons.

    They are the current window and two exponentially decaying sums, one
    over recent windows and one over a long time.
    """

    window: Sample = Sample()
    recent_trials: float = 0.0
    recent_hits: float = 0.0
    long_trials: float = 0.0
    long_hits: float = 0.0

    def add(self, sample: Sample) -> None:
        """Add the old version's outcomes in one window."""
        self.window = sample
        self.recent_trials = (
            self.recent_trials * RECENT_DECAY_PER_WINDOW + sample.trials
        )
        self.recent_hits = (
            self.recent_hits * RECENT_DECAY_PER_WINDOW + sample.hits
        )
        self.long_trials = (
            self.long_trials * LONG_DECAY_PER_WINDOW + sample.trials
        )
        self.long_hits = self.long_hits * LONG_DECAY_PER_WINDOW + sample.hits

    @property
    def is_known(self) -> bool:
        """Whether the old version has enough requests for a comparison."""
        return self.long_trials >= MIN_REFERENCE_REQUESTS

    def rate(self) -> float:
        """Return a conservative, that is high, estimate of the rate.

        It is the highest of the three horizons, so that an overload of
        both versions raises the estimate within the same window.
        """
        rates = [self.long_hits / self.long_trials if self.is_known else 0.0]
        if self.recent_trials >= MIN_WINDOW_REQUESTS:
            rate = self.recent_hits / self.recent_trials
            rates.append(rate + sqrt(rate * (1 - rate) / self.recent_trials))
        if self.window.trials >= MIN_WINDOW_REQUESTS:
            rates.append(self.window.hits / self.window.trials)
        return max(rates)


def null_rate(reference: float, tolerance: float) -> float:
    """Return the highest rate of the new version that counts as no worse."""
    rate = RATIO_TOLERANCE * reference + tolerance
    return min(max(rate, tolerance), MAX_RATE - 0.02)


def null_odds_rate(reference: float, tolerance: float) -> float:
    """Return the null rate by the ratio of odds instead of rates.

    It leaves room for detection at high rates: where half of the old
    version's responses are slow, 1.5 times that rate (75%) would leave
    too little of a difference to a slow version.
    """
    odds = RATIO_TOLERANCE * reference
    rate = odds / (1 - reference + odds) + tolerance
    return min(max(rate, tolerance), MAX_RATE - 0.02)


def window_scores(sample: Sample, null: float) -> tuple[float, ...]:
    """Return a window's log-likelihood ratio for each alternative."""
    return tuple(
        log_likelihood_ratio(sample, null, min(null + excess, MAX_RATE))
        for excess in ALTERNATIVE_EXCESSES
    )


@dataclass(kw_only=True, slots=True)
class CusumStream:
    """CUSUMs of one stream of windows, one for each alternative.

    A window adds at most the threshold divided by `MIN_WINDOWS_TO_STOP`,
    so that a burst of failures with a single cause never stops a version
    on its own.
    """

    scores: list[float] = field(
        default_factory=lambda: [0.0] * len(ALTERNATIVE_EXCESSES)
    )

    def add(self, log_ratios: tuple[float, ...], threshold: float) -> None:
        """Add a window's log-likelihood ratios, each up to the cap."""
        cap = threshold / MIN_WINDOWS_TO_STOP
        for i, log_ratio in enumerate(log_ratios):
            self.scores[i] = max(0.0, self.scores[i] + min(log_ratio, cap))

    @property
    def score(self) -> float:
        """The highest score over the alternatives."""
        return max(self.scores)
