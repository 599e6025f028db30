"""Reading and writing settings, as the operators' operations see it."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from waxwingarch.core.base import ServiceId
from waxwingarch.core.move_record import MoveRecord, WriteMove
from waxwingarch.core.settings import Document, SettingsSnapshot


class SettingsStore(Protocol):
    """The settings in the table service; deadlines on the loop's clock."""

    async def async_read_settings(self, deadline: float) -> SettingsSnapshot:
        """Return all documents; raises `PlatformUnavailableError`."""

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

        `change_id` settles a lost reply. Raises `ConflictError` when
        another change came first, and `PlatformUnavailableError`.
        """


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredMove:
    """A move as read; `version` is what a write of it must expect."""

    record: MoveRecord | None
    version: int


class MoveStore(Protocol):
    """The version moves, the last one of each service."""

    async def async_list(self, deadline: float) -> tuple[MoveRecord, ...]:
        """Return all moves; raises `PlatformUnavailableError`."""

    async def async_get(
        self, service: ServiceId, deadline: float
    ) -> StoredMove:
        """Return the move of a service."""

    async def async_write(self, write: WriteMove, deadline: float) -> int:
        """Write a move and return the settings revision.

        Raises `ConflictError` when it is not as expected any more.
        """
