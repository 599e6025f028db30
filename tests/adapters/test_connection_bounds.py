"""Tests of which client connections are kept, and for how long."""

import asyncio
from unittest import mock

import testtools

from tests.helpers import async_test
from waxwingarch.adapters import server_connection
from waxwingarch.adapters.connection_bounds import (
    ConnectionBounds,
    EndReason,
    Wait,
)
from waxwingarch.adapters.held_bytes import HeldBytes
from waxwingarch.adapters.http_messages import HttpRequest, HttpResponder
from waxwingarch.adapters.http_server import HttpServer

LISTEN_IP = "127.0.0.1"
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
LARGE = b"x" * 4_000_000


class FakeConnection:
    def __init__(self, wait: Wait, waits_since: float = 0.0) -> None:
        self.wait = wait
        self.waits_since = waits_since
        self.reason: EndReason | None = None

    def end(self, reason: EndReason) -> None:
        self.reason = reason


class Number(testtools.TestCase):
    def test_order_in_which_connections_make_room(self) -> None:
        bounds = ConnectionBounds(len(Wait))
        group = bounds.group()
        conns = [FakeConnection(wait) for wait in reversed(Wait)]
        for conn in conns:
            self.assertTrue(group.try_add(conn))
        for first in sorted(conns, key=lambda c: c.wait)[:-1]:
            self.assertTrue(group.try_add(FakeConnection(Wait.ANSWER)))
            self.assertEqual(EndReason.MADE_ROOM, first.reason)
            group.remove(first)
        # Guards against an answer that is cut for a new connection.
        self.assertFalse(group.try_add(FakeConnection(Wait.FIRST_REQUEST)))
        self.assertIsNone(conns[0].reason)

    def test_longest_wait_ends_first(self) -> None:
        group = ConnectionBounds(2).group()
        late, early = (FakeConnection(Wait.NEXT_REQUEST, t) for t in (2, 1))
        self.assertTrue(group.try_add(late) and group.try_add(early))
        self.assertTrue(group.try_add(FakeConnection(Wait.FIRST_REQUEST, 3)))
        self.assertEqual(
            (None, EndReason.MADE_ROOM), (late.reason, early.reason)
        )

    # Guards against requests that keep readiness checks and operators out.
    def test_callers_leave_a_share_to_others(self) -> None:
        bounds = ConnectionBounds(8)
        callers, others = bounds.group(0.75), bounds.group()
        added = [
            callers.try_add(FakeConnection(Wait.ANSWER)) for _ in range(8)
        ]
        self.assertEqual(6, sum(added))
        self.assertTrue(others.try_add(FakeConnection(Wait.ANSWER)))
        self.assertEqual(7, bounds.count)


class Clients(testtools.TestCase):
    async def async_setup(self, body: bytes = b"ok") -> None:
        async def async_answer(req: HttpRequest, resp: HttpResponder) -> None:
            self.answered += 1
            await resp.async_send(200, body)

        self.answered = 0
        self.server = HttpServer(async_answer)
        self.bounds = ConnectionBounds(2)
        self.server.kept = self.bounds.group()
        self.port = await self.server.async_setup(LISTEN_IP, 0)
        self.writers: list[asyncio.StreamWriter] = []

    async def async_connect(
        self, data: bytes, limit: int = 1024
    ) -> asyncio.StreamReader:
        reader, writer = await asyncio.open_connection(
            LISTEN_IP, self.port, limit=limit
        )
        self.writers.append(writer)
        writer.write(data)
        return reader

    async def async_unload(self) -> None:
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.gather(
            *(w.wait_closed() for w in self.writers), return_exceptions=True
        )
        await self.server.async_unload()

    async def async_until_ended(self, reason: EndReason) -> None:
        async with asyncio.timeout(10.0):
            while not self.bounds.ended[reason]:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    @async_test
    async def test_new_connection_is_served_in_place_of_a_silent_one(
        self,
    ) -> None:
        await self.async_setup()
        for data in (b"", b"", GET):
            reader = await self.async_connect(data)
        self.assertIn(b" 200 ", await reader.readline())
        self.assertEqual({EndReason.MADE_ROOM: 1}, self.bounds.ended)
        self.assertEqual(2, self.bounds.count)
        await self.async_unload()
        self.assertEqual(0, self.bounds.count)

    # Guards against a head that is sent byte by byte, without an end.
    @async_test
    async def test_slow_head_ends(self) -> None:
        with mock.patch.object(
            server_connection, "REQUEST_READ_TIMEOUT_S", 0.3
        ):
            await self.async_setup()
            await self.async_connect(GET[:5])
            for byte in GET[5:15]:
                await asyncio.sleep(0.1)
                self.writers[0].write(bytes([byte]))
            await self.async_until_ended(EndReason.SLOW_REQUEST)
            await self.async_unload()

    @async_test
    async def test_client_that_reads_nothing_ends(self) -> None:
        with mock.patch.multiple(
            server_connection, WRITE_STALL_TIMEOUT_S=0.4, STALL_CHECK_S=0.1
        ):
            await self.async_setup(LARGE)
            await self.async_connect(GET)
            await self.async_until_ended(EndReason.UNREAD)
            await self.async_unload()
        self.assertEqual(0, self.server.held.held_bytes)

    # Guards against clients that hold all memory for their time to read.
    @async_test
    async def test_client_that_reads_nothing_ends_if_memory_is_full(
        self,
    ) -> None:
        with mock.patch.object(server_connection, "STALL_CHECK_S", 0.1):
            await self.async_setup(LARGE)
            self.server.held = HeldBytes(1000)
            await self.async_connect(GET)
            await self.async_until_ended(EndReason.NO_ROOM)
            await self.async_unload()

    # Guards against a bound of the whole time instead of that of a pause.
    @async_test
    async def test_slow_reader_gets_its_answer(self) -> None:
        with mock.patch.multiple(
            server_connection, WRITE_STALL_TIMEOUT_S=0.4, STALL_CHECK_S=0.1
        ):
            await self.async_setup(LARGE)
            reader = await self.async_connect(GET, 64 * 1024)
            await reader.readuntil(b"\r\n\r\n")
            read = 0
            while read < len(LARGE):
                read += len(await reader.read(150_000))
                await asyncio.sleep(0.02)
            self.assertEqual({}, self.bounds.ended)
            await self.async_unload()

    # Guards against requests that are served while no answer is read.
    @async_test
    async def test_unread_answers_do_not_pile_up(self) -> None:
        await self.async_setup(b"x" * 60_000)
        await self.async_connect(GET * 300)
        await asyncio.sleep(1.0)
        self.assertLess(self.server.held.peak_bytes, 300_000)
        self.assertLess(self.answered, 30)
        await self.async_unload()

    # Guards against a read of further requests for each one that is answered.
    @async_test
    async def test_requests_ahead_are_bounded(self) -> None:
        await self.async_setup()
        await self.async_connect(GET * 20_000)
        await asyncio.sleep(1.0)
        self.assertLess(self.server.held.peak_bytes, 100_000)
        await self.async_unload()

    @async_test
    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        await self.async_setup()
        reader = await self.async_connect(GET * 3)
        for _ in range(3):
            self.assertIn(b" 200 ", await reader.readline())
            await reader.readuntil(b"\r\n\r\nok")
        await self.async_unload()
