"""An in-memory table service with fault injection."""

from collections.abc import Sequence

from waxwingarch.ports.table import (
    Committed,
    Condition,
    Conflict,
    Row,
    TableReplyLostError,
    TableUnavailableError,
    Write,
)


class FakeTable:
    """A `TableStore` in a dictionary; a key's versions never repeat.

    Each get and transaction consumes the next entry of `faults`: "down"
    (unavailable), "lost" (applied, reply lost), "dropped" (not applied,
    reply lost) or "" for none.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[object, int]] = {}
        self.faults: list[str] = []
        self.transactions = 0

    def _next_fault(self) -> str:
        return self.faults.pop(0) if self.faults else ""

    def _row(self, table: str, key: str) -> Row:
        value, version = self.rows.get((table, key), (None, 0))
        return Row(table=table, key=key, value=value, version=version)

    async def async_get(self, table: str, key: str, *, deadline: float) -> Row:
        if self._next_fault():
            raise TableUnavailableError("down")
        return self._row(table, key)

    async def async_scan(
        self,
        table: str,
        *,
        deadline: float,
        prefix: str = "",
        after: str = "",
        limit: int = 1000,
    ) -> tuple[Row, ...]:
        existing = [tk for tk, (value, _) in self.rows.items() if value]
        keys = sorted(k for t, k in existing if t == table)
        matching = [k for k in keys if k.startswith(prefix) and k > after]
        return tuple(self._row(table, k) for k in matching[:limit])

    async def async_transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        *,
        deadline: float,
    ) -> Committed | Conflict:
        fault = self._next_fault()
        if fault == "down":
            raise TableUnavailableError("down")
        if fault == "dropped":
            raise TableReplyLostError("dropped")
        rows = [self._row(c.table, c.key) for c in conditions]
        pairs = zip(rows, conditions, strict=True)
        conflicts = tuple(r for r, c in pairs if r.version != c.version)
        if not conflicts:
            self.transactions += 1
            for write in writes:
                version = self._row(write.table, write.key).version + 1
                self.rows[write.table, write.key] = (write.value, version)
        if fault == "lost":
            raise TableReplyLostError("lost")
        if conflicts:
            return Conflict(rows=conflicts)
        versions = (self._row(w.table, w.key).version for w in writes)
        return Committed(versions=tuple(versions))
