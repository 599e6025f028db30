"""Ports through which operators' commands read and write settings."""

from dataclasses import dataclass
from typing import Protocol

from waxwingarch.core.base import ServiceId
from waxwingarch.core.moves.move_record import MoveRecord, WriteMove
from waxwingarch.core.settings.settings import SettingsSnapshot
from waxwingarch.ports.settings import SettingsWriter


class SettingsStore(SettingsWriter, Protocol):
    """The settings documents in the table service.

    Deadlines are on the event loop's clock.
    """

    async def async_read_settings(self, deadline: float) -> SettingsSnapshot:
        """Return all documents; raises `PlatformUnavailableError`."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredMove:
    """A version move and the version that a write of it has to expect.

    `record` is None if the service has no move.
    """

    record: MoveRecord | None
    version: int


class MoveStore(Protocol):
    """The version moves; only the last one of each service is kept."""

    async def async_list(self, deadline: float) -> tuple[MoveRecord, ...]:
        """Return all moves; raises `PlatformUnavailableError`."""

    async def async_get(
        self, service: ServiceId, deadline: float
    ) -> StoredMove:
        """Return the last move of a service."""

    async def async_write(self, write: WriteMove, deadline: float) -> int:
        """Write a move and return the new settings revision.

        Raises `ConflictError` if the stored version is not the expected one.
        """
