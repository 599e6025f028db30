"""The settings store, as the daemon writes to it."""

from collections.abc import Sequence
from typing import Protocol

from waxwingarch.core.settings.settings import Document


class SettingsWriter(Protocol):
    """Writes accepted settings, all documents of a change or none."""

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

        A lost reply is settled by reading the change id back. Raises
        `ConflictError` naming the newer revision, and
        `PlatformUnavailableError`.
        """
        ...
