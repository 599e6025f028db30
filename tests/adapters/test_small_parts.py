"""Tests of bodies in parts so small that their parsing is what they cost."""

import asyncio
import time
from contextlib import AsyncExitStack
from typing import Any

import testtools

from tests.front.raw_server import raw_server
from tests.helpers import async_test
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import EndlessResponseError
from waxwingarch.adapters.http_messages import HttpRequest, HttpResponder
from waxwingarch.adapters.http_server import HttpServer

LISTEN_IP = "127.0.0.1"
# A request has its answer half a second after its time-out; what holds up
# the event loop may take a part of this.
MAX_LAG_S = 0.25
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(size: int) -> bytes:
    return f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"


class LagMeter:
    """Measures the longest time in which no other task could run.

    It is the processor time of this thread, so that other processes don't
    count.
    """

    def __init__(self) -> None:
        self.longest_s = 0.0

    async def __aenter__(self) -> "LagMeter":
        self._task = asyncio.create_task(self._async_run())
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _async_run(self) -> None:
        while True:
            before = time.thread_time()
            await asyncio.sleep(0)
            lag_s = time.thread_time() - before
            self.longest_s = max(self.longest_s, lag_s)


def endless(size: int) -> Any:
    """Return a server whose body in chunks of a size does not end."""

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD)
        while True:
            writer.write(chunk(size) * max(1, 16_384 // size))
            await writer.drain()

    return async_serve


class EndlessResponses(testtools.TestCase):
    async def async_read_all(self, size: int, servers: int) -> list[Any]:
        """Read the responses of servers; return how each has ended."""
        client = HttpClient()
        deadline = asyncio.get_running_loop().time() + 20.0
        async with AsyncExitStack() as stack:
            addresses = [
                await stack.enter_async_context(raw_server(endless(size)))
                for _ in range(servers)
            ]
            ends = await asyncio.gather(
                *(
                    client.async_request("GET", a, "/", deadline=deadline)
                    for a in addresses
                ),
                return_exceptions=True,
            )
        await client.async_unload()
        return ends

    async def async_check(self, size: int, servers: int) -> None:
        """Check that bodies in chunks of a size are given up in time."""
        async with LagMeter() as lag:
            ends = await self.async_read_all(size, servers)
        note = (size, servers)
        self.assertEqual(
            [EndlessResponseError] * servers, [type(end) for end in ends], note
        )
        self.assertLess(lag.longest_s, MAX_LAG_S, note)

    # These guard against a host that answers nothing for seconds.
    @async_test
    async def test_chunks_of_a_byte(self) -> None:
        for servers in (1, 5):
            await self.async_check(1, servers)

    @async_test
    async def test_chunks_of_a_byte_from_many_servers(self) -> None:
        await self.async_check(1, 20)

    @async_test
    async def test_chunks_of_some_bytes(self) -> None:
        for servers in (1, 5):
            await self.async_check(16, servers)

    @async_test
    async def test_chunks_of_some_bytes_from_many_servers(self) -> None:
        await self.async_check(16, 20)

    # Their bytes are bounded; those of 20 servers take seconds to be read.
    @async_test
    async def test_larger_chunks(self) -> None:
        for size in (256, 4096):
            for servers in (1, 5):
                await self.async_check(size, servers)

    @async_test
    async def test_sound_response_in_small_parts_is_read(self) -> None:
        body = chunk(1) * 9_000 + b"0\r\n\r\n"

        async def async_serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + body)
            await reader.read()

        client = HttpClient()
        async with raw_server(async_serve) as address:
            response = await client.async_request(
                "GET",
                address,
                "/",
                deadline=asyncio.get_running_loop().time() + 10.0,
            )
            await client.async_unload()
        self.assertEqual(b"x" * 9_000, response.body)


class RequestsInSmallParts(testtools.TestCase):
    async def async_send(self, parts: int) -> tuple[bytes, float]:
        """Send a body in parts of a byte; return the status and the lag."""

        async def async_echo(req: HttpRequest, resp: HttpResponder) -> None:
            await resp.async_send(200, str(len(req.body)).encode())

        server = HttpServer(async_echo)
        port = await server.async_setup(LISTEN_IP, 0)
        reader, writer = await asyncio.open_connection(LISTEN_IP, port)
        async with LagMeter() as lag:
            writer.write(
                b"POST / HTTP/1.1\r\nHost: h\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
            )
            writer.write(chunk(1) * parts + b"0\r\n\r\n")
            status = await reader.readuntil(b"\r\n")
            rest = await asyncio.wait_for(reader.read(4096), 5.0)
        writer.transport.abort()
        await asyncio.gather(writer.wait_closed(), return_exceptions=True)
        await server.async_unload()
        return status + rest, lag.longest_s

    # Guards against a caller that holds up all others.
    @async_test
    async def test_they_hold_up_nothing(self) -> None:
        response, lag_s = await self.async_send(60_000)
        self.assertIn(b" 200 ", response)
        self.assertTrue(response.endswith(b"60000"), response)
        self.assertLess(lag_s, MAX_LAG_S)

    @async_test
    async def test_endless_ones_are_refused(self) -> None:
        response, lag_s = await self.async_send(150_000)
        self.assertIn(b" 400 ", response)
        self.assertLess(lag_s, MAX_LAG_S)
