"""Tests of hosts beside odd rows that another writer left in the store."""

import asyncio
import json
from base64 import b64encode
from typing import Any
from unittest.mock import AsyncMock

import h11
import orjson
import testtools
from hypothesis import given, settings, strategies

from standins.fleet import ENGINE_SERVICE, PLAIN_SERVICE
from tests.front.base import Host, async_until
from tests.helpers import async_test
from waxwingarch.adapters.addresses import split_address
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import (
    ConnectFailedError,
    UnsendableRequestError,
)
from waxwingarch.adapters.http_server import HttpServer
from waxwingarch.adapters.report_codec import encode_report
from waxwingarch.platform.rows_codec import PlatformRowCodec
from waxwingarch.platform.store import PlatformRowStore
from waxwingarch.ports.front import BadRowError, StoreUnavailableError

NESTED_LISTS = 100_000
# The odd fields of a server's row whose other fields are sound.
ODD_FIELDS: tuple[dict[str, Any], ...] = (
    {"address": "127.0.0.1:99999"},
    {"address": "127.0.0.1:0"},
    {"address": "127.0.0.1:\u00b2"},
    {"address": "127.0.0.1:" + "9" * 5000},
    {"address": "127.0.0.1\r\nx: y:80"},
    {"address": "127.0.0.1\0:80"},
    {"address": "no such host:80"},
    {"slots": 0},
    {"slots": -5},
    {"slots": 10**18},
    {"born": -1},
    {"born": 2**63},
    {"born": 1e30},
    {"born": 10**400},
    {"leaves_ms": "NaN", "state": "draining"},
    {"leaves_ms": 1e308, "state": "draining"},
    {"leaves_ms": "Infinity", "state": "draining"},
    {"born": 1e30, "state": "draining"},
    {"service": ["ledger"]},
    {"zone": None},
    {"spot": "perhaps"},
    {"state": "odd"},
)
ODD_VALUES: tuple[bytes, ...] = (
    b"[" * NESTED_LISTS + b"]" * NESTED_LISTS,
    b'{"service":' * NESTED_LISTS,
    b"1e999",
    b"9" * 400,
    b"\xff\xfe",
    b"",
    b"null",
    b"{}",
)
ODD_KEYS = ("odd\r\nid", "odd\0id", "odd id \u2603", " ")
SOUND_ROW: dict[str, Any] = {
    "service": "pool",
    "address": "10.0.0.1:80",
    "zone": "za",
    "version": "v1",
    "slots": 8,
    "state": "draining",
    "born": 1_000,
    "spot": True,
    "leaves_ms": 500.0,
    "models": [{"name": "m"}],
}
NUMBERS = strategies.one_of(
    strategies.integers(),
    strategies.sampled_from((2**31, 2**53, 2**63, 2**64, 10**30, -1, 0)),
    strategies.floats(),
)
JSON_VALUES = strategies.recursive(
    strategies.one_of(
        strategies.none(), strategies.booleans(), NUMBERS, strategies.text()
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(strategies.text(), inner, max_size=3),
    ),
    max_leaves=6,
)


def odd_rows(host: Host, service: str) -> list[tuple[str, bytes]]:
    """Return odd rows of servers of a service, with their keys."""
    server = next(s for s in host.fleet.servers if s.service == service)
    sound = orjson.loads(server.row())
    values = list(ODD_VALUES)
    for fields in ODD_FIELDS:
        try:
            values.append(orjson.dumps(sound | fields))
        except TypeError:
            # More digits than an integer of orjson has.
            text = orjson.dumps(sound | {"born": 0}).decode()
            born = str(fields["born"])
            values.append(text.replace('"born":0', f'"born":{born}').encode())
    rows = [(f"odd-{service}-{n}", value) for n, value in enumerate(values)]
    return rows + [(f"{key}-{service}", server.row()) for key in ODD_KEYS]


class OddServerRows(testtools.TestCase):
    async def async_check_serves(self, host: Host) -> None:
        """Check that all kinds of requests are served."""
        for path in ("/read/x", "/pay/x", "/draft/x", "/chat/x") * 6:
            response = await host.async_send(path)
            self.assertEqual(200, response.status, path)

    # Guards against an entry that ends requests, the reports to the peers or
    # the reading of the list, as later code met values out of all bounds.
    @async_test
    async def test_they_name_no_server_and_the_others_hold(self) -> None:
        async with Host() as host:
            known = len(host.fleet.servers)
            registry = host.front.load_balancer.registry
            rows = [
                row
                for service in (PLAIN_SERVICE, ENGINE_SERVICE)
                for row in odd_rows(host, service)
            ]
            for key, value in rows:
                row = b64encode(value).decode()
                host.fleet.store.put("servers", key, row)
            watch = host.daemon._servers_table_watch
            await async_until(
                lambda: len(watch.rows) == known + len(rows),
                "the rows are read",
            )
            await self.async_check_serves(host)
            self.assertEqual(known, len(registry))
            added = await host.fleet.async_add_server(
                "p-new", PLAIN_SERVICE, engine=False
            )
            await async_until(
                lambda: registry.get(added.server_id), "a change is seen"
            )
            now = asyncio.get_running_loop().time()
            encode_report(host.front._build_report(now))


