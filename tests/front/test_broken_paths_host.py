"""Tests of connections to servers that their path resets."""

import asyncio
from typing import Any
from unittest.mock import patch

import testtools

from standins.fleet import ENGINE_SERVICE
from standins.fleet_server import Run
from standins.pauses import is_at_two
from standins.server_process import ProcessServer
from standins.soak.link import LinkEnd
from tests.front.base import Host, async_until, event_ids
from tests.front.test_relay_host import TwoHosts
from tests.front.test_stopped_servers_host import (
    async_start_stream,
    server_of,
)
from tests.helpers import async_test
from waxwingarch.adapters.http_connection import CutLinkError

ALL_EVENTS = list(range(1, 11))


def servers_of(runs: list[Run]) -> set[str]:
    return {run.server_id for run in runs}


class ResetPaths(testtools.TestCase):
    """The path of a host to its servers is reset, and takes new connections.

    Guards against a stream at two servers because its host took a reset of
    the path for the end of the run.
    """

    async def async_check(
        self, end: LinkEnd, *, stopped_s: float = 0.0, resets: int = 1
    ) -> None:
        async with Host(ProcessServer) as host:
            links = await host.async_add_links()
            for server in host.fleet.servers:
                server.behaviour.ignores_close = True
            request = await async_start_stream(host, "/draft/x")
            first = server_of(host, host.fleet.runs[0])
            silence = asyncio.create_task(first.async_fall_silent(stopped_s))
            for _ in range(resets):
                await asyncio.sleep(0.1)
                for link in links.values():
                    link.reset(end)
            self.assertEqual(ALL_EVENTS, event_ids(await request))
            await silence
            runs = host.fleet.runs
            note = (end, stopped_s, resets, runs)
            self.assertEqual({first.server_id}, servers_of(runs), note)
            self.assertFalse(is_at_two(runs), note)

    @async_test
    async def test_stream_goes_on_at_the_same_server(self) -> None:
        for end in (LinkEnd.BOTH, LinkEnd.CLIENT, LinkEnd.CLIENT_FOR_GOOD):
            await self.async_check(end)

    @async_test
    async def test_stream_goes_on_at_a_stopped_server(self) -> None:
        await self.async_check(LinkEnd.BOTH, stopped_s=0.9)
        await self.async_check(LinkEnd.BOTH, stopped_s=0.9, resets=2)

    @async_test
    async def test_request_that_may_run_once_is_not_sent_again(self) -> None:
        async with Host(ProcessServer) as host:
            links = await host.async_add_links()
            request = await async_start_stream(host, "/chat/x")
            for link in links.values():
                link.reset()
            with testtools.ExpectedException(CutLinkError):
                await request
            self.assertEqual(1, len(host.fleet.runs))

    # Guards against a sound server that counts as crashed or failing as its
    # path was reset.
    @async_test
    async def test_server_gets_the_blame_for_one_failure_at_most(self) -> None:
        async with Host(ProcessServer) as host:
            links = await host.async_add_links()
            requests = [
                asyncio.create_task(async_start_stream(host, "/draft/x"))
                for _ in range(6)
            ]
            streams = await asyncio.gather(*requests)
            quarantine = host.front.exchanges._quarantine
            with patch.object(type(quarantine), "record_break") as crashed:
                for link in links.values():
                    link.reset()
                for body in await asyncio.gather(*streams):
                    self.assertEqual(ALL_EVENTS, event_ids(body))
            crashed.assert_not_called()
            now = asyncio.get_running_loop().time()
            health = host.front.load_balancer.health
            for server_id in links:
                self.assertFalse(health.is_avoided(now, server_id))


class EndedServers(testtools.TestCase):
    """The process of a server is killed, or breaks each connection."""

    @async_test
    async def test_stream_goes_on_elsewhere(self) -> None:
        async with Host(ProcessServer) as host:
            request = await async_start_stream(host, "/draft/x")
            await server_of(host, host.fleet.runs[0]).async_unload()
            self.assertEqual(ALL_EVENTS, event_ids(await request))
            self.assertEqual(2, len(servers_of(host.fleet.runs)))

    @async_test
    async def test_server_that_breaks_each_connection_is_left(self) -> None:
        async with Host() as host:
            await host.async_change_config(stream_objective_ms=1000)
            bad, sound = host.fleet.engines()
            bad.behaviour.how, bad.behaviour.count = "lost", 99
            for _ in range(8):
                response = await host.async_send("/draft/x")
                self.assertEqual(200, response.status)
            reached = [run.server_id for run in host.fleet.runs]
            self.assertIn(sound.server_id, reached)


class CutHosts(testtools.TestCase):
    """A host is cut off from all servers amid a stream, its peer is not."""

    # Guards against a stream at two servers because a peer did not know which
    # one has its run (issue 46).
    @async_test
    async def test_peer_goes_on_at_the_server_that_has_the_run(self) -> None:
        async with TwoHosts() as hosts:
            await _async_add_engines(hosts, 2)
            for server in hosts.fleet.engines():
                server.behaviour.events = 10
                server.behaviour.event_s = 0.1
            call = asyncio.create_task(hosts.async_send("/draft/x"))
            await async_until(lambda: hosts.fleet.runs, "it runs")
            await asyncio.sleep(0.25)
            [run] = hosts.fleet.runs
            # Without being told, the peer would choose another server.
            hosts.sound.front.load_balancer.health.record_failure(
                asyncio.get_running_loop().time() + 2.0,
                run.server_id,
                unreachable=True,
            )
            hosts.partition()
            _reset_connections(hosts, run)
            response = await call
            self.assertEqual(ALL_EVENTS, event_ids(response.body))
            self.assertNotIn("waxwingarch-run-at", response.headers)
            runs = hosts.fleet.runs
            self.assertEqual({run.server_id}, servers_of(runs), runs)
            for each in runs:
                self.assertNotIn("waxwingarch-run-at", each.headers)

    @async_test
    async def test_caller_can_not_name_a_server(self) -> None:
        async with Host() as host:
            for server in host.fleet.engines():
                name = server.server_id
                response = await host.async_send(
                    "/draft/x", waxwingarch_run_at=name
                )
                self.assertNotIn("waxwingarch-run-at", response.headers)
            reached = servers_of(host.fleet.runs)
            # The same request goes to the same server, whatever it names.
            self.assertEqual(1, len(reached), host.fleet.runs)
            for run in host.fleet.runs:
                self.assertNotIn("waxwingarch-run-at", run.headers)


async def _async_add_engines(hosts: TwoHosts, count: int) -> None:
    """Add engines that the cut host does not try before it relays."""
    for n in range(count):
        await hosts.fleet.async_add_server(
            f"more-{n}", ENGINE_SERVICE, engine=True
        )
    for front in (hosts.daemon.front, hosts.sound.front):
        registry = front.load_balancer.registry
        await async_until(
            lambda registry=registry: (
                len(registry) == len(hosts.fleet.servers)
            ),
            "the engines are known",
        )


def _reset_connections(hosts: Any, run: Run) -> None:
    """Break the connections to the server of a run."""
    [server] = [s for s in hosts.fleet.servers if s.server_id == run.server_id]
    for conn in list(server.server.connections):
        conn.abort()
