"""Tests of the emulated platform's servers: how they end, and silence."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import testtools

from standins import fleet as fleet_module
from standins.fleet import Fleet
from standins.fleet_server import FleetServer
from tests.front.base import async_until
from tests.helpers import async_test

WAIT_TIMEOUT_S = 5.0
SILENT_S = 0.4
HEAD_END = b"\r\n\r\n"


class FleetCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.writers: list[asyncio.StreamWriter] = []

    @asynccontextmanager
    async def running_fleet(self) -> AsyncIterator[Fleet]:
        """Run a fleet; close all connections to it at the end."""
        fleet = Fleet()
        await fleet.async_setup(engines=2, plain=1)
        try:
            yield fleet
        finally:
            for writer in self.writers:
                writer.transport.abort()
            await asyncio.gather(
                *(w.wait_closed() for w in self.writers),
                return_exceptions=True,
            )
            self.writers.clear()
            await fleet.async_unload()

    async def async_open(self, server: FleetServer, parts: str = "") -> Any:
        """Send a request and return the reader of its connection."""
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            b"X-Waxwingarch-Request-Id: r-1\r\n"
            b"X-Waxwingarch-Prompt-Prefix: %s\r\n"
            b"Content-Length: 2\r\n\r\nok" % parts.encode()
        )
        # The connection ends with its writer.
        self.writers.append(writer)
        return reader

    async def async_read_all(
        self, server: FleetServer, parts: str = ""
    ) -> bytes:
        reader = await self.async_open(server, parts)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            return bytes(await reader.read())


class AnswersUntilClose(FleetCase):
    """Answers with neither a length nor chunks end with the connection."""

    async def async_answer(self, *, engine: bool, how: str = "") -> bytes:
        async with self.running_fleet() as fleet:
            server = (fleet.engines() if engine else fleet.plain())[0]
            server.behaviour.until_close = True
            server.behaviour.how, server.behaviour.count = how, 1
            return await self.async_read_all(server)

    @async_test
    async def test_whole_answers(self) -> None:
        for engine, end in ((True, b"data: token 5\n\n"), (False, b"}")):
            answer = await self.async_answer(engine=engine)
            head, _, body = answer.partition(HEAD_END)
            self.assertNotIn(b"content-length", head.lower())
            self.assertNotIn(b"transfer-encoding", head.lower())
            self.assertTrue(body.endswith(end), body)

    @async_test
    async def test_stream_broken_off_within_an_event(self) -> None:
        answer = await self.async_answer(engine=True, how="cut")
        self.assertTrue(answer.endswith(b"\n\nid: 2\n"[:8]), answer)

    @async_test
    async def test_answers_that_are_reset(self) -> None:
        for engine in (True, False):
            with testtools.ExpectedException(ConnectionResetError):
                await self.async_answer(engine=engine, how="reset")


class SilentServer(FleetCase):
    @async_test
    async def test_streams_and_requests_go_on_after_the_silence(self) -> None:
        async with self.running_fleet() as fleet:
            engine = fleet.engines()[0]
            engine.behaviour.event_s = 0.05
            began = await self.async_open(engine)
            await began.readuntil(b"token 1\n\n")
            silence = asyncio.create_task(engine.async_fall_silent(SILENT_S))
            await asyncio.sleep(0)
            silent_at = time.monotonic()
            later = await self.async_open(engine)
            for reader in (began, later):
                await reader.readuntil(b"token")
                self.assertGreaterEqual(time.monotonic() - silent_at, SILENT_S)
                await reader.readuntil(b"token 5\n\n")
            await silence


class CrashingParts(FleetCase):
    """A part of a prompt ends each server that begins to answer it."""

    def setUp(self) -> None:
        super().setUp()
        for name, value_s in (("ROW_LAPSE_S", 0.3), ("RESTART_S", 0.6)):
            self.patch(fleet_module, name, value_s)

    @async_test
    async def test_crash_and_next_incarnation(self) -> None:
        async with self.running_fleet() as fleet:
            fleet.crashing_inputs.add("bad1")
            engine = fleet.engines()[0]
            other = await self.async_open(engine)
            answer = await self.async_read_all(engine, "a:10,bad1:20,c:30")
            self.assertNotIn(b"token", answer)
            self.assertNotIn(b"token 5", await other.read())
            with testtools.ExpectedException(ConnectionRefusedError):
                await self.async_open(engine)
            self.assertTrue(self.has_row(fleet, engine))
            born = engine.born
            await async_until(
                lambda: not self.has_row(fleet, engine), "its row has lapsed"
            )
            await async_until(
                lambda: self.has_row(fleet, engine), "it is registered again"
            )
            self.assertGreater(engine.born, born)
            self.assertIn(
                b"token 5", await self.async_read_all(engine, "a:10")
            )
            self.assertEqual([engine.server_id], fleet.crashes)

    def has_row(self, fleet: Fleet, server: FleetServer) -> bool:
        return ("servers", server.server_id) in fleet.store.rows

    @async_test
    async def test_last_part_and_other_parts_crash_nothing(self) -> None:
        async with self.running_fleet() as fleet:
            fleet.crashing_inputs.add("bad1")
            for parts in ("a:10,bad1:20", "bad1:5", "a:10,bad11:5,c:1", ""):
                for server in fleet.servers:
                    answer = await self.async_read_all(server, parts)
                    self.assertIn(b" 200 ", answer)
            self.assertEqual([], fleet.crashes)
