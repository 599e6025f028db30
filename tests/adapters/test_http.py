"""Tests of the HTTP server and client against each other."""

import asyncio
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import testtools

from tests.helpers import async_test
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import (
    ConnectFailedError,
    CutLinkError,
    SilentLinkError,
)
from waxwingarch.adapters.http_messages import (
    HttpRequest,
    HttpResponder,
)
from waxwingarch.adapters.http_server import (
    HttpServer,
)

# More than the buffers of the kernel hold.
LARGE_BODY_BYTES = 32_000_000


async def _handle_request(req: HttpRequest, resp: HttpResponder) -> None:
    if req.path == "/echo":
        await resp.async_send(200, req.body)
    elif req.path == "/stream":
        await resp.async_start(200, [])
        for part in (b"a", b"b", b"c"):
            await resp.async_write(part)
        await resp.async_end()
    elif req.path == "/silent":
        await resp.disconnected.wait()
    elif req.path == "/cut":
        await resp.async_start(200, [])
        await resp.async_write(b"half")
        resp.abort()


class HttpRoundTripTest(testtools.TestCase):
    @async_test
    async def test_responses_and_their_failures(self) -> None:
        server = HttpServer(_handle_request)
        port = await server.async_setup("127.0.0.1", 0)
        client = HttpClient()
        address = f"127.0.0.1:{port}"
        now = asyncio.get_running_loop().time
        for _ in range(2):
            response = await client.async_request(
                "POST", address, "/echo", deadline=now() + 5, body=b"hi"
            )
            self.assertEqual((200, b"hi"), (response.status, response.body))
        self.assertEqual(1, len(server.connections))
        response = await client.async_request(
            "GET", address, "/stream", deadline=now() + 5
        )
        self.assertEqual(b"abc", response.body)
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

    # Guards against a request that runs on a route whose prefix does not
    # begin its path.
    # Guards against "not run" for a request that a handler had sent on
    # before its error.
    @async_test
    async def test_request_may_have_run_before_an_error(self) -> None:
        async def handle(req: HttpRequest, resp: HttpResponder) -> None:
            raise ValueError("made")

        server, client = HttpServer(handle), HttpClient()
        port = await server.async_setup("127.0.0.1", 0)
        response = await client.async_request(
            "POST",
            f"127.0.0.1:{port}",
            "/pay",
            deadline=asyncio.get_running_loop().time() + 5,
        )
        await client.async_unload()
        await server.async_unload()
        self.assertEqual(500, response.status)
        self.assertEqual("unknown", response.json()["error"]["ran"])

    @async_test
    async def test_path_with_two_slashes_is_one(self) -> None:
        paths: list[str] = []

        async def async_answer(req: HttpRequest, resp: HttpResponder) -> None:
            paths.append(f"{req.path} {req.query}")
            await resp.async_send(200, b"")

        server = HttpServer(async_answer)
        port = await server.async_setup("127.0.0.1", 0)
        client = HttpClient()
        for target in ("//x/pay/2", "/pay/2?a=1", "//", "http://h/pay/2"):
            await client.async_request(
                "GET",
                f"127.0.0.1:{port}",
                target,
                deadline=asyncio.get_running_loop().time() + 5,
            )
        await client.async_unload()
        await server.async_unload()
        self.assertEqual(
            ["//x/pay/2 {}", "/pay/2 {'a': '1'}", "// {}", "/pay/2 {}"], paths
        )

    @async_test
    async def test_malformed_requests_are_rejected(self) -> None:
        server = HttpServer(_handle_request)
        port = await server.async_setup("127.0.0.1", 0)
        cases = (
            (b"nonsense\r\n\r\n", b"HTTP/1.1 400"),
            (b"GET / HTTP/1.1\r\nx: " + b"y" * 70000, b"HTTP/1.1 431"),
        )
        for request, expected in cases:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request)
            response = await reader.read(1000)
            self.assertTrue(response.startswith(expected), response)
            self.assertIn(b'"ran":"not run"', response)
            writer.close()
        await server.async_unload()

    @async_test
    async def test_end_received_with_the_last_part_of_a_body(self) -> None:
        server = HttpServer(_handle_request)
        port = await server.async_setup("127.0.0.1", 0)
        client = HttpClient()
        deadline = asyncio.get_running_loop().time() + 5
        address = f"127.0.0.1:{port}"
        parts = []
        async with client.async_stream(
            "GET", address, "/stream", deadline=deadline
        ) as stream:
            while (part := await stream.async_read(deadline)) is not None:
                parts.append(part)
        self.assertEqual(b"abc", b"".join(parts))
        await client.async_unload()
        await server.async_unload()


