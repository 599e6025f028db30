"""Token bucket whose tokens are reserved ahead of time."""


class TokenBucket:
    """Allows a burst of `burst` tokens, and `rate` a second after that.

    Tokens are reserved in the order of the calls. Each caller gets the
    time from which it may spend its token.
    """

    def __init__(self, now: float, *, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = max(self._refilled_at, now)

    def reserve(self, now: float, latest: float) -> float | None:
        """Reserve a token and return the time from which it is available.

        Returns None, without reserving, if that time is after `latest`.
        """
        self._refill(now)
        lacking = max(0.0, 1.0 - self._tokens)
        available_at = now + lacking / self._rate
        if available_at > latest:
            return None
        self._tokens -= 1.0
        return available_at
