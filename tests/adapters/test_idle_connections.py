"""Tests that idle connections are closed without another request."""

import asyncio
from contextlib import AsyncExitStack

import testtools

from tests.front.base import async_until
from tests.front.raw_server import raw_server
from tests.helpers import async_test
from waxwingarch.adapters.http_client import (
    IDLE_CHECK_INTERVAL_S,
    MAX_IDLE,
    MAX_IDLE_PER_ADDRESS,
    HttpClient,
)
from waxwingarch.adapters.http_connection import MAX_REUSE_IDLE_S

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


async def async_serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer all requests of a connection, a moment after each."""
    while True:
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.05)
        writer.write(RESPONSE)


async def async_burst(client: HttpClient, address: str, count: int) -> None:
    """Send requests at once, so that each has its own connection."""
    deadline = asyncio.get_running_loop().time() + 10.0
    await asyncio.gather(
        *(
            client.async_request("GET", address, "/", deadline=deadline)
            for _ in range(count)
        )
    )


class IdleConnections(testtools.TestCase):
    # Guards against a host that has no file descriptor left for callers, as
    # it keeps sockets to servers that left hours ago.
    @async_test
    async def test_those_that_the_server_closed_are_closed(self) -> None:
        client = HttpClient()
        async with raw_server(async_serve) as address:
            await async_burst(client, address, 20)
            self.assertEqual(20, client.idle_count)
        ended_at = asyncio.get_running_loop().time()
        await async_until(lambda: not client.idle_count, "they are closed")
        lasted_s = asyncio.get_running_loop().time() - ended_at
        self.assertLess(lasted_s, 2 * IDLE_CHECK_INTERVAL_S)

    @async_test
    async def test_those_that_are_not_used_are_closed(self) -> None:
        client = HttpClient()
        async with raw_server(async_serve) as address:
            await async_burst(client, address, 20)
            began_at = asyncio.get_running_loop().time()
            await async_until(lambda: not client.idle_count, "closed")
            lasted_s = asyncio.get_running_loop().time() - began_at
            self.assertLess(
                lasted_s, MAX_REUSE_IDLE_S + 2 * IDLE_CHECK_INTERVAL_S
            )
            # The next request has a connection of its own.
            await async_burst(client, address, 1)
            self.assertEqual(1, client.idle_count)
            await client.async_unload()
        self.assertEqual(0, client.idle_count)

    @async_test
    async def test_their_number_is_bounded_over_all_addresses(self) -> None:
        client = HttpClient()
        async with AsyncExitStack() as stack:
            for _ in range(MAX_IDLE // MAX_IDLE_PER_ADDRESS + 2):
                address = await stack.enter_async_context(
                    raw_server(async_serve)
                )
                await async_burst(client, address, MAX_IDLE_PER_ADDRESS + 4)
                self.assertLessEqual(client.idle_count, MAX_IDLE)
            self.assertEqual(MAX_IDLE, client.idle_count)
            await client.async_unload()
