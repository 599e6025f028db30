"""Tests that one unexpected error does not stop a host's work for good."""

import asyncio
from typing import Any
from unittest.mock import AsyncMock, PropertyMock, patch

import testtools

from tests.front.base import Host, async_until, event_ids
from tests.helpers import async_test
from waxwingarch.adapters.event_split import EventSplitter
from waxwingarch.adapters.http_connection import CutLinkError, HttpResponse
from waxwingarch.core.front_node import FrontNode
from waxwingarch.tasks.front_log import FrontLog

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


class Tables(testtools.TestCase):
    # The host never saw a change of the configuration again.
    @async_test
    async def test_changes_are_seen_after_a_reply_without_rows(self) -> None:
        async with Host() as host:
            store = host.daemon._ports.store
            reply = AsyncMock(side_effect=KeyError("rows"))
            with patch.object(store, "async_changes", reply):
                host.fleet.config.version = 2
                host.fleet.put_config()
                await async_until(lambda: reply.called, "a call fails")
            host.fleet.config.version = 3
            host.fleet.put_config()
            await async_until(
                lambda: host.front.table.version == 3, "the change is seen"
            )


class Exchanges(testtools.TestCase):
    # The place at the server was counted as taken for good.
    @async_test
    async def test_exchange_ends_with_an_error_in_its_task(self) -> None:
        async with Host() as host:
            with patch.object(EventSplitter, "feed", side_effect=UNEXPECTED):
                response = await host.async_send("/draft/x")
            self.assertEqual(502, response.status)
            self.assertEqual(2, len(host.fleet.runs))
            self.assertEqual(0, len(host.front.exchanges))
            self.assertEqual({}, host.front.load_balancer.loads.own_loads())

    # The caller got 500, though another server could serve the request.
    @async_test
    async def test_request_goes_on_after_an_error_in_an_attempt(self) -> None:
        feed = EventSplitter.feed
        errors = [UNEXPECTED]

        def feed_after_an_error(splitter: EventSplitter, data: bytes) -> Any:
            if errors:
                raise errors.pop()
            return feed(splitter, data)

        async with Host() as host:
            with patch.object(EventSplitter, "feed", feed_after_an_error):
                response = await host.async_send("/draft/x")
            self.assertEqual([1, 2, 3, 4, 5], event_ids(response.body))

    # A second run must not follow where the first may have run.
    @async_test
    async def test_one_that_runs_once_ends_with_an_error_in_it(self) -> None:
        async with Host() as host:
            with patch.object(EventSplitter, "feed", side_effect=UNEXPECTED):
                response = await host.async_send("/chat/x")
            self.assertEqual(502, response.status)
            self.assertEqual(1, len(host.fleet.runs))


class Pulls(testtools.TestCase):
    # One odd reply of a peer ended the task that pulls.
    @async_test
    async def test_odd_reply_of_a_peer_is_a_failed_pull(self) -> None:
        async with Host() as host:
            peers = host.daemon._front_peers
            for body in (b"7", b"[]", b'{"servers": {}}', b'{"servers": 7}'):
                reply = HttpResponse(status=200, headers={}, body=body)
                async_request = AsyncMock(return_value=reply)
                with patch.object(
                    peers._client, "async_request", async_request
                ):
                    await peers._async_pull("127.0.0.1:1")
                    self.assertTrue(async_request.called)
            self.assertEqual(200, (await host.async_send("/read/x")).status)

    # A line that could not be written left the caller without an answer.
    @async_test
    async def test_error_in_a_log_line_does_not_cost_the_answer(self) -> None:
        async with Host() as host:
            with patch.object(FrontLog, "__call__", side_effect=UNEXPECTED):
                response = await host.async_send("/draft/x")
            self.assertEqual(200, response.status)


class LostDecisions(testtools.TestCase):
    """The decision on a request is lost by an error in the same step."""

    # Nothing owed the caller an end any more.
    @async_test
    async def test_request_that_waits_for_the_host_is_refused(self) -> None:
        not_serving = PropertyMock(return_value=False)
        async with Host() as host:
            with (
                patch.object(FrontNode, "serving", not_serving),
                patch.object(
                    host.front.duties, "tick", side_effect=UNEXPECTED
                ),
            ):
                response = await host.async_send("/draft/x")
            self.assertEqual(503, response.status)
            self.assertEqual([], host.fleet.runs)
            self.assertEqual(0, host.daemon.in_progress)

    # The call that moves the run was lost, and the end of the attempt on its
    # old server waited for the outcome of that call.
    @async_test
    async def test_answer_ends_without_the_call_that_moves_its_run(
        self,
    ) -> None:
        async with Host() as host:
            for server in host.fleet.engines():
                server.behaviour.event_s = 0.3
                server.behaviour.events = 10
            request = asyncio.create_task(
                host.async_send("/draft/x", deadline_ms=3000)
            )
            await async_until(lambda: host.fleet.runs, "it runs")
            [run] = host.fleet.runs
            [server] = [
                s for s in host.fleet.engines() if s.server_id == run.server_id
            ]
            with patch.object(
                host.front.duties, "tick", side_effect=UNEXPECTED
            ):
                host.fleet.register(server, "draining")
                [state] = host.front.exchanges._exchanges.values()
                await async_until(lambda: state.is_migrating, "it is moved")
            await server.async_unload()
            with testtools.ExpectedException(CutLinkError):
                await request
            self.assertEqual(0, host.daemon.in_progress)
            self.assertEqual(0, len(host.front.exchanges))
