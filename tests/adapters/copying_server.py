"""A server that sends each answer once more where the next one is due."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from tests.front.raw_server import raw_server
from waxwingarch.const import HEADER_CALL_ID

OPERATION_ID = "x-operation-id"


@dataclass(frozen=True, kw_only=True)
class Call:
    """A request that the server has read."""

    target: str
    headers: dict[str, str]
    body: bytes


# Returns status line, headers and body.
Respond = Callable[[Call], tuple[str, list[str], bytes]]


@dataclass(kw_only=True)
class CopyingServer:
    """Answers by `respond`; on each connection a copy comes before the next.

    The id of a call is repeated where `repeats_id` says so for a status.
    """

    respond: Respond
    repeats_id: Callable[[str], bool] = lambda status: True
    address: str = ""
    connections: list[int] = field(default_factory=list)

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        number = len(self.connections)
        self.connections.append(0)
        copy = b""
        while True:
            call = await _async_read_call(reader)
            self.connections[number] += 1
            status, fields, body = self.respond(call)
            if self.repeats_id(status) and HEADER_CALL_ID in call.headers:
                fields = [
                    *fields,
                    f"{HEADER_CALL_ID}: {call.headers[HEADER_CALL_ID]}",
                ]
            head = [
                f"HTTP/1.1 {status}",
                f"content-length: {len(body)}",
                *fields,
            ]
            answer = ("\r\n".join(head) + "\r\n\r\n").encode() + body
            writer.write(copy + answer)
            copy = answer


async def _async_read_call(reader: asyncio.StreamReader) -> Call:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.strip().split("\r\n")
    headers = {
        name.lower(): value
        for name, _, value in (line.partition(": ") for line in lines)
    }
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Call(target=first.split(" ")[1], headers=headers, body=body)


@asynccontextmanager
async def copying_server(
    respond: Respond, repeats_id: Callable[[str], bool] = lambda status: True
) -> AsyncIterator[CopyingServer]:
    """Run a `CopyingServer`."""
    server = CopyingServer(respond=respond, repeats_id=repeats_id)
    async with raw_server(server.async_serve) as address:
        server.address = address
        yield server
