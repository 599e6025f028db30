"""A token bucket that tells how long to wait."""


class TokenBucket:
    """Spends at most `burst` at once and `rate` a second after that.

    Tokens are reserved in the order of the calls: each caller is told
    when its own token is due.
    """

    def __init__(self, now: float, *, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._at = now

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._at) * self._rate
        self._level = min(self._burst, self._level + gained)
        self._at = max(self._at, now)

    def reserve(self, now: float, latest: float) -> float | None:
        """Take a token; return when it may be spent, or None.

        None, and nothing is taken, if it is not due by `latest`.
        """
        self._refill(now)
        lacking = max(0.0, 1.0 - self._level)
        due = now + lacking / self._rate
        if due > latest:
            return None
        self._level -= 1.0
        return due
