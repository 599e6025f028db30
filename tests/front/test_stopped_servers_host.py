"""Tests of servers whose processes are stopped, killed or started again."""

import asyncio
import time

import testtools

from standins.fleet_server import FleetServer, Run
from standins.server_process import ProcessServer
from tests.front.base import Host, async_until, event_ids
from tests.helpers import async_test
from waxwingarch.adapters.http_client import CutLinkError

EVENT_S = 0.1
# Callers of a route with this objective leave after four times as long.
OBJECTIVE_MS = 1000
PATIENCE_S = 4.0


async def async_start_stream(host: Host, path: str) -> asyncio.Task[bytes]:
    """Send a stream to one of two engines; return when events came."""
    for server in host.fleet.engines():
        server.behaviour.events, server.behaviour.event_s = 10, EVENT_S
        await server.async_apply_behaviour()
    host.fleet.config.version += 1
    host.fleet.config.stream_objective_ms = OBJECTIVE_MS
    host.fleet.config.stream_timeout_ms = 15_000
    host.fleet.put_config()
    await async_until(
        lambda: host.front.table.version == host.fleet.config.version,
        "the objective is known",
    )

    async def send() -> bytes:
        response = await host.async_send(path, deadline_ms=15_000)
        return response.body

    request = asyncio.create_task(send())
    await async_until(lambda: host.fleet.runs, "it runs")
    await asyncio.sleep(3 * EVENT_S)
    return request


def server_of(host: Host, run: Run) -> FleetServer:
    [server] = [s for s in host.fleet.servers if s.server_id == run.server_id]
    return server


class StoppedServers(testtools.TestCase):
    """The process of a server is stopped amid a stream."""

    # Guards against a stream that runs at two servers because its host left
    # the first one, which was only stopped, long before the caller would.
    @async_test
    async def test_stream_stays_for_as_long_as_its_caller_waits(self) -> None:
        async with Host(ProcessServer) as host:
            request = await async_start_stream(host, "/draft/x")
            [run] = host.fleet.runs
            await server_of(host, run).async_fall_silent(2.5)
            self.assertEqual(list(range(1, 11)), event_ids(await request))
            self.assertEqual(1, len(host.fleet.runs))

    @async_test
    async def test_stream_goes_on_elsewhere_before_its_caller_leaves(
        self,
    ) -> None:
        async with Host(ProcessServer) as host:
            request = await async_start_stream(host, "/draft/x")
            [run] = host.fleet.runs
            stopped_at = time.monotonic()
            silence = asyncio.create_task(
                server_of(host, run).async_fall_silent(PATIENCE_S)
            )
            self.assertEqual(list(range(1, 11)), event_ids(await request))
            later = host.fleet.runs[1]
            self.assertLess(later.began_at - stopped_at, PATIENCE_S - 0.2)
            await silence


class KilledServers(testtools.TestCase):
    """The process of a server is killed amid a response without a length."""

    async def async_stream_past_kill(self, path: str) -> tuple[bytes, int]:
        """Return the body that comes, and the number of runs."""
        async with Host(ProcessServer) as host:
            for server in host.fleet.engines():
                server.behaviour.until_close = True
            request = await async_start_stream(host, path)
            [run] = host.fleet.runs
            await server_of(host, run).async_unload()
            return await request, len(host.fleet.runs)

    # Guards against a part of a stream that looks complete: the kernel ends
    # the connections of a killed process as those of complete responses.
    @async_test
    async def test_stream_does_not_look_complete(self) -> None:
        with testtools.ExpectedException(CutLinkError):
            await self.async_stream_past_kill("/chat/x")

    @async_test
    async def test_stream_that_may_be_resumed_goes_on(self) -> None:
        body, runs = await self.async_stream_past_kill("/draft/x")
        self.assertEqual(list(range(1, 11)), event_ids(body))
        self.assertEqual(2, runs)
