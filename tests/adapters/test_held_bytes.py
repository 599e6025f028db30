"""Tests of the account of the bytes that a host holds."""

import asyncio

import testtools

from tests.front.raw_server import ServeConnection, raw_server
from tests.helpers import async_test
from waxwingarch.adapters.held_bytes import (
    FREE_BYTES,
    HeldBody,
    HeldBytes,
    NoRoomError,
)
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import EndlessResponseError
from waxwingarch.adapters.http_messages import HttpRequest, HttpResponder
from waxwingarch.adapters.http_server import HttpServer

LISTEN_IP = "127.0.0.1"
LIMIT = 4 * FREE_BYTES


def soon(seconds: float = 2.0) -> float:
    return asyncio.get_running_loop().time() + seconds


def answer_with(data: bytes) -> ServeConnection:
    """Return a server that writes so much and then waits."""

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await reader.read()
        writer.close()

    return async_serve


class Account(testtools.TestCase):
    @async_test
    async def test_short_bodies_always_have_room(self) -> None:
        held = HeldBytes(LIMIT)
        self.assertTrue(HeldBody(held).try_hold(LIMIT))
        self.assertFalse(HeldBody(held).try_hold(FREE_BYTES + 1))
        self.assertTrue(HeldBody(held).try_hold(FREE_BYTES))
        self.assertEqual(LIMIT + FREE_BYTES, held.held_bytes)

    @async_test
    async def test_released_bytes_go_to_the_next_body(self) -> None:
        held = HeldBytes(LIMIT)
        first, second = HeldBody(held), HeldBody(held)
        first.try_hold(LIMIT)
        wait = asyncio.create_task(second.async_hold(LIMIT, soon()))
        await asyncio.sleep(0.05)
        self.assertFalse(wait.done())
        first.release()
        await wait
        self.assertEqual(LIMIT, held.held_bytes)
        second.release()
        self.assertEqual(0, held.held_bytes)

    @async_test
    async def test_largest_body_without_a_length_is_given_up(self) -> None:
        held = HeldBytes(LIMIT)
        ended: list[str] = []
        sized = HeldBody(held)
        small = HeldBody(held, lambda: ended.append("small"))
        large = HeldBody(held, lambda: ended.append("large"))
        sized.try_hold(2 * FREE_BYTES)
        small.try_hold(FREE_BYTES // 2)
        large.try_hold(FREE_BYTES + 1)
        await HeldBody(held).async_hold(FREE_BYTES + 2, soon())
        self.assertEqual(["large"], ended)
        with testtools.ExpectedException(NoRoomError):
            await large.async_hold(1, soon())

    @async_test
    async def test_body_without_room_ends_at_its_deadline(self) -> None:
        held = HeldBytes(LIMIT)
        HeldBody(held).try_hold(LIMIT)
        with testtools.ExpectedException(NoRoomError):
            await HeldBody(held).async_hold(FREE_BYTES + 1, soon(0.1))


class Responses(testtools.TestCase):
    """Bodies of responses share the account of their client."""

    async def async_read(self, client: HttpClient, framing: bytes) -> object:
        """Read bodies of 600 kB at once; return how each has ended."""

        async def async_serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n")
            writer.write(b"x" * 600_000)
            await writer.drain()
            writer.close()

        async def read(address: str) -> int:
            async with client.async_stream(
                "GET", address, "/", deadline=soon()
            ) as stream:
                return len(await stream.async_read_rest(soon()))

        async with raw_server(async_serve) as address:
            ends = await asyncio.gather(
                *(read(address) for _ in range(3)), return_exceptions=True
            )
        await client.async_unload()
        return [end if isinstance(end, int) else type(end) for end in ends]

    @async_test
    async def test_bodies_with_a_length_are_read_in_turn(self) -> None:
        client = HttpClient(HeldBytes(700_000))
        ends = await self.async_read(client, b"Content-Length: 600000")
        self.assertEqual([600_000] * 3, ends)
        self.assertEqual(0, client.held.held_bytes)
        self.assertLessEqual(client.held.peak_bytes, 700_000)

    # Guards against a body that looks whole because its connection was
    # closed to make room.
    @async_test
    async def test_body_that_is_given_up_is_not_whole(self) -> None:
        client = HttpClient(HeldBytes(700_000))
        ends = await self.async_read(client, b"Connection: close")
        self.assertIn(600_000, ends)
        self.assertLessEqual(set(ends), {600_000, NoRoomError})
        self.assertEqual(0, client.held.held_bytes)

    # Guards against a stream that goes back to its server as after a broken
    # path, or looks whole, though this host has closed its connection.
    @async_test
    async def test_stream_that_is_given_up_says_so(self) -> None:
        for framing in (b"Transfer-Encoding: chunked", b"Connection: close"):
            client = HttpClient(HeldBytes(LIMIT))
            head = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n"
            async with (
                raw_server(answer_with(head + b"2\r\nxx\r\n")) as address,
                client.async_stream(
                    "GET", address, "/", deadline=soon()
                ) as stream,
            ):
                await stream.async_read(soon())
                stream.held.try_hold(LIMIT)
                client.held.give_up_largest()
                with testtools.ExpectedException(NoRoomError):
                    await stream.async_read(soon())

    @async_test
    async def test_length_without_a_body_takes_no_room(self) -> None:
        client = HttpClient()
        for method, status in (("HEAD", 200), ("GET", 304)):
            head = b"HTTP/1.1 %d OK\r\n" % status
            head += b"Content-Length: 10000000000\r\n\r\n"
            async with raw_server(answer_with(head)) as address:
                answer = await client.async_request(
                    method, address, "/", deadline=soon()
                )
                await client.async_unload()
            self.assertEqual((status, b""), (answer.status, answer.body))
        self.assertEqual(0, client.held.peak_bytes)

    @async_test
    async def test_length_beyond_the_bound_is_not_read(self) -> None:
        client = HttpClient()
        ends = await self.async_read(client, b"Content-Length: 10000000000")
        self.assertEqual([EndlessResponseError] * 3, ends)
        self.assertEqual(0, client.held.peak_bytes)


class Requests(testtools.TestCase):
    """Bodies of requests share the account of their server."""

    async def async_send(self, server: HttpServer, data: bytes) -> bytes:
        """Send bytes to a server; return the status line."""
        port = await server.async_setup(LISTEN_IP, 0)
        reader, writer = await asyncio.open_connection(LISTEN_IP, port)
        writer.write(data)
        try:
            return await asyncio.wait_for(reader.readline(), 3.0)
        finally:
            writer.transport.abort()
            await asyncio.gather(writer.wait_closed(), return_exceptions=True)
            await server.async_unload()

    @async_test
    async def test_body_without_room_is_refused_as_not_run(self) -> None:
        async def async_handle(req: HttpRequest, resp: HttpResponder) -> None:
            await resp.async_send(200, b"")

        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"
        for limit, expected in ((1_000_000, b" 200 "), (100_000, b" 503 ")):
            server = HttpServer(async_handle)
            server.held = HeldBytes(limit)
            line = await self.async_send(server, head + b"x" * 100_000)
            self.assertIn(expected, line)
            self.assertEqual(0, server.held.held_bytes)

    # Guards against a caller that fills the memory behind a request that is
    # in progress.
    @async_test
    async def test_bytes_behind_a_request_are_bounded(self) -> None:
        ended = asyncio.Event()
        server = HttpServer(lambda req, resp: ended.wait())  # type: ignore[arg-type]
        port = await server.async_setup(LISTEN_IP, 0)
        _, writer = await asyncio.open_connection(LISTEN_IP, port)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        written = 0
        try:
            async with asyncio.timeout(1.0):
                while written < 64_000_000:
                    writer.write(b"x" * 100_000)
                    await writer.drain()
                    written += 100_000
        except TimeoutError:
            pass
        self.assertLess(written, 16_000_000)
        ended.set()
        writer.transport.abort()
        await asyncio.gather(writer.wait_closed(), return_exceptions=True)
        await server.async_unload()
