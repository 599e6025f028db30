"""HTTP/1.1 client side over h11, with pooled connections.

A connection goes back to the pool only after a whole answer was read
from it; one with an abandoned answer is closed.
"""

import asyncio
import json
import re
import socket
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
# A connection is reused during this part of the idle time that its
# server allows: the server's timer began earlier than ours.
KEEP_ALIVE_PART: Final = 0.5
# Probes of the kernel that show a connection which one end forgot.
PROBE_AFTER_S: Final = 2
PROBE_EVERY_S: Final = 1
PROBES: Final = 2
SOCKET_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
)

Headers = Sequence[tuple[str, str]]
KEEP_ALIVE_TIMEOUT: Final = re.compile(r"timeout=(\d+)")


class ConnectFailedError(LinkError):
    """No connection could be opened; the request was not sent."""


class NotPermittedError(ConnectFailedError):
    """The sender's permit was withdrawn; the request was not sent."""


class SilentLinkError(LinkError):
    """Nothing arrived by the deadline; try a new connection."""


class CutLinkError(LinkError):
    """The connection was closed before the answer was whole."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpResponse:
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
        self.pairs = _pairs(head)
        self.whole = False
        self._conn.note_keep_alive(self.headers.get("keep-alive", ""))

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

    async def async_next_response(self, deadline: float) -> "ClientStream":
        """Skip this answer, which belongs to another request.

        Returns the one that follows on the connection; raises as
        `async_read`.
        """
        await self.async_read_rest(deadline)
        self._conn.expect_another()
        return ClientStream(self._conn, await self._conn.async_head(deadline))

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
        self._idle_limit_s = REUSE_LIMIT_S
        self._last_request: h11.Request | None = None
        self._reader = reader
        self._writer = writer
        self._conn = h11.Connection(h11.CLIENT)
        self._needs_data = False

    async def async_send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Write one request."""
        fields = list(headers)
        if not any(name.lower() == "host" for name, _ in headers):
            fields.insert(0, ("host", self.address))
        if body:
            fields.append(("content-length", str(len(body))))
        head = h11.Request(
            method=method,
            target=target,
            headers=[(k.encode(), v.encode("latin-1")) for k, v in fields],
        )
        self._last_request = head
        data = self._conn.send(head) or b""
        if body:
            data += self._conn.send(h11.Data(data=body)) or b""
        data += self._conn.send(h11.EndOfMessage()) or b""
        # Not drained: a server may answer before it has read the body,
        # and then has to be read from first.
        self._writer.write(data)

    def note_keep_alive(self, header: str) -> None:
        """Keep to the idle time that the server states."""
        found = KEEP_ALIVE_TIMEOUT.search(header)
        if found:
            stated_s = int(found[1]) * KEEP_ALIVE_PART
            self._idle_limit_s = min(REUSE_LIMIT_S, stated_s)

    def expect_another(self) -> None:
        """Read the answer to the last request again, from what follows."""
        rest = self._conn.trailing_data[0]
        assert self._last_request is not None
        self._conn = h11.Connection(h11.CLIENT)
        method, target = self._last_request.method, self._last_request.target
        again = h11.Request(
            method=method, target=target, headers=[("host", "again")]
        )
        self._conn.send(again)
        self._conn.send(h11.EndOfMessage())
        self._needs_data = False
        if rest:
            self._conn.receive_data(rest)

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
            data = await self._async_arrived()
            if data is None:
                raise SilentLinkError(
                    f"{self.address}: no answer by the deadline"
                ) from None
            return data
        except OSError as exc:
            raise CutLinkError(f"{self.address}: {exc}") from exc

    async def _async_arrived(self) -> bytes | None:
        """Return what is here already, None for nothing.

        After a stall of the process the time is over before what came
        meanwhile was looked at.
        """
        try:
            async with asyncio.timeout(0):
                return await self._reader.read(READ_BYTES)
        except TimeoutError:
            return None
        except OSError as exc:
            raise CutLinkError(f"{self.address}: {exc}") from exc

    async def async_head(self, deadline: float) -> h11.Response:
        """Read up to the final status line."""
        while True:
            event = await self.async_event(deadline)
            if isinstance(event, h11.Response):
                return event

    @property
    def answered(self) -> bool:
        """Whether the last answer was read to its end."""
        return self._conn.their_state in (h11.DONE, h11.MUST_CLOSE)

    def reusable(self) -> bool:
        """Get ready for another request; False if that cannot be."""
        if self._reader.at_eof() or self._conn.our_state is not h11.DONE:
            return False
        if self._conn.trailing_data[0] or not self._all_sent:
            return False
        try:
            self._conn.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self._needs_data = False
        return True

    @property
    def _all_sent(self) -> bool:
        """Whether the last request has left this process whole."""
        transport = self._writer.transport
        return not transport.get_write_buffer_size()

    @property
    def idle_s(self) -> float:
        """For how long nothing was asked on it."""
        return asyncio.get_running_loop().time() - self.idle_since

    @property
    def stale(self) -> bool:
        """Whether the other end closed it or it was idle for long."""
        old = self.idle_s > self._idle_limit_s
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
        sock = writer.get_extra_info("socket")
        for level, option, value in SOCKET_OPTIONS:
            sock.setsockopt(level, option, value)
        return _ClientConnection(address, reader, writer)

    def _pooled(
        self, address: str, max_idle_s: float
    ) -> _ClientConnection | None:
        pool = self._idle.get(address)
        while pool:
            conn = pool.pop()
            if conn.stale:
                conn.close()
            elif conn.idle_s > max_idle_s:
                # The others in the pool have been idle for longer.
                pool.append(conn)
                return None
            else:
                return conn
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
        max_idle_s: float = REUSE_LIMIT_S,
        connect_deadline: float | None = None,
        permit: Callable[[], bool] = lambda: True,
        wait_until: Callable[[], float | None] | None = None,
    ) -> AsyncIterator[ClientStream]:
        """Send a request and yield its answer as a stream.

        `deadline` bounds the head of the answer; `fresh` asks for a new
        connection, `max_idle_s` for one that was not idle for longer;
        `permit` is asked right before the first byte is sent. With
        `wait_until` the head is waited for until the time that it
        returns, again and again, until it returns None. Raises
        `ConnectFailedError` when nothing was sent.
        """
        conn = None if fresh else self._pooled(address, max_idle_s)
        if conn is None:
            bound = min(deadline, connect_deadline or deadline)
            conn = await self._async_connect(address, bound)
        stream: ClientStream | None = None
        try:
            if not permit():
                raise NotPermittedError(f"{address}: too late to send")
            await conn.async_send(method, target, headers, body)
            head = await _async_head(conn, deadline, wait_until)
            stream = ClientStream(conn, head)
            yield stream
        finally:
            if stream is not None and conn.answered:
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
    ) -> HttpResponse:
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
        return HttpResponse(
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


async def _async_head(
    conn: _ClientConnection,
    deadline: float,
    wait_until: Callable[[], float | None] | None,
) -> h11.Response:
    if wait_until is None:
        return await conn.async_head(deadline)
    while (until := wait_until()) is not None:
        try:
            return await conn.async_head(until)
        except SilentLinkError:
            continue
    raise SilentLinkError(f"{conn.address}: no answer so far; given up")


def _decoded(head: h11.Response) -> dict[str, str]:
    return {
        k.decode("ascii").lower(): v.decode("latin-1") for k, v in head.headers
    }


def _pairs(head: h11.Response) -> tuple[tuple[str, str], ...]:
    """Return the headers in their order and spelling."""
    return tuple(
        (k.decode("ascii"), v.decode("latin-1"))
        for k, v in head.headers.raw_items()
    )
