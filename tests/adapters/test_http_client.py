"""Tests of the HTTP client's connections: which is used, and failures."""

import asyncio
import errno
from unittest import mock

import testtools

from tests.helpers import async_test
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import (
    MAX_REQUESTS_PER_CONNECTION,
    ClientConnection,
    ConnectionUse,
    CountingReader,
    CutLinkError,
)
from waxwingarch.adapters.http_messages import HttpRequest, HttpResponder
from waxwingarch.adapters.http_server import HttpServer

PATIENCE_S = 5.0


async def _async_answer(req: HttpRequest, resp: HttpResponder) -> None:
    await resp.async_send(200, b"")


class RequestIds(testtools.TestCase):
    """Which connection a request goes on."""

    async def async_connections(self, *ids: str | None) -> list[int]:
        """Send requests with these ids; return the connection of each."""
        server = HttpServer(_async_answer)
        port = await server.async_setup("127.0.0.1", 0)
        client = HttpClient()
        uses: list[ConnectionUse] = []
        deadline = asyncio.get_running_loop().time() + PATIENCE_S
        for request_id in ids:
            async with client.async_stream(
                "GET",
                f"127.0.0.1:{port}",
                "/",
                deadline=deadline,
                request_id=request_id,
                on_send=uses.append,
            ) as stream:
                await stream.async_read_rest(deadline)
        await client.async_unload()
        await server.async_unload()
        return [use.connection for use in uses]

    # Guards against an answer to an earlier attempt that is taken for that to
    # a later one.
    @async_test
    async def test_connection_carries_each_id_once(self) -> None:
        self.assertEqual(
            [1, 1, 2, 2, 2, 3],
            await self.async_connections("a", "b", "a", "b", "c", "a"),
        )

    # Guards against a new connection where an idle one serves.
    @async_test
    async def test_older_idle_connection_is_used(self) -> None:
        self.assertEqual(
            [1, 2, 2, 1], await self.async_connections("a", "a", "b", "b")
        )

    # Guards against an id that a long-lived connection no longer knows.
    @async_test
    async def test_connection_ends_before_it_forgets_an_id(self) -> None:
        ids = [str(n) for n in range(MAX_REQUESTS_PER_CONNECTION + 1)]
        used = await self.async_connections(*ids, None, ids[-1])
        self.assertEqual([1] * MAX_REQUESTS_PER_CONNECTION + [2, 2, 3], used)


class LostConnection(testtools.TestCase):
    @async_test
    async def test_unanswered_keep_alive_ends_the_wait(self) -> None:
        """The socket's error was taken for the end of the time to wait.

        A caller that waits in steps then read again at once, and did so
        until its deadline without a pause. Each read added to the traceback
        of the same error, until the process was killed for its memory.
        """
        loop = asyncio.get_running_loop()
        reader = CountingReader(loop=loop)
        reader.set_exception(TimeoutError(errno.ETIMEDOUT, "timed out"))
        conn = ClientConnection("127.0.0.1:1", reader, mock.Mock())
        with testtools.ExpectedException(CutLinkError):
            await conn.async_head(loop.time() + PATIENCE_S)
