"""Tests of one host before servers that leave, are full or never end."""

import asyncio
import time
from typing import Any
from unittest.mock import patch

import testtools

from standins.fleet import PLAIN_SERVICE
from standins.fleet_server import FleetServer
from standins.flood import PARTS, FloodServer
from tests.front.base import Host, async_until
from tests.helpers import async_test
from waxwingarch.exceptions import LinkError
from waxwingarch.platform.exchange_codec import PlatformExchangeCodec
from waxwingarch.tasks.front_exchange import MAX_RESPONSE_BYTES

# What the sockets on both ends may hold of a flood beyond what is read.
SOCKET_BUFFERS_BYTES = 12 * 1024 * 1024
# Timeout of the plain routes in the emulator's configuration, and the time
# in which the final response has to follow it.
ROUTE_TIMEOUT_S = 2.0
RESPONSE_SLACK_S = 0.5
# Time in which the first bytes on an idle connection have been received.
IDLE_FLOOD_S = 0.1


class LeavingServers(testtools.TestCase):
    @async_test
    async def test_no_request_after_an_announcement(self) -> None:
        """Errors and streams announce it as well as plain responses do."""
        for path, how in (
            ("/read/x", ""),
            ("/read/x", "shed"),
            ("/chat/x", ""),
        ):
            async with Host() as host:
                plain = path == "/read/x"
                fleet = host.fleet
                first, second = fleet.plain() if plain else fleet.engines()
                first.announces_leaving = True
                first.behaviour.how, first.behaviour.count = how, 1
                await self.async_send_until_seen(host, first, path)
                seen = self.requests_of(first)
                for _ in range(10):
                    self.assertEqual(200, (await host.async_send(path)).status)
                self.assertEqual(seen, self.requests_of(first))
                self.assertGreaterEqual(self.requests_of(second), 10)

    async def async_send_until_seen(
        self, host: Host, server: FleetServer, path: str
    ) -> None:
        for _ in range(100):
            await host.async_send(path)
            if self.requests_of(server):
                return
        raise AssertionError(f"{server.server_id} got no request")

    def requests_of(self, server: FleetServer) -> int:
        runs = [r for r in server.runs if r.server_id == server.server_id]
        return len(runs) + len(server.shed_at)


class FullServers(testtools.TestCase):
    @async_test
    async def test_pause_is_kept_and_ends(self) -> None:
        async with Host() as host:
            for server in host.fleet.plain():
                server.behaviour.how = "shed"
                server.behaviour.count = 1
                server.behaviour.retry_after = "0.6"
            first = await host.async_send("/pay/x")
            self.assertEqual(503, first.status)
            self.assertGreaterEqual(float(first.headers["retry-after"]), 0.5)
            turned_away = max(s.shed_at[0] for s in host.fleet.plain())
            statuses = []
            while time.monotonic() < turned_away + 0.55:
                response = await host.async_send("/read/x", method="GET")
                statuses.append(response.status)
            self.assertEqual({503}, set(statuses))
            self.assertEqual([], host.fleet.runs)

            async def is_served() -> bool:
                return (await host.async_send("/pay/x")).status == 200

            async with asyncio.timeout(5.0):
                while not await is_served():  # noqa: ASYNC110
                    await asyncio.sleep(0.05)


class BadRetryAfter(testtools.TestCase):
    def decoded(self, *values: str, status: int = 503) -> float | None:
        headers = [("Retry-After", value) for value in values]
        head = PlatformExchangeCodec().decode_response_head(status, headers)
        return head.retry_after_s

    def test_values_that_are_not_seconds_are_ignored(self) -> None:
        for text in ("", "soon", "-1", "nan", "inf", "Wed, 21 Oct 2026"):
            self.assertIsNone(self.decoded(text), text)
        self.assertIsNone(self.decoded("1", "2"))
        self.assertIsNone(self.decoded("1", status=200))
        self.assertEqual(0.25, self.decoded("0.25"))

    def test_only_one_value_announces_leaving(self) -> None:
        codec = PlatformExchangeCodec()
        for value, status, want in (
            ("1", 200, True),
            ("1", 503, True),
            ("0", 200, False),
            ("1", 421, False),
        ):
            headers = [("Server-Leaving", value)]
            head = codec.decode_response_head(status, headers)
            self.assertEqual(want, head.leaving, (value, status))


class ServerLimits(testtools.TestCase):
    def test_header(self) -> None:
        codec = PlatformExchangeCodec()
        for values, status, want in (
            (("2.5",), 200, 2.5),
            (("0",), 503, 0.0),
            (("1",), 421, None),
            (("1", "2"), 200, None),
            (("-1",), 200, None),
            (("nan",), 200, None),
            (("inf",), 200, None),
            (("many",), 200, None),
        ):
            headers = [("Server-Limit", value) for value in values]
            head = codec.decode_response_head(status, headers)
            self.assertEqual(want, head.limit_per_s, (values, status))

    @async_test
    async def test_limit_is_known_until_a_response_has_none(self) -> None:
        """Streams and rejections name it as well as plain responses do."""
        for path, how in (
            ("/read/x", ""),
            ("/read/x", "shed"),
            ("/chat/x", ""),
        ):
            async with Host() as host:
                plain = path == "/read/x"
                fleet = host.fleet
                first, *others = fleet.plain() if plain else fleet.engines()
                first.limit_per_s = 50.0
                first.behaviour.how, first.behaviour.count = how, 1
                await self.async_send_until(host, path, first, 50.0)
                first.limit_per_s = None
                for other in others:
                    fleet.store.put("servers", other.server_id, None)
                await self.async_send_until(host, path, first, None)

    async def async_send_until(
        self, host: Host, path: str, server: FleetServer, want: float | None
    ) -> None:
        limits = host.front.load_balancer.limits
        for _ in range(300):
            await host.async_send(path)
            if limits.limit_of(server.server_id) == want:
                return
        raise AssertionError(f"{path}: limit of the server is not {want}")


