"""Tests of the platform adapters against an in-process fake platform."""

import asyncio
import json
from random import Random

import testtools

from tests.helpers import async_test
from waxwingarch.adapters.http_messages import (
    HttpRequest,
    HttpResponder,
)
from waxwingarch.adapters.http_server import (
    HttpServer,
)
from waxwingarch.adapters.matching_client import MatchingClient
from waxwingarch.adapters.platform import (
    HttpCloud,
    HttpObjectStore,
    HttpTableStore,
)
from waxwingarch.adapters.platform_http import PlatformLink, TableBudget
from waxwingarch.core.base import (
    FailureDomain,
    ServerId,
    ServerKind,
    ServiceId,
    VersionId,
)
from waxwingarch.ports.cloud import (
    StaleFencingTokenError,
    StartOrder,
    StartRefusedError,
)
from waxwingarch.ports.table import (
    Committed,
    Condition,
    Conflict,
    Row,
    TableReplyLostError,
    TableUnavailableError,
    Write,
)

CALL_TIMEOUT_S = 10.0
SERVER = {
    "server_id": "s1",
    "address": "127.0.0.1:1",
    "failure_domain": "hn-a",
    "service": "waxwing-pool",
    "kind": "engine",
    "version": "v1",
    "machine_class": "g1",
    "reclaimable": True,
    "price": 1.0,
    "slots": 4,
    "incarnation": 7,
    "state": "live",
}


class _ScriptedPlatform:
    """Sends scripted (status, body) responses; None drops the connection."""

    def __init__(self) -> None:
        self.responses: list[tuple[int, object] | None] = []
        self.received: list[HttpRequest] = []
        self.server = HttpServer(self._async_handle)

    async def _async_handle(
        self, req: HttpRequest, resp: HttpResponder
    ) -> None:
        self.received.append(req)
        response = self.responses.pop(0)
        if response is None:
            resp.abort()
            return
        body = response[1]
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        await resp.async_send(response[0], data)

    async def async_start_link(
        self, budget: TableBudget | None = None
    ) -> PlatformLink:
        port = await self.server.async_setup("127.0.0.1", 0)
        address = f"127.0.0.1:{port}"
        return PlatformLink(MatchingClient(), address, Random(1), budget)


def _deadline(timeout_s: float = CALL_TIMEOUT_S) -> float:
    return asyncio.get_running_loop().time() + timeout_s


class TableStore(testtools.TestCase):
    @async_test
    async def test_rows_are_read_scanned_and_written(self) -> None:
        fake = _ScriptedPlatform()
        table = HttpTableStore(await fake.async_start_link())
        value = {"key": "a/b", "value": {"x": 1}, "version": 3}
        row = Row(table="t", key="a/b", value={"x": 1}, version=3)
        fake.responses = [
            (200, value),
            (200, {"rows": [value]}),
            (200, {"committed": True, "versions": [4]}),
            (
                409,
                {"committed": False, "conflicts": [{"table": "t", **value}]},
            ),
        ]
        found = await table.async_get("t", "a/b", deadline=_deadline())
        self.assertEqual(row, found)
        rows = await table.async_scan("t", prefix="a/", deadline=_deadline())
        self.assertEqual((row,), rows)
        change = (
            [Condition(table="t", key="a/b", version=3)],
            [Write(table="t", key="a/b", value=None)],
        )
        result = await table.async_transact(*change, deadline=_deadline())
        self.assertEqual(Committed(versions=(4,)), result)
        result = await table.async_transact(*change, deadline=_deadline())
        self.assertEqual(Conflict(rows=(row,)), result)
        sent = fake.received[-1].json()
        self.assertEqual(
            [{"table": "t", "key": "a/b", "version": 3}], sent["conditions"]
        )

    @async_test
    async def test_lost_reply_differs_from_unapplied_call(self) -> None:
        fake = _ScriptedPlatform()
        table = HttpTableStore(await fake.async_start_link())
        fake.responses = [(503, {}), None, (500, {}), None]
        with testtools.ExpectedException(TableUnavailableError):
            await table.async_transact([], [], deadline=_deadline())
        for _ in range(2):
            with testtools.ExpectedException(TableReplyLostError):
                await table.async_transact([], [], deadline=_deadline())
        with testtools.ExpectedException(TableUnavailableError):
            await table.async_get("t", "k", deadline=_deadline())
        await fake.server.async_unload()
        with testtools.ExpectedException(TableUnavailableError):
            await table.async_transact([], [], deadline=_deadline())

    @async_test
    async def test_rate_limited_call_is_retried_until_deadline(self) -> None:
        fake = _ScriptedPlatform()
        table = HttpTableStore(await fake.async_start_link())
        fake.responses = [(429, {}), (429, {}), (200, {"versions": []})]
        result = await table.async_transact([], [], deadline=_deadline())
        self.assertEqual(Committed(versions=()), result)
        fake.responses = [(429, {})] * 100
        with testtools.ExpectedException(TableUnavailableError):
            await table.async_transact([], [], deadline=_deadline(0.2))

    @async_test
    async def test_calls_stay_within_rate_budget(self) -> None:
        fake = _ScriptedPlatform()
        budget = TableBudget(reads_per_s=0.01, writes_per_s=0.01)
        table = HttpTableStore(await fake.async_start_link(budget))
        fake.responses = [(200, {"versions": []})] * 5
        for _ in range(4):
            await table.async_transact([], [], deadline=_deadline())
        with testtools.ExpectedException(TableUnavailableError):
            await table.async_transact([], [], deadline=_deadline())
        self.assertEqual(4, len(fake.received))

    def test_budgets_of_400_hosts_fit_table_limits(self) -> None:
        budget = TableBudget.for_hosts(400)
        self.assertTrue(budget.writes_per_s * 400 <= 400)
        self.assertTrue(budget.reads_per_s * 400 <= 2000)


