"""How many requests a new version may get before it is trusted."""

from dataclasses import dataclass
from typing import Final

# The least share of requests that try the new version: half of the default
# exposure bound, so that retries and uneven hosts stay within the bound.
TRIAL_SHARE: Final = 0.05
# Where TRIAL_SHARE gives the new version fewer requests than these, its share
# is larger, within the bound.
TRIAL_REQUESTS: Final = 60
MAX_TRIAL_SHARE: Final = 0.2
# The trial and the shift use this part of the allowed exposure. The rest is
# a margin, as the counts of other hosts arrive a report late.
EXPOSURE_USED_RATIO: Final = 0.8
# Time for which the trial leaves room in the exposure, for the shift.
SHIFT_S: Final = 0.9
# The request rate is not known in the first part of a move.
RATE_KNOWN_AFTER_S: Final = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ExposureBounds:
    """How many requests a bad version may get.

    The bound is `share` of all requests plus `extra` requests.
    """

    share: float = 0.1
    extra: float = 50.0

    def usable_requests(self, all_requests: float) -> float:
        """Return how many of all requests the new version may get."""
        allowed = self.share * all_requests + self.extra
        return allowed * EXPOSURE_USED_RATIO


@dataclass(frozen=True, kw_only=True, slots=True)
class MoveTraffic:
    """The requests of a move so far, and the time that is left for it."""

    new_requests: int
    all_requests: int
    elapsed_s: float
    remaining_s: float

    @property
    def rate_per_s(self) -> float:
        """The rate of requests, taken to last until the deadline."""
        return self.all_requests / max(1.0, self.elapsed_s)

    @property
    def expected_requests(self) -> float:
        """All requests until the deadline."""
        return self.all_requests + self.rate_per_s * self.remaining_s


def trial_share(bounds: ExposureBounds, traffic: MoveTraffic) -> float:
    """Return the share of requests that try the new version."""
    expected = traffic.expected_requests
    if traffic.elapsed_s < RATE_KNOWN_AFTER_S or expected <= 0:
        return TRIAL_SHARE
    usable = bounds.usable_requests(expected) - SHIFT_S * traffic.rate_per_s
    wanted = min(TRIAL_REQUESTS, usable) / expected
    return min(MAX_TRIAL_SHARE, max(TRIAL_SHARE, wanted))


def may_shift(bounds: ExposureBounds, traffic: MoveTraffic) -> bool:
    """Return whether all requests until the deadline may be exposed."""
    usable = bounds.usable_requests(traffic.expected_requests)
    shifted = traffic.rate_per_s * traffic.remaining_s
    return shifted <= usable - traffic.new_requests
