"""Reads of idempotency claim rows, and group commit of their writes."""

import asyncio
from contextlib import suppress
from itertools import count
from typing import Final

from waxwingarch.core.base import Event
from waxwingarch.core.once.claim import CLAIM_TABLE, ClaimRow, ClaimState
from waxwingarch.core.once.claim_batch import (
    Batch,
    BatchedWrite,
    BatchFailure,
    ClaimBatcher,
    WriteResult,
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
from waxwingarch.core.settings.rows import (
    Committed,
    Condition,
    Conflict,
    Row,
    Write,
)
from waxwingarch.ports.table import (
    TableReplyLostError,
    TableStore,
    TableUnavailableError,
)

CALL_TIMEOUT_S: Final = 1.0
# How long a write may wait for its transaction, past any linger time.
QUEUE_TIMEOUT_S: Final = 1.0
# Rows in these states record an outcome; the caller does not wait for
# them to be written.
OUTCOME_STATES: Final = frozenset({ClaimState.DONE, ClaimState.UNKNOWN})

WriteReply = ClaimWritten | ClaimConflict | TableUnavailable | TableReplyLost


class ClaimStore:
    """Carries out claim actions and returns the resulting events.

    `record_linger_s` is how long the record of an outcome may wait to
    share a transaction with a claim. A host that crashes meanwhile
    leaves an unknown outcome, so it is above 0 only where the write
    rate of the table requires it.
    """

    def __init__(
        self, table: TableStore, *, record_linger_s: float = 0.0
    ) -> None:
        self._table = table
        self._record_linger_s = record_linger_s
        self._batcher = ClaimBatcher()
        self._ids = count()
        self._pending: dict[str, asyncio.Future[WriteReply]] = {}
        self._write_added = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Start the task that commits batches."""
        self._task = asyncio.create_task(self._async_run())

    async def async_unload(self) -> None:
        """Stop committing; pending writes end as lost replies."""
        if self._task is None:
            return
        self._task.cancel()
        with suppress(asyncio.CancelledError):
            await self._task
        for fut in self._pending.values():
            if not fut.done():
                fut.set_result(TableReplyLost())

    async def async_read(self, action: ReadClaim) -> Event:
        """Read the current claim row of a key."""
        deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        try:
            row = await self._table.async_get(
                CLAIM_TABLE, action.key, deadline=deadline
            )
        except TableUnavailableError:
            return TableUnavailable()
        return ClaimRead(row=_claim_row(row), version=row.version)

    async def async_write(self, action: WriteClaim) -> WriteReply:
        """Write a row in the next transaction.

        The record of an outcome may wait for `record_linger_s` first.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        is_outcome = action.row.state in OUTCOME_STATES
        linger_s = self._record_linger_s if is_outcome else 0.0
        write_id = str(next(self._ids))
        fut: asyncio.Future[WriteReply] = loop.create_future()
        self._pending[write_id] = fut
        self._batcher.add(
            BatchedWrite(
                write_id=write_id,
                condition=Condition(
                    table=CLAIM_TABLE,
                    key=action.key,
                    version=action.expected_version,
                ),
                write=Write(
                    table=CLAIM_TABLE,
                    key=action.key,
                    value=action.row.to_json(),
                ),
                send_by=now + linger_s,
                give_up_at=now + linger_s + QUEUE_TIMEOUT_S,
            )
        )
        self._write_added.set()
        try:
            return await fut
        finally:
            self._pending.pop(write_id, None)

    async def _async_run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._resolve(self._batcher.expire(loop.time()))
            batch = self._batcher.next_batch(loop.time())
            if batch is not None:
                result = await self._async_commit(batch)
                self._resolve(self._batcher.handle_result(result))
                continue
            self._write_added.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout_at(self._batcher.next_batch_at()):
                    await self._write_added.wait()

    async def _async_commit(
        self, batch: Batch
    ) -> Committed | Conflict | BatchFailure:
        deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        try:
            return await self._table.async_transact(
                batch.conditions(), batch.row_writes(), deadline=deadline
            )
        except TableUnavailableError:
            return BatchFailure.UNAVAILABLE
        except TableReplyLostError:
            return BatchFailure.REPLY_LOST

    def _resolve(self, results: list[WriteResult]) -> None:
        """Complete the futures of writes that have a result."""
        for result in results:
            fut = self._pending.get(result.write_id)
            if fut is not None and not fut.done():
                fut.set_result(_reply(result))


def _reply(result: WriteResult) -> WriteReply:
    if result.version is not None:
        return ClaimWritten(version=result.version)
    if result.conflict is not None:
        row = result.conflict
        return ClaimConflict(row=_claim_row(row), version=row.version)
    if result.failure is BatchFailure.REPLY_LOST:
        return TableReplyLost()
    return TableUnavailable()


def _claim_row(row: Row) -> ClaimRow | None:
    return ClaimRow.from_json(row.value) if row.value is not None else None
