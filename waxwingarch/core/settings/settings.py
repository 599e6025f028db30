"""Snapshots of the settings and the deltas between them."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import xxhash

MAX_REMEMBERED_REMOVALS: Final = 4_096


@dataclass(frozen=True, kw_only=True, slots=True)
class Document:
    """One named text of the settings, such as a contract."""

    name: str
    text: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsSnapshot:
    """All documents of one revision, ordered by name.

    `digest` is the xxh3_64 hash of names and texts, in hexadecimal.
    """

    revision: int
    documents: tuple[Document, ...]
    digest: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsDelta:
    """What changed from `base_revision` to `revision`.

    With a `base_revision` of 0, `changed` has all documents. `digest` is
    that of the resulting snapshot.
    """

    base_revision: int
    revision: int
    digest: str
    changed: tuple[Document, ...]
    removed: tuple[str, ...]


def make_snapshot(
    revision: int, documents: Iterable[Document]
) -> SettingsSnapshot:
    """Return a snapshot of the documents, ordered and with a digest."""
    ordered = tuple(sorted(documents, key=lambda document: document.name))
    state = xxhash.xxh3_64()
    for document in ordered:
        for text in (document.name, document.text):
            encoded = text.encode()
            state.update(len(encoded).to_bytes(8, "big"))
            state.update(encoded)
    return SettingsSnapshot(
        revision=revision, documents=ordered, digest=state.hexdigest()
    )


EMPTY_SNAPSHOT: Final = make_snapshot(0, ())


def apply_delta(
    base: SettingsSnapshot, delta: SettingsDelta
) -> SettingsSnapshot | None:
    """Return the resulting snapshot, or None if its digest is wrong.

    None is also returned if the delta has another base. After None all
    documents have to be pulled: the peer that computed the delta did not
    see every revision and may have missed a change.
    """
    if delta.base_revision not in (0, base.revision):
        return None
    documents = {}
    if delta.base_revision:
        documents = {d.name: d for d in base.documents}
    for name in delta.removed:
        documents.pop(name, None)
    documents.update({d.name: d for d in delta.changed})
    snapshot = make_snapshot(delta.revision, documents.values())
    return snapshot if snapshot.digest == delta.digest else None


class SettingsHistory:
    """The snapshot in force and the revisions of its last changes.

    Deltas can be computed from the revisions since `_oldest_base`.
    """

    def __init__(self) -> None:
        self.snapshot = EMPTY_SNAPSHOT
        self._changed_in: dict[str, int] = {}
        self._removed_in: OrderedDict[str, int] = OrderedDict()
        self._oldest_base = 0

    def advance(self, snapshot: SettingsSnapshot) -> None:
        """Put a newer snapshot in force; an older one is ignored."""
        old = self.snapshot
        if snapshot.revision <= old.revision:
            return
        if old.revision == 0:
            self._oldest_base = snapshot.revision
        old_texts = {d.name: d.text for d in old.documents}
        for document in snapshot.documents:
            if old_texts.pop(document.name, None) != document.text:
                self._changed_in[document.name] = snapshot.revision
            self._removed_in.pop(document.name, None)
        for name in old_texts:
            del self._changed_in[name]
            self._removed_in[name] = snapshot.revision
        while len(self._removed_in) > MAX_REMEMBERED_REMOVALS:
            _, revision = self._removed_in.popitem(last=False)
            self._oldest_base = max(self._oldest_base, revision)
        self.snapshot = snapshot

    def delta_since(self, revision: int) -> SettingsDelta:
        """Return the changes since `revision`, or everything if unknown."""
        if revision < self._oldest_base or revision > self.snapshot.revision:
            revision = 0
        return SettingsDelta(
            base_revision=revision,
            revision=self.snapshot.revision,
            digest=self.snapshot.digest,
            changed=tuple(
                d
                for d in self.snapshot.documents
                if not revision or self._changed_in[d.name] > revision
            ),
            removed=tuple(
                name
                for name, removed_in in self._removed_in.items()
                if revision and removed_in > revision
            ),
        )
