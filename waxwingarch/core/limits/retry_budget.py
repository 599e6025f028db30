"""Retry budget that is earned by a fraction of the new requests."""

from typing import Final

RETRY_RATIO: Final = 0.1
RETRY_BURST: Final = 10.0


class RetryBudget:
    """Allowance for retries, earned by new requests only.

    Over any period, retries are at most `fraction` of the new requests
    plus `burst`. This bounds the extra load that retries add to an
    outage.
    """

    def __init__(
        self, *, fraction: float = RETRY_RATIO, burst: float = RETRY_BURST
    ) -> None:
        self._fraction = fraction
        self._burst = burst
        self._balance = burst

    def record_request(self) -> None:
        """Count a request that a caller sent for the first time."""
        self._balance = min(self._burst, self._balance + self._fraction)

    @property
    def can_retry(self) -> bool:
        """Whether one more retry is within the budget."""
        return self._balance >= 1.0

    def try_retry(self) -> bool:
        """Spend one retry; return False if the budget is used up."""
        if not self.can_retry:
            return False
        self._balance -= 1.0
        return True
