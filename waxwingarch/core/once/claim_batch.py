"""Group commit of claim rows: many rows in one transaction.

While a transaction is in flight, writes are queued for the next one. A
claim is sent as soon as possible, because its caller waits for it. The
record of an outcome may wait for the transaction of a claim, up to a
deadline.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from waxwingarch.core.settings.rows import (
    MAX_TRANSACTION_WRITES,
    Committed,
    Condition,
    Conflict,
    Row,
    Write,
)

RECORD_LINGER_MAX_S: Final = 1.0


class BatchFailure(StrEnum):
    """Why a transaction has no result."""

    UNAVAILABLE = "unavailable"
    REPLY_LOST = "reply_lost"


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchedWrite:
    """One row write of one request.

    `write_id` identifies it in the results. A write is due at `send_by`,
    and may be sent earlier along with others. If it is still queued at
    `give_up_at`, it is not sent.
    """

    write_id: str
    condition: Condition
    write: Write
    send_by: float
    give_up_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Batch:
    """One transaction; its writes are to different rows."""

    writes: tuple[BatchedWrite, ...]

    def conditions(self) -> tuple[Condition, ...]:
        """Return the transaction's conditions."""
        return tuple(w.condition for w in self.writes)

    def row_writes(self) -> tuple[Write, ...]:
        """Return the transaction's writes."""
        return tuple(w.write for w in self.writes)


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteResult:
    """Result of one write.

    Exactly one field besides `write_id` is set: the new version, the
    conflicting row, or the failure.
    """

    write_id: str
    version: int | None = None
    conflict: Row | None = None
    failure: BatchFailure | None = None


class ClaimBatcher:
    """Batches queued writes; at most one transaction is in flight."""

    def __init__(self) -> None:
        self._queued: list[BatchedWrite] = []
        self._in_flight: Batch | None = None

    def add(self, write: BatchedWrite) -> None:
        """Queue a write for `next_batch`."""
        self._queued.append(write)

    def next_batch_at(self) -> float | None:
        """Return when the next transaction is due, if any can be sent."""
        if self._in_flight is not None or not self._queued:
            return None
        return min(w.send_by for w in self._queued)

    def next_batch(self, now: float) -> Batch | None:
        """Return the transaction to send now, if one is due."""
        due_at = self.next_batch_at()
        if due_at is None or now < due_at:
            return None
        selected: dict[tuple[str, str], BatchedWrite] = {}
        remaining: list[BatchedWrite] = []
        for write in self._queued:
            row = (write.write.table, write.write.key)
            is_full = len(selected) >= MAX_TRANSACTION_WRITES
            if is_full or row in selected:
                remaining.append(write)
            else:
                selected[row] = write
        self._queued = remaining
        self._in_flight = Batch(writes=tuple(selected.values()))
        return self._in_flight

    def expire(self, now: float) -> list[WriteResult]:
        """Remove the queued writes that are too old and return failures."""
        expired = [w for w in self._queued if now >= w.give_up_at]
        self._queued = [w for w in self._queued if now < w.give_up_at]
        return _failed_results(expired, BatchFailure.UNAVAILABLE)

    def handle_result(
        self, result: Committed | Conflict | BatchFailure
    ) -> list[WriteResult]:
        """Return the results of the writes of the transaction in flight.

        A conflict of one row means that no write was applied. The writes
        without a conflict then go first in the next transaction.
        """
        batch = self._in_flight
        self._in_flight = None
        if batch is None:
            return []
        if isinstance(result, Committed):
            return _committed_results(batch, result)
        if isinstance(result, Conflict):
            return self._split_conflict(batch, result)
        return _failed_results(batch.writes, result)

    def _split_conflict(
        self, batch: Batch, result: Conflict
    ) -> list[WriteResult]:
        rows = {(row.table, row.key): row for row in result.rows}
        results: list[WriteResult] = []
        unapplied: list[BatchedWrite] = []
        for write in batch.writes:
            row = rows.get((write.write.table, write.write.key))
            if row is None:
                unapplied.append(write)
            else:
                results.append(
                    WriteResult(write_id=write.write_id, conflict=row)
                )
        self._queued = [*unapplied, *self._queued]
        return results


def _committed_results(batch: Batch, result: Committed) -> list[WriteResult]:
    pairs = zip(batch.writes, result.versions, strict=True)
    return [WriteResult(write_id=w.write_id, version=v) for w, v in pairs]


def _failed_results(
    writes: Iterable[BatchedWrite], failure: BatchFailure
) -> list[WriteResult]:
    return [WriteResult(write_id=w.write_id, failure=failure) for w in writes]
