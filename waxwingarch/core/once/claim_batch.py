"""Group commit of claim rows: many rows in one transaction.

While a transaction is in flight, writes gather for the next one. A claim
keeps a caller waiting and goes at once; a record of an outcome may wait
for a claim to ride along with, up to a deadline.
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

    `write_id` names it in the results. It is sent by `send_by` at the
    latest; a write still waiting at `give_up_at` is not applied.
    """

    write_id: str
    condition: Condition
    write: Write
    send_by: float
    give_up_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Batch:
    """One transaction; no two of its writes are on one row."""

    writes: tuple[BatchedWrite, ...]

    def conditions(self) -> tuple[Condition, ...]:
        """Return the transaction's conditions."""
        return tuple(w.condition for w in self.writes)

    def row_writes(self) -> tuple[Write, ...]:
        """Return the transaction's writes."""
        return tuple(w.write for w in self.writes)


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteResult:
    """What became of one write.

    Exactly one field besides `write_id` is set: the new version, the
    row that conflicted, or the failure.
    """

    write_id: str
    version: int | None = None
    conflict: Row | None = None
    failure: BatchFailure | None = None


class ClaimBatcher:
    """Gathers writes; at most one transaction is in flight."""

    def __init__(self) -> None:
        self._waiting: list[BatchedWrite] = []
        self._in_flight: Batch | None = None

    def add(self, write: BatchedWrite) -> None:
        """Take a write; see `next_batch`."""
        self._waiting.append(write)

    def next_batch_at(self) -> float | None:
        """Return when `next_batch` is to be called, if it is to be."""
        if self._in_flight is not None or not self._waiting:
            return None
        return min(w.send_by for w in self._waiting)

    def next_batch(self, now: float) -> Batch | None:
        """Return the transaction to send now, if one is due."""
        due_at = self.next_batch_at()
        if due_at is None or now < due_at:
            return None
        taken: dict[tuple[str, str], BatchedWrite] = {}
        left: list[BatchedWrite] = []
        for write in self._waiting:
            row = (write.write.table, write.write.key)
            full = len(taken) >= MAX_TRANSACTION_WRITES
            if full or row in taken:
                left.append(write)
            else:
                taken[row] = write
        self._waiting = left
        self._in_flight = Batch(writes=tuple(taken.values()))
        return self._in_flight

    def expire(self, now: float) -> list[WriteResult]:
        """Give up on writes that waited for too long."""
        late = [w for w in self._waiting if now >= w.give_up_at]
        self._waiting = [w for w in self._waiting if now < w.give_up_at]
        return _failed(late, BatchFailure.UNAVAILABLE)

    def handle_result(
        self, result: Committed | Conflict | BatchFailure
    ) -> list[WriteResult]:
        """Split the result of the transaction in flight by row.

        Writes that a conflict of another row held up go first in the
        next transaction: nothing of this one was applied.
        """
        batch = self._in_flight
        self._in_flight = None
        if batch is None:
            return []
        if isinstance(result, Committed):
            return _committed(batch, result)
        if isinstance(result, Conflict):
            return self._conflicted(batch, result)
        return _failed(batch.writes, result)

    def _conflicted(self, batch: Batch, result: Conflict) -> list[WriteResult]:
        rows = {(row.table, row.key): row for row in result.rows}
        results: list[WriteResult] = []
        held_up: list[BatchedWrite] = []
        for write in batch.writes:
            row = rows.get((write.write.table, write.write.key))
            if row is None:
                held_up.append(write)
            else:
                results.append(
                    WriteResult(write_id=write.write_id, conflict=row)
                )
        self._waiting = [*held_up, *self._waiting]
        return results


def _committed(batch: Batch, result: Committed) -> list[WriteResult]:
    pairs = zip(batch.writes, result.versions, strict=True)
    return [WriteResult(write_id=w.write_id, version=v) for w, v in pairs]


def _failed(
    writes: Iterable[BatchedWrite], failure: BatchFailure
) -> list[WriteResult]:
    return [WriteResult(write_id=w.write_id, failure=failure) for w in writes]
