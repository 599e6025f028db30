"""Tests of the HTTP server and client together."""

import asyncio
import socket
import threading
import time

import testtools

from tests.helpers import async_test
from waxwingarch.adapters.http_client import (
    ConnectFailedError,
    CutLinkError,
    HttpClient,
    SilentLinkError,
)
from waxwingarch.adapters.http_messages import (
    HttpRequest,
    HttpResponder,
)
from waxwingarch.adapters.http_server import (
    HttpServer,
)


async def _handle(req: HttpRequest, resp: HttpResponder) -> None:
    if req.path == "/echo":
        await resp.async_send(200, req.body)
    elif req.path == "/stream":
        await resp.async_start(200, [])
        for piece in (b"a", b"b", b"c"):
            await resp.async_write(piece)
        await resp.async_end()
    elif req.path == "/silent":
        await resp.disconnected.wait()
    elif req.path == "/cut":
        await resp.async_start(200, [])
        await resp.async_write(b"half")
        resp.abort()


class HttpRoundTrip(testtools.TestCase):
    @async_test
    async def test_answers_and_failures(self) -> None:
        server = HttpServer(_handle)
        port = await server.async_setup("127.0.0.1", 0)
        client = HttpClient()
        address = f"127.0.0.1:{port}"
        now = asyncio.get_running_loop().time
        for _ in range(2):
            answer = await client.async_request(
                "POST", address, "/echo", deadline=now() + 5, body=b"hi"
            )
            self.assertEqual((200, b"hi"), (answer.status, answer.body))
        self.assertEqual(1, len(server.connections))
        answer = await client.async_request(
            "GET", address, "/stream", deadline=now() + 5
        )
        self.assertEqual(b"abc", answer.body)
        with testtools.ExpectedException(SilentLinkError):
            await client.async_request(
                "GET", address, "/silent", deadline=now() + 0.1
            )
        with testtools.ExpectedException(CutLinkError):
            await client.async_request(
                "GET", address, "/cut", deadline=now() + 5
            )
        await client.async_unload()
        await server.async_unload()
        with testtools.ExpectedException(ConnectFailedError):
            await client.async_request(
                "GET", address, "/echo", deadline=now() + 5
            )

    @async_test
    async def test_broken_input_is_refused(self) -> None:
        server = HttpServer(_handle)
        port = await server.async_setup("127.0.0.1", 0)
        cases = (
            (b"nonsense\r\n\r\n", b"HTTP/1.1 400"),
            (b"GET / HTTP/1.1\r\nx: " + b"y" * 70000, b"HTTP/1.1 431"),
        )
        for sent, expected in cases:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(sent)
            answer = await reader.read(1000)
            self.assertTrue(answer.startswith(expected), answer)
            self.assertIn(b'"ran":"not run"', answer)
            writer.close()
        await server.async_unload()

    @async_test
    async def test_an_end_that_comes_with_the_last_piece(self) -> None:
        server = HttpServer(_handle)
        port = await server.async_setup("127.0.0.1", 0)
        client = HttpClient()
        deadline = asyncio.get_running_loop().time() + 5
        address = f"127.0.0.1:{port}"
        pieces = []
        async with client.async_stream(
            "GET", address, "/stream", deadline=deadline
        ) as stream:
            while (piece := await stream.async_read(deadline)) is not None:
                pieces.append(piece)
        self.assertEqual(b"abc", b"".join(pieces))
        await client.async_unload()
        await server.async_unload()


class StoppingServer(testtools.TestCase):
    @async_test
    async def test_a_request_on_its_way_is_answered(self) -> None:
        server = HttpServer(_handle)
        port = await server.async_setup("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        answers = []
        for _ in range(2):
            writer.write(b"POST /echo HTTP/1.1\r\nhost: x\r\n")
            writer.write(b"content-length: 2\r\n\r\nhi")
            answers.append(await reader.readuntil(b"hi"))
            server.start_drain()
        self.assertNotIn(b"connection: close", answers[0])
        self.assertIn(b"connection: close", answers[1])
        self.assertEqual(b"", await reader.read())
        writer.close()
        await server.async_unload()


class StalledProcess(testtools.TestCase):
    """The process did not run for a while, as on a frozen machine."""

    @async_test
    async def test_bytes_that_came_meanwhile_are_no_silence(self) -> None:
        def serve() -> None:
            """Answer one connection from a thread, which is not stalled."""
            conn, _ = listener.accept()
            conn.recv(10_000)
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
            stalled.wait(5.0)
            conn.sendall(b"cd")
            conn.close()
            sent.set()

        def stall() -> None:
            """Hold the loop up past the time for silence."""
            stalled.set()
            sent.wait(5.0)
            time.sleep(max(0.0, silent_at - loop.time()) + 0.01)

        stalled, sent = threading.Event(), threading.Event()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            loop = asyncio.get_running_loop()
            served = loop.run_in_executor(None, serve)
            client = HttpClient()
            async with client.async_stream(
                "GET",
                f"127.0.0.1:{listener.getsockname()[1]}",
                "/",
                deadline=loop.time() + 5,
            ) as stream:
                first = await stream.async_read(loop.time() + 5)
                self.assertEqual(b"ab", first)
                silent_at = loop.time() + 0.1
                reading = asyncio.create_task(stream.async_read(silent_at))
                await asyncio.sleep(0)
                loop.call_soon(stall)
                self.assertEqual(b"cd", await reading)
            await served
            await client.async_unload()
