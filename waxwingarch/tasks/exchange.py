"""State of a request that its caller side and its attempts share."""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from waxwingarch.adapters.http_connection import HttpResponse
from waxwingarch.core.base import AttemptId, RequestId, ServerId
from waxwingarch.core.request import Complete, Deliver, Refuse, Request
from waxwingarch.core.requests.guarded import OnceAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestHandedOver:
    """Outcome of a request that the caller resumes at another host.

    This host is leaving, and has sent the request's progress to its peers.
    """

    request_id: RequestId
    server_id: ServerId
    stream_id: str


Outcome = RequestHandedOver | Deliver | Complete | Refuse | OnceAnswer


@dataclass(kw_only=True, slots=True)
class Exchange:
    """One request in progress, with the node's outcomes still to be handled.

    `body` is the raw body and `payload` the parsed one of a model request.
    `target` is the path with the query. `responses` holds the responses of
    a plain service by attempt. `usage` sums the token counts that engines
    report.
    """

    request: Request
    payload: dict[str, Any]
    body: bytes
    content_type: str
    target: str
    responses: dict[AttemptId, HttpResponse] = field(default_factory=dict)
    outcomes: deque[Outcome] = field(default_factory=deque)
    outcome_available: asyncio.Event = field(default_factory=asyncio.Event)
    usage: dict[str, int] = field(default_factory=dict)

    def put(self, outcome: Outcome) -> None:
        """Queue an outcome and wake the task that serves the caller."""
        self.outcomes.append(outcome)
        self.outcome_available.set()

    async def async_next_outcomes(self) -> list[Outcome]:
        """Wait for outcomes and return all that are queued.

        The list is empty if the wait ended because the caller disconnected.
        """
        await self.outcome_available.wait()
        self.outcome_available.clear()
        outcomes = list(self.outcomes)
        self.outcomes.clear()
        return outcomes


class Exchanges:
    """All requests in progress on this host."""

    def __init__(self) -> None:
        self._exchanges: dict[RequestId, Exchange] = {}

    def __len__(self) -> int:
        return len(self._exchanges)

    def add(self, exchange: Exchange) -> None:
        """Add a request that has arrived."""
        self._exchanges[exchange.request.request_id] = exchange

    def remove(self, request_id: RequestId) -> None:
        """Remove a request that is no longer served."""
        self._exchanges.pop(request_id, None)

    def get(self, request_id: RequestId) -> Exchange | None:
        """Return a request, or None if it is not in progress here."""
        return self._exchanges.get(request_id)

    def put(self, outcome: Outcome) -> None:
        """Queue an outcome for its request, if that is still in progress."""
        exchange = self._exchanges.get(outcome.request_id)
        if exchange:
            exchange.put(outcome)
