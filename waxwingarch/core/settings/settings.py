"""Settings in force: snapshots, and the changes between two of them."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import xxhash

MAX_REMOVALS_KEPT: Final = 4_096


@dataclass(frozen=True, kw_only=True, slots=True)
class Document:
    """One named text of the settings, such as a contract."""

    name: str
    text: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsSnapshot:
    """All documents of one revision, ordered by name.

    `digest` is the xxh3_64 of names and texts, in hexadecimal.
    """

    revision: int
    documents: tuple[Document, ...]
    digest: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsDelta:
    """What changed from `base_revision` to `revision`.

    A base of 0 means that `changed` is everything. `digest` is the one
    of the snapshot that results.
    """

    base_revision: int
    revision: int
    digest: str
    changed: tuple[Document, ...]
    removed: tuple[str, ...]


def make_snapshot(
    revision: int, documents: Iterable[Document]
) -> SettingsSnapshot:
    """Order the documents and add their digest."""
    ordered = tuple(sorted(documents, key=lambda document: document.name))
    state = xxhash.xxh3_64()
    for document in ordered:
        for text in (document.name, document.text):
            raw = text.encode()
            state.update(len(raw).to_bytes(8, "big"))
            state.update(raw)
    return SettingsSnapshot(
        revision=revision, documents=ordered, digest=state.hexdigest()
    )


EMPTY_SNAPSHOT: Final = make_snapshot(0, ())


def apply_delta(
    base: SettingsSnapshot, delta: SettingsDelta
) -> SettingsSnapshot | None:
    """Return the resulting snapshot, or None if it is not the one meant.

    None asks for a pull of everything: the peer that worked the delta
    out did not see each revision, and may have missed a change.
    """
    if delta.base_revision not in (0, base.revision):
        return None
    texts = {}
    if delta.base_revision:
        texts = {d.name: d for d in base.documents}
    for name in delta.removed:
        texts.pop(name, None)
    texts.update({d.name: d for d in delta.changed})
    snapshot = make_snapshot(delta.revision, texts.values())
    return snapshot if snapshot.digest == delta.digest else None


class SettingsHistory:
    """The snapshot in force, and since when each document stands."""

    def __init__(self) -> None:
        self.snapshot = EMPTY_SNAPSHOT
        self._changed_in: dict[str, int] = {}
        self._removed_in: OrderedDict[str, int] = OrderedDict()
        self._known_since = 0

    def advance(self, snapshot: SettingsSnapshot) -> None:
        """Put a newer snapshot in force; an older one is ignored."""
        old = self.snapshot
        if snapshot.revision <= old.revision:
            return
        if old.revision == 0:
            self._known_since = snapshot.revision
        before = {d.name: d.text for d in old.documents}
        for document in snapshot.documents:
            if before.pop(document.name, None) != document.text:
                self._changed_in[document.name] = snapshot.revision
            self._removed_in.pop(document.name, None)
        for name in before:
            del self._changed_in[name]
            self._removed_in[name] = snapshot.revision
        while len(self._removed_in) > MAX_REMOVALS_KEPT:
            _, revision = self._removed_in.popitem(last=False)
            self._known_since = max(self._known_since, revision)
        self.snapshot = snapshot

    def delta_since(self, revision: int) -> SettingsDelta:
        """Return what a host that has `revision` lacks."""
        if revision < self._known_since or revision > self.snapshot.revision:
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
                for name, gone in self._removed_in.items()
                if revision and gone > revision
            ),
        )
