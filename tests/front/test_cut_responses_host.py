"""Tests of responses of servers that are cut at each of their bytes."""

import asyncio
from contextlib import asynccontextmanager
from typing import Any

import testtools

from standins.front_process import KEY, call_headers
from standins.until_close import reset_transport
from tests.front.base import Host
from tests.front.raw_server import (
    LISTEN_IP,
    ServeConnection,
    async_read_request,
    only_servers,
)
from tests.helpers import async_test

BODY = b'{"echo": 1}'
JSON = "Content-Type: application/json"
CHUNKED = b"4\r\n" + BODY[:4] + b"\r\n7\r\n" + BODY[4:] + b"\r\n0\r\n"
MAX_CALLS_AT_ONCE = 24


def head(request_id: str, *fields: str, end: str = "\r\n") -> bytes:
    lines = [
        "HTTP/1.1 200 OK",
        "X-Waxwingarch-Server-Stamp: s",
        f"X-Waxwingarch-Request-Id: {request_id}",
        *fields,
    ]
    return (end.join(lines) + end + end).encode()


def with_length(request_id: str) -> bytes:
    return head(request_id, JSON, f"Content-Length: {len(BODY)}") + BODY


def with_chunks(request_id: str) -> bytes:
    return head(request_id, JSON, "Transfer-Encoding: chunked") + (
        CHUNKED + b"\r\n"
    )


def with_trailer(request_id: str) -> bytes:
    return head(request_id, JSON, "Transfer-Encoding: chunked") + (
        CHUNKED + b"X-After: all\r\n\r\n"
    )


def after_informational(request_id: str) -> bytes:
    return b"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" + with_length(
        request_id
    )


def with_bare_line_ends(request_id: str) -> bytes:
    length = f"Content-Length: {len(BODY)}"
    return head(request_id, JSON, length, end="\n") + BODY


def until_close(request_id: str) -> bytes:
    return head(request_id, JSON) + BODY


def until_close_text(request_id: str) -> bytes:
    return head(request_id, "Content-Type: text/plain") + BODY


STATED_ENDS = (
    with_length,
    with_chunks,
    with_trailer,
    after_informational,
    with_bare_line_ends,
)


async def async_call(host: Host, request_id: str) -> bytes:
    """Send a request that may run once; return all bytes that come."""
    reader, writer = await asyncio.open_connection(LISTEN_IP, host.ports[0])
    fields = [*call_headers(request_id, 2000, KEY), ("Connection", "close")]
    lines = [f"GET /pay/{request_id} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    try:
        async with asyncio.timeout(8):
            return await reader.read()
    finally:
        writer.transport.abort()
        await asyncio.gather(writer.wait_closed(), return_exceptions=True)


class CuttingServer:
    """Cuts the response to request "c-N" after N bytes, by FIN or reset."""

    def __init__(self, response: Any, *, resets: bool) -> None:
        self.response = response
        self._resets = resets

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request_id = await async_read_request(reader)
        cut_at = int(request_id.partition("-")[2])
        writer.write(self.response(request_id)[:cut_at])
        if self._resets:
            await asyncio.sleep(0.05)
            reset_transport(writer.transport)
        else:
            writer.close()


@asynccontextmanager
async def cutting_host(server: CuttingServer) -> Any:
    serve: ServeConnection = server.async_serve
    async with Host() as host, only_servers(host, serve, serve):
        yield host


async def async_call_each(
    server: CuttingServer, cuts: list[int]
) -> dict[int, bytes]:
    """Return what a caller gets for each length of the response."""
    turn = asyncio.Semaphore(MAX_CALLS_AT_ONCE)

    async def async_one(host: Host, cut_at: int) -> bytes:
        async with turn:
            return await async_call(host, f"c-{cut_at:03}")

    async with cutting_host(server) as host:
        answers = await asyncio.gather(*(async_one(host, n) for n in cuts))
    return dict(zip(cuts, answers, strict=True))


def status_of(answer: bytes) -> int:
    return int(answer.split(b" ", 2)[1]) if answer else 0


class CutResponses(testtools.TestCase):
    """A server stops at some byte of its response and closes."""

    # Guards against a success for a response that was cut in its head or
    # body: its end was stated and did not come.
    @async_test
    async def test_stated_end_that_does_not_come_is_a_failure(self) -> None:
        for response in STATED_ENDS:
            whole = len(response("c-000"))
            cuts = [*range(0, whole - 8, 3), *range(whole - 8, whole)]
            server = CuttingServer(response, resets=False)
            for cut_at, answer in (
                await async_call_each(server, cuts)
            ).items():
                note = (response.__name__, cut_at, answer)
                self.assertEqual(502, status_of(answer), note)

    @async_test
    async def test_whole_response_is_passed_on(self) -> None:
        for response in STATED_ENDS:
            whole = len(response("c-000"))
            server = CuttingServer(response, resets=False)
            [answer] = (await async_call_each(server, [whole])).values()
            self.assertEqual(200, status_of(answer), response.__name__)
            self.assertTrue(answer.endswith(BODY), answer)

    # Guards against a length made up for a body whose end nobody stated: a
    # part of the body was passed on as a whole one.
    @async_test
    async def test_unstated_end_is_not_framed(self) -> None:
        server = CuttingServer(until_close_text, resets=False)
        whole = len(until_close_text("c-000"))
        cuts = [whole - len(BODY), whole - 4, whole]
        for cut_at, answer in (await async_call_each(server, cuts)).items():
            note = (cut_at, answer)
            answer_head, _, body = answer.partition(b"\r\n\r\n")
            self.assertEqual(200, status_of(answer), note)
            self.assertNotIn(b"content-length", answer_head.lower(), note)
            self.assertNotIn(b"transfer-encoding", answer_head.lower(), note)
            self.assertEqual(
                until_close_text("c-000")[whole - len(BODY) : cut_at],
                body,
                note,
            )

    # Guards against a success with a part of a JSON text.
    @async_test
    async def test_text_that_breaks_off_is_a_failure(self) -> None:
        server = CuttingServer(until_close, resets=False)
        whole = len(until_close("c-000"))
        cuts = [*range(0, whole - 11, 3), *range(whole - 11, whole)]
        for cut_at, answer in (await async_call_each(server, cuts)).items():
            self.assertEqual(502, status_of(answer), (cut_at, answer))
        [answer] = (await async_call_each(server, [whole])).values()
        self.assertEqual(200, status_of(answer))

    @async_test
    async def test_reset_is_a_failure(self) -> None:
        for response in (until_close_text, with_length):
            whole = len(response("c-000"))
            cuts = [0, 30, whole - 11, whole - 2]
            server = CuttingServer(response, resets=True)
            for cut_at, answer in (
                await async_call_each(server, cuts)
            ).items():
                note = (response.__name__, cut_at, answer)
                self.assertEqual(502, status_of(answer), note)

    # Guards against a response without a body that is taken for one that
    # was cut.
    @async_test
    async def test_no_body_is_due_without_content(self) -> None:
        def no_content(request_id: str) -> bytes:
            return head(request_id, JSON).replace(b"200 OK", b"204 Empty")

        server = CuttingServer(no_content, resets=False)
        whole = len(no_content("c-000"))
        [answer] = (await async_call_each(server, [whole])).values()
        self.assertEqual(204, status_of(answer), answer)
