"""Deletion of claim rows past the retention promised to callers."""

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
PAGE_TIMEOUT_S: Final = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SweepResult:
    """The result of one page of a sweep.

    `after` is the key to continue from, "" after the last page.
    """

    deleted: int
    after: str


async def async_sweep(
    table: TableStore, *, unix_now: float, after: str = ""
) -> SweepResult:
    """Delete the expired rows of one page in one transaction.

    To be called by one host at a time, the holder of `SWEEP_DUTY`. A row
    that changed since it was read makes the transaction of its page fail;
    the next sweep covers that page again. Raises `TableUnavailableError`.
    """
    deadline = asyncio.get_running_loop().time() + PAGE_TIMEOUT_S
    rows = await table.async_scan(
        CLAIM_TABLE,
        after=after,
        limit=MAX_TRANSACTION_WRITES,
        deadline=deadline,
    )
    expired = [
        row
        for row in rows
        if row.value is not None
        and may_delete(ClaimRow.from_json(row.value), unix_now)
    ]
    next_after = rows[-1].key if len(rows) == MAX_TRANSACTION_WRITES else ""
    if not expired:
        return SweepResult(deleted=0, after=next_after)
    conditions = [
        Condition(table=row.table, key=row.key, version=row.version)
        for row in expired
    ]
    writes = [
        Write(table=row.table, key=row.key, value=None) for row in expired
    ]
    try:
        result = await table.async_transact(
            conditions, writes, deadline=deadline
        )
    except TableReplyLostError:
        return SweepResult(deleted=0, after=next_after)
    deleted = len(expired) if isinstance(result, Committed) else 0
    return SweepResult(deleted=deleted, after=next_after)