class ServerRowFields(testtools.TestCase):
    """Whatever a row holds, it is a server within bounds, or none."""

    codec = PlatformRowCodec()

    def check(self, key: str, value: bytes) -> None:
        try:
            listed = self.codec.decode_backend(key, value)
        except BadRowError:
            return
        server = listed.server
        _, port = split_address(server.address)
        self.assertTrue(0 < port < 65_536)
        self.assertTrue(0 < server.slots < 2**31)
        self.assertTrue(0 <= server.incarnation < 2**63)
        if listed.leaves_in_s is not None:
            self.assertTrue(0 <= listed.leaves_in_s < 1e6)
        orjson.dumps([server.server_id, server.incarnation])
        h11.Request(
            method="GET",
            target="/",
            headers=[("host", "h"), ("id", server.server_id)],
        )

    @given(
        field=strategies.sampled_from(sorted(SOUND_ROW)),
        odd=strategies.one_of(NUMBERS, JSON_VALUES),
    )
    @settings(derandomize=True, deadline=None, max_examples=600)
    def test_any_field_replaced(self, field: str, odd: Any) -> None:
        self.check("s", json.dumps(SOUND_ROW | {field: odd}).encode())

    @given(key=strategies.text(max_size=8))
    @settings(derandomize=True, deadline=None)
    def test_any_id(self, key: str) -> None:
        self.check(key, json.dumps(SOUND_ROW).encode())

    @given(value=JSON_VALUES)
    @settings(derandomize=True, deadline=None)
    def test_any_json(self, value: Any) -> None:
        self.check("s", json.dumps(value).encode())

    @given(value=strategies.binary(max_size=40))
    @settings(derandomize=True, deadline=None)
    def test_any_bytes(self, value: bytes) -> None:
        self.check("s", value)

    def test_sound_row(self) -> None:
        listed = self.codec.decode_backend("s", json.dumps(SOUND_ROW).encode())
        self.assertEqual(8, listed.server.slots)


class OddAddresses(testtools.TestCase):
    # Guards against an error that is no failed connection to the caller.
    @async_test
    async def test_request_fails_as_not_sent(self) -> None:
        client = HttpClient()
        deadline = asyncio.get_running_loop().time() + 5.0
        for address in (
            "127.0.0.1:99999",
            "127.0.0.1:-1",
            "127.0.0.1:\u00b2",
            "127.0.0.1:" + "9" * 5000,
            "127.0.0.1\0:80",
            "no port",
        ):
            with testtools.ExpectedException(ConnectFailedError):
                await client.async_request(
                    "GET", address, "/", deadline=deadline
                )

    @async_test
    async def test_request_that_is_no_http_is_not_sent(self) -> None:
        server = HttpServer(AsyncMock())
        port = await server.async_setup("127.0.0.1", 0)
        client = HttpClient()
        deadline = asyncio.get_running_loop().time() + 5.0
        for target, value in (("/", "a\nb"), ("/", "\u2603"), ("/ x", "")):
            with testtools.ExpectedException(UnsendableRequestError):
                await client.async_request(
                    "GET",
                    f"127.0.0.1:{port}",
                    target,
                    deadline=deadline,
                    headers=[("x", value)],
                )
        server.handler.assert_not_called()
        await server.async_unload()


