"""Tests of a host that relays requests, as it reaches no server."""

import asyncio
from contextlib import AsyncExitStack
from typing import Any
from unittest.mock import patch

import testtools

from standins.front_process import KEY, call_headers
from standins.ports import free_address, free_port
from tests.front.base import Host, async_until, event_ids
from tests.helpers import async_test
from waxwingarch.adapters.front_settings import FrontSettings
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import ConnectFailedError
from waxwingarch.adapters.ini import parse_ini, validate
from waxwingarch.core.base import Action
from waxwingarch.core.exchange.exchange_messages import (
    ExchangeArrived,
    LocalResponse,
)
from waxwingarch.core.exchange.state_machine import no_server_refusal
from waxwingarch.exceptions import LinkError
from waxwingarch.front_daemon import FrontDaemon
from waxwingarch.platform.exchange_codec import PlatformExchangeCodec
from waxwingarch.platform.wiring import platform_ports

DEADLINE_S = 5.0


class PartitionedClient(HttpClient):
    """A client whose new connections to some addresses hang."""

    def __init__(self) -> None:
        super().__init__()
        self.unreachable: set[str] = set()

    async def _async_connect(self, address: str, deadline: float) -> Any:
        if address in self.unreachable:
            loop = asyncio.get_running_loop()
            await asyncio.sleep(deadline - loop.time())
            raise ConnectFailedError(f"{address}: cannot connect")
        return await super()._async_connect(address, deadline)


class TwoHosts:
    """A sound host, and one that can be partitioned from all servers."""

    def __init__(self) -> None:
        self.sound = Host()
        self.fleet = self.sound.fleet
        self.client = PartitionedClient()
        self._caller = HttpClient()
        self._stack = AsyncExitStack()
        self._count = 0

    async def __aenter__(self) -> "TwoHosts":
        await self._stack.enter_async_context(self.sound)
        self.ports = [free_port() for _ in range(4)]
        text = self.fleet.settings("host-2", self.ports, admin=free_address())
        settings = validate(FrontSettings, parse_ini(text, "made"), "made")
        self.daemon = FrontDaemon(
            settings, self.client, platform_ports(settings, self.client)
        )
        task = asyncio.create_task(self.daemon.async_run())
        self._stack.push_async_callback(self._async_stop, task)
        await async_until(lambda: self.daemon.front.ready, "it is ready")
        for front in (self.daemon.front, self.sound.front):
            await async_until(
                lambda front=front: (
                    front.peers.live_host_count(
                        asyncio.get_running_loop().time()
                    )
                    == 2
                ),
                "the hosts hear each other",
            )
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._caller.async_unload()
        await self._stack.aclose()

    async def _async_stop(self, task: asyncio.Task[int]) -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await self.daemon.async_unload()

    def partition(self) -> None:
        """Let new connections to servers hang, and drop the old ones."""
        self.client.unreachable = {s.address for s in self.fleet.servers}
        for address in self.client.unreachable:
            self.client.forget(address)

    @property
    def lost_services(self) -> tuple[str, ...]:
        """The services to which the partitioned host has no path."""
        return tuple(self.daemon.front.load_balancer.paths.lost_services())

    async def async_lose_paths(self) -> None:
        """Send requests until the host knows that it has no path."""
        self.partition()
        await asyncio.gather(
            *(self.async_send(p) for p in ("/read/x", "/draft/x") * 2)
        )
        await async_until(lambda: len(self.lost_services) == 2, "paths lost")

    async def async_send(self, path: str, **headers: str) -> Any:
        """Send a caller's request to the partitioned host."""
        self._count += 1
        now = asyncio.get_running_loop().time()
        return await self._caller.async_request(
            "POST",
            f"127.0.0.1:{self.ports[0]}",
            path,
            deadline=now + DEADLINE_S,
            headers=[
                *call_headers(f"cut-{self._count}", 4000, KEY),
                *((k.replace("_", "-"), v) for k, v in headers.items()),
            ],
            body=b"body",
        )


