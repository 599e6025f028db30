"""Token bucket and concurrency limit for one host's share of a contract."""

from dataclasses import dataclass
from typing import Final

from waxwingarch.core.contracts.contract import Contract

# The retry time of a request whose rate is 0.
ZERO_RATE_WAIT_S: Final = 60.0
# Tolerates float rounding: a balance this close to one token is enough.
TOKEN_EPSILON: Final = 1e-9


@dataclass(frozen=True, kw_only=True, slots=True)
class _Share:
    """The share of a contract's limits that applies until `until`."""

    rate: float
    concurrency: int
    until: float


class AccountLimit:
    """Token bucket and concurrency limit of a client account.

    Without a valid share, the floor applies: the limit of the contract
    divided by `hosts`. The floors of all hosts add up to at most the
    limit, except for the one request that each bucket may always hold.
    """

    def __init__(self, now: float, contract: Contract, hosts: int) -> None:
        self._contract = contract
        self._hosts = max(1, hosts)
        self._share: _Share | None = None
        self._refilled_at = now
        self._tokens = self._burst(now)

    def set_contract(self, now: float, contract: Contract) -> None:
        """Apply a changed contract; spent tokens stay spent."""
        self._refill(now)
        self._contract = contract
        self._tokens = min(self._tokens, self._burst(now))

    def set_share(
        self, now: float, rate: float, concurrency: int, until: float
    ) -> None:
        """Set this host's share of the limit, valid until a deadline."""
        self._refill(now)
        self._share = _Share(rate=rate, concurrency=concurrency, until=until)

    def concurrency(self, now: float) -> int:
        """Return how many requests may run concurrently."""
        share = self._share
        if share is not None and now < share.until:
            return min(share.concurrency, self._contract.concurrency)
        return self._contract.concurrency // self._hosts

    def token_wait_s(self, now: float) -> float:
        """Return the time until a request may start, 0 if it may now."""
        self._refill(now)
        if self._tokens >= 1.0 - TOKEN_EPSILON:
            return 0.0
        rate = self._rate(now)
        return (1.0 - self._tokens) / rate if rate > 0 else ZERO_RATE_WAIT_S

    def spend_token(self, now: float) -> None:
        """Spend the token of one request."""
        self._refill(now)
        self._tokens -= 1.0

    def refund_token(self, now: float) -> None:
        """Return the token of a request that did not run."""
        self._refill(now)
        self._tokens = min(self._burst(now), self._tokens + 1.0)

    def _rate(self, now: float) -> float:
        share = self._share
        if share is not None and now < share.until:
            return min(share.rate, self._contract.rate)
        return self._contract.rate / self._hosts

    def _burst(self, now: float) -> float:
        """Return this host's share of the burst, at least one request."""
        if self._contract.rate <= 0:
            return 0.0
        ratio = self._rate(now) / self._contract.rate
        return max(1.0, self._contract.burst * ratio)

    def _refill(self, now: float) -> None:
        """Add the tokens earned, at the rate before and after a share ends."""
        share = self._share
        if share is not None and self._refilled_at < share.until <= now:
            self._refill_to(share.until)
        self._refill_to(now)

    def _refill_to(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        earned = elapsed_s * self._rate(self._refilled_at)
        self._tokens = min(self._burst(now), self._tokens + earned)
        self._refilled_at = max(now, self._refilled_at)
