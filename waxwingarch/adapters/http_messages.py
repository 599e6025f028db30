"""Requests and responders, the interface of HTTP handlers."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any, Final, Protocol

JSON_TYPE: Final = ("content-type", "application/json")

Headers = Sequence[tuple[str, str]]


# A chunk of a body with fewer bytes than this costs more to parse than to
# send.
SMALL_PART_BYTES: Final = 64
# After so many parts of a body, its reader lets other tasks run.
MAX_PARTS_PER_TURN: Final = 256
# Statuses whose responses have no body.
BODYLESS_STATUSES: Final = frozenset({204, 304})


class CallerDisconnectedError(ConnectionError):
    """The caller closed its connection or stopped reading the response.

    Nothing more can be sent, so the handler should stop its work.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpRequest:
    """One HTTP request; the names in `headers` are lower-case.

    `pairs` are the headers in their received order and spelling.
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
    """Sends the response to one request."""

    @property
    def started(self) -> bool:
        """Whether the status line was sent."""

    @property
    def disconnected(self) -> asyncio.Event:
        """An event that is set once the caller closed its connection."""

    async def async_start(self, status: int, headers: Headers) -> None:
        """Send the status line and headers of a chunked response."""

    async def async_write(self, data: bytes) -> None:
        """Send a part of the body; raises `CallerDisconnectedError`."""

    async def async_end(self) -> None:
        """End a chunked response."""

    async def async_send(
        self, status: int, body: bytes, headers: Headers = ()
    ) -> None:
        """Send a complete response with its Content-Length."""

    async def async_send_until_close(
        self, status: int, body: bytes, headers: Headers
    ) -> None:
        """Send a response without a length, and close the connection."""

    def abort(self) -> None:
        """Close the connection without finishing the response."""


Handler = Callable[[HttpRequest, HttpResponder], Awaitable[None]]


def json_body(value: object) -> bytes:
    """Return `value` as compact JSON bytes."""
    return json.dumps(value, separators=(",", ":")).encode()
