"""Version moves on a host of the emulated platform."""

import asyncio

import testtools

from standins.fleet import PLAIN_SERVICE
from tests.front.base import Host, async_until
from tests.helpers import async_test

# Long enough for the evidence that a share of 5 in 100 gives.
DURATION_S = 6.0
AT_ONCE = 8


async def async_load(host: Host, ended: asyncio.Event) -> None:
    """Send reads, some at once, until told to end."""

    async def one() -> None:
        while not ended.is_set():
            await host.async_ask("/read/x", method="GET")

    await asyncio.gather(*(one() for _ in range(AT_ONCE)))


async def async_move(host: Host, *, bad: bool) -> str:
    """Order a move under load; return the last state that was told."""
    fleet = host.fleet
    new = [
        await fleet.async_add_server(f"n-{n}", PLAIN_SERVICE, engine=False)
        for n in range(2)
    ]
    for server in new:
        fleet.register(server, version="v2")
        if bad:
            server.behaviour.how = "error"
            server.behaviour.count = 1_000_000
    await async_until(
        lambda: (
            sum(
                b.server.version == "v2"
                for b in host.front.load_balancer.registry.all_backends()
            )
            == len(new)
        ),
        "the new version is listed",
    )
    fleet.order_rollout(PLAIN_SERVICE, "v2", DURATION_S)
    ended = asyncio.Event()
    load = asyncio.create_task(async_load(host, ended))
    try:
        await async_until(
            lambda: fleet.rollout_state(PLAIN_SERVICE) not in ("", "running"),
            "the move has ended",
        )
    finally:
        ended.set()
        await load
    return fleet.rollout_state(PLAIN_SERVICE)


class Moves(testtools.TestCase):
    @async_test
    async def test_good_version_is_completed(self) -> None:
        async with Host() as host:
            self.assertEqual("completed", await async_move(host, bad=False))

    @async_test
    async def test_bad_version_is_rolled_back_and_stays_so(self) -> None:
        async with Host() as host:
            self.assertEqual("rolled_back", await async_move(host, bad=True))
            marks = [
                k for t, k in host.fleet.store.rows if t == "waxwing-stops"
            ]
            self.assertEqual(1, len(marks))
            before = len(host.fleet.runs)
            for _ in range(50):
                await host.async_ask("/read/x", method="GET")
            ran_on = {run.server_id for run in host.fleet.runs[before:]}
            self.assertFalse(ran_on & {"n-0", "n-1"})

    @async_test
    async def test_order_that_cannot_be_read_harms_nothing(self) -> None:
        async with Host() as host:
            host.fleet.store.put("op", "rollout/x", "bm9uc2Vuc2U=")
            host.fleet.config.version += 1
            host.fleet.put_config()
            version = host.fleet.config.version
            await async_until(
                lambda: host.front.table.version == version, "it is in force"
            )
            answer = await host.async_ask("/read/x", method="GET")
            self.assertEqual(200, answer.status)
