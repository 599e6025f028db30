"""A table service in memory, with faults on request."""

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
    """Rows in a dict; versions never repeat for a key.

    `faults` are taken one a call: "down", "lost" (applied, no reply),
    "dropped" (not applied, no reply) or "" for none.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[object, int]] = {}
        self.faults: list[str] = []
        self.transactions = 0

    def _fault(self) -> str:
        return self.faults.pop(0) if self.faults else ""

    def _row(self, table: str, key: str) -> Row:
        value, version = self.rows.get((table, key), (None, 0))
        return Row(table=table, key=key, value=value, version=version)

    async def async_get(self, table: str, key: str, *, deadline: float) -> Row:
        if self._fault():
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
        live = [tk for tk, (value, _) in self.rows.items() if value]
        keys = sorted(k for t, k in live if t == table)
        found = [k for k in keys if k.startswith(prefix) and k > after]
        return tuple(self._row(table, k) for k in found[:limit])

    async def async_transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        *,
        deadline: float,
    ) -> Committed | Conflict:
        fault = self._fault()
        if fault == "down":
            raise TableUnavailableError("down")
        if fault == "dropped":
            raise TableReplyLostError("dropped")
        rows = [self._row(c.table, c.key) for c in conditions]
        pairs = zip(rows, conditions, strict=True)
        wrong = tuple(r for r, c in pairs if r.version != c.version)
        if not wrong:
            self.transactions += 1
            for write in writes:
                version = self._row(write.table, write.key).version + 1
                self.rows[write.table, write.key] = (write.value, version)
        if fault == "lost":
            raise TableReplyLostError("lost")
        if wrong:
            return Conflict(rows=wrong)
        versions = (self._row(w.table, w.key).version for w in writes)
        return Committed(versions=tuple(versions))
