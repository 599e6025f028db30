"""Settings in the table service, as one port for reads and writes."""

from collections.abc import Sequence

from waxwingarch.adapters.settings_store import SettingsRevisionStore
from waxwingarch.adapters.settings_table import SettingsTableReader
from waxwingarch.core.settings.settings import Document, SettingsSnapshot
from waxwingarch.ports.table import TableStore


class TableSettings:
    """Reads snapshots of the settings and commits changes to them."""

    def __init__(self, table: TableStore) -> None:
        self._reader = SettingsTableReader(table)
        self._writer = SettingsRevisionStore(table)

    async def async_read_settings(self, deadline: float) -> SettingsSnapshot:
        """Return the current snapshot; raises `PlatformUnavailableError`."""
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
        """Commit a change and return the new revision.

        Raises the errors of `SettingsRevisionStore.async_write`.
        """
        return await self._writer.async_write(
            change_id=change_id,
            base_revision=base_revision,
            changed=changed,
            removed=removed,
            deadline=deadline,
        )
