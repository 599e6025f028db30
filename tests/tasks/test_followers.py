"""Tests that a follower outlives an error that it did not expect."""

from random import Random
from unittest.mock import AsyncMock, Mock

import testtools

from tests.front.base import async_until
from tests.helpers import async_test
from waxwingarch.core.base import HostId
from waxwingarch.ports.cloud import HostList
from waxwingarch.tasks.platform_watch import PlatformWatch

UNEXPECTED = RecursionError("unexpected")


class ListsOfThePlatform(testtools.TestCase):
    # The lists of servers and notices were not read any more.
    @async_test
    async def test_polls_go_on_after_an_error_in_one(self) -> None:
        listed = HostList(servers=(), entry_hosts=(), as_of=0.0)
        cloud = Mock(
            async_hosts=AsyncMock(side_effect=[UNEXPECTED, listed, listed]),
            async_notices=AsyncMock(side_effect=UNEXPECTED),
        )
        runner = Mock()
        watch = PlatformWatch(runner, cloud, HostId("h"), Random(1))
        await watch.async_setup()
        await async_until(lambda: runner.post.called, "a list is read")
        await async_until(
            lambda: cloud.async_notices.call_count > 1, "notices are read"
        )
        await watch.async_unload()
