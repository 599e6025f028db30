"""Reading and writing settings, as the operators' operations see it."""

from dataclasses import dataclass
from typing import Protocol

from waxwingarch.core.base import ServiceId
from waxwingarch.core.moves.move_record import MoveRecord, WriteMove
from waxwingarch.core.settings.settings import SettingsSnapshot
from waxwingarch.ports.settings import SettingsWriter


class SettingsStore(SettingsWriter, Protocol):
    """The settings in the table service; deadlines on the loop's clock."""

    async def async_read_settings(self, deadline: float) -> SettingsSnapshot:
        """Return all documents; raises `PlatformUnavailableError`."""
        ...


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
