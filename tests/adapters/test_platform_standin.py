"""Tests of the claim and settings stores against the stand-in platform."""

import asyncio
from random import Random

import testtools

from tests.core.once.test_once import REQ
from tests.helpers import async_test
from tests.standins.helpers import Peer, running_platform
from waxwingarch.adapters.claim_store import ClaimStore
from waxwingarch.adapters.claim_sweep import SweepResult, async_sweep
from waxwingarch.adapters.platform import HttpTableStore
from waxwingarch.adapters.platform_http import PlatformLink
from waxwingarch.adapters.settings_store import (
    RevisionConflictError,
    SettingsRevisionStore,
)
from waxwingarch.core.base import AccountId
from waxwingarch.core.once.claim import claim_key
from waxwingarch.core.once.once_messages import (
    ClaimConflict,
    ClaimRead,
    ClaimWritten,
    ReadClaim,
    TableReplyLost,
    TableUnavailable,
    WriteClaim,
)
from waxwingarch.core.settings.settings import Document

CALL_TIMEOUT_S = 10.0
KEY = claim_key(AccountId("acc"), "pledge 7/ü")
CLAIM = WriteClaim(key=KEY, row=REQ.claim(), expected_version=0)


def _make_table(peer: Peer) -> HttpTableStore:
    return HttpTableStore(PlatformLink(peer.http, peer.address, Random(1)))


class ClaimsInTable(testtools.TestCase):
    @async_test
    async def test_outage_lost_reply_and_conflict_are_distinct(self) -> None:
        async with running_platform() as peer:
            store = ClaimStore(_make_table(peer))
            await store.async_setup()
            await peer.fault("down", seconds=60)
            self.assertEqual(
                TableUnavailable(), await store.async_write(CLAIM)
            )
            await peer.send("DELETE", "/faults")
            await peer.fault("lost_reply", count=1)
            self.assertEqual(TableReplyLost(), await store.async_write(CLAIM))
            read = await store.async_read(ReadClaim(key=KEY))
            self.assertEqual(ClaimRead(row=REQ.claim(), version=1), read)
            conflict = await store.async_write(CLAIM)
            expected = ClaimConflict(row=REQ.claim(), version=1)
            self.assertEqual(expected, conflict)
            swept = await async_sweep(
                _make_table(peer), unix_now=REQ.expires_unix + 1
            )
            self.assertEqual(SweepResult(deleted=1, after=""), swept)
            await store.async_unload()

    @async_test
    async def test_concurrent_claims_are_batched(self) -> None:
        async with running_platform() as peer:
            store = ClaimStore(_make_table(peer))
            await store.async_setup()
            writes = [
                WriteClaim(key=f"acc/{n}", row=REQ.claim(), expected_version=0)
                for n in range(250)
            ]
            replies = await asyncio.gather(*map(store.async_write, writes))
            self.assertEqual([ClaimWritten(version=1)] * 250, replies)
            self.assertTrue(len(peer.journal("write")) <= 4)
            await store.async_unload()


class SettingsInTable(testtools.TestCase):
    @async_test
    async def test_change_with_lost_reply_is_applied_once(self) -> None:
        async with running_platform() as peer:
            store = SettingsRevisionStore(_make_table(peer))
            deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
            await peer.fault("lost_reply", count=1)
            revision = await store.async_write(
                change_id="x",
                base_revision=0,
                changed=[Document(name="contract/acc", text="[a]")],
                deadline=deadline,
            )
            self.assertEqual(1, revision)
            self.assertEqual(1, len(peer.journal("write")))
            with testtools.ExpectedException(RevisionConflictError):
                await store.async_write(
                    change_id="y", base_revision=0, deadline=deadline
                )
            loaded = await store.async_load(deadline=deadline)
            self.assertEqual("contract/acc", loaded.documents[0].name)
