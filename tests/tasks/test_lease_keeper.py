"""Tests of the task that keeps a lease."""

import asyncio

import testtools

from tests.adapters.fake_table import FakeTable
from tests.helpers import async_test
from waxwingarch.adapters.lease_store import LeaseStore
from waxwingarch.core.base import HostId
from waxwingarch.core.lease import LeaseHeld, LeaseLost, LeaseMachine
from waxwingarch.tasks.lease_keeper import LeaseKeeper


class _Contender:
    def __init__(self, name: str, table: FakeTable) -> None:
        self.held: asyncio.Queue[LeaseHeld | LeaseLost] = asyncio.Queue()
        machine = LeaseMachine("mover", HostId(name), 1)
        self.keeper = LeaseKeeper(
            machine, LeaseStore(table), self.held.put_nowait
        )

    def may_act(self) -> bool:
        now = asyncio.get_running_loop().time()
        return self.keeper.machine.may_act(now)


class Keeper(testtools.TestCase):
    @async_test
    async def test_hands_over_when_it_resigns(self) -> None:
        table = FakeTable()
        table.faults = ["", "lost"]
        a, b = _Contender("a", table), _Contender("b", table)
        await a.keeper.async_setup()
        self.assertIsInstance(await a.held.get(), LeaseHeld)
        self.assertTrue(a.may_act())
        now = asyncio.get_running_loop().time()
        await a.keeper.async_resign(now + 5)
        self.assertIsInstance(await a.held.get(), LeaseLost)
        self.assertFalse(a.may_act())
        await b.keeper.async_setup()
        held = await b.held.get()
        assert isinstance(held, LeaseHeld)
        self.assertEqual(2, held.fencing)
        await b.keeper.async_unload()
