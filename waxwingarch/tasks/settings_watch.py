"""Follows the settings in the table service."""

import asyncio
from random import Random
from typing import Final

from eliot import log_message

from waxwingarch.adapters.contract_ini import parse_contract
from waxwingarch.adapters.platform_http import Backoff
from waxwingarch.core.contract import Contract
from waxwingarch.core.events import ContractsApplied
from waxwingarch.exceptions import PlatformUnavailableError, SettingsError
from waxwingarch.ports.table import Row, TableStore
from waxwingarch.tasks.runner import Runner

TABLE: Final = "settings"
REVISION_KEY: Final = "revision"
CONTRACT_PREFIX: Final = "doc/contract/"
POLL_S: Final = 0.5
CALL_LIMIT_S: Final = 2.0


class SettingsWatch:
    """Reads a new revision as soon as the table shows one."""

    def __init__(
        self, runner: Runner, table: TableStore, deployment: str, rng: Random
    ) -> None:
        self._runner = runner
        self._table = table
        self._deployment = deployment
        self._backoff = Backoff(rng)
        self._task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Begin to follow."""
        self._task = asyncio.create_task(self._async_follow())

    async def async_unload(self) -> None:
        """Stop following."""
        if self._task:
            self._task.cancel()

    async def _async_follow(self) -> None:
        while True:
            pause_s = POLL_S
            try:
                await self._async_poll()
                self._backoff.reset()
            except PlatformUnavailableError:
                pause_s = self._backoff.next_s()
            await asyncio.sleep(pause_s)

    async def _async_poll(self) -> None:
        deadline = asyncio.get_running_loop().time() + CALL_LIMIT_S
        row = await self._table.async_get(
            TABLE, REVISION_KEY, deadline=deadline
        )
        revision = int(row.value["revision"]) if row.value else 0
        if revision <= self._runner.node.directory.revision:
            return
        rows = await self._table.async_scan(
            TABLE, deadline=deadline, prefix=CONTRACT_PREFIX
        )
        contracts = [self._contract(row) for row in rows]
        self._runner.post(
            ContractsApplied(
                revision=revision,
                contracts=tuple(c for c in contracts if c is not None),
            )
        )

    def _contract(self, row: Row) -> Contract | None:
        """Parse a stored contract; one that is broken is left out."""
        name = row.key.removeprefix(CONTRACT_PREFIX)
        try:
            return parse_contract(
                str(row.value["text"]), name, self._deployment
            )
        except SettingsError as exc:
            log_message(message_type="contract_broken", reason=str(exc))
            return None
