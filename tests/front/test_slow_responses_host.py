"""Tests of responses whose parts come a second apart."""

import asyncio
from contextlib import asynccontextmanager
from typing import Any

import testtools

from tests.front.base import Host, async_until
from tests.helpers import async_test

PAUSE_S = 1.2


def head(request_id: str, length: int, status: str = "200 OK") -> bytes:
    """Return the head of a server's response."""
    return (
        f"HTTP/1.1 {status}\r\nX-Waxwingarch-Request-Id: {request_id}\r\n"
        f"X-Waxwingarch-Server-Stamp: s\r\nContent-Length: {length}\r\n\r\n"
    ).encode()


@asynccontextmanager
async def only_server(host: Host, parts: list[bytes]) -> Any:
    """Replace the plain servers by one that sends these parts."""

    async def async_serve(reader: Any, writer: Any) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for part in parts:
            writer.write(part)
            await asyncio.sleep(PAUSE_S)

    listener = await asyncio.start_server(async_serve, "127.0.0.1", 0)
    used, other = host.fleet.plain()
    host.fleet.store.put("servers", other.server_id, None)
    port = listener.sockets[0].getsockname()[1]
    host.fleet.register(used, address=f"127.0.0.1:{port}", born=2_000)
    registry = host.front.load_balancer.registry
    await async_until(
        lambda: (
            [b.server.incarnation for b in registry.usable_backends("ledger")]
            == [2_000]
        ),
        "the other server is known",
    )
    yield
    listener.close()


class SlowResponses(testtools.TestCase):
    # The server's own failure was replaced by one of the host.
    @async_test
    async def test_error_body_that_stalls_is_passed_on(self) -> None:
        parts = [head("req-1", 2, "500 Failed") + b"n", b"o"]
        async with Host() as host, only_server(host, parts):
            response = await host.async_send("/pay/x")
        self.assertEqual((500, b"no"), (response.status, response.body))

    # The host gave up the server in the pause after a stray response.
    @async_test
    async def test_response_after_a_stray_one_is_awaited(self) -> None:
        parts = [head("stray", 1) + b"x", head("req-1", 2) + b"ok"]
        async with Host() as host, only_server(host, parts):
            response = await host.async_send("/read/x")
        self.assertEqual((200, b"ok"), (response.status, response.body))