class OddEntries(testtools.TestCase):
    # The list of servers was not followed any more.
    @async_test
    async def test_others_of_a_list_hold(self) -> None:
        fake = _ScriptedPlatform()
        cloud = HttpCloud(await fake.async_start_link())
        odd = [
            None,
            [],
            {},
            SERVER | {"address": "127.0.0.1:99999"},
            SERVER | {"address": None},
            SERVER | {"slots": "many"},
            SERVER | {"incarnation": 1e999},
            SERVER | {"kind": "odd"},
            SERVER | {"state": "odd"},
        ]
        listed = {"hosts": [*odd, SERVER], "entry_hosts": odd, "as_of": 1.0}
        fake.responses = [(200, listed)]
        found = await cloud.async_hosts(deadline=_deadline())
        self.assertEqual(["s1"], [s.server.server_id for s in found.servers])
        self.assertEqual((), found.entry_hosts)
        await fake.server.async_unload()


class ObjectStoreAndCloud(testtools.TestCase):
    @async_test
    async def test_object_store(self) -> None:
        fake = _ScriptedPlatform()
        objects = HttpObjectStore(await fake.async_start_link())
        fake.responses = [(200, {}), (200, b"blob"), (404, {}), (200, {})]
        await objects.async_put("n", b"blob", deadline=_deadline())
        found = await objects.async_get("n", deadline=_deadline())
        self.assertEqual(b"blob", found)
        self.assertIsNone(await objects.async_get("n", deadline=_deadline()))
        await objects.async_delete("n", deadline=_deadline())

    @async_test
    async def test_cloud_calls_and_refusals(self) -> None:
        fake = _ScriptedPlatform()
        cloud = HttpCloud(await fake.async_start_link())
        notice = {"seq": 5, "server_id": "s1", "incarnation": 7, "deadline": 9}
        fake.responses = [
            (200, {"hosts": [SERVER], "entry_hosts": [], "as_of": 1}),
            (200, {"notices": [notice], "seq": 5}),
            (200, {"server_id": "s2"}),
            (409, {}),
            (412, {}),
        ]
        hosts = await cloud.async_hosts(deadline=_deadline())
        self.assertEqual(7, hosts.servers[0].server.incarnation)
        notices = await cloud.async_notices(
            4, wait_s=1.0, deadline=_deadline()
        )
        self.assertEqual(ServerId("s1"), notices.notices[0].server_id)
        order = StartOrder(
            order_id="o",
            service=ServiceId("waxwing-pool"),
            kind=ServerKind.ENGINE,
            version=VersionId("v1"),
            machine_class="g1",
            failure_domain=FailureDomain("hn-a"),
            reclaimable=True,
            fencing=3,
        )
        started = await cloud.async_start(order, deadline=_deadline())
        self.assertEqual(ServerId("s2"), started)
        with testtools.ExpectedException(StartRefusedError):
            await cloud.async_start(order, deadline=_deadline())
        with testtools.ExpectedException(StaleFencingTokenError):
            await cloud.async_stop(ServerId("s1"), 2, deadline=_deadline())
