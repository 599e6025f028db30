"""Deletes claim rows that were kept for as long as callers were told."""

import asyncio
from dataclasses import dataclass
from typing import Final

from waxwingarch.core.once.claim import CLAIM_TABLE, ClaimRow, may_delete
from waxwingarch.core.settings.rows import (
    MAX_TRANSACTION_WRITES,
    Committed,
    Condition,
    Write,
)
from waxwingarch.ports.table import TableReplyLostError, TableStore

SWEEP_DUTY: Final = "claim-sweep"
CALL_LIMIT_S: Final = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SweepResult:
    """One page of a sweep; `after` is "" when the end was reached."""

    deleted: int
    after: str


async def async_sweep(
    table: TableStore, *, unix_now: float, after: str = ""
) -> SweepResult:
    """Sweep one page; one caller at a time, the holder of `SWEEP_DUTY`.

    A row that changed meanwhile stays, and its page is swept next time.
    Raises `TableUnavailableError`.
    """
    deadline = asyncio.get_running_loop().time() + CALL_LIMIT_S
    rows = await table.async_scan(
        CLAIM_TABLE,
        after=after,
        limit=MAX_TRANSACTION_WRITES,
        deadline=deadline,
    )
    old = [
        row
        for row in rows
        if row.value is not None
        and may_delete(ClaimRow.from_json(row.value), unix_now)
    ]
    last = rows[-1].key if len(rows) == MAX_TRANSACTION_WRITES else ""
    if not old:
        return SweepResult(deleted=0, after=last)
    conditions = [
        Condition(table=row.table, key=row.key, version=row.version)
        for row in old
    ]
    writes = [Write(table=row.table, key=row.key, value=None) for row in old]
    try:
        result = await table.async_transact(
            conditions, writes, deadline=deadline
        )
    except TableReplyLostError:
        return SweepResult(deleted=0, after=last)
    deleted = len(old) if isinstance(result, Committed) else 0
    return SweepResult(deleted=deleted, after=last)
