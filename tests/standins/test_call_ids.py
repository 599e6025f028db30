"""Tests that the stand-ins repeat the id of a call in each answer."""

import asyncio

import testtools

from tests.helpers import async_test
from tests.standins.helpers import (
    TIMEOUT_S,
    Peer,
    running_engine,
    running_platform,
    running_service,
)
from tests.standins.test_engine import COMPLETIONS, completion_body
from waxwingarch.adapters.http_connection import ConnectionUse
from waxwingarch.adapters.http_messages import json_body
from waxwingarch.adapters.matching_client import MatchingClient

Call = tuple[str, str, object, int]
FAULT: Call = ("POST", "/faults", {"kind": "down"}, 200)


class CallIds(testtools.TestCase):
    async def async_check(self, peer: Peer, *calls: Call) -> None:
        """Check that all calls go on one connection, which ids allow."""
        client = MatchingClient()
        uses: list[ConnectionUse] = []
        deadline = asyncio.get_running_loop().time() + TIMEOUT_S
        for method, path, body, status in calls:
            async with client.async_stream(
                method,
                peer.address,
                path,
                deadline=deadline,
                body=b"" if body is None else json_body(body),
                on_send=uses.append,
            ) as stream:
                await stream.async_read_rest(deadline)
            self.assertEqual((path, status), (path, stream.status))
        await client.async_unload()
        self.assertEqual([1] * len(calls), [use.connection for use in uses])

    # Guards against a connection for each call, at the price of its opening.
    @async_test
    async def test_each_answer_repeats_the_id(self) -> None:
        async with running_platform() as peer:
            await self.async_check(
                peer,
                ("GET", "/v1/table/t/k", None, 200),
                ("POST", "/v1/table/transact", {"writes": 1}, 400),
                ("PUT", "/v1/objects/o", {}, 200),
                ("GET", "/v1/objects/o", None, 200),
                ("GET", "/v1/objects/missing", None, 404),
                FAULT,
                ("GET", "/v1/table/t/k", None, 503),
            )
        async with running_service() as peer:
            await self.async_check(
                peer,
                ("POST", "/pay", {}, 200),
                ("GET", "/v1/outcomes/o", None, 200),
                FAULT,
                ("POST", "/pay", {}, 503),
            )
        async with running_engine() as peer:
            await self.async_check(
                peer,
                ("POST", COMPLETIONS, completion_body("s"), 200),
                ("POST", COMPLETIONS, completion_body("s"), 409),
                ("GET", "/v1/streams/s?offset=0", None, 200),
                ("GET", "/v1/streams/none?offset=0", None, 404),
                ("DELETE", "/v1/streams/s", None, 200),
                ("POST", "/v1/kv/export", {"stream_id": "none"}, 404),
                ("GET", "/v1/load", None, 200),
                FAULT,
                ("POST", COMPLETIONS, completion_body("t"), 503),
            )