class DrainingServerTest(testtools.TestCase):
    @async_test
    async def test_request_after_drain_start_gets_a_response(self) -> None:
        server = HttpServer(_handle_request)
        port = await server.async_setup("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        responses = []
        for _ in range(2):
            writer.write(b"POST /echo HTTP/1.1\r\nhost: x\r\n")
            writer.write(b"content-length: 2\r\n\r\nhi")
            responses.append(await reader.readuntil(b"hi"))
            server.start_drain()
        self.assertNotIn(b"connection: close", responses[0])
        self.assertIn(b"connection: close", responses[1])
        self.assertEqual(b"", await reader.read())
        writer.close()
        await server.async_unload()

    # The connection was closed after a response that had begun before the
    # drain and so did not announce it, with a request that was read.
    @async_test
    async def test_request_behind_an_unannounced_end_gets_a_response(
        self,
    ) -> None:
        async def handle(req: HttpRequest, resp: HttpResponder) -> None:
            if req.path == "/echo":
                await resp.async_send(200, req.body)
                return
            await resp.async_start(200, [])
            await ending.wait()
            await resp.async_end()

        ending = asyncio.Event()
        server = HttpServer(handle)
        port = await server.async_setup("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /begun HTTP/1.1\r\nhost: x\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertNotIn(b"connection: close", head)
        server.start_drain()
        writer.write(b"POST /echo HTTP/1.1\r\nhost: x\r\n")
        writer.write(b"content-length: 2\r\n\r\nhi")
        await asyncio.sleep(0.05)
        ending.set()
        rest = await reader.read()
        self.assertTrue(rest.startswith(b"0\r\n\r\nHTTP/1.1 200"), rest)
        self.assertIn(b"connection: close", rest)
        self.assertTrue(rest.endswith(b"hi"))
        writer.close()
        await server.async_unload()

    # A caller that had just connected lost its first request, in transit.
    @async_test
    async def test_connection_without_a_request_yet_is_not_idle(self) -> None:
        server = HttpServer(_handle_request)
        port = await server.async_setup("127.0.0.1", 0)
        server.start_drain()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while not server.connections:  # noqa: ASYNC110
            await asyncio.sleep(0)
        server.close_idle()
        unload = asyncio.create_task(server.async_unload())
        await asyncio.sleep(0.1)
        writer.write(b"POST /echo HTTP/1.1\r\nhost: x\r\n")
        writer.write(b"content-length: 2\r\n\r\nhi")
        response = await reader.read()
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
        self.assertIn(b"connection: close", response)
        writer.close()
        await unload

    # The process ended with a part of an answer in its write buffers.
    @async_test
    async def test_stop_waits_for_a_caller_that_reads_slowly(self) -> None:
        def read_slowly() -> int:
            """Read the answer in a thread; return the bytes received."""
            with socket.create_connection(("127.0.0.1", port)) as conn:
                conn.settimeout(2.0)
                conn.sendall(b"GET /large HTTP/1.1\r\nhost: x\r\n\r\n")
                received = len(conn.recv(1000))
                stopping.wait(5.0)
                time.sleep(0.2)
                while received <= LARGE_BODY_BYTES:
                    part = conn.recv(1_000_000)
                    if not part:
                        break
                    received += len(part)
                return received

        async def handle(req: HttpRequest, resp: HttpResponder) -> None:
            await resp.async_send(200, b"x" * LARGE_BODY_BYTES)
            handled.set()

        stopping, handled = threading.Event(), asyncio.Event()
        server = HttpServer(handle)
        port = await server.async_setup("127.0.0.1", 0)
        with ThreadPoolExecutor() as pool:
            reader = pool.submit(read_slowly)
            await handled.wait()
            stopping.set()
            await server.async_unload()
            # Blocks the loop, as if the process had ended.
            received = reader.result()
        self.assertGreater(received, LARGE_BODY_BYTES)


class StalledProcessTest(testtools.TestCase):
    """Tests of a process that was suspended past a read deadline."""

    @async_test
    async def test_data_received_during_a_stall_is_no_timeout(self) -> None:
        def serve() -> None:
            """Serve one connection from a thread, which is not stalled."""
            conn, _ = listener.accept()
            conn.recv(10_000)
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
            stalled.wait(5.0)
            conn.sendall(b"cd")
            conn.close()
            sent.set()

        def stall() -> None:
            """Block the loop until after the deadline of the read."""
            stalled.set()
            sent.wait(5.0)
            time.sleep(max(0.0, read_deadline - loop.time()) + 0.01)

        stalled, sent = threading.Event(), threading.Event()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            loop = asyncio.get_running_loop()
            server_thread = loop.run_in_executor(None, serve)
            client = HttpClient()
            async with client.async_stream(
                "GET",
                f"127.0.0.1:{listener.getsockname()[1]}",
                "/",
                deadline=loop.time() + 5,
            ) as stream:
                first = await stream.async_read(loop.time() + 5)
                self.assertEqual(b"ab", first)
                read_deadline = loop.time() + 0.1
                read = asyncio.create_task(stream.async_read(read_deadline))
                await asyncio.sleep(0)
                loop.call_soon(stall)
                self.assertEqual(b"cd", await read)
            await server_thread
            await client.async_unload()
