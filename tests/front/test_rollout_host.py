"""Rollouts on one host of the emulated platform."""

import asyncio

import testtools

from standins.fleet import PLAIN_SERVICE
from tests.front.base import Host, async_until
from tests.helpers import async_test

# With 5 percent of the requests, enough evidence takes this long.
ROLLOUT_DURATION_S = 6.0
CONCURRENT_REQUESTS = 8


async def async_load(host: Host, load_ended: asyncio.Event) -> None:
    """Send concurrent reads until an event is set."""

    async def send_reads() -> None:
        while not load_ended.is_set():
            await host.async_send("/read/x", method="GET")

    await asyncio.gather(*(send_reads() for _ in range(CONCURRENT_REQUESTS)))


async def async_roll_out(host: Host, *, is_faulty: bool) -> str:
    """Order a rollout under load and return its final state."""
    fleet = host.fleet
    new_servers = [
        await fleet.async_add_server(f"n-{n}", PLAIN_SERVICE, engine=False)
        for n in range(2)
    ]
    for server in new_servers:
        fleet.register(server, version="v2")
        if is_faulty:
            server.behaviour.how = "error"
            server.behaviour.count = 1_000_000
    await async_until(
        lambda: (
            sum(
                b.server.version == "v2"
                for b in host.front.load_balancer.registry.all_backends()
            )
            == len(new_servers)
        ),
        "the new version is listed",
    )
    fleet.order_rollout(PLAIN_SERVICE, "v2", ROLLOUT_DURATION_S)
    load_ended = asyncio.Event()
    load = asyncio.create_task(async_load(host, load_ended))
    try:
        await async_until(
            lambda: fleet.rollout_state(PLAIN_SERVICE) not in ("", "running"),
            "the rollout has ended",
        )
    finally:
        load_ended.set()
        await load
    return fleet.rollout_state(PLAIN_SERVICE)


class Rollouts(testtools.TestCase):
    @async_test
    async def test_healthy_version_is_completed(self) -> None:
        async with Host() as host:
            self.assertEqual(
                "completed", await async_roll_out(host, is_faulty=False)
            )

    @async_test
    async def test_faulty_version_is_rolled_back_for_good(self) -> None:
        async with Host() as host:
            self.assertEqual(
                "rolled_back", await async_roll_out(host, is_faulty=True)
            )
            stop_marks = [
                k for t, k in host.fleet.store.rows if t == "waxwing-stops"
            ]
            self.assertEqual(1, len(stop_marks))
            earlier_run_count = len(host.fleet.runs)
            for _ in range(50):
                await host.async_send("/read/x", method="GET")
            ran_on = {
                run.server_id for run in host.fleet.runs[earlier_run_count:]
            }
            self.assertFalse(ran_on & {"n-0", "n-1"})

    @async_test
    async def test_invalid_rollout_order_is_ignored(self) -> None:
        async with Host() as host:
            host.fleet.store.put("op", "rollout/x", "bm9uc2Vuc2U=")
            host.fleet.config.version += 1
            host.fleet.put_config()
            version = host.fleet.config.version
            await async_until(
                lambda: host.front.table.version == version, "it is in force"
            )
            response = await host.async_send("/read/x", method="GET")
            self.assertEqual(200, response.status)
