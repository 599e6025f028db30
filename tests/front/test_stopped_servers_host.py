"""Tests of servers whose processes are stopped, killed or started again."""

import asyncio
import time

import testtools

from standins.fleet_server import FleetServer, Run
from standins.server_process import ProcessServer
from standins.soak.link import LinkFault
from tests.front.base import Host, async_until, event_ids
from tests.helpers import async_test
from waxwingarch.adapters.http_connection import CutLinkError
from waxwingarch.exceptions import LinkError

EVENT_S = 0.1
# Callers of a route with this objective leave after four times as long.
OBJECTIVE_MS = 1000
PATIENCE_S = 4.0


async def async_start_stream(host: Host, path: str) -> asyncio.Task[bytes]:
    """Send a stream to one of two engines; return when events came."""
    for server in host.fleet.engines():
        server.behaviour.events, server.behaviour.event_s = 10, EVENT_S
        await server.async_apply_behaviour()
    await host.async_change_config(
        stream_objective_ms=OBJECTIVE_MS, stream_timeout_ms=15_000
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
    # the first one, which was only stopped.
    @async_test
    async def test_stream_stays_with_a_stopped_server(self) -> None:
        async with Host(ProcessServer) as host:
            request = await async_start_stream(host, "/draft/x")
            [run] = host.fleet.runs
            await server_of(host, run).async_fall_silent(PATIENCE_S + 1.0)
            self.assertEqual(list(range(1, 11)), event_ids(await request))
            self.assertEqual(1, len(host.fleet.runs))

    # Guards against a stream that leaves a sound server because its own host
    # was frozen: the host's timers were due when its sockets were full.
    @async_test
    async def test_silence_while_the_host_slept_is_none(self) -> None:
        for silent_s, asleep_s in ((1.0, 4.5), (0.0, 4.5), (4.0, 3.0)):
            async with Host(ProcessServer) as host:
                request = await async_start_stream(host, "/draft/x")
                [run] = host.fleet.runs
                silence = asyncio.create_task(
                    server_of(host, run).async_fall_silent(silent_s)
                )
                await asyncio.sleep(0)
                # The host runs in this process.
                time.sleep(asleep_s)  # noqa: ASYNC251
                await silence
                self.assertEqual(list(range(1, 11)), event_ids(await request))
                self.assertEqual(1, len(host.fleet.runs))


class LostServers(testtools.TestCase):
    """A server is lost amid a stream: no packet of it comes any more."""

    @async_test
    async def test_stream_goes_on_elsewhere_before_its_caller_leaves(
        self,
    ) -> None:
        async with Host() as host:
            links = await host.async_add_links()
            request = await async_start_stream(host, "/draft/x")
            [run] = host.fleet.runs
            lost_at = time.monotonic()
            links[run.server_id].fault = LinkFault.SILENT
            self.assertEqual(list(range(1, 11)), event_ids(await request))
            later = host.fleet.runs[1]
            self.assertLess(later.began_at - lost_at, PATIENCE_S - 0.2)


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


class RequestsThatMayRunOnce(testtools.TestCase):
    """Requests that may run once meet servers that are stopped or killed.

    What a process has not read stays with the kernel: connections that it
    has not accepted, and bytes that it has not received.
    """

    PATHS = ("/pay/x", "/chat/x")
    LARGE_BODY = b"x" * 4_000_000

    async def async_send_all(self, host: Host) -> list[tuple[str, int]]:
        """Send requests of all kinds at once; return path and status."""

        async def send(path: str, body: bytes) -> tuple[str, int]:
            try:
                response = await host.async_send(
                    path, body=body, deadline_ms=1500
                )
            except LinkError:
                return path, 0
            return path, response.status

        return await asyncio.gather(
            *(
                send(path, body)
                for path in self.PATHS
                for body in (b"", b"", self.LARGE_BODY)
            )
        )

    async def async_check(self, *, warm: bool, kill_after_s: float) -> None:
        """Check the runs of requests that are sent to stopped servers.

        With `warm` there are connections that were used before.
        """
        async with Host(ProcessServer) as host:
            if warm:
                await self.async_send_all(host)
                host.fleet.runs.clear()
            silences = [
                asyncio.create_task(server.async_fall_silent(2.2))
                for server in host.fleet.servers
            ]
            await asyncio.sleep(0.1)
            sent = asyncio.create_task(self.async_send_all(host))
            if kill_after_s:
                await asyncio.sleep(kill_after_s)
                for server in host.fleet.servers:
                    await server.async_unload()
            statuses = await sent
            await asyncio.gather(*silences)
            await asyncio.sleep(0.2)
            ids = [run.request_id for run in host.fleet.runs]
            note = (warm, kill_after_s, statuses, ids)
            self.assertEqual(len(ids), len(set(ids)), note)
            for _, status in statuses:
                self.assertIn(status, (0, 502, 504), note)

    # Guards against a second run of what a stopped server reads late, and
    # against "not run" for what it may still run.
    @async_test
    async def test_stopped_before_it_read(self) -> None:
        await self.async_check(warm=False, kill_after_s=0.0)
        await self.async_check(warm=True, kill_after_s=0.0)

    @async_test
    async def test_killed_before_it_read(self) -> None:
        await self.async_check(warm=False, kill_after_s=0.3)
        await self.async_check(warm=True, kill_after_s=0.3)

    # Guards against a second run where the path resets the connections of a
    # server that is stopped, and so still has the first.
    @async_test
    async def test_path_resets_while_the_server_is_stopped(self) -> None:
        for reset_after_s in (0.1, 0.6):
            async with Host(ProcessServer) as host:
                links = await host.async_add_links()
                for server in host.fleet.servers:
                    server.behaviour.work_s = server.behaviour.event_s = 0.4
                    await server.async_apply_behaviour()
                sent = asyncio.create_task(self.async_send_all(host))
                await asyncio.sleep(0.2)
                silences = [
                    asyncio.create_task(server.async_fall_silent(1.0))
                    for server in host.fleet.servers
                ]
                await asyncio.sleep(reset_after_s)
                for link in links.values():
                    link.reset()
                statuses = await sent
                await asyncio.gather(*silences)
                await asyncio.sleep(0.2)
                ids = [run.request_id for run in host.fleet.runs]
                self.assertEqual(len(ids), len(set(ids)), (statuses, ids))
                for _, status in statuses:
                    self.assertNotIn(status, (408, 421, 429, 503), statuses)

    @async_test
    async def test_stopped_or_killed_at_work(self) -> None:
        for kills in (False, True):
            async with Host(ProcessServer) as host:
                for server in host.fleet.servers:
                    server.behaviour.work_s = server.behaviour.event_s = 0.4
                    await server.async_apply_behaviour()
                sent = asyncio.create_task(self.async_send_all(host))
                await asyncio.sleep(0.2)
                await asyncio.gather(
                    *(
                        server.async_unload()
                        if kills
                        else server.async_fall_silent(2.0)
                        for server in host.fleet.servers
                    )
                )
                statuses = await sent
                await asyncio.sleep(0.2)
                ids = [run.request_id for run in host.fleet.runs]
                self.assertEqual(len(ids), len(set(ids)), (kills, ids))
                for _, status in statuses:
                    self.assertNotIn(status, (408, 421, 429, 503), statuses)
