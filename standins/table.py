"""The rows of the table service, with compare-and-set transactions."""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

from pydantic import BaseModel, Field

MAX_WRITES: Final = 100


class Condition(BaseModel):
    """The version that a row must have for a transaction to commit."""

    table: str
    key: str
    version: int


class Write(BaseModel):
    """A new value of a row; null deletes it."""

    table: str
    key: str
    value: Any = None


class Transaction(BaseModel):
    """Conditions and writes that commit together or not at all."""

    conditions: list[Condition] = []
    writes: list[Write] = Field(default=[], max_length=MAX_WRITES)


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """A row; `value` is None for a missing or deleted one."""

    key: str
    value: Any = None
    version: int = 0

    def wire(self) -> dict[str, Any]:
        """Return the row in its wire format."""
        return {"key": self.key, "value": self.value, "version": self.version}


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactionResult:
    """The new versions of a committed transaction, or its conflicts."""

    versions: tuple[int, ...] = ()
    conflicts: tuple[tuple[str, Row], ...] = ()

    @property
    def committed(self) -> bool:
        """Whether the writes took effect."""
        return not self.conflicts


class Tables:
    """The rows of all tables, and the previous value of each row.

    Deleted rows are kept with their version, so that versions never
    repeat.
    """

    def __init__(self) -> None:
        self._rows: dict[str, dict[str, Row]] = {}
        self._previous: dict[tuple[str, str], Row] = {}
        self._keys: dict[str, list[str]] = {}

    def get(self, table: str, key: str, *, stale: bool = False) -> Row:
        """Return a row; with `stale`, as it was before its last write."""
        missing = Row(key=key)
        if stale:
            return self._previous.get((table, key), missing)
        return self._rows.get(table, {}).get(key, missing)

    def scan(
        self,
        table: str,
        prefix: str,
        after: str,
        limit: int,
        *,
        stale: bool = False,
    ) -> list[Row]:
        """Return up to `limit` existing rows after `after`, in key order."""
        keys = self._keys.get(table, [])
        start = bisect_left(keys, prefix)
        if after:
            start = max(start, bisect_right(keys, after))
        rows: list[Row] = []
        for key in keys[start:]:
            if not key.startswith(prefix) or len(rows) >= limit:
                break
            row = self.get(table, key, stale=stale)
            if row.value is not None:
                rows.append(row)
        return rows

    def transact(self, transaction: Transaction) -> TransactionResult:
        """Commit all writes if all conditions hold."""
        conflicts = tuple(
            (cond.table, self.get(cond.table, cond.key))
            for cond in transaction.conditions
            if self.get(cond.table, cond.key).version != cond.version
        )
        if conflicts:
            return TransactionResult(conflicts=conflicts)
        return TransactionResult(versions=self._write(transaction.writes))

    def _write(self, writes: Sequence[Write]) -> tuple[int, ...]:
        versions: list[int] = []
        for write in writes:
            old = self.get(write.table, write.key)
            new = Row(
                key=write.key, value=write.value, version=old.version + 1
            )
            if old.version == 0:
                insort(self._keys.setdefault(write.table, []), write.key)
            self._previous[write.table, write.key] = old
            self._rows.setdefault(write.table, {})[write.key] = new
            versions.append(new.version)
        return tuple(versions)
