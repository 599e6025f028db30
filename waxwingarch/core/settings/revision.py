"""Writing of a settings change as one revision in one transaction.

The documents and the revision row are written together, conditional on
the revision row's version. If the reply is lost, the writer reads that row
again: the change ids in it say whether its change was applied.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Final

from waxwingarch.core.base import Action, Event
from waxwingarch.core.settings.rows import (
    MAX_TRANSACTION_WRITES,
    Condition,
    Row,
    Write,
)

SETTINGS_TABLE: Final = "settings"
REVISION_KEY: Final = "revision"
DOCUMENT_PREFIX: Final = "doc/"
MAX_DOCUMENTS_PER_CHANGE: Final = MAX_TRANSACTION_WRITES - 1
MAX_RECENT_CHANGES: Final = 64
MAX_REVISION_READS: Final = 5


@dataclass(frozen=True, kw_only=True, slots=True)
class RecentChange:
    """An applied change, its revision and the names of its documents."""

    change_id: str
    revision: int
    changed: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class RevisionRow:
    """The revision row; `recent` holds the last changes, newest first."""

    revision: int = 0
    recent: tuple[RecentChange, ...] = ()

    def find(self, change_id: str) -> RecentChange | None:
        """Return the change with this id, None if it is not recent."""
        found = (c for c in self.recent if c.change_id == change_id)
        return next(found, None)

    def with_change(self, change: "SettingsChange") -> "RevisionRow":
        """Return the row as the change writes it."""
        applied = RecentChange(
            change_id=change.change_id,
            revision=self.revision + 1,
            changed=tuple(d.name for d in change.documents),
        )
        return RevisionRow(
            revision=applied.revision,
            recent=(applied, *self.recent[: MAX_RECENT_CHANGES - 1]),
        )

    def to_json(self) -> dict[str, Any]:
        """Return the row's value as JSON types."""
        newest = self.recent[0] if self.recent else None
        return {
            "revision": self.revision,
            "change_id": newest.change_id if newest else "",
            "changed": list(newest.changed) if newest else [],
            "recent": [
                {
                    "change_id": c.change_id,
                    "revision": c.revision,
                    "changed": list(c.changed),
                }
                for c in self.recent
            ],
        }

    @classmethod
    def from_json(cls, value: Mapping[str, Any] | None) -> "RevisionRow":
        """Return the row that `to_json` wrote; None is revision 0.

        A row without the list of recent changes has only the last change,
        in its own fields.
        """
        if value is None:
            return cls()
        recent = tuple(
            RecentChange(
                change_id=str(c["change_id"]),
                revision=int(c["revision"]),
                changed=tuple(c.get("changed", ())),
            )
            for c in value.get("recent", [value])
        )
        return cls(revision=int(value["revision"]), recent=recent)


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangedDocument:
    """A document's new text; None deletes the document."""

    name: str
    text: str | None


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsChange:
    """A change that an operator requests.

    `change_id` is unique to it and stays the same if it is sent again.
    `base_revision` is the revision that the operator edited.
    """

    change_id: str
    base_revision: int
    documents: tuple[ChangedDocument, ...]


# Events


@dataclass(frozen=True, kw_only=True, slots=True)
class RevisionRead(Event):
    """The revision row, from a read or from a conflict."""

    row: RevisionRow
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeCommitted(Event):
    """The transaction took effect."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeNotApplied(Event):
    """The table was down and nothing was applied."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeReplyLost(Event):
    """The reply was lost: the change may have been applied, or may yet be."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RevisionUnreadable(Event):
    """The revision row could not be read."""


# Actions


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRevision(Action):
    """Read the revision row."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CommitChange(Action):
    """Commit one transaction."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class ChangeEnd(StrEnum):
    """How a change ended."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    NOT_APPLIED = "not_applied"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeFinished(Action):
    """The change ended.

    `revision` is that of the change if it was applied, and on a conflict
    the newer one that prevented it. If the end is unknown, the change can
    be sent again with the same id, which applies it at most once.
    """

    end: ChangeEnd
    revision: int


class ChangePhase(StrEnum):
    """What the state machine of a change waits for."""

    READING = "reading"
    COMMITTING = "committing"
    FINISHED = "finished"


