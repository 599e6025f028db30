"""A plain server whose answers a script decides, over raw connections."""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final

import orjson

LISTEN_IP: Final = "127.0.0.1"
MAX_HEAD_BYTES: Final = 64 * 1024


@dataclass(kw_only=True)
class Arrival:
    """A request that a server has read in full."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float = field(default_factory=time.monotonic)


Answer = Callable[[Arrival, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """Answers as `answer` says; keeps its connections until that ends them.

    It rejects with 421 what names another server.
    """

    def __init__(
        self, server_id: str, service: str, zone: str, answer: Answer
    ) -> None:
        """Create a server; `async_setup` lets it listen."""
        self.server_id = server_id
        self.arrivals: list[Arrival] = []
        self.address = ""
        self._service = service
        self._zone = zone
        self._answer = answer
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def async_setup(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._async_serve, LISTEN_IP, 0, limit=MAX_HEAD_BYTES
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{LISTEN_IP}:{port}"

    async def async_unload(self) -> None:
        """Stop listening, and close the connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def row(self, state: str = "ready", **fields: Any) -> bytes:
        """Return the server's entry."""
        row = {
            "service": self._service,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1_000,
        }
        return orjson.dumps(row | fields)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while not writer.is_closing():
                arrival = await async_read_request(reader)
                await self._async_handle(arrival, writer)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _async_handle(
        self, arrival: Arrival, writer: asyncio.StreamWriter
    ) -> None:
        target = arrival.headers.get("x-waxwingarch-target-instance")
        if target not in (None, self.server_id):
            writer.write(
                head(421, arrival, ("X-Waxwingarch-Not-Executed: 1",), 0)
            )
            return
        self.arrivals.append(arrival)
        await self._answer(arrival, writer)


def head(
    status: int, arrival: Arrival, fields: tuple[str, ...], length: int | None
) -> bytes:
    """Return the head of an answer; without a length, it tells none."""
    lines = [
        f"HTTP/1.1 {status} -",
        "Content-Type: application/json",
        f"X-Waxwingarch-Request-Id: {arrival.request_id}",
        *fields,
    ]
    lines.append(
        "Connection: close" if length is None else f"Content-Length: {length}"
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def async_read_request(reader: asyncio.StreamReader) -> Arrival:
    """Read one request whose body, if any, has a length."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.strip().split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return Arrival(
        request_id=headers.get("x-waxwingarch-request-id", ""),
        method=method,
        target=target,
        headers=headers,
        body=body,
    )


def small_window(sock: socket.socket, size: int = 16 * 1024) -> None:
    """Give a socket the small window of a slow link."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
