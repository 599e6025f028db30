"""HTTP/1.1 client side over h11, with pooled connections.

A connection goes back to the pool only after a whole answer was read
from it; one with an abandoned answer is closed.
"""

import asyncio
import json
from collections import deque
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any, Final

import h11

from waxwingarch.exceptions import LinkError

READ_BYTES: Final = 64 * 1024
REUSE_LIMIT_S: Final = 5.0
MAX_IDLE_PER_ADDRESS: Final = 64

Headers = Sequence[tuple[str, str]]


class ConnectFailedError(LinkError):
    """No connection could be opened; the request was not sent."""


class NotPermittedError(ConnectFailedError):
    """The sender's permit was withdrawn; the request was not sent."""


class SilentLinkError(LinkError):
    """Nothing arrived by the deadline; try a new connection."""


class CutLinkError(LinkError):
    """The connection was closed before the answer was whole."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpAnswer:
    """A whole answer; header names are lower-case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body parsed as JSON; raises `ValueError`."""
        return json.loads(self.body) if self.body else None


class ClientStream:
    """An answer whose body is read piece by piece."""

    def __init__(self, conn: "_ClientConnection", head: h11.Response) -> None:
        self._conn = conn
        self.status = int(head.status_code)
        self.headers = _decoded(head)
        self.whole = False

    async def async_read(self, deadline: float) -> bytes | None:
        """Return the next piece, or None at the end of the answer.

        `deadline` is on the loop's clock. Raises `SilentLinkError`,
        `CutLinkError`.
        """
        if self.whole:
            return None
        parts: list[bytes] = []
        while True:
            event = await self._conn.async_event(deadline, wait=not parts)
            if event is h11.NEED_DATA:
                return b"".join(parts)
            if isinstance(event, h11.EndOfMessage):
                self.whole = True
                return b"".join(parts) if parts else None
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))

    async def async_read_rest(self, deadline: float) -> bytes:
        """Return the rest of the body; raises as `async_read`."""
        parts: list[bytes] = []
        while not self.whole:
            piece = await self.async_read(deadline)
            if piece:
                parts.append(piece)
        return b"".join(parts)


class _ClientConnection:
    """One connection to one address."""

    def __init__(
        self,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.address = address
        self.idle_since = 0.0
        self._reader = reader
        self._writer = writer
        self._conn = h11.Connection(h11.CLIENT)
        self._needs_data = False

    async def async_send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Write one request."""
        fields = [("host", self.address), *headers]
        if body:
            fields.append(("content-length", str(len(body))))
        head = h11.Request(
            method=method,
            target=target,
            headers=[(k.encode(), v.encode("latin-1")) for k, v in fields],
        )
        data = self._conn.send(head) or b""
        if body:
            data += self._conn.send(h11.Data(data=body)) or b""
        data += self._conn.send(h11.EndOfMessage()) or b""
        try:
            self._writer.write(data)
            await self._writer.drain()
        except OSError as exc:
            raise CutLinkError(f"{self.address}: {exc}") from exc

    async def async_event(self, deadline: float, *, wait: bool = True) -> Any:
        """Return the next h11 event; NEED_DATA only if not `wait`."""
        while True:
            if self._needs_data and wait:
                self._conn.receive_data(await self._async_bytes(deadline))
            event = self._next_event()
            self._needs_data = event is h11.NEED_DATA
            if not self._needs_data or not wait:
                return event

    def _next_event(self) -> Any:
        try:
            event = self._conn.next_event()
        except h11.RemoteProtocolError as exc:
            raise CutLinkError(f"{self.address}: {exc}") from exc
        if isinstance(event, h11.ConnectionClosed):
            raise CutLinkError(f"{self.address}: closed")
        return event

    async def _async_bytes(self, deadline: float) -> bytes:
        try:
            async with asyncio.timeout_at(deadline):
                return await self._reader.read(READ_BYTES)
        except TimeoutError:
            raise SilentLinkError(
                f"{self.address}: no answer by the deadline"
            ) from None
        except OSError as exc:
            raise CutLinkError(f"{self.address}: {exc}") from exc

    async def async_head(self, deadline: float) -> h11.Response:
        """Read up to the final status line."""
        while True:
            event = await self.async_event(deadline)
            if isinstance(event, h11.Response):
                return event

    def reusable(self) -> bool:
        """Get ready for another request; False if that cannot be."""
        if self._reader.at_eof() or self._conn.our_state is not h11.DONE:
            return False
        try:
            self._conn.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self._needs_data = False
        return True

    @property
    def stale(self) -> bool:
        """Whether the other end closed it or it was idle for long."""
        loop = asyncio.get_running_loop()
        old = loop.time() - self.idle_since > REUSE_LIMIT_S
        return old or self._reader.at_eof() or self._writer.is_closing()

    def close(self) -> None:
        """Close at once."""
        self._writer.transport.abort()


