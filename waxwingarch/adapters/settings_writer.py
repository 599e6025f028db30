"""Writes accepted settings into the table service."""

from collections.abc import Sequence
from typing import Any

from waxwingarch.adapters.settings_table import (
    DOCUMENT_PREFIX,
    REVISION_KEY,
    SETTINGS_TABLE,
)
from waxwingarch.core.settings import Document
from waxwingarch.exceptions import ConflictError
from waxwingarch.ports.table import (
    Committed,
    Condition,
    Row,
    TableReplyLostError,
    TableStore,
    Write,
)


class SettingsTableWriter:
    """`SettingsWriter` over the table service.

    Documents and the revision row are written in one transaction on the
    version of the revision row, together with the id of the change.
    """

    def __init__(self, table: TableStore) -> None:
        self._table = table

    async def async_write(
        self,
        *,
        change_id: str,
        base_revision: int,
        changed: Sequence[Document] = (),
        removed: Sequence[str] = (),
        deadline: float,
    ) -> int:
        """Commit a change on top of a revision; return the new one.

        Raises `ConflictError` and `PlatformUnavailableError`.
        """
        row = await self._async_revision_row(deadline)
        current = int(row.value["revision"]) if row.value else 0
        if current != base_revision:
            raise _conflict(base_revision, row)
        value = {"revision": current + 1, "change_id": change_id}
        writes = [
            Write(
                table=SETTINGS_TABLE,
                key=f"{DOCUMENT_PREFIX}{document.name}",
                value={"text": document.text},
            )
            for document in changed
        ]
        writes += [
            Write(
                table=SETTINGS_TABLE, key=f"{DOCUMENT_PREFIX}{n}", value=None
            )
            for n in removed
        ]
        writes.append(
            Write(table=SETTINGS_TABLE, key=REVISION_KEY, value=value)
        )
        return await self._async_commit(row, writes, value, deadline)

    async def _async_commit(
        self,
        row: Row,
        writes: Sequence[Write],
        value: dict[str, Any],
        deadline: float,
    ) -> int:
        condition = Condition(
            table=SETTINGS_TABLE, key=REVISION_KEY, version=row.version
        )
        try:
            result = await self._table.async_transact(
                [condition], writes, deadline=deadline
            )
        except TableReplyLostError:
            return await self._async_settle(value, deadline)
        if isinstance(result, Committed):
            return int(value["revision"])
        raise _conflict(int(value["revision"]) - 1, result.rows[0])

    async def _async_settle(
        self, value: dict[str, Any], deadline: float
    ) -> int:
        """Tell by the change id whether a write took effect."""
        row = await self._async_revision_row(deadline)
        if row.value and row.value.get("change_id") == value["change_id"]:
            return int(value["revision"])
        raise _conflict(int(value["revision"]) - 1, row)

    async def _async_revision_row(self, deadline: float) -> Row:
        return await self._table.async_get(
            SETTINGS_TABLE, REVISION_KEY, deadline=deadline
        )


def _conflict(base: int, row: Row) -> ConflictError:
    current = row.value["revision"] if row.value else 0
    return ConflictError(
        f"based on revision {base}, but {current} is in force: look at"
        " what changed and apply again"
    )
