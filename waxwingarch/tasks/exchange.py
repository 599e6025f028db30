"""What a caller's request and its attempts share on one host."""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from waxwingarch.adapters.http_client import HttpResponse
from waxwingarch.core.base import AttemptId, RequestId, ServerId
from waxwingarch.core.request import Complete, Deliver, Refuse, Request
from waxwingarch.core.requests.guarded import OnceAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerClosed:
    """This host goes: the caller goes on through another one."""

    request_id: RequestId
    server_id: ServerId
    stream_id: str


Outcome = CallerClosed | Deliver | Complete | Refuse | OnceAnswer


@dataclass(kw_only=True, slots=True)
class Exchange:
    """One request: its body, and what the node says of it.

    `payload` is the parsed body of a model request, `body` the raw one;
    `answers` holds the answers of a plain service by attempt.
    """

    request: Request
    payload: dict[str, Any]
    body: bytes
    content_type: str
    target: str
    answers: dict[AttemptId, HttpResponse] = field(default_factory=dict)
    outcomes: deque[Outcome] = field(default_factory=deque)
    news: asyncio.Event = field(default_factory=asyncio.Event)
    usage: dict[str, int] = field(default_factory=dict)

    def put(self, outcome: Outcome) -> None:
        """Add an outcome and wake the reader."""
        self.outcomes.append(outcome)
        self.news.set()

    async def async_take(self) -> list[Outcome]:
        """Wait for outcomes and return all there are."""
        await self.news.wait()
        self.news.clear()
        taken = list(self.outcomes)
        self.outcomes.clear()
        return taken


class Exchanges:
    """All requests in progress on this host."""

    def __init__(self) -> None:
        self._open: dict[RequestId, Exchange] = {}

    def __len__(self) -> int:
        return len(self._open)

    def add(self, exchange: Exchange) -> None:
        """Register a request."""
        self._open[exchange.request.request_id] = exchange

    def remove(self, request_id: RequestId) -> None:
        """Forget a request whose final answer was sent."""
        self._open.pop(request_id, None)

    def get(self, request_id: RequestId) -> Exchange | None:
        """Return a request in progress."""
        return self._open.get(request_id)

    def put(self, outcome: Outcome) -> None:
        """Pass an outcome on to its request, if it still waits."""
        exchange = self._open.get(outcome.request_id)
        if exchange:
            exchange.put(outcome)
