"""The port through which the daemon writes settings."""

from collections.abc import Sequence
from typing import Protocol

from waxwingarch.core.settings.settings import Document


class SettingsWriter(Protocol):
    """Writes validated settings; each change is one transaction."""

    async def async_write(
        self,
        *,
        change_id: str,
        base_revision: int,
        changed: Sequence[Document] = (),
        removed: Sequence[str] = (),
        deadline: float,
    ) -> int:
        """Commit a change based on a revision and return the new revision.

        If the reply is lost, the change id is read back to see whether the
        change was committed. Raises `ConflictError`, which names the newer
        revision, and `PlatformUnavailableError`.
        """
        ...