class ServersForOperators(testtools.TestCase):
    @async_test
    async def test_what_servers_say_and_lost_paths_are_listed(self) -> None:
        async with Host() as host:
            first, second = host.fleet.plain()
            first.limit_per_s = 5.0
            while not first.arrivals:
                await host.async_send("/read/x")
            state = (await host.async_metrics("/servers")).json()
            servers = {s["server"]: s for s in state["servers"]}
            self.assertEqual(len(host.fleet.servers), len(servers))
            self.assertEqual(5.0, servers[first.server_id]["limit_per_s"])
            self.assertIsNone(servers[second.server_id]["limit_per_s"])
            self.assertEqual([], state["lost_services"])
            self.assertEqual({}, state["lost_by_peers"])


class BrittleServers(testtools.TestCase):
    @async_test
    async def test_only_slots_are_used_until_a_response_says_no_more(
        self,
    ) -> None:
        """Slots of the emulated servers: 8, of which 7 are used."""
        async with Host() as host:
            servers = host.fleet.plain()
            for server in servers:
                server.brittle = 1
                server.behaviour.work_s = 0.5
            self.assertEqual(200, (await host.async_send("/read/x")).status)
            answers = await asyncio.gather(
                *(host.async_send("/pay/x") for _ in range(40))
            )
            statuses = [answer.status for answer in answers]
            self.assertEqual(7 * len(servers), statuses.count(200))
            self.assertEqual(40 - 7 * len(servers), statuses.count(503))
            for server in servers:
                server.brittle = None
            await host.async_send("/read/x")
            answers = await asyncio.gather(
                *(host.async_send("/pay/x") for _ in range(40))
            )
            self.assertEqual({200}, {answer.status for answer in answers})


class EndlessResponses(testtools.TestCase):
    """A response without end costs bounded memory and time."""

    async def async_ask(self, part: str) -> None:
        async with Host() as host:
            flood = await self.async_only_server(host, FloodServer(part))
            began = time.monotonic()
            status = await self.async_status(host)
            self.assertLess(
                time.monotonic() - began, ROUTE_TIMEOUT_S + RESPONSE_SLACK_S
            )
            self.assertIn(status, self.honest_statuses(part))
            self.assertEqual(1, flood.request_count)
            self.assertLess(
                flood.sent_bytes, MAX_RESPONSE_BYTES + SOCKET_BUFFERS_BYTES
            )
            await async_until(
                lambda: not flood.open_connections,
                f"{part}: the host has closed the connection",
            )

    async def async_only_server(
        self, host: Host, flood: FloodServer
    ) -> FloodServer:
        """Let a flooding server replace the plain servers."""
        await flood.async_setup()
        self.addCleanup(flood.close)
        for server in host.fleet.plain():
            host.fleet.store.put("servers", server.server_id, None)
        row = FleetServer("flood", PLAIN_SERVICE, "za", engine=False, runs=[])
        row.address = flood.address
        host.fleet.register(row)
        registry = host.front.load_balancer.registry

        def is_alone() -> bool:
            usable = registry.usable_backends(PLAIN_SERVICE)
            return [b.server.server_id for b in usable] == ["flood"]

        await async_until(is_alone, "only the flooding server is usable")
        return flood

    async def async_status(self, host: Any) -> int:
        """Return the status; 0 if the connection ends without one."""
        try:
            return int((await host.async_send("/pay/x")).status)
        except LinkError:
            return 0

    def honest_statuses(self, part: str) -> set[int]:
        if part == "past its length":
            # The response itself was complete and right.
            return {200}
        if part == "rejection":
            return {503}
        return {0, 502, 504}

    @async_test
    async def test_each_part(self) -> None:
        for part in PARTS:
            await self.async_ask(part)

    # Guards against a sound request that is quarantined as the servers that
    # were given up for their endless bytes count as crashed by it (LOST).
    @async_test
    async def test_server_that_still_writes_has_not_crashed(self) -> None:
        for part in sorted(PARTS.keys() - {"past its length", "rejection"}):
            async with Host() as host:
                await self.async_only_server(host, FloodServer(part))
                quarantine = host.front.exchanges._quarantine
                with patch.object(type(quarantine), "record_break") as crashed:
                    await self.async_status(host)
                crashed.assert_not_called()

    @async_test
    async def test_bytes_on_an_idle_connection(self) -> None:
        """The next request is sent on another connection."""
        async with Host() as host:
            flood = await self.async_only_server(
                host, FloodServer("past its length", delay_s=0.05)
            )
            self.assertEqual(200, await self.async_status(host))
            await async_until(lambda: flood.sent_bytes, "it floods")
            await asyncio.sleep(IDLE_FLOOD_S)
            self.assertEqual(200, await self.async_status(host))
            self.assertEqual(2, flood.request_count)
