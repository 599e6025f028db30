"""Keeps one lease: drives its machine against the table service."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from waxwingarch.adapters.lease_store import LeaseStore
from waxwingarch.core.base import Action
from waxwingarch.core.lease import (
    LeaseHeld,
    LeaseLost,
    LeaseMachine,
    LeaseTimer,
    ReadLease,
    SetLeaseTimer,
    WriteLease,
)

OnChange = Callable[[LeaseHeld | LeaseLost], None]


class LeaseKeeper:
    """A task that acquires and renews the lease on one duty.

    `on_change` hears each acquisition, renewal and loss. Before each
    order, ask `machine.may_act`: a loss is heard late if the process
    was paused.
    """

    def __init__(
        self, machine: LeaseMachine, store: LeaseStore, on_change: OnChange
    ) -> None:
        self.machine = machine
        self._store = store
        self._on_change = on_change
        self._resign = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Start to contend for the duty."""
        self._task = asyncio.create_task(self._async_run())

    async def async_resign(self, deadline: float) -> None:
        """Release the lease and stop; no order may be in flight."""
        self._resign.set()
        if self._task is None:
            return
        with suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                await asyncio.shield(self._task)
        await self.async_unload()

    async def async_unload(self) -> None:
        """Stop at once; the lease lapses by itself."""
        if self._task is None:
            return
        self._task.cancel()
        with suppress(asyncio.CancelledError):
            await self._task

    async def _async_run(self) -> None:
        now = asyncio.get_running_loop().time
        actions = self.machine.start(now())
        resigned = False
        while True:
            step = self._take(actions)
            if isinstance(step, ReadLease | WriteLease):
                event = await self._store.async_do(step)
                actions = self.machine.handle(now(), event)
                continue
            await self._async_wait(step.at if step else None)
            if not self._resign.is_set():
                actions = self.machine.handle(now(), LeaseTimer())
                continue
            if resigned:
                return
            resigned = True
            actions = self.machine.resign(now())

    def _take(
        self, actions: list[Action]
    ) -> ReadLease | WriteLease | SetLeaseTimer | None:
        """Tell of changes; return the step that brings the next event."""
        step: ReadLease | WriteLease | SetLeaseTimer | None = None
        for action in actions:
            if isinstance(action, LeaseHeld | LeaseLost):
                self._on_change(action)
            elif isinstance(action, ReadLease | WriteLease | SetLeaseTimer):
                step = action
        return step

    async def _async_wait(self, at: float | None) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout_at(at):
                await self._resign.wait()
