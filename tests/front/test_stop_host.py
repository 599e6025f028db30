"""Tests of requests that a host is reading when it is told to stop."""

import asyncio
from contextlib import asynccontextmanager
from typing import Any

import testtools

from standins.front_process import KEY, call_headers
from standins.server_process import ProcessServer
from tests.front.base import Host, async_until
from tests.helpers import async_test
from waxwingarch.core.front_node import ACCEPT_WHILE_STOPPING_S

BODY_END = b"0\r\n\r\n"
DEADLINE_MS = 8000


def head(request_id: str, path: str) -> bytes:
    """Return the head of a request whose body comes in chunks."""
    fields = [
        *call_headers(request_id, DEADLINE_MS, KEY),
        ("Transfer-Encoding", "chunked"),
    ]
    lines = [f"POST {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields)]
    return "\r\n".join([*lines, "", ""]).encode()


@asynccontextmanager
async def open_connection(host: Host) -> Any:
    """Open a caller's connection, and close it at the end."""
    reader, writer = await asyncio.open_connection("127.0.0.1", host.ports[0])
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


class PartlyReadRequests(testtools.TestCase):
    """The body of a request comes in chunks around SIGTERM."""

    async def async_send_around_stop(
        self, host: Host, path: str, first_part: bytes, ends_after_s: float
    ) -> bytes:
        """Send a part of a request, stop the host, and send the rest."""
        request = head("parts", path) + b"3\r\nabc\r\n" + BODY_END
        async with open_connection(host) as (reader, writer):
            writer.write(request[: len(first_part) or 20])
            await asyncio.sleep(0.1)
            host.daemon.stop()
            await asyncio.sleep(ends_after_s)
            writer.write(request[len(first_part) or 20 :])
            return bytes(await reader.readuntil(b"\r\n"))

    @async_test
    async def test_is_served_while_the_host_still_accepts(self) -> None:
        for path in ("/pay/x", "/chat/x"):
            async with Host() as host:
                status = await self.async_send_around_stop(
                    host, path, head("parts", path), 0.5
                )
                self.assertIn(b" 200 ", status, path)
                await host.task

    # The host ended with seconds of its grace period left, and closed the
    # connection of a caller that had not yet sent the end of its body.
    @async_test
    async def test_is_refused_after_that(self) -> None:
        for first_part in (b"", head("parts", "/pay/x")):
            async with Host() as host:
                status = await self.async_send_around_stop(
                    host,
                    "/pay/x",
                    first_part,
                    ACCEPT_WHILE_STOPPING_S + 1.0,
                )
                self.assertIn(b" 503 ", status)
                await host.task
                self.assertEqual([], host.fleet.runs)


class LongRequests(testtools.TestCase):
    """Requests that last until the grace period of a stopping host ends."""

    WORK_S = 3.3
    SETTINGS = "[bounds]\nstop_grace_s = 4.0\n"

    @asynccontextmanager
    async def slow_host(self) -> Any:
        """Run a host whose plain servers work for longer than it has left."""
        async with Host(more_settings=self.SETTINGS) as host:
            for server in host.fleet.plain():
                server.behaviour.work_s = self.WORK_S
            host.fleet.config.version = 2
            host.fleet.config.plain_timeout_ms = 15_000
            host.fleet.put_config()
            await async_until(
                lambda: host.front.table.version == 2, "the time-out is known"
            )
            yield host

    # Guards against requests that were taken by a stopping host and cut at
    # its end, without an answer.
    @async_test
    async def test_is_answered_at_the_end(self) -> None:
        async with self.slow_host() as host:
            for server in host.fleet.plain():
                server.behaviour.work_s = 0.01
            first = await host.async_send("/pay/x", deadline_ms=DEADLINE_MS)
            self.assertEqual(200, first.status)
            for server in host.fleet.plain():
                server.behaviour.work_s = self.WORK_S
            host.daemon.stop()
            await asyncio.sleep(1.0)
            response = await host.async_send("/pay/x", deadline_ms=DEADLINE_MS)
            self.assertEqual(504, response.status)
            self.assertEqual(2, len(host.fleet.runs))
            await host.task

    # Guards against requests of a route that nothing is known of, which a
    # host that has just started took and cut at its end.
    @async_test
    async def test_is_refused_where_nothing_is_known_of_its_route(
        self,
    ) -> None:
        async with self.slow_host() as host:
            host.daemon.stop()
            await asyncio.sleep(0.5)
            for path in ("/pay/x", "/read/x", "/chat/x"):
                late = await host.async_send(path, deadline_ms=DEADLINE_MS)
                self.assertEqual(503, late.status, path)
                self.assertIn("retry-after", late.headers)
            in_time = await host.async_send("/pay/x", deadline_ms=2000)
            self.assertNotEqual(503, in_time.status)
            self.assertEqual(1, len(host.fleet.runs))
            await host.task

    @async_test
    async def test_is_refused_where_it_is_known_to_last_too_long(self) -> None:
        async with self.slow_host() as host:
            for path in ("/pay/x", "/draft/x"):
                first = await host.async_send(path, deadline_ms=DEADLINE_MS)
                self.assertEqual(200, first.status)
            host.fleet.runs.clear()
            host.daemon.stop()
            await asyncio.sleep(0.5)
            late = await host.async_send("/pay/x", deadline_ms=DEADLINE_MS)
            self.assertEqual(503, late.status)
            self.assertIn("retry-after", late.headers)
            self.assertEqual([], host.fleet.runs)
            short = await host.async_send("/draft/x")
            self.assertEqual(200, short.status)
            await host.task

    @async_test
    async def test_one_in_progress_shows_how_long_others_last(self) -> None:
        async with self.slow_host() as host:
            first = asyncio.create_task(
                host.async_send("/pay/x", deadline_ms=DEADLINE_MS)
            )
            await asyncio.sleep(2.0)
            host.daemon.stop()
            await asyncio.sleep(1.6)
            late = await host.async_send("/pay/x", deadline_ms=DEADLINE_MS)
            self.assertEqual(503, late.status)
            self.assertEqual(200, (await first).status)
            await host.task


class StreamsAmidAStop(testtools.TestCase):
    """Streams that last for most of the grace period of a stopping host."""

    GRACE_S = 8.0
    DEADLINE_MS = 15_000
    EVENTS = 70
    EVENT_S = 0.1
    COUNT = 19
    FIRST_S = 1.5
    LAST_S = 2.4

    async def async_send_late(self, host: Host, n: int) -> int:
        """Send a stream some time after the signal; return its status."""
        span_s = self.LAST_S - self.FIRST_S
        await asyncio.sleep(self.FIRST_S + span_s * n / (self.COUNT - 1))
        response = await host.async_send(
            "/chat/x", deadline_ms=self.DEADLINE_MS
        )
        return response.status

    # Guards against streams that a host which has just started took amid its
    # stop and cut at its end (LOST).
    @async_test
    async def test_is_refused_if_it_would_be_cut(self) -> None:
        settings = f"[bounds]\nstop_grace_s = {self.GRACE_S}\n"
        async with Host(ProcessServer, more_settings=settings) as host:
            for server in host.fleet.engines():
                server.behaviour.events = self.EVENTS
                server.behaviour.event_s = self.EVENT_S
                await server.async_apply_behaviour()
            await host.async_change_config(stream_timeout_ms=self.DEADLINE_MS)
            host.daemon.stop()
            statuses = await asyncio.gather(
                *(self.async_send_late(host, n) for n in range(self.COUNT))
            )
            self.assertEqual({503}, set(statuses))
            self.assertEqual([], host.fleet.runs)
            await host.task
