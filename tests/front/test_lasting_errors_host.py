"""Tests that one unexpected error does not stop a host's work for good."""

import asyncio
from unittest.mock import patch

import testtools

from tests.front.base import Host, async_until
from tests.helpers import async_test

UNEXPECTED = ValueError("unexpected")


class Ticks(testtools.TestCase):
    # After one error nothing with a deadline happened on the host any more.
    @async_test
    async def test_ticks_go_on_after_an_error_in_one(self) -> None:
        async with Host() as host:
            with patch.object(
                host.front.gossip, "update_following", side_effect=UNEXPECTED
            ) as failing:
                await async_until(lambda: failing.called, "a tick fails")
            ticked_at = host.front.duties.boot_now
            await asyncio.sleep(0.5)
            self.assertGreater(host.front.duties.boot_now, ticked_at)
