"""A server whose responses never end, each in another part of them."""

import asyncio
from typing import Final

from standins.fleet_store import LISTEN_IP

BLOCK: Final = b"x" * 16_384
HEAD: Final = (
    b"HTTP/1.1 200 OK\r\n"
    b"X-Waxwingarch-Request-Id: %s\r\n"
    b"X-Waxwingarch-Server-Stamp: stamp\r\n"
)
CHUNKED: Final = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What is sent first, and then again and again, by the part without an end.
PARTS: Final[dict[str, tuple[bytes, bytes]]] = {
    "status line": (b"HTTP/1.1 200 ", BLOCK),
    "header line": (HEAD + b"X-Long: ", BLOCK),
    "headers": (HEAD, b"X-More: y\r\n" * 1000),
    "informational": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 500),
    "chunk size": (CHUNKED, b"0" * 16_384),
    "chunk extension": (CHUNKED + b"5;ext=", BLOCK),
    "chunks": (CHUNKED, b"4000\r\n" + BLOCK + b"\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"X-More: y\r\n" * 1000),
    "body until close": (HEAD + b"\r\n", BLOCK),
    "past its length": (HEAD + b"Content-Length: 2\r\n\r\nok", BLOCK),
    "failure": (
        HEAD.replace(b"200 OK", b"500 Failed") + b"\r\n",
        BLOCK,
    ),
    "rejection": (
        HEAD.replace(b"200 OK", b"503 Full")
        + b"X-Waxwingarch-Not-Executed: 1\r\n\r\n",
        BLOCK,
    ),
    "no answer at all": (b"", b"\x00" * 16_384),
}


class FloodServer:
    """Answers each request with the start of a response and then a flood.

    The flood begins `delay_s` after the start of the response.
    """

    def __init__(self, part: str, delay_s: float = 0.0) -> None:
        self.address = ""
        self.request_count = 0
        self.sent_bytes = 0
        self.open_connections = 0
        self._first, self._again = PARTS[part]
        self._delay_s = delay_s
        self._server: asyncio.Server | None = None

    async def async_setup(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._async_serve, LISTEN_IP, 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{LISTEN_IP}:{port}"

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open_connections += 1
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.request_count += 1
            name = b"x-waxwingarch-request-id:"
            [line] = [
                line
                for line in head.split(b"\r\n")
                if line.lower().startswith(name)
            ]
            request_id = line[len(name) :].strip()
            first = self._first
            writer.write(first % request_id if b"%s" in first else first)
            await asyncio.sleep(self._delay_s)
            while True:
                writer.write(self._again)
                await writer.drain()
                self.sent_bytes += len(self._again)
        except (OSError, asyncio.IncompleteReadError):
            # The caller closed the connection.
            return
        finally:
            self.open_connections -= 1
            writer.transport.abort()
