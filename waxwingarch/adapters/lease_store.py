"""Reads and writes of the rows that hold the contract node's leases."""

import asyncio
from typing import Final

from waxwingarch.core.base import Event
from waxwingarch.core.duties.lease import (
    LEASE_TABLE,
    LeaseConflict,
    LeaseRead,
    LeaseReplyLost,
    LeaseRow,
    LeaseTableDown,
    LeaseWritten,
    ReadLease,
    WriteLease,
)
from waxwingarch.core.settings.rows import Condition, Conflict, Row, Write
from waxwingarch.ports.table import (
    TableReplyLostError,
    TableStore,
    TableUnavailableError,
)

CALL_TIMEOUT_S: Final = 2.0


class LeaseStore:
    """Carries out lease actions and returns the resulting events."""

    def __init__(self, table: TableStore) -> None:
        self._table = table

    async def async_do(self, action: ReadLease | WriteLease) -> Event:
        """Carry out one action and return the event for the state machine."""
        deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        try:
            if isinstance(action, ReadLease):
                return await self._async_read(action, deadline)
            return await self._async_write(action, deadline)
        except TableUnavailableError:
            return LeaseTableDown()
        except TableReplyLostError:
            return LeaseReplyLost()

    async def _async_read(self, action: ReadLease, deadline: float) -> Event:
        row = await self._table.async_get(
            LEASE_TABLE, action.duty, deadline=deadline
        )
        return LeaseRead(row=_lease_row(row), version=row.version)

    async def _async_write(self, action: WriteLease, deadline: float) -> Event:
        condition = Condition(
            table=LEASE_TABLE,
            key=action.duty,
            version=action.expected_version,
        )
        write = Write(
            table=LEASE_TABLE, key=action.duty, value=action.row.to_json()
        )
        result = await self._table.async_transact(
            [condition], [write], deadline=deadline
        )
        if isinstance(result, Conflict):
            row = result.rows[0]
            return LeaseConflict(row=_lease_row(row), version=row.version)
        return LeaseWritten(version=result.versions[0])


def _lease_row(row: Row) -> LeaseRow | None:
    return LeaseRow.from_json(row.value) if row.value is not None else None
