"""Tests of streams that break off, and of what the next server answers."""

import asyncio
import re

import testtools

from standins.front_process import KEY, call_headers
from tests.front.base import Host
from tests.front.raw_server import (
    LISTEN_IP,
    ServeConnection,
    async_read_request,
    only_servers,
)
from tests.helpers import async_test
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import CutLinkError
from waxwingarch.adapters.http_messages import HttpResponder
from waxwingarch.adapters.http_server import HttpServer
from waxwingarch.adapters.server_connection import ResponseStartedError

EVENT_STREAM = "text/event-stream"
CHUNKS_END = b"0\r\n\r\n"


def event(number: int | None, text: str = "token") -> bytes:
    """Return an event, without an id if the number is None."""
    line = "" if number is None else f"id: {number}\n"
    return f"{line}data: {text}\n\n".encode()


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def head(
    request_id: str,
    status: str = "200 OK",
    content_type: str = EVENT_STREAM,
    *fields: str,
) -> bytes:
    lines = [
        f"HTTP/1.1 {status}",
        "X-Waxwingarch-Server-Stamp: s",
        f"X-Waxwingarch-Request-Id: {request_id}",
        f"Content-Type: {content_type}",
        *(fields or ("Transfer-Encoding: chunked",)),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Servers:
    """Two servers: one breaks off, the next one answers as it is told."""

    def __init__(self, begin: bytes, follow: bytes, **head_of: str) -> None:
        self._begin = begin
        self._follow = follow
        self._head_of = head_of
        self.requests = 0

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request_id = await async_read_request(reader)
        self.requests += 1
        if self.requests == 1:
            writer.write(head(request_id) + self._begin)
            await asyncio.sleep(0.1)
            writer.transport.abort()
            return
        fields = [f for f in (self._head_of.get("field"),) if f]
        writer.write(
            head(
                request_id,
                self._head_of.get("status", "200 OK"),
                self._head_of.get("content_type", EVENT_STREAM),
                *fields,
            )
            + self._follow
        )
        if self._head_of.get("closes"):
            await asyncio.sleep(0.1)
            writer.close()
            return
        await reader.readuntil(b"\r\n\r\n")


class CopyingServers(Servers):
    """Two servers: one breaks off, and then each refuses once.

    After that either answers, behind a copy of the refusal where one was
    given.
    """

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self.requests:
            await super().async_serve(reader, writer)
            return
        request_id = await async_read_request(reader)
        self.requests += 1
        refusal = b""
        if self.requests <= 3:
            refusal = head(request_id, "503 Busy", "", NOT_EXECUTED)
            writer.write(refusal)
            await async_read_request(reader)
            self.requests += 1
        writer.write(refusal + head(request_id) + self._follow)
        await reader.readuntil(b"\r\n\r\n")


async def async_call(host: Host, path: str = "/draft/x") -> bytes:
    """Return all bytes of the response body, as they came."""
    reader, writer = await asyncio.open_connection(LISTEN_IP, host.ports[0])
    fields = call_headers("r-1", 4000, KEY)
    lines = [f"POST {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields)]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    data = b""
    try:
        async with asyncio.timeout(8):
            while not data.endswith(CHUNKS_END) and (
                part := await reader.read(65536)
            ):
                data += part
    except ConnectionError:
        pass
    finally:
        writer.transport.abort()
        await asyncio.gather(writer.wait_closed(), return_exceptions=True)
    return data


def body_of(response: bytes) -> bytes:
    """Return the content of a chunked body, without its framing."""
    _, _, rest = response.partition(b"\r\n\r\n")
    content = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        if not re.fullmatch(rb"[0-9a-f]+", size):
            raise AssertionError(f"not a chunk: {size!r} {rest!r}")
        length = int(size, 16)
        content, rest = content + rest[:length], rest[length + 2 :]
    return content


BEGIN = event(1) + event(2)
ERROR = b'{"error":\n\n"no room"}\n\n'
ERROR_LENGTH = f"Content-Length: {len(ERROR)}"
NOT_EXECUTED = "Content-Length: 0\r\nX-Waxwingarch-Not-Executed: 1"


class AfterABreak(testtools.TestCase):
    """A stream has begun and broken off, and another server is asked."""

    async def async_check(
        self, servers: Servers, expected: bytes, *, is_complete: bool
    ) -> None:
        """Check what the caller gets, and whether it looks complete."""
        serve: ServeConnection = servers.async_serve
        async with (
            Host() as host,
            only_servers(host, serve, serve, engines=True),
        ):
            response = await async_call(host)
        note = (servers.__dict__, response)
        self.assertEqual(expected, body_of(response), note)
        self.assertEqual(1, response.count(b"HTTP/1.1"), note)
        self.assertEqual(is_complete, response.endswith(CHUNKS_END), note)

    # Guards against a stream that is taken from the server that runs it, as
    # that copies its refusal of the attempt before.
    @async_test
    async def test_copy_of_a_refusal_is_not_taken_for_the_next_answer(
        self,
    ) -> None:
        servers = CopyingServers(chunk(BEGIN), chunk(event(3)) + CHUNKS_END)
        await self.async_check(servers, BEGIN + event(3), is_complete=True)
        self.assertEqual(4, servers.requests)

    # Guards against an error's text, or its head, in the caller's stream.
    @async_test
    async def test_error_of_the_next_server_is_not_passed_on(self) -> None:
        for status, field in (
            ("500 Failed", ERROR_LENGTH),
            ("404 Not Found", ERROR_LENGTH),
            ("503 Busy", ERROR_LENGTH),
            ("302 Found", "Content-Length: 0"),
            ("503 Busy", NOT_EXECUTED),
            ("429 Too Many", NOT_EXECUTED),
            ("421 Misdirected", NOT_EXECUTED),
        ):
            servers = Servers(
                chunk(BEGIN),
                ERROR if field == ERROR_LENGTH else b"",
                status=status,
                content_type="application/json",
                field=field,
            )
            await self.async_check(servers, BEGIN, is_complete=False)

    # Guards against a success of another type in the caller's stream, whose
    # end made the stream look complete.
    @async_test
    async def test_response_of_another_type_is_not_passed_on(self) -> None:
        json_type = {"content_type": "application/json"}
        for follow, head_of in (
            (ERROR, json_type | {"field": ERROR_LENGTH}),
            (ERROR, json_type | {"field": "X: y", "closes": "1"}),
            (chunk(ERROR) + CHUNKS_END, json_type),
            (b"", {"status": "204 No Content", "field": "X: y"}),
            (chunk(event(3)) + CHUNKS_END, {"status": "206 Partial"}),
        ):
            servers = Servers(chunk(BEGIN), follow, **head_of)
            await self.async_check(servers, BEGIN, is_complete=False)

    # Guards against events that the caller gets twice.
    @async_test
    async def test_stream_that_does_not_go_on_is_not_passed_on(self) -> None:
        for follow in (
            event(1) + event(2) + event(3),
            event(2) + event(3),
            event(None) + event(3),
            event(3) + event(None),
        ):
            servers = Servers(chunk(BEGIN), chunk(follow) + CHUNKS_END)
            await self.async_check(servers, BEGIN, is_complete=False)

    # Guards against a stream that begins anew, as nothing says how far the
    # caller has come.
    @async_test
    async def test_stream_without_ids_is_not_sent_again(self) -> None:
        for begin in (
            event(None, "a") + event(None, "b"),
            event(1, "a") + event(None, "b"),
        ):
            servers = Servers(
                chunk(begin), chunk(begin + event(3, "c")) + CHUNKS_END
            )
            await self.async_check(servers, begin, is_complete=False)
            self.assertEqual(1, servers.requests)

    @async_test
    async def test_stream_goes_on_at_the_next_server(self) -> None:
        comment = b": still here\n\n"
        for begin, follow in (
            (BEGIN, event(3) + event(4)),
            (BEGIN + comment, comment + event(3)),
            (BEGIN, event(7)),
            # All events had come before the break.
            (BEGIN, b""),
        ):
            rest = (chunk(follow) if follow else b"") + CHUNKS_END
            servers = Servers(chunk(begin), rest)
            await self.async_check(servers, begin + follow, is_complete=True)


class OneHead(testtools.TestCase):
    # Guards against the head of a second response in the caller's stream.
    @async_test
    async def test_second_response_closes_the_connection(self) -> None:
        async def async_answer_twice(req: object, resp: HttpResponder) -> None:
            await resp.async_start(200, [])
            await resp.async_write(b"part")
            await resp.async_send(502, b"error")

        errors: list[Exception] = []
        server = HttpServer(async_answer_twice, errors.append)
        port = await server.async_setup(LISTEN_IP, 0)
        client = HttpClient()
        now = asyncio.get_running_loop().time()
        async with client.async_stream(
            "GET", f"{LISTEN_IP}:{port}", "/", deadline=now + 5
        ) as stream:
            with testtools.ExpectedException(CutLinkError):
                await stream.async_read_rest(now + 5)
        self.assertEqual([ResponseStartedError], [type(exc) for exc in errors])
        await server.async_unload()
