"""What client connections hold of a daemon: memory and descriptors.

These tests load the machine, so that they run one at a time and apart from
the others (`script/test`). They check nothing that depends on its speed.
"""

import asyncio

import pytest
import testtools

from standins.fleet import HOST_NAME
from standins.front_process import KEY
from tests.front.unread_clients import (
    FrontProcess,
    front_process,
    unread_clients,
)
from tests.helpers import async_test
from waxwingarch.exceptions import WaxwingError

pytestmark = [
    pytest.mark.connections,
    pytest.mark.xdist_group("connections"),
]

CLIENTS = 256
BYTES_PER_CLIENT = 4_000_000
# What each client has sent after this time is enough, or its host reads no
# more.
SEND_LIMIT_S = 8.0
# The memory of the smallest machines, the default of `[bounds] memory_mb`.
MAX_RESIDENT_BYTES = 160_000_000
ORDINARY_CALLS = 5
# Pieces of two bytes take the memory of an object each, and seconds of
# processor time to read.
PIECES = 90_000
CLIENTS_IN_PIECES = 32
PIECES_LIMIT_S = 40.0
DESCRIPTORS = 400
SILENT_CLIENTS = 600
# Below the limit, so that servers, peers and the store can be reached.
MAX_OPEN_DESCRIPTORS = 300

CALLERS, READINESS, PEERS, METRICS = range(4)
HEAD_END = b"\r\n\r\n"


def pipelined(request: bytes) -> bytes:
    """Return as many requests as one client sends."""
    return request * (BYTES_PER_CLIENT // len(request))


def request(path: str, *fields: str, method: str = "GET") -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}", *fields]
    return "\r\n".join(lines).encode() + HEAD_END


class Connections(testtools.TestCase):
    async def async_check_serving(self, front: FrontProcess) -> None:
        """Check that a process lives and answers ordinary clients."""
        try:
            for number in range(ORDINARY_CALLS):
                self.assertEqual(200, await front.async_call(f"own-{number}"))
            await front.async_wait_ready()
        except (TimeoutError, WaxwingError) as exc:
            raise AssertionError(
                f"{exc!r}: {front.peak_resident_bytes} bytes at the peak,"
                f" {front.open_descriptors} descriptors"
            ) from exc
        self.assertTrue(front.is_alive())

    async def async_check_memory(
        self,
        address: int,
        data: bytes,
        clients: int = CLIENTS,
        limit_s: float = SEND_LIMIT_S,
    ) -> None:
        """Check what a process holds of clients that read no answers."""
        async with (
            front_process() as front,
            unread_clients(clients, front.ports[address], data, limit_s),
        ):
            await self.async_check_serving(front)
            self.assertLess(front.peak_resident_bytes, MAX_RESIDENT_BYTES)

    async def async_check_descriptors(self, address: int, data: bytes) -> None:
        """Check how many clients that wait a process keeps."""
        async with (
            front_process(DESCRIPTORS) as front,
            unread_clients(
                SILENT_CLIENTS, front.ports[address], data, SEND_LIMIT_S
            ),
        ):
            await self.async_check_serving(front)
            self.assertLess(front.open_descriptors, MAX_OPEN_DESCRIPTORS)


class UnreadAnswers(Connections):
    """They guard against answers that pile up in the process's memory."""

    @async_test
    async def test_readiness_checks(self) -> None:
        data = pipelined(request("/-/readiness"))
        await self.async_check_memory(READINESS, data)

    @async_test
    async def test_requests_without_the_usual_headers(self) -> None:
        data = pipelined(request("/read/x"))
        await self.async_check_memory(CALLERS, data)

    @async_test
    async def test_paths_without_a_route(self) -> None:
        fields = ("X-Waxwingarch-Request-Id: r", f"X-Api-Key: {KEY}")
        data = pipelined(request("/none", *fields))
        await self.async_check_memory(CALLERS, data)

    @async_test
    async def test_metrics(self) -> None:
        await self.async_check_memory(METRICS, pipelined(request("/metrics")))

    @async_test
    async def test_pulls_of_peers(self) -> None:
        await self.async_check_memory(PEERS, pipelined(request("/state")))


class UnreadRequests(Connections):
    """They guard against requests without an end that fill the memory."""

    @async_test
    async def test_unfinished_uploads(self) -> None:
        head = request(
            "/read/x",
            "X-Waxwingarch-Request-Id: r",
            f"Content-Length: {BYTES_PER_CLIENT + 1}",
            method="POST",
        )
        await self.async_check_memory(CALLERS, head + b"x" * BYTES_PER_CLIENT)

    @async_test
    async def test_unfinished_uploads_in_small_pieces(self) -> None:
        head = request("/read/x", "Transfer-Encoding: chunked", method="POST")
        await self.async_check_memory(
            CALLERS,
            head + b"2\r\nxx\r\n" * PIECES,
            CLIENTS_IN_PIECES,
            PIECES_LIMIT_S,
        )

    @async_test
    async def test_unfinished_uploads_in_single_bytes(self) -> None:
        head = request("/read/x", "Transfer-Encoding: chunked", method="POST")
        await self.async_check_memory(
            CALLERS, head + b"1\r\nx\r\n" * PIECES, CLIENTS
        )

    @async_test
    async def test_bytes_that_are_not_http(self) -> None:
        data = b"\x00" * BYTES_PER_CLIENT
        await self.async_check_memory(CALLERS, data)


class WaitingConnections(Connections):
    """They guard against clients that take all file descriptors."""

    @async_test
    async def test_connections_without_a_request(self) -> None:
        await self.async_check_descriptors(CALLERS, b"")

    @async_test
    async def test_connections_with_a_part_of_a_request(self) -> None:
        await self.async_check_descriptors(CALLERS, request("/read/x")[:-2])

    @async_test
    async def test_connections_to_the_readiness_address(self) -> None:
        await self.async_check_descriptors(READINESS, b"")

    @async_test
    async def test_connections_that_were_used(self) -> None:
        data = request("/-/readiness")
        await self.async_check_descriptors(READINESS, data)


class WellBehavedClients(Connections):
    # Guards against a limit that a client meets which keeps connections.
    @async_test
    async def test_idle_connections_stay_open(self) -> None:
        async with front_process() as front:
            port = front.ports[CALLERS]
            streams = [
                await asyncio.open_connection("127.0.0.1", port)
                for _ in range(100)
            ]
            for _ in range(2):
                for reader, writer in streams:
                    writer.write(request("/read/x"))
                    line = await reader.readline()
                    self.assertIn(b" 400 ", line)
                    head = await reader.readuntil(HEAD_END)
                    [length] = [
                        int(x.split(b":")[1])
                        for x in head.lower().splitlines()
                        if x.startswith(b"content-length")
                    ]
                    await reader.readexactly(length)
            for _, writer in streams:
                writer.close()
                await writer.wait_closed()
