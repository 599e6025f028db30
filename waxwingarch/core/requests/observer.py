"""Interface to the evidence of version moves."""

from typing import Protocol

from waxwingarch.core.base import Server
from waxwingarch.core.request import Request


class AttemptObserver(Protocol):
    """Collects the outcomes of attempts as evidence on server versions."""

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
        """Record the outcome of one attempt on a server.

        `running` is the last known number of requests on the server.
        `latency_s` is the attempt's duration divided by its number of
        tokens plus one.
        """
