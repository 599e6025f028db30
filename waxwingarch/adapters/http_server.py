"""HTTP/1.1 server, with one asyncio protocol per connection."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import Final

from waxwingarch.adapters.connection_bounds import (
    ConnectionBounds,
    ConnectionGroup,
)
from waxwingarch.adapters.held_bytes import HeldBytes
from waxwingarch.adapters.http_messages import Handler
from waxwingarch.adapters.server_connection import (
    BODY_READ_BYTES,
    ServerConnection,
)

BACKLOG: Final = 1024
# Connections accepted at once, before those that go for them are closed.
MAX_ACCEPTED_AT_ONCE: Final = 16
# Time that requests in progress get to finish when the server stops.
STOP_GRACE_S: Final = 1.0
STOP_POLL_S: Final = 0.02
# Requests that were sent ahead of the answers to earlier ones are served at
# this interval, those of all connections of a server together: other clients
# need the processor as well.
PIPELINED_INTERVAL_S: Final = 0.01


class HttpServer:
    """Listens on one address and runs a handler for each request."""

    def __init__(
        self,
        handler: Handler,
        on_error: Callable[[Exception], None] = lambda exc: None,
    ) -> None:
        self.handler = handler
        self.on_error = on_error
        self.connections: set[ServerConnection] = set()
        self.draining = False
        # Set before the server listens, if several share an account.
        self.held = HeldBytes()
        self.kept: ConnectionGroup = ConnectionBounds().group()
        # Used by each connection for the time of one read.
        self.read_buffer = memoryview(bytearray(BODY_READ_BYTES))
        self._server: asyncio.Server | None = None
        self._pipelined_at = 0.0
        self._turns: deque[Callable[[], None]] = deque()

    async def async_setup(
        self, host: str, port: int, sock: socket.socket | None = None
    ) -> int:
        """Listen and return the bound port; 0 selects a free one.

        If `sock` is given, it is used instead of the address.
        """
        loop = asyncio.get_running_loop()
        if sock is None:
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            sock = socket.create_server((host, port), family=family)
        sock.setblocking(False)
        self._server = await loop.create_server(
            lambda: ServerConnection(self),
            sock=sock,
            backlog=MAX_ACCEPTED_AT_ONCE,
        )
        # asyncio accepts as many connections at once as its backlog has.
        sock.listen(BACKLOG)
        return int(self._server.sockets[0].getsockname()[1])

    def start_drain(self) -> None:
        """Close each connection after its next response that announces it.

        Idle connections stay open: a request may be in transit, and must
        get a response rather than a connection reset.
        """
        self.draining = True

    def take_turn_later(self, turn: Callable[[], None]) -> None:
        """Run the next turn of a body in many parts, after those of others.

        One runs in each cycle of the event loop: with one for each of many
        connections, a cycle took longer than a connection to a server may.
        """
        self._turns.append(turn)
        if len(self._turns) == 1:
            asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        turn = self._turns[0]
        try:
            turn()
        finally:
            self._turns.popleft()
            if self._turns:
                asyncio.get_running_loop().call_soon(self._run_turn)

    def next_pipelined_at(self) -> float:
        """Return when the next request that was sent ahead is served."""
        now = asyncio.get_running_loop().time()
        latest = now + PIPELINED_INTERVAL_S * len(self.connections)
        at = max(now, self._pipelined_at) + PIPELINED_INTERVAL_S
        self._pipelined_at = min(at, latest)
        return self._pipelined_at

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a request has been read on some connection."""
        return any(conn.is_receiving for conn in self.connections)

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for conn in list(self.connections):
            conn.close_if_idle()

    async def async_unload(self) -> None:
        """Stop listening and close all connections.

        Requests in progress get `STOP_GRACE_S` to finish, until the last
        byte of their responses is sent, and are aborted after that.
        """
        if self._server:
            self._server.close()
        self.draining = True
        loop = asyncio.get_running_loop()
        deadline = loop.time() + STOP_GRACE_S
        while loop.time() < deadline:
            await asyncio.sleep(STOP_POLL_S)
            if not any(
                conn.busy or conn.expects_first_request
                for conn in self.connections
            ):
                break
        self.close_idle()
        for conn in list(self.connections):
            conn.abort_if_busy()
