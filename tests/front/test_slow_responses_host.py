"""Tests of responses whose parts come a second apart."""

import asyncio
from typing import Any

import testtools

from tests.front.base import Host
from tests.front.raw_server import (
    ServeConnection,
    only_servers,
    response_head,
)
from tests.helpers import async_test

PAUSE_S = 1.2


def sends(parts: list[bytes]) -> ServeConnection:
    """Return a server that sends these parts as its only response."""

    async def async_serve(reader: Any, writer: Any) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for part in parts:
            writer.write(part)
            await asyncio.sleep(PAUSE_S)

    return async_serve


class SlowResponses(testtools.TestCase):
    # The server's own failure was replaced by one of the host.
    @async_test
    async def test_error_body_that_stalls_is_passed_on(self) -> None:
        parts = [response_head("req-1", 2, "500 Failed") + b"n", b"o"]
        async with Host() as host, only_servers(host, sends(parts)):
            response = await host.async_send("/pay/x")
        self.assertEqual((500, b"no"), (response.status, response.body))

    # The host gave up the server in the pause after a stray response.
    @async_test
    async def test_response_after_a_stray_one_is_awaited(self) -> None:
        parts = [
            response_head("stray", 1) + b"x",
            response_head("req-1", 2) + b"ok",
        ]
        async with Host() as host, only_servers(host, sends(parts)):
            response = await host.async_send("/read/x")
        self.assertEqual((200, b"ok"), (response.status, response.body))
