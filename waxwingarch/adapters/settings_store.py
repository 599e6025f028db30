"""Reads and writes settings: documents and revision as one."""

from collections.abc import Sequence
from typing import Any, Final

from waxwingarch.adapters.settings_table import (
    DOCUMENT_PREFIX,
    REVISION_KEY,
    SETTINGS_TABLE,
    SettingsTableReader,
)
from waxwingarch.core.rows import Committed, Condition, Row, Write
from waxwingarch.core.settings import Document, SettingsSnapshot
from waxwingarch.exceptions import ConflictError
from waxwingarch.ports.table import (
    TableReplyLostError,
    TableStore,
    TableUnavailableError,
)

CHANGES_KEPT: Final = 64
MAX_TRIES: Final = 4


class TableSettings:
    """`SettingsStore` on the table service.

    The revision row names the last changes, so that a lost reply is
    settled by reading it back, also when others wrote after it.
    """

    def __init__(self, table: TableStore) -> None:
        self._table = table
        self._reader = SettingsTableReader(table)

    async def async_read_settings(self, deadline: float) -> SettingsSnapshot:
        """Return all documents; raises `PlatformUnavailableError`."""
        return await self._reader.async_read_settings(deadline)

    async def async_write(
        self,
        *,
        change_id: str,
        base_revision: int,
        changed: Sequence[Document] = (),
        removed: Sequence[str] = (),
        deadline: float,
    ) -> int:
        """Write a change and return its revision.

        Raises `ConflictError`, `PlatformUnavailableError`.
        """
        for _ in range(MAX_TRIES):
            row = await self._table.async_get(
                SETTINGS_TABLE, REVISION_KEY, deadline=deadline
            )
            done = _revision_of(row, change_id)
            if done is not None:
                return done
            _require_base(row, base_revision)
            try:
                outcome = await self._table.async_transact(
                    [_as_read(row)],
                    [*_documents(changed, removed), _mark(row, change_id)],
                    deadline=deadline,
                )
            except TableReplyLostError:
                continue
            if isinstance(outcome, Committed):
                return base_revision + 1
        raise TableUnavailableError(
            "the table service loses its replies: look with waxwingctl"
            " contract list whether the change is there, then repeat it"
        )


def _recent(row: Row) -> list[list[Any]]:
    return list((row.value or {}).get("changes", []))


def _revision_of(row: Row, change_id: str) -> int | None:
    """Return the revision of a change that was written already."""
    for name, revision in _recent(row):
        if name == change_id:
            return int(revision)
    return None


def _revision(row: Row) -> int:
    return int(row.value["revision"]) if row.value else 0


def _require_base(row: Row, base_revision: int) -> None:
    revision = _revision(row)
    if revision != base_revision:
        raise ConflictError(
            f"the settings are at revision {revision} by now, not at"
            f" {base_revision}: read them again and repeat the change"
        )


def _as_read(row: Row) -> Condition:
    return Condition(table=row.table, key=row.key, version=row.version)


def _documents(
    changed: Sequence[Document], removed: Sequence[str]
) -> list[Write]:
    values: dict[str, Any] = {d.name: {"text": d.text} for d in changed}
    values.update(dict.fromkeys(removed))
    return [
        Write(
            table=SETTINGS_TABLE, key=f"{DOCUMENT_PREFIX}{name}", value=value
        )
        for name, value in values.items()
    ]


def _mark(row: Row, change_id: str) -> Write:
    """Return the write of the revision row, with the change in it."""
    revision = _revision(row) + 1
    recent = [*_recent(row), [change_id, revision]][-CHANGES_KEPT:]
    value = {"revision": revision, "changes": recent}
    return Write(table=SETTINGS_TABLE, key=REVISION_KEY, value=value)
