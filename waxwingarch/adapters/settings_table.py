"""Reads of the current settings from the table service."""

from typing import Final

from waxwingarch.core.settings.settings import (
    Document,
    SettingsSnapshot,
    make_snapshot,
)
from waxwingarch.ports.table import Row, TableStore, TableUnavailableError

SETTINGS_TABLE: Final = "settings"
REVISION_KEY: Final = "revision"
DOCUMENT_PREFIX: Final = "doc/"
PAGE_ROWS: Final = 500
MAX_READS: Final = 3


class SettingsTableReader:
    """Reads the revision and its documents as a consistent snapshot."""

    def __init__(self, table: TableStore) -> None:
        self._table = table

    async def async_read_revision(self, deadline: float) -> int:
        """Return the current revision, or 0 if none was written yet.

        Raises `PlatformUnavailableError`.
        """
        row = await self._table.async_get(
            SETTINGS_TABLE, REVISION_KEY, deadline=deadline
        )
        return int(row.value["revision"]) if row.value else 0

    async def async_read_settings(self, deadline: float) -> SettingsSnapshot:
        """Return all documents with their revision.

        If the revision changed during the read, it is repeated. Raises
        `PlatformUnavailableError`, also after `MAX_READS` such reads.
        """
        before = await self.async_read_revision(deadline)
        for _ in range(MAX_READS):
            documents = await self._async_documents(deadline)
            after = await self.async_read_revision(deadline)
            if after == before:
                return make_snapshot(after, documents)
            before = after
        raise TableUnavailableError("the settings keep changing: read again")

    async def _async_documents(self, deadline: float) -> list[Document]:
        documents: list[Document] = []
        after = ""
        while True:
            rows = await self._table.async_scan(
                SETTINGS_TABLE,
                deadline=deadline,
                prefix=DOCUMENT_PREFIX,
                after=after,
                limit=PAGE_ROWS,
            )
            documents += [_document(row) for row in rows]
            if len(rows) < PAGE_ROWS:
                return documents
            after = rows[-1].key


def _document(row: Row) -> Document:
    name = row.key.removeprefix(DOCUMENT_PREFIX)
    return Document(name=name, text=str(row.value["text"]))
