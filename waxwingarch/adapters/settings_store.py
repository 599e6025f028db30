"""Storage of settings revisions and their documents in the table."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import Action, Event
from waxwingarch.core.settings.revision import (
    DOCUMENT_PREFIX,
    MAX_DOCUMENTS_PER_CHANGE,
    REVISION_KEY,
    SETTINGS_TABLE,
    ChangeCommitted,
    ChangedDocument,
    ChangeEnd,
    ChangeFinished,
    ChangeMachine,
    ChangeNotApplied,
    ChangeReplyLost,
    CommitChange,
    ReadRevision,
    RevisionRead,
    RevisionUnreadable,
    SettingsChange,
    parse_revision_row,
)
from waxwingarch.core.settings.settings import Document
from waxwingarch.exceptions import ConflictError, SettingsError
from waxwingarch.ports.table import (
    Conflict,
    TableReplyLostError,
    TableStore,
    TableUnavailableError,
)

CALL_TIMEOUT_S: Final = 2.0
PAGE_ROWS: Final = 500
# Scans per load; a scan is repeated if the settings change during it.
MAX_SCANS: Final = 5


class RevisionConflictError(ConflictError):
    """Another change was committed first; edit the newer revision."""

    def __init__(self, revision: int) -> None:
        super().__init__(
            f"revision {revision} is newer; fetch it and apply again"
        )
        self.revision = revision


class ChangeUnknownError(TableReplyLostError):
    """It is unknown if the change was applied; resend it under its id."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredDocument:
    """A stored document and the revision that last changed it."""

    name: str
    text: str
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredSettings:
    """All documents of one revision, ordered by name."""

    revision: int
    documents: tuple[StoredDocument, ...]


class SettingsRevisionStore:
    """Applies each change at most once, and reads complete revisions.

    It implements `SettingsWriter`.
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
        """Commit a change on top of a revision; return the new revision.

        Raises the errors of `async_apply`.
        """
        updates = [ChangedDocument(name=d.name, text=d.text) for d in changed]
        removals = [ChangedDocument(name=name, text=None) for name in removed]
        change = SettingsChange(
            change_id=change_id,
            base_revision=base_revision,
            documents=(*updates, *removals),
        )
        return await self.async_apply(change, deadline=deadline)

    async def async_apply(
        self, change: SettingsChange, *, deadline: float
    ) -> int:
        """Apply a change and return the revision it created.

        The call is idempotent per change id. Raises
        `RevisionConflictError` if the base revision is not the newest,
        `SettingsError` if the change is too large, `TableUnavailableError`
        if it was certainly not applied, `ChangeUnknownError` if that is
        unknown.
        """
        if len(change.documents) > MAX_DOCUMENTS_PER_CHANGE:
            raise SettingsError(
                f"{len(change.documents)} documents in one change;"
                f" send at most {MAX_DOCUMENTS_PER_CHANGE}"
            )
        machine = ChangeMachine(change)
        actions = machine.start()
        while not isinstance(actions[0], ChangeFinished):
            event = await self._async_do(actions[0], deadline)
            actions = machine.handle(event)
        return _result(actions[0])

    async def _async_do(self, action: Action, deadline: float) -> Event:
        now = asyncio.get_running_loop().time()
        call_deadline = min(deadline, now + CALL_TIMEOUT_S)
        match action:
            case ReadRevision():
                return await self._async_read(call_deadline)
            case CommitChange():
                return await self._async_commit(action, call_deadline)
        raise TypeError(f"unknown action {action}")

    async def _async_read(self, deadline: float) -> Event:
        try:
            return await self.async_revision(deadline=deadline)
        except TableUnavailableError:
            return RevisionUnreadable()

    async def _async_commit(
        self, action: CommitChange, deadline: float
    ) -> Event:
        try:
            result = await self._table.async_transact(
                action.conditions, action.writes, deadline=deadline
            )
        except TableReplyLostError:
            return ChangeReplyLost()
        except TableUnavailableError:
            return ChangeNotApplied()
        if isinstance(result, Conflict):
            return parse_revision_row(result.rows[0])
        return ChangeCommitted()

    async def async_revision(self, *, deadline: float) -> RevisionRead:
        """Read the revision row; raises `TableUnavailableError`."""
        row = await self._table.async_get(
            SETTINGS_TABLE, REVISION_KEY, deadline=deadline
        )
        return parse_revision_row(row)

    async def async_load(self, *, deadline: float) -> StoredSettings:
        """Return a consistent snapshot of one revision.

        The documents are read between two reads of the revision row, and
        again if the row changed in between. Raises
        `TableUnavailableError`, also after `MAX_SCANS` such scans.
        """
        before = await self.async_revision(deadline=deadline)
        for _ in range(MAX_SCANS):
            documents = await self._async_documents(deadline)
            after = await self.async_revision(deadline=deadline)
            newest = max((d.revision for d in documents), default=0)
            unchanged = after.version == before.version
            if unchanged and newest <= after.row.revision:
                return StoredSettings(
                    revision=after.row.revision, documents=documents
                )
            before = after
        raise TableUnavailableError(
            "settings kept changing while they were read; read them again"
        )

    async def async_document(
        self, name: str, *, deadline: float
    ) -> StoredDocument | None:
        """Return one document or None; raises `TableUnavailableError`."""
        key = f"{DOCUMENT_PREFIX}{name}"
        row = await self._table.async_get(
            SETTINGS_TABLE, key, deadline=deadline
        )
        if row.value is None:
            return None
        return StoredDocument(
            name=name,
            text=str(row.value["text"]),
            revision=int(row.value.get("revision", 0)),
        )

    async def _async_documents(
        self, deadline: float
    ) -> tuple[StoredDocument, ...]:
        documents: list[StoredDocument] = []
        after = ""
        while True:
            rows = await self._table.async_scan(
                SETTINGS_TABLE,
                prefix=DOCUMENT_PREFIX,
                after=after,
                limit=PAGE_ROWS,
                deadline=deadline,
            )
            documents += [
                StoredDocument(
                    name=row.key.removeprefix(DOCUMENT_PREFIX),
                    text=str(row.value["text"]),
                    revision=int(row.value.get("revision", 0)),
                )
                for row in rows
                if row.value is not None
            ]
            if len(rows) < PAGE_ROWS:
                return tuple(documents)
            after = rows[-1].key


def _result(finished: ChangeFinished) -> int:
    """Return the new revision, or raise the error of a failed change."""
    match finished.end:
        case ChangeEnd.APPLIED:
            return finished.revision
        case ChangeEnd.CONFLICT:
            raise RevisionConflictError(finished.revision)
        case ChangeEnd.NOT_APPLIED:
            raise TableUnavailableError(
                "the table service is down; nothing was applied, try again"
            )
        case ChangeEnd.UNKNOWN:
            raise ChangeUnknownError(
                "no reply; send the change again with the same change id"
            )
