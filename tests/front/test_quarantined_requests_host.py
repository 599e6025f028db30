"""Tests of one host whose requests hold a quarantined prompt part."""

import asyncio

import testtools

from tests.front.base import Host, async_until
from tests.helpers import async_test
from waxwingarch.core.quarantine.quarantine_messages import QuarantineOrdered

PROMPT = "5c1e07a2:80,91bd3f06:41,e4402b7d:25"
POISONED = "91bd3f06"
# Far below the timeout of the request.
AT_ONCE_S = 1.0


class QuarantinedPart(testtools.TestCase):
    @async_test
    async def test_attempt_is_cancelled_and_the_next_is_refused(self) -> None:
        async with Host() as host:
            for engine in host.fleet.engines():
                engine.behaviour.how, engine.behaviour.count = "mute", 1
            headers = {
                "X_Waxwingarch_Prompt_Prefix": PROMPT,
                "X_Waxwingarch_Token_Usage": "146,10",
            }
            sending = asyncio.create_task(
                host.async_send("/chat/x", **headers)
            )
            await async_until(
                lambda: len(host.front.exchanges), "the request was sent"
            )
            host.daemon._runner.post(
                QuarantineOrdered(key=POISONED, held=True)
            )
            async with asyncio.timeout(AT_ONCE_S):
                self.assertEqual(502, (await sending).status)
            response = await host.async_send("/chat/x", **headers)
            self.assertEqual(503, response.status)
            self.assertIn("retry-after", response.headers)
            self.assertIn(POISONED.encode(), response.body)

    @async_test
    async def test_entries_are_kept_in_the_store(self) -> None:
        async with Host() as host:
            await async_until(
                lambda: host.front.lease.held, "the duties are held"
            )
            host.daemon._runner.post(
                QuarantineOrdered(key=POISONED, held=True)
            )
            rows = host.front.quarantine_rows
            await async_until(
                lambda: POISONED in rows._stored, "the row was written"
            )
            rows._stored = {}
            rows._is_read = False
            await async_until(
                lambda: POISONED in rows._stored, "the row was read"
            )
