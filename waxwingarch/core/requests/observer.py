"""Who learns how attempts ended."""

from typing import Protocol

from waxwingarch.core.base import Server
from waxwingarch.core.request import Request


class AttemptObserver(Protocol):
    """Learns how attempts ended; `latency_s` is per token of answer."""

    def record_attempt(
        self,
        now: float,
        request: Request,
        server: Server,
        *,
        running: int,
        ok: bool,
        latency_s: float,
    ) -> None:
        """Take the outcome of one attempt on a server."""
