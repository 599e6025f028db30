"""Tests of the claim and lease stores and of the claim sweep."""

import asyncio
from dataclasses import replace

import testtools

from tests.adapters.fake_table import FakeTable
from tests.core.once.test_once import FOREIGN_CLAIM, REQ
from tests.helpers import async_test
from waxwingarch.adapters.claim_store import ClaimStore
from waxwingarch.adapters.claim_sweep import SweepResult, async_sweep
from waxwingarch.adapters.lease_store import LeaseStore
from waxwingarch.core.base import HostId
from waxwingarch.core.duties.lease import (
    LeaseConflict,
    LeaseRead,
    LeaseReplyLost,
    LeaseRow,
    LeaseTableDown,
    LeaseWritten,
    ReadLease,
    WriteLease,
)
from waxwingarch.core.once.once_messages import (
    ClaimConflict,
    ClaimRead,
    ClaimWritten,
    ReadClaim,
    TableReplyLost,
    TableUnavailable,
    WriteClaim,
)

CLAIM = WriteClaim(key="acc/k", row=REQ.claim(), expected_version=0)


class ClaimStoreTest(testtools.TestCase):
    async def _start_store(self) -> tuple[FakeTable, ClaimStore]:
        table = FakeTable()
        store = ClaimStore(table)
        await store.async_setup()
        return table, store

    @async_test
    async def test_conflict_does_not_fail_other_writes_of_its_batch(
        self,
    ) -> None:
        table, store = await self._start_store()
        first = await store.async_write(CLAIM)
        self.assertEqual(ClaimWritten(version=1), first)
        conflicting = replace(CLAIM, row=FOREIGN_CLAIM)
        other_key = replace(CLAIM, key="acc/other")
        replies = await asyncio.gather(
            store.async_write(conflicting), store.async_write(other_key)
        )
        expected = ClaimConflict(row=REQ.claim(), version=1)
        self.assertEqual([expected, ClaimWritten(version=1)], replies)
        self.assertEqual(2, table.transactions)
        read = await store.async_read(ReadClaim(key="acc/k"))
        self.assertEqual(ClaimRead(row=REQ.claim(), version=1), read)
        await store.async_unload()

    @async_test
    async def test_outage_and_lost_reply_have_separate_events(self) -> None:
        table, store = await self._start_store()
        table.faults = ["down", "lost", "down"]
        self.assertEqual(TableUnavailable(), await store.async_write(CLAIM))
        self.assertEqual(TableReplyLost(), await store.async_write(CLAIM))
        read = await store.async_read(ReadClaim(key="acc/k"))
        self.assertEqual(TableUnavailable(), read)
        await store.async_unload()

    @async_test
    async def test_sweep_deletes_expired_rows(self) -> None:
        table, store = await self._start_store()
        await store.async_write(CLAIM)
        before_expiry = await async_sweep(table, unix_now=REQ.expires_unix)
        self.assertEqual(SweepResult(deleted=0, after=""), before_expiry)
        after_expiry = await async_sweep(table, unix_now=REQ.expires_unix + 1)
        self.assertEqual(SweepResult(deleted=1, after=""), after_expiry)
        conflict = await store.async_write(CLAIM)
        self.assertEqual(ClaimConflict(row=None, version=2), conflict)
        await store.async_unload()


class LeaseStoreTest(testtools.TestCase):
    @async_test
    async def test_reads_writes_and_faults_give_their_events(self) -> None:
        table = FakeTable()
        store = LeaseStore(table)
        row = LeaseRow(holder=HostId("a"), incarnation=1, fencing=1)
        read = ReadLease(duty="d")
        write = WriteLease(duty="d", row=row, expected_version=0)
        self.assertEqual(
            LeaseRead(row=None, version=0), await store.async_do(read)
        )
        table.faults = ["down", "lost"]
        self.assertEqual(LeaseTableDown(), await store.async_do(write))
        self.assertEqual(LeaseReplyLost(), await store.async_do(write))
        self.assertEqual(
            LeaseConflict(row=row, version=1), await store.async_do(write)
        )
        renewal = replace(write, expected_version=1)
        self.assertEqual(
            LeaseWritten(version=2), await store.async_do(renewal)
        )
