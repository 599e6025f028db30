"""Servers of a test that refuse requests, and copy their refusals."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import orjson

from standins.front_process import KEY, call_headers
from tests.front.base import CALL_TIMEOUT_S, Host
from tests.front.raw_server import (
    ServeConnection,
    only_servers,
    response_head,
)
from waxwingarch.adapters.http_connection import HttpResponse

NOT_EXECUTED = "X-Waxwingarch-Not-Executed: 1"
RETRY_AFTER = "Retry-After: 0.02"
EVENT_STREAM = "Content-Type: text/event-stream"
EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
# Bytes at which the events are cut into their parts.
EVENTS_CUT = EVENTS.index(b"id: 2")
PAY, READ, CHAT, DRAFT = PATHS = ("/pay/", "/read/", "/chat/", "/draft/")
# These say that a request did not run.
REFUSALS: tuple[tuple[str, ...], ...] = (
    ("503 Busy", NOT_EXECUTED),
    ("503 Busy", NOT_EXECUTED, RETRY_AFTER),
    ("429 Too Many", NOT_EXECUTED),
    ("429 Too Many", NOT_EXECUTED, RETRY_AFTER),
    ("421 Misdirected",),
    ("421 Misdirected", NOT_EXECUTED, RETRY_AFTER),
    ("400 Bad", NOT_EXECUTED),
)
# These don't.
FAILURES = (("503 Busy",), ("400 Bad",))
PROMISES = (408, 421, 429, 503)
# Delays of the copies into the next request on their connection.
AT_ONCE, LATE, TWO = COPIES = ((0.0,), (0.03,), (0.0, 0.02))
WORK_S = 0.06


@dataclass(kw_only=True, slots=True)
class Run:
    """A run at a server; it goes on if its connection ends."""

    request_id: str
    server: str
    body_bytes: int
    is_moved: bool


@dataclass(kw_only=True, slots=True)
class RefusingServers:
    """Servers that refuse some requests, and copy their refusals.

    The path of a request says what becomes of it: with "refuse" it is
    refused, with "resend" its first attempt is, and with "move" its run
    stays at its first event until it is moved. Others run. The copies come
    at the delays into the next request on the connection, with the id of
    the refused request, or none without `has_id`. `before` comes ahead of
    each, `copied_fields` are in their heads. A move finds room at its
    target or not.
    """

    refusal: Sequence[str] = REFUSALS[0]
    delays_s: Sequence[float] = AT_ONCE
    has_id: bool = True
    before: bytes = b""
    copied_fields: Sequence[str] = ()
    has_room: bool = True
    writes_first: bool = False
    work_s: float = WORK_S
    runs: list[Run] = field(default_factory=list)
    seen: set[str] = field(default_factory=set)
    held: dict[str, asyncio.StreamWriter] = field(default_factory=dict)

    def serve(self, name: str) -> ServeConnection:
        """Return the function that serves the connections of a server."""

        async def async_serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            copy = b""
            while True:
                path, headers, body = await async_read(reader)
                if path.startswith("/-/"):
                    writer.write(self._move(body))
                    continue
                request_id = headers["x-waxwingarch-request-id"]
                is_refused = "refuse" in path or (
                    "resend" in path and request_id not in self.seen
                )
                self.seen.add(request_id)
                if is_refused:
                    await self._async_copy(writer, copy)
                    writer.write(self._refusal(request_id))
                    copy = self._refusal(
                        request_id if self.has_id else None,
                        self.copied_fields,
                    )
                    continue
                is_moved = "kv-from" in headers
                self.runs.append(
                    Run(
                        request_id=request_id,
                        server=name,
                        body_bytes=len(body),
                        is_moved=is_moved,
                    )
                )
                await self._async_copy(writer, copy)
                copy = b""
                if "move" in path and not is_moved:
                    head = response_head(
                        request_id, 9999, "200 OK", EVENT_STREAM
                    )
                    writer.write(head + EVENTS[:EVENTS_CUT])
                    self.held[request_id] = writer
                    continue
                await self._async_answer(writer, request_id, is_moved)

        return async_serve

    def _refusal(
        self, request_id: str | None, more_fields: Sequence[str] = ()
    ) -> bytes:
        status, *fields = self.refusal
        return response_head(request_id, 0, status, *fields, *more_fields)

    async def _async_copy(
        self, writer: asyncio.StreamWriter, copy: bytes
    ) -> None:
        for delay_s in self.delays_s if copy else ():
            await asyncio.sleep(delay_s)
            writer.write(self.before + copy)

    async def _async_answer(
        self, writer: asyncio.StreamWriter, request_id: str, is_moved: bool
    ) -> None:
        events = EVENTS[EVENTS_CUT:] if is_moved else EVENTS
        head = response_head(request_id, len(events), "200 OK", EVENT_STREAM)
        answer = head + events
        begun_bytes = len(head) + EVENTS_CUT if self.writes_first else 0
        writer.write(answer[:begun_bytes])
        await asyncio.sleep(self.work_s)
        writer.write(answer[begun_bytes:])

    def _move(self, body: bytes) -> bytes:
        request_id = orjson.loads(body)["id"]
        self.held.pop(request_id).close()
        reply = orjson.dumps({"handle": f"h-{request_id}", "created": 1})
        status = "200 OK" if self.has_room else "503 No Room"
        return response_head(None, len(reply), status) + reply


async def async_read(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Read a request; return its path, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    pairs = [line.split(": ", 1) for line in lines if line]
    headers = {name.lower(): value for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first.split(" ")[1], headers, body


@asynccontextmanager
async def host_of(
    *serves: ServeConnection, one_address: bool = False
) -> AsyncIterator[Host]:
    """Start a host with these servers for either service."""
    async with (
        Host() as host,
        only_servers(host, *serves, one_address=one_address),
        only_servers(host, *serves, one_address=one_address, engines=True),
    ):
        yield host


async def async_call(
    host: Host,
    path: str,
    request_id: str,
    *,
    is_relayed: bool = False,
    body: bytes = b"body",
    deadline_ms: int = 4000,
    method: str = "POST",
) -> HttpResponse:
    """Send a request with a given id, as a caller or as a peer."""
    address = f"127.0.0.1:{host.ports[0]}"
    headers = call_headers(request_id, deadline_ms, KEY)
    if is_relayed:
        address = host.front.identity.address
        headers = [*headers, ("waxwingarch-relay", "1")]
    return await host.client.async_request(
        method,
        address,
        path,
        deadline=asyncio.get_running_loop().time() + CALL_TIMEOUT_S,
        headers=headers,
        body=body,
    )
