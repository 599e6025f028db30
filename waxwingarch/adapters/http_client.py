"""HTTP/1.1 client over h11 with pooled connections.

A connection returns to the pool only after a complete response was read
from it; a connection with an unfinished response is closed.
"""

import asyncio
import itertools
import socket
import weakref
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Final

from waxwingarch.adapters.held_bytes import (
    HeldBody,
    HeldBytes,
)
from waxwingarch.adapters.http_connection import (
    MAX_REUSE_IDLE_S,
    ClientConnection,
    ClientStream,
    ConnectFailedError,
    ConnectionUse,
    CountingReader,
    Headers,
    HttpResponse,
    NotPermittedError,
    WaitUntil,
    async_read_head,
)

# Bounds of what is received and not yet parsed, for each connection: that of
# the kernel, which doubles it, and that of the stream reader, likewise.
RECEIVE_BUFFER_BYTES: Final = 64 * 1024
READER_LIMIT_BYTES: Final = 32 * 1024
MAX_IDLE_PER_ADDRESS: Final = 64
# Each idle connection takes a file descriptor.
MAX_IDLE: Final = 512
# Idle connections that can't be reused are closed within this time.
IDLE_CHECK_INTERVAL_S: Final = 1.0
# A process that ends closes all of its sockets within this time. A server
# that only rejects a connection takes or rejects the next one as well.
END_CHECK_DELAY_S: Final = 0.03
END_CHECKS: Final = 2
# TCP keep-alive probes detect a connection whose other end lost its state.
TCP_PROBE_IDLE_S: Final = 2
TCP_PROBE_INTERVAL_S: Final = 1
TCP_PROBE_COUNT: Final = 2
SOCKET_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_PROBE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_PROBE_COUNT),
)


