"""Tests of hosts whose store returns from a copy some seconds old."""

import asyncio
from typing import Any

import testtools

from standins.fleet import PLAIN_SERVICE
from standins.fleet_store import FleetStore, StoreCopy
from tests.front.base import Host, async_until
from tests.helpers import async_test
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.core.store_version import era_of, make_version
from waxwingarch.front_daemon import HOSTS_TABLE
from waxwingarch.platform.store import PlatformRowStore
from waxwingarch.ports.front import (
    HistoryLostError,
    RowWrite,
    StoreUnavailableError,
)
from waxwingarch.tasks.front_duties import USAGE_TABLE
from waxwingarch.tasks.front_peers import FrontPeers
from waxwingarch.tasks.table_watch import TableWatch

CALL_LIMIT_S = 2.0


def deadline() -> float:
    return asyncio.get_running_loop().time() + CALL_LIMIT_S


class StoreClient(testtools.TestCase):
    """The client of the store orders versions across eras."""

    async def async_client(self) -> tuple[FleetStore, PlatformRowStore]:
        store = FleetStore()
        await store.async_setup()
        client = HttpClient()
        return store, PlatformRowStore(client, store.address)

    @async_test
    async def test_versions_rise_though_they_are_given_out_again(self) -> None:
        store, rows = await self.async_client()
        eras: list[int] = []
        rows.on_era = eras.append
        copy = store.copy()
        store.put("t", "k", "YQ==")
        store.put("t", "k", "Yg==")
        before = await rows.async_read("t", deadline=deadline())
        store.return_from(copy)
        store.put("t", "k", "Yw==")
        with testtools.ExpectedException(HistoryLostError):
            await rows.async_changes(
                "t", before.version, 0.0, deadline=deadline()
            )
        after = await rows.async_read("t", deadline=deadline())
        self.assertGreater(after.version, before.version)
        self.assertGreater(after.rows[0].version, before.rows[0].version)
        self.assertEqual([1, 2], eras)
        await store.async_unload()

    @async_test
    async def test_missed_changes_are_no_changes_of_the_new_era(self) -> None:
        """The store has passed the version again: it answers 200, not 410."""
        store, rows = await self.async_client()
        copy = store.copy()
        store.put("t", "lost", "YQ==")
        before = await rows.async_read("t", deadline=deadline())
        store.return_from(copy)
        for key in ("first", "second", "third"):
            store.put("t", key, "YQ==")
        with testtools.ExpectedException(HistoryLostError):
            await rows.async_changes(
                "t", before.version, 0.0, deadline=deadline()
            )
        await store.async_unload()

    @async_test
    async def test_condition_of_an_earlier_era_is_not_sent(self) -> None:
        store, rows = await self.async_client()
        copy = store.copy()
        store.put("t", "k", "YQ==")
        read = await rows.async_read("t", deadline=deadline())
        store.return_from(copy)
        # The same count is given to a row of another writer.
        store.put("t", "k", "Yg==")
        await rows.async_read("other", deadline=deadline())
        write = RowWrite(
            table="t",
            key="k",
            value=b"mine",
            expected_version=read.rows[0].version,
        )
        with testtools.ExpectedException(StoreUnavailableError):
            await rows.async_write([write], deadline=deadline())
        self.assertEqual(b"b", store.value("t", "k"))
        await store.async_unload()

    @async_test
    async def test_header_that_is_no_era_counts_as_absent(self) -> None:
        store, rows = await self.async_client()
        eras: list[int] = []
        rows.on_era = eras.append
        await rows.async_read("t", deadline=deadline())
        for text in ("", "x", "-3", "1, 2", "9" * 30):
            store.era_header = text
            read = await rows.async_read("t", deadline=deadline())
            self.assertEqual(1, era_of(read.version), text)
        self.assertEqual([1], eras)
        await store.async_unload()

    @async_test
    async def test_first_era_after_responses_without_one(self) -> None:
        """A header that appears is no return of the store by itself."""
        store, rows = await self.async_client()
        eras: list[int] = []
        rows.on_era = eras.append
        store.era_header = ""
        await rows.async_read("t", deadline=deadline())
        self.assertEqual([], eras)
        store.era_header = None
        await rows.async_read("t", deadline=deadline())
        self.assertEqual([1], eras)
        await store.async_unload()

    @async_test
    async def test_response_of_an_earlier_era_is_refused(self) -> None:
        store, rows = await self.async_client()
        store.era_header = "5"
        await rows.async_read("t", deadline=deadline())
        store.era_header = "4"
        with testtools.ExpectedException(StoreUnavailableError):
            await rows.async_read("t", deadline=deadline())
        await store.async_unload()