class ChangeMachine:
    """State machine that applies a change at most once.

    It ends with `UNKNOWN` if it cannot find out whether the change was
    applied.
    """

    def __init__(self, change: SettingsChange) -> None:
        self._change = change
        self.phase = ChangePhase.READING
        self.maybe_applied = False
        self.reads = 0

    def start(self) -> list[Action]:
        """Return the first action, a read of the revision row."""
        return self._read()

    def handle(self, event: Event) -> list[Action]:
        """Handle one event; a late or repeated one has no effect."""
        name = CHANGE_TRANSITIONS.get((self.phase, type(event)))
        if name is None:
            return []
        actions: list[Action] = getattr(self, name)(event)
        return actions

    def _read(self) -> list[Action]:
        self.phase = ChangePhase.READING
        self.reads += 1
        return [ReadRevision()]

    def _on_read(self, event: RevisionRead) -> list[Action]:
        applied = event.row.find(self._change.change_id)
        if applied is not None:
            return self._finish(ChangeEnd.APPLIED, applied.revision)
        if event.row.revision > self._change.base_revision:
            return self._finish(ChangeEnd.CONFLICT, event.row.revision)
        if self.reads > MAX_REVISION_READS:
            return self._give_up()
        if event.row.revision < self._change.base_revision:
            # The read is stale: it is older than the revision that the
            # operator edited.
            return self._read()
        return self._commit(event)

    def _commit(self, event: RevisionRead) -> list[Action]:
        """Write the change, perhaps again after a lost reply.

        The condition on the row's version lets at most one write succeed.
        """
        self.phase = ChangePhase.COMMITTING
        new_row = event.row.with_change(self._change)
        revision_write = Write(
            table=SETTINGS_TABLE, key=REVISION_KEY, value=new_row.to_json()
        )
        document_writes = (
            document_write(doc, new_row.revision)
            for doc in self._change.documents
        )
        condition = Condition(
            table=SETTINGS_TABLE, key=REVISION_KEY, version=event.version
        )
        return [
            CommitChange(
                conditions=(condition,),
                writes=(revision_write, *document_writes),
            )
        ]

    def _on_committed(self, _: Event) -> list[Action]:
        revision = self._change.base_revision + 1
        return self._finish(ChangeEnd.APPLIED, revision)

    def _on_lost(self, _: Event) -> list[Action]:
        self.maybe_applied = True
        return self._read()

    def _on_not_applied(self, _: Event) -> list[Action]:
        return self._give_up()

    def _on_unreadable(self, _: Event) -> list[Action]:
        if self.maybe_applied and self.reads < MAX_REVISION_READS:
            return self._read()
        return self._give_up()

    def _give_up(self) -> list[Action]:
        end = (
            ChangeEnd.UNKNOWN if self.maybe_applied else ChangeEnd.NOT_APPLIED
        )
        return self._finish(end, self._change.base_revision)

    def _finish(self, end: ChangeEnd, revision: int) -> list[Action]:
        self.phase = ChangePhase.FINISHED
        return [ChangeFinished(end=end, revision=revision)]


_P = ChangePhase
CHANGE_TRANSITIONS: Final[Mapping[tuple[ChangePhase, type[Event]], str]] = {
    (_P.READING, RevisionRead): "_on_read",
    (_P.READING, RevisionUnreadable): "_on_unreadable",
    (_P.COMMITTING, RevisionRead): "_on_read",
    (_P.COMMITTING, ChangeCommitted): "_on_committed",
    (_P.COMMITTING, ChangeNotApplied): "_on_not_applied",
    (_P.COMMITTING, ChangeReplyLost): "_on_lost",
}


def document_write(doc: ChangedDocument, revision: int) -> Write:
    """Return the write of a document; None as its text deletes the row."""
    value = None
    if doc.text is not None:
        value = {"text": doc.text, "revision": revision}
    return Write(
        table=SETTINGS_TABLE, key=f"{DOCUMENT_PREFIX}{doc.name}", value=value
    )


def parse_revision_row(row: Row) -> RevisionRead:
    """Parse a row of the table as the revision row."""
    return RevisionRead(
        row=RevisionRow.from_json(row.value), version=row.version
    )