class HttpClient:
    """Sends requests to any address, reusing proven connections.

    A connection idle for longer than `REUSE_LIMIT_S` is not reused: a
    middlebox may have forgotten it without telling either end.
    """

    def __init__(self) -> None:
        self._idle: dict[str, deque[_ClientConnection]] = {}

    async def _async_connect(
        self, address: str, deadline: float
    ) -> _ClientConnection:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout_at(deadline):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, ValueError) as exc:
            raise ConnectFailedError(f"{address}: cannot connect") from exc
        return _ClientConnection(address, reader, writer)

    def _pooled(self, address: str) -> _ClientConnection | None:
        pool = self._idle.get(address)
        while pool:
            conn = pool.pop()
            if not conn.stale:
                return conn
            conn.close()
        return None

    def _give_back(self, conn: _ClientConnection) -> None:
        pool = self._idle.setdefault(conn.address, deque())
        if len(pool) >= MAX_IDLE_PER_ADDRESS or not conn.reusable():
            conn.close()
            return
        conn.idle_since = asyncio.get_running_loop().time()
        pool.append(conn)

    @asynccontextmanager
    async def async_stream(
        self,
        method: str,
        address: str,
        target: str,
        *,
        deadline: float,
        headers: Headers = (),
        body: bytes = b"",
        fresh: bool = False,
        connect_deadline: float | None = None,
        permit: Callable[[], bool] = lambda: True,
    ) -> AsyncIterator[ClientStream]:
        """Send a request and yield its answer as a stream.

        `deadline` bounds the head of the answer; `fresh` asks for a new
        connection; `permit` is asked right before the first byte is
        sent. Raises `ConnectFailedError` when nothing was sent.
        """
        conn = None if fresh else self._pooled(address)
        if conn is None:
            bound = min(deadline, connect_deadline or deadline)
            conn = await self._async_connect(address, bound)
        stream: ClientStream | None = None
        try:
            if not permit():
                raise NotPermittedError(f"{address}: too late to send")
            await conn.async_send(method, target, headers, body)
            stream = ClientStream(conn, await conn.async_head(deadline))
            yield stream
        finally:
            if stream is not None and stream.whole:
                self._give_back(conn)
            else:
                conn.close()

    async def async_request(
        self,
        method: str,
        address: str,
        target: str,
        *,
        deadline: float,
        headers: Headers = (),
        body: bytes = b"",
        fresh: bool = False,
        connect_deadline: float | None = None,
        permit: Callable[[], bool] = lambda: True,
    ) -> HttpAnswer:
        """Send a request and return its whole answer.

        Arguments and errors are those of `async_stream`.
        """
        async with self.async_stream(
            method,
            address,
            target,
            deadline=deadline,
            headers=headers,
            body=body,
            fresh=fresh,
            connect_deadline=connect_deadline,
            permit=permit,
        ) as stream:
            data = await stream.async_read_rest(deadline)
        return HttpAnswer(
            status=stream.status, headers=stream.headers, body=data
        )

    def forget(self, address: str) -> None:
        """Close the idle connections to an address."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    async def async_unload(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.forget(address)


def _decoded(head: h11.Response) -> dict[str, str]:
    return {
        k.decode("ascii").lower(): v.decode("latin-1") for k, v in head.headers
    }
