"""Responses of stand-in servers that end with their connection."""

import asyncio
import socket
import struct
from http import HTTPStatus
from typing import Any, Final

from waxwingarch.adapters.http_messages import Headers, HttpResponder

# Closing a socket with this option sends a reset.
LINGER_NONE: Final = struct.pack("ii", 1, 0)


def reset(resp: object) -> None:
    """Reset the connection of a response."""
    reset_transport(_transport(resp))


def reset_transport(transport: asyncio.WriteTransport) -> None:
    """Reset a connection; what is buffered is lost."""
    sock: Any = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
    transport.abort()


def encode_response(status: int, body: bytes, headers: Headers) -> bytes:
    """Return the bytes of a response, with its length added."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def send_raw(resp: HttpResponder, data: bytes) -> None:
    """Write bytes to the connection of a response that has begun."""
    _transport(resp).write(data)


class UntilCloseResponder:
    """Sends a response with neither a length nor chunks.

    The product's server always frames its responses, so this one writes to
    the connection itself.
    """

    def __init__(self, resp: HttpResponder) -> None:
        self._resp = resp
        self._transport = _transport(resp)
        self.started = False

    @property
    def disconnected(self) -> asyncio.Event:
        """An event that is set once the caller closed its connection."""
        return self._resp.disconnected

    async def async_start(self, status: int, headers: Headers) -> None:
        """Send the status line and the headers."""
        self.started = True
        lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
        lines += [f"{name}: {value}" for name, value in headers]
        head = "\r\n".join([*lines, "Connection: close", "", ""])
        self._transport.write(head.encode("latin-1"))

    async def async_write(self, data: bytes) -> None:
        """Send a part of the body."""
        self._transport.write(data)

    async def async_end(self) -> None:
        """Close the connection, which ends the response."""
        self._transport.close()

    async def async_send(
        self, status: int, body: bytes, headers: Headers = ()
    ) -> None:
        """Send a complete response and close the connection."""
        await self.async_start(status, headers)
        await self.async_write(body)
        await self.async_end()

    async def async_send_until_close(
        self, status: int, body: bytes, headers: Headers
    ) -> None:
        """Send a complete response and close the connection."""
        await self.async_send(status, body, headers)

    def abort(self) -> None:
        """Close the connection without sending what is buffered."""
        self._resp.abort()


def _transport(resp: Any) -> asyncio.Transport:
    transport = resp._transport
    assert isinstance(transport, asyncio.Transport)
    return transport