class HttpClient:
    """Sends requests to any address and reuses idle connections.

    A connection idle for longer than `MAX_REUSE_IDLE_S` is not reused: a
    middlebox may have dropped its state without closing either end. It is
    closed, also if no other request goes to its address.
    """

    def __init__(self, held: HeldBytes | None = None) -> None:
        """Create a client whose responses are held on an account."""
        self.held = held or HeldBytes()
        self._idle: dict[str, deque[ClientConnection]] = {}
        self._numbers = itertools.count(1)
        self._idle_check: asyncio.TimerHandle | None = None

    @property
    def idle_count(self) -> int:
        """The number of idle connections, to all addresses."""
        return sum(map(len, self._idle.values()))

    async def _async_connect(
        self, address: str, deadline: float
    ) -> ClientConnection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        reader = CountingReader(limit=READER_LIMIT_BYTES, loop=loop)
        protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
        try:
            async with asyncio.timeout_at(deadline):
                transport, _ = await loop.create_connection(
                    lambda: protocol, host, int(port)
                )
        except (OSError, ValueError, OverflowError) as exc:
            # An address that is no address raises one of the last two.
            raise ConnectFailedError(f"{address}: cannot connect") from exc
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        sock = writer.get_extra_info("socket")
        for level, option, value in SOCKET_OPTIONS:
            sock.setsockopt(level, option, value)
        return ClientConnection(address, reader, writer, next(self._numbers))

    def _pop_idle(
        self, address: str, max_idle_s: float, request_id: str | None
    ) -> ClientConnection | None:
        """Take the most recently used idle connection out of the pool.

        One that had the request before is left there.
        """
        pool = self._idle.get(address, deque())
        for conn in reversed(tuple(pool)):
            if conn.is_stale:
                conn.close()
                pool.remove(conn)
            elif conn.idle_s > max_idle_s:
                # The other connections have been idle for longer still.
                return None
            elif not conn.had_request(request_id):
                pool.remove(conn)
                return conn
        return None

    async def async_check(self, address: str, deadline: float) -> None:
        """Open a connection, and keep it for the next request.

        Raises `ConnectFailedError`, whose cause says why it can't be opened.
        """
        self._add_to_pool(await self._async_connect(address, deadline))

    async def async_stays_open(self, address: str, deadline: float) -> bool:
        """Return whether the process at an address keeps a connection open.

        The sockets of a process that ends are closed one after the other, so
        that it may take a connection after another one was closed. A
        connection that stays open is kept for the next request. Raises
        `ConnectFailedError`, whose cause says why none can be opened.
        """
        for _ in range(END_CHECKS):
            conn = await self._async_connect(address, deadline)
            conn.idle_since = asyncio.get_running_loop().time()
            is_open = False
            try:
                await asyncio.sleep(END_CHECK_DELAY_S)
                is_open = not conn.is_stale
            finally:
                if not is_open:
                    conn.close()
            if is_open:
                self._add_to_pool(conn)
                return True
        return False

    def _return_to_pool(self, conn: ClientConnection) -> None:
        if not conn.prepare_reuse():
            conn.close()
            return
        self._add_to_pool(conn)

    def _add_to_pool(self, conn: ClientConnection) -> None:
        pool = self._idle.get(conn.address, ())
        if len(pool) >= MAX_IDLE_PER_ADDRESS or self.idle_count >= MAX_IDLE:
            conn.close()
            return
        conn.idle_since = asyncio.get_running_loop().time()
        self._idle.setdefault(conn.address, deque()).append(conn)
        self._schedule_idle_check()

    def _schedule_idle_check(self) -> None:
        if self._idle_check is not None:
            return
        # The timer must not keep a client that nobody else does.
        client_ref = weakref.ref(self)

        def close_stale() -> None:
            client = client_ref()
            if client is not None:
                client.close_stale()

        self._idle_check = asyncio.get_running_loop().call_later(
            IDLE_CHECK_INTERVAL_S, close_stale
        )

    def close_stale(self) -> None:
        """Close the idle connections that can't be reused."""
        self._idle_check = None
        for address, pool in list(self._idle.items()):
            stale = [conn for conn in pool if conn.is_stale]
            for conn in stale:
                conn.close()
                pool.remove(conn)
            if not pool:
                del self._idle[address]
        if self._idle:
            self._schedule_idle_check()

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
        max_idle_s: float = MAX_REUSE_IDLE_S,
        connect_deadline: float | None = None,
        permit: Callable[[], bool] = lambda: True,
        wait_until: WaitUntil | None = None,
        request_id: str | None = None,
        on_send: Callable[[ConnectionUse], None] = lambda use: None,
    ) -> AsyncIterator[ClientStream]:
        """Send a request and yield its response as a stream.

        `deadline` bounds the wait for the response head. `fresh` forces
        a new connection; `max_idle_s` limits the idle time of a reused
        one. `permit` is called right before the request is written; if
        it returns False, nothing is sent. `wait_until` replaces
        `deadline` for the head: it returns the time to wait until and is
        called again each time that passes, until it returns None.
        `request_id` is the id that the response repeats, if any: the
        request goes on a connection that has not carried it. `on_send` is
        told which one that is. Raises
        `ConnectFailedError` when nothing was sent.
        """
        conn = None
        if not fresh:
            conn = self._pop_idle(address, max_idle_s, request_id)
        if conn is None:
            connect_by = min(deadline, connect_deadline or deadline)
            conn = await self._async_connect(address, connect_by)
        stream: ClientStream | None = None
        held = HeldBody(self.held)
        try:
            if not permit():
                raise NotPermittedError(f"{address}: too late to send")
            on_send(conn.record_request(request_id))
            await conn.async_send(method, target, headers, body)
            head = await async_read_head(conn, deadline, wait_until)
            stream = ClientStream(conn, head, held)
            yield stream
        finally:
            held.release()
            if stream is not None and conn.is_response_complete:
                self._return_to_pool(conn)
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
        """Send a request and return its complete response.

        Arguments and errors are those of `async_stream`; `deadline`
        bounds the body as well, which is not held up by those of others.
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
            stream.held.is_essential = True
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
        if self._idle_check is not None:
            self._idle_check.cancel()
            self._idle_check = None
        for address in list(self._idle):
            self.forget(address)
