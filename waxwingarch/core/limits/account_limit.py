"""One host's part of the limits of a contract: a token bucket."""

from dataclasses import dataclass
from typing import Final

from waxwingarch.core.contracts.contract import Contract

NO_TOKENS_WAIT_S: Final = 60.0
TOKEN_ROUNDING: Final = 1e-9


@dataclass(frozen=True, kw_only=True, slots=True)
class _Share:
    """What this host may use of a contract's limit until `until`."""

    rate: float
    concurrency: int
    until: float


class AccountLimit:
    """Token bucket and concurrency limit of a client account.

    Without a share in force the floor holds: the contract's limit
    divided by `hosts`. Floors of all hosts never add up to more than
    the limit, but for the one request that each bucket may hold.
    """

    def __init__(self, now: float, contract: Contract, hosts: int) -> None:
        self._contract = contract
        self._hosts = max(1, hosts)
        self._share: _Share | None = None
        self._filled_at = now
        self._tokens = self._burst(now)

    def set_contract(self, now: float, contract: Contract) -> None:
        """Put a changed contract in force; spent tokens stay spent."""
        self._fill(now)
        self._contract = contract
        self._tokens = min(self._tokens, self._burst(now))

    def set_share(
        self, now: float, rate: float, concurrency: int, until: float
    ) -> None:
        """Set this host's share of the limit, good until a deadline."""
        self._fill(now)
        self._share = _Share(rate=rate, concurrency=concurrency, until=until)

    def concurrency(self, now: float) -> int:
        """Return how many requests may run at once."""
        share = self._share
        if share is not None and now < share.until:
            return min(share.concurrency, self._contract.concurrency)
        return self._contract.concurrency // self._hosts

    def token_wait_s(self, now: float) -> float:
        """Return how long until a request may pass; 0 if it may now."""
        self._fill(now)
        if self._tokens >= 1.0 - TOKEN_ROUNDING:
            return 0.0
        rate = self._rate(now)
        return (1.0 - self._tokens) / rate if rate > 0 else NO_TOKENS_WAIT_S

    def spend_token(self, now: float) -> None:
        """Spend the token of one request."""
        self._fill(now)
        self._tokens -= 1.0

    def refund_token(self, now: float) -> None:
        """Return the token of a request that did not run."""
        self._fill(now)
        self._tokens = min(self._burst(now), self._tokens + 1.0)

    def _rate(self, now: float) -> float:
        share = self._share
        if share is not None and now < share.until:
            return min(share.rate, self._contract.rate)
        return self._contract.rate / self._hosts

    def _burst(self, now: float) -> float:
        """Return this host's part of the burst, at least one request."""
        if self._contract.rate <= 0:
            return 0.0
        part = self._rate(now) / self._contract.rate
        return max(1.0, self._contract.burst * part)

    def _fill(self, now: float) -> None:
        """Add the tokens earned; the end of a share counts exactly."""
        share = self._share
        if share is not None and self._filled_at < share.until <= now:
            self._fill_to(share.until)
        self._fill_to(now)

    def _fill_to(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._filled_at)
        earned = elapsed_s * self._rate(self._filled_at)
        self._tokens = min(self._burst(now), self._tokens + earned)
        self._filled_at = max(now, self._filled_at)