class OddRowsOfOtherTables(testtools.TestCase):
    """One odd row of a table costs neither the other rows nor a task."""

    # Guards against hosts that never learn of their peers.
    @async_test
    async def test_hosts_beside_odd_ones_are_known(self) -> None:
        async with Host() as host:
            for key, value in (
                ("odd-1", b"\xff"),
                ("odd-2", b"127.0.0.1:99999"),
                ("odd-3", b"no address"),
                ("sound", b"127.0.0.1:9"),
            ):
                row = b64encode(value).decode()
                host.fleet.store.put("waxwing-hosts", key, row)
            peers = host.front.peers
            known = peers.known_host_count
            host.daemon._register(0.0)
            await async_until(
                lambda: peers.known_host_count > known, "the host is known"
            )
            self.assertEqual(known + 1, peers.known_host_count)

    # Guards against duties that no host does any more.
    @async_test
    async def test_lease_is_taken_from_an_odd_row(self) -> None:
        for value in (b"\xff", b"[]", b'{"a":1}', b"[1,2,null,4]", b"7"):
            async with Host() as host:
                await self.async_check_lease_survives(host, value)

    async def async_check_lease_survives(
        self, host: Host, value: bytes
    ) -> None:
        """Check that a host writes its lease over a row that holds none."""
        store, lease = host.fleet.store, host.front.lease
        await async_until(lambda: lease.held, "it is held")
        odd = b64encode(value).decode()
        store.put("waxwing-lease", "duties", odd)
        await async_until(
            lambda: (
                lease.held
                and store.rows["waxwing-lease", "duties"].value != odd
            ),
            "the lease is written again",
        )

    @async_test
    async def test_row_that_is_no_base64_names_no_server(self) -> None:
        async with Host() as host:
            registry = host.front.load_balancer.registry
            host.fleet.store.put("servers", "odd", "\u00a7\u00a7")
            added = await host.fleet.async_add_server(
                "p-new", PLAIN_SERVICE, engine=False
            )
            await async_until(
                lambda: registry.get(added.server_id), "the next row is read"
            )
            self.assertIsNone(registry.get("odd"))


class PagesOfATable(testtools.TestCase):
    # Guards against a change to an earlier page that is never seen, as it
    # came while a later one was read.
    @async_test
    async def test_version_is_that_of_the_first_page(self) -> None:
        pages = [
            {
                "rows": [{"key": "a", "value": "dg==", "row_version": 3}],
                "row_version": 5,
                "has_more": True,
            },
            {
                "rows": [{"key": "b", "value": "dg==", "row_version": 4}],
                "row_version": 8,
            },
        ]
        asked: list[str | None] = []

        async def async_answer(req: Any, resp: Any) -> None:
            asked.append(req.query.get("from"))
            await resp.async_send(200, orjson.dumps(pages[len(asked) - 1]))

        server = HttpServer(async_answer)
        port = await server.async_setup("127.0.0.1", 0)
        client = HttpClient()
        store = PlatformRowStore(client, f"127.0.0.1:{port}")
        deadline = asyncio.get_running_loop().time() + 5.0
        rows = await store.async_read("t", deadline=deadline)
        await client.async_unload()
        await server.async_unload()
        self.assertEqual([None, "a\0"], asked)
        self.assertEqual(["a", "b"], [row.key for row in rows.rows])
        self.assertEqual(5, rows.version)


class OddResponsesOfTheStore(testtools.TestCase):
    SOUND = {"key": "sound", "value": "dg==", "row_version": 3}

    async def async_read(self, body: Any) -> Any:
        """Read a table from a store that sends this body."""

        async def async_answer(req: Any, resp: Any) -> None:
            data = body if isinstance(body, bytes) else orjson.dumps(body)
            await resp.async_send(200, data)

        server = HttpServer(async_answer)
        port = await server.async_setup("127.0.0.1", 0)
        store = PlatformRowStore(HttpClient(), f"127.0.0.1:{port}")
        try:
            deadline = asyncio.get_running_loop().time() + 5.0
            return await store.async_read("t", deadline=deadline)
        finally:
            await server.async_unload()

    # Guards against a table that is read again and again without its rows.
    @async_test
    async def test_odd_rows_are_left_out(self) -> None:
        odd: tuple[Any, ...] = (
            None,
            7,
            [],
            {},
            {"value": "dg=="},
            {"key": 7},
            {"key": "a", "row_version": "x"},
            {"key": "a", "row_version": -1},
            {"key": "a", "row_version": 2**63},
            {"key": "a", "value": 5},
        )
        for row in odd:
            rows = await self.async_read(
                {"rows": [row, self.SOUND], "row_version": 9, "now_ms": 1}
            )
            self.assertEqual(["sound"], [r.key for r in rows.rows], row)
            self.assertEqual(b"v", rows.rows[0].value)

    @async_test
    async def test_response_that_is_none_is_an_outage(self) -> None:
        for body in (
            b"",
            b"[" * NESTED_LISTS,
            [],
            7,
            {},
            {"rows": 5, "row_version": 1},
            {"rows": []},
            {"rows": [], "row_version": "x"},
            {"rows": [], "row_version": 1, "now_ms": None},
            {"rows": [{}], "row_version": 1, "has_more": True},
        ):
            with testtools.ExpectedException(StoreUnavailableError):
                await self.async_read(body)
