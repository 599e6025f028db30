"""Servers of a test that write bytes of their own to a connection."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from tests.front.base import Host, async_until

LISTEN_IP = "127.0.0.1"
REQUEST_ID = b"x-waxwingarch-request-id: "

ServeConnection = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


@asynccontextmanager
async def raw_server(serve: ServeConnection) -> AsyncIterator[str]:
    """Serve each connection by `serve`; yield the address.

    All connections are closed at the end, before the event loop is.
    """
    writers: set[asyncio.StreamWriter] = set()
    tasks: set[asyncio.Task[None]] = set()

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        writers.add(writer)
        try:
            await serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            # The other end has closed the connection.
            return

    listener = await asyncio.start_server(async_serve, LISTEN_IP, 0)
    try:
        port = listener.sockets[0].getsockname()[1]
        yield f"{LISTEN_IP}:{port}"
    finally:
        listener.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for writer in writers:
            writer.transport.abort()
        await asyncio.gather(
            *(w.wait_closed() for w in writers), return_exceptions=True
        )


async def async_read_request(reader: asyncio.StreamReader) -> str:
    """Read a request without a body; return its id."""
    head = await reader.readuntil(b"\r\n\r\n")
    [line] = [
        line
        for line in head.split(b"\r\n")
        if line.lower().startswith(REQUEST_ID)
    ]
    return line[len(REQUEST_ID) :].decode()


def response_head(
    request_id: str | None,
    length: int,
    status: str = "200 OK",
    *fields: str,
) -> bytes:
    """Return the head of a server's response, without an id if None."""
    lines = [
        f"HTTP/1.1 {status}",
        "X-Waxwingarch-Server-Stamp: s",
        f"Content-Length: {length}",
        *fields,
    ]
    if request_id is not None:
        lines.append(f"X-Waxwingarch-Request-Id: {request_id}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


@asynccontextmanager
async def only_servers(
    host: Host,
    *serves: ServeConnection,
    engines: bool = False,
    one_address: bool = False,
) -> AsyncIterator[None]:
    """Replace the two servers of a service by one or two raw ones.

    With `one_address` two entries name the address of the first.
    """
    fleet = host.fleet
    servers = fleet.engines() if engines else fleet.plain()
    registry = host.front.load_balancer.registry
    count = 2 if one_address else len(serves)
    used = servers[:count]
    for server in servers[count:]:
        fleet.store.put("servers", server.server_id, None)
    async with raw_server(serves[0]) as first, raw_server(serves[-1]) as last:
        addresses = (first, first if one_address else last)
        for server, address in zip(used, addresses, strict=False):
            fleet.register(server, address=address, born=2_000)
        await async_until(
            lambda: (
                [
                    b.server.incarnation
                    for b in registry.usable_backends(used[0].service)
                ]
                == [2_000] * len(used)
            ),
            "the other servers are known",
        )
        yield
