"""Tests of hosts that evacuate a failure domain."""

import asyncio
import json
from asyncio.subprocess import DEVNULL, Process
from base64 import b64encode
from contextlib import AsyncExitStack
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest.mock import patch

import testtools

from standins.fleet import OPERATOR_KEY, ZONES, Fleet
from standins.front_process import (
    async_start_front,
    async_wait_front_ready,
    call_headers,
)
from standins.ports import free_port
from tests.front.base import Host, async_until
from tests.helpers import async_test
from tests.waxwingctl.helpers import async_ctl
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.core.store_version import era_of

HOME = ZONES[0]
SETTINGS = "[bounds]\nevacuation_ms = 5000\n"
KEY = f"evacuate/{HOME}"
EMPTY_OBJECT = b64encode(b"{}").decode()
# The limit of `[bounds] evacuation_ms` above.
KNOWN_WITHIN_S = 5.0
READY_LIMIT_S = 20.0
REQUESTS = 12


def arrivals_at(fleet: Fleet, zone: str) -> int:
    """Return how many requests have reached the servers of a zone."""
    return sum(len(s.arrivals) for s in fleet.servers if s.zone == zone)


class OneHost(testtools.TestCase):
    async def async_evacuate(self, host: Host, value: str) -> None:
        host.fleet.store.put("op", KEY, value)
        await async_until(lambda: host.front.evacuations, "it is known")

    @async_test
    async def test_operators_see_it(self) -> None:
        async with Host(more_settings=SETTINGS) as host:
            await self.async_evacuate(host, EMPTY_OBJECT)
            state = json.loads((await host.async_metrics("/servers")).body)
            [seen] = state["evacuations"]
            self.assertEqual(HOME, seen["failure_domain"])
            self.assertEqual("store", seen["learnt_from"])
            self.assertEqual(0, seen["own_requests_there"])
            metrics = (await host.async_metrics()).body.decode()
            gauge = f'evacuated_domains{{failure_domain="{HOME}"}} 0.0'
            self.assertIn(gauge, metrics)
            options = ("--address", host.admin_address, "--output", "json")
            with patch.dict("os.environ", {"WAXWINGCTL_KEY": OPERATOR_KEY}):
                listed = await async_ctl(*options, "servers")
            states = {
                (s["failure_domain"], s["state"])
                for s in json.loads(listed.out)["servers"]
            }
            expected = {(HOME, "evacuated"), (ZONES[1], "live")}
            self.assertEqual(expected, states)

    # Guards against a store without the row, as it returned from a copy, and
    # against a value that keeps the row from being obeyed.
    @async_test
    async def test_lasts_when_the_store_has_lost_the_row(self) -> None:
        async with Host(more_settings=SETTINGS) as host:
            copy = host.fleet.store.copy()
            await self.async_evacuate(host, "not base64")
            host.fleet.store.return_from(copy)
            await async_until(
                lambda: era_of(host.front._rows_version) == 2, "it was read"
            )
            before = arrivals_at(host.fleet, HOME)
            for path in ("/read/x", "/draft/x", "/chat/x") * REQUESTS:
                self.assertEqual(200, (await host.async_send(path)).status)
            self.assertEqual(before, arrivals_at(host.fleet, HOME))
            host.fleet.store.put("op", KEY, EMPTY_OBJECT)
            host.fleet.store.put("op", KEY, None)
            await async_until(lambda: not host.front.evacuations, "it ended")

    # Guards against a stream that is cut because its server is evacuated.
    @async_test
    async def test_running_stream_ends_where_it_is(self) -> None:
        async with Host(more_settings=SETTINGS) as host:
            for server in host.fleet.engines():
                server.behaviour.events = 40
                server.behaviour.event_s = 0.02
            sent = asyncio.create_task(host.async_send("/chat/x"))
            await async_until(lambda: host.fleet.runs, "it runs")
            for zone in ZONES:
                host.fleet.store.put("op", f"evacuate/{zone}", EMPTY_OBJECT)
            domains = set(ZONES)
            await async_until(
                lambda: host.front.evacuations.domains == domains, "both known"
            )
            refused = await host.async_send("/read/x")
            self.assertEqual(503, refused.status)
            self.assertIn("retry-after", refused.headers)
            self.assertEqual(40, (await sent).body.count(b"id: "))
            self.assertEqual(1, len(host.fleet.runs))


class Processes(testtools.TestCase):
    """Two hosts as processes; the second starts again while it lasts."""

    async def async_start(self, n: int) -> Process:
        path = Path(self.folder) / f"host-{n}.ini"
        text = self.fleet.settings(f"host-{n}", self.ports[n], zone=ZONES[n])
        path.write_text(text + SETTINGS)
        process = await async_start_front(path, DEVNULL)
        self.stack.push_async_callback(self.async_kill, process)
        async with asyncio.timeout(READY_LIMIT_S):
            await async_wait_front_ready(self.client, self.ports[n][1])
        return process

    async def async_kill(self, process: Process) -> None:
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def async_get(self, port: int, target: str, *headers: Any) -> Any:
        return await self.client.async_request(
            "GET",
            f"127.0.0.1:{port}",
            target,
            deadline=asyncio.get_running_loop().time() + KNOWN_WITHIN_S,
            headers=list(headers),
        )

    async def async_wait_evacuated(self, *zones: str) -> None:
        """Wait until both hosts evacuate exactly these, within the limit."""
        async with asyncio.timeout(KNOWN_WITHIN_S):
            for ports in self.ports:
                seen = None
                while seen != list(zones):
                    state = await self.async_get(ports[3], "/servers")
                    rows = json.loads(state.body)["evacuations"]
                    seen = [row["failure_domain"] for row in rows]

    async def async_reached(self) -> int:
        """Return how many of some requests at both hosts reach the zone."""
        before = arrivals_at(self.fleet, HOME)
        for n, ports in enumerate(self.ports):
            for path in ("/read/x", "/draft/x") * REQUESTS:
                headers = call_headers(f"r-{n}-{next(self.numbers)}", 5000)
                answer = await self.async_get(ports[0], path, *headers)
                self.assertEqual(200, answer.status)
        return arrivals_at(self.fleet, HOME) - before

    @async_test
    async def test_restarted_host_while_the_store_is_down(self) -> None:
        self.fleet, self.client = Fleet(), HttpClient()
        self.ports = [[free_port() for _ in range(4)] for _ in range(2)]
        self.numbers = iter(range(1000))
        async with AsyncExitStack() as self.stack:
            self.folder = self.stack.enter_context(TemporaryDirectory())
            await self.fleet.async_setup(4, 4)
            self.stack.push_async_callback(self.fleet.async_unload)
            self.stack.push_async_callback(self.client.async_unload)
            _, second = [await self.async_start(n) for n in range(2)]
            self.assertGreater(await self.async_reached(), 0)
            self.fleet.store.put("op", KEY, EMPTY_OBJECT)
            await self.async_wait_evacuated(HOME)
            self.assertEqual(0, await self.async_reached())
            self.fleet.store.mode = "down"
            await self.async_kill(second)
            await self.async_start(1)
            self.assertEqual(0, await self.async_reached())
            self.fleet.store.mode = ""
            self.fleet.store.put("op", KEY, None)
            await self.async_wait_evacuated()
            self.assertGreater(await self.async_reached(), 0)
