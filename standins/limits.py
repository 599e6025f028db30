"""Rate limits of the stand-in platform."""


class RateLimit:
    """A token bucket of `per_s` a second that holds half a second's worth."""

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self._burst = max(1.0, per_s / 2)
        self._tokens = self._burst
        self._refilled_at = 0.0

    def acquire(self, now: float) -> float:
        """Take a token and return 0, or return the seconds to wait."""
        refill = (now - self._refilled_at) * self.per_s
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return (1 - self._tokens) / self.per_s


class SharedBandwidth:
    """A bandwidth that transfers use one after the other."""

    def __init__(self, mb_per_s: float) -> None:
        self._mb_per_s = mb_per_s
        self._busy_until = 0.0

    def reserve(self, now: float, size_mb: float) -> float:
        """Reserve a transfer; return the seconds until it is complete."""
        start = max(now, self._busy_until)
        self._busy_until = start + size_mb / self._mb_per_s
        return self._busy_until - now
