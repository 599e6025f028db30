"""A table as one host knows it, from the store and from peers."""

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
    TableChanges,
    TableWatch,
)


def row(key: str, version: int, value: bytes | None = b"v") -> StoredRow:
    """Return a row."""
    return StoredRow(key=key, value=value, version=version)


class MadeStore:
    """A store that answers what the test has put in its queue."""

    def __init__(self) -> None:
        self.reads: asyncio.Queue[Rows | Exception] = asyncio.Queue()
        self.changed: asyncio.Queue[Rows | Exception] = asyncio.Queue()
        self.calls = 0

    async def async_read(
        self, table: str, *, deadline: float, key: str | None = None
    ) -> Rows:
        return _answer(await self.reads.get())

    async def async_changes(
        self, table: str, after: int, wait_s: float, *, deadline: float
    ) -> Rows:
        self.calls += 1
        return _answer(await self.changed.get())

    async def async_write(
        self, writes: list[RowWrite], *, deadline: float
    ) -> WriteResult:
        raise NotImplementedError


def _answer(made: Rows | Exception) -> Rows:
    if isinstance(made, Exception):
        raise made
    return made


class Watch:
    """A watch of a made store and what it told."""

    def __init__(self) -> None:
        self.store = MadeStore()
        self.told: asyncio.Queue[int] = asyncio.Queue()
        self.watch = TableWatch(
            self.store,  # type: ignore[arg-type]
            "t",
            Random(1),
            lambda watch: self.told.put_nowait(watch.version),
        )

    async def __aenter__(self) -> "Watch":
        await self.watch.async_setup()
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.watch.async_unload()

    async def async_read(self, version: int, *rows: StoredRow) -> None:
        self.store.reads.put_nowait(Rows(rows=rows, version=version))
        await self.told.get()

    async def async_change(self, version: int, *rows: StoredRow) -> None:
        self.store.changed.put_nowait(Rows(rows=rows, version=version))
        await self.told.get()


class FromTheStore(testtools.TestCase):
    @async_test
    async def test_a_row_dropped_in_lost_history_is_gone(self) -> None:
        # The newest change known was a removal, so that no row left had
        # its version: the read after it was taken for an older one.
        async with Watch() as made:
            await made.async_read(10, row("a", 3), row("b", 4), row("c", 5))
            await made.async_change(12, row("c", 12, None))
            made.store.changed.put_nowait(HistoryLostError("gone"))
            await made.async_read(20, row("a", 3))
            self.assertEqual({"a"}, set(made.watch.rows))
            self.assertEqual(20, made.watch.version)
            self.assertTrue(made.watch.after_outage)

    @async_test
    async def test_a_read_older_than_a_peers_word_is_dropped(self) -> None:
        async with Watch() as made:
            await made.async_read(10, row("a", 3))
            made.store.changed.put_nowait(HistoryLostError("gone"))
            made.watch.merge(
                TableChanges(
                    version=30,
                    is_snapshot=True,
                    after_outage=False,
                    rows=(row("a", 3), row("b", 30)),
                )
            )
            await made.told.get()
            self.assertEqual({"a", "b"}, set(made.watch.rows))
            self.assertEqual(30, made.watch.version)


class BetweenPeers(testtools.TestCase):
    @async_test
    async def test_a_peer_gets_the_changes_alone(self) -> None:
        async with Watch() as made, Watch() as peer:
            for each in (made, peer):
                await each.async_read(10, row("a", 3), row("b", 4))
            await made.async_change(11, row("a", 11))
            await made.async_change(13, row("b", 13, None))
            # What was dropped before the first read is not known.
            self.assertTrue(made.watch.changes_since(4).is_snapshot)
            changes = made.watch.changes_since(11)
            self.assertFalse(changes.is_snapshot)
            self.assertEqual((row("b", 13, None),), changes.rows)
            peer.watch.merge(made.watch.changes_since(peer.watch.version))
            self.assertEqual(made.watch.rows, peer.watch.rows)
            self.assertEqual(13, peer.watch.version)

    @async_test
    async def test_rows_that_may_come_back_are_told_as_such(self) -> None:
        async with Watch() as made, Watch() as peer:
            for each in (made, peer):
                await each.async_read(10, row("a", 3))
            made.store.changed.put_nowait(HistoryLostError("gone"))
            await made.async_read(15)
            peer.watch.merge(made.watch.changes_since(peer.watch.version))
            self.assertEqual({}, peer.watch.rows)
            self.assertTrue(peer.watch.after_outage)

    @async_test
    async def test_one_that_relies_on_peers_asks_the_store_nothing(
        self,
    ) -> None:
        async with Watch() as made:
            await made.async_read(10, row("a", 3))
            await async_until(lambda: made.store.calls == 1, "it follows")
            made.watch.set_following(False, 1.0)
            await made.async_change(11, row("a", 11))
            await asyncio.sleep(3 * CHANGE_BATCH_PAUSE_S)
            self.assertEqual(1, made.store.calls)
            made.watch.set_following(True, 1.0)
            await async_until(lambda: made.store.calls == 2, "it follows")
