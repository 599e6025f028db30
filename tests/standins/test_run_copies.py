"""Tests of the copies that emulated engines make of their runs."""

import asyncio

import orjson
import testtools

from standins.fleet import Fleet
from standins.fleet_server import FleetServer
from standins.run_copies import MAX_COPIES
from tests.front.base import async_until
from tests.helpers import async_test
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import HttpResponse
from waxwingarch.exceptions import LinkError


class Engines:
    """Two engines, and a caller of them."""

    async def __aenter__(self) -> "Engines":
        self.fleet = Fleet()
        await self.fleet.async_setup(2, 0)
        self.source, self.target = self.fleet.engines()
        for server in self.fleet.engines():
            server.behaviour.events, server.behaviour.event_s = 6, 0.1
        self.client = HttpClient()
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.client.async_unload()
        await self.fleet.async_unload()

    async def async_call(
        self, server: FleetServer, path: str, body: bytes = b"", **more: str
    ) -> HttpResponse:
        deadline = asyncio.get_running_loop().time() + 5.0
        headers = [(name.replace("_", "-"), v) for name, v in more.items()]
        return await self.client.async_request(
            "POST",
            server.address,
            path,
            deadline=deadline,
            headers=headers,
            body=body,
        )

    async def async_move(self, request_id: str = "r1") -> HttpResponse:
        order = {
            "id": request_id,
            "target": self.target.address,
            "last": True,
        }
        return await self.async_call(
            self.source, "/-/kv-move", orjson.dumps(order)
        )

    async def async_moved_run(self) -> str:
        """Run a stream, move it, and return its handle."""
        run = asyncio.create_task(
            self.async_call(self.source, "/x", x_waxwingarch_request_id="r1")
        )
        await async_until(lambda: self.source.running("r1"), "it runs")
        reply = await self.async_move()
        assert reply.status == 200, reply
        await asyncio.gather(run, return_exceptions=True)
        return str(reply.json()["handle"])

    async def async_go_on(self, server: FleetServer, handle: str) -> int:
        reply = await self.async_call(
            server,
            "/x",
            x_waxwingarch_request_id="r1",
            last_event_id="1",
            kv_from=f"{self.source.address}/{handle}",
        )
        return reply.status


class RunCopiesTest(testtools.TestCase):
    """What the users' platform says of copies and handles."""

    @async_test
    async def test_is_used_once_at_either_end(self) -> None:
        for at_target in (True, False):
            async with Engines() as engines:
                handle = await engines.async_moved_run()
                ends = [engines.target, engines.source]
                used, other = ends if at_target else reversed(ends)
                self.assertEqual(200, await engines.async_go_on(used, handle))
                self.assertEqual(503, await engines.async_go_on(used, handle))
                self.assertEqual(503, await engines.async_go_on(other, handle))
                self.assertEqual(
                    ["moved", "done"], [r.ended for r in engines.fleet.runs]
                )

    @async_test
    async def test_unknown_copy_is_not_run(self) -> None:
        async with Engines() as engines:
            self.assertEqual(
                503, await engines.async_go_on(engines.target, "h")
            )
            self.assertEqual([], engines.fleet.runs)

    @async_test
    async def test_second_call_meanwhile_conflicts(self) -> None:
        async with Engines() as engines:
            engines.source.behaviour.move_delay_s = 0.2
            moved = asyncio.create_task(engines.async_moved_run())
            await async_until(lambda: engines.source._moving, "it moves")
            self.assertEqual(409, (await engines.async_move()).status)
            await moved
            self.assertEqual(404, (await engines.async_move()).status)

    @async_test
    async def test_run_stops_before_the_reply(self) -> None:
        async with Engines() as engines:
            engines.source.behaviour.event_s = 5.0
            await engines.async_moved_run()
            self.assertFalse(engines.source.running("r1"))

    @async_test
    async def test_target_without_room_or_gone_leaves_the_handle(self) -> None:
        for is_gone in (True, False):
            async with Engines() as engines:
                for _ in range(MAX_COPIES):
                    await engines.async_moved_run()
                if is_gone:
                    await engines.target.async_unload()
                run = asyncio.create_task(
                    engines.async_call(
                        engines.source, "/x", x_waxwingarch_request_id="r1"
                    )
                )
                await async_until(
                    lambda engines=engines: engines.source.running("r1"),
                    "it runs",
                )
                reply = await engines.async_move()
                self.assertEqual(503, reply.status)
                [cut] = await asyncio.gather(run, return_exceptions=True)
                self.assertIsInstance(cut, LinkError)
                handle = str(reply.json()["handle"])
                self.assertEqual(
                    200, await engines.async_go_on(engines.source, handle)
                )
