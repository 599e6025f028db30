"""Tests of one host before servers that are cold."""

import testtools

from standins.fleet import PLAIN_SERVICE
from tests.front.base import Host, async_until
from tests.helpers import async_test

SERVICE = {"name": PLAIN_SERVICE, "max_connections": 100}
COLD_MS = 600_000
# The bound of any second: 2 x 1.5 + 1.
SETTINGS = "[bounds]\ncold_overshoot = 1.5\ncold_slack = 1\n"


class ColdServers(testtools.TestCase):
    # Guards against rows, headers and settings that do not reach the node.
    @async_test
    async def test_rows_and_headers_bound_the_requests(self) -> None:
        async with Host(more_settings=SETTINGS) as host:
            cold = SERVICE | {"cold_start_s": 3.0, "cold_per_s": 2.0}
            await host.async_change_config(extra_services=[cold])
            first, second = host.fleet.plain()
            states = host.front.load_balancer.cold
            host.fleet.register(first, cold_remaining_ms=COLD_MS)
            await async_until(states.count, "the row is read")
            for _ in range(30):
                self.assertEqual(
                    200, (await host.async_send("/read/x")).status
                )
            self.assertLessEqual(len(first.arrivals), 4)
            self.assertGreaterEqual(len(second.arrivals), 26)
            entry = await self.async_entry(host, first.server_id)
            self.assertGreater(entry["cold_s"], 500)
            self.assertEqual("row", entry["cold_source"])
            self.assertEqual(2.0, entry["own_share_per_s"])
            second.cold_remaining = "soon"
            await host.async_send("/read/x")
            second.cold_remaining = str(COLD_MS)
            await host.async_send("/read/x")
            await async_until(
                lambda: states.count() == 2, "the header is read"
            )
            entry = await self.async_entry(host, second.server_id)
            self.assertEqual("response", entry["cold_source"])
            metrics = (await host.async_metrics("/metrics")).body.decode()
            self.assertIn("waxwingarch_cold_servers 2.0", metrics)
            self.assertIn('kind="cold value ignored"} 1.0', metrics)
            host.fleet.register(first)
            await async_until(lambda: states.count() == 1, "it is warm")

    async def async_entry(self, host: Host, server_id: str) -> dict:
        state = (await host.async_metrics("/servers")).json()
        [entry] = [s for s in state["servers"] if s["server"] == server_id]
        return entry