class RelayedRequests(testtools.TestCase):
    @async_test
    async def test_all_kinds_are_served_by_the_peer(self) -> None:
        async with TwoHosts() as hosts:
            await hosts.async_lose_paths()
            hosts.fleet.runs.clear()
            for path in ("/read/x", "/pay/x", "/draft/x", "/chat/x"):
                response = await hosts.async_send(path)
                self.assertEqual(200, response.status, path)
                self.assertIn(
                    "x-waxwingarch-server-stamp", response.headers, path
                )
                if path in ("/draft/x", "/chat/x"):
                    self.assertEqual(
                        list(range(1, 6)), event_ids(response.body), path
                    )
            runs = hosts.fleet.runs
            self.assertEqual(4, len(runs))
            for run in runs:
                self.assertEqual(b"body", run.body)
                self.assertNotIn("waxwingarch-relay", run.headers)
                self.assertNotIn("x-api-key", run.headers)

    @async_test
    async def test_requests_of_the_first_moment_are_served(self) -> None:
        async with TwoHosts() as hosts:
            hosts.partition()
            responses = await asyncio.gather(
                *(hosts.async_send("/pay/x") for _ in range(6))
            )
            self.assertEqual({200}, {r.status for r in responses})
            self.assertEqual(6, len(hosts.fleet.runs))

    @async_test
    async def test_usage_is_counted_once_and_by_the_peer(self) -> None:
        async with TwoHosts() as hosts:
            await hosts.async_lose_paths()

            def counted(front: Any) -> int:
                windows = front.usage.counts.values()
                return sum(sum(w.values()) for w in windows)

            own, of_peer = (
                counted(f) for f in (hosts.daemon.front, hosts.sound.front)
            )
            for _ in range(3):
                await hosts.async_send("/read/x")
            self.assertEqual(own, counted(hosts.daemon.front))
            self.assertEqual(of_peer + 3, counted(hosts.sound.front))

    @async_test
    async def test_caller_that_leaves_ends_the_run(self) -> None:
        async with TwoHosts() as hosts:
            await hosts.async_lose_paths()
            hosts.fleet.runs.clear()
            for engine in hosts.fleet.engines():
                engine.behaviour.events = 500
                engine.behaviour.event_s = 0.02
            call = asyncio.create_task(hosts.async_send("/chat/x"))
            await async_until(lambda: hosts.fleet.runs, "it runs")
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            [run] = hosts.fleet.runs
            await async_until(lambda: run.ended == "dropped", "it ended")
            self.assertLess(run.ended_at - run.began_at, 2.0)

    @async_test
    async def test_without_a_peer_it_is_refused_soon(self) -> None:
        async with TwoHosts() as hosts:
            await hosts.async_lose_paths()
            hosts.sound.front.stopping = True
            await async_until(
                lambda: all(
                    r.draining
                    for r in hosts.daemon.front.peers.live_reports(
                        asyncio.get_running_loop().time()
                    )
                ),
                "the peer is leaving",
            )
            loop = asyncio.get_running_loop()
            began = loop.time()
            response = await hosts.async_send("/pay/x")
            self.assertEqual(503, response.status)
            self.assertIn("retry-after", response.headers)
            self.assertLess(loop.time() - began, 1.5)

    @async_test
    async def test_own_path_is_used_again(self) -> None:
        async with TwoHosts() as hosts:
            await hosts.async_lose_paths()
            hosts.client.unreachable = set()

            async def is_back() -> bool:
                for path in ("/read/x", "/draft/x"):
                    await hosts.async_send(path)
                return not hosts.lost_services

            async with asyncio.timeout(5.0):
                while not await is_back():  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
            for path in ("/read/x", "/pay/x", "/chat/x"):
                self.assertEqual(200, (await hosts.async_send(path)).status)


class RelayHeader(testtools.TestCase):
    @async_test
    async def test_caller_can_not_set_it(self) -> None:
        """On the address for callers it has no effect."""
        async with TwoHosts() as hosts:
            await hosts.async_lose_paths()
            response = await hosts.async_send("/read/x", waxwingarch_relay="1")
            self.assertEqual(200, response.status)

    @async_test
    async def test_relayed_request_is_not_relayed_again(self) -> None:
        async with TwoHosts() as hosts:
            await hosts.async_lose_paths()
            now = asyncio.get_running_loop().time()
            address = hosts.daemon.front.identity.address
            headers = [
                *call_headers("again", 2000, KEY),
                ("waxwingarch-relay", "1"),
            ]
            try:
                response = await HttpClient().async_request(
                    "POST",
                    address,
                    "/pay/x",
                    deadline=now + DEADLINE_S,
                    headers=headers,
                )
            except LinkError as exc:
                raise AssertionError("no answer") from exc
            self.assertEqual(503, response.status)
            # By its id the other host knows that it is not an earlier one.
            self.assertEqual(
                "again", response.headers["x-waxwingarch-request-id"]
            )


class RefusalsOfPeers(testtools.TestCase):
    # Guards against a resend of what a peer runs, after a refusal that may be
    # that of an earlier request on the same connection.
    @async_test
    async def test_without_an_id_it_proves_nothing(self) -> None:
        async with TwoHosts() as hosts:
            await hosts.async_lose_paths()
            await hosts.async_send("/pay/x")
            hosts.sound.front._handlers[ExchangeArrived] = _refuse_arrival
            response = await hosts.async_send("/pay/x")
            self.assertEqual(503, response.status)
            with patch.object(
                PlatformExchangeCodec,
                "encode_refusal_headers",
                lambda codec, request_id: [],
            ):
                response = await hosts.async_send("/pay/x")
            self.assertEqual(502, response.status)


def _refuse_arrival(now: float, event: ExchangeArrived) -> list[Action]:
    """Refuse a request as a host without a server does."""
    return [
        LocalResponse(
            request_id=event.head.request_id, refusal=no_server_refusal()
        )
    ]
