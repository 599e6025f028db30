"""Tests of writing and reading settings revisions."""

import asyncio

import testtools

from tests.adapters.fake_table import FakeTable
from tests.helpers import async_test
from waxwingarch.adapters.settings_store import (
    ChangeUnknownError,
    RevisionConflictError,
    SettingsRevisionStore,
    StoredDocument,
)
from waxwingarch.adapters.settings_table import SettingsTableReader
from waxwingarch.core.settings.revision import (
    MAX_DOCUMENTS_PER_CHANGE,
    ChangedDocument,
    RevisionRow,
    SettingsChange,
)
from waxwingarch.core.settings.settings import Document
from waxwingarch.exceptions import SettingsError
from waxwingarch.ports.settings import SettingsWriter
from waxwingarch.ports.table import TableUnavailableError


def _change(
    change_id: str, base: int, **documents: str | None
) -> SettingsChange:
    return SettingsChange(
        change_id=change_id,
        base_revision=base,
        documents=tuple(
            ChangedDocument(name=name, text=text)
            for name, text in documents.items()
        ),
    )


class SettingsStoreTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = FakeTable()
        self.store = SettingsRevisionStore(self.table)

    async def _apply(self, change: SettingsChange) -> int:
        deadline = asyncio.get_running_loop().time() + 10
        return await self.store.async_apply(change, deadline=deadline)

    @async_test
    async def test_documents_are_written_with_their_revision(self) -> None:
        self.assertEqual(1, await self._apply(_change("x", 0, a="1", b="2")))
        self.assertEqual(2, await self._apply(_change("y", 1, a=None, c="3")))
        loaded = await self.store.async_load(deadline=1e9)
        self.assertEqual(2, loaded.revision)
        expected = (
            StoredDocument(name="b", text="2", revision=1),
            StoredDocument(name="c", text="3", revision=2),
        )
        self.assertEqual(expected, loaded.documents)
        document = await self.store.async_document("b", deadline=1e9)
        self.assertEqual(expected[0], document)

    @async_test
    async def test_conflict_reports_the_newer_revision(self) -> None:
        await self._apply(_change("x", 0, a="1"))
        with testtools.ExpectedException(
            RevisionConflictError, ".*1 is newer"
        ):
            await self._apply(_change("y", 0, a="2"))
        loaded = await self.store.async_load(deadline=1e9)
        self.assertEqual("1", loaded.documents[0].text)

    @async_test
    async def test_change_is_applied_once_despite_lost_replies(self) -> None:
        self.table.faults = ["", "lost"]
        self.assertEqual(1, await self._apply(_change("x", 0, a="1")))
        self.table.faults = ["", "dropped"]
        self.assertEqual(2, await self._apply(_change("y", 1, a="2")))
        self.assertEqual(2, self.table.transactions)
        self.assertEqual(1, await self._apply(_change("x", 0, a="1")))
        self.assertEqual(2, self.table.transactions)

    @async_test
    async def test_outage_and_unknown_result_have_separate_errors(
        self,
    ) -> None:
        self.table.faults = ["", "down"]
        with testtools.ExpectedException(TableUnavailableError):
            await self._apply(_change("x", 0, a="1"))
        self.table.faults = ["", "lost", *["down"] * 10]
        with testtools.ExpectedException(ChangeUnknownError):
            await self._apply(_change("x", 0, a="1"))
        self.table.faults = []
        self.assertEqual(1, await self._apply(_change("x", 0, a="1")))
        self.assertEqual(1, self.table.transactions)

    @async_test
    async def test_change_larger_than_a_transaction_is_rejected(self) -> None:
        names = {f"d{n}": "" for n in range(MAX_DOCUMENTS_PER_CHANGE + 1)}
        with testtools.ExpectedException(SettingsError):
            await self._apply(_change("x", 0, **names))

    @async_test
    async def test_reader_returns_what_the_writer_port_wrote(self) -> None:
        deadline = asyncio.get_running_loop().time() + 10
        writer: SettingsWriter = self.store
        revision = await writer.async_write(
            change_id="x",
            base_revision=0,
            changed=[Document(name="a", text="1")],
            removed=["b"],
            deadline=deadline,
        )
        self.assertEqual(1, revision)
        reader = SettingsTableReader(self.table)
        snapshot = await reader.async_read_settings(deadline)
        self.assertEqual(1, snapshot.revision)
        self.assertEqual((Document(name="a", text="1"),), snapshot.documents)

    def test_revision_row_json_round_trip(self) -> None:
        minimal = RevisionRow.from_json({"revision": 4, "change_id": "z"})
        self.assertIsNotNone(minimal.find("z"))
        row = RevisionRow().with_change(_change("x", 0, a="1"))
        self.assertEqual(row, RevisionRow.from_json(row.to_json()))
