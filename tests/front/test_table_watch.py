"""A host's copy of a table, kept from the store and from peers."""

import asyncio
from random import Random

import testtools

from tests.front.base import async_until
from tests.helpers import async_test
from waxwingarch.ports.front import (
    HistoryLostError,
    Rows,
    RowWrite,
    StoredRow,
    WriteResult,
)
from waxwingarch.tasks.table_watch import (
    CHANGE_BATCH_PAUSE_S,
    HISTORY_LOST_INTERVAL_S,
    TableChanges,
    TableWatch,
)


def row(key: str, version: int, value: bytes | None = b"v") -> StoredRow:
    """Return a stored row; a value of None means that it was removed."""
    return StoredRow(key=key, value=value, version=version)


class ScriptedStore:
    """A store whose results the test puts into queues."""

    def __init__(self) -> None:
        self.on_era = lambda era: None
        self.reads: asyncio.Queue[Rows | Exception] = asyncio.Queue()
        self.changed: asyncio.Queue[Rows | Exception] = asyncio.Queue()
        self.change_calls = 0

    async def async_read(
        self, table: str, *, deadline: float, key: str | None = None
    ) -> Rows:
        return _return_or_raise(await self.reads.get())

    async def async_changes(
        self, table: str, after: int, wait_s: float, *, deadline: float
    ) -> Rows:
        self.change_calls += 1
        return _return_or_raise(await self.changed.get())

    async def async_write(
        self, writes: list[RowWrite], *, deadline: float
    ) -> WriteResult:
        raise NotImplementedError


def _return_or_raise(result: Rows | Exception) -> Rows:
    if isinstance(result, Exception):
        raise result
    return result


class WatchedTable:
    """A table watch on a scripted store, and the versions it reported."""

    def __init__(self) -> None:
        self.store = ScriptedStore()
        self.versions: asyncio.Queue[int] = asyncio.Queue()
        self.watch = TableWatch(
            self.store,  # type: ignore[arg-type]
            "t",
            Random(1),
            lambda watch: self.versions.put_nowait(watch.version),
        )

    async def __aenter__(self) -> "WatchedTable":
        await self.watch.async_setup()
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.watch.async_unload()

    async def async_read(self, version: int, *rows: StoredRow) -> None:
        self.store.reads.put_nowait(Rows(rows=rows, version=version))
        await self.versions.get()

    async def async_change(self, version: int, *rows: StoredRow) -> None:
        self.store.changed.put_nowait(Rows(rows=rows, version=version))
        await self.versions.get()


class StoreReads(testtools.TestCase):
    @async_test
    async def test_row_removed_in_lost_history_is_removed(self) -> None:
        # The newest known change is a removal, so that no remaining row has
        # its version. The next full read was mistaken for an older one.
        async with WatchedTable() as own:
            await own.async_read(10, row("a", 3), row("b", 4), row("c", 5))
            await own.async_change(12, row("c", 12, None))
            own.store.changed.put_nowait(HistoryLostError("gone"))
            await own.async_read(20, row("a", 3))
            self.assertEqual({"a"}, set(own.watch.rows))
            self.assertEqual(20, own.watch.version)
            self.assertTrue(own.watch.after_outage)

    @async_test
    async def test_store_that_keeps_no_history_is_read_at_intervals(
        self,
    ) -> None:
        """Each full read was followed by the next one without a pause.

        A follower made more than a hundred calls a second to a store that
        discarded its history for seconds.
        """
        async with WatchedTable() as own:
            loop = asyncio.get_running_loop()
            await own.async_read(10, row("a", 3))
            own.store.changed.put_nowait(HistoryLostError("gone"))
            await own.async_read(11, row("a", 3))
            lost_at = loop.time()
            for version in range(12, 15):
                own.store.changed.put_nowait(HistoryLostError("gone"))
                await own.async_read(version, row("a", 3))
            self.assertGreaterEqual(
                loop.time() - lost_at, 2 * HISTORY_LOST_INTERVAL_S
            )

    @async_test
    async def test_read_older_than_changes_of_a_peer_is_ignored(self) -> None:
        async with WatchedTable() as own:
            await own.async_read(10, row("a", 3))
            own.store.changed.put_nowait(HistoryLostError("gone"))
            own.watch.merge(
                TableChanges(
                    version=30,
                    is_snapshot=True,
                    after_outage=False,
                    rows=(row("a", 3), row("b", 30)),
                )
            )
            await own.versions.get()
            self.assertEqual({"a", "b"}, set(own.watch.rows))
            self.assertEqual(30, own.watch.version)


class PeerChanges(testtools.TestCase):
    @async_test
    async def test_peer_gets_only_the_changes(self) -> None:
        async with WatchedTable() as own, WatchedTable() as peer:
            for table in (own, peer):
                await table.async_read(10, row("a", 3), row("b", 4))
            await own.async_change(11, row("a", 11))
            await own.async_change(13, row("b", 13, None))
            # Removals before the first read are not known.
            self.assertTrue(own.watch.changes_since(4).is_snapshot)
            changes = own.watch.changes_since(11)
            self.assertFalse(changes.is_snapshot)
            self.assertEqual((row("b", 13, None),), changes.rows)
            peer.watch.merge(own.watch.changes_since(peer.watch.version))
            self.assertEqual(own.watch.rows, peer.watch.rows)
            self.assertEqual(13, peer.watch.version)

    @async_test
    async def test_peer_learns_that_missing_rows_may_return(self) -> None:
        async with WatchedTable() as own, WatchedTable() as peer:
            for table in (own, peer):
                await table.async_read(10, row("a", 3))
            own.store.changed.put_nowait(HistoryLostError("gone"))
            await own.async_read(15)
            peer.watch.merge(own.watch.changes_since(peer.watch.version))
            self.assertEqual({}, peer.watch.rows)
            self.assertTrue(peer.watch.after_outage)

    @async_test
    async def test_table_that_relies_on_peers_does_not_call_the_store(
        self,
    ) -> None:
        async with WatchedTable() as own:
            await own.async_read(10, row("a", 3))
            await async_until(
                lambda: own.store.change_calls == 1, "it follows"
            )
            own.watch.set_following(False, 1.0)
            await own.async_change(11, row("a", 11))
            await asyncio.sleep(3 * CHANGE_BATCH_PAUSE_S)
            self.assertEqual(1, own.store.change_calls)
            own.watch.set_following(True, 1.0)
            await async_until(
                lambda: own.store.change_calls == 2, "it follows"
            )
