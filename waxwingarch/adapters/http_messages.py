"""What an HTTP handler is given, and what it answers with."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any, Final, Protocol

JSON_TYPE: Final = ("content-type", "application/json")

Headers = Sequence[tuple[str, str]]


class CallerDisconnectedError(ConnectionError):
    """The caller closed or stalled; stop the work, nothing can be sent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpRequest:
    """One request as read from the wire; header names are lower-case.

    `pairs` are the headers in their order and spelling.
    """

    method: str
    target: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    pairs: tuple[tuple[str, str], ...] = ()

    def json(self) -> Any:
        """Return the body parsed as JSON; raises `ValueError`."""
        return json.loads(self.body) if self.body else None


class HttpResponder(Protocol):
    """Sends the answer to one request."""

    @property
    def started(self) -> bool:
        """Whether the status line was sent."""

    @property
    def disconnected(self) -> asyncio.Event:
        """Set once the caller closed its connection."""

    async def async_start(self, status: int, headers: Headers) -> None:
        """Send the status line and headers of a chunked answer."""

    async def async_write(self, data: bytes) -> None:
        """Send a piece of the body; raises `CallerDisconnectedError`."""

    async def async_end(self) -> None:
        """End a chunked answer."""

    async def async_send(
        self, status: int, body: bytes, headers: Headers = ()
    ) -> None:
        """Send a whole answer."""

    def abort(self) -> None:
        """Close the connection at once."""


Handler = Callable[[HttpRequest, HttpResponder], Awaitable[None]]


def json_body(value: object) -> bytes:
    """Return `value` as compact JSON bytes."""
    return json.dumps(value, separators=(",", ":")).encode()
