"""Records of version moves, stored as documents of the settings."""

import uuid
from typing import Final

import orjson

from waxwingarch.core.base import ServiceId
from waxwingarch.core.moves.move_record import (
    MoveRecord,
    WriteMove,
    from_json,
    to_json,
)
from waxwingarch.core.settings.settings import Document, SettingsSnapshot
from waxwingarch.exceptions import SettingsError
from waxwingarch.ports.settings_store import SettingsStore, StoredMove

MOVE_PREFIX: Final = "move/"


def move_document(record: MoveRecord) -> Document:
    """Return the settings document of a move record."""
    text = orjson.dumps(to_json(record)).decode()
    return Document(name=f"{MOVE_PREFIX}{record.service}", text=text)


def read_move(document: Document) -> MoveRecord:
    """Parse the move record of a document; raises `SettingsError`."""
    try:
        return from_json(orjson.loads(document.text))
    except ValueError as exc:
        raise SettingsError(f"{document.name}: {exc}") from exc


def read_moves(snapshot: SettingsSnapshot) -> tuple[MoveRecord, ...]:
    """Return the move records of a snapshot; raises `SettingsError`."""
    return tuple(
        read_move(document)
        for document in snapshot.documents
        if document.name.startswith(MOVE_PREFIX)
    )


class SettingsMoves:
    """Reads and writes move records through the settings store.

    The version of a record is the settings revision it was read at. Any
    other settings change since then makes a write fail with a conflict,
    and the caller reads the record again.
    """

    def __init__(self, store: SettingsStore) -> None:
        self._store = store

    async def async_list(self, deadline: float) -> tuple[MoveRecord, ...]:
        """Return all move records; raises `PlatformUnavailableError`."""
        return read_moves(await self._store.async_read_settings(deadline))

    async def async_get(
        self, service: ServiceId, deadline: float
    ) -> StoredMove:
        """Return the move record of a service, if any, and its version."""
        snapshot = await self._store.async_read_settings(deadline)
        record = next(
            (m for m in read_moves(snapshot) if m.service == service), None
        )
        return StoredMove(record=record, version=snapshot.revision)

    async def async_write(self, write: WriteMove, deadline: float) -> int:
        """Write a move record; raises `ConflictError`."""
        return await self._store.async_write(
            change_id=uuid.uuid4().hex,
            base_revision=write.expected_version,
            changed=(move_document(write.record),),
            deadline=deadline,
        )