class OneHost(testtools.TestCase):
    def copy_of(self, host: Host) -> StoreCopy:
        return host.fleet.store.copy()

    @async_test
    async def test_configuration_in_force_is_kept(self) -> None:
        async with Host() as host:
            copy = self.copy_of(host)
            host.fleet.config.version = 5
            host.fleet.config.keys = ("key-2",)
            host.fleet.put_config()
            await async_until(
                lambda: host.front.table.version == 5, "version 5 is there"
            )
            host.fleet.store.return_from(copy)
            await async_until(
                lambda: host.front._store_era == 2, "the era is seen"
            )
            await async_until(
                lambda: era_of(host.front._rows_version) == 2, "it was read"
            )
            old = await host.async_send("/pay/x", key="key-1")
            new = await host.async_send("/pay/x", key="key-2")
            self.assertEqual((401, 200), (old.status, new.status))
            # The operator's next change has a lower count than before.
            host.fleet.config.version = 6
            host.fleet.config.keys = ("key-3",)
            host.fleet.put_config()
            await async_until(
                lambda: host.front.table.version == 6, "version 6 is there"
            )

    @async_test
    async def test_servers_that_register_again_are_used(self) -> None:
        async with Host() as host:
            copy = self.copy_of(host)
            store = host.fleet.store
            added = await host.fleet.async_add_server(
                "p-9", PLAIN_SERVICE, engine=False
            )
            registry = host.front.load_balancer.registry
            await async_until(lambda: registry.get("p-9"), "it is known")
            store.return_from(copy)
            host.fleet.register(added, sequence=2)
            await async_until(
                lambda: era_of(registry.version) == 2, "the listing was read"
            )
            usable = registry.usable_backends(PLAIN_SERVICE)
            self.assertIn("p-9", {b.server.server_id for b in usable})

    @async_test
    async def test_server_that_does_not_register_again_leaves(self) -> None:
        async with Host() as host:
            copy = self.copy_of(host)
            await host.fleet.async_add_server(
                "p-9", PLAIN_SERVICE, engine=False
            )
            registry = host.front.load_balancer.registry
            await async_until(lambda: registry.get("p-9"), "it is known")
            host.fleet.store.return_from(copy)
            await async_until(
                lambda: not registry.get("p-9").is_usable, "it has left"
            )

    @async_test
    async def test_own_rows_come_back(self) -> None:
        async with Host() as host:
            store = host.fleet.store
            await async_until(
                lambda: store.value(HOSTS_TABLE, "host-1"), "it registered"
            )
            host.fleet.store.return_from(StoreCopy(rows={}, version=1))
            host.fleet.put_config()
            for server in host.fleet.servers:
                host.fleet.register(server)
            await async_until(
                lambda: store.value(HOSTS_TABLE, "host-1"),
                "it registered again",
            )

    @async_test
    async def test_fences_rise_and_no_window_has_two_counts(self) -> None:
        async with Host() as host:
            host.front.usage.window_s = 0.3
            store, calls = host.fleet.store, host.fleet.duty_calls
            copy = self.copy_of(host)

            async def async_report_some() -> None:
                reported = len(calls)
                await host.async_send("/pay/x")
                await async_until(
                    lambda: len(calls) >= reported + 3, "usage was reported"
                )

            await async_report_some()
            for _ in range(2):
                store.return_from(copy)
                self.assertIsNone(store.value(USAGE_TABLE, "1"))
                await async_report_some()
            counts: dict[int, Any] = {}
            for call in calls:
                window = call.body["window_number"]
                self.assertEqual(
                    call.body["counts"],
                    counts.setdefault(window, call.body["counts"]),
                )
            fences = [call.fence for call in calls]
            self.assertEqual(sorted(fences), fences)
            self.assertGreaterEqual(min(fences), make_version(1, 0))


class PeersOfOneStore(testtools.TestCase):
    """A host that starts in the gap reads the older configuration."""

    @async_test
    async def test_peer_hands_over_the_configuration_in_force(self) -> None:
        async with Host() as host:
            copy = host.fleet.store.copy()
            host.fleet.config.version = 5
            host.fleet.put_config()
            await async_until(
                lambda: host.front.table.version == 5, "version 5 is there"
            )
            host.fleet.store.return_from(copy)
            await async_until(
                lambda: era_of(host.front._rows_version) == 2, "it was read"
            )
            served: list[int] = []
            watch = self.watch_of(host, served)
            await watch.async_setup()
            await async_until(lambda: served, "the copy was read")
            self.assertEqual([1], served)
            peers = FrontPeers(
                host.daemon._runner,
                host.client,
                [watch],
                host.daemon._entry.async_handle_relayed,
            )
            await peers._async_pull(f"127.0.0.1:{host.ports[2]}")
            await watch.async_unload()
            self.assertEqual([1, 5], served)

    def watch_of(self, host: Host, served: list[int]) -> TableWatch:
        ports = host.daemon._ports
        rows = PlatformRowStore(host.client, host.fleet.store.address)

        def record(watch: TableWatch) -> None:
            row = watch.rows[ports.rows.config_key]
            served.append(ports.rows.config_number(row))

        return TableWatch(
            rows,
            ports.rows.config_table,
            host.daemon._rng,
            record,
            content_number=ports.rows.config_number,
        )
