"""Tests of answers before their request is sent, and of invalid statuses."""

import asyncio
from itertools import product

import testtools

from standins.until_close import reset_transport
from tests.front.raw_server import ServeConnection, raw_server
from tests.front.refusing_servers import (
    CHAT,
    DRAFT,
    EVENT_STREAM,
    EVENTS,
    PATHS,
    async_call,
    async_read,
    host_of,
)
from tests.helpers import async_test
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import InvalidBytesError
from waxwingarch.exceptions import LinkError

LARGE = b"x" * 4_000_000
DEADLINE_MS = 1500
# A server's pause before it ends a connection.
PAUSE_S = 0.05
ENDS = ("reset", "close", "fin, then reset", "silence")
STATUSES = ("000", "099", "600", "999", "1000", "2 0", "abc", "")
# No answer at all: the connection was cut amid it.
CUT = 0


def head(path: str, request_id: str, status: str, *fields: str) -> bytes:
    is_stream = path.startswith((CHAT, DRAFT))
    lines = [
        f"HTTP/1.1 {status}",
        "X-Waxwingarch-Server-Stamp: s",
        f"X-Waxwingarch-Request-Id: {request_id}",
        EVENT_STREAM if is_stream else "Content-Type: text/plain",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def early_server(framing: str, end: str) -> ServeConnection:
    """Return a server that sends a part of an answer amid an upload."""

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        text = (await reader.readuntil(b"\r\n\r\n")).decode()
        path = text.split()[1]
        [request_id] = [
            line.split(": ")[1]
            for line in text.split("\r\n")
            if line.lower().startswith("x-waxwingarch-request-id: ")
        ]
        fields, body = {
            "length": (["Content-Length: 9999"], EVENTS),
            "chunks": (
                ["Transfer-Encoding: chunked"],
                f"{len(EVENTS):x}\r\n".encode() + EVENTS + b"\r\n",
            ),
            "until close": ([], EVENTS),
        }[framing]
        writer.write(head(path, request_id, "200 OK", *fields) + body)
        await asyncio.sleep(PAUSE_S)
        if end == "silence":
            await asyncio.sleep(10.0)
        if end == "close":
            writer.close()
            return
        if end == "fin, then reset":
            writer.write_eof()
            await asyncio.sleep(PAUSE_S)
        reset_transport(writer.transport)

    return async_serve


def status_server(status: str) -> ServeConnection:
    """Return a server whose answers have a status."""

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            path, headers, _ = await async_read(reader)
            name = headers["x-waxwingarch-request-id"]
            length = f"Content-Length: {len(EVENTS)}"
            writer.write(head(path, name, status, length) + EVENTS)

    return async_serve


async def async_statuses(
    serve: ServeConnection, body: bytes
) -> dict[tuple[str, bool], int]:
    """Send a request on each path, from a caller and from a peer."""
    statuses = {}
    async with host_of(serve) as host:
        for path, is_relayed in product(PATHS, (False, True)):
            name = f"{path.strip('/')}-{is_relayed}"
            try:
                answer = await async_call(
                    host,
                    path + "x",
                    name,
                    is_relayed=is_relayed,
                    body=body,
                    deadline_ms=DEADLINE_MS,
                )
                statuses[path, is_relayed] = answer.status
            except LinkError:
                statuses[path, is_relayed] = CUT
    return statuses


class EarlyAnswers(testtools.TestCase):
    """A server ends the connection while it is being sent the request.

    They guard against a part of its answer that looks whole.
    """

    async def async_check(self, framing: str) -> None:
        found = await asyncio.gather(
            *(async_statuses(early_server(framing, e), LARGE) for e in ENDS)
        )
        wrong = [
            (end, case, status)
            for end, statuses in zip(ENDS, found, strict=True)
            for case, status in statuses.items()
            if status not in (CUT, 502, 503, 504)
        ]
        self.assertEqual([], wrong)

    @async_test
    async def test_with_a_length(self) -> None:
        await self.async_check("length")

    @async_test
    async def test_in_chunks(self) -> None:
        await self.async_check("chunks")

    @async_test
    async def test_until_close(self) -> None:
        await self.async_check("until close")


class InvalidStatuses(testtools.TestCase):
    # Guards against a status that no answer has and that is passed on.
    @async_test
    async def test_host_answers_in_its_place(self) -> None:
        wrong = []
        for status in STATUSES:
            found = await async_statuses(status_server(status), b"body")
            wrong += [
                (status, case, code)
                for case, code in found.items()
                if code not in (502, 503)
            ]
        self.assertEqual([], wrong)

    # The own interface and the calls of the platform use this client too.
    @async_test
    async def test_client_takes_none(self) -> None:
        client = HttpClient()
        for status in STATUSES:
            async with raw_server(status_server(status)) as address:
                with testtools.ExpectedException(InvalidBytesError):
                    await client.async_request(
                        "GET",
                        address,
                        "/",
                        deadline=asyncio.get_running_loop().time() + 2.0,
                        headers=[("x-waxwingarch-request-id", "r")],
                    )
        await client.async_unload()
